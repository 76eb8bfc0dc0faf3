"""Owned slots: which slots this entry owns, by the roster and the limits as they change.

Who owns a slot is said in :mod:`coralfall.balancing.ownership`; when a new owner may begin to use
it, in :mod:`coralfall.balancing.handover`.
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

#: Targets worked through in one step of :meth:`OwnedSlots.steps`.
TARGETS_PER_STEP = 8
#: Stands for any member, until it is worked out which one blocks a slot.
_UNSETTLED = EntryId("")


class OwnedSlots:
    """Keeps the owned slots of some holdings in step with roster and limits.

    :param entry_id: this entry.
    :param holdings: the slots; those that are gained and lost are put in and taken out.
    :param clock: the entry's clock.
    :param lapse_s: seconds in which another entry's lease and its loans lapse.
    """

    def __init__(
        self, entry_id: EntryId, holdings: "SlotInventory", clock: "Clock", lapse_s: float
    ) -> None:
        self._entry_id = entry_id
        self._holdings = holdings
        self._clock = clock
        self._lapse_s = lapse_s
        #: What all entries together may do with each target.
        self.limits: "Limits" = {}
        self._handover = Handover(entry_id)
        self._others: t.Set[EntryId] = set()
        self._first = False
        self._changed_at = -INFINITY
        self._unscanned: t.Dict[TargetId, None] = {}
        self._owners = OwnerCounts(entry_id)

    def update(self, roster: "Roster", limits: "Limits") -> None:
        """Take in the roster and the limits; what is lost is given up before this returns."""
        if limits is not self.limits:
            self._take_limits(limits)
        if roster.revision != self._handover.revision:
            self._take_roster(roster)

    def apply_acks(self, acks: t.Iterable[Ack]) -> None:
        """Take in which rosters other members have applied."""
        self._settle(self._handover.apply_acks(acks))

    def update_steps(self) -> t.Iterator[None]:
        """Find what is gained, a few milliseconds a step, and then end."""
        while self._unscanned:
            for _ in range(min(TARGETS_PER_STEP, len(self._unscanned))):
                target_id, _ = self._unscanned.popitem()
                self._scan(target_id)
            yield

    @property
    def awaited_members(self) -> t.Collection[EntryId]:
        """Members whose acknowledgement is needed."""
        return self._handover.awaited_members.keys()

    @property
    def revision(self) -> Revision:
        """Of the roster that was taken in last."""
        return self._handover.revision

    def slots_by_owner(
        self, service: ServiceId, regions: t.Collection[RegionId]
    ) -> t.Dict[EntryId, int]:
        """How many slots of the service each other member owns; see :class:`OwnerCounts`."""
        return self._owners.of_service(service, regions, self.limits)

    def discard_lost(self, slot: Slot) -> None:
        """Forget a slot with nothing out on it any more, if it was lost."""
        if self._holdings.lost_by_key.get(slot.key) is not slot:
            return
        del self._holdings.lost_by_key[slot.key]
        if slot.target_id in self.limits:
            # It may be owned again, and have been passed over while it was out.
            self._unscanned[slot.target_id] = None

    def _take_limits(self, limits: "Limits") -> None:
        before = self.limits
        self.limits = limits
        self._holdings.clear_service_cache()
        for target_id, limit in limits.items():
            old = before.get(target_id)
            if old is limit:
                continue
            self._owners.forget(target_id)
            same_place = old is not None and old.service == limit.service
            same_place = same_place and old is not None and old.region == limit.region
            if not same_place:
                self._drop_from(target_id, 0)
            elif old is not None and limit.reserved < old.reserved:
                self._drop_from(target_id, limit.reserved)
            if old is None or not same_place or limit.reserved > old.reserved:
                self._unscanned[target_id] = None
        for target_id in before:
            if target_id not in limits:
                self._drop_from(target_id, 0)
                self._unscanned.pop(target_id, None)
                self._owners.forget(target_id)

    def _take_roster(self, roster: "Roster") -> None:
        now = self._clock.monotonic()
        lives, others = self._handover.join_count, self._others
        settled = self._handover.update(roster)
        self._changed_at = now
        for slot in list(self._holdings.lost_by_key.values()):
            if not slot.busy and slot.lent_until <= now:
                self.discard_lost(slot)
        incarnation = self._handover.incarnation
        self._others = {name for name in roster.by_id if name != self._entry_id}
        self._owners.set_others(self._others)
        if incarnation is None:
            self._drop_all()
            self._unscanned = {}
            return
        self._first = roster.only_ever(self._entry_id, incarnation)
        if self._handover.join_count != lives:
            self._drop_all()
            self._unscanned = dict.fromkeys(self.limits)
            return
        self._drop_lost_to(self._others - others)
        if others - self._others:
            self._unscanned = dict.fromkeys(self.limits)
        self._settle(settled)

    def _settle(self, settled: ResolvedMembers) -> None:
        """Rest the slots of members that were waited for, now that they are settled."""
        if not settled.acked and not settled.removed:
            return
        now = self._clock.monotonic()
        for target_id, owned in self._holdings.owned_by_target.items():
            for slot in owned.values():
                anyone = slot.blocker is _UNSETTLED
                if slot.blocker in settled.removed or (anyone and settled.removed):
                    slot.rests_from = max(slot.rests_from, now + self._lapse_s)
                elif slot.blocker in settled.acked or (anyone and settled.acked):
                    slot.rests_from = max(slot.rests_from, now + defaults.LOAN_TTL_S)
                else:
                    continue
                slot.blocker = _UNSETTLED
                self._unscanned[target_id] = None

    def _scan(self, target_id: TargetId) -> None:
        """Find the slots of a target that are gained, and who blocks those that are held."""
        limit = self.limits[target_id]
        if self._handover.incarnation is None:
            return
        for index in owned_indices(target_id, limit.reserved, self._entry_id, self._others):
            slot = self._holdings.owned_slot(target_id, index)
            slot = slot or self._gain(target_id, index, limit)
            if slot is not None and slot.blocker is _UNSETTLED:
                slot.blocker = self._handover.blocking_member(target_id, index)

    def _gain(self, target_id: TargetId, index: int, limit: "TargetLimit") -> t.Optional[Slot]:
        slot = self._holdings.lost_by_key.get((target_id, index))
        if slot is None:
            slot = Slot(target_id, index, limit)
        elif (slot.service, slot.region) != (limit.service, limit.region):
            return None
        if not self._first:
            slot.rests_from = self._changed_at + self._lapse_s
        slot.blocker = _UNSETTLED
        self._holdings.add_owned(slot)
        return slot

    def _drop_all(self) -> None:
        for target_id in list(self._holdings.owned_by_target):
            self._drop_from(target_id, 0)

    def _drop_lost_to(self, joined: t.Set[EntryId]) -> None:
        if not joined:
            return
        for target_id, owned in list(self._holdings.owned_by_target.items()):
            kept = retained_indices(target_id, owned, self._entry_id, joined)
            for index in set(owned).difference(kept):
                self._drop(target_id, index)

    def _drop_from(self, target_id: TargetId, reserved: int) -> None:
        for index in list(self._holdings.owned_by_target.get(target_id, ())):
            if index >= reserved:
                self._drop(target_id, index)

    def _drop(self, target_id: TargetId, index: int) -> None:
        slot = self._holdings.remove_owned(target_id, index)
        if slot.busy or slot.lent_until > self._clock.monotonic():
            self._holdings.lost_by_key[slot.key] = slot
