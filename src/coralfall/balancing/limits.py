"""Limits: the slots of each target over time, while bundles are staged and accepted.

Entries learn of an acceptance one after another, so for seconds some serve under the old
bundle met with the new, others under the new alone.  Two rules keep their sum within every
limit:

* While it is unknown which of several bundles is in force, a target has the least slots that
  it has under any of them.  What is worked out from each bundle apart and then met is never
  above either; what is worked out from a met bundle may be, because a region's limit gives to
  one target what another one loses.
* After an acceptance, slots that the old bundle did not give are held back while requests that
  were dispatched under it may still run, but only where a shared limit would be passed.
"""

import itertools
import typing as t

import msgspec

from .. import defaults
from ..bundles.bundle import Bundle
from ..ids import BundleVersion, PartnerId, RegionId, ServiceId, TargetId
from .capacity import Pool, placed_targets, pool_limit, pools, reserved_slots, usable_slots

if t.TYPE_CHECKING:
    from ..process.clock import Clock


class TargetLimit(msgspec.Struct, frozen=True):
    """What all entries together may do with one target now."""

    partner: PartnerId
    service: ServiceId
    region: RegionId
    #: Slots kept for the target; they stay with their owners while it ramps.
    reserved: int
    #: Slots that may be used now, at most ``reserved``.
    usable: int
    #: Longest time that a request dispatched by any entry may still run, in seconds.
    timeout_s: float
    #: Longest time that a request dispatched by this entry now may run, in seconds.
    deadline_s: float


Limits = t.Dict[TargetId, TargetLimit]
_Versions = t.Tuple[t.Tuple[PartnerId, BundleVersion], ...]


class _View:
    """One combination of the partners' bundles, and what follows from it."""

    def __init__(self, bundles: t.Mapping[PartnerId, Bundle]) -> None:
        self.bundles = bundles
        self._places = placed_targets(bundles)
        self.reserved_by_id = reserved_slots(bundles)
        self.members_by_pool = pools(bundles)
        self.limit_by_pool = {pool: pool_limit(bundles, pool) for pool in self.members_by_pool}
        self.longest_s = 0.0
        for bundle in bundles.values():
            for service in bundle.services.values():
                self.longest_s = max(self.longest_s, service.timeout_ms / 1000)
        #: Monotonic time until which requests dispatched under this view may run.
        self.lasts_until = 0.0

    def slots_there(self, target_id: TargetId, pool: Pool) -> int:
        """Slots of a target within a pool; 0 if it was somewhere else under this view."""
        if target_id not in self.members_by_pool.get(pool, ()):
            return 0
        return self.reserved_by_id[target_id]

    def limits(self, now: float, accepted_at: t.Mapping[PartnerId, float]) -> Limits:
        """Limits under this view alone."""
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


class CapacityLimits:
    """Works out the limits again and again as bundles and the time go on.

    :param clock: the entry's clock.
    """

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        self._view_by_versions: t.Dict[_Versions, _View] = {}
        self._known: Limits = {}

    def update(
        self,
        accepted: t.Mapping[PartnerId, Bundle],
        staged: t.Mapping[PartnerId, Bundle],
        accepted_at: t.Mapping[PartnerId, float],
        platform_now: float,
    ) -> Limits:
        """Limits to keep from now until the next call; the same object if none has changed.

        :param accepted: accepted bundle of each partner, as far as known.
        :param staged: bundle of each partner that may have been accepted meanwhile.
        :param accepted_at: platform's wall time at which ``accepted`` were accepted.
        :param platform_now: platform's wall time in seconds.
        """
        current = self._current_views(accepted, staged)
        retired = self._retired_views(current)
        met: t.Optional[Limits] = None
        for view in current:
            since = dict(accepted_at)
            for partner, bundle in view.bundles.items():
                if bundle is not accepted.get(partner):
                    since[partner] = platform_now
            limits = view.limits(platform_now, since)
            met = limits if met is None else _least(met, limits)
        self._known = _unchanged(self._known, _hold_back(met or {}, current, retired))
        return self._known

    def _current_views(
        self, accepted: t.Mapping[PartnerId, Bundle], staged: t.Mapping[PartnerId, Bundle]
    ) -> t.List[_View]:
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
                view = _View({bundle.partner: bundle for bundle in bundles})
                self._view_by_versions[versions] = view
            # A loan made under this view may be used, and a request run, for so long.
            lasts_s = defaults.LOAN_TTL_S + view.longest_s + defaults.HANDOVER_MARGIN_S
            view.lasts_until = now + lasts_s
            current.append(view)
        return current

    def _retired_views(self, current: t.List[_View]) -> t.List[_View]:
        now = self._clock.monotonic()
        retired = []
        for versions, view in list(self._view_by_versions.items()):
            if view in current:
                continue
            if now >= view.lasts_until:
                del self._view_by_versions[versions]
                continue
            retired.append(view)
        return retired


def _unchanged(known: Limits, limits: Limits) -> Limits:
    """The new limits, with what is equal to the known ones taken from there."""
    if known == limits:
        return known
    for target_id, limit in limits.items():
        if known.get(target_id) == limit:
            limits[target_id] = known[target_id]
    return limits


def _least(first: Limits, second: Limits) -> Limits:
    met: Limits = {}
    for target_id, limit in first.items():
        other = second.get(target_id)
        if other is None or (limit.service, limit.region) != (other.service, other.region):
            met[target_id] = msgspec.structs.replace(limit, reserved=0, usable=0)
            continue
        met[target_id] = msgspec.structs.replace(
            limit,
            reserved=min(limit.reserved, other.reserved),
            usable=min(limit.usable, other.usable),
            timeout_s=max(limit.timeout_s, other.timeout_s),
            deadline_s=min(limit.deadline_s, other.deadline_s),
        )
    return met


def _hold_back(limits: Limits, current: t.List[_View], retired: t.List[_View]) -> Limits:
    if not retired:
        return limits
    held = dict(limits)
    for target_id, limit in limits.items():
        held[target_id] = _with_old_timeout(target_id, limit, retired)
    for view in current:
        for pool, members in view.members_by_pool.items():
            if _overlap(pool, limits, view, retired) <= view.limit_by_pool[pool]:
                continue
            for target_id in members:
                if target_id not in held:
                    continue
                least = min(old.slots_there(target_id, pool) for old in retired)
                held[target_id] = _at_most(held[target_id], least)
    return held


def _overlap(pool: Pool, limits: Limits, view: _View, retired: t.List[_View]) -> int:
    """Most that may be in flight in a pool under the new limits and all old views."""
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


def _with_old_timeout(
    target_id: TargetId, limit: TargetLimit, retired: t.List[_View]
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


def _at_most(limit: TargetLimit, slots: int) -> TargetLimit:
    return msgspec.structs.replace(
        limit, reserved=min(limit.reserved, slots), usable=min(limit.usable, slots)
    )
