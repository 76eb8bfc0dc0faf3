"""What must always hold, on separate processes of which some fail."""

import asyncio
import contextlib
import functools
import json
import pathlib
import signal
import tempfile
import time
import typing as t
import unittest

import aiohttp
import msgspec
from parameterized import parameterized

from coralfall.bundles import line
from coralfall.bundles.bundle import SignedBundle, VersionRef, digest_of, encode
from coralfall.bundles.signedfile import read_signed_file, write_signed_file
from coralfall.cluster.rows import head_key
from coralfall.ids import BundleVersion
from coralfall.process.clock import SystemClock
from coralfall.reporting.terminal import ExitCode
from coralfall.settings import PlatformSettings
from coralfall.stores.http_platform import HttpPlatform
from coralfall.stores.store import Platform, Write
from tests.event_rules import ALWAYS, Event, Kind, Rule, nothing_cut_off
from tests.load import Load
from tests.operators import make_bundle, sign_bundle
from tests.processes import PARTNER, Fleet

ENTRIES = ("e1", "e2", "e3")
TARGETS = ("catalogo-1", "catalogo-2", "pedidos-1", "pedidos-2", "acopio-1", "acopio-2")
#: Seconds after which callers leave that ask a stopped target, and times that it is stopped.
LEAVE_AFTER_S = 0.3
STOPS = 8
DOWN = {"mode": "down"}
ALL_DOWN = {"table": DOWN, "objects": DOWN, "vms": DOWN}

#: What a rogue writer makes of a bundle; the last is no head either.
ROGUE_OBJECTS = ("half signed", "forged", "other keys", "no bundle", "no head")

Break = t.Callable[["FailureCase"], t.Awaitable[None]]


class FailureCase(unittest.IsolatedAsyncioTestCase):
    """Shares one running system among the tests of a class; each leaves it whole."""

    fleet: Fleet
    names = ENTRIES
    targets = TARGETS

    @classmethod
    def setUpClass(cls) -> None:
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.fleet = Fleet(pathlib.Path(folder.name))
        cls.addClassCleanup(cls.fleet.close)
        cls.fleet.timeout_ms = 1000
        cls.fleet.ttl_s = 2.0
        cls.fleet.lookup_ttl_s = 0.5
        cls.fleet.spare_slots = 20
        asyncio.run(cls._start())

    @classmethod
    async def _start(cls) -> None:
        fleet = cls.fleet
        fleet.start_platform()
        for target in cls.targets:
            fleet.start_target(target, service_ms=20.0)
        async with aiohttp.ClientSession() as session:
            await fleet.up(session, "platform", "/vms")
            await fleet.set_vms(session, *ENTRIES)
            for entry in cls.names:
                fleet.start_entry(entry)
            for name in (*cls.targets, *cls.names):
                await fleet.up(session, name)
            fleet.roll_out()
            for entry in cls.names:
                await fleet.ready(session, entry)

    async def asyncSetUp(self) -> None:
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.load = Load(self.fleet, self.session, self._testMethodName.replace("_", "."))

    async def faults(self, **services: t.Any) -> None:
        await self.fleet.set_faults(self.session, services)

    async def target_faults(self, target: str, **faults: t.Any) -> None:
        url = f"http://{self.fleet.address_by_name[target]}/faults"
        async with self.session.post(url, json=faults) as answer:
            self.assertEqual(answer.status, 200)

    async def platform(self) -> Platform:
        """The platform, for tests that read or write it themselves."""
        client = HttpPlatform(PlatformSettings(url=self.fleet.platform_url()), SystemClock())
        self.addAsyncCleanup(client.close)
        return client.platform

    async def restart(self, entry: str) -> None:
        self.fleet.start_entry(entry)
        await self.fleet.up(self.session, entry)
        await self.fleet.ready(self.session, entry, f"{self._testMethodName}-again")

    async def status(self, entry: str) -> t.Any:
        """What an entry tells operators of itself."""
        return await self.fleet.status(self.session, entry)

    async def has(self, entry: str, what: str, version: int) -> bool:
        """Whether an entry has a version staged or in force."""
        return bool((await self.status(entry))["versions"][PARTNER][what] >= version)

    async def all_have(self, what: str, version: int) -> None:
        for entry in self.names:
            await self.fleet.until(
                functools.partial(self.has, entry, what, version), f"{what} on {entry}"
            )

    async def roll_out(self) -> None:
        """Bring the next version in force and tell the history so."""
        await asyncio.to_thread(self.fleet.roll_out)
        self.load.events.append(Event(Kind.IN_FORCE, "", version=self.fleet.version))

    async def stop_and_check(self, *more: Rule, recorded: bool = True) -> None:
        try:
            await self.load.stop()
        finally:
            # First, since it tells the cause of what callers saw.
            self.assertEqual(self.fleet.unhandled(self.names), [])
        rules = (*ALWAYS, *more)
        if recorded:
            faults = await self.load.check(self.targets, rules)
        else:
            faults = await self.load.check(self.targets, rules, command_rules=())
        self.assertEqual(faults[:10], [], f"paused: {self.fleet.pauses()[-20:]}")
        self.assertGreater(self.load.served, 0)

    def note(self, text: str) -> None:
        """Print a figure of this run."""
        print(f"[{self._testMethodName}] {text}")


