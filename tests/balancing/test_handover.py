"""When a new owner may use its slots, and what happens to slots that an entry loses."""

import typing as t
import unittest

import msgspec
from parameterized import parameterized

from coralfall import defaults
from coralfall.balancing.handover import Ack
from coralfall.balancing.limits import CapacityLimits, Limits
from coralfall.balancing.slots import SlotTable
from coralfall.cluster.lease import Lease
from coralfall.cluster.roster import Roster
from coralfall.cluster.rows import roster_key
from coralfall.ids import EntryId, EntryState, Incarnation, Revision, ServiceId, TargetId
from coralfall.process.clock import ManualClock
from coralfall.settings import LeaseSettings
from coralfall.stores.store import Row
from tests.balancing.target_lives import let_targets_answer
from tests.bundle_makers import COSECHA, make_bundle, make_target
from tests.members import deleted, make_member, put

TTL_S = 6.0
SLOTS = 40
MARGIN_S = defaults.HANDOVER_MARGIN_S
T0 = TargetId("t0")


def make_limits(slots: int = SLOTS, timeout_s: float = 1.0) -> Limits:
    targets = {"t0": make_target("sierra", slots)}
    bundle = make_bundle("cosecha", {"sierra": 999}, targets, timeout_ms=int(timeout_s * 1000))
    return CapacityLimits(ManualClock()).update({COSECHA: bundle}, {}, {}, 0)


class Entry:
    """An entry ``a`` whose lease does not expire."""

    def __init__(self, limits: Limits, targets_answer: bool = True) -> None:
        self.clock = ManualClock(100)
        settings = LeaseSettings(ttl_s=TTL_S)
        lease = Lease(settings, self.clock)
        lease.renewed(1e9)
        self.roster = Roster()
        self.limits = limits
        self.slots = SlotTable(EntryId("a"), lease, self.clock, settings)
        if targets_answer:
            let_targets_answer(self.slots)

    def apply_rows(self, *rows: Row) -> None:
        self.roster.apply(rows)
        self.run_updates()

    def ack(self, name: str, revision: int, incarnation: int = 1) -> None:
        ack = Ack(EntryId(name), Incarnation(incarnation), Revision(revision))
        self.slots.apply_acks([ack])
        self.run_updates()

    def run_updates(self) -> None:
        self.slots.update(self.roster, self.limits)
        for _ in self.slots.update_steps():
            pass

    def usable_from(self, horizon_s: float = 60) -> t.Dict[float, int]:
        """Returns the number of free slots by the seconds from now at which it changes."""
        found: t.Dict[float, int] = {}
        start, known = self.clock.now, 0
        for tenth in range(int(horizon_s * 10)):
            self.clock.now = start + tenth / 10
            free = self.slots.free(T0)
            if free != known:
                found[tenth / 10] = known = free
        self.clock.now = start
        return found


class RestTest(unittest.TestCase):
    """Rows: events as (seconds to wait before it, event), and the expected usable slots."""

    def setUp(self) -> None:
        self.entry = Entry(make_limits())

    def _share(self, *names: str) -> int:
        """Returns the number of slots that ``a`` owns beside the named other members."""
        alone = Entry(self.entry.limits)
        alone.apply_rows(put("a", 1), *(put(name, 1 + number) for number, name in enumerate(names)))
        return sum(len(owned) for owned in alone.slots._inventory.owned_by_target.values())

    @parameterized.expand(
        [
            ("first_of_all", [(0, put("a", 1))], {0: ""}),
            ("other_has_left", [(0, deleted("b", 1)), (0, put("a", 2))], {7.5: ""}),
            ("own_earlier_life", [(0, put("a", 1)), (0, put("a", 2, 2))], {7.5: ""}),
            ("other_removed", [(0, put("a", 1)), (0, put("b", 2)), (9, deleted("b", 3))], {0: "b"}),
        ]
    )
    def test_alone(
        self, _name: str, events: t.List[t.Tuple[float, Row]], usable: t.Dict[float, str]
    ) -> None:
        for seconds, row in events:
            self.entry.clock.advance(seconds)
            self.entry.apply_rows(row)
        expected = {at: self._share(*others) for at, others in usable.items()}
        if usable == {0: "b"}:
            expected[7.5] = SLOTS
        self.assertEqual(self.entry.usable_from(), expected)

    @parameterized.expand(
        [
            ("nobody_acked", [], {}),
            ("early_ack", [(2, "b", 2)], {5.5: "b"}),
            ("late_ack", [(20, "b", 2)], {defaults.LOAN_TTL_S + 1 + MARGIN_S: "b"}),
            ("ack_of_older_roster", [(20, "b", 1)], {}),
            ("ack_of_newer_roster", [(20, "b", 3)], {}),
            ("ack_of_other_life", [(20, "b", 2, 7)], {}),
        ]
    )
    def test_join(
        self, _name: str, acks: t.List[t.Tuple[t.Any, ...]], usable: t.Dict[float, str]
    ) -> None:
        self.entry.apply_rows(put("b", 1), put("a", 2))
        for seconds, *ack in acks:
            self.entry.clock.advance(seconds)
            self.entry.ack(*ack)
        expected = {at: self._share(*others) for at, others in usable.items()}
        self.assertEqual(self.entry.usable_from(), expected)

    def test_ack_of_newer_roster_counts_once_caught_up(self) -> None:
        self.entry.apply_rows(put("b", 1), put("a", 2))
        self.entry.ack("b", 3)
        self.entry.clock.advance(20)
        self.entry.apply_rows(put("c", 3))
        self.entry.ack("c", 3)
        self.assertEqual(self.entry.usable_from(), {3.5: self._share("b", "c")})

    def test_removal_of_an_awaited_member_rests_anew(self) -> None:
        self.entry.apply_rows(put("b", 1), put("a", 2))
        self.entry.clock.advance(30)
        self.entry.apply_rows(deleted("b", 3))
        self.assertEqual(self.entry.usable_from(), {7.5: SLOTS})

    def test_member_blocks_only_what_it_may_own(self) -> None:
        self.entry.apply_rows(put("b", 1), put("c", 2), put("a", 3))
        self.entry.ack("b", 3)
        self.entry.clock.advance(20)
        self.assertEqual(self.entry.usable_from(), {})
        self.entry.ack("c", 2)  # c knows b, so it owns no slot for which b ranks higher.
        self.assertEqual(list(self.entry.usable_from()), [3.5])
        partly = self.entry.usable_from()[3.5]
        self.assertTrue(0 < partly < self._share("b", "c"))
        self.entry.ack("c", 3)
        self.entry.clock.advance(20)
        self.assertEqual(self.entry.usable_from(), {0: self._share("b", "c")})

    def test_rejoining_under_the_same_number_is_a_join(self) -> None:
        self.entry.apply_rows(put("b", 1), put("a", 2))
        self.entry.ack("b", 2)
        self.entry.clock.advance(20)
        self.entry.apply_rows(put("a", 5))
        self.assertEqual(self.entry.usable_from(), {})
        leaving = msgspec.structs.replace(make_member("a"), state=EntryState.LEAVING)
        self.entry.ack("b", 5)
        self.entry.clock.advance(20)
        row = Row(roster_key(EntryId("a")), msgspec.msgpack.encode(leaving), Revision(6))
        self.entry.apply_rows(row)
        self.assertEqual(self.entry.usable_from(), {0: self._share("b")})

    def test_longer_timeout_rests_longer(self) -> None:
        self.entry.limits = make_limits(timeout_s=4.0)
        self.entry.apply_rows(deleted("b", 1), put("a", 2))
        self.assertEqual(self.entry.usable_from(), {TTL_S + 4 + MARGIN_S: SLOTS})

    def test_bundle_that_adds_slots_moves_none(self) -> None:
        self.entry.limits = make_limits(4)
        self.entry.apply_rows(deleted("b", 1), put("a", 2))
        self.entry.clock.advance(30)
        self.entry.limits = make_limits(SLOTS)
        self.entry.run_updates()
        self.assertEqual(self.entry.usable_from(), {0: SLOTS})


