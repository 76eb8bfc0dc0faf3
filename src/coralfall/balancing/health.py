"""Target health: this entry's estimate of each target, from its own requests and from reports.

Detects outliers by consecutive failures. Results of this entry's own requests take precedence.
Reports may be late, frozen or wrong, so they can only make the entry more careful with a target,
and are ignored if they call most targets of a region dead.
"""

import math
import typing as t

from .. import defaults
from ..bundles.bundle import Target
from ..ids import RegionId, TargetId, ZoneId
from .ramp import probe_backoff_s, ramped_slots
from .steering import AttemptResult

#: Weights of a new latency in the moving averages of its target and of its zone.
LATENCY_WEIGHT = 0.1
ZONE_WEIGHT = 0.02
#: Half-life of a target's mean latency, after which its zone's mean takes over.
LATENCY_HALF_LIFE_S = 5.0
#: Mean latency in seconds assumed for a zone without any results.
UNKNOWN_LATENCY_S = 0.005
#: Backoff in seconds after a target shed a request; doubles up to the maximum.
SHED_BACKOFF_S = 0.1
SHED_BACKOFF_MAX_S = 1.0


class TargetHealth:
    """Health of one target.

    :param target: target as stated in the bundle.
    :param ramp_s: seconds of slow start after the target was suspect.
    """

    __slots__ = (
        "_answered_at",
        "_backoff_until",
        "_consecutive_sheds",
        "_latency_at",
        "_latency_s",
        "_probe_at",
        "_ramp_s",
        "_recovered_at",
        "_report_changed_at",
        "_reported",
        "_unhealthy_at",
        "failures",
        "target",
    )

    def __init__(self, target: Target, ramp_s: float) -> None:
        self.target = target
        #: Consecutive failures.
        self.failures = 0
        self._ramp_s = ramp_s
        self._answered_at = float("-inf")
        self._latency_at = float("-inf")
        self._latency_s = 0.0
        self._backoff_until = float("-inf")
        self._probe_at = float("-inf")
        self._recovered_at = float("-inf")
        self._report_changed_at = float("-inf")
        self._reported = 0.0
        self._consecutive_sheds = 0
        self._unhealthy_at = float("-inf")

    @property
    def is_suspect(self) -> bool:
        """Whether the latest requests failed consecutively."""
        return self.failures >= defaults.SUSPECT_FAILURES

    @property
    def is_dead(self) -> bool:
        """Whether so many consecutive requests failed that the target is certainly dead."""
        return self.failures >= defaults.DEAD_FAILURES

    def record_answer(self, seconds: float, now: float) -> None:
        """Records an answer that took ``seconds``."""
        if self.is_suspect:
            self._recovered_at = now
        self.failures = 0
        self._consecutive_sheds = 0
        self._answered_at = now
        if self._latency_at == float("-inf"):
            self._latency_s = seconds
        self._latency_s += LATENCY_WEIGHT * (seconds - self._latency_s)
        self._latency_at = now

    def record_shed(self, now: float) -> None:
        """Records that the target rejected a request because it was full."""
        backoff_s = min(SHED_BACKOFF_S * 2.0**self._consecutive_sheds, SHED_BACKOFF_MAX_S)
        self._backoff_until = now + backoff_s
        self._consecutive_sheds = min(self._consecutive_sheds + 1, 16)

    def record_failure(self, now: float) -> None:
        """Records a request that got no answer or an incomplete one."""
        self.failures += 1
        self._probe_at = now + probe_backoff_s(self.failures - defaults.SUSPECT_FAILURES)

    def record_report(self, in_flight: int, slots: int, now: float, healthy: bool = True) -> None:
        """Records a report of load and health."""
        reported = in_flight / max(1, slots)
        if reported != self._reported:
            self._reported = reported
            self._report_changed_at = now
        self._unhealthy_at = float("-inf") if healthy else now

    def seems_dead(self, now: float) -> bool:
        """Returns whether requests failed consecutively, or a report of ill health is unrefuted.

        An answer after the report refutes it.
        """
        if self.is_suspect:
            return True
        return (
            now - self._unhealthy_at < defaults.UNHEALTHY_REPORT_TTL_S
            and self._answered_at < self._unhealthy_at
        )

    def is_backing_off(self, now: float) -> bool:
        """Returns whether the target shed a request recently."""
        return now < self._backoff_until

    def is_probe_due(self, now: float) -> bool:
        """Returns whether a single request may test whether a suspect target has recovered."""
        return now >= self._probe_at

    def start_probe(self, now: float) -> None:
        """Counts a request as the probe; the next one waits for its result or for the backoff."""
        self._probe_at = now + probe_backoff_s(self.failures - defaults.SUSPECT_FAILURES + 1)

    def load(self, own: float, prior: float, now: float) -> float:
        """Returns the estimated share of the target's slots in use.

        The age of a report counts from its last change, so a frozen report fades just like one that
        stopped arriving. As it fades, ``prior`` replaces it. The result is never below ``own``.

        :param own: share of the target's slots that this entry uses.
        :param prior: share of its slots of the whole service that this entry uses.
        """
        age = now - self._report_changed_at
        weight = math.pow(0.5, age / defaults.REPORT_HALF_LIFE_S)
        return max(own, weight * self._reported + (1 - weight) * prior)

    def expected_latency_s(self, zone_latency_s: float, now: float) -> float:
        """Returns the expected seconds until an answer.

        :param zone_latency_s: mean of the target's zone, which replaces an old estimate.
        """
        weight = math.pow(0.5, (now - self._latency_at) / LATENCY_HALF_LIFE_S)
        return weight * self._latency_s + (1 - weight) * zone_latency_s

    def usable_slots(self, now: float) -> int:
        """Returns the index below which slots may be used."""
        if self._recovered_at == float("-inf"):
            return self.target.slots
        return ramped_slots(self.target.slots, self._recovered_at, now, self._ramp_s)


