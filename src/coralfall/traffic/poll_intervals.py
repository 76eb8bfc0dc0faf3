"""Pace: how often rows are read, so that what they say is in force in time.

The pauses in :mod:`coralfall.defaults` are made for a bound of two seconds, of which they use 1.4
in the worst case. A tighter bound shortens all of them alike. A looser one lengthens none: what
is known sooner serves callers better, and slow links need the rest.
"""

import typing as t

from .. import defaults

#: Least part of the usual pauses. Without it a bound of 2 ms, which no store can keep, costs 2,000
#: reads a second, and 21 with it (12 entries on virtual time, a store that answers at once).
_LEAST_PART = 0.1


class PollIntervals(t.NamedTuple):
    """Ages of knowledge, in seconds, at which it is read anew."""

    #: For the entry that reads for all.
    interval_s: float
    #: For the first of the others, what each next one adds, and the most that is added.
    stale_s: float
    rank_s: float
    max_rank_s: float

    def due_age_s(self, rank: int, held: bool) -> float:
        """The age at which an entry of this rank reads.

        :param held: whether the store holds a read of the first in rank for an interval.
        """
        if not rank:
            return 0.0 if held else self.interval_s
        return self.stale_s + min(self.rank_s * rank, self.max_rank_s)


def poll_intervals_for(bound_s: float) -> PollIntervals:
    """The pace for a bound on the time from the store's word until it is in force."""
    part = min(1.0, max(_LEAST_PART, bound_s / defaults.PACE_REFERENCE_BOUND_S))
    return PollIntervals(
        defaults.STORE_READ_INTERVAL_S * part,
        defaults.STORE_READ_STALE_S * part,
        defaults.STORE_READ_RANK_DELAY_S * part,
        defaults.MAX_STORE_READ_RANK_DELAY_S * part,
    )
