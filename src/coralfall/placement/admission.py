"""Admission: whether a target can still answer a request in time, and what the answer is worth.

After an outage all that callers have waited with arrives at once, more than the targets bear. To
take it in turn would make everything late for seconds. What can't be answered in time is refused
at once instead, and what is late already takes only room that nobody else needs.
"""

import typing as t

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
#: Multiple of the typical duration after which an answer is overdue, and the least time for it.
_OVERDUE = 3.0
_OVERDUE_MIN_S = 0.3


class Admission:
    """Estimates of callers' time limits and of how long targets take."""

    def __init__(self) -> None:
        self._limit_by_route: t.Dict["RouteId", float] = {}
        self._typical_by_service: t.Dict["ServiceId", float] = {}

    def note_arrival(self, route: "Route", left_s: float) -> None:
        """Take in how long a caller will wait; on its first attempt that is its whole limit."""
        limit = self._limit_by_route.get(route.route_id, left_s)
        step = _LIMIT_UP if left_s > limit else _LIMIT_DOWN
        self._limit_by_route[route.route_id] = limit + (left_s - limit) * step

    def is_late(self, route: "Route", left_s: float) -> bool:
        """Whether a caller has waited for longer than the answer is worth most."""
        limit = self._limit_by_route.get(route.route_id, left_s)
        return limit - left_s > route.latency_target_s

    def note_duration(self, service: "ServiceId", seconds: float) -> None:
        """Take in how long a target took to answer."""
        typical = self._typical_by_service.get(service)
        if typical is None:
            self._typical_by_service[service] = seconds
            return
        weight = _QUANTILE if seconds > typical else _QUANTILE - 1
        self._typical_by_service[service] = typical * (1 + _STEP * weight)

    def overdue_s(self, service: "ServiceId") -> float:
        """Seconds after which an answer should have come."""
        return max(_OVERDUE_MIN_S, _OVERDUE * self._typical_by_service.get(service, _OVERDUE_MIN_S))

    def predict(self, state: "TargetState") -> float:
        """Seconds that a target would take with one more request, queueing included."""
        typical = self._typical_by_service.get(state.target.service, 0.0)
        queued = max(0.0, state.load() + 1 - state.target.slots)
        return typical * (1 + queued / state.target.slots)
