"""Entries on loopback that hold versions, a roster and objects, and talk only as peers."""

import asyncio
import random
import typing as t

from coralfall import defaults
from coralfall.bundles import bundle
from coralfall.cluster import rows
from coralfall.exceptions import PeerError
from coralfall.ids import EntryId, Incarnation, PartnerId, Revision
from coralfall.peering.channel import Traffic
from coralfall.peering.cipher import FleetKey
from coralfall.peering.messages import Heartbeat, Hello, LoanAnswer, SyncAnswer
from coralfall.peering.peer_directory import PeerDirectory
from coralfall.peering.peer_handler import PeerHandler
from coralfall.peering.peer_server import PeerServer
from coralfall.peering.peers import PeerNetwork
from coralfall.process.clock import Clock, SystemClock
from coralfall.process.metrics import Metrics
from coralfall.settings import (
    EntrySettings,
    MetricsSettings,
    PeerSettings,
    PlatformSettings,
)
from tests.members import make_member

KEY = FleetKey(bytes(range(32)))
COSECHA = PartnerId("cosecha")
#: Longest that any of these tests waits for something that is bound to happen, in seconds.
BOUND_S = 150.0
#: Seconds that stand for "never within a test".
NEVER_S = 3600.0


def bundle_bytes(version: int) -> bytes:
    return b"bundle %d" % version


def head_of(version: int) -> bundle.Head:
    digest = bundle.digest_of(bundle_bytes(version))
    ref = bundle.VersionRef(version=version, digest=digest)
    return bundle.Head(partner=COSECHA, accepted=ref, staged=ref)


def member(index: int, regions: int, address: str = "127.0.0.1:0") -> rows.Member:
    region = f"r{index % regions}"
    return make_member(
        f"e{index:03}",
        region=region,
        zone=region,
        site=region,
        caller_address=address,
        peer_address=address,
        operator_address=address,
    )


def members(count: int, regions: int) -> t.Dict[EntryId, rows.Member]:
    return {item.entry_id: item for item in (member(i, regions) for i in range(count))}


