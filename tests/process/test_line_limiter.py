"""Tests of the bound on lines a second of one kind."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall.process.clock import ManualClock
from coralfall.process.line_limiter import LineLimiter


class LineLimiterTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("within the bound", [(0.0, "a"), (0.1, "a")], [0, 0]),
            ("beyond it", [(0.0, "a"), (0.1, "a"), (0.2, "a"), (0.3, "a")], [0, 0, None, None]),
            (
                "the next second tells what was left out",
                [(0.0, "a"), (0.1, "a"), (0.2, "a"), (1.0, "a"), (1.1, "a")],
                [0, 0, None, 1, 0],
            ),
            (
                "each key by itself",
                [(0.0, "a"), (0.0, "a"), (0.0, "a"), (0.0, "b")],
                [0, 0, None, 0],
            ),
        ]
    )
    def test_lines_beyond_the_bound_are_counted(
        self,
        _name: str,
        events: t.Sequence[t.Tuple[float, str]],
        expected: t.Sequence[t.Optional[int]],
    ) -> None:
        """Guards against a log that is flooded by requests that a stop refuses."""
        clock = ManualClock(100.0)
        limiter: LineLimiter[str] = LineLimiter(clock, 2)
        found = []
        for seconds, key in events:
            clock.now = 100.0 + seconds
            found.append(limiter.take(key))
        self.assertEqual(expected, found)
