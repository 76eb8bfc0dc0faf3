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


class ColdGate:
    """Lets few requests pass in any second."""

    __slots__ = ("_passed",)

    def __init__(self) -> None:
        self._passed: t.List[float] = []

    def has_room(self, now: float, most: int) -> bool:
        """Whether one more may pass."""
        self._passed = [at for at in self._passed if at > now - _SPAN_S]
        return len(self._passed) < most

    def note(self, now: float) -> None:
        """Count one that passes."""
        self._passed.append(now)


def share_of(
    entry_id: "EntryId", entries: "t.Collection[EntryId]", target_id: "TargetId", per_s: float
) -> int:
    """Requests in a second that this entry may send to a cold target.

    :param entries: all entries that may be running, this one included.
    :param per_s: bound on all of them together.
    """
    dealt = int(per_s * _DEALT)
    count = max(1, len(entries))
    if dealt >= count:
        return dealt // count
    ranked = sorted(entries, key=lambda other: _weight(other, target_id))
    return 1 if entry_id in ranked[:dealt] else 0


def _weight(entry_id: "EntryId", target_id: "TargetId") -> bytes:
    return hashlib.blake2b(f"{target_id}\0{entry_id}".encode(), digest_size=8).digest()
