"""Stand-ins and helpers of the second review: a store, instances, clients and entries as processes.

Only the standard library is used. All addresses are loopback addresses.
"""

import asyncio
import base64
import gc
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import typing as t
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
CONTRACTS = ("base", "drain", "config", "cost", "retry", "recover", "places", "platform")
ZONES = {
    "centro-a": "centro",
    "norte-a": "norte",
    "sur-a": "sur",
    "centro-b": "centro",
    "norte-b": "norte",
    "sur-b": "sur",
}

Headers = t.Dict[str, str]


_ports = list(range(18000, 32000))
random.shuffle(_ports)
_held: t.List[socket.socket] = []


def free_port() -> int:
    """Returns a port that is free now, below those that outgoing connections take."""
    while True:
        port = _ports.pop()
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        # Held without listening, so that another run does not take it before its entry does.
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((HOST, port))
        _held.append(holder)
        return port


class Record:
    """Writes what was sent, answered and run to ``record.txt`` in a case's folder."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.began

    def write(self, what: str, **fields: t.Any) -> None:
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():9.3f} {what} {text}\n")

    def close(self) -> None:
        self._file.close()


class Message(t.NamedTuple):
    """A request as a stand-in has read it."""

    method: str
    target: str
    headers: t.List[t.Tuple[str, str]]
    body: bytes

    def header(self, name: str) -> t.Optional[str]:
        for field, value in self.headers:
            if field == name:
                return value
        return None


async def read_head(reader: asyncio.StreamReader) -> t.Optional[t.Tuple[str, t.List[t.Tuple[str, str]]]]:
    """Reads a start line and header fields; ``None`` at the end of the connection."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = block.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip().lower(), value.strip()))
    return lines[0], fields


async def read_body(reader: asyncio.StreamReader, fields: t.List[t.Tuple[str, str]]) -> bytes:
    """Reads a body with a length or in chunks."""
    known = dict(fields)
    if known.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
            body += piece
    return await reader.readexactly(int(known.get("content-length", "0")))


async def read_message(reader: asyncio.StreamReader) -> t.Optional[Message]:
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    body = await read_body(reader, head[1])
    return Message(method, target, head[1], body)


class Store:
    """The platform's store: rows, transactions and the feed, in memory."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.mode = "ok"
        self.ver = 1
        self._rows: t.Dict[t.Tuple[str, str, str], t.Dict[str, t.Any]] = {}
        self._changed = asyncio.Event()
        self._writers: t.Set[asyncio.StreamWriter] = set()
        self.address = ""
        self.calls = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]

    def put(self, table: str, key: str, value: t.Any) -> None:
        """Writes a row as the operator or an instance does."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([{"table": table, "part": "", "key": key, "value": data}], [])

    def remove(self, table: str, key: str) -> None:
        self._apply([], [{"table": table, "part": "", "key": key}])

    def _apply(self, puts: t.Any, removes: t.Any) -> None:
        self.ver += 1
        for row in puts:
            key = (row["table"], row.get("part", ""), row["key"])
            self._rows[key] = {**row, "part": key[1], "ver": self.ver}
        for row in removes:
            key = (row["table"], row.get("part", ""), row["key"])
            if key in self._rows:
                self._rows[key] = {
                    "table": key[0],
                    "part": key[1],
                    "key": key[2],
                    "ver": self.ver,
                    "deleted": True,
                }
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                self.calls += 1
                if self.mode == "reset":
                    writer.transport.abort()
                    return
                if self.mode == "silent":
                    await asyncio.sleep(3600)
                if self.mode == "busy":
                    await self._answer(writer, 503, {"error": "busy"})
                    continue
                status, content = await self._do(message)
                await self._answer(writer, status, content)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, status: int, content: t.Any) -> None:
        body = json.dumps(content).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()

    def _now(self) -> t.Dict[str, t.Any]:
        return {"ver": self.ver, "nowS": time.monotonic() + 500.0}

    async def _do(self, message: Message) -> t.Tuple[int, t.Any]:
        path, _, text = message.target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        if path == "/v1/rows-tx":
            call = json.loads(message.body)
            for expected in call.get("expectedRev", []):
                key = (expected["table"], expected.get("part", ""), expected["key"])
                row = self._rows.get(key, {})
                found = 0 if row.get("deleted") else row.get("ver", 0)
                if found != expected["ver"]:
                    return 412, {**self._now(), "rows": [row] if found else []}
            self._apply(call.get("put", []), call.get("remove", []))
            return 200, self._now()
        if path == "/v1/rows-get":
            rows = [
                row
                for key, row in sorted(self._rows.items())
                if key[0] == query["table"]
                and not row.get("deleted")
                and key[2] >= query.get("from", "")
            ]
            limit = min(500, int(query.get("limit", 500)))
            return 200, {**self._now(), "rows": rows[:limit], "hasMore": len(rows) > limit}
        if path == "/v1/rows-feed":
            after, wait_s = int(query["after"]), int(query.get("waitMs", 0)) / 1000
            until = time.monotonic() + wait_s
            while True:
                rows = [
                    row
                    for key, row in self._rows.items()
                    if key[0] == query["table"] and row["ver"] > after
                ]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, {**self._now(), "rows": sorted(rows, key=lambda row: row["ver"])}
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    continue
        return 404, {}


