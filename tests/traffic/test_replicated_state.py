"""Tests of replicated state: replicas, the state view, exchanges between entries, and followers."""

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
from coralfall.ids import START, Position, Revision, TargetId
from coralfall.process.clock import Clock, ManualClock
from coralfall.stores.store import Changes, Feed, Row
from coralfall.traffic.follower import Follower
from coralfall.traffic.messages import GossipMessage
from coralfall.traffic.poll_intervals import poll_intervals_for
from coralfall.traffic.replica import Replica
from tests.traffic.entry_fixture import EntryFixture
from tests.traffic.makers import (
    NORTE,
    at,
    make_record,
    make_state,
    make_target,
    seeded_rng,
)
from tests.virtual_loop import LoopClock, run_virtual


class MemoryFeed(Feed):
    """A store in memory with one revision counter and one clock, as the platform's.

    :param clock: the entries' clock; the store's own is 5000 s ahead of it.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        #: Monotonic time of the last answer.
        self.read_at = -float("inf")
        self.rows: t.Dict[str, Row] = {}
        self.revision = 0
        #: Oldest revision since which changes can be read.
        self.oldest_since = 0
        #: Seconds between reading the rows and sending the answer, which is stamped when sent.
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
        if since < self.oldest_since:
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
    """Returns a replica of case-insensitive texts, of which ``bad`` can't be decoded."""

    def decode(key: str, data: bytes) -> str:
        if data == b"bad":
            raise DesiredStateError(f"{key} is bad")
        return data.decode().lower()

    return Replica("texts", decode, drops_unreadable)


class ReplicaTest(unittest.TestCase):
    def test_a_row_is_never_replaced_by_an_older_revision(self) -> None:
        replica = text_replica()
        replica.apply_changes([Row("k", b"new", Revision(5))], at(5), 1.0)
        changed = replica.apply_changes([Row("k", b"old", Revision(4))], at(5), 2.0)
        self.assertEqual((set(), "new"), (changed, replica.get("k")))

    def test_a_deletion_is_not_undone_by_an_older_write(self) -> None:
        replica = text_replica()
        replica.apply_changes([Row("k", b"a", Revision(3))], at(3), 1.0)
        replica.apply_changes([Row("k", None, Revision(6))], at(6), 1.0)
        replica.apply_changes([Row("k", b"a", Revision(5))], at(6), 1.0)
        self.assertIsNone(replica.get("k"))

    def test_an_undecodable_row_leaves_the_last_valid_one(self) -> None:
        replica = text_replica()
        replica.apply_changes([Row("k", b"good", Revision(1))], at(1), 1.0)
        changed = replica.apply_changes([Row("k", b"bad", Revision(2))], at(2), 1.0)
        self.assertEqual((set(), "good"), (changed, replica.get("k")))

    def test_an_undecodable_row_deletes_the_valid_one_with_drops_unreadable(self) -> None:
        replica = text_replica(drops_unreadable=True)
        replica.apply_changes([Row("k", b"good", Revision(1))], at(1), 1.0)
        changed = replica.apply_changes([Row("k", b"bad", Revision(2))], at(2), 1.0)
        self.assertEqual(({"k"}, None), (changed, replica.get("k")))
        other = text_replica(drops_unreadable=True)
        other.apply_changes([Row("k", b"good", Revision(1))], at(1), 1.0)
        other.apply_delta(replica.delta(at(1)), 1.0)
        self.assertIsNone(other.get("k"))
        replica.apply_changes([Row("k", b"again", Revision(3))], at(3), 1.0)
        self.assertEqual(("again", set()), (replica.get("k"), replica.unreadable_keys))

    def test_a_write_that_does_not_change_the_value_is_skipped(self) -> None:
        replica = text_replica()
        replica.apply_changes([Row("k", b"a", Revision(1))], at(1), 1.0)
        self.assertEqual(set(), replica.apply_changes([Row("k", b"A", Revision(2))], at(2), 1.0))
        self.assertEqual((), replica.delta(at(1)).unpack())

    def test_a_snapshot_deletes_rows_that_it_does_not_hold(self) -> None:
        replica = text_replica()
        rows = [Row("a", b"1", Revision(1)), Row("b", b"2", Revision(2))]
        replica.apply_snapshot(rows, at(2), 1.0)
        changed = replica.apply_snapshot(rows[:1], at(9), 2.0)
        self.assertEqual(({"b"}, {"a": "1"}), (changed, replica.values()))

    def test_an_older_snapshot_is_ignored(self) -> None:
        replica = text_replica()
        replica.apply_changes([Row("a", b"1", Revision(7))], at(7), 1.0)
        replica.apply_snapshot([], at(6), 2.0)
        self.assertEqual({"a": "1"}, replica.values())

    def test_a_delta_after_a_gap_can_t_be_applied(self) -> None:
        source, other = text_replica(), text_replica()
        source.apply_changes([Row("a", b"1", Revision(7))], at(7), 1.0)
        source.apply_changes([Row("a", b"2", Revision(9))], at(9), 1.0)
        other.apply_changes([Row("a", b"1", Revision(3))], at(3), 1.0)
        self.assertFalse(other.can_apply(source.delta(at(8))))
        self.assertTrue(other.can_apply(source.delta(at(3))))

    @hypothesis.given(
        writes=st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from([b"1", b"2", None]))),
        order=st.randoms(use_true_random=False),
    )
    @hypothesis.settings(derandomize=True, max_examples=120, deadline=None)
    def test_deltas_in_any_order_and_repeated_give_the_same_rows(
        self, writes: t.List[t.Tuple[str, t.Optional[bytes]]], order: t.Any
    ) -> None:
        source = text_replica()
        deltas = []
        for number, (key, value) in enumerate(writes, start=1):
            since = source.position
            source.apply_changes([Row(key, value, Revision(number))], at(number), 1.0)
            deltas.append(source.delta(since))
        other = text_replica()
        order.shuffle(deltas)
        for delta in deltas + deltas:
            if other.can_apply(delta) and delta.position > other.position:
                other.apply_delta(delta, 1.0)
        if other.position < source.position:
            other.apply_delta(source.delta(other.position), 1.0)
        self.assertEqual(source.values(), other.values())


