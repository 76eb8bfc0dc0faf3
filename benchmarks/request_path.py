"""What an entry adds to a read: called directly, through a bare pass-through, through coralfall.

Run as ``python benchmarks/request_path.py``. Target, pass-through and entry are a process each;
this process is the caller, with a bounded number of connections and requests. Rounds of the
three paths alternate, so that a disturbance of the machine touches all of them. Only ratios
within one run mean anything. ``--profile FILE`` keeps the entry's profile for ``pstats``.
"""

import argparse
import asyncio
import contextlib
import cProfile
import json
import os
import pathlib
import random
import signal
import statistics
import subprocess
import sys
import time
import typing as t

import aiohttp
import msgspec
import uvicorn
import uvloop
from starlette.responses import Response

from coralfall import defaults
from coralfall.balancing.steering import AttemptResult, Reservation, Steering
from coralfall.bundles import bundle
from coralfall.forwarding.answer import Answer
from coralfall.forwarding.callers import CallersApp, LookupSource
from coralfall.forwarding.dispatch import Dispatcher
from coralfall.forwarding.retry import RetryBudget
from coralfall.forwarding.upstream import Upstream
from coralfall.ids import (
    BundleVersion,
    Outcome,
    PartnerId,
    PolicyName,
    RegionId,
    ServiceId,
    TargetId,
)
from coralfall.placement.stop_admission import NO_LESS_TIME, StopAdmission
from coralfall.process.clock import SystemClock
from coralfall.process.shutdown import Shutdown

if t.TYPE_CHECKING:
    from starlette.types import Receive, Scope, Send

PREFIX = "/cosecha/catalogo"
#: Paths that are asked in turn: real ones vary, and caches of parsed URLs must not hide that.
PATHS = 4096
BODY = b"m" * 500


class Options(msgspec.Struct):
    """Bounds of a run."""

    rounds: int = 5
    requests: int = 12_000
    connections: int = 32


class Round(msgspec.Struct):
    """What one round of one path measured."""

    requests_per_s: float
    p50_ms: float
    p99_ms: float
    #: Processor time that the process in the middle took for one request.
    cpu_us: float


class FixedSteering(Steering):
    """Always the same target, so that what is measured is the path and not the decision."""

    def __init__(self, address: str) -> None:
        self._reservation = Reservation(
            partner=PartnerId("cosecha"),
            service=ServiceId("catalogo"),
            target_id=TargetId("t"),
            region=RegionId("sierra"),
            address=address,
            connections=400,
        )
        self._rules = bundle.Service(
            policy=PolicyName.LATENCY,
            weights={RegionId("sierra"): 1.0},
            shift_cap=0.1,
            shift_window_s=60.0,
            timeout_ms=5000,
        )

    async def reserve(
        self,
        partner: PartnerId,
        service: ServiceId,
        *,
        tried: t.Collection[TargetId],
        deadline: float,
        body_bytes: int,
    ) -> Reservation:
        return self._reservation

    def check(self, reservation: Reservation) -> None:
        return

    def finish(
        self, reservation: Reservation, result: AttemptResult, seconds: float, load: t.Optional[str]
    ) -> None:
        return

    def release(self, reservation: Reservation) -> None:
        return

    def service(self, partner: PartnerId, service: ServiceId) -> bundle.Service:
        return self._rules

    def version(self, partner: PartnerId) -> BundleVersion:
        return BundleVersion(1)


class NoLookup(LookupSource):
    """Answers no look-up."""

    def answer(self, query: bytes) -> Answer:
        return Answer(404, [], b"", Outcome.NOT_RUN)


class BarePassThrough:
    """The least that starlette and aiohttp can do: no decision, no evidence, no limit."""

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(connector=connector, auto_decompress=False)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def __call__(self, scope: "Scope", receive: "Receive", send: "Send") -> None:
        query = scope["query_string"].decode()
        headers = [(name.decode(), value.decode()) for name, value in scope["headers"]]
        url = f"{self._base}{scope['path']}?{query}"
        async with self._session.request(scope["method"], url, headers=headers) as answer:
            body = await answer.read()
            passed = dict(answer.headers)
        await Response(body, answer.status, passed)(scope, receive, send)


