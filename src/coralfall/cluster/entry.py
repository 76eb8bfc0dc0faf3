"""The process of an entry VM: builds its parts and runs them as one supervisor tree.

An :class:`Entry` adds servers, streams to peers, connections to targets and the order of
starting and stopping to a :class:`coralfall.cluster.node.Node`, which knows and decides.
"""

import asyncio
import pathlib
import random
import typing as t

from .. import defaults
from ..bundles.trust import trust_of
from ..forwarding.bounded_response import BoundedConnector
from ..forwarding.callers import CallersApp
from ..forwarding.dispatch import Dispatcher
from ..forwarding.retry import RetryBudget
from ..forwarding.stop_log import StopLog
from ..forwarding.target_check import TargetChecks
from ..forwarding.upstream import Upstream
from ..http.server import HttpServer
from ..idempotency.claims import ClaimBook
from ..ids import Digest, Era, Incarnation, Outcome, RegionId, ServiceId
from ..lookups.lookup_http import LookupHttp
from ..peering.channel import Traffic
from ..peering.fleetkey import load_fleet_key
from ..peering.messages import Hello
from ..peering.peer_directory import PeerDirectory
from ..peering.peer_server import PeerServer
from ..peering.peers import PeerNetwork
from ..placement.stop_admission import NO_LESS_TIME, StopAdmission
from ..process import log, loop
from ..process.child import Child, FunctionChild, PeriodicChild
from ..process.clock import Clock, SystemClock
from ..process.metrics import Metrics
from ..process.pauses import PauseWatch
from ..process.shutdown import Shutdown
from ..process.supervisor import Supervisor, supervise
from ..reporting.operators import make_operators_app
from ..reporting.service_levels import ServiceLevels
from ..reporting.status import EntryStatus
from ..reporting.status_builder import StatusBuilder
from ..settings import EntrySettings
from ..stores.http_platform import HttpPlatform
from ..stores.store import Platform
from .control import Leave, Presence
from .conversation import Loans
from .gauges import GAUGES_S, Gauges
from .membership import MembershipState
from .node import Node, NodeCallbacks
from .rows import Member

#: Seconds between two looks at limits, ramps and loans.
STEERING_S = 0.25
#: What callers are told with a request that no part of the entry but the HTTP server has seen.
REFUSAL_HEADERS = ((defaults.HEADER_OUTCOME.encode(), Outcome.NOT_RUN.value.encode()),)


