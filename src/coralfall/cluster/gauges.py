"""Gauges of an entry: what its metrics show of slots, lease, roster, platform and memory."""

import math
import typing as t

from ..balancing.slot import SlotState
from ..reporting.status_builder import resident_bytes
from .lease import LeaseState

if t.TYPE_CHECKING:
    from ..forwarding.upstream import Upstream
    from ..process.metrics import Metrics
    from .node import Node

#: Seconds between two settings of all gauges.
GAUGES_S = 10.0
#: Value of ``lease.state``; an alarm asks for anything below 2.
VALUE_BY_LEASE_STATE = {LeaseState.LAPSED: 0, LeaseState.FROZEN: 1, LeaseState.HELD: 2}


class Gauges:
    """Sets all gauges at once; :meth:`set_all` is for a periodic child.

    :param metrics: takes the gauges.
    :param node: the entry's part in the fleet.
    :param upstream: the entry's connections to targets.
    """

    def __init__(self, metrics: "Metrics", node: "Node", upstream: "Upstream") -> None:
        self._metrics = metrics
        self._node = node
        self._upstream = upstream

    async def set_all(self) -> None:
        """Set each gauge to its value now."""
        gauge = self._metrics.gauge
        gauge("lease.state", VALUE_BY_LEASE_STATE[self._node.lease.state()])
        gauge("lease.remaining_seconds", self._node.lease.remaining_s())
        gauge("roster.size", len(self._node.roster.by_id))
        gauge("memory.resident_bytes", resident_bytes())
        platform_age_s = self._node.membership.platform_age()
        if math.isfinite(platform_age_s):
            gauge("platform.age_seconds", platform_age_s)
        for partner, rollout in self._node.rollouts.items():
            gauge(f"bundle.{partner}.in_force", rollout.in_force_version())
        for region, held in self._node.slots.held_by_region().items():
            gauge(f"slots.{region}.held", held)
        for partner, service in self._node.steering.served.routers():
            gauge(f"slots.{partner}.{service}.in_flight", self._node.slots.in_use(service))
            unproved = self._node.slots.states(service).get(SlotState.UNPROVED, 0)
            gauge(f"slots.{partner}.{service}.unproved", unproved)
        gauge("slots.given_up", self._upstream.given_up_count)
        gauge("drains.open", self._open_drains())

    def _open_drains(self) -> int:
        reports = self._node.steering.served.drains.reports().values()
        return sum(1 for report in reports if report.seconds is None)
