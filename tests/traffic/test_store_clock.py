"""Tests of what an entry knows of the store's clock."""

import random
import typing as t
import unittest

import hypothesis
import hypothesis.strategies as st
from parameterized import parameterized

from coralfall.process.clock import ManualClock
from coralfall.traffic.store_clock import StoreClock

AHEAD_S = 5000.0
_DRIFT_S = 0.01


class StoreClockTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.store_clock = StoreClock(self.clock)

    def ask(self, there_s: float, back_s: float) -> None:
        """Ask the store, whose clock is ahead, with an answer that takes its time."""
        asked_at = self.clock.monotonic()
        self.clock.advance(there_s)
        shown = self.clock.monotonic() + AHEAD_S
        self.clock.advance(back_s)
        self.store_clock.observe(asked_at, shown)

    def test_nothing_known(self) -> None:
        self.assertEqual(float("inf"), self.store_clock.age_s(5.0))
        self.assertIsNone(self.store_clock.latest_s())

    @parameterized.expand(
        [
            ("at once", 0.0, 0.0, 0.0),
            ("slow on the way there", 0.8, 0.0, 0.8),
            ("slow on the way back", 0.0, 0.8, 0.0),
        ]
    )
    def test_an_age_is_a_bound(
        self, _name: str, there_s: float, back_s: float, too_old_s: float
    ) -> None:
        self.ask(there_s, back_s)
        shown = self.clock.monotonic() + AHEAD_S
        self.clock.advance(2.0)
        age = self.store_clock.age_s(shown)
        self.assertGreaterEqual(age, 2.0)
        self.assertLess(age, 2.0 + too_old_s + _DRIFT_S)

    def test_the_best_answer_counts(self) -> None:
        self.ask(0.0, 0.01)
        self.ask(0.9, 0.0)
        self.assertLess(self.store_clock.age_s(self.clock.monotonic() + AHEAD_S), _DRIFT_S)

    def test_an_old_bound_gives_way_to_drift(self) -> None:
        self.ask(0.0, 0.0)
        shown = self.clock.monotonic() + AHEAD_S
        self.clock.advance(1000.0)
        self.assertGreater(self.store_clock.age_s(shown), 1000.1)

    @parameterized.expand([("forward", 60.0), ("backward", -60.0)])
    def test_a_clock_that_jumps_is_learnt_anew(self, _name: str, jump_s: float) -> None:
        self.ask(0.0, 0.0)
        shown = self.clock.monotonic() + AHEAD_S + jump_s
        # Until it is: what seems to come from the future is of no known age, the rest seems old.
        self.assertGreater(self.store_clock.age_s(shown), 50.0)
        self.store_clock.observe(self.clock.monotonic(), shown)
        self.clock.advance(1.0)
        self.assertAlmostEqual(1.0, self.store_clock.age_s(shown), delta=_DRIFT_S)

    @hypothesis.given(seed=st.integers(0, 10_000))
    @hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
    def test_told_from_entry_to_entry_it_stays_a_bound(self, seed: int) -> None:
        rng = random.Random(seed)
        clocks = [ManualClock(rng.uniform(0.0, 1e4)) for _ in range(4)]
        known = [StoreClock(clock) for clock in clocks]
        store_s = rng.uniform(0.0, 1e4)

        def wait() -> None:
            nonlocal store_s
            seconds = rng.choice([0.0, 0.01, 0.5])
            store_s += seconds
            for clock in clocks:
                clock.advance(seconds)

        shown: t.List[t.Tuple[float, float]] = []
        for _ in range(30):
            asker, teller = rng.sample(range(4), 2)
            asked_at = clocks[asker].monotonic()
            wait()
            latest = store_s if rng.random() < 0.2 else known[teller].latest_s()
            wait()
            if latest is not None:
                known[asker].observe(asked_at, latest)
            shown.append((store_s, clocks[0].monotonic()))
            for stamp, at in shown:
                age = known[0].age_s(stamp)
                self.assertGreaterEqual(age, clocks[0].monotonic() - at - 1e-6)
