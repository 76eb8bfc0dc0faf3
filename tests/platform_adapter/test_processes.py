"""Tests of entries as separate processes with stand-ins for the platform, through the adapter."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import typing as t
import unittest

import aiohttp
from parameterized import parameterized

from tests.platform_adapter.standins import InstanceStandin, StoreStandin, config
from tests.processes import PATIENCE_S, ROOT, free_port

ZONES = ("sierra-norte", "sierra-valle", "costa-puerto")
_SETTINGS = """
entry_id = "{name}"
zone = "{zone}"
region = "{region}"
caller_address = "127.0.0.1:{caller}"
lookup_address = "127.0.0.1:{lookup}"
readiness_address = "127.0.0.1:{readiness}"
peer_address = "127.0.0.1:{peer}"
metrics_address = "127.0.0.1:{metrics}"
[regions_by_zone]
sierra-norte = "sierra"
sierra-valle = "sierra"
costa-puerto = "costa"
[store]
address = "{store}"
"""


class EntryProcess:
    """One entry as a process, with its settings file, ports and log."""

    #: What the interpreter runs, and variables of its environment beside the settings file.
    command: t.Sequence[str] = ("-m", "coralfall", "steer")
    variables: t.Mapping[str, str] = {}

    def __init__(self, folder: pathlib.Path, number: int, store: str) -> None:
        self.name = f"e{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.region = self.zone.partition("-")[0]
        names = ("caller", "lookup", "readiness", "peer", "metrics")
        self.ports = {name: free_port() for name in names}
        self.log = folder / f"{self.name}.log"
        self.settings = folder / f"{self.name}.toml"
        fields = {"name": self.name, "zone": self.zone, "region": self.region, "store": store}
        self.settings.write_text(_SETTINGS.format(**fields, **self.ports))
        self.process: t.Optional["subprocess.Popen[bytes]"] = None

    def start(self) -> None:
        with open(self.log, "ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, *self.command],
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env={
                    **os.environ,
                    "PYTHONPATH": os.pathsep.join((str(ROOT / "src"), str(ROOT))),
                    "CORALFALL_SETTINGS": str(self.settings),
                    **self.variables,
                },
            )

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    async def wait_ended(self) -> int:
        """Waits until the process has ended and returns its exit status."""
        assert self.process is not None
        while self.process.poll() is None:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        return self.process.returncode


class Installation:
    """Store and entries of an installation, and a client for them."""

    entry_type: t.Type[EntryProcess] = EntryProcess

    def __init__(self, folder: pathlib.Path, store: StoreStandin, count: int) -> None:
        self.store = store
        self.entries = [self.entry_type(folder, number, store.address) for number in range(count)]
        self.session = aiohttp.ClientSession()
        self._sent = 0

    async def __aenter__(self) -> "Installation":
        for entry in self.entries:
            entry.start()
        return self

    async def __aexit__(self, *_error: t.Any) -> None:
        await self.session.close()
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.process.kill()
                entry.process.wait()

    async def get(self, port: int, path: str, **options: t.Any) -> t.Tuple[int, bytes]:
        """Returns status and body; status 0 if there was no answer."""
        try:
            url = f"http://127.0.0.1:{port}{path}"
            async with self.session.get(url, **options) as answer:
                return answer.status, await answer.read()
        except (aiohttp.ClientError, OSError):
            return 0, b""

    async def request(
        self,
        entry: EntryProcess,
        path: str = "/p/1",
        body: t.Optional[bytes] = None,
        key: t.Optional[str] = None,
        deadline_ms: int = 2000,
    ) -> t.Tuple[int, bytes, str]:
        """Sends a request to an entry; returns status, body and the id of the request.

        :param key: tenant key to send as the credential, if any.
        :param deadline_ms: for how long the caller says that it waits.
        """
        self._sent += 1
        request_id = f"{entry.name}-{self._sent}"
        headers = {
            "Host": "a.example",
            "X-Request-Id": request_id,
            "Cookie": "X-Affinity-Key=17",
            "X-Request-Deadline": str(deadline_ms),
            "Connection": "close",
        }
        if key is not None:
            headers["X-Credential"] = key
        url = f"http://127.0.0.1:{entry.ports['caller']}{path}"
        method = "GET" if body is None else "POST"
        try:
            async with self.session.request(method, url, headers=headers, data=body) as answer:
                return answer.status, await answer.read(), request_id
        except (aiohttp.ClientError, OSError):
            return 0, b"", request_id

    async def wait_until(self, what: str, condition: t.Callable[[], t.Awaitable[bool]]) -> None:
        """Waits until a condition holds; fails with the entries' logs after ``PATIENCE_S``."""
        try:
            async with asyncio.timeout(PATIENCE_S):
                while not await condition():  # noqa: ASYNC110
                    await asyncio.sleep(0.05)
        except TimeoutError:
            logs = "\n".join([entry.log.read_text()[-3000:] for entry in self.entries])
            raise AssertionError(f"timed out waiting until {what}\n{logs}") from None

    async def wait_until_ready(self, *entries: EntryProcess) -> None:
        for entry in entries or self.entries:

            async def ready(entry: EntryProcess = entry) -> bool:
                return (await self.get(entry.ports["readiness"], "/v1/ready"))[0] == 200

            await self.wait_until(f"{entry.name} is ready", ready)

    async def wait_until_status(
        self, status: int, path: str = "/p/1", key: t.Optional[str] = None
    ) -> None:
        for entry in self.entries:

            async def answered(entry: EntryProcess = entry) -> bool:
                return (await self.request(entry, path, key=key))[0] == status

            await self.wait_until(f"{entry.name} answers {status}", answered)

    async def resolve(self, entry: EntryProcess) -> t.List[str]:
        """Returns the addresses that the entry gives in a look-up from its own zone."""
        query = f"/v1/resolve?name=a.example&region={entry.region}&zone={entry.zone}"
        status, body = await self.get(entry.ports["lookup"], query)
        return json.loads(body)["addresses"] if status == 200 else []


