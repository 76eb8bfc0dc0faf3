"""Tests of `coralfall entry` processes that are told to stop while requests come that take long."""

import asyncio
import contextlib
import pathlib
import signal
import tempfile
import time
import typing as t
import unittest

import aiohttp
from parameterized import parameterized

from tests.processes import Fleet

TARGETS = ("catalogo-1", "catalogo-2", "pedidos-1", "pedidos-2", "acopio-1", "acopio-2")
_TIME_LIMIT_S = 3.2
_SERVICE_TIME_S = 2.6
_GRACE_S = 6.0
_CALLERS = 12
#: Seconds from the signal to the first and the last request.
_WAKES_S = (0.1, 3.9)
_READ_S = 12.0


class KeptCaller:
    """A caller with one connection, which it keeps.

    :param number: distinguishes its requests.
    """

    def __init__(self, fleet: Fleet, service: str, number: int) -> None:
        self._fleet = fleet
        self._service = service
        self._number = number
        self._sent = 0
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=1))

    async def send(self, body_s: float = 0.0) -> t.Tuple[str, int, str]:
        """Sends a command; returns its path, and status and outcome of its whole answer.

        :param body_s: seconds that it takes to send the body.
        """
        self._sent += 1
        path = f"c{self._number}-{self._sent}"
        headers = {"idempotency-key": path} if self._service == "pedidos" else {}
        url = self._fleet.url("e1", self._service, path)
        try:
            async with asyncio.timeout(_READ_S):
                async with self._session.post(
                    url, data=self._body(path, body_s), headers=headers
                ) as answer:
                    await answer.read()
                    return f"/{path}", answer.status, answer.headers["coralfall-outcome"]
        except (aiohttp.ClientError, TimeoutError) as error:
            return f"/{path}", 0, repr(error)

    async def _body(self, path: str, body_s: float) -> t.AsyncIterator[bytes]:
        yield path.encode()
        await asyncio.sleep(body_s)
        yield b"."

    async def close(self) -> None:
        await self._session.close()


