"""Ways to targets: own connections, or another entry while this one is cut off from a service.

The choice is made for each attempt. Whatever decides where and whether a request is sent has been
decided before, so that both ways serve the same request in the same manner.
"""

import abc
import asyncio
import typing as t

from .. import defaults
from ..exceptions import CoralfallError, TargetNotRunError
from .target_exchange import OutgoingRequest, exchange

if t.TYPE_CHECKING:
    from ..ids import EntryId, RegionId
    from ..placement.reachability import Reachability
    from ..placement.targets import TargetState
    from .connection import ServerConnection
    from .pool import ConnectionPool
    from .reach_checks import ReachChecks
    from .response_parser import ServerResponse
    from .transit_client import TransitClient

#: Reason of an attempt that failed on the way to the target, which says nothing about the target.
NO_PATH = "no-path"
#: Reason of an entry that carries as many requests of others as it may.
BUSY = "busy"


class TargetConnection(abc.ABC):
    """A connection on which one request may be sent to a target."""

    #: Entry that carries the request; ``None`` for an own connection.
    via: "t.Optional[EntryId]" = None

    @property
    @abc.abstractmethod
    def is_interrupted(self) -> bool:
        """Whether the connection was lost while the target had the request."""

    @property
    def is_target_crashed(self) -> bool:
        """Whether the target's process is known to have ended meanwhile."""
        return False

    @abc.abstractmethod
    async def exchange(self, request: OutgoingRequest, time_left_s: float) -> "ServerResponse":
        """Sends the request and returns the complete response.

        :raises TargetNotRunError: if nothing was sent to the target.
        :raises TargetUnknownError: if the target may have run the request.
        """

    def partial_response(self) -> "t.Optional[ServerResponse]":
        """Returns the head of an incomplete response, if it was received."""
        return None

    @abc.abstractmethod
    def release(self) -> None:
        """Gives the connection back after a complete response, or if nothing was sent."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Closes the connection."""


class DirectConnection(TargetConnection):
    """An own connection to a target.

    :param pool: where it comes from.
    :param state: the target.
    :param connection: the connection, open.
    """

    def __init__(
        self, pool: "ConnectionPool", state: "TargetState", connection: "ServerConnection"
    ) -> None:
        self._pool = pool
        self._state = state
        self._connection = connection

    @property
    def is_interrupted(self) -> bool:
        return self._connection.lost_in_exchange

    async def exchange(self, request: OutgoingRequest, time_left_s: float) -> "ServerResponse":
        return await exchange(self._pool, self._state, self._connection, request, time_left_s)

    def partial_response(self) -> "t.Optional[ServerResponse]":
        return self._connection.partial_response()

    def release(self) -> None:
        self._pool.release(self._state.target, self._connection)

    def abort(self) -> None:
        self._connection.abort()


class TargetConnections:
    """Opens the way to a target that reaches it.

    :param pool: own connections.
    :param reachability: tells which services this entry is cut off from.
    :param checks: checks whether it is, after a connection failed.
    :param transit: the way through other entries.
    """

    def __init__(
        self,
        pool: "ConnectionPool",
        reachability: "Reachability",
        checks: "ReachChecks",
        transit: "TransitClient",
    ) -> None:
        self._pool = pool
        self._reachability = reachability
        self._checks = checks
        self._transit = transit

    async def acquire(
        self,
        state: "TargetState",
        is_idempotent: bool,
        regions: "t.Collection[RegionId]",
        time_left_s: float,
    ) -> TargetConnection:
        """Returns a connection to a target.

        :param is_idempotent: whether a connection that has carried a request may be used.
        :param regions: regions that may serve the request; any if empty.
        :param time_left_s: seconds until the request's deadline.
        :raises TargetNotRunError: if there is none; the reason is ``NO_PATH`` if this says nothing
            about the target.
        :raises RefusedError: if the entry is cut off, and no other can carry the request.
        """
        service = state.target.service
        ends_at = asyncio.get_running_loop().time() + time_left_s
        if not self._reachability.is_cut_off(service):
            timeout_s = min(defaults.TARGET_CONNECT_S, time_left_s)
            try:
                connection = await self._pool.acquire(state.target, is_idempotent, timeout_s)
                return DirectConnection(self._pool, state, connection)
            except TargetNotRunError as error:
                if error.fields.get("reason") != "connect":
                    raise
                await self._checks.settle(service, defaults.REACH_SETTLE_S)
                if not self._reachability.is_cut_off(service):
                    raise
        try:
            async with asyncio.timeout_at(ends_at):
                return await self._transit.acquire(state, is_idempotent, regions)
        except TimeoutError as error:
            raise TargetNotRunError("no time left to send", reason="late") from error

    def note_interrupted(self, state: "TargetState") -> None:
        """Records that an own connection was lost while a request was in flight on it."""
        self._checks.suspect(state.target.service)

    def is_evidence(self, state: "TargetState", error: CoralfallError, is_direct: bool) -> bool:
        """Whether the failure of an attempt is evidence about its target.

        :param is_direct: whether the attempt used an own connection, or none.
        """
        if error.fields.get("reason") == NO_PATH:
            return False
        return not is_direct or not self._reachability.is_cut_off(state.target.service)