class Run(t.NamedTuple):
    """A request that an instance has begun to run."""

    at: float
    request_id: str
    instance: str
    message: Message


class Instance:
    """An instance of a service, with slots and a queue, that registers itself in the store."""

    def __init__(
        self, record: Record, store: Store, name: str, service: str, zone: str, slots: int = 6
    ) -> None:
        self._record = record
        self._store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = 3 * slots
        self.work_s = 0.02
        self.idle_s = 10.0
        self.running = 0
        self.waiting = 0
        self.arrivals: t.List[t.Tuple[float, str]] = []
        self.runs: t.List[Run] = []
        self.shed = 0
        self.misdirected = 0
        self.state = "ready"
        self.connections: t.Set[asyncio.StreamWriter] = set()
        self.most_connections = 0
        self.max_connections = 100000
        self.over_cap = 0
        self.warm_at = 0.0
        self._free = asyncio.Condition()
        self._sequence = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0, backlog=1024)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]
        self.register()
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1.5)
            self.register()

    def stop_beats(self) -> None:
        self._beats.cancel()

    def close(self) -> None:
        self._server.close()
        for writer in list(self.connections):
            writer.close()

    def register(self) -> None:
        self._sequence += 1
        info = {"service": self.service, "version": "v1", "zone": self.zone}
        left_s = max(0.0, self.warm_at - time.monotonic())
        status = {"state": self.state, "sequence": self._sequence, "warmupLeftS": round(left_s, 2)}
        row = {"address": self.address, "info": {**info, "concurrency": self.slots}, "status": status}
        self._store.put("servers", self.name, row)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.connections) >= self.max_connections:
            self.over_cap += 1
            writer.transport.abort()
            return
        self.connections.add(writer)
        self.most_connections = max(self.most_connections, len(self.connections))
        try:
            while True:
                try:
                    message = await asyncio.wait_for(read_message(reader), self.idle_s)
                except TimeoutError:
                    return
                if message is None:
                    return
                await self.answer(message, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        request_id = message.header("x-request-id") or ""
        at = time.monotonic()
        self.arrivals.append((at, request_id))
        if message.header("x-expected-instance") != self.name:
            self.misdirected += 1
            await self.send(writer, 421, request_id, b"", executed=False)
            return
        if self.running >= self.slots and self.waiting >= self.queue:
            self.shed += 1
            await self.send(writer, 503, request_id, b"", executed=False)
            return
        async with self._free:
            self.waiting += 1
            await self._free.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            self.running += 1
        self.runs.append(Run(time.monotonic(), request_id, self.name, message))
        try:
            await self.work(message, request_id, writer)
        finally:
            async with self._free:
                self.running -= 1
                self._free.notify()

    async def work(self, message: Message, request_id: str, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.work_s)
        await self.send(writer, 200, request_id, b"body of " + request_id.encode())

    async def send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        request_id: str,
        body: bytes,
        executed: bool = True,
    ) -> None:
        lines = [f"HTTP/1.1 {status} X", f"X-Request-Id: {request_id}"]
        lines.append("X-Response-Signature: s.1" if executed else "X-Not-Executed: 1")
        lines.append(f"X-Server-Load: {self.running},{self.waiting},{self.slots}")
        lines.append(f"Keep-Alive: timeout={int(self.idle_s)}")
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()


