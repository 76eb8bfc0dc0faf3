"""Drains of targets: from the time a target is marked as leaving until it has no requests."""

import typing as t

import msgspec

from ..ids import TargetId

#: Drains kept after their target was removed from the bundle.
KEPT_DRAINS = 100


class DrainReport(msgspec.Struct, frozen=True, kw_only=True):
    """Progress of one drain of a target, as seen by this entry."""

    target_id: TargetId
    #: Monotonic time at which this entry first saw the target marked as leaving.
    marked_at: float
    #: Seconds until this entry had no requests in flight there; ``None`` while it has some.
    seconds: t.Optional[float] = None
    #: Requests still in flight.
    in_flight: int = 0
    #: Whether the target was removed from the bundle before this entry's requests ended.
    gone: bool = False


class _Drain:
    """State of the drain of one target."""

    __slots__ = ("gone", "idle_at", "marked_at")

    def __init__(self, marked_at: float) -> None:
        self.marked_at = marked_at
        self.idle_at: t.Optional[float] = None
        self.gone = False


class DrainTracker:
    """Counts this entry's requests in flight on each target, and measures how long drains take.

    A target gets no new request from this entry once :meth:`mark` has been called, even if the
    request was queued, planned as a retry or meant for a borrowed slot before. Across entries this
    takes as long as an accepted bundle needs to be in force everywhere.

    :param keep: number of drains to keep whose target was removed from the bundle.
    """

    def __init__(self, keep: int = KEPT_DRAINS) -> None:
        self._keep = keep
        self._in_flight_by_id: t.Dict[TargetId, int] = {}
        self._drain_by_id: t.Dict[TargetId, _Drain] = {}

    def mark(
        self, leaving: t.Iterable[TargetId], present: t.Container[TargetId], now: float
    ) -> None:
        """Starts and ends drains according to the targets of a bundle.

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
        self._remove_old(marked)

    def _remove_old(self, marked: t.Container[TargetId]) -> None:
        old = []
        for target_id in self._drain_by_id:
            if target_id not in marked and not self.in_flight(target_id):
                old.append(target_id)
        for target_id in old[: max(0, len(old) - self._keep)]:
            del self._drain_by_id[target_id]

    def allows(self, target_id: TargetId) -> bool:
        """Returns whether the target may get new requests; checked last before each dispatch."""
        return target_id not in self._drain_by_id

    def start(self, target_id: TargetId) -> None:
        """Counts a request as in flight."""
        self._in_flight_by_id[target_id] = self.in_flight(target_id) + 1

    def finish(self, target_id: TargetId, now: float) -> None:
        """Counts a request as finished."""
        left = self.in_flight(target_id) - 1
        if left > 0:
            self._in_flight_by_id[target_id] = left
            return
        self._in_flight_by_id.pop(target_id, None)
        drain = self._drain_by_id.get(target_id)
        if drain is not None and drain.idle_at is None:
            drain.idle_at = now

    def in_flight(self, target_id: TargetId) -> int:
        """Returns the number of this entry's requests in flight on the target."""
        return self._in_flight_by_id.get(target_id, 0)

    def reports(self) -> t.Dict[TargetId, DrainReport]:
        """Returns all known drains by target.

        A drain is removed when its target is used again.
        """
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
