"""Runs the real programs as separate processes on loopback, for tests of the whole path."""

import asyncio
import contextlib
import fcntl
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing as t

import aiohttp

from coralfall.bundles.signing import load_key
from coralfall.ids import PartnerId
from coralfall.peering.fleetkey import new_fleet_key
from coralfall.reporting.operators import HEADER_SIGNATURE
from coralfall.reporting.request_signing import SignedParts, sign_request

ROOT = pathlib.Path(__file__).resolve().parent.parent
#: Seconds after which a process or a condition is given up; no test passes by waiting.
PATIENCE_S = 60.0
#: Below the range from which connections get theirs, so that a process can be started again.
PORTS = (12000, 32000)
PARTNER = PartnerId("cosecha")
ZONES = ("sierra-1", "costa-1")
SERVICES = ("catalogo", "pedidos", "acopio")

_SERVICE_TEXT = """
[services.{service}]
policy = "latency"
shift_cap = {cap}
shift_window_s = 2.0
timeout_ms = {timeout_ms}
key_required = {key_required}
max_body_bytes = 67108864
ramp_s = 1.0
[services.{service}.weights]
sierra = 0.5
costa = 0.5
"""
_TARGET_TEXT = """
[targets.{target}]
service = "{service}"
region = "{region}"
zone = "{zone}"
address = "{address}"
slots = {slots}
connections = 50
state = "{state}"
"""
_HEAD_TEXT = """
partner = "cosecha"
version = {version}
[regions.sierra]
zones = ["sierra-1"]
slots = 100
[regions.costa]
zones = ["costa-1"]
slots = 100
[sites.sierra-1]
region = "sierra"
zone = "sierra-1"
[sites.costa-1]
region = "costa"
zone = "costa-1"
"""


