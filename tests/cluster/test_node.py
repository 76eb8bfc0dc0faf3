"""Rollouts over many nodes: accepted is in force everywhere within seconds, and stays."""

import asyncio
import typing as t
import unittest

from parameterized import parameterized

from coralfall.ids import EntryId, Revision, TargetId
from coralfall.process import log
from coralfall.settings import LogSettings
from tests.control_fleet import LEASE, LiveNode, World
from tests.older_copy import copy_of, restore
from tests.virtual_loop import on_virtual_time

SETTLE_S = 40.0
#: Seconds within which what is accepted has to be in force wherever requests are served.
IN_FORCE_S = 8.0
SEEDS = range(12)


class Watch:
    """Looks at all nodes often and notes what must not be.

    What is accepted must be held by all who serve from that moment on, so that nobody goes
    past its limits; and be in force within seconds of the first moment at which anybody who
    can be reached knows of it. If the answer of the acceptance is lost and the platform goes
    in the same moment, nobody does until it is back.

    :param world: whose nodes.
    """

    def __init__(self, world: World) -> None:
        self.violations: t.List[str] = []
        self._world = world
        self._highest: t.Dict[LiveNode, int] = {}
        self._accepted = 0
        self._accepted_at = 0.0
        #: When it could last not be known: nobody who can be reached had read it.
        self._unknown_at = 0.0
        self._cut_at: t.Dict[LiveNode, float] = {}
        self.task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            await self._look()

    async def _look(self) -> None:
        ref = await self._world.accepted()
        now = self._world.clock.monotonic()
        version = 0 if ref is None else ref.version
        if version < self._accepted:
            self.violations.append(f"{now:.1f}: the table went from {self._accepted} to {version}")
        if version > self._accepted:
            self._accepted = version
            self._accepted_at = now
        nodes = list(self._world.nodes_by_id.values())
        reachable = [node for node in nodes if node.entry_id not in self._world.cut]
        if not any(node.in_force >= self._accepted for node in reachable):
            self._unknown_at = now
        for node in nodes:
            self._look_at(node, now)

    def _look_at(self, node: LiveNode, now: float) -> None:
        for error in node.failures():
            self.violations.append(f"{now:.1f}: {node.entry_id} failed: {error!r}")
        highest = self._highest.get(node, 0)
        if node.in_force < highest:
            self.violations.append(f"{now:.1f}: {node.entry_id} fell from {highest}")
        self._highest[node] = max(highest, node.in_force)
        if not node.serves:
            return
        if node.holds < self._accepted:
            self.violations.append(
                f"{now:.1f}: {node.entry_id} serves with {node.holds}, {self._accepted} is accepted"
            )
        if node.entry_id in self._world.cut:
            self._cut_at[node] = now
        cut_at = self._cut_at.get(node, 0.0)
        since = max(self._accepted_at, self._unknown_at, cut_at)
        if now - since > IN_FORCE_S and node.in_force < self._accepted:
            self.violations.append(f"{now:.1f}: {node.entry_id} is late with {self._accepted}")


class SlotWatch:
    """Looks at all nodes often and notes slots that two of them may use.

    :param world: whose nodes.
    """

    def __init__(self, world: World) -> None:
        self.violations: t.List[str] = []
        self._world = world
        self.task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            self._look(self._world.clock.monotonic())

    def _look(self, now: float) -> None:
        owner_by_slot: t.Dict[t.Tuple[TargetId, int], EntryId] = {}
        for node in self._world.nodes_by_id.values():
            if not node.serves:
                continue
            for slot in _usable_slots(node, now):
                other = owner_by_slot.setdefault(slot, node.entry_id)
                if other != node.entry_id:
                    self.violations.append(f"{now:.1f}: {other} and {node.entry_id} use {slot}")


def _usable_slots(node: LiveNode, now: float) -> t.Iterator[t.Tuple[TargetId, int]]:
    for owned in node.node.slots._inventory.owned_by_target.values():
        for slot in owned.values():
            if slot.blocking_member is None and slot.prior_dispatch_until <= now:
                yield slot.target_id, slot.index


