"""Tests of the example client: its retry rules against scripted entries, and a running system."""

import asyncio
import importlib.util
import json
import signal
import typing as t
import unittest
from unittest import mock

import aiohttp
from aiohttp import web
from parameterized import parameterized

from coralfall.standins.standin_target import pattern
from tests import test_processes
from tests.processes import ROOT

SPEC = importlib.util.spec_from_file_location("example_client", ROOT / "examples" / "client.py")
assert SPEC is not None and SPEC.loader is not None
example: t.Any = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(example)

#: Status, outcome and whether there is a time to come back; ``None`` cuts the connection.
Step = t.Optional[t.Tuple[int, str, bool]]
DONE: Step = (200, "done", False)
FULL: Step = (503, "not-run", True)
WRONG: Step = (400, "not-run", False)
BUSY: Step = (409, "unknown", True)
KEY_UNKNOWN: Step = (409, "unknown", False)
BROKEN: Step = (502, "unknown", False)
KEPT_NOT: Step = (409, "done", False)
CUT: Step = None


class ScriptedEntries:
    """Two entries that answer requests by one script, and note what they are sent."""

    def __init__(self, steps: t.Sequence[Step]) -> None:
        self._steps = list(steps)
        self.addresses: t.List[str] = []
        self.seen: t.List[t.Tuple[str, t.Optional[str], bytes]] = []
        self._runners: t.List[web.AppRunner] = []

    async def start(self) -> None:
        for _ in range(2):
            app = web.Application()
            app.router.add_get("/lookup", self._look_up)
            app.router.add_route("*", "/{path:.*}", self._serve)
            runner = web.AppRunner(app)
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            self._runners.append(runner)
            self.addresses.append(f"127.0.0.1:{runner.addresses[0][1]}")

    async def stop(self) -> None:
        for runner in self._runners:
            await runner.cleanup()

    async def _look_up(self, request: web.Request) -> web.Response:
        return web.json_response({"entries": self.addresses, "ttl_s": 60.0})

    async def _serve(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.seen.append((request.host, request.headers.get("idempotency-key"), body))
        step = self._steps.pop(0)
        if step is None:
            assert request.transport is not None
            request.transport.abort()
            return web.Response()
        status, outcome, come_back = step
        headers = {"coralfall-outcome": outcome}
        if come_back:
            headers["coralfall-retry-after-ms"] = "1"
        return web.Response(status=status, headers=headers, text=outcome)


class RetryTest(unittest.IsolatedAsyncioTestCase):
    @parameterized.expand(
        [
            ("done", "POST", [DONE], ("done", 200)),
            ("refused, then done", "POST", [FULL, DONE], ("done", 200)),
            ("own fault", "POST", [WRONG], ("not-run", 400)),
            ("busy, then done", "POST", [BUSY, DONE], ("done", 200)),
            ("key stays unknown", "POST", [KEY_UNKNOWN], ("unknown", 409)),
            ("broken, told by its key", "POST", [BROKEN, KEY_UNKNOWN], ("unknown", 409)),
            ("lost, had run", "POST", [CUT, DONE], ("done", 200)),
            ("lost, then wrong", "POST", [CUT, WRONG], ("unknown", 400)),
            ("ran, answer too long", "POST", [CUT, KEPT_NOT], ("done", 409)),
            ("read broken", "GET", [BROKEN, DONE], ("done", 200)),
            ("read refused", "GET", [FULL, FULL, DONE], ("done", 200)),
        ]
    )
    async def test_outcome(
        self, _name: str, method: str, steps: t.Sequence[Step], expected: t.Tuple[str, int]
    ) -> None:
        entries = ScriptedEntries(steps)
        await entries.start()
        self.addAsyncCleanup(entries.stop)
        async with example.new_session() as session:
            client = example.Client(session, "cosecha", list(entries.addresses))
            with mock.patch.multiple(example, PAUSE_S=0.001, LOST=self._lost()):
                if method == "GET":
                    reply = await client.read("catalogo", "x")
                else:
                    reply = await client.command("pedidos", "x", b"2 kits", "k1")
        self.assertEqual(expected, (reply.outcome, reply.status))
        hosts = [entries.addresses[number % 2] for number in range(len(steps))]
        self.assertEqual(hosts, [host for host, _, _ in entries.seen])
        if method == "POST":
            self.assertEqual({("k1", b"2 kits")}, {(key, body) for _, key, body in entries.seen})

    def _lost(self) -> t.Any:
        return example.LOST._replace(retry_after_s=0.001)


class RunningSystemTest(test_processes.ProcessCase):
    async def test_an_order_runs_once_though_its_entry_dies(self) -> None:
        addresses = [self.fleet.address_by_name[entry] for entry in test_processes.ENTRIES]
        async with example.new_session() as session:
            client = example.Client(session, "cosecha", addresses)
            menu = await client.read("catalogo", "menu?bytes=5000")
            self.assertEqual(("done", pattern("/menu", 5000)), (menu.outcome, menu.body))
            first = await client.command("pedidos", "orders", b"2 kits", "order-1")
            self.assertEqual("done", first.outcome)
            self.fleet.signal(await self._first_entry(session), signal.SIGKILL)
            again = await client.command("pedidos", "orders", b"2 kits", "order-1")
            more = await client.command("pedidos", "orders", b"3 kits", "order-2")
        self.assertEqual(("done", "done"), (again.outcome, more.outcome))
        self.assertEqual(json.loads(first.body), json.loads(again.body))
        effects = []
        for target in ("pedidos-1", "pedidos-2"):
            effects += (await self.fleet.effects(self.session, target))["effects"]
        self.assertEqual(2, len(effects), effects)

    async def _first_entry(self, session: aiohttp.ClientSession) -> str:
        """Name of the entry that the client uses first, after its answer had time to be kept."""
        await asyncio.sleep(1.0)
        url = f"http://{self.fleet.address_by_name['e1']}/lookup?partner=cosecha"
        async with session.get(url) as answer:
            first = (await answer.json())["entries"][0]
        names = {self.fleet.address_by_name[name]: name for name in test_processes.ENTRIES}
        return names[first]
