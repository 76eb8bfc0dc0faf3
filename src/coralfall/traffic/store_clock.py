"""Store clock: an upper bound of the store's monotonic clock, by which the age of rows is measured.

Rows are valid as of the time at which the store answered, which it states by its own clock. Entries
pass that time on with the rows, so that it does not depend on how long a message takes. If they
counted from the arrival of a message instead, each hop would make rows appear younger: entries that
exchange messages often enough would take each other's rows for fresh, and none would read the
store any more.
"""

import typing as t

if t.TYPE_CHECKING:
    from ..process.clock import Clock

#: Most that two monotonic clocks drift apart, in seconds a second.
_MAX_DRIFT = 2e-4
#: Seconds by which a time of the store's clock may seem to be in the future; if it is more, the
#: store's clock has jumped.
_MAX_AHEAD_S = 0.5


class StoreClock:
    """Bound of the offset between this entry's clock and the store's.

    It keeps a bound, not an estimate: the store's clock showed a time no earlier, by this entry's
    clock, than that time plus the offset. Each observation may tighten the bound; only the assumed
    drift loosens it.

    :param clock: this entry's clocks.
    """

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        self._offset_s: t.Optional[float] = None
        self._observed_at = 0.0

    def observe(self, asked_at: float, store_s: float) -> None:
        """Takes a time of the store's clock from an answer.

        :param asked_at: monotonic time at which the request was sent.
        :param store_s: upper bound of the store's clock at the time of the answer.
        """
        now = self._clock.monotonic()
        found_s = asked_at - store_s
        known_s = self._offset_at(now)
        if known_s is not None and store_s + known_s <= now + _MAX_AHEAD_S:
            found_s = max(found_s, known_s)
        self._offset_s = found_s
        self._observed_at = now

    def latest_s(self) -> t.Optional[float]:
        """Returns an upper bound of the store's clock now; ``None`` before any observation."""
        now = self._clock.monotonic()
        offset_s = self._offset_at(now)
        return None if offset_s is None else now - offset_s

    def age_s(self, store_s: float) -> float:
        """Returns an upper bound of the seconds since the store's clock showed ``store_s``.

        It is infinite before any observation, and for a time that seems to be in the future.
        """
        now = self._clock.monotonic()
        offset_s = self._offset_at(now)
        if offset_s is None or store_s + offset_s > now + _MAX_AHEAD_S:
            return float("inf")
        return max(0.0, now - (store_s + offset_s))

    def _offset_at(self, now: float) -> t.Optional[float]:
        if self._offset_s is None:
            return None
        return self._offset_s - _MAX_DRIFT * (now - self._observed_at)
