"""Ed25519 keys of operators, and the bundles that they sign."""

import base64
import binascii
import enum
import os
import pathlib
import stat
import typing as t

import msgspec
import nacl.exceptions
import nacl.signing

from .. import defaults
from ..exceptions import SignatureError
from ..ids import KeyId, PartnerId
from .bundle import Bundle, Model, Signature, SignedBundle, digest_of, encode

#: Public keys in base64 by key id: who may sign for one partner.
PartnerKeys = t.Mapping[KeyId, str]
#: Public keys by partner and key id.
Trust = t.Mapping[PartnerId, PartnerKeys]

_BUNDLE_CONTEXT = b"coralfall bundle signature 1"
_MAX_KEY_FILE_BYTES = 4096
_PRIVATE_BITS = stat.S_IRWXG | stat.S_IRWXO


class Role(enum.Enum):
    """As what an operator signs a bundle."""

    AUTHOR = "author"
    APPROVER = "approver"


class KeyFile(Model, frozen=True):
    """What a private key file holds, as JSON."""

    key_id: KeyId
    #: Seed of the Ed25519 key.
    private_key: bytes


class Key(t.NamedTuple):
    """A private key that was loaded."""

    key_id: KeyId
    signing_key: nacl.signing.SigningKey

    @property
    def public_key(self) -> str:
        """Public half in base64, as settings and trust files name it."""
        return base64.b64encode(bytes(self.signing_key.verify_key)).decode("ascii")


def new_key(path: pathlib.Path, key_id: KeyId) -> str:
    """Write a new private key to ``path``, readable by its owner only.

    :param path: a file that does not exist yet.
    :param key_id: name of the key in trust files.
    :return: public key in base64.
    :raises SignatureError: if the file exists or can't be written.
    """
    signing_key = nacl.signing.SigningKey.generate()
    data = msgspec.json.encode(KeyFile(key_id=key_id, private_key=bytes(signing_key)))
    try:
        handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    except OSError as error:
        message = f"{path}: can't be created ({error.strerror}); name a file that does not exist"
        raise SignatureError(message, field="key", reason="not-created") from error
    with os.fdopen(handle, "wb") as file:
        file.write(data + b"\n")
    return Key(key_id, signing_key).public_key


def load_key(path: pathlib.Path) -> Key:
    """The private key in ``path``.

    :raises SignatureError: if others can read the file, it is not ours, or not a key.
    """
    try:
        handle = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    except OSError as error:
        message = f"{path}: can't be read ({error.strerror}); make one by `coralfall keys new`"
        raise SignatureError(message, field="key", reason="unreadable") from error
    try:
        _check_private(path, os.fstat(handle))
        data = os.read(handle, _MAX_KEY_FILE_BYTES)
    finally:
        os.close(handle)
    try:
        content = msgspec.json.decode(data, type=KeyFile)
        return Key(content.key_id, nacl.signing.SigningKey(content.private_key))
    except (msgspec.MsgspecError, nacl.exceptions.CryptoError, ValueError) as error:
        message = f"{path}: is not a key file ({error}); make one by `coralfall keys new`"
        raise SignatureError(message, field="key", reason="malformed") from error


def _check_private(path: pathlib.Path, status: os.stat_result) -> None:
    if not stat.S_ISREG(status.st_mode):
        message = f"{path}: is not a regular file; name the key file itself"
        raise SignatureError(message, field="key", reason="not-a-file")
    if status.st_uid != os.geteuid():
        message = f"{path}: belongs to user {status.st_uid}; use a key file of your own"
        raise SignatureError(message, field="key", reason="wrong-owner")
    if status.st_mode & _PRIVATE_BITS:
        mode = stat.S_IMODE(status.st_mode)
        message = f"{path}: others can open it (mode {mode:04o}); run `chmod 600 {path}`"
        raise SignatureError(message, field="key", reason="not-private")


def sign(signed: SignedBundle, role: Role, key: Key) -> SignedBundle:
    """``signed`` with one signature added or replaced.

    :param signed: canonical bytes, with any signature so far.
    :param role: as what the owner of ``key`` signs.
    :raises SignatureError: if the other role was signed by the same key.
    """
    other = signed.approver if role is Role.AUTHOR else signed.author
    if other is not None and other.key_id == key.key_id:
        message = f"key {key.key_id!r} has signed already; author and approver must differ"
        raise SignatureError(message, field="key", reason="self-approved")
    raw = key.signing_key.sign(_bundle_message(role, signed.payload)).signature
    signature = Signature(key_id=key.key_id, signature=raw)
    if role is Role.AUTHOR:
        return msgspec.structs.replace(signed, author=signature)
    return msgspec.structs.replace(signed, approver=signature)


