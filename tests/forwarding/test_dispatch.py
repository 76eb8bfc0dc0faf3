"""Tests of the request path, from a caller's connection to targets and back."""

import asyncio
import hashlib
import io
import json
import typing as t
import unittest

import aiohttp
from parameterized import parameterized

from coralfall.balancing.steering import AttemptResult
from coralfall.defaults import MAX_BUFFERED_ANSWER_BYTES
from coralfall.ids import Outcome
from coralfall.process.clock import SystemClock
from coralfall.standins.standin_target import Faults, pattern
from coralfall.stores.memory_platform import FaultMode, ServiceFault
from tests import loopback

ANSWERED = AttemptResult.ANSWERED
NOT_RUN = AttemptResult.NOT_RUN
FAILED = AttemptResult.FAILED
SHORT = 1000
LONG = 3_000_000
DEADLINE = "coralfall-deadline-ms"
KEY = "idempotency-key"
REPEATED = "header-repeated"


class Got(t.NamedTuple):
    """What a caller got."""

    status: int
    headers: t.Mapping[str, str]
    body: bytes

    @property
    def outcome(self) -> t.Optional[str]:
        return self.headers.get("coralfall-outcome")


async def ask(address: str, method: str, path: str, **options: t.Any) -> Got:
    """One request on a connection of its own."""
    async with (
        aiohttp.ClientSession(auto_decompress=False) as session,
        session.request(method, f"http://{address}{path}", **options) as response,
    ):
        return Got(response.status, response.headers, await response.read())


class TestWholeAnswers(unittest.IsolatedAsyncioTestCase):
    """A caller gets the whole answer to its own request."""

    @parameterized.expand(
        [
            ("short", SHORT, ""),
            ("short_chunked", SHORT, "&chunked=1"),
            ("long", LONG, ""),
            ("long_chunked", LONG, "&chunked=1"),
            ("empty", 0, ""),
        ]
    )
    async def test_read(self, _: str, size: int, extra: str) -> None:
        async with (
            loopback.target() as (address, _standin),
            loopback.entry([address]) as entry,
        ):
            path = f"/calor/mando/a%20b?bytes={size}{extra}"
            got = await ask(entry.address, "GET", path)
            self.assertEqual(got.body, pattern("/a b", size))
            self.assertEqual((got.status, got.outcome), (200, "done"))
            self.assertEqual(got.headers["coralfall-version"], "7")
            self.assertEqual(entry.steering.results, [ANSWERED])
            self.assertEqual(entry.steering.loads, ["1/6"])
            self.assertEqual(entry.observed, [(loopback.SERVICE, Outcome.DONE, True)])
            short = size <= MAX_BUFFERED_ANSWER_BYTES
            self.assertEqual("content-length" in got.headers, short or not extra)

    @parameterized.expand([("short", SHORT, False), ("long", LONG, False), ("chunked", LONG, True)])
    async def test_upload(self, _: str, size: int, chunked: bool) -> None:
        body = pattern("upload", size)

        async def pieces() -> t.AsyncIterator[bytes]:
            for start in range(0, size, 70_000):
                yield body[start : start + 70_000]

        async with (
            loopback.target() as (address, standin),
            loopback.entry([address]) as entry,
        ):
            data = pieces() if chunked else io.BytesIO(body)
            got = await ask(entry.address, "POST", "/calor/mando/plan", data=data)
            receipt = json.loads(got.body)
            self.assertEqual(receipt["sha256"], hashlib.sha256(body).hexdigest())
            self.assertEqual(len(standin.state.effects), 1)

    async def test_answers_out_of_order_reach_their_own_callers(self) -> None:
        async with (
            loopback.target(slots=20, service_ms=20.0) as (address, _standin),
            loopback.entry([address]) as entry,
        ):
            paths = [f"/calor/mando/{index}?bytes={SHORT}" for index in range(20)]
            asked = [ask(entry.address, "GET", path) for path in paths]
            for index, got in enumerate(await asyncio.gather(*asked)):
                self.assertEqual(got.body, pattern(f"/{index}", SHORT))


