"""Health: the effect of stale, missing, frozen and wrong reports and results."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall import defaults
from coralfall.balancing.health import ServiceHealth, TargetHealth
from coralfall.ids import RegionId, TargetId

from .test_routing import make_target
from .test_shift import A, B

SLOTS = 6
RAMP_S = 30.0


def name(region: RegionId, number: int) -> TargetId:
    return TargetId(f"{region}{number}")


def make_health(count: int = 4, regions: t.Sequence[RegionId] = (A, B)) -> ServiceHealth:
    targets = {}
    for region in regions:
        for number in range(count):
            targets[name(region, number)] = make_target(region, SLOTS)
    health = ServiceHealth(RAMP_S)
    health.set_targets(targets, 0.0)
    return health


def usable(health: ServiceHealth, region: RegionId, now: float, count: int = 4) -> int:
    return sum(health.is_usable(name(region, number), now) for number in range(count))


class LoadTest(unittest.TestCase):
    """A report can only raise the load above what the entry uses itself."""

    @parameterized.expand(
        [
            # case, reports as (time, in flight), own, prior, now, least, most
            ("no report is read as the prior", [], 0.0, 0.7, 1.0, 0.7, 0.7),
            ("fresh report counts", [(1.0, 6)], 0.0, 0.0, 1.0, 1.0, 1.0),
            ("lying idle is not below own", [(0.5, 6), (1.0, 0)], 0.5, 0.0, 1.0, 0.5, 0.5),
            ("idle that stopped coming fades", [(0.0, 6), (1.0, 0)], 0.0, 0.8, 9.0, 0.79, 0.8),
            (
                "idle that is frozen fades though it keeps coming",
                [(0.0, 6), *[(float(at), 0) for at in range(1, 10)]],
                0.0,
                0.8,
                9.0,
                0.79,
                0.8,
            ),
            ("full that stopped coming fades", [(0.0, 6)], 0.0, 0.1, 9.0, 0.1, 0.11),
            ("more than the slots is believed", [(1.0, 12)], 0.0, 0.0, 1.0, 2.0, 2.0),
        ]
    )
    def test_load(
        self,
        _: str,
        reports: t.Sequence[t.Tuple[float, int]],
        own: float,
        prior: float,
        now: float,
        least: float,
        most: float,
    ) -> None:
        health = TargetHealth(make_target(A, SLOTS), RAMP_S)
        for at, in_flight in reports:
            health.record_report(in_flight, SLOTS, at)
        load = health.load(own, prior, now)
        self.assertTrue(least <= load <= most, load)


class DoubtTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("one of four", 1, 3, 3),
            ("half", 2, 3, 2),
            ("more than half are doubted", 3, 3, 4),
            ("all are doubted", 4, 2, 4),
            ("dead beyond doubt", 3, defaults.DEAD_FAILURES - 2, 4),
        ]
    )
    def test_targets_that_failed(self, _: str, targets: int, times: int, left: int) -> None:
        health = make_health()
        for number in range(targets):
            for _ in range(times):
                health.record_failure(name(A, number), 1.0)
                health.record_answer(name(A, 3), 0.01, 1.0) if number < 3 else None
        health.refresh(1.0)
        self.assertEqual(usable(health, A, 1.0), left)
        self.assertEqual(usable(health, B, 1.0), 4)

    @parameterized.expand([("some", 2, 2), ("all", 4, 4), ("most", 3, 4)])
    def test_reports_of_death(self, _: str, unwell: int, left: int) -> None:
        health = make_health()
        for number in range(unwell):
            health.health_by_target[name(A, number)].record_report(0, SLOTS, 1.0, healthy=False)
        health.refresh(1.0)
        self.assertEqual(usable(health, A, 1.0), left)
        self.assertIn(A, health.serving_regions, "reports alone do not lose a region")

    def test_answer_beats_an_earlier_report_of_death(self) -> None:
        health = make_health()
        health.health_by_target[name(A, 0)].record_report(0, SLOTS, 1.0, healthy=False)
        health.record_answer(name(A, 0), 0.01, 1.1)
        health.refresh(1.1)
        self.assertEqual(usable(health, A, 1.1), 4)

    def lose_region(self, health: ServiceHealth, region: RegionId, now: float) -> None:
        for number in range(defaults.REGION_DEAD_FAILURES):
            health.record_failure(name(region, number % 4), now)

    def test_region_is_lost_by_own_failures_and_found_by_one_answer(self) -> None:
        health = make_health()
        self.lose_region(health, A, 1.0)
        self.assertEqual(health.serving_regions, {B})
        self.assertEqual(usable(health, A, 1.0), 0)
        health.record_answer(name(A, 2), 0.01, 2.0)
        self.assertEqual(health.serving_regions, {A, B})

    def test_all_lost_is_not_believed(self) -> None:
        health = make_health()
        self.lose_region(health, A, 1.0)
        self.lose_region(health, B, 1.0)
        self.assertEqual(health.serving_regions, {A, B})
        self.assertEqual(usable(health, A, 1.0) + usable(health, B, 1.0), 8)


class ProbeTest(unittest.TestCase):
    def test_single_requests_with_backoff(self) -> None:
        health = TargetHealth(make_target(A, SLOTS), RAMP_S)
        now = 0.0
        for _ in range(defaults.SUSPECT_FAILURES):
            health.record_failure(now)
        waits = []
        for _ in range(8):
            start = now
            while not health.is_probe_due(now):
                now += 0.05
            waits.append(now - start)
            health.start_probe(now)
            self.assertFalse(health.is_probe_due(now), "one probe at a time")
            health.record_failure(now)
        self.assertEqual(waits, sorted(waits))
        self.assertGreaterEqual(waits[0], defaults.PROBE_BACKOFF_S)
        self.assertLessEqual(waits[-1], defaults.PROBE_BACKOFF_MAX_S + 0.1)

    @parameterized.expand([(0.0, 1), (RAMP_S / 2, SLOTS // 2), (RAMP_S, SLOTS)])
    def test_slow_start_after_recovery(self, after: float, slots: int) -> None:
        health = TargetHealth(make_target(A, SLOTS), RAMP_S)
        self.assertEqual(health.usable_slots(0.0), SLOTS)
        for _ in range(defaults.SUSPECT_FAILURES):
            health.record_failure(1.0)
        health.record_answer(0.01, 2.0)
        self.assertEqual(health.usable_slots(2.0 + after), slots)

    @parameterized.expand([("told to wait", 1, 0.05, True), ("waited", 1, 0.2, False)])
    def test_shed(self, _: str, times: int, after: float, paused: bool) -> None:
        health = TargetHealth(make_target(A, SLOTS), RAMP_S)
        for _ in range(times):
            health.record_shed(1.0)
        self.assertEqual(health.is_backing_off(1.0 + after), paused)


class LatencyTest(unittest.TestCase):
    def test_old_estimate_gives_way_to_the_zone(self) -> None:
        health = make_health(2, (A,))
        health.record_answer(name(A, 0), 1.0, 0.0)
        for _ in range(200):
            health.record_answer(name(A, 1), 0.01, 1.0)
        self.assertGreater(health.expected_latency_s(name(A, 0), 0.0), 0.5)
        self.assertLess(health.expected_latency_s(name(A, 0), 60.0), 0.1)
