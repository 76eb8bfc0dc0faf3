"""Tests of server and protocol: by raw sockets, on both event loops."""

import asyncio
import socket
import typing as t
import unittest
from unittest import mock

from parameterized import parameterized, parameterized_class

from coralfall import defaults
from coralfall.exceptions import ListenError
from coralfall.http import protocol, server
from coralfall.http.listener import bind
from coralfall.http.server import HttpServer
from coralfall.process import loop
from coralfall.settings import HttpSettings

#: Bound that only keeps a broken test from hanging.
PATIENCE_S = 20.0
#: Bound on the time of a head in the tests that let it pass.
SHORT_S = 0.2
LIMIT = 4096
REFUSAL_HEADERS = [(b"coralfall-outcome", b"not-run")]

GET = b"GET /echo HTTP/1.1\r\nHost: a\r\n"
POST = b"POST /echo HTTP/1.1\r\nHost: a\r\n"
GOOD = GET + b"\r\n"
SLOW = b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"

#: Name, request, status. Each is followed by a whole request, which must not be seen either.
MALFORMED = [
    ("both lengths", POST + b"Content-Length: 4\r\n" + CHUNKED + b"\r\n0\r\n\r\n", 400),
    ("both lengths swapped", POST + CHUNKED + b"Content-Length: 4\r\n\r\n0\r\n\r\n", 400),
    ("same length twice", POST + b"Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi", 400),
    ("two lengths", POST + b"Content-Length: 2\r\nContent-Length: 4\r\n\r\nhi", 400),
    ("list of lengths", POST + b"Content-Length: 2, 2\r\n\r\nhi", 400),
    ("signed length", POST + b"Content-Length: +2\r\n\r\nhi", 400),
    ("negative length", POST + b"Content-Length: -2\r\n\r\nhi", 400),
    ("hexadecimal length", POST + b"Content-Length: 0x2\r\n\r\nhi", 400),
    ("empty length", POST + b"Content-Length:\r\n\r\n", 400),
    ("length beyond all bounds", POST + b"Content-Length: 99999999999999999999\r\n\r\nhi", 400),
    ("space before colon", POST + b"Content-Length : 2\r\n\r\nhi", 400),
    ("identity", POST + b"Transfer-Encoding: identity\r\n\r\n", 400),
    ("nearly chunked", POST + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400),
    ("chunked not last", POST + b"Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n", 400),
    ("other coding", POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
    ("chunked twice", POST + CHUNKED + CHUNKED + b"\r\n0\r\n\r\n", 400),
    ("chunked in 1.0", b"POST /echo HTTP/1.0\r\n" + CHUNKED + b"\r\n0\r\n\r\n", 400),
    ("vertical tab", POST + b"Transfer-Encoding:\x0bchunked\r\n\r\n0\r\n\r\n", 400),
    ("folded line", GET + b"X: a\r\n b\r\n\r\n", 400),
    ("folded coding", POST + b"Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n", 400),
    ("bare line feed", b"GET /echo HTTP/1.1\nHost: a\n\n", 400),
    ("bare carriage return", GET + b"X: a\rY: b\r\n\r\n", 400),
    ("zero byte", GET + b"X: a\x00b\r\n\r\n", 400),
    ("control in name", GET + b"X\x01: a\r\n\r\n", 400),
    ("no colon", GET + b"Xyz\r\n\r\n", 400),
    ("space first", b"GET /echo HTTP/1.1\r\n Host: a\r\n\r\n", 400),
    ("no host", b"GET /echo HTTP/1.1\r\n\r\n", 400),
    ("two hosts", GET + b"Host: b\r\n\r\n", 400),
    ("version 0.9", b"GET /echo\r\n\r\n", 505),
    ("version 2.0", b"GET /echo HTTP/2.0\r\nHost: a\r\n\r\n", 505),
    ("version 1.2", b"GET /echo HTTP/1.2\r\nHost: a\r\n\r\n", 400),
    ("connect", b"CONNECT b:1 HTTP/1.1\r\nHost: a\r\n\r\n", 400),
    ("unknown method", b"FOO /echo HTTP/1.1\r\nHost: a\r\n\r\n", 400),
    ("not ascii", b"GET /\xff HTTP/1.1\r\nHost: a\r\n\r\n", 400),
    ("tls", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),
    (
        "upgrade with body",
        POST + b"Connection: upgrade\r\nUpgrade: h2c\r\nContent-Length: 2\r\n\r\nhi",
        400,
    ),
    ("large field", GET + b"X: " + b"a" * LIMIT + b"\r\n\r\n", 431),
    ("many fields", GET + b"X: a\r\n" * (LIMIT // 6) + b"\r\n", 431),
    ("large path", b"GET /" + b"a" * LIMIT + b" HTTP/1.1\r\nHost: a\r\n\r\n", 431),
    ("large path without fields", b"GET /" + b"a" * LIMIT + b" HTTP/1.0\r\n\r\n", 431),
]

#: Name, end of a chunked body that is never whole.
BROKEN_BODIES = [
    ("bad size", b"zz\r\nhi\r\n0\r\n\r\n"),
    ("prefixed size", b"0x2\r\nhi\r\n0\r\n\r\n"),
    ("no line end", b"2\r\nhiX0\r\n\r\n"),
    ("bare line feeds", b"2\nhi\n0\n\n"),
    ("length in trailer", b"0\r\nContent-Length: 5\r\n\r\n"),
    ("large trailer", b"0\r\nX: " + b"a" * LIMIT * 2 + b"\r\n\r\n"),
]


class EchoApplication:
    """Answers with what it saw; ``/slow`` waits until released, ``/early`` reads no body."""

    def __init__(self) -> None:
        self.seen: t.List[t.Tuple[str, bytes]] = []
        self.scopes: t.List[t.Dict[str, t.Any]] = []
        self.disconnects = 0
        self.arrived = asyncio.Event()
        self.release = asyncio.Event()

    async def __call__(self, scope: t.Any, receive: t.Any, send: t.Any) -> None:
        self.scopes.append(scope)
        self.arrived.set()
        body = b""
        while scope["path"] != "/early":
            message = await receive()
            if message["type"] == "http.disconnect":
                self.disconnects += 1
                return
            body += message["body"]
            if not message["more_body"]:
                break
        self.seen.append((scope["path"], body))
        if scope["path"] == "/slow":
            await self.release.wait()
        answer = scope["path"].encode() + b" " + body
        headers = [(b"content-length", b"%d" % len(answer))]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": answer})


class Answer(t.NamedTuple):
    """One answer as read from the wire."""

    status: int
    headers: t.Dict[bytes, bytes]
    body: bytes


class Caller:
    """A raw connection to the server."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def answer(self) -> Answer:
        async with asyncio.timeout(PATIENCE_S):
            head = await self.reader.readuntil(b"\r\n\r\n")
            lines = head.split(b"\r\n")
            headers = dict(line.split(b": ", 1) for line in lines[1:-2])
            body = await self.reader.readexactly(int(headers[b"content-length"]))
        return Answer(int(lines[0].split()[1]), headers, body)

    async def rest(self) -> bytes:
        """Everything up to the end of the connection."""
        async with asyncio.timeout(PATIENCE_S):
            pieces = []
            try:
                while piece := await self.reader.read(LIMIT):
                    pieces.append(piece)
            except ConnectionResetError:
                # The server closed the connection while more was on its way to it.
                pass
            return b"".join(pieces)


class ServerTest(unittest.IsolatedAsyncioTestCase):
    """Base with a running server."""

    new_loop: t.Callable[[], asyncio.AbstractEventLoop] = staticmethod(loop.new_loop)
    settings = HttpSettings(max_header_bytes=LIMIT, idle_stop_s=SHORT_S)

    def _setupAsyncioRunner(self) -> None:  # noqa: N802
        # unittest takes a loop only from Python 3.13 on.
        new_loop = type(self).new_loop
        self._asyncioRunner = asyncio.Runner(debug=False, loop_factory=new_loop)

    async def asyncSetUp(self) -> None:
        self.application = EchoApplication()
        self.metrics = mock.Mock()
        await self.start_server(self.settings)

    async def start_server(self, settings: HttpSettings) -> None:
        self.server = HttpServer(
            "callers",
            self.application,
            "127.0.0.1:0",
            settings,
            REFUSAL_HEADERS,
            self.metrics,
        )
        await self.server.start()
        self.running = asyncio.create_task(self.server.run())
        self.addAsyncCleanup(self.end_server, self.running)
        await asyncio.sleep(0)

    async def restart_server(self, **changes: t.Any) -> None:
        await self.end_server(self.running)
        await self.start_server(HttpSettings(max_header_bytes=LIMIT, **changes))

    async def end_server(self, running: "asyncio.Task[None]") -> None:
        running.cancel()
        await asyncio.wait({running})

    async def connect(self) -> Caller:
        host, port = self.server.bound_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return Caller(reader, writer)

    async def connect_in_flight(self) -> Caller:
        """A caller whose request is being answered until the application is released."""
        caller = await self.connect()
        self.application.arrived.clear()
        caller.send(SLOW)
        await asyncio.wait_for(self.application.arrived.wait(), PATIENCE_S)
        return caller

    async def assert_unhurt(self, caller: Caller) -> None:
        """The request in flight is answered whole, and so is the next on its connection."""
        self.application.release.set()
        self.assertEqual((await caller.answer()).body, b"/slow ")
        caller.send(GOOD)
        self.assertEqual((await caller.answer()).body, b"/echo ")


ON_BOTH_LOOPS = parameterized_class(
    [
        {"loop_name": "uvloop", "new_loop": staticmethod(loop.new_loop)},
        {"loop_name": "asyncio", "new_loop": staticmethod(asyncio.new_event_loop)},
    ],
    class_name_func=lambda cls, number, values: f"{cls.__name__}_{values['loop_name']}",
)


@ON_BOTH_LOOPS
class MalformedTest(ServerTest):
    @parameterized.expand(MALFORMED)
    async def test_refused(self, _name: str, request: bytes, status: int) -> None:
        good = await self.connect_in_flight()
        bad = await self.connect()
        bad.send(request + GOOD)
        answer = await bad.answer()
        self.assertEqual(answer.status, status)
        self.assertEqual(answer.headers[b"connection"], b"close")
        self.assertEqual(answer.headers[b"coralfall-outcome"], b"not-run")
        self.assertEqual(await bad.rest(), b"")
        self.assertEqual(self.application.seen, [("/slow", b"")])
        await self.assert_unhurt(good)

    @parameterized.expand(MALFORMED)
    async def test_refused_byte_by_byte(self, _name: str, request: bytes, status: int) -> None:
        bad = await self.connect()
        for start in range(0, len(request), max(1, len(request) // 50)):
            bad.send(request[start : start + max(1, len(request) // 50)])
            await asyncio.sleep(0)
        bad.send(GOOD)
        self.assertEqual((await bad.answer()).status, status)
        self.assertEqual(await bad.rest(), b"")
        self.assertEqual(self.application.seen, [])

    @parameterized.expand(BROKEN_BODIES)
    async def test_a_broken_body_never_seems_whole(self, _name: str, body: bytes) -> None:
        good = await self.connect_in_flight()
        bad = await self.connect()
        bad.send(POST + CHUNKED + b"\r\n2\r\nhi\r\n")
        await asyncio.sleep(0.01)
        for start in range(0, len(body), 1024):
            bad.send(body[start : start + 1024])
            await asyncio.sleep(0.01)
        bad.send(GOOD)
        answer = await bad.answer()
        self.assertIn(answer.status, {400, 431})
        self.assertNotIn(b"coralfall-outcome", answer.headers)
        self.assertEqual(await bad.rest(), b"")
        self.assertEqual(self.application.disconnects, 1)
        self.assertEqual(self.application.seen, [("/slow", b"")])
        await self.assert_unhurt(good)

    @parameterized.expand(
        [
            ("field", GET + b"X: ", b""),
            ("trailer", POST + CHUNKED + b"\r\n2\r\nhi\r\n0\r\nX: ", b""),
            ("chunk extension", POST + CHUNKED + b"\r\n2;x=", b""),
            ("line ends", b"", b"\r\n"),
        ]
    )
    async def test_an_endless_line_is_refused(self, _name: str, start: bytes, piece: bytes) -> None:
        caller = await self.connect()
        caller.send(start)
        for _ in range(3 * LIMIT // 256):
            await asyncio.sleep(0.001)
            caller.send(piece * 128 or b"a" * 256)
        self.assertEqual((await caller.answer()).status, 431)
        self.assertEqual(await caller.rest(), b"")
        self.assertEqual(self.application.seen, [])

    async def test_requests_before_a_malformed_one_are_answered(self) -> None:
        caller = await self.connect_in_flight()
        caller.send(GOOD + b"nonsense\r\n\r\n" + GOOD)
        await asyncio.sleep(0.01)
        self.application.release.set()
        self.assertEqual((await caller.answer()).body, b"/slow ")
        self.assertEqual((await caller.answer()).body, b"/echo ")
        self.assertEqual(await caller.rest(), b"")

    async def test_requests_before_a_broken_body_are_answered(self) -> None:
        caller = await self.connect_in_flight()
        caller.send(POST + CHUNKED + b"\r\nzz\r\n")
        await asyncio.sleep(0.01)
        self.application.release.set()
        self.assertEqual((await caller.answer()).body, b"/slow ")
        self.assertEqual(await caller.rest(), b"")
        self.assertEqual(self.application.seen, [("/slow", b"")])


@ON_BOTH_LOOPS
class WellFormedTest(ServerTest):
    @parameterized.expand(
        [
            ("length", POST + b"Content-Length: 2\r\n\r\nhi", b"/echo hi"),
            ("chunked", POST + CHUNKED + b"\r\n1\r\nh\r\n1\r\ni\r\n0\r\n\r\n", b"/echo hi"),
            ("chunk extension", POST + CHUNKED + b"\r\n2;a=b\r\nhi\r\n0\r\n\r\n", b"/echo hi"),
            ("line ends first", b"\r\n\r\n" + GOOD, b"/echo "),
            ("absolute", b"GET http://b/echo HTTP/1.1\r\nHost: a\r\n\r\n", b"/echo "),
            ("nearly too large", GET + b"X: " + b"a" * (LIMIT - 64) + b"\r\n\r\n", b"/echo "),
        ]
    )
    async def test_answered_and_kept_open(self, _name: str, request: bytes, body: bytes) -> None:
        caller = await self.connect()
        for _ in range(2):
            caller.send(request)
            answer = await caller.answer()
            self.assertEqual((answer.status, answer.body), (200, body))
            self.assertNotIn(b"connection", answer.headers)
            self.assertNotIn(b"server", answer.headers)
            self.assertIn(b"date", answer.headers)

    async def test_the_date_is_renewed(self) -> None:
        with mock.patch.object(server, "DATE_S", 0.01):
            await self.restart_server()
            await asyncio.sleep(0)
            state = self.server._server.server_state
            state.default_headers = []
            for _ in range(int(PATIENCE_S / 0.01)):
                if state.default_headers:
                    break
                await asyncio.sleep(0.01)
        self.assertEqual(state.default_headers[0][0], b"date")

    async def test_an_upgrade_is_not_taken_and_what_follows_is_dropped(self) -> None:
        caller = await self.connect()
        caller.send(GET + b"Connection: upgrade\r\nUpgrade: h2c\r\n\r\n" + GOOD)
        answer = await caller.answer()
        self.assertEqual((answer.status, answer.headers[b"connection"]), (200, b"close"))
        self.assertEqual(await caller.rest(), b"")
        self.assertEqual(len(self.application.seen), 1)

    async def test_a_trailer_is_not_taken_for_a_header(self) -> None:
        caller = await self.connect()
        caller.send(POST + CHUNKED + b"\r\n2\r\nhi\r\n0\r\nIdempotency-Key: x\r\n\r\n")
        self.assertEqual((await caller.answer()).body, b"/echo hi")
        names = [name for name, _value in self.application.scopes[0]["headers"]]
        self.assertNotIn(b"idempotency-key", names)

    async def test_an_answer_before_the_end_of_the_body_ends_the_connection(self) -> None:
        caller = await self.connect()
        caller.send(b"POST /early HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n")
        self.assertEqual((await caller.answer()).body, b"/early ")
        caller.send(b"a" * 1000)
        self.assertEqual(await caller.rest(), b"")

    async def test_tiny_chunks_leave_the_loop_to_others(self) -> None:
        """Guards against copying all of a body that waits with each of its chunks."""
        caller = await self.connect()
        caller.send(POST + CHUNKED + b"\r\n")
        parsed = []
        pause_s = protocol.PartPacer.pause_s

        def note(pacer: protocol.PartPacer, now: float, parts: int) -> float:
            parsed.append(parts)
            return pause_s(pacer, now, parts)

        with mock.patch.object(protocol.PartPacer, "pause_s", note):
            caller.send(b"1\r\na\r\n" * 30_000 + b"0\r\n\r\n" + GOOD)
            self.assertEqual((await caller.answer()).body, b"/echo " + b"a" * 30_000)
            self.assertEqual((await caller.answer()).body, b"/echo ")
        self.assertLess(max(parsed), defaults.PARSED_SLICE_BYTES // 6 + 2)

    async def test_a_caller_that_pauses_within_a_refused_body_sees_the_answer(self) -> None:
        caller = await self.connect()
        caller.send(b"POST /early HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n")
        for _ in range(2):
            await asyncio.sleep(1.5)
            caller.send(b"a" * 1000)
        await asyncio.sleep(0.1)
        self.assertEqual((await caller.answer()).body, b"/early ")

    async def test_a_refused_caller_that_sends_without_end_is_cut(self) -> None:
        with mock.patch.object(protocol, "MAX_LINGER_BYTES", 100_000):
            caller = await self.connect()
            caller.send(b"POST /early HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n")
            self.assertEqual((await caller.answer()).body, b"/early ")
            with self.assertRaises(ConnectionError):
                async with asyncio.timeout(PATIENCE_S):
                    while True:
                        caller.send(b"a" * 10_000)
                        await caller.writer.drain()


@ON_BOTH_LOOPS
class BoundsTest(ServerTest):
    @parameterized.expand(
        [
            ("nothing", b"", b"", b""),
            ("half a head", GET, b"", b"HTTP/1.1 408"),
            ("drip", GET, b"X: a\r\n", b"HTTP/1.1 408"),
            ("line ends", b"", b"\r\n", b""),
            ("line ends after an answer", GOOD, b"\r\n", b"HTTP/1.1 200"),
            ("drip after an answer", GOOD + GET, b"X: a\r\n", b"HTTP/1.1 408"),
        ]
    )
    async def test_a_slow_head_is_cut(
        self, _name: str, first: bytes, drip: bytes, expected: bytes
    ) -> None:
        await self.restart_server(header_timeout_s=SHORT_S)
        good = await self.connect_in_flight()
        slow = await self.connect()
        slow.send(first)
        rest = asyncio.create_task(slow.rest())
        while not rest.done():
            slow.send(drip)
            await asyncio.wait({rest}, timeout=SHORT_S / 10)
        answers = rest.result().split(b"HTTP/1.1 ")
        last = b"HTTP/1.1 " + answers[-1] if len(answers) > 1 else b""
        self.assertTrue(last.startswith(expected) and bool(last) == bool(expected), rest.result())
        await self.assert_unhurt(good)

    async def test_a_slow_answer_is_not_a_slow_head(self) -> None:
        await self.restart_server(header_timeout_s=SHORT_S)
        good = await self.connect_in_flight()
        await asyncio.sleep(SHORT_S * 2)
        await self.assert_unhurt(good)

    async def test_an_idle_connection_is_closed(self) -> None:
        await self.restart_server(idle_timeout_s=SHORT_S)
        caller = await self.connect()
        caller.send(GOOD)
        await caller.answer()
        self.assertEqual(await caller.rest(), b"")

    async def test_too_many_connections_are_told_so(self) -> None:
        await self.restart_server(max_connections=2)
        good = await self.connect_in_flight()
        await self.connect_in_flight()
        late = await self.connect()
        answer = await late.answer()
        self.assertEqual((answer.status, answer.headers[b"retry-after"]), (503, b"1"))
        self.assertEqual(await late.rest(), b"")
        self.metrics.count.assert_called_with("http.refused.busy")
        await self.assert_unhurt(good)

    async def test_a_connection_in_use_again_is_not_closed_as_idle(self) -> None:
        await self.restart_server(max_connections=2)
        good = await self.connect()
        good.send(GOOD)
        await good.answer()
        self.application.arrived.clear()
        good.send(SLOW)
        await asyncio.wait_for(self.application.arrived.wait(), PATIENCE_S)
        await self.connect_in_flight()
        self.assertEqual((await (await self.connect()).answer()).status, 503)
        await self.assert_unhurt(good)

    async def test_far_too_many_connections_are_cut(self) -> None:
        await self.restart_server(max_connections=1)
        good = await self.connect_in_flight()
        with mock.patch.object(protocol, "OVERFLOW", 2):
            callers = [await self.connect() for _ in range(6)]
            rests = [await caller.rest() for caller in callers]
        self.assertIn(b"", rests)
        self.assertLessEqual(self.server.connection_count, 3)
        await self.assert_unhurt(good)

    @parameterized.expand(
        [
            ("in all", {"max_connections": 2}),
            ("idle", {"max_idle_connections": 1}),
        ]
    )
    async def test_the_longest_idle_makes_room(
        self, _name: str, changes: t.Dict[str, t.Any]
    ) -> None:
        await self.restart_server(**changes)
        callers = []
        for _ in range(3):
            caller = await self.connect()
            caller.send(GOOD)
            self.assertEqual((await caller.answer()).status, 200)
            callers.append(caller)
        self.assertEqual(await callers[0].rest(), b"")
        callers[2].send(GOOD)
        self.assertEqual((await callers[2].answer()).status, 200)

    async def test_pipelined_requests_are_bounded(self) -> None:
        await self.restart_server(max_pipelined=2)
        caller = await self.connect()
        caller.send(SLOW + GOOD * 50)
        await asyncio.wait_for(self.application.arrived.wait(), PATIENCE_S)
        self.application.release.set()
        answers = (await caller.rest()).count(b"HTTP/1.1 200")
        self.assertEqual(answers, 3)


@ON_BOTH_LOOPS
class StopTest(ServerTest):
    async def stop(self) -> "asyncio.Task[None]":
        stopping = asyncio.create_task(self.server.stop())
        self.addCleanup(stopping.cancel)
        await asyncio.sleep(0.01)
        return stopping

    async def test_requests_in_flight_are_answered_and_no_new_ones_taken(self) -> None:
        caller = await self.connect_in_flight()
        stopping = await self.stop()
        with self.assertRaises(ConnectionRefusedError):
            await self.connect()
        self.assertFalse(stopping.done())
        self.application.release.set()
        answer = await caller.answer()
        self.assertEqual((answer.body, answer.headers[b"connection"]), (b"/slow ", b"close"))
        self.assertEqual(await caller.rest(), b"")
        await asyncio.wait_for(stopping, PATIENCE_S)

    @parameterized.expand([("half a head", GET, b"\r\n"), ("nothing", b"", GOOD)])
    async def test_a_request_on_its_way_is_answered(
        self, _name: str, before: bytes, after: bytes
    ) -> None:
        callers = [await self.connect(), await self.connect()]
        callers[1].send(GOOD)
        await callers[1].answer()
        for caller in callers:
            caller.send(before)
        await asyncio.sleep(0.01)
        stopping = await self.stop()
        for caller in callers:
            caller.send(after)
            answer = await caller.answer()
            self.assertEqual((answer.status, answer.headers[b"connection"]), (200, b"close"))
            self.assertEqual(await caller.rest(), b"")
        await asyncio.wait_for(stopping, PATIENCE_S)

    @parameterized.expand([("in one piece", SLOW + GOOD + GOOD, b""), ("apart", SLOW, GOOD + GOOD)])
    async def test_pipelined_requests_are_answered_before_the_close(
        self, _name: str, before: bytes, after: bytes
    ) -> None:
        """The answer to the first one closed the connection, though the others had been read."""
        self.server.close_connections_after_answers()
        caller = await self.connect()
        caller.send(before)
        await asyncio.wait_for(self.application.arrived.wait(), PATIENCE_S)
        stopping = await self.stop()
        caller.send(after)
        await asyncio.sleep(0.01)
        self.application.release.set()
        answers = [await caller.answer() for _ in range(3)]
        self.assertEqual([200] * 3, [answer.status for answer in answers])
        connection = [answer.headers.get(b"connection") for answer in answers]
        self.assertEqual([None, None, b"close"], connection)
        self.assertEqual(await caller.rest(), b"")
        await asyncio.wait_for(stopping, PATIENCE_S)

    async def test_what_follows_the_last_request_of_a_caller_is_not_answered(self) -> None:
        self.server.close_connections_after_answers()
        caller = await self.connect()
        caller.send(b"GET /slow HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + GOOD)
        await asyncio.wait_for(self.application.arrived.wait(), PATIENCE_S)
        self.application.release.set()
        self.assertEqual(1, (await caller.rest()).count(b"HTTP/1.1 200"))

    async def test_connections_that_nobody_took_yet_are_answered(self) -> None:
        host, port = self.server.bound_address.split(":")
        sockets = [socket.create_connection((host, int(port))) for _ in range(20)]
        for connected in sockets:
            self.addCleanup(connected.close)
            connected.sendall(GOOD)
        stopping = asyncio.create_task(self.server.stop())
        await asyncio.wait_for(stopping, PATIENCE_S)
        for connected in sockets:
            connected.settimeout(PATIENCE_S)
            self.assertTrue(connected.recv(4096).startswith(b"HTTP/1.1 200"))

    async def test_idle_connections_are_closed(self) -> None:
        caller = await self.connect()
        caller.send(GOOD)
        await caller.answer()
        stopping = await self.stop()
        self.assertEqual(await caller.rest(), b"")
        await asyncio.wait_for(stopping, PATIENCE_S)

    async def test_cancelling_cuts_what_is_left(self) -> None:
        caller = await self.connect_in_flight()
        tasks = set(self.server._server.server_state.tasks)
        await self.end_server(self.running)
        self.assertEqual(await caller.rest(), b"")
        _done, left = await asyncio.wait(tasks, timeout=PATIENCE_S / 10)
        self.assertEqual(left, set())
        self.assertEqual(self.server.connection_count, 0)

    async def test_a_server_can_be_started_again(self) -> None:
        await self.end_server(self.running)
        await self.server.start()
        self.running = asyncio.create_task(self.server.run())
        self.addAsyncCleanup(self.end_server, self.running)
        caller = await self.connect()
        caller.send(GOOD)
        self.assertEqual((await caller.answer()).status, 200)


class BindTest(unittest.TestCase):
    @parameterized.expand([("127.0.0.1:0",), ("[::1]:0",)])
    def test_bound(self, address: str) -> None:
        with bind(address) as listener:
            self.assertGreater(listener.getsockname()[1], 0)

    def test_connections_send_without_delay(self) -> None:
        with bind("127.0.0.1:0") as listener:
            listener.setblocking(True)
            with socket.create_connection(listener.getsockname()):
                accepted, _ = listener.accept()
                with accepted:
                    option = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
                    self.assertNotEqual(option, 0)

    @parameterized.expand([("127.0.0.1",), ("nonsense:80",), ("192.0.2.1:80",)])
    def test_refused(self, address: str) -> None:
        with self.assertRaises(ListenError) as caught:
            bind(address)
        self.assertIn(address, caught.exception.message)


if __name__ == "__main__":
    unittest.main()
