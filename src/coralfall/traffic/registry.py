"""Registry: the entries' own rows in the platform's store, by which they first find each other.

An entry writes its row when it starts and removes it when it stops as planned. From time to time
the first in rank compares the rows with the entries that it knows. Regions that lost each other for
longer than entries remember each other meet again by that, and rows of machines that are lost for
good go.
"""

import asyncio
import random
import typing as t

from .. import defaults
from ..exceptions import DesiredStateError, PlatformError
from ..ids import Revision
from ..process import log
from ..stores.store import Write

if t.TYPE_CHECKING:
    from ..stores.store import Feed, Row, Table
    from .members import Members
    from .model import EntryRecord
    from .row_codec import RowCodec

#: Pauses between tries to register, in seconds.
_MIN_PAUSE_S = 0.1
_MAX_PAUSE_S = 1.0
#: Revision of a row that does not exist.
_ABSENT = Revision(0)


class Registry:
    """Reads and writes the entries' rows.

    :param feed: the platform's store, to read.
    :param table: the platform's store, to write.
    :param translator: reads and writes the rows.
    :param members: told of the entries.
    :param rng: varies the pauses.
    """

    def __init__(
        self,
        feed: "Feed",
        table: "Table",
        row_codec: "RowCodec",
        members: "Members",
        rng: random.Random,
    ) -> None:
        self._feed = feed
        self._table = table
        self._row_codec = row_codec
        self._members = members
        self._rng = rng
        #: Rows of entries that were unknown the last time.
        self._strange: t.Dict[str, Revision] = {}

    async def register(self) -> None:
        """Learn of the other entries, and let them learn of this one."""
        pause = _MIN_PAUSE_S
        while True:
            try:
                key, data = self._row_codec.encode_entry_row(self._members.own_record)
                await self._table.transact([Write(key, data)])
                # Of any two that start at the same moment, the one that wrote last finds the other;
                # those that were here before are told of by the seeds, too.
                log.info("entry.registered", entries=await self._meet() - 1)
                return
            except PlatformError as error:
                log.info("entry.not-registered", code=error.code, error=error.message)
                await asyncio.sleep(pause * self._rng.uniform(0.8, 1.2))
                pause = min(pause * 2, _MAX_PAUSE_S)

    async def _meet(self) -> int:
        """Make all entries that have rows known; how many there are."""
        rows = await self._read()
        for row in rows:
            self._introduce(row)
        self._members.has_discovered_peers = True
        return len(rows)

    async def unregister(self) -> None:
        """Take this entry's row away."""
        key, _ = self._row_codec.encode_entry_row(self._members.own_record)
        try:
            await self._table.transact([Write(key, None)])
        except PlatformError as error:
            log.info("entry.not-unregistered", code=error.code, error=error.message)

    async def run(self) -> None:
        """Reconcile now and then, for ever."""
        while True:
            await asyncio.sleep(defaults.RECONCILE_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            try:
                await self.reconcile()
            except PlatformError as error:
                log.info("entries.not-reconciled", code=error.code, error=error.message)

    async def reconcile(self) -> None:
        """Compare the rows with the entries that are known, if this is the first in rank.

        An entry that nobody here has heard of is made known, so that it is asked for a while. Its
        row goes if it is forgotten again by the next time, and has not been written anew. Rows of
        living entries that are missing come back: others, who could not reach these, removed them.

        :raises PlatformError: if the store gave no answer.
        """
        before = self._strange
        self._strange = {}
        if self._members.rank() != 0:
            return
        rows = await self._read()
        writes: t.List[Write] = []
        for row in rows:
            record = self._record_of(row)
            if record is None or record.entry_id in self._members.known_ids():
                continue
            if before.get(row.key) == row.revision:
                writes.append(Write(row.key, None, expected=row.revision))
                continue
            self._strange[row.key] = row.revision
            self._members.add_registered(record)
        if self._strange:
            log.info("entries.met", keys=",".join(self._strange))
        writes += self._missing({row.key for row in rows})
        await self._write(writes[: defaults.MAX_RECONCILE_ROWS])

    async def _write(self, writes: t.Sequence[Write]) -> None:
        if not writes:
            return
        # All of it is refused if somebody else was faster; the next time tries again.
        result = await self._table.transact(writes)
        log.info(
            "entries.reconciled",
            removed=",".join([write.key for write in writes if write.value is None]),
            written=",".join([write.key for write in writes if write.value is not None]),
            committed=result.committed,
        )

    def _missing(self, keys: t.Set[str]) -> t.List[Write]:
        writes = []
        for record in self._members.serving_records():
            key, data = self._row_codec.encode_entry_row(record)
            if key not in keys:
                writes.append(Write(key, data, expected=_ABSENT))
        return writes

    async def _read(self) -> "t.List[Row]":
        changes = await self._feed.snapshot(self._row_codec.entry_prefix)
        return [row for row in changes.rows if row.value is not None]

    def _introduce(self, row: "Row") -> None:
        record = self._record_of(row)
        if record is not None:
            self._members.add_registered(record)

    def _record_of(self, row: "Row") -> "t.Optional[EntryRecord]":
        try:
            return self._row_codec.decode_entry_row(row.key, row.value or b"")
        except DesiredStateError as error:
            log.error("row.unreadable", key=row.key, revision=row.revision, error=error.message)
            return None
