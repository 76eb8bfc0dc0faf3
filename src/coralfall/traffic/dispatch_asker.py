"""Dispatch asker: what the selection of targets needs of the client of dispatchers."""

import asyncio
import typing as t

from ..placement.dispatch import DispatchAnswer, DispatchRelease, Ticket, Verdict

if t.TYPE_CHECKING:
    from ..placement.dispatch import AskNumber, DispatchAsk
    from ..placement.targets import TargetRegistry, TargetState
    from .model import Target


class DispatchAsker(t.Protocol):
    """Asks the dispatchers of targets; ``DispatchClient`` does it over the network.

    A call that is cancelled ends with the cancellation: it cancels its ask, and releases the slot
    if it was assigned meanwhile.
    """

    def new_number(self) -> "AskNumber":
        """Returns a number that no other ask of this process has."""

    async def ask(self, target: "Target", ask: "DispatchAsk") -> t.Optional[Ticket]:
        """Asks for a slot of a target; ``None`` if no dispatcher answered in time."""

    async def wait(self, ticket: Ticket, until: float) -> t.Optional[DispatchAnswer]:
        """Returns the notice for a queued ask; ``None`` if none came and the ask was cancelled.

        :param until: monotonic time.
        """

    def release(self, ticket: Ticket, release: DispatchRelease) -> None:
        """Ends an assignment."""


class NoticeWaits:
    """Waits for the notices of queued asks, and ends the waits for targets that are withdrawn.

    :param client: asks dispatchers.
    :param targets: known targets.
    """

    def __init__(self, client: DispatchAsker, targets: "TargetRegistry") -> None:
        self._client = client
        self._targets = targets
        self._state_by_task: t.Dict["asyncio.Task[t.Any]", "TargetState"] = {}
        targets.on_usable_changed = self._end_waits_for_withdrawn

    async def wait(
        self, state: "TargetState", ticket: Ticket, until: float
    ) -> t.Optional[DispatchAnswer]:
        """Waits for a notice; ``None`` if none came in time.

        :return: ``UNAVAILABLE`` if the target was withdrawn meanwhile.
        """
        task = asyncio.current_task()
        assert task is not None
        cancelling = task.cancelling()
        self._state_by_task[task] = state
        try:
            return await self._client.wait(ticket, until)
        except asyncio.CancelledError:
            # As in asyncio.timeout(): only a cancellation of our own ends here.
            if task in self._state_by_task or task.uncancel() > cancelling:
                raise
            return DispatchAnswer(ticket.answer.number, Verdict.UNAVAILABLE)
        finally:
            self._state_by_task.pop(task, None)

    def _end_waits_for_withdrawn(self) -> None:
        for task, state in list(self._state_by_task.items()):
            if not self._targets.may_use(state):
                del self._state_by_task[task]
                task.cancel()
