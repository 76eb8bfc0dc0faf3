"""The client block table in memory: which site an address is steered to, by longest match.

Each chunk of the bundle becomes one segment: its blocks in sorted arrays, each with the position
of the block that covers it. A look-up bisects for the last block that starts at or before the
address and follows the covering blocks until one holds the address. Blocks of earlier chunks
that reach into a segment are kept beside it, so a chunk can change without its neighbours being
compiled again. A new table shares the segments of all chunks that it has in common with the
table before.
"""

import array
import asyncio
import bisect
import sys
import typing as t

from ..bundles.bundle import ChunkRef, digest_of
from ..exceptions import BundleError, Fault
from ..ids import Digest, SiteId
from .blocks import TABLE_BITS, ClientAddress, Family
from .chunks import (
    MAX_CHUNK_BLOCKS,
    Chunk,
    ChunkEntry,
    decode_chunk,
    decode_page,
    encode_columns,
    encode_page,
)

#: Blocks compiled between two turns of the loop.
STEP_BLOCKS = 512
#: Segments joined between two turns of the loop.
STEP_SEGMENTS = 128
#: Objects asked for at one time.
FETCHES = 8

#: Fetches the bytes of an object by its digest.
Fetch = t.Callable[[Digest], t.Awaitable[bytes]]

_T = t.TypeVar("_T")
#: Work cut into steps that are short enough for the loop; returns its result.
Steps = t.Generator[None, None, _T]

_NO_COVER = 0xFFFF
_TYPECODE_BY_FAMILY = {Family.IPV4: "I", Family.IPV6: "Q"}


class Cover(t.NamedTuple):
    """A block that reaches past the segment it stands in."""

    network: int
    #: Bits after the prefix.
    shift: int
    site: SiteId

    def holds(self, bits: int) -> bool:
        """Whether an address lies in the block."""
        return (bits ^ self.network) >> self.shift == 0


class Segment:
    """A compiled chunk: 8 bytes for an IPv4 block, 12 for an IPv6 block.

    :param family: of all its blocks.
    :param sites: sites that the blocks name.
    """

    __slots__ = ("covers", "family", "networks", "picks", "shifts", "sites", "tail")

    def __init__(self, family: Family, sites: t.Tuple[SiteId, ...]) -> None:
        self.family = family
        self.sites = sites
        self.networks = array.array(_TYPECODE_BY_FAMILY[family])
        self.shifts = array.array("B")
        self.picks = array.array("B" if len(sites) <= 256 else "H")
        #: Position of the smallest block in this segment that covers the block.
        self.covers = array.array("H")
        #: The last block after those that cover it: all that can reach past the segment.
        self.tail: t.Tuple[Cover, ...] = ()

    def find(self, bits: int) -> t.Optional[SiteId]:
        """Site of the smallest block of this segment that holds an address.

        :param bits: an address that is not before the first block.
        """
        networks = self.networks
        position = bisect.bisect_right(networks, bits) - 1
        while position != _NO_COVER:
            if (bits ^ networks[position]) >> self.shifts[position] == 0:
                return self.sites[self.picks[position]]
            position = self.covers[position]
        return None

    def encode(self) -> bytes:
        """Bytes of the chunk that this was compiled from."""
        bits = TABLE_BITS[self.family]
        lengths = [bits - shift for shift in self.shifts]
        return encode_columns(self.family, self.sites, self.networks, lengths, self.picks.tolist())

    def order_of_first(self) -> t.Tuple[int, int, int]:
        """Sort key of the first block, as :meth:`Block.order`."""
        return (self.family, self.networks[0], -self.shifts[0])

    def order_of_last(self) -> t.Tuple[int, int, int]:
        """Sort key of the last block, as :meth:`Block.order`."""
        return (self.family, self.networks[-1], -self.shifts[-1])


class _FamilyIndex:
    """The segments of one family, in order."""

    __slots__ = ("firsts", "inherited", "segments")

    def __init__(self) -> None:
        #: First network of each segment.
        self.firsts: t.List[int] = []
        self.segments: t.List[Segment] = []
        #: Blocks of earlier segments that reach into each segment, smallest first.
        self.inherited: t.List[t.Tuple[Cover, ...]] = []

    def append(self, segment: Segment) -> None:
        first = segment.networks[0]
        reaching: t.List[Cover] = []
        if self.segments:
            for cover in self.segments[-1].tail[::-1] + self.inherited[-1]:
                if cover.holds(first):
                    reaching.append(cover)
        self.firsts.append(first)
        self.segments.append(segment)
        self.inherited.append(tuple(reaching))

    def find(self, bits: int) -> t.Optional[SiteId]:
        index = bisect.bisect_right(self.firsts, bits) - 1
        if index < 0:
            return None
        site = self.segments[index].find(bits)
        if site is not None:
            return site
        for cover in self.inherited[index]:
            if cover.holds(bits):
                return cover.site
        return None


