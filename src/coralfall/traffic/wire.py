"""Configurable names of the headers that the request path reads and writes, and parsers."""

import math
import typing as t

import msgspec

#: Highest pace, in percent, that is believed: predictions are multiplied by it.
_MAX_PACE = 10_000
_FALSE_VALUES = frozenset((b"", b"0", b"false", b"no"))


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
    """Header names in lower case, and the name of the cookie that carries the object's key."""

    #: Id of one attempt of a caller, which targets echo.
    request_id: bytes
    #: Milliseconds that are left until the caller's deadline.
    time_left: bytes
    #: Marks a complete response of a target.
    signature: bytes
    #: Id of the target that must run the request; any other target answers 421.
    expected_target: bytes
    #: Set by a target that did not run the request.
    not_run: bytes
    #: Load of a target: running requests, waiting requests, slots, and maybe its pace.
    load: bytes
    #: Requests per second that a target accepts from all entries together.
    limit: bytes
    #: Set by a target that will shut down soon.
    leaving: bytes
    #: Time for which a target that rejected a request accepts no other from the entry.
    retry_after: bytes
    #: Cookie with the key of the object that a request concerns.
    affinity_cookie: bytes
    #: Key of a caller's tenant; never passed on to targets.
    credential: bytes
    #: Tenant of a request, set for targets; a caller's value is ignored.
    tenant: bytes

    def response_headers(self) -> t.FrozenSet[bytes]:
        """Returns the names of the headers that are read from targets' responses."""
        return frozenset(
            (
                self.request_id,
                self.signature,
                self.not_run,
                self.load,
                self.limit,
                self.leaving,
                self.retry_after,
            )
        )

    def affinity_key(self, headers: t.Iterable[t.Tuple[bytes, bytes]]) -> t.Optional[bytes]:
        """Returns the object's key from a caller's cookies."""
        for name, value in headers:
            if name != b"cookie":
                continue
            for part in value.split(b";"):
                key, _, cookie_value = part.strip().partition(b"=")
                if key == self.affinity_cookie:
                    return cookie_value
        return None


def parse_load(value: bytes) -> t.Optional[t.Tuple[int, int]]:
    """Returns running and waiting requests of ``running,waiting,slots``; ``None`` if malformed."""
    parts = value.split(b",")
    try:
        return int(parts[0]), int(parts[1])
    except (ValueError, IndexError):
        return None


def parse_pace(value: bytes) -> t.Optional[int]:
    """Returns the pace of ``running,waiting,slots,pace``; ``None`` if missing or malformed."""
    parts = value.split(b",")
    try:
        pace = int(parts[3])
    except (ValueError, IndexError):
        return None
    return pace if 0 < pace <= _MAX_PACE else None


def parse_flag(value: bytes) -> bool:
    """Whether a flag is set, which any value does that is neither empty nor negative."""
    return value.strip().lower() not in _FALSE_VALUES


def parse_limit(value: bytes) -> t.Optional[float]:
    """Returns a target's limit in requests per second; ``None`` if it is malformed."""
    try:
        rate_per_s = float(value)
    except ValueError:
        return None
    return rate_per_s if math.isfinite(rate_per_s) and rate_per_s >= 0 else None
