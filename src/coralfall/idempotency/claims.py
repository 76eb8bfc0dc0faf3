"""Claims on idempotency keys: a command is claimed in the table before it is dispatched.

A key is claimed by one entry at a time and never expires into a second run: whoever dies with
a claim leaves its row as it is, and requests with the key are told that its outcome is not
known. Only the claimant itself releases a claim, and only if it surely did not dispatch it.
"""

import asyncio
import itertools
import random
import typing as t

import msgspec

from .. import defaults
from ..cluster.rows import ClaimRow, ClaimState, KeptAnswer, claim_key
from ..exceptions import ClaimError, PlatformError, RefusedError
from ..process import log
from ..process.child import Child
from ..process.clock import PlatformClock
from ..settings import ClaimSettings
from . import claim_errors
from .claim_eras import ClaimHold, RecentClaims
from .claim_queue import ClaimQueue
from .claim_record import ClaimRecord, Verdict
from .claim_writer import ClaimWriter

if t.TYPE_CHECKING:
    from ..ids import EntryId, Era, IdempotencyKey, Incarnation, PartnerId, ServiceId
    from ..process.clock import Clock
    from ..process.metrics import Metrics
    from ..stores.store import Table

_SETTINGS = ClaimSettings()
_UNAVAILABLE = "the table of idempotency keys is not available"


class Claim:
    """Leave to dispatch one command once; its holder owes one settling call.

    :param key: key of the claim's row.
    """

    def __init__(self, key: str) -> None:
        self.key = key


