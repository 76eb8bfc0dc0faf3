"""Tests of for how long an entry that leaves goes on serving."""

import asyncio
import math
import typing as t
import unittest

from parameterized import parameterized

from coralfall.cluster.control import Presence
from coralfall.exceptions import PlatformError
from coralfall.process.shutdown import Shutdown
from coralfall.settings import EntrySettings, LeaseSettings
from tests.virtual_loop import LoopClock, run_virtual


class SlowMembership:
    """Membership whose row takes long to be written.

    :param seconds: until the write fails; infinite if it hangs.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds

    async def start_leaving(self) -> None:
        await asyncio.sleep(self._seconds)
        if self._seconds:
            raise PlatformError("planned")


class PresenceTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("look-ups last shorter than half of the grace", 30.0, 0.0, 7.0),
            ("look-ups last longer", 6.0, 0.0, 3.0),
            ("the platform fails", 30.0, 2.0, 9.0),
            ("the platform hangs", 6.0, math.inf, 3.0),
            ("the platform fails late", 3.0, 2.0, 1.5),
        ]
    )
    def test_serves_on_while_look_ups_may_name_it(
        self, _name: str, grace_s: float, write_s: float, expected: float
    ) -> None:
        """An entry served on for as long as look-ups lasted, though it was killed before."""

        async def main(clock: LoopClock) -> float:
            shutdown = Shutdown(grace_s, clock)
            other: t.Any = None
            membership: t.Any = SlowMembership(write_s)
            settings = EntrySettings(
                entry_id=other,
                vm_id=other,
                region=other,
                zone=other,
                site=other,
                caller_address="",
                peer_address="",
                operator_address="",
                platform=other,
                partners={},
                peers=other,
                lease=LeaseSettings(poll_s=1.0),
                lookup_ttl_s=5.0,
            )
            closed_at: t.List[float] = []
            presence = Presence(
                other, membership, settings, shutdown, lambda: closed_at.append(clock.monotonic())
            )
            shutdown.begin_now()
            began = clock.monotonic()
            await presence.stop()
            self.assertEqual(closed_at, [began])
            return clock.monotonic() - began

        self.assertAlmostEqual(expected, run_virtual(main), places=3)
