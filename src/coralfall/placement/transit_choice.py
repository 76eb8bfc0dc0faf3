"""Transit choice: which entry carries the requests of one that is cut off from a service.

The nearest entries come first, as bytes between zones and regions are paid for. A zone, and then a
region, is left as soon as more of its entries are cut off than reach the service, so that no entry
carries more than about its own load for others while there are more of them. Entries that leave are
the last resort. Of two entries drawn at random, the one with fewer requests in transit is chosen.
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
        record for record in records if record.ready and (not regions or record.region in regions)
    ]
    serving = [record for record in allowed if record.state is EntryState.SERVING]
    in_region = [record for record in serving if record.region == own.region]
    in_zone = [record for record in in_region if record.zone == own.zone]
    chosen: t.List["EntryRecord"] = []
    for level in (in_zone, in_region, serving):
        cut_off = sum(service in record.cut_off_from for record in level) + 1
        usable = [one for one in level if _is_usable(one, service, loads_by_id, avoided)]
        chosen = usable or chosen
        if len(usable) >= cut_off:
            break
    if not chosen:
        chosen = [one for one in allowed if _is_usable(one, service, loads_by_id, avoided)]
    if not chosen:
        return None
    pair = rng.sample(chosen, min(2, len(chosen)))
    return min(pair, key=lambda record: loads_by_id.get(record.entry_id, 0))


def _is_usable(
    record: "EntryRecord",
    service: "ServiceId",
    loads_by_id: "t.Mapping[EntryId, int]",
    avoided: "t.Collection[EntryId]",
) -> bool:
    if not record.transit or service in record.cut_off_from or record.entry_id in avoided:
        return False
    return loads_by_id.get(record.entry_id, 0) < defaults.MAX_TRANSITS_BY_ENTRY
