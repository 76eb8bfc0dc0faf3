"""FIFO queue of the requests of one service that wait for a slot."""

import asyncio
import typing as t


class WaitQueue:
    """The waiting requests, each with an event that is set when it is its turn to try again."""

    def __init__(self) -> None:
        self._events: t.List[asyncio.Event] = []

    def __len__(self) -> int:
        return len(self._events)

    def join(self) -> asyncio.Event:
        """Adds a request at the end of the queue, and returns its event."""
        event = asyncio.Event()
        self._events.append(event)
        return event

    def leave(self, event: asyncio.Event) -> None:
        """Removes a request, and wakes the first of the others."""
        self._events.remove(event)
        self.wake_first()

    def is_first(self, event: asyncio.Event) -> bool:
        """Returns whether the request of ``event`` is the oldest."""
        return bool(self._events) and self._events[0] is event

    def wake_first(self) -> None:
        """Wakes the oldest request; when it has a slot, it leaves and wakes the next."""
        if self._events:
            self._events[0].set()

    def wake_after(self, event: asyncio.Event) -> None:
        """Wakes the request behind that of ``event``."""
        place = self._events.index(event) + 1
        if place < len(self._events):
            self._events[place].set()


async def wait_for_turn(event: asyncio.Event, seconds: float) -> bool:
    """Returns whether a request's event was set within ``seconds``."""
    if event.is_set():
        return True
    try:
        async with asyncio.timeout(max(0.0, seconds)):
            await event.wait()
    except TimeoutError:
        return False
    return True
