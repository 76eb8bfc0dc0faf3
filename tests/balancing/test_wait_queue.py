"""Queue of the requests of one service that wait for a slot on an entry."""

import asyncio
import typing as t
from unittest import mock

from parameterized import parameterized

from coralfall.balancing.fleet_steering import FleetReservation, FleetSteering
from coralfall.balancing.refusals import RefusalReason
from coralfall.balancing.routing import Candidate
from coralfall.balancing.slots import SlotTable
from coralfall.balancing.steering import AttemptResult
from coralfall.bundles.bundle import Head, VersionRef
from coralfall.bundles.rollout import PartnerRollout
from coralfall.cluster.lease import Lease
from coralfall.cluster.roster import Roster
from coralfall.exceptions import RefusedError, SlotLostError
from coralfall.ids import BundleVersion, Digest, EntryId, RegionId, ServiceId
from coralfall.process.clock import ManualClock, PlatformClock
from coralfall.settings import LeaseSettings
from tests.bundle_makers import COSECHA, make_bundle, make_target
from tests.cluster.test_roster import put
from tests.virtual_loop import VirtualTimeTestCase

SERVICE = ServiceId("pedidos")
SLOTS = 2


class QueueTest(VirtualTimeTestCase):
    """One entry with one target, all of whose slots are in use."""

    async def asyncSetUp(self) -> None:
        self.clock = clock = ManualClock(100)
        self.lease = lease = Lease(LeaseSettings(), clock)
        lease.renewed(100)
        roster = Roster()
        roster.apply([put("a", 1)])
        slots = SlotTable(EntryId("a"), lease, clock, LeaseSettings())
        bundle = make_bundle("cosecha", {"sierra": 9}, {"t0": make_target("sierra", SLOTS)})
        rollout = PartnerRollout(COSECHA)
        ref = VersionRef(version=BundleVersion(1), digest=Digest("d"))
        rollout.learn_from_peer(Head(partner=COSECHA, accepted=ref, accepted_at=0.0))
        rollout.hold(ref, bundle)
        self.asked: t.List[int] = []
        self.steering = FleetSteering(
            {COSECHA: rollout}, roster, slots, clock, PlatformClock(clock), self._ask
        )
        self.steering.refresh()
        for _ in slots.update_steps():
            pass
        self.held = [await self._reserve() for _ in range(SLOTS)]
        self.served: t.List[int] = []

    def _ask(
        self, service: ServiceId, count: int, regions: t.Sequence[RegionId], waiting: bool
    ) -> None:
        self.asked.append(count)

    async def _reserve(self) -> FleetReservation:
        return await self.steering.reserve(COSECHA, SERVICE, tried=(), deadline=1e6, body_bytes=0)

    async def _serve(self, number: int) -> FleetReservation:
        held = await self._reserve()
        self.served.append(number)
        return held

    async def _wait(self, *numbers: int) -> t.List["asyncio.Task[FleetReservation]"]:
        tasks = [asyncio.create_task(self._serve(number)) for number in numbers]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return tasks

    def _finish(self, held: FleetReservation) -> None:
        self.steering.finish(held, AttemptResult.ANSWERED, 0.1, None)
        self.steering.release(held)

    async def test_oldest_first_and_newcomers_behind(self) -> None:
        tasks = await self._wait(1)
        # The task runs before the waiting request, which the slot is for, can take it.
        newcomer = asyncio.create_task(self._serve(2))
        self._finish(self.held[0])
        self._finish(await tasks[0])
        await newcomer
        self.assertEqual(self.served, [1, 2])

    async def test_one_that_gives_up_or_is_cancelled_holds_up_nobody(self) -> None:
        tasks = await self._wait(1, 2)
        self._finish(self.held[0])
        tasks[0].cancel()
        await tasks[1]
        self.assertEqual(self.served, [2])
        with self.assertRaises(RefusedError) as refused:
            await self._reserve()
        self.assertGreater(refused.exception.retry_after, 0.0)
        self.assertEqual(refused.exception.fields["reason"], RefusalReason.NO_SLOT.value)
        self.assertIn("waited_ms", refused.exception.fields)
        self._finish(self.held[1])
        await self._reserve()

    async def test_as_many_as_wait_are_asked_for_and_again_after_nothing_came(self) -> None:
        tasks = await self._wait(1, 2)
        self.asked.clear()
        self.steering.wake_waiters(SERVICE)
        await self._wait()
        self.assertEqual(self.asked, [2])
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @parameterized.expand([(result,) for result in AttemptResult])
    async def test_slot_is_held_until_the_target_has_ended_the_request(
        self, result: AttemptResult
    ) -> None:
        """Guards against a slot that is used again while its target still serves the request."""
        held = self.held[0]
        self.steering.finish(held, result, 0.1, None)
        self.clock.advance(60.0)
        self.lease.renewed(self.clock.monotonic())
        with self.assertRaises(RefusedError):
            await self._reserve()
        self.assertEqual(self.steering.served.drains.in_flight(held.target_id), 2)
        self.steering.release(held)
        self.assertEqual(self.steering.served.drains.in_flight(held.target_id), 1)
        await self._reserve()

    async def test_a_lost_slot_counts_as_not_sent(self) -> None:
        router = self.steering.served.routers()[COSECHA, SERVICE]
        self._finish(self.held[0])
        (credit,) = router.shift_limiter._credits()
        held = await self._reserve()
        self.clock.advance(LeaseSettings().ttl_s)
        with self.assertRaises(SlotLostError) as lost:
            self.steering.check(held)
        self.assertEqual(lost.exception.fields["reason"], RefusalReason.SLOT_LOST.value)
        self._finish(held)
        # The bound on credits may take a little of what the request added.
        self.assertAlmostEqual(router.shift_limiter._credits()[0], credit, delta=0.05)

    async def test_a_lease_that_lapses_between_choice_and_hold_is_no_error(self) -> None:
        """Guards against a failure if the process is paused between choice and reservation."""
        self._finish(self.held[0])
        router = self.steering.served.routers()[COSECHA, SERVICE]
        chosen = router.choose

        def choose_and_pause(*arguments: t.Any, **options: t.Any) -> Candidate:
            candidate = chosen(*arguments, **options)
            self.clock.advance(LeaseSettings().ttl_s + 1.0)
            return candidate

        in_flight = router.candidate_by_id[self.held[0].target_id].in_flight
        with mock.patch.object(router, "choose", choose_and_pause):
            tasks = await self._wait(1)
        self.assertFalse(tasks[0].done())
        self.assertEqual(router.candidate_by_id[self.held[0].target_id].in_flight, in_flight)
        self.assertEqual(self.steering.served.drains.in_flight(self.held[0].target_id), 1)
        self.lease.renewed(self.clock.monotonic())
        self.steering.wake_all_waiters()
        await tasks[0]
        self.assertEqual(self.served, [1])

    async def test_bounded(self) -> None:
        tasks = await self._wait(*range(20))
        refused = [task for task in tasks if task.done()]
        self.assertEqual(len(refused), 20 - 2 * SLOTS)
        for task in refused:
            self.assertIsInstance(task.exception(), RefusedError)
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual(self.served, [])
