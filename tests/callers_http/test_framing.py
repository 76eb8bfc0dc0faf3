"""Tests of the bound on what frames a body."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall import defaults
from coralfall.http.framing import FramingLimit

LIMIT = 100
RATIO = defaults.MAX_FRAMING_PER_BODY_BYTE


class FramingLimitTest(unittest.TestCase):
    @parameterized.expand(
        [
            # bytes received at a time, and how many of them are body; whether all are allowed
            ("a head at the limit", [(60, 0), (40, 0)], True),
            ("a head beyond it", [(60, 0), (41, 0)], False),
            ("bytes of the body begin a new count", [(100, 0), (10, 10), (100, 0)], True),
            ("an extension after some body", [(10, 10), (101, 0)], False),
            ("chunks with the most framing", [(RATIO + 1, 1)] * 50, True),
            ("chunks with more framing", [(2 * RATIO, 1)] * 50, False),
            ("a large body", [(10**6, 10**6)] * 5, True),
        ]
    )
    def test_limit(
        self, _name: str, received: t.Sequence[t.Tuple[int, int]], allowed: bool
    ) -> None:
        framing = FramingLimit(LIMIT)
        problems = [framing.add(size, body_size) for size, body_size in received]
        self.assertEqual(allowed, not any(problems))
