"""Checks of targets by connections without a request."""

import asyncio
import typing as t
import unittest
from unittest import mock

from parameterized import parameterized

from coralfall import defaults
from coralfall.forwarding.target_check import TargetChecks, is_serving_or_gone
from coralfall.ids import TargetId
from coralfall.process.clock import SystemClock
from coralfall.process.loop import new_loop
from tests import loopback
from tests.balancing.test_handover import Entry, make_limits
from tests.forwarding.test_dispatch import until
from tests.members import deleted, put

T0 = TargetId("t0")
CLOCK = SystemClock()


async def serving(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
    await reader.read()


async def resetting(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


async def paused(_reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
    """As a process that is stopped: its kernel takes the connection."""
    await asyncio.Event().wait()


class CheckTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.set_default("VANISHED_TARGET_CHECK_S", 0.01)

    def set_default(self, name: str, value: float) -> None:
        patch = mock.patch.object(defaults, name, value)
        patch.start()
        self.addCleanup(patch.stop)

    @parameterized.expand(
        [("serving", serving, True), ("resetting", resetting, True), ("paused", paused, False)]
    )
    async def test_process_at_an_address(
        self, _name: str, handler: loopback.Handler, expected: bool
    ) -> None:
        if not expected:
            self.set_default("DEAD_TARGET_TIMEOUT_S", 0.1)
        async with loopback.raw_target(handler) as address:
            self.assertEqual(await is_serving_or_gone(address), expected)

    def test_on_the_loop_of_a_process(self) -> None:
        async def check() -> t.Tuple[bool, bool]:
            async with loopback.raw_target(serving) as address:
                is_serving = await is_serving_or_gone(address)
            self.set_default("DEAD_TARGET_TIMEOUT_S", 0.1)
            async with loopback.raw_target(paused) as address:
                return is_serving, await is_serving_or_gone(address)

        with asyncio.Runner(loop_factory=new_loop) as runner:
            self.assertEqual(runner.run(check()), (True, False))

    async def test_nothing_listens(self) -> None:
        async with loopback.raw_target(serving) as address:
            pass
        self.assertTrue(await is_serving_or_gone(address))

    async def test_stand_in(self) -> None:
        async with loopback.target() as (address, standin):
            self.assertTrue(await is_serving_or_gone(address))
            self.assertEqual(standin.state.max_in_flight, 0)

    async def test_one_check_at_a_time_until_the_target_is_alive(self) -> None:
        self.set_default("DEAD_TARGET_TIMEOUT_S", 0.1)
        steering = mock.Mock()
        checks = TargetChecks(steering, CLOCK)
        self.addAsyncCleanup(checks.close)
        connections = 0
        is_alive = asyncio.Event()

        async def handler(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            nonlocal connections
            connections += 1
            await is_alive.wait()
            await reader.read()

        async with loopback.raw_target(handler) as address:
            steering.unproved_addresses.return_value = {T0: address}
            before = CLOCK.monotonic()
            for _ in range(3):
                checks.start_due()
            await until(lambda: connections == 1)
            while connections < 3:
                checks.start_due()
                await asyncio.sleep(0.01)
            steering.record_life.assert_not_called()
            is_alive.set()
            while not steering.record_life.called:
                checks.start_due()
                await asyncio.sleep(0.01)
        (target_id, sent_at), _ = steering.record_life.call_args
        self.assertEqual(target_id, T0)
        # A sign of life counts from the time at which the check was sent.
        self.assertTrue(before <= sent_at < CLOCK.monotonic())


class ProofTest(unittest.TestCase):
    """Steering tells which targets to check, by the bundle's addresses."""

    @parameterized.expand([("not yet", 7.0, False), ("waiting time is over", 7.5, True)])
    def test_target_of_a_gained_slot(self, _name: str, seconds: float, expected: bool) -> None:
        entry = Entry(make_limits(), targets_answer=False)
        entry.apply_rows(put("a", 1), put("b", 2))
        entry.clock.advance(9.0)
        entry.apply_rows(deleted("b", 3))
        entry.clock.advance(seconds)
        targets: t.List[TargetId] = [T0] if expected else []
        self.assertEqual(entry.slots.unproved_targets(), targets)
        kept = entry.slots.free(T0)
        entry.slots.record_life(T0, entry.clock.now)
        self.assertEqual(entry.slots.free(T0) > kept, expected)
        self.assertEqual(entry.slots.unproved_targets(), [])
