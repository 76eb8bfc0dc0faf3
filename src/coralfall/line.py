"""A partner's line of versions: how a signed bundle is submitted, accepted and looked up.

A version number is staged once only: its history row must be absent and is written with the
head. So a version stands for one digest wherever it is named. A staged bundle is never taken
back; the next version replaces it, which entries that hold it take as any newer head.
"""

import asyncio
import typing as t

import msgspec

from . import chunks, diff, rules, signing
from .bundle import Bundle, Head, SignedBundle, VersionRef, digest_of, encode, short_digest
from .exceptions import (
    CoralfallError,
    PlatformError,
    PlatformUnknownError,
    SubmitError,
)
from .history import HistoryRow, decode_history, history_key, newest_version, read_history
from .ids import BundleVersion, Digest, PartnerId, RegionId, Revision, ServiceId
from .platform import Check, Platform, Write
from .rows import HEAD_PREFIX, decode_row, head_key

#: How often a submission reads the head and writes it before it gives up.
SUBMIT_ATTEMPTS = 5
#: Seconds between two attempts.
SUBMIT_PAUSE_S = 0.2
#: Most changes that the loser of a race is shown.
SHOWN_CHANGES = 20

Shares = t.Dict[ServiceId, t.Dict[RegionId, float]]


class HeadRow(t.NamedTuple):
    """A head with the revision that the next write must expect."""

    head: Head
    revision: Revision


async def read_heads(platform: Platform) -> t.Dict[PartnerId, HeadRow]:
    """Heads of all partners, by partner."""
    changes = await platform.table.changes([HEAD_PREFIX], Revision(0))
    heads = {}
    for row in changes.rows:
        if row.value is None:
            continue
        head = decode_row(row, Head)
        heads[head.partner] = HeadRow(head, row.revision)
    return heads


async def read_head(platform: Platform, partner: PartnerId) -> HeadRow:
    """A partner's head; an empty one at revision 0 if its line has not begun."""
    return (await _look(platform, partner, BundleVersion(0))).row


async def history(
    platform: Platform, partner: PartnerId, count: t.Optional[int] = None
) -> t.List[HistoryRow]:
    """Versions of a partner's line that were ever staged, oldest first.

    :param count: read only so many of the newest.
    """
    head = (await read_head(platform, partner)).head
    return await read_history(platform, head, count)


async def submit(
    platform: Platform,
    signed: SignedBundle,
    keys: signing.Trust,
    submission_id: str,
    objects: t.Optional[t.Mapping[Digest, bytes]] = None,
    replaces: t.Optional[Digest] = None,
) -> Head:
    """Stage a signed bundle as the next version of its partner's line.

    Submitting the same signed bundle again succeeds and changes nothing, as long as it is
    staged or in force.

    :param keys: who may sign, by partner.
    :param submission_id: a name that no other submission has.
    :param objects: pages and chunks of the block table, by digest.
    :param replaces: digest of the staged bundle that this one may take the place of.
    :return: the head after the submission.
    :raises SignatureError: if it is not signed by two operators of its partner.
    :raises BundleError: if it breaks a rule.
    :raises SubmitError: if it lost a race, is of the wrong version, or its fate is unknown.
    :raises PlatformUnavailableError: if the platform is down and nothing was staged.
    """
    bundle = signing.verify_any(signed, keys)
    rules.require(bundle)
    submission = _Submission(platform, signed, bundle, submission_id, replaces)
    return await submission.run(objects or {})


class _Look(t.NamedTuple):
    """A line as one read of the table showed it."""

    row: HeadRow
    #: History row of the version that was asked for.
    past: t.Optional[HistoryRow]
    #: Platform's wall time.
    now: float


async def _look(platform: Platform, partner: PartnerId, version: BundleVersion) -> _Look:
    keys = (head_key(partner), history_key(partner, version))
    changes = await platform.table.changes(keys, Revision(0))
    rows = {row.key: row for row in changes.rows}
    past = decode_history(rows.get(keys[1]))
    row = rows.get(keys[0])
    if row is None or row.value is None:
        return _Look(HeadRow(Head(partner=partner), Revision(0)), past, changes.now)
    head = decode_row(row, Head)
    return _Look(HeadRow(head, row.revision), past, changes.now)


