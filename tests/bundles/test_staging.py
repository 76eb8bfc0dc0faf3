"""Bundles that an entry fetches, verifies and holds, whatever the store and peers give."""

import asyncio
import typing as t
import unittest
import unittest.mock

from parameterized import parameterized

from coralfall.bundles import staging
from coralfall.bundles.bundle import Bundle, Head, SignedBundle, VersionRef, digest_of, encode
from coralfall.bundles.rollout import PartnerRollout
from coralfall.bundles.signing import Role, sign
from coralfall.exceptions import (
    ObjectMissingError,
    PeerUnreachableError,
    PlatformUnavailableError,
)
from coralfall.ids import Digest, Revision, SiteId
from coralfall.lookups import chunks
from coralfall.lookups.blocks import Block, Family
from coralfall.stores.store import ObjectStore
from tests import operators

Objects = t.Dict[Digest, bytes]
BLOCKS = [Block(Family.IPV4, number << 8, 24, SiteId("sierra-1")) for number in range(8)]
BUILT = chunks.build_chunks(BLOCKS, 4)
PAGE = BUILT.refs[0].digest
CHUNK = next(digest for digest in BUILT.objects_by_digest if digest != PAGE)
NEVER = Digest("0" * 64)


class Source(ObjectStore):
    """An object store, or the peers, with what it holds and what was asked of it."""

    def __init__(self) -> None:
        self.by_digest: Objects = {}
        self.asked: t.List[Digest] = []
        self.down = False

    async def put(self, digest: Digest, data: bytes) -> None:
        raise NotImplementedError

    async def get(self, digest: Digest) -> bytes:
        self.asked.append(digest)
        if self.down:
            raise PlatformUnavailableError("the store is down")
        if digest not in self.by_digest:
            raise ObjectMissingError("the store has no such object")
        return self.by_digest[digest]

    async def get_as_peer(self, digest: Digest) -> bytes:
        self.asked.append(digest)
        if digest not in self.by_digest:
            raise PeerUnreachableError("no peer has it")
        return self.by_digest[digest]


def signed_bundle(version: int, **changes: t.Any) -> SignedBundle:
    return operators.sign_bundle(operators.make_bundle(version, chunks=BUILT.refs, **changes))


def author_only(bundle: Bundle) -> SignedBundle:
    return sign(SignedBundle(payload=encode(bundle)), Role.AUTHOR, operators.ANA)


SOUND = encode(signed_bundle(2))
UNSIGNED = encode(SignedBundle(payload=encode(operators.make_bundle(2))))
RULE_BROKEN = encode(signed_bundle(2, slots=0))


class StagingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store, self.peers = Source(), Source()
        self.staging = staging.Staging(self.store, self.peers.get_as_peer, operators.TRUST)
        self.rollout = PartnerRollout(operators.COSECHA)
        self.revision = 0
        log = unittest.mock.patch.object(staging, "log")
        self.warning = log.start().warning
        self.addCleanup(log.stop)

    def name(self, data: bytes, version: int, accepted: bool) -> None:
        """Make the head name an object, beside version 1 in force if it is staged only."""
        ref = VersionRef(version=version, digest=digest_of(data))
        in_force = ref if accepted else self.rollout.head.accepted
        staged = None if accepted else ref
        head = Head(partner=operators.COSECHA, accepted=in_force, staged=staged)
        self.revision += 1
        self.rollout.learn_from_table(head, Revision(self.revision))

    def hold_first(self) -> None:
        """Have version 1 in force and held."""
        data = encode(signed_bundle(1))
        self.store.by_digest = {digest_of(data): data, **BUILT.objects_by_digest}
        self.name(data, 1, accepted=True)
        self.assertTrue(self.fill())
        self.store.asked.clear()

    def fill(self) -> bool:
        return asyncio.run(self.staging.fill(self.rollout))

    def codes(self) -> t.List[str]:
        """Error codes in the warnings so far."""
        return [call.kwargs["code"] for call in self.warning.call_args_list]


