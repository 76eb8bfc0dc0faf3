"""Claims: who may dispatch, under each fault of the table, and how few writes it takes."""

import asyncio
import contextlib
import typing as t
import unittest
import unittest.mock

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from parameterized import parameterized

from coralfall import defaults
from coralfall.cluster.rows import ClaimRow, ClaimState, KeptAnswer, claim_key
from coralfall.exceptions import (
    ClaimBusyError,
    ClaimError,
    ClaimMismatchError,
    ClaimUnknownError,
    CoralfallError,
    RefusedError,
)
from coralfall.idempotency.claim_eras import RecentClaims
from coralfall.idempotency.claims import Claim, ClaimBook
from coralfall.ids import EntryId, Era, IdempotencyKey, Incarnation, PartnerId, ServiceId
from coralfall.stores.memory_platform import FaultMode, Faults, MemoryPlatform, ServiceFault
from coralfall.stores.store import Write
from tests.flaky_table import Fate, FlakyTable
from tests.older_copy import copy_of, restore
from tests.virtual_loop import LoopClock, VirtualLoop, run_virtual

PARTNER, SERVICE = PartnerId("cosecha"), ServiceId("pedidos")
KEY = IdempotencyKey("order-1")
ROW = claim_key(PARTNER, SERVICE, KEY)
ANSWER = KeptAnswer(201, ((b"content-type", b"text/plain"),), b"order 17")
#: Long enough for every retry and late write of a test to be over.
LONG_S = 60.0


class Fleet:
    """Two entries' books over one table; ``fates`` are those of the first one's next calls."""

    def __init__(self, clock: LoopClock) -> None:
        self.memory = MemoryPlatform(clock)
        self.fates: t.List[Fate] = []
        flaky = FlakyTable(self.memory.platform.table, self._next_fate)
        self.a = ClaimBook(flaky, EntryId("a"), Incarnation(1), clock)
        self.b = self.book("b")

    def book(self, name: str, metrics: t.Any = None) -> ClaimBook:
        table = self.memory.platform.table
        clock = LoopClock(asyncio.get_running_loop())
        return ClaimBook(table, EntryId(name), Incarnation(1), clock, metrics=metrics)

    def _next_fate(self) -> Fate:
        return self.fates.pop(0) if self.fates else Fate.OK

    def down(self) -> None:
        self.fates = [Fate.DOWN] * 1000

    async def row(self) -> t.Optional[ClaimRow]:
        rows = await self.memory.platform.table.read([ROW])
        if ROW not in rows:
            return None
        return msgspec.msgpack.decode(rows[ROW].value or b"", type=ClaimRow)

    async def state(self) -> t.Optional[ClaimState]:
        row = await self.row()
        return None if row is None else row.state


@contextlib.asynccontextmanager
async def running(*books: ClaimBook) -> t.AsyncIterator[None]:
    tasks = [asyncio.ensure_future(book.run()) for book in books]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def with_fleet(test: t.Callable[..., t.Awaitable[None]]) -> t.Callable[..., None]:
    """Run a test on virtual time with a running fleet as its first argument."""

    def run(self: unittest.TestCase, *args: t.Any) -> None:
        async def main(clock: LoopClock) -> None:
            fleet = Fleet(clock)
            async with running(fleet.a, fleet.b):
                await test(self, fleet, *args)

        run_virtual(main)

    run.__name__ = test.__name__
    return run


async def claim(book: ClaimBook, fingerprint: str = "f", key: str = KEY) -> t.Any:
    return await book.claim(PARTNER, SERVICE, IdempotencyKey(key), fingerprint)


async def outcome(book: ClaimBook, fingerprint: str = "f", key: str = KEY) -> t.Any:
    """The claim's class, the kept answer, or the error's class."""
    try:
        result = await claim(book, fingerprint, key)
    except CoralfallError as error:
        return type(error)
    return Claim if isinstance(result, Claim) else result


