"""The roster from the table and from peers, and the evidence for a removal."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall.bundles.removal import LeaseObserver, removable
from coralfall.cluster.roster import Roster, may_replace
from coralfall.cluster.rows import Member, lease_key
from coralfall.ids import EntryId, Incarnation, Revision, VmId, VmState, ZoneId
from coralfall.process.clock import ManualClock
from coralfall.settings import LeaseSettings
from coralfall.stores.store import Row, Vm
from tests.members import deleted, make_member, put


def lease(name: str, revision: int) -> Row:
    return Row(lease_key(EntryId(name)), b"", Revision(revision))


def vms(*names: str) -> t.Dict[VmId, Vm]:
    return {VmId(name): Vm(VmId(name), ZoneId("z"), VmState.LIVE) for name in names}


class ApplyTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("joins", [[put("a", 1), put("b", 2)]], {"a": 1, "b": 1}, 2),
            ("leaves", [[put("a", 1), put("b", 2)], [deleted("a", 3)]], {"b": 1}, 3),
            ("later_life", [[put("a", 1)], [put("a", 2, 7)]], {"a": 7}, 2),
            ("unsorted_pages", [[put("b", 9), put("a", 1)]], {"a": 1, "b": 1}, 9),
            ("overtaken_answer", [[deleted("a", 5)], [put("a", 4)]], {}, 5),
            ("other_rows", [[lease("a", 8)]], {}, 0),
        ]
    )
    def test_rows(
        self, _name: str, batches: t.List[t.List[Row]], lives: t.Dict[str, int], revision: int
    ) -> None:
        roster = Roster()
        for batch in batches:
            roster.apply(batch)
        found = {name: member.incarnation for name, member in roster.by_id.items()}
        self.assertEqual((found, roster.revision), (lives, revision))

    def test_peer_roster_only_if_newer(self) -> None:
        roster = Roster()
        roster.apply([put("a", 4), put("b", 5)])
        self.assertFalse(roster.replace([make_member("c")], Revision(5)))
        self.assertTrue(roster.replace([make_member("b"), make_member("c")], Revision(9)))
        self.assertEqual(set(roster.by_id), {"b", "c"})
        self.assertEqual([roster.written(EntryId(name)) for name in "bc"], [5, 9])
        self.assertFalse(roster.apply([put("a", 4), put("c", 8)]))

    @parameterized.expand(
        [
            ("alone", [put("a", 1)], True),
            ("with_other", [put("a", 1), put("b", 2)], False),
            ("other_left", [deleted("b", 1), put("a", 2)], False),
            ("earlier_life", [put("a", 1), put("a", 2, 2)], False),
        ]
    )
    def test_traces_of_others(self, _name: str, rows: t.List[Row], expected: bool) -> None:
        roster = Roster()
        roster.apply(rows)
        self.assertEqual(roster.only_ever(EntryId("a"), Incarnation(1)), expected)

    @parameterized.expand(
        [
            ("same_vm", make_member("a", 2), ["vm-a"], True),
            ("same_life", make_member("a", 1), [], False),
            ("other_vm_lives", make_member("a", 2, "vm-x"), ["vm-a"], False),
            ("other_vm_gone", make_member("a", 2, "vm-x"), ["vm-x"], True),
        ]
    )
    def test_replacement(
        self, _name: str, joining: Member, listed: t.List[str], expected: bool
    ) -> None:
        self.assertEqual(may_replace(make_member("a"), joining, vms(*listed)), expected)


class RankedTest(unittest.TestCase):
    def test_order_of_the_rest_stays_when_a_member_goes(self) -> None:
        roster = Roster()
        roster.apply([put(f"e{number}", number + 1) for number in range(12)])
        before = roster.ranked("calor/mando")
        self.assertEqual(sorted(before), sorted(roster.by_id))
        self.assertNotEqual(before, roster.ranked("calor/bodega"))
        roster.apply([deleted(before[3], 40)])
        self.assertEqual(roster.ranked("calor/mando"), before[:3] + before[4:])


class RemovalTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.observer = LeaseObserver(LeaseSettings(ttl_s=6), self.clock)
        self.members = {EntryId(name): make_member(name) for name in "ab"}

    def _observe(self, seconds: float, rows: t.Iterable[Row] = (), sent_before: float = 0) -> None:
        self.clock.advance(seconds)
        self.observer.observe(self.clock.now - sent_before, rows, self.members)

    def _observe_renewals_of_b(self, seconds: int, first: int) -> None:
        for second in range(seconds):
            self._observe(1, [lease("b", first + second)])

    def test_needs_both_pieces_of_evidence(self) -> None:
        self._observe(0, [lease("a", 1), lease("b", 2)])
        self._observe_renewals_of_b(6, 10)
        self.assertEqual(self.observer.lapsed(), [])
        self._observe_renewals_of_b(1, 20)
        self.assertEqual(self.observer.lapsed(), ["a"])
        self.assertEqual(self.observer.revision(EntryId("a")), 1)
        self.assertEqual(removable(self.members, ["a"], vms("vm-a")), [])
        self.assertEqual(removable(self.members, ["a"], vms("vm-b")), ["a"])

    def test_later_life_on_the_same_vm(self) -> None:
        self.members[EntryId("c")] = make_member("c", 2, "vm-a")
        self.assertEqual(removable(self.members, ["a"], vms("vm-a")), ["a"])
        self.assertEqual(removable(self.members, ["c"], vms("vm-a")), [])

    def test_time_without_reads_does_not_count(self) -> None:
        self._observe(0, [lease("a", 1)])
        self._observe_renewals_of_b(5, 10)
        self.observer.reset()
        self._observe_renewals_of_b(6, 20)
        self.assertEqual(self.observer.lapsed(), [])
        self._observe(50)
        self.assertEqual(self.observer.lapsed(), [])
        for _ in range(2):
            self._observe(5)  # Slow, but steadily.
        self.assertEqual(self.observer.lapsed(), ["a", "b"])

    def test_slow_reads_count_from_answer_to_sending(self) -> None:
        self._observe(2, [lease("a", 1)], sent_before=1)
        for _ in range(3):
            self._observe(2, sent_before=0)
        self.assertEqual(self.observer.lapsed(), [])
        self._observe(2, sent_before=1.9)
        self.assertEqual(self.observer.lapsed(), [])
        self._observe(0.5)
        self.assertEqual(self.observer.lapsed(), ["a", "b"])

    def test_later_life_starts_anew(self) -> None:
        self._observe(0, [lease("a", 1)])
        self._observe_renewals_of_b(7, 10)
        self.members[EntryId("a")] = make_member("a", 2)
        self._observe_renewals_of_b(1, 30)
        self.assertEqual(self.observer.lapsed(), [])
