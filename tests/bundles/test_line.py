"""Tests of a partner's line and of submissions: one winner, settled answers."""

import asyncio
import typing as t
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies as st
from parameterized import parameterized

from coralfall.bundles import line, submission
from coralfall.bundles.bundle import Head, SignedBundle, VersionRef, digest_of, encode
from coralfall.exceptions import (
    BundleError,
    CoralfallError,
    PlatformUnavailableError,
    PlatformUnknownError,
    SignatureError,
    SubmitError,
)
from coralfall.ids import Digest, Revision, SiteId
from coralfall.lookups.blocks import parse_blocks
from coralfall.lookups.chunks import build_chunks
from coralfall.process.clock import ManualClock
from coralfall.stores.memory_platform import FaultMode, Faults, MemoryPlatform, ServiceFault
from coralfall.stores.store import Check, Platform, Table, TransactResult, Write
from tests.checks import refused
from tests.operators import (
    ANA,
    BEA,
    CALOR,
    CARO,
    COSECHA,
    DANI,
    EVA,
    TRUST,
    make_bundle,
    sign_bundle,
)

SHARES: line.Shares = {}


class Fate:
    """What becomes of one transaction: ``effect`` and ``answer`` may each be missing."""

    GOOD = "good"
    ANSWER_LOST = "answer lost"
    CALL_LOST = "call lost"
    #: Lost now, takes effect just before the next transaction.
    CALL_SOON = "call soon"
    #: Lost now, takes effect at the end of the test.
    CALL_LATE = "call late"
    DOWN = "down"


#: Runs a transaction that was held up.
_Run = t.Callable[[], t.Awaitable[TransactResult]]
_Call = t.Tuple[t.Sequence[Write], t.Sequence[Check]]


class ScriptedTable(Table):
    """A table whose transactions meet the fates of a script, and which yields at every call."""

    def __init__(self, table: Table) -> None:
        self._table = table
        self.script: t.List[str] = []
        self.late: t.List[_Call] = []
        self.soon: t.List[_Call] = []
        self.reads_down = False

    async def transact(
        self, writes: t.Sequence[Write], checks: t.Sequence[Check] = ()
    ) -> TransactResult:
        await asyncio.sleep(0)
        await self._deliver(self.soon)
        fate = self.script.pop(0) if self.script else Fate.GOOD
        if fate == Fate.DOWN:
            raise PlatformUnavailableError("down")
        if fate == Fate.CALL_LATE:
            self.late.append((writes, checks))
        if fate == Fate.CALL_SOON:
            self.soon.append((writes, checks))
        if fate in (Fate.CALL_LATE, Fate.CALL_SOON, Fate.CALL_LOST):
            raise PlatformUnknownError("lost")
        result = await self._table.transact(writes, checks)
        if fate == Fate.ANSWER_LOST:
            raise PlatformUnknownError("lost")
        return result

    async def changes(self, prefixes: t.Any, since: t.Any, limit: t.Any = None) -> t.Any:
        await asyncio.sleep(0)
        if self.reads_down:
            raise PlatformUnavailableError("down")
        return await self._table.changes(prefixes, since, limit)

    async def read(self, keys: t.Any) -> t.Any:
        await asyncio.sleep(0)
        return await self._table.read(keys)

    async def deliver_late(self) -> None:
        await self._deliver(self.late)
        await self._deliver(self.soon)

    async def _deliver(self, calls: t.List[_Call]) -> None:
        while calls:
            await self._table.transact(*calls.pop(0))


def ref_of(signed: SignedBundle, version: int = 1) -> VersionRef:
    return VersionRef(version=make_bundle(version).version, digest=digest_of(encode(signed)))


