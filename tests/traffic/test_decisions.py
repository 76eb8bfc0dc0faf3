"""Tests of routing, weighted split, retry budget, affinity, locality and cold targets."""

import collections
import typing as t
import unittest

import hypothesis
import hypothesis.strategies as st
from parameterized import parameterized

from coralfall import defaults
from coralfall.exceptions import RefusedError
from coralfall.ids import EntryId, ServiceId, TargetId
from coralfall.placement.cold_targets import ColdTargetShares, SlidingWindowLimiter
from coralfall.placement.retry_budget import SharedRetryBudget
from coralfall.placement.weighted_split import WeightedSplit
from coralfall.process.clock import ManualClock
from coralfall.traffic.model import Backend, RouteId
from coralfall.traffic.poll_intervals import poll_intervals_for
from coralfall.traffic.routes import RouteTable
from coralfall.traffic.settings import BoundSettings
from tests.traffic.makers import (
    COSTA,
    NORTE,
    PEDIDOS,
    PUERTO,
    FixedShare,
    SteeringFixture,
    cold_share_of,
    make_route,
    make_settings,
    make_state,
    make_target,
    seeded_rng,
)


class RouteTableTest(unittest.TestCase):
    ROUTES = (
        make_route(route_id=RouteId("short"), prefix="/p/"),
        make_route(route_id=RouteId("long"), prefix="/p/q/"),
        make_route(route_id=RouteId("other"), host="b.example", prefix="/"),
    )

    @parameterized.expand(
        [
            ("longest", "a.example", "/p/q/1", "long"),
            ("shorter", "a.example", "/p/z", "short"),
            ("no slash at the end", "a.example", "/p", None),
            ("other prefix", "a.example", "/x/", None),
            ("port and case", "A.example:80", "/p/1", "short"),
            ("whole host", "b.example", "/anything", "other"),
            ("unknown host", "c.example", "/p/", None),
        ]
    )
    def test_find(self, _name: str, host: str, path: str, expected: t.Optional[str]) -> None:
        route = RouteTable(make_state(1, *self.ROUTES)).find(host, path)
        self.assertEqual(expected, route.route_id if route else None)


class WeightedSplitTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("even", (50.0, 50.0)),
            ("nine to one", (90.0, 10.0)),
            ("three", (70.0, 20.0, 10.0)),
            ("a weight of none", (1.0, 0.0)),
        ]
    )
    def test_few_requests_keep_the_shares(self, _name: str, weights: t.Tuple[float, ...]) -> None:
        backends = [Backend(ServiceId(f"s{n}"), weight) for n, weight in enumerate(weights)]
        route = make_route(backends=tuple(backends))
        split = WeightedSplit(seeded_rng())
        counts = collections.Counter(split.choose(route) for _ in range(100))
        for backend in backends:
            share = backend.weight / sum(weights)
            self.assertAlmostEqual(share, counts[backend.service] / 100, delta=0.03)

    def test_a_changed_weight_is_in_force_at_once(self) -> None:
        split = WeightedSplit(seeded_rng())
        split.choose(make_route(backends=(Backend(ServiceId("a"), 1), Backend(ServiceId("b"), 1))))
        moved = make_route(backends=(Backend(ServiceId("a"), 0), Backend(ServiceId("b"), 1)))
        self.assertEqual({ServiceId("b")}, {split.choose(moved) for _ in range(20)})


