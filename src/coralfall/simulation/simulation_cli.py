"""``coralfall model``: tries a load, or a change of it, on virtual time before a day does."""

import pathlib
import sys
import typing as t

import typer

from ..process import log
from ..reporting.terminal import JsonOption, reporting, show
from ..settings import LogSettings
from .report import Summary, chart_of, difference_lines, summary_lines
from .scenario import load_scenario
from .world import World

app = typer.Typer(
    help="Plays a load on virtual time, with the decisions that run in production.",
    no_args_is_help=True,
    rich_markup_mode=None,
)

_Scenario = t.Annotated[pathlib.Path, typer.Argument(help="TOML file with the load.")]
_Seeds = t.Annotated[int, typer.Option(min=1, help="How many seeds, from 1 on.")]
_Html = t.Annotated[
    t.Optional[pathlib.Path], typer.Option("--html", help="Write a page with a chart there.")
]


@app.command()
def run(
    scenario: _Scenario, seeds: _Seeds = 3, html: _Html = None, as_json: JsonOption = False
) -> None:
    """Play a load and tell what callers got."""
    with reporting(as_json):
        summary = _play(scenario, seeds)
        if html is not None:
            html.write_text(chart_of([summary]))
        show(summary.as_dict(), summary_lines(summary), as_json)


@app.command()
def compare(
    before: _Scenario,
    after: _Scenario,
    seeds: _Seeds = 3,
    html: _Html = None,
    as_json: JsonOption = False,
) -> None:
    """Play two loads on the same seeds and tell how they differ."""
    with reporting(as_json):
        summaries = [_play(before, seeds), _play(after, seeds)]
        if html is not None:
            html.write_text(chart_of(summaries))
        told = [summary.as_dict() for summary in summaries]
        show(told, difference_lines(*summaries), as_json)


def _play(path: pathlib.Path, seeds: int) -> Summary:
    scenario = load_scenario(path)
    log.set_level(LogSettings(level="error"))
    scores = []
    with typer.progressbar(range(1, seeds + 1), label=scenario.name, file=sys.stderr) as bar:
        for seed in bar:
            scores.append(World(scenario, seed).play())
    return Summary(scenario.name, scores)
