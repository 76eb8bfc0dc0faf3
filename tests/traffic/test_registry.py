"""Tests of the entries' rows in the platform's store."""

import asyncio
import typing as t
import unittest

import msgspec
from parameterized import parameterized

from coralfall import defaults
from coralfall.ids import EntryId, Revision
from coralfall.process.clock import ManualClock
from coralfall.stores.memory_platform import Counters, FaultMode, MemoryTable, ServiceFault
from coralfall.stores.store import Changes, Feed, Write
from coralfall.traffic.registry import Registry
from tests.traffic.entry_fixture import EntryFixture, JsonRowCodec
from tests.traffic.makers import make_record, seeded_rng

PREFIX = JsonRowCodec.entry_prefix


class TableFeed(Feed):
    """Reads a table in memory."""

    def __init__(self, table: MemoryTable) -> None:
        self._table = table

    async def snapshot(self, prefix: str) -> Changes:
        return await self._table.changes((prefix,), Revision(0))

    async def follow(self, prefix: str, since: Revision, wait_s: float) -> Changes:
        raise AssertionError("not asked for")


class TogetherFeed(TableFeed):
    """Lets the first reads of two entries pass before either writes."""

    def __init__(self, table: MemoryTable) -> None:
        super().__init__(table)
        self._barrier = asyncio.Barrier(2)
        self._reads = 0

    async def snapshot(self, prefix: str) -> Changes:
        changes = await super().snapshot(prefix)
        self._reads += 1
        if self._reads <= 2:
            await self._barrier.wait()
        return changes


class RegistryTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.table = MemoryTable(self.clock, Counters())
        self.known = {name: EntryFixture(name, self.clock) for name in ("e1", "e2", "e3")}
        feed = TableFeed(self.table)
        self.registries = {
            name: Registry(feed, self.table, JsonRowCodec(), known.members, seeded_rng())
            for name, known in self.known.items()
        }

    async def test_entries_that_start_at_the_same_moment_know_of_each_other(self) -> None:
        feed = TogetherFeed(self.table)
        registries = [
            Registry(feed, self.table, JsonRowCodec(), self.known[name].members, seeded_rng())
            for name in ("e1", "e2")
        ]
        await asyncio.gather(*[registry.register() for registry in registries])
        ids = [set(self.known[name].members.known_ids()) for name in ("e1", "e2")]
        self.assertIn({EntryId("e1"), EntryId("e2")}, ids)

    async def register(self, *names: str) -> None:
        for name in names:
            await self.registries[name].register()

    async def rows(self) -> t.Dict[str, Revision]:
        """Revisions by entry."""
        changes = await self.table.changes((PREFIX,), Revision(0))
        return {
            row.key.removeprefix(PREFIX): row.revision
            for row in changes.rows
            if row.value is not None
        }

    def meet(self, *names: str) -> None:
        """Let these hear each other live."""
        owns = [self.known[name].members.own_record for name in names]
        # A new beat refutes that they are dead, as which the store's rows make them known.
        records = [msgspec.structs.replace(own, beat=own.beat + 1) for own in owns]
        for name in names:
            self.known[name].members.merge_records(records)

    def forget(self, *names: str) -> None:
        """Let these forget all whom they don't hear."""
        self.clock.advance(defaults.DEAD_ENTRY_RETENTION_S + 10.0)
        for name in names:
            members = self.known[name].members
            members.start_round()
            members.start_round()

    async def reconcile(self, *names: str) -> None:
        for name in names:
            await self.registries[name].reconcile()

    async def test_one_that_starts_knows_those_that_are_there(self) -> None:
        await self.register("e1", "e2")
        self.assertEqual({"e1", "e2"}, self.known["e2"].members.known_ids())
        self.assertEqual({"e1"}, self.known["e1"].members.known_ids())
        await self.registries["e1"].unregister()
        self.assertEqual({"e2"}, set(await self.rows()))

    async def test_a_row_that_can_t_be_read_is_passed_over(self) -> None:
        await self.table.transact([Write(PREFIX + "bad", b"no record")])
        await self.register("e1")
        await self.reconcile("e1")
        await self.reconcile("e1")
        self.assertEqual({"bad", "e1"}, set(await self.rows()))

    async def test_the_row_of_one_that_is_lost_for_good_goes(self) -> None:
        await self.register("e3", "e1")
        self.forget("e1")
        self.assertEqual({"e1"}, self.known["e1"].members.known_ids())
        await self.reconcile("e1")
        # It is asked for a while first.
        self.assertEqual({"e1", "e3"}, set(await self.rows()))
        self.assertEqual({"e1", "e3"}, self.known["e1"].members.known_ids())
        self.forget("e1")
        await self.reconcile("e1")
        self.assertEqual({"e1"}, set(await self.rows()))

    @parameterized.expand([("that is heard of", True), ("that has started anew", False)])
    async def test_the_row_of_one_stays(self, _name: str, heard: bool) -> None:
        await self.register("e3", "e1")
        self.forget("e1")
        await self.reconcile("e1")
        self.forget("e1")
        if heard:
            self.known["e1"].members.merge_records([make_record("e3", beat=5)])
        else:
            await self.register("e3")
        await self.reconcile("e1")
        self.assertEqual({"e1", "e3"}, set(await self.rows()))

    async def test_regions_that_forgot_each_other_meet_again(self) -> None:
        """Each side removes the other's row and writes its own back, while they are cut."""
        await self.register("e1", "e2")
        self.meet("e1", "e2")
        for name, other in (("e1", "e2"), ("e2", "e1")):
            for _ in range(defaults.SUSPECT_MISSED_PROBES):
                self.known[name].members.record_probe_failure(make_record(other).peer_address)
        for _ in range(4):
            self.forget("e1", "e2")
            await self.reconcile("e1", "e2")
            own = [name for name in ("e1", "e2") if name in await self.rows()]
            self.assertTrue(own)
        self.forget("e1", "e2")
        self.assertEqual(
            [1, 1], [len(self.known[name].members.known_ids()) for name in ("e1", "e2")]
        )
        for _ in range(2):
            await self.reconcile("e1", "e2")
        # One that is known is asked, and who asks is heard of.
        known = [len(self.known[name].members.known_ids()) for name in ("e1", "e2")]
        self.assertEqual(2, max(known))

    async def test_rows_of_the_living_come_back(self) -> None:
        await self.register("e1", "e2")
        self.meet("e1", "e2")
        for known in self.known.values():
            known.members.update_own(ready=True)
        self.meet("e1", "e2")
        for name in ("e1", "e2"):
            await self.table.transact([Write(PREFIX + name, None)])
        await self.reconcile("e1", "e2")
        self.assertEqual({"e1", "e2"}, set(await self.rows()))

    async def test_only_the_first_in_rank_does_it(self) -> None:
        await self.register("e1", "e2", "e3")
        self.meet("e1", "e2", "e3")
        before = self.table._counters.table_reads
        await self.reconcile("e1", "e2", "e3")
        self.assertEqual(before + 1, self.table._counters.table_reads)

    async def test_an_outage_at_the_start_is_waited_out(self) -> None:
        self.table.gate.set(ServiceFault(mode=FaultMode.DOWN, calls=2))
        await asyncio.wait_for(self.registries["e1"].register(), 5.0)
        self.assertEqual({EntryId("e1")}, set(await self.rows()))
