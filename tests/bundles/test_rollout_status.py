"""Tests of :mod:`coralfall.bundles.rollout_status`: what is in force, and which entry lags."""

import typing as t
import unittest
from unittest import mock

import msgspec
from parameterized import parameterized

from coralfall.bundles import line, rollout_status, submission
from coralfall.bundles.rollout_status import read_status, wait_in_force
from coralfall.cluster.rows import LeaseRow, Member, head_key, lease_key, roster_key
from coralfall.exceptions import PlatformError, SubmitError
from coralfall.ids import BundleVersion, Digest, EntryId, Incarnation
from coralfall.process.clock import ManualClock
from coralfall.stores.memory_platform import FaultMode, Faults, MemoryPlatform, ServiceFault
from coralfall.stores.store import Write
from tests.checks import refused
from tests.members import make_member
from tests.operators import COSECHA, TRUST, make_bundle, sign_bundle


def make_lease(name: str, in_force: int, staged: int, incarnation: int = 1) -> LeaseRow:
    return LeaseRow(
        entry_id=EntryId(name),
        incarnation=Incarnation(incarnation),
        renewals=1,
        in_force={COSECHA: BundleVersion(in_force)},
        staged={COSECHA: BundleVersion(staged)},
    )


class StatusTest(unittest.IsolatedAsyncioTestCase):
    """Two entries, version 1 in force, version 2 staged."""

    async def asyncSetUp(self) -> None:
        self.memory = MemoryPlatform(ManualClock(100.0))
        self.platform = self.memory.platform
        for version in (1, 2):
            await self.submit(version)
            if version == 1:
                await self.accept()
        await self.write(make_member("e1"), make_lease("e1", 1, 2))
        await self.write(make_member("e2"), make_lease("e2", 1, 2))

    async def submit(self, version: int, replaces: t.Optional[Digest] = None) -> None:
        signed = sign_bundle(make_bundle(version))
        self.head = await submission.submit(
            self.platform, signed, TRUST, f"s{version}", None, replaces
        )

    async def accept(self) -> None:
        row = await line.read_head(self.platform, COSECHA)
        await line.accept(self.platform, row.head, row.revision, {}, 101.0)

    async def serve(self, version: int, *names: str) -> None:
        """Both entries, or those named, say that they serve under ``version``."""
        for name in names or ("e1", "e2"):
            await self.write(make_member(name), make_lease(name, version, version))

    async def write(self, member: Member, lease: t.Optional[LeaseRow]) -> None:
        value = None if lease is None else msgspec.msgpack.encode(lease)
        await self.platform.table.transact(
            [
                Write(roster_key(member.entry_id), msgspec.msgpack.encode(member)),
                Write(lease_key(member.entry_id), value),
            ]
        )

    async def test_says_what_is_in_force_and_who_signed_it(self) -> None:
        status = (await read_status(self.platform)).partner(COSECHA)
        self.assertEqual(
            (1, "ana", "bea", 101.0),
            (
                status.in_force.version,
                status.in_force.author,
                status.in_force.approver,
                status.in_force.accepted_at,
            ),
        )
        self.assertEqual((2, None), (status.staged.version, status.staged.accepted_at))
        self.assertEqual((), status.lagging)

    @parameterized.expand(
        [
            ("all there", make_lease("e2", 1, 2), False),
            ("not staged", make_lease("e2", 1, 1), True),
            ("not in force", make_lease("e2", 0, 2), True),
            ("ahead", make_lease("e2", 2, 2), False),
            ("no lease row", None, True),
            ("of an earlier process", make_lease("e2", 1, 2, incarnation=0), True),
        ]
    )
    async def test_lagging(self, _name: str, lease: t.Optional[LeaseRow], lags: bool) -> None:
        await self.write(make_member("e2"), lease)
        status = (await read_status(self.platform)).partner(COSECHA)
        self.assertEqual(["vm-e2"] if lags else [], [lag.vm_id for lag in status.lagging])

    async def test_a_row_that_cannot_be_read_is_named(self) -> None:
        await self.platform.table.transact([Write(head_key(COSECHA), b"?")])
        with self.assertRaisesRegex(PlatformError, "head/cosecha"):
            await read_status(self.platform)

    async def wait(self, act: t.Callable[[int], t.Awaitable[None]]) -> rollout_status.PartnerStatus:
        """Wait for version 2; ``act`` is called before each look with its number."""
        clock = ManualClock()
        looks = 0

        async def sleep(seconds: float) -> None:
            nonlocal looks
            looks += 1
            clock.advance(seconds)
            await act(looks)

        self.seen: t.List[rollout_status.PartnerStatus] = []
        with mock.patch("asyncio.sleep", sleep):
            return await wait_in_force(
                self.platform, COSECHA, BundleVersion(2), 10.0, clock, self.seen.append
            )

    async def test_waits_until_every_entry_serves_under_it(self) -> None:
        async def act(look: int) -> None:
            if look == 1:
                self.memory.set_faults(Faults(table=ServiceFault(mode=FaultMode.DOWN)))
            if look == 2:
                self.memory.set_faults(Faults())
                await self.accept()
            if look == 3:
                await self.serve(2, "e1")
            if look == 4:
                await self.serve(2, "e2")

        status = await self.wait(act)
        self.assertEqual((2, ()), (status.in_force.version, status.lagging))
        lagging = [[lag.entry_id for lag in status.lagging] for status in self.seen]
        self.assertEqual([[], ["e1", "e2"], ["e2"], []], lagging)

    async def test_a_newer_staged_version_is_not_waited_for(self) -> None:
        async def act(look: int) -> None:
            if look == 1:
                await self.accept()
                await self.submit(3)
                await self.serve(2)

        status = await self.wait(act)
        self.assertEqual((2, 3), (status.in_force.version, status.staged.version))

    async def test_a_newer_version_in_force_counts(self) -> None:
        async def act(look: int) -> None:
            if look == 1:
                await self.accept()
                await self.submit(3)
                await self.accept()
                await self.serve(3)

        self.assertEqual(3, (await self.wait(act)).in_force.version)

    async def test_names_who_lags_when_time_is_up(self) -> None:
        async def act(look: int) -> None:
            if look == 1:
                await self.accept()
                await self.serve(2, "e1")

        with refused(SubmitError, "not-in-force") as caught:
            await self.wait(act)
        self.assertEqual(["vm-e2"], [lag["vm_id"] for lag in caught.exception.fields["lagging"]])

    @parameterized.expand([("staged", False), ("in force", True)])
    async def test_says_who_replaced_it(self, _name: str, in_force: bool) -> None:
        async def act(look: int) -> None:
            await self.submit(3, self.head.staged.digest)
            if in_force:
                await self.accept()

        with refused(SubmitError, "replaced"):
            await self.wait(act)


if __name__ == "__main__":
    unittest.main()
