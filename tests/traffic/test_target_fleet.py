"""Tests of target limits that all entries share, on virtual time."""

import asyncio
import typing as t
import unittest

from parameterized import parameterized

from coralfall.placement.buckets import slot_of
from coralfall.placement.target_limits import target_limit_key
from tests.traffic.limit_fleet import (
    STABLE_S,
    TARGET,
    TOLD_S,
    LimitEntry,
    LimitFleet,
    fullest_window,
    most_of,
)
from tests.traffic.quota_fleet import REGIONS, QuotaEntry
from tests.virtual_loop import LoopClock, run_virtual

Scene = t.Callable[[LimitFleet, float], t.Awaitable[None]]

#: Seconds of traffic before the target reports its limit.
_WARMUP_S = 3.0


def play(scene: Scene, count: int, limit_per_s: float, per_s: float) -> t.Tuple[LimitFleet, float]:
    """Runs a scene; returns the fleet, and when the limit was first reported."""

    async def main(clock: LoopClock) -> t.Tuple[LimitFleet, float]:
        fleet = LimitFleet(count, clock)
        await fleet.send_randomly(_WARMUP_S, per_s)
        fleet.limit_per_s = limit_per_s
        reported_at = clock.monotonic()
        await scene(fleet, per_s)
        fleet.stop()
        return fleet, reported_at

    return run_virtual(main)


async def steady(fleet: LimitFleet, per_s: float) -> None:
    await fleet.send_randomly(STABLE_S + 20.0, per_s)


async def cut_some(fleet: LimitFleet, per_s: float) -> None:
    for part in (3, 2):
        await fleet.send_randomly(3.0, per_s)
        fleet.partition(fleet.entries[::part])
        await fleet.send_randomly(5.0, per_s)
        fleet.heal()
    await fleet.send_randomly(6.0, per_s)


