"""Slow targets: detects latency outliers among the targets of a service and lowers their share.

Targets of one service may differ in speed. One that takes three times as long as the others for
cached objects is late with all its objects, while others are idle. So each entry samples the
latency of its targets, from requests for cached objects that met no queue, and a slow target keeps
only a fraction of the objects that its hash assigns to it. The others go to the next target of
their ranking in the same region. Entries do not coordinate; a hash selects the objects that move,
so entries with similar samples move almost the same objects.
"""

import collections
import hashlib
import statistics
import typing as t

if t.TYPE_CHECKING:
    from ..ids import RegionId, ServiceId, TargetId
    from ..process.clock import Clock
    from .targets import TargetRegistry, TargetState

#: Most samples that are kept of each target, and the fewest that give a median.
_MAX_SAMPLES = 8
_MIN_SAMPLES = 3
#: Seconds after which a sample is ignored.
_SAMPLE_TTL_S = 15.0
#: Multiple of the latency of a region's faster targets up to which a target is not slow.
_SLOW_MULTIPLE = 1.25
#: Seconds by which latencies may differ for reasons other than the target's speed.
_SLOW_MARGIN_S = 0.02
#: Minimum fraction of its objects that a target keeps, so that its recovery is noticed.
_MIN_KEPT_FRACTION = 0.1
#: Seconds between two comparisons of the targets of a service.
_COMPARISON_INTERVAL_S = 0.5
_HASH_RANGE = float(1 << 64)


class LatencySamples:
    """Recent latencies of one target for cached objects."""

    __slots__ = ("_samples",)

    def __init__(self) -> None:
        #: Time of recording and latency in seconds of each sample.
        self._samples: t.Deque[t.Tuple[float, float]] = collections.deque(maxlen=_MAX_SAMPLES)

    def record(self, now: float, seconds: float) -> None:
        """Adds a sample."""
        self._samples.append((now, seconds))

    def median_s(self, now: float) -> t.Optional[float]:
        """Median of the samples in seconds, or None if there are too few."""
        recent_s = [seconds for at, seconds in self._samples if at > now - _SAMPLE_TTL_S]
        if len(recent_s) < _MIN_SAMPLES:
            return None
        return statistics.median(recent_s)


class SlowTargetDetector:
    """Finds the slow targets of each service, and the fraction of its objects that each one keeps.

    :param targets: all targets.
    :param region_of: returns the region of a target.
    :param clock: time source.
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
        self._fractions_by_service: t.Dict["ServiceId", t.Dict["TargetId", float]] = {}

    def kept_fraction(self, state: "TargetState") -> float:
        """Fraction of its objects that a target keeps, from 0 to 1."""
        service = state.target.service
        now = self._clock.monotonic()
        if now - self._compared_at.get(service, -float("inf")) >= _COMPARISON_INTERVAL_S:
            self._compared_at[service] = now
            self._fractions_by_service[service] = self._compare(service, now)
        return self._fractions_by_service[service].get(state.target.target_id, 1.0)

    def keeps_object(self, state: "TargetState", key: bytes) -> bool:
        """Whether a target keeps an object that its hash assigns to it."""
        fraction = self.kept_fraction(state)
        return fraction >= 1.0 or _hash_position(key, state.target.target_id) < fraction

    def _compare(self, service: "ServiceId", now: float) -> t.Dict["TargetId", float]:
        """Fraction of its objects that each slow target of a service keeps."""
        medians_by_region: t.Dict[t.Optional["RegionId"], t.List[t.Tuple[float, "TargetState"]]] = (
            {}
        )
        for state in self._targets.of_service(service):
            median_s = state.latencies.median_s(now)
            if median_s is not None:
                medians_by_region.setdefault(self._region_of(state), []).append((median_s, state))
        fractions: t.Dict["TargetId", float] = {}
        for medians in medians_by_region.values():
            slow_above_s = (
                _lower_quartile([median_s for median_s, _ in medians]) * _SLOW_MULTIPLE
                + _SLOW_MARGIN_S
            )
            for median_s, state in medians:
                if median_s > slow_above_s:
                    fractions[state.target.target_id] = max(
                        _MIN_KEPT_FRACTION, slow_above_s / median_s
                    )
        return fractions


def _lower_quartile(latencies_s: t.List[float]) -> float:
    """Lower quartile of latencies in seconds."""
    return sorted(latencies_s)[len(latencies_s) // 4]


def _hash_position(key: bytes, target_id: "TargetId") -> float:
    digest = hashlib.blake2b(target_id.encode(), key=key[:64], digest_size=8, person=b"speed")
    return int.from_bytes(digest.digest(), "big") / _HASH_RANGE
