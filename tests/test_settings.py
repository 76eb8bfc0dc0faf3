"""Tests of :mod:`coralfall.settings` and :mod:`coralfall.tomlfile`."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall.exceptions import SettingsError
from coralfall.settings import TargetStandinSettings, load_settings, split_address
from tests.checks import make_folder

GOOD = b'address = "127.0.0.1:1"\n'
UNKNOWN = ("adress", "unknown-field")
WRONG = ("slots", "wrong-type")


class LoadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.path = make_folder(self) / "target.toml"

    def test_valid_file(self) -> None:
        self.path.write_bytes(GOOD + b"slots = 3\n")
        expected = TargetStandinSettings(address="127.0.0.1:1", slots=3)
        self.assertEqual(expected, load_settings(self.path, TargetStandinSettings))

    @parameterized.expand(
        [
            ("missing", None, [("", "unreadable")]),
            ("not TOML", b"address =", [("", "syntax")]),
            ("not UTF-8", b"\xff\xfe", [("", "syntax")]),
            ("no address", b"", [("address", "missing-field")]),
            ("two", b"adress = 1\n" + GOOD + b"slots = 2.5\n", [UNKNOWN, WRONG]),
        ]
    )
    def test_faults(
        self, _name: str, data: t.Optional[bytes], expected: t.List[t.Tuple[str, str]]
    ) -> None:
        if data is not None:
            self.path.write_bytes(data)
        with self.assertRaises(SettingsError) as caught:
            load_settings(self.path, TargetStandinSettings)
        found = [(fault.path, fault.code) for fault in caught.exception.faults]
        self.assertEqual(expected, found)
        self.assertTrue(caught.exception.message.startswith(f"{self.path}: "))
        for fault in caught.exception.faults:
            self.assertIn(fault.message, caught.exception.message)


class AddressTest(unittest.TestCase):
    @parameterized.expand([("10.0.0.1:80", "10.0.0.1", 80), ("[fd00::1]:0", "fd00::1", 0)])
    def test_valid(self, text: str, host: str, port: int) -> None:
        self.assertEqual((host, port), split_address(text))

    @parameterized.expand([("10.0.0.1",), ("10.0.0.1:",), ("10.0.0.1:65536",), ("10.0.0.1:-1",)])
    def test_invalid(self, text: str) -> None:
        with self.assertRaises(ValueError):
            split_address(text)


if __name__ == "__main__":
    unittest.main()
