"""The two clocks of a process: one that only rises, and one shared with the platform."""

import abc
import time
import typing as t


class Clock(abc.ABC):
    """Where the decisions take the time from.

    Write your own for tests::

        class FixedClock(Clock):
            def monotonic(self) -> float:
                return 12.0

            def wall(self) -> float:
                return 1_700_000_000.0
    """

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Seconds that never fall, and go on while the process is paused."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Seconds since the Unix epoch, as this VM believes them."""


class SystemClock(Clock):
    """The clocks of the VM.

    ``CLOCK_BOOTTIME`` and not ``CLOCK_MONOTONIC``: the latter stands still while a VM is
    suspended, and a lease would seem to be held for longer than it is.
    """

    def monotonic(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        return time.time()


class ManualClock(Clock):
    """A clock that moves only when told to, for tests and benchmarks on virtual time."""

    def __init__(self, start: float = 0.0) -> None:
        self.now = start

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    def advance(self, seconds: float) -> None:
        """Move both clocks forward by ``seconds``."""
        self.now += seconds


class PlatformClock:
    """The platform's wall time, estimated from the answers of its table.

    Clocks of VMs differ; what all entries must agree on (where a shift stands) is
    reckoned in the platform's time.

    :param clock: the VM's own clocks.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offset: t.Optional[float] = None
        self._error = float("inf")
        self._from_platform = False

    def observe(self, sent: float, received: float, platform_now: float) -> None:
        """Take in one answer.

        :param sent: monotonic time at which the request left.
        :param received: monotonic time at which the answer came.
        :param platform_now: platform's wall time, as the answer states it.
        """
        if not self._from_platform:
            self._from_platform = True
            self._offset = None
        error = (received - sent) / 2
        if error <= self._error * 1.5 or self._offset is None:
            self._offset = platform_now - (sent + received) / 2
            self._error = error

    def observe_peer(self, sent: float, received: float, platform_now: float) -> None:
        """Take in a peer's estimate, as long as the platform itself has not answered."""
        if self._from_platform:
            return
        self._offset = platform_now - (sent + received) / 2

    def now(self) -> float:
        """Platform's wall time in seconds; the VM's own until a first answer came."""
        if self._offset is None:
            return self._clock.wall()
        return self._clock.monotonic() + self._offset
