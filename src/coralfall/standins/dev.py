"""Development mode: the whole system in one process on loopback, for a newcomer to look at."""

import asyncio
import contextlib
import hashlib
import pathlib
import random
import tempfile
import time
import typing as t

import aiohttp

from ..bundles import signing, submission
from ..bundles.bundle import Bundle, SignedBundle, encode
from ..bundles.sample import (
    PARTNERS,
    SamplePartner,
    SampleService,
    sample_bundle,
    target_ids_of,
    zones_of,
)
from ..cluster.entry import Entry
from ..http.server import HttpServer
from ..ids import EntryId, KeyId, Outcome, PartnerId, SiteId, TargetId, VmId, VmState
from ..peering import fleetkey
from ..process import log, loop
from ..process.child import Child, FunctionChild
from ..process.clock import SystemClock
from ..process.supervisor import Supervisor, supervise
from ..settings import (
    EntrySettings,
    LeaseSettings,
    LogSettings,
    PartnerSettings,
    PeerSettings,
    PlatformSettings,
    TargetStandinSettings,
)
from ..stores.memory_platform import MemoryPlatform
from ..stores.store import Vm
from .standin_platform import make_app
from .standin_target import TargetStandin, pattern

ANY_PORT = "127.0.0.1:0"
#: Entries in development mode, one zone of a region each.
ENTRIES_PER_PARTNER = 2
CALLERS_PER_SERVICE = 2
#: Seconds between two requests of one caller.
CALL_INTERVAL_S = 0.02
#: Less than entries keep idle connections: a command on one that was just closed is lost.
KEEPALIVE_S = 1.0
UPLOAD_BYTES = 2_000_000
READ_BYTES = 2000
_OPERATORS = (KeyId("ana"), KeyId("bea"))
_LEASE = LeaseSettings(ttl_s=2.0, renew_s=0.5, poll_s=0.25)


class Tally:
    """What callers got."""

    def __init__(self) -> None:
        self.by_outcome: t.Dict[str, int] = {outcome.value: 0 for outcome in Outcome}
        #: Requests whose answer was wrong, short or missing.
        self.broken: t.List[str] = []

    def line(self, seconds: float) -> str:
        """One line for a terminal."""
        parts = [f"{seconds:6.1f} s"]
        for outcome, count in self.by_outcome.items():
            parts.append(f"{outcome} {count}")
        parts.append(f"broken {len(self.broken)}")
        return "  ".join(parts)


