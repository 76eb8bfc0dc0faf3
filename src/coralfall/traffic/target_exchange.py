"""Exchange of one request with a target on a connection: last checks, time limit, and evidence."""

import asyncio
import typing as t

from .. import defaults
from ..exceptions import TargetNotRunError, TargetTimeoutError, TargetUnknownError
from .connection import ServerConnection
from .response_parser import BrokenResponseError, ServerResponse

if t.TYPE_CHECKING:
    from ..placement.targets import TargetRegistry, TargetState
    from ..process.clock import Clock
    from .pool import ConnectionPool

#: Result of an attempt on a reused connection that ended before any byte of a response.
STALE = "stale"


class OutgoingRequest(t.NamedTuple):
    """A request as a target gets it."""

    head: bytes
    body: bytes
    #: Rest of the body, if it is not held whole.
    body_stream: t.Optional[t.AsyncIterator[bytes]] = None
    #: Whether the response has no body, whatever its head says.
    bodiless: bool = False
    #: Called with the size of each part of the response's body.
    on_body_bytes: t.Optional[t.Callable[[int], None]] = None


def time_left_to_send(
    targets: "TargetRegistry", state: "TargetState", deadline: float, clock: "Clock"
) -> float:
    """Makes the last check before a request is sent, and returns its time left in seconds.

    :param deadline: monotonic time.
    :raises TargetNotRunError: if it must not be sent to the target any more.
    """
    time_left_s = deadline - clock.monotonic()
    objection = targets.block_reason(state)
    if time_left_s < defaults.MIN_SEND_TIME_LEFT_S:
        objection = "late"
    if objection is not None:
        raise TargetNotRunError("not sent", reason=objection)
    return time_left_s


async def exchange(
    pool: "ConnectionPool",
    state: "TargetState",
    connection: ServerConnection,
    request: OutgoingRequest,
    time_left_s: float,
) -> ServerResponse:
    """Sends a request on a connection and returns the complete response.

    :raises TargetTimeoutError: if there was none in time; the target may have run the request.
    :raises TargetUnknownError: if the connection ended; ``STALE`` is the reason if it was used
        before and no byte of a response had come.
    """
    try:
        async with asyncio.timeout(time_left_s):
            return await connection.exchange(
                request.head,
                request.body,
                request.body_stream,
                request.bodiless,
                request.on_body_bytes,
            )
    except TimeoutError as error:
        pool.discard_connections(state.target)
        message = "no whole answer before the request's time was over"
        raise TargetTimeoutError(message, reason="time") from error
    except (BrokenResponseError, OSError) as error:
        is_stale = connection.completed_exchanges > 0 and not connection.has_received
        if is_stale:
            pool.discard_connections(state.target)
        reason = STALE if is_stale else "broken"
        raise TargetUnknownError(f"exchange broke off: {error}", reason=reason) from error
