"""Tests of the package's public names."""

import subprocess
import sys
import unittest

import coralfall


class TestPublicNames(unittest.TestCase):
    def test_every_name_is_importable(self) -> None:
        for name in coralfall.__all__:
            self.assertEqual(getattr(coralfall, name).__name__, name)

    def test_unknown_name(self) -> None:
        with self.assertRaisesRegex(AttributeError, "no attribute 'Nothing'"):
            coralfall.Nothing  # noqa: B018

    def test_import_loads_no_server(self) -> None:
        code = "import sys, coralfall; sys.exit('uvicorn' in sys.modules)"
        self.assertEqual(subprocess.run([sys.executable, "-c", code], check=False).returncode, 0)
