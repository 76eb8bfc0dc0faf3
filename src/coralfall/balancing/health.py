"""Health: what an entry believes of each target, from its own requests and from reports.

Own results come first. Reports may be late, frozen or wrong, so they only ever make the entry
more careful with one target, and are set aside when they say that most of a region is dead.
"""

import math
import typing as t

from .. import defaults
from ..bundles.bundle import Target
from ..ids import RegionId, TargetId, ZoneId
from .ramp import probe_backoff_s, ramped_slots
from .steering import AttemptResult

#: Weight of one new latency in a target's mean, and of one in its zone's.
LATENCY_WEIGHT = 0.1
ZONE_WEIGHT = 0.02
#: Seconds after which half of a target's mean latency is replaced by its zone's.
LATENCY_HALF_LIFE_S = 5.0
#: Mean latency of a zone that nothing is known of, in seconds.
UNKNOWN_LATENCY_S = 0.005
#: Seconds a target is left alone after it said that it was full, doubling up to the longest.
SHED_BACKOFF_S = 0.1
SHED_BACKOFF_MAX_S = 1.0


class TargetHealth:
    """What the entry believes of one target.

    :param target: the target, as the bundle states it.
    :param ramp_s: seconds of slow start after it was suspected.
    """

    __slots__ = (
        "_answered_at",
        "_latency_at",
        "_latency_s",
        "_paused_until",
        "_probe_at",
        "_ramp_s",
        "_recovered_at",
        "_report_changed_at",
        "_reported",
        "_sheds",
        "_unwell_at",
        "failures",
        "target",
    )

    def __init__(self, target: Target, ramp_s: float) -> None:
        self.target = target
        #: Failures in a row.
        self.failures = 0
        self._ramp_s = ramp_s
        self._answered_at = float("-inf")
        self._latency_at = float("-inf")
        self._latency_s = 0.0
        self._paused_until = float("-inf")
        self._probe_at = float("-inf")
        self._recovered_at = float("-inf")
        self._report_changed_at = float("-inf")
        self._reported = 0.0
        self._sheds = 0
        self._unwell_at = float("-inf")

    @property
    def is_suspect(self) -> bool:
        """Whether its last requests failed in a row."""
        return self.failures >= defaults.SUSPECT_FAILURES

    @property
    def is_dead(self) -> bool:
        """Whether so many failed that no doubt is left."""
        return self.failures >= defaults.DEAD_FAILURES

    def record_answer(self, seconds: float, now: float) -> None:
        """Take in an answer that came after ``seconds``."""
        if self.is_suspect:
            self._recovered_at = now
        self.failures = 0
        self._sheds = 0
        self._answered_at = now
        if self._latency_at == float("-inf"):
            self._latency_s = seconds
        self._latency_s += LATENCY_WEIGHT * (seconds - self._latency_s)
        self._latency_at = now

    def record_shed(self, now: float) -> None:
        """Take in the target's own word that it did not run a request for want of room."""
        pause = min(SHED_BACKOFF_S * 2.0**self._sheds, SHED_BACKOFF_MAX_S)
        self._paused_until = now + pause
        self._sheds = min(self._sheds + 1, 16)

    def record_failure(self, now: float) -> None:
        """Take in a request that got no whole answer, or none at all."""
        self.failures += 1
        self._probe_at = now + probe_backoff_s(self.failures - defaults.SUSPECT_FAILURES)

    def record_report(self, in_flight: int, slots: int, now: float, healthy: bool = True) -> None:
        """Take in a report of load and health."""
        reported = in_flight / max(1, slots)
        if reported != self._reported:
            self._reported = reported
            self._report_changed_at = now
        self._unwell_at = float("-inf") if healthy else now

    def seems_dead(self, now: float) -> bool:
        """Whether requests failed in a row, or it calls itself unwell and no answer says else."""
        if self.is_suspect:
            return True
        return (
            now - self._unwell_at < defaults.UNHEALTHY_REPORT_TTL_S
            and self._answered_at < self._unwell_at
        )

    def is_backing_off(self, now: float) -> bool:
        """Whether it said a moment ago that it was full."""
        return now < self._paused_until

    def is_probe_due(self, now: float) -> bool:
        """Whether a single request may find out if a suspected target is back."""
        return now >= self._probe_at

    def start_probe(self, now: float) -> None:
        """Count a request as the probe; the next one waits for its result or the backoff."""
        self._probe_at = now + probe_backoff_s(self.failures - defaults.SUSPECT_FAILURES + 1)

    def load(self, own: float, prior: float, now: float) -> float:
        """Share of the target's slots in use, as far as can be known.

        A report counts from its last change, so one that is frozen fades like one that stopped
        coming; what replaces it is ``prior``, and in no case is it less than ``own``.

        :param own: share of the target's slots that this entry uses.
        :param prior: share of all its slots in the service that this entry uses.
        """
        age = now - self._report_changed_at
        weight = math.pow(0.5, age / defaults.REPORT_HALF_LIFE_S)
        return max(own, weight * self._reported + (1 - weight) * prior)

    def expected_latency_s(self, zone_latency_s: float, now: float) -> float:
        """Seconds until an answer is to be expected.

        :param zone_latency_s: mean of the target's zone, which replaces an old estimate.
        """
        weight = math.pow(0.5, (now - self._latency_at) / LATENCY_HALF_LIFE_S)
        return weight * self._latency_s + (1 - weight) * zone_latency_s

    def usable_slots(self, now: float) -> int:
        """Slots with an index below this may be used."""
        if self._recovered_at == float("-inf"):
            return self.target.slots
        return ramped_slots(self.target.slots, self._recovered_at, now, self._ramp_s)


