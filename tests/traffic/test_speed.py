"""Tests of what slow targets keep of their objects."""

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

#: Objects that are asked for in each round, and seconds between two rounds.
KEYS = 240
ROUND_S = 1.0
#: Of targets 1 to 9, those in other regions: more than the callers' region can do without.
FAR_ZONES = {**dict.fromkeys(range(2, 6), PUERTO), **dict.fromkeys(range(6, 10), RIO)}


class Timed:
    """Targets that take their own time with objects that they know.

    :param seconds: by number of the target.
    :param zones: of those in other regions, by number.
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

    def ask(self, route: Route, key: str, left_s: float = 10.0) -> TargetId:
        """The target that a request is sent to; how long it takes is noted."""
        steered = self.steered
        reservation = steered.steering.choose(route, PEDIDOS, key.encode(), ())
        target_id = reservation.state.target.target_id
        reservation.record_latency(steered.clock.monotonic(), min(left_s, self.seconds[target_id]))
        reservation.release()
        return target_id

    def round(self, route: t.Optional[Route] = None) -> t.Dict[str, TargetId]:
        """Where each object's request went."""
        homes = {str(key): self.ask(route or make_route(), str(key)) for key in range(KEYS)}
        self.steered.clock.advance(ROUND_S)
        return homes

    def rounds(self, count: int, route: t.Optional[Route] = None) -> t.Dict[str, TargetId]:
        """The same after more of them."""
        homes = self.round(route)
        for _ in range(count - 1):
            homes = self.round(route)
        return homes


def count_of(homes: t.Dict[str, TargetId], number: int) -> int:
    """How many objects a target has."""
    return list(homes.values()).count(TargetId(f"t{number}"))


class SpeedTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("all alike", 0.15, 1.0, 1.0),
            ("hardly slower", 0.2, 1.0, 1.0),
            ("twice as slow", 0.3, 0.5, 0.9),
            ("much slower", 3.0, 0.0, 0.35),
            ("faster", 0.05, 1.0, 1.0),
        ]
    )
    def test_part_that_stays(self, _name: str, took_s: float, least: float, most: float) -> None:
        timed = Timed({1: took_s, 2: 0.15, 3: 0.15, 4: 0.15})
        first = timed.round()
        last = timed.rounds(8)
        part = count_of(last, 1) / count_of(first, 1)
        self.assertGreaterEqual(part, least)
        self.assertLessEqual(part, most)

    def test_only_objects_of_the_slow_one_move(self) -> None:
        timed = Timed({1: 1.0, 2: 0.15, 3: 0.15, 4: 0.15})
        first = timed.round()
        last = timed.rounds(8)
        moved = {first[key] for key in first if last[key] != first[key]}
        self.assertEqual({TargetId("t1")}, moved)

    def test_entries_that_measured_about_the_same_move_about_the_same(self) -> None:
        homes = [Timed({1: took_s, 2: 0.15, 3: 0.15, 4: 0.15}).rounds(8) for took_s in (0.5, 0.52)]
        unlike = [key for key in homes[0] if homes[0][key] != homes[1][key]]
        self.assertLessEqual(len(unlike), 2)

    def test_what_moves_stays_in_its_region(self) -> None:
        timed = Timed({**dict.fromkeys(range(1, 10), 0.15), 2: 1.0}, FAR_ZONES)
        first = timed.round()
        last = timed.rounds(8)
        self.assertLess(count_of(last, 2), count_of(first, 2))
        for number in (1, 6, 7, 8, 9):
            self.assertEqual(count_of(first, number), count_of(last, number))

    def test_a_far_region_is_not_slow_for_being_far(self) -> None:
        """Most of these are in a region that is far, a few in one that is farther."""
        near = dict.fromkeys(range(1, 6), 0.15)
        timed = Timed({**near, **dict.fromkeys(range(6, 10), 0.5)}, FAR_ZONES)
        first = timed.round()
        self.assertGreater(count_of(first, 6), 0)
        self.assertEqual(first, timed.rounds(8))

    def test_objects_that_are_new_to_a_target_tell_nothing(self) -> None:
        """Each takes long the first time, on a fast target as well."""
        timed = Timed({1: 1.0, 2: 0.15, 3: 0.15, 4: 0.15})
        for number in range(300):
            timed.ask(make_route(), f"new {number}")
        timed.steered.clock.advance(1.0)
        fresh = [timed.ask(make_route(), f"more {number}") for number in range(400)]
        self.assertGreater(fresh.count(TargetId("t1")), 60)

    def test_requests_without_an_object_tell_at_once(self) -> None:
        timed = Timed({1: 1.0, 2: 0.15, 3: 0.15, 4: 0.15})
        route = make_route(session_affinity=False)
        for number in range(100):
            timed.ask(route, f"new {number}")
        timed.steered.clock.advance(1.0)
        fresh = [timed.ask(route, f"more {number}") for number in range(400)]
        self.assertLess(fresh.count(TargetId("t1")), 40)

    def test_a_queue_is_not_the_target_s_speed(self) -> None:
        timed = Timed({1: 1.0, 2: 0.15, 3: 0.15, 4: 0.15})
        state = timed.steered.targets.by_id[TargetId("t1")]
        first = timed.round()
        for _ in range(8):
            state.record_load(running=1000, waiting=200)
            last = timed.round()
        self.assertEqual(count_of(first, 1), count_of(last, 1))

    def test_what_was_slow_long_ago_is_forgotten(self) -> None:
        timed = Timed({1: 1.0, 2: 0.15, 3: 0.15, 4: 0.15})
        first = timed.round()
        self.assertNotEqual(first, timed.rounds(8))
        timed.steered.clock.advance(20.0)
        self.assertEqual(first, timed.round())

    def test_one_that_is_well_again_gets_its_objects_back(self) -> None:
        timed = Timed({1: 1.0, 2: 0.15, 3: 0.15, 4: 0.15})
        first = timed.round()
        self.assertNotEqual(first, timed.rounds(8))
        timed.seconds[TargetId("t1")] = 0.15
        self.assertEqual(first, timed.rounds(25))
