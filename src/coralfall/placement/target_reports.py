"""Target reports: what targets say of themselves in their answers, kept for each lifetime.

An answer may report a load, a limit, that its target leaves, and a cooldown. They are kept by
lifetime and not by row, so a row that is stale, or that vanishes and returns, changes nothing of
them, and a new lifetime under an id or at an address starts with none.
"""

import typing as t

import msgspec

from ..ids import TargetId
from .cooldowns import Cooldowns
from .departures import Departures
from .target_limits import TargetLimits

if t.TYPE_CHECKING:
    from ..process.clock import Clock
    from ..traffic.model import Target
    from .targets import TargetState


class TargetReport(msgspec.Struct, frozen=True, kw_only=True):
    """What one answer says of its target."""

    #: Running and waiting requests.
    load: t.Optional[t.Tuple[int, int]] = None
    #: Requests a second that the target takes from all entries together.
    limit_per_s: t.Optional[float] = None
    #: Whether the answer shows that there is no limit.
    unlimited: bool = False
    #: Whether the target leaves: its lifetime ends soon, and nothing takes that back.
    leaving: bool = False
    #: Seconds for which the target wants no request from this entry.
    cooldown_s: t.Optional[float] = None

    def restrictions(self) -> "TargetReport":
        """What binds at whatever moment the answer was given."""
        return TargetReport(leaving=self.leaving, cooldown_s=self.cooldown_s)


class TargetReports:
    """What all targets reported.

    :param clock: tells the time.
    """

    def __init__(self, clock: "Clock") -> None:
        #: Limits that targets named.
        self.limits = TargetLimits(clock)
        #: Lifetimes that leave.
        self.departures = Departures(clock)
        #: Times for which targets want no request from this entry.
        self.cooldowns = Cooldowns(clock)

    def record(self, state: "TargetState", report: TargetReport, sent_at: float) -> None:
        """Takes in what an answer says.

        :param sent_at: monotonic time at which its request was sent.
        """
        target = state.target
        if report.load is not None:
            state.record_load(*report.load)
        if report.limit_per_s is not None or report.unlimited:
            self.limits.record_answer(target, report.limit_per_s, sent_at)
        if report.leaving:
            self.departures.record(target)
        if report.cooldown_s is not None:
            self.cooldowns.record(target, report.cooldown_s)

    def restriction_of(self, target: "Target") -> str:
        """Why a target wants no request by its own word, for logs; empty if it takes some."""
        if self.departures.includes(target):
            return "leaving"
        return "cooldown" if self.cooldowns.remaining_s(target) else ""

    def tick(self, targets: "t.Mapping[TargetId, TargetState]") -> None:
        """Compares the reports with the targets that there are, and forgets old ones."""
        self.limits.tick(targets)
        self.departures.tick(targets)
        self.cooldowns.tick()
