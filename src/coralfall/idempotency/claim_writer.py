"""Group commit: brings many claim rows to what is wanted of them in one transaction."""

import typing as t

from ..exceptions import PlatformUnavailableError
from ..ids import Era
from .claim_record import ABSENT, ClaimRecord, Verdict

if t.TYPE_CHECKING:
    from ..process.clock import Clock, PlatformClock
    from ..stores.store import Table

#: Transactions that one call sends; each is smaller by the rows that conflicted before.
_MAX_ROUNDS = 3


class ClaimWriter:
    """Writes records in groups.

    Every write expects the revision that its row was last seen with, so one that arrives late
    or twice does nothing. A row whose last write went unanswered is read before it is written
    again.

    :param table: where the rows are.
    :param clock: the VM's clocks.
    :param platform_clock: is told of the platform's time with each answer.
    """

    def __init__(self, table: "Table", clock: "Clock", platform_clock: "PlatformClock") -> None:
        self._table = table
        self._clock = clock
        self._platform_clock = platform_clock
        #: Transactions sent.
        self.transactions = 0
        #: Latest era of the table's answers.
        self.era = Era(0)

    async def write(self, records: t.Sequence[ClaimRecord]) -> None:
        """Write what is wanted, as far as the rows allow it; the records know the result.

        :raises PlatformUnavailableError: if nothing more was done.
        :raises PlatformUnknownError: if a write went unanswered.
        """
        await self._read([record for record in records if record.revision is None])
        for _ in range(_MAX_ROUNDS):
            pending = [record for record in records if record.verdict() is Verdict.WRITE]
            if not pending or await self._transact(pending):
                return

    async def _read(self, records: t.Sequence[ClaimRecord]) -> None:
        if not records:
            return
        rows_by_key = await self._table.read([record.key for record in records])
        for record in records:
            row = rows_by_key.get(record.key)
            if row is None:
                record.observe(ABSENT, None)
                continue
            self.era = max(self.era, row.era)
            record.observe_value(row.revision, row.value)

    async def _transact(self, records: t.Sequence[ClaimRecord]) -> bool:
        # What is wanted may change while the call is under way.
        sent = [(record, record.wanted) for record in records]
        writes = [record.write() for record in records]
        self.transactions += 1
        sent_at = self._clock.monotonic()
        try:
            result = await self._table.transact(writes)
        except PlatformUnavailableError:
            raise
        except BaseException:
            for record in records:
                record.doubt()
            raise
        self.era = max(self.era, result.era)
        self._platform_clock.observe(sent_at, self._clock.monotonic(), result.now)
        if result.committed:
            for record, row in sent:
                record.touched = True
                record.observe(result.revision, row)
            return True
        records_by_key = {record.key: record for record in records}
        for conflict in result.conflicts:
            records_by_key[conflict.key].observe_value(conflict.revision, conflict.value)
        return False
