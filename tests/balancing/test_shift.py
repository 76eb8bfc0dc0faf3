"""The shift cap: planned shares, and the requests that the limiter allows."""

import random
import typing as t
import unittest

from parameterized import parameterized

from coralfall import defaults
from coralfall.balancing.shift import COUNT_SLACK, ShiftLimiter
from coralfall.balancing.shift_plan import moved_share, planned_shares, split_cap
from coralfall.bundles.bundle import Bundle, Head, Service
from coralfall.ids import BundleVersion, PartnerId, PolicyName, RegionId, ServiceId

A, B, C = RegionId("a"), RegionId("b"), RegionId("c")
CATALOGO = ServiceId("catalogo")


def make_service(
    weights: t.Dict[RegionId, float], cap: float = 0.2, window: float = 10.0
) -> Service:
    return Service(
        policy=PolicyName.LATENCY,
        weights=weights,
        shift_cap=cap,
        shift_window_s=window,
        timeout_ms=1000,
    )


def make_head(start: t.Dict[RegionId, float], accepted_at: float = 100.0) -> Head:
    return Head(
        partner=PartnerId("cosecha"),
        accepted_at=accepted_at,
        shares_at_accept={CATALOGO: start} if start else {},
    )


def make_bundle(services: t.Dict[ServiceId, Service]) -> Bundle:
    return Bundle(
        partner=PartnerId("cosecha"),
        version=BundleVersion(1),
        regions={},
        services=services,
        targets={},
    )


class PlannedSharesTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("no start", {}, 100.0, {A: 0.5, B: 0.5}),
            ("before it was accepted", {A: 1.0}, 90.0, {A: 1.0}),
            ("at once", {A: 1.0}, 100.0, {A: 1.0}),
            ("long after", {A: 1.0}, 1e6, {A: 0.5, B: 0.5}),
            ("region that goes", {A: 0.5, C: 0.5}, 1e6, {A: 0.5, B: 0.5}),
        ]
    )
    def test_ends(
        self, _: str, start: t.Dict[RegionId, float], now: float, shares: t.Dict[RegionId, float]
    ) -> None:
        service = make_service({A: 0.5, B: 0.5})
        self.assertEqual(planned_shares(make_head(start), CATALOGO, service, now), shares)

    @parameterized.expand([(cap, window) for cap in (0.01, 0.1, 1.0) for window in (1.0, 10.0)])
    def test_two_windows_and_the_skew_move_no_more_than_the_cap(
        self, cap: float, window: float
    ) -> None:
        service = make_service({B: 1.0}, cap, window)
        head = make_head({A: 1.0})
        span = 2 * window + defaults.MAX_CLOCK_SKEW_S
        for step in range(200):
            now = 100.0 + step * span / 7
            before = planned_shares(head, CATALOGO, service, now)
            after = planned_shares(head, CATALOGO, service, now + span)
            self.assertAlmostEqual(sum(after.values()), 1)
            self.assertLessEqual(moved_share(before, after), split_cap(service).move + 1e-9)


class CountsTest(unittest.TestCase):
    @parameterized.expand([(seed,) for seed in range(10)])
    def test_any_run_of_requests_keeps_to_the_ceilings(self, seed: int) -> None:
        rng = random.Random(seed)
        service = make_service({A: 0.6, B: 0.3, C: 0.1})
        shift_limiter = ShiftLimiter(CATALOGO, service, service.weights, 0.0)
        band = split_cap(service).band
        sent: t.List[RegionId] = []
        for number in range(3000):
            shift_limiter.count_request()
            allowed = shift_limiter.allowed_regions()
            self.assertTrue(allowed, "no share is missing, so nothing may be refused")
            preferred = A if number // 500 % 2 else C
            region = preferred if preferred in allowed else rng.choice(allowed)
            shift_limiter.charge(region)
            sent.append(region)
        for region, share in service.weights.items():
            hits = [0]
            for name in sent:
                hits.append(hits[-1] + (name == region) - share * (1 + band))
            excess = max(hits[i] - min(hits[: i + 1]) for i in range(0, len(hits), 7))
            self.assertLessEqual(excess, COUNT_SLACK)


class FullRegionTest(unittest.TestCase):
    """A region that refuses much of its share loses some to others, no faster than any shift."""

    def run_requests(
        self, seconds: float, room: t.Dict[RegionId, int], shift_limiter: ShiftLimiter, now: float
    ) -> float:
        """Runs 20 requests every 0.05 s, of which each region takes at most its room."""
        service = make_service({A: 0.5, B: 0.5}, 0.4)
        end = now + seconds
        while now < end:
            now += 0.05
            shift_limiter.advance(service, service.weights, {A, B}, now)
            left = dict(room)
            for _ in range(20):
                shift_limiter.count_request()
                regions = [region for region in shift_limiter.allowed_regions() if left[region]]
                if not regions:
                    shift_limiter.count_refused()
                    continue
                shift_limiter.charge(regions[0])
                left[regions[0]] -= 1
        return now

    @parameterized.expand(
        [
            ("half full", {A: 5, B: 20}, True),
            ("wholly full", {A: 0, B: 20}, True),
            ("with room", {A: 20, B: 20}, False),
            ("all full alike", {A: 5, B: 5}, False),
        ]
    )
    def test_shares(self, _: str, room: t.Dict[RegionId, int], moves: bool) -> None:
        service = make_service({A: 0.5, B: 0.5}, 0.4)
        shift_limiter = ShiftLimiter(CATALOGO, service, service.weights, 0.0)
        now = self.run_requests(20.0, room, shift_limiter, 0.0)
        rate = split_cap(service).rate_per_s
        gained = shift_limiter.shares[B] - 0.5
        self.assertLessEqual(gained, rate * now + 1e-9)
        if not moves:
            self.assertAlmostEqual(gained, 0.0, places=2)
            return
        self.assertGreater(gained, rate * now / 2)
        self.run_requests(60.0, {A: 20, B: 20}, shift_limiter, now)
        self.assertAlmostEqual(shift_limiter.shares[B], 0.5, places=2)
