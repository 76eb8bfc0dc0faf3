"""Usage: how many requests of an entry hold slots, and how many slots they wanted at once."""

import typing as t

from ..ids import ServiceId, TargetId
from .demand import PeakDemand
from .slot import Slot

#: Seconds for which the peak of a service's demand is remembered.
DEMAND_WINDOW_S = 2.0


class SlotUsage:
    """Requests that hold slots, by target and by service."""

    def __init__(self) -> None:
        self._in_flight_by_target: t.Dict[TargetId, int] = {}
        self._in_flight_by_service: t.Dict[ServiceId, int] = {}
        self._demand_by_service: t.Dict[ServiceId, PeakDemand] = {}

    def begin(self, slot: Slot) -> None:
        """Note that a request holds a slot."""
        targets = self._in_flight_by_target
        services = self._in_flight_by_service
        targets[slot.target_id] = targets.get(slot.target_id, 0) + 1
        services[slot.service] = services.get(slot.service, 0) + 1

    def end(self, slot: Slot) -> None:
        """Note that a request has given its slot back."""
        self._in_flight_by_target[slot.target_id] -= 1
        self._in_flight_by_service[slot.service] -= 1
        if not self._in_flight_by_target[slot.target_id]:
            del self._in_flight_by_target[slot.target_id]

    def in_flight(self, target_id: TargetId) -> int:
        """Requests that hold a slot of the target."""
        return self._in_flight_by_target.get(target_id, 0)

    def in_use(self, service: ServiceId) -> int:
        """Requests that hold a slot of the service."""
        return self._in_flight_by_service.get(service, 0)

    def record_demand(self, service: ServiceId, now: float) -> None:
        """Note that one more request wants a slot of the service."""
        peak = self._demand_by_service.get(service)
        if peak is None:
            peak = self._demand_by_service[service] = PeakDemand(DEMAND_WINDOW_S)
        peak.record(self.in_use(service) + 1, now)

    def demand(self, service: ServiceId, now: float) -> int:
        """Most slots of the service that were wanted at once in the last seconds."""
        peak = self._demand_by_service.get(service)
        return 0 if peak is None else peak.peak(now)
