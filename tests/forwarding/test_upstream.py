"""Tests of exchanges with targets that break off, answer late, or answer too much."""

import asyncio
import math
import typing as t
import unittest
from unittest import mock

from aiohttp.client_proto import ResponseHandler
from parameterized import parameterized

from coralfall import defaults
from coralfall.balancing.steering import AttemptResult, Reservation
from coralfall.exceptions import (
    CallerGoneError,
    RefusedError,
    TargetError,
    TargetNotRunError,
    TargetTimeoutError,
    TargetUnknownError,
)
from coralfall.forwarding.exchange import Exchange, TargetRequest
from coralfall.forwarding.request import MemoryAccount, RequestBody
from coralfall.forwarding.upstream import Upstream
from coralfall.placement.stop_admission import STOPPING, StopAdmission
from coralfall.process.clock import Clock, ManualClock, SystemClock
from tests import loopback
from tests.traffic.test_endless_answers import ENDLESS, ENDLESS_ANSWERS, EndlessTarget

ANSWERED = AttemptResult.ANSWERED
NOT_RUN = AttemptResult.NOT_RUN
FAILED = AttemptResult.FAILED
CANCELLED = AttemptResult.CANCELLED
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CLOCK = SystemClock()
MOST = defaults.MAX_BUFFERED_ANSWER_BYTES


