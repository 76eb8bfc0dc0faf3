"""Limits of each target's slots over time, while bundles are staged and accepted.

Entries learn of an acceptance one after another, so for some seconds some serve under the
intersection of the old and the new bundle, others under the new bundle alone.  Two rules keep
their sum within every limit:

* While it is unknown which of several bundles is in force, a target has the fewest slots that it
  has under any of them.  Limits that are computed from each bundle separately and then reduced
  to their minimum exceed neither.  Limits computed from an intersection of bundles may exceed
  one, because a region's limit gives to one target what another target loses.
* After an acceptance, slots that the old bundle did not give are withheld while requests
  dispatched under it may still run, but only where a shared limit would be exceeded.

A target that is paused runs requests beyond their deadlines.  So the slots that a target lost by a
bundle count against shared limits until it is seen alive after these deadlines, or no bundle lists
it any more, by which its operators say that it is gone.  An entry that starts does not know of
slots that targets lost before.
"""

import itertools
import typing as t

import msgspec

from .. import defaults
from ..bundles.bundle import Bundle
from ..ids import BundleVersion, PartnerId, RegionId, ServiceId, TargetId
from .capacity import (
    Pool,
    distribute,
    placed_targets,
    pool_limit,
    pools,
    reserved_slots,
    usable_slots,
)
from .slot import INFINITY

if t.TYPE_CHECKING:
    from ..process.clock import Clock


class TargetLimit(msgspec.Struct, frozen=True):
    """What all entries together may do with one target now."""

    partner: PartnerId
    service: ServiceId
    region: RegionId
    #: Slots assigned to the target; their owners keep them while it ramps.
    reserved: int
    #: Slots that may be used now; at most ``reserved``.
    usable: int
    #: Longest time in seconds that a request dispatched by any entry may still run.
    timeout_s: float
    #: Longest time in seconds that a request dispatched now by this entry may run.
    deadline_s: float


Limits = t.Dict[TargetId, TargetLimit]
#: Monotonic time at which the latest message was sent that a target has answered.
ProvedAt = t.Callable[[TargetId], float]
_BundleVersions = t.Tuple[t.Tuple[PartnerId, BundleVersion], ...]


class _BundleView:
    """One combination of the partners' bundles, and the limits that follow from it."""

    def __init__(self, bundles: t.Mapping[PartnerId, Bundle]) -> None:
        self.bundles = bundles
        self._places = placed_targets(bundles)
        self.reserved_by_id = reserved_slots(bundles)
        self.members_by_pool = pools(bundles)
        self.limit_by_pool = {pool: pool_limit(bundles, pool) for pool in self.members_by_pool}
        self.longest_timeout_s = 0.0
        for bundle in bundles.values():
            for service in bundle.services.values():
                self.longest_timeout_s = max(self.longest_timeout_s, service.timeout_ms / 1000)
        #: Monotonic time until which requests dispatched under this combination may run.
        self.expires_at = 0.0

    def slots_in_pool(self, target_id: TargetId, pool: Pool) -> int:
        """Returns a target's slots within a pool; 0 if the target was not in it under this view."""
        if target_id not in self.members_by_pool.get(pool, ()):
            return 0
        return self.reserved_by_id[target_id]

    def limits(self, now: float, accepted_at: t.Mapping[PartnerId, float]) -> Limits:
        """Returns the limits under this view alone."""
        usable_by_id = usable_slots(self.bundles, now, accepted_at, self.reserved_by_id)
        limits: Limits = {}
        for place in self._places:
            service_id = place.target.service
            timeout_ms = self.bundles[place.partner].services[service_id].timeout_ms
            limits[place.target_id] = TargetLimit(
                place.partner,
                service_id,
                place.target.region,
                self.reserved_by_id[place.target_id],
                usable_by_id[place.target_id],
                timeout_ms / 1000,
                timeout_ms / 1000,
            )
        return limits


class _Doubt(msgspec.Struct):
    """Slots of a target whose requests may run on, though the target has fewer slots now."""

    slots: int
    #: Monotonic time by which the requests must have been over.
    expired_at: float


