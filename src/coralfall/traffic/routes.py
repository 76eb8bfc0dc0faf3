"""Routes: finds the rules of a request by its host and the longest prefix of its path."""

import typing as t

from .model import Route

if t.TYPE_CHECKING:
    from .model import DesiredState


class _HostRoutes:
    """The routes of one host, by prefix; a look tries each length that a prefix has once.

    So a look takes as long with many routes as with few.
    """

    def __init__(self) -> None:
        self.all: t.List[Route] = []
        self._by_prefix: t.Dict[str, Route] = {}
        self._lengths: t.List[int] = []

    def add(self, route: Route) -> None:
        """Take in a route; of two with one prefix the first counts."""
        self.all.append(route)
        self._by_prefix.setdefault(route.prefix, route)
        length = len(route.prefix)
        if length not in self._lengths:
            self._lengths.append(length)
            self._lengths.sort(reverse=True)

    def find(self, path: str) -> t.Optional[Route]:
        """The route with the longest prefix that begins ``path``."""
        for length in self._lengths:
            route = self._by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


class RouteTable:
    """The routes of one desired state, ready to be searched.

    :param state: the desired state.
    """

    def __init__(self, state: "DesiredState") -> None:
        self.version = state.version
        self._by_host: t.Dict[str, _HostRoutes] = {}
        for route in state.routes:
            name = route.host.lower()
            if name not in self._by_host:
                self._by_host[name] = _HostRoutes()
            self._by_host[name].add(route)

    def find(self, host: str, path: str) -> t.Optional[Route]:
        """The route with the longest prefix that begins ``path``, or ``None``.

        :param host: value of the host header, with or without a port.
        """
        name = host.partition(":")[0].lower()
        routes = self._by_host.get(name)
        return routes.find(path) if routes is not None else None

    def for_host(self, host: str) -> t.Sequence[Route]:
        """All routes of a host."""
        routes = self._by_host.get(host.partition(":")[0].lower())
        return routes.all if routes is not None else ()
