"""Fingerprints: identify a request by its content, so that repetitions of it are recognized.

Each attempt of a caller has its own id and may reach any entry. The behaviour of a target depends
on method, host, path, affinity object, credentials and body of the request, and on nothing else
that it receives; these are hashed (BLAKE2b). The caller's address is hashed separately: targets
never see it, but a request of another caller may differ in parts that the fingerprint leaves out.
"""

import hashlib
import typing as t

import msgspec

_DIGEST_BYTES = 8

#: Hash of a caller's address.
CallerDigest = t.NewType("CallerDigest", int)
#: Hash of method, host, path, object and credentials of a request.
HeadDigest = t.NewType("HeadDigest", int)


class Fingerprint(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a request across all of its attempts."""

    head: HeadDigest
    body: int

    def __str__(self) -> str:
        return f"{self.head:016x}{self.body:016x}"


def head_digest(
    method: str, host: str, path: str, object_key: t.Optional[bytes], credentials: t.Optional[bytes]
) -> HeadDigest:
    """Hashes a request without its body.

    :param path: path with the query.
    :param object_key: object that the request concerns, if the caller names one.
    :param credentials: credentials of the caller, if any.
    """
    parts = (method.encode(), host.encode(), path.encode(), object_key or b"", credentials or b"")
    return HeadDigest(_digest(b"\0".join(parts), b"head"))


def fingerprint(head: HeadDigest, body: bytes) -> Fingerprint:
    """Fingerprint of a request.

    :param body: the whole body.
    """
    return Fingerprint(head, _digest(body, b"body") if body else 0)


def caller_digest(address: str) -> CallerDigest:
    """Hashes the address of a caller.

    :param address: IP address.
    """
    return CallerDigest(_digest(address.encode(), b"caller"))


def _digest(data: bytes, purpose: bytes) -> int:
    return int.from_bytes(
        hashlib.blake2b(data, digest_size=_DIGEST_BYTES, person=purpose).digest(), "big"
    )
