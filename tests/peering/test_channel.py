import asyncio
import os
import pathlib
import tempfile
import typing as t
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from coralfall import defaults
from coralfall.exceptions import (
    PeerAuthError,
    PeerClosedError,
    PeerError,
    PeerFrameError,
    PeerTimeoutError,
    PeerVersionError,
    SettingsError,
)
from coralfall.ids import EntryId, Incarnation
from coralfall.peering import channel, messages
from coralfall.peering.cipher import (
    PROOF_BYTES,
    PUBLIC_BYTES,
    FleetKey,
    FrameOpener,
    FrameSealer,
    KeyExchange,
    Role,
    StreamKeys,
)

KEY = FleetKey(bytes(range(32)))
OTHER_KEY = FleetKey(bytes(32))
HELLO = messages.Hello(entry_id=EntryId("e1"), incarnation=Incarnation(1))
FIRST = messages.LoanReturn(loan_id=1, slots=())
SECOND = messages.LoanReturn(loan_id=2, slots=())


class RawPeer:
    """The other side of a listener, which can put any bytes on the wire."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def prove(self) -> StreamKeys:
        exchange = KeyExchange(KEY, Role.DIALER)
        self.writer.write(exchange.public)
        keys = exchange.finish(await self.reader.readexactly(PUBLIC_BYTES))
        self.writer.write(keys.proof)
        keys.check_proof(await self.reader.readexactly(PROOF_BYTES))
        return keys

    async def read_frame(self) -> bytes:
        length = await self.reader.readexactly(4)
        return length + await self.reader.readexactly(int.from_bytes(length, "big"))


def frames(keys: StreamKeys) -> t.List[bytes]:
    """Hello, the first and the second message, as they go over the wire."""
    sealer = FrameSealer(keys.seal_key)
    contents = [channel.encode_message(message) for message in (HELLO, FIRST, SECOND)]
    return [framed(sealer.seal(content)) for content in contents]


def framed(sealed: bytes) -> bytes:
    return len(sealed).to_bytes(4, "big") + sealed


def flip(frame: bytes, position: int) -> bytes:
    changed = bytearray(frame)
    changed[position] ^= 1
    return bytes(changed)


def sealed_after_hello(content: bytes) -> t.Callable[[StreamKeys], bytes]:
    """Bytes of a fleet member that sends ``content`` as its second frame."""

    def build(keys: StreamKeys) -> bytes:
        sealer = FrameSealer(keys.seal_key)
        hello = sealer.seal(channel.encode_message(HELLO))
        return framed(hello) + framed(sealer.seal(content))

    return build


class ListenerCase(unittest.IsolatedAsyncioTestCase):
    async def listen(
        self, dialer: t.Callable[[RawPeer], t.Awaitable[None]]
    ) -> t.Tuple[t.List[t.Any], PeerError]:
        """What a listener receives from ``dialer``, and the error with which it ends."""
        received: t.List[t.Any] = []
        ended: asyncio.Future[PeerError] = asyncio.get_running_loop().create_future()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                opened = await channel.accept(reader, writer, KEY, HELLO)
                while True:
                    received.append(await opened.receive())
            except PeerError as error:
                ended.set_result(error)
            except Exception as error:
                ended.set_exception(error)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        raw = RawPeer(*await asyncio.open_connection(*server.sockets[0].getsockname()))
        try:
            async with asyncio.timeout(20):
                await dialer(raw)
                return received, await ended
        finally:
            raw.writer.close()
            server.close()


class TamperingTestCase(ListenerCase):
    @parameterized.expand(
        [
            ("replayed", lambda f: [f[0], f[1], f[1]], [FIRST]),
            ("reordered", lambda f: [f[0], f[2], f[1]], []),
            ("left_out", lambda f: [f[0], f[2]], []),
            ("hello_replayed", lambda f: [f[0], f[0]], []),
            ("bit_flipped_in_content", lambda f: [f[0], flip(f[1], 6)], []),
            ("bit_flipped_in_tag", lambda f: [f[0], flip(f[1], -1)], []),
            ("bit_flipped_in_length", lambda f: [f[0], flip(f[1], 3) + f[2]], []),
            ("cut_in_length", lambda f: [f[0], f[1], f[2][:2]], [FIRST]),
            ("cut_in_content", lambda f: [f[0], f[1], f[2][:-1]], [FIRST]),
            ("cut_between_frames", lambda f: [f[0], f[1]], [FIRST]),
            ("shorter_than_a_seal", lambda f: [f[0], framed(b"abc")], []),
            ("empty", lambda f: [f[0], framed(b"")], []),
            ("oversize", lambda f: [f[0], (defaults.MAX_FRAME_BYTES + 1).to_bytes(4, "big")], []),
        ]
    )
    async def test_frame(self, name, tamper, expected) -> None:
        async def dialer(raw: RawPeer) -> None:
            keys = await raw.prove()
            raw.writer.write(b"".join(tamper(frames(keys))))
            if name != "oversize":
                raw.writer.write_eof()

        received, error = await self.listen(dialer)
        self.assertIs(type(error), PeerFrameError)
        self.assertEqual(received, expected)

    async def test_reflected_frame(self) -> None:
        async def dialer(raw: RawPeer) -> None:
            await raw.prove()
            raw.writer.write(await raw.read_frame())

        received, error = await self.listen(dialer)
        self.assertIs(type(error), PeerFrameError)
        self.assertEqual(received, [])

    @parameterized.expand(
        [
            ("unknown_tag", messages.msgspec.msgpack.encode(["no-such", 1])),
            ("unknown_number", messages.msgspec.msgpack.encode([999, 1])),
            ("not_msgpack", b"\xc1\xc1"),
            ("two_messages", channel.encode_message(FIRST) * 2),
            ("field_missing", messages.msgspec.msgpack.encode([9])),
            ("wrong_type_of_field", messages.msgspec.msgpack.encode([9, "x", []])),
            ("not_an_array", messages.msgspec.msgpack.encode({"type": "LoanReturn"})),
            ("deeply_nested", b"\x93\x03\xc2" + b"\x91" * 100_000 + b"\x01"),
        ]
    )
    async def test_message(self, _, content) -> None:
        async def dialer(raw: RawPeer) -> None:
            raw.writer.write(sealed_after_hello(content)(await raw.prove()))

        received, error = await self.listen(dialer)
        self.assertIs(type(error), PeerFrameError)
        self.assertEqual(received, [])

    async def test_end_is_told_from_a_cut(self) -> None:
        async def dialer(raw: RawPeer) -> None:
            raw.writer.write(sealed_after_hello(b"")(await raw.prove()))

        _, error = await self.listen(dialer)
        self.assertIs(type(error), PeerClosedError)


class HandshakeTestCase(ListenerCase):
    @parameterized.expand(
        [
            ("garbage", lambda public: b"GET / HTTP/1.1\r\nhost: localhost\r\n\r\n" * 3),
            ("unusable_public_key", lambda public: bytes(PUBLIC_BYTES + PROOF_BYTES)),
        ]
    )
    async def test_without_key(self, _, answer) -> None:
        async def dialer(raw: RawPeer) -> None:
            raw.writer.write(answer(await raw.reader.readexactly(PUBLIC_BYTES)))

        received, error = await self.listen(dialer)
        self.assertIs(type(error), PeerAuthError)
        self.assertEqual(received, [])

    async def test_proof_sent_back(self) -> None:
        async def dialer(raw: RawPeer) -> None:
            exchange = KeyExchange(OTHER_KEY, Role.DIALER)
            raw.writer.write(exchange.public)
            await raw.reader.readexactly(PUBLIC_BYTES)
            raw.writer.write(await raw.reader.readexactly(PROOF_BYTES))

        _, error = await self.listen(dialer)
        self.assertIs(type(error), PeerAuthError)

    async def test_everything_sent_back(self) -> None:
        async def dialer(raw: RawPeer) -> None:
            echoed = await raw.reader.read(4096)
            while echoed:
                raw.writer.write(echoed)
                echoed = await raw.reader.read(4096)

        received, error = await self.listen(dialer)
        self.assertIs(type(error), PeerAuthError)
        self.assertEqual(received, [])

    async def test_cut(self) -> None:
        async def dialer(raw: RawPeer) -> None:
            raw.writer.write_eof()

        _, error = await self.listen(dialer)
        self.assertIs(type(error), PeerFrameError)

    @parameterized.expand([("nothing", 0), ("half_a_key", 16), ("key_alone", 32)])
    async def test_slow(self, _, sent) -> None:
        async def dialer(raw: RawPeer) -> None:
            raw.writer.write(KeyExchange(KEY, Role.DIALER).public[:sent])

        with mock.patch.object(defaults, "PEER_HANDSHAKE_TIMEOUT_S", 0.05):
            _, error = await self.listen(dialer)
        self.assertIs(type(error), PeerTimeoutError)

    async def test_message_before_hello(self) -> None:
        async def dialer(raw: RawPeer) -> None:
            keys = await raw.prove()
            sealer = FrameSealer(keys.seal_key)
            raw.writer.write(framed(sealer.seal(channel.encode_message(FIRST))))

        received, error = await self.listen(dialer)
        self.assertIs(type(error), PeerFrameError)
        self.assertEqual(received, [])


class DialTestCase(unittest.IsolatedAsyncioTestCase):
    async def meet(
        self, key: FleetKey, hello: messages.Hello, traffic: t.Optional[channel.Traffic] = None
    ) -> t.List[t.Any]:
        """Channel or error of the dialer, then of the listener."""
        self.traffic = channel.Traffic()
        accepted: asyncio.Future[t.Any] = asyncio.get_running_loop().create_future()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                accepted.set_result(await channel.accept(reader, writer, KEY, HELLO, self.traffic))
            except PeerError as error:
                accepted.set_result(error)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        try:
            dialed: t.Any = await channel.dial(f"{host}:{port}", key, hello, traffic)
        except PeerError as error:
            dialed = error
        ends = [dialed, await asyncio.wait_for(accepted, 20)]
        for end in ends:
            if isinstance(end, channel.Channel):
                self.addCleanup(end.abort)
        return ends

    async def test_wrong_key(self) -> None:
        for end in await self.meet(OTHER_KEY, HELLO):
            self.assertIsInstance(end, PeerAuthError)

    async def test_other_version(self) -> None:
        theirs = defaults.PEER_PROTOCOL + 1
        newer = messages.Hello(entry_id=EntryId("e2"), incarnation=Incarnation(1), protocol=theirs)
        for end in await self.meet(KEY, newer):
            self.assertIsInstance(end, PeerVersionError)
            self.assertIn(f"version {theirs}", end.message)
            self.assertIn(f"version {defaults.PEER_PROTOCOL}", end.message)

    async def test_messages_both_ways(self) -> None:
        traffic = channel.Traffic()
        dialed, accepted = await self.meet(KEY, HELLO, traffic)
        big = messages.ObjectAnswer(digest="d", data=os.urandom(1_000_000))
        for message in (FIRST, big, SECOND):
            sending = asyncio.create_task(dialed.send(message))
            self.assertEqual(await accepted.receive(), message)
            await sending
            await accepted.send(SECOND)
            self.assertEqual(await dialed.receive(), SECOND)
        self.assertGreater(traffic.sent, len(big.data))
        self.assertEqual(traffic.sent, self.traffic.received)
        self.assertEqual(traffic.received, self.traffic.sent)

    async def test_close_reaches_the_other_side(self) -> None:
        dialed, accepted = await self.meet(KEY, HELLO)
        receiving = asyncio.create_task(dialed.receive())
        await asyncio.sleep(0)
        await dialed.close()
        for waiting in (accepted.receive(), receiving):
            with self.assertRaises(PeerClosedError):
                await waiting
        with self.assertRaises(PeerClosedError):
            await dialed.send(FIRST)

    async def test_message_over_the_limit_is_not_sent(self) -> None:
        dialed, accepted = await self.meet(KEY, HELLO)
        big = messages.ObjectAnswer(digest="d", data=bytes(defaults.MAX_FRAME_BYTES))
        with self.assertRaises(PeerFrameError):
            await dialed.send(big)
        await dialed.send(FIRST)
        self.assertEqual(await accepted.receive(), FIRST)

    async def test_sender_waits_for_a_slow_receiver(self) -> None:
        dialed, _ = await self.meet(KEY, HELLO)
        big = messages.ObjectAnswer(digest="d", data=bytes(1_000_000))
        timeout = mock.patch.object(defaults, "PEER_SEND_TIMEOUT_S", 0.2)
        with timeout, self.assertRaises(PeerTimeoutError):
            async with asyncio.timeout(20):
                for _ in range(200):
                    await dialed.send(big)
        self.assertTrue(dialed.closed)

    async def test_a_receiver_that_takes_bytes_slowly_is_not_given_up(self) -> None:
        dialed, accepted = await self.meet(KEY, HELLO)
        big = messages.ObjectAnswer(digest="d", data=bytes(1_000_000))
        count = 30
        with mock.patch.object(defaults, "PEER_SEND_TIMEOUT_S", 0.8):
            sends = [asyncio.create_task(dialed.send(big)) for _ in range(count)]
            for _ in range(count):
                await asyncio.sleep(0.12)
                self.assertEqual(big, await accepted.receive())
            await asyncio.gather(*sends)

    async def test_cancelled_receive_closes(self) -> None:
        dialed, _ = await self.meet(KEY, HELLO)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.01):
                await dialed.receive()
        self.assertTrue(dialed.closed)


class FuzzTestCase(unittest.TestCase):
    @given(content=st.binary(max_size=200))
    @settings(derandomize=True, max_examples=300, deadline=None)
    def test_message(self, content) -> None:
        try:
            message = channel.decode_message(content)
        except PeerError:
            return
        self.assertIsInstance(message, messages.Message)

    @given(sealed=st.binary(max_size=200))
    @settings(derandomize=True, max_examples=200, deadline=None)
    def test_frame(self, sealed) -> None:
        with self.assertRaises(PeerError):
            FrameOpener(bytes(32)).open(sealed)

    @given(public=st.binary(min_size=32, max_size=32), proof=st.binary(min_size=32, max_size=32))
    @settings(derandomize=True, max_examples=100, deadline=None)
    def test_handshake(self, public, proof) -> None:
        with self.assertRaises(PeerError):
            KeyExchange(KEY, Role.LISTENER).finish(public).check_proof(proof)


class FleetKeyTestCase(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name, "fleet.key")

    def test_new_key_can_be_loaded(self) -> None:
        key = channel.new_fleet_key(self.path)
        self.assertEqual(len(key), 32)
        self.assertEqual(channel.load_fleet_key(self.path), key)
        with self.assertRaises(SettingsError):
            channel.new_fleet_key(self.path)
        self.assertEqual(channel.load_fleet_key(self.path), key)

    @parameterized.expand([(0o644,), (0o640,), (0o620,), (0o601,), (0o700,)])
    def test_open_to_others(self, mode) -> None:
        channel.new_fleet_key(self.path)
        self.path.chmod(mode)
        with self.assertRaisesRegex(SettingsError, "mode"):
            channel.load_fleet_key(self.path)

    @parameterized.expand(
        [("empty", b""), ("not_base64", b"%" * 44), ("short", b"AAAA"), ("long", b"A" * 64)]
    )
    def test_other_content(self, _, content) -> None:
        self.path.write_bytes(content)
        self.path.chmod(0o600)
        with self.assertRaises(SettingsError):
            channel.load_fleet_key(self.path)

    def test_missing_or_not_a_file(self) -> None:
        with self.assertRaisesRegex(SettingsError, str(self.path)):
            channel.load_fleet_key(self.path)
        os.mkfifo(self.path, 0o600)
        with self.assertRaisesRegex(SettingsError, "regular"):
            channel.load_fleet_key(self.path)