class Entry:
    """All parts of one entry.

    :param settings: the entry's settings.
    :param platform: the platform, whatever implements it.
    :param clock: the VM's clocks.
    :param rng: the source of choices that may differ between entries.
    """

    def __init__(
        self, settings: EntrySettings, platform: Platform, clock: Clock, rng: random.Random
    ) -> None:
        self.settings = settings
        self._platform = platform
        self._clock = clock
        self._incarnation = Incarnation(int(clock.wall() * 1000))
        trust = trust_of(settings.partners)
        self.metrics = Metrics(settings.metrics)
        #: When the process ends once it was told to stop.
        self.shutdown = Shutdown(settings.grace_s, clock, settle_s=defaults.CLAIM_FLUSH_TIMEOUT_S)
        stop_admission = StopAdmission(self.shutdown, NO_LESS_TIME, clock)
        self.node = Node(
            settings,
            platform,
            clock,
            rng,
            NodeCallbacks(
                make_member=self._make_member,
                peer_fetch=self._fetch_from_peers,
                start_loan_request=self._ask_loan,
                announce=self._announce,
                roster_changed=self._pace_claims,
                era_began=self._note_era,
            ),
        )
        node = self.node
        self.claims = ClaimBook(
            platform.table,
            settings.entry_id,
            self._incarnation,
            clock,
            settings.claims,
            rng,
            self.metrics,
        )
        self._make_peers(rng)
        self.upstream = Upstream(node.steering, stop_admission, clock)
        self.target_checks = TargetChecks(node.steering, clock)
        dispatcher = Dispatcher(
            node.steering, self.upstream, self.claims, RetryBudget, stop_admission, clock
        )
        self.levels = ServiceLevels(clock, self.metrics)
        self._status_builder = StatusBuilder(
            settings.entry_id, self._incarnation, clock, node, self.directory, self.levels
        )
        self.gauges = Gauges(self.metrics, node, self.upstream)
        self.stop_log = StopLog(self.shutdown, self.metrics, clock)
        callers = CallersApp(dispatcher, LookupHttp(node.lookup), self.levels, self.stop_log)
        operators = make_operators_app(self.status, self.ready, trust, settings.entry_id)
        self.callers_server = HttpServer(
            "callers",
            callers,
            settings.caller_address,
            refusal_headers=REFUSAL_HEADERS,
            metrics=self.metrics,
        )
        self.operators_server = HttpServer("operators", operators, settings.operator_address)
        self.root = self._make_tree(rng)

    def status(self) -> EntryStatus:
        """What the operators' interface shows."""
        return self._status_builder.build(self.ready())

    def ready(self) -> bool:
        """Whether callers may be sent here: bundles in force, and not about to leave."""
        node = self.node
        if node.membership.state in (MembershipState.LEAVING, MembershipState.LEFT):
            return False
        return any(rollout.effective() is not None for rollout in node.rollouts.values())

    def _make_tree(self, rng: random.Random) -> Supervisor:
        node = self.node
        children: t.List[Child] = [
            PauseWatch(self._clock),
            FunctionChild("connections", self._keep_connections),
            self.operators_server,
            self.peer_server,
            Leave(node.membership),
            node.control,
            FunctionChild("follow", node.control.follow_news),
            self.network,
            self.claims,
            PeriodicChild(
                "coordinator",
                node.coordinator.tick,
                self.settings.lease.poll_s,
                rng,
                self.metrics,
            ),
            PeriodicChild("gauges", self.gauges.set_all, GAUGES_S, rng, self.metrics),
            PeriodicChild("steering", self._refresh_steering, STEERING_S, rng, self.metrics),
            self.callers_server,
            Presence(
                node.control,
                node.membership,
                self.settings,
                self.shutdown,
                self.callers_server.close_connections_after_answers,
            ),
        ]
        return Supervisor(
            "entry",
            children,
            self._clock,
            rng,
            shutdown=self.shutdown,
            server=self.callers_server,
        )

    async def _keep_connections(self) -> None:
        try:
            await asyncio.Event().wait()
        finally:
            await self.loans.close()
            await self.target_checks.close()
            await self.upstream.close()

    async def _refresh_steering(self) -> None:
        node = self.node
        node.steering.refresh()
        for _ in node.slots.update_steps():
            await asyncio.sleep(0)
        self.target_checks.start_due()
        self.loans.give_back_due()
        node.steering.wake_all_waiters()

    def _pace_claims(self) -> None:
        self.claims.pace(max(1, len(self.node.roster.by_id)))

    def _note_era(self, era: Era) -> None:
        self.claims.note_era(era)

    def _make_peers(self, rng: random.Random) -> None:
        settings = self.settings
        clock = self._clock
        handler = self.node.conversation
        fleet_key = load_fleet_key(pathlib.Path(settings.peers.fleet_key_file))
        hello = Hello(entry_id=settings.entry_id, incarnation=self._incarnation)
        self.directory = PeerDirectory(clock)
        self.traffic = Traffic()
        self.peer_server = PeerServer(
            settings.peer_address,
            fleet_key,
            hello,
            handler,
            self.directory,
            self.traffic,
            self.metrics,
        )
        self.network = PeerNetwork(
            settings,
            fleet_key,
            hello,
            handler,
            self.directory,
            clock,
            rng,
            self.traffic,
            self.metrics,
        )
        node = self.node
        self.loans = Loans(node.borrower, node.lender, self.network, node.steering)
        node.conversation.loans = self.loans

    async def _fetch_from_peers(self, digest: Digest) -> bytes:
        return await self.network.fetch_object(digest)

    def _ask_loan(
        self, service: ServiceId, count: int, regions: t.Sequence[RegionId], waiting: bool
    ) -> None:
        self.loans.ask(service, count, regions, waiting)

    def _announce(self) -> None:
        self.network.announce()

    def _make_member(self) -> Member:
        settings = self.settings
        return Member(
            entry_id=settings.entry_id,
            vm_id=settings.vm_id,
            incarnation=self._incarnation,
            region=settings.region,
            zone=settings.zone,
            site=settings.site,
            caller_address=self.callers_server.bound_address,
            peer_address=self.peer_server.bound_address,
            operator_address=self.operators_server.bound_address,
        )


def run_entry(settings: EntrySettings) -> int:
    """Run an entry until told to stop; the process's exit status."""
    log.configure(settings.log)
    return loop.run(_run(settings))


async def _run(settings: EntrySettings) -> int:
    clock = SystemClock()
    platform = HttpPlatform(settings.platform, clock, connector_type=BoundedConnector)
    try:
        entry = Entry(settings, platform.platform, clock, random.Random())
        log.info("entry.starting", entry=settings.entry_id, vm=settings.vm_id)
        status = await supervise(entry.root, shutdown=entry.shutdown)
        log.info(
            "entry.stopped",
            status=status,
            age_ms=round(entry.shutdown.age_s() * 1000),
            refused=entry.stop_log.refused_count,
            cut_off=entry.stop_log.cut_off_count,
        )
        return status
    finally:
        await platform.close()
