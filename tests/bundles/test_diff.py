"""Tests of :mod:`coralfall.bundles.diff` and :mod:`coralfall.bundles.blockdiff`."""

import random
import typing as t
import unittest
from unittest import mock

from parameterized import parameterized

from coralfall.bundles.blockdiff import SHOWN_BLOCKS, Source, diff_blocks
from coralfall.bundles.bundle import Region
from coralfall.bundles.diff import diff_bundles
from coralfall.ids import Digest, SiteId
from coralfall.lookups.blocks import parse_blocks
from coralfall.lookups.chunks import build_chunks
from tests.operators import CALOR, SIERRA, make_bundle

SITES = [SiteId("sierra-1"), SiteId("sierra-2")]


class DiffTest(unittest.TestCase):
    """Changes by dotted path."""

    @parameterized.expand(
        [
            ("nothing", {}, []),
            ("version", {"version": 2}, ["~ version: 1 -> 2"]),
            (
                "a list is one value",
                {"regions": {SIERRA: Region(zones=(), slots=12)}},
                ['~ regions.sierra.zones: ["sierra-1"] -> []'],
            ),
            ("changed below", {"slots": 5}, ["~ targets.catalogo-01.slots: 6 -> 5"]),
            (
                "removed",
                {"grants": {}},
                [f'- grants.{SIERRA} = {{"{CALOR}":{{"slots":2}}}}'],
            ),
            (
                "added",
                {"sites": {**make_bundle().sites, SITES[1]: make_bundle().sites[SITES[0]]}},
                ['+ sites.sierra-2 = {"region":"sierra","zone":"sierra-1"}'],
            ),
            (
                "several, sorted",
                {"version": 3, "targets": {}, "regions": {}},
                ["- regions.sierra", "- targets.catalogo-01", "~ version: 1 -> 3"],
            ),
        ]
    )
    def test_texts(self, _name: str, changes: t.Dict[str, t.Any], wanted: t.List[str]) -> None:
        texts = [change.text() for change in diff_bundles(make_bundle(), make_bundle(**changes))]
        self.assertEqual(len(wanted), len(texts))
        for text, start in zip(texts, wanted, strict=True):
            self.assertTrue(text.startswith(start), text)

    def test_both_ways_mirror_each_other(self) -> None:
        old, new = make_bundle(), make_bundle(2, 5, grants={})
        mirror = {"added": "removed", "removed": "added", "changed": "changed"}
        back = [(c.path, mirror[c.kind], c.new, c.old) for c in diff_bundles(new, old)]
        self.assertEqual(back, [(c.path, c.kind, c.old, c.new) for c in diff_bundles(old, new)])


class _Store:
    """Objects of a block table, and which of them were read."""

    def __init__(self, site_by_prefix: t.Mapping[str, str]) -> None:
        text = "".join(f"{prefix},{site}\n" for prefix, site in site_by_prefix.items())
        built = build_chunks(parse_blocks(text, SITES).blocks, chunk_blocks=8)
        self.read: t.List[Digest] = []
        self._objects = built.objects_by_digest
        self.source = Source(make_bundle(chunks=built.refs), self._fetch)

    async def _fetch(self, digest: Digest) -> bytes:
        self.read.append(digest)
        return self._objects[digest]


def _table(size: int) -> t.Dict[str, str]:
    chooser = random.Random(7)
    table = {f"10.{index // 256}.{index % 256}.0/24": "sierra-1" for index in range(size)}
    table.update({f"2001:db8:{index + 1:x}::/48": "sierra-2" for index in range(size)})
    return dict(chooser.sample(sorted(table.items()), len(table)))


class BlockDiffTest(unittest.IsolatedAsyncioTestCase):
    """Changes of the block table, against a comparison of two dicts."""

    async def test_counts_and_first_few(self) -> None:
        old = _table(300)
        new = dict(old)
        gone = ["10.0.5.0/24", "2001:db8:7::/48"]
        moved = ["10.0.9.0/24"]
        for prefix in gone:
            del new[prefix]
        for prefix in moved:
            new[prefix] = "sierra-2"
        new.update({f"10.9.{index}.0/24": "sierra-1" for index in range(8)})
        stores = _Store(old), _Store(new)
        found = await diff_blocks(stores[0].source, stores[1].source)
        self.assertEqual((8, 2, 1), (found.added, found.removed, found.changed))
        self.assertEqual(SHOWN_BLOCKS, len(found.first))
        self.assertEqual("blocks: 8 added, 2 removed, 1 changed", found.texts()[0])
        self.assertEqual("  and 6 more", found.texts()[-1])

    async def test_same_as_a_comparison_of_dicts(self) -> None:
        chooser = random.Random(11)
        old = _table(150)
        for _ in range(10):
            new = dict(old)
            for prefix in chooser.sample(sorted(old), 9):
                new[prefix] = chooser.choice(SITES)
            for prefix in chooser.sample(sorted(old), 4):
                del new[prefix]
            new[f"172.16.{chooser.randrange(256)}.0/24"] = SITES[0]
            wanted = {
                (f"blocks.{prefix}", old.get(prefix), new.get(prefix))
                for prefix in {**old, **new}
                if old.get(prefix) != new.get(prefix)
            }
            with mock.patch("coralfall.bundles.blockdiff.SHOWN_BLOCKS", None):
                found = await diff_blocks(_Store(old).source, _Store(new).source)
            changes = [(c.path, c.old, c.new) for c in found.first]
            self.assertEqual(sorted(wanted, key=lambda change: change[0]), changes)
            self.assertEqual(len(wanted), found.added + found.removed + found.changed)

    async def test_what_is_equal_is_not_read(self) -> None:
        old, new = _Store(_table(300)), _Store({**_table(300), "192.0.2.0/24": "sierra-1"})
        same = await diff_blocks(old.source, old.source)
        self.assertEqual(([], []), (same.texts(), old.read))
        found = await diff_blocks(old.source, new.source)
        self.assertEqual((1, 0, 0), (found.added, found.removed, found.changed))
        self.assertLess(len(new.read), len(new._objects) / 2)


if __name__ == "__main__":
    unittest.main()