# Ways to break something for a while. Each leaves everything whole.


async def kill_entry(case: FailureCase) -> None:
    """Kills an entry whose commands are at targets, and run after it is gone."""
    for target in ("pedidos-1", "pedidos-2"):
        await case.target_faults(target, slow_ms=300.0)
    await case.load.serves_more()
    case.fleet.signal("e1", signal.SIGKILL)
    await case.fleet.exit_status("e1")
    for target in ("pedidos-1", "pedidos-2"):
        await case.target_faults(target)
    await case.load.serves_more()
    await case.restart("e1")


async def hang_target(case: FailureCase) -> None:
    """Stops a target in the middle of requests, for longer than they may take."""
    case.fleet.signal("pedidos-1", signal.SIGSTOP)
    await asyncio.sleep(1.5)
    case.fleet.signal("pedidos-1", signal.SIGCONT)


async def lose_receipts(case: FailureCase) -> None:
    """Targets that run a command, and end the connection in place of an answer."""
    for target in ("pedidos-1", "acopio-1"):
        await case.target_faults(target, work="close-after", work_count=8)
    await case.load.serves_more()
    for target in ("pedidos-1", "acopio-1"):
        await case.target_faults(target)


def fault(seconds: float = 1.5, **table: t.Any) -> Break:
    """The table with a fault for some seconds."""

    async def break_table(case: FailureCase) -> None:
        await case.faults(table=table)
        await asyncio.sleep(seconds)
        await case.faults()

    return break_table


TABLE_DOWN = fault(mode="down")
TABLE_SLOW = fault(mode="slow", delay_s=0.3)
TABLE_HANGS = fault(mode="slow", delay_s=4.0)
ANSWER_LOST = fault(mode="answer-lost")
CALL_LOST = fault(mode="call-lost")


class TestCommands(FailureCase):
    """Commands run at most once, and nothing that was called not run has run."""

    @parameterized.expand(
        [
            ("entry killed", kill_entry),
            ("target hangs", hang_target),
            ("receipts lost", lose_receipts),
            ("table down", TABLE_DOWN),
            ("table slow", TABLE_SLOW),
            ("table hangs", TABLE_HANGS),
            ("answers lost", ANSWER_LOST),
            ("calls lost", CALL_LOST),
            ("entry killed, answers lost", kill_entry, ANSWER_LOST),
            ("receipts lost, answers lost", lose_receipts, ANSWER_LOST),
            ("receipts lost, table slow", lose_receipts, TABLE_SLOW),
            ("target hangs, table down", hang_target, TABLE_DOWN),
            ("target hangs, calls lost", hang_target, CALL_LOST),
        ]
    )
    async def test_commands(self, _name: str, *breaks: Break) -> None:
        for entries in (("e1", "e2"), ("e2", "e1"), ("e1", "e3"), ("e3", "e2")):
            self.load.command(*entries)
        for entry in ENTRIES:
            self.load.command_once(entry)
            self.load.read(entry)
        await self.load.serves_more()
        await asyncio.gather(*(broken(self) for broken in breaks))
        await self.load.serves_more()
        await self.stop_and_check()
        self.note(f"{self.load.served} served, longest gap {self.load.longest_gap_s:.2f} s")

    async def test_target_killed(self) -> None:
        """Its record of effects is lost, so only the callers' side is checked."""
        for entries in (("e1", "e2"), ("e2", "e3")):
            self.load.command(*entries)
            self.load.read(*entries)
        await self.load.serves_more()
        for target in ("pedidos-2", "catalogo-2"):
            self.fleet.signal(target, signal.SIGKILL)
            await self.fleet.exit_status(target)
        await self.load.serves_more()
        for target in ("pedidos-2", "catalogo-2"):
            self.fleet.start_target(target, service_ms=20.0)
        for target in ("pedidos-2", "catalogo-2"):
            # The check asks it what it did, and others can serve before it listens.
            await self.fleet.up(self.session, target, "/effects")
        await self.load.serves_more()
        await self.stop_and_check(recorded=False)
        self.note(f"longest gap {self.load.longest_gap_s:.2f} s")


