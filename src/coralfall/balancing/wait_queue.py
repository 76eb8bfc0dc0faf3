"""Waiters: requests of one service that wait for a slot, served in the order in which they came."""

import asyncio
import typing as t


class WaitQueue:
    """The waiting requests, each by an event that is set when its turn to look has come."""

    def __init__(self) -> None:
        self._events: t.List[asyncio.Event] = []

    def __len__(self) -> int:
        return len(self._events)

    def join(self) -> asyncio.Event:
        """Wait behind all others."""
        event = asyncio.Event()
        self._events.append(event)
        return event

    def leave(self, event: asyncio.Event) -> None:
        """Wait no longer; the next may look."""
        self._events.remove(event)
        self.wake_first()

    def wake_first(self) -> None:
        """Let the oldest look for a slot; when it has one, the next will."""
        if self._events:
            self._events[0].set()

    def wake_after(self, event: asyncio.Event) -> None:
        """Let the one behind ``event`` look."""
        place = self._events.index(event) + 1
        if place < len(self._events):
            self._events[place].set()


async def wait_for_turn(event: asyncio.Event, seconds: float) -> bool:
    """Whether it was a waiter's turn within ``seconds``."""
    if event.is_set():
        return True
    try:
        async with asyncio.timeout(max(0.0, seconds)):
            await event.wait()
    except TimeoutError:
        return False
    return True
