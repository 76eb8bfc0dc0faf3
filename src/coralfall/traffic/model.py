"""Model: the desired state, the targets, and the records of entries."""

import enum
import typing as t

import msgspec

from ..ids import (
    EntryId,
    EntryState,
    Incarnation,
    RegionId,
    ServiceId,
    TargetId,
    TenantId,
    ZoneId,
)

RouteId = t.NewType("RouteId", str)


class RequestKind(enum.Enum):
    """Whether the requests of a route may be repeated."""

    #: May be run more than once (idempotent).
    SAFE = "safe"
    #: Must be run at most once.
    UNSAFE = "unsafe"
    #: Must be run at most once, and has a large body.
    UPLOAD = "upload"


class Backend(msgspec.Struct, frozen=True):
    """A service that gets a share of a route's requests, in proportion to its weight."""

    service: ServiceId
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Routing rule for the requests to one host below one path."""

    route_id: RouteId
    host: str
    #: Begins and ends with a slash.
    prefix: str
    kind: RequestKind
    #: Longest time in seconds that a caller is kept waiting for the answer.
    timeout_s: float
    #: Latency objective in seconds; a later answer is worth less.
    latency_target_s: float
    #: 0 is the most urgent.
    priority: int
    backends: t.Tuple[Backend, ...]
    #: Most targets that one request is sent to.
    max_attempts: int
    #: Whether requests for an object should go to targets that have handled it before, which are
    #: faster with it.
    session_affinity: bool
    #: Regions that requests may be served in; any if empty.
    allowed_regions: t.FrozenSet[RegionId] = frozenset()
    #: Whether requests need no key, and count for no tenant, even if tenants are defined.
    public: bool = False


class ServiceRules(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the targets of a service."""

    service: ServiceId
    #: Most connections that a target accepts, from all entries together.
    max_connections: int
    #: Seconds for which a target is cold after its start, and the requests a second that it can
    #: serve meanwhile.
    warmup_s: float
    warmup_per_s: float


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """A customer of the operators, identified by the keys in its requests."""

    tenant_id: TenantId
    #: Keys as callers send them. They are secrets: they must not be logged or shown.
    keys: t.Tuple[bytes, ...]
    #: Overrides the priority of the route unless it is ``None``; 0 is the most urgent.
    priority: t.Optional[int] = None
    #: Requests a second over all entries together, and the burst on top; a rate of 0 is no limit.
    rate_per_s: float = 0.0
    burst: float = 0.0
    #: Regions that requests may be served in; any if empty.
    allowed_regions: t.FrozenSet[RegionId] = frozenset()

    def __repr__(self) -> str:
        return f"Tenant({self.tenant_id!r}, {len(self.keys)} keys)"


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on callers' requests and connections, in bytes and seconds."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class DesiredState(msgspec.Struct, frozen=True, kw_only=True):
    """The complete configuration that the operators want in force, at one version."""

    version: int
    routes: t.Tuple[Route, ...]
    services: t.Dict[ServiceId, ServiceRules]
    limits: CallerLimits
    #: ``None`` if requests need no keys.
    tenants: t.Optional[t.Tuple[Tenant, ...]] = None


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """One lifetime of a target: a run of its process, as the target registered it."""

    target_id: TargetId
    service: ServiceId
    #: ``ip:port``.
    address: str
    zone: ZoneId
    slots: int
    leaving: bool = False
    #: Seconds for which the target is still cold, counted from when this row is received.
    cold_s: float = 0.0
    #: Start of this lifetime in milliseconds of the Unix epoch; ``None`` if the row has none.
    born: t.Optional[int] = None

    def is_same_lifetime(self, other: "Target") -> bool:
        """Whether this and another row of the same target describe the same lifetime."""
        return self.born == other.born and self.address == other.address


class EntryRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State that an entry publishes of itself; an incarnation is one run of its process."""

    entry_id: EntryId
    incarnation: Incarnation
    region: RegionId
    zone: ZoneId
    #: ``ip:port`` at which it takes requests of callers, and messages of other entries.
    caller_address: str
    peer_address: str
    state: EntryState = EntryState.SERVING
    #: Whether it knows enough to serve callers.
    ready: bool = False
    #: Version of the record within an incarnation; incremented when the record changes and when
    #: the entry refutes a suspicion.
    beat: int = 0
    #: Rate of its VM's link in Mbit/s, 0 if unknown.
    link_mbps: float = 0.0
    #: Whether it carries requests of other entries to targets.
    transit: bool = False
    #: Services whose targets others reach and this entry does not.
    cut_off_from: t.Tuple[ServiceId, ...] = ()

    def is_newer_than(self, other: "EntryRecord") -> bool:
        """Whether this record supersedes another one of the same entry."""
        return (self.incarnation, self.beat) > (other.incarnation, other.beat)
