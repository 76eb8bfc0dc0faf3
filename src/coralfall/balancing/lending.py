"""Lending: idle slots go for a short time to entries that need more than they own.

Ownership is uneven and demand is more so: with few slots an entry may own none of a service,
and one that has just joined may not use its own yet.  A loan needs no platform, so lending
goes on during its outages.

Why no two entries use a lent slot at once
    The borrower dispatches into it until ``seconds`` after it *sent* its request, the owner
    leaves it alone until ``seconds`` and the service's timeout after it *received* the
    request, which is later.  Both count on their own clocks, whatever happened to the answer.
    The owner grants no longer than its lease counts, so that to everyone else the borrower is
    as good as the owner: see :mod:`coralfall.balancing.handover`.
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

#: Seconds after which a peer's word on its idle slots is no longer relied on.
IDLE_MEMORY_S = 5.0
#: Lenders that are picked at random, the one with most idle slots among them is asked.
_PICKS = 2


class _Loan(msgspec.Struct):
    borrower: EntryId
    #: When the owner may use its slots again, returned or not.
    until: float
    slot_by_key: t.Dict[LentSlot, Slot]


class Lender:
    """The owner's side of loans.

    :param slots: the entry's slots.
    :param lease: nothing is lent beyond it.
    :param clock: the entry's clock.
    :param rng: numbers the loans, and spreads them over targets.
    """

    def __init__(
        self, slots: SlotTable, lease: "Lease", clock: "Clock", rng: random.Random
    ) -> None:
        self._slots = slots
        self._lease = lease
        self._clock = clock
        self._rng = rng
        # Returns for an earlier life of this entry must not fit a loan of this one.
        self._next_id = rng.getrandbits(48)
        self._loan_by_id: t.Dict[int, _Loan] = {}

    def lendable(self, service: ServiceId) -> int:
        """Slots that may be lent now, to be stated in heartbeats.

        What the entry itself wanted at once in the last seconds is kept.
        """
        reserve = max(0, self._slots.demand(service) - self._slots.in_use(service))
        return max(0, self._slots.idle(service) - reserve)

    def answer(self, borrower: EntryId, request: LoanRequest) -> LoanAnswer:
        """Grant what can be granted, perhaps nothing; call it as soon as a request is read."""
        loan_id = self._next_id
        seconds = min(defaults.LOAN_TTL_S, self._lease.remaining_s())
        granted = self._choose(request) if seconds >= defaults.MIN_LOAN_TTL_S else []
        if not granted:
            return LoanAnswer(loan_id=loan_id, slots=(), seconds=0.0)
        self._next_id += 1
        self._forget_expired()
        loan = _Loan(borrower, float("inf"), {})
        for slot in granted:
            self._slots.lend(slot, seconds)
            loan.until = min(loan.until, slot.lent_until)
            loan.slot_by_key[LentSlot(slot.target_id, slot.index)] = slot
        self._loan_by_id[loan_id] = loan
        return LoanAnswer(loan_id=loan_id, slots=tuple(loan.slot_by_key), seconds=seconds)

    def accept_return(self, borrower: EntryId, message: LoanReturn) -> t.Set[ServiceId]:
        """Take back what a borrower will not use again.

        A message that fits no loan is void, above all one that comes so late that its slots
        may have been lent again.

        :return: services that have more idle slots now.
        """
        services: t.Set[ServiceId] = set()
        self._forget_expired()
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

    def lent_count(self) -> int:
        """Slots that are out on loan."""
        self._forget_expired()
        return sum(len(loan.slot_by_key) for loan in self._loan_by_id.values())

    def _choose(self, request: LoanRequest) -> t.List[Slot]:
        count = min(request.count, self.lendable(request.service))
        if count <= 0:
            return []
        idle = self._slots.idle_slots(request.service)
        if request.regions:
            idle = [slot for slot in idle if slot.region in request.regions]
        return self._rng.sample(idle, min(count, len(idle)))

    def _forget_expired(self) -> None:
        now = self._clock.monotonic()
        for loan_id, loan in list(self._loan_by_id.items()):
            if loan.until <= now:
                del self._loan_by_id[loan_id]


class PendingLoanRequest(msgspec.Struct, frozen=True, eq=False):
    """A request for a loan that is out."""

    peer: EntryId
    request: LoanRequest
    #: Monotonic time at which it was made; it is sent no earlier.
    sent_at: float


class OutgoingReturn(msgspec.Struct, frozen=True):
    """A message that gives slots back, and whom to send it to."""

    peer: EntryId
    message: LoanReturn


class _Refusal(msgspec.Struct):
    """What is remembered of an owner that had nothing to lend."""

    #: When it may be asked again, and how long it was left alone before.
    until: float
    wait_s: float


class _Idle(msgspec.Struct):
    """What a peer said that it could lend."""

    heard_at: float
    count_by_service: t.Dict[ServiceId, int]


class Borrower:
    """The borrower's side of loans: whom to ask, and when to give back.

    :param slots: takes in the borrowed slots.
    :param clock: the entry's clock.
    :param rng: picks among several lenders, so that not all borrowers ask the same one.
    """

    def __init__(self, slots: SlotTable, clock: "Clock", rng: random.Random) -> None:
        self._slots = slots
        self._clock = clock
        self._rng = rng
        self._idle_by_peer: t.Dict[EntryId, _Idle] = {}
        self._asks_by_service: t.Dict[ServiceId, t.List[PendingLoanRequest]] = {}
        self._refusals: t.Dict[t.Tuple[EntryId, ServiceId], _Refusal] = {}
        self._borrowed: t.List[Slot] = []

    def record_heartbeat(self, peer: EntryId, idle: t.Mapping[ServiceId, int]) -> None:
        """Take in a peer's heartbeat."""
        self._idle_by_peer[peer] = _Idle(self._clock.monotonic(), dict(idle))

    def forget_peer(self, peer: EntryId) -> None:
        """Stop asking a peer that is gone."""
        self._idle_by_peer.pop(peer, None)

    def create_request(
        self, service: ServiceId, count: int, regions: t.Sequence[RegionId] = ()
    ) -> t.Optional[PendingLoanRequest]:
        """Make a request for a loan, or ``None`` if there is no one to ask.

        Send it at once and call :meth:`answered` or :meth:`failed` with it.

        :param count: slots wanted beyond those free now.
        :param regions: regions whose targets are of use; empty for any.
        """
        asks = self._asks_by_service.setdefault(service, [])
        for ask in asks:
            count -= ask.request.count
        if count <= 0 or len(asks) >= defaults.MAX_LOAN_REQUESTS:
            return None
        peer = self._choose(service, regions)
        if peer is None:
            return None
        known = self._idle_by_peer.get(peer)
        if known is not None and known.count_by_service.get(service):
            count = min(count, known.count_by_service[service])
            # Until the next heartbeat, do not count on what was asked for already.
            known.count_by_service[service] -= count
        request = LoanRequest(service=service, count=count, regions=tuple(regions))
        ask = PendingLoanRequest(peer, request, self._clock.monotonic())
        asks.append(ask)
        return ask

    def accept_answer(self, ask: PendingLoanRequest, answer: LoanAnswer) -> t.List[OutgoingReturn]:
        """Take in the answer to a request.

        :return: slots to give back at once: the answer came too late, or a limit that is
            known here does not allow them.
        """
        self.discard_request(ask)
        self._note_refusal(ask, answer)
        valid_until = ask.sent_at + answer.seconds
        unusable = []
        for lent in answer.slots:
            slot = None
            if self._clock.monotonic() < valid_until:
                slot = self._slots.add_borrowed(lent, (ask.peer, answer.loan_id), valid_until)
            if slot is None:
                unusable.append(lent)
                continue
            self._borrowed.append(slot)
        if not unusable:
            return []
        return [OutgoingReturn(ask.peer, LoanReturn(loan_id=answer.loan_id, slots=tuple(unusable)))]

    def discard_request(self, ask: PendingLoanRequest) -> None:
        """Take in that no answer will come."""
        asks = self._asks_by_service.get(ask.request.service, [])
        if ask in asks:
            asks.remove(ask)

    def due_returns(self) -> t.List[OutgoingReturn]:
        """Give back what has expired or lies idle; call it several times a second.

        What a request holds stays until the request is over, even beyond the loan's time.
        """
        now = self._clock.monotonic()
        due: t.Dict[t.Tuple[EntryId, int], t.List[LentSlot]] = {}
        kept = []
        for slot in self._borrowed:
            unused = now - slot.used_at >= defaults.LOAN_IDLE_TIMEOUT_S
            if slot.busy or not (unused or now >= slot.valid_until):
                kept.append(slot)
                continue
            assert slot.loan is not None
            self._slots.remove_borrowed(slot)
            due.setdefault(slot.loan, []).append(LentSlot(slot.target_id, slot.index))
        self._borrowed = kept
        returns = []
        for (peer, loan_id), lent in due.items():
            returns.append(OutgoingReturn(peer, LoanReturn(loan_id=loan_id, slots=tuple(lent))))
        return returns

    def borrowed_count(self) -> int:
        """Slots that are borrowed, whether in use or not."""
        return len(self._borrowed)

    def _note_refusal(self, ask: PendingLoanRequest, answer: LoanAnswer) -> None:
        key = (ask.peer, ask.request.service)
        if answer.slots:
            self._refusals.pop(key, None)
            return
        wait_s = defaults.LOAN_BACKOFF_S
        before = self._refusals.get(key)
        if before is not None:
            wait_s = min(2 * before.wait_s, defaults.MAX_LOAN_BACKOFF_S)
        self._refusals[key] = _Refusal(self._clock.monotonic() + wait_s, wait_s)

    def _choose(self, service: ServiceId, regions: t.Sequence[RegionId]) -> t.Optional[EntryId]:
        """An owner that may have something to lend, those first that said so."""
        owned = self._slots.slots_by_owner(service, regions)
        asked = {ask.peer for ask in self._asks_by_service.get(service, [])}
        now = self._clock.monotonic()
        chances: t.Dict[EntryId, int] = {}
        idle_by_peer = self._idle(service)
        for peer in owned or idle_by_peer:
            refusal = self._refusals.get((peer, service))
            if peer in asked and peer not in idle_by_peer:
                continue
            if refusal is not None and now < refusal.until:
                continue
            chances[peer] = idle_by_peer.get(peer, 0)
        peers = [peer for peer, idle in chances.items() if idle > 0]
        if peers:
            picked = self._rng.sample(peers, min(_PICKS, len(peers)))
            return max(picked, key=chances.__getitem__)
        if not chances:
            return None
        weights = [owned[peer] for peer in chances]
        return self._rng.choices(list(chances), weights)[0]

    def _idle(self, service: ServiceId) -> t.Dict[EntryId, int]:
        """Slots that peers said they could lend, lately."""
        recent = self._clock.monotonic() - IDLE_MEMORY_S
        counts: t.Dict[EntryId, int] = {}
        for peer, idle in self._idle_by_peer.items():
            count = idle.count_by_service.get(service, 0)
            if idle.heard_at >= recent and count > 0:
                counts[peer] = count
        return counts
