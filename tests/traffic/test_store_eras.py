"""Tests of a store that comes back from an older copy: which rows are in force, and when."""

import asyncio
import typing as t
import unittest

from parameterized import parameterized

from coralfall.process.clock import Clock
from tests.traffic.store_fleet import BEAT_S, BOUND_S, StoreFleet
from tests.virtual_loop import run_virtual

#: Seconds from the copy to the loss, and for which the store is away.
LOST_S = 4.0
AWAY_S = 0.5


async def drill(fleet: StoreFleet, lost_s: float = LOST_S) -> None:
    """Loses what was written in some seconds, during which the targets go on beating."""
    copy = fleet.store.copy()
    await beat(fleet, lost_s)
    fleet.store.down = True
    await asyncio.sleep(AWAY_S)
    fleet.store.restore(copy)
    fleet.store.down = False


async def beat(fleet: StoreFleet, seconds: float, numbers: t.Sequence[int] = (1, 2)) -> None:
    """Lets time pass, in which targets write their rows."""
    until = fleet.clock.monotonic() + seconds
    while fleet.clock.monotonic() < until:
        for number in numbers:
            fleet.put_target(number)
        await asyncio.sleep(min(BEAT_S, until - fleet.clock.monotonic()))


async def started(clock: Clock, count: int) -> StoreFleet:
    """Returns a fleet that has version 5 in force and two targets."""
    fleet = StoreFleet(clock, count)
    fleet.put_version(5)
    fleet.start()
    await beat(fleet, 3.0)
    return fleet


class OlderCopyTest(unittest.TestCase):
    @parameterized.expand([("twelve", 12)])
    def test_a_change_after_the_loss_is_in_force_in_time(self, _name: str, count: int) -> None:
        async def main(clock: Clock) -> t.List[int]:
            fleet = await started(clock, count)
            await drill(fleet)
            await asyncio.sleep(0.6)
            fleet.put_version(6)
            await asyncio.sleep(BOUND_S)
            return [entry.version for entry in fleet.entries]

        self.assertEqual([6] * count, run_virtual(main))

    @parameterized.expand([("twelve", 12)])
    def test_a_target_that_leaves_after_the_loss_gets_nothing_more(
        self, _name: str, count: int
    ) -> None:
        async def main(clock: Clock) -> t.List[bool]:
            fleet = await started(clock, count)
            await drill(fleet)
            await asyncio.sleep(0.6)
            fleet.put_target(1, leaving=True)
            await beat(fleet, BOUND_S, numbers=[2])
            return [entry.uses("t1") for entry in fleet.entries]

        self.assertEqual([False] * count, run_virtual(main))

    @parameterized.expand([("twelve", 12, 60)])
    def test_few_calls_are_made_after_the_loss(self, _name: str, count: int, most: int) -> None:
        async def main(clock: Clock) -> int:
            fleet = await started(clock, count)
            await drill(fleet)
            before = len(fleet.store.called_at)
            await asyncio.sleep(5.0)
            return len(fleet.store.called_at) - before

        self.assertLess(run_virtual(main), most)
