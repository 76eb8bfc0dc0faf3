"""Hedges: a second attempt beside a slow first one, whichever answers first."""

import asyncio
import typing as t

from hdrh.histogram import HdrHistogram

from ..exceptions import CoralfallError
from .answer import Answer
from .retry import hedge_delay

_MICROSECONDS = 1_000_000
_LONGEST_US = 120 * _MICROSECONDS
_SIGNIFICANT_DIGITS = 2
#: Reads between two looks at the histogram, which take far longer than a record; a multiple of
#: the next.
_RENEW_AFTER = 200
#: Once enough is known, one read of so many is recorded.
_SAMPLED = 8


class ReadLatency:
    """Latencies of one service's reads, and after which of them a hedge is due."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, _LONGEST_US, _SIGNIFICANT_DIGITS)
        self._passed = 0
        #: Seconds to wait before a hedge; ``None`` while too little is known.
        self.delay: t.Optional[float] = None

    def record(self, seconds: float) -> None:
        """Take in the time that a read took until its answer came."""
        self._passed += 1
        if self.delay is not None and self._passed % _SAMPLED:
            return
        microseconds = min(max(int(seconds * _MICROSECONDS), 1), _LONGEST_US)
        self._histogram.record_value(microseconds)
        if self._passed % _RENEW_AFTER == 0:
            self.delay = hedge_delay(self._histogram)


class Hedge:
    """Makes a second attempt if the first, awaited by the task that makes this, is slow.

    If the second answers first, the task is cancelled and finds the answer in :attr:`answer`.
    Whoever makes a hedge owes it :meth:`stop`.

    :param delay: seconds after which the second attempt is made.
    :param allowed: asked then whether it may be made.
    :param attempt: makes it.
    """

    def __init__(
        self,
        delay: float,
        allowed: t.Callable[[], bool],
        attempt: t.Callable[[], t.Coroutine[t.Any, t.Any, Answer]],
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._first = task
        self._allowed = allowed
        self._attempt = attempt
        self._first_failed = False
        self._second: "t.Optional[asyncio.Task[None]]" = None
        self._timer = asyncio.get_running_loop().call_later(delay, self._begin)
        #: What the second attempt was answered.
        self.answer: t.Optional[Answer] = None
        #: Why it was not.
        self.failure: t.Optional[CoralfallError] = None

    async def outcome(self) -> t.Optional[Answer]:
        """Wait for the second attempt, after the first failed; ``None`` if it has no answer."""
        self._timer.cancel()
        self._first_failed = True
        if self._second is not None:
            await asyncio.wait((self._second,))
        return self.answer

    def accept(self) -> t.Optional[Answer]:
        """The second attempt's answer, if that is why the task was cancelled."""
        if self.answer is None:
            return None
        if self._first.uncancel() > 0:
            # Someone else wants the task to end as well.
            if self.answer.stream is not None:
                self.answer.stream.abort()
            return None
        return self.answer

    def stop(self) -> None:
        """End the second attempt, if it is under way."""
        self._timer.cancel()
        if self._second is not None:
            self._second.cancel()

    def _begin(self) -> None:
        if self._allowed():
            self._second = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        try:
            self.answer = await self._attempt()
        except CoralfallError as error:
            self.failure = error
            return
        if not self._first_failed:
            self._first.cancel()
