"""Stand-ins for the platform's store and for an instance (a target), listening on loopback.

They follow the platform's specification of its HTTP interfaces and rows.
"""

import asyncio
import base64
import json
import time
import typing as t
import urllib.parse

from coralfall.http.server import HttpServer
from tests.traffic.scripted_target import ReceivedRequest, ScriptedTarget

if t.TYPE_CHECKING:
    from starlette.types import Receive, Scope, Send

RowKey = t.Tuple[str, str, str]


class StoreCopy(t.NamedTuple):
    """The store's rows and counter as they were at some moment."""

    rows: t.Dict[RowKey, t.Dict[str, t.Any]]
    revision: int


class StoreStandin:
    """In-memory store with rows, transactions, feeds and selectable failures.

    :ivar mode: ``ok``, ``busy`` (503), ``many`` (429), ``silent`` (no answer), ``lost`` (writes
        take effect but are not answered) or ``late`` (writes take effect after a delay and are not
        answered).
    """

    def __init__(self) -> None:
        self.mode = "ok"
        self.revision = 0
        self.oldest_revision = 0
        #: What the header of all answers says; no header if it is ``None``.
        self.era: t.Optional[str] = "0"
        #: Client addresses of open connections on which nothing is answered any more.
        self._silenced_addresses: t.Set[t.Any] = set()
        self._client_addresses: t.Set[t.Any] = set()
        self.calls: t.List[str] = []
        self._rows: t.Dict[RowKey, t.Dict[str, t.Any]] = {}
        #: What the operator and the instances wrote last, by row; ``None`` if they removed it.
        self._said: t.Dict[RowKey, t.Optional[str]] = {}
        self._changed = asyncio.Event()
        self._server = HttpServer("store", self, "127.0.0.1:0")

    @property
    def address(self) -> str:
        return self._server.bound_address

    async def __aenter__(self) -> "StoreStandin":
        await self._server.start()
        return self

    async def __aexit__(self, *_error: t.Any) -> None:
        # Unanswered calls end only when their connection does.
        self.end_open_connections()
        await asyncio.sleep(0.01)
        self._server._close()

    def put(self, table: str, key: str, value: t.Any) -> None:
        """Writes a row as the operator or an instance does."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self._said[table, "", key] = data
        self._apply([{"table": table, "part": "", "key": key, "value": data}], [])

    def remove(self, table: str, key: str) -> None:
        self._said[table, "", key] = None
        self._apply([], [{"table": table, "part": "", "key": key}])

    def lost_keys(self) -> t.List[RowKey]:
        """Rows that are not as the operator and the instances wrote them last."""
        return [
            key for key, data in self._said.items() if self._rows.get(key, {}).get("value") != data
        ]

    def write_again(self, key: RowKey) -> None:
        """Writes a row again as it was written last."""
        table, part, name = key
        row = {"table": table, "part": part, "key": name}
        data = self._said[key]
        self._apply([], [row]) if data is None else self._apply([{**row, "value": data}], [])

    def keys(self, table: str) -> t.List[str]:
        return sorted(
            [key for (name, _, key), row in self._rows.items() if name == table and "value" in row]
        )

    def drop_history(self) -> None:
        """Discards all history, so that feeds from older revisions get 410."""
        self.oldest_revision = self.revision

    def copy(self) -> StoreCopy:
        return StoreCopy(dict(self._rows), self.revision)

    def restore(self, copy: StoreCopy) -> None:
        """Comes back from a copy: what was written since is lost, and a new era begins."""
        self._rows, self.revision = dict(copy.rows), copy.revision
        self.oldest_revision = min(self.oldest_revision, self.revision)
        self.era = str(int(self.era or 0) + 1)
        self.end_open_connections()

    def end_open_connections(self) -> None:
        for connection in list(self._server._connections.all):
            connection.transport.abort()

    def silence_open_connections(self) -> None:
        """Answers nothing on connections that are open now; new connections work."""
        self._silenced_addresses |= self._client_addresses

    async def __call__(self, scope: "Scope", receive: "Receive", send: "Send") -> None:
        try:
            await self._serve(scope, receive, send)
        except asyncio.CancelledError:
            # The stand-in is being closed; calls that still wait get no answer.
            return

    async def _serve(self, scope: "Scope", receive: "Receive", send: "Send") -> None:
        path = scope["path"]
        self.calls.append(path)
        self._client_addresses.add(scope["client"])
        body = await _read_body(receive)
        if self.mode in ("busy", "many"):
            await self._respond(send, 503 if self.mode == "busy" else 429, {"error": self.mode})
            return
        if self.mode == "silent" or scope["client"] in self._silenced_addresses:
            await _wait_disconnected(receive)
            return
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        if path == "/v1/rows-tx":
            await self._transact(json.loads(body), receive, send)
        elif path == "/v1/rows-get":
            await self._respond(send, 200, self._get(query))
        elif path == "/v1/rows-feed":
            await self._feed(query, send)
        else:
            await self._respond(send, 404, {})

    async def _transact(self, call: t.Dict[str, t.Any], receive: "Receive", send: "Send") -> None:
        if self.mode == "late":
            await asyncio.sleep(0.2)
        for expected in call["expectedRev"]:
            row = self._rows.get(_row_key(expected), {})
            if row.get("ver", 0) != expected["ver"]:
                rows = [row] if row else []
                await self._respond(send, 412, {**self._revision_and_time(), "rows": rows})
                return
        self._apply(call["put"], call["remove"])
        if self.mode in ("lost", "late"):
            await _wait_disconnected(receive)
            return
        await self._respond(send, 200, self._revision_and_time())

    def _get(self, query: t.Dict[str, str]) -> t.Dict[str, t.Any]:
        rows = [
            row
            for key, row in sorted(self._rows.items())
            if key[0] == query["table"] and "value" in row and key[2] >= query.get("from", "")
        ]
        limit = int(query.get("limit", 500))
        return {**self._revision_and_time(), "rows": rows[:limit], "hasMore": len(rows) > limit}

    async def _feed(self, query: t.Dict[str, str], send: "Send") -> None:
        after = int(query["after"])
        if not self.oldest_revision <= after <= self.revision:
            await self._respond(send, 410, {})
            return
        rows = self._rows_after(query["table"], after)
        wait_s = int(query.get("waitMs", 0)) / 1000
        if not rows and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    while not rows:
                        self._changed.clear()
                        await self._changed.wait()
                        rows = self._rows_after(query["table"], after)
            except TimeoutError:
                # Rows may have been written since; rows and `ver` must be of the same moment.
                rows = self._rows_after(query["table"], after)
        await self._respond(send, 200, {**self._revision_and_time(), "rows": rows})

    def _rows_after(self, table: str, after: int) -> t.List[t.Dict[str, t.Any]]:
        rows = [row for key, row in self._rows.items() if key[0] == table and row["ver"] > after]
        return sorted(rows, key=lambda row: row["ver"])

    def _apply(self, puts: t.List[t.Dict[str, t.Any]], removes: t.List[t.Dict[str, t.Any]]) -> None:
        self.revision += 1
        for row in puts:
            self._rows[_row_key(row)] = {**row, "ver": self.revision}
        for row in removes:
            self._rows[_row_key(row)] = {**row, "ver": self.revision, "deleted": True}
        self._changed.set()

    async def _respond(self, send: "Send", status: int, content: t.Dict[str, t.Any]) -> None:
        body = json.dumps(content).encode()
        headers = [(b"content-length", str(len(body)).encode())]
        if self.era is not None:
            headers.append((b"store-era", self.era.encode()))
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    def _revision_and_time(self) -> t.Dict[str, t.Any]:
        # A monotonic clock; the store's clock need not agree with any other.
        return {"ver": self.revision, "nowS": time.monotonic() + 1000.0}


def _row_key(row: t.Dict[str, t.Any]) -> RowKey:
    return row["table"], row.get("part", ""), row["key"]


async def _read_body(receive: "Receive") -> bytes:
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body"):
            return body


async def _wait_disconnected(receive: "Receive") -> None:
    while (await receive())["type"] != "http.disconnect":
        continue


class InstanceStandin(ScriptedTarget):
    """Instance that checks the expected target, records requests and signs its answers.

    :param instance_id: id of the instance.
    """

    def __init__(self, instance_id: str) -> None:
        super().__init__(self._run)
        self.instance_id = instance_id
        self.executed_ids: t.List[str] = []
        #: Time of arrival and id of each request, in order.
        self.received_at: t.List[float] = []
        self.received_ids: t.List[str] = []
        #: Service time of a request in seconds.
        self.service_time_s = 0.0
        #: Rate limit over all entries that its answers announce, in requests per second.
        self.limit_per_s: t.Optional[float] = None
        #: Whether its answers announce that it is leaving.
        self.leaving = False
        #: Cooldown in seconds that it asks for in its answers; while set, it rejects all requests.
        self.cooldown_s: t.Optional[float] = None

    def row(self, service: str, zone: str, **status: t.Any) -> t.Dict[str, t.Any]:
        """Returns the instance's row in the store."""
        return {
            "address": self.address,
            "info": {"service": service, "version": "v1", "zone": zone, "concurrency": 6},
            "status": {"state": "ready", "sequence": 1, "warmupLeftS": 0, **status},
        }

    async def _run(self, received: ReceivedRequest) -> None:
        if received.header("x-expected-instance") != self.instance_id:
            await received.answer(421, b"", x_response_signature="")
            return
        request_id = received.header("x-request-id") or ""
        self.received_at.append(time.monotonic())
        self.received_ids.append(request_id)
        fields = {
            "x_server_load": "1,0,6",
            "server_limit": "" if self.limit_per_s is None else f"{self.limit_per_s:g}",
            "server_leaving": "1" if self.leaving else "",
        }
        if self.cooldown_s is not None:
            fields["retry_after"] = f"{self.cooldown_s:g}"
            await received.answer(503, b"", x_not_executed="1", x_response_signature="", **fields)
            return
        self.executed_ids.append(request_id)
        await asyncio.sleep(self.service_time_s)
        await received.answer(200, received.body or b"read", **fields)


def config(version: int, **changes: t.Any) -> t.Dict[str, t.Any]:
    """Returns a desired state as the operator writes it, with one route.

    :param changes: fields of the route that replace the defaults.
    """
    route = {
        "name": "r1",
        "host": "a.example",
        "prefix": "/p/",
        "kind": "safe",
        "timeoutS": 2.0,
        "latencyTargetS": 0.3,
        "priority": 2,
        "service": "s1",
        "maxAttempts": 2,
        "sessionAffinity": True,
        "allowedRegions": [],
        **changes,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [
            {"name": "s1", "healthPath": "/h", "maxConns": 90, "warmupS": 3, "warmupPerS": 9}
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1_000_000,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
        "baseVersion": version - 1,
        "unknownField": {"ignored": True},
    }
