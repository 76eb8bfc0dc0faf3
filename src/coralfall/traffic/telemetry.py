"""Telemetry: an entry's counters, histograms and gauges, in the Prometheus text format.

They are kept and rendered by prometheus_client. Every alarm that docs/OPERATIONS.md names uses a
metric that is defined here.
"""

import typing as t

import prometheus_client

from ..placement.fleet_share import ShareState
from ..process import log

if t.TYPE_CHECKING:
    from starlette.types import Receive, Scope, Send

    from ..ids import ServiceId
    from .node import Node
    from .pool import ConnectResult
    from .reply import Reply
    from .steered_request import SteeredRequest

#: Upper bounds of the histograms' buckets, in seconds.
_REQUEST_BUCKETS = (0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 3.0, 6.0, 10.0)
_ASK_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.6)
_DELAY_BUCKETS = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 3.0)
#: Most tenants that get a label of their own, and the label that all others share: a scraper keeps
#: one time series for each label.
_MAX_TENANT_LABELS = 100
_OTHER_TENANTS = "others"
_CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")


class Telemetry:
    """Counters and histograms of an entry; ids of requests are in the logs alone."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._requests = self._counter(
            "requests", "Requests of callers that ended.", ("service", "status", "reason")
        )
        self._seconds = prometheus_client.Histogram(
            "coralfall_request_seconds",
            "Time from a request's head to its reply.",
            ("service",),
            buckets=_REQUEST_BUCKETS,
            registry=self.registry,
        )
        self._tenants = self._counter(
            "tenant_requests", "Requests of tenants that ended.", ("tenant", "status")
        )
        self._tenant_labels: t.Set[str] = set()
        self._sends = self._counter("sends", "Sends to targets.", ("service", "result"))
        self._second_sends = self._counter(
            "second_sends", "Sends of a request beyond its first.", ("service",)
        )
        self._retries = self._counter(
            "retries", "Decisions on sending a request once more.", ("service", "verdict")
        )
        self._limited_sends = self._counter(
            "limited_sends", "Sends to targets that had named a limit.", ("service",)
        )
        self._dispatch_answers = self._counter(
            "dispatch_answers", "Answers of dispatchers.", ("service", "verdict")
        )
        self._crashes = self._counter(
            "target_crashes", "Targets that went down under requests of this entry.", ("service",)
        )
        self._connects = self._counter(
            "connects", "Attempts to connect to targets.", ("service", "result")
        )
        self._lookups = self._counter("lookups", "Look-ups of callers.", ("result",))
        self._loop_delay = prometheus_client.Histogram(
            "coralfall_loop_delay_seconds",
            "How late the loop came back to a timer.",
            buckets=_DELAY_BUCKETS,
            registry=self.registry,
        )
        self._ask_seconds = prometheus_client.Histogram(
            "coralfall_dispatch_ask_seconds",
            "Time from an ask for a slot to its answer, or to giving up.",
            buckets=_ASK_BUCKETS,
            registry=self.registry,
        )
        self._gauges: t.Dict[str, prometheus_client.Gauge] = {}

    def count_request(
        self,
        request: "SteeredRequest",
        reply: "t.Optional[Reply]",
        seconds: float,
        no_reply: str = "caller-gone",
    ) -> None:
        """Counts a request that ended.

        :param no_reply: reason for which there is no reply, if there is none.
        """
        service = request.service
        status = str(reply.status) if reply is not None else "0"
        reason = reply.reason if reply is not None else no_reply
        self._requests.labels(service, status, reason).inc()
        self._seconds.labels(service).observe(seconds)
        if request.tenant is not None:
            self._tenants.labels(self._tenant_label(request.tenant.tenant_id), status).inc()
        for send in request.attempts:
            self._sends.labels(service, send.result).inc()
            if send.sent and send.limit_per_s is not None:
                self._limited_sends.labels(service).inc()
        for ask in request.asks:
            self._dispatch_answers.labels(service, ask.verdict).inc()
        for verdict in request.retry_verdicts:
            self._retries.labels(service, verdict.value).inc()
        if request.sent_count() > 1:
            self._second_sends.labels(service).inc(request.sent_count() - 1)

    def _tenant_label(self, tenant_id: str) -> str:
        """Returns the label of a tenant; all but the first tenants to send requests share one."""
        if tenant_id not in self._tenant_labels:
            if len(self._tenant_labels) >= _MAX_TENANT_LABELS:
                return _OTHER_TENANTS
            self._tenant_labels.add(tenant_id)
        return tenant_id

    def count_rejected(self, reply: "t.Optional[Reply]", no_reply: str = "caller-gone") -> None:
        """Counts a request that was rejected before it had a route.

        :param no_reply: reason for which there is no reply, if there is none.
        """
        status = str(reply.status) if reply is not None else "0"
        reason = reply.reason if reply is not None else no_reply
        self._requests.labels("none", status, reason).inc()

    def count_crash(self, service: "ServiceId") -> None:
        """Counts a target that crashed while it ran requests of this entry."""
        self._crashes.labels(service).inc()

    def count_connect(self, service: "ServiceId", result: "ConnectResult") -> None:
        """Counts an attempt to connect to a target."""
        self._connects.labels(service, result.value).inc()

    def count_lookup(self, found: bool) -> None:
        """Counts a look-up.

        :param found: whether any entry could be named.
        """
        self._lookups.labels("answered" if found else "refused").inc()

    def observe_ask(self, seconds: float) -> None:
        """Records how long an ask for a slot of a target took."""
        self._ask_seconds.observe(seconds)

    def observe_loop_delay(self, seconds: float) -> None:
        """Records by how many seconds the event loop served a timer late."""
        self._loop_delay.observe(seconds)

    def set_gauge(self, name: str, value: float, help_text: str, **labels: str) -> None:
        """Sets a gauge, which is created on first use.

        :param labels: names and values of its labels.
        """
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = self._gauges[name] = prometheus_client.Gauge(
                f"coralfall_{name}", help_text, tuple(labels), registry=self.registry
            )
        (gauge.labels(**labels) if labels else gauge).set(value)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def _counter(
        self, name: str, help_text: str, labels: t.Tuple[str, ...]
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f"coralfall_{name}", help_text, labels, registry=self.registry
        )


class MetricsApp:
    """ASGI application that serves the metrics.

    :param telemetry: the metrics.
    :param node: source of the gauges, which are updated before each answer.
    """

    def __init__(self, telemetry: Telemetry, node: "Node") -> None:
        self._telemetry = telemetry
        self._node = node

    async def __call__(self, scope: "Scope", receive: "Receive", send: "Send") -> None:
        update_gauges(self._telemetry, self._node)
        body = self._telemetry.render()
        headers = [_CONTENT_TYPE, (b"content-length", str(len(body)).encode())]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": body})


def update_gauges(telemetry: Telemetry, node: "Node") -> None:
    """Sets each gauge to its current value."""
    state_view = node.state_view
    gauge = telemetry.set_gauge
    gauge("ready", float(node.ready), "Whether callers are sent here.")
    gauge("state_version", state_view.version, "Version of the desired state in force.")
    gauge("state_age_seconds", state_view.state_age_s(), "Age of the desired state.")
    gauge("targets_age_seconds", state_view.targets_age_s(), "Age of what is known of the targets.")
    gauge("peers_alive", len(node.members.alive_records()), "Other entries that are alive.")
    gauge("peers_suspected", node.members.suspected_count(), "Those that gave no answer lately.")
    gauge("requests_in_hand", node.callers.in_flight, "Requests being served.")
    share = node.retry_share
    has_share = share.state is ShareState.VALID
    gauge("retry_share_valid", float(has_share), "Whether it shares the retry budget's number.")
    gauge("retry_share_entries", share.entry_count, "Entries that divide that number.")
    for service_id, tokens in node.budget.available_by_service().items():
        gauge("retry_tokens", tokens, "Retries that it may send now.", service=service_id)
    held = node.callers.answer_memory.held
    gauge("answer_bytes_held", held, "Bytes of answers that callers have not taken.")
    gauge("connections_opened", node.pool.opened_count, "Connections opened to targets.")
    reachability = node.transit.reachability
    unreached = len(reachability.unreached_services())
    gauge("services_unreached", unreached, "Services of which no target can be connected.")
    cut_off = len(reachability.cut_off_services())
    gauge("services_cut_off", cut_off, "Those of which other entries reach targets.")
    gauge("transits_sent", node.transit.client.load, "Requests that other entries carry.")
    gauge("transits_carried", node.transit_server.load, "Requests carried for other entries.")
    quarantined = node.quarantine.refused_count()
    gauge("requests_quarantined", quarantined, "Requests that are sent to no target.")
    limited = len(node.steering.limits.in_force())
    gauge("targets_limited", limited, "Targets that name a limit for all entries together.")
    reports = node.targets.reports
    for name, count in state_view.carried_count_by_rows().items():
        gauge("rows_carried", count, "Rows in force that the store has lost.", rows=name)
    for service, count in reports.departures.detected_by_service.items():
        gauge("target_departures", count, "Targets that said so as they left.", service=service)
    for service, count in reports.cooldowns.started_by_service.items():
        gauge("target_cooldowns", count, "Cooldowns that targets began.", service=service)
    silent = node.dispatch.client.silent_count()
    gauge("dispatchers_silent", silent, "Dispatchers that are not asked as they did not answer.")
    ledger = node.dispatch.ledger
    gauge("dispatch_targets", ledger.target_count(), "Targets whose slots this entry assigns.")
    gauge("dispatch_assigned", ledger.assigned, "Assignments of slots in force here.")
    gauge("dispatch_queued", ledger.queued, "Asks that wait here for a slot.")
    gauge("dispatch_expired", ledger.expired_count, "Assignments that expired without a release.")
    for service, fraction in node.steering.rankings.region_load.fractions_by_service().items():
        text = "Fraction of its objects that the region keeps, for contended services."
        gauge("local_fraction", fraction, text, service=service)
    unread = len(node.forwarder.report_reader.unread_headers)
    gauge("unread_headers", unread, "Names of headers of answers that no module reads.")
    gauge("log_lines_dropped", log.dropped_lines(), "Log lines that were not written.")
    for state, count in node.targets.count_by_state().items():
        gauge("targets", count, "Targets by state.", state=state)
    for follower in node.followers:
        rows = follower.name
        gauge("store_reads", follower.reads, "Reads of the store.", rows=rows)
        gauge("store_reads_failed", follower.failed_reads, "Those without an answer.", rows=rows)
        era, revision = follower.store_position
        gauge("store_era", era, "Era of the store's last answer.", rows=rows)
        gauge("store_revision", revision, "Its revision in that answer.", rows=rows)
