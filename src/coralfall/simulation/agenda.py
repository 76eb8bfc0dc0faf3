"""Agenda: virtual time, and what is due when."""

import heapq
import itertools
import typing as t

from ..process.clock import ManualClock

Action = t.Callable[[], None]


class Agenda:
    """Runs actions in the order of their times; those of one time in the order they were added."""

    def __init__(self) -> None:
        self.clock = ManualClock(1000.0)
        self._began = self.clock.now
        self._due: t.List[t.Tuple[float, int, Action]] = []
        self._numbers = itertools.count()

    @property
    def now(self) -> float:
        """Seconds since the start of traffic."""
        return self.clock.now - self._began

    def after(self, seconds: float, action: Action) -> None:
        """Run an action a while from now."""
        heapq.heappush(self._due, (self.clock.now + seconds, next(self._numbers), action))

    def run(self) -> None:
        """Run all actions, and those that they add, until none is left."""
        while self._due:
            at, _, action = heapq.heappop(self._due)
            self.clock.now = max(self.clock.now, at)
            action()
