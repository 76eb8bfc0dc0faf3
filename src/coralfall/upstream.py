"""Exchanges with targets: one request, one connection, one answer or evidence of what became of it.

Errors say what is known, not what went wrong: :class:`TargetNotRunError` if the target surely did
not run the request, :class:`TargetUnknownError` as soon as a first byte may have left.

This drives aiohttp's connector and request objects and not its session. The session resends
``PUT`` and ``DELETE`` on its own when a reused connection breaks, and it leaves no place between
"connected" and "sent" for the last check of the lease.
"""

import asyncio
import typing as t

import aiohttp
import msgspec
import multidict
import yarl

from . import defaults
from .exceptions import TargetNotRunError, TargetTimeoutError, TargetUnknownError
from .headers import RawHeaders
from .ids import Outcome
from .request import READ_METHODS, RequestBody

if t.TYPE_CHECKING:
    from .clock import Clock
    from .steering import Reservation

_NO_AUTO_HEADERS: "multidict.CIMultiDict[None]" = multidict.CIMultiDict({"Content-Type": None})
_NO_BODY_STATUSES = frozenset((204, 304))
_ERRORS = (aiohttp.ClientError, OSError, asyncio.TimeoutError, ValueError)


class TargetRequest(msgspec.Struct, frozen=True):
    """A request in the form in which targets get it."""

    method: str
    #: Path and query, percent-encoded.
    path: str
    #: End-to-end headers; length, host and deadline are added.
    headers: t.Sequence[t.Tuple[str, str]]
    body: t.Union[bytes, RequestBody, None] = None


class _Outgoing(aiohttp.ClientRequest):
    """A request to which aiohttp adds no headers of its own taste."""

    DEFAULT_HEADERS = {}

    def update_auto_headers(self, skip_auto_headers: t.Optional[t.Iterable[str]]) -> None:
        self._skip_auto_headers = _NO_AUTO_HEADERS