class LineTest(unittest.IsolatedAsyncioTestCase):
    """Base: a platform, and operators who submit to it."""

    def setUp(self) -> None:
        patch = mock.patch.object(submission, "SUBMIT_PAUSE_S", 0)
        patch.start()
        self.addCleanup(patch.stop)
        self.clock = ManualClock(100.0)
        self.memory = MemoryPlatform(self.clock)
        inner = self.memory.platform
        self.table = ScriptedTable(inner.table)
        self.platform = Platform(self.table, inner.objects, inner.vms)

    async def submit(
        self, signed: SignedBundle, name: str = "s", replaces: t.Optional[Digest] = None
    ) -> Head:
        return await submission.submit(self.platform, signed, TRUST, name, None, replaces)

    async def accept(
        self,
        now: float = 101.0,
        row: t.Optional[line.HeadRow] = None,
        checks: t.Sequence[Check] = (),
    ) -> Head:
        """Accept what is staged, as ``row`` or else the head now has it."""
        row = row or await line.read_head(self.platform, COSECHA)
        return await line.accept(self.platform, *row, SHARES, now, checks)

    async def put_in_force(self, version: int) -> None:
        await self.submit(sign_bundle(make_bundle(version)), f"s{version}")
        await self.accept()

    def interrupt(self, act: t.Callable[[_Run], t.Awaitable[TransactResult]]) -> None:
        """Let ``act`` stand for the next transaction; it is given what runs it."""
        inner = self.table.transact

        async def once(writes: t.Any, checks: t.Any = ()) -> TransactResult:
            self.table.transact = inner  # type: ignore[method-assign]
            return await act(lambda: inner(writes, checks))

        self.table.transact = once  # type: ignore[method-assign]

    async def head(self) -> Head:
        return (await line.read_head(self.platform, COSECHA)).head

    async def refused(self, reason: str, signed: SignedBundle, **options: t.Any) -> SubmitError:
        with refused(SubmitError, reason) as caught:
            await self.submit(signed, **options)
        return caught.exception


class SubmitTest(LineTest):
    """What becomes of a bundle that is submitted."""

    async def test_a_version_is_staged_then_accepted(self) -> None:
        signed = sign_bundle(make_bundle())
        staged = await self.submit(signed)
        self.assertEqual((None, ref_of(signed)), (staged.accepted, staged.staged))
        self.assertEqual(encode(signed), await self.platform.objects.get(staged.staged.digest))
        self.clock.advance(1.0)
        accepted = await self.accept()
        self.assertEqual((ref_of(signed), None), (accepted.accepted, accepted.staged))
        self.assertEqual(
            {COSECHA: accepted},
            {p: r.head for p, r in (await line.read_heads(self.platform)).items()},
        )
        (past,) = await line.history(self.platform, COSECHA)
        self.assertEqual(
            ("ana", "bea", "s", 100.0, 101.0),
            (past.author, past.approver, past.submission, past.submitted_at, past.accepted_at),
        )

    async def test_the_same_bundle_again_succeeds_and_writes_nothing(self) -> None:
        signed = sign_bundle(make_bundle())
        await self.submit(signed, "first")
        row = await line.read_head(self.platform, COSECHA)
        self.assertEqual(row.head, await self.submit(signed, "second"))
        await self.accept()
        row = await line.read_head(self.platform, COSECHA)
        self.assertEqual(row.head, await self.submit(signed, "third"))
        self.assertEqual(row, await line.read_head(self.platform, COSECHA))

    @parameterized.expand(
        [
            ("half-signed", SignedBundle(payload=encode(make_bundle())), SignatureError),
            ("of another partner", sign_bundle(make_bundle(), ANA, DANI), SignatureError),
            ("against the rules", sign_bundle(make_bundle(services={})), BundleError),
        ]
    )
    async def test_refused_unseen(
        self, _name: str, signed: SignedBundle, error: t.Type[CoralfallError]
    ) -> None:
        with self.assertRaises(error):
            await self.submit(signed)
        self.assertEqual(0, self.memory.counters.table_writes + self.memory.counters.object_writes)

    async def test_an_old_bundle_is_never_taken_again(self) -> None:
        first = sign_bundle(make_bundle(1))
        for version in (1, 2, 3):
            await self.put_in_force(version)
        error = await self.refused("old-version", first, name="replay")
        self.assertEqual((3, "version"), (error.fields["newest"], error.fields["field"]))
        await self.refused("lost-race", sign_bundle(make_bundle(1, slots=5)), name="forged")
        await self.refused("version-gap", sign_bundle(make_bundle(5)), name="ahead")
        self.assertEqual(3, (await self.head()).accepted.version)

    async def test_lines_of_partners_are_apart(self) -> None:
        await self.submit(sign_bundle(make_bundle()))
        eva_signed = sign_bundle(make_bundle(partner=CALOR, grants={}), DANI, EVA)
        await self.submit(eva_signed)
        heads = await line.read_heads(self.platform)
        self.assertEqual({COSECHA, CALOR}, set(heads))

    async def test_history_reads_the_newest(self) -> None:
        with mock.patch("coralfall.bundles.history.PAGE_ROWS", 2):
            for version in range(1, 6):
                await self.put_in_force(version)
            every = await line.history(self.platform, COSECHA)
            newest = await line.history(self.platform, COSECHA, 2)
        self.assertEqual([1, 2, 3, 4, 5], [row.version for row in every])
        self.assertEqual(every[3:], newest)


