"""Tests of the memory for answers that callers are slow to read, with real connections."""

import asyncio
import socket
import typing as t
from unittest import mock

from coralfall.defaults import GRACE_S
from coralfall.exceptions import OverLimitError, RefusedError
from coralfall.forwarding.request import MemoryAccount
from coralfall.http.server import HttpServer
from coralfall.ids import Outcome, ServiceId
from coralfall.placement.stop_admission import NO_LESS_TIME, StopAdmission
from coralfall.process.shutdown import Shutdown
from coralfall.settings import HttpSettings
from coralfall.traffic.answer_memory import AnswerMemory, HeldAnswer
from coralfall.traffic.callers import CallersApp
from coralfall.traffic.reply import Reply
from coralfall.traffic.steered_request import SteeredRequest
from tests.callers_http.test_server import ON_BOTH_LOOPS, PATIENCE_S, ServerTest
from tests.traffic.makers import PEDIDOS, make_route
from tests.traffic.scripted_target import ReceivedRequest, ScriptedTarget
from tests.traffic.test_forwarder import ForwarderHarness

#: Larger than the buffers of a connection on loopback, and than three eighths of the memory.
_BODY = bytes(7 * 1024 * 1024)
_GET = b"GET /p/1 HTTP/1.1\r\nHost: a.example\r\n\r\n"


class FakeForwarder:
    """Answers each request with a large body, as if read from a target."""

    async def forward(self, request: SteeredRequest) -> Reply:
        assert request.held_answer is not None
        request.held_answer.take(len(_BODY))
        headers = [(b"content-length", str(len(_BODY)).encode())]
        return Reply(200, headers, _BODY, Outcome.DONE, "answered")