class OwnersTest(unittest.TestCase):
    def test_large_fleet_is_worked_out_call_by_call(self) -> None:
        targets = {f"t{number}": make_target("sierra", 6) for number in range(30)}
        bundles = {COSECHA: make_bundle("cosecha", {"sierra": 999}, targets)}
        entry = Entry(CapacityLimits(ManualClock()).update(bundles, {}, {}, 0))
        entry.apply_rows(put("a", 1), *(put(f"e{number}", 2 + number) for number in range(499)))
        found = []
        for _ in range(4):
            owners = entry.slots.slots_by_owner(ServiceId("pedidos"), ())
            found.append(sum(owners.values()))
        own = sum(len(owned) for owned in entry.slots._inventory.owned_by_target.values())
        self.assertTrue(0 < found[0] < found[1] < found[2])
        self.assertEqual(found[2:], [30 * 6 - own] * 2)


class LossTest(unittest.TestCase):
    def setUp(self) -> None:
        self.entry = Entry(make_limits())
        self.entry.apply_rows(put("a", 1))
        self.slots = self.entry.slots
        self.held = [self.slots.acquire(T0) for _ in range(SLOTS)]

    def _lost(self) -> t.List[t.Any]:
        return [slot for slot in self.held if not self.slots.confirm(slot)]

    def test_lost_at_once_and_counted_until_over(self) -> None:
        self.assertIsNone(self.slots.acquire(T0))
        self.assertEqual(self._lost(), [])
        self.entry.apply_rows(put("b", 2))
        lost = self._lost()
        self.assertTrue(0 < len(lost) < SLOTS)
        self.assertEqual(self.slots.in_flight(T0), SLOTS)
        for slot in [*lost, *lost]:
            self.slots.release(slot)
        self.assertEqual(self.slots.in_flight(T0), SLOTS - len(lost))
        self.assertEqual(self.slots.free(T0), 0)

    def test_regained_while_busy(self) -> None:
        self.entry.apply_rows(put("b", 2))
        self.entry.apply_rows(deleted("b", 3))
        self.assertEqual(len(self.slots.busy_slots()), SLOTS)
        self.assertEqual(self.entry.usable_from(), {})
        for slot in self.held:
            self.slots.release(slot)
        self.assertEqual(list(self.entry.usable_from().values())[-1], SLOTS)

    def test_leaving_target_is_refused_at_the_last_check(self) -> None:
        self.entry.limits = make_limits(1)
        self.entry.run_updates()
        self.assertEqual(len(self._lost()), SLOTS - 1)

    def test_nothing_is_acknowledged_while_a_request_outlasts_the_timeout(self) -> None:
        self.entry.limits = make_limits(timeout_s=0.2)
        self.entry.apply_rows(put("b", 2))
        self.assertEqual(self.slots.acknowledged_revision, 0)
        self.entry.clock.advance(0.9)
        self.assertEqual(self.slots.acknowledged_revision, 2)