class StateViewTest(unittest.TestCase):
    def test_an_older_version_does_not_take_effect(self) -> None:
        entry = EntryFixture()
        entry.learn_state(1, "state/a", make_state(7))
        entry.learn_state(2, "state/a", make_state(5))
        self.assertEqual(7, entry.state_view.version)
        entry.learn_state(3, "state/a", None)
        self.assertEqual(7, entry.state_view.version)

    def test_evacuations_begin_and_end(self) -> None:
        entry = EntryFixture()
        entry.learn_targets(1, make_target(1))
        state = entry.steered.targets.by_id[TargetId("t1")]
        entry.learn_state(2, f"state/evacuate/{NORTE}", {})
        self.assertFalse(entry.steered.targets.may_use(state))
        entry.learn_state(3, f"state/evacuate/{NORTE}", None)
        self.assertTrue(entry.steered.targets.may_use(state))

    @parameterized.expand([("after an outage", 10.0, True), ("without an outage", 0.5, False)])
    def test_targets_whose_rows_are_missing(self, _name: str, silence_s: float, kept: bool) -> None:
        entry = EntryFixture()
        clock = t.cast(ManualClock, entry.clock)
        entry.learn_targets(1, make_target(1), make_target(2))
        clock.advance(silence_s)
        entry.learn_targets(2, make_target(2))
        self.assertEqual(kept, TargetId("t1") in entry.steered.targets.by_id)
        clock.advance(defaults.MISSING_TARGET_GRACE_S)
        entry.state_view.tick()
        self.assertNotIn(TargetId("t1"), entry.steered.targets.by_id)

    def test_a_leaving_target_is_not_retained_after_an_outage(self) -> None:
        entry = EntryFixture()
        entry.learn_targets(1, make_target(1, leaving=True), make_target(2))
        t.cast(ManualClock, entry.clock).advance(10.0)
        entry.learn_targets(2, make_target(2))
        self.assertNotIn(TargetId("t1"), entry.steered.targets.by_id)

    @parameterized.expand([("before the outage", False), ("after it", True)])
    def test_a_target_whose_row_can_t_be_decoded_is_dropped(self, _name: str, late: bool) -> None:
        entry = EntryFixture()
        entry.learn_targets(1, make_target(1), make_target(2))
        if late:
            t.cast(ManualClock, entry.clock).advance(10.0)
            entry.learn_targets(2, make_target(2))
            self.assertIn(TargetId("t1"), entry.steered.targets.by_id)
        rows = entry.state_view.target_rows
        row = Row("targets/t1", b"{", Revision(3))
        entry.state_view.apply_target_changes(rows.apply_changes([row], at(3), 1.0))
        self.assertEqual({TargetId("t2")}, set(entry.steered.targets.by_id))

    @parameterized.expand([("newest first", (4, 3)), ("in order", (3, 4))])
    def test_a_new_lifetime_of_a_target_starts_with_fresh_statistics(
        self, _name: str, order: t.Sequence[int]
    ) -> None:
        """An entry that was cut off receives rows of both lifetimes by deltas, in any order."""
        entry = EntryFixture()
        entry.learn_targets(1, make_target(1, born=100), make_target(2))
        before = entry.steered.targets.by_id[TargetId("t1")]
        before.record_load(4, 9)
        before.record_failure(reached=False)
        born_by_revision = {3: 100, 4: 200}
        for revision in order:
            target = make_target(1, born=born_by_revision[revision], cold_s=3.0)
            row = Row("targets/t1", msgspec.json.encode(target), Revision(revision))
            rows = entry.state_view.target_rows
            entry.state_view.apply_target_changes(rows.apply_changes([row], at(4), 1.0))
        state = entry.steered.targets.by_id[TargetId("t1")]
        self.assertEqual(200, state.target.born)
        self.assertEqual((0.0, True, True), (state.load(), state.is_usable(), state.is_cold()))
        self.assertFalse(entry.steered.targets.may_use(before))


