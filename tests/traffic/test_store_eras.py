"""Tests of a store that comes back from an older copy: which rows are in force, and when."""

import asyncio
import typing as t
import unittest

import msgspec
from parameterized import parameterized

from coralfall.ids import START, Revision
from coralfall.process.clock import Clock, ManualClock
from coralfall.stores.store import Row
from coralfall.traffic.messages import GossipMessage
from coralfall.traffic.replica import Replica
from coralfall.traffic.start_gate import StartGate
from tests.traffic.entry_fixture import EntryFixture
from tests.traffic.makers import at, make_record, make_state
from tests.traffic.store_fleet import BEAT_S, BOUND_S, StoreFleet
from tests.virtual_loop import run_virtual

#: Seconds from the copy to the loss, and for which the store is away.
LOST_S = 4.0
AWAY_S = 0.5


async def drill(fleet: StoreFleet, lost_s: float = LOST_S) -> None:
    """Loses what was written in some seconds, during which the targets go on beating."""
    copy = fleet.store.copy()
    await beat(fleet, lost_s)
    fleet.store.down = True
    await asyncio.sleep(AWAY_S)
    fleet.store.restore(copy)
    fleet.store.down = False


async def beat(fleet: StoreFleet, seconds: float, numbers: t.Sequence[int] = (1, 2)) -> None:
    """Lets time pass, in which targets write their rows."""
    until = fleet.clock.monotonic() + seconds
    while fleet.clock.monotonic() < until:
        for number in numbers:
            fleet.put_target(number)
        await asyncio.sleep(min(BEAT_S, until - fleet.clock.monotonic()))


async def started(clock: Clock, count: int) -> StoreFleet:
    """Returns a fleet that has version 5 in force and two targets."""
    fleet = StoreFleet(clock, count)
    fleet.put_version(5)
    fleet.start()
    await beat(fleet, 3.0)
    return fleet


def texts(revision: int, era: int, **texts_by_key: str) -> "Replica[str]":
    """Returns a replica of texts that has read a snapshot."""
    replica: "Replica[str]" = Replica("texts", lambda key, data: data.decode())
    replica.apply_snapshot(rows_of(revision, **texts_by_key), at(revision, era), 1.0)
    return replica


def rows_of(revision: int, **texts_by_key: str) -> t.List[Row]:
    return [Row(key, text.encode(), Revision(revision)) for key, text in texts_by_key.items()]


