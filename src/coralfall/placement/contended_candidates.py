"""Candidates of the objects of contended services: which targets' dispatchers are asked.

The candidates are in rendezvous order (see :mod:`.object_rankings`): the first target, the next of
the same region, and the first of another region. The dispatchers know load, pace and caches, so
these play no part here. Targets that this entry can't use by its own knowledge are left out.
"""

import itertools
import typing as t

if t.TYPE_CHECKING:
    from ..ids import RegionId, ServiceId
    from .affinity import AffinitySteering
    from .object_rankings import Regions
    from .targets import TargetState

#: Number of candidates in the region of the first one, and in others.
_SAME_REGION = 2
_ELSEWHERE = 1


def contended_candidates(
    steering: "AffinitySteering",
    service: "ServiceId",
    key: bytes,
    regions: "Regions",
) -> t.List["TargetState"]:
    """Returns the candidates of an object, the best first.

    :param key: identifies the object.
    :param regions: regions that may serve the request; any if empty.
    """
    rankings = steering.rankings
    ranking = rankings.ranking_of(service, key, regions)
    local = ranking.local
    prefers_local = ranking.position < rankings.local_fraction(service, regions)
    ranked = (local, ranking.remote) if prefers_local else (ranking.remote, local)
    same_region_count = _SAME_REGION
    if prefers_local and rankings.region_load.is_overloaded((service, regions)):
        # The region's other targets are as full, and would have to load the object.
        same_region_count = 1
    home: "t.Optional[RegionId]" = None
    same_region: t.List["TargetState"] = []
    elsewhere: t.List["TargetState"] = []
    # Ends early, as a check of all targets for each request would take too much processor time.
    for state in itertools.chain(*ranked):
        is_home = not same_region or rankings.region_of(state) == home
        found, count = (same_region, same_region_count) if is_home else (elsewhere, _ELSEWHERE)
        if len(found) == count or not steering.may_send(state, key):
            continue
        if not same_region:
            home = rankings.region_of(state)
        found.append(state)
        if len(same_region) == same_region_count and len(elsewhere) == _ELSEWHERE:
            break
    return same_region + elsewhere
