"""What targets say of themselves in their answers, kept by entries that run as processes."""

import asyncio
import time
import typing as t
import unittest

from tests.platform_adapter.standins import InstanceStandin
from tests.platform_adapter.test_processes import EntryProcess, Installation, run_scenario

#: Bounds of the users' rules, in seconds: after an answer that told that its target leaves, and
#: after one that named a cooldown; and how many requests may come during a cooldown.
DRAIN_S = 2.0
TOLD_S = 0.5
SLACK = 2

_ASKED_PER_S = 20.0
_COOLDOWN_S = 3.0
#: Seconds of requests beyond each bound.
_WATCHED_S = 2.0


class Callers:
    """Sends requests of one object to some entries, and notes when each was answered."""

    def __init__(self, installation: Installation, entries: t.Sequence[EntryProcess]) -> None:
        self._installation = installation
        self._entries = entries
        self.sent_at: t.Dict[str, float] = {}
        self.answered_at: t.Dict[str, float] = {}
        self.statuses: t.List[int] = []

    async def send(self, seconds: float) -> None:
        began = time.monotonic()
        asked = []
        for number in range(int(seconds * _ASKED_PER_S)):
            entry = self._entries[number % len(self._entries)]
            asked.append(asyncio.create_task(self._ask(entry)))
            await asyncio.sleep(max(0.0, began + (number + 1) / _ASKED_PER_S - time.monotonic()))
        await asyncio.gather(*asked)

    async def _ask(self, entry: EntryProcess) -> None:
        sent_at = time.monotonic()
        status, _, request_id = await self._installation.request(entry)
        self.sent_at[request_id] = sent_at
        self.answered_at[request_id] = time.monotonic()
        self.statuses.append(status)


async def home_of(callers: Callers, instances: t.Sequence[InstanceStandin]) -> InstanceStandin:
    """The target that the callers' object has its requests at."""
    await callers.send(1.0)
    return max(instances, key=lambda instance: len(instance.executed_ids))


class TargetReportsTest(unittest.TestCase):
    def test_a_target_that_leaves_gets_nothing_more_while_the_store_is_away(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            (entry,) = installation.entries
            callers = Callers(installation, [entry])
            home = await home_of(callers, instances)
            installation.store.mode = "silent"
            home.leaving = True
            before = len(home.received_ids)
            await callers.send(DRAIN_S + _WATCHED_S)
            told_by = home.received_ids[before:]
            self.assertNotEqual([], told_by)
            told_at = callers.answered_at[told_by[0]]
            late = [one for one in told_by if callers.sent_at[one] > told_at + DRAIN_S]
            self.assertEqual([], late)
            self.assertEqual({200}, set(callers.statuses))

        run_scenario(scenario, entries=1)

    def test_other_entries_hear_who_leaves_while_the_store_is_away(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            # Entries of one region agree on the object's home.
            first, second = [one for one in installation.entries if one.region == "sierra"]
            home = await home_of(Callers(installation, [first, second]), instances)
            installation.store.mode = "silent"
            home.leaving = True
            await Callers(installation, [first]).send(0.5)

            async def told() -> bool:
                return f"event=target.leaving entry={second.name}" in second.log.read_text()

            await installation.wait_until("the other entry hears of it", told)
            before = len(home.received_ids)
            callers = Callers(installation, [second])
            await callers.send(1.0)
            self.assertEqual([], home.received_ids[before:])
            self.assertEqual({200}, set(callers.statuses))

        run_scenario(scenario, entries=2)

    def test_a_target_that_asks_for_a_cooldown_is_left_alone_for_it(self) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            (entry,) = installation.entries
            callers = Callers(installation, [entry])
            home = await home_of(callers, instances)
            home.cooldown_s = _COOLDOWN_S
            before = len(home.received_at)
            sending = asyncio.create_task(callers.send(_COOLDOWN_S + _WATCHED_S))
            await asyncio.sleep(_COOLDOWN_S)
            home.cooldown_s = None
            await sending
            first_at = home.received_at[before]
            until = first_at + _COOLDOWN_S
            during = [at for at in home.received_at if first_at + TOLD_S < at < until]
            self.assertLessEqual(len(during), SLACK)
            # It is used again, and others served its callers meanwhile.
            self.assertGreater(len([at for at in home.received_at if at >= until]), 0)
            self.assertEqual({200}, set(callers.statuses))

        run_scenario(scenario, entries=1)
