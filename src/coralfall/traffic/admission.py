"""Admission: whether a target can still answer a request in time, and what the answer is worth.

After an outage all that callers have waited with arrives at once, more than the targets bear. To
take it in turn would make everything late for seconds. What can't be answered in time is refused
at once instead, and what is late already takes only room that nobody else needs.
"""

import typing as t

if t.TYPE_CHECKING:
    from ..ids import ServiceId
    from .model import Route, RouteId
    from .targets import TargetState

#: How far an estimate moves towards a longer and a shorter time limit.
_LIMIT_UP = 0.5
_LIMIT_DOWN = 0.01
#: The quantile of durations that counts as typical, and the part by which each one moves it.
_QUANTILE = 0.3
_STEP = 0.05
#: Weight of the newest duration in the mean of those that requests took by themselves.
_MEAN_STEP = 0.06
#: Multiple of the mean that must fit into the time left where a request has to queue.
_MARGIN = 1.5
#: Multiple of the typical duration after which an answer is overdue, and the least time for it.
_OVERDUE = 3.0
_OVERDUE_MIN_S = 0.3


class Admission:
    """Estimates of callers' time limits and of how long targets take."""

    def __init__(self) -> None:
        self._limit_by_route: t.Dict["RouteId", float] = {}
        self._typical_by_service: t.Dict["ServiceId", float] = {}
        self._mean_by_service: t.Dict["ServiceId", float] = {}

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

    def note_outcome(self, service: "ServiceId", seconds: float, crowding: float) -> None:
        """Take in how long a request took, or had taken when its time was over.

        :param crowding: see :meth:`crowding`; of the target when it was sent.
        """
        alone = seconds / crowding
        mean = self._mean_by_service.get(service, alone)
        self._mean_by_service[service] = mean + (alone - mean) * _MEAN_STEP

    @staticmethod
    def crowding(state: "TargetState") -> float:
        """By how much one more request takes longer at a target for those that it has in hand."""
        queued = max(0.0, state.load() + 1 - state.target.slots)
        return 1 + queued / state.target.slots

    def overdue_s(self, service: "ServiceId") -> float:
        """Seconds after which an answer should have come."""
        return max(_OVERDUE_MIN_S, _OVERDUE * self._typical_by_service.get(service, _OVERDUE_MIN_S))

    def predict(self, state: "TargetState") -> float:
        """Seconds that must be left for a target to take one more request.

        Where it would queue, the mean with a margin counts: whatever is not done in time is work
        that the target does in vain, while others wait for it. Where it would not, some time that
        was enough before is enough, so that there are always requests to learn from.
        """
        service = state.target.service
        crowding = self.crowding(state)
        if crowding == 1:
            return self._typical_by_service.get(service, 0.0)
        return _MARGIN * self._mean_by_service.get(service, 0.0) * crowding
