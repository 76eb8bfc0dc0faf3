"""Bounds on what a target sends that is no body, below aiohttp's parser.

aiohttp bounds each line of a head and their number, and leaves the body to flow control. It does
not bound interim responses, empty lines before a head, and chunk extensions.
"""

import asyncio
import functools
import typing as t

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

from .. import defaults
from ..http.framing import FramingLimit

_FIRST_FINAL_STATUS = 200
#: Bytes that are parsed at a time, so that what is beyond the bound is not parsed.
_SLICE_BYTES = 4096


class BoundedResponseHandler(ResponseHandler):
    """A connection to a target that fails if too much comes without a byte of a body."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self._body: t.Optional[aiohttp.StreamReader] = None
        self._body_bytes = 0
        self._framing = FramingLimit(defaults.MAX_HEADER_BYTES)
        self._is_over = False

    def set_response_params(self, **options: t.Any) -> None:
        self._body = None
        self._body_bytes = 0
        self._framing = FramingLimit(defaults.MAX_HEADER_BYTES)
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        if not data:
            super().data_received(data)
            return
        for start in range(0, len(data), _SLICE_BYTES):
            if self._is_over:
                return
            self._take(data[start : start + _SLICE_BYTES])

    def feed_data(self, data: t.Any, size: int = 0) -> None:
        message, payload = data
        if message.code >= _FIRST_FINAL_STATUS and isinstance(payload, aiohttp.StreamReader):
            self._body = payload
        super().feed_data(data, size)

    def _take(self, piece: bytes) -> None:
        super().data_received(piece)
        if self._reading_paused:
            # The parser holds back what the reader of the body has no room for.
            return
        received = 0 if self._body is None else self._body.total_bytes
        problem = self._framing.add(len(piece), received - self._body_bytes)
        self._body_bytes = received
        if problem is not None:
            self._end(problem)

    def _end(self, problem: str) -> None:
        self._is_over = True
        if self.transport is not None:
            self.transport.abort()
        self.set_exception(HttpProcessingError(message=problem))
        if self._body is not None and not self._body.is_eof():
            self._body.set_exception(aiohttp.ClientPayloadError(problem))


class BoundedConnector(aiohttp.TCPConnector):
    """Opens connections whose responses are bounded; takes the options of aiohttp's connector."""

    def __init__(self, **options: t.Any) -> None:
        super().__init__(**options)
        loop = asyncio.get_running_loop()
        make: t.Any = functools.partial(BoundedResponseHandler, loop=loop)
        self._factory = make
