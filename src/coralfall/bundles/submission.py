"""The submission of a signed bundle: staged as its partner's next version, or told why not."""

import asyncio
import typing as t

import msgspec

from ..cluster.rows import head_key
from ..exceptions import CoralfallError, PlatformError, PlatformUnknownError, SubmitError
from ..ids import BundleVersion, Digest, Revision
from ..lookups import chunks
from ..stores.store import Platform, Write
from . import diff, rules, signing
from .bundle import Bundle, Head, SignedBundle, VersionRef, digest_of, encode, short_digest
from .history import HistoryRow, history_key, newest_version
from .line import LineView, fetch_bundle, read_line

#: How often a submission reads the head and writes it before it gives up.
SUBMIT_ATTEMPTS = 5
#: Seconds between two attempts.
SUBMIT_PAUSE_S = 0.2
#: Most changes that the loser of a race is shown.
SHOWN_CHANGES = 20


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
        view = await self._read()
        if self._is_done(view):
            return view.row.head
        await self._check_next(view)
        await self._put(view.row.head, objects)
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
            view = await self._read()
            if self._is_done(view):
                return view.row.head
            await self._check_next(view)
            return await self._stage(view)
        except PlatformUnknownError:
            self._in_doubt = True
        except PlatformError:
            if not self._in_doubt:
                raise
        return None

    async def _read(self) -> LineView:
        return await read_line(self._platform, self._bundle.partner, self._ref.version)

    def _is_done(self, view: LineView) -> bool:
        if self._ref in (view.row.head.staged, view.row.head.accepted):
            return True
        past = view.past
        return past is not None and past.submission == self._submission_id

    async def _stage(self, view: LineView) -> t.Optional[Head]:
        head = msgspec.structs.replace(
            view.row.head, staged=self._ref, submission=self._submission_id
        )
        past = self._history_row(view.now)
        writes = [
            Write(head_key(head.partner), encode(head), view.row.revision),
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

    async def _check_next(self, view: LineView) -> None:
        head = view.row.head
        newest = newest_version(head)
        if view.past is not None and view.past.digest != self._ref.digest:
            raise await self._lost(view.past)
        if self._ref.version <= newest:
            problem = f"is an old one; the line is at {newest}:"
            raise self._wrong_number("old-version", problem, newest)
        if self._ref.version != newest + 1:
            problem = f"does not follow {newest};"
            raise self._wrong_number("version-gap", problem, newest)
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

    def _wrong_number(self, reason: str, problem: str, newest: BundleVersion) -> SubmitError:
        return SubmitError(
            f"version {self._ref.version} {problem} set version = {newest + 1} in the draft and "
            "sign it anew",
            reason=reason,
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


def _count(changes: t.Optional[t.Sequence[diff.Change]]) -> str:
    return "unknown" if changes is None else str(len(changes))


def _texts(changes: t.Optional[t.Sequence[diff.Change]]) -> t.List[str]:
    return [change.text() for change in (changes or ())[:SHOWN_CHANGES]]