class PortReservations:
    """Ports that test processes of this machine have given out; their users may not listen yet.

    Each process locks one byte a port of a shared file, and the locks end with the process.
    """

    path = pathlib.Path(tempfile.gettempdir()) / f"coralfall-test-ports-{os.getuid()}"

    def __init__(self) -> None:
        self._reserved: t.Set[int] = set()
        self._descriptor: t.Optional[int] = None

    def reserve(self, port: int) -> bool:
        """Returns whether the port was free, and is this process's from now on."""
        if port in self._reserved:
            return False
        if self._descriptor is None:
            self._descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.lockf(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
        except OSError:
            return False
        self._reserved.add(port)
        return True


_reservations = PortReservations()


def free_port() -> int:
    """A port that nothing listens on at the moment, of those that no connection is given."""
    while True:
        port = random.randrange(*PORTS)
        if not _reservations.reserve(port):
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


class Fleet:
    """Stand-ins and entries of one small system.

    :param folder: an empty folder for settings, keys and logs.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.process_by_name: t.Dict[str, "subprocess.Popen[bytes]"] = {}
        self.address_by_name: t.Dict[str, str] = {}
        self.operator_address_by_name: t.Dict[str, str] = {}
        self.states_by_target: t.Dict[str, str] = {}
        self.slots = 4
        self.timeout_ms = 3000
        self.cap = 0.9
        #: Slots that target stand-ins have beyond the bundle's, so that too many would show.
        self.spare_slots = 0
        #: Whether entries and targets tell by what right each request was sent; old builds can't.
        self.trace_slots = True
        self.ttl_s = 3.0
        self.lookup_ttl_s = 5.0
        self.grace_s = 10.0
        self.version = 0
        self._public_keys: t.Dict[str, str] = {}
        new_fleet_key(folder / "fleet.key")
        for name in ("ana", "bea"):
            made = self.cli("keys", "new", str(folder / f"{name}.key"), "--id", name, "--json")
            self._public_keys[name] = json.loads(made.stdout)["public_key"]
        (folder / "trust.toml").write_text(self._trust_text())

    # Processes.

    def start(self, name: str, *arguments: str) -> None:
        """Start ``coralfall`` with these arguments; what it prints goes to a file."""
        with open(self.folder / f"{name}.log", "ab") as output:
            self.process_by_name[name] = subprocess.Popen(
                [sys.executable, "-m", "coralfall.cli", *arguments],
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
            )

    def start_platform(self) -> None:
        """Start the stand-in of the platform, on the same port each time."""
        address = self.address_by_name.setdefault("platform", f"127.0.0.1:{free_port()}")
        settings = self.folder / "platform.toml"
        settings.write_text(f'address = "{address}"\n')
        self.start("platform", "standin", "platform", "--settings", str(settings))

    def start_target(self, name: str, service_ms: float = 5.0) -> None:
        """Start the stand-in of a target; its name begins with its service's."""
        address = self.address_by_name.setdefault(name, f"127.0.0.1:{free_port()}")
        self.states_by_target.setdefault(name, "active")
        settings = self.folder / f"{name}.toml"
        settings.write_text(
            f'address = "{address}"\nslots = {self.slots + self.spare_slots}\n'
            f"service_ms = {service_ms}\n{self._trace_text(f'limit = {self.slots}')}"
        )
        self.start(name, "standin", "target", "--settings", str(settings))

    def start_entry(self, name: str, zone: str = ZONES[0]) -> None:
        """Start an entry, on the same ports each time."""
        addresses = [
            self.address_by_name.setdefault(name, f"127.0.0.1:{free_port()}"),
            self.address_by_name.setdefault(f"{name}-peer", f"127.0.0.1:{free_port()}"),
            self.operator_address_by_name.setdefault(name, f"127.0.0.1:{free_port()}"),
        ]
        settings = self.folder / f"{name}.toml"
        settings.write_text(self._entry_text(name, zone, addresses))
        self.start(name, "entry", "--settings", str(settings))

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one of our processes."""
        self.process_by_name[name].send_signal(number)

    async def exit_status(self, name: str) -> int:
        """Wait until a process ends."""
        process = self.process_by_name[name]
        await self.until(lambda: process.poll() is not None, f"{name} ends")
        return process.returncode

    def close(self) -> None:
        """End all processes that are left."""
        for process in self.process_by_name.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def log_of(self, name: str) -> str:
        """What a process has printed."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def pauses(self) -> t.List[str]:
        """For how long processes stood still, as they logged it."""
        lines = []
        for name in self.process_by_name:
            for line in self.log_of(name).splitlines():
                if "event=process.paused" in line:
                    lines.append(f"{name}: {line}")
        return lines

    def unhandled(self, names: t.Iterable[str]) -> t.List[str]:
        """Errors that nobody handled, as the libraries of these entries logged them."""
        lines = []
        for name in names:
            for line in self.log_of(name).splitlines():
                if "level=error event=library.message" in line:
                    lines.append(f"{name}: {line}")
        return lines

    # Operators.

    def cli(self, *arguments: str, expect: int = 0) -> "subprocess.CompletedProcess[str]":
        """Run a command of ``coralfall`` to its end, which must be as expected."""
        done = self.run(*arguments)
        if done.returncode != expect:
            raise AssertionError(f"{arguments}: {done.returncode}\n{done.stdout}{done.stderr}")
        return done

    def run(self, *arguments: str) -> "subprocess.CompletedProcess[str]":
        """Run a command of ``coralfall`` to its end."""
        return subprocess.run(
            [sys.executable, "-m", "coralfall.cli", *arguments],
            capture_output=True,
            text=True,
            timeout=PATIENCE_S * 2,
            env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
        )

    def sign(self, text: t.Optional[str] = None) -> pathlib.Path:
        """A signed bundle of the next version, or of ``text``."""
        self.version += 1
        draft = self.folder / f"v{self.version}.toml"
        draft.write_text(text or self.bundle_text())
        signed = self.folder / f"v{self.version}.signed"
        output = ["--output", str(signed)]
        for role, key, source in (("author", "ana", draft), ("approver", "bea", signed)):
            key_file = str(self.folder / f"{key}.key")
            self.cli("bundle", "sign", str(source), "--role", role, "--key", key_file, *output)
        return signed

    def submit(self, signed: pathlib.Path, *options: str, expect: int = 0) -> t.Any:
        """Submit a signed bundle by the command line; what it printed as JSON."""
        trust = str(self.folder / "trust.toml")
        arguments = ["bundle", "submit", str(signed), "--trust", trust, *options, "--json"]
        arguments += ["--platform", self.platform_url()]
        return json.loads(self.cli(*arguments, expect=expect).stdout)

    def roll_out(self) -> None:
        """Sign and submit the next version and wait until it is in force everywhere."""
        self.submit(self.sign(), "--wait")

    def platform_url(self) -> str:
        return f"http://{self.address_by_name['platform']}"

    def bundle_text(self) -> str:
        """The draft of the version to come."""
        parts = [_HEAD_TEXT.format(version=self.version)]
        for service in SERVICES:
            required = "true" if service == "pedidos" else "false"
            parts.append(
                _SERVICE_TEXT.format(
                    service=service,
                    cap=self.cap,
                    timeout_ms=self.timeout_ms,
                    key_required=required,
                )
            )
        for position, (target, state) in enumerate(sorted(self.states_by_target.items())):
            zone = ZONES[position % 2]
            parts.append(
                _TARGET_TEXT.format(
                    target=target,
                    service=target.split("-")[0],
                    region=zone.split("-")[0],
                    zone=zone,
                    address=self.address_by_name[target],
                    slots=self.slots,
                    state=state,
                )
            )
        return "".join(parts)

    # Callers and control.

    def url(self, entry: str, service: str, path: str = "x") -> str:
        return f"http://{self.address_by_name[entry]}/{PARTNER}/{service}/{path}"

    async def up(self, session: aiohttp.ClientSession, name: str, path: str = "/") -> None:
        """Wait until something answers at a name's address."""

        async def answers() -> bool:
            with contextlib.suppress(aiohttp.ClientError):
                async with session.get(f"http://{self.address_by_name[name]}{path}"):
                    return True
            return False

        await self.until(answers, f"{name} answers")

    async def ready(self, session: aiohttp.ClientSession, entry: str, path: str = "x") -> None:
        """Wait until an entry serves reads of every service."""
        for service in SERVICES:
            url = self.url(entry, service, path)

            async def serves(url: str = url) -> bool:
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.get(url) as answer:
                        return answer.status == 200
                return False

            await self.until(serves, f"{entry} serves {service}")

    async def set_vms(self, session: aiohttp.ClientSession, *names: str) -> None:
        """Tell the platform's VM list of these VMs."""
        for name in names:
            body = {"vm_id": f"vm-{name}", "zone": ZONES[0], "state": "live"}
            async with session.put(f"{self.platform_url()}/vms/vm-{name}", json=body) as answer:
                assert answer.status < 300, await answer.text()

    async def set_faults(self, session: aiohttp.ClientSession, faults: t.Any) -> None:
        """Set the platform's faults."""
        async with session.post(f"{self.platform_url()}/faults", json=faults) as answer:
            assert answer.status == 200, await answer.text()

    async def status(self, session: aiohttp.ClientSession, entry: str) -> t.Any:
        """What an entry tells operators of itself."""
        key = load_key(self.folder / "ana.key")
        signature = sign_request(key, SignedParts("GET", "/status", audience=entry), time.time())
        url = f"http://{self.operator_address_by_name[entry]}/status"
        async with session.get(url, headers={HEADER_SIGNATURE: signature}) as answer:
            assert answer.status == 200, await answer.text()
            return await answer.json()

    async def effects(self, session: aiohttp.ClientSession, target: str) -> t.Any:
        """What a target has done."""
        async with session.get(f"http://{self.address_by_name[target]}/effects") as answer:
            return await answer.json()

    async def until(self, condition: t.Callable[[], t.Any], what: str) -> None:
        """Wait until a condition holds, looking often; fails after :data:`PATIENCE_S`."""
        give_up_at = time.monotonic() + PATIENCE_S
        while True:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return
            if time.monotonic() > give_up_at:
                raise AssertionError(f"still not so: {what}\n{self._logs()}")
            await asyncio.sleep(0.05)

    def _logs(self) -> str:
        parts = []
        for name in self.process_by_name:
            parts.append(f"== {name}\n{self.log_of(name)[-2000:]}")
        return "\n".join(parts)

    def _trust_text(self) -> str:
        lines = [f"[partners.{PARTNER}.keys]"]
        for name, public_key in self._public_keys.items():
            lines.append(f'{name} = "{public_key}"')
        return "\n".join(lines) + "\n"

    def _seeds(self, name: str) -> t.List[str]:
        seeds = []
        for entry in self.operator_address_by_name:
            if entry != name:
                seeds.append(self.address_by_name[f"{entry}-peer"])
        return seeds

    def _trace_text(self, line: str) -> str:
        return f"{line}\n" if self.trace_slots else ""

    def _entry_text(self, name: str, zone: str, addresses: t.Sequence[str]) -> str:
        region = zone.split("-")[0]
        return f"""
entry_id = "{name}"
vm_id = "vm-{name}"
region = "{region}"
zone = "{zone}"
site = "{zone}"
caller_address = "{addresses[0]}"
peer_address = "{addresses[1]}"
operator_address = "{addresses[2]}"
grace_s = {self.grace_s}
{self._trace_text("trace_slots = true")}
lookup_ttl_s = {self.lookup_ttl_s}
[platform]
url = "{self.platform_url()}"
[peers]
fleet_key_file = "{self.folder / 'fleet.key'}"
seeds = {json.dumps(self._seeds(name))}
heartbeat_s = 0.3
[lease]
ttl_s = {self.ttl_s}
renew_s = 0.5
poll_s = 0.25
vm_list_s = 0.5
{self._trust_text()}"""
