"""Tests of supervisor: restarts, giving up, orderly stops, and nothing left behind."""

import asyncio
import io
import os
import random
import signal
import typing as t
import unittest
from unittest import mock

from parameterized import parameterized

from coralfall.exceptions import SupervisorError
from coralfall.process import log, supervisor
from coralfall.process.child import PERIODIC_JITTER, Child, FunctionChild, PeriodicChild
from coralfall.process.clock import ManualClock
from coralfall.process.supervisor import ChildState, Supervisor, supervise
from coralfall.settings import LogSettings, RestartSettings

#: Bound that only keeps a broken test from hanging.
PATIENCE_S = 20.0
RESTART = RestartSettings(max_failures=3, window_s=60, backoff_s=1, max_backoff_s=4)

Step = t.Union[str, BaseException]


class Probe(Child):
    """A child that notes what happens to it, and whose runs go by a script.

    :param script: for each run an error to raise, ``return``, or ``wait``; then it waits.
    """

    def __init__(
        self,
        name: str,
        events: t.List[str],
        script: t.Sequence[Step] = (),
        temporary: bool = False,
        stop: Step = "return",
        start: Step = "return",
    ) -> None:
        self.name = name
        self.temporary = temporary
        self._events = events
        self._script = list(script)
        self._stop = stop
        self._start = start

    async def start(self) -> None:
        self._events.append(f"start {self.name}")
        await self._play(self._start)

    async def run(self) -> None:
        try:
            await self._play(self._script.pop(0) if self._script else "wait")
        finally:
            self._events.append(f"end {self.name}")

    async def stop(self) -> None:
        self._events.append(f"stop {self.name}")
        await self._play(self._stop)

    async def _play(self, step: Step) -> None:
        if isinstance(step, BaseException):
            raise step
        if step == "wait":
            await asyncio.Event().wait()
        if step == "ignore cancel":
            with unittest.TestCase().assertRaises(asyncio.CancelledError):
                await asyncio.Event().wait()
            await asyncio.sleep(0.1)


