"""Follows rows of a table that may come back from an older copy."""

import typing as t

from ..ids import Era, Revision
from ..process import log
from ..stores.era_table import split_revision
from ..stores.store import Changes, Row

if t.TYPE_CHECKING:
    from ..process.clock import Clock
    from ..stores.store import Table


class Update(t.NamedTuple):
    """What one reading brought."""

    rows: t.Sequence[Row]
    #: Era of the table.
    era: Era
    #: Whether the era is a later one than that of the reading before.
    is_later_era: bool
    #: Whether these are all rows that exist.
    has_all_rows: bool


class TableFeed:
    """Reads what was written below some prefixes since it was read last.

    :param table: one whose revisions rise with its eras; see :mod:`coralfall.stores.era_table`.
    :param prefixes: of the keys.
    :param clock: the VM's clocks.
    :param observe: told of each answer: when it was asked for, and the platform's wall time.
    """

    def __init__(
        self,
        table: "Table",
        prefixes: t.Sequence[str],
        clock: "Clock",
        observe: t.Callable[[float, float], None],
    ) -> None:
        self._table = table
        self._prefixes = prefixes
        self._clock = clock
        self._observe = observe
        self._since = Revision(0)

    async def read(self) -> Update:
        """Reads all pages of what is new.

        :raises PlatformError: if the table can't be read; the next call reads the same again.
        """
        since = self._since
        has_all_rows = not since
        rows: t.List[Row] = []
        while True:
            changes = await self._read_page(since)
            since = changes.revision
            if changes.is_snapshot:
                rows.clear()
                has_all_rows = True
            rows += changes.rows
            if not changes.more:
                break
        is_later_era = split_revision(self._since).era < changes.era
        if is_later_era and self._since:
            log.warning("table.era-began", era=changes.era)
        self._since = since
        return Update(rows, changes.era, is_later_era, has_all_rows)

    async def _read_page(self, since: Revision) -> Changes:
        sent = self._clock.monotonic()
        changes = await self._table.changes(self._prefixes, since)
        self._observe(sent, changes.now)
        return changes
