"""Request fingerprints: hashes that identify repeats of a request, computed once and on demand."""

import typing as t

from ..placement.fingerprint import fingerprint, head_digest

if t.TYPE_CHECKING:
    from ..placement.fingerprint import Fingerprint, HeadDigest
    from .steered_request import SteeredRequest
    from .wire import HeaderNames


class RequestFingerprints:
    """Computes the hashes of requests and keeps them with the request.

    :param names: header names.
    """

    def __init__(self, names: "HeaderNames") -> None:
        self._names = names

    def fingerprint_of(self, request: "SteeredRequest") -> "t.Optional[Fingerprint]":
        """Returns the hash that identifies repeats; ``None`` if the body is not buffered whole."""
        if request.fingerprint is None:
            body = request.body.whole if request.body is not None else b""
            if body is None:
                return None
            request.fingerprint = fingerprint(self.head_of(request), body)
        return request.fingerprint

    def head_of(self, request: "SteeredRequest") -> "HeadDigest":
        """Returns the hash of everything but the body."""
        if request.head_digest is None:
            request.head_digest = head_digest(
                request.method,
                request.host,
                request.path,
                self._names.affinity_key(request.headers),
                _credentials_of(request),
            )
        return request.head_digest


def _credentials_of(request: "SteeredRequest") -> t.Optional[bytes]:
    """Returns what tells a target who the caller is: the tenant's id or the credentials."""
    if request.tenant is not None:
        return request.tenant.tenant_id.encode()
    for field, value in request.headers:
        if field == b"authorization":
            return value
    return None
