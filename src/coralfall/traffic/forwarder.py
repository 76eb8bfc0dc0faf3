"""Forwarder: sends one request to one target after another until one answers.

What may follow a failed send is decided by evidence alone. Not run: no connection, the target's
own word, or another target at its address. Anything else after the first byte may have run, and
only a request that may run twice is sent again then, within the budget.
"""

import asyncio
import typing as t

from .. import defaults
from ..exceptions import (
    CoralfallError,
    RefusedError,
    TargetError,
    TargetNotRunError,
    TargetTimeoutError,
    TargetUnknownError,
)
from ..forwarding.headers import HOP_BY_HOP
from ..placement.fingerprint import caller_digest, fingerprint, head_digest
from ..placement.targets import COOLDOWN, WITHDRAWN
from .answer_check import SHED, AnswerCheck
from .answer_report import AnswerReader
from .connection import BrokenAnswerError, ServerAnswer, ServerConnection, head_of
from .crashes import CutOff
from .pool import NO_FILES
from .reply import Reply, reply_of_answer, reply_of_error
from .steered_request import Send, SteeredRequest
from .target_permits import LIMITED

if t.TYPE_CHECKING:
    from ..forwarding.request import RequestBody
    from ..ids import TargetId
    from ..placement.affinity import AffinitySteering, TargetReservation
    from ..placement.fingerprint import Fingerprint, HeadDigest
    from ..placement.quarantine import Quarantine
    from ..placement.retry_budget import SharedRetryBudget
    from ..placement.targets import TargetRegistry, TargetState
    from ..process.clock import Clock
    from .crashes import CrashWatch
    from .pool import ConnectionPool
    from .target_permits import TargetPermit, TargetPermits
    from .wire import HeaderNames

_FIRST_SERVER_ERROR = 500
#: Result of a send on a connection that was used before and ended without a byte of an answer.
_STALE = "stale"
#: Reason of a request that targets end of, and that is sent to no more of them.
QUARANTINED = "quarantined"
#: Reasons of sends that were given up before a byte left, as their targets want none.
_UNWANTED = frozenset((WITHDRAWN, COOLDOWN))
#: Most targets that are tried in vain to be connected for one request.
_MAX_UNREACHED = 4
#: Most targets that are asked in vain for a token for one request; then those with a limit are
#: passed over.
_MAX_LIMITED = 3
_REPLACED = HOP_BY_HOP | {b"content-length", b"host", b"expect"}


