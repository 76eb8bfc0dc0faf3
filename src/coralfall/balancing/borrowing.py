"""Borrowing: an entry that lacks slots asks owners for some, and returns those it leaves idle.

The owner's side, and why a lent slot is never used by two entries, is in
:mod:`coralfall.balancing.lending`.
"""

import collections
import random
import typing as t

import msgspec

from .. import defaults
from ..ids import EntryId, RegionId, ServiceId
from ..peering.messages import LentSlot, LoanAnswer, LoanRequest, LoanReturn
from .slot import Slot
from .slots import SlotTable

if t.TYPE_CHECKING:
    from ..process.clock import Clock

#: Seconds for which a peer's count of idle slots is used.
MAX_IDLE_AGE_S = 5.0
#: Latest replies to loan requests of a service that :meth:`Borrower.describe` tells of.
_DESCRIBED_REPLIES = 4
#: Number of lenders picked at random; of these the one with the most idle slots is asked.
_LENDER_SAMPLE_SIZE = 2
_NO_BORROWERS: t.Mapping[EntryId, int] = {}


class PendingLoanRequest(msgspec.Struct, frozen=True, eq=False):
    """A loan request that awaits its answer."""

    peer: EntryId
    request: LoanRequest
    #: Monotonic time at which it was created; it is sent no earlier.
    sent_at: float


class OutgoingReturn(msgspec.Struct, frozen=True):
    """A message that returns slots, and its recipient."""

    peer: EntryId
    message: LoanReturn


class _Refusal(msgspec.Struct):
    """State of an owner that had nothing to lend."""

    #: Monotonic time from which it may be asked again, and the length of that wait.
    until: float
    wait_s: float


class _Reply(t.NamedTuple):
    """How a loan request ended."""

    peer: EntryId
    #: Slots that were granted; ``None`` if no answer came.
    slots: t.Optional[int]
    #: Monotonic time at which it ended, and the seconds that it took.
    ended_at: float
    seconds: float


class _IdleSlots(msgspec.Struct):
    """Idle slots that a peer stated in its heartbeat."""

    heard_at: float
    count_by_service: t.Dict[ServiceId, int]


