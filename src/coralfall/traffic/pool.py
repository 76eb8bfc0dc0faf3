"""Pool of connections to targets.

Idempotent requests reuse idle connections; all others get new ones. For targets far away, the new
connection of the next request is opened in advance.
"""

import asyncio
import enum
import errno
import typing as t

from .. import defaults
from ..exceptions import TargetNotRunError
from .connection import ServerConnection, connect
from .receive_budget import ReceiveBudget

if t.TYPE_CHECKING:
    from ..process.clock import Clock
    from .model import Target

#: Size limit of a target's response body.
_MAX_ANSWER_BYTES = 64 * 1024 * 1024
_MAX_IDLE_PER_TARGET = 8
#: Connect time from which on connections to a target are opened in advance: a round trip to another
#: region, which a request that is not idempotent would otherwise wait for twice.
_DISTANT_CONNECT_S = 0.005
#: Age up to which a connection opened in advance is used, well below the time after which targets
#: close idle connections, and the largest number of such connections.
_PRECONNECT_MAX_AGE_S = 2.5
_MAX_PRECONNECTED = 128
#: Reason of an attempt for which this entry ran out of sockets or file descriptors.
NO_SOCKETS = "no-files"
_LOCAL_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL))


class ConnectResult(enum.Enum):
    """What became of an attempt to connect."""

    CONNECTED = "connected"
    #: The address answered that nothing listens there.
    REFUSED = "refused"
    #: The connection was reset, or there was no answer in time.
    FAILED = "failed"


class ConnectAttempt(t.NamedTuple):
    """An attempt to connect to a target that has ended."""

    target: "Target"
    #: Monotonic time at which it began.
    started_at: float
    result: ConnectResult


