"""Tests of what an entry knows: replicas, belief, members, who reads, and what entries exchange."""

import asyncio
import functools
import typing as t
import unittest

import hypothesis
import hypothesis.strategies as st
import msgspec
from parameterized import parameterized

from coralfall import defaults
from coralfall.exceptions import DesiredStateError, HistoryLostError, PlatformUnavailableError
from coralfall.ids import Revision, TargetId
from coralfall.process.clock import Clock, ManualClock
from coralfall.stores.store import Changes, Feed, Row
from coralfall.traffic.follower import Follower
from coralfall.traffic.messages import GossipMessage
from coralfall.traffic.poll_intervals import poll_intervals_for
from coralfall.traffic.replica import Replica
from tests.traffic.entry_fixture import EntryFixture
from tests.traffic.makers import (
    NORTE,
    make_record,
    make_state,
    make_target,
    seeded_rng,
)
from tests.virtual_loop import LoopClock, run_virtual


class MemoryFeed(Feed):
    """A store in memory with one counter and one clock, as the platform's.

    :param clock: tells the time, by which the store's own is 5000 s ahead.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        #: When it last answered.
        self.read_at = -float("inf")
        self.rows: t.Dict[str, Row] = {}
        self.revision = 0
        self.kept_from = 0
        #: Seconds between the look at the rows and the answer, which is stamped as it is sent.
        self.slow_s = 0.0
        self.down = False
        self.reads = 0
        #: Reads of all rows below a prefix.
        self.snapshots = 0

    def put(self, key: str, value: t.Any) -> None:
        self.revision += 1
        data = None if value is None else msgspec.json.encode(value)
        self.rows[key] = Row(key, data, Revision(self.revision))

    async def snapshot(self, prefix: str) -> Changes:
        self._read()
        self.snapshots += 1
        rows = [row for key, row in self.rows.items() if key.startswith(prefix) and row.value]
        return Changes(tuple(rows), Revision(self.revision), self._stamp())

    async def follow(self, prefix: str, since: Revision, wait_s: float) -> Changes:
        self._read()
        if since < self.kept_from:
            raise HistoryLostError("compacted")
        found = self._after(prefix, since)
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
            return Changes(tuple(found), Revision(self.revision), self._stamp())
        if not found and wait_s:
            await asyncio.sleep(wait_s)
            found = self._after(prefix, since)
        return Changes(tuple(found), Revision(self.revision), self._stamp())

    def _after(self, prefix: str, since: Revision) -> t.List[Row]:
        rows = [row for row in self.rows.values() if row.key.startswith(prefix)]
        return sorted([row for row in rows if row.revision > since], key=lambda row: row.revision)

    def _stamp(self) -> float:
        self.read_at = self._clock.monotonic()
        return self.read_at + 5000.0

    def _read(self) -> None:
        self.reads += 1
        if self.down:
            raise PlatformUnavailableError("down")


def text_replica(drops_unreadable: bool = False) -> "Replica[str]":
    """A replica of texts, in which ``bad`` can't be read and case means nothing."""

    def decode(key: str, data: bytes) -> str:
        if data == b"bad":
            raise DesiredStateError(f"{key} is bad")
        return data.decode().lower()

    return Replica("texts", decode, drops_unreadable)


