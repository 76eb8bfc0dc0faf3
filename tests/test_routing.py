"""Routing: policies, and the router on top of governor and health."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall.bundle import Target
from coralfall.exceptions import RefusedError
from coralfall.health import ServiceHealth
from coralfall.ids import PolicyName, RegionId, ServiceId, TargetId, ZoneId
from coralfall.routing import Candidate, Router, policy_for
from coralfall.shift import ShiftGovernor

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


class RouterTest(unittest.TestCase):
    def make_router(self) -> Router:
        service = make_service({A: 0.5, B: 0.5})
        health = ServiceHealth(ramp_s=30.0)
        governor = ShiftGovernor(CATALOGO, service, service.weights, 0.0)
        router = Router(ServiceId("catalogo"), service, governor, health, 0.0)
        router.set_targets({TargetId("a1"): make_target(A), TargetId("b1"): make_target(B)}, 0.0)
        return router

    def test_tried_target_is_not_taken_again(self) -> None:
        router = self.make_router()
        router.offer()
        free = {TargetId("a1"): 1, TargetId("b1"): 1}
        first = router.choose(free, (), 0.0)
        second = router.choose(free, (first.target_id,), 0.0)
        self.assertNotEqual(first.target_id, second.target_id)

    def test_refused_when_no_slot_is_free(self) -> None:
        router = self.make_router()
        router.offer()
        with self.assertRaises(RefusedError) as caught:
            router.choose({TargetId("a1"): 0}, (), 0.0)
        self.assertGreater(caught.exception.retry_after, 0)