class RetryBudgetTest(unittest.TestCase):
    @parameterized.expand(
        [
            # name, this entry's share, requests, expected retries at once
            ("held for requests", 0, 100, 6),
            ("share and held", 4, 100, 10),
            ("share alone", 4, 0, 4),
            ("too few requests", 0, 16, 0),
            ("nothing yet", 0, 0, 0),
        ]
    )
    def test_spend(self, _name: str, share: int, requests: int, expected: int) -> None:
        budget = SharedRetryBudget(BoundSettings(), FixedShare(share), ManualClock())
        for _ in range(requests):
            budget.record_request(PEDIDOS)
        self.assertEqual(expected, sum(budget.spend(PEDIDOS) for _ in range(200)))

    def test_requests_earn_what_is_spent(self) -> None:
        clock = ManualClock()
        budget = SharedRetryBudget(BoundSettings(), FixedShare(0), clock)
        spent = 0
        for _ in range(2000):
            clock.advance(0.01)
            budget.record_request(PEDIDOS)
            spent += budget.spend(PEDIDOS)
        self.assertAlmostEqual(2000 * 0.2 * 0.6, spent, delta=10)

    @parameterized.expand([("within the window", 10.9, 0), ("after it", 11.1, 4)])
    def test_share_is_spent_once_a_window(self, _name: str, seconds: float, expected: int) -> None:
        clock = ManualClock()
        budget = SharedRetryBudget(BoundSettings(), FixedShare(4), clock)
        self.assertEqual(4, sum(budget.spend(PEDIDOS) for _ in range(10)))
        clock.advance(seconds)
        self.assertEqual(expected, sum(budget.spend(PEDIDOS) for _ in range(10)))

    def test_tokens_are_lost_as_requests_leave_the_window(self) -> None:
        clock = ManualClock()
        budget = SharedRetryBudget(BoundSettings(), FixedShare(0), clock)
        for _ in range(100):
            budget.record_request(PEDIDOS)
        clock.advance(10.6)
        self.assertFalse(budget.spend(PEDIDOS))

    def test_other_bounds_do_not_renew_it(self) -> None:
        budget = SharedRetryBudget(BoundSettings(), FixedShare(4), ManualClock())
        self.assertEqual(4, sum(budget.spend(PEDIDOS) for _ in range(10)))
        budget.set_bounds(BoundSettings(budget_slack=65.0))
        self.assertFalse(budget.spend(PEDIDOS))

    def test_reserved_tokens_are_not_reserved_twice(self) -> None:
        budget = SharedRetryBudget(BoundSettings(), FixedShare(2), ManualClock())
        first, second = budget.reserve(PEDIDOS), budget.reserve(PEDIDOS)
        self.assertIsNone(budget.reserve(PEDIDOS))
        assert first is not None and second is not None
        first.release()
        self.assertFalse(first.spend())
        self.assertIsNotNone(budget.reserve(PEDIDOS))
        self.assertTrue(second.spend())
        self.assertFalse(second.spend())

    def test_services_do_not_share(self) -> None:
        budget = SharedRetryBudget(BoundSettings(), FixedShare(1), ManualClock())
        self.assertTrue(budget.spend(PEDIDOS))
        self.assertFalse(budget.spend(PEDIDOS))
        self.assertTrue(budget.spend(ServiceId("catalogo")))


