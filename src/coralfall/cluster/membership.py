"""Keeps an entry's place in the roster and its copy of what the table says."""

import enum
import typing as t

import msgspec

from ..bundles.bundle import Head, encode
from ..bundles.rollout import PartnerRollout
from ..exceptions import PlatformError, PlatformUnknownError
from ..ids import EntryState, Era, Incarnation, PartnerId, Position, Revision
from ..process import log
from ..process.clock import Clock, PlatformClock
from ..settings import EntrySettings
from ..stores.era_table import join_position, split_revision
from ..stores.store import Check, Platform, Row, TransactResult, Write
from .lease import Lease
from .roster import Roster, may_replace
from .rows import (
    COORDINATOR_KEY,
    HEAD_PREFIX,
    LEASE_PREFIX,
    ROSTER_PREFIX,
    CoordinatorRow,
    LeaseRow,
    Member,
    decode_row,
    head_key,
    lease_key,
    roster_key,
)
from .table_feed import TableFeed


class MembershipState(enum.Enum):
    """Where an entry stands towards the roster."""

    OUTSIDE = "outside"
    JOINED = "joined"
    LEAVING = "leaving"
    LEFT = "left"


class Membership:
    """What the entry writes to the platform's table of itself, and reads of the others.

    :param settings: the entry's settings.
    :param platform: the platform.
    :param clock: the VM's clocks.
    :param roster: kept as the table has it.
    :param rollouts: kept as the table's head rows have them, by partner.
    :param lease: of the present life in the roster.
    :param apply_roster: makes the slots follow the roster, before the lease may count on it.
    :param acknowledged: revision of the roster by which the slots are used.
    :param era_began: told when an answer is of a later era of the table than those before.
    """

    def __init__(
        self,
        settings: EntrySettings,
        platform: Platform,
        clock: Clock,
        roster: Roster,
        rollouts: t.Mapping[PartnerId, PartnerRollout],
        lease: Lease,
        apply_roster: t.Callable[[], None],
        acknowledged: t.Callable[[], Revision],
        era_began: t.Callable[[Era], None],
    ) -> None:
        self._settings = settings
        self._table = platform.table
        self._vms = platform.vms
        self._clock = clock
        self._roster = roster
        self._rollouts = rollouts
        self._apply_roster = apply_roster
        self._acknowledged = acknowledged
        self._era_began = era_began
        prefixes = (HEAD_PREFIX, ROSTER_PREFIX, COORDINATOR_KEY)
        self._feed = TableFeed(platform.table, prefixes, clock, self._observe)
        self._renewals = 0
        self._last_incarnation = Incarnation(0)
        self._lease_revision = Revision(0)
        self._roster_revision = Revision(0)
        self.platform_clock = PlatformClock(clock)
        self.state = MembershipState.OUTSIDE
        self.lease = lease
        self.member: t.Optional[Member] = None
        #: The coordinator's row as last read, and its revision.
        self.coordinator: t.Optional[CoordinatorRow] = None
        self.coordinator_revision = Revision(0)
        #: Monotonic time of the platform's last answer.
        self.answered_at = float("-inf")

    def platform_age(self) -> float:
        """Seconds since the platform last answered."""
        return self._clock.monotonic() - self.answered_at

    async def poll(self) -> None:
        """Read what changed in the table: heads, roster and coordinator.

        :raises PlatformError: if the table can't be read; what is known stays.
        """
        update = await self._feed.read()
        if update.is_later_era:
            self._begin_era(update.era)
        # A roster of an earlier era may also have come from a peer.
        if update.has_all_rows and split_revision(self._roster.revision).era < update.era:
            self._replace_roster(update.rows, update.era)
        self._take(update.rows)

    def _begin_era(self, era: Era) -> None:
        """Forgets what the table may have lost, but for heads, which stay in force."""
        self.coordinator = None
        self.coordinator_revision = Revision(0)
        self._era_began(era)

    def _replace_roster(self, rows: t.Sequence[Row], era: Era) -> None:
        """Takes the members from all rows, which don't tell what the table has lost."""
        revision = join_position(Position(era, Revision(0)))
        members = []
        for row in rows:
            if not row.key.startswith(ROSTER_PREFIX):
                continue
            revision = max(revision, row.revision)
            if row.value is not None:
                members.append(msgspec.msgpack.decode(row.value, type=Member))
        self._roster.replace(members, revision)

    def _take(self, rows: t.Sequence[Row]) -> None:
        roster_rows = []
        for row in rows:
            if row.key.startswith(ROSTER_PREFIX):
                roster_rows.append(row)
                continue
            if row.key == COORDINATOR_KEY:
                self._take_coordinator(row)
                continue
            self._take_head(row)
        self._roster.apply(roster_rows)
        self._after_roster()

    async def join(self, member: Member) -> bool:
        """Write the entry's roster and lease rows, if no head moved meanwhile.

        The check on the heads makes sure that no bundle is accepted which the entry has not
        staged without the coordinator knowing of the entry.

        :param member: the row to write; its incarnation is raised above an earlier life's.
        :return: whether the entry is in the roster now.
        :raises PlatformError: if the table can't be reached.
        """
        keys = [roster_key(member.entry_id), lease_key(member.entry_id)]
        rows_by_key = await self._table.read(keys)
        earlier = rows_by_key.get(keys[0])
        newest = self._last_incarnation
        present: t.Optional[Member] = None
        if earlier is not None and earlier.value is not None:
            present = msgspec.msgpack.decode(earlier.value, type=Member)
            newest = max(newest, present.incarnation)
        if newest >= member.incarnation:
            member = msgspec.structs.replace(member, incarnation=Incarnation(newest + 1))
        if present is not None and not await self._may_replace(present, member):
            return False
        sent = self._clock.monotonic()
        self._renewals = 1
        self._last_incarnation = member.incarnation
        self.member = member
        writes = [
            Write(keys[0], msgspec.msgpack.encode(member), _revision_of(earlier)),
            Write(keys[1], self._lease_value(), _revision_of(rows_by_key.get(keys[1]))),
        ]
        head_writes, head_checks = self._hold_heads()
        result = await self._transact([*writes, *head_writes], head_checks)
        if not result.committed:
            self.member = None
            return False
        self.lease.begin()
        self.state = MembershipState.JOINED
        await self.poll()
        self.lease.renewed(sent)
        log.info("membership.joined", entry=member.entry_id, incarnation=member.incarnation)
        return True

    def _hold_heads(self) -> t.Tuple[t.List[Write], t.List[Check]]:
        """Writes and checks that fail if a head is no longer as this entry has read it."""
        writes: t.List[Write] = []
        checks: t.List[Check] = []
        for partner, rollout in self._rollouts.items():
            if rollout.missing():
                # Moves the head's revision, so that a coordinator that has not seen this
                # entry yet can't accept what the entry has not staged.
                value = encode(rollout.head)
                writes.append(Write(head_key(partner), value, rollout.revision))
                continue
            checks.append(Check(head_key(partner), rollout.revision))
        return writes, checks

    async def _may_replace(self, present: Member, member: Member) -> bool:
        vms = await self._vms.list() if present.vm_id != member.vm_id else {}
        if may_replace(present, member, vms):
            return True
        log.warning("membership.id_taken", entry=member.entry_id, vm=present.vm_id)
        return False

    async def renew(self) -> bool:
        """Renew the lease, then read what changed.

        The lease counts from before the write left, and only once the read after it has been
        taken in: a lease that is held means a roster that is at least as fresh.

        :return: ``False`` if the entry is no longer in the roster.
        :raises PlatformError: if the table can't be reached.
        """
        assert self.member is not None
        sent = self._clock.monotonic()
        self._renewals += 1
        key = lease_key(self.member.entry_id)
        writes = [Write(key, self._lease_value(), self._lease_revision)]
        checks = [Check(roster_key(self.member.entry_id), self._roster_revision)]
        try:
            result = await self._transact(writes, checks)
        except PlatformError:
            self.lease.platform_failed(sent)
            raise
        if not result.committed:
            return self._take_conflicts(result)
        try:
            await self.poll()
        except PlatformError:
            self.lease.platform_failed(sent)
            raise
        self.lease.renewed(sent)
        return True

    async def start_leaving(self) -> None:
        """Say in the roster that the entry leaves, so that look-ups stop naming it."""
        self.state = MembershipState.LEAVING
        if self.member is None:
            return
        member = msgspec.structs.replace(self.member, state=EntryState.LEAVING)
        write = Write(
            roster_key(member.entry_id), msgspec.msgpack.encode(member), self._roster_revision
        )
        result = await self._transact([write])
        if result.committed:
            self.member = member

    async def leave(self) -> None:
        """Take the entry's rows out of the table; nothing may be in flight any more."""
        if self.member is None:
            return
        entry_id = self.member.entry_id
        writes = [
            Write(roster_key(entry_id), None, self._roster_revision),
            Write(lease_key(entry_id), None),
        ]
        await self._transact(writes)
        self.lease.removed()
        self.member = None
        self.state = MembershipState.LEFT

    def learn_roster(self, members: t.Sequence[Member], revision: Revision) -> None:
        """Take in a peer's roster, if it is newer than the one known."""
        if revision <= self._roster.revision:
            return
        self._roster.replace(members, revision)
        self._after_roster()

    def _take_conflicts(self, result: TransactResult) -> bool:
        """Learn from a refused renewal; a late earlier renewal of ours is no removal."""
        assert self.member is not None
        for row in result.conflicts:
            if row.key == roster_key(self.member.entry_id):
                self._fall_out()
                return False
            if row.value is None:
                self._fall_out()
                return False
            lease = msgspec.msgpack.decode(row.value, type=LeaseRow)
            if lease.incarnation != self.member.incarnation:
                self._fall_out()
                return False
            self._lease_revision = row.revision
        return True

    def _take_coordinator(self, row: Row) -> None:
        self.coordinator_revision = row.revision
        if row.value is None:
            self.coordinator = None
            return
        self.coordinator = msgspec.msgpack.decode(row.value, type=CoordinatorRow)

    def _take_head(self, row: Row) -> None:
        rollout = self._rollouts.get(PartnerId(row.key[len(HEAD_PREFIX) :]))
        if rollout is None or row.value is None:
            return
        try:
            head = decode_row(row, Head)
        except PlatformError as error:
            # What else came with it must be taken in, the roster above all.
            log.error("rollout.head_unreadable", partner=rollout.partner, error=error.message)
            return
        if rollout.learn_from_table(head, row.revision):
            log.info(
                "rollout.head",
                partner=rollout.partner,
                accepted=head.accepted and head.accepted.version,
                staged=head.staged and head.staged.version,
            )

    def _after_roster(self) -> None:
        others = self._roster.by_id.keys() - {self._settings.entry_id}
        self.lease.set_alone(not others)
        self._apply_roster()
        if self.member is None or self.state not in (
            MembershipState.JOINED,
            MembershipState.LEAVING,
        ):
            return
        if self._roster.revision < self._roster_revision:
            # A peer's roster from before this entry's own row was written.
            return
        if not self._roster.holds(self.member.entry_id, self.member.incarnation):
            self._fall_out()

    def _fall_out(self) -> None:
        log.warning("membership.removed", entry=self._settings.entry_id)
        self.lease.removed()
        self.member = None
        if self.state is MembershipState.JOINED:
            self.state = MembershipState.OUTSIDE

    def _lease_value(self) -> bytes:
        assert self.member is not None
        staged = {}
        in_force = {}
        for partner, rollout in self._rollouts.items():
            staged[partner] = rollout.staged_version()
            in_force[partner] = rollout.in_force_version()
        row = LeaseRow(
            entry_id=self.member.entry_id,
            incarnation=self.member.incarnation,
            renewals=self._renewals,
            roster_revision=self._acknowledged(),
            staged=staged,
            in_force=in_force,
        )
        return msgspec.msgpack.encode(row)

    async def _transact(
        self, writes: t.Sequence[Write], checks: t.Sequence[Check] = ()
    ) -> TransactResult:
        sent = self._clock.monotonic()
        try:
            result = await self._table.transact(writes, checks)
        except PlatformUnknownError:
            result = await self._settle(writes)
        else:
            self._observe(sent, result.now)
        if result.committed:
            self._learn_revisions(writes, result)
        return result

    async def _settle(self, writes: t.Sequence[Write]) -> TransactResult:
        """Find out by reading whether a transaction whose answer was lost took effect."""
        keys = [write.key for write in writes]
        rows_by_key = await self._table.read(keys)
        revision = Revision(0)
        for write in writes:
            row = rows_by_key.get(write.key)
            value = None if row is None else row.value
            if value != write.value:
                raise PlatformUnknownError(f"whether {write.key!r} was written is unknown")
            revision = max(revision, _revision_of(row))
        return TransactResult(True, revision, (), self.platform_clock.now())

    def _learn_revisions(self, writes: t.Sequence[Write], result: TransactResult) -> None:
        for write in writes:
            if write.key.startswith(ROSTER_PREFIX):
                self._roster_revision = result.revision
            if write.key.startswith(LEASE_PREFIX):
                self._lease_revision = result.revision

    def _observe(self, sent: float, platform_now: float) -> None:
        received = self._clock.monotonic()
        self.answered_at = received
        self.platform_clock.observe(sent, received, platform_now)


def _revision_of(row: t.Optional[Row]) -> Revision:
    return Revision(0) if row is None else row.revision
