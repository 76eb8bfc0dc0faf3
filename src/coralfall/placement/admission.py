"""Admission control: estimates whether a target can still answer a request before its deadline.

After an outage, callers send all delayed requests at once, which is more than the targets can
serve. Serving them in order of arrival would make all requests late for seconds. Requests that
can't be answered in time are rejected immediately instead, and those that are late already may
only use capacity that no other request needs. Latencies are estimated by online quantile tracking.
"""

import collections
import statistics
import typing as t

from .. import defaults

if t.TYPE_CHECKING:
    from ..ids import ServiceId
    from ..traffic.model import Route, RouteId
    from .dispatch import RouteCode
    from .targets import TargetState

#: Weights by which the estimate of a time limit moves towards a longer and a shorter one.
_LIMIT_RISE_WEIGHT = 0.5
_LIMIT_FALL_WEIGHT = 0.01
#: Quantile of durations that counts as typical, and the fraction by which one duration moves it.
_QUANTILE = 0.3
_QUANTILE_STEP = 0.05
#: Quantile for requests whose object the target did not have cached.
_UNCACHED_QUANTILE = 0.5
#: Latest requests of a kind whose median is its typical work: the few requests that take many times
#: as long don't move it, and a wrong start is forgotten within as many requests.
_WORK_SAMPLES = 15
#: Part of the latest requests for cached objects that is quicker than the time that shows caching,
#: and that time as a multiple of the work of uncached ones.
_QUICK_PART = 0.2
_QUICK_UP_TO = 0.65
#: An answer is overdue after these multiples of the typical and of the expected duration, whichever
#: is longer, and never before the minimum. A target that loads an object while it has a queue is
#: slow but responsive: skipping it would make a third target load the object, too.
_OVERDUE_TYPICAL_MULTIPLE = 3.0
_OVERDUE_EXPECTED_MULTIPLE = 2.0
_OVERDUE_MIN_S = 0.3

#: Service, route and whether the object is cached.
WorkKind = t.Tuple["ServiceId", "RouteCode", bool]

#: Seconds before the retry of a request that a target with free slots rejected: such a rejection
#: does not depend on load, so the next attempt may well meet the latency target.
_RETRY_WITH_FREE_SLOTS_S = 0.02


