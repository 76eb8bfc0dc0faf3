"""Tests of a shutdown whose clock outlasts the tree that it belongs to, and of slow clean-ups."""

import asyncio
import random
import typing as t
import unittest

from parameterized import parameterized

from coralfall.ids import ServiceId
from coralfall.placement.stop_admission import NO_LESS_TIME, StopAdmission
from coralfall.process.child import Child, FunctionChild
from coralfall.process.clock import ManualClock
from coralfall.process.shutdown import Shutdown
from coralfall.process.supervisor import Supervisor, supervise
from coralfall.settings import RestartSettings
from tests.virtual_loop import LoopClock, run_virtual

_SERVICE = ServiceId("s1")
_NO_RESTARTS = RestartSettings(max_failures=0, window_s=60, backoff_s=1, max_backoff_s=4)
_GRACE_S = 6.0


class FailsOnce(Child):
    """A child whose first run fails."""

    name = "fails once"

    def __init__(self) -> None:
        self._failed = False

    async def run(self) -> None:
        if not self._failed:
            self._failed = True
            raise ValueError("bad")
        await asyncio.Event().wait()


class Finishing(Child):
    """A child that needs a second to finish what it has begun."""

    name = "finishing"

    def __init__(self) -> None:
        self.finished_count = 0

    async def run(self) -> None:
        await asyncio.Event().wait()

    async def stop(self) -> None:
        await asyncio.sleep(1.0)
        self.finished_count += 1


class RestartedTreeTest(unittest.TestCase):
    """Guards against a stop whose grace was counted from the failure of an earlier run."""

    def test_a_restarted_supervisor_gives_its_children_their_time(self) -> None:
        async def main(clock: LoopClock) -> int:
            child = Finishing()
            rng = random.Random(1)
            inner = Supervisor("inner", [child, FailsOnce()], clock, rng, _NO_RESTARTS, _GRACE_S)
            outer = Supervisor("outer", [inner], clock, rng, grace_s=_GRACE_S)
            await outer.start()
            running = asyncio.create_task(outer.run())
            await asyncio.sleep(100.0)
            child.finished_count = 0
            await outer.stop()
            await running
            return child.finished_count

        self.assertEqual(1, run_virtual(main))

    def test_an_entry_that_its_parent_restarted_takes_requests(self) -> None:
        async def main(clock: LoopClock) -> bool:
            rng = random.Random(1)
            shutdown = Shutdown(_GRACE_S, clock)
            admission = StopAdmission(shutdown, NO_LESS_TIME, clock)
            entry = Supervisor("entry", [FailsOnce()], clock, rng, _NO_RESTARTS, shutdown=shutdown)
            outer = Supervisor("outer", [entry], clock, rng)
            await outer.start()
            running = asyncio.create_task(outer.run())
            await asyncio.sleep(100.0)
            is_admitted = admission.admits(clock.monotonic() + 1.0)
            await outer.stop()
            await running
            return is_admitted

        self.assertTrue(run_virtual(main))


class SlowCleanUpTest(unittest.TestCase):
    def test_a_child_that_cleans_up_slowly_does_not_take_the_time_of_the_process(self) -> None:
        """Guards against parts that are not asked to stop before the process is killed."""

        async def main(clock: LoopClock) -> t.Tuple[float, float]:
            async def work() -> None:
                try:
                    await asyncio.Event().wait()
                finally:
                    await asyncio.sleep(60.0)

            shutdown = Shutdown(_GRACE_S, clock)
            children = [Finishing(), FunctionChild("slow", work), FunctionChild("slower", work)]
            tree = Supervisor("root", children, clock, random.Random(1), shutdown=shutdown)
            stop = asyncio.Event()
            running = asyncio.create_task(supervise(tree, stop, shutdown))
            await asyncio.sleep(1.0)
            stop.set()
            killed_at = clock.monotonic() + _GRACE_S
            await running
            return clock.monotonic(), killed_at

        ended_at, killed_at = run_virtual(main)
        self.assertLess(ended_at, killed_at)


class LastSixthTest(unittest.TestCase):
    @parameterized.expand([(6.0, 0.0), (30.0, 0.0), (6.0, 5.0), (30.0, 5.0)])
    def test_requests_are_served_until_the_last_sixth_of_the_grace(
        self, grace_s: float, settle_s: float
    ) -> None:
        """Guards against requests that are cut off while the users still count them."""
        shutdown = Shutdown(grace_s, ManualClock(100.0), settle_s=settle_s)
        shutdown.begin()
        self.assertGreaterEqual(shutdown.serves_until(), 100.0 + grace_s * 5 / 6)