class TestFailures(unittest.IsolatedAsyncioTestCase):
    """What a caller is told when its first target fails, and what the second one gets."""

    @parameterized.expand(
        [
            # fault, method, status, outcome, results, effects at first and second target
            ("close", "GET", 200, "done", [FAILED, ANSWERED], 0, 0),
            ("close", "POST", 502, "unknown", [FAILED], 0, 0),
            ("close", "PUT", 502, "unknown", [FAILED], 0, 0),
            ("close-after", "GET", 200, "done", [FAILED, ANSWERED], 0, 0),
            ("close-after", "POST", 502, "unknown", [FAILED], 1, 0),
            ("break", "GET", 200, "done", [FAILED, ANSWERED], 0, 0),
            ("break", "DELETE", 502, "unknown", [FAILED], 1, 0),
            ("hang", "POST", 504, "unknown", [FAILED], 1, 0),
            ("hang", "GET", 504, "unknown", [FAILED], 0, 0),
            ("shed", "GET", 200, "done", [NOT_RUN, ANSWERED], 0, 0),
            ("shed", "POST", 200, "done", [NOT_RUN, ANSWERED], 0, 1),
            ("refuse", "GET", 200, "done", [NOT_RUN, ANSWERED], 0, 0),
            ("refuse", "POST", 200, "done", [NOT_RUN, ANSWERED], 0, 1),
        ]
    )
    async def test_first_target_fails(
        self,
        fault: str,
        method: str,
        status: int,
        outcome: str,
        results: t.List[AttemptResult],
        first_effects: int,
        second_effects: int,
    ) -> None:
        async with loopback.target() as (bad, first), loopback.target() as (good, second):
            if fault == "shed":
                first.leaving = True
            elif fault == "refuse":
                bad = "127.0.0.1:1"
            else:
                first.faults = Faults(work=fault)  # type: ignore[arg-type]
            rules = loopback.service(timeout_ms=300 if fault == "hang" else 10_000)
            async with loopback.entry([bad, good], rules) as entry:
                path = f"/calor/mando/x?bytes={SHORT}"
                got = await ask(entry.address, method, path)
                self.assertEqual((got.status, got.outcome), (status, outcome))
                self.assertEqual(entry.steering.results, results)
                self.assertEqual(len(first.state.effects), first_effects)
                self.assertEqual(len(second.state.effects), second_effects)
                self.assertEqual(entry.steering.in_use, 0)

    @parameterized.expand([("length", ""), ("chunked", "&chunked=1")])
    async def test_long_answer_that_breaks_is_seen_as_broken(self, _: str, extra: str) -> None:
        async with loopback.target() as (address, standin), loopback.entry([address]) as entry:
            standin.faults = Faults(work="break")
            with self.assertRaises(aiohttp.ClientPayloadError):
                await ask(entry.address, "GET", f"/calor/mando/x?bytes={LONG}{extra}")
            self.assertEqual(entry.steering.results, [FAILED])
            self.assertEqual(entry.observed, [(loopback.SERVICE, Outcome.DONE, False)])

    async def test_long_answer_of_unknown_length_to_an_old_caller(self) -> None:
        """HTTP/1.0 ends such an answer by closing, which looks the same when it breaks."""
        async with loopback.target() as (address, _standin), loopback.entry([address]) as entry:
            reader, writer = await connect(entry.address)
            writer.write(f"GET /calor/mando/x?bytes={LONG}&chunked=1 HTTP/1.0\r\n\r\n".encode())
            self.assertIn(b" 505 ", await reader.readline())
            writer.close()

    async def test_upload_that_was_not_begun_goes_to_the_next_target(self) -> None:
        async with (
            loopback.target() as (address, standin),
            loopback.entry(["127.0.0.1:1", address]) as entry,
        ):
            body = io.BytesIO(bytes(LONG))
            got = await ask(entry.address, "POST", "/calor/mando/x", data=body)
            self.assertEqual((got.status, standin.state.effects[0].length), (200, LONG))
            self.assertEqual(entry.steering.results, [NOT_RUN, ANSWERED])

    @parameterized.expand([("no_budget", 0, 1), ("one_retry", 1, 2), ("all", 9, 3)])
    async def test_retries_are_bounded(self, _: str, retries: int, attempts: int) -> None:
        dead = [f"127.0.0.1:{port}" for port in range(1, 6)]
        async with loopback.entry(dead, retries=retries) as entry:
            got = await ask(entry.address, "GET", "/calor/mando/x")
            self.assertEqual((got.status, got.outcome), (503, "not-run"))
            self.assertEqual(entry.steering.results, [NOT_RUN] * attempts)
            self.assertEqual(entry.budget.requests, 1)

    async def test_read_that_may_have_run_stays_unknown(self) -> None:
        async with loopback.target() as (address, standin):
            standin.faults = Faults(work="close")
            async with loopback.entry([address, "127.0.0.1:1"]) as entry:
                got = await ask(entry.address, "GET", "/calor/mando/x")
                self.assertEqual((got.status, got.outcome), (502, "unknown"))
                self.assertEqual(entry.steering.results, [FAILED, NOT_RUN])

    async def test_read_that_hangs_is_answered_by_another_target(self) -> None:
        async with (
            loopback.target() as (stuck, first),
            loopback.target() as (address, _second),
            loopback.entry([stuck, address], retries=1) as entry,
            asyncio.timeout(20),
        ):
            async with aiohttp.ClientSession() as session:
                for _ in range(200):
                    async with session.get(f"http://{entry.address}/calor/mando/x") as usual:
                        await usual.read()
            first.faults = Faults(work="hang")
            entry.steering.results.clear()
            got = await ask(entry.address, "GET", "/calor/mando/x")
            self.assertEqual((got.status, got.outcome), (200, "done"))
            await until(lambda: first.state.cancelled == 1)
            self.assertEqual(entry.steering.results, [ANSWERED, AttemptResult.CANCELLED])

    async def test_upload_that_left_is_not_sent_again(self) -> None:
        """A shed upload of which parts are gone can't be given to the next target."""
        async with (
            loopback.target() as (first_address, first),
            loopback.target() as (second_address, second),
            loopback.entry([first_address, second_address]) as entry,
        ):
            first.leaving = True
            got = await ask(entry.address, "POST", "/calor/mando/x", data=io.BytesIO(bytes(LONG)))
            self.assertEqual((got.status, got.outcome), (503, "not-run"))
            self.assertEqual(second.state.effects, [])


