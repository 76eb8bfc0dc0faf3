"""Tests of the time that a process has once it was told to stop."""

import asyncio
import math
import random
import typing as t
import unittest

from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized

from coralfall.process.child import Child
from coralfall.process.clock import ManualClock
from coralfall.process.shutdown import Shutdown
from coralfall.process.supervisor import Supervisor
from tests.virtual_loop import LoopClock, run_virtual


class ShutdownTest(unittest.TestCase):
    def test_no_end_before_the_signal(self) -> None:
        shutdown = Shutdown(6.0, ManualClock(100.0))
        self.assertFalse(shutdown.is_begun)
        self.assertEqual(0.0, shutdown.age_s())
        self.assertEqual(math.inf, shutdown.left_s())
        self.assertEqual(math.inf, shutdown.exits_by())

    @parameterized.expand(
        [
            (0.6, 0.0, 100.55, 100.575),
            (6.0, 0.0, 105.5, 105.75),
            (6.0, 5.0, 105.0, 105.5),
            (30.0, 0.0, 129.5, 129.75),
            (30.0, 5.0, 125.0, 129.5),
            (300.0, 5.0, 394.5, 399.5),
        ]
    )
    def test_parts_of_the_grace(
        self, grace_s: float, settle_s: float, serves: float, exits: float
    ) -> None:
        shutdown = Shutdown(grace_s, ManualClock(100.0), settle_s=settle_s)
        shutdown.begin()
        self.assertAlmostEqual(serves, shutdown.serves_until())
        self.assertAlmostEqual(exits, shutdown.exits_by())

    @parameterized.expand(
        [
            ("paused or idle", 2.0, 0.0, 2.0),
            ("busy", 2.0, 2.0, 0.0),
            ("busy for a part of it", 2.0, 0.5, 1.5),
            ("on several processors", 2.0, 3.0, 0.0),
        ]
    )
    def test_a_signal_counts_from_when_it_may_have_come(
        self, _name: str, since_beat_s: float, cpu_s: float, age_s: float
    ) -> None:
        """A grace that began when the loop saw the signal ended after the process was killed."""
        clock = ManualClock(100.0)
        cpu = ManualClock(7.0)
        shutdown = Shutdown(6.0, clock, cpu.monotonic)
        clock.advance(5.0)
        shutdown.beat()
        clock.advance(since_beat_s)
        cpu.advance(cpu_s)
        shutdown.begin()
        self.assertAlmostEqual(age_s, shutdown.age_s())
        clock.advance(1.0)
        shutdown.beat()
        shutdown.begin()
        self.assertAlmostEqual(107.0 - age_s + 5.5, shutdown.serves_until())

    @parameterized.expand([("longer", 30.0), ("shorter", 3.0)])
    def test_settings_that_change_while_the_process_stops(self, _name: str, grace_s: float) -> None:
        """A reload moved the end, though the kill was due by the grace of the signal."""
        shutdown = Shutdown(6.0, ManualClock(100.0))
        shutdown.begin()
        shutdown.begin_now()
        shutdown.set_grace(grace_s)
        self.assertAlmostEqual(105.5, shutdown.serves_until())
        self.assertAlmostEqual(105.75, shutdown.exits_by())

    @parameterized.expand([("before the signal", False), ("before the loop sees it", True)])
    def test_settings_that_change_before_the_process_stops(
        self, _name: str, is_begun: bool
    ) -> None:
        shutdown = Shutdown(6.0, ManualClock(100.0))
        if is_begun:
            shutdown.begin()
        shutdown.set_grace(3.0)
        shutdown.begin()
        shutdown.begin_now()
        self.assertAlmostEqual(102.75, shutdown.serves_until())

    @given(
        st.floats(0.1, 60.0),
        st.lists(st.tuples(st.sampled_from(("beat", "pause")), st.floats(0.0, 10.0)), max_size=20),
        st.floats(0.0, 5.0),
    )
    def test_the_end_is_never_later_than_the_kill(
        self, grace_s: float, steps: t.List[t.Tuple[str, float]], late_s: float
    ) -> None:
        clock = ManualClock(0.0)
        shutdown = Shutdown(grace_s, clock, lambda: 0.0)
        for step, seconds in steps:
            clock.advance(seconds)
            if step == "beat":
                shutdown.beat()
        killed_at = clock.monotonic() + grace_s
        clock.advance(late_s)
        shutdown.begin()
        shutdown.beat()
        self.assertLess(shutdown.serves_until(), shutdown.exits_by())
        self.assertLess(shutdown.exits_by(), killed_at)