class Forwarder:
    """Sends requests to targets.

    :param names: header names.
    :param steering: chooses targets.
    :param targets: what is known of them.
    :param pool: connections to them.
    :param budget: bounds second sends.
    :param crashes: told of connections that end under a request.
    :param quarantine: knows requests that targets end of.
    :param permits: for sends to targets with a limit; told of the limits that answers name.
    :param clock: for deadlines.
    """

    def __init__(
        self,
        names: "HeaderNames",
        steering: "AffinitySteering",
        targets: "TargetRegistry",
        pool: "ConnectionPool",
        budget: "SharedRetryBudget",
        crashes: "CrashWatch",
        quarantine: "Quarantine",
        permits: "TargetPermits",
        clock: "Clock",
    ) -> None:
        self._names = names
        self._steering = steering
        self._targets = targets
        self._pool = pool
        self._budget = budget
        self._crashes = crashes
        self._quarantine = quarantine
        self._permits = permits
        self._clock = clock
        #: Reads what answers say of their targets.
        self.reader = AnswerReader(names, clock)
        self._answers = AnswerCheck(names, self.reader, targets, steering)
        self._dropped = _REPLACED | {
            names.time_left,
            names.expected_target,
            names.credential,
            names.tenant,
        }

    async def forward(self, request: SteeredRequest) -> Reply:
        """The reply to a request; failures are replies too."""
        if self._is_quarantined(request) and not self._may_try(request):
            return reply_of_error(_quarantined())
        self._budget.record_request(request.service)
        if request.left_s is not None:
            admission = self._steering.admission
            admission.record_arrival(request.route, request.left_s)
            request.late = admission.is_late(request.route, request.left_s)
        try:
            return await self._forward(request)
        except CoralfallError as error:
            return reply_of_error(error)

    async def _forward(self, request: SteeredRequest) -> Reply:
        tried: t.Set["TargetId"] = set()
        unreached = 0
        limited = 0
        again: "t.Optional[TargetState]" = None
        failed: t.Optional[Reply] = None
        failure: t.Optional[CoralfallError] = None
        while True:
            try:
                reservation = self._choose(request, tried, again)
                again = None
            except RefusedError as refusal:
                if failed is not None:
                    return failed
                raise _weightier(failure, refusal)
            tried.add(reservation.state.target.target_id)
            try:
                answer = await self._send(request, reservation)
            except TargetError as error:
                failure = _weightier(failure, error)
                if error.fields.get("reason") == NO_FILES and failed is None:
                    # Another target can't be reached either.
                    raise failure from error
                if error.fields.get("reason") == LIMITED and self._has_time(request):
                    limited += 1
                    if limited == _MAX_LIMITED:
                        tried.update(self._permits.limits.in_force())
                    continue
                if error.fields.get("reason") in _UNWANTED and self._has_time(request):
                    continue
                if error.fields.get("reason") == "connect":
                    unreached += 1
                    if unreached < _MAX_UNREACHED and self._has_time(request):
                        continue
                if not self._may_send_again(request, failure):
                    if failed is not None:
                        return failed
                    raise failure from error
                if error.fields.get("reason") == _STALE:
                    # The target itself is well as far as anybody knows.
                    tried.discard(reservation.state.target.target_id)
                again = reservation.state if _may_ask_again(error, reservation.state) else None
                continue
            reply = reply_of_answer(answer, request.method == "HEAD")
            if answer.status < _FIRST_SERVER_ERROR or failed is not None:
                return reply
            failed = reply
            if not request.repeatable or not self._may_send_again(request, None):
                return failed

    def _choose(
        self,
        request: SteeredRequest,
        tried: "t.Set[TargetId]",
        again: "t.Optional[TargetState]",
    ) -> "TargetReservation":
        left = request.deadline - self._clock.monotonic()
        return self._steering.choose(
            request.route,
            request.service,
            request.key,
            tried,
            left,
            request.late,
            again,
            request.regions,
        )

    def _may_send_again(self, request: SteeredRequest, failure: t.Optional[CoralfallError]) -> bool:
        if request.sent_count() >= request.route.max_attempts or not self._has_time(request):
            return False
        if not request.repeatable and not isinstance(failure, TargetNotRunError):
            return False
        if request.body is not None and not request.body.replayable:
            return False
        if self._is_quarantined(request):
            return False
        return self._budget.try_spend(request.service)

    def _has_time(self, request: SteeredRequest) -> bool:
        return request.deadline - self._clock.monotonic() > defaults.MIN_SEND_TIME_LEFT_S

    async def _send(
        self, request: SteeredRequest, reservation: "TargetReservation"
    ) -> ServerAnswer:
        """One send; the place is given back whatever happens.

        :raises TargetNotRunError: with evidence that the target did not run it.
        :raises TargetUnknownError: if it may have.
        """
        state = reservation.state
        restriction = self._targets.reports.restriction_of(state.target)
        send = Send(reservation, self._permits.limits.rate_of(state.target), restriction)
        request.sends.append(send)
        began = self._clock.monotonic()
        try:
            send.permit = await self._take_permit(request, reservation)
            began = self._clock.monotonic()
            answer = await self._exchange(request, reservation, send)
        except TargetNotRunError as error:
            send.not_run = True
            send.result = str(error.fields.get("reason", "not-run"))
            if send.result == "connect":
                state.record_failure(reached=False, refused=bool(error.fields.get("refused")))
            raise
        except TargetUnknownError as error:
            send.result = str(error.fields.get("reason", error.code))
            if send.result == _STALE:
                raise
            silent = began if isinstance(error, TargetTimeoutError) else None
            if silent is not None:
                reservation.record_latency(self._clock.monotonic(), self._clock.monotonic() - began)
            state.record_failure(reached=True, silent_since=silent)
            raise
        except asyncio.CancelledError:
            send.result = "cancelled"
            raise
        finally:
            send.seconds = self._clock.monotonic() - began
            if send.sent:
                reservation.release()
            else:
                reservation.cancel()
                self._permits.give_back(send.permit)
        state.record_success()
        self._note_answer(request, answer)
        reservation.record_answer(self._clock.monotonic(), send.seconds)
        send.result = str(answer.status)
        return answer

    async def _exchange(
        self, request: SteeredRequest, reservation: "TargetReservation", send: Send
    ) -> ServerAnswer:
        state = reservation.state
        seconds = min(defaults.TARGET_CONNECT_S, request.deadline - self._clock.monotonic())
        if seconds <= 0:
            raise TargetNotRunError("no time left to send", reason="late")
        connection = await self._pool.take(state.target, request.repeatable, seconds)
        if send.permit is None:
            # The limit may have been learnt of while the connection was opened.
            try:
                send.permit = await self._take_permit(request, reservation)
            except BaseException:
                self._pool.give(state.target, connection)
                raise
        left = request.deadline - self._clock.monotonic()
        objection = (
            "late" if left < defaults.MIN_SEND_TIME_LEFT_S else self._targets.block_reason(state)
        )
        if objection is not None:
            self._pool.give(state.target, connection)
            raise TargetNotRunError("not sent", reason=objection)
        if not request.on_trial and self._is_quarantined(request):
            self._pool.give(state.target, connection)
            raise TargetNotRunError("not sent", reason=QUARANTINED)
        send.sent = True
        sent_at = self._clock.monotonic()
        head, body, rest = self._outgoing(request, state, left)
        bodiless = request.method == "HEAD"
        try:
            async with asyncio.timeout(left):
                answer = await self._exchange_on(connection, state, head, body, rest, bodiless)
        except TimeoutError as error:
            self._pool.forget(state.target)
            message = "no whole answer before the request's time was over"
            raise TargetTimeoutError(message, reason="time") from error
        except (BrokenAnswerError, OSError) as error:
            if connection.lost:
                self._note_cut_off(request, state)
            stale = connection.exchanges > 0 and not connection.heard
            if stale:
                self._pool.forget(state.target)
            reason = _STALE if stale else "broken"
            raise TargetUnknownError(f"exchange broke off: {error}", reason=reason) from error
        self._answers.check(answer, request, state, sent_at)
        if request.repeatable:
            self._pool.give(state.target, connection)
        else:
            connection.abort()
        return answer

    async def _exchange_on(
        self,
        connection: ServerConnection,
        state: "TargetState",
        head: bytes,
        body: bytes,
        rest: t.Optional[t.AsyncIterator[bytes]],
        bodiless: bool,
    ) -> ServerAnswer:
        try:
            return await connection.exchange(head, body, rest, bodiless)
        except BaseException:
            part = connection.answered_head()
            if part is not None:
                self._answers.note_part(part, state)
            raise

    async def _take_permit(
        self, request: SteeredRequest, reservation: "TargetReservation"
    ) -> "t.Optional[TargetPermit]":
        return await self._permits.take(
            reservation.state.target, request.deadline, reservation.known
        )

    def _note_cut_off(self, request: SteeredRequest, state: "TargetState") -> None:
        found = self._fingerprint_of(request)
        if found is not None:
            self._crashes.cut_off(state, CutOff(found, caller_digest(request.caller)))

    def _note_answer(self, request: SteeredRequest, answer: ServerAnswer) -> None:
        suspect = self._suspect_of(request)
        if suspect is not None and answer.status < _FIRST_SERVER_ERROR:
            self._quarantine.record_answer(suspect)

    def _is_quarantined(self, request: SteeredRequest) -> bool:
        suspect = self._suspect_of(request)
        if suspect is None:
            return False
        return self._quarantine.refuses(suspect, caller_digest(request.caller))

    def _may_try(self, request: SteeredRequest) -> bool:
        suspect = self._suspect_of(request)
        request.on_trial = suspect is not None and self._quarantine.start_trial(suspect)
        return request.on_trial

    def _suspect_of(self, request: SteeredRequest) -> "t.Optional[Fingerprint]":
        """Its fingerprint, if one like it is suspected; bodies of others are not looked at."""
        if self._quarantine.is_empty or not self._quarantine.has_suspect_head(
            self._head_of(request)
        ):
            return None
        return self._fingerprint_of(request)

    def _fingerprint_of(self, request: SteeredRequest) -> "t.Optional[Fingerprint]":
        """What a request is known by when it comes again; nothing if its body is not held whole."""
        if request.fingerprint is None:
            body = request.body.whole if request.body is not None else b""
            if body is None:
                return None
            request.fingerprint = fingerprint(self._head_of(request), body)
        return request.fingerprint

    def _head_of(self, request: SteeredRequest) -> "HeadDigest":
        if request.head is None:
            request.head = head_digest(
                request.method,
                request.host,
                request.path,
                self._names.affinity_of(request.headers),
                _identity_of(request),
            )
        return request.head

    def _outgoing(
        self, request: SteeredRequest, state: "TargetState", left: float
    ) -> t.Tuple[bytes, bytes, t.Optional[t.AsyncIterator[bytes]]]:
        names = self._names
        fields = [field for field in request.headers if field[0] not in self._dropped]
        fields.append((names.time_left, str(max(1, int(left * 1000))).encode()))
        fields.append((names.expected_target, state.target.target_id.encode()))
        if request.tenant is not None:
            fields.append((names.tenant, request.tenant.tenant_id.encode()))
        body = request.body
        rest: t.Optional[t.AsyncIterator[bytes]] = None
        whole = b""
        if body is not None:
            held = body.whole
            if held is not None:
                whole = held
                fields.append((b"content-length", str(len(held)).encode()))
            elif body.length is not None:
                fields.append((b"content-length", str(body.length).encode()))
                rest = aiter(body)
            else:
                fields.append((b"transfer-encoding", b"chunked"))
                rest = _chunked(body)
        return head_of(request.method, request.path, request.host, fields), whole, rest


def _quarantined() -> RefusedError:
    message = "targets ended each time that they began to run this request; it is sent to no more"
    return RefusedError(message, defaults.QUARANTINE_RETRY_AFTER_S, reason=QUARANTINED)


def _identity_of(request: SteeredRequest) -> t.Optional[bytes]:
    """What a target is told of who asks."""
    if request.tenant is not None:
        return request.tenant.tenant_id.encode()
    for field, value in request.headers:
        if field == b"authorization":
            return value
    return None


async def _chunked(body: "RequestBody") -> t.AsyncIterator[bytes]:
    async for piece in body:
        yield b"%x\r\n%b\r\n" % (len(piece), piece)
    yield b"0\r\n\r\n"


def _may_ask_again(error: CoralfallError, state: "TargetState") -> bool:
    """Whether the target that a send failed at may well serve the request the next time."""
    shed = str(error.fields.get("reason", "")).startswith(SHED)
    return shed and state.sheds_at_random()


def _weightier(first: t.Optional[CoralfallError], second: CoralfallError) -> CoralfallError:
    """The failure to report: one send that may have run makes the whole request so."""
    if isinstance(first, TargetUnknownError):
        return second if isinstance(second, TargetUnknownError) else first
    return second
