"""The status of an entry: allowances, roster, lease, versions, drains, and peers that lag."""

import random
import typing as t
import unittest
from unittest import mock

import msgspec
from parameterized import parameterized

from coralfall.balancing.steering import AttemptResult
from coralfall.bundles.bundle import Head, VersionRef
from coralfall.cluster.entry import Entry
from coralfall.cluster.gauges import Gauges
from coralfall.ids import (
    BundleVersion,
    EntryId,
    Outcome,
    RegionId,
    Revision,
    ServiceId,
    SiteId,
    TargetId,
    TargetState,
    VmId,
    ZoneId,
)
from coralfall.peering.fleetkey import new_fleet_key
from coralfall.peering.messages import Heartbeat
from coralfall.process.clock import ManualClock
from coralfall.process.metrics import Metrics
from coralfall.reporting.status import EntryStatus, HeardStatus, RegionStatus, TargetStatus
from coralfall.settings import EntrySettings, PartnerSettings, PeerSettings, PlatformSettings
from coralfall.stores.memory_platform import MemoryPlatform
from tests.checks import make_folder
from tests.members import make_member
from tests.operators import COSECHA, COSECHA_KEYS, SIERRA, make_bundle

CATALOGO = ServiceId("catalogo")
TARGET = TargetId("catalogo-01")


class EntryCase(unittest.IsolatedAsyncioTestCase):
    """One entry that is not started, alone in its roster, with version 3 in force."""

    async def asyncSetUp(self) -> None:
        key_file = make_folder(self) / "fleet.key"
        new_fleet_key(key_file)
        address = "127.0.0.1:0"
        settings = EntrySettings(
            entry_id=EntryId("e1"),
            vm_id=VmId("vm-e1"),
            region=RegionId("sierra"),
            zone=ZoneId("sierra-1"),
            site=SiteId("sierra-1"),
            caller_address=address,
            peer_address=address,
            operator_address=address,
            platform=PlatformSettings(url="http://127.0.0.1"),
            partners={COSECHA: PartnerSettings(keys=COSECHA_KEYS)},
            peers=PeerSettings(fleet_key_file=str(key_file)),
        )
        self.clock = ManualClock(1000.0)
        platform = MemoryPlatform(self.clock).platform
        self.entry = Entry(settings, platform, self.clock, random.Random(1))
        self.addAsyncCleanup(self.entry.upstream.close)
        self.entry.node.lease.begin()
        self.entry.node.lease.renewed(self.clock.monotonic())
        self.entry.node.roster.replace([self.own_member()], Revision(5))
        self.put_in_force(3)

    def own_member(self) -> t.Any:
        incarnation = self.entry.status().incarnation
        return make_member("e1", incarnation)

    def put_in_force(self, version: int, state: TargetState = TargetState.ACTIVE) -> None:
        target = msgspec.structs.replace(make_bundle().targets[TARGET], state=state)
        bundle = make_bundle(version, targets={TARGET: target})
        ref = VersionRef(BundleVersion(version), f"digest-{version}")
        rollout = self.entry.node.rollouts[COSECHA]
        rollout.learn_from_table(Head(partner=COSECHA, accepted=ref), Revision(version))
        rollout.hold(ref, bundle)
        self.entry.node.steering.refresh()
        for _ in self.entry.node.slots.update_steps():
            pass

    def status(self) -> EntryStatus:
        """The status as an operator reads it."""
        return msgspec.json.decode(msgspec.json.encode(self.entry.status()), type=EntryStatus)

    async def reserve(self) -> t.Any:
        deadline = self.clock.monotonic() + 1
        return await self.entry.node.steering.reserve(
            COSECHA, CATALOGO, tried=(), deadline=deadline, body_bytes=0
        )


