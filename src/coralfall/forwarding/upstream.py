"""Upstream: connections to targets, and the last checks before a request is sent on one.

This drives aiohttp's connector and request objects and not its session. The session resends
``PUT`` and ``DELETE`` on its own when a reused connection breaks, and it leaves no place between
"connected" and "sent" for the last check of the lease.
"""

import asyncio
import functools
import math
import typing as t

import aiohttp
import yarl
from aiohttp.connector import Connection

from .. import defaults
from ..balancing.steering import AttemptResult
from ..exceptions import RefusedError, TargetNotRunError
from .bounded_response import BoundedConnector
from .exchange import EXCHANGE_ERRORS, Exchange, OutgoingRequest, TargetRequest
from .half_closed import HalfClosedConnections
from .request import READ_METHODS, RequestBody

if t.TYPE_CHECKING:
    from ..balancing.steering import Reservation, Steering
    from ..placement.stop_admission import StopAdmission
    from ..process.clock import Clock

_CONNECT_TIMEOUT = aiohttp.ClientTimeout(connect=defaults.CONNECT_TIMEOUT_S)
#: Addresses of targets whose parsed form is kept.
_ADDRESSES = 4096
#: Seconds until the allowance is looked at again while there is none.
_NO_ALLOWANCE_S = 0.05


