"""What tests of the request path share: servers on loopback and a steering of one line."""

import asyncio
import contextlib
import logging
import typing as t

from coralfall.balancing.steering import AttemptResult, Reservation, Steering
from coralfall.bundles import bundle
from coralfall.exceptions import RefusedError
from coralfall.forwarding.answer import Answer
from coralfall.forwarding.callers import CallersApp, LookupSource
from coralfall.forwarding.dispatch import Dispatcher
from coralfall.forwarding.observer import RequestObserver
from coralfall.forwarding.request import MemoryAccount
from coralfall.forwarding.upstream import Upstream
from coralfall.http.server import HttpServer
from coralfall.idempotency.claims import ClaimBook
from coralfall.ids import (
    BundleVersion,
    EntryId,
    Incarnation,
    Outcome,
    PartnerId,
    PolicyName,
    RegionId,
    ServiceId,
    TargetId,
)
from coralfall.placement.stop_admission import NO_LESS_TIME, StopAdmission
from coralfall.process.clock import Clock, SystemClock
from coralfall.process.shutdown import Shutdown
from coralfall.settings import TargetStandinSettings
from coralfall.standins.standin_target import TargetStandin
from coralfall.stores.memory_platform import Counters, MemoryTable

# Broken answers and ended tests are what these tests are about.
logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL + 1)
logging.getLogger("asyncio").setLevel(logging.ERROR)

PARTNER = PartnerId("calor")
SERVICE = ServiceId("mando")
KEYED = ServiceId("pedidos")


@contextlib.asynccontextmanager
async def serving(app: t.Any) -> t.AsyncIterator[str]:
    """Serve an ASGI application; gives its ``ip:port``."""
    server = HttpServer("test", app, "127.0.0.1:0")
    await server.start()
    running = asyncio.ensure_future(server.run())
    await asyncio.sleep(0)
    try:
        yield server.bound_address
    finally:
        running.cancel()
        await asyncio.wait((running,))


Handler = t.Callable[[asyncio.StreamReader, asyncio.StreamWriter], t.Awaitable[None]]


