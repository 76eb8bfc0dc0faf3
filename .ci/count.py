"""Counts what CI ran and decides whether it passes.

The last line printed is ``N passed, N failed``. Tests listed in the file of known failures are
printed and passed over, as long as they exist, still fail and are at most three. One whose cause
begins with "once:" failed a single time and has no known cause: it is printed so that nobody
forgets it, it has to pass, and a second failure fails the run, with what it said. A line may also
name a command that showed a failure, for example of a soak; it is printed, and passes over no test.
"""

import argparse
import pathlib
import sys
import typing as t
from xml.etree import ElementTree

MAX_KNOWN_RED = 3
UNEXPECTED_PASS = "test passes unexpectedly"

#: Lines of a failure that are told again at the end, where the record of a run still has them.
CAUSE_LINES = 15

PASSED = "passed"
FAILED = "failed"
SKIPPED = "skipped"


#: How the name of each test begins.
TEST_PREFIX = "tests."

#: How the cause of a test begins that failed once, and what is printed of it.
ONCE = "once:"


class KnownRed(t.NamedTuple):
    """A test that is known to fail, or failed once."""

    test_id: str
    cause: str
    issue: str

    @property
    def is_command(self) -> bool:
        """Whether the line names a command in place of a test."""
        words = self.test_id.split()
        return len(words) > 1 and not words[0].startswith(TEST_PREFIX)

    @property
    def once(self) -> bool:
        """Whether it failed once, so that it has to pass."""
        return self.cause.startswith(ONCE)


def read_report(path: pathlib.Path) -> t.Dict[str, str]:
    """Outcome of each test by its id, from a JUnit report; a test fails if any part of it does."""
    outcomes_by_id: t.Dict[str, str] = {}
    for case in ElementTree.parse(path).getroot().iter("testcase"):
        test_id = f"{case.get('classname')}.{case.get('name')}"
        outcome = _outcome(case)
        if outcomes_by_id.get(test_id) != FAILED:
            outcomes_by_id[test_id] = outcome
    return outcomes_by_id


def read_causes(path: pathlib.Path) -> t.Dict[str, t.List[str]]:
    """The last lines of what each test that failed said, by its id."""
    causes_by_id: t.Dict[str, t.List[str]] = {}
    for case in ElementTree.parse(path).getroot().iter("testcase"):
        test_id = f"{case.get('classname')}.{case.get('name')}"
        for kind in ("error", "failure"):
            found = case.find(kind)
            if found is not None:
                causes_by_id[test_id] = (found.text or "").strip().splitlines()[-CAUSE_LINES:]
    return causes_by_id


def _outcome(case: ElementTree.Element) -> str:
    if case.find("error") is not None or case.find("failure") is not None:
        return FAILED
    skipped = case.find("skipped")
    if skipped is None:
        return PASSED
    if skipped.get("message") == UNEXPECTED_PASS:
        return FAILED
    return SKIPPED


def read_known_red(path: pathlib.Path) -> t.Tuple[t.List[KnownRed], t.List[str]]:
    """Known failures, and what is wrong with the file that lists them."""
    known: t.List[KnownRed] = []
    problems: t.List[str] = []
    if not path.exists():
        return known, problems
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), start=1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            problems.append(f"{path.name}:{number}: is not 'test id | cause | issue'")
            continue
        known.append(KnownRed(*parts))
    tests = [red for red in known if not red.is_command]
    if len(tests) > MAX_KNOWN_RED:
        problems.append(f"{path.name}: lists {len(tests)} tests, at most {MAX_KNOWN_RED} may be")
    return known, problems


def find_problems(known: t.Iterable[KnownRed], outcomes_by_id: t.Dict[str, str]) -> t.List[str]:
    """What is wrong with the listed tests: unknown ones and ones that do not fail."""
    problems = []
    for red in known:
        if red.is_command:
            continue
        outcome = outcomes_by_id.get(red.test_id)
        if outcome is None:
            problems.append(f"known red {red.test_id}: no such test ran")
            continue
        if outcome != FAILED and not (red.once and outcome == PASSED):
            problems.append(f"known red {red.test_id}: {outcome}, take it off the list")
    return problems


def count(
    outcomes_by_id: t.Dict[str, str],
    known: t.List[KnownRed],
    problems: t.List[str],
    test_status: int,
    causes_by_id: t.Mapping[str, t.Sequence[str]],
) -> t.Tuple[int, int]:
    """Tests that passed, and what failed: tests not known to be red, and ``problems``."""
    known_ids = {red.test_id for red in known if not red.once}
    passed = 0
    failed = len(problems)
    any_test_failed = False
    for test_id, outcome in outcomes_by_id.items():
        if outcome == PASSED:
            passed += 1
            continue
        if outcome == SKIPPED:
            print(f"skipped: {test_id}")
            continue
        any_test_failed = True
        if test_id in known_ids:
            continue
        print(f"failed: {test_id}")
        for line in causes_by_id.get(test_id, ()):
            print(f"    {line}")
        failed += 1
    if test_status != 0 and not any_test_failed:
        print(f"failed: the tests ended with status {test_status} though none failed")
        failed += 1
    return passed, failed


def main(arguments: t.Optional[t.Sequence[str]] = None) -> int:
    """Print the count; 0 only if nothing failed that is not known to."""
    parser = argparse.ArgumentParser(description="count what CI ran")
    parser.add_argument("--report", type=pathlib.Path, action="append", required=True)
    parser.add_argument("--known-red", type=pathlib.Path, required=True)
    parser.add_argument("--test-status", type=int, required=True)
    parser.add_argument("failed_steps", nargs="*")
    options = parser.parse_args(arguments)

    outcomes_by_id: t.Dict[str, str] = {}
    causes_by_id: t.Dict[str, t.List[str]] = {}
    problems = [f"step {name} failed" for name in options.failed_steps]
    for path in options.report:
        reported_by_id: t.Dict[str, str] = {}
        try:
            reported_by_id = read_report(path)
            causes_by_id.update(read_causes(path))
        except (OSError, ElementTree.ParseError) as error:
            problems.append(f"no report of the tests: {error}")
        if not reported_by_id:
            problems.append(f"{path.name}: no test ran")
        for test_id, outcome in reported_by_id.items():
            if outcomes_by_id.get(test_id) != FAILED:
                outcomes_by_id[test_id] = outcome
    known, faults = read_known_red(options.known_red)
    problems += faults + find_problems(known, outcomes_by_id)

    for red in known:
        word = "failed once, cause open" if red.once else "known red, passed over"
        if red.is_command:
            word = "known red, not run here"
        print(f"{word}: {red.test_id} | {red.cause} | {red.issue}")
    for problem in problems:
        print(f"failed: {problem}")
    passed, failed = count(outcomes_by_id, known, problems, options.test_status, causes_by_id)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
