"""Tests of which requests are quarantined after crashes, and of how entries agree on them."""

import typing as t
import unittest

import msgspec
from parameterized import parameterized

from coralfall import defaults
from coralfall.ids import TargetId
from coralfall.peering.message import Message
from coralfall.placement.fingerprint import CallerDigest, Fingerprint, HeadDigest, caller_digest
from coralfall.placement.quarantine import Quarantine, crash_digest
from coralfall.process.clock import ManualClock
from coralfall.traffic.messages import GossipMessage
from coralfall.traffic.model import EntryRecord
from tests.traffic.entry_fixture import EntryFixture
from tests.traffic.makers import make_record


class EarlierNews(Message, frozen=True, tag=32):
    """A gossip message as an older version decodes it, which knows only its first fields."""

    records: t.Tuple[EntryRecord, ...]


CALLER_A, CALLER_B = caller_digest("10.0.0.1"), caller_digest("10.0.0.2")


def named(name: str) -> Fingerprint:
    """Fingerprint of a request that is identified by a name."""
    return Fingerprint(HeadDigest(sum(name.encode())), 7)


def crash(
    quarantine: Quarantine, target: str, *requests: str, caller: CallerDigest = CALLER_A
) -> None:
    """Records a crash of a target with these requests in flight."""
    listed = [(named(request), caller) for request in requests]
    quarantine.record_crash(crash_digest(TargetId(target), 1), listed)


def refused(quarantine: Quarantine, *requests: str, caller: CallerDigest = CALLER_A) -> t.Set[str]:
    return {request for request in requests if quarantine.refuses(named(request), caller)}


