"""HTTP/1.1 client connection that carries one request at a time.

It tells whether a failed request may have reached the server. Responses are parsed with httptools.
aiohttp's client, which other packages use, doubles the time that an entry needs to start, during
which callers wait after each crash, and it takes a connection reset for the regular end of a
response without a length; see docs/PLATFORM.md.
"""

import asyncio
import socket
import typing as t

from .. import defaults
from ..process import log
from ..process.dead_peer import DeadPeerDetector
from .receive_budget import ReceiveBudget, ReceivedBytes
from .response_parser import BrokenResponseError, ResponseParser, ServerResponse

#: Bytes after which other connections get their turn.
_MAX_PARSED_AT_ONCE = 64 * 1024


class ServerConnection(asyncio.Protocol):
    """A connection to a server; opened by :func:`connect`.

    :param max_body_bytes: size limit of a response's body.
    :param budget: that its responses count toward.
    """

    def __init__(self, max_body_bytes: int, budget: t.Optional[ReceiveBudget] = None) -> None:
        self._max_body_bytes = max_body_bytes
        self._budget = budget if budget is not None else ReceiveBudget(max_body_bytes)
        self._received: t.Optional[ReceivedBytes] = None
        #: Bytes that were received and are not parsed yet.
        self._unparsed = b""
        self._is_paused = False
        self._parse_timer: t.Optional[asyncio.TimerHandle] = None
        self._transport: t.Optional[asyncio.Transport] = None
        self._response_future: t.Optional[asyncio.Future[ServerResponse]] = None
        self._address = ""
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
        self._detector: t.Optional[DeadPeerDetector] = None
        self._parser: t.Optional[ResponseParser] = None

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
        self._parser = ResponseParser(self._max_body_bytes, bodiless, on_body_bytes)
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
            if self._received is not None:
                self._received.release()
                self._received = None
        self.completed_exchanges += 1
        if not self._reusable:
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
        return self._parser.head if self._parser is not None else None

    def abort(self) -> None:
        """Closes the connection immediately."""
        self._reusable = False
        if self._transport is None:
            return
        self._drop_unparsed()
        if self._detector is not None:
            self._detector.stop()
            if self._response_future is not None:
                self._detector.reset_unsent()
        self._transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)
        name = transport.get_extra_info("peername")
        self._address = f"{name[0]}:{name[1]}" if name else ""

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
        self._unparsed += data
        if self._parse_timer is None:
            self._parse()

    def _parse(self) -> None:
        """Parses what was received, as much at a time as the budget allows."""
        self._parse_timer = None
        parser = self._parser
        assert parser is not None
        size = min(len(self._unparsed), _MAX_PARSED_AT_ONCE)
        for start in range(0, size, defaults.PARSED_SLICE_BYTES):
            end = min(size, start + defaults.PARSED_SLICE_BYTES)
            parts = parser.parts
            try:
                parser.feed(self._unparsed[start:end])
            except BrokenResponseError as error:
                log.info("answer.invalid", peer=self._address, reason=error.message)
                self._fail(error)
                return
            self._take_progress(parser)
            if self._response_future is None or self._response_future.done():
                if end < len(self._unparsed):
                    # Bytes after a complete response belong to no request.
                    self._reusable = False
                self._drop_unparsed()
                return
            parts = parser.parts - parts
            if parts <= defaults.FREE_PARTS:
                continue
            now = asyncio.get_running_loop().time()
            self._pause_parsing(end, self._budget.pacer.pause_s(now, parts))
            return
        if size >= _MAX_PARSED_AT_ONCE:
            self._pause_parsing(size, 0.0)
            return
        self._drop_unparsed()

    def _pause_parsing(self, parsed: int, seconds: float) -> None:
        self._unparsed = self._unparsed[parsed:]
        assert self._transport is not None
        if not self._is_paused and not self._transport.is_closing():
            self._transport.pause_reading()
            self._is_paused = True
        self._parse_timer = asyncio.get_running_loop().call_later(seconds, self._parse)

    def _drop_unparsed(self) -> None:
        """Forgets what is not parsed, and reads on."""
        self._unparsed = b""
        if self._parse_timer is not None:
            self._parse_timer.cancel()
            self._parse_timer = None
        if self._is_paused:
            self._is_paused = False
            assert self._transport is not None
            if not self._transport.is_closing():
                self._transport.resume_reading()

    def _take_progress(self, parser: ResponseParser) -> None:
        if not parser.keeps_connection:
            self._reusable = False
        if parser.keep_alive_s is not None:
            self.keep_alive_s = parser.keep_alive_s
        assert self._response_future is not None
        if not parser.complete:
            if self._received is None:
                self._received = ReceivedBytes(self._budget, self._address, self._cut_off)
            self._received.grow_to(parser.body_bytes)
        elif not self._response_future.done():
            self._response_future.set_result(parser.take_response())
            # Ends the wait of a body that the server may never read.
            self._writable.set()

    def eof_received(self) -> bool:
        self._reusable = False
        parser = self._parser
        if parser is None or self._response_future is None or self._response_future.done():
            return False
        if parser.body_until_close and self._was_reset():
            message = "connection reset within an answer without a length"
            self._fail(BrokenResponseError(message))
            return False
        parser.end()
        self._take_progress(parser)
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
        message = f"connection lost: {exc}" if exc else "connection closed"
        self._fail(BrokenResponseError(message))

    def _cut_off(self) -> None:
        size = self._parser.body_bytes if self._parser is not None else 0
        log.info("answer.cut-off", peer=self._address, bytes=size)
        message = f"answers being received would take more than {self._budget.limit} bytes"
        self._fail(BrokenResponseError(message))

    def _fail(self, error: BrokenResponseError) -> None:
        self._reusable = False
        self._drop_unparsed()
        if self._parser is not None:
            self._parser.drop_body()
        self._writable.set()
        if self._response_future is not None and not self._response_future.done():
            self._response_future.set_exception(error)


async def connect(
    address: str,
    timeout_s: float,
    max_body_bytes: int,
    budget: t.Optional[ReceiveBudget] = None,
) -> ServerConnection:
    """Opens a connection to a server.

    :param address: ``ip:port``.
    :param max_body_bytes: size limit of a response's body.
    :param budget: that its responses count toward, with those of other connections.
    :raises OSError: if the connection fails; ``TimeoutError`` if it takes too long.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, connection = await loop.create_connection(
            lambda: ServerConnection(max_body_bytes, budget), host, int(port)
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
