"""Keys and values of the rows that coralfall keeps in the platform's table."""

import enum
import hashlib
import typing as t

import msgspec

from ..exceptions import PlatformError
from ..ids import (
    BundleVersion,
    EntryId,
    EntryState,
    Era,
    IdempotencyKey,
    Incarnation,
    PartnerId,
    RegionId,
    Revision,
    ServiceId,
    SiteId,
    VmId,
    ZoneId,
)

if t.TYPE_CHECKING:
    from ..stores.store import Row

RowT = t.TypeVar("RowT", bound=msgspec.Struct)

HEAD_PREFIX = "head/"
ROSTER_PREFIX = "roster/"
LEASE_PREFIX = "lease/"
COORDINATOR_KEY = "coordinator"
CLAIM_PREFIX = "claim/"
CLAIM_ERA_KEY = "claim-era"


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
    #: Last roster change that the entry has applied: it dispatches by no older roster.
    roster_revision: Revision = Revision(0)


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


class ClaimState(enum.Enum):
    """What is known of the command that an idempotency key names."""

    #: One entry may dispatch it, or did; nobody else may.
    CLAIMED = "claimed"
    #: It surely was not run; the key is as good as new.
    RELEASED = "released"
    #: It was run and answered.
    DONE = "done"
    #: It was dispatched and no answer came; it stays so.
    UNKNOWN = "unknown"


class KeptAnswer(msgspec.Struct, frozen=True):
    """Answer to a command, kept for those who ask again."""

    status: int
    headers: t.Tuple[t.Tuple[bytes, bytes], ...] = ()
    #: ``None`` if it was too long to keep.
    body: t.Optional[bytes] = None

    def status_only(self) -> "KeptAnswer":
        """Returns what is kept of an answer that is too long: neither headers nor body."""
        return KeptAnswer(self.status)

    def size(self) -> int:
        """Bytes of headers and body."""
        size = len(self.body or b"")
        for name, value in self.headers:
            size += len(name) + len(value)
        return size


class ClaimRow(msgspec.Struct, frozen=True, kw_only=True):
    """Claim row of an idempotency key; written before its command is dispatched."""

    state: ClaimState
    #: Names one claimant's work on the key: entry, incarnation and a number of its own.
    claim_id: str
    #: Rises with each attempt under ``claim_id``; all but the last were never dispatched.
    attempt: int
    #: Digest of what the command is, so that its key can't be used for another one.
    fingerprint: str
    #: Platform's wall time of the writing, as the writer estimates it, in seconds.
    at: float
    #: Present if the state is ``DONE``.
    answer: t.Optional[KeptAnswer] = None


class ClaimEraRow(msgspec.Struct, frozen=True, kw_only=True):
    """Tells when the entries learned that the table had come back from an older copy."""

    #: Era of the table.
    era: Era
    #: Platform's wall time, in seconds.
    began_at: float


def claim_key(partner: PartnerId, service: ServiceId, key: IdempotencyKey) -> str:
    """Key of the claim row of an idempotency key, of bounded length whatever the caller sent."""
    digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
    return f"{CLAIM_PREFIX}{partner}/{service}/{digest}"


def decode_row(row: "Row", model: t.Type[RowT]) -> RowT:
    """The value of a row that exists.

    :param model: what the row's key says it holds.
    :raises PlatformError: if the row holds something else.
    """
    try:
        return msgspec.msgpack.decode(row.value or b"", type=model)
    except (msgspec.MsgspecError, ValueError) as error:
        raise PlatformError(f"row {row.key!r} can't be read: {error}", key=row.key) from error
