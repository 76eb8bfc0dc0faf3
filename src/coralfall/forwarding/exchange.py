"""An exchange with a target: one request, one connection, one answer or evidence of its fate.

Errors say what is known, not what went wrong: :class:`TargetNotRunError` if the target surely did
not run the request, :class:`TargetUnknownError` as soon as a first byte may have left.
"""

import asyncio
import typing as t

import aiohttp
import msgspec
import multidict
from aiohttp.connector import Connection

from .. import defaults
from ..balancing.steering import AttemptResult
from ..exceptions import TargetNotRunError, TargetTimeoutError, TargetUnknownError
from ..ids import Outcome
from .headers import RawHeaders
from .request import RequestBody

if t.TYPE_CHECKING:
    from ..balancing.steering import Reservation, Steering
    from ..process.clock import Clock
    from .half_closed import HalfClosedConnections

_NO_AUTO_HEADERS: "multidict.CIMultiDict[None]" = multidict.CIMultiDict({"Content-Type": None})
_NO_BODY_STATUSES = frozenset((204, 304))
_GATEWAY_TIMEOUT = 504
#: What aiohttp raises when a connection, or what comes on it, breaks.
EXCHANGE_ERRORS = (aiohttp.ClientError, OSError, asyncio.TimeoutError, ValueError)


class TargetRequest(msgspec.Struct, frozen=True):
    """A request in the form in which targets get it."""

    method: str
    #: Path and query, percent-encoded.
    path: str
    #: End-to-end headers; length, host and deadline are added.
    headers: t.Sequence[t.Tuple[str, str]]
    body: t.Union[bytes, RequestBody, None] = None


class OutgoingRequest(aiohttp.ClientRequest):
    """A request to which aiohttp adds no headers of its own taste."""

    DEFAULT_HEADERS = {}

    request_body: t.Union[bytes, RequestBody, None] = None

    def update_auto_headers(self, skip_auto_headers: t.Optional[t.Iterable[str]]) -> None:
        self._skip_auto_headers = _NO_AUTO_HEADERS


