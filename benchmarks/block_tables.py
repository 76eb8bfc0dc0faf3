"""Block tables for benchmarks: the same ones at every run, and the files they travel in."""

import pathlib
import random
import typing as t

import msgspec

from coralfall.bundles.bundle import ChunkRef
from coralfall.ids import Digest, SiteId
from coralfall.lookups.blocks import TABLE_BITS, Block, ClientAddress, Family
from coralfall.lookups.chunks import BuiltChunks

SITES = [SiteId(f"site-{index:03d}") for index in range(100)]

#: Prefix lengths and how often they come, roughly as in public routing tables.
_LENGTHS = {
    Family.IPV4: ([16, 19, 20, 21, 22, 23, 24], [2, 2, 4, 5, 12, 10, 60]),
    Family.IPV6: ([32, 36, 40, 44, 48, 56, 64], [15, 4, 7, 10, 45, 9, 10]),
}
_IPV4_SHARE = 0.7
# All of 2000::/4, so that IPv6 blocks are as scattered as they can be.
_IPV6_TOP = 0x2 << 60


def make_blocks(count: int, seed: int = 1) -> t.List[Block]:
    """``count`` blocks in the order of the table, seven in ten of them IPv4, many nested."""
    rng = random.Random(seed)
    ipv4 = round(count * _IPV4_SHARE)
    blocks = _draw(rng, Family.IPV4, ipv4) + _draw(rng, Family.IPV6, count - ipv4)
    blocks.sort(key=Block.order)
    return blocks


def _draw(rng: random.Random, family: Family, count: int) -> t.List[Block]:
    lengths, weights = _LENGTHS[family]
    bits = TABLE_BITS[family]
    by_key: t.Dict[t.Tuple[int, int], Block] = {}
    while len(by_key) < count:
        length = rng.choices(lengths, weights)[0]
        network = rng.getrandbits(length) << (bits - length)
        if family is Family.IPV6:
            network = network >> 4 | _IPV6_TOP
            network = network >> (bits - length) << (bits - length)
        by_key[network, length] = Block(family, network, length, rng.choice(SITES))
    return list(by_key.values())


def steer_elsewhere(blocks: t.Sequence[Block], positions: t.Iterable[int]) -> t.List[Block]:
    """A copy in which the blocks at ``positions`` go to another site."""
    changed = list(blocks)
    for position in positions:
        index = SITES.index(changed[position].site)
        site = SITES[(index + 1) % len(SITES)]
        changed[position] = msgspec.structs.replace(changed[position], site=site)
    return changed


def make_queries(blocks: t.Sequence[Block], count: int) -> t.List[ClientAddress]:
    """Addresses to look up: nine in ten lie in a block, the others anywhere."""
    rng = random.Random(count)
    queries = []
    for _ in range(count):
        block = rng.choice(blocks)
        bits = TABLE_BITS[block.family]
        value = rng.getrandbits(bits)
        if rng.random() < 0.9:
            value = block.network | value & ((1 << (bits - block.length)) - 1)
        queries.append(ClientAddress(block.family, value))
    return queries


class ObjectFile:
    """Objects in one file, so that reading one leaves nothing else in memory."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("rb")
        index_path = path.with_suffix(".index")
        stored = msgspec.msgpack.decode(index_path.read_bytes(), type=_Index)
        self.refs = stored.refs
        self._place_by_digest = stored.place_by_digest

    async def get(self, digest: Digest) -> bytes:
        """Bytes of an object."""
        offset, size = self._place_by_digest[digest]
        self._file.seek(offset)
        return self._file.read(size)


class _Index(msgspec.Struct):
    refs: t.Tuple[ChunkRef, ...]
    place_by_digest: t.Dict[Digest, t.Tuple[int, int]]


def write_objects(built: BuiltChunks, path: pathlib.Path) -> None:
    """Write what an :class:`ObjectFile` reads."""
    place_by_digest: t.Dict[Digest, t.Tuple[int, int]] = {}
    offset = 0
    with path.open("wb") as file:
        for digest, data in built.objects_by_digest.items():
            file.write(data)
            place_by_digest[digest] = (offset, len(data))
            offset += len(data)
    path.with_suffix(".index").write_bytes(
        msgspec.msgpack.encode(_Index(built.refs, place_by_digest))
    )


def write_lines(blocks: t.Iterable[Block], path: pathlib.Path) -> None:
    """Write blocks as lines of ``prefix,site``."""
    with path.open("w") as file:
        for block in blocks:
            file.write(f"{block},{block.site}\n")
