"""Deltas: the rows of a replica that changed between two revisions, as entries send them.

Rows resemble each other, so longer deltas are compressed: a thousand targets take over 200 KB plain
and under 20 KB compressed, and each entry that starts needs them all.
"""

import typing as t
import zlib

import msgspec

from ..exceptions import PeerFrameError
from ..ids import START, Era, Position, Revision

#: Size in bytes from which on rows are compressed, and the most that they may expand to.
_COMPRESS_BYTES = 2048
_MAX_EXPANDED_BYTES = 64 * 1024 * 1024
_COMPRESSION_LEVEL = 1


class DeltaRow(msgspec.Struct, frozen=True, array_like=True):
    """A row of a delta; ``value`` is ``None`` if the row was deleted."""

    key: str
    revision: Revision
    value: t.Optional[bytes]


Rows = t.Tuple[DeltaRow, ...]

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Rows] = msgspec.msgpack.Decoder(Rows)


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """The rows that changed between two revisions of an era, or all rows if ``since`` is 0.

    Made by :func:`pack`.
    """

    since: Revision
    revision: Revision
    #: The rows as msgpack.
    rows: bytes
    #: Whether ``rows`` is compressed by zlib.
    packed: bool
    #: Era of all revisions, and the first of its revisions that the sender knows of.
    era: Era = Era(0)
    era_revision: t.Optional[Revision] = None

    @property
    def position(self) -> Position:
        """Position as of which the rows are known."""
        return Position(self.era, self.revision)

    @property
    def is_whole(self) -> bool:
        """Whether it holds all rows."""
        return self.since == START.revision

    def unpack(self) -> Rows:
        """Returns the decoded rows.

        :raises PeerFrameError: if they can't be decompressed or decoded.
        """
        try:
            return _decoder.decode(_decompressed(self.rows) if self.packed else self.rows)
        except (zlib.error, msgspec.MsgspecError) as error:
            raise PeerFrameError(f"can't decode the rows of a delta: {error}") from error


def pack(
    since: Revision,
    position: Position,
    rows: t.Sequence[DeltaRow],
    era_revision: t.Optional[Revision] = None,
) -> Delta:
    """Returns a delta with these rows, compressed if they are long.

    :param era_revision: first revision of the era as of which rows are known.
    """
    era, revision = position
    content = _encoder.encode(rows)
    if len(content) < _COMPRESS_BYTES:
        return Delta(since, revision, content, False, era, era_revision)
    content = zlib.compress(content, _COMPRESSION_LEVEL)
    return Delta(since, revision, content, True, era, era_revision)


def _decompressed(content: bytes) -> bytes:
    reader = zlib.decompressobj()
    expanded = reader.decompress(content, _MAX_EXPANDED_BYTES)
    if not reader.eof:
        raise zlib.error(f"truncated, or expands to more than {_MAX_EXPANDED_BYTES} bytes")
    return expanded
