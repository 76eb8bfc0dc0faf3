"""Tests of whom an entry talks with, and of what all rows cost one that starts."""

import asyncio
import random
import typing as t
import unittest
import zlib

from parameterized import parameterized

from coralfall import defaults
from coralfall.exceptions import PeerFrameError, PeerUnreachableError
from coralfall.ids import EntryId, Revision
from coralfall.peering.messages import Hello
from coralfall.peering.peer_links import Answer
from coralfall.process.clock import Clock, ManualClock
from coralfall.traffic.delta import Delta, DeltaRow, pack
from coralfall.traffic.follower import Follower
from coralfall.traffic.gossip import Gossip, in_relay_order
from coralfall.traffic.members import Members
from coralfall.traffic.messages import GossipMessage
from coralfall.traffic.poll_intervals import poll_intervals_for
from tests.traffic.entry_fixture import EntryFixture
from tests.traffic.makers import make_record, make_settings, make_state, make_target, seeded_rng
from tests.traffic.test_replicated_state import MemoryFeed
from tests.virtual_loop import LoopClock, run_virtual

TARGETS = 300
MANY = pack(Revision(0), Revision(1), [DeltaRow(f"t{n}", Revision(n), b"x") for n in range(900)])
#: Seventy million bytes that take few.
HUGE = zlib.compress(bytes(70 * 1024 * 1024), 1)


class CarryingLinks:
    """Carries messages to the entries known to it, and counts those that bring all rows."""

    def __init__(self, others: t.Sequence[EntryFixture], way_s: float) -> None:
        self.others = {known.members.own_record.peer_address: known for known in others}
        self.way_s = way_s
        self.brought_all = 0
        #: Addresses that take a question and never answer.
        self.silent: t.Set[str] = set()
        #: Addresses that nothing listens at.
        self.refusing: t.Set[str] = set()
        self.asked: t.List[str] = []

    async def exchange(
        self, address: str, message: GossipMessage, *_options: t.Any, **_more: t.Any
    ) -> "Answer[GossipMessage]":
        self.asked.append(address)
        await asyncio.sleep(self.way_s)
        if address in self.refusing or address not in self.others:
            raise PeerUnreachableError("nothing listens")
        if address in self.silent:
            await asyncio.sleep(defaults.GOSSIP_TIMEOUT_S)
            raise PeerUnreachableError("no answer")
        self.others[address].exchange.merge(message)
        answer = self.others[address].exchange.build_reply(message)
        if answer.targets is not None and not answer.targets.since:
            self.brought_all += 1
        await asyncio.sleep(self.way_s)
        return Answer(Hello(entry_id=EntryId("x"), incarnation=t.cast(t.Any, 1)), answer)

    async def post(self, *_options: t.Any) -> None:
        pass

    async def close(self) -> None:
        pass


class StartTest(unittest.TestCase):
    @parameterized.expand([("all answer", 0), ("one is silent", 1), ("most are silent", 7)])
    def test_an_entry_that_starts_gets_all_rows_once(self, _name: str, silent: int) -> None:
        async def main(clock: LoopClock) -> t.Tuple[int, int, float]:
            others = [EntryFixture(f"e{number}", clock) for number in range(8)]
            for known in others:
                known.learn_state(1, "state/a", make_state(3))
                known.learn_targets(2, *[make_target(number) for number in range(TARGETS)])
            links = CarryingLinks(others, 0.02)
            links.silent = {known.members.own_record.peer_address for known in others[:silent]}
            new = EntryFixture("new", clock)
            new.members.merge_records([known.members.own_record for known in others])
            gossip = Gossip(
                new.exchange, new.members, t.cast(t.Any, links), [], clock, seeded_rng()
            )
            began = clock.monotonic()
            work = asyncio.create_task(gossip.run())
            while not new.state_view.is_complete:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            took_s = clock.monotonic() - began
            await asyncio.sleep(3.0)
            work.cancel()
            return links.brought_all, len(new.steered.targets.by_id), took_s

        brought_all, targets, took_s = run_virtual(main)
        self.assertEqual((1, TARGETS), (brought_all, targets))
        if not silent:
            self.assertLess(took_s, 0.12)


class Starting:
    """An entry that starts: its gossip, and the follower of its targets' rows."""

    def __init__(
        self,
        name: str,
        clock: Clock,
        feed: MemoryFeed,
        links: CarryingLinks,
        seeds: t.Sequence[str],
        first_start: bool = False,
        seed: int = 0,
    ) -> None:
        self.known = EntryFixture(name, clock, seed=seed)
        own = self.known.members.own_record
        settings = make_settings(
            peer_address=own.peer_address, seeds=tuple(seeds), first_start=first_start
        )
        self.gossip = Gossip(
            self.known.exchange,
            self.known.members,
            t.cast(t.Any, links),
            seeds,
            clock,
            random.Random(seed),
        )
        self._settings = settings
        self.followers = [self._follower(prefix, feed) for prefix in ("state/", "targets/")]

    def _follower(self, prefix: str, feed: MemoryFeed) -> Follower:
        state_view = self.known.state_view
        of_state = prefix == "state/"
        return Follower(
            prefix,
            state_view.state_rows if of_state else state_view.target_rows,
            feed,
            self.known.members,
            self.known.clock,
            state_view.store_clock,
            seeded_rng(),
            pace=poll_intervals_for(2.0),
            held=of_state,
            before=lambda age: None,
            changed=state_view.apply_state_changes if of_state else state_view.apply_target_changes,
            hand_on=lambda since: None,
            patience_s=self._settings.first_start_wait_s(),
        )

    async def run(self) -> None:
        await asyncio.gather(self.gossip.run(), *[follower.run() for follower in self.followers])

    def ready(self) -> bool:
        return self.known.state_view.is_complete


