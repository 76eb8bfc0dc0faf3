"""Transit parts: builds the parts of an entry that find out which targets it reaches, that send
requests through other entries, and that carry theirs.
"""

import random
import typing as t

from ..peering.peer_links import PeerLinks
from ..placement.reachability import Reachability
from .reach_checks import ReachChecks
from .target_connections import TargetConnections
from .transit_client import TransitClient
from .transit_server import TransitServer

if t.TYPE_CHECKING:
    from ..placement.stop_admission import StopAdmission
    from ..placement.targets import TargetRegistry
    from ..process.clock import Clock
    from .crash_detector import CrashDetector
    from .fleet_access import FleetAccess
    from .members import Members
    from .pool import ConnectionPool
    from .response_check import ResponseCheck
    from .wire import HeaderNames


class TransitParts:
    """The parts of one entry.

    :param access: opens streams to other entries.
    """

    def __init__(
        self,
        targets: "TargetRegistry",
        pool: "ConnectionPool",
        members: "Members",
        access: "FleetAccess",
        clock: "Clock",
        rng: random.Random,
    ) -> None:
        self._targets = targets
        self._pool = pool
        self._clock = clock
        self.reachability = Reachability(targets, clock)
        links = PeerLinks(*access)
        self.checks = ReachChecks(self.reachability, targets, pool, members, links, clock, rng)
        self.client = TransitClient(members, *access, clock, rng)
        self.connections = TargetConnections(pool, self.reachability, self.checks, self.client)

    def build_server(
        self,
        names: "HeaderNames",
        response_check: "ResponseCheck",
        crash_detector: "CrashDetector",
        stop_admission: "StopAdmission",
    ) -> TransitServer:
        """Returns the part that carries requests of other entries."""
        crash_detector.confirm_down = self.checks.confirm_down
        return TransitServer(
            names,
            self._targets,
            self._pool,
            self.reachability,
            response_check,
            crash_detector,
            stop_admission,
            self._clock,
        )
