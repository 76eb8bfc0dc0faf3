"""Tests of the rate limits that targets report, and of how entries agree on them."""

import typing as t
import unittest

import msgspec
from parameterized import parameterized

from coralfall import defaults
from coralfall.placement.target_limits import TargetLimits, token_bucket_for
from coralfall.placement.targets import TargetRegistry
from coralfall.process.clock import ManualClock
from coralfall.traffic.messages import GossipMessage
from coralfall.traffic.wire import parse_limit
from tests.traffic.entry_fixture import EntryFixture
from tests.traffic.limit_fleet import WINDOW_S, most_of
from tests.traffic.makers import make_target

#: Time of an answer in seconds, time at which its request was sent, and the reported limit.
Answer = t.Tuple[float, float, t.Optional[float]]


class AnswersTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("never reported", [(1, 0, None)], None),
            ("named", [(1, 0, 3.6)], 3.6),
            ("reported again", [(1, 0, 3.6), (2, 1.5, 3.6)], 3.6),
            ("lowered", [(1, 0, 3.6), (2, 1.5, 0.4)], 0.4),
            ("lowered, sent before", [(1, 0, 3.6), (2, 0.5, 0.4)], 0.4),
            ("raised", [(1, 0, 3.6), (2, 1.5, 7.0)], 7.0),
            ("raised, sent before", [(1, 0, 3.6), (2, 0.5, 7.0)], 3.6),
            ("no longer reported", [(1, 0, 3.6), (2, 1.5, None)], None),
            ("withdrawn, sent before", [(1, 0, 3.6), (2, 0.5, None)], 3.6),
            ("withdrawn and reported again", [(1, 0, 3.6), (2, 1.5, None), (3, 2.5, 2.0)], 2.0),
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
            limits.record_answer(target, rate_per_s, sent_at)
        self.assertEqual(expected, limits.rate_of(target))
        self.assertEqual(int(expected is not None), len(limits.in_force()))

    def test_another_lifetime_under_the_same_id_has_no_limit(self) -> None:
        limits = TargetLimits(ManualClock(0.0))
        limits.record_answer(make_target(born=1000), 3.6, 0.0)
        self.assertIsNone(limits.rate_of(make_target(born=2000)))


class BucketTest(unittest.TestCase):
    @parameterized.expand([(0.0,), (0.05,), (0.4,), (1.9,), (3.6,), (40.0,), (1000.0,)])
    def test_a_window_holds_less_than_the_users_allow(self, rate_per_s: float) -> None:
        bucket = token_bucket_for(rate_per_s)
        max_granted = bucket.rate_per_s * WINDOW_S + bucket.burst
        self.assertLessEqual(max_granted, most_of(rate_per_s))
        self.assertGreaterEqual(bucket.rate_per_s, rate_per_s)
        # The part of it that one region holds still has a token when the owner is lost.
        self.assertGreaterEqual(bucket.burst / 4, 1.0)


class AgreementTest(unittest.TestCase):
    """Entries that replicate limits by gossip messages."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.fleet = [EntryFixture(f"e{number}", self.clock) for number in range(3)]
        self.target = make_target()
        self.report_limit(0, 3.6)

    def report_limit(self, number: int, rate_per_s: t.Optional[float]) -> None:
        """An entry receives an answer to a request that it just sent."""
        limits = self.fleet[number].limits
        limits.record_answer(self.target, rate_per_s, self.clock.monotonic())

    def ask(self, asker: int, asked: int) -> None:
        """One exchange of gossip messages."""
        answer = self.fleet[asked].exchange.build_reply(self.fleet[asker].exchange.build_update())
        self.fleet[asker].exchange.merge(answer, self.clock.monotonic())

    def known(self, number: int) -> t.Optional[float]:
        return self.fleet[number].limits.rate_of(self.target)

    def tick(self) -> None:
        states = TargetRegistry(self.clock)
        states.update({self.target.target_id: self.target})
        for one in self.fleet:
            one.limits.tick(states.by_id)

    def test_a_limit_is_gossiped(self) -> None:
        self.ask(1, 0)
        self.ask(2, 1)
        self.assertEqual([3.6, 3.6], [self.known(1), self.known(2)])

    def test_an_entry_that_missed_the_updates_gets_all_limits(self) -> None:
        self.clock.advance(defaults.GOSSIP_UPDATE_TTL_S + 1.0)
        self.tick()
        self.assertEqual((), self.fleet[0].limits.recent_updates())
        self.ask(1, 0)
        self.assertEqual(3.6, self.known(1))
        self.assertEqual(self.fleet[0].limits.checksum(), self.fleet[1].limits.checksum())

    @parameterized.expand(
        [
            # concurrent changes at entries 0 and 1, and the limit that results
            ("one entry saw it withdrawn", [(0, None)], None),
            ("one entry saw it raised", [(0, 7.0)], 7.0),
            ("one entry saw it withdrawn, one saw it lowered", [(0, None), (1, 2.0)], 2.0),
            ("one entry saw it withdrawn later", [(1, 2.0), (0, 3.0), (0, None)], None),
        ]
    )
    def test_all_agree_on_what_came_last(
        self, _name: str, changes: t.Any, expected: t.Optional[float]
    ) -> None:
        self.ask(1, 0)
        self.ask(2, 0)
        for number, rate_per_s in changes:
            self.clock.advance(0.1)
            self.report_limit(number, rate_per_s)
        for asker, asked in ((0, 1), (1, 0), (2, 1), (0, 2)):
            self.ask(asker, asked)
        self.assertEqual([expected] * 3, [self.known(number) for number in range(3)])
        self.assertEqual(1, len({one.limits.checksum() for one in self.fleet}))

    def test_the_limit_of_an_unknown_target_is_removed(self) -> None:
        self.clock.advance(10.0)
        self.fleet[0].limits.tick({})
        self.assertEqual(
            (0, 0), (len(self.fleet[0].limits.in_force()), self.fleet[0].limits.checksum())
        )
        self.clock.advance(60.0)
        self.fleet[0].limits.tick({})
        self.assertEqual((), self.fleet[0].limits.snapshot())

    def test_entries_of_the_version_before_are_understood_and_understand(self) -> None:
        whole = msgspec.msgpack.decode(
            msgspec.msgpack.encode(self.fleet[0].exchange.build_update())
        )
        before = whole[: 1 + GossipMessage.__struct_fields__.index("limits")]
        decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(before), type=GossipMessage)
        self.assertEqual(((), 0), (decoded.limits, decoded.limits_sum))


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
