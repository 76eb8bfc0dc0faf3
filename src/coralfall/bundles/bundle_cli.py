"""The commands ``coralfall bundle ...``: the operators' side of bundles."""

import asyncio
import pathlib
import typing as t
import uuid

import typer

from ..ids import Digest, PartnerId
from ..reporting import terminal
from ..reporting.terminal import ExitCode, JsonOption, reporting, show
from ..stores.platform_cli import PlatformOption, with_platform

if t.TYPE_CHECKING:
    from ..stores.store import Platform
    from .blockdiff import BlockDiff, Source
    from .bundle import Bundle, Head
    from .diff import Change
    from .history import HistoryRow
    from .rollout_status import PartnerStatus
    from .signedfile import SignedFile
    from .signing import Trust

app = typer.Typer(help="Bundles: draft, sign, submit, look up.", no_args_is_help=True)

#: Fewest digits of a digest that name a staged bundle.
MIN_DIGEST_DIGITS = 8
#: Names of the bundles on the platform, in place of a file.
IN_FORCE = "in-force"
STAGED = "staged"

PartnerOption = t.Annotated[str, typer.Option("--partner", help="Whose line.")]
DraftArgument = t.Annotated[pathlib.Path, typer.Argument(help="Draft in TOML.")]


@app.command()
def new(path: DraftArgument, partner: PartnerOption, as_json: JsonOption = False) -> None:
    """Write a commented starting draft to PATH, which must not exist."""
    with reporting(as_json):
        from ..exceptions import Fault
        from . import rules, starter

        text = starter.starter_draft(PartnerId(partner))
        try:
            with path.open("x", encoding="utf-8") as file:
                file.write(text)
        except OSError as error:
            fault = Fault("", "not-written", f"can't be written: {error.strerror}")
            raise rules.bundle_error(str(path), [fault]) from error
        show({"file": str(path)}, [f"wrote {path}; edit it, then check it"], as_json)


@app.command()
def check(path: DraftArgument, as_json: JsonOption = False) -> None:
    """Find every fault of a draft in one run."""
    with reporting(as_json):
        from . import draft

        faults = draft.check_draft(path)
        if as_json:
            terminal.print_json({"ok": not faults, "faults": [f._asdict() for f in faults]})
        for fault in faults if not as_json else ():
            terminal.note(f"{path}: {terminal.fault_line(fault)}")
        if faults:
            raise typer.Exit(ExitCode.BAD_INPUT)
        if not as_json:
            print(f"{path}: no fault found")


