"""Dispatch outcome: what a dispatcher is told of the end of an attempt."""

import typing as t

from ..exceptions import TargetNotRunError, TargetTimeoutError, TargetUnknownError
from ..placement.dispatch import AskNumber, AttemptOutcome, DispatchRelease, ReportedLoad
from .response_check import REJECTED_PREFIX
from .target_connections import NO_PATH
from .target_exchange import STALE

if t.TYPE_CHECKING:
    from .steered_request import Attempt

#: Pace, in percent, of targets that report none.
_USUAL_PACE = 100
#: Results that are no evidence about the target: the reused connection is dead, or the path to the
#: target is lost.
_NO_EVIDENCE = frozenset((STALE, NO_PATH))


def release_of(
    number: AskNumber, attempt: "Attempt", error: t.Optional[BaseException], now: float
) -> DispatchRelease:
    """Returns the message that releases the assignment of an attempt.

    :param error: what ended the attempt; ``None`` if the target answered.
    :param now: monotonic time.
    """
    duration_s = now - attempt.sent_at if attempt.sent else 0.0
    return DispatchRelease(number, outcome_of(error), round(duration_s * 1000), _load_of(attempt))


def outcome_of(error: t.Optional[BaseException]) -> AttemptOutcome:
    """Returns the outcome of an attempt that ended with an error; ``None`` if it was answered."""
    if error is None:
        return AttemptOutcome.ANSWERED
    if isinstance(error, TargetUnknownError):
        if error.fields.get("reason") in _NO_EVIDENCE:
            return AttemptOutcome.CANCELLED
        timed_out = isinstance(error, TargetTimeoutError)
        return AttemptOutcome.TIMED_OUT if timed_out else AttemptOutcome.BROKEN
    if not isinstance(error, TargetNotRunError):
        return AttemptOutcome.CANCELLED
    reason = str(error.fields.get("reason", ""))
    if reason.startswith(REJECTED_PREFIX):
        return AttemptOutcome.REJECTED
    if reason == "misdirected":
        return AttemptOutcome.MISDIRECTED
    if reason != "connect":
        return AttemptOutcome.CANCELLED
    refused = bool(error.fields.get("refused"))
    return AttemptOutcome.CONNECTION_REFUSED if refused else AttemptOutcome.UNREACHABLE


def _load_of(attempt: "Attempt") -> t.Optional[ReportedLoad]:
    report = attempt.report
    if report is None or report.load is None:
        return None
    return ReportedLoad(*report.load, pace=_USUAL_PACE if report.pace is None else report.pace)
