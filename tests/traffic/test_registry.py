"""Tests of the entries' rows in the platform's store."""

import asyncio
import typing as t
import unittest

import msgspec
from parameterized import parameterized

from coralfall import defaults
from coralfall.ids import EntryId, Era, Revision
from coralfall.process.clock import ManualClock
from coralfall.stores.memory_platform import Counters, FaultMode, MemoryTable, ServiceFault
from coralfall.stores.store import Changes, Feed, Write
from coralfall.traffic.registry import Registry
from tests.traffic.entry_fixture import EntryFixture, JsonRowCodec
from tests.traffic.makers import make_record, seeded_rng

PREFIX = JsonRowCodec.entry_prefix


class TableFeed(Feed):
    """Feed of a table in memory."""

    def __init__(self, table: MemoryTable) -> None:
        self._table = table

    async def snapshot(self, prefix: str) -> Changes:
        return await self._table.changes((prefix,), Revision(0))

    async def follow(self, prefix: str, since: Revision, wait_s: float) -> Changes:
        raise AssertionError("the registry reads snapshots only")


class BarrierFeed(TableFeed):
    """Holds the first two reads until both were made, so that two entries start together."""

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
        self.entries = {name: EntryFixture(name, self.clock) for name in ("e1", "e2", "e3")}
        feed = TableFeed(self.table)
        self.registries = {
            name: Registry(
                feed, self.table, JsonRowCodec(), entry.members, self.clock, seeded_rng()
            )
            for name, entry in self.entries.items()
        }

    async def test_of_two_entries_that_start_together_one_finds_the_other(self) -> None:
        feed = BarrierFeed(self.table)
        registries = [
            Registry(
                feed,
                self.table,
                JsonRowCodec(),
                self.entries[name].members,
                self.clock,
                seeded_rng(),
            )
            for name in ("e1", "e2")
        ]
        await asyncio.gather(*[registry.register() for registry in registries])
        ids = [set(self.entries[name].members.known_ids()) for name in ("e1", "e2")]
        self.assertIn({EntryId("e1"), EntryId("e2")}, ids)

    async def register(self, *names: str) -> None:
        for name in names:
            await self.registries[name].register()

    async def rows(self) -> t.Dict[str, Revision]:
        """Returns the revisions of the entries' rows by entry id."""
        changes = await self.table.changes((PREFIX,), Revision(0))
        return {
            row.key.removeprefix(PREFIX): row.revision
            for row in changes.rows
            if row.value is not None
        }

    async def test_entries_that_register_know_all_rows_and_gossip_them(self) -> None:
        for name, registry in self.registries.items():
            registry.on_read = self.entries[name].state_view.apply_entry_snapshot
        await self.register("e1", "e2")
        first, second = (self.entries[name].exchange for name in ("e1", "e2"))
        self.assertEqual({"e1"}, self.entries["e1"].state_view.registered_ids())
        self.clock.advance(3.0)
        self.assertAlmostEqual(3.0, self.entries["e1"].state_view.entries_age_s(), delta=0.01)
        first.merge(second.build_reply(first.build_update()), self.clock.now)
        self.assertEqual({"e1", "e2"}, self.entries["e1"].state_view.registered_ids())
        await self.registries["e2"].unregister()
        await self.registries["e3"].register()
        third = self.entries["e3"].exchange
        first.merge(third.build_reply(first.build_update()), self.clock.now)
        self.assertEqual({"e1", "e3"}, self.entries["e1"].state_view.registered_ids())
        self.assertAlmostEqual(0.0, self.entries["e1"].state_view.entries_age_s(), delta=0.01)

    async def test_an_entry_that_starts_cut_off_from_the_store_counts_those_it_does_not_reach(
        self,
    ) -> None:
        """Guards against two sides of a cut that each have the whole of a limit."""
        for name, registry in self.registries.items():
            registry.on_read = self.entries[name].state_view.apply_entry_snapshot
        await self.register("e1", "e2", "e3")
        reached = self.entries["e3"]
        for _ in range(2):
            started = EntryFixture("e2", self.clock)
            reply = reached.exchange.build_reply(started.exchange.build_update())
            started.exchange.merge(reply, self.clock.now)
            self.assertEqual(3, started.members.sharing_count())
            reached = started

    async def test_forgotten_entries_share_limits_for_as_long_as_they_have_rows(self) -> None:
        entry = self.entries["e3"]
        self.registries["e3"].on_read = entry.state_view.apply_entry_snapshot
        await self.register("e1", "e2", "e3")
        self.clock.advance(2 * defaults.DEAD_ENTRY_RETENTION_S)
        entry.members.start_round()
        self.assertEqual((1, 3), (entry.members.fleet_size(), entry.members.sharing_count()))
        await self.registries["e2"].unregister()
        await self.registries["e3"].register()
        self.clock.advance(2 * defaults.DEAD_ENTRY_RETENTION_S)
        entry.members.start_round()
        self.assertEqual(2, entry.members.sharing_count())

    @parameterized.expand(
        [
            # name, era of the rows, its age, whether the row is there, stops, is written again
            ("lost", 2, 0.0, False, False, True),
            ("deleted soon after the era began", 1, 5.0, False, False, True),
            ("in the copy", 2, 0.0, True, False, False),
            ("deleted in the same era", 1, 60.0, False, False, False),
            ("lost, and the entry stops", 2, 0.0, False, True, False),
        ]
    )
    async def test_a_row_that_the_store_has_lost(
        self, _name: str, era: int, age_s: float, there: bool, stops: bool, again: bool
    ) -> None:
        registry = self.registries["e1"]
        await self.register("e1")
        registry._row_era = Era(1)
        ids = {EntryId("e1")} if there else set()
        if not there:
            await self.table.transact([Write(PREFIX + "e1", None)])
        if stops:
            self.entries["e1"].members.update_own(leaving=True)
        await registry.restore_row(ids, Era(era), age_s)
        self.assertEqual(there or again, "e1" in await self.rows())

    def exchange_records(self, *names: str) -> None:
        """Lets these entries exchange records, so that they hold each other alive."""
        owns = [self.entries[name].members.own_record for name in names]
        # Entries known from rows alone are dead; a higher beat refutes that.
        records = [msgspec.structs.replace(own, beat=own.beat + 1) for own in owns]
        for name in names:
            self.entries[name].members.merge_records(records)

    def forget(self, *names: str) -> None:
        """Lets these entries forget all others, which have been dead for long."""
        self.clock.advance(defaults.DEAD_ENTRY_RETENTION_S + 10.0)
        for name in names:
            members = self.entries[name].members
            members.start_round()
            members.start_round()

    async def reconcile(self, *names: str) -> None:
        for name in names:
            await self.registries[name].reconcile()

    async def test_an_entry_that_starts_discovers_the_registered_ones(self) -> None:
        await self.register("e1", "e2")
        self.assertEqual({"e1", "e2"}, self.entries["e2"].members.known_ids())
        self.assertEqual({"e1"}, self.entries["e1"].members.known_ids())
        await self.registries["e1"].unregister()
        self.assertEqual({"e2"}, set(await self.rows()))

    async def test_a_row_that_can_t_be_decoded_is_skipped(self) -> None:
        await self.table.transact([Write(PREFIX + "bad", b"no record")])
        await self.register("e1")
        await self.reconcile("e1")
        await self.reconcile("e1")
        self.assertEqual({"bad", "e1"}, set(await self.rows()))

    async def test_the_row_of_an_entry_that_is_lost_for_good_is_deleted(self) -> None:
        await self.register("e3", "e1")
        self.forget("e1")
        self.assertEqual({"e1"}, self.entries["e1"].members.known_ids())
        await self.reconcile("e1")
        # The entry is added as a member and probed first.
        self.assertEqual({"e1", "e3"}, set(await self.rows()))
        self.assertEqual({"e1", "e3"}, self.entries["e1"].members.known_ids())
        self.forget("e1")
        await self.reconcile("e1")
        self.assertEqual({"e1"}, set(await self.rows()))

    @parameterized.expand(
        [("of an entry that is heard of", True), ("of one that has restarted", False)]
    )
    async def test_the_row_is_kept(self, _name: str, heard: bool) -> None:
        await self.register("e3", "e1")
        self.forget("e1")
        await self.reconcile("e1")
        self.forget("e1")
        if heard:
            self.entries["e1"].members.merge_records([make_record("e3", beat=5)])
        else:
            await self.register("e3")
        await self.reconcile("e1")
        self.assertEqual({"e1", "e3"}, set(await self.rows()))

    async def test_regions_that_forgot_each_other_reconnect(self) -> None:
        """During a partition each side deletes the other's row and writes its own back."""
        await self.register("e1", "e2")
        self.exchange_records("e1", "e2")
        for name, other in (("e1", "e2"), ("e2", "e1")):
            for _ in range(defaults.SUSPECT_MISSED_PROBES):
                self.entries[name].members.record_probe_failure(make_record(other).peer_address)
        for _ in range(4):
            self.forget("e1", "e2")
            await self.reconcile("e1", "e2")
            own = [name for name in ("e1", "e2") if name in await self.rows()]
            self.assertTrue(own)
        self.forget("e1", "e2")
        self.assertEqual(
            [1, 1], [len(self.entries[name].members.known_ids()) for name in ("e1", "e2")]
        )
        for _ in range(2):
            await self.reconcile("e1", "e2")
        # One side is enough: it probes the other, which learns of it by that.
        counts = [len(self.entries[name].members.known_ids()) for name in ("e1", "e2")]
        self.assertEqual(2, max(counts))

    async def test_missing_rows_of_live_entries_are_written_back(self) -> None:
        await self.register("e1", "e2")
        self.exchange_records("e1", "e2")
        for entry in self.entries.values():
            entry.members.update_own(ready=True)
        self.exchange_records("e1", "e2")
        for name in ("e1", "e2"):
            await self.table.transact([Write(PREFIX + name, None)])
        await self.reconcile("e1", "e2")
        self.assertEqual({"e1", "e2"}, set(await self.rows()))

    async def test_only_the_first_in_rank_reconciles(self) -> None:
        await self.register("e1", "e2", "e3")
        self.exchange_records("e1", "e2", "e3")
        before = self.table._counters.table_reads
        await self.reconcile("e1", "e2", "e3")
        self.assertEqual(before + 1, self.table._counters.table_reads)

    async def test_registration_is_retried_during_an_outage(self) -> None:
        self.table.gate.set(ServiceFault(mode=FaultMode.DOWN, calls=2))
        await asyncio.wait_for(self.registries["e1"].register(), 5.0)
        self.assertEqual({EntryId("e1")}, set(await self.rows()))