class OrderTest(unittest.TestCase):
    @parameterized.expand([("lower revision", 40), ("the same", 61), ("higher revision", 80)])
    def test_a_snapshot_of_a_later_era_replaces_all_rows(self, _name: str, revision: int) -> None:
        replica = texts(61, 1, a="old", b="gone")
        changed = replica.apply_snapshot(rows_of(revision, a="new"), at(revision, 2), 2.0)
        self.assertEqual({"a": "new"}, replica.values())
        self.assertEqual(({"a", "b"}, at(revision, 2)), (changed, replica.position))

    @parameterized.expand([("lower revision", 40), ("the same", 61), ("higher revision", 80)])
    def test_answers_of_an_earlier_era_change_nothing(self, _name: str, revision: int) -> None:
        late = texts(30, 1)
        late.apply_changes(rows_of(revision, a="old"), at(revision, 1), 9.0)
        replica = texts(61, 2, a="new")
        replica.apply_snapshot(rows_of(revision, a="old"), at(revision, 1), 9.0)
        replica.apply_changes(rows_of(revision, a="old"), at(revision, 1), 9.0)
        replica.confirm(at(revision, 1), 9.0)
        self.assertFalse(replica.can_apply(late.delta(at(30, 1))))
        replica.apply_delta(late.delta(START), 9.0)
        self.assertEqual(({"a": "new"}, 1.0), (replica.values(), replica.read_s))

    @parameterized.expand([("lower revision", 40), ("the same", 61), ("higher revision", 80)])
    def test_changes_of_a_later_era_leave_a_gap(self, _name: str, revision: int) -> None:
        replica = texts(61, 1, a="old")
        replica.apply_changes(rows_of(revision, b="new"), at(revision, 2), 9.0)
        self.assertEqual(({"a": "old"}, at(61, 1)), (replica.values(), replica.position))
        later = texts(30, 2, a="newer")
        later.apply_changes(rows_of(revision, b="new"), at(revision, 2), 9.0)
        self.assertFalse(replica.can_apply(later.delta(at(30, 2))))
        delta = later.delta(replica.position)
        self.assertTrue(replica.can_apply(delta))
        replica.apply_delta(delta, 9.0)
        self.assertEqual({"a": "newer", "b": "new"}, replica.values())

    def test_a_deletion_of_an_earlier_era_does_not_hide_a_row(self) -> None:
        replica = texts(61, 1, a="old")
        replica.apply_changes([Row("a", None, Revision(62))], at(62, 1), 1.0)
        replica.apply_snapshot([], at(40, 2), 1.0)
        replica.apply_changes(rows_of(50, a="new"), at(50, 2), 1.0)
        self.assertEqual({"a": "new"}, replica.values())

    def test_the_store_clock_may_go_back_with_the_copy(self) -> None:
        replica = texts(61, 1, a="old")
        replica.apply_snapshot([], at(40, 2), -4.0)
        self.assertEqual(-4.0, replica.read_s)

    @parameterized.expand([("lower revision", 40), ("the same", 61), ("higher revision", 80)])
    def test_entries_of_different_eras_agree_on_the_later_one(
        self, _name: str, revision: int
    ) -> None:
        ahead, behind = EntryFixture("e1"), EntryFixture("e2")
        learn_state(behind, 61, 1, version=4)
        learn_state(ahead, revision, 2, version=5)
        for asker, asked in ((ahead, behind), (behind, ahead)):
            message = asker.exchange.build_update()
            asked.exchange.merge(message)
            asker.exchange.merge(asked.exchange.build_reply(message))
        for entry in (ahead, behind):
            view = entry.state_view
            self.assertEqual((5, at(revision, 2)), (view.version, view.state_rows.position))

    def test_rows_of_the_build_before_do_not_replace_those_of_an_era(self) -> None:
        """Its messages tell no era, so their revisions may be those that the store has lost."""
        one, older_build = EntryFixture("e1"), EntryFixture("e2")
        learn_state(one, 40, 2, version=4)
        learn_state(older_build, 61, 0, version=5)
        sent = older_build.exchange.build_reply(one.exchange.build_update())
        fields = msgspec.msgpack.decode(msgspec.msgpack.encode(sent))
        without_eras = msgspec.convert(fields[: -len(_ERA_FIELDS)], GossipMessage)
        self.assertFalse(one.exchange.merge(without_eras))
        self.assertEqual(at(40, 2), one.state_view.state_rows.position)


#: Fields of messages that earlier builds do not send.
_ERA_FIELDS = ("state_era", "targets_era", "entries_era")


def learn_state(entry: EntryFixture, revision: int, era: int, version: int) -> None:
    """Applies a snapshot with one desired state."""
    row = Row("state/config", msgspec.json.encode(make_state(version)), Revision(revision))
    rows = entry.state_view.state_rows
    changed = rows.apply_snapshot([row], at(revision, era), entry.clock.monotonic())
    entry.state_view.apply_state_changes(changed)


class StartGateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.other = self.loaded("e1")
        row = Row("state/config", msgspec.json.encode(make_state(6)), Revision(61))
        rows = self.other.state_view.state_rows
        self.other.state_view.apply_state_changes(rows.apply_changes([row], at(61, 1), 1.0))
        self.load(self.other, 40, 2)
        self.started = self.loaded("e2", era=2)
        view = self.started.state_view
        self.gate = StartGate(view, self.started.members, self.started.clock)

    def loaded(self, name: str, era: int = 1) -> EntryFixture:
        """Returns an entry that has read version 4 and no targets."""
        entry = EntryFixture(name)
        self.load(entry, 40, era)
        return entry

    def load(self, entry: EntryFixture, revision: int, era: int) -> None:
        learn_state(entry, revision, era, version=4)
        targets = entry.state_view.target_rows
        targets.apply_snapshot([], at(revision, era), entry.clock.monotonic())

    def exchange(self) -> None:
        message = self.started.exchange.build_update()
        self.started.exchange.merge(self.other.exchange.build_reply(message), 1.0)

    @parameterized.expand(
        [
            ("others are ready", True, False, 0.0, False, 4),
            ("others have agreed", True, True, 0.0, True, 6),
            ("others are ready and do not answer", True, False, 1.1, True, 4),
            ("no other is ready", False, False, 0.0, True, 4),
        ]
    )
    def test_a_start_from_the_copy_serves_once_others_have_agreed(
        self, _name: str, ready: bool, answers: bool, wait_s: float, opens: bool, version: int
    ) -> None:
        record = make_record("e1", ready=ready)
        self.started.members.merge_records([record])
        if answers:
            self.exchange()
            self.exchange()
        self.gate.is_open()
        t.cast(ManualClock, self.started.clock).advance(wait_s)
        self.assertEqual(opens, self.gate.is_open())
        self.assertEqual(version, self.started.state_view.version)

    def test_a_start_without_rows_does_not_serve(self) -> None:
        entry = EntryFixture("e3")
        gate = StartGate(entry.state_view, entry.members, entry.clock)
        self.assertFalse(gate.is_open())


class OlderCopyTest(unittest.TestCase):
    @parameterized.expand([("three entries", 3), ("twelve", 12), ("hundreds", 530)])
    def test_a_change_after_the_loss_is_in_force_in_time(self, _name: str, count: int) -> None:
        async def main(clock: Clock) -> t.List[int]:
            fleet = await started(clock, count)
            await drill(fleet)
            await asyncio.sleep(0.6)
            fleet.put_version(6)
            await asyncio.sleep(BOUND_S)
            return [entry.version for entry in fleet.entries]

        self.assertEqual([6] * count, run_virtual(main))

    @parameterized.expand([("three entries", 3), ("twelve", 12)])
    def test_a_target_that_leaves_after_the_loss_gets_nothing_more(
        self, _name: str, count: int
    ) -> None:
        async def main(clock: Clock) -> t.List[bool]:
            fleet = await started(clock, count)
            await drill(fleet)
            await asyncio.sleep(0.6)
            fleet.put_target(1, leaving=True)
            await beat(fleet, BOUND_S, numbers=[2])
            return [entry.uses("t1") for entry in fleet.entries]

        self.assertEqual([False] * count, run_virtual(main))

    def test_a_store_that_goes_back_without_a_new_era_gets_few_calls(self) -> None:
        """Entries can't tell such rows from stale ones, and take none until the counter is past."""

        async def main(clock: Clock) -> t.Tuple[int, t.List[int]]:
            fleet = await started(clock, 3)
            copy = fleet.store.copy()
            await beat(fleet, LOST_S)
            fleet.store.restore(copy, begins_era=False)
            before = len(fleet.store.called_at)
            await asyncio.sleep(5.0)
            calls = len(fleet.store.called_at) - before
            await beat(fleet, LOST_S + 2.0)
            fleet.put_version(6)
            await asyncio.sleep(BOUND_S)
            return calls, [entry.version for entry in fleet.entries]

        calls, versions = run_virtual(main)
        self.assertLess(calls, 160)
        self.assertEqual([6] * 3, versions)

    @parameterized.expand([("three entries", 3, 40), ("twelve", 12, 60), ("hundreds", 530, 700)])
    def test_few_calls_are_made_after_the_loss(self, _name: str, count: int, most: int) -> None:
        async def main(clock: Clock) -> int:
            fleet = await started(clock, count)
            await drill(fleet)
            before = len(fleet.store.called_at)
            await asyncio.sleep(5.0)
            return len(fleet.store.called_at) - before

        self.assertLess(run_virtual(main), most)
