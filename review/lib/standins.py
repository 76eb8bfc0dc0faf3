"""Stand-ins and tools of the scripted cases: store, instances, clients, entries and a proxy.

Only Python's standard library is used. All addresses are loopback addresses with free ports, and
everything that a case starts ends with it.
"""

import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing as t
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
_taken: t.Set[int] = set()


class CaseError(Exception):
    """The case could not run."""


def free_port() -> int:
    """A free port that this case has not used yet."""
    while True:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port: int = probe.getsockname()[1]
        if port not in _taken:
            _taken.add(port)
            return port


class Record:
    """The record of one run: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Also shows it on standard output."""
        self(text)
        print(text, flush=True)

    def close(self) -> None:
        self._file.close()


class Message(t.NamedTuple):
    """A request or response that was read."""

    start: str
    headers: t.Dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> t.Optional[t.Tuple[str, t.Dict[str, str]]]:
    """Returns start line and headers; ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers: t.Dict[str, str] = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader: asyncio.StreamReader) -> t.Optional[Message]:
    """Returns a whole message; ``None`` if the connection ends before."""
    head = await read_head(reader)
    if head is None:
        return None
    body = b""
    try:
        if head[1].get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        else:
            body = await reader.readexactly(int(head[1].get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return None
    return Message(head[0], head[1], body)


def encode(start: str, headers: t.Mapping[str, str], body: bytes = b"") -> bytes:
    lines = [start, *[f"{name}: {value}" for name, value in headers.items()]]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class HttpStandin:
    """A small HTTP/1.1 server."""

    def __init__(self) -> None:
        self.port = free_port()
        self.address = f"{HOST}:{self.port}"
        self._server: t.Optional[asyncio.Server] = None
        self._tasks: t.Set["asyncio.Task[None]"] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, HOST, self.port, backlog=1024)

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while await self.serve(reader, writer):
                continue
        except (OSError, asyncio.CancelledError):
            # The connection or the case has ended.
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Serves one request; returns whether the connection stays open."""
        raise NotImplementedError


