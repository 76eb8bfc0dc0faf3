"""Chooses the owners of limits: the entries that grant tokens. No consensus is needed.

Each region has a few, the entries with the highest bandwidth; rendezvous hashing picks one of them
for each slot. Two entries with different views of the fleet choose different owners, which loses
tokens but exceeds no limit; see :mod:`..placement.buckets`.
"""

import typing as t

from .. import defaults
from ..process import log
from .member import read_order_key, rendezvous_hash

if t.TYPE_CHECKING:
    from ..exceptions import PeerError
    from ..ids import EntryId, Incarnation, RegionId
    from ..placement.buckets import Slot
    from ..process.clock import Clock
    from .members import Members
    from .model import EntryRecord

#: Unresponsive owners from which on an entry that gets no reply at all becomes its own owner.
_ISOLATION_THRESHOLD = 2
#: Least number of owners in a region, if it has that many entries.
_MIN_OWNERS = 2

_IdsByRegion = t.Dict["RegionId", t.List["EntryId"]]


class Owner:
    """State of another entry that owns limits, as seen from this one.

    :param record: the owner's membership record.
    """

    def __init__(self, record: "EntryRecord") -> None:
        self.entry_id = record.entry_id
        self.address = record.peer_address
        #: Whether an exchange with it is in progress.
        self.busy = False
        #: Number of consecutive requests without a reply.
        self.failures = 0
        #: Whether it is not used as an owner until it replies again, and when to probe it.
        self.is_unresponsive = False
        self.avoid_until = -float("inf")
        #: Time of its last reply, the owner's clock in that reply, and the lifetime that sent it.
        self.last_reply_at = -float("inf")
        self.reply_clock_s = 0.0
        self.incarnation: t.Optional["Incarnation"] = None


