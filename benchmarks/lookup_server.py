"""A process that answers look-ups as an entry does, and nothing else; for measurements.

It prints its address once it serves, then ``ready`` for each table it was told to load on its
standard input, and ends when that is closed.
"""

import asyncio
import gc
import pathlib
import sys
import typing as t

from coralfall.bundles.bundle import Bundle, Site
from coralfall.cluster.rows import Member
from coralfall.forwarding.callers import CallersApp
from coralfall.http.server import HttpServer
from coralfall.ids import BundleVersion, EntryId, Incarnation, PartnerId, RegionId, VmId, ZoneId
from coralfall.lookups.blocktable import BlockTable, load_block_table
from coralfall.lookups.lookup import Lookup
from coralfall.lookups.lookup_http import LookupHttp
from coralfall.process import loop

from .block_tables import SITES, ObjectFile

PARTNER = PartnerId("cosecha")
ZONES = 14
REGIONS = 4


def place(index: int) -> Site:
    """Region and zone of a site, dealt out in turn."""
    zone = index % ZONES
    return Site(region=RegionId(f"region-{zone % REGIONS}"), zone=ZoneId(f"zone-{zone}"))


def make_bundle() -> Bundle:
    """A bundle with all sites and nothing else that a look-up reads."""
    return Bundle(
        partner=PARTNER,
        version=BundleVersion(1),
        regions={},
        services={},
        targets={},
        sites={site: place(index) for index, site in enumerate(SITES)},
    )


def make_members(count: int) -> t.Dict[EntryId, Member]:
    """Entries, dealt out to the sites in turn."""
    members = {}
    for index in range(count):
        site = place(index % len(SITES))
        entry_id = EntryId(f"entry-{index:03d}")
        address = f"10.0.{index // 250}.{index % 250 + 1}"
        members[entry_id] = Member(
            entry_id=entry_id,
            vm_id=VmId(entry_id),
            incarnation=Incarnation(1),
            region=site.region,
            zone=site.zone,
            site=SITES[index % len(SITES)],
            caller_address=f"{address}:8080",
            peer_address=f"{address}:8081",
            operator_address=f"{address}:8082",
        )
    return members


def make_lookup(members: int, table: BlockTable) -> Lookup:
    """Look-ups of one partner over a fleet."""
    lookup = Lookup([PARTNER])
    lookup.set_bundle(make_bundle(), table)
    lookup.set_members(make_members(members))
    return lookup


async def serve(members: int) -> None:
    """Serve until standard input ends; each line names an object file to load."""
    table = BlockTable()
    lookup = make_lookup(members, table)
    server = HttpServer(
        "lookups", CallersApp(t.cast(t.Any, None), LookupHttp(lookup)), "127.0.0.1:0"
    )
    await server.start()
    running = asyncio.ensure_future(server.run())
    print(server.bound_address, flush=True)
    reader = asyncio.StreamReader()
    protocol = asyncio.StreamReaderProtocol(reader)
    await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, sys.stdin)
    while line := await reader.readline():
        objects = ObjectFile(pathlib.Path(line.decode().strip()))
        table = await load_block_table(objects.refs, frozenset(SITES), objects.get, table)
        lookup.set_bundle(make_bundle(), table)
        gc.collect()
        print("ready", flush=True)
    running.cancel()


if __name__ == "__main__":
    loop.run(serve(int(sys.argv[1])))
