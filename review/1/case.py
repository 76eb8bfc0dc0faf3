"""An entry is told to stop while instances that read slowly are at work on uploads.

The rule LOST is then checked: after a SIGTERM, no request at which its instance is at work may be
broken off and answered by the entry itself.
"""

import asyncio
import pathlib
import signal
import socket
import sys
import time
import typing as t

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from standins import (  # noqa: E402
    HOST,
    CaseError,
    Connections,
    Entry,
    HttpStandin,
    Record,
    Store,
    encode,
    read_head,
    run_case,
)

REGIONS_BY_ZONE = {"lowlands-a": "lowlands", "lowlands-b": "lowlands"}
BOUNDS = {
    "drain_s": 3.0,
    "grace_s": 6.0,
    "config_s": 3.0,
    "evacuation_s": 5.0,
    "max_ttl_s": 5.0,
}
#: Longer than `stableS`, for which nothing else may happen before.
CALM_S = 5.0
UPLOADS = 12
UPLOAD_BYTES = 300_000
TIMEOUT_S = 3.0
#: Seconds for which an instance works on the first piece of an upload before it reads on.
PAUSE_S = 1.0
#: Receive buffer of an instance: links have small windows, so a peer that does not read blocks
#: the writer.
RECEIVE_BUFFER = 65536
PIECE_BYTES = 16384


def config() -> t.Dict[str, t.Any]:
    return {
        "version": 3,
        "routes": [
            {
                "name": "uploads",
                "host": "a.example",
                "prefix": "/p/",
                "kind": "upload",
                "timeoutS": TIMEOUT_S,
                "latencyTargetS": 1.5,
                "priority": 1,
                "service": "ingest",
                "maxAttempts": 2,
                "sessionAffinity": True,
                "allowedRegions": [],
            }
        ],
        "services": [
            {"name": "ingest", "healthPath": "/h", "maxConns": 900, "warmupS": 3, "warmupPerS": 9}
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
    }


class UploadInstance(HttpStandin):
    """A sound instance that stores uploads as it reads them, slowly if it is told so.

    :param pause_s: how long it works on the first piece before it reads on.
    """

    def __init__(self, instance_id: str, record: Record, pause_s: float) -> None:
        super().__init__()
        self.instance_id = instance_id
        self._record = record
        self._pause_s = pause_s
        #: When it began to work on each request.
        self.began_at: t.Dict[str, float] = {}

    def row(self, zone: str) -> t.Dict[str, t.Any]:
        return {
            "address": self.address,
            "info": {"service": "ingest", "version": "v1", "zone": zone, "concurrency": UPLOADS},
            "status": {"state": "ready", "sequence": 1, "warmupLeftS": 0},
        }

    async def start(self) -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        listener.bind((HOST, self.port))
        self._server = await asyncio.start_server(self._accept, sock=listener, limit=PIECE_BYTES)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await read_head(reader)
        if head is None:
            return False
        request_id = head[1].get("x-request-id", "")
        headers = {"X-Request-Id": request_id}
        if head[1].get("x-expected-instance", self.instance_id) != self.instance_id:
            writer.write(encode("HTTP/1.1 421 X", {**headers, "X-Not-Executed": "1"}))
            return False
        self.began_at[request_id] = time.monotonic()
        self._record(f"run {request_id} at {self.instance_id}")
        length = int(head[1].get("content-length", "0"))
        read = 0
        while read < length:
            piece = await reader.read(PIECE_BYTES)
            if not piece:
                self._record(f"cut {request_id} at {self.instance_id}: {read} of {length} bytes")
                return False
            if not read and length > PIECE_BYTES:
                await asyncio.sleep(self._pause_s)
            read += len(piece)
        self._record(f"stored {request_id} at {self.instance_id}: {read} bytes")
        headers["X-Response-Signature"] = f"{self.instance_id}.{request_id}"
        writer.write(encode("HTTP/1.1 200 OK", headers, b"stored"))
        await writer.drain()
        return True


class Client:
    """Uploads on a connection that it keeps."""

    def __init__(self, name: str, port: int, record: Record) -> None:
        self.name = name
        self._connections = Connections(port)
        self._record = record

    async def upload(self, number: int, size: int) -> t.Tuple[str, float, str, bool]:
        """Returns id, time of the answer, status, and whether it is an instance's."""
        request_id = f"{self.name}-{number}"
        headers = {
            "Host": "a.example",
            "X-Request-Id": request_id,
            "X-Request-Deadline": str(int(TIMEOUT_S * 1000)),
            "Cookie": f"X-Affinity-Key={self.name}",
        }
        sent_at = time.monotonic()
        self._record(f"sent {request_id}, {size} bytes")
        request = encode(f"POST /p/{request_id} HTTP/1.1", headers, b"u" * size)
        answer = await self._connections.call(request, TIMEOUT_S)
        status = answer.start.split(" ")[1] if answer is not None else "none"
        signed = answer is not None and "x-response-signature" in answer.headers
        after_s = time.monotonic() - sent_at
        self._record(f"answered {request_id} {status} after {after_s:.2f} s, signed: {signed}")
        return request_id, time.monotonic(), status, signed


async def case(record: Record, folder: pathlib.Path, entries: t.List[Entry], trouble: bool) -> bool:
    store = Store()
    await store.start()
    await store.put("op", "config", config())
    instances = []
    for zone in REGIONS_BY_ZONE:
        instance = UploadInstance(f"i-{zone}", record, PAUSE_S if trouble else 0.0)
        await instance.start()
        await store.put("servers", instance.instance_id, instance.row(zone))
        instances.append(instance)
        entries.append(Entry(f"e-{zone}", zone, folder, REGIONS_BY_ZONE))
    seeds = [entry.peer_address for entry in entries]
    for entry in entries:
        entry.configure(store.address, seeds, BOUNDS, True)
        entry.start()
    for entry in entries:
        await entry.wait_ready(20)
    record.say("all entries are ready")
    stopped = entries[0]
    clients = [Client(f"c{number}", stopped.caller_port, record) for number in range(UPLOADS)]
    first = await asyncio.gather(*[client.upload(1, 2000) for client in clients])
    if any(status != "200" for _, _, status, _ in first):
        raise CaseError("an upload failed before the stop")
    await asyncio.sleep(CALM_S)
    record.say(f"SIGTERM to {stopped.name}")
    stopped.signal(signal.SIGTERM)
    told_at = time.monotonic()
    await asyncio.sleep(0.3)

    async def upload(number: int, client: Client) -> t.Tuple[str, float, str, bool]:
        await asyncio.sleep(number * 0.05)
        return await client.upload(2, UPLOAD_BYTES)

    answers = await asyncio.gather(*[upload(*pair) for pair in enumerate(clients)])
    await stopped.wait_ended(BOUNDS["grace_s"])
    broken = 0
    at_work = 0
    for request_id, ended_at, _status, signed in answers:
        if not any(request_id in instance.began_at for instance in instances):
            continue
        at_work += 1
        # All were sent less than 1 s after the SIGTERM; the last sixth of the grace is excused.
        if not signed and ended_at < told_at + BOUNDS["grace_s"] * 5 / 6:
            broken += 1
    record.say(
        f"{len(answers)} uploads sent after the SIGTERM, {at_work} reached an instance, "
        f"{sum(signed for *_, signed in answers)} answered by it, {broken} broken off while it was"
        f" at work; statuses {sorted(status for _, _, status, _ in answers)}"
    )
    if not at_work:
        raise CaseError("no upload reached an instance")
    return broken == 0


if __name__ == "__main__":
    run_case(FOLDER, case)
