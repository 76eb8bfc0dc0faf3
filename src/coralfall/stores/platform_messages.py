"""Bodies of the calls between the platform's HTTP client and its stand-in."""

import typing as t

import msgspec

from ..ids import Revision
from .store import Check, Row, Write

CONTENT_TYPE = "application/msgpack"


class TransactRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /table/transact``; answered by a ``TransactResult``."""

    writes: t.Tuple[Write, ...]
    checks: t.Tuple[Check, ...] = ()


class ChangesRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /table/changes``; answered by ``Changes``."""

    prefixes: t.Tuple[str, ...]
    since: Revision
    limit: t.Optional[int] = None


class ReadRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /table/read``; answered by ``ReadAnswer``."""

    keys: t.Tuple[str, ...]


class ReadAnswer(msgspec.Struct, frozen=True):
    """The rows that exist."""

    rows: t.Tuple[Row, ...]


class ErrorAnswer(msgspec.Struct, frozen=True):
    """JSON body of every answer that is an error; nothing was done."""

    code: str
    message: str
