"""The block table against a scan of all blocks."""

import asyncio
import typing as t
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from coralfall.bundles.bundle import ChunkRef, digest_of
from coralfall.exceptions import BundleError
from coralfall.ids import Digest, SiteId
from coralfall.lookups import blocktable, chunks
from coralfall.lookups.blocks import TABLE_BITS, Block, ClientAddress, Family
from coralfall.lookups.blocktable import BlockTable, load_block_table
from coralfall.lookups.chunks import Chunk, ChunkEntry

SITES = [SiteId(name) for name in ("alto", "bajo", "cima", "delta")]
CHUNK_BLOCKS = 4


def scan(blocks: t.Iterable[Block], address: ClientAddress) -> t.Optional[SiteId]:
    """The naive reference: the longest of all blocks that hold the address."""
    best: t.Optional[Block] = None
    for block in blocks:
        if block.family is not address.family:
            continue
        shift = TABLE_BITS[block.family] - block.length
        if block.network >> shift != address.bits >> shift:
            continue
        if best is None or block.length > best.length:
            best = block
    return best.site if best else None


def load(
    blocks: t.Sequence[Block], previous: t.Optional[BlockTable] = None
) -> t.Tuple[BlockTable, t.List[Digest]]:
    """The table of ``blocks`` and the digests that were fetched for it."""
    built = chunks.build_chunks(blocks, CHUNK_BLOCKS)
    return load_objects(built.refs, built.objects_by_digest, previous)


def load_chunks(parts: t.Sequence[Chunk]) -> BlockTable:
    """The table of chunks that need not be sound."""
    encoded = [msgspec.msgpack.encode(part) for part in parts]
    entries = [ChunkEntry(bytes.fromhex(digest_of(data)), 1) for data in encoded]
    page = chunks.encode_page(entries)
    objects_by_digest = {digest_of(data): data for data in [*encoded, page]}
    refs = [ChunkRef(digest=digest_of(page), blocks=len(parts))]
    return load_objects(refs, objects_by_digest)[0]


def load_objects(
    refs: t.Sequence[ChunkRef],
    objects_by_digest: t.Mapping[Digest, bytes],
    previous: t.Optional[BlockTable] = None,
) -> t.Tuple[BlockTable, t.List[Digest]]:
    """The table of ``refs`` and the digests that were fetched for it."""
    fetched: t.List[Digest] = []

    async def fetch(digest: Digest) -> bytes:
        fetched.append(digest)
        return objects_by_digest[digest]

    table = asyncio.run(load_block_table(refs, SITES, fetch, previous))
    return table, fetched


@st.composite
def block(draw: st.DrawFn) -> Block:
    """Blocks crowded into few addresses, so that many nest and touch."""
    family = draw(st.sampled_from(list(Family)))
    bits = TABLE_BITS[family]
    length = draw(st.sampled_from([0, 1, 4, 6, 7, 8, bits - 1, bits]))
    top = draw(st.integers(0, 255)) << (bits - 8) | draw(st.integers(0, 1))
    shift = bits - length
    return Block(family, top >> shift << shift, length, draw(st.sampled_from(SITES)))


def tables(max_size: int = 60) -> st.SearchStrategy[t.List[Block]]:
    unique = st.lists(block(), max_size=max_size, unique_by=Block.order)
    return unique.map(lambda blocks: sorted(blocks, key=Block.order))


def edges(blocks: t.Iterable[Block]) -> t.Iterator[ClientAddress]:
    """First and last address of each block, and those next to it."""
    for item in blocks:
        bits = TABLE_BITS[item.family]
        last = item.network | ((1 << (bits - item.length)) - 1)
        for value in (item.network - 1, item.network, last, last + 1):
            if 0 <= value < 1 << bits:
                yield ClientAddress(item.family, value)


class DifferentialTest(unittest.TestCase):
    @given(tables())
    @settings(max_examples=150, derandomize=True, deadline=None)
    def test_equals_scan(self, blocks: t.List[Block]) -> None:
        table, _ = load(blocks)
        self.assertEqual(table.blocks, len(blocks))
        for address in edges(blocks):
            self.assertEqual(table.find(address), scan(blocks, address), address)

    @given(st.lists(tables(40), min_size=2, max_size=4), st.integers(0, 30))
    @settings(max_examples=60, derandomize=True, deadline=None)
    def test_changes_equal_rebuild(self, versions: t.List[t.List[Block]], kept: int) -> None:
        table = BlockTable()
        blocks: t.List[Block] = []
        for version in versions:
            by_key = {item.order(): item for item in version + blocks[:kept]}
            blocks = sorted(by_key.values(), key=Block.order)
            table, _ = load(blocks, table)
            rebuilt, _ = load(blocks)
            for address in edges(blocks):
                self.assertEqual(table.find(address), scan(blocks, address), address)
                self.assertEqual(table.find(address), rebuilt.find(address), address)