async def target_app(scope: "Scope", receive: "Receive", send: "Send") -> None:
    """Answers at once."""
    headers = [(b"content-length", str(len(BODY)).encode()), (b"load", b"1/6")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": BODY})


async def serve(role: str, address: str) -> None:
    """Serve one role until told to stop; prints the port first."""
    app: t.Any = target_app
    outgoing: t.Union[BarePassThrough, Upstream, None] = None
    if role == "bare":
        app = outgoing = BarePassThrough(address)
    elif role == "entry":
        clock = SystemClock()
        steering = FixedSteering(address)
        stop_admission = StopAdmission(Shutdown(defaults.GRACE_S, clock), NO_LESS_TIME, clock)
        outgoing = Upstream(steering, stop_admission, clock)
        claims: t.Any = None  # Only commands claim keys.
        dispatcher = Dispatcher(steering, outgoing, claims, RetryBudget, stop_admission, clock)
        app = CallersApp(dispatcher, NoLookup())
    config = uvicorn.Config(
        app, port=0, log_level="error", access_log=False, lifespan="off", proxy_headers=False
    )
    server = uvicorn.Server(config)
    config.load()
    server.lifespan = config.lifespan_class(config)
    await server.startup()
    print(server.servers[0].sockets[0].getsockname()[1], flush=True)
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    if outgoing is not None:
        await outgoing.close()


@contextlib.contextmanager
def process(role: str, address: str = "", profile: str = "") -> t.Iterator[t.Tuple[int, str]]:
    """A process of one role: its id and ``ip:port``."""
    command = [sys.executable, __file__, "--role", role, "--address", address]
    if profile:
        command += ["--profile", profile]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as child:
        assert child.stdout is not None
        try:
            yield child.pid, f"127.0.0.1:{child.stdout.readline().strip()}"
        finally:
            child.terminate()


def cpu_s(pid: int) -> float:
    """Processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def call(address: str, prefix: str, count: int, times: t.List[float]) -> None:
    """Make ``count`` requests on one connection, each after the last one's answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    first = random.Random(len(times)).randrange(PATHS)
    for index in range(count):
        path = f"{prefix}/menu?week={(first + index) % PATHS}"
        request = f"GET {path} HTTP/1.1\r\nHost: x\r\nAccept: */*\r\nUser-Agent: bench\r\n\r\n"
        began = time.perf_counter()
        writer.write(request.encode())
        head = await reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            raise SystemExit(f"unexpected answer: {head!r}")
        await reader.readexactly(len(BODY))
        times.append(time.perf_counter() - began)
    writer.close()


async def measure(address: str, prefix: str, pid: int, options: Options) -> Round:
    """One round of one path."""
    times: t.List[float] = []
    cpu = cpu_s(pid)
    began = time.perf_counter()
    count = options.requests // options.connections
    calls = [call(address, prefix, count, times) for _ in range(options.connections)]
    await asyncio.gather(*calls)
    seconds = time.perf_counter() - began
    times.sort()
    return Round(
        requests_per_s=len(times) / seconds,
        p50_ms=times[len(times) // 2] * 1000,
        p99_ms=times[len(times) * 99 // 100] * 1000,
        cpu_us=(cpu_s(pid) - cpu) / len(times) * 1e6,
    )


def run(options: Options, profile: str) -> t.Dict[str, t.List[Round]]:
    """All rounds by path."""
    rounds_by_path: t.Dict[str, t.List[Round]] = {"direct": [], "bare": [], "entry": []}
    with (
        process("target") as (target_pid, target),
        process("bare", target) as (bare_pid, bare),
        process("entry", target, profile) as (entry_pid, entry),
    ):
        paths = [
            ("direct", target, "", target_pid),
            ("bare", bare, "", bare_pid),
            ("entry", entry, PREFIX, entry_pid),
        ]
        for index in range(options.rounds + 1):
            for name, address, prefix, pid in paths:
                measured = uvloop.run(measure(address, prefix, pid, options))
                if index:  # The first round warms up.
                    rounds_by_path[name].append(measured)
    return rounds_by_path


def report(rounds_by_path: t.Dict[str, t.List[Round]]) -> t.Dict[str, t.Any]:
    """Medians over rounds, and the entry's ratio to the bare pass-through."""
    medians: t.Dict[str, t.Dict[str, float]] = {}
    for name, rounds in rounds_by_path.items():
        medians[name] = {
            field: statistics.median(getattr(one, field) for one in rounds)
            for field in Round.__struct_fields__
        }
    ratios = {field: _paired(rounds_by_path, field) for field in Round.__struct_fields__}
    return {"medians": medians, "entry_to_bare": ratios}


def _paired(rounds_by_path: t.Dict[str, t.List[Round]], field: str) -> float:
    """Median of the ratios within a round, which a disturbance of the machine touches least."""
    pairs = zip(rounds_by_path["entry"], rounds_by_path["bare"], strict=True)
    return statistics.median(getattr(entry, field) / getattr(bare, field) for entry, bare in pairs)


def show(figures: t.Dict[str, t.Any]) -> None:
    """Print the table."""
    fields = Round.__struct_fields__
    print(f"{'path':14}" + "".join(f"{field:>16}" for field in fields))
    rows = {**figures["medians"], "entry/bare": figures["entry_to_bare"]}
    for name, values in rows.items():
        print(f"{name:14}" + "".join(f"{values[field]:16.2f}" for field in fields))


def main() -> None:
    """Parse the command line and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--role", choices=("target", "bare", "entry"), help="used by itself")
    parser.add_argument("--address", default="", help="used by itself")
    parser.add_argument("--rounds", type=int, default=Options().rounds)
    parser.add_argument("--requests", type=int, default=Options().requests)
    parser.add_argument("--connections", type=int, default=Options().connections)
    parser.add_argument("--json", type=pathlib.Path, help="file for the figures")
    parser.add_argument("--profile", default="", help="file for the entry's profile")
    arguments = parser.parse_args()
    if arguments.role:
        profiler = cProfile.Profile()
        if arguments.profile:
            profiler.enable()
        uvloop.run(serve(arguments.role, arguments.address))
        if arguments.profile:
            profiler.disable()
            profiler.dump_stats(arguments.profile)
        return
    options = Options(arguments.rounds, arguments.requests, arguments.connections)
    rounds_by_path = run(options, arguments.profile)
    figures = report(rounds_by_path)
    show(figures)
    if arguments.json:
        raw = {name: msgspec.to_builtins(rounds) for name, rounds in rounds_by_path.items()}
        document = {"options": msgspec.to_builtins(options), "rounds": raw, **figures}
        arguments.json.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    main()
