"""Tests of finding one bad entry among many."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall.reporting.outliers import entries_of, outlier_lines

BAD = "e7"
COUNT = 195


def line(entry: str, event: str, **fields: t.Any) -> str:
    told = " ".join([f"{name}={value}" for name, value in fields.items()])
    return f"time=2026-08-30T10:00:12.000Z level=info event={event} entry={entry} {told}"


def fleet(*more: str) -> t.List[str]:
    """Lines of entries that are alike: each starts, and loses a tenth of its requests."""
    lines = []
    for number in range(COUNT):
        entry = f"e{number}"
        lines.append(line(entry, "entry.starting"))
        lines.append(line(entry, "state.in-force", version=7))
        for request in range(20):
            ms = 300 if request < 2 else 100
            lines.append(line(entry, "request.ended", status=200, ms=ms, aim_ms=250))
    return [*lines, *more]


def ended(status: int, ms: int) -> str:
    return line(BAD, "request.ended", status=status, ms=ms, aim_ms=250)


class OutliersTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("late", [ended(200, 400)] * 20, f"{BAD}: 55.0% of 40 requests late"),
            ("refused", [ended(503, 1)] * 20, f"{BAD}: 55.0% of 40 requests late"),
            ("pauses", [line(BAD, "process.paused")] * 3, f"{BAD}: paused 3 times"),
            ("no store", [line(BAD, "store.lost")] * 4, f"{BAD}: lost the store 4 times"),
            ("starts", [line(BAD, "entry.starting")] * 5, f"{BAD}: started 6 times (1.0 in"),
            ("suspected", [line(BAD, "entry.suspected")] * 5, "was suspected by others 5 times"),
            (
                "behind",
                [line("e9", "state.in-force", version=8), *[ended(200, 400)] * 20],
                f"{BAD}: steers by version 7; 55.0% of 40",
            ),
        ]
    )
    def test_one_stands_out(self, _name: str, more: t.List[str], expected: str) -> None:
        told = list(outlier_lines(entries_of(fleet(*more))))
        self.assertIn("195 entries", told[0])
        self.assertIn(expected, told[1])

    @parameterized.expand(
        [
            ("all alike", fleet(), "no entry stands out"),
            ("an unlucky one", fleet(*[ended(200, 400)] * 2), "no entry stands out"),
            ("nothing", ["something else", "time=no event=x entry=e1"], "no line names an entry"),
        ]
    )
    def test_nobody_does(self, _name: str, lines: t.List[str], expected: str) -> None:
        self.assertEqual(expected, list(outlier_lines(entries_of(lines)))[-1])


if __name__ == "__main__":
    unittest.main()
