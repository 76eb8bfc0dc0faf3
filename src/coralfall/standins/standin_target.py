"""Stand-in of a target: slots, cold start, drain, shedding, deadlines, and faults on command.

Any path is work. ``GET /x?bytes=N`` answers N bytes that are patterned by the path, so that the
one who asked can tell a whole answer; any other method reads its body, counts as an effect and
answers the body's SHA-256 and length. ``/health``, ``/load``, ``/effects``, ``/faults`` and
``/drain`` are the stand-in's own.
"""

import asyncio
import hashlib
import random
import time
import typing as t
import urllib.parse

import msgspec
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from .. import defaults
from ..forwarding.request import READ_METHODS
from ..ids import Outcome
from ..process import log

if t.TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.types import ASGIApp, Message, Receive, Scope, Send

    from ..settings import TargetStandinSettings

_CONTROL_PATHS = frozenset(("/health", "/load", "/effects", "/faults", "/drain"))
_PIECE_BYTES = 64 * 1024
#: Service times are spread evenly around their mean by this share of it.
_SPREAD = 0.5
#: Overruns that are recorded.
_MAX_OVERRUNS = 8


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """What goes wrong; ``POST /faults`` replaces all of it."""

    health: t.Literal["ok", "fail", "hang"] = "ok"
    #: Whether the load that is reported is true, stands still, or is ``load_value``.
    load: t.Literal["true", "frozen", "wrong"] = "true"
    load_value: str = "0/1000"
    #: Seconds by which reported load lags behind.
    load_lag_s: float = 0.0
    #: Milliseconds that each request takes longer.
    slow_ms: float = 0.0
    #: What happens to work: ``close`` ends the connection before the request runs,
    #: ``close-after`` once it ran, ``break`` in the middle of the answer's body.
    work: t.Literal["ok", "close", "close-after", "break", "hang"] = "ok"
    #: How many requests ``work`` spoils; -1 for all.
    work_count: int = -1


class Effect(msgspec.Struct):
    """A command that began to run."""

    method: str
    path: str
    key: t.Optional[str]
    #: SHA-256 of the body in hexadecimal.
    digest: str
    length: int
    #: Whether it also ran to its end.
    done: bool = False


class InFlight(msgspec.Struct):
    """A request that the stand-in has in flight."""

    method: str
    path: str
    #: What the entry said of the slot that it was sent by, and of its lease, roster and loan.
    slot: str
    #: Wall times in seconds at which it came and by which it must be over.
    since: float
    until: float
    #: Whether the server knows that the connection has ended.
    disconnected: bool = False


class Overrun(msgspec.Struct):
    """A moment at which the stand-in had more requests in flight than its limit."""

    #: Wall time in seconds.
    at: float
    in_flight: t.List[InFlight]


class Effects(msgspec.Struct):
    """What the stand-in did so far."""

    effects: t.List[Effect]
    reads: int
    shed: int
    cancelled: int
    in_flight: int
    max_in_flight: int
    #: The first times that the limit was passed.
    overruns: t.List[Overrun] = []


class _EndConnectionError(Exception):
    """The fault asked for an end of the connection."""