async def settle(book: ClaimBook, held: Claim, state: ClaimState) -> None:
    if state is ClaimState.DONE:
        await book.finish(held, ANSWER)
    if state is ClaimState.RELEASED:
        await book.release(held)
    if state is ClaimState.UNKNOWN:
        await book.leave_unknown(held)


class TestLostClaim(unittest.TestCase):
    @with_fleet
    async def test_a_command_whose_claim_the_table_lost_does_not_run_again(
        self, fleet: Fleet
    ) -> None:
        table = fleet.memory.platform.table
        copy = copy_of(table)
        await settle(fleet.a, await claim(fleet.a), ClaimState.DONE)
        await asyncio.sleep(LONG_S)
        restore(table, copy)
        self.assertIsNot(Claim, await outcome(fleet.b))

    @parameterized.expand(
        [
            (ClaimState.CLAIMED, ClaimBusyError),
            (ClaimState.DONE, ANSWER),
            (ClaimState.UNKNOWN, ClaimUnknownError),
            (ClaimState.RELEASED, Claim),
        ]
    )
    @with_fleet
    async def test_what_was_lost_is_known_again(
        self, fleet: Fleet, state: ClaimState, expected: t.Any
    ) -> None:
        table = fleet.memory.platform.table
        copy = copy_of(table)
        await settle(fleet.a, await claim(fleet.a), state)
        await asyncio.sleep(1.0)
        restore(table, copy)
        self.assertIs(RefusedError, await outcome(fleet.b))
        fleet.a.note_era(Era(1))
        await asyncio.sleep(defaults.CLAIM_HOLD_S / 2)
        self.assertIs(state, await fleet.state())
        self.assertIs(RefusedError, await outcome(fleet.a, key="another"))
        await asyncio.sleep(defaults.CLAIM_HOLD_S / 2)
        self.assertEqual(expected, await outcome(fleet.b))
        self.assertIs(Claim, await outcome(fleet.b, key="another"))

    @with_fleet
    async def test_a_claim_whose_command_runs_meanwhile_is_settled(self, fleet: Fleet) -> None:
        table = fleet.memory.platform.table
        copy = copy_of(table)
        held = await claim(fleet.a)
        restore(table, copy)
        self.assertIs(RefusedError, await outcome(fleet.b))
        await settle(fleet.a, held, ClaimState.DONE)
        await asyncio.sleep(defaults.CLAIM_HOLD_S + 1.0)
        self.assertEqual(ANSWER, await outcome(fleet.b))

    @with_fleet
    async def test_a_book_that_starts_later_waits_no_longer_than_the_others(
        self, fleet: Fleet
    ) -> None:
        table = fleet.memory.platform.table
        restore(table, copy_of(table))
        self.assertIs(RefusedError, await outcome(fleet.b))
        await asyncio.sleep(defaults.CLAIM_HOLD_S)
        late = fleet.book("late")
        async with running(late):
            late.note_era(Era(1))
            await asyncio.sleep(0.1)
            self.assertIs(Claim, await outcome(late))

    @with_fleet
    async def test_keys_are_not_claimed_while_the_era_s_beginning_is_not_known(
        self, fleet: Fleet
    ) -> None:
        table = fleet.memory.platform.table
        restore(table, copy_of(table))
        fleet.down()
        fleet.a.note_era(Era(1))
        await asyncio.sleep(2 * defaults.CLAIM_HOLD_S)
        self.assertIs(RefusedError, await outcome(fleet.a))
        fleet.fates = []
        await asyncio.sleep(2 * defaults.CLAIM_HOLD_S)
        self.assertIs(Claim, await outcome(fleet.a))


