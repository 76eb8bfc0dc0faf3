"""Cold targets: divides the request rate of a target that is warming up among the entries.

An equal division among hundreds of entries would round to nothing. Then the entries that come first
by rendezvous hashing may each send one request a second, and the others none. Only a fraction of
the limit is distributed, so that it also holds while entries disagree on which of them are alive.
An entry that starts has no part until it knows the others, and until what its earlier process may
have sent has left the window.
"""

import typing as t

from .even_division import EvenDivision

if t.TYPE_CHECKING:
    from ..ids import EntryId, TargetId
    from ..process.clock import Clock

#: Fraction of the limit that is distributed to entries.
_DISTRIBUTED_FRACTION = 0.6
#: Length of the sliding window in seconds: limits are in requests a second.
_WINDOW_S = 1.0


class SlidingWindowLimiter:
    """Limits the requests of any second, by a sliding-window log."""

    __slots__ = ("_sent_at",)

    def __init__(self) -> None:
        self._sent_at: t.List[float] = []

    def has_room(self, now: float, max_requests: int) -> bool:
        """Whether one more request is allowed now."""
        self._sent_at = [at for at in self._sent_at if at > now - _WINDOW_S]
        return len(self._sent_at) < max_requests

    def record(self, now: float) -> None:
        """Counts a request."""
        self._sent_at.append(now)


class ColdTargetShares:
    """This entry's share of the request rate that all entries may send to each cold target.

    :param entry_id: id of this entry.
    :param clock: tells when the share begins.
    """

    def __init__(self, entry_id: "EntryId", clock: "Clock") -> None:
        self._clock = clock
        self._begins_at = clock.monotonic() + _WINDOW_S
        self._knows_entries = False
        self._division = EvenDivision(entry_id)

    def set_entries(self, entries: "t.Collection[EntryId]") -> None:
        """Sets the entries that may be running, this one included."""
        self._knows_entries = True
        self._division.set_entries(entries)

    def allowance_of(self, target_id: "TargetId", per_s: float) -> int:
        """Requests a second that this entry may send to a cold target.

        :param per_s: limit for all entries together.
        """
        if not self._knows_entries or self._clock.monotonic() < self._begins_at:
            return 0
        distributed = int(per_s * _DISTRIBUTED_FRACTION)
        count = self._division.entry_count
        if distributed >= count:
            return distributed // count
        return 1 if self._division.rank_for(target_id) < distributed else 0