class FaultTest(unittest.TestCase):
    @parameterized.expand(
        [
            # requests in flight at each crash, and those that are quarantined
            ("one, three times", ["x", "x", "x"], "x"),
            ("one, twice", ["x", "x"], ""),
            ("another beside it each time", ["xa", "xb", "xc"], "x"),
            ("one beside it twice", ["xa", "xa", "x"], "x"),
            # It can't be told yet which of them is the cause; two more sends show it.
            ("one beside it each time", ["xa", "xa", "xa"], ""),
            ("one beside it but the last time", ["xa", "xa", "xa", "x"], "x"),
            (
                "two that are still ambiguous after five crashes",
                ["xa", "xa", "xa", "xa", "xa"],
                "xa",
            ),
            ("one beside it three times of many", ["xa", "xa", "xa", "x", "x", "x"], "x"),
            ("two at fault at a time", ["xy", "x", "y", "x", "y", "x", "y"], "xy"),
            ("many, each of them once", ["abc", "def", "ghi", "xyz"], ""),
        ]
    )
    def test_which_requests_are_quarantined(
        self, _name: str, in_flight: t.Sequence[str], expected: str
    ) -> None:
        quarantine = Quarantine(600.0, ManualClock(100.0))
        for number, requests in enumerate(in_flight):
            crash(quarantine, f"t{number}", *requests)
        self.assertEqual(set(expected), refused(quarantine, *"abcdefghixyz"))

    def test_two_entries_that_saw_one_crash_count_it_once(self) -> None:
        quarantine = Quarantine(600.0, ManualClock(100.0))
        for _ in range(5):
            crash(quarantine, "t1", "x")
        self.assertEqual(set(), refused(quarantine, "x"))

    def test_an_answered_request_is_not_quarantined(self) -> None:
        quarantine = Quarantine(600.0, ManualClock(100.0))
        for number in range(9):
            crash(quarantine, f"t{number}", "x")
            quarantine.record_answer(named("x"))
        self.assertEqual(set(), refused(quarantine, "x"))
        for number in range(10, 13):
            crash(quarantine, f"t{number}", "x")
        self.assertEqual({"x"}, refused(quarantine, "x"))

    def test_another_caller_s_equal_request_is_not_blocked(self) -> None:
        quarantine = Quarantine(600.0, ManualClock(100.0))
        for number in range(3):
            crash(quarantine, f"t{number}", "x")
        self.assertEqual(set(), refused(quarantine, "x", caller=CALLER_B))
        # Once another caller's request crashes a target, too, it is blocked for all callers.
        crash(quarantine, "t3", "x", caller=CALLER_B)
        self.assertEqual({"x"}, refused(quarantine, "x", caller=caller_digest("10.0.0.3")))

    @parameterized.expand(
        [
            ("it still arrives", 500.0, 10, True),
            ("it no longer arrives", 601.0, 1, False),
        ]
    )
    def test_how_long_it_is_refused(
        self, _name: str, pause_s: float, times: int, still: bool
    ) -> None:
        clock = ManualClock(100.0)
        quarantine = Quarantine(600.0, clock)
        for number in range(3):
            crash(quarantine, f"t{number}", "x")
        for _ in range(times):
            clock.advance(pause_s)
            quarantine.expire()
            self.assertEqual({"x"} if still else set(), refused(quarantine, "x"))
        self.assertEqual(not still, quarantine.is_empty)

    def test_crashes_minutes_apart_count(self) -> None:
        clock = ManualClock(100.0)
        quarantine = Quarantine(600.0, clock)
        for number in range(3):
            crash(quarantine, f"t{number}", "x")
            clock.advance(400.0)
            quarantine.expire()
        self.assertEqual({"x"}, refused(quarantine, "x"))

    def test_an_operator_can_release_all(self) -> None:
        quarantine = Quarantine(600.0, ManualClock(100.0))
        for number in range(3):
            crash(quarantine, f"t{number}", "x")
        quarantine.set_retention(0.0)
        crash(quarantine, "t4", "x")
        quarantine.set_retention(600.0)
        self.assertEqual(set(), refused(quarantine, "x"))
        self.assertTrue(quarantine.is_empty)

    def test_a_trial_ends_it_if_a_target_answers(self) -> None:
        """Targets may have crashed for a reason that is over; no operator has to act then."""
        clock = ManualClock(100.0)
        quarantine = Quarantine(600.0, clock)
        quarantine.runs_trial = lambda fingerprint: first
        urgent_flags: t.List[bool] = []
        quarantine.on_update = urgent_flags.append
        first = True
        for number in range(3):
            crash(quarantine, f"t{number}", "x")
        self.assertFalse(quarantine.start_trial(named("x")))
        clock.advance(defaults.QUARANTINE_TRY_S)
        first = False
        self.assertFalse(quarantine.start_trial(named("x")))
        first = True
        del urgent_flags[:]
        self.assertTrue(quarantine.start_trial(named("x")))
        self.assertEqual([True], urgent_flags)
        # There is one trial only, and other attempts are rejected meanwhile.
        self.assertFalse(quarantine.start_trial(named("x")))
        self.assertEqual({"x"}, refused(quarantine, "x"))
        quarantine.record_answer(named("x"))
        self.assertEqual(set(), refused(quarantine, "x"))

    def test_the_number_of_suspects_is_bounded(self) -> None:
        quarantine = Quarantine(600.0, ManualClock(100.0))
        for number in range(3):
            crash(quarantine, f"t{number}", "x")
        for number in range(defaults.MAX_SUSPECT_REQUESTS + 300):
            quarantine.record_crash(
                crash_digest(TargetId(f"m{number}"), 1),
                [(Fingerprint(HeadDigest(number + 10_000), 1), CALLER_A)],
            )
        quarantine.expire()
        self.assertEqual({"x"}, refused(quarantine, "x"))
        self.assertLessEqual(len(quarantine.recent_updates()), defaults.MAX_GOSSIP_SUSPECT_REQUESTS)
        self.assertEqual(1, len(quarantine.snapshot()))