class AffinityTest(unittest.TestCase):
    def choose(self, steered: SteeringFixture, key: str, **options: t.Any) -> TargetId:
        route = options.get("route", make_route())
        reservation = steered.steering.choose(
            route, PEDIDOS, key.encode(), options.get("tried", ())
        )
        if not options.get("held", False):
            reservation.release()
        return reservation.state.target.target_id

    def test_entries_agree_without_communication(self) -> None:
        targets = [make_target(number) for number in range(20)]
        one = SteeringFixture(*targets)
        other = SteeringFixture(*reversed(targets))
        for key in range(50):
            self.assertEqual(self.choose(one, str(key)), self.choose(other, str(key)))

    def test_few_objects_move_when_a_target_leaves(self) -> None:
        targets = [make_target(number, slots=1000) for number in range(20)]
        steered = SteeringFixture(*targets)
        before = {key: self.choose(steered, str(key)) for key in range(300)}
        steered.set_targets(*targets[1:])
        moved = [key for key in before if self.choose(steered, str(key)) != before[key]]
        self.assertTrue(moved)
        for key in moved:
            self.assertEqual(TargetId("t0"), before[key])

    def test_candidates_are_filled_in_order_and_then_the_request_is_rejected(self) -> None:
        steered = SteeringFixture(*[make_target(number, slots=2) for number in range(5)])
        chosen: t.List[TargetId] = []
        with self.assertRaises(RefusedError) as caught:
            while True:
                chosen.append(self.choose(steered, "object", held=True))
        first, second = chosen[0], chosen[3]
        self.assertEqual([first] * 3 + [second] * 3 + [first] * 3 + [second] * 3, chosen)
        self.assertEqual("full", caught.exception.fields["reason"])
        self.assertGreater(caught.exception.retry_after, 0)

    @parameterized.expand(
        [
            # load of the second candidate, whether the object is cached there, load of the first
            ("a known object before a queue forms", 0, True, 4, "second"),
            ("an object to learn waits at home", 0, False, 4, "first"),
            ("a full home, and room to learn", 2, False, 6, "second"),
            ("a full home, and little room to learn", 3, False, 6, "first"),
        ]
    )
    def test_the_second_candidate_loads_objects_only_with_free_slots(
        self, _name: str, taken: int, known: bool, load: int, expected: str
    ) -> None:
        steered = SteeringFixture(make_target(1), make_target(2))
        first = steered.targets.by_id[self.choose(steered, "x")]
        (second,) = [one for one in steered.targets.by_id.values() if one is not first]
        if known:
            second.record_object(b"x")
        second.record_load(taken, 0)
        first.record_load(4, load - 4)
        chosen = steered.targets.by_id[self.choose(steered, "x")]
        self.assertIs({"first": first, "second": second}[expected], chosen)

    @parameterized.expand(
        [
            ("another target has it", True, True, False),
            ("another target would learn it", True, False, True),
            ("all targets are alike", False, False, False),
        ]
    )
    def test_after_a_shed_without_shortage(
        self, _name: str, affinity: bool, known: bool, same: bool
    ) -> None:
        steered = SteeringFixture(make_target(1), make_target(2))
        shed = steered.targets.by_id[self.choose(steered, "x")]
        shed.record_success()
        self.assertTrue(shed.sheds_at_random())
        (other,) = [one for one in steered.targets.by_id.values() if one is not shed]
        if known:
            other.record_object(b"x")
        tried = {shed.target.target_id}
        route = make_route(session_affinity=affinity)
        reservation = steered.steering.choose(route, PEDIDOS, b"x", tried, again=shed)
        self.assertIs(shed if same else other, reservation.state)

    def test_callers_retry_when_the_queue_is_empty(self) -> None:
        steered = SteeringFixture(make_target(1))
        steered.steering.admission.record_duration(PEDIDOS, 0.4)
        steered.targets.by_id[TargetId("t1")].record_load(4, 8)
        with self.assertRaises(RefusedError) as caught:
            self.choose(steered, "x")
        self.assertAlmostEqual(0.9, caught.exception.retry_after)

    def test_late_callers_retry_last(self) -> None:
        steered = SteeringFixture(make_target(1))
        steered.targets.by_id[TargetId("t1")].record_load(4, 0)
        with self.assertRaises(RefusedError) as caught:
            steered.steering.choose(make_route(), PEDIDOS, b"x", (), late=True)
        self.assertEqual(
            ("full-late", 1.0), (caught.exception.fields["reason"], caught.exception.retry_after)
        )

    def test_a_target_that_loads_an_object_behind_a_queue_is_responsive(self) -> None:
        steered = SteeringFixture(make_target(1), make_target(2))
        steered.steering.admission.record_duration(PEDIDOS, 0.12)
        steered.steering.admission.record_duration(PEDIDOS, 0.5, known=False)
        reservation = steered.steering.choose(make_route(), PEDIDOS, b"x", ())
        steered.clock.advance(0.8)
        self.assertFalse(reservation.state.is_unresponsive())
        steered.clock.advance(0.3)
        self.assertTrue(reservation.state.is_unresponsive())

    def test_a_released_target_is_chosen_again(self) -> None:
        steered = SteeringFixture(make_target(1, slots=1))
        held = [steered.steering.choose(make_route(), PEDIDOS, b"x", ()) for _ in range(3)]
        with self.assertRaises(RefusedError):
            self.choose(steered, "x")
        held[0].release()
        held[0].release()
        self.assertEqual(TargetId("t1"), self.choose(steered, "x"))

    def test_the_reported_load_decays(self) -> None:
        steered = SteeringFixture(make_target(1), make_target(2))
        first = steered.targets.by_id[self.choose(steered, "x")]
        first.record_load(running=4, waiting=4)
        self.assertNotEqual(first.target.target_id, self.choose(steered, "x"))
        steered.clock.advance(5.0)
        self.assertEqual(first.target.target_id, self.choose(steered, "x"))

    @parameterized.expand(
        [
            ("leaving", {"leaving": True}),
            ("in an evacuated zone", {"zone": PUERTO}),
        ]
    )
    def test_not_chosen(self, _name: str, changes: t.Dict[str, t.Any]) -> None:
        steered = SteeringFixture(make_target(1, **changes), make_target(2, slots=1000))
        steered.targets.evacuate(frozenset({PUERTO}))
        for key in range(20):
            self.assertEqual(TargetId("t2"), self.choose(steered, str(key)))

    def test_the_last_check_sees_what_changed_since_the_choice(self) -> None:
        steered = SteeringFixture(make_target(1), make_target(2))
        state = steered.steering.choose(make_route(), PEDIDOS, b"x", ()).state
        self.assertTrue(steered.targets.may_use(state))
        steered.targets.evacuate(frozenset({NORTE}))
        self.assertFalse(steered.targets.may_use(state))

    def test_regions_that_a_route_is_held_to(self) -> None:
        steered = SteeringFixture(make_target(1), make_target(2, zone=PUERTO, slots=1000))
        route = make_route(allowed_regions=frozenset({COSTA}))
        for key in range(20):
            self.assertEqual(TargetId("t2"), self.choose(steered, str(key), route=route))

    @parameterized.expand([("not reached", False, 1), ("broke off", True, 3)])
    def test_a_failing_target_is_ejected(self, _name: str, reached: bool, failures: int) -> None:
        steered = SteeringFixture(make_target(1), make_target(2, slots=1000))
        state = steered.targets.by_id[TargetId("t1")]
        for _ in range(failures):
            self.assertTrue(state.is_usable())
            state.record_failure(reached)
        self.assertFalse(state.is_usable())
        steered.clock.advance(defaults.EJECTION_S)
        self.assertTrue(state.is_usable())

    @parameterized.expand(
        [
            ("no sign of life", None, 1, True),
            ("another was answered meanwhile", 0.5, 1, False),
            ("not overdue yet", None, 0.2, False),
        ]
    )
    def test_an_unresponsive_target_is_skipped(
        self, _name: str, answered_s: t.Optional[float], waited_s: float, passed_over: bool
    ) -> None:
        steered = SteeringFixture(make_target(1), make_target(2))
        steered.steering.admission.record_duration(PEDIDOS, 0.2)
        reservation = steered.steering.choose(make_route(), PEDIDOS, b"x", ())
        home = reservation.state.target.target_id
        steered.clock.advance(answered_s or 0.0)
        if answered_s is not None:
            reservation.state.record_success()
        steered.clock.advance(waited_s - (answered_s or 0.0))
        self.assertEqual(passed_over, self.choose(steered, "x") != home)
        reservation.release()

    @parameterized.expand([("no sign of life", False, True), ("others answered", True, False)])
    def test_a_target_that_lets_a_request_s_time_pass(
        self, _name: str, answered: bool, rests: bool
    ) -> None:
        steered = SteeringFixture(make_target(1))
        state = steered.targets.by_id[TargetId("t1")]
        began = steered.clock.monotonic()
        steered.clock.advance(1.0)
        if answered:
            state.record_success()
        state.record_failure(reached=True, silent_since=began)
        self.assertEqual(rests, not state.is_usable())

    @parameterized.expand(
        [
            # seconds left, load of the target, whether late, reason of the rejection
            ("in time", 1.0, 0, False, None),
            ("too little time", 0.15, 0, False, "no-time"),
            ("too little time behind others", 0.3, 7, False, "no-time"),
            ("late and room", 1.0, 0, True, None),
            ("late and no room to spare", 1.0, 4, True, "full-late"),
            ("not late, and the same load", 1.0, 4, False, None),
        ]
    )
    def test_admission(
        self, _name: str, left_s: float, load: int, late: bool, reason: t.Optional[str]
    ) -> None:
        steered = SteeringFixture(make_target(1, slots=4))
        steered.steering.admission.record_duration(PEDIDOS, 0.2)
        steered.targets.by_id[TargetId("t1")].record_load(load, 0)
        got: t.Optional[str] = None
        try:
            steered.steering.choose(make_route(), PEDIDOS, b"x", (), left_s, late)
        except RefusedError as error:
            got = error.fields["reason"]
        self.assertEqual(reason, got)

    @parameterized.expand(
        [
            ("nothing listens", True, 1, True),
            ("one lost packet", False, 1, False),
            ("silent for long", False, 4, True),
        ]
    )
    def test_a_target_that_was_down_is_cold_until_its_row_is_known(
        self, _name: str, refused: bool, failures: int, cold: bool
    ) -> None:
        steered = SteeringFixture(make_target(1))
        state = steered.targets.by_id[TargetId("t1")]
        for _ in range(failures):
            state.record_failure(reached=False, refused=refused)
        self.assertEqual(cold, state.is_cold())
        steered.clock.advance(make_settings().bounds.target_visibility_s())
        self.assertFalse(state.is_cold())

    def test_kept_connections_of_a_lifetime_that_is_over_are_dropped(self) -> None:
        steered = SteeringFixture(make_target(1, born=1))
        ended: t.List[t.Optional[int]] = []
        steered.targets.on_restart = lambda target: ended.append(target.born)
        steered.set_targets(make_target(1, born=1, cold_s=1.0))
        steered.set_targets(make_target(1, born=2))
        self.assertEqual([1], ended)

    def test_if_all_are_ejected_they_are_used(self) -> None:
        steered = SteeringFixture(make_target(1), make_target(2))
        for state in steered.targets.by_id.values():
            state.record_failure(reached=False)
        self.assertIn(self.choose(steered, "x"), ("t1", "t2"))

    def test_is_late(self) -> None:
        admission = SteeringFixture().steering.admission
        route = make_route(latency_target_s=0.3)
        for _ in range(20):
            admission.record_arrival(route, 2.5)
        late = [left for left in (2.5, 2.3, 2.1, 0.5) if admission.is_late(route, left)]
        self.assertEqual([2.1, 0.5], late)

    def test_a_replaced_target_is_never_chosen_again(self) -> None:
        steered = SteeringFixture(make_target(1), make_target(2, slots=1000))
        steered.targets.mark_replaced(steered.targets.by_id[TargetId("t1")])
        for key in range(20):
            self.assertEqual(TargetId("t2"), self.choose(steered, str(key)))


