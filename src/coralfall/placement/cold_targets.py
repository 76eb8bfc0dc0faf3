"""Cold targets: divides the request rate of a target that is warming up among the entries.

An equal division among hundreds of entries would round to nothing. Instead, the entries that come
first by a hash of target and entry (rendezvous hashing) may each send one request a second, and the
others none. Only a fraction of the limit is distributed, so that it also holds while entries
disagree on which of them are alive.
"""

import hashlib
import typing as t

if t.TYPE_CHECKING:
    from ..ids import EntryId, TargetId

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
    """

    def __init__(self, entry_id: "EntryId") -> None:
        self._entry_id = entry_id
        self._entries: t.Collection["EntryId"] = (entry_id,)
        self._share_by_target: t.Dict[t.Tuple["TargetId", int], int] = {}

    def set_entries(self, entries: "t.Collection[EntryId]") -> None:
        """Sets the entries that may be running, this one included."""
        if entries is self._entries:
            return
        self._entries = entries
        self._share_by_target.clear()

    def allowance_of(self, target_id: "TargetId", per_s: float) -> int:
        """Requests a second that this entry may send to a cold target.

        :param per_s: limit for all entries together.
        """
        distributed = int(per_s * _DISTRIBUTED_FRACTION)
        count = max(1, len(self._entries))
        if distributed >= count:
            return distributed // count
        # Cached, since each computation hashes all entries.
        share = self._share_by_target.get((target_id, distributed))
        if share is None:
            share = 1 if self._is_among_first(target_id, distributed) else 0
            self._share_by_target[target_id, distributed] = share
        return share

    def _is_among_first(self, target_id: "TargetId", distributed: int) -> bool:
        """Whether this entry is among the first ``distributed`` ones by their hashes."""
        if not distributed:
            return False
        own_hash = _weight(self._entry_id, target_id)
        before = 0
        for other in self._entries:
            if _weight(other, target_id) >= own_hash:
                continue
            before += 1
            if before == distributed:
                return False
        return True


def _weight(entry_id: "EntryId", target_id: "TargetId") -> bytes:
    return hashlib.blake2b(f"{target_id}\0{entry_id}".encode(), digest_size=8).digest()
