"""Handover: when the new owner of a slot may be sure that no earlier owner still uses it.

Why no two entries use a slot at the same time
    Let M use a slot by the roster of revision q, and N use it by the roster of a later
    revision r.

    *M is a member at r.*  If N had been a member at q, both rosters would give the slot the
    same owner.  So N joined between q and r.  An entry that joins uses no slot that another
    member may own by an older roster until that member has *acknowledged* a roster that contains
    the new entry; after that it waits until the member's requests and loans are over.  Waiting
    for a fixed time is not enough: the lease of a member that cannot reach the platform may be
    frozen, and the member goes on for hours.

    *M was removed between q and r.*  N does not use a slot that it gains by a new roster for
    ``ttl_s``, in which M's lease expires, and for the service's timeout, in which M's requests
    end.  The same wait covers slots that M has lent, since a loan ends before its owner's lease.
    If N awaited M's acknowledgement and M is removed instead, the wait starts again.

    *Deadlines.*  Each of these waits ends with the last deadline of M's requests.  A target that is
    paused serves them for longer, so N also needs a sign of life of the target that was sent after
    that deadline: see :func:`coralfall.balancing.slot.others_end_by`.

    An acknowledgement of a roster newer than this entry's own does not count until this entry
    has that roster: it may come from a member that owns the slot again by the newer one.

Known limits
    A frozen lease does not expire with time: see :mod:`coralfall.cluster.lease`.  An entry that
    joins just after a bundle has lowered a timeout does not know the longer timeout, which
    requests of a member removed at the same time may still have.
"""

import typing as t

import msgspec

from ..ids import EntryId, EntryState, Incarnation, Revision, TargetId
from .ownership import ranked_members

if t.TYPE_CHECKING:
    from ..cluster.roster import Roster

_NO_REVISION = Revision(0)
_MAX_REVISION = Revision(1 << 63)


class Ack(msgspec.Struct, frozen=True):
    """A member's statement that it dispatches by no roster older than ``revision``."""

    entry_id: EntryId
    incarnation: Incarnation
    revision: Revision


class ResolvedMembers(t.NamedTuple):
    """Members whose acknowledgement was awaited and for which something has changed."""

    #: Members that have acknowledged a roster, whether recent enough or not.
    acked: t.Set[EntryId]
    #: Members that were removed from the roster.
    removed: t.Set[EntryId]


class Handover:
    """Tracks whose acknowledgement this entry still awaits after it has joined.

    :param entry_id: id of this entry.
    """

    def __init__(self, entry_id: EntryId) -> None:
        self._entry_id = entry_id
        #: Incarnation under which this entry is a member; ``None`` while it is not a member.
        self.incarnation: t.Optional[Incarnation] = None
        #: Number of times that this entry has become a member.
        self.join_count = 0
        #: Revision of the latest roster applied.
        self.revision = _NO_REVISION
        #: Members that may not know yet that this entry has joined.
        self.awaited_members: t.Dict[EntryId, Incarnation] = {}
        self._joined_revision = _NO_REVISION
        self._row_revision_by_id: t.Dict[EntryId, Revision] = {}
        self._acked_by_incarnation: t.Dict[t.Tuple[EntryId, Incarnation], Revision] = {}

    def update(self, roster: "Roster") -> ResolvedMembers:
        """Applies the current roster."""
        self.revision = roster.revision
        self._row_revision_by_id = {name: roster.written(name) for name in roster.by_id}
        removed = set()
        for entry_id, incarnation in list(self.awaited_members.items()):
            if not roster.holds(entry_id, incarnation):
                del self.awaited_members[entry_id]
                removed.add(entry_id)
        self._remove_old_incarnations(roster)
        self._update_own_membership(roster)
        return ResolvedMembers(self._remove_acked(), removed)

    def apply_acks(self, acks: t.Iterable[Ack]) -> ResolvedMembers:
        """Applies acknowledgements of members."""
        acked = set()
        for ack in acks:
            member = (ack.entry_id, ack.incarnation)
            if ack.revision <= self._acked_by_incarnation.get(member, _NO_REVISION):
                continue
            self._acked_by_incarnation[member] = ack.revision
            if self.awaited_members.get(ack.entry_id) == ack.incarnation:
                acked.add(ack.entry_id)
        return ResolvedMembers(acked | self._remove_acked(), set())

    def blocking_member(self, target_id: TargetId, index: int) -> t.Optional[EntryId]:
        """Returns an awaited member that may still own the slot by an older roster, if any.

        The roster that a member has acknowledged shows which members it knows for certain. It
        owns no slot for which one of those ranks higher.
        """
        if not self.awaited_members:
            return None
        oldest_higher_rank = _MAX_REVISION
        for entry_id in ranked_members(target_id, index, self._row_revision_by_id):
            incarnation = self.awaited_members.get(entry_id)
            if (
                incarnation is not None
                and self._acked_revision(entry_id, incarnation) < oldest_higher_rank
            ):
                return entry_id
            oldest_higher_rank = min(oldest_higher_rank, self._row_revision_by_id[entry_id])
        return None

    def _update_own_membership(self, roster: "Roster") -> None:
        own_member = roster.by_id.get(self._entry_id)
        if own_member is None:
            self.incarnation = None
            self.awaited_members = {}
            return
        row_revision = roster.written(self._entry_id)
        # An incarnation writes its row only once more, to announce that the entry leaves.
        same_row = row_revision == self._joined_revision or own_member.state is EntryState.LEAVING
        if own_member.incarnation == self.incarnation and same_row:
            return
        self.incarnation = own_member.incarnation
        self.join_count += 1
        self.awaited_members = {}
        self._joined_revision = row_revision
        for entry_id, member in roster.by_id.items():
            if entry_id != self._entry_id:
                self.awaited_members[entry_id] = member.incarnation

    def _remove_acked(self) -> t.Set[EntryId]:
        acked = set()
        for entry_id, incarnation in list(self.awaited_members.items()):
            if self._acked_revision(entry_id, incarnation) >= self._joined_revision:
                del self.awaited_members[entry_id]
                acked.add(entry_id)
        return acked

    def _acked_revision(self, entry_id: EntryId, incarnation: Incarnation) -> Revision:
        revision = self._acked_by_incarnation.get((entry_id, incarnation), _NO_REVISION)
        return revision if revision <= self.revision else _NO_REVISION

    def _remove_old_incarnations(self, roster: "Roster") -> None:
        for (entry_id, incarnation), revision in list(self._acked_by_incarnation.items()):
            if revision <= self.revision and not roster.holds(entry_id, incarnation):
                del self._acked_by_incarnation[entry_id, incarnation]
