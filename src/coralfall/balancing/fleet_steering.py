"""Steering of an entry in a fleet: reserves a slot for each request, or queues it.

The services, with their bundles, limits, shares and health, are kept in
:mod:`.served_services`.
"""

import asyncio
import typing as t

from .. import defaults
from ..bundles.bundle import Service
from ..bundles.rollout import PartnerRollout
from ..exceptions import RefusedError, SlotLostError
from ..ids import BundleVersion, PartnerId, RegionId, ServiceId, TargetId
from .capacity import idle_connections
from .refusals import RefusalLog, RefusalReason
from .served_services import ServedService, ServedServices
from .slot import Slot
from .slots import SlotTable
from .steering import AttemptResult, Reservation, Steering
from .wait_queue import wait_for_turn

if t.TYPE_CHECKING:
    from ..cluster.roster import Roster
    from ..process.clock import Clock, PlatformClock

#: Length limit of a service's queue per slot in use, and the lowest limit.
_QUEUE_PER_SLOT = 2
_MIN_QUEUE = 4
#: Fraction of the time until its deadline that a request may wait for a slot.
_MAX_QUEUE_FRACTION = 0.25

#: Seconds after which the oldest waiting request looks for slots again if nothing wakes it.
_RECHECK_S = 0.01

#: Asks peers to lend slots of a service; arguments: service, number of slots, usable regions,
#: whether requests wait for them.
StartLoanRequest = t.Callable[[ServiceId, int, t.Sequence[RegionId], bool], None]


class LoanOutlook(t.Protocol):
    """Tells whether peers may lend slots soon; see :class:`.borrowing.Borrower`."""

    def is_pending(self, service: ServiceId) -> bool:
        """Returns whether an answer to a loan request of the service is awaited."""

    def has_idle_peer(self, service: ServiceId) -> bool:
        """Returns whether a peer that may be asked now has stated idle slots of the service."""


class _NoLoans:
    """Stands for the borrower of an entry that has none."""

    def is_pending(self, service: ServiceId) -> bool:
        return False

    def has_idle_peer(self, service: ServiceId) -> bool:
        return False


class FleetReservation(Reservation, frozen=True, kw_only=True, eq=False):
    """A reservation with the slot that it holds."""

    slot: Slot
    #: Whether it is the first of its request.
    is_first: bool = True


