"""Weighted split: distributes the requests of a route over its backends by their weights."""

import random
import typing as t

if t.TYPE_CHECKING:
    from ..ids import ServiceId
    from ..traffic.model import Backend, Route, RouteId

#: Fractional part of the golden ratio, whose multiples fill the unit interval most evenly.
_GOLDEN_STEP = 0.6180339887498949


class WeightedSplit:
    """Selects backends by a low-discrepancy sequence, so that even few requests match the weights.

    Each entry starts at a random point of the sequence, so that entries do not select in step.

    :param rng: draws the starting points.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._position_by_route: t.Dict["RouteId", float] = {}

    def choose(self, route: "Route") -> "ServiceId":
        """Service of the next request of a route."""
        backends = route.backends
        if len(backends) == 1:
            return backends[0].service
        position = self._position_by_route.get(route.route_id)
        if position is None:
            position = self._rng.random()
        position = (position + _GOLDEN_STEP) % 1.0
        self._position_by_route[route.route_id] = position
        return _backend_at(backends, position)


def _backend_at(backends: "t.Sequence[Backend]", position: float) -> "ServiceId":
    remaining = position * sum(backend.weight for backend in backends)
    for backend in backends:
        remaining -= backend.weight
        if remaining < 0:
            return backend.service
    return backends[-1].service
