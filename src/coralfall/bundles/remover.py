"""Removes entries that are gone from the roster; a part of the coordinator's duty."""

import typing as t

import msgspec

from ..cluster.rows import Member, lease_key, roster_key
from ..exceptions import PlatformError
from ..ids import EntryId
from ..process import log
from ..stores.store import Check, Platform, Write
from .removal import LeaseObserver, removable

if t.TYPE_CHECKING:
    from ..cluster.roster import Roster
    from ..process.clock import Clock
    from ..settings import LeaseSettings


class Remover:
    """Looks for entries whose VM is gone, and then watches their leases.

    The VM list is read now and then, and lease rows only of entries that it does not name:
    reading all of them at every renewal would cost the coordinator of a large fleet more than
    all else it does.

    :param settings: times of the lease, and how often the VM list is read.
    :param platform: the platform.
    :param clock: the VM's clocks.
    :param roster: the roster.
    """

    def __init__(
        self, settings: "LeaseSettings", platform: Platform, clock: "Clock", roster: "Roster"
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._clock = clock
        self._roster = roster
        self._observer = LeaseObserver(settings, clock)
        self._next_list = clock.monotonic()
        self._unlisted: t.List[EntryId] = []

    def reset(self) -> None:
        """Start all over, when the duty has come from another entry."""
        self._observer.reset()

    async def tick(self, fence: Check) -> None:
        """One look; to be called at every poll.

        :param fence: checked by every write, so that a former holder of the duty does nothing.
        :raises PlatformError: if the platform can't be reached; watching then starts anew.
        """
        try:
            await self._read_list()
            await self._watch()
            await self._remove(fence)
        except PlatformError:
            self._observer.reset()
            raise

    async def _read_list(self) -> None:
        now = self._clock.monotonic()
        if now < self._next_list:
            return
        vms = await self._platform.vms.list()
        self._next_list = now + self._settings.vm_list_s
        members = self._roster.by_id
        self._unlisted = removable(members, list(members), vms)

    async def _watch(self) -> None:
        members = {}
        for entry_id in self._unlisted:
            member = self._roster.by_id.get(entry_id)
            if member is not None:
                members[entry_id] = member
        sent = self._clock.monotonic()
        rows_by_key = {}
        if members:
            keys = [lease_key(entry_id) for entry_id in members]
            rows_by_key = await self._platform.table.read(keys)
        self._observer.observe(sent, rows_by_key.values(), members)

    async def _remove(self, fence: Check) -> None:
        lapsed = self._observer.lapsed()
        if not lapsed:
            return
        vms = await self._platform.vms.list()
        for entry_id in removable(self._roster.by_id, lapsed, vms):
            key = roster_key(entry_id)
            row = (await self._platform.table.read([key])).get(key)
            if row is None or row.value is None:
                continue
            if msgspec.msgpack.decode(row.value, type=Member) != self._roster.by_id[entry_id]:
                continue
            writes = [
                Write(key, None, row.revision),
                Write(lease_key(entry_id), None, self._observer.revision(entry_id)),
            ]
            result = await self._platform.table.transact(writes, [fence])
            if result.committed:
                log.warning("coordinator.removed", entry=entry_id)
