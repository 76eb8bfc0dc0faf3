"""Names on the wire that the users choose: headers that the request path reads and writes."""

import math
import typing as t

import msgspec

_UNSET = frozenset((b"", b"0", b"false", b"no"))


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
    """Header names, in lower case, and the name of the cookie with the object's key."""

    #: Names one attempt of a caller; targets echo it.
    request_id: bytes
    #: Milliseconds that the caller, and so the target, will wait.
    time_left: bytes
    #: Marks a whole answer of a target.
    signature: bytes
    #: Target that must run the request; any other answers 421.
    expected_target: bytes
    #: Target's word that it did not run the request.
    not_run: bytes
    #: Target's load: running, waiting, slots.
    load: bytes
    #: Requests a second that a target takes from all entries together.
    limit: bytes
    #: Target's word that its lifetime ends soon.
    leaving: bytes
    #: Time for which a target that rejected a request wants no other from the entry.
    retry_after: bytes
    #: Cookie that names the object that a request concerns.
    affinity_cookie: bytes
    #: Key of a caller's tenant; targets never get it.
    credential: bytes
    #: Tenant of a request, as targets are told it; what a caller says in it counts for nothing.
    tenant: bytes

    def response_headers(self) -> t.FrozenSet[bytes]:
        """Names that targets' answers bear and that are read here."""
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
        """The object's key, from a caller's cookies."""
        for name, value in headers:
            if name != b"cookie":
                continue
            for part in value.split(b";"):
                key, _, found = part.strip().partition(b"=")
                if key == self.affinity_cookie:
                    return found
        return None


def parse_load(value: bytes) -> t.Optional[t.Tuple[int, int]]:
    """Running and waiting requests of ``running,waiting,slots``; ``None`` if it can't be read."""
    parts = value.split(b",")
    try:
        return int(parts[0]), int(parts[1])
    except (ValueError, IndexError):
        return None


def parse_flag(value: bytes) -> bool:
    """Whether a flag is set; any word but an empty or a negative one sets it."""
    return value.strip().lower() not in _UNSET


def parse_limit(value: bytes) -> t.Optional[float]:
    """Requests a second of a target's limit; ``None`` if it can't be read."""
    try:
        rate_per_s = float(value)
    except ValueError:
        return None
    return rate_per_s if math.isfinite(rate_per_s) and rate_per_s >= 0 else None
