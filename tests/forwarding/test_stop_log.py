"""Tests of what is logged and counted of requests at a stopping entry."""

import io
import typing as t
import unittest

from parameterized import parameterized

from coralfall.forwarding.request import CallerRequest
from coralfall.forwarding.stop_log import MAX_LINES_PER_S, StopLog
from coralfall.process import log
from coralfall.process.clock import ManualClock
from coralfall.process.shutdown import Shutdown
from coralfall.settings import LogSettings
from tests import loopback


class CountedMetrics:
    """Keeps the names of counts."""

    def __init__(self) -> None:
        self.names: t.List[str] = []

    def count(self, name: str) -> None:
        self.names.append(name)


class StopLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stream = io.StringIO()
        log.configure(LogSettings(), self.stream)
        self.addCleanup(log.configure, LogSettings(level="error"), io.StringIO())
        self.clock = ManualClock(100.0)
        self.shutdown = Shutdown(6.0, self.clock, lambda: 0.0)
        self.metrics: t.Any = CountedMetrics()
        self.stop_log = StopLog(self.shutdown, self.metrics, self.clock)
        self.request = CallerRequest(loopback.PARTNER, loopback.SERVICE, "POST", "/x", [])

    @parameterized.expand([("refused", "info"), ("cut-off", "warning")])
    def test_lines_are_bounded_and_counts_are_not(self, kind: str, level: str) -> None:
        """Guards against a line for each of thousands of requests at a stopping entry."""
        note = self.stop_log.note_refused if kind == "refused" else self.stop_log.note_cut_off
        self.shutdown.begin_now()
        self.clock.advance(2.0)
        for _ in range(1000):
            note(self.request, 0.25)
        # Lines of other tests that were kept until now come out too.
        lines = [line for line in self.stream.getvalue().splitlines() if "event=stop." in line]
        self.assertEqual(len(lines), MAX_LINES_PER_S)
        self.assertTrue(
            lines[0].endswith(
                f"level={level} event=stop.{kind} partner=calor service=mando method=POST"
                " age_ms=250 stop_age_ms=2000 stop_left_ms=3500 left_out=0"
            ),
            lines[0],
        )
        self.clock.advance(1.0)
        note(self.request, 0.25)
        left_out = 1000 - MAX_LINES_PER_S
        self.assertTrue(self.stream.getvalue().endswith(f" left_out={left_out}\n"))
        counts = (self.stop_log.refused_count, self.stop_log.cut_off_count)
        self.assertEqual(counts, (1001, 0) if kind == "refused" else (0, 1001))
        self.assertEqual(self.metrics.names, [f"stop.{kind}"] * 1001)