class ClaimBook(Child):
    """The claims of one entry.

    Calls that arrive while a transaction is under way go together into the next one. What
    became of a command is written soon after, along with other claims where there are any,
    and again until it is durable or the entry ends; until then the key stays claimed.

    :param table: where the rows are.
    :param entry_id: the entry's name, seen in its rows.
    :param incarnation: the entry's life.
    :param clock: the VM's clocks.
    :param settings: how long things wait.
    :param rng: makes claim ids unique even if an incarnation should come twice.
    :param metrics: counts ``claims.claimed`` and ``claims.refused``.
    """

    name = "claims"

    def __init__(
        self,
        table: "Table",
        entry_id: "EntryId",
        incarnation: "Incarnation",
        clock: "Clock",
        settings: ClaimSettings = _SETTINGS,
        rng: t.Optional[random.Random] = None,
        metrics: "t.Optional[Metrics]" = None,
    ) -> None:
        self._platform_clock = PlatformClock(clock)
        self._writer = ClaimWriter(table, clock, self._platform_clock)
        self._settings = settings
        self._metrics = metrics
        nonce = (rng or random.SystemRandom()).getrandbits(64)
        self._id_prefix = f"{entry_id}/{incarnation}/{nonce:016x}/"
        self._numbers = itertools.count(1)
        self._records_by_key: t.Dict[str, ClaimRecord] = {}
        self._queue = ClaimQueue(settings)
        self._hold = ClaimHold(table, clock)
        self._recent = RecentClaims()
        #: Lost rows of keys that are in use here, to be written once they are not.
        self._lost_later_by_key: t.Dict[str, ClaimRow] = {}
        self._waiting_bytes = 0
        self._wake = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._stopping = False
        self._flushing = False

    @property
    def transactions(self) -> int:
        """Transactions sent to the table so far."""
        return self._writer.transactions

    @property
    def open_keys(self) -> int:
        """Keys that are claimed, being claimed, or still to be written."""
        return len(self._records_by_key)

    async def claim(
        self,
        partner: "PartnerId",
        service: "ServiceId",
        key: "IdempotencyKey",
        fingerprint: str,
        time_left_s: float = defaults.CLAIM_TIMEOUT_S,
    ) -> t.Union[Claim, KeptAnswer]:
        """Leave to dispatch the command that ``key`` names, or the answer it got earlier.

        If this is cancelled or raises, the command was not dispatched and the key is released
        in the background, so that a later request with it can run.

        :param fingerprint: digest of method, path and, where it is known, body.
        :param time_left_s: seconds until the request is over.
        :raises RefusedError: at once if the table can't be written, else after
            ``settings.wait_s`` at most; the request was not run.
        :raises ClaimMismatchError: if the key names another command.
        :raises ClaimBusyError: if another request with the key is not over, or its entry
            ended without a word of its outcome.
        :raises ClaimUnknownError: if another request's outcome is known to stay unknown.
        """
        row_key = claim_key(partner, service, key)
        kept = self._kept(row_key, fingerprint)
        if kept is not None:
            return kept
        self._check_open()
        record = self._begin(row_key, fingerprint)
        waiter = asyncio.get_running_loop().create_future()
        record.waiter = waiter
        self._enqueue(record)
        timeout = min(time_left_s, self._settings.wait_s)
        try:
            await asyncio.wait({waiter}, timeout=timeout)
            if not waiter.done():
                raise self._refusal("the claim on the key took too long")
            result: t.Union[Claim, KeptAnswer] = waiter.result()
        except BaseException:
            self._abandon(record, waiter)
            raise
        return result

    async def finish(self, claim: Claim, answer: KeptAnswer) -> None:
        """Keep the answer for those who ask again.

        Returns at once. Of an answer longer than ``defaults.MAX_STORED_ANSWER_BYTES`` only the
        status is kept.
        """
        fits = self._waiting_bytes + answer.size() <= defaults.MAX_PENDING_ANSWER_BYTES
        if answer.size() > defaults.MAX_STORED_ANSWER_BYTES or not fits:
            answer = answer.status_only()
        self._settle(claim, ClaimState.DONE, answer)
        self._waiting_bytes += answer.size()

    async def release(self, claim: Claim) -> None:
        """Give the key back, on evidence that the command was not run; returns at once."""
        self._settle(claim, ClaimState.RELEASED, None)

    async def leave_unknown(self, claim: Claim) -> None:
        """Say that the command may have run and nobody will know; returns at once."""
        self._settle(claim, ClaimState.UNKNOWN, None)

    def pace(self, entries: int) -> None:
        """Share what the table can take with the other entries.

        :param entries: how many entries there are, this one included.
        """
        self._queue.pace(entries)

    def note_era(self, era: "Era") -> None:
        """Take in the era of an answer of the table that others than the book got."""
        self._hold.note(era)
        self._wake.set()

    async def run(self) -> None:
        """Write what is to be written, until cancelled."""
        while True:
            await self._wait_until_due()
            if self._hold.is_behind:
                await self._begin_era()
                continue
            await self._flush(self._queue.take(_now()))

    async def stop(self) -> None:
        """Refuse new claims, and return when what became of the others is written.

        Gives up after ``defaults.CLAIM_FLUSH_TIMEOUT_S``, or as it is cancelled: a key that is not
        settled stays claimed.
        """
        self._stopping = True
        self._queue.closing = True
        self._wake.set()
        try:
            async with asyncio.timeout(defaults.CLAIM_FLUSH_TIMEOUT_S):
                await self._idle.wait()
        except asyncio.TimeoutError:
            return
        finally:
            # The process may end sooner, which cancels this.
            if self._records_by_key:
                log.warning("claims.unsettled", count=len(self._records_by_key))

    def _check_open(self) -> None:
        if self._stopping:
            raise self._refusal("the entry is leaving")
        if len(self._records_by_key) >= defaults.MAX_OPEN_CLAIMS:
            raise self._refusal("the entry has too many commands open")
        held_s = self._hold.seconds_left
        if held_s:
            message = (
                "the table came back from an older copy; claims that it lost are written again"
            )
            self._count("refused")
            raise RefusedError(message, max(defaults.RETRY_AFTER_S, held_s))
        trial_runs = self._queue.is_failing and self._flushing
        if trial_runs or self._queue.is_paused(_now()):
            raise self._refusal(_UNAVAILABLE)

    def _refusal(self, message: str) -> RefusedError:
        self._count("refused")
        return RefusedError(message, defaults.RETRY_AFTER_S)

    def _kept(self, key: str, fingerprint: str) -> t.Optional[KeptAnswer]:
        """What this entry knows of the key; ``None`` if the key can be claimed."""
        record = self._records_by_key.get(key)
        if record is None or record.wanted.state is ClaimState.RELEASED:
            return None
        if record.wanted.fingerprint != fingerprint:
            raise claim_errors.mismatch()
        if record.wanted.state is ClaimState.CLAIMED:
            raise claim_errors.busy()
        if record.wanted.state is ClaimState.UNKNOWN:
            raise claim_errors.unknown()
        return record.wanted.answer

    def _begin(self, key: str, fingerprint: str) -> ClaimRecord:
        record = self._records_by_key.get(key)
        if record is None:
            claim_id = self._id_prefix + str(next(self._numbers))
            record = ClaimRecord(key, self._row(claim_id, 1, fingerprint))
            self._records_by_key[key] = record
            self._idle.clear()
            return record
        # Released, and not known to the table yet; earlier attempts were surely not dispatched.
        record.wanted = self._row(record.wanted.claim_id, record.wanted.attempt + 1, fingerprint)
        return record

    def _row(self, claim_id: str, attempt: int, fingerprint: str) -> ClaimRow:
        return ClaimRow(
            state=ClaimState.CLAIMED,
            claim_id=claim_id,
            attempt=attempt,
            fingerprint=fingerprint,
            at=self._platform_clock.now(),
        )

    def _settle(self, claim: Claim, state: ClaimState, answer: t.Optional[KeptAnswer]) -> None:
        record = self._records_by_key.get(claim.key)
        if record is None or record.held is not claim:
            raise ClaimError("the claim was settled already", key=claim.key)
        record.held = None
        self._want(record, state, answer)
        self._enqueue(record)

    def _want(
        self, record: ClaimRecord, state: ClaimState, answer: t.Optional[KeptAnswer] = None
    ) -> None:
        now = self._platform_clock.now()
        record.wanted = msgspec.structs.replace(record.wanted, state=state, answer=answer, at=now)

    def _abandon(self, record: ClaimRecord, waiter: "asyncio.Future[t.Any]") -> None:
        """Nobody waits for the claim any more, and nobody dispatched under it."""
        if waiter.done():
            # An error that came too late is not news to anyone.
            waiter.exception()
        if self._records_by_key.get(record.key) is not record:
            return
        if waiter.done() and record.held is not None and waiter.result() is record.held:
            record.held = None
        elif record.waiter is waiter:
            record.waiter = None
        else:
            return
        self._want(record, ClaimState.RELEASED)
        self._queue.remove(record)
        if not record.in_flight:
            self._place(record)

    def _enqueue(self, record: ClaimRecord) -> None:
        if record.in_flight:
            return
        self._queue.put(record, _now())
        self._wake.set()

    async def _wait_until_due(self) -> None:
        while True:
            self._wake.clear()
            due = self._queue.retry_at if self._hold.is_behind else self._queue.due_at()
            if due is not None and due <= _now():
                return
            timeout = None if due is None else due - _now()
            try:
                await asyncio.wait_for(self._wake.wait(), timeout)
            except asyncio.TimeoutError:
                continue

    async def _flush(self, batch: t.List[ClaimRecord]) -> None:
        self._flushing = True
        for record in batch:
            record.in_flight = True
        try:
            await self._writer.write(batch)
        except PlatformError as error:
            if self._queue.failed(error, _now()):
                self._refuse_all([*batch, *self._queue.waiting()])
        else:
            self._queue.succeeded()
        finally:
            self._flushing = False
            self._hold.note(self._writer.era)
            if self._hold.seconds_left:
                self._refuse_all(batch)
            for record in batch:
                record.in_flight = False
                if self._hold.is_behind and _may_be_lost(record):
                    self._write_again(record)
                    continue
                self._place(record)

    async def _begin_era(self) -> None:
        """Learn of the table's era, and write again what its copy may lack."""
        self._refuse_all(self._queue.waiting())
        try:
            await self._hold.learn()
        except PlatformError as error:
            self._queue.failed(error, _now())
            return
        held_s = self._hold.seconds_left
        if held_s:
            log.warning("claims.era-began", held_s=round(held_s, 3), open=len(self._records_by_key))
        for record in list(self._records_by_key.values()):
            if _may_be_lost(record):
                self._write_again(record)
        for key, row in self._recent.rows_by_key(_now()).items():
            if key in self._records_by_key:
                self._lost_later_by_key[key] = row
                continue
            self._write_lost(key, row)

    def _write_lost(self, key: str, row: ClaimRow) -> None:
        record = ClaimRecord(key, row)
        self._waiting_bytes += record.answer_bytes()
        self._records_by_key[key] = record
        self._idle.clear()
        self._write_again(record)

    def _write_again(self, record: ClaimRecord) -> None:
        record.may_be_lost = True
        record.revision = None
        self._enqueue(record)

    def _refuse_all(self, records: t.Sequence[ClaimRecord]) -> None:
        for record in records:
            if record.waiter is not None and not record.waiter.done():
                record.waiter.set_exception(self._refusal(_UNAVAILABLE))

    def _place(self, record: ClaimRecord) -> None:
        """Put a record where it belongs after something became known of it."""
        if record.waiter is not None and record.waiter.done():
            # Refused; whoever waits has not seen it yet.
            return
        if record.wanted.state is ClaimState.RELEASED and not record.touched:
            self._drop(record)
            return
        verdict = None if record.revision is None else record.verdict()
        if verdict is None or verdict is Verdict.WRITE:
            self._enqueue(record)
            return
        if record.waiter is not None:
            self._answer(record, record.waiter, verdict)
            return
        if verdict is Verdict.BUSY and record.may_be_lost and self._hold.seconds_left:
            # Another entry is about to release it.
            self._write_again(record)
            return
        if record.held is not None:
            return
        if verdict is Verdict.WRITTEN and record.wanted.state is not ClaimState.RELEASED:
            self._recent.add(record.key, record.wanted, _now())
        if verdict is Verdict.MOOT and record.wanted.state is not ClaimState.RELEASED:
            log.warning("claims.moot", key=record.key, state=record.wanted.state.value)
        self._drop(record)

    def _answer(
        self, record: ClaimRecord, waiter: "asyncio.Future[t.Any]", verdict: Verdict
    ) -> None:
        record.waiter = None
        if verdict is Verdict.WRITTEN:
            record.held = Claim(record.key)
            self._count("claimed")
            waiter.set_result(record.held)
            return
        self._drop(record)
        if verdict is Verdict.DONE and record.row is not None and record.row.answer is not None:
            waiter.set_result(record.row.answer)
            return
        waiter.set_exception(claim_errors.error_of(verdict))

    def _drop(self, record: ClaimRecord) -> None:
        self._waiting_bytes -= record.answer_bytes()
        del self._records_by_key[record.key]
        if not self._records_by_key:
            self._idle.set()
        lost = self._lost_later_by_key.pop(record.key, None)
        if lost is not None:
            self._write_lost(record.key, lost)

    def _count(self, name: str) -> None:
        if self._metrics is not None:
            self._metrics.count(f"claims.{name}")


def _may_be_lost(record: ClaimRecord) -> bool:
    """Whether a later era of the table may lack a row that was or is to be written."""
    return record.waiter is None and record.wanted.state is not ClaimState.RELEASED


def _now() -> float:
    """Loop's time: pauses need no clock that goes on while the VM is suspended."""
    return asyncio.get_running_loop().time()
