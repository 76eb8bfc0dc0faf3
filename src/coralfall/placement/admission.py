"""Admission: whether a target can still answer a request in time, and what the answer is worth.

After an outage all that callers have waited with arrives at once, more than the targets bear. To
take it in turn would make everything late for seconds. What can't be answered in time is refused
at once instead, and what is late already takes only room that nobody else needs.
"""

import typing as t

from .. import defaults

if t.TYPE_CHECKING:
    from ..ids import ServiceId
    from ..traffic.model import Route, RouteId
    from .targets import TargetState

#: How far an estimate moves towards a longer and a shorter time limit.
_LIMIT_UP = 0.5
_LIMIT_DOWN = 0.01
#: The quantile of durations that counts as typical, and the part by which each one moves it.
_QUANTILE = 0.3
_STEP = 0.05
#: The same for durations with objects that a target has to learn.
_LEARNING_QUANTILE = 0.5
#: Multiples of the typical and of the expected duration after which an answer is overdue, and the
#: least time for it. A target that learns behind a queue is slow and not silent: to pass over it
#: makes a third one learn the object, too.
_OVERDUE = 3.0
_OVERDUE_EXPECTED = 2.0
_OVERDUE_MIN_S = 0.3


#: Seconds after which a caller may come back whom a target turned away that has free slots: it does
#: so whatever its load, and the next try may well be served within the aim.
_NO_SHORTAGE_S = 0.02


class Admission:
    """Estimates of callers' time limits and of how long targets take."""

    def __init__(self) -> None:
        self._limit_by_route: t.Dict["RouteId", float] = {}
        self._typical_by_service: t.Dict["ServiceId", float] = {}
        self._learning_by_service: t.Dict["ServiceId", float] = {}

    def record_arrival(self, route: "Route", left_s: float) -> None:
        """Take in how long a caller will wait; on its first attempt that is its whole limit."""
        limit = self._limit_by_route.get(route.route_id, left_s)
        step = _LIMIT_UP if left_s > limit else _LIMIT_DOWN
        self._limit_by_route[route.route_id] = limit + (left_s - limit) * step

    def is_late(self, route: "Route", left_s: float) -> bool:
        """Whether a caller has waited for longer than the answer is worth most."""
        limit = self._limit_by_route.get(route.route_id, left_s)
        return limit - left_s > route.latency_target_s

    def record_duration(self, service: "ServiceId", seconds: float, known: bool = True) -> None:
        """Take in how long a target took to answer.

        :param known: whether it knew the object.
        """
        _follow(self._typical_by_service, service, seconds, _QUANTILE)
        if not known:
            _follow(self._learning_by_service, service, seconds, _LEARNING_QUANTILE)

    def overdue_after_s(self, state: "TargetState", known: bool) -> float:
        """Seconds after which the answer of a target that gets a request now should have come."""
        typical = self._typical_by_service.get(state.target.service, _OVERDUE_MIN_S)
        expected = self.predict_latency_s(state, known)
        return max(_OVERDUE_MIN_S, _OVERDUE * typical, _OVERDUE_EXPECTED * expected)

    def predict_latency_s(self, state: "TargetState", known: bool = True) -> float:
        """Seconds that a target would take with one more request, queueing included."""
        typical = self._typical_by_service.get(state.target.service, 0.0)
        work = typical
        if not known:
            work = max(typical, self._learning_by_service.get(state.target.service, 0.0))
        return work + typical * _queued(state) / state.target.slots

    def retry_after_s(self, state: "TargetState") -> float:
        """Seconds after which a caller may come back whom a target turned away."""
        return _NO_SHORTAGE_S if state.has_room() else defaults.STEER_RETRY_AFTER_S

    def queue_drain_s(self, state: "TargetState") -> float:
        """Seconds until a target has worked off its queue, if no more comes."""
        typical = self._typical_by_service.get(state.target.service, 0.0)
        return typical * _queued(state) / state.target.slots


def _queued(state: "TargetState") -> float:
    """How many requests would wait at a target that gets one more."""
    return max(0.0, state.load() + 1 - state.target.slots)


def _follow(
    estimates: t.Dict["ServiceId", float], service: "ServiceId", seconds: float, quantile: float
) -> None:
    """Move a service's estimate of a quantile towards a duration."""
    estimate = estimates.get(service)
    if estimate is None:
        estimates[service] = seconds
        return
    weight = quantile if seconds > estimate else quantile - 1
    estimates[service] = estimate * (1 + _STEP * weight)
