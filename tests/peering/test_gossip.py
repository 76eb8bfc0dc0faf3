import itertools
import random
import typing as t
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from coralfall import defaults
from coralfall.peering import gossip, messages
from coralfall.peering.gossip import Lag, Shape
from tests.peer_fleet import member, members


def heartbeat(
    accepted: int = 3, staged: int = 3, roster: int = 7, age_s: float = 0.0
) -> messages.Heartbeat:
    return messages.Heartbeat(
        roster_revision=roster,
        accepted={"cosecha": accepted, "calor": 1},
        staged={"cosecha": staged, "calor": 1},
        platform_age_s=age_s,
        platform_now=0.0,
    )


class LagTestCase(unittest.TestCase):
    SILENT = defaults.PEER_ROSTER_FALLBACK_S

    @parameterized.expand(
        [
            ("equal", heartbeat(), heartbeat(), Lag(False, False)),
            ("accepted_behind", heartbeat(), heartbeat(accepted=4), Lag(True, False)),
            ("accepted_ahead", heartbeat(accepted=4), heartbeat(), Lag(False, False)),
            ("staged_behind", heartbeat(), heartbeat(staged=4), Lag(True, False)),
            ("roster_by_table", heartbeat(), heartbeat(roster=8), Lag(False, False)),
            ("roster_by_peer", heartbeat(age_s=SILENT), heartbeat(roster=8), Lag(False, True)),
            ("roster_ahead", heartbeat(age_s=SILENT), heartbeat(roster=6), Lag(False, False)),
        ]
    )
    def test_lag(self, _, ours, theirs, expected) -> None:
        self.assertEqual(gossip.lag(ours, theirs), expected)

    def test_unknown_partner(self) -> None:
        nothing = messages.msgspec.structs.replace(heartbeat(), accepted={}, staged={})
        self.assertEqual(gossip.lag(nothing, heartbeat()), Lag(True, False))
        self.assertEqual(gossip.lag(heartbeat(), nothing), Lag(False, False))


class ChoiceTestCase(unittest.TestCase):
    @given(
        count=st.integers(0, 12),
        regions=st.integers(1, 4),
        fanout=st.integers(1, 5),
        data=st.data(),
    )
    @settings(derandomize=True, max_examples=300, deadline=None)
    def test_choice(self, count, regions, fanout, data) -> None:
        others = members(count, regions)
        shape = Shape(fanout, data.draw(st.integers(0, fanout)))
        ids = st.lists(st.sampled_from(sorted(members(14, regions))), unique=True)
        kept, avoid = data.draw(ids), set(data.draw(ids))
        kept = [entry_id for entry_id in kept if entry_id not in avoid]
        chosen = gossip.choose_neighbours("r0", others, kept, avoid, random.Random(1), shape)
        usable = [entry_id for entry_id in others if entry_id not in avoid]
        stay = [entry_id for entry_id in kept if entry_id in others][:fanout]
        self.assertEqual(len(set(chosen)), len(chosen))
        self.assertEqual(list(chosen[: len(stay)]), stay)
        self.assertLessEqual(set(chosen), set(others))
        self.assertEqual(len(chosen), min(fanout, len(usable) or len(others)))
        if usable:
            self.assertFalse(avoid.intersection(chosen))
        self.assert_mixed(others, set(usable), stay, chosen, shape)

    def assert_mixed(self, others, usable, stay, chosen, shape) -> None:
        """As many outside as the shape says, unless those kept or a lack of others forbid."""
        outside = {entry_id for entry_id in usable if others[entry_id].region != "r0"}
        kept_outside = len(outside.intersection(stay))
        room = shape.fanout - len(stay)
        wanted = min(max(shape.outside, kept_outside), kept_outside + room, len(outside))
        if not usable:
            return
        count = len(outside.intersection(chosen))
        self.assertGreaterEqual(count, wanted)
        if count > wanted:
            self.assertLessEqual(usable - outside, set(chosen))

    def test_replacement(self) -> None:
        roster = members(60, 3)
        neighbours = gossip.Neighbours("e000", "r0", random.Random(1), Shape(3, 1, 30))
        rounds = [neighbours.next_round(roster) for _ in range(60)]
        for before, after in itertools.pairwise(rounds):
            self.assertGreaterEqual(len(set(before) & set(after)), 2)
            self.assertEqual(sum(roster[entry_id].region != "r0" for entry_id in after), 1)
        self.assertGreaterEqual(len(set().union(*rounds)), 6)
        self.assertNotIn("e000", set().union(*rounds))

    def test_neighbours_take_turns_in_quiet_rounds(self) -> None:
        neighbours = gossip.Neighbours("e000", "r0", random.Random(1), Shape(3, 1, 300))
        roster = members(12, 3)
        turns = [neighbours.next_round(roster, (), False) for _ in range(6)]
        self.assertEqual({len(turn) for turn in turns}, {1})
        self.assertEqual(turns[:3], turns[3:])
        self.assertEqual({turn[0] for turn in turns}, set(neighbours.entry_ids))

    def test_neighbour_that_fails_or_left_is_replaced_at_once(self) -> None:
        roster = members(12, 3)
        neighbours = gossip.Neighbours("e000", "r0", random.Random(1))
        first = neighbours.next_round(roster)
        del roster[first[0]]
        second = neighbours.next_round(roster, avoid={first[1]})
        self.assertEqual(len(second), len(first))
        self.assertFalse(set(first[:2]) & set(second))