class EntryStopTest(unittest.IsolatedAsyncioTestCase):
    """Starts platform, targets and one entry, with a bundle in force."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = Fleet(pathlib.Path(folder.name))
        self.addCleanup(self.fleet.close)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.fleet.slots = _CALLERS * 2
        self.fleet.timeout_ms = int(_TIME_LIMIT_S * 1000)
        self.fleet.grace_s = _GRACE_S
        self.fleet.start_platform()
        for target in TARGETS:
            self.fleet.start_target(target)
        await self.fleet.up(self.session, "platform", "/vms")
        await self.fleet.set_vms(self.session, "e1")
        self.fleet.start_entry("e1")
        for name in (*TARGETS, "e1"):
            await self.fleet.up(self.session, name)
        self.fleet.roll_out()
        await self.fleet.ready(self.session, "e1")

    async def set_service_time(self, seconds: float) -> None:
        """Makes all targets take that long for each request."""
        for target in TARGETS:
            url = f"http://{self.fleet.address_by_name[target]}/faults"
            async with self.session.post(url, json={"slow_ms": seconds * 1000}) as answer:
                self.assertEqual(answer.status, 200)

    async def begun(self) -> t.Set[str]:
        """Paths of the commands that targets began to run."""
        paths = set()
        for target in TARGETS:
            for effect in (await self.fleet.effects(self.session, target))["effects"]:
                paths.add(effect["path"])
        return paths

    async def runs_something(self) -> bool:
        """Whether any target runs a request."""
        for target in TARGETS:
            if (await self.fleet.effects(self.session, target))["in_flight"]:
                return True
        return False

    async def kill_at(self, told_at: float) -> None:
        """Ends the entry as a service manager does once the grace is over."""
        with contextlib.suppress(ProcessLookupError):
            await asyncio.sleep(told_at + _GRACE_S - time.monotonic())
            self.fleet.signal("e1", signal.SIGKILL)

    @parameterized.expand(
        [
            ("requests", "acopio", 0.0),
            ("bodies that take time", "acopio", 0.4),
            ("with keys", "pedidos", 0.0),
        ]
    )
    async def test_what_a_stopping_entry_sends_to_a_target_is_answered(
        self, _name: str, service: str, body_s: float
    ) -> None:
        """Requests were sent to targets though their time reached past the end of the process."""
        callers = [KeptCaller(self.fleet, service, number) for number in range(_CALLERS)]
        for caller in callers:
            self.addAsyncCleanup(caller.close)
            self.assertEqual(200, (await caller.send())[1])
        before = await self.begun()
        await self.set_service_time(_SERVICE_TIME_S)
        told_at = time.monotonic()
        self.fleet.signal("e1", signal.SIGTERM)
        killing = asyncio.create_task(self.kill_at(told_at))
        first_s, last_s = _WAKES_S

        async def wake(caller: KeptCaller, number: int) -> t.Tuple[str, int, str]:
            await asyncio.sleep(first_s + (last_s - first_s) * number / (_CALLERS - 1))
            return await caller.send(body_s)

        waking = [asyncio.create_task(wake(one, n)) for n, one in enumerate(callers)]
        exit_status = await self.fleet.exit_status("e1")
        killing.cancel()
        answer_by_path = {
            path: (status, told) for path, status, told in await asyncio.gather(*waking)
        }
        begun = (await self.begun()) - before
        answered = {path for path, answer in answer_by_path.items() if answer == (200, "done")}
        seen = f"{answer_by_path}\n{self.fleet.log_of('e1')}"
        self.assertEqual(begun, answered, seen)
        # What is sent early enough is served, though the process stops.
        self.assertTrue(begun, seen)
        refused = sum(answer == (503, "not-run") for answer in answer_by_path.values())
        self.assertIn(f" refused={refused} cut_off=0\n", seen)
        self.assertEqual(0, exit_status, seen)

    async def test_ends_before_the_kill_while_the_platform_hangs(self) -> None:
        """Guards against calls to the platform that keep a stopping entry until it is killed."""
        caller = KeptCaller(self.fleet, "pedidos", 0)
        self.addAsyncCleanup(caller.close)
        await self.set_service_time(_SERVICE_TIME_S)
        sending = asyncio.create_task(caller.send())
        await self.fleet.until(self.runs_something, "the command runs")
        self.fleet.signal("platform", signal.SIGSTOP)
        self.fleet.signal("e1", signal.SIGTERM)
        killing = asyncio.create_task(self.kill_at(time.monotonic()))
        exit_status = await self.fleet.exit_status("e1")
        killing.cancel()
        seen = self.fleet.log_of("e1")
        self.assertEqual((await sending)[1:], (200, "done"), seen)
        self.assertEqual(0, exit_status, seen)
        # Its key stays claimed, since the table could not be told.
        self.assertIn("event=claims.unsettled count=1", seen)

    async def test_answers_tell_callers_from_the_signal_on_that_the_connection_ends(self) -> None:
        """Guards against kept connections that end as their callers send commands on them."""
        url = self.fleet.url("e1", "acopio")

        async def closes() -> bool:
            async with self.session.post(url, data=b"x") as answer:
                self.assertEqual(answer.status, 200)
                return answer.headers.get("connection") == "close"

        self.assertFalse(await closes())
        self.fleet.signal("e1", signal.SIGTERM)
        await self.fleet.until(lambda: "entry.leaving" in self.fleet.log_of("e1"), "e1 stops")
        self.assertTrue(await closes())
        self.assertEqual(0, await self.fleet.exit_status("e1"))

    @parameterized.expand([("read", "catalogo", "GET"), ("command with a key", "pedidos", "POST")])
    async def test_what_is_cut_off_is_logged_and_counts_as_unknown(
        self, _name: str, service: str, method: str
    ) -> None:
        """The end of the process cut requests off without a word of them."""
        await self.set_service_time(_GRACE_S * 10)
        self.fleet.timeout_ms = int(_GRACE_S * 5000)
        self.fleet.roll_out()
        url = self.fleet.url("e1", service)
        headers = {"idempotency-key": "k1"}

        async def send() -> t.Tuple[int, str]:
            async with self.session.request(method, url, data=b"x", headers=headers) as answer:
                return answer.status, (await answer.json())["code"]

        sending = asyncio.create_task(send())
        await self.fleet.until(self.runs_something, "the request runs")
        self.fleet.signal("e1", signal.SIGTERM)
        killing = asyncio.create_task(self.kill_at(time.monotonic()))
        exit_status = await self.fleet.exit_status("e1")
        killing.cancel()
        seen = self.fleet.log_of("e1")
        with self.assertRaises(aiohttp.ClientError):
            await sending
        self.assertEqual(0, exit_status, seen)
        self.assertIn(f"event=stop.cut-off partner=cosecha service={service} method={method}", seen)
        self.assertIn(" refused=0 cut_off=1\n", seen)
        if service != "pedidos":
            return
        # An entry that asks the table is told at once that nobody will know.
        self.fleet.start_entry("e1")
        await self.fleet.up(self.session, "e1")

        async def unknown() -> bool:
            return await send() == (409, "claim-unknown")

        await self.fleet.until(unknown, "the key is known to have ended unknown")
