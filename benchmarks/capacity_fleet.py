"""Slopes of the fleet: what an entry spends on control, by entries, targets and changes."""

import asyncio
import datetime
import os
import pathlib
import re
import statistics
import tempfile
import time
import typing as t

import aiohttp
from tests.processes import ZONES, Fleet

from .samples import Sample

ENTRY_COUNTS = (4, 12, 40, 120)
TARGET_COUNTS = (6, 60, 300, 1200)
TARGET_ENTRIES = 4
IDLE_S = 20.0
ROLLOUTS = 3
#: Entries that are started at once; the rest follow.
START_TOGETHER = 20
_IN_FORCE = re.compile(r"time=(\S+) .*event=rollout\.in_force .*version=(\d+)")


class CapacityFleet(Fleet):
    """A fleet with the times that settings have by default, and targets that need not run."""

    def _entry_text(self, name: str, zone: str, addresses: t.Sequence[str]) -> str:
        text = super()._entry_text(name, zone, addresses)
        head, _lease, rest = text.partition("[lease]\n")
        tail = rest[rest.index("[partners") :]
        return head.replace("heartbeat_s = 0.3\n", "") + tail

    def state_targets(self, count: int) -> None:
        """State targets in the bundle without running them."""
        services = ("catalogo", "pedidos", "acopio")
        for number in range(count):
            name = f"{services[number % 3]}-{number:04}"
            self.states_by_target[name] = "active"
            self.address_by_name[name] = f"127.0.0.1:{20000 + number}"


class Usage(t.NamedTuple):
    """What one process has used so far."""

    cpu_s: float
    #: Bytes that passed its sockets, with those of its log.
    io_bytes: int


def usage_of(pid: int) -> Usage:
    """What a process has used so far, as the kernel counts it."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    counts = dict(
        line.split(": ") for line in pathlib.Path(f"/proc/{pid}/io").read_text().splitlines()
    )
    return Usage(cpu_s, int(counts["rchar"]) + int(counts["wchar"]))


def resident_mb(pid: int) -> float:
    """Resident memory of a process in MB."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


class Bench:
    """One fleet of one size, from its start to its figures."""

    def __init__(self, fleet: CapacityFleet, session: aiohttp.ClientSession, entries: int) -> None:
        self._fleet = fleet
        self._session = session
        self._names = [f"e{number:03}" for number in range(entries)]

    async def start(self, targets: int) -> None:
        """Start platform and entries, and bring a first bundle into force."""
        fleet = self._fleet
        fleet.state_targets(targets)
        fleet.start_platform()
        await fleet.up(self._session, "platform", "/vms")
        await fleet.set_vms(self._session, *self._names)
        for position, name in enumerate(self._names):
            fleet.start_entry(name, ZONES[position % 2])
            if position % START_TOGETHER == START_TOGETHER - 1:
                await fleet.up(self._session, name)
        for name in self._names:
            await fleet.up(self._session, name)
        await asyncio.sleep(3)
        await self.roll_out()
        await asyncio.sleep(8)

    async def idle(self) -> t.Dict[str, float]:
        """What entries and platform do while nobody asks for anything."""
        before = self._usages()
        counters = await self._counters()
        began = time.monotonic()
        await asyncio.sleep(IDLE_S)
        seconds = time.monotonic() - began
        spent = self._spent(before)
        calls = await self._counters()
        reads = calls["table_reads"] - counters["table_reads"]
        writes = calls["table_writes"] - counters["table_writes"]
        return {
            "idle_cpu_percent": 100 * statistics.fmean(use.cpu_s for use in spent) / seconds,
            "idle_cpu_percent_most": 100 * max(use.cpu_s for use in spent) / seconds,
            "idle_bytes_per_s": statistics.fmean(use.io_bytes for use in spent) / seconds,
            "idle_bytes_per_s_most": max(use.io_bytes for use in spent) / seconds,
            "resident_mb": statistics.fmean(resident_mb(pid) for pid in self._pids()),
            "platform_reads_per_s": reads / seconds,
            "platform_writes_per_s": writes / seconds,
        }

    async def changes(self) -> t.Dict[str, float]:
        """What one change of the configuration costs, and how long it takes."""
        before = self._usages()
        began = time.monotonic()
        seconds = [await self.roll_out() for _ in range(ROLLOUTS)]
        took = time.monotonic() - began
        spent = self._spent(before)
        return {
            "rollout_s": statistics.fmean(seconds),
            "rollout_s_most": max(seconds),
            "busy_cpu_s_per_change": statistics.fmean(use.cpu_s for use in spent) / ROLLOUTS,
            "busy_bytes_per_change": statistics.fmean(use.io_bytes for use in spent) / ROLLOUTS,
            "busy_s_per_change": took / ROLLOUTS,
        }

    async def roll_out(self) -> float:
        """Bring the next version into force; seconds from submission to the last entry."""
        signed = await asyncio.to_thread(self._fleet.sign)
        began = time.time()
        await asyncio.to_thread(self._fleet.submit, signed)
        version = self._fleet.version
        await self._fleet.until(
            lambda: all(self._in_force_at(name, version) for name in self._names),
            f"version {version} is in force",
        )
        last = max(self._in_force_at(name, version) or 0.0 for name in self._names)
        return last - began

    def _in_force_at(self, name: str, version: int) -> t.Optional[float]:
        for found in _IN_FORCE.finditer(self._fleet.log_of(name)):
            if int(found[2]) >= version:
                return datetime.datetime.fromisoformat(found[1]).timestamp()
        return None

    async def _counters(self) -> t.Dict[str, int]:
        async with self._session.get(f"{self._fleet.platform_url()}/counters") as answer:
            counters: t.Dict[str, int] = await answer.json()
            return counters

    def _pids(self) -> t.List[int]:
        return [self._fleet.process_by_name[name].pid for name in self._names]

    def _usages(self) -> t.List[Usage]:
        return [usage_of(pid) for pid in self._pids()]

    def _spent(self, before: t.Sequence[Usage]) -> t.List[Usage]:
        spent = []
        for old, new in zip(before, self._usages(), strict=True):
            spent.append(Usage(new.cpu_s - old.cpu_s, new.io_bytes - old.io_bytes))
        return spent


async def _measure(entries: int, targets: int) -> t.Dict[str, float]:
    with tempfile.TemporaryDirectory() as folder:
        fleet = CapacityFleet(pathlib.Path(folder))
        try:
            async with aiohttp.ClientSession() as session:
                bench = Bench(fleet, session, entries)
                await bench.start(targets)
                return {**await bench.idle(), **await bench.changes()}
        finally:
            fleet.close()


def fleet_by_entries() -> t.List[Sample]:
    """Idle cost, platform calls and rollout time against the number of entries."""
    samples = []
    for entries in ENTRY_COUNTS:
        measured = asyncio.run(_measure(entries, TARGET_COUNTS[0]))
        samples.append(Sample("fleet_by_entries", "entries", entries, measured))
    return samples


def fleet_by_targets() -> t.List[Sample]:
    """The same against the number of targets, with few entries."""
    samples = []
    for targets in TARGET_COUNTS:
        measured = asyncio.run(_measure(TARGET_ENTRIES, targets))
        samples.append(Sample("fleet_by_targets", "targets", targets, measured))
    return samples


SLOPES: t.Dict[str, t.Callable[[], t.List[Sample]]] = {
    "fleet_by_entries": fleet_by_entries,
    "fleet_by_targets": fleet_by_targets,
}
