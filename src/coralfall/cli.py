"""Command line. Each command imports its modules when it runs, to keep processes small."""

import pathlib
import sys
import typing as t

import typer

from .exceptions import CoralfallError, Fault, InputError

#: Exit codes: the command failed, and its input is invalid.
EXIT_FAILED = 1
EXIT_INPUT = 2

app = typer.Typer(
    name="coralfall",
    help="Global traffic steering for partners who share VMs and target capacity.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    # Rendering help with rich would keep 10 MB of its modules in the memory of every entry.
    rich_markup_mode=None,
)
standin_app = typer.Typer(
    help="Run stand-ins for the platform and for targets.",
    no_args_is_help=True,
    rich_markup_mode=None,
)
app.add_typer(standin_app, name="standin")

SettingsFile = t.Annotated[
    pathlib.Path, typer.Option("--settings", help="Settings file of the process, in TOML.")
]


@app.command()
def entry(settings: SettingsFile) -> None:
    """Run an entry process on an entry VM."""
    from .cluster.entry import run_entry
    from .process.end import end_process
    from .settings import EntrySettings, load_settings

    end_process(run_entry(load_settings(settings, EntrySettings)))


@app.command()
def steer(
    settings: t.Annotated[
        t.Optional[pathlib.Path],
        typer.Option(help="Settings file, in TOML; by default the one that the platform provides."),
    ] = None,
    check: t.Annotated[
        bool,
        typer.Option("--check", help="Validate the settings and exit without starting the entry."),
    ] = False,
) -> None:
    """Run an entry process on the users' platform."""
    from .platform.run import check_settings, run_steer
    from .process.end import end_process

    if check:
        print(check_settings(settings))
        return
    end_process(run_steer(settings))


@app.command()
def explain(
    words: t.Annotated[
        t.Optional[t.List[str]],
        typer.Argument(
            metavar="[ID] [FILE]...",
            help="Id of the request, as sent by its caller (not with --lost or --entries), and log"
            " files of the entries; without files, standard input is read.",
        ),
    ] = None,
    lost: t.Annotated[
        bool,
        typer.Option(
            "--lost", help="Count requests that failed or were late or rejected, by cause."
        ),
    ] = False,
    entries: t.Annotated[
        bool, typer.Option("--entries", help="List entries whose results deviate from all others.")
    ] = False,
) -> None:
    """Explain from log lines what happened to a request, and why."""
    from .reporting.explain import explain as explain_request
    from .reporting.lost import lost_lines, lost_of
    from .reporting.outliers import entries_of, outlier_lines

    files = list(words or ())
    has_no_id = lost or entries
    if not has_no_id and not files:
        remedy = "give the request's id, --lost or --entries"
        raise InputError("no request id given", [Fault("ID", "missing", remedy)])
    request_id = "" if has_no_id else files.pop(0)
    lines = _read_lines(files)
    if entries:
        print("\n".join(outlier_lines(entries_of(lines))))
    elif lost:
        print("\n".join(lost_lines(lost_of(lines))))
    else:
        print(explain_request(request_id, lines))


def _read_lines(files: t.Sequence[str]) -> t.Iterator[str]:
    """Yields lines of files one at a time, since logs of a large fleet do not fit into memory."""
    for name in files:
        try:
            with open(name, errors="replace") as file:
                yield from file
        except OSError as error:
            fault = Fault(name, "unreadable", "give a file that can be read")
            raise InputError(f"{name} can't be read: {error.strerror}", [fault]) from error
    if not files:
        yield from sys.stdin


@standin_app.command("platform")
def standin_platform(settings: SettingsFile) -> None:
    """Run a stand-in for the platform: table, object store and VM list."""
    from .settings import PlatformStandinSettings, load_settings
    from .standins.standin import run_platform

    raise typer.Exit(run_platform(load_settings(settings, PlatformStandinSettings)))


@standin_app.command("target")
def standin_target(settings: SettingsFile) -> None:
    """Run a stand-in for one target."""
    from .settings import TargetStandinSettings, load_settings
    from .standins.standin import run_target

    raise typer.Exit(run_target(load_settings(settings, TargetStandinSettings)))


@app.command()
def dev(
    seconds: t.Annotated[
        t.Optional[float], typer.Option(help="Stop after this many seconds; by default on Ctrl-C.")
    ] = None,
) -> None:
    """Run the platform, targets, entries and callers in one process, on loopback."""
    from .standins.dev import run_dev

    raise typer.Exit(run_dev(seconds))


def _add_operator_commands() -> None:
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
    """Runs the command line; prints errors as one line on standard error."""
    if len(sys.argv) > 1 and sys.argv[1] not in ("entry", "standin", "dev"):
        _add_operator_commands()
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
