"""Connections to the store: idle ones are used again for calls that may be repeated."""

import asyncio
import typing as t

from .. import defaults
from ..exceptions import PlatformUnavailableError, PlatformUnknownError
from .connection import ServerConnection, connect
from .response_parser import BrokenResponseError, ServerResponse

_MAX_RESPONSE_BYTES = 4 * 1024 * 1024


class StoreConnections:
    """Sends calls to the store and returns its responses.

    :param address: the store's address, ``ip:port``.
    :param timeout_s: seconds for connecting, and for the response to a call.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._idle: t.List[ServerConnection] = []
        #: Number of calls made so far.
        self.calls = 0

    async def read(self, head: bytes, path: str, wait_s: float) -> ServerResponse:
        """Sends a read; it is repeated once on a new connection if an idle one fails.

        :param path: path of the call, for error messages.
        :param wait_s: seconds for which the store may hold the response.
        :raises PlatformUnavailableError: if there was no response.
        """
        reused = self._take_idle()
        if reused is not None:
            try:
                return await self._call(reused, head, b"", defaults.STORE_REUSED_TIMEOUT_S + wait_s)
            except (BrokenResponseError, OSError):
                # Open connections may all have been cut or no longer transmit while new ones work.
                self._drop_idle()
        connection = await self._connect()
        try:
            return await self._call(connection, head, b"", self._timeout_s + wait_s)
        except (BrokenResponseError, OSError) as error:
            raise PlatformUnavailableError(_no_answer_message(path, error)) from error

    async def write(self, head: bytes, body: bytes, path: str) -> ServerResponse:
        """Sends a write, always on a new connection: it can't be repeated if its response is lost.

        :param path: path of the call, for error messages.
        :raises PlatformUnavailableError: if no connection was made.
        :raises PlatformUnknownError: if there was no response.
        """
        connection = await self._connect()
        try:
            return await self._call(connection, head, body, self._timeout_s)
        except (BrokenResponseError, OSError) as error:
            raise PlatformUnknownError(_no_answer_message(path, error)) from error

    async def _call(
        self, connection: ServerConnection, head: bytes, body: bytes, seconds: float
    ) -> ServerResponse:
        self.calls += 1
        async with asyncio.timeout(seconds):
            answer = await connection.exchange(head, body)
        if connection.is_reusable:
            self._idle.append(connection)
        return answer

    def _take_idle(self) -> t.Optional[ServerConnection]:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
        return None

    def _drop_idle(self) -> None:
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    async def _connect(self) -> ServerConnection:
        address = self._address
        try:
            return await connect(address, self._timeout_s, _MAX_RESPONSE_BYTES)
        except OSError as error:
            message = f"can't connect to the store at {address}: {error or type(error).__name__}"
            raise PlatformUnavailableError(message) from error


def _no_answer_message(path: str, error: Exception) -> str:
    return f"{path}: no answer: {error or type(error).__name__}"
