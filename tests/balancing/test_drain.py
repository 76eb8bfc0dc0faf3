"""Drains: no new requests once a target is marked, and the time until it is idle."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall.balancing.drain import DrainTracker
from coralfall.ids import TargetId

T = TargetId("t")
U = TargetId("u")

START, FINISH, MARK, UNMARK, GO = "start", "finish", "mark", "unmark", "go"


def run_events(events: t.Sequence[t.Tuple[float, str]]) -> DrainTracker:
    drains = DrainTracker()
    for now, event in events:
        if event == START:
            drains.start(T)
        elif event == FINISH:
            drains.finish(T, now)
        elif event == MARK:
            drains.mark([T], [T, U], now)
        elif event == UNMARK:
            drains.mark([], [T, U], now)
        elif event == GO:
            drains.mark([], [U], now)
    return drains


class DrainTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("idle already", [(1, MARK)], 0.0, 0, False),
            ("one in flight", [(0, START), (1, MARK)], None, 1, False),
            ("it ends", [(0, START), (1, MARK), (4, FINISH)], 3.0, 0, False),
            (
                "the last one counts",
                [(0, START), (0, START), (1, MARK), (2, FINISH), (5, FINISH)],
                4.0,
                0,
                False,
            ),
            ("marked twice", [(0, START), (1, MARK), (2, MARK), (4, FINISH)], 3.0, 0, False),
            ("gone too early", [(0, START), (1, MARK), (2, GO)], None, 1, True),
            (
                "gone too early, then idle",
                [(0, START), (1, MARK), (2, GO), (3, FINISH)],
                2.0,
                0,
                True,
            ),
            ("gone when idle", [(1, MARK), (2, GO)], 0.0, 0, False),
        ]
    )
    def test_report(
        self,
        _: str,
        events: t.Sequence[t.Tuple[float, str]],
        seconds: t.Optional[float],
        in_flight: int,
        gone: bool,
    ) -> None:
        drains = run_events(events)
        report = drains.reports()[T]
        self.assertEqual(
            (report.seconds, report.in_flight, report.gone), (seconds, in_flight, gone)
        )
        self.assertFalse(drains.allows(T))
        self.assertTrue(drains.allows(U))

    @parameterized.expand(
        [
            ("never marked", []),
            ("used again", [(1, MARK), (2, UNMARK)]),
            ("used again while busy", [(0, START), (1, MARK), (2, UNMARK), (3, FINISH)]),
        ]
    )
    def test_no_drain(self, _: str, events: t.Sequence[t.Tuple[float, str]]) -> None:
        drains = run_events(events)
        self.assertEqual(drains.reports(), {})
        self.assertTrue(drains.allows(T))

    def test_old_drains_are_forgotten(self) -> None:
        drains = DrainTracker(keep=3)
        names = [TargetId(str(number)) for number in range(10)]
        for name in names:
            drains.mark([name], [name], 1.0)
            drains.mark([], [], 2.0)
        self.assertEqual(list(drains.reports()), names[-3:])
