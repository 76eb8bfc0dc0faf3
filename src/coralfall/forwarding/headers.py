"""Headers: which fields pass through an entry, in either direction."""

import typing as t

from .. import defaults
from ..exceptions import RequestError

#: Names in lower case with their values, as ASGI has them.
RawHeaders = t.Sequence[t.Tuple[bytes, bytes]]

#: Fields of one connection, which RFC 9110 (section 7.6.1) forbids to forward.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
#: Fields that an entry states itself, whatever the caller sent.
_REPLACED_TO_TARGET = frozenset(
    (
        b"content-length",
        b"expect",
        b"forwarded",
        b"host",
        b"x-forwarded-for",
        b"x-forwarded-host",
        b"x-forwarded-proto",
        b"x-real-ip",
        defaults.HEADER_DEADLINE.encode(),
        defaults.HEADER_TARGET_DEADLINE.encode(),
        defaults.HEADER_TARGET_DEADLINE_AT.encode(),
        defaults.HEADER_TARGET_SLOT.encode(),
    )
)
_REPLACED_TO_CALLER = frozenset(
    (
        # The entry's HTTP server dates every answer, and there may be one date only.
        b"date",
        defaults.HEADER_OUTCOME.encode(),
        defaults.HEADER_VERSION.encode(),
        defaults.HEADER_RETRY_AFTER_MS.encode(),
        defaults.HEADER_TARGET_OUTCOME.encode(),
        defaults.HEADER_TARGET_LOAD.encode(),
    )
)
_DROPPED_TO_TARGET = HOP_BY_HOP | _REPLACED_TO_TARGET
_DROPPED_TO_CALLER = HOP_BY_HOP | _REPLACED_TO_CALLER


def headers_to_target(headers: RawHeaders, caller_host: str) -> t.List[t.Tuple[str, str]]:
    """What a target is sent of a caller's headers.

    :param headers: the caller's, names in lower case.
    :param caller_host: IP number of the caller.
    :raises RequestError: for a value that is not UTF-8.
    """
    dropped = _dropped(headers, _DROPPED_TO_TARGET)
    passed = []
    for name, value in headers:
        if name in dropped:
            if name == b"host":
                passed.append(("x-forwarded-host", _text(name, value)))
            continue
        passed.append((name.decode("ascii"), _text(name, value)))
    passed.append(("x-forwarded-for", caller_host))
    return passed


def headers_to_caller(headers: RawHeaders) -> t.List[t.Tuple[bytes, bytes]]:
    """What a caller is sent of a target's headers; names come out in lower case."""
    lowered = [(name.lower(), value) for name, value in headers]
    dropped = _dropped(lowered, _DROPPED_TO_CALLER)
    return [field for field in lowered if field[0] not in dropped]


def _dropped(headers: RawHeaders, always: t.FrozenSet[bytes]) -> t.AbstractSet[bytes]:
    named: t.Set[bytes] = set()
    for name, value in headers:
        if name != b"connection":
            continue
        named.update(option.strip().lower() for option in value.split(b","))
    return always | named if named else always


def _text(name: bytes, value: bytes) -> str:
    try:
        return value.decode("utf-8")
    except UnicodeDecodeError:
        field = name.decode("ascii", "replace")
        message = f"header {field} is not UTF-8; send it as UTF-8 or percent-encoded"
        raise RequestError("header-encoding", 400, message, field=field) from None
