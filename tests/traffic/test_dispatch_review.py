"""Tests of faults that a review of the dispatch ledger found, each by what it did to requests."""

import bisect
import collections
import random
import typing as t
import unittest

from parameterized import parameterized

from coralfall.ids import EntryId, TargetId
from coralfall.placement import dispatch
from coralfall.placement.admission import Admission
from coralfall.placement.dispatch import AttemptOutcome, DispatchAnswer, ReportedLoad, Verdict
from coralfall.placement.dispatch_ledger import DispatchLedger
from coralfall.placement.target_reports import TargetReport
from coralfall.placement.targets import TargetRegistry
from coralfall.process.clock import ManualClock
from tests.traffic.makers import PEDIDOS, make_target

OWN, OTHER = EntryId("e1"), EntryId("e2")
ROUTE = dispatch.RouteCode(1)
#: Fields of an ask that a test does not change.
ASK: t.Dict[str, t.Any] = {
    **{"target_id": "t1", "object_code": 7, "route_code": ROUTE, "level": 0, "tenant_code": 0},
    **{"within_ms": 1000, "start_within_ms": 1000, "expires_ms": 3000},
}


class DispatchReviewTest(unittest.TestCase):
    """A ledger with one target of four slots, and no estimates."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.targets = TargetRegistry(self.clock, 3.0)
        self.targets.update({TargetId("t1"): make_target()})
        self.admission = Admission()
        self.ledger = DispatchLedger(OWN, self.targets, self.admission, self.clock)

    def ask(self, number: int, **changes: t.Any) -> DispatchAnswer:
        return self.ledger.ask(OTHER, dispatch.DispatchAsk(number, **{**ASK, **changes}))

    def release(self, number: int, *fields: t.Any) -> None:
        """Releases an assignment with an outcome, a duration in milliseconds, and a load."""
        fields += (AttemptOutcome.ANSWERED, 200, None)[len(fields) :]
        self.ledger.release(OTHER, dispatch.DispatchRelease(number, *fields))

    @parameterized.expand(
        [
            ("same lifetime", {}, Verdict.ASSIGNED),
            ("other address", {"address": "10.0.0.9:80"}, Verdict.UNAVAILABLE),
            ("other start", {"born": 1}, Verdict.UNAVAILABLE),
        ]
    )
    def test_stale_row(self, _: str, changes: t.Any, verdict: Verdict) -> None:
        """Guards against a target that stays withdrawn after a 421 from its previous address."""
        code = dispatch.lifetime_code_of(make_target(**changes))
        self.assertIs(verdict, self.ask(1, lifetime_code=code).verdict)
        if verdict is Verdict.UNAVAILABLE:
            self.release(1, AttemptOutcome.MISDIRECTED)
            self.assertIs(Verdict.ASSIGNED, self.ask(2).verdict)

    @parameterized.expand(
        [
            (AttemptOutcome.UNREACHABLE, 0.3, False),
            (AttemptOutcome.TIMED_OUT, 0.3, False),
            (AttemptOutcome.BROKEN, 0.3, False),
            (AttemptOutcome.CONNECTION_REFUSED, 0.3, True),
        ]
    )
    def test_requests_that_fail_together(
        self, outcome: AttemptOutcome, ejected_s: float, is_cold: bool
    ) -> None:
        """Guards against long ejections, and cold treatment, by one failure of many requests."""
        state = self.targets.by_id[TargetId("t1")]
        for number in range(1, 7):
            self.assertIs(Verdict.ASSIGNED, self.ask(number).verdict)
        for number in range(1, 6):
            self.release(number, outcome, 5)
        self.assertEqual((ejected_s, is_cold), (round(state.ejected_s(), 3), state.is_cold()))
        self.clock.advance(0.4)
        self.release(6, outcome, 5)
        self.assertEqual(0, state.ejected_s(), "sent before the ejection")
        self.ask(7)
        self.release(7, outcome, 5)
        self.assertEqual(0.6, round(state.ejected_s(), 3), "the request that tried it")

    @parameterized.expand([("all usable", 0, 1, 12), ("a third ejected", 1, 1, 8)])
    def test_service_load(self, _: str, ejected: int, busy: int, slots: int) -> None:
        """Guards against a region that seems idle, and keeps its objects, as its targets fail."""
        ids = [TargetId(f"t{number}") for number in range(1, 4)]
        self.targets.update({one: make_target(target_id=one) for one in ids})
        for number, target_id in enumerate(ids):
            self.ask(number, target_id=target_id)
            outcome = AttemptOutcome.UNREACHABLE if number < ejected else AttemptOutcome.ANSWERED
            if number != 1:
                self.release(number, outcome)
        self.clock.advance(0.1)
        loads = self.ledger.service_loads()
        self.assertEqual([(busy, slots)], [(load.busy, load.slots) for load in loads])

    @parameterized.expand([(2, 8), (12, 48)])
    def test_slots_that_change(self, slots: int, max_queued: int) -> None:
        """Guards against a queue that is planned by the slots of an earlier row."""
        self.ask(0)
        self.targets.update({TargetId("t1"): make_target(slots=slots)})
        for number in range(1, 100):
            self.ask(number, may_queue=True)
        self.assertEqual(max_queued, self.ledger.queued)

    @parameterized.expand([(40,), (120,), (250,)])
    def test_work_at_another_pace(self, pace: int) -> None:
        """Guards against targets that never get an estimate, as their pace is never usual."""
        for number in range(20):
            self.clock.advance(0.5)
            work_ms = 2 * pace if self.ask(number).cached else 6 * pace
            load = ReportedLoad(1, 0, pace)
            self.release(number, AttemptOutcome.ANSWERED, work_ms, load)
        for cached, work_s in ((True, 0.2), (False, 0.6)):
            self.assertAlmostEqual(work_s, self.admission.work_s(PEDIDOS, ROUTE, cached), 2)

    @parameterized.expand([(0.2, 0.5), (0.5, 0.2)])
    def test_work_in_saturation(self, before_s: float, work_s: float) -> None:
        """Guards against estimates that stay wrong while a target always has a queue."""
        self.admission.record_work(PEDIDOS, ROUTE, True, before_s)
        free_at = [self.clock.now] * 4
        running: t.List[t.Tuple[float, int, float]] = []

        def start(answer: DispatchAnswer) -> None:
            if answer.verdict is Verdict.ASSIGNED:
                end = max(self.clock.now, free_at.pop(0)) + work_s
                bisect.insort(free_at, end)
                bisect.insort(running, (end, answer.number, self.clock.now))

        self.ledger.on_notice = lambda entry_id, answer: start(answer)
        for number in range(600):
            self.clock.advance(0.02)
            # The first ones, without a queue, are of another route.
            route_code = 9 if number < 5 else ROUTE
            start(self.ask(number, object_code=0, may_queue=True, route_code=route_code))
            while running and running[0][0] <= self.clock.now:
                _, ended, since = running.pop(0)
                self.release(ended, AttemptOutcome.ANSWERED, round((self.clock.now - since) * 1000))
        estimate_s = self.admission.work_s(PEDIDOS, ROUTE, True)
        self.assertTrue(0.8 * work_s < estimate_s < 1.25 * work_s, estimate_s)

    def test_requests_for_an_object_that_is_being_loaded(self) -> None:
        """Guards against a model that shrinks, as such requests count as missing the cache."""
        for cached, work_s in ((True, 0.2), (False, 0.6)):
            self.admission.record_work(PEDIDOS, ROUTE, cached, work_s)
        for code in range(10):
            numbers = range(3 * code, 3 * code + 3)
            for number in numbers:
                self.ask(number, object_code=code)
            self.clock.advance(0.6)
            for number in numbers:
                self.release(number, AttemptOutcome.ANSWERED, 600)
        row = self.ledger._rows[TargetId("t1")]
        self.assertEqual(128, row.cache.cached_objects_max)
        self.assertEqual(0.2, self.admission.work_s(PEDIDOS, ROUTE, True))

    def test_cooldown_of_the_dispatcher(self) -> None:
        """Guards against a target that no entry uses, as it rejected one of the dispatcher."""
        state = self.targets.by_id[TargetId("t1")]
        self.targets.reports.record(state, TargetReport(cooldown_s=30.0), self.clock.now)
        self.assertIs(Verdict.ASSIGNED, self.ask(1).verdict)

    @parameterized.expand([("new dispatcher", 80, 80), ("small cache", 12, 0)])
    def test_cache_model_approaches_the_cache(self, _: str, size: int, cached_before: int) -> None:
        """Guards against a model that stays at its least size, as all requests seem uncached."""
        randomness = random.Random(1)
        cache = collections.OrderedDict.fromkeys(range(cached_before))
        for number in range(1, 1500):
            self.clock.advance(0.15)
            code = int(randomness.expovariate(1 / 25))
            self.assertIs(Verdict.ASSIGNED, self.ask(number, object_code=code).verdict)
            work_ms = (190 if code in cache else 600) * randomness.uniform(0.8, 1.25)
            cache[code] = None
            cache.move_to_end(code)
            while len(cache) > size:
                cache.popitem(last=False)
            self.release(number, AttemptOutcome.ANSWERED, round(work_ms))
        estimate = self.ledger._rows[TargetId("t1")].cache.cached_objects_max
        self.assertTrue(size / 2 <= estimate <= 2 * size, estimate)

    def test_a_lost_release_withdraws_no_idle_target(self) -> None:
        """Guards against a target that all entries avoid because the end of one request is lost."""
        self.ask(1, expires_ms=10_500)
        verdicts = []
        for number in range(2, 102):
            self.clock.advance(0.1)
            verdicts.append(self.ask(number).verdict)
            if verdicts[-1] is Verdict.ASSIGNED and Verdict.UNAVAILABLE in verdicts:
                self.release(number)
                self.assertIs(Verdict.ASSIGNED, self.ask(number + 1000).verdict)
                self.assertLessEqual(verdicts.count(Verdict.UNAVAILABLE), 11)
                return
            self.ledger.cancel(OTHER, dispatch.AskNumber(number))
        self.fail(f"no request tried the target: {verdicts}")
