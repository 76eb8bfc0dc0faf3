"""Transit choice: which entry carries the requests of one that is cut off from a service.

The nearest entries come first, as bytes between zones and regions are paid for. A zone, and then a
region, is left as soon as more of its entries are cut off than reach the service, so that no entry
carries more than about its own load for others while there are more of them. Of two entries drawn
at random, the one with fewer requests in transit is chosen.
"""

import random
import typing as t

from .. import defaults
from ..ids import EntryState

if t.TYPE_CHECKING:
    from ..ids import EntryId, RegionId, ServiceId
    from ..traffic.model import EntryRecord


def choose_transit(
    own: "EntryRecord",
    records: "t.Iterable[EntryRecord]",
    service: "ServiceId",
    regions: "t.Collection[RegionId]",
    loads_by_id: "t.Mapping[EntryId, int]",
    avoided: "t.Collection[EntryId]",
    rng: random.Random,
) -> "t.Optional[EntryRecord]":
    """Returns the entry that carries the next request, ``None`` if there is none.

    :param own: record of this entry, which is cut off.
    :param records: records of the other live entries.
    :param regions: regions that may serve the request; any if empty.
    :param loads_by_id: requests of this entry in transit, by the entry that carries them.
    :param avoided: entries that are not to be chosen.
    """
    allowed = [
        record
        for record in records
        if not regions or record.region in regions
        if record.state is EntryState.SERVING and record.ready
    ]
    chosen: t.List["EntryRecord"] = []
    for is_near in (
        lambda record: record.zone == own.zone,
        lambda record: record.region == own.region,
        lambda record: True,
    ):
        near = [record for record in allowed if is_near(record)]
        cut_off = sum(service in record.cut_off_from for record in near) + 1
        usable = [
            record
            for record in near
            if record.transit
            and service not in record.cut_off_from
            and record.entry_id not in avoided
            and loads_by_id.get(record.entry_id, 0) < defaults.MAX_TRANSITS_BY_ENTRY
        ]
        chosen = usable or chosen
        if len(usable) >= cut_off:
            break
    if not chosen:
        return None
    pair = rng.sample(chosen, min(2, len(chosen)))
    return min(pair, key=lambda record: loads_by_id.get(record.entry_id, 0))
