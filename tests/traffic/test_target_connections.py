"""Tests of the choice between own connections and other entries."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall.exceptions import TargetNotRunError, TargetUnknownError
from coralfall.ids import EntryId, TargetId
from coralfall.placement.reachability import Path, Witness
from coralfall.traffic.target_connections import NO_PATH
from tests.traffic.makers import NORTE, PEDIDOS
from tests.traffic.test_forwarder import ForwarderHarness
from tests.traffic.transit_fleet import cut_fleet

WITNESS = Witness(EntryId("c0"), frozenset())


class TargetConnectionsTest(unittest.IsolatedAsyncioTestCase):
    @parameterized.expand(
        [
            ("own connection", "connect", True, False, True),
            ("own connection while cut off", "connect", True, True, False),
            ("the carrying entry's connection", "connect", False, True, True),
            ("on the way", NO_PATH, False, True, False),
        ]
    )
    def test_failures_that_are_evidence_about_the_target(
        self, _name: str, reason: str, is_direct: bool, cut_off: bool, is_evidence: bool
    ) -> None:
        harness = ForwarderHarness(["127.0.0.1:1"])
        if cut_off:
            harness.transit.reachability.conclude_cut_off(PEDIDOS, WITNESS)
        state = harness.targets.by_id[TargetId("t0")]
        error = TargetUnknownError("failed", reason=reason)
        found = harness.transit.connections.is_evidence(state, error, is_direct)
        self.assertEqual(is_evidence, found)

    async def test_a_request_whose_connect_showed_the_cut_goes_through_another_entry(self) -> None:
        async with cut_fleet() as fleet:
            reachability, checks = fleet.first.transit.reachability, fleet.first.transit.checks
            reachability._contact_of(PEDIDOS).path = Path.DIRECT

            async def fail(*_arguments: t.Any) -> t.Any:
                raise TargetNotRunError("lost", reason="connect", refused=True)

            async def settle(*_arguments: t.Any) -> None:
                reachability.conclude_cut_off(PEDIDOS, WITNESS)

            fleet.first.pool.acquire = fail  # type: ignore[method-assign]
            checks.settle = settle  # type: ignore[method-assign]
            request = fleet.first.request("unsafe")
            self.assertEqual(200, (await fleet.first.forward(request)).status)
            self.assertEqual(1, len(request.attempts))
            self.assertTrue(all(one.is_usable() for one in fleet.first.targets.by_id.values()))

    async def test_an_evacuation_known_to_the_first_entry_binds(self) -> None:
        async with cut_fleet() as fleet:
            fleet.first.targets.evacuate(frozenset((NORTE,)))
            reply = await fleet.first.forward(fleet.first.request("unsafe"))
            self.assertEqual((503, 0), (reply.status, fleet.arrivals()))