class CapacityLimits:
    """Computes the limits as bundles change and time passes.

    :param clock: clock of this entry.
    :param proved_at: tells when targets were last seen alive.
    """

    def __init__(self, clock: "Clock", proved_at: ProvedAt = lambda _target_id: INFINITY) -> None:
        self._clock = clock
        self._proved_at = proved_at
        self._doubt_by_place: t.Dict[t.Tuple[Pool, TargetId], _Doubt] = {}
        #: Targets for whose sign of life slots of others are withheld.
        self.doubted_targets: t.Set[TargetId] = set()
        self._view_by_versions: t.Dict[_BundleVersions, _BundleView] = {}
        self._known: Limits = {}

    def update(
        self,
        accepted: t.Mapping[PartnerId, Bundle],
        staged: t.Mapping[PartnerId, Bundle],
        accepted_at: t.Mapping[PartnerId, float],
        platform_now: float,
    ) -> Limits:
        """Returns the limits that apply until the next call; the same object if nothing changed.

        :param accepted: accepted bundle of each partner, as far as known.
        :param staged: bundle of each partner that may have been accepted since.
        :param accepted_at: platform's wall time at which ``accepted`` were accepted.
        :param platform_now: platform's wall time in seconds.
        """
        current = self._current_views(accepted, staged)
        retired = self._retired_views(current)
        combined: t.Optional[Limits] = None
        for view in current:
            ramp_start_by_partner = dict(accepted_at)
            for partner, bundle in view.bundles.items():
                if bundle is not accepted.get(partner):
                    ramp_start_by_partner[partner] = platform_now
            limits = view.limits(platform_now, ramp_start_by_partner)
            combined = limits if combined is None else _minimum(combined, limits)
        reduced = _withhold(combined or {}, current, retired)
        self._settle_doubts(current)
        self.doubted_targets = set()
        if self._doubt_by_place:
            for view in [*current, *retired]:
                reduced = self._make_room_for_doubts(reduced, view)
        self._known = _reuse_unchanged(self._known, reduced)
        return self._known

    def _current_views(
        self, accepted: t.Mapping[PartnerId, Bundle], staged: t.Mapping[PartnerId, Bundle]
    ) -> t.List[_BundleView]:
        now = self._clock.monotonic()
        choices = []
        for partner, bundle in sorted(accepted.items()):
            other = staged.get(partner)
            choices.append([bundle] if other is None else [bundle, other])
        current = []
        for bundles in itertools.product(*choices):
            versions = tuple((bundle.partner, bundle.version) for bundle in bundles)
            view = self._view_by_versions.get(versions)
            if view is None:
                view = _BundleView({bundle.partner: bundle for bundle in bundles})
                self._view_by_versions[versions] = view
            # A loan made under this view may be used, and then a request may run, for this long.
            lifetime_s = defaults.LOAN_TTL_S + view.longest_timeout_s + defaults.HANDOVER_MARGIN_S
            view.expires_at = now + lifetime_s
            current.append(view)
        return current

    def _retired_views(self, current: t.List[_BundleView]) -> t.List[_BundleView]:
        now = self._clock.monotonic()
        retired = []
        for versions, view in list(self._view_by_versions.items()):
            if view in current:
                continue
            if now >= view.expires_at:
                del self._view_by_versions[versions]
                self._add_doubts(view)
                continue
            retired.append(view)
        return retired

    def _add_doubts(self, expired: _BundleView) -> None:
        for pool, members in expired.members_by_pool.items():
            for target_id in members:
                doubt = self._doubt_by_place.setdefault((pool, target_id), _Doubt(0, 0.0))
                doubt.slots = max(doubt.slots, expired.reserved_by_id[target_id])
                doubt.expired_at = max(doubt.expired_at, expired.expires_at)

    def _settle_doubts(self, current: t.List[_BundleView]) -> None:
        """Removes the doubts about targets that were seen alive, are gone, or lost no slots."""
        for (pool, target_id), doubt in list(self._doubt_by_place.items()):
            slots = [view.slots_in_pool(target_id, pool) for view in current]
            is_listed = any(target_id in view.reserved_by_id for view in current)
            is_alive = self._proved_at(target_id) >= doubt.expired_at
            if is_alive or not is_listed or doubt.slots <= min(slots):
                del self._doubt_by_place[pool, target_id]

    def _make_room_for_doubts(self, limits: Limits, view: _BundleView) -> Limits:
        """Withholds slots where targets may run requests on slots that they lost.

        Shares follow from the bundles and the doubts alone.  An entry that has seen more signs of
        life withholds fewer slots of each target, so entries that differ keep a limit together.
        """
        extra_by_pool: t.Dict[Pool, t.Dict[TargetId, int]] = {}
        for (pool, target_id), doubt in self._doubt_by_place.items():
            extra = doubt.slots - view.slots_in_pool(target_id, pool)
            if extra > 0:
                extra_by_pool.setdefault(pool, {})[target_id] = extra
        reduced = dict(limits)
        for pool, extra_by_id in extra_by_pool.items():
            members = view.members_by_pool.get(pool, ())
            slots_by_id = {target_id: view.reserved_by_id[target_id] for target_id in members}
            room = view.limit_by_pool.get(pool, 0) - sum(extra_by_id.values())
            if sum(slots_by_id.values()) <= room:
                continue
            self.doubted_targets.update(extra_by_id)
            for target_id, share in distribute(max(0, room), slots_by_id).items():
                limit = reduced.get(target_id)
                if limit is not None and share < limit.usable:
                    reduced[target_id] = msgspec.structs.replace(limit, usable=share)
        return reduced


