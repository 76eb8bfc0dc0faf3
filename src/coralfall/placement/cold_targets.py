"""Cold targets: how few requests each entry may send them, so that all together stay in bounds.

A bound for all entries can't be divided among hundreds of them without rounding to nothing.
Some entries, ranked by a hash of target and entry, each get a whole part; the others none. Two
entries that disagree for a moment on who is alive must still fit, so half of the bound is dealt.
"""

import hashlib
import typing as t

if t.TYPE_CHECKING:
    from ..ids import EntryId, TargetId

#: Part of the bound that is dealt to entries.
_DEALT = 0.6
_SPAN_S = 1.0


class SlidingWindowLimiter:
    """Lets few requests pass in any second."""

    __slots__ = ("_passed",)

    def __init__(self) -> None:
        self._passed: t.List[float] = []

    def has_room(self, now: float, most: int) -> bool:
        """Whether one more may pass."""
        self._passed = [at for at in self._passed if at > now - _SPAN_S]
        return len(self._passed) < most

    def record(self, now: float) -> None:
        """Count one that passes."""
        self._passed.append(now)


class ColdTargetShares:
    """This entry's part of what all entries together may send to each cold target.

    :param entry_id: of this entry.
    """

    def __init__(self, entry_id: "EntryId") -> None:
        self._entry_id = entry_id
        self._entries: t.Collection["EntryId"] = (entry_id,)
        self._share_by_target: t.Dict[t.Tuple["TargetId", int], int] = {}

    def set_entries(self, entries: "t.Collection[EntryId]") -> None:
        """Take in which entries may be running, this one included."""
        if entries is self._entries:
            return
        self._entries = entries
        self._share_by_target.clear()

    def allowance_of(self, target_id: "TargetId", per_s: float) -> int:
        """Requests in a second that this entry may send to a cold target.

        :param per_s: bound on all entries together.
        """
        dealt = int(per_s * _DEALT)
        count = max(1, len(self._entries))
        if dealt >= count:
            return dealt // count
        # Kept, as each look would hash all entries.
        share = self._share_by_target.get((target_id, dealt))
        if share is None:
            share = 1 if self._is_dealt_one(target_id, dealt) else 0
            self._share_by_target[target_id, dealt] = share
        return share

    def _is_dealt_one(self, target_id: "TargetId", dealt: int) -> bool:
        """Whether fewer others than there are parts come before this entry."""
        if not dealt:
            return False
        own = _weight(self._entry_id, target_id)
        before = 0
        for other in self._entries:
            if _weight(other, target_id) >= own:
                continue
            before += 1
            if before == dealt:
                return False
        return True


def _weight(entry_id: "EntryId", target_id: "TargetId") -> bytes:
    return hashlib.blake2b(f"{target_id}\0{entry_id}".encode(), digest_size=8).digest()
