"""Tests of membership: suspicions, refutations, dissemination and its cost; and of look-ups."""

import typing as t
import unittest

import hypothesis
import hypothesis.strategies as st
import msgspec
from parameterized import parameterized

from coralfall import defaults
from coralfall.ids import EntryId, EntryState, Incarnation, RegionId, ZoneId
from coralfall.process.clock import ManualClock
from coralfall.traffic.gossip import relay_order
from coralfall.traffic.lookup import Lookup
from coralfall.traffic.members import Members
from coralfall.traffic.messages import GossipMessage, Suspicion
from coralfall.traffic.model import DesiredState, EntryRecord
from coralfall.traffic.row_codec import LookupQuery
from tests.traffic.entry_fixture import EntryFixture
from tests.traffic.makers import (
    COSTA,
    NORTE,
    PUERTO,
    SIERRA,
    make_record,
    make_route,
    make_settings,
    make_state,
    seeded_rng,
)


def fail_probes(
    members: Members, name: str = "e2", times: int = defaults.SUSPECT_MISSED_PROBES
) -> None:
    """Records as many failed probes of an entry as it takes to suspect it."""
    for _ in range(times):
        members.record_probe_failure(make_record(name).peer_address)


def suspicion(name: str, beat: int) -> Suspicion:
    return Suspicion(EntryId(name), Incarnation(1), beat, 0.0)


class MembersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.members = Members(make_record("e1"), self.clock, seeded_rng())

    def alive(self) -> t.List[str]:
        return [record.entry_id for record in self.members.alive_records()]

    @parameterized.expand(
        [
            ("no answer", lambda members: fail_probes(members)),
            ("told by another", lambda members: members.merge_suspicions([suspicion("e2", 1)])),
        ]
    )
    def test_an_unrefuted_suspicion_times_out_and_a_new_beat_revives(
        self, _name: str, suspect: t.Callable[[Members], None]
    ) -> None:
        self.members.merge_records([make_record("e2")])
        self.clock.advance(60.0)
        self.members.start_round()
        self.clock.advance(defaults.GOSSIP_INTERVAL_S)
        self.members.start_round()
        self.assertEqual(["e2"], self.alive())
        suspect(self.members)
        self.clock.advance(defaults.SUSPICION_TIMEOUT_S - 0.1)
        # A record of the same version is no refutation, and a repeated suspicion extends nothing.
        self.members.merge_records([make_record("e2")])
        suspect(self.members)
        self.assertEqual(["e2"], self.alive())
        self.clock.advance(0.2)
        self.assertEqual([], self.alive())
        self.members.merge_records([make_record("e2", beat=2)])
        self.assertEqual(["e2"], self.alive())

    def test_one_failed_probe_is_repeated_before_a_suspicion(self) -> None:
        self.members.merge_records([make_record(f"e{number}") for number in range(2, 30)])
        fail_probes(self.members, times=1)
        self.assertIn("e2", [record.entry_id for record in self.members.choose_peers(0)])
        self.members.record_probe_success(make_record("e2").peer_address)
        fail_probes(self.members, times=1)
        self.assertEqual((), self.members.recent_suspicions())
        fail_probes(self.members, times=1)
        self.assertEqual(1, len(self.members.recent_suspicions()))

    def test_an_overloaded_entry_suspects_nobody(self) -> None:
        self.members.merge_records([make_record("e2")])
        self.clock.advance(defaults.GOSSIP_INTERVAL_S * defaults.BUSY_ROUND_FACTOR + 0.1)
        fail_probes(self.members)
        self.assertEqual((), self.members.recent_suspicions())

    def test_a_suspicion_of_an_older_version_is_ignored(self) -> None:
        self.members.merge_records([make_record("e2", beat=5)])
        self.members.merge_suspicions([suspicion("e2", 4)])
        self.clock.advance(defaults.SUSPICION_TIMEOUT_S)
        self.assertEqual(["e2"], self.alive())

    @parameterized.expand(
        [("of the current beat", 1, 2), ("of a later beat", 7, 8), ("of an older beat", 0, 1)]
    )
    def test_a_suspect_refutes(self, _name: str, suspected: int, beat: int) -> None:
        updates = []
        self.members.on_update = lambda at_once: updates.append(self.members.own_record)
        self.members.merge_suspicions([suspicion("e1", suspected)])
        self.assertEqual(beat, self.members.own_record.beat)
        self.assertEqual(beat > 1, bool(updates))

    def test_updates_are_recent_for_a_while_and_all_are_available(self) -> None:
        self.members.merge_records([make_record("e2"), make_record("e3")])
        fail_probes(self.members, "e3")
        self.assertEqual(3, len(self.members.recent_records()))
        self.assertEqual((suspicion("e3", 1),), self.members.recent_suspicions())
        self.assertEqual(1, self.members.suspected_count())
        self.clock.advance(defaults.GOSSIP_UPDATE_TTL_S)
        self.assertEqual(["e1"], [record.entry_id for record in self.members.recent_records()])
        self.assertEqual((), self.members.recent_suspicions())
        self.assertEqual(0, self.members.suspected_count())
        found = [record.entry_id for record in self.members.all_records()]
        self.assertEqual(["e1", "e2"], found)
        (told_of,) = self.members.all_suspicions()
        self.assertEqual(("e3", defaults.GOSSIP_UPDATE_TTL_S), (told_of.entry_id, told_of.age_s))

    def test_the_checksum_shows_whether_two_entries_agree(self) -> None:
        other = Members(make_record("e2"), self.clock, seeded_rng())
        other.merge_records([make_record("e3"), make_record("e1")])
        self.members.merge_records([make_record("e2")])
        self.assertNotEqual(other.checksum(), self.members.checksum())
        self.members.merge_records([make_record("e3")])
        self.assertEqual(other.checksum(), self.members.checksum())
        self.members.merge_records([make_record("e3", beat=2)])
        self.assertNotEqual(other.checksum(), self.members.checksum())

    @parameterized.expand(
        [
            ("leaving", {"state": EntryState.LEAVING}),
            ("not ready", {"ready": False}),
        ]
    )
    def test_not_serving(self, _name: str, changes: t.Dict[str, t.Any]) -> None:
        self.members.merge_records([make_record("e2", **changes)])
        self.assertEqual(["e1"], [record.entry_id for record in self.members.serving_records()])

    def test_an_older_record_does_not_undo_a_newer(self) -> None:
        self.members.merge_records([make_record("e2", beat=5, state=EntryState.LEAVING)])
        self.members.merge_records([make_record("e2", beat=4)])
        self.assertEqual(["e1"], [record.entry_id for record in self.members.serving_records()])

    def test_an_entry_restarted_with_an_earlier_clock_outbids_its_old_incarnation(self) -> None:
        self.members.merge_records([make_record("e1", incarnation=Incarnation(9), beat=70)])
        self.assertEqual(10, self.members.own_record.incarnation)

    def test_a_pause_of_this_process_declares_nobody_dead(self) -> None:
        self.members.start_round()
        self.members.merge_records([make_record("e2")])
        fail_probes(self.members)
        self.clock.advance(20.0)
        self.members.start_round()
        self.assertEqual(["e2"], self.alive())
        self.clock.advance(defaults.SUSPICION_TIMEOUT_S)
        self.assertEqual([], self.alive())

    def test_one_entry_has_the_first_rank(self) -> None:
        names = [f"e{number}" for number in range(8)]
        ranks = []
        for name in names:
            members = Members(make_record(name), self.clock, seeded_rng())
            members.merge_records([make_record(other) for other in names])
            ranks.append(members.rank())
        self.assertEqual(list(range(8)), sorted(ranks))

    def test_wider_links_come_first(self) -> None:
        links = {"e1": 10.0, "e2": 200.0, "e3": 10.0, "e4": 0.0, "e5": 200.0}
        records = [make_record(name, link_mbps=link) for name, link in links.items()]
        rank_by_name = {}
        for record in records:
            members = Members(record, self.clock, seeded_rng())
            members.merge_records(records)
            rank_by_name[record.entry_id] = members.rank()
        self.assertEqual({0, 1}, {rank_by_name["e2"], rank_by_name["e5"]})
        self.assertEqual({2, 3}, {rank_by_name["e1"], rank_by_name["e3"]})
        relays = [record.link_mbps for record in relay_order(records, EntryId("e1"), 7)]
        self.assertEqual([200.0, 200.0, 10.0, 10.0, 0.0], relays)

    def test_registered_entries_are_not_alive_until_gossip_tells_of_them(self) -> None:
        self.members.add_registered(make_record("e2"))
        self.assertEqual([], self.members.alive_records())
        self.assertEqual({"e1", "e2"}, self.members.known_ids())
        self.assertIn("e2", [record.entry_id for record in self.members.choose_peers(3)])


