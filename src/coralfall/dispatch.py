"""Dispatch: gives each request to targets until one answers, or says what became of it."""

import asyncio
import typing as t

from . import defaults
from .answer import Answer, answer_of
from .exceptions import (
    CallerGoneError,
    CoralfallError,
    RefusedError,
    RequestError,
    TargetError,
    TargetNotRunError,
    TargetUnknownError,
)
from .headers import headers_to_caller, headers_to_target
from .ids import Outcome, TargetId
from .request import body_too_large
from .steering import AttemptResult
from .upstream import TargetRequest

if t.TYPE_CHECKING:
    from .bundle import Service
    from .clock import Clock
    from .ids import PartnerId, ServiceId
    from .request import CallerRequest
    from .steering import Reservation, Steering
    from .upstream import Exchange, Upstream

_DEADLINE = defaults.HEADER_DEADLINE.encode()


class Budget(t.Protocol):
    """Bounds the retries of one service to a share of its requests."""

    def request(self) -> None:
        """Count a request."""

    def take(self) -> bool:
        """Whether one retry is allowed; counts it if so."""


class Attempt:
    """One reservation, given back exactly once.

    It is the stream of a long answer too: the slot is held until the body has passed.
    """

    def __init__(self, steering: "Steering", reservation: "Reservation", clock: "Clock") -> None:
        self._steering = steering
        self._reservation = reservation
        self._clock = clock
        self._began = clock.monotonic()
        self._finished = False
        self.exchange: t.Optional["Exchange"] = None

    def finish(self, result: AttemptResult) -> None:
        """Give the slot back; later calls do nothing."""
        if self._finished:
            return
        self._finished = True
        seconds = self._clock.monotonic() - self._began
        load = self.exchange.load if self.exchange is not None else None
        self._steering.finish(self._reservation, result, seconds, load)

    async def pieces(self) -> t.AsyncIterator[bytes]:
        """The rest of the answer's body, after which the slot is free."""
        assert self.exchange is not None
        try:
            async for piece in self.exchange.pieces():
                yield piece
        except TargetUnknownError:
            self.finish(AttemptResult.FAILED)
            raise
        self.finish(AttemptResult.ANSWERED)

    def abort(self) -> None:
        """End the exchange, if it has not ended by itself."""
        if self.exchange is not None:
            self.exchange.abort()
        self.finish(AttemptResult.CANCELLED)


