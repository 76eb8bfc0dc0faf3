"""Tests of the choice of the entry that carries a request of one that is cut off."""

import collections
import typing as t
import unittest

from parameterized import parameterized

from coralfall import defaults
from coralfall.ids import EntryId, EntryState, RegionId, ZoneId
from coralfall.placement.transit_choice import choose_transit
from coralfall.traffic.model import EntryRecord
from tests.traffic.makers import COSTA, NORTE, PEDIDOS, PUERTO, SIERRA, make_record, seeded_rng

VALLE = ZoneId("sierra-valle")
OWN = make_record("e0", transit=True, cut_off_from=(PEDIDOS,))
CUT = {"cut_off_from": (PEDIDOS,)}


def entry(name: str, zone: ZoneId = NORTE, **changes: t.Any) -> EntryRecord:
    region = COSTA if zone == PUERTO else SIERRA
    return make_record(name, **{"zone": zone, "region": region, "transit": True, **changes})


class TransitChoiceTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("the own zone first", [entry("z"), entry("r", VALLE), entry("f", PUERTO)], {"z"}),
            (
                "the region if most of the zone is cut",
                [entry("z"), entry("c", **CUT), entry("r", VALLE), entry("f", PUERTO)],
                {"z", "r"},
            ),
            (
                "all that are left if most of the region is cut",
                [entry("c1", **CUT), entry("c2", VALLE, **CUT), entry("f", PUERTO)],
                {"f"},
            ),
            ("no entry that is cut", [entry("c", **CUT)], set()),
            ("no older build", [entry("o", transit=False)], set()),
            (
                "an entry that leaves only if there is no other",
                [entry("l", state=EntryState.LEAVING), entry("f", PUERTO)],
                {"f"},
            ),
            ("an entry that leaves", [entry("l", state=EntryState.LEAVING)], {"l"}),
            ("no entry that starts", [entry("s", ready=False)], set()),
        ]
    )
    def test_entries(self, _name: str, records: t.List[EntryRecord], chosen: t.Set[str]) -> None:
        self.assertEqual(chosen, self.choose(records))

    @parameterized.expand(
        [
            ("any", frozenset(), {"z"}),
            ("another region", frozenset((COSTA,)), {"f"}),
            ("one without entries", frozenset((RegionId("austro"),)), set()),
        ]
    )
    def test_regions(self, _name: str, regions: t.FrozenSet[RegionId], chosen: t.Set[str]) -> None:
        records = [entry("z"), entry("f", PUERTO)]
        self.assertEqual(chosen, self.choose(records, regions=regions))

    def test_full_and_avoided_entries_are_left_out(self) -> None:
        records = [entry("full"), entry("avoided"), entry("free")]
        loads = {EntryId("full"): defaults.MAX_TRANSITS_BY_ENTRY}
        self.assertEqual({"free"}, self.choose(records, loads=loads, avoided={"avoided"}))

    def test_load_is_spread_over_those_that_are_left(self) -> None:
        records = [entry(f"z{number}") for number in range(8)]
        rng, loads = seeded_rng(), collections.Counter[EntryId]()
        for _ in range(80):
            chosen = choose_transit(OWN, records, PEDIDOS, (), loads, (), rng)
            assert chosen is not None
            loads[chosen.entry_id] += 1
        self.assertLessEqual(max(loads.values()) - min(loads.values()), 4)

    def choose(
        self,
        records: t.List[EntryRecord],
        regions: t.Collection[RegionId] = (),
        loads: t.Optional[t.Mapping[EntryId, int]] = None,
        avoided: t.Collection[str] = (),
    ) -> t.Set[str]:
        rng = seeded_rng()
        ids = [EntryId(name) for name in avoided]
        found = set()
        for _ in range(30):
            record = choose_transit(OWN, records, PEDIDOS, regions, loads or {}, ids, rng)
            if record is not None:
                found.add(str(record.entry_id))
        return found
