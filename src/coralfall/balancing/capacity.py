"""Capacity: how many slots of each target may be used, by what both partners state.

Every entry works this out by itself from the same bundles, so the order in which slots are cut
off must depend on nothing but the bundles: see :func:`reserved_slots`.
"""

import hashlib
import typing as t

import msgspec

from ..bundles.bundle import Bundle, Grant, Region, Service, Target
from ..ids import PartnerId, RegionId, TargetId, TargetState
from .ramp import ramped_slots

#: States of a target from the strictest down.
_STRICTNESS = (TargetState.LEAVING, TargetState.JOINING, TargetState.ACTIVE)


class Pool(msgspec.Struct, frozen=True):
    """Slots of a region that several targets share.

    :param partner: whose targets there share a grant; ``None`` for the region as a whole.
    """

    region: RegionId
    partner: t.Optional[PartnerId] = None


class PlacedTarget(msgspec.Struct, frozen=True):
    """A target with whose it is, and whether another partner's region only bears it."""

    target_id: TargetId
    partner: PartnerId
    target: Target
    granted: bool


def usable_slots(
    bundles: t.Mapping[PartnerId, Bundle],
    now: float,
    accepted_at: t.Mapping[PartnerId, float],
    reserved: t.Optional[t.Mapping[TargetId, int]] = None,
) -> t.Dict[TargetId, int]:
    """Slots of each target that all entries together may use now.

    :param bundles: the bundle of each partner.
    :param now: platform's wall time in seconds.
    :param accepted_at: platform's wall time at which each partner's bundle was accepted.
    :param reserved: result of :func:`reserved_slots`, if it is known already.
    """
    usable = dict(reserved_slots(bundles) if reserved is None else reserved)
    for partner, bundle in bundles.items():
        for target_id, target in bundle.targets.items():
            if target.state is not TargetState.JOINING or not usable.get(target_id):
                continue
            ramp_s = bundle.services[target.service].ramp_s
            since = accepted_at.get(partner, now)
            ramped = ramped_slots(target.slots, since, now, ramp_s)
            usable[target_id] = min(usable[target_id], ramped)
    return usable


def reserved_slots(bundles: t.Mapping[PartnerId, Bundle]) -> t.Dict[TargetId, int]:
    """Slots of each target without regard to the ramp of those that are joining.

    A region's limit is cut after whole targets, not after what their ramps allow at the
    moment: otherwise each step of one target's ramp would take slots from others, and two
    entries whose clocks differ would together use more than there is.

    What a limit leaves is dealt out one slot a round to each target that has some left, in
    the order of the targets' hashes: first among the targets that share a grant, then among
    all of the region.
    """
    slots_by_id = {place.target_id: _asked(place) for place in placed_targets(bundles)}
    for pool, members in pools(bundles).items():
        asked = {target_id: slots_by_id[target_id] for target_id in members}
        slots_by_id.update(_deal(pool_limit(bundles, pool), asked))
    return slots_by_id


def placed_targets(bundles: t.Mapping[PartnerId, Bundle]) -> t.List[PlacedTarget]:
    """Every target once, in order of its id.

    Ids of targets are the partners' own choice.  If two name one alike, the target in its
    partner's own region stays, so that nobody pushes out another's by its name.
    """
    place_by_id: t.Dict[TargetId, PlacedTarget] = {}
    for partner, bundle in sorted(bundles.items()):
        for target_id, target in bundle.targets.items():
            granted = target.region not in bundle.regions
            known = place_by_id.get(target_id)
            if known is not None and known.granted <= granted:
                continue
            place_by_id[target_id] = PlacedTarget(target_id, partner, target, granted)
    return [place_by_id[target_id] for target_id in sorted(place_by_id)]


def pools(bundles: t.Mapping[PartnerId, Bundle]) -> t.Dict[Pool, t.Set[TargetId]]:
    """Targets by the limits that they share, those of grants before those of regions."""
    by_grant: t.Dict[Pool, t.Set[TargetId]] = {}
    by_region: t.Dict[Pool, t.Set[TargetId]] = {}
    for place in placed_targets(bundles):
        region = place.target.region
        by_region.setdefault(Pool(region), set()).add(place.target_id)
        if place.granted:
            by_grant.setdefault(Pool(region, place.partner), set()).add(place.target_id)
    return {**by_grant, **by_region}


def pool_limit(bundles: t.Mapping[PartnerId, Bundle], pool: Pool) -> int:
    """Most requests in flight that a pool bears; 0 if nobody owns the region or grants it.

    If two partners claim one region, the strictest of what they state counts.
    """
    limits = []
    for bundle in bundles.values():
        region = bundle.regions.get(pool.region)
        if region is None:
            continue
        if pool.partner is None:
            limits.append(region.slots)
            continue
        grant = bundle.grants.get(pool.region, {}).get(pool.partner)
        limits.append(0 if grant is None else grant.slots)
    return min(limits, default=0)


