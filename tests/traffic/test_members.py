"""Tests of who is alive: suspicions, their refutation, what it costs, and look-ups."""

import typing as t
import unittest

import hypothesis
import hypothesis.strategies as st
import msgspec
from parameterized import parameterized

from coralfall import defaults
from coralfall.ids import EntryId, EntryState, Incarnation, RegionId, ZoneId
from coralfall.process.clock import ManualClock
from coralfall.traffic.gossip import in_relay_order
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


def miss(members: Members, name: str = "e2", times: int = defaults.SUSPECT_MISSED_PROBES) -> None:
    """Ask an entry in vain, as often as it takes to suspect it."""
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
            ("no answer", lambda members: miss(members)),
            ("told by another", lambda members: members.merge_suspicions([suspicion("e2", 1)])),
        ]
    )
    def test_a_suspicion_is_death_in_time_and_a_new_beat_is_life(
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
        # What others said before they knew is no refutation, and no new suspicion either.
        self.members.merge_records([make_record("e2")])
        suspect(self.members)
        self.assertEqual(["e2"], self.alive())
        self.clock.advance(0.2)
        self.assertEqual([], self.alive())
        self.members.merge_records([make_record("e2", beat=2)])
        self.assertEqual(["e2"], self.alive())

    def test_one_question_without_an_answer_is_asked_again(self) -> None:
        self.members.merge_records([make_record(f"e{number}") for number in range(2, 30)])
        miss(self.members, times=1)
        self.assertIn("e2", [record.entry_id for record in self.members.choose_peers(0)])
        self.members.record_probe_success(make_record("e2").peer_address)
        miss(self.members, times=1)
        self.assertEqual((), self.members.recent_suspicions())
        miss(self.members, times=1)
        self.assertEqual(1, len(self.members.recent_suspicions()))

    def test_an_entry_that_is_late_itself_blames_nobody(self) -> None:
        self.members.merge_records([make_record("e2")])
        self.clock.advance(defaults.GOSSIP_INTERVAL_S * defaults.BUSY_ROUND_FACTOR + 0.1)
        miss(self.members)
        self.assertEqual((), self.members.recent_suspicions())

    def test_a_suspicion_of_what_an_entry_said_before_is_passed_over(self) -> None:
        self.members.merge_records([make_record("e2", beat=5)])
        self.members.merge_suspicions([suspicion("e2", 4)])
        self.clock.advance(defaults.SUSPICION_TIMEOUT_S)
        self.assertEqual(["e2"], self.alive())

    @parameterized.expand([("of this beat", 1, 2), ("of one to come", 7, 8), ("of the past", 0, 1)])
    def test_a_suspect_refutes(self, _name: str, suspected: int, beat: int) -> None:
        told = []
        self.members.on_update = lambda at_once: told.append(self.members.own_record)
        self.members.merge_suspicions([suspicion("e1", suspected)])
        self.assertEqual(beat, self.members.own_record.beat)
        self.assertEqual(beat > 1, bool(told))

    def test_news_are_told_for_a_while_and_all_on_demand(self) -> None:
        self.members.merge_records([make_record("e2"), make_record("e3")])
        miss(self.members, "e3")
        self.assertEqual(3, len(self.members.recent_records()))
        self.assertEqual((suspicion("e3", 1),), self.members.recent_suspicions())
        self.assertEqual(1, self.members.suspected_count())
        self.clock.advance(defaults.GOSSIP_UPDATE_TTL_S)
        self.assertEqual(["e1"], [record.entry_id for record in self.members.recent_records()])
        self.assertEqual((), self.members.recent_suspicions())
        self.assertEqual(0, self.members.suspected_count())
        told = [record.entry_id for record in self.members.all_records()]
        self.assertEqual(["e1", "e2"], told)
        (told_of,) = self.members.all_suspicions()
        self.assertEqual(("e3", defaults.GOSSIP_UPDATE_TTL_S), (told_of.entry_id, told_of.age_s))

    def test_the_sum_tells_whether_two_know_the_same(self) -> None:
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

    def test_a_restarted_entry_whose_clock_fell_back_outlives_its_past(self) -> None:
        self.members.merge_records([make_record("e1", incarnation=Incarnation(9), beat=70)])
        self.assertEqual(10, self.members.own_record.incarnation)

    def test_a_pause_of_this_process_is_nobody_s_death(self) -> None:
        self.members.start_round()
        self.members.merge_records([make_record("e2")])
        miss(self.members)
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
        relays = [record.link_mbps for record in in_relay_order(records, EntryId("e1"), 7)]
        self.assertEqual([200.0, 200.0, 10.0, 10.0, 0.0], relays)

    def test_entries_of_the_store_are_not_alive_until_heard(self) -> None:
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


class PresentTest(unittest.TestCase):
    """What is kept of who is alive is what a look at all of them would find."""

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(steps=_steps)
    def test_it_is_always_up_to_date(self, steps: t.List[t.Tuple[str, str, int]]) -> None:
        clock = ManualClock(100.0)
        members = Members(make_record("e1"), clock, seeded_rng())
        for step, name, number in steps:
            self.take(members, clock, step, name, number)
            kept = members._live_view()
            fresh = members._compute_live_view(clock.monotonic())
            self.assertEqual(
                (fresh.records, fresh.serving, fresh.sum, fresh.rank),
                (kept.records, kept.serving, kept.sum, kept.rank),
            )
            known = {*members._members_by_id}
            self.assertEqual({EntryId("e1"), *known}, members.known_ids())
            listed = {
                (known.record.entry_id, address)
                for address in members._ids_by_address
                for known in members._members_at(address)
            }
            places = {
                (k.record.entry_id, k.record.peer_address) for k in members._members_by_id.values()
            }
            self.assertEqual(places, listed)

    def take(self, members: Members, clock: ManualClock, step: str, name: str, number: int) -> None:
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


class RowsOnlyTest(unittest.TestCase):
    """Entries that only the store's rows tell of: nobody is told that they are suspected."""

    def setUp(self) -> None:
        self.members = Members(make_record("e1"), ManualClock(100.0), seeded_rng())
        self.members.add_registered(make_record("e2", beat=0))

    def told(self) -> t.Set[str]:
        address = make_record("e2").peer_address
        suspicions = (
            *self.members.all_suspicions(),
            *self.members.recent_suspicions(),
            *self.members.suspicions_of(address),
        )
        return {suspicion.entry_id for suspicion in suspicions}

    def test_they_are_not_told_as_suspected(self) -> None:
        self.assertEqual(([], set()), (self.members.alive_records(), self.told()))

    def test_they_are_not_told_as_living(self) -> None:
        """A row outlives its machine; two that read it would make it live for each other."""
        told = [record.entry_id for record in self.members.recent_records()]
        self.assertEqual(["e1"], told)

    @parameterized.expand([("the same word", 0), ("a newer one", 1)])
    def test_they_live_once_anybody_tells_of_them(self, _name: str, beat: int) -> None:
        self.members.merge_records([make_record("e2", beat=beat)])
        self.assertEqual(["e2"], [record.entry_id for record in self.members.alive_records()])
        miss(self.members)
        self.assertEqual({"e2"}, self.told())


class LookupTest(unittest.TestCase):
    def lookup(self, *records: EntryRecord, state: t.Optional[DesiredState] = None) -> Lookup:
        known = EntryFixture()
        known.members.update_own(ready=False)
        known.members.merge_records(records)
        if state is not None:
            known.learn_state(1, "state/a", state)
        return Lookup(make_settings(), known.members, known.state_view)

    @parameterized.expand(
        [
            ("zone and as many outside", [NORTE] * 2 + [ZoneId("valle")] * 2, [0, 1, 2, 3]),
            ("region if the zone has few", [NORTE, ZoneId("valle"), PUERTO], [0, 1]),
            ("a zone that is lost", [ZoneId("valle"), ZoneId("valle"), PUERTO], [0, 1]),
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
            ("one comes", {"e2": {}}, 2),
            ("one leaves", {"e1x": {"state": EntryState.LEAVING, "beat": 9}}, 0),
            ("one is not ready any more", {"e1x": {"ready": False, "beat": 9}}, 0),
        ]
    )
    def test_an_answer_follows_who_serves(
        self, _name: str, heard: t.Dict[str, t.Dict[str, t.Any]], count: int
    ) -> None:
        known = EntryFixture()
        known.members.update_own(ready=False)
        known.members.merge_records([make_record("e1x")])
        lookup = Lookup(make_settings(), known.members, known.state_view)
        question = LookupQuery("a.example", SIERRA, NORTE)
        self.assertEqual(1, len(lookup.addresses(question)))
        known.members.merge_records(
            [make_record(name, **changes) for name, changes in heard.items()]
        )
        self.assertEqual(count, len(lookup.addresses(question)))

    def test_the_dead_are_named_no_more_once_time_has_passed(self) -> None:
        """Nobody says a word when a suspect becomes one that is held dead."""
        known = EntryFixture()
        known.members.update_own(ready=False)
        known.members.merge_records([make_record("e2")])
        lookup = Lookup(make_settings(), known.members, known.state_view)
        question = LookupQuery("a.example", SIERRA, NORTE)
        miss(known.members)
        self.assertEqual(1, len(lookup.addresses(question)))
        t.cast(ManualClock, known.clock).advance(defaults.SUSPICION_TIMEOUT_S + 0.1)
        self.assertEqual(0, len(lookup.addresses(question)))

    def test_a_zone_s_callers_are_told_of_few_others_and_not_all_of_the_same(self) -> None:
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
            # entries of the zone, others in all, those of the others that are named
            ("today's", 2, 2, 2),
            ("one alone", 1, 5, 2),
            ("grown", 9, 18, 7),
            ("grown more", 15, 15, 2),
            ("the letter's", 38, 80, 2),
            ("beyond what callers take", 70, 0, -6),
        ]
    )
    def test_no_entry_of_a_zone_is_left_out(
        self, _name: str, inside: int, others: int, outside: int
    ) -> None:
        """Or else those that are named carry the load of those that are not."""
        records = [make_record(f"e{n}in", zone=NORTE) for n in range(inside)]
        records += [make_record(f"e{n}out", zone=ZoneId("valle")) for n in range(others)]
        found = self.lookup(*records).addresses(LookupQuery("a.example", SIERRA, NORTE))
        self.assertEqual(inside + outside, len(set(found)))
        if outside >= 0:
            named = {record.caller_address for record in records[:inside]}
            self.assertEqual(set(), named - set(found))

    def test_a_region_without_entries_is_told_of_as_many_as_callers_take(self) -> None:
        records = [make_record(f"e{n}x", zone=PUERTO, region=COSTA) for n in range(80)]
        lookup = self.lookup(*records)
        zones = [ZoneId(f"z{number}") for number in range(20)]
        told = [set(lookup.addresses(LookupQuery("a.example", SIERRA, z))) for z in zones]
        self.assertEqual({defaults.MAX_LOOKUP_ADDRESSES}, {len(found) for found in told})
        self.assertEqual(80, len(set.union(*told)))

    def test_regions_of_the_routes_go_before_others(self) -> None:
        far = make_record("far", zone=ZoneId("loja"), region=RegionId("austro"))
        home = make_record("home", zone=PUERTO, region=COSTA)
        state = make_state(1, make_route(allowed_regions=frozenset({COSTA})))
        lookup = self.lookup(far, home, state=state)
        found = lookup.addresses(LookupQuery("a.example", SIERRA, NORTE))
        self.assertEqual([home.caller_address], found)


