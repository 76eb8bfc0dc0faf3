"""An authenticated, encrypted stream of typed messages between two entries.

Either side sends a fresh public key, then a proof that it holds the fleet's key; nothing that
the other side sends is parsed before its proof was right. Then come frames: four bytes of
length, then one message in msgpack, sealed by ChaCha20-Poly1305 under its number in its
direction (see :mod:`coralfall.peering.cipher`). The first message of either side is
:class:`~coralfall.peering.messages.Hello`; a stream ends with an empty sealed frame.

**What an attacker on the network can do:** see who talks with whom, when, and how long each
message is; delay, cut and refuse streams; open connections that never prove anything, which
takes up places for handshakes for a while but none of those for proven peers.

**What it cannot do:** read or forge a message; replay, reorder, drop or cut messages without
the receiver ending the stream with an error; send a message back to its sender; read streams
recorded earlier, even with the fleet's key; make the receiver set aside memory for more than
``MAX_FRAME_BYTES``.

**What a holder of the fleet's key can do:** claim to be any entry. The key tells fleet from
others, not entries apart. What a bundle says is signed by its partner and checked apart from
the stream.

**Why not TLS** by the ``ssl`` module: mutual certificates would tell entries apart, but VMs
without disks would need an authority that hands out and renews certificates at every start,
and the library that makes them takes 7 MB of a process's 64; TLS by a shared key is not in
Python 3.11's ``ssl``. Libraries of the Noise framework for Python bring the same 7 MB. The
pattern here is that of Noise's ``NNpsk0``, out of primitives that libsodium has.
"""

import asyncio
import typing as t

import msgspec

from .. import defaults
from ..exceptions import (
    PeerClosedError,
    PeerFrameError,
    PeerTimeoutError,
    PeerUnreachableError,
    PeerVersionError,
)
from ..process.dead_peer import DeadPeerDetector
from ..settings import split_address
from .cipher import (
    PROOF_BYTES,
    PUBLIC_BYTES,
    SEAL_BYTES,
    FleetKey,
    FrameOpener,
    FrameSealer,
    KeyExchange,
    Role,
)
from .fleetkey import load_fleet_key as load_fleet_key
from .fleetkey import new_fleet_key as new_fleet_key
from .messages import AnyMessage, Hello

_LENGTH_BYTES = 4
_END = b""
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


def encode_message(message: AnyMessage) -> bytes:
    """The message in msgpack."""
    return _encoder.encode(message)


def decode_message(content: bytes) -> AnyMessage:
    """The message in ``content``.

    :raises PeerFrameError: if it is not exactly one message of a known kind.
    """
    try:
        return _decoder.decode(content)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise PeerFrameError(f"a frame is not a known message: {error}") from error


class Traffic:
    """Counts what went over the channels it was given to, in bytes.

    Handshakes and frames are counted; headers of TCP and IP come on top.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0


class Channel:
    """A stream whose other side has proved itself; get one by :func:`dial` or :func:`accept`.

    A channel that failed in any way, a cancelled :meth:`receive` included, is closed.

    :param reader: what the other side sends.
    :param writer: what it gets.
    :param sealer: seals what is sent.
    :param opener: opens what is received.
    :param traffic: counts the bytes.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sealer: FrameSealer,
        opener: FrameOpener,
        traffic: Traffic,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._sealer = sealer
        self._opener = opener
        self._send_lock = asyncio.Lock()
        self._traffic = traffic
        self._ended = False
        self._peer: t.Optional[Hello] = None
        writer.transport.set_write_buffer_limits(high=defaults.PEER_WRITE_BUFFER_BYTES)
        self._detector = DeadPeerDetector(writer.transport, defaults.DEAD_PEER_TIMEOUT_S)

    @property
    def peer(self) -> Hello:
        """What the other side said of itself."""
        assert self._peer is not None, "a channel is handed out only after its greeting"
        return self._peer

    @property
    def closed(self) -> bool:
        """Whether nothing more can be sent or received."""
        return self._writer.is_closing() or self._reader.at_eof()

    async def send(self, message: AnyMessage) -> None:
        """Send a message; returns when it was handed over or the write buffer has room.

        :raises PeerFrameError: if the message is too long; nothing was sent, the channel lives.
        :raises PeerTimeoutError: if the other side took no byte for ``PEER_SEND_TIMEOUT_S``.
        :raises PeerClosedError: if the stream was closed or cut.
        """
        content = encode_message(message)
        size = len(content) + SEAL_BYTES
        if size > defaults.MAX_FRAME_BYTES:
            raise PeerFrameError(
                f"message of {size} bytes is over the limit of {defaults.MAX_FRAME_BYTES}"
            )
        try:
            async with self._send_lock:
                await self._write_frame(content)
        except OSError as error:
            self.abort()
            raise PeerClosedError(f"the stream was cut: {error}") from error

    async def receive(self) -> AnyMessage:
        """The next message, however long it takes; wrap it in ``asyncio.timeout``.

        :raises PeerClosedError: if either side ended the stream.
        :raises PeerFrameError: if the stream was cut or a frame is wrong.
        """
        try:
            content = self._opener.open(await self._read_frame())
            if content == _END:
                raise PeerClosedError("the other side ended the stream")
            return decode_message(content)
        except BaseException as error:
            # Half a frame may have been read, so that nothing after it could be understood.
            self.abort()
            if self._ended and isinstance(error, PeerFrameError):
                raise PeerClosedError("the stream was closed on this side") from error
            raise

    async def close(self) -> None:
        """End the stream so that the other side can tell it from a cut."""
        if not self.closed:
            self._write(_END)
        self._ended = True
        self._writer.close()
        try:
            async with asyncio.timeout(defaults.PEER_SEND_TIMEOUT_S):
                await self._writer.wait_closed()
        except (OSError, TimeoutError):
            self.abort()

    def abort(self) -> None:
        """Cut the stream at once; what is not sent yet is dropped."""
        self._writer.transport.abort()

    async def _greet(self, hello: Hello) -> None:
        await self.send(hello)
        message = await self.receive()
        if not isinstance(message, Hello):
            raise PeerFrameError(f"the other side began with {type(message).__name__}, not Hello")
        if message.protocol != hello.protocol:
            raise PeerVersionError(
                f"{message.entry_id} speaks version {message.protocol} of the peer protocol,"
                f" this entry version {hello.protocol}; run the same release on both",
                theirs=message.protocol,
                ours=hello.protocol,
            )
        self._peer = message

    async def _write_frame(self, content: bytes) -> None:
        if self._writer.is_closing():
            raise PeerClosedError("the stream is closed")
        self._write(content)
        await self._drain()

    async def _drain(self) -> None:
        transport = self._writer.transport
        unsent = transport.get_write_buffer_size()
        while True:
            try:
                async with asyncio.timeout(defaults.PEER_SEND_TIMEOUT_S):
                    await self._writer.drain()
                    return
            except TimeoutError as error:
                left = transport.get_write_buffer_size()
                if left >= unsent:
                    self.abort()
                    raise PeerTimeoutError("the other side takes no more bytes") from error
                unsent = left

    def _write(self, content: bytes) -> None:
        sealed = self._sealer.seal(content)
        self._writer.write(len(sealed).to_bytes(_LENGTH_BYTES, "big") + sealed)
        self._detector.note_write()
        self._traffic.sent += _LENGTH_BYTES + len(sealed)

    async def _read_frame(self) -> bytes:
        size = int.from_bytes(await read_exactly(self._reader, _LENGTH_BYTES), "big")
        if size > defaults.MAX_FRAME_BYTES:
            raise PeerFrameError(
                f"frame of {size} bytes is over the limit of {defaults.MAX_FRAME_BYTES}"
            )
        sealed = await read_exactly(self._reader, size)
        self._traffic.received += _LENGTH_BYTES + size
        return sealed


