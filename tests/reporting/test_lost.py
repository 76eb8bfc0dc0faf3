"""Tests of the split of lost requests by cause."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall.reporting.lost import lost_lines, lost_of


def line(ms: int, status: int = 200, reason: str = "answered", sends: str = "none") -> str:
    """A line of an ended request of a route with an aim of 250 ms."""
    outcome = {200: "done", 503: "not-run"}.get(status, "unknown")
    return (
        "time=2026-08-30T10:00:12.000Z level=info event=request.ended entry=e1 id=a route=r1"
        f" service=s1 status={status} outcome={outcome} reason={reason} ms={ms} aim_ms=250"
        f" sends={sends} version=7"
    )


#: What is usual for the route: 100 ms with known objects and free slots.
USUAL = [line(100, sends="i-1:200:100:1.0/5:known:near")] * 10


class LostTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("in aim", line(250, sends="i-1:200:250:9.0/5:new:far"), "in aim"),
            ("new", line(400, sends="i-1:200:400:1.0/5:new:near"), "learn the object, near"),
            ("queue", line(300, sends="i-1:200:300:5.0/5:known:far"), "queue.*another region"),
            ("slow", line(500, sends="i-1:200:500:1.0/5:known:near"), "slow without a queue"),
            ("way", line(260, sends="i-1:200:190:1.0/5:known:far"), "the way and the work"),
            (
                "again",
                line(300, sends="i-1:shed-503:200:5.0/5:known:near,i-2:200:90:1.0/5:known:far"),
                "sent again after shed-503",
            ),
            ("refused", line(3, 503, "full"), "refused: full"),
            ("failed", line(800, 504, "time", "i-1:time:800:1.0/5:known:near"), "failed: time"),
        ]
    )
    def test_cause(self, _name: str, ended: str, expected: str) -> None:
        (lost,) = lost_of([*USUAL, ended])
        self.assertEqual(11, sum(lost.count_by_cause.values()))
        others = [cause for cause in lost.count_by_cause if cause != "in aim"]
        if expected == "in aim":
            self.assertEqual([], others)
            return
        self.assertEqual(1, len(others))
        self.assertRegex(others[0], expected)

    @parameterized.expand(
        [
            ("nothing", [], "no line tells"),
            ("no line of ours", ["something else"], "no line tells"),
            ("old lines", [line(400, sends="i-1:200:400")], "the way and the work"),
        ]
    )
    def test_text(self, _name: str, lines: t.List[str], expected: str) -> None:
        self.assertIn(expected, "\n".join(lost_lines(lost_of(lines))))


if __name__ == "__main__":
    unittest.main()
