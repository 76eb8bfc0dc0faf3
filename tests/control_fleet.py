"""Many nodes on virtual time, with a platform and peers that fail as a seeded script says."""

import asyncio
import random
import typing as t
import unittest.mock

from coralfall.bundles import line, submission
from coralfall.bundles.bundle import VersionRef
from coralfall.cluster.node import Node, NodeCallbacks
from coralfall.cluster.rows import Member
from coralfall.exceptions import (
    CoralfallError,
    PeerUnreachableError,
    PlatformError,
    PlatformUnavailableError,
    SubmitError,
)
from coralfall.ids import (
    Digest,
    EntryId,
    Incarnation,
    RegionId,
    SiteId,
    VmId,
    VmState,
    ZoneId,
)
from coralfall.peering.gossip import lag
from coralfall.peering.messages import Hello
from coralfall.process.clock import Clock
from coralfall.settings import (
    EntrySettings,
    LeaseSettings,
    PartnerSettings,
    PeerSettings,
    PlatformSettings,
)
from coralfall.stores.memory_platform import MemoryPlatform
from coralfall.stores.store import ObjectStore, Platform, Vm
from tests import operators
from tests.flaky_table import Fate, FlakyTable
from tests.members import make_member
from tests.virtual_loop import LoopClock

LEASE = LeaseSettings(ttl_s=6.0, renew_s=2.0, poll_s=1.0, vm_list_s=2.0)
HEARTBEAT_INTERVAL_S = 1.0
#: Seconds in which nodes that are started together have all joined.
JOIN_S = 5.0
TRUST = {operators.COSECHA: operators.COSECHA_KEYS}
_TROUBLE = (Fate.DOWN, Fate.ANSWER_LOST, Fate.CALL_LOST, Fate.LATE)


