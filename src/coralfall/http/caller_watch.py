"""Watches a caller's connection while its request is served, and ends the request if it leaves."""

import asyncio
import typing as t

if t.TYPE_CHECKING:
    from starlette.types import Receive

#: Seconds after which the connection is watched; most reads are over by then.
_WATCH_AFTER_S = 0.02


class CallerWatch:
    """Cancels the task that made it when the caller closes its connection."""

    def __init__(self, receive: "Receive") -> None:
        self._receive = receive
        self._task = asyncio.current_task()
        self._watcher: t.Optional["asyncio.Task[None]"] = None
        self._timer = asyncio.get_running_loop().call_later(_WATCH_AFTER_S, self._start)
        self.caller_gone = False

    def _start(self) -> None:
        self._watcher = asyncio.get_running_loop().create_task(self._watch())

    async def _watch(self) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            continue
        self.caller_gone = True
        if self._task is not None:
            self._task.cancel()

    def uncancel(self) -> None:
        """Take back the cancellation once it has done its work."""
        if self._task is not None:
            self._task.uncancel()

    def stop(self) -> None:
        """Stop watching."""
        self._timer.cancel()
        if self._watcher is not None:
            self._watcher.cancel()
