"""Tests of dead peer detection: on states as the kernel reports them, and on loopback."""

import asyncio
import contextlib
import socket
import typing as t
import unittest
from unittest import mock

from parameterized import parameterized

from coralfall import defaults
from coralfall.process import dead_peer
from coralfall.process.dead_peer import AckTracker, DeadPeerDetector
from coralfall.process.fastloop import Loop
from coralfall.process.sockets import detect_dead_peer
from coralfall.process.tcp_state import TcpState, read_tcp_state
from tests.blackhole import drop_arriving

TIMEOUT_S = 0.4
LOOPS: t.List[t.Tuple[str, t.Callable[[], asyncio.AbstractEventLoop]]] = [
    ("asyncio", asyncio.new_event_loop),
    ("uvloop", Loop),
]
#: Receive buffer of a peer whose window closes soon.
SMALL_BUFFER = 16384
#: Seconds within which a connection that went silent has to be ended.
NOTICED_S = 2 * TIMEOUT_S
#: The same behind a closed window, which the kernel probes at times that double.
NOTICED_BEHIND_WINDOW_S = 2.0 + NOTICED_S


def state(
    sent_ago_s: float,
    acked_ago_s: float,
    segments_in: int = 2,
    in_flight: int = 0,
    unsent: int = 0,
    probes: int = 0,
    retransmits: int = 0,
) -> TcpState:
    return TcpState(in_flight, unsent, probes, retransmits, segments_in, sent_ago_s, acked_ago_s)


class AckTrackerTest(unittest.TestCase):
    @parameterized.expand(
        [
            (
                "sent after a long time without traffic",
                [(0.1, state(0.1, 5.0, in_flight=1)), (0.4, state(0.2, 5.3, in_flight=1))],
                0.0,
            ),
            ("sent a moment ago", [(0.1, state(0.1, 5.0, in_flight=1))], 0.3),
            (
                "sent in the same tick as an acknowledgement",
                [(0.1, state(0.1, 0.1, in_flight=1)), (0.4, state(0.2, 0.4, in_flight=1))],
                0.0,
            ),
            (
                "answered meanwhile",
                [(0.1, state(0.1, 5.0, in_flight=1)), (0.4, state(0.4, 0.1, 3, in_flight=0))],
                TIMEOUT_S,
            ),
            (
                "end of the stream, which is no data, sent again",
                [
                    (0.1, state(5.0, 4.9, in_flight=1)),
                    (0.2, state(5.1, 5.0, in_flight=1, retransmits=1)),
                    (0.6, state(5.5, 5.4, in_flight=1, retransmits=2)),
                ],
                0.0,
            ),
            (
                "window closed",
                [(n / 10, state(n / 10, n / 10, unsent=9)) for n in range(1, 20)],
                TIMEOUT_S,
            ),
            (
                "window shrunk, retransmission answered",
                [
                    (0.6, state(0.0, 0.0, 4, in_flight=1, retransmits=2)),
                    (1.2, state(0.6, 0.6, 4, in_flight=1, retransmits=2)),
                ],
                TIMEOUT_S,
            ),
            (
                "window probe unanswered as the peer limits its answers",
                [
                    (0.5, state(0.7, 0.43, unsent=9)),
                    (0.6, state(0.8, 0.53, unsent=9, probes=1)),
                    (1.3, state(1.5, 1.23, unsent=9, probes=1)),
                ],
                TIMEOUT_S,
            ),
            (
                "window probe unanswered",
                [
                    (1.0, state(1.7, 0.85, unsent=9)),
                    (1.1, state(1.8, 0.95, unsent=9, probes=1)),
                    (1.5, state(2.2, 1.35, unsent=9, probes=1)),
                ],
                0.0,
            ),
            (
                "window probe sent while this process stood still",
                [
                    (0.1, state(0.1, 0.1, unsent=9)),
                    (3.0, state(3.0, 1.0, 3, unsent=9, probes=1)),
                    (3.4, state(3.4, 1.4, 3, unsent=9, probes=1)),
                ],
                TIMEOUT_S,
            ),
        ]
    )
    def test_time_left(
        self, _name: str, observed: t.List[t.Tuple[float, TcpState]], expected: float
    ) -> None:
        tracker = AckTracker(TIMEOUT_S)
        for now, one in observed:
            tracker.observe(now, one)
        self.assertAlmostEqual(expected, tracker.time_left_s(now))


class _Sender(asyncio.Protocol):
    def __init__(self) -> None:
        self.lost_at: "asyncio.Future[float]" = asyncio.get_running_loop().create_future()

    def connection_lost(self, exc: t.Optional[Exception]) -> None:
        self.lost_at.set_result(asyncio.get_running_loop().time())


class Pair:
    """A watched connection and its peer, which reads only when it is told to."""

    def __init__(self, sender: _Sender, transport: asyncio.Transport, peer: socket.socket) -> None:
        self.sender = sender
        self.transport = transport
        self.peer = peer
        self._detector = DeadPeerDetector(transport, TIMEOUT_S)

    def write(self, size: int) -> float:
        """Writes bytes, and returns when."""
        self.transport.write(b"u" * size)
        self._detector.note_write()
        return asyncio.get_running_loop().time()

    async def receive(self, size: int) -> None:
        loop = asyncio.get_running_loop()
        while size:
            size -= len(await loop.sock_recv(self.peer, min(size, SMALL_BUFFER)))


