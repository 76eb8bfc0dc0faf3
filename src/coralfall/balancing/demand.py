"""Peak demand for slots of a service over a sliding window."""


class PeakDemand:
    """Maximum over the current and the previous fixed window.

    :param window_s: length of a window in seconds.
    """

    __slots__ = ("_peak", "_previous_peak", "_window_number", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._window_number = 0
        self._peak = 0
        self._previous_peak = 0

    def record(self, value: int, now: float) -> None:
        """Records that ``value`` slots were wanted at the monotonic time ``now``."""
        self._advance_window(now)
        self._peak = max(self._peak, value)

    def peak(self, now: float) -> int:
        """Returns the largest value of the last one to two windows."""
        self._advance_window(now)
        return max(self._peak, self._previous_peak)

    def _advance_window(self, now: float) -> None:
        window_number = int(now // self._window_s)
        if window_number == self._window_number:
            return
        self._previous_peak = self._peak if window_number == self._window_number + 1 else 0
        self._peak = 0
        self._window_number = window_number