Scenario = t.Callable[[Installation, t.List[InstanceStandin]], t.Awaitable[None]]


def run_scenario(
    scenario: Scenario,
    entries: int = 3,
    route: t.Optional[t.Dict[str, t.Any]] = None,
    tenants: t.Optional[t.List[t.Dict[str, t.Any]]] = None,
) -> None:
    """Runs a scenario with a store, three instances and some entries."""

    async def main() -> None:
        with tempfile.TemporaryDirectory() as folder:
            async with StoreStandin() as store:
                instances = [InstanceStandin(f"i-{number}") for number in range(3)]
                for number, instance in enumerate(instances):
                    await instance.__aenter__()
                    store.put("servers", instance.instance_id, instance.row("s1", ZONES[number]))
                state = config(1, **(route or {}))
                if tenants is not None:
                    state["tenants"] = tenants
                store.put("op", "config", state)
                async with Installation(pathlib.Path(folder), store, entries) as installation:
                    await installation.wait_until_ready()
                    await scenario(installation, instances)
                for instance in instances:
                    await instance.__aexit__()

    asyncio.run(main())


def has_loaded(process: "subprocess.Popen[bytes]", module: str) -> bool:
    """Returns whether a process has mapped the shared library of a compiled module."""
    return module in pathlib.Path(f"/proc/{process.pid}/maps").read_text()


#: Number of processes that get SIGTERM while they start, and how many seconds later than the one
#: before each of them gets it.
_EARLY_STOPS = 30
_EARLY_STEP_S = 0.0002


