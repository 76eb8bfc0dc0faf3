"""Fingerprints: name what a target is given of a request, so that it is known when it comes again.

Each attempt of a caller has its own id, and any entry may get it. What a target does with it
follows from method, host, path, the object that it concerns, the caller's credentials and its body,
and from nothing else that a target is given. The caller's address is kept beside it: targets never
see it, but a request of another caller may differ in what nobody here looks at.
"""

import hashlib
import typing as t

import msgspec

_BYTES = 8

#: Names a caller by its address.
CallerDigest = t.NewType("CallerDigest", int)
#: Names method, host, path, object and credentials of a request.
HeadDigest = t.NewType("HeadDigest", int)


class Fingerprint(msgspec.Struct, frozen=True, array_like=True):
    """One request, however often it comes."""

    head: HeadDigest
    body: int

    def __str__(self) -> str:
        return f"{self.head:016x}{self.body:016x}"


def head_digest(
    method: str, host: str, path: str, object_key: t.Optional[bytes], credentials: t.Optional[bytes]
) -> HeadDigest:
    """Names a request without its body.

    :param path: with its query.
    :param object_key: what the request concerns, if its caller says.
    :param credentials: what the caller proves itself by, if anything.
    """
    parts = (method.encode(), host.encode(), path.encode(), object_key or b"", credentials or b"")
    return HeadDigest(_digest(b"\0".join(parts), b"head"))


def fingerprint(head: HeadDigest, body: bytes) -> Fingerprint:
    """Names a request.

    :param body: all of it.
    """
    return Fingerprint(head, _digest(body, b"body") if body else 0)


def caller_digest(address: str) -> CallerDigest:
    """Names a caller.

    :param address: its IP number.
    """
    return CallerDigest(_digest(address.encode(), b"caller"))


def _digest(data: bytes, purpose: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(data, digest_size=_BYTES, person=purpose).digest(), "big")