class BoundsTest(unittest.TestCase):
    """Times that are derived from the configured bounds."""

    @parameterized.expand(
        [
            ("today", {}, 3.0, 1.0, 0.05),
            ("a short grace", {"grace_s": 3.0}, 1.5, 0.5, 0.05),
            ("a long grace", {"grace_s": 30.0}, 3.0, 1.0, 0.05),
            ("short answers to look-ups", {"max_ttl_s": 0.2}, 3.0, 0.2, 0.05),
            ("little may shift", {"max_shift": 0.03}, 3.0, 1.0, 0.01),
        ]
    )
    def test_times_that_follow(
        self, _name: str, changes: t.Dict[str, t.Any], leave_s: float, ttl_s: float, per_s: float
    ) -> None:
        bounds = BoundSettings(**changes)
        found = (bounds.shutdown_accept_s(), bounds.lookup_ttl_s(), bounds.home_shift_per_s())
        for expected, value in zip((leave_s, ttl_s, per_s), found, strict=True):
            self.assertAlmostEqual(expected, value)

    @parameterized.expand(
        [
            ("today", 2.0, 0.5, 1.25),
            ("tight", 1.0, 0.25, 0.625),
            ("loose, which is no reason to know things later", 8.0, 0.5, 1.25),
        ]
    )
    def test_the_pace_of_reading(
        self, _name: str, bound_s: float, interval_s: float, last_s: float
    ) -> None:
        pace = poll_intervals_for(bound_s)
        self.assertAlmostEqual(interval_s, pace.due_age_s(0, held=False))
        self.assertEqual(0.0, pace.due_age_s(0, held=True))
        self.assertAlmostEqual(last_s, pace.due_age_s(500, held=False))

    @parameterized.expand(
        [("today", 4100, 2282), ("few", 420, 74), ("hardly any", 100, 32), ("many", 65536, 3000)]
    )
    def test_connections_of_callers_leave_some_for_targets(
        self, _name: str, max_files: int, expected: int
    ) -> None:
        self.assertEqual(expected, make_settings(max_files=max_files).max_caller_connections())

    @parameterized.expand(
        [("small", 200, 26_214_400), ("large", 552, 72_351_744), ("none", 0, 1_048_576)]
    )
    def test_answers_being_received_take_a_part_of_the_memory(
        self, _name: str, memory_mb: float, expected: int
    ) -> None:
        self.assertEqual(expected, make_settings(memory_mb=memory_mb).max_received_bytes())

    def test_what_the_operator_writes_is_bound_by_the_tighter_of_two(self) -> None:
        self.assertEqual(1.5, BoundSettings(config_s=4.0, evacuation_s=1.5).state_deadline_s())


