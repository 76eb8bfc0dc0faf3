"""Tests of servers that send bytes without end in any part of an answer."""

import asyncio
import typing as t
import unittest

from parameterized import parameterized

from coralfall import defaults
from coralfall.http.part_pacer import PartPacer
from coralfall.traffic.connection import connect
from coralfall.traffic.receive_budget import ReceiveBudget, ReceivedBytes
from coralfall.traffic.response_parser import BrokenResponseError, ServerResponse
from tests.traffic.scripted_target import ReceivedRequest, ScriptedTarget
from tests.traffic.test_forwarder import ForwarderHarness

KIB = 1024
MAX_BODY = 1024 * KIB
#: Bytes that a server sends before it waits; more than any bound and the kernel's buffers.
ENDLESS = 32 * 1024 * KIB
PATIENCE_S = 20.0
_TRICKLE_PAUSE_S = 0.001
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
FILL = b"a" * 64 * KIB
FIELD = b"x-field: value\r\n"

#: Name, what the server begins with, and what it repeats.
ENDLESS_ANSWERS = [
    ("reason", b"HTTP/1.1 200 ", FILL),
    ("no answer", b"", FILL),
    ("line ends", b"", b"\r\n" * KIB),
    ("name of a field", HEAD + b"x", FILL),
    ("value of a field", HEAD + b"x: ", FILL),
    ("fields", HEAD, FIELD * KIB),
    ("interim answers", b"", b"HTTP/1.1 100 Continue\r\n\r\n" * KIB),
    ("interim answers with fields", b"", (b"HTTP/1.1 103 X\r\n" + FIELD + b"\r\n") * KIB),
    ("chunk extension", CHUNKED + b"5;x=", FILL),
    ("chunk extensions", CHUNKED, (b"1;x=" + b"a" * 99 + b"\r\na\r\n") * KIB),
    ("trailer", CHUNKED + b"0\r\nx: ", FILL),
    ("trailers", CHUNKED + b"0\r\n", FIELD * KIB),
    ("body with a length", HEAD + b"content-length: 99999999999\r\n\r\n", FILL),
    ("body without a length", HEAD + b"\r\n", FILL),
    ("chunks", CHUNKED, b"10000\r\n" + FILL + b"\r\n"),
]


class EndlessTarget(ScriptedTarget):
    """Sends a piece again and again.

    :param pause_s: seconds after each byte of it; 0 sends it whole, without a pause.
    """

    def __init__(self, start: bytes, piece: bytes, pause_s: float = 0.0) -> None:
        super().__init__(self._send)
        self._start = start
        self._piece = piece
        self._pause_s = pause_s
        self.sent = 0

    async def _send(self, received: ReceivedRequest) -> None:
        try:
            await received.send(self._start)
            while self.sent < ENDLESS:
                await self._send_piece(received)
                self.sent += len(self._piece)
            await asyncio.Event().wait()
        except OSError:
            self.caller_disconnected.set()

    async def _send_piece(self, received: ReceivedRequest) -> None:
        if not self._pause_s:
            await received.send(self._piece)
            return
        for byte in self._piece:
            await received.send(bytes([byte]))
            await asyncio.sleep(self._pause_s)


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    @parameterized.expand(ENDLESS_ANSWERS)
    async def test_answer_without_end_is_cut_off(
        self, _name: str, start: bytes, piece: bytes
    ) -> None:
        async with EndlessTarget(start, piece) as target:
            connection = await connect(target.address, PATIENCE_S, MAX_BODY)
            with self.assertRaises(BrokenResponseError):
                async with asyncio.timeout(PATIENCE_S):
                    await connection.exchange(b"GET / HTTP/1.1\r\n\r\n", b"")
            self.assertFalse(connection.is_reusable)
            await asyncio.wait_for(target.caller_disconnected.wait(), PATIENCE_S)
            self.assertLess(target.sent, ENDLESS)

    async def test_bytes_without_end_after_an_answer_close_the_connection(self) -> None:
        async with EndlessTarget(HEAD + b"content-length: 2\r\n\r\nok", FILL) as target:
            connection = await connect(target.address, PATIENCE_S, MAX_BODY)
            answer = await connection.exchange(b"GET / HTTP/1.1\r\n\r\n", b"")
            self.assertEqual((200, b"ok"), (answer.status, answer.body))
            await asyncio.wait_for(target.caller_disconnected.wait(), PATIENCE_S)

    async def test_tiny_chunks_leave_the_loop_to_others(self) -> None:
        async with EndlessTarget(CHUNKED, b"1\r\na\r\n" * KIB) as target:
            budget = ReceiveBudget(MAX_BODY)
            connection = await connect(target.address, PATIENCE_S, MAX_BODY, budget)
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(1.0):
                    await connection.exchange(b"GET / HTTP/1.1\r\n\r\n", b"")
            self.assertLess(target.sent, ENDLESS)
            # One slice may be parsed before its parts are counted.
            parsed = connection._parser.parts - defaults.PARSED_SLICE_BYTES
            self.assertLessEqual(parsed, 2 * defaults.MAX_PARTS_PER_S)


