"""The command line; each command imports what it needs when it runs."""

import pathlib
import sys
import typing as t

import typer

from .exceptions import CoralfallError, Fault, InputError

#: Exit codes: refused or failed, and bad input.
EXIT_FAILED = 1
EXIT_INPUT = 2

app = typer.Typer(
    name="coralfall",
    help="Global traffic steering for partners who share VMs and target capacity.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    # Rendering help by rich would keep 10 MB of it in every entry.
    rich_markup_mode=None,
)
standin_app = typer.Typer(
    help="Stand-ins of the platform and of targets.", no_args_is_help=True, rich_markup_mode=None
)
app.add_typer(standin_app, name="standin")

SettingsFile = t.Annotated[
    pathlib.Path, typer.Option("--settings", help="TOML file with the process's settings.")
]


@app.command()
def entry(settings: SettingsFile) -> None:
    """Run the process of an entry VM."""
    from .cluster.entry import run_entry
    from .settings import EntrySettings, load_settings

    raise typer.Exit(run_entry(load_settings(settings, EntrySettings)))


@app.command()
def steer(
    settings: t.Annotated[
        t.Optional[pathlib.Path],
        typer.Option(help="TOML file with the process's settings; by default the platform's."),
    ] = None,
    check: t.Annotated[
        bool, typer.Option("--check", help="Tell whether the settings are good, and start nothing.")
    ] = False,
) -> None:
    """Run the process of an entry on the users' platform."""
    from .platform.run import check_settings, run_steer

    if check:
        print(check_settings(settings))
        return
    raise typer.Exit(run_steer(settings))


@app.command()
def explain(
    words: t.Annotated[
        t.Optional[t.List[str]],
        typer.Argument(
            metavar="[ID] [FILE]...",
            help="The request's id, as its caller sent it (not with --lost or --entries), and files"
            " with the entries' log lines; standard input without any.",
        ),
    ] = None,
    lost: t.Annotated[
        bool, typer.Option("--lost", help="Split all requests that were not in aim by cause.")
    ] = False,
    entries: t.Annotated[
        bool, typer.Option("--entries", help="Tell which entries differ from all others.")
    ] = False,
) -> None:
    """Tell from log lines what became of a request, and why."""
    from .reporting.explain import explain as story_of
    from .reporting.lost import lost_lines, lost_of
    from .reporting.outliers import entries_of, outlier_lines

    files = list(words or ())
    of_all = lost or entries
    if not of_all and not files:
        remedy = "name its id, or --lost, or --entries"
        raise InputError("no request is named", [Fault("ID", "missing", remedy)])
    request_id = "" if of_all else files.pop(0)
    lines = _lines_of(files)
    if entries:
        print("\n".join(outlier_lines(entries_of(lines))))
    elif lost:
        print("\n".join(lost_lines(lost_of(lines))))
    else:
        print(story_of(request_id, lines))


def _lines_of(files: t.Sequence[str]) -> t.Iterator[str]:
    """Lines of files, one at a time: those of a large fleet are more than memory holds."""
    for name in files:
        try:
            with open(name, errors="replace") as file:
                yield from file
        except OSError as error:
            fault = Fault(name, "unreadable", "name a file that can be read")
            raise InputError(f"{name} can't be read: {error.strerror}", [fault]) from error
    if not files:
        yield from sys.stdin


@standin_app.command("platform")
def standin_platform(settings: SettingsFile) -> None:
    """Run a stand-in of the platform: table, object store and VM list."""
    from .settings import PlatformStandinSettings, load_settings
    from .standins.standin import run_platform

    raise typer.Exit(run_platform(load_settings(settings, PlatformStandinSettings)))


@standin_app.command("target")
def standin_target(settings: SettingsFile) -> None:
    """Run a stand-in of one target."""
    from .settings import TargetStandinSettings, load_settings
    from .standins.standin import run_target

    raise typer.Exit(run_target(load_settings(settings, TargetStandinSettings)))


@app.command()
def dev(
    seconds: t.Annotated[
        t.Optional[float], typer.Option(help="Stop after this long; without it, on Ctrl-C.")
    ] = None,
) -> None:
    """Run platform, targets, entries and callers in one process, on loopback."""
    from .standins.dev import run_dev

    raise typer.Exit(run_dev(seconds))


def _mount() -> None:
    from .bundles.bundle_cli import app as bundle_app
    from .bundles.keys_cli import app as keys_app
    from .reporting.report_cli import lookup, report
    from .simulation.simulation_cli import app as model_app

    app.add_typer(bundle_app, name="bundle")
    app.add_typer(keys_app, name="keys")
    app.add_typer(model_app, name="model")
    app.command()(lookup)
    app.command()(report)


def main() -> None:
    """Run the command line; errors are one line on standard error."""
    if len(sys.argv) > 1 and sys.argv[1] not in ("entry", "standin", "dev"):
        _mount()
    try:
        app()
    except InputError as error:
        print(f"coralfall: {error.message}", file=sys.stderr)
        sys.exit(EXIT_INPUT)
    except CoralfallError as error:
        print(f"coralfall: {error.code}: {error.message}", file=sys.stderr)
        sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
