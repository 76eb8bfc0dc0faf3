"""Candidates of the objects of contended services: which targets' dispatchers are asked.

The candidates are in rendezvous order (see :mod:`.object_rankings`): the first target, the next of
the same region, and the first of another region. The dispatchers know load, pace and caches, so
these play no part here. Targets that this entry can't use by its own knowledge are left out.
"""

import typing as t

if t.TYPE_CHECKING:
    from ..ids import RegionId, ServiceId
    from .affinity import AffinitySteering
    from .object_rankings import Regions
    from .targets import TargetState

#: Number of candidates in the region of the first one.
_SAME_REGION_CANDIDATES = 2


def contended_candidates(
    steering: "AffinitySteering",
    is_upload: bool,
    service: "ServiceId",
    key: bytes,
    regions: "Regions",
) -> t.List["TargetState"]:
    """Returns the candidates of an object, the best first.

    :param is_upload: whether the requests have large bodies.
    :param key: identifies the object.
    :param regions: regions that may serve the request; any if empty.
    """
    rankings = steering.rankings
    ranking = rankings.ranking_of(service, key, regions)
    local = [state for state in ranking.local if steering.may_send(state, key)]
    remote = [state for state in ranking.remote if steering.may_send(state, key)]
    if is_upload:
        local = _best_of_own_zone_first(local, steering)
    prefers_local = ranking.position < rankings.local_fraction(service, regions)
    ranked = local + remote if prefers_local else remote + local
    if not ranked:
        return []
    home = rankings.region_of(ranked[0])
    return _of_region(ranked, home, steering) + _first_elsewhere(ranked, home, steering)


def _best_of_own_zone_first(
    local: t.List["TargetState"], steering: "AffinitySteering"
) -> t.List["TargetState"]:
    """Puts the best target of the entry's zone first, and the best of other zones second.

    Bytes between zones are paid for, and uploads have most of them; a copy of an object in each
    zone is cheap for the few objects of uploads.
    """
    own = [state for state in local if state.target.zone == steering.settings.zone]
    others = [state for state in local if state.target.zone != steering.settings.zone]
    return own[:1] + others + own[1:]


def _of_region(
    ranked: t.Sequence["TargetState"],
    region: "t.Optional[RegionId]",
    steering: "AffinitySteering",
) -> t.List["TargetState"]:
    found = [state for state in ranked if steering.rankings.region_of(state) == region]
    return found[:_SAME_REGION_CANDIDATES]


def _first_elsewhere(
    ranked: t.Sequence["TargetState"],
    region: "t.Optional[RegionId]",
    steering: "AffinitySteering",
) -> t.List["TargetState"]:
    for state in ranked:
        if steering.rankings.region_of(state) != region:
            return [state]
    return []
