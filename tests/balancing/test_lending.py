"""Loans between an owner and a borrower, peak demand, and link rates by slots."""

import collections
import random
import typing as t
import unittest

from parameterized import parameterized

from coralfall import defaults
from coralfall.balancing.borrowing import Borrower, OutgoingReturn, PendingLoanRequest
from coralfall.balancing.demand import PeakDemand
from coralfall.balancing.lending import Lender
from coralfall.balancing.link_limiter import LinkLimiter, LinkRate, link_rates
from coralfall.balancing.ownership import ranked_members
from coralfall.balancing.slots import SlotTable
from coralfall.bundles.bundle import Bundle
from coralfall.cluster.lease import Lease
from coralfall.cluster.roster import Roster
from coralfall.ids import EntryId, PartnerId, RegionId, ServiceId
from coralfall.peering.messages import LoanAnswer, LoanReturn
from coralfall.process.clock import ManualClock
from coralfall.settings import LeaseSettings
from tests.balancing.target_lives import let_targets_answer
from tests.balancing.test_handover import MARGIN_S, SLOTS, T0, make_limits
from tests.bundle_makers import CENTRO, COSECHA, SIERRA, make_bundle, make_target
from tests.members import put

SERVICE = ServiceId("pedidos")
OWNER, BORROWER = EntryId("a"), EntryId("b")
LENT_S = defaults.LOAN_TTL_S + 1 + MARGIN_S


