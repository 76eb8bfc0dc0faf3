"""Gauges of an entry: what its metrics show of slots, lease, roster, platform and memory."""

import typing as t

from .ids import PartnerId
from .lease import LeaseState
from .status_builder import resident_bytes

if t.TYPE_CHECKING:
    from .fleet import FleetSteering
    from .lease import Lease
    from .membership import Membership
    from .metrics import Metrics
    from .rollout import PartnerRollout
    from .roster import Roster
    from .slots import SlotTable

#: Seconds between two settings of all gauges.
GAUGES_S = 10.0
#: Value of ``lease.state``; an alarm asks for anything below 2.
VALUE_BY_LEASE_STATE = {LeaseState.LAPSED: 0, LeaseState.FROZEN: 1, LeaseState.HELD: 2}


class Gauges:
    """Sets all gauges at once; :meth:`set_all` is for a periodic child."""

    def __init__(
        self,
        metrics: "Metrics",
        membership: "Membership",
        lease: "Lease",
        roster: "Roster",
        rollouts: "t.Mapping[PartnerId, PartnerRollout]",
        slots: "SlotTable",
        steering: "FleetSteering",
    ) -> None:
        self._metrics = metrics
        self._membership = membership
        self._lease = lease
        self._roster = roster
        self._rollouts = rollouts
        self._slots = slots
        self._steering = steering

    async def set_all(self) -> None:
        """Set each gauge to its value now."""
        gauge = self._metrics.gauge
        gauge("lease.state", VALUE_BY_LEASE_STATE[self._lease.state()])
        gauge("lease.remaining_seconds", self._lease.remaining_s())
        gauge("roster.size", len(self._roster.by_id))
        gauge("memory.resident_bytes", resident_bytes())
        platform_age_s = self._membership.platform_age()
        if platform_age_s != float("inf"):
            gauge("platform.age_seconds", platform_age_s)
        for partner, rollout in self._rollouts.items():
            gauge(f"bundle.{partner}.in_force", rollout.in_force_version())
        for region, held in self._slots.held_by_region().items():
            gauge(f"slots.{region}.held", held)
        for partner, service in self._steering.routers():
            gauge(f"slots.{partner}.{service}.in_flight", self._slots.in_use(service))
        gauge("drains.open", self._open_drains())

    def _open_drains(self) -> int:
        reports = self._steering.drains.reports().values()
        return sum(1 for report in reports if report.seconds is None)
