"""The slots that this entry may use now, and the requests and loans that hold them.

Which slots the entry owns is decided in :mod:`coralfall.balancing.owned_slots`.
"""

import typing as t

from .. import defaults
from ..ids import EntryId, RegionId, Revision, ServiceId, TargetId
from .handover import Ack
from .owned_slots import OwnedSlots
from .slot import INFINITY, Slot, SlotState, may_use, needs_proof, state_of
from .slot_inventory import SlotInventory
from .usage import SlotUsage

if t.TYPE_CHECKING:
    from ..cluster.lease import Lease, LeaseState
    from ..cluster.roster import Roster
    from ..peering.messages import LentSlot
    from ..process.clock import Clock
    from ..settings import LeaseSettings
    from .limits import Limits, TargetLimit


class SlotTable:
    """The slots that this entry owns or has borrowed, and the requests that hold them.

    :param entry_id: id of this entry.
    :param lease: checked before each use of an owned slot.
    :param clock: clock of this entry.
    :param settings: ``ttl_s`` is the time after which another entry's lease has expired.
    """

    def __init__(
        self, entry_id: EntryId, lease: "Lease", clock: "Clock", settings: "LeaseSettings"
    ) -> None:
        self._lease = lease
        self._clock = clock
        self._acknowledged_revision = Revision(0)
        self._inventory = SlotInventory()
        self._usage = SlotUsage()
        # A loan ends before its owner's lease, or at the latest after its own duration.
        expiry_s = max(settings.ttl_s, defaults.LOAN_TTL_S)
        self._owned_slots = OwnedSlots(entry_id, self._inventory, clock, expiry_s)

    # Updates.

    def update(self, roster: "Roster", limits: "Limits") -> None:
        """Applies the current roster and limits.

        Lost slots are removed at once, so that the lease may be renewed on this roster as soon as
        the call returns.  For gained ones, continue with :meth:`update_steps`.

        :param limits: result of :class:`coralfall.balancing.limits.CapacityLimits`; must not be
            changed later.
        """
        self._owned_slots.update(roster, limits)

    def apply_acks(self, acks: t.Iterable[Ack]) -> None:
        """Applies acknowledgements of rosters by other members, from lease rows or heartbeats.

        Continue with :meth:`update_steps`.
        """
        self._owned_slots.apply_acks(acks)

    def update_steps(self) -> t.Iterator[None]:
        """Does the remaining work of updates, yielding every few milliseconds until done.

        The event loop may do other work in between; updates that arrive meanwhile are included.
        """
        return self._owned_slots.update_steps()

    @property
    def awaited_members(self) -> t.Collection[EntryId]:
        """Members whose acknowledgement is awaited; while there are any, read their lease rows."""
        return self._owned_slots.awaited_members

    @property
    def acknowledged_revision(self) -> Revision:
        """Revision to acknowledge in heartbeats and in the lease row."""
        now = self._clock.monotonic()
        for slot in self._inventory.lost_by_key.values():
            limit = self._owned_slots.limits.get(slot.target_id)
            if limit is not None and slot.busy and slot.runs_until > now + limit.deadline_s:
                # The new owner assumes that no request runs that long.
                return self._acknowledged_revision
        self._acknowledged_revision = self._owned_slots.revision
        return self._acknowledged_revision

    # Requests.

    def acquire(self, target_id: TargetId, below: t.Optional[int] = None) -> t.Optional[Slot]:
        """Returns a slot of the target for one request, or ``None``; owned ones come first.

        :param below: use only slots with an index below this.
        """
        limit = self._owned_slots.limits.get(target_id)
        if limit is None:
            return None
        self._usage.record_demand(limit.service, self._clock.monotonic())
        for slot in self._iter_free(target_id, below):
            self._hold(slot, limit)
            return slot
        return None

    def acquire_any(self, target_ids: t.Iterable[TargetId]) -> t.Optional[Slot]:
        """Returns a slot of the first target that has a free one, or ``None``."""
        for target_id in target_ids:
            slot = self.acquire(target_id)
            if slot is not None:
                return slot
        return None

    def confirm(self, slot: Slot) -> bool:
        """Returns whether a held slot may still be dispatched into; call it just before sending.

        The request must be over within the service's timeout from now.
        """
        now = self._clock.monotonic()
        limit = self._owned_slots.limits.get(slot.target_id)
        if limit is None or slot.index >= limit.usable:
            return False
        if slot.loan is None:
            owned = self._inventory.owned_slot(slot.target_id, slot.index)
            if owned is not slot or not self._lease.may_dispatch():
                return False
        slot.runs_until = now + limit.deadline_s
        return now < slot.valid_until

    def release(self, slot: Slot) -> None:
        """Releases a held slot once its request is over on the target."""
        if not slot.busy:
            return
        slot.busy = False
        slot.used_at = self._clock.monotonic()
        self._usage.end(slot)
        if slot.lent_until <= slot.used_at:
            self._owned_slots.discard_lost(slot)

    # Signs of life of targets, without which slots that others may have used stay unused.

    def record_life(self, target_id: TargetId, sent_at: float) -> None:
        """Records that a target is alive, or that its process is gone.

        :param sent_at: monotonic time at which the message was sent that shows it.
        """
        life = self._inventory.life_of(target_id)
        life.proved_at = max(life.proved_at, sent_at)

    def proved_at(self, target_id: TargetId) -> float:
        """Returns the monotonic time of the latest message that a target has answered."""
        return self._inventory.life_of(target_id).proved_at

    def unproved_targets(self) -> t.List[TargetId]:
        """Returns the targets of slots that lack nothing but a sign of life."""
        now = self._clock.monotonic()
        found = []
        for target_id, owned in self._inventory.owned_by_target.items():
            limit = self._owned_slots.limits.get(target_id)
            if limit is None:
                continue
            if any(needs_proof(slot, limit, now) for slot in owned.values()):
                found.append(target_id)
        return found

    # Queries.

    def free(self, target_id: TargetId, below: t.Optional[int] = None) -> int:
        """Returns the number of slots of the target that :meth:`acquire` could return now."""
        return sum(1 for _ in self._iter_free(target_id, below))

    def free_by_target(self, service: ServiceId) -> t.Dict[TargetId, int]:
        """Returns the number of free slots of each target of a service that has any."""
        free_by_target: t.Dict[TargetId, int] = {}
        now = self._clock.monotonic()
        leased = self._lease.may_dispatch()
        for slot, limit in self._inventory.of_service(service, self._owned_slots.limits):
            if not slot.busy and may_use(slot, limit, limit.usable, now, leased):
                free_by_target[slot.target_id] = free_by_target.get(slot.target_id, 0) + 1
        return free_by_target

    def in_flight(self, target_id: TargetId) -> int:
        """Returns the number of this entry's requests that hold a slot of the target."""
        return self._usage.in_flight(target_id)

    def owned(self, target_id: TargetId) -> int:
        """Returns the number of slots of the target that this entry owns, usable or not."""
        return len(self._inventory.owned_by_target.get(target_id, ()))

    def in_use(self, service: ServiceId) -> int:
        """Returns the number of this entry's requests that hold a slot of the service."""
        return self._usage.in_use(service)

    def demand(self, service: ServiceId) -> int:
        """Returns the most slots of the service that were wanted at once in the last seconds."""
        return self._usage.demand(service, self._clock.monotonic())

    def idle(self, service: ServiceId) -> int:
        """Returns the number of owned slots of the service that could be used or lent now."""
        return len(self.idle_slots(service))

    def idle_slots(self, service: ServiceId) -> t.List[Slot]:
        """Returns the owned slots of the service that could be used or lent now."""
        idle = []
        now = self._clock.monotonic()
        leased = self._lease.may_dispatch()
        for slot, limit in self._inventory.of_service(service, self._owned_slots.limits):
            if slot.busy or slot.loan is not None:
                continue
            if may_use(slot, limit, limit.usable, now, leased):
                idle.append(slot)
        return idle

    def busy_slots(self) -> t.List[Slot]:
        """Returns the slots that requests of this entry hold, including slots it no longer owns."""
        slots = list(self._inventory.lost_by_key.values())
        for target_id in self._inventory.target_ids():
            slots += self._inventory.of_target(target_id)
        return [slot for slot in slots if slot.busy]

    def held_by_region(self) -> t.Dict[RegionId, int]:
        """Returns the number of slots by region that this entry may use now or is using."""
        now = self._clock.monotonic()
        leased = self._lease.may_dispatch()
        held: t.Dict[RegionId, int] = {}
        for target_id in self._inventory.target_ids():
            limit = self._owned_slots.limits.get(target_id)
            if limit is None:
                continue
            for slot in self._inventory.of_target(target_id):
                if slot.busy or may_use(slot, limit, limit.usable, now, leased):
                    held[slot.region] = held.get(slot.region, 0) + 1
        return held

    def states(self, service: ServiceId) -> t.Dict[SlotState, int]:
        """Returns the number of owned and borrowed slots of a service by state."""
        counts: t.Dict[SlotState, int] = {}
        now = self._clock.monotonic()
        leased = self._lease.may_dispatch()
        for slot, limit in self._inventory.of_service(service, self._owned_slots.limits):
            state = state_of(slot, limit, now, leased)
            counts[state] = counts.get(state, 0) + 1
        return counts

    def lease_state(self) -> "LeaseState":
        """Returns the state of the lease by which owned slots are used."""
        return self._lease.state()

    def describe(self, slot: Slot) -> str:
        """Returns the slot, lease, roster and loan by which a request is sent now."""
        lease = self._lease
        parts = [
            f"entry={self._owned_slots.entry_id}",
            f"slot={slot.target_id}/{slot.index}",
            f"lease={lease.state().value}",
            f"lease_s={lease.remaining_s():.3f}",
            f"roster={self._owned_slots.revision}",
            f"acknowledged={self._acknowledged_revision}",
        ]
        if slot.loan is not None:
            lender, loan_id = slot.loan
            loan_s = slot.valid_until - self._clock.monotonic()
            parts.append(f"loan={lender}/{loan_id} loan_s={loan_s:.3f}")
        return " ".join(parts)

    # Lending; see :mod:`coralfall.balancing.lending`.

    def slots_by_owner(
        self, service: ServiceId, regions: t.Collection[RegionId]
    ) -> t.Dict[EntryId, int]:
        """Returns how many slots of the service each other member owns, by this entry's roster.

        In a large fleet a call computes only some targets, and later calls the others.

        :param regions: regions whose targets count; empty for any.
        """
        return self._owned_slots.slots_by_owner(service, regions)

    def lend(self, slot: Slot, seconds: float) -> None:
        """Lends an idle slot to a borrower that may dispatch for ``seconds`` from now."""
        timeout_s = self._owned_slots.limits[slot.target_id].timeout_s
        until = self._clock.monotonic() + seconds + timeout_s + defaults.HANDOVER_MARGIN_S
        slot.lent_until = until

    def reclaim(self, slot: Slot) -> None:
        """Reclaims a lent slot that the borrower has no request on and will not use again."""
        slot.lent_until = -INFINITY
        if not slot.busy:
            self._owned_slots.discard_lost(slot)

    def add_borrowed(
        self, lent: "LentSlot", loan: t.Tuple[EntryId, int], valid_until: float
    ) -> t.Optional[Slot]:
        """Adds a borrowed slot, or returns ``None`` if the limits known here do not allow it.

        :param loan: lender and loan id.
        :param valid_until: monotonic time after which the slot must not be dispatched into.
        """
        limit = self._owned_slots.limits.get(lent.target)
        if limit is None or lent.index >= limit.usable:
            return None
        slot = Slot(lent.target, lent.index, limit)
        slot.loan = loan
        slot.valid_until = valid_until
        slot.used_at = self._clock.monotonic()
        self._inventory.add_borrowed(slot)
        return slot

    def remove_borrowed(self, slot: Slot) -> None:
        """Removes a borrowed slot that no request holds."""
        self._inventory.remove_borrowed(slot)

    # Helpers.

    def _iter_free(self, target_id: TargetId, below: t.Optional[int]) -> t.Iterator[Slot]:
        limit = self._owned_slots.limits.get(target_id)
        if limit is None:
            return
        ceiling = limit.usable if below is None else min(limit.usable, below)
        now = self._clock.monotonic()
        leased = self._lease.may_dispatch()
        for slot in self._inventory.of_target(target_id):
            if not slot.busy and may_use(slot, limit, ceiling, now, leased):
                yield slot

    def _hold(self, slot: Slot, limit: "TargetLimit") -> None:
        now = self._clock.monotonic()
        slot.busy = True
        slot.used_at = now
        slot.runs_until = now + limit.deadline_s
        self._usage.begin(slot)
