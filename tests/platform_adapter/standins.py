"""Stand-ins of the platform's store and of an instance, by the platform's pages, on loopback."""

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


class StoreStandin:
    """The store: rows, transactions, feeds, and its ways to fail.

    :ivar mode: ``ok``, ``busy`` (503), ``many`` (429), ``silent`` (no answer), ``lost`` (writes are
        done and not answered) or ``late`` (they are done a little later, and not answered).
    """

    def __init__(self) -> None:
        self.mode = "ok"
        self.revision = 0
        self.oldest_revision = 0
        #: Callers' addresses whose connections are open and take nothing in any more.
        self._silenced: t.Set[t.Any] = set()
        self._callers: t.Set[t.Any] = set()
        self.calls: t.List[str] = []
        self._rows: t.Dict[RowKey, t.Dict[str, t.Any]] = {}
        self._changed = asyncio.Event()
        self._server = HttpServer("store", self, "127.0.0.1:0")

    @property
    def address(self) -> str:
        return self._server.bound_address

    async def __aenter__(self) -> "StoreStandin":
        await self._server.start()
        return self

    async def __aexit__(self, *_error: t.Any) -> None:
        # Calls that are not answered end when their caller leaves.
        for connection in list(self._server._connections.all):
            connection.transport.abort()
        await asyncio.sleep(0.01)
        self._server._close()

    def put(self, table: str, key: str, value: t.Any) -> None:
        """Write a row as the operator or an instance does."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([{"table": table, "part": "", "key": key, "value": data}], [])

    def remove(self, table: str, key: str) -> None:
        self._apply([], [{"table": table, "part": "", "key": key}])

    def keys(self, table: str) -> t.List[str]:
        return sorted(
            [key for (name, _, key), row in self._rows.items() if name == table and "value" in row]
        )

    def drop_history(self) -> None:
        """Drop all history."""
        self.oldest_revision = self.revision

    def silence_open_connections(self) -> None:
        """Answer nothing on the connections that are open now; new ones work."""
        self._silenced |= self._callers

    async def __call__(self, scope: "Scope", receive: "Receive", send: "Send") -> None:
        try:
            await self._serve(scope, receive, send)
        except asyncio.CancelledError:
            # The stand-in is closed; a call that still waits gets no answer.
            return

    async def _serve(self, scope: "Scope", receive: "Receive", send: "Send") -> None:
        path = scope["path"]
        self.calls.append(path)
        self._callers.add(scope["client"])
        body = await _whole(receive)
        if self.mode in ("busy", "many"):
            await _answer(send, 503 if self.mode == "busy" else 429, {"error": self.mode})
            return
        if self.mode == "silent" or scope["client"] in self._silenced:
            await _until_gone(receive)
            return
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        if path == "/v1/rows-tx":
            await self._transact(json.loads(body), receive, send)
        elif path == "/v1/rows-get":
            await _answer(send, 200, self._get(query))
        elif path == "/v1/rows-feed":
            await self._feed(query, send)
        else:
            await _answer(send, 404, {})

    async def _transact(self, call: t.Dict[str, t.Any], receive: "Receive", send: "Send") -> None:
        if self.mode == "late":
            await asyncio.sleep(0.2)
        for expected in call["expectedRev"]:
            row = self._rows.get(_key_of(expected), {})
            if row.get("ver", 0) != expected["ver"]:
                await _answer(send, 412, {**self._stamp(), "rows": [row] if row else []})
                return
        self._apply(call["put"], call["remove"])
        if self.mode in ("lost", "late"):
            await _until_gone(receive)
            return
        await _answer(send, 200, self._stamp())

    def _get(self, query: t.Dict[str, str]) -> t.Dict[str, t.Any]:
        rows = [
            row
            for key, row in sorted(self._rows.items())
            if key[0] == query["table"] and "value" in row and key[2] >= query.get("from", "")
        ]
        limit = int(query.get("limit", 500))
        return {**self._stamp(), "rows": rows[:limit], "hasMore": len(rows) > limit}

    async def _feed(self, query: t.Dict[str, str], send: "Send") -> None:
        after = int(query["after"])
        if after < self.oldest_revision:
            await _answer(send, 410, {})
            return
        rows = self._after(query["table"], after)
        wait_s = int(query.get("waitMs", 0)) / 1000
        if not rows and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    while not rows:
                        self._changed.clear()
                        await self._changed.wait()
                        rows = self._after(query["table"], after)
            except TimeoutError:
                # Something may have been written since: rows and `ver` are of one moment.
                rows = self._after(query["table"], after)
        await _answer(send, 200, {**self._stamp(), "rows": rows})

    def _after(self, table: str, after: int) -> t.List[t.Dict[str, t.Any]]:
        rows = [row for key, row in self._rows.items() if key[0] == table and row["ver"] > after]
        return sorted(rows, key=lambda row: row["ver"])

    def _apply(self, puts: t.List[t.Dict[str, t.Any]], removes: t.List[t.Dict[str, t.Any]]) -> None:
        self.revision += 1
        for row in puts:
            self._rows[_key_of(row)] = {**row, "ver": self.revision}
        for row in removes:
            self._rows[_key_of(row)] = {**row, "ver": self.revision, "deleted": True}
        self._changed.set()

    def _stamp(self) -> t.Dict[str, t.Any]:
        # Some clock that only rises; it need not show what anybody else's shows.
        return {"ver": self.revision, "nowS": time.monotonic() + 1000.0}


def _key_of(row: t.Dict[str, t.Any]) -> RowKey:
    return row["table"], row.get("part", ""), row["key"]


async def _whole(receive: "Receive") -> bytes:
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body"):
            return body


async def _until_gone(receive: "Receive") -> None:
    while (await receive())["type"] != "http.disconnect":
        continue


async def _answer(send: "Send", status: int, content: t.Dict[str, t.Any]) -> None:
    body = json.dumps(content).encode()
    headers = [(b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


class InstanceStandin(ScriptedTarget):
    """An instance: it checks who is meant, counts what it runs, and answers with its signature.

    :param instance_id: its id.
    """

    def __init__(self, instance_id: str) -> None:
        super().__init__(self._run)
        self.instance_id = instance_id
        self.executed_ids: t.List[str] = []
        #: When each request came, and their ids.
        self.received_at: t.List[float] = []
        self.received_ids: t.List[str] = []
        #: Seconds that a request takes.
        self.service_time_s = 0.0
        #: Requests a second that it takes from all entries together, as its answers name them.
        self.limit_per_s: t.Optional[float] = None
        #: Whether its answers say that it leaves.
        self.leaving = False
        #: Seconds without requests that it asks for with each request that it rejects, which are
        #: all while this is set.
        self.cooldown_s: t.Optional[float] = None

    def row(self, service: str, zone: str, **status: t.Any) -> t.Dict[str, t.Any]:
        """Its row in the store."""
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
    """A desired state as the operator writes it, with one route; ``changes`` are of the route."""
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
