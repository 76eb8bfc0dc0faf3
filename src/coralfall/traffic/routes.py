"""Routes: finds the rules of a request by its host and the longest prefix of its path."""

import typing as t

from .model import Route

if t.TYPE_CHECKING:
    from .model import DesiredState


class RouteTable:
    """The routes of one desired state, ready to be searched.

    :param state: the desired state.
    """

    def __init__(self, state: "DesiredState") -> None:
        self.version = state.version
        self._by_host: t.Dict[str, t.List[Route]] = {}
        for route in state.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: str) -> t.Optional[Route]:
        """The route with the longest prefix that begins ``path``, or ``None``.

        :param host: value of the host header, with or without a port.
        """
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def of_host(self, host: str) -> t.Sequence[Route]:
        """All routes of a host."""
        return self._by_host.get(host.partition(":")[0].lower(), ())