class StoppedClock(SystemClock):
    """A clock on which no time passes; its wall clock is that of the VM."""

    def monotonic(self) -> float:
        return 100.0


class TestRefusals(unittest.IsolatedAsyncioTestCase):
    """What is given up gets its final answer at once, with a code and when to come back."""

    @parameterized.expand(
        [
            # method, path, headers, body length, status, code
            ("GET", "/calor", {}, 0, 404, "unknown-path"),
            ("GET", "/calor/", {}, 0, 404, "unknown-path"),
            ("GET", "/calor/other/x", {}, 0, 404, "unknown-service"),
            ("GET", "/cosecha/mando/x", {}, 0, 404, "unknown-service"),
            ("TRACE", "/calor/mando/x", {}, 0, 405, "method"),
            ("POST", "/lookup", {}, 0, 405, "method"),
            ("POST", "/calor/pedidos/x", {}, 0, 400, "key-required"),
            ("POST", "/calor/pedidos/x", {"idempotency-key": ""}, 0, 400, "key"),
            ("POST", "/calor/pedidos/x", {"idempotency-key": "k" * 256}, 0, 400, "key"),
            ("GET", "/calor/mando/x", {"coralfall-deadline-ms": "soon"}, 0, 400, "deadline"),
            ("GET", "/calor/mando/x", {"coralfall-deadline-ms": "-1"}, 0, 400, "deadline"),
            ("GET", "/calor/mando/x", {"coralfall-deadline-ms": "1.5"}, 0, 400, "deadline"),
            ("GET", "/calor/mando/x", {"coralfall-deadline-ms": "0"}, 0, 503, "refused"),
            (
                "GET",
                "/calor/mando/x",
                [(DEADLINE, "5"), (DEADLINE, "6")],
                0,
                400,
                "header-repeated",
            ),
            ("POST", "/calor/pedidos/x", [(KEY, "a"), (KEY, "b")], 0, 400, REPEATED),
            ("POST", "/calor/mando/x", {}, 70_001, 413, "body-too-large"),
            ("PUT", "/calor/mando/x", {}, 100, 503, "refused"),
        ]
    )
    async def test_refusal(
        self,
        method: str,
        path: str,
        headers: t.Any,
        length: int,
        status: int,
        code: str,
    ) -> None:
        rules = loopback.service(max_body_bytes=70_000)
        async with loopback.entry([], rules) as entry:
            got = await ask(entry.address, method, path, headers=headers, data=bytes(length))
            self.assertEqual((got.status, got.outcome), (status, "not-run"))
            told = json.loads(got.body)
            self.assertEqual(told["code"], code)
            self.assertTrue(told["message"])
            known = code not in ("unknown-path", "unknown-service", "method")
            self.assertEqual(len(entry.observed), int(known))

    async def test_lookup_is_told_who_asks(self) -> None:
        async with loopback.entry([]) as entry:
            got = await ask(entry.address, "GET", "/lookup?partner=calor")
            self.assertEqual(got.body, b"partner=calor 127.0.0.1")

    async def test_passed_deadline_takes_no_slot(self) -> None:
        async with loopback.target() as (address, _standin), loopback.entry([address]) as entry:
            headers = {"coralfall-deadline-ms": "0"}
            got = await ask(entry.address, "GET", "/calor/mando/x", headers=headers)
            self.assertEqual((got.status, got.outcome), (503, "not-run"))
            self.assertEqual(entry.steering.results, [])

    @parameterized.expand([("capped", 1000, "60000"), ("own", 60_000, "1000")])
    async def test_deadline_of_caller_and_service(self, _: str, rule: int, header: str) -> None:
        rules = loopback.service(timeout_ms=rule)
        async with (
            loopback.target() as (address, standin),
            # The time until the request is sent does not count, however slow the machine is.
            loopback.entry([address], rules, clock=StoppedClock()) as entry,
            asyncio.timeout(20),
        ):
            standin.faults = Faults(work="hang")
            headers = {"coralfall-deadline-ms": header}
            got = await ask(entry.address, "POST", "/calor/mando/x", headers=headers)
            self.assertEqual((got.status, got.outcome), (504, "unknown"))

    @parameterized.expand([("capped", 100, "60000"), ("own", 60_000, "100")])
    async def test_deadline_that_passes_before_the_request_is_sent(
        self, _: str, rule: int, header: str
    ) -> None:
        rules = loopback.service(timeout_ms=rule)
        async with (
            loopback.target() as (address, standin),
            loopback.entry([address], rules) as entry,
        ):
            entry.steering.wait_s = 0.15
            headers = {"coralfall-deadline-ms": header}
            got = await ask(entry.address, "POST", "/calor/mando/x", headers=headers)
            self.assertEqual((got.status, got.outcome), (503, "not-run"))
            self.assertEqual(standin.state.effects, [])
            self.assertEqual(entry.steering.in_use, 0)

    async def test_refusal_says_when_to_come_back(self) -> None:
        async with loopback.entry([]) as entry:
            got = await ask(entry.address, "GET", "/calor/mando/x")
            self.assertEqual(got.headers["retry-after"], "1")
            self.assertEqual(got.headers["coralfall-retry-after-ms"], "250")

    async def test_lapsed_lease(self) -> None:
        async with loopback.target() as (address, standin), loopback.entry([address]) as entry:
            entry.steering.lapsed = True
            got = await ask(entry.address, "POST", "/calor/mando/x")
            self.assertEqual((got.status, got.outcome), (503, "not-run"))
            self.assertEqual(got.headers["retry-after"], "2")
            self.assertEqual(standin.state.effects, [])

    async def test_too_large_body_is_refused_before_it_is_sent(self) -> None:
        async with loopback.entry([], loopback.service(max_body_bytes=10)) as entry:
            reader, writer = await connect(entry.address)
            head = b"POST /calor/mando/x HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n"
            writer.write(head + b"Expect: 100-continue\r\n\r\n")
            self.assertIn(b" 413 ", await reader.readline())
            writer.close()

    async def test_chunked_body_that_grows_too_large(self) -> None:
        async def pieces() -> t.AsyncIterator[bytes]:
            for _ in range(30):
                yield bytes(10_000)

        rules = loopback.service(max_body_bytes=200_000)
        async with (
            loopback.target() as (address, standin),
            loopback.entry([address], rules) as entry,
        ):
            got = await ask(entry.address, "POST", "/calor/mando/x", data=pieces())
            self.assertEqual((got.status, got.outcome), (413, "unknown"))
            self.assertEqual(standin.state.effects, [])
            self.assertEqual(entry.steering.results, [AttemptResult.CANCELLED])

    async def test_body_that_drips_is_given_up_without_a_slot(self) -> None:
        async with loopback.entry([], loopback.service(timeout_ms=100)) as entry:
            reader, writer = await connect(entry.address)
            writer.write(b"POST /calor/mando/x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n1")
            self.assertIn(b" 408 ", await reader.readline())
            self.assertEqual(entry.steering.results, [])
            writer.close()

    async def test_bytes_held_for_all_requests_are_bounded(self) -> None:
        async with loopback.target() as (address, standin), loopback.entry([address]) as entry:
            entry.memory.take(entry.memory.limit)
            got = await ask(entry.address, "POST", "/calor/mando/x", data=b"1")
            self.assertEqual((got.status, got.outcome), (503, "not-run"))
            entry.memory.give(entry.memory.limit)
            got = await ask(entry.address, "POST", "/calor/mando/x", data=b"1")
            self.assertEqual((got.status, entry.memory.held), (200, 0))
            self.assertEqual(len(standin.state.effects), 1)


