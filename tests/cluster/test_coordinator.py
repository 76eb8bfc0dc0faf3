"""The coordinator's duty: fenced, taken over, and blind to nobody."""

import asyncio
import typing as t
import unittest

from coralfall.bundles import line
from coralfall.process import log
from coralfall.settings import LogSettings
from tests import operators
from tests.control_fleet import LEASE, LiveNode, World
from tests.virtual_loop import on_virtual_time


def holder(world: World) -> LiveNode:
    """The node that holds the duty."""
    for node in world.nodes_by_id.values():
        row = node.node.membership.coordinator
        if row is not None and row.entry_id == node.entry_id:
            return node
    raise AssertionError("nobody holds the duty")


class TestCoordinator(unittest.TestCase):
    def setUp(self) -> None:
        log.configure(LogSettings(level="error"))

    @on_virtual_time
    async def test_another_takes_over_after_the_holder_died(self) -> None:
        world = World(1)
        await world.start_all(4)
        first = holder(world)
        world.kill(first.entry_id)
        self.assertTrue(await world.submit(1, "ana"))
        await asyncio.sleep(4 * LEASE.ttl_s)
        for node in world.nodes_by_id.values():
            self.assertNotIn(first.entry_id, node.node.roster.by_id)
            self.assertEqual(node.in_force, 1)

    @on_virtual_time
    async def test_member_that_stands_still_stays_while_its_vm_is_listed(self) -> None:
        world = World(2)
        await world.start_all(3)
        quiet = world.start("quiet")
        await asyncio.sleep(5)
        quiet.stop()
        await asyncio.sleep(6 * LEASE.ttl_s)
        self.assertIn(quiet.entry_id, holder(world).node.roster.by_id)
        world.memory.remove_vm(quiet.vm_id)
        await asyncio.sleep(2 * LEASE.ttl_s)
        self.assertNotIn(quiet.entry_id, holder(world).node.roster.by_id)

    @on_virtual_time
    async def test_holder_that_lost_the_duty_can_not_accept(self) -> None:
        world = World(3)
        await world.start_all(3)
        old = holder(world)
        old.stop()
        self.assertTrue(await world.submit(1, "ana"))
        staged = (await line.read_head(world.memory.platform, operators.COSECHA)).head
        await asyncio.sleep(3 * LEASE.ttl_s)
        rollout = old.node.rollouts[operators.COSECHA]
        new = [node for node in world.nodes_by_id.values() if node is not old]
        self.assertTrue(any(_holds_duty(node) for node in new))
        # The old holder goes on where it stopped: its look at the leases is stale.
        row = await line.read_head(world.memory.platform, operators.COSECHA)
        self.assertEqual(row.head, staged)
        rollout.learn_from_table(row.head, row.revision)
        await old.node.coordinator._read_leases()
        for lease in old.node.coordinator._leases_by_id.values():
            lease.staged[operators.COSECHA] = staged.staged.version  # type: ignore[union-attr]
        assert staged.staged is not None
        await old.node.coordinator._accept_if_staged(rollout, staged.staged)
        self.assertIsNone(await world.accepted())

    @on_virtual_time
    async def test_member_that_joins_without_the_staged_bundle_is_waited_for(self) -> None:
        world = World(4)
        await world.start_all(2)
        self.assertTrue(await world.submit(1, "ana"))
        await asyncio.sleep(10)
        looker = holder(world)
        blind = world.start("blind")
        blind.node.staging.fill = _no_staging(blind, 2)  # type: ignore[method-assign]
        await world.stage_only(2)
        stale = (await line.read_head(world.memory.platform, operators.COSECHA)).revision
        await _joined(blind)
        now = (await line.read_head(world.memory.platform, operators.COSECHA)).revision
        self.assertGreater(now, stale)
        await asyncio.sleep(5)
        self.assertIn(blind.entry_id, looker.node.roster.by_id)
        accepted = await world.accepted()
        assert accepted is not None
        self.assertEqual(accepted.version, 1)


async def _joined(node: LiveNode) -> None:
    while True:
        if node.node.membership.member is not None:
            return
        await asyncio.sleep(0.05)


def _holds_duty(node: LiveNode) -> bool:
    row = node.node.membership.coordinator
    return row is not None and row.entry_id == node.entry_id


def _no_staging(node: LiveNode, version: int) -> t.Any:
    fill = node.node.staging.fill

    async def without(rollout: t.Any) -> bool:
        wanted = rollout.missing
        rollout.missing = lambda: [ref for ref in wanted() if ref.version != version]
        try:
            return await fill(rollout)
        finally:
            rollout.missing = wanted

    return without
