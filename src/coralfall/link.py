"""Link allowance: how many bytes a second an entry may send into each region.

A region's links have a fixed rate that all entries share.  It is shared by slots: an entry may
send at the part of the rate that the slots it holds are of all the region's slots.  A slot has
one holder at a time, so the parts never add up to more than the rate, whoever joins, leaves or
lends, and the rate is where the requests are.  An even share by members would need a handover
of its own, would leave the share of an idle entry unused, and at 530 entries would cut a link
of 125 MB/s into pieces of 0.24 MB/s.
"""

import typing as t

from . import defaults
from .bundle import Bundle
from .ids import PartnerId, RegionId

if t.TYPE_CHECKING:
    from .clock import Clock
    from .limits import Limits


def link_rates(
    bundles: t.Iterable[t.Mapping[PartnerId, Bundle]],
    limits: "Limits",
    held: t.Mapping[RegionId, int],
) -> t.Dict[RegionId, float]:
    """Bytes a second that this entry may send into each region.

    :param bundles: bundles that may be in force; the least rate that a region has in any counts.
    :param limits: slots of all targets.
    :param held: of :meth:`coralfall.slots.SlotTable.held_by_region`.
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
        slots = slots_by_region.get(region_id, 0)
        rates[region_id] = link * held.get(region_id, 0) / slots if slots else 0.0
    return rates


class _Bucket:
    __slots__ = ("ready_at",)

    def __init__(self) -> None:
        #: When the bytes promised so far will have been sent at the rate.
        self.ready_at = -float("inf")


class LinkAllowance:
    """Tells senders how long to wait so that each region's rate is kept.

    Over any ``t`` seconds no more is let through than ``rate * (t + LINK_BURST_S)`` and the
    one piece that came last.

    :param clock: the entry's clock.
    """

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        self._rates: t.Mapping[RegionId, float] = {}
        self._bucket_by_region: t.Dict[RegionId, _Bucket] = {}

    def set_rates(self, rates: t.Mapping[RegionId, float]) -> None:
        """Go on at these rates, in bytes a second; a region that is not named has none."""
        self._rates = rates

    def reserve(self, region: RegionId, size: int) -> float:
        """Seconds to wait before sending a piece of ``size`` bytes; it is counted as sent.

        Infinite if the entry has no allowance into the region now.
        """
        rate = self._rates.get(region, 0.0)
        if rate <= 0:
            return float("inf")
        now = self._clock.monotonic()
        bucket = self._bucket_by_region.get(region)
        if bucket is None:
            bucket = self._bucket_by_region[region] = _Bucket()
        starts_at = max(bucket.ready_at, now - defaults.LINK_BURST_S)
        bucket.ready_at = starts_at + size / rate
        return max(0.0, starts_at - now)