@contextlib.asynccontextmanager
async def raw_target(handler: Handler) -> t.AsyncIterator[str]:
    """Serve connections with ``handler``, for targets that break the rules of HTTP."""
    open_tasks: t.Set["asyncio.Task[t.Any]"] = set()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        open_tasks.add(task)
        try:
            await handler(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            open_tasks.discard(task)
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    try:
        yield "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for task in list(open_tasks):
            task.cancel()
        await asyncio.gather(*open_tasks, return_exceptions=True)


def service(**changes: t.Any) -> bundle.Service:
    """Rules of a service, with some of them changed."""
    rules: t.Dict[str, t.Any] = {
        "policy": PolicyName.LATENCY,
        "weights": {RegionId("centro"): 1.0},
        "shift_cap": 0.1,
        "shift_window_s": 60.0,
        "timeout_ms": 5000,
        "max_body_bytes": 64 * 1024 * 1024,
    }
    return bundle.Service(**{**rules, **changes})


def make_stop_admission(clock: Clock, grace_s: float = 30.0) -> StopAdmission:
    """Admission of a process that was not told to stop yet."""
    return StopAdmission(Shutdown(grace_s, clock), NO_LESS_TIME, clock)


class LineSteering(Steering):
    """Hands out targets in the order given, skipping tried ones, and keeps what it was told."""

    def __init__(self, addresses: t.Sequence[str], rules: bundle.Service) -> None:
        self.addresses = addresses
        self.rules_by_service = {SERVICE: rules, KEYED: service(key_required=True)}
        self.results: t.List[AttemptResult] = []
        self.loads: t.List[t.Optional[str]] = []
        self.in_use = 0
        self.lapsed = False
        #: Seconds until a slot is had.
        self.wait_s = 0.0
        #: Called while a slot is waited for.
        self.waiting: t.Callable[[], None] = lambda: None

    async def reserve(
        self,
        partner: PartnerId,
        service: ServiceId,
        *,
        tried: t.Collection[TargetId],
        deadline: float,
        body_bytes: int,
    ) -> Reservation:
        if self.wait_s:
            self.waiting()
            await asyncio.sleep(self.wait_s)
        for address in self.addresses:
            if address in tried:
                continue
            self.in_use += 1
            return Reservation(
                partner=partner,
                service=service,
                target_id=TargetId(address),
                region=RegionId("centro"),
                address=address,
                connections=100,
            )
        raise RefusedError("no slot is free", 0.25)

    def check(self, reservation: Reservation) -> None:
        if self.lapsed:
            raise RefusedError("the lease has lapsed", 2.0)

    def finish(
        self,
        reservation: Reservation,
        result: AttemptResult,
        seconds: float,
        load: t.Optional[str],
    ) -> None:
        self.results.append(result)
        self.loads.append(load)

    def release(self, reservation: Reservation) -> None:
        self.in_use -= 1

    def service(self, partner: PartnerId, service: ServiceId) -> t.Optional[bundle.Service]:
        return self.rules_by_service.get(service) if partner == PARTNER else None

    def version(self, partner: PartnerId) -> BundleVersion:
        return BundleVersion(7)


class CountedBudget:
    """A retry budget of so many retries."""

    def __init__(self, retries: int) -> None:
        self.retries = retries
        self.requests = 0

    def request(self) -> None:
        self.requests += 1

    def take(self) -> bool:
        self.retries -= 1
        return self.retries >= 0

    def take_hedge(self) -> bool:
        return self.take()


class FixedLookup(LookupSource):
    """Answers every look-up with its query and the caller's address."""

    def answer(self, query: bytes, peer: t.Optional[str] = None) -> Answer:
        return Answer(200, [], query + f" {peer}".encode(), Outcome.DONE)


class Observed(t.NamedTuple):
    """One request that an observer was told of."""

    service: ServiceId
    outcome: Outcome
    well: bool


class ListObserver(RequestObserver):
    """Keeps what it was told."""

    def __init__(self) -> None:
        self.seen: t.List[Observed] = []

    def ended(
        self,
        partner: PartnerId,
        service: ServiceId,
        rules: bundle.Service,
        outcome: Outcome,
        well: bool,
        seconds: float,
    ) -> None:
        self.seen.append(Observed(service, outcome, well))


class Entry(t.NamedTuple):
    """A request path over some targets."""

    address: str
    steering: LineSteering
    budget: CountedBudget
    table: MemoryTable
    memory: MemoryAccount
    observed: t.List[Observed]
    stop_admission: StopAdmission


@contextlib.asynccontextmanager
async def entry(
    addresses: t.Sequence[str],
    rules: t.Optional[bundle.Service] = None,
    retries: int = 2,
    clock: t.Optional[Clock] = None,
    grace_s: float = 30.0,
) -> t.AsyncIterator[Entry]:
    """Serve the callers' port over targets at ``addresses``, best first."""
    steering = LineSteering(addresses, rules or service())
    budget = CountedBudget(retries)
    clock = clock or SystemClock()
    stop_admission = make_stop_admission(clock, grace_s)
    upstream = Upstream(steering, stop_admission, clock)
    table = MemoryTable(clock, Counters())
    claims = ClaimBook(table, EntryId("entry"), Incarnation(1), clock)
    dispatcher = Dispatcher(steering, upstream, claims, lambda: budget, stop_admission, clock)
    running = asyncio.ensure_future(claims.run())
    try:
        observer = ListObserver()
        app = CallersApp(dispatcher, FixedLookup(), observer)
        async with serving(app) as address:
            yield Entry(address, steering, budget, table, app.memory, observer.seen, stop_admission)
    finally:
        running.cancel()
        await upstream.close()


def target_settings(**changes: t.Any) -> TargetStandinSettings:
    """Settings of a target stand-in, with some of them changed."""
    values: t.Dict[str, t.Any] = {"address": "127.0.0.1:0", "service_ms": 0.0, **changes}
    return TargetStandinSettings(**values)


@contextlib.asynccontextmanager
async def target(**settings: t.Any) -> t.AsyncIterator[t.Tuple[str, TargetStandin]]:
    """Serve a target stand-in."""
    standin = TargetStandin(target_settings(**settings))
    async with serving(standin) as address:
        yield address, standin
