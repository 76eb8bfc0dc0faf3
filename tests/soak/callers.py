"""Callers of the soak: they look entries up, keep connections open, and note all that they see."""

import asyncio
import json
import random
import socket
import time
import typing as t

from tests.soak.record import KEY, SLOW, Attempt, Record, Sort, Tenant

#: Seconds that a caller waits for an answer, and those that it tells.
PATIENCE_S = 4.0
TOLD_MS = 2000
_LOOKUP_S = 1.0
_UPLOAD_BYTES = 40_000
#: Bytes that a slow caller has room for and reads at a time, and seconds between two reads.
_SLOW_BYTES = 16 * 1024
_SLOW_PAUSE_S = 0.1
#: How often each sort of request is sent.
_SORTS = (Sort.READ,) * 5 + (Sort.COMMAND,) * 4 + (Sort.UPLOAD,) + (Sort.SINCE,) * 3


class Connection:
    """One connection of a caller to an entry."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self.usable = True

    async def exchange(self, attempt: Attempt, object_key: int) -> None:
        """Send a request and note its answer."""
        self._writer.write(_head_of(attempt, object_key) + attempt.body)
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
        self, attempt: Attempt, address: str, object_key: t.Optional[int] = None
    ) -> Attempt:
        attempt.tenant = self._tenant
        self._record.attempts.append(attempt)
        connection = self._open.pop(address, None) if self._keeps else None
        try:
            async with asyncio.timeout(PATIENCE_S):
                if connection is None or not connection.usable:
                    connection = await self._connect(address)
                await connection.exchange(attempt, self._object(object_key))
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
        if sort is Sort.COMMAND:
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


def _head_of(attempt: Attempt, object_key: int) -> bytes:
    method = "GET" if attempt.sort in (Sort.READ, Sort.SINCE) else "POST"
    lines = [
        f"{method} {attempt.path} HTTP/1.1",
        "host: a.example",
        f"x-request-id: {attempt.request_id}",
        f"cookie: X-Affinity-Key={object_key}",
        f"x-request-deadline: {TOLD_MS}",
        f"x-credential: {KEY}{attempt.tenant.value}",
        # What a caller says of its tenant counts for nothing.
        f"X-Tenant: {Tenant.NOBODY.value}",
    ]
    if attempt.body:
        lines.append(f"content-length: {len(attempt.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
