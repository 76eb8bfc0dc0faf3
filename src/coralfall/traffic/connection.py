"""One HTTP/1.1 connection to a server: one request at a time, and evidence of what became of it.

The parser is httptools'. aiohttp's client would be the house's choice; see docs/PLATFORM.md for
what was measured: it doubles the time that an entry needs to start, which callers wait for after
every kill, and it takes a reset for the end of an answer without a length.
"""

import asyncio
import socket
import typing as t

import httptools

from .. import defaults
from ..exceptions import CoralfallError
from ..process.sockets import end_when_silent

Headers = t.List[t.Tuple[bytes, bytes]]

_NO_BODY_STATUSES = frozenset((204, 304))
_FIRST_FINAL_STATUS = 200


class BrokenResponseError(CoralfallError):
    """The connection ended, or sent what is no answer, before the answer was whole."""

    code = "answer-broken"


class ServerResponse:
    """An answer, whole."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        #: Names in lower case.
        self.headers = headers
        self.body = body

    def header(self, name: bytes) -> t.Optional[bytes]:
        """Value of the first header of that name, in lower case."""
        for field, value in self.headers:
            if field == name:
                return value
        return None


class ServerConnection(asyncio.Protocol):
    """A connection that is opened by :func:`connect`.

    :param most: largest body of an answer in bytes.
    """

    def __init__(self, most: int) -> None:
        self._most = most
        self._transport: t.Optional[asyncio.Transport] = None
        self._answered: t.Optional[asyncio.Future[ServerResponse]] = None
        self._reusable = True
        #: Exchanges that went well on it.
        self.completed_exchanges = 0
        #: Whether any byte came since the last request was sent.
        self.has_received = False
        #: Whether it ended, by the server or on the way, while an answer was due.
        self.lost_in_exchange = False
        self._writable = asyncio.Event()
        self._writable.set()
        #: When whoever keeps it got it, or got it back.
        self.last_used_at = 0.0
        #: Seconds for which the server keeps it idle, if it said so.
        self.keep_alive_s: t.Optional[float] = None
        self._bodiless = False
        self._reset_answer()

    def _reset_answer(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._head_bytes = 0
        self._body = bytearray()
        self._status = 0
        self._head_done = False
        self._until_end = False
        self._surplus = False

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        transport = self._transport
        return self._reusable and transport is not None and not transport.is_closing()

    async def exchange(
        self,
        head: bytes,
        body: bytes,
        rest: t.Optional[t.AsyncIterator[bytes]] = None,
        bodiless: bool = False,
    ) -> ServerResponse:
        """Send a request and wait for the whole answer; the caller bounds the time.

        The connection is closed unless all went well.

        :param rest: further parts of the body, sent as they come.
        :param bodiless: whether the answer has no body, whatever its head says.
        :raises BrokenResponseError: if no whole answer came; the request may have been run.
        """
        transport = self._transport
        assert transport is not None and self._answered is None
        loop = asyncio.get_running_loop()
        self._answered = loop.create_future()
        self._bodiless = bodiless
        answered = self._answered
        self.has_received = False
        try:
            transport.write(head + body if body else head)
            if rest is not None:
                await self._send_rest(rest, answered)
            answer = await answered
        except BaseException:
            self.abort()
            raise
        finally:
            self._answered = None
        self.completed_exchanges += 1
        if self._reusable:
            self._reset_answer()
        else:
            self.abort()
        return answer

    async def _send_rest(
        self, rest: t.AsyncIterator[bytes], answered: "asyncio.Future[ServerResponse]"
    ) -> None:
        assert self._transport is not None
        async for piece in rest:
            if answered.done():
                # Answered early: the rest is due on this connection, so it can't be used again.
                self._reusable = False
                return
            self._transport.write(piece)
            await self._writable.wait()

    def partial_response(self) -> t.Optional[ServerResponse]:
        """The head of an answer whose body did not come whole; nothing if none came."""
        if not self._head_done:
            return None
        return ServerResponse(self._status, self._headers, b"")

    def abort(self) -> None:
        """Close at once."""
        self._reusable = False
        if self._transport is not None:
            self._transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        if self._answered is None or self._answered.done():
            # Bytes that nobody asked for belong to no request.
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
        if self._answered is None or not self._head_done or not self._until_end:
            return False
        if self._was_reset():
            self._fail("connection reset within an answer without a length")
        else:
            self._end()
        return False

    def _was_reset(self) -> bool:
        # A reset that arrives together with the last bytes can be read as an end; the socket
        # still tells one from the other.
        assert self._transport is not None
        connected: t.Optional[socket.socket] = self._transport.get_extra_info("socket")
        if connected is None:
            return False
        return connected.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def connection_lost(self, exc: t.Optional[Exception]) -> None:
        self._reusable = False
        self._writable.set()
        self.lost_in_exchange = self._answered is not None and not self._answered.done()
        self._fail(f"connection lost: {exc}" if exc else "connection closed")

    # httptools

    def on_message_begin(self) -> None:
        if self._answered is None or self._answered.done():
            # Whatever follows an answer belongs to no request.
            self._reusable = False
            self._surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._surplus:
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
        if self._answered is None or self._answered.done():
            return
        self._head_done = True
        self._note_keeping()
        if self._bodiless:
            self._reusable = False
            self._end()

    def _note_keeping(self) -> None:
        names = set()
        for name, value in self._headers:
            names.add(name)
            if name == b"connection" and b"close" in value.lower():
                self._reusable = False
            elif name == b"keep-alive":
                self._note_keep_alive(value)
        framed = b"content-length" in names or b"transfer-encoding" in names
        self._until_end = not framed and self._status not in _NO_BODY_STATUSES
        if self._until_end or not self._parser.should_keep_alive():
            self._reusable = False

    def _note_keep_alive(self, value: bytes) -> None:
        for part in value.split(b","):
            key, _, number = part.strip().partition(b"=")
            if key.lower() == b"timeout" and number.isdigit():
                self.keep_alive_s = float(number)

    def on_body(self, body: bytes) -> None:
        if self._answered is None or self._answered.done():
            return
        if len(self._body) + len(body) > self._most:
            self._fail("body too long")
            return
        self._body += body

    def on_message_complete(self) -> None:
        if self._head_done and not self._until_end:
            self._end()

    def _end(self) -> None:
        if self._answered is None or self._answered.done():
            return
        self._answered.set_result(ServerResponse(self._status, self._headers, bytes(self._body)))

    def _fail(self, message: str) -> None:
        self._reusable = False
        if self._answered is not None and not self._answered.done():
            self._answered.set_exception(BrokenResponseError(message))


async def connect(address: str, timeout_s: float, most: int) -> ServerConnection:
    """Open a connection.

    :param address: ``ip:port``.
    :raises OSError: if it can't be had; a ``TimeoutError`` if not in time.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        transport, connection = await loop.create_connection(
            lambda: ServerConnection(most), host, int(port)
        )
    end_when_silent(transport)
    return connection


def encode_head(
    method: str, path: str, host: str, fields: t.Iterable[t.Tuple[bytes, bytes]]
) -> bytes:
    """Bytes of a request's head."""
    lines = [f"{method} {path} HTTP/1.1\r\nhost: {host}\r\n".encode("latin-1")]
    for name, value in fields:
        lines += [name, b": ", value, b"\r\n"]
    lines.append(b"\r\n")
    return b"".join(lines)
