"""Carried rows: what earlier eras of the store said last, where its copy says less.

A store that comes back from an older copy has lost rows that entries still know. Until their
writers write them again, the lost rows stay in force over those of the copy, in the order that the
rows have by themselves: the version of a desired state, the lifetime and heartbeat of a target.
Entries give each other what they carry, so that one that starts does not go by the copy alone.
"""

import abc
import hashlib
import typing as t

import msgspec

from ..exceptions import DesiredStateError
from ..ids import Era, Position, Revision
from ..process import log

ValueT = t.TypeVar("ValueT")
#: Order that rows have by themselves; empty if they have none.
RowOrder = t.Tuple[int, ...]


class CarriedRow(msgspec.Struct, frozen=True, array_like=True):
    """A row of an earlier era, as entries send it."""

    key: str
    #: Position at which it was written or deleted.
    era: Era
    revision: Revision
    #: Its bytes; those before the deletion if it was deleted.
    data: bytes
    deleted: bool

    @property
    def position(self) -> Position:
        """Position at which it was written or deleted."""
        return Position(self.era, self.revision)


class RowVersion(t.Generic[ValueT]):
    """What is known of a row at one position."""

    __slots__ = ("data", "deleted", "position", "value")

    def __init__(
        self, position: Position, data: bytes, value: t.Optional[ValueT], deleted: bool = False
    ) -> None:
        self.position = position
        self.data = data
        #: Decoded bytes; ``None`` if those of a deleted row were never known.
        self.value = value
        self.deleted = deleted

    @property
    def in_force(self) -> t.Optional[ValueT]:
        """The value, or ``None`` if the row is deleted."""
        return None if self.deleted else self.value


class RowRules(abc.ABC, t.Generic[ValueT]):
    """Rules for the rows of one kind that the store has lost.

    Subclasses know what orders the rows, and for how long writers may take::

        class CounterRules(RowRules[Counter]):
            def order(self, version):
                return (version.value.count,)

            def hold_s(self, lost, found):
                return 60.0

            def identity(self, version):
                return str(version.value.count)
    """

    @abc.abstractmethod
    def order(self, version: RowVersion[ValueT]) -> RowOrder:
        """Returns the order among all rows of a key; the last number rises within a lifetime."""

    @abc.abstractmethod
    def hold_s(self, lost: RowVersion[ValueT], found: t.Optional[RowVersion[ValueT]]) -> float:
        """Returns for how long a lost row is carried, in seconds since the era began.

        :param found: the store's row, if it has one.
        """

    @abc.abstractmethod
    def identity(self, version: RowVersion[ValueT]) -> str:
        """Returns a text that is equal for rows with the same effect."""


class NothingCarried(RowRules[t.Any]):
    """Rules by which the store's copy is taken as it is."""

    def order(self, version: RowVersion[t.Any]) -> RowOrder:
        return ()

    def hold_s(self, lost: RowVersion[t.Any], found: t.Optional[RowVersion[t.Any]]) -> float:
        return 0.0

    def identity(self, version: RowVersion[t.Any]) -> str:
        return ""


