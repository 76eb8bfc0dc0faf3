"""Look-ups: the entries that a caller is told to connect to.

Entries near the caller come first. Entries that are equally near are ordered by a hash with the
caller's zone (rendezvous hashing): zones differ in the order, and it is stable over time.
"""

import hashlib
import typing as t

from .. import defaults

if t.TYPE_CHECKING:
    from ..ids import RegionId, ZoneId
    from .members import Members
    from .model import EntryRecord
    from .row_codec import LookupQuery
    from .settings import BoundSettings, SteerSettings
    from .state_view import StateView


class Lookup:
    """Answers look-ups.

    :param settings: settings of this entry.
    :param members: the entries of the fleet.
    :param state_view: the desired state.
    """

    def __init__(
        self, settings: "SteerSettings", members: "Members", state_view: "StateView"
    ) -> None:
        self._members = members
        self._state_view = state_view
        self._serving: "t.Sequence[EntryRecord]" = ()
        #: Cached answers by zone and region, dropped when the list of serving entries changes.
        self._nearest_cache: t.Dict[t.Tuple["ZoneId", "RegionId"], t.List["EntryRecord"]] = {}
        self.set_bounds(settings.bounds)

    def set_bounds(self, bounds: "BoundSettings") -> None:
        """Applies new bounds."""
        #: Seconds for which callers may cache an answer.
        self.ttl_s = bounds.lookup_ttl_s()

    def addresses(self, query: "LookupQuery") -> t.List[str]:
        """Returns addresses of entries for callers, none if no entry can serve.

        Names entries of the caller's zone and region; if there are none, those of the regions that
        the routes of the host are restricted to; else any.
        """
        serving = self._members.serving_records()
        found = self._cached_nearest(serving, query.zone, query.region)
        if not found:
            allowed_regions = self._allowed_regions(query.host)
            found = _in_zone_order(query.zone, [r for r in serving if r.region in allowed_regions])
        if not found:
            found = _in_zone_order(query.zone, serving)
        return [record.caller_address for record in found[: defaults.MAX_LOOKUP_ADDRESSES]]

    def _cached_nearest(
        self, serving: "t.Sequence[EntryRecord]", zone: "ZoneId", region: "RegionId"
    ) -> "t.List[EntryRecord]":
        if serving is not self._serving:
            self._serving = serving
            self._nearest_cache.clear()
        found = self._nearest_cache.get((zone, region))
        if found is None:
            found = nearest(serving, zone, region)
            # The size is limited because callers name their zone themselves, and may invent names.
            if len(self._nearest_cache) < _MAX_CACHED:
                self._nearest_cache[zone, region] = found
        return found

    def _allowed_regions(self, host: str) -> "t.Set[RegionId]":
        if self._state_view.routes is None:
            return set()
        regions: t.Set["RegionId"] = set()
        for route in self._state_view.routes.for_host(host):
            regions |= route.allowed_regions
        return regions


def nearest(
    records: "t.Sequence[EntryRecord]", zone: "ZoneId", region: "RegionId"
) -> "t.List[EntryRecord]":
    """Returns all entries of a zone and some others of its region.

    All entries of the zone are named, or else those that are would carry the load of the others.
    Entries outside the zone are included since callers can't repeat the look-up when the zone
    fails: the entries that they would ask fail with it. Which ones are included differs by zone,
    and stays the same between answers, as callers disconnect from entries that a new answer does
    not name.
    """
    in_zone = [record for record in records if record.zone == zone]
    outside = [record for record in records if record.region == region and record.zone != zone]
    count = min(len(in_zone), defaults.LOOKUP_FILL_ADDRESSES - len(in_zone))
    outside = _in_zone_order(zone, outside)[: max(_MIN_OUTSIDE_ZONE, count)]
    return _in_zone_order(zone, in_zone) + outside


def _in_zone_order(zone: "ZoneId", records: "t.Iterable[EntryRecord]") -> "t.List[EntryRecord]":
    """Sorts records by a hash of zone and entry."""

    def weight(record: "EntryRecord") -> bytes:
        text = f"{zone} {record.entry_id}"
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    return sorted(records, key=weight)


#: Most answers that are cached; no installation has more zones.
_MAX_CACHED = 256
#: Fewest entries outside their zone that callers are told of, if the region has as many.
_MIN_OUTSIDE_ZONE = 2
