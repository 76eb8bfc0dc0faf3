"""Reads what targets report about themselves in response headers: load, limit, departure, cooldown.

Headers that concern a target rather than a request are read here only. A header that no module
reads and that is not part of HTTP is logged once, since it may carry a rule that entries should
follow.
"""

import datetime
import email.utils
import math
import re
import typing as t

from ..placement.target_reports import TargetReport
from ..process import log
from .wire import parse_flag, parse_limit, parse_load, parse_pace

if t.TYPE_CHECKING:
    from ..process.clock import Clock
    from .model import Target
    from .response_parser import ServerResponse
    from .wire import HeaderNames

#: Statuses of rejections, which may name a cooldown.
_REJECTION_STATUSES = frozenset((429, 503))
_FIRST_SERVER_ERROR = 500
_DECIMAL = re.compile(rb"\s*\d+(\.\d*)?\s*")
#: Number of unread header names that are remembered and logged.
_MAX_UNREAD_HEADERS = 32
#: HTTP headers that an entry only passes on, or that are read where responses are framed.
_IGNORED_HEADERS = frozenset(
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
    """Reads target reports from responses.

    :param names: header names.
    :param clock: tells the time that dates are compared with.
    """

    def __init__(self, names: "HeaderNames", clock: "Clock") -> None:
        self._names = names
        self._clock = clock
        self._known_headers = _IGNORED_HEADERS | names.response_headers()
        #: Names of response headers that no module reads.
        self.unread_headers: t.Set[bytes] = set()

    def read(self, response: "ServerResponse", target: "Target") -> TargetReport:
        """Returns what a response reports about its target; malformed values are ignored."""
        names = self._names
        self._log_unread(response, target)
        load = response.header(names.load)
        limit = response.header(names.limit)
        leaving = response.header(names.leaving)
        is_signed = response.header(names.signature) is not None
        return TargetReport(
            load=parse_load(load) if load is not None else None,
            pace=parse_pace(load) if load is not None else None,
            limit_per_s=parse_limit(limit) if limit is not None else None,
            unlimited=limit is None and is_signed and response.status < _FIRST_SERVER_ERROR,
            leaving=leaving is not None and parse_flag(leaving),
            cooldown_s=self._cooldown_s(response),
        )

    def _cooldown_s(self, response: "ServerResponse") -> t.Optional[float]:
        if response.status not in _REJECTION_STATUSES:
            return None
        value = response.header(self._names.retry_after)
        if value is None:
            return None
        if _DECIMAL.fullmatch(value) is None:
            return self._seconds_until(value, response.header(b"date"))
        seconds = float(value)
        return seconds if math.isfinite(seconds) and seconds > 0 else None

    def _seconds_until(self, value: bytes, date_header: t.Optional[bytes]) -> t.Optional[float]:
        """Returns the seconds until an HTTP date, by the target's clock if its date is known."""
        until = _timestamp(value)
        if until is None:
            return None
        now = _timestamp(date_header) if date_header is not None else None
        seconds = until - (self._clock.wall() if now is None else now)
        return seconds if seconds > 0 else None

    def _log_unread(self, response: "ServerResponse", target: "Target") -> None:
        for name, _ in response.headers:
            if (
                name in self._known_headers
                or name in self.unread_headers
                or len(self.unread_headers) >= _MAX_UNREAD_HEADERS
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
    """Returns the Unix time of an HTTP date (RFC 9110, 5.6.7); ``None`` if malformed."""
    try:
        date = email.utils.parsedate_to_datetime(value.decode("latin-1"))
    except (ValueError, OverflowError):
        return None
    if date.tzinfo is None:
        date = date.replace(tzinfo=datetime.timezone.utc)
    return date.timestamp()