class LocalityTest(unittest.TestCase):
    """Locality: where the first candidates of the objects of callers in sierra are."""

    def homes(self, steered: SteeringFixture, keys: int = 400) -> t.Dict[str, str]:
        found = {}
        for number in range(keys):
            reservation = steered.steering.choose(make_route(), PEDIDOS, str(number).encode(), ())
            reservation.release()
            found[str(number)] = reservation.state.target.zone
        return found

    @parameterized.expand(
        [
            # targets in the callers' region and in the other one, fraction that stays local
            ("as many", 4, 4, 1.0),
            ("more than enough", 6, 2, 1.0),
            ("half of what it needs", 3, 17, 0.5),
            ("none", 0, 4, 0.0),
            ("nowhere else", 3, 0, 1.0),
        ]
    )
    def test_fraction_that_stays_local(self, _name: str, near: int, far: int, part: float) -> None:
        targets = [make_target(number) for number in range(near)]
        targets += [make_target(100 + number, zone=PUERTO) for number in range(far)]
        homes = self.homes(SteeringFixture(*targets))
        self.assertAlmostEqual(part, list(homes.values()).count(NORTE) / len(homes), delta=0.06)

    def test_the_second_candidate_is_in_another_region(self) -> None:
        steered = SteeringFixture(
            *[make_target(number, slots=1) for number in range(4)],
            *[make_target(100 + number, slots=1, zone=PUERTO) for number in range(4)],
        )
        zones = []
        with self.assertRaises(RefusedError):
            while True:
                reservation = steered.steering.choose(make_route(), PEDIDOS, b"x", ())
                zones.append(reservation.state.target.zone)
        self.assertEqual([NORTE, NORTE, PUERTO, PUERTO, NORTE, PUERTO], zones)

    def test_the_local_fraction_follows_capacity_slowly(self) -> None:
        near = [make_target(number) for number in range(4)]
        far = [make_target(100 + number, zone=PUERTO) for number in range(12)]
        steered = SteeringFixture(*near, *far)
        before = self.homes(steered)
        steered.set_targets(*near[:2], *far)
        moved = []
        for _ in range(3):
            steered.clock.advance(2.0)
            after = self.homes(steered)
            moved.append(sum(after[key] != before[key] for key in before) / len(before))
            before = after
        self.assertLess(max(moved), 0.15)
        self.assertGreater(sum(moved), 0.2)


