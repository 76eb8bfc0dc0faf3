"""Writes log lines to a descriptor without ever waiting for its reader.

Lines gather in a bounded buffer and leave in pieces that the kernel surely takes whole. A reader
that stalls costs lines, never time: the newest are dropped, counted, and told of once there is
room. So is what goes beyond a bound on lines a second; warnings and errors have a part of that
bound to themselves.
"""

import asyncio
import collections
import os
import select
import time
import typing as t

#: Lines that are kept for a reader that stalls, in bytes.
MAX_WAITING_BYTES = 1024 * 1024
#: Lines in a second beyond which they are dropped, and what warnings and errors have on top.
LINES_PER_S = 500
URGENT_LINES_PER_S = 100
#: Seconds of lines that may come at once.
_BURST_S = 2.0
#: Seconds between two tries while the reader stalls.
_RETRY_S = 0.1
#: Seconds for which the end of the process waits for the reader.
_CLOSE_S = 0.5

Told = t.Callable[[int], str]


class _Rate:
    """Lets a number of lines through in a second."""

    def __init__(self, per_s: float, now: float) -> None:
        self._per_s = per_s
        self._left = per_s * _BURST_S
        self._at = now

    def take(self, now: float) -> bool:
        self._left = min(self._per_s * _BURST_S, self._left + (now - self._at) * self._per_s)
        self._at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True


class LineWriter:
    """A bounded buffer of lines before a descriptor.

    :param descriptor: an open pipe, file or terminal.
    :param told: makes the line that says how many were dropped.
    :param monotonic: tells the time.
    """

    def __init__(
        self, descriptor: int, told: Told, monotonic: t.Callable[[], float] = time.monotonic
    ) -> None:
        self._descriptor = descriptor
        self._told = told
        self._monotonic = monotonic
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._waiting: t.Deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._rate = _Rate(LINES_PER_S, monotonic())
        self._urgent_rate = _Rate(URGENT_LINES_PER_S, monotonic())
        self._scheduled = False
        self._untold = 0
        #: Lines dropped so far.
        self.dropped = 0

    def write(self, line: str, urgent: bool = False) -> None:
        """Take a line; it leaves at the end of the loop's turn, or now if no loop runs."""
        now = self._monotonic()
        if not (self._rate.take(now) or (urgent and self._urgent_rate.take(now))):
            self._drop()
            return
        self._tell_of_dropped()
        self._append(line)
        self._schedule()

    def flush(self) -> bool:
        """Write as much as the reader takes now; whether that was all."""
        while self._waiting:
            if not self._poll.poll(0):
                return False
            piece = self._next_piece()
            try:
                written = os.write(self._descriptor, piece)
            except BlockingIOError:
                return False
            except OSError:
                # The reader is gone; there is nobody left to tell.
                self._waiting.clear()
                self._waiting_bytes = 0
                return True
            self._forget(written)
        return True

    def close(self) -> None:
        """Give the reader a moment to take what is left."""
        ends_at = self._monotonic() + _CLOSE_S
        while not self.flush() and self._monotonic() < ends_at:
            self._poll.poll(20)

    def _append(self, line: str) -> None:
        data = line.encode("utf-8", "backslashreplace") + b"\n"
        if self._waiting_bytes + len(data) > MAX_WAITING_BYTES:
            self._drop()
            return
        self._waiting.append(data)
        self._waiting_bytes += len(data)

    def _drop(self) -> None:
        self.dropped += 1
        self._untold += 1

    def _tell_of_dropped(self) -> None:
        if not self._untold:
            return
        count, self._untold = self._untold, 0
        before = self.dropped
        self._append(self._told(count))
        if self.dropped > before:
            # There was no room for that either.
            self.dropped = before
            self._untold = count

    def _next_piece(self) -> bytes:
        # A pipe that is writable takes this many bytes without blocking.
        piece = self._waiting[0][: select.PIPE_BUF]
        for line in list(self._waiting)[1:16]:
            if len(piece) + len(line) > select.PIPE_BUF:
                break
            piece += line
        return piece

    def _forget(self, written: int) -> None:
        self._waiting_bytes -= written
        while written:
            line = self._waiting.popleft()
            if len(line) > written:
                self._waiting.appendleft(line[written:])
                return
            written -= len(line)

    def _schedule(self) -> None:
        if self._scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._scheduled = True
        loop.call_soon(self._flush_or_retry)

    def _flush_or_retry(self) -> None:
        if self.flush():
            self._scheduled = False
            return
        asyncio.get_running_loop().call_later(_RETRY_S, self._flush_or_retry)
