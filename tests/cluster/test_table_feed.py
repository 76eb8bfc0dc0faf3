"""Following rows of a table that may come back from an older copy."""

import asyncio
import typing as t
import unittest

from parameterized import parameterized

from coralfall.cluster.table_feed import TableFeed, Update
from coralfall.process.clock import ManualClock
from coralfall.stores.era_table import EraTable
from coralfall.stores.memory_platform import MemoryPlatform
from coralfall.stores.store import Write
from tests.older_copy import copy_of, restore


class TableFeedTest(unittest.TestCase):
    def setUp(self) -> None:
        clock = ManualClock(1000.0)
        self.table = MemoryPlatform(clock).platform.table
        self.asked: t.List[t.Tuple[float, float]] = []
        self.feed = TableFeed(
            EraTable(self.table), ("a/",), clock, lambda *seen: self.asked.append(seen)
        )

    def write(self, *keys: str) -> None:
        asyncio.run(self.table.transact([Write(key, b"value") for key in keys]))

    def read(self) -> Update:
        return asyncio.run(self.feed.read())

    @parameterized.expand(
        [
            # what was written, whether the copy is restored, keys, era, later era, all rows
            ("nothing new", [], False, [], 0, False, False),
            ("a row", ["a/2"], False, ["a/2"], 0, False, False),
            ("a row of others", ["b/1"], False, [], 0, False, False),
            ("a row that is lost", ["a/2"], True, ["a/1"], 1, True, True),
        ]
    )
    def test_second_reading(
        self,
        _name: str,
        written: t.List[str],
        is_restored: bool,
        keys: t.List[str],
        era: int,
        is_later_era: bool,
        has_all_rows: bool,
    ) -> None:
        self.write("a/1")
        copy = copy_of(self.table)
        first = self.read()
        self.assertEqual((["a/1"], True), ([row.key for row in first.rows], first.has_all_rows))
        if written:
            self.write(*written)
        if is_restored:
            restore(self.table, copy)
        update = self.read()
        self.assertEqual(keys, [row.key for row in update.rows])
        self.assertEqual(
            (era, is_later_era, has_all_rows),
            (update.era, update.is_later_era, update.has_all_rows),
        )
        self.assertEqual(2, len(self.asked))
        self.assertFalse(self.read().is_later_era)


if __name__ == "__main__":
    unittest.main()
