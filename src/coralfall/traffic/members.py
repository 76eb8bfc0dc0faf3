"""Members: the entries of the fleet, and which of them are alive.

Nobody tells everybody that it lives: that would cost each entry bytes in proportion to the fleet.
Each entry asks a few others in every round. One that gives no answer is suspected, and the
suspicion is told to all; a suspect that hears of it raises its beat and tells that. A suspicion
that is not refuted in time makes an entry dead until it is; whoever talks with it says so. This
is the scheme of SWIM (Das, Gupta and Motivala, 2002); its indirect probes are the questions that
a suspect gets from others.

What one round missed is made up for by a sum over all that is known: two entries whose sums go on
differing tell each other everything.
"""

import heapq
import math
import random
import typing as t

import msgspec

from .. import defaults
from ..ids import EntryId, EntryState, Incarnation
from ..process import log
from .member import LiveView, Member, RecordVersion, rendezvous_hash

if t.TYPE_CHECKING:
    from ..process.clock import Clock
    from .messages import Suspicion
    from .model import EntryRecord


class Members:
    """Records of all entries, by id.

    :param own: this entry's record.
    :param clock: tells the time.
    :param rng: chooses whom to ask.
    """

    def __init__(self, own: "EntryRecord", clock: "Clock", rng: random.Random) -> None:
        self.own_record = own
        self._clock = clock
        self._rng = rng
        self._members_by_id: t.Dict[EntryId, Member] = {}
        self._ids_by_address: t.Dict[str, t.Set[EntryId]] = {}
        #: Kept until they change; each is asked for many times a second.
        self._ids: t.Optional[t.FrozenSet[EntryId]] = None
        self._present: t.Optional[LiveView] = None
        self._looked_at = clock.monotonic()
        #: Whether this process was late itself when it last looked at the time.
        self._busy = False
        #: Whether the others were learnt of since this process started.
        self.has_discovered_peers = False
        #: Called when there is something to tell the others: at once, or when there is room.
        self.on_update: t.Callable[[bool], None] = lambda at_once: None
        #: Called when this process has slept and may have missed anything.
        self.on_pause: t.Callable[[], None] = lambda: None

    def start_round(self) -> None:
        """Look at the time, once a round; after a pause of this process, nobody dies of it."""
        now = self._clock.monotonic()
        pause = now - self._looked_at - defaults.GOSSIP_INTERVAL_S
        self._looked_at = now
        self._busy = pause > defaults.GOSSIP_INTERVAL_S * (defaults.BUSY_ROUND_FACTOR - 1)
        if pause > defaults.SUSPICION_TIMEOUT_S / 2:
            log.warning("process.paused", seconds=round(pause, 3))
            self._excuse(now, pause)
            self.on_pause()
        self._forget(now)
        self._note_all(self._members_by_id.values(), now)

    def update_own(self, *, ready: t.Optional[bool] = None, leaving: bool = False) -> bool:
        """Change what this entry says of itself; whether that is news."""
        own = self.own_record
        changed = own
        if leaving:
            changed = msgspec.structs.replace(changed, state=EntryState.LEAVING)
        if ready is not None:
            changed = msgspec.structs.replace(changed, ready=ready)
        if changed == own:
            return False
        self._tell(changed, own.beat + 1, at_once=True)
        return True

    def add_registered(self, record: "EntryRecord") -> None:
        """Take in an entry from the platform's store, which says nothing of whether it lives."""
        if record.entry_id == self.own_record.entry_id:
            self._outlive(record)
            return
        if record.entry_id not in self._members_by_id:
            now = self._clock.monotonic()
            known = self._add(record, now)
            known.suspected_at = now - self._patience()
            known.heard = False

    def merge_records(self, records: "t.Iterable[EntryRecord]") -> None:
        """Take in records that another entry told."""
        now = self._clock.monotonic()
        heard: t.List[Member] = []
        for record in records:
            if record.entry_id == self.own_record.entry_id:
                self._outlive(record)
                continue
            known = self._members_by_id.get(record.entry_id)
            if known is None:
                known = self._add(record, now)
            elif known.learns_from(record):
                self._take(known, record, now)
            heard.append(known)
        self._note_all(heard, now)

    def record_probe_failure(self, address: str) -> None:
        """Note that an entry was asked and gave no answer; it is asked again, then suspected.

        An entry that is late itself blames nobody.
        """
        now = self._clock.monotonic()
        if (
            self._busy
            or now - self._looked_at > defaults.GOSSIP_INTERVAL_S * defaults.BUSY_ROUND_FACTOR
        ):
            return
        for known in self._members_at(address):
            if known.suspected_at is not None:
                continue
            known.misses += 1
            if known.misses >= defaults.SUSPECT_MISSED_PROBES:
                self._suspect(known, 0.0, "own")
                self.on_update(False)

    def record_probe_success(self, address: str) -> None:
        """Note that an entry has answered."""
        for known in self._members_at(address):
            known.misses = 0

    def merge_suspicions(self, suspicions: "t.Iterable[Suspicion]") -> None:
        """Take in suspicions that another entry told."""
        for suspicion in suspicions:
            mark = (suspicion.incarnation, suspicion.beat)
            if suspicion.entry_id == self.own_record.entry_id:
                self._refute(mark)
                continue
            known = self._members_by_id.get(suspicion.entry_id)
            if known is not None and known.suspected_at is None and mark >= known.mark:
                self._suspect(known, suspicion.age_s, "told")

    def recent_records(self) -> "t.Tuple[EntryRecord, ...]":
        """The own record and the newest ones that are news still."""
        since = self._clock.monotonic() - defaults.GOSSIP_UPDATE_TTL_S
        found = [k for k in self._members_by_id.values() if k.learnt_at > since and k.heard]
        found.sort(key=lambda known: known.learnt_at, reverse=True)
        newest = found[: defaults.MAX_GOSSIP_RECORDS]
        return (self.own_record, *[known.record for known in newest])

    def all_records(self) -> "t.Tuple[EntryRecord, ...]":
        """The own record and those of the living."""
        return (self.own_record, *self.alive_records())

    def recent_suspicions(self) -> "t.Tuple[Suspicion, ...]":
        """Suspicions that are news still."""
        now = self._clock.monotonic()
        since = now - defaults.GOSSIP_UPDATE_TTL_S
        found = [k for k in self._doubted() if k.suspected_at and k.suspected_at > since]
        if len(found) > defaults.MAX_GOSSIP_SUSPICIONS:
            found = self._rng.sample(found, defaults.MAX_GOSSIP_SUSPICIONS)
        return tuple([known.suspicion(now) for known in found])

    def suspicions_of(self, address: str) -> "t.Tuple[Suspicion, ...]":
        """What the entry at an address is to be told that it is suspected of, if it is."""
        now = self._clock.monotonic()
        found = [k for k in self._members_at(address) if k.suspected_at is not None and k.heard]
        return tuple([known.suspicion(now) for known in found])

    def all_suspicions(self) -> "t.Tuple[Suspicion, ...]":
        """Suspicions, and who is held dead."""
        now = self._clock.monotonic()
        return tuple([known.suspicion(now) for known in self._doubted()])

    def _doubted(self) -> t.List[Member]:
        """Those that are suspected or held dead, and were heard of once.

        Others may never have been asked: all that start at once would be held dead falsely, if each
        were told as suspected by all that had read its row.
        """
        return [k for k in self._members_by_id.values() if k.suspected_at is not None and k.heard]

    def checksum(self) -> int:
        """A number that two entries share if they agree on who lives and what these last said."""
        return self._live_view().sum

    def alive_records(self) -> "t.List[EntryRecord]":
        """Other entries that are alive, leaving ones included."""
        return self._live_view().records

    def _live_view(self) -> LiveView:
        """Who is alive now; worked out anew when it has changed, by a word or by time.

        The rank and the sum are asked for many times a second, and all entries would be looked at.
        """
        now = self._clock.monotonic()
        if self._present is None or now >= self._present.until:
            self._present = self._compute_live_view(now)
        return self._present

    def _compute_live_view(self, now: float) -> LiveView:
        living: t.List[Member] = []
        until = float("inf")
        for known in self._members_by_id.values():
            if known.suspected_at is None:
                living.append(known)
            elif self._is_alive(known, now):
                living.append(known)
                until = min(until, known.suspected_at + self._patience())
        return LiveView(self.own_record, living, until)

    def suspected_count(self) -> int:
        """How many entries are suspected and not held dead yet."""
        now = self._clock.monotonic()
        return sum(
            known.suspected_at is not None and self._is_alive(known, now)
            for known in self._members_by_id.values()
        )

    def serving_records(self) -> "t.List[EntryRecord]":
        """Entries that callers may be sent to, this one included if it is one of them."""
        return self._live_view().serving

    def known_ids(self) -> t.FrozenSet[EntryId]:
        """Entries that may be running, however long they were not heard of."""
        if self._ids is None:
            self._ids = frozenset((self.own_record.entry_id, *self._members_by_id))
        return self._ids

    def fleet_size(self) -> int:
        """How many entries share what is allowed to all; the dead count until forgotten."""
        return len(self._members_by_id) + 1

    def address_of(self, entry_id: EntryId) -> t.Optional[str]:
        """Where an entry takes messages of others."""
        known = self._members_by_id.get(entry_id)
        return known.record.peer_address if known is not None else None

    def choose_peers(self, count: int) -> "t.List[EntryRecord]":
        """Entries to ask in a round: live ones, and one of those that are held dead.

        Each suspect is asked by a few of all entries, so that it hears of the suspicion.
        """
        living = [known for known in self._members_by_id.values() if known.alive]
        trusted = self._neighbours([known for known in living if known.suspected_at is None])
        # Where some were lost, others may have been lost with them.
        suspected = sum(known.suspected_at is not None for known in living)
        count += min(suspected, defaults.MAX_EXTRA_PROBES)
        chosen = self._rng.sample(trusted, min(count, len(trusted)))
        missed = [k.record for k in living if k.misses and k.suspected_at is None]
        chosen += [record for record in missed if record not in chosen][: defaults.MAX_EXTRA_PROBES]
        suspects = [known.record for known in living if known.suspected_at is not None]
        self._rng.shuffle(suspects)
        for record in suspects[: defaults.MAX_SUSPECT_PROBES]:
            if self._rng.random() < defaults.SUSPECT_PROBERS / len(living):
                chosen.append(record)
        silent = [known.record for known in self._members_by_id.values() if not known.alive]
        if silent:
            chosen.append(self._rng.choice(silent))
        return chosen

    def _neighbours(self, trusted: "t.Sequence[Member]") -> "t.List[EntryRecord]":
        """The nearest of them; they have this entry as a neighbour too, for the most part."""
        nearest = heapq.nsmallest(
            defaults.GOSSIP_NEIGHBOURS, trusted, key=lambda known: known.distance
        )
        return [known.record for known in nearest]

    def _add(self, record: "EntryRecord", now: float) -> Member:
        known = self._members_by_id[record.entry_id] = Member(record, now, self.own_record.entry_id)
        self._ids_by_address.setdefault(record.peer_address, set()).add(record.entry_id)
        self._ids = self._present = None
        return known

    def _take(self, known: Member, record: "EntryRecord", now: float) -> None:
        self._unlist(known)
        self._ids_by_address.setdefault(record.peer_address, set()).add(record.entry_id)
        known.take(record, now)
        self._present = None

    def _unlist(self, known: Member) -> None:
        record = known.record
        listed = self._ids_by_address[record.peer_address]
        listed.discard(record.entry_id)
        if not listed:
            del self._ids_by_address[record.peer_address]

    def _members_at(self, address: str) -> t.List[Member]:
        """Those that said that they take messages at an address."""
        return [self._members_by_id[entry_id] for entry_id in self._ids_by_address.get(address, ())]

    def rank(self) -> int:
        """This entry's place in the order in which entries read the store for all.

        Those with wider links come first: what a choked one reads comes late to all.
        """
        return self._live_view().rank

    def is_responsible_for(self, name: str) -> bool:
        """Whether this entry is the one of all that serve to do what one of them alone should do.

        Two may think so for as long as they disagree on who lives.
        """
        ids = [record.entry_id for record in self.serving_records()]
        return (
            min(ids, key=lambda one: rendezvous_hash(name, one), default=None)
            == self.own_record.entry_id
        )

    def _tell(self, own: "EntryRecord", beat: int, at_once: bool = False) -> None:
        self.own_record = msgspec.structs.replace(own, beat=beat)
        self._present = None
        self.on_update(at_once)

    def _refute(self, mark: RecordVersion) -> None:
        own = self.own_record
        if mark < (own.incarnation, own.beat):
            return
        log.info("entry.suspected", beat=own.beat)
        self._tell(own, max(own.beat, mark[1]) + 1)

    def _suspect(self, known: Member, age_s: float, evidence: str) -> None:
        now = self._clock.monotonic()
        known.suspected_at = now - age_s
        self._present = None
        record = known.record
        log.info("peer.suspected", peer=record.entry_id, beat=record.beat, evidence=evidence)
        self._note_all((known,), now)

    def _outlive(self, record: "EntryRecord") -> None:
        # An earlier lifetime of this entry, started by a clock that ran ahead.
        if record.incarnation > self.own_record.incarnation:
            incarnation = Incarnation(record.incarnation + 1)
            self._tell(
                msgspec.structs.replace(self.own_record, incarnation=incarnation),
                self.own_record.beat,
            )

    def _is_alive(self, known: Member, now: float) -> bool:
        since = known.suspected_at
        return since is None or now - since < self._patience()

    def _patience(self) -> float:
        """Seconds in which a refutation comes, if there is one; more in a larger fleet."""
        fourfolds = math.log(max(1.0, self.fleet_size() / defaults.SUSPICION_ENTRIES), 4)
        return defaults.SUSPICION_TIMEOUT_S * (1 + defaults.SUSPICION_GROWTH * fourfolds)

    def _note_all(self, some: "t.Iterable[Member]", now: float) -> None:
        """Log who came to life and who fell silent."""
        risen: t.List[Member] = []
        for known in some:
            alive = known.suspected_at is None or self._is_alive(known, now)
            if alive == known.alive:
                continue
            known.alive = alive
            if alive:
                risen.append(known)
            else:
                _log_one("peer.silent", known, now)
        if len(risen) > log.SINGLE_LINES:
            log.many("peer.alive", "peers", [known.record.entry_id for known in risen])
            return
        for known in risen:
            _log_one("peer.alive", known, now)

    def _excuse(self, now: float, pause: float) -> None:
        for known in self._members_by_id.values():
            if known.suspected_at is not None and known.alive:
                known.suspected_at = min(now, known.suspected_at + pause)
                self._present = None

    def _forget(self, now: float) -> None:
        for entry_id, known in list(self._members_by_id.items()):
            dead = not self._is_alive(known, now)
            if dead and now - known.heard_at > defaults.DEAD_ENTRY_RETENTION_S:
                del self._members_by_id[entry_id]
                self._unlist(known)
                self._ids = self._present = None


def _log_one(event: str, known: Member, now: float) -> None:
    log.info(
        event,
        peer=known.record.entry_id,
        zone=known.record.zone,
        age_s=round(now - known.heard_at, 2),
    )
