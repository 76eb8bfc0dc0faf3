"""Replica: this entry's copy of the rows below one prefix of the platform's store.

It applies reads of the store and deltas from other entries, in any order and more than once: a row
is never replaced by an older revision. A write that does not change a row's decoded value is
skipped. Targets write their rows every second or so, and few of these writes change anything.
"""

import typing as t

from ..exceptions import DesiredStateError
from ..ids import Revision
from ..process import log
from .delta import Delta, DeltaRow, pack

if t.TYPE_CHECKING:
    from ..stores.store import Row

ValueT = t.TypeVar("ValueT")

#: Most tombstones that are kept, so that a delta can include deletions.
_MAX_TOMBSTONES = 2048


class _Held(t.Generic[ValueT]):
    """A row that is held, encoded and decoded."""

    __slots__ = ("data", "revision", "value")

    def __init__(self, data: bytes, revision: Revision, value: ValueT) -> None:
        self.data = data
        self.revision = revision
        self.value = value


class Replica(t.Generic[ValueT]):
    """Decoded rows by key.

    :param name: name of the rows in logs.
    :param decode: decodes a row from its key and bytes; raises ``DesiredStateError``.
    :param drops_unreadable: whether a row that can't be decoded deletes the last valid one instead
        of leaving it in force.
    """

    def __init__(
        self, name: str, decode: t.Callable[[str, bytes], ValueT], drops_unreadable: bool = False
    ) -> None:
        self.name = name
        self._decode = decode
        self._drops_unreadable = drops_unreadable
        #: Keys of deleted rows whose newest revision can't be decoded.
        self.unreadable_keys: t.Set[str] = set()
        self._held_by_key: t.Dict[str, _Held[ValueT]] = {}
        #: Revisions at which rows were deleted, by key.
        self._tombstones: t.Dict[str, Revision] = {}
        #: Oldest revision since which a delta can be made.
        self._oldest_since = Revision(0)
        self.revision = Revision(0)
        #: Time of the store's clock at which the rows were known to be the newest.
        self.read_s = -float("inf")

    @property
    def is_loaded(self) -> bool:
        """Whether any rows or deltas have been applied."""
        return self.revision > 0

    def values(self) -> t.Dict[str, ValueT]:
        """Returns the decoded rows by key."""
        return {key: held.value for key, held in self._held_by_key.items()}

    def get(self, key: str) -> t.Optional[ValueT]:
        """Returns one decoded row, or ``None`` if there is none."""
        held = self._held_by_key.get(key)
        return held.value if held is not None else None

    def apply_snapshot(
        self, rows: "t.Iterable[Row]", revision: Revision, read_s: float
    ) -> t.Set[str]:
        """Applies all rows as of a revision; returns the keys whose values changed.

        :param read_s: time of the store's clock at which the revision was the newest.
        """
        if revision < self.revision:
            return set()
        changed: t.Set[str] = set()
        seen: t.Set[str] = set()
        for row in rows:
            seen.add(row.key)
            self._put(row.key, row.revision, row.value, changed)
        for key in list(self._held_by_key):
            if key not in seen and self._held_by_key[key].revision <= revision:
                self._remove(key, revision, changed)
        self._advance(revision, read_s)
        return changed

    def apply_changes(
        self, rows: "t.Iterable[Row]", revision: Revision, read_s: float
    ) -> t.Set[str]:
        """Applies rows that were written up to a revision; returns the keys whose values changed.

        :param read_s: time of the store's clock at which the revision was the newest.
        """
        changed: t.Set[str] = set()
        for row in rows:
            self._put(row.key, row.revision, row.value, changed)
        self._advance(revision, read_s)
        return changed

    def delta(self, since: Revision) -> Delta:
        """Returns what changed after a revision; all rows if that is 0 or too old."""
        if since < self._oldest_since or since == 0:
            rows = [
                DeltaRow(key, held.revision, held.data) for key, held in self._held_by_key.items()
            ]
            return pack(Revision(0), self.revision, rows)
        rows = [
            DeltaRow(key, held.revision, held.data)
            for key, held in self._held_by_key.items()
            if held.revision > since
        ]
        for key, revision in self._tombstones.items():
            if revision > since:
                rows.append(DeltaRow(key, revision, None))
        return pack(since, self.revision, rows)

    def can_apply(self, delta: Delta) -> bool:
        """Whether there is no gap between the rows held and the delta."""
        return delta.since == 0 or delta.since <= self.revision

    def apply_delta(self, delta: Delta, read_s: float) -> t.Set[str]:
        """Applies another entry's delta; returns the keys whose values changed.

        :param read_s: time of the store's clock at which the delta's revision was the newest.
        :raises PeerFrameError: if the delta's rows can't be decoded.
        """
        rows = t.cast("t.Iterable[Row]", delta.unpack())
        if delta.since == 0:
            return self.apply_snapshot(rows, delta.revision, read_s)
        return self.apply_changes(rows, delta.revision, read_s)

    def _advance(self, revision: Revision, read_s: float) -> None:
        if self.revision == 0:
            self._oldest_since = revision
        if revision >= self.revision:
            self.revision = revision
            self.read_s = max(self.read_s, read_s)

    def confirm(self, revision: Revision, read_s: float) -> None:
        """Records that a revision was still the newest at a time of the store's clock."""
        if revision == self.revision:
            self.read_s = max(self.read_s, read_s)

    def _put(
        self, key: str, revision: Revision, data: t.Optional[bytes], changed: t.Set[str]
    ) -> None:
        if data is None:
            self._remove(key, revision, changed)
            return
        held = self._held_by_key.get(key)
        if held is not None and held.revision >= revision:
            return
        if self._tombstones.get(key, 0) >= revision:
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
        self._held_by_key[key] = _Held(data, revision, value)
        self._tombstones.pop(key, None)
        changed.add(key)

    def _note_unreadable(self, key: str, revision: Revision, changed: t.Set[str]) -> None:
        if not self._drops_unreadable:
            return
        self._remove(key, revision, changed)
        self.unreadable_keys.add(key)
        changed.add(key)

    def _remove(self, key: str, revision: Revision, changed: t.Set[str]) -> None:
        self.unreadable_keys.discard(key)
        held = self._held_by_key.get(key)
        if held is not None:
            if held.revision > revision:
                return
            del self._held_by_key[key]
            changed.add(key)
        if revision <= self._tombstones.get(key, 0):
            return
        self._tombstones[key] = revision
        while len(self._tombstones) > _MAX_TOMBSTONES:
            oldest = min(self._tombstones, key=self._tombstones.__getitem__)
            self._oldest_since = max(self._oldest_since, self._tombstones.pop(oldest))
