"""Tests of :mod:`coralfall.line`: one winner, settled answers, versions that only rise."""

import asyncio
import pathlib
import unittest

import msgspec
import nacl.signing

from coralfall import line
from coralfall.bundle import Bundle, SignedBundle, encode
from coralfall.clock import ManualClock
from coralfall.draft import load_draft
from coralfall.exceptions import SubmitError
from coralfall.ids import BundleVersion, KeyId, PartnerId
from coralfall.memory_platform import MemoryPlatform
from coralfall.signing import Key, Role, sign

EXAMPLE = pathlib.Path(__file__).parent.parent / "examples" / "cosecha.toml"
COSECHA = PartnerId("cosecha")
ANA = Key(KeyId("ana"), nacl.signing.SigningKey(b"a" * 32))
BEA = Key(KeyId("bea"), nacl.signing.SigningKey(b"b" * 32))
TRUST = {COSECHA: {ANA.key_id: ANA.public_key, BEA.key_id: BEA.public_key}}


def signed_version(version: int, **changes: object) -> SignedBundle:
    bundle: Bundle = msgspec.structs.replace(
        load_draft(EXAMPLE), version=BundleVersion(version), chunks=(), **changes
    )
    return sign(sign(SignedBundle(payload=encode(bundle)), Role.AUTHOR, ANA), Role.APPROVER, BEA)


class SubmitTest(unittest.TestCase):
    """What becomes of a bundle that is submitted."""

    def test_first_version_is_staged_then_accepted(self) -> None:
        asyncio.run(self._stage_then_accept())

    async def _stage_then_accept(self) -> None:
        platform = MemoryPlatform(clock=ManualClock(100.0)).platform
        head = await line.submit(platform, signed_version(1), TRUST, "first")
        self.assertEqual(1, head.staged.version)
        row = await line.read_head(platform, COSECHA)
        accepted = await line.accept(platform, row.head, row.revision, {}, 101.0)
        self.assertEqual((head.staged, None), (accepted.accepted, accepted.staged))
        with self.assertRaises(SubmitError):
            await line.submit(platform, signed_version(1, grants={}), TRUST, "replay")


if __name__ == "__main__":
    unittest.main()