class ReplicaTest(unittest.TestCase):
    def test_a_row_never_goes_back(self) -> None:
        replica = text_replica()
        replica.apply_changes([Row("k", b"new", Revision(5))], Revision(5), 1.0)
        changed = replica.apply_changes([Row("k", b"old", Revision(4))], Revision(5), 2.0)
        self.assertEqual((set(), "new"), (changed, replica.get("k")))

    def test_a_deletion_is_not_undone_by_an_older_write(self) -> None:
        replica = text_replica()
        replica.apply_changes([Row("k", b"a", Revision(3))], Revision(3), 1.0)
        replica.apply_changes([Row("k", None, Revision(6))], Revision(6), 1.0)
        replica.apply_changes([Row("k", b"a", Revision(5))], Revision(6), 1.0)
        self.assertIsNone(replica.get("k"))

    def test_what_can_t_be_read_leaves_the_last_good_row(self) -> None:
        replica = text_replica()
        replica.apply_changes([Row("k", b"good", Revision(1))], Revision(1), 1.0)
        changed = replica.apply_changes([Row("k", b"bad", Revision(2))], Revision(2), 1.0)
        self.assertEqual((set(), "good"), (changed, replica.get("k")))

    def test_what_can_t_be_read_ends_the_good_row_if_told_so(self) -> None:
        replica = text_replica(drops_unreadable=True)
        replica.apply_changes([Row("k", b"good", Revision(1))], Revision(1), 1.0)
        changed = replica.apply_changes([Row("k", b"bad", Revision(2))], Revision(2), 1.0)
        self.assertEqual(({"k"}, None), (changed, replica.get("k")))
        other = text_replica(drops_unreadable=True)
        other.apply_changes([Row("k", b"good", Revision(1))], Revision(1), 1.0)
        other.apply_delta(replica.delta(Revision(1)), 1.0)
        self.assertIsNone(other.get("k"))
        replica.apply_changes([Row("k", b"again", Revision(3))], Revision(3), 1.0)
        self.assertEqual(("again", set()), (replica.get("k"), replica.unreadable_keys))

    def test_a_write_that_says_nothing_new_is_passed_over(self) -> None:
        replica = text_replica()
        replica.apply_changes([Row("k", b"a", Revision(1))], Revision(1), 1.0)
        self.assertEqual(
            set(), replica.apply_changes([Row("k", b"A", Revision(2))], Revision(2), 1.0)
        )
        self.assertEqual((), replica.delta(Revision(1)).unpack())

    def test_a_snapshot_tells_of_what_is_gone(self) -> None:
        replica = text_replica()
        rows = [Row("a", b"1", Revision(1)), Row("b", b"2", Revision(2))]
        replica.apply_snapshot(rows, Revision(2), 1.0)
        changed = replica.apply_snapshot(rows[:1], Revision(9), 2.0)
        self.assertEqual(({"b"}, {"a": "1"}), (changed, replica.values()))

    def test_an_old_snapshot_changes_nothing(self) -> None:
        replica = text_replica()
        replica.apply_changes([Row("a", b"1", Revision(7))], Revision(7), 1.0)
        replica.apply_snapshot([], Revision(6), 2.0)
        self.assertEqual({"a": "1"}, replica.values())

    def test_a_delta_with_a_gap_before_it_can_t_be_taken(self) -> None:
        source, other = text_replica(), text_replica()
        source.apply_changes([Row("a", b"1", Revision(7))], Revision(7), 1.0)
        source.apply_changes([Row("a", b"2", Revision(9))], Revision(9), 1.0)
        other.apply_changes([Row("a", b"1", Revision(3))], Revision(3), 1.0)
        self.assertFalse(other.can_apply(source.delta(Revision(8))))
        self.assertTrue(other.can_apply(source.delta(Revision(3))))

    @hypothesis.given(
        writes=st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from([b"1", b"2", None]))),
        order=st.randoms(use_true_random=False),
    )
    @hypothesis.settings(derandomize=True, max_examples=120, deadline=None)
    def test_deltas_in_any_order_and_twice_end_at_the_same_rows(
        self, writes: t.List[t.Tuple[str, t.Optional[bytes]]], order: t.Any
    ) -> None:
        source = text_replica()
        deltas = []
        for number, (key, value) in enumerate(writes, start=1):
            since = source.revision
            source.apply_changes([Row(key, value, Revision(number))], Revision(number), 1.0)
            deltas.append(source.delta(since))
        other = text_replica()
        order.shuffle(deltas)
        for delta in deltas + deltas:
            if other.can_apply(delta) and delta.revision > other.revision:
                other.apply_delta(delta, 1.0)
        if other.revision < source.revision:
            other.apply_delta(source.delta(other.revision), 1.0)
        self.assertEqual(source.values(), other.values())


