"""Routing: policies, and the router with its shift limiter and target health."""

import typing as t
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from coralfall.balancing.health import ServiceHealth
from coralfall.balancing.routing import REFRESH_S, Candidate, Router, policy_for
from coralfall.balancing.shift import ShiftLimiter
from coralfall.bundles.bundle import Target
from coralfall.exceptions import RefusedError
from coralfall.ids import PolicyName, RegionId, TargetId, ZoneId

from .test_shift import CATALOGO, A, B, make_service


def make_candidate(name: str, region: RegionId = A, **fields: t.Any) -> Candidate:
    return Candidate(target_id=TargetId(name), region=region, zone=ZoneId("z"), slots=6, **fields)


def make_target(region: RegionId, slots: int = 6) -> Target:
    return Target(
        service=CATALOGO,
        region=region,
        zone=ZoneId(f"{region}1"),
        address="127.0.0.1:1",
        slots=slots,
        connections=400,
    )


class PolicyTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("near first", PolicyName.LATENCY, "near"),
            ("free region first", PolicyName.HEADROOM, "idle"),
        ]
    )
    def test_rank(self, _: str, name: PolicyName, first: str) -> None:
        near = make_candidate("near", A, latency_s=0.005, load=0.5, region_load=0.6)
        idle = make_candidate("idle", B, latency_s=0.070, load=0.1, region_load=0.2)
        for order in ([near, idle], [idle, near]):
            ranked = policy_for(name).rank(order)
            self.assertEqual(ranked[0].target_id, first)


SERVICE_BY_POLICY = {
    policy: msgspec.structs.replace(make_service({A: 0.5, B: 0.5}), policy=policy)
    for policy in PolicyName
}


def make_router(policy: PolicyName = PolicyName.LATENCY, count: int = 1) -> Router:
    service = SERVICE_BY_POLICY[policy]
    health = ServiceHealth(ramp_s=30.0)
    shift_limiter = ShiftLimiter(CATALOGO, service, service.weights, 0.0)
    router = Router(CATALOGO, service, shift_limiter, health, 0.0)
    targets = {}
    for region in (A, B):
        for number in range(1, count + 1):
            targets[TargetId(f"{region}{number}")] = make_target(region)
    router.set_targets(targets, 0.0)
    return router


def naive_choice(
    router: Router, free_by_id: t.Mapping[TargetId, int], tried: t.Collection[TargetId]
) -> t.Optional[TargetId]:
    """Reference: the first usable target of a full ranking."""
    allowed = [region for region in (A, B) if router.shift_limiter.is_allowed(region, bool(tried))]
    policy = policy_for(router.policy_name)
    for candidate in policy.rank(router.candidate_by_id[name] for name in free_by_id):
        target_id = candidate.target_id
        if free_by_id[target_id] < 1 or target_id in tried or candidate.suspect:
            continue
        if candidate.region in allowed:
            return target_id
    return None


class RouterTest(unittest.TestCase):
    @parameterized.expand([(policy,) for policy in PolicyName])
    def test_same_as_a_full_ranking(self, policy: PolicyName) -> None:
        names = sorted(make_router(policy, 5).candidate_by_id)
        steps = st.tuples(
            st.lists(st.integers(0, 2), min_size=10, max_size=10),
            st.sets(st.sampled_from(names), max_size=2),
            st.sampled_from(names),
            st.floats(0.001, 0.2),
            st.booleans(),
        )

        @settings(max_examples=60, derandomize=True, deadline=None, database=None)
        @given(st.lists(steps, max_size=40))
        def check(script: t.Sequence[t.Any]) -> None:
            router = make_router(policy, 5)
            now = 0.0
            for free, tried, target_id, seconds, answered in script:
                now += REFRESH_S
                if answered:
                    router.health.record_answer(target_id, seconds, now)
                else:
                    router.health.record_failure(target_id, now)
                service = SERVICE_BY_POLICY[policy]
                router.refresh(service, service.weights, 0.5, now)
                free_by_id = dict(zip(names, free, strict=True))
                if not tried:
                    router.count_request()
                expected = naive_choice(router, free_by_id, tried)
                try:
                    found = router.choose(free_by_id, tried, now, probe=False).target_id
                except RefusedError as error:
                    found = None
                    self.assertGreater(error.retry_after, 0)
                self.assertEqual(found, expected)

        check()

    def test_tried_target_is_not_taken_again(self) -> None:
        router = make_router()
        router.count_request()
        free = {TargetId("a1"): 1, TargetId("b1"): 1}
        first = router.choose(free, (), 0.0)
        second = router.choose(free, (first.target_id,), 0.0)
        self.assertNotEqual(first.target_id, second.target_id)

    def test_refused_when_no_slot_is_free(self) -> None:
        router = make_router()
        router.count_request()
        with self.assertRaises(RefusedError) as caught:
            router.choose({TargetId("a1"): 0}, (), 0.0)
        self.assertGreater(caught.exception.retry_after, 0)

    def test_lost_region_is_shed_probed_and_found_again(self) -> None:
        router = make_router(count=3)
        service = SERVICE_BY_POLICY[PolicyName.LATENCY]
        free = dict.fromkeys(router.candidate_by_id, 6)
        now = 0.0
        asked_by_second: t.List[int] = []
        answered_by_second: t.List[int] = []
        for number in range(8000):
            now += 0.01
            if number % 100 == 0:
                asked_by_second.append(0)
                answered_by_second.append(0)
            router.refresh(service, service.weights, 0.5, now)
            router.count_request()
            try:
                candidate = router.choose(free, (), now)
            except RefusedError:
                router.count_refused()
                continue
            router.count_finished(candidate.target_id)
            if candidate.region == A and 200 <= number < 1200:
                asked_by_second[-1] += 1
                router.health.record_failure(candidate.target_id, now)
                continue
            answered_by_second[-1] += candidate.region == A
            router.health.record_answer(candidate.target_id, 0.01, now)
        self.assertGreater(answered_by_second[1], 40)
        self.assertLessEqual(max(asked_by_second[4:12]), 3, "a lost region is probed, not used")
        self.assertGreater(sum(asked_by_second[4:12]), 0)
        self.assertGreater(answered_by_second[-1], answered_by_second[14], "it comes back")

    @parameterized.expand([("one target", 1, 1), ("many targets", 30, 2)])
    def test_probes_of_a_lost_region_are_few(self, _: str, count: int, most: int) -> None:
        router = make_router(count=count)
        service = SERVICE_BY_POLICY[PolicyName.LATENCY]
        for number in range(40):
            router.health.record_failure(TargetId(f"a{number % count + 1}"), 0.0)
        now = 0.0
        while now < 3 * service.shift_window_s:
            now += REFRESH_S
            router.refresh(service, service.weights, 0.5, now)
        regions = []
        for _ in range(20):
            router.count_request()
            try:
                regions.append(
                    router.choose(dict.fromkeys(router.candidate_by_id, 6), (), now).region
                )
            except RefusedError:
                router.count_refused()
        self.assertGreater(regions.count(A), 0)
        self.assertLessEqual(regions.count(A), most)
