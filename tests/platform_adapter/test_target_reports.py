"""Tests that entries, run as processes, obey what targets report in response headers.

Reports are: the target is leaving, and the target asks for a cooldown.
"""

import asyncio
import time
import typing as t
import unittest

from tests.platform_adapter.standins import InstanceStandin
from tests.platform_adapter.test_processes import EntryProcess, Installation, run_scenario

#: The users' bounds: time in seconds until no request reaches a leaving target any more, time until
#: a cooldown is obeyed, both counted from the answer that reported it, and the number of requests
#: that may still arrive during a cooldown.
DRAIN_S = 2.0
COOLDOWN_DELAY_S = 0.5
COOLDOWN_SLACK = 2

_REQUESTS_PER_S = 20.0
_COOLDOWN_S = 3.0
#: Time in seconds for which requests go on after each bound.
_OBSERVED_S = 2.0


class Callers:
    """Sends requests for one object to some entries and records the time of each answer."""

    def __init__(self, installation: Installation, entries: t.Sequence[EntryProcess]) -> None:
        self._installation = installation
        self._entries = entries
        self.sent_at: t.Dict[str, float] = {}
        self.answered_at: t.Dict[str, float] = {}
        self.statuses: t.List[int] = []

    async def send(self, seconds: float) -> None:
        started_at = time.monotonic()
        tasks = []
        for number in range(int(seconds * _REQUESTS_PER_S)):
            entry = self._entries[number % len(self._entries)]
            tasks.append(asyncio.create_task(self._request(entry)))
            await asyncio.sleep(
                max(0.0, started_at + (number + 1) / _REQUESTS_PER_S - time.monotonic())
            )
        await asyncio.gather(*tasks)

    async def _request(self, entry: EntryProcess) -> None:
        sent_at = time.monotonic()
        status, _, request_id = await self._installation.request(entry)
        self.sent_at[request_id] = sent_at
        self.answered_at[request_id] = time.monotonic()
        self.statuses.append(status)


async def find_home(callers: Callers, instances: t.Sequence[InstanceStandin]) -> InstanceStandin:
    """Returns the home of the callers' object, the target that runs its requests."""
    await callers.send(1.0)
    return max(instances, key=lambda instance: len(instance.executed_ids))


class TargetReportsTest(unittest.TestCase):
    def test_leaving_target_is_drained_during_a_store_outage(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            (entry,) = installation.entries
            callers = Callers(installation, [entry])
            home = await find_home(callers, instances)
            installation.store.mode = "silent"
            home.leaving = True
            before = len(home.received_ids)
            await callers.send(DRAIN_S + _OBSERVED_S)
            received_ids = home.received_ids[before:]
            self.assertNotEqual([], received_ids)
            reported_at = callers.answered_at[received_ids[0]]
            late = [one for one in received_ids if callers.sent_at[one] > reported_at + DRAIN_S]
            self.assertEqual([], late)
            self.assertEqual({200}, set(callers.statuses))

        run_scenario(scenario, entries=1)

    def test_leaving_target_is_gossiped_during_a_store_outage(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            # Entries of one region agree on the object's home.
            first, second = [one for one in installation.entries if one.region == "sierra"]
            home = await find_home(Callers(installation, [first, second]), instances)
            installation.store.mode = "silent"
            home.leaving = True
            await Callers(installation, [first]).send(0.5)

            async def is_logged() -> bool:
                return f"event=target.leaving entry={second.name}" in second.log.read_text()

            await installation.wait_until(
                "the other entry learns that the target is leaving", is_logged
            )
            before = len(home.received_ids)
            callers = Callers(installation, [second])
            await callers.send(1.0)
            self.assertEqual([], home.received_ids[before:])
            self.assertEqual({200}, set(callers.statuses))

        run_scenario(scenario, entries=2)

    def test_cooldown_is_obeyed(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            (entry,) = installation.entries
            callers = Callers(installation, [entry])
            home = await find_home(callers, instances)
            home.cooldown_s = _COOLDOWN_S
            before = len(home.received_at)
            sending = asyncio.create_task(callers.send(_COOLDOWN_S + _OBSERVED_S))
            await asyncio.sleep(_COOLDOWN_S)
            home.cooldown_s = None
            await sending
            first_at = home.received_at[before]
            cooldown_end = first_at + _COOLDOWN_S
            during = [
                at for at in home.received_at if first_at + COOLDOWN_DELAY_S < at < cooldown_end
            ]
            self.assertLessEqual(len(during), COOLDOWN_SLACK)
            # The target is used again afterwards, and other targets served its requests meanwhile.
            self.assertGreater(len([at for at in home.received_at if at >= cooldown_end]), 0)
            self.assertEqual({200}, set(callers.statuses))

        run_scenario(scenario, entries=1)
