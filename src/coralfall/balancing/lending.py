"""Lending: owners lend idle slots for a short time to entries that need more than they own.

Ownership by hashing is uneven and demand more so: with few slots an entry may own none of a
service, and one that has just joined may not use its own yet.  A loan does not involve the
platform, so lending continues during platform outages.

Why no two entries use a lent slot at the same time
    The borrower dispatches into the slot until ``seconds`` after it *sent* its request.  The
    owner does not use it until ``seconds`` and the service's timeout after it *received* the
    request, which is later, and until the target was seen alive after that.  Each uses its own
    clock, and losing the answer changes nothing.
    A loan never outlasts the owner's lease, so to all other entries the borrower counts as the
    owner: see :mod:`coralfall.balancing.handover`.

The borrower's side is in :mod:`coralfall.balancing.borrowing`.
"""

import random
import typing as t

import msgspec

from .. import defaults
from ..ids import EntryId, RegionId, ServiceId
from ..peering.messages import LentSlot, LoanAnswer, LoanRequest, LoanReturn
from .slot import Slot
from .slots import SlotTable

if t.TYPE_CHECKING:
    from ..cluster.lease import Lease
    from ..process.clock import Clock


class _Loan(msgspec.Struct):
    borrower: EntryId
    #: Monotonic time from which the owner may use the slots again, returned or not.
    until: float
    slot_by_key: t.Dict[LentSlot, Slot]


class Lender:
    """The owner's side of loans.

    :param slots: slots of this entry.
    :param lease: lease of this entry; no loan outlasts it.
    :param clock: clock of this entry.
    :param rng: draws the first loan id, and spreads loans over targets.
    """

    def __init__(
        self, slots: SlotTable, lease: "Lease", clock: "Clock", rng: random.Random
    ) -> None:
        self._slots = slots
        self._lease = lease
        self._clock = clock
        self._rng = rng
        # A random start, so that a return meant for an earlier incarnation matches no loan of this
        # one.
        self._next_id = rng.getrandbits(48)
        self._loan_by_id: t.Dict[int, _Loan] = {}

    def lendable(self, service: ServiceId) -> int:
        """Returns the slots that may be lent now, as stated in heartbeats.

        Keeps as many as this entry itself wanted at once in the last seconds. They are lent all
        the same to a peer whose requests wait: this entry's own may never come, and if they do,
        it asks for the slots in turn.
        """
        reserve = max(0, self._slots.demand(service) - self._slots.in_use(service))
        return max(0, self._slots.idle(service) - reserve)

    def answer(self, borrower: EntryId, request: LoanRequest) -> LoanAnswer:
        """Grants as many slots as possible, perhaps none; to be called once a request is read."""
        loan_id = self._next_id
        seconds = min(defaults.LOAN_TTL_S, self._lease.remaining_s())
        granted = self._choose_slots(request) if seconds >= defaults.MIN_LOAN_TTL_S else []
        if not granted:
            return LoanAnswer(loan_id=loan_id, slots=(), seconds=0.0)
        self._next_id += 1
        self._remove_expired()
        loan = _Loan(borrower, float("inf"), {})
        for slot in granted:
            self._slots.lend(slot, seconds)
            loan.until = min(loan.until, slot.lent_until)
            loan.slot_by_key[LentSlot(slot.target_id, slot.index)] = slot
        self._loan_by_id[loan_id] = loan
        return LoanAnswer(loan_id=loan_id, slots=tuple(loan.slot_by_key), seconds=seconds)

    def accept_return(self, borrower: EntryId, message: LoanReturn) -> t.Set[ServiceId]:
        """Takes back slots that a borrower will not use again.

        A message that matches no loan is ignored, in particular one that arrives so late that its
        slots may have been lent again.

        :return: services that have more idle slots now.
        """
        services: t.Set[ServiceId] = set()
        self._remove_expired()
        loan = self._loan_by_id.get(message.loan_id)
        if loan is None or loan.borrower != borrower:
            return services
        for lent in message.slots:
            slot = loan.slot_by_key.pop(lent, None)
            if slot is not None:
                self._slots.reclaim(slot)
                services.add(slot.service)
        if not loan.slot_by_key:
            del self._loan_by_id[message.loan_id]
        return services

    def borrowers(
        self, service: ServiceId, regions: t.Collection[RegionId]
    ) -> t.Dict[EntryId, int]:
        """Returns the number of slots of a service that each peer has borrowed.

        :param regions: regions whose targets count; empty for any.
        """
        self._remove_expired()
        counts: t.Dict[EntryId, int] = {}
        for loan in self._loan_by_id.values():
            for slot in loan.slot_by_key.values():
                if slot.service != service or (regions and slot.region not in regions):
                    continue
                counts[loan.borrower] = counts.get(loan.borrower, 0) + 1
        return counts

    def lent_count(self) -> int:
        """Returns the number of slots on loan."""
        self._remove_expired()
        return sum(len(loan.slot_by_key) for loan in self._loan_by_id.values())

    def _choose_slots(self, request: LoanRequest) -> t.List[Slot]:
        count = request.count
        if not request.waiting:
            count = min(count, self.lendable(request.service))
        if count <= 0:
            return []
        idle = self._slots.idle_slots(request.service)
        if request.regions:
            idle = [slot for slot in idle if slot.region in request.regions]
        return self._rng.sample(idle, min(count, len(idle)))

    def _remove_expired(self) -> None:
        now = self._clock.monotonic()
        for loan_id, loan in list(self._loan_by_id.items()):
            if loan.until <= now:
                del self._loan_by_id[loan_id]