_NAMES = [f"e{number}" for number in range(2, 9)]
_steps = st.lists(
    st.tuples(
        st.sampled_from(["hear", "register", "doubt", "missed", "reached", "look", "own", "wait"]),
        st.sampled_from(_NAMES),
        st.integers(0, 3),
    ),
    max_size=40,
)


class LiveViewTest(unittest.TestCase):
    """The cached live view equals one that is computed anew, after any sequence of calls."""

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(steps=_steps)
    def test_the_cache_is_always_up_to_date(self, steps: t.List[t.Tuple[str, str, int]]) -> None:
        clock = ManualClock(100.0)
        members = Members(make_record("e1"), clock, seeded_rng())
        for step, name, number in steps:
            self.apply_step(members, clock, step, name, number)
            kept = members._live_view()
            fresh = members._compute_live_view(clock.monotonic())
            self.assertEqual(
                (fresh.records, fresh.serving_records, fresh.checksum, fresh.rank),
                (kept.records, kept.serving_records, kept.checksum, kept.rank),
            )
            others = {*members._members_by_id}
            self.assertEqual({EntryId("e1"), *others}, members.known_ids())
            listed = {
                (member.record.entry_id, address)
                for address in members._ids_by_address
                for member in members._members_at(address)
            }
            places = {
                (k.record.entry_id, k.record.peer_address) for k in members._members_by_id.values()
            }
            self.assertEqual(places, listed)

    def apply_step(
        self, members: Members, clock: ManualClock, step: str, name: str, number: int
    ) -> None:
        record = make_record(name, beat=number, peer_address=f"10.0.0.{number}:1", ready=number > 1)
        if step == "hear":
            members.merge_records([record])
        elif step == "register":
            members.add_registered(record)
        elif step == "doubt":
            members.merge_suspicions(
                [Suspicion(EntryId(name), Incarnation(1), number, float(number))]
            )
        elif step == "missed":
            members.record_probe_failure(record.peer_address)
        elif step == "reached":
            members.record_probe_success(record.peer_address)
        elif step == "look":
            members.start_round()
        elif step == "own":
            members.update_own(ready=number > 1)
        else:
            clock.advance((0.1, 1.6, 3.0, 150.0)[number])


class RegisteredOnlyTest(unittest.TestCase):
    """Entries that are known only from their rows: no suspicion of them is gossiped."""

    def setUp(self) -> None:
        self.members = Members(make_record("e1"), ManualClock(100.0), seeded_rng())
        self.members.add_registered(make_record("e2", beat=0))

    def gossiped_suspects(self) -> t.Set[str]:
        address = make_record("e2").peer_address
        suspicions = (
            *self.members.all_suspicions(),
            *self.members.recent_suspicions(),
            *self.members.suspicions_of(address),
        )
        return {suspicion.entry_id for suspicion in suspicions}

    def test_they_are_not_gossiped_as_suspected(self) -> None:
        self.assertEqual(([], set()), (self.members.alive_records(), self.gossiped_suspects()))

    def test_they_are_not_gossiped_as_alive(self) -> None:
        """A row outlives its machine; entries that read it must not report the machine as alive."""
        found = [record.entry_id for record in self.members.recent_records()]
        self.assertEqual(["e1"], found)

    @parameterized.expand([("the same version", 0), ("a newer one", 1)])
    def test_they_are_alive_once_gossip_tells_of_them(self, _name: str, beat: int) -> None:
        self.members.merge_records([make_record("e2", beat=beat)])
        self.assertEqual(["e2"], [record.entry_id for record in self.members.alive_records()])
        fail_probes(self.members)
        self.assertEqual({"e2"}, self.gossiped_suspects())


