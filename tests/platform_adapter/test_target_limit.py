"""The limit that a target names, kept by all entries together, at entries that run as processes."""

import asyncio
import time
import typing as t
import unittest

from tests.platform_adapter.standins import InstanceStandin
from tests.platform_adapter.test_processes import ZONES, Installation, run_scenario
from tests.traffic.quota_fleet import max_in_window

#: By the users' rule: seconds until the limit binds, seconds of a window, and by what factor and
#: number the requests in it may exceed the limit.
STABLE_S = 4.0
WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5
#: Part of its limit that a target with enough callers is to be given.
LEAST_PART = 0.75

_LIMIT_PER_S = 3.0
_ASKED_PER_S = 18.0
_BOUND_S = 8.0


class Callers:
    """Sends requests of one object at a steady rate, to one entry after the other."""

    def __init__(self, installation: Installation) -> None:
        self._installation = installation
        self._asked: t.Set["asyncio.Task[None]"] = set()
        self.statuses: t.List[int] = []

    async def send(self, seconds: float) -> None:
        # Entries of one region agree on the object's home.
        entries = [one for one in self._installation.entries if one.region == "sierra"]
        began = time.monotonic()
        for number in range(int(seconds * _ASKED_PER_S)):
            entry = entries[number % len(entries)]
            self._asked.add(asyncio.create_task(self._ask(entry)))
            await asyncio.sleep(max(0.0, began + (number + 1) / _ASKED_PER_S - time.monotonic()))
        await asyncio.gather(*self._asked)

    async def _ask(self, entry: t.Any) -> None:
        status, _, _ = await self._installation.request(entry)
        self.statuses.append(status)


class TargetLimitTest(unittest.TestCase):
    def test_entries_together_send_no_more_than_a_target_takes(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            callers = Callers(installation)
            await callers.send(1.0)
            home = max(instances, key=lambda instance: len(instance.executed_ids))
            self.assertEqual("sierra", ZONES[instances.index(home)].partition("-")[0])
            home.limit_per_s = _LIMIT_PER_S
            await callers.send(STABLE_S)
            bound_at = time.monotonic()
            await callers.send(_BOUND_S)
            arrived_at = [at for at in home.received_at if at >= bound_at]
            most = FACTOR * _LIMIT_PER_S * WINDOW_S + SLACK
            self.assertLessEqual(max_in_window(arrived_at, WINDOW_S), most)
            self.assertGreaterEqual(len(arrived_at), LEAST_PART * _LIMIT_PER_S * _BOUND_S)
            # The other targets have room for the rest.
            self.assertEqual({200}, set(callers.statuses))

        run_scenario(scenario, entries=4)