class StartupSignalsTest(unittest.TestCase):
    @parameterized.expand([("hung up", signal.SIGHUP, None), ("told to stop", signal.SIGTERM, 0)])
    def test_signal_while_modules_are_imported(
        self, _name: str, number: int, status: t.Optional[int]
    ) -> None:
        async def scenario(installation: Installation, _instances: t.List[InstanceStandin]) -> None:
            entry = installation.entries[0]
            entry.signal(signal.SIGKILL)
            await entry.wait_ended()
            entry.start()
            assert entry.process is not None
            while not has_loaded(entry.process, "msgspec"):  # noqa: ASYNC110
                await asyncio.sleep(0)
            entry.signal(number)
            if status is not None:
                self.assertEqual(status, await entry.wait_ended())
                return
            await installation.wait_until_ready(entry)
            self.assertIn("event=settings.reloaded", entry.log.read_text())

        run_scenario(scenario, entries=1)

    def test_sigterm_while_compiled_modules_are_initialised(self) -> None:
        """Raising an exception in the signal handler made 8 of 40 processes segfault there."""

        async def main() -> t.List[int]:
            statuses = []
            with tempfile.TemporaryDirectory() as folder:
                for number in range(_EARLY_STOPS):
                    entry = EntryProcess(pathlib.Path(folder), number, "127.0.0.1:1")
                    entry.start()
                    assert entry.process is not None
                    while not has_loaded(entry.process, "orjson"):  # noqa: ASYNC110
                        await asyncio.sleep(0)
                    await asyncio.sleep(number * _EARLY_STEP_S)
                    entry.signal(signal.SIGTERM)
                    statuses.append(await entry.wait_ended())
            return statuses

        self.assertEqual([0] * _EARLY_STOPS, asyncio.run(main()))