class Store(HttpStandin):
    """The platform's store: rows, transactions and feeds, linearizable."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 0
        self._rows: t.Dict[t.Tuple[str, str], t.Dict[str, t.Any]] = {}
        self._changed = asyncio.Condition()

    async def put(self, table: str, key: str, value: t.Any) -> None:
        data = base64.b64encode(json.dumps(value).encode()).decode()
        await self._apply([{"table": table, "part": "", "key": key, "value": data}], [])

    async def remove(self, table: str, key: str) -> None:
        await self._apply([], [{"table": table, "part": "", "key": key}])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        message = await read_message(reader)
        if message is None:
            return False
        method, target, _ = message.start.split(" ")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        status, content = 404, t.cast(t.Dict[str, t.Any], {})
        if (method, url.path) == ("POST", "/v1/rows-tx"):
            status, content = await self._transact(json.loads(message.body))
        elif (method, url.path) == ("GET", "/v1/rows-get"):
            status, content = 200, self._get(query)
        elif (method, url.path) == ("GET", "/v1/rows-feed"):
            status, content = 200, await self._feed(query)
        body = json.dumps(content).encode()
        writer.write(encode(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"}, body))
        await writer.drain()
        return True

    async def _transact(self, call: t.Dict[str, t.Any]) -> t.Tuple[int, t.Dict[str, t.Any]]:
        for expected in call.get("expectedRev", []):
            row = self._rows.get((expected["table"], expected["key"]))
            revision = row["ver"] if row is not None and not row.get("deleted") else 0
            if revision != expected["ver"]:
                return 412, {**self._moment(), "rows": [row] if row is not None else []}
        await self._apply(call.get("put", []), call.get("remove", []))
        return 200, self._moment()

    def _get(self, query: t.Dict[str, str]) -> t.Dict[str, t.Any]:
        rows = [
            row
            for (table, key), row in sorted(self._rows.items())
            if table == query["table"] and not row.get("deleted") and key >= query.get("from", "")
        ]
        limit = int(query.get("limit", "500"))
        return {**self._moment(), "rows": rows[:limit], "hasMore": len(rows) > limit}

    async def _feed(self, query: t.Dict[str, str]) -> t.Dict[str, t.Any]:
        after = int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        async with self._changed:
            while True:
                rows = [
                    row
                    for (table, _), row in self._rows.items()
                    if table == query["table"] and row["ver"] > after
                ]
                left = until - time.monotonic()
                if rows or left <= 0:
                    rows.sort(key=lambda row: int(row["ver"]))
                    return {**self._moment(), "rows": rows}
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except asyncio.TimeoutError:
                    continue

    async def _apply(self, puts: t.Sequence[t.Any], removes: t.Sequence[t.Any]) -> None:
        async with self._changed:
            self.revision += 1
            for row in puts:
                self._rows[row["table"], row["key"]] = {**row, "ver": self.revision}
            for row in removes:
                gone = {**row, "ver": self.revision, "deleted": True}
                self._rows[row["table"], row["key"]] = gone
            self._changed.notify_all()

    def _moment(self) -> t.Dict[str, t.Any]:
        return {"ver": self.revision, "nowS": time.monotonic() + 1000.0}


class Run(t.NamedTuple):
    """A request that an instance has run."""

    request_id: str
    instance_id: str
    at: float
    headers: t.Dict[str, str]


class Instance(HttpStandin):
    """A sound instance of a service.

    :param instance_id: its id.
    :param record: where it writes what it runs.
    :param runs: where it adds what it runs.
    :param work_s: how long a request takes.
    """

    def __init__(
        self, instance_id: str, record: Record, runs: t.List[Run], work_s: float = 0.02
    ) -> None:
        super().__init__()
        self.instance_id = instance_id
        self.slots = 40
        self._record = record
        self._runs = runs
        self._work_s = work_s
        self._running = 0

    def row(self, service: str, zone: str, **status: t.Any) -> t.Dict[str, t.Any]:
        return {
            "address": self.address,
            "info": {"service": service, "version": "v1", "zone": zone, "concurrency": self.slots},
            "status": {"state": "ready", "sequence": 1, "warmupLeftS": 0, **status},
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        message = await read_message(reader)
        if message is None:
            return False
        request_id = message.headers.get("x-request-id", "")
        headers = {"X-Request-Id": request_id}
        if message.headers.get("x-expected-instance", self.instance_id) != self.instance_id:
            writer.write(encode("HTTP/1.1 421 X", {**headers, "X-Not-Executed": "1"}))
            return True
        if self._running >= self.slots:
            writer.write(encode("HTTP/1.1 503 X", {**headers, "X-Not-Executed": "1"}))
            return True
        self._running += 1
        try:
            self._runs.append(Run(request_id, self.instance_id, time.monotonic(), message.headers))
            self._record(f"run {request_id} at {self.instance_id}")
            await asyncio.sleep(self._work_s)
        finally:
            self._running -= 1
        headers["X-Response-Signature"] = f"{self.instance_id}.{request_id}"
        headers["X-Server-Load"] = f"{self._running},0,{self.slots}"
        writer.write(encode("HTTP/1.1 200 OK", headers, f"body of {request_id}".encode()))
        await writer.drain()
        return True


class Entry:
    """One entry: ``coralfall steer`` as the deploy file runs it.

    :param name: its name.
    :param zone: its zone, ``REGION-NUMBER``.
    :param folder: for its settings file and its log.
    :param regions_by_zone: all zones.
    """

    def __init__(
        self, name: str, zone: str, folder: pathlib.Path, regions_by_zone: t.Mapping[str, str]
    ) -> None:
        self.name = name
        self.zone = zone
        self.region = regions_by_zone[zone]
        self._regions_by_zone = regions_by_zone
        self.caller_port = free_port()
        self.readiness_port = free_port()
        self.lookup_port = free_port()
        self.peer_address = f"{HOST}:{free_port()}"
        self.metrics_port = free_port()
        self.log = folder / f"{name}.log"
        self._settings = folder / f"{name}.toml"
        self.process: t.Optional["subprocess.Popen[bytes]"] = None

    def configure(
        self,
        store: str,
        seeds: t.Sequence[str],
        bounds: t.Mapping[str, float],
        first_start: bool,
        **more: t.Any,
    ) -> None:
        """Writes its settings, with the keys of the deploy file's template."""
        fields: t.Dict[str, t.Any] = {
            "entry_id": self.name,
            "zone": self.zone,
            "region": self.region,
            "caller_address": f"{HOST}:{self.caller_port}",
            "lookup_address": f"{HOST}:{self.lookup_port}",
            "readiness_address": f"{HOST}:{self.readiness_port}",
            "peer_address": self.peer_address,
            "metrics_address": f"{HOST}:{self.metrics_port}",
            "link_mbps": 1000.0,
            "max_files": 4100,
            "seeds": list(seeds),
            **more,
        }
        if first_start:
            fields["first_start"] = True
        lines = [f"{name} = {json.dumps(value)}" for name, value in fields.items()]
        lines.append("[regions_by_zone]")
        lines += [f"{json.dumps(z)} = {json.dumps(r)}" for z, r in self._regions_by_zone.items()]
        lines += ["[store]", f"address = {json.dumps(store)}", "[bounds]"]
        lines += [f"{name} = {json.dumps(value)}" for name, value in bounds.items()]
        self._settings.write_text("\n".join(lines) + "\n", encoding="utf-8")

    def start(self) -> None:
        keep = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in keep if name in os.environ}
        environment["CORALFALL_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = "target/deps"
        with open(self.log, "ab") as output:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "coralfall", "steer"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    async def wait_ended(self, seconds: float) -> bool:
        """Waits until the process has ended; returns whether it has."""
        assert self.process is not None
        until = time.monotonic() + seconds
        while self.process.poll() is None:
            if time.monotonic() > until:
                return False
            await asyncio.sleep(0.02)
        return True

    async def is_ready(self) -> bool:
        answer = await call(self.readiness_port, encode("GET /v1/ready HTTP/1.1", {"Host": "x"}), 1)
        return answer is not None and answer.start.split(" ")[1] == "200"

    async def wait_ready(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > until or (self.process and self.process.poll() is not None):
                raise CaseError(f"{self.name} was not ready in {seconds} s")
            await asyncio.sleep(0.05)

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Connections:
    """Kept connections of clients to one entry, each of which carries one request at a time.

    :param port: the entry's port for callers.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self._idle: t.List[t.Tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def call(self, request: bytes, seconds: float) -> t.Optional[Message]:
        """Sends a request; ``None`` if there is no whole answer."""
        writer = None
        kept = False
        try:
            async with asyncio.timeout(seconds):
                if self._idle:
                    reader, writer = self._idle.pop()
                else:
                    reader, writer = await asyncio.open_connection(HOST, self._port)
                writer.write(request)
                answer = await read_message(reader)
                if answer is not None and answer.headers.get("connection", "") != "close":
                    kept = True
                    self._idle.append((reader, writer))
                return answer
        except (OSError, TimeoutError):
            return None
        finally:
            if writer is not None and not kept:
                writer.close()


async def call(port: int, request: bytes, seconds: float) -> t.Optional[Message]:
    """Sends a request on a new connection; ``None`` if there was no whole answer."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(request)
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Proxy:
    """Passes connections on to an address, and nothing at all where it is told of a partition.

    It finds out which entry has opened a connection by the owner of the connecting socket, once a
    partition makes that matter.

    :param target: where connections are passed on to.
    :param owner: group of the target.
    :param entries: the entries that may connect.
    :param is_cut: whether two groups are partitioned now.
    """

    def __init__(
        self,
        target: str,
        owner: str,
        entries: t.Sequence[Entry],
        is_cut: t.Callable[[str, str], bool],
    ) -> None:
        self.port = free_port()
        self.address = f"{HOST}:{self.port}"
        self._target = target
        self._owner = owner
        self._entries = entries
        self._is_cut = is_cut
        self._server: t.Optional[asyncio.Server] = None
        self._tasks: t.Set["asyncio.Task[None]"] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, HOST, self.port, backlog=1024)

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        out: t.Optional[asyncio.StreamWriter] = None
        pumps: t.List["asyncio.Task[None]"] = []
        caller = _Caller(writer.get_extra_info("peername")[1], self.port, self._entries)
        try:
            await self._wait_open(caller)
            host, _, port = self._target.rpartition(":")
            back, out = await asyncio.open_connection(host, int(port))
            pumps = [
                asyncio.create_task(self._pump(reader, out, caller)),
                asyncio.create_task(self._pump(back, writer, caller)),
            ]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        except (OSError, asyncio.CancelledError):
            # The connection or the case has ended.
            pass
        finally:
            self._tasks.discard(task)
            for pump in pumps:
                pump.cancel()
            writer.close()
            if out is not None:
                out.close()

    async def _wait_open(self, caller: "_Caller") -> None:
        groups = {entry.region for entry in self._entries}
        while any(self._is_cut(group, self._owner) for group in groups):
            if not self._is_cut(await caller.find_group(), self._owner):
                return
            await asyncio.sleep(0.05)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, caller: "_Caller"
    ) -> None:
        try:
            while data := await reader.read(65536):
                await self._wait_open(caller)
                writer.write(data)
                await writer.drain()
        except OSError:
            return


