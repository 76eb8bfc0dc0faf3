"""Keeps a table's revisions in order when the platform comes back from an older copy.

The copy's revisions are lower than those before, and are given out again; the platform tells so by
an era that rises. Here an era and a revision make one number, so that revisions compare in the
order of the table's history, and the same revision of another era is another number.
"""

import typing as t

import msgspec

from ..exceptions import PlatformUnavailableError
from ..ids import Era, Position, Revision
from .store import Changes, Check, Row, Table, TransactResult, Write

_REVISION_BITS = 48
_REVISION_MASK = (1 << _REVISION_BITS) - 1


def join_position(position: Position) -> Revision:
    """Returns the number that stands for a position; equal to the revision in era 0."""
    return Revision(position.era << _REVISION_BITS | position.revision)


def split_revision(revision: Revision) -> Position:
    """Returns the position that a number stands for."""
    return Position(Era(revision >> _REVISION_BITS), Revision(revision & _REVISION_MASK))


class EraTable(Table):
    """A table whose revisions rise with its eras.

    Writes and checks expect the platform's own revision of a row, whatever its era.

    :param table: the platform's.
    """

    def __init__(self, table: Table) -> None:
        self._table = table

    async def transact(
        self, writes: t.Sequence[Write], checks: t.Sequence[Check] = ()
    ) -> TransactResult:
        plain_writes = []
        for write in writes:
            expected = None if write.expected is None else split_revision(write.expected).revision
            plain_writes.append(msgspec.structs.replace(write, expected=expected))
        plain_checks = []
        for check in checks:
            expected = split_revision(check.expected).revision
            plain_checks.append(msgspec.structs.replace(check, expected=expected))
        result = await self._table.transact(plain_writes, plain_checks)
        return msgspec.structs.replace(
            result,
            revision=join_position(Position(result.era, result.revision)),
            conflicts=tuple([_in_era(row, result.era) for row in result.conflicts]),
        )

    async def changes(
        self, prefixes: t.Sequence[str], since: Revision, limit: t.Optional[int] = None
    ) -> Changes:
        """Rows written after ``since``, or all rows if that is a revision of an earlier era.

        :raises PlatformUnavailableError: also if the answer is of an earlier era than ``since``.
        """
        start = split_revision(since)
        changes = await self._table.changes(prefixes, start.revision, limit)
        is_snapshot = False
        if since and changes.era != start.era:
            changes = await self._table.changes(prefixes, Revision(0), limit)
            is_snapshot = True
        if changes.era < start.era:
            raise PlatformUnavailableError(
                f"the table answered for era {changes.era}, after one for era {start.era}"
            )
        return msgspec.structs.replace(
            changes,
            rows=tuple([_in_era(row, changes.era) for row in changes.rows]),
            revision=join_position(changes.position),
            is_snapshot=is_snapshot,
        )

    async def read(self, keys: t.Sequence[str]) -> t.Dict[str, Row]:
        rows_by_key = await self._table.read(keys)
        return {key: _in_era(row, row.era) for key, row in rows_by_key.items()}


def _in_era(row: Row, era: Era) -> Row:
    if row.value is None and not row.revision:
        # Absent, and expected to be so by whoever writes it next.
        return row
    return msgspec.structs.replace(row, revision=join_position(Position(era, row.revision)))
