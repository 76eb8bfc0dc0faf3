"""Tests of several calls at a time on one stream."""

import asyncio
import typing as t
import unittest

from coralfall.exceptions import PeerClosedError, PeerError
from coralfall.peering.messages import AnyMessage, LoanReturn
from coralfall.peering.peer_calls import CallStream
from coralfall.process.clock import ManualClock
from coralfall.traffic.messages import TransitCancel, TransitOutcome, TransitReply


class HeldChannel:
    """A channel whose other side is played by the test."""

    def __init__(self) -> None:
        self.sent: t.List[AnyMessage] = []
        self.closed = False
        self._received: "asyncio.Queue[t.Union[AnyMessage, PeerError]]" = asyncio.Queue()

    async def send(self, message: AnyMessage) -> None:
        self.sent.append(message)

    async def receive(self) -> AnyMessage:
        message = await self._received.get()
        if isinstance(message, PeerError):
            raise message
        return message

    def abort(self) -> None:
        self.closed = True

    def arrive(self, message: t.Union[AnyMessage, PeerError]) -> None:
        self._received.put_nowait(message)

    def reply(self, number: int) -> None:
        self.arrive(TransitReply(number, TransitOutcome.ANSWERED, body=str(number).encode()))


class CallStreamTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock(10.0)
        self.channel = HeldChannel()
        self.stream = CallStream(t.cast(t.Any, self.channel), TransitReply, self.clock)

    async def call(self) -> "asyncio.Task[TransitReply]":
        """Starts a call, and returns once it was sent."""
        call = self.stream.call(
            lambda number: t.cast(AnyMessage, number), lambda number: TransitCancel(number=number)
        )
        task = asyncio.create_task(call)
        await asyncio.sleep(0)
        return task

    async def test_each_call_gets_its_own_answer_in_any_order(self) -> None:
        tasks = [await self.call() for _ in range(3)]
        for number in (3, 1, 2):
            self.channel.reply(number)
        replies = await asyncio.gather(*tasks)
        self.assertEqual([b"1", b"2", b"3"], [reply.body for reply in replies])
        self.assertEqual(0, self.stream.load)

    async def test_a_cancelled_call_is_cancelled_there_and_its_answer_is_dropped(self) -> None:
        first, second = await self.call(), await self.call()
        first.cancel()
        await asyncio.wait({first})
        await asyncio.sleep(0)
        self.assertEqual(TransitCancel(number=1), self.channel.sent[-1])
        self.channel.reply(1)
        self.channel.reply(2)
        self.assertEqual(b"2", (await second).body)

    async def test_the_end_of_the_stream_ends_all_calls_and_refuses_more(self) -> None:
        for end in (PeerClosedError("ended"), LoanReturn(loan_id=1, slots=())):
            with self.subTest(type(end).__name__):
                await self.asyncSetUp()
                tasks = [await self.call() for _ in range(2)]
                self.channel.arrive(end)
                ended = await asyncio.gather(*tasks, return_exceptions=True)
                self.assertTrue(all(isinstance(one, PeerError) for one in ended), ended)
                sent = len(self.channel.sent)
                with self.assertRaises(PeerError):
                    await (await self.call())
                self.assertEqual(sent, len(self.channel.sent))

    async def test_times_without_answers_and_without_calls(self) -> None:
        self.clock.advance(5.0)
        self.assertEqual((5.0, 0.0), (self.stream.idle_s, self.stream.silent_s))
        task = await self.call()
        self.clock.advance(2.0)
        self.assertEqual((0.0, 2.0), (self.stream.idle_s, self.stream.silent_s))
        self.channel.reply(1)
        await task
        self.assertEqual((0.0, 0.0), (self.stream.idle_s, self.stream.silent_s))