class Node(PeerHandler):
    """One entry, with the platform silent."""

    def __init__(
        self,
        index: int,
        regions: int,
        heartbeat_s: float,
        seeds: t.Sequence[str] = (),
        clock: t.Optional[Clock] = None,
    ) -> None:
        self.member = member(index, regions)
        self.roster: t.Dict[EntryId, rows.Member] = {}
        self.roster_revision = Revision(0)
        self.version = 0
        self.objects: t.Dict[str, bytes] = {}
        self.platform_age_s = NEVER_S
        self.announces = True
        self.heard: t.List[t.Tuple[Hello, Heartbeat, t.Optional[float]]] = []
        self.synced: t.List[SyncAnswer] = []
        self.loans: t.List[t.Any] = []
        self.updated = asyncio.Event()
        self.traffic = Traffic()
        self._fetching: t.Set[asyncio.Task[None]] = set()
        settings = EntrySettings(
            entry_id=self.member.entry_id,
            vm_id=self.member.vm_id,
            region=self.member.region,
            zone=self.member.zone,
            site=self.member.site,
            caller_address="127.0.0.1:0",
            peer_address="127.0.0.1:0",
            operator_address="127.0.0.1:0",
            platform=PlatformSettings(url="http://127.0.0.1:1"),
            partners={},
            peers=PeerSettings(fleet_key_file="", heartbeat_s=heartbeat_s, seeds=tuple(seeds)),
        )
        hello = Hello(entry_id=self.member.entry_id, incarnation=Incarnation(1))
        self.clock = clock or SystemClock()
        metrics = Metrics(MetricsSettings())
        self.directory = PeerDirectory(self.clock)
        self.server = PeerServer(
            "127.0.0.1:0", KEY, hello, self, self.directory, self.traffic, metrics
        )
        self.network = PeerNetwork(
            settings,
            KEY,
            hello,
            self,
            self.directory,
            self.clock,
            random.Random(index),
            self.traffic,
            metrics,
        )
        self._runs: t.List[asyncio.Task[None]] = []

    async def listen(self) -> str:
        await self.server.start()
        self._runs.append(asyncio.create_task(self.server.run()))
        await asyncio.sleep(0)
        return self.server.bound_address

    def talk(self) -> None:
        self._runs.append(asyncio.create_task(self.network.run()))

    async def stop(self) -> None:
        for task in [*self._runs, *self._fetching]:
            task.cancel()
        if self._runs:
            await asyncio.wait(self._runs)
        self._runs.clear()

    def accept(self, version: int) -> None:
        self.version = version
        self.objects[bundle.digest_of(bundle_bytes(version))] = bundle_bytes(version)
        self.updated.set()
        if self.announces:
            self.network.announce()

    def members_by_id(self) -> t.Mapping[EntryId, rows.Member]:
        return self.roster

    def heartbeat(self) -> Heartbeat:
        versions = {COSECHA: self.version}
        return Heartbeat(
            roster_revision=self.roster_revision,
            accepted=versions,
            staged=versions,
            platform_age_s=self.platform_age_s,
            platform_now=1.7e9,
        )

    def on_heartbeat(self, peer: Hello, heartbeat: Heartbeat, asked_at: t.Optional[float]) -> None:
        self.heard.append((peer, heartbeat, asked_at))

    def sync(self) -> SyncAnswer:
        return SyncAnswer(
            heads=(head_of(self.version),),
            members=tuple(self.roster.values()),
            roster_revision=self.roster_revision,
            platform_now=1.7e9,
        )

    def on_sync(self, peer: Hello, answer: SyncAnswer) -> None:
        self.synced.append(answer)
        if answer.roster_revision > self.roster_revision:
            self.roster = {item.entry_id: item for item in answer.members}
            self.roster_revision = answer.roster_revision
        for head in answer.heads:
            if head.accepted is not None and head.accepted.version > self.version:
                self._fetching.add(asyncio.create_task(self._fetch(head.accepted)))

    async def _fetch(self, ref: bundle.VersionRef) -> None:
        try:
            data = await self.network.fetch_object(ref.digest)
        except PeerError:
            return
        if data == bundle_bytes(ref.version) and ref.version > self.version:
            self.accept(ref.version)

    def get_object(self, digest: str) -> t.Optional[bytes]:
        return self.objects.get(digest)

    def on_loan_request(self, peer: Hello, request: t.Any) -> LoanAnswer:
        self.loans.append((peer.entry_id, request))
        return LoanAnswer(loan_id=len(self.loans), slots=(), seconds=defaults.LOAN_TTL_S)

    def on_loan_return(self, peer: Hello, loan: t.Any) -> None:
        self.loans.append((peer.entry_id, loan))


class Fleet:
    """Nodes that know each other by one roster.

    :param regions: how many regions the nodes are spread over.
    :param heartbeat_s: seconds between rounds.
    """

    def __init__(self, count: int, regions: int = 3, heartbeat_s: float = NEVER_S) -> None:
        self.nodes = [Node(index, regions, heartbeat_s) for index in range(count)]
        self._regions = regions

    async def listen(self) -> None:
        roster = {}
        for index, node in enumerate(self.nodes):
            address = await node.listen()
            node.member = member(index, self._regions, address)
            roster[node.member.entry_id] = node.member
        for node in self.nodes:
            node.roster = dict(roster)
            node.roster_revision = Revision(len(roster))

    async def talk(self) -> None:
        """Start all networks; returns when the first round of each is over."""
        for node in self.nodes:
            node.talk()
        await until(lambda: all(node.heard for node in self.nodes))

    async def stop(self) -> None:
        for node in self.nodes:
            await node.stop()


async def until(condition: t.Callable[[], bool]) -> None:
    """Returns once the condition holds; ``TimeoutError`` after ``BOUND_S`` seconds."""
    async with asyncio.timeout(BOUND_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)
