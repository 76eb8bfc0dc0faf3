"""Owners: the entries that count for limits, as one entry finds them without agreement.

Each region has a few, those with the widest links; rendezvous hashing picks one of them for each
slot. Two entries that see different fleets find different owners, which costs tokens but breaks no
limit: see :mod:`..placement.buckets`.
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

#: Owners without an answer from which on an entry that nobody answers counts for itself.
_ALONE = 2
#: How many entries of a region count for limits, if it has so many.
_LEAST_OWNERS = 2

_ByRegion = t.Dict["RegionId", t.List["EntryId"]]


class Owner:
    """What an entry knows of one that counts for limits.

    :param record: its record.
    """

    def __init__(self, record: "EntryRecord") -> None:
        self.entry_id = record.entry_id
        self.address = record.peer_address
        #: Whether a conversation with it is under way.
        self.busy = False
        #: Requests in a row without a reply.
        self.failures = 0
        #: Whether it is no owner until it replies again, and when to find out.
        self.silent = False
        self.avoid_until = -float("inf")
        #: When its last reply came, what its clock showed in it, and the lifetime that sent it.
        self.answered_at = -float("inf")
        self.answered_s = 0.0
        self.incarnation: t.Optional["Incarnation"] = None


class Owners:
    """The owners of each slot, and which of them reply.

    :param members: the entries.
    :param in_use: tells whether an owner still holds leases of this entry, so that it is kept.
    :param clock: tells the time.
    """

    def __init__(
        self, members: "Members", in_use: "t.Callable[[EntryId], bool]", clock: "Clock"
    ) -> None:
        self._members = members
        self._in_use = in_use
        self._clock = clock
        self.by_id: t.Dict["EntryId", Owner] = {}
        self._ids_by_slot: t.Dict["Slot", t.Sequence["EntryId"]] = {}
        #: What the owners follow from, and the owners.
        self._serving: "t.Sequence[EntryRecord]" = ()
        self._silent: t.FrozenSet["EntryId"] = frozenset()
        self._alone = False
        self._chosen: _ByRegion = {}

    def of(self, slot: "Slot") -> "t.Sequence[EntryId]":
        """Who counts for the limits of a slot; the first is the one that this entry leases to."""
        self.refresh()
        ids = self._ids_by_slot.get(slot)
        if ids is None:
            ids = _owners_for(slot, self._chosen, self._members.own_record)
            self._ids_by_slot[slot] = ids
        return ids

    def refresh(self) -> None:
        """Recompute the owners if other entries serve, or others of them give no reply."""
        serving = self._members.serving_records()
        silent = frozenset([owner.entry_id for owner in self.by_id.values() if owner.silent])
        alone = len(silent) >= _ALONE and not self._is_answered()
        if serving is self._serving and silent == self._silent and alone == self._alone:
            return
        self._serving = serving
        self._silent = silent
        self._alone = alone
        self._forget(serving)
        own_id = self._members.own_record.entry_id
        if alone:
            serving = [record for record in serving if record.entry_id == own_id]
        chosen = self._choose([one for one in serving if one.entry_id not in silent])
        self._ids_by_slot.clear()
        if chosen != self._chosen:
            self._chosen = chosen
            ids = [entry_id for region_ids in chosen.values() for entry_id in region_ids]
            log.info("quota.owners", owners=",".join(ids), silent=",".join(sorted(silent)))

    def note_reply(
        self, owner: Owner, now_s: float, incarnation: "Incarnation", closed: bool
    ) -> None:
        """Take in that an owner replied.

        :param now_s: what its clock showed.
        :param closed: whether it counts for nobody any more.
        """
        owner.answered_at = self._clock.monotonic()
        owner.answered_s = now_s
        owner.incarnation = incarnation
        owner.failures = 0
        owner.silent = closed
        if closed:
            owner.avoid_until = owner.answered_at + defaults.QUOTA_OWNER_COOLDOWN_S

    def note_failure(self, owner: Owner, error: "PeerError") -> bool:
        """Take in that an owner gave no reply; whether its process has ended."""
        owner.failures += 1
        ended = isinstance(error.__cause__, ConnectionRefusedError)
        if ended or owner.failures > 1:
            owner.silent = True
            owner.avoid_until = self._clock.monotonic() + defaults.QUOTA_OWNER_COOLDOWN_S
        log.info(
            "quota.owner-silent",
            owner=owner.entry_id,
            failures=owner.failures,
            code=error.code,
            gone=ended,
        )
        return ended

    def _is_answered(self) -> bool:
        """Whether any owner replied lately."""
        since = self._clock.monotonic() - defaults.QUOTA_OWNER_COOLDOWN_S
        return any(owner.answered_at > since for owner in self.by_id.values())

    def _forget(self, serving: "t.Sequence[EntryRecord]") -> None:
        """Forget owners that serve no more, or serve at another address."""
        addresses = {record.entry_id: record.peer_address for record in serving}
        for entry_id, owner in list(self.by_id.items()):
            if addresses.get(entry_id) == owner.address or owner.busy:
                continue
            if owner.silent or not self._in_use(entry_id):
                del self.by_id[entry_id]

    def _choose(self, serving: "t.Sequence[EntryRecord]") -> _ByRegion:
        """The entries of each region that count, those with wide links first."""
        by_region: t.Dict["RegionId", t.List["EntryRecord"]] = {}
        for record in sorted(serving, key=read_order_key):
            by_region.setdefault(record.region, []).append(record)
        chosen: _ByRegion = {}
        for region, records in by_region.items():
            count = max(_LEAST_OWNERS, len(records) // defaults.QUOTA_ENTRIES_PER_OWNER)
            chosen[region] = [record.entry_id for record in records[:count]]
            for record in records[:count]:
                if record.entry_id != self._members.own_record.entry_id:
                    self.by_id.setdefault(record.entry_id, Owner(record))
        return chosen


def _owners_for(slot: "Slot", by_region: _ByRegion, own: "EntryRecord") -> "t.List[EntryId]":
    """The owners of a slot, one in each region, in the order in which an entry asks them.

    The slot's region comes first, or else the entry's own: it is near, and a cut between regions
    leaves it in reach.
    """
    regions = _regions_for(slot, by_region, own)
    if len(regions) > 1:
        return [_ranked(slot, by_region[region])[0] for region in regions]
    # Half of the entries lease to one and half to another, so that not all is lost with one.
    owners = [one for region in regions for one in _ranked(slot, by_region[region])]
    owners = owners[:_LEAST_OWNERS]
    turn = rendezvous_hash(f"lend {slot.number}", own.entry_id)[0] % max(1, len(owners))
    return owners[turn:] + owners[:turn]


def _regions_for(slot: "Slot", by_region: _ByRegion, own: "EntryRecord") -> "t.List[RegionId]":
    first = own.region if slot.region is None else slot.region
    # All entries take the other regions in one order if they have to agree on the first.
    name = f"{own.entry_id} {slot.number}" if slot.region is None else f"{slot.number}"
    regions = sorted(by_region, key=lambda region: rendezvous_hash(name, region))
    regions.sort(key=lambda region: region != first)
    return regions


def _ranked(slot: "Slot", entry_ids: "t.Sequence[EntryId]") -> "t.List[EntryId]":
    return sorted(entry_ids, key=lambda one: rendezvous_hash(f"quota {slot.number}", one))
