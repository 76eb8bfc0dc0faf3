"""Tests of how soon all entries of a fleet refuse a request that ends targets, on virtual time."""

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

DEADLY = Fingerprint(HeadDigest(1), 2)
CALLER = caller_digest("10.0.0.1")
#: As in the test of processes: from the third end on, and how often it may be sent later.
STABLE_S = 3.0
MOST_LATER = 3
_WAY_S = 0.035
#: Seconds from a send until its target has ended and the entry knows it, and between two attempts.
_ENDS_S = 0.15
_EVERY_S = 0.1
_PLAYED_S = 8.0


class Links(CarryingLinks):
    """Carries pushes, too, unless all of them are lost."""

    def __init__(self, others: t.Sequence[EntryFixture], pushes: bool) -> None:
        super().__init__(others, _WAY_S)
        self._pushes = pushes
        self.gossip_by_address: t.Dict[str, Gossip] = {}

    async def post(self, address: str, push: Push) -> None:
        if not self._pushes:
            return
        await asyncio.sleep(_WAY_S)
        self.gossip_by_address[address].relay(push.news, push.relay)
        self.others[address].exchange.take(push.news)


class Fleet:
    """Entries that all know each other, and how often the deadly request was sent to a target."""

    def __init__(self, count: int, pushes: bool, clock: LoopClock) -> None:
        self.clock = clock
        self.rng = random.Random(count)
        self.entries = [EntryFixture(f"e{number}", clock, seed=number) for number in range(count)]
        self.links = Links(self.entries, pushes)
        self.sent_at: t.List[float] = []
        self.ended_at: t.List[float] = []
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
        """One attempt at an entry: two sends at the most, each of which ends a target."""
        for _ in range(2):
            if known.quarantine.refuses(DEADLY, CALLER):
                return
            number = len(self.sent_at)
            self.sent_at.append(self.clock.monotonic())
            await asyncio.sleep(_ENDS_S)
            self.ended_at.append(self.clock.monotonic())
            # Another request was in hand there, which ends with it.
            beside = Fingerprint(HeadDigest(100 + number), 2)
            in_hand = [(DEADLY, CALLER), (beside, CALLER)]
            crash = crash_digest(TargetId(f"t{number}"), 1)
            known.quarantine.record_crash(crash, in_hand)

    async def play(self, seconds: float) -> None:
        until = self.clock.monotonic() + seconds
        while self.clock.monotonic() < until:
            entry = self.rng.choice(self.entries)
            self.work.append(asyncio.create_task(self.attempt(entry)))
            await asyncio.sleep(_EVERY_S)

    def later(self) -> int:
        """Sends later than the bound after the third end."""
        third_at = sorted(self.ended_at)[2]
        return sum(at > third_at + STABLE_S for at in self.sent_at)


class FleetTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("today", 12, True),
            ("today, no push arrives", 12, False),
            ("the large site", 195, True),
            ("the large site, no push arrives", 195, False),
            ("the letter's", 530, True),
        ]
    )
    def test_all_entries_know_it_in_time(self, _name: str, count: int, pushes: bool) -> None:
        async def main(clock: LoopClock) -> t.Tuple[int, bool]:
            fleet = Fleet(count, pushes, clock)
            await asyncio.sleep(1.0)
            await fleet.play(_PLAYED_S)
            knows = all(known.quarantine.refuses(DEADLY, CALLER) for known in fleet.entries)
            for task in fleet.work:
                task.cancel()
            return fleet.later(), knows

        later, knows = run_virtual(main)
        self.assertLessEqual(later, MOST_LATER)
        self.assertTrue(knows)
