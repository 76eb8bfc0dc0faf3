"""The platform over HTTP: what each way of failing becomes on the client's side."""

import asyncio
import socket
import typing as t
import unittest

import aiohttp
from parameterized import parameterized

from coralfall.bundles.bundle import digest_of
from coralfall.exceptions import (
    ObjectMissingError,
    PlatformError,
    PlatformRejectedError,
    PlatformUnavailableError,
    PlatformUnknownError,
)
from coralfall.forwarding.bounded_response import BoundedConnector
from coralfall.ids import Revision, VmId, VmState, ZoneId
from coralfall.process.clock import SystemClock
from coralfall.settings import PlatformSettings
from coralfall.stores.http_platform import HttpPlatform
from coralfall.stores.memory_platform import FaultMode, Faults, ServiceFault
from coralfall.stores.store import Check, Platform, Row, Vm, Write
from tests.platform_server import serve_platform
from tests.traffic.test_endless_answers import ENDLESS, ENDLESS_ANSWERS, MAX_BODY, EndlessTarget

DATA = b"a signed bundle"
DIGEST = digest_of(DATA)


async def _transact(platform: Platform) -> t.Any:
    return await platform.table.transact([Write("a", b"")])


async def _changes(platform: Platform) -> t.Any:
    return await platform.table.changes(["a"], Revision(0))


async def _read(platform: Platform) -> t.Any:
    return await platform.table.read(["a"])


async def _put(platform: Platform) -> t.Any:
    return await platform.objects.put(DIGEST, DATA)


async def _get(platform: Platform) -> t.Any:
    return await platform.objects.get(DIGEST)


async def _list(platform: Platform) -> t.Any:
    return await platform.vms.list()


async def _connect(platform: Platform) -> None:
    """Lists the VMs until that succeeds: a busy machine may take longer than a test's time-out."""
    while True:
        try:
            await _list(platform)
            return
        except PlatformUnavailableError:
            continue


WRITES = [("transact", _transact), ("put", _put)]
READS = [("changes", _changes), ("read", _read), ("get", _get), ("list", _list)]


class TestHttpPlatform(unittest.IsolatedAsyncioTestCase):
    async def test_table(self) -> None:
        async with serve_platform() as served:
            table = served.http.platform.table
            first = await table.transact([Write("a", b"x", Revision(0)), Write("b", b"y")])
            self.assertTrue(first.committed)
            second = await table.transact([Write("c", b"z")], [Check("a", Revision(9))])
            self.assertEqual(second.conflicts, (Row("a", b"x", first.revision),))
            self.assertEqual(await table.read(["a", "c"]), {"a": Row("a", b"x", first.revision)})
            await table.transact([Write("a", None)])
            changes = await table.changes(["a", "b"], Revision(0))
            self.assertEqual([row.value for row in changes.rows], [b"y", None])
            self.assertTrue((await table.changes(["a", "b"], Revision(0), 1)).more)

    async def test_objects(self) -> None:
        async with serve_platform() as served:
            with self.assertRaises(ObjectMissingError):
                await _get(served.http.platform)
            await _put(served.http.platform)
            await _put(served.http.platform)
            self.assertEqual(await _get(served.http.platform), DATA)

    async def test_object_with_other_bytes_is_refused(self) -> None:
        async with serve_platform() as served:
            await served.memory.platform.objects.put(DIGEST, b"others")
            with self.assertRaises(PlatformUnavailableError):
                await _get(served.http.platform)

    async def test_vms(self) -> None:
        vm = Vm(VmId("vm-1"), ZoneId("sierra-a"), VmState.LEAVING)
        async with serve_platform() as served:
            served.memory.set_vm(vm)
            self.assertEqual(await _list(served.http.platform), {vm.vm_id: vm})


