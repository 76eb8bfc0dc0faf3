"""Tests of entries that lose their links to targets, which others reach."""

import asyncio
import collections
import pathlib
import tempfile
import typing as t
import unittest

from parameterized import parameterized

from tests.linked_entry import LINKS_VARIABLE, LinkFile, Loss
from tests.platform_adapter.standins import InstanceStandin, StoreStandin, config
from tests.platform_adapter.test_processes import (
    ZONES,
    EntryProcess,
    Installation,
)

#: First tries at each entry that are judged, and the part of them that has to be served.
_JUDGED = 20
_SERVED_PART = 2 / 3
#: Seconds after which a cut counts as known, and between two requests at a busy and a quiet entry.
_KNOWN_S = 3.0
_BUSY_S = 0.05
_QUIET_S = 1.0
READ, ORDER, OTHER = "/read/", "/order/", "/other/"


class LinkedEntry(EntryProcess):
    """An entry whose links to targets may be lost."""

    command = ("-m", "tests.linked_entry", "steer")

    def __init__(self, folder: pathlib.Path, number: int, store: str) -> None:
        super().__init__(folder, number, store)
        self.links = LinkFile(folder / f"{self.name}.links")
        self.variables = {LINKS_VARIABLE: str(self.links.path)}


class LinkedInstallation(Installation):
    """An installation of such entries."""

    entry_type = LinkedEntry


def make_state(version: int = 1) -> t.Dict[str, t.Any]:
    """Reads and commands at the service s1, and reads at s2."""
    state = config(version)
    model = state["routes"][0]
    state["routes"] = [
        {**model, "name": "read", "prefix": READ},
        {**model, "name": "order", "prefix": ORDER, "kind": "unsafe"},
        {**model, "name": "other", "prefix": OTHER, "service": "s2"},
    ]
    state["services"].append({**state["services"][0], "name": "s2"})
    return state


class Fleet:
    """An installation with its instances, the requests that were sent, and their answers."""

    def __init__(self, installation: LinkedInstallation, instances: t.List[InstanceStandin]):
        self.installation = installation
        self.instances = instances
        self.entries = t.cast(t.List[LinkedEntry], installation.entries)

    def addresses_of(self, service: str) -> t.List[str]:
        number = int(service[1:]) - 1
        return [instance.address for instance in self.instances[number * 6 : number * 6 + 6]]

    async def send(self, entry: EntryProcess, path: str, count: int, pause_s: float) -> t.List[int]:
        """Sends requests one after the other without waiting for answers; returns the statuses."""
        sent = []
        for number in range(count):
            body = b"order" if path == ORDER else None
            request = self.installation.request(entry, f"{path}{number}", body=body)
            sent.append(asyncio.create_task(request))
            await asyncio.sleep(pause_s)
        return [answer[0] for answer in await asyncio.gather(*sent)]

    async def served(
        self, entries: t.Sequence[EntryProcess], path: str, pause_s: float
    ) -> t.List[int]:
        """Returns how many of the judged requests each entry served at the first try."""
        sends = [self.send(entry, path, _JUDGED, pause_s) for entry in entries]
        return [statuses.count(200) for statuses in await asyncio.gather(*sends)]

    async def wait_until_direct(self, entry: LinkedEntry) -> None:
        """Waits until an entry uses its own connections to all services again."""

        async def is_direct() -> bool:
            text = entry.log.read_text()
            return text.count("event=service.cut-off") == text.count("event=service.direct")

        await self.installation.wait_until(f"{entry.name} is not cut off", is_direct)

    def commands_run_twice(self) -> t.List[str]:
        """Returns the paths of commands that ran more than once."""
        runs = collections.Counter(
            (received.header("x-request-id"), received.head.split(b" ")[1].decode())
            for instance in self.instances
            for received in instance.received
        )
        return [path for (_, path), count in runs.items() if count > 1 and path.startswith(ORDER)]


