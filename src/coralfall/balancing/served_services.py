"""The services that an entry serves, as bundles, roster and time require at the moment.

From these it derives what all entries together may do with each target, which slots this entry
may use, how fast it may send into each region, where the requests of each service go, and which
targets are draining.
"""

import typing as t

from ..bundles.bundle import Bundle, Service
from ..bundles.rollout import PartnerRollout
from ..ids import PartnerId, ServiceId, TargetId, TargetState
from .drain import DrainTracker
from .health import ServiceHealth
from .limits import CapacityLimits
from .link_limiter import LinkLimiter, link_rates
from .routing import Router
from .shift import ShiftLimiter
from .shift_plan import Shares, planned_shares
from .wait_queue import WaitQueue

if t.TYPE_CHECKING:
    from ..cluster.roster import Roster
    from ..process.clock import Clock, PlatformClock
    from .limits import Limits
    from .slots import SlotTable

ServiceKey = t.Tuple[PartnerId, ServiceId]


class ServedService:
    """State for steering one service that is kept between requests.

    :param partner: partner that the service belongs to.
    :param router: chooses targets for the service.
    """

    def __init__(self, partner: PartnerId, router: Router) -> None:
        self.partner = partner
        self.router = router
        #: Requests that wait for a slot.
        self.wait_queue = WaitQueue()


class ServedServices:
    """The services in force of all partners.

    :param rollouts: rollout of bundles of each partner.
    :param roster: members of the fleet.
    :param slots: slots that this entry owns or has borrowed.
    :param clock: clocks of the VM.
    :param platform_clock: the platform's time, by which shifts and ramps progress.
    """

    def __init__(
        self,
        rollouts: t.Mapping[PartnerId, PartnerRollout],
        roster: "Roster",
        slots: "SlotTable",
        clock: "Clock",
        platform_clock: "PlatformClock",
    ) -> None:
        self._rollouts = rollouts
        self._roster = roster
        self._slots = slots
        self._clock = clock
        self._platform_clock = platform_clock
        self._limits = CapacityLimits(clock, slots.proved_at)
        #: The bundle in effect of each partner.
        self.bundle_by_partner: t.Dict[PartnerId, Bundle] = {}
        self.service_by_key: t.Dict[ServiceKey, ServedService] = {}
        self.drains = DrainTracker()
        self.link_limiter = LinkLimiter(clock)
        #: What all entries together may do with each target, as of the last refresh.
        self.limits: "Limits" = {}

    def service_ids(self) -> t.List[ServiceId]:
        """Returns all services in force, of all partners."""
        return [service for _, service in self.service_by_key]

    def routers(self) -> t.Dict[ServiceKey, Router]:
        """Returns the routers of all services, for status and metrics."""
        return {key: served.router for key, served in self.service_by_key.items()}

    def doubted_targets(self) -> t.Set[TargetId]:
        """Returns the targets for whose sign of life slots of others are withheld."""
        return self._limits.doubted_targets

    def wake(self, service: t.Optional[ServiceId] = None) -> None:
        """Wakes requests that wait for a slot.

        :param service: service whose requests to wake; by default those of all services.
        """
        for (_, service_id), served in self.service_by_key.items():
            if service is None or service_id == service:
                served.wait_queue.wake_first()

    def refresh(self) -> None:
        """Applies the current bundles, roster and time.

        Lost slots are removed before this returns. For gained ones, the caller continues with
        :meth:`coralfall.balancing.slots.SlotTable.update_steps`.
        """
        self._refresh_limits()
        for partner, rollout in self._rollouts.items():
            effective = rollout.effective()
            if effective is None:
                self.bundle_by_partner.pop(partner, None)
                continue
            if self.bundle_by_partner.get(partner) is not effective:
                self.bundle_by_partner[partner] = effective
                self._apply_bundle(partner, effective)
        self._mark_drains()

    def _refresh_limits(self) -> None:
        accepted: t.Dict[PartnerId, Bundle] = {}
        staged: t.Dict[PartnerId, Bundle] = {}
        accepted_at: t.Dict[PartnerId, float] = {}
        for partner, rollout in self._rollouts.items():
            bundle = rollout.accepted()
            if bundle is None:
                continue
            accepted[partner] = bundle
            accepted_at[partner] = rollout.head.accepted_at
            other = rollout.staged()
            if other is not None:
                staged[partner] = other
        now = self._platform_clock.now()
        self.limits = self._limits.update(accepted, staged, accepted_at, now)
        self._slots.update(self._roster, self.limits)
        held_by_region = self._slots.held_by_region()
        self.link_limiter.set_rates(link_rates([accepted, staged], self.limits, held_by_region))

    def planned_shares(self, partner: PartnerId, service_id: ServiceId, rules: Service) -> Shares:
        """Returns the shares of a service's regions that its bundle plans for this moment."""
        rollout = self._rollouts[partner]
        bundle = rollout.accepted()
        accepted = None if bundle is None else bundle.services.get(service_id)
        now = self._platform_clock.now()
        return planned_shares(rollout.head, service_id, accepted or rules, now)

    def _apply_bundle(self, partner: PartnerId, bundle: Bundle) -> None:
        now = self._clock.monotonic()
        for key in list(self.service_by_key):
            if key[0] == partner and key[1] not in bundle.services:
                self.service_by_key.pop(key).wait_queue.wake_first()
        for service_id, service in bundle.services.items():
            served = self.service_by_key.get((partner, service_id))
            if served is None:
                served = self._create_service(partner, service_id, service, now)
                self.service_by_key[partner, service_id] = served
            serving = {}
            for target_id, target in bundle.targets.items():
                if target.service == service_id and target.state is not TargetState.LEAVING:
                    serving[target_id] = target
            served.router.set_targets(serving, now)

    def _create_service(
        self, partner: PartnerId, service_id: ServiceId, service: Service, now: float
    ) -> ServedService:
        planned = self.planned_shares(partner, service_id, service)
        shift_limiter = ShiftLimiter(service_id, service, planned, now)
        health = ServiceHealth(service.ramp_s)
        return ServedService(partner, Router(service_id, service, shift_limiter, health, now))

    def _mark_drains(self) -> None:
        leaving: t.List[TargetId] = []
        present: t.Set[TargetId] = set()
        for bundle in self.bundle_by_partner.values():
            for target_id, target in bundle.targets.items():
                present.add(target_id)
                if target.state is TargetState.LEAVING:
                    leaving.append(target_id)
        self.drains.mark(leaving, present, self._clock.monotonic())
