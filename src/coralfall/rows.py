"""Keys and values of the rows that coralfall keeps in the platform's table."""

import typing as t

import msgspec

from .ids import (
    BundleVersion,
    EntryId,
    EntryState,
    Incarnation,
    PartnerId,
    RegionId,
    SiteId,
    VmId,
    ZoneId,
)

HEAD_PREFIX = "head/"
ROSTER_PREFIX = "roster/"
LEASE_PREFIX = "lease/"
COORDINATOR_KEY = "coordinator"
CLAIM_PREFIX = "claim/"


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """Roster row of an entry; written when it joins, starts to leave, and leaves."""

    entry_id: EntryId
    vm_id: VmId
    incarnation: Incarnation
    region: RegionId
    zone: ZoneId
    site: SiteId
    #: ``ip:port`` of the callers' port.
    caller_address: str
    #: ``ip:port`` of the peers' port.
    peer_address: str
    #: ``ip:port`` of the operators' port.
    operator_address: str
    state: EntryState = EntryState.SERVING


class LeaseRow(msgspec.Struct, frozen=True, kw_only=True):
    """Lease row of an entry; written at every renewal, read only by the coordinator."""

    entry_id: EntryId
    incarnation: Incarnation
    #: Rises with every renewal.
    renewals: int
    #: Newest version that the entry holds and would serve under, by partner.
    staged: t.Dict[PartnerId, BundleVersion] = {}
    #: Version in force on the entry, by partner.
    in_force: t.Dict[PartnerId, BundleVersion] = {}


class CoordinatorRow(msgspec.Struct, frozen=True, kw_only=True):
    """The entry that accepts bundles and removes entries that are gone."""

    entry_id: EntryId
    incarnation: Incarnation
    #: Rises with every renewal.
    renewals: int


def head_key(partner: PartnerId) -> str:
    """Key of a partner's head row."""
    return HEAD_PREFIX + partner


def roster_key(entry_id: EntryId) -> str:
    """Key of an entry's roster row."""
    return ROSTER_PREFIX + entry_id


def lease_key(entry_id: EntryId) -> str:
    """Key of an entry's lease row."""
    return LEASE_PREFIX + entry_id