class BeatsTest(unittest.TestCase):
    def test_beats_go_on_until_the_signal(self) -> None:
        """Guards against a grace that is counted from the start of the process."""

        async def main(clock: LoopClock) -> t.Tuple[float, bool]:
            shutdown = Shutdown(6.0, clock, lambda: 0.0)
            beats = asyncio.create_task(shutdown.run_beats())
            await asyncio.sleep(60.0)
            shutdown.begin()
            age_s = shutdown.age_s()
            await asyncio.sleep(1.0)
            return age_s, beats.done()

        age_s, has_ended = run_virtual(main)
        self.assertLessEqual(age_s, 0.2 + 1e-6)
        self.assertTrue(has_ended)


class Part(Child):
    """A child that takes its time to stop.

    :param stop_s: seconds; infinite if it never does.
    :param ended_at: gets the time at which it has ended.
    """

    def __init__(self, name: str, stop_s: float, clock: LoopClock, ended_at: t.List[float]) -> None:
        self.name = name
        self._stop_s = stop_s
        self._clock = clock
        self._ended_at = ended_at

    async def run(self) -> None:
        try:
            await asyncio.Event().wait()
        finally:
            self._ended_at.append(self._clock.monotonic())

    async def stop(self) -> None:
        await asyncio.sleep(self._stop_s)


class StopOrderTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("all stop at once", (0.0, 0.0, 0.0), (10.0, 10.0, 10.0)),
            ("the servers' time is cut", (0.0, 0.0, math.inf), (15.5, 15.5, 15.5)),
            ("what stops later has the reserve", (0.1, 0.1, math.inf), (15.5, 15.6, 15.7)),
            ("all hang", (math.inf, math.inf, math.inf), (15.5, 15.75, 15.75)),
        ]
    )
    def test_all_parts_have_stopped_before_the_process_is_killed(
        self, _name: str, stops_s: t.Sequence[float], expected: t.Sequence[float]
    ) -> None:
        """Each part had 1 s of its own after the grace, so the process was killed as it stopped."""

        async def main(clock: LoopClock) -> t.List[float]:
            ended_at: t.List[float] = []
            parts = [Part("part", seconds, clock, ended_at) for seconds in stops_s]
            shutdown = Shutdown(6.0, clock)
            tree = Supervisor("root", parts, clock, random.Random(1), shutdown=shutdown)
            await tree.start()
            running = asyncio.create_task(tree.run())
            await asyncio.sleep(10.0 - clock.monotonic())
            shutdown.begin_now()
            await tree.stop()
            running.cancel()
            return ended_at

        for moment, found in zip(expected, run_virtual(main), strict=True):
            self.assertAlmostEqual(moment, found, places=3)

    @parameterized.expand(
        [
            ("the server stops just before its end", 24.4, 4.4, 38.8),
            ("the server is cut off", math.inf, 4.4, 39.4),
            ("what stops after it hangs", 1.0, math.inf, 39.5),
        ]
    )
    def test_what_stops_after_the_server_has_time_to_settle(
        self, _name: str, server_s: float, settling_s: float, expected: float
    ) -> None:
        """Outcomes had only the time to be written that the last request had left."""

        async def main(clock: LoopClock) -> t.List[float]:
            ended_at: t.List[float] = []
            server = Part("server", server_s, clock, [])
            parts = [Part("settles", settling_s, clock, ended_at), server]
            shutdown = Shutdown(30.0, clock, settle_s=5.0)
            tree = Supervisor(
                "root", parts, clock, random.Random(1), shutdown=shutdown, server=server
            )
            await tree.start()
            running = asyncio.create_task(tree.run())
            await asyncio.sleep(10.0 - clock.monotonic())
            await tree.stop()
            running.cancel()
            return ended_at

        (ended_at,) = run_virtual(main)
        self.assertAlmostEqual(expected, ended_at, places=3)
