"""Concurrent runs of entries that fail, checked event by event: at most one effect per key."""

import asyncio
import contextlib
import random
import typing as t
import unittest
import unittest.mock

import msgspec
from parameterized import parameterized

from coralfall.cluster.rows import CLAIM_PREFIX, ClaimRow, ClaimState, KeptAnswer
from coralfall.exceptions import ClaimError, PlatformError, RefusedError
from coralfall.idempotency import claim_record
from coralfall.idempotency.claims import Claim, ClaimBook
from coralfall.ids import (
    EntryId,
    IdempotencyKey,
    Incarnation,
    Outcome,
    PartnerId,
    Revision,
    ServiceId,
)
from coralfall.stores.memory_platform import MemoryPlatform
from coralfall.stores.store import Table, Write
from tests.event_rules import Event, Kind, violations
from tests.flaky_table import Fate, FlakyTable
from tests.older_copy import copy_of, restore
from tests.virtual_loop import LoopClock, run_virtual

PARTNER, SERVICE = PartnerId("calor"), ServiceId("mando")
ENTRIES = 3
KEYS = 6
CALLERS_PER_KEY = 3
REQUESTS_PER_CALLER = 10
#: Seconds after which a caller asks again though it was not answered.
PATIENCE_S = 1.0
#: Seconds in which all requests of a run are sent; longer if claims are held back meanwhile.
SPAN_S = 6.0
OLDER_COPIES_SPAN_S = 24.0
QUIET_S = 60.0
#: Share of calls to the table that get each fate in bad times.
BAD_FATES = {Fate.DOWN: 0.1, Fate.ANSWER_LOST: 0.1, Fate.CALL_LOST: 0.1, Fate.LATE: 0.3}


class Entry:
    """One life of an entry: its book, and the requests it carries until it is killed."""

    def __init__(self, name: str, life: int, table: FlakyTable, run: "Run") -> None:
        self.table = table
        self.book = ClaimBook(
            table, EntryId(name), Incarnation(life), run.clock, rng=random.Random(life)
        )
        self._run = run
        self._tasks: t.List["asyncio.Task[None]"] = []
        self._start(self.book.run())
        self._start(self._follow_eras())

    async def _follow_eras(self) -> None:
        """Reads the table from time to time, as the entry's membership does."""
        while True:
            await asyncio.sleep(1.0)
            with contextlib.suppress(PlatformError):
                self.book.note_era((await self.table.changes(["roster/"], Revision(0))).era)

    def _start(self, work: t.Coroutine[t.Any, t.Any, None]) -> "asyncio.Task[None]":
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    def kill(self) -> None:
        """End everything at once, as if the process died."""
        for task in self._tasks:
            task.cancel()

    def take(self, request: str, key: str) -> "asyncio.Task[None]":
        """Carry a request; the task ends when the caller is answered or the entry is killed."""
        self._run.record(Kind.INVOKE, request, key)
        return self._start(self._carry(request, key))

    async def _carry(self, request: str, key: str) -> None:
        run = self._run
        try:
            claim = await self.book.claim(PARTNER, SERVICE, IdempotencyKey(key), "f", 0.7)
        except RefusedError:
            run.record(Kind.ANSWER, request, key, Outcome.NOT_RUN)
            return
        except ClaimError:
            run.record(Kind.ANSWER, request, key, Outcome.UNKNOWN)
            return
        if isinstance(claim, KeptAnswer):
            run.record(Kind.ANSWER, request, key, Outcome.DONE, (claim.body or b"").decode())
            return
        await self._step()
        if run.chance(0.15):
            await self.book.release(claim)
            run.record(Kind.ANSWER, request, key, Outcome.NOT_RUN)
            return
        await self._dispatch(request, key, claim)

    async def _dispatch(self, request: str, key: str, claim: Claim) -> None:
        run = self._run
        run.record(Kind.DISPATCH, request, key)
        target = asyncio.ensure_future(run.target(request, key))
        await self._step()
        if run.chance(0.15):
            await self.book.leave_unknown(claim)
            run.record(Kind.ANSWER, request, key, Outcome.UNKNOWN)
            return
        value = await asyncio.shield(target)
        await self._step()
        if value is None:
            await self.book.release(claim)
            run.record(Kind.ANSWER, request, key, Outcome.NOT_RUN)
            return
        await self.book.finish(claim, KeptAnswer(200, (), value.encode()))
        run.record(Kind.ANSWER, request, key, Outcome.DONE, value)

    async def _step(self) -> None:
        await asyncio.sleep(self._run.delay())
        await self.table.running.wait()


