"""The reference pages: settings, metrics and alarms are those of the code, no more and no fewer."""

import ast
import importlib.util
import pathlib
import re
import typing as t
import unittest

from coralfall.ids import Outcome
from coralfall.reporting.service_levels import COUNT_METRIC, FAULTY, TIMING_METRIC

ROOT = pathlib.Path(__file__).resolve().parent.parent
METRIC_CALLS = ("count", "timing", "gauge")
ALARM_CALLS = ("warning", "error", "_log_failure")
#: Anything filled in, on the page and in the code alike.
_FILLED = re.compile(r"<[^>]*>|\{[^}]*\}")


def calls_in_source() -> t.Iterator[t.Tuple[pathlib.Path, str, str]]:
    """File, function's name and first argument of every call that names something."""
    for path in sorted((ROOT / "src" / "coralfall").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            name = getattr(node.func, "attr", getattr(node.func, "id", ""))
            text = _text_of(node.args[0])
            if text is not None:
                yield path, name, text


def _text_of(argument: ast.expr) -> t.Optional[str]:
    if isinstance(argument, ast.Constant) and isinstance(argument.value, str):
        return argument.value
    if not isinstance(argument, ast.JoinedStr):
        return None
    parts = []
    for part in argument.values:
        parts.append(part.value if isinstance(part, ast.Constant) else "<>")
    return "".join(str(part) for part in parts)


def metrics_in_source() -> t.Set[str]:
    names = {_FILLED.sub("<>", TIMING_METRIC)}
    for outcome in [*[outcome.value for outcome in Outcome], FAULTY]:
        names.add(_FILLED.sub("<>", COUNT_METRIC + outcome))
    for path, call, text in calls_in_source():
        if path.name == "metrics.py" or "." not in text:
            continue
        if call in METRIC_CALLS:
            names.add(text)
    # The claims count under a name that they put together in one place.
    names.discard("claims.<>")
    for path, call, text in calls_in_source():
        if path.name == "claims.py" and call == "_count":
            names.add(f"claims.{text}")
    return names


def alarms_in_source() -> t.Set[str]:
    return {text for _, call, text in calls_in_source() if call in ALARM_CALLS and "." in text}


def names_on_page(first_heading: str, last_heading: str) -> t.Set[str]:
    page = (ROOT / "docs" / "METRICS.md").read_text()
    between = page.split(f"## {first_heading}\n")[1].split(f"## {last_heading}\n")[0]
    return {_FILLED.sub("<>", name) for name in re.findall(r"^\| `([^`]+)` \|", between, re.M)}


class ReferenceTest(unittest.TestCase):
    maxDiff = None

    def test_settings(self) -> None:
        path = ROOT / "docs" / "settings_reference.py"
        spec = importlib.util.spec_from_file_location("settings_reference", path)
        assert spec is not None and spec.loader is not None
        module = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(module)
        message = "run docs/settings_reference.py"
        self.assertEqual(module.render(), module.PAGE.read_text(), message)

    def test_metrics(self) -> None:
        found = metrics_in_source()
        self.assertGreater(len(found), 15)
        self.assertEqual(found, names_on_page("Counts", "Alarms on metrics"))

    def test_alarms(self) -> None:
        found = alarms_in_source()
        self.assertGreater(len(found), 15)
        page = (ROOT / "docs" / "METRICS.md").read_text()
        listed = re.findall(r"^\| `([^`]+)` \| (?:warning|error) \|", page, re.M)
        self.assertEqual(found, set(listed))


if __name__ == "__main__":
    unittest.main()
