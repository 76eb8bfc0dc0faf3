"""Turns the fleet's shared key into the keys of one stream, and frames into sealed bytes.

No I/O here: :mod:`coralfall.peering.channel` moves the bytes. The key exchange is X25519 with a
fresh
key pair on either side; the shared secret of both is then hashed under the fleet's key. So
the keys of a stream are known only to someone who holds the fleet's key *and* one of the two
fresh secrets, which are forgotten with the stream: a fleet key that leaks later does not open
streams recorded before.
"""

import enum
import hashlib
import hmac
import typing as t

import nacl.bindings
import nacl.exceptions

from ..exceptions import PeerAuthError, PeerFrameError

#: The fleet's shared key.
FleetKey = t.NewType("FleetKey", bytes)

FLEET_KEY_BYTES = 32
#: Length of a fresh public key, the first thing that either side sends.
PUBLIC_BYTES = nacl.bindings.crypto_kx_PUBLIC_KEY_BYTES
#: Length of the proof that the sender holds the fleet's key, the second thing it sends.
PROOF_BYTES = 32
#: Bytes by which a sealed frame is longer than its content.
SEAL_BYTES = nacl.bindings.crypto_aead_chacha20poly1305_ietf_ABYTES

_KEY_BYTES = nacl.bindings.crypto_aead_chacha20poly1305_ietf_KEYBYTES
_NONCE_BYTES = nacl.bindings.crypto_aead_chacha20poly1305_ietf_NPUBBYTES
_PURPOSE = b"coralfall-peer-1"


class Role(enum.Enum):
    """Which side of a stream a process is; either direction has its own key."""

    DIALER = "dialer"
    LISTENER = "listener"


class StreamKeys(t.NamedTuple):
    """What both sides of one stream know after the exchange."""

    seal_key: bytes
    open_key: bytes
    #: What this side sends to show that it holds the fleet's key.
    proof: bytes
    #: What the other side has to send.
    expected_proof: bytes

    def check_proof(self, received: bytes) -> None:
        """Refuse the other side unless it holds the fleet's key.

        :raises PeerAuthError: if ``received`` is not its proof.
        """
        if not hmac.compare_digest(received, self.expected_proof):
            raise PeerAuthError(
                "the other side does not hold the fleet's key;"
                " compare fleet_key_file, or fleet and the store's address, on both"
            )


class KeyExchange:
    """One side of the exchange that opens a stream.

    :param fleet_key: the key that both sides hold.
    :param role: which side this is.
    """

    def __init__(self, fleet_key: FleetKey, role: Role) -> None:
        self.public: bytes
        self.public, self._secret = nacl.bindings.crypto_kx_keypair()
        self._fleet_key = fleet_key
        self._role = role

    def finish(self, peer_public: bytes) -> StreamKeys:
        """The keys of the stream.

        :param peer_public: the other side's fresh public key.
        :raises PeerAuthError: if it is not a usable public key.
        """
        try:
            open_secret, seal_secret = self._session_secrets(peer_public)
        except nacl.exceptions.CryptoError as error:
            raise PeerAuthError("the other side sent an unusable public key") from error
        open_key, expected_proof = self._derive(open_secret)
        seal_key, proof = self._derive(seal_secret)
        return StreamKeys(seal_key, open_key, proof, expected_proof)

    def _session_secrets(self, peer_public: bytes) -> t.Tuple[bytes, bytes]:
        if self._role is Role.DIALER:
            return nacl.bindings.crypto_kx_client_session_keys(
                self.public, self._secret, peer_public
            )
        return nacl.bindings.crypto_kx_server_session_keys(self.public, self._secret, peer_public)

    def _derive(self, secret: bytes) -> t.Tuple[bytes, bytes]:
        digest = hashlib.blake2b(
            secret,
            digest_size=_KEY_BYTES + PROOF_BYTES,
            key=self._fleet_key,
            person=_PURPOSE,
        ).digest()
        return digest[:_KEY_BYTES], digest[_KEY_BYTES:]


class FrameSealer:
    """Seals the frames of one direction, each under the next number.

    :param key: key of that direction; used by no other sealer.
    """

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._count = 0

    def seal(self, content: bytes) -> bytes:
        """The content, encrypted and authenticated; ``SEAL_BYTES`` longer than it."""
        nonce = self._count.to_bytes(_NONCE_BYTES, "big")
        self._count += 1
        sealed: bytes = nacl.bindings.crypto_aead_chacha20poly1305_ietf_encrypt(
            content, None, nonce, self._key
        )
        return sealed


class FrameOpener:
    """Opens the frames of one direction, in the order in which they were sealed.

    :param key: key of that direction.
    """

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._count = 0

    def open(self, sealed: bytes) -> bytes:
        """The content of the next frame.

        :raises PeerFrameError: if the frame was changed, replayed, left out, put out of order
            or sent back to its sender.
        """
        nonce = self._count.to_bytes(_NONCE_BYTES, "big")
        try:
            content: bytes = nacl.bindings.crypto_aead_chacha20poly1305_ietf_decrypt(
                sealed, None, nonce, self._key
            )
        except (nacl.exceptions.CryptoError, ValueError) as error:
            raise PeerFrameError(
                f"frame {self._count} is not the one that the other side sealed"
            ) from error
        self._count += 1
        return content