class DevSystem(Child):
    """Platform, targets, entries and callers.

    :param folder: for the keys of the fleet and of the operators.
    """

    name = "dev"

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._clock = SystemClock()
        self._memory = MemoryPlatform(self._clock)
        self._platform_server = HttpServer("platform", make_app(self._memory), ANY_PORT)
        self._target_server_by_id: t.Dict[TargetId, HttpServer] = {}
        self._keys: t.Dict[KeyId, signing.Key] = {}
        for key_id in _OPERATORS:
            signing.new_key(self._key_file(key_id), key_id)
            self._keys[key_id] = signing.load_key(self._key_file(key_id))
        self._entries: t.List[Entry] = []
        #: Set while callers call.
        self.serving = asyncio.Event()
        self.tally = Tally()
        for partner in PARTNERS:
            for service in partner.services:
                self._add_targets(service)
        fleetkey.new_fleet_key(folder / "fleet.key")
        for partner in PARTNERS:
            self._add_entries(partner)
        children: t.List[Child] = [self._platform_server, *self._target_server_by_id.values()]
        entries = [entry.root for entry in self._entries]
        self._root = Supervisor(
            "dev",
            [
                Supervisor("standins", children, self._clock, random.Random()),
                Supervisor("entries", entries, self._clock, random.Random()),
                FunctionChild("callers", self._run_callers),
            ],
            self._clock,
            random.Random(),
        )

    async def start(self) -> None:
        print("starting; slots rest for a few seconds before they are first used")
        await self._root.start()
        await self._roll_out()
        self._print_addresses()
        self.serving.set()

    async def run(self) -> None:
        started = time.monotonic()
        watching = asyncio.create_task(self._watch(started))
        try:
            await self._root.run()
        finally:
            watching.cancel()
            print(self.tally.line(time.monotonic() - started))

    async def stop(self) -> None:
        self.serving.clear()
        await self._root.stop()

    def _add_targets(self, service: SampleService) -> None:
        settings = TargetStandinSettings(address=ANY_PORT, slots=service.slots)
        for target_id in target_ids_of(service):
            target = TargetStandin(settings)
            self._target_server_by_id[target_id] = HttpServer(target_id, target, ANY_PORT)

    def _add_entries(self, partner: SamplePartner) -> None:
        for number, (region, zone) in enumerate(zones_of(partner)[:ENTRIES_PER_PARTNER], 1):
            entry_id = EntryId(f"{partner.partner}-{number}")
            vm_id = VmId(f"vm-{entry_id}")
            self._memory.set_vm(Vm(vm_id, zone, VmState.LIVE))
            settings = EntrySettings(
                entry_id=entry_id,
                vm_id=vm_id,
                region=region,
                zone=zone,
                site=SiteId(zone),
                caller_address=ANY_PORT,
                peer_address=ANY_PORT,
                operator_address=ANY_PORT,
                platform=PlatformSettings(url="http://127.0.0.1"),
                partners=self._partner_settings(),
                peers=PeerSettings(fleet_key_file=str(self._folder / "fleet.key")),
                lease=_LEASE,
                lookup_ttl_s=1.0,
            )
            platform = self._memory.platform
            self._entries.append(Entry(settings, platform, self._clock, random.Random()))

    def _partner_settings(self) -> t.Dict[PartnerId, PartnerSettings]:
        keys = {}
        for key_id, key in self._keys.items():
            keys[key_id] = key.public_key
        return {partner.partner: PartnerSettings(keys=keys) for partner in PARTNERS}

    async def _roll_out(self) -> None:
        addresses = {}
        for target_id, server in self._target_server_by_id.items():
            addresses[target_id] = server.bound_address
        trust = {name: partner.keys for name, partner in self._partner_settings().items()}
        for partner in PARTNERS:
            others = [other.partner for other in PARTNERS if other is not partner]
            bundle = sample_bundle(partner, others, addresses)
            signed = self._sign(bundle)
            await submission.submit(
                self._memory.platform, signed, trust, f"dev-{partner.partner}", objects={}
            )
        await asyncio.gather(*[self._wait_until_usable(entry) for entry in self._entries])

    async def _wait_until_usable(self, entry: Entry) -> None:
        """Wait until bundles are in force and an entry's slots have rested after its joining."""
        services = [service for partner in PARTNERS for service in partner.services]
        while True:
            if all(entry.node.slots.idle(service.service_id) for service in services):
                return
            await asyncio.sleep(0.1)

    def _sign(self, bundle: Bundle) -> SignedBundle:
        signed = SignedBundle(payload=encode(bundle))
        for role, key_id in zip(
            (signing.Role.AUTHOR, signing.Role.APPROVER), _OPERATORS, strict=True
        ):
            signed = signing.sign(signed, role, self._keys[key_id])
        return signed

    def _print_addresses(self) -> None:
        entry = self._entries[0]
        caller = entry.callers_server.bound_address
        print(f"platform   http://{self._platform_server.bound_address}/counters")
        print(f"look-up    http://{caller}/lookup?partner=cosecha&address=192.0.2.1")
        print(f"read       http://{caller}/cosecha/catalogo/menu?bytes=200")
        print(f"operators  http://{entry.operators_server.bound_address}/ready")
        platform = f"--platform http://{self._platform_server.bound_address}"
        key_file = self._key_file(_OPERATORS[0])
        print(f"report     coralfall report {platform} --key {key_file} --html report.html")
        print("Ctrl-C ends it.")

    def _key_file(self, key_id: KeyId) -> pathlib.Path:
        return self._folder / f"{key_id}.key"

    async def _watch(self, started: float) -> None:
        while True:
            await asyncio.sleep(1.0)
            print(self.tally.line(time.monotonic() - started), flush=True)

    async def _run_callers(self) -> None:
        async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
            for partner in PARTNERS:
                for service in partner.services:
                    for number in range(CALLERS_PER_SERVICE):
                        caller = _Caller(session, partner, service, number, self.tally)
                        group.create_task(self._call_on(caller))

    async def _call_on(self, caller: "_Caller") -> None:
        await self.serving.wait()
        while self.serving.is_set():
            entry = self._entries[caller.next_number() % len(self._entries)]
            await caller.call(entry.callers_server.bound_address)
            await asyncio.sleep(CALL_INTERVAL_S)
        await asyncio.Event().wait()


