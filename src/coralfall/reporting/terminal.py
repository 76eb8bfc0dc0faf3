"""What commands print: results as text or JSON, errors as one line each, and exit codes."""

import contextlib
import enum
import sys
import typing as t

import msgspec
import typer

from ..exceptions import CoralfallError, Fault, InputError

#: Option of every command that scripts use.
JsonOption = t.Annotated[bool, typer.Option("--json", help="Print JSON, errors included.")]


class ExitCode(enum.IntEnum):
    """What a script can tell from the end of a command."""

    GOOD = 0
    #: Refused, a race lost, or the platform did not answer.
    REFUSED = 1
    #: Input that is wrong in itself.
    BAD_INPUT = 2


@contextlib.contextmanager
def reporting(as_json: bool) -> t.Iterator[None]:
    """Print an error that ends the command, and leave with its exit code.

    :param as_json: print it as one JSON document on standard output.
    """
    try:
        yield
    except CoralfallError as error:
        report(error, as_json)
        raise typer.Exit(_exit_code(error)) from None


def show(value: t.Any, lines: t.Iterable[str], as_json: bool) -> None:
    """Print a result.

    :param value: what ``--json`` prints; anything that msgspec encodes.
    :param lines: what a person reads.
    """
    if as_json:
        print_json(value)
        return
    for line in lines:
        print(line)


def note(line: str) -> None:
    """Print something that is not the result, such as progress."""
    print(line, file=sys.stderr, flush=True)


def print_json(value: t.Any) -> None:
    """Print ``value`` as one line of JSON."""
    print(msgspec.json.encode(value).decode("utf-8"))


def report(error: CoralfallError, as_json: bool) -> None:
    """Print an error: as JSON, or one line for each fault with code, field and remedy."""
    if as_json:
        print_json({"error": error.as_dict()})
        return
    for line in _error_lines(error):
        note(f"error: {line}")


def fault_line(fault: Fault) -> str:
    """One fault as one line."""
    where = f"{fault.path}: " if fault.path else ""
    return _one_line(f"{where}{fault.code}: {fault.message}")


def _error_lines(error: CoralfallError) -> t.Iterator[str]:
    if isinstance(error, InputError) and len(error.faults) > 1:
        for fault in error.faults:
            yield f"{error.code}: {fault_line(fault)}"
        return
    reason = error.fields.get("reason")
    code = f"{error.code}/{reason}" if reason else error.code
    field = error.fields.get("field")
    where = f"{field}: " if field else ""
    yield _one_line(f"{code}: {where}{error.message}")


def _one_line(text: str) -> str:
    return " ".join(text.split())


def _exit_code(error: CoralfallError) -> ExitCode:
    return ExitCode.BAD_INPUT if isinstance(error, InputError) else ExitCode.REFUSED
