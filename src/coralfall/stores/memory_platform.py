"""A platform in memory, with faults on demand, for tests, ``coralfall dev`` and the stand-in."""

import asyncio
import enum
import typing as t

import msgspec

from ..exceptions import ObjectMissingError, PlatformUnavailableError, PlatformUnknownError
from ..ids import Digest, Era, Revision, VmId
from ..process.clock import Clock, SystemClock
from .store import (
    Changes,
    Check,
    ObjectStore,
    Platform,
    Row,
    Table,
    TransactResult,
    Vm,
    VmList,
    Write,
)

ABSENT = Revision(0)


class FaultMode(enum.Enum):
    """How one of the platform's services behaves."""

    UP = "up"
    #: Nothing is done, and the caller is told so.
    DOWN = "down"
    #: Everything is done, ``delay_s`` later.
    SLOW = "slow"
    #: Writes take effect, but their answers never arrive; reads work.
    ANSWER_LOST = "answer-lost"
    #: Writes do not take effect and no answer arrives; reads work.
    CALL_LOST = "call-lost"


class ServiceFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Behaviour of one service."""

    mode: FaultMode = FaultMode.UP
    #: Seconds that a slow service takes before it acts.
    delay_s: float = 0.0
    #: How many calls the fault touches before the service is up again; ``None`` for all.
    calls: t.Optional[int] = None


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Behaviour of the whole platform."""

    table: ServiceFault = ServiceFault()
    objects: ServiceFault = ServiceFault()
    vms: ServiceFault = ServiceFault()
    #: Seconds after which the VM list shows what it was told.
    vm_list_lag_s: float = 0.0


class Counters(msgspec.Struct, kw_only=True):
    """Calls that the platform was sent, whatever became of them."""

    table_writes: int = 0
    table_rows_written: int = 0
    table_reads: int = 0
    object_writes: int = 0
    object_reads: int = 0
    vm_reads: int = 0