class BeliefTest(unittest.TestCase):
    def test_versions_only_rise(self) -> None:
        known = EntryFixture()
        known.learn_state(1, "state/a", make_state(7))
        known.learn_state(2, "state/a", make_state(5))
        self.assertEqual(7, known.state_view.version)
        known.learn_state(3, "state/a", None)
        self.assertEqual(7, known.state_view.version)

    def test_evacuations_come_and_go(self) -> None:
        known = EntryFixture()
        known.learn_targets(1, make_target(1))
        state = known.steered.targets.by_id[TargetId("t1")]
        known.learn_state(2, f"state/evacuate/{NORTE}", {})
        self.assertFalse(known.steered.targets.may_use(state))
        known.learn_state(3, f"state/evacuate/{NORTE}", None)
        self.assertTrue(known.steered.targets.may_use(state))

    @parameterized.expand([("after an outage", 10.0, True), ("in the middle of a day", 0.5, False)])
    def test_targets_that_vanish(self, _name: str, silence_s: float, kept: bool) -> None:
        known = EntryFixture()
        clock = t.cast(ManualClock, known.clock)
        known.learn_targets(1, make_target(1), make_target(2))
        clock.advance(silence_s)
        known.learn_targets(2, make_target(2))
        self.assertEqual(kept, TargetId("t1") in known.steered.targets.by_id)
        clock.advance(defaults.MISSING_TARGET_GRACE_S)
        known.state_view.tick()
        self.assertNotIn(TargetId("t1"), known.steered.targets.by_id)

    def test_a_leaving_target_that_vanishes_in_an_outage_is_gone(self) -> None:
        known = EntryFixture()
        known.learn_targets(1, make_target(1, leaving=True), make_target(2))
        t.cast(ManualClock, known.clock).advance(10.0)
        known.learn_targets(2, make_target(2))
        self.assertNotIn(TargetId("t1"), known.steered.targets.by_id)

    @parameterized.expand([("before the outage", False), ("after it", True)])
    def test_a_target_whose_row_can_t_be_read_gets_nothing(self, _name: str, late: bool) -> None:
        known = EntryFixture()
        known.learn_targets(1, make_target(1), make_target(2))
        if late:
            t.cast(ManualClock, known.clock).advance(10.0)
            known.learn_targets(2, make_target(2))
            self.assertIn(TargetId("t1"), known.steered.targets.by_id)
        rows = known.state_view.target_rows
        row = Row("targets/t1", b"{", Revision(3))
        known.state_view.apply_target_changes(rows.apply_changes([row], Revision(3), 1.0))
        self.assertEqual({TargetId("t2")}, set(known.steered.targets.by_id))

    @parameterized.expand([("newest first", (4, 3)), ("in order", (3, 4))])
    def test_a_new_lifetime_under_an_id_starts_with_nothing(
        self, _name: str, order: t.Sequence[int]
    ) -> None:
        """An entry that was away hears of both lifetimes by deltas, in any order."""
        known = EntryFixture()
        known.learn_targets(1, make_target(1, born=100), make_target(2))
        before = known.steered.targets.by_id[TargetId("t1")]
        before.record_load(4, 9)
        before.record_failure(reached=False)
        born_by_revision = {3: 100, 4: 200}
        for revision in order:
            target = make_target(1, born=born_by_revision[revision], cold_s=3.0)
            row = Row("targets/t1", msgspec.json.encode(target), Revision(revision))
            rows = known.state_view.target_rows
            known.state_view.apply_target_changes(rows.apply_changes([row], Revision(4), 1.0))
        state = known.steered.targets.by_id[TargetId("t1")]
        self.assertEqual(200, state.target.born)
        self.assertEqual((0.0, True, True), (state.load(), state.is_usable(), state.is_cold()))
        self.assertFalse(known.steered.targets.may_use(before))