class Exchange:
    """An answer whose head has come; its body is read here.

    Ends by itself when the body is whole or the deadline passes, otherwise by :meth:`abort`.

    :param connection: the connection, used by this exchange alone.
    :param on_end: called once when the exchange no longer uses its connection.
    """

    def __init__(
        self, connection: aiohttp.connector.Connection, on_end: t.Callable[[], None]
    ) -> None:
        self._connection = connection
        self._on_end: t.Optional[t.Callable[[], None]] = on_end
        self._outgoing: t.Optional[_Outgoing] = None
        self._response: t.Optional[aiohttp.ClientResponse] = None
        self._timer: t.Optional[asyncio.TimerHandle] = None
        self._timed_out = False
        self.status = 0
        self.headers: RawHeaders = ()
        #: Target's load report, ``in-flight/slots``, if it sent one.
        self.load: t.Optional[str] = None
        #: Length of the body that the target announced.
        self.length: t.Optional[int] = None
        #: Whether the body has been read to its end.
        self.whole = False

    async def send(self, outgoing: _Outgoing, seconds: float) -> None:
        """Send the request and wait for the answer's head.

        :param seconds: time after which the exchange is aborted, wherever it stands.
        :raises TargetNotRunError: if the target says so.
        :raises TargetUnknownError: if no answer came.
        """
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._expire)
        self._outgoing = outgoing
        try:
            await self._send(outgoing)
        except _ERRORS as error:
            self.abort()
            raise self._failure(error) from error
        except BaseException:
            self.abort()
            raise
        self._check_head(outgoing.method)

    async def _send(self, outgoing: _Outgoing) -> None:
        protocol = self._connection.protocol
        assert protocol is not None
        protocol.set_response_params(
            skip_payload=outgoing.method == "HEAD",
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=defaults.CONNECTION_BUFFER_BYTES,
            max_field_size=defaults.MAX_HEADER_BYTES,
        )
        response = await outgoing.send(self._connection)
        self._response = response
        await response.start(self._connection)
        self.status = response.status
        self.headers = response.raw_headers
        self.load = response.headers.get(defaults.HEADER_TARGET_LOAD)
        length = response.headers.get("content-length")
        self.length = int(length) if length is not None else None

    def _check_head(self, method: str) -> None:
        response = self._response
        assert response is not None
        if response.headers.get(defaults.HEADER_TARGET_OUTCOME) == Outcome.NOT_RUN.value:
            self.abort()
            raise TargetNotRunError("target shed the request", status=self.status, load=self.load)
        if method == "HEAD" or self.status in _NO_BODY_STATUSES:
            self._end_whole()
            return
        if self.length is None and response.headers.get("transfer-encoding") is None:
            self.abort()
            raise TargetUnknownError("target's answer has no length, so it can't be told whole")

    async def read(self, most: int) -> bytes:
        """The body, or its first part if it is longer than ``most`` bytes.

        :raises TargetUnknownError: if it breaks off.
        """
        if self.whole:
            return b""
        if self.length is not None and self.length > most:
            return b""
        pieces = []
        size = 0
        async for piece in self.pieces():
            pieces.append(piece)
            size += len(piece)
            if size > most:
                break
        return b"".join(pieces)

    async def pieces(self) -> t.AsyncIterator[bytes]:
        """The body, or what is left of it, as it comes.

        :raises TargetUnknownError: if it breaks off.
        """
        assert self._response is not None
        content = self._response.content
        try:
            while not self.whole:
                piece = await content.readany()
                if content.at_eof():
                    self._end_whole()
                if piece:
                    yield piece
        except _ERRORS as error:
            self.abort()
            raise self._failure(error) from error

    def abort(self) -> None:
        """End the exchange by closing its connection; a late answer then reaches nobody."""
        if self._on_end is None:
            return
        transport = self._connection.transport
        if transport is not None:
            transport.abort()
        if self._outgoing is not None:
            self._outgoing.terminate()
        if self._response is not None:
            self._response.close()
        self._connection.close()
        self._end()

    def _expire(self) -> None:
        self._timed_out = True
        transport = self._connection.transport
        if transport is not None:
            transport.abort()

    def _end_whole(self) -> None:
        self.whole = True
        self._end()

    def _end(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._on_end is not None:
            on_end, self._on_end = self._on_end, None
            on_end()

    def _failure(self, error: BaseException) -> TargetUnknownError:
        if self._timed_out:
            return TargetTimeoutError("no whole answer before the deadline")
        return TargetUnknownError(f"exchange broke off: {error or type(error).__name__}")


class Upstream:
    """Carries requests to targets; create it while the loop runs.

    Reads use kept connections. Commands open a new one each: a target that died without a word
    is then found by the connection that fails, which is evidence of "not run", and not by a
    command lost on a dead connection, which is none.

    :param clock: for deadlines.
    """

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        self._kept = aiohttp.TCPConnector(limit=0, keepalive_timeout=defaults.IDLE_CONNECTION_S)
        self._fresh = aiohttp.TCPConnector(limit=0, force_close=True)
        self._open_by_address: t.Dict[str, int] = {}

    async def exchange(
        self,
        reservation: "Reservation",
        request: TargetRequest,
        deadline: float,
        check: t.Callable[[], None],
    ) -> Exchange:
        """Carry one request to one target, until the head of its answer.

        :param deadline: monotonic time at which the exchange is aborted.
        :param check: called once connected, just before the first byte leaves; what it raises
            ends the exchange with nothing sent.
        :raises TargetNotRunError: with evidence that the target did not run the request.
        :raises TargetUnknownError: if bytes left and no answer came.
        """
        address = reservation.address
        self._enter(address, reservation.connections)
        try:
            outgoing = _outgoing(address, request)
            connection = await self._connect(outgoing, deadline)
        except BaseException:
            self._leave(address)
            raise
        exchange = Exchange(connection, lambda: self._leave(address))
        try:
            check()
            seconds = deadline - self._clock.monotonic()
            if seconds <= 0:
                raise TargetNotRunError("deadline passed before the request was sent")
        except BaseException:
            exchange.abort()
            raise
        outgoing.headers[defaults.HEADER_TARGET_DEADLINE] = str(max(1, int(seconds * 1000)))
        await exchange.send(outgoing, seconds)
        return exchange

    async def close(self) -> None:
        """Close all connections."""
        await self._kept.close()
        await self._fresh.close()

    async def _connect(self, outgoing: _Outgoing, deadline: float) -> aiohttp.connector.Connection:
        connector = self._kept if outgoing.method in READ_METHODS else self._fresh
        seconds = min(defaults.CONNECT_TIMEOUT_S, deadline - self._clock.monotonic())
        if seconds <= 0:
            raise TargetNotRunError("deadline passed before the target was connected")
        timeout = aiohttp.ClientTimeout(connect=seconds)
        while True:
            try:
                connection = await connector.connect(outgoing, [], timeout)
            except _ERRORS as error:
                message = f"target can't be connected: {error or type(error).__name__}"
                raise TargetNotRunError(message) from error
            assert connection.protocol is not None
            if not connection.protocol.should_close:
                return connection
            # Bytes came that nobody asked for; the next request would take them for its answer.
            connection.close()

    def _enter(self, address: str, connections: int) -> None:
        count = self._open_by_address.get(address, 0)
        # Half for commands' new connections, half for kept ones: a kept one is opened only when
        # none is idle, so there are never more of them than reads were under way at once.
        if count >= max(1, connections // 2):
            raise TargetNotRunError("all connections to the target are in use")
        self._open_by_address[address] = count + 1

    def _leave(self, address: str) -> None:
        count = self._open_by_address[address] - 1
        if count:
            self._open_by_address[address] = count
        else:
            del self._open_by_address[address]


def _outgoing(address: str, request: TargetRequest) -> _Outgoing:
    headers = list(request.headers)
    body = request.body
    if isinstance(body, RequestBody) and body.length is not None:
        headers.append(("Content-Length", str(body.length)))
    url = yarl.URL(f"http://{address}{request.path}", encoded=True)
    return _Outgoing(request.method, url, headers=headers, data=body)
