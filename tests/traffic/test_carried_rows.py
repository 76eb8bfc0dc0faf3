"""Tests of rows that the store has lost: which of them stay in force, and until when."""

import typing as t
import unittest

import msgspec
from parameterized import parameterized

from coralfall import defaults
from coralfall.ids import Revision, TargetId
from coralfall.process.clock import ManualClock
from coralfall.stores.store import Row
from tests.traffic.entry_fixture import EntryFixture
from tests.traffic.makers import NORTE, at, make_state, make_target

EVACUATION = f"state/evacuate/{NORTE}"
#: Revisions of what is lost, of the store's copy, and of what is written again.
LOST, COPY, LATER = 61, 40, 45

Fields = t.Dict[str, t.Any]


def target_row(fields: t.Optional[Fields], revision: int) -> Row:
    """Returns the row of target 1; ``None`` if it is deleted."""
    data = None
    if fields is not None:
        sequence = fields.get("sequence", 0)
        revision = fields.get("revision", revision)
        changes = {name: fields[name] for name in fields.keys() - {"sequence", "revision"}}
        target = msgspec.structs.asdict(make_target(1, **changes))
        data = msgspec.json.encode({**target, "sequence": sequence})
    return Row("targets/t1", data, Revision(revision))


def state_row(version: int, revision: int) -> Row:
    return Row("state/config", msgspec.json.encode(make_state(version)), Revision(revision))


def evacuation_row(ordered: bool, revision: int) -> Row:
    return Row(EVACUATION, b"{}" if ordered else None, Revision(revision))


class CarriedRowsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.entry = EntryFixture()
        self.view = self.entry.state_view
        self.clock = t.cast(ManualClock, self.entry.clock)
        self.learn_targets(1, 1, target_row({}, 1), whole=True)
        self.learn_state(1, 1, state_row(1, 1), whole=True)

    def learn_targets(self, revision: int, era: int, *rows: Row, whole: bool = False) -> None:
        replica = self.view.target_rows
        apply = replica.apply_snapshot if whole else replica.apply_changes
        read_s = self.clock.monotonic()
        self.view.apply_target_changes(apply(rows, at(revision, era), read_s))

    def learn_state(self, revision: int, era: int, *rows: Row, whole: bool = False) -> None:
        replica = self.view.state_rows
        apply = replica.apply_snapshot if whole else replica.apply_changes
        self.view.apply_state_changes(apply(rows, at(revision, era), self.clock.monotonic()))

    def pass_time(self, seconds: float) -> None:
        self.view.tick()
        self.clock.advance(seconds)
        now = self.clock.monotonic()
        self.view.store_clock.observe(now, now)
        self.view.state_rows.confirm(self.view.state_rows.position, now)
        self.view.tick()

    def uses_target(self) -> bool:
        targets = self.entry.steered.targets
        state = targets.by_id.get(TargetId("t1"))
        return state is not None and targets.may_use(state)

    def has_zone(self) -> bool:
        return EVACUATION in self.view.state_rows.values()

    @parameterized.expand(
        [
            ("leaves", {"leaving": True, "sequence": 9}, {"sequence": 5}, False),
            ("leaves, and no row in the copy", {"leaving": True, "sequence": 9}, None, False),
            ("leaves, known earlier than the copy", {"leaving": True}, {"sequence": 5}, True),
            ("removed", None, {"sequence": 5}, False),
            ("added", {"sequence": 1}, None, True),
            ("removed, and new rows since", None, {"sequence": 12, "revision": LOST + 5}, True),
            ("a new lifetime in the copy", {"leaving": True, "born": 7}, {"born": 8}, True),
            ("an old lifetime in the copy", {"born": 8}, {"leaving": True, "born": 7}, True),
            ("leaves in the copy, not known before", {}, {"leaving": True, "sequence": 5}, False),
        ]
    )
    def test_a_target_whose_row_is_lost(
        self, _name: str, lost: t.Optional[Fields], copy: t.Optional[Fields], used: bool
    ) -> None:
        self.learn_targets(LOST, 1, target_row(lost, LOST))
        rows = [] if copy is None else [target_row(copy, COPY)]
        revision = max([COPY] + [row.revision for row in rows])
        self.learn_targets(revision, 2, *rows, whole=True)
        self.assertEqual(used, self.uses_target())

    @parameterized.expand(
        [
            ("a row of the lost seconds again", {"sequence": 7}, False),
            ("the same row", {"sequence": 9, "leaving": True}, False),
            ("ready again later", {"sequence": 10}, True),
            ("a new lifetime", {"sequence": 1, "born": 5}, True),
            ("deleted", None, False),
        ]
    )
    def test_a_leaving_target_writes_again(
        self, _name: str, again: t.Optional[Fields], used: bool
    ) -> None:
        self.learn_targets(LOST, 1, target_row({"leaving": True, "sequence": 9}, LOST))
        self.learn_targets(COPY, 2, target_row({"sequence": 5}, COPY), whole=True)
        self.learn_targets(LATER, 2, target_row(again, LATER))
        self.assertEqual(used, self.uses_target())

    @parameterized.expand(
        [
            ("a row of the lost seconds again", {"sequence": 7}, False),
            ("the last row", {"sequence": 9}, True),
            ("a later one", {"sequence": 10}, True),
            ("deleted again", None, False),
        ]
    )
    def test_a_removed_target_writes_again(
        self, _name: str, again: t.Optional[Fields], used: bool
    ) -> None:
        self.learn_targets(LOST, 1, target_row({"sequence": 9}, LOST))
        self.learn_targets(LOST + 1, 1, target_row(None, LOST + 1))
        self.learn_targets(COPY, 2, target_row({"sequence": 5}, COPY), whole=True)
        self.assertFalse(self.uses_target())
        self.learn_targets(LATER, 2, target_row(again, LATER))
        self.assertEqual(used, self.uses_target())

    @parameterized.expand(
        [
            ("added", {"sequence": 1}, None, defaults.MISSING_TARGET_GRACE_S, False),
            ("leaves", {"leaving": True, "sequence": 9}, {}, defaults.CARRIED_ROW_S, True),
            ("removed", None, {}, 1.5 * defaults.DELETED_TARGET_BEATS, True),
        ]
    )
    def test_a_target_that_is_never_written_again(
        self,
        _name: str,
        lost: t.Optional[Fields],
        copy: t.Optional[Fields],
        held_s: float,
        used: bool,
    ) -> None:
        self.learn_targets(LOST, 1, target_row(lost, LOST))
        rows = [] if copy is None else [target_row(copy, COPY)]
        self.learn_targets(COPY, 2, *rows, whole=True)
        self.pass_time(held_s - 0.1)
        self.assertNotEqual(used, self.uses_target())
        self.pass_time(0.2)
        self.assertEqual(used, self.uses_target())

    @parameterized.expand(
        [
            ("lost", [], 6),
            ("all versions again, in order", [4, 5, 6], 6),
            ("the last one again", [6], 6),
            ("a later one", [8], 8),
        ]
    )
    def test_a_desired_state_that_is_lost(
        self, _name: str, again: t.Sequence[int], expected: int
    ) -> None:
        self.learn_state(LOST, 1, state_row(6, LOST))
        self.learn_state(COPY, 2, state_row(3, COPY), whole=True)
        for number, version in enumerate(again, start=LATER):
            self.learn_state(number, 2, state_row(version, number))
            self.assertEqual(max(6, version), self.view.version)
        row = self.view.state_rows.get("state/config")
        self.assertEqual((expected, expected), (self.view.version, t.cast(t.Any, row).version))
        self.assertEqual(0 if again else 1, len(self.view.state_rows.carried))

    @parameterized.expand([("an older one in the copy", True, 3), ("none", False, 6)])
    def test_a_desired_state_that_is_never_written_again(
        self, _name: str, in_copy: bool, expected: int
    ) -> None:
        self.learn_state(LOST, 1, state_row(6, LOST))
        self.learn_state(COPY, 2, *([state_row(3, COPY)] if in_copy else []), whole=True)
        self.pass_time(defaults.CARRIED_ROW_S - 0.1)
        self.assertEqual(6, self.view.version)
        self.pass_time(0.2)
        self.assertEqual(expected, self.view.version)

    @parameterized.expand(
        [
            ("ordered, lost", True, False, [], True),
            ("ordered, ordered again", True, False, [True], True),
            ("ordered, ordered again and lifted", True, False, [True, False], False),
            ("lifted, lost", False, True, [], False),
            ("lifted, lifted again", False, True, [False], False),
            ("lifted, ordered once more", False, True, [True], True),
            ("lifted, ordered once more before the first read", False, None, [], True),
        ]
    )
    def test_an_evacuation(
        self,
        _name: str,
        lost: bool,
        in_copy: t.Optional[bool],
        again: t.Sequence[bool],
        expected: bool,
    ) -> None:
        self.learn_state(LOST, 1, evacuation_row(not lost, LOST))
        self.learn_state(LOST + 1, 1, evacuation_row(lost, LOST + 1))
        copy = [state_row(1, 1)] + ([evacuation_row(True, COPY)] if in_copy else [])
        if in_copy is None:
            # Its revision is later than any that the lost order can have had.
            copy.append(evacuation_row(True, LOST + 2))
        self.learn_state(copy[-1].revision, 2, *copy, whole=True)
        for number, ordered in enumerate(again, start=LATER):
            self.learn_state(number, 2, evacuation_row(ordered, number))
        self.assertEqual((expected, not expected), (self.has_zone(), self.uses_target()))

    @parameterized.expand(
        [
            ("ordered", True, defaults.CARRIED_EVACUATION_S),
            ("lifted", False, 5.0 * defaults.LIFTED_EVACUATION_FRACTION),
        ]
    )
    def test_an_evacuation_that_is_never_written_again(
        self, _name: str, lost: bool, held_s: float
    ) -> None:
        self.learn_state(LOST, 1, evacuation_row(not lost, LOST))
        self.learn_state(LOST + 1, 1, evacuation_row(lost, LOST + 1))
        copy = [state_row(1, 1)] + ([] if lost else [evacuation_row(True, COPY)])
        self.learn_state(COPY, 2, *copy, whole=True)
        self.pass_time(held_s - 0.1)
        self.assertEqual(lost, self.has_zone())
        self.pass_time(0.2)
        self.assertNotEqual(lost, self.has_zone())

    def test_a_start_that_reads_the_copy_hears_of_what_is_lost(self) -> None:
        self.learn_state(LOST, 1, state_row(6, LOST))
        self.learn_targets(LOST, 1, target_row({"leaving": True, "sequence": 9}, LOST))
        self.learn_state(COPY, 2, state_row(3, COPY), whole=True)
        self.learn_targets(COPY, 2, target_row({"sequence": 5}, COPY), whole=True)
        started = EntryFixture("e2", self.clock)
        rows = started.state_view.state_rows
        changed = rows.apply_snapshot([state_row(3, COPY)], at(COPY, 2), 1.0)
        started.state_view.apply_state_changes(changed)
        started.exchange.merge(self.entry.exchange.build_reply(started.exchange.build_update()))
        self.assertEqual(6, started.state_view.version)
        self.assertEqual((), started.steered.targets.of_service(make_target().service))
        sums = [one.state_view.carried_checksum() for one in (self.entry, started)]
        self.assertEqual(sums[0], sums[1])
        reply = self.entry.exchange.build_reply(started.exchange.build_update())
        self.assertEqual((), reply.carried)

    @parameterized.expand([("behind", COPY, True), ("ahead", LATER + 1, False)])
    def test_rows_of_an_entry_that_is_behind_are_not_carried(
        self, _name: str, revision: int, carried: bool
    ) -> None:
        """It may not know yet that the row was written again and deleted."""
        self.learn_state(LOST, 1, evacuation_row(True, LOST))
        self.learn_state(COPY, 2, state_row(1, 1), whole=True)
        started = EntryFixture("e2", self.clock)
        rows = started.state_view.state_rows
        rows.apply_snapshot([state_row(1, 1)], at(revision, 2), 1.0)
        started.exchange.merge(self.entry.exchange.build_reply(started.exchange.build_update()))
        self.assertEqual(carried, EVACUATION in rows.values())

    def test_what_is_carried_outlasts_two_eras(self) -> None:
        self.learn_state(LOST, 1, state_row(6, LOST))
        self.learn_state(COPY, 2, state_row(3, COPY), whole=True)
        self.learn_state(COPY - 5, 3, state_row(3, COPY - 5), whole=True)
        self.assertEqual((6, 1), (self.view.version, len(self.view.state_rows.carried)))
        self.learn_state(COPY, 3, state_row(6, COPY))
        self.assertEqual((6, 0), (self.view.version, len(self.view.state_rows.carried)))

    def test_a_row_of_the_copy_that_can_t_be_read_leaves_the_last_valid_one(self) -> None:
        self.learn_state(COPY, 2, Row("state/config", b"{", Revision(COPY)), whole=True)
        self.assertIsNotNone(self.view.state_rows.get("state/config"))
        self.learn_targets(COPY, 2, Row("targets/t1", b"{", Revision(COPY)), whole=True)
        self.assertFalse(self.uses_target())
