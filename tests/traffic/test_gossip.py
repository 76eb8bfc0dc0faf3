"""Tests of gossip: the choice of peers, the start of an entry, relay order, and deltas."""

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
from coralfall.traffic.gossip import Gossip, relay_order
from coralfall.traffic.members import Members
from coralfall.traffic.messages import GossipMessage
from coralfall.traffic.poll_intervals import poll_intervals_for
from tests.traffic.entry_fixture import EntryFixture
from tests.traffic.makers import at, make_record, make_settings, make_state, make_target, seeded_rng
from tests.traffic.test_replicated_state import MemoryFeed
from tests.virtual_loop import LoopClock, run_virtual

TARGETS = 300
MANY = pack(Revision(0), at(1), [DeltaRow(f"t{n}", Revision(n), b"x") for n in range(900)])
#: 70 MiB, beyond the limit, that compress to little.
HUGE = zlib.compress(bytes(70 * 1024 * 1024), 1)


class CarryingLinks:
    """Links that deliver messages by direct calls, and count answers that hold all rows.

    :param others: entries that can be reached.
    :param way_s: seconds that a message takes.
    """

    def __init__(self, others: t.Sequence[EntryFixture], way_s: float) -> None:
        self.others = {entry.members.own_record.peer_address: entry for entry in others}
        self.way_s = way_s
        self.brought_all = 0
        #: Addresses that accept a message and never answer.
        self.silent: t.Set[str] = set()
        #: Addresses that refuse connections.
        self.refusing: t.Set[str] = set()
        self.asked: t.List[str] = []

    async def exchange(
        self, address: str, message: GossipMessage, *_options: t.Any, **_more: t.Any
    ) -> "Answer[GossipMessage]":
        self.asked.append(address)
        await asyncio.sleep(self.way_s)
        if address in self.refusing or address not in self.others:
            raise PeerUnreachableError("connection refused")
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
    @parameterized.expand(
        [("all answer", 0), ("one does not answer", 1), ("most do not answer", 7)]
    )
    def test_an_entry_that_starts_receives_all_rows_once(self, _name: str, silent: int) -> None:
        async def main(clock: LoopClock) -> t.Tuple[int, int, float]:
            others = [EntryFixture(f"e{number}", clock) for number in range(8)]
            for entry in others:
                entry.learn_state(1, "state/a", make_state(3))
                entry.learn_targets(2, *[make_target(number) for number in range(TARGETS)])
            links = CarryingLinks(others, 0.02)
            links.silent = {entry.members.own_record.peer_address for entry in others[:silent]}
            new = EntryFixture("new", clock)
            new.members.merge_records([entry.members.own_record for entry in others])
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


class StartingEntry:
    """An entry that starts: its gossip and its two followers."""

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
        self.entry = EntryFixture(name, clock, seed=seed)
        own = self.entry.members.own_record
        settings = make_settings(
            peer_address=own.peer_address, seeds=tuple(seeds), first_start=first_start
        )
        self.gossip = Gossip(
            self.entry.exchange,
            self.entry.members,
            t.cast(t.Any, links),
            seeds,
            clock,
            random.Random(seed),
        )
        self._settings = settings
        self.followers = [self._follower(prefix, feed) for prefix in ("state/", "targets/")]

    def _follower(self, prefix: str, feed: MemoryFeed) -> Follower:
        state_view = self.entry.state_view
        of_state = prefix == "state/"
        return Follower(
            prefix,
            state_view.state_rows if of_state else state_view.target_rows,
            feed,
            self.entry.members,
            self.entry.clock,
            state_view.store_clock,
            seeded_rng(),
            pace=poll_intervals_for(2.0),
            long_poll=of_state,
            before_apply=lambda age: None,
            on_changed=(
                state_view.apply_state_changes if of_state else state_view.apply_target_changes
            ),
            push_since=lambda since: None,
            initial_wait_s=self._settings.first_start_wait_s(),
        )

    async def run(self) -> None:
        await asyncio.gather(self.gossip.run(), *[follower.run() for follower in self.followers])

    def ready(self) -> bool:
        return self.entry.state_view.is_complete


def filled_feed(clock: Clock, targets: int) -> MemoryFeed:
    """Returns a store with a desired state and targets."""
    feed = MemoryFeed(clock)
    feed.put("state/a", make_state(3))
    for number in range(targets):
        feed.put(f"targets/t{number}", make_target(number))
    return feed