class ReplaceTest(LineTest):
    """A staged bundle that is not to come into force gives way to the next version."""

    async def asyncSetUp(self) -> None:
        self.stuck = sign_bundle(make_bundle(1))
        await self.submit(self.stuck, "s1")

    async def replace(self, better: SignedBundle) -> Head:
        return await self.submit(better, "s2", ref_of(self.stuck).digest)

    async def test_only_when_named(self) -> None:
        better = sign_bundle(make_bundle(2, slots=5))
        error = await self.refused("staged-first", better, name="s2")
        self.assertIn("~ targets.catalogo-01.slots: 6 -> 5", error.fields["differs"])
        await self.refused("staged-first", better, name="s2", replaces=digest_of(b"other"))
        head = await self.replace(better)
        self.assertEqual((None, ref_of(better, 2)), (head.accepted, head.staged))

    async def test_its_number_is_never_used_again(self) -> None:
        await self.replace(sign_bundle(make_bundle(2)))
        await self.refused(
            "old-version", self.stuck, name="again", replaces=ref_of(self.stuck).digest
        )
        await self.refused("lost-race", sign_bundle(make_bundle(1, slots=5)), name="other")
        await self.accept()
        past = await line.history(self.platform, COSECHA)
        self.assertEqual([None, 101.0], [row.accepted_at for row in past])

    async def test_an_acceptance_of_what_was_replaced_fails(self) -> None:
        row = await line.read_head(self.platform, COSECHA)
        await self.replace(sign_bundle(make_bundle(2)))
        with refused(SubmitError, "conflict"):
            await self.accept(row=row)
        self.assertEqual(
            (None, 2), ((await self.head()).accepted, (await self.head()).staged.version)
        )

    async def test_an_acceptance_in_between_is_not_undone(self) -> None:

        async def accept_first(run: _Run) -> TransactResult:
            await self.accept()
            return await run()

        self.interrupt(accept_first)
        better = sign_bundle(make_bundle(2))
        head = await self.replace(better)
        self.assertEqual((ref_of(self.stuck), ref_of(better, 2)), (head.accepted, head.staged))
        self.assertEqual(head, await self.head())


