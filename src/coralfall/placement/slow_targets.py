"""Speed: which targets are slower than others of their service, and what they get less for it.

Targets of one service may differ in speed. One that takes three times as long as its neighbours
with an object that it knows is late with all its objects, while others are idle. So an entry times
its targets, by requests for objects that the target knows and that met no queue, and a slow target
keeps only a part of the objects that are its by hash. The others go to the next in their order, in
the same region. Nothing is agreed between entries; which objects go follows from a hash, so entries
that measured about the same move about the same objects.
"""

import collections
import hashlib
import statistics
import typing as t

if t.TYPE_CHECKING:
    from ..ids import RegionId, ServiceId, TargetId
    from ..process.clock import Clock
    from .targets import TargetRegistry, TargetState

#: Times that are kept of each target, and the fewest that say anything.
_KEPT = 8
_FEWEST = 3
#: Seconds after which a time no longer counts.
_COUNTS_S = 15.0
#: Multiple of the typical time of a region's fastest targets up to which one is not slow.
_EVEN = 1.25
#: Seconds by which a time may differ for reasons that are not the target's.
_EVEN_S = 0.02
#: Least part of its objects that a target keeps, lest nobody sees that it is well again.
_LEAST_PART = 0.1
#: Seconds for which a comparison of targets is kept.
_COMPARED_S = 0.5
_SPAN = float(1 << 64)


class LatencySamples:
    """How long one target took lately with objects that it knows."""

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: t.Deque[t.Tuple[float, float]] = collections.deque(maxlen=_KEPT)

    def record(self, now: float, seconds: float) -> None:
        """Take in one."""
        self._times.append((now, seconds))

    def median_s(self, now: float) -> t.Optional[float]:
        """Seconds, or None if too little is known."""
        counting = [seconds for at, seconds in self._times if at > now - _COUNTS_S]
        if len(counting) < _FEWEST:
            return None
        return statistics.median(counting)


class SlowTargetDetector:
    """Tells what part of its objects each target keeps.

    :param targets: all targets.
    :param region_of: region of a target.
    :param clock: tells the time.
    """

    def __init__(
        self,
        targets: "TargetRegistry",
        region_of: "t.Callable[[TargetState], t.Optional[RegionId]]",
        clock: "Clock",
    ) -> None:
        self._targets = targets
        self._region_of = region_of
        self._clock = clock
        self._compared_at: t.Dict["ServiceId", float] = {}
        self._part_by_id: t.Dict["ServiceId", t.Dict["TargetId", float]] = {}

    def kept_fraction(self, state: "TargetState") -> float:
        """The part of its objects that a target keeps, from 0 to 1."""
        service = state.target.service
        now = self._clock.monotonic()
        if now - self._compared_at.get(service, -float("inf")) >= _COMPARED_S:
            self._compared_at[service] = now
            self._part_by_id[service] = self._compare(service, now)
        return self._part_by_id[service].get(state.target.target_id, 1.0)

    def keeps_object(self, state: "TargetState", key: bytes) -> bool:
        """Whether a target keeps an object that is its by hash."""
        part = self.kept_fraction(state)
        return part >= 1.0 or _share_of(key, state.target.target_id) < part

    def _compare(self, service: "ServiceId", now: float) -> t.Dict["TargetId", float]:
        """Parts of the targets that are slow."""
        typical_by_region: t.Dict[t.Optional["RegionId"], t.List[t.Tuple[float, "TargetState"]]] = (
            {}
        )
        for state in self._targets.of_service(service):
            typical = state.latencies.median_s(now)
            if typical is not None:
                typical_by_region.setdefault(self._region_of(state), []).append((typical, state))
        parts: t.Dict["TargetId", float] = {}
        for timed in typical_by_region.values():
            even = _fast([typical for typical, _ in timed]) * _EVEN + _EVEN_S
            for typical, state in timed:
                if typical > even:
                    parts[state.target.target_id] = max(_LEAST_PART, even / typical)
        return parts


def _fast(times: t.List[float]) -> float:
    """The typical time of the faster targets: a quarter of them are faster still."""
    return sorted(times)[len(times) // 4]


def _share_of(key: bytes, target_id: "TargetId") -> float:
    digest = hashlib.blake2b(target_id.encode(), key=key[:64], digest_size=8, person=b"speed")
    return int.from_bytes(digest.digest(), "big") / _SPAN
