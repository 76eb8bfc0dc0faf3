"""Tests of requests that another entry carries for one that is cut off from the targets."""

import asyncio
import contextlib
import typing as t
import unittest
from unittest import mock

from parameterized import parameterized

from coralfall import defaults
from coralfall.ids import EntryId, EntryState, TargetId
from coralfall.peering.channel import Channel, Traffic
from coralfall.peering.messages import AnyMessage, Hello
from coralfall.peering.peer_server import PeerListener
from coralfall.placement.reachability import Witness
from coralfall.platform.names import HEADERS
from coralfall.traffic.crash_detector import Crash
from coralfall.traffic.messages import TransitCancel, TransitRequest
from coralfall.traffic.reply import Reply
from tests.traffic.makers import NORTE, PEDIDOS, make_record
from tests.traffic.scripted_target import ReceivedRequest, Script, ScriptedTarget
from tests.traffic.test_forwarder import ForwarderHarness, never_answers, ok, reset, shed


class Carrier(PeerListener):
    """The peer server of an entry that carries requests."""

    def __init__(self, addresses: t.Sequence[str]) -> None:
        self.harness = ForwarderHarness(addresses)
        parts = self.harness.transit
        self.server = parts.build_server(
            HEADERS, self.harness.forwarder.response_check, self.harness.crash_detector
        )
        self.received: t.List[TransitRequest] = []
        access = parts.client
        super().__init__("127.0.0.1:0", access._fleet_key, access._hello, Traffic(), mock.Mock())

    def take(self, channel: Channel, message: AnyMessage) -> bool:
        if isinstance(message, TransitCancel):
            self.server.cancel(channel, message)
            return True
        assert isinstance(message, TransitRequest)
        self.received.append(message)
        self.server.start_request(channel, message)
        return True

    def drop(self, channel: Channel) -> None:
        self.server.drop(channel)

    def answer(self, peer: Hello, message: AnyMessage) -> None:
        raise AssertionError(f"unexpected {message}")

    def lose(self) -> None:
        """Ends as a process does that is killed."""
        self._close_listener()
        for channel in list(self._channels):
            channel.abort()


class CutFleet:
    """An entry that is cut off, two that carry its requests, and two targets."""

    def __init__(self, targets: t.Sequence[ScriptedTarget]) -> None:
        self.targets = targets
        addresses = [target.address for target in targets]
        self.first = ForwarderHarness(addresses)
        self.carriers = [Carrier(addresses) for _ in range(2)]
        self.crashes: t.List[Crash] = []
        self.first.crash_detector.on_crash = self.crashes.append

    async def start(self, transit: bool = True) -> None:
        records = []
        for number, carrier in enumerate(self.carriers):
            await carrier.start()
            # Entries are expected under the name that they greet with.
            address = carrier.bound_address
            records.append(make_record(f"c{number}", peer_address=address, transit=transit))
        self.first.members.merge_records(records)
        witness = Witness(records[0].entry_id, frozenset())
        self.first.transit.reachability.conclude_cut_off(PEDIDOS, witness)

    async def close(self) -> None:
        for stream in self.first.transit.client._streams_by_id.values():
            stream.close()
        for carrier in self.carriers:
            carrier.lose()
            carrier.harness.pool.close()
        self.first.pool.close()

    def arrivals(self) -> int:
        return sum(len(target.received) for target in self.targets)

    def carried(self) -> t.List[TransitRequest]:
        return [one for carrier in self.carriers for one in carrier.received]


@contextlib.asynccontextmanager
async def cut_fleet(script: Script = ok, transit: bool = True) -> t.AsyncIterator[CutFleet]:
    async with ScriptedTarget(script) as first, ScriptedTarget(script) as second:
        fleet = CutFleet((first, second))
        await fleet.start(transit)
        try:
            yield fleet
        finally:
            await fleet.close()


class AskedEntriesTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("those that serve", [{}, {"state": EntryState.LEAVING}], {"c0"}),
            ("those that leave if there is no other", [{"state": EntryState.LEAVING}], {"c0"}),
            ("none that is cut off", [{"cut_off_from": (PEDIDOS,)}], set()),
            ("no older build", [{"transit": False}], set()),
        ]
    )
    def test_entries_that_are_asked_about_targets(
        self, _name: str, records: t.List[t.Dict[str, t.Any]], asked: t.Set[str]
    ) -> None:
        harness = ForwarderHarness([])
        harness.members.merge_records(
            [
                make_record(f"c{number}", **{"transit": True, **fields})
                for number, fields in enumerate(records)
            ]
        )
        found = harness.transit.checks._entries_to_ask(PEDIDOS)
        self.assertEqual(asked, {record.entry_id for record in found})


class TransitTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_answer_is_that_of_the_target(self) -> None:
        async with cut_fleet() as fleet:
            for kind in ("safe", "unsafe"):
                request = fleet.first.request(kind, body=b"some" if kind == "unsafe" else None)
                reply = await fleet.first.forward(request)
                self.assertEqual((200, b"whole"), (reply.status, reply.body))
                self.assertIsNotNone(request.attempts[0].via)
            received = [one for target in fleet.targets for one in target.received]
            self.assertEqual([b"", b"some"], [one.body for one in received])
            self.assertEqual(0, fleet.first.pool.opened_count)

    async def test_the_time_limit_and_the_target_are_those_of_the_first_entry(self) -> None:
        async with cut_fleet() as fleet:
            await fleet.first.forward(fleet.first.request("safe", first="t1", seconds=1.0))
            (received,) = fleet.targets[1].received
            self.assertEqual("t1", received.header("x-expected-instance"))
            self.assertLessEqual(int(received.header("x-request-deadline") or 0), 1000)
            self.assertEqual(1, received.head.count(b"x-request-deadline"))

    @parameterized.expand(
        [
            # what the carrying entries find; status, reason
            ("no older build carries any", {"transit": False}, 503, "no-path"),
            ("all are busy", {"busy": True}, 503, "no-path"),
            ("all are cut off as well", {"cut": True}, 503, "no-path"),
            ("the target's zone is evacuated there", {"evacuated": True}, 503, "no-target"),
        ]
    )
    async def test_what_nobody_carries_is_refused_and_has_not_run(
        self, _name: str, trouble: t.Dict[str, bool], status: int, reason: str
    ) -> None:
        async with cut_fleet(transit=trouble.get("transit", True)) as fleet:
            most = 0 if trouble.get("busy") else defaults.MAX_TRANSITS
            for carrier in fleet.carriers:
                if trouble.get("evacuated"):
                    carrier.harness.targets.evacuate(frozenset((NORTE,)))
                if trouble.get("cut"):
                    witness = Witness(make_record("w").entry_id, frozenset())
                    carrier.harness.transit.reachability.conclude_cut_off(PEDIDOS, witness)
            if trouble.get("cut"):
                for target in fleet.targets:
                    target.stop_listening()
            with mock.patch.object(defaults, "MAX_TRANSITS", most):
                reply = await fleet.first.forward(fleet.first.request("unsafe"))
            self.assertEqual((status, reason), (reply.status, reply.reason))
            self.assertIn(b"retry-after", dict(reply.headers))
            self.assertEqual(0, fleet.arrivals())
            for state in fleet.first.targets.by_id.values():
                self.assertTrue(state.is_usable() and not state.is_cold())

    @parameterized.expand([("safe", 200, 2), ("unsafe", 502, 1)])
    async def test_an_entry_that_is_lost_with_a_request(
        self, kind: str, status: int, arrivals: int
    ) -> None:
        async def lose_first(received: ReceivedRequest) -> None:
            if fleet.arrivals() > 1:
                await received.answer()
                return
            for carrier in fleet.carriers:
                if carrier.received:
                    carrier.lose()
            await asyncio.sleep(5.0)

        async with cut_fleet(lose_first) as fleet:
            reply = await fleet.first.forward(fleet.first.request(kind))
            self.assertEqual((status, arrivals), (reply.status, fleet.arrivals()))
            self.assertEqual(arrivals, len(fleet.carried()))
            for state in fleet.first.targets.by_id.values():
                self.assertTrue(state.is_usable())

    async def test_an_entry_without_answers_for_a_while_is_the_last_choice(self) -> None:
        async def slow(received: ReceivedRequest) -> None:
            if len(fleet.targets[0].received) > 1:
                await received.answer()
            else:
                await asyncio.sleep(5.0)

        async with cut_fleet(slow) as fleet:
            first = fleet.first.request("safe", first="t0", seconds=5.0)
            work = asyncio.create_task(fleet.first.forward(first))
            await fleet.targets[0].request_received.wait()
            with mock.patch.object(defaults, "TRANSIT_SILENT_S", 0.0):
                for is_alone in (False, True):
                    if is_alone:
                        other = {EntryId("c0"), EntryId("c1")} - {first.attempts[0].via}
                        fleet.first.transit.client.avoid(other.pop(), PEDIDOS, 60.0)
                    request = fleet.first.request("safe", first="t0")
                    self.assertEqual(200, (await fleet.first.forward(request)).status)
                    same = request.attempts[0].via == first.attempts[0].via
                    self.assertEqual(is_alone, same)
            work.cancel()

    async def test_a_caller_that_leaves_ends_the_work_at_the_target(self) -> None:
        async with cut_fleet(never_answers) as fleet:
            work = asyncio.create_task(fleet.first.forward(fleet.first.request("safe", first="t0")))
            await fleet.targets[0].request_received.wait()
            work.cancel()
            async with asyncio.timeout(30.0):
                await fleet.targets[0].caller_disconnected.wait()

    async def test_what_the_target_rejects_goes_to_another_one(self) -> None:
        async with cut_fleet(shed) as fleet:
            request = fleet.first.request("unsafe")
            reply = await fleet.first.forward(request)
            self.assertEqual((503, "shed-503"), (reply.status, reply.reason))
            self.assertEqual(2, fleet.arrivals())
            self.assertEqual(2, request.sent_count())

    async def test_a_target_that_is_down_is_ejected_by_what_the_carrying_entry_found(self) -> None:
        async with cut_fleet() as fleet:
            fleet.targets[0].stop_listening()
            request = fleet.first.request("unsafe", first="t0")
            reply = await fleet.first.forward(request)
            self.assertEqual(200, reply.status)
            self.assertEqual(1, request.sent_count())
            self.assertFalse(fleet.first.targets.by_id[TargetId("t0")].is_usable())

    async def test_a_target_known_as_replaced_there_is_used_no_more(self) -> None:
        async with cut_fleet() as fleet:
            for carrier in fleet.carriers:
                targets = carrier.harness.targets
                targets.mark_replaced(targets.by_id[TargetId("t0")])
            request = fleet.first.request("unsafe", first="t0")
            reply = await fleet.first.forward(request)
            self.assertEqual(200, reply.status)
            self.assertTrue(fleet.first.targets.by_id[TargetId("t0")].has_ended)

    async def test_a_cooldown_of_the_carrying_entries_tells_when_to_retry(self) -> None:
        async with cut_fleet() as fleet:
            for carrier in fleet.carriers:
                for state in carrier.harness.targets.by_id.values():
                    carrier.harness.targets.reports.cooldowns.record(state.target, 2.0)
            reply = await fleet.first.forward(fleet.first.request("unsafe"))
            self.assertEqual((503, "cooldown"), (reply.status, reply.reason))
            self.assertGreater(float(dict(reply.headers)[b"retry-after"]), 1.0)
            self.assertEqual(0, fleet.arrivals())

    async def test_a_request_that_ends_its_target_becomes_a_suspect(self) -> None:
        async def end(received: ReceivedRequest) -> None:
            for target in fleet.targets:
                if received in target.received:
                    target.stop_listening()
            await reset(received)

        async with cut_fleet(end) as fleet:
            reply: Reply = await fleet.first.forward(fleet.first.request("unsafe"))
            self.assertEqual(502, reply.status)
            self.assertEqual(1, len(fleet.crashes))
            self.assertEqual(1, len(fleet.crashes[0].requests))

    async def test_a_body_that_is_not_held_whole_is_not_carried(self) -> None:
        async with cut_fleet() as fleet:
            request = fleet.first.request("upload", body=b"some")
            reply = await fleet.first.forwarder.forward(request)
            self.assertEqual((503, "transit-body"), (reply.status, reply.reason))
            self.assertEqual(0, fleet.arrivals())
