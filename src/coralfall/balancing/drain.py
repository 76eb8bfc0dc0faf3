"""Drains: from the moment a target is marked as leaving until it is idle."""

import typing as t

import msgspec

from ..ids import TargetId

#: Drains that are remembered after their target has gone from the bundle.
KEPT_DRAINS = 100


class DrainReport(msgspec.Struct, frozen=True, kw_only=True):
    """How one drain of a target went, as one entry saw it."""

    target_id: TargetId
    #: Monotonic time at which the entry saw the target marked.
    marked_at: float
    #: Seconds until the entry had nothing in flight there; ``None`` while it has.
    seconds: t.Optional[float] = None
    #: Requests still in flight.
    in_flight: int = 0
    #: Whether the target went from the bundle before it was idle.
    gone: bool = False


class _Drain:
    """One target's drain under way."""

    __slots__ = ("gone", "idle_at", "marked_at")

    def __init__(self, marked_at: float) -> None:
        self.marked_at = marked_at
        self.idle_at: t.Optional[float] = None
        self.gone = False


class DrainTracker:
    """Counts what this entry has in flight on each target and times the drains.

    A target gets no new work from the entry from the call of :meth:`mark` on, whatever was
    queued, lent or meant as a retry before; across entries that is the time in which an
    accepted bundle is in force everywhere.

    :param keep: how many drains of targets that have gone from the bundle to remember.
    """

    def __init__(self, keep: int = KEPT_DRAINS) -> None:
        self._keep = keep
        self._in_flight_by_id: t.Dict[TargetId, int] = {}
        self._drain_by_id: t.Dict[TargetId, _Drain] = {}

    def mark(
        self, leaving: t.Iterable[TargetId], present: t.Container[TargetId], now: float
    ) -> None:
        """Take in the targets of a bundle.

        :param leaving: all targets that are marked as leaving.
        :param present: all targets that the bundle names.
        :param now: monotonic time in seconds.
        """
        marked = set(leaving)
        for target_id in marked:
            if target_id in self._drain_by_id:
                continue
            drain = _Drain(now)
            self._drain_by_id[target_id] = drain
            if not self.in_flight(target_id):
                drain.idle_at = now
        for target_id in list(self._drain_by_id):
            if target_id in marked:
                continue
            if target_id in present:
                del self._drain_by_id[target_id]
                continue
            drain = self._drain_by_id[target_id]
            drain.gone = drain.gone or drain.idle_at is None
        self._forget(marked)

    def _forget(self, marked: t.Container[TargetId]) -> None:
        old = []
        for target_id in self._drain_by_id:
            if target_id not in marked and not self.in_flight(target_id):
                old.append(target_id)
        for target_id in old[: max(0, len(old) - self._keep)]:
            del self._drain_by_id[target_id]

    def allows(self, target_id: TargetId) -> bool:
        """Whether the target may get new work; the last check before each dispatch."""
        return target_id not in self._drain_by_id

    def start(self, target_id: TargetId) -> None:
        """Count a request as in flight."""
        self._in_flight_by_id[target_id] = self.in_flight(target_id) + 1

    def finish(self, target_id: TargetId, now: float) -> None:
        """Count a request as over."""
        left = self.in_flight(target_id) - 1
        if left > 0:
            self._in_flight_by_id[target_id] = left
            return
        self._in_flight_by_id.pop(target_id, None)
        drain = self._drain_by_id.get(target_id)
        if drain is not None and drain.idle_at is None:
            drain.idle_at = now

    def in_flight(self, target_id: TargetId) -> int:
        """Requests of this entry on the target."""
        return self._in_flight_by_id.get(target_id, 0)

    def reports(self) -> t.Dict[TargetId, DrainReport]:
        """All drains known, by target; a drain is forgotten when its target is used again."""
        reports = {}
        for target_id, drain in self._drain_by_id.items():
            seconds = None if drain.idle_at is None else drain.idle_at - drain.marked_at
            reports[target_id] = DrainReport(
                target_id=target_id,
                marked_at=drain.marked_at,
                seconds=seconds,
                in_flight=self.in_flight(target_id),
                gone=drain.gone,
            )
        return reports
