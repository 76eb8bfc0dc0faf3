"""What an entry has to send to one dispatcher, batched into one request at a time."""

import asyncio
import collections
import typing as t

import msgspec

from .. import defaults
from ..placement.dispatch import DispatchAnswer, Verdict
from .messages import DispatchRequest

if t.TYPE_CHECKING:
    from ..placement.dispatch import AskNumber, DispatchAsk, DispatchRelease
    from .dispatchers import Dispatcher

#: Verdicts after which the dispatcher keeps a slot or a place in the queue for the ask.
HOLDING_VERDICTS = (Verdict.ASSIGNED, Verdict.QUEUED)
#: Times that a release or a cancel is sent. A second loss means that the dispatcher is silent,
#: and then the assignment expires.
_MAX_SENDS = 2
#: Delay in the outbox, in milliseconds, from which on an ask is sent with shorter durations.
_MIN_DELAY_MS = 5

ItemT = t.TypeVar("ItemT")


class PendingAsk:
    """An ask whose answer, or whose notice after the answer ``QUEUED``, is still to come.

    :param ask: the ask.
    :param asked_at: monotonic time from which its durations count.
    """

    __slots__ = ("abandoned", "answer", "ask", "asked_at", "notice", "sent")

    def __init__(self, ask: "DispatchAsk", asked_at: float) -> None:
        self.ask = ask
        self.asked_at = asked_at
        self.sent = False
        #: Whether the caller waits no longer.
        self.abandoned = False
        loop = asyncio.get_running_loop()
        #: Result ``None`` if the dispatcher did not answer.
        self.answer: "asyncio.Future[t.Optional[DispatchAnswer]]" = loop.create_future()
        #: A notice may come before the answer, on another stream.
        self.notice: "asyncio.Future[DispatchAnswer]" = loop.create_future()

    def set_answer(self, answer: t.Optional[DispatchAnswer]) -> None:
        """Records the answer, or that there is none."""
        if not self.answer.done():
            self.answer.set_result(answer)

    def set_notice(self, answer: DispatchAnswer) -> None:
        """Records a notice; the first one counts."""
        if not self.notice.done():
            self.notice.set_result(answer)

    def end_wait(self) -> None:
        """Ends the wait for a notice, as the dispatcher is gone."""
        self.set_notice(DispatchAnswer(self.ask.number, Verdict.NOT_DISPATCHER))

    @property
    def is_useless_at(self) -> float:
        """Monotonic time from which on a start is of no more use."""
        return self.asked_at + self.ask.start_within_ms / 1000

    def aged(self, now: float) -> "DispatchAsk":
        """Returns the ask with the durations that are left."""
        delay_ms = int((now - self.asked_at) * 1000)
        if delay_ms < _MIN_DELAY_MS:
            return self.ask
        return msgspec.structs.replace(
            self.ask,
            within_ms=max(0, self.ask.within_ms - delay_ms),
            start_within_ms=max(0, self.ask.start_within_ms - delay_ms),
            expires_ms=max(0, self.ask.expires_ms - delay_ms),
        )


class _Unsent(t.Generic[ItemT]):
    """Items that are sent again, a limited number of times, if their message is lost."""

    def __init__(self) -> None:
        self._items: "t.Deque[t.Tuple[ItemT, int]]" = collections.deque(
            maxlen=defaults.MAX_DISPATCH_RELEASES
        )

    def __len__(self) -> int:
        return len(self._items)

    def add(self, item: ItemT, sends: int = 0) -> None:
        self._items.append((item, sends))

    def take(self) -> "t.List[t.Tuple[ItemT, int]]":
        items = list(self._items)
        self._items.clear()
        return items

    def put_back(self, items: "t.Iterable[t.Tuple[ItemT, int]]") -> None:
        for item, sends in items:
            if sends + 1 < _MAX_SENDS:
                self.add(item, sends + 1)


class Batch(t.NamedTuple):
    """The contents of one request."""

    asks: t.List[PendingAsk]
    releases: "t.List[t.Tuple[DispatchRelease, int]]"
    cancels: "t.List[t.Tuple[AskNumber, int]]"

    def request(self, now: float) -> DispatchRequest:
        """Returns the message."""
        return DispatchRequest(
            asks=tuple([pending.aged(now) for pending in self.asks]),
            releases=tuple([release for release, _ in self.releases]),
            cancels=tuple([number for number, _ in self.cancels]),
        )


class Outbox:
    """Asks, releases and cancels that wait to be sent to one dispatcher.

    :param dispatcher: the dispatcher.
    """

    def __init__(self, dispatcher: "Dispatcher") -> None:
        self.dispatcher = dispatcher
        #: Whether an exchange is in progress.
        self.busy = False
        #: Starts an exchange for releases and cancels that no ask takes along.
        self.timer: t.Optional[asyncio.TimerHandle] = None
        self.asks: t.List[PendingAsk] = []
        self.releases: "_Unsent[DispatchRelease]" = _Unsent()
        self.cancels: "_Unsent[AskNumber]" = _Unsent()

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to send."""
        return not self.asks and not self.releases and not self.cancels

    def stop_timer(self) -> None:
        """Cancels the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def take(self) -> Batch:
        """Removes and returns all that is to be sent."""
        asks, self.asks = self.asks, []
        for pending in asks:
            pending.sent = True
        return Batch(asks, self.releases.take(), self.cancels.take())

    def put_back(self, batch: Batch, arrived: bool) -> None:
        """Keeps what has to be sent again, as a batch was not answered.

        :param arrived: whether the dispatcher may have received it, and holds slots for its asks.
        """
        self.releases.put_back(batch.releases)
        self.cancels.put_back(batch.cancels)
        if arrived:
            for pending in batch.asks:
                self.cancels.add(pending.ask.number)

    def fail_asks(self) -> None:
        """Answers all asks that were not sent with ``None``."""
        asks, self.asks = self.asks, []
        for pending in asks:
            pending.set_answer(None)
