"""Tests that a request which crashes every target that runs it is quarantined by the whole fleet.

The failure: one request, with the same path, caller and body each time, ended the process of every
target that began to run it. Its caller retried it under new ids at any entry, each attempt went on
to a second target, and whatever else a crashed target had in flight failed with it. Entries knew a
request by its id alone and exchanged nothing about it, and a closed connection looked the same
whether one answer was lost or the process was gone. 40 targets, of a service with 20, crashed in
some 15 s, callers of the service were not served for seconds three times within 90 s, and the
request still reached targets 15 times when 4 s had passed since the first three crashes. In the
log, connections break within the exchange at one target after the other, and the same targets then
refuse new ones:

    sends=i-62d5cc3686:connect:1,i-e384db0b63:broken:329,i-b13e713e76:connect:1
    sends=i-1bcfa5c8b7:stale:88,i-1bcfa5c8b7:connect:1,i-cd0a06bb2d:broken:114
    status=502 reason=broken ms=668 sends=i-baa4f24ec6:broken:667:5.5/6

The third line is the request itself, 6 s after it had crashed its third target.
"""

import asyncio
import itertools
import pathlib
import signal
import tempfile
import time
import typing as t
import unittest

from tests.platform_adapter.standins import InstanceStandin, StoreStandin, config
from tests.platform_adapter.test_processes import ZONES, EntryProcess, Installation
from tests.traffic.scripted_target import ReceivedRequest

PATH = "/p/17/report"
CRASHING_BODY = b"deadly"
#: Time in seconds, from when a request has crashed three targets, until all entries that were sound
#: meanwhile must know it, and how often it may reach targets from then on.
STABLE_S = 3.0
MAX_LATER_ARRIVALS = 3
_TARGETS = 6
_ENTRIES = 4
_SERVICE = "s1"
_RESTART_DELAY_S = 1.0
_SEND_INTERVAL_S = 0.1
#: Time in seconds for which the request is sent on once all entries must know it.
_OBSERVED_S = 2.5


class CrashingInstance(InstanceStandin):
    """Instance that crashes on a certain request and restarts under another id."""

    def __init__(self, instance_id: str, zone: str, store: StoreStandin) -> None:
        super().__init__(instance_id)
        self.zone = zone
        self._store = store
        self._lifetimes = itertools.count(1)
        self._restarts: t.Set["asyncio.Task[None]"] = set()
        #: Times at which the request arrived, and at which it crashed the process.
        self.arrived_at: t.List[float] = []
        self.crashed_at: t.List[float] = []

    def register(self) -> None:
        self._store.put("servers", self.instance_id, self.row(_SERVICE, self.zone))

    async def _run(self, received: ReceivedRequest) -> None:
        if (
            received.body != CRASHING_BODY
            or received.header("x-expected-instance") != self.instance_id
        ):
            await super()._run(received)
            return
        self.arrived_at.append(time.monotonic())
        await asyncio.sleep(self.service_time_s)
        if self.listening:
            self.crashed_at.append(time.monotonic())
            self._restarts.add(asyncio.create_task(self._restart()))

    async def _restart(self) -> None:
        self.go_down()
        await asyncio.sleep(_RESTART_DELAY_S)
        self._store.remove("servers", self.instance_id)
        base = self.instance_id.partition("-again")[0]
        self.instance_id = f"{base}-again{next(self._lifetimes)}"
        await self.come_back()
        self.register()


class Scenario:
    """Entries, targets, and callers that send the crashing request and others."""

    def __init__(self, installation: Installation, targets: t.Sequence[CrashingInstance]) -> None:
        self.installation = installation
        self.targets = targets
        self._entry_counter = itertools.count()
        self._tasks: t.Set["asyncio.Task[t.Any]"] = set()

    def arrivals_since(self, at: float) -> int:
        """Returns how often the crashing request has reached targets since a point in time."""
        return sum(one >= at for target in self.targets for one in target.arrived_at)

    def crash_times(self) -> t.List[float]:
        """Returns the times of all crashes, in order."""
        return sorted([at for target in self.targets for at in target.crashed_at])

    async def send_crashing(self, entries: t.Sequence[EntryProcess], seconds: float) -> None:
        """Sends the crashing request repeatedly for some time, to one entry after the other."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            entry = entries[next(self._entry_counter) % len(entries)]
            request = self.installation.request(entry, PATH, CRASHING_BODY)
            self._tasks.add(asyncio.create_task(request))
            await asyncio.sleep(_SEND_INTERVAL_S)

    async def send_until_crashes(self, entries: t.Sequence[EntryProcess], count: int) -> float:
        """Sends it until it has crashed ``count`` targets; returns the time of the last crash."""
        while len(self.crash_times()) < count:
            await self.send_crashing(entries, _SEND_INTERVAL_S)
        return self.crash_times()[count - 1]

    async def is_served(self, entry: EntryProcess, path: str, body: bytes) -> bool:
        return (await self.installation.request(entry, path, body))[:2] == (200, body)


class CrashingRequestTest(unittest.TestCase):
    def test_few_targets_are_reached_after_three_crashes(self) -> None:
        """Holds at all entries, also at one that was paused meanwhile and one that was killed."""

        async def scenario(scenario: Scenario) -> None:
            entries = scenario.installation.entries
            *others, paused = entries
            paused.signal(signal.SIGSTOP)
            third_crash_at = await scenario.send_until_crashes(others, 3)
            paused.signal(signal.SIGCONT)
            killed = entries[0]
            killed.signal(signal.SIGKILL)
            await killed.wait_ended()
            killed.start()
            await scenario.installation.wait_until_ready(killed)
            restarted_known_at = time.monotonic() + STABLE_S
            await scenario.send_crashing(others[1:], STABLE_S)
            await scenario.send_crashing(entries, _OBSERVED_S)
            later = scenario.arrivals_since(max(third_crash_at + STABLE_S, restarted_known_at))
            self.assertLessEqual(later, MAX_LATER_ARRIVALS)
            for entry in entries:
                for path, body in ((PATH, b"another"), ("/p/17/other", CRASHING_BODY[:-1])):
                    await scenario.installation.wait_until(
                        f"{entry.name} serves another request",
                        lambda entry=entry, path=path, body=body: scenario.is_served(
                            entry, path, body
                        ),
                    )

        self.run_scenario(scenario)

    def run_scenario(self, scenario: t.Callable[[Scenario], t.Awaitable[None]]) -> None:
        async def main() -> None:
            with tempfile.TemporaryDirectory() as folder:
                async with StoreStandin() as store:
                    targets = [
                        CrashingInstance(f"i-{number}", ZONES[number % len(ZONES)], store)
                        for number in range(_TARGETS)
                    ]
                    for target in targets:
                        target.service_time_s = 0.05
                        await target.__aenter__()
                        target.register()
                    store.put("op", "config", config(1))
                    async with Installation(pathlib.Path(folder), store, _ENTRIES) as installation:
                        await installation.wait_until_ready()
                        await scenario(Scenario(installation, targets))
                    for target in targets:
                        await target.__aexit__()

        asyncio.run(main())
