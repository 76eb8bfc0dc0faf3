"""Tests of how long connections to targets are kept, also while the VM is suspended."""

import asyncio
import typing as t
import unittest
from unittest import mock

from parameterized import parameterized

from coralfall.process.clock import SystemClock
from coralfall.traffic import pool
from tests.traffic.scripted_target import ScriptedTarget
from tests.traffic.test_forwarder import ForwarderHarness, ok


class SuspendedClock(SystemClock):
    """The clock of a VM that was suspended for some time, while the event loop's clock stopped."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.suspended_s


async def settle(harness: ForwarderHarness) -> None:
    """Waits until no connection is being opened in advance."""
    while harness.pool._pending_preconnects:
        await asyncio.wait(harness.pool._pending_preconnects.values())


class SuspensionTest(unittest.TestCase):
    def opened(self, kind: str, requests: int, suspended_s: float) -> t.Tuple[int, int]:
        """Returns how many connections a request opens after a suspension: at once, in advance."""

        async def main() -> t.Tuple[int, int]:
            clock = SuspendedClock()
            async with ScriptedTarget(ok) as target:
                harness = ForwarderHarness([target.address], clock=clock)
                for number in range(requests):
                    await harness.forward(harness.request(kind, number))
                    await settle(harness)
                opened, ahead = harness.pool.opened_count, harness.pool.preconnected_count
                clock.suspended_s = suspended_s
                await harness.forward(harness.request(kind, requests))
                await settle(harness)
                ahead = harness.pool.preconnected_count - ahead
                harness.pool.close()
                return harness.pool.opened_count - opened - ahead, ahead

        return asyncio.run(main())

    @parameterized.expand([("not at all", 0.0, 0), ("longer than it is kept", 5.0, 1)])
    def test_a_kept_connection(self, _name: str, suspended_s: float, opened: int) -> None:
        self.assertEqual((opened, 0), self.opened("safe", 1, suspended_s))

    @parameterized.expand([("not at all", 0.0, (0, 1)), ("longer than it is kept", 5.0, (1, 0))])
    def test_one_that_was_opened_ahead(
        self, _name: str, suspended_s: float, opened: t.Tuple[int, int]
    ) -> None:
        """It serves requests that are not idempotent, so a dead one would cost the response."""
        with mock.patch.object(pool, "_DISTANT_CONNECT_S", 0.0):
            self.assertEqual(opened, self.opened("unsafe", 2, suspended_s))
