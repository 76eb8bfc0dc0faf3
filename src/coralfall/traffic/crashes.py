"""Crashes: tells a target that went down under its requests from one that lost an answer.

Either way a connection ends without an answer. The next connection to the target tells: where
nothing listens any more, its process is gone, and each request that it had in hand may be why. If
no request opens one at once, it is opened for that.
"""

import asyncio
import typing as t

import msgspec

from .. import defaults
from ..exceptions import TargetNotRunError
from ..process import log

if t.TYPE_CHECKING:
    from ..placement.fingerprint import CallerDigest, Fingerprint
    from ..placement.targets import TargetRegistry, TargetState
    from ..process.clock import Clock
    from .model import Target
    from .pool import ConnectionPool, Opening

#: Seconds for which a request may open the connection that tells; a second send to the same target
#: does so at once.
_WAIT_S = 0.03
#: Seconds for which connections that ended with a target's process are gathered once it is known
#: to be gone: they end within a millisecond of each other, but are read one by one.
_GATHER_S = 0.02
#: Seconds after a crash for which a connection that ends belongs to it, too.
_SAME_CRASH_S = 2.0
#: Most requests that a line names.
_NAMED = 8


class CutOff(msgspec.Struct, frozen=True):
    """A request that a target had in hand as its connection ended."""

    fingerprint: "Fingerprint"
    caller: "CallerDigest"


class Crash(msgspec.Struct, frozen=True):
    """A target's process that ended, and what this entry had in hand there."""

    target: "Target"
    requests: t.Sequence[CutOff]


class _Question(t.NamedTuple):
    """Whether anything listens at an address still."""

    asked_at: float
    listening: "asyncio.Future[bool]"


class CrashWatch:
    """Finds out whether targets went down.

    :param targets: what is known of them.
    :param pool: opens connections to them.
    :param clock: tells the time.
    """

    def __init__(self, targets: "TargetRegistry", pool: "ConnectionPool", clock: "Clock") -> None:
        self._targets = targets
        self._pool = pool
        self._clock = clock
        self._cut_off: t.Dict["TargetState", t.List[CutOff]] = {}
        self._crashed_at: t.Dict["TargetState", float] = {}
        self._questions: t.Dict[str, _Question] = {}
        self._tasks: t.Set["asyncio.Task[None]"] = set()
        #: Called with each crash.
        self.on_crash: t.Callable[[Crash], None] = lambda crash: None
        pool.on_opening = self._note_opening

    def cut_off(self, state: "TargetState", request: CutOff) -> None:
        """Note that a connection ended with a request in hand, whose answer was not whole."""
        if not self._may_crash(state):
            return
        if state in self._crashed_at:
            self._report(state, [request])
            return
        waiting = self._cut_off.setdefault(state, [])
        waiting.append(request)
        if len(waiting) == 1:
            task = asyncio.create_task(self._ask(state))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def forget(self) -> None:
        """Let go of crashes that nothing belongs to any more."""
        since = self._clock.monotonic() - _SAME_CRASH_S
        self._crashed_at = {state: at for state, at in self._crashed_at.items() if at > since}

    def close(self) -> None:
        """Ask no more."""
        for task in self._tasks:
            task.cancel()

    def _may_crash(self, state: "TargetState") -> bool:
        """Whether its end is no planned one, and it is no lifetime that is over."""
        target = state.target
        listed = self._targets.by_id.get(target.target_id) is state
        return listed and not target.leaving

    async def _ask(self, state: "TargetState") -> None:
        down = await self._is_down(state)
        if down:
            await asyncio.sleep(_GATHER_S)
        requests = self._cut_off.pop(state)
        if down:
            self._crashed_at[state] = self._clock.monotonic()
            self._report(state, requests)

    async def _is_down(self, state: "TargetState") -> bool:
        address = state.target.address
        listening = asyncio.get_running_loop().create_future()
        question = _Question(self._clock.monotonic(), listening)
        question = self._questions.setdefault(address, question)
        try:
            await asyncio.wait({question.listening}, timeout=_WAIT_S)
            if not question.listening.done():
                await self._pool.check(state.target, defaults.TARGET_CONNECT_S)
        except TargetNotRunError as error:
            log.debug("target.not-reached", target=state.target.target_id, error=error.message)
        finally:
            self._questions.pop(address, None)
        return question.listening.done() and not question.listening.result()

    def _note_opening(self, opening: "Opening") -> None:
        question = self._questions.get(opening.address)
        if question is None or question.listening.done():
            return
        if opening.listening and opening.began < question.asked_at:
            # Perhaps it was accepted just before the target went down.
            return
        question.listening.set_result(opening.listening)

    def _report(self, state: "TargetState", requests: t.Sequence[CutOff]) -> None:
        target = state.target
        log.info(
            "target.crashed",
            target=target.target_id,
            service=target.service,
            address=target.address,
            in_hand=len(requests),
            requests=",".join([str(request.fingerprint) for request in requests[:_NAMED]]),
        )
        self.on_crash(Crash(target, requests))
