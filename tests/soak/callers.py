"""Callers of the soak: they look entries up, keep connections open, and note all that they see."""

import asyncio
import json
import random
import socket
import time
import typing as t

from tests.soak.record import KEY, LONG, SLOW, Attempt, Record, Sort, Tenant

if t.TYPE_CHECKING:
    from tests.soak.record import Lifetime
    from tests.soak.world import SoakEntry

#: Seconds that a caller waits for an answer, and the same if its request may take long.
PATIENCE_S = 4.0
LONG_PATIENCE_S = 9.0
_LOOKUP_S = 1.0
_UPLOAD_BYTES = 40_000
#: Bytes that a slow caller has room for and reads at a time, and seconds between two reads.
_SLOW_BYTES = 16 * 1024
_SLOW_PAUSE_S = 0.1
#: How often each sort of request is sent.
_SORTS = (Sort.READ,) * 5 + (Sort.COMMAND,) * 4 + (Sort.UPLOAD,) + (Sort.SINCE,) * 3
#: What idle callers send as they wake, how long they tell that they wait, for how many seconds
#: they send a body, and seconds from the signal to the request.
_WAKING_SORTS = (Sort.ORDER,) * 3 + (Sort.REPORT,)
_WAKING_LIMITS_MS = (2000, 4600, 4600)
_BODIES_S = (0.0, 0.0, 1.2)
_WAKES_S = (0.0, 4.6)
#: Seconds between two looks at the entry, between two tries to reach it, and between two short
#: requests that keep a connection from being closed as idle.
_LOOK_S = 0.02
_RETRY_S = 0.5
_KEEP_S = 8.0


