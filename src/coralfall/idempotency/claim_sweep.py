"""Removal of claim rows that nobody will ask for any more."""

import typing as t

import msgspec

from .. import defaults
from ..cluster.rows import CLAIM_PREFIX, ClaimRow
from ..ids import Revision
from ..process import log
from ..stores.store import Row, Write

if t.TYPE_CHECKING:
    from ..stores.store import Table


class ClaimSweeper:
    """Removes claim rows some time after they were last written, whatever their state.

    A request with a key whose row was removed is claimed and run like a new one. Callers must
    therefore stop retrying well before the retention is over; the guide for callers says so.

    Sweepers may run on several entries at once: a row is only removed if it has not changed.

    :param table: where the rows are.
    :param retention_s: seconds for which a row stays after it was last written.
    :param limit: most rows that one round reads and removes.
    """

    def __init__(
        self,
        table: "Table",
        retention_s: float = defaults.CLAIM_RETENTION_S,
        limit: int = defaults.CLAIM_SWEEP_ROWS,
    ) -> None:
        self._table = table
        self._retention_s = retention_s
        self._limit = limit
        self._since = Revision(0)

    async def sweep(self) -> int:
        """One round, of one read and at most one write.

        Rows come in the order in which they were last written, so the old ones come first and
        a round ends at the first young one.

        :return: how many rows were removed.
        :raises PlatformError: if the table can't be read or written; nothing is lost by it.
        """
        changes = await self._table.changes([CLAIM_PREFIX], self._since, self._limit)
        reached = changes.revision
        removals = []
        for row in changes.rows:
            claim = _decode(row)
            if claim is None:
                continue
            if changes.now - claim.at < self._retention_s:
                reached = Revision(row.revision - 1)
                break
            removals.append(Write(row.key, None, row.revision))
        if removals and not (await self._table.transact(removals)).committed:
            # A row was written meanwhile, and comes later in the next round.
            return 0
        self._since = reached
        return len(removals)


def _decode(row: Row) -> t.Optional[ClaimRow]:
    """The claim, or ``None`` if the row is gone or can't be read; the latter is left alone."""
    if row.value is None:
        return None
    try:
        return msgspec.msgpack.decode(row.value, type=ClaimRow)
    except msgspec.DecodeError as error:
        log.error("claims.unreadable", key=row.key, error=error)
        return None
