"""Service levels: what burns the error budget, over which window, and sums over entries."""

import random
import typing as t
import unittest
from unittest import mock

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from coralfall.bundles.bundle import Objective
from coralfall.exceptions import StatusError
from coralfall.forwarding.latency import PERIOD_S, LatencyRecorder, LatencyTotal
from coralfall.ids import Outcome, ServiceId
from coralfall.process.clock import ManualClock
from coralfall.process.metrics import Metrics
from coralfall.reporting.burn import BurnReport, WindowCount, merge_burns
from coralfall.reporting.service_levels import ServiceLevels
from coralfall.settings import MetricsSettings
from tests.operators import COSECHA, make_bundle

CATALOGO = ServiceId("catalogo")
BUNDLE = make_bundle()
RULES = BUNDLE.services[CATALOGO]
#: Allows one bad request in ten, and half a second.
OBJECTIVE = Objective(availability=0.9, latency_ms=500)


class LevelsCase(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(1000.0)
        self.metrics = mock.Mock(spec=Metrics)
        self.levels = ServiceLevels(self.clock, self.metrics)
        self.rules = msgspec.structs.replace(RULES, objective=OBJECTIVE)
        self.bundle = msgspec.structs.replace(BUNDLE, services={CATALOGO: self.rules})

    def end(self, outcome: Outcome, well: bool = True, seconds: float = 0.01) -> None:
        self.levels.ended(COSECHA, CATALOGO, self.rules, outcome, well, seconds)

    def report(self) -> BurnReport:
        return self.levels.reports({COSECHA: self.bundle})[COSECHA][CATALOGO]


class BurnTest(LevelsCase):
    @parameterized.expand(
        [
            ("answered", Outcome.DONE, True, 0.5, (1, 0), "done", True),
            ("too late", Outcome.DONE, True, 0.501, (1, 1), "done", True),
            ("the target's error", Outcome.DONE, False, 0.01, (1, 1), "done", True),
            ("unknown, as 504", Outcome.UNKNOWN, False, 0.01, (1, 1), "unknown", True),
            ("unknown, as 409", Outcome.UNKNOWN, True, 0.01, (1, 1), "unknown", True),
            ("refused for want of room", Outcome.NOT_RUN, False, 0.01, (1, 1), "not-run", False),
            ("the caller's fault", Outcome.NOT_RUN, True, 0.01, (0, 0), "faulty", False),
        ]
    )
    def test_what_burns(
        self,
        _name: str,
        outcome: Outcome,
        well: bool,
        seconds: float,
        expected: t.Tuple[int, int],
        counted_as: str,
        timed: bool,
    ) -> None:
        self.end(outcome, well, seconds)
        report = self.report()
        self.assertEqual(WindowCount(*expected), report.counts_by_window["5m"])
        self.assertEqual(1, self.levels.outcomes()[counted_as])
        self.assertEqual(1, sum(self.levels.outcomes().values()))
        self.assertEqual(timed, report.p50_s is not None)
        self.metrics.count.assert_called_once_with(f"requests.cosecha.catalogo.{counted_as}")
        self.assertEqual(timed, self.metrics.timing.called)

    @parameterized.expand(
        [
            ("now", 0, (2.5, 2.5, 2.5)),
            ("5m passed", 310, (0.0, 2.5, 2.5)),
            ("1h passed", 3610, (0.0, 0.0, 2.5)),
            ("6h passed", 21610, (0.0, 0.0, 0.0)),
            ("ages passed", 10**7, (0.0, 0.0, 0.0)),
        ]
    )
    def test_windows(self, _name: str, passed: int, burns: t.Tuple[float, ...]) -> None:
        for well in (True, True, True, False):
            self.end(Outcome.DONE, well)
        self.clock.advance(passed)
        report = self.report()
        for found, expected in zip(report.burn_by_window.values(), burns, strict=True):
            self.assertAlmostEqual(expected, found)
        expected_counts = [WindowCount(4, 1) if burn else WindowCount() for burn in burns]
        self.assertEqual(expected_counts, list(report.counts_by_window.values()))
        self.assertAlmostEqual(1.0 - burns[-1], report.budget_left)

    def test_a_service_that_nobody_asked_has_its_whole_budget(self) -> None:
        report = self.report()
        self.assertEqual((1.0, None), (report.budget_left, report.p50_s))
        self.assertEqual(0, report.counts_by_window["6h"].total)


class LatencyTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=30)
    @given(
        st.lists(st.lists(st.floats(1e-6, 100.0), min_size=1, max_size=40), min_size=1, max_size=4),
        st.sampled_from([50.0, 99.0, 99.9]),
    )
    def test_sum_over_entries_is_as_if_one_had_served_all(
        self, latencies_by_entry: t.List[t.List[float]], percentile: float
    ) -> None:
        clock = ManualClock()
        one = LatencyRecorder(clock)
        total, whole = LatencyTotal(), LatencyTotal()
        all_latencies: t.List[float] = []
        for latencies in latencies_by_entry:
            recorder = LatencyRecorder(clock)
            for latency in latencies:
                recorder.record(latency)
                one.record(latency)
            total.add(recorder.encode())
            all_latencies += latencies
        whole.add(one.encode())
        self.assertEqual(whole.count, total.count)
        self.assertEqual(whole.percentile_s(percentile), total.percentile_s(percentile))
        self._check_exact(all_latencies, percentile, total)

    def _check_exact(
        self, latencies: t.List[float], percentile: float, total: LatencyTotal
    ) -> None:
        position = max(1, int(percentile / 100 * len(latencies) + 0.5))
        exact = sorted(latencies)[position - 1]
        found = total.percentile_s(percentile)
        assert found is not None
        self.assertLessEqual(abs(found - exact), exact * 0.01 + 2e-6)

    def test_a_mean_of_percentiles_would_be_wrong(self) -> None:
        clock = ManualClock()
        total = LatencyTotal()
        for latency, count in ((0.010, 99), (1.0, 1)):
            recorder = LatencyRecorder(clock)
            for _ in range(count):
                recorder.record(latency)
            total.add(recorder.encode())
        self.assertAlmostEqual(0.010, total.percentile_s(99.0) or 0.0, 3)

    @parameterized.expand(
        [
            ("at once", 0.0, 1),
            ("in the next period", PERIOD_S, 1),
            ("at its end", 2 * PERIOD_S - 1, 1),
            ("in the one after", 2 * PERIOD_S, 0),
            ("much later", 50 * PERIOD_S, 0),
        ]
    )
    def test_old_latencies_fade(self, _name: str, passed: float, count: int) -> None:
        clock = ManualClock()
        recorder = LatencyRecorder(clock)
        recorder.record(0.2)
        clock.advance(passed)
        total = LatencyTotal()
        total.add(recorder.encode())
        self.assertEqual(count, total.count)

    def test_latencies_of_two_periods_count(self) -> None:
        clock = ManualClock()
        recorder = LatencyRecorder(clock)
        for _ in range(4):
            recorder.record(0.2)
            clock.advance(PERIOD_S)
        recorder.record(0.2)
        total = LatencyTotal()
        total.add(recorder.encode())
        self.assertEqual(2, total.count)

    @parameterized.expand([("empty", ""), ("text", "nothing"), ("cut", "HISTFAAAABl42pNpmSz")])
    def test_what_is_no_histogram_is_refused(self, _name: str, encoded: str) -> None:
        with self.assertRaises(StatusError):
            LatencyTotal().add(encoded)


