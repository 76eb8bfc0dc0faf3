"""The control loop of an entry: follows the table, stages bundles and stays in the roster."""

import asyncio
import typing as t

import msgspec

from .. import defaults
from ..balancing.handover import Ack
from ..bundles.rollout import PartnerRollout
from ..exceptions import PlatformError
from ..ids import Digest, EntryId, PartnerId, Revision
from ..process import log
from ..process.child import Child
from ..process.clock import Clock
from ..settings import EntrySettings
from ..stores.store import Platform
from .membership import Membership, MembershipState
from .roster import Roster
from .rows import LeaseRow, Member, lease_key

if t.TYPE_CHECKING:
    from ..balancing.fleet_steering import FleetSteering
    from ..balancing.slots import SlotTable
    from ..bundles.staging import Staging
    from ..lookups.lookup import Lookup
    from ..process.shutdown import Shutdown

#: Intervals between two reads of the roster after which every entry has read a change.
READS_UNTIL_KNOWN = 2
MakeMember = t.Callable[[], Member]
#: Told when something that peers should hear of at once was learned.
Announce = t.Callable[[], None]


class Control(Child):
    """What an entry does all the time beside serving requests.

    :param settings: the entry's settings.
    :param platform: the platform.
    :param clock: the VM's clocks.
    :param membership: the entry's place in the roster.
    :param roster: the roster.
    :param rollouts: the partners' lines.
    :param staging: fetches bundles.
    :param steering: told of every change.
    :param slots: told of acknowledgements.
    :param lookup: told of every change.
    :param make_member: the roster row, once the entry's addresses are known.
    :param announce: spreads news to peers.
    """

    name = "control"

    def __init__(
        self,
        settings: EntrySettings,
        platform: Platform,
        clock: Clock,
        membership: Membership,
        roster: Roster,
        rollouts: t.Mapping[PartnerId, PartnerRollout],
        staging: "Staging",
        steering: "FleetSteering",
        slots: "SlotTable",
        lookup: "Lookup",
        make_member: MakeMember,
        announce: Announce,
    ) -> None:
        self._settings = settings
        self._table = platform.table
        self._clock = clock
        self._membership = membership
        self._roster = roster
        self._rollouts = rollouts
        self._staging = staging
        self._steering = steering
        self._slots = slots
        self._lookup = lookup
        self._make_member = make_member
        self._announce = announce
        self._next_renewal = 0.0
        self._looked_up: t.Dict[PartnerId, t.Optional[Digest]] = {}
        self._named_revision = Revision(-1)
        self._failures = 0
        #: Set once the entry's servers listen; before that it has no addresses to tell.
        self.may_join = asyncio.Event()
        #: Set when peers told of a head or roster that is newer.
        self.news = asyncio.Event()
        self._following = asyncio.Lock()

    async def run(self) -> None:
        await self.may_join.wait()
        while True:
            try:
                await self._round()
            except PlatformError as error:
                self._note_failure(error)
            else:
                self._note_success()
            await self.follow()
            await asyncio.sleep(self._settings.lease.poll_s)

    async def follow(self) -> None:
        """Stage and serve what is known by now; call it whenever a head or roster changed."""
        async with self._following:
            await self._follow()

    async def follow_news(self) -> None:
        """Follow what peers tell, also while a call to the platform hangs."""
        while True:
            await self.news.wait()
            self.news.clear()
            await self.follow()

    async def _follow(self) -> None:
        staged = False
        for rollout in self._rollouts.values():
            staged = await self._staging.fill(rollout) or staged
        self._steering.refresh()
        in_force = self._set_lookup()
        self._staging.forget_unnamed(self._rollouts.values())
        await self._work_through_slots()
        if staged:
            self._next_renewal = 0.0
        if staged or in_force:
            self._announce()

    async def _round(self) -> None:
        state = self._membership.state
        if state is MembershipState.OUTSIDE:
            await self._membership.poll()
            await self.follow()
            if self._holds_accepted():
                await self._membership.join(self._make_member())
                await self._take_acks()
            return
        now = self._clock.monotonic()
        if self._membership.member is not None and now >= self._next_renewal:
            # Also while it leaves: requests that still come need the slots until the end.
            self._next_renewal = now + self._settings.lease.renew_s
            await self._membership.renew()
        else:
            await self._membership.poll()
        if self._membership.state is MembershipState.JOINED:
            await self._take_acks()

    def _holds_accepted(self) -> bool:
        """Whether every partner's bundle in force is held; slots are of no use without."""
        return all(rollout.holds_accepted() for rollout in self._rollouts.values())

    async def _take_acks(self) -> None:
        """Read what the members that this entry waits for have acknowledged."""
        awaited = self._slots.awaited_members
        if not awaited:
            return
        rows_by_key = await self._table.read([lease_key(entry_id) for entry_id in awaited])
        acks = []
        for row in rows_by_key.values():
            if row.value is None:
                continue
            lease = msgspec.msgpack.decode(row.value, type=LeaseRow)
            acks.append(Ack(EntryId(lease.entry_id), lease.incarnation, lease.roster_revision))
        self._slots.apply_acks(acks)

    async def _work_through_slots(self) -> None:
        for _ in self._slots.update_steps():
            await asyncio.sleep(0)

    def _set_lookup(self) -> bool:
        """Answer look-ups by what is in force; whether a newer bundle is."""
        changed = False
        for partner, rollout in self._rollouts.items():
            ref = rollout.head.accepted
            if ref is None or self._looked_up.get(partner) == ref.digest:
                continue
            staged = self._staging.by_digest.get(ref.digest)
            if staged is None:
                continue
            self._lookup.set_bundle(staged.bundle, staged.blocks)
            self._looked_up[partner] = ref.digest
            changed = True
            log.info("rollout.in_force", partner=partner, version=ref.version)
        if self._named_revision != self._roster.revision:
            self._named_revision = self._roster.revision
            self._lookup.set_members(self._roster.by_id)
        return changed

    def _note_failure(self, error: PlatformError) -> None:
        self._failures += 1
        if self._failures == 1:
            log.warning("platform.failed", code=error.code, error=error.message)

    def _note_success(self) -> None:
        if self._failures:
            log.info("platform.recovered", failures=self._failures)
        self._failures = 0


