"""Departures: lifetimes of targets that said in an answer that they leave.

A lifetime that leaves does not come back, so this is a set that only grows, until its targets have
been unknown for long. Entries tell each other: what is news goes with each message, and two whose
sums differ tell each other all (anti-entropy over a grow-only set).
"""

import typing as t

from .. import defaults
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
        #: When this entry learnt of those that are news.
        self._news: t.Dict[Lifetime, float] = {}
        #: Those whose targets are among the ones that there are, and the sum over them.
        self._present: t.Tuple[Lifetime, ...] = ()
        self._sum = 0
        #: Those that this entry learnt of by an answer, by service.
        self.detected_by_service: t.Dict[str, int] = {}
        #: Called when more lifetimes leave.
        self.on_change: t.Callable[[], None] = lambda: None
        #: Called when there is something to tell the others: at once, or when there is room.
        self.on_update: t.Callable[[bool], None] = lambda at_once: None

    def includes(self, target: "Target") -> bool:
        """Whether a target's lifetime leaves."""
        return bool(self._seen_at) and lifetime_of(target) in self._seen_at

    def record(self, target: "Target") -> None:
        """Takes in that an answer of a target says that it leaves."""
        lifetime = lifetime_of(target)
        if lifetime in self._seen_at:
            return
        self.detected_by_service[target.service] = (
            self.detected_by_service.get(target.service, 0) + 1
        )
        log.info("target.leaving", target=target.target_id, service=target.service, evidence="own")
        self._add([lifetime])
        self.on_update(False)

    def merge(self, lifetimes: t.Iterable[Lifetime]) -> None:
        """Takes in what another entry knows."""
        new = [lifetime for lifetime in lifetimes if lifetime not in self._seen_at]
        if not new:
            return
        if len(new) > log.SINGLE_LINES:
            ids = [lifetime.target_id for lifetime in new]
            log.many("target.leaving", "targets", ids, evidence="told")
        else:
            for lifetime in new:
                log.info("target.leaving", target=lifetime.target_id, evidence="told")
        self._add(new)

    def recent_updates(self) -> t.Tuple[Lifetime, ...]:
        """What is news still, the latest first."""
        latest = sorted(self._news, key=lambda lifetime: self._news[lifetime], reverse=True)
        return tuple(latest[: defaults.MAX_GOSSIP_DEPARTURES])

    def snapshot(self) -> t.Tuple[Lifetime, ...]:
        """Those whose targets are among the ones that there are."""
        return self._present

    def checksum(self) -> int:
        """A number that two entries share if they agree on :meth:`all`."""
        return self._sum

    def _add(self, lifetimes: t.Iterable[Lifetime]) -> None:
        now = self._clock.monotonic()
        for lifetime in lifetimes:
            self._seen_at[lifetime] = now
            self._news[lifetime] = now
        self._index(now)
        self.on_change()

    def _index(self, now: float) -> None:
        since = now - defaults.GOSSIP_UPDATE_TTL_S
        present = tuple([one for one, seen_at in self._seen_at.items() if seen_at > since])
        if present == self._present:
            return
        self._present = present
        self._sum = 0
        for lifetime in present:
            self._sum ^= lifetime.digest()

    def tick(self, targets: "t.Mapping[TargetId, TargetState]") -> None:
        """Compares the departures with the targets that there are."""
        if not self._seen_at:
            return
        now = self._clock.monotonic()
        for lifetime, learnt_at in list(self._news.items()):
            if now - learnt_at >= defaults.GOSSIP_UPDATE_TTL_S:
                del self._news[lifetime]
        for lifetime, seen_at in list(self._seen_at.items()):
            state = targets.get(lifetime.target_id)
            if state is not None and lifetime_of(state.target) == lifetime:
                self._seen_at[lifetime] = now
            elif now - seen_at >= _FORGET_S:
                del self._seen_at[lifetime]
        self._index(now)