class _Caller:
    """Sends requests of one service and checks that each answer is whole and its own."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        partner: SamplePartner,
        service: SampleService,
        number: int,
        tally: Tally,
    ) -> None:
        self._session = session
        self._service = service
        self._prefix = f"/{partner.partner}/{service.service_id}"
        self._number = number
        self._tally = tally
        self._sent = 0

    def next_number(self) -> int:
        """Number of the next request."""
        self._sent += 1
        return self._sent + self._number

    async def call(self, address: str) -> None:
        """Send one request to the entry at ``address``."""
        name = f"caller-{self._number}-{self._sent}"
        try:
            if self._service.key_required:
                await self._order(address, name, name.encode())
            elif self._service.max_body_bytes > UPLOAD_BYTES:
                await self._order(address, name, name.encode() * (UPLOAD_BYTES // len(name)))
            else:
                await self._read(address, name)
        except aiohttp.ClientError as error:
            self._tally.broken.append(f"{self._prefix}/{name}: {error!r}")

    async def _read(self, address: str, name: str) -> None:
        url = f"http://{address}{self._prefix}/{name}?bytes={READ_BYTES}"
        async with self._session.get(url) as answer:
            body = await answer.read()
            if self._outcome(answer) is not Outcome.DONE:
                return
            if body != pattern(f"/{name}", READ_BYTES):
                self._tally.broken.append(f"{url}: another body")

    async def _order(self, address: str, name: str, body: bytes) -> None:
        url = f"http://{address}{self._prefix}/{name}"
        headers = {"idempotency-key": f"{self._prefix}/{name}"}
        async with self._session.post(url, data=body, headers=headers) as answer:
            receipt = await answer.json(content_type=None)
            if self._outcome(answer) is not Outcome.DONE:
                return
            if receipt["sha256"] != hashlib.sha256(body).hexdigest():
                self._tally.broken.append(f"{url}: another body arrived")

    def _outcome(self, answer: aiohttp.ClientResponse) -> Outcome:
        outcome = Outcome(answer.headers["coralfall-outcome"])
        self._tally.by_outcome[outcome.value] += 1
        return outcome


def run_dev(seconds: t.Optional[float]) -> int:
    """Run development mode; 0 only if every request was answered whole.

    :param seconds: how long callers call; ``None`` until interrupted.
    """
    log.configure(LogSettings(level="warning"))
    return loop.run(_run(seconds))


async def _run(seconds: t.Optional[float]) -> int:
    with tempfile.TemporaryDirectory() as folder:
        system = DevSystem(pathlib.Path(folder))
        stop = asyncio.Event()
        timer = asyncio.create_task(_stop_later(system, stop, seconds))
        status = await supervise(system, stop)
        timer.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await timer
    for broken in system.tally.broken[:10]:
        print(broken)
    if system.tally.broken or not system.tally.by_outcome[Outcome.DONE.value]:
        return 1
    return status


async def _stop_later(system: DevSystem, stop: asyncio.Event, seconds: t.Optional[float]) -> None:
    if seconds is None:
        return
    await system.serving.wait()
    await asyncio.sleep(seconds)
    stop.set()
