"""The report over all entries: service levels, headroom, drains and versions, as records."""

import typing as t

import msgspec

from ..bundles.rollout_status import PartnerStatus
from ..ids import (
    BundleVersion,
    EntryId,
    EntryState,
    PartnerId,
    RegionId,
    ServiceId,
    TargetId,
    TargetState,
    VmId,
    ZoneId,
)
from .burn import BurnReport


class ServiceReport(msgspec.Struct, frozen=True, kw_only=True):
    """Service level of one service over all entries that answered."""

    partner: PartnerId
    service: ServiceId
    burn: BurnReport


class Headroom(msgspec.Struct, frozen=True, kw_only=True):
    """Slots of a region or target and what is left of them."""

    #: Slots that may be used by all entries together; the least that an entry knows of.
    usable: int
    #: Slots that entries own by now; fewer than usable while a roster or bundle settles.
    owned: int
    in_flight: int
    #: Share of the usable slots that is free; ``None`` if none are usable.
    free_share: t.Optional[float]


class RegionReport(msgspec.Struct, frozen=True, kw_only=True):
    """Headroom of one region, of all partners' targets there."""

    region: RegionId
    headroom: Headroom


class TargetReport(msgspec.Struct, frozen=True, kw_only=True):
    """Headroom of one target."""

    target_id: TargetId
    partner: PartnerId
    service: ServiceId
    region: RegionId
    state: TargetState
    headroom: Headroom
    #: How many entries suspect it.
    suspected_by: int


class DrainSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Drain of one target over all entries that answered."""

    target_id: TargetId
    in_flight: int
    #: Seconds since the first entry marked it as leaving.
    age_s: float
    #: Seconds until the last entry had nothing there any more; ``None`` while one has.
    drained_s: t.Optional[float]
    #: Entries that told of it.
    entries: int


class EntryReport(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the roster, whether or not it answered."""

    entry_id: EntryId
    vm_id: VmId
    region: RegionId
    zone: ZoneId
    state: EntryState
    operator_address: str
    #: Seconds since it last sent a heartbeat to an entry that answered; ``None`` if it sent none.
    heard_s: t.Optional[float] = None
    #: Entries that answered and knew more than its last heartbeat to them, if that was fresh.
    behind_by: int = 0
    #: Why it did not answer; what follows is empty then.
    error: t.Optional[str] = None
    membership: str = ""
    lease: str = ""
    ready: bool = False
    platform_age_s: t.Optional[float] = None
    in_force: t.Dict[PartnerId, BundleVersion] = {}
    staged: t.Dict[PartnerId, BundleVersion] = {}
    #: Whether it serves under an older version than the one accepted.
    lags: bool = False
    resident_bytes: int = 0
    #: Share of one core since it started.
    processor_share: float = 0.0
    #: Seconds since it started; its counts go no further back.
    started_s: float = 0.0


class FleetReport(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that ``coralfall report`` shows."""

    #: Platform's wall time, or that of the reader if the platform is away.
    at: float
    #: Entries that answered, of those in the roster.
    answered: int
    #: Why the platform could not be read; versions and roster are then as the entries know them.
    platform_error: t.Optional[str] = None
    partners: t.Tuple[PartnerStatus, ...]
    services: t.Tuple[ServiceReport, ...]
    regions: t.Tuple[RegionReport, ...]
    targets: t.Tuple[TargetReport, ...]
    drains: t.Tuple[DrainSummary, ...]
    entries: t.Tuple[EntryReport, ...]
    #: Requests since the entries started, by what callers were told.
    outcomes: t.Dict[str, int]


def make_headroom(usable: int, owned: int, in_flight: int) -> Headroom:
    """Headroom with its free share; more in flight than usable counts as none free.

    All three are numbers of slots.
    """
    free_share = None if not usable else max(0.0, 1.0 - in_flight / usable)
    return Headroom(usable=usable, owned=owned, in_flight=in_flight, free_share=free_share)
