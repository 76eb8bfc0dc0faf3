"""How far each partner's bundles have got, read from the platform alone."""

import asyncio
import typing as t

import msgspec

from ..cluster.rows import (
    HEAD_PREFIX,
    LEASE_PREFIX,
    ROSTER_PREFIX,
    LeaseRow,
    Member,
    RowT,
    decode_row,
)
from ..exceptions import PlatformUnavailableError, SubmitError
from ..ids import BundleVersion, Digest, EntryId, EntryState, KeyId, PartnerId, Revision, VmId
from ..stores.store import Changes, Platform
from .bundle import Head, VersionRef
from .history import HistoryRow, decode_history, history_key

if t.TYPE_CHECKING:
    from ..process.clock import Clock

#: Seconds between two looks while waiting.
WAIT_POLL_S = 0.5


class VersionStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One version and who signed it; what its history row does not say is ``None``."""

    version: BundleVersion
    digest: Digest
    author: t.Optional[KeyId] = None
    approver: t.Optional[KeyId] = None
    #: Platform's wall times.
    submitted_at: t.Optional[float] = None
    accepted_at: t.Optional[float] = None


class LaggingEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An entry that does not hold the staged bundle or serve under the accepted one yet."""

    entry_id: EntryId
    vm_id: VmId
    state: EntryState
    #: Version that the entry said it serves under, 0 for none.
    in_force: BundleVersion
    #: Newest version that the entry said it holds, 0 for none.
    staged: BundleVersion

    def text(self) -> str:
        """One line for an operator."""
        return (
            f"{self.entry_id} on {self.vm_id} ({self.state.value}) serves under "
            f"{self.in_force}, holds {self.staged}"
        )


class PartnerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Which of a partner's versions are in force and staged, and which entries lag."""

    partner: PartnerId
    in_force: t.Optional[VersionStatus]
    staged: t.Optional[VersionStatus]
    lagging: t.Tuple[LaggingEntry, ...]


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """Which versions of all partners are in force and staged, and which entries lag."""

    partners: t.Tuple[PartnerStatus, ...]
    #: Number of entries in the roster.
    entries: int
    #: Platform's wall time at which this was read.
    now: float

    def partner(self, partner: PartnerId) -> t.Optional[PartnerStatus]:
        """The status of one partner; ``None`` if it has not submitted a version yet."""
        for status in self.partners:
            if status.partner == partner:
                return status
        return None


async def read_status(platform: Platform) -> Status:
    """The status of all partners; asks no entry.

    :raises PlatformUnavailableError: if the table can't be read.
    :raises PlatformError: if a row of it is not what coralfall writes.
    """
    prefixes = (HEAD_PREFIX, ROSTER_PREFIX, LEASE_PREFIX)
    changes = await platform.table.changes(prefixes, Revision(0))
    heads = _decode_rows(changes, HEAD_PREFIX, Head)
    members = _decode_rows(changes, ROSTER_PREFIX, Member)
    leases_by_id = {row.entry_id: row for row in _decode_rows(changes, LEASE_PREFIX, LeaseRow)}
    past_by_key = await _read_past(platform, heads)
    partners = []
    for head in sorted(heads, key=lambda head: head.partner):
        partners.append(
            PartnerStatus(
                partner=head.partner,
                in_force=_version_status(head.partner, head.accepted, past_by_key),
                staged=_version_status(head.partner, head.staged, past_by_key),
                lagging=_find_lagging(head, members, leases_by_id),
            )
        )
    return Status(partners=tuple(partners), entries=len(members), now=changes.now)


async def wait_in_force(
    platform: Platform,
    partner: PartnerId,
    version: BundleVersion,
    timeout_s: float,
    clock: "Clock",
    on_status: t.Callable[[PartnerStatus], None],
) -> PartnerStatus:
    """Return once a submitted version, or one that followed it, is in force on every entry.

    :param timeout_s: seconds to wait at most; an outage of the platform within it is no error.
    :param clock: measures the wait.
    :param on_status: is told every status seen.
    :raises SubmitError: if time runs out, or another version took its place.
    """
    deadline = clock.monotonic() + timeout_s
    last: t.Optional[PartnerStatus] = None
    while True:
        seen = await _try_read(platform, partner)
        if seen is not None:
            last = seen
            on_status(seen)
            await _check_not_replaced(platform, seen, version)
            if _is_in_force(seen, version):
                return seen
        if clock.monotonic() >= deadline:
            raise _not_in_force(version, last)
        await asyncio.sleep(WAIT_POLL_S)