class TreeTest(unittest.IsolatedAsyncioTestCase):
    """Base with virtual time, a log to read, and a check that no task is left."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.events: t.List[str] = []
        self.pauses: t.List[float] = []
        self.stream = io.StringIO()
        log.configure(LogSettings(level="debug"), self.stream)
        self.addCleanup(log.configure, LogSettings(level="error"), io.StringIO())

    async def asyncTearDown(self) -> None:
        left = asyncio.all_tasks() - {asyncio.current_task()}
        self.assertEqual(left, set())

    async def sleep(self, seconds: float) -> None:
        self.pauses.append(seconds)
        self.clock.advance(seconds)
        await asyncio.sleep(0)

    def tree(
        self, children: t.Sequence[Child], name: str = "root", grace_s: float = 30.0
    ) -> Supervisor:
        return Supervisor(
            name, children, self.clock, random.Random(1), RESTART, grace_s, self.sleep
        )

    async def settle(self) -> None:
        for _ in range(200):
            await asyncio.sleep(0)

    async def run_until_settled(self, tree: Child) -> "asyncio.Task[None]":
        async def start_and_run() -> None:
            await tree.start()
            await tree.run()

        running = asyncio.create_task(start_and_run())
        await self.settle()
        return running

    async def end(self, tree: Child, running: "asyncio.Task[None]") -> None:
        """Stop a tree as a parent does."""
        if not running.done():
            await asyncio.wait_for(tree.stop(), PATIENCE_S)
        running.cancel()
        await asyncio.wait({running})

    def logged(self, event: str) -> t.List[str]:
        lines = self.stream.getvalue().splitlines()
        return [line for line in lines if f"event={event} " in line]


class RestartTest(TreeTest):
    @parameterized.expand(
        [
            ("raises", ValueError("bad"), False, "ValueError: bad"),
            ("returns", "return", False, "returned though nobody stopped it"),
            ("cancels itself", asyncio.CancelledError(), False, "CancelledError"),
            ("temporary raises", ValueError("bad"), True, "ValueError: bad"),
        ]
    )
    async def test_a_failed_child_is_restarted_alone(
        self, _name: str, step: Step, temporary: bool, cause: str
    ) -> None:
        bad = Probe("bad", self.events, [step], temporary)
        tree = self.tree([Probe("good", self.events), bad])
        running = await self.run_until_settled(tree)
        self.assertEqual(self.events, ["start good", "start bad", "end bad", "start bad"])
        self.assertIn(cause, self.logged("child.failed")[0])
        await self.end(tree, running)

    async def test_a_temporary_child_may_return(self) -> None:
        tree = self.tree([Probe("brief", self.events, ["return"], temporary=True)])
        running = await self.run_until_settled(tree)
        self.assertEqual(tree.statuses, [("brief", ChildState.ENDED, 0)])
        self.assertEqual(self.logged("child.failed"), [])
        await self.end(tree, running)

    async def test_a_child_that_fails_to_start_holds_up_those_after_it(self) -> None:
        bad = Probe("bad", self.events, start=ValueError("bad"))
        with self.assertRaises(SupervisorError):
            await self.tree([Probe("first", self.events), bad, Probe("last", self.events)]).start()
        self.assertEqual(self.events.count("start bad"), RESTART.max_failures + 1)
        self.assertNotIn("start last", self.events)
        self.assertEqual(self.events[-2:], ["stop first", "end first"])

    async def test_pauses_double_up_to_the_longest_and_vary(self) -> None:
        settings = RestartSettings(max_failures=6, window_s=600, backoff_s=1, max_backoff_s=8)
        bad = Probe("bad", self.events, [ValueError()] * 6)
        tree = Supervisor("root", [bad], self.clock, random.Random(1), settings, 30, self.sleep)
        running = await self.run_until_settled(tree)
        for pause, longest in zip(self.pauses, [1, 2, 4, 8, 8, 8], strict=True):
            self.assertTrue(longest / 2 <= pause <= longest, self.pauses)
        self.assertEqual(len(set(self.pauses)), len(self.pauses))
        await self.end(tree, running)

    async def test_failures_before_the_window_are_forgotten(self) -> None:
        bad = Probe("bad", self.events, [ValueError()] * 20)
        tree = self.tree([bad])

        async def rarely(seconds: float) -> None:
            await self.sleep(RESTART.window_s)

        tree._sleep = rarely
        running = await self.run_until_settled(tree)
        self.assertEqual(tree.statuses, [("bad", ChildState.RUNNING, 1)])
        await self.end(tree, running)


class GiveUpTest(TreeTest):
    async def test_a_child_that_keeps_failing_ends_its_parent_in_order(self) -> None:
        children = [
            Probe("first", self.events),
            Probe("bad", self.events, [ValueError("bad")] * 9),
            Probe("last", self.events),
        ]
        running = await self.run_until_settled(self.tree(children))
        with self.assertRaises(SupervisorError) as caught:
            await asyncio.wait_for(running, PATIENCE_S)
        self.assertIsInstance(caught.exception.__cause__, ValueError)
        self.assertEqual(self.events.count("start bad"), RESTART.max_failures + 1)
        ends = ["stop last", "end last", "stop first", "end first"]
        self.assertEqual(self.events[-4:], ends)
        self.assertIn("ValueError: bad", self.logged("child.given-up")[0])

    async def test_a_parent_restarts_the_subtree_and_then_gives_up_too(self) -> None:
        bad = Probe("bad", self.events, [ValueError("bad")] * 99)
        inner = self.tree([Probe("good", self.events), bad], name="inner")
        status = await asyncio.wait_for(supervise(self.tree([inner])), PATIENCE_S)
        self.assertEqual(status, 1)
        lives = RESTART.max_failures + 1
        self.assertEqual(self.events.count("start bad"), lives * lives)
        self.assertEqual(self.events.count("end good"), lives)
        self.assertIn("ValueError: bad", self.logged("process.failed")[0])

    async def test_a_fault_of_the_supervisor_itself_is_not_silent(self) -> None:
        tree = self.tree([Probe("bad", self.events, [ValueError()])])
        with mock.patch.object(tree, "_backoff", side_effect=ZeroDivisionError):
            running = await self.run_until_settled(tree)
            with self.assertRaisesRegex(SupervisorError, "ZeroDivisionError"):
                await asyncio.wait_for(running, PATIENCE_S)


class StopTest(TreeTest):
    async def test_children_start_in_order_and_stop_in_reverse(self) -> None:
        inner = self.tree([Probe("b", self.events), Probe("c", self.events)], name="inner")
        tree = self.tree([Probe("a", self.events), inner, Probe("d", self.events)])
        running = await self.run_until_settled(tree)
        self.assertEqual(self.events, ["start a", "start b", "start c", "start d"])
        self.events.clear()
        await self.end(tree, running)
        expected = "stop d,end d,stop c,end c,stop b,end b,stop a,end a"
        self.assertEqual(self.events, expected.split(","))

    @parameterized.expand(
        [
            ("hangs", "wait", "child.cut-off"),
            ("raises", ValueError("bad"), "child.failed-at-stop"),
        ]
    )
    async def test_a_child_that_does_not_stop_does_not_hold_up_others(
        self, _name: str, stop: Step, event: str
    ) -> None:
        tree = self.tree(
            [Probe("a", self.events), Probe("b", self.events, stop=stop)], grace_s=0.05
        )
        running = await self.run_until_settled(tree)
        await self.end(tree, running)
        self.assertEqual(self.events[-4:], ["stop b", "end b", "stop a", "end a"])
        self.assertIn("child=b", self.logged(event)[0])

    async def test_a_child_that_ignores_its_cancellation_is_named(self) -> None:
        tree = self.tree([Probe("a", self.events), Probe("b", self.events, ["ignore cancel"])])
        running = await self.run_until_settled(tree)
        with mock.patch.object(supervisor, "CANCEL_S", 0.01):
            await self.end(tree, running)
        self.assertIn("child=b", self.logged("child.stuck")[0])
        self.assertIn("end a", self.events)

    async def test_a_child_that_waits_to_be_restarted_is_not_asked_to_stop(self) -> None:
        tree = self.tree([Probe("bad", self.events, [ValueError()])])

        async def long_sleep(seconds: float) -> None:
            await asyncio.Event().wait()

        tree._sleep = long_sleep
        running = await self.run_until_settled(tree)
        self.assertEqual(tree.statuses, [("bad", ChildState.BACKING_OFF, 1)])
        await self.end(tree, running)
        self.assertNotIn("stop bad", self.events)

    @parameterized.expand([("run", False), ("start", True)])
    async def test_cancelling_ends_every_child(self, _name: str, while_starting: bool) -> None:
        last_start: Step = "wait" if while_starting else "return"
        inner = self.tree([Probe("b", self.events)], name="inner")
        last = Probe("c", self.events, start=last_start)
        tree = self.tree([Probe("a", self.events), inner, last])

        task = await self.run_until_settled(tree)
        task.cancel()
        await asyncio.wait({task})
        self.assertTrue(task.cancelled())
        ends = [event for event in self.events if event.startswith("end")]
        self.assertEqual(
            ends, ["end b", "end a"] if while_starting else ["end c", "end b", "end a"]
        )


class SuperviseTest(TreeTest):
    @parameterized.expand(
        [
            ("SIGTERM", [signal.SIGTERM], "return", 0),
            ("SIGTERM twice", [signal.SIGTERM, signal.SIGTERM], "return", 0),
            ("SIGINT", [signal.SIGINT], "return", 0),
            ("SIGINT twice", [signal.SIGINT, signal.SIGINT], "wait", 1),
        ]
    )
    async def test_signals(
        self, _name: str, signals: t.List[signal.Signals], stop: Step, status: int
    ) -> None:
        tree = self.tree([Probe("a", self.events, stop=stop)])
        task = asyncio.create_task(supervise(tree))
        await self.settle()
        for number in signals:
            os.kill(os.getpid(), number)
        self.assertEqual(await asyncio.wait_for(task, PATIENCE_S), status)
        self.assertEqual(self.events, ["start a", "stop a", "end a"])

    async def test_stop_from_within(self) -> None:
        stop = asyncio.Event()
        task = asyncio.create_task(supervise(self.tree([Probe("a", self.events)]), stop))
        await self.settle()
        stop.set()
        self.assertEqual(await asyncio.wait_for(task, PATIENCE_S), 0)

    async def test_stop_while_starting(self) -> None:
        stop = asyncio.Event()
        tree = self.tree([Probe("a", self.events), Probe("b", self.events, start="wait")])
        task = asyncio.create_task(supervise(tree, stop))
        await self.settle()
        stop.set()
        self.assertEqual(await asyncio.wait_for(task, PATIENCE_S), 0)
        self.assertIn("end a", self.events)

    async def test_children_that_run_while_others_start_are_asked_to_stop(self) -> None:
        """A server that was open before all parts had started cut off its requests."""
        tree = self.tree(
            [
                Probe("a", self.events),
                Probe("b", self.events, start="wait"),
                Probe("c", self.events),
            ]
        )
        task = asyncio.create_task(supervise(tree))
        await self.settle()
        os.kill(os.getpid(), signal.SIGTERM)
        self.assertEqual(await asyncio.wait_for(task, PATIENCE_S), 0)
        self.assertEqual(self.events, ["start a", "start b", "stop a", "end a"])

    async def test_stop_before_the_start(self) -> None:
        stop = asyncio.Event()
        stop.set()
        tree = self.tree([Probe("a", self.events), Probe("b", self.events)])
        self.assertEqual(await asyncio.wait_for(supervise(tree, stop), PATIENCE_S), 0)
        for name in ("a", "b"):
            self.assertEqual(f"start {name}" in self.events, f"end {name}" in self.events)


class ChildTest(TreeTest):
    async def test_a_function_is_called_again_for_each_restart(self) -> None:
        calls: t.List[int] = []

        async def work() -> None:
            calls.append(1)
            if len(calls) < 3:
                raise ValueError
            await asyncio.Event().wait()

        tree = self.tree([FunctionChild("work", work)])
        running = await self.run_until_settled(tree)
        self.assertEqual(len(calls), 3)
        await self.end(tree, running)

    async def test_a_failed_round_is_logged_and_counted_and_the_next_one_comes(self) -> None:
        rounds = iter([None, ValueError("bad"), ValueError("bad"), None])
        metrics = mock.Mock()

        async def work() -> None:
            step = next(rounds, asyncio.CancelledError())
            if step is not None:
                raise step

        child = PeriodicChild("poll", work, 2.0, random.Random(1), metrics, self.sleep)
        with self.assertRaises(asyncio.CancelledError):
            await child.run()
        self.assertEqual(len(self.logged("periodic.failed")), 2)
        self.assertEqual(child.failures_in_row, 0)
        self.assertIn("failures=2", self.logged("periodic.recovered")[0])
        self.assertEqual(metrics.count.mock_calls, [mock.call("periodic.poll.failed")] * 2)
        self.assertEqual(len(self.pauses), 4)
        for pause in self.pauses:
            self.assertTrue(abs(pause - 2.0) <= 2.0 * PERIODIC_JITTER, self.pauses)
        self.assertEqual(len(set(self.pauses)), 4)


if __name__ == "__main__":
    unittest.main()
