"""A partner's line of versions: how a signed bundle is submitted, accepted and looked up."""

import typing as t

import msgspec

from . import diff, rules, signing
from .bundle import Bundle, Head, SignedBundle, VersionRef, digest_of, encode
from .exceptions import BundleError, PlatformError, PlatformUnknownError, SubmitError
from .ids import BundleVersion, Digest, KeyId, PartnerId, RegionId, Revision, ServiceId
from .platform import Check, Platform, Row, Write
from .rows import HEAD_PREFIX, head_key

HISTORY_PREFIX = "history/"
#: How often a write whose answer was lost is settled before the operator is asked to.
SETTLE_ATTEMPTS = 5
#: Most changes that the loser of a race is shown.
SHOWN_CHANGES = 20

Shares = t.Dict[ServiceId, t.Dict[RegionId, float]]


class HeadRow(t.NamedTuple):
    """A head with the revision that the next write must expect."""

    head: Head
    revision: Revision


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
    accepted_at: t.Optional[float] = None


def history_key(partner: PartnerId, version: BundleVersion) -> str:
    """Key of a version's history row; keys sort as versions do."""
    return f"{HISTORY_PREFIX}{partner}/{version:016d}"


async def read_heads(platform: Platform) -> t.Dict[PartnerId, HeadRow]:
    """Heads of all partners, by partner."""
    changes = await platform.table.changes([HEAD_PREFIX], Revision(0))
    heads = {}
    for row in changes.rows:
        if row.value is None:
            continue
        head_row = _decode_head(row)
        heads[head_row.head.partner] = head_row
    return heads


async def read_head(platform: Platform, partner: PartnerId) -> HeadRow:
    """A partner's head; an empty one at revision 0 if its line has not begun."""
    key = head_key(partner)
    row = (await platform.table.read([key])).get(key)
    if row is None:
        return HeadRow(Head(partner=partner), Revision(0))
    if row.value is None:
        return HeadRow(Head(partner=partner), row.revision)
    return _decode_head(row)


async def history(platform: Platform, partner: PartnerId) -> t.List[HistoryRow]:
    """All versions of a partner's line that were ever staged, oldest first."""
    prefix = f"{HISTORY_PREFIX}{partner}/"
    changes = await platform.table.changes([prefix], Revision(0))
    rows = [_decode_history(row) for row in changes.rows if row.value is not None]
    return sorted(rows, key=lambda row: row.version)


