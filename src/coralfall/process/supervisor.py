"""Supervisor tree: children that fail are restarted; a child that keeps failing ends its parent."""

import asyncio
import collections
import enum
import random as random_module
import signal
import traceback
import typing as t

from ..defaults import GRACE_S
from ..exceptions import CoralfallError, SupervisorError
from ..settings import RestartSettings
from . import log
from .child import Child, Sleep
from .shutdown import Shutdown

if t.TYPE_CHECKING:
    from .clock import Clock

DEFAULT_RESTART = RestartSettings()
#: Seconds that a cancelled child may take to clean up before it is given up on; fewer if the
#: process has to exit before, but never less than the second.
CANCEL_S = 5.0
MIN_CANCEL_S = 0.02


class ChildState(enum.Enum):
    """Where a child stands."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    BACKING_OFF = "backing-off"
    ENDED = "ended"


class ChildStatus(t.NamedTuple):
    """One child as an operator sees it."""

    name: str
    state: ChildState
    #: Failures within the window that counts.
    failures: int


class _Slot:
    """A child and what its supervisor knows of it."""

    def __init__(self, child: Child) -> None:
        self.child = child
        self.state = ChildState.WAITING
        self.failures: t.Deque[float] = collections.deque()
        self.started: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.keeper: t.Optional[asyncio.Task[None]] = None
        self.stopping = False


class Supervisor(Child):
    """Runs children in order, restarts those that fail, and stops them in reverse order.

    A failed child is restarted alone, after a pause that doubles with each failure. One that
    fails more than ``restart.max_failures`` times in ``restart.window_s`` ends the supervisor:
    the other children are stopped in order and :meth:`run` raises. A supervisor is a child
    itself, so trees can be built.

    :param name: stable name for logs.
    :param children: in the order of their start.
    :param clock: time for the window of failures.
    :param random: varies the pauses, so that many VMs do not restart in step.
    :param restart: how often and how soon children are restarted.
    :param grace_s: seconds that all children together may take to stop.
    :param sleep: waits that many seconds; given by tests.
    :param shutdown: when the children have to have stopped; it replaces ``grace_s``.
    :param server: the child that serves requests. Those that stop after it have the time until the
        process exits, also if it stops earlier than requests would be cut off.
    """

    def __init__(
        self,
        name: str,
        children: t.Sequence[Child],
        clock: "Clock",
        random: random_module.Random,
        restart: RestartSettings = DEFAULT_RESTART,
        grace_s: float = GRACE_S,
        sleep: Sleep = asyncio.sleep,
        shutdown: t.Optional[Shutdown] = None,
        server: t.Optional[Child] = None,
    ) -> None:
        self.name = name
        self._server = server
        self._server_stopped = False
        self._children = list(children)
        self._clock = clock
        self._random = random
        self._restart = restart
        self._shutdown = shutdown or Shutdown(grace_s, clock)
        self._sleep = sleep
        self._slots: t.List[_Slot] = []

    @property
    def statuses(self) -> t.List[ChildStatus]:
        """Every child in the order of start, those of child supervisors after their parent."""
        statuses: t.List[ChildStatus] = []
        for slot in self._slots:
            statuses.append(ChildStatus(slot.child.name, slot.state, len(slot.failures)))
            if isinstance(slot.child, Supervisor):
                statuses += slot.child.statuses
        return statuses

    async def start(self) -> None:
        """Start the children one after the other.

        :raises SupervisorError: if one keeps failing; those started are stopped again.
        """
        self._shutdown.restart()
        self._server_stopped = False
        self._slots = [_Slot(child) for child in self._children]
        # Holds what ended the supervisor, or None once it was told to stop.
        self._end: asyncio.Future[t.Optional[SupervisorError]] = (
            asyncio.get_running_loop().create_future()
        )
        self._stopping: t.Optional[asyncio.Task[None]] = None
        try:
            for slot in self._slots:
                self._launch(slot)
                either: t.Set[asyncio.Future[t.Any]] = {slot.started, self._end}
                await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
                if self._end.done():
                    await self._shut_down()
                    self._raise_cause()
                    return
        except BaseException:
            await self._cancel_children()
            raise

    async def run(self) -> None:
        """Watch the children until :meth:`stop`.

        :raises SupervisorError: if one keeps failing, after the others were stopped.
        """
        try:
            await asyncio.wait({self._end})
            await self._shut_down()
            self._raise_cause()
        finally:
            await self._cancel_children()

    async def stop(self) -> None:
        """Stop the children in reverse order; those that outlast the grace are cancelled.

        During :meth:`start`, which then returns, those that run already are stopped.
        """
        if not self._end.done():
            self._end.set_result(None)
        try:
            await self._shut_down()
        except asyncio.CancelledError:
            await self._cancel_children()
            raise

    def _raise_cause(self) -> None:
        cause = self._end.result()
        if cause is not None:
            raise cause

    def _launch(self, slot: _Slot) -> None:
        slot.keeper = asyncio.create_task(self._keep(slot), name=f"{self.name}/{slot.child.name}")
        slot.keeper.add_done_callback(self._check_keeper)

    def _check_keeper(self, keeper: "asyncio.Task[None]") -> None:
        # Only a fault of the supervisor itself ends up here; it must not go unseen.
        if keeper.cancelled() or keeper.exception() is None:
            return
        self._give_up(SupervisorError(f"{keeper.get_name()}: {keeper.exception()!r}"))

    async def _keep(self, slot: _Slot) -> None:
        """Run one child until it is stopped, done, or given up on."""
        while True:
            error = await self._attempt(slot)
            if error is None:
                slot.state = ChildState.ENDED
                return
            if slot.stopping:
                self._log_failure("child.failed-at-stop", slot, error)
                return
            slot.state = ChildState.BACKING_OFF
            self._record_failure(slot)
            if len(slot.failures) > self._restart.max_failures:
                self._log_failure("child.given-up", slot, error)
                self._give_up(self._cause_of(slot, error))
                return
            pause = self._backoff(slot)
            self._log_failure("child.failed", slot, error, restart_in_s=round(pause, 3))
            await self._sleep(pause)

    async def _attempt(self, slot: _Slot) -> t.Optional[BaseException]:
        """Start and run a child once; what it failed with, or None if it ended as it may."""
        try:
            slot.state = ChildState.STARTING
            await slot.child.start()
            slot.state = ChildState.RUNNING
            if not slot.started.done():
                slot.started.set_result(None)
            log.debug("child.started", supervisor=self.name, child=slot.child.name)
            await slot.child.run()
        except asyncio.CancelledError as error:
            if _is_being_cancelled():
                raise
            return error
        except Exception as error:
            return error
        if slot.stopping or slot.child.temporary:
            return None
        return SupervisorError("returned though nobody stopped it", child=slot.child.name)

    def _record_failure(self, slot: _Slot) -> None:
        now = self._clock.monotonic()
        slot.failures.append(now)
        while slot.failures[0] <= now - self._restart.window_s:
            slot.failures.popleft()

    def _backoff(self, slot: _Slot) -> float:
        doublings = len(slot.failures) - 1
        longest = min(self._restart.backoff_s * 2.0**doublings, self._restart.max_backoff_s)
        return longest * self._random.uniform(0.5, 1.0)

    def _cause_of(self, slot: _Slot, error: BaseException) -> SupervisorError:
        cause = SupervisorError(
            f"{self.name}: {slot.child.name} failed {len(slot.failures)} times"
            f" in {self._restart.window_s:g} s, last with {_describe(error)}",
            supervisor=self.name,
            child=slot.child.name,
        )
        cause.__cause__ = error
        return cause

    def _give_up(self, cause: SupervisorError) -> None:
        if not self._end.done():
            self._end.set_result(cause)

    def _log_failure(self, event: str, slot: _Slot, error: BaseException, **fields: t.Any) -> None:
        if not isinstance(error, CoralfallError):
            fields["traceback"] = "".join(traceback.format_exception(error))
        log.error(
            event,
            supervisor=self.name,
            child=slot.child.name,
            failures=len(slot.failures),
            error=_describe(error),
            **fields,
        )

    async def _shut_down(self) -> None:
        # Stopping and watching both wait for the one shutdown.
        if self._stopping is None:
            self._stopping = asyncio.create_task(
                self._stop_children(), name=f"{self.name}/shutdown"
            )
        await asyncio.shield(self._stopping)

    async def _stop_children(self) -> None:
        self._shutdown.begin_now()
        for slot in reversed(self._slots):
            await self._stop_child(slot, self._stop_time_s())
            if slot.child is self._server:
                self._server_stopped = True

    def _stop_time_s(self) -> float:
        """Returns the seconds that the next child may take to stop."""
        now = self._clock.monotonic()
        serve_s = self._shutdown.serves_until() - now
        if serve_s > 0 and not self._server_stopped:
            return serve_s
        # What stops after the last request has the reserve for it.
        return max(0.0, self._shutdown.exits_by() - now)

    async def _stop_child(self, slot: _Slot, grace_s: float) -> None:
        slot.stopping = True
        if slot.state is ChildState.RUNNING:
            await self._ask_to_stop(slot, grace_s)
        await self._cancel(slot)
        log.debug("child.stopped", supervisor=self.name, child=slot.child.name)

    async def _ask_to_stop(self, slot: _Slot, grace_s: float) -> None:
        try:
            async with asyncio.timeout(grace_s):
                await slot.child.stop()
        except TimeoutError:
            log.warning("child.cut-off", supervisor=self.name, child=slot.child.name)
        except Exception as error:
            self._log_failure("child.failed-at-stop", slot, error)

    async def _cancel_children(self) -> None:
        """Cancel what still runs; returns at once after an orderly stop."""
        if self._stopping is not None and not self._stopping.done():
            self._stopping.cancel()
        for slot in reversed(self._slots):
            slot.stopping = True
            await self._cancel(slot)

    async def _cancel(self, slot: _Slot) -> None:
        if slot.keeper is None or slot.keeper.done():
            slot.state = ChildState.ENDED
            return
        slot.keeper.cancel()
        await asyncio.wait({slot.keeper}, timeout=_clean_up_s(self._shutdown))
        if not slot.keeper.done():
            log.error("child.stuck", supervisor=self.name, child=slot.child.name)
            return
        slot.state = ChildState.ENDED


def _clean_up_s(shutdown: t.Optional[Shutdown]) -> float:
    """Returns the seconds that what was cancelled may take to clean up."""
    if shutdown is None:
        return CANCEL_S
    return min(CANCEL_S, max(MIN_CANCEL_S, shutdown.exit_left_s()))


async def supervise(
    root: Child, stop: t.Optional[asyncio.Event] = None, shutdown: "t.Optional[Shutdown]" = None
) -> int:
    """Run a tree until SIGTERM, SIGINT or ``stop``; the exit status of the process.

    A second SIGINT cuts the orderly stop short. A second SIGTERM does not: whatever sends it
    twice must not cost a request in flight.

    :param root: the tree.
    :param stop: set it to stop the tree from within.
    :param shutdown: begins with SIGTERM, also while the loop is busy.
    :return: 0 after an orderly stop, 1 if the tree failed or was interrupted.
    """
    stop = stop or asyncio.Event()
    interrupted = asyncio.Event()
    loop = asyncio.get_running_loop()

    def interrupt() -> None:
        if stop.is_set():
            interrupted.set()
        stop.set()

    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, interrupt)
    if shutdown is not None:
        _begin_at_signal(shutdown)
    try:
        return await _run_until(root, stop, interrupted, shutdown)
    finally:
        loop.remove_signal_handler(signal.SIGTERM)
        loop.remove_signal_handler(signal.SIGINT)


def _begin_at_signal(shutdown: "Shutdown") -> None:
    # The interpreter calls this before the loop comes to its own handler, which it wakes up for.
    signal.signal(signal.SIGTERM, lambda _number, _frame: shutdown.begin())
    signal.siginterrupt(signal.SIGTERM, False)


async def _run_until(
    root: Child,
    stop: asyncio.Event,
    interrupted: asyncio.Event,
    shutdown: "t.Optional[Shutdown]",
) -> int:
    started = asyncio.Event()
    running = asyncio.create_task(_start_and_run(root, started), name=root.name)
    beats = None if shutdown is None else asyncio.create_task(shutdown.run_beats())
    try:
        await _wait_for_either(running, stop)
        if running.done():
            return _status_of(root, running)
        if started.is_set() or isinstance(root, Supervisor):
            # Some children of a supervisor run, and may serve, while others start.
            return await _stop_root(root, interrupted, shutdown)
        return 0
    finally:
        running.cancel()
        if beats is not None:
            beats.cancel()
        await asyncio.wait({running}, timeout=_clean_up_s(shutdown))


async def _start_and_run(root: Child, started: asyncio.Event) -> None:
    await root.start()
    started.set()
    await root.run()


async def _stop_root(
    root: Child, interrupted: asyncio.Event, shutdown: "t.Optional[Shutdown]"
) -> int:
    fields: t.Dict[str, t.Any] = {}
    if shutdown is not None:
        shutdown.begin_now()
        fields["age_ms"] = round(shutdown.age_s() * 1000)
        fields["left_ms"] = round(shutdown.left_s() * 1000)
    log.info("process.stopping", root=root.name, **fields)
    stopping = asyncio.create_task(root.stop(), name=f"{root.name}/stop")
    try:
        await _wait_for_either(stopping, interrupted)
        if not stopping.done():
            log.warning("process.interrupted", root=root.name)
            return 1
        return _status_of(root, stopping)
    finally:
        stopping.cancel()
        await asyncio.wait({stopping}, timeout=_clean_up_s(shutdown))


async def _wait_for_either(task: "asyncio.Task[None]", event: asyncio.Event) -> None:
    waiter = asyncio.create_task(event.wait())
    try:
        await asyncio.wait({task, waiter}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        waiter.cancel()


def _status_of(root: Child, task: "asyncio.Task[None]") -> int:
    error = asyncio.CancelledError() if task.cancelled() else task.exception()
    if error is None:
        return 0
    log.error("process.failed", root=root.name, error=_describe(error))
    return 1


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"


def _is_being_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