class LookupTest(unittest.TestCase):
    def lookup(self, *records: EntryRecord, state: t.Optional[DesiredState] = None) -> Lookup:
        entry = EntryFixture()
        entry.members.update_own(ready=False)
        entry.members.merge_records(records)
        if state is not None:
            entry.learn_state(1, "state/a", state)
        return Lookup(make_settings(), entry.members, entry.state_view)

    @parameterized.expand(
        [
            ("zone and as many outside", [NORTE] * 2 + [ZoneId("valle")] * 2, [0, 1, 2, 3]),
            ("region if the zone has few", [NORTE, ZoneId("valle"), PUERTO], [0, 1]),
            ("zone without entries", [ZoneId("valle"), ZoneId("valle"), PUERTO], [0, 1]),
            ("any if the region has none", [PUERTO, PUERTO], [0, 1]),
            ("nobody", [], []),
        ]
    )
    def test_addresses(self, _name: str, zones: t.List[ZoneId], expected: t.List[int]) -> None:
        regions = {NORTE: SIERRA, ZoneId("valle"): SIERRA, PUERTO: COSTA}
        records = [
            make_record(f"e{n}x", zone=zone, region=regions[zone]) for n, zone in enumerate(zones)
        ]
        found = self.lookup(*records).addresses(LookupQuery("a.example", SIERRA, NORTE))
        self.assertEqual(sorted([records[n].caller_address for n in expected]), sorted(found))

    @parameterized.expand(
        [
            ("one joins", {"e2": {}}, 2),
            ("one leaves", {"e1x": {"state": EntryState.LEAVING, "beat": 9}}, 0),
            ("one is not ready any more", {"e1x": {"ready": False, "beat": 9}}, 0),
        ]
    )
    def test_an_answer_follows_the_serving_entries(
        self, _name: str, heard: t.Dict[str, t.Dict[str, t.Any]], count: int
    ) -> None:
        entry = EntryFixture()
        entry.members.update_own(ready=False)
        entry.members.merge_records([make_record("e1x")])
        lookup = Lookup(make_settings(), entry.members, entry.state_view)
        question = LookupQuery("a.example", SIERRA, NORTE)
        self.assertEqual(1, len(lookup.addresses(question)))
        entry.members.merge_records(
            [make_record(name, **changes) for name, changes in heard.items()]
        )
        self.assertEqual(count, len(lookup.addresses(question)))

    def test_an_entry_is_left_out_once_its_suspicion_times_out(self) -> None:
        """No message arrives at that time, so only the clock can end the cached answer."""
        entry = EntryFixture()
        entry.members.update_own(ready=False)
        entry.members.merge_records([make_record("e2")])
        lookup = Lookup(make_settings(), entry.members, entry.state_view)
        question = LookupQuery("a.example", SIERRA, NORTE)
        fail_probes(entry.members)
        self.assertEqual(1, len(lookup.addresses(question)))
        t.cast(ManualClock, entry.clock).advance(defaults.SUSPICION_TIMEOUT_S + 0.1)
        self.assertEqual(0, len(lookup.addresses(question)))

    def test_callers_get_few_entries_outside_their_zone_which_differ_by_zone(self) -> None:
        zones = [ZoneId(f"z{number}") for number in range(6)]
        records = [make_record(f"e{z}{n}", zone=z) for z in zones for n in range(3)]
        lookup = self.lookup(*records)
        outside = set()
        for zone in zones:
            found = lookup.addresses(LookupQuery("a.example", SIERRA, zone))
            own = {record.caller_address for record in records if record.zone == zone}
            self.assertEqual((6, own), (len(found), own & set(found)))
            outside |= set(found) - own
        self.assertGreater(len(outside), 6)

    @parameterized.expand(
        [
            # entries in the zone, entries outside it, how many of the latter are named
            ("today's", 2, 2, 2),
            ("one entry in the zone", 1, 5, 2),
            ("grown", 9, 18, 7),
            ("many in the zone", 15, 15, 2),
            ("the largest installation", 38, 80, 2),
            ("more than an answer may name", 70, 0, -6),
        ]
    )
    def test_no_entry_of_a_zone_is_left_out(
        self, _name: str, inside: int, others: int, outside: int
    ) -> None:
        """Otherwise the entries that are named would carry the load of the others."""
        records = [make_record(f"e{n}in", zone=NORTE) for n in range(inside)]
        records += [make_record(f"e{n}out", zone=ZoneId("valle")) for n in range(others)]
        found = self.lookup(*records).addresses(LookupQuery("a.example", SIERRA, NORTE))
        self.assertEqual(inside + outside, len(set(found)))
        if outside >= 0:
            named = {record.caller_address for record in records[:inside]}
            self.assertEqual(set(), named - set(found))

    def test_callers_of_a_region_without_entries_get_the_most_addresses(self) -> None:
        records = [make_record(f"e{n}x", zone=PUERTO, region=COSTA) for n in range(80)]
        lookup = self.lookup(*records)
        zones = [ZoneId(f"z{number}") for number in range(20)]
        answers = [set(lookup.addresses(LookupQuery("a.example", SIERRA, z))) for z in zones]
        self.assertEqual({defaults.MAX_LOOKUP_ADDRESSES}, {len(found) for found in answers})
        self.assertEqual(80, len(set.union(*answers)))

    def test_regions_of_the_routes_go_before_others(self) -> None:
        far = make_record("far", zone=ZoneId("loja"), region=RegionId("austro"))
        home = make_record("home", zone=PUERTO, region=COSTA)
        state = make_state(1, make_route(allowed_regions=frozenset({COSTA})))
        lookup = self.lookup(far, home, state=state)
        found = lookup.addresses(LookupQuery("a.example", SIERRA, NORTE))
        self.assertEqual([home.caller_address], found)


