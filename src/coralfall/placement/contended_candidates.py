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
    # Lazy, as a service may have hundreds of targets and a request needs three of them.
    local: t.Iterator["TargetState"] = (
        state for state in ranking.local if steering.may_send(state, key)
    )
    remote = (state for state in ranking.remote if steering.may_send(state, key))
    if is_upload:
        local = _best_of_own_zone_first(local, steering)
    prefers_local = ranking.position < rankings.local_fraction(service, regions)
    ordered = itertools.chain(local, remote) if prefers_local else itertools.chain(remote, local)
    return _take(ordered, steering)


def _best_of_own_zone_first(
    local: t.Iterable["TargetState"], steering: "AffinitySteering"
) -> t.Iterator["TargetState"]:
    """Yields the best target of the entry's zone first, and the best of other zones second.

    Bytes between zones are paid for, and uploads have most of them; a copy of an object in each
    zone is cheap for the few objects of uploads.
    """
    states = list(local)
    own = [state for state in states if state.target.zone == steering.settings.zone]
    others = [state for state in states if state.target.zone != steering.settings.zone]
    yield from own[:1] + others + own[1:]


def _take(
    ordered: t.Iterable["TargetState"], steering: "AffinitySteering"
) -> t.List["TargetState"]:
    """Returns the first targets of the first one's region, and the first of another region."""
    same_region: t.List["TargetState"] = []
    elsewhere: t.List["TargetState"] = []
    home: t.Optional["RegionId"] = None
    for state in ordered:
        region = steering.rankings.region_of(state)
        home = home or region
        if region != home:
            elsewhere = elsewhere or [state]
        elif len(same_region) < _SAME_REGION_CANDIDATES:
            same_region.append(state)
        if elsewhere and len(same_region) == _SAME_REGION_CANDIDATES:
            break
    return same_region + elsewhere