async def cut_each(fleet: LimitFleet, per_s: float) -> None:
    await fleet.send_randomly(1.0, per_s)
    fleet.partition(fleet.entries[: len(fleet.entries) // 2], apart=True)
    await fleet.send_randomly(9.0, per_s)
    fleet.heal()
    await fleet.send_randomly(6.0, per_s)


async def pause_owners(fleet: LimitFleet, per_s: float) -> None:
    for _ in range(4):
        await fleet.send_randomly(1.5, per_s)
        owner_of(fleet).paused_until = fleet.clock.monotonic() + 4.0
        fleet.update_members_later()
        await fleet.send_randomly(3.0, per_s)


async def kill_owners(fleet: LimitFleet, per_s: float) -> None:
    for _ in range(4):
        await fleet.send_randomly(2.0, per_s)
        owner = owner_of(fleet)
        owner.kill()
        fleet.update_members_later()
        await fleet.send_randomly(2.5, per_s)
        owner.start()
        fleet.update_members_later(0.3)


async def kill_all(fleet: LimitFleet, per_s: float) -> None:
    for _ in range(3):
        await fleet.send_randomly(3.5, per_s)
        for entry in fleet.entries:
            entry.kill()
        await asyncio.sleep(0.3)
        for entry in fleet.entries:
            entry.start()
        fleet.update_members_later(0.4)
    await fleet.send_randomly(6.0, per_s)


async def stop_owners(fleet: LimitFleet, per_s: float) -> None:
    for _ in range(4):
        await fleet.send_randomly(1.5, per_s)
        owner_of(fleet).leave()
        fleet.update_members_later(0.2)
    await fleet.send_randomly(4.0, per_s)


async def owners_change(fleet: LimitFleet, per_s: float) -> None:
    """Half of the entries in turn learn wrongly that the owner has stopped serving."""
    for number in range(40):
        owner = owner_of(fleet)
        entries = fleet.entries[number % 2 :: 2]
        for entry in entries:
            serving = [
                one for one in entry.members.serving_records() if one.entry_id != owner.entry_id
            ]
            entry.members.merge_records(serving, len(fleet.entries))
        await fleet.send_randomly(0.3, per_s)
        fleet.update_members()
        await fleet.send_randomly(0.3, per_s)


async def rest_and_return(fleet: LimitFleet, per_s: float) -> None:
    """Callers return once the buckets are full."""
    await fleet.send_randomly(1.0, per_s)
    await asyncio.sleep(40.0)
    await fleet.send_randomly(6.0, per_s)


async def add_many(fleet: LimitFleet, per_s: float) -> None:
    await fleet.send_randomly(3.0, per_s)
    for _ in range(len(fleet.entries) // 2):
        fleet.add()
    fleet.update_members_later(0.5)
    await fleet.send_randomly(8.0, per_s)


def owner_of(fleet: LimitFleet) -> QuotaEntry:
    """The entry that most entries regard as the owner of the target's limit."""
    slot = slot_of(target_limit_key(TARGET.target_id, REGIONS[0]))
    seen = [entry.permits.owners.for_slot(slot)[0] for entry in fleet.entries if entry.running]
    owner_id = max(seen, key=seen.count)
    return next(entry for entry in fleet.entries if entry.entry_id == owner_id)


class LimitTest(unittest.TestCase):
    @parameterized.expand(
        [
            (f"{scene.__name__}, {limit:g} a second at {count}", scene, limit, count)
            for scene, limit, count in (
                *[(steady, limit, 12) for limit in (0.0, 0.4, 1.9, 3.6, 40.0)],
                *[(steady, limit, 75) for limit in (0.4, 3.6)],
                (steady, 3.6, 1),
                (steady, 0.4, 195),
                (steady, 3.6, 530),
                *[
                    (scene, limit, count)
                    for scene in (
                        cut_some,
                        cut_each,
                        pause_owners,
                        kill_owners,
                        kill_all,
                        stop_owners,
                        add_many,
                        owners_change,
                        rest_and_return,
                    )
                    for limit, count in ((3.6, 12), (0.6, 24))
                ],
                (kill_owners, 3.6, 195),
            )
        ]
    )
    def test_a_target_gets_no_more_than_its_limit_allows(
        self, _name: str, scene: Scene, limit: float, count: int
    ) -> None:
        fleet, reported_at = play(scene, count, limit, max(15.0, limit * 4))
        counted = fleet.counted_at(reported_at + TOLD_S)
        self.assertGreater(len(counted), 0)
        self.assertLessEqual(fullest_window(counted), most_of(limit))


class ThroughputTest(unittest.TestCase):
    """A target receives the rate of its limit, wherever its callers are."""

    @parameterized.expand(
        [
            (f"{limit:g} a second at {count}, callers at {among or 'all'}", limit, count, among)
            for limit, count, among in (
                (0.4, 12, 0),
                (3.6, 12, 0),
                (3.6, 12, 1),
                (40.0, 12, 0),
                (3.6, 75, 0),
                (3.6, 75, 2),
                (0.4, 75, 0),
                (0.4, 195, 0),
                (3.6, 530, 0),
            )
        ]
    )
    def test_a_target_receives_the_rate_of_its_limit(
        self, _name: str, limit: float, count: int, among: int
    ) -> None:
        seconds = 30.0

        async def scene(fleet: LimitFleet, per_s: float) -> None:
            entries = fleet.entries[1 : 1 + among]
            await fleet.send_randomly(STABLE_S, per_s, entries)
            await fleet.send_randomly(seconds, per_s, entries)

        fleet, reported_at = play(scene, count, limit, max(15.0, limit * 3))
        received = [one for one in fleet.arrivals if one.at >= reported_at + STABLE_S]
        self.assertGreaterEqual(len(received), 0.85 * limit * seconds)

    @parameterized.expand([(12,), (75,)])
    def test_a_target_that_withdraws_its_limit_gets_all_requests_again(self, count: int) -> None:
        back_at: t.List[float] = []

        async def scene(fleet: LimitFleet, per_s: float) -> None:
            await fleet.send_randomly(8.0, per_s)
            fleet.limit_per_s = None
            back_at.append(fleet.clock.monotonic())
            await fleet.send_randomly(8.0, per_s)
            fleet.limit_per_s = 2.0
            await fleet.send_randomly(8.0, per_s)

        fleet, _ = play(scene, count, 2.0, 15.0)
        since = back_at[0] + 2.0
        freed = [one for one in fleet.arrivals if since <= one.at < since + 6.0]
        self.assertGreaterEqual(len(freed), 0.8 * 15.0 * 6.0)
        again = fleet.counted_at(since + 6.0 + TOLD_S)
        self.assertLessEqual(fullest_window(again), most_of(2.0))


class RecoveryTest(unittest.TestCase):
    @parameterized.expand([("a fresh start", True), ("a cut that is over", False)])
    def test_an_entry_that_was_away_learns_the_limit_again(self, _name: str, killed: bool) -> None:
        async def scene(fleet: LimitFleet, per_s: float) -> None:
            entry = t.cast(LimitEntry, fleet.entries[0])
            fleet.partition([entry])
            await fleet.send_randomly(4.0, per_s, fleet.entries[1:])
            if killed:
                entry.kill()
                entry.start()
            # By now the limit is not gossiped as an update any more.
            await fleet.send_randomly(4.0, per_s, fleet.entries[1:])
            fleet.heal()
            await fleet.send_randomly(3.0, per_s, fleet.entries[1:])
            self.assertEqual(3.6, entry.limits.rate_of(TARGET))

        play(scene, 12, 3.6, 15.0)