class TestPausedEntry(FailureCase):
    """An entry that was stopped goes on only where nobody else does."""

    @parameterized.expand([("vm listed", True), ("vm gone", False)])
    async def test_pause_beyond_the_lease(self, _name: str, listed: bool) -> None:
        for entry in ENTRIES:
            for _ in range(8):
                self.load.read(entry)
            self.load.command(entry, "e2")
        await self.load.serves_more()
        before = (await self.status("e1"))["incarnation"]
        self.fleet.signal("e1", signal.SIGSTOP)
        if not listed:
            await self.set_vm("e1", False)
            stopped_at = time.monotonic()
            await self.fleet.until(lambda: self.is_removed("e1"), "e1 is removed")
            self.note(f"removed after {time.monotonic() - stopped_at:.1f} s")
        # Others take its slots over after they have rested; load goes on all the while.
        await asyncio.sleep(self.fleet.ttl_s + self.fleet.timeout_ms / 1000 + 1.0)
        await self.load.serves_more()
        await self.set_vm("e1", True)
        served = self.load.served_by_entry["e1"]
        # Others keep all slots busy, and the platform takes its time to tell that they do.
        for target in ("catalogo-1", "catalogo-2"):
            await self.target_faults(target, slow_ms=400.0)
        await self.faults(table={"mode": "slow", "delay_s": 0.5})
        await self.load.serves_more(16)
        woken_at = time.monotonic()
        self.fleet.signal("e1", signal.SIGCONT)
        await asyncio.sleep(1.0)
        await self.faults()
        for target in ("catalogo-1", "catalogo-2"):
            await self.target_faults(target)
        await self.fleet.until(
            lambda: self.load.served_by_entry["e1"] > served + 40, "e1 serves again"
        )
        self.note(f"served again {time.monotonic() - woken_at:.1f} s after it was woken")
        await self.stop_and_check()
        after = await self.status("e1")
        self.assertEqual(after["membership"], "joined")
        if listed:
            self.assertEqual(after["incarnation"], before)
            return
        self.assertIn("membership.removed", self.fleet.log_of("e1"))

    async def set_vm(self, entry: str, listed: bool) -> None:
        if listed:
            await self.fleet.set_vms(self.session, entry)
            return
        url = f"{self.fleet.platform_url()}/vms/vm-{entry}"
        async with self.session.delete(url) as answer:
            self.assertEqual(answer.status, 204)

    async def is_removed(self, entry: str) -> bool:
        members = (await self.status("e2"))["members"]
        return entry not in {member["entry_id"] for member in members}


class TestStoppedTarget(FailureCase):
    """A target that is stopped keeps its slots until it is seen to have ended its requests."""

    async def leave(self, entry: str, number: int) -> None:
        """Sends a read and leaves while its target is stopped."""
        url = self.fleet.url(entry, "catalogo", f"left-{number}?bytes=100")
        timeout = aiohttp.ClientTimeout(total=LEAVE_AFTER_S)
        with contextlib.suppress(TimeoutError, aiohttp.ClientError):
            async with self.session.get(url, timeout=timeout) as answer:
                await answer.read()

    async def test_callers_that_leave(self) -> None:
        """Guards against slots that are given back before a stopped target knows of it."""
        targets = ("catalogo-1", "catalogo-2")
        for target in targets:
            await self.target_faults(target, slow_ms=100.0)
        for number in range(STOPS):
            for target in targets:
                self.fleet.signal(target, signal.SIGSTOP)
            # More than there are slots, from callers that leave before their time is over.
            left = [self.leave(entry, number) for entry in ENTRIES for _ in range(4)]
            await asyncio.gather(*left)
            await asyncio.sleep(LEAVE_AFTER_S)
            more = [
                asyncio.create_task(self.leave(entry, number)) for entry in ENTRIES for _ in "four"
            ]
            await asyncio.sleep(LEAVE_AFTER_S / 2)
            for target in targets:
                self.fleet.signal(target, signal.SIGCONT)
            await asyncio.gather(*more)
        for target in targets:
            await self.target_faults(target)
        for entry in ENTRIES:
            self.load.read(entry)
        await self.load.serves_more()
        await self.stop_and_check()


