"""A slot stays held until its target has ended the connection of a request that was given up."""

import asyncio
import errno
import typing as t
from unittest import mock

from parameterized import parameterized

from coralfall import defaults
from coralfall.balancing.steering import AttemptResult, Reservation
from coralfall.exceptions import TargetNotRunError, TargetTimeoutError, TargetUnknownError
from coralfall.forwarding.upstream import Upstream
from tests import loopback
from tests.blackhole import drop_arriving
from tests.forwarding.test_dispatch import until
from tests.forwarding.test_upstream import CLOCK, Case

WAIT_S = 0.05
#: Time limit of reads that the target does not answer.
TIMEOUT_S = 1.0
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class BusyTarget:
    """Takes one request on each connection, and ends the connection when it is told to.

    :param ending: what it sends before it ends one.
    :param resets: whether it resets the connection instead of closing it.
    """

    def __init__(self, ending: bytes = b"", resets: bool = False) -> None:
        self.ending = ending
        self.resets = resets
        self.released = asyncio.Event()
        #: Requests that came, and connections whose end of the stream was seen.
        self.requests = 0
        self.ends_seen = 0

    async def __call__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        await reader.read()
        self.ends_seen += 1
        await self.released.wait()
        if self.resets:
            writer.transport.abort()
            return
        writer.write(self.ending)
        await writer.drain()


class GoneTargetSteering(loopback.LineSteering):
    """The bundle names the target no more."""

    def has_target(self, reservation: Reservation) -> bool:
        return False


class HalfClosedCase(Case):
    async def give_up(self, target: BusyTarget, address: str, cancelled: bool = True) -> None:
        """Sends a read, and gives it up once the target has it."""
        if not cancelled:
            with self.assertRaises(TargetTimeoutError):
                await self.ask(address, seconds=TIMEOUT_S)
            return
        asked = asyncio.ensure_future(self.ask(address, seconds=TIMEOUT_S))
        await until(lambda: target.requests == 1)
        asked.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await asked

    async def is_released(self) -> None:
        await until(lambda: self.steering.in_use == 0)


class HeldTest(HalfClosedCase):
    @parameterized.expand(
        [
            ("cancelled, then closed", True, b"", False),
            ("timed out, then closed", False, b"", False),
            ("cancelled, then answered", True, OK, False),
            ("timed out, then answered", False, OK, False),
            (
                "cancelled, then answered at length",
                True,
                b"HTTP/1.1 200 OK\r\n" + bytes(10**6),
                False,
            ),
            ("cancelled, then reset", True, b"", True),
        ]
    )
    async def test_until_the_target_ends_the_connection(
        self, _name: str, cancelled: bool, ending: bytes, resets: bool
    ) -> None:
        target = BusyTarget(ending, resets)
        async with loopback.raw_target(target) as address:
            await self.give_up(target, address, cancelled)
            expected = AttemptResult.CANCELLED if cancelled else AttemptResult.FAILED
            self.assertEqual(self.steering.results, [expected])
            # The target is told at once, and until it has ended the request nothing is released.
            await until(lambda: target.ends_seen == 1)
            await asyncio.sleep(WAIT_S)
            self.assertEqual((self.steering.in_use, self.upstream.given_up_count), (1, 1))
            target.released.set()
            await self.is_released()
            self.assertEqual(self.upstream.given_up_count, 0)

    @parameterized.expand([("closed", None), ("reset", ConnectionResetError())])
    async def test_not_after_the_target_has_ended_it(
        self, _name: str, error: t.Optional[Exception]
    ) -> None:
        async def end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            if error is not None:
                writer.transport.abort()

        async with loopback.raw_target(end) as address:
            with self.assertRaises(TargetUnknownError):
                await self.ask(address)
        self.assertEqual((self.steering.results, self.steering.in_use), ([AttemptResult.FAILED], 0))

    async def test_connection_counts_until_then(self) -> None:
        target = BusyTarget()
        async with loopback.raw_target(target) as address:
            await self.give_up(target, address)
            with self.assertRaises(TargetNotRunError):
                await self.ask(address, connections=2)
            target.released.set()
            await self.is_released()
            asked = asyncio.ensure_future(self.ask(address, connections=2))
            await until(lambda: target.requests == 2)
            asked.cancel()

    async def test_close_ends_all(self) -> None:
        target = BusyTarget()
        async with loopback.raw_target(target) as address:
            await self.give_up(target, address)
            await self.upstream.close()
        self.assertEqual(self.steering.in_use, 1)


class VanishedTest(HalfClosedCase):
    """A connection that times out says nothing of the request; a process that lives does."""

    def setUp(self) -> None:
        for name, value in (("VANISHED_TARGET_CHECK_S", 0.01), ("DEAD_TARGET_TIMEOUT_S", 0.2)):
            patch = mock.patch.object(defaults, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    async def vanish(self, target: BusyTarget, address: str) -> None:
        """Gives a read up whose connection then times out."""
        await self.give_up(target, address)
        (connections,) = self.upstream._half_closed._open_by_address.values()
        (connection,) = connections
        connection.connection_lost(TimeoutError(errno.ETIMEDOUT, "timed out"))

    async def test_until_it_ends_a_further_connection(self) -> None:
        target = BusyTarget()
        takes_connections = asyncio.Event()

        async def paused(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if not takes_connections.is_set() and target.requests:
                await takes_connections.wait()
            if not target.requests:
                await target(reader, writer)

        async with loopback.raw_target(paused) as address:
            await self.vanish(target, address)
            await asyncio.sleep(4 * defaults.DEAD_TARGET_TIMEOUT_S)
            self.assertEqual((self.steering.in_use, self.upstream.given_up_count), (1, 1))
            takes_connections.set()
            await self.is_released()

    async def test_a_connection_that_goes_silent_is_not_one_that_the_target_ended(self) -> None:
        target = BusyTarget()
        sockets = []

        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            sockets.append(writer.get_extra_info("socket"))
            await target(reader, writer)

        async with loopback.raw_target(silent) as address:
            asked = asyncio.ensure_future(self.ask(address, seconds=TIMEOUT_S))
            await until(lambda: target.requests == 1)
            drop_arriving(sockets)
            asked.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await asked
            await until(lambda: not self.upstream._half_closed._open_by_address)
            self.assertEqual((self.steering.in_use, self.upstream.given_up_count), (1, 1))
        await self.is_released()

    async def test_not_before_the_deadline(self) -> None:
        """Guards against a target that has not heard of the cancellation and serves on."""
        target = BusyTarget()

        async def serving(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if not target.requests:
                await target(reader, writer)

        async with loopback.raw_target(serving) as address:
            began = asyncio.get_running_loop().time()
            await self.vanish(target, address)
            await self.is_released()
            self.assertGreaterEqual(asyncio.get_running_loop().time() - began, TIMEOUT_S)

    async def test_until_nothing_listens_there(self) -> None:
        target = BusyTarget()
        async with loopback.raw_target(target) as address:
            await self.vanish(target, address)
        await self.is_released()

    async def test_not_once_the_target_is_no_longer_used(self) -> None:
        self.steering = GoneTargetSteering([], loopback.service())
        self.upstream = Upstream(self.steering, loopback.make_stop_admission(CLOCK), CLOCK)
        self.addAsyncCleanup(self.upstream.close)
        target = BusyTarget()
        async with loopback.raw_target(target) as address:
            await self.vanish(target, address)
            await self.is_released()
