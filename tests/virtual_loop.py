"""An event loop on virtual time: it never waits, and jumps to the next timer instead."""

import asyncio
import functools
import selectors
import typing as t
import unittest

from coralfall.process.clock import Clock

ResultT = t.TypeVar("ResultT")

#: Virtual seconds after which work that waits for what never comes is given up.
PATIENCE_S = 7200.0
#: Seconds that one pass of the loop takes.
_PASS_S = 1e-9


class _Selector(selectors.SelectSelector):
    """Passes virtual time where a selector would wait."""

    now = 0.0

    def select(self, timeout: t.Optional[float] = None) -> t.List[t.Any]:
        # As on a real clock, time never stands still: who asks for a moment gets it.
        self.now += _PASS_S
        ready = super().select(0)
        if ready or not timeout:
            if timeout is None and not ready:
                raise RuntimeError("deadlock: nothing is ready and no timer is set")
            return ready
        self.now += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop whose time starts at 0 and moves only when all tasks wait."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now


class LoopClock(Clock):
    """The virtual time of a loop as a clock."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def monotonic(self) -> float:
        return self._loop.time()

    def wall(self) -> float:
        return self._loop.time()


def run_virtual(main: t.Callable[[LoopClock], t.Coroutine[t.Any, t.Any, ResultT]]) -> ResultT:
    """Run ``main`` on a fresh virtual loop; it is given the loop's clock."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        work = main(LoopClock(runner.get_loop()))
        return runner.run(_within(PATIENCE_S, work))


def on_virtual_time(
    test: t.Callable[..., t.Coroutine[t.Any, t.Any, None]],
) -> t.Callable[..., None]:
    """Make a plain test method of a coroutine, run on a fresh virtual loop."""

    @functools.wraps(test)
    def run(*args: t.Any) -> None:
        run_virtual(lambda _clock: test(*args))

    return run


class VirtualTimeTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests whose loop runs on virtual time, which a slow machine does not advance."""

    def _setupAsyncioRunner(self) -> None:  # noqa: N802
        # unittest takes a loop only from Python 3.13 on.
        self._asyncioRunner = asyncio.Runner(debug=True, loop_factory=VirtualLoop)


async def _within(seconds: float, work: t.Coroutine[t.Any, t.Any, ResultT]) -> ResultT:
    # In the same task: tests count the tasks that are left.
    async with asyncio.timeout(seconds):
        return await work