class FleetSteering(Steering):
    """Steering for an entry of a fleet.

    :param rollouts: rollout of bundles of each partner.
    :param roster: members of the fleet.
    :param slots: slots that this entry owns or has borrowed.
    :param clock: clocks of the VM.
    :param platform_clock: the platform's time, by which shifts and ramps progress.
    :param start_loan_request: called when a service has no free slot left.
    :param trace_slots: whether :meth:`describe` tells by which slot a request is sent.
    """

    def __init__(
        self,
        rollouts: t.Mapping[PartnerId, PartnerRollout],
        roster: "Roster",
        slots: SlotTable,
        clock: "Clock",
        platform_clock: "PlatformClock",
        start_loan_request: StartLoanRequest,
        trace_slots: bool = False,
    ) -> None:
        self._trace_slots = trace_slots
        self.loan_outlook: LoanOutlook = _NoLoans()
        self.refusal_log = RefusalLog(slots, clock)
        self._rollouts = rollouts
        self._roster = roster
        self._slots = slots
        self._clock = clock
        self._ask_loan = start_loan_request
        #: Services in force, as of the last refresh.
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
            # The credit of this request may be what a waiting request lacked.
            service_state.wait_queue.wake_first()
        began = self._clock.monotonic()
        try:
            return await self._reserve(service_state, service, rules, tried, deadline)
        except RefusedError as refusal:
            if not tried:
                service_state.router.count_refused()
            waited_s = self._clock.monotonic() - began
            refusal.fields["waited_ms"] = round(waited_s * 1000, 1)
            self.refusal_log.write(
                partner,
                service,
                refusal,
                waited_s,
                len(service_state.wait_queue),
                service_state.router.shift_limiter.allowed_regions(bool(tried)),
            )
            raise

    def check(self, reservation: Reservation) -> None:
        """See :meth:`Steering.check`.

        :raises SlotLostError: if another slot may be reserved in its place.
        """
        assert isinstance(reservation, FleetReservation)
        if not self.served.drains.allows(reservation.target_id):
            message = "the target is leaving"
            raise self._lose(reservation, message, RefusalReason.TARGET_LEAVING)
        if not self._slots.confirm(reservation.slot):
            message = "the slot passed to another entry before the request was sent"
            raise self._lose(reservation, message, RefusalReason.SLOT_LOST)

    def describe(self, reservation: Reservation) -> t.Optional[str]:
        if not self._trace_slots:
            return None
        assert isinstance(reservation, FleetReservation)
        return self._slots.describe(reservation.slot)

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
        now = self._clock.monotonic()
        if service_state is not None:
            health = service_state.router.health
            health.record_attempt(reservation.target_id, result, seconds, load, now)
        if result is AttemptResult.ANSWERED:
            self._slots.record_life(reservation.target_id, now - seconds)

    def has_target(self, reservation: Reservation) -> bool:
        return reservation.target_id in self.served.limits

    def release(self, reservation: Reservation) -> None:
        assert isinstance(reservation, FleetReservation)
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
        """Applies the current bundles, roster and time; see :meth:`ServedServices.refresh`."""
        self.served.refresh()

    def unproved_addresses(self) -> t.Dict[TargetId, str]:
        """Returns the addresses of targets for whose sign of life slots are withheld."""
        addresses = {}
        for target_id in {*self._slots.unproved_targets(), *self.served.doubted_targets()}:
            for bundle in self.served.bundle_by_partner.values():
                target = bundle.targets.get(target_id)
                if target is not None:
                    addresses[target_id] = target.address
        return addresses

    def record_life(self, target_id: TargetId, sent_at: float) -> None:
        """Records that a target answered what was sent to it at a monotonic time, or is gone."""
        self._slots.record_life(target_id, sent_at)
        self.wake_all_waiters()

    def wake_waiters(self, service: ServiceId) -> None:
        """Wakes requests that wait for a slot of ``service``.

        To be called when slots were borrowed or returned, and also when a loan request brought
        none, so that another owner is asked.
        """
        self.served.wake(service)

    def wake_all_waiters(self) -> None:
        """Wakes the waiting requests of all services, since slots may have become usable."""
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
                return self._try_reserve(service_state, service, tried)
            except RefusedError:
                if not service_state.router.shift_limiter.allowed_regions(bool(tried)):
                    raise
        if self._queue_is_full(service_state, service):
            raise service_state.router.busy_error(RefusalReason.QUEUE_FULL)
        return await self._wait_for_slot(service_state, service, rules, tried, deadline)

    async def _wait_for_slot(
        self,
        service_state: ServedService,
        service: ServiceId,
        rules: Service,
        tried: t.Collection[TargetId],
        deadline: float,
    ) -> FleetReservation:
        """Waits for a slot behind the requests that already wait.

        Waits for ``MAX_QUEUE_WAIT_S``, and longer only while peers may still lend slots.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        last_end = now + (deadline - self._clock.monotonic()) * _MAX_QUEUE_FRACTION
        usual_end = min(now + defaults.MAX_QUEUE_WAIT_S, last_end)
        waiter = service_state.wait_queue.join()
        self._request_slots(service_state, service, tried)
        try:
            while True:
                woken = await self._wait_for_turn(service_state, waiter, usual_end)
                waiter.clear()
                self._refresh_router(service_state, service, rules)
                if woken or service_state.wait_queue.is_first(waiter):
                    try:
                        return self._try_reserve(service_state, service, tried)
                    except RefusedError:
                        if not service_state.router.shift_limiter.allowed_regions(bool(tried)):
                            raise
                if woken and tried:
                    # A retry may use fewer targets than the request behind it.
                    service_state.wait_queue.wake_after(waiter)
                now = loop.time()
                if now < usual_end or self.loan_outlook.has_idle_peer(service):
                    self._request_slots(service_state, service, tried)
                is_reply_awaited = self.loan_outlook.is_pending(service)
                if now >= last_end or (now >= usual_end and not is_reply_awaited):
                    raise service_state.router.busy_error()
        finally:
            service_state.wait_queue.leave(waiter)

    async def _wait_for_turn(
        self, service_state: ServedService, waiter: asyncio.Event, usual_end: float
    ) -> bool:
        """Returns whether a waiting request was woken before its next look at the slots."""
        seconds = usual_end - asyncio.get_running_loop().time()
        if seconds <= 0 or service_state.wait_queue.is_first(waiter):
            # Peers that had nothing to lend may be asked again meanwhile.
            seconds = _RECHECK_S
        return await wait_for_turn(waiter, seconds)

    def _request_slots(
        self, service_state: ServedService, service: ServiceId, tried: t.Collection[TargetId]
    ) -> None:
        shift_limiter = service_state.router.shift_limiter
        regions = shift_limiter.allowed_regions(bool(tried))
        if not tried:
            regions += [
                region for region in shift_limiter.overdraft_regions() if region not in regions
            ]
        self._ask_loan(service, len(service_state.wait_queue), regions, True)

    def _lose(
        self, reservation: FleetReservation, message: str, reason: RefusalReason
    ) -> SlotLostError:
        """Returns the error for a lost slot, whose request counts as not sent from now on."""
        partner, service = reservation.partner, reservation.service
        service_state = self.served.service_by_key.get((partner, service))
        if service_state is not None:
            service_state.router.undo_request(reservation.region, reservation.is_first)
        error = SlotLostError(message, defaults.RETRY_AFTER_S, reason=reason.value)
        self.refusal_log.write(partner, service, error, 0.0, 0)
        return error

    def _queue_is_full(self, service_state: ServedService, service: ServiceId) -> bool:
        most = max(_MIN_QUEUE, _QUEUE_PER_SLOT * self._slots.in_use(service))
        return len(service_state.wait_queue) >= most

    def _try_reserve(
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
            # The lease expired after the slots were counted, because the process was paused.
            router.undo_choice(candidate)
            raise router.busy_error()
        self.served.drains.start(target_id)
        if len(free_by_id) == 1 and free_by_id[target_id] == 1:
            # This was the last free slot: borrow more before the next request has to wait.
            self._ask_loan(service, 1, (), False)
        spare = idle_connections(target, len(self._roster.by_id))
        return FleetReservation(
            partner=service_state.partner,
            service=service,
            target_id=target_id,
            region=target.region,
            address=target.address,
            connections=max(2, 2 * (self._slots.in_flight(target_id) + spare)),
            slot=slot,
            is_first=not tried,
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
