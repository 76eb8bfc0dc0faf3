"""The platform in memory: transactions, change feed, faults and the VM list's lag."""

import asyncio
import typing as t
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from coralfall.exceptions import PlatformUnavailableError, PlatformUnknownError
from coralfall.ids import Revision, VmId, VmState, ZoneId
from coralfall.process.clock import ManualClock
from coralfall.stores.memory_platform import FaultMode, Faults, MemoryPlatform, ServiceFault
from coralfall.stores.store import Check, Row, Vm, Write

KEYS = ("a/1", "a/2", "b/1")
WRITES = st.builds(
    Write,
    key=st.sampled_from(KEYS),
    value=st.one_of(st.none(), st.binary(max_size=2)),
    expected=st.one_of(st.none(), st.integers(0, 6)),
)
CHECKS = st.builds(Check, key=st.sampled_from(KEYS), expected=st.integers(0, 6))
CALLS = st.lists(
    st.tuples(
        st.lists(WRITES, max_size=3, unique_by=lambda w: w.key), st.lists(CHECKS, max_size=1)
    ),
    max_size=12,
)


class TestMemoryTable(unittest.IsolatedAsyncioTestCase):
    @given(calls=CALLS, since=st.integers(0, 6), limit=st.integers(1, 4))
    @settings(derandomize=True, deadline=None, max_examples=300)
    def test_does_as_a_log_of_whole_tables_does(
        self, calls: t.List[t.Any], since: int, limit: int
    ) -> None:
        asyncio.run(self._compare(calls, since, limit))

    async def _compare(self, calls: t.List[t.Any], since: int, limit: int) -> None:
        table = MemoryPlatform(ManualClock()).platform.table
        log: t.List[t.Dict[str, Row]] = [{}]
        for writes, checks in calls:
            result = await table.transact(writes, checks)
            naive = _naive_transact(log[-1], writes, checks, len(log))
            self.assertEqual(result.committed, naive is not None)
            if naive is not None and writes:
                log.append(naive)
            self.assertEqual(result.revision, len(log) - 1)
        live = {key: row for key, row in log[-1].items() if row.value is not None}
        self.assertEqual(await table.read(KEYS), live)
        expected = [row for row in log[-1].values() if row.revision > since]
        changes = await table.changes(["a/", "b/"], Revision(since))
        self.assertEqual(sorted(changes.rows, key=_by_key), sorted(expected, key=_by_key))
        self.assertEqual(await self._paged(table, since, limit), changes.rows)

    async def _paged(self, table: t.Any, since: int, limit: int) -> t.Tuple[Row, ...]:
        rows: t.Tuple[Row, ...] = ()
        more = True
        while more:
            page = await table.changes(["a/", "b/"], since, limit)
            rows += page.rows
            since, more = page.revision, page.more
        return rows

    async def test_a_prefix_selects_rows(self) -> None:
        table = MemoryPlatform().platform.table
        await table.transact([Write("a/1", b""), Write("b/1", b"")])
        changes = await table.changes(["b/"], Revision(0))
        self.assertEqual([row.key for row in changes.rows], ["b/1"])

    async def test_conflicts_show_rows_as_they_are(self) -> None:
        table = MemoryPlatform().platform.table
        await table.transact([Write("a", b"x")])
        result = await table.transact([Write("a", b"y", 0), Write("b", b"y", 3)])
        self.assertFalse(result.committed)
        self.assertEqual(result.conflicts, (Row("a", b"x", 1), Row("b", None, 0)))


class TestFaults(unittest.IsolatedAsyncioTestCase):
    @parameterized.expand(
        [
            (FaultMode.UP, None, True),
            (FaultMode.SLOW, None, True),
            (FaultMode.DOWN, PlatformUnavailableError, False),
            (FaultMode.ANSWER_LOST, PlatformUnknownError, True),
            (FaultMode.CALL_LOST, PlatformUnknownError, False),
        ]
    )
    async def test_write(self, mode: FaultMode, error: t.Any, effect: bool) -> None:
        memory = MemoryPlatform()
        memory.set_faults(Faults(table=ServiceFault(mode=mode, calls=1)))
        try:
            await memory.platform.table.transact([Write("a", b"")])
        except (PlatformUnavailableError, PlatformUnknownError) as caught:
            self.assertIs(type(caught), error)
        else:
            self.assertIsNone(error)
        self.assertEqual(bool(await memory.platform.table.read(["a"])), effect)

    async def test_services_fail_apart(self) -> None:
        memory = MemoryPlatform()
        memory.set_faults(Faults(vms=ServiceFault(mode=FaultMode.DOWN)))
        await memory.platform.table.read(["a"])
        with self.assertRaises(PlatformUnavailableError):
            await memory.platform.vms.list()


class TestMemoryVmList(unittest.IsolatedAsyncioTestCase):
    async def test_shows_news_after_the_lag(self) -> None:
        clock = ManualClock()
        memory = MemoryPlatform(clock)
        vm = Vm(VmId("vm-1"), ZoneId("sierra-a"), VmState.LIVE)
        memory.set_vm(vm)
        memory.set_faults(Faults(vm_list_lag_s=5.0))
        memory.remove_vm(vm.vm_id)
        self.assertEqual(await memory.platform.vms.list(), {vm.vm_id: vm})
        clock.advance(4.9)
        self.assertEqual(await memory.platform.vms.list(), {vm.vm_id: vm})
        clock.advance(0.1)
        self.assertEqual(await memory.platform.vms.list(), {})


def _naive_transact(
    table: t.Dict[str, Row], writes: t.List[Write], checks: t.List[Check], revision: int
) -> t.Optional[t.Dict[str, Row]]:
    for wanted in [*writes, *checks]:
        row = table.get(wanted.key)
        found = 0 if row is None or row.value is None else row.revision
        if wanted.expected not in (None, found):
            return None
    rows = [Row(write.key, write.value, Revision(revision)) for write in writes]
    return {**table, **{row.key: row for row in rows}}


def _by_key(row: Row) -> str:
    return row.key