class ConnectionPool:
    """Opens connections to targets and keeps some of them for reuse.

    A connection that has carried a request is reused for idempotent requests only, since its target
    may close it at the same moment. A connection that was opened in advance and has carried none is
    as good as a new one.

    :param budget: bounds the answers that are being received.
    :param clock: measures idle times. It must go on while the VM is suspended, as targets close
        idle connections in the meantime.
    """

    def __init__(self, clock: "Clock", budget: t.Optional[ReceiveBudget] = None) -> None:
        self._clock = clock
        self.budget = budget if budget is not None else ReceiveBudget(_MAX_ANSWER_BYTES)
        self._idle: t.Dict[str, t.List[ServerConnection]] = {}
        #: Connections to distant targets that were opened in advance, by address.
        self._preconnected: t.Dict[str, ServerConnection] = {}
        self._pending_preconnects: t.Dict[str, "asyncio.Task[None]"] = {}
        self._requested_at: t.Dict[str, float] = {}
        #: Connections opened so far, and the number of them that were opened in advance.
        self.opened_count = 0
        self.preconnected_count = 0
        #: Called after each attempt to connect, unless it failed for want of sockets.
        self.connect_listeners: t.List[t.Callable[[ConnectAttempt], None]] = []
        #: Called when an attempt to connect takes long.
        self.on_slow_connect: "t.Callable[[Target], None]" = lambda target: None

    async def acquire(self, target: "Target", reusable: bool, timeout_s: float) -> ServerConnection:
        """Returns a connection to a target.

        :param reusable: whether a connection that has carried a request may be reused.
        :param timeout_s: time limit for opening a new one.
        :raises TargetNotRunError: if no connection can be made.
        """
        if reusable:
            connection = self._acquire_idle(target.address)
            if connection is not None:
                return connection
            return await self._open(target, timeout_s)
        preconnected = self._preconnected.pop(target.address, None)
        if preconnected is not None and self._is_fresh(preconnected):
            self._preconnect(target)
            return preconnected
        began = self._clock.monotonic()
        connection = await self._open(target, timeout_s)
        if self._clock.monotonic() - began >= _DISTANT_CONNECT_S:
            self._preconnect(target)
        return connection

    async def _open(self, target: "Target", timeout_s: float) -> ServerConnection:
        self.opened_count += 1
        began = self._clock.monotonic()
        slow = asyncio.get_running_loop().call_later(
            defaults.REACH_SLOW_CONNECT_S, self.on_slow_connect, target
        )
        try:
            connection = await connect(target.address, timeout_s, _MAX_ANSWER_BYTES, self.budget)
        except (OSError, asyncio.TimeoutError) as error:
            if isinstance(error, OSError) and error.errno in _LOCAL_ERRNOS:
                # The cause is on this entry, not at the target.
                message = f"this entry can open no more connections: {error}"
                raise TargetNotRunError(message, reason=NO_SOCKETS) from error
            message = f"target can't be connected: {error or type(error).__name__}"
            refused = isinstance(error, ConnectionRefusedError)
            result = ConnectResult.REFUSED if refused else ConnectResult.FAILED
            self._notify(ConnectAttempt(target, began, result))
            raise TargetNotRunError(message, reason="connect", refused=refused) from error
        finally:
            slow.cancel()
        connection.last_used_at = self._clock.monotonic()
        self._notify(ConnectAttempt(target, began, ConnectResult.CONNECTED))
        return connection

    def _notify(self, attempt: ConnectAttempt) -> None:
        for listener in self.connect_listeners:
            listener(attempt)

    async def probe(self, target: "Target", timeout_s: float) -> None:
        """Opens and closes a new connection, to find out whether a target listens.

        :raises TargetNotRunError: if no connection can be made.
        """
        connection = await self._open(target, timeout_s)
        connection.abort()

    def _preconnect(self, target: "Target") -> None:
        """Opens a connection in advance if a request is likely before it is too old."""
        address = target.address
        requested_at = self._requested_at.get(address, -float("inf"))
        self._requested_at[address] = self._clock.monotonic()
        is_likely = self._clock.monotonic() - requested_at < _PRECONNECT_MAX_AGE_S
        is_full = len(self._preconnected) + len(self._pending_preconnects) >= _MAX_PRECONNECTED
        if (
            not is_likely
            or is_full
            or address in self._preconnected
            or address in self._pending_preconnects
        ):
            return
        self._pending_preconnects[address] = asyncio.create_task(self._open_preconnected(target))

    async def _open_preconnected(self, target: "Target") -> None:
        address = target.address
        try:
            connection = await self._open(target, defaults.TARGET_CONNECT_S)
        except TargetNotRunError:
            # No request waits for it. The next one opens its own connection and reports the error.
            return
        finally:
            self._pending_preconnects.pop(address, None)
        self.preconnected_count += 1
        self._preconnected[address] = connection

    def _is_fresh(self, connection: ServerConnection) -> bool:
        if (
            connection.is_reusable
            and self._clock.monotonic() - connection.last_used_at < _PRECONNECT_MAX_AGE_S
        ):
            return True
        connection.abort()
        return False

    def release(self, target: "Target", connection: ServerConnection) -> None:
        """Takes back a connection after a complete response."""
        if not connection.is_reusable:
            return
        connection.last_used_at = self._clock.monotonic()
        idle = self._idle.setdefault(target.address, [])
        idle.append(connection)
        if len(idle) > _MAX_IDLE_PER_TARGET:
            idle.pop(0).abort()

    def discard_connections(self, target: "Target") -> None:
        """Closes all idle connections to a target, for example after one was found dead."""
        for connection in self._idle.pop(target.address, ()):
            connection.abort()
        preconnected = self._preconnected.pop(target.address, None)
        if preconnected is not None:
            preconnected.abort()

    def close_expired(self) -> None:
        """Closes connections that have been idle for too long."""
        now = self._clock.monotonic()
        for address, connection in list(self._preconnected.items()):
            if not self._is_fresh(connection):
                del self._preconnected[address]
        self._requested_at = {
            a: at for a, at in self._requested_at.items() if now - at < _PRECONNECT_MAX_AGE_S
        }
        for address, idle in list(self._idle.items()):
            reusable = []
            for connection in idle:
                if connection.is_reusable and not _is_expired(connection, now):
                    reusable.append(connection)
                else:
                    connection.abort()
            if reusable:
                self._idle[address] = reusable
            else:
                del self._idle[address]

    def close(self) -> None:
        """Closes all idle connections and cancels those being opened."""
        for idle in self._idle.values():
            for connection in idle:
                connection.abort()
        self._idle.clear()
        for task in self._pending_preconnects.values():
            task.cancel()
        for connection in self._preconnected.values():
            connection.abort()
        self._preconnected.clear()

    def _acquire_idle(self, address: str) -> t.Optional[ServerConnection]:
        idle = self._idle.get(address)
        now = self._clock.monotonic()
        while idle:
            connection = idle.pop()
            if connection.is_reusable and not _is_expired(connection, now):
                return connection
            connection.abort()
        return None


def _is_expired(connection: ServerConnection, now: float) -> bool:
    max_idle_s = defaults.TARGET_IDLE_TIMEOUT_S
    if connection.keep_alive_s is not None:
        max_idle_s = min(max_idle_s, connection.keep_alive_s / 2)
    return now - connection.last_used_at > max_idle_s