def stricter_bundle(accepted: Bundle, staged: Bundle) -> Bundle:
    """A bundle that allows only what both allow; for while it is unknown which is in force.

    How many slots each target gets is not to be worked out from the result, since what one
    target loses another would gain: see :class:`coralfall.balancing.limits.CapacityLimits`.

    :param accepted: gives weights, policies, sites and blocks.
    :param staged: of the same partner.
    """
    services = _meet(accepted.services, staged.services, _stricter_service)
    targets = _meet(accepted.targets, staged.targets, _stricter_target)
    for target_id in [name for name, target in targets.items() if target.service not in services]:
        del targets[target_id]
    return msgspec.structs.replace(
        accepted,
        regions=_meet(accepted.regions, staged.regions, _stricter_region),
        services=services,
        targets=targets,
        grants=_meet(accepted.grants, staged.grants, _stricter_grants),
    )


def idle_connections(target: Target, members: int) -> int:
    """Idle connections to a target that each entry may keep open beside those in use.

    Connections in use are bounded by the target's slots, whoever holds those; what is left
    is shared evenly, so that all entries together never open more than the bundle states.
    An entry whose slots rest because it has just joined keeps none.
    """
    return max(0, target.connections - target.slots) // max(1, members)


def _asked(place: PlacedTarget) -> int:
    if place.target.state is TargetState.LEAVING:
        return 0
    return min(place.target.slots, place.target.connections)


def _deal(limit: int, asked: t.Mapping[TargetId, int]) -> t.Dict[TargetId, int]:
    if sum(asked.values()) <= limit:
        return dict(asked)
    rounds = _full_rounds(limit, asked)
    dealt = {target_id: min(slots, rounds) for target_id, slots in asked.items()}
    left = limit - sum(dealt.values())
    for target_id in sorted(asked, key=_hash):
        if not left:
            break
        if asked[target_id] <= rounds:
            continue
        dealt[target_id] += 1
        left -= 1
    return dealt


def _full_rounds(limit: int, asked: t.Mapping[TargetId, int]) -> int:
    """How many rounds of one slot a target the limit carries."""
    remaining = limit
    open_targets = len(asked)
    for slots in sorted(asked.values()):
        if slots * open_targets > remaining:
            return remaining // open_targets
        remaining -= slots
        open_targets -= 1
    return 0


def _hash(target_id: TargetId) -> bytes:
    return hashlib.blake2b(target_id.encode(), digest_size=8).digest()


_KeyT = t.TypeVar("_KeyT")
_ValueT = t.TypeVar("_ValueT")


def _meet(
    first: t.Mapping[_KeyT, _ValueT],
    second: t.Mapping[_KeyT, _ValueT],
    meet: t.Callable[[_ValueT, _ValueT], t.Optional[_ValueT]],
) -> t.Dict[_KeyT, _ValueT]:
    met = {}
    for key, value in first.items():
        other = second.get(key)
        if other is None:
            continue
        both = meet(value, other)
        if both is not None:
            met[key] = both
    return met


def _stricter_region(first: Region, second: Region) -> Region:
    return msgspec.structs.replace(
        first,
        slots=min(first.slots, second.slots),
        link_bytes_per_s=min(first.link_bytes_per_s, second.link_bytes_per_s),
    )


def _stricter_service(first: Service, second: Service) -> Service:
    return msgspec.structs.replace(
        first,
        shift_cap=min(first.shift_cap, second.shift_cap),
        shift_window_s=max(first.shift_window_s, second.shift_window_s),
        timeout_ms=min(first.timeout_ms, second.timeout_ms),
        key_required=first.key_required or second.key_required,
        max_body_bytes=min(first.max_body_bytes, second.max_body_bytes),
        ramp_s=max(first.ramp_s, second.ramp_s),
    )


def _stricter_target(first: Target, second: Target) -> t.Optional[Target]:
    if (first.service, first.region, first.address) != (
        second.service,
        second.region,
        second.address,
    ):
        return None
    state = min(first.state, second.state, key=_STRICTNESS.index)
    return msgspec.structs.replace(
        first,
        slots=min(first.slots, second.slots),
        connections=min(first.connections, second.connections),
        state=state,
    )


def _stricter_grants(
    first: t.Dict[PartnerId, Grant], second: t.Dict[PartnerId, Grant]
) -> t.Dict[PartnerId, Grant]:
    return _meet(first, second, _stricter_grant)


def _stricter_grant(first: Grant, second: Grant) -> Grant:
    return Grant(slots=min(first.slots, second.slots))
