"""A few entries, their platform and their targets on virtual time, for tests of slots.

Each entry has its own clock, roster and decisions.  What goes between them (answers of the
platform, peer exchanges, loans) may be held up on the way, and processes may be paused, killed
or cut off.  The requests on the targets are what is true; a naive allocator that sees all of
them at once is the reference.
"""

import random
import typing as t
from functools import partial

import msgspec

from coralfall.clock import Clock
from coralfall.handover import Ack
from coralfall.ids import EntryId, Revision, ServiceId, TargetId, VmId, VmState, ZoneId
from coralfall.lease import Lease
from coralfall.lending import Ask, Borrower, Lender, Return
from coralfall.limits import CapacityLimits
from coralfall.platform import Row, Vm
from coralfall.removal import LeaseObserver, removable
from coralfall.roster import Roster
from coralfall.rows import LEASE_PREFIX, ROSTER_PREFIX, LeaseRow, Member, lease_key, roster_key
from coralfall.settings import LeaseSettings
from coralfall.slots import Slot, SlotTable
from tests.bundles import COSECHA, make_bundle, make_target
from tests.test_roster import make_member

SETTINGS = LeaseSettings(ttl_s=6.0)
SERVICE = ServiceId("pedidos")
TIMEOUT_S = 1.0
ROUND_S = 0.4
REGION_SLOTS = 5
BUNDLE = make_bundle(
    "cosecha",
    {"sierra": REGION_SLOTS},
    {"t0": make_target("sierra", 4), "t1": make_target("sierra", 3)},
    timeout_ms=int(TIMEOUT_S * 1000),
)
TARGETS = tuple(BUNDLE.targets)


class SkewedClock(Clock):
    """The world's time as one VM's clock shows it."""

    def __init__(self, world: "World", offset: float) -> None:
        self.world = world
        self.offset = offset

    def monotonic(self) -> float:
        return self.world.now + self.offset

    def wall(self) -> float:
        return self.world.now


class Request(msgspec.Struct, eq=False):
    """A request that a target is working on."""

    node: "Node"
    slot: Slot
    ends_at: float


class NaiveAllocator:
    """One process that sees every request: may one more be dispatched?"""

    def __init__(self, requests: t.Sequence[Request]) -> None:
        self.requests = requests

    def full(self, target_id: TargetId) -> bool:
        there = [request for request in self.requests if request.slot.target_id == target_id]
        region_full = len(self.requests) >= REGION_SLOTS
        return region_full or len(there) >= BUNDLE.targets[target_id].slots


class World:
    """The platform, the targets, and the time."""

    def __init__(self, seed: int = 0) -> None:
        self.now = 1000.0
        self.rng = random.Random(seed)
        self.revision = 0
        self.row_by_key: t.Dict[str, Row] = {}
        self.vms: t.Dict[VmId, Vm] = {}
        self.nodes: t.Dict[str, Node] = {}
        #: Entries whose VMs the list calls gone although they run, and may be isolated.
        self.vms_gone_wrongly: t.Set[str] = set()
        #: Pairs of entries that can't reach each other.
        self.apart: t.Set[t.FrozenSet[str]] = set()
        self.requests: t.List[Request] = []
        #: Dispatches that the naive allocator would not have made.
        self.wrong: t.List[str] = []
        self.observer = LeaseObserver(SETTINGS, SkewedClock(self, 77))
        self.observed = 0

    def write(self, key: str, value: t.Optional[bytes]) -> None:
        self.revision += 1
        self.row_by_key[key] = Row(key, value, Revision(self.revision))

    def rows(self, prefix: str, since: int = 0) -> t.List[Row]:
        rows = self.row_by_key.values()
        return [row for row in rows if row.key.startswith(prefix) and row.revision > since]

    def members(self) -> t.Dict[EntryId, Member]:
        roster = Roster()
        roster.apply(self.rows(ROSTER_PREFIX))
        return roster.by_id

    def run(self, rounds: int) -> None:
        """Let time pass, with everyone doing what they can."""
        for _ in range(rounds):
            self.now += ROUND_S
            self.requests = [request for request in self.requests if request.ends_at > self.now]
            self.coordinate()
            for node in self.rng.sample(list(self.nodes.values()), len(self.nodes)):
                if node.runs():
                    node.work()

    def coordinate(self) -> None:
        """Observe the leases, and remove whom both pieces of evidence name."""
        rows = self.rows(LEASE_PREFIX, self.observed)
        self.observed = self.revision
        self.observer.observe(self.now + 77, rows, self.members())
        if self.rng.random() < 0.1:
            self.list_vms()
        for entry_id in removable(self.members(), self.observer.lapsed(), self.vms):
            self.write(roster_key(entry_id), None)
            self.write(lease_key(entry_id), None)

    def list_vms(self) -> None:
        """The VM list catches up with what has died, or is suspended, which may look alike.

        What the safety argument leaves out is left out here: a VM that the list calls gone
        reaches the platform when it is back.
        """
        for name, node in self.nodes.items():
            if not node.runs() or name in self.vms_gone_wrongly:
                self.vms.pop(node.member.vm_id, None)

    def mend(self) -> None:
        """End all faults; entries that are out of the roster start again."""
        self.apart.clear()
        for name, node in list(self.nodes.items()):
            node.paused = node.cut_off = node.slow = node.hesitant = False
            if node.dead or node.gone:
                node.dead = True
                Node(self, name, node.clock.offset)
        self.run(20)

    def usable(self) -> int:
        """Slots that their owners could use or lend now, or are using."""
        count = 0
        for node in self.nodes.values():
            node.finish()
            count += len([slot for slot in node.slots.busy_slots() if slot.loan is None])
            count += node.slots.idle(SERVICE) + node.lender.lent()
        return count