class CarriedRows(t.Generic[ValueT]):
    """The rows of one replica that the store has lost.

    :param name: name of the rows in logs.
    :param decode: decodes a row from its key and bytes; raises ``DesiredStateError``.
    :param rules: order of the rows, and how long they are carried.
    """

    def __init__(
        self, name: str, decode: t.Callable[[str, bytes], ValueT], rules: RowRules[ValueT]
    ) -> None:
        self.name = name
        self._decode = decode
        self._rules = rules
        self._lost_by_key: t.Dict[str, RowVersion[ValueT]] = {}
        #: Equal at entries that carry rows with the same effects.
        self.checksum = 0

    def __len__(self) -> int:
        return len(self._lost_by_key)

    def __contains__(self, key: str) -> bool:
        return key in self._lost_by_key

    def value_of(self, key: str) -> t.Optional[ValueT]:
        """Returns the value of a carried row; ``None`` if it is deleted."""
        return self._lost_by_key[key].in_force

    def overlay(self, values_by_key: t.Dict[str, ValueT]) -> t.Dict[str, ValueT]:
        """Returns the store's values with the carried rows in place of those of its copy."""
        for key, lost in self._lost_by_key.items():
            value = lost.in_force
            if value is None:
                values_by_key.pop(key, None)
            else:
                values_by_key[key] = value
        return values_by_key

    def begin_era(
        self,
        known_by_key: t.Mapping[str, RowVersion[ValueT]],
        found_by_key: t.Mapping[str, RowVersion[ValueT]],
        era_began: Position,
    ) -> None:
        """Chooses which rows to carry as an era begins.

        :param known_by_key: rows and deletions of the eras before.
        :param found_by_key: rows of the store.
        :param era_began: position as of which the rows of the present era were first known.
        """
        self._lost_by_key = {}
        for key, known in known_by_key.items():
            found = found_by_key.get(key)
            if found is not None and not known.deleted and found.value == known.value:
                continue
            rewritten = found is not None and found.position > era_began
            if self._outlasts(known, found, rewritten):
                self._lost_by_key[key] = known
        self._update_checksum()

    def settle(self, key: str, found: RowVersion[ValueT], rewritten: bool) -> None:
        """Drops a carried row if the store's row is as new.

        :param rewritten: whether the store's row was certainly written in the present era.
        """
        lost = self._lost_by_key.get(key)
        if lost is not None and not self._outlasts(lost, found, rewritten):
            self._drop([key])

    def version_of(self, key: str) -> t.Optional[RowVersion[ValueT]]:
        """Returns a carried row, or ``None`` if there is none."""
        return self._lost_by_key.get(key)

    def drop(self, key: str) -> None:
        """Drops a carried row, since it was deleted in the present era."""
        self._drop([key])

    def expire(
        self, era_age_s: float, find: t.Callable[[str], t.Optional[RowVersion[ValueT]]]
    ) -> t.Set[str]:
        """Drops rows that were not written again in time; returns their keys.

        :param era_age_s: seconds since the present era began.
        :param find: returns the store's row of a key.
        """
        expired = {
            key
            for key, lost in self._lost_by_key.items()
            if era_age_s >= self._rules.hold_s(lost, find(key))
        }
        if expired:
            log.many("row.not-rewritten", "keys", sorted(expired), rows=self.name)
            self._drop(expired)
        return expired

    def rows(self) -> t.Tuple[CarriedRow, ...]:
        """Returns all carried rows, as other entries take them."""
        return tuple(
            [
                CarriedRow(key, *lost.position, lost.data, lost.deleted)
                for key, lost in self._lost_by_key.items()
            ]
        )

    def merge(
        self,
        rows: t.Iterable[CarriedRow],
        find: t.Callable[[str], t.Optional[RowVersion[ValueT]]],
        era_began: Position,
        era_age_s: float,
    ) -> t.Set[str]:
        """Adds rows that another entry carries; returns their keys.

        :param find: returns the store's row of a key.
        :param era_began: position as of which the rows of the present era were first known.
        :param era_age_s: seconds since it began.
        """
        added = set()
        for row in rows:
            lost = self._decoded(row)
            if lost is None or row.era >= era_began.era:
                continue
            known = self._lost_by_key.get(row.key)
            if known is not None and not self._is_newer(lost, known):
                continue
            found = find(row.key)
            if era_age_s >= self._rules.hold_s(lost, found):
                continue
            rewritten = found is not None and found.position > era_began
            if self._outlasts(lost, found, rewritten):
                self._lost_by_key[row.key] = lost
                added.add(row.key)
        if added:
            log.many("row.carried", "keys", sorted(added), rows=self.name)
            self._update_checksum()
        return added

    def versions(self) -> t.Dict[str, RowVersion[ValueT]]:
        """Returns all carried rows by key."""
        return dict(self._lost_by_key)

    def _outlasts(
        self, lost: RowVersion[ValueT], found: t.Optional[RowVersion[ValueT]], rewritten: bool
    ) -> bool:
        """Whether a lost row is newer than the store's."""
        if self._rules.hold_s(lost, found) <= 0:
            return False
        if found is None:
            return not lost.deleted
        lost_order, found_order = self._rules.order(lost), self._rules.order(found)
        if not lost.deleted:
            return lost_order > found_order
        if lost_order and found_order[:-1] > lost_order[:-1]:
            return False
        # A copy that lacks the deletion has no rows of its revision or later ones.
        rewritten |= found.position.revision >= lost.position.revision
        return not rewritten or found_order < lost_order

    def _is_newer(self, one: RowVersion[ValueT], other: RowVersion[ValueT]) -> bool:
        orders = self._rules.order(one), self._rules.order(other)
        if orders[0] != orders[1]:
            return orders[0] > orders[1]
        return one.position > other.position

    def _decoded(self, row: CarriedRow) -> t.Optional[RowVersion[ValueT]]:
        value = None
        if row.data:
            try:
                value = self._decode(row.key, row.data)
            except DesiredStateError as error:
                log.error("row.unreadable", key=row.key, revision=row.revision, error=error.message)
                return None
        return RowVersion(row.position, row.data, value, row.deleted)

    def _drop(self, keys: t.Iterable[str]) -> None:
        for key in list(keys):
            del self._lost_by_key[key]
        self._update_checksum()

    def _update_checksum(self) -> None:
        self.checksum = 0
        for key, lost in self._lost_by_key.items():
            text = f"{key} {lost.deleted} {self._rules.identity(lost)}"
            digest = hashlib.blake2b(text.encode(), digest_size=6).digest()
            self.checksum ^= int.from_bytes(digest)