class Exchange:
    """One request on one connection; its answer's body is read here.

    It ends by itself when the target has answered whole or the deadline passes, otherwise by
    :meth:`abort`. The reservation is given back once the target no longer serves the request: then,
    if it has answered or got nothing, otherwise when it has ended the connection.

    :param steering: gets the reservation back.
    :param reservation: the slot that is used.
    :param clock: tells how long it was used.
    :param siblings: set of exchanges under way; this one is in it until it ends.
    :param half_closed: takes the connection of a request that is given up.
    """

    def __init__(
        self,
        steering: "Steering",
        reservation: "Reservation",
        clock: "Clock",
        siblings: "t.Set[Exchange]",
        half_closed: "HalfClosedConnections",
    ) -> None:
        siblings.add(self)
        self._half_closed = half_closed
        self._siblings = siblings
        self._steering = steering
        self._reservation = reservation
        self._clock = clock
        self._began = clock.monotonic()
        self._finished = False
        self._connection: t.Optional[Connection] = None
        self._outgoing: t.Optional[OutgoingRequest] = None
        self._response: t.Optional[aiohttp.ClientResponse] = None
        self._timer: t.Optional[asyncio.TimerHandle] = None
        self._timed_out = False
        #: Time of the loop at which the target gives the request up.
        self._deadline = 0.0
        self.status = 0
        self.headers: RawHeaders = ()
        #: Length of the body that the target announced.
        self.length: t.Optional[int] = None
        #: Whether the answer is one that has a body, be it empty.
        self.bodied = True
        #: Whether the body has been read to its end.
        self.whole = False

    async def send(self, outgoing: OutgoingRequest, connection: Connection, seconds: float) -> None:
        """Send the request and wait for the answer's head.

        :param seconds: time after which the exchange is aborted, wherever it stands.
        :raises TargetNotRunError: if the target says so.
        :raises TargetUnknownError: if no answer came, or one of which no end could be told.
        """
        loop = asyncio.get_running_loop()
        self._deadline = loop.time() + seconds
        self._timer = loop.call_later(seconds, self._expire)
        self._outgoing = outgoing
        self._connection = connection
        try:
            await self._send(outgoing, connection)
            self._check_head(outgoing.method)
        except EXCHANGE_ERRORS as error:
            raise self._fail(error) from error
        except TargetNotRunError:
            self.abort(AttemptResult.NOT_RUN)
            raise
        except TargetUnknownError:
            self.abort(AttemptResult.FAILED)
            raise
        except BaseException:
            self.abort()
            raise

    async def _send(self, outgoing: OutgoingRequest, connection: Connection) -> None:
        protocol = connection.protocol
        assert protocol is not None
        protocol.set_response_params(
            skip_payload=outgoing.method == "HEAD",
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=defaults.CONNECTION_BUFFER_BYTES,
            max_field_size=defaults.MAX_HEADER_BYTES,
        )
        response = await outgoing.send(connection)
        self._response = response
        await response.start(connection)
        if self._finished:
            # Aborted between the arrival of the head and now; the body would be waited for in vain.
            raise ConnectionAbortedError("exchange was aborted as its answer came")
        self.status = response.status
        self.headers = response.raw_headers
        length = response.headers.get("content-length")
        self.length = int(length) if length is not None else None

    def _check_head(self, method: str) -> None:
        response = self._response
        assert response is not None
        outcome = response.headers.get(defaults.HEADER_TARGET_OUTCOME)
        if outcome == Outcome.NOT_RUN.value:
            raise TargetNotRunError("target says that it did not run the request")
        if outcome == Outcome.UNKNOWN.value:
            raise _own_word_unknown(response.status)
        if method == "HEAD" or self.status in _NO_BODY_STATUSES:
            self.bodied = False
            self._end_whole()
            return
        if self.length is None and "transfer-encoding" not in response.headers:
            raise TargetUnknownError("target's answer has no length, so it can't be told whole")
        response.content.on_eof(self._finish_answered)

    async def read(self, most: int) -> bytes:
        """The body, or its first part if it is longer than ``most`` bytes.

        :raises TargetUnknownError: if it breaks off.
        """
        if self.whole or (self.length is not None and self.length > most):
            return b""
        pieces = []
        size = 0
        while size <= most:
            piece = await self.piece()
            if not piece:
                break
            pieces.append(piece)
            size += len(piece)
        return b"".join(pieces)

    async def piece(self) -> bytes:
        """The next part of the body, empty at its end.

        :raises TargetUnknownError: if it breaks off.
        """
        if self.whole:
            return b""
        assert self._response is not None
        content = self._response.content
        try:
            piece = await content.readany()
        except EXCHANGE_ERRORS as error:
            raise self._fail(error) from error
        except BaseException:
            self.abort()
            raise
        if content.at_eof():
            self._end_whole()
        return piece

    def abort(self, result: AttemptResult = AttemptResult.CANCELLED) -> None:
        """Give the exchange up, so that a late answer reaches nobody; no effect once whole."""
        if self.whole:
            return
        if self._timer is not None:
            self._timer.cancel()
        was_finished = self._finished
        # What aiohttp calls back from here on is no result.
        self._finished = True
        may_be_served = not was_finished and result is not AttemptResult.NOT_RUN
        serving = self._detach() if may_be_served else None
        connection = self._connection
        if serving is None and connection is not None and connection.transport is not None:
            connection.transport.abort()
        if self._outgoing is not None:
            self._outgoing.terminate()
        if self._response is not None:
            self._response.close()
        if connection is not None:
            connection.close()
        if was_finished:
            return
        self._record(result)
        if serving is None:
            self._steering.release(self._reservation)
            return
        waiting = _ServedUntilClosed(self._steering, self._reservation, self._deadline)
        self._half_closed.add(serving, self._reservation.address, waiting)

    def _detach(self) -> t.Optional[asyncio.Transport]:
        """The open connection on which the target may still serve the request, without aiohttp."""
        protocol = None if self._connection is None else self._connection.protocol
        transport = None if protocol is None else protocol.transport
        if protocol is None or transport is None or transport.is_closing():
            return None
        protocol.connection_lost(None)
        return transport

    def _expire(self) -> None:
        self._timed_out = True
        self.abort(AttemptResult.FAILED)

    def _fail(self, error: BaseException) -> TargetUnknownError:
        body = self._outgoing.request_body if self._outgoing is not None else None
        if isinstance(body, RequestBody) and body.error is not None:
            self.abort(AttemptResult.CANCELLED)
            return TargetUnknownError(f"the request's body broke off: {body.error}")
        self.abort(AttemptResult.FAILED)
        if self._timed_out:
            return TargetTimeoutError("no whole answer before the deadline")
        return TargetUnknownError(f"exchange broke off: {error or type(error).__name__}")

    def _end_whole(self) -> None:
        self.whole = True
        if self._timer is not None:
            self._timer.cancel()
        self._finish(AttemptResult.ANSWERED)

    def _finish_answered(self) -> None:
        self._finish(AttemptResult.ANSWERED)

    def _finish(self, result: AttemptResult) -> None:
        if self._finished:
            return
        self._finished = True
        self._record(result)
        self._steering.release(self._reservation)

    def _record(self, result: AttemptResult) -> None:
        self._siblings.discard(self)
        load: t.Optional[str] = None
        if self._response is not None and self.status:
            load = self._response.headers.get(defaults.HEADER_TARGET_LOAD)
        seconds = self._clock.monotonic() - self._began
        self._steering.finish(self._reservation, result, seconds, load)


class _ServedUntilClosed:
    """Gives a reservation back once its target has ended the connection."""

    def __init__(self, steering: "Steering", reservation: "Reservation", deadline: float) -> None:
        self._steering = steering
        self._reservation = reservation
        self.deadline = deadline

    def ended(self) -> None:
        self._steering.release(self._reservation)

    def is_wanted(self) -> bool:
        return self._steering.has_target(self._reservation)


def _own_word_unknown(status: int) -> TargetUnknownError:
    message = "target says that it does not know whether it ran the request"
    if status == _GATEWAY_TIMEOUT:
        return TargetTimeoutError(message)
    return TargetUnknownError(message)
