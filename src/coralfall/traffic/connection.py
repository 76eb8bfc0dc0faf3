"""HTTP/1.1 client connection that carries one request at a time.

It tells whether a failed request may have reached the server. Responses are parsed with httptools.
aiohttp's client, which other packages use, doubles the time that an entry needs to start, during
which callers wait after each crash, and it takes a connection reset for the regular end of a
response without a length; see docs/PLATFORM.md.
"""

import asyncio
import socket
import typing as t

import httptools

from .. import defaults
from ..exceptions import CoralfallError
from ..process.dead_peer import DeadPeerDetector

Headers = t.List[t.Tuple[bytes, bytes]]

_NO_BODY_STATUSES = frozenset((204, 304))
_FIRST_FINAL_STATUS = 200


class BrokenResponseError(CoralfallError):
    """The connection ended, or received invalid HTTP, before the response was complete."""

    code = "answer-broken"


class ServerResponse:
    """A complete response."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        #: Names in lower case.
        self.headers = headers
        self.body = body

    def header(self, name: bytes) -> t.Optional[bytes]:
        """Returns the first value of a header, whose name is given in lower case."""
        for field, value in self.headers:
            if field == name:
                return value
        return None


class ServerConnection(asyncio.Protocol):
    """A connection to a server; opened by :func:`connect`.

    :param max_body_bytes: size limit of a response's body.
    """

    def __init__(self, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._transport: t.Optional[asyncio.Transport] = None
        self._response_future: t.Optional[asyncio.Future[ServerResponse]] = None
        self._reusable = True
        #: Number of successful exchanges.
        self.completed_exchanges = 0
        #: Whether any byte was received since the last request was sent.
        self.has_received = False
        #: Whether the connection was lost while a response was pending.
        self.lost_in_exchange = False
        self._writable = asyncio.Event()
        self._writable.set()
        #: Monotonic time at which the owner of the connection opened it or took it back.
        self.last_used_at = 0.0
        #: Idle timeout of the server, if it sent a ``Keep-Alive`` header.
        self.keep_alive_s: t.Optional[float] = None
        self._bodiless = False
        self._on_body_bytes: t.Optional[t.Callable[[int], None]] = None
        self._detector: t.Optional[DeadPeerDetector] = None
        self._reset_parser()

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._head_bytes = 0
        self._body = bytearray()
        self._status = 0
        self._head_complete = False
        self._body_until_close = False
        self._ignore_surplus = False

    def detect_dead_peer(self, timeout_s: float) -> None:
        """Lets an exchange fail once the server has acknowledged nothing for that time."""
        assert self._transport is not None
        self._detector = DeadPeerDetector(self._transport, timeout_s)

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        transport = self._transport
        return self._reusable and transport is not None and not transport.is_closing()

    async def exchange(
        self,
        head: bytes,
        body: bytes,
        body_stream: t.Optional[t.AsyncIterator[bytes]] = None,
        bodiless: bool = False,
        on_body_bytes: t.Optional[t.Callable[[int], None]] = None,
    ) -> ServerResponse:
        """Sends a request and returns the complete response; callers have to set a timeout.

        The connection is closed if the exchange fails.

        :param body_stream: chunks of the body that follow ``body``, sent as they arrive.
        :param bodiless: whether the response has no body, whatever its head says.
        :param on_body_bytes: called with the size of each part of the body that was received.
        :raises BrokenResponseError: if the response is incomplete; the request may have run.
        """
        transport = self._transport
        assert transport is not None and self._response_future is None
        loop = asyncio.get_running_loop()
        self._response_future = loop.create_future()
        self._bodiless = bodiless
        self._on_body_bytes = on_body_bytes
        response_future = self._response_future
        self.has_received = False
        try:
            self._write(head + body if body else head)
            if body_stream is not None:
                await self._send_body_stream(body_stream, response_future)
            response = await response_future
        except BaseException:
            self.abort()
            raise
        finally:
            self._response_future = None
        self.completed_exchanges += 1
        if self._reusable:
            self._reset_parser()
        else:
            self.abort()
        return response

    async def _send_body_stream(
        self, body_stream: t.AsyncIterator[bytes], response_future: "asyncio.Future[ServerResponse]"
    ) -> None:
        async for chunk in body_stream:
            if response_future.done():
                # Early response: the server still expects the rest of the body, so no other
                # request may follow on this connection.
                self._reusable = False
                return
            self._write(chunk)
            await self._writable.wait()

    def _write(self, data: bytes) -> None:
        assert self._transport is not None
        self._transport.write(data)
        if self._detector is not None:
            self._detector.note_write()

    def partial_response(self) -> t.Optional[ServerResponse]:
        """Returns the head of an incomplete response; ``None`` if it was not received."""
        if not self._head_complete:
            return None
        return ServerResponse(self._status, self._headers, b"")

    def abort(self) -> None:
        """Closes the connection immediately."""
        self._reusable = False
        if self._transport is None:
            return
        if self._detector is not None:
            self._detector.stop()
            if self._response_future is not None:
                self._detector.reset_unsent()
        self._transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        if self._response_future is None or self._response_future.done():
            # Bytes that arrive while no request is pending belong to no response.
            self.abort()
            return
        self.has_received = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("the server switched protocols")
        except httptools.HttpParserError as error:
            self._fail(f"not an answer: {error}")

    def eof_received(self) -> bool:
        self._reusable = False
        if self._response_future is None or not self._head_complete or not self._body_until_close:
            return False
        if self._was_reset():
            self._fail("connection reset within an answer without a length")
        else:
            self._complete()
        return False

    def _was_reset(self) -> bool:
        # A reset that arrives together with the last bytes can look like a regular end of file; the
        # socket's pending error tells them apart.
        assert self._transport is not None
        connected: t.Optional[socket.socket] = self._transport.get_extra_info("socket")
        if connected is None:
            return False
        return connected.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def connection_lost(self, exc: t.Optional[Exception]) -> None:
        self._reusable = False
        self._writable.set()
        if self._detector is not None:
            self._detector.stop()
        self.lost_in_exchange = (
            self._response_future is not None and not self._response_future.done()
        )
        self._fail(f"connection lost: {exc}" if exc else "connection closed")

    # httptools

    def on_message_begin(self) -> None:
        if self._response_future is None or self._response_future.done():
            # A message that follows a complete response belongs to no request.
            self._reusable = False
            self._ignore_surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._ignore_surplus:
            return
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > defaults.MAX_ANSWER_HEAD_BYTES:
            self._fail("head too long")
            return
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self._status = self._parser.get_status_code()
        if self._status < _FIRST_FINAL_STATUS:
            self._headers = []
            return
        if self._response_future is None or self._response_future.done():
            return
        self._head_complete = True
        self._check_persistence()
        if self._bodiless:
            self._reusable = False
            self._complete()

    def _check_persistence(self) -> None:
        names = set()
        for name, value in self._headers:
            names.add(name)
            if name == b"connection" and b"close" in value.lower():
                self._reusable = False
            elif name == b"keep-alive":
                self._read_keep_alive(value)
        framed = b"content-length" in names or b"transfer-encoding" in names
        self._body_until_close = not framed and self._status not in _NO_BODY_STATUSES
        if self._body_until_close or not self._parser.should_keep_alive():
            self._reusable = False

    def _read_keep_alive(self, value: bytes) -> None:
        for part in value.split(b","):
            key, _, number = part.strip().partition(b"=")
            if key.lower() == b"timeout" and number.isdigit():
                self.keep_alive_s = float(number)

    def on_body(self, body: bytes) -> None:
        if self._response_future is None or self._response_future.done():
            return
        if len(self._body) + len(body) > self._max_body_bytes:
            self._fail("body too long")
            return
        self._body += body
        if self._on_body_bytes is not None:
            self._on_body_bytes(len(body))

    def on_message_complete(self) -> None:
        if self._head_complete and not self._body_until_close:
            self._complete()

    def _complete(self) -> None:
        if self._response_future is None or self._response_future.done():
            return
        self._response_future.set_result(
            ServerResponse(self._status, self._headers, bytes(self._body))
        )

    def _fail(self, message: str) -> None:
        self._reusable = False
        if self._response_future is not None and not self._response_future.done():
            self._response_future.set_exception(BrokenResponseError(message))


async def connect(address: str, timeout_s: float, max_body_bytes: int) -> ServerConnection:
    """Opens a connection to a server.

    :param address: ``ip:port``.
    :raises OSError: if the connection fails; ``TimeoutError`` if it takes too long.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, connection = await loop.create_connection(
            lambda: ServerConnection(max_body_bytes), host, int(port)
        )
    connection.detect_dead_peer(defaults.DEAD_PEER_TIMEOUT_S)
    return connection


def encode_head(
    method: str, path: str, host: str, fields: t.Iterable[t.Tuple[bytes, bytes]]
) -> bytes:
    """Returns the encoded request line and headers."""
    lines = [f"{method} {path} HTTP/1.1\r\nhost: {host}\r\n".encode("latin-1")]
    for name, value in fields:
        lines += [name, b": ", value, b"\r\n"]
    lines.append(b"\r\n")
    return b"".join(lines)
