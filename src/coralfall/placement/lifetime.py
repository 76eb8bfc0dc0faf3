"""Lifetimes of targets: a lifetime lasts from the start of a target's process to its end."""

import hashlib
import typing as t

import msgspec

from ..ids import TargetId

if t.TYPE_CHECKING:
    from ..traffic.model import Target


class Lifetime(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one lifetime of a target."""

    target_id: TargetId
    #: Start in milliseconds since the Unix epoch, 0 if unknown.
    born: int
    #: ``ip:port``.
    address: str

    def digest(self) -> int:
        """64-bit hash that is the same at all entries."""
        text = f"{self.target_id} {self.born} {self.address}"
        return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def lifetime_of(target: "Target") -> Lifetime:
    """The lifetime that the row of a target describes."""
    return Lifetime(target.target_id, target.born or 0, target.address)
