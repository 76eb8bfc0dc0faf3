"""The world of one run: the store, targets, entries with proxies around them, and the operator."""

import asyncio
import os
import pathlib
import random
import signal
import subprocess
import threading
import time
import typing as t

from tests.linked_entry import LINKS_VARIABLE, LinkFile
from tests.platform_adapter.standins import StoreStandin, config
from tests.platform_adapter.test_processes import ZONES, EntryProcess
from tests.soak.proxy import Proxy
from tests.soak.record import HOT_PER_S, KEY, LONG_TIMEOUT_S, Lifetime, Record, Sort, Tenant
from tests.soak.targets import SoakTarget

SERVICES = ("s1", "s2")
#: Two callers that send without a pause are far beyond it.
HOT_LIMIT = {"ratePerS": HOT_PER_S, "burst": HOT_PER_S}
_ENTRIES = 4
_TARGETS = 3
_LOOK_S = 0.02


class _EndWatch(threading.Thread):
    """Notes when a process ends, also while the loop of the run is busy with other worlds."""

    def __init__(self, process: "subprocess.Popen[bytes]") -> None:
        super().__init__(daemon=True)
        self._process = process
        self.ended_at = float("inf")

    def run(self) -> None:
        self._process.wait()
        self.ended_at = time.monotonic()


class SoakEntry(EntryProcess):
    """An entry whose ways to the store and from its peers lead through proxies.

    Its links to the targets may be lost while those of other entries work.
    """

    command = ("-m", "tests.linked_entry", "steer")

    def __init__(self, folder: pathlib.Path, number: int, record: Record) -> None:
        super().__init__(folder, number, "unused")
        self._record = record
        self.store_proxy = Proxy("")
        self.peer_proxy = Proxy(f"127.0.0.1:{self.ports['peer']}")
        self.links = LinkFile(folder / f"{self.name}.links")
        self.variables = {LINKS_VARIABLE: str(self.links.path)}
        self.lifetime: t.Optional[Lifetime] = None
        self.stopping = False

    async def prepare(self, store: str, seeds: t.Sequence[str]) -> None:
        """Write settings that name the proxies."""
        self.store_proxy.target = store
        text = self.settings.read_text().replace('"unused"', f'"{self.store_proxy.address}"')
        announced = f'announced_peer_address = "{self.peer_proxy.address}"\n'
        listed = ", ".join([f'"{seed}"' for seed in seeds])
        # Each reaches the store by a proxy of its own, so its address is not the fleet's name.
        fleet = 'fleet = "soak"\n'
        self.settings.write_text(f"{announced}{fleet}seeds = [{listed}]\n{text}")

    @property
    def caller_address(self) -> str:
        return f"127.0.0.1:{self.ports['caller']}"

    @property
    def lookup_address(self) -> str:
        return f"127.0.0.1:{self.ports['lookup']}"

    def start(self) -> None:
        super().start()
        self.lifetime = Lifetime(self.name, time.monotonic())
        self._record.lifetimes.append(self.lifetime)

    def disturb(self) -> None:
        """Note that little may be asked of this lifetime."""
        assert self.lifetime is not None
        self.lifetime.disturbed = True

    async def end(self, number: int) -> None:
        """Send a signal that ends the process, and wait until it is gone."""
        assert self.lifetime is not None and self.process is not None
        lifetime = self.lifetime
        watch = _EndWatch(self.process)
        watch.start()
        if number == signal.SIGTERM:
            lifetime.told_at = time.monotonic()
        else:
            lifetime.disturbed = True
        self.signal(number)
        while watch.is_alive():  # noqa: ASYNC110
            await asyncio.sleep(_LOOK_S)
        lifetime.gone_at = watch.ended_at
        if number == signal.SIGTERM:
            lifetime.status = self.process.returncode