#: Fates of the first few transactions.
ROUNDS: t.List[t.Tuple[str, ...]] = [
    (),
    (Fate.ANSWER_LOST,),
    (Fate.GOOD, Fate.ANSWER_LOST),
    (Fate.ANSWER_LOST, Fate.ANSWER_LOST),
    (Fate.CALL_LOST,),
    (Fate.CALL_LOST, Fate.CALL_LOST, Fate.ANSWER_LOST),
    (Fate.CALL_LATE,),
    (Fate.CALL_LATE, Fate.CALL_LATE),
    (Fate.CALL_LATE, Fate.ANSWER_LOST),
    (Fate.CALL_SOON,),
    (Fate.CALL_SOON, Fate.ANSWER_LOST),
    (Fate.CALL_SOON, Fate.CALL_SOON, Fate.CALL_LATE),
]


class RaceTest(LineTest):
    """Two operators of one partner submit at the same moment."""

    @parameterized.expand([(fates, first) for fates in ROUNDS for first in (0, 1)])
    async def test_exactly_one_wins(self, fates: t.Tuple[str, ...], first: int) -> None:
        self.table.script = list(fates)
        offers = [
            (sign_bundle(make_bundle(1, slots=6), ANA, BEA), "ana's"),
            (sign_bundle(make_bundle(1, slots=5), CARO, BEA), "caro's"),
        ]
        offers = offers[first:] + offers[:first]
        results = await asyncio.gather(
            *(self.submit(signed, name) for signed, name in offers), return_exceptions=True
        )
        await self.table.deliver_late()
        winners = [index for index, result in enumerate(results) if isinstance(result, Head)]
        self.assertEqual(1, len(winners), results)
        won, lost = offers[winners[0]], results[1 - winners[0]]
        head = await self.head()
        self.assertEqual((ref_of(won[0]), won[1]), (head.staged, head.submission))
        self.assertIsInstance(lost, SubmitError)
        self.assertEqual("lost-race", lost.fields["reason"])
        self.assertEqual(ref_of(won[0]).digest, lost.fields["winner"]["digest"])
        self.assertIn(won[1].split("'")[0], lost.message)
        self.assertEqual(1, len(lost.fields["differs"]))
        self.assertEqual(1, len(await line.history(self.platform, COSECHA)))


class SettleTest(LineTest):
    """Answers that are lost after the write has taken effect, or before."""

    async def test_a_lost_answer_and_then_an_outage(self) -> None:
        self.table.script = [Fate.ANSWER_LOST, Fate.DOWN]
        signed = sign_bundle(make_bundle())
        self.assertEqual(ref_of(signed), (await self.submit(signed)).staged)
        self.table.script = [Fate.CALL_LOST, Fate.DOWN]
        better = sign_bundle(make_bundle(2))
        head = await self.submit(better, "s2", ref_of(signed).digest)
        self.assertEqual((ref_of(better, 2), head), (head.staged, await self.head()))

    async def test_success_is_seen_behind_later_versions(self) -> None:
        """The answer is lost, and the line has moved on before the head is read back."""
        signed = sign_bundle(make_bundle(1))

        async def move_on(run: _Run) -> TransactResult:
            await run()
            await self.accept()
            await self.put_in_force(2)
            raise PlatformUnknownError("lost")

        self.interrupt(move_on)
        head = await self.submit(signed, "first")
        self.assertEqual(2, head.accepted.version)

    async def test_what_stays_unknown_is_said_to_be(self) -> None:
        self.table.script = [Fate.CALL_LOST] * submission.SUBMIT_ATTEMPTS
        signed = sign_bundle(make_bundle())
        error = await self.refused("unknown", signed, name="doubt")
        self.assertEqual("doubt", error.fields["submission"])
        await self.submit(signed, "again")

    async def test_no_claim_while_the_head_cannot_be_read_back(self) -> None:
        signed = sign_bundle(make_bundle())
        inner = self.table.transact

        async def lose(writes: t.Any, checks: t.Any = ()) -> t.Any:
            await inner(writes, checks)
            self.table.reads_down = True
            raise PlatformUnknownError("lost")

        with mock.patch.object(self.table, "transact", lose):
            await self.refused("unknown", signed)
        self.table.reads_down = False
        self.assertEqual(ref_of(signed), (await self.submit(signed, "again")).staged)

    async def test_a_platform_that_is_down_is_named_so(self) -> None:
        self.table.script = [Fate.DOWN]
        with self.assertRaises(PlatformUnavailableError):
            await self.submit(sign_bundle(make_bundle()))

    async def test_a_lost_put_is_repeated(self) -> None:
        lost = ServiceFault(mode=FaultMode.ANSWER_LOST, calls=2)
        self.memory.set_faults(Faults(objects=lost))
        await self.submit(sign_bundle(make_bundle()))


