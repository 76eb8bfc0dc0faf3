"""Retry policy: whether a failed request may be sent once more, and if not, why."""

import enum
import typing as t

from .. import defaults
from ..exceptions import TargetNotRunError

if t.TYPE_CHECKING:
    from ..exceptions import CoralfallError
    from ..placement.retry_budget import SharedRetryBudget
    from ..process.clock import Clock
    from .steered_request import SteeredRequest


class RetryVerdict(enum.Enum):
    """Decision on a retry; the values appear in logs and metrics."""

    ALLOWED = "allowed"
    #: The request was sent as often as its route allows.
    ATTEMPTS = "attempts"
    #: Too little time is left until its deadline.
    TIME = "time"
    #: It may have run, and must not run twice.
    MAY_HAVE_RUN = "may-have-run"
    #: Its body was passed on as it came, and is not held any more.
    BODY = "body"
    #: Targets crashed under it.
    QUARANTINED = "quarantined"
    #: The service's retry budget is used up.
    BUDGET = "budget"


class RetryPolicy:
    """Decides on retries.

    :param budget: bounds the number of retries.
    :param is_quarantined: tells whether a request must not be sent because it crashes targets.
    :param clock: measures deadlines.
    """

    def __init__(
        self,
        budget: "SharedRetryBudget",
        is_quarantined: "t.Callable[[SteeredRequest], bool]",
        clock: "Clock",
    ) -> None:
        self._budget = budget
        self._is_quarantined = is_quarantined
        self._clock = clock

    def may_retry(self, request: "SteeredRequest", failure: "t.Optional[CoralfallError]") -> bool:
        """Whether a request may be sent once more; the verdict is recorded for the log.

        :param failure: why the attempts so far failed; ``None`` if a target answered with an error.
        """
        verdict = self._decide(request, failure)
        request.retry_verdicts.append(verdict)
        return verdict is RetryVerdict.ALLOWED

    def has_time(self, request: "SteeredRequest") -> bool:
        """Whether enough time is left to send a request."""
        return request.deadline - self._clock.monotonic() > defaults.MIN_SEND_TIME_LEFT_S

    def _decide(
        self, request: "SteeredRequest", failure: "t.Optional[CoralfallError]"
    ) -> RetryVerdict:
        if request.sent_count() >= request.route.max_attempts:
            return RetryVerdict.ATTEMPTS
        if not self.has_time(request):
            return RetryVerdict.TIME
        if not request.is_idempotent and not isinstance(failure, TargetNotRunError):
            return RetryVerdict.MAY_HAVE_RUN
        if request.body is not None and not request.body.replayable:
            return RetryVerdict.BODY
        if self._is_quarantined(request):
            return RetryVerdict.QUARANTINED
        return RetryVerdict.ALLOWED if self._reserve(request) else RetryVerdict.BUDGET

    def _reserve(self, request: "SteeredRequest") -> bool:
        if request.retry_permit is None:
            request.retry_permit = self._budget.reserve(request.service)
        if request.retry_permit is None:
            return False
        if request.sent_count():
            return True
        # Nothing was sent yet, so the next send needs no token; this one bounds the attempts.
        return self._spend_permit(request)

    def _spend_permit(self, request: "SteeredRequest") -> bool:
        permit, request.retry_permit = request.retry_permit, None
        return permit is not None and permit.spend()

    def may_send(self, request: "SteeredRequest") -> bool:
        """Whether a request may be sent now: the first time, or by a token that is spent for it."""
        return not request.sent_count() or self._spend_permit(request)

    def release(self, request: "SteeredRequest") -> None:
        """Gives back the token of a retry that was not sent."""
        permit, request.retry_permit = request.retry_permit, None
        if permit is not None:
            permit.release()
