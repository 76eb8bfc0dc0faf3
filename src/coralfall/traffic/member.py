"""Member: what this entry knows about one other entry, from its gossip records and its suspicions.

Also the view of all live members at one time, and the orders in which members are ranked.
"""

import functools
import hashlib
import typing as t

from ..ids import EntryId, EntryState, Incarnation, RegionId
from .messages import Suspicion

if t.TYPE_CHECKING:
    from .model import EntryRecord

#: Incarnation and beat of a record; the greater of two versions is the newer one.
RecordVersion = t.Tuple[Incarnation, int]


class Member:
    """State that is kept for one other entry.

    :param record: the newest record of that entry.
    :param now: monotonic time.
    :param own_id: id of this entry.
    """

    __slots__ = (
        "digest",
        "distance",
        "failed_probes",
        "known_by_gossip",
        "last_heard_at",
        "read_order",
        "record",
        "suspected_at",
        "updated_at",
        "was_alive",
    )

    def __init__(self, record: "EntryRecord", now: float, own_id: EntryId) -> None:
        #: Monotonic time of the last record of this entry, whichever entry sent it.
        self.last_heard_at = now
        #: Monotonic time at which the suspicion began; ``None`` while the entry is not suspected.
        self.suspected_at: t.Optional[float] = None
        self.update(record, now)
        #: Whether the entry was alive at the last evaluation; used to log changes.
        self.was_alive = False
        #: Distance between the two entries, the same from both sides; lower is nearer.
        pair = " ".join(sorted((own_id, record.entry_id)))
        self.distance = hashlib.blake2b(pair.encode(), digest_size=8).digest()

    def update(self, record: "EntryRecord", now: float) -> None:
        """Replaces the record by a newer one, which also ends a suspicion."""
        self.record = record
        self.digest = record_digest(record)
        self.read_order = read_order_key(record)
        #: Monotonic time at which this record was received.
        self.updated_at = self.last_heard_at = now
        self.suspected_at = None
        #: Consecutive probes by this entry that were not answered.
        self.failed_probes = 0
        #: Whether gossip has brought a record of the entry; false if it is known only from its row.
        self.known_by_gossip = True

    @property
    def version(self) -> RecordVersion:
        """Version of the newest record."""
        return self.record.incarnation, self.record.beat

    def is_outdated_by(self, record: "EntryRecord") -> bool:
        """Whether a gossiped record is to replace the one held.

        An entry that is known only from its row in the store is also replaced by an equal record.
        """
        if not self.known_by_gossip:
            return not self.record.is_newer_than(record)
        return record.is_newer_than(self.record)

    def suspicion(self, now: float) -> Suspicion:
        """Returns the suspicion of this entry in the form in which it is gossiped."""
        record = self.record
        age_s = now - (self.suspected_at if self.suspected_at is not None else now)
        return Suspicion(record.entry_id, record.incarnation, record.beat, age_s)


class LiveView:
    """Snapshot of the live entries; values derived from it are computed once, on first use.

    :param own_record: record of this entry.
    :param live: the other live entries.
    :param valid_until: monotonic time at which the next suspicion times out.
    """

    def __init__(
        self, own_record: "EntryRecord", live: t.Sequence[Member], valid_until: float
    ) -> None:
        self._own_record = own_record
        self._live = live
        self.valid_until = valid_until

    @functools.cached_property
    def records(self) -> "t.List[EntryRecord]":
        """Records of the other live entries."""
        return [member.record for member in self._live]

    @functools.cached_property
    def serving_records(self) -> "t.List[EntryRecord]":
        """Records of all entries that callers may be sent to, this one included, by id."""
        found = [record for record in (self._own_record, *self.records) if _is_serving(record)]
        return sorted(found, key=lambda record: record.entry_id)

    @functools.cached_property
    def checksum(self) -> int:
        """See :meth:`.members.Members.checksum`."""
        total = record_digest(self._own_record)
        for member in self._live:
            total ^= member.digest
        return total

    @functools.cached_property
    def rank(self) -> int:
        """See :meth:`.members.Members.rank`."""
        own_order = read_order_key(self._own_record)
        rank = 0
        for member in self._live:
            if member.read_order < own_order and member.record.state is EntryState.SERVING:
                rank += 1
        return rank


def _is_serving(record: "EntryRecord") -> bool:
    return record.ready and record.state is EntryState.SERVING


def read_order_key(record: "EntryRecord") -> t.Tuple[float, bytes]:
    """Returns the sort key of the order in which entries read the store: widest link first."""
    digest = hashlib.blake2b(record.entry_id.encode(), digest_size=8).digest()
    return -record.link_mbps, digest


def rendezvous_hash(name: str, entry_id: t.Union[EntryId, RegionId]) -> bytes:
    """Returns the weight of a candidate for a name (rendezvous hashing); the lowest one wins."""
    return hashlib.blake2b(f"{name} {entry_id}".encode(), digest_size=8).digest()


def record_digest(record: "EntryRecord") -> int:
    """Returns a 64-bit hash of an entry's id and the version of its record."""
    text = f"{record.entry_id} {record.incarnation} {record.beat}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")
