"""Tests of requests that are forwarded while the entry is told to stop."""

import asyncio
import typing as t
import unittest
from unittest import mock

from parameterized import parameterized

from coralfall.forwarding.request import MemoryAccount, RequestBody
from coralfall.ids import EntryId, TargetId
from coralfall.placement.buckets import Limit, LimitKey, LimitKind
from coralfall.placement.dispatch import AttemptOutcome
from coralfall.traffic.dispatch_selection import DispatchSelector
from coralfall.traffic.in_flight_requests import InFlightRequests
from coralfall.traffic.reply import Reply
from coralfall.traffic.target_permits import TargetPermit
from coralfall.traffic.target_selection import LocalSelector
from tests.traffic.scripted_target import ReceivedRequest, Script, ScriptedTarget
from tests.traffic.test_forwarder import (
    ForwarderHarness,
    close,
    misdirected,
    never_answers,
    ok,
    server_error,
    shed,
)
from tests.traffic.test_target_selection import FakeClient

_GRACE_S = 2.0
#: Longer than what is left of the grace.
_LIMIT_S = 4.0
_PATIENCE_S = 10.0


def _stop(harness: ForwarderHarness) -> None:
    shutdown = harness.stop_admission.shutdown
    shutdown.grace_s = _GRACE_S
    shutdown.begin_now()


async def cooldown(received: ReceivedRequest) -> None:
    await received.answer(503, b"", x_not_executed="1", x_response_signature="", retry_after="9")


async def trickles(received: ReceivedRequest) -> None:
    await received.answer(body=b"", length=20)
    for _ in range(20):
        await asyncio.sleep(0.05)
        await received.send(b"x")


class RetryAtStopTest(unittest.TestCase):
    @parameterized.expand(
        [
            # what the first target does once the entry is told to stop; kind, status, reason
            ("421", misdirected, "unsafe", 503, "stopping"),
            ("rejection", shed, "unsafe", 503, "stopping"),
            ("rejection with a cooldown", cooldown, "unsafe", 503, "stopping"),
            ("rejection of what may be repeated", shed, "safe", 503, "stopping"),
            ("closed", close, "unsafe", 502, "broken"),
            ("closed, may be repeated", close, "safe", 502, "broken"),
            ("own failure", server_error, "unsafe", 500, "answered"),
            ("own failure, may be repeated", server_error, "safe", 500, "answered"),
        ]
    )
    def test_no_other_target_gets_a_request_that_may_outlast_the_entry(
        self, _name: str, script: Script, kind: str, status: int, reason: str
    ) -> None:
        """Guards against retries that are cut off, and against refusals of what may have run."""

        async def main() -> None:
            async def stop_and_answer(received: ReceivedRequest) -> None:
                _stop(harness)
                await script(received)

            async with ScriptedTarget(stop_and_answer) as first, ScriptedTarget(ok) as second:
                harness = ForwarderHarness([first.address, second.address])
                request = harness.request(kind, seconds=_LIMIT_S, first="t0")
                # The service has lately needed longer than what is left of the grace.
                harness.stop_admission.record(request.service, _GRACE_S)
                reply = await harness.forward(request)
                harness.pool.close()
                self.assertEqual((status, reason), (reply.status, reply.reason))
                self.assertEqual(status != 503, request.may_have_run())
                self.assertEqual([1, 0], [len(one.received) for one in (first, second)])
                for state in harness.targets.by_id.values():
                    self.assertEqual(0, state.in_flight)

        asyncio.run(main())

    def test_a_retry_that_fits_is_made(self) -> None:
        async def main() -> Reply:
            async def stop_and_shed(received: ReceivedRequest) -> None:
                _stop(harness)
                await shed(received)

            async with ScriptedTarget(stop_and_shed) as first, ScriptedTarget(ok) as second:
                harness = ForwarderHarness([first.address, second.address])
                reply = await harness.forward(harness.request("unsafe", seconds=1.0, first="t0"))
                harness.pool.close()
                return reply

        self.assertEqual(200, asyncio.run(main()).status)

    def test_a_kept_connection_that_is_stale_is_not_replaced(self) -> None:
        async def main() -> None:
            async def close_later(received: ReceivedRequest) -> None:
                if len(target.received) == 1:
                    await ok(received)
                    return
                _stop(harness)
                received.close()

            async with ScriptedTarget(close_later) as target:
                harness = ForwarderHarness([target.address])
                await harness.forward(harness.request("safe", 1))
                # The service has lately needed longer than what is left of the grace.
                request = harness.request("safe", 2, seconds=_LIMIT_S)
                harness.stop_admission.record(request.service, _GRACE_S)
                reply = await harness.forward(request)
                harness.pool.close()
                self.assertEqual((502, "stale"), (reply.status, reply.reason))
                self.assertEqual(2, len(target.received))

        asyncio.run(main())


