"""Look-ups: the right site, entries in the right order, spread evenly, never just one."""

import asyncio
import collections
import json
import random
import typing as t
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from coralfall import defaults
from coralfall.bundles.bundle import Bundle, Site
from coralfall.cluster.rows import Member
from coralfall.exceptions import RefusedError
from coralfall.ids import (
    BundleVersion,
    Digest,
    EntryId,
    EntryState,
    PartnerId,
    RegionId,
    SiteId,
    ZoneId,
)
from coralfall.lookups import chunks
from coralfall.lookups.blocks import ClientAddress, Family, parse_address, parse_blocks
from coralfall.lookups.blocktable import BlockTable, load_block_table
from coralfall.lookups.lookup import Lookup
from coralfall.lookups.lookup_http import LookupHttp
from tests.members import make_member

COSECHA = PartnerId("cosecha")
CALOR = PartnerId("calor")
SITES = {
    SiteId("alto"): Site(region=RegionId("sierra"), zone=ZoneId("sierra-a")),
    SiteId("bajo"): Site(region=RegionId("sierra"), zone=ZoneId("sierra-a")),
    SiteId("cima"): Site(region=RegionId("sierra"), zone=ZoneId("sierra-b")),
    SiteId("mar"): Site(region=RegionId("costa"), zone=ZoneId("costa-a")),
}
BLOCKS = "10.0.0.0/8,alto\n10.1.0.0/16,mar\n2001:db8::/32,cima\n"


def make_bundle(sites: t.Dict[SiteId, Site], version: int = 7) -> Bundle:
    return Bundle(
        partner=COSECHA,
        version=BundleVersion(version),
        regions={},
        services={},
        targets={},
        sites=sites,
    )


def make_table(text: str) -> BlockTable:
    built = chunks.build_chunks(parse_blocks(text, SITES).blocks)

    async def fetch(digest: Digest) -> bytes:
        return built.objects_by_digest[digest]

    return asyncio.run(load_block_table(built.refs, SITES, fetch))


def member(name: str, site: SiteId, state: EntryState = EntryState.SERVING) -> Member:
    place = SITES[site]
    return make_member(
        name,
        region=place.region,
        zone=place.zone,
        site=site,
        caller_address=f"{name}:80",
        peer_address=f"{name}:81",
        operator_address=f"{name}:82",
        state=state,
    )


def fleet(count_by_site: t.Mapping[str, int]) -> t.Dict[EntryId, Member]:
    """Entries named by site and number, such as ``alto-0``."""
    members = {}
    for site, count in count_by_site.items():
        for index in range(count):
            entry = member(f"{site}-{index}", SiteId(site))
            members[entry.entry_id] = entry
    return members


def make_lookup(members: t.Dict[EntryId, Member], blocks: str = BLOCKS) -> Lookup:
    lookup = Lookup([COSECHA, CALOR])
    lookup.set_bundle(make_bundle(SITES), make_table(blocks))
    lookup.set_members(members)
    return lookup


def ask(lookup: Lookup, address: str) -> t.Tuple[t.Optional[str], t.List[str]]:
    """Site and the ids of the entries that a caller is told."""
    answer = lookup.answer(COSECHA, parse_address(address))
    return answer.site, [entry.partition(":")[0] for entry in answer.entries]


def distance(entry: Member, site_id: SiteId) -> int:
    """0 at the site, 1 in its zone, 2 in its region, 3 elsewhere."""
    site = SITES[site_id]
    if entry.site == site_id:
        return 0
    if entry.zone == site.zone:
        return 1
    return 2 if entry.region == site.region else 3


class OrderTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("site_first", {"alto": 1, "bajo": 1, "cima": 1, "mar": 1}, "0123"),
            ("last_is_outside_the_zone", {"alto": 9, "cima": 2, "mar": 2}, "0002"),
            ("other_region_if_need_be", {"alto": 3, "bajo": 3, "mar": 2}, "0003"),
            ("one_zone_alone", {"alto": 2, "bajo": 9}, "0011"),
            ("none_near", {"mar": 9}, "3333"),
            ("one_entry", {"bajo": 1}, "1"),
        ]
    )
    def test_nearest_first(self, _: str, counts: t.Dict[str, int], expected: str) -> None:
        members = fleet(counts)
        lookup = make_lookup(members)
        for host in range(0, 250, 25):
            site, names = ask(lookup, f"10.9.{host}.1")
            self.assertEqual(site, "alto")
            places = [str(distance(members[EntryId(name)], SiteId("alto"))) for name in names]
            self.assertEqual("".join(places), expected)

    @given(
        st.fixed_dictionaries({site: st.integers(0, 6) for site in SITES}),
        st.sets(st.integers(0, 20)),
        st.sets(st.integers(0, 20)),
        st.integers(0, 2**32 - 1),
    )
    @settings(max_examples=150, derandomize=True, deadline=None)
    def test_names_the_suitable_nearest_first(
        self, counts: t.Dict[str, int], leaving: t.Set[int], ill: t.Set[int], bits: int
    ) -> None:
        members = fleet(counts)
        for index, entry in enumerate(list(members.values())):
            if index in leaving:
                members[entry.entry_id] = member(entry.entry_id, entry.site, EntryState.LEAVING)
        unsuitable = {name for index, name in enumerate(members) if index in ill}
        lookup = make_lookup({})
        lookup.set_members(members, unsuitable)
        suitable = {
            name
            for name, entry in members.items()
            if entry.state is EntryState.SERVING and name not in unsuitable
        }
        try:
            answer = lookup.answer(COSECHA, ClientAddress(Family.IPV4, bits))
        except RefusedError:
            self.assertEqual(suitable, set())
            return
        names = [EntryId(entry.partition(":")[0]) for entry in answer.entries]
        self.assertEqual(len(names), min(len(suitable), defaults.MAX_LOOKUP_ENTRIES))
        self.assertEqual(len(set(names)), len(names))
        self.assertLessEqual(set(names), suitable)
        assert answer.site is not None
        places = [distance(members[name], answer.site) for name in names]
        self.assertEqual(places, sorted(places))
        self.assertEqual(places[0], min(distance(members[n], answer.site) for n in suitable))
        all_places = {distance(members[name], answer.site) for name in suitable}
        if min(all_places) <= 1 and max(all_places) >= 2:
            self.assertGreaterEqual(places[-1], 2, "the last place is outside the zone")


class SpreadTest(unittest.TestCase):
    def test_first_and_second_places_are_even(self) -> None:
        lookup = make_lookup(fleet({"alto": 5, "mar": 3}))
        first: t.Counter[str] = collections.Counter()
        second: t.Counter[t.Tuple[str, str]] = collections.Counter()
        for network in range(20_000):
            bits = (10 << 24) + (2 << 16) + (network << 8)
            answer = lookup.answer(COSECHA, ClientAddress(Family.IPV4, bits))
            first[answer.entries[0]] += 1
            second[answer.entries[0], answer.entries[1]] += 1
        self.assertEqual((len(first), len(second)), (5, 20))
        self.assertLess(max(first.values()) / min(first.values()), 1.1)
        self.assertLess(max(second.values()) / min(second.values()), 1.25)

    def test_a_network_sticks(self) -> None:
        members = fleet({"alto": 5, "mar": 3})
        answers = {tuple(ask(make_lookup(members), f"10.9.9.{host}")[1]) for host in range(256)}
        self.assertEqual(len(answers), 1)
        shuffled = list(members.items())
        random.Random(3).shuffle(shuffled)
        self.assertEqual({tuple(ask(make_lookup(dict(shuffled)), "10.9.9.9")[1])}, answers)

    def test_loss_moves_only_those_it_served(self) -> None:
        members = fleet({"alto": 5, "mar": 3})
        before = make_lookup(members)
        gone = members.pop(EntryId("alto-2")).entry_id
        after = make_lookup(members)
        for network in range(200):
            address = f"10.9.{network}.0"
            old = ask(before, address)[1]
            new = ask(after, address)[1]
            kept = [name for name in old if name != gone]
            self.assertEqual([name for name in new if name in kept], kept)
            if gone not in old:
                self.assertEqual(new, old)

    def test_backups_of_many_sites_are_spread(self) -> None:
        members = fleet({"alto": 4, "bajo": 4, "cima": 60})
        lookup = make_lookup(members, "10.0.0.0/8,alto\n11.0.0.0/8,bajo\n")
        named: t.Dict[t.Optional[str], t.Set[str]] = collections.defaultdict(set)
        for network in range(500):
            for top in (10, 11):
                bits = (top << 24) + (network << 8)
                answer = lookup.answer(COSECHA, ClientAddress(Family.IPV4, bits))
                named[answer.site].add(answer.entries[-1])
        self.assertEqual([len(names) for names in named.values()], [16, 16])
        self.assertNotEqual(named["alto"], named["bajo"])


class SiteTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("10.2.3.4", "alto"),
            ("10.1.3.4", "mar"),
            ("::ffff:10.1.3.4", "mar"),
            ("2001:db8:5::1", "cima"),
        ]
    )
    def test_longest_block(self, address: str, site: str) -> None:
        self.assertEqual(ask(make_lookup(fleet({"alto": 2})), address)[0], site)

    def test_without_block_goes_to_any_site(self) -> None:
        lookup = make_lookup(fleet({"alto": 2}))
        found = collections.Counter(ask(lookup, f"192.0.{index}.1")[0] for index in range(250))
        self.assertEqual(found.keys(), SITES.keys())
        self.assertEqual(ask(lookup, "192.0.3.1"), ask(lookup, "192.0.3.200"))

    def test_without_sites_any_entry_will_do(self) -> None:
        lookup = Lookup([COSECHA])
        lookup.set_members(fleet({"alto": 2, "mar": 3}))
        lookup.set_bundle(make_bundle({}), BlockTable())
        site, names = ask(lookup, "10.0.0.1")
        self.assertEqual((site, len(names)), (None, 4))

    def test_new_bundle_answers_at_once(self) -> None:
        lookup = make_lookup(fleet({"alto": 2}))
        lookup.set_bundle(make_bundle(SITES, 8), make_table("10.0.0.0/8,bajo"))
        answer = lookup.answer(COSECHA, parse_address("10.2.3.4"))
        self.assertEqual((answer.site, answer.version, len(answer.entries)), ("bajo", 8, 2))


class HttpTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("named", b"partner=cosecha&address=10.1.0.9", "10.2.0.1", "mar", "public"),
            ("peer", b"partner=cosecha", "10.2.0.1", "alto", "private"),
            ("escaped", b"partner=cosecha&address=2001%3Adb8%3A%3A1", None, "cima", "public"),
        ]
    )
    def test_answer(
        self, _: str, query: bytes, peer: t.Optional[str], site: str, kept: str
    ) -> None:
        lookup = make_lookup(fleet({"alto": 1, "mar": 1}))
        answer = LookupHttp(lookup).answer(query, peer)
        headers = dict(answer.headers)
        self.assertEqual((answer.status, answer.version), (200, 7))
        self.assertEqual(headers[b"cache-control"], f"{kept}, max-age=5".encode())
        self.assertEqual(headers[b"content-length"], str(len(answer.body)).encode())
        body = json.loads(answer.body)
        self.assertEqual(sorted(body), ["entries", "site", "ttl_s", "version"])
        self.assertEqual((body["site"], body["version"], body["ttl_s"]), (site, 7, 5.0))
        self.assertEqual(set(body["entries"]), {"alto-0:80", "mar-0:80"})

    @parameterized.expand(
        [
            ("no_partner", b"address=10.0.0.1", 400, "lookup", "partner"),
            (
                "unknown_partner",
                b"partner=otra&address=10.0.0.1",
                404,
                "unknown-partner",
                "partner",
            ),
            ("bad_address", b"partner=cosecha&address=10.0.0", 400, "lookup", "address"),
            ("scoped", b"partner=cosecha&address=fe80::1%25eth0", 400, "lookup", "address"),
            ("twice", b"partner=cosecha&address=1.1.1.1&address=2.2.2.2", 400, "lookup", "address"),
            ("no_address", b"partner=cosecha", 400, "lookup", "address"),
            ("not_ascii", b"partner=\xff", 400, "lookup", "query"),
            ("many_fields", b"&".join([b"a=1"] * 20), 400, "lookup", "query"),
            ("no_bundle_yet", b"partner=calor&address=10.0.0.1", 503, "refused", None),
        ]
    )
    def test_error(
        self, _: str, query: bytes, status: int, code: str, field: t.Optional[str]
    ) -> None:
        answer = LookupHttp(make_lookup(fleet({"alto": 1}))).answer(query)
        body = json.loads(answer.body)
        self.assertEqual((answer.status, body["code"], body.get("field")), (status, code, field))
        self.assertEqual("remedy" in body, field is not None)
        self.assertNotIn(b"cache-control", dict(answer.headers))

    def test_no_entry_serving_says_when_to_come_back(self) -> None:
        lookup = make_lookup({EntryId("a"): member("a", SiteId("alto"), EntryState.LEAVING)})
        answer = LookupHttp(lookup).answer(b"partner=cosecha&address=10.0.0.1")
        self.assertEqual((answer.status, dict(answer.headers)[b"retry-after"]), (503, b"5"))