def filled_feed(clock: Clock, targets: int) -> MemoryFeed:
    """A store with a desired state and targets."""
    feed = MemoryFeed(clock)
    feed.put("state/a", make_state(3))
    for number in range(targets):
        feed.put(f"targets/t{number}", make_target(number))
    return feed


class SeedsTest(unittest.TestCase):
    """A first start reads the store at its seeds alone; any other asks seeds and store at once."""

    def start_one(
        self, silent: int, refusing: int, seeds: int = 3, down: bool = False
    ) -> t.Tuple[float, int]:
        """Start one entry beside three that know all; seconds until it is ready, its snapshots."""

        async def main(clock: LoopClock) -> t.Tuple[float, int]:
            feed = filled_feed(clock, 20)
            links = CarryingLinks([], 0.03)
            starting = [Starting(f"s{n}", clock, feed, links, []) for n in range(3)]
            addresses = [one.known.members.own_record.peer_address for one in starting]
            links.others = {
                address: one.known for address, one in zip(addresses, starting, strict=True)
            }
            work = [asyncio.create_task(one.run()) for one in starting]
            await asyncio.sleep(1.0)
            links.silent = set(addresses[:silent])
            links.refusing = set(addresses[silent : silent + refusing])
            feed.down = down
            before = feed.snapshots
            new = Starting("new", clock, feed, links, addresses[:seeds], seed=7)
            work.append(asyncio.create_task(new.run()))
            began = clock.monotonic()
            while not new.ready() and clock.monotonic() < began + 5.0:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            took_s, snapshots = clock.monotonic() - began, feed.snapshots - before
            for task in work:
                task.cancel()
            return took_s, snapshots

        return run_virtual(main)

    @parameterized.expand(
        [
            ("all seeds answer", 0, 0, 3, False, 0.02, 2),
            ("all are gone", 0, 3, 3, False, 0.02, 2),
            ("all are silent", 3, 0, 3, False, 0.02, 2),
            ("there are none", 0, 0, 0, False, 0.02, 2),
            ("the store is away", 0, 0, 3, True, 0.3, 0),
            ("the store is away, and one seed is silent", 1, 0, 3, True, 0.3, 0),
            ("the store is away, and one seed is gone", 0, 1, 3, True, 0.3, 0),
        ]
    )
    def test_one_that_starts(
        self,
        _name: str,
        silent: int,
        refusing: int,
        seeds: int,
        down: bool,
        within_s: float,
        snapshots: int,
    ) -> None:
        took_s, made = self.start_one(silent, refusing, seeds, down)
        self.assertLess(took_s, within_s)
        self.assertEqual(snapshots, made)

    @parameterized.expand([("one that starts", False, 0), ("one that serves", True, 1)])
    def test_who_blames_those_that_do_not_answer(
        self, _name: str, knows_rows: bool, blamed: int
    ) -> None:
        """What one that starts asks may be starting, too."""

        async def main(clock: LoopClock) -> int:
            links = CarryingLinks([], 0.01)
            one = Starting("e1", clock, MemoryFeed(clock), links, [])
            one.known.members.merge_records([make_record("e2")])
            if knows_rows:
                one.known.learn_state(1, "state/a", make_state(3))
                one.known.learn_targets(2, make_target(1))
            work = asyncio.create_task(one.gossip.run())
            await asyncio.sleep(1.5)
            work.cancel()
            return len(one.known.members.all_suspicions())

        self.assertEqual(blamed, run_virtual(main))

    @parameterized.expand([("large", 195), ("the letter's", 530)])
    def test_all_start_at_once_for_the_first_time(self, _name: str, count: int) -> None:
        """The seeds read for all; the others know all rows and most entries within a second."""

        async def main(clock: LoopClock) -> t.Tuple[float, int, int, int]:
            feed = filled_feed(clock, 3)
            links = CarryingLinks([], 0.012)
            names = [f"e{number}" for number in range(count)]
            addresses = [make_record(name).peer_address for name in names]
            fleet = [
                Starting(name, clock, feed, links, addresses[:3], True, seed=number)
                for number, name in enumerate(names)
            ]
            rng = seeded_rng()
            work = []
            for one, address in sorted(
                zip(fleet, addresses, strict=True), key=lambda _: rng.random()
            ):
                work.append(asyncio.create_task(one.run()))
                links.others[address] = one.known
                await asyncio.sleep(0.3 / count)
            began = clock.monotonic()
            while not all(one.ready() for one in fleet):  # noqa: ASYNC110
                await asyncio.sleep(0.02)
            took_s = clock.monotonic() - began
            fewest = min(len(one.known.members.alive_records()) for one in fleet)
            blamed = sum(len(one.known.members.all_suspicions()) for one in fleet)
            for task in work:
                task.cancel()
            return took_s, feed.snapshots, fewest, blamed

        took_s, snapshots, fewest, blamed = run_virtual(main)
        self.assertEqual(0, blamed)
        self.assertLess(took_s, 1.0)
        self.assertEqual(3 * 2, snapshots)
        self.assertGreater(fewest, 3)


