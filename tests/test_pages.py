"""Tests that the pages' links lead somewhere, and that the commands they name exist."""

import pathlib
import re
import typing as t
import unittest

from parameterized import parameterized
from typer.main import get_command

from coralfall import cli
from coralfall.bundles import bundle_cli, keys_cli
from coralfall.reporting import report_cli
from tests.processes import ROOT

PAGES = [
    *ROOT.glob("*.md"),
    *ROOT.glob("docs/**/*.md"),
    *ROOT.glob("examples/*.md"),
    *ROOT.glob("deploy/*.md"),
]
_LINK = re.compile(r"\]\(([^)#\s]*)(?:#([^)\s]*))?\)")
_COMMAND = re.compile(r"coralfall (bundle|keys) ([a-z]+)((?: [^`\n]*)?)")
_SINGLE_COMMAND = re.compile(
    r"coralfall (entry|steer|explain|report|lookup|dev|standin)\b([^`\n]*)"
)
_OPTION = re.compile(r"--[a-z-]+")
_NOT_IN_A_TITLE = re.compile(r"[^\w\- ]")


def anchors_of(page: pathlib.Path) -> t.Set[str]:
    """Anchors of a page's titles, as forges make them."""
    anchors = set()
    for line in page.read_text(encoding="utf-8").splitlines():
        if line.startswith("#"):
            title = _NOT_IN_A_TITLE.sub("", line.lstrip("# ").lower())
            anchors.add(title.replace(" ", "-"))
    return anchors


def options_of(app: t.Any) -> t.Dict[str, t.Set[str]]:
    """Options of each command of an app, by the command's name."""
    options_by_command = {}
    for name, command in getattr(get_command(app), "commands", {}).items():
        options = {option for parameter in command.params for option in parameter.opts}
        options_by_command[name] = options | {"--help"}
    return options_by_command


def single_commands() -> t.Dict[str, t.Set[str]]:
    """Options of the commands that stand in no group."""
    options_by_command = options_of(cli.app)
    options_by_command["standin"] = {"--settings", "--help"}
    for command in (report_cli.report, report_cli.lookup):
        app = cli.typer.Typer()
        app.command()(command)
        options = {option for parameter in get_command(app).params for option in parameter.opts}
        options_by_command[command.__name__] = options
    return options_by_command


GROUPS = {"bundle": options_of(bundle_cli.app), "keys": options_of(keys_cli.app)}
SINGLES = single_commands()
ROWS = [(page.relative_to(ROOT).as_posix().replace("/", "_"), page) for page in sorted(PAGES)]


class PagesTest(unittest.TestCase):
    @parameterized.expand(ROWS)
    def test_links(self, _name: str, page: pathlib.Path) -> None:
        broken = []
        for target, anchor in _LINK.findall(page.read_text(encoding="utf-8")):
            if "://" in target:
                continue
            found = (page.parent / target).resolve() if target else page
            if not found.exists() or (anchor and anchor not in anchors_of(found)):
                broken.append(f"{target}#{anchor}" if anchor else target)
        self.assertEqual([], broken)

    @parameterized.expand(ROWS)
    def test_commands(self, _name: str, page: pathlib.Path) -> None:
        text = page.read_text(encoding="utf-8")
        unknown = []
        for group, command, rest in _COMMAND.findall(text):
            known = GROUPS[group].get(command)
            unknown += _unknown(f"{group} {command}", rest, known)
        for command, rest in _SINGLE_COMMAND.findall(text):
            unknown += _unknown(command, rest, SINGLES.get(command))
        self.assertEqual([], unknown)


def _unknown(command: str, rest: str, known: t.Optional[t.Set[str]]) -> t.List[str]:
    if known is None:
        return [command]
    return [f"{command} {option}" for option in _OPTION.findall(rest) if option not in known]