class _RegionHealth:
    """Health of one region of a service."""

    __slots__ = ("failures", "is_distrusted", "seeming_dead", "target_count")

    def __init__(self) -> None:
        #: Consecutive failures over all targets of the region.
        self.failures = 0
        #: Number of targets, and of those that seem dead.
        self.target_count = 0
        self.seeming_dead = 0
        #: Whether so many targets seem dead that the measurements are distrusted.
        self.is_distrusted = False


class ServiceHealth:
    """Health of all targets and regions of one service.

    If more than half of a region's targets seem dead at once, the measurements are distrusted: its
    targets are used again, within their slots, except for those that failed
    ``defaults.DEAD_FAILURES`` consecutive requests of this entry. A region is lost when
    ``defaults.REGION_DEAD_FAILURES`` consecutive requests of this entry failed there, on any
    targets; reports alone never cause this. If all regions are lost, the entry assumes that the
    fault is its own and keeps using all of them.

    :param ramp_s: seconds of slow start after a target was suspect.
    """

    def __init__(self, ramp_s: float) -> None:
        self.health_by_target: t.Dict[TargetId, TargetHealth] = {}
        self._ramp_s = ramp_s
        self._region_by_id: t.Dict[RegionId, _RegionHealth] = {}
        self._serving_regions: t.Set[RegionId] = set()
        self._all_lost = False
        self._latency_by_zone: t.Dict[ZoneId, float] = {}

    def set_targets(self, targets_by_id: t.Mapping[TargetId, Target], now: float) -> None:
        """Sets the targets; the state of targets that remain is kept."""
        for target_id in list(self.health_by_target):
            if target_id not in targets_by_id:
                del self.health_by_target[target_id]
        for target_id, target in targets_by_id.items():
            health = self.health_by_target.get(target_id)
            if health is not None and health.target.address == target.address:
                health.target = target
                continue
            self.health_by_target[target_id] = TargetHealth(target, self._ramp_s)
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """Recomputes which regions are distrusted and which are lost."""
        for region in self._region_by_id.values():
            region.target_count = region.seeming_dead = 0
        for health in self.health_by_target.values():
            region = self._region_by_id.setdefault(health.target.region, _RegionHealth())
            region.target_count += 1
            region.seeming_dead += health.seems_dead(now)
        self._serving_regions.clear()
        for region_id, region in list(self._region_by_id.items()):
            if not region.target_count:
                del self._region_by_id[region_id]
                continue
            region.is_distrusted = 2 * region.seeming_dead > region.target_count
            if region.failures < defaults.REGION_DEAD_FAILURES:
                self._serving_regions.add(region_id)
        self._all_lost = not self._serving_regions
        if self._all_lost:
            self._serving_regions.update(self._region_by_id)

    @property
    def serving_regions(self) -> t.AbstractSet[RegionId]:
        """Regions that can serve."""
        return self._serving_regions

    def record_attempt(
        self,
        target_id: TargetId,
        result: AttemptResult,
        seconds: float,
        load: t.Optional[str],
        now: float,
    ) -> None:
        """Records the result of an attempt.

        :param seconds: duration of the attempt.
        :param load: the target's own load report, as ``in-flight/slots``, if it sent one.
        """
        known = self.health_by_target.get(target_id)
        if known is None:
            return
        if load is not None:
            in_flight, _, slots = load.partition("/")
            if in_flight.isdigit() and slots.isdigit():
                known.record_report(int(in_flight), int(slots), now)
        if result is AttemptResult.ANSWERED:
            self.record_answer(target_id, seconds, now)
            return
        if result is AttemptResult.NOT_RUN and load is not None:
            # The target itself rejected the request; without a load report, no target was reached.
            known.record_shed(now)
            return
        if result is not AttemptResult.CANCELLED:
            self.record_failure(target_id, now)

    def record_answer(self, target_id: TargetId, seconds: float, now: float) -> None:
        """Records an answer of a target."""
        health = self.health_by_target.get(target_id)
        if health is None:
            return
        region = self._region_by_id[health.target.region]
        recovered = health.is_suspect or region.failures >= defaults.REGION_DEAD_FAILURES
        region.failures = 0
        health.record_answer(seconds, now)
        zone = health.target.zone
        mean = self._latency_by_zone.setdefault(zone, seconds)
        self._latency_by_zone[zone] = mean + ZONE_WEIGHT * (seconds - mean)
        if recovered:
            self.refresh(now)

    def record_failure(self, target_id: TargetId, now: float) -> None:
        """Records a failure of a target."""
        health = self.health_by_target.get(target_id)
        if health is None:
            return
        region = self._region_by_id[health.target.region]
        region.failures += 1
        health.record_failure(now)
        if health.is_suspect or region.failures == defaults.REGION_DEAD_FAILURES:
            self.refresh(now)

    def is_usable(self, target_id: TargetId, now: float) -> bool:
        """Returns whether a target may get requests other than probes."""
        health = self.health_by_target[target_id]
        if health.is_backing_off(now):
            return False
        if self._all_lost:
            return True
        region = self._region_by_id[health.target.region]
        if region.failures >= defaults.REGION_DEAD_FAILURES:
            return False
        return not health.is_dead if region.is_distrusted else not health.seems_dead(now)

    def is_probe_due(self, target_id: TargetId, now: float) -> bool:
        """Returns whether a target that is not usable may get one request as a probe."""
        health = self.health_by_target[target_id]
        return not health.is_backing_off(now) and health.is_probe_due(now)

    def expected_latency_s(self, target_id: TargetId, now: float) -> float:
        """Returns the expected seconds until a target answers."""
        health = self.health_by_target[target_id]
        prior = self._latency_by_zone.get(health.target.zone, UNKNOWN_LATENCY_S)
        return health.expected_latency_s(prior, now)
