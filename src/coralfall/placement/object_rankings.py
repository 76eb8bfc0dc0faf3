"""Object rankings: the order in which the targets of a service are candidates for each object.

Rendezvous hashing: all entries of a region rank the targets alike without communication. Rankings
are cached, as they cost a hash for each target.
"""

import collections
import typing as t

from .. import defaults
from .locality import (
    RateLimitedFraction,
    SlotsByRegion,
    hash_position,
    remote_weight,
    rendezvous_score,
)
from .locality import local_fraction as equal_demand_fraction
from .region_load import RegionLoad

if t.TYPE_CHECKING:
    from ..ids import RegionId, ServiceId
    from ..process.clock import Clock
    from ..traffic.settings import SteerSettings
    from .targets import TargetRegistry, TargetState

#: Regions that may serve a request; any if empty.
Regions = t.FrozenSet["RegionId"]


class Ranking:
    """The targets of one object by descending score, in the entry's own region and in others."""

    __slots__ = ("local", "position", "remote")

    def __init__(
        self, position: float, local: t.Sequence["TargetState"], remote: t.Sequence["TargetState"]
    ) -> None:
        self.position = position
        self.local = local
        self.remote = remote


class ObjectRankings:
    """Ranks the targets of services for objects.

    :param settings: settings of the entry.
    :param targets: known targets.
    :param clock: time source.
    """

    def __init__(
        self, settings: "SteerSettings", targets: "TargetRegistry", clock: "Clock"
    ) -> None:
        self.settings = settings
        self._targets = targets
        self._clock = clock
        self._rankings: "collections.OrderedDict[t.Tuple[ServiceId, bytes, Regions], Ranking]" = (
            collections.OrderedDict()
        )
        #: Measured load of the region's targets, by which contended services are distributed.
        self.region_load = RegionLoad(clock)
        self._local_fractions: t.Dict[t.Tuple["ServiceId", Regions], RateLimitedFraction] = {}
        self._slots: t.Dict[t.Tuple["ServiceId", Regions], SlotsByRegion] = {}
        self._region_count = len(set(settings.regions_by_zone.values()))
        self._generation = -1

    def region_of(self, state: "TargetState") -> "t.Optional[RegionId]":
        """Region of a target; ``None`` if its zone is unknown."""
        return self.settings.regions_by_zone.get(state.target.zone)

    def ranking_of(self, service: "ServiceId", key: bytes, regions: Regions) -> Ranking:
        """Ranking of the targets in use for one object, cached until the targets change."""
        if self._generation != self._targets.generation:
            self._generation = self._targets.generation
            self._rankings.clear()
            self._slots.clear()
        ranking = self._rankings.get((service, key, regions))
        if ranking is None:
            ranking = self._rankings[service, key, regions] = self._rank(service, key, regions)
            if len(self._rankings) > defaults.AFFINITY_CACHE_OBJECTS:
                self._rankings.popitem(last=False)
        return ranking

    def _rank(self, service: "ServiceId", key: bytes, regions: Regions) -> Ranking:
        slots = self._slots_by_region(service, regions)
        region_count = self._region_count
        near: t.List[t.Tuple[float, "TargetState"]] = []
        remote: t.List[t.Tuple[float, "TargetState"]] = []
        for state in self._targets.of_service(service):
            region = self.region_of(state)
            if region is None or (regions and region not in regions):
                continue
            target = state.target
            if region == self.settings.region:
                near.append((rendezvous_score(target.target_id, key, target.slots), state))
                continue
            weight = target.slots * remote_weight(region, slots, region_count)
            remote.append((rendezvous_score(target.target_id, key, weight), state))
        return Ranking(hash_position(key), _by_descending_score(near), _by_descending_score(remote))

    def local_fraction(self, service: "ServiceId", regions: Regions) -> float:
        """Fraction of its objects that the entry's region serves itself."""
        slots = self._slots_by_region(service, regions)
        goal = equal_demand_fraction(self.settings.region, slots, self._region_count)
        now = self._clock.monotonic()
        fraction = self._local_fractions.get((service, regions))
        if fraction is None:
            fraction = self._local_fractions[service, regions] = RateLimitedFraction(now, goal)
        per_s = self.settings.bounds.home_shift_per_s()
        own_slots = slots.get(self.settings.region, 0)
        # With targets in one region only, there is nothing to balance.
        has_choice = 0 < own_slots < sum(slots.values())
        if has_choice and self.region_load.is_contended(service):
            return self.region_load.follow((service, regions), fraction, goal, per_s)
        self.region_load.forget((service, regions))
        return fraction.follow(now, goal, per_s)

    def _slots_by_region(self, service: "ServiceId", regions: Regions) -> SlotsByRegion:
        known = self._slots.get((service, regions))
        if known is not None:
            return known
        slots: t.Dict["RegionId", int] = {}
        for state in self._targets.of_service(service):
            region = self.region_of(state)
            if region is not None and (not regions or region in regions):
                slots[region] = slots.get(region, 0) + state.target.slots
        self._slots[service, regions] = slots
        return slots


def _by_descending_score(
    scored: t.List[t.Tuple[float, "TargetState"]],
) -> t.Tuple["TargetState", ...]:
    return tuple([state for _, state in sorted(scored, key=lambda pair: -pair[0])])
