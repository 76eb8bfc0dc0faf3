"""Entries as separate processes on the platform's stand-ins, through the adapter."""

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
    """One entry."""

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
                [sys.executable, "-m", "coralfall", "steer"],
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env={
                    **os.environ,
                    "PYTHONPATH": str(ROOT / "src"),
                    "CORALFALL_SETTINGS": str(self.settings),
                },
            )

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    async def wait_ended(self) -> int:
        """Its exit status, once it has ended."""
        assert self.process is not None
        while self.process.poll() is None:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        return self.process.returncode


class Installation:
    """A store, instances and entries, and a client of them."""

    def __init__(self, folder: pathlib.Path, store: StoreStandin, count: int) -> None:
        self.store = store
        self.entries = [EntryProcess(folder, number, store.address) for number in range(count)]
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
        """Status and body; status 0 if there was no answer."""
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
    ) -> t.Tuple[int, bytes, str]:
        """Status and body of a request, and its id.

        :param key: the credential that it carries, if any.
        """
        self._sent += 1
        request_id = f"{entry.name}-{self._sent}"
        headers = {
            "Host": "a.example",
            "X-Request-Id": request_id,
            "Cookie": "X-Affinity-Key=17",
            "X-Request-Deadline": "2000",
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
        """Wait until something holds; give up after a long time."""
        try:
            async with asyncio.timeout(PATIENCE_S):
                while not await condition():  # noqa: ASYNC110
                    await asyncio.sleep(0.05)
        except TimeoutError:
            logs = "\n".join([entry.log.read_text()[-3000:] for entry in self.entries])
            raise AssertionError(f"never: {what}\n{logs}") from None

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
        """Addresses that a client in the entry's zone is told of by that entry."""
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
    """Play a scene with a store, three instances and some entries."""

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


def loads(process: "subprocess.Popen[bytes]", module: str) -> bool:
    """Whether a process has begun to load a module of compiled code."""
    return module in pathlib.Path(f"/proc/{process.pid}/maps").read_text()


#: Processes that are told to stop as they start, each so many seconds later than the one before.
_EARLY_STOPS = 30
_EARLY_STEP_S = 0.0002


class EarlySignalsTest(unittest.TestCase):
    @parameterized.expand([("hung up", signal.SIGHUP, None), ("told to stop", signal.SIGTERM, 0)])
    def test_a_signal_while_modules_are_imported(
        self, _name: str, number: int, status: t.Optional[int]
    ) -> None:
        async def scenario(installation: Installation, _instances: t.List[InstanceStandin]) -> None:
            entry = installation.entries[0]
            entry.signal(signal.SIGKILL)
            await entry.wait_ended()
            entry.start()
            assert entry.process is not None
            while not loads(entry.process, "msgspec"):  # noqa: ASYNC110
                await asyncio.sleep(0)
            entry.signal(number)
            if status is not None:
                self.assertEqual(status, await entry.wait_ended())
                return
            await installation.wait_until_ready(entry)
            self.assertIn("event=settings.reloaded", entry.log.read_text())

        run_scenario(scenario, entries=1)

    def test_told_to_stop_while_compiled_code_is_initialised(self) -> None:
        """An exception out of a signal's handler ended 8 of 40 processes by a segfault there."""

        async def main() -> t.List[int]:
            statuses = []
            with tempfile.TemporaryDirectory() as folder:
                for number in range(_EARLY_STOPS):
                    entry = EntryProcess(pathlib.Path(folder), number, "127.0.0.1:1")
                    entry.start()
                    assert entry.process is not None
                    while not loads(entry.process, "orjson"):  # noqa: ASYNC110
                        await asyncio.sleep(0)
                    await asyncio.sleep(number * _EARLY_STEP_S)
                    entry.signal(signal.SIGTERM)
                    statuses.append(await entry.wait_ended())
            return statuses

        self.assertEqual([0] * _EARLY_STOPS, asyncio.run(main()))


class WholePathTest(unittest.TestCase):
    def test_requests_desired_states_and_drains(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            homes: t.List[InstanceStandin] = []
            for region in sorted({entry.region for entry in installation.entries}):
                before = [len(instance.executed_ids) for instance in instances]
                asked = [entry for entry in installation.entries if entry.region == region]
                for entry in asked:
                    self.assertEqual((200, b"read"), (await installation.request(entry))[:2])
                ran = [
                    len(one.executed_ids) - count
                    for one, count in zip(instances, before, strict=True)
                ]
                # Each region has room of its own, and its entries agree on one of its instances.
                self.assertEqual([0] * (len(ran) - 1) + [len(asked)], sorted(ran))
                home = instances[ran.index(len(asked))]
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
                    "the drain is known", lambda entry=entry: moved(entry)
                )

        run_scenario(scenario)

    def test_an_evacuated_zone_gets_nothing(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            await installation.request(installation.entries[0])
            home = next(instance for instance in instances if instance.executed_ids)
            installation.store.put("op", f"evacuate/{ZONES[instances.index(home)]}", {})

            async def moved() -> bool:
                _, _, request_id = await installation.request(installation.entries[0])
                return request_id not in home.executed_ids

            await installation.wait_until("the zone is evacuated", moved)

        run_scenario(scenario, entries=1)

    def test_a_planned_stop_cuts_nothing_off_and_is_told(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            for instance in instances:
                instance.service_time_s = 0.5
            first, *others = installation.entries
            asked = asyncio.create_task(installation.request(first, body=b"order"))
            while not any(instance.executed_ids for instance in instances):  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            first.signal(signal.SIGTERM)
            address = f"127.0.0.1:{first.ports['caller']}"

            async def unnamed() -> bool:
                return all([address not in await installation.resolve(other) for other in others])

            await installation.wait_until("nobody names it", unnamed)
            self.assertEqual((200, b"order"), (await asked)[:2])
            self.assertEqual(
                503, (await installation.get(first.ports["readiness"], "/v1/ready"))[0]
            )
            self.assertEqual(0, await first.wait_ended())
            self.assertEqual(2, len(installation.store.keys("entries")))
            self.assertIn("event=entry.stopped entry=e0 status=0", first.log.read_text())

        run_scenario(scenario, route={"kind": "unsafe"})

    def test_a_killed_entry_is_named_no_more_and_comes_back(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            first, second, _ = installation.entries
            address = f"127.0.0.1:{first.ports['caller']}"

            async def named() -> bool:
                return address in await installation.resolve(second)

            await installation.wait_until("it is named", named)
            first.signal(signal.SIGKILL)
            await first.wait_ended()

            async def unnamed() -> bool:
                return address not in await installation.resolve(second)

            await installation.wait_until("it is named no more", unnamed)
            first.start()
            await installation.wait_until_ready(first)
            await installation.wait_until("it is named again", named)

        run_scenario(scenario)

    def test_entries_serve_while_the_store_is_away_and_learn_afterwards(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            installation.store.mode = "silent"
            for entry in installation.entries:
                self.assertEqual(200, (await installation.request(entry))[0])

            async def lost() -> bool:
                return "event=store.lost" in installation.entries[0].log.read_text()

            await installation.wait_until("the loss is logged", lost)
            installation.store.mode = "ok"
            installation.store.put("op", "config", config(2, prefix="/q/"))
            await installation.wait_until_status(200, "/q/1")

        run_scenario(scenario)

    def test_one_that_the_store_turns_away_follows_the_others(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            late = installation.entries[0]
            late.signal(signal.SIGSTOP)
            installation.store.put("op", "config", config(2, prefix="/q/"))

            async def known() -> bool:
                return (await installation.request(installation.entries[1], "/q/1"))[0] == 200

            await installation.wait_until("the others know", known)
            installation.store.mode = "busy"
            late.signal(signal.SIGCONT)
            await installation.wait_until_status(200, "/q/1")

        run_scenario(scenario)

    def test_a_settings_file_that_changed_is_taken_in(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            entry = installation.entries[0]
            text = entry.settings.read_text()

            async def told(line: str) -> bool:
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
                await installation.wait_until(line, lambda line=line: told(line))
            self.assertEqual(200, (await installation.request(entry))[0])

        run_scenario(scenario, entries=1)

    def test_metrics_and_the_log_tell_of_a_request(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            entry = installation.entries[0]
            _, _, request_id = await installation.request(entry)
            _, text = await installation.get(entry.ports["metrics"], "/metrics")
            counted = 'coralfall_requests_total{reason="answered",service="s1",status="200"} 1.0'
            self.assertIn(counted, text.decode())
            self.assertIn("coralfall_request_seconds_bucket", text.decode())
            self.assertIn("coralfall_state_version 1.0", text.decode())

            async def told() -> bool:
                lines = entry.log.read_text().splitlines()
                line = next((line for line in lines if f"id={request_id} " in line), "")
                parts = ("event=request.ended", "status=200", "sends=i-", "version=1")
                return all(part in line for part in parts)

            await installation.wait_until("the log has it", told)

        run_scenario(scenario, entries=1)


class BadSettingsTest(unittest.TestCase):
    def test_one_clear_line_names_the_field(self) -> None:
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