class NeighboursTest(unittest.TestCase):
    def asked_by(self, name: str, others: t.Sequence[str], rounds: int) -> t.Set[str]:
        members = Members(make_record(name), ManualClock(100.0), seeded_rng())
        members.merge_records([make_record(other) for other in others if other != name])
        found: t.Set[str] = set()
        for _ in range(rounds):
            found |= {record.entry_id for record in members.choose_peers(defaults.GOSSIP_FANOUT)}
        return found

    @parameterized.expand([("today", 12, 11), ("the letter's", 530, 12)])
    def test_one_asks_the_same_few(self, _name: str, count: int, most: int) -> None:
        names = [f"e{number}" for number in range(count)]
        self.assertEqual(most, len(self.asked_by("e0", names, 400)))

    def test_each_is_asked_by_some(self) -> None:
        names = [f"e{number}" for number in range(300)]
        askers = dict.fromkeys(names, 0)
        for name in names:
            for other in self.asked_by(name, names, 60):
                askers[other] += 1
        self.assertGreaterEqual(min(askers.values()), 3)
        self.assertLessEqual(max(askers.values()), 40)

    def test_all_are_reached_in_few_steps(self) -> None:
        names = [f"e{number}" for number in range(300)]
        asked = {name: self.asked_by(name, names, 60) for name in names}
        reached, steps = {"e0"}, 0
        while len(reached) < len(names):
            reached |= {other for name in reached for other in asked[name]}
            steps += 1
            self.assertLessEqual(steps, 5)


class RelayOrderTest(unittest.TestCase):
    records = [make_record(f"e{number}", link_mbps=10.0) for number in range(40)]

    def order(self, root: str, turn: int) -> t.List[str]:
        return [record.entry_id for record in in_relay_order(self.records, EntryId(root), turn)]

    def test_the_order_stays_for_a_turn(self) -> None:
        self.assertEqual(self.order("e1", 7), self.order("e1", 7))

    def test_relays_of_like_links_take_turns(self) -> None:
        first = {self.order("e1", turn)[0] for turn in range(400)}
        self.assertEqual(40, len(first))

    def test_entries_that_push_at_a_time_have_different_relays(self) -> None:
        first = {self.order(f"e{number}", 7)[0] for number in range(40)}
        self.assertGreater(len(first), 15)

    def test_one_that_is_gone_moves_nobody_else(self) -> None:
        before = self.order("e1", 7)
        gone = before[3]
        records = [record for record in self.records if record.entry_id != gone]
        after = [record.entry_id for record in in_relay_order(records, EntryId("e1"), 7)]
        self.assertEqual([name for name in before if name != gone], after)

    def test_wider_links_come_first(self) -> None:
        records = [
            make_record(f"e{n}", link_mbps=link) for n, link in enumerate((10.0, 0.0, 200.0))
        ]
        relays = [record.link_mbps for record in in_relay_order(records, EntryId("e1"), 7)]
        self.assertEqual([200.0, 10.0, 0.0], relays)


class DeltaTest(unittest.TestCase):
    @parameterized.expand([("few", 3, False), ("many", 300, True)])
    def test_rows_come_out_as_they_went_in(self, _name: str, count: int, packed: bool) -> None:
        rows = [DeltaRow(f"targets/t{n}", Revision(n), b'{"zone":"z"}') for n in range(count)]
        rows.append(DeltaRow("targets/gone", Revision(count), None))
        delta = pack(Revision(1), Revision(count), rows)
        self.assertEqual((packed, tuple(rows)), (delta.packed, delta.unpack()))
        if packed:
            self.assertLess(len(delta.rows) * 5, sum(len(row.key) + 12 for row in rows))

    @parameterized.expand(
        [
            ("not packed", Delta(Revision(0), Revision(1), b"no rows", False)),
            ("cut off", Delta(Revision(0), Revision(1), MANY.rows[:-9], True)),
            ("whole but for its checksum", Delta(Revision(0), Revision(1), MANY.rows[:-2], True)),
            ("longer than anybody sends", Delta(Revision(0), Revision(1), HUGE, True)),
            ("not compressed at all", Delta(Revision(0), Revision(1), b"no rows", True)),
        ]
    )
    def test_rows_that_can_t_be_read(self, _name: str, delta: Delta) -> None:
        with self.assertRaises(PeerFrameError):
            delta.unpack()