class Connection:
    """One connection of a caller to an entry."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self.usable = True

    async def exchange(self, attempt: Attempt, object_key: int, body_s: float = 0.0) -> None:
        """Send a request and note its answer.

        :param body_s: seconds between the first byte of the body and the rest.
        """
        at_once = 1 if body_s else len(attempt.body)
        self._writer.write(_head_of(attempt, object_key) + attempt.body[:at_once])
        if body_s:
            await asyncio.sleep(body_s)
            self._writer.write(attempt.body[at_once:])
        attempt.sent_whole_at = time.monotonic()
        try:
            head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            fields = {}
            for line in head.split("\r\n")[1:]:
                name, _, value = line.partition(": ")
                fields[name.lower()] = value
            length = int(fields.get("content-length", 0))
            pieces = []
            piece_bytes = _SLOW_BYTES if attempt.request_id.startswith(SLOW) else length
            while length:
                pieces.append(await self._reader.readexactly(min(length, piece_bytes)))
                length -= len(pieces[-1])
                if length:
                    await asyncio.sleep(_SLOW_PAUSE_S)
            attempt.answer = b"".join(pieces)
            attempt.signature = fields.get("x-response-signature", "")
            attempt.leaving = fields.get("server-leaving") == "1"
            attempt.status = int(head.split(" ", 2)[1])
            self.usable = fields.get("connection", "").lower() != "close"
        except (asyncio.IncompleteReadError, OSError):
            self.usable = False

    def close(self) -> None:
        self._writer.close()


class Caller:
    """Sends one request after the other until it is stopped.

    :param lookups: addresses at which entries tell where to connect, by name.
    :param names: entries by callers' address.
    :param newest: tells the newest version that the store has taken.
    :param keeps: whether it keeps its connections.
    :param tenant: whose key it sends.
    """

    def __init__(
        self,
        name: str,
        record: Record,
        lookups: t.Mapping[str, str],
        names: t.Mapping[str, str],
        newest: t.Callable[[], int],
        keeps: bool,
        rng: random.Random,
        tenant: Tenant = Tenant.CALM,
    ) -> None:
        self._tenant = tenant
        self._name = name
        self._record = record
        self._lookups = lookups
        self._names = names
        self._newest = newest
        self._keeps = keeps
        self._rng = rng
        self._sent = 0
        self._open: t.Dict[str, Connection] = {}
        self._addresses: t.List[str] = list(names)
        self._asked_at = -float("inf")

    async def run(self) -> None:
        while True:
            if time.monotonic() - self._asked_at > _LOOKUP_S:
                await self._look_up()
            await self.send(self._rng.choice(self._addresses))
            await asyncio.sleep(self._rng.uniform(0.0, 0.06))

    async def send(self, address: str, sort: t.Optional[Sort] = None) -> Attempt:
        """Send one request; a connection that can't be had is noted as status 0."""
        return await self._send(self._draw(sort or self._rng.choice(_SORTS), address), address)

    async def send_path(self, address: str, path: str) -> Attempt:
        """Send a read of a certain path, always of the same object."""
        self._sent += 1
        request_id = f"{self._name}-{self._sent}"
        entry = self._names[address]
        attempt = Attempt(request_id, Sort.READ, path, b"", entry, time.monotonic())
        return await self._send(attempt, address, object_key=1)

    async def _send(
        self,
        attempt: Attempt,
        address: str,
        object_key: t.Optional[int] = None,
        body_s: float = 0.0,
    ) -> Attempt:
        attempt.tenant = self._tenant
        self._record.attempts.append(attempt)
        connection = self._open.pop(address, None) if self._keeps else None
        try:
            patience_s = LONG_PATIENCE_S if attempt.sort in LONG else PATIENCE_S
            async with asyncio.timeout(patience_s):
                if connection is None or not connection.usable:
                    connection = await self._connect(address)
                await connection.exchange(attempt, self._object(object_key), body_s)
        except (OSError, TimeoutError):
            attempt.status = 0
        attempt.ended_at = time.monotonic()
        if connection is None:
            return attempt
        if self._keeps and connection.usable and attempt.status:
            self._open[address] = connection
        else:
            connection.close()
        return attempt

    async def _connect(self, address: str) -> Connection:
        host, _, port = address.rpartition(":")
        if not self._name.startswith(SLOW):
            return Connection(*await asyncio.open_connection(host, int(port)))
        # With a small window, most of an answer stays at the entry until it is read.
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SLOW_BYTES)
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        except BaseException:
            sock.close()
            raise
        return Connection(*await asyncio.open_connection(sock=sock, limit=_SLOW_BYTES // 2))

    def _object(self, object_key: t.Optional[int]) -> int:
        return self._rng.randrange(12) if object_key is None else object_key

    def _draw(self, sort: Sort, address: str) -> Attempt:
        self._sent += 1
        request_id = f"{self._name}-{self._sent}"
        version = 0
        path = f"{sort.value}{request_id}"
        if sort is Sort.SINCE:
            version = self._rng.randint(1, self._newest())
            path = f"{sort.value}{version}/{request_id}"
        body = b""
        if sort in (Sort.COMMAND, Sort.ORDER):
            body = f"order {request_id}".encode()
        if sort is Sort.UPLOAD:
            body = self._rng.randbytes(_UPLOAD_BYTES)
        entry = self._names[address]
        return Attempt(request_id, sort, path, body, entry, time.monotonic(), version=version)

    async def _look_up(self) -> None:
        name = self._rng.choice(list(self._lookups))
        query = "/v1/resolve?name=a.example&region=sierra&zone=sierra-norte"
        try:
            async with asyncio.timeout(1.0):
                host, _, port = self._lookups[name].rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    f"GET {query} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".encode()
                )
                answer = await reader.read()
                writer.close()
            addresses = json.loads(answer.partition(b"\r\n\r\n")[2])["addresses"]
        except (OSError, TimeoutError, ValueError, KeyError):
            return
        if addresses:
            self._addresses = addresses
            self._asked_at = time.monotonic()


class IdleCaller(Caller):
    """Keeps an idle connection to one entry, and wakes within the grace once that has to stop.

    :param entry: that it connects to.
    """

    def __init__(
        self,
        name: str,
        record: Record,
        entry: "SoakEntry",
        newest: t.Callable[[], int],
        rng: random.Random,
    ) -> None:
        address = entry.caller_address
        super().__init__(name, record, {}, {address: entry.name}, newest, True, rng)
        self._entry = entry

    async def run(self) -> None:
        while True:
            lifetime = self._entry.lifetime
            if lifetime is None or not self._serves(lifetime):
                await asyncio.sleep(_LOOK_S)
                continue
            await self.send(self._entry.caller_address, Sort.READ)
            if self._entry.caller_address not in self._open:
                await asyncio.sleep(_RETRY_S)
                continue
            await self._stay_idle(lifetime)
            if lifetime.told_at != float("inf"):
                await asyncio.sleep(self._rng.uniform(*_WAKES_S))
                await self._wake()

    def _serves(self, lifetime: "Lifetime") -> bool:
        process = self._entry.process
        is_running = process is not None and process.poll() is None
        is_current = self._entry.lifetime is lifetime
        return is_running and is_current and lifetime.told_at == float("inf")

    async def _stay_idle(self, lifetime: "Lifetime") -> None:
        since = time.monotonic()
        while self._serves(lifetime) and time.monotonic() - since < _KEEP_S:  # noqa: ASYNC110
            await asyncio.sleep(_LOOK_S)

    async def _wake(self) -> None:
        address = self._entry.caller_address
        if address not in self._open:
            return
        attempt = self._draw(self._rng.choice(_WAKING_SORTS), address)
        attempt.time_limit_ms = self._rng.choice(_WAKING_LIMITS_MS)
        body_s = self._rng.choice(_BODIES_S) if attempt.body else 0.0
        await self._send(attempt, address, body_s=body_s)


def _head_of(attempt: Attempt, object_key: int) -> bytes:
    method = "GET" if attempt.sort in (Sort.READ, Sort.SINCE, Sort.REPORT) else "POST"
    lines = [
        f"{method} {attempt.path} HTTP/1.1",
        "host: a.example",
        f"x-request-id: {attempt.request_id}",
        f"cookie: X-Affinity-Key={object_key}",
        f"x-request-deadline: {attempt.time_limit_ms}",
        f"x-credential: {KEY}{attempt.tenant.value}",
        # What a caller says of its tenant counts for nothing.
        f"X-Tenant: {Tenant.NOBODY.value}",
    ]
    if attempt.body:
        lines.append(f"content-length: {len(attempt.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
