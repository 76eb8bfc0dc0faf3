"""The store's steady clock: what tells entries, whose own clocks differ, how old knowledge is.

Rows are as they were when the store answered, and the store says when that was by its own clock.
Entries hand that time on with the rows, however long a message takes. To count from when a message
arrives instead would make rows younger by its way, and by every further way: entries that tell each
other often enough would hold each other's knowledge for fresh, and nobody would read any more.
"""

import typing as t

if t.TYPE_CHECKING:
    from ..process.clock import Clock

#: By how much two steady clocks may drift apart in a second, in seconds.
_DRIFT = 2e-4
#: Seconds by which a time of the store's clock may seem to lie ahead; beyond, the clock has jumped.
_MAX_AHEAD_S = 0.5


class StoreClock:
    """What an entry knows of the store's clock.

    It keeps a bound and no estimate: the store's clock showed a time no earlier, by this entry's
    clock, than that time plus the offset. The bound only gets tighter but for drift.

    :param clock: this entry's clocks.
    """

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        self._offset: t.Optional[float] = None
        self._observed_at = 0.0

    def observe(self, asked_at: float, store_s: float) -> None:
        """Take in what the store's clock showed at the most when an answer was given.

        :param asked_at: monotonic time at which the question was sent.
        """
        now = self._clock.monotonic()
        found = asked_at - store_s
        known = self._offset_at(now)
        if known is not None and store_s + known <= now + _MAX_AHEAD_S:
            found = max(found, known)
        self._offset = found
        self._observed_at = now

    def latest_s(self) -> t.Optional[float]:
        """What it may show now at the most; ``None`` if nothing is known of it."""
        now = self._clock.monotonic()
        offset = self._offset_at(now)
        return None if offset is None else now - offset

    def age_s(self, store_s: float) -> float:
        """Seconds since it showed ``store_s``, at the most; infinite if nothing is known of it."""
        now = self._clock.monotonic()
        offset = self._offset_at(now)
        if offset is None or store_s + offset > now + _MAX_AHEAD_S:
            return float("inf")
        return max(0.0, now - (store_s + offset))

    def _offset_at(self, now: float) -> t.Optional[float]:
        if self._offset is None:
            return None
        return self._offset - _DRIFT * (now - self._observed_at)
