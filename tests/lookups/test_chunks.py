"""Chunks: small changes cost few of them, and what is missing is put in order."""

import asyncio
import pathlib
import random
import tempfile
import typing as t
import unittest

import msgspec
from parameterized import parameterized

from coralfall.bundles.bundle import Bundle
from coralfall.exceptions import BundleError
from coralfall.ids import BundleVersion, Digest, PartnerId, SiteId
from coralfall.lookups import chunks
from coralfall.lookups.blocks import Block, Family
from coralfall.stores.store import ObjectStore

SITES = [SiteId("alto"), SiteId("bajo")]
BLOCKS = 40_000


class DictStore(ObjectStore):
    """An object store that counts what is read."""

    def __init__(self, objects_by_digest: t.Mapping[Digest, bytes]) -> None:
        self.objects_by_digest = dict(objects_by_digest)
        self.reads = 0

    async def put(self, digest: Digest, data: bytes) -> None:
        self.objects_by_digest[digest] = data

    async def get(self, digest: Digest) -> bytes:
        self.reads += 1
        return self.objects_by_digest[digest]


def make_blocks() -> t.List[Block]:
    """A table with gaps, the same at every call."""
    rng = random.Random(5)
    blocks = []
    for index in range(BLOCKS):
        if rng.random() < 0.7:
            blocks.append(Block(Family.IPV4, index << 8, 24, rng.choice(SITES)))
        else:
            blocks.append(Block(Family.IPV6, 0x20010DB8 << 32 | index << 16, 48, SITES[0]))
    return sorted(blocks, key=Block.order)


def bundle_of(built: chunks.BuiltChunks) -> Bundle:
    return Bundle(
        partner=PartnerId("cosecha"),
        version=BundleVersion(1),
        regions={},
        services={},
        targets={},
        chunks=built.refs,
    )


def insert_first(blocks: t.List[Block]) -> None:
    blocks.insert(0, Block(Family.IPV4, 0, 7, SITES[0]))


def delete_first_chunks(blocks: t.List[Block]) -> None:
    del blocks[:600]


def delete_middle(blocks: t.List[Block]) -> None:
    del blocks[BLOCKS // 3]


def steer_elsewhere(blocks: t.List[Block]) -> None:
    old = blocks[BLOCKS // 2]
    blocks[BLOCKS // 2] = msgspec.structs.replace(old, site=SiteId("cima"))


class ChangeTest(unittest.TestCase):
    @parameterized.expand(
        [(insert_first,), (delete_first_chunks,), (delete_middle,), (steer_elsewhere,)]
    )
    def test_costs_few_objects(self, change: t.Callable[[t.List[Block]], None]) -> None:
        blocks = make_blocks()
        old = chunks.build_chunks(blocks, 128)
        change(blocks)
        new = chunks.build_chunks(blocks, 128)
        store = DictStore(old.objects_by_digest)
        missing = asyncio.run(
            chunks.missing_chunks(store, bundle_of(old), bundle_of(new), new.objects_by_digest)
        )
        self.assertEqual(
            missing.keys(), new.objects_by_digest.keys() - old.objects_by_digest.keys()
        )
        self.assertGreater(len(old.objects_by_digest), 200)
        self.assertLessEqual(len(missing), 6)
        self.assertLessEqual(store.reads, 3)

    def test_first_bundle_puts_all_and_pages_last(self) -> None:
        new = chunks.build_chunks(make_blocks(), 128)
        store = DictStore({})
        missing = asyncio.run(
            chunks.missing_chunks(store, None, bundle_of(new), new.objects_by_digest)
        )
        self.assertEqual(missing, new.objects_by_digest)
        pages = [ref.digest for ref in new.refs]
        self.assertEqual(list(missing)[-len(pages) :], pages)

    def test_unchanged_bundle_puts_nothing(self) -> None:
        built = chunks.build_chunks(make_blocks(), 128)
        store = DictStore({})
        bundle = bundle_of(built)
        missing = asyncio.run(chunks.missing_chunks(store, bundle, bundle, built.objects_by_digest))
        self.assertEqual((missing, store.reads), ({}, 0))


class ObjectTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("not_msgpack", chunks.decode_chunk, b"\xc1"),
            ("text", chunks.decode_page, b"\xa1x"),
            ("short_digest", chunks.decode_page, msgspec.msgpack.encode([[[b"ab", 3]]])),
            ("family", chunks.decode_chunk, msgspec.msgpack.encode([5, [], [], [], []])),
            ("too_large", chunks.decode_chunk, bytes(chunks.MAX_OBJECT_BYTES + 1)),
        ]
    )
    def test_malformed_is_refused(
        self, _: str, decode: t.Callable[[bytes], t.Any], data: bytes
    ) -> None:
        with self.assertRaises(BundleError):
            decode(data)


class FileTest(unittest.TestCase):
    def test_files_are_one_table(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            first = pathlib.Path(folder, "a.csv")
            second = pathlib.Path(folder, "b.csv")
            first.write_text("10.0.0.0/8,alto\n")
            second.write_text("9.0.0.0/8,bajo\n")
            loaded = chunks.load_block_files([first, second], SITES)
            self.assertEqual([ref.blocks for ref in loaded.refs], [2])
            second.write_text("9.0.0.0/8,bajo\n10.0.0.0/8,bajo\n")
            faulty = chunks.load_block_files([first, second], SITES)
        self.assertEqual([(f.path, f.code) for f in faulty.faults], [("b.csv:2", "duplicate")])
        self.assertEqual(faulty.refs, ())