def verify(signed: SignedBundle, partner_keys: PartnerKeys, partner: PartnerId) -> Bundle:
    """The bundle, if two different operators of ``partner`` have signed it.

    :param signed: from anywhere; nothing in it is trusted.
    :param partner_keys: public keys of that partner.
    :param partner: whose bundle it must be.
    :raises SignatureError: if a signature is missing, unknown, forged or given twice, or what
        is signed is not a bundle of that partner.
    """
    public_keys = []
    for role, signature in ((Role.AUTHOR, signed.author), (Role.APPROVER, signed.approver)):
        public_keys.append(_verify_role(signed.payload, role, signature, partner_keys))
    if public_keys[0] == public_keys[1] or _key_id(signed.author) == _key_id(signed.approver):
        message = "author and approver are the same; have another operator approve"
        raise SignatureError(message, field="approver", reason="self-approved")
    bundle = decode_payload(signed.payload)
    if bundle.partner != partner:
        message = f"the bundle is of {bundle.partner!r}, its keys are of {partner!r}"
        raise SignatureError(message, field="partner", reason="wrong-partner")
    return bundle


def verify_any(signed: SignedBundle, trust: Trust) -> Bundle:
    """As :func:`verify`, with the keys of the partner that the bundle itself names.

    :param trust: public keys by partner and key id.
    :raises SignatureError: as :func:`verify`, and if no keys of that partner are known.
    """
    partner = decode_payload(signed.payload).partner
    if partner not in trust:
        message = f"no keys of partner {partner!r} are trusted; known are {sorted(trust)}"
        raise SignatureError(message, field="partner", reason="unknown-partner")
    return verify(signed, trust[partner], partner)


def decode_signed(data: bytes) -> SignedBundle:
    """A signed bundle from its bytes; neither payload nor signatures are looked at.

    :raises SignatureError: if the bytes are no signed bundle.
    """
    try:
        return msgspec.msgpack.decode(data, type=SignedBundle)
    except (msgspec.MsgspecError, ValueError) as error:
        message = f"the bytes are not a signed bundle: {error}"
        raise SignatureError(message, field="signed", reason="malformed") from error


def decode_payload(payload: bytes) -> Bundle:
    """The bundle in ``payload``, whose signatures are not looked at.

    :raises SignatureError: if it is not a bundle, or not in its canonical bytes.
    """
    try:
        _check_format(msgspec.msgpack.decode(payload, type=_Format).format)
        bundle = msgspec.msgpack.decode(payload, type=Bundle)
        canonical = encode(bundle)
    except (msgspec.MsgspecError, ValueError, OverflowError) as error:
        message = f"the signed bytes are not a bundle of this format: {error}"
        raise SignatureError(message, field="payload", reason="malformed") from error
    if canonical != payload:
        message = "the signed bytes are not canonical; sign again with `coralfall bundle sign`"
        raise SignatureError(message, field="payload", reason="not-canonical")
    return bundle


def parse_public_key(key_id: KeyId, encoded: str) -> nacl.signing.VerifyKey:
    """The public key in ``encoded``, as settings and trust files state it.

    :raises SignatureError: if it is not 32 bytes in base64.
    """
    try:
        return nacl.signing.VerifyKey(base64.b64decode(encoded, validate=True))
    except (binascii.Error, nacl.exceptions.CryptoError, ValueError) as error:
        message = (
            f"public key of {key_id!r} is not 32 bytes in base64; copy what `keys new` printed"
        )
        raise SignatureError(message, field=key_id, reason="malformed-key") from error


class _Format(msgspec.Struct, frozen=True):
    """The one field by which bundles of other formats are told apart."""

    format: int


def _check_format(found: int) -> None:
    if found == defaults.BUNDLE_FORMAT:
        return
    message = f"the bundle is of format {found}, known is {defaults.BUNDLE_FORMAT}; upgrade first"
    raise SignatureError(message, field="format", reason="unknown-format")


def _verify_role(
    payload: bytes, role: Role, signature: t.Optional[Signature], partner_keys: PartnerKeys
) -> bytes:
    if signature is None:
        message = f"has no {role.value}; run `coralfall bundle sign --role {role.value}`"
        raise SignatureError(message, field=role.value, reason="missing")
    encoded = partner_keys.get(signature.key_id)
    if encoded is None:
        message = f"key {signature.key_id!r} is not trusted; known are {sorted(partner_keys)}"
        raise SignatureError(message, field=role.value, reason="unknown-key")
    verify_key = parse_public_key(signature.key_id, encoded)
    try:
        verify_key.verify(_bundle_message(role, payload), signature.signature)
    except (nacl.exceptions.CryptoError, ValueError) as error:
        message = (
            f"signature of {signature.key_id!r} as {role.value} does not fit the bundle; "
            "sign it anew"
        )
        raise SignatureError(message, field=role.value, reason="forged") from error
    return bytes(verify_key)


def _key_id(signature: t.Optional[Signature]) -> t.Optional[KeyId]:
    return signature.key_id if signature is not None else None


def _bundle_message(role: Role, payload: bytes) -> bytes:
    digest = digest_of(payload).encode("ascii")
    return b"\0".join((_BUNDLE_CONTEXT, role.value.encode("ascii"), digest))