#: The same, and the status that a caller gets if the bytes come one by one. It is told at once of
#: what begins no answer.
SLOW_ENDLESS_ANSWERS = [
    (name, start, piece, 502 if name == "no answer" else 504)
    for name, start, piece in ENDLESS_ANSWERS
]


class SlowEndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    @parameterized.expand(SLOW_ENDLESS_ANSWERS)
    async def test_answer_that_trickles_without_end_ends_with_the_request(
        self, _name: str, start: bytes, piece: bytes, status: int
    ) -> None:
        async with EndlessTarget(start, piece, _TRICKLE_PAUSE_S) as target:
            harness = ForwarderHarness([target.address])
            request = harness.request("unsafe", seconds=0.3)
            async with asyncio.timeout(PATIENCE_S):
                reply = await harness.forward(request)
                await target.caller_disconnected.wait()
            harness.pool.close()
        self.assertEqual(status, reply.status)
        self.assertLess(target.sent, ENDLESS)


def fields_of(size: int) -> bytes:
    return FIELD * (size // len(FIELD))


class SoundAnswerTest(unittest.IsolatedAsyncioTestCase):
    @parameterized.expand(
        [
            ("large head", HEAD + fields_of(60 * KIB), b"a" * 30_000),
            ("large body", HEAD, b"a" * MAX_BODY),
        ]
    )
    async def test_answer_within_the_bounds_passes(
        self, _name: str, head: bytes, body: bytes
    ) -> None:
        length = f"content-length: {len(body)}\r\n\r\n".encode()
        answer = await self._answer(head + length + body)
        self.assertEqual((200, body), (answer.status, answer.body))

    @parameterized.expand([("of one byte", 1), ("of 64 KiB", 64 * KIB)])
    async def test_chunks_pass(self, _name: str, size: int) -> None:
        body = bytes(range(256)) * 120
        chunks = [body[start : start + size] for start in range(0, len(body), size)]
        encoded = [b"%x\r\n" % len(chunk) + chunk + b"\r\n" for chunk in chunks]
        trailer = b"0\r\n" + FIELD + b"\r\n"
        answer = await self._answer(CHUNKED + b"".join(encoded) + trailer)
        self.assertEqual(body, answer.body)
        self.assertIsNone(answer.header(b"x-field"))

    async def _answer(self, encoded: bytes) -> ServerResponse:
        async def script(received: ReceivedRequest) -> None:
            await received.send(encoded)

        async with ScriptedTarget(script) as target:
            connection = await connect(target.address, PATIENCE_S, MAX_BODY)
            async with asyncio.timeout(PATIENCE_S):
                return await connection.exchange(b"GET / HTTP/1.1\r\n\r\n", b"")


class ReceiveBudgetTest(unittest.TestCase):
    @parameterized.expand(
        [
            # source and bytes of each answer in turn, those that are cut off, what is held
            ("within the limit", [("a", 40), ("b", 60)], [], 100),
            ("largest of one source", [("a", 60), ("a", 30), ("b", 20)], [0], 50),
            (
                "source with many answers before a larger answer of another",
                [("a", 31), ("a", 30), ("b", 40), ("a", 10)],
                [0],
                80,
            ),
            ("the newest one", [("a", 20), ("b", 90)], [1], 20),
            ("several", [("a", 50), ("a", 50), ("a", 90)], [2], 100),
            ("larger than the limit", [("a", 101)], [0], 0),
        ]
    )
    def test_cut_off(
        self,
        _name: str,
        answers: t.Sequence[t.Tuple[str, int]],
        expected: t.Sequence[int],
        held: int,
    ) -> None:
        budget = ReceiveBudget(100)
        cut_off: t.List[int] = []
        for number, (source, size) in enumerate(answers):

            def note(number: int = number) -> None:
                cut_off.append(number)

            ReceivedBytes(budget, source, note).grow_to(size)
        self.assertEqual((expected, held), (cut_off, budget.held))

    def test_ended_answers_take_no_room(self) -> None:
        budget = ReceiveBudget(100)
        for _ in range(3):
            received = ReceivedBytes(budget, "a", self.fail)
            received.grow_to(90)
            received.release()
        self.assertEqual(0, budget.held)

    @parameterized.expand(
        [
            ("few", [(0.0, defaults.FREE_PARTS)], 0.0),
            ("many", [(0.0, defaults.FREE_PARTS + 5000)], 0.1),
            ("of several answers", [(0.0, defaults.FREE_PARTS + 5000)] * 2, 0.2),
            (
                "after a pause",
                [(t_s, defaults.FREE_PARTS + 5000) for t_s in (0.0, 5.0)],
                0.1,
            ),
        ]
    )
    def test_pause_for_parts(
        self, _name: str, parsed: t.Sequence[t.Tuple[float, int]], expected: float
    ) -> None:
        pacer = PartPacer()
        for now, parts in parsed:
            pause_s = pacer.pause_s(now, parts)
        self.assertAlmostEqual(expected, pause_s)
