"""Data of the dispatch protocol: what an entry asks the dispatcher of a target, and the answers.

The dispatcher of a target is an entry in the target's region that assigns the slots of the target
to the requests of all entries, so that all of them act on the same knowledge of its load, cache and
health (join-the-shortest-queue with a central dispatcher). Durations are whole milliseconds here,
and hashes have 32 bits, since each request costs one of each of these messages.
"""

import enum
import typing as t
import zlib

import msgspec

from ..ids import ServiceId, TargetId

if t.TYPE_CHECKING:
    from ..ids import EntryId, TenantId
    from ..traffic.model import Route, RouteId, Target, Tenant

#: Urgency of a request; 0 is the most urgent.
Level = t.NewType("Level", int)
#: Hash of the route and the key of an object.
ObjectCode = t.NewType("ObjectCode", int)
#: Hash of a route, by which the typical work of its requests is estimated.
RouteCode = t.NewType("RouteCode", int)
#: Hash of a tenant; 0 if the request has none.
TenantCode = t.NewType("TenantCode", int)
#: Hash of a lifetime of a target; 0 if it is not told.
LifetimeCode = t.NewType("LifetimeCode", int)
#: Number of an ask, unique in one run of the process that sends it.
AskNumber = t.NewType("AskNumber", int)

#: Tenant code of a request without a tenant.
NO_TENANT = TenantCode(0)
#: Lifetime code of an ask that does not tell the lifetime.
ANY_LIFETIME = LifetimeCode(0)
#: Added to the level of late requests; more than any priority that operators use.
_LATE_LEVELS = 100
#: Number of bits of a route code: the few routes of a service rarely collide, and one that does
#: only shares an estimate.
_ROUTE_CODE_MASK = 0xFFFF
#: Number of bits of a lifetime code: it only tells the few lifetimes of one target apart.
_LIFETIME_CODE_MASK = 0xFFFF


class Verdict(enum.Enum):
    """A dispatcher's answer to an ask."""

    #: The request may be sent, and counts as in flight until it is released.
    ASSIGNED = 0
    #: The target has no slot that would complete the request within the time that was asked for.
    BUSY = 1
    #: The ask waits for a slot; a notice follows.
    QUEUED = 2
    #: The ask waited, or would have had to wait, for longer than it is of use.
    REFUSED = 3
    #: The target can't be used now.
    UNAVAILABLE = 4
    #: The answering entry does not dispatch the target, or is stopping.
    NOT_DISPATCHER = 5


class AttemptOutcome(enum.Enum):
    """What became of an attempt that had an assignment."""

    #: The target answered the request, whatever the status.
    ANSWERED = 0
    #: The target rejected the request without running it.
    REJECTED = 1
    #: The connection failed while the request was in progress.
    BROKEN = 2
    #: No answer came in time.
    TIMED_OUT = 3
    #: No connection could be made.
    UNREACHABLE = 4
    #: Nothing listens at the target's address.
    CONNECTION_REFUSED = 5
    #: Another target answered at the target's address.
    MISDIRECTED = 6
    #: The request was not sent, or its caller left.
    CANCELLED = 7


class ReportedLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load that a target reported in an answer."""

    running: int
    waiting: int
    #: How long work takes on the target's machine, in percent of the usual time.
    pace: int = 100


class DispatchAsk(msgspec.Struct, frozen=True, array_like=True):
    """Asks for one slot of a target for one attempt of a request."""

    number: AskNumber
    target_id: TargetId
    object_code: ObjectCode
    route_code: RouteCode
    level: Level
    tenant_code: TenantCode
    #: Milliseconds within which the request has to be completed for a slot to be assigned at once.
    within_ms: int
    #: Milliseconds within which it has to be started to be of use; an ask is queued no longer.
    start_within_ms: int
    #: Milliseconds after which the assignment expires if it was not released.
    expires_ms: int
    #: Whether the target is the first candidate of the object.
    primary: bool = True
    #: Whether the ask may be queued.
    may_queue: bool = False
    #: The lifetime that the request would be sent to: the outcome shows nothing of another one.
    lifetime_code: LifetimeCode = ANY_LIFETIME


class DispatchAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer to an ask; a queued ask gets another one in a notice."""

    number: AskNumber
    verdict: Verdict
    #: Predicted milliseconds until the completion of the request. With ``UNAVAILABLE`` the
    #: milliseconds after which the target may be asked for again.
    expected_ms: int = 0
    #: Whether the target has the object cached.
    cached: bool = False
    #: Requests in flight at the target, from all entries.
    load: int = 0


class DispatchRelease(msgspec.Struct, frozen=True, array_like=True):
    """Ends an assignment."""

    number: AskNumber
    outcome: AttemptOutcome
    #: Milliseconds from the first byte that was sent to the end of the attempt.
    duration_ms: int
    #: ``None`` if the target reported none.
    load: t.Optional[ReportedLoad] = None


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of the targets of one service that a dispatcher is in charge of."""

    service: ServiceId
    #: Requests in flight or queued at the dispatcher, and slots.
    busy: int
    slots: int


class Notice(t.NamedTuple):
    """An answer that a dispatcher sends without being asked again."""

    entry_id: "EntryId"
    answer: DispatchAnswer


class Ticket(t.NamedTuple):
    """An ask that a dispatcher has answered, as the asking entry keeps it."""

    dispatcher_id: "EntryId"
    answer: DispatchAnswer


class LoadShare(t.NamedTuple):
    """Load of the targets of a service in one region."""

    #: Requests in flight or queued, averaged over a short time, and slots.
    busy: float
    slots: int

    @property
    def fraction(self) -> float:
        """Requests for each slot."""
        return self.busy / self.slots if self.slots else 0.0


def object_key_of(route_id: "RouteId", key: bytes) -> bytes:
    """Key of an object of a route: targets cache the objects of each route separately."""
    return route_id.encode() + b"\0" + key


def object_code_of(object_key: bytes) -> ObjectCode:
    """Hash of an object's key, the same at all entries."""
    return ObjectCode(zlib.crc32(object_key))


def route_code_of(route_id: "RouteId") -> RouteCode:
    """Hash of a route, the same at all entries."""
    return RouteCode(zlib.crc32(route_id.encode()) & _ROUTE_CODE_MASK)


def lifetime_code_of(target: "Target") -> LifetimeCode:
    """Hash of what tells the lifetimes of a target apart, the same at all entries."""
    code = zlib.crc32(f"{target.born} {target.address}".encode()) & _LIFETIME_CODE_MASK
    return LifetimeCode(code or 1)


def tenant_code_of(tenant_id: "t.Optional[TenantId]") -> TenantCode:
    """Hash of a tenant, the same at all entries."""
    if tenant_id is None:
        return NO_TENANT
    return TenantCode(zlib.crc32(tenant_id.encode()) or 1)


def level_of(route: "Route", tenant: "t.Optional[Tenant]", late: bool = False) -> Level:
    """Urgency of a request: its tenant's priority if that has one, else its route's.

    :param late: whether the request has missed its latency objective. Its answer is worth less than
        that of any request in time.
    """
    level = route.priority
    if tenant is not None and tenant.priority is not None:
        level = tenant.priority
    return Level(level + (_LATE_LEVELS if late else 0))
