"""Tests that entries, run as processes, together obey the rate limit that a target announces."""

import asyncio
import time
import typing as t
import unittest

from tests.platform_adapter.standins import InstanceStandin
from tests.platform_adapter.test_processes import ZONES, Installation, run_scenario
from tests.traffic.quota_fleet import max_in_window

#: The users' bounds: seconds until the limit must be obeyed, length of the window in seconds, and
#: the factor and number of requests by which the limit may be exceeded in a window.
STABLE_S = 4.0
WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5
#: Minimum utilisation of the limit under sufficient load.
MIN_UTILISATION = 0.75

_LIMIT_PER_S = 3.0
_REQUESTS_PER_S = 18.0
_MEASURED_S = 8.0


class Callers:
    """Sends requests for one object at a constant rate, to one entry after the other."""

    def __init__(self, installation: Installation) -> None:
        self._installation = installation
        self._tasks: t.Set["asyncio.Task[None]"] = set()
        self.statuses: t.List[int] = []

    async def send(self, seconds: float) -> None:
        # Entries of one region agree on the object's home.
        entries = [one for one in self._installation.entries if one.region == "sierra"]
        started_at = time.monotonic()
        for number in range(int(seconds * _REQUESTS_PER_S)):
            entry = entries[number % len(entries)]
            self._tasks.add(asyncio.create_task(self._request(entry)))
            await asyncio.sleep(
                max(0.0, started_at + (number + 1) / _REQUESTS_PER_S - time.monotonic())
            )
        await asyncio.gather(*self._tasks)

    async def _request(self, entry: t.Any) -> None:
        status, _, _ = await self._installation.request(entry)
        self.statuses.append(status)


class TargetLimitTest(unittest.TestCase):
    def test_entries_together_obey_a_target_limit(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            callers = Callers(installation)
            await callers.send(1.0)
            home = max(instances, key=lambda instance: len(instance.executed_ids))
            self.assertEqual("sierra", ZONES[instances.index(home)].partition("-")[0])
            home.limit_per_s = _LIMIT_PER_S
            await callers.send(STABLE_S)
            measured_from = time.monotonic()
            await callers.send(_MEASURED_S)
            arrived_at = [at for at in home.received_at if at >= measured_from]
            max_requests = FACTOR * _LIMIT_PER_S * WINDOW_S + SLACK
            self.assertLessEqual(max_in_window(arrived_at, WINDOW_S), max_requests)
            self.assertGreaterEqual(len(arrived_at), MIN_UTILISATION * _LIMIT_PER_S * _MEASURED_S)
            # Other targets have capacity for the remaining requests.
            self.assertEqual({200}, set(callers.statuses))

        run_scenario(scenario, entries=4)
