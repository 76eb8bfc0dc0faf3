"""Tests over random histories of a store that comes back from older copies, in series."""

import unittest

import hypothesis
import hypothesis.strategies as st
from parameterized import parameterized

from coralfall.process.clock import Clock
from tests.traffic.store_history import History
from tests.virtual_loop import run_virtual


class HistoryTest(unittest.TestCase):
    @parameterized.expand([("three entries", 3, 30), ("twelve", 12, 12)])
    def test_changes_are_in_force_in_time_and_nothing_comes_back(
        self, _name: str, count: int, examples: int
    ) -> None:
        @hypothesis.given(seed=st.integers(0, 2**32), in_order=st.booleans())
        @hypothesis.settings(derandomize=True, max_examples=examples, deadline=None)
        def play(seed: int, in_order: bool) -> None:
            async def main(clock: Clock) -> History:
                history = History(clock, count, seed, in_order)
                await history.play(20.0)
                return history

            history = run_virtual(main)
            self.assertEqual([], history.faults[:5], history.played)

        play()
