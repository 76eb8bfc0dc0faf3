"""Tests of what CI counts: passes, failures, and the list of tests known to fail."""

import contextlib
import importlib.util
import io
import pathlib
import tempfile
import typing as t
import unittest

from parameterized import parameterized

COUNT_PATH = pathlib.Path(__file__).parent.parent / ".ci" / "count.py"

PASS = '<testcase classname="tests.test_a.A" name="test_pass"/>'
FAIL = '<testcase classname="tests.test_a.A" name="test_fail"><failure>f</failure></testcase>'
ERROR = '<testcase classname="nose2.loader.Failed" name="test_b"><error>e</error></testcase>'
SKIP = '<testcase classname="tests.test_a.A" name="test_skip"><skipped message="s"/></testcase>'
UNEXPECTED = (
    '<testcase classname="tests.test_a.A" name="test_pass">'
    '<skipped message="test passes unexpectedly"/></testcase>'
)
PART = FAIL.replace("test_fail", "test_pass")

KNOWN_FAIL = "tests.test_a.A.test_fail | broken | 7\n"
KNOWN_PASS = "tests.test_a.A.test_pass | broken | 7\n"
KNOWN_SKIP = "tests.test_a.A.test_skip | broken | 7\n"
ONCE_FAIL = "tests.test_a.A.test_fail | once: a 500 | 7\n"
ONCE_PASS = "tests.test_a.A.test_pass | once: a 500 | 7\n"
ONCE_SKIP = "tests.test_a.A.test_skip | once: a 500 | 7\n"
KNOWN_COMMAND = "python -m tests.soak --seeds 1 --first 7 | a request is lost | 7\n"
KNOWN_SPACED = "tests.test_a.A.test_fail now | broken | 7\n"
KNOWN_NONE = "tests.test_a.A.test_none | broken | 7\n"