class TestKeys(unittest.IsolatedAsyncioTestCase):
    """A command with a key runs at most once, however often it is sent."""

    PATH = "/calor/pedidos/order"

    async def post(self, address: str, key: str = "k1", body: bytes = b"one kit") -> Got:
        return await ask(address, "POST", self.PATH, headers={"idempotency-key": key}, data=body)

    @parameterized.expand([("kept", 100), ("too_long_to_keep", 20_000)])
    async def test_same_command_again(self, _: str, length: int) -> None:
        async with loopback.target() as (address, standin), loopback.entry([address]) as entry:
            standin.receipt_padding = length
            first = await self.post(entry.address)
            again = await self.post(entry.address)
            self.assertEqual((first.status, first.outcome, again.outcome), (200, "done", "done"))
            self.assertEqual(len(standin.state.effects), 1)
            self.assertEqual(standin.state.effects[0].key, "k1")
            if length == 100:
                self.assertEqual((again.status, again.body), (200, first.body))
            else:
                self.assertEqual(json.loads(again.body)["code"], "answer-not-kept")

    async def test_two_at_once(self) -> None:
        async with (
            loopback.target(service_ms=100.0) as (address, standin),
            loopback.entry([address]) as entry,
        ):
            answers = await asyncio.gather(self.post(entry.address), self.post(entry.address))
            told = sorted((got.status, got.outcome) for got in answers)
            self.assertEqual(told, [(200, "done"), (409, "unknown")])
            self.assertEqual(len(standin.state.effects), 1)

    async def test_other_command_under_the_key(self) -> None:
        async with loopback.target() as (address, standin), loopback.entry([address]) as entry:
            await self.post(entry.address)
            other = await self.post(entry.address, body=b"two kits")
            self.assertEqual((other.status, other.outcome), (422, "not-run"))
            self.assertEqual(len(standin.state.effects), 1)

    @parameterized.expand(
        [
            # fault, outcome of the first and the second request, effects in all
            ("close-after", "unknown", "unknown", 1),
            ("close", "unknown", "unknown", 0),
            ("shed", "not-run", "done", 1),
        ]
    )
    async def test_again_after_a_failure(
        self, fault: str, first: str, second: str, effects: int
    ) -> None:
        async with loopback.target() as (address, standin), loopback.entry([address]) as entry:
            if fault == "shed":
                standin.leaving = True
            else:
                standin.faults = Faults(work=fault)  # type: ignore[arg-type]
            got = await self.post(entry.address)
            self.assertEqual(got.outcome, first)
            standin.leaving = False
            standin.faults = Faults()
            again = await self.post(entry.address)
            self.assertEqual(again.outcome, second)
            self.assertEqual(len(standin.state.effects), effects)

    async def test_request_refused_before_dispatch_leaves_the_key_free(self) -> None:
        async with loopback.target() as (address, _standin), loopback.entry([address]) as entry:
            reader, writer = await connect(entry.address)
            head = b"POST /calor/pedidos/order HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k1\r\n"
            writer.write(head + b"X: \xff\r\nContent-Length: 7\r\n\r\none kit")
            self.assertIn(b" 400 ", await reader.readline())
            writer.close()
            got = await self.post(entry.address)
            self.assertEqual((got.status, got.outcome), (200, "done"))

    async def test_table_down(self) -> None:
        async with loopback.target() as (address, standin), loopback.entry([address]) as entry:
            entry.table.gate.set(ServiceFault(mode=FaultMode.DOWN))
            got = await self.post(entry.address)
            self.assertEqual((got.status, got.outcome), (503, "not-run"))
            self.assertEqual(standin.state.effects, [])


