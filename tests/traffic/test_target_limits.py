"""Tests of what is known of the limits that targets name."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall.placement.target_limits import TargetLimits
from coralfall.process.clock import ManualClock
from coralfall.traffic.wire import parse_limit
from tests.traffic.makers import make_target

#: Seconds at which each answer comes, at which its request was sent, and the limit that it names.
Answer = t.Tuple[float, float, t.Optional[float]]


class AnswersTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("never named", [(1, 0, None)], None),
            ("named", [(1, 0, 3.6)], 3.6),
            ("named again", [(1, 0, 3.6), (2, 1.5, 3.6)], 3.6),
            ("lowered", [(1, 0, 3.6), (2, 1.5, 0.4)], 0.4),
            ("lowered, sent before", [(1, 0, 3.6), (2, 0.5, 0.4)], 0.4),
            ("raised", [(1, 0, 3.6), (2, 1.5, 7.0)], 7.0),
            ("raised, sent before", [(1, 0, 3.6), (2, 0.5, 7.0)], 3.6),
            ("taken back", [(1, 0, 3.6), (2, 1.5, None)], None),
            ("taken back, sent before", [(1, 0, 3.6), (2, 0.5, None)], 3.6),
            ("taken back and named anew", [(1, 0, 3.6), (2, 1.5, None), (3, 2.5, 2.0)], 2.0),
            ("nothing at all", [(1, 0, 0.0)], 0.0),
        ]
    )
    def test_the_limit_that_holds(
        self, _name: str, answers: t.Sequence[Answer], expected: t.Optional[float]
    ) -> None:
        clock = ManualClock(0.0)
        limits = TargetLimits(clock)
        target = make_target()
        for at, sent_at, rate_per_s in answers:
            clock.now = at
            limits.note_answer(target, rate_per_s, sent_at)
        self.assertEqual(expected, limits.rate_of(target))
        self.assertEqual(int(expected is not None), limits.count())

    def test_another_lifetime_under_the_same_id_has_no_limit(self) -> None:
        limits = TargetLimits(ManualClock(0.0))
        limits.note_answer(make_target(born=1000), 3.6, 0.0)
        self.assertIsNone(limits.rate_of(make_target(born=2000)))


class ParseTest(unittest.TestCase):
    @parameterized.expand(
        [
            (b"3.6", 3.6),
            (b" 12 ", 12.0),
            (b"0", 0.0),
            (b"-1", None),
            (b"nan", None),
            (b"inf", None),
            (b"many", None),
            (b"", None),
        ]
    )
    def test_decimal_number(self, value: bytes, expected: t.Optional[float]) -> None:
        self.assertEqual(expected, parse_limit(value))
