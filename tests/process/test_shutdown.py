"""Tests of the time that a process has once it was told to stop."""

import math
import typing as t
import unittest

from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized

from coralfall.process.clock import ManualClock
from coralfall.process.shutdown import Shutdown


class ShutdownTest(unittest.TestCase):
    def test_no_end_before_the_signal(self) -> None:
        shutdown = Shutdown(6.0, ManualClock(100.0))
        self.assertFalse(shutdown.is_begun)
        self.assertEqual(0.0, shutdown.age_s())
        self.assertEqual(math.inf, shutdown.left_s())
        self.assertEqual(math.inf, shutdown.exits_by())

    @parameterized.expand([(0.5, 100.45, 100.475), (6.0, 105.4, 105.7), (30.0, 129.0, 129.5)])
    def test_parts_of_the_grace(self, grace_s: float, serves: float, exits: float) -> None:
        shutdown = Shutdown(grace_s, ManualClock(100.0))
        shutdown.begin()
        self.assertAlmostEqual(serves, shutdown.serves_until())
        self.assertAlmostEqual(exits, shutdown.exits_by())

    def test_a_signal_that_is_seen_late_counts_from_the_last_beat(self) -> None:
        """A grace that began when the loop saw the signal ended after the process was killed."""
        clock = ManualClock(100.0)
        shutdown = Shutdown(6.0, clock)
        clock.advance(5.0)
        shutdown.beat()
        clock.advance(2.0)
        shutdown.begin()
        self.assertAlmostEqual(2.0, shutdown.age_s())
        clock.advance(1.0)
        shutdown.beat()
        shutdown.begin()
        self.assertAlmostEqual(105.0 + 5.4, shutdown.serves_until())

    @given(
        st.floats(0.1, 60.0),
        st.lists(st.tuples(st.sampled_from(("beat", "pause")), st.floats(0.0, 10.0)), max_size=20),
        st.floats(0.0, 5.0),
    )
    def test_the_end_is_never_later_than_the_kill(
        self, grace_s: float, steps: t.List[t.Tuple[str, float]], late_s: float
    ) -> None:
        clock = ManualClock(0.0)
        shutdown = Shutdown(grace_s, clock)
        for step, seconds in steps:
            clock.advance(seconds)
            if step == "beat":
                shutdown.beat()
        killed_at = clock.monotonic() + grace_s
        clock.advance(late_s)
        shutdown.begin()
        shutdown.beat()
        self.assertLess(shutdown.serves_until(), shutdown.exits_by())
        self.assertLess(shutdown.exits_by(), killed_at)