class Run:
    """One concurrent run: entries, callers that retry everywhere, and what goes wrong."""

    def __init__(self, seed: int, clock: LoopClock, has_older_copies: bool = False) -> None:
        self.rng = random.Random(seed)
        self.clock = clock
        self._has_older_copies = has_older_copies
        self._span_s = OLDER_COPIES_SPAN_S if has_older_copies else SPAN_S
        self.events: t.List[Event] = []
        self.table: Table = MemoryPlatform(clock).platform.table
        self.quiet = False
        self.entries = [self._entry(index, 1) for index in range(ENTRIES)]

    def record(self, *fields: t.Any) -> None:
        self.events.append(Event(*fields))

    def chance(self, share: float) -> bool:
        return self.rng.random() < share

    def delay(self) -> float:
        return self.rng.choice((0.0, 0.001, 0.01, 0.05, 0.2))

    async def target(self, request: str, key: str) -> t.Optional[str]:
        """Run a request, or shed it."""
        await asyncio.sleep(self.delay())
        if self.chance(0.6):
            self.record(Kind.SHED, request, key)
            return None
        value = f"effect of {request}"
        self.record(Kind.EFFECT, request, key, None, value)
        await asyncio.sleep(self.delay())
        return value

    async def play(self) -> None:
        callers = []
        for number in range(KEYS):
            for index in range(CALLERS_PER_KEY):
                callers.append(self._call(f"k{number}", index))
        await asyncio.gather(*callers, self._break_things())
        self.quiet = True
        await asyncio.sleep(QUIET_S)

    async def _call(self, key: str, index: int) -> None:
        """One caller: asks again as soon as it has an answer or lost patience."""
        await asyncio.sleep(self.rng.uniform(0, self._span_s / 2))
        for _ in range(REQUESTS_PER_CALLER):
            if self.chance(0.3):
                index = self.rng.randrange(ENTRIES)
            answered = self.entries[index].take(f"{key}/{index}/{self.rng.getrandbits(32)}", key)
            await asyncio.wait({answered}, timeout=PATIENCE_S)
            await asyncio.sleep(self.delay())
            if self._has_older_copies:
                await asyncio.sleep(self.rng.uniform(0, 2.0))

    async def _break_things(self) -> None:
        life = 1
        for _ in range(12):
            await asyncio.sleep(self._span_s / 12)
            index = self.rng.randrange(ENTRIES)
            if self._has_older_copies:
                self._break_with_copies(index)
            elif self.chance(0.4):
                life += 1
                self.entries[index].kill()
                self.entries[index] = self._entry(index, life)
            elif self.chance(0.5):
                running = self.entries[index].table.running
                running.clear()
                asyncio.get_running_loop().call_later(self.rng.uniform(0.1, 3.0), running.set)

    def _break_with_copies(self, index: int) -> None:
        """Pauses an entry or brings the table back from an older copy; nobody is killed, as what
        one who was killed has written could not be written again."""
        loop = asyncio.get_running_loop()
        if self.chance(0.3):
            loop.call_later(self.rng.uniform(0.1, 2.0), restore, self.table, copy_of(self.table))
        elif self.chance(0.3):
            running = self.entries[index].table.running
            running.clear()
            loop.call_later(self.rng.uniform(0.1, 1.0), running.set)

    def _entry(self, index: int, life: int) -> Entry:
        table = FlakyTable(self.table, self._fate, self.delay, late_s=0.3)
        return Entry(f"e{index}", life, table, self)

    def _fate(self) -> Fate:
        # Good and bad times take turns.
        if self.quiet or int(self.clock.monotonic() * 2) % 2:
            return Fate.OK
        fates = [Fate.OK, *BAD_FATES]
        weights = [1 - sum(BAD_FATES.values()), *BAD_FATES.values()]
        return self.rng.choices(fates, weights)[0]


def play(seed: int, has_older_copies: bool = False) -> Run:
    async def main(clock: LoopClock) -> Run:
        run = Run(seed, clock, has_older_copies)
        await run.play()
        return run

    return run_virtual(main)


