"""Tests of requests that wait in a real entry when it is told to stop."""

import asyncio
import signal
import time
import typing as t
import unittest

from parameterized import parameterized

from tests.platform_adapter.standins import InstanceStandin
from tests.platform_adapter.test_processes import Installation, run_scenario

_HEAD = (
    b"POST /p/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id1\r\n"
    b"X-Request-Deadline: 9000\r\nContent-Length: 900000\r\n\r\n"
)


class WaitingAtStopTest(unittest.TestCase):
    @parameterized.expand([("stalls", 0), ("goes on", 1000)])
    def test_a_body_that_comes_too_late_to_be_served_is_not_awaited(
        self, _name: str, piece_bytes: int
    ) -> None:
        """The caller learnt only at the end of the grace that it has to ask another entry."""

        async def scenario(installation: Installation, _instances: t.List[InstanceStandin]) -> None:
            entry = installation.entries[0]
            reader, writer = await asyncio.open_connection("127.0.0.1", entry.ports["caller"])
            writer.write(_HEAD + b"part")

            async def go_on() -> None:
                while piece_bytes:
                    writer.write(bytes(piece_bytes))
                    await asyncio.sleep(0.01)

            sending = asyncio.create_task(go_on())
            await asyncio.sleep(0.5)
            told_at = time.monotonic()
            entry.signal(signal.SIGTERM)
            async with asyncio.timeout(10.0):
                answer = await reader.readuntil(b"\r\n\r\n")
            took_s = time.monotonic() - told_at
            sending.cancel()
            writer.close()
            status = await entry.wait_ended()
            log = entry.log.read_text()
            self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
            self.assertLess(took_s, 2.0, log)
            self.assertIn("reason=stopping", log)
            self.assertEqual(0, status, log)

        route = {"kind": "unsafe", "timeoutS": 9.0, "maxAttempts": 1}
        run_scenario(scenario, entries=1, route=route)
