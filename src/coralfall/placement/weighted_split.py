"""Split: deals a route's requests to its backends in the proportions of their weights."""

import random
import typing as t

if t.TYPE_CHECKING:
    from ..ids import ServiceId
    from ..traffic.model import Backend, Route, RouteId

#: Fractional part of the golden ratio: its multiples fill the unit interval most evenly.
_STEP = 0.6180339887498949


class WeightedSplit:
    """Deals by a sequence of low discrepancy, so that few requests already keep the shares.

    Each entry starts somewhere else in it, so that entries do not deal in step.

    :param rng: where to start.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._place_by_route: t.Dict["RouteId", float] = {}

    def choose(self, route: "Route") -> "ServiceId":
        """The service of the route's next request."""
        backends = route.backends
        if len(backends) == 1:
            return backends[0].service
        place = self._place_by_route.get(route.route_id)
        if place is None:
            place = self._rng.random()
        place = (place + _STEP) % 1.0
        self._place_by_route[route.route_id] = place
        return _at(backends, place)


def _at(backends: "t.Sequence[Backend]", place: float) -> "ServiceId":
    left = place * sum(backend.weight for backend in backends)
    for backend in backends:
        left -= backend.weight
        if left < 0:
            return backend.service
    return backends[-1].service
