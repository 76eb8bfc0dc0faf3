"""Lets a table in memory come back from an older copy."""

import typing as t

from coralfall.ids import Era, Revision
from coralfall.stores.memory_platform import MemoryTable
from coralfall.stores.store import Row, Table

Copy = t.Tuple[t.Dict[str, Row], Revision]


def copy_of(table: Table) -> Copy:
    assert isinstance(table, MemoryTable)
    return dict(table._rows_by_key), table._revision


def restore(table: Table, copy: Copy) -> None:
    """Loses what was written since the copy; revisions are given out again, in a new era."""
    assert isinstance(table, MemoryTable)
    rows, table._revision = copy
    table._rows_by_key = dict(rows)
    table._era = Era(table._era + 1)
