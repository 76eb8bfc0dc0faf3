"""Reads and writes the file that holds the fleet's shared key."""

import base64
import binascii
import os
import pathlib
import secrets
import stat

from ..exceptions import Fault, SettingsError
from .cipher import FLEET_KEY_BYTES, FleetKey

_FIELD = "peers.fleet_key_file"
_MODE = 0o600
#: A key file is 45 bytes; whatever is longer is something else.
_MAX_FILE_BYTES = 1024


def load_fleet_key(path: pathlib.Path) -> FleetKey:
    """The key in a file.

    :param path: file with 32 bytes in base64, which only its owner may read or write.
    :raises SettingsError: if the file is missing, open to others, or holds something else.
    """
    try:
        # A FIFO in its place must not hold up the start.
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
        with os.fdopen(descriptor, "rb") as file:
            _check_status(path, os.fstat(file.fileno()))
            text = file.read(_MAX_FILE_BYTES)
    except OSError as error:
        raise _error(path, "unreadable", f"can't be read: {error.strerror}") from error
    try:
        key = base64.b64decode(text.strip(), validate=True)
    except binascii.Error as error:
        raise _error(path, "wrong-value", "is not base64; allowed are 32 bytes in it") from error
    if len(key) != FLEET_KEY_BYTES:
        raise _error(path, "wrong-value", f"holds {len(key)} bytes; allowed are 32 in base64")
    return FleetKey(key)


def new_fleet_key(path: pathlib.Path) -> FleetKey:
    """A fresh key, written to a new file of mode 0600.

    :raises SettingsError: if the file exists already or can't be written.
    """
    key = FleetKey(secrets.token_bytes(FLEET_KEY_BYTES))
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, _MODE)
        with os.fdopen(descriptor, "wb") as file:
            os.fchmod(file.fileno(), _MODE)
            file.write(base64.b64encode(key) + b"\n")
    except OSError as error:
        raise _error(path, "unwritable", f"can't be written: {error.strerror}") from error
    return key


def _check_status(path: pathlib.Path, status: os.stat_result) -> None:
    if not stat.S_ISREG(status.st_mode):
        raise _error(path, "wrong-type", "is not a regular file")
    mode = stat.S_IMODE(status.st_mode)
    if mode & ~_MODE:
        raise _error(path, "unsafe-mode", f"has mode {mode:04o}, allowed is 0600; chmod 600 it")


def _error(path: pathlib.Path, code: str, message: str) -> SettingsError:
    return SettingsError(f"{path}: {message}", [Fault(_FIELD, code, message)])