class TestCallerLeaves(unittest.IsolatedAsyncioTestCase):
    """A caller that leaves ends its read, and not its command."""

    async def test_read_is_cancelled(self) -> None:
        async with loopback.target() as (address, standin), loopback.entry([address]) as entry:
            standin.faults = Faults(work="hang")
            _reader, writer = await connect(entry.address)
            writer.write(b"GET /calor/mando/x HTTP/1.1\r\nHost: x\r\n\r\n")
            await until(lambda: standin.state.in_flight == 1)
            writer.close()
            await until(lambda: standin.state.cancelled == 1)
            self.assertEqual(entry.steering.results, [AttemptResult.CANCELLED])

    async def test_long_read_is_cancelled(self) -> None:
        async with loopback.target() as (address, standin), loopback.entry([address]) as entry:
            reader, writer = await connect(entry.address)
            path = f"/calor/mando/x?bytes={10 * LONG}".encode()
            writer.write(b"GET " + path + b" HTTP/1.1\r\nHost: x\r\n\r\n")
            await reader.readexactly(LONG)
            writer.close()
            await until(lambda: standin.state.in_flight == 0)
            self.assertEqual(entry.steering.results, [AttemptResult.CANCELLED])

    async def test_command_goes_on_and_its_answer_is_kept(self) -> None:
        async with (
            loopback.target(service_ms=100.0) as (address, standin),
            loopback.entry([address]) as entry,
        ):
            _reader, writer = await connect(entry.address)
            head = b"POST /calor/pedidos/order HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k1\r\n"
            writer.write(head + b"Content-Length: 7\r\n\r\none kit")
            await until(lambda: standin.state.in_flight == 1)
            writer.close()
            await until(lambda: entry.steering.results == [ANSWERED])
            again = await ask(
                entry.address,
                "POST",
                "/calor/pedidos/order",
                headers={"idempotency-key": "k1"},
                data=b"one kit",
            )
            self.assertEqual((again.status, again.outcome), (200, "done"))
            self.assertEqual(len(standin.state.effects), 1)

    async def test_upload_broken_off_never_runs(self) -> None:
        async with loopback.target() as (address, standin), loopback.entry([address]) as entry:
            _reader, writer = await connect(entry.address)
            head = b"POST /calor/mando/x HTTP/1.1\r\nHost: x\r\nContent-Length: 900000\r\n\r\n"
            writer.write(head + bytes(800_000))
            await until(lambda: standin.state.in_flight == 1)
            writer.close()
            await until(lambda: entry.steering.results == [AttemptResult.CANCELLED])
            await until(lambda: standin.state.in_flight == 0)
            self.assertEqual(standin.state.effects, [])


