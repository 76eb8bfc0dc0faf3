"""What an entry tells its peers and does with what they tell: heads, roster, objects, loans."""

import asyncio
import typing as t

import msgspec

from ..balancing.borrowing import Borrower, OutgoingReturn, PendingLoanRequest
from ..balancing.handover import Ack
from ..balancing.lending import Lender
from ..bundles.rollout import PartnerRollout
from ..exceptions import PeerError
from ..ids import BundleVersion, Digest, EntryId, PartnerId, RegionId, ServiceId
from ..peering.messages import Heartbeat, Hello, LoanAnswer, LoanRequest, LoanReturn, SyncAnswer
from ..peering.peer_handler import PeerHandler
from ..process import log
from .rows import Member

if t.TYPE_CHECKING:
    from ..balancing.fleet_steering import FleetSteering
    from ..balancing.slots import SlotTable
    from ..bundles.staging import Staging
    from ..peering.peers import PeerNetwork
    from ..process.clock import Clock
    from .control import Control
    from .lease import Lease
    from .membership import Membership
    from .roster import Roster


class Conversation(PeerHandler):
    """The entry's side of the conversation with its peers.

    :param entry_id: this entry.
    :param clock: the VM's clocks.
    :param membership: given newer rosters.
    :param roster: told to peers.
    :param rollouts: told to peers, and given newer heads.
    :param lease: confirmed by peers that know of no newer roster.
    :param slots: told what peers have acknowledged.
    :param staging: gives objects.
    :param lender: answers requests for loans.
    :param borrower: told what peers could lend.
    """

    def __init__(
        self,
        entry_id: EntryId,
        clock: "Clock",
        membership: "Membership",
        roster: "Roster",
        rollouts: t.Mapping[PartnerId, PartnerRollout],
        lease: "Lease",
        slots: "SlotTable",
        staging: "Staging",
        lender: Lender,
        borrower: Borrower,
    ) -> None:
        self._entry_id = entry_id
        self._clock = clock
        self._membership = membership
        self._roster = roster
        self._rollouts = rollouts
        self._lease = lease
        self._slots = slots
        self._staging = staging
        self._lender = lender
        self._borrower = borrower
        self.control: t.Optional["Control"] = None
        self.services: t.Callable[[], t.Iterable[ServiceId]] = tuple
        #: Told of services whose lent slots came back.
        self.wake_waiters: t.Callable[[ServiceId], None] = _nothing_waits
        #: Sends slots back, and calls them back; set once there is a network.
        self.loans: t.Optional[Loans] = None

    def members_by_id(self) -> t.Mapping[EntryId, Member]:
        return self._roster.by_id

    def heartbeat(self) -> Heartbeat:
        accepted: t.Dict[PartnerId, BundleVersion] = {}
        staged: t.Dict[PartnerId, BundleVersion] = {}
        for partner, rollout in self._rollouts.items():
            head = rollout.head
            if head.accepted is not None:
                accepted[partner] = head.accepted.version
            newest = head.staged or head.accepted
            if newest is not None:
                staged[partner] = newest.version
        idle = {}
        for service in self.services():
            count = self._lender.lendable(service)
            if count:
                idle[service] = count
        acknowledged = self._slots.acknowledged_revision
        behind = acknowledged != self._roster.revision
        return Heartbeat(
            roster_revision=self._roster.revision,
            accepted=accepted,
            staged=staged,
            platform_age_s=min(self._membership.platform_age(), 1e9),
            platform_now=self._membership.platform_clock.now(),
            idle=idle,
            acknowledged=acknowledged if behind else None,
        )

    def on_heartbeat(self, peer: Hello, heartbeat: Heartbeat, asked_at: t.Optional[float]) -> None:
        self._borrower.record_heartbeat(peer.entry_id, heartbeat.idle)
        acknowledged = heartbeat.acknowledged
        if acknowledged is None:
            acknowledged = heartbeat.roster_revision
        self._slots.apply_acks([Ack(peer.entry_id, peer.incarnation, acknowledged)])
        if asked_at is None:
            return
        self._membership.platform_clock.observe_peer(
            asked_at, self._clock.monotonic(), heartbeat.platform_now
        )
        me = self._membership.member
        if me is None or heartbeat.roster_revision > self._roster.revision:
            return
        if self._roster.holds(me.entry_id, me.incarnation):
            self._lease.peer_confirmed(asked_at)

    def sync(self) -> SyncAnswer:
        return SyncAnswer(
            heads=tuple(rollout.head for rollout in self._rollouts.values()),
            members=tuple(self._roster.by_id.values()),
            roster_revision=self._roster.revision,
            platform_now=self._membership.platform_clock.now(),
        )

    def on_sync(self, peer: Hello, answer: SyncAnswer) -> None:
        news = False
        for head in answer.heads:
            rollout = self._rollouts.get(head.partner)
            if rollout is not None and rollout.learn_from_peer(head):
                news = True
        if answer.roster_revision > self._roster.revision:
            self._membership.learn_roster(answer.members, answer.roster_revision)
            news = True
        if news and self.control is not None:
            log.debug("peer.news", peer=peer.entry_id)
            self.control.news.set()

    def get_object(self, digest: Digest) -> t.Optional[bytes]:
        return self._staging.object_bytes(digest)

    def on_loan_request(self, peer: Hello, request: LoanRequest) -> LoanAnswer:
        if not request.waiting:
            return self._lend(peer, request)
        returns = []
        missing = request.count
        for due in self._borrower.idle_returns(request, peer.entry_id):
            returns.append(due.message)
            missing -= len(due.message.slots)
        if request.recall:
            return LoanAnswer(loan_id=0, slots=(), seconds=0.0, returns=tuple(returns))
        rest = msgspec.structs.replace(request, count=max(0, missing))
        answer = self._lend(peer, rest)
        recalling = False
        if len(answer.slots) < missing and self.loans is not None:
            for due in self._borrower.idle_returns(request):
                self.loans.give_back(due)
            recalling = self.loans.recall(peer.entry_id, rest)
        return msgspec.structs.replace(answer, returns=tuple(returns), recalling=recalling)

    def _lend(self, peer: Hello, request: LoanRequest) -> LoanAnswer:
        answer = self._lender.answer(peer.entry_id, request)
        if answer.slots:
            # What it refused before says nothing of the slots that it has now.
            self._borrower.forget_refusals(peer.entry_id, request.service)
        return answer

    def on_loan_return(self, peer: Hello, loan: LoanReturn) -> None:
        for service in self._lender.accept_return(peer.entry_id, loan):
            self.wake_waiters(service)


