"""Registry: the entries' own rows in the platform's store, by which entries discover each other.

An entry writes its row when it starts and deletes it when it stops as planned. Periodically the
first entry in rank reconciles the rows with the entries that gossip knows. This reconnects regions
that were partitioned for longer than entries remember each other, and deletes rows of machines that
are lost for good.
"""

import asyncio
import random
import typing as t

from .. import defaults
from ..exceptions import DesiredStateError, PlatformError
from ..ids import EntryState, Era, Position, Revision
from ..process import log
from ..stores.store import Write

if t.TYPE_CHECKING:
    from ..ids import EntryId
    from ..process.clock import Clock
    from ..stores.store import Changes, Feed, Row, Table
    from .members import Members
    from .model import EntryRecord
    from .row_codec import RowCodec

#: Backoff between attempts to register, in seconds: first and longest pause.
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 1.0
#: Time from the beginning of an era for which a missing row is written again, in seconds.
_RESTORE_S = 30.0
#: Revision that a write expects of a row that does not exist.
_ABSENT = Revision(0)


class Registry:
    """Reads and writes the entries' rows.

    :param feed: reads the platform's store.
    :param table: writes the platform's store.
    :param row_codec: encodes and decodes rows.
    :param members: receives the entries that rows name.
    :param clock: monotonic time.
    :param rng: jitter of the pauses.
    """

    def __init__(
        self,
        feed: "Feed",
        table: "Table",
        row_codec: "RowCodec",
        members: "Members",
        clock: "Clock",
        rng: random.Random,
    ) -> None:
        self._feed = feed
        self._table = table
        self._row_codec = row_codec
        self._members = members
        self._clock = clock
        self._rng = rng
        #: Positions of rows whose entries were unknown in the last reconciliation, by key.
        self._unknown_rows: t.Dict[str, Position] = {}
        #: Era in which this entry's row was written last.
        self._row_era: t.Optional[Era] = None
        #: Called with all rows whenever they were read, and the time at which that began.
        self.on_read: "t.Callable[[Changes, float], None]" = lambda changes, began: None

    async def register(self) -> None:
        """Writes this entry's row and reads those of the others; retries until that succeeds."""
        backoff_s = _MIN_BACKOFF_S
        while True:
            try:
                key, data = self._row_codec.encode_entry_row(self._members.own_record)
                result = await self._table.transact([Write(key, data)])
                self._row_era = result.era
                # Reads after it has written: of two entries that start at the same moment, the one
                # that wrote last finds the other. Entries that were here before are also learnt
                # from the seeds.
                log.info("entry.registered", entries=await self._add_all() - 1)
                return
            except PlatformError as error:
                log.info("entry.not-registered", code=error.code, error=error.message)
                await asyncio.sleep(backoff_s * self._rng.uniform(0.8, 1.2))
                backoff_s = min(backoff_s * 2, _MAX_BACKOFF_S)

    async def _add_all(self) -> int:
        """Adds all entries that have rows to the members; returns the number of rows."""
        changes = await self._read()
        rows = [row for row in changes.rows if row.value is not None]
        for row in rows:
            self._add(row)
        self._members.has_discovered_peers = True
        return len(rows)

    async def restore_row(
        self, registered_ids: "t.Collection[EntryId]", era: Era, era_age_s: float
    ) -> None:
        """Writes this entry's row again if the store has lost it.

        :param registered_ids: entries that have rows.
        :param era: the store's era as of which these are known.
        :param era_age_s: seconds since that era was first seen.
        """
        own = self._members.own_record
        if own.entry_id in registered_ids or own.state is not EntryState.SERVING:
            return
        # Shortly after an era began, another entry's conditional deletion may have hit the row too:
        # its revision may have been given out again.
        if self._row_era is None or (era <= self._row_era and era_age_s > _RESTORE_S):
            return
        key, data = self._row_codec.encode_entry_row(own)
        try:
            result = await self._table.transact([Write(key, data)])
        except PlatformError as error:
            log.info("entry.not-registered", code=error.code, error=error.message)
            return
        self._row_era = result.era
        log.warning("entry.registered-again", era=result.era, revision=result.revision)

    async def unregister(self) -> None:
        """Deletes this entry's row; a failure is logged and otherwise ignored."""
        key, _ = self._row_codec.encode_entry_row(self._members.own_record)
        try:
            await self._table.transact([Write(key, None)])
        except PlatformError as error:
            log.info("entry.not-unregistered", code=error.code, error=error.message)

    async def run(self) -> None:
        """Reconciles at intervals, until cancelled."""
        while True:
            await asyncio.sleep(defaults.RECONCILE_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            try:
                await self.reconcile()
            except PlatformError as error:
                log.info("entries.not-reconciled", code=error.code, error=error.message)

    async def reconcile(self) -> None:
        """Compares the rows with the known entries, if this entry is the first in rank.

        An entry that is not known here is added to the members, so that it is probed for a while.
        Its row is deleted if the entry has been forgotten again by the next reconciliation and the
        row has not been written since. Missing rows of serving entries are written back: entries
        that could not reach these have deleted them.

        :raises PlatformError: if the store did not answer.
        """
        unknown_before = self._unknown_rows
        self._unknown_rows = {}
        if self._members.rank() != 0:
            return
        changes = await self._read()
        rows = [row for row in changes.rows if row.value is not None]
        writes: t.List[Write] = []
        for row in rows:
            position = Position(changes.era, row.revision)
            record = self._decode(row)
            if record is None or record.entry_id in self._members.known_ids():
                continue
            if unknown_before.get(row.key) == position:
                writes.append(Write(row.key, None, expected=row.revision))
                continue
            self._unknown_rows[row.key] = position
            self._members.add_registered(record)
        if self._unknown_rows:
            log.info("entries.met", keys=",".join(self._unknown_rows))
        writes += self._writes_of_missing({row.key for row in rows})
        await self._write(writes[: defaults.MAX_RECONCILE_ROWS])

    async def _write(self, writes: t.Sequence[Write]) -> None:
        if not writes:
            return
        # If another entry wrote one of the rows meanwhile, the store rejects the whole transaction;
        # the next reconciliation tries again.
        result = await self._table.transact(writes)
        log.info(
            "entries.reconciled",
            removed=",".join([write.key for write in writes if write.value is None]),
            written=",".join([write.key for write in writes if write.value is not None]),
            committed=result.committed,
        )

    def _writes_of_missing(self, keys: t.Set[str]) -> t.List[Write]:
        writes = []
        for record in self._members.serving_records():
            key, data = self._row_codec.encode_entry_row(record)
            if key not in keys:
                writes.append(Write(key, data, expected=_ABSENT))
        return writes

    async def _read(self) -> "Changes":
        began = self._clock.monotonic()
        changes = await self._feed.snapshot(self._row_codec.entry_prefix)
        self.on_read(changes, began)
        return changes

    def _add(self, row: "Row") -> None:
        record = self._decode(row)
        if record is not None:
            self._members.add_registered(record)

    def _decode(self, row: "Row") -> "t.Optional[EntryRecord]":
        try:
            return self._row_codec.decode_entry_row(row.key, row.value or b"")
        except DesiredStateError as error:
            log.error("row.unreadable", key=row.key, revision=row.revision, error=error.message)
            return None