class SeedsTest(unittest.TestCase):
    """At a first start only seeds read the store; else an entry asks seeds and store together."""

    def start_one(
        self, silent: int, refusing: int, seeds: int = 3, down: bool = False
    ) -> t.Tuple[float, int]:
        """Starts one entry beside three that know all rows.

        Returns the seconds until it is ready, and the number of snapshots that it read.
        """

        async def main(clock: LoopClock) -> t.Tuple[float, int]:
            feed = filled_feed(clock, 20)
            links = CarryingLinks([], 0.03)
            starting = [StartingEntry(f"s{n}", clock, feed, links, []) for n in range(3)]
            addresses = [one.entry.members.own_record.peer_address for one in starting]
            links.others = {
                address: one.entry for address, one in zip(addresses, starting, strict=True)
            }
            work = [asyncio.create_task(one.run()) for one in starting]
            await asyncio.sleep(1.0)
            links.silent = set(addresses[:silent])
            links.refusing = set(addresses[silent : silent + refusing])
            feed.down = down
            before = feed.snapshots
            new = StartingEntry("new", clock, feed, links, addresses[:seeds], seed=7)
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
            ("all refuse connections", 0, 3, 3, False, 0.02, 2),
            ("none answers", 3, 0, 3, False, 0.02, 2),
            ("there are none", 0, 0, 0, False, 0.02, 2),
            ("the store is down", 0, 0, 3, True, 0.3, 0),
            ("the store is down, and one seed does not answer", 1, 0, 3, True, 0.3, 0),
            ("the store is down, and one seed refuses", 0, 1, 3, True, 0.3, 0),
        ]
    )
    def test_time_until_ready(
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

    @parameterized.expand([("starting entry", False, 0), ("serving entry", True, 1)])
    def test_only_a_serving_entry_suspects_those_that_do_not_answer(
        self, _name: str, knows_rows: bool, suspicions: int
    ) -> None:
        """Entries that a starting one contacts may be starting, too."""

        async def main(clock: LoopClock) -> int:
            links = CarryingLinks([], 0.01)
            one = StartingEntry("e1", clock, MemoryFeed(clock), links, [])
            one.entry.members.merge_records([make_record("e2")])
            if knows_rows:
                one.entry.learn_state(1, "state/a", make_state(3))
                one.entry.learn_targets(2, make_target(1))
            work = asyncio.create_task(one.gossip.run())
            await asyncio.sleep(1.5)
            work.cancel()
            return len(one.entry.members.all_suspicions())

        self.assertEqual(suspicions, run_virtual(main))

    @parameterized.expand([("large", 195), ("the largest fleet", 530)])
    def test_first_start_of_a_whole_fleet(self, _name: str, count: int) -> None:
        """Only seeds read the store, and all entries have the rows within a second."""

        async def main(clock: LoopClock) -> t.Tuple[float, int, int, int]:
            feed = filled_feed(clock, 3)
            links = CarryingLinks([], 0.012)
            names = [f"e{number}" for number in range(count)]
            addresses = [make_record(name).peer_address for name in names]
            fleet = [
                StartingEntry(name, clock, feed, links, addresses[:3], True, seed=number)
                for number, name in enumerate(names)
            ]
            rng = seeded_rng()
            work = []
            for one, address in sorted(
                zip(fleet, addresses, strict=True), key=lambda _: rng.random()
            ):
                work.append(asyncio.create_task(one.run()))
                links.others[address] = one.entry
                await asyncio.sleep(0.3 / count)
            began = clock.monotonic()
            while not all(one.ready() for one in fleet):  # noqa: ASYNC110
                await asyncio.sleep(0.02)
            took_s = clock.monotonic() - began
            fewest = min(len(one.entry.members.alive_records()) for one in fleet)
            suspicions = sum(len(one.entry.members.all_suspicions()) for one in fleet)
            for task in work:
                task.cancel()
            return took_s, feed.snapshots, fewest, suspicions

        took_s, snapshots, fewest, suspicions = run_virtual(main)
        self.assertEqual(0, suspicions)
        self.assertLess(took_s, 1.0)
        self.assertEqual(3 * 2, snapshots)
        self.assertGreater(fewest, 3)


class NeighboursTest(unittest.TestCase):
    def probed_by(self, name: str, others: t.Sequence[str], rounds: int) -> t.Set[str]:
        members = Members(make_record(name), ManualClock(100.0), seeded_rng())
        members.merge_records([make_record(other) for other in others if other != name])
        found: t.Set[str] = set()
        for _ in range(rounds):
            found |= {record.entry_id for record in members.choose_peers(defaults.GOSSIP_FANOUT)}
        return found

    @parameterized.expand([("today", 12, 11), ("the largest fleet", 530, 12)])
    def test_an_entry_probes_the_same_few(self, _name: str, count: int, most: int) -> None:
        names = [f"e{number}" for number in range(count)]
        self.assertEqual(most, len(self.probed_by("e0", names, 400)))

    def test_each_entry_is_probed_by_some(self) -> None:
        names = [f"e{number}" for number in range(300)]
        prober_counts = dict.fromkeys(names, 0)
        for name in names:
            for other in self.probed_by(name, names, 60):
                prober_counts[other] += 1
        self.assertGreaterEqual(min(prober_counts.values()), 3)
        self.assertLessEqual(max(prober_counts.values()), 40)

    def test_the_graph_of_neighbours_has_a_small_diameter(self) -> None:
        names = [f"e{number}" for number in range(300)]
        asked = {name: self.probed_by(name, names, 60) for name in names}
        reached, steps = {"e0"}, 0
        while len(reached) < len(names):
            reached |= {other for name in reached for other in asked[name]}
            steps += 1
            self.assertLessEqual(steps, 5)


class RelayOrderTest(unittest.TestCase):
    records = [make_record(f"e{number}", link_mbps=10.0) for number in range(40)]

    def order(self, root: str, turn: int) -> t.List[str]:
        return [record.entry_id for record in relay_order(self.records, EntryId(root), turn)]

    def test_the_order_stays_for_a_turn(self) -> None:
        self.assertEqual(self.order("e1", 7), self.order("e1", 7))

    def test_relays_with_equal_links_rotate(self) -> None:
        first = {self.order("e1", turn)[0] for turn in range(400)}
        self.assertEqual(40, len(first))

    def test_entries_that_push_at_the_same_time_use_different_relays(self) -> None:
        first = {self.order(f"e{number}", 7)[0] for number in range(40)}
        self.assertGreater(len(first), 15)

    def test_losing_an_entry_keeps_the_order_of_the_others(self) -> None:
        before = self.order("e1", 7)
        gone = before[3]
        records = [record for record in self.records if record.entry_id != gone]
        after = [record.entry_id for record in relay_order(records, EntryId("e1"), 7)]
        self.assertEqual([name for name in before if name != gone], after)

    def test_wider_links_come_first(self) -> None:
        records = [
            make_record(f"e{n}", link_mbps=link) for n, link in enumerate((10.0, 0.0, 200.0))
        ]
        relays = [record.link_mbps for record in relay_order(records, EntryId("e1"), 7)]
        self.assertEqual([200.0, 10.0, 0.0], relays)


class DeltaTest(unittest.TestCase):
    @parameterized.expand([("few", 3, False), ("many", 300, True)])
    def test_rows_survive_a_round_trip(self, _name: str, count: int, packed: bool) -> None:
        rows = [DeltaRow(f"targets/t{n}", Revision(n), b'{"zone":"z"}') for n in range(count)]
        rows.append(DeltaRow("targets/gone", Revision(count), None))
        delta = pack(Revision(1), at(count), rows)
        self.assertEqual((packed, tuple(rows)), (delta.packed, delta.unpack()))
        if packed:
            self.assertLess(len(delta.rows) * 5, sum(len(row.key) + 12 for row in rows))

    @parameterized.expand(
        [
            ("not packed", Delta(Revision(0), Revision(1), b"no rows", False)),
            ("cut short at the end", Delta(Revision(0), Revision(1), MANY.rows[:-9], True)),
            ("without its checksum's end", Delta(Revision(0), Revision(1), MANY.rows[:-2], True)),
            ("expanding beyond the limit", Delta(Revision(0), Revision(1), HUGE, True)),
            ("not compressed at all", Delta(Revision(0), Revision(1), b"no rows", True)),
        ]
    )
    def test_rows_that_can_t_be_decoded(self, _name: str, delta: Delta) -> None:
        with self.assertRaises(PeerFrameError):
            delta.unpack()
