"""Departures: lifetimes of targets that announced in an answer that they are leaving.

A departure is final, so this is a grow-only set, from which lifetimes expire only once their
targets have been unknown for a retention period. Entries replicate it by gossip: each message
carries the recent additions, and two entries whose checksums differ exchange the whole set
(anti-entropy).
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

#: Seconds for which a departure is kept after its target was last known: a row that is lost in an
#: outage may return.
_RETENTION_S = 600.0


class Departures:
    """Replicated set of the lifetimes that are leaving.

    :param clock: time source.
    """

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        #: Monotonic time at which the target of each lifetime was last known.
        self._seen_at: t.Dict[Lifetime, float] = {}
        #: Monotonic time at which this entry learnt of each recent departure.
        self._learnt_at: t.Dict[Lifetime, float] = {}
        #: Departures whose targets are known, and the checksum over them.
        self._known_lifetimes: t.Tuple[Lifetime, ...] = ()
        self._checksum = 0
        #: Number of departures that this entry learnt of from an answer, by service.
        self.detected_by_service: t.Dict[str, int] = {}
        #: Called when departures are added.
        self.on_change: t.Callable[[], None] = lambda: None
        #: Called when there are updates for others; the argument is whether they are urgent.
        self.on_update: t.Callable[[bool], None] = lambda at_once: None

    def includes(self, target: "Target") -> bool:
        """Whether the lifetime of a target is leaving."""
        return bool(self._seen_at) and lifetime_of(target) in self._seen_at

    def record(self, target: "Target") -> None:
        """Records that a target announced its departure in an answer."""
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
        """Adds departures that another entry sent."""
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
        """Departures that are still gossiped, the latest first."""
        latest = sorted(
            self._learnt_at, key=lambda lifetime: self._learnt_at[lifetime], reverse=True
        )
        return tuple(latest[: defaults.MAX_GOSSIP_DEPARTURES])

    def snapshot(self) -> t.Tuple[Lifetime, ...]:
        """All departures whose targets are known."""
        return self._known_lifetimes

    def checksum(self) -> int:
        """Checksum that is equal at entries with equal :meth:`snapshot`."""
        return self._checksum

    def _add(self, lifetimes: t.Iterable[Lifetime]) -> None:
        now = self._clock.monotonic()
        for lifetime in lifetimes:
            self._seen_at[lifetime] = now
            self._learnt_at[lifetime] = now
        self._index(now)
        self.on_change()

    def _index(self, now: float) -> None:
        since = now - defaults.GOSSIP_UPDATE_TTL_S
        known_lifetimes = tuple([one for one, seen_at in self._seen_at.items() if seen_at > since])
        if known_lifetimes == self._known_lifetimes:
            return
        self._known_lifetimes = known_lifetimes
        self._checksum = 0
        for lifetime in known_lifetimes:
            self._checksum ^= lifetime.digest()

    def tick(self, targets: "t.Mapping[TargetId, TargetState]") -> None:
        """Refreshes the departures by the known targets, and drops expired ones."""
        if not self._seen_at:
            return
        now = self._clock.monotonic()
        for lifetime, learnt_at in list(self._learnt_at.items()):
            if now - learnt_at >= defaults.GOSSIP_UPDATE_TTL_S:
                del self._learnt_at[lifetime]
        for lifetime, seen_at in list(self._seen_at.items()):
            state = targets.get(lifetime.target_id)
            if state is not None and lifetime_of(state.target) == lifetime:
                self._seen_at[lifetime] = now
            elif now - seen_at >= _RETENTION_S:
                del self._seen_at[lifetime]
        self._index(now)
