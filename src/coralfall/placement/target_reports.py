"""Target reports: what targets report about themselves in their answers, kept by lifetime.

An answer may report a load, a rate limit, the departure of its target, and a cooldown. Reports are
kept by lifetime and not by row, so a row that is stale, or that vanishes and returns, does not
affect them, and a new lifetime under the same id or address starts with none.
"""

import typing as t

import msgspec

from ..ids import TargetId
from .cooldowns import Cooldowns
from .departures import Departures
from .target_limits import TargetLimits

if t.TYPE_CHECKING:
    from ..ids import ServiceId
    from ..process.clock import Clock
    from ..traffic.model import Target
    from .targets import TargetState


class TargetReport(msgspec.Struct, frozen=True, kw_only=True):
    """What one answer reports about its target."""

    #: Numbers of running and of queued requests.
    load: t.Optional[t.Tuple[int, int]] = None
    #: How long work takes on the target's machine, in percent of the usual time.
    pace: t.Optional[int] = None
    #: Requests a second that the target accepts from all entries together.
    limit_per_s: t.Optional[float] = None
    #: Whether the answer shows that the target has no limit.
    unlimited: bool = False
    #: Whether the target is leaving: its lifetime ends soon, which is final.
    leaving: bool = False
    #: Seconds for which the target accepts no requests from this entry.
    cooldown_s: t.Optional[float] = None

    def restrictions(self) -> "TargetReport":
        """The part of the report that applies no matter when the answer was given."""
        return TargetReport(leaving=self.leaving, cooldown_s=self.cooldown_s)


class TargetReports:
    """Reports of all targets.

    :param clock: time source.
    """

    def __init__(self, clock: "Clock") -> None:
        #: Rate limits.
        self.limits = TargetLimits(clock)
        #: Lifetimes that are leaving.
        self.departures = Departures(clock)
        #: Times for which targets accept no requests from this entry.
        self.cooldowns = Cooldowns(clock)
        #: Called with the service of a target that reported its pace.
        self.on_pace: "t.Callable[[ServiceId], None]" = lambda service: None

    def record(self, state: "TargetState", report: TargetReport, sent_at: float) -> None:
        """Records the report of an answer.

        :param sent_at: monotonic time at which the request was sent.
        """
        target = state.target
        if report.load is not None:
            state.record_load(*report.load)
        if report.pace is not None:
            state.record_pace(report.pace)
            self.on_pace(target.service)
        if report.limit_per_s is not None or report.unlimited:
            self.limits.record_answer(target, report.limit_per_s, sent_at)
        if report.leaving:
            self.departures.record(target)
        if report.cooldown_s is not None:
            self.cooldowns.record(target, report.cooldown_s)

    def restriction_of(self, target: "Target") -> str:
        """Why a target accepts no requests by its own reports, for logs; empty if it does."""
        if self.departures.includes(target):
            return "leaving"
        return "cooldown" if self.cooldowns.remaining_s(target) else ""

    def tick(self, targets: "t.Mapping[TargetId, TargetState]") -> None:
        """Updates the reports by the known targets, and drops expired ones."""
        self.limits.tick(targets)
        self.departures.tick(targets)
        self.cooldowns.tick()
