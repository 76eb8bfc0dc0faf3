"""Keeps a bounded number of streams open to other entries, and exchanges messages on them."""

import asyncio
import collections
import typing as t

from .. import defaults
from ..exceptions import PeerError, PeerFrameError, PeerTimeoutError, PeerUnreachableError
from ..ids import EntryId
from .channel import Channel, Traffic, dial

if t.TYPE_CHECKING:
    from .cipher import FleetKey
    from .messages import AnyMessage, Hello

AnswerT = t.TypeVar("AnswerT", bound="AnyMessage")


class Answer(t.NamedTuple, t.Generic[AnswerT]):
    """An answer, and what its sender said of itself."""

    peer: "Hello"
    message: AnswerT


class Link:
    """A stream to one address, opened when it is needed and again after it failed.

    One exchange at a time; others wait.

    :param address: ``ip:port`` of the peer.
    :param fleet_key: the key that both sides hold.
    :param hello: what to say of ourselves.
    :param traffic: counts the bytes.
    """

    def __init__(
        self, address: str, fleet_key: "FleetKey", hello: "Hello", traffic: Traffic
    ) -> None:
        self._address = address
        self._fleet_key = fleet_key
        self._hello = hello
        self._traffic = traffic
        self._lock = asyncio.Lock()
        self._channel: t.Optional[Channel] = None
        #: Exchanges that run or wait.
        self.users = 0

    async def exchange(
        self,
        message: "AnyMessage",
        answer_type: t.Type[AnswerT],
        expected: t.Optional[EntryId],
        kept_s: t.Optional[float],
    ) -> Answer[AnswerT]:
        """Send a message and receive its answer; see :meth:`PeerLinks.exchange`."""
        async with self._lock:
            if kept_s is not None and self._is_open:
                try:
                    async with asyncio.timeout(kept_s):
                        return await self._exchange(message, answer_type, expected)
                except (PeerError, TimeoutError):
                    # The stream may have gone silent while its entry is well.
                    pass
            return await self._exchange(message, answer_type, expected)

    async def _exchange(
        self,
        message: "AnyMessage",
        answer_type: t.Type[AnswerT],
        expected: t.Optional[EntryId],
    ) -> Answer[AnswerT]:
        channel = await self._open(expected)
        try:
            await channel.send(message)
            answer = await channel.receive()
            if not isinstance(answer, answer_type):
                raise PeerFrameError(
                    f"{channel.peer.entry_id} answered {type(message).__name__}"
                    f" with {type(answer).__name__}"
                )
            return Answer(channel.peer, answer)
        except BaseException:
            # A late answer must not be taken for that to the next message.
            channel.abort()
            raise

    async def post(self, message: "AnyMessage", expected: t.Optional[EntryId]) -> None:
        """Send a message that has no answer."""
        async with self._lock:
            channel = await self._open(expected)
            await channel.send(message)

    async def close(self) -> None:
        """Close the stream; an exchange that runs fails."""
        if self._channel is not None:
            await self._channel.close()

    @property
    def _is_open(self) -> bool:
        return self._channel is not None and not self._channel.closed

    async def _open(self, expected: t.Optional[EntryId]) -> Channel:
        if self._channel is None or not self._is_open:
            self._channel = await dial(self._address, self._fleet_key, self._hello, self._traffic)
        entry_id = self._channel.peer.entry_id
        if expected is not None and entry_id != expected:
            await self._channel.close()
            raise PeerUnreachableError(
                f"{entry_id} answers at {self._address}, where {expected} was expected"
            )
        return self._channel


class PeerLinks:
    """The streams that this entry has opened, in bounded number.

    The one that was not used for longest is closed to make room.

    :param fleet_key: the key that all entries hold.
    :param hello: what to say of ourselves.
    :param traffic: counts the bytes of all streams.
    :param max_links: most streams that are open at a time; ``MAX_PEER_LINKS`` if ``None``.
    """

    def __init__(
        self,
        fleet_key: "FleetKey",
        hello: "Hello",
        traffic: Traffic,
        max_links: t.Optional[int] = None,
    ) -> None:
        self._fleet_key = fleet_key
        self._hello = hello
        self._traffic = traffic
        self._max_links = max_links
        self._links_by_address: "collections.OrderedDict[str, Link]" = collections.OrderedDict()
        self._closing: t.Set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._links_by_address)

    async def exchange(
        self,
        address: str,
        message: "AnyMessage",
        answer_type: t.Type[AnswerT],
        timeout_s: float,
        expected: t.Optional[EntryId] = None,
        kept_s: t.Optional[float] = None,
    ) -> Answer[AnswerT]:
        """Send a message and receive its answer.

        :param address: ``ip:port`` of the peer.
        :param answer_type: kind of the answer.
        :param timeout_s: seconds for all of it, a connection to be opened first included.
        :param expected: entry that must answer there; any if ``None``.
        :param kept_s: seconds after which the same is asked again on a new stream, if the one used
            was open before; only for messages that may arrive twice.
        :raises PeerError: if no such answer came; what the peer did is not known then.
        """
        link = self._take(address)
        try:
            async with asyncio.timeout(timeout_s):
                return await link.exchange(message, answer_type, expected, kept_s)
        except TimeoutError as error:
            raise PeerTimeoutError(f"{address} did not answer in {timeout_s} s") from error
        finally:
            link.users -= 1

    async def post(
        self, address: str, message: "AnyMessage", expected: t.Optional[EntryId] = None
    ) -> None:
        """Send a message that has no answer; nothing says whether it arrived.

        :raises PeerError: if it could not be sent.
        """
        link = self._take(address)
        try:
            async with asyncio.timeout(defaults.PEER_TIMEOUT_S):
                await link.post(message, expected)
        except TimeoutError as error:
            raise PeerTimeoutError(f"{address} takes no message") from error
        finally:
            link.users -= 1

    async def close(self) -> None:
        """Close all streams; exchanges that run fail."""
        links = list(self._links_by_address.values())
        self._links_by_address.clear()
        for link in links:
            self._close(link)
        if self._closing:
            await asyncio.wait(self._closing)

    def _take(self, address: str) -> Link:
        link = self._links_by_address.get(address)
        if link is None:
            self._make_room()
            link = Link(address, self._fleet_key, self._hello, self._traffic)
            self._links_by_address[address] = link
        self._links_by_address.move_to_end(address)
        link.users += 1
        return link

    def _make_room(self) -> None:
        limit = defaults.MAX_PEER_LINKS if self._max_links is None else self._max_links
        if len(self._links_by_address) < limit:
            return
        for address, link in self._links_by_address.items():
            if link.users:
                continue
            del self._links_by_address[address]
            self._close(link)
            return
        raise PeerUnreachableError(f"all {limit} streams to peers are in use")

    def _close(self, link: Link) -> None:
        task = asyncio.create_task(link.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
