"""Retries: how many more requests than callers sent may reach targets."""

import typing as t

from .. import defaults

#: Part of the retry budget that hedges may use.
HEDGE_PART = 0.2
#: Share of answers that come before a hedge is sent.
HEDGE_PERCENTILE = 95.0
#: Answers that must have been seen before hedging starts.
HEDGE_MIN_COUNT = 100
#: Shortest wait before a hedge, in seconds.
HEDGE_MIN_DELAY_S = 0.005

#: One token, less what adding up ratios may lose.
_ONE = 1 - 1e-9


class LatencyHistogram(t.Protocol):
    """What :func:`hedge_delay` needs of an ``hdrh.histogram.HdrHistogram``."""

    def get_total_count(self) -> int: ...

    def get_value_at_percentile(self, percentile: float) -> float: ...


class RetryBudget:
    """Bounds retries and hedges together to a share of the requests.

    Of ``n`` requests of callers at most ``ratio * n`` are sent again since the start, whatever
    fails, and of any ``n`` requests in a row at most ``burst + ratio * n``. It is empty at first,
    so that an entry that starts again and again sends no more than one that runs. Hedges are
    among them, and have at most ``HEDGE_PART`` of both.

    :param ratio: retries that each request earns.
    :param burst: most that is saved up.
    """

    def __init__(
        self, ratio: float = defaults.RETRY_RATIO, burst: float = defaults.RETRY_BURST
    ) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = 0.0
        self._hedge_tokens = 0.0

    def request(self) -> None:
        """Count one request of a caller, not its retries."""
        self._tokens = min(self._tokens + self._ratio, self._burst)
        hedges = self._hedge_tokens + self._ratio * HEDGE_PART
        self._hedge_tokens = min(hedges, self._burst * HEDGE_PART)

    def take(self) -> bool:
        """Whether one retry may be sent; if so, it is counted."""
        if self._tokens < _ONE:
            return False
        self._tokens -= 1
        return True

    def take_hedge(self) -> bool:
        """Whether one hedge may be sent; if so, it is counted."""
        if self._hedge_tokens < _ONE or not self.take():
            return False
        self._hedge_tokens -= 1
        return True


def hedge_delay(histogram: LatencyHistogram) -> t.Optional[float]:
    """Seconds to wait for an answer before a read is hedged; ``None`` for not at all yet.

    :param histogram: latencies of the service's reads in microseconds.
    """
    if histogram.get_total_count() < HEDGE_MIN_COUNT:
        return None
    delay = histogram.get_value_at_percentile(HEDGE_PERCENTILE) / 1e6
    return max(delay, HEDGE_MIN_DELAY_S)