class ExchangeTest(unittest.TestCase):
    def test_newer_rows_are_sent_with_their_age(self) -> None:
        ahead, behind = EntryFixture("e1"), EntryFixture("e2")
        ahead.learn_state(3, "state/a", make_state(4))
        ahead.learn_targets(5, make_target(1))
        t.cast(ManualClock, ahead.clock).advance(2.0)
        answer = ahead.exchange.build_reply(behind.exchange.build_update())
        self.assertFalse(behind.exchange.merge(answer, behind.clock.monotonic()))
        self.assertEqual(4, behind.state_view.version)
        self.assertIn(TargetId("t1"), behind.steered.targets.by_id)
        # The age is an upper bound, which exceeds the true age by the assumed drift alone.
        self.assertGreaterEqual(behind.state_view.state_age_s(), 2.0)
        self.assertLess(behind.state_view.state_age_s(), 2.001)
        self.assertEqual({"e1", "e2"}, behind.members.known_ids())

    def test_a_message_with_a_newer_revision_requests_a_pull(self) -> None:
        ahead, behind = EntryFixture("e1"), EntryFixture("e2")
        ahead.learn_state(3, "state/a", make_state(4))
        self.assertTrue(behind.exchange.merge(ahead.exchange.build_update()))

    def test_known_rows_are_not_sent_again(self) -> None:
        one, other = EntryFixture("e1"), EntryFixture("e2")
        one.learn_state(3, "state/a", make_state(4))
        other.exchange.merge(one.exchange.build_reply(other.exchange.build_update()))
        answer = one.exchange.build_reply(other.exchange.build_update())
        self.assertEqual((None, None), (answer.state, answer.targets))

    @parameterized.expand([("by a message that it gets", True), ("by an answer", False)])
    def test_an_entry_held_dead_learns_of_it_and_refutes(self, _name: str, asks: bool) -> None:
        one, dead = EntryFixture("e1"), EntryFixture("e2")
        one.members.merge_records([make_record("e2")])
        for _ in range(defaults.SUSPECT_MISSED_PROBES):
            one.members.record_probe_failure(make_record("e2").peer_address)
        t.cast(ManualClock, one.clock).advance(60.0)
        self.assertEqual([], one.members.alive_records())
        asker, other = (one, dead) if asks else (dead, one)
        message = asker.exchange.build_update(address=other.members.own_record.peer_address)
        other.exchange.merge(message)
        asker.exchange.merge(other.exchange.build_reply(message))
        if not asks:
            one.exchange.merge(dead.exchange.build_update())
        self.assertEqual(["e2"], [record.entry_id for record in one.members.alive_records()])

    def test_messages_survive_msgpack(self) -> None:
        entry = EntryFixture()
        entry.learn_state(3, "state/a", make_state(4))
        message = entry.exchange.build_update(START, START)
        self.assertEqual(
            message, msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=GossipMessage)
        )


