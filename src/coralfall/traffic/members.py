"""Members: the entries of the fleet and which of them are alive, by the SWIM protocol.

In every gossip round an entry probes a few others, so that the cost for each entry does not grow
with the fleet. One that does not answer is suspected, and the suspicion is gossiped to all. A
suspect that learns of it refutes it by a record with a higher beat. A suspicion that is not refuted
in time makes the entry dead until it sends a newer record; entries that exchange messages with it
include the suspicion. See SWIM (Das, Gupta and Motivala, 2002); its indirect probes are the probes
that other entries send to a suspect.

Anti-entropy makes up for lost messages: entries compare a checksum over all that they know, and two
whose checksums go on differing exchange all records.
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
    from ..ids import ServiceId
    from ..process.clock import Clock
    from .messages import Suspicion
    from .model import EntryRecord


class Members:
    """Membership table: the newest record of each entry, and who is suspected or dead.

    :param own_record: record of this entry.
    :param clock: monotonic time.
    :param rng: chooses the entries to probe.
    """

    def __init__(self, own_record: "EntryRecord", clock: "Clock", rng: random.Random) -> None:
        self.own_record = own_record
        self._clock = clock
        self._rng = rng
        self._members_by_id: t.Dict[EntryId, Member] = {}
        self._ids_by_address: t.Dict[str, t.Set[EntryId]] = {}
        #: Caches, dropped when a member changes; both are read many times a second.
        self._cached_ids: t.Optional[t.FrozenSet[EntryId]] = None
        self._cached_view: t.Optional[LiveView] = None
        self._round_started_at = clock.monotonic()
        #: Whether the last round began so late that unanswered probes prove nothing.
        self._is_overloaded = False
        #: Whether other entries were discovered since this process started.
        self.has_discovered_peers = False
        #: Ids of the entries that have rows in the store, as far as these are known.
        self.registered_ids: t.Callable[[], t.FrozenSet[EntryId]] = frozenset
        #: Called when there is an update to gossip: at once, or as soon as the rate limit allows.
        self.on_update: t.Callable[[bool], None] = lambda at_once: None
        #: Called after this process was paused, and may have missed any message.
        self.on_pause: t.Callable[[], None] = lambda: None

    def start_round(self) -> None:
        """Updates timers at the start of a gossip round.

        After a pause of this process, suspicions are extended by its length, so that it declares
        nobody dead because of the pause.
        """
        now = self._clock.monotonic()
        pause_s = now - self._round_started_at - defaults.GOSSIP_INTERVAL_S
        self._round_started_at = now
        self._is_overloaded = pause_s > defaults.GOSSIP_INTERVAL_S * (
            defaults.BUSY_ROUND_FACTOR - 1
        )
        if pause_s > defaults.SUSPICION_TIMEOUT_S / 2:
            log.warning("process.paused", seconds=round(pause_s, 3))
            self._extend_suspicions(now, pause_s)
            self.on_pause()
        self._forget_dead(now)
        self._log_transitions(self._members_by_id.values(), now)

    def update_own(
        self,
        *,
        ready: t.Optional[bool] = None,
        leaving: bool = False,
        cut_off_from: "t.Optional[t.Tuple[ServiceId, ...]]" = None,
    ) -> bool:
        """Changes this entry's record; returns whether anything changed."""
        own_record = self.own_record
        changed = own_record
        if leaving:
            changed = msgspec.structs.replace(changed, state=EntryState.LEAVING)
        if ready is not None:
            changed = msgspec.structs.replace(changed, ready=ready)
        if cut_off_from is not None:
            changed = msgspec.structs.replace(changed, cut_off_from=cut_off_from)
        if changed == own_record:
            return False
        self._publish_own(changed, own_record.beat + 1, at_once=cut_off_from is None)
        return True

    def add_registered(self, record: "EntryRecord") -> None:
        """Adds an entry from its row in the store; it is dead until gossip brings a record.

        A row does not show whether its entry is alive.
        """
        if record.entry_id == self.own_record.entry_id:
            self._outbid_incarnation(record)
            return
        if record.entry_id not in self._members_by_id:
            now = self._clock.monotonic()
            member = self._add(record, now)
            member.suspected_at = now - self._suspicion_timeout_s()
            member.known_by_gossip = False

    def merge_records(self, records: "t.Iterable[EntryRecord]") -> None:
        """Merges records received from another entry; newer ones replace older ones."""
        now = self._clock.monotonic()
        updated: t.List[Member] = []
        for record in records:
            if record.entry_id == self.own_record.entry_id:
                self._outbid_incarnation(record)
                continue
            member = self._members_by_id.get(record.entry_id)
            if member is None:
                member = self._add(record, now)
            elif member.is_outdated_by(record):
                self._update(member, record, now)
            updated.append(member)
        self._log_transitions(updated, now)

    def record_probe_failure(self, address: str) -> None:
        """Counts a probe that was not answered; several in a row make the entry a suspect.

        Does nothing while this process itself is late, as the answer may merely be unread.
        """
        now = self._clock.monotonic()
        if (
            self._is_overloaded
            or now - self._round_started_at
            > defaults.GOSSIP_INTERVAL_S * defaults.BUSY_ROUND_FACTOR
        ):
            return
        for member in self._members_at(address):
            if member.suspected_at is not None:
                continue
            member.failed_probes += 1
            if member.failed_probes >= defaults.SUSPECT_MISSED_PROBES:
                self._suspect(member, 0.0, "own")
                self.on_update(False)

    def record_probe_success(self, address: str) -> None:
        """Resets the count of unanswered probes."""
        for member in self._members_at(address):
            member.failed_probes = 0

    def merge_suspicions(self, suspicions: "t.Iterable[Suspicion]") -> None:
        """Merges suspicions received from another entry, and refutes one of this entry."""
        for suspicion in suspicions:
            version = (suspicion.incarnation, suspicion.beat)
            if suspicion.entry_id == self.own_record.entry_id:
                self._refute(version)
                continue
            member = self._members_by_id.get(suspicion.entry_id)
            if member is not None and member.suspected_at is None and version >= member.version:
                self._suspect(member, suspicion.age_s, "told")

    def recent_records(self) -> "t.Tuple[EntryRecord, ...]":
        """Returns this entry's record and the newest of those updated recently."""
        since = self._clock.monotonic() - defaults.GOSSIP_UPDATE_TTL_S
        found = [
            m for m in self._members_by_id.values() if m.updated_at > since and m.known_by_gossip
        ]
        found.sort(key=lambda member: member.updated_at, reverse=True)
        newest = found[: defaults.MAX_GOSSIP_RECORDS]
        return (self.own_record, *[member.record for member in newest])

    def all_records(self) -> "t.Tuple[EntryRecord, ...]":
        """Returns this entry's record and those of all other live entries."""
        return (self.own_record, *self.alive_records())

    def recent_suspicions(self) -> "t.Tuple[Suspicion, ...]":
        """Returns suspicions that began recently; a random sample if there are too many."""
        now = self._clock.monotonic()
        since = now - defaults.GOSSIP_UPDATE_TTL_S
        found = [m for m in self._gossiped_suspects() if m.suspected_at and m.suspected_at > since]
        if len(found) > defaults.MAX_GOSSIP_SUSPICIONS:
            found = self._rng.sample(found, defaults.MAX_GOSSIP_SUSPICIONS)
        return tuple([member.suspicion(now) for member in found])

    def suspicions_of(self, address: str) -> "t.Tuple[Suspicion, ...]":
        """Returns the suspicions of the entry at an address, to be sent to that entry."""
        now = self._clock.monotonic()
        found = [
            m for m in self._members_at(address) if m.suspected_at is not None and m.known_by_gossip
        ]
        return tuple([member.suspicion(now) for member in found])

    def all_suspicions(self) -> "t.Tuple[Suspicion, ...]":
        """Returns the suspicions of all suspected and dead entries."""
        now = self._clock.monotonic()
        return tuple([member.suspicion(now) for member in self._gossiped_suspects()])

    def _gossiped_suspects(self) -> t.List[Member]:
        """Returns suspected and dead entries of which gossip has brought a record.

        Entries known only from their rows are left out, since they may never have been probed: if
        all entries start at once, each would be reported as a suspect by all that read its row, and
        be declared dead falsely.
        """
        return [
            m
            for m in self._members_by_id.values()
            if m.suspected_at is not None and m.known_by_gossip
        ]

    def checksum(self) -> int:
        """Returns a checksum over the live entries and the versions of their records.

        Two entries with the same checksum agree on both.
        """
        return self._live_view().checksum

    def alive_records(self) -> "t.List[EntryRecord]":
        """Returns records of the other live entries, including those that are leaving."""
        return self._live_view().records

    def _live_view(self) -> LiveView:
        """Returns the live entries, recomputed if a member changed or a suspicion timed out.

        The rank and the checksum are read many times a second, and computing them visits all
        entries.
        """
        now = self._clock.monotonic()
        if self._cached_view is None or now >= self._cached_view.valid_until:
            self._cached_view = self._compute_live_view(now)
        return self._cached_view

    def _compute_live_view(self, now: float) -> LiveView:
        live: t.List[Member] = []
        valid_until = float("inf")
        for member in self._members_by_id.values():
            if member.suspected_at is None:
                live.append(member)
            elif self._is_alive(member, now):
                live.append(member)
                valid_until = min(valid_until, member.suspected_at + self._suspicion_timeout_s())
        return LiveView(self.own_record, live, valid_until)

    def suspected_count(self) -> int:
        """Returns how many entries are suspected but not dead yet."""
        now = self._clock.monotonic()
        return sum(
            member.suspected_at is not None and self._is_alive(member, now)
            for member in self._members_by_id.values()
        )

    def serving_records(self) -> "t.List[EntryRecord]":
        """Returns records of the entries that callers may be sent to, perhaps with this one."""
        return self._live_view().serving_records

    def known_ids(self) -> t.FrozenSet[EntryId]:
        """Returns ids of all entries that may be running, dead ones included until forgotten."""
        if self._cached_ids is None:
            self._cached_ids = frozenset((self.own_record.entry_id, *self._members_by_id))
        return self._cached_ids

    def fleet_size(self) -> int:
        """Returns how many entries there are; dead ones count until they are forgotten."""
        return len(self._members_by_id) + 1

    def sharing_count(self) -> int:
        """Returns how many entries share limits that hold for the fleet.

        Entries that were forgotten, or that this process has never heard of, count as long as they
        have rows in the store: they may only be partitioned from this one.
        """
        return len(self.known_ids() | self.registered_ids())

    def address_of(self, entry_id: EntryId) -> t.Optional[str]:
        """Returns the address at which an entry takes messages of others."""
        member = self._members_by_id.get(entry_id)
        return member.record.peer_address if member is not None else None

    def choose_peers(self, count: int) -> "t.List[EntryRecord]":
        """Chooses the entries to probe in a round: live ones, and one that is dead.

        Each suspect is probed by a few entries of the fleet, so that it learns of the suspicion.

        :param count: how many trusted entries are probed while none is suspected.
        """
        live = [member for member in self._members_by_id.values() if member.was_alive]
        trusted = self._neighbours([member for member in live if member.suspected_at is None])
        # More probes while some are suspected: others may have failed together with them.
        suspected = sum(member.suspected_at is not None for member in live)
        count += min(suspected, defaults.MAX_EXTRA_PROBES)
        chosen = self._rng.sample(trusted, min(count, len(trusted)))
        retried = [m.record for m in live if m.failed_probes and m.suspected_at is None]
        chosen += [record for record in retried if record not in chosen][
            : defaults.MAX_EXTRA_PROBES
        ]
        suspects = [member.record for member in live if member.suspected_at is not None]
        self._rng.shuffle(suspects)
        for record in suspects[: defaults.MAX_SUSPECT_PROBES]:
            if self._rng.random() < defaults.SUSPECT_PROBERS / len(live):
                chosen.append(record)
        dead = [member.record for member in self._members_by_id.values() if not member.was_alive]
        if dead:
            chosen.append(self._rng.choice(dead))
        return chosen

    def _neighbours(self, trusted: "t.Sequence[Member]") -> "t.List[EntryRecord]":
        """Returns the nearest entries; the relation is mostly mutual, as distances are."""
        nearest = heapq.nsmallest(
            defaults.GOSSIP_NEIGHBOURS, trusted, key=lambda member: member.distance
        )
        return [member.record for member in nearest]

    def _add(self, record: "EntryRecord", now: float) -> Member:
        member = self._members_by_id[record.entry_id] = Member(
            record, now, self.own_record.entry_id
        )
        self._ids_by_address.setdefault(record.peer_address, set()).add(record.entry_id)
        self._cached_ids = self._cached_view = None
        return member

    def _update(self, member: Member, record: "EntryRecord", now: float) -> None:
        self._remove_address(member)
        self._ids_by_address.setdefault(record.peer_address, set()).add(record.entry_id)
        member.update(record, now)
        self._cached_view = None

    def _remove_address(self, member: Member) -> None:
        record = member.record
        ids = self._ids_by_address[record.peer_address]
        ids.discard(record.entry_id)
        if not ids:
            del self._ids_by_address[record.peer_address]

    def _members_at(self, address: str) -> t.List[Member]:
        """Returns the entries whose records name an address."""
        return [self._members_by_id[entry_id] for entry_id in self._ids_by_address.get(address, ())]

    def rank(self) -> int:
        """Returns this entry's position in the order in which entries read the store for the fleet.

        Entries with wider links come first, since what is read over a congested link reaches the
        others late.
        """
        return self._live_view().rank

    def is_responsible_for(self, name: str) -> bool:
        """Whether this entry is the serving entry that rendezvous hashing selects for a name.

        Two entries may both be selected for as long as they disagree on which entries are alive.
        """
        ids = [record.entry_id for record in self.serving_records()]
        return (
            min(ids, key=lambda one: rendezvous_hash(name, one), default=None)
            == self.own_record.entry_id
        )

    def _publish_own(self, own_record: "EntryRecord", beat: int, at_once: bool = False) -> None:
        self.own_record = msgspec.structs.replace(own_record, beat=beat)
        self._cached_view = None
        self.on_update(at_once)

    def _refute(self, version: RecordVersion) -> None:
        own_record = self.own_record
        if version < (own_record.incarnation, own_record.beat):
            return
        log.info("entry.suspected", beat=own_record.beat)
        self._publish_own(own_record, max(own_record.beat, version[1]) + 1)

    def _suspect(self, member: Member, age_s: float, evidence: str) -> None:
        now = self._clock.monotonic()
        member.suspected_at = now - age_s
        self._cached_view = None
        record = member.record
        log.info("peer.suspected", peer=record.entry_id, beat=record.beat, evidence=evidence)
        self._log_transitions((member,), now)

    def _outbid_incarnation(self, record: "EntryRecord") -> None:
        # The record is of an earlier run of this entry, whose wall clock was ahead.
        if record.incarnation > self.own_record.incarnation:
            incarnation = Incarnation(record.incarnation + 1)
            self._publish_own(
                msgspec.structs.replace(self.own_record, incarnation=incarnation),
                self.own_record.beat,
            )

    def _is_alive(self, member: Member, now: float) -> bool:
        since = member.suspected_at
        return since is None or now - since < self._suspicion_timeout_s()

    def _suspicion_timeout_s(self) -> float:
        """Returns the seconds that a suspect has to refute; longer in a larger fleet."""
        fourfolds = math.log(max(1.0, self.fleet_size() / defaults.SUSPICION_ENTRIES), 4)
        return defaults.SUSPICION_TIMEOUT_S * (1 + defaults.SUSPICION_GROWTH * fourfolds)

    def _log_transitions(self, members: "t.Iterable[Member]", now: float) -> None:
        """Logs which of these entries became alive or dead since the last call."""
        revived: t.List[Member] = []
        for member in members:
            is_alive = member.suspected_at is None or self._is_alive(member, now)
            if is_alive == member.was_alive:
                continue
            member.was_alive = is_alive
            if is_alive:
                revived.append(member)
            else:
                _log_transition("peer.silent", member, now)
        if len(revived) > log.SINGLE_LINES:
            log.many("peer.alive", "peers", [member.record.entry_id for member in revived])
            return
        for member in revived:
            _log_transition("peer.alive", member, now)

    def _extend_suspicions(self, now: float, pause_s: float) -> None:
        for member in self._members_by_id.values():
            if member.suspected_at is not None and member.was_alive:
                member.suspected_at = min(now, member.suspected_at + pause_s)
                self._cached_view = None

    def _forget_dead(self, now: float) -> None:
        for entry_id, member in list(self._members_by_id.items()):
            dead = not self._is_alive(member, now)
            if dead and now - member.last_heard_at > defaults.DEAD_ENTRY_RETENTION_S:
                del self._members_by_id[entry_id]
                self._remove_address(member)
                self._cached_ids = self._cached_view = None


def _log_transition(event: str, member: Member, now: float) -> None:
    log.info(
        event,
        peer=member.record.entry_id,
        zone=member.record.zone,
        age_s=round(now - member.last_heard_at, 2),
    )