class RecentClaimsTest(unittest.TestCase):
    @parameterized.expand(
        [
            # times of writing, keys that are kept
            ("lately", [0.0, 1.0], ["0", "1"]),
            ("long ago", [-defaults.CLAIM_RECALL_S, 1.0], ["1"]),
            ("too many", [0.0, 1.0, 1.5, 1.7], ["1", "2", "3"]),
        ]
    )
    def test_kept(self, _name: str, written_at: t.List[float], kept: t.List[str]) -> None:
        recent = RecentClaims()
        with unittest.mock.patch.object(defaults, "MAX_RECENT_CLAIMS", 3):
            for number, now in enumerate(written_at):
                recent.add(str(number), make_row(ClaimState.DONE), now)
        self.assertEqual(kept, list(recent.rows_by_key(2.0)))

    def test_answers_beyond_the_bound_are_kept_without_a_body(self) -> None:
        recent = RecentClaims()
        with unittest.mock.patch.object(defaults, "MAX_PENDING_ANSWER_BYTES", ANSWER.size()):
            for key in "ab":
                recent.add(key, make_row(ClaimState.DONE, ANSWER), 0.0)
            recent.add("a", make_row(ClaimState.UNKNOWN), 0.0)
            recent.add("c", make_row(ClaimState.DONE, ANSWER), 0.0)
        answers = [row.answer for row in recent.rows_by_key(0.0).values()]
        self.assertEqual([ANSWER.status_only(), None, ANSWER], answers)


def make_row(state: ClaimState, answer: t.Optional[KeptAnswer] = None) -> ClaimRow:
    return ClaimRow(state=state, claim_id="a/1", attempt=1, fingerprint="f", at=0.0, answer=answer)


SECOND_CLAIMS = [
    (ClaimState.CLAIMED, "f", ClaimBusyError),
    (ClaimState.RELEASED, "f", Claim),
    (ClaimState.DONE, "f", ANSWER),
    (ClaimState.UNKNOWN, "f", ClaimUnknownError),
    (ClaimState.CLAIMED, "g", ClaimMismatchError),
    (ClaimState.RELEASED, "g", Claim),
    (ClaimState.DONE, "g", ClaimMismatchError),
    (ClaimState.UNKNOWN, "g", ClaimMismatchError),
]


class TestSecondClaim(unittest.TestCase):
    @parameterized.expand(SECOND_CLAIMS)
    @with_fleet
    async def test_elsewhere(
        self, fleet: Fleet, state: ClaimState, fingerprint: str, expected: t.Any
    ) -> None:
        await settle(fleet.a, await claim(fleet.a), state)
        await asyncio.sleep(LONG_S)
        self.assertEqual(await fleet.state(), state)
        self.assertEqual(await outcome(fleet.b, fingerprint), expected)

    @parameterized.expand(SECOND_CLAIMS)
    @with_fleet
    async def test_here_before_the_table_knows(
        self, fleet: Fleet, state: ClaimState, fingerprint: str, expected: t.Any
    ) -> None:
        await settle(fleet.a, await claim(fleet.a), state)
        if state is not ClaimState.RELEASED:
            fleet.down()
        self.assertEqual(await outcome(fleet.a, fingerprint), expected)

    @parameterized.expand([(state,) for state in ClaimState if state is not ClaimState.CLAIMED])
    @with_fleet
    async def test_a_claim_is_settled_once(self, fleet: Fleet, state: ClaimState) -> None:
        held = await claim(fleet.a)
        await settle(fleet.a, held, state)
        with self.assertRaises(ClaimError):
            await fleet.a.finish(held, ANSWER)

    @with_fleet
    async def test_a_row_that_cant_be_read_stays(self, fleet: Fleet) -> None:
        await fleet.memory.platform.table.transact([Write(ROW, b"\xc1")])
        self.assertEqual(await outcome(fleet.a), ClaimUnknownError)
        rows = await fleet.memory.platform.table.read([ROW])
        self.assertEqual(rows[ROW].value, b"\xc1")


