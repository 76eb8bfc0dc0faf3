"""Notices when the process stood still, so that what was late can be told from what was wrong."""

import asyncio
import typing as t

from . import log
from .child import Child, Sleep

if t.TYPE_CHECKING:
    from .clock import Clock

#: Seconds between two looks at the clock.
WATCH_S = 0.1
#: Shortest pause that is logged, in seconds.
MIN_PAUSE_S = 0.2


class PauseWatch(Child):
    """Logs ``process.paused`` after the process was stopped, or kept from running, for a while.

    :param clock: goes on during a pause.
    :param sleep: waits that many seconds; given by tests.
    """

    name = "pauses"

    def __init__(self, clock: "Clock", sleep: Sleep = asyncio.sleep) -> None:
        self._clock = clock
        self._sleep = sleep

    async def run(self) -> None:
        while True:
            began = self._clock.monotonic()
            await self._sleep(WATCH_S)
            pause_s = self._clock.monotonic() - began - WATCH_S
            if pause_s >= MIN_PAUSE_S:
                log.warning("process.paused", seconds=round(pause_s, 3))
