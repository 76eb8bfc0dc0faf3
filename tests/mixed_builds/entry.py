"""`coralfall entry`: a fleet of which one half runs each build, and a change to the new one."""

import asyncio
import itertools
import pathlib
import signal
import typing as t
from unittest import mock

import aiohttp

from tests.load import Load
from tests.mixed_builds import data
from tests.mixed_builds.builds import NEW, OLD, Builds, Report
from tests.processes import PARTNER, Fleet

ENTRIES = ("e1", "e2", "e3", "e4")
#: Fewer than other tests have, for a small machine; each has a target in both regions.
SERVICES = ("catalogo", "pedidos")
TARGETS = ("catalogo-1", "catalogo-2", "pedidos-1", "pedidos-2")
#: Of these the old build is started first, and the new one later.
_CHANGED = ENTRIES[:2]
#: After these the callers' guide lets a caller send the same key again: its answer is not written
#: down yet, or it was not run and may be soon.
_AGAIN = (409, 503)
_TRIES = 100
_TRY_S = 0.1

Answer = t.Tuple[int, str, bytes]


def fleet(builds: Builds, report: Report, folder: pathlib.Path) -> None:
    """Play both halves, and the change of one of them."""

    def choice(name: str, starts: int) -> str:
        return OLD if name in _CHANGED and not starts else NEW

    services = mock.patch("tests.processes.SERVICES", SERVICES)
    with report.check("entry: the play reached its end"), builds.chosen(choice), services:
        asyncio.run(_play(builds, report, folder))


async def _play(builds: Builds, report: Report, folder: pathlib.Path) -> None:
    builds.others = OLD
    fleet = Fleet(folder)
    fleet.trace_slots = False
    fleet.spare_slots = 20
    try:
        async with aiohttp.ClientSession() as session:
            await _Play(builds, report, fleet, session).all()
    finally:
        builds.others = NEW
        fleet.close()


class _Play:
    """One fleet, first of both builds and then of the new one."""

    def __init__(
        self, builds: Builds, report: Report, fleet: Fleet, session: aiohttp.ClientSession
    ) -> None:
        self._builds = builds
        self._report = report
        self._fleet = fleet
        self._session = session
        #: The first answer to each key.
        self._answer_by_key: t.Dict[str, Answer] = {}

    async def all(self) -> None:
        """All parts; the first that fails ends the play."""
        await self._start()
        for build in (OLD, NEW):
            self._builds.others = build
            await self._part(f"half and half, {build} commands", self._serve(f"mixed-{build}"))
            self._compare(f"submitted by the {build} build")
        await self._part("the old half stopped and started as new, under load", self._change())
        await self._part("all new", self._serve("all-new"))
        await self._part("keys of all parts, asked again everywhere", self._all_again())
        self._report.tell("entry: no error in the logs", self._fleet.unhandled(ENTRIES))

    async def _part(self, name: str, part: t.Awaitable[t.List[str]]) -> None:
        with self._report.check(f"entry: {name}") as differing:
            differing += await part
        if differing:
            raise AssertionError(f"ended by a failure: {name}")

    async def _start(self) -> None:
        self._fleet.start_platform()
        for target in TARGETS:
            self._fleet.start_target(target)
        await self._fleet.up(self._session, "platform", "/vms")
        await self._fleet.set_vms(self._session, *ENTRIES)
        for entry in ENTRIES:
            self._fleet.start_entry(entry)
        for name in (*TARGETS, *ENTRIES):
            await self._fleet.up(self._session, name)

    async def _roll_out(self) -> None:
        """The next version, signed and submitted by the command line, is in force everywhere."""
        await asyncio.to_thread(self._fleet.roll_out)
        for entry in ENTRIES:

            async def in_force(entry: str = entry) -> bool:
                status = await self._fleet.status(self._session, entry)
                return bool(status["versions"][PARTNER]["in_force"] == self._fleet.version)

            await self._fleet.until(in_force, f"the version is in force at {entry}")

    async def _serve(self, part: str) -> t.List[str]:
        """A new version comes in force; each entry serves reads, and commands with keys.

        What differs: answers that are not well, or not the same at an entry of the other half.
        """
        await self._roll_out()
        differing: t.List[str] = []
        for entry in ENTRIES:
            await self._fleet.ready(self._session, entry, part)
        for first, second in itertools.permutations(ENTRIES, 2):
            key = f"{part}-{first}-{second}"
            self._answer_by_key[key] = await self._command(first, key)
            differing += await self._again(key, second)
        for first, second in itertools.product(ENTRIES[:2], ENTRIES[2:]):
            key = f"{part}-{first}+{second}"
            at_once = [self._command(entry, key) for entry in (first, second)]
            self._answer_by_key[key], _ = await asyncio.gather(*at_once)
            differing += await self._again(key, second)
        for key, answer in self._answer_by_key.items():
            if answer[:2] != (200, "done"):
                differing.append(f"{key}: {answer}")
        return differing

    async def _all_again(self) -> t.List[str]:
        differing: t.List[str] = []
        for key, entry in itertools.product(self._answer_by_key, ENTRIES):
            differing += await self._again(key, entry)
        return differing

    async def _command(self, entry: str, key: str) -> Answer:
        """Status, outcome and body, once the key has an answer that stays."""
        url = self._fleet.url(entry, "pedidos", key)
        for _ in range(_TRIES):
            headers = {"idempotency-key": key}
            async with self._session.post(url, data=b"2 kits", headers=headers) as answer:
                found = answer.status, answer.headers["coralfall-outcome"], await answer.read()
            if found[0] not in _AGAIN:
                break
            await asyncio.sleep(_TRY_S)
        return found

    async def _again(self, key: str, entry: str) -> t.List[str]:
        """What differs when a key is sent again: its answer, or that it ran but once."""
        differing = []
        answer = await self._command(entry, key)
        if answer != self._answer_by_key[key]:
            differing.append(f"{key} at {entry}: {answer}, not {self._answer_by_key[key]}")
        ran = 0
        for target in TARGETS:
            done = await self._fleet.effects(self._session, target)
            ran += sum(effect["key"] == key for effect in done["effects"])
        if ran != 1:
            differing.append(f"{key} ran {ran} times")
        return differing

    async def _change(self) -> t.List[str]:
        """Stop each old entry and start it again as new, while callers go on; what they saw."""
        load = Load(self._fleet, self._session, "change")
        load.read(*ENTRIES)
        load.read(*ENTRIES[::-1])
        load.command(*ENTRIES)
        load.command(*ENTRIES[::-1])
        differing = []
        try:
            for entry in _CHANGED:
                await load.serves_more()
                self._fleet.signal(entry, signal.SIGTERM)
                status = await self._fleet.exit_status(entry)
                if status:
                    differing.append(f"{entry} ended with status {status}")
                await load.serves_more()
                self._fleet.start_entry(entry)
                await self._fleet.up(self._session, entry)
                await self._fleet.ready(self._session, entry, "changed")
            await load.serves_more()
        finally:
            await load.stop()
        return differing + await load.check(TARGETS)

    def _compare(self, when: str) -> None:
        """What commands of both builds tell of the platform's data."""
        platform = ("--platform", self._fleet.platform_url())
        for words in (("status",), ("history", "--partner", PARTNER)):
            command = ("bundle", *words, *platform)
            name = f"data: bundle {' '.join(words)}, {when}"
            data.compare(self._builds, self._report, name, [command])
