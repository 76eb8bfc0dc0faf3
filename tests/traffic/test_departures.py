"""Tests of targets that announce their departure in an answer, whatever their rows say."""

import asyncio
import typing as t
import unittest

import msgspec
from parameterized import parameterized

from coralfall import defaults
from coralfall.ids import TargetId
from coralfall.placement.target_reports import TargetReport
from coralfall.process.clock import ManualClock
from coralfall.traffic.messages import GossipMessage
from coralfall.traffic.model import Target
from tests.traffic.entry_fixture import EntryFixture
from tests.traffic.makers import PEDIDOS, SteeringFixture, make_route, make_target
from tests.traffic.scripted_target import ReceivedRequest, Script, ScriptedTarget
from tests.traffic.test_forwarder import ForwarderHarness, ok

_LEAVES = TargetReport(leaving=True)


def announce_departure(steered: SteeringFixture, target: Target) -> None:
    steered.targets.reports.record(steered.targets.by_id[target.target_id], _LEAVES, 0.0)


class RowsTest(unittest.TestCase):
    """A target that announced its departure, and another one."""

    def setUp(self) -> None:
        self.target = make_target(1, born=1000)
        self.other = make_target(2, born=1000)
        self.steered = SteeringFixture(self.target, self.other)
        announce_departure(self.steered, self.target)

    def chosen(self) -> t.Set[str]:
        """Ids of the targets that are chosen for some objects."""
        ids = set()
        for number in range(40):
            reservation = self.steered.steering.choose(make_route(), PEDIDOS, b"%d" % number, ())
            reservation.release()
            ids.add(reservation.state.target.target_id)
        return ids

    @parameterized.expand(
        [
            ("its row stays as it was", [{}], False),
            ("its row is written again", [{"cold_s": 1.0}], False),
            ("its row vanishes and returns", [None, {}], False),
            ("its row says so, and then not", [{"leaving": True}, {}], False),
            ("a new lifetime under its id", [{"born": 2000, "address": "127.0.0.1:7"}], True),
            ("a new lifetime under its id and at its address", [{"born": 2000}], True),
            ("a new lifetime, and then its old row", [{"born": 2000}, {}], False),
            ("a new lifetime at its address", [{"target_id": TargetId("t3")}], True),
        ]
    )
    def test_after_its_row_changed(
        self, _name: str, rows: t.Sequence[t.Optional[t.Dict[str, t.Any]]], used: bool
    ) -> None:
        self.assertEqual({"t2"}, self.chosen())
        for changes in rows:
            row = [] if changes is None else [msgspec.structs.replace(self.target, **changes)]
            self.steered.set_targets(self.other, *row)
            self.steered.clock.advance(1.0)
            self.steered.targets.reports.tick(self.steered.targets.by_id)
        self.assertEqual(used, bool(self.chosen() - {"t2"}))

    def test_it_counts_as_leaving(self) -> None:
        counts = self.steered.targets.count_by_state()
        self.assertEqual((1, 1), (counts["leaving"], counts["usable"]))

    def test_its_missing_row_is_not_kept_in_an_outage(self) -> None:
        known = EntryFixture()
        known.learn_targets(1, self.target, self.other)
        announce_departure(known.steered, self.target)
        known.clock.advance(20.0)
        known.learn_targets(2, self.other)
        self.assertEqual({"t2"}, set(known.steered.targets.by_id))

    def test_a_leaving_target_that_shed_a_request_is_not_retried(self) -> None:
        shed = self.steered.targets.by_id[self.target.target_id]
        shed.record_success()
        reservation = self.steered.steering.choose(make_route(), PEDIDOS, b"x", ("t1",), again=shed)
        self.assertEqual("t2", reservation.state.target.target_id)


async def leaves(received: ReceivedRequest) -> None:
    await received.answer(server_leaving="1")


async def leaves_and_sheds(received: ReceivedRequest) -> None:
    await received.answer(503, b"", x_not_executed="1", x_response_signature="", server_leaving="1")


async def leaves_and_fails(received: ReceivedRequest) -> None:
    await received.answer(500, b"failed", server_leaving="1")


