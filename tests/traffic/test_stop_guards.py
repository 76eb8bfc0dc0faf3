"""Tests of parts of a stop that no other test of the forwarder fails without."""

import asyncio
import contextlib
import typing as t
import unittest
from unittest import mock

from parameterized import parameterized

from coralfall.placement.stop_admission import AcceptTimes
from tests.traffic.scripted_target import ReceivedRequest, ScriptedTarget
from tests.traffic.test_forwarder import ForwarderHarness, ok
from tests.traffic.transit_fleet import cut_fleet

_GRACE_S = 2.0
_LIMIT_S = 4.0


def _stop(harness: ForwarderHarness) -> None:
    harness.stop_admission.accept_times = AcceptTimes(_GRACE_S, _GRACE_S)
    shutdown = harness.stop_admission.shutdown
    shutdown.grace_s = _GRACE_S
    shutdown.begin_now()


class StopGuardTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_target_is_told_the_time_that_is_left_of_the_grace(self) -> None:
        """Guards against targets that go on working after requests were cut off."""
        async with ScriptedTarget(ok) as target:
            harness = ForwarderHarness([target.address])
            request = harness.request("unsafe", seconds=_LIMIT_S)
            harness.stop_admission.record(request.service, 0.01)
            _stop(harness)
            self.assertEqual(200, (await harness.forward(request)).status)
            told_ms = int(target.received[0].header("x-request-deadline") or 0)
            self.assertTrue(1000 < told_ms < _GRACE_S * 1000, told_ms)
            harness.pool.close()

    @parameterized.expand([("answered", 3.0), ("given up", 1.6)])
    async def test_a_service_that_needed_long_gets_no_request_with_less_time(
        self, _name: str, limit_s: float
    ) -> None:
        """Guards against a service whose long answers are not remembered."""

        async def answer_late(_received: ReceivedRequest) -> None:
            await asyncio.sleep(1.7)
            await ok(_received)

        async with ScriptedTarget(answer_late) as target:
            harness = ForwarderHarness([target.address])
            harness.stop_admission.record(harness.request("unsafe").service, 0.01)
            await harness.forward(harness.request("unsafe", 1, seconds=limit_s))
            _stop(harness)
            request = harness.request("unsafe", 2, seconds=_LIMIT_S)
            self.assertIsNone(
                harness.stop_admission.target_deadline(request.service, request.deadline, False)
            )
            harness.pool.close()

    async def test_a_carrier_that_is_told_to_stop_while_it_connects_sends_nothing(self) -> None:
        """Guards against a carrier that decides on a stop before it connects, and not after."""
        async with cut_fleet() as fleet:
            with contextlib.ExitStack() as stack:
                for carrier in fleet.carriers:
                    stack.enter_context(_stop_at_connect(carrier.harness))
                request = fleet.first.request("unsafe", seconds=_LIMIT_S)
                reply = await fleet.first.forward(request)
            self.assertEqual(503, reply.status)
            self.assertFalse(request.may_have_run())
            self.assertEqual(0, fleet.arrivals())


def _stop_at_connect(harness: ForwarderHarness) -> t.Any:
    acquire = harness.pool.acquire

    async def stop_and_acquire(*arguments: t.Any, **options: t.Any) -> t.Any:
        _stop(harness)
        return await acquire(*arguments, **options)

    return mock.patch.object(harness.pool, "acquire", stop_and_acquire)
