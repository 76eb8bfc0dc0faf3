"""Tests of the settings template: an entry starts with any valid numbers, or reports the fault."""

import json
import math
import pathlib
import re
import tomllib
import typing as t
import unittest

import hypothesis
import hypothesis.strategies as st
from parameterized import parameterized
from typer.testing import CliRunner

from coralfall import cli
from coralfall.exceptions import SettingsError
from coralfall.placement.retry_budget import SharedRetryBudget
from coralfall.platform.contracts import EntryFile, load_entry_file
from coralfall.process.clock import ManualClock
from coralfall.settings import parse_settings
from coralfall.traffic.poll_intervals import poll_intervals_for
from coralfall.traffic.settings import SteerSettings
from tests.checks import make_folder
from tests.traffic.makers import PEDIDOS, FixedShare, cold_share_of

TEMPLATE = pathlib.Path(__file__).parent.parent.parent / "deploy" / "entry.toml"
#: Names of the template's numeric placeholders, as used by the platform.
NUMBERS = tuple(re.findall(r"\{\{#([\w.]+)\}\}\w+ = ", TEMPLATE.read_text()))
ADDRESSES = ("ip", "listen.front", "listen.directory", "listen.readiness", "platform.address")
#: A scaled-down copy of a site has its bounds divided, so counts become fractions.
FRACTION = 30.714285714285715

_amounts = st.one_of(
    st.integers(0, 10**12),
    st.floats(0.0, 1e12, allow_nan=False),
    st.floats(0.0, 1e-6),
    st.sampled_from([0, 0.0, 1e-300, 1e300, FRACTION]),
)


def render(number_by_name: t.Mapping[str, t.Any]) -> str:
    """Renders the template; sections without a given value are left out."""
    text = re.sub(
        r"\{\{#(seeds|bootstrap|contracts)\}\}.*?\{\{/\1\}\}",
        "",
        TEMPLATE.read_text(),
        flags=re.DOTALL,
    )
    text = re.sub(r"\{\{#zones\}\}\n.*?\{\{/zones\}\}", 'z = "r"', text, flags=re.DOTALL)
    for name in NUMBERS:
        section = re.compile(r"\{\{#" + re.escape(name) + r"\}\}(.*?)\{\{/[\w.]+\}\}", re.DOTALL)
        if name not in number_by_name:
            text = section.sub("", text)
            continue
        number = json.dumps(number_by_name[name])
        text = section.sub(lambda m, n=number: re.sub(r"\{\{[\w.]+\}\}", n, m[1]), text)
    text = re.sub(r"\{\{(ip|internalPorts\.\d)\}\}", "1", text)
    return re.sub(r"\{\{[\w.]+\|json\}\}", '"127.0.0.1:1"', text)


def load(number_by_name: t.Mapping[str, t.Any]) -> SteerSettings:
    return parse_settings(tomllib.loads(render(number_by_name)), EntryFile, "entry.toml")


