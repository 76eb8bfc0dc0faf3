"""Locality-weighted load balancing: which fraction of its objects each region serves itself.

Answers that cross regions cost money and time, so the first candidate of an object should be in the
region of its callers. But the capacities of regions differ. Assuming equal demand of all regions, a
region with a third of the slots that it needs keeps a third of its objects, and the others go where
capacity is spare; so all targets are used evenly. The fraction depends on the targets alone, which
all entries know, and changes at a bounded rate, so that traffic does not shift at once.
"""

import hashlib
import math
import typing as t

if t.TYPE_CHECKING:
    from ..ids import RegionId, TargetId
    from .targets import TargetState

#: Two to the power of the number of hash bits that are used.
_HASH_RANGE = float(1 << 53)

SlotsByRegion = t.Mapping["RegionId", int]


def local_fraction(region: "RegionId", slots: SlotsByRegion, region_count: int) -> float:
    """Fraction of its objects that a region should serve itself, from 0 to 1.

    :param slots: slots of the usable targets by region.
    :param region_count: number of regions that have callers.
    """
    needed = _needed_slots(slots, region_count)
    if not needed:
        return 0.0
    return min(1.0, slots.get(region, 0) / needed)


def remote_weight(region: "RegionId", slots: SlotsByRegion, region_count: int) -> float:
    """Relative weight of a slot of a region for the objects of other regions."""
    own_slots = slots.get(region, 0)
    if not own_slots:
        return 0.0
    return max(_MIN_REMOTE_WEIGHT, (own_slots - _needed_slots(slots, region_count)) / own_slots)


def _needed_slots(slots: SlotsByRegion, region_count: int) -> float:
    """Slots that the callers of one region keep busy, assuming equal demand of all regions."""
    return _BUSY_FRACTION * sum(slots.values()) / max(1, region_count)


#: Fraction of all slots that is assumed to be busy. Targets with more load have queues, and
#: requests beyond the capacity of the region spill to the second candidate.
_BUSY_FRACTION = 0.6
#: Minimum weight of a region without spare slots, so that it still serves what others can't.
_MIN_REMOTE_WEIGHT = 0.02


class RateLimitedFraction:
    """A fraction that moves towards its goal at a bounded rate.

    :param now: monotonic time.
    :param goal: initial value.
    """

    __slots__ = ("_updated_at", "value")

    def __init__(self, now: float, goal: float) -> None:
        self._updated_at = now
        self.value = goal

    def follow(self, now: float, goal: float, per_s: float, max_step: float = math.inf) -> float:
        """Moves the value towards ``goal`` by at most ``per_s`` a second, and returns it.

        :param max_step: greatest change in one call, however long ago the last one was.
        """
        max_change = min(max_step, per_s * (now - self._updated_at))
        self._updated_at = now
        self.value += min(max(goal - self.value, -max_change), max_change)
        return self.value


def hash_position(key: bytes) -> float:
    """Hash of an object as a number from 0 to 1.

    Objects below the local fraction are served in the region of their callers.
    """
    return _to_unit_interval(hashlib.blake2b(key, digest_size=8, person=b"place").digest())


def rendezvous_score(target_id: "TargetId", key: bytes, weight: float) -> float:
    """Score of a target in weighted rendezvous hashing; the highest one is selected."""
    digest = hashlib.blake2b(target_id.encode(), key=key[:64], digest_size=8).digest()
    return -weight / math.log(_to_unit_interval(digest))


def _to_unit_interval(digest: bytes) -> float:
    """Maps a digest evenly to numbers from 0 to 1, but never to 0, which has no logarithm."""
    return ((int.from_bytes(digest, "big") >> 11) + 0.5) / _HASH_RANGE


def interleave(
    first: "t.Sequence[TargetState]", second: "t.Sequence[TargetState]"
) -> "t.Iterator[TargetState]":
    """Yields from both sequences in turn, then the rest of the longer one."""
    for index in range(max(len(first), len(second))):
        if index < len(first):
            yield first[index]
        if index < len(second):
            yield second[index]