class _Gate:
    """Applies the fault of one service to its calls."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._fault = ServiceFault()
        self._calls_left: t.Optional[int] = None

    def set(self, fault: ServiceFault) -> None:
        self._fault = fault
        self._calls_left = fault.calls

    async def read(self) -> None:
        """Pass before a read."""
        if self._fault.mode in (FaultMode.ANSWER_LOST, FaultMode.CALL_LOST):
            return
        await self._before(self._next())

    async def write(self) -> FaultMode:
        """Pass before a write; hand the result to :meth:`after_write`."""
        fault = self._next()
        await self._before(fault)
        if fault.mode is FaultMode.CALL_LOST:
            raise PlatformUnknownError(f"{self._name}: the call got lost")
        return fault.mode

    def after_write(self, mode: FaultMode) -> None:
        """Pass after a write took effect."""
        if mode is FaultMode.ANSWER_LOST:
            raise PlatformUnknownError(f"{self._name}: the answer got lost")

    def _next(self) -> ServiceFault:
        if self._calls_left is None:
            return self._fault
        if self._calls_left <= 0:
            return ServiceFault()
        self._calls_left -= 1
        return self._fault

    async def _before(self, fault: ServiceFault) -> None:
        if fault.mode is FaultMode.DOWN:
            raise PlatformUnavailableError(f"{self._name}: down")
        if fault.mode is FaultMode.SLOW:
            await asyncio.sleep(fault.delay_s)


class MemoryTable(Table):
    """A table in a dict; rows of one transaction share one revision.

    Deleted rows stay as tombstones for as long as the table lives, so that
    :meth:`changes` reports every deletion whatever ``since`` is.

    :param clock: source of the platform's wall time.
    :param counters: where calls are counted.
    """

    def __init__(self, clock: Clock, counters: Counters) -> None:
        self.gate = _Gate("table")
        self._clock = clock
        self._counters = counters
        self._revision = ABSENT
        self._era = Era(0)
        #: Last written comes last, so changes are found from the end.
        self._rows_by_key: t.Dict[str, Row] = {}

    async def transact(
        self, writes: t.Sequence[Write], checks: t.Sequence[Check] = ()
    ) -> TransactResult:
        self._counters.table_writes += 1
        self._counters.table_rows_written += len(writes)
        mode = await self.gate.write()
        result = self._apply(writes, checks)
        self.gate.after_write(mode)
        return result

    async def changes(
        self, prefixes: t.Sequence[str], since: Revision, limit: t.Optional[int] = None
    ) -> Changes:
        self._counters.table_reads += 1
        await self.gate.read()
        rows = self._rows_since(tuple(prefixes), since)
        if limit is None or len(rows) <= limit:
            return Changes(tuple(rows), self._revision, self._clock.wall(), era=self._era)
        page = _whole_transactions(rows, limit)
        return Changes(
            tuple(page),
            page[-1].revision,
            self._clock.wall(),
            more=len(page) < len(rows),
            era=self._era,
        )

    async def read(self, keys: t.Sequence[str]) -> t.Dict[str, Row]:
        self._counters.table_reads += 1
        await self.gate.read()
        found: t.Dict[str, Row] = {}
        for key in keys:
            row = self._rows_by_key.get(key)
            if row is None or row.value is None:
                continue
            found[key] = msgspec.structs.replace(row, era=self._era)
        return found

    def _apply(self, writes: t.Sequence[Write], checks: t.Sequence[Check]) -> TransactResult:
        conflicts: t.Dict[str, Row] = {}
        expectations = [(write.key, write.expected) for write in writes]
        expectations += [(check.key, check.expected) for check in checks]
        for key, expected in expectations:
            row = self._current(key)
            if expected is not None and expected != row.revision:
                conflicts[key] = row
        if conflicts:
            return self._result(False, tuple(conflicts.values()))
        if writes:
            self._revision = Revision(self._revision + 1)
        for write in writes:
            self._rows_by_key.pop(write.key, None)
            self._rows_by_key[write.key] = Row(write.key, write.value, self._revision)
        return self._result(True, ())

    def _current(self, key: str) -> Row:
        row = self._rows_by_key.get(key)
        if row is None or row.value is None:
            return Row(key, None, ABSENT)
        return row

    def _result(self, committed: bool, conflicts: t.Tuple[Row, ...]) -> TransactResult:
        return TransactResult(committed, self._revision, conflicts, self._clock.wall(), self._era)

    def _rows_since(self, prefixes: t.Tuple[str, ...], since: Revision) -> t.List[Row]:
        found = []
        for row in reversed(self._rows_by_key.values()):
            if row.revision <= since:
                break
            if row.key.startswith(prefixes):
                found.append(row)
        found.reverse()
        return found


class MemoryObjectStore(ObjectStore):
    """An object store in a dict.

    :param counters: where calls are counted.
    """

    def __init__(self, counters: Counters) -> None:
        self.gate = _Gate("objects")
        self._counters = counters
        self._data_by_digest: t.Dict[Digest, bytes] = {}

    async def put(self, digest: Digest, data: bytes) -> None:
        self._counters.object_writes += 1
        mode = await self.gate.write()
        self._data_by_digest.setdefault(digest, data)
        self.gate.after_write(mode)

    async def get(self, digest: Digest) -> bytes:
        self._counters.object_reads += 1
        await self.gate.read()
        try:
            return self._data_by_digest[digest]
        except KeyError:
            raise ObjectMissingError(f"no object has digest {digest}", digest=digest) from None


class _VmNews(t.NamedTuple):
    """What the VM list was told and when it will show it."""

    visible_at: float
    vm_id: VmId
    vm: t.Optional[Vm]


class MemoryVmList(VmList):
    """A VM list that shows what it was told after a lag.

    :param clock: source of the time that the lag is counted in.
    :param counters: where calls are counted.
    """

    def __init__(self, clock: Clock, counters: Counters) -> None:
        self.gate = _Gate("vms")
        self.lag_s = 0.0
        self._clock = clock
        self._counters = counters
        self._by_id: t.Dict[VmId, Vm] = {}
        self._news: t.List[_VmNews] = []

    async def list(self) -> t.Dict[VmId, Vm]:
        self._counters.vm_reads += 1
        await self.gate.read()
        self._apply_news()
        return dict(self._by_id)

    def tell(self, vm_id: VmId, vm: t.Optional[Vm]) -> None:
        """Take in the state of a VM; ``None`` if it is gone."""
        self._news.append(_VmNews(self._clock.monotonic() + self.lag_s, vm_id, vm))

    def _apply_news(self) -> None:
        now = self._clock.monotonic()
        waiting = []
        for news in self._news:
            if news.visible_at > now:
                waiting.append(news)
                continue
            if news.vm is None:
                self._by_id.pop(news.vm_id, None)
                continue
            self._by_id[news.vm_id] = news.vm
        self._news = waiting


class MemoryPlatform:
    """The platform's three services in memory, and what a test may do to them.

    :param clock: source of all times; the VM's own by default.
    """

    def __init__(self, clock: t.Optional[Clock] = None) -> None:
        clock = clock or SystemClock()
        self.counters = Counters()
        self._table = MemoryTable(clock, self.counters)
        self._objects = MemoryObjectStore(self.counters)
        self._vms = MemoryVmList(clock, self.counters)
        self._faults = Faults()

    @property
    def platform(self) -> Platform:
        """The services as coralfall uses them."""
        return Platform(self._table, self._objects, self._vms)

    @property
    def faults(self) -> Faults:
        """The faults as last set."""
        return self._faults

    def set_faults(self, faults: Faults) -> None:
        """Behave as ``faults`` says from the next call on; replaces all earlier faults."""
        self._faults = faults
        self._table.gate.set(faults.table)
        self._objects.gate.set(faults.objects)
        self._vms.gate.set(faults.vms)
        self._vms.lag_s = faults.vm_list_lag_s

    def set_vm(self, vm: Vm) -> None:
        """Tell the VM list that a VM is live or leaving."""
        self._vms.tell(vm.vm_id, vm)

    def remove_vm(self, vm_id: VmId) -> None:
        """Tell the VM list that a VM is gone."""
        self._vms.tell(vm_id, None)


def _whole_transactions(rows: t.List[Row], limit: int) -> t.List[Row]:
    """The first ``limit`` rows, and the rest of the transaction that the last one is part of."""
    end = max(limit, 1)
    while end < len(rows) and rows[end].revision == rows[end - 1].revision:
        end += 1
    return rows[:end]