class LoanTest(unittest.TestCase):
    """An owner of all slots and a borrower of none."""

    def setUp(self) -> None:
        self.clock = ManualClock(100)
        settings = LeaseSettings(ttl_s=6)
        self.lease = Lease(settings, self.clock)
        self.lease.renewed(100)
        self.owned = SlotTable(OWNER, self.lease, self.clock, settings)
        let_targets_answer(self.owned)
        roster = Roster()
        roster.apply([put("a", 1)])
        self.owned.update(roster, make_limits())
        for _ in self.owned.update_steps():
            pass
        self.lender = Lender(self.owned, self.lease, self.clock, random.Random(1))
        # The borrower has no lease, like an entry that could not join.
        self.used = SlotTable(BORROWER, Lease(settings, self.clock), self.clock, settings)
        self.used.update(Roster(), make_limits())
        self.borrower = Borrower(self.used, self.clock, random.Random(2))
        self.borrower.record_heartbeat(OWNER, {SERVICE: 30})

    def _ask(self, count: int = 2, regions: t.Sequence[RegionId] = ()) -> PendingLoanRequest:
        ask = self.borrower.create_request(SERVICE, count, regions)
        assert ask is not None
        return ask

    def _borrow(self, count: int = 2) -> LoanAnswer:
        ask = self._ask(count)
        answer = self.lender.answer(BORROWER, ask.request)
        self.assertEqual(self.borrower.accept_answer(ask, answer), [])
        return answer

    def _deliver(self, returns: t.List[OutgoingReturn]) -> None:
        for outgoing_return in returns:
            self.lender.accept_return(BORROWER, outgoing_return.message)

    def _free(self) -> t.Tuple[int, int]:
        return self.owned.free(T0), self.used.free(T0)

    def test_lent_slot_has_one_user(self) -> None:
        self._borrow()
        self.assertEqual(self._free(), (SLOTS - 2, 2))
        self.clock.advance(defaults.LOAN_TTL_S - 0.1)
        self.assertEqual(self._free(), (SLOTS - 2, 2))
        self.clock.advance(0.1)
        self.assertEqual(self._free(), (SLOTS - 2, 0))
        self.clock.advance(LENT_S - defaults.LOAN_TTL_S - 0.1)
        self.assertEqual(self._free(), (SLOTS - 2, 0))
        self.clock.advance(0.1)
        self.assertEqual((self._free(), self.lender.lent_count()), ((SLOTS, 0), 0))

    def test_counts_from_the_request_on_the_borrowers_side(self) -> None:
        ask = self._ask()
        self.clock.advance(1.5)
        answer = self.lender.answer(BORROWER, ask.request)
        self.clock.advance(0.4)
        self.borrower.accept_answer(ask, answer)
        slot = self.used.acquire(T0)
        assert slot is not None
        self.assertTrue(self.used.confirm(slot))
        self.clock.advance(0.1)
        self.assertFalse(self.used.confirm(slot))

    def test_late_answer_is_given_back_unused(self) -> None:
        ask = self._ask()
        answer = self.lender.answer(BORROWER, ask.request)
        self.clock.advance(defaults.LOAN_TTL_S)
        self._deliver(self.borrower.accept_answer(ask, answer))
        self.assertEqual(self._free(), (SLOTS, 0))

    def test_given_back_when_idle_but_not_while_a_request_runs(self) -> None:
        self._borrow()
        slot = self.used.acquire_any([T0])
        assert slot is not None
        self.clock.advance(defaults.LOAN_IDLE_TIMEOUT_S)
        self._deliver(self.borrower.due_returns())
        self.assertEqual((self._free(), self.borrower.borrowed_count()), ((SLOTS - 1, 0), 1))
        self.clock.advance(defaults.LOAN_TTL_S)
        self.assertEqual(self.borrower.due_returns(), [])
        self.used.release(slot)
        self._deliver(self.borrower.due_returns())
        self.assertEqual(self._free(), (SLOTS, 0))

    @parameterized.expand(
        [("other_borrower", 0, "c"), ("after_its_time", LENT_S, "b"), ("other_loan", 0, "b", 1)]
    )
    def test_void_return(self, _name: str, wait_s: float, sender: str, off_by: int = 0) -> None:
        first = self._borrow(SLOTS)
        self.clock.advance(wait_s)
        if wait_s:
            self.borrower.due_returns()
            self.lease.renewed(self.clock.now)
            self.borrower.record_heartbeat(OWNER, {SERVICE: SLOTS})
            self._borrow(SLOTS)
        before = self.owned.free(T0)
        message = LoanReturn(loan_id=first.loan_id + off_by, slots=first.slots)
        self.lender.accept_return(EntryId(sender), message)
        self.assertEqual(self.owned.free(T0), before)

    @parameterized.expand(
        [
            ("whole", 1.0, defaults.LOAN_TTL_S),
            ("cut_to_the_lease", 5.0, 1.0),
            ("too_short", 5.9, 0.0),
            ("lapsed", 7.0, 0.0),
        ]
    )
    def test_ends_with_the_owners_lease(self, _name: str, age_s: float, seconds: float) -> None:
        self.clock.advance(age_s)
        self.borrower.record_heartbeat(OWNER, {SERVICE: 30})
        answer = self.lender.answer(BORROWER, self._ask().request)
        self.assertAlmostEqual(answer.seconds, seconds)
        self.assertEqual(len(answer.slots), 2 if seconds else 0)

    def test_owner_keeps_what_it_wanted_lately(self) -> None:
        slots = [self.owned.acquire(T0) for _ in range(SLOTS - 3)]
        self.assertEqual(self.lender.lendable(SERVICE), 3)
        for slot in slots:
            assert slot is not None
            self.owned.release(slot)
        self.assertEqual(self.lender.lendable(SERVICE), 3)
        self.clock.advance(4)
        self.assertEqual(self.lender.lendable(SERVICE), SLOTS)

    def test_only_regions_that_are_of_use(self) -> None:
        for regions, count in (([CENTRO], 0), ([CENTRO, SIERRA], 2)):
            ask = self._ask(2, regions)
            self.assertEqual(len(self.lender.answer(BORROWER, ask.request).slots), count)
            self.borrower.discard_request(ask)

    def test_limit_of_the_borrower_counts_too(self) -> None:
        self.used.update(Roster(), make_limits(1))
        ask = self._ask(SLOTS)
        answer = self.lender.answer(BORROWER, ask.request)
        self._deliver(self.borrower.accept_answer(ask, answer))
        self.assertEqual((self.used.free(T0), self.lender.lent_count()), (1, 1))


class AskTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        settings = LeaseSettings()
        self.slots = SlotTable(BORROWER, Lease(settings, self.clock), self.clock, settings)
        self.borrower = Borrower(self.slots, self.clock, random.Random(3))

    def test_asks_are_bounded_and_count_each_other(self) -> None:
        self.assertIsNone(self.borrower.create_request(SERVICE, 2))
        self.borrower.record_heartbeat(OWNER, {SERVICE: 30})
        asks = []
        for count in (2, 5, 9, 14):
            ask = self.borrower.create_request(SERVICE, count)
            assert ask is not None
            asks.append(ask)
            self.assertIsNone(self.borrower.create_request(SERVICE, count))
        self.assertEqual([ask.request.count for ask in asks], [2, 3, 4, 5])
        self.assertEqual(len(asks), defaults.MAX_LOAN_REQUESTS)
        self.assertIsNone(self.borrower.create_request(SERVICE, 99))
        self.borrower.discard_request(asks[0])
        self.assertEqual(self.borrower.create_request(SERVICE, 99).request.count, 16)  # type: ignore[union-attr]

    @parameterized.expand([("stale", 5.1, 2), ("gone", 0.0, 2), ("nothing", 0.0, 0)])
    def test_nobody_to_ask(self, name: str, wait_s: float, idle: int) -> None:
        self.borrower.record_heartbeat(OWNER, {SERVICE: idle})
        if name == "gone":
            self.borrower.forget_peer(OWNER)
        self.clock.advance(wait_s)
        self.assertIsNone(self.borrower.create_request(SERVICE, 1))

    def test_owners_are_asked_that_have_said_nothing(self) -> None:
        roster = Roster()
        roster.apply([put("b", 1), put("c", 2), put("d", 3)])
        self.slots.update(roster, make_limits())
        owners = self.slots.slots_by_owner(SERVICE, [])
        scored = collections.Counter(ranked_members(T0, index, "bcd")[0] for index in range(SLOTS))
        self.assertEqual(owners, {peer: scored[peer] for peer in "cd"})
        asks = [self.borrower.create_request(SERVICE, count) for count in (1, 2)]
        assert asks[0] is not None and asks[1] is not None
        self.assertEqual({ask.peer for ask in asks if ask}, set(owners))
        self.assertIsNone(self.borrower.create_request(SERVICE, 3))

    def test_owner_that_had_nothing_is_left_alone_ever_longer(self) -> None:
        roster = Roster()
        roster.apply([put("b", 1), put("c", 2)])
        self.slots.update(roster, make_limits())
        waits = []
        for _ in range(5):
            ask = self.borrower.create_request(SERVICE, 1)
            assert ask is not None
            self.borrower.accept_answer(ask, LoanAnswer(loan_id=1, slots=(), seconds=0.0))
            started = self.clock.now
            again = self.borrower.create_request(SERVICE, 1)
            while again is None:
                self.clock.advance(0.01)
                again = self.borrower.create_request(SERVICE, 1)
            waits.append(round((self.clock.now - started) / defaults.LOAN_BACKOFF_S))
            self.borrower.discard_request(again)
        self.assertEqual(waits, [1, 2, 4, 8, 8])

    def test_asks_are_spread_and_lean_to_those_with_more(self) -> None:
        asked = dict.fromkeys("cdef", 0)
        for _ in range(400):
            for name, idle in zip("cdef", (1, 5, 5, 20), strict=True):
                self.borrower.record_heartbeat(EntryId(name), {SERVICE: idle})
            ask = self.borrower.create_request(SERVICE, 1)
            assert ask is not None
            asked[ask.peer] += 1
            self.borrower.discard_request(ask)
        self.assertEqual(asked["c"], 0)
        self.assertTrue(0 < asked["d"] < asked["f"] < 300)


class PeakDemandTest(unittest.TestCase):
    def test_forgets_after_one_to_two_windows(self) -> None:
        demand = PeakDemand(2.0)
        demand.record(5, 0.0)
        demand.record(3, 1.0)
        self.assertEqual([demand.peak(at) for at in (1.9, 3.9, 4.1)], [5, 5, 0])


class LinkTest(unittest.TestCase):
    def _bundles(self) -> t.Dict[PartnerId, Bundle]:
        targets = {"t0": make_target("sierra", 6), "t1": make_target("sierra", 4)}
        return {COSECHA: make_bundle("cosecha", {"sierra": 99}, targets)}

    def test_share_by_slots(self) -> None:
        rates = link_rates([self._bundles()], make_limits(10), {SIERRA: 3})
        self.assertEqual(rates, {SIERRA: LinkRate(37_500_000, 12_500_000)})

    def test_rate_is_kept_with_a_burst(self) -> None:
        clock = ManualClock(10)
        link = LinkLimiter(clock)
        self.assertEqual(link.reserve(SIERRA, 1), float("inf"))
        link.set_rates({SIERRA: LinkRate(1000.0, 100.0)})
        sent, rng = 0, random.Random(5)
        while clock.now < 40:
            size = rng.randint(1, 300)
            clock.advance(link.reserve(SIERRA, size))
            sent += size
            clock.advance(rng.choice([0, 0, 0, 0.3]))
        bound = 1000 * (clock.now - 10 + defaults.LINK_BURST_S) + 300
        self.assertTrue(0.5 * bound < sent <= bound)

    def test_slot_borrowed_since_the_rates_were_set(self) -> None:
        link = LinkLimiter(ManualClock(10))
        link.set_rates({SIERRA: LinkRate(0.0, 100.0)})
        link.reserve(SIERRA, 20)
        self.assertAlmostEqual(link.reserve(SIERRA, 20), 0.1)
