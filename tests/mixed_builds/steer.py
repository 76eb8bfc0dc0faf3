"""`coralfall steer` of both builds in one fleet: runs of the soak, and what one tells the other."""

import asyncio
import pathlib
import re
import shutil
import typing as t

from tests.mixed_builds.builds import NEW, OLD, Builds, Choice, Report, even_runs, rolling
from tests.platform_adapter.standins import InstanceStandin
from tests.platform_adapter.test_crashing_request import (
    CRASHING_BODY,
    PATH,
    CrashingRequestTest,
    Scenario,
)
from tests.platform_adapter.test_processes import EntryProcess, Installation, run_scenario
from tests.platform_adapter.test_target_reports import Callers, find_home
from tests.soak.run import run

#: Seconds of trouble in a run of the soak, and how many runs at a time, of four entries each.
_SOAK_S = 15.0
_SOAKS_AT_A_TIME = 2
_KINDS: t.Tuple[t.Tuple[str, Choice, bool], ...] = (
    ("half and half", even_runs(OLD), False),
    ("half and half, deadly", even_runs(OLD), True),
    ("each restart to the other build, deadly", rolling, True),
)
_TENANTS = [
    {"name": f"acme{number}", "apiKeys": [f"sesame-{number}"], "ratePerS": 1, "burst": 1}
    for number in range(8)
]
_ASKED = 30
#: Requests of a tenant that may be served in five seconds, and sends that the platform's pages
#: allow a target with a limit in four, and one in a cooldown.
_MOST_SERVED = (1 * 5 + 1) * 1.1 + 20
_LIMIT_PER_S = 3.0
_WINDOW_S = 4.0
_MOST_SENT = 1.5 * _LIMIT_PER_S * _WINDOW_S + 5
_COOLDOWN_S = 3.0
_MOST_IN_COOLDOWN = 2

Told = t.Callable[[Installation, t.List[InstanceStandin]], t.Awaitable[None]]


def soak(builds: Builds, report: Report, seeds: t.Sequence[int], folder: pathlib.Path) -> None:
    """Play seeds of the soak in all kinds; the soak's rules judge."""

    async def installation(choice: Choice, deadly: bool, name: str) -> None:
        turns = asyncio.Semaphore(_SOAKS_AT_A_TIME)

        async def one(seed: int) -> None:
            place = folder / f"soak-{re.sub('[^a-z]+', '-', name)}-{seed}"
            place.mkdir()
            async with turns:
                with report.check(f"steer: soak, {name}, seed {seed}") as differing:
                    outcome = await run(seed, _SOAK_S, place, timed=False, deadly=deadly)
                    differing += outcome.faults
                    if not outcome.served:
                        differing.append("nothing was served")

        with builds.chosen(choice):
            await asyncio.gather(*[one(seed) for seed in seeds])

    for name, choice, deadly in _KINDS:
        builds.starts.clear()
        asyncio.run(installation(choice, deadly, name))
        starts = [f"{builds.starts[build]} starts of the {build} build" for build in (OLD, NEW)]
        unused = [build for build in (OLD, NEW) if not builds.starts[build]]
        report.tell(f"steer: builds that ran, {name}", unused, ", ".join(starts))


def knowledge(builds: Builds, report: Report, folder: pathlib.Path) -> None:
    """Tell an entry of one build and look at an entry of the other one, in both directions."""
    for build in (OLD, NEW):
        for name, scenario, tenants in (
            ("quota of tenants", _quota, _TENANTS),
            ("limit of a target", _limit, None),
            ("departure", _departure, None),
            ("cooldown", _cooldown, None),
        ):
            place = folder / f"told-{name.replace(' ', '-')}-{build}"
            with (
                report.check(f"steer: {name}, told to the {build} build"),
                builds.chosen(even_runs(build)),
            ):
                run_scenario(_kept(scenario, place), entries=2, tenants=tenants)
        place = folder / f"told-quarantine-{build}"
        with (
            report.check(f"steer: quarantined request, told to the {build} build"),
            builds.chosen(even_runs(build)),
        ):
            CrashingRequestTest().run_scenario(
                lambda scenario, place=place: _quarantine(scenario, place)
            )


def _kept(scenario: Told, place: pathlib.Path) -> Told:
    """A scene whose entries' logs are kept."""

    async def kept(installation: Installation, instances: t.List[InstanceStandin]) -> None:
        try:
            await scenario(installation, instances)
        finally:
            _keep_logs(installation, place)

    return kept


def _keep_logs(installation: Installation, place: pathlib.Path) -> None:
    place.mkdir()
    for entry in installation.entries:
        shutil.copy(entry.log, place)


def _lines(entry: EntryProcess, *parts: str) -> t.List[str]:
    """Lines of an entry's log that have all parts."""
    lines = entry.log.read_text(errors="replace").splitlines()
    return [line for line in lines if all(f" {part}" in line for part in parts)]


async def _until_line(installation: Installation, entry: EntryProcess, *parts: str) -> None:
    async def logged() -> bool:
        return bool(_lines(entry, *parts))

    await installation.wait_until(f"{entry.name} logs {' '.join(parts)}", logged)


def _expect(holds: bool, otherwise: t.Any) -> None:
    if not holds:
        raise AssertionError(otherwise)


