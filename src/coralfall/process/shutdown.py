"""Shutdown: the time that a process has from the signal to stop until it is killed.

Whatever sends the signal kills the process after its grace. Work in progress is over a reserve
before that, so that the process ends in order and by itself.
"""

import asyncio
import math
import typing as t

from .. import defaults

if t.TYPE_CHECKING:
    from .clock import Clock


class Shutdown:
    """Tells how much time is left once the process was told to stop.

    The loop may see the signal late. Each :meth:`beat` shows that none had come by then, so the
    grace is counted from the last one: what is computed here is never later than what is true.

    :param grace_s: seconds from the signal until the process is killed.
    :param clock: monotonic time.
    """

    def __init__(self, grace_s: float, clock: "Clock") -> None:
        self.grace_s = grace_s
        self._clock = clock
        self._beat_at = clock.monotonic()
        self._told_at: t.Optional[float] = None

    @property
    def is_begun(self) -> bool:
        """Whether the process was told to stop."""
        return self._told_at is not None

    def beat(self) -> None:
        """Records that the process runs and was not told to stop yet."""
        self._beat_at = self._clock.monotonic()

    def begin(self) -> None:
        """Records that the process was told to stop; only the first call counts."""
        if self._told_at is None:
            self._told_at = self._beat_at

    def begin_now(self) -> None:
        """Records that the process stops by itself, if it was not told to before."""
        if self._told_at is None:
            self._told_at = self._clock.monotonic()

    async def run_beats(self) -> None:
        """Beats until the process is told to stop."""
        while not self.is_begun:
            self.beat()
            await asyncio.sleep(defaults.STOP_BEAT_S)

    def age_s(self) -> float:
        """Returns the seconds since the signal at most; 0 before it."""
        return 0.0 if self._told_at is None else self._clock.monotonic() - self._told_at

    def serves_until(self) -> float:
        """Returns the monotonic time at which requests are cut off; infinite before the signal."""
        return self._end_before(self._reserve_s())

    def exits_by(self) -> float:
        """Returns the monotonic time by which all parts stop; infinite before the signal."""
        return self._end_before(self._reserve_s() / 2)

    def left_s(self) -> float:
        """Returns the seconds until requests are cut off; infinite before the signal."""
        return self.serves_until() - self._clock.monotonic()

    def _end_before(self, seconds: float) -> float:
        if self._told_at is None:
            return math.inf
        return self._told_at + self.grace_s - seconds

    def _reserve_s(self) -> float:
        return min(defaults.STOP_RESERVE_S, self.grace_s * defaults.STOP_RESERVE_FRACTION)
