"""Tests of :mod:`coralfall.bundles.signing`: who may sign what, and what is refused."""

import os
import typing as t
import unittest
from unittest import mock

import hypothesis
import msgspec
from hypothesis import strategies as st
from parameterized import parameterized

from coralfall.bundles import signing
from coralfall.bundles.bundle import Bundle, Signature, SignedBundle, encode
from coralfall.bundles.signing import Role, sign, verify
from coralfall.exceptions import SignatureError
from coralfall.ids import KeyId, ServiceId
from tests.checks import make_folder, refused
from tests.operators import (
    ANA,
    BEA,
    CALOR,
    CALOR_KEYS,
    COSECHA,
    COSECHA_KEYS,
    DANI,
    EVA,
    TRUST,
    make_bundle,
    make_key,
    sign_bundle,
)

GOOD = sign_bundle(make_bundle())


def changed(**fields: t.Any) -> SignedBundle:
    return msgspec.structs.replace(GOOD, **fields)


def swapped() -> SignedBundle:
    return changed(author=GOOD.approver, approver=GOOD.author)


def resigned(payload: bytes) -> SignedBundle:
    signed = SignedBundle(payload=payload)
    return sign(sign(signed, Role.AUTHOR, ANA), Role.APPROVER, BEA)


def self_approved() -> SignedBundle:
    raw = ANA.signing_key.sign(signing._bundle_message(Role.APPROVER, GOOD.payload)).signature
    return changed(approver=Signature(key_id=ANA.key_id, signature=raw))


def two_ids() -> SignedBundle:
    twin = signing.Key(KeyId("ana-2"), ANA.signing_key)
    return sign_bundle(make_bundle(), ANA, twin)


def renamed() -> SignedBundle:
    """Ana's signature, said to be Bea's."""
    assert GOOD.author is not None
    return changed(author=Signature(key_id=BEA.key_id, signature=GOOD.author.signature))


def without_context() -> SignedBundle:
    raw = ANA.signing_key.sign(GOOD.payload).signature
    return changed(author=Signature(key_id=ANA.key_id, signature=raw))


def unsorted_payload() -> bytes:
    raw = msgspec.to_builtins(make_bundle())
    return msgspec.msgpack.encode(dict(reversed(raw.items())))


def foreign_format() -> bytes:
    return msgspec.msgpack.encode({"format": 2, "partner": "cosecha", "new_field": 1})


class VerifyTest(unittest.TestCase):
    """What a signed bundle must have."""

    def test_author_and_other_approver_are_enough(self) -> None:
        self.assertEqual(make_bundle(), verify(GOOD, COSECHA_KEYS, COSECHA))
        self.assertEqual(make_bundle(), signing.verify_any(GOOD, TRUST))

    @parameterized.expand(
        [
            ("no author", changed(author=None), "missing"),
            ("no approver", changed(approver=None), "missing"),
            ("unsigned", SignedBundle(payload=GOOD.payload), "missing"),
            ("roles swapped", swapped(), "forged"),
            ("other payload", changed(payload=encode(make_bundle(2))), "forged"),
            (
                "cut signature",
                changed(author=Signature(key_id=ANA.key_id, signature=b"1")),
                "forged",
            ),
            ("another's name", renamed(), "forged"),
            ("signed without context", without_context(), "forged"),
            ("self-approved", self_approved(), "self-approved"),
            ("unknown key", sign_bundle(make_bundle(), ANA, make_key("zoe")), "unknown-key"),
            ("other partner's approver", sign_bundle(make_bundle(), ANA, DANI), "unknown-key"),
            ("other partner's pair", sign_bundle(make_bundle(), DANI, EVA), "unknown-key"),
            ("fields unsorted", resigned(unsorted_payload()), "not-canonical"),
            ("bytes after the end", resigned(GOOD.payload + b"\x00"), "malformed"),
            ("not a bundle", resigned(b"\x01"), "malformed"),
            ("nothing", resigned(b""), "malformed"),
            ("other format", resigned(foreign_format()), "unknown-format"),
        ]
    )
    def test_refused(self, _name: str, signed: SignedBundle, reason: str) -> None:
        with refused(SignatureError, reason):
            verify(signed, COSECHA_KEYS, COSECHA)

    def test_a_key_under_two_ids_is_one_operator(self) -> None:
        keys = {**COSECHA_KEYS, KeyId("ana-2"): ANA.public_key}
        with refused(SignatureError, "self-approved"):
            verify(two_ids(), keys, COSECHA)

    def test_a_partner_cannot_sign_for_the_other(self) -> None:
        impersonated = sign_bundle(make_bundle(), DANI, EVA)
        with refused(SignatureError, "wrong-partner"):
            verify(impersonated, CALOR_KEYS, CALOR)
        with refused(SignatureError, "unknown-partner"):
            signing.verify_any(impersonated, {CALOR: CALOR_KEYS})

    def test_one_key_signs_one_role_only(self) -> None:
        half = sign(SignedBundle(payload=GOOD.payload), Role.AUTHOR, ANA)
        with refused(SignatureError, "self-approved"):
            sign(half, Role.APPROVER, ANA)
        self.assertEqual(GOOD, sign(half, Role.APPROVER, BEA))

    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    @hypothesis.given(st.integers(0, len(encode(GOOD)) - 1), st.integers(1, 255))
    def test_no_changed_byte_is_taken(self, position: int, flip: int) -> None:
        data = bytearray(encode(GOOD))
        data[position] ^= flip
        with self.assertRaises(SignatureError):
            signed = signing.decode_signed(bytes(data))
            verify(signed, COSECHA_KEYS, COSECHA)