@app.command()
def diff(
    old: t.Annotated[str, typer.Argument(help="Draft, signed file, in-force or staged.")],
    new: t.Annotated[str, typer.Argument(help="Draft, signed file, in-force or staged.")],
    platform: t.Annotated[
        t.Optional[str], typer.Option("--platform", help="For in-force and staged.")
    ] = None,
    partner: t.Annotated[
        t.Optional[str], typer.Option("--partner", help="For in-force and staged.")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Show what differs between two bundles."""
    with reporting(as_json):
        changes, blocks = asyncio.run(_diff(old, new, platform, partner))
        lines = [change.text() for change in changes] + blocks.texts()
        show({"changes": changes, "blocks": blocks}, lines or ["no difference"], as_json)


@app.command()
def sign(
    path: t.Annotated[pathlib.Path, typer.Argument(help="Draft (.toml) or signed file.")],
    role: t.Annotated[str, typer.Option("--role", help="author or approver.")],
    key: t.Annotated[pathlib.Path, typer.Option("--key", help="Private key file.")],
    output: t.Annotated[
        t.Optional[pathlib.Path],
        typer.Option("--output", help="Signed file to write; by default beside the draft."),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Sign a draft as its author, or a signed file as its approver."""
    with reporting(as_json):
        from . import signedfile, signing

        file = _read_file(path)
        signed = signedfile.add_signature(file, _parse_role(role), signing.load_key(key))
        target = output or path.with_suffix(signedfile.SUFFIX)
        signedfile.write_signed_file(target, signed)
        _show_signed(target, signed, as_json)


@app.command()
def submit(
    path: t.Annotated[pathlib.Path, typer.Argument(help="Signed file.")],
    platform: PlatformOption,
    trust: t.Annotated[pathlib.Path, typer.Option("--trust", help="Trust file in TOML.")],
    replace: t.Annotated[
        t.Optional[str],
        typer.Option("--replace", help="Digest of the staged bundle to take the place of."),
    ] = None,
    wait: t.Annotated[bool, typer.Option("--wait", help="Wait until in force.")] = False,
    timeout_s: t.Annotated[
        float, typer.Option("--timeout", help="Seconds to wait at most.")
    ] = 60.0,
    as_json: JsonOption = False,
) -> None:
    """Stage a signed bundle; it is in force once every entry holds it."""
    with reporting(as_json):
        from . import signedfile
        from .trust import load_trust

        file = signedfile.read_signed_file(path)
        keys = load_trust(trust)

        async def run(services: "Platform") -> "Head":
            head = await _submit(services, file, keys, replace)
            if wait:
                await _wait(services, file.bundle(), timeout_s)
            return head

        head = asyncio.run(with_platform(platform, run))
        _show_submitted(file, head, "in force" if wait else "submitted", as_json)


@app.command()
def status(platform: PlatformOption, as_json: JsonOption = False) -> None:
    """Show the version in force, what is staged, who signed it, and which entry lags."""
    with reporting(as_json):
        from .bundle_text import status_lines
        from .rollout_status import read_status

        found = asyncio.run(with_platform(platform, read_status))
        show(found, status_lines(found), as_json)


@app.command()
def history(
    platform: PlatformOption,
    partner: PartnerOption,
    last: t.Annotated[
        t.Optional[int], typer.Option("--last", min=1, help="Only so many of the newest.")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """List the versions of a partner's line, oldest first."""
    with reporting(as_json):
        from .bundle_text import history_lines

        async def run(services: "Platform") -> t.List["HistoryRow"]:
            from . import line

            return await line.history(services, PartnerId(partner), last)

        rows = asyncio.run(with_platform(platform, run))
        show(rows, history_lines(rows), as_json)


async def _diff(
    old: str, new: str, url: t.Optional[str], partner: t.Optional[str]
) -> t.Tuple[t.List["Change"], "BlockDiff"]:
    async def run(services: t.Optional["Platform"]) -> t.Tuple[t.List["Change"], "BlockDiff"]:
        from .blockdiff import diff_blocks
        from .diff import diff_bundles

        old_source = await _open_source(old, services, partner)
        new_source = await _open_source(new, services, partner)
        changes = diff_bundles(old_source.bundle, new_source.bundle)
        return changes, await diff_blocks(old_source, new_source)

    if url is None:
        return await run(None)
    return await with_platform(url, run)


async def _open_source(
    name: str, services: t.Optional["Platform"], partner: t.Optional[str]
) -> "Source":
    from .blockdiff import Source

    if name in (IN_FORCE, STAGED):
        return await _open_from_platform(name, services, partner)
    file = _read_file(pathlib.Path(name))

    async def fetch(digest: Digest) -> bytes:
        return file.objects[digest]

    return Source(file.bundle(), fetch)


async def _open_from_platform(
    name: str, services: t.Optional["Platform"], partner: t.Optional[str]
) -> "Source":
    from . import line
    from .blockdiff import Source

    if services is None or partner is None:
        raise _bad_argument(name, "needs --platform and --partner")
    head = (await line.read_head(services, PartnerId(partner))).head
    ref = head.accepted if name == IN_FORCE else head.staged
    if ref is None:
        raise _bad_argument(name, f"nothing of {partner!r} is {name}")
    bundle = await line.fetch_bundle(services, ref.digest)
    return Source(bundle, services.objects.get)


async def _submit(
    services: "Platform", file: "SignedFile", keys: "Trust", replace: t.Optional[str]
) -> "Head":
    from . import submission

    replaces = await _find_staged(services, file, replace)
    submission_id = uuid.uuid4().hex
    return await submission.submit(
        services, file.signed, keys, submission_id, file.objects, replaces
    )


async def _find_staged(
    services: "Platform", file: "SignedFile", replace: t.Optional[str]
) -> t.Optional[Digest]:
    """The digest of the staged bundle, if it begins with ``replace``."""
    from . import line

    if replace is None:
        return None
    if len(replace) < MIN_DIGEST_DIGITS:
        raise _bad_argument("--replace", f"needs at least {MIN_DIGEST_DIGITS} digits")
    staged = (await line.read_head(services, file.bundle().partner)).head.staged
    if staged is None or not staged.digest.startswith(replace):
        return None
    return staged.digest


async def _wait(services: "Platform", bundle: "Bundle", timeout_s: float) -> None:
    from ..process.clock import SystemClock
    from .rollout_status import wait_in_force

    shown: t.List[str] = []

    def on_status(status: "PartnerStatus") -> None:
        lines = [entry.text() for entry in status.lagging]
        if lines and lines != shown:
            shown[:] = lines
            terminal.note(f"waiting for {'; '.join(lines)}")

    clock = SystemClock()
    await wait_in_force(services, bundle.partner, bundle.version, timeout_s, clock, on_status)


def _read_file(path: pathlib.Path) -> "SignedFile":
    from . import draft, signedfile

    if path.suffix == ".toml":
        return signedfile.from_draft(draft.load_whole_draft(path))
    return signedfile.read_signed_file(path)


def _parse_role(role: str) -> t.Any:
    from .signing import Role

    try:
        return Role(role)
    except ValueError:
        raise _bad_argument("--role", f"found {role!r}, allowed are author, approver") from None


def _bad_argument(name: str, message: str) -> Exception:
    from ..exceptions import Fault
    from . import rules

    return rules.bundle_error("arguments", [Fault(name, "bad-argument", message)])


def _show_signed(path: pathlib.Path, file: "SignedFile", as_json: bool) -> None:
    bundle: "Bundle" = file.bundle()
    author, approver = file.signed.author, file.signed.approver
    value = {
        "file": str(path),
        "partner": bundle.partner,
        "version": bundle.version,
        "digest": file.digest(),
        "author": author.key_id if author is not None else None,
        "approver": approver.key_id if approver is not None else None,
    }
    missing = [role for role in ("author", "approver") if value[role] is None]
    rest = f"{missing[0]} is missing" if missing else "ready to submit"
    text = f"{path}: {bundle.partner} version {bundle.version}, {rest} ({file.digest()})"
    show(value, [text], as_json)


def _show_submitted(file: "SignedFile", head: "Head", state: str, as_json: bool) -> None:
    bundle = file.bundle()
    value = {"partner": bundle.partner, "version": bundle.version, "digest": file.digest()}
    text = f"{bundle.partner} version {bundle.version} is {state} ({file.digest()})"
    show({**value, "state": state, "head": head}, [text], as_json)
