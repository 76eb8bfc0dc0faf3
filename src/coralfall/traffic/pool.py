"""Connections to targets: kept ones for requests that may run twice, new ones for all others."""

import asyncio
import errno
import typing as t

from .. import defaults
from ..exceptions import TargetNotRunError
from .connection import ServerConnection, connect

if t.TYPE_CHECKING:
    from .model import Target

#: Largest answer of a target that is passed on, in bytes.
_MAX_ANSWER_BYTES = 64 * 1024 * 1024
_MAX_IDLE = 8
#: Reason of a send that this entry could open no connection for.
NO_FILES = "no-files"
_OWN_SHORTAGES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL))


class ConnectionPool:
    """Opens connections to targets and keeps some of them for a while."""

    def __init__(self) -> None:
        self._idle: t.Dict[str, t.List[ServerConnection]] = {}
        #: Connections opened so far.
        self.opened = 0

    async def take(self, target: "Target", kept: bool, seconds: float) -> ServerConnection:
        """A connection to a target.

        :param kept: whether one that was used before will do.
        :param seconds: how long opening one may take.
        :raises TargetNotRunError: if none can be had.
        """
        if kept:
            connection = self._take_idle(target.address)
            if connection is not None:
                return connection
        self.opened += 1
        try:
            return await connect(target.address, seconds, _MAX_ANSWER_BYTES)
        except (OSError, asyncio.TimeoutError) as error:
            if isinstance(error, OSError) and error.errno in _OWN_SHORTAGES:
                # The target has no part in it.
                message = f"this entry can open no more connections: {error}"
                raise TargetNotRunError(message, reason=NO_FILES) from error
            message = f"target can't be connected: {error or type(error).__name__}"
            refused = isinstance(error, ConnectionRefusedError)
            raise TargetNotRunError(message, reason="connect", refused=refused) from error

    def give(self, target: "Target", connection: ServerConnection) -> None:
        """Take back a connection after a whole answer."""
        if not connection.reusable:
            return
        idle = self._idle.setdefault(target.address, [])
        idle.append(connection)
        if len(idle) > _MAX_IDLE:
            idle.pop(0).abort()

    def forget(self, target: "Target") -> None:
        """Close the idle connections to a target; one of them was found dead."""
        for connection in self._idle.pop(target.address, ()):
            connection.abort()

    def close_idle(self) -> None:
        """Close those that were idle for too long."""
        now = asyncio.get_running_loop().time()
        for address, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                if connection.reusable and not _is_old(connection, now):
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

    def _take_idle(self, address: str) -> t.Optional[ServerConnection]:
        idle = self._idle.get(address)
        now = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            if connection.reusable and not _is_old(connection, now):
                return connection
            connection.abort()
        return None


def _is_old(connection: ServerConnection, now: float) -> bool:
    most = defaults.TARGET_IDLE_S
    if connection.keep_s is not None:
        most = min(most, connection.keep_s / 2)
    return now - connection.used_at > most
