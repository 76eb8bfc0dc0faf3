"""A TOML file as operators write it: read whole, or told why not."""

import pathlib
import tomllib
import typing as t

from .exceptions import Fault, InputError


def read_toml(path: pathlib.Path) -> t.Dict[str, t.Any]:
    """The document in ``path``.

    :raises InputError: with one fault, ``unreadable`` or ``syntax``, of the whole file.
    """
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        fault = Fault("", "unreadable", f"can't be read: {error.strerror or error}")
        raise InputError(f"{path}: {fault.message}", [fault]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        fault = Fault("", "syntax", f"is not TOML: {error}")
        raise InputError(f"{path}: {fault.message}", [fault]) from error
