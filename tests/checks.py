"""Checks and set-up that the tests of several modules share."""

import contextlib
import pathlib
import tempfile
import typing as t
import unittest

from coralfall.exceptions import CoralfallError


@contextlib.contextmanager
def refused(error: t.Type[CoralfallError], reason: str) -> t.Iterator[t.Any]:
    """Fails unless the block raises ``error`` with ``reason`` in its fields.

    What it gives holds the error in ``exception`` afterwards.
    """
    case = unittest.TestCase()
    with case.assertRaises(error) as caught:
        yield caught
    case.assertEqual(reason, caught.exception.fields["reason"])


def make_folder(case: unittest.TestCase) -> pathlib.Path:
    """An empty folder that is gone after the test."""
    folder = tempfile.TemporaryDirectory()
    case.addCleanup(folder.cleanup)
    return pathlib.Path(folder.name)
