"""Steering by what the whole fleet knows: a slot for each request, and a queue for those without.

What the fleet knows (bundles, roster, slots, shares and health together) is in :mod:`.served`.
"""

import asyncio
import typing as t

from .. import defaults
from ..bundles.bundle import Service
from ..bundles.rollout import PartnerRollout
from ..exceptions import RefusedError
from ..ids import BundleVersion, PartnerId, RegionId, ServiceId, TargetId
from .capacity import idle_connections
from .served_services import ServedService, ServedServices
from .slot import Slot
from .slots import SlotTable
from .steering import AttemptResult, Reservation, Steering
from .wait_queue import wait_for_turn

if t.TYPE_CHECKING:
    from ..cluster.roster import Roster
    from ..process.clock import Clock, PlatformClock

#: Requests of one service that may wait for a slot at a time, for each slot held.
_QUEUE_PER_SLOT = 2
_MIN_QUEUE = 4
#: Part of the time until its deadline that a request may wait for a slot.
_MAX_QUEUE_PART = 0.25

#: Results of attempts that the target may be running for a moment longer.
_MAY_STILL_RUN = frozenset((AttemptResult.CANCELLED, AttemptResult.FAILED))

#: Asks peers for slots of a service: how many, and in which regions they are of use.
StartLoanRequest = t.Callable[[ServiceId, int, t.Sequence[RegionId]], None]


class FleetReservation(Reservation, frozen=True, kw_only=True, eq=False):
    """A reservation with the slot it holds."""

    slot: Slot


