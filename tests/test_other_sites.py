"""Tests of the generator of site files, which makes variants of a site for the users' benchmark."""

import copy
import tomllib
import typing as t
import unittest

from benchmarks.other_sites import KINDS, text_of_site
from parameterized import parameterized

#: Minimal site file with everything that the variants change.
SITE: t.Dict[str, t.Any] = {
    "name": "s",
    "contracts": ["base", "retry"],
    "zones": [{"name": "a", "region": "r1"}, {"name": "b", "region": "r2"}],
    "machines": [{"zone": "a", "count": 2, "cpu_share": 0.8, "memory_mb": 300, "fds": 4100}],
    "services": [
        {
            "name": "x",
            "servers": [{"zone": "a", "count": 4}],
            "slots": 6,
            "queue": 18,
            "load_header": True,
            "warm_keeps": 40,
            "speeds": [],
        }
    ],
    "classes": [
        {
            "name": "c",
            "req_bytes": {"mean": 5.0, "max": 9.0},
            "resp_bytes": {"mean": 5.0, "max": 9.0},
        }
    ],
    "net": {"cross_zone_ms": 1.0, "cross_region_ms": 12.0},
    "tolerate": {"regions": 1},
    "bounds": {"drain_ms": 2000, "closed": False},
    "platform": {"writes_per_s": 400.0},
    "day": [{"name": "quiet", "faults": [{"kind": "burst", "x": 1.5}]}, {"name": "other"}],
}


class OtherSitesTest(unittest.TestCase):
    def test_site_file_round_trip(self) -> None:
        self.assertEqual(SITE, tomllib.loads(text_of_site(SITE)))

    @parameterized.expand([(kind,) for kind in KINDS])
    def test_each_variant_changes_the_site_but_not_its_days(self, kind: str) -> None:
        site = copy.deepcopy(SITE)
        KINDS[kind](site)
        found = tomllib.loads(text_of_site(site))
        self.assertNotEqual(SITE, found)
        self.assertEqual(SITE["day"], found["day"])
