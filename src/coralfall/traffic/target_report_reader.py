"""Answer reports: reads what a target says of itself in the head of an answer.

Only here are the headers read that tell of a target rather than of a request. A header that
nobody reads, and that is no field of HTTP itself, is logged once: its meaning may have to be kept.
"""

import datetime
import email.utils
import math
import re
import typing as t

from ..placement.target_reports import TargetReport
from ..process import log
from .wire import parse_flag, parse_limit, parse_load

if t.TYPE_CHECKING:
    from ..process.clock import Clock
    from .connection import ServerResponse
    from .model import Target
    from .wire import HeaderNames

#: Statuses with which a target rejects a request and may name a cooldown.
_REJECTIONS = frozenset((429, 503))
_FIRST_SERVER_ERROR = 500
_DECIMAL = re.compile(rb"\s*\d+(\.\d*)?\s*")
#: Most names of headers that nobody reads that are remembered and logged.
_MAX_UNREAD = 32
#: Fields of HTTP that mean nothing to an entry beyond their way through it, or are read where the
#: answer's framing is.
_PLAIN = frozenset(
    (
        b"accept-ranges",
        b"age",
        b"allow",
        b"cache-control",
        b"connection",
        b"content-disposition",
        b"content-encoding",
        b"content-language",
        b"content-length",
        b"content-location",
        b"content-range",
        b"content-type",
        b"date",
        b"etag",
        b"expires",
        b"keep-alive",
        b"last-modified",
        b"location",
        b"server",
        b"set-cookie",
        b"trailer",
        b"transfer-encoding",
        b"vary",
        b"via",
        b"www-authenticate",
    )
)


class TargetReportReader:
    """Reads reports from answers.

    :param names: header names.
    :param clock: tells the time that a date is compared with.
    """

    def __init__(self, names: "HeaderNames", clock: "Clock") -> None:
        self._names = names
        self._clock = clock
        self._read = _PLAIN | names.response_headers()
        #: Names of headers of answers that nobody reads.
        self.unread_headers: t.Set[bytes] = set()

    def read(self, answer: "ServerResponse", target: "Target") -> TargetReport:
        """What an answer says of its target; words that can't be read say nothing."""
        names = self._names
        self._note_unread(answer, target)
        load = answer.header(names.load)
        limit = answer.header(names.limit)
        leaving = answer.header(names.leaving)
        signed = answer.header(names.signature) is not None
        return TargetReport(
            load=parse_load(load) if load is not None else None,
            limit_per_s=parse_limit(limit) if limit is not None else None,
            unlimited=limit is None and signed and answer.status < _FIRST_SERVER_ERROR,
            leaving=leaving is not None and parse_flag(leaving),
            cooldown_s=self._cooldown_s(answer),
        )

    def _cooldown_s(self, answer: "ServerResponse") -> t.Optional[float]:
        if answer.status not in _REJECTIONS:
            return None
        value = answer.header(self._names.retry_after)
        if value is None:
            return None
        if _DECIMAL.fullmatch(value) is None:
            return self._seconds_until(value, answer.header(b"date"))
        seconds = float(value)
        return seconds if math.isfinite(seconds) and seconds > 0 else None

    def _seconds_until(self, value: bytes, dated: t.Optional[bytes]) -> t.Optional[float]:
        """Seconds until an HTTP date, by the target's own clock if the answer tells it."""
        until = _timestamp(value)
        if until is None:
            return None
        now = _timestamp(dated) if dated is not None else None
        seconds = until - (self._clock.wall() if now is None else now)
        return seconds if seconds > 0 else None

    def _note_unread(self, answer: "ServerResponse", target: "Target") -> None:
        for name, _ in answer.headers:
            if (
                name in self._read
                or name in self.unread_headers
                or len(self.unread_headers) >= _MAX_UNREAD
            ):
                continue
            self.unread_headers.add(name)
            log.info(
                "target.header-unread",
                header=name.decode("latin-1"),
                target=target.target_id,
                service=target.service,
            )


def _timestamp(value: bytes) -> t.Optional[float]:
    """Seconds since the Unix epoch of an HTTP date, as RFC 9110 (section 5.6.7) has it."""
    try:
        date = email.utils.parsedate_to_datetime(value.decode("latin-1"))
    except (ValueError, OverflowError):
        return None
    if date.tzinfo is None:
        date = date.replace(tzinfo=datetime.timezone.utc)
    return date.timestamp()