class Admission:
    """Estimates the time limits of callers and the latencies of targets."""

    def __init__(self) -> None:
        self._limit_by_route: t.Dict["RouteId", float] = {}
        self._typical_by_service: t.Dict["ServiceId", float] = {}
        self._uncached_by_service: t.Dict["ServiceId", float] = {}
        self._work_by_kind: t.Dict[WorkKind, float] = {}
        self._work_samples: t.Dict[WorkKind, t.Deque[float]] = {}

    def record_arrival(self, route: "Route", left_s: float) -> None:
        """Records how long a caller will wait.

        On its first attempt that is the caller's whole time limit.
        """
        limit = self._limit_by_route.get(route.route_id, left_s)
        step = _LIMIT_RISE_WEIGHT if left_s > limit else _LIMIT_FALL_WEIGHT
        self._limit_by_route[route.route_id] = limit + (left_s - limit) * step

    def is_late(self, route: "Route", left_s: float) -> bool:
        """Whether a caller has waited for longer than the latency target of its route."""
        return self.waited_s(route, left_s) > route.latency_target_s

    def waited_s(self, route: "Route", left_s: float) -> float:
        """Estimated seconds that a caller had waited before it sent this request."""
        return self._limit_by_route.get(route.route_id, left_s) - left_s

    def record_duration(self, service: "ServiceId", seconds: float, known: bool = True) -> None:
        """Records how long a target took to answer.

        :param known: whether the target had the object cached.
        """
        _update_quantile(self._typical_by_service, service, seconds, _QUANTILE)
        if not known:
            _update_quantile(self._uncached_by_service, service, seconds, _UNCACHED_QUANTILE)

    def record_work(
        self, service: "ServiceId", route_code: "RouteCode", cached: bool, seconds: float
    ) -> None:
        """Records the time of one request at usual pace, without the time in a queue."""
        kind = (service, route_code, cached)
        samples = self._work_samples.get(kind)
        if samples is None:
            samples = self._work_samples[kind] = collections.deque(maxlen=_WORK_SAMPLES)
        samples.append(seconds)
        self._work_by_kind[kind] = statistics.median(samples)

    def work_s(self, service: "ServiceId", route_code: "RouteCode", cached: bool) -> float:
        """Typical seconds of work of a request; 0 if nothing is known of its route.

        Routes of one service differ by orders of magnitude, so no other route stands in for it.
        """
        work_s = self._work_by_kind.get((service, route_code, cached))
        if work_s is None:
            work_s = self._work_by_kind.get((service, route_code, not cached), 0.0)
        return work_s

    def has_work_samples(self, service: "ServiceId", route_code: "RouteCode", cached: bool) -> bool:
        """Whether the work of just this kind of request has been measured."""
        return (service, route_code, cached) in self._work_samples

    def uncached_work_s(self, service: "ServiceId", route_code: "RouteCode") -> t.Optional[float]:
        """Measured seconds of work of a request for an uncached object, if there are samples."""
        return self._work_by_kind.get((service, route_code, False))

    def is_caching_visible(self, service: "ServiceId", route_code: "RouteCode") -> bool:
        """Whether requests for cached objects are known to take less than those for uncached ones.

        They do not seem to at a new dispatcher, which takes all objects that targets have cached
        for uncached ones at first. A low quantile is compared, as most requests for objects that
        are taken for cached are slow while the size of caches is overestimated.
        """
        cached = self._work_samples.get((service, route_code, True))
        uncached_s = self.uncached_work_s(service, route_code)
        if not cached or uncached_s is None:
            return False
        return sorted(cached)[int(len(cached) * _QUICK_PART)] < _QUICK_UP_TO * uncached_s

    def overdue_after_s(self, state: "TargetState", known: bool, expected_s: float = 0.0) -> float:
        """Seconds after which the answer to a request that is sent now counts as overdue.

        :param expected_s: predicted duration of the request, if a dispatcher has predicted it.
        """
        typical = self._typical_by_service.get(state.target.service, _OVERDUE_MIN_S)
        expected = max(expected_s, self.predict_latency_s(state, known))
        return max(
            _OVERDUE_MIN_S,
            _OVERDUE_TYPICAL_MULTIPLE * typical,
            _OVERDUE_EXPECTED_MULTIPLE * expected,
        )

    def predict_latency_s(self, state: "TargetState", known: bool = True) -> float:
        """Seconds that a target would take for one more request, including queueing."""
        typical = self._typical_by_service.get(state.target.service, 0.0)
        work = typical
        if not known:
            work = max(typical, self._uncached_by_service.get(state.target.service, 0.0))
        return work + typical * _queue_length(state) / state.target.slots

    def retry_after_s(self, state: "TargetState") -> float:
        """Seconds after which a caller may retry a request that a target rejected."""
        return _RETRY_WITH_FREE_SLOTS_S if state.has_room() else defaults.STEER_RETRY_AFTER_S

    def queue_drain_s(self, state: "TargetState") -> float:
        """Seconds until the queue of a target is empty if no more requests arrive."""
        typical = self._typical_by_service.get(state.target.service, 0.0)
        return typical * _queue_length(state) / state.target.slots


def _queue_length(state: "TargetState") -> float:
    """Number of requests that would be queued at a target after one more."""
    return max(0.0, state.load() + 1 - state.target.slots)


def _update_quantile(
    estimates: t.Dict["ServiceId", float], service: "ServiceId", seconds: float, quantile: float
) -> None:
    """Moves the quantile estimate of a service towards a duration."""
    estimate = estimates.get(service)
    if estimate is None:
        estimates[service] = seconds
        return
    weight = quantile if seconds > estimate else quantile - 1
    estimates[service] = estimate * (1 + _QUANTILE_STEP * weight)