def _nothing_waits(service: ServiceId) -> None:
    """Stands for the steering until there is one."""


class Loans:
    """Carries this entry's requests for loans, one task for each.

    :param borrower: decides whom to ask.
    :param lender: takes back what peers give back with their answers.
    :param network: carries the messages.
    :param steering: told of borrowed slots.
    """

    def __init__(
        self,
        borrower: Borrower,
        lender: Lender,
        network: "PeerNetwork",
        steering: "FleetSteering",
    ) -> None:
        self._borrower = borrower
        self._lender = lender
        self._network = network
        self._steering = steering
        self._tasks: t.Set["asyncio.Task[None]"] = set()

    def ask(
        self, service: ServiceId, count: int, regions: t.Sequence[RegionId], waiting: bool
    ) -> None:
        """Ask a peer for slots of a service, if one is known that has some."""
        borrowers = self._lender.borrowers(service, regions) if waiting else {}
        ask = self._borrower.create_request(service, count, regions, waiting, borrowers)
        if ask is not None:
            self._spawn(self._ask(ask))

    def recall(self, wanting: EntryId, request: LoanRequest) -> bool:
        """Call slots back that lie idle at their borrowers, for a peer whose requests wait.

        :param wanting: the peer; what it has borrowed itself is not called back.
        :return: whether others have borrowed such slots.
        """
        service, regions = request.service, request.regions
        borrowers = self._lender.borrowers(service, regions)
        borrowers.pop(wanting, None)
        ask = self._borrower.create_recall(service, request.count, regions, borrowers)
        if ask is not None:
            self._spawn(self._ask(ask))
        return bool(borrowers)

    def give_back_due(self) -> None:
        """Send back what has expired or lies idle."""
        for due in self._borrower.due_returns():
            self.give_back(due)

    def give_back(self, due: OutgoingReturn) -> None:
        """Send slots back to their lender."""
        self._spawn(self._give_back(due))

    async def close(self) -> None:
        """End what is under way; lenders take their slots back when the loans' time is over."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _ask(self, ask: PendingLoanRequest) -> None:
        try:
            answer = await self._network.request_loan(ask.peer, ask.request)
        except PeerError as error:
            self._borrower.discard_request(ask)
            log.debug("loan.failed", peer=ask.peer, code=error.code)
            return
        except BaseException:
            self._borrower.discard_request(ask)
            raise
        for loan in answer.returns:
            self._lender.accept_return(ask.peer, loan)
        returns = self._borrower.accept_answer(ask, answer)
        self._steering.wake_waiters(ask.request.service)
        for unusable in returns:
            await self._give_back(unusable)

    async def _give_back(self, due: OutgoingReturn) -> None:
        try:
            await self._network.return_loan(due.peer, due.message)
        except PeerError as error:
            log.debug("loan.not_returned", peer=due.peer, code=error.code)

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
