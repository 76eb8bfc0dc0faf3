"""Slots: which units of the targets' capacity this entry may use now.

Which ones it owns is in :mod:`coralfall.balancing.owned_slots`; what requests and borrowers do with
them is here.
"""

import typing as t

from .. import defaults
from ..ids import EntryId, RegionId, Revision, ServiceId, TargetId
from .handover import Ack
from .owned_slots import OwnedSlots
from .slot import INFINITY, Slot, may_use
from .slot_inventory import SlotInventory
from .usage import SlotUsage

if t.TYPE_CHECKING:
    from ..cluster.lease import Lease
    from ..cluster.roster import Roster
    from ..peering.messages import LentSlot
    from ..process.clock import Clock
    from ..settings import LeaseSettings
    from .limits import Limits, TargetLimit


class SlotTable:
    """The slots that this entry owns or has borrowed, and the requests that hold them.

    :param entry_id: this entry.
    :param lease: checked before each use of an owned slot.
    :param clock: the entry's clock.
    :param settings: ``ttl_s`` is the time in which another entry's lease lapses.
    """

    def __init__(
        self, entry_id: EntryId, lease: "Lease", clock: "Clock", settings: "LeaseSettings"
    ) -> None:
        self._lease = lease
        self._clock = clock
        self._acknowledged = Revision(0)
        self._holdings = SlotInventory()
        self._usage = SlotUsage()
        # A loan ends before its owner's lease, or else after no more than its own time.
        lapse_s = max(settings.ttl_s, defaults.LOAN_TTL_S)
        self._owned_slots = OwnedSlots(entry_id, self._holdings, clock, lapse_s)

    # What the table is told.

    def update(self, roster: "Roster", limits: "Limits") -> None:
        """Take in the roster and the limits as they are now.

        Slots that are lost are given up at once, so that the lease may be renewed on this
        roster as soon as the call returns.  For those that are gained go on with
        :meth:`steps`.

        :param limits: of :class:`coralfall.balancing.limits.CapacityLimits`; not to be changed
            later.
        """
        self._owned_slots.update(roster, limits)

    def apply_acks(self, acks: t.Iterable[Ack]) -> None:
        """Take in which rosters other members have applied, from lease rows or heartbeats.

        Go on with :meth:`steps`.
        """
        self._owned_slots.apply_acks(acks)

    def update_steps(self) -> t.Iterator[None]:
        """Work through what is left to do, a few milliseconds a step, and then end.

        The loop may do other work in between; what comes in meanwhile is worked through too.
        """
        return self._owned_slots.update_steps()

    @property
    def awaited_members(self) -> t.Collection[EntryId]:
        """Members whose acknowledgement is needed; while there are any, read lease rows."""
        return self._owned_slots.awaited_members

    @property
    def acknowledged_revision(self) -> Revision:
        """What to state as applied in heartbeats and the lease row."""
        now = self._clock.monotonic()
        for slot in self._holdings.lost_by_key.values():
            limit = self._owned_slots.limits.get(slot.target_id)
            if limit is not None and slot.busy and slot.runs_until > now + limit.deadline_s:
                # The new owner expects no request to run for that long.
                return self._acknowledged
        self._acknowledged = self._owned_slots.revision
        return self._acknowledged

    # What requests ask of the table.

    def acquire(self, target_id: TargetId, below: t.Optional[int] = None) -> t.Optional[Slot]:
        """A slot of the target for one request, or ``None``; owned ones go first.

        :param below: use only slots with an index below this.
        """
        limit = self._owned_slots.limits.get(target_id)
        if limit is None:
            return None
        self._usage.record_demand(limit.service, self._clock.monotonic())
        for slot in self._free(target_id, below):
            self._hold(slot, limit)
            return slot
        return None

    def acquire_any(self, target_ids: t.Iterable[TargetId]) -> t.Optional[Slot]:
        """A slot of the first target that has a free one, or ``None``."""
        for target_id in target_ids:
            slot = self.acquire(target_id)
            if slot is not None:
                return slot
        return None

    def confirm(self, slot: Slot) -> bool:
        """Whether a held slot may still be dispatched into; ask just before bytes leave.

        The request must be over within the service's timeout from now.
        """
        now = self._clock.monotonic()
        limit = self._owned_slots.limits.get(slot.target_id)
        if limit is None or slot.index >= limit.usable:
            return False
        if slot.loan is None:
            owned = self._holdings.owned_slot(slot.target_id, slot.index)
            if owned is not slot or not self._lease.may_dispatch():
                return False
        slot.runs_until = now + limit.deadline_s
        return now < slot.valid_until

    def release(self, slot: Slot) -> None:
        """Give a held slot back when its request is over at the target."""
        if not slot.busy:
            return
        slot.busy = False
        slot.used_at = self._clock.monotonic()
        self._usage.end(slot)
        if slot.lent_until <= slot.used_at:
            self._owned_slots.discard_lost(slot)

    # What the table tells.

    def free(self, target_id: TargetId, below: t.Optional[int] = None) -> int:
        """Slots of the target that :meth:`acquire` could give now."""
        return sum(1 for _ in self._free(target_id, below))

    def free_by_target(self, service: ServiceId) -> t.Dict[TargetId, int]:
        """Targets of a service with slots that :meth:`acquire` could give now, and how many."""
        free_by_target: t.Dict[TargetId, int] = {}
        now = self._clock.monotonic()
        leased = self._lease.may_dispatch()
        for slot, limit in self._holdings.of_service(service, self._owned_slots.limits):
            if not slot.busy and may_use(slot, limit, limit.usable, now, leased):
                free_by_target[slot.target_id] = free_by_target.get(slot.target_id, 0) + 1
        return free_by_target

    def in_flight(self, target_id: TargetId) -> int:
        """Requests of this entry that hold a slot of the target."""
        return self._usage.in_flight(target_id)

    def owned(self, target_id: TargetId) -> int:
        """Slots of the target that this entry owns, in whatever state."""
        return len(self._holdings.owned_by_target.get(target_id, ()))

    def in_use(self, service: ServiceId) -> int:
        """Requests of this entry that hold a slot of the service."""
        return self._usage.in_use(service)

    def demand(self, service: ServiceId) -> int:
        """Most slots of the service that were wanted at once in the last seconds."""
        return self._usage.demand(service, self._clock.monotonic())

    def idle(self, service: ServiceId) -> int:
        """Owned slots of the service that could be used or lent now."""
        return len(self.idle_slots(service))

    def idle_slots(self, service: ServiceId) -> t.List[Slot]:
        """Owned slots of the service that could be used or lent now."""
        idle = []
        now = self._clock.monotonic()
        leased = self._lease.may_dispatch()
        for slot, limit in self._holdings.of_service(service, self._owned_slots.limits):
            if slot.busy or slot.loan is not None:
                continue
            if may_use(slot, limit, limit.usable, now, leased):
                idle.append(slot)
        return idle

    def busy_slots(self) -> t.List[Slot]:
        """Slots that requests of this entry hold, owned no longer or not."""
        slots = list(self._holdings.lost_by_key.values())
        for target_id in self._holdings.target_ids():
            slots += self._holdings.of_target(target_id)
        return [slot for slot in slots if slot.busy]

    def held_by_region(self) -> t.Dict[RegionId, int]:
        """Slots by region that this entry may use now or is using."""
        now = self._clock.monotonic()
        leased = self._lease.may_dispatch()
        held: t.Dict[RegionId, int] = {}
        for target_id in self._holdings.target_ids():
            limit = self._owned_slots.limits.get(target_id)
            if limit is None:
                continue
            for slot in self._holdings.of_target(target_id):
                if slot.busy or may_use(slot, limit, limit.usable, now, leased):
                    held[slot.region] = held.get(slot.region, 0) + 1
        return held

    # Lending; see coralfall.balancing.lending.

    def slots_by_owner(
        self, service: ServiceId, regions: t.Collection[RegionId]
    ) -> t.Dict[EntryId, int]:
        """How many slots of the service each other member owns, by the roster known here.

        In a large fleet a call works out some targets only, and further calls the others.

        :param regions: regions whose targets count; empty for any.
        """
        return self._owned_slots.slots_by_owner(service, regions)

    def lend(self, slot: Slot, seconds: float) -> None:
        """Leave an idle slot to a borrower who may dispatch for ``seconds`` from now."""
        timeout_s = self._owned_slots.limits[slot.target_id].timeout_s
        until = self._clock.monotonic() + seconds + timeout_s + defaults.HANDOVER_MARGIN_S
        slot.lent_until = until

    def reclaim(self, slot: Slot) -> None:
        """Use a lent slot again: the borrower has nothing on it and will not use it."""
        slot.lent_until = -INFINITY
        if not slot.busy:
            self._owned_slots.discard_lost(slot)

    def add_borrowed(
        self, lent: "LentSlot", loan: t.Tuple[EntryId, int], valid_until: float
    ) -> t.Optional[Slot]:
        """Take in a borrowed slot; ``None`` if the limits known here do not allow it.

        :param loan: lender and number of the loan.
        :param valid_until: monotonic time after which it may not be dispatched into.
        """
        limit = self._owned_slots.limits.get(lent.target)
        if limit is None or lent.index >= limit.usable:
            return None
        slot = Slot(lent.target, lent.index, limit)
        slot.loan = loan
        slot.valid_until = valid_until
        slot.used_at = self._clock.monotonic()
        self._holdings.add_borrowed(slot)
        return slot

    def remove_borrowed(self, slot: Slot) -> None:
        """Forget a borrowed slot that no request holds."""
        self._holdings.remove_borrowed(slot)

    # Looking for slots.

    def _free(self, target_id: TargetId, below: t.Optional[int]) -> t.Iterator[Slot]:
        limit = self._owned_slots.limits.get(target_id)
        if limit is None:
            return
        ceiling = limit.usable if below is None else min(limit.usable, below)
        now = self._clock.monotonic()
        leased = self._lease.may_dispatch()
        for slot in self._holdings.of_target(target_id):
            if not slot.busy and may_use(slot, limit, ceiling, now, leased):
                yield slot

    def _hold(self, slot: Slot, limit: "TargetLimit") -> None:
        now = self._clock.monotonic()
        slot.busy = True
        slot.used_at = now
        slot.runs_until = now + limit.deadline_s
        self._usage.begin(slot)