class MemberFleet:
    """Entries that ask each other in rounds, a few of which can be reached by nobody.

    News are carried by hand, so that a few hundred entries can be played.
    """

    def __init__(self, count: int) -> None:
        self.clock = ManualClock(100.0)
        self.known = {f"e{n}": EntryFixture(f"e{n}", self.clock, seed=n) for n in range(count)}
        self.gone: t.Set[str] = set()
        self.cuts: t.Set[t.FrozenSet[str]] = set()
        self.sent: t.List[int] = []
        self.may_push_at: t.Dict[str, float] = {}
        #: Share of questions and pushes that are lost.
        self.lost = 0.0
        self._rng = seeded_rng()
        for known in self.known.values():
            known.members.merge_records([make_record(name) for name in self.known if name != "e0"])
            known.members.on_update = self._pusher(known)
        #: One that nobody but its neighbour has heard of.
        self.known["e1"].members.merge_records([make_record("e0")])

    def _pusher(self, known: EntryFixture) -> t.Callable[[], None]:
        def push(at_once: bool) -> None:
            now = self.clock.monotonic()
            if at_once or now >= self.may_push_at.get(known.members.own_record.entry_id, 0.0):
                self.pushes.append(known)
                pause = (len(known.members.alive_records()) + 1) / defaults.MEMBER_PUSHES_PER_S
                self.may_push_at[known.members.own_record.entry_id] = now + pause

        return push

    pushes: t.List[EntryFixture] = []

    def can_reach(self, one: str, other: str) -> bool:
        if other in self.gone or frozenset((one, other)) in self.cuts:
            return False
        return self._rng.random() >= self.lost

    def round(self) -> None:
        self.clock.advance(defaults.GOSSIP_INTERVAL_S)
        for name, known in self.known.items():
            if name in self.gone:
                continue
            known.members.start_round()
            for record in known.members.choose_peers(defaults.GOSSIP_FANOUT):
                self._ask(known, record)
        while self.pushes:
            known = self.pushes.pop()
            others = [record.entry_id for record in known.members.alive_records()]
            self._relay(known.members.own_record.entry_id, known.exchange.build_update(), others)

    def _relay(self, sender: str, news: GossipMessage, names: t.Sequence[str]) -> None:
        parts = min(defaults.RELAY_FANOUT, len(names))
        for number in range(parts):
            part = names[number::parts]
            while part and not self.can_reach(sender, part[0]):
                part = part[1:]
            if part:
                self._tell(self.known[part[0]], news)
                self._relay(part[0], news, part[1:])

    def _ask(self, known: EntryFixture, record: EntryRecord) -> None:
        if not self.can_reach(known.members.own_record.entry_id, record.entry_id):
            known.members.record_probe_failure(record.peer_address)
            return
        other = self.known[record.entry_id]
        known.members.record_probe_success(record.peer_address)
        news = known.exchange.build_update(address=record.peer_address)
        self._tell(other, news)
        self._tell(known, other.exchange.build_reply(news))

    def _tell(self, known: EntryFixture, news: GossipMessage) -> None:
        self.sent.append(len(msgspec.msgpack.encode(news)))
        known.exchange.merge(news)

    def believed_alive(self) -> t.Set[t.FrozenSet[str]]:
        """What those that run hold alive, themselves included; one set if they agree."""
        return {
            frozenset(
                {known.members.own_record.entry_id}
                | {r.entry_id for r in known.members.alive_records()}
            )
            for name, known in self.known.items()
            if name not in self.gone
        }