class TestMemory(unittest.IsolatedAsyncioTestCase):
    """However large a body and however slow its reader, an entry holds little of it."""

    SIZE = 40_000_000
    #: Buffers of the entry and of four sockets on the way, which the kernel sizes.
    MOST = 24_000_000

    async def test_upload_to_a_target_that_does_not_read(self) -> None:
        async def deaf(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await asyncio.Event().wait()

        async with loopback.raw_target(deaf) as address, loopback.entry([address]) as entry:
            _reader, writer = await connect(entry.address)
            head = b"POST /calor/mando/x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
            writer.write(head % self.SIZE)
            sent = await push(writer, self.SIZE)
            self.assertLess(sent, self.MOST)
            writer.transport.abort()

    async def test_answer_to_a_caller_that_does_not_read(self) -> None:
        sent = 0

        async def long(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal sent
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % self.SIZE)
            sent = await push(writer, self.SIZE)

        async with loopback.raw_target(long) as address, loopback.entry([address]) as entry:
            _reader, writer = await connect(entry.address)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(b"GET /calor/mando/x HTTP/1.1\r\nHost: x\r\n\r\n")
            await until(lambda: sent > 0)
            self.assertLess(sent, self.MOST)
            writer.transport.abort()


async def connect(address: str) -> t.Tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A caller's connection without a client library."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def until(condition: t.Callable[[], bool]) -> None:
    """Wait for something that has no event of its own; gives up after a generous time."""
    async with asyncio.timeout(10):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.002)