class TargetStandin:
    """The stand-in's state and its ASGI application.

    :param settings: slots and times.
    :param seed: of the service times.
    """

    def __init__(self, settings: "TargetStandinSettings", seed: int = 0) -> None:
        self.settings = settings
        self.faults = Faults()
        self.leaving = False
        #: Bytes by which answers to commands are made longer.
        self.receipt_padding = 0
        self.state = Effects([], 0, 0, 0, 0, 0)
        self._random = random.Random(seed)
        self._started: t.Optional[float] = None
        self._loads: t.List[t.Tuple[float, str]] = [(0.0, f"0/{settings.slots}")]
        self._frozen = ""
        self._in_flight: "t.Set[_Work]" = set()
        self._control: "ASGIApp" = Starlette(
            routes=[
                Route("/health", self._get_health),
                Route("/load", self._get_load),
                Route("/effects", self._get_effects),
                Route("/faults", self._post_faults, methods=["POST"]),
                Route("/drain", self._post_drain, methods=["POST"]),
            ]
        )

    async def __call__(self, scope: "Scope", receive: "Receive", send: "Send") -> None:
        """Serve one request; the stand-in is an ASGI application.

        Work goes past Starlette, which wraps the server's objects that faults need.
        """
        if scope["type"] != "http":
            return
        if scope["path"] in _CONTROL_PATHS:
            await self._control(scope, receive, send)
        else:
            await self._work(scope, receive, send)

    async def _get_health(self, request: "Request") -> Response:
        if self.faults.health == "hang":
            await asyncio.Event().wait()
        status = 503 if self.faults.health == "fail" else 200
        return _json({"state": "leaving" if self.leaving else "active"}, status)

    async def _get_load(self, request: "Request") -> Response:
        return _json({"load": self._reported_load()})

    async def _get_effects(self, request: "Request") -> Response:
        return _json(self.state)

    async def _post_faults(self, request: "Request") -> Response:
        try:
            self.faults = msgspec.json.decode(await request.body(), type=Faults)
        except msgspec.ValidationError as error:
            return _json({"code": "faults", "message": str(error)}, 400)
        self._frozen = self._loads[-1][1]
        return _json(self.faults)

    async def _post_drain(self, request: "Request") -> Response:
        self.leaving = True
        return _json({"in_flight": self.state.in_flight})

    async def _work(self, scope: "Scope", receive: "Receive", send: "Send") -> None:
        work = _Work(scope, receive, send)
        fault = self._next_fault()
        try:
            await self._serve(work, fault)
        except _EndConnectionError:
            await _abort(receive, send)

    def _next_fault(self) -> str:
        if self.faults.work == "ok" or self.faults.work_count == 0:
            return "ok"
        if self.faults.work_count > 0:
            self.faults.work_count -= 1
        return self.faults.work

    async def _serve(self, work: "_Work", fault: str) -> None:
        if fault == "close":
            raise _EndConnectionError
        late = work.seconds_left() <= 0
        if late or self.leaving or self.state.in_flight >= self.settings.slots:
            self.state.shed += 1
            await work.answer(503, b"", self._reported_load(), Outcome.NOT_RUN)
            return
        self._in_flight.add(work)
        self._move(+1)
        try:
            await self._run(work, fault)
        finally:
            self._in_flight.remove(work)
            self._move(-1)

    async def _run(self, work: "_Work", fault: str) -> None:
        try:
            left = work.seconds_left()
            body = await asyncio.wait_for(work.read_body(), None if left == float("inf") else left)
        except asyncio.TimeoutError:
            await work.answer(503, b"", self._reported_load(), Outcome.NOT_RUN)
            raise _EndConnectionError from None
        if body is None:
            return
        if work.seconds_left() <= 0:
            await work.answer(503, b"", self._reported_load(), Outcome.NOT_RUN)
            return
        effect = self._begin(work, body)
        seconds = self.service_seconds() if fault != "hang" else float("inf")
        left = work.seconds_left()
        if not await work.spend(min(seconds, left)):
            self.state.cancelled += 1
            return
        if seconds > left or work.seconds_left() < 0:
            await work.answer(504, b"", self._reported_load(), Outcome.UNKNOWN)
            return
        if effect is not None:
            effect.done = True
        if fault == "close-after":
            raise _EndConnectionError
        answer = work.body() if effect is None else self._receipt(effect)
        await work.answer(200, answer, self._reported_load(), None, broken=fault == "break")

    def _begin(self, work: "_Work", body: t.Tuple[str, int]) -> t.Optional[Effect]:
        if work.method in READ_METHODS:
            self.state.reads += 1
            return None
        effect = Effect(work.method, work.path, work.header(b"idempotency-key"), *body)
        self.state.effects.append(effect)
        return effect

    def _receipt(self, effect: Effect) -> bytes:
        receipt = msgspec.json.encode({"sha256": effect.digest, "length": effect.length})
        return receipt + b" " * self.receipt_padding

    def service_seconds(self) -> float:
        """How long the next request takes; drawn anew each time."""
        now = asyncio.get_running_loop().time()
        if self._started is None:
            self._started = now
        mean = self.settings.service_ms
        if now - self._started < self.settings.cold_s:
            mean *= self.settings.cold_factor
        spread = 1 + _SPREAD * (2 * self._random.random() - 1)
        return (mean * spread + self.faults.slow_ms) / 1000

    def _move(self, step: int) -> None:
        state = self.state
        state.in_flight += step
        state.max_in_flight = max(state.max_in_flight, state.in_flight)
        if step > 0 and 0 < self.settings.limit < state.in_flight:
            self._record_overrun()
        now = asyncio.get_running_loop().time()
        self._loads.append((now, f"{state.in_flight}/{self.settings.slots}"))
        oldest = now - self.faults.load_lag_s
        while len(self._loads) > 1 and self._loads[1][0] <= oldest:
            del self._loads[0]

    def _record_overrun(self) -> None:
        overrun = Overrun(time.time(), [work.in_flight() for work in self._in_flight])
        if len(self.state.overruns) < _MAX_OVERRUNS:
            self.state.overruns.append(overrun)
        log.warning("target.overrun", limit=self.settings.limit, requests=overrun.in_flight)

    def _reported_load(self) -> str:
        if self.faults.load == "wrong":
            return self.faults.load_value
        if self.faults.load == "frozen":
            return self._frozen
        oldest = asyncio.get_running_loop().time() - self.faults.load_lag_s
        reported = self._loads[0][1]
        for at, load in self._loads:
            if at > oldest:
                break
            reported = load
        return reported