class Upstream:
    """Carries requests to targets; create it while the loop runs.

    Reads use kept connections. Commands open a new one each: a target that died without a word
    is then found by the connection that fails, which is evidence of "not run", and not by a
    command lost on a dead connection, which is none.

    :param steering: owns the reservations.
    :param stop_admission: decides on requests while the process stops.
    :param clock: for deadlines.
    """

    def __init__(
        self, steering: "Steering", stop_admission: "StopAdmission", clock: "Clock"
    ) -> None:
        self._steering = steering
        self._stop_admission = stop_admission
        self._clock = clock
        self._kept = BoundedConnector(limit=0, keepalive_timeout=defaults.CONNECTION_IDLE_TIMEOUT_S)
        self._fresh = BoundedConnector(limit=0, force_close=True)
        self._open_by_address: t.Dict[str, int] = {}
        self._exchanges: t.Set[Exchange] = set()
        self._half_closed = HalfClosedConnections()

    async def exchange(
        self, reservation: "Reservation", request: TargetRequest, deadline: float
    ) -> Exchange:
        """Carry one request to one target, until the head of its answer.

        Gives the reservation back, whatever happens, once the target no longer serves the request.

        :param deadline: monotonic time at which the exchange is aborted.
        :raises RefusedError: if the reservation no longer holds, or if the process ends before the
            deadline; nothing was sent.
        :raises TargetNotRunError: with evidence that the target did not run the request.
        :raises TargetUnknownError: if bytes left and no answer came.
        """
        exchange = Exchange(
            self._steering, reservation, self._clock, self._exchanges, self._half_closed
        )
        try:
            self._check_limit(reservation)
        except TargetNotRunError:
            exchange.abort()
            raise
        try:
            outgoing = _outgoing(reservation, request, self._steering)
            connection = await self._connect(outgoing, reservation, deadline)
        except TargetNotRunError:
            exchange.abort(AttemptResult.NOT_RUN)
            raise
        except BaseException:
            exchange.abort()
            raise
        try:
            self._steering.check(reservation)
            self._stop_admission.check(reservation.service, deadline, may_repeat=False)
            seconds = deadline - self._clock.monotonic()
            if seconds <= 0:
                raise _too_late()
        except BaseException:
            connection.close()
            exchange.abort()
            raise
        outgoing.headers[defaults.HEADER_TARGET_DEADLINE] = str(max(1, int(seconds * 1000)))
        # If the process is paused between here and the send, only the target can notice.
        ends_at_ms = int((self._clock.wall() + seconds) * 1000)
        outgoing.headers[defaults.HEADER_TARGET_DEADLINE_AT] = str(ends_at_ms)
        described = self._steering.describe(reservation)
        if described is not None:
            outgoing.headers[defaults.HEADER_TARGET_SLOT] = described
        await exchange.send(outgoing, connection, seconds)
        return exchange

    @property
    def given_up_count(self) -> int:
        """Returns the number of requests that were given up and that targets may still serve."""
        return self._half_closed.waiting_count

    async def close(self) -> None:
        """Close all connections, also those in use, of which some may be stuck in a write."""
        for exchange in list(self._exchanges):
            exchange.abort()
        await self._half_closed.close()
        await self._kept.close()
        await self._fresh.close()

    async def _connect(
        self, outgoing: OutgoingRequest, reservation: "Reservation", deadline: float
    ) -> Connection:
        seconds = min(defaults.CONNECT_TIMEOUT_S, deadline - self._clock.monotonic())
        if seconds <= 0:
            raise _too_late()
        address = reservation.address
        self._open_by_address[address] = self._open_by_address.get(address, 0) + 1
        connector = self._kept if outgoing.method in READ_METHODS else self._fresh
        timeout = _CONNECT_TIMEOUT
        if seconds < defaults.CONNECT_TIMEOUT_S:
            timeout = aiohttp.ClientTimeout(connect=seconds)
        try:
            while True:
                connection = await connector.connect(outgoing, [], timeout)
                assert connection.protocol is not None
                if not connection.protocol.should_close:
                    break
                # Bytes came unasked; the next request would take them for its answer.
                connection.close()
        except EXCHANGE_ERRORS as error:
            self._uncount(address)
            message = f"target can't be connected: {error or type(error).__name__}"
            raise TargetNotRunError(message) from error
        except BaseException:
            self._uncount(address)
            raise
        connection.add_callback(lambda: self._uncount(address))
        return connection

    def _check_limit(self, reservation: "Reservation") -> None:
        # Half for commands' new connections, half for kept ones: a kept one is opened only when
        # none is idle, so there are never more of them than reads were under way at once.
        most = max(1, reservation.connections // 2)
        address = reservation.address
        half_closed = self._half_closed.count(address)
        if self._open_by_address.get(address, 0) + half_closed >= most:
            raise TargetNotRunError("all connections to the target are in use")

    def _uncount(self, address: str) -> None:
        count = self._open_by_address[address] - 1
        if count:
            self._open_by_address[address] = count
        else:
            del self._open_by_address[address]


def _too_late() -> RefusedError:
    message = "deadline passed before the request was sent"
    return RefusedError(message, defaults.RETRY_AFTER_S)


@functools.lru_cache(maxsize=_ADDRESSES)
def _base_url(address: str) -> yarl.URL:
    return yarl.URL(f"http://{address}/", encoded=True)


async def _paced(
    body: RequestBody, reservation: "Reservation", steering: "Steering"
) -> t.AsyncIterator[bytes]:
    """The body's pieces, no faster than the link into the target's region allows."""
    async for piece in body:
        seconds = steering.pace(reservation, len(piece))
        while math.isinf(seconds):
            await asyncio.sleep(_NO_ALLOWANCE_S)
            seconds = steering.pace(reservation, len(piece))
        if seconds > 0:
            await asyncio.sleep(seconds)
        yield piece


def _outgoing(
    reservation: "Reservation", request: TargetRequest, steering: "Steering"
) -> OutgoingRequest:
    headers = list(request.headers)
    body = request.body
    data: t.Union[bytes, t.AsyncIterator[bytes], None] = None
    if isinstance(body, RequestBody):
        data = _paced(body, reservation, steering)
    else:
        data = body
        # A held body is short: it is counted, and the next long one waits for it.
        steering.pace(reservation, len(body or b""))
    if isinstance(body, RequestBody) and body.length is not None:
        headers.append(("Content-Length", str(body.length)))
    # A path with its query counts as a path here, which also keeps it as the caller sent it.
    url = _base_url(reservation.address).with_path(request.path, encoded=True)
    outgoing = OutgoingRequest(request.method, url, headers=headers, data=data)
    outgoing.request_body = body
    return outgoing