async def read_exactly(reader: asyncio.StreamReader, size: int) -> bytes:
    """The next ``size`` bytes.

    :raises PeerFrameError: if the stream ends before.
    """
    try:
        return await reader.readexactly(size)
    except (asyncio.IncompleteReadError, OSError) as error:
        raise PeerFrameError("the stream was cut") from error


async def dial(
    address: str, fleet_key: FleetKey, hello: Hello, traffic: t.Optional[Traffic] = None
) -> Channel:
    """A channel to the entry at an address.

    :param address: ``ip:port`` of its peers' port.
    :param hello: what to say of ourselves.
    :param traffic: counts the channel's bytes.
    :raises PeerError: if it can't be reached, is not of the fleet, or speaks another version.
    """
    host, port = split_address(address)
    try:
        async with asyncio.timeout(defaults.PEER_HANDSHAKE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError) as error:
        # A timeout has no text of its own.
        reason = str(error) or f"no connection in {defaults.PEER_HANDSHAKE_TIMEOUT_S} s"
        raise PeerUnreachableError(f"{address} can't be reached: {reason}") from error
    return await open_channel(reader, writer, fleet_key, hello, Role.DIALER, traffic)


async def accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    fleet_key: FleetKey,
    hello: Hello,
    traffic: t.Optional[Traffic] = None,
) -> Channel:
    """A channel out of a connection that came in; raises as :func:`dial` does."""
    return await open_channel(reader, writer, fleet_key, hello, Role.LISTENER, traffic)


async def open_channel(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    fleet_key: FleetKey,
    hello: Hello,
    role: Role,
    traffic: t.Optional[Traffic] = None,
) -> Channel:
    """Prove, have proved, and greet, within ``PEER_HANDSHAKE_TIMEOUT_S`` seconds.

    :raises PeerAuthError: if the other side does not hold the fleet's key.
    :raises PeerVersionError: if it speaks another version.
    :raises PeerTimeoutError: if it is too slow.
    """
    traffic = traffic or Traffic()
    try:
        async with asyncio.timeout(defaults.PEER_HANDSHAKE_TIMEOUT_S):
            exchange = KeyExchange(fleet_key, role)
            writer.write(exchange.public)
            keys = exchange.finish(await read_exactly(reader, PUBLIC_BYTES))
            writer.write(keys.proof)
            keys.check_proof(await read_exactly(reader, PROOF_BYTES))
            traffic.sent += PUBLIC_BYTES + PROOF_BYTES
            traffic.received += PUBLIC_BYTES + PROOF_BYTES
            sealer = FrameSealer(keys.seal_key)
            channel = Channel(reader, writer, sealer, FrameOpener(keys.open_key), traffic)
            await channel._greet(hello)
            return channel
    except TimeoutError as error:
        writer.transport.abort()
        raise PeerTimeoutError("the other side took too long over the handshake") from error
    except BaseException:
        # Not cut: what was sent must arrive for the other side to tell the same cause.
        writer.close()
        raise
