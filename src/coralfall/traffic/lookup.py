"""Look-ups: which entries a caller is told to connect to."""

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

    :param settings: of the entry.
    :param members: the entries.
    :param belief: the desired state.
    """

    def __init__(
        self, settings: "SteerSettings", members: "Members", state_view: "StateView"
    ) -> None:
        self._members = members
        self._state_view = state_view
        self._serving: "t.Sequence[EntryRecord]" = ()
        #: Answers by zone and region, for as long as the same entries serve.
        self._nearest: t.Dict[t.Tuple["ZoneId", "RegionId"], t.List["EntryRecord"]] = {}
        self.set_bounds(settings.bounds)

    def set_bounds(self, bounds: "BoundSettings") -> None:
        """Keep to these bounds from now on."""
        #: Seconds for which callers may keep an answer.
        self.ttl_s = bounds.lookup_ttl_s()

    def addresses(self, question: "LookupQuery") -> t.List[str]:
        """Callers' addresses of entries, none if no entry can serve.

        Entries of the caller's zone and region go first, then those of the regions that the
        host's routes are held to, then any.
        """
        serving = self._members.serving_records()
        found = self._nearest_of(serving, question.zone, question.region)
        if not found:
            homes = self._homes(question.host)
            found = _in_order(question.zone, [r for r in serving if r.region in homes])
        if not found:
            found = _in_order(question.zone, serving)
        return [record.caller_address for record in found[: defaults.MAX_LOOKUP_ADDRESSES]]

    def _nearest_of(
        self, serving: "t.Sequence[EntryRecord]", zone: "ZoneId", region: "RegionId"
    ) -> "t.List[EntryRecord]":
        if serving is not self._serving:
            self._serving = serving
            self._nearest.clear()
        found = self._nearest.get((zone, region))
        if found is None:
            found = nearest(serving, zone, region)
            # Callers say which zone they are in, and may say anything.
            if len(self._nearest) < _MAX_KEPT:
                self._nearest[zone, region] = found
        return found

    def _homes(self, host: str) -> "t.Set[RegionId]":
        if self._state_view.routes is None:
            return set()
        homes: t.Set["RegionId"] = set()
        for route in self._state_view.routes.for_host(host):
            homes |= route.allowed_regions
        return homes


def nearest(
    records: "t.Sequence[EntryRecord]", zone: "ZoneId", region: "RegionId"
) -> "t.List[EntryRecord]":
    """Entries of a zone, all of them lest some carry it alone, and some others of its region.

    Callers of a zone that is lost can't ask again: those whom they would ask are lost with it.
    Which others they are told of differs by zone. It stays the same from answer to answer, since
    callers leave the entries that a new answer does not name.
    """
    in_zone = [record for record in records if record.zone == zone]
    beside = [record for record in records if record.region == region and record.zone != zone]
    count = min(len(in_zone), defaults.LOOKUP_FILL_ADDRESSES - len(in_zone))
    beside = _in_order(zone, beside)[: max(_LEAST_OUTSIDE, count)]
    return _in_order(zone, in_zone) + beside


def _in_order(zone: "ZoneId", records: "t.Iterable[EntryRecord]") -> "t.List[EntryRecord]":
    """Records in an order that is the zone's own."""

    def weight(record: "EntryRecord") -> bytes:
        text = f"{zone} {record.entry_id}"
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    return sorted(records, key=weight)


#: Answers that are kept; no installation has more zones.
_MAX_KEPT = 256
#: Entries outside their zone that callers should be told of at the least.
_LEAST_OUTSIDE = 2