class Entry:
    """One entry as a process, started with the command of the deploy file."""

    def __init__(
        self,
        folder: pathlib.Path,
        number: int,
        zone: str,
        store: str,
        seeds: t.Sequence[str] = (),
        bounds: t.Optional[t.Dict[str, float]] = None,
        contracts: t.Sequence[str] = CONTRACTS,
        announced: t.Optional[str] = None,
        peer_port: t.Optional[int] = None,
    ) -> None:
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        names = ("caller", "lookup", "readiness", "peer", "metrics")
        self.ports = {name: free_port() for name in names}
        if peer_port is not None:
            self.ports["peer"] = peer_port
        self.address = f"{HOST}:{self.ports['caller']}"
        self.peer_address = f"{HOST}:{self.ports['peer']}"
        self.log = folder / f"{self.name}.log"
        self.settings = folder / f"{self.name}.toml"
        known = {
            "budget_ratio": 0.2,
            "budget_window_s": 10,
            "budget_slack": 60,
            "cold_overage": 1.5,
            "cold_slack": 5,
            "max_ttl_s": 5,
            "grace_s": 6,
            "drain_s": 2.5,
            "config_s": 2.5,
            "evacuation_s": 5,
            "max_shift": 0.15,
            "target_beat_s": 1.5,
            **(bounds or {}),
        }
        lines = [
            f'entry_id = "{self.name}"',
            f'zone = "{zone}"',
            f'region = "{ZONES[zone]}"',
            f'caller_address = "{self.address}"',
            f'lookup_address = "{HOST}:{self.ports["lookup"]}"',
            f'readiness_address = "{HOST}:{self.ports["readiness"]}"',
            f'peer_address = "{self.peer_address}"',
            "link_mbps = 1000.0",
            "max_files = 4100",
            "memory_mb = 300",
            f'metrics_address = "{HOST}:{self.ports["metrics"]}"',
            "seeds = " + json.dumps(list(seeds)),
            "contracts = " + json.dumps(list(contracts)),
        ]
        if announced is not None:
            lines.append(f'announced_peer_address = "{announced}"')
        lines.append("[regions_by_zone]")
        lines += [f'"{name}" = "{region}"' for name, region in ZONES.items()]
        lines += ["[store]", f'address = "{store}"', "[bounds]"]
        lines += [f"{name} = {value}" for name, value in known.items()]
        self.settings.write_text("\n".join(lines) + "\n", encoding="utf-8")
        self.process: t.Optional["subprocess.Popen[bytes]"] = None

    def start(self) -> None:
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(self.log, "ab") as output:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "coralfall", "steer"],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "CORALFALL_SETTINGS": str(self.settings),
                },
            )

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        try:
            status, _, _ = await call(f"{HOST}:{self.ports['readiness']}", "GET", "/v1/ready", {})
        except (OSError, Broken):
            return False
        return status == 200

    async def wait_ready(self, seconds: float = 20.0) -> None:
        until = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CannotRun(f"{self.name} was not ready in {seconds} s")
            await asyncio.sleep(0.05)


class CannotRun(Exception):
    """The case couldn't run."""


class Broken(Exception):
    """A connection ended without a whole answer."""


async def read_answer(
    reader: asyncio.StreamReader, method: str = "GET"
) -> t.Tuple[int, t.List[t.Tuple[str, str]], bytes]:
    while True:
        head = await read_head(reader)
        if head is None:
            raise Broken("closed without an answer")
        status = int(head[0].split(" ")[1])
        if status >= 200:
            break
    if method == "HEAD" or status in (204, 304):
        return status, head[1], b""
    known = dict(head[1])
    try:
        if "content-length" in known or "transfer-encoding" in known:
            return status, head[1], await read_body(reader, head[1])
        return status, head[1], await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Broken(f"closed within an answer: {error}") from error