class AcceptTest(LineTest):
    """The coordinator's write."""

    async def asyncSetUp(self) -> None:
        self.signed = sign_bundle(make_bundle())
        await self.submit(self.signed)
        self.row = await line.read_head(self.platform, COSECHA)

    @parameterized.expand(
        [
            (Fate.ANSWER_LOST, True),
            (Fate.CALL_LOST, False),
            (Fate.CALL_LATE, False),
            (Fate.CALL_SOON, False),
        ]
    )
    async def test_a_lost_answer(self, fate: str, settled: bool) -> None:
        self.table.script = [fate]
        if settled:
            self.assertEqual(ref_of(self.signed), (await self.accept()).accepted)
            return
        with self.assertRaises(PlatformUnknownError):
            await self.accept()
        if fate == Fate.CALL_SOON:
            with refused(SubmitError, "conflict"):
                await self._accept_again()
        else:
            self.assertEqual(102.0, (await self._accept_again()).accepted_at)
        await self.table.deliver_late()
        self.assertEqual(ref_of(self.signed), (await self.head()).accepted)

    async def _accept_again(self) -> Head:
        return await self.accept(102.0, self.row)

    async def test_a_changed_check_stops_it(self) -> None:
        await self.platform.table.transact([Write("coordinator", b"1")])
        with refused(SubmitError, "conflict"):
            await self.accept(101.0, self.row, [Check("coordinator", Revision(1))])
        self.assertEqual(self.row.head, await self.head())

    async def test_another_acceptance_came_first(self) -> None:
        await self.accept(101.0)
        self.table.script = [Fate.CALL_LOST]
        with refused(SubmitError, "conflict"):
            await self._accept_again()
        self.assertEqual(101.0, (await self.head()).accepted_at)

    async def test_nothing_staged(self) -> None:
        await self.accept()
        with refused(SubmitError, "nothing-staged"):
            await self.accept()


class BlockTableTest(LineTest):
    """Objects of the block table are in the store before the head names them."""

    def setUp(self) -> None:
        super().setUp()
        text = "192.0.2.0/24,sierra-1\n"
        self.built = build_chunks(parse_blocks(text, [SiteId("sierra-1")]).blocks)
        self.signed = sign_bundle(make_bundle(chunks=self.built.refs))

    async def test_all_are_put(self) -> None:
        objects = self.built.objects_by_digest
        await submission.submit(self.platform, self.signed, TRUST, "s", objects)
        for digest, data in objects.items():
            self.assertEqual(data, await self.platform.objects.get(digest))
        await self.accept()
        writes = self.memory.counters.object_writes
        await self.submit(sign_bundle(make_bundle(2, chunks=self.built.refs)), "s2")
        self.assertEqual(writes + 1, self.memory.counters.object_writes)

    @parameterized.expand([("missing-object",), ("wrong-object",)])
    async def test_refused(self, reason: str) -> None:
        objects = dict(self.built.objects_by_digest)
        for digest in objects:
            if digest != self.built.refs[0].digest and reason == "wrong-object":
                objects[digest] = b"other"
        if reason == "missing-object":
            objects = {}
        with refused(SubmitError, reason):
            await submission.submit(self.platform, self.signed, TRUST, "s", objects)
        self.assertEqual(Head(partner=COSECHA), await self.head())