SEEDS = range(120)
#: All kinds of events that a run with claims can record.
RECORDED = (Kind.INVOKE, Kind.DISPATCH, Kind.SHED, Kind.EFFECT, Kind.ANSWER)


class TestHistories(unittest.TestCase):
    @parameterized.expand([(start,) for start in range(0, len(SEEDS), 20)])
    def test_at_most_once(self, start: int) -> None:
        for seed in SEEDS[start : start + 20]:
            with self.subTest(seed=seed):
                self.assertEqual(violations(play(seed).events), [])

    @parameterized.expand([(start,) for start in range(0, len(SEEDS), 20)])
    def test_at_most_once_with_older_copies(self, start: int) -> None:
        for seed in SEEDS[start : start + 20]:
            with self.subTest(seed=seed):
                self.assertEqual(violations(play(seed, has_older_copies=True).events), [])

    def test_runs_reach_what_they_are_to_check(self) -> None:
        outcomes = dict.fromkeys(Outcome, 0)
        kinds = dict.fromkeys(RECORDED, 0)
        for seed in SEEDS[:20]:
            for event in play(seed).events:
                kinds[event.kind] += 1
                if event.outcome is not None:
                    outcomes[event.outcome] += 1
        self.assertGreater(min(outcomes.values()), 20, outcomes)
        self.assertGreater(min(kinds.values()), 20, kinds)

    def test_every_released_key_can_be_claimed_in_the_end(self) -> None:
        for seed in SEEDS[:40]:
            with self.subTest(seed=seed):
                self.assertEqual(run_virtual(lambda clock, seed=seed: _stuck(seed, clock)), [])


async def _stuck(seed: int, clock: LoopClock) -> t.List[str]:
    """Rows that stay claimed though their claimant lives and holds no claim on them."""
    run = Run(seed, clock)
    await run.play()
    changes = await run.table.changes([CLAIM_PREFIX], 0)
    rows = [msgspec.msgpack.decode(row.value or b"", type=ClaimRow) for row in changes.rows]
    living = tuple(entry.book._id_prefix for entry in run.entries)
    return [
        row.claim_id
        for row in rows
        if row.state is ClaimState.CLAIMED and row.claim_id.startswith(living)
    ]


JUDGE = claim_record.judge


def _write_whatever_is_there(record: claim_record.ClaimRecord) -> Write:
    return Write(record.key, msgspec.msgpack.encode(record.wanted))


async def _write_again_unread(writer: t.Any, records: t.Any) -> None:
    """Leaves the revision unknown, so that the next write expects none."""


def _take_lost_answer_for_success(record: claim_record.ClaimRecord) -> None:
    record.touched = True
    record.row = record.wanted


def _claim_what_is_claimed(row: t.Any, wanted: ClaimRow) -> t.Any:
    verdict = JUDGE(row, wanted)
    return claim_record.Verdict.WRITE if verdict is claim_record.Verdict.BUSY else verdict


class TestMechanisms(unittest.TestCase):
    """Without any one of the mechanisms, the same runs break a rule."""

    @parameterized.expand(
        [
            ("coralfall.idempotency.claim_record.ClaimRecord.write", _write_whatever_is_there),
            ("coralfall.idempotency.claim_writer.ClaimWriter._read", _write_again_unread),
            ("coralfall.idempotency.claim_record.ClaimRecord.doubt", _take_lost_answer_for_success),
            ("coralfall.idempotency.claim_record.judge", _claim_what_is_claimed),
        ]
    )
    def test_broken(self, target: str, replacement: t.Any) -> None:
        with unittest.mock.patch(target, replacement):
            self.assertTrue(any(violations(play(seed).events) for seed in SEEDS))

    @parameterized.expand(
        [
            ("ClaimHold.seconds_left", 0.0),
            ("RecentClaims.rows_by_key", lambda *_: {}),
        ]
    )
    def test_broken_with_older_copies(self, target: str, replacement: t.Any) -> None:
        with unittest.mock.patch("coralfall.idempotency.claim_eras." + target, replacement):
            runs = (play(seed, has_older_copies=True) for seed in SEEDS)
            self.assertTrue(any(violations(run.events) for run in runs))
