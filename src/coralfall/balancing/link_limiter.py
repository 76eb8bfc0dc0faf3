"""Link allowance: how many bytes a second an entry may send into each region.

A region's links have a fixed rate that all entries share.  It is shared by slots: an entry may
send at the part of the rate that the slots it holds are of all the region's slots.  A slot has
one holder at a time, so the parts never add up to more than the rate, whoever joins, leaves or
lends, and the rate is where the requests are.  An even share by members would need a handover
of its own, would leave the share of an idle entry unused, and at 530 entries would cut a link
of 125 MB/s into pieces of 0.24 MB/s.
"""

import typing as t

import msgspec

from .. import defaults
from ..bundles.bundle import Bundle
from ..ids import PartnerId, RegionId

if t.TYPE_CHECKING:
    from ..process.clock import Clock
    from .limits import Limits


class LinkRate(msgspec.Struct, frozen=True):
    """Bytes a second that an entry may send into a region."""

    #: With the slots that it holds.
    held: float
    #: For a single slot.
    per_slot: float


def link_rates(
    bundles: t.Iterable[t.Mapping[PartnerId, Bundle]],
    limits: "Limits",
    held: t.Mapping[RegionId, int],
) -> t.Dict[RegionId, LinkRate]:
    """The rates of this entry into each region.

    :param bundles: bundles that may be in force; the least rate that a region has in any counts.
    :param limits: slots of all targets.
    :param held: of :meth:`coralfall.balancing.slots.SlotTable.held_by_region`.
    """
    slots_by_region: t.Dict[RegionId, int] = {}
    for limit in limits.values():
        slots_by_region[limit.region] = slots_by_region.get(limit.region, 0) + limit.reserved
    link_by_region: t.Dict[RegionId, int] = {}
    for view in bundles:
        for bundle in view.values():
            for region_id, region in bundle.regions.items():
                known = link_by_region.get(region_id, region.link_bytes_per_s)
                link_by_region[region_id] = min(known, region.link_bytes_per_s)
    rates = {}
    for region_id, link in link_by_region.items():
        per_slot = link / max(1, slots_by_region.get(region_id, 0))
        rates[region_id] = LinkRate(per_slot * held.get(region_id, 0), per_slot)
    return rates


class _Bucket:
    __slots__ = ("ready_at",)

    def __init__(self) -> None:
        #: When the bytes promised so far will have been sent at the rate.
        self.ready_at = -float("inf")


class LinkLimiter:
    """Tells senders how long to wait so that each region's rate is kept.

    Over any ``t`` seconds no more is let through than ``rate * (t + LINK_BURST_S)`` and the
    one piece that came last.

    :param clock: the entry's clock.
    """

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        self._rates: t.Mapping[RegionId, LinkRate] = {}
        self._bucket_by_region: t.Dict[RegionId, _Bucket] = {}

    def set_rates(self, rates: t.Mapping[RegionId, LinkRate]) -> None:
        """Go on at these rates; a region that is not named has none."""
        self._rates = rates

    def reserve(self, region: RegionId, size: int) -> float:
        """Seconds to wait before sending a piece of ``size`` bytes; it is counted as sent.

        To be asked only with a slot in the region at hand: if the rates were set before that
        slot was borrowed, a single slot's rate counts.  Infinite for an unknown region.
        """
        known = self._rates.get(region)
        if known is None:
            return float("inf")
        rate = max(known.held, known.per_slot)
        now = self._clock.monotonic()
        bucket = self._bucket_by_region.get(region)
        if bucket is None:
            bucket = self._bucket_by_region[region] = _Bucket()
        starts_at = max(bucket.ready_at, now - defaults.LINK_BURST_S)
        bucket.ready_at = starts_at + size / rate
        return max(0.0, starts_at - now)