@ON_BOTH_LOOPS
class SlowCallerTest(ServerTest):
    async def asyncSetUp(self) -> None:
        state_view = mock.Mock(state=None, version=1)
        state_view.routes.find.return_value = make_route(session_affinity=False)
        state_view.split.choose.return_value = PEDIDOS
        state_view.state_age_s.return_value = state_view.targets_age_s.return_value = 0.0
        self.quotas = mock.Mock(acquire=mock.AsyncMock(return_value=None))
        forwarder: t.Any = FakeForwarder()
        clock = mock.Mock(**{"monotonic.return_value": 100.0})
        authenticator = mock.Mock(**{"authenticate.return_value": None})
        contention: t.Any = self
        admission = StopAdmission(Shutdown(GRACE_S, clock), NO_LESS_TIME, clock)
        parts: t.Any = (state_view, authenticator, self.quotas, forwarder, mock.Mock(), contention)
        self.app = CallersApp(
            mock.Mock(request_id=b"id", time_left=b"left"), *parts, admission, clock
        )
        self.contended = True
        await self.start_server(HttpSettings(idle_timeout_s=60.0, idle_stop_s=0.1))

    def is_contended(self, service: ServiceId) -> bool:
        return self.contended

    async def start_server(self, settings: HttpSettings) -> None:
        self.server = HttpServer("callers", self.app, "127.0.0.1:0", settings)
        await self.server.start()
        self.running = asyncio.create_task(self.server.run())
        self.addAsyncCleanup(self.end_server, self.running)

    async def ask(self, head: bytes = _GET) -> t.Tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        connected = socket.socket()
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connected.setblocking(False)
        host, port = self.server.bound_address.split(":")
        await asyncio.get_running_loop().sock_connect(connected, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=connected, limit=4096)
        self.addCleanup(writer.close)
        writer.write(head)
        return reader, writer

    async def status(self, head: bytes = _GET) -> bytes:
        reader, writer = await self.ask(head)
        line = await asyncio.wait_for(reader.readline(), PATIENCE_S)
        writer.transport.abort()
        return line[9:12]

    async def wait_held(self, held: int) -> None:
        async with asyncio.timeout(PATIENCE_S):
            while self.app.answer_memory.held != held:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def test_refused_until_the_caller_has_read_all(self) -> None:
        """Guards against memory that fills with unread answers, accepted requests that are cut off
        for it, and services refused that are not contended."""
        reader, _ = await self.ask()
        await self.wait_held(len(_BODY))
        self.assertEqual(b"503", await self.status())
        self.contended = False
        self.assertEqual(b"200", await self.status())
        self.contended = True
        await reader.readuntil(b"\r\n\r\n")
        self.assertEqual(_BODY, await asyncio.wait_for(reader.readexactly(len(_BODY)), PATIENCE_S))
        await self.wait_held(0)
        self.assertEqual(b"200", await self.status())

    async def test_given_back_when_the_connection_ends(self) -> None:
        """Guards against bytes that stay counted after a caller left, or never read, or a stop."""
        for end in ("left", "idle", "stop"):
            if end == "idle":
                self.server.set_settings(HttpSettings(idle_timeout_s=0.2))
            _, writer = await self.ask()
            await self.wait_held(len(_BODY))
            if end == "left":
                writer.transport.abort()
            elif end == "stop":
                await self.end_server(self.running)
            await self.wait_held(0)
            async with asyncio.timeout(PATIENCE_S):
                while self.server.connection_count:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)

    async def test_caller_that_reads_slowly_is_not_cut_off(self) -> None:
        """Guards against a slow caller that is taken for one that reads nothing, since the kernel
        takes more of an answer only after a large part of its buffer was read."""
        self.server.set_settings(HttpSettings(idle_timeout_s=0.5))
        reader, _ = await self.ask()
        await reader.readuntil(b"\r\n\r\n")
        received = 0
        slow_until = asyncio.get_running_loop().time() + 3.0
        while asyncio.get_running_loop().time() < slow_until:
            received += len(await reader.read(4096))
            await asyncio.sleep(0.02)
        await asyncio.wait_for(reader.readexactly(len(_BODY) - received), PATIENCE_S)
        await self.wait_held(0)

    async def test_bounds_for_all_callers_and_for_one(self) -> None:
        """Guards against many callers that fill the memory together, or one alone."""
        for bodies, held, refused in ((0, {"a": 38}, "a"), (30, {"a": 30, "b": 16}, "c")):
            account = MemoryAccount(100)
            account.take(bodies)
            memory = AnswerMemory(account)
            memory.check_room(refused)
            for caller, count in held.items():
                HeldAnswer(memory, caller).take(count)
            with self.assertRaises(RefusedError):
                memory.check_room(refused)
            memory.add("a", -held["a"])
            memory.check_room(refused)

    async def test_tenant_beyond_its_limit_sends_no_body(self) -> None:
        """Guards against a refusal that waits for an upload to arrive."""
        self.quotas.check_backoff.side_effect = OverLimitError("over", 1.0)
        upload = _GET.replace(b"\r\n\r\n", b"\r\nContent-Length: 99\r\n\r\n")
        self.assertEqual(b"429", await self.status(upload))

    async def test_target_that_breaks_off(self) -> None:
        """Guards against bytes of a failed attempt that stay counted while another one is made."""

        async def break_off(received: ReceivedRequest) -> None:
            await received.answer(body=b"part", length=100)
            received.close()

        async def whole(received: ReceivedRequest) -> None:
            await received.answer(body=b"whole")

        for script, expected in ((break_off, 0), (whole, 5)):
            async with ScriptedTarget(script) as target:
                harness = ForwarderHarness([target.address])
                request = harness.request("safe", max_attempts=1)
                request.held_answer = answer = mock.Mock(held=0)
                counts: t.List[int] = []
                answer.take = counts.append
                await harness.forward(request)
                harness.pool.close()
                self.assertEqual([5] if expected else [4], counts)
                self.assertEqual(0 if expected else 1, answer.shrink_to.call_count)
