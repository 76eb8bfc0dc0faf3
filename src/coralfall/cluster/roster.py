"""The roster: which entries there are, and in which order they come for a key."""

import hashlib
import typing as t

import msgspec

from ..ids import EntryId, Incarnation, Revision, VmId
from ..stores.era_table import split_revision
from .rows import ROSTER_PREFIX, Member

if t.TYPE_CHECKING:
    from ..stores.store import Row, Vm


class Roster:
    """The members by id, as of the last roster change that this entry has learned of.

    It is filled from the platform's table by :meth:`apply`, or from a peer by
    :meth:`replace`; either way it is the exact set of members at :attr:`revision`.
    """

    def __init__(self) -> None:
        self.by_id: t.Dict[EntryId, Member] = {}
        #: Revision of the last roster change that is contained.
        self.revision = Revision(0)
        self._written_by_id: t.Dict[EntryId, Revision] = {}
        self._lives: t.Set[t.Tuple[EntryId, Incarnation]] = set()
        self._any_deleted = False

    def apply(self, rows: t.Iterable["Row"]) -> bool:
        """Take in roster rows as the table's changes give them, deletions included.

        Pass all pages of one reading together: half of them is the roster of no moment.
        Rows of other kinds and rows not newer than :attr:`revision` are passed over: an answer
        that was overtaken by a peer's newer roster must not bring back what is gone.

        :return: whether anything changed.
        """
        floor = self.revision
        for row in rows:
            if not row.key.startswith(ROSTER_PREFIX) or row.revision <= floor:
                continue
            self.revision = max(self.revision, row.revision)
            entry_id = EntryId(row.key[len(ROSTER_PREFIX) :])
            if row.value is None:
                self._delete(entry_id)
                continue
            self._put(msgspec.msgpack.decode(row.value, type=Member), row.revision)
        return self.revision != floor

    def replace(self, members: t.Iterable[Member], revision: Revision) -> bool:
        """Take over a peer's roster if it is newer.

        :param revision: the last roster change that the peer's roster contains.
        :return: whether it was newer.
        """
        if revision <= self.revision:
            return False
        previous = self.by_id
        written = self._written_by_id
        self.by_id = {}
        self._written_by_id = {}
        for member in members:
            same = previous.get(member.entry_id) == member
            # The peer does not say when a row was written; no later than its roster.
            written_at = written[member.entry_id] if same else revision
            self._put(member, written_at)
        self._any_deleted = self._any_deleted or not previous.keys() <= self.by_id.keys()
        self.revision = revision
        return True

    def holds(self, entry_id: EntryId, incarnation: Incarnation) -> bool:
        """Whether this very life of the entry is a member."""
        member = self.by_id.get(entry_id)
        return member is not None and member.incarnation == incarnation

    def written(self, entry_id: EntryId) -> Revision:
        """Upper bound of the revision at which the member's row was last written."""
        return self._written_by_id[entry_id]

    def only_ever(self, entry_id: EntryId, incarnation: Incarnation) -> bool:
        """Whether no other entry, and no other life of this one, has left a trace."""
        # A table that came back from an older copy may have lost the trace.
        is_complete = not self._any_deleted and not split_revision(self.revision).era
        return is_complete and self._lives == {(entry_id, incarnation)}

    def ranked(self, key: str) -> t.List[EntryId]:
        """All members in rendezvous order for ``key``, the owner first."""
        state = hashlib.blake2b(key.encode() + b"\0", digest_size=8)
        scored = []
        for entry_id in self.by_id:
            hasher = state.copy()
            hasher.update(entry_id.encode())
            scored.append((hasher.digest(), entry_id))
        return [entry_id for _, entry_id in sorted(scored, reverse=True)]

    def _put(self, member: Member, revision: Revision) -> None:
        self.by_id[member.entry_id] = member
        self._written_by_id[member.entry_id] = revision
        self._lives.add((member.entry_id, member.incarnation))

    def _delete(self, entry_id: EntryId) -> None:
        self.by_id.pop(entry_id, None)
        self._written_by_id.pop(entry_id, None)
        self._any_deleted = True


def may_replace(present: Member, joining: Member, vms: t.Mapping[VmId, "Vm"]) -> bool:
    """Whether a joining entry may write its row over an earlier one of the same entry id.

    On the same VM the earlier process is over; on another VM the VM list must say so.

    :param vms: the platform's VM list by id.
    """
    if present.vm_id == joining.vm_id:
        return joining.incarnation > present.incarnation
    return joining.incarnation > present.incarnation and present.vm_id not in vms