class RejectingFeed(Feed):
    """The store as one entry reaches it; it rejects calls of the entries in ``refused``."""

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
            raise PlatformUnavailableError("call rejected")


class FollowerFleet:
    """Followers of one store, each with members and an exchange, that push what they read.

    :param way_s: seconds that a push takes.
    :param bound_s: seconds within which a change has to be in force everywhere.
    """

    def __init__(self, clock: Clock, count: int, way_s: float = 0.0, bound_s: float = 2.0) -> None:
        self.feed = MemoryFeed(clock)
        #: Numbers of the entries whose calls the store rejects.
        self.refused: t.Set[int] = set()
        #: Pushes so far, of all entries together.
        self.push_count = 0
        #: Revisions since which rows were pushed.
        self.pushed_since: t.List[Position] = []
        self._way_s = way_s
        self.entries = [EntryFixture(f"e{number}", clock) for number in range(count)]
        self.cut_off: t.Set[int] = set()
        self.followers = [
            Follower(
                "state/",
                entry.state_view.state_rows,
                RejectingFeed(self.feed, self.refused, number),
                entry.members,
                clock,
                entry.state_view.store_clock,
                seeded_rng(),
                pace=poll_intervals_for(bound_s),
                long_poll=True,
                before_apply=lambda age: None,
                on_changed=entry.state_view.apply_state_changes,
                push_since=functools.partial(self._push, number),
            )
            for number, entry in enumerate(self.entries)
        ]
        for entry in self.entries:
            entry.members.merge_records([other.members.own_record for other in self.entries])

    def _push(self, number: int, since: Position) -> None:
        self.push_count += 1
        self.pushed_since.append(since)
        message = self.entries[number].exchange.build_update(since, START)
        if not self._way_s:
            self._deliver(number, message)
            return
        asyncio.get_running_loop().call_later(self._way_s, self._deliver, number, message)

    def _deliver(self, number: int, message: GossipMessage) -> None:
        for other, receiver in enumerate(self.entries):
            if other != number and not {other, number} & self.cut_off:
                receiver.exchange.merge(message)

    async def exchange_continuously(self, way_s: float, pause_s: float = 0.05) -> None:
        """Lets entries exchange messages continuously; each message takes ``way_s``."""
        rng = seeded_rng()
        while True:
            pairs = [rng.sample(range(len(self.entries)), 2) for _ in self.entries]
            messages = [self.entries[asker].exchange.build_update() for asker, _ in pairs]
            asked_at = self.entries[0].clock.monotonic()
            await asyncio.sleep(way_s)
            answers = []
            for (_, asked), message in zip(pairs, messages, strict=True):
                self.entries[asked].exchange.merge(message)
                answers.append(self.entries[asked].exchange.build_reply(message))
            await asyncio.sleep(way_s)
            for (asker, _), answer in zip(pairs, answers, strict=True):
                self.entries[asker].exchange.merge(answer, asked_at)
            await asyncio.sleep(pause_s)

    async def run(self, seconds: float) -> None:
        tasks = [asyncio.create_task(follower.run()) for follower in self.followers]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()


