"""Tests of the detection of slow targets and of the fraction of objects that they keep."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall.ids import RegionId, TargetId, ZoneId
from coralfall.traffic.model import Route
from tests.traffic.makers import (
    NORTE,
    PEDIDOS,
    PUERTO,
    REGIONS_BY_ZONE,
    SteeringFixture,
    make_route,
    make_settings,
    make_target,
)

RIO = ZoneId("austro-rio")

#: Objects that are requested in each round, and seconds between two rounds.
KEYS = 240
ROUND_S = 1.0
#: Zones of targets 2 to 9, in other regions; the callers' region can't serve all its objects.
REMOTE_ZONES = {**dict.fromkeys(range(2, 6), PUERTO), **dict.fromkeys(range(6, 10), RIO)}


class TimedTargets:
    """Targets with fixed latencies for cached objects.

    :param seconds: latency by number of the target.
    :param zones: zones of the targets in other regions, by number.
    """

    def __init__(
        self, seconds: t.Dict[int, float], zones: t.Optional[t.Dict[int, ZoneId]] = None
    ) -> None:
        self.seconds = {TargetId(f"t{number}"): took for number, took in seconds.items()}
        targets = [
            make_target(number, slots=1000, zone=(zones or {}).get(number, NORTE))
            for number in seconds
        ]
        settings = make_settings(regions_by_zone={**REGIONS_BY_ZONE, RIO: RegionId("austro")})
        self.steered = SteeringFixture(*targets, settings=settings)

    def send(self, route: Route, key: str, left_s: float = 10.0) -> TargetId:
        """Sends a request, records its latency, and returns its target."""
        steered = self.steered
        reservation = steered.steering.choose(route, PEDIDOS, key.encode(), ())
        target_id = reservation.state.target.target_id
        reservation.record_latency(steered.clock.monotonic(), min(left_s, self.seconds[target_id]))
        reservation.release()
        return target_id

    def run_round(self, route: t.Optional[Route] = None) -> t.Dict[str, TargetId]:
        """Sends a request for each object, and returns their targets."""
        target_by_key = {
            str(key): self.send(route or make_route(), str(key)) for key in range(KEYS)
        }
        self.steered.clock.advance(ROUND_S)
        return target_by_key

    def run_rounds(self, count: int, route: t.Optional[Route] = None) -> t.Dict[str, TargetId]:
        """Runs several rounds, and returns the targets of the last one."""
        target_by_key = self.run_round(route)
        for _ in range(count - 1):
            target_by_key = self.run_round(route)
        return target_by_key


def count_of(target_by_key: t.Dict[str, TargetId], number: int) -> int:
    """Number of objects of a target."""
    return list(target_by_key.values()).count(TargetId(f"t{number}"))


class SpeedTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("equally fast", 0.15, 1.0, 1.0),
            ("hardly slower", 0.2, 1.0, 1.0),
            ("twice as slow", 0.3, 0.5, 0.9),
            ("much slower", 3.0, 0.0, 0.35),
            ("faster", 0.05, 1.0, 1.0),
        ]
    )
    def test_fraction_of_objects_that_a_target_keeps(
        self, _name: str, took_s: float, min_kept: float, max_kept: float
    ) -> None:
        timed = TimedTargets({1: took_s, 2: 0.15, 3: 0.15, 4: 0.15})
        first = timed.run_round()
        last = timed.run_rounds(8)
        kept_fraction = count_of(last, 1) / count_of(first, 1)
        self.assertGreaterEqual(kept_fraction, min_kept)
        self.assertLessEqual(kept_fraction, max_kept)

    def test_only_objects_of_the_slow_target_move(self) -> None:
        timed = TimedTargets({1: 1.0, 2: 0.15, 3: 0.15, 4: 0.15})
        first = timed.run_round()
        last = timed.run_rounds(8)
        moved = {first[key] for key in first if last[key] != first[key]}
        self.assertEqual({TargetId("t1")}, moved)

    def test_entries_with_similar_samples_move_similar_objects(self) -> None:
        targets = [
            TimedTargets({1: took_s, 2: 0.15, 3: 0.15, 4: 0.15}).run_rounds(8)
            for took_s in (0.5, 0.52)
        ]
        differing = [key for key in targets[0] if targets[0][key] != targets[1][key]]
        self.assertLessEqual(len(differing), 2)

    def test_objects_move_only_within_their_region(self) -> None:
        timed = TimedTargets({**dict.fromkeys(range(1, 10), 0.15), 2: 1.0}, REMOTE_ZONES)
        first = timed.run_round()
        last = timed.run_rounds(8)
        self.assertLess(count_of(last, 2), count_of(first, 2))
        for number in (1, 6, 7, 8, 9):
            self.assertEqual(count_of(first, number), count_of(last, number))

    def test_a_distant_region_does_not_count_as_slow(self) -> None:
        """Guards against comparing latencies across regions, as distant targets would seem slow."""
        near = dict.fromkeys(range(1, 6), 0.15)
        timed = TimedTargets({**near, **dict.fromkeys(range(6, 10), 0.5)}, REMOTE_ZONES)
        first = timed.run_round()
        self.assertGreater(count_of(first, 6), 0)
        self.assertEqual(first, timed.run_rounds(8))

    def test_uncached_objects_are_no_samples(self) -> None:
        """The first request for an object is slow on a fast target, too."""
        timed = TimedTargets({1: 1.0, 2: 0.15, 3: 0.15, 4: 0.15})
        for number in range(300):
            timed.send(make_route(), f"new {number}")
        timed.steered.clock.advance(1.0)
        fresh = [timed.send(make_route(), f"more {number}") for number in range(400)]
        self.assertGreater(fresh.count(TargetId("t1")), 60)

    def test_requests_without_affinity_are_samples_at_once(self) -> None:
        timed = TimedTargets({1: 1.0, 2: 0.15, 3: 0.15, 4: 0.15})
        route = make_route(session_affinity=False)
        for number in range(100):
            timed.send(route, f"new {number}")
        timed.steered.clock.advance(1.0)
        fresh = [timed.send(route, f"more {number}") for number in range(400)]
        self.assertLess(fresh.count(TargetId("t1")), 40)

    def test_queued_requests_are_no_samples(self) -> None:
        timed = TimedTargets({1: 1.0, 2: 0.15, 3: 0.15, 4: 0.15})
        state = timed.steered.targets.by_id[TargetId("t1")]
        first = timed.run_round()
        for _ in range(8):
            state.record_load(running=1000, waiting=200)
            last = timed.run_round()
        self.assertEqual(count_of(first, 1), count_of(last, 1))

    def test_samples_expire(self) -> None:
        timed = TimedTargets({1: 1.0, 2: 0.15, 3: 0.15, 4: 0.15})
        first = timed.run_round()
        self.assertNotEqual(first, timed.run_rounds(8))
        timed.steered.clock.advance(20.0)
        self.assertEqual(first, timed.run_round())

    def test_a_target_that_recovers_gets_its_objects_back(self) -> None:
        timed = TimedTargets({1: 1.0, 2: 0.15, 3: 0.15, 4: 0.15})
        first = timed.run_round()
        self.assertNotEqual(first, timed.run_rounds(8))
        timed.seconds[TargetId("t1")] = 0.15
        self.assertEqual(first, timed.run_rounds(25))