class SourceTest(StagingTest):
    OBJECTS: t.ClassVar[Objects] = {digest_of(SOUND): SOUND, **BUILT.objects_by_digest}

    @parameterized.expand(
        [
            ("store", set(), False, set(), []),
            ("store_down", set(), True, set(OBJECTS), []),
            ("bundle_not_in_store", {digest_of(SOUND)}, False, {digest_of(SOUND)}, []),
            ("chunk_not_in_store", {CHUNK}, False, {CHUNK}, []),
            ("nowhere", set(OBJECTS), False, set(), ["peer-unreachable"]),
            ("page_nowhere", {PAGE}, False, set(), ["peer-unreachable"]),
            ("chunk_nowhere", {CHUNK}, False, set(), ["peer-unreachable"]),
            ("peers_lack_the_page", set(), True, set(OBJECTS) - {PAGE}, ["peer-unreachable"]),
        ]
    )
    def test_peers_give_what_the_store_does_not(
        self,
        _name: str,
        not_stored: t.Set[Digest],
        down: bool,
        at_peers: t.Set[Digest],
        codes: t.List[str],
    ) -> None:
        for digest, data in self.OBJECTS.items():
            if digest not in not_stored:
                self.store.by_digest[digest] = data
            if digest in at_peers:
                self.peers.by_digest[digest] = data
        self.store.down = down
        self.name(SOUND, 2, accepted=True)
        self.assertEqual((self.fill(), self.codes()), (not codes, codes))
        self.assertEqual(self.rollout.holds_accepted(), not codes)
        self.assertEqual(self.rollout.head.accepted.digest, digest_of(SOUND))
        if codes:
            self.store.down, self.store.by_digest = False, dict(self.OBJECTS)
            self.assertTrue(self.fill())
            return
        self.assertEqual(set(self.peers.asked), at_peers)

    @parameterized.expand(
        [
            ("bundle_from_store", digest_of(SOUND), False),
            ("bundle_from_peer", digest_of(SOUND), True),
            ("page_from_store", PAGE, False),
            ("chunk_from_peer", CHUNK, True),
        ]
    )
    def test_bytes_of_another_digest_are_not_held(
        self, _name: str, digest: Digest, by_peer: bool
    ) -> None:
        source = self.peers if by_peer else self.store
        source.by_digest = {**self.OBJECTS, digest: self.OBJECTS[digest] + b"x"}
        self.store.down = by_peer
        self.name(SOUND, 2, accepted=True)
        self.assertEqual((self.fill(), self.codes()), (False, ["peer"]))
        # The bundle may be sound, so the head stays and the object is asked for again.
        self.assertEqual(len(self.rollout.missing()), 1)
        source.by_digest = dict(self.OBJECTS)
        self.assertTrue(self.fill())


class ContentTest(StagingTest):
    #: Bytes, code of the warning, whether an accepted one is held, whether the head is dropped.
    @parameterized.expand(
        [
            ("sound", SOUND, "", True, False),
            ("unsigned", UNSIGNED, "signature", False, True),
            (
                "one_signature",
                encode(author_only(operators.make_bundle(2))),
                "signature",
                False,
                True,
            ),
            (
                "other_partners_operators",
                encode(
                    operators.sign_bundle(operators.make_bundle(2), operators.DANI, operators.EVA)
                ),
                "signature",
                False,
                True,
            ),
            ("other_version", encode(signed_bundle(3)), "signature", False, True),
            ("no_bundle", b"\xc1", "signature", False, True),
            ("not_utf8", SOUND.replace(b"ana", b"a\xffa"), "signature", False, True),
            ("rule_broken", RULE_BROKEN, "bundle", True, False),
            ("no_such_site", encode(signed_bundle(2, sites={})), "bundle", False, False),
        ]
    )
    def test_bundle_counts_only_if_signed_and_by_the_rules(
        self, _name: str, data: bytes, code: str, held_accepted: bool, dropped: bool
    ) -> None:
        for accepted in (False, True):
            with self.subTest(accepted=accepted):
                self.setUp()
                self.hold_first()
                self.store.by_digest[digest_of(data)] = data
                self.name(data, 2, accepted)
                held = held_accepted if accepted else not code
                self.assertEqual(self.fill(), held)
                self.assertEqual(self.codes(), [] if held else [code])
                kept = not (accepted and dropped)
                # One that must be in force and can't be held leaves nothing to serve under.
                unheld_version = 0 if accepted and kept else 1
                self.assertEqual(self.rollout.staged_version(), 2 if held else unheld_version)
                named = (self.rollout.head.accepted, self.rollout.head.staged)
                self.assertEqual(digest_of(data) in {ref.digest for ref in named if ref}, kept)


class HeldTest(StagingTest):
    def test_what_is_held_is_not_fetched_again(self) -> None:
        self.hold_first()
        self.assertFalse(self.fill())
        self.store.by_digest[digest_of(SOUND)] = SOUND
        self.name(SOUND, 2, accepted=False)
        self.assertTrue(self.fill())
        # Its blocks are those of version 1.
        self.assertEqual(self.store.asked, [digest_of(SOUND)])

    def test_peers_get_what_a_head_names(self) -> None:
        self.hold_first()
        first = self.rollout.head.accepted.digest
        objects = {first: self.store.by_digest[first], **BUILT.objects_by_digest}
        for digest, data in objects.items():
            self.assertEqual(self.staging.object_bytes(digest), data)
        self.assertIsNone(self.staging.object_bytes(NEVER))
        self.store.by_digest[digest_of(SOUND)] = SOUND
        self.name(SOUND, 2, accepted=False)
        self.fill()
        self.staging.forget_unnamed([self.rollout])
        self.assertEqual(set(self.staging.by_digest), {first, digest_of(SOUND)})
        self.name(SOUND, 2, accepted=True)
        self.staging.forget_unnamed([self.rollout])
        self.assertIsNone(self.staging.object_bytes(first))
        self.assertEqual(self.staging.object_bytes(digest_of(SOUND)), SOUND)
