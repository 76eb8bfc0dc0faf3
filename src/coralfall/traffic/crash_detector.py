"""Tells a target whose process crashed during requests from one that only lost a connection.

In both cases a connection ends without a response. The next attempt to connect to the target shows
which it was: if nothing listens any more, its process is gone, and each request that was in flight
there may be the cause. If no request connects at once, the detector opens a connection itself.
"""

import asyncio
import typing as t

import msgspec

from .. import defaults
from ..exceptions import TargetNotRunError
from ..process import log
from .pool import ConnectResult

if t.TYPE_CHECKING:
    from ..placement.fingerprint import CallerDigest, Fingerprint
    from ..placement.targets import TargetRegistry, TargetState
    from ..process.clock import Clock
    from .model import Target
    from .pool import ConnectAttempt, ConnectionPool

#: Seconds to wait for a request to open the next connection; a retry at the same target does so at
#: once.
_PASSIVE_WAIT_S = 0.03
#: Seconds for which further interrupted requests are collected once the process is known to be
#: gone: its connections end within a millisecond of each other, but are read one by one.
_COLLECT_S = 0.02
#: Seconds after a crash during which further connections that end are attributed to it.
_SAME_CRASH_WINDOW_S = 2.0
#: Number of requests that a log line lists.
_MAX_LOGGED_REQUESTS = 8


class InterruptedRequest(msgspec.Struct, frozen=True):
    """A request in flight at a target whose connection ended."""

    fingerprint: "Fingerprint"
    caller: "CallerDigest"


class Crash(msgspec.Struct, frozen=True):
    """The end of a target's process, with the requests of this entry that were in flight there."""

    target: "Target"
    requests: t.Sequence[InterruptedRequest]


class _Probe(t.NamedTuple):
    """An inquiry whether a process still listens on an address."""

    requested_at: float
    listening: "asyncio.Future[bool]"


class CrashDetector:
    """Detects crashes of targets from connections that end during requests.

    :param targets: state of the targets.
    :param pool: opens connections to targets.
    :param clock: tells the time.
    """

    def __init__(self, targets: "TargetRegistry", pool: "ConnectionPool", clock: "Clock") -> None:
        self._targets = targets
        self._pool = pool
        self._clock = clock
        self._interrupted: t.Dict["TargetState", t.List[InterruptedRequest]] = {}
        self._crashed_at: t.Dict["TargetState", float] = {}
        self._probes: t.Dict[str, _Probe] = {}
        self._tasks: t.Set["asyncio.Task[None]"] = set()
        #: Called for each crash.
        self.on_crash: t.Callable[[Crash], None] = lambda crash: None
        #: Tells whether a target that refused a connection is down, or just not reached from here.
        self.confirm_down: t.Callable[["Target"], t.Awaitable[bool]] = _confirm
        pool.connect_listeners.append(self._note_connect_attempt)

    def note_interrupted(self, state: "TargetState", request: InterruptedRequest) -> None:
        """Records that a connection ended before the response to a request was complete."""
        if not self._is_unplanned(state):
            return
        if state in self._crashed_at:
            self._report(state, [request])
            return
        interrupted = self._interrupted.setdefault(state, [])
        interrupted.append(request)
        if len(interrupted) == 1:
            task = asyncio.create_task(self._investigate(state))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def note_crashed(self, state: "TargetState", request: InterruptedRequest) -> None:
        """Records a request during which the target crashed, as the entry that carried it tells."""
        if self._is_unplanned(state):
            self._crashed_at[state] = self._clock.monotonic()
            self._report(state, [request])

    def drop_expired(self) -> None:
        """Drops crashes to which no further connection can be attributed."""
        since = self._clock.monotonic() - _SAME_CRASH_WINDOW_S
        self._crashed_at = {state: at for state, at in self._crashed_at.items() if at > since}

    def close(self) -> None:
        """Cancels all pending probes."""
        for task in self._tasks:
            task.cancel()

    def _is_unplanned(self, state: "TargetState") -> bool:
        """Whether the target's end is neither planned nor that of a lifetime already replaced."""
        target = state.target
        is_listed = self._targets.by_id.get(target.target_id) is state
        return is_listed and not target.leaving

    async def _investigate(self, state: "TargetState") -> None:
        is_down = await self.is_down(state)
        if is_down:
            await asyncio.sleep(_COLLECT_S)
            is_down = await self.confirm_down(state.target)
        requests = self._interrupted.pop(state)
        if is_down:
            self._crashed_at[state] = self._clock.monotonic()
            self._report(state, requests)

    async def is_down(self, state: "TargetState") -> bool:
        """Whether nothing listens at the address of a target whose connection ended."""
        address = state.target.address
        listening = asyncio.get_running_loop().create_future()
        probe = _Probe(self._clock.monotonic(), listening)
        probe = self._probes.setdefault(address, probe)
        try:
            await asyncio.wait({probe.listening}, timeout=_PASSIVE_WAIT_S)
            if not probe.listening.done():
                await self._pool.probe(state.target, defaults.TARGET_CONNECT_S)
        except TargetNotRunError as error:
            log.debug("target.not-reached", target=state.target.target_id, error=error.message)
        finally:
            self._probes.pop(address, None)
        return probe.listening.done() and not probe.listening.result()

    def _note_connect_attempt(self, attempt: "ConnectAttempt") -> None:
        probe = self._probes.get(attempt.target.address)
        if probe is None or probe.listening.done() or attempt.result is ConnectResult.FAILED:
            return
        is_listening = attempt.result is ConnectResult.CONNECTED
        if is_listening and attempt.started_at < probe.requested_at:
            # The connection may have been accepted just before the process ended.
            return
        probe.listening.set_result(is_listening)

    def _report(self, state: "TargetState", requests: t.Sequence[InterruptedRequest]) -> None:
        target = state.target
        log.info(
            "target.crashed",
            target=target.target_id,
            service=target.service,
            address=target.address,
            in_hand=len(requests),
            requests=",".join(
                [str(request.fingerprint) for request in requests[:_MAX_LOGGED_REQUESTS]]
            ),
        )
        self.on_crash(Crash(target, requests))


async def _confirm(_target: "Target") -> bool:
    return True