def load_count() -> t.Any:
    """The script, which is no part of a package."""
    spec = importlib.util.spec_from_file_location("count", COUNT_PATH)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class CountTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("all pass", PASS, "", 0, [], 0, "1 passed, 0 failed"),
            ("one fails", PASS + FAIL, "", 1, [], 1, "1 passed, 1 failed"),
            ("module broken", PASS + ERROR, "", 1, [], 1, "1 passed, 1 failed"),
            ("one part fails", PASS + PART, "", 1, [], 1, "0 passed, 1 failed"),
            ("part fails first", PART + PASS, "", 1, [], 1, "0 passed, 1 failed"),
            ("skipped", PASS + SKIP, "", 0, [], 0, "1 passed, 0 failed"),
            ("passes unexpectedly", UNEXPECTED, "", 0, [], 1, "0 passed, 1 failed"),
            ("none ran", "", "", 0, [], 1, "0 passed, 1 failed"),
            ("no report", None, "", 0, [], 1, "0 passed, 2 failed"),
            ("cut report", "<testcase", "", 0, [], 1, "0 passed, 2 failed"),
            ("status without failure", PASS, "", 2, [], 1, "1 passed, 1 failed"),
            ("step failed", PASS, "", 0, ["ruff"], 1, "1 passed, 1 failed"),
            ("known", PASS + FAIL, KNOWN_FAIL, 1, [], 0, "1 passed, 0 failed"),
            ("known and another", FAIL + ERROR, KNOWN_FAIL, 1, [], 1, "0 passed, 1 failed"),
            ("known passes", PASS, KNOWN_PASS, 0, [], 1, "1 passed, 1 failed"),
            ("known is skipped", PASS + SKIP, KNOWN_SKIP, 0, [], 1, "1 passed, 1 failed"),
            ("known does not exist", PASS, KNOWN_NONE, 0, [], 1, "1 passed, 1 failed"),
            ("command", PASS, KNOWN_COMMAND, 0, [], 0, "1 passed, 0 failed"),
            ("command and a failure", FAIL, KNOWN_COMMAND, 1, [], 1, "0 passed, 1 failed"),
            ("four commands", PASS, KNOWN_COMMAND * 4, 0, [], 0, "1 passed, 0 failed"),
            ("test with more words", FAIL, KNOWN_SPACED, 1, [], 1, "0 passed, 2 failed"),
            ("once, and passes", PASS, ONCE_PASS, 0, [], 0, "1 passed, 0 failed"),
            ("once, and again", PASS + FAIL, ONCE_FAIL, 1, [], 1, "1 passed, 1 failed"),
            ("once, and is skipped", PASS + SKIP, ONCE_SKIP, 0, [], 1, "1 passed, 1 failed"),
            ("four known", PASS + FAIL, KNOWN_FAIL * 4, 1, [], 1, "1 passed, 1 failed"),
            ("no cause", PASS + FAIL, "tests.test_a.A.test_fail\n", 1, [], 1, "1 passed, 2 failed"),
            (
                "empty cause",
                PASS + FAIL,
                "tests.test_a.A.test_fail | | 7\n",
                1,
                [],
                1,
                "1 passed, 2 failed",
            ),
        ]
    )
    def test_count(
        self,
        _name: str,
        cases: t.Optional[str],
        known: str,
        test_status: int,
        steps: t.List[str],
        status: int,
        last_line: str,
    ) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            if cases is not None:
                (folder / "tests.xml").write_text(f"<testsuite>{cases}</testsuite>")
            if known:
                (folder / "KNOWN-RED.txt").write_text(known)
            arguments = ["--report", f"{name}/tests.xml", "--known-red", f"{name}/KNOWN-RED.txt"]
            arguments += ["--test-status", str(test_status), *steps]
            output = io.StringIO()
            with contextlib.redirect_stdout(output):
                self.assertEqual(load_count().main(arguments), status)
        self.assertEqual(output.getvalue().splitlines()[-1], last_line)
        is_unknown = known in (KNOWN_NONE, KNOWN_SPACED)
        self.assertEqual("no such test ran" in output.getvalue(), is_unknown)
        for line in known.splitlines():
            if line.count(" | ") == 2:
                self.assertIn(line, output.getvalue())

    @parameterized.expand(
        [
            ("both pass", PASS, FAIL.replace("<failure>f</failure>", ""), 0, "2 passed, 0 failed"),
            ("the second fails", PASS, FAIL, 1, "1 passed, 1 failed"),
            ("the first fails", FAIL, PASS, 1, "1 passed, 1 failed"),
            ("a test of both fails once", PART, PASS, 1, "0 passed, 1 failed"),
            ("none ran in the second", PASS, "", 1, "1 passed, 1 failed"),
            ("no second report", PASS, None, 1, "1 passed, 2 failed"),
        ]
    )
    def test_reports_are_counted_together(
        self, _name: str, first: str, second: t.Optional[str], status: int, last_line: str
    ) -> None:
        with tempfile.TemporaryDirectory() as name:
            arguments = ["--known-red", f"{name}/none", "--test-status", "0"]
            for number, cases in enumerate((first, second)):
                report = pathlib.Path(name) / f"{number}.xml"
                arguments += ["--report", str(report)]
                if cases is not None:
                    report.write_text(f"<testsuite>{cases}</testsuite>")
            output = io.StringIO()
            with contextlib.redirect_stdout(output):
                self.assertEqual(load_count().main(arguments), status)
        self.assertEqual(output.getvalue().splitlines()[-1], last_line)

    def test_what_a_failure_said_is_told_at_the_end(self) -> None:
        said = "\n".join([f"line {number}" for number in range(40)])
        case = FAIL.replace(">f<", f">{said}<")
        with tempfile.TemporaryDirectory() as name:
            report = pathlib.Path(name) / "tests.xml"
            report.write_text(f"<testsuite>{case}</testsuite>")
            output = io.StringIO()
            with contextlib.redirect_stdout(output):
                load_count().main(
                    ["--report", str(report), "--known-red", f"{name}/none", "--test-status", "1"]
                )
        told = output.getvalue().splitlines()
        self.assertEqual("0 passed, 1 failed", told[-1])
        self.assertEqual([f"    line {number}" for number in range(25, 40)], told[-16:-1])


if __name__ == "__main__":
    unittest.main()
