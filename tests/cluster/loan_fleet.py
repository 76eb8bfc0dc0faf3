"""A few entries that lend each other slots, on virtual time and by messages that take a while."""

import asyncio
import random
import typing as t
import unittest.mock

import msgspec

from coralfall.balancing.fleet_steering import FleetReservation
from coralfall.balancing.steering import AttemptResult
from coralfall.bundles.bundle import Bundle, Head, VersionRef
from coralfall.cluster.conversation import Loans
from coralfall.cluster.node import Node, NodeCallbacks
from coralfall.exceptions import PeerUnreachableError, RefusedError
from coralfall.ids import (
    BundleVersion,
    Digest,
    EntryId,
    Incarnation,
    RegionId,
    ServiceId,
    VmId,
)
from coralfall.peering.messages import Hello, LoanAnswer, LoanRequest, LoanReturn
from coralfall.stores.memory_platform import MemoryPlatform
from tests.bundle_makers import make_bundle, make_service, make_target
from tests.control_fleet import make_settings
from tests.members import make_member, put
from tests.operators import COSECHA
from tests.virtual_loop import LoopClock

SERVICE = ServiceId("pedidos")
#: Seconds until the slots of entries that have joined together may be used.
SETTLE_S = 15.0
TICK_S = 0.25
TIMEOUT_S = 1.0


def two_regions(slots: int) -> Bundle:
    """A bundle of one service with a target of so many slots in each of two regions."""
    targets = {
        "t0": make_target("sierra", slots),
        "t1": make_target("costa", slots),
    }
    bundle = make_bundle("cosecha", {"sierra": 99, "costa": 99}, targets)
    weights = {RegionId("sierra"): 0.5, RegionId("costa"): 0.5}
    service = msgspec.structs.replace(make_service(int(TIMEOUT_S * 1000)), weights=weights)
    return msgspec.structs.replace(bundle, services={SERVICE: service})


class LendingEntry:
    """An entry's node with its loans."""

    def __init__(self, fleet: "LoanFleet", name: str) -> None:
        self.fleet = fleet
        self.entry_id = EntryId(name)
        callbacks = NodeCallbacks(
            make_member=lambda: make_member(name),
            peer_fetch=unittest.mock.AsyncMock(),
            start_loan_request=lambda *request: self.loans.ask(*request),
            announce=lambda: None,
            roster_changed=lambda: None,
            era_began=lambda era: None,
        )
        settings = make_settings(self.entry_id, VmId(f"vm-{name}"))
        platform = MemoryPlatform(fleet.clock).platform
        self.node = Node(settings, platform, fleet.clock, fleet.rng, callbacks)
        network: t.Any = self
        node = self.node
        self.loans = Loans(node.borrower, node.lender, network, node.steering)
        node.conversation.loans = self.loans

    def start(self, bundle: Bundle, names: t.Sequence[str]) -> None:
        """Takes in the bundle and the roster."""
        rollout = self.node.rollouts[COSECHA]
        ref = VersionRef(version=BundleVersion(1), digest=Digest("d"))
        rollout.learn_from_peer(Head(partner=COSECHA, accepted=ref, accepted_at=0.0))
        rollout.hold(ref, bundle)
        self.node.roster.apply([put(name, number) for number, name in enumerate(names, 1)])
        self.tick()

    def tick(self) -> None:
        """What the entry's process does several times a second."""
        node = self.node
        node.lease.renewed(self.fleet.clock.monotonic())
        node.steering.refresh()
        for target_id in node.steering.unproved_addresses():
            node.steering.record_life(target_id, self.fleet.clock.monotonic())
        for _ in node.slots.update_steps():
            pass
        self.loans.give_back_due()
        node.steering.wake_all_waiters()
        for peer in self.fleet.entries:
            if peer is not self:
                node.conversation.on_heartbeat(
                    peer.hello(), peer.node.conversation.heartbeat(), None
                )

    def hello(self) -> Hello:
        return Hello(entry_id=self.entry_id, incarnation=Incarnation(1))

    # The network of its loans.

    async def request_loan(self, entry_id: EntryId, request: LoanRequest) -> LoanAnswer:
        await self.fleet.carry()
        answer = self.fleet.by_id[entry_id].node.conversation.on_loan_request(self.hello(), request)
        await self.fleet.carry()
        return answer

    async def return_loan(self, entry_id: EntryId, loan: LoanReturn) -> None:
        await self.fleet.carry()
        self.fleet.by_id[entry_id].node.conversation.on_loan_return(self.hello(), loan)


class LoanFleet:
    """Entries that know each other and one bundle.

    :param names: the entries; with the targets' names they decide who owns which slot.
    :param bundle: in force everywhere.
    :param seed: of all choices.
    :param delays_s: shortest and longest time that a message takes.
    """

    def __init__(
        self,
        names: t.Sequence[str],
        bundle: Bundle,
        seed: int,
        delays_s: t.Tuple[float, float] = (0.0005, 0.002),
    ) -> None:
        self.clock = LoopClock(asyncio.get_running_loop())
        self.rng = random.Random(seed)
        self.delays_s = delays_s
        #: Whether messages between entries are lost.
        self.cut = False
        self.entries = [LendingEntry(self, name) for name in names]
        self.by_id = {entry.entry_id: entry for entry in self.entries}
        for entry in self.entries:
            entry.start(bundle, names)
        self._ticking = asyncio.ensure_future(self._tick())

    async def _tick(self) -> None:
        while True:
            for entry in self.entries:
                entry.tick()
            await asyncio.sleep(TICK_S * self.rng.uniform(0.9, 1.1))

    async def carry(self) -> None:
        """Waits as long as a message is under way.

        :raises PeerUnreachableError: if it is lost.
        """
        await asyncio.sleep(self.rng.uniform(*self.delays_s))
        if self.cut:
            raise PeerUnreachableError("cut off")

    async def messages(self) -> None:
        """Waits until the messages that are under way, and their answers, have arrived."""
        await asyncio.sleep(4 * self.delays_s[1])

    async def settle(self) -> None:
        """Waits until all slots may be used."""
        await asyncio.sleep(SETTLE_S)

    async def reserve(self, entry: LendingEntry) -> FleetReservation:
        return await entry.node.steering.reserve(
            COSECHA,
            SERVICE,
            tried=(),
            deadline=self.clock.monotonic() + TIMEOUT_S,
            body_bytes=0,
        )

    async def read(self, entry: LendingEntry, seconds: float = 0.02) -> bool:
        """Sends a read that takes so long through an entry; whether it was not refused."""
        try:
            reservation = await self.reserve(entry)
        except RefusedError:
            return False
        entry.node.steering.check(reservation)
        await asyncio.sleep(seconds)
        entry.node.steering.finish(reservation, AttemptResult.ANSWERED, seconds, None)
        entry.node.steering.release(reservation)
        return True

    async def close(self) -> None:
        self._ticking.cancel()
        for entry in self.entries:
            await entry.loans.close()