class NaiveLine:
    """The line as a list, without a platform: the reference of the differential test."""

    def __init__(self) -> None:
        #: Digest staged under each version, from 1.
        self.digests: t.List[Digest] = []
        self.accepted = 0

    def submit(self, ref: VersionRef, replaces: bool) -> bool:
        newest = len(self.digests)
        if (newest and ref == self.ref(newest)) or ref == self.ref(self.accepted):
            return True
        staged_waits = newest > self.accepted and not replaces
        if ref.version != newest + 1 or staged_waits:
            return False
        self.digests.append(ref.digest)
        return True

    def accept(self) -> None:
        self.accepted = len(self.digests)

    def ref(self, version: int) -> t.Optional[VersionRef]:
        if not version:
            return None
        digest = self.digests[version - 1]
        return VersionRef(version=make_bundle(version).version, digest=digest)


FATES = st.lists(
    st.sampled_from([Fate.GOOD, Fate.ANSWER_LOST, Fate.CALL_LOST, Fate.CALL_SOON, Fate.CALL_LATE]),
    max_size=3,
)
STEPS = st.one_of(
    st.tuples(st.just("accept"), FATES),
    st.tuples(st.integers(-2, 2), st.integers(1, 3), st.booleans(), FATES),
)
SIGNED_BY_OFFER = {
    (version, slots): sign_bundle(make_bundle(version, slots))
    for version in range(1, 16)
    for slots in range(1, 4)
}


class DifferentialTest(unittest.TestCase):
    """Any sequence of submissions and acceptances, with any answers lost, ends as the naive one."""

    @hypothesis.settings(max_examples=80, deadline=None, derandomize=True)
    @hypothesis.given(st.lists(STEPS, max_size=12))
    def test_same_as_naive(self, steps: t.List[t.Any]) -> None:
        with mock.patch.object(submission, "SUBMIT_PAUSE_S", 0):
            asyncio.run(self._compare(steps))

    async def _compare(self, steps: t.List[t.Any]) -> None:
        inner = MemoryPlatform(ManualClock(100.0)).platform
        table = ScriptedTable(inner.table)
        platform = Platform(table, inner.objects, inner.vms)
        naive = NaiveLine()
        for number, step in enumerate(steps):
            row = await line.read_head(platform, COSECHA)
            table.script = list(step[-1])
            if step[0] == "accept":
                await self._accept(platform, row, naive)
            else:
                await self._submit(platform, row.head, naive, step, f"step {number}")
            table.script = []
            await table.deliver_late()
            head = (await line.read_head(platform, COSECHA)).head
            newest = len(naive.digests)
            staged = naive.ref(newest) if newest > naive.accepted else None
            self.assertEqual((naive.ref(naive.accepted), staged), (head.accepted, head.staged))
        past = await line.history(platform, COSECHA)
        self.assertEqual(naive.digests, [row.digest for row in past])

    async def _accept(self, platform: Platform, row: line.HeadRow, naive: NaiveLine) -> None:
        if row.head.staged is None:
            return
        while True:
            try:
                await line.accept(platform, *row, SHARES, 101.0)
            except PlatformUnknownError:
                continue
            except SubmitError:
                # An earlier attempt took effect after all.
                pass
            naive.accept()
            return

    async def _submit(
        self, platform: Platform, head: Head, naive: NaiveLine, step: t.Any, name: str
    ) -> None:
        offset, slots, replaces, _ = step
        version = max(1, len(naive.digests) + offset)
        signed = SIGNED_BY_OFFER[version, slots]
        replaced = head.staged.digest if replaces and head.staged is not None else None
        wanted = naive.submit(ref_of(signed, version), replaces)
        try:
            await submission.submit(platform, signed, TRUST, name, None, replaced)
        except SubmitError:
            self.assertFalse(wanted, name)
            return
        self.assertTrue(wanted, name)


if __name__ == "__main__":
    unittest.main()
