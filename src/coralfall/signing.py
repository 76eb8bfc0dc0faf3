"""Ed25519 keys of operators, and what they sign: bundles and requests."""

import base64
import binascii
import enum
import os
import pathlib
import secrets
import stat
import typing as t

import msgspec
import nacl.exceptions
import nacl.signing

from . import defaults
from .bundle import Bundle, Model, Signature, SignedBundle, digest_of, encode
from .exceptions import SignatureError
from .ids import KeyId, PartnerId

#: Public keys in base64 by key id: who may sign for one partner.
PartnerKeys = t.Mapping[KeyId, str]
#: Public keys by partner and key id.
Trust = t.Mapping[PartnerId, PartnerKeys]

#: Seconds by which the time in a signed request may differ from the receiver's.
REQUEST_WINDOW_S = 30.0
#: Most requests whose nonces are remembered within the window.
REQUEST_CAPACITY = 10_000

_BUNDLE_CONTEXT = b"coralfall bundle signature 1"
_REQUEST_CONTEXT = b"coralfall request signature 1"
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
    :param partner: whose line the bundle is for.
    :raises SignatureError: if a signature is missing, unknown, forged or given twice.
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
    """As :func:`verify`, with the keys of the partner that the bundle itself names."""
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
        message = f"public key of {key_id!r} is not 32 bytes in base64"
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
        message = f"signature of {signature.key_id!r} as {role.value} does not fit the bundle"
        raise SignatureError(message, field=role.value, reason="forged") from error
    return bytes(verify_key)


def _key_id(signature: t.Optional[Signature]) -> t.Optional[KeyId]:
    return signature.key_id if signature is not None else None


def _bundle_message(role: Role, payload: bytes) -> bytes:
    digest = digest_of(payload).encode("ascii")
    return b"\0".join((_BUNDLE_CONTEXT, role.value.encode("ascii"), digest))


class Operator(t.NamedTuple):
    """Who sent a signed request."""

    partner: PartnerId
    key_id: KeyId


class ReplayGuard:
    """Remembers signed requests for as long as they are fresh, up to a bound.

    :param capacity: most requests held; when they are all fresh, more are refused.
    """

    def __init__(self, capacity: int = REQUEST_CAPACITY) -> None:
        self._capacity = capacity
        #: Times until which requests are remembered, the earliest first.
        self._until_by_nonce: t.Dict[str, float] = {}

    def claim(self, nonce: str, now: float) -> bool:
        """Whether ``nonce`` is new; it is remembered from now on.

        :raises SignatureError: if the guard is full.
        """
        self._forget(now)
        if nonce in self._until_by_nonce:
            return False
        if len(self._until_by_nonce) >= self._capacity:
            message = "too many signed requests; try again in a few seconds"
            raise SignatureError(message, field="nonce", reason="busy")
        # The sender's clock may be a window ahead, and its request is fresh a window after.
        self._until_by_nonce[nonce] = now + 2 * REQUEST_WINDOW_S
        return True

    def _forget(self, now: float) -> None:
        while self._until_by_nonce:
            nonce = next(iter(self._until_by_nonce))
            if self._until_by_nonce[nonce] >= now:
                return
            del self._until_by_nonce[nonce]


def sign_request(
    key: Key, method: str, path: str, body: bytes, now: float, audience: str = ""
) -> str:
    """Value of the header that signs a request to the operators' port.

    :param key: of the operator.
    :param path: with its query, as sent.
    :param now: wall time in seconds.
    :param audience: address the request is for, so that it is of no use elsewhere.
    """
    nonce = secrets.token_urlsafe(16)
    stamp = str(int(now * 1000))
    message = _request_message(key.key_id, method, path, body, stamp, nonce, audience)
    raw = key.signing_key.sign(message).signature
    return ":".join((key.key_id, stamp, nonce, base64.urlsafe_b64encode(raw).decode("ascii")))


def verify_request(
    header: str,
    method: str,
    path: str,
    body: bytes,
    now: float,
    trust: Trust,
    guard: ReplayGuard,
    audience: str = "",
) -> Operator:
    """Who signed a request.

    :param header: value of the header as received.
    :param now: wall time in seconds.
    :param guard: the receiver's memory of requests.
    :raises SignatureError: if it is malformed, unknown, forged, stale or was seen before.
    """
    parts = header.split(":")
    if len(parts) != 4 or not parts[1].isascii() or not parts[1].isdigit() or len(parts[1]) > 16:
        message = "the request's signature is malformed; expected key:time:nonce:signature"
        raise SignatureError(message, field="header", reason="malformed")
    key_id, stamp, nonce = KeyId(parts[0]), parts[1], parts[2]
    message_bytes = _request_message(key_id, method, path, body, stamp, nonce, audience)
    operator = _find_operator(key_id, message_bytes, parts[3], trust)
    age = now - int(stamp) / 1000
    if abs(age) > REQUEST_WINDOW_S:
        message = f"the request was signed {age:.0f} s ago; set the clocks and send it anew"
        raise SignatureError(message, field="time", reason="stale")
    if not guard.claim(f"{key_id}:{nonce}", now):
        message = "the request was seen before; sign each request anew"
        raise SignatureError(message, field="nonce", reason="replayed")
    return operator


def _find_operator(key_id: KeyId, message: bytes, encoded: str, trust: Trust) -> Operator:
    try:
        raw = base64.b64decode(encoded, altchars=b"-_", validate=True)
    except (binascii.Error, ValueError) as error:
        raise SignatureError(
            "signature is not base64", field="header", reason="malformed"
        ) from error
    for partner, partner_keys in trust.items():
        if key_id not in partner_keys:
            continue
        try:
            parse_public_key(key_id, partner_keys[key_id]).verify(message, raw)
        except (nacl.exceptions.CryptoError, ValueError):
            continue
        return Operator(partner, key_id)
    text = f"no trusted key {key_id!r} made this signature"
    raise SignatureError(text, field="header", reason="forged")


def _request_message(
    key_id: KeyId, method: str, path: str, body: bytes, stamp: str, nonce: str, audience: str
) -> bytes:
    parts = (key_id, method.upper(), path, digest_of(body), stamp, nonce, audience)
    encoded = [msgspec.msgpack.encode(part) for part in parts]
    return _REQUEST_CONTEXT + b"\0" + b"".join(encoded)
