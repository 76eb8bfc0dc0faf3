"""Computes how many slots of each target may be used, from the bundles of all partners.

Every entry computes this on its own from the same bundles, so the order in which slots are cut
to a limit depends on nothing but the bundles: see :func:`reserved_slots`, which shares a limit
by max-min fairness with ties broken by a hash of the target's id.
"""

import hashlib
import typing as t

import msgspec

from ..bundles.bundle import Bundle, Grant, Region, Service, Target
from ..ids import PartnerId, RegionId, TargetId, TargetState
from .ramp import ramped_slots

#: Target states, strictest first.
_STRICTNESS = (TargetState.LEAVING, TargetState.JOINING, TargetState.ACTIVE)


class Pool(msgspec.Struct, frozen=True):
    """A limit on slots in a region that several targets share.

    :param partner: partner whose targets share a grant in the region; ``None`` for the limit of
        the region itself.
    """

    region: RegionId
    partner: t.Optional[PartnerId] = None


class PlacedTarget(msgspec.Struct, frozen=True):
    """A target with its partner, and whether it uses a grant in another partner's region."""

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
    """Returns the slots of each target that all entries together may use now.

    :param bundles: bundle of each partner.
    :param now: platform's wall time in seconds.
    :param accepted_at: platform's wall time at which each partner's bundle was accepted.
    :param reserved: result of :func:`reserved_slots`, if the caller has it already.
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
    """Returns the slots of each target, ignoring the ramp of joining targets.

    Limits are applied to full targets rather than to what their ramps allow at the moment.
    Otherwise each step of one target's ramp would take slots from other targets, and two entries
    whose clocks differ would together use more than the limit.

    A limit that is too small is dealt out in rounds of one slot per target, skipping targets that
    have all they ask for. The last, partial round goes in the order of the targets' hashes. Limits
    of grants are applied first, then those of regions.
    """
    slots_by_id = {place.target_id: _requested_slots(place) for place in placed_targets(bundles)}
    for pool, members in pools(bundles).items():
        requested = {target_id: slots_by_id[target_id] for target_id in members}
        slots_by_id.update(distribute(pool_limit(bundles, pool), requested))
    return slots_by_id


def placed_targets(bundles: t.Mapping[PartnerId, Bundle]) -> t.List[PlacedTarget]:
    """Returns every target once, ordered by id.

    Partners choose the ids of their targets. If two partners use the same id, the target in its
    partner's own region is kept, so that no partner can displace another's target by its name.
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
    """Returns the targets of each shared limit, grants before regions."""
    by_grant: t.Dict[Pool, t.Set[TargetId]] = {}
    by_region: t.Dict[Pool, t.Set[TargetId]] = {}
    for place in placed_targets(bundles):
        region = place.target.region
        by_region.setdefault(Pool(region), set()).add(place.target_id)
        if place.granted:
            by_grant.setdefault(Pool(region, place.partner), set()).add(place.target_id)
    return {**by_grant, **by_region}


def pool_limit(bundles: t.Mapping[PartnerId, Bundle], pool: Pool) -> int:
    """Returns the most requests in flight in a pool; 0 if nobody owns the region or grants it.

    If two partners claim the same region, the lower of their limits counts.
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
    """Returns a bundle that allows only what both bundles allow.

    It applies while it is unknown which of the two is in force. Slots of targets must not be
    computed from it, since a slot that one target loses would go to another: see
    :class:`coralfall.balancing.limits.CapacityLimits`.

    :param accepted: also provides weights, policies, sites and blocks.
    :param staged: bundle of the same partner.
    """
    services = _intersect(accepted.services, staged.services, _stricter_service)
    targets = _intersect(accepted.targets, staged.targets, _stricter_target)
    for target_id in [name for name, target in targets.items() if target.service not in services]:
        del targets[target_id]
    return msgspec.structs.replace(
        accepted,
        regions=_intersect(accepted.regions, staged.regions, _stricter_region),
        services=services,
        targets=targets,
        grants=_intersect(accepted.grants, staged.grants, _stricter_grants),
    )


def idle_connections(target: Target, members: int) -> int:
    """Returns how many idle connections to a target each entry may keep, besides those in use.

    Connections in use are bounded by the target's slots, whichever entries hold them. The rest is
    shared evenly, so that all entries together never open more than the bundle states. An entry
    that has just joined and may not use its slots yet keeps no idle connections.
    """
    return max(0, target.connections - target.slots) // max(1, members)


def _requested_slots(place: PlacedTarget) -> int:
    if place.target.state is TargetState.LEAVING:
        return 0
    return min(place.target.slots, place.target.connections)


def distribute(limit: int, requested: t.Mapping[TargetId, int]) -> t.Dict[TargetId, int]:
    """Returns the slots of each target within a limit; with a lower limit, no target has more.

    :param limit: slots of all targets together.
    :param requested: slots that each target asks for.
    """
    if sum(requested.values()) <= limit:
        return dict(requested)
    rounds = _count_full_rounds(limit, requested)
    granted_slots = {target_id: min(slots, rounds) for target_id, slots in requested.items()}
    left = limit - sum(granted_slots.values())
    for target_id in sorted(requested, key=_hash):
        if not left:
            break
        if requested[target_id] <= rounds:
            continue
        granted_slots[target_id] += 1
        left -= 1
    return granted_slots


def _count_full_rounds(limit: int, requested: t.Mapping[TargetId, int]) -> int:
    """Returns the number of full rounds of one slot per target within the limit."""
    remaining = limit
    open_targets = len(requested)
    for slots in sorted(requested.values()):
        if slots * open_targets > remaining:
            return remaining // open_targets
        remaining -= slots
        open_targets -= 1
    return 0


def _hash(target_id: TargetId) -> bytes:
    return hashlib.blake2b(target_id.encode(), digest_size=8).digest()


_KeyT = t.TypeVar("_KeyT")
_ValueT = t.TypeVar("_ValueT")


def _intersect(
    first: t.Mapping[_KeyT, _ValueT],
    second: t.Mapping[_KeyT, _ValueT],
    intersect_values: t.Callable[[_ValueT, _ValueT], t.Optional[_ValueT]],
) -> t.Dict[_KeyT, _ValueT]:
    common = {}
    for key, value in first.items():
        other = second.get(key)
        if other is None:
            continue
        both = intersect_values(value, other)
        if both is not None:
            common[key] = both
    return common


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
    return _intersect(first, second, _stricter_grant)


def _stricter_grant(first: Grant, second: Grant) -> Grant:
    return Grant(slots=min(first.slots, second.slots))
