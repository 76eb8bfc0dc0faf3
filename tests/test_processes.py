"""The whole path through separate processes, from a signed bundle to an answer."""

import asyncio
import hashlib
import pathlib
import signal
import tempfile
import typing as t
import unittest

import aiohttp

from coralfall.standins.standin_target import pattern
from tests.processes import Fleet

ENTRIES = ("e1", "e2", "e3")
TARGETS = ("catalogo-1", "catalogo-2", "pedidos-1", "pedidos-2", "acopio-1", "acopio-2")
UPLOAD = b"\x5a\xa5 photo of a farm " * 1_000_000


class ProcessCase(unittest.IsolatedAsyncioTestCase):
    """Starts platform, targets and three entries, with a bundle in force."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = Fleet(pathlib.Path(folder.name))
        self.addCleanup(self.fleet.close)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.fleet.start_platform()
        for target in TARGETS:
            self.fleet.start_target(target)
        await self.fleet.up(self.session, "platform", "/vms")
        await self.fleet.set_vms(self.session, *ENTRIES)
        for entry in ENTRIES:
            self.fleet.start_entry(entry)
        for name in (*TARGETS, *ENTRIES):
            await self.fleet.up(self.session, name)
        self.fleet.roll_out()
        for entry in ENTRIES:
            await self.fleet.ready(self.session, entry)

    async def post(
        self, entry: str, service: str, body: bytes, key: t.Optional[str] = None
    ) -> t.Tuple[int, str, t.Any]:
        """Status, outcome and JSON body of the answer to a command."""
        headers = {} if key is None else {"idempotency-key": key}
        url = self.fleet.url(entry, service)
        async with self.session.post(url, data=body, headers=headers) as answer:
            return (
                answer.status,
                answer.headers["coralfall-outcome"],
                await answer.json(content_type=None),
            )


def _family(pid: int) -> t.Tuple[int, str]:
    """Number of a process's threads, and its children."""
    threads = list(pathlib.Path(f"/proc/{pid}/task").iterdir())
    return len(threads), (threads[0] / "children").read_text()


class TestWholePath(ProcessCase):
    async def test_serves_what_a_bundle_states(self) -> None:
        for entry in ENTRIES:
            url = self.fleet.url(entry, "catalogo", "menu?bytes=5000")
            async with self.session.get(url) as answer:
                self.assertEqual(answer.status, 200)
                self.assertEqual(answer.headers["coralfall-version"], "1")
                self.assertEqual(await answer.read(), pattern("/menu", 5000))
        status, outcome, receipt = await self.post("e1", "pedidos", b"2 kits", "order-1")
        self.assertEqual((status, outcome), (200, "done"))
        self.assertEqual(receipt["sha256"], hashlib.sha256(b"2 kits").hexdigest())
        status, outcome, receipt = await self.post("e2", "acopio", UPLOAD)
        self.assertEqual((status, outcome), (200, "done"))
        self.assertEqual(receipt["sha256"], hashlib.sha256(UPLOAD).hexdigest())
        status, outcome, refusal = await self.post("e3", "pedidos", b"2 kits")
        self.assertEqual((status, outcome, refusal["code"]), (400, "not-run", "key-required"))

        self.assertIn(b"coralfall-outcome: not-run\r\n", await self._malformed("e1"))

    async def _malformed(self, entry: str) -> bytes:
        """Head of the answer to a request that breaks HTTP."""
        host, _, port = self.fleet.address_by_name[entry].partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /cosecha/catalogo/menu HTTP/1.1\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return head

    async def test_each_process_has_one_thread_and_no_child(self) -> None:
        for name, process in self.fleet.process_by_name.items():
            threads, children = _family(process.pid)
            self.assertEqual((threads, children), (1, ""), name)

    async def test_look_up_names_the_entries(self) -> None:
        expected = {self.fleet.address_by_name[entry] for entry in ENTRIES}
        for entry in ENTRIES:
            url = f"http://{self.fleet.address_by_name[entry]}/lookup"
            query = {"partner": "cosecha", "address": "192.0.2.7"}
            async with self.session.get(url, params=query) as answer:
                found = await answer.json(content_type=None)
            self.assertEqual(set(found["entries"]), expected)
            self.assertEqual(found["version"], 1)


class TestGracefulStop(ProcessCase):
    async def test_term_of_an_entry_cuts_off_nothing(self) -> None:
        stop = asyncio.Event()
        failures: t.List[str] = []
        served = [0]

        async def call() -> None:
            number = 0
            while not stop.is_set():
                number += 1
                path = f"reading-{number}"
                url = self.fleet.url("e1", "catalogo", f"{path}?bytes=900")
                try:
                    async with self.session.get(url) as answer:
                        body = await answer.read()
                        if answer.status == 503:
                            continue
                        if answer.status != 200 or body != pattern(f"/{path}", 900):
                            failures.append(f"{path}: {answer.status}, {len(body)} bytes")
                        served[0] += 1
                except aiohttp.ClientConnectorError:
                    return
                except aiohttp.ClientError as error:
                    failures.append(f"{path}: {error!r}")

        callers = [asyncio.create_task(call()) for _ in range(4)]
        upload = asyncio.create_task(self.post("e1", "acopio", UPLOAD))
        await self.fleet.until(lambda: served[0] > 20, "reads are served")
        self.fleet.signal("e1", signal.SIGTERM)
        self.assertEqual(await self.fleet.exit_status("e1"), 0)
        stop.set()
        await asyncio.gather(*callers)
        self.assertEqual((failures, self.fleet.unhandled(ENTRIES)), ([], []))
        status, outcome, receipt = await upload
        self.assertEqual((status, outcome), (200, "done"))
        self.assertEqual(receipt["sha256"], hashlib.sha256(UPLOAD).hexdigest())
        url = f"http://{self.fleet.address_by_name['e2']}/lookup?partner=cosecha"
        async with self.session.get(url) as answer:
            named = (await answer.json())["entries"]
        self.assertNotIn(self.fleet.address_by_name["e1"], named)
