"""Dispatch asker: what the selection of targets needs of the client of dispatchers."""

import asyncio
import typing as t

from ..placement.dispatch import AttemptOutcome, DispatchAnswer, DispatchRelease, Ticket, Verdict

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
        self._state_by_wait: t.Dict["asyncio.Future[t.Any]", "TargetState"] = {}
        targets.on_usable_changed = self._end_waits_for_withdrawn

    async def wait(
        self, state: "TargetState", ticket: Ticket, until: float
    ) -> t.Optional[DispatchAnswer]:
        """Waits for a notice; ``None`` if none came in time.

        :return: ``UNAVAILABLE`` if the target was withdrawn meanwhile.
        """
        wait = asyncio.ensure_future(self._client.wait(ticket, until))
        self._state_by_wait[wait] = state
        try:
            return await wait
        except asyncio.CancelledError:
            if wait not in self._state_by_wait and not _is_cancelling():
                return DispatchAnswer(ticket.answer.number, Verdict.UNAVAILABLE)
            self._release_unused(wait, ticket)
            raise
        finally:
            self._state_by_wait.pop(wait, None)

    def _release_unused(
        self, wait: "asyncio.Future[t.Optional[DispatchAnswer]]", ticket: Ticket
    ) -> None:
        """Releases a slot that was assigned in the same moment in which the caller left."""
        if not wait.done() or wait.cancelled() or wait.exception() is not None:
            return
        answer = wait.result()
        if answer is not None and answer.verdict is Verdict.ASSIGNED:
            release_unsent(self._client, Ticket(ticket.dispatcher_id, answer))

    def _end_waits_for_withdrawn(self) -> None:
        for wait, state in list(self._state_by_wait.items()):
            if not self._targets.may_use(state) and wait.cancel():
                del self._state_by_wait[wait]


def release_unsent(client: DispatchAsker, ticket: Ticket) -> None:
    """Ends an assignment with which nothing was sent."""
    client.release(ticket, DispatchRelease(ticket.answer.number, AttemptOutcome.CANCELLED, 0))


def _is_cancelling() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
