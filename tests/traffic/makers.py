"""Factories and fixtures that the tests of steering share."""

import random
import typing as t

from coralfall.ids import (
    EntryId,
    Era,
    Incarnation,
    Position,
    RegionId,
    Revision,
    ServiceId,
    TargetId,
    TenantId,
    ZoneId,
)
from coralfall.peering.channel import Traffic
from coralfall.peering.cipher import FLEET_KEY_BYTES, FleetKey
from coralfall.peering.messages import Hello
from coralfall.placement.affinity import AffinitySteering
from coralfall.placement.cold_targets import ColdTargetShares
from coralfall.placement.fleet_share import Share
from coralfall.placement.targets import TargetRegistry
from coralfall.process.clock import ManualClock
from coralfall.traffic.fleet_access import FleetAccess
from coralfall.traffic.members import Members
from coralfall.traffic.model import (
    Backend,
    CallerLimits,
    DesiredState,
    EntryRecord,
    RequestKind,
    Route,
    RouteId,
    ServiceRules,
    Target,
    Tenant,
)
from coralfall.traffic.settings import SteerSettings, StoreSettings

PEDIDOS = ServiceId("pedidos")
NORTE = ZoneId("sierra-norte")
PUERTO = ZoneId("costa-puerto")
SIERRA = RegionId("sierra")
COSTA = RegionId("costa")
REGIONS_BY_ZONE = {NORTE: SIERRA, PUERTO: COSTA}


def make_settings(**changes: t.Any) -> SteerSettings:
    """Returns settings of an entry in the zone sierra-norte."""
    fields: t.Dict[str, t.Any] = {
        "entry_id": EntryId("e1"),
        "zone": NORTE,
        "region": SIERRA,
        "regions_by_zone": REGIONS_BY_ZONE,
        "caller_address": "127.0.0.1:0",
        "lookup_address": "127.0.0.1:0",
        "readiness_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "store": StoreSettings(address="127.0.0.1:1"),
    }
    return SteerSettings(**{**fields, **changes})


def make_route(**changes: t.Any) -> Route:
    """Returns a route of unsafe requests to the service pedidos."""
    fields: t.Dict[str, t.Any] = {
        "route_id": RouteId("r1"),
        "host": "a.example",
        "prefix": "/p/",
        "kind": RequestKind.UNSAFE,
        "timeout_s": 1.0,
        "latency_target_s": 0.3,
        "priority": 1,
        "backends": (Backend(PEDIDOS, 1.0),),
        "max_attempts": 2,
        "session_affinity": True,
    }
    return Route(**{**fields, **changes})


def make_target(number: int = 1, **changes: t.Any) -> Target:
    """Returns a target of the service pedidos in sierra-norte."""
    fields: t.Dict[str, t.Any] = {
        "target_id": TargetId(f"t{number}"),
        "service": PEDIDOS,
        "address": f"127.0.0.1:{9000 + number}",
        "zone": NORTE,
        "slots": 4,
    }
    return Target(**{**fields, **changes})


def make_state(version: int = 1, *routes: Route) -> DesiredState:
    """Returns a desired state with these routes, or with one default route."""
    rules = ServiceRules(service=PEDIDOS, max_connections=100, warmup_s=3.0, warmup_per_s=9.0)
    return DesiredState(
        version=version,
        routes=routes or (make_route(),),
        services={PEDIDOS: rules},
        limits=CallerLimits(
            max_header_bytes=16384,
            max_body_bytes=1_000_000,
            header_timeout_s=3.0,
            idle_timeout_s=15.0,
        ),
    )


def at(revision: int, era: int = 0) -> Position:
    """Returns a position of the store."""
    return Position(Era(era), Revision(revision))


def make_tenant(name: str = "acme", **changes: t.Any) -> Tenant:
    """Returns a tenant with one key, which is its name with a prefix."""
    fields: t.Dict[str, t.Any] = {
        "tenant_id": TenantId(name),
        "keys": (f"key-{name}".encode(),),
    }
    return Tenant(**{**fields, **changes})


def make_record(name: str, **changes: t.Any) -> EntryRecord:
    """Returns the record of a serving entry in sierra-norte."""
    fields: t.Dict[str, t.Any] = {
        "entry_id": EntryId(name),
        "incarnation": Incarnation(1),
        "region": SIERRA,
        "zone": NORTE,
        "caller_address": f"10.0.0.1:{name}",
        "peer_address": f"10.0.1.1:{name}",
        "ready": True,
        "beat": 1,
    }
    return EntryRecord(**{**fields, **changes})


def make_access(members: "Members") -> FleetAccess:
    """Returns what the entry of ``members`` opens streams to others of its fleet with."""
    own = members.own_record
    hello = Hello(entry_id=own.entry_id, incarnation=own.incarnation)
    return FleetAccess(FleetKey(bytes(FLEET_KEY_BYTES)), hello, Traffic())


class FixedShare(Share):
    """A share that does not depend on other entries."""

    def __init__(self, units: int) -> None:
        self._units = units

    def part_of(self, name: str, units: int) -> int:
        return min(self._units, units)


def cold_share_of(
    entry_id: EntryId, entries: t.Collection[EntryId], target_id: TargetId, per_s: float
) -> int:
    """Returns the requests a second that an entry may send to a cold target.

    :param entries: the entries that share the target's limit.
    :param per_s: the limit.
    """
    clock = ManualClock(100.0)
    shares = ColdTargetShares(entry_id, clock)
    shares.set_entries(entries)
    clock.advance(1.0)
    return shares.allowance_of(target_id, per_s)


class SteeringFixture:
    """Steering with targets, on a clock that is moved by hand."""

    def __init__(
        self,
        *targets: Target,
        entries: t.Sequence[str] = ("e1",),
        settings: t.Optional[SteerSettings] = None,
    ) -> None:
        self.clock = ManualClock(100.0)
        self.targets = TargetRegistry(self.clock, make_settings().bounds.target_visibility_s())
        self.steering = AffinitySteering(settings or make_settings(), self.targets, self.clock)
        self.steering.set_state(make_state())
        self.steering.cold_shares.set_entries([EntryId(name) for name in entries])
        # An entry has no share of cold targets in its first second.
        self.clock.advance(1.0)
        self.set_targets(*targets)

    def set_targets(self, *targets: Target) -> None:
        """Replaces all targets."""
        by_id = {target.target_id: target for target in targets}
        self.targets.update(by_id)


def seeded_rng() -> random.Random:
    """Returns a random generator with a fixed seed."""
    return random.Random(7)
