"""Tests of parsing the reports of targets in answers, and of how long reports are kept."""

import email.utils
import typing as t
import unittest

from parameterized import parameterized

from coralfall.placement.target_reports import TargetReport, TargetReports
from coralfall.placement.targets import TargetRegistry
from coralfall.platform.names import HEADERS
from coralfall.process.clock import ManualClock
from coralfall.traffic.model import Target
from coralfall.traffic.response_parser import ServerResponse
from coralfall.traffic.target_report_reader import TargetReportReader
from tests.traffic.makers import make_target

_NOW_S = 1_800_000_000.0
_SIGNED = (b"x-response-signature", b"signed")


def date(after_s: float) -> bytes:
    """HTTP date, some seconds after the current time."""
    return email.utils.formatdate(_NOW_S + after_s, usegmt=True).encode()


def read(status: int, *headers: t.Tuple[bytes, bytes]) -> TargetReport:
    reader = TargetReportReader(HEADERS, ManualClock(_NOW_S))
    return reader.read(ServerResponse(status, list(headers), b""), make_target())


class ReaderTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("nothing", 500, [], TargetReport()),
            ("no limit", 200, [_SIGNED], TargetReport(unlimited=True)),
            ("a limit", 200, [_SIGNED, (b"server-limit", b"3.6")], TargetReport(limit_per_s=3.6)),
            ("a load", 500, [(b"x-server-load", b"3,1,6")], TargetReport(load=(3, 1))),
            (
                "a pace",
                500,
                [(b"x-server-load", b"3,1,6,250")],
                TargetReport(load=(3, 1), pace=250),
            ),
            ("no pace", 500, [(b"x-server-load", b"3,1,6,fast")], TargetReport(load=(3, 1))),
            ("a pace of 0", 500, [(b"x-server-load", b"3,1,6,0")], TargetReport(load=(3, 1))),
            ("a load that can't be read", 500, [(b"x-server-load", b"full")], TargetReport()),
            ("leaving", 500, [(b"server-leaving", b"1")], TargetReport(leaving=True)),
            ("leaving, in words", 503, [(b"server-leaving", b"true")], TargetReport(leaving=True)),
            ("not leaving", 500, [(b"server-leaving", b"0")], TargetReport()),
            ("not leaving, in words", 500, [(b"server-leaving", b"False")], TargetReport()),
            ("leaving, empty", 500, [(b"server-leaving", b"")], TargetReport()),
        ]
    )
    def test_reports(
        self,
        _name: str,
        status: int,
        headers: t.List[t.Tuple[bytes, bytes]],
        expected: TargetReport,
    ) -> None:
        self.assertEqual(expected, read(status, *headers))

    @parameterized.expand(
        [
            ("seconds", 503, b"3", None, 3.0),
            ("a fraction", 503, b"0.25", None, 0.25),
            ("a fraction without digits", 503, b"2.", None, 2.0),
            ("too many requests", 429, b"3", None, 3.0),
            ("of another status", 500, b"3", None, None),
            ("of a redirect", 301, b"3", None, None),
            ("nothing to wait for", 503, b"0", None, None),
            ("negative", 503, b"-3", None, None),
            ("signed", 503, b"+3", None, None),
            ("an exponent", 503, b"1e3", None, None),
            ("digits of Python", 503, b"1_000", None, None),
            ("no number", 503, b"nan", None, None),
            ("no end", 503, b"inf", None, None),
            ("too large", 503, b"9" * 400, None, None),
            ("words", 503, b"soon", None, None),
            ("empty", 503, b"", None, None),
            ("bytes", 503, b"\xff\xfe", None, None),
            ("a list", 503, b"3, 4", None, None),
            ("a date", 503, date(5), None, 5.0),
            ("a date that is over", 503, date(-5), None, None),
            ("a date by the target's clock", 503, date(3605), date(3600), 5.0),
            ("a date by an unreadable clock", 503, date(5), b"today", 5.0),
            ("a date without a zone", 503, date(5).removesuffix(b" GMT"), None, 5.0),
            ("a date beyond all", 503, b"Fri, 31 Dec 99999 23:59:59 GMT", None, None),
        ]
    )
    def test_the_cooldown_that_a_rejection_names(
        self,
        _name: str,
        status: int,
        value: bytes,
        dated: t.Optional[bytes],
        expected: t.Optional[float],
    ) -> None:
        headers = [(b"retry-after", value)]
        if dated is not None:
            headers.append((b"date", dated))
        self.assertEqual(expected, read(status, *headers).cooldown_s)

    def test_remembered_unknown_headers_are_bounded(self) -> None:
        reader = TargetReportReader(HEADERS, ManualClock())
        for number in range(1000):
            answer = ServerResponse(200, [(f"x-{number}".encode(), b"1")], b"")
            reader.read(answer, make_target())
        self.assertLessEqual(len(reader.unread_headers), 32)


class ReportsTest(unittest.TestCase):
    """Reports of one target, as an entry keeps them."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.registry = TargetRegistry(self.clock)
        self.target = make_target(born=1000)
        self.set_rows(self.target)

    @property
    def reports(self) -> TargetReports:
        return self.registry.reports

    def set_rows(self, *targets: Target) -> None:
        """Replaces all rows."""
        self.registry.update({target.target_id: target for target in targets})

    def report(self, **fields: t.Any) -> None:
        """Records a report in the answer to a request that was just sent."""
        state = self.registry.by_id[self.target.target_id]
        self.reports.record(state, TargetReport(**fields), self.clock.monotonic())

    @parameterized.expand(
        [
            ("one", [(0.0, 3.0)], 3.0),
            ("a longer one", [(0.0, 3.0), (1.0, 4.0)], 5.0),
            ("a shorter one within", [(0.0, 3.0), (1.0, 0.5)], 3.0),
            ("one after the other", [(0.0, 1.0), (2.0, 1.0)], 3.0),
        ]
    )
    def test_the_last_end_of_cooldowns_counts(
        self, _name: str, durations: t.Sequence[t.Tuple[float, float]], end_s: float
    ) -> None:
        began = self.clock.now
        for at_s, seconds in durations:
            self.clock.now = began + at_s
            self.report(cooldown_s=seconds)
        self.assertAlmostEqual(began + end_s - self.clock.now, self.remaining_s())
        self.clock.now = began + end_s
        self.assertEqual(0.0, self.remaining_s())

    def remaining_s(self) -> float:
        return self.reports.cooldowns.remaining_s(self.target)

    def test_ended_cooldowns_are_removed(self) -> None:
        self.report(cooldown_s=3.0)
        self.clock.advance(3.0)
        self.reports.tick(self.registry.by_id)
        self.assertEqual({}, self.reports.cooldowns._by_lifetime)

    def test_a_departure_outlasts_its_row_for_a_while(self) -> None:
        self.report(leaving=True)
        self.set_rows()
        for seconds, known in ((500.0, True), (200.0, False)):
            self.clock.advance(seconds)
            self.reports.tick(self.registry.by_id)
            self.assertEqual(known, self.reports.departures.includes(self.target))
