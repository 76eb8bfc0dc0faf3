"""Deltas: what changed in a replica between two revisions, as entries tell each other.

Rows are much alike, so many of them are packed: a thousand targets are over 200 KB plain and under
20 KB packed, and each entry that starts needs them all.
"""

import typing as t
import zlib

import msgspec

from ..exceptions import PeerFrameError
from ..ids import Revision

#: Bytes of rows from which on they are packed, and the most that they may unpack to.
_PACK_BYTES = 2048
_MAX_UNPACKED_BYTES = 64 * 1024 * 1024
_LEVEL = 1


class DeltaRow(msgspec.Struct, frozen=True, array_like=True):
    """A row of a delta; ``value`` is ``None`` if it was deleted."""

    key: str
    revision: Revision
    value: t.Optional[bytes]


Rows = t.Tuple[DeltaRow, ...]

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Rows] = msgspec.msgpack.Decoder(Rows)


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """What changed between two revisions, or all rows if ``since`` is 0.

    Made by :func:`pack`.
    """

    since: Revision
    revision: Revision
    #: Rows in msgpack.
    rows: bytes
    #: Whether they are compressed.
    packed: bool

    def unpack(self) -> Rows:
        """The rows.

        :raises PeerFrameError: if they can't be read.
        """
        try:
            return _decoder.decode(_unpacked(self.rows) if self.packed else self.rows)
        except (zlib.error, msgspec.MsgspecError) as error:
            raise PeerFrameError(f"rows of a delta can't be read: {error}") from error


def pack(since: Revision, revision: Revision, rows: t.Sequence[DeltaRow]) -> Delta:
    """A delta with these rows."""
    content = _encoder.encode(rows)
    if len(content) < _PACK_BYTES:
        return Delta(since, revision, content, False)
    return Delta(since, revision, zlib.compress(content, _LEVEL), True)


def _unpacked(content: bytes) -> bytes:
    reader = zlib.decompressobj()
    found = reader.decompress(content, _MAX_UNPACKED_BYTES)
    if not reader.eof:
        raise zlib.error(f"cut off, or longer than {_MAX_UNPACKED_BYTES} bytes")
    return found
