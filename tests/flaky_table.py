"""A table that fails as a script or chance says, and may do writes after it was given up on."""

import asyncio
import enum
import typing as t

from coralfall.exceptions import PlatformUnavailableError, PlatformUnknownError
from coralfall.ids import Revision
from coralfall.stores.store import Changes, Check, Row, Table, TransactResult, Write


class Fate(enum.Enum):
    """What becomes of one call."""

    OK = "ok"
    #: Surely nothing is done; the caller is told so.
    DOWN = "down"
    #: A write takes effect, its answer gets lost.
    ANSWER_LOST = "answer-lost"
    #: A write gets lost.
    CALL_LOST = "call-lost"
    #: A write takes effect long after its caller was told that no answer came.
    LATE = "late"


Script = t.Callable[[], Fate]


class FlakyTable(Table):
    """Passes calls on to another table, or not.

    :param table: the table behind.
    :param script: fate of the next call; a read can only be down.
    :param delay: seconds until a call has its fate.
    :param late_s: seconds by which a late write is late.
    """

    def __init__(
        self,
        table: Table,
        script: Script,
        delay: t.Callable[[], float] = lambda: 0.001,
        late_s: float = 5.0,
    ) -> None:
        self._table = table
        self._script = script
        self._delay = delay
        self._late_s = late_s
        self._late: t.Set["asyncio.Task[None]"] = set()
        #: Cleared while the process that uses the table is paused.
        self.running = asyncio.Event()
        self.running.set()

    async def transact(
        self, writes: t.Sequence[Write], checks: t.Sequence[Check] = ()
    ) -> TransactResult:
        fate = await self._meet()
        if fate is Fate.CALL_LOST:
            raise PlatformUnknownError("lost")
        if fate is Fate.LATE:
            task = asyncio.ensure_future(self._transact_late(writes, checks))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            raise PlatformUnknownError("late")
        result = await self._table.transact(writes, checks)
        await self._wait()
        if fate is Fate.ANSWER_LOST:
            raise PlatformUnknownError("lost")
        return result

    async def changes(
        self, prefixes: t.Sequence[str], since: Revision, limit: t.Optional[int] = None
    ) -> Changes:
        await self._meet()
        return await self._table.changes(prefixes, since, limit)

    async def read(self, keys: t.Sequence[str]) -> t.Dict[str, Row]:
        await self._meet()
        rows = await self._table.read(keys)
        await self._wait()
        return rows

    async def _meet(self) -> Fate:
        fate = self._script()
        await self._wait()
        if fate is Fate.DOWN:
            raise PlatformUnavailableError("down")
        return fate

    async def _wait(self) -> None:
        await asyncio.sleep(self._delay())
        await self.running.wait()

    async def _transact_late(self, writes: t.Sequence[Write], checks: t.Sequence[Check]) -> None:
        await asyncio.sleep(self._late_s)
        await self._table.transact(writes, checks)
