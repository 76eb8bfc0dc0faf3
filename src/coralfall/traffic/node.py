"""Node: builds the parts of an entry that steers by a desired state, and their supervisor tree."""

import asyncio
import random
import typing as t

from .. import defaults
from ..http.server import HttpServer
from ..ids import EntryState, Incarnation
from ..peering.peer_links import PeerLinks
from ..placement.affinity import AffinitySteering
from ..placement.buckets import TokenBuckets
from ..placement.contention import Contention
from ..placement.fleet_share import FleetShare
from ..placement.quarantine import Quarantine, crash_digest
from ..placement.retry_budget import SharedRetryBudget
from ..placement.stop_admission import AcceptTimes, StopAdmission
from ..placement.targets import TargetRegistry
from ..process import log
from ..process.child import PERIODIC_JITTER, Child, FunctionChild, PeriodicChild
from ..process.metrics import Metrics
from ..process.shutdown import Shutdown
from ..process.supervisor import Supervisor
from ..settings import HttpSettings
from .callers import CallersApp
from .crash_detector import Crash, CrashDetector
from .dispatch_parts import build_dispatch
from .fleet_access import fleet_access
from .follower import Follower
from .forwarder import Forwarder
from .gossip import Gossip, GossipServer
from .gossip_exchange import GossipExchange
from .lookup import Lookup
from .members import Members
from .model import DesiredState, EntryRecord
from .permits import Permits
from .poll_intervals import PollIntervals, poll_intervals_for
from .pool import ConnectAttempt, ConnectionPool
from .quotas import Quotas
from .receive_budget import ReceiveBudget
from .registry import Registry
from .start_gate import StartGate
from .state_view import StateView
from .target_permits import TargetPermits
from .telemetry import MetricsApp, Telemetry
from .tenants import TenantAuthenticator
from .transit_parts import TransitParts

if t.TYPE_CHECKING:
    from ..http.server import Application
    from ..ids import Position
    from ..process.clock import Clock
    from ..stores.store import Feed, Table
    from .row_codec import RowCodec
    from .settings import BoundSettings, SteerSettings
    from .wire import HeaderNames

#: Seconds between two runs of periodic clean-up.
_TICK_S = 0.2
#: Ages at which the entries' rows are read; gossip alone carries them to the other entries.
_ENTRIES_PACE = PollIntervals(interval_s=2.0, stale_s=3.0, rank_s=0.5, max_rank_s=1.0)
#: First pause after a failed read of these rows, in seconds.
_ENTRIES_BACKOFF_S = 2.0
#: Seconds for which the rows are not read at a start, as registering reads them.
_REGISTRATION_WAIT_S = 5.0
#: Seconds between two looks at which entries have rows.
_SHARE_S = 1.0
#: Bounds of the servers on which no requests of callers come.
_CHECKS_HTTP = HttpSettings(idle_stop_s=defaults.SHUTDOWN_IDLE_CHECKS_TIMEOUT_S)
#: Seconds for which an idle connection of a caller is kept beyond the limit of the desired state.
_IDLE_MARGIN_S = 5.0


class Store(t.NamedTuple):
    """The platform's store: a feed to read rows, and a table to write them."""

    feed: "Feed"
    table: "Table"