async def _try_read(platform: Platform, partner: PartnerId) -> t.Optional[PartnerStatus]:
    try:
        return (await read_status(platform)).partner(partner)
    except PlatformUnavailableError:
        return None


def _is_in_force(status: PartnerStatus, version: BundleVersion) -> bool:
    if status.in_force is None or status.in_force.version < version:
        return False
    return not any(lag.in_force < version for lag in status.lagging)


async def _check_not_replaced(
    platform: Platform, status: PartnerStatus, version: BundleVersion
) -> None:
    newer = status.staged
    if status.in_force is not None:
        if status.in_force.version == version:
            return
        if status.in_force.version > version:
            newer = status.in_force
    if newer is None or newer.version <= version:
        return
    key = history_key(status.partner, version)
    past = decode_history((await platform.table.read([key])).get(key))
    if past is not None and past.accepted_at is not None:
        return
    raise SubmitError(
        f"version {version} was replaced by {newer.version} of {newer.author} before it was in "
        "force",
        reason="replaced",
        by=msgspec.to_builtins(newer),
    )


def _not_in_force(version: BundleVersion, status: t.Optional[PartnerStatus]) -> SubmitError:
    lagging = status.lagging if status is not None else ()
    names = ", ".join(lag.text() for lag in lagging) or "none that the platform knows"
    return SubmitError(
        f"version {version} is not in force everywhere yet; lagging: {names}; it stays "
        "submitted, see `coralfall bundle status`",
        reason="not-in-force",
        version=version,
        lagging=msgspec.to_builtins(lagging),
    )


def _find_lagging(
    head: Head, members: t.Sequence[Member], leases_by_id: t.Mapping[EntryId, LeaseRow]
) -> t.Tuple[LaggingEntry, ...]:
    must_serve = 0 if head.accepted is None else head.accepted.version
    must_hold = must_serve if head.staged is None else head.staged.version
    lagging = []
    for member in sorted(members, key=lambda member: member.entry_id):
        lease = leases_by_id.get(member.entry_id)
        if lease is not None and lease.incarnation != member.incarnation:
            lease = None
        in_force = BundleVersion(0 if lease is None else lease.in_force.get(head.partner, 0))
        staged = BundleVersion(0 if lease is None else lease.staged.get(head.partner, 0))
        if in_force >= must_serve and staged >= must_hold:
            continue
        lagging.append(
            LaggingEntry(
                entry_id=member.entry_id,
                vm_id=member.vm_id,
                state=member.state,
                in_force=in_force,
                staged=staged,
            )
        )
    return tuple(lagging)


async def _read_past(platform: Platform, heads: t.Sequence[Head]) -> t.Dict[str, HistoryRow]:
    keys = []
    for head in heads:
        for ref in (head.accepted, head.staged):
            if ref is not None:
                keys.append(history_key(head.partner, ref.version))
    past_by_key = {}
    for key, row in (await platform.table.read(keys)).items():
        past = decode_history(row)
        if past is not None:
            past_by_key[key] = past
    return past_by_key


def _version_status(
    partner: PartnerId, ref: t.Optional[VersionRef], past_by_key: t.Mapping[str, HistoryRow]
) -> t.Optional[VersionStatus]:
    if ref is None:
        return None
    past = past_by_key.get(history_key(partner, ref.version))
    if past is None or past.digest != ref.digest:
        return VersionStatus(version=ref.version, digest=ref.digest)
    return VersionStatus(
        version=ref.version,
        digest=ref.digest,
        author=past.author,
        approver=past.approver,
        submitted_at=past.submitted_at,
        accepted_at=past.accepted_at,
    )


def _decode_rows(changes: Changes, prefix: str, model: t.Type[RowT]) -> t.List[RowT]:
    found = []
    for row in changes.rows:
        if row.value is None or not row.key.startswith(prefix):
            continue
        found.append(decode_row(row, model))
    return found