class World:
    """The platform, the nodes and what fails between them.

    :param seed: of everything that is left to chance.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = LoopClock(asyncio.get_running_loop())
        self.memory = MemoryPlatform(self.clock)
        self.nodes_by_id: t.Dict[EntryId, LiveNode] = {}
        #: Share of platform calls that fail.
        self.trouble = 0.0
        #: Whether the platform answers anybody.
        self.platform_up = True
        #: Entries that reach neither the platform nor peers outside the set.
        self.cut: t.Set[EntryId] = set()
        self._numbers = 0

    def fate(self, entry_id: t.Optional[EntryId] = None) -> Fate:
        """What becomes of a call to the platform."""
        if not self.platform_up or entry_id in self.cut:
            return Fate.DOWN
        if self.rng.random() < self.trouble:
            return self.rng.choice(_TROUBLE)
        return Fate.OK

    def start(self, name: str) -> "LiveNode":
        """A new node on a VM of its own."""
        self._numbers += 1
        vm_id = VmId(f"vm-{self._numbers}")
        self.memory.set_vm(Vm(vm_id, ZoneId("sierra-1"), VmState.LIVE))
        node = LiveNode(self, EntryId(name), vm_id, Incarnation(self._numbers))
        self.nodes_by_id[node.entry_id] = node
        return node

    async def start_all(self, count: int) -> None:
        """Nodes named e0, e1 and so on, and the time that they need to join."""
        for number in range(count):
            self.start(f"e{number}")
        await asyncio.sleep(JOIN_S)

    def kill(self, entry_id: EntryId) -> None:
        """End a node without a word; the VM list knows at once."""
        node = self.nodes_by_id.pop(entry_id)
        node.stop()
        self.cut.discard(entry_id)
        self.memory.remove_vm(node.vm_id)

    def connected(self, one: EntryId, other: EntryId) -> bool:
        """Whether two nodes reach each other."""
        return other in self.nodes_by_id and (one in self.cut) == (other in self.cut)

    async def submit(self, version: int, author: str, slots: int = 6) -> bool:
        """Submit a version as an operator would, until an answer is had; whether it won."""
        bundle = operators.make_bundle(version, slots=slots)
        signed = operators.sign_bundle(bundle)
        table = FlakyTable(self.memory.platform.table, self.fate)
        platform = self.memory.platform._replace(table=table)
        while True:
            try:
                await submission.submit(platform, signed, TRUST, f"{author}-{version}")
                return True
            except SubmitError as error:
                if error.fields["reason"] == "unknown":
                    continue
                return False
            except PlatformError:
                await asyncio.sleep(0.5)

    async def stage_only(self, version: int) -> None:
        """Stage a version on a platform that does not fail."""
        signed = operators.sign_bundle(operators.make_bundle(version))
        await submission.submit(self.memory.platform, signed, TRUST, f"only-{version}")

    async def accepted(self) -> t.Optional[VersionRef]:
        """What the table says is in force."""
        return (await line.read_head(self.memory.platform, operators.COSECHA)).head.accepted


def make_settings(entry_id: EntryId, vm_id: VmId) -> EntrySettings:
    """Settings of an entry that serves Cosecha."""
    keys = {key.key_id: key.public_key for key in (operators.ANA, operators.BEA)}
    return EntrySettings(
        entry_id=entry_id,
        vm_id=vm_id,
        region=RegionId("sierra"),
        zone=ZoneId("sierra-1"),
        site=SiteId("sierra-1"),
        caller_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
        operator_address="127.0.0.1:3",
        platform=PlatformSettings(url="http://127.0.0.1"),
        partners={operators.COSECHA: PartnerSettings(keys=keys)},
        peers=PeerSettings(fleet_key_file="unused"),
        lease=LEASE,
    )


def make_still_node(clock: Clock, platform: Platform) -> Node:
    """A node named a that does nothing by itself, and whose process does nothing either."""
    callbacks = NodeCallbacks(
        make_member=lambda: make_member("a"),
        peer_fetch=unittest.mock.AsyncMock(),
        start_loan_request=unittest.mock.Mock(),
        announce=unittest.mock.Mock(),
        roster_changed=unittest.mock.Mock(),
        era_began=unittest.mock.Mock(),
    )
    settings = make_settings(EntryId("a"), VmId("vm-a"))
    return Node(settings, platform, clock, random.Random(1), callbacks)


class _Objects(ObjectStore):
    def __init__(self, world: World, entry_id: EntryId) -> None:
        self._world = world
        self._entry_id = entry_id

    async def put(self, digest: Digest, data: bytes) -> None:
        raise NotImplementedError

    async def get(self, digest: Digest) -> bytes:
        if self._world.fate(self._entry_id) is not Fate.OK:
            raise PlatformUnavailableError("down")
        return await self._world.memory.platform.objects.get(digest)


class LiveNode:
    """A node with its tasks, and its peers as plain calls."""

    def __init__(
        self, world: World, entry_id: EntryId, vm_id: VmId, incarnation: Incarnation
    ) -> None:
        self.world = world
        self.entry_id = entry_id
        self.vm_id = vm_id
        self._incarnation = incarnation
        settings = make_settings(entry_id, vm_id)
        table = FlakyTable(world.memory.platform.table, lambda: world.fate(entry_id))
        platform = Platform(table, _Objects(world, entry_id), world.memory.platform.vms)
        callbacks = NodeCallbacks(
            make_member=self._member,
            peer_fetch=self._fetch,
            start_loan_request=lambda *request: None,
            announce=self._spread_news,
            roster_changed=lambda: None,
            era_began=lambda era: None,
        )
        self.node = Node(settings, platform, world.clock, world.rng, callbacks)
        self.node.control.may_join.set()
        works = (self.node.control.run, self.node.control.follow_news, self._tick, self._gossip)
        self._tasks = [asyncio.ensure_future(work()) for work in works]
        self._news = asyncio.Event()

    @property
    def in_force(self) -> int:
        """Version of the bundle that the node serves under."""
        return self.node.rollouts[operators.COSECHA].in_force_version()

    @property
    def holds(self) -> int:
        """Newest version that the node holds, and so respects."""
        return self.node.rollouts[operators.COSECHA].staged_version()

    @property
    def serves(self) -> bool:
        """Whether the node would dispatch into its own slots."""
        return self.node.lease.may_dispatch()

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    def failures(self) -> t.List[BaseException]:
        """What ended a task that should not have ended."""
        found = []
        for task in self._tasks:
            if task.done() and not task.cancelled():
                error = task.exception()
                found.append(error or RuntimeError("a task ended"))
        return found

    def _member(self) -> Member:
        return make_member(self.entry_id, self._incarnation, self.vm_id)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(LEASE.poll_s * self.world.rng.uniform(0.9, 1.1))
            try:
                await self.node.coordinator.tick()
            except CoralfallError:
                continue

    async def _gossip(self) -> None:
        while True:
            self._exchange()
            try:
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S * self.world.rng.uniform(0.9, 1.1)):
                    await self._news.wait()
            except TimeoutError:
                continue
            self._news.clear()

    def _spread_news(self) -> None:
        self._news.set()

    def _exchange(self) -> None:
        names = [name for name in self.node.roster.by_id if name != self.entry_id]
        if not names:
            # A newcomer's seeds.
            names = [name for name in self.world.nodes_by_id if name != self.entry_id]
        self.world.rng.shuffle(names)
        for name in names[:3]:
            if self.world.connected(self.entry_id, name):
                self._exchange_with(self.world.nodes_by_id[name])

    def _exchange_with(self, other: "LiveNode") -> None:
        now = self.world.clock.monotonic()
        ours, theirs = self.node.conversation, other.node.conversation
        other.node.conversation.on_heartbeat(self._hello(), ours.heartbeat(), None)
        ours.on_heartbeat(other._hello(), theirs.heartbeat(), now)
        behind = lag(ours.heartbeat(), theirs.heartbeat())
        if behind.heads or behind.roster:
            ours.on_sync(other._hello(), theirs.sync())
        ahead = lag(theirs.heartbeat(), ours.heartbeat())
        if ahead.heads or ahead.roster:
            theirs.on_sync(self._hello(), ours.sync())

    def _hello(self) -> Hello:
        return Hello(entry_id=self.entry_id, incarnation=self._incarnation)

    async def _fetch(self, digest: Digest) -> bytes:
        for name, other in self.world.nodes_by_id.items():
            if name == self.entry_id or not self.world.connected(self.entry_id, name):
                continue
            data = other.node.conversation.get_object(digest)
            if data is not None:
                return data
        raise PeerUnreachableError("no peer has it")
