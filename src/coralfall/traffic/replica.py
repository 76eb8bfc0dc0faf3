"""Replica: this entry's copy of the rows below one prefix of the platform's store.

It applies reads of the store and deltas from other entries, in any order and more than once: a row
is never replaced by an older revision. When the store begins an era, a snapshot of it replaces all
rows, since revisions of two eras can't be compared. A write that does not change a row's decoded
value is skipped. Targets write their rows every second or so, and few of these writes change
anything.
"""

import typing as t

from ..exceptions import DesiredStateError
from ..ids import START, Position, Revision
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
        #: Oldest revision of the era since which a delta can be made.
        self._oldest_since = Revision(0)
        #: Era and revision as of which the rows are known.
        self.position = START
        #: Time of the store's clock at which the rows were known to be the newest.
        self.read_s = -float("inf")

    @property
    def is_loaded(self) -> bool:
        """Whether any rows or deltas have been applied."""
        return self.position > START

    def values(self) -> t.Dict[str, ValueT]:
        """Returns the decoded rows by key."""
        return {key: held.value for key, held in self._held_by_key.items()}

    def get(self, key: str) -> t.Optional[ValueT]:
        """Returns one decoded row, or ``None`` if there is none."""
        held = self._held_by_key.get(key)
        return held.value if held is not None else None

    def apply_snapshot(
        self, rows: "t.Iterable[Row]", position: Position, read_s: float
    ) -> t.Set[str]:
        """Applies all rows as of a position; returns the keys whose values changed.

        :param read_s: time of the store's clock at which the position was the newest.
        """
        if position < self.position:
            return set()
        if position.era > self.position.era:
            return self._begin_era(rows, position, read_s)
        changed: t.Set[str] = set()
        seen: t.Set[str] = set()
        for row in rows:
            seen.add(row.key)
            self._put(row.key, row.revision, row.value, changed)
        for key in list(self._held_by_key):
            if key not in seen and self._held_by_key[key].revision <= position.revision:
                self._remove(key, position.revision, changed)
        self._advance(position, read_s)
        return changed

    def _begin_era(self, rows: "t.Iterable[Row]", position: Position, read_s: float) -> t.Set[str]:
        previous = self._held_by_key
        unreadable_before = self.unreadable_keys
        self._held_by_key = {}
        self.unreadable_keys = set()
        self._tombstones.clear()
        for row in rows:
            self._put(row.key, row.revision, row.value, set())
            if row.key not in self._held_by_key and not self._drops_unreadable:
                self._keep_readable(row, previous)
        self._oldest_since = position.revision
        if self.is_loaded:
            log.warning(
                "store.era-began",
                rows=self.name,
                era=position.era,
                revision=position.revision,
                previous_era=self.position.era,
                previous_revision=self.position.revision,
            )
        self.position = position
        self.read_s = read_s
        return _changed_keys(previous, self._held_by_key) | (
            unreadable_before ^ self.unreadable_keys
        )

    def _keep_readable(self, row: "Row", previous: "t.Mapping[str, _Held[ValueT]]") -> None:
        """Keeps the last value that could be decoded in force in place of a row that can't be."""
        held = previous.get(row.key)
        if held is not None and row.value is not None:
            self._held_by_key[row.key] = _Held(held.data, row.revision, held.value)

    def apply_changes(
        self, rows: "t.Iterable[Row]", position: Position, read_s: float
    ) -> t.Set[str]:
        """Applies rows that were written up to a position; returns the keys whose values changed.

        Rows of another era than the replica's are ignored: there would be a gap.

        :param read_s: time of the store's clock at which the position was the newest.
        """
        changed: t.Set[str] = set()
        if position.era != self.position.era:
            return changed
        for row in rows:
            self._put(row.key, row.revision, row.value, changed)
        self._advance(position, read_s)
        return changed

    def delta(self, since: Position) -> Delta:
        """Returns what changed after a position; all rows if it is too old or of another era."""
        era, revision = since
        if era != self.position.era or revision < self._oldest_since or revision == 0:
            rows = [
                DeltaRow(key, held.revision, held.data) for key, held in self._held_by_key.items()
            ]
            return pack(START.revision, self.position, rows)
        rows = [
            DeltaRow(key, held.revision, held.data)
            for key, held in self._held_by_key.items()
            if held.revision > revision
        ]
        for key, removed_at in self._tombstones.items():
            if removed_at > revision:
                rows.append(DeltaRow(key, removed_at, None))
        return pack(revision, self.position, rows)

    def can_apply(self, delta: Delta) -> bool:
        """Whether there is no gap between the rows held and the delta."""
        if delta.is_whole:
            return True
        era, revision = self.position
        return delta.era == era and delta.since <= revision

    def apply_delta(self, delta: Delta, read_s: float) -> t.Set[str]:
        """Applies another entry's delta; returns the keys whose values changed.

        :param read_s: time of the store's clock at which the delta's position was the newest.
        :raises PeerFrameError: if the delta's rows can't be decoded.
        """
        rows = t.cast("t.Iterable[Row]", delta.unpack())
        if delta.is_whole:
            return self.apply_snapshot(rows, delta.position, read_s)
        return self.apply_changes(rows, delta.position, read_s)

    def _advance(self, position: Position, read_s: float) -> None:
        if not self.is_loaded:
            self._oldest_since = position.revision
        if position >= self.position:
            self.position = position
            self.read_s = max(self.read_s, read_s)

    def confirm(self, position: Position, read_s: float) -> None:
        """Records that a position was still the newest at a time of the store's clock."""
        if position == self.position:
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


def _changed_keys(
    before: t.Mapping[str, _Held[ValueT]], after: t.Mapping[str, _Held[ValueT]]
) -> t.Set[str]:
    changed = before.keys() ^ after.keys()
    for key in before.keys() & after.keys():
        if before[key].value != after[key].value:
            changed.add(key)
    return changed
