"""What an entry says of itself to operators, and what reports are made of."""

import typing as t

import msgspec

from .burn import BurnReport
from .ids import (
    BundleVersion,
    EntryId,
    EntryState,
    Incarnation,
    PartnerId,
    RegionId,
    Revision,
    ServiceId,
    SiteId,
    TargetId,
    TargetState,
    ZoneId,
)


class VersionStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Versions of one partner as an entry holds them; 0 means none."""

    in_force: BundleVersion
    staged: BundleVersion
    #: Newest version that the entry knows to be accepted, held or not.
    accepted: BundleVersion


class MemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the roster."""

    entry_id: EntryId
    incarnation: Incarnation
    region: RegionId
    zone: ZoneId
    site: SiteId
    state: EntryState
    caller_address: str
    operator_address: str


class TargetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Allowance and use of one target, as seen by one entry."""

    target_id: TargetId
    service: ServiceId
    region: RegionId
    state: TargetState
    #: Slots that may be used by all entries together.
    usable: int
    #: Slots that this entry owns, of them resting, lent and in use.
    owned: int
    in_flight: int
    suspect: bool


class DrainStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Drain of one target, as seen by one entry."""

    target_id: TargetId
    #: Requests of this entry still in flight there.
    in_flight: int
    #: Seconds since the target was marked as leaving.
    age_s: float
    #: Seconds until it was idle; ``None`` while it is not.
    drained_s: t.Optional[float]


class EntryStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Everything the operators' interface shows of one entry."""

    entry_id: EntryId
    incarnation: Incarnation
    membership: str
    lease: str
    ready: bool
    #: Seconds since the platform last answered; ``None`` if it never did.
    platform_age_s: t.Optional[float]
    roster_revision: Revision
    versions: t.Dict[PartnerId, VersionStatus]
    members: t.Tuple[MemberStatus, ...]
    targets: t.Tuple[TargetStatus, ...]
    drains: t.Tuple[DrainStatus, ...]
    burns: t.Dict[PartnerId, t.Dict[ServiceId, BurnReport]]
    #: Requests by outcome since the entry started.
    outcomes: t.Dict[str, int]
    resident_bytes: int
    processor_s: float
    started_s: float
