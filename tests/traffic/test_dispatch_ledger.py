"""Tests of the dispatch ledger: verdicts, what releases teach it, and what ends assignments."""

import collections
import itertools
import random
import typing as t
import unittest
import unittest.mock

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from coralfall.ids import EntryId, TargetId
from coralfall.placement import dispatch
from coralfall.placement.admission import Admission
from coralfall.placement.cache_model import CacheModel
from coralfall.placement.dispatch import AttemptOutcome, DispatchAnswer, ReportedLoad, Verdict
from coralfall.placement.dispatch_ledger import DispatchLedger
from coralfall.placement.target_reports import TargetReport
from coralfall.placement.targets import TargetRegistry
from coralfall.process.clock import ManualClock
from coralfall.traffic.telemetry import Telemetry, update_gauges
from tests.traffic.makers import PEDIDOS, make_target

OWN, OTHER, THIRD = EntryId("e1"), EntryId("e2"), EntryId("e3")
ROUTE = dispatch.RouteCode(1)
#: Requests that a target of four slots gets at most.
LIMIT = 7
#: Fields of an ask that a test does not change.
ASK: t.Dict[str, t.Any] = {
    **{"target_id": "t1", "object_code": 7, "route_code": ROUTE, "level": 0, "tenant_code": 0},
    **{"within_ms": 1000, "start_within_ms": 1000, "expires_ms": 3000},
}
#: A step of a test, given the test.
Step = t.Callable[[t.Any], t.Any]
QUEUE, SECOND = {"may_queue": True}, {"primary": False}
ANSWERED, REJECTED = AttemptOutcome.ANSWERED, AttemptOutcome.REJECTED
ASSIGNED, BUSY, UNAVAILABLE = Verdict.ASSIGNED, Verdict.BUSY, Verdict.UNAVAILABLE
REFUSED = Verdict.REFUSED