class _RegionHealth:
    """What the entry believes of one region of a service."""

    __slots__ = ("doubted", "failures", "known", "looking_dead")

    def __init__(self) -> None:
        #: Failures in a row, of whichever targets.
        self.failures = 0
        #: Targets, and those of them that look dead.
        self.known = 0
        self.looking_dead = 0
        #: Whether so many look dead that it is not believed.
        self.doubted = False


class ServiceHealth:
    """Health of all targets of one service, and the doubt in it.

    When more than half of the targets of a region look dead at once, the measurements are
    doubted: its targets are used again, within their slots, but for those that failed
    ``defaults.DEAD_FAILURES`` times in a row here. A region is lost when
    ``defaults.REGION_DEAD_FAILURES`` own requests in a row failed there, whatever the targets;
    reports alone never make it so. If all regions are lost, the entry doubts itself and goes
    on using all of them.

    :param ramp_s: seconds of slow start after a target was suspected.
    """

    def __init__(self, ramp_s: float) -> None:
        self.health_by_target: t.Dict[TargetId, TargetHealth] = {}
        self._ramp_s = ramp_s
        self._region_by_id: t.Dict[RegionId, _RegionHealth] = {}
        self._serving: t.Set[RegionId] = set()
        self._all_lost = False
        self._latency_by_zone: t.Dict[ZoneId, float] = {}

    def set_targets(self, targets_by_id: t.Mapping[TargetId, Target], now: float) -> None:
        """Know just these targets; what is known of those that stay is kept."""
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
        """Reckon anew which regions are doubted and which are lost."""
        for region in self._region_by_id.values():
            region.known = region.looking_dead = 0
        for health in self.health_by_target.values():
            region = self._region_by_id.setdefault(health.target.region, _RegionHealth())
            region.known += 1
            region.looking_dead += health.seems_dead(now)
        self._serving.clear()
        for region_id, region in list(self._region_by_id.items()):
            if not region.known:
                del self._region_by_id[region_id]
                continue
            region.doubted = 2 * region.looking_dead > region.known
            if region.failures < defaults.REGION_DEAD_FAILURES:
                self._serving.add(region_id)
        self._all_lost = not self._serving
        if self._all_lost:
            self._serving.update(self._region_by_id)

    @property
    def serving_regions(self) -> t.AbstractSet[RegionId]:
        """Regions that can serve."""
        return self._serving

    def record_attempt(
        self,
        target_id: TargetId,
        result: AttemptResult,
        seconds: float,
        load: t.Optional[str],
        now: float,
    ) -> None:
        """Take in what an attempt says of its target.

        :param seconds: how long it took.
        :param load: the target's own word on its load, as ``in-flight/slots``, if it gave one.
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
            # The target's own word; without a load report nobody was reached.
            known.record_shed(now)
            return
        if result is not AttemptResult.CANCELLED:
            self.record_failure(target_id, now)

    def record_answer(self, target_id: TargetId, seconds: float, now: float) -> None:
        """Take in an answer of a target."""
        health = self.health_by_target.get(target_id)
        if health is None:
            return
        region = self._region_by_id[health.target.region]
        news = health.is_suspect or region.failures >= defaults.REGION_DEAD_FAILURES
        region.failures = 0
        health.record_answer(seconds, now)
        zone = health.target.zone
        mean = self._latency_by_zone.setdefault(zone, seconds)
        self._latency_by_zone[zone] = mean + ZONE_WEIGHT * (seconds - mean)
        if news:
            self.refresh(now)

    def record_failure(self, target_id: TargetId, now: float) -> None:
        """Take in a failure of a target."""
        health = self.health_by_target.get(target_id)
        if health is None:
            return
        region = self._region_by_id[health.target.region]
        region.failures += 1
        health.record_failure(now)
        if health.is_suspect or region.failures == defaults.REGION_DEAD_FAILURES:
            self.refresh(now)

    def is_usable(self, target_id: TargetId, now: float) -> bool:
        """Whether a target may get requests that are not probes."""
        health = self.health_by_target[target_id]
        if health.is_backing_off(now):
            return False
        if self._all_lost:
            return True
        region = self._region_by_id[health.target.region]
        if region.failures >= defaults.REGION_DEAD_FAILURES:
            return False
        return not health.is_dead if region.doubted else not health.seems_dead(now)

    def is_probe_due(self, target_id: TargetId, now: float) -> bool:
        """Whether a target that is not usable may get one request to find out."""
        health = self.health_by_target[target_id]
        return not health.is_backing_off(now) and health.is_probe_due(now)

    def expected_latency_s(self, target_id: TargetId, now: float) -> float:
        """Seconds until a target's answer is to be expected."""
        health = self.health_by_target[target_id]
        prior = self._latency_by_zone.get(health.target.zone, UNKNOWN_LATENCY_S)
        return health.expected_latency_s(prior, now)
