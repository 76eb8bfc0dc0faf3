"""History rows: what became of each version of a partner's line."""

import typing as t

import msgspec

from ..cluster.rows import decode_row
from ..ids import BundleVersion, Digest, KeyId, PartnerId
from ..stores.store import Platform, Row
from .bundle import Head

HISTORY_PREFIX = "history/"
#: Most history rows that one call to the platform reads.
PAGE_ROWS = 500


class HistoryRow(msgspec.Struct, frozen=True, kw_only=True):
    """What became of one version; written with the head, in the same transaction."""

    partner: PartnerId
    version: BundleVersion
    digest: Digest
    author: KeyId
    approver: KeyId
    #: Names the submission, so that a lost answer can be settled.
    submission: str
    #: Platform's wall time.
    submitted_at: float
    #: Platform's wall time; ``None`` if the version was never accepted.
    accepted_at: t.Optional[float] = None


def history_key(partner: PartnerId, version: BundleVersion) -> str:
    """Key of a version's history row; keys sort as versions do."""
    return f"{HISTORY_PREFIX}{partner}/{version:016d}"


def decode_history(row: t.Optional[Row]) -> t.Optional[HistoryRow]:
    """The history row in ``row``, if there is one.

    :raises PlatformError: if it is something else.
    """
    if row is None or row.value is None:
        return None
    return decode_row(row, HistoryRow)


async def read_history(
    platform: Platform, head: Head, count: t.Optional[int] = None
) -> t.List[HistoryRow]:
    """Versions of a partner's line that were ever staged, oldest first.

    Versions follow each other without gaps, so the rows are read by key, without a scan.

    :param head: names the newest version.
    :param count: read only so many of the newest.
    :raises PlatformError: if they can't be read.
    """
    newest = newest_version(head)
    first = 1 if count is None else max(1, newest - count + 1)
    found = []
    for start in range(first, newest + 1, PAGE_ROWS):
        versions = range(start, min(start + PAGE_ROWS, newest + 1))
        keys = [history_key(head.partner, BundleVersion(version)) for version in versions]
        rows = await platform.table.read(keys)
        for key in keys:
            past = decode_history(rows.get(key))
            if past is not None:
                found.append(past)
    return found


def newest_version(head: Head) -> BundleVersion:
    """Version that was staged last, accepted or not; 0 if none was."""
    newest = head.staged or head.accepted
    return BundleVersion(0) if newest is None else newest.version