class Node:
    """One life of an entry."""

    def __init__(self, world: World, name: str, offset: float = 0.0) -> None:
        self.world = world
        self.name = EntryId(name)
        self.clock = SkewedClock(world, offset)
        self.lease = Lease(SETTINGS, self.clock)
        self.roster = Roster()
        self.limits = CapacityLimits(self.clock).update({COSECHA: BUNDLE}, {}, {}, world.now)
        self.slots = SlotTable(self.name, self.lease, self.clock, SETTINGS)
        self.lender = Lender(self.slots, self.lease, self.clock, world.rng)
        self.borrower = Borrower(self.slots, self.clock, world.rng)
        before = world.nodes.get(name)
        incarnation = 1 if before is None else before.member.incarnation + 1
        vm_id = f"vm-{name}-{incarnation}"
        if before is not None and before.member.vm_id in world.vms:
            vm_id = before.member.vm_id
        self.member = make_member(name, incarnation, vm_id)
        self.paused = self.dead = self.joined = self.gone = False
        #: Faults and load, set from outside.
        self.cut_off = self.slow = self.hesitant = False
        self.busy = True
        self.since = 0
        self.renewals = 0
        self.renewed_at = -99.0
        #: What is on its way to this node, with the time at which it arrives.
        self.arrivals: t.List[t.Tuple[float, t.Callable[[], None]]] = []
        self.held: t.List[Slot] = []
        world.vms[self.member.vm_id] = Vm(self.member.vm_id, ZoneId("z"), VmState.LIVE)
        world.nodes[name] = self

    def runs(self) -> bool:
        return not (self.paused or self.dead)

    def isolated(self) -> bool:
        """Whether the platform can't be reached."""
        listed = self.member.vm_id in self.world.vms or self.name in self.world.vms_gone_wrongly
        return self.cut_off and listed

    def later(self, arrive: t.Callable[[], None]) -> None:
        """Let something arrive now or, on a slow node, some time later."""
        delay = self.world.rng.choice([0.0, 0.0, 1.0, 2.5, 7.0]) if self.slow else 0.0
        if not delay:
            arrive()
            return
        self.arrivals.append((self.world.now + delay, arrive))

    def work(self) -> None:
        """One round of what a node does."""
        rng = self.world.rng
        arrived = [arrive for due, arrive in self.arrivals if due <= self.world.now]
        self.arrivals = [item for item in self.arrivals if item[0] > self.world.now]
        for arrive in arrived:
            arrive()
        self.finish()
        if not self.joined and rng.random() < 0.5:
            self.join()
        if self.world.now >= self.renewed_at + 2.0:
            self.poll()
        peers = [node for node in self.world.nodes.values() if self.reaches(node)]
        if peers:
            self.exchange(rng.choice(peers))
        if not self.hesitant or rng.random() < 0.1:
            self.dispatch()
        if self.busy:
            for _ in range(rng.randint(1, 7)):
                self.take(rng.choice(TARGETS))
        if not self.hesitant:
            self.dispatch()
        self.give_back()

    # The platform.

    def join(self) -> None:
        if self.isolated():
            return
        # Heads are read before the join, and with them who was here earlier.
        self.roster.apply(self.world.rows(ROSTER_PREFIX))
        self.world.write(roster_key(self.name), msgspec.msgpack.encode(self.member))
        self.joined = True

    def poll(self) -> None:
        """Renew and read; the platform does it now, the answer may be on its way for long."""
        sent_at = self.clock.monotonic()
        self.renewed_at = self.world.now
        if not self.joined:
            return
        if self.isolated():
            self.later(lambda: self.lease.platform_failed(sent_at))
            return
        if self.world.members().get(self.name) == self.member:
            self.renewals += 1
            row = LeaseRow(
                entry_id=self.name,
                incarnation=self.member.incarnation,
                renewals=self.renewals,
                roster_revision=self.slots.acknowledged,
            )
            self.world.write(lease_key(self.name), msgspec.msgpack.encode(row))
        rows = self.world.rows("", self.since)
        revision = self.world.revision
        self.later(lambda: self.take_answer(sent_at, rows, revision))

    def take_answer(self, sent_at: float, rows: t.List[Row], revision: int) -> None:
        self.since = max(self.since, revision)
        self.roster.apply(rows)
        self.take_roster()
        for row in rows:
            if row.key.startswith(LEASE_PREFIX) and row.value is not None:
                lease = msgspec.msgpack.decode(row.value, type=LeaseRow)
                self.take_ack(Ack(lease.entry_id, lease.incarnation, lease.roster_revision))
        self.lease.renewed(sent_at)

    def take_roster(self) -> None:
        if not self.roster.holds(self.name, self.member.incarnation):
            self.gone = True
            self.lease.removed()
        self.lease.set_alone(len(self.roster.by_id) == 1)
        self.slots.update(self.roster, self.limits)
        for _ in self.slots.steps():
            pass

    def take_ack(self, ack: Ack) -> None:
        self.slots.take_acks([ack])
        for _ in self.slots.steps():
            pass

    def leave(self) -> None:
        """Leave for good, if nothing is in flight; loans may be out."""
        if self.isolated() or not self.joined or self.held:
            return
        if any(request.node is self for request in self.world.requests):
            return
        if self.world.members().get(self.name) == self.member:
            self.world.write(roster_key(self.name), None)
        self.dead = True

    # Peers.

    def reaches(self, peer: "Node") -> bool:
        apart = frozenset((self.name, peer.name)) in self.world.apart
        return peer is not self and peer.runs() and not apart

    def exchange(self, peer: "Node") -> None:
        """Ask a peer what it knows; borrow from it if it has slots to spare."""
        begun_at = self.clock.monotonic()
        members = list(peer.roster.by_id.values())
        revision = peer.roster.revision
        ack = Ack(peer.name, peer.member.incarnation, peer.slots.acknowledged)
        spare = peer.lender.lendable(SERVICE)

        def arrive() -> None:
            if self.roster.replace(members, revision) and self.joined:
                self.take_roster()
            if not self.joined:
                self.slots.update(self.roster, self.limits)
            self.take_ack(ack)
            self.borrower.heard(peer.name, {SERVICE: spare})
            if self.joined and not self.gone:
                self.lease.peer_confirmed(begun_at)

        self.later(arrive)
        ask = self.borrower.ask(SERVICE, 2) if self.busy else None
        if ask is not None:
            self.send_ask(ask)

    def send_ask(self, ask: Ask) -> None:
        lender = self.world.nodes[ask.peer]
        if not self.reaches(lender):
            self.borrower.failed(ask)
            return
        answer = lender.lender.answer(self.name, ask.request)
        self.later(lambda: self.send_returns(self.borrower.answered(ask, answer)))

    def give_back(self) -> None:
        self.send_returns(self.borrower.due_returns())

    def send_returns(self, returns: t.List[Return]) -> None:
        for back in returns:
            lender = self.world.nodes[back.peer]
            if self.reaches(lender):
                lender.later(partial(lender.lender.returned, self.name, back.message))
                lender.later(partial(lender.lender.returned, self.name, back.message))

    # Requests.

    def take(self, target_id: TargetId) -> None:
        slot = self.slots.acquire(target_id)
        if slot is not None:
            self.held.append(slot)

    def dispatch(self) -> None:
        """Dispatch into all slots taken, be it that they were taken long ago."""
        for slot in self.held:
            if not self.slots.confirm(slot):
                self.slots.release(slot)
                continue
            if NaiveAllocator(self.world.requests).full(slot.target_id):
                self.world.wrong.append(f"{self.name} {slot} loan={slot.loan}")
            self.world.requests.append(Request(self, slot, self.world.now + TIMEOUT_S))
        self.held = []

    def finish(self) -> None:
        """Notice which requests are over; targets work on each until its deadline."""
        running = {id(request.slot) for request in self.world.requests if request.node is self}
        running |= {id(slot) for slot in self.held}
        for slot in self.slots.busy_slots():
            if id(slot) not in running:
                self.slots.release(slot)
