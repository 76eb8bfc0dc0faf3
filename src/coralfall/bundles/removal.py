"""Removal of entries that are gone, on two independent pieces of evidence.

A lease row that stands still may mean a dead process, a paused one, or one that can't reach the
platform; the last of these may rightly go on as frozen.  So the VM list has to agree.  It lags,
and a VM that was started a moment ago may be missing from it, so it is not enough either.
"""

import typing as t

import msgspec

from .. import defaults
from ..cluster.rows import LEASE_PREFIX, Member
from ..ids import EntryId, Incarnation, Revision, VmId

if t.TYPE_CHECKING:
    from ..process.clock import Clock
    from ..settings import LeaseSettings
    from ..stores.store import Row, Vm


class _Sighting(msgspec.Struct):
    """A member's lease row as last seen, and since when."""

    incarnation: Incarnation
    #: 0 until the row was seen.
    revision: Revision
    since: float


class LeaseObserver:
    """Remembers for how long each member's lease row has stood still, by its own clock.

    :param settings: times of the lease.
    :param clock: the observer's clock.
    """

    def __init__(self, settings: "LeaseSettings", clock: "Clock") -> None:
        self._settings = settings
        self._clock = clock
        self._sighting_by_id: t.Dict[EntryId, _Sighting] = {}
        self._last_sent_at = -float("inf")

    def observe(
        self, sent_at: float, rows: t.Iterable["Row"], members: t.Mapping[EntryId, Member]
    ) -> None:
        """Take in one successful read of lease rows.

        :param sent_at: when the read was sent; what it shows was so at that time or later.
        :param rows: the lease rows written since the read before, deletions included.
        :param members: the roster; only members are remembered.
        """
        if sent_at - self._last_sent_at > self._settings.ttl_s:
            # Nobody knows whether the members could reach the platform in between; a platform
            # that is merely slow must not keep the dead in the roster for ever.
            self.reset()
        self._last_sent_at = max(self._last_sent_at, sent_at)
        now = self._clock.monotonic()
        self._follow(members, now)
        for row in rows:
            seen = self._sighting_by_id.get(EntryId(row.key[len(LEASE_PREFIX) :]))
            if seen is None or row.revision <= seen.revision:
                continue
            seen.revision = row.revision
            seen.since = now

    def reset(self) -> None:
        """Start all over after a failed read: while the platform is down, nobody can renew."""
        now = self._clock.monotonic()
        for seen in self._sighting_by_id.values():
            seen.since = now

    def revision(self, entry_id: EntryId) -> Revision:
        """Revision of the member's lease row, to be checked by the write that removes it."""
        return self._sighting_by_id[entry_id].revision

    def lapsed(self) -> t.List[EntryId]:
        """Members whose lease has surely lapsed by their own clocks, in order of their ids."""
        limit = self._settings.ttl_s + defaults.HANDOVER_MARGIN_S
        found = []
        for entry_id, seen in sorted(self._sighting_by_id.items()):
            if self._last_sent_at - seen.since <= limit:
                continue
            found.append(entry_id)
        return found

    def _follow(self, members: t.Mapping[EntryId, Member], now: float) -> None:
        known = self._sighting_by_id
        self._sighting_by_id = {}
        for entry_id, member in members.items():
            seen = known.get(entry_id)
            if seen is None or seen.incarnation != member.incarnation:
                revision = Revision(0) if seen is None else seen.revision
                seen = _Sighting(member.incarnation, revision, now)
            self._sighting_by_id[entry_id] = seen


def removable(
    members: t.Mapping[EntryId, Member],
    lapsed: t.Iterable[EntryId],
    vms: t.Mapping[VmId, "Vm"],
) -> t.List[EntryId]:
    """Entries to remove from the roster.

    :param members: the roster.
    :param lapsed: members whose lease rows stand still, of :meth:`LeaseObserver.lapsed`.
    :param vms: the platform's VM list by id, read after ``lapsed`` was found.
    """
    newest_by_vm: t.Dict[VmId, Incarnation] = {}
    for member in members.values():
        newest = newest_by_vm.get(member.vm_id, member.incarnation)
        newest_by_vm[member.vm_id] = max(newest, member.incarnation)
    found = []
    for entry_id in lapsed:
        gone = members.get(entry_id)
        if gone is None:
            continue
        replaced = newest_by_vm[gone.vm_id] > gone.incarnation
        if gone.vm_id in vms and not replaced:
            continue
        found.append(entry_id)
    return found
