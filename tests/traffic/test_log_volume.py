"""Tests that an entry writes a bounded number of log lines about many simultaneous changes."""

import io
import typing as t
import unittest

from parameterized import parameterized

from coralfall.placement.target_reports import TargetReport
from coralfall.platform.names import HEADERS
from coralfall.process import log
from coralfall.process.clock import ManualClock
from coralfall.settings import LogSettings
from coralfall.traffic.members import Members
from coralfall.traffic.response_parser import ServerResponse
from coralfall.traffic.target_report_reader import TargetReportReader
from tests.traffic.makers import SteeringFixture, make_record, make_target, seeded_rng


class LinesTest(unittest.TestCase):
    def setUp(self) -> None:
        # Discards lines that other tests logged before a stream was configured.
        log.configure(LogSettings(), io.StringIO())
        self.stream = io.StringIO()
        log.configure(LogSettings(), self.stream)
        self.addCleanup(log.configure, LogSettings(level="error"), io.StringIO())

    def lines(self, event: str) -> t.List[str]:
        return [line for line in self.stream.getvalue().splitlines() if f"event={event} " in line]

    @parameterized.expand([("few", 8, 8), ("many", 300, 2)])
    def test_targets_that_are_new(self, _name: str, count: int, lines: int) -> None:
        SteeringFixture(*[make_target(number) for number in range(count)])
        found = self.lines("target.added")
        self.assertEqual(lines, len(found))
        for number in range(count):
            self.assertIn(f"t{number}", "".join(found))

    @parameterized.expand([("few", 8, 8), ("many", 300, 2)])
    def test_entries_that_come_to_life(self, _name: str, count: int, lines: int) -> None:
        members = Members(make_record("own"), ManualClock(100.0), seeded_rng())
        members.merge_records([make_record(f"e{number}") for number in range(count)])
        self.assertEqual(lines, len(self.lines("peer.alive")))

    def test_entries_that_fall_silent_have_a_line_each(self) -> None:
        """The ages in these lines show when a machine or a link was lost."""
        clock = ManualClock(100.0)
        members = Members(make_record("own"), clock, seeded_rng())
        members.merge_records([make_record(f"e{number}") for number in range(30)])
        for number in range(30):
            for _ in range(2):
                members.record_probe_failure(make_record(f"e{number}").peer_address)
        for _ in range(20):
            clock.advance(0.4)
            members.start_round()
        self.assertEqual(30, len(self.lines("peer.silent")))

    def test_a_storm_of_rejections_is_a_few_lines(self) -> None:
        steered = SteeringFixture(make_target())
        state = next(iter(steered.targets.by_id.values()))
        for _ in range(300):
            steered.targets.reports.record(state, TargetReport(cooldown_s=3.0, leaving=True), 0.0)
            steered.clock.advance(0.01)
        self.assertLessEqual(len(self.lines("target.cooldown")), 4)
        self.assertEqual(1, len(self.lines("target.leaving")))

    def test_a_header_that_nobody_reads_is_logged_once(self) -> None:
        reader = TargetReportReader(HEADERS, ManualClock())
        headers = [(b"server-mood", b"1"), (b"content-type", b"x"), (b"retry-after", b"1")]
        for _ in range(3):
            reader.read(ServerResponse(200, headers, b""), make_target())
        (line,) = self.lines("target.header-unread")
        self.assertIn("header=server-mood", line)