class AgreementTest(unittest.TestCase):
    """Entries that exchange gossip when the test says so, on one clock."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.fleet = [self.entry(f"e{number}") for number in range(4)]

    def entry(self, name: str) -> EntryFixture:
        known = EntryFixture(name, self.clock)
        known.members.merge_records([make_record(f"e{number}") for number in range(4)])
        return known

    def ask(self, asker: EntryFixture, asked: EntryFixture) -> None:
        """One entry exchanges gossip with another."""
        asked.exchange.merge(asker.exchange.build_update())
        asker.exchange.merge(asked.exchange.build_reply(asker.exchange.build_update()))

    def blocks(self, *entries: EntryFixture) -> t.List[bool]:
        return [bool(refused(known.quarantine, "x")) for known in entries]

    def crash_three(self) -> None:
        """Each of three entries sees one crash, and gossips with the next entry."""
        for number in range(3):
            crash(self.fleet[number].quarantine, f"t{number}", "x")
            self.ask(self.fleet[number + 1], self.fleet[number])

    def test_crashes_seen_by_different_entries_add_up(self) -> None:
        self.crash_three()
        self.assertEqual([False, False, True, True], self.blocks(*self.fleet))
        self.ask(self.fleet[0], self.fleet[3])
        self.assertEqual([True], self.blocks(self.fleet[0]))

    @parameterized.expand(
        [
            ("an entry that was partitioned or paused", 30.0, False),
            ("an entry that was away for minutes", 500.0, False),
            ("an entry that was restarted", 30.0, True),
        ]
    )
    def test_an_entry_that_missed_it_learns_it_in_one_exchange(
        self, _name: str, away_s: float, restarted: bool
    ) -> None:
        away = self.fleet[0]
        self.crash_three()
        # Longer than updates are gossiped.
        self.clock.advance(away_s)
        if restarted:
            away = self.entry("e0")
        self.ask(away, self.fleet[3])
        self.assertEqual([True], self.blocks(away))

    def test_a_suspect_that_expired_returns_with_its_age(self) -> None:
        self.crash_three()
        for known in self.fleet:
            self.ask(known, self.fleet[3])
        self.clock.advance(400.0)
        self.assertEqual([True], self.blocks(self.fleet[1]))
        self.clock.advance(300.0)
        for known in self.fleet:
            known.quarantine.expire()
        self.assertEqual([False, True, False, False], self.blocks(*self.fleet))
        self.ask(self.fleet[2], self.fleet[1])
        self.assertEqual([True], self.blocks(self.fleet[2]))

    def test_trials_are_gossiped(self) -> None:
        self.crash_three()
        for known in self.fleet * 2:
            self.ask(known, self.fleet[3])
        self.clock.advance(defaults.QUARANTINE_TRY_S)
        self.assertTrue(self.fleet[0].quarantine.start_trial(named("x")))
        self.ask(self.fleet[1], self.fleet[0])
        self.assertFalse(self.fleet[1].quarantine.start_trial(named("x")))

    def test_entries_of_the_version_before_are_understood_and_understand(self) -> None:
        self.crash_three()
        news = self.fleet[3].exchange.build_update()
        encoded = msgspec.msgpack.encode(news)
        whole = msgspec.msgpack.decode(encoded)
        # The first element is the tag of the message.
        before = whole[: 1 + GossipMessage.__struct_fields__.index("suspects")]
        decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(before), type=GossipMessage)
        self.assertEqual(((), 0), (decoded.suspects, decoded.suspects_sum))
        self.assertEqual(before, msgspec.msgpack.decode(encoded)[: len(before)])
        self.assertEqual(news.records, msgspec.msgpack.decode(encoded, type=EarlierNews).records)

    def test_one_entry_runs_the_trial(self) -> None:
        names = [f"request{number}" for number in range(40)]
        for known in self.fleet:
            known.members.update_own(ready=True)
        chosen = [
            [known.members.is_responsible_for(name) for known in self.fleet] for name in names
        ]
        self.assertEqual({1}, {sum(one) for one in chosen})
        self.assertGreater(len({tuple(one) for one in chosen}), 1)

    def test_nothing_is_sent_once_checksums_agree(self) -> None:
        self.crash_three()
        for known in self.fleet * 2:
            self.ask(known, self.fleet[3])
        self.assertEqual(1, len({known.quarantine.checksum() for known in self.fleet}))
        self.clock.advance(defaults.GOSSIP_UPDATE_TTL_S + 1)
        answer = self.fleet[0].exchange.build_reply(self.fleet[1].exchange.build_update())
        self.assertEqual((), answer.suspects)

    def test_an_answer_clears_it_everywhere(self) -> None:
        crash(self.fleet[0].quarantine, "t0", "x")
        crash(self.fleet[0].quarantine, "t1", "x")
        self.ask(self.fleet[1], self.fleet[0])
        self.fleet[1].quarantine.record_answer(named("x"))
        self.ask(self.fleet[0], self.fleet[1])
        crash(self.fleet[0].quarantine, "t2", "x")
        self.assertEqual([False], self.blocks(self.fleet[0]))

    def test_a_repeated_suspect_is_an_urgent_update(self) -> None:
        urgent_flags: t.List[bool] = []
        quarantine = self.fleet[0].quarantine
        quarantine.on_update = urgent_flags.append
        crash(quarantine, "t0", "x", "a")
        crash(quarantine, "t1", "b")
        crash(quarantine, "t2", "x", "c")
        self.assertEqual([False, False, True], urgent_flags)