class Dispatcher:
    """Carries the requests of all callers of an entry.

    Reads are given to another target when one fails, under a retry budget for each service.
    Commands are given to another target only with evidence that the first did not run them.

    :param steering: chooses targets and holds their slots.
    :param upstream: carries single exchanges.
    :param new_budget: makes the retry budget of a service.
    :param clock: for deadlines.
    """

    def __init__(
        self,
        steering: "Steering",
        upstream: "Upstream",
        new_budget: t.Callable[[], Budget],
        clock: "Clock",
    ) -> None:
        self._steering = steering
        self._upstream = upstream
        self._new_budget = new_budget
        self._clock = clock
        self._budgets_by_service: t.Dict[t.Tuple["PartnerId", "ServiceId"], Budget] = {}

    async def dispatch(self, request: "CallerRequest") -> Answer:
        """The answer to one request; errors become answers too.

        :raises CallerGoneError: if the caller left before its request was whole.
        """
        try:
            answer = await self._dispatch(request)
        except CallerGoneError:
            raise
        except TargetUnknownError as error:
            answer = answer_of(_cause(request, error), Outcome.UNKNOWN)
        except CoralfallError as error:
            answer = answer_of(error, Outcome.NOT_RUN)
        finally:
            if request.body is not None:
                request.body.release()
        answer.version = self._steering.version(request.partner)
        return answer

    async def _dispatch(self, request: "CallerRequest") -> Answer:
        rules = self._steering.service(request.partner, request.service)
        if rules is None:
            message = f"partner {request.partner} has no service {request.service} here"
            raise RequestError("unknown-service", 404, message)
        deadline = self._clock.monotonic() + _allowed_seconds(request, rules)
        if request.body is not None:
            await self._hold_body(request, rules, deadline)
        return await self._carry(request, deadline)

    async def _hold_body(self, request: "CallerRequest", rules: "Service", deadline: float) -> None:
        body = request.body
        assert body is not None
        if body.length is not None and body.length > rules.max_body_bytes:
            raise body_too_large(rules.max_body_bytes)
        body.limit = rules.max_body_bytes
        try:
            async with asyncio.timeout(deadline - self._clock.monotonic()):
                await body.hold(defaults.MAX_HELD_BODY_BYTES)
        except TimeoutError:
            message = "the body did not come before the deadline"
            raise RequestError("body-too-slow", 408, message) from None

    async def _carry(self, request: "CallerRequest", deadline: float) -> Answer:
        budget = self._budget(request)
        budget.request()
        tried: t.Set[TargetId] = set()
        failure: t.Optional[TargetError] = None
        while True:
            try:
                reservation = await self._reserve(request, tried, deadline)
            except RefusedError as refusal:
                raise failure or refusal
            tried.add(reservation.target_id)
            try:
                return await self._attempt(request, reservation, deadline)
            except TargetError as error:
                failure = _weightier(failure, error)
            if len(tried) >= defaults.MAX_ATTEMPTS or not _may_retry(request, failure):
                raise failure
            if self._clock.monotonic() >= deadline or not budget.take():
                raise failure

    async def _reserve(
        self, request: "CallerRequest", tried: t.Collection[TargetId], deadline: float
    ) -> "Reservation":
        if self._clock.monotonic() >= deadline:
            message = "deadline passed before the request was dispatched"
            raise RefusedError(message, defaults.RETRY_AFTER_S)
        return await self._steering.reserve(
            request.partner,
            request.service,
            tried=tried,
            deadline=deadline,
            body_bytes=_body_bytes(request),
        )

    async def _attempt(
        self, request: "CallerRequest", reservation: "Reservation", deadline: float
    ) -> Answer:
        attempt = Attempt(self._steering, reservation, self._clock)
        try:
            exchange = await self._upstream.exchange(
                reservation,
                _target_request(request),
                deadline,
                lambda: self._steering.check(reservation),
            )
            attempt.exchange = exchange
            body = await exchange.read(defaults.MAX_BUFFERED_ANSWER_BYTES)
        except TargetNotRunError:
            attempt.finish(AttemptResult.NOT_RUN)
            raise
        except TargetUnknownError:
            attempt.finish(_blame(request))
            raise
        except BaseException:
            attempt.abort()
            raise
        answer = Answer(exchange.status, headers_to_caller(exchange.headers), body, Outcome.DONE)
        if exchange.whole:
            attempt.finish(AttemptResult.ANSWERED)
        else:
            answer.stream = attempt
        return answer

    def _budget(self, request: "CallerRequest") -> Budget:
        key = (request.partner, request.service)
        budget = self._budgets_by_service.get(key)
        if budget is None:
            budget = self._budgets_by_service[key] = self._new_budget()
        return budget


def _allowed_seconds(request: "CallerRequest", rules: "Service") -> float:
    value = request.header(_DEADLINE)
    if value is None:
        return rules.timeout_ms / 1000
    if not value.isdigit() or len(value) > 9:
        text = value.decode("ascii", "replace")
        message = f"{defaults.HEADER_DEADLINE} is {text!r}; allowed are whole milliseconds"
        raise RequestError("deadline", 400, message)
    return min(int(value), rules.timeout_ms) / 1000


def _target_request(request: "CallerRequest") -> TargetRequest:
    headers = headers_to_target(request.headers, request.caller_host)
    body = request.body
    if body is None:
        return TargetRequest(request.method, request.path, headers)
    whole = body.whole
    return TargetRequest(request.method, request.path, headers, body if whole is None else whole)


def _body_bytes(request: "CallerRequest") -> int:
    body = request.body
    if body is None:
        return 0
    return body.limit if body.length is None else body.length


def _may_retry(request: "CallerRequest", failure: TargetError) -> bool:
    if request.body is not None and not request.body.replayable:
        return False
    return request.read or isinstance(failure, TargetNotRunError)


def _weightier(first: t.Optional[TargetError], second: TargetError) -> TargetError:
    """The failure to report: one attempt that may have run makes the whole request so."""
    if isinstance(first, TargetUnknownError) and isinstance(second, TargetNotRunError):
        return first
    return second


def _blame(request: "CallerRequest") -> AttemptResult:
    if request.body is not None and request.body.error is not None:
        return AttemptResult.CANCELLED
    return AttemptResult.FAILED


def _cause(request: "CallerRequest", error: TargetUnknownError) -> CoralfallError:
    """The caller's own fault, if its body ended an exchange."""
    if request.body is None or request.body.error is None:
        return error
    if isinstance(request.body.error, CoralfallError):
        return request.body.error
    return error
