"""Demand: the most slots of a service that were wanted at once in the recent past."""


class PeakDemand:
    """The largest value of the present window and the one before.

    :param window_s: length of a window in seconds.
    """

    __slots__ = ("_before", "_peak", "_window", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._window = 0
        self._peak = 0
        self._before = 0

    def record(self, value: int, now: float) -> None:
        """Take in that ``value`` slots were wanted at the monotonic time ``now``."""
        self._roll(now)
        self._peak = max(self._peak, value)

    def peak(self, now: float) -> int:
        """The largest value recorded lately: for one window surely, for two at most."""
        self._roll(now)
        return max(self._peak, self._before)

    def _roll(self, now: float) -> None:
        window = int(now // self._window_s)
        if window == self._window:
            return
        self._before = self._peak if window == self._window + 1 else 0
        self._peak = 0
        self._window = window
