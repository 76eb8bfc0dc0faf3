"""Slots of targets by the bundles of both partners, and the limits while bundles change."""

import hashlib
import typing as t
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from coralfall.balancing.capacity import (
    Pool,
    idle_connections,
    pool_limit,
    pools,
    reserved_slots,
    stricter_bundle,
    usable_slots,
)
from coralfall.balancing.limits import CapacityLimits, Limits
from coralfall.balancing.slot import INFINITY
from coralfall.bundles.bundle import Bundle, Grant, Target
from coralfall.ids import PartnerId, ServiceId, TargetId, TargetState
from coralfall.process.clock import ManualClock
from tests.bundle_makers import (
    CALOR,
    CENTRO,
    COSECHA,
    SIERRA,
    make_bundle,
    make_service,
    make_target,
)

JOINING, LEAVING = TargetState.JOINING, TargetState.LEAVING
Bundles = t.Dict[PartnerId, Bundle]

states = st.sampled_from([TargetState.ACTIVE, TargetState.ACTIVE, JOINING, LEAVING])
some_targets = st.dictionaries(
    st.sampled_from("abcdef"),
    st.builds(make_target, st.sampled_from(["sierra", "centro"]), st.integers(1, 7), states),
    min_size=1,
)
region_slots = st.integers(1, 25)


@st.composite
def bundle_pairs(draw: st.DrawFn, version: int = 1) -> Bundles:
    """A bundle of each partner, each with targets in the regions of both."""
    found = {}
    for partner, own, other in (("cosecha", "sierra", "calor"), ("calor", "centro", "cosecha")):
        grants = draw(st.dictionaries(st.just((own, other)), st.integers(1, 9)))
        targets = {f"{partner}-{name}": value for name, value in draw(some_targets).items()}
        slots = {own: draw(region_slots)}
        timeout_ms = draw(st.sampled_from([500, 4000]))
        found[PartnerId(partner)] = make_bundle(
            partner, slots, targets, grants, version, timeout_ms
        )
    return found


def distribute_naively(bundles: Bundles) -> t.Dict[TargetId, int]:
    """Reference: deals one slot per round to each target until a limit is used up."""
    slots = {}
    for bundle in bundles.values():
        for target_id, target in bundle.targets.items():
            slots[target_id] = 0 if target.state is LEAVING else target.slots
    for pool, members in pools(bundles).items():
        asked = {name: slots[name] for name in members}
        dealt = dict.fromkeys(members, 0)
        order = sorted(members, key=lambda n: hashlib.blake2b(n.encode(), digest_size=8).digest())
        left = pool_limit(bundles, pool)
        while left and dealt != asked:
            for name in order:
                if left and dealt[name] < asked[name]:
                    dealt[name] += 1
                    left -= 1
        slots.update(dealt)
    return slots


class SlotsTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("whole", {"sierra": 20}, {"a": make_target("sierra")}, {}, {"a": 6}),
            ("cut_evenly", {"sierra": 5}, {n: make_target("sierra") for n in "ab"}, {}, {5}),
            ("leaving", {"sierra": 9}, {"a": make_target("sierra", 6, LEAVING)}, {}, {"a": 0}),
            ("no_grant", {"sierra": 9}, {"a": make_target("centro")}, {}, {"a": 0}),
            ("grant", {"sierra": 9}, {"a": make_target("centro")}, {("centro", "cosecha"): 2}, {2}),
            ("foreign", {"sierra": 9}, {"a": make_target("centro")}, {("centro", "x"): 2}, {0}),
            ("no_owner", {"sierra": 9}, {"a": make_target("norte")}, {}, {"a": 0}),
        ]
    )
    def test_reserved(
        self,
        _name: str,
        regions: t.Dict[str, int],
        targets: t.Dict[str, Target],
        grants: t.Dict[t.Tuple[str, str], int],
        expected: t.Any,
    ) -> None:
        bundles = {
            COSECHA: make_bundle("cosecha", regions, targets),
            CALOR: make_bundle("calor", {"centro": 50}, {"z": make_target("centro", 3)}, grants),
        }
        found = reserved_slots(bundles)
        self.assertEqual(found.pop(TargetId("z")), 3)
        self.assertEqual(found if isinstance(expected, dict) else {sum(found.values())}, expected)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(bundle_pairs())
    def test_same_as_dealing_one_by_one(self, bundles: Bundles) -> None:
        reserved = reserved_slots(bundles)
        self.assertEqual(reserved, distribute_naively(bundles))
        for pool, members in pools(bundles).items():
            total = sum(reserved[name] for name in members)
            self.assertLessEqual(total, pool_limit(bundles, pool))

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(bundle_pairs(), st.floats(-5, 40), st.floats(0, 5))
    def test_ramp_rises_within_what_is_reserved(
        self, bundles: Bundles, now: float, later: float
    ) -> None:
        accepted_at = {COSECHA: 0.0, CALOR: 3.0}
        reserved = reserved_slots(bundles)
        before = usable_slots(bundles, now, accepted_at)
        after = usable_slots(bundles, now + later, accepted_at)
        for target_id, slots in reserved.items():
            self.assertLessEqual(before[target_id], after[target_id])
            self.assertLessEqual(after[target_id], slots)
        self.assertEqual(usable_slots(bundles, 99, accepted_at), reserved)

    def test_joining_target_starts_small(self) -> None:
        bundle = make_bundle("cosecha", {"sierra": 99}, {"a": make_target("sierra", 6, JOINING)})
        found = [
            usable_slots({COSECHA: bundle}, now, {COSECHA: 100.0})["a"]
            for now in (99, 100, 115, 130)
        ]
        self.assertEqual(found, [1, 1, 3, 6])

    def test_target_in_its_owners_region_wins_a_clash_of_names(self) -> None:
        bundles = {
            CALOR: make_bundle("calor", {"centro": 9}, {"a": make_target("sierra", 1)}),
            COSECHA: make_bundle("cosecha", {"sierra": 9}, {"a": make_target("sierra", 5)}),
        }
        self.assertEqual(reserved_slots(bundles), {"a": 5})

    def test_region_claimed_twice_has_the_least_slots(self) -> None:
        bundles = {
            CALOR: make_bundle("calor", {"sierra": 90}, {"a": make_target("sierra", 5)}),
            COSECHA: make_bundle("cosecha", {"sierra": 4}, {"b": make_target("sierra", 5)}),
        }
        self.assertEqual(pool_limit(bundles, Pool(SIERRA)), 4)
        self.assertEqual(sum(reserved_slots(bundles).values()), 4)

    @parameterized.expand([(1, 394), (22, 17), (530, 0)])
    def test_connections_of_all_entries_fit(self, members: int, expected: int) -> None:
        target = make_target("sierra")
        found = idle_connections(target, members)
        self.assertEqual(found, expected)
        self.assertLessEqual(found * members + target.slots, target.connections)


class StricterTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("fewer_slots", make_target("sierra", 6), make_target("sierra", 2), 2, None),
            ("leaving", make_target("sierra", 6, LEAVING), make_target("sierra"), 6, LEAVING),
            ("joining", make_target("sierra", 6), make_target("sierra", 6, JOINING), 6, JOINING),
            ("moved", make_target("sierra"), make_target("costa"), None, None),
            ("gone", make_target("sierra"), None, None, None),
        ]
    )
    def test_target(
        self,
        _name: str,
        first: Target,
        second: t.Optional[Target],
        slots: t.Optional[int],
        state: t.Optional[TargetState],
    ) -> None:
        others = {"other": make_target("sierra")}
        one = make_bundle("cosecha", {"sierra": 9}, {"a": first, **others})
        two = make_bundle("cosecha", {"sierra": 9}, {"a": second or first, **others})
        if second is None:
            two = make_bundle("cosecha", {"sierra": 9}, others)
        for met in (stricter_bundle(one, two), stricter_bundle(two, one)):
            target = met.targets.get(TargetId("a"))
            self.assertEqual(target and target.slots, slots)
            if target is not None and state is not None:
                self.assertIs(target.state, state)

    def test_rules(self) -> None:
        one = make_bundle("cosecha", {"sierra": 9}, {"a": make_target("sierra")})
        service = make_service(500, shift_cap=0.02, key_required=True, ramp_s=90.0)
        grants = {SIERRA: {CALOR: Grant(slots=1)}}
        two = msgspec.structs.replace(
            one, services={ServiceId("pedidos"): service}, grants=grants, regions={}
        )
        met = stricter_bundle(one, two)
        self.assertEqual(met.services[ServiceId("pedidos")], service)
        self.assertEqual((met.grants, met.regions), ({}, {}))
        gone = msgspec.structs.replace(one, services={ServiceId("acopio"): service})
        self.assertEqual(
            (stricter_bundle(one, gone).services, stricter_bundle(one, gone).targets), ({}, {})
        )


def _slots_there(limits: Limits, target_id: TargetId, pool: Pool) -> int:
    limit = limits.get(target_id)
    return 0 if limit is None or limit.region != pool.region else limit.reserved