class ObjectTest(unittest.TestCase):
    @given(tables())
    @settings(max_examples=60, derandomize=True, deadline=None)
    def test_gives_back_its_objects(self, blocks: t.List[Block]) -> None:
        table, _ = load(blocks)
        for digest, data in chunks.build_chunks(blocks, CHUNK_BLOCKS).objects_by_digest.items():
            self.assertEqual(table.object_bytes(digest), data)

    def test_unchanged_chunks_are_not_fetched(self) -> None:
        blocks = [Block(Family.IPV4, i << 8, 24, SITES[i % 4]) for i in range(400)]
        table, first = load(blocks)
        blocks[200] = Block(Family.IPV4, 200 << 8, 24, SITES[3 - 200 % 4])
        changed, second = load(blocks, table)
        self.assertGreater(len(first), 40)
        self.assertEqual(len(second), 2)
        self.assertEqual(changed.find(ClientAddress(Family.IPV4, 200 << 8)), SITES[3])

    def test_wrong_bytes_are_refused(self) -> None:
        built = chunks.build_chunks([Block(Family.IPV4, 0, 8, SITES[0])])
        other = chunks.build_chunks([Block(Family.IPV4, 0, 8, SITES[1])])
        bytes_by_kind = {"page": 1, "chunk": 0}
        for kind, index in bytes_by_kind.items():
            swapped = dict(built.objects_by_digest)
            digest = list(swapped)[index]
            swapped[digest] = list(other.objects_by_digest.values())[index]
            with self.subTest(kind), self.assertRaises(BundleError):
                load_objects(built.refs, swapped)

    @parameterized.expand(
        [
            ("no_blocks", Chunk(Family.IPV4, ("alto",), [], [], [])),
            ("uneven", Chunk(Family.IPV4, ("alto",), [8, 8], [1, 1], [0])),
            ("length", Chunk(Family.IPV4, ("alto",), [33], [1], [0])),
            ("negative_length", Chunk(Family.IPV4, ("alto",), [-1], [0], [0])),
            ("backwards", Chunk(Family.IPV4, ("alto",), [8, 8], [5, -1], [0, 0])),
            ("twice", Chunk(Family.IPV4, ("alto",), [8, 8], [5, 0], [0, 0])),
            ("cover_last", Chunk(Family.IPV4, ("alto",), [9, 8], [0, 0], [0, 0])),
            ("past_the_end", Chunk(Family.IPV4, ("alto",), [8], [256], [0])),
            ("no_such_site", Chunk(Family.IPV4, ("alto",), [8], [0], [1])),
            ("negative_pick", Chunk(Family.IPV4, ("alto",), [8], [0], [-1])),
            ("site_not_stated", Chunk(Family.IPV4, ("otro",), [8], [0], [0])),
        ]
    )
    def test_malformed_chunk_is_refused(self, _: str, chunk: Chunk) -> None:
        with self.assertRaises(BundleError):
            load_chunks([chunk])

    def test_chunks_out_of_order_are_refused(self) -> None:
        low = Chunk(Family.IPV4, ("alto",), [8], [1], [0])
        high = Chunk(Family.IPV4, ("alto",), [8], [2], [0])
        self.assertEqual(load_chunks([low, high]).blocks, 2)
        with self.assertRaises(BundleError):
            load_chunks([high, low])


class StepTest(unittest.TestCase):
    def test_loop_gets_its_turns(self) -> None:
        blocks = [Block(Family.IPV4, i << 8, 24, SITES[0]) for i in range(8 * 4096)]
        built = chunks.build_chunks(blocks, 4096)
        turns = 0

        async def count_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        async def fetch(digest: Digest) -> bytes:
            return built.objects_by_digest[digest]

        async def run() -> None:
            counter = asyncio.ensure_future(count_turns())
            await load_block_table(built.refs, SITES, fetch)
            counter.cancel()

        asyncio.run(run())
        self.assertGreaterEqual(turns, len(blocks) // blocktable.STEP_BLOCKS)
