"""A request that ends every target that begins to run it, sent again and again to a fleet.

Callers of one service were not served for seconds, three times within a minute and a half, while
all else went well. One request, with the same path, caller and body each time, ended the process
of every target that began it. Its caller sent it again under another id at any entry, each
attempt went on to a second target, and what else a target had in hand ended with it. Nobody told
anybody: an entry knew a request by its id alone, and a connection that ended looked the same
whether one answer was lost or the process was gone. 40 targets of a service with 20 ended in some
fifteen seconds, and the request still reached targets 15 times when the first three had been gone
for four seconds. These lines settled it:

    sends=i-62d5cc3686:connect:1,i-e384db0b63:broken:329,i-b13e713e76:connect:1
    sends=i-1bcfa5c8b7:stale:88,i-1bcfa5c8b7:connect:1,i-cd0a06bb2d:broken:114
    status=502 reason=broken ms=668 sends=i-baa4f24ec6:broken:667:5.5/6

Connections end within the exchange at one target after the other, and right after that the same
targets refuse new ones; the third line is the request itself, six seconds after it had ended its
third target.
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
DEADLY = b"deadly"
#: Seconds from when a request has ended three targets until all entries that nothing was wrong with
#: meanwhile must know it, and how often it may reach targets from then on.
STABLE_S = 3.0
MOST_LATER = 3
_TARGETS = 6
_ENTRIES = 4
_SERVICE = "s1"
_BACK_AFTER_S = 1.0
_EVERY_S = 0.1
#: Seconds for which the request comes again once it must be known.
_LATER_S = 2.5


class MortalInstance(InstanceStandin):
    """An instance whose process ends under a certain request, and starts again under another id."""

    def __init__(self, instance_id: str, zone: str, store: StoreStandin) -> None:
        super().__init__(instance_id)
        self.zone = zone
        self._store = store
        self._lifetimes = itertools.count(1)
        self._restarts: t.Set["asyncio.Task[None]"] = set()
        #: When the request came, and when the process ended of it.
        self.arrived_at: t.List[float] = []
        self.ended_at: t.List[float] = []

    def register(self) -> None:
        self._store.put("servers", self.instance_id, self.row(_SERVICE, self.zone))

    async def _run(self, received: ReceivedRequest) -> None:
        if received.body != DEADLY or received.header("x-expected-instance") != self.instance_id:
            await super()._run(received)
            return
        self.arrived_at.append(time.monotonic())
        await asyncio.sleep(self.service_time_s)
        if self.listening:
            self.ended_at.append(time.monotonic())
            self._restarts.add(asyncio.create_task(self._restart()))

    async def _restart(self) -> None:
        self.go_down()
        await asyncio.sleep(_BACK_AFTER_S)
        self._store.remove("servers", self.instance_id)
        base = self.instance_id.partition("-again")[0]
        self.instance_id = f"{base}-again{next(self._lifetimes)}"
        await self.come_back()
        self.register()


class Scenario:
    """Entries, targets, and the callers of the deadly request and of others."""

    def __init__(self, installation: Installation, targets: t.Sequence[MortalInstance]) -> None:
        self.installation = installation
        self.targets = targets
        self._turns = itertools.count()
        self._asked: t.Set["asyncio.Task[t.Any]"] = set()

    def arrivals_since(self, at: float) -> int:
        """How often the deadly request reached targets since then."""
        return sum(one >= at for target in self.targets for one in target.arrived_at)

    def ended(self) -> t.List[float]:
        """When targets ended of it."""
        return sorted([at for target in self.targets for at in target.ended_at])

    async def send_deadly(self, entries: t.Sequence[EntryProcess], seconds: float) -> None:
        """Send it again and again for some time, at one entry after the other."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            entry = entries[next(self._turns) % len(entries)]
            ask = self.installation.request(entry, PATH, DEADLY)
            self._asked.add(asyncio.create_task(ask))
            await asyncio.sleep(_EVERY_S)

    async def until_ended(self, entries: t.Sequence[EntryProcess], count: int) -> float:
        """Send it until it has ended so many targets; when the last of these ended."""
        while len(self.ended()) < count:
            await self.send_deadly(entries, _EVERY_S)
        return self.ended()[count - 1]

    async def served(self, entry: EntryProcess, path: str, body: bytes) -> bool:
        return (await self.installation.request(entry, path, body))[:2] == (200, body)


class CrashingRequestTest(unittest.TestCase):
    def test_it_reaches_few_targets_once_it_has_ended_three(self) -> None:
        """At all entries: one that stood still meanwhile, and one that was killed, know it, too."""

        async def scenario(scenario: Scenario) -> None:
            entries = scenario.installation.entries
            *others, still = entries
            still.signal(signal.SIGSTOP)
            third_at = await scenario.until_ended(others, 3)
            still.signal(signal.SIGCONT)
            killed = entries[0]
            killed.signal(signal.SIGKILL)
            await killed.wait_ended()
            killed.start()
            await scenario.installation.wait_until_ready(killed)
            known_at = time.monotonic() + STABLE_S
            await scenario.send_deadly(others[1:], STABLE_S)
            await scenario.send_deadly(entries, _LATER_S)
            later = scenario.arrivals_since(max(third_at + STABLE_S, known_at))
            self.assertLessEqual(later, MOST_LATER)
            for entry in entries:
                for path, body in ((PATH, b"another"), ("/p/17/other", DEADLY[:-1])):
                    await scenario.installation.wait_until(
                        f"{entry.name} serves another request",
                        lambda entry=entry, path=path, body=body: scenario.served(
                            entry, path, body
                        ),
                    )

        self.run_scenario(scenario)

    def run_scenario(self, scenario: t.Callable[[Scenario], t.Awaitable[None]]) -> None:
        async def main() -> None:
            with tempfile.TemporaryDirectory() as folder:
                async with StoreStandin() as store:
                    targets = [
                        MortalInstance(f"i-{number}", ZONES[number % len(ZONES)], store)
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
