"""Keeps track of the owner to which this entry leases its share of each slot, and until when.

A share is leased to another owner only once the previous lessee can't use it any more: its lease
has expired, its process has ended, or it has reported that it gave the lease up.
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
    """The leases that one entry grants on its shares.

    :param members: the entries, which have equal shares of each limit.
    :param ledger: uses the shares that this entry leases to itself.
    :param clock: tells the time.
    """

    def __init__(self, members: "Members", buckets: "TokenBuckets", clock: "Clock") -> None:
        self._members = members
        self._buckets = buckets
        self._clock = clock
        self._by_slot: t.Dict["Slot", _Lease] = {}

    def share(self) -> float:
        """Returns this entry's fraction of each limit; zero before it knows the size of the fleet.

        Unreachable entries count, too: they may only be partitioned from this one, and use their
        shares.
        """
        return 1.0 / self._members.sharing_count() if self._members.has_discovered_peers else 0.0

    def duration_s(self) -> float:
        """Returns the duration of a lease.

        It grows with the fleet, so that the rate of renewals at an owner does not.
        """
        scale = self._members.sharing_count() / defaults.QUOTA_BASE_ENTRIES
        return defaults.QUOTA_LEASE_S * max(1.0, scale)

    def can_lease_to(self, slot: "Slot", owner_id: "EntryId") -> bool:
        """Whether a slot's share may be leased to an owner, as no other can use it any more."""
        lease = self._by_slot.get(slot)
        if lease is None or lease.lessee in (None, owner_id):
            return True
        return self._clock.monotonic() >= lease.until

    def is_leased_to(self, slot: "Slot", owner_id: "EntryId") -> bool:
        """Whether an owner is the last lessee of a slot's share."""
        lease = self._by_slot.get(slot)
        return lease is not None and lease.lessee == owner_id

    def lease(self, slots: "t.Iterable[Slot]", owner_id: "EntryId", until: float) -> None:
        """Records that an owner may use the shares of these slots until then."""
        for slot in slots:
            lease = self._by_slot.setdefault(slot, _Lease())
            lease.lessee = owner_id
            lease.until = max(lease.until, until)

    def lease_to_self(self, slots: "t.Iterable[Slot]") -> None:
        """Leases the shares of these slots to this entry itself, if no other can use them."""
        own_id = self._members.own_record.entry_id
        share = self.share()
        if not share:
            return
        until = self._clock.monotonic() + self.duration_s()
        free = [slot for slot in slots if self.can_lease_to(slot, own_id)]
        for slot in free:
            lease = self._by_slot.setdefault(slot, _Lease())
            lease.lessee = own_id
            lease.until = until
        self._buckets.add_lease(own_id, free, share, self.duration_s())

    def release(self, owner_id: "EntryId") -> None:
        """Records that an owner can't use any share any more."""
        for lease in self._by_slot.values():
            if lease.lessee == owner_id:
                lease.until = -float("inf")

    def holds_lease(self, owner_id: "EntryId") -> bool:
        """Whether an owner may still use any share that this entry leased to it."""
        now = self._clock.monotonic()
        return any(one.lessee == owner_id and now < one.until for one in self._by_slot.values())
