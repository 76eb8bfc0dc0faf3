"""Chunks: the client block table in pieces that are named by their content.

Blocks in the order of the table are cut where a hash of a block says so, not after a fixed
count, so that a block that comes or goes moves no cut but those next to it, and all other
chunks keep their bytes and their digest. The chunks' digests are listed in pages, which are cut
in the same way; a bundle names the pages alone. A change of a few blocks thus costs a few
chunks, their pages and a short list in the bundle.
"""

import pathlib
import typing as t

import msgspec

from ..bundles.bundle import Bundle, ChunkRef, digest_of
from ..exceptions import BundleError, Fault
from ..ids import Digest, SiteId
from ..stores.store import ObjectStore
from .blocks import TABLE_BITS, Block, BlockReader, Family

#: Blocks in a chunk: what is aimed at, and the most that a reader takes.
CHUNK_BLOCKS = 512
MAX_CHUNK_BLOCKS = 32 * 1024
#: Chunks in a page to aim at.
PAGE_CHUNKS = 32
#: A writer cuts a chunk or page at this many times its aim at the latest.
MAX_SIZE_FACTOR = 4
#: Largest chunk or page in bytes; a larger object is refused before it is decoded.
MAX_OBJECT_BYTES = 1024 * 1024

# Odd multiplier of Fibonacci hashing: 2**64 divided by the golden ratio.
_HASH_MULTIPLIER = 0x9E3779B97F4A7C15
_HASH_MASK = (1 << 64) - 1
_HASH_SHIFT = 32
# The low bits of a chunk's first hash are why it was cut there; pages are cut by the others.
_PAGE_HASH_SHIFT = 16
_DIGEST_BYTES = 32


class Chunk(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, gc=False):
    """Neighbouring blocks of one family, in columns.

    A network is stored as its distance from the one before, in units of its own size, so that
    no bit past its length can be set and most blocks take a byte.
    """

    family: Family
    #: Sites that the blocks name, in alphabetical order.
    sites: t.Tuple[SiteId, ...]
    lengths: t.List[int]
    distances: t.List[int]
    #: Position in ``sites`` for each block.
    picks: t.List[int]


class ChunkEntry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Names a chunk within a page."""

    #: SHA-256 of the chunk's bytes.
    digest: bytes
    blocks: int


class Page(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Names neighbouring chunks, in the order of their blocks."""

    chunks: t.List[ChunkEntry]


class BuiltChunks(t.NamedTuple):
    """A block table as objects: what the bundle names, and the bytes of pages and chunks."""

    refs: t.Tuple[ChunkRef, ...]
    objects_by_digest: t.Dict[Digest, bytes]


class BlockFiles(t.NamedTuple):
    """Block files as objects, or the faults for which there are none."""

    refs: t.Tuple[ChunkRef, ...]
    objects_by_digest: t.Dict[Digest, bytes]
    faults: t.List[Fault]


_encoder = msgspec.msgpack.Encoder()
_chunk_decoder = msgspec.msgpack.Decoder(Chunk)
_page_decoder = msgspec.msgpack.Decoder(Page)


def load_block_files(paths: t.Iterable[pathlib.Path], sites: t.Container[SiteId]) -> BlockFiles:
    """The objects for a bundle's block files.

    :param paths: CSV files of ``prefix,site``.
    :param sites: sites that the bundle states.
    :return: refs for :attr:`Bundle.chunks` and the objects to put before the head moves; with
        faults, neither.
    """
    reader = BlockReader(sites)
    for path in paths:
        reader.read_file(path)
    parsed = reader.finish()
    if parsed.faults:
        return BlockFiles((), {}, parsed.faults)
    built = build_chunks(parsed.blocks)
    return BlockFiles(built.refs, built.objects_by_digest, [])


def build_chunks(blocks: t.Sequence[Block], chunk_blocks: int = CHUNK_BLOCKS) -> BuiltChunks:
    """Pages and chunks of a table.

    :param blocks: in the order of the table, each prefix once.
    :param chunk_blocks: size of a chunk to aim at; only benchmarks pass another.
    """
    objects_by_digest: t.Dict[Digest, bytes] = {}
    entries = []
    hashes = []
    for part in _split_blocks(blocks, chunk_blocks):
        data = encode_chunk(part)
        digest = digest_of(data)
        objects_by_digest[digest] = data
        entries.append(ChunkEntry(bytes.fromhex(digest), len(part)))
        hashes.append(_block_hash(part[0]) >> _PAGE_HASH_SHIFT)
    refs = []
    for group in _split_entries(entries, hashes):
        data = encode_page(group)
        digest = digest_of(data)
        objects_by_digest[digest] = data
        refs.append(ChunkRef(digest=digest, blocks=sum(entry.blocks for entry in group)))
    return BuiltChunks(tuple(refs), objects_by_digest)


def encode_chunk(blocks: t.Sequence[Block]) -> bytes:
    """Bytes of a chunk; equal blocks give equal bytes.

    :param blocks: at least one, of one family, in the order of the table.
    """
    sites = sorted({block.site for block in blocks})
    pick_by_site = {site: index for index, site in enumerate(sites)}
    return encode_columns(
        blocks[0].family,
        tuple(sites),
        [block.network for block in blocks],
        [block.length for block in blocks],
        [pick_by_site[block.site] for block in blocks],
    )


