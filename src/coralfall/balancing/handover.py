"""Handover: when a slot's new owner may be sure that no earlier owner uses it any more.

Why no two entries use a slot at once
    Let M use a slot by the roster of revision q, and N by that of a later revision r.

    *M is a member at r.*  Had N been a member at q, both would name the same owner.  So N
    joined between q and r.  An entry that joins uses no slot that another member may own by a
    roster from before, until that member has *acknowledged* a roster that contains the new
    one; then it waits until the member's requests and loans are over.  The time alone would
    not do: a member that can't reach the platform may be frozen and go on for hours.

    *M was removed between q and r.*  N rests each slot that it gains by a new roster for
    ``ttl_s``, in which M's lease lapses, and for the service's timeout, in which M's requests
    end.  The same rest covers what M has lent, since a loan ends before its owner's lease.  If
    M was to acknowledge N and is removed instead, the rest starts anew.

    An acknowledgement of a roster newer than one's own does not count until one has caught up:
    it may come from a member that owns the slot again by the newer one.

What is left
    A frozen lease does not lapse with the time: see :mod:`coralfall.cluster.lease`.  And an entry
    that
    joins just after a bundle has lowered a timeout does not know the longer one, which
    requests of a member removed in the same moments may still have.
"""

import typing as t

import msgspec

from ..ids import EntryId, EntryState, Incarnation, Revision, TargetId
from .ownership import ranked_members

if t.TYPE_CHECKING:
    from ..cluster.roster import Roster

_NO_REVISION = Revision(0)
_NO_LIMIT = Revision(1 << 63)


class Ack(msgspec.Struct, frozen=True):
    """A member's own word that it dispatches by no roster older than ``revision``."""

    entry_id: EntryId
    incarnation: Incarnation
    revision: Revision


class ResolvedMembers(t.NamedTuple):
    """What has become of members that were waited for."""

    #: They have acknowledged something, be it enough or not.
    acked: t.Set[EntryId]
    #: They are members no longer.
    removed: t.Set[EntryId]


class Handover:
    """Whose acknowledgement an entry that has joined is still waiting for.

    :param entry_id: this entry.
    """

    def __init__(self, entry_id: EntryId) -> None:
        self._entry_id = entry_id
        #: Incarnation under which the entry is a member; ``None`` while it is not.
        self.incarnation: t.Optional[Incarnation] = None
        #: How many times the entry has become a member.
        self.join_count = 0
        #: Revision of the roster that was last taken in.
        self.revision = _NO_REVISION
        #: Members that may not know yet that this entry has joined.
        self.awaited_members: t.Dict[EntryId, Incarnation] = {}
        self._joined = _NO_REVISION
        self._written_by_id: t.Dict[EntryId, Revision] = {}
        self._acked_by_life: t.Dict[t.Tuple[EntryId, Incarnation], Revision] = {}

    def update(self, roster: "Roster") -> ResolvedMembers:
        """Take in the roster as it is now."""
        self.revision = roster.revision
        self._written_by_id = {name: roster.written(name) for name in roster.by_id}
        removed = set()
        for entry_id, incarnation in list(self.awaited_members.items()):
            if not roster.holds(entry_id, incarnation):
                del self.awaited_members[entry_id]
                removed.add(entry_id)
        self._forget_old_lives(roster)
        self._follow_own_life(roster)
        return ResolvedMembers(self._take_acked(), removed)

    def apply_acks(self, acks: t.Iterable[Ack]) -> ResolvedMembers:
        """Take in what members have acknowledged."""
        heard = set()
        for ack in acks:
            life = (ack.entry_id, ack.incarnation)
            if ack.revision <= self._acked_by_life.get(life, _NO_REVISION):
                continue
            self._acked_by_life[life] = ack.revision
            if self.awaited_members.get(ack.entry_id) == ack.incarnation:
                heard.add(ack.entry_id)
        return ResolvedMembers(heard | self._take_acked(), set())

    def blocking_member(self, target_id: TargetId, index: int) -> t.Optional[EntryId]:
        """An awaited member that may still own the slot by an older roster, if there is one.

        What a member has acknowledged shows whom it surely knows; it owns nothing that one of
        those would own before it.
        """
        if not self.awaited_members:
            return None
        oldest_before = _NO_LIMIT
        for entry_id in ranked_members(target_id, index, self._written_by_id):
            incarnation = self.awaited_members.get(entry_id)
            if incarnation is not None and self._acked(entry_id, incarnation) < oldest_before:
                return entry_id
            oldest_before = min(oldest_before, self._written_by_id[entry_id])
        return None

    def _follow_own_life(self, roster: "Roster") -> None:
        me = roster.by_id.get(self._entry_id)
        if me is None:
            self.incarnation = None
            self.awaited_members = {}
            return
        written = roster.written(self._entry_id)
        # Within one life the row is written once more only, to say that the entry leaves.
        same_row = written == self._joined or me.state is EntryState.LEAVING
        if me.incarnation == self.incarnation and same_row:
            return
        self.incarnation = me.incarnation
        self.join_count += 1
        self.awaited_members = {}
        self._joined = written
        for entry_id, member in roster.by_id.items():
            if entry_id != self._entry_id:
                self.awaited_members[entry_id] = member.incarnation

    def _take_acked(self) -> t.Set[EntryId]:
        acked = set()
        for entry_id, incarnation in list(self.awaited_members.items()):
            if self._acked(entry_id, incarnation) >= self._joined:
                del self.awaited_members[entry_id]
                acked.add(entry_id)
        return acked

    def _acked(self, entry_id: EntryId, incarnation: Incarnation) -> Revision:
        revision = self._acked_by_life.get((entry_id, incarnation), _NO_REVISION)
        return revision if revision <= self.revision else _NO_REVISION

    def _forget_old_lives(self, roster: "Roster") -> None:
        for (entry_id, incarnation), revision in list(self._acked_by_life.items()):
            if revision <= self.revision and not roster.holds(entry_id, incarnation):
                del self._acked_by_life[entry_id, incarnation]
