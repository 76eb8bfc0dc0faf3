"""What an entry says of itself to operators, and what reports are made of."""

import typing as t

import msgspec

from ..ids import (
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
    VmId,
    ZoneId,
)
from .burn import BurnReport


class HeldVersions(msgspec.Struct, frozen=True, kw_only=True):
    """Versions of one partner as an entry holds them; 0 means none."""

    in_force: BundleVersion
    staged: BundleVersion
    #: Newest version that the entry knows to be accepted, held or not.
    accepted: BundleVersion


class MemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the roster."""

    entry_id: EntryId
    vm_id: VmId
    incarnation: Incarnation
    region: RegionId
    zone: ZoneId
    site: SiteId
    state: EntryState
    caller_address: str
    operator_address: str
    #: What it last said in a heartbeat to this entry; ``None`` if it never did, which is usual
    #: for most members of a large roster.
    heard: t.Optional["HeardStatus"] = None


class HeardStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What a peer last said of itself."""

    #: Seconds since then.
    age_s: float
    roster_revision: Revision
    #: Versions that it knew to be accepted, by partner.
    accepted: t.Dict[PartnerId, BundleVersion]
    #: Seconds since the platform had last answered it.
    platform_age_s: float
    #: Whether it knew an older roster or older versions than this entry knows now.
    behind: bool


class RegionStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Allowance and use of one region, as seen by one entry."""

    region: RegionId
    #: Slots that may be used there by all entries together, of all partners' targets.
    usable: int
    #: Slots that this entry may use now, those borrowed included.
    held: int
    #: Requests of this entry in flight there.
    in_flight: int


class TargetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Allowance and use of one target, as seen by one entry."""

    target_id: TargetId
    partner: PartnerId
    service: ServiceId
    region: RegionId
    state: TargetState
    #: Slots that may be used by all entries together.
    usable: int
    #: Slots that this entry owns; some may rest after a change, or be lent.
    owned: int
    #: Requests of this entry in flight there.
    in_flight: int
    #: Whether requests to it failed in a row here, or it calls itself unwell.
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
    #: Where the entry is on its way into or out of the roster.
    membership: str
    #: Whether the lease is held, frozen or lapsed.
    lease: str
    #: Seconds for which the lease counts if nothing further is heard.
    lease_remaining_s: float
    #: Whether callers may be sent to the entry.
    ready: bool
    #: Seconds since the platform last answered; ``None`` if it never did.
    platform_age_s: t.Optional[float]
    roster_revision: Revision
    versions: t.Dict[PartnerId, HeldVersions]
    members: t.Tuple[MemberStatus, ...]
    regions: t.Tuple[RegionStatus, ...]
    targets: t.Tuple[TargetStatus, ...]
    drains: t.Tuple[DrainStatus, ...]
    #: Service levels by partner and service.
    burns: t.Dict[PartnerId, t.Dict[ServiceId, BurnReport]]
    #: Requests by outcome since the entry started.
    outcomes: t.Dict[str, int]
    #: Memory that the process holds.
    resident_bytes: int
    #: Seconds of processor time that the process has used.
    processor_s: float
    #: Seconds since the entry started.
    started_s: float
