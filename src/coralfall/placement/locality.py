"""Shares: which part of a region's objects has its first home there, and where the rest goes.

Answers that cross regions cost money and time, so an object's first home should be in the region of
its callers. But regions have unlike room. If each region's callers ask for about as much, a region
that has a third of the slots that it would need to carry its part keeps a third of its objects,
and the rest goes where room is to spare; then all targets are used alike. The part depends on the
targets alone, which all entries know, and moves slowly, so that traffic does not shift at once.
"""

import hashlib
import math
import typing as t

if t.TYPE_CHECKING:
    from ..ids import RegionId, TargetId
    from .targets import TargetState

#: Two to the number of bits of a hash that are used.
_SPAN = float(1 << 53)

SlotsByRegion = t.Mapping["RegionId", int]


def kept_part(region: "RegionId", slots: SlotsByRegion, regions: int) -> float:
    """The part of its objects that a region should keep, from 0 to 1.

    :param slots: of the targets that may be used, by region.
    :param regions: how many regions have callers.
    """
    needed = _needed(slots, regions)
    if not needed:
        return 0.0
    return min(1.0, slots.get(region, 0) / needed)


def spare_weight(region: "RegionId", slots: SlotsByRegion, regions: int) -> float:
    """How much a target of a region is worth to objects of other regions, in relation to others."""
    own = slots.get(region, 0)
    if not own:
        return 0.0
    return max(_LEAST_SPARE, (own - _needed(slots, regions)) / own)


def _needed(slots: SlotsByRegion, regions: int) -> float:
    """Slots that the callers of one region keep busy, if regions ask alike."""
    return _BUSY_PART * sum(slots.values()) / max(1, regions)


#: Part of all slots that is thought to be busy. Targets that are fuller than this have queues, and
#: what is kept beyond the room spills to the second home.
_BUSY_PART = 0.6
#: Part of a full region that still takes what others can't.
_LEAST_SPARE = 0.02


class SlowPart:
    """A part that follows its aim at a bounded speed.

    :param now: monotonic time.
    :param aim: where it starts.
    """

    __slots__ = ("_at", "value")

    def __init__(self, now: float, aim: float) -> None:
        self._at = now
        self.value = aim

    def follow(self, now: float, aim: float, per_s: float) -> float:
        """The part now, moved towards ``aim`` by ``per_s`` a second at the most."""
        most = per_s * (now - self._at)
        self._at = now
        self.value += min(max(aim - self.value, -most), most)
        return self.value


def place_of(key: bytes) -> float:
    """Where an object stands between 0 and 1; those below the kept part stay in their region."""
    return _number(hashlib.blake2b(key, digest_size=8, person=b"place").digest())


def score(target_id: "TargetId", key: bytes, weight: float) -> float:
    """Weighted rendezvous: the target with the greatest score is the object's."""
    digest = hashlib.blake2b(target_id.encode(), key=key[:64], digest_size=8).digest()
    return -weight / math.log(_number(digest))


def _number(digest: bytes) -> float:
    return ((int.from_bytes(digest, "big") >> 11) + 0.5) / _SPAN


def interleaved(
    first: "t.Sequence[TargetState]", second: "t.Sequence[TargetState]"
) -> "t.Iterator[TargetState]":
    """One of each in turn, then what is left of the longer."""
    for number in range(max(len(first), len(second))):
        if number < len(first):
            yield first[number]
        if number < len(second):
            yield second[number]
