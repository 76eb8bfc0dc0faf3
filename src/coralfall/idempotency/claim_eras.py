"""What happens to claims when the table comes back from an older copy, which may lack some.

A key whose claim was lost must not be given out again. So no key can be claimed for a while after
the table's era began, in which entries write again what they wrote lately. A row of the table tells
when the era began, for entries that hear of it later.
"""

import collections
import typing as t

import msgspec

from .. import defaults
from ..cluster.rows import CLAIM_ERA_KEY, ClaimEraRow, ClaimRow, decode_row
from ..ids import Era, Revision
from ..stores.store import Changes, Write

if t.TYPE_CHECKING:
    from ..process.clock import Clock
    from ..stores.store import Table


class ClaimHold:
    """Whether keys can be claimed in the table's present era.

    :param table: where the rows are.
    :param clock: the VM's clocks.
    """

    def __init__(self, table: "Table", clock: "Clock") -> None:
        self._table = table
        self._clock = clock
        self._newest_era = Era(0)
        #: Era whose beginning is known.
        self._known_era = Era(0)
        self._ends_at = float("-inf")

    def note(self, era: Era) -> None:
        """Takes in the era of an answer."""
        self._newest_era = max(self._newest_era, era)

    @property
    def is_behind(self) -> bool:
        """Whether :meth:`learn` has to be called."""
        return self._newest_era > self._known_era

    @property
    def seconds_left(self) -> float:
        """Time after which keys can be claimed, in seconds; 0 if they can be."""
        if self.is_behind:
            return defaults.CLAIM_HOLD_S
        return max(0.0, self._ends_at - self._clock.monotonic())

    async def learn(self) -> None:
        """Reads when the newest era began, and says that it begins now if nobody has.

        :raises PlatformError: if the table can't be reached.
        """
        while self.is_behind:
            changes = await self._table.changes([CLAIM_ERA_KEY], Revision(0))
            self.note(changes.era)
            row = _era_row(changes)
            if row is None or row.era < changes.era:
                row = await self._begin(changes)
            if row is None:
                continue
            self._known_era = row.era
            self._ends_at = (
                self._clock.monotonic() + row.began_at + defaults.CLAIM_HOLD_S - changes.now
            )

    async def _begin(self, changes: Changes) -> t.Optional[ClaimEraRow]:
        row = ClaimEraRow(era=changes.era, began_at=changes.now)
        revision = changes.rows[-1].revision if changes.rows else Revision(0)
        write = Write(CLAIM_ERA_KEY, msgspec.msgpack.encode(row), revision)
        result = await self._table.transact([write])
        self.note(result.era)
        return row if result.committed and result.era == changes.era else None


def _era_row(changes: Changes) -> t.Optional[ClaimEraRow]:
    if not changes.rows:
        return None
    return decode_row(changes.rows[-1], ClaimEraRow)


class RecentClaims:
    """Rows of settled claims that the table may still lose, in bounded number and size."""

    def __init__(self) -> None:
        self._by_key: "collections.OrderedDict[str, ClaimRow]" = collections.OrderedDict()
        self._written_at_by_key: t.Dict[str, float] = {}
        self._answer_bytes = 0

    def add(self, key: str, row: ClaimRow, now: float) -> None:
        """Takes in a row as written at a monotonic time."""
        self._remove(key)
        self._remove_older_than(now - defaults.CLAIM_RECALL_S)
        if len(self._by_key) >= defaults.MAX_RECENT_CLAIMS:
            self._remove(next(iter(self._by_key)))
        size = _answer_bytes(row)
        if row.answer and self._answer_bytes + size > defaults.MAX_PENDING_ANSWER_BYTES:
            row = msgspec.structs.replace(row, answer=row.answer.status_only())
            size = _answer_bytes(row)
        self._by_key[key] = row
        self._written_at_by_key[key] = now
        self._answer_bytes += size

    def rows_by_key(self, now: float) -> t.Dict[str, ClaimRow]:
        """Returns the rows written since ``now - CLAIM_RECALL_S``."""
        self._remove_older_than(now - defaults.CLAIM_RECALL_S)
        return dict(self._by_key)

    def _remove_older_than(self, written_at: float) -> None:
        while self._by_key:
            oldest = next(iter(self._by_key))
            if self._written_at_by_key[oldest] >= written_at:
                return
            self._remove(oldest)

    def _remove(self, key: str) -> None:
        row = self._by_key.pop(key, None)
        if row is not None:
            del self._written_at_by_key[key]
            self._answer_bytes -= _answer_bytes(row)


def _answer_bytes(row: ClaimRow) -> int:
    return 0 if row.answer is None else row.answer.size()
