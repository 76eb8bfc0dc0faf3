"""Tests of how soon all entries of a fleet quarantine a poison request, on virtual time."""

import asyncio
import random
import typing as t
import unittest

from parameterized import parameterized

from coralfall.ids import TargetId
from coralfall.placement.fingerprint import Fingerprint, HeadDigest, caller_digest
from coralfall.placement.quarantine import crash_digest
from coralfall.traffic.gossip import Gossip
from coralfall.traffic.messages import Push
from tests.traffic.entry_fixture import EntryFixture
from tests.traffic.makers import make_record, make_state, make_target
from tests.traffic.test_gossip import CarryingLinks
from tests.virtual_loop import LoopClock, run_virtual

POISON = Fingerprint(HeadDigest(1), 2)
CALLER = caller_digest("10.0.0.1")
#: Seconds from the third crash until all entries know it, and most sends after that.
STABLE_S = 3.0
MAX_LATE_SENDS = 3
_LATENCY_S = 0.035
#: Seconds from a send until the entry knows of the crash, and between two attempts.
_CRASH_S = 0.15
_ATTEMPT_INTERVAL_S = 0.1
_DURATION_S = 8.0


class Links(CarryingLinks):
    """Links that also carry pushes, unless all pushes are to be lost."""

    def __init__(self, others: t.Sequence[EntryFixture], pushes: bool) -> None:
        super().__init__(others, _LATENCY_S)
        self._pushes = pushes
        self.gossip_by_address: t.Dict[str, Gossip] = {}

    async def post(self, address: str, push: Push) -> None:
        if not self._pushes:
            return
        await asyncio.sleep(_LATENCY_S)
        self.gossip_by_address[address].relay(push.news, push.relay)
        self.others[address].exchange.merge(push.news)


class Fleet:
    """Entries that all know each other, and the times of the sends of the poison request."""

    def __init__(self, count: int, pushes: bool, clock: LoopClock) -> None:
        self.clock = clock
        self.rng = random.Random(count)
        self.entries = [EntryFixture(f"e{number}", clock, seed=number) for number in range(count)]
        self.links = Links(self.entries, pushes)
        self.sent_at: t.List[float] = []
        self.crashed_at: t.List[float] = []
        records = [make_record(f"e{number}") for number in range(count)]
        self.work: t.List["asyncio.Task[t.Any]"] = []
        for number, known in enumerate(self.entries):
            known.members.merge_records(records)
            known.learn_state(1, "state/a", make_state(3))
            known.learn_targets(2, make_target(1))
            gossip = self._gossip(known, number)
            self.links.gossip_by_address[known.members.own_record.peer_address] = gossip
            self.work.append(asyncio.create_task(gossip.run()))

    def _gossip(self, known: EntryFixture, seed: int) -> Gossip:
        links = t.cast(t.Any, self.links)
        return Gossip(known.exchange, known.members, links, [], self.clock, random.Random(seed))

    async def attempt(self, known: EntryFixture) -> None:
        """One attempt at an entry: at most two sends, each of which crashes a target."""
        for _ in range(2):
            if known.quarantine.refuses(POISON, CALLER):
                return
            number = len(self.sent_at)
            self.sent_at.append(self.clock.monotonic())
            await asyncio.sleep(_CRASH_S)
            self.crashed_at.append(self.clock.monotonic())
            # An innocent request was in flight there, too.
            innocent = Fingerprint(HeadDigest(100 + number), 2)
            in_flight = [(POISON, CALLER), (innocent, CALLER)]
            crash = crash_digest(TargetId(f"t{number}"), 1)
            known.quarantine.record_crash(crash, in_flight)

    async def play(self, seconds: float) -> None:
        until = self.clock.monotonic() + seconds
        while self.clock.monotonic() < until:
            entry = self.rng.choice(self.entries)
            self.work.append(asyncio.create_task(self.attempt(entry)))
            await asyncio.sleep(_ATTEMPT_INTERVAL_S)

    def count_late_sends(self) -> int:
        """Number of sends after the time at which all entries have to know of the third crash."""
        third_at = sorted(self.crashed_at)[2]
        return sum(at > third_at + STABLE_S for at in self.sent_at)


class FleetTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("today", 12, True),
            ("today, no push arrives", 12, False),
            ("the large site", 195, True),
            ("the large site, no push arrives", 195, False),
            ("the largest fleet", 530, True),
        ]
    )
    def test_all_entries_know_it_in_time(self, _name: str, count: int, pushes: bool) -> None:
        async def main(clock: LoopClock) -> t.Tuple[int, bool]:
            fleet = Fleet(count, pushes, clock)
            await asyncio.sleep(1.0)
            await fleet.play(_DURATION_S)
            knows = all(known.quarantine.refuses(POISON, CALLER) for known in fleet.entries)
            for task in fleet.work:
                task.cancel()
            return fleet.count_late_sends(), knows

        count_late_sends, knows = run_virtual(main)
        self.assertLessEqual(count_late_sends, MAX_LATE_SENDS)
        self.assertTrue(knows)
