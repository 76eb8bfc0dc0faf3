"""Shutdown: the time that a process has from the signal to stop until it is killed.

Whatever sends the signal kills the process after its grace. Work in progress is over a reserve
before that, so that the process ends in order and by itself.
"""

import asyncio
import math
import time
import typing as t

from .. import defaults

if t.TYPE_CHECKING:
    from .clock import Clock


class Shutdown:
    """Tells how much time is left once the process was told to stop.

    A process that is kept from running sees the signal late. Each :meth:`beat` shows that none had
    come by then, and while the process computes the interpreter takes a signal at once. What is
    left of the time since the last beat is the most by which it can be late, and the grace is
    counted from so long before.

    :param grace_s: seconds from the signal until the process is killed.
    :param clock: monotonic time.
    :param cpu_time: seconds for which the process has run on a processor.
    :param settle_s: seconds that the process needs after its last request to write down what became
        of them. Requests are served until ``STOP_LAST_FRACTION`` of the grace is left all the same.
    """

    def __init__(
        self,
        grace_s: float,
        clock: "Clock",
        cpu_time: t.Callable[[], float] = time.process_time,
        settle_s: float = 0.0,
    ) -> None:
        self.grace_s = grace_s
        self._settle_s = settle_s
        self._clock = clock
        self._cpu_time = cpu_time
        self._told_at: t.Optional[float] = None
        self._was_told = False
        self._is_stopping = False
        self.beat()

    @property
    def is_begun(self) -> bool:
        """Whether the process was told to stop."""
        return self._told_at is not None

    def beat(self) -> None:
        """Records that the process runs and was not told to stop yet."""
        self._beat_at = self._clock.monotonic()
        self._cpu_at_beat_s = self._cpu_time()

    def begin(self) -> None:
        """Records that the process was told to stop; only the first call counts."""
        if self._told_at is not None:
            return
        now = self._clock.monotonic()
        not_running_s = now - self._beat_at - (self._cpu_time() - self._cpu_at_beat_s)
        self._told_at = now - max(0.0, not_running_s)
        self._was_told = True

    def begin_now(self) -> None:
        """Records that the process stops now, by itself if it was not told to before."""
        if self._told_at is None:
            self._told_at = self._clock.monotonic()
        self._is_stopping = True

    def restart(self) -> None:
        """Forgets a stop that was not asked for: what has ended by itself begins again."""
        if self._was_told:
            return
        self._told_at = None
        self._is_stopping = False
        self.beat()

    def set_grace(self, grace_s: float) -> None:
        """Applies a changed setting, unless the process stops already.

        Requests were admitted by the grace of the signal, and the kill is due by it. A change that
        came just before the signal may be applied just after it, so the signal alone fixes nothing.
        """
        if not self._is_stopping:
            self.grace_s = grace_s

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
        return self._end_before(self._reserve_s() + self._settle_time_s())

    def exits_by(self) -> float:
        """Returns the monotonic time by which all parts stop; infinite before the signal."""
        reserve_s = self._reserve_s()
        return self._end_before(reserve_s if self._settle_time_s() > 0 else reserve_s / 2)

    def exit_left_s(self) -> float:
        """Returns the seconds until all parts have to have stopped; infinite before the signal."""
        return self.exits_by() - self._clock.monotonic()

    def left_s(self) -> float:
        """Returns the seconds until requests are cut off; infinite before the signal."""
        return self.serves_until() - self._clock.monotonic()

    def _end_before(self, seconds: float) -> float:
        if self._told_at is None:
            return math.inf
        return self._told_at + self.grace_s - seconds

    def _settle_time_s(self) -> float:
        last_s = self.grace_s * defaults.STOP_LAST_FRACTION
        return max(0.0, min(self._settle_s, last_s - self._reserve_s()))

    def _reserve_s(self) -> float:
        return min(defaults.STOP_RESERVE_S, self.grace_s * defaults.STOP_RESERVE_FRACTION)