class FleetSteering(Steering):
    """The steering of an entry.

    :param rollouts: the partners' lines, by partner.
    :param roster: the roster.
    :param slots: the slots that this entry may use.
    :param clock: the VM's clocks.
    :param platform_clock: the platform's time, in which shifts and ramps are reckoned.
    :param start_loan_request: called when a service has no free slot left.
    """

    def __init__(
        self,
        rollouts: t.Mapping[PartnerId, PartnerRollout],
        roster: "Roster",
        slots: SlotTable,
        clock: "Clock",
        platform_clock: "PlatformClock",
        start_loan_request: StartLoanRequest,
    ) -> None:
        self._rollouts = rollouts
        self._roster = roster
        self._slots = slots
        self._clock = clock
        self._ask_loan = start_loan_request
        #: The services that are served, as of the last refresh.
        self.served = ServedServices(rollouts, roster, slots, clock, platform_clock)

    async def reserve(
        self,
        partner: PartnerId,
        service: ServiceId,
        *,
        tried: t.Collection[TargetId],
        deadline: float,
        body_bytes: int,
    ) -> FleetReservation:
        rules = self.service(partner, service)
        service_state = self.served.service_by_key.get((partner, service))
        if rules is None or service_state is None:
            raise RefusedError("the service is not in force here", defaults.RETRY_AFTER_S)
        if not tried:
            service_state.router.count_request()
            # The offer may be what a waiting request lacked.
            service_state.wait_queue.wake_first()
        try:
            return await self._reserve(service_state, service, rules, tried, deadline)
        except RefusedError:
            if not tried:
                service_state.router.count_refused()
            raise

    def check(self, reservation: Reservation) -> None:
        assert isinstance(reservation, FleetReservation)
        if not self.served.drains.allows(reservation.target_id):
            raise RefusedError("the target is leaving", defaults.RETRY_AFTER_S)
        if not self._slots.confirm(reservation.slot):
            raise RefusedError(
                "the slot passed to another entry before the request was sent",
                defaults.RETRY_AFTER_S,
            )

    def pace(self, reservation: Reservation, size: int) -> float:
        return self.served.link_limiter.reserve(reservation.region, size)

    def finish(
        self,
        reservation: Reservation,
        result: AttemptResult,
        seconds: float,
        load: t.Optional[str],
    ) -> None:
        assert isinstance(reservation, FleetReservation)
        service_state = self.served.service_by_key.get((reservation.partner, reservation.service))
        if service_state is not None:
            now = self._clock.monotonic()
            health = service_state.router.health
            health.record_attempt(reservation.target_id, result, seconds, load, now)
        if result in _MAY_STILL_RUN:
            # The target learns of a closed connection or a passed deadline after this entry.
            loop = asyncio.get_running_loop()
            loop.call_later(defaults.SLOT_CANCEL_COOLDOWN_S, self._free, reservation)
            return
        self._free(reservation)

    def _free(self, reservation: FleetReservation) -> None:
        self._slots.release(reservation.slot)
        self.served.drains.finish(reservation.target_id, self._clock.monotonic())
        service_state = self.served.service_by_key.get((reservation.partner, reservation.service))
        if service_state is not None:
            service_state.router.count_finished(reservation.target_id)
            service_state.wait_queue.wake_first()

    def service(self, partner: PartnerId, service: ServiceId) -> t.Optional[Service]:
        if partner not in self._rollouts:
            return None
        bundle = self.served.bundle_by_partner.get(partner)
        if bundle is None:
            message = f"no bundle of {partner} is in force here yet"
            raise RefusedError(message, defaults.RETRY_AFTER_S)
        return bundle.services.get(service)

    def version(self, partner: PartnerId) -> BundleVersion:
        rollout = self._rollouts.get(partner)
        return BundleVersion(0) if rollout is None else rollout.in_force_version()

    def refresh(self) -> None:
        """Take in bundles, roster and time as they are now; see :meth:`ServedServices.refresh`."""
        self.served.refresh()

    def wake_waiters(self, service: ServiceId) -> None:
        """Let requests that wait for a slot of ``service`` look.

        To be called when slots were borrowed or given back, and also when a request for a loan
        brought none, so that another owner is asked.
        """
        self.served.wake(service)

    def wake_all_waiters(self) -> None:
        """Let all waiting requests look again, after slots may have become usable."""
        self.served.wake()

    async def _reserve(
        self,
        service_state: ServedService,
        service: ServiceId,
        rules: Service,
        tried: t.Collection[TargetId],
        deadline: float,
    ) -> FleetReservation:
        self._refresh_router(service_state, service, rules)
        if not service_state.wait_queue:
            try:
                return self._take(service_state, service, tried)
            except RefusedError:
                if not service_state.router.shift_limiter.allowed_regions(bool(tried)):
                    raise
        if self._queue_is_full(service_state, service):
            raise service_state.router.busy_error()
        now = self._clock.monotonic()
        seconds = min(defaults.MAX_QUEUE_WAIT_S, (deadline - now) * _MAX_QUEUE_PART)
        return await self._queue(service_state, service, rules, tried, now + seconds)

    async def _queue(
        self,
        service_state: ServedService,
        service: ServiceId,
        rules: Service,
        tried: t.Collection[TargetId],
        give_up_at: float,
    ) -> FleetReservation:
        """Wait for a slot behind the requests that wait already."""
        waiter = service_state.wait_queue.join()
        self._ask_for(service_state, service, tried)
        try:
            while await wait_for_turn(waiter, give_up_at - self._clock.monotonic()):
                waiter.clear()
                self._refresh_router(service_state, service, rules)
                try:
                    return self._take(service_state, service, tried)
                except RefusedError:
                    if not service_state.router.shift_limiter.allowed_regions(bool(tried)):
                        raise
                if tried:
                    # It may go to fewer places than the one behind it.
                    service_state.wait_queue.wake_after(waiter)
                self._ask_for(service_state, service, tried)
            raise service_state.router.busy_error()
        finally:
            service_state.wait_queue.leave(waiter)

    def _ask_for(
        self, service_state: ServedService, service: ServiceId, tried: t.Collection[TargetId]
    ) -> None:
        shift_limiter = service_state.router.shift_limiter
        regions = shift_limiter.allowed_regions(bool(tried))
        if not tried:
            regions += [
                region for region in shift_limiter.overdraft_regions() if region not in regions
            ]
        self._ask_loan(service, len(service_state.wait_queue), regions)

    def _queue_is_full(self, service_state: ServedService, service: ServiceId) -> bool:
        most = max(_MIN_QUEUE, _QUEUE_PER_SLOT * self._slots.in_use(service))
        return len(service_state.wait_queue) >= most

    def _take(
        self, service_state: ServedService, service: ServiceId, tried: t.Collection[TargetId]
    ) -> FleetReservation:
        now = self._clock.monotonic()
        router = service_state.router
        free_by_id = self._slots.free_by_target(service)
        candidate = router.choose(free_by_id, tried, now)
        target_id = candidate.target_id
        target = self.served.bundle_by_partner[service_state.partner].targets[target_id]
        slot = self._slots.acquire(target_id)
        if slot is None:
            # The lease lapsed since the slots were counted: the process was paused in between.
            router.undo_choice(candidate)
            raise router.busy_error()
        self.served.drains.start(target_id)
        if len(free_by_id) == 1 and free_by_id[target_id] == 1:
            # The last free slot is gone: ask before the next request has to wait.
            self._ask_loan(service, 1, ())
        spare = idle_connections(target, len(self._roster.by_id))
        return FleetReservation(
            partner=service_state.partner,
            service=service,
            target_id=target_id,
            region=target.region,
            address=target.address,
            connections=max(2, 2 * (self._slots.in_flight(target_id) + spare)),
            slot=slot,
        )

    def _refresh_router(
        self, service_state: ServedService, service: ServiceId, rules: Service
    ) -> None:
        now = self._clock.monotonic()
        if not service_state.router.is_refresh_due(now):
            return
        planned = self.served.planned_shares(service_state.partner, service, rules)
        in_use = self._slots.in_use(service)
        free = sum(self._slots.free_by_target(service).values())
        prior = in_use / (in_use + free) if in_use else 0.0
        service_state.router.refresh(rules, planned, prior, now)
