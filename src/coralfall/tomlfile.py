"""Reads TOML files and reports why one can't be read."""

import pathlib
import tomllib
import typing as t

from .exceptions import Fault, InputError


def read_toml(path: pathlib.Path) -> t.Dict[str, t.Any]:
    """Returns the parsed document in ``path``.

    :raises InputError: with one fault, ``unreadable`` or ``syntax``, that has no path within the
        file.
    """
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        fault = Fault("", "unreadable", f"can't be read: {error.strerror or error}")
        raise InputError(f"{path}: {fault.message}", [fault]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        fault = Fault("", "syntax", f"is not TOML: {error}")
        raise InputError(f"{path}: {fault.message}", [fault]) from error