class EndToEndTest(unittest.TestCase):
    def test_requests_desired_state_changes_and_drains(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            homes: t.List[InstanceStandin] = []
            for region in sorted({entry.region for entry in installation.entries}):
                before = [len(instance.executed_ids) for instance in instances]
                entries = [entry for entry in installation.entries if entry.region == region]
                for entry in entries:
                    self.assertEqual((200, b"read"), (await installation.request(entry))[:2])
                ran = [
                    len(one.executed_ids) - count
                    for one, count in zip(instances, before, strict=True)
                ]
                # Each region has its own capacity, and its entries agree on one of its instances.
                self.assertEqual([0] * (len(ran) - 1) + [len(entries)], sorted(ran))
                home = instances[ran.index(len(entries))]
                self.assertEqual(region, ZONES[instances.index(home)].partition("-")[0])
                homes.append(home)

            installation.store.put("op", "config", config(2, prefix="/q/"))
            await installation.wait_until_status(404, "/p/1")
            await installation.wait_until_status(200, "/q/1")

            zone = ZONES[instances.index(homes[0])]
            row = homes[0].row("s1", zone, state="draining")
            installation.store.put("servers", homes[0].instance_id, row)

            async def moved(entry: EntryProcess) -> bool:
                _, _, request_id = await installation.request(entry, "/q/1")
                return request_id not in homes[0].executed_ids

            for entry in installation.entries:
                await installation.wait_until(
                    "the drain has taken effect", lambda entry=entry: moved(entry)
                )

        run_scenario(scenario)

    def test_evacuated_zone_gets_no_requests(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            await installation.request(installation.entries[0])
            home = next(instance for instance in instances if instance.executed_ids)
            installation.store.put("op", f"evacuate/{ZONES[instances.index(home)]}", {})

            async def moved() -> bool:
                _, _, request_id = await installation.request(installation.entries[0])
                return request_id not in home.executed_ids

            await installation.wait_until("the zone is evacuated", moved)

        run_scenario(scenario, entries=1)

    def test_planned_stop_finishes_requests_and_is_announced(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            for instance in instances:
                instance.service_time_s = 0.5
            first, *others = installation.entries
            pending = asyncio.create_task(installation.request(first, body=b"order"))
            while not any(instance.executed_ids for instance in instances):  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            first.signal(signal.SIGTERM)
            address = f"127.0.0.1:{first.ports['caller']}"

            async def is_not_resolved() -> bool:
                return all([address not in await installation.resolve(other) for other in others])

            await installation.wait_until("no other entry returns its address", is_not_resolved)
            self.assertEqual((200, b"order"), (await pending)[:2])
            self.assertEqual(
                503, (await installation.get(first.ports["readiness"], "/v1/ready"))[0]
            )
            self.assertEqual(0, await first.wait_ended())
            self.assertEqual(2, len(installation.store.keys("entries")))
            self.assertIn("event=entry.stopped entry=e0 status=0", first.log.read_text())

        run_scenario(scenario, route={"kind": "unsafe"})

    def test_killed_entry_leaves_look_ups_and_returns_after_restart(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            first, second, _ = installation.entries
            address = f"127.0.0.1:{first.ports['caller']}"

            async def is_resolved() -> bool:
                return address in await installation.resolve(second)

            await installation.wait_until("its address is returned", is_resolved)
            first.signal(signal.SIGKILL)
            await first.wait_ended()

            async def is_not_resolved() -> bool:
                return address not in await installation.resolve(second)

            await installation.wait_until("its address is no longer returned", is_not_resolved)
            first.start()
            await installation.wait_until_ready(first)
            await installation.wait_until("its address is returned again", is_resolved)

        run_scenario(scenario)

    def test_entries_serve_during_a_store_outage_and_update_after_it(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            installation.store.mode = "silent"
            for entry in installation.entries:
                self.assertEqual(200, (await installation.request(entry))[0])

            async def is_logged() -> bool:
                return "event=store.lost" in installation.entries[0].log.read_text()

            await installation.wait_until("the outage is logged", is_logged)
            installation.store.mode = "ok"
            installation.store.put("op", "config", config(2, prefix="/q/"))
            await installation.wait_until_status(200, "/q/1")

        run_scenario(scenario)

    def test_entry_rejected_by_the_store_learns_changes_from_peers(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            paused = installation.entries[0]
            paused.signal(signal.SIGSTOP)
            installation.store.put("op", "config", config(2, prefix="/q/"))

            async def others_updated() -> bool:
                return (await installation.request(installation.entries[1], "/q/1"))[0] == 200

            await installation.wait_until("the other entries have the new state", others_updated)
            installation.store.mode = "busy"
            paused.signal(signal.SIGCONT)
            await installation.wait_until_status(200, "/q/1")

        run_scenario(scenario)

    def test_changed_settings_file_is_reloaded(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            entry = installation.entries[0]
            text = entry.settings.read_text()

            async def is_logged(line: str) -> bool:
                return line in entry.log.read_text()

            for changed, line in (
                (
                    text + "[bounds]\nmax_ttl_s = 0.5\nconfig_s = 1.0\n",
                    "applied=bounds at_next_start=none",
                ),
                (text.replace('zone = "s', 'zone = "t'), "at_next_start=zone"),
                (text + "[bounds]\nmax_ttl = 0.5\n", "did you mean 'max_ttl_s'?"),
            ):
                entry.settings.write_text(changed)
                entry.signal(signal.SIGHUP)
                await installation.wait_until(line, lambda line=line: is_logged(line))
            self.assertEqual(200, (await installation.request(entry))[0])

        run_scenario(scenario, entries=1)

    def test_request_appears_in_metrics_and_log(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            entry = installation.entries[0]
            _, _, request_id = await installation.request(entry)
            _, text = await installation.get(entry.ports["metrics"], "/metrics")
            counted = 'coralfall_requests_total{reason="answered",service="s1",status="200"} 1.0'
            self.assertIn(counted, text.decode())
            self.assertIn("coralfall_request_seconds_bucket", text.decode())
            self.assertIn("coralfall_state_version 1.0", text.decode())

            async def is_logged() -> bool:
                lines = entry.log.read_text().splitlines()
                line = next((line for line in lines if f"id={request_id} " in line), "")
                parts = ("event=request.ended", "status=200", "sends=i-", "version=1")
                return all(part in line for part in parts)

            await installation.wait_until("the request is logged", is_logged)

        run_scenario(scenario, entries=1)


class InvalidSettingsTest(unittest.TestCase):
    def test_invalid_settings_are_reported_in_one_line(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.toml"
            path.write_text('entry_id = "e1"\nzon = "z"\n')
            result = subprocess.run(
                [sys.executable, "-m", "coralfall", "steer"],
                capture_output=True,
                env={
                    **os.environ,
                    "PYTHONPATH": str(ROOT / "src"),
                    "CORALFALL_SETTINGS": str(path),
                },
                timeout=PATIENCE_S,
                check=False,
            )
        lines = result.stderr.decode().splitlines()
        self.assertEqual(1, len(lines))
        self.assertIn("did you mean 'zone'?", lines[0])
        self.assertIn("store: is required", lines[0])
        self.assertNotEqual(0, result.returncode)
