"""Tombstones: rows of a replica that were deleted, so that deltas can include deletions."""

import typing as t

from ..ids import Position, Revision
from .carried_rows import RowVersion

ValueT = t.TypeVar("ValueT")

#: Most tombstones that are kept.
_MAX_TOMBSTONES = 2048


class Tombstones(t.Generic[ValueT]):
    """Deletions of one era, and rows that were missing as the era began.

    :param began: position as of which the era's rows were first known.
    """

    def __init__(self, began: Position) -> None:
        self._began = began
        self._by_key: t.Dict[str, RowVersion[ValueT]] = {}
        #: Keys of rows that were missing as the era began.
        self._missing_keys: t.Set[str] = set()
        #: Oldest revision since which all deletions are known.
        self.oldest_since = began.revision

    def __contains__(self, key: str) -> bool:
        return key in self._by_key

    def get(self, key: str) -> t.Optional[RowVersion[ValueT]]:
        """Returns a deletion, or ``None`` if there is none."""
        return self._by_key.get(key)

    def by_key(self) -> t.Dict[str, RowVersion[ValueT]]:
        """Returns all of them."""
        return dict(self._by_key)

    def add(
        self, key: str, position: Position, last: t.Optional[RowVersion[ValueT]] = None
    ) -> None:
        """Adds a deletion; the oldest ones are dropped beyond the limit.

        :param last: the row before it was deleted, if that is known.
        """
        self._missing_keys.discard(key)
        data, value = (b"", None) if last is None else (last.data, last.value)
        self._by_key[key] = RowVersion(position, data, value, deleted=True)
        while len(self._by_key) > _MAX_TOMBSTONES:
            oldest = min(self._by_key, key=lambda one: self._by_key[one].position)
            dropped = self._by_key.pop(oldest)
            self.oldest_since = max(self.oldest_since, dropped.position.revision)

    def add_missing(self, key: str, last: RowVersion[ValueT]) -> None:
        """Adds a row that was missing as the era began."""
        self.add(key, self._began, last)
        self._missing_keys.add(key)

    def discard(self, key: str) -> None:
        """Drops a deletion, since the row is there again."""
        self._by_key.pop(key, None)

    def was_deleted_in_era(self, key: str) -> bool:
        """Whether a row was deleted in the era, and not just missing as it began."""
        return key in self._by_key and key not in self._missing_keys

    def since(self, revision: Revision) -> t.Dict[str, Revision]:
        """Returns the revisions of deletions after a revision, by key."""
        return {
            key: tombstone.position.revision
            for key, tombstone in self._by_key.items()
            if tombstone.position.revision > revision
        }

    def newest_of_era(self, count: int) -> t.Dict[str, Revision]:
        """Returns the revisions of the last deletions in the era, by key."""
        keys = [key for key in self._by_key if self.was_deleted_in_era(key)]
        keys.sort(key=lambda key: self._by_key[key].position, reverse=True)
        return {key: self._by_key[key].position.revision for key in keys[:count]}