class LastCheckTest(unittest.TestCase):
    @parameterized.expand([("at the last check", False), ("while it waits", True)])
    def test_what_a_refused_request_held_is_given_back(self, _name: str, waits: bool) -> None:
        """Guards against slots and tokens that are lost when a request is refused at a stop."""
        client = FakeClient("A100")
        permit = TargetPermit(
            LimitKey(kind=LimitKind.TARGET, name="t0"), Limit(1.0, 1.0), EntryId("e9")
        )

        async def main() -> None:
            async with ScriptedTarget(ok) as target:
                harness = ForwarderHarness([target.address])
                local = LocalSelector(harness.steering, harness.clock)
                harness.forwarder._selector = DispatchSelector(
                    local, client, harness.steering, harness.targets, harness.clock
                )
                request = harness.request("unsafe", seconds=_LIMIT_S)
                request.contended = True

                waiting = InFlightRequests(harness.stop_admission)

                async def stop_and_acquire(*_args: t.Any) -> TargetPermit:
                    _stop(harness)
                    if waits:
                        waiting.add(request)
                        waiting.end_at_stop()
                        await asyncio.Event().wait()
                    return permit

                permits = harness.forwarder._permits
                with (
                    mock.patch.object(permits, "acquire", stop_and_acquire),
                    mock.patch.object(permits, "return_token") as returned,
                ):
                    reply = await harness.forward(request)
                harness.pool.close()
                self.assertEqual((503, "stopping"), (reply.status, reply.reason))
                returned.assert_called_once_with(None if waits else permit)
                self.assertFalse(request.may_have_run())
                self.assertEqual(0, len(target.received))
                state = harness.targets.by_id[TargetId("t0")]
                self.assertEqual(0, state.in_flight)
                self.assertTrue(state.is_usable())

        asyncio.run(main())
        self.assertEqual([AttemptOutcome.CANCELLED], client.outcomes())


class InFlightAtStopTest(unittest.TestCase):
    def test_an_upload_goes_on_to_its_end(self) -> None:
        async def pieces() -> t.AsyncIterator[bytes]:
            for _ in range(20):
                await asyncio.sleep(0.05)
                yield b"x" * 1000

        async def main() -> None:
            async with ScriptedTarget(ok) as target:
                harness = ForwarderHarness([target.address])
                request = harness.request("upload", seconds=_LIMIT_S)
                request.body = RequestBody(pieces(), 20_000, MemoryAccount())
                await request.body.hold(1000)
                sending = asyncio.create_task(harness.forwarder.forward(request))
                await asyncio.sleep(0.2)
                _stop(harness)
                reply = await sending
                harness.pool.close()
                self.assertEqual(200, reply.status)
                self.assertEqual([20_000], [len(one.body) for one in target.received])

        asyncio.run(main())

    def test_a_slow_answer_is_awaited(self) -> None:
        async def main() -> None:
            async with ScriptedTarget(trickles) as target:
                harness = ForwarderHarness([target.address])
                sending = asyncio.create_task(harness.forward(harness.request("unsafe")))
                async with asyncio.timeout(_PATIENCE_S):
                    await target.request_received.wait()
                _stop(harness)
                reply = await sending
                harness.pool.close()
                self.assertEqual((200, b"x" * 20), (reply.status, reply.body))

        asyncio.run(main())

    @parameterized.expand([("safe",), ("unsafe",)])
    def test_a_target_held_silent_ends_no_request_in_flight(self, kind: str) -> None:
        """Guards against an answer of the entry's own in the place of a slow target's."""

        async def script(received: ReceivedRequest) -> None:
            if received.header("x-request-id") == "id1":
                await asyncio.sleep(0.8)
                await ok(received)
            else:
                await never_answers(received)

        async def main() -> None:
            async with ScriptedTarget(script) as target:
                harness = ForwarderHarness([target.address])
                slow = asyncio.create_task(harness.forward(harness.request(kind, 1)))
                async with asyncio.timeout(_PATIENCE_S):
                    await target.request_received.wait()
                _stop(harness)
                request = harness.request(kind, 2, seconds=0.2)
                self.assertEqual(504, (await harness.forward(request)).status)
                state = harness.targets.by_id[TargetId("t0")]
                harness.targets.mark_replaced(state)
                harness.pool.discard_connections(state.target)
                harness.pool.close_expired()
                self.assertEqual(200, (await slow).status)
                harness.pool.close()

        asyncio.run(main())
