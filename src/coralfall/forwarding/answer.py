"""What a caller is answered: a whole body, or a first part and a stream of the rest."""

import math
import typing as t

import msgspec

from .. import defaults
from ..bundles.bundle import Service
from ..exceptions import (
    ClaimBusyError,
    ClaimMismatchError,
    ClaimUnknownError,
    CoralfallError,
    RequestError,
    TargetTimeoutError,
    TargetUnknownError,
)
from ..ids import BundleVersion, Outcome

Headers = t.List[t.Tuple[bytes, bytes]]


class BodyStream(t.Protocol):
    """The rest of a long body; the one who has it calls :meth:`abort` if it does not end."""

    async def piece(self) -> bytes:
        """The next part of the body, empty at its end.

        :raises TargetError: if the body breaks off.
        """

    def abort(self) -> None:
        """End the exchange; does nothing if the body was read to its end."""


class Answer(msgspec.Struct):
    """One answer to one request."""

    status: int
    headers: Headers
    #: The body, or its first part if there is a stream.
    body: bytes
    outcome: Outcome
    version: BundleVersion = BundleVersion(0)
    stream: t.Optional[BodyStream] = None
    #: Rules of the service that was asked, if there is such a service.
    rules: t.Optional[Service] = None
    #: Why the request was refused, where its error says so.
    reason: t.Optional[str] = None

    def all_headers(self) -> Headers:
        """Headers together with those that every answer carries."""
        fields = list(self.headers)
        fields.append((_OUTCOME, self.outcome.value.encode()))
        fields.append((_VERSION, str(self.version).encode()))
        return fields


def answer_of(error: CoralfallError, outcome: Outcome) -> Answer:
    """The answer that tells a caller of an error, with when to come back if it may.

    :param outcome: what is known of the request.
    """
    body = msgspec.json.encode({**error.as_dict(), "outcome": outcome.value})
    headers: Headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    status = _status_of(error)
    if status == 503 or isinstance(error, ClaimBusyError):
        headers += _retry_after(getattr(error, "retry_after", defaults.RETRY_AFTER_S))
    return Answer(status, headers, body, outcome, reason=error.fields.get("reason"))


def _status_of(error: CoralfallError) -> int:
    if isinstance(error, RequestError):
        return error.status
    if isinstance(error, ClaimMismatchError):
        return 422
    if isinstance(error, (ClaimBusyError, ClaimUnknownError)):
        return 409
    if isinstance(error, TargetTimeoutError):
        return 504
    if isinstance(error, TargetUnknownError):
        return 502
    return 503


def _retry_after(seconds: float) -> Headers:
    whole = max(1, math.ceil(seconds))
    milliseconds = max(1, math.ceil(seconds * 1000))
    return [
        (b"retry-after", str(whole).encode()),
        (_RETRY_AFTER_MS, str(milliseconds).encode()),
    ]


_OUTCOME = defaults.HEADER_OUTCOME.encode()
_VERSION = defaults.HEADER_VERSION.encode()
_RETRY_AFTER_MS = defaults.HEADER_RETRY_AFTER_MS.encode()
