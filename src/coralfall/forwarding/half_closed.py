"""Connections to targets whose requests were given up: kept half-closed until the target ends them.

An entry that resets a connection never learns when the target has noticed: a target that is paused
or overloaded goes on counting the request. So the entry sends its end of the stream and waits for
the target's. A server reads that end as a cancellation, or answers first; in either case it closes
the connection when it no longer serves the request.

A target may also vanish without a word, so that the connection times out. What it ran then is over
once its process is seen to be alive, or gone, after the request's deadline: it closes a further
connection, or refuses it.
"""

import asyncio
import typing as t

from .. import defaults
from ..process import log
from ..process.sockets import detect_dead_peer
from .target_check import is_serving_or_gone


class HalfClosedConnections:
    """Half-closed connections to all targets; create it while the loop runs."""

    def __init__(self) -> None:
        self._open_by_address: t.Dict[str, t.Set[_HalfClosed]] = {}
        self._checks: t.Set["asyncio.Task[None]"] = set()

    def add(self, transport: asyncio.Transport, address: str, waiting: "Waiting") -> None:
        """Sends the end of the stream, and tells ``waiting`` when the target has ended its own.

        :param transport: of an open connection whose protocol is no longer used.
        :param address: of the target.
        """
        connection = _HalfClosed(self, transport, address, waiting)
        self._open_by_address.setdefault(address, set()).add(connection)
        transport.set_protocol(connection)
        # The protocol before may have stopped reading in the middle of a body.
        if not transport.is_reading():
            transport.resume_reading()
        transport.write_eof()

    def count(self, address: str) -> int:
        """Returns the number of connections to an address."""
        return len(self._open_by_address.get(address, ()))

    @property
    def waiting_count(self) -> int:
        """Returns the number of requests that a target has not been seen to end."""
        open_count = sum(len(connections) for connections in self._open_by_address.values())
        return open_count + len(self._checks)

    async def close(self) -> None:
        """Ends all connections; nobody is told."""
        for connections in list(self._open_by_address.values()):
            for connection in connections:
                connection.transport.abort()
        self._open_by_address.clear()
        checks = list(self._checks)
        for check in checks:
            check.cancel()
        await asyncio.gather(*checks, return_exceptions=True)

    def lost(self, connection: "_HalfClosed", error: t.Optional[Exception]) -> None:
        """Takes in that a connection is over.

        :param error: ``None`` if the target closed it.
        """
        connections = self._open_by_address.get(connection.address)
        if connections is None or connection not in connections:
            return
        connections.remove(connection)
        if not connections:
            del self._open_by_address[connection.address]
        if error is None or isinstance(error, ConnectionError):
            connection.waiting.ended()
            return
        log.info("target.vanished", address=connection.address, error=error)
        check = asyncio.get_running_loop().create_task(self._check(connection))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check(self, connection: "_HalfClosed") -> None:
        # The target may not have heard of the end of the stream, and then stops at the deadline.
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, connection.waiting.deadline - now))
        while connection.waiting.is_wanted():
            await asyncio.sleep(defaults.VANISHED_TARGET_CHECK_S)
            if await is_serving_or_gone(connection.address):
                break
        connection.waiting.ended()


class Waiting(t.Protocol):
    """Waits until a target has ended a connection."""

    #: Time of the loop at which the target stops to serve the request of its own accord.
    deadline: float

    def ended(self) -> None:
        """Takes in that the target no longer serves the request, or that nobody wants to know."""

    def is_wanted(self) -> bool:
        """Returns whether the target may still be used."""


class _HalfClosed(asyncio.Protocol):
    """Reads and drops what the target sends, until its end of the stream."""

    def __init__(
        self,
        owner: HalfClosedConnections,
        transport: asyncio.Transport,
        address: str,
        waiting: Waiting,
    ) -> None:
        self._owner = owner
        self.transport = transport
        self.address = address
        self.waiting = waiting
        self._detector = detect_dead_peer(transport)

    def connection_lost(self, exc: t.Optional[Exception]) -> None:
        if exc is None and self._detector.has_ended_it:
            exc = TimeoutError("the target acknowledges nothing")
        self._owner.lost(self, exc)
