"""Tests of the request path, from a caller's connection to targets and back."""

import asyncio
import hashlib
import io
import json
import typing as t
import unittest

import aiohttp
from parameterized import parameterized

from coralfall.standin_target import Faults, pattern
from coralfall.steering import AttemptResult
from tests import loopback

ANSWERED = AttemptResult.ANSWERED
NOT_RUN = AttemptResult.NOT_RUN
FAILED = AttemptResult.FAILED
SHORT = 1000
LONG = 3_000_000


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
            rules = loopback.service(timeout_ms=300)
            async with loopback.entry([bad, good], rules) as entry:
                path = f"/calor/mando/x?bytes={SHORT}"
                got = await ask(entry.address, method, path)
                self.assertEqual((got.status, got.outcome), (status, outcome))
                self.assertEqual(entry.steering.results, results)
                self.assertEqual(len(first.state.effects), first_effects)
                self.assertEqual(len(second.state.effects), second_effects)
                self.assertEqual(entry.steering.in_use, 0)


if __name__ == "__main__":
    unittest.main()
