"""Demand: the most slots of a service that were wanted at once in the recent past."""


class PeakDemand:
    """The largest value of the last one to two windows.

    :param window_s: length of a window in seconds.
    """

    __slots__ = ("_before", "_now_started_at", "_peak", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._now_started_at = -float("inf")
        self._peak = 0
        self._before = 0

    def record(self, value: int, now: float) -> None:
        """Take in that ``value`` slots were wanted at the monotonic time ``now``."""
        self._roll(now)
        self._peak = max(self._peak, value)

    def peak(self, now: float) -> int:
        """The largest value recorded within the last window, and at most one before."""
        self._roll(now)
        return max(self._peak, self._before)

    def _roll(self, now: float) -> None:
        passed = now - self._now_started_at
        if passed < self._window_s:
            return
        self._before = self._peak if passed < 2 * self._window_s else 0
        self._peak = 0
        self._now_started_at = now
