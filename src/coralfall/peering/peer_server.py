"""Answers the messages of the peers that connect to this entry."""

import abc
import asyncio
import collections
import traceback
import typing as t

import msgspec

from .. import defaults
from ..exceptions import PeerClosedError, PeerError, PeerFrameError
from ..http.listener import address_of, bind
from ..ids import Revision
from ..process import log
from ..process.child import Child
from .channel import Channel, Traffic, accept
from .messages import (
    Heartbeat,
    LoanRequest,
    LoanReturn,
    ObjectAnswer,
    ObjectRequest,
    SyncAnswer,
    SyncRequest,
)

if t.TYPE_CHECKING:
    from ..process.metrics import Metrics
    from .cipher import FleetKey
    from .messages import AnyMessage, Hello
    from .peer_directory import PeerDirectory
    from .peer_handler import PeerHandler

#: What an object's frame holds beside the object.
_OBJECT_OVERHEAD_BYTES = 1024


class PeerListener(Child):
    """Listens for peers and gives each message to :meth:`answer`.

    Connections are bounded: those that have not proved themselves by
    ``MAX_PEER_HANDSHAKES``, beyond which new ones are refused; proven ones by
    ``MAX_PEER_CONNECTIONS``, beyond which the one silent for longest is closed.

    :param address: ``ip:port`` to listen on; port 0 takes a free one, and keeps it.
    :param fleet_key: the key that all entries hold.
    :param hello: what to say of ourselves.
    :param traffic: counts the bytes.
    :param metrics: counts refusals and failures.
    """

    name = "peer-server"

    def __init__(
        self,
        address: str,
        fleet_key: "FleetKey",
        hello: "Hello",
        traffic: Traffic,
        metrics: "Metrics",
    ) -> None:
        #: ``ip:port`` that peers reach this entry at, once it was started.
        self.bound_address = address
        self._fleet_key = fleet_key
        self._hello = hello
        self._traffic = traffic
        self._metrics = metrics
        self._server: t.Optional[asyncio.Server] = None
        #: Connections whose other side has not proved itself yet.
        self.handshakes = 0
        self._tasks: t.Set[asyncio.Task[t.Any]] = set()
        #: Proven streams, the one silent for longest first.
        self._channels: "collections.OrderedDict[Channel, None]" = collections.OrderedDict()

    @property
    def connections(self) -> int:
        """How many proven streams are open."""
        return len(self._channels)

    async def start(self) -> None:
        self.handshakes = 0
        listener = bind(self.bound_address)
        self.bound_address = address_of(listener)
        self._server = await asyncio.start_server(self._accept, sock=listener)

    async def run(self) -> None:
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            self._close_listener()
            for task in self._tasks:
                task.cancel()
            if self._tasks:
                await asyncio.wait(self._tasks)

    async def stop(self) -> None:
        self._close_listener()
        await asyncio.gather(*[channel.close() for channel in self._channels])

    def _close_listener(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.handshakes >= defaults.MAX_PEER_HANDSHAKES:
            self._metrics.count("peers.refused")
            writer.transport.abort()
            return
        self.handshakes += 1
        # Not left to the listener: it would log each task that is cancelled as a failure.
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._converse(await self._prove(reader, writer))
        except PeerClosedError:
            pass
        except PeerError as error:
            self._metrics.count(f"peers.{error.code}")
            log.info("peer.dropped", code=error.code, error=error.message)
        except Exception as error:
            self._metrics.count("peers.failed")
            trace = "".join(traceback.format_exception(error))
            log.error("peer.failed", error=error, traceback=trace)

    async def _prove(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Channel:
        try:
            return await accept(reader, writer, self._fleet_key, self._hello, self._traffic)
        finally:
            self.handshakes -= 1

    async def _converse(self, channel: Channel) -> None:
        if self._server is None:
            # Stopped during the handshake.
            await channel.close()
            return
        self._channels[channel] = None
        if len(self._channels) > defaults.MAX_PEER_CONNECTIONS:
            oldest, _ = self._channels.popitem(last=False)
            oldest.abort()
        try:
            while True:
                await self._take_turn(channel)
        except TimeoutError:
            await channel.close()
        finally:
            self._channels.pop(channel, None)
            channel.abort()
            self.drop(channel)

    async def _take_turn(self, channel: Channel) -> None:
        async with asyncio.timeout(defaults.PEER_IDLE_S):
            message = await channel.receive()
        if channel in self._channels:
            self._channels.move_to_end(channel)
        if self.take(channel, message):
            return
        answer = self.answer(channel.peer, message)
        if answer is not None:
            await channel.send(answer)

    def take(self, channel: Channel, message: "AnyMessage") -> bool:
        """Whether a message is answered later, on the same channel; by default none is."""
        return False

    def drop(self, channel: Channel) -> None:
        """Called when a channel has ended."""

    @abc.abstractmethod
    def answer(self, peer: "Hello", message: "AnyMessage") -> t.Optional["AnyMessage"]:
        """What to send back for a message, if anything.

        :raises PeerError: to end the stream.
        """


class PeerServer(PeerListener):
    """Answers the peers of a fleet that runs by signed bundles.

    :param handler: what the entry does with the messages.
    :param directory: told of each heartbeat.
    """

    def __init__(
        self,
        address: str,
        fleet_key: "FleetKey",
        hello: "Hello",
        handler: "PeerHandler",
        directory: "PeerDirectory",
        traffic: Traffic,
        metrics: "Metrics",
    ) -> None:
        super().__init__(address, fleet_key, hello, traffic, metrics)
        self._handler = handler
        self._directory = directory

    def answer(self, peer: "Hello", message: "AnyMessage") -> t.Optional["AnyMessage"]:
        if isinstance(message, Heartbeat):
            self._directory.hear(peer.entry_id, message)
            self._handler.on_heartbeat(peer, message, None)
            return self._handler.heartbeat()
        if isinstance(message, SyncRequest):
            return trimmed(self._handler.sync(), message.roster)
        if isinstance(message, SyncAnswer):
            self._handler.on_sync(peer, message)
            return None
        if isinstance(message, ObjectRequest):
            return self._object_answer(message)
        if isinstance(message, LoanRequest):
            return self._handler.on_loan_request(peer, message)
        if isinstance(message, LoanReturn):
            self._handler.on_loan_return(peer, message)
            return None
        raise PeerFrameError(f"{peer.entry_id} sent {type(message).__name__} unasked")

    def _object_answer(self, request: ObjectRequest) -> ObjectAnswer:
        data = self._handler.get_object(request.digest)
        if data is not None and len(data) + _OBJECT_OVERHEAD_BYTES > defaults.MAX_FRAME_BYTES:
            log.error("peer.object_too_long", digest=request.digest, bytes=len(data))
            data = None
        return ObjectAnswer(digest=request.digest, data=data)


def trimmed(answer: SyncAnswer, roster: bool) -> SyncAnswer:
    """The answer, without its roster unless that is wanted: it is most of the bytes."""
    if roster:
        return answer
    return msgspec.structs.replace(answer, members=(), roster_revision=Revision(0))
