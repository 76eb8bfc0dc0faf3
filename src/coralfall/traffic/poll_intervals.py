"""Intervals at which rows are read from the store, so that changes come into force in time.

The intervals in :mod:`coralfall.defaults` fit a bound of two seconds, of which they use 1.4 in the
worst case. A tighter bound scales all of them down alike. A looser one does not lengthen them:
early knowledge serves callers better, and slow links need the time that is left.
"""

import typing as t

from .. import defaults

#: Lower bound of the scale. Without it, a bound of 2 ms, which no store can meet, would cause 2,000
#: reads per second instead of 21 (12 entries, virtual time, a store that answers at once).
_MIN_SCALE = 0.1


class PollIntervals(t.NamedTuple):
    """Ages at which an entry reads the rows again."""

    #: For the entry that reads on behalf of all.
    interval_s: float
    #: For the next entry by rank, the increment for each further rank, and its upper bound.
    stale_s: float
    rank_s: float
    max_rank_s: float

    def due_age_s(self, rank: int, held: bool) -> float:
        """Returns the age at which an entry of a rank reads the rows.

        :param held: whether the store holds a read of the first entry (long polling).
        """
        if not rank:
            return 0.0 if held else self.interval_s
        return self.stale_s + min(self.rank_s * rank, self.max_rank_s)


def poll_intervals_for(bound_s: float) -> PollIntervals:
    """Returns the intervals for a bound on the time until a change in the store is in force."""
    scale = min(1.0, max(_MIN_SCALE, bound_s / defaults.PACE_REFERENCE_BOUND_S))
    return PollIntervals(
        defaults.STORE_READ_INTERVAL_S * scale,
        defaults.STORE_READ_STALE_S * scale,
        defaults.STORE_READ_RANK_DELAY_S * scale,
        defaults.MAX_STORE_READ_RANK_DELAY_S * scale,
    )
