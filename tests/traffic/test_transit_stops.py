"""Tests of requests that are carried by another entry while one of the two is told to stop."""

import asyncio
import random
import unittest

from parameterized import parameterized

from coralfall.placement.stop_admission import AcceptTimes
from coralfall.process.clock import SystemClock
from coralfall.process.supervisor import Supervisor
from coralfall.traffic.target_connections import NO_PATH
from tests.traffic.scripted_target import ReceivedRequest
from tests.traffic.test_forwarder import ok
from tests.traffic.transit_fleet import Carrier, CutFleet, cut_fleet

_PATIENCE_S = 20.0
#: Longer than what is left of a grace of 2 s.
_LIMIT_S = 4.0
_GRACE_S = 2.0


def _stop(carrier: Carrier, grace_s: float = _GRACE_S) -> None:
    shutdown = carrier.harness.stop_admission.shutdown
    shutdown.grace_s = grace_s
    shutdown.begin_now()


async def answer_later(received: ReceivedRequest) -> None:
    await asyncio.sleep(0.5)
    await ok(received)


class TransitStopTest(unittest.IsolatedAsyncioTestCase):
    @parameterized.expand([("safe",), ("unsafe",)])
    async def test_a_stopping_carrier_refuses_and_another_one_carries(self, kind: str) -> None:
        """Guards against requests that a stopping entry takes though they may outlast it."""
        async with cut_fleet() as fleet:
            _stop(fleet.carriers[0])
            refused = 0
            for number in range(8):
                fleet.first.transit.client._avoided_until.clear()
                request = fleet.first.request(kind, number, seconds=_LIMIT_S)
                reply = await fleet.first.forward(request)
                self.assertEqual(200, reply.status)
                self.assertEqual("c1", request.attempts[-1].via)
                for attempt in request.attempts[:-1]:
                    refused += 1
                    found = (attempt.via, attempt.result, attempt.sent, attempt.not_run)
                    self.assertEqual(("c0", NO_PATH, False, True), found)
            # Two entries drawn at random: the chance that none of 8 is refused is 1 in 256.
            self.assertTrue(refused)
            self.assertEqual(8, fleet.arrivals())

    @parameterized.expand([("safe",), ("unsafe",)])
    async def test_refused_as_not_run_if_all_carriers_stop(self, kind: str) -> None:
        async with cut_fleet() as fleet:
            for carrier in fleet.carriers:
                _stop(carrier)
            request = fleet.first.request(kind, seconds=_LIMIT_S)
            reply = await fleet.first.forward(request)
            self.assertEqual((503, NO_PATH), (reply.status, reply.reason))
            self.assertFalse(request.may_have_run())
            self.assertEqual(0, fleet.arrivals())

    @parameterized.expand([("safe",), ("unsafe",)])
    async def test_a_stopping_entry_sends_through_another_only_what_it_can_await(
        self, kind: str
    ) -> None:
        """Commands were carried with a time limit that reached past the end of this entry."""
        async with cut_fleet() as fleet:
            shutdown = fleet.first.stop_admission.shutdown
            shutdown.grace_s = _GRACE_S
            # Even if the service has lately needed so little that less would be given on an own
            # connection: the other entry counts all of it.
            fleet.first.stop_admission.accept_times = AcceptTimes(1.0, 1.0)
            fleet.first.stop_admission.record(fleet.first.request(kind).service, 0.01)
            shutdown.begin_now()
            reply = await fleet.first.forward(fleet.first.request(kind, 1, seconds=_LIMIT_S))
            self.assertEqual((503, "stopping"), (reply.status, reply.reason))
            self.assertEqual([], fleet.carried())
            reply = await fleet.first.forward(fleet.first.request(kind, 2, seconds=1.0))
            self.assertEqual(200, reply.status)

    async def test_what_a_carrier_has_in_hand_is_answered_before_its_streams_close(self) -> None:
        """Guards against a peer server that ends before the requests that came through it."""
        async with cut_fleet(answer_later) as fleet:
            trees = [await self._supervise(carrier) for carrier in fleet.carriers]
            sending = [
                asyncio.create_task(fleet.first.forward(fleet.first.request("unsafe", n)))
                for n in range(6)
            ]
            await self._wait_for_arrivals(fleet, 6)
            for carrier, tree in zip(fleet.carriers, trees, strict=True):
                _stop(carrier)
                await tree.stop()
            replies = await asyncio.gather(*sending)
            self.assertEqual([200] * 6, [reply.status for reply in replies])
            self.assertEqual(6, fleet.arrivals())

    async def _supervise(self, carrier: Carrier) -> Supervisor:
        children = [carrier, carrier.server]
        shutdown = carrier.harness.stop_admission.shutdown
        # The listener is open already.
        carrier._close_listener()
        tree = Supervisor("carrier", children, SystemClock(), random.Random(1), shutdown=shutdown)
        await tree.start()
        running = asyncio.create_task(tree.run())
        self.addCleanup(running.cancel)
        return tree

    async def _wait_for_arrivals(self, fleet: CutFleet, count: int) -> None:
        async with asyncio.timeout(_PATIENCE_S):
            while fleet.arrivals() < count:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
