"""Signed requests of operators: who asks an entry, for what, when, and not twice."""

import base64
import binascii
import secrets
import typing as t

import msgspec
import nacl.exceptions

from ..bundles.bundle import digest_of
from ..bundles.signing import Key, Trust, parse_public_key
from ..exceptions import SignatureError
from ..ids import KeyId, PartnerId

#: Seconds by which the time in a signed request may differ from the receiver's.
REQUEST_WINDOW_S = 30.0
#: Most requests whose nonces are remembered within the window.
REQUEST_CAPACITY = 10_000

_CONTEXT = b"coralfall request signature 1"
#: Parts of the header: key id, time, nonce and signature.
_HEADER_PARTS = 4
_HEADER_FORM = "key:time:nonce:signature"
#: Most digits of a time in milliseconds.
_MAX_TIME_DIGITS = 16


class SignedParts(t.NamedTuple):
    """The parts of a request that its signature covers, besides key, time and nonce."""

    method: str
    #: With its query, as sent.
    path: str
    body: bytes = b""
    #: Id of the entry that the request is for, so that it is of no use elsewhere.
    audience: str = ""


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

    def admit(self, nonce: str, now: float) -> bool:
        """Whether ``nonce`` is new; it is remembered from now on.

        :param nonce: names one request.
        :param now: wall time in seconds.
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


def sign_request(key: Key, request: SignedParts, now: float) -> str:
    """Value of the header that signs a request to the operators' port.

    :param key: of the operator.
    :param request: what is sent, and to whom.
    :param now: wall time in seconds.
    """
    nonce = secrets.token_urlsafe(16)
    stamp = str(int(now * 1000))
    message = _signed_bytes(key.key_id, request, stamp, nonce)
    raw = key.signing_key.sign(message).signature
    return ":".join((key.key_id, stamp, nonce, base64.urlsafe_b64encode(raw).decode("ascii")))


def verify_request(
    header: str, request: SignedParts, now: float, trust: Trust, guard: ReplayGuard
) -> Operator:
    """Who signed a request.

    :param header: value of the header as received.
    :param request: what was received, and by whom.
    :param now: wall time in seconds.
    :param trust: public keys by partner and key id.
    :param guard: the receiver's memory of requests.
    :raises SignatureError: if it is malformed, unknown, forged, stale or was seen before, or
        too many requests came at once.
    """
    key_id, stamp, nonce, encoded = _split_header(header)
    signed_bytes = _signed_bytes(key_id, request, stamp, nonce)
    operator = _find_operator(key_id, signed_bytes, encoded, trust)
    age = now - int(stamp) / 1000
    if abs(age) > REQUEST_WINDOW_S:
        message = f"the request was signed {age:.0f} s ago; set the clocks and send it anew"
        raise SignatureError(message, field="time", reason="stale")
    if not guard.admit(f"{key_id}:{nonce}", now):
        message = "the request was seen before; sign each request anew"
        raise SignatureError(message, field="nonce", reason="replayed")
    return operator


def _split_header(header: str) -> t.Tuple[KeyId, str, str, str]:
    parts = header.split(":")
    if len(parts) != _HEADER_PARTS or not _is_time(parts[1]):
        message = f"the request's signature is malformed; expected {_HEADER_FORM}"
        raise SignatureError(message, field="header", reason="malformed")
    return KeyId(parts[0]), parts[1], parts[2], parts[3]


def _is_time(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= _MAX_TIME_DIGITS


def _find_operator(key_id: KeyId, message: bytes, encoded: str, trust: Trust) -> Operator:
    try:
        raw = base64.b64decode(encoded, altchars=b"-_", validate=True)
    except (binascii.Error, ValueError) as error:
        text = f"the signature is not base64; expected {_HEADER_FORM}"
        raise SignatureError(text, field="header", reason="malformed") from error
    for partner, partner_keys in trust.items():
        if key_id not in partner_keys:
            continue
        try:
            parse_public_key(key_id, partner_keys[key_id]).verify(message, raw)
        except (nacl.exceptions.CryptoError, ValueError):
            continue
        return Operator(partner, key_id)
    text = (
        f"no trusted key {key_id!r} made this signature; use a key that the entry's settings name"
    )
    raise SignatureError(text, field="header", reason="forged")


def _signed_bytes(key_id: KeyId, request: SignedParts, stamp: str, nonce: str) -> bytes:
    digest = digest_of(request.body)
    method = request.method.upper()
    parts = (key_id, method, request.path, digest, stamp, nonce, request.audience)
    encoded = [msgspec.msgpack.encode(part) for part in parts]
    return _CONTEXT + b"\0" + b"".join(encoded)