class FollowerTest(unittest.TestCase):
    def test_one_entry_reads_for_all(self) -> None:
        async def main(clock: LoopClock) -> FollowerFleet:
            fleet = FollowerFleet(clock, 12)
            fleet.feed.put("state/a", make_state(1))
            await fleet.run(20.0)
            return fleet

        fleet = run_virtual(main)
        self.assertEqual([1] * 12, [entry.state_view.version for entry in fleet.entries])
        # All read at the start; after that there are two reads a second in all, not by each entry.
        self.assertLess(fleet.feed.reads, 12 + 2 * 20 + 10)

    def test_a_start_does_not_push_its_first_snapshot(self) -> None:
        async def main(clock: LoopClock) -> t.List[Position]:
            fleet = FollowerFleet(clock, 12)
            fleet.feed.put("state/a", make_state(1))
            await fleet.run(3.0)
            return fleet.pushed_since

        pushed_since = run_virtual(main)
        self.assertTrue(pushed_since)
        self.assertEqual(at(1), min(pushed_since))

    @parameterized.expand(
        [
            ("the first in rank is cut off", 0, 2.0),
            ("another entry is cut off", 5, 2.0),
            ("no entry is cut off", None, 2.0),
            ("the first in rank is cut off, tight bound", 0, 1.0),
            ("another entry is cut off, tight bound", 5, 1.0),
            ("the first in rank is cut off, loose bound", 0, 8.0),
        ]
    )
    def test_a_change_is_in_force_everywhere_in_time(
        self, _name: str, rank: t.Optional[int], bound_s: float
    ) -> None:
        async def main(clock: LoopClock) -> t.List[int]:
            fleet = FollowerFleet(clock, 12, bound_s=bound_s)
            fleet.feed.put("state/a", make_state(1))
            work = asyncio.create_task(fleet.run(20.0))
            await asyncio.sleep(5.03)
            if rank is not None:
                ranks = [entry.members.rank() for entry in fleet.entries]
                fleet.cut_off = {ranks.index(rank)}
            fleet.feed.put("state/a", make_state(2))
            await asyncio.sleep(0.7 * min(bound_s, 2.0))
            versions = [entry.state_view.version for entry in fleet.entries]
            work.cancel()
            return versions

        self.assertEqual([2] * 12, run_virtual(main))

    @parameterized.expand([("today", 12, 5), ("grown", 89, 5)])
    def test_the_store_rejects_the_first_in_rank(
        self, _name: str, count: int, rejected: int
    ) -> None:
        """They are alive and stay first in rank, so others have to read for all."""

        async def main(clock: LoopClock) -> t.List[float]:
            fleet = FollowerFleet(clock, count, 0.02)
            fleet.feed.put("state/a", make_state(1))
            work = [asyncio.create_task(fleet.run(200.0))]
            work.append(
                asyncio.create_task(
                    fleet.exchange_continuously(0.02, defaults.GOSSIP_INTERVAL_S / 2 - 0.04)
                )
            )
            await asyncio.sleep(5.0)
            by_rank = sorted(range(count), key=lambda n: fleet.entries[n].members.rank())
            fleet.refused.update(by_rank[:rejected])
            await asyncio.sleep(3.0)
            oldest = []
            for _ in range(100):
                await asyncio.sleep(0.1)
                oldest.append(max(entry.state_view.state_age_s() for entry in fleet.entries))
            for task in work:
                task.cancel()
            return oldest

        self.assertLess(max(run_virtual(main)), 1.5)

    @parameterized.expand([("at once", 0.0, 6), ("late", 0.6, 12), ("very late", 1.5, 12)])
    def test_late_pushes_cause_no_storm_of_pushes(
        self, _name: str, way_s: float, most: int
    ) -> None:
        """Each entry then reads for itself; those of low rank must not push what they read."""

        async def main(clock: LoopClock) -> FollowerFleet:
            fleet = FollowerFleet(clock, 74, way_s)
            fleet.feed.put("state/a", make_state(1))
            await fleet.run(2.0)
            fleet.push_count = 0
            await fleet.run(10.0)
            return fleet

        fleet = run_virtual(main)
        self.assertLess(fleet.push_count / 10.0, most)
        self.assertLess(max(entry.state_view.state_age_s() for entry in fleet.entries), 1.5)

    @parameterized.expand([(0.0,), (0.15,), (0.4,)])
    def test_rows_never_seem_younger_than_the_last_read(self, way_s: float) -> None:
        """The age must not shrink by the delay of messages, however often entries exchange them."""

        async def main(clock: LoopClock) -> t.List[float]:
            fleet = FollowerFleet(clock, 12)
            fleet.feed.put("state/a", make_state(1))
            await fleet.run(2.0)
            fleet.feed.down = True
            too_young = []
            work = [
                asyncio.create_task(fleet.run(5.0)),
                asyncio.create_task(fleet.exchange_continuously(way_s)),
            ]
            for _ in range(50):
                await asyncio.sleep(0.1)
                since_read = clock.monotonic() - fleet.feed.read_at
                ages = [entry.state_view.state_age_s() for entry in fleet.entries]
                too_young.append(since_read - min(ages))
            for task in work:
                task.cancel()
            return too_young

        self.assertLess(max(run_virtual(main)), 0.001)

    def test_rows_of_a_slow_answer_are_as_old_as_the_request(self) -> None:
        """The store may stamp an answer when it sends it, long after it read the rows."""

        async def main(clock: LoopClock) -> float:
            fleet = FollowerFleet(clock, 1)
            fleet.feed.put("state/a", make_state(1))
            await fleet.followers[0].read()
            fleet.feed.slow_s = defaults.STORE_READ_INTERVAL_S + 0.8
            await fleet.followers[0].read()
            return fleet.entries[0].state_view.state_age_s()

        # The time that the store was asked to wait does not count as delay.
        self.assertGreater(run_virtual(main), 0.79)

    def test_a_snapshot_replaces_compacted_history(self) -> None:
        async def main(clock: LoopClock) -> FollowerFleet:
            fleet = FollowerFleet(clock, 1)
            fleet.feed.put("state/a", make_state(1))
            fleet.feed.put(f"state/evacuate/{NORTE}", {})
            await fleet.run(2.0)
            fleet.feed.put(f"state/evacuate/{NORTE}", None)
            fleet.feed.put("state/a", make_state(2))
            fleet.feed.rows.pop(f"state/evacuate/{NORTE}")
            fleet.feed.oldest_since = fleet.feed.revision
            await fleet.run(2.0)
            return fleet

        entry = run_virtual(main).entries[0]
        self.assertEqual(2, entry.state_view.version)
        self.assertIsNone(entry.state_view.state_rows.get(f"state/evacuate/{NORTE}"))

    @parameterized.expand([("no history", 1, 10_000, 100), ("no rows either", 0, 0, 120)])
    def test_reads_of_all_rows_keep_a_pause(
        self, _name: str, version: int, oldest: int, most: int
    ) -> None:
        """A store that keeps no history answers each read of changes at once, with an error."""

        async def main(clock: LoopClock) -> int:
            fleet = FollowerFleet(clock, 3)
            if version:
                fleet.feed.put("state/a", make_state(version))
            fleet.feed.oldest_since = oldest
            await fleet.run(20.0)
            reads = fleet.feed.reads
            fleet.feed.put("state/a", make_state(2))
            await fleet.run(1.0)
            self.assertEqual([2] * 3, [entry.state_view.version for entry in fleet.entries])
            return reads

        self.assertLess(run_virtual(main), most)

    @parameterized.expand([("small fleet", 12, 160), ("large", 195, 700)])
    def test_during_an_outage_a_fleet_makes_few_calls_and_recovers(
        self, _name: str, count: int, most: int
    ) -> None:
        """The first in rank retry often, and push to all others once the store is back."""

        async def main(clock: LoopClock) -> t.Tuple[int, t.Set[int]]:
            fleet = FollowerFleet(clock, count, way_s=0.02, bound_s=3.0)
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
            return calls, {entry.state_view.version for entry in fleet.entries}

        calls, versions = run_virtual(main)
        self.assertEqual({2}, versions)
        self.assertLess(calls, most)

    def test_during_an_outage_a_single_entry_makes_few_calls_and_recovers(self) -> None:
        async def main(clock: LoopClock) -> t.Tuple[int, int]:
            fleet = FollowerFleet(clock, 1)
            fleet.feed.put("state/a", make_state(1))
            await fleet.run(2.0)
            fleet.feed.down = True
            before = fleet.feed.reads
            await fleet.run(20.0)
            calls = fleet.feed.reads - before
            fleet.feed.down = False
            fleet.feed.put("state/a", make_state(2))
            await fleet.run(1.5)
            return calls, fleet.entries[0].state_view.version

        calls, version = run_virtual(main)
        self.assertLess(calls, 30)
        self.assertEqual(2, version)