class BlockTable:
    """Finds the site of a caller's address; never changes once it is built.

    Build one with :func:`load_block_table`; an empty one knows no address.
    """

    def __init__(self) -> None:
        self._index_by_family = {Family.IPV4: _FamilyIndex(), Family.IPV6: _FamilyIndex()}
        self._segments_by_digest: t.Dict[Digest, Segment] = {}
        self._pages_by_digest: t.Dict[Digest, t.Tuple[Digest, ...]] = {}
        #: Number of blocks.
        self.blocks = 0

    def find(self, address: ClientAddress) -> t.Optional[SiteId]:
        """Site of the longest block that holds ``address``; ``None`` if none does."""
        return self._index_by_family[address.family].find(address.bits)

    def segment(self, digest: Digest) -> t.Optional[Segment]:
        """The segment compiled from a chunk, if the table holds it."""
        return self._segments_by_digest.get(digest)

    def page(self, digest: Digest) -> t.Optional[t.Tuple[Digest, ...]]:
        """Digests of the chunks that a page names, if the table holds it."""
        return self._pages_by_digest.get(digest)

    def object_bytes(self, digest: Digest) -> t.Optional[bytes]:
        """Bytes of a page or chunk of this table, for a peer that lacks it; made anew."""
        segment = self._segments_by_digest.get(digest)
        if segment is not None:
            return segment.encode()
        page = self._pages_by_digest.get(digest)
        if page is None:
            return None
        entries = []
        for chunk in page:
            count = len(self._segments_by_digest[chunk].networks)
            entries.append(ChunkEntry(bytes.fromhex(chunk), count))
        return encode_page(entries)

    def _append_page(self, digest: Digest, chunks: t.Tuple[Digest, ...]) -> None:
        self._pages_by_digest[digest] = chunks

    def _append_segment(self, digest: Digest, segment: Segment) -> None:
        self._segments_by_digest[digest] = segment
        self._index_by_family[segment.family].append(segment)
        self.blocks += len(segment.networks)


async def load_block_table(
    refs: t.Sequence[ChunkRef],
    sites: t.Container[SiteId],
    fetch: Fetch,
    previous: t.Optional[BlockTable] = None,
) -> BlockTable:
    """The table that a bundle names; only what ``previous`` lacks is fetched and compiled.

    The loop gets its turn every :data:`STEP_BLOCKS` blocks.

    :param refs: :attr:`Bundle.chunks`.
    :param sites: sites that the bundle states.
    :param fetch: such as :meth:`ObjectStore.get`; its errors pass through.
    :param previous: a table to share segments with.
    :raises BundleError: if an object is not what its digest says, or no part of a table.
    """
    loader = _Loader(fetch, previous or BlockTable())
    pages_by_digest = await loader.load_pages([ref.digest for ref in refs])
    chunks = [chunk for ref in refs for chunk in pages_by_digest[ref.digest]]
    segments_by_digest = await loader.load_segments(chunks)
    return await _run_steps(_join(refs, pages_by_digest, segments_by_digest, sites))


class _Loader:
    """Fetches objects, a few at a time, and compiles one after another."""

    def __init__(self, fetch: Fetch, previous: BlockTable) -> None:
        self._fetch = fetch
        self._previous = previous
        self._compiling = asyncio.Lock()

    async def load_pages(self, digests: t.Iterable[Digest]) -> t.Dict[Digest, t.Tuple[Digest, ...]]:
        """The chunks that each page names, in order."""
        return await _share_or_load(digests, self._previous.page, self._load_page)

    async def load_segments(self, digests: t.Iterable[Digest]) -> t.Dict[Digest, Segment]:
        """The segment that each chunk compiles to."""
        return await _share_or_load(digests, self._previous.segment, self._load_segment)

    async def _load_page(self, digest: Digest) -> t.Tuple[Digest, ...]:
        data = await self._fetch_checked(digest)
        return tuple(ref.digest for ref in decode_page(data))

    async def _load_segment(self, digest: Digest) -> Segment:
        data = await self._fetch_checked(digest)
        # One at a time: steps of several would run in the same turn of the loop.
        async with self._compiling:
            return await _run_steps(compile_chunk(decode_chunk(data)))

    async def _fetch_checked(self, digest: Digest) -> bytes:
        data = await self._fetch(digest)
        found = digest_of(data)
        if found != digest:
            raise _malformed(f"object {digest} has the digest {found}")
        return data


