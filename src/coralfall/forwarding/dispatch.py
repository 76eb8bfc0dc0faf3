"""Dispatch: takes each request through its rules to the targets, and says what became of it."""

import asyncio
import typing as t

from .. import defaults
from ..cluster.rows import KeptAnswer
from ..exceptions import (
    CallerGoneError,
    ClaimBusyError,
    ClaimUnknownError,
    CoralfallError,
    RefusedError,
    RequestError,
    TargetNotRunError,
    TargetUnknownError,
)
from ..idempotency.command import answer_of_kept, fingerprint_of, key_of
from ..ids import IdempotencyKey, Outcome
from .answer import Answer, answer_of
from .carrier import Carrier, Delivery
from .request import body_too_large

if t.TYPE_CHECKING:
    from ..balancing.steering import Steering
    from ..bundles.bundle import Service
    from ..idempotency.claims import ClaimBook
    from ..placement.stop_admission import StopAdmission
    from ..process.clock import Clock
    from .carrier import Budget
    from .request import CallerRequest
    from .upstream import Upstream

_DEADLINE = defaults.HEADER_DEADLINE.encode()


class Dispatcher:
    """Serves the requests of all callers of an entry.

    :param steering: knows the rules in force, chooses targets and holds their slots.
    :param upstream: carries single exchanges.
    :param claims: makes sure that a command with a key runs once.
    :param new_budget: makes the retry budget of a service.
    :param stop_admission: decides on requests while the process stops.
    :param clock: for deadlines.
    """

    def __init__(
        self,
        steering: "Steering",
        upstream: "Upstream",
        claims: "ClaimBook",
        new_budget: "t.Callable[[], Budget]",
        stop_admission: "StopAdmission",
        clock: "Clock",
    ) -> None:
        self._steering = steering
        self._claims = claims
        self._stop_admission = stop_admission
        self._clock = clock
        self._carrier = Carrier(steering, upstream, new_budget, stop_admission, clock)

    async def dispatch(self, request: "CallerRequest") -> Answer:
        """The answer to one request; errors become answers too.

        :raises CallerGoneError: if the caller left before its request was whole.
        """
        rules: t.Optional[Service] = None
        try:
            rules = self._rules_of(request)
            answer = await self._dispatch(request, rules)
        except CallerGoneError:
            raise
        except (TargetUnknownError, ClaimBusyError, ClaimUnknownError) as error:
            answer = answer_of(_cause(request, error), Outcome.UNKNOWN)
        except CoralfallError as error:
            answer = answer_of(error, Outcome.NOT_RUN)
        finally:
            if request.body is not None:
                request.body.release()
        answer.version = self._steering.version(request.partner)
        answer.rules = rules
        return answer

    def _rules_of(self, request: "CallerRequest") -> "Service":
        rules = self._steering.service(request.partner, request.service)
        if rules is None:
            message = f"partner {request.partner} has no service {request.service} here"
            raise RequestError("unknown-service", 404, message)
        return rules

    async def _dispatch(self, request: "CallerRequest", rules: "Service") -> Answer:
        deadline = self._clock.monotonic() + _allowed_seconds(request, rules)
        self._stop_admission.check(request.service, deadline, may_repeat=False)
        delivery = Delivery(request, deadline)
        key = None if request.read else key_of(request, rules)
        if request.body is not None:
            await self._hold_body(request, rules, deadline)
        if key is None:
            return await self._carrier.carry(delivery)
        return await self._carry_claimed(delivery, key)

    async def _hold_body(self, request: "CallerRequest", rules: "Service", deadline: float) -> None:
        body = request.body
        assert body is not None
        if body.length is not None and body.length > rules.max_body_bytes:
            raise body_too_large(rules.max_body_bytes)
        body.limit = rules.max_body_bytes
        try:
            async with asyncio.timeout(deadline - self._clock.monotonic()):
                await body.hold(defaults.MAX_BUFFERED_BODY_BYTES)
        except TimeoutError:
            message = "the body did not come before the deadline"
            raise RequestError("body-too-slow", 408, message) from None

    async def _carry_claimed(self, delivery: Delivery, key: IdempotencyKey) -> Answer:
        request = delivery.request
        claim = await self._claims.claim(
            request.partner,
            request.service,
            key,
            fingerprint_of(request),
            delivery.deadline - self._clock.monotonic(),
        )
        if isinstance(claim, KeptAnswer):
            return answer_of_kept(claim)
        try:
            answer = await self._carrier.carry(delivery)
        except (RefusedError, TargetNotRunError):
            await self._claims.release(claim)
            raise
        except BaseException:
            await self._claims.leave_unknown(claim)
            raise
        body = answer.body if answer.stream is None else None
        await self._claims.finish(claim, KeptAnswer(answer.status, tuple(answer.headers), body))
        return answer


def _allowed_seconds(request: "CallerRequest", rules: "Service") -> float:
    value = request.header(_DEADLINE)
    if value is None:
        return rules.timeout_ms / 1000
    if not value.isdigit() or len(value) > 9:
        text = value.decode("ascii", "replace")
        message = f"{defaults.HEADER_DEADLINE} is {text!r}; allowed are whole milliseconds"
        raise RequestError("deadline", 400, message)
    return min(int(value), rules.timeout_ms) / 1000


def _cause(request: "CallerRequest", error: CoralfallError) -> CoralfallError:
    """The caller's own fault, if its body ended an exchange."""
    if request.body is None or request.body.error is None:
        return error
    if isinstance(request.body.error, CoralfallError):
        return request.body.error
    return error