class TestFaults(unittest.TestCase):
    """Each case: fates of calls to the table, the claim's outcome, its row once all is quiet."""

    @parameterized.expand(
        [
            ([Fate.DOWN], RefusedError, None),
            ([Fate.ANSWER_LOST], Claim, ClaimState.CLAIMED),
            ([Fate.CALL_LOST], Claim, ClaimState.CLAIMED),
            ([Fate.LATE], Claim, ClaimState.CLAIMED),
            ([Fate.CALL_LOST, Fate.OK, Fate.ANSWER_LOST], RefusedError, ClaimState.RELEASED),
            ([Fate.ANSWER_LOST, Fate.DOWN], RefusedError, ClaimState.RELEASED),
            ([Fate.LATE, Fate.DOWN], RefusedError, ClaimState.RELEASED),
            ([Fate.LATE, Fate.OK, Fate.LATE, Fate.DOWN], RefusedError, ClaimState.RELEASED),
            ([Fate.CALL_LOST, Fate.DOWN], RefusedError, ClaimState.RELEASED),
        ]
    )
    @with_fleet
    async def test_claim(
        self, fleet: Fleet, fates: t.List[Fate], expected: t.Any, state: t.Any
    ) -> None:
        fleet.fates = list(fates)
        self.assertEqual(await outcome(fleet.a), expected)
        await asyncio.sleep(LONG_S)
        self.assertEqual(await fleet.state(), state)
        again = ClaimBusyError if expected is Claim else Claim
        self.assertEqual(await outcome(fleet.b), again)

    @parameterized.expand(
        [
            (state, fates)
            for state in (ClaimState.DONE, ClaimState.RELEASED, ClaimState.UNKNOWN)
            for fates in (
                [Fate.DOWN] * 5,
                [Fate.ANSWER_LOST] * 3,
                [Fate.CALL_LOST, Fate.DOWN],
                [Fate.LATE, Fate.OK, Fate.LATE],
            )
        ]
    )
    @with_fleet
    async def test_settling(self, fleet: Fleet, state: ClaimState, fates: t.List[Fate]) -> None:
        held = await claim(fleet.a)
        fleet.fates = list(fates)
        await settle(fleet.a, held, state)
        await asyncio.sleep(LONG_S)
        self.assertEqual(await fleet.state(), state)
        self.assertEqual(fleet.a.open_keys, 0)

    @with_fleet
    async def test_a_late_release_does_not_undo_the_next_claim(self, fleet: Fleet) -> None:
        held = await claim(fleet.a)
        fleet.fates = [Fate.LATE]
        await fleet.a.release(held)
        await asyncio.sleep(defaults.CLAIM_BATCH_DELAY_S + 0.01)
        self.assertEqual(fleet.fates, [])
        self.assertEqual(await outcome(fleet.a), Claim)
        await asyncio.sleep(LONG_S)
        self.assertEqual(await fleet.state(), ClaimState.CLAIMED)
        self.assertEqual(await outcome(fleet.b), ClaimBusyError)

    @with_fleet
    async def test_lost_answer_is_read_back_not_written_again(self, fleet: Fleet) -> None:
        fleet.fates = [Fate.ANSWER_LOST]
        await claim(fleet.a)
        self.assertEqual(fleet.memory.counters.table_writes, 1)
        self.assertEqual(fleet.memory.counters.table_reads, 1)

    @with_fleet
    async def test_refused_at_once_while_down(self, fleet: Fleet) -> None:
        fleet.down()
        await outcome(fleet.a)
        asked = fleet.memory.counters.table_writes
        before = asyncio.get_running_loop().time()
        with self.assertRaises(RefusedError) as caught:
            await claim(fleet.a, key="other")
        self.assertEqual(asyncio.get_running_loop().time(), before)
        self.assertGreater(caught.exception.retry_after, 0)
        self.assertEqual(fleet.memory.counters.table_writes, asked)
        fleet.fates = []
        await asyncio.sleep(LONG_S)
        self.assertEqual(await outcome(fleet.a), Claim)

    @with_fleet
    async def test_kept_answers_are_given_while_down(self, fleet: Fleet) -> None:
        held = await claim(fleet.a)
        fleet.down()
        await outcome(fleet.a, key="other")
        await fleet.a.finish(held, ANSWER)
        self.assertEqual(await outcome(fleet.a), ANSWER)

    @with_fleet
    async def test_a_slow_table_does_not_hold_a_command(self, fleet: Fleet) -> None:
        slow = ServiceFault(mode=FaultMode.SLOW, delay_s=30)
        fleet.memory.set_faults(Faults(table=slow))
        self.assertEqual(await outcome(fleet.a), RefusedError)
        self.assertLess(asyncio.get_running_loop().time(), 2 * defaults.CLAIM_TIMEOUT_S)
        fleet.memory.set_faults(Faults())
        await asyncio.sleep(LONG_S)
        self.assertEqual(await fleet.state(), ClaimState.RELEASED)

    @parameterized.expand([(steps,) for steps in range(8)])
    @with_fleet
    async def test_cancelled_at_each_step(self, fleet: Fleet, steps: int) -> None:
        task = asyncio.ensure_future(claim(fleet.a))
        for _ in range(steps):
            await asyncio.sleep(0.0004)
        if task.done():
            self.assertIsInstance(task.result(), Claim)
            return
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await asyncio.sleep(LONG_S)
        self.assertEqual(await outcome(fleet.b), Claim)

    @with_fleet
    async def test_cancelled_as_the_claim_arrives(self, fleet: Fleet) -> None:
        metrics = unittest.mock.Mock()
        book = fleet.book("c", metrics)
        async with running(book):
            task = asyncio.ensure_future(claim(book))
            metrics.count.side_effect = lambda name: task.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await task
            metrics.count.assert_called_once_with("claims.claimed")
            await asyncio.sleep(LONG_S)
        self.assertEqual(await outcome(fleet.b), Claim)

    @with_fleet
    async def test_writer_restarted_in_the_middle(self, fleet: Fleet) -> None:
        book = fleet.book("c")
        slow = ServiceFault(mode=FaultMode.SLOW, delay_s=0.2)
        fleet.memory.set_faults(Faults(table=slow))
        waiting = asyncio.ensure_future(outcome(book))
        async with running(book):
            await asyncio.sleep(0.1)
        fleet.memory.set_faults(Faults())
        async with running(book):
            self.assertEqual(await waiting, Claim)


