"""Replies: what a caller is answered, by a target or by the entry itself."""

import typing as t

import msgspec

from ..exceptions import (
    CoralfallError,
    OverLimitError,
    RequestError,
    RetryLaterError,
    TargetNotRunError,
    TargetTimeoutError,
    TargetUnknownError,
)
from ..forwarding.headers import HOP_BY_HOP
from ..ids import Outcome

if t.TYPE_CHECKING:
    from .connection import Headers, ServerResponse

_DROPPED = HOP_BY_HOP | {b"content-length", b"date"}
#: Seconds after which a caller may come back if nothing else is known.
_COME_BACK_S = 0.1
_NO_BODY_STATUSES = frozenset((204, 304))


class Reply(msgspec.Struct):
    """A whole answer to a caller."""

    status: int
    headers: "Headers"
    body: bytes
    outcome: Outcome
    #: Why, in a word, for logs and metrics.
    reason: str
    #: What was known that decided it, for logs; empty if the reason says it all.
    detail: str = ""


def reply_from_response(answer: "ServerResponse", bodiless: bool) -> Reply:
    """What a caller gets of a target's answer: all of it but what concerns one connection."""
    named: t.Set[bytes] = set()
    for name, value in answer.headers:
        if name == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    dropped = _DROPPED | named
    headers = [field for field in answer.headers if field[0] not in dropped]
    if bodiless:
        length = answer.header(b"content-length")
        if length is not None:
            headers.append((b"content-length", length))
    elif answer.status not in _NO_BODY_STATUSES:
        headers.append((b"content-length", str(len(answer.body)).encode()))
    return Reply(answer.status, headers, answer.body, Outcome.DONE, "answered")


def reply_from_error(error: CoralfallError) -> Reply:
    """What a caller is told of a request that no target answered.

    429 and 503 promise that the request was not run and never will be; 502 and 504 promise nothing.
    """
    status, outcome = _status_of(error)
    body = msgspec.json.encode({"code": error.code, "message": error.message})
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    if status in (429, 503):
        seconds = error.fields.get("come_back_s", _COME_BACK_S)
        if isinstance(error, RetryLaterError):
            seconds = error.retry_after
        headers.append((b"retry-after", f"{seconds:.3f}".encode()))
    reason = str(error.fields.get("reason", error.code))
    return Reply(status, headers, body, outcome, reason, str(error.fields.get("detail", "")))


def _status_of(error: CoralfallError) -> t.Tuple[int, Outcome]:
    if isinstance(error, RequestError):
        return error.status, Outcome.NOT_RUN
    if isinstance(error, OverLimitError):
        return 429, Outcome.NOT_RUN
    if isinstance(error, TargetTimeoutError):
        return 504, Outcome.UNKNOWN
    if isinstance(error, TargetUnknownError):
        return 502, Outcome.UNKNOWN
    if isinstance(error, (RetryLaterError, TargetNotRunError)):
        return 503, Outcome.NOT_RUN
    return 502, Outcome.UNKNOWN
