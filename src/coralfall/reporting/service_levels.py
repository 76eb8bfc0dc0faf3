"""Service levels: counts what became of each request, by partner and service."""

import typing as t

from ..forwarding.observer import RequestObserver
from ..ids import Outcome, PartnerId, ServiceId
from ..process.clock import Clock
from ..process.metrics import Metrics
from .burn import BurnRecorder, BurnReport

if t.TYPE_CHECKING:
    from ..bundles.bundle import Bundle, Service

#: Metrics of callers' requests; the second is followed by the outcome.
TIMING_METRIC = "requests.{partner}.{service}.latency"
COUNT_METRIC = "requests.{partner}.{service}."
#: In place of the outcome, a request that was the caller's own fault.
FAULTY = "faulty"


class ServiceLevels(RequestObserver):
    """Service levels of all services as this entry served them, since it started.

    A request burns the error budget if its caller got no whole answer below status 500, was
    told ``unknown``, was refused for want of room, or got its answer later than the objective
    allows. A request that was refused for a fault of its caller counts as faulty and as
    nothing else: bad requests must neither spend the budget nor make it look fuller.

    :param clock: the VM's clocks.
    :param metrics: get one count for each request and one timing for each answer.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._level_by_service: t.Dict[t.Tuple[PartnerId, ServiceId], _Level] = {}

    def ended(
        self,
        partner: PartnerId,
        service: ServiceId,
        rules: "Service",
        outcome: Outcome,
        well: bool,
        seconds: float,
    ) -> None:
        level = self._level_by_service.get((partner, service))
        if level is None:
            level = self._add(partner, service)
        if outcome is Outcome.NOT_RUN and well:
            level.faulty += 1
            self._metrics.count(level.faulty_metric)
            return
        level.count_by_outcome[outcome] += 1
        self._metrics.count(level.metric_by_outcome[outcome])
        if outcome is Outcome.NOT_RUN:
            level.recorder.record(False, None, rules.objective)
            return
        level.recorder.record(well and outcome is Outcome.DONE, seconds, rules.objective)
        self._metrics.timing(level.timing_metric, seconds)

    def reports(
        self, bundles: "t.Mapping[PartnerId, Bundle]"
    ) -> t.Dict[PartnerId, t.Dict[ServiceId, BurnReport]]:
        """Burn of each service in force, measured by its objective now.

        :param bundles: those that are served under, by partner.
        """
        reports: t.Dict[PartnerId, t.Dict[ServiceId, BurnReport]] = {}
        for partner, bundle in bundles.items():
            by_service = reports.setdefault(partner, {})
            for service, rules in bundle.services.items():
                level = self._level_by_service.get((partner, service))
                if level is None:
                    level = self._add(partner, service)
                by_service[service] = level.recorder.report(
                    rules.objective, level.outcomes(), level.faulty
                )
        return reports

    def outcomes(self) -> t.Dict[str, int]:
        """Requests of all services by outcome, those that were the callers' fault apart."""
        totals = {outcome.value: 0 for outcome in Outcome}
        totals[FAULTY] = 0
        for level in self._level_by_service.values():
            totals[FAULTY] += level.faulty
            for outcome, count in level.outcomes().items():
                totals[outcome] += count
        return totals

    def _add(self, partner: PartnerId, service: ServiceId) -> "_Level":
        level = _Level(partner, service, BurnRecorder(self._clock))
        self._level_by_service[partner, service] = level
        return level


class _Level:
    """Counts of one service, and the names of its metrics."""

    __slots__ = (
        "count_by_outcome",
        "faulty",
        "faulty_metric",
        "metric_by_outcome",
        "recorder",
        "timing_metric",
    )

    def __init__(self, partner: PartnerId, service: ServiceId, recorder: BurnRecorder) -> None:
        self.recorder = recorder
        self.faulty = 0
        self.count_by_outcome = dict.fromkeys(Outcome, 0)
        prefix = COUNT_METRIC.format(partner=partner, service=service)
        self.metric_by_outcome = {outcome: prefix + outcome.value for outcome in Outcome}
        self.faulty_metric = prefix + FAULTY
        self.timing_metric = TIMING_METRIC.format(partner=partner, service=service)

    def outcomes(self) -> t.Dict[str, int]:
        return {outcome.value: count for outcome, count in self.count_by_outcome.items()}