class TestRollout(unittest.TestCase):
    def setUp(self) -> None:
        log.configure(LogSettings(level="error"))

    @on_virtual_time
    async def test_accepted_is_in_force_everywhere(self) -> None:
        world = World(1)
        await world.start_all(6)
        watch = Watch(world)
        for version in (1, 2, 3):
            self.assertTrue(await world.submit(version, "ana"))
            await asyncio.sleep(10)
            for node in world.nodes_by_id.values():
                self.assertEqual(node.in_force, version)
        self.assertEqual(watch.violations, [])

    @on_virtual_time
    async def test_racing_operators_one_wins(self) -> None:
        world = World(2)
        await world.start_all(3)
        won = await asyncio.gather(world.submit(1, "ana", 6), world.submit(1, "bea", 5))
        self.assertEqual(sorted(won), [False, True])

    @on_virtual_time
    async def test_spreads_by_peers_when_the_platform_goes_right_after(self) -> None:
        world = World(3)
        await world.start_all(8)
        self.assertTrue(await world.submit(1, "ana"))
        await _accepted(world, 1)
        world.platform_up = False
        newcomer = world.start("late")
        await asyncio.sleep(IN_FORCE_S)
        for node in world.nodes_by_id.values():
            self.assertEqual(node.in_force, 1, node.entry_id)
        self.assertEqual(newcomer.in_force, 1)
        for _ in range(6):
            await asyncio.sleep(LEASE.ttl_s)
            frozen = [node for node in world.nodes_by_id.values() if node is not newcomer]
            self.assertTrue(all(node.serves for node in frozen))

    @on_virtual_time
    async def test_waits_for_a_member_that_is_cut_off(self) -> None:
        world = World(4)
        await world.start_all(4)
        self.assertTrue(await world.submit(1, "ana"))
        await asyncio.sleep(10)
        watch = Watch(world)
        cut = next(iter(world.nodes_by_id))
        world.cut.add(cut)
        self.assertTrue(await world.submit(2, "ana"))
        await asyncio.sleep(30)
        accepted = await world.accepted()
        assert accepted is not None
        self.assertEqual(accepted.version, 1)
        world.kill(cut)
        await asyncio.sleep(SETTLE_S)
        for node in world.nodes_by_id.values():
            self.assertEqual(node.in_force, 2)
        self.assertEqual(watch.violations, [])

    @on_virtual_time
    async def test_roster_of_a_peer_from_before_the_join_removes_nobody(self) -> None:
        world = World(6)
        world.start("e0")
        await asyncio.sleep(5)
        joining = world.start("e1")
        membership = joining.node.membership
        poll = membership.poll

        async def told_by_a_peer_first() -> None:
            if membership.member is not None:
                row = (await world.memory.platform.table.read(["roster/e1"]))["roster/e1"]
                before = Revision(row.revision - 1)
                others = tuple(world.nodes_by_id[EntryId("e0")].node.roster.by_id.values())
                membership.learn_roster([m for m in others if m.entry_id != "e1"], before)
            await poll()

        membership.poll = told_by_a_peer_first  # type: ignore[method-assign]
        await asyncio.sleep(5)
        assert membership.member is not None
        self.assertEqual(membership.member.incarnation, 2)

    @on_virtual_time
    async def test_leaving_entry_serves_until_it_has_left(self) -> None:
        world = World(5)
        await world.start_all(3)
        self.assertTrue(await world.submit(1, "ana"))
        await asyncio.sleep(10)
        leaving = next(iter(world.nodes_by_id.values()))
        await leaving.node.membership.start_leaving()
        for _ in range(20):
            await asyncio.sleep(LEASE.ttl_s / 4)
            self.assertTrue(leaving.serves)
        await leaving.node.membership.leave()
        self.assertFalse(leaving.serves)

    @parameterized.expand([(seed,) for seed in SEEDS])
    def test_histories_with_faults(self, seed: int) -> None:
        self.check_history(seed)

    @on_virtual_time
    async def check_history(self, seed: int) -> None:
        world = World(seed)
        names = 5
        await world.start_all(names)
        watch = Watch(world)
        operators = asyncio.ensure_future(_operate(world))
        for _ in range(25):
            await asyncio.sleep(world.rng.uniform(0.5, 6))
            names = _disturb(world, names)
        world.trouble = 0.0
        world.platform_up = True
        world.cut.clear()
        operators.cancel()
        await asyncio.sleep(SETTLE_S)
        accepted = await world.accepted()
        assert accepted is not None
        for node in world.nodes_by_id.values():
            self.assertEqual(node.in_force, accepted.version, node.entry_id)
            self.assertTrue(node.serves, node.entry_id)
        self.assertEqual(watch.violations, [])

    @parameterized.expand([(seed,) for seed in SEEDS])
    def test_histories_with_older_copies(self, seed: int) -> None:
        """Guards against entries that never hear of each other again, slots that two entries use
        and versions that are never accepted, once the table has lost rows."""
        self.check_older_copies(seed)

    @on_virtual_time
    async def check_older_copies(self, seed: int) -> None:
        world = World(seed)
        names = 5
        await world.start_all(names)
        self.assertTrue(await world.submit(1, "ana"))
        await _accepted(world, 1)
        slots = SlotWatch(world)
        table = world.memory.platform.table
        for _ in range(6):
            copy = copy_of(table)
            for _ in range(3):
                await asyncio.sleep(world.rng.uniform(0.1, 2))
                names = _disturb(world, names)
            restore(table, copy)
        world.trouble = 0.0
        world.platform_up = True
        world.cut.clear()
        await asyncio.sleep(SETTLE_S)
        self.assertTrue(await world.submit(2, "ana"))
        await asyncio.sleep(SETTLE_S)
        for node in world.nodes_by_id.values():
            self.assertEqual((2, True), (node.in_force, node.serves), node.entry_id)
            self.assertEqual(world.nodes_by_id.keys(), node.node.roster.by_id.keys())
            self.assertEqual([], node.failures())
        self.assertEqual([], slots.violations)


async def _operate(world: World) -> None:
    version = 0
    while True:
        version += 1
        await asyncio.gather(world.submit(version, "ana", 6), world.submit(version, "bea", 5))
        await asyncio.sleep(world.rng.uniform(1, 8))
        await _accepted(world, version)


async def _accepted(world: World, version: int) -> None:
    """Wait until a version is accepted."""
    while True:
        ref = await world.accepted()
        if ref is not None and ref.version >= version:
            return
        await asyncio.sleep(0.05)


def _disturb(world: World, names: int) -> int:
    choice = world.rng.choice(("trouble", "platform", "cut", "kill", "start", "restart"))
    ids = list(world.nodes_by_id)
    if choice == "trouble":
        world.trouble = world.rng.choice((0.0, 0.2, 0.5))
    elif choice == "platform":
        world.platform_up = not world.platform_up
    elif choice == "cut":
        world.cut = set(world.rng.sample(ids, world.rng.randrange(0, 3)))
    elif choice == "kill" and len(ids) > 3:
        world.kill(world.rng.choice(ids))
    elif choice == "restart" and len(ids) > 3:
        entry_id = world.rng.choice(ids)
        world.kill(entry_id)
        world.start(entry_id)
    else:
        world.start(f"e{names}")
        names += 1
    return names
