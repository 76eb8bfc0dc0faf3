"""Members: the entries of the fleet, and which of them are alive, by what they say of themselves.

Each entry raises a beat in its own record, and records spread by gossip. An entry whose beat has
not risen for a while is held dead; nobody has to reach it for that.
"""

import hashlib
import random
import typing as t

import msgspec

from .. import defaults
from ..ids import EntryId, EntryState, Incarnation, RegionId, ZoneId
from ..process import log

if t.TYPE_CHECKING:
    from ..process.clock import Clock
    from .model import EntryRecord


class _Known:
    __slots__ = ("alive", "heard_at", "record")

    def __init__(self, record: "EntryRecord", heard_at: float, alive: bool) -> None:
        self.record = record
        self.heard_at = heard_at
        #: Whether it was alive when that was last looked at.
        self.alive = alive


class Members:
    """Records of all entries, by id.

    :param own: this entry's record.
    :param clock: tells the time.
    :param rng: chooses whom to gossip with.
    """

    def __init__(self, own: "EntryRecord", clock: "Clock", rng: random.Random) -> None:
        self.own = own
        self._clock = clock
        self._rng = rng
        self._known: t.Dict[EntryId, _Known] = {}
        self._looked_at = clock.monotonic()

    def beat(self) -> None:
        """Raise the own beat; after a pause of this process, nobody is held dead for it."""
        now = self._clock.monotonic()
        pause = now - self._looked_at - defaults.GOSSIP_S
        self._looked_at = now
        if pause > defaults.ENTRY_DEAD_S / 2:
            log.warning("process.paused", seconds=round(pause, 3))
            for known in self._known.values():
                known.heard_at = min(now, known.heard_at + pause)
        self.own = msgspec.structs.replace(self.own, beat=self.own.beat + 1)
        self._forget(now)
        for known in self._known.values():
            self._look(known, now)

    def set_own(self, *, ready: t.Optional[bool] = None, leaving: bool = False) -> bool:
        """Change what this entry says of itself; whether that is news."""
        own = self.own
        changed = own
        if leaving:
            changed = msgspec.structs.replace(changed, state=EntryState.LEAVING)
        if ready is not None:
            changed = msgspec.structs.replace(changed, ready=ready)
        if changed == own:
            return False
        self.own = msgspec.structs.replace(changed, beat=own.beat + 1)
        return True

    def register(self, record: "EntryRecord") -> None:
        """Take in an entry from the platform's store, which says nothing of whether it lives."""
        if record.entry_id == self.own.entry_id:
            self._outlive(record)
            return
        if record.entry_id not in self._known:
            heard_at = self._clock.monotonic() - defaults.ENTRY_DEAD_S
            self._known[record.entry_id] = _Known(record, heard_at, False)

    def hear(self, records: "t.Iterable[EntryRecord]") -> None:
        """Take in records from another entry."""
        now = self._clock.monotonic()
        for record in records:
            if record.entry_id == self.own.entry_id:
                self._outlive(record)
                continue
            known = self._known.get(record.entry_id)
            if known is None:
                known = self._known[record.entry_id] = _Known(record, now, False)
            elif record.is_newer_than(known.record):
                known.record = record
                known.heard_at = now
            self._look(known, now)

    def records(self) -> "t.Tuple[EntryRecord, ...]":
        """The own record and the ones heard last."""
        latest = sorted(self._known.values(), key=lambda known: known.heard_at, reverse=True)
        others = [known.record for known in latest[: defaults.GOSSIP_RECORDS] if known.alive]
        return (self.own, *others)

    def alive(self) -> "t.List[EntryRecord]":
        """Other entries that are alive, leaving ones included."""
        now = self._clock.monotonic()
        return [known.record for known in self._known.values() if self._is_alive(known, now)]

    def serving(self) -> "t.List[EntryRecord]":
        """Entries that callers may be sent to, this one included if it is one of them."""
        found = [record for record in (self.own, *self.alive()) if _serves(record)]
        return sorted(found, key=lambda record: record.entry_id)

    def all_ids(self) -> t.Set[EntryId]:
        """Entries that may be running, however long they were not heard of."""
        return {self.own.entry_id, *self._known}

    def count(self) -> int:
        """How many entries share what is allowed to all; the dead count until forgotten."""
        return len(self._known) + 1

    def address_of(self, entry_id: EntryId) -> t.Optional[str]:
        """Where an entry takes messages of others."""
        known = self._known.get(entry_id)
        return known.record.peer_address if known is not None else None

    def choose(self, count: int) -> "t.List[EntryRecord]":
        """Entries to gossip with: live ones, and now and then one that was held dead."""
        alive = self.alive()
        chosen = self._rng.sample(alive, min(count, len(alive)))
        silent = [known.record for known in self._known.values() if not known.alive]
        if silent:
            chosen.append(self._rng.choice(silent))
        return chosen

    def rank(self) -> int:
        """This entry's place in the order in which entries read the store for all."""
        own = _weight(self.own.entry_id)
        rank = 0
        for record in self.alive():
            if record.state is EntryState.SERVING and _weight(record.entry_id) < own:
                rank += 1
        return rank

    def _outlive(self, record: "EntryRecord") -> None:
        # An earlier lifetime of this entry, started by a clock that ran ahead.
        if record.incarnation > self.own.incarnation:
            incarnation = Incarnation(record.incarnation + 1)
            self.own = msgspec.structs.replace(self.own, incarnation=incarnation)

    def _is_alive(self, known: _Known, now: float) -> bool:
        return now - known.heard_at < defaults.ENTRY_DEAD_S

    def _look(self, known: _Known, now: float) -> None:
        alive = self._is_alive(known, now)
        if alive == known.alive:
            return
        known.alive = alive
        event = "peer.alive" if alive else "peer.silent"
        log.info(
            event,
            peer=known.record.entry_id,
            zone=known.record.zone,
            age_s=round(now - known.heard_at, 2),
        )

    def _forget(self, now: float) -> None:
        for entry_id, known in list(self._known.items()):
            if now - known.heard_at > defaults.ENTRY_FORGET_S:
                del self._known[entry_id]


def _serves(record: "EntryRecord") -> bool:
    return record.ready and record.state is EntryState.SERVING


def _weight(entry_id: EntryId) -> bytes:
    return hashlib.blake2b(entry_id.encode(), digest_size=8).digest()


def nearest(
    records: "t.Sequence[EntryRecord]", zone: ZoneId, region: RegionId
) -> "t.List[EntryRecord]":
    """Entries of a zone, and as many of the other zones of its region.

    Callers of a zone that is lost can't ask again: those whom they would ask are lost with it.
    Which others they are told of differs by zone.
    """
    in_zone = [record for record in records if record.zone == zone]
    beside = [record for record in records if record.region == region and record.zone != zone]
    beside.sort(key=lambda record: _weight(EntryId(f"{zone} {record.entry_id}")))
    return in_zone + beside[: max(_LEAST_OUTSIDE, len(in_zone))]


#: Entries outside their zone that callers should be told of at the least.
_LEAST_OUTSIDE = 2
