"""Checks whether a target's process runs, or is gone, by connections that carry no request.

The kernel takes connections for a process that is paused. So the connection is half-closed at once,
and only the process itself ends the other half.
"""

import asyncio
import typing as t

from .. import defaults
from ..process.sockets import detect_dead_peer
from ..settings import split_address

if t.TYPE_CHECKING:
    from ..balancing.fleet_steering import FleetSteering
    from ..ids import TargetId
    from ..process.clock import Clock


class TargetChecks:
    """Checks the targets whose slots wait for a sign of life, each by one connection at a time.

    :param steering: names the targets, and is told of signs of life.
    :param clock: tells when a check was sent.
    """

    def __init__(self, steering: "FleetSteering", clock: "Clock") -> None:
        self._steering = steering
        self._clock = clock
        self._check_by_target: t.Dict["TargetId", "asyncio.Task[None]"] = {}

    def start_due(self) -> None:
        """Starts checks of the targets that need one; to be called several times a second."""
        for target_id, address in self._steering.unproved_addresses().items():
            if target_id in self._check_by_target:
                continue
            check = asyncio.get_running_loop().create_task(self._check(target_id, address))
            self._check_by_target[target_id] = check

    async def close(self) -> None:
        """Ends all checks."""
        checks = list(self._check_by_target.values())
        for check in checks:
            check.cancel()
        await asyncio.gather(*checks, return_exceptions=True)

    async def _check(self, target_id: "TargetId", address: str) -> None:
        try:
            sent_at = self._clock.monotonic()
            if await is_serving_or_gone(address):
                self._steering.record_life(target_id, sent_at)
                return
            await asyncio.sleep(defaults.VANISHED_TARGET_CHECK_S)
        finally:
            del self._check_by_target[target_id]


class _Check(asyncio.Protocol):
    """A connection that carries no request."""

    def __init__(self) -> None:
        self.lost: "asyncio.Future[t.Optional[Exception]]" = (
            asyncio.get_running_loop().create_future()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._detector = detect_dead_peer(transport)
        # uvloop's transports have no such base class.
        t.cast(asyncio.Transport, transport).write_eof()

    def connection_lost(self, exc: t.Optional[Exception]) -> None:
        if self.lost.done():
            return
        if exc is None and self._detector.has_ended_it:
            exc = TimeoutError("the target acknowledges nothing")
        self.lost.set_result(exc)


async def is_serving_or_gone(address: str) -> bool:
    """Returns whether the process at an address takes and ends connections, or there is none.

    :param address: ``ip:port`` of a target.
    """
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(defaults.CONNECT_TIMEOUT_S):
            transport, check = await loop.create_connection(_Check, host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    try:
        async with asyncio.timeout(defaults.DEAD_TARGET_TIMEOUT_S):
            error = await check.lost
    except TimeoutError:
        return False
    finally:
        transport.abort()
    return error is None or isinstance(error, ConnectionError)