def encode_columns(
    family: Family,
    sites: t.Tuple[SiteId, ...],
    networks: t.Sequence[int],
    lengths: t.List[int],
    picks: t.List[int],
) -> bytes:
    """Bytes of a chunk whose blocks stand in columns already.

    :param networks: network of each block; the other columns are as in :class:`Chunk`.
    """
    bits = TABLE_BITS[family]
    distances = []
    previous = 0
    for network, length in zip(networks, lengths, strict=True):
        shift = bits - length
        distances.append((network >> shift) - (previous >> shift))
        previous = network
    return _encoder.encode(Chunk(family, sites, lengths, distances, picks))


def decode_chunk(data: bytes) -> Chunk:
    """A chunk from its bytes; what its columns say is checked when the table is compiled.

    :raises BundleError: if the bytes are no chunk.
    """
    return t.cast(Chunk, _decode(_chunk_decoder, data, "chunk"))


def encode_page(entries: t.Sequence[ChunkEntry]) -> bytes:
    """Bytes of a page that lists ``entries``."""
    return _encoder.encode(Page(list(entries)))


def decode_page(data: bytes) -> t.List[ChunkRef]:
    """The chunks that a page names.

    :raises BundleError: if the bytes are no page.
    """
    page = t.cast(Page, _decode(_page_decoder, data, "page"))
    refs = []
    for entry in page.chunks:
        if len(entry.digest) != _DIGEST_BYTES:
            message = f"found a digest of {len(entry.digest)} bytes, allowed is {_DIGEST_BYTES}"
            raise BundleError("page is malformed", [Fault("page", "malformed", message)])
        refs.append(ChunkRef(digest=Digest(entry.digest.hex()), blocks=entry.blocks))
    return refs


async def missing_chunks(
    store: ObjectStore,
    old: t.Optional[Bundle],
    new: Bundle,
    objects_by_digest: t.Mapping[Digest, bytes],
) -> t.Dict[Digest, bytes]:
    """What must be put into the store before the head may name ``new``.

    :param store: holds the objects of ``old``.
    :param old: a bundle whose objects are all in the store, if there is one.
    :param new: the bundle to submit.
    :param objects_by_digest: pages and chunks of ``new``, as :func:`load_block_files` gave them.
    :return: objects by digest: chunks first, then the pages that name them.
    """
    known: t.Set[Digest] = set()
    if old is not None:
        known.update(ref.digest for ref in old.chunks)
    pages = [ref.digest for ref in new.chunks if ref.digest not in known]
    if pages and old is not None:
        known.update(await _chunks_of_changed_pages(store, old, new))
    missing: t.Dict[Digest, bytes] = {}
    for page in pages:
        for ref in decode_page(objects_by_digest[page]):
            if ref.digest in known:
                continue
            missing[ref.digest] = objects_by_digest[ref.digest]
    for page in pages:
        missing[page] = objects_by_digest[page]
    return missing


async def _chunks_of_changed_pages(store: ObjectStore, old: Bundle, new: Bundle) -> t.Set[Digest]:
    kept = {ref.digest for ref in new.chunks}
    digests: t.Set[Digest] = set()
    for ref in old.chunks:
        if ref.digest in kept:
            continue
        page = decode_page(await store.get(ref.digest))
        digests.update(chunk.digest for chunk in page)
    return digests


def _decode(decoder: t.Any, data: bytes, kind: str) -> t.Any:
    if len(data) > MAX_OBJECT_BYTES:
        message = f"found {len(data)} bytes, allowed are {MAX_OBJECT_BYTES}"
        raise BundleError(f"{kind} is too large", [Fault(kind, "too-large", message)])
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BundleError(f"{kind} is malformed", [Fault(kind, "malformed", str(error))]) from error


def _split_blocks(blocks: t.Sequence[Block], chunk_blocks: int) -> t.Iterator[t.Sequence[Block]]:
    start = 0
    for index in range(1, len(blocks)):
        block = blocks[index]
        new_family = block.family is not blocks[start].family
        if not new_family and not _is_cut(index - start, _block_hash(block), chunk_blocks):
            continue
        yield blocks[start:index]
        start = index
    if blocks:
        yield blocks[start:]


def _split_entries(
    entries: t.Sequence[ChunkEntry], hashes: t.Sequence[int]
) -> t.Iterator[t.Sequence[ChunkEntry]]:
    start = 0
    for index in range(1, len(entries)):
        if not _is_cut(index - start, hashes[index], PAGE_CHUNKS):
            continue
        yield entries[start:index]
        start = index
    if entries:
        yield entries[start:]


def _is_cut(size: int, next_hash: int, aim: int) -> bool:
    """Whether a piece of ``size`` items ends before the item with ``next_hash``.

    Half of ``aim`` is given and half left to the hash: with all of it left to the hash, pieces
    differ more in size, and a change, which falls into large pieces more often, costs more.
    """
    half = aim // 2
    if size < half:
        return False
    return next_hash % half == 0 or size >= MAX_SIZE_FACTOR * aim


def _block_hash(block: Block) -> int:
    # The site is left out, so that steering a block elsewhere moves no cut.
    key = (block.network << 7 | block.length) * _HASH_MULTIPLIER
    return (key & _HASH_MASK) >> _HASH_SHIFT
