"""Which client blocks differ between two bundles; only chunks that differ are read."""

import typing as t

import msgspec

from ..ids import Digest, SiteId
from ..lookups.blocks import TABLE_BITS, Block
from ..lookups.chunks import Chunk, decode_chunk, decode_page
from .bundle import Bundle
from .diff import Change, diff_values

#: Most block changes that are named one by one.
SHOWN_BLOCKS = 5

#: Gives an object's bytes, from a signed file or the object store.
Fetch = t.Callable[[Digest], t.Awaitable[bytes]]


class Source(t.NamedTuple):
    """A bundle and where the objects of its block table come from."""

    bundle: Bundle
    fetch: Fetch


class BlockDiff(msgspec.Struct, frozen=True):
    """How many blocks came, went and were steered to another site."""

    added: int
    removed: int
    changed: int
    #: The first few changes in the order of their prefixes as text.
    first: t.Tuple[Change, ...]

    def texts(self) -> t.List[str]:
        """Lines for an operator; none if nothing differs."""
        total = self.added + self.removed + self.changed
        if not total:
            return []
        lines = [f"blocks: {self.added} added, {self.removed} removed, {self.changed} changed"]
        lines += [f"  {change.text()}" for change in self.first]
        if total > len(self.first):
            lines.append(f"  and {total - len(self.first)} more")
        return lines


async def diff_blocks(old: Source, new: Source) -> BlockDiff:
    """Changes of the block table from ``old`` to ``new``."""
    old_pages = [ref.digest for ref in old.bundle.chunks]
    new_pages = [ref.digest for ref in new.bundle.chunks]
    old_chunks = await _list_chunks(old, old_pages, set(new_pages))
    new_chunks = await _list_chunks(new, new_pages, set(old_pages))
    old_sites = await _read_sites(old, old_chunks, set(new_chunks))
    new_sites = await _read_sites(new, new_chunks, set(old_chunks))
    return _compare(old_sites, new_sites)


async def _list_chunks(
    source: Source, pages: t.Sequence[Digest], known: t.Container[Digest]
) -> t.List[Digest]:
    digests: t.List[Digest] = []
    for page in pages:
        if page in known:
            continue
        digests += [ref.digest for ref in decode_page(await source.fetch(page))]
    return digests


async def _read_sites(
    source: Source, digests: t.Sequence[Digest], known: t.Container[Digest]
) -> t.Dict[str, SiteId]:
    site_by_prefix = {}
    for digest in digests:
        if digest in known:
            continue
        for block in _blocks_of(decode_chunk(await source.fetch(digest))):
            site_by_prefix[str(block)] = block.site
    return site_by_prefix


def _blocks_of(chunk: Chunk) -> t.Iterator[Block]:
    previous = 0
    for length, distance, pick in zip(chunk.lengths, chunk.distances, chunk.picks, strict=True):
        shift = TABLE_BITS[chunk.family] - length
        previous = ((previous >> shift) + distance) << shift
        yield Block(chunk.family, previous, length, chunk.sites[pick])


def _compare(old: t.Mapping[str, SiteId], new: t.Mapping[str, SiteId]) -> BlockDiff:
    changes = diff_values("blocks", old, new)
    changes.sort(key=lambda change: change.path)
    count = {"added": 0, "removed": 0, "changed": 0}
    for change in changes:
        count[change.kind] += 1
    return BlockDiff(first=tuple(changes[:SHOWN_BLOCKS]), **count)