class TestOutage(FailureCase):
    """The platform is away for several times the lease's time."""

    names = ENTRIES[:2]

    async def test_entries_go_on_and_new_ones_begin(self) -> None:
        for entry in self.names:
            self.load.read(entry)
            self.load.read(entry)
        await self.load.serves_more()
        await self.faults(**ALL_DOWN)
        await asyncio.sleep(3 * self.fleet.ttl_s)
        self.assertEqual((await self.status("e1"))["lease"], "frozen")
        await self.load.serves_more()
        gap = self.load.longest_gap_s
        started_at = time.monotonic()
        self.fleet.start_entry("e3")
        await self.fleet.up(self.session, "e3")
        self.load.read("e3")
        served = self.load.served_by_entry
        await self.fleet.until(lambda: served.get("e3", 0) > 20, "e3 serves")
        self.note(f"longest gap {gap:.2f} s; e3 served after {time.monotonic() - started_at:.1f} s")
        self.assertEqual((await self.status("e3"))["membership"], "outside")
        await self.faults()
        await self.fleet.until(lambda: self.is_joined("e3"), "e3 joins")
        self.load.command("e3", "e1")
        self.load.command_once("e2")
        await self.load.serves_more(200)
        await self.roll_out()
        await self.load.serves_more()
        await self.stop_and_check(nothing_cut_off)

    async def test_platform_lost_right_after_acceptance(self) -> None:
        """Hardly anybody but the coordinator has seen the new head then."""
        for entry in self.names:
            self.load.read(entry)
        await self.load.serves_more()
        signed = await asyncio.to_thread(self.fleet.sign)
        version = self.fleet.version
        client = await self.platform()
        submitted_at = time.monotonic()
        await asyncio.to_thread(self.fleet.submit, signed)
        while True:
            accepted = (await line.read_head(client, PARTNER)).head.accepted
            if accepted is not None and accepted.version == version:
                break
        await self.faults(**ALL_DOWN)
        lost_at = time.monotonic()
        await self.all_have("in_force", version)
        self.note(f"accepted after {lost_at - submitted_at:.2f} s")
        self.note(f"in force {time.monotonic() - lost_at:.2f} s after the platform was lost")
        self.load.events.append(Event(Kind.IN_FORCE, "", version=version))
        await self.load.serves_more()
        await self.faults()
        await self.stop_and_check(nothing_cut_off)

    async def is_joined(self, entry: str) -> bool:
        return bool((await self.status(entry))["membership"] == "joined")