class Leave(Child):
    """Takes the entry out of the roster in the end, when nothing is in flight any more.

    :param membership: the entry's place in the roster.
    """

    name = "leave"

    def __init__(self, membership: Membership) -> None:
        self._membership = membership

    async def run(self) -> None:
        await asyncio.Event().wait()

    async def stop(self) -> None:
        try:
            await self._membership.leave()
        except PlatformError as error:
            log.warning("membership.leave_failed", code=error.code, error=error.message)


class Presence(Child):
    """Lets the entry join once its servers listen, and announces it before they stop.

    Look-ups may name the entry until every entry has read that it leaves, and callers hold
    them for a while, so it serves on for as long as both take, and for half of the grace at most.

    :param control: joins when told to.
    :param membership: the entry's place in the roster.
    :param settings: how long look-ups last, and how often the roster is read.
    :param shutdown: since when the process stops.
    :param close_connections: makes callers open connections to other entries from then on.
    """

    name = "presence"

    def __init__(
        self,
        control: Control,
        membership: Membership,
        settings: EntrySettings,
        shutdown: "Shutdown",
        close_connections: t.Callable[[], None],
    ) -> None:
        self._control = control
        self._membership = membership
        self._close_connections = close_connections
        self._shutdown = shutdown
        self._seconds = settings.lookup_ttl_s + READS_UNTIL_KNOWN * settings.lease.poll_s

    async def run(self) -> None:
        self._control.may_join.set()
        await asyncio.Event().wait()

    async def stop(self) -> None:
        self._close_connections()
        accept_s = self._shutdown.grace_s * defaults.SHUTDOWN_ACCEPT_FRACTION
        left_s = accept_s - self._shutdown.age_s()
        log.info("entry.leaving", serves_on_s=round(max(0.0, min(self._seconds, left_s)), 3))
        try:
            async with asyncio.timeout(left_s):
                await self._start_leaving()
                await asyncio.sleep(self._seconds)
        except TimeoutError:
            return

    async def _start_leaving(self) -> None:
        try:
            await self._membership.start_leaving()
        except PlatformError as error:
            log.warning("membership.leaving_failed", code=error.code, error=error.message)
