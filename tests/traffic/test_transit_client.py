"""Tests of what callers of an entry that is cut off get, and of the entries that it chooses."""

import asyncio
import types
import typing as t
import unittest
from unittest import mock

from parameterized import parameterized

from coralfall import defaults
from coralfall.ids import EntryId, TargetId
from coralfall.placement.reachability import Witness
from coralfall.traffic.reply import Reply
from coralfall.traffic.transit_client import TransitClient
from tests.traffic.makers import NORTE, PEDIDOS, make_record
from tests.traffic.scripted_target import ReceivedRequest
from tests.traffic.test_forwarder import ForwarderHarness, never_answers, reset, shed
from tests.traffic.transit_fleet import cut_fleet


class TransitClientTest(unittest.IsolatedAsyncioTestCase):
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

    async def test_an_entry_that_carries_a_slow_request_is_not_given_up(self) -> None:
        """Guards against a target's silence that is taken for the carrying entry's."""

        async def answer_late(received: ReceivedRequest) -> None:
            await asyncio.sleep(2.0)
            await received.answer()

        async with cut_fleet(answer_late) as fleet:
            children = [fleet.first.transit.client, *[one.server for one in fleet.carriers]]
            tasks = [asyncio.create_task(child.run()) for child in children]
            work = asyncio.create_task(
                fleet.first.forward(fleet.first.request("unsafe", seconds=5.0))
            )
            while not fleet.arrivals():  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            # The other entries hold the one that carries it dead.
            with mock.patch.object(fleet.first.members, "alive_records", return_value=[]):
                reply = await work
            for task in tasks:
                task.cancel()
            self.assertEqual((200, b"whole"), (reply.status, reply.body))

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

    @parameterized.expand(
        [
            ("another one answers", {"c0": (1, 9.0), "c1": (3, 0.0)}, (), {"c1"}),
            ("all are silent", {"c0": (1, 9.0), "c1": (1, 9.0)}, (), {"c0", "c1"}),
            ("the other one was refused by", {"c0": (1, 9.0)}, ("c1",), {"c0"}),
        ]
    )
    def test_an_entry_without_answers_for_a_while_is_the_last_choice(
        self,
        _name: str,
        streams: t.Dict[str, t.Tuple[int, float]],
        avoided: t.Sequence[str],
        chosen: t.Set[str],
    ) -> None:
        harness = ForwarderHarness([])
        harness.members.merge_records([make_record(one, transit=True) for one in ("c0", "c1")])
        client: TransitClient = harness.transit.client
        for name, (load, silent_s) in streams.items():
            stream = types.SimpleNamespace(load=load, silent_s=silent_s)
            client._streams_by_id[EntryId(name)] = t.cast(t.Any, stream)
        for name in avoided:
            client.avoid(EntryId(name), PEDIDOS, 60.0)
        records = [client._choose(PEDIDOS, ()) for _ in range(20)]
        self.assertEqual(chosen, {record.entry_id for record in records if record is not None})

    async def test_busy_entries_are_chosen_again_soon(self) -> None:
        async with cut_fleet() as fleet:
            with mock.patch.object(defaults, "MAX_TRANSITS", 0):
                refused = await fleet.first.forward(fleet.first.request("unsafe"))
            self.assertEqual(503, refused.status)
            await asyncio.sleep(defaults.TRANSIT_BUSY_S * 1.5)
            served = await fleet.first.forward(fleet.first.request("unsafe", 2))
            self.assertEqual(200, served.status)

    async def test_a_caller_that_leaves_ends_the_work_at_the_target(self) -> None:
        async with cut_fleet(never_answers) as fleet:
            work = asyncio.create_task(
                fleet.first.forward(fleet.first.request("safe", first="t0", seconds=90.0))
            )
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
