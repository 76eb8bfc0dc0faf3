"""Load reports of one target as its dispatcher reads them: load that is unknown to it, and pace.

Both decay exponentially with the age of the report.
"""

from .. import defaults

#: Seconds after which a reported pace counts for half: it changes many times a second.
_PACE_HALF_LIFE_S = 0.3


class LoadReports:
    """What a target last reported of its load."""

    __slots__ = ("_pace_at", "_pace_deviation", "_unknown", "_unknown_at", "pace_reported_at")

    def __init__(self) -> None:
        self._unknown = 0
        self._unknown_at = -float("inf")
        self._pace_deviation = 0.0
        self._pace_at = -float("inf")
        #: Monotonic time at which the target last reported a pace to this entry itself.
        self.pace_reported_at = -float("inf")

    def record_load(self, now: float, load: int, in_flight: int) -> None:
        """Records the load of a report.

        :param load: running and waiting requests.
        :param in_flight: requests that were known to be in flight when the report was made, the
            answered one included. Targets differ in whether their report includes that one; where
            it does not, the unknown load is one too low rather than one too high.
        """
        self._unknown = max(0, load - in_flight)
        self._unknown_at = now

    def unknown_load(self, now: float) -> float:
        """Estimated number of requests at the target beyond those known to be in flight."""
        if not self._unknown:
            return 0.0
        return float(self._unknown * 0.5 ** ((now - self._unknown_at) / defaults.LOAD_HALF_LIFE_S))

    def record_pace(self, now: float, pace: int) -> None:
        """Records a reported pace.

        :param pace: how long work takes, in percent of the usual time.
        """
        self._pace_deviation = pace / 100 - 1
        self._pace_at = now

    def pace(self, now: float) -> float:
        """Estimated time that work takes now, as a multiple of the usual time."""
        if not self._pace_deviation:
            return 1.0
        age_s = now - self._pace_at
        return float(1 + self._pace_deviation * 0.5 ** (age_s / _PACE_HALF_LIFE_S))
