"""Block files: every fault with its line, and what a sound line means."""

import ipaddress
import pathlib
import tempfile
import typing as t
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from coralfall.ids import SiteId
from coralfall.lookups.blocks import Family, parse_address, parse_blocks

SITES = {SiteId("alto"), SiteId("bajo")}


class LineTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("no_length", "10.0.0.0,alto", "malformed"),
            ("no_address", "/8,alto", "malformed"),
            ("no_digits", "10.0.0.0/,alto", "malformed"),
            ("sign", "10.0.0.0/+8,alto", "malformed"),
            ("other_digits", "10.0.0.0/\u0668,alto", "malformed"),
            ("many_digits", "10.0.0.0/" + "8" * 5000 + ",alto", "malformed"),
            ("short_address", "10.0/8,alto", "malformed"),
            ("leading_zero", "010.0.0.0/8,alto", "malformed"),
            ("octet", "256.0.0.0/8,alto", "malformed"),
            ("netmask", "10.0.0.0/255.0.0.0,alto", "malformed"),
            ("nul", "10.0.0.0\0/8,alto", "malformed"),
            ("long_ipv4", "10.0.0.0/33,alto", "malformed"),
            ("long_ipv6", "2001:db8::/129,alto", "malformed"),
            ("scoped", "fe80::%eth0/64,alto", "malformed"),
            ("past_64", "2001:db8::/65,alto", "too-long"),
            ("host_bits", "10.0.0.1/24,alto", "host-bits-set"),
            ("host_bits_ipv6", "2001:db8::1/64,alto", "host-bits-set"),
            ("unknown_site", "10.0.0.0/8,otro", "unknown-site"),
            ("one_field", "10.0.0.0/8", "malformed"),
            ("three_fields", "10.0.0.0/8,alto,3", "malformed"),
            ("quote", '"10.0.0.0/8"x,alto', "syntax"),
        ]
    )
    def test_fault(self, _: str, line: str, code: str) -> None:
        parsed = parse_blocks(f"# ours\nprefix,site\n\n{line}\n10.9.0.0/16, bajo\n", SITES)
        self.assertEqual([(f.path, f.code) for f in parsed.faults], [("blocks.csv:4", code)])
        self.assertEqual([str(block) for block in parsed.blocks], ["10.9.0.0/16"])

    @parameterized.expand(
        [
            ("unix", "10.0.0.0/8,alto\n::/0,bajo\n"),
            ("windows", "\ufeff10.0.0.0/8,alto\r\n::/0,bajo"),
            ("spaces", " 10.0.0.0/8 , alto \n::/0,bajo"),
            ("quoted", '"10.0.0.0/8","alto"\n"::/0",bajo'),
        ]
    )
    def test_sound(self, _: str, text: str) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "ours.csv")
            path.write_bytes(text.encode())
            parsed = parse_blocks(path, SITES)
        self.assertEqual(parsed.faults, [])
        found = [(str(block), block.site) for block in parsed.blocks]
        self.assertEqual(found, [("10.0.0.0/8", "alto"), ("::/0", "bajo")])

    def test_all_faults_in_one_run(self) -> None:
        text = "10.0.0.0/8,alto\n10.0.0.1/8,alto\nx/8,otro\n10.0.0.0/8,bajo\n"
        parsed = parse_blocks(text, SITES, "a.csv")
        expected = [
            ("a.csv:2", "host-bits-set"),
            ("a.csv:3", "unknown-site"),
            ("a.csv:3", "malformed"),
            ("a.csv:4", "duplicate"),
        ]
        self.assertEqual([(fault.path, fault.code) for fault in parsed.faults], expected)
        self.assertIn("10.0.0.0/8 again; it stands at a.csv:1", parsed.faults[3].message)
        self.assertIn("did you mean 10.0.0.0/8?", parsed.faults[0].message)

    @parameterized.expand([("missing", None, "unreadable"), ("latin", b"\xff\xfe", "syntax")])
    def test_file_fault(self, _: str, data: t.Optional[bytes], code: str) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "ours.csv")
            if data is not None:
                path.write_bytes(data)
            parsed = parse_blocks(path, SITES)
        self.assertEqual([(f.path, f.code) for f in parsed.faults], [("ours.csv", code)])


class DifferentialTest(unittest.TestCase):
    @given(st.one_of(st.ip_addresses(), st.text("0123456789abcdef:./", max_size=20)))
    @settings(max_examples=300, derandomize=True, deadline=None)
    def test_address_equals_ipaddress(self, value: t.Any) -> None:
        text = str(value)
        try:
            expected = ipaddress.ip_address(text)
        except ValueError:
            with self.assertRaises(ValueError):
                parse_address(text)
            return
        mapped = getattr(expected, "ipv4_mapped", None) or expected
        bits = int(mapped) if mapped.version == 4 else int(mapped) >> 64
        self.assertEqual(parse_address(text), (Family(mapped.version), bits))

    @given(st.ip_addresses(), st.integers(0, 130), st.booleans())
    @settings(max_examples=300, derandomize=True, deadline=None)
    def test_prefix_equals_ipaddress(self, address: t.Any, length: int, masked: bool) -> None:
        text = f"{address}/{length}"
        if masked and length <= address.max_prefixlen:
            text = str(ipaddress.ip_network(text, strict=False))
        parsed = parse_blocks(f"{text},alto", SITES)
        try:
            network = ipaddress.ip_network(text)
        except ValueError:
            self.assertEqual(len(parsed.faults), 1)
            return
        if network.version == 6 and network.prefixlen > 64:
            self.assertEqual([fault.code for fault in parsed.faults], ["too-long"])
            return
        self.assertEqual([str(block) for block in parsed.blocks], [str(network)])
