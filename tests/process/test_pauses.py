"""Tests of the watch for pauses of the process."""

import asyncio
import io
import unittest

from parameterized import parameterized

from coralfall.process import log
from coralfall.process.clock import ManualClock
from coralfall.process.pauses import MIN_PAUSE_S, WATCH_S, PauseWatch
from coralfall.settings import LogSettings


class PauseWatchTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("on time", 0.0, ""),
            ("a little late", 0.9 * MIN_PAUSE_S, ""),
            ("paused", 2.5, "level=warning event=process.paused seconds=2.5\n"),
        ]
    )
    def test_pauses_are_logged(self, _name: str, late_s: float, expected: str) -> None:
        stream = io.StringIO()
        log.configure(LogSettings(), stream)
        clock = ManualClock(100.0)
        sleeps = []

        async def sleep(seconds: float) -> None:
            if sleeps:
                raise asyncio.CancelledError
            sleeps.append(seconds)
            clock.advance(seconds + late_s)

        with self.assertRaises(asyncio.CancelledError):
            asyncio.run(PauseWatch(clock, sleep).run())
        self.assertEqual(sleeps, [WATCH_S])
        self.assertEqual(stream.getvalue().partition(" ")[2], expected)


if __name__ == "__main__":
    unittest.main()
