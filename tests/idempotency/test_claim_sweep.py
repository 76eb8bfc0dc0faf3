"""Removal of old claim rows: which go, which stay, and how much one round does."""

import typing as t
import unittest

import msgspec
from parameterized import parameterized

from coralfall.cluster.rows import CLAIM_PREFIX, ClaimRow, ClaimState
from coralfall.exceptions import PlatformError
from coralfall.idempotency.claim_sweep import ClaimSweeper
from coralfall.process.clock import ManualClock
from coralfall.stores.era_table import EraTable
from coralfall.stores.memory_platform import FaultMode, Faults, MemoryPlatform, ServiceFault
from coralfall.stores.store import Write
from tests.older_copy import copy_of, restore

RETENTION_S = 100.0


class TestClaimSweeper(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.memory = MemoryPlatform(self.clock)
        self.table = self.memory.platform.table
        self.sweeper = ClaimSweeper(self.table, RETENTION_S, limit=4)

    async def _write(self, *names: str, value: t.Optional[bytes] = None) -> None:
        row = ClaimRow(
            state=ClaimState.DONE, claim_id="", attempt=1, fingerprint="", at=self.clock.wall()
        )
        value = value or msgspec.msgpack.encode(row)
        await self.table.transact([Write(CLAIM_PREFIX + name, value) for name in names])

    async def _left(self) -> t.Set[str]:
        names = [CLAIM_PREFIX + letter for letter in "abcdefgh"]
        return {key[len(CLAIM_PREFIX) :] for key in await self.table.read(names)}

    @parameterized.expand([(RETENTION_S - 1, {"a", "b"}), (RETENTION_S, set())])
    async def test_age(self, age: float, left: t.Set[str]) -> None:
        await self._write("a", "b")
        self.clock.advance(age)
        self.assertEqual(await self.sweeper.sweep(), 2 - len(left))
        self.assertEqual(await self._left(), left)

    async def test_a_round_is_bounded(self) -> None:
        for letter in "abcdef":
            await self._write(letter)
        self.clock.advance(RETENTION_S)
        self.assertEqual([await self.sweeper.sweep() for _ in range(3)], [4, 2, 0])

    async def test_a_row_written_again_stays(self) -> None:
        await self._write("a", "b")
        self.clock.advance(RETENTION_S - 1)
        await self._write("a")
        self.clock.advance(1)
        self.assertEqual(await self.sweeper.sweep(), 1)
        self.assertEqual(await self._left(), {"a"})
        self.clock.advance(RETENTION_S)
        self.assertEqual(await self.sweeper.sweep(), 1)

    async def test_rows_below_the_last_sweep_go_once_the_table_lost_rows(self) -> None:
        sweeper = ClaimSweeper(EraTable(self.table), RETENTION_S)
        copy = copy_of(self.table)
        await self._write("a")
        await self._write("b")
        self.clock.advance(RETENTION_S)
        self.assertEqual(2, await sweeper.sweep())
        restore(self.table, copy)
        await self._write("c")
        self.clock.advance(RETENTION_S)
        self.assertEqual(1, await sweeper.sweep())
        self.assertEqual(set(), await self._left())

    async def test_a_young_row_of_an_old_transaction_is_come_back_to(self) -> None:
        old = ClaimRow(state=ClaimState.DONE, claim_id="", attempt=1, fingerprint="", at=0.0)
        young = msgspec.structs.replace(old, at=1.0)
        writes = [
            Write(CLAIM_PREFIX + "a", msgspec.msgpack.encode(old)),
            Write(CLAIM_PREFIX + "b", msgspec.msgpack.encode(young)),
        ]
        await self.table.transact(writes)
        self.clock.advance(RETENTION_S)
        self.assertEqual(await self.sweeper.sweep(), 1)
        self.clock.advance(1)
        self.assertEqual(await self.sweeper.sweep(), 1)

    async def test_an_unreadable_row_stays_and_stops_nothing(self) -> None:
        await self._write("a", value=b"\xc1")
        await self._write("b")
        self.clock.advance(RETENTION_S)
        self.assertEqual(await self.sweeper.sweep(), 1)
        self.assertEqual(await self._left(), {"a"})

    @parameterized.expand([(FaultMode.DOWN,), (FaultMode.ANSWER_LOST,), (FaultMode.CALL_LOST,)])
    async def test_goes_on_after_a_fault(self, mode: FaultMode) -> None:
        await self._write("a")
        self.clock.advance(RETENTION_S)
        self.memory.set_faults(Faults(table=ServiceFault(mode=mode)))
        with self.assertRaises(PlatformError):
            await self.sweeper.sweep()
        self.memory.set_faults(Faults())
        await self.sweeper.sweep()
        self.assertEqual(await self._left(), set())

    async def test_other_rows_are_left_alone(self) -> None:
        await self.table.transact([Write("head/cosecha", b"")])
        self.clock.advance(RETENTION_S)
        self.assertEqual(await self.sweeper.sweep(), 0)