class ExchangeTest(unittest.TestCase):
    def test_the_one_behind_learns_and_ages_are_kept(self) -> None:
        ahead, behind = EntryFixture("e1"), EntryFixture("e2")
        ahead.learn_state(3, "state/a", make_state(4))
        ahead.learn_targets(5, make_target(1))
        t.cast(ManualClock, ahead.clock).advance(2.0)
        answer = ahead.exchange.build_reply(behind.exchange.build_update())
        self.assertFalse(behind.exchange.merge(answer, behind.clock.monotonic()))
        self.assertEqual(4, behind.state_view.version)
        self.assertIn(TargetId("t1"), behind.steered.targets.by_id)
        # A bound: never too young, and too old by no more than clocks may drift.
        self.assertGreaterEqual(behind.state_view.state_age_s(), 2.0)
        self.assertLess(behind.state_view.state_age_s(), 2.001)
        self.assertEqual({"e1", "e2"}, behind.members.known_ids())

    def test_the_one_ahead_is_asked_by_the_one_that_hears_of_it(self) -> None:
        ahead, behind = EntryFixture("e1"), EntryFixture("e2")
        ahead.learn_state(3, "state/a", make_state(4))
        self.assertTrue(behind.exchange.merge(ahead.exchange.build_update()))

    def test_nothing_new_is_not_sent(self) -> None:
        one, other = EntryFixture("e1"), EntryFixture("e2")
        one.learn_state(3, "state/a", make_state(4))
        other.exchange.merge(one.exchange.build_reply(other.exchange.build_update()))
        answer = one.exchange.build_reply(other.exchange.build_update())
        self.assertEqual((None, None), (answer.state, answer.targets))

    @parameterized.expand([("by a question", True), ("by an answer", False)])
    def test_an_entry_that_was_held_dead_learns_it_and_lives(self, _name: str, asks: bool) -> None:
        one, dead = EntryFixture("e1"), EntryFixture("e2")
        one.members.merge_records([make_record("e2")])
        for _ in range(defaults.SUSPECT_MISSED_PROBES):
            one.members.record_probe_failure(make_record("e2").peer_address)
        t.cast(ManualClock, one.clock).advance(60.0)
        self.assertEqual([], one.members.alive_records())
        asker, other = (one, dead) if asks else (dead, one)
        news = asker.exchange.build_update(address=other.members.own_record.peer_address)
        other.exchange.merge(news)
        asker.exchange.merge(other.exchange.build_reply(news))
        if not asks:
            one.exchange.merge(dead.exchange.build_update())
        self.assertEqual(["e2"], [record.entry_id for record in one.members.alive_records()])

    def test_news_are_carried_by_msgpack(self) -> None:
        known = EntryFixture()
        known.learn_state(3, "state/a", make_state(4))
        news = known.exchange.build_update(Revision(0), Revision(0))
        self.assertEqual(
            news, msgspec.msgpack.decode(msgspec.msgpack.encode(news), type=GossipMessage)
        )


class RefusingFeed(Feed):
    """The store as one entry finds it, which it may turn away."""

    def __init__(self, feed: MemoryFeed, refused: t.Set[int], number: int) -> None:
        self._feed = feed
        self._refused = refused
        self._number = number

    async def snapshot(self, prefix: str) -> Changes:
        self._check()
        return await self._feed.snapshot(prefix)

    async def follow(self, prefix: str, since: Revision, wait_s: float) -> Changes:
        self._check()
        return await self._feed.follow(prefix, since, wait_s)

    def _check(self) -> None:
        if self._number in self._refused:
            raise PlatformUnavailableError("turned away")


class Fleet:
    """Entries that follow one store and are told of what another one read.

    :param way_s: seconds that what one hands on is under way to the others.
    :param bound_s: seconds within which all have to know.
    """

    def __init__(self, clock: Clock, count: int, way_s: float = 0.0, bound_s: float = 2.0) -> None:
        self.feed = MemoryFeed(clock)
        #: Numbers of entries that the store turns away.
        self.refused: t.Set[int] = set()
        #: How often one has handed on what it read.
        self.handed_on = 0
        #: Revisions after which rows were handed on.
        self.handed_on_since: t.List[Revision] = []
        self._way_s = way_s
        self.known = [EntryFixture(f"e{number}", clock) for number in range(count)]
        self.cut: t.Set[int] = set()
        self.followers = [
            Follower(
                "state/",
                known.state_view.state_rows,
                RefusingFeed(self.feed, self.refused, number),
                known.members,
                clock,
                known.state_view.store_clock,
                seeded_rng(),
                pace=poll_intervals_for(bound_s),
                held=True,
                before=lambda age: None,
                changed=known.state_view.apply_state_changes,
                hand_on=functools.partial(self._hand_on, number),
            )
            for number, known in enumerate(self.known)
        ]
        for known in self.known:
            known.members.merge_records([other.members.own_record for other in self.known])

    def _hand_on(self, number: int, since: Revision) -> None:
        self.handed_on += 1
        self.handed_on_since.append(since)
        news = self.known[number].exchange.build_update(since, Revision(0))
        if not self._way_s:
            self._arrive(number, news)
            return
        asyncio.get_running_loop().call_later(self._way_s, self._arrive, number, news)

    def _arrive(self, number: int, news: GossipMessage) -> None:
        for other, told in enumerate(self.known):
            if other != number and not {other, number} & self.cut:
                told.exchange.merge(news)

    async def talk(self, way_s: float, pause_s: float = 0.05) -> None:
        """Let all exchange news all the while, with messages that take ``way_s`` each way."""
        rng = seeded_rng()
        while True:
            pairs = [rng.sample(range(len(self.known)), 2) for _ in self.known]
            questions = [self.known[asker].exchange.build_update() for asker, _ in pairs]
            asked_at = self.known[0].clock.monotonic()
            await asyncio.sleep(way_s)
            answers = []
            for (_, asked), question in zip(pairs, questions, strict=True):
                self.known[asked].exchange.merge(question)
                answers.append(self.known[asked].exchange.build_reply(question))
            await asyncio.sleep(way_s)
            for (asker, _), answer in zip(pairs, answers, strict=True):
                self.known[asker].exchange.merge(answer, asked_at)
            await asyncio.sleep(pause_s)

    async def run(self, seconds: float) -> None:
        tasks = [asyncio.create_task(follower.run()) for follower in self.followers]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()


