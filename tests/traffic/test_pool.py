"""Tests of how long connections to targets are kept, also where the VM was suspended meanwhile."""

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
    """The clocks of a VM that was suspended for some time; the loop's clock stood still."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.suspended_s


async def settle(harness: ForwarderHarness) -> None:
    """Wait until no connection is being opened ahead."""
    while harness.pool._opening:
        await asyncio.wait(harness.pool._opening.values())


class SuspensionTest(unittest.TestCase):
    def opened(self, kind: str, requests: int, suspended_s: float) -> t.Tuple[int, int]:
        """Connections that a request after a suspension opened for itself, and ahead."""

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
        """The request that it is for may run once, so that a dead one would cost its answer."""
        with mock.patch.object(pool, "_DISTANT_S", 0.0):
            self.assertEqual(opened, self.opened("unsafe", 2, suspended_s))
