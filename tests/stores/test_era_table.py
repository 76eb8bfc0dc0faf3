"""A table whose revisions keep rising when the platform comes back from an older copy."""

import asyncio
import typing as t
import unittest
from unittest import mock

from parameterized import parameterized

from coralfall.exceptions import PlatformUnavailableError
from coralfall.ids import Era, Position, Revision
from coralfall.process.clock import ManualClock
from coralfall.stores.era_table import EraTable, join_position, split_revision
from coralfall.stores.memory_platform import MemoryPlatform
from coralfall.stores.store import Changes, Check, Table, Write
from tests.older_copy import copy_of, restore

PREFIXES = ("",)


def at(era: int, revision: int) -> Revision:
    return join_position(Position(Era(era), Revision(revision)))


class PositionTest(unittest.TestCase):
    @parameterized.expand([(0, 0), (0, 7), (1, 0), (3, 1 << 40)])
    def test_split_gives_what_was_joined(self, era: int, revision: int) -> None:
        self.assertEqual((era, revision), split_revision(at(era, revision)))

    def test_later_eras_come_later(self) -> None:
        positions = [at(0, 0), at(0, 9), at(1, 0), at(1, 2), at(2, 1)]
        self.assertEqual(sorted(positions), positions)


class EraTableTest(unittest.TestCase):
    """The platform has row a at revision 1, and loses b, which was written at revision 2."""

    def setUp(self) -> None:
        self.platform_table: Table = MemoryPlatform(ManualClock(1000.0)).platform.table
        self.table = EraTable(self.platform_table)
        self.write("a")
        copy = copy_of(self.platform_table)
        self.write("b")
        restore(self.platform_table, copy)

    def write(self, key: str, expected: t.Optional[Revision] = None) -> bool:
        write = Write(key, b"value", expected)
        return asyncio.run(self.table.transact([write])).committed

    def changes(self, since: Revision) -> Changes:
        return asyncio.run(self.table.changes(PREFIXES, since))

    @parameterized.expand(
        [
            # what was read last, keys, revision, whether all rows come
            ("nothing", at(0, 0), ["a"], at(1, 1), False),
            ("the earlier era", at(0, 2), ["a"], at(1, 1), True),
            ("this era", at(1, 1), [], at(1, 1), False),
        ]
    )
    def test_changes(
        self, _name: str, since: Revision, keys: t.List[str], revision: Revision, is_all: bool
    ) -> None:
        changes = self.changes(since)
        self.assertEqual(keys, [row.key for row in changes.rows])
        self.assertEqual([revision] * len(keys), [row.revision for row in changes.rows])
        self.assertEqual((revision, is_all), (changes.revision, changes.is_snapshot))

    def test_a_revision_given_out_again_is_another_one(self) -> None:
        self.write("c")
        changes = self.changes(at(0, 2))
        self.assertEqual(["a", "c"], [row.key for row in changes.rows])
        self.assertEqual(at(1, 2), changes.revision)

    @parameterized.expand(
        [
            ("kept, read before", "a", at(0, 1), True),
            ("kept, read since", "a", at(1, 1), True),
            ("lost", "b", at(0, 2), False),
            ("absent", "b", Revision(0), True),
        ]
    )
    def test_expected_revisions(
        self, _name: str, key: str, expected: Revision, is_written: bool
    ) -> None:
        self.assertEqual(is_written, self.write(key, expected))

    def test_a_check_of_a_lost_row_fails(self) -> None:
        check = Check("b", at(0, 2))
        result = asyncio.run(self.table.transact([Write("c", b"value")], [check]))
        self.assertFalse(result.committed)
        self.assertEqual([Revision(0)], [row.revision for row in result.conflicts])

    def test_rows_that_are_read_are_of_the_present_era(self) -> None:
        rows_by_key = asyncio.run(self.table.read(["a"]))
        self.assertEqual(at(1, 1), rows_by_key["a"].revision)

    def test_an_answer_of_an_earlier_era_is_no_answer(self) -> None:
        earlier = Changes((), Revision(5), 1000.0, era=Era(0))
        patch = mock.patch.object(self.platform_table, "changes", return_value=earlier)
        with patch, self.assertRaises(PlatformUnavailableError):
            self.changes(at(1, 1))