async def leaves_unsigned(received: ReceivedRequest) -> None:
    await received.answer(x_response_signature="", server_leaving="1")


async def leaves_for_another(received: ReceivedRequest) -> None:
    await received.answer(x_request_id="somebody-else", server_leaving="1")


async def leaves_within_its_answer(received: ReceivedRequest) -> None:
    await received.answer(length=100, server_leaving="1")
    received.close()


async def another_leaves(received: ReceivedRequest) -> None:
    await received.answer(421, b"", x_response_signature="", server_leaving="1")


class AnswersTest(unittest.TestCase):
    @parameterized.expand(
        [
            (leaves, True),
            (leaves_and_sheds, True),
            (leaves_and_fails, True),
            (leaves_unsigned, True),
            (leaves_for_another, True),
            (leaves_within_its_answer, True),
            (another_leaves, False),
            (ok, False),
        ]
    )
    def test_whether_an_answer_announces_a_departure(self, script: Script, leaving: bool) -> None:
        async def main() -> bool:
            async with ScriptedTarget(script) as target:
                harness = ForwarderHarness([target.address])
                state = harness.targets.by_id[TargetId("t0")]
                await harness.forward(harness.request("unsafe"))
                harness.pool.close()
                return state.leaving

        self.assertEqual(leaving, asyncio.run(main()))


class GossipTest(unittest.TestCase):
    """Entries that replicate departures by gossip messages."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.fleet = [EntryFixture(f"e{number}", self.clock) for number in range(3)]
        self.target = make_target(born=1000)
        self.fleet[0].reports.departures.record(self.target)

    def ask(self, asker: int, asked: int) -> None:
        """One exchange of encoded gossip messages."""
        question = self.fleet[asker].exchange.build_update()
        answer = self.fleet[asked].exchange.build_reply(_sent(question))
        self.fleet[asker].exchange.merge(_sent(answer), self.clock.monotonic())

    def tick(self, *targets: Target) -> None:
        steered = SteeringFixture(*targets)
        for one in self.fleet:
            one.reports.tick(steered.targets.by_id)

    def known(self) -> t.List[bool]:
        return [one.reports.departures.includes(self.target) for one in self.fleet]

    def checksums(self) -> t.Set[int]:
        return {one.reports.departures.checksum() for one in self.fleet}

    def test_departures_are_gossiped(self) -> None:
        self.ask(1, 0)
        self.ask(2, 1)
        self.assertEqual([True] * 3, self.known())
        self.assertEqual(1, len(self.checksums()))

    def test_an_entry_that_missed_the_updates_gets_the_snapshot(self) -> None:
        self.clock.advance(defaults.GOSSIP_UPDATE_TTL_S - 1.0)
        self.tick(self.target)
        self.clock.advance(2.0)
        self.tick(self.target)
        self.assertEqual((), self.fleet[0].reports.departures.recent_updates())
        self.ask(1, 0)
        self.assertEqual([True, True, False], self.known())

    def test_a_departure_without_a_row_is_not_gossiped(self) -> None:
        self.clock.advance(defaults.GOSSIP_UPDATE_TTL_S + 1.0)
        self.tick()
        self.assertEqual({0}, self.checksums())
        self.ask(1, 0)
        self.assertEqual([True, False, False], self.known())

    def test_a_new_lifetime_under_the_id_is_not_leaving(self) -> None:
        self.ask(1, 0)
        anew = make_target(born=2000)
        self.assertFalse(self.fleet[1].reports.departures.includes(anew))

    def test_messages_of_the_previous_version_are_decoded(self) -> None:
        whole = msgspec.msgpack.decode(
            msgspec.msgpack.encode(self.fleet[0].exchange.build_update())
        )
        older = whole[: 1 + GossipMessage.__struct_fields__.index("departures")]
        decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(older), type=GossipMessage)
        self.assertEqual(((), 0), (decoded.departures, decoded.departures_sum))


def _sent(news: GossipMessage) -> GossipMessage:
    return msgspec.msgpack.decode(msgspec.msgpack.encode(news), type=GossipMessage)