class SimulatedFleet:
    """A fleet that gossips in rounds, in which entries and links can fail.

    Messages are delivered by direct calls, which is fast enough for a few hundred entries.
    """

    def __init__(self, count: int) -> None:
        self.clock = ManualClock(100.0)
        self.entries = {f"e{n}": EntryFixture(f"e{n}", self.clock, seed=n) for n in range(count)}
        self.failed: t.Set[str] = set()
        self.cut_links: t.Set[t.FrozenSet[str]] = set()
        self.sent_bytes: t.List[int] = []
        self.next_push_at: t.Dict[str, float] = {}
        #: Share of probes and pushes that are lost.
        self.loss = 0.0
        self._rng = seeded_rng()
        for entry in self.entries.values():
            entry.members.merge_records(
                [make_record(name) for name in self.entries if name != "e0"]
            )
            entry.members.on_update = self._pusher(entry)
        # Only one entry has heard of e0.
        self.entries["e1"].members.merge_records([make_record("e0")])

    def _pusher(self, entry: EntryFixture) -> t.Callable[[], None]:
        def push(at_once: bool) -> None:
            now = self.clock.monotonic()
            if at_once or now >= self.next_push_at.get(entry.members.own_record.entry_id, 0.0):
                self.pushes.append(entry)
                pause = (len(entry.members.alive_records()) + 1) / defaults.MEMBER_PUSHES_PER_S
                self.next_push_at[entry.members.own_record.entry_id] = now + pause

        return push

    pushes: t.List[EntryFixture] = []

    def is_reachable(self, one: str, other: str) -> bool:
        if other in self.failed or frozenset((one, other)) in self.cut_links:
            return False
        return self._rng.random() >= self.loss

    def run_round(self) -> None:
        self.clock.advance(defaults.GOSSIP_INTERVAL_S)
        for name, entry in self.entries.items():
            if name in self.failed:
                continue
            entry.members.start_round()
            for record in entry.members.choose_peers(defaults.GOSSIP_FANOUT):
                self._probe(entry, record)
        while self.pushes:
            entry = self.pushes.pop()
            others = [record.entry_id for record in entry.members.alive_records()]
            self._relay(entry.members.own_record.entry_id, entry.exchange.build_update(), others)

    def _relay(self, sender: str, message: GossipMessage, names: t.Sequence[str]) -> None:
        parts = min(defaults.RELAY_FANOUT, len(names))
        for number in range(parts):
            part = names[number::parts]
            while part and not self.is_reachable(sender, part[0]):
                part = part[1:]
            if part:
                self._deliver(self.entries[part[0]], message)
                self._relay(part[0], message, part[1:])

    def _probe(self, entry: EntryFixture, record: EntryRecord) -> None:
        if not self.is_reachable(entry.members.own_record.entry_id, record.entry_id):
            entry.members.record_probe_failure(record.peer_address)
            return
        other = self.entries[record.entry_id]
        entry.members.record_probe_success(record.peer_address)
        message = entry.exchange.build_update(address=record.peer_address)
        self._deliver(other, message)
        self._deliver(entry, other.exchange.build_reply(message))

    def _deliver(self, entry: EntryFixture, message: GossipMessage) -> None:
        self.sent_bytes.append(len(msgspec.msgpack.encode(message)))
        entry.exchange.merge(message)

    def views_of_alive(self) -> t.Set[t.FrozenSet[str]]:
        """Returns the sets of entries that running ones hold alive; a single set if all agree."""
        return {
            frozenset(
                {entry.members.own_record.entry_id}
                | {r.entry_id for r in entry.members.alive_records()}
            )
            for name, entry in self.entries.items()
            if name not in self.failed
        }


