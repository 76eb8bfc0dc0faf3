"""The ways to decide that are compared: coralfall's own, and simpler ones."""

import asyncio
import collections
import random
import typing as t

import msgspec

from coralfall import defaults
from coralfall.balancing.borrowing import Borrower
from coralfall.balancing.fleet_steering import FleetSteering
from coralfall.balancing.handover import Ack
from coralfall.balancing.lending import Lender
from coralfall.balancing.slots import SlotTable
from coralfall.balancing.steering import AttemptResult, Reservation, Steering
from coralfall.bundles.bundle import Bundle, Head, Service, VersionRef
from coralfall.bundles.rollout import PartnerRollout
from coralfall.cluster.lease import Lease
from coralfall.cluster.roster import Roster
from coralfall.cluster.rows import Member
from coralfall.exceptions import RefusedError
from coralfall.ids import (
    BundleVersion,
    Digest,
    EntryId,
    Incarnation,
    PartnerId,
    RegionId,
    Revision,
    ServiceId,
    SiteId,
    TargetId,
    TargetState,
    VmId,
    ZoneId,
)
from coralfall.peering.messages import LoanReturn
from coralfall.process.clock import ManualClock, PlatformClock
from coralfall.settings import LeaseSettings

from .fleet_model import FakeTarget, way_s

EntriesById = t.Dict[EntryId, "Decider"]


class Decider:
    """One entry; ``steering`` is what is measured, the rest is what it lives in."""

    steering: Steering

    def __init__(self, entry_id: EntryId, zone: ZoneId, clock: ManualClock, seed: int) -> None:
        self.id, self.zone, self.clock = entry_id, zone, clock
        self.rng = random.Random(seed)
        self.in_flight = 0
        self.up = True

    def take_bundle(self, bundle: Bundle, at: float) -> None:
        """Serve under ``bundle``, accepted at ``at``."""

    def take_members(self, members: t.Sequence[Member], revision: int) -> None:
        """Learn of a new roster."""

    async def live(self, others: EntriesById) -> None:
        """What an entry does beside its requests, until it is cancelled."""