class _Work:
    """One request of work and its answer."""

    def __init__(self, scope: "Scope", receive: "Receive", send: "Send") -> None:
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self._headers: t.Dict[bytes, bytes] = dict(scope["headers"])
        self._query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        self._receive = receive
        self._send = send
        seconds = float("inf")
        deadline = self.header(defaults.HEADER_TARGET_DEADLINE.encode())
        if deadline is not None:
            seconds = float(deadline) / 1000
        ends_at = self.header(defaults.HEADER_TARGET_DEADLINE_AT.encode())
        if ends_at is not None:
            seconds = min(seconds, float(ends_at) / 1000 - time.time())
        self._deadline = asyncio.get_running_loop().time() + seconds
        self._since = time.time()

    def in_flight(self) -> InFlight:
        """What is known of it now."""
        cycle = getattr(self._send, "__self__", None)
        return InFlight(
            self.method,
            self.path,
            self.header(defaults.HEADER_TARGET_SLOT.encode()) or "",
            self._since,
            time.time() + self.seconds_left(),
            getattr(cycle, "disconnected", False),
        )

    def header(self, name: bytes) -> t.Optional[str]:
        value = self._headers.get(name)
        return value.decode() if value is not None else None

    def seconds_left(self) -> float:
        return self._deadline - asyncio.get_running_loop().time()

    async def read_body(self) -> t.Optional[t.Tuple[str, int]]:
        """Digest and length of the body, or ``None`` if the client left."""
        digest = hashlib.sha256()
        length = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                return None
            digest.update(message["body"])
            length += len(message["body"])
            if not message["more_body"]:
                return digest.hexdigest(), length

    async def spend(self, seconds: float) -> bool:
        """Take time; false if the client left meanwhile."""
        if seconds <= 0:
            return True
        leaving = asyncio.ensure_future(self._receive())
        timeout = None if seconds == float("inf") else seconds
        await asyncio.wait((leaving,), timeout=timeout)
        if leaving.done():
            return False
        leaving.cancel()
        return True

    def body(self) -> bytes:
        return pattern(self.path, int(self._query.get("bytes", "100")))

    async def answer(
        self,
        status: int,
        body: bytes,
        load: str,
        outcome: t.Optional[Outcome],
        broken: bool = False,
    ) -> None:
        headers = [(defaults.HEADER_TARGET_LOAD.encode(), load.encode())]
        if outcome is not None:
            headers.append((defaults.HEADER_TARGET_OUTCOME.encode(), outcome.value.encode()))
        if "chunked" not in self._query:
            headers.append((b"content-length", str(len(body)).encode()))
        await self._send({"type": "http.response.start", "status": status, "headers": headers})
        whole = len(body) // 2 if broken else len(body)
        for start in range(0, whole, _PIECE_BYTES):
            piece = body[start : min(start + _PIECE_BYTES, whole)]
            await self._send(_piece(piece, more_body=True))
        if broken:
            raise _EndConnectionError
        await self._send(_piece(b"", more_body=False))


def pattern(path: str, length: int) -> bytes:
    """The body of ``length`` bytes that a ``GET`` of ``path`` is answered with."""
    block = hashlib.sha256(path.encode()).hexdigest().encode()
    return (block * (length // len(block) + 1))[:length]


def _piece(body: bytes, more_body: bool) -> "Message":
    return {"type": "http.response.body", "body": body, "more_body": more_body}


def _json(value: t.Any, status: int = 200) -> Response:
    return Response(msgspec.json.encode(value), status, media_type="application/json")


async def _abort(receive: "Receive", send: "Send") -> None:
    """Close the connection under a request; ASGI has no word for it, uvicorn's object does."""
    cycle = getattr(send, "__self__", None)
    if cycle is None:
        raise RuntimeError("this server gives no way to close a connection within a request")
    cycle.transport.close()
    while (await receive())["type"] != "http.disconnect":
        continue
