"""A partner's line of versions on the platform: its head, its history, and how it moves on.

A line here is the sequence of one partner's bundle versions; the line of planned shares is
:mod:`coralfall.balancing.shift`. A version number is staged once only: its history row must be
absent and
is written with the head. So a version stands for one digest wherever it is named. A staged
bundle is never taken back; the next version replaces it, which entries that hold it take as any
newer head. :mod:`coralfall.bundles.submission` stages a version.
"""

import typing as t

import msgspec

from ..cluster.rows import HEAD_PREFIX, decode_row, head_key
from ..exceptions import PlatformError, PlatformUnknownError, SubmitError
from ..ids import BundleVersion, Digest, PartnerId, RegionId, Revision, ServiceId
from ..stores.store import Check, Platform, Write
from . import signing
from .bundle import Bundle, Head, VersionRef, encode
from .history import HistoryRow, decode_history, history_key, read_history

#: Shares of a service's requests by region, as the head keeps them.
Shares = t.Dict[ServiceId, t.Dict[RegionId, float]]


class HeadRow(t.NamedTuple):
    """A head with the revision that the next write must expect."""

    head: Head
    revision: Revision


class LineView(t.NamedTuple):
    """A partner's line as one read of the table showed it."""

    row: HeadRow
    #: History row of the version that was asked for.
    past: t.Optional[HistoryRow]
    #: Platform's wall time.
    now: float


async def read_line(platform: Platform, partner: PartnerId, version: BundleVersion) -> LineView:
    """A partner's head together with the history row of one version.

    :raises PlatformError: if they can't be read.
    """
    keys = (head_key(partner), history_key(partner, version))
    changes = await platform.table.changes(keys, Revision(0))
    rows = {row.key: row for row in changes.rows}
    past = decode_history(rows.get(keys[1]))
    row = rows.get(keys[0])
    if row is None or row.value is None:
        return LineView(HeadRow(Head(partner=partner), Revision(0)), past, changes.now)
    head = decode_row(row, Head)
    return LineView(HeadRow(head, row.revision), past, changes.now)


async def read_heads(platform: Platform) -> t.Dict[PartnerId, HeadRow]:
    """Heads of all partners, by partner.

    :raises PlatformError: if they can't be read.
    """
    changes = await platform.table.changes([HEAD_PREFIX], Revision(0))
    heads = {}
    for row in changes.rows:
        if row.value is None:
            continue
        head = decode_row(row, Head)
        heads[head.partner] = HeadRow(head, row.revision)
    return heads


async def read_head(platform: Platform, partner: PartnerId) -> HeadRow:
    """A partner's head; an empty one at revision 0 if its line has not begun.

    :raises PlatformError: if it can't be read.
    """
    return (await read_line(platform, partner, BundleVersion(0))).row


async def history(
    platform: Platform, partner: PartnerId, count: t.Optional[int] = None
) -> t.List[HistoryRow]:
    """Versions of a partner's line that were ever staged, oldest first.

    :param count: read only so many of the newest.
    :raises PlatformError: if they can't be read.
    """
    head = (await read_head(platform, partner)).head
    return await read_history(platform, head, count)


async def fetch_bundle(platform: Platform, digest: Digest) -> Bundle:
    """The bundle in the object store under ``digest``, whose signatures are not looked at.

    :raises PlatformError: if it can't be had.
    :raises SignatureError: if it is not a bundle.
    """
    return signing.decode_payload(signing.decode_signed(await platform.objects.get(digest)).payload)


async def accept(
    platform: Platform,
    head: Head,
    revision: Revision,
    shares: Shares,
    now: float,
    checks: t.Sequence[Check] = (),
) -> Head:
    """Move a partner's staged bundle to accepted; for the coordinator.

    :param head: as it was when every entry was seen to have staged the bundle.
    :param revision: of the head's row.
    :param shares: where each service's shares stand at ``now``.
    :param now: platform's wall time.
    :param checks: rows that must not have changed, such as the coordinator's own.
    :return: the head as accepted.
    :raises SubmitError: if the head or one of ``checks`` has changed; nothing was written.
    :raises PlatformUnavailableError: if the platform is down; nothing was written.
    :raises PlatformUnknownError: if the answer was lost and reading back did not settle it;
        the call may be repeated with the same ``revision``.
    """
    if head.staged is None:
        raise SubmitError(f"nothing of {head.partner!r} is staged", reason="nothing-staged")
    accepted = msgspec.structs.replace(
        head, accepted=head.staged, staged=None, accepted_at=now, shares_at_accept=shares
    )
    writes = [Write(head_key(head.partner), encode(accepted), revision)]
    writes += await _history_writes(platform, head.partner, head.staged, now)
    try:
        result = await platform.table.transact(writes, checks)
    except PlatformUnknownError:
        return await _settle_accept(platform, accepted, revision)
    if not result.committed:
        raise _conflict(head.partner)
    return accepted


async def _history_writes(
    platform: Platform, partner: PartnerId, ref: VersionRef, now: float
) -> t.List[Write]:
    key = history_key(partner, ref.version)
    row = (await platform.table.read([key])).get(key)
    past = decode_history(row)
    if row is None or past is None:
        return []
    past = msgspec.structs.replace(past, accepted_at=now)
    return [Write(key, msgspec.msgpack.encode(past), row.revision)]


async def _settle_accept(platform: Platform, accepted: Head, revision: Revision) -> Head:
    try:
        found = await read_head(platform, accepted.partner)
    except PlatformError as error:
        message = "whether the bundle was accepted is unknown; read the head again"
        raise PlatformUnknownError(message) from error
    if found.revision == revision:
        message = "the bundle is not accepted yet, and the write may still arrive"
        raise PlatformUnknownError(message)
    ours = (accepted.accepted, accepted.accepted_at)
    if (found.head.accepted, found.head.accepted_at) != ours:
        raise _conflict(accepted.partner)
    return found.head


def _conflict(partner: PartnerId) -> SubmitError:
    message = f"the head of {partner!r} or a row it depends on has changed; read it again"
    return SubmitError(message, reason="conflict")