Scenario = t.Callable[[Fleet], t.Awaitable[None]]


def run_fleet(
    scenario: Scenario,
    entries: int = 4,
    instance_type: t.Type[InstanceStandin] = InstanceStandin,
) -> None:
    """Runs a scenario with entries and six instances of each of two services."""

    async def main() -> None:
        with tempfile.TemporaryDirectory() as folder:
            async with StoreStandin() as store:
                instances = [instance_type(f"i-{number}") for number in range(12)]
                for number, instance in enumerate(instances):
                    await instance.__aenter__()
                    row = instance.row(f"s{number // 6 + 1}", ZONES[number % len(ZONES)])
                    store.put("servers", instance.instance_id, row)
                store.put("op", "config", make_state())
                async with LinkedInstallation(pathlib.Path(folder), store, entries) as fleet:
                    await fleet.wait_until_ready()
                    await scenario(Fleet(fleet, instances))
                for instance in instances:
                    await instance.__aexit__()

    asyncio.run(main())


class CutEntryTest(unittest.TestCase):
    @parameterized.expand(
        [
            # what is lost, the services that it concerns, and how many of four entries lose it
            ("silent", Loss.SILENT, ("s1", "s2"), 2),
            ("reset", Loss.RESET, ("s1", "s2"), 2),
            ("refusing new connections", Loss.REFUSING, ("s1", "s2"), 2),
            ("lost one way", Loss.ONE_WAY, ("s1", "s2"), 2),
            ("silent for one service", Loss.SILENT, ("s1",), 2),
            ("reset at all but one", Loss.RESET, ("s1", "s2"), 3),
        ]
    )
    def test_serves_first_tries_though_its_links_to_the_targets_are_lost(
        self, _name: str, loss: Loss, services: t.Sequence[str], count: int
    ) -> None:
        async def scenario(fleet: Fleet) -> None:
            cut, others = fleet.entries[:count], fleet.entries[count:]
            await fleet.served(fleet.entries, READ, _BUSY_S)
            addresses = [one for service in services for one in fleet.addresses_of(service)]
            for entry in cut:
                entry.links.set(loss, addresses)
            await fleet.served(fleet.entries, READ, _KNOWN_S / _JUDGED)
            for path in (READ, ORDER, OTHER):
                served = await fleet.served(fleet.entries, path, _BUSY_S)
                self.assertGreaterEqual(min(served), _JUDGED * _SERVED_PART, f"{path} {served}")
            self.assertEqual([], fleet.commands_run_twice())
            for entry in others:
                self.assertNotIn("event=target.resting", entry.log.read_text())
            for entry in fleet.entries:
                self.assertNotIn("event=target.crashed", entry.log.read_text())
            for entry in cut:
                entry.links.set(Loss.NONE)
                await fleet.wait_until_direct(entry)

        run_fleet(scenario)

    def test_a_quiet_entry_serves_first_tries(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            cut = fleet.entries[:2]
            await fleet.send(cut[0], READ, 3, _BUSY_S)
            for entry in cut:
                entry.links.set(Loss.SILENT)
            for entry in cut:
                await fleet.send(entry, READ, 3, _QUIET_S)
            statuses = await asyncio.gather(*[fleet.send(one, READ, 8, _QUIET_S) for one in cut])
            self.assertGreaterEqual(min([one.count(200) for one in statuses]), 8 * _SERVED_PART)

        run_fleet(scenario)

    def test_an_entry_whose_targets_are_down_is_not_cut_off(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            for instance in fleet.instances[:6]:
                instance.go_down()
            for entry in fleet.entries:
                statuses = await fleet.send(entry, READ, _JUDGED, _BUSY_S)
                self.assertLessEqual(set(statuses), {502, 503})
            for entry in fleet.entries:
                self.assertNotIn("event=service.cut-off", entry.log.read_text())

        run_fleet(scenario)
