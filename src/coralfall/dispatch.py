"""Dispatch: gives each request to targets until one answers, or says what became of it."""

import asyncio
import hashlib
import typing as t

from . import defaults
from .answer import Answer, answer_of
from .exceptions import (
    CallerGoneError,
    ClaimBusyError,
    ClaimUnknownError,
    CoralfallError,
    RefusedError,
    RequestError,
    TargetError,
    TargetNotRunError,
    TargetUnknownError,
)
from .headers import headers_to_caller, headers_to_target
from .ids import IdempotencyKey, Outcome, TargetId
from .request import body_too_large
from .rows import KeptAnswer
from .upstream import TargetRequest

if t.TYPE_CHECKING:
    from .bundle import Service
    from .claims import ClaimBook
    from .clock import Clock
    from .ids import PartnerId, ServiceId
    from .request import CallerRequest
    from .steering import Reservation, Steering
    from .upstream import Upstream

HeadersToTarget = t.List[t.Tuple[str, str]]

_KEY = defaults.HEADER_KEY.encode()
_DEADLINE = defaults.HEADER_DEADLINE.encode()


class Budget(t.Protocol):
    """Bounds the retries of one service to a share of its requests."""

    def request(self) -> None:
        """Count a request."""

    def take(self) -> bool:
        """Whether one retry is allowed; counts it if so."""


class Dispatcher:
    """Carries the requests of all callers of an entry.

    Reads are given to another target when one fails, under a retry budget for each service.
    Commands are given to another target only with evidence that the first did not run them.

    :param steering: chooses targets and holds their slots.
    :param upstream: carries single exchanges.
    :param claims: makes sure that a command with a key runs once.
    :param new_budget: makes the retry budget of a service.
    :param clock: for deadlines.
    """

    def __init__(
        self,
        steering: "Steering",
        upstream: "Upstream",
        claims: "ClaimBook",
        new_budget: t.Callable[[], Budget],
        clock: "Clock",
    ) -> None:
        self._steering = steering
        self._upstream = upstream
        self._claims = claims
        self._new_budget = new_budget
        self._clock = clock
        self._budgets_by_service: t.Dict[t.Tuple["PartnerId", "ServiceId"], Budget] = {}

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
        key = None if request.read else _key_of(request, rules)
        if request.body is not None:
            await self._hold_body(request, rules, deadline)
        if key is None:
            return await self._carry(request, deadline)
        return await self._carry_claimed(request, key, deadline)

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

    async def _carry_claimed(
        self, request: "CallerRequest", key: IdempotencyKey, deadline: float
    ) -> Answer:
        claim = await self._claims.claim(
            request.partner,
            request.service,
            key,
            _fingerprint(request),
            deadline - self._clock.monotonic(),
        )
        if isinstance(claim, KeptAnswer):
            return _kept(claim)
        try:
            answer = await self._carry(request, deadline)
        except (RefusedError, TargetNotRunError):
            await self._claims.release(claim)
            raise
        except BaseException:
            await self._claims.leave_unknown(claim)
            raise
        body = answer.body if answer.stream is None else None
        await self._claims.finish(claim, KeptAnswer(answer.status, tuple(answer.headers), body))
        return answer

    async def _carry(self, request: "CallerRequest", deadline: float) -> Answer:
        headers = headers_to_target(request.headers, request.caller_host)
        budget = self._budget(request)
        budget.request()
        tried: t.Set[TargetId] = set()
        failure: t.Optional[TargetError] = None
        while True:
            try:
                reservation = await self._reserve(request, tried, deadline)
                tried.add(reservation.target_id)
                return await self._attempt(request, headers, reservation, deadline)
            except RefusedError as refusal:
                if isinstance(failure, TargetUnknownError):
                    raise failure from refusal
                raise
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
        self,
        request: "CallerRequest",
        headers: HeadersToTarget,
        reservation: "Reservation",
        deadline: float,
    ) -> Answer:
        body = request.body
        whole = body.whole if body is not None else None
        outgoing = TargetRequest(
            request.method, request.path, headers, body if whole is None else whole
        )
        exchange = await self._upstream.exchange(reservation, outgoing, deadline)
        first = await exchange.read(defaults.MAX_BUFFERED_ANSWER_BYTES)
        passed = headers_to_caller(exchange.headers)
        answer = Answer(exchange.status, passed, first, Outcome.DONE)
        if not exchange.whole:
            answer.stream = exchange
        elif exchange.length is None and exchange.bodied:
            # It came in chunks; now that its length is known, a caller can check it.
            passed.append((b"content-length", str(len(first)).encode()))
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


def _key_of(request: "CallerRequest", rules: "Service") -> t.Optional[IdempotencyKey]:
    value = request.header(_KEY)
    if value is None:
        if not rules.key_required:
            return None
        message = f"this service takes commands only with the header {defaults.HEADER_KEY}"
        raise RequestError("key-required", 400, message)
    text = value.decode("ascii", "replace")
    if not 0 < len(value) <= defaults.MAX_KEY_BYTES or not text.isprintable():
        message = f"{defaults.HEADER_KEY} must be 1 to {defaults.MAX_KEY_BYTES} printable letters"
        raise RequestError("key", 400, message)
    return IdempotencyKey(text)


def _fingerprint(request: "CallerRequest") -> str:
    """Digest of what the command is; of a body too long to be held, only its length."""
    body = request.body
    whole = body.whole if body is not None else b""
    digest = hashlib.sha256(f"{request.method} {request.path}\n".encode())
    if whole is None:
        assert body is not None
        digest.update(b"length %r" % body.length)
    else:
        digest.update(hashlib.sha256(whole).digest())
    return digest.hexdigest()


def _kept(kept: KeptAnswer) -> Answer:
    if kept.body is not None:
        return Answer(kept.status, list(kept.headers), kept.body, Outcome.DONE)
    message = "the command ran earlier; its answer was too long to be kept"
    error = RequestError("answer-not-kept", 409, message, answered=kept.status)
    return answer_of(error, Outcome.DONE)


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


def _cause(request: "CallerRequest", error: CoralfallError) -> CoralfallError:
    """The caller's own fault, if its body ended an exchange."""
    if request.body is None or request.body.error is None:
        return error
    if isinstance(request.body.error, CoralfallError):
        return request.body.error
    return error