#: Looks at the list of connections, of which one may miss some while it changes.
_MAX_LOOKS = 3


class _Table:
    """The kernel's list of connections, read ten times a second at most, as it may be long."""

    def __init__(self) -> None:
        self._rows = b""
        self._read_at = -1.0

    async def read(self, since: float) -> bytes:
        """Returns the list as of a later time."""
        while self._read_at <= since:
            wait_s = self._read_at + 0.1 - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
                continue
            self._read_at = time.monotonic()
            self._rows = pathlib.Path("/proc/net/tcp").read_bytes()
        return self._rows


_table = _Table()


class _Caller:
    """The entry that has opened a connection.

    :param local_port: its port of the connection.
    :param remote_port: the other one.
    :param entries: the entries that may be it.
    """

    def __init__(self, local_port: int, remote_port: int, entries: t.Sequence[Entry]) -> None:
        self._row = f"0100007F:{local_port:04X} 0100007F:{remote_port:04X} ".encode()
        self._entries = entries
        self._group = ""
        self._opened_at = time.monotonic()

    async def find_group(self) -> str:
        """Returns the region of the entry.

        :raises ConnectionError: if it can't be found, as the entry has closed the connection, or as
            the list of connections has changed too fast; the connection is to be closed then.
        """
        since = self._opened_at
        for _ in range(_MAX_LOOKS):
            if not self._group:
                table = await _table.read(since)
                self._group = self._find(table)
                since = time.monotonic()
            if self._group:
                return self._group
        raise ConnectionError("nobody owns the connection")

    def _find(self, table: bytes) -> str:
        at = table.find(self._row)
        if at < 0:
            return ""
        inode = table[at:].split(b"\n", 1)[0].split()[8].decode()
        for entry in self._entries:
            if entry.process is None or entry.process.poll() is not None:
                continue
            folder = f"/proc/{entry.process.pid}/fd"
            try:
                for name in os.listdir(folder):
                    if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                        return entry.region
            except OSError:
                continue
        return ""