class Owners:
    """The owners of each slot, and whether they respond.

    :param members: the entries of the fleet.
    :param has_lease: tells whether an owner still holds leases of this entry; such owners are kept.
    :param clock: tells the time.
    """

    def __init__(
        self, members: "Members", has_lease: "t.Callable[[EntryId], bool]", clock: "Clock"
    ) -> None:
        self._members = members
        self._has_lease = has_lease
        self._clock = clock
        self.by_id: t.Dict["EntryId", Owner] = {}
        self._ids_by_slot: t.Dict["Slot", t.Sequence["EntryId"]] = {}
        #: The inputs of the choice, and its result.
        self._serving: "t.Sequence[EntryRecord]" = ()
        self._unresponsive: t.FrozenSet["EntryId"] = frozenset()
        self._isolated = False
        self._owners_by_region: _IdsByRegion = {}

    def for_slot(self, slot: "Slot") -> "t.Sequence[EntryId]":
        """Returns the owners of a slot; this entry leases its share to the first of them."""
        self.refresh()
        ids = self._ids_by_slot.get(slot)
        if ids is None:
            ids = _owners_for(slot, self._owners_by_region, self._members.own_record)
            self._ids_by_slot[slot] = ids
        return ids

    def refresh(self) -> None:
        """Recomputes the owners if the serving or the unresponsive entries have changed."""
        serving = self._members.serving_records()
        silent = frozenset(
            [owner.entry_id for owner in self.by_id.values() if owner.is_unresponsive]
        )
        isolated = len(silent) >= _ISOLATION_THRESHOLD and not self._has_recent_reply()
        if serving is self._serving and silent == self._unresponsive and isolated == self._isolated:
            return
        self._serving = serving
        self._unresponsive = silent
        self._isolated = isolated
        self._drop_stale(serving)
        own_id = self._members.own_record.entry_id
        if isolated:
            serving = [record for record in serving if record.entry_id == own_id]
        owners_by_region = self._choose_owners(
            [one for one in serving if one.entry_id not in silent]
        )
        self._ids_by_slot.clear()
        if owners_by_region != self._owners_by_region:
            self._owners_by_region = owners_by_region
            ids = [entry_id for region_ids in owners_by_region.values() for entry_id in region_ids]
            log.info("quota.owners", owners=",".join(ids), silent=",".join(sorted(silent)))

    def note_reply(
        self, owner: Owner, now_s: float, incarnation: "Incarnation", closed: bool
    ) -> None:
        """Records a reply of an owner.

        :param now_s: reading of its clock.
        :param closed: whether it grants no tokens any more.
        """
        owner.last_reply_at = self._clock.monotonic()
        owner.reply_clock_s = now_s
        owner.incarnation = incarnation
        owner.failures = 0
        owner.is_unresponsive = closed
        if closed:
            owner.avoid_until = owner.last_reply_at + defaults.QUOTA_OWNER_COOLDOWN_S

    def note_failure(self, owner: Owner, error: "PeerError") -> bool:
        """Records that an owner did not reply, and returns whether its process has ended."""
        owner.failures += 1
        process_ended = isinstance(error.__cause__, ConnectionRefusedError)
        if process_ended or owner.failures > 1:
            owner.is_unresponsive = True
            owner.avoid_until = self._clock.monotonic() + defaults.QUOTA_OWNER_COOLDOWN_S
        log.info(
            "quota.owner-silent",
            owner=owner.entry_id,
            failures=owner.failures,
            code=error.code,
            gone=process_ended,
        )
        return process_ended

    def _has_recent_reply(self) -> bool:
        """Whether any owner has replied recently."""
        since = self._clock.monotonic() - defaults.QUOTA_OWNER_COOLDOWN_S
        return any(owner.last_reply_at > since for owner in self.by_id.values())

    def _drop_stale(self, serving: "t.Sequence[EntryRecord]") -> None:
        """Drops owners that no longer serve or whose address has changed."""
        addresses = {record.entry_id: record.peer_address for record in serving}
        for entry_id, owner in list(self.by_id.items()):
            if addresses.get(entry_id) == owner.address or owner.busy:
                continue
            if owner.is_unresponsive or not self._has_lease(entry_id):
                del self.by_id[entry_id]

    def _choose_owners(self, serving: "t.Sequence[EntryRecord]") -> _IdsByRegion:
        """Returns the owners of each region, which are the entries with the highest bandwidth."""
        by_region: t.Dict["RegionId", t.List["EntryRecord"]] = {}
        for record in sorted(serving, key=read_order_key):
            by_region.setdefault(record.region, []).append(record)
        owners_by_region: _IdsByRegion = {}
        for region, records in by_region.items():
            count = max(_MIN_OWNERS, len(records) // defaults.QUOTA_ENTRIES_PER_OWNER)
            owners_by_region[region] = [record.entry_id for record in records[:count]]
            for record in records[:count]:
                if record.entry_id != self._members.own_record.entry_id:
                    self.by_id.setdefault(record.entry_id, Owner(record))
        return owners_by_region


def _owners_for(slot: "Slot", by_region: _IdsByRegion, own: "EntryRecord") -> "t.List[EntryId]":
    """Returns the owners of a slot, one in each region, in the order in which an entry asks them.

    The slot's region comes first; without one, the entry's own, since it is near and stays
    reachable when regions are partitioned from each other.
    """
    regions = _region_order(slot, by_region, own)
    if len(regions) > 1:
        return [_rank_by_hash(slot, by_region[region])[0] for region in regions]
    # Half of the entries lease to each of two owners, so that the loss of one costs half at most.
    owners = [one for region in regions for one in _rank_by_hash(slot, by_region[region])]
    owners = owners[:_MIN_OWNERS]
    offset = rendezvous_hash(f"lend {slot.number}", own.entry_id)[0] % max(1, len(owners))
    return owners[offset:] + owners[:offset]


def _region_order(slot: "Slot", by_region: _IdsByRegion, own: "EntryRecord") -> "t.List[RegionId]":
    first = own.region if slot.region is None else slot.region
    # If the slot has a region, all entries agree on the order of the other regions, too.
    name = f"{own.entry_id} {slot.number}" if slot.region is None else f"{slot.number}"
    regions = sorted(by_region, key=lambda region: rendezvous_hash(name, region))
    regions.sort(key=lambda region: region != first)
    return regions


def _rank_by_hash(slot: "Slot", entry_ids: "t.Sequence[EntryId]") -> "t.List[EntryId]":
    return sorted(entry_ids, key=lambda one: rendezvous_hash(f"quota {slot.number}", one))