class Simple(Decider, Steering):
    """Sends a request at once to a target that a rule picks from reports up to a second old.

    ``least`` takes the least loaded target, ``two`` the less loaded of two, ``static`` each in
    turn, up to an equal part of all slots for each entry of the partner. A target that failed
    three times in a row is left alone for five seconds.
    """

    def __init__(self, *entry: t.Any, rule: str, targets: t.Dict[TargetId, FakeTarget]) -> None:
        super().__init__(*entry)
        self.steering, self.rule, self.targets = self, rule, targets
        self.bundles: t.Dict[PartnerId, Bundle] = {}
        self.reports: t.Dict[TargetId, int] = {}
        self.own: t.Dict[TargetId, int] = collections.Counter()
        self.failures: t.Dict[TargetId, int] = collections.Counter()
        self.avoid_until: t.Dict[TargetId, float] = {}
        self.turn = self.rng.randrange(100)

    def take_bundle(self, bundle: Bundle, at: float) -> None:
        self.bundles[bundle.partner] = bundle

    async def live(self, others: EntriesById) -> None:
        while True:
            await asyncio.sleep(1.0)
            for name, target in self.targets.items():
                self.reports[name] = target.report()

    async def reserve(
        self,
        partner: PartnerId,
        service: ServiceId,
        *,
        tried: t.Collection[TargetId],
        deadline: float,
        body_bytes: int,
    ) -> Reservation:
        names = []
        total = mine = 0
        for name, target in self.bundles[partner].targets.items():
            if target.service != service or target.state is TargetState.LEAVING:
                continue
            total += target.slots
            mine += self.own[name]
            if name not in tried and self.avoid_until.get(name, 0.0) <= self.clock.now:
                names.append(name)
        if not names or (self.rule == "static" and mine >= max(1, total // 12)):
            raise RefusedError("no target", 1.0)
        name = self._pick(names)
        self.own[name] += 1
        return Reservation(
            partner=partner,
            service=service,
            target_id=name,
            region=self.targets[name].target.region,
            address="",
            connections=2,
        )

    def _pick(self, names: t.List[TargetId]) -> TargetId:
        if self.rule == "static":
            self.turn += 1
            return names[self.turn % len(names)]
        if self.rule == "two":
            names = self.rng.choices(names, k=2)
        return min(names, key=self._load)

    def _load(self, name: TargetId) -> float:
        in_flight = self.reports.get(name, 0) + self.own[name]
        return in_flight / self.targets[name].target.slots + self.rng.random() / 1000

    def check(self, reservation: Reservation) -> None:
        """Nothing to check."""

    def finish(
        self, held: Reservation, result: AttemptResult, seconds: float, load: t.Optional[str]
    ) -> None:
        name = held.target_id
        self.failures[name] += 1
        if result is AttemptResult.ANSWERED:
            self.failures[name] = 0
        if self.failures[name] >= defaults.SUSPECT_FAILURES:
            self.avoid_until[name] = self.clock.now + 5.0

    def release(self, held: Reservation) -> None:
        self.own[held.target_id] -= 1

    def service(self, partner: PartnerId, service: ServiceId) -> t.Optional[Service]:
        return self.bundles[partner].services[service]

    def version(self, partner: PartnerId) -> BundleVersion:
        return self.bundles[partner].version


class Ours(Decider):
    """An entry with coralfall's steering, whose messages to others take their time."""

    def __init__(self, *entry: t.Any) -> None:
        super().__init__(*entry)
        clock = self.clock
        self.incarnation = Incarnation(int(clock.now * 1000) + 100_000)
        self.others: EntriesById = {}
        self.lease = Lease(LeaseSettings(), clock)
        self.roster = Roster()
        self.slots = SlotTable(self.id, self.lease, clock, LeaseSettings())
        self.lender = Lender(self.slots, self.lease, clock, self.rng)
        self.borrower = Borrower(self.slots, clock, self.rng)
        self.rollouts = {
            PartnerId("cosecha"): PartnerRollout(PartnerId("cosecha")),
            PartnerId("calor"): PartnerRollout(PartnerId("calor")),
        }
        platform_clock = PlatformClock(clock)
        self.steering: FleetSteering = FleetSteering(
            self.rollouts, self.roster, self.slots, clock, platform_clock, self.ask
        )
        self.steering.loan_outlook = self.borrower
        self.services: t.Set[ServiceId] = set()

    def member(self) -> Member:
        """The entry's roster row."""
        return Member(
            entry_id=self.id,
            vm_id=VmId(self.id),
            incarnation=self.incarnation,
            region=RegionId(self.zone[:-2]),
            zone=self.zone,
            site=SiteId("site"),
            caller_address="",
            peer_address="",
            operator_address="",
        )

    def take_bundle(self, bundle: Bundle, at: float) -> None:
        ref = VersionRef(version=bundle.version, digest=Digest(str(bundle.version)))
        rollout = self.rollouts[bundle.partner]
        rollout.learn_from_peer(Head(partner=bundle.partner, accepted=ref, accepted_at=at))
        rollout.hold(ref, bundle)
        self.services.update(bundle.services)
        self.refresh()

    def take_members(self, members: t.Sequence[Member], revision: int) -> None:
        if self.roster.replace(members, Revision(revision)):
            self.refresh()

    def refresh(self) -> None:
        """What an entry does several times a second."""
        self.steering.refresh()
        collections.deque(self.slots.update_steps(), maxlen=0)
        for target_id in self.slots.unproved_targets():
            # Targets that are checked answer, at worst by refusing a connection.
            self.slots.record_life(target_id, self.clock.now)

    async def live(self, others: EntriesById) -> None:
        self.others = others
        while True:
            self.lease.renewed(self.clock.now)
            peers = [peer for peer in others.values() if peer is not self and peer.up]
            few = min(len(peers), 2 * defaults.HEARTBEAT_FANOUT)
            for peer in peers if self.slots.awaited_members else self.rng.sample(peers, few):
                self._later(peer, self._hear, peer)
            for _ in range(4):
                await asyncio.sleep(defaults.HEARTBEAT_INTERVAL_S / 4)
                self.refresh()
                self._give_back()
                self.steering.wake_all_waiters()

    def ask(
        self, service: ServiceId, count: int, regions: t.Sequence[RegionId], waiting: bool
    ) -> None:
        """Ask a peer for slots, as the product's entry does."""
        borrowers = self.lender.borrowers(service, regions) if waiting else {}
        ask = self.borrower.create_request(service, count, regions, waiting, borrowers)
        if ask is None:
            return
        peer = self.others[ask.peer]
        self._later(peer, self._asked, peer, ask)

    def _asked(self, peer: "Ours", ask: t.Any) -> None:
        answer = peer.lender.answer(self.id, ask.request)
        returns = []
        if ask.request.waiting and len(answer.slots) < ask.request.count:
            for due in peer.borrower.idle_returns(ask.request):
                if due.peer == self.id:
                    returns.append(due.message)
                    continue
                owner = self.others[due.peer]
                peer._later(owner, owner._returned, peer.id, due.message)
        answer = msgspec.structs.replace(answer, returns=tuple(returns))
        self._later(peer, self._answered, peer, ask, answer)

    def _answered(self, peer: "Ours", ask: t.Any, answer: t.Any) -> None:
        for loan in answer.returns:
            self.lender.accept_return(peer.id, loan)
        for back in self.borrower.accept_answer(ask, answer):
            self._later(peer, peer._returned, self.id, back.message)
        self.steering.wake_waiters(ask.request.service)

    def _hear(self, peer: "Ours") -> None:
        self.borrower.record_heartbeat(
            peer.id, {name: peer.lender.lendable(name) for name in self.services}
        )
        self.slots.apply_acks([Ack(peer.id, peer.incarnation, peer.slots.acknowledged_revision)])
        collections.deque(self.slots.update_steps(), maxlen=0)

    def _give_back(self) -> None:
        for back in self.borrower.due_returns():
            peer = self.others[back.peer]
            self._later(peer, peer._returned, self.id, back.message)

    def _returned(self, borrower: EntryId, message: LoanReturn) -> None:
        for service in self.lender.accept_return(borrower, message):
            self.steering.wake_waiters(service)

    def _later(self, peer: t.Any, action: t.Callable[..., None], *arguments: t.Any) -> None:
        way = way_s(self.zone, peer.zone)
        asyncio.get_running_loop().call_later(way, action, *arguments)
