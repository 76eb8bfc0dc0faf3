"""Tests of the entry that carries requests for others."""

import asyncio
import typing as t
import unittest

from coralfall import defaults
from coralfall.exceptions import PeerFrameError
from coralfall.ids import TargetId
from coralfall.placement.lifetime import lifetime_of
from coralfall.platform.names import HEADERS
from coralfall.traffic.messages import (
    TransitCancel,
    TransitOutcome,
    TransitReply,
    TransitRequest,
)
from coralfall.traffic.target_connections import NO_PATH
from coralfall.traffic.transit_server import TransitServer
from tests.traffic.scripted_target import ReceivedRequest, Script, ScriptedTarget
from tests.traffic.test_forwarder import ForwarderHarness, never_answers, ok

HEAD = (
    b"POST /p/1 HTTP/1.1\r\nhost: a\r\nx-request-id: id1\r\nx-request-deadline: 90000\r\n"
    b"x-expected-instance: t0\r\ncontent-length: 0\r\n\r\n"
)
_PATIENCE_S = 30.0


class ReplyChannel:
    """Keeps the replies; those with long bodies fit in no message."""

    def __init__(self) -> None:
        self.replies: "asyncio.Queue[TransitReply]" = asyncio.Queue()

    async def send(self, reply: TransitReply) -> None:
        if len(reply.body) > defaults.MAX_FRAME_BYTES:
            raise PeerFrameError("too long")
        self.replies.put_nowait(reply)

    async def reply(self) -> TransitReply:
        async with asyncio.timeout(_PATIENCE_S):
            return await self.replies.get()


class TransitServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.script: Script = ok
        self.target = ScriptedTarget(lambda received: self.script(received))
        await self.enterAsyncContext(self.target)
        self.harness = ForwarderHarness([self.target.address])
        self.addCleanup(self.harness.pool.close)
        self.state = self.harness.targets.by_id[TargetId("t0")]
        self.channel = ReplyChannel()
        self.server: TransitServer = self.harness.transit.build_server(
            HEADERS,
            self.harness.forwarder.response_check,
            self.harness.crash_detector,
            self.harness.stop_admission,
        )

    def start(self, time_left_ms: int = 60_000) -> None:
        target = lifetime_of(self.state.target)
        request = TransitRequest(1, target, HEAD, b"", time_left_ms)
        self.server.start_request(t.cast(t.Any, self.channel), request)

    async def test_the_target_gets_the_time_that_is_left(self) -> None:
        self.start(time_left_ms=5000)
        self.assertEqual(TransitOutcome.ANSWERED, (await self.channel.reply()).outcome)
        (received,) = self.target.received
        self.assertLessEqual(int(received.header("x-request-deadline") or 0), 5000)

    async def test_a_cancel_or_the_end_of_the_stream_ends_the_work(self) -> None:
        self.script = never_answers
        for end in (
            lambda: self.server.cancel(t.cast(t.Any, self.channel), TransitCancel(number=1)),
            lambda: self.server.drop(t.cast(t.Any, self.channel)),
        ):
            self.target.request_received.clear()
            self.target.caller_disconnected.clear()
            self.start()
            async with asyncio.timeout(_PATIENCE_S):
                await self.target.request_received.wait()
                end()
                await self.target.caller_disconnected.wait()
            self.assertEqual((0, 0), (self.server.load, self.server.bytes_held))

    async def test_what_the_target_reports_of_itself_is_noted_here_too(self) -> None:
        async def leave(received: ReceivedRequest) -> None:
            await received.answer(server_leaving="1")

        self.script = leave
        self.start()
        await self.channel.reply()
        self.assertTrue(self.state.leaving)

    async def test_a_stop_waits_for_those_in_flight_and_takes_no_more(self) -> None:
        answer = asyncio.Event()

        async def wait(received: ReceivedRequest) -> None:
            await answer.wait()
            await received.answer()

        self.script = wait
        self.start()
        async with asyncio.timeout(_PATIENCE_S):
            await self.target.request_received.wait()
        stop = asyncio.create_task(self.server.stop())
        await asyncio.sleep(0)
        self.start()
        reply = await self.channel.reply()
        self.assertEqual((TransitOutcome.NOT_SENT, NO_PATH), (reply.outcome, reply.reason))
        self.assertFalse(stop.done())
        answer.set()
        self.assertEqual(TransitOutcome.ANSWERED, (await self.channel.reply()).outcome)
        await stop
        self.assertEqual(1, len(self.target.received))

    async def test_an_answer_that_fits_in_no_message_is_of_unknown_outcome(self) -> None:
        async def answer(received: ReceivedRequest) -> None:
            await received.answer(body=bytes(defaults.MAX_FRAME_BYTES + 1))

        self.script = answer
        self.start()
        reply = await self.channel.reply()
        self.assertEqual((TransitOutcome.UNKNOWN, "too-long"), (reply.outcome, reply.reason))
        await asyncio.sleep(0)
        self.assertEqual(0, self.server.bytes_held)