async def _quota(installation: Installation, _instances: t.List[InstanceStandin]) -> None:
    """Each entry counts for some tenants, and the other one asks it for permits."""
    first, second = installation.entries

    async def both_ask() -> bool:
        for number in range(len(_TENANTS)):
            for entry in installation.entries:
                await installation.request(entry, key=f"sesame-{number}")
        asked = [
            _lines(entry, "reason=over-limit", f"quota={owner.name}:")
            for entry, owner in ((first, second), (second, first))
        ]
        return all(asked)

    # An entry that started alone counts for all tenants for a while.
    await installation.wait_until("each entry asks the other one", both_ask)
    served = dict.fromkeys(range(len(_TENANTS)), 0)
    for number in served:
        for turn in range(_ASKED):
            entry = installation.entries[turn % 2]
            status, _, _ = await installation.request(entry, key=f"sesame-{number}")
            served[number] += status == 200
            _expect(status in (200, 429), f"{entry.name} answered {status}")
    _expect(max(served.values()) <= _MOST_SERVED, f"served of each tenant: {served}")
    for entry in installation.entries:
        _expect(not _lines(entry, "event=quota.owner-silent"), f"{entry.name}: an owner was silent")


async def _limit(installation: Installation, instances: t.List[InstanceStandin]) -> None:
    """A limit that one entry read binds both, and both get permits."""
    teller, listener = installation.entries
    home = await find_home(Callers(installation, installation.entries), instances)
    home.limit_per_s = _LIMIT_PER_S
    await Callers(installation, [teller]).send(0.5)
    limit = ("event=target.limit", f"target={home.instance_id}", f"rate_per_s={_LIMIT_PER_S:g}")
    await _until_line(installation, listener, *limit, "evidence=told")
    _, text = await installation.get(listener.ports["metrics"], "/metrics")
    _expect(b"coralfall_targets_limited 1.0" in text, "the metric does not show the limit")
    callers = Callers(installation, installation.entries)
    await callers.send(_WINDOW_S)
    before = len(home.executed_ids)
    await callers.send(_WINDOW_S)
    came = [request_id.partition("-")[0] for request_id in home.executed_ids[before:]]
    sent = {entry.name: came.count(entry.name) for entry in installation.entries}
    _expect(all(sent.values()) and len(came) <= _MOST_SENT, f"sent in a window: {sent}")
    _expect(set(callers.statuses) == {200}, f"statuses {set(callers.statuses)}")


async def _departure(installation: Installation, instances: t.List[InstanceStandin]) -> None:
    """While the store is away, a target that told one entry of its leaving gets none of both."""
    teller, listener = installation.entries
    home = await find_home(Callers(installation, installation.entries), instances)
    installation.store.mode = "silent"
    home.leaving = True
    await Callers(installation, [teller]).send(0.5)
    leaving = ("event=target.leaving", f"target={home.instance_id}", "evidence=told")
    await _until_line(installation, listener, *leaving)
    before = len(home.executed_ids)
    callers = Callers(installation, installation.entries)
    await callers.send(1.0)
    _expect(
        home.executed_ids[before:] == [],
        f"sent to the leaving target: {home.executed_ids[before:]}",
    )
    _expect(set(callers.statuses) == {200}, f"statuses {set(callers.statuses)}")


async def _cooldown(installation: Installation, instances: t.List[InstanceStandin]) -> None:
    """A cooldown binds the entry that was rejected, and no other: each build keeps its own."""
    teller, listener = installation.entries
    home = await find_home(Callers(installation, installation.entries), instances)
    home.cooldown_s = _COOLDOWN_S
    before = len(home.received_ids)
    teller_callers = Callers(installation, [teller])
    await teller_callers.send(_COOLDOWN_S / 2)
    cooldown = ("event=target.cooldown", f"target={home.instance_id}")
    await _until_line(installation, teller, *cooldown)
    _expect(not _lines(listener, *cooldown), "the other entry took in a cooldown not its own")
    listener_callers = Callers(installation, [listener])
    await listener_callers.send(_COOLDOWN_S / 2)
    await _until_line(installation, listener, *cooldown)
    came = [request_id.partition("-")[0] for request_id in home.received_ids[before:]]
    sent = {entry.name: came.count(entry.name) for entry in installation.entries}
    _expect(min(sent.values()) > 0 and max(sent.values()) <= _MOST_IN_COOLDOWN, f"sent: {sent}")
    statuses = {*teller_callers.statuses, *listener_callers.statuses}
    _expect(statuses == {200}, f"statuses {statuses}")


async def _quarantine(scenario: Scenario, place: pathlib.Path) -> None:
    """A request that ended targets at entries of one build is refused by those of the other one."""
    installation = scenario.installation
    try:
        await scenario.send_until_crashes(installation.entries[::2], 3)
        for entry in installation.entries[1::2]:
            await _until_line(installation, entry, "event=request.quarantined")
        before = scenario.arrivals_since(0.0)
        for entry in installation.entries[1::2]:
            _, _, request_id = await installation.request(entry, PATH, CRASHING_BODY)
            await _until_line(installation, entry, f"id={request_id}", "reason=quarantined")
        _expect(scenario.arrivals_since(0.0) == before, "the request reached a target")
    finally:
        _keep_logs(installation, place)
