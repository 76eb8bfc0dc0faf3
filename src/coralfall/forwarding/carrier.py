"""Carrier: gives one request to one target after another until one answers."""

import asyncio
import typing as t

from .. import defaults
from ..exceptions import (
    CoralfallError,
    RefusedError,
    SlotLostError,
    TargetError,
    TargetNotRunError,
    TargetUnknownError,
)
from ..ids import Outcome, TargetId
from .answer import Answer
from .exchange import TargetRequest
from .headers import headers_to_caller, headers_to_target
from .hedge import Hedge, ReadLatency

if t.TYPE_CHECKING:
    from ..balancing.steering import Steering
    from ..ids import PartnerId, ServiceId
    from ..placement.stop_admission import StopAdmission
    from ..process.clock import Clock
    from .exchange import Exchange
    from .request import CallerRequest
    from .upstream import Upstream


class Budget(t.Protocol):
    """Bounds the retries and hedges of one service to a share of its requests."""

    def request(self) -> None:
        """Count a request."""

    def take(self) -> bool:
        """Whether one retry is allowed; counts it if so."""

    def take_hedge(self) -> bool:
        """Whether one hedge is allowed; counts it if so."""


class Delivery:
    """One request on its way, and the targets it was given to.

    :param deadline: monotonic time by which it must be over.
    :raises RequestError: if its headers can't be passed on.
    """

    def __init__(self, request: "CallerRequest", deadline: float) -> None:
        self.request = request
        self.deadline = deadline
        self.headers = headers_to_target(request.headers, request.caller_host)
        self.tried: t.Set[TargetId] = set()

    def outgoing(self) -> TargetRequest:
        """What the next target is sent."""
        request = self.request
        body = request.body
        whole = body.whole if body is not None else None
        if whole is None:
            return TargetRequest(request.method, request.path, self.headers, body)
        return TargetRequest(request.method, request.path, self.headers, whole)

    def may_retry(self, failure: CoralfallError) -> bool:
        """Whether another target may be given the request after such a failure."""
        if len(self.tried) >= defaults.MAX_ATTEMPTS:
            return False
        body = self.request.body
        if body is not None and not body.replayable:
            return False
        return self.request.read or isinstance(failure, TargetNotRunError)

    def body_bytes(self) -> int:
        """Length of the body, or the most it may be."""
        body = self.request.body
        if body is None:
            return 0
        return body.limit if body.length is None else body.length


class _ServiceShared:
    """What one service's requests share."""

    def __init__(self, budget: Budget) -> None:
        self.budget = budget
        self.latency = ReadLatency()