class MemberFleetTest(unittest.TestCase):
    def setUp(self) -> None:
        MemberFleet.pushes = []

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
    def test_all_agree_on_who_lives(
        self, _name: str, count: int, gone: int, bound_s: float
    ) -> None:
        """The bounds are within the users' of 6 and 7 s; patience grows with the fleet."""
        fleet = MemberFleet(count)
        for _ in range(20):
            fleet.round()
        self.assertEqual({frozenset(fleet.known)}, fleet.believed_alive())
        fleet.gone = {f"e{number}" for number in range(2, 2 + gone)}
        rounds = 0
        while fleet.believed_alive() != {frozenset(fleet.known) - fleet.gone}:
            fleet.round()
            rounds += 1
            self.assertLess(rounds * defaults.GOSSIP_INTERVAL_S, bound_s)

    def test_two_that_can_t_reach_each_other_stay_alive_by_a_third(self) -> None:
        fleet = MemberFleet(12)
        fleet.cuts = {frozenset((f"e{a}", f"e{b}")) for a in (1, 2) for b in (3, 4)}
        for number in range(100):
            fleet.round()
            if number > 20:
                self.assertEqual({frozenset(fleet.known)}, fleet.believed_alive())

    def test_one_that_slept_learns_who_died(self) -> None:
        fleet = MemberFleet(89)
        for _ in range(20):
            fleet.round()
        fleet.gone = {"e5", "e6"}
        for _ in range(20):
            fleet.round()
        fleet.gone = {"e5"}
        rounds = 0
        while fleet.believed_alive() != {frozenset(fleet.known) - fleet.gone}:
            fleet.round()
            rounds += 1
            self.assertLess(rounds * defaults.GOSSIP_INTERVAL_S, 6.0)

    @parameterized.expand(
        [
            # entries, share of questions without an answer, most KB a second and entry, all live
            ("today, a tenth lost", 12, 0.1, 15, True),
            ("grown, few lost", 74, 0.02, 15, True),
            ("grown, a tenth lost", 74, 0.1, 25, True),
            ("grown, a third lost", 74, 0.3, 25, False),
            ("large, few lost", 195, 0.03, 15, True),
            ("large, a tenth lost", 195, 0.1, 25, True),
        ]
    )
    def test_lost_answers_cause_no_storm(
        self, _name: str, count: int, lost: float, most_kb: float, all_live: bool
    ) -> None:
        """A play of 74 entries drowned in pushes: news of suspects made answers late."""
        fleet = MemberFleet(count)
        for _ in range(15):
            fleet.round()
        fleet.lost = lost
        fleet.sent.clear()
        for _ in range(25):
            fleet.round()
        kb_s = sum(fleet.sent) / count / (25 * defaults.GOSSIP_INTERVAL_S) / 1000
        self.assertLess(kb_s, most_kb)
        if all_live:
            self.assertEqual({frozenset(fleet.known)}, fleet.believed_alive())

    @parameterized.expand([("today", 12), ("grown", 89), ("the letter's", 530)])
    def test_a_quiet_round_costs_the_same_at_any_size(self, _name: str, count: int) -> None:
        fleet = MemberFleet(count)
        for _ in range(12):
            fleet.round()
        fleet.sent.clear()
        for _ in range(5):
            fleet.round()
        per_entry_s = sum(fleet.sent) / count / (5 * defaults.GOSSIP_INTERVAL_S)
        self.assertLess(per_entry_s, 2000)