def compile_chunk(chunk: Chunk) -> Steps[Segment]:
    """The segment of a chunk, in steps of :data:`STEP_BLOCKS` blocks.

    :raises BundleError: if the columns are no table: uneven, out of order, out of range.
    """
    count = len(chunk.lengths)
    if not 0 < count <= MAX_CHUNK_BLOCKS:
        raise _malformed(f"found {count} blocks, allowed are 1 to {MAX_CHUNK_BLOCKS}")
    if count != len(chunk.distances) or count != len(chunk.picks):
        raise _malformed("columns differ in length")
    # Every chunk brings its own copies of the sites' names; the table keeps one of each.
    sites = tuple(SiteId(sys.intern(site)) for site in chunk.sites)
    segment = Segment(chunk.family, sites)
    covering: t.List[int] = []
    for start in range(0, count, STEP_BLOCKS):
        _compile_step(chunk, segment, covering, start, min(start + STEP_BLOCKS, count))
        yield
    tail = []
    for position in covering:
        site = segment.sites[segment.picks[position]]
        tail.append(Cover(segment.networks[position], segment.shifts[position], site))
    segment.tail = tuple(tail)
    return segment


def _compile_step(
    chunk: Chunk, segment: Segment, covering: t.List[int], start: int, end: int
) -> None:
    networks, shifts, covers = segment.networks, segment.shifts, segment.covers
    bits = TABLE_BITS[chunk.family]
    previous = networks[-1] if start else 0
    previous_shift = shifts[-1] if start else bits + 1
    for position in range(start, end):
        shift = bits - chunk.lengths[position]
        if not 0 <= shift <= bits:
            raise _malformed(f"block {position} has a length of {chunk.lengths[position]}")
        network = ((previous >> shift) + chunk.distances[position]) << shift
        if network < previous or (network == previous and shift >= previous_shift):
            raise _malformed(f"block {position} is out of order")
        if network >> bits:
            raise _malformed(f"block {position} is past the last address")
        while covering and (network ^ networks[covering[-1]]) >> shifts[covering[-1]]:
            covering.pop()
        covers.append(covering[-1] if covering else _NO_COVER)
        covering.append(position)
        networks.append(network)
        shifts.append(shift)
        previous = network
        previous_shift = shift
    picks = chunk.picks[start:end]
    if min(picks) < 0 or max(picks) >= len(chunk.sites):
        raise _malformed("a block names no site of its chunk")
    segment.picks.extend(picks)


def _join(
    refs: t.Sequence[ChunkRef],
    pages_by_digest: t.Mapping[Digest, t.Tuple[Digest, ...]],
    segments_by_digest: t.Mapping[Digest, Segment],
    sites: t.Container[SiteId],
) -> Steps[BlockTable]:
    table = BlockTable()
    stated: t.Set[SiteId] = set()
    last: t.Optional[t.Tuple[int, int, int]] = None
    done = 0
    for ref in refs:
        chunks = pages_by_digest[ref.digest]
        table._append_page(ref.digest, chunks)
        for digest in chunks:
            segment = segments_by_digest[digest]
            if last is not None and segment.order_of_first() <= last:
                raise _malformed(f"chunk {digest} is out of order")
            # Most segments name the same sites; asking for each would take most of the time.
            if not stated.issuperset(segment.sites):
                _check_sites(segment, sites)
                stated.update(segment.sites)
            table._append_segment(digest, segment)
            last = segment.order_of_last()
            done += 1
            if done % STEP_SEGMENTS == 0:
                yield
    return table


def _check_sites(segment: Segment, sites: t.Container[SiteId]) -> None:
    for site in segment.sites:
        if site not in sites:
            message = f"found {site!r}, which sites does not state"
            raise BundleError(
                "block table names an unknown site", [Fault("chunks", "unknown-site", message)]
            )


async def _run_steps(steps: Steps[_T]) -> _T:
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return t.cast(_T, stop.value)
        await asyncio.sleep(0)


async def _share_or_load(
    digests: t.Iterable[Digest],
    shared: t.Callable[[Digest], t.Optional[_T]],
    load: t.Callable[[Digest], t.Awaitable[_T]],
) -> t.Dict[Digest, _T]:
    """What ``shared`` has under each digest, and what ``load`` gives for the others.

    :data:`FETCHES` are loaded at a time; the first error ends all.
    """
    found_by_digest: t.Dict[Digest, _T] = {}
    missing = []
    for digest in dict.fromkeys(digests):
        found = shared(digest)
        if found is None:
            missing.append(digest)
            continue
        found_by_digest[digest] = found
    queue = iter(missing)

    async def worker() -> None:
        for digest in queue:
            found_by_digest[digest] = await load(digest)

    workers = [asyncio.ensure_future(worker()) for _ in range(FETCHES)]
    try:
        await asyncio.gather(*workers)
    finally:
        for task in workers:
            task.cancel()
    return found_by_digest


def _malformed(message: str) -> BundleError:
    return BundleError(f"block table: {message}", [Fault("chunks", "malformed", message)])
