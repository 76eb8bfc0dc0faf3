"""What an entry answers to requests for loans, and gives or calls back for them."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall.balancing.borrowing import PendingLoanRequest
from coralfall.ids import RegionId, TargetId
from coralfall.peering.messages import LoanAnswer, LoanRequest
from tests.bundle_makers import make_bundle, make_target
from tests.cluster.loan_fleet import SERVICE, LendingEntry, LoanFleet
from tests.virtual_loop import LoopClock, run_virtual

SLOTS = 6
TARGET = TargetId("t0")
NAMES = ("a", "b", "c")


class LoanRequestTest(unittest.TestCase):
    """One target whose slots three entries own; each row is one request to one of them."""

    def _play(self, work: t.Callable[[LoanFleet], t.Awaitable[None]]) -> None:
        async def main(_clock: LoopClock) -> None:
            bundle = make_bundle("cosecha", {"sierra": 99}, {"t0": make_target("sierra", SLOTS)})
            fleet = LoanFleet(NAMES, bundle, 1)
            await fleet.settle()
            await work(fleet)
            await fleet.close()

        run_virtual(main)

    def _ask(
        self, peer: LendingEntry, of: LendingEntry, count: int = SLOTS, **options: t.Any
    ) -> LoanAnswer:
        request = LoanRequest(service=SERVICE, count=count, **options)
        return of.node.conversation.on_loan_request(peer.hello(), request)

    @parameterized.expand([("made ahead", False), ("waits", True)])
    def test_reserve_is_lent_only_to_requests_that_wait(self, _name: str, waiting: bool) -> None:
        async def work(fleet: LoanFleet) -> None:
            owner, peer, _ = fleet.entries
            self.assertTrue(await fleet.read(owner))
            idle = owner.node.slots.idle(SERVICE)
            answer = self._ask(peer, owner, waiting=waiting)
            self.assertEqual(len(answer.slots), idle if waiting else idle - 1)

        self._play(work)

    @parameterized.expand([("waits", True, 1), ("made ahead", False, 0)])
    def test_idle_slots_go_back_to_the_owner_that_asks(
        self, _name: str, waiting: bool, returned: int
    ) -> None:
        async def work(fleet: LoanFleet) -> None:
            borrower = fleet.entries[1]
            borrower.loans.ask(SERVICE, 1, (), True)
            await fleet.messages()
            (lender,) = [x for x in fleet.entries if x.node.lender.lent_count()]
            answer = self._ask(lender, borrower, count=1, waiting=waiting)
            self.assertEqual(sum(len(loan.slots) for loan in answer.returns), returned)
            self.assertEqual(borrower.node.borrower.borrowed_count(), 1 - returned)

        self._play(work)

    def test_slot_in_use_is_not_given_back(self) -> None:
        async def work(fleet: LoanFleet) -> None:
            borrower = fleet.entries[1]
            while borrower.node.slots.idle(SERVICE):
                await fleet.reserve(borrower)
            await fleet.reserve(borrower)
            borrowed = borrower.node.borrower.borrowed_count()
            self.assertGreater(borrowed, 0)
            lender, *_ = [x for x in fleet.entries if x.node.lender.lent_count()]
            busy = len(borrower.node.slots.busy_slots())
            self._ask(lender, borrower, waiting=True, recall=True)
            self.assertEqual(len(borrower.node.slots.busy_slots()), busy)
            self.assertGreater(borrower.node.borrower.borrowed_count(), 0)

        self._play(work)

    @parameterized.expand([("idle at a third entry", False, True), ("in use there", True, False)])
    def test_owner_calls_slots_back_for_a_peer(
        self, _name: str, in_use: bool, lent_again: bool
    ) -> None:
        async def work(fleet: LoanFleet) -> None:
            owner, borrower, peer = fleet.entries
            request = LoanRequest(service=SERVICE, count=SLOTS, waiting=True)
            ask = PendingLoanRequest(owner.entry_id, request, fleet.clock.monotonic())
            answer = owner.node.conversation.on_loan_request(borrower.hello(), request)
            borrower.node.borrower.accept_answer(ask, answer)
            while in_use and borrower.node.slots.free(TARGET):
                borrower.node.slots.acquire(TARGET)
            first = self._ask(peer, owner, waiting=True)
            self.assertEqual((first.slots, first.recalling), ((), True))
            await fleet.messages()
            second = self._ask(peer, owner, waiting=True)
            self.assertEqual(bool(second.slots), lent_again)

        self._play(work)

    def test_region_that_nobody_asked_for_is_kept(self) -> None:
        async def work(fleet: LoanFleet) -> None:
            owner, peer, _ = fleet.entries
            regions = (RegionId("costa"),)
            answer = self._ask(peer, owner, waiting=True, regions=regions)
            self.assertEqual((answer.slots, answer.recalling), ((), False))

        self._play(work)


class BackoffTest(unittest.TestCase):
    def test_refusal_of_a_request_made_ahead_does_not_delay_one_that_waits(self) -> None:
        async def main(_clock: LoopClock) -> None:
            bundle = make_bundle("cosecha", {"sierra": 99}, {"t0": make_target("sierra", 1)})
            fleet = LoanFleet(NAMES, bundle, 1)
            await fleet.settle()
            borrower, *_ = [x for x in fleet.entries if not x.node.slots.idle(SERVICE)]
            (owner,) = [x for x in fleet.entries if x.node.slots.idle(SERVICE)]
            for waiting, expected in ((False, owner.entry_id), (True, owner.entry_id)):
                ask = borrower.node.borrower.create_request(SERVICE, 1, (), waiting)
                assert ask is not None
                self.assertEqual(ask.peer, expected)
                answer = LoanAnswer(loan_id=1, slots=(), seconds=0.0)
                borrower.node.borrower.accept_answer(ask, answer)
            self.assertIsNone(borrower.node.borrower.create_request(SERVICE, 1, (), True))
            await fleet.close()

        run_virtual(main)