class Carrier:
    """Carries requests to targets.

    Reads are given to another target when one fails, or beside one that is slow, under a budget
    for each service. Commands are given to another target only with evidence that the first did
    not run them.

    :param steering: chooses targets and holds their slots.
    :param upstream: carries single exchanges.
    :param new_budget: makes the retry budget of a service.
    :param stop_admission: decides on requests while the process stops.
    :param clock: for deadlines.
    """

    def __init__(
        self,
        steering: "Steering",
        upstream: "Upstream",
        new_budget: t.Callable[[], Budget],
        stop_admission: "StopAdmission",
        clock: "Clock",
    ) -> None:
        self._steering = steering
        self._upstream = upstream
        self._new_budget = new_budget
        self._stop_admission = stop_admission
        self._clock = clock
        self._shared_by_service: t.Dict[t.Tuple["PartnerId", "ServiceId"], _ServiceShared] = {}

    async def carry(self, delivery: Delivery) -> Answer:
        """The answer of the first target that gives one.

        :raises RefusedError: if no target was given the request.
        :raises TargetNotRunError: if none of the targets ran it.
        :raises TargetUnknownError: if one of them may have run it.
        """
        shared = self._shared_of(delivery.request.partner, delivery.request.service)
        shared.budget.request()
        failure: t.Optional[CoralfallError] = None
        while True:
            try:
                if delivery.request.read and delivery.request.body is None:
                    return await self._hedged(delivery, shared)
                return await self._attempt(delivery)
            except RefusedError as refusal:
                if isinstance(failure, TargetUnknownError):
                    raise failure from refusal
                raise
            except TargetError as error:
                failure = _weightier(failure, error)
            if not delivery.may_retry(failure) or self._clock.monotonic() >= delivery.deadline:
                raise failure
            if not shared.budget.take():
                raise failure

    async def _hedged(self, delivery: Delivery, shared: _ServiceShared) -> Answer:
        delay = shared.latency.delay
        if delay is None:
            return await self._timed(delivery, shared.latency)
        # While the first waits for a slot, a second would only wait beside it.
        hedge = Hedge(
            delay,
            lambda: bool(delivery.tried) and shared.budget.take_hedge(),
            lambda: self._attempt(delivery),
        )
        try:
            return await self._timed(delivery, shared.latency)
        except asyncio.CancelledError:
            answer = hedge.accept()
            if answer is None:
                raise
            return answer
        except (RefusedError, TargetError) as error:
            answer = await hedge.outcome()
            if answer is not None:
                return answer
            if isinstance(hedge.failure, TargetUnknownError):
                raise hedge.failure from error
            raise
        finally:
            hedge.stop()

    async def _timed(self, delivery: Delivery, latency: ReadLatency) -> Answer:
        began = self._clock.monotonic()
        answer = await self._attempt(delivery)
        latency.record(self._clock.monotonic() - began)
        return answer

    async def _attempt(self, delivery: Delivery) -> Answer:
        if self._clock.monotonic() >= delivery.deadline:
            message = "deadline passed before the request was dispatched"
            raise RefusedError(message, defaults.RETRY_AFTER_S)
        self._stop_admission.check(delivery.request.service, delivery.deadline, may_repeat=False)
        exchange = await self._send(delivery)
        first = await exchange.read(defaults.MAX_BUFFERED_ANSWER_BYTES)
        passed = headers_to_caller(exchange.headers)
        answer = Answer(exchange.status, passed, first, Outcome.DONE)
        if not exchange.whole:
            answer.stream = exchange
        elif exchange.length is None and exchange.bodied:
            # It came in chunks; now that its length is known, a caller can check it.
            passed.append((b"content-length", str(len(first)).encode()))
        return answer

    async def _send(self, delivery: Delivery) -> "Exchange":
        request = delivery.request
        slots_lost = 0
        while True:
            reservation = await self._steering.reserve(
                request.partner,
                request.service,
                tried=delivery.tried,
                deadline=delivery.deadline,
                body_bytes=delivery.body_bytes(),
            )
            delivery.tried.add(reservation.target_id)
            try:
                return await self._upstream.exchange(
                    reservation, delivery.outgoing(), delivery.deadline
                )
            except SlotLostError:
                # Nothing was sent, so this target may be tried again by another slot.
                delivery.tried.discard(reservation.target_id)
                slots_lost += 1
                if slots_lost >= defaults.MAX_ATTEMPTS:
                    raise

    def latency_of(self, partner: "PartnerId", service: "ServiceId") -> ReadLatency:
        """Latencies of a service's reads as they are known here."""
        return self._shared_of(partner, service).latency

    def _shared_of(self, partner: "PartnerId", service: "ServiceId") -> _ServiceShared:
        shared = self._shared_by_service.get((partner, service))
        if shared is None:
            shared = _ServiceShared(self._new_budget())
            self._shared_by_service[partner, service] = shared
        return shared


def _weightier(first: t.Optional[CoralfallError], second: CoralfallError) -> CoralfallError:
    """The failure to report: one attempt that may have run makes the whole request so."""
    if isinstance(first, TargetUnknownError):
        return second if isinstance(second, TargetUnknownError) else first
    return second
