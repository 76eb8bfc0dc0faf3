"""Replies to callers, made from a target's response or from an error of the entry."""

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
    from .response_parser import Headers, ServerResponse

_STRIPPED_HEADERS = HOP_BY_HOP | {b"content-length", b"date"}
#: ``Retry-After`` in seconds if the error names none.
_RETRY_AFTER_S = 0.1
_NO_BODY_STATUSES = frozenset((204, 304))


class Reply(msgspec.Struct):
    """A complete reply to a caller."""

    status: int
    headers: "Headers"
    body: bytes
    outcome: Outcome
    #: Short code of the reason, for logs and metrics.
    reason: str
    #: Data that the decision was based on, for logs; empty if the reason suffices.
    detail: str = ""


def reply_from_response(response: "ServerResponse", bodiless: bool) -> Reply:
    """Returns a target's response as a reply, without the hop-by-hop headers."""
    connection_options: t.Set[bytes] = set()
    for name, value in response.headers:
        if name == b"connection":
            connection_options.update(part.strip().lower() for part in value.split(b","))
    stripped = _STRIPPED_HEADERS | connection_options
    headers = [field for field in response.headers if field[0] not in stripped]
    if bodiless:
        length = response.header(b"content-length")
        if length is not None:
            headers.append((b"content-length", length))
    elif response.status not in _NO_BODY_STATUSES:
        headers.append((b"content-length", str(len(response.body)).encode()))
    return Reply(response.status, headers, response.body, Outcome.DONE, "answered")


def reply_from_error(error: CoralfallError) -> Reply:
    """Returns the reply to a request that no target answered.

    The statuses 429 and 503 guarantee that the request did not run and never will; 502 and 504
    guarantee nothing.
    """
    status, outcome = _status_of(error)
    body = msgspec.json.encode({"code": error.code, "message": error.message})
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    if status in (429, 503):
        retry_after_s = error.fields.get("come_back_s", _RETRY_AFTER_S)
        if isinstance(error, RetryLaterError):
            retry_after_s = error.retry_after
        headers.append((b"retry-after", f"{retry_after_s:.3f}".encode()))
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
