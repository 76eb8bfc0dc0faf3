"""Retries: the worst amplification, and when a read is hedged."""

import typing as t
import unittest

from hdrh.histogram import HdrHistogram
from parameterized import parameterized

from coralfall import defaults
from coralfall.forwarding.retry import HEDGE_MIN_COUNT, HEDGE_PART, RetryBudget, hedge_delay


def attempts_in_outage(budget: RetryBudget, requests: int, tries: int) -> t.Tuple[int, int]:
    """Attempts and hedges when every attempt fails and is retried as often as allowed."""
    attempts = hedges = 0
    for _ in range(requests):
        budget.request()
        for _ in range(tries):
            attempts += 1
            if budget.take_hedge():
                attempts += 1
                hedges += 1
            if not budget.take():
                break
    return attempts, hedges


class AmplificationTest(unittest.TestCase):
    @parameterized.expand([(1,), (10,), (1000,), (20000,)])
    def test_total_outage(self, requests: int) -> None:
        attempts, hedges = attempts_in_outage(RetryBudget(), requests, defaults.MAX_ATTEMPTS)
        ratio, burst = defaults.RETRY_RATIO, defaults.RETRY_BURST
        self.assertLessEqual(attempts / requests, 1 + ratio + burst / requests)
        self.assertLessEqual(hedges, HEDGE_PART * (burst + ratio * requests))

    def test_budget_is_there_after_a_quiet_time(self) -> None:
        budget = RetryBudget()
        for _ in range(1000):
            budget.request()
        self.assertEqual([budget.take() for _ in range(defaults.RETRY_BURST + 1)].count(True), 10)
        for _ in range(10):
            budget.request()
        self.assertTrue(budget.take())
        self.assertFalse(budget.take())

    @parameterized.expand([(1,), (5,), (100,)])
    def test_starts_do_not_renew_the_burst(self, requests_between_starts: int) -> None:
        attempts = requests = 0
        for _ in range(50):
            requests += requests_between_starts
            attempts += attempts_in_outage(RetryBudget(), requests_between_starts, 3)[0]
        ratio, burst = defaults.RETRY_RATIO, defaults.RETRY_BURST
        self.assertLessEqual(attempts, requests * (1 + ratio) + burst)


class HedgeDelayTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("nothing seen", [], None),
            ("too little seen", [50_000] * (HEDGE_MIN_COUNT - 1), None),
            ("slowest twentieth", [20_000] * 96 + [900_000] * 4, 0.02),
            ("very fast service", [100] * 200, 0.005),
        ]
    )
    def test_delay(self, _: str, latencies: t.Sequence[int], delay: t.Optional[float]) -> None:
        histogram = HdrHistogram(1, 60_000_000, 3)
        for latency in latencies:
            histogram.record_value(latency)
        found = hedge_delay(histogram)
        if delay is None:
            self.assertIsNone(found)
            return
        assert found is not None
        self.assertAlmostEqual(found, delay, delta=delay / 100)