class LedgerTestCase(unittest.TestCase):
    """A ledger with one target of four slots; a cached request takes 0.2 s, others 0.6 s."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.targets = TargetRegistry(self.clock, 3.0)
        self.targets.update({TargetId("t1"): make_target()})
        self.state = self.targets.by_id[TargetId("t1")]
        self.admission = Admission()
        self.admission.record_work(PEDIDOS, ROUTE, True, 0.2)
        self.admission.record_work(PEDIDOS, ROUTE, False, 0.6)
        self.ledger = DispatchLedger(OWN, self.targets, self.admission, self.clock)
        self.notices: t.Dict[t.Tuple[EntryId, int], DispatchAnswer] = {}
        self.ledger.on_notice = self._note

    def _note(self, entry_id: EntryId, answer: DispatchAnswer) -> None:
        self.assertNotIn((entry_id, answer.number), self.notices, "a second notice")
        self.notices[entry_id, answer.number] = answer

    def ask(self, value: int, entry_id: EntryId = OTHER, **changes: t.Any) -> DispatchAnswer:
        return self.ledger.ask(entry_id, dispatch.DispatchAsk(value, **{**ASK, **changes}))

    def fill(self, count: int, entry_id: EntryId = OTHER) -> None:
        """Gets slots assigned for objects of their own, numbered from 1."""
        for value in range(1, count + 1):
            fields = {"object_code": 1000 + value, "within_ms": 1100}
            self.assertIs(ASSIGNED, self.ask(value, entry_id, **fields).verdict)

    def release(self, value: int, *fields: t.Any, entry_id: EntryId = OTHER) -> None:
        """Releases an assignment with an outcome, a duration in milliseconds, and a load."""
        fields += (ANSWERED, 200, None)[len(fields) :]
        self.ledger.release(entry_id, dispatch.DispatchRelease(value, *fields))


class VerdictTest(LedgerTestCase):
    """Guards against queues at a target while others are idle, and against idle slots."""

    @parameterized.expand(
        [
            ("a free slot", 0, {}, ASSIGNED, 600),
            ("the last free slot, too late", 3, {"within_ms": 1}, ASSIGNED, 600),
            ("the excess", 4, {}, ASSIGNED, 750),
            # To load the object takes as long elsewhere: its wait and cached work are judged.
            ("the excess, in time", 4, {"within_ms": 350}, ASSIGNED, 750),
            ("the excess, too late", 4, {"within_ms": 349}, BUSY, 750),
            ("the last of the excess", 6, {"within_ms": 650}, ASSIGNED, 1050),
            ("the last of the excess, too late", 6, {"within_ms": 649}, BUSY, 1050),
            ("cached", 4, {"object_code": 1001, "within_ms": 350}, ASSIGNED, 350),
            ("cached, too late", 4, {"object_code": 1001, "within_ms": 349}, BUSY, 350),
            ("beyond the excess", 7, {"within_ms": 9000}, BUSY, 1200),
            # Others wait 400 ms longer while the object is loaded once more.
            ("not cached, another's object", 1, SECOND, ASSIGNED, 1000),
            ("the same, too late", 0, {**SECOND, "within_ms": 999}, BUSY, 1000),
            ("the same, under load", 2, {**SECOND, "within_ms": 9000}, BUSY, 1240),
            ("the same, under more load", 3, {**SECOND, "within_ms": 9000}, BUSY, 1390),
            ("cached, another's", 3, {**SECOND, "object_code": 1001}, ASSIGNED, 200),
            ("its last ask", 2, {**SECOND, **QUEUE}, ASSIGNED, 1000),
            ("its last ask, under load", 3, {**SECOND, **QUEUE}, Verdict.QUEUED, 1180),
            ("its last ask, no slot", 4, {**SECOND, **QUEUE}, Verdict.QUEUED, 1330),
            ("need not wait", 4, {**QUEUE, "within_ms": 1}, ASSIGNED, 750),
            ("need not wait for the excess", 6, {**QUEUE, "within_ms": 1}, ASSIGNED, 1050),
            ("may wait", 7, QUEUE, Verdict.QUEUED, 1200),
            ("can't wait", 7, {**QUEUE, "start_within_ms": 599}, REFUSED, 1200),
            ("can't wait for the excess", 5, {**QUEUE, "start_within_ms": 299}, REFUSED, 900),
            ("no row of it", 0, {"target_id": "t9"}, UNAVAILABLE, 1000),
        ]
    )
    def test_verdict(self, _: str, load: int, changes: t.Any, verdict: Verdict, ms: int) -> None:
        self.fill(load)
        answer = self.ask(99, **changes)
        self.assertEqual((verdict, ms), (answer.verdict, answer.expected_ms))

    @parameterized.expand([(1, 2), (2, 4), (3, 5), (4, 7), (6, 10)])
    def test_requests_that_a_target_gets(self, slots: int, most: int) -> None:
        """Guards against slots that are idle until the next message, and against long queues."""
        self.targets.update({TargetId("t1"): make_target(slots=slots)})
        verdicts = [self.ask(value, within_ms=99_000).verdict for value in range(1, 13)]
        self.assertEqual([ASSIGNED] * most + [BUSY] * (12 - most), verdicts)

    def test_a_cached_object_takes_less_and_newcomers_do_not_overtake(self) -> None:
        self.fill(1)
        answer = self.ask(9, THIRD, object_code=1001, **SECOND)
        self.assertEqual((200, True, 1), (answer.expected_ms, answer.cached, answer.load))
        for value in range(11, 18):
            self.ask(value, **QUEUE)
        self.release(1)
        # Its object takes 200 ms, and three requests are in its way; the other queued one is not.
        self.assertEqual(DispatchAnswer(16, ASSIGNED, 400, True, 6), self.notices[OTHER, 16])
        self.assertIs(BUSY, self.ask(18).verdict)

    @parameterized.expand([("tick", lambda f: f.ledger.tick()), ("ask", lambda f: f.ask(9))])
    def test_unknown_load_is_counted_and_decays(self, _name: str, act: Step) -> None:
        self.fill(2)
        self.release(1, ANSWERED, 200, ReportedLoad(4, 5))
        # Of the nine, two were assigned here, and one of these has ended.
        self.assertIs(Verdict.QUEUED, self.ask(8, start_within_ms=2000, **QUEUE).verdict)
        self.clock.advance(0.5)
        answer, notice = act(self), self.notices[OTHER, 8]
        self.assertEqual((ASSIGNED, 7), (notice.verdict, notice.load))
        self.assertIs(BUSY, answer.verdict if answer else BUSY)

    @parameterized.expand(
        [
            ("own", lambda f: f.targets.reports.record(f.state, TargetReport(pace=250), 0.0)),
            ("other's", lambda f: (f.fill(1), f.release(1, ANSWERED, 9, ReportedLoad(1, 0, 250)))),
        ]
    )
    def test_a_slow_moment_is_no_evidence(self, _name: str, report: Step) -> None:
        report(self)
        self.assertEqual(1500, self.ask(8, within_ms=2000, object_code=1).expected_ms)
        self.clock.advance(0.3)
        self.assertEqual(1050, self.ask(9, within_ms=2000, object_code=2).expected_ms)
        self.clock.advance(1.1)
        work_s = self.admission.work_s(PEDIDOS, ROUTE, False)
        self.assertIsNot(UNAVAILABLE, self.ask(10).verdict)
        self.release(8, ANSWERED, 1400)
        self.assertEqual(work_s, self.admission.work_s(PEDIDOS, ROUTE, False))

    def test_burst_of_twice_the_room(self) -> None:
        """Nobody waits in vain, starts late or gets more slots than there are."""
        asked, ends, verdicts = {}, {}, {}
        for step in range(1, 101):
            self.clock.advance(0.2 / LIMIT / 2)
            self.ledger.tick()
            for value in [value for value, at in ends.items() if at <= self.clock.now]:
                self.release(value)
                ends[value] = float("inf")
            asked[step] = self.clock.now
            verdicts[step] = self.ask(step, level=step % 2, object_code=step, **QUEUE).verdict
            verdicts.update({key[1]: notice.verdict for key, notice in self.notices.items()})
            for value, verdict in verdicts.items():
                if verdict is ASSIGNED and value not in ends:
                    ends[value] = self.clock.now + 0.2
                if verdict is Verdict.QUEUED or ends.get(value) == self.clock.now + 0.2:
                    self.assertLess(self.clock.now - asked[value], 1.03)
            self.assertLessEqual(self.ledger.assigned, LIMIT)
        counts = collections.Counter(verdicts.values())
        self.assertTrue(counts[Verdict.REFUSED] > 20 and counts[ASSIGNED] > 40, counts)


class EvidenceTest(LedgerTestCase):
    """Guards against each entry finding a bad target alone, and against seeing load in faults.

    The forwarder records the evidence of the dispatcher's own requests, so the ledger must not.
    """

    @parameterized.expand(
        [
            (ANSWERED, 1, None, ASSIGNED, ASSIGNED),
            (AttemptOutcome.CANCELLED, 5, None, ASSIGNED, ASSIGNED),
            (AttemptOutcome.BROKEN, 2, None, ASSIGNED, ASSIGNED),
            (AttemptOutcome.BROKEN, 3, None, UNAVAILABLE, ASSIGNED),
            (AttemptOutcome.TIMED_OUT, 1, None, UNAVAILABLE, ASSIGNED),
            (AttemptOutcome.CONNECTION_REFUSED, 1, None, UNAVAILABLE, ASSIGNED),
            (AttemptOutcome.MISDIRECTED, 1, None, UNAVAILABLE, ASSIGNED),
            (REJECTED, 1, ReportedLoad(1, 0), ASSIGNED, ASSIGNED),
            (REJECTED, 1, ReportedLoad(4, 4), BUSY, ASSIGNED),
            (REJECTED, 1, None, BUSY, BUSY),
        ]
    )
    def test_outcome(
        self, outcome: AttemptOutcome, times: int, load: t.Any, of_other: Verdict, of_own: Verdict
    ) -> None:
        for entry_id, verdict in ((OWN, of_own), (OTHER, of_other)):
            self.setUp()
            self.fill(LIMIT, entry_id)
            for value in range(1, times + 1):
                self.clock.advance(0.01)
                self.release(value, outcome, 5, load, entry_id=entry_id)
            self.assertIs(verdict, self.ask(99, within_ms=9000).verdict, entry_id)
        self.assertEqual(outcome is AttemptOutcome.MISDIRECTED, self.state.has_ended)
        self.assertEqual(outcome is AttemptOutcome.CONNECTION_REFUSED, self.state.is_cold())

    def test_one_request_at_a_time_tries_a_target_after_an_ejection(self) -> None:
        self.fill(1)
        with unittest.mock.patch("coralfall.process.log.info") as info:
            self.release(1, AttemptOutcome.UNREACHABLE)
            self.clock.advance(0.29)
            self.assertEqual(DispatchAnswer(2, UNAVAILABLE, 50), self.ask(2))
            self.clock.advance(0.02)
            self.assertIs(ASSIGNED, self.ask(2).verdict)
            self.assertEqual(DispatchAnswer(3, UNAVAILABLE, 50), self.ask(3))
            self.release(2)
            self.assertIs(ASSIGNED, self.ask(4).verdict)
        events = [call.args[0].partition("-")[2] for call in info.call_args_list]
        self.assertEqual(["", "unavailable", "available"], events)

    @parameterized.expand([(AttemptOutcome.MISDIRECTED, 1000), (AttemptOutcome.UNREACHABLE, 300)])
    def test_who_waits_for_a_target_that_fails_is_told_at_once(
        self, outcome: t.Any, ms: int
    ) -> None:
        self.fill(LIMIT)
        self.ask(9, THIRD, **QUEUE)
        self.release(1, outcome)
        self.assertEqual(DispatchAnswer(9, UNAVAILABLE, ms), self.notices[THIRD, 9])

    def test_a_target_that_falls_silent_is_avoided_by_all_entries(self) -> None:
        self.fill(LIMIT)
        self.ask(9, THIRD, start_within_ms=5000, **QUEUE)
        self.clock.advance(1.9)
        self.ledger.tick()
        verdicts = (self.notices[THIRD, 9].verdict, self.ask(10).verdict)
        self.assertEqual((UNAVAILABLE, UNAVAILABLE), verdicts)

    def test_one_request_a_second_tries_a_silent_target(self) -> None:
        """Guards against a target that hangs and gets all requests, and one that is never tried."""
        for value in (1, 2):
            self.ask(value, expires_ms=60_000)
        self.clock.advance(1.3)
        tried_at = []
        for value in range(3, 53):
            if self.ask(value, expires_ms=60_000).verdict is ASSIGNED:
                tried_at.append(self.clock.now)
            self.clock.advance(0.1)
        self.assertIn(len(tried_at), (4, 5))
        pauses = [after - before for before, after in itertools.pairwise(tried_at)]
        self.assertTrue(all(0.99 < pause < 1.11 for pause in pauses), pauses)

    @parameterized.expand(
        [
            # requests, seconds without an answer, changes of the asks, verdict
            ("one that takes long", 1, 3.5, {}, ASSIGNED),
            ("one by three times", 1, 3.7, {}, UNAVAILABLE),
            ("two, in time", 2, 1.1, {}, ASSIGNED),
            ("two, overdue", 2, 1.3, {}, UNAVAILABLE),
            ("two quick ones, for a moment", 2, 0.7, {"object_code": 1001}, ASSIGNED),
            ("two quick ones, overdue", 2, 0.9, {"object_code": 1001}, UNAVAILABLE),
            ("unknown work", 2, 1.9, {"route_code": dispatch.RouteCode(2)}, ASSIGNED),
            ("unknown work, overdue", 2, 2.1, {"route_code": dispatch.RouteCode(2)}, UNAVAILABLE),
        ]
    )
    def test_silence(
        self, _name: str, count: int, seconds: float, changes: t.Any, verdict: Verdict
    ) -> None:
        """Guards against withdrawing a target that is well from all entries, and against hangs."""
        self.admission.record_duration(PEDIDOS, 0.01)
        self.fill(1)
        self.release(1, ANSWERED, 600)
        self.clock.advance(0.01)
        for value in range(2, count + 2):
            fields = {"object_code": 2000 + value, "expires_ms": 9000, **changes}
            self.assertIs(ASSIGNED, self.ask(value, **fields).verdict)
        self.clock.advance(seconds)
        self.assertIs(verdict, self.ask(99).verdict)
        self.state.record_success()
        self.assertIs(ASSIGNED, self.ask(98).verdict)

    @parameterized.expand(
        [("small", (20,), 8, 45), ("as assumed", (999,), 128, 128), ("grown", (20, 999), 99, 128)]
    )
    def test_size_of_the_cache(self, _name: str, sizes: t.Any, low: int, high: int) -> None:
        """It is found although 3% of the requests take seven times as long."""
        rng, model, cached, found = random.Random(5), CacheModel(), [], []
        for size in [size for size in sizes for _ in range(3000)]:
            code = min(rng.randrange(100), rng.randrange(100))
            seconds = (0.2 if code in cached else 0.6) * rng.uniform(0.9, 1.1)
            if code in model:
                model.record_expected(seconds * (7 if rng.random() < 0.03 else 1), 0.6)
            model.use(code)
            cached = [*[other for other in cached if other != code], code][-size:]
            found.append(model.cached_objects_max)
        self.assertTrue(low <= min(found[-500:]) and max(found[-500:]) <= high, found[-500:])

    @parameterized.expand(
        [("idle", 0, 100, True), ("load", 4, 100, False), ("pace", 0, 200, False)]
    )
    def test_misses_in_usual_requests_lower(self, _: str, load: int, pace: int, low: bool) -> None:
        self.fill(1)
        self.release(1, ANSWERED, 600, ReportedLoad(0, 0, pace))
        self.fill(load)
        self.assertTrue(self.ask(9, object_code=1001, within_ms=9000).cached)
        self.release(9, ANSWERED, 600)
        self.assertEqual(low, self.ledger._rows["t1"].cache.cached_objects_max < 128)

    def test_an_object_of_a_request_that_did_not_run_is_not_cached(self) -> None:
        self.ask(1)
        self.release(1, AttemptOutcome.CANCELLED)
        self.assertEqual((False, True), (self.ask(2).cached, self.ask(3).cached))

    def test_estimates_of_work_withstand_long_requests_and_a_wrong_start(self) -> None:
        admission, rng = Admission(), random.Random(1)
        admission.record_duration(PEDIDOS, 0.3)
        for seconds in (2.1, 0.2, 0.2):
            admission.record_work(PEDIDOS, ROUTE, True, seconds)
        self.assertLess(admission.work_s(PEDIDOS, ROUTE, True), 0.4)
        for _ in range(400):
            seconds = 0.2 * rng.uniform(0.9, 1.1) * (7 if rng.random() < 0.03 else 1)
            admission.record_work(PEDIDOS, ROUTE, True, seconds)
            self.assertAlmostEqual(0.2, admission.work_s(PEDIDOS, ROUTE, True), delta=0.02)
        self.assertEqual(0.0, admission.work_s(PEDIDOS, dispatch.RouteCode(2), True))
        # Estimates that creep up from quick answers make predictions too short for minutes.
        admission = Admission()
        for seconds in [0.006] * 100 + [0.2] * 8:
            admission.record_work(PEDIDOS, ROUTE, True, seconds)
        self.assertEqual(0.2, admission.work_s(PEDIDOS, ROUTE, True))

    @parameterized.expand([("free slot", 4, 0.75), ("queue", 5, 0.6)])
    def test_time_in_a_queue_is_no_work(self, _name: str, value: int, work_s: float) -> None:
        """Guards against estimates that rise with the load, since waits are only predicted."""
        self.fill(5)
        self.release(value, ANSWERED, 900)
        self.assertEqual(work_s, self.admission.work_s(PEDIDOS, ROUTE, False))


class EndTest(LedgerTestCase):
    """Guards against slots that stay taken, and against asks that wait for a lost answer."""

    @parameterized.expand(
        [
            ("release", lambda f: f.release(1), ASSIGNED, 1),
            ("release twice", lambda f: (f.release(1), f.release(1)), ASSIGNED, 1),
            ("release of another number", lambda f: f.release(77), None, 0),
            ("release by another entry", lambda f: f.release(1, entry_id=THIRD), None, 0),
            ("crossing cancel", lambda f: f.ledger.cancel(OTHER, 1), ASSIGNED, 1),
            ("entry's end", lambda f: f.ledger.drop_entry(OTHER), ASSIGNED, LIMIT),
            ("its own end", lambda f: f.ledger.drop_entry(THIRD), None, 0),
            ("its cancel", lambda f: f.ledger.cancel(THIRD, 9), None, 0),
            ("target's end", lambda f: f.targets.update({}), UNAVAILABLE, 0),
            ("replacement", lambda f: f.targets.mark_replaced(f.state), UNAVAILABLE, 0),
            ("closing", lambda f: f.ledger.close(), Verdict.NOT_DISPATCHER, 0),
            ("no use any more", lambda f: f.clock.advance(0.1), Verdict.REFUSED, 0),
        ]
    )
    def test_what_ends(self, name: str, end: Step, verdict: t.Any, ended: int) -> None:
        self.fill(LIMIT)
        self.ask(9, THIRD, start_within_ms=610, **QUEUE)
        end(self)
        self.ledger.tick()
        self.assertEqual([verdict] if verdict else [], [n.verdict for n in self.notices.values()])
        self.assertEqual(verdict is None and name[:3] != "its", self.ledger.queued > 0)
        taken = LIMIT - ended + (verdict is ASSIGNED)
        self.assertEqual((taken, taken), (self.ledger.assigned, self.state.in_flight))
        self.clock.advance(10.0)
        self.ledger.tick()
        self.assertEqual((0, 0), (self.ledger.queued, self.state.in_flight))

    def test_an_expired_assignment_is_counted_and_its_slot_is_used(self) -> None:
        for value in range(1, LIMIT + 1):
            self.ask(value, expires_ms=400 * value)
        self.ask(9, THIRD, **QUEUE)
        self.clock.advance(0.41)
        self.ledger.tick()
        self.assertIs(ASSIGNED, self.notices[THIRD, 9].verdict)
        self.assertEqual(1, self.ledger.expired_count)

    def test_what_telemetry_and_regions_read(self) -> None:
        self.fill(LIMIT, OWN)
        self.ask(9, **QUEUE)
        self.assertEqual(
            (dispatch.ServiceLoad(PEDIDOS, LIMIT + 1, 4),), self.ledger.service_loads()
        )
        self.assertEqual(LIMIT, self.ledger.asks_by_verdict[ASSIGNED])
        self.assertIs(self.state, self.ledger.reservation_of(OWN, 1).state)
        gauges = self.gauges()
        self.assertEqual({"targets": 1, "assigned": LIMIT, "queued": 1, "expired": 0}, gauges)
        self.clock.advance(11.0)
        self.assertEqual((), self.ledger.service_loads())
        self.ledger.tick()
        gauges = self.gauges()
        self.assertEqual({"targets": 0, "assigned": 0, "queued": 0, "expired": LIMIT}, gauges)

    def gauges(self) -> t.Dict[str, float]:
        """The gauges of the ledger, as operators read them."""
        telemetry = Telemetry()
        update_gauges(telemetry, unittest.mock.MagicMock(**{"dispatch.ledger": self.ledger}))
        lines = telemetry.render().decode().splitlines()
        start = "coralfall_dispatch_"
        pairs = [line[len(start) :].split() for line in lines if line.startswith(start)]
        return {name: float(value) for name, value in pairs if not name.startswith("ask_")}

    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 30)), max_size=120))
    def test_no_slot_or_ask_is_lost(self, steps: t.List[t.Tuple[int, int]]) -> None:
        self.setUp()
        for value, (step, choice) in enumerate(steps):
            self.clock.advance(0.02)
            self.ask(value, (OWN, OTHER, THIRD)[choice % 3], may_queue=step > 1, level=choice % 4)
            for entry_id, held in list(self.ledger._assignments)[: choice % 3]:
                self.release(held, list(AttemptOutcome)[choice % 8], 9, entry_id=entry_id)
            self.assertEqual(min(LIMIT, self.ledger.assigned), self.state.in_flight)
            if step > 3:
                self.ledger.tick()
        self.clock.advance(10.0)
        self.ledger.tick()
        self.assertEqual((0, 0), (self.ledger.assigned + self.ledger.queued, self.state.in_flight))
