"""Finds the route of a request by its host and the longest matching prefix of its path."""

import typing as t

from .model import Route

if t.TYPE_CHECKING:
    from .model import DesiredState


class _HostRoutes:
    """The routes of one host, in a hash table by prefix.

    A look-up probes the table once for each distinct length of a prefix, so its time does not
    depend on the number of routes.
    """

    def __init__(self) -> None:
        self.all_routes: t.List[Route] = []
        self._by_prefix: t.Dict[str, Route] = {}
        self._lengths: t.List[int] = []

    def add(self, route: Route) -> None:
        """Adds a route; of several with the same prefix, the first applies."""
        self.all_routes.append(route)
        self._by_prefix.setdefault(route.prefix, route)
        length = len(route.prefix)
        if length not in self._lengths:
            self._lengths.append(length)
            self._lengths.sort(reverse=True)

    def find(self, path: str) -> t.Optional[Route]:
        """Returns the route with the longest prefix of ``path``; ``None`` if there is none."""
        for length in self._lengths:
            route = self._by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


class RouteTable:
    """Index of the routes of one desired state.

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
        """Returns the host's route with the longest prefix of ``path``; ``None`` if there is none.

        :param host: value of the ``Host`` header, with or without a port.
        """
        name = host.partition(":")[0].lower()
        routes = self._by_host.get(name)
        return routes.find(path) if routes is not None else None

    def for_host(self, host: str) -> t.Sequence[Route]:
        """Returns all routes of a host."""
        routes = self._by_host.get(host.partition(":")[0].lower())
        return routes.all_routes if routes is not None else ()