class FleetTest(unittest.TestCase):
    def setUp(self) -> None:
        SimulatedFleet.pushes = []

    @parameterized.expand(
        [
            ("today", 12, 1, 3.5),
            ("grown", 89, 15, 5.0),
            ("nearly all", 12, 10, 4.5),
            ("large, a sixth", 195, 32, 6.0),
            ("large, a region", 195, 65, 6.0),
            ("large, more than half", 195, 107, 6.0),
        ]
    )
    def test_all_agree_on_which_entries_are_alive(
        self, _name: str, count: int, gone: int, bound_s: float
    ) -> None:
        """The users allow 6 and 7 s; the suspicion timeout grows with the fleet."""
        fleet = SimulatedFleet(count)
        for _ in range(20):
            fleet.run_round()
        self.assertEqual({frozenset(fleet.entries)}, fleet.views_of_alive())
        fleet.failed = {f"e{number}" for number in range(2, 2 + gone)}
        rounds = 0
        while fleet.views_of_alive() != {frozenset(fleet.entries) - fleet.failed}:
            fleet.run_round()
            rounds += 1
            self.assertLess(rounds * defaults.GOSSIP_INTERVAL_S, bound_s)

    def test_entries_that_can_t_reach_each_other_stay_alive_through_others(self) -> None:
        fleet = SimulatedFleet(12)
        fleet.cut_links = {frozenset((f"e{a}", f"e{b}")) for a in (1, 2) for b in (3, 4)}
        for number in range(100):
            fleet.run_round()
            if number > 20:
                self.assertEqual({frozenset(fleet.entries)}, fleet.views_of_alive())

    def test_an_entry_that_was_away_learns_which_entries_died(self) -> None:
        fleet = SimulatedFleet(89)
        for _ in range(20):
            fleet.run_round()
        fleet.failed = {"e5", "e6"}
        for _ in range(20):
            fleet.run_round()
        fleet.failed = {"e5"}
        rounds = 0
        while fleet.views_of_alive() != {frozenset(fleet.entries) - fleet.failed}:
            fleet.run_round()
            rounds += 1
            self.assertLess(rounds * defaults.GOSSIP_INTERVAL_S, 6.0)

    @parameterized.expand(
        [
            # entries, share of messages lost, most KB a second for each entry, all stay alive
            ("small, a tenth lost", 12, 0.1, 15, True),
            ("medium, few lost", 74, 0.02, 15, True),
            ("medium, a tenth lost", 74, 0.1, 25, True),
            ("medium, a third lost", 74, 0.3, 25, False),
            ("large, few lost", 195, 0.03, 15, True),
            ("large, a tenth lost", 195, 0.1, 25, True),
        ]
    )
    def test_lost_messages_cause_no_message_storm(
        self, _name: str, count: int, lost: float, most_kb: float, all_live: bool
    ) -> None:
        """With 74 entries, pushes of suspicions delayed answers, which caused more suspicions."""
        fleet = SimulatedFleet(count)
        for _ in range(15):
            fleet.run_round()
        fleet.loss = lost
        fleet.sent_bytes.clear()
        for _ in range(25):
            fleet.run_round()
        kb_s = sum(fleet.sent_bytes) / count / (25 * defaults.GOSSIP_INTERVAL_S) / 1000
        self.assertLess(kb_s, most_kb)
        if all_live:
            self.assertEqual({frozenset(fleet.entries)}, fleet.views_of_alive())

    @parameterized.expand([("today", 12), ("grown", 89), ("the largest fleet", 530)])
    def test_a_quiet_round_costs_the_same_at_any_fleet_size(self, _name: str, count: int) -> None:
        fleet = SimulatedFleet(count)
        for _ in range(12):
            fleet.run_round()
        fleet.sent_bytes.clear()
        for _ in range(5):
            fleet.run_round()
        per_entry_s = sum(fleet.sent_bytes) / count / (5 * defaults.GOSSIP_INTERVAL_S)
        self.assertLess(per_entry_s, 2000)
