"""Leases: to which owner this entry leases its share of each slot, and until when.

A share goes to another owner only once the one before can't use it any more: its lease is over, or
its process has ended, or it said that it gave it up.
"""

import typing as t

from .. import defaults

if t.TYPE_CHECKING:
    from ..ids import EntryId
    from ..placement.buckets import Slot, TokenBuckets
    from ..process.clock import Clock
    from .members import Members


class _Lease:
    __slots__ = ("lessee", "until")

    def __init__(self) -> None:
        self.lessee: t.Optional["EntryId"] = None
        self.until = -float("inf")


class Leases:
    """The leases of one entry's shares.

    :param members: the entries, which share each limit alike.
    :param ledger: uses shares that stay here.
    :param clock: tells the time.
    """

    def __init__(self, members: "Members", buckets: "TokenBuckets", clock: "Clock") -> None:
        self._members = members
        self._buckets = buckets
        self._clock = clock
        self._by_slot: t.Dict["Slot", _Lease] = {}

    def share(self) -> float:
        """This entry's part of each limit; nothing before it knows how many share them.

        Entries that are gone count until they are forgotten: they may be cut off and use theirs.
        """
        return 1.0 / self._members.fleet_size() if self._members.has_discovered_peers else 0.0

    def seconds(self) -> float:
        """How long a lease lasts; longer in large fleets, so that owners are told as often."""
        fleet = self._members.fleet_size() / defaults.QUOTA_BASE_ENTRIES
        return defaults.QUOTA_LEASE_S * max(1.0, fleet)

    def may_use(self, slot: "Slot", owner_id: "EntryId") -> bool:
        """Whether a slot's share may be leased to an owner: nobody else can use it any more."""
        lease = self._by_slot.get(slot)
        if lease is None or lease.lessee in (None, owner_id):
            return True
        return self._clock.monotonic() >= lease.until

    def is_leased_to(self, slot: "Slot", owner_id: "EntryId") -> bool:
        """Whether an owner was the last to get a slot's share."""
        lease = self._by_slot.get(slot)
        return lease is not None and lease.lessee == owner_id

    def lease(self, slots: "t.Iterable[Slot]", owner_id: "EntryId", until: float) -> None:
        """Note that an owner may use the shares of these slots until then."""
        for slot in slots:
            lease = self._by_slot.setdefault(slot, _Lease())
            lease.lessee = owner_id
            lease.until = max(lease.until, until)

    def keep(self, slots: "t.Iterable[Slot]") -> None:
        """Use the own shares of these slots here, as far as nobody else can."""
        own_id = self._members.own_record.entry_id
        share = self.share()
        if not share:
            return
        until = self._clock.monotonic() + self.seconds()
        free = [slot for slot in slots if self.may_use(slot, own_id)]
        for slot in free:
            lease = self._by_slot.setdefault(slot, _Lease())
            lease.lessee = own_id
            lease.until = until
        self._buckets.add_lease(own_id, free, share, self.seconds())

    def release(self, owner_id: "EntryId") -> None:
        """Note that an owner can use nothing any more."""
        for lease in self._by_slot.values():
            if lease.lessee == owner_id:
                lease.until = -float("inf")

    def holds_any(self, owner_id: "EntryId") -> bool:
        """Whether an owner may still use what this entry leased to it."""
        now = self._clock.monotonic()
        return any(one.lessee == owner_id and now < one.until for one in self._by_slot.values())
