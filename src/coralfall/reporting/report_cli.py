"""The commands ``coralfall report`` and ``coralfall lookup``, which ask running entries."""

import asyncio
import os
import pathlib
import typing as t

import typer

from ..ids import PartnerId
from ..stores.platform_cli import PlatformOption, with_platform
from . import terminal
from .terminal import JsonOption, reporting, show

if t.TYPE_CHECKING:
    from ..bundles.signing import Key
    from ..stores.store import Platform
    from .fleet_reader import Seed
    from .fleet_report import FleetReport

_CLEAR_SCREEN = "\x1b[H\x1b[2J"


def report(
    platform: PlatformOption,
    key: t.Annotated[pathlib.Path, typer.Option("--key", help="Private key file of an operator.")],
    entry: t.Annotated[
        t.Optional[t.List[str]],
        typer.Option(
            "--entry",
            help="Operators' port of an entry, as ID@ip:port; asked if the platform is away.",
        ),
    ] = None,
    html: t.Annotated[
        t.Optional[pathlib.Path], typer.Option("--html", help="Page to write as well.")
    ] = None,
    watch: t.Annotated[
        t.Optional[float],
        typer.Option("--watch", min=0.5, help="Report anew every so many seconds."),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Show service levels, headroom, drains and versions over all entries."""
    with reporting(as_json):
        from ..bundles.signing import load_key
        from .fleet_reader import parse_seeds

        source = _Source(platform, load_key(key), parse_seeds(entry or ()))
        if watch is None:
            _show_report(asyncio.run(_report_once(source)), html, None, as_json)
            return
        asyncio.run(_watch(source, html, watch, as_json))


def lookup(
    entry: t.Annotated[
        t.List[str], typer.Option("--entry", help="ip:port of an entry; give several to try.")
    ],
    partner: t.Annotated[str, typer.Option("--partner", help="Whose services are wanted.")],
    address: t.Annotated[
        t.Optional[str], typer.Option("--address", help="IP number; by default your own.")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Ask a running system which entries to use, as a caller does."""
    with reporting(as_json):
        from ..lookups.lookup_client import look_up

        found = asyncio.run(look_up(entry, PartnerId(partner), address))
        answer = found.answer
        lines = [
            f"site {answer.site or 'none'}, version {answer.version}, "
            f"use for {answer.ttl_s:g} s (told by {found.entry})"
        ]
        lines += [f"  {number}. {name}" for number, name in enumerate(answer.entries, 1)]
        show({**found._asdict()}, lines, as_json)


class _Source(t.NamedTuple):
    """Where reports come from."""

    platform_url: str
    key: "Key"
    seeds: "t.Tuple[Seed, ...]"


async def _report_once(source: _Source) -> "FleetReport":
    from ..process.clock import SystemClock
    from .fleet_reader import read_fleet

    async def run(services: "Platform") -> "FleetReport":
        return await read_fleet(services, source.key, SystemClock(), source.seeds)

    return await with_platform(source.platform_url, run)


async def _watch(
    source: _Source, html: t.Optional[pathlib.Path], seconds: float, as_json: bool
) -> None:
    from ..exceptions import CoralfallError

    while True:
        try:
            found = await _report_once(source)
        except CoralfallError as error:
            terminal.report(error, as_json)
        else:
            if not as_json and os.isatty(1):
                print(_CLEAR_SCREEN, end="")
            _show_report(found, html, seconds, as_json)
        await asyncio.sleep(seconds)


def _show_report(
    found: "FleetReport",
    html: t.Optional[pathlib.Path],
    refresh_s: t.Optional[float],
    as_json: bool,
) -> None:
    from .report_text import report_lines

    if html is not None:
        _write_page(found, html, refresh_s)
    show(found, report_lines(found), as_json)


def _write_page(found: "FleetReport", path: pathlib.Path, refresh_s: t.Optional[float]) -> None:
    from ..exceptions import Fault, InputError
    from .report_html import render_page

    page = render_page(found, refresh_s)
    part = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        part.write_text(page, encoding="utf-8")
        part.replace(path)
    except OSError as error:
        message = f"{path}: can't be written ({error.strerror}); name a file in a folder of yours"
        raise InputError(message, [Fault("--html", "not-written", message)]) from error