def _interrupt(_number: int, _frame: t.Any) -> t.NoReturn:
    """Ends the case, and with it all that it has started."""
    raise KeyboardInterrupt("told to stop")


def run_case(folder: pathlib.Path, case: t.Callable[..., t.Awaitable[bool]]) -> t.NoReturn:
    """Runs a case, whose result is whether the rule held, and exits with 0, 1 or 2."""
    signal.signal(signal.SIGTERM, _interrupt)
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    status = 2
    entries: t.List[Entry] = []

    async def limited(path: pathlib.Path) -> bool:
        async with asyncio.timeout(112):
            try:
                return await case(record, path, entries, trouble)
            finally:
                for entry in entries:
                    entry.end()
                rest = asyncio.all_tasks() - {asyncio.current_task()}
                for task in rest:
                    task.cancel()
                if rest:
                    await asyncio.wait(rest, timeout=2)

    with tempfile.TemporaryDirectory() as path:
        try:
            status = 0 if asyncio.run(limited(pathlib.Path(path))) else 1
        except (CaseError, OSError, TimeoutError, KeyboardInterrupt) as error:
            record.say(f"could not run: {type(error).__name__}: {error}")
        finally:
            for entry in entries:
                entry.end()
            if kept := os.environ.get("KEEP_LOGS"):
                for log in pathlib.Path(path).glob("*.log"):
                    (pathlib.Path(kept) / log.name).write_bytes(log.read_bytes())
    record.say({0: "the rule held", 1: "the rule was broken", 2: "not run"}[status])
    record.close()
    sys.exit(status)
