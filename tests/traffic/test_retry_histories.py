"""The users' rule on retries over histories of a fleet whose entries start, end and are cut off."""

import random
import typing as t
import unittest

import hypothesis
import hypothesis.strategies as st
from parameterized import parameterized

from coralfall.ids import EntryId
from tests.traffic.retry_fleet import RetryFleet

#: Seconds between two reads of the rows, and between two ticks.
READ_S = 2.0
TICK_S = 1.0


def play(
    fleet: RetryFleet,
    per_s: float,
    seconds: float,
    at_request: t.Callable[[], None] = lambda: None,
    max_delay_s: float = 0.0,
) -> None:
    """Sends requests at an even rate, which targets reject, to one entry after the other."""
    rng = random.Random(5)
    until = fleet.clock.now + seconds
    read_at = tick_at = fleet.clock.now
    number = 0
    while fleet.clock.now < until:
        fleet.clock.advance(1 / per_s)
        if fleet.clock.now >= read_at:
            read_at += READ_S
            for entry_id in fleet.entries_by_id:
                fleet.read(entry_id)
        if fleet.clock.now >= tick_at:
            tick_at += TICK_S
            fleet.tick()
        at_request()
        number += 1
        running = list(fleet.entries_by_id)
        fleet.request(running[number % len(running)], 1, rng.uniform(0.0, max_delay_s))


class RestartTest(unittest.TestCase):
    @parameterized.expand(
        [
            # name, entries, requests a second of the fleet, seconds between kills of all entries,
            # longest time until a retry arrives
            ("few requests", 12, 36, 1.5, 0.0),
            ("many requests", 12, 400, 0.5, 0.0),
            ("three entries", 3, 36, 1.5, 0.0),
            ("hundreds of entries", 530, 400, 1.5, 0.0),
            ("once, after shares were used", 12, 36, 20.0, 0.0),
            ("late arrivals", 12, 400, 5.0, 1.0),
            ("hundreds, late arrivals", 530, 3000, 5.0, 1.0),
        ]
    )
    def test_starts_do_not_renew_the_retry_budget(
        self, _name: str, entries: int, per_s: int, gap_s: float, delay_s: float
    ) -> None:
        fleet = RetryFleet(entries)
        killed_at = fleet.clock.now

        def kill_all() -> None:
            nonlocal killed_at
            if fleet.clock.now - killed_at >= gap_s:
                killed_at = fleet.clock.now
                for entry_id in fleet.ids:
                    fleet.start(entry_id)

        play(fleet, per_s, 35.0, kill_all, delay_s)
        self.assertIsNone(fleet.excess())


class JoinTest(unittest.TestCase):
    @parameterized.expand(
        [
            # name, entries that run, those that join or are left, whether the store is away
            # while they join
            ("fleet doubles", 12, 24, False),
            ("many join a few", 3, 48, False),
            ("half stops", 12, 6, False),
            ("most stop", 48, 3, False),
            ("many join while others hear nothing", 3, 48, True),
        ]
    )
    def test_share_is_spent_once_a_window_however_many_divide_it(
        self, _name: str, entries: int, others: int, cut_off: bool
    ) -> None:
        for spent_after_s in range(0, 40):
            fleet = RetryFleet(entries)
            play(fleet, 1.0, 40.0)
            if cut_off:
                fleet.cut_off.update(fleet.ids)
            for number in range(others):
                if number >= entries:
                    fleet.start(EntryId(f"e{number}"))
            for entry_id in fleet.ids[others:]:
                fleet.retry(entry_id, 100)
                fleet.stop(entry_id)
            _pass(fleet, float(spent_after_s), retries=0)
            for entry_id in fleet.entries_by_id:
                fleet.retry(entry_id, 100)
            fleet.cut_off.clear()
            _pass(fleet, 30.0, retries=100)
            self.assertIsNone(fleet.excess(), spent_after_s)


class LostRowTest(unittest.TestCase):
    """The store loses rows as it comes back from an older copy."""

    @parameterized.expand([(f"{away_s} s", away_s) for away_s in (5, 10, 14, 18, 25)])
    def test_an_entry_that_never_saw_a_lost_row_does_not_spend_its_share_too(
        self, _name: str, away_s: int
    ) -> None:
        fleet = RetryFleet(1)
        play(fleet, 1.0, 40.0)
        fleet.cut_off.add(fleet.ids[0])
        joined = EntryId("e1")
        fleet.start(joined)
        _pass(fleet, float(away_s), retries=0)
        fleet.retry(joined, 100)
        fleet.rows.discard(joined)
        fleet.cut_off.add(joined)
        fleet.cut_off.discard(fleet.ids[0])
        _pass(fleet, 12.0, retries=100)
        self.assertIsNone(fleet.excess())


_entry_numbers = st.integers(0, 15)
_steps = st.lists(
    st.one_of(
        st.tuples(st.just("pass"), st.floats(0.05, 6.0)),
        st.tuples(st.just("burst"), _entry_numbers, st.integers(1, 400)),
        st.tuples(st.just("calm"), _entry_numbers, st.integers(1, 400)),
        st.tuples(st.just("all"), st.integers(1, 40)),
        st.tuples(st.sampled_from(["start", "stop", "cut", "heal", "forget"]), _entry_numbers),
        st.tuples(st.sampled_from(["start all", "store away", "store back"])),
    ),
    max_size=60,
)