class Node:
    """All parts of one entry.

    :param settings: the entry's settings.
    :param names: header names.
    :param row_codec: encodes and decodes the platform's rows.
    :param store: the platform's store.
    :param clock: the VM's clocks.
    :param rng: randomness for jitter and for the choice of peers.
    """

    def __init__(
        self,
        settings: "SteerSettings",
        names: "HeaderNames",
        row_codec: "RowCodec",
        store: Store,
        clock: "Clock",
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self._row_codec = row_codec
        self._store = store
        self.clock = clock
        self._rng = rng
        #: When the process ends once it was told to stop.
        self.shutdown = Shutdown(settings.bounds.grace_s, clock)
        self.stop_admission = StopAdmission(self.shutdown, accept_times_of(settings), clock)
        self.telemetry = Telemetry()
        self.metrics = Metrics(settings.metrics)
        self.targets = TargetRegistry(clock, settings.bounds.target_visibility_s())
        self.contention = Contention(settings.dispatch, clock)
        self.targets.reports.on_pace = self.contention.record_pace
        self.steering = AffinitySteering(settings, self.targets, clock)
        self.state_view = StateView(
            row_codec, self.steering, self.targets, clock, rng, settings.bounds
        )
        self.members = Members(_own_record(settings, clock), clock, rng)
        self._start_gate = StartGate(self.state_view, self.members, clock)
        self.retry_share = FleetShare(settings.entry_id, settings.bounds, clock)
        self.budget = SharedRetryBudget(settings.bounds, self.retry_share, clock)
        self.pool = ConnectionPool(clock, ReceiveBudget(settings.max_received_bytes()))
        self.targets.on_restart = self.pool.discard_connections
        self.crash_detector = CrashDetector(self.targets, self.pool, clock)
        self.crash_detector.on_crash = self._note_crash
        self.pool.connect_listeners.append(self._count_connect_attempt)
        self.quarantine = Quarantine(settings.quarantine_s, clock)
        self._access = fleet_access(settings, self.members.own_record)
        self._build_permits()
        self.transit = TransitParts(
            self.targets,
            self.pool,
            self.members,
            self._access,
            clock,
            rng,
        )
        self.dispatch = build_dispatch(
            self.members,
            self.targets,
            self.steering,
            self.contention,
            self._make_dispatch_links,
            self.telemetry,
            clock,
        )
        self.forwarder = Forwarder(
            names,
            self.dispatch.selector,
            self.steering,
            self.targets,
            self.transit.connections,
            self.budget,
            self.crash_detector,
            self.quarantine,
            self.target_permits,
            self.stop_admission,
            clock,
        )
        self.transit_server = self.transit.build_server(
            names, self.forwarder.response_check, self.crash_detector, self.stop_admission
        )
        self.tenant_authenticator = TenantAuthenticator(names, self.state_view, settings.bounds)
        self.lookup = Lookup(settings, self.members, self.state_view)
        self.registry = Registry(store.feed, store.table, row_codec, self.members, clock, rng)
        self.registry.on_read = self.state_view.apply_entry_snapshot
        self.quarantine.runs_trial = lambda suspect: self.members.is_responsible_for(str(suspect))
        self._build_peers()
        self.callers = CallersApp(
            names,
            self.state_view,
            self.tenant_authenticator,
            self.quotas,
            self.forwarder,
            self.telemetry,
            self.contention,
            self.stop_admission,
            clock,
        )
        self._tick_due_at = clock.monotonic() + _TICK_S
        self.followers = self._build_followers()
        self.state_view.on_state = self._apply_limits
        self.state_view.on_update = self.update_readiness

    def build_supervisor(self, lookup: "Application", readiness: "Application") -> Supervisor:
        """Returns the supervisor of all parts, in the order in which they start.

        :param lookup: application that answers the platform's look-ups.
        :param readiness: application that answers the platform's readiness checks.
        """
        settings = self.settings
        self._callers_server = HttpServer(
            "callers",
            self.callers,
            settings.caller_address,
            self._http_settings(),
            metrics=self.metrics,
        )
        children: t.List[Child] = [
            FunctionChild("pool", self._close_pool_on_stop),
            self._peer_server,
            self.gossip,
            self.permits,
            self.dispatch.server,
            self.dispatch.client,
            self.transit.checks,
            self.transit.client,
            self.transit_server,
            FunctionChild("register", self.registry.register, temporary=True),
            HttpServer("readiness", readiness, settings.readiness_address, _CHECKS_HTTP),
            HttpServer("lookup", lookup, settings.lookup_address, _CHECKS_HTTP),
            self._callers_server,
            FunctionChild("registry", self.registry.run),
            PeriodicChild("tick", self._tick, _TICK_S, self._rng, self.metrics),
            PeriodicChild("share", self._update_share, _SHARE_S, self._rng, self.metrics),
            ReadinessGate(self),
        ]
        if settings.metrics_address is not None:
            metrics = MetricsApp(self.telemetry, self)
            server = HttpServer("metrics", metrics, settings.metrics_address, _CHECKS_HTTP)
            children.insert(0, server)
        for follower in self.followers:
            children.insert(3, FunctionChild("follower", follower.run))
        return Supervisor("entry", children, self.clock, self._rng, shutdown=self.shutdown)

    @property
    def ready(self) -> bool:
        """Whether callers may be sent to this entry."""
        return self.members.own_record.ready and self.members.own_record.state is EntryState.SERVING

    def apply_settings(self, settings: "SteerSettings") -> None:
        """Applies settings of which only reloadable ones differ; see :mod:`.settings_reloader`."""
        self.settings = settings
        log.set_level(settings.log)
        self.shutdown.set_grace(settings.bounds.grace_s)
        self.stop_admission.accept_times = accept_times_of(settings)
        self.steering.settings = settings
        self.contention.settings = settings.dispatch
        self.budget.set_bounds(settings.bounds)
        self.retry_share.bounds = settings.bounds
        self.state_view.set_bounds(settings.bounds)
        self.tenant_authenticator.bounds = settings.bounds
        self.quotas.bounds = settings.bounds
        self.quotas.contended = settings.dispatch.is_installation_contended()
        self.quarantine.set_retention(settings.quarantine_s)
        self.lookup.set_bounds(settings.bounds)
        self.gossip.seeds = settings.seeds
        for follower, pace in zip(self.followers, _paces(settings.bounds), strict=False):
            follower.pace = pace

    async def drain(self) -> None:
        """Announces that this entry leaves, and goes on serving while callers still arrive."""
        self.members.update_own(leaving=True)
        self.dispatch.server.close()
        self._callers_server.close_connections_after_answers()
        log.info("entry.leaving", in_hand=self.callers.in_flight)
        self.callers.requests.end_at_stop()
        unregister = asyncio.create_task(self.registry.unregister())
        await asyncio.sleep(self.settings.bounds.shutdown_accept_s())
        unregister.cancel()

    def shutdown_fields(self) -> t.Dict[str, int]:
        """Returns the log fields that tell how the entry stopped."""
        return {
            "age_ms": round(self.shutdown.age_s() * 1000),
            "refused": self.callers.refused_at_stop,
            "cut_off": self.callers.cut_off_at_stop,
        }

    async def _tick(self) -> None:
        now = self.clock.monotonic()
        self.telemetry.observe_loop_delay(max(0.0, now - self._tick_due_at))
        self._tick_due_at = now + _TICK_S * (1 + PERIODIC_JITTER)
        self.state_view.tick()
        self.update_readiness()
        self.pool.close_expired()
        self.crash_detector.drop_expired()
        self.quarantine.expire()
        self.quotas.drop_expired()
        self.targets.reports.tick(self.targets.by_id)
        if self.members.has_discovered_peers:
            self.steering.cold_shares.set_entries(self.members.known_ids())

    async def _update_share(self) -> None:
        state_view = self.state_view
        registered_ids = state_view.registered_ids()
        self.retry_share.update(registered_ids, state_view.entries_age_s())
        era = state_view.entry_rows.position.era
        await self.registry.restore_row(registered_ids, era, state_view.era_age_s())

    def _count_connect_attempt(self, attempt: ConnectAttempt) -> None:
        self.telemetry.count_connect(attempt.target.service, attempt.result)

    def _note_crash(self, crash: Crash) -> None:
        target = crash.target
        self.telemetry.count_crash(target.service)
        requests = [(request.fingerprint, request.caller) for request in crash.requests]
        self.quarantine.record_crash(crash_digest(target.target_id, target.born), requests)

    def update_readiness(self) -> None:
        """Announces this entry as ready once it has its state and the callers' port is open."""
        if not self._callers_server.bound_address or not self._start_gate.is_open():
            return
        if not self.members.update_own(ready=True):
            return
        log.info("entry.ready", version=self.state_view.version, targets=len(self.targets.by_id))

    def _apply_limits(self, state: DesiredState) -> None:
        limits = state.limits
        self._callers_server.set_settings(
            self._http_settings(
                header_timeout_s=limits.header_timeout_s,
                max_header_bytes=limits.max_header_bytes,
                idle_timeout_s=limits.idle_timeout_s + _IDLE_MARGIN_S,
            )
        )

    def _http_settings(self, **limits: t.Any) -> HttpSettings:
        limit = self.settings.max_caller_connections()
        return HttpSettings(max_connections=limit, max_idle_connections=limit, **limits)

    def _build_permits(self) -> None:
        settings = self.settings
        links = PeerLinks(*self._access)
        self.permits = Permits(self.members, links, TokenBuckets(self.clock), self.clock)
        self.quotas = Quotas(self.permits, self.state_view, settings.bounds, self.clock)
        self.quotas.contended = settings.dispatch.is_installation_contended()
        self.target_permits = TargetPermits(
            self.permits, self.steering.limits, self.targets, settings, self.clock
        )
        self.permits.sources += [self.quotas, self.target_permits]

    def _make_dispatch_links(self) -> PeerLinks:
        return PeerLinks(*self._access, defaults.MAX_DISPATCH_LINKS)

    def _build_peers(self) -> None:
        settings = self.settings
        self.exchange = GossipExchange(
            self.members, self.state_view, self.quarantine, self.targets.reports, self.clock
        )
        links = PeerLinks(*self._access)
        self.gossip = Gossip(
            self.exchange, self.members, links, settings.seeds, self.clock, self._rng
        )
        self._peer_server = GossipServer(
            settings.peer_address,
            self._access,
            self.exchange,
            self.gossip.relay,
            self.gossip.pull,
            self.permits,
            self.dispatch.server,
            self.dispatch.client,
            self.transit.checks,
            self.transit_server,
            self.metrics,
        )

    def _build_followers(self) -> t.List[Follower]:
        state_view = self.state_view

        def push_state(since: "Position") -> None:
            self.gossip.push(since, state_view.target_rows.position)

        def push_targets(since: "Position") -> None:
            self.gossip.push(state_view.state_rows.position, since)

        shared = (self._store.feed, self.members, self.clock, state_view.store_clock, self._rng)
        initial_wait_s = self.settings.first_start_wait_s()
        state_pace, targets_pace = _paces(self.settings.bounds)
        return [
            Follower(
                self._row_codec.state_prefix,
                state_view.state_rows,
                *shared,
                pace=state_pace,
                long_poll=True,
                before_apply=lambda age_s: None,
                on_changed=state_view.apply_state_changes,
                push_since=push_state,
                initial_wait_s=initial_wait_s,
            ),
            Follower(
                self._row_codec.target_prefix,
                state_view.target_rows,
                *shared,
                pace=targets_pace,
                long_poll=False,
                before_apply=state_view.note_outage,
                on_changed=state_view.apply_target_changes,
                push_since=push_targets,
                initial_wait_s=initial_wait_s,
            ),
            Follower(
                self._row_codec.entry_prefix,
                state_view.entry_rows,
                *shared,
                pace=_ENTRIES_PACE,
                long_poll=False,
                before_apply=lambda age_s: None,
                on_changed=lambda keys: None,
                push_since=lambda since: None,
                initial_wait_s=_REGISTRATION_WAIT_S,
                min_backoff_s=_ENTRIES_BACKOFF_S,
            ),
        ]

    async def _close_pool_on_stop(self) -> None:
        try:
            await asyncio.Event().wait()
        finally:
            self.crash_detector.close()
            self.pool.close()


class ReadinessGate(Child):
    """Announces readiness after all parts have started, and drains before any of them stops.

    It is the last child of the supervisor, so it is started last and stopped first.
    """

    name = "presence"

    def __init__(self, node: Node) -> None:
        self._node = node

    async def start(self) -> None:
        self._node.update_readiness()

    async def run(self) -> None:
        await asyncio.Event().wait()

    async def stop(self) -> None:
        await self._node.drain()


def _paces(bounds: "BoundSettings") -> t.Tuple[PollIntervals, PollIntervals]:
    """Returns the paces of reading the operators' rows and the targets' rows."""
    return poll_intervals_for(bounds.state_deadline_s()), poll_intervals_for(bounds.drain_s)


def accept_times_of(settings: "SteerSettings") -> AcceptTimes:
    """Returns for how long callers may come who were told of this entry before it stopped.

    Some keep a look-up for longer than they may, and are waited for with what may be repeated.
    """
    bounds = settings.bounds
    return AcceptTimes(once_s=bounds.lookup_ttl_s(), repeatable_s=bounds.shutdown_accept_s())


def _own_record(settings: "SteerSettings", clock: "Clock") -> EntryRecord:
    return EntryRecord(
        entry_id=settings.entry_id,
        incarnation=Incarnation(int(clock.wall() * 1000)),
        region=settings.region,
        zone=settings.zone,
        caller_address=settings.caller_address,
        peer_address=settings.announced_peer_address or settings.peer_address,
        link_mbps=settings.link_mbps,
        transit=True,
    )