def _reuse_unchanged(known: Limits, limits: Limits) -> Limits:
    """Returns the new limits, with the known objects for those that are equal."""
    if known == limits:
        return known
    for target_id, limit in limits.items():
        if known.get(target_id) == limit:
            limits[target_id] = known[target_id]
    return limits


def _minimum(first: Limits, second: Limits) -> Limits:
    combined: Limits = {}
    for target_id, limit in first.items():
        other = second.get(target_id)
        if other is None or (limit.service, limit.region) != (other.service, other.region):
            combined[target_id] = msgspec.structs.replace(limit, reserved=0, usable=0)
            continue
        combined[target_id] = msgspec.structs.replace(
            limit,
            reserved=min(limit.reserved, other.reserved),
            usable=min(limit.usable, other.usable),
            timeout_s=max(limit.timeout_s, other.timeout_s),
            deadline_s=min(limit.deadline_s, other.deadline_s),
        )
    return combined


def _withhold(limits: Limits, current: t.List[_BundleView], retired: t.List[_BundleView]) -> Limits:
    if not retired:
        return limits
    reduced = dict(limits)
    for target_id, limit in limits.items():
        reduced[target_id] = _extend_timeout(target_id, limit, retired)
    for view in current:
        for pool, members in view.members_by_pool.items():
            if _max_in_flight(pool, limits, view, retired) <= view.limit_by_pool[pool]:
                continue
            for target_id in members:
                if target_id not in reduced:
                    continue
                lowest = min(old.slots_in_pool(target_id, pool) for old in retired)
                reduced[target_id] = _cap_slots(reduced[target_id], lowest)
    return reduced


def _max_in_flight(
    pool: Pool, limits: Limits, view: _BundleView, retired: t.List[_BundleView]
) -> int:
    """Returns the most requests in flight in a pool under the new limits and all old views."""
    slots_by_id = {
        target_id: limits[target_id].reserved
        for target_id in view.members_by_pool[pool]
        if target_id in limits
    }
    for old in retired:
        for target_id in old.members_by_pool.get(pool, ()):
            slots = old.reserved_by_id[target_id]
            slots_by_id[target_id] = max(slots_by_id.get(target_id, 0), slots)
    return sum(slots_by_id.values())


def _extend_timeout(
    target_id: TargetId, limit: TargetLimit, retired: t.List[_BundleView]
) -> TargetLimit:
    timeout_s = limit.timeout_s
    for old in retired:
        bundle = old.bundles.get(limit.partner)
        target = None if bundle is None else bundle.targets.get(target_id)
        if bundle is None or target is None:
            continue
        timeout_s = max(timeout_s, bundle.services[target.service].timeout_ms / 1000)
    if timeout_s == limit.timeout_s:
        return limit
    return msgspec.structs.replace(limit, timeout_s=timeout_s)


def _cap_slots(limit: TargetLimit, slots: int) -> TargetLimit:
    return msgspec.structs.replace(
        limit, reserved=min(limit.reserved, slots), usable=min(limit.usable, slots)
    )