class MergeTest(LevelsCase):
    def test_counts_add_up(self) -> None:
        rng = random.Random(7)
        reports = []
        expected = {"done": 0, "not-run": 0, "unknown": 0}
        bad = 0
        for _ in range(3):
            self.levels = ServiceLevels(self.clock, Metrics(MetricsSettings()))
            for _ in range(rng.randrange(200)):
                outcome = rng.choice(list(Outcome))
                self.end(outcome, outcome is Outcome.DONE)
                expected[outcome.value] += 1
                bad += outcome is not Outcome.DONE
            reports.append(self.report())
        merged = merge_burns(reports, OBJECTIVE)
        self.assertEqual(expected, merged.outcomes)
        total = sum(expected.values())
        self.assertEqual(WindowCount(total, bad), merged.counts_by_window["1h"])
        self.assertAlmostEqual(bad / total / 0.1, merged.burn_by_window["1h"])
        self.assertAlmostEqual(1 - bad / total / 0.1, merged.budget_left)

    def test_the_objective_given_counts(self) -> None:
        self.end(Outcome.UNKNOWN)
        strict = msgspec.structs.replace(OBJECTIVE, availability=0.99)
        merged = merge_burns([self.report()], strict)
        self.assertAlmostEqual(100.0, merged.burn_by_window["5m"])
        self.assertEqual(strict, merged.objective)


if __name__ == "__main__":
    unittest.main()