class TestGroupCommit(unittest.TestCase):
    @with_fleet
    async def test_calls_share_transactions(self, fleet: Fleet) -> None:
        first = asyncio.ensure_future(claim(fleet.a, key="first"))
        await asyncio.sleep(0.0005)
        names = [f"key-{number}" for number in range(200)]
        results = await asyncio.gather(*[claim(fleet.a, key=name) for name in names])
        await first
        self.assertEqual({type(result) for result in results}, {Claim})
        self.assertEqual(fleet.memory.counters.table_writes, 2)

    @with_fleet
    async def test_a_conflict_costs_the_others_nothing(self, fleet: Fleet) -> None:
        await claim(fleet.b, key="key-3")
        names = [f"key-{number}" for number in range(10)]
        results = await asyncio.gather(*[outcome(fleet.a, key=name) for name in names])
        self.assertEqual(results[3], ClaimBusyError)
        self.assertEqual(results.count(Claim), 9)

    @with_fleet
    async def test_a_batch_is_bounded(self, fleet: Fleet) -> None:
        count = defaults.CLAIM_BATCH_ROWS + 1
        names = [f"key-{number}" for number in range(count)]
        await asyncio.gather(*[claim(fleet.a, key=name) for name in names])
        self.assertEqual(fleet.memory.counters.table_writes, 2)
        self.assertEqual(fleet.memory.counters.table_rows_written, count)

    @with_fleet
    async def test_open_keys_are_bounded(self, fleet: Fleet) -> None:
        names = [f"key-{number}" for number in range(defaults.MAX_OPEN_CLAIMS)]
        await asyncio.gather(*[claim(fleet.a, key=name) for name in names])
        self.assertEqual(await outcome(fleet.a), RefusedError)

    @parameterized.expand([(1, defaults.CLAIM_MIN_INTERVAL_S), (12, 0.04), (530, 0.5)])
    @with_fleet
    async def test_transactions_keep_their_distance(
        self, fleet: Fleet, entries: int, interval_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        fleet.a.pace(entries)
        start = loop.time()
        for number in range(11):
            await claim(fleet.a, key=f"key-{number}")
        self.assertAlmostEqual(loop.time() - start, 10 * interval_s, delta=0.01)


class TestKeptAnswers(unittest.TestCase):
    @parameterized.expand(
        [
            (defaults.MAX_STORED_ANSWER_BYTES, True),
            (defaults.MAX_STORED_ANSWER_BYTES + 1, False),
        ]
    )
    @with_fleet
    async def test_long_answers_are_kept_status_only(
        self, fleet: Fleet, length: int, kept: bool
    ) -> None:
        body = b"x" * length
        await fleet.a.finish(await claim(fleet.a), KeptAnswer(200, (), body))
        await asyncio.sleep(LONG_S)
        self.assertEqual(await outcome(fleet.b), KeptAnswer(200, (), body if kept else None))

    @with_fleet
    async def test_waiting_bodies_are_bounded(self, fleet: Fleet) -> None:
        body = b"x" * defaults.MAX_STORED_ANSWER_BYTES
        most = defaults.MAX_PENDING_ANSWER_BYTES // len(body)
        names = [f"key-{number}" for number in range(most + 10)]
        claims = await asyncio.gather(*[claim(fleet.a, key=name) for name in names])
        fleet.down()
        for held in claims:
            await fleet.a.finish(held, KeptAnswer(200, (), body))
        kept = [await outcome(fleet.a, key=name) for name in names]
        self.assertEqual(sum(answer.body is not None for answer in kept), most)
        fleet.fates = []
        await asyncio.sleep(LONG_S)
        self.assertEqual(fleet.a.open_keys, 0)
        await fleet.a.finish(await claim(fleet.a), KeptAnswer(200, (), body))
        self.assertEqual(await outcome(fleet.a), KeptAnswer(200, (), body))


class TestStop(unittest.TestCase):
    @with_fleet
    async def test_settles_first(self, fleet: Fleet) -> None:
        await fleet.a.finish(await claim(fleet.a), ANSWER)
        await fleet.a.stop()
        self.assertEqual(await fleet.state(), ClaimState.DONE)
        self.assertEqual(await outcome(fleet.a, key="other"), RefusedError)

    @with_fleet
    async def test_gives_up_while_down(self, fleet: Fleet) -> None:
        held = await claim(fleet.a)
        fleet.down()
        await fleet.a.finish(held, ANSWER)
        await fleet.a.stop()
        self.assertEqual(await fleet.state(), ClaimState.CLAIMED)

    @parameterized.expand([("time_is_up", LONG_S, 1), ("cut_off", 1.0, 1), ("settled", LONG_S, 0)])
    @with_fleet
    async def test_tells_what_is_not_settled(
        self, fleet: Fleet, _: str, seconds: float, count: int
    ) -> None:
        """A stop that was cut off by the end of the process said nothing of its open keys."""
        held = await claim(fleet.a)
        if count:
            fleet.down()
        await fleet.a.finish(held, ANSWER)
        with (
            unittest.mock.patch("coralfall.process.log.warning") as warning,
            contextlib.suppress(TimeoutError),
        ):
            async with asyncio.timeout(seconds):
                await fleet.a.stop()
        calls = [call for call in warning.mock_calls if call.args == ("claims.unsettled",)]
        self.assertEqual([call.kwargs for call in calls], [{"count": 1}] * count)


NAMES = ("k1", "k2", "k3")
FINGERPRINTS = ("f", "g")
BOOKS = ("a", "b")
NAME = st.sampled_from(NAMES)
BOOK = st.sampled_from(BOOKS)


class NaiveClaims:
    """What the claims would be in one dict that never fails."""

    def __init__(self) -> None:
        self.rows_by_name: t.Dict[str, t.Tuple[str, t.Any]] = {}

    def claim(self, name: str, fingerprint: str) -> t.Any:
        known, state = self.rows_by_name.get(name, (fingerprint, ClaimState.RELEASED))
        if state is not ClaimState.RELEASED and known != fingerprint:
            return ClaimMismatchError
        if state is ClaimState.CLAIMED:
            return ClaimBusyError
        if state is ClaimState.UNKNOWN:
            return ClaimUnknownError
        if state is ClaimState.DONE:
            return ANSWER
        self.rows_by_name[name] = (fingerprint, ClaimState.CLAIMED)
        return Claim

    def settle(self, name: str, state: ClaimState) -> None:
        self.rows_by_name[name] = (self.rows_by_name[name][0], state)


class ClaimsMachine(RuleBasedStateMachine):
    """Two books under faults do as the naive version, or refuse."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualLoop()
        self.clock = LoopClock(self.loop)
        self.memory = MemoryPlatform(self.clock)
        self.fates: t.List[Fate] = []
        self.naive = NaiveClaims()
        self.held: t.Dict[str, t.Tuple[str, Claim]] = {}
        self.tasks_by_name: t.Dict[str, t.Any] = {}
        self.books_by_name: t.Dict[str, ClaimBook] = {}
        for name in BOOKS:
            self._start(name)

    def teardown(self) -> None:
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self._run(asyncio.wait(tasks))
        self.loop.close()

    @rule(
        book=st.sampled_from(BOOKS), name=st.sampled_from(NAMES), fingerprint=st.sampled_from("ffg")
    )
    def claim(self, book: str, name: str, fingerprint: str) -> None:
        before = dict(self.naive.rows_by_name)
        expected = self.naive.claim(name, fingerprint)
        result = self._run(self._claim(book, name, fingerprint))
        if result is RefusedError:
            self.naive.rows_by_name = before
            self._quiet()
            return
        assert result == expected, (result, expected)

    @rule(name=st.sampled_from(NAMES), state=st.sampled_from(ClaimState))
    def settle(self, name: str, state: ClaimState) -> None:
        if name not in self.held or state is ClaimState.CLAIMED:
            return
        book, held = self.held.pop(name)
        self.naive.settle(name, state)
        self._run(settle(self.books_by_name[book], held, state))
        if state is not ClaimState.CLAIMED:
            self._quiet()

    @rule(fates=st.lists(st.sampled_from(Fate), max_size=6))
    def faults(self, fates: t.List[Fate]) -> None:
        self.fates = fates

    @rule(seconds=st.sampled_from((0.01, 0.2, 7.0)))
    def wait(self, seconds: float) -> None:
        self._run(asyncio.sleep(seconds))

    @rule(book=st.sampled_from(BOOKS))
    def kill(self, book: str) -> None:
        self.tasks_by_name[book].cancel()
        for name, (holder, _) in list(self.held.items()):
            if holder == book:
                del self.held[name]
        self._start(book)

    async def _claim(self, book: str, name: str, fingerprint: str) -> t.Any:
        try:
            result = await claim(self.books_by_name[book], fingerprint, name)
        except CoralfallError as error:
            return type(error)
        if not isinstance(result, Claim):
            return result
        self.held[name] = (book, result)
        return Claim

    def _start(self, name: str) -> None:
        table = FlakyTable(self.memory.platform.table, self._next_fate)
        book = ClaimBook(table, EntryId(name), Incarnation(1), self.clock)
        self.books_by_name[name] = book
        self.tasks_by_name[name] = self.loop.create_task(book.run())

    def _next_fate(self) -> Fate:
        return self.fates.pop(0) if self.fates else Fate.OK

    def _quiet(self) -> None:
        """Let the table work until all that is under way is over."""
        self.fates = []
        self._run(asyncio.sleep(LONG_S))

    def _run(self, work: t.Coroutine[t.Any, t.Any, t.Any]) -> t.Any:
        return self.loop.run_until_complete(work)


ClaimsMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=30
)
TestClaimsMachine = ClaimsMachine.TestCase
