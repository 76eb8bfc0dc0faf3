"""Departures: lifetimes of targets that said in an answer that they leave.

A lifetime that leaves does not come back, so this is a set that only grows, until its targets have
been unknown for long.
"""

import typing as t

from ..process import log
from .lifetime import Lifetime, lifetime_of

if t.TYPE_CHECKING:
    from ..ids import TargetId
    from ..process.clock import Clock
    from ..traffic.model import Target
    from .targets import TargetState

#: Seconds for which a departure is remembered once its target is known no more: a row that is lost
#: in an outage may return.
_FORGET_S = 600.0


class Departures:
    """Lifetimes that leave.

    :param clock: tells the time.
    """

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        #: When the target of each was last among those that there are.
        self._seen_at: t.Dict[Lifetime, float] = {}
        #: Those that this entry learnt of by an answer, by service.
        self.heard_by_service: t.Dict[str, int] = {}

    def includes(self, target: "Target") -> bool:
        """Whether a target's lifetime leaves."""
        return bool(self._seen_at) and lifetime_of(target) in self._seen_at

    def note(self, target: "Target") -> None:
        """Takes in that an answer of a target says that it leaves."""
        lifetime = lifetime_of(target)
        if lifetime in self._seen_at:
            return
        self._seen_at[lifetime] = self._clock.monotonic()
        self.heard_by_service[target.service] = self.heard_by_service.get(target.service, 0) + 1
        log.info("target.leaving", target=target.target_id, service=target.service, evidence="own")

    def tick(self, targets: "t.Mapping[TargetId, TargetState]") -> None:
        """Compares the departures with the targets that there are."""
        now = self._clock.monotonic()
        for lifetime, seen_at in list(self._seen_at.items()):
            state = targets.get(lifetime.target_id)
            if state is not None and lifetime_of(state.target) == lifetime:
                self._seen_at[lifetime] = now
            elif now - seen_at >= _FORGET_S:
                del self._seen_at[lifetime]