class FollowerTest(unittest.TestCase):
    def test_one_reads_for_all(self) -> None:
        async def main(clock: LoopClock) -> Fleet:
            fleet = Fleet(clock, 12)
            fleet.feed.put("state/a", make_state(1))
            await fleet.run(20.0)
            return fleet

        fleet = run_virtual(main)
        self.assertEqual([1] * 12, [known.state_view.version for known in fleet.known])
        # Everybody reads at the start; then it is twice a second, and not twelve times that.
        self.assertLess(fleet.feed.reads, 12 + 2 * 20 + 10)

    def test_a_start_hands_on_no_rows_that_all_can_ask_for(self) -> None:
        async def main(clock: LoopClock) -> t.List[Revision]:
            fleet = Fleet(clock, 12)
            fleet.feed.put("state/a", make_state(1))
            await fleet.run(3.0)
            return fleet.handed_on_since

        handed_on_since = run_virtual(main)
        self.assertTrue(handed_on_since)
        self.assertEqual(1, min(handed_on_since))

    @parameterized.expand(
        [
            ("the reader is cut off", 0, 2.0),
            ("somebody else is", 5, 2.0),
            ("nobody is", None, 2.0),
            ("the reader is cut off, and the bound is tight", 0, 1.0),
            ("somebody else is, and the bound is tight", 5, 1.0),
            ("the reader is cut off, and the bound is loose", 0, 8.0),
        ]
    )
    def test_a_change_is_in_force_everywhere_in_time(
        self, _name: str, rank: t.Optional[int], bound_s: float
    ) -> None:
        async def main(clock: LoopClock) -> t.List[int]:
            fleet = Fleet(clock, 12, bound_s=bound_s)
            fleet.feed.put("state/a", make_state(1))
            work = asyncio.create_task(fleet.run(20.0))
            await asyncio.sleep(5.03)
            if rank is not None:
                ranks = [known.members.rank() for known in fleet.known]
                fleet.cut = {ranks.index(rank)}
            fleet.feed.put("state/a", make_state(2))
            await asyncio.sleep(0.7 * min(bound_s, 2.0))
            versions = [known.state_view.version for known in fleet.known]
            work.cancel()
            return versions

        self.assertEqual([2] * 12, run_virtual(main))

    @parameterized.expand([("today", 12, 5), ("grown", 89, 5)])
    def test_the_first_in_rank_are_turned_away(
        self, _name: str, count: int, turned_away: int
    ) -> None:
        """They live and stay first in rank; somebody else has to read for all."""

        async def main(clock: LoopClock) -> t.List[float]:
            fleet = Fleet(clock, count, 0.02)
            fleet.feed.put("state/a", make_state(1))
            work = [asyncio.create_task(fleet.run(200.0))]
            work.append(
                asyncio.create_task(fleet.talk(0.02, defaults.GOSSIP_INTERVAL_S / 2 - 0.04))
            )
            await asyncio.sleep(5.0)
            by_rank = sorted(range(count), key=lambda n: fleet.known[n].members.rank())
            fleet.refused.update(by_rank[:turned_away])
            await asyncio.sleep(3.0)
            oldest = []
            for _ in range(100):
                await asyncio.sleep(0.1)
                oldest.append(max(known.state_view.state_age_s() for known in fleet.known))
            for task in work:
                task.cancel()
            return oldest

        self.assertLess(max(run_virtual(main)), 1.5)

    @parameterized.expand([("at once", 0.0, 6), ("late", 0.6, 12), ("far too late", 1.5, 12)])
    def test_what_comes_late_makes_no_storm(self, _name: str, way_s: float, most: int) -> None:
        """All read for themselves then; what each learns is no news that all others need."""

        async def main(clock: LoopClock) -> Fleet:
            fleet = Fleet(clock, 74, way_s)
            fleet.feed.put("state/a", make_state(1))
            await fleet.run(2.0)
            fleet.handed_on = 0
            await fleet.run(10.0)
            return fleet

        fleet = run_virtual(main)
        self.assertLess(fleet.handed_on / 10.0, most)
        self.assertLess(max(known.state_view.state_age_s() for known in fleet.known), 1.5)

    @parameterized.expand([(0.0,), (0.15,), (0.4,)])
    def test_knowledge_is_never_called_younger_than_the_last_read(self, way_s: float) -> None:
        """Messages take their time; entries that tell each other all the while make nothing new."""

        async def main(clock: LoopClock) -> t.List[float]:
            fleet = Fleet(clock, 12)
            fleet.feed.put("state/a", make_state(1))
            await fleet.run(2.0)
            fleet.feed.down = True
            too_young = []
            work = [asyncio.create_task(fleet.run(5.0)), asyncio.create_task(fleet.talk(way_s))]
            for _ in range(50):
                await asyncio.sleep(0.1)
                since_read = clock.monotonic() - fleet.feed.read_at
                ages = [known.state_view.state_age_s() for known in fleet.known]
                too_young.append(since_read - min(ages))
            for task in work:
                task.cancel()
            return too_young

        self.assertLess(max(run_virtual(main)), 0.001)

    def test_rows_of_a_slow_answer_are_as_old_as_its_question(self) -> None:
        """The store may stamp its answer when it sends it, long after it looked."""

        async def main(clock: LoopClock) -> float:
            fleet = Fleet(clock, 1)
            fleet.feed.put("state/a", make_state(1))
            await fleet.followers[0].read()
            fleet.feed.slow_s = defaults.STORE_READ_INTERVAL_S + 0.8
            await fleet.followers[0].read()
            return fleet.known[0].state_view.state_age_s()

        # What it was asked to wait for is no delay.
        self.assertGreater(run_virtual(main), 0.79)

    def test_lost_history_is_made_up_by_a_snapshot(self) -> None:
        async def main(clock: LoopClock) -> Fleet:
            fleet = Fleet(clock, 1)
            fleet.feed.put("state/a", make_state(1))
            fleet.feed.put(f"state/evacuate/{NORTE}", {})
            await fleet.run(2.0)
            fleet.feed.put(f"state/evacuate/{NORTE}", None)
            fleet.feed.put("state/a", make_state(2))
            fleet.feed.rows.pop(f"state/evacuate/{NORTE}")
            fleet.feed.kept_from = fleet.feed.revision
            await fleet.run(2.0)
            return fleet

        known = run_virtual(main).known[0]
        self.assertEqual(2, known.state_view.version)
        self.assertIsNone(known.state_view.state_rows.get(f"state/evacuate/{NORTE}"))

    @parameterized.expand([("a dozen", 12, 160), ("large", 195, 700)])
    def test_an_outage_costs_a_fleet_few_calls_and_ends_everywhere(
        self, _name: str, count: int, most: int
    ) -> None:
        """The first in rank go on asking, and tell all others once the store is back."""

        async def main(clock: LoopClock) -> t.Tuple[int, t.Set[int]]:
            fleet = Fleet(clock, count, way_s=0.02, bound_s=3.0)
            fleet.feed.put("state/a", make_state(1))
            work = asyncio.create_task(fleet.run(30.0))
            await asyncio.sleep(5.0)
            before = fleet.feed.reads
            fleet.feed.down = True
            await asyncio.sleep(9.0)
            calls = fleet.feed.reads - before
            fleet.feed.down = False
            fleet.feed.put("state/a", make_state(2))
            await asyncio.sleep(1.3)
            work.cancel()
            return calls, {known.state_view.version for known in fleet.known}

        calls, versions = run_virtual(main)
        self.assertEqual({2}, versions)
        self.assertLess(calls, most)

    def test_an_outage_costs_few_calls_and_ends_by_itself(self) -> None:
        async def main(clock: LoopClock) -> t.Tuple[int, int]:
            fleet = Fleet(clock, 1)
            fleet.feed.put("state/a", make_state(1))
            await fleet.run(2.0)
            fleet.feed.down = True
            before = fleet.feed.reads
            await fleet.run(20.0)
            calls = fleet.feed.reads - before
            fleet.feed.down = False
            fleet.feed.put("state/a", make_state(2))
            await fleet.run(1.5)
            return calls, fleet.known[0].state_view.version

        calls, version = run_virtual(main)
        self.assertLess(calls, 30)
        self.assertEqual(2, version)
