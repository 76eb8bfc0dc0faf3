"""The callers' port: what is refused reaches its caller, whatever the caller was sending."""

import typing as t
import unittest

import aiohttp
from parameterized import parameterized

from tests import loopback

SMALL = b"x" * 100
LARGE = b"x" * 3_000_000
TIMES = 8


class TestRefusalsWithBodies(unittest.IsolatedAsyncioTestCase):
    @parameterized.expand(
        [
            ("unknown_path", "/x", LARGE, {}, 404, True),
            ("unknown_service", "/calor/nobody/x", LARGE, {}, 404, True),
            ("too_long", "/calor/mando/x", LARGE, {}, 413, True),
            ("bad_deadline", "/calor/mando/x", LARGE, {"coralfall-deadline-ms": "x"}, 400, True),
            ("no_slot", "/calor/mando/x", SMALL, {}, 503, False),
        ]
    )
    async def test_each_gets_its_answer(
        self,
        _: str,
        path: str,
        body: bytes,
        headers: t.Dict[str, str],
        status: int,
        closes: bool,
    ) -> None:
        rules = loopback.service(max_body_bytes=1_000_000)
        async with loopback.entry([], rules) as entry, aiohttp.ClientSession() as session:
            for _time in range(TIMES):
                url = f"http://{entry.address}{path}"
                async with session.post(url, data=body, headers=headers) as answer:
                    told = await answer.json()
                    self.assertEqual(answer.status, status, told)
                    self.assertEqual(answer.headers["coralfall-outcome"], "not-run")
                    self.assertEqual(answer.headers.get("connection") == "close", closes)
