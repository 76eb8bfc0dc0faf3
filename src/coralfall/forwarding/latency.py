"""Latency of one service: a histogram that can be added to those of other entries."""

import typing as t

from hdrh.histogram import HdrHistogram

from ..exceptions import StatusError
from ..process.clock import Clock

#: Seconds after which a new histogram is begun; the one before it is kept as long again.
PERIOD_S = 1800.0
_MICROSECONDS = 1_000_000
_LONGEST_US = 120 * _MICROSECONDS
#: Percentiles are right to one part in a hundred.
_SIGNIFICANT_DIGITS = 2


class LatencyRecorder:
    """Latencies of the last 30 to 60 minutes.

    Two histograms of :data:`PERIOD_S` take turns, so that old latencies fade and memory stays
    the same however long the entry runs.

    :param clock: the VM's clocks.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._current = _new_histogram()
        self._previous = _new_histogram()
        self._began_at = clock.monotonic()

    def record(self, seconds: float) -> None:
        """Take in one latency; it is counted as 120 s at most."""
        self._advance()
        microseconds = int(seconds * _MICROSECONDS)
        self._current.record_value(min(max(microseconds, 1), _LONGEST_US))

    def encode(self) -> str:
        """All counts, for :class:`LatencyTotal`."""
        self._advance()
        whole = _new_histogram()
        whole.add(self._current)
        whole.add(self._previous)
        encoded: bytes = whole.encode()
        return encoded.decode("ascii")

    def _advance(self) -> None:
        passed = self._clock.monotonic() - self._began_at
        if passed < PERIOD_S:
            return
        self._previous, self._current = self._current, self._previous
        self._current.reset()
        if passed >= 2 * PERIOD_S:
            self._previous.reset()
        self._began_at += passed // PERIOD_S * PERIOD_S


class LatencyTotal:
    """Sum of the counts of several recorders.

    Percentiles of the sum are those of all latencies together, which no mean of percentiles is.
    """

    def __init__(self) -> None:
        self._histogram = _new_histogram()

    def add(self, encoded: str) -> None:
        """Add what :meth:`LatencyRecorder.encode` gave.

        :raises StatusError: if it is something else.
        """
        try:
            self._histogram.decode_and_add(encoded)
        except Exception as error:  # The decoder raises whatever its parts do.
            raise StatusError(f"a latency histogram can't be read: {error!r}") from error

    def encode(self) -> str:
        """All counts, to be added to others."""
        encoded: bytes = self._histogram.encode()
        return encoded.decode("ascii")

    @property
    def count(self) -> int:
        """How many latencies were counted."""
        count: int = self._histogram.get_total_count()
        return count

    def percentile_s(self, percentile: float) -> t.Optional[float]:
        """Seconds within which ``percentile`` per cent were; ``None`` if there are none."""
        if not self.count:
            return None
        value: int = self._histogram.get_value_at_percentile(percentile)
        return value / _MICROSECONDS


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, _LONGEST_US, _SIGNIFICANT_DIGITS)