async def push(writer: asyncio.StreamWriter, size: int) -> int:
    """Write until nobody takes more for a while; the count of bytes taken."""
    sent = 0
    try:
        while sent < size:
            writer.write(bytes(100_000))
            sent += 100_000
            await asyncio.wait_for(writer.drain(), timeout=0.3)
    except TimeoutError:
        pass
    return sent


class TestStop(unittest.IsolatedAsyncioTestCase):
    """Requests at a stopping process were sent to targets though they could outlast it."""

    async def test_refused_before_its_body_has_come(self) -> None:
        async with loopback.target() as (address, standin), loopback.entry([address]) as entry:
            entry.stop_admission.shutdown.grace_s = 2.0
            entry.stop_admission.shutdown.begin_now()
            reader, writer = await connect(entry.address)
            writer.write(b"POST /calor/mando/x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            self.assertIn(b" 503 ", head)
            self.assertIn(b"coralfall-outcome: not-run\r\n", head)
            self.assertIn(b"connection: close\r\n", head)
            self.assertEqual((standin.state.effects, entry.steering.results), ([], []))

    @parameterized.expand([("short", "100", 200), ("long", "5000", 503)])
    async def test_time_that_the_caller_allows_decides(
        self, _: str, deadline: str, status: int
    ) -> None:
        async with loopback.target() as (address, _standin), loopback.entry([address]) as entry:
            entry.stop_admission.shutdown.grace_s = 2.0
            entry.stop_admission.shutdown.begin_now()
            got = await ask(entry.address, "GET", "/calor/mando/x", headers={DEADLINE: deadline})
            self.assertEqual(got.status, status)

    @parameterized.expand(
        [
            ("read", "GET", "mando", None),
            ("command", "POST", "mando", None),
            ("command_with_a_key", "POST", "pedidos", "k1"),
        ]
    )
    async def test_told_to_stop_while_a_request_waits_for_a_slot(
        self, _: str, method: str, service: str, key: t.Optional[str]
    ) -> None:
        async with loopback.target() as (address, standin), loopback.entry([address]) as entry:
            shutdown = entry.stop_admission.shutdown
            shutdown.grace_s = 2.0
            entry.steering.wait_s = 0.05
            entry.steering.waiting = shutdown.begin_now
            headers = {} if key is None else {KEY: key}
            path = f"/calor/{service}/x"
            got = await ask(entry.address, method, path, headers=headers)
            self.assertEqual((got.status, got.outcome), (503, "not-run"))
            self.assertEqual(json.loads(got.body)["reason"], "stopping")
            self.assertEqual((standin.state.effects, standin.state.reads), ([], 0))
            self.assertEqual(entry.steering.in_use, 0)
            if key is None:
                return
            # The key is free again, for an entry that goes on.
            shutdown.grace_s = 60.0
            got = await ask(entry.address, method, path, headers=headers)
            self.assertEqual((got.status, got.outcome), (200, "done"))

    @parameterized.expand([("read", "GET", "mando"), ("command", "POST", "mando")])
    async def test_told_to_stop_before_a_retry(self, _: str, method: str, service: str) -> None:
        async def shed(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            shutdown.begin_now()
            writer.write(b"HTTP/1.1 503 Busy\r\noutcome: not-run\r\ncontent-length: 0\r\n\r\n")
            await writer.drain()

        async with (
            loopback.raw_target(shed) as full,
            loopback.target() as (address, standin),
            loopback.entry([full, address]) as entry,
        ):
            shutdown = entry.stop_admission.shutdown
            shutdown.grace_s = 2.0
            got = await ask(entry.address, method, f"/calor/{service}/x")
            self.assertEqual((got.status, got.outcome), (503, "not-run"))
            self.assertEqual((standin.state.effects, standin.state.reads), ([], 0))
            # No slot is held for it either.
            self.assertEqual((entry.steering.results, entry.steering.in_use), ([NOT_RUN], 0))

    async def test_a_repeat_is_refused_and_gets_the_kept_answer_later(self) -> None:
        async with loopback.target() as (address, standin), loopback.entry([address]) as entry:
            shutdown = entry.stop_admission.shutdown
            headers = {KEY: "k1"}
            first = await ask(entry.address, "POST", "/calor/pedidos/x", headers=headers)
            shutdown.grace_s = 2.0
            shutdown.begin_now()
            refused = await ask(entry.address, "POST", "/calor/pedidos/x", headers=headers)
            self.assertEqual((refused.status, refused.outcome), (503, "not-run"))
            shutdown.grace_s = 60.0
            again = await ask(entry.address, "POST", "/calor/pedidos/x", headers=headers)
            self.assertEqual((again.status, again.body), (200, first.body))
            self.assertEqual(len(standin.state.effects), 1)

    @parameterized.expand([("stopping", 90_000, b" 503 "), ("too_long", 70_000_000, b" 413 ")])
    async def test_a_caller_that_still_sends_its_body_sees_the_refusal(
        self, _: str, length: int, status: bytes
    ) -> None:
        """The connection was reset at once, so that the caller's next write failed."""
        async with loopback.target() as (address, _standin), loopback.entry([address]) as entry:
            if b"503" in status:
                entry.stop_admission.shutdown.grace_s = 2.0
                entry.stop_admission.shutdown.begin_now()
            reader, writer = await connect(entry.address)
            head = f"POST /calor/mando/x HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n"
            writer.write(head.encode())
            # The answer has been sent by then.
            await asyncio.sleep(0.1)
            for _ in range(9):
                writer.write(b"y" * 10_000)
                await writer.drain()
                await asyncio.sleep(0.01)
            answer = await reader.read()
            writer.close()
            self.assertIn(status, answer.partition(b"\r\n")[0])


if __name__ == "__main__":
    unittest.main()
