"""Member: what one entry knows of another one, from its own word and from what others say."""

import functools
import hashlib
import typing as t

from ..ids import EntryId, EntryState, Incarnation, RegionId
from .messages import Suspicion

if t.TYPE_CHECKING:
    from .model import EntryRecord

RecordVersion = t.Tuple[Incarnation, int]


class Member:
    """What is known of one other entry.

    :param record: what it said last.
    :param now: monotonic time.
    :param own_id: of the entry that knows it.
    """

    __slots__ = (
        "alive",
        "digest",
        "distance",
        "heard",
        "heard_at",
        "learnt_at",
        "misses",
        "place",
        "record",
        "suspected_at",
    )

    def __init__(self, record: "EntryRecord", now: float, own_id: EntryId) -> None:
        #: When it was last heard of, by itself or by others.
        self.heard_at = now
        #: Since when it is suspected, if it is.
        self.suspected_at: t.Optional[float] = None
        self.take(record, now)
        #: Whether it was alive when that was last looked at.
        self.alive = False
        #: The same for both of two entries; a lower one is nearer.
        pair = " ".join(sorted((own_id, record.entry_id)))
        self.distance = hashlib.blake2b(pair.encode(), digest_size=8).digest()

    def take(self, record: "EntryRecord", now: float) -> None:
        """Let this be what it said last."""
        self.record = record
        self.digest = digest_of(record)
        self.place = read_order_key(record)
        #: When this record was new here.
        self.learnt_at = self.heard_at = now
        self.suspected_at = None
        #: Questions of this entry in a row that it gave no answer to.
        self.misses = 0
        #: Whether it, or another entry, told of it; else only its row in the store did.
        self.heard = True

    @property
    def mark(self) -> RecordVersion:
        """Lifetime and beat of its last word."""
        return self.record.incarnation, self.record.beat

    def learns_from(self, record: "EntryRecord") -> bool:
        """Whether a record that others tell says more than what is known."""
        if not self.heard:
            return not self.record.is_newer_than(record)
        return record.is_newer_than(self.record)

    def suspicion(self, now: float) -> Suspicion:
        """What others are told of its being suspected."""
        record = self.record
        age_s = now - (self.suspected_at if self.suspected_at is not None else now)
        return Suspicion(record.entry_id, record.incarnation, record.beat, age_s)


class LiveView:
    """The entries that are alive at a time; what follows from them is worked out once.

    :param own: record of the entry that looks.
    :param living: the others.
    :param until: monotonic time at which one of them will be held dead, if it says nothing.
    """

    def __init__(self, own: "EntryRecord", living: t.Sequence[Member], until: float) -> None:
        self._own = own
        self._living = living
        self.until = until

    @functools.cached_property
    def records(self) -> "t.List[EntryRecord]":
        """The others' records."""
        return [known.record for known in self._living]

    @functools.cached_property
    def serving(self) -> "t.List[EntryRecord]":
        """Those that callers may be sent to, the own one included, by id."""
        found = [record for record in (self._own, *self.records) if _serves(record)]
        return sorted(found, key=lambda record: record.entry_id)

    @functools.cached_property
    def sum(self) -> int:
        """See :meth:`.members.Members.sum`."""
        total = digest_of(self._own)
        for known in self._living:
            total ^= known.digest
        return total

    @functools.cached_property
    def rank(self) -> int:
        """See :meth:`.members.Members.rank`."""
        own = read_order_key(self._own)
        rank = 0
        for known in self._living:
            if known.place < own and known.record.state is EntryState.SERVING:
                rank += 1
        return rank


def _serves(record: "EntryRecord") -> bool:
    return record.ready and record.state is EntryState.SERVING


def read_order_key(record: "EntryRecord") -> t.Tuple[float, bytes]:
    """Where an entry stands in the order in which entries read for all: wider links first."""
    digest = hashlib.blake2b(record.entry_id.encode(), digest_size=8).digest()
    return -record.link_mbps, digest


def rendezvous_hash(name: str, entry_id: t.Union[EntryId, RegionId]) -> bytes:
    """Where one stands in the order in which one is chosen for something that has a name."""
    return hashlib.blake2b(f"{name} {entry_id}".encode(), digest_size=8).digest()


def digest_of(record: "EntryRecord") -> int:
    """A number that stands for an entry and its last word."""
    text = f"{record.entry_id} {record.incarnation} {record.beat}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")
