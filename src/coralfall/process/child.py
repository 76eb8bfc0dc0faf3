"""What a supervisor runs: a child with a start, a run and an orderly stop."""

import abc
import asyncio
import typing as t

from . import log

if t.TYPE_CHECKING:
    import random as random_module

    from .metrics import Metrics

Work = t.Callable[[], t.Awaitable[None]]
Sleep = t.Callable[[float], t.Awaitable[None]]

#: Share of its interval by which a periodic child's pauses vary.
PERIODIC_JITTER = 0.1


class Child(abc.ABC):
    """Something that runs until it is stopped. Write your own::

        class Poller(Child):
            name = "poller"

            async def run(self) -> None:
                while True:
                    await self._poll()

    A supervisor calls :meth:`start`, then :meth:`run` at once. If either raises, or ``run``
    returns though nobody stopped the child, that is a failure and both are called again later,
    on the same object. In the end it calls :meth:`stop`, then cancels ``run``.
    """

    #: Stable name for logs.
    name: str = "child"
    #: Whether ``run`` may return by itself once its work is done.
    temporary: bool = False

    async def start(self) -> None:  # noqa: B027
        """Get ready; children further down start when this returns."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Work until cancelled, and clean up in ``finally``."""

    async def stop(self) -> None:  # noqa: B027
        """Finish what was begun, take on nothing new, and return when ``run`` may be cancelled.

        It is only called while ``run`` is running, and is cancelled when the grace is over.
        """


class FunctionChild(Child):
    """Runs a coroutine function as a child; it is cancelled to stop it.

    :param name: stable name for logs.
    :param work: called again for each restart.
    :param temporary: whether it may return by itself.
    """

    def __init__(self, name: str, work: Work, temporary: bool = False) -> None:
        self.name = name
        self.temporary = temporary
        self._work = work

    async def run(self) -> None:
        await self._work()


class PeriodicChild(Child):
    """Runs a coroutine function again and again, with pauses between.

    An error of one round is logged and counted, and the next round comes at its time: what is
    done periodically is mostly a call that may fail for a while.

    :param name: stable name for logs and metrics.
    :param work: one round; rounds never overlap.
    :param interval_s: seconds between the end of a round and the start of the next.
    :param random: if given, pauses vary by :data:`PERIODIC_JITTER`, so that many VMs started
        together spread out.
    :param metrics: counts failed rounds as ``periodic.<name>.failed``.
    :param sleep: waits that many seconds; given by tests.
    """

    def __init__(
        self,
        name: str,
        work: Work,
        interval_s: float,
        random: "t.Optional[random_module.Random]" = None,
        metrics: "t.Optional[Metrics]" = None,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        self.name = name
        self._work = work
        self._interval_s = interval_s
        self._random = random
        self._metrics = metrics
        self._sleep = sleep
        #: Rounds that failed since the last one that did not.
        self.failures_in_row = 0

    async def run(self) -> None:
        while True:
            await self._round()
            await self._sleep(self._pause())

    async def _round(self) -> None:
        try:
            await self._work()
        except Exception as error:
            self.failures_in_row += 1
            log.warning(
                "periodic.failed", child=self.name, error=error, in_row=self.failures_in_row
            )
            if self._metrics is not None:
                self._metrics.count(f"periodic.{self.name}.failed")
            return
        if self.failures_in_row:
            log.info("periodic.recovered", child=self.name, failures=self.failures_in_row)
        self.failures_in_row = 0

    def _pause(self) -> float:
        if self._random is None:
            return self._interval_s
        return self._interval_s * self._random.uniform(1 - PERIODIC_JITTER, 1 + PERIODIC_JITTER)