class TemplateTest(unittest.TestCase):
    @hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
    @hypothesis.given(st.dictionaries(st.sampled_from(NUMBERS), _amounts))
    def test_any_non_negative_number_is_accepted_and_usable(
        self, given: t.Dict[str, t.Any]
    ) -> None:
        settings = load(given)
        bounds = settings.bounds
        pace = poll_intervals_for(min(bounds.state_deadline_s(), bounds.drain_s))
        derived = (
            bounds.shutdown_accept_s(),
            bounds.lookup_ttl_s(),
            bounds.home_shift_per_s(),
            settings.max_caller_connections(),
            cold_share_of(settings.entry_id, [settings.entry_id], t.cast(t.Any, "t"), 1.0),
            pace.interval_s,
        )
        for number in derived:
            self.assertTrue(math.isfinite(number) and number >= 0, derived)
        budget = SharedRetryBudget(bounds, FixedShare(1), ManualClock(100.0))
        budget.record_request(PEDIDOS)
        self.assertIn(budget.spend(PEDIDOS), (True, False))
        self.assertGreater(settings.max_caller_connections(), 0)
        self.assertGreaterEqual(pace.interval_s, 0.05, "the store would be read without a pause")

    @parameterized.expand([(name,) for name in NUMBERS])
    def test_fraction_is_accepted(self, name: str) -> None:
        load({name: FRACTION})

    def test_peer_address_is_the_address_of_seeds(self) -> None:
        """Seeds are given as the addresses of the machines' ``control`` listener."""
        self.assertIn("\npeer_address = {{listen.control|json}}\n", TEMPLATE.read_text())

    def test_first_start_is_set_by_bootstrap_only(self) -> None:
        text = TEMPLATE.read_text()
        self.assertIn("{{#bootstrap}}first_start = true\n{{/bootstrap}}", text)

    @parameterized.expand(
        [
            ("negative", "bounds.retrySlack", -1, "bounds.budget_slack: found -1"),
            ("text", "bounds.drainS", "soon", "bounds.drain_s: found 'soon'"),
            ("text for a limit", "limits.maxFds", "many", "max_files: found 'many'"),
            ("text for the memory", "limits.memoryMb", "much", "memory_mb: found 'much'"),
            ("true", "bounds.graceS", True, "bounds.grace_s: found True"),
        ]
    )
    def test_invalid_number_is_reported_in_one_line(
        self, _name: str, name: str, value: t.Any, expected: str
    ) -> None:
        with self.assertRaises(SettingsError) as caught:
            load({name: value})
        message = caught.exception.message
        self.assertIn(expected, message)
        self.assertIn("Expected `float`", message)
        self.assertNotIn("\n", message)


class ContractsTest(unittest.TestCase):
    """Guards against an installation that is served as uncontended although its terms say so."""

    @parameterized.expand(
        [
            ("absent", None, "", False),
            ("unknown", '["tides"]', "", False),
            ("pressure", '["tides", "pressure"]', "", True),
            ("own setting", "[]", "contended = true", True),
        ]
    )
    def test_words(
        self, _name: str, words: t.Optional[str], dispatch: str, contended: bool
    ) -> None:
        self.assertEqual(contended, self._load(words, dispatch).dispatch.contended)

    @parameterized.expand(
        [
            ("words", '"pressure"', "", "contracts", "wrong-type", "Expected `array`"),
            (
                "mode",
                "[]",
                'mode = "never"',
                "dispatch.mode",
                "wrong-value",
                "'auto', 'on', 'off'",
            ),
            ("contended", "[]", "contended = 1", "dispatch.contended", "wrong-type", "`bool`"),
            ("unknown", "[]", "modes = 1", "dispatch.modes", "unknown-field", "mode"),
        ]
    )
    def test_bad_value_is_reported_with_field_code_and_remedy(
        self, _name: str, words: str, dispatch: str, field: str, code: str, remedy: str
    ) -> None:
        with self.assertRaises(SettingsError) as caught:
            self._load(words, dispatch)
        (fault,) = caught.exception.faults
        self.assertEqual((field, code), (fault.path, fault.code))
        self.assertIn(remedy, fault.message)

    def _load(self, words: t.Optional[str], dispatch: str) -> SteerSettings:
        line = "" if words is None else f"contracts = {words}\n"
        path = make_folder(self) / "entry.toml"
        text = render({}).replace("contracts = []\n", line)
        path.write_text(f"{text}\n[dispatch]\n{dispatch}\n")
        return load_entry_file(path)


class CheckCommandTest(unittest.TestCase):
    @parameterized.expand([("good", FRACTION, True), ("bad", -1, False)])
    def test_settings_are_validated_without_a_start(
        self, _name: str, slack: float, good: bool
    ) -> None:
        path = make_folder(self) / "entry.toml"
        path.write_text(render({"bounds.retrySlack": slack}))
        result = CliRunner().invoke(cli.app, ["steer", "--check", "--settings", str(path)])
        if good:
            self.assertEqual(
                (0, f"{path}: good, for entry "),
                (result.exit_code, result.output[: len(str(path)) + 18]),
            )
            return
        self.assertIsInstance(result.exception, SettingsError)
        self.assertIn("bounds.budget_slack: found -1", str(result.exception))


if __name__ == "__main__":
    unittest.main()
