"""Tests of which services an entry takes for unreached."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall import defaults
from coralfall.ids import EntryId, TargetId
from coralfall.placement.reachability import Reachability, Witness
from tests.traffic.makers import PEDIDOS, SteeringFixture, make_target, seeded_rng


class UnreachedServiceTest(unittest.TestCase):
    @parameterized.expand(
        [
            # known targets, targets that fail in turn, whether one succeeds in between, unreached
            ("one of many", 6, (1,), False, False),
            ("the same one again and again", 6, (1, 1, 1, 1), False, False),
            ("several", 6, (1, 2, 3), False, True),
            ("several, with a success between them", 6, (1, 2, 3), True, False),
            ("all of two", 2, (1, 2), False, True),
            ("the only one", 1, (1,), False, True),
        ]
    )
    def test_failures(
        self, _name: str, known: int, failing: "tuple[int, ...]", succeeds: bool, unreached: bool
    ) -> None:
        fixture = SteeringFixture(*[make_target(number) for number in range(1, known + 1)])
        reachability = Reachability(fixture.targets, fixture.clock)
        for index, number in enumerate(failing):
            if succeeds and index == len(failing) - 1:
                reachability.record_success(PEDIDOS, make_target(1).target_id)
            reachability.record_failure(PEDIDOS, make_target(number).target_id, refused=False)
        self.assertEqual([PEDIDOS] * unreached, reachability.unreached_services())
        reachability.record_success(PEDIDOS, make_target(1).target_id)
        self.assertEqual([], reachability.unreached_services())


class CutOffTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fixture = SteeringFixture(*[make_target(number) for number in range(1, 7)])
        self.clock = self.fixture.clock
        self.reachability = Reachability(self.fixture.targets, self.clock)

    def record_failures(self, *numbers: int) -> None:
        for number in numbers:
            state = self.fixture.targets.by_id[TargetId(f"t{number}")]
            self.reachability.record_failure(PEDIDOS, state.target.target_id, refused=True)
            state.record_failure(reached=False, refused=True)

    def cut_off(self, *unreached: int) -> None:
        self.record_failures(1, 2, 3)
        ids = frozenset([TargetId(f"t{number}") for number in unreached])
        self.reachability.conclude_cut_off(PEDIDOS, Witness(EntryId("w"), ids))

    def probe(self, seconds: float, succeeds: bool = True) -> None:
        """Probes as often as an entry does that is cut off."""
        until = self.clock.monotonic() + seconds
        while self.clock.monotonic() < until:
            self.reachability.record_probes(PEDIDOS, succeeds)
            self.clock.advance(defaults.REACH_ROUND_S)

    def test_failures_say_nothing_about_targets_that_the_witness_reaches(self) -> None:
        self.cut_off(3)
        states = [self.fixture.targets.by_id[TargetId(f"t{number}")] for number in (1, 2, 3)]
        self.assertEqual([True, True, False], [state.is_usable() for state in states])
        self.assertEqual([False, False, True], [state.is_cold() for state in states])

    def test_failures_before_the_last_connection_still_count(self) -> None:
        self.record_failures(4)
        self.clock.advance(0.1)
        self.reachability.record_success(PEDIDOS, TargetId("t5"))
        self.clock.advance(0.1)
        self.cut_off()
        self.assertFalse(self.fixture.targets.by_id[TargetId("t4")].is_usable())

    def test_a_relapse_doubles_the_time_for_which_probes_have_to_succeed(self) -> None:
        holds = []
        for _ in range(6):
            self.cut_off()
            began = self.clock.monotonic()
            while self.reachability.is_cut_off(PEDIDOS):
                self.probe(defaults.REACH_ROUND_S)
            holds.append(self.clock.monotonic() - began)
        self.assertEqual(sorted(holds), holds)
        self.assertGreater(holds[1], holds[0] * 1.4)
        most_s = defaults.MAX_REACH_HOLD_S + 2 * defaults.REACH_ROUND_S
        self.assertLessEqual(holds[-1], most_s)

    def test_a_probe_that_fails_starts_the_time_anew(self) -> None:
        self.cut_off()
        for _ in range(10):
            self.probe(defaults.REACH_HOLD_S * 0.5)
            self.probe(defaults.REACH_ROUND_S, succeeds=False)
        self.assertTrue(self.reachability.is_cut_off(PEDIDOS))

    def test_targets_that_nobody_reaches_are_down(self) -> None:
        self.record_failures(1, 2, 3)
        self.reachability.conclude_down(PEDIDOS)
        self.assertFalse(self.reachability.is_cut_off(PEDIDOS))
        self.assertFalse(self.fixture.targets.by_id[TargetId("t1")].is_usable())

    def test_each_check_in_vain_asks_more_entries_and_waits_longer(self) -> None:
        asked: t.List[int] = []
        waits: t.List[float] = []
        for _ in range(8):
            self.record_failures(1, 2, 3)
            asked.append(self.reachability.entries_to_ask(PEDIDOS))
            self.reachability.conclude_down(PEDIDOS)
            began = self.clock.monotonic()
            while not self.reachability.may_check(PEDIDOS):
                self.clock.advance(0.05)
            waits.append(self.clock.monotonic() - began)
        self.assertEqual([4, 8, 16, 16, 16, 16, 16, 16], asked)
        self.assertEqual(sorted(waits), waits)
        self.assertLessEqual(waits[-1], defaults.MAX_REACH_RECHECK_S + 0.1)

    def test_targets_not_tried_are_probed_first(self) -> None:
        self.record_failures(1, 2)
        states = self.reachability.targets_to_probe(PEDIDOS, seeded_rng())
        self.assertEqual(set(), {state.target.target_id for state in states} & {"t1", "t2"})
        self.record_failures(3)
        self.assertEqual([], self.reachability.targets_to_probe(PEDIDOS, seeded_rng()))