@contextlib.asynccontextmanager
async def connected() -> t.AsyncIterator[Pair]:
    loop = asyncio.get_running_loop()
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        host, port = listener.getsockname()
        transport, sender = await loop.create_connection(_Sender, host, port)
        peer, _ = await loop.sock_accept(listener)
    with peer:
        try:
            yield Pair(sender, t.cast(asyncio.Transport, transport), peer)
        finally:
            transport.abort()


def run(
    make_loop: t.Callable[[], asyncio.AbstractEventLoop],
    scenario: t.Callable[[Pair], t.Awaitable[t.Any]],
) -> t.Any:
    async def main() -> t.Any:
        async with connected() as pair:
            return await scenario(pair)

    with asyncio.Runner(loop_factory=make_loop) as runner:
        return runner.run(main())


class LoopbackTest(unittest.TestCase):
    @parameterized.expand(LOOPS)
    def test_a_peer_that_is_slow_to_read_is_not_taken_for_dead(
        self, _name: str, make_loop: t.Callable[[], asyncio.AbstractEventLoop]
    ) -> None:
        async def scenario(pair: Pair) -> bool:
            pair.write(300_000)
            for pause_s in (0.5, 1.0, 2.5):
                await asyncio.sleep(pause_s)
                await pair.receive(60_000)
            await pair.receive(120_000)
            return pair.sender.lost_at.done()

        self.assertFalse(run(make_loop, scenario))

    @parameterized.expand(LOOPS)
    def test_a_connection_that_goes_silent_is_ended_in_time(
        self, _name: str, make_loop: t.Callable[[], asyncio.AbstractEventLoop]
    ) -> None:
        async def scenario(pair: Pair) -> float:
            pair.write(1000)
            await pair.receive(1000)
            await asyncio.sleep(0.6)
            drop_arriving([pair.peer])
            written_at = pair.write(1000)
            return await pair.sender.lost_at - written_at

        self.assertLess(run(make_loop, scenario), NOTICED_S)

    @parameterized.expand(LOOPS)
    def test_a_connection_that_goes_silent_behind_a_closed_window_is_ended(
        self, _name: str, make_loop: t.Callable[[], asyncio.AbstractEventLoop]
    ) -> None:
        async def scenario(pair: Pair) -> float:
            pair.write(300_000)
            await asyncio.sleep(1.0)
            drop_arriving([pair.peer])
            silent_at = asyncio.get_running_loop().time()
            async with asyncio.timeout(10.0):
                return await pair.sender.lost_at - silent_at

        self.assertLess(run(make_loop, scenario), NOTICED_BEHIND_WINDOW_S)

    @parameterized.expand(LOOPS)
    def test_idle_connections_are_not_ended(
        self, _name: str, make_loop: t.Callable[[], asyncio.AbstractEventLoop]
    ) -> None:
        async def scenario(pair: Pair) -> bool:
            pair.write(1000)
            await pair.receive(1000)
            await asyncio.sleep(0.2)
            drop_arriving([pair.peer])
            await asyncio.sleep(2 * TIMEOUT_S)
            return pair.sender.lost_at.done()

        self.assertFalse(run(make_loop, scenario))

    @parameterized.expand(LOOPS)
    def test_a_half_closed_connection_to_a_paused_target_is_kept(
        self, _name: str, make_loop: t.Callable[[], asyncio.AbstractEventLoop]
    ) -> None:
        async def scenario(pair: Pair) -> bool:
            detect_dead_peer(pair.transport)
            pair.transport.write(b"u" * 300_000)
            pair.transport.write_eof()
            await asyncio.sleep(4.0)
            return pair.sender.lost_at.done()

        with mock.patch.object(defaults, "DEAD_TARGET_TIMEOUT_S", 1.0):
            self.assertFalse(run(make_loop, scenario))

    @parameterized.expand(
        [
            (f"{name}, {what}", make_loop, size)
            for name, make_loop in LOOPS
            for what, size in (("idle", 0), ("with data that waits", 300_000))
        ]
    )
    def test_a_half_closed_connection_to_a_lost_target_is_ended(
        self, _name: str, make_loop: t.Callable[[], asyncio.AbstractEventLoop], size: int
    ) -> None:
        async def scenario(pair: Pair) -> None:
            detect_dead_peer(pair.transport)
            if size:
                pair.transport.write(b"u" * size)
                await asyncio.sleep(0.5)
            drop_arriving([pair.peer])
            pair.transport.write_eof()
            async with asyncio.timeout(10.0):
                await pair.sender.lost_at

        with mock.patch.object(defaults, "DEAD_TARGET_TIMEOUT_S", 1.0):
            run(make_loop, scenario)

    def test_the_kernel_decides_where_it_reports_too_little(self) -> None:
        async def scenario(pair: Pair) -> int:
            opened: socket.socket = pair.transport.get_extra_info("socket")
            with mock.patch.object(dead_peer, "read_tcp_state", return_value=None):
                DeadPeerDetector(pair.transport, defaults.DEAD_PEER_TIMEOUT_S)
            return opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)

        self.assertEqual(defaults.DEAD_PEER_TIMEOUT_S * 1000, run(Loop, scenario))

    def test_linux_reports_the_state(self) -> None:
        async def scenario(pair: Pair) -> t.Optional[TcpState]:
            pair.write(300_000)
            await asyncio.sleep(0.3)
            return read_tcp_state(pair.transport.get_extra_info("socket"))

        read = run(Loop, scenario)
        self.assertGreater(read.segments_in, 0)
        self.assertGreater(read.unsent_bytes, 0)
        self.assertEqual(0, read.in_flight)
