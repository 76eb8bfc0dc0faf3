"""Joining the roster: never past a head that the entry has not read."""

import asyncio
import unittest

import msgspec
from parameterized import parameterized

from coralfall.bundles.bundle import Head, VersionRef, encode
from coralfall.cluster.rows import head_key, roster_key
from coralfall.ids import BundleVersion, Digest, EntryId, Revision
from coralfall.process.clock import ManualClock
from coralfall.stores.memory_platform import MemoryPlatform
from coralfall.stores.store import Write
from tests import operators
from tests.control_fleet import make_still_node
from tests.members import make_member
from tests.older_copy import copy_of, restore

KEY = head_key(operators.COSECHA)


def make_head(version: int) -> Head:
    ref = VersionRef(version=BundleVersion(version), digest=Digest(f"{version:064x}"))
    return Head(partner=operators.COSECHA, accepted=ref)


class JoinTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(1000.0)
        platform = MemoryPlatform(self.clock).platform
        self.table = platform.table
        self.node = make_still_node(self.clock, platform)

    async def write(self, version: int) -> Revision:
        """Move the head, as an operator or the coordinator does; its row's revision."""
        await self.table.transact([Write(KEY, encode(make_head(version)))])
        return await self.revision()

    async def revision(self) -> Revision:
        return (await self.table.read([KEY]))[KEY].revision

    def test_a_member_that_joins_after_the_table_lost_rows_is_known(self) -> None:
        asyncio.run(self._check_member_after_loss())

    async def _check_member_after_loss(self) -> None:
        membership = self.node.membership
        copy = copy_of(self.table)
        for name in ("b", "c", "d"):
            await self.put_member(name)
        await membership.poll()
        restore(self.table, copy)
        await self.put_member("e")
        await membership.poll()
        self.assertIn(EntryId("e"), self.node.roster.by_id)

    def test_an_entry_whose_rows_the_table_lost_joins_again(self) -> None:
        asyncio.run(self._check_own_rows_lost())

    async def _check_own_rows_lost(self) -> None:
        membership = self.node.membership
        await self.write(1)
        await membership.poll()
        self.hold()
        copy = copy_of(self.table)
        self.assertTrue(await membership.join(make_member("a")))
        restore(self.table, copy)
        await membership.poll()
        self.assertIsNone(membership.member)
        self.assertFalse(self.node.lease.may_dispatch())
        self.assertTrue(await membership.join(make_member("a")))
        assert membership.member is not None
        self.assertEqual(2, membership.member.incarnation)

    async def put_member(self, name: str) -> None:
        value = msgspec.msgpack.encode(make_member(name))
        await self.table.transact([Write(roster_key(EntryId(name)), value)])

    def hold(self) -> None:
        rollout = self.node.rollouts[operators.COSECHA]
        for ref in rollout.missing():
            rollout.hold(ref, operators.make_bundle(ref.version))

    @parameterized.expand(
        [
            ("first_head", 0, True),
            ("later_head", 1, True),
            ("later_head_and_nothing_held", 1, False),
        ]
    )
    def test_not_past_a_head_that_moved(self, _name: str, before: int, held: bool) -> None:
        asyncio.run(self._check_moved_head(before, held))

    async def _check_moved_head(self, before: int, held: bool) -> None:
        membership = self.node.membership
        if before:
            await self.write(before)
            await membership.poll()
        if held:
            self.hold()
        moved = await self.write(before + 1)
        self.assertFalse(await membership.join(make_member("a")))
        self.assertIsNone(membership.member)
        # Nothing was written, and the next try, with the head read, goes through.
        self.assertEqual(await self.revision(), moved)
        await membership.poll()
        self.hold()
        self.assertTrue(await membership.join(make_member("a")))

    @parameterized.expand([("held", True), ("not_held", False)])
    def test_moves_a_head_whose_bundle_it_lacks(self, _name: str, held: bool) -> None:
        # So that whoever would accept it, not knowing of the newcomer, fails.
        async def check() -> None:
            before = await self.write(1)
            await self.node.membership.poll()
            if held:
                self.hold()
            self.assertTrue(await self.node.membership.join(make_member("a")))
            self.assertEqual(await self.revision() == before, held)
            self.assertEqual(self.node.rollouts[operators.COSECHA].head, make_head(1))

        asyncio.run(check())
