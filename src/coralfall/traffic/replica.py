"""Replica: this entry's copy of the rows below one prefix of the platform's store.

It applies reads of the store and deltas from other entries, in any order and more than once: a row
is never replaced by an older revision. When the store begins an era, a snapshot of it replaces all
rows, since revisions of two eras can't be compared. A write that does not change a row's decoded
value is skipped. Targets write their rows every second or so, and few of these writes change
anything. Rows that the store has lost are kept apart, in :mod:`.carried_rows`, and stay in force.
"""

import typing as t

from ..exceptions import DesiredStateError
from ..ids import START, Position, Revision
from ..process import log
from ..stores.store import Row
from .carried_rows import CarriedRow, CarriedRows, NothingCarried, RowRules, RowVersion
from .delta import Delta, DeltaRow, pack
from .tombstones import Tombstones

ValueT = t.TypeVar("ValueT")

#: Most deletions in a delta of all rows.
_MAX_SNAPSHOT_DELETIONS = 64


class Replica(t.Generic[ValueT]):
    """Decoded rows by key.

    :param name: name of the rows in logs.
    :param decode: decodes a row from its key and bytes; raises ``DesiredStateError``.
    :param drops_unreadable: whether a row that can't be decoded deletes the last valid one instead
        of leaving it in force.
    :param rules: which rows stay in force that the store has lost; by default none.
    """

    def __init__(
        self,
        name: str,
        decode: t.Callable[[str, bytes], ValueT],
        drops_unreadable: bool = False,
        rules: t.Optional[RowRules[ValueT]] = None,
    ) -> None:
        self.name = name
        self._decode = decode
        self._drops_unreadable = drops_unreadable
        #: Keys of deleted rows whose newest revision can't be decoded.
        self.unreadable_keys: t.Set[str] = set()
        self._held_by_key: t.Dict[str, RowVersion[ValueT]] = {}
        self._tombstones: Tombstones[ValueT] = Tombstones(START)
        #: Rows of earlier eras that the store has lost.
        self.carried: CarriedRows[ValueT] = CarriedRows(name, decode, rules or NothingCarried())
        #: Era and revision as of which the rows are known.
        self.position = START
        #: Revision as of which the rows of the present era were first known, here or by the entry
        #: that sent all rows.
        self._era_revision = Revision(0)
        #: Position as of which the rows of the era before were last known.
        self._previous_position = START
        #: Time of the store's clock at which the rows were known to be the newest.
        self.read_s = -float("inf")

    @property
    def is_loaded(self) -> bool:
        """Whether any rows or deltas have been applied."""
        return self.position > START

    def values(self) -> t.Dict[str, ValueT]:
        """Returns the decoded rows by key."""
        values = {key: held.value for key, held in self._held_by_key.items()}
        return self.carried.overlay(t.cast("t.Dict[str, ValueT]", values))

    def get(self, key: str) -> t.Optional[ValueT]:
        """Returns one decoded row, or ``None`` if there is none."""
        if key in self.carried:
            return self.carried.value_of(key)
        held = self._held_by_key.get(key)
        return held.value if held is not None else None

    def apply_snapshot(
        self,
        rows: t.Iterable[Row],
        position: Position,
        read_s: float,
        era_revision: t.Optional[Revision] = None,
    ) -> t.Set[str]:
        """Applies all rows as of a position; returns the keys whose values changed.

        :param read_s: time of the store's clock at which the position was the newest.
        :param era_revision: lowest revision of the era as of which rows were known to whom they
            come from, if that is not the position's.
        """
        if position < self.position:
            return set()
        if position.era > self.position.era:
            self._era_revision = position.revision if era_revision is None else era_revision
            return self._begin_era(rows, position, read_s)
        changed: t.Set[str] = set()
        seen: t.Set[str] = set()
        for row in rows:
            seen.add(row.key)
            self._apply(row, changed)
        for key, held in list(self._held_by_key.items()):
            if key not in seen and held.position <= position:
                self._apply(Row(key, None, position.revision), changed)
        self._advance(position, read_s)
        return changed

    def _begin_era(self, rows: t.Iterable[Row], position: Position, read_s: float) -> t.Set[str]:
        before, unreadable_before = self.values(), self.unreadable_keys
        known_by_key = self._known_by_key()
        previous_rows = self._held_by_key
        self._previous_position, self.position, self.read_s = self.position, position, read_s
        self._held_by_key, self.unreadable_keys = {}, set()
        self._tombstones = Tombstones(position)
        for row in rows:
            self._put(row, set())
            if row.key not in self._held_by_key and not self._drops_unreadable:
                self._keep_readable(row, previous_rows)
        self._compare_eras(known_by_key)
        changed = _changed_keys(before, self.values())
        return changed | (unreadable_before ^ self.unreadable_keys)

    def _known_by_key(self) -> t.Dict[str, RowVersion[ValueT]]:
        """Returns the last that is known of each row, in force or deleted."""
        return {
            **self._tombstones.by_key(),
            **self._held_by_key,
            **self.carried.versions(),
        }

    def _compare_eras(self, known_by_key: t.Dict[str, RowVersion[ValueT]]) -> None:
        """Chooses which rows to carry, after the rows of a new era were taken in.

        :param known_by_key: what was known of each row before.
        """
        for key in self.unreadable_keys:
            known_by_key.pop(key, None)
        for key, known in list(known_by_key.items()):
            tombstone = self._tombstones.get(key)
            if tombstone is not None and tombstone.position.revision > known.position.revision:
                known_by_key[key] = RowVersion(tombstone.position, known.data, known.value, True)
        for key in self._held_by_key:
            if self._previous_position > START and key not in known_by_key:
                # All rows were known then, and it was not among them.
                absent = RowVersion[ValueT](self._previous_position, b"", None, deleted=True)
                known_by_key[key] = absent
        era_began = Position(self.position.era, self._era_revision)
        self.carried.begin_era(known_by_key, self._held_by_key, era_began)
        for key, known in known_by_key.items():
            if not (key in self._held_by_key or key in self.carried or key in self._tombstones):
                # An even older copy may have the row again.
                self._tombstones.add_missing(key, known)
        if self._previous_position > START:
            self._log_era(self._previous_position)

    def _log_era(self, previous: Position) -> None:
        carried = sorted(self.carried.versions())
        log.warning(
            "store.era-began",
            rows=self.name,
            era=self.position.era,
            revision=self.position.revision,
            previous_era=previous.era,
            previous_revision=previous.revision,
            carried=len(carried),
            keys=",".join(carried[: log.SINGLE_LINES]) or "none",
        )

    def _keep_readable(self, row: Row, previous: "t.Mapping[str, RowVersion[ValueT]]") -> None:
        """Keeps the last value that could be decoded in force in place of a row that can't be."""
        held = previous.get(row.key)
        if held is not None and row.value is not None:
            at = Position(self.position.era, row.revision)
            self._held_by_key[row.key] = RowVersion(at, held.data, held.value)

    def apply_changes(self, rows: t.Iterable[Row], position: Position, read_s: float) -> t.Set[str]:
        """Applies rows that were written up to a position; returns the keys whose values changed.

        Rows of another era than the replica's are ignored: there would be a gap.

        :param read_s: time of the store's clock at which the position was the newest.
        """
        changed: t.Set[str] = set()
        if position.era != self.position.era:
            return changed
        for row in rows:
            self._apply(row, changed)
        self._advance(position, read_s)
        return changed

    def merge_carried(
        self, rows: t.Iterable[CarriedRow], position: Position, era_age_s: float
    ) -> t.Set[str]:
        """Takes in rows that another entry carries; returns the keys whose values changed.

        Those of an entry that is behind are ignored: it may not know yet what was written again. So
        are rows of a time up to which this entry knew all rows itself.

        :param position: position of the other entry's rows.
        :param era_age_s: seconds since the present era began.
        """
        if position < self.position or position.era != self.position.era:
            return set()
        rows = [
            row
            for row in rows
            if row.position > self._previous_position
            and not self._tombstones.was_deleted_in_era(row.key)
        ]
        if not rows:
            return set()
        before = self.values()
        era_began = Position(position.era, self._era_revision)
        if not self.carried.merge(rows, self._held_by_key.get, era_began, era_age_s):
            return set()
        return _changed_keys(before, self.values())

    def expire_carried(self, era_age_s: float) -> t.Set[str]:
        """Gives up lost rows that were not written again in time; returns their keys.

        :param era_age_s: seconds since the present era began.
        """
        if not self.carried:
            return set()
        return self.carried.expire(era_age_s, self._held_by_key.get)

    def delta(self, since: Position) -> Delta:
        """Returns what changed after a position; all rows if it is too old or of another era."""
        era, revision = since
        is_too_old = revision < self._tombstones.oldest_since or revision == START.revision
        if era != self.position.era or is_too_old:
            rows = [
                DeltaRow(key, held.position.revision, held.data)
                for key, held in self._held_by_key.items()
            ]
            if self._previous_position > START:
                # They may end rows of earlier eras that the receiver carries.
                deletions = self._tombstones.newest_of_era(_MAX_SNAPSHOT_DELETIONS)
                rows += [DeltaRow(key, removed_at, None) for key, removed_at in deletions.items()]
            return pack(START.revision, self.position, rows, self._era_revision)
        rows = [
            DeltaRow(key, held.position.revision, held.data)
            for key, held in self._held_by_key.items()
            if held.position.revision > revision
        ]
        deletions = self._tombstones.since(revision)
        rows += [DeltaRow(key, removed_at, None) for key, removed_at in deletions.items()]
        return pack(revision, self.position, rows)

    def oldest_missing(self) -> t.Optional[Revision]:
        """Returns the lowest revision of rows that the store lacks and may have deleted, if any."""
        revisions = [self.position.revision]
        for key, lost in self.carried.versions().items():
            if not lost.deleted and key not in self._held_by_key:
                revisions.append(lost.position.revision)
        oldest = min(revisions)
        return oldest if oldest < self.position.revision else None

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
        rows = t.cast(t.Iterable[Row], delta.unpack())
        if delta.is_whole:
            return self.apply_snapshot(rows, delta.position, read_s, delta.era_revision)
        return self.apply_changes(rows, delta.position, read_s)

    def _advance(self, position: Position, read_s: float) -> None:
        if not self.is_loaded:
            self._tombstones.oldest_since = position.revision
        if position >= self.position:
            self.position = position
            self.read_s = max(self.read_s, read_s)

    def confirm(self, position: Position, read_s: float) -> None:
        """Records that a position was still the newest at a time of the store's clock."""
        if position == self.position:
            self.read_s = max(self.read_s, read_s)

    def _apply(self, row: Row, changed: t.Set[str]) -> None:
        before = self.get(row.key)
        self._put(row, changed)
        after = self.get(row.key)
        if before is not after and before != after:
            changed.add(row.key)

    def _put(self, row: Row, unreadable: t.Set[str]) -> None:
        """Applies a row of the present era; adds the key of one that is dropped as unreadable."""
        key, data, revision = row.key, row.value, row.revision
        if data is None:
            self._remove(key, Position(self.position.era, revision))
            return
        held = self._held_by_key.get(key)
        if held is not None and held.position.revision >= revision:
            return
        tombstone = self._tombstones.get(key)
        if tombstone is not None and tombstone.position.revision >= revision:
            return
        try:
            value = self._decode(key, data)
        except DesiredStateError as error:
            log.error("row.unreadable", key=key, revision=revision, error=error.message)
            if self._drops_unreadable:
                self._remove(key, Position(self.position.era, revision))
                self.unreadable_keys.add(key)
                unreadable.add(key)
            return
        self.unreadable_keys.discard(key)
        if held is not None and held.value == value and not self._is_first_of_era(held, revision):
            # Later heartbeats count if the store loses them, but other entries need not hear them.
            held.data = data
            self.carried.settle(key, held, rewritten=revision > self._era_revision)
            return
        found = RowVersion(Position(self.position.era, revision), data, value)
        self.carried.settle(key, found, rewritten=revision > self._era_revision)
        self._held_by_key[key] = found
        self._tombstones.discard(key)

    def _is_first_of_era(self, held: RowVersion[ValueT], revision: Revision) -> bool:
        """Whether this is the first write of a row that other entries may know as lost."""
        if self._previous_position == START:
            return False
        return held.position.revision <= self._era_revision < revision

    def _remove(self, key: str, position: Position) -> None:
        self.unreadable_keys.discard(key)
        held = self._held_by_key.get(key)
        if held is not None:
            if held.position > position:
                return
            del self._held_by_key[key]
        tombstone = self._tombstones.get(key)
        if tombstone is not None and position <= tombstone.position:
            return
        known = self.carried.version_of(key)
        if known is not None:
            if position.revision <= min(self._era_revision, known.position.revision):
                # It may be older than what is carried.
                return
            self.carried.drop(key)
        self._tombstones.add(key, position, known or held or tombstone)


def _changed_keys(before: t.Mapping[str, ValueT], after: t.Mapping[str, ValueT]) -> t.Set[str]:
    changed = set(before.keys() ^ after.keys())
    for key in before.keys() & after.keys():
        if before[key] != after[key]:
            changed.add(key)
    return changed
