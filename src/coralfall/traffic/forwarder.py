"""Forwards one request to one target after another until one of them answers it.

Retries depend on evidence of what became of the failed attempt. A request has certainly not run if
no connection was made, if the target says so, or if another target answered at its address. In any
other case it may have run once its first byte was sent: then it is retried only if it is
idempotent, and within the retry budget.
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
from ..placement.fingerprint import caller_digest
from ..placement.targets import COOLDOWN, WITHDRAWN
from .crash_detector import InterruptedRequest
from .in_flight_requests import take_cut_off, take_refusal
from .pool import NO_SOCKETS
from .reply import Reply, reply_from_error, reply_from_response
from .request_encoder import RequestEncoder
from .request_fingerprints import RequestFingerprints
from .response_check import REJECTED_PREFIX, ResponseCheck
from .retry_policy import RetryPolicy, RetryVerdict
from .steered_request import Attempt, SteeredRequest
from .target_connections import NO_PATH, TargetConnection
from .target_exchange import STALE, OutgoingRequest, time_left_to_send
from .target_permits import LIMITED
from .target_report_reader import TargetReportReader

if t.TYPE_CHECKING:
    from ..ids import TargetId
    from ..placement.affinity import AffinitySteering
    from ..placement.fingerprint import Fingerprint
    from ..placement.quarantine import Quarantine
    from ..placement.reservation import TargetReservation
    from ..placement.retry_budget import SharedRetryBudget
    from ..placement.stop_admission import StopAdmission
    from ..placement.targets import TargetRegistry, TargetState
    from ..process.clock import Clock
    from .crash_detector import CrashDetector
    from .response_parser import ServerResponse
    from .target_connections import TargetConnections
    from .target_permits import TargetPermit, TargetPermits
    from .target_selection import TargetSelector
    from .wire import HeaderNames

_FIRST_SERVER_ERROR = 500
#: Reason of rejecting a request that crashes targets and is therefore no longer forwarded.
QUARANTINED = "quarantined"
#: Reasons of attempts abandoned before a byte was sent because the target accepts no requests.
_NOT_ACCEPTING = frozenset((WITHDRAWN, COOLDOWN))
#: Reasons of attempts that did not reach the target.
_CONNECT_FAILURES = frozenset(("connect", NO_PATH))
#: Failed connects of one request from which on another attempt needs the retry budget.
_MAX_CONNECT_FAILURES = 4
#: Targets without a token after which a request skips all targets that have a limit.
_MAX_TOKEN_REFUSALS = 3


class Forwarder:
    """Forwards requests to targets, with retries.

    :param names: header names.
    :param selector: selects the target of each attempt.
    :param steering: tells which requests are late and when rejected callers may retry.
    :param targets: state of the targets.
    :param connections: opens connections to targets.
    :param budget: bounds the number of retries.
    :param crash_detector: is notified of connections that end during a request.
    :param quarantine: knows the requests that crash targets.
    :param permits: acquires tokens for attempts at targets that have a limit.
    :param stop_admission: decides on requests while the process stops.
    :param clock: measures deadlines.
    """

    def __init__(
        self,
        names: "HeaderNames",
        selector: "TargetSelector",
        steering: "AffinitySteering",
        targets: "TargetRegistry",
        connections: "TargetConnections",
        budget: "SharedRetryBudget",
        crash_detector: "CrashDetector",
        quarantine: "Quarantine",
        permits: "TargetPermits",
        stop_admission: "StopAdmission",
        clock: "Clock",
    ) -> None:
        self._selector = selector
        self._steering = steering
        self._targets = targets
        self._connections = connections
        self._budget = budget
        self._crash_detector = crash_detector
        self._quarantine = quarantine
        self._permits = permits
        self._stop_admission = stop_admission
        self._clock = clock
        #: Reads what responses report about their targets.
        self.report_reader = TargetReportReader(names, clock)
        #: Checks responses, and records what they report.
        self.response_check = ResponseCheck(names, self.report_reader, targets, steering)
        self._retry_policy = RetryPolicy(budget, self._is_quarantined, clock)
        self._request_encoder = RequestEncoder(names)
        self._fingerprints = RequestFingerprints(names)

    async def forward(self, request: SteeredRequest) -> Reply:
        """Forwards a request and returns the reply to its caller, also if it failed."""
        if self._is_quarantined(request) and not self._start_trial(request):
            return reply_from_error(_quarantine_error())
        self._budget.record_request(request.service)
        if request.remaining_s is not None:
            admission = self._steering.admission
            admission.record_arrival(request.route, request.remaining_s)
            request.waited_s = max(0.0, admission.waited_s(request.route, request.remaining_s))
            request.is_late = admission.is_late(request.route, request.remaining_s)
        try:
            return await self._forward(request)
        except CoralfallError as error:
            return reply_from_error(error)
        finally:
            self._retry_policy.release(request)

    async def _forward(self, request: SteeredRequest) -> Reply:
        tried: t.Set["TargetId"] = set()
        connect_failures = 0
        token_refusals = 0
        retry_target: "t.Optional[TargetState]" = None
        failed_reply: t.Optional[Reply] = None
        failure: t.Optional[CoralfallError] = None
        while True:
            try:
                reservation = await self._select(request, tried, retry_target)
                retry_target = None
            except RefusedError as refusal:
                if failed_reply is not None:
                    return failed_reply
                raise _more_severe(failure, refusal)
            tried.add(reservation.state.target.target_id)
            try:
                response = await self._attempt(request, reservation)
            except RefusedError as refusal:
                if failed_reply is not None:
                    return failed_reply
                raise _more_severe(failure, refusal) from refusal
            except asyncio.CancelledError:
                if failed_reply is not None and take_cut_off(request) is not None:
                    return failed_reply
                raise
            except TargetError as error:
                failure = _more_severe(failure, error)
                if error.fields.get("reason") == NO_SOCKETS and failed_reply is None:
                    # This entry could not connect to any other target either.
                    raise failure from error
                if error.fields.get("reason") == LIMITED and self._retry_policy.has_time(request):
                    token_refusals += 1
                    if token_refusals == _MAX_TOKEN_REFUSALS:
                        tried.update(self._permits.limits.in_force())
                    continue
                if error.fields.get("reason") in _NOT_ACCEPTING and self._retry_policy.has_time(
                    request
                ):
                    continue
                if error.fields.get("reason") in _CONNECT_FAILURES and not _may_have_run(error):
                    connect_failures += 1
                    if error.fields["reason"] == NO_PATH:
                        tried.discard(reservation.state.target.target_id)
                    if connect_failures < _MAX_CONNECT_FAILURES and self._retry_policy.has_time(
                        request
                    ):
                        continue
                if not self._retry_policy.may_retry(request, failure):
                    if failed_reply is not None:
                        return failed_reply
                    raise failure from error
                if error.fields.get("reason") == STALE:
                    # Only the reused connection is known to be dead, not the target.
                    tried.discard(reservation.state.target.target_id)
                retry_target = (
                    reservation.state if _may_retry_same_target(error, reservation.state) else None
                )
                continue
            reply = reply_from_response(response, request.method == "HEAD")
            if response.status < _FIRST_SERVER_ERROR or failed_reply is not None:
                return reply
            failed_reply = reply
            if not request.is_idempotent or not self._retry_policy.may_retry(request, None):
                return failed_reply

    async def _select(
        self,
        request: SteeredRequest,
        tried: "t.Collection[TargetId]",
        retry_target: "t.Optional[TargetState]",
    ) -> "TargetReservation":
        try:
            return await self._selector.select(request, tried, retry_target)
        except asyncio.CancelledError:
            refusal = take_refusal(request)
            if refusal is not None:
                raise refusal from None
            raise

    async def _attempt(
        self, request: SteeredRequest, reservation: "TargetReservation"
    ) -> "ServerResponse":
        answer = request.held_answer
        held = answer.held if answer is not None else 0
        try:
            response = await self._attempt_reserved(request, reservation)
        except BaseException as error:
            if answer is not None:
                # Also what was read of an answer that the check refused.
                answer.shrink_to(held)
            self._selector.finish(request, reservation, error)
            raise
        self._selector.finish(request, reservation, None)
        return response

    async def _attempt_reserved(
        self, request: SteeredRequest, reservation: "TargetReservation"
    ) -> "ServerResponse":
        """Makes one attempt; the place is released in every case.

        :raises TargetNotRunError: if there is evidence that the target did not run the request.
        :raises TargetUnknownError: if the target may have run it.
        """
        state = reservation.state
        restriction = self._targets.reports.restriction_of(state.target)
        attempt = Attempt(reservation, self._permits.limits.rate_of(state.target), restriction)
        request.attempts.append(attempt)
        started_at = self._clock.monotonic()
        try:
            attempt.permit = await self._take_permit(request, reservation)
            started_at = self._clock.monotonic()
            response = await self._exchange(request, reservation, attempt)
        except TargetNotRunError as error:
            attempt.not_run = True
            attempt.result = str(error.fields.get("reason", "not-run"))
            attempt.sent &= not error.fields.get("unsent", False)
            self._note_refusal(state, attempt, error)
            if attempt.result == "connect" and self._is_evidence(attempt, state, error):
                state.record_failure(reached=False, refused=bool(error.fields.get("refused")))
            raise
        except TargetUnknownError as error:
            attempt.result = str(error.fields.get("reason", error.code))
            if attempt.result == STALE or not self._is_evidence(attempt, state, error):
                raise
            unanswered_since = started_at if isinstance(error, TargetTimeoutError) else None
            if unanswered_since is not None:
                unanswered_s = self._clock.monotonic() - unanswered_since
                self._stop_admission.record(request.service, unanswered_s)
                reservation.record_latency(
                    self._clock.monotonic(), self._clock.monotonic() - started_at
                )
            state.record_failure(reached=True, silent_since=unanswered_since)
            raise
        except RefusedError as error:
            attempt.result = str(error.fields.get("reason", error.code))
            raise
        except asyncio.CancelledError:
            refusal = take_refusal(request)
            if refusal is not None:
                attempt.result = str(refusal.fields["reason"])
                raise refusal from None
            attempt.result = "cancelled"
            raise
        finally:
            attempt.duration_s = self._clock.monotonic() - started_at
            if attempt.sent:
                reservation.release()
            else:
                reservation.cancel()
                self._permits.return_token(attempt.permit)
        state.record_success()
        self._stop_admission.record(request.service, attempt.duration_s)
        self._note_response(request, response)
        reservation.record_answer(self._clock.monotonic(), attempt.duration_s)
        attempt.result = str(response.status)
        return response

    async def _exchange(
        self, request: SteeredRequest, reservation: "TargetReservation", attempt: Attempt
    ) -> "ServerResponse":
        state = reservation.state
        time_left_s = request.deadline - self._clock.monotonic()
        if time_left_s <= 0:
            raise TargetNotRunError("no time left to send", reason="late")
        connection = await self._connections.acquire(
            state, request.is_idempotent, request.allowed_regions, time_left_s
        )
        attempt.via = connection.via
        try:
            if attempt.permit is None:
                # The entry may have learnt of a limit while the connection was being opened.
                attempt.permit = await self._take_permit(request, reservation)
            time_left_s = time_left_to_send(self._targets, state, request.deadline, self._clock)
            if not request.is_trial and self._is_quarantined(request):
                raise TargetNotRunError("not sent", reason=QUARANTINED)
            target_time_s = self._target_time_s(request, connection)
            if not self._retry_policy.may_send(request):
                raise TargetNotRunError("not sent", reason=RetryVerdict.BUDGET.value)
        except BaseException:
            connection.release()
            raise
        attempt.sent = True
        attempt.sent_at = self._clock.monotonic()
        response = await self._exchange_on_connection(
            connection, request, state, time_left_s, target_time_s
        )
        self.response_check.check(response, request, attempt, state)
        if request.is_idempotent:
            connection.release()
        else:
            connection.abort()
        return response

    def _target_time_s(self, request: SteeredRequest, connection: TargetConnection) -> float:
        """Returns the seconds that the target is given for a request.

        :raises RefusedError: if the process ends too soon to send it.
        """
        deadline = request.deadline
        if connection.via is not None:
            # Another entry tells the target how much of the caller's time is left.
            self._stop_admission.check_whole(deadline)
        else:
            deadline = self._stop_admission.check(request.service, deadline, request.is_idempotent)
        return deadline - self._clock.monotonic()

    async def _exchange_on_connection(
        self,
        connection: TargetConnection,
        request: SteeredRequest,
        state: "TargetState",
        time_left_s: float,
        target_time_s: float,
    ) -> "ServerResponse":
        head, body, body_stream = self._request_encoder.encode(request, state.target, target_time_s)
        take = request.held_answer.take if request.held_answer is not None else None
        outgoing = OutgoingRequest(head, body, body_stream, request.method == "HEAD", take)
        try:
            return await connection.exchange(outgoing, time_left_s)
        except BaseException as error:
            partial = connection.partial_response()
            if partial is not None:
                self.response_check.note_restrictions(partial, state)
            if isinstance(error, TargetUnknownError) and connection.is_interrupted:
                self._note_interrupted(request, state, connection)
            raise

    def _is_evidence(self, attempt: Attempt, state: "TargetState", error: CoralfallError) -> bool:
        return self._connections.is_evidence(state, error, is_direct=attempt.via is None)

    async def _take_permit(
        self, request: SteeredRequest, reservation: "TargetReservation"
    ) -> "t.Optional[TargetPermit]":
        return await self._permits.acquire(
            reservation.state.target, request.deadline, reservation.known
        )

    def _note_refusal(
        self, state: "TargetState", attempt: Attempt, error: TargetNotRunError
    ) -> None:
        """Records what the entry that carried the request knows of its target."""
        if attempt.result == "misdirected":
            self._targets.mark_replaced(state)
        if cooldown_s := error.fields.get("cooldown_s", 0.0):
            self._targets.reports.cooldowns.record(state.target, cooldown_s)

    def _note_interrupted(
        self, request: SteeredRequest, state: "TargetState", connection: TargetConnection
    ) -> None:
        if connection.via is None:
            self._connections.note_interrupted(state)
        request_fingerprint = self._fingerprints.fingerprint_of(request)
        if request_fingerprint is None:
            return
        interrupted = InterruptedRequest(request_fingerprint, caller_digest(request.caller))
        if connection.is_target_crashed:
            self._crash_detector.note_crashed(state, interrupted)
        elif connection.via is None:
            self._crash_detector.note_interrupted(state, interrupted)

    def _note_response(self, request: SteeredRequest, response: "ServerResponse") -> None:
        suspect = self._suspect_of(request)
        if suspect is not None and response.status < _FIRST_SERVER_ERROR:
            self._quarantine.record_answer(suspect)

    def _is_quarantined(self, request: SteeredRequest) -> bool:
        suspect = self._suspect_of(request)
        if suspect is None:
            return False
        return self._quarantine.refuses(suspect, caller_digest(request.caller))

    def _start_trial(self, request: SteeredRequest) -> bool:
        suspect = self._suspect_of(request)
        request.is_trial = suspect is not None and self._quarantine.start_trial(suspect)
        return request.is_trial

    def _suspect_of(self, request: SteeredRequest) -> "t.Optional[Fingerprint]":
        """Returns a request's fingerprint if its head matches a suspect, else ``None``.

        Bodies of other requests are not hashed.
        """
        if self._quarantine.is_empty or not self._quarantine.has_suspect_head(
            self._fingerprints.head_of(request)
        ):
            return None
        return self._fingerprints.fingerprint_of(request)


def _may_have_run(error: CoralfallError) -> bool:
    """Whether the target may have run the request despite an error."""
    return isinstance(error, TargetUnknownError)


def _quarantine_error() -> RefusedError:
    message = "targets ended each time that they began to run this request; it is sent to no more"
    return RefusedError(message, defaults.QUARANTINE_RETRY_AFTER_S, reason=QUARANTINED)


def _may_retry_same_target(error: CoralfallError, state: "TargetState") -> bool:
    """Whether the target of a failed attempt may well serve the request at a second attempt."""
    rejected = str(error.fields.get("reason", "")).startswith(REJECTED_PREFIX)
    return rejected and state.sheds_at_random()


def _more_severe(first: t.Optional[CoralfallError], second: CoralfallError) -> CoralfallError:
    """Returns the failure to report: if one attempt may have run, so may the request as a whole."""
    if isinstance(first, TargetUnknownError):
        return second if isinstance(second, TargetUnknownError) else first
    return second
