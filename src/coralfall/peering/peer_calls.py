"""Peer calls: several calls at a time on one stream, answered in any order."""

import asyncio
import itertools
import typing as t

from ..exceptions import PeerClosedError, PeerError, PeerFrameError

if t.TYPE_CHECKING:
    from ..process.clock import Clock
    from .channel import Channel
    from .messages import AnyMessage


class NumberedReply(t.Protocol):
    """An answer that names the call that it belongs to."""

    @property
    def number(self) -> int:
        """Number of the call."""


ReplyT = t.TypeVar("ReplyT", bound=NumberedReply)


class CallStream(t.Generic[ReplyT]):
    """A stream that carries calls to one peer, opened before.

    :param channel: the stream; it is closed with this object.
    :param reply_type: kind of all answers.
    :param clock: measures how long the peer has been silent.
    """

    def __init__(self, channel: "Channel", reply_type: t.Type[ReplyT], clock: "Clock") -> None:
        self._channel = channel
        self._reply_type = reply_type
        self._clock = clock
        self._numbers = itertools.count(1)
        self._pending: t.Dict[int, "asyncio.Future[ReplyT]"] = {}
        self._cancels: t.Set["asyncio.Task[None]"] = set()
        #: Monotonic time of the last answer, or of the first call after a time without any.
        self._heard_at = clock.monotonic()
        self._error: PeerError = PeerClosedError("the stream is closed")
        self._reader = asyncio.create_task(self._read())

    @property
    def closed(self) -> bool:
        """Whether no more calls can be made."""
        return self._channel.closed or self._reader.done()

    @property
    def load(self) -> int:
        """Number of calls without an answer."""
        return len(self._pending)

    @property
    def idle_s(self) -> float:
        """Seconds since the last answer if no call waits for one; 0 otherwise."""
        return 0.0 if self._pending else self._clock.monotonic() - self._heard_at

    @property
    def silent_s(self) -> float:
        """Seconds for which calls have waited without any answer; 0 if none waits."""
        return self._clock.monotonic() - self._heard_at if self._pending else 0.0

    async def call(
        self,
        make_request: "t.Callable[[int], AnyMessage]",
        make_cancel: "t.Callable[[int], AnyMessage]",
    ) -> ReplyT:
        """Makes a call and returns its answer; callers have to set a time limit.

        A call that is cancelled is cancelled at the peer too.

        :param make_request: returns the message with a number.
        :param make_cancel: returns the message that ends the call of that number.
        :raises PeerError: if the stream ends; what the peer did is not known then.
        """
        number = next(self._numbers)
        if not self._pending:
            self._heard_at = self._clock.monotonic()
        reply: "asyncio.Future[ReplyT]" = asyncio.get_running_loop().create_future()
        self._pending[number] = reply
        try:
            if self.closed:
                raise self._error
            await self._channel.send(make_request(number))
            return await reply
        except asyncio.CancelledError:
            self._pending.pop(number, None)
            if not self.closed:
                task = asyncio.create_task(self._cancel(make_cancel(number)))
                self._cancels.add(task)
                task.add_done_callback(self._cancels.discard)
            raise
        finally:
            self._pending.pop(number, None)

    def close(self) -> None:
        """Cuts the stream; calls without an answer fail."""
        self._reader.cancel()
        self._channel.abort()

    async def _cancel(self, message: "AnyMessage") -> None:
        try:
            await self._channel.send(message)
        except PeerError:
            # The calls end with the stream.
            return

    async def _read(self) -> None:
        try:
            while True:
                message = await self._channel.receive()
                if not isinstance(message, self._reply_type):
                    raise PeerFrameError(f"unexpected message {type(message).__name__}")
                self._heard_at = self._clock.monotonic()
                reply = self._pending.pop(message.number, None)
                if reply is not None and not reply.done():
                    reply.set_result(message)
        except PeerError as error:
            self._error = error
        finally:
            self._channel.abort()
            for reply in self._pending.values():
                if not reply.done():
                    reply.set_exception(self._error)
            self._pending.clear()
