"""The duty that one entry at a time has for all: accepting bundles that every entry holds."""

import typing as t

import msgspec

from ..balancing.shift_plan import planned_shares_by_service
from ..bundles import line
from ..bundles.bundle import VersionRef
from ..bundles.remover import Remover
from ..bundles.rollout import PartnerRollout
from ..exceptions import PlatformUnknownError, SubmitError
from ..idempotency.claim_sweep import ClaimSweeper
from ..ids import EntryId, PartnerId, Revision
from ..process import log
from ..process.clock import Clock
from ..settings import EntrySettings
from ..stores.store import Check, Platform, Row, Write
from .membership import Membership
from .roster import Roster
from .rows import COORDINATOR_KEY, LEASE_PREFIX, CoordinatorRow, LeaseRow

#: Most turns that an entry waits before it takes a duty that is free.
MAX_TURNS = 10
#: Seconds between two rounds of removing old claims.
SWEEP_S = 60.0


class Coordinator:
    """The duty that one entry at a time has for all of them.

    The duty is a lease in the table. Every write of its holder checks the lease row's
    revision in the same transaction, so a holder that was paused and lost the duty can't
    act on it. An entry that has the duty and dies is followed by another after it sees the
    row unchanged for longer than the lease's time.

    :param settings: the entry's settings.
    :param platform: the platform.
    :param clock: the VM's clocks.
    :param membership: the entry's own place in the roster.
    :param roster: the roster.
    :param rollouts: the partners' lines.
    :param tell_news: called when a bundle was accepted.
    """

    def __init__(
        self,
        settings: EntrySettings,
        platform: Platform,
        clock: Clock,
        membership: Membership,
        roster: Roster,
        rollouts: t.Mapping[PartnerId, PartnerRollout],
        tell_news: t.Callable[[], None],
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._clock = clock
        self._membership = membership
        self._roster = roster
        self._rollouts = rollouts
        self._tell_news = tell_news
        self._renewals = 0
        self._seen_revision = Revision(-1)
        self._seen_at = clock.monotonic()
        self._lease_since = Revision(0)
        self._leases_by_id: t.Dict[EntryId, LeaseRow] = {}
        self._remover = Remover(settings.lease, platform, clock, roster)
        self._sweeper = ClaimSweeper(platform.table)
        self._next_sweep = clock.monotonic() + SWEEP_S

    async def tick(self) -> None:
        """Take or keep the duty, and do what it asks for.

        :raises PlatformError: if the platform can't be reached; the next call goes on.
        """
        member = self._membership.member
        if member is None:
            return
        if not await self._hold_duty(member.entry_id):
            return
        for rollout in self._rollouts.values():
            if rollout.head.staged is not None and rollout.revision:
                await self._read_leases()
                await self._accept_if_staged(rollout, rollout.head.staged)
        await self._remover.tick(self._fence())
        await self._sweep_claims()

    def _fence(self) -> Check:
        """Makes a write take effect only while this entry holds the duty."""
        return Check(COORDINATOR_KEY, self._membership.coordinator_revision)

    async def _hold_duty(self, entry_id: EntryId) -> bool:
        membership = self._membership
        row = membership.coordinator
        mine = row is not None and membership.member is not None
        mine = mine and row is not None and row.entry_id == entry_id
        if not mine and not self._may_take_over(row, entry_id):
            return False
        assert membership.member is not None
        self._renewals += 1
        value = CoordinatorRow(
            entry_id=entry_id,
            incarnation=membership.member.incarnation,
            renewals=self._renewals,
        )
        write = Write(
            COORDINATOR_KEY, msgspec.msgpack.encode(value), membership.coordinator_revision
        )
        result = await self._platform.table.transact([write])
        if not result.committed:
            return False
        if not mine:
            log.info("coordinator.taken", entry=entry_id)
            self._remover.reset()
        membership.coordinator = value
        membership.coordinator_revision = result.revision
        return True

    def _may_take_over(self, row: t.Optional[CoordinatorRow], entry_id: EntryId) -> bool:
        now = self._clock.monotonic()
        revision = self._membership.coordinator_revision
        if revision != self._seen_revision:
            self._seen_revision = revision
            self._seen_at = now
        free_for_s = now - self._seen_at
        if row is not None and row.entry_id in self._roster.by_id:
            free_for_s -= self._settings.lease.ttl_s
        return free_for_s > 0 and free_for_s > self._turn_s(entry_id, revision)

    def _turn_s(self, entry_id: EntryId, revision: Revision) -> float:
        """Seconds that this entry leaves to those that come before it in a random order.

        Without it all entries of a large fleet would write at once when the duty is free.
        """
        order = self._roster.ranked(f"{COORDINATOR_KEY}/{revision}")
        turn = min(order.index(entry_id), MAX_TURNS) if entry_id in order else MAX_TURNS
        return turn * self._settings.lease.poll_s

    async def _read_leases(self) -> None:
        """Read what entries hold; only done while a bundle is staged, since it is much."""
        more = True
        while more:
            changes = await self._platform.table.changes((LEASE_PREFIX,), self._lease_since)
            self._lease_since = changes.revision
            if changes.is_snapshot:
                self._leases_by_id.clear()
            for row in changes.rows:
                self._take_lease(row)
            more = changes.more

    def _take_lease(self, row: Row) -> None:
        entry_id = EntryId(row.key[len(LEASE_PREFIX) :])
        if row.value is None:
            self._leases_by_id.pop(entry_id, None)
            return
        self._leases_by_id[entry_id] = msgspec.msgpack.decode(row.value, type=LeaseRow)

    async def _accept_if_staged(self, rollout: PartnerRollout, staged: VersionRef) -> None:
        for entry_id, member in self._roster.by_id.items():
            lease = self._leases_by_id.get(entry_id)
            if lease is None or lease.incarnation != member.incarnation:
                return
            if lease.staged.get(rollout.partner, 0) < staged.version:
                return
        now = self._membership.platform_clock.now()
        accepted = rollout.accepted()
        shares = {} if accepted is None else planned_shares_by_service(rollout.head, accepted, now)
        try:
            head = await line.accept(
                self._platform, rollout.head, rollout.revision, shares, now, [self._fence()]
            )
        except PlatformUnknownError:
            # The next poll shows whether the head moved; writing again could not tell.
            return
        except SubmitError as error:
            log.info("rollout.not_accepted", partner=rollout.partner, error=error.message)
            return
        log.info("rollout.accepted", partner=rollout.partner, version=staged.version)
        # Known here before anybody can read it: if the platform goes now, peers still hear.
        rollout.learn_from_peer(head)
        self._tell_news()

    async def _sweep_claims(self) -> None:
        now = self._clock.monotonic()
        if now < self._next_sweep:
            return
        self._next_sweep = now + SWEEP_S
        removed = await self._sweeper.sweep()
        if removed:
            log.info("claims.swept", rows=removed)