class HistoryTest(unittest.TestCase):
    @parameterized.expand([("three", 3), ("twelve", 12), ("sixty", 60)])
    def test_rule_holds_over_all_lifetimes(self, _name: str, entry_count: int) -> None:
        @hypothesis.settings(max_examples=80, deadline=None, derandomize=True)
        @hypothesis.given(_steps)
        def check(steps: t.List[t.Tuple[t.Any, ...]]) -> None:
            fleet = RetryFleet(entry_count)
            for step in steps:
                _take(fleet, step)
                self.assertLessEqual(fleet.shares(), fleet.bounds.budget_slack)
            self.assertIsNone(fleet.excess())

        check()


def _take(fleet: RetryFleet, step: t.Tuple[t.Any, ...]) -> None:
    kind, *values = step
    if kind == "pass":
        _pass(fleet, values[0])
    elif kind == "all":
        for entry_id in list(fleet.entries_by_id):
            for _ in range(values[0]):
                fleet.request(entry_id, 2)
    elif kind == "start all":
        for entry_id in list(fleet.entries_by_id):
            fleet.start(entry_id)
    elif kind == "store away":
        fleet.cut_off.update(EntryId(f"e{number}") for number in range(100))
    elif kind == "store back":
        fleet.cut_off.clear()
    else:
        _take_of_entry(fleet, kind, EntryId(f"e{values[0]}"), values[1:])


def _take_of_entry(
    fleet: RetryFleet, kind: str, entry_id: EntryId, values: t.Sequence[t.Any]
) -> None:
    if kind == "start":
        # Numbers beyond the first entries join the fleet.
        fleet.start(entry_id)
    elif kind == "stop":
        fleet.stop(entry_id)
    elif kind == "cut":
        fleet.cut_off.add(entry_id)
    elif kind == "heal":
        fleet.cut_off.discard(entry_id)
    elif kind == "forget":
        fleet.rows.discard(entry_id)
    elif entry_id in fleet.entries_by_id:
        for _ in range(values[0]):
            fleet.request(entry_id, 3 if kind == "burst" else 0)


def _pass(fleet: RetryFleet, seconds: float, retries: int = 100) -> None:
    until = fleet.clock.now + seconds
    while fleet.clock.now < until:
        fleet.tick(min(1.0, until - fleet.clock.now))
        for entry_id in fleet.entries_by_id:
            fleet.read(entry_id)
            # Spends what time alone may have brought.
            fleet.retry(entry_id, retries)


class ShareTest(unittest.TestCase):
    @parameterized.expand(
        [
            # name, entries, seconds since the start, expected shares of all entries
            ("at a start", 12, 1.0, 0),
            ("settling", 12, 16.0, 0),
            ("settled", 12, 18.0, 64),
            ("three", 3, 18.0, 64),
            ("hundreds", 530, 18.0, 64),
        ]
    )
    def test_shares_of_all_entries(
        self, _name: str, entries: int, seconds: float, expected: int
    ) -> None:
        fleet = RetryFleet(entries)
        play(fleet, 10.0, seconds)
        self.assertEqual(expected, fleet.shares())

    @parameterized.expand(
        [
            ("store away", lambda fleet: fleet.cut_off.update(fleet.ids), 0, 64),
            ("one row deleted", lambda fleet: fleet.rows.discard("e1"), 59, 64),
            ("one entry cut off", lambda fleet: fleet.cut_off.add("e1"), 59, 64),
            ("all start again", lambda fleet: [fleet.start(one) for one in fleet.ids], 0, 64),
        ]
    )
    def test_shares_after_trouble(
        self,
        _name: str,
        trouble: t.Callable[[RetryFleet], None],
        at_least: int,
        at_most: int,
    ) -> None:
        fleet = RetryFleet(12)
        play(fleet, 10.0, 20.0)
        trouble(fleet)
        least = most = 64

        def check() -> None:
            nonlocal least, most
            least, most = min(least, fleet.shares()), max(most, fleet.shares())

        play(fleet, 10.0, 16.9, check)
        play(fleet, 10.0, 8.0, check)
        self.assertLessEqual(most, at_most)
        self.assertGreaterEqual(least, at_least - 1)
        fleet.cut_off.clear()
        for entry_id in fleet.ids:
            fleet.rows.add(entry_id)
        play(fleet, 10.0, 20.0)
        self.assertEqual(64, fleet.shares())

    @parameterized.expand(
        [
            ("few requests", 12, 4.0),
            ("light load", 12, 36.0),
            ("usual load", 12, 310.0),
            ("three entries", 3, 36.0),
            ("hundreds of entries", 530, 2000.0),
        ]
    )
    def test_most_of_what_is_allowed_can_be_used(
        self, _name: str, entries: int, per_s: float
    ) -> None:
        fleet = RetryFleet(entries)
        play(fleet, per_s, 25.0)
        before = fleet.retry_count()
        play(fleet, per_s, 11.0)
        retries = fleet.retry_count() - before
        wanted = per_s * 11.0
        allowed = per_s * 11.0 * fleet.bounds.budget_ratio + fleet.bounds.budget_slack
        self.assertGreaterEqual(retries, 0.6 * min(wanted, allowed))
        self.assertIsNone(fleet.excess())
