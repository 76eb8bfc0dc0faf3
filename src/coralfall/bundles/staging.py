"""Fetches and verifies the bundles that heads name, with all their parts, before they count."""

import typing as t

from ..exceptions import CoralfallError, PeerError, PlatformError, SignatureError
from ..ids import Digest
from ..lookups.blocktable import BlockTable, load_block_table
from ..process import log
from ..stores.store import ObjectStore
from . import rules, signing
from .bundle import Bundle, VersionRef, digest_of
from .rollout import PartnerRollout

#: Gives the bytes of an object that a peer holds; raises ``PeerError`` if none does.
PeerFetch = t.Callable[[Digest], t.Awaitable[bytes]]


class Staged(t.NamedTuple):
    """A verified bundle with its block table built, so that it can be served under at once."""

    #: The encoded signed bundle, as the object store has it.
    data: bytes
    bundle: Bundle
    blocks: BlockTable


class Staging:
    """The bundles that an entry holds, by digest.

    A bundle counts as held only with its block table built, so that an acceptance asks for
    nothing that would have to be fetched.

    :param objects: the platform's object store.
    :param peer_fetch: asked when the object store can't give an object.
    :param trust: public keys by partner and key id.
    """

    def __init__(self, objects: ObjectStore, peer_fetch: PeerFetch, trust: signing.Trust) -> None:
        self._objects = objects
        self._peer_fetch = peer_fetch
        self._trust = trust
        self.by_digest: t.Dict[Digest, Staged] = {}

    async def fill(self, rollout: PartnerRollout) -> bool:
        """Fetch what the rollout's head names and is not held yet.

        What can't be had or verified is logged and passed over, and tried again by the next
        call; an accepted bundle that is not signed drops its head.

        :return: whether anything was added.
        """
        added = False
        for ref in rollout.missing():
            staged = self.by_digest.get(ref.digest)
            if staged is None:
                staged = await self._load(rollout, ref)
            if staged is None:
                continue
            rollout.hold(ref, staged.bundle)
            added = True
            log.info("rollout.held", partner=rollout.partner, version=ref.version)
        return added

    def forget_unnamed(self, rollouts: t.Iterable[PartnerRollout]) -> None:
        """Drop the bundles that no head names any more."""
        named: t.Set[Digest] = set()
        for rollout in rollouts:
            for ref in (rollout.head.accepted, rollout.head.staged):
                if ref is not None:
                    named.add(ref.digest)
        for digest in list(self.by_digest):
            if digest not in named:
                del self.by_digest[digest]

    def object_bytes(self, digest: Digest) -> t.Optional[bytes]:
        """Bytes of an object that this entry holds, for a peer that lacks it."""
        staged = self.by_digest.get(digest)
        if staged is not None:
            return staged.data
        for other in self.by_digest.values():
            data = other.blocks.object_bytes(digest)
            if data is not None:
                return data
        return None

    async def _load(self, rollout: PartnerRollout, ref: VersionRef) -> t.Optional[Staged]:
        try:
            data = await self._fetch(ref.digest)
            bundle = self._verify(data, ref, rollout)
            previous = self._newest_blocks(rollout)
            blocks = await load_block_table(bundle.chunks, bundle.sites, self._fetch, previous)
        except CoralfallError as error:
            log.warning(
                "rollout.not_held",
                partner=rollout.partner,
                version=ref.version,
                code=error.code,
                error=error.message,
            )
            if isinstance(error, SignatureError) and rollout.refuse(ref):
                log.error("rollout.head_refused", partner=rollout.partner, version=ref.version)
            return None
        staged = Staged(data, bundle, blocks)
        self.by_digest[ref.digest] = staged
        return staged

    def _verify(self, data: bytes, ref: VersionRef, rollout: PartnerRollout) -> Bundle:
        signed = signing.decode_signed(data)
        bundle = signing.verify(signed, self._trust[rollout.partner], rollout.partner)
        if bundle.version != ref.version:
            message = (
                f"the head names version {ref.version}, the bundle is {bundle.version}; "
                f"submit a bundle with a version above {bundle.version}"
            )
            raise SignatureError(message, field="version", reason="wrong-version")
        if ref == rollout.head.staged:
            # What was accepted stays in force, also by rules that came later.
            rules.require(bundle)
        return bundle

    def _newest_blocks(self, rollout: PartnerRollout) -> t.Optional[BlockTable]:
        for ref in (rollout.head.staged, rollout.head.accepted):
            if ref is not None and ref.digest in self.by_digest:
                return self.by_digest[ref.digest].blocks
        newest: t.Optional[Staged] = None
        for staged in self.by_digest.values():
            if staged.bundle.partner != rollout.partner:
                continue
            if newest is None or staged.bundle.version > newest.bundle.version:
                newest = staged
        return None if newest is None else newest.blocks

    async def _fetch(self, digest: Digest) -> bytes:
        try:
            data = await self._objects.get(digest)
        except PlatformError as error:
            data = await self._ask_peers(digest, error)
        if digest_of(data) != digest:
            raise PeerError(f"object {digest} came with other bytes; it is fetched anew")
        return data

    async def _ask_peers(self, digest: Digest, cause: PlatformError) -> bytes:
        try:
            return await self._peer_fetch(digest)
        except PeerError as error:
            raise error from cause