class TestRollout(FailureCase):
    """Exactly the bundles that two operators signed are in force, and versions only rise."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for entry in ENTRIES:
            self.load.read(entry)
        await self.load.serves_more()

    async def test_entry_killed_while_it_stages(self) -> None:
        signed = await asyncio.to_thread(self.fleet.sign)
        await self.faults(objects={"mode": "slow", "delay_s": 1.0})
        await asyncio.to_thread(self.fleet.submit, signed)
        self.fleet.signal("e3", signal.SIGKILL)
        await self.fleet.exit_status("e3")
        await self.faults()
        # It is a member still, so nothing is accepted without it.
        await self.load.serves_more()
        self.assertFalse(await self.has("e1", "in_force", self.fleet.version))
        await self.restart("e3")
        await self.all_have("in_force", self.fleet.version)
        self.load.events.append(Event(Kind.IN_FORCE, "", version=self.fleet.version))
        await self.load.serves_more()
        await self.stop_and_check()

    async def test_entry_that_starts_in_an_outage(self) -> None:
        await self.roll_out()
        await self.faults(**ALL_DOWN)
        self.fleet.signal("e3", signal.SIGKILL)
        await self.fleet.exit_status("e3")
        await self.restart("e3")
        self.assertTrue(await self.has("e3", "in_force", self.fleet.version))
        await self.load.serves_more()
        await self.faults()
        await self.stop_and_check()

    async def test_racing_operators(self) -> None:
        texts = []
        for cap in (0.5, 0.6):
            self.fleet.cap = cap
            signed = await asyncio.to_thread(self.fleet.sign)
            texts.append(signed.rename(signed.with_suffix(f".{cap}")))
            self.fleet.version -= 1
        self.fleet.version += 1
        # Both sign the same version.
        trust, platform = str(self.fleet.folder / "trust.toml"), self.fleet.platform_url()
        options = ("--trust", trust, "--platform", platform, "--json")
        # Both have read the head before either writes it.
        await self.faults(table={"mode": "slow", "delay_s": 0.7})
        runs = []
        for path in texts:
            command = ("bundle", "submit", str(path), *options)
            runs.append(asyncio.to_thread(self.fleet.run, *command))
        ended = await asyncio.gather(*runs)
        await self.faults()
        codes = sorted(done.returncode for done in ended)
        self.assertEqual(codes, [ExitCode.GOOD, ExitCode.REFUSED])
        [lost] = [done for done in ended if done.returncode]
        [won] = [done for done in ended if not done.returncode]
        told = json.loads(lost.stdout)["error"]
        self.assertEqual(told["reason"], "lost-race")
        self.assertEqual(told["winner"]["digest"], json.loads(won.stdout)["digest"])
        await self.all_have("in_force", self.fleet.version)
        await self.stop_and_check(nothing_cut_off)

    async def test_answer_lost_on_submit(self) -> None:
        signed = await asyncio.to_thread(self.fleet.sign)
        await self.faults(table={"mode": "answer-lost"})
        told = await asyncio.to_thread(self.fleet.submit, signed)
        await self.faults()
        self.assertEqual((told["version"], told["state"]), (self.fleet.version, "submitted"))
        again = await asyncio.to_thread(self.fleet.submit, signed)
        self.assertEqual(again["digest"], told["digest"])
        await self.all_have("in_force", self.fleet.version)
        await self.stop_and_check(nothing_cut_off)

    async def test_bundles_that_are_refused(self) -> None:
        old = await asyncio.to_thread(self.fleet.sign)
        await asyncio.to_thread(self.fleet.submit, old, "--wait")
        await self.roll_out()
        # Nothing older is taken, though it was signed well.
        told = await asyncio.to_thread(self.fleet.submit, old, expect=ExitCode.REFUSED)
        self.assertEqual(told["error"]["reason"], "old-version")
        newest = await asyncio.to_thread(self.fleet.sign)
        for name in ("half signed", "forged"):
            file = read_signed_file(newest)
            bad = spoil(file.signed, name)
            path = self.fleet.folder / f"{name}.signed"
            write_signed_file(path, msgspec.structs.replace(file, signed=bad))
            told = await asyncio.to_thread(self.fleet.submit, path, expect=ExitCode.REFUSED)
            self.assertEqual(told["error"]["code"], "signature")
        self.fleet.version -= 1
        await self.stop_and_check(nothing_cut_off)

    async def test_rogue_writer(self) -> None:
        """A head that names what two operators did not sign changes nothing."""
        version = self.fleet.version
        platform = await self.platform()
        row = await line.read_head(platform, PARTNER)
        revision = row.revision
        for number, name in enumerate(ROGUE_OBJECTS, 1):
            data = await asyncio.to_thread(self.rogue_object, name)
            ref = VersionRef(version=BundleVersion(version + 1), digest=digest_of(data))
            value = encode(msgspec.structs.replace(row.head, accepted=ref, staged=None))
            await platform.objects.put(ref.digest, data)
            if name == "no head":
                value = data
            write = Write(head_key(PARTNER), value, revision)
            revision = (await platform.table.transact([write])).revision
            dropped = functools.partial(self.have_dropped, number)
            await self.fleet.until(dropped, f"every entry has dropped {name}")
            await self.load.serves_more(100)
            for entry in ENTRIES:
                self.assertTrue(await self.has(entry, "in_force", version))
        # An entry that starts meanwhile learns from its peers what is in force.
        self.fleet.signal("e3", signal.SIGKILL)
        await self.fleet.exit_status("e3")
        await self.restart("e3")
        await self.load.serves_more()
        for entry in ENTRIES:
            self.assertNotIn("event=child.failed", self.fleet.log_of(entry))
        back = Write(head_key(PARTNER), encode(row.head), revision)
        self.assertTrue((await platform.table.transact([back])).committed)
        self.assertEqual({event.version for event in self.load.answers()}, {version})
        await self.roll_out()
        await self.load.serves_more()
        await self.stop_and_check()

    def have_dropped(self, count: int) -> bool:
        """Whether every entry has looked at so many heads and dropped them."""
        for entry in ENTRIES:
            text = self.fleet.log_of(entry)
            dropped = text.count("event=rollout.head_refused")
            if dropped + text.count("event=rollout.head_unreadable") < count:
                return False
        return True

    def rogue_object(self, name: str) -> bytes:
        """Bytes of what a rogue writer puts in place of a signed bundle."""
        if name == "other keys":
            # Well signed, but by operators that nobody here trusts.
            return encode(sign_bundle(make_bundle(self.fleet.version + 1)))
        if name.startswith("no"):
            return name.encode()
        signed = self.fleet.sign()
        self.fleet.version -= 1
        return encode(spoil(read_signed_file(signed).signed, name))


def spoil(signed: SignedBundle, name: str) -> SignedBundle:
    """A signed bundle without its approval, or with something changed after it was signed."""
    if name == "half signed":
        return msgspec.structs.replace(signed, approver=None)
    assert name == "forged"
    payload = signed.payload.replace(b"catalogo-2", b"catalogo-1")
    assert payload != signed.payload
    return msgspec.structs.replace(signed, payload=payload)


class TestPlannedStops(FailureCase):
    """What stops as planned finishes what it has, and gets nothing new."""

    targets = (*TARGETS, "catalogo-3")

    async def test_target_that_leaves(self) -> None:
        for entry in ENTRIES:
            self.load.read(entry)
            self.load.read(entry)
        await self.load.serves_more()
        before = await self.fleet.effects(self.session, "catalogo-1")
        self.assertGreater(before["reads"], 0)
        # The bundle needs a second target in the region, or its weight would have to fall.
        self.fleet.states_by_target["catalogo-1"] = "leaving"
        submitted_at = time.monotonic()
        await self.roll_out()
        waited = time.monotonic() - submitted_at
        # What was sent before may still be under way; it is over within the timeout.
        await self.fleet.until(lambda: self.is_idle("catalogo-1"), "the target is idle")
        idle = await self.fleet.effects(self.session, "catalogo-1")
        idle_after = time.monotonic() - submitted_at
        await self.load.serves_more(300)
        after = await self.fleet.effects(self.session, "catalogo-1")
        self.assertEqual((after["reads"], after["shed"]), (idle["reads"], before["shed"]))
        self.assertEqual(after["cancelled"], before["cancelled"])
        self.note(f"in force {waited:.2f} s, idle {idle_after:.2f} s after it was marked")
        self.fleet.states_by_target["catalogo-1"] = "active"
        await self.roll_out()
        await self.load.serves_more()
        await self.stop_and_check(nothing_cut_off)

    async def is_idle(self, target: str) -> bool:
        return bool((await self.fleet.effects(self.session, target))["in_flight"] == 0)

    async def test_restart_of_all_entries(self) -> None:
        for target in self.targets:
            await self.target_faults(target, slow_ms=100.0)
        for entries in (ENTRIES, ENTRIES[1:] + ENTRIES[:1], ENTRIES[2:] + ENTRIES[:2]):
            self.load.read(*entries)
            self.load.command(*entries)
        looking = Load(self.fleet, self.session, f"{self._testMethodName}.looked.up")
        for entry in ENTRIES:
            looking.read_as_looked_up(entry)
        await self.load.serves_more()
        for entry in ENTRIES:
            self.fleet.signal(entry, signal.SIGTERM)
            self.assertEqual(await self.fleet.exit_status(entry), 0)
            await self.load.serves_more()
            await self.restart(entry)
        await self.load.serves_more()
        self.note(f"longest gap {self.load.longest_gap_s:.2f} s")
        await self.stop_and_check(nothing_cut_off)
        self.load = looking
        await self.stop_and_check(nothing_cut_off)
        # Who asks which entry to use never meets one that has gone.
        self.assertEqual(looking.unreachable, 0)
        for target in self.targets:
            await self.target_faults(target)


if __name__ == "__main__":
    unittest.main()