class ColdTargetsTest(unittest.TestCase):
    @hypothesis.given(
        entries=st.integers(1, 600),
        per_s=st.floats(1.0, 60.0),
        missing=st.integers(0, 3),
    )
    @hypothesis.settings(derandomize=True, max_examples=80, deadline=None)
    def test_all_entries_together_stay_in_bounds(
        self, entries: int, per_s: float, missing: int
    ) -> None:
        """Holds also while half of the entries do not know a few of the others."""
        names = [EntryId(f"e{number}") for number in range(entries)]
        fewer = names[: max(1, entries - missing)]
        total = 0
        for number, name in enumerate(names):
            view = names if number % 2 or name not in fewer else fewer
            total += cold_share_of(name, view, TargetId("t1"), per_s)
        self.assertLessEqual(total, per_s)

    def test_some_entries_may_send_to_a_cold_target(self) -> None:
        names = [EntryId(f"e{number}") for number in range(530)]
        shares = [cold_share_of(name, names, TargetId("t1"), 18.5) for name in names]
        self.assertEqual(11, sum(shares))

    @parameterized.expand(
        [
            # name, seconds between starts of all entries, seconds until each knows the others
            ("killed in series", 0.4, 0.1),
            ("slow to know the others", 1.6, 1.2),
            ("once", 5.0, 0.1),
        ]
    )
    def test_starts_do_not_renew_the_share_of_a_cold_target(
        self, _name: str, gap_s: float, known_s: float
    ) -> None:
        clock = ManualClock(100.0)
        names = [EntryId(f"e{number}") for number in range(12)]
        sent: t.List[float] = []
        started_at = -float("inf")
        for _ in range(600):
            clock.advance(0.01)
            if clock.now - started_at >= gap_s:
                started_at = clock.now
                shares = [ColdTargetShares(name, clock) for name in names]
                limiters = [SlidingWindowLimiter() for _ in names]
            for share, limiter in zip(shares, limiters, strict=True):
                if clock.now - started_at >= known_s:
                    share.set_entries(names)
                if limiter.has_room(clock.now, share.allowance_of(TargetId("t1"), 18.5)):
                    limiter.record(clock.now)
                    sent.append(clock.now)
        for at in sent:
            self.assertLessEqual(sum(at <= other < at + 1.0 for other in sent), 18.5)

    def test_a_cold_target_gets_its_share_in_any_second(self) -> None:
        steered = SteeringFixture(
            make_target(1, cold_s=3.0, slots=1000), make_target(2, slots=1000)
        )
        sent: t.List[float] = []
        for number in range(290):
            key = str(number % 10).encode()
            chosen = steered.steering.choose(make_route(), PEDIDOS, key, ())
            chosen.release()
            if chosen.state.target.target_id == TargetId("t1"):
                sent.append(steered.clock.now)
            steered.clock.advance(0.01)
        self.assertTrue(sent)
        for at in sent:
            self.assertLessEqual(sum(at <= other < at + 1.0 for other in sent), 18.5)

    @parameterized.expand([("given back", True), ("another zone", False)])
    def test_zones_are_cold_after_their_evacuation(self, _name: str, returned: bool) -> None:
        zone = PUERTO if returned else NORTE
        steered = SteeringFixture(make_target(1, zone=zone))
        steered.targets.evacuate(frozenset({PUERTO}))
        steered.targets.evacuate(frozenset())
        state = steered.targets.by_id[TargetId("t1")]
        self.assertEqual(returned, state.is_cold())
        steered.clock.advance(4.1)
        self.assertFalse(state.is_cold())