def reorder(value: t.Any, order: t.Callable[[t.List[t.Any]], t.List[t.Any]]) -> t.Any:
    if not isinstance(value, dict):
        return value
    return {key: reorder(value[key], order) for key in order(list(value))}


NAMES = st.text("abz-01", min_size=1, max_size=4)
SHARES = st.dictionaries(NAMES, st.floats(0, 1), max_size=4)


def bundle_of(version: int, weights: t.Dict[str, t.Dict[str, float]]) -> Bundle:
    (service,) = make_bundle().services.values()
    services = {
        ServiceId(name): msgspec.structs.replace(service, weights=shares)
        for name, shares in weights.items()
    }
    return make_bundle(version, services=services)


BUNDLES = st.builds(
    bundle_of, st.integers(1, 2**53 - 1), st.dictionaries(NAMES, SHARES, max_size=4)
)


class CanonicalTest(unittest.TestCase):
    """Equal bundles have equal bytes, and bytes have one reading."""

    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    @hypothesis.given(BUNDLES, st.randoms(use_true_random=False))
    def test_insertion_order_does_not_matter(self, bundle: Bundle, random: t.Any) -> None:
        def shuffle(keys: t.List[t.Any]) -> t.List[t.Any]:
            random.shuffle(keys)
            return keys

        raw = reorder(msgspec.to_builtins(bundle), shuffle)
        self.assertEqual(encode(bundle), encode(msgspec.convert(raw, Bundle)))

    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    @hypothesis.given(BUNDLES)
    def test_decoding_gives_the_bundle_back(self, bundle: Bundle) -> None:
        decoded = signing.decode_payload(encode(bundle))
        self.assertEqual((bundle, encode(bundle)), (decoded, encode(decoded)))


class KeyFileTest(unittest.TestCase):
    """Private keys stay private."""

    def setUp(self) -> None:
        self.path = make_folder(self) / "ana.key"

    def test_a_new_key_is_private_and_signs(self) -> None:
        previous = os.umask(0)
        self.addCleanup(os.umask, previous)
        public_key = signing.new_key(self.path, ANA.key_id)
        self.assertEqual(0o600, self.path.stat().st_mode & 0o777)
        key = signing.load_key(self.path)
        self.assertEqual((ANA.key_id, public_key), (key.key_id, key.public_key))
        self.assertNotIn(public_key, self.path.read_text())

    def test_an_existing_file_is_kept(self) -> None:
        self.path.write_text("precious")
        with refused(SignatureError, "not-created"):
            signing.new_key(self.path, ANA.key_id)
        self.assertEqual("precious", self.path.read_text())

    @parameterized.expand([(0o640,), (0o604,), (0o620,), (0o601,)])
    def test_readable_by_others_is_refused(self, mode: int) -> None:
        signing.new_key(self.path, ANA.key_id)
        self.path.chmod(mode)
        self.assert_refused("not-private")

    def test_another_owner_is_refused(self) -> None:
        signing.new_key(self.path, ANA.key_id)
        with mock.patch("os.geteuid", return_value=os.geteuid() + 1):
            self.assert_refused("wrong-owner")

    def test_what_is_no_file_is_refused(self) -> None:
        self.assert_refused("unreadable")
        self.path.mkdir()
        self.assert_refused("not-a-file")

    @parameterized.expand(
        [
            ("empty", ""),
            ("not JSON", "key"),
            ("short", '{"key_id": "ana", "private_key": "YWJj"}'),
            ("not base64", '{"key_id": "ana", "private_key": "*"}'),
        ]
    )
    def test_malformed(self, _name: str, text: str) -> None:
        self.path.write_text(text)
        self.path.chmod(0o600)
        self.assert_refused("malformed")

    def assert_refused(self, reason: str) -> None:
        with refused(SignatureError, reason):
            signing.load_key(self.path)


if __name__ == "__main__":
    unittest.main()
