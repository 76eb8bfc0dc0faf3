"""Updates the slots that this entry owns as the roster and the limits change.

Who owns a slot is decided in :mod:`coralfall.balancing.ownership`; when a new owner may begin to
use it, in :mod:`coralfall.balancing.handover`.
"""

import typing as t

from .. import defaults
from ..ids import EntryId, RegionId, Revision, ServiceId, TargetId
from .handover import Ack, Handover, ResolvedMembers
from .owner_counts import OwnerCounts
from .ownership import owned_indices, retained_indices
from .slot import INFINITY, Slot

if t.TYPE_CHECKING:
    from ..cluster.roster import Roster
    from ..process.clock import Clock
    from .limits import Limits, TargetLimit
    from .slot_inventory import SlotInventory

#: Targets per step of :meth:`OwnedSlots.update_steps`.
TARGETS_PER_STEP = 8
#: Stands for any member until the blocking member has been determined.
_UNRESOLVED = EntryId("")


class OwnedSlots:
    """Keeps the owned slots of an inventory consistent with the roster and the limits.

    :param entry_id: id of this entry.
    :param inventory: receives the gained slots; the lost ones are removed from it.
    :param clock: clock of this entry.
    :param expiry_s: seconds after which another entry's lease and its loans have expired.
    """

    def __init__(
        self, entry_id: EntryId, inventory: "SlotInventory", clock: "Clock", expiry_s: float
    ) -> None:
        #: Id of this entry.
        self.entry_id = entry_id
        self._inventory = inventory
        self._clock = clock
        self._expiry_s = expiry_s
        #: What all entries together may do with each target.
        self.limits: "Limits" = {}
        self._handover = Handover(entry_id)
        self._others: t.Set[EntryId] = set()
        self._is_only_member_ever = False
        self._changed_at = -INFINITY
        self._unscanned_targets: t.Dict[TargetId, None] = {}
        self._owner_counts = OwnerCounts(entry_id)

    def update(self, roster: "Roster", limits: "Limits") -> None:
        """Applies the roster and the limits; lost slots are removed before this returns."""
        if limits is not self.limits:
            self._apply_limits(limits)
        if roster.revision != self._handover.revision:
            self._apply_roster(roster)

    def apply_acks(self, acks: t.Iterable[Ack]) -> None:
        """Applies acknowledgements of rosters by other members."""
        self._resolve_blocked(self._handover.apply_acks(acks))

    def update_steps(self) -> t.Iterator[None]:
        """Finds gained slots, yielding every few milliseconds until done."""
        while self._unscanned_targets:
            for _ in range(min(TARGETS_PER_STEP, len(self._unscanned_targets))):
                target_id, _ = self._unscanned_targets.popitem()
                self._scan(target_id)
            yield

    @property
    def awaited_members(self) -> t.Collection[EntryId]:
        """Members whose acknowledgement is awaited."""
        return self._handover.awaited_members.keys()

    @property
    def revision(self) -> Revision:
        """Revision of the latest roster applied."""
        return self._handover.revision

    def slots_by_owner(
        self, service: ServiceId, regions: t.Collection[RegionId]
    ) -> t.Dict[EntryId, int]:
        """Returns how many slots of the service each other member owns.

        See :meth:`OwnerCounts.of_service`.
        """
        return self._owner_counts.of_service(service, regions, self.limits)

    def discard_lost(self, slot: Slot) -> None:
        """Removes a lost slot that no request and no loan uses any more."""
        if self._inventory.lost_by_key.get(slot.key) is not slot:
            return
        del self._inventory.lost_by_key[slot.key]
        if slot.target_id in self.limits:
            # It may be owned again, and have been skipped while it was in use.
            self._unscanned_targets[slot.target_id] = None

    def _apply_limits(self, limits: "Limits") -> None:
        before = self.limits
        self.limits = limits
        self._inventory.clear_service_cache()
        for target_id, limit in limits.items():
            old = before.get(target_id)
            if old is limit:
                continue
            self._owner_counts.discard(target_id)
            is_same_service_and_region = old is not None and old.service == limit.service
            is_same_service_and_region = (
                is_same_service_and_region and old is not None and old.region == limit.region
            )
            if not is_same_service_and_region:
                self._remove_from_index(target_id, 0)
            elif old is not None and limit.reserved < old.reserved:
                self._remove_from_index(target_id, limit.reserved)
            if old is None or not is_same_service_and_region or limit.reserved > old.reserved:
                self._unscanned_targets[target_id] = None
        for target_id in before:
            if target_id not in limits:
                self._remove_from_index(target_id, 0)
                self._unscanned_targets.pop(target_id, None)
                self._owner_counts.discard(target_id)
        self._inventory.forget_lives(limits)

    def _apply_roster(self, roster: "Roster") -> None:
        now = self._clock.monotonic()
        join_count, others = self._handover.join_count, self._others
        resolved = self._handover.update(roster)
        self._changed_at = now
        for slot in list(self._inventory.lost_by_key.values()):
            if not slot.busy and slot.lent_until <= now:
                self.discard_lost(slot)
        incarnation = self._handover.incarnation
        self._others = {name for name in roster.by_id if name != self.entry_id}
        self._owner_counts.set_others(self._others)
        if incarnation is None:
            self._remove_all()
            self._unscanned_targets = {}
            return
        self._is_only_member_ever = roster.only_ever(self.entry_id, incarnation)
        if self._handover.join_count != join_count:
            self._remove_all()
            self._unscanned_targets = dict.fromkeys(self.limits)
            return
        self._remove_lost_to(self._others - others)
        if others - self._others:
            self._unscanned_targets = dict.fromkeys(self.limits)
        self._resolve_blocked(resolved)

    def _resolve_blocked(self, resolved: ResolvedMembers) -> None:
        """Delays the use of slots that members no longer awaited may still use."""
        if not resolved.acked and not resolved.removed:
            return
        now = self._clock.monotonic()
        for target_id, owned in self._inventory.owned_by_target.items():
            for slot in owned.values():
                is_unresolved = slot.blocking_member is _UNRESOLVED
                if slot.blocking_member in resolved.removed or (is_unresolved and resolved.removed):
                    slot.prior_dispatch_until = max(slot.prior_dispatch_until, now + self._expiry_s)
                elif slot.blocking_member in resolved.acked or (is_unresolved and resolved.acked):
                    slot.prior_dispatch_until = max(
                        slot.prior_dispatch_until, now + defaults.LOAN_TTL_S
                    )
                else:
                    continue
                slot.blocking_member = _UNRESOLVED
                self._unscanned_targets[target_id] = None

    def _scan(self, target_id: TargetId) -> None:
        """Adds the gained slots of a target, and finds which members block slots."""
        limit = self.limits[target_id]
        if self._handover.incarnation is None:
            return
        for index in owned_indices(target_id, limit.reserved, self.entry_id, self._others):
            slot = self._inventory.owned_slot(target_id, index)
            slot = slot or self._gain(target_id, index, limit)
            if slot is not None and slot.blocking_member is _UNRESOLVED:
                slot.blocking_member = self._handover.blocking_member(target_id, index)

    def _gain(self, target_id: TargetId, index: int, limit: "TargetLimit") -> t.Optional[Slot]:
        slot = self._inventory.lost_by_key.get((target_id, index))
        if slot is None:
            slot = Slot(target_id, index, limit, self._inventory.life_of(target_id))
        elif (slot.service, slot.region) != (limit.service, limit.region):
            return None
        if not self._is_only_member_ever:
            slot.prior_dispatch_until = self._changed_at + self._expiry_s
        slot.blocking_member = _UNRESOLVED
        self._inventory.add_owned(slot)
        return slot

    def _remove_all(self) -> None:
        for target_id in list(self._inventory.owned_by_target):
            self._remove_from_index(target_id, 0)

    def _remove_lost_to(self, joined: t.Set[EntryId]) -> None:
        if not joined:
            return
        for target_id, owned in list(self._inventory.owned_by_target.items()):
            kept = retained_indices(target_id, owned, self.entry_id, joined)
            for index in set(owned).difference(kept):
                self._remove(target_id, index)

    def _remove_from_index(self, target_id: TargetId, reserved: int) -> None:
        for index in list(self._inventory.owned_by_target.get(target_id, ())):
            if index >= reserved:
                self._remove(target_id, index)

    def _remove(self, target_id: TargetId, index: int) -> None:
        slot = self._inventory.remove_owned(target_id, index)
        if slot.busy or slot.lent_until > self._clock.monotonic():
            self._inventory.lost_by_key[slot.key] = slot
