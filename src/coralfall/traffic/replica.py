"""Replica: the rows below one prefix of the platform's store, as one entry knows them.

It is fed by reads of the store and by deltas of other entries, in any order and more than once.
A row never goes back to an older revision. Rows whose meaning did not change are passed over:
targets write theirs every second or so, and only a few of these writes say something new.
"""

import typing as t

from ..exceptions import DesiredStateError
from ..ids import Revision
from ..process import log
from .delta import Delta, DeltaRow, pack

if t.TYPE_CHECKING:
    from ..stores.store import Row

ValueT = t.TypeVar("ValueT")

#: Deletions that are remembered, so that a delta can tell of them.
_MAX_REMOVED = 2048


class _Held(t.Generic[ValueT]):
    __slots__ = ("data", "revision", "value")

    def __init__(self, data: bytes, revision: Revision, value: ValueT) -> None:
        self.data = data
        self.revision = revision
        self.value = value


class Replica(t.Generic[ValueT]):
    """Rows by key, decoded.

    :param name: what logs call it.
    :param decode: makes a value of a row's key and bytes; raises ``DesiredStateError``.
    :param drops_unreadable: whether a row that can't be read ends the good one before it, and does
        not leave it in force.
    """

    def __init__(
        self, name: str, decode: t.Callable[[str, bytes], ValueT], drops_unreadable: bool = False
    ) -> None:
        self.name = name
        self._decode = decode
        self._drops_unreadable = drops_unreadable
        #: Keys whose newest row could not be read.
        self.unreadable_keys: t.Set[str] = set()
        self._held: t.Dict[str, _Held[ValueT]] = {}
        self._removed: t.Dict[str, Revision] = {}
        #: Deltas since older revisions than this can't be made.
        self._horizon = Revision(0)
        self.revision = Revision(0)
        #: Time of the store's clock at which the rows were so.
        self.read_s = -float("inf")

    @property
    def is_loaded(self) -> bool:
        """Whether anything was ever learnt."""
        return self.revision > 0

    def values(self) -> t.Dict[str, ValueT]:
        """Decoded rows by key."""
        return {key: held.value for key, held in self._held.items()}

    def get(self, key: str) -> t.Optional[ValueT]:
        """One decoded row."""
        held = self._held.get(key)
        return held.value if held is not None else None

    def apply_snapshot(
        self, rows: "t.Iterable[Row]", revision: Revision, read_s: float
    ) -> t.Set[str]:
        """Take in all rows as of a revision; the keys whose meaning changed."""
        if revision < self.revision:
            return set()
        changed: t.Set[str] = set()
        seen: t.Set[str] = set()
        for row in rows:
            seen.add(row.key)
            self._put(row.key, row.revision, row.value, changed)
        for key in list(self._held):
            if key not in seen and self._held[key].revision <= revision:
                self._remove(key, revision, changed)
        self._advance(revision, read_s)
        return changed

    def apply_changes(
        self, rows: "t.Iterable[Row]", revision: Revision, read_s: float
    ) -> t.Set[str]:
        """Take in rows that were written up to a revision; the keys whose meaning changed."""
        changed: t.Set[str] = set()
        for row in rows:
            self._put(row.key, row.revision, row.value, changed)
        self._advance(revision, read_s)
        return changed

    def delta(self, since: Revision) -> Delta:
        """What one who knows ``since`` does not know."""
        if since < self._horizon or since == 0:
            rows = [DeltaRow(key, held.revision, held.data) for key, held in self._held.items()]
            return pack(Revision(0), self.revision, rows)
        rows = [
            DeltaRow(key, held.revision, held.data)
            for key, held in self._held.items()
            if held.revision > since
        ]
        for key, revision in self._removed.items():
            if revision > since:
                rows.append(DeltaRow(key, revision, None))
        return pack(since, self.revision, rows)

    def can_apply(self, delta: Delta) -> bool:
        """Whether nothing is missing between what is known and the delta."""
        return delta.since == 0 or delta.since <= self.revision

    def apply_delta(self, delta: Delta, read_s: float) -> t.Set[str]:
        """Take in another entry's delta; the keys whose meaning changed.

        :raises PeerFrameError: if its rows can't be read.
        """
        rows = t.cast("t.Iterable[Row]", delta.unpack())
        if delta.since == 0:
            return self.apply_snapshot(rows, delta.revision, read_s)
        return self.apply_changes(rows, delta.revision, read_s)

    def _advance(self, revision: Revision, read_s: float) -> None:
        if self.revision == 0:
            self._horizon = revision
        if revision >= self.revision:
            self.revision = revision
            self.read_s = max(self.read_s, read_s)

    def confirm(self, revision: Revision, read_s: float) -> None:
        """Note that rows of a revision were still all there was at a later time."""
        if revision == self.revision:
            self.read_s = max(self.read_s, read_s)

    def _put(
        self, key: str, revision: Revision, data: t.Optional[bytes], changed: t.Set[str]
    ) -> None:
        if data is None:
            self._remove(key, revision, changed)
            return
        held = self._held.get(key)
        if held is not None and held.revision >= revision:
            return
        if self._removed.get(key, 0) >= revision:
            return
        try:
            value = self._decode(key, data)
        except DesiredStateError as error:
            log.error("row.unreadable", key=key, revision=revision, error=error.message)
            self._note_unreadable(key, revision, changed)
            return
        self.unreadable_keys.discard(key)
        if held is not None and held.value == value:
            return
        self._held[key] = _Held(data, revision, value)
        self._removed.pop(key, None)
        changed.add(key)

    def _note_unreadable(self, key: str, revision: Revision, changed: t.Set[str]) -> None:
        if not self._drops_unreadable:
            return
        self._remove(key, revision, changed)
        self.unreadable_keys.add(key)
        changed.add(key)

    def _remove(self, key: str, revision: Revision, changed: t.Set[str]) -> None:
        self.unreadable_keys.discard(key)
        held = self._held.get(key)
        if held is not None:
            if held.revision > revision:
                return
            del self._held[key]
            changed.add(key)
        if revision <= self._removed.get(key, 0):
            return
        self._removed[key] = revision
        while len(self._removed) > _MAX_REMOVED:
            oldest = min(self._removed, key=self._removed.__getitem__)
            self._horizon = max(self._horizon, self._removed.pop(oldest))