class TestFailures(unittest.IsolatedAsyncioTestCase):
    @parameterized.expand(WRITES + READS)
    async def test_refused_connection(self, _name: str, call: t.Any) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = "http://127.0.0.1:%d" % listener.getsockname()[1]
        http = HttpPlatform(PlatformSettings(url=address), SystemClock())
        self.addAsyncCleanup(http.close)
        with self.assertRaises(PlatformUnavailableError):
            await call(http.platform)

    @parameterized.expand(
        [
            (f"{name}, {what}", call, *answer)
            for name, call in WRITES[:1] + READS[:1]
            for what, *answer in ENDLESS_ANSWERS
        ]
    )
    async def test_answer_without_end_fails_before_its_time_limit(
        self, _name: str, call: t.Any, start: bytes, piece: bytes
    ) -> None:
        async with EndlessTarget(start, piece) as store:
            settings = PlatformSettings(url=f"http://{store.address}", timeout_s=60.0)
            http = HttpPlatform(settings, SystemClock(), MAX_BODY, connector_type=BoundedConnector)
            self.addAsyncCleanup(http.close)
            with self.assertRaises(PlatformError):
                async with asyncio.timeout(20.0):
                    await call(http.platform)
            self.assertLess(store.sent, ENDLESS)

    @parameterized.expand(WRITES + READS)
    async def test_down(self, _name: str, call: t.Any) -> None:
        down = ServiceFault(mode=FaultMode.DOWN)
        async with serve_platform() as served:
            served.memory.set_faults(Faults(table=down, objects=down, vms=down))
            with self.assertRaises(PlatformUnavailableError):
                await call(served.http.platform)
            served.memory.set_faults(Faults())
            self.assertEqual(await served.memory.platform.table.read(["a"]), {})

    @parameterized.expand(
        [
            (f"{mode.value} {name}", call, mode, effect)
            for mode, effect in ((FaultMode.ANSWER_LOST, True), (FaultMode.CALL_LOST, False))
            for name, call in WRITES
        ]
    )
    async def test_lost(self, _name: str, call: t.Any, mode: FaultMode, effect: bool) -> None:
        lost = ServiceFault(mode=mode)
        async with serve_platform() as served:
            served.memory.set_faults(Faults(table=lost, objects=lost))
            with self.assertRaises(PlatformUnknownError):
                await call(served.http.platform)
            memory = served.memory
            taken = bool(memory.counters.table_writes and await _read(memory.platform))
            if memory.counters.object_writes:
                taken = DIGEST in memory.platform.objects._data_by_digest  # type: ignore
            self.assertEqual(taken, effect)

    @parameterized.expand(
        [(name, call, PlatformUnknownError) for name, call in WRITES]
        + [(name, call, PlatformUnavailableError) for name, call in READS]
    )
    async def test_no_answer_in_time(self, _name: str, call: t.Any, error: t.Any) -> None:
        slow = ServiceFault(mode=FaultMode.SLOW, delay_s=0.5)
        async with serve_platform(timeout_s=0.2) as served:
            # Connected beforehand, so that only the answer can be late.
            await _connect(served.http.platform)
            served.memory.set_faults(Faults(table=slow, objects=slow, vms=slow))
            with self.assertRaises(error):
                await call(served.http.platform)
            await asyncio.sleep(slow.delay_s)

    @parameterized.expand(
        [(name, call, PlatformUnknownError) for name, call in WRITES]
        + [(name, call, PlatformUnavailableError) for name, call in READS]
    )
    async def test_connection_cut(self, _name: str, call: t.Any, error: t.Any) -> None:
        async def cut(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.close()

        server = await asyncio.start_server(cut, "127.0.0.1", 0)
        url = "http://127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        http = HttpPlatform(PlatformSettings(url=url), SystemClock())
        self.addAsyncCleanup(http.close)
        async with server:
            with self.assertRaises(error):
                await call(http.platform)

    async def test_long_body_is_refused_unwritten(self) -> None:
        async with serve_platform(max_body_bytes=100) as served:
            with self.assertRaisesRegex(PlatformRejectedError, "longer than 100 bytes"):
                await served.http.platform.table.transact([Write("a", b"x" * 200)])
            self.assertEqual(await _read(served.http.platform), {})

    async def test_long_answer_is_refused(self) -> None:
        async with serve_platform() as served:
            await served.memory.platform.table.transact([Write("a", b"x" * 200)])
            small = HttpPlatform(PlatformSettings(url=served.url), SystemClock(), 100)
            self.addAsyncCleanup(small.close)
            with self.assertRaisesRegex(PlatformRejectedError, "longer than 100 bytes"):
                await _changes(small.platform)


class TestControl(unittest.IsolatedAsyncioTestCase):
    async def test_faults_and_counters_in_json(self) -> None:
        async with serve_platform() as served, aiohttp.ClientSession(served.url) as session:
            await _read(served.http.platform)
            async with session.get("/counters") as answer:
                self.assertEqual((await answer.json())["table_reads"], 1)
            async with session.post("/faults", json={"table": {"mode": "down"}}) as answer:
                self.assertEqual(answer.status, 200)
            with self.assertRaises(PlatformUnavailableError):
                await _read(served.http.platform)

    @parameterized.expand(
        [
            ("POST", "/faults", b'{"table": {"mode": "off"}}', 400, "mode"),
            ("POST", "/faults", b'{"tables": {}}', 400, "tables"),
            ("POST", "/table/read", b"\xc1", 400, "ReadRequest"),
            ("PUT", "/vms/vm-2", b'{"vm_id": "vm-1", "zone": "z", "state": "live"}', 400, "path"),
            ("PUT", "/objects/" + "0" * 64, b"others", 400, "digest"),
        ]
    )
    async def test_bad_call(
        self, method: str, path: str, body: bytes, status: int, message: str
    ) -> None:
        async with serve_platform() as served, aiohttp.ClientSession(served.url) as session:
            answer = await session.request(method, path, data=body)
            self.assertEqual(answer.status, status)
            self.assertIn(message, (await answer.json(content_type=None))["message"])

    async def test_vms_by_put_and_delete(self) -> None:
        body = {"vm_id": "vm-1", "zone": "z", "state": "live"}
        async with serve_platform() as served, aiohttp.ClientSession(served.url) as session:
            await (await session.put("/vms/vm-1", json=body)).read()
            self.assertEqual(list(await _list(served.http.platform)), ["vm-1"])
            await (await session.delete("/vms/vm-1")).read()
            self.assertEqual(await _list(served.http.platform), {})