class ChangeTest(unittest.TestCase):
    """One entry already serves under the new bundles while another does not know them yet."""

    def setUp(self) -> None:
        self.clock = ManualClock(50)

    def _update(self, limits: CapacityLimits, accepted: Bundles, staged: Bundles) -> Limits:
        accepted_at = dict.fromkeys(accepted, 0.0)
        return limits.update(accepted, staged, accepted_at, self.clock.now)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(bundle_pairs(1), bundle_pairs(2), st.sampled_from([0.1, 1, 5, 8]))
    def test_sum_stays_within_every_limit(self, old: Bundles, new: Bundles, later: float) -> None:
        self.clock = ManualClock(50)
        first, second = CapacityLimits(self.clock), CapacityLimits(self.clock)
        before = self._update(first, old, {})
        self._update(second, old, {})
        self.assertEqual(
            {name: limit.reserved for name, limit in before.items()}, reserved_slots(old)
        )
        behind = self._update(second, old, new)
        self._update(first, old, new)
        longest = max(limit.timeout_s for limit in before.values())
        for passed in (0.0, later):
            self.clock.advance(passed)
            ahead = self._update(first, new, {})
            old_runs = self.clock.now < 50 + longest
            for pool, members in pools(new).items():
                total = 0
                for name in set(members) | set(pools(old).get(pool, ())):
                    known = [ahead, behind] + ([before] if old_runs else [])
                    total += max(_slots_there(limits, name, pool) for limits in known)
                allowed = pool_limit(new, pool)
                if old_runs:
                    allowed = max(allowed, pool_limit(old, pool))
                self.assertLessEqual(total, allowed)
        self.clock.advance(20)
        after = self._update(first, new, {})
        self.assertEqual(
            {name: limit.reserved for name, limit in after.items()}, reserved_slots(new)
        )

    def test_target_is_not_held_back_where_nothing_is_cut(self) -> None:
        old = {COSECHA: make_bundle("cosecha", {"sierra": 99}, {"a": make_target("sierra")})}
        targets = {"a": make_target("sierra"), "b": make_target("sierra")}
        new = {COSECHA: make_bundle("cosecha", {"sierra": 99}, targets, version=2)}
        limits = CapacityLimits(self.clock)
        self._update(limits, old, {})
        staged = self._update(limits, old, new)
        self.assertNotIn("b", staged)
        self.assertEqual(self._update(limits, new, {})[TargetId("b")].usable, 6)

    def test_what_has_not_changed_stays_the_same_object(self) -> None:
        targets = {"a": make_target("sierra"), "b": make_target("sierra", 6, JOINING)}
        bundles = {COSECHA: make_bundle("cosecha", {"sierra": 99}, targets)}
        limits = CapacityLimits(ManualClock())
        first, again, later = (
            limits.update(bundles, {}, {COSECHA: 0.0}, now) for now in (0.0, 0.1, 20.0)
        )
        self.assertIs(first, again)
        same = [name for name in first if first[name] is later[name]]
        self.assertEqual(same, ["a"])

    @parameterized.expand(
        [
            # limit of the region, slots of "a" in the new bundle, when it was seen alive,
            # slots of "b" at the end, whether "a" has to be checked
            ("stopped", 6, 2, -INFINITY, 2, True),
            ("alive before the deadlines only", 6, 2, 51.0, 2, True),
            ("alive since", 6, 2, 99.0, 4, False),
            ("no longer listed", 6, None, -INFINITY, 4, False),
            ("room for all", 10, 2, -INFINITY, 4, False),
            ("no slot lost", 8, 4, -INFINITY, 4, False),
        ]
    )
    def test_slots_that_a_stopped_target_lost(
        self,
        _name: str,
        slots: int,
        slots_of_a: t.Optional[int],
        alive_at: float,
        expected: int,
        checked: bool,
    ) -> None:
        """Guards against slots that others get while a stopped target runs requests on them."""
        before = {"a": make_target("sierra", 4), "b": make_target("sierra", 2)}
        after = {"b": make_target("sierra", 4)}
        if slots_of_a is not None:
            after["a"] = make_target("sierra", slots_of_a)
        old = {COSECHA: make_bundle("cosecha", {"sierra": slots}, before)}
        new = {COSECHA: make_bundle("cosecha", {"sierra": slots}, after, version=2)}
        limits = CapacityLimits(self.clock, lambda target_id: alive_at)
        self._update(limits, old, {})
        for _ in range(4):
            self._update(limits, new, {})
            self.clock.advance(10.0)
        found = self._update(limits, new, {})[TargetId("b")]
        self.assertEqual((found.usable, found.reserved), (expected, 4))
        self.assertEqual(limits.doubted_targets, {TargetId("a")} if checked else set())

    def test_longer_timeout_counts_while_its_requests_run(self) -> None:
        targets = {"a": make_target("centro")}
        old = {CALOR: make_bundle("calor", {"centro": 9}, targets, timeout_ms=9000)}
        new = {CALOR: make_bundle("calor", {"centro": 9}, targets, version=2)}
        limits = CapacityLimits(self.clock)
        self._update(limits, old, {})
        found = []
        for passed in (0.0, 11.0, 1.0):
            self.clock.advance(passed)
            found.append(self._update(limits, new, {})[TargetId("a")].timeout_s)
        self.assertEqual(found, [9, 9, 1])
        self.assertEqual(self._update(limits, new, {})[TargetId("a")].region, CENTRO)
