"""Tests of the checks whether an entry or its targets are to blame for failed connections."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall.exceptions import PeerTimeoutError
from coralfall.ids import EntryId, EntryState, Incarnation, TargetId
from coralfall.peering.messages import Hello
from coralfall.peering.peer_links import Answer
from coralfall.placement.reachability import Witness
from coralfall.traffic.crash_detector import Crash
from coralfall.traffic.messages import ReachReply, ReachRequest
from coralfall.traffic.reach_checks import ReachChecks
from tests.traffic.makers import PEDIDOS, make_record
from tests.traffic.scripted_target import ReceivedRequest, ScriptedTarget
from tests.traffic.test_crashes import settle
from tests.traffic.test_forwarder import ForwarderHarness, ok

LEAVING = {"state": EntryState.LEAVING}
DOWN = "127.0.0.1:1"


class AnsweringLinks:
    """Streams to entries that reach some targets, or do not answer."""

    def __init__(self, reached: t.Optional[t.Sequence[str]]) -> None:
        self._reached = reached
        self.requests: t.List[ReachRequest] = []

    async def exchange(
        self, address: str, request: ReachRequest, *_options: t.Any
    ) -> "Answer[ReachReply]":
        self.requests.append(request)
        if self._reached is None:
            raise PeerTimeoutError("no answer")
        hello = Hello(entry_id=EntryId("c0"), incarnation=Incarnation(1))
        return Answer(hello, ReachReply(tuple([TargetId(one) for one in self._reached])))


def make_checks(
    harness: ForwarderHarness, records: t.Sequence[t.Dict[str, t.Any]] = ({},)
) -> ReachChecks:
    harness.members.merge_records(
        [
            make_record(f"c{number}", **{"transit": True, "peer_address": DOWN, **fields})
            for number, fields in enumerate(records)
        ]
    )
    return harness.transit.checks


class AskedEntriesTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("those that serve", [{}, {}], {"c0", "c1"}),
            ("those that leave too, as the others may be cut off", [{}, LEAVING], {"c0", "c1"}),
            ("those that leave last", [LEAVING, {}, {}, {}, {}], {"c1", "c2", "c3", "c4"}),
            ("none that is cut off", [{"cut_off_from": (PEDIDOS,)}], set()),
            ("no older build", [{"transit": False}], set()),
        ]
    )
    def test_entries(
        self, _name: str, records: t.List[t.Dict[str, t.Any]], asked: t.Set[str]
    ) -> None:
        checks = make_checks(ForwarderHarness([]), records)
        self.assertEqual(asked, {record.entry_id for record in checks._entries_to_ask(PEDIDOS)})


class CheckTest(unittest.IsolatedAsyncioTestCase):
    @parameterized.expand(
        [
            # whether a target is reached from here, what others answer; whether it is cut off
            ("others reach a target", False, ["t0"], True),
            ("others reach none", False, [], False),
            ("others do not answer", False, None, False),
            ("it reaches another target itself", True, ["t0"], False),
        ]
    )
    async def test_conclusion(
        self, _name: str, is_reached: bool, answer: t.Optional[t.List[str]], cut_off: bool
    ) -> None:
        async with ScriptedTarget(ok) as target:
            addresses = [DOWN] * 3 + [target.address if is_reached else DOWN]
            harness = ForwarderHarness(addresses)
            checks = make_checks(harness)
            checks._links = t.cast(t.Any, links := AnsweringLinks(answer))
            reply = await harness.forward(harness.request("unsafe", first="t0"))
            self.assertIn(reply.status, (200, 503))
            await checks.settle(PEDIDOS, 10.0)
            self.assertEqual(cut_off, harness.transit.reachability.is_cut_off(PEDIDOS))
            published = (PEDIDOS,) if cut_off else ()
            self.assertEqual(published, harness.members.own_record.cut_off_from)
            self.assertEqual(not is_reached, bool(links.requests))
            harness.pool.close()

    async def test_without_other_entries_nothing_is_checked(self) -> None:
        harness = ForwarderHarness([DOWN] * 3)
        await harness.forward(harness.request("unsafe"))
        self.assertEqual({}, harness.transit.checks._checks)

    @parameterized.expand([("since the asker failed", 1.0, True), ("before", 0.0, False)])
    async def test_a_connection_counts_that_is_newer_than_the_failures(
        self, _name: str, failing_s: float, counts: bool
    ) -> None:
        harness = ForwarderHarness([DOWN])
        harness.transit.reachability.record_success(PEDIDOS, TargetId("t0"))
        answer = await harness.transit.checks.answer(ReachRequest((TargetId("t0"),), failing_s))
        self.assertEqual(counts, bool(answer.reached_ids))

    @parameterized.expand([("cut off", True), ("not cut off", False)])
    async def test_a_refused_connection_is_no_crash_while(self, _name: str, cut_off: bool) -> None:
        """Requests in flight would be quarantined by all entries after a few such targets."""

        async def end(received: ReceivedRequest) -> None:
            target.stop_listening()
            received.close()

        crashes: t.List[Crash] = []
        async with ScriptedTarget(end) as target:
            harness = ForwarderHarness([target.address])
            harness.crash_detector.on_crash = crashes.append
            harness.crash_detector.confirm_down = harness.transit.checks.confirm_down
            request = harness.request("unsafe")
            connection = await harness.pool.acquire(
                harness.targets.by_id[TargetId("t0")].target, False, 1.0
            )
            harness.pool.acquire = _returning(connection)  # type: ignore[method-assign]
            work = harness.forward(request)
            if cut_off:
                target_lost = harness.transit.connections.note_interrupted

                def lose(state: t.Any) -> None:
                    target_lost(state)
                    witness = Witness(EntryId("c0"), frozenset())
                    harness.transit.reachability.conclude_cut_off(PEDIDOS, witness)

                harness.transit.connections.note_interrupted = lose  # type: ignore[method-assign]
            await work
            await settle(harness.crash_detector)
            self.assertEqual(not cut_off, bool(crashes))
            harness.pool.close()


def _returning(connection: t.Any) -> t.Callable[..., t.Awaitable[t.Any]]:
    async def acquire(*_arguments: t.Any) -> t.Any:
        return connection

    return acquire