class Borrower:
    """The borrower's side of loans: chooses whom to ask, and when to return slots.

    :param slots: slots of this entry, to which borrowed ones are added.
    :param clock: clock of this entry.
    :param rng: picks among several lenders, so that not all borrowers ask the same one.
    """

    def __init__(self, slots: SlotTable, clock: "Clock", rng: random.Random) -> None:
        self._slots = slots
        self._clock = clock
        self._rng = rng
        self._idle_by_peer: t.Dict[EntryId, _IdleSlots] = {}
        self._pending_by_service: t.Dict[ServiceId, t.List[PendingLoanRequest]] = {}
        # A peer that kept its reserve from a request made ahead may lend to one that waits.
        self._refusals: t.Dict[t.Tuple[EntryId, ServiceId], _Refusal] = {}
        self._refusals_ahead: t.Dict[t.Tuple[EntryId, ServiceId], _Refusal] = {}
        self._borrowed: t.List[Slot] = []
        self._replies_by_service: t.Dict[ServiceId, t.Deque[_Reply]] = {}

    def record_heartbeat(self, peer: EntryId, idle: t.Mapping[ServiceId, int]) -> None:
        """Records the idle slots of a peer's heartbeat."""
        self._idle_by_peer[peer] = _IdleSlots(self._clock.monotonic(), dict(idle))

    def forget_peer(self, peer: EntryId) -> None:
        """Removes a peer that is gone."""
        self._idle_by_peer.pop(peer, None)

    def create_request(
        self,
        service: ServiceId,
        count: int,
        regions: t.Sequence[RegionId] = (),
        waiting: bool = False,
        borrowers: t.Mapping[EntryId, int] = _NO_BORROWERS,
    ) -> t.Optional[PendingLoanRequest]:
        """Creates a loan request, or returns ``None`` if there is no peer to ask.

        The caller sends it at once and then calls :meth:`accept_answer` or :meth:`discard_request`.

        :param count: slots wanted beyond those free now.
        :param regions: regions whose targets are usable; empty for any.
        :param waiting: whether requests of callers wait for the slots.
        :param borrowers: peers that have borrowed such slots from this entry, and how many; they
            give back what lies idle.
        """
        pending = self._pending_by_service.setdefault(service, [])
        for pending_request in pending:
            if not pending_request.request.recall:
                count -= pending_request.request.count
        if count <= 0 or len(pending) >= defaults.MAX_LOAN_REQUESTS:
            return None
        peer = self._choose_peer(service, regions, waiting, borrowers)
        if peer is None:
            return None
        known = self._idle_by_peer.get(peer)
        if known is not None and known.count_by_service.get(service):
            count = min(count, known.count_by_service[service])
            # Until the next heartbeat, slots that were requested already do not count as idle.
            known.count_by_service[service] -= count
        request = LoanRequest(service=service, count=count, regions=tuple(regions), waiting=waiting)
        pending_request = PendingLoanRequest(peer, request, self._clock.monotonic())
        pending.append(pending_request)
        return pending_request

    def create_recall(
        self,
        service: ServiceId,
        count: int,
        regions: t.Sequence[RegionId],
        borrowers: t.Mapping[EntryId, int],
    ) -> t.Optional[PendingLoanRequest]:
        """Creates a request for slots that this entry lent, or returns ``None`` if there are none.

        :param borrowers: peers that may be asked, and how many slots each has borrowed.
        """
        pending = self._pending_by_service.setdefault(service, [])
        if len(pending) >= defaults.MAX_LOAN_REQUESTS:
            return None
        peer = self._draw(self._askable(borrowers, service, True), borrowers)
        if peer is None:
            return None
        request = LoanRequest(
            service=service, count=count, regions=tuple(regions), waiting=True, recall=True
        )
        pending_request = PendingLoanRequest(peer, request, self._clock.monotonic())
        pending.append(pending_request)
        return pending_request

    def accept_answer(
        self, pending_request: PendingLoanRequest, answer: LoanAnswer
    ) -> t.List[OutgoingReturn]:
        """Adds the slots of an answer.

        :return: slots to return at once, because the answer came too late or a limit known to this
            entry does not allow them.
        """
        self._end_request(pending_request, len(answer.slots))
        self._record_refusal(pending_request, answer)
        valid_until = pending_request.sent_at + answer.seconds
        rejected = []
        for lent in answer.slots:
            slot = None
            if self._clock.monotonic() < valid_until:
                slot = self._slots.add_borrowed(
                    lent, (pending_request.peer, answer.loan_id), valid_until
                )
            if slot is None:
                rejected.append(lent)
                continue
            self._borrowed.append(slot)
        if not rejected:
            return []
        return [
            OutgoingReturn(
                pending_request.peer, LoanReturn(loan_id=answer.loan_id, slots=tuple(rejected))
            )
        ]

    def discard_request(self, pending_request: PendingLoanRequest) -> None:
        """Removes a request that gets no answer."""
        self._end_request(pending_request, None)

    def forget_refusals(self, peer: EntryId, service: ServiceId) -> None:
        """Removes the backoff of a peer that has slots to give back from now on."""
        self._refusals.pop((peer, service), None)
        self._refusals_ahead.pop((peer, service), None)

    def _end_request(self, pending_request: PendingLoanRequest, slots: t.Optional[int]) -> None:
        service = pending_request.request.service
        now = self._clock.monotonic()
        reply = _Reply(pending_request.peer, slots, now, now - pending_request.sent_at)
        replies = self._replies_by_service.setdefault(
            service, collections.deque(maxlen=_DESCRIBED_REPLIES)
        )
        replies.append(reply)
        pending = self._pending_by_service.get(pending_request.request.service, [])
        if pending_request in pending:
            pending.remove(pending_request)

    def due_returns(self) -> t.List[OutgoingReturn]:
        """Returns messages that give back expired and idle slots; call it several times a second.

        A slot that a request holds stays until the request is over, even beyond the end of the
        loan.
        """
        now = self._clock.monotonic()
        due = []
        for slot in self._borrowed:
            unused = now - slot.used_at >= defaults.LOAN_IDLE_TIMEOUT_S
            if not slot.busy and (unused or now >= slot.valid_until):
                due.append(slot)
        return self._give_back(due)

    def idle_returns(
        self, request: LoanRequest, lender: t.Optional[EntryId] = None
    ) -> t.List[OutgoingReturn]:
        """Returns messages that give back the slots that lie idle here and are wanted elsewhere.

        :param request: of a peer whose requests wait.
        :param lender: gives back only to this entry.
        """
        idle = []
        for slot in self._borrowed:
            if slot.busy or slot.service != request.service:
                continue
            if lender is not None and (slot.loan is None or slot.loan[0] != lender):
                continue
            if request.regions and slot.region not in request.regions:
                continue
            idle.append(slot)
        return self._give_back(idle)

    def _give_back(self, slots: t.Sequence[Slot]) -> t.List[OutgoingReturn]:
        lent_by_loan: t.Dict[t.Tuple[EntryId, int], t.List[LentSlot]] = {}
        for slot in slots:
            assert slot.loan is not None
            self._borrowed.remove(slot)
            self._slots.remove_borrowed(slot)
            lent = LentSlot(slot.target_id, slot.index)
            lent_by_loan.setdefault(slot.loan, []).append(lent)
        returns = []
        for (peer, loan_id), lent_slots in lent_by_loan.items():
            message = LoanReturn(loan_id=loan_id, slots=tuple(lent_slots))
            returns.append(OutgoingReturn(peer, message))
        return returns

    def is_pending(self, service: ServiceId) -> bool:
        """Returns whether an answer to a loan request of the service is awaited."""
        return bool(self._pending_by_service.get(service))

    def has_idle_peer(self, service: ServiceId) -> bool:
        """Returns whether a peer that may be asked now has stated idle slots of the service."""
        now = self._clock.monotonic()
        for peer in self._recent_idle_by_peer(service):
            if not self._is_refused(peer, service, now):
                return True
        return False

    def _is_refused(
        self, peer: EntryId, service: ServiceId, now: float, waiting: bool = True
    ) -> bool:
        """Returns whether a peer had nothing to lend so lately that it is not asked again."""
        refusal = self._refusals.get((peer, service))
        if refusal is not None and now < refusal.until:
            return True
        refusal = None if waiting else self._refusals_ahead.get((peer, service))
        return refusal is not None and now < refusal.until

    def describe(self, service: ServiceId) -> str:
        """Returns the loan requests of a service, for logs.

        ``asked:PEER:MS`` is one that was sent so long ago and has no answer yet, and
        ``PEER:SLOTS:MS:AGO`` one that ended ``AGO`` milliseconds ago, after ``MS``, with so many
        slots, or ``lost`` if there was no answer.
        """
        now = self._clock.monotonic()
        parts = []
        for pending in self._pending_by_service.get(service, []):
            parts.append(f"asked:{pending.peer}:{_milliseconds(now - pending.sent_at)}")
        for reply in self._replies_by_service.get(service, ()):
            slots = "lost" if reply.slots is None else reply.slots
            took, ago = _milliseconds(reply.seconds), _milliseconds(now - reply.ended_at)
            parts.append(f"{reply.peer}:{slots}:{took}:{ago}")
        return ",".join(parts) or "none"

    def borrowed_count(self) -> int:
        """Returns the number of borrowed slots, in use or not."""
        return len(self._borrowed)

    def _record_refusal(self, pending_request: PendingLoanRequest, answer: LoanAnswer) -> None:
        key = (pending_request.peer, pending_request.request.service)
        refusals = self._refusals if pending_request.request.waiting else self._refusals_ahead
        if answer.slots or answer.returns:
            self.forget_refusals(*key)
            return
        wait_s = defaults.LOAN_BACKOFF_S
        before = refusals.get(key)
        may_have_some_soon = answer.recalling or pending_request.request.recall
        if before is not None and not may_have_some_soon:
            wait_s = min(2 * before.wait_s, defaults.MAX_LOAN_BACKOFF_S)
        refusals[key] = _Refusal(self._clock.monotonic() + wait_s, wait_s)

    def _choose_peer(
        self,
        service: ServiceId,
        regions: t.Sequence[RegionId],
        waiting: bool,
        borrowers: t.Mapping[EntryId, int],
    ) -> t.Optional[EntryId]:
        """Chooses a peer that may have slots to lend or to give back.

        Peers that stated idle slots come first. The others are owners of slots, and borrowers of
        this entry's own.
        """
        owned = self._slots.slots_by_owner(service, regions)
        if borrowers:
            owned = {
                peer: owned.get(peer, 0) + borrowers.get(peer, 0) for peer in {**owned, **borrowers}
            }
        idle_by_peer = self._recent_idle_by_peer(service)
        candidates = self._askable(owned or idle_by_peer, service, waiting, idle_by_peer)
        peers = [peer for peer in candidates if idle_by_peer.get(peer, 0) > 0]
        if peers:
            sampled = self._rng.sample(peers, min(_LENDER_SAMPLE_SIZE, len(peers)))
            return max(sampled, key=idle_by_peer.__getitem__)
        return self._draw(candidates, owned)

    def _askable(
        self,
        peers: t.Iterable[EntryId],
        service: ServiceId,
        waiting: bool,
        idle_by_peer: t.Container[EntryId] = (),
    ) -> t.List[EntryId]:
        """Returns the peers that are not asked already and did not refuse a moment ago.

        :param waiting: whether requests wait for the slots.
        :param idle_by_peer: peers that may be asked a second time meanwhile.
        """
        asked = {pending.peer for pending in self._pending_by_service.get(service, [])}
        now = self._clock.monotonic()
        found = []
        for peer in peers:
            if peer in asked and peer not in idle_by_peer:
                continue
            if not self._is_refused(peer, service, now, waiting):
                found.append(peer)
        return found

    def _draw(
        self, peers: t.Sequence[EntryId], weights: t.Mapping[EntryId, int]
    ) -> t.Optional[EntryId]:
        if not peers:
            return None
        return self._rng.choices(peers, [weights[peer] for peer in peers])[0]

    def _recent_idle_by_peer(self, service: ServiceId) -> t.Dict[EntryId, int]:
        """Returns the idle slots that peers stated recently."""
        recent = self._clock.monotonic() - MAX_IDLE_AGE_S
        counts: t.Dict[EntryId, int] = {}
        for peer, idle in self._idle_by_peer.items():
            count = idle.count_by_service.get(service, 0)
            if idle.heard_at >= recent and count > 0:
                counts[peer] = count
        return counts


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)