class World:
    """Everything around the entries, and the entries.

    :param folder: for settings and logs.
    :param seed: draws what targets do.
    :param entries: how many entries there are.
    """

    def __init__(self, folder: pathlib.Path, seed: int, entries: int = _ENTRIES) -> None:
        self.record = Record()
        self.store = StoreStandin()
        self.entries = [SoakEntry(folder, number, self.record) for number in range(entries)]
        self.targets: t.List[SoakTarget] = []
        self._rng = random.Random(seed)
        # Drawn from a generator of their own, so that all else of each seed stays as it was.
        drawn = random.Random(f"{seed}-loads")
        #: Services whose targets report their pace, and levels of routes and of the hot tenant.
        self._pace_services = [service for service in SERVICES if drawn.random() < 0.5]
        self._levels = drawn.sample((0, 1, drawn.randint(0, 1)), 3)
        self._hot_level = drawn.choice((None, 0, 1))
        self._numbers = 0
        self.version = 0
        self._stack: t.List[t.Any] = []

    async def __aenter__(self) -> "World":
        await self._enter(self.store)
        for service in SERVICES:
            for _ in range(_TARGETS):
                await self.add_target(service)
        self.change()
        for entry in self.entries:
            await self._enter(entry.store_proxy)
            await self._enter(entry.peer_proxy)
        seeds = [entry.peer_proxy.address for entry in self.entries[:3]]
        for entry in self.entries:
            await entry.prepare(self.store.address, seeds)
            entry.start()
        return self

    async def __aexit__(self, *_error: t.Any) -> None:
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                os.kill(entry.process.pid, signal.SIGCONT)
                entry.process.kill()
                entry.process.wait()
        for part in reversed(self._stack):
            await part.__aexit__(None, None, None)

    async def _enter(self, part: t.Any) -> None:
        await part.__aenter__()
        self._stack.append(part)

    async def add_target(self, service: str) -> SoakTarget:
        """Start a target and let it register itself."""
        self._numbers += 1
        zone = ZONES[self._numbers % len(ZONES)]
        target = SoakTarget(f"i-{self._numbers}", service, zone, self.record, self._rng)
        target.reports_pace = service in self._pace_services
        await self._enter(target)
        self.targets.append(target)
        target.on_restart = lambda previous: self._restarted(target, previous)
        self.store.put("servers", target.instance_id, target.listing())
        return target

    def _restarted(self, target: SoakTarget, previous: str) -> None:
        """Let a target that is back register itself, unless it was to leave."""
        if target in self.targets:
            self.store.remove("servers", previous)
            self.store.put("servers", target.instance_id, target.listing(warmupLeftS=1.0))

    def leave(self, target: SoakTarget) -> None:
        """Let a target report that it leaves; it goes on serving."""
        target.leaving = True
        self.store.put("servers", target.instance_id, target.listing(state="draining"))
        self.record.leaving_at[target.instance_id] = time.monotonic()
        self.targets.remove(target)

    def change(self) -> None:
        """Write the next desired state: a route more, and commands at the other service."""
        self.version += 1
        state = config(self.version)
        model = state["routes"][0]
        routes = [
            {**model, "name": "read", "prefix": Sort.READ.value, "service": "s1"},
            {**model, "name": "upload", "prefix": Sort.UPLOAD.value, "kind": "upload"},
            {
                **model,
                "name": "command",
                "prefix": Sort.COMMAND.value,
                "kind": "unsafe",
                "service": SERVICES[self.version % len(SERVICES)],
            },
        ]
        for route, level in zip(routes, self._levels, strict=True):
            route["priority"] = level
        order = {"prefix": Sort.ORDER.value, "kind": "unsafe", "service": routes[2]["service"]}
        long = {"timeoutS": LONG_TIMEOUT_S, "latencyTargetS": LONG_TIMEOUT_S / 2}
        routes.append({**model, "name": "order", **order, **long})
        routes.append({**model, "name": "report", "prefix": Sort.REPORT.value, **long})
        for version in range(1, self.version + 1):
            prefix = f"{Sort.SINCE.value}{version}/"
            routes.append({**model, "name": f"since{version}", "prefix": prefix})
        hot = {"priority": self._hot_level, **HOT_LIMIT}
        tenants = [
            {"name": Tenant.CALM.value, "apiKeys": [KEY + Tenant.CALM.value]},
            {"name": Tenant.HOT.value, "apiKeys": [KEY + Tenant.HOT.value], **hot},
        ]
        self.store.put("op", "config", {**state, "routes": routes, "tenants": tenants})
        self.record.version_at[self.version] = time.monotonic()

    async def until_ready(self, seconds: float) -> t.List[str]:
        """Names of entries that are not ready when the time is over."""
        give_up_at = time.monotonic() + seconds
        waiting = list(self.entries)
        while waiting and time.monotonic() < give_up_at:
            waiting = [entry for entry in waiting if not await _is_ready(entry)]
            await asyncio.sleep(_LOOK_S)
        return [entry.name for entry in waiting]


def strangers(folder: pathlib.Path) -> t.List[str]:
    """Lines in which entries did not take each other for entries of one fleet."""
    found = []
    for path in sorted(folder.glob("*.log")):
        found += [line for line in path.read_text().splitlines() if "code=peer-auth" in line]
    return found


async def _is_ready(entry: SoakEntry) -> bool:
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", entry.ports["readiness"])
            writer.write(b"GET /v1/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            answer = await reader.read()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return answer.startswith(b"HTTP/1.1 200")
