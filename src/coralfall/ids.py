"""Identifier types and state enums that all packages share."""

import enum
import typing as t

PartnerId = t.NewType("PartnerId", str)
RegionId = t.NewType("RegionId", str)
ZoneId = t.NewType("ZoneId", str)
SiteId = t.NewType("SiteId", str)
ServiceId = t.NewType("ServiceId", str)
TargetId = t.NewType("TargetId", str)
EntryId = t.NewType("EntryId", str)
VmId = t.NewType("VmId", str)
KeyId = t.NewType("KeyId", str)
TenantId = t.NewType("TenantId", str)
#: SHA-256 digest as 64 lower-case hexadecimal digits.
Digest = t.NewType("Digest", str)
#: Sequence number of a bundle among those of its partner, from 1 upwards.
BundleVersion = t.NewType("BundleVersion", int)
#: Sequence number of a write to the platform's table, from 1 upwards; 0 means that the row does not
#: exist.
Revision = t.NewType("Revision", int)
#: Number of the history that a store's revisions count; it rises when the store comes back from an
#: older copy, after which revisions that it has lost are given out again. 0 if the store has none.
Era = t.NewType("Era", int)
#: Generation of a process on its VM; rises with each restart.
Incarnation = t.NewType("Incarnation", int)
#: Key by which a caller identifies one command across retries at any entry.
IdempotencyKey = t.NewType("IdempotencyKey", str)


class Position(t.NamedTuple):
    """A moment in a store's history. Positions compare by era first, then by revision.

    The same revision in two eras means two unrelated moments.
    """

    era: Era
    revision: Revision


#: Position of whoever has read nothing yet.
START = Position(Era(0), Revision(0))


class TargetState(enum.Enum):
    """State of a target according to its bundle."""

    JOINING = "joining"
    ACTIVE = "active"
    LEAVING = "leaving"


class VmState(enum.Enum):
    """State of a VM according to the platform's VM list."""

    LIVE = "live"
    LEAVING = "leaving"


class PolicyName(enum.Enum):
    """Objective by which the targets of a service are ranked."""

    LATENCY = "latency"
    HEADROOM = "headroom"


class Outcome(enum.Enum):
    """Outcome of a request as reported to its caller; the value of the outcome header."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class EntryState(enum.Enum):
    """State of an entry in the roster, as reported by itself."""

    SERVING = "serving"
    LEAVING = "leaving"