async def call(
    address: str, method: str, target: str, headers: Headers, body: bytes = b""
) -> t.Tuple[int, t.List[t.Tuple[str, str]], bytes]:
    """Sends one request on a new connection; raises ``OSError`` or ``Broken``."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        fields = {"Host": address, **headers}
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        lines = [f"{method} {target} HTTP/1.1", *[f"{k}: {v}" for k, v in fields.items()]]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        try:
            return await read_answer(reader, method)
        except ConnectionError as error:
            raise Broken(str(error)) from error
    finally:
        writer.close()


async def metric(entry: Entry, name: str) -> float:
    """Returns one of the metrics that an entry publishes; 0 if it does not answer."""
    address = f"{HOST}:{entry.ports['metrics']}"
    try:
        _, _, body = await asyncio.wait_for(call(address, "GET", "/metrics", {}), 1.0)
    except (OSError, Broken, TimeoutError):
        return 0.0
    for line in body.decode().splitlines():
        if line.startswith(name + " "):
            return float(line.rsplit(" ", 1)[1])
    return 0.0


def write_runs(record: Record, instances: t.Iterable[Instance]) -> None:
    """Writes which instance ran which request, and when."""
    for instance in instances:
        for run in instance.runs:
            at = round(run.at - record.began, 3)
            record.write("ran", id=run.request_id, server=instance.name, at=at)


def route(name: str, prefix: str, kind: str, service: str, **changes: t.Any) -> t.Dict[str, t.Any]:
    return {
        "name": name,
        "host": "a.example",
        "prefix": prefix,
        "kind": kind,
        "timeoutS": 3.0,
        "latencyTargetS": 0.5,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "sessionAffinity": True,
        "allowedRegions": [],
        **changes,
    }


def config(version: int, routes: t.List[t.Dict[str, t.Any]], **changes: t.Any) -> t.Dict[str, t.Any]:
    services = sorted({r["service"] for r in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": s, "healthPath": "/h", "maxConns": 360, "warmupS": 3, "warmupPerS": 9}
            for s in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
        "baseVersion": version - 1,
        **changes,
    }


def _interrupt(_number: int, _frame: t.Any) -> None:
    raise CannotRun("told to end")


async def _limited(running: t.Awaitable[bool]) -> bool:
    try:
        return await asyncio.wait_for(running, 112)
    finally:
        # Connections that stand-ins still serve end here, not after the loop.
        others = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        del others
        gc.collect()
        await asyncio.sleep(0)


def run_case(
    folder: pathlib.Path, case: t.Callable[[Record, pathlib.Path, bool], t.Awaitable[bool]]
) -> int:
    """Runs a case; returns 0 if the rule held, 1 if it was broken, 2 if the case couldn't run."""
    record = Record(folder)
    scratch = pathlib.Path(tempfile.mkdtemp(prefix="coralfall-review-"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("begin", trouble=trouble)
    # A script that is told to end ends its entries too.
    signal.signal(signal.SIGTERM, _interrupt)
    try:
        held = asyncio.run(_limited(case(record, scratch, trouble)))
    except Exception as error:  # Anything unexpected says nothing of the rule.
        record.write("could-not-run", error=repr(error))
        print(f"could not run: {error!r}")
        return 2
    finally:
        for log in sorted(scratch.glob("*.log")):
            if os.environ.get("KEEP_LOGS"):
                shutil.copy(log, os.environ["KEEP_LOGS"])
        shutil.rmtree(scratch, ignore_errors=True)
        record.write("end")
        record.close()
    print("the rule held" if held else "the rule was broken", flush=True)
    return 0 if held else 1


class DelayProxy:
    """Passes connections on to an entry, each piece of data after the delay of a link."""

    def __init__(self, port: int, delay_s: float) -> None:
        self._port = port
        self._delay_s = delay_s

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await asyncio.sleep(self._delay_s)
            other_reader, other_writer = await asyncio.open_connection(HOST, self._port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pass(reader, other_writer), self._pass(other_reader, writer), return_exceptions=True
        )

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        queue: "asyncio.Queue[t.Tuple[float, bytes]]" = asyncio.Queue()

        async def send() -> None:
            while True:
                due, data = await queue.get()
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                if not data:
                    writer.close()
                    return
                writer.write(data)

        sender = asyncio.create_task(send())
        while True:
            try:
                data = await reader.read(65536)
            except ConnectionError:
                data = b""
            await queue.put((time.monotonic() + self._delay_s, data))
            if not data:
                break
        await sender