class Spread:
    """News among entries that choose by :mod:`coralfall.peering.gossip`, without sockets.

    :param gone: how many entries are dead and still in the roster.
    """

    def __init__(self, count: int, regions: int, shape: Shape, gone: int, seed: int) -> None:
        source = random.Random(seed)
        self.roster = members(count, regions)
        self.live = set(self.roster) - set(source.sample(sorted(self.roster), gone))
        self.neighbours = {
            entry_id: gossip.Neighbours(
                entry_id, item.region, random.Random(source.random()), shape
            )
            for entry_id, item in self.roster.items()
        }
        self.informed = {min(self.live)}

    def tick(self, all_at_once: bool = True) -> t.Dict[str, t.List[str]]:
        """One round; live neighbours by id that are spoken to in it."""
        chosen_by_id = {}
        for entry_id in self.live:
            neighbours = self.neighbours[entry_id]
            dead = set(neighbours.entry_ids) - self.live
            chosen = neighbours.next_round(self.roster, dead, all_at_once)
            chosen_by_id[entry_id] = [other for other in chosen if other in self.live]
        return chosen_by_id

    def announce(self, chosen_by_id: t.Dict[str, t.List[str]], told: t.Set[str]) -> int:
        """Those told tell their neighbours, who tell theirs; returns the number of hops."""
        hops = 0
        while told:
            reached = set()
            for entry_id in told:
                reached.update(chosen_by_id[entry_id])
            told = reached - self.informed
            self.informed |= told
            hops += 1
        return hops

    def run(self, all_at_once: bool = False) -> t.Tuple[int, int]:
        """Rounds after the first announcement until all know, and the most hops of any."""
        for _ in range(10):
            chosen_by_id = self.tick()
        hops = self.announce(chosen_by_id, set(self.informed))
        rounds = 0
        while self.informed != self.live and rounds < 50:
            rounds += 1
            told = set()
            for entry_id, chosen in self.tick(all_at_once).items():
                for other in chosen:
                    if (entry_id in self.informed) != (other in self.informed):
                        told.add(other if entry_id in self.informed else entry_id)
            self.informed |= told
            hops = max(hops, self.announce(self.tick(), told))
        return rounds, hops


class SpreadTestCase(unittest.TestCase):
    @parameterized.expand(
        [
            ("today", 12, 3, 0, 2, 9),
            ("today_fifth_gone", 12, 3, 2, 2, 9),
            ("middle", 60, 3, 0, 2, 12),
            ("middle_fifth_gone", 60, 3, 12, 2, 12),
            ("large", 530, 4, 0, 2, 16),
            ("large_fifth_gone", 530, 4, 106, 2, 16),
        ]
    )
    def test_everybody_knows(self, _, count, regions, gone, most_rounds, most_hops) -> None:
        for seed in range(5):
            spread = Spread(count, regions, gossip.DEFAULT_SHAPE, gone, seed)
            rounds, hops = spread.run()
            self.assertLessEqual(rounds, most_rounds)
            self.assertLessEqual(hops, most_hops)

    @parameterized.expand([("quiet", False, 3), ("platform_silent", True, 2)])
    def test_region_is_lost(self, _, all_at_once, most_rounds) -> None:
        spread = Spread(60, 3, gossip.DEFAULT_SHAPE, 0, 1)
        spread.live = {item for item in spread.live if spread.roster[item].region != "r2"}
        rounds, _ = spread.run(all_at_once)
        self.assertLessEqual(rounds, most_rounds)

    @parameterized.expand([("quiet", False, 3), ("platform_silent", True, 2)])
    def test_regions_cut_from_each_other_go_on_within(self, _, all_at_once, most_rounds) -> None:
        spread = Spread(60, 3, gossip.DEFAULT_SHAPE, 0, 1)
        own = spread.roster[min(spread.informed)].region
        spread.live = {item for item in spread.live if spread.roster[item].region == own}
        rounds, _ = spread.run(all_at_once)
        self.assertLessEqual(rounds, most_rounds)


class MemberTestCase(unittest.TestCase):
    def test_alone(self) -> None:
        neighbours = gossip.Neighbours("e000", "r0", random.Random(1))
        self.assertEqual(neighbours.next_round({}), ())
        self.assertEqual(neighbours.next_round({"e000": member(0, 1)}), ())
