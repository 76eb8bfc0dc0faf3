"""Connections to targets: kept ones for requests that may run twice, new ones for all others."""

import asyncio
import errno
import typing as t

from .. import defaults
from ..exceptions import TargetNotRunError
from .connection import ServerConnection, connect

if t.TYPE_CHECKING:
    from ..process.clock import Clock
    from .model import Target

#: Largest answer of a target that is passed on, in bytes.
_MAX_ANSWER_BYTES = 64 * 1024 * 1024
_MAX_IDLE = 8
#: Seconds that opening a connection takes from which on it is opened ahead: a trip to another
#: region, which a request that may run once would wait for twice.
_DISTANT_S = 0.005
#: Seconds for which one that was opened ahead is used, well below the time after which targets
#: close idle connections, and how many there are at the most.
_AHEAD_S = 2.5
_MAX_AHEAD = 128
#: Reason of a send that this entry could open no connection for.
NO_SOCKETS = "no-files"
_OWN_SHORTAGES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL))


class ConnectAttempt(t.NamedTuple):
    """What a try to open a connection says of its address."""

    address: str
    #: When it began.
    started_at: float
    #: Whether anything listens there.
    is_listening: bool


class ConnectionPool:
    """Opens connections to targets and keeps some of them for a while.

    A connection that carried a request is used again for requests that may run twice alone: its
    target may close it just then. One that was opened ahead and carried none is as good as new.

    :param clock: tells how long a connection was idle, and goes on while the VM is suspended:
        targets close what is idle meanwhile.
    """

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        self._idle: t.Dict[str, t.List[ServerConnection]] = {}
        #: Connections to distant targets that were opened ahead, by address.
        self._ahead: t.Dict[str, ServerConnection] = {}
        self._opening: t.Dict[str, "asyncio.Task[None]"] = {}
        self._asked_at: t.Dict[str, float] = {}
        #: Connections opened so far, and those of them that were opened ahead.
        self.opened_count = 0
        self.preconnected_count = 0
        #: Called when a connection was opened or refused.
        self.on_connect_attempt: t.Callable[[ConnectAttempt], None] = lambda opening: None

    async def acquire(self, target: "Target", kept: bool, seconds: float) -> ServerConnection:
        """A connection to a target.

        :param kept: whether one that was used before will do.
        :param seconds: how long opening one may take.
        :raises TargetNotRunError: if none can be had.
        """
        if kept:
            connection = self._take_idle(target.address)
            if connection is not None:
                return connection
            return await self._open(target.address, seconds)
        ahead = self._ahead.pop(target.address, None)
        if ahead is not None and self._is_fresh(ahead):
            self._open_ahead(target)
            return ahead
        began = self._clock.monotonic()
        connection = await self._open(target.address, seconds)
        if self._clock.monotonic() - began >= _DISTANT_S:
            self._open_ahead(target)
        return connection

    async def _open(self, address: str, seconds: float) -> ServerConnection:
        self.opened_count += 1
        began = self._clock.monotonic()
        try:
            connection = await connect(address, seconds, _MAX_ANSWER_BYTES)
        except (OSError, asyncio.TimeoutError) as error:
            if isinstance(error, OSError) and error.errno in _OWN_SHORTAGES:
                # The target has no part in it.
                message = f"this entry can open no more connections: {error}"
                raise TargetNotRunError(message, reason=NO_SOCKETS) from error
            message = f"target can't be connected: {error or type(error).__name__}"
            refused = isinstance(error, ConnectionRefusedError)
            if refused:
                self.on_connect_attempt(ConnectAttempt(address, began, False))
            raise TargetNotRunError(message, reason="connect", refused=refused) from error
        connection.last_used_at = self._clock.monotonic()
        self.on_connect_attempt(ConnectAttempt(address, began, True))
        return connection

    async def probe(self, target: "Target", seconds: float) -> None:
        """Open a new connection to a target and close it, to see whether it listens.

        :raises TargetNotRunError: if none can be had.
        """
        connection = await self._open(target.address, seconds)
        connection.abort()

    def _open_ahead(self, target: "Target") -> None:
        """Open the connection of the next request, if one is likely before it is too old."""
        address = target.address
        asked_at = self._asked_at.get(address, -float("inf"))
        self._asked_at[address] = self._clock.monotonic()
        likely = self._clock.monotonic() - asked_at < _AHEAD_S
        full = len(self._ahead) + len(self._opening) >= _MAX_AHEAD
        if not likely or full or address in self._ahead or address in self._opening:
            return
        self._opening[address] = asyncio.create_task(self._keep_ahead(address))

    async def _keep_ahead(self, address: str) -> None:
        try:
            connection = await self._open(address, defaults.TARGET_CONNECT_S)
        except TargetNotRunError:
            # Nobody waits for it; the next request opens its own, and tells what it meets.
            return
        finally:
            self._opening.pop(address, None)
        self.preconnected_count += 1
        self._ahead[address] = connection

    def _is_fresh(self, connection: ServerConnection) -> bool:
        if connection.is_reusable and self._clock.monotonic() - connection.last_used_at < _AHEAD_S:
            return True
        connection.abort()
        return False

    def release(self, target: "Target", connection: ServerConnection) -> None:
        """Take back a connection after a whole answer."""
        if not connection.is_reusable:
            return
        connection.last_used_at = self._clock.monotonic()
        idle = self._idle.setdefault(target.address, [])
        idle.append(connection)
        if len(idle) > _MAX_IDLE:
            idle.pop(0).abort()

    def discard_connections(self, target: "Target") -> None:
        """Close the idle connections to a target; one of them was found dead."""
        for connection in self._idle.pop(target.address, ()):
            connection.abort()
        ahead = self._ahead.pop(target.address, None)
        if ahead is not None:
            ahead.abort()

    def close_expired(self) -> None:
        """Close those that were idle for too long."""
        now = self._clock.monotonic()
        for address, connection in list(self._ahead.items()):
            if not self._is_fresh(connection):
                del self._ahead[address]
        self._asked_at = {a: at for a, at in self._asked_at.items() if now - at < _AHEAD_S}
        for address, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                if connection.is_reusable and not _is_old(connection, now):
                    kept.append(connection)
                else:
                    connection.abort()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close all that are idle."""
        for idle in self._idle.values():
            for connection in idle:
                connection.abort()
        self._idle.clear()
        for task in self._opening.values():
            task.cancel()
        for connection in self._ahead.values():
            connection.abort()
        self._ahead.clear()

    def _take_idle(self, address: str) -> t.Optional[ServerConnection]:
        idle = self._idle.get(address)
        now = self._clock.monotonic()
        while idle:
            connection = idle.pop()
            if connection.is_reusable and not _is_old(connection, now):
                return connection
            connection.abort()
        return None


def _is_old(connection: ServerConnection, now: float) -> bool:
    most = defaults.TARGET_IDLE_TIMEOUT_S
    if connection.keep_alive_s is not None:
        most = min(most, connection.keep_alive_s / 2)
    return now - connection.last_used_at > most
