"""Service-level burn: how fast a service uses up the errors that its objective allows."""

import array
import typing as t

import msgspec
from hdrh.histogram import HdrHistogram

from .bundle import Objective
from .clock import Clock

#: Windows over which burn is reckoned, in seconds, by name.
WINDOWS_S: t.Dict[str, int] = {"5m": 300, "1h": 3600, "6h": 21600}
#: Length of one bucket of counts, in seconds.
BUCKET_S = 10
_BUCKETS = max(WINDOWS_S.values()) // BUCKET_S
_MICROSECONDS = 1_000_000
_LONGEST_US = 120 * _MICROSECONDS
_SIGNIFICANT_DIGITS = 2


class BurnReport(msgspec.Struct, frozen=True, kw_only=True):
    """Burn and latency of one service at one entry."""

    objective: Objective
    #: Requests in the longest window, and those that were not answered well.
    total: int
    bad: int
    #: Share of the longest window's error budget that is left; below 0 when overspent.
    budget_left: float
    #: Bad share over allowed share, by name of the window; 1 spends the budget exactly.
    burn_by_window: t.Dict[str, float]
    #: Seconds, since the entry started.
    p50_s: float
    p99_s: float
    p999_s: float


class BurnRecorder:
    """Counts the answers of one service in buckets of :data:`BUCKET_S` seconds.

    :param clock: the VM's clocks.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._total = array.array("L", bytes(array.array("L").itemsize * _BUCKETS))
        self._bad = array.array("L", self._total)
        self._newest = self._bucket()
        self._histogram = HdrHistogram(1, _LONGEST_US, _SIGNIFICANT_DIGITS)

    def record(self, answered: bool, seconds: float, objective: Objective) -> None:
        """Count one request.

        :param answered: whether the caller got the answer it asked for.
        :param seconds: from the request's head to the end of its answer.
        :param objective: decides whether the answer came in time.
        """
        self._advance()
        position = self._newest % _BUCKETS
        self._total[position] += 1
        if not answered or seconds * 1000 > objective.latency_ms:
            self._bad[position] += 1
        microseconds = min(max(int(seconds * _MICROSECONDS), 1), _LONGEST_US)
        self._histogram.record_value(microseconds)

    def report(self, objective: Objective) -> BurnReport:
        """What was counted, measured by ``objective``."""
        self._advance()
        allowed = max(1.0 - objective.availability, 1e-9)
        burn_by_window = {}
        total = bad = 0
        for name, seconds in WINDOWS_S.items():
            total, bad = self._counts(seconds)
            burn_by_window[name] = bad / total / allowed if total else 0.0
        budget_left = 1.0 - bad / total / allowed if total else 1.0
        return BurnReport(
            objective=objective,
            total=total,
            bad=bad,
            budget_left=budget_left,
            burn_by_window=burn_by_window,
            p50_s=self._percentile(50.0),
            p99_s=self._percentile(99.0),
            p999_s=self._percentile(99.9),
        )

    def _bucket(self) -> int:
        return int(self._clock.monotonic() // BUCKET_S)

    def _advance(self) -> None:
        bucket = self._bucket()
        first = max(self._newest + 1, bucket - _BUCKETS + 1)
        for passed in range(first, bucket + 1):
            self._total[passed % _BUCKETS] = 0
            self._bad[passed % _BUCKETS] = 0
        self._newest = max(self._newest, bucket)

    def _counts(self, seconds: int) -> t.Tuple[int, int]:
        total = bad = 0
        oldest = self._newest - seconds // BUCKET_S + 1
        for bucket in range(oldest, self._newest + 1):
            total += self._total[bucket % _BUCKETS]
            bad += self._bad[bucket % _BUCKETS]
        return total, bad

    def _percentile(self, percentile: float) -> float:
        value: int = self._histogram.get_value_at_percentile(percentile)
        return value / _MICROSECONDS