class _Submission:
    """One call of :func:`submit`, from the first read to the settled answer."""

    def __init__(
        self,
        platform: Platform,
        signed: SignedBundle,
        bundle: Bundle,
        submission_id: str,
        replaces: t.Optional[Digest],
    ) -> None:
        self._platform = platform
        self._signed = signed
        self._bundle = bundle
        self._data = encode(signed)
        self._ref = VersionRef(version=bundle.version, digest=digest_of(self._data))
        self._submission_id = submission_id
        self._replaces = replaces
        #: Whether a write was sent of which no answer came.
        self._in_doubt = False

    async def run(self, objects: t.Mapping[Digest, bytes]) -> Head:
        look = await self._look()
        if self._is_done(look):
            return look.row.head
        await self._check_next(look)
        await self._put(look.row.head, objects)
        for _ in range(SUBMIT_ATTEMPTS):
            head = await self._attempt()
            if head is not None:
                return head
            await asyncio.sleep(SUBMIT_PAUSE_S)
        raise self._given_up()

    def _given_up(self) -> SubmitError:
        if not self._in_doubt:
            message = f"the head of {self._bundle.partner!r} keeps changing; run the command again"
            return SubmitError(message, reason="conflict")
        return SubmitError(
            f"whether version {self._ref.version} was staged is unknown; run the same command "
            "again to settle it",
            reason="unknown",
            submission=self._submission_id,
        )

    async def _attempt(self) -> t.Optional[Head]:
        """The head once the bundle is staged, ``None`` if that is not known yet.

        Every attempt reads first. A write whose answer was lost is sent again only while the
        head still has the revision that the lost one expected, so at most one of the two can
        take effect, however late the first arrives.
        """
        try:
            look = await self._look()
            if self._is_done(look):
                return look.row.head
            await self._check_next(look)
            return await self._stage(look)
        except PlatformUnknownError:
            self._in_doubt = True
        except PlatformError:
            if not self._in_doubt:
                raise
        return None

    async def _look(self) -> _Look:
        return await _look(self._platform, self._bundle.partner, self._ref.version)

    def _is_done(self, look: _Look) -> bool:
        if self._ref in (look.row.head.staged, look.row.head.accepted):
            return True
        past = look.past
        return past is not None and past.submission == self._submission_id

    async def _stage(self, look: _Look) -> t.Optional[Head]:
        head = msgspec.structs.replace(
            look.row.head, staged=self._ref, submission=self._submission_id
        )
        past = self._history_row(look.now)
        writes = [
            Write(head_key(head.partner), encode(head), look.row.revision),
            Write(
                history_key(past.partner, past.version), msgspec.msgpack.encode(past), Revision(0)
            ),
        ]
        result = await self._platform.table.transact(writes)
        return head if result.committed else None

    def _history_row(self, now: float) -> HistoryRow:
        author, approver = self._signed.author, self._signed.approver
        assert author is not None and approver is not None, "verified before"
        return HistoryRow(
            partner=self._bundle.partner,
            version=self._ref.version,
            digest=self._ref.digest,
            author=author.key_id,
            approver=approver.key_id,
            submission=self._submission_id,
            submitted_at=now,
        )

    async def _check_next(self, look: _Look) -> None:
        head = look.row.head
        newest = newest_version(head)
        if look.past is not None and look.past.digest != self._ref.digest:
            raise await self._lost(look.past)
        if self._ref.version <= newest:
            raise self._old(newest)
        if self._ref.version != newest + 1:
            raise self._gap(newest)
        if head.staged is not None and head.staged.digest != self._replaces:
            raise await self._must_wait(head.staged)

    async def _lost(self, winner: HistoryRow) -> SubmitError:
        changes = await self._differences(winner.digest)
        return SubmitError(
            f"version {winner.version} was taken by {winner.author}'s bundle "
            f"{short_digest(winner.digest)}, which differs in {_count(changes)} places; set "
            f"version = {winner.version + 1} in the draft and sign it anew",
            reason="lost-race",
            field="version",
            winner=msgspec.to_builtins(winner),
            differs=_texts(changes),
        )

    async def _must_wait(self, staged: VersionRef) -> SubmitError:
        changes = await self._differences(staged.digest)
        return SubmitError(
            f"version {staged.version} ({short_digest(staged.digest)}) is staged and not in "
            f"force yet, and differs in {_count(changes)} places; wait for it, or replace it by "
            f"--replace {short_digest(staged.digest)}",
            reason="staged-first",
            field="version",
            staged=msgspec.to_builtins(staged),
            differs=_texts(changes),
        )

    def _old(self, newest: BundleVersion) -> SubmitError:
        return SubmitError(
            f"version {self._ref.version} is an old one; the line is at {newest}: set version = "
            f"{newest + 1} in the draft and sign it anew",
            reason="old-version",
            field="version",
            newest=newest,
        )

    def _gap(self, newest: BundleVersion) -> SubmitError:
        return SubmitError(
            f"version {self._ref.version} does not follow {newest}; set version = {newest + 1} "
            "in the draft and sign it anew",
            reason="version-gap",
            field="version",
            newest=newest,
        )

    async def _differences(self, digest: Digest) -> t.Optional[t.List[diff.Change]]:
        """Changes from the bundle under ``digest`` to ours, if it can be read."""
        try:
            other = await fetch_bundle(self._platform, digest)
        except CoralfallError:
            return None
        return diff.diff_bundles(other, self._bundle)

    async def _put(self, head: Head, objects: t.Mapping[Digest, bytes]) -> None:
        missing = await self._missing(head, objects)
        missing[self._ref.digest] = self._data
        for digest, data in missing.items():
            if digest_of(data) != digest:
                message = f"object {short_digest(digest)} has other bytes; sign the draft anew"
                raise SubmitError(message, reason="wrong-object", field="blocks")
            await self._put_one(digest, data)

    async def _missing(
        self, head: Head, objects: t.Mapping[Digest, bytes]
    ) -> t.Dict[Digest, bytes]:
        old = None
        if head.accepted is not None and self._bundle.chunks:
            old = await fetch_bundle(self._platform, head.accepted.digest)
        try:
            return await chunks.missing_chunks(self._platform.objects, old, self._bundle, objects)
        except KeyError as error:
            message = f"block table object {error.args[0]} is not given; sign the draft anew"
            raise SubmitError(message, reason="missing-object", field="blocks") from error

    async def _put_one(self, digest: Digest, data: bytes) -> None:
        for _ in range(SUBMIT_ATTEMPTS):
            try:
                await self._platform.objects.put(digest, data)
            except PlatformUnknownError:
                await asyncio.sleep(SUBMIT_PAUSE_S)
                continue
            return
        message = "the object store does not answer; nothing was staged, run the command again"
        raise SubmitError(message, reason="not-stored")


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


def _count(changes: t.Optional[t.Sequence[diff.Change]]) -> str:
    return "unknown" if changes is None else str(len(changes))


def _texts(changes: t.Optional[t.Sequence[diff.Change]]) -> t.List[str]:
    return [change.text() for change in (changes or ())[:SHOWN_CHANGES]]