async def submit(
    platform: Platform,
    signed: SignedBundle,
    keys: signing.Trust,
    submission_id: str,
    objects: t.Mapping[Digest, bytes] = {},
    replaces: t.Optional[Digest] = None,
) -> Head:
    """Stage a signed bundle as the next version of its partner's line.

    Submitting the same signed bundle again succeeds and changes nothing.

    :param keys: who may sign, by partner.
    :param submission_id: a name that no other submission has.
    :param objects: pieces of the block table, by digest.
    :param replaces: digest of the staged bundle that this one takes the place of.
    :return: the head after the submission.
    :raises SignatureError: if it is not signed by two operators of its partner.
    :raises BundleError: if it breaks a rule.
    :raises SubmitError: if it lost a race, is of the wrong version, or its fate is unknown.
    """
    bundle = signing.verify_any(signed, keys)
    faults = [finding.fault for finding in rules.find_faults(bundle)]
    if faults:
        raise BundleError(f"{faults[0].path}: {faults[0].message}", faults)
    submission = _Submission(platform, signed, bundle, submission_id, replaces)
    return await submission.run(objects)


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

    async def run(self, objects: t.Mapping[Digest, bytes]) -> Head:
        row = await read_head(self._platform, self._bundle.partner)
        if self._is_taken(row.head):
            return row.head
        await self._check_next(row.head)
        await self._put(objects)
        return await self._stage(row)

    def _is_taken(self, head: Head) -> bool:
        return self._ref in (head.staged, head.accepted)

    async def _check_next(self, head: Head) -> None:
        newest = head.staged or head.accepted
        version = newest.version if newest is not None else 0
        if head.staged is not None and head.staged.digest != self._replaces:
            raise await self._lost(head.staged)
        if self._ref.version <= version:
            raise await self._behind(version)
        if self._ref.version != version + 1:
            raise SubmitError(
                f"version {self._ref.version} does not follow {version}; set version = "
                f"{version + 1} in the draft and sign it anew",
                reason="version-gap",
                field="version",
                newest=version,
            )

    async def _lost(self, winner: VersionRef) -> SubmitError:
        author, changes = await self._describe(winner)
        shown = [change.text() for change in changes[:SHOWN_CHANGES]]
        return SubmitError(
            f"version {winner.version} by {author} is staged ({winner.digest[:12]}); it differs "
            f"in {len(changes)} places; wait until it is in force, or replace it by version "
            f"{winner.version + 1}",
            reason="lost-race",
            field="version",
            version=winner.version,
            digest=winner.digest,
            author=author,
            differs=shown,
        )

    async def _describe(self, winner: VersionRef) -> t.Tuple[str, t.List[diff.Change]]:
        try:
            data = await self._platform.objects.get(winner.digest)
        except PlatformError:
            return "an author that can't be read now", []
        signed = msgspec.msgpack.decode(data, type=SignedBundle)
        bundle = signing.decode_payload(signed.payload)
        author = str(signed.author.key_id) if signed.author is not None else "nobody"
        return author, diff.diff_bundles(bundle, self._bundle)

    async def _behind(self, newest: int) -> SubmitError:
        return SubmitError(
            f"version {self._ref.version} is not above {newest}, the newest of its line; set "
            f"version = {newest + 1} in the draft and sign it anew",
            reason="old-version",
            field="version",
            newest=newest,
        )

    async def _put(self, objects: t.Mapping[Digest, bytes]) -> None:
        for chunk in self._bundle.chunks:
            data = objects.get(chunk.digest)
            if data is None:
                await self._platform.objects.get(chunk.digest)
                continue
            await self._platform.objects.put(chunk.digest, data)
        await self._platform.objects.put(self._ref.digest, self._data)

    async def _stage(self, row: HeadRow) -> Head:
        for _ in range(SETTLE_ATTEMPTS):
            head, writes = await self._writes(row)
            try:
                result = await self._platform.table.transact(writes)
            except PlatformUnknownError:
                result = None
            if result is not None and result.committed:
                return head
            settled = await self._settle(row)
            if settled is not None:
                return settled
        raise SubmitError(
            "whether the bundle was staged is unknown; run the same command again",
            reason="unknown",
            submission=self._submission_id,
        )

    async def _writes(self, row: HeadRow) -> t.Tuple[Head, t.List[Write]]:
        head = msgspec.structs.replace(row.head, staged=self._ref, submission=self._submission_id)
        assert self._signed.author is not None and self._signed.approver is not None
        past = HistoryRow(
            partner=head.partner,
            version=self._ref.version,
            digest=self._ref.digest,
            author=self._signed.author.key_id,
            approver=self._signed.approver.key_id,
            submission=self._submission_id,
            submitted_at=await _platform_now(self._platform, head.partner),
        )
        past_key = history_key(head.partner, self._ref.version)
        return head, [
            Write(head_key(head.partner), encode(head), row.revision),
            Write(past_key, msgspec.msgpack.encode(past), Revision(0)),
        ]

    async def _settle(self, row: HeadRow) -> t.Optional[Head]:
        """The head if our write took effect, ``None`` if the same write may be sent again.

        Sending it again is safe: it expects the same revision, so that at most one of the
        two can take effect, however late the first arrives.
        """
        now = await read_head(self._platform, self._bundle.partner)
        if now.revision == row.revision:
            return None
        if now.head.submission == self._submission_id or self._is_taken(now.head):
            return now.head
        if await self._was_staged():
            return now.head
        await self._check_next(now.head)
        newest = now.head.staged or now.head.accepted
        raise await self._behind(newest.version if newest is not None else 0)

    async def _was_staged(self) -> bool:
        key = history_key(self._bundle.partner, self._ref.version)
        row = (await self._platform.table.read([key])).get(key)
        if row is None or row.value is None:
            return False
        return _decode_history(row).submission == self._submission_id


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
    :return: the head as written.
    :raises SubmitError: if the head or one of ``checks`` has changed; nothing was written.
    :raises PlatformUnknownError: if the answer was lost and reading back did not settle it;
        the call may be repeated with the same ``revision``.
    """
    if head.staged is None:
        raise SubmitError(f"nothing of {head.partner!r} is staged", reason="nothing-staged")
    accepted = msgspec.structs.replace(
        head, accepted=head.staged, staged=None, accepted_at=now, shares_at_accept=shares
    )
    writes = [Write(head_key(head.partner), encode(accepted), revision)]
    writes += await _history_accepted(platform, head.partner, head.staged, now)
    try:
        result = await platform.table.transact(writes, checks)
    except PlatformUnknownError:
        found = await read_head(platform, head.partner)
        if found.head == accepted:
            return accepted
        if found.revision == revision:
            raise
        raise _changed(head.partner) from None
    if not result.committed:
        raise _changed(head.partner)
    return accepted


def _changed(partner: PartnerId) -> SubmitError:
    message = f"the head of {partner!r} or a row it depends on has changed; read it again"
    return SubmitError(message, reason="conflict")


async def _history_accepted(
    platform: Platform, partner: PartnerId, ref: VersionRef, now: float
) -> t.List[Write]:
    key = history_key(partner, ref.version)
    row = (await platform.table.read([key])).get(key)
    if row is None or row.value is None:
        return []
    past = msgspec.structs.replace(_decode_history(row), accepted_at=now)
    return [Write(key, msgspec.msgpack.encode(past), row.revision)]


async def _platform_now(platform: Platform, partner: PartnerId) -> float:
    return (await platform.table.changes([head_key(partner)], Revision(0))).now


def _decode_head(row: Row) -> HeadRow:
    return HeadRow(msgspec.msgpack.decode(row.value or b"", type=Head), row.revision)


def _decode_history(row: Row) -> HistoryRow:
    return msgspec.msgpack.decode(row.value or b"", type=HistoryRow)