class Script:
    """A target that answers request after request with the bytes given.

    :param answers: by number of request; ``None`` closes the connection instead.
    """

    def __init__(self, *answers: t.Optional[bytes]) -> None:
        self.answers = list(answers)
        #: Heads of the requests that came.
        self.requests: t.List[bytes] = []
        self.connections = 0
        #: Counts up with each request.
        self.came = asyncio.Semaphore(0)
        self.pause = asyncio.Event()
        self.pause.set()

    async def __call__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        while True:
            self.requests.append(await reader.readuntil(b"\r\n\r\n"))
            self.came.release()
            answer = self.answers.pop(0)
            await self.pause.wait()
            if answer is None:
                return
            writer.write(answer)
            await writer.drain()
            if not answer.startswith(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"):
                return


class PausingSteering(loopback.LineSteering):
    """The process is paused for a minute within the last check."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__([], loopback.service())
        self.clock = clock

    def check(self, reservation: Reservation) -> None:
        self.clock.advance(60.0)


class DescribingSteering(loopback.LineSteering):
    """Tells targets by which slot they are sent a request."""

    def describe(self, reservation: Reservation) -> str:
        return f"slot={reservation.target_id}/0"


class PausedClock(SystemClock):
    """A VM that was paused for a while after its last look at the clock."""

    def __init__(self, paused_s: float) -> None:
        self.paused_s = paused_s

    def wall(self) -> float:
        return super().wall() - self.paused_s


class PacedSteering(loopback.LineSteering):
    """Lets each piece go after it was asked for ``asks`` times."""

    def __init__(self, asks: int) -> None:
        super().__init__([], loopback.service())
        self.asks = asks
        self.asked: t.List[int] = []

    def pace(self, reservation: Reservation, size: int) -> float:
        self.asked.append(size)
        return 0.0 if len(self.asked) % self.asks == 0 else math.inf


class StoppingSteering(loopback.LineSteering):
    """Steering of a process that is told to stop as a request is about to be sent."""

    def __init__(self, stop_admission: StopAdmission) -> None:
        super().__init__([], loopback.service())
        self._stop_admission = stop_admission

    def check(self, reservation: Reservation) -> None:
        self._stop_admission.shutdown.begin_now()


class Case(unittest.IsolatedAsyncioTestCase):
    """Gives an upstream over a steering that keeps results."""

    async def asyncSetUp(self) -> None:
        self.steering = loopback.LineSteering([], loopback.service())
        self.upstream = Upstream(self.steering, loopback.make_stop_admission(CLOCK), CLOCK)
        self.addAsyncCleanup(self.upstream.close)

    async def send(
        self,
        address: str,
        method: str = "GET",
        body: t.Union[bytes, RequestBody, None] = None,
        seconds: float = 5.0,
        connections: int = 100,
        clock: Clock = CLOCK,
    ) -> Exchange:
        self.steering.addresses = [address]
        reservation = await self.steering.reserve(
            loopback.PARTNER, loopback.SERVICE, tried=(), deadline=0.0, body_bytes=0
        )
        limited = Reservation(
            partner=reservation.partner,
            service=reservation.service,
            target_id=reservation.target_id,
            region=reservation.region,
            address=address,
            connections=connections,
        )
        request = TargetRequest(method, "/x", [("idempotency-key", "k")], body)
        deadline = clock.monotonic() + seconds
        return await self.upstream.exchange(limited, request, deadline)

    async def ask(self, address: str, method: str = "GET", **options: t.Any) -> bytes:
        exchange = await self.send(address, method, **options)
        return await exchange.read(MOST)


class TestEvidence(Case):
    """An exchange that fails says what is known of the request."""

    @parameterized.expand(
        [
            ("no_answer", None, TargetUnknownError, FAILED),
            ("short_of_length", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", None, FAILED),
            (
                "no_last_chunk",
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
                None,
                FAILED,
            ),
            ("no_length", b"HTTP/1.1 200 OK\r\n\r\nok", TargetUnknownError, FAILED),
            ("not_http", b"SSH-2.0\r\n\r\n", TargetUnknownError, FAILED),
            (
                "shed",
                b"HTTP/1.1 503 Busy\r\nOutcome: not-run\r\nLoad: 6/6\r\nContent-Length: 0\r\n\r\n",
                TargetNotRunError,
                NOT_RUN,
            ),
            (
                "own_word_unknown",
                b"HTTP/1.1 504 Late\r\nOutcome: unknown\r\nContent-Length: 0\r\n\r\n",
                TargetTimeoutError,
                FAILED,
            ),
        ]
    )
    async def test_answer(
        self,
        _: str,
        answer: t.Optional[bytes],
        expected: t.Optional[t.Type[TargetError]],
        result: AttemptResult,
    ) -> None:
        script = Script(answer)
        async with loopback.raw_target(script) as address:
            with self.assertRaises(expected or TargetUnknownError):
                await self.ask(address, "POST")
        self.assertEqual(self.steering.results, [result])
        self.assertEqual(len(script.requests), 1)

    async def test_load_of_a_target_that_sheds_is_passed_on(self) -> None:
        shed = b"HTTP/1.1 503 Busy\r\nOutcome: not-run\r\nLoad: 6/6\r\nContent-Length: 0\r\n\r\n"
        async with loopback.raw_target(Script(shed)) as address:
            with self.assertRaises(TargetNotRunError):
                await self.ask(address)
        self.assertEqual(self.steering.loads, ["6/6"])

    @parameterized.expand(
        [
            ("of which a part has come", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"),
            ("of which all has come", OK),
        ]
    )
    async def test_time_that_is_over_as_an_answer_comes(self, _name: str, answer: bytes) -> None:
        """So it is after a pause of the process: the head and the timer are found together."""
        read = ResponseHandler.read

        async def read_and_expire(handler: ResponseHandler) -> t.Any:
            message = await read(handler)
            for exchange in list(self.upstream._exchanges):
                exchange._expire()
            return message

        async def stall(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
            await reader.read()

        with mock.patch.object(ResponseHandler, "read", read_and_expire):
            async with loopback.raw_target(stall) as address:
                async with asyncio.timeout(5.0):
                    with self.assertRaises(TargetTimeoutError):
                        await self.ask(address, "POST")
        self.assertEqual([FAILED], self.steering.results)

    async def test_refused_connection(self) -> None:
        with self.assertRaises(TargetNotRunError):
            await self.ask("127.0.0.1:1", "POST")
        self.assertEqual(self.steering.results, [NOT_RUN])

    async def test_lapsed_lease_sends_nothing(self) -> None:
        script = Script(OK)
        self.steering.lapsed = True
        async with loopback.raw_target(script) as address:
            with self.assertRaises(RefusedError):
                await self.ask(address, "POST")
            await asyncio.sleep(0.01)
        self.assertEqual((script.requests, self.steering.results), ([], [CANCELLED]))

    async def test_passed_deadline_sends_nothing(self) -> None:
        script = Script(OK)
        async with loopback.raw_target(script) as address:
            with self.assertRaises(RefusedError):
                await self.ask(address, "POST", seconds=0.0)
            await asyncio.sleep(0.01)
        self.assertEqual((script.requests, self.steering.results), ([], [CANCELLED]))

    @parameterized.expand([("in_time", 5.0, 1), ("past_the_end", 30.0, 0)])
    async def test_a_stop_after_all_waits_is_found_before_sending(
        self, _: str, seconds: float, sent: int
    ) -> None:
        """A request whose time reached past the end of the process was sent to a target."""
        stop_admission = loopback.make_stop_admission(CLOCK)
        self.steering = StoppingSteering(stop_admission)
        self.upstream = Upstream(self.steering, stop_admission, CLOCK)
        self.addAsyncCleanup(self.upstream.close)
        script = Script(OK)
        async with loopback.raw_target(script) as address:
            if sent:
                await self.ask(address, "POST", seconds=seconds)
            else:
                with self.assertRaises(RefusedError) as caught:
                    await self.ask(address, "POST", seconds=seconds)
                self.assertEqual(caught.exception.fields["reason"], STOPPING)
            await asyncio.sleep(0.01)
        self.assertEqual((len(script.requests), self.steering.in_use), (sent, 0))

    async def test_pause_after_the_check_is_found_before_sending(self) -> None:
        clock = ManualClock()
        self.upstream = Upstream(PausingSteering(clock), loopback.make_stop_admission(clock), clock)
        self.addAsyncCleanup(self.upstream.close)
        script = Script(OK)
        async with loopback.raw_target(script) as address:
            with self.assertRaises(RefusedError):
                await self.ask(address, "POST", clock=clock)
            await asyncio.sleep(0.01)
        self.assertEqual(script.requests, [])

    @parameterized.expand([("paused_past_it", 60.0, False), ("not_paused", 0.0, True)])
    async def test_target_refuses_what_comes_after_its_deadline(
        self, _: str, paused_s: float, runs: bool
    ) -> None:
        clock = PausedClock(paused_s)
        self.upstream = Upstream(self.steering, loopback.make_stop_admission(CLOCK), clock)
        self.addAsyncCleanup(self.upstream.close)
        async with loopback.target() as (address, standin):
            if runs:
                await self.ask(address, "POST", body=b"x")
            else:
                with self.assertRaises(TargetNotRunError):
                    await self.ask(address, "POST", body=b"x")
            self.assertEqual(len(standin.state.effects), int(runs))
            self.assertEqual(standin.state.max_in_flight, int(runs))

    async def test_deadline_goes_to_the_target_and_ends_the_exchange(self) -> None:
        script = Script(OK)
        script.pause.clear()
        async with loopback.raw_target(script) as address:
            with self.assertRaises(TargetTimeoutError):
                await self.ask(address, "POST", seconds=0.1)
        self.assertRegex(script.requests[0], rb"(?i)\r\ndeadline-ms: \d{1,3}\r\n")
        self.assertEqual(self.steering.results, [FAILED])

    @parameterized.expand(
        [("told", DescribingSteering, True), ("not_told", loopback.LineSteering, False)]
    )
    async def test_target_is_told_the_slot(
        self, _: str, make: t.Type[loopback.LineSteering], told: bool
    ) -> None:
        self.steering = make([], loopback.service())
        self.upstream = Upstream(self.steering, loopback.make_stop_admission(CLOCK), CLOCK)
        self.addAsyncCleanup(self.upstream.close)
        script = Script(OK)
        async with loopback.raw_target(script) as address:
            await self.ask(address)
        expected = f"coralfall-slot: slot={address}/0\r\n".encode()
        self.assertEqual(expected in script.requests[0], told)

    async def test_body_that_the_caller_breaks_off(self) -> None:
        async def pieces() -> t.AsyncIterator[bytes]:
            yield b"some"
            raise CallerGoneError("gone")

        body = RequestBody(pieces(), 100_000, MemoryAccount())
        async with loopback.target() as (address, standin):
            with self.assertRaises(TargetUnknownError):
                await self.ask(address, "POST", body=body)
            self.assertEqual(standin.state.effects, [])
        self.assertEqual(self.steering.results, [CANCELLED])

    @parameterized.expand([("allowed", 1), ("waits_for_an_allowance", 2)])
    async def test_bodies_keep_the_pace_of_the_link(self, _: str, asks: int) -> None:
        async def pieces() -> t.AsyncIterator[bytes]:
            for _piece in range(3):
                yield bytes(1000)

        self.steering = steering = PacedSteering(asks)
        self.upstream = Upstream(steering, loopback.make_stop_admission(CLOCK), CLOCK)
        self.addAsyncCleanup(self.upstream.close)
        body = RequestBody(pieces(), 3000, MemoryAccount())
        async with loopback.target() as (address, standin):
            await self.ask(address, "POST", body=body)
            self.assertEqual(standin.state.effects[0].length, 3000)
        self.assertEqual(steering.asked, [1000] * 3 * asks)
        steering.asked.clear()
        async with loopback.target() as (address, standin):
            await self.ask(address, "POST", body=b"short")
        self.assertEqual(steering.asked, [5])

    async def test_target_that_sheds_before_it_read_the_body(self) -> None:
        async def pieces() -> t.AsyncIterator[bytes]:
            for _ in range(1000):
                yield bytes(10_000)

        body = RequestBody(pieces(), 10_000_000, MemoryAccount())
        body.limit = 10_000_000
        async with loopback.target() as (address, standin):
            standin.leaving = True
            with self.assertRaises(TargetNotRunError):
                await self.ask(address, "POST", body=body)
        self.assertEqual(self.steering.results, [NOT_RUN])


class TestConnections(Case):
    """One request, one connection in use at a time, and nothing left over from the last one."""

    @parameterized.expand([("GET",), ("PUT",), ("DELETE",), ("POST",)])
    async def test_kept_connection_closed_upon_a_request(self, method: str) -> None:
        """The request is never sent a second time, not even one that HTTP calls idempotent."""
        script = Script(OK, None, OK)
        async with loopback.raw_target(script) as address:
            self.assertEqual(await self.ask(address), b"ok")
            with self.assertRaises(TargetUnknownError):
                await self.ask(address, method)
        self.assertEqual(len(script.requests), 2)

    @parameterized.expand([("GET", 1), ("POST", 2)])
    async def test_reads_share_a_kept_connection(self, method: str, connections: int) -> None:
        script = Script(OK, OK, OK)
        async with loopback.raw_target(script) as address:
            for _ in range(2):
                self.assertEqual(await self.ask(address, method), b"ok")
        self.assertEqual(script.connections, connections)

    @parameterized.expand([("at_once", 0.0), ("when_idle", 0.02)])
    async def test_answer_that_nobody_asked_for_reaches_nobody(self, _: str, pause: float) -> None:
        connections = 0

        async def twice(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal connections
            connections += 1
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK)
            await asyncio.sleep(pause)
            writer.write(OK.replace(b"ok", b"xx"))
            await reader.readuntil(b"\r\n\r\n")

        async with loopback.raw_target(twice) as address:
            for _ in range(2):
                self.assertEqual(await self.ask(address), b"ok")
                await asyncio.sleep(0.05)
        self.assertEqual(connections, 2)

    async def test_late_answer_after_cancellation_reaches_nobody(self) -> None:
        script = Script(OK.replace(b"ok", b"xx"), OK)
        script.pause.clear()
        async with loopback.raw_target(script) as address:
            late = asyncio.ensure_future(self.ask(address))
            await script.came.acquire()
            late.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await late
            second = asyncio.ensure_future(self.ask(address))
            await asyncio.sleep(0.01)
            script.pause.set()
            self.assertEqual(await second, b"ok")
        self.assertEqual(script.connections, 2)
        self.assertEqual(self.steering.results, [CANCELLED, ANSWERED])

    @parameterized.expand([("one_each", 2, 1), ("some", 10, 5)])
    async def test_limit(self, _: str, connections: int, allowed: int) -> None:
        script = Script(*[OK] * allowed)
        script.pause.clear()
        async with loopback.raw_target(script) as address:
            asked = [
                asyncio.ensure_future(self.ask(address, connections=connections))
                for _ in range(allowed)
            ]
            for _ in range(allowed):
                await script.came.acquire()
            with self.assertRaises(TargetNotRunError):
                await self.ask(address, connections=connections)
            self.assertEqual(self.steering.results, [CANCELLED])
            script.pause.set()
            self.assertEqual(await asyncio.gather(*asked), [b"ok"] * allowed)
            script.answers.append(OK)
            self.assertEqual(await self.ask(address, connections=connections), b"ok")
        self.assertEqual(script.connections, allowed)


if __name__ == "__main__":
    unittest.main()


class EndlessAnswerTest(Case):
    """Targets that send bytes without end in a part of an answer that is no body."""

    @parameterized.expand(
        [one for one in ENDLESS_ANSWERS if one[0] not in ("body with a length", "chunks")]
    )
    async def test_answer_without_end_is_cut_off(
        self, _name: str, start: bytes, piece: bytes
    ) -> None:
        async with EndlessTarget(start, piece) as target:
            with self.assertRaises(TargetUnknownError) as caught:
                async with asyncio.timeout(20.0):
                    exchange = await self.send(target.address, seconds=10.0)
                    while await exchange.piece():
                        continue
            self.assertNotIsInstance(caught.exception, TargetTimeoutError)
            self.assertLess(target.sent, ENDLESS)

    async def test_interim_answers_and_tiny_chunks_pass(self) -> None:
        interim = b"HTTP/1.1 100 Continue\r\n\r\n" * 20
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        body = b"1;x=y\r\na\r\n" * 30_000 + b"0\r\n\r\n"
        async with loopback.raw_target(Script(interim + head + body)) as address:
            self.assertEqual(b"a" * 30_000, await self.ask(address))