class StatusTest(EntryCase):
    async def test_allowances(self) -> None:
        await self.reserve()
        await self.reserve()
        status = self.status()
        expected = TargetStatus(
            target_id=TARGET,
            partner=COSECHA,
            service=CATALOGO,
            region=SIERRA,
            state=TargetState.ACTIVE,
            usable=6,
            owned=6,
            in_flight=2,
            suspect=False,
        )
        self.assertEqual((expected,), status.targets)
        region = RegionStatus(region=SIERRA, usable=6, held=6, in_flight=2)
        self.assertEqual((region,), status.regions)

    async def test_a_target_that_fails_is_suspect(self) -> None:
        for _ in range(3):
            reservation = await self.reserve()
            self.entry.node.steering.finish(reservation, AttemptResult.FAILED, 0.1, None)
            self.entry.node.steering.release(reservation)
        self.assertTrue(self.status().targets[0].suspect)

    async def test_a_drain_from_mark_to_idle(self) -> None:
        reservation = await self.reserve()
        self.put_in_force(4, TargetState.LEAVING)
        self.clock.advance(2.0)
        (drain,) = self.status().drains
        self.assertEqual((1, 2.0, None), (drain.in_flight, drain.age_s, drain.drained_s))
        self.assertEqual(TargetState.LEAVING, self.status().targets[0].state)
        self.entry.node.steering.finish(reservation, AttemptResult.ANSWERED, 0.1, None)
        self.entry.node.steering.release(reservation)
        self.clock.advance(5.0)
        (drain,) = self.status().drains
        self.assertEqual((0, 7.0, 2.0), (drain.in_flight, drain.age_s, drain.drained_s))

    @parameterized.expand([("held", 1.0, "held", 5.0), ("lapsed", 7.0, "lapsed", 0.0)])
    def test_lease(self, _name: str, passed: float, state: str, remaining_s: float) -> None:
        self.clock.advance(passed)
        status = self.status()
        self.assertEqual((state, remaining_s), (status.lease, status.lease_remaining_s))

    def test_versions_and_service_levels(self) -> None:
        rules = make_bundle().services[CATALOGO]
        self.entry.levels.ended(COSECHA, CATALOGO, rules, Outcome.UNKNOWN, False, 0.5)
        status = self.status()
        versions = status.versions[COSECHA]
        self.assertEqual((3, 3, 3), (versions.in_force, versions.staged, versions.accepted))
        self.assertEqual(1, status.burns[COSECHA][CATALOGO].counts_by_window["6h"].bad)
        self.assertEqual(1, status.outcomes["unknown"])

    @parameterized.expand(
        [
            ("as far as we are", 6, 3, False),
            ("ahead", 7, 4, False),
            ("an older roster", 5, 3, True),
            ("an older version", 6, 2, True),
        ]
    )
    def test_a_peer_that_lags(self, _name: str, revision: int, version: int, behind: bool) -> None:
        members = [self.own_member(), make_member("e2"), make_member("e3")]
        self.entry.node.roster.replace(members, Revision(6))
        heartbeat = Heartbeat(
            roster_revision=Revision(revision),
            accepted={COSECHA: BundleVersion(version)},
            staged={},
            platform_age_s=12.0,
            platform_now=0.0,
        )
        self.entry.directory.hear(EntryId("e2"), heartbeat)
        self.clock.advance(1.5)
        heard_by_id = {member.entry_id: member.heard for member in self.status().members}
        expected = HeardStatus(
            age_s=1.5,
            roster_revision=Revision(revision),
            accepted={COSECHA: BundleVersion(version)},
            platform_age_s=12.0,
            behind=behind,
        )
        self.assertEqual({"e1": None, "e2": expected, "e3": None}, heard_by_id)


class GaugesTest(EntryCase):
    async def test_all_gauges(self) -> None:
        metrics = mock.Mock(spec=Metrics)
        gauges = Gauges(metrics, self.entry.node, self.entry.upstream)
        await self.reserve()
        self.clock.advance(2.0)
        await gauges.set_all()
        value_by_name = {call.args[0]: call.args[1] for call in metrics.gauge.call_args_list}
        self.assertGreater(value_by_name.pop("memory.resident_bytes"), 1e6)
        expected = {
            "lease.state": 2,
            "lease.remaining_seconds": 4.0,
            "roster.size": 1,
            "bundle.cosecha.in_force": 3,
            "slots.sierra.held": 6,
            "slots.cosecha.catalogo.in_flight": 1,
            "slots.cosecha.catalogo.unproved": 0,
            "slots.given_up": 0,
            "drains.open": 0,
        }
        self.assertEqual(expected, value_by_name)


if __name__ == "__main__":
    unittest.main()
