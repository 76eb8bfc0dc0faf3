"""Slopes of the look-up role: memory by blocks, processor time by look-ups, cost of changes."""

import asyncio
import functools
import pathlib
import random
import subprocess
import sys
import tempfile
import time
import typing as t

from coralfall.bundles.bundle import encode
from coralfall.ids import Digest
from coralfall.lookups import chunks
from coralfall.lookups.blocks import ClientAddress
from coralfall.lookups.blocktable import BlockTable, Fetch, load_block_table
from coralfall.lookups.lookup import Lookup

from . import block_tables, lookup_load, lookup_server
from .apply_cost import measure_apply
from .block_tables import SITES
from .samples import Sample

REPEATS = 3
#: Changes that are measured at each size; they differ more than the other costs do.
CHANGE_REPEATS = 10
BLOCK_COUNTS = (1_000, 10_000, 100_000, 300_000, 560_000, 1_000_000)
#: Tables of the slopes that vary something else; the size of the letter.
BLOCKS = 560_000
MEMBERS = 530
LOOKUP_RATES = (0, 250, 500, 1_000, 2_000)
LOAD_S = 4.0
CHANGED_BLOCKS = (1, 2, 5, 10, 20, 50, 100)
QUERIES = 20_000
MEMBER_COUNTS = (12, 40, 120, 530)


class Server:
    """A look-up server in a process of its own."""

    def __init__(self, members: int = MEMBERS) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.lookup_server", str(members)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.address = self._read()

    def load(self, path: pathlib.Path) -> None:
        """Have it load a table."""
        assert self._process.stdin is not None
        print(path, file=self._process.stdin, flush=True)
        if self._read() != "ready":
            raise RuntimeError("the look-up server did not load its table")

    def resident_bytes(self) -> int:
        """Its resident memory."""
        text = pathlib.Path(f"/proc/{self._process.pid}/statm").read_text()
        return int(text.split()[1]) * 4096

    def cpu_s(self) -> float:
        """Processor time that it has used."""
        text = pathlib.Path(f"/proc/{self._process.pid}/schedstat").read_text()
        return int(text.split()[0]) / 1e9

    def close(self) -> None:
        """End it."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        self._process.wait(timeout=30)

    def _read(self) -> str:
        assert self._process.stdout is not None
        return self._process.stdout.readline().strip()


def memory_by_blocks() -> t.List[Sample]:
    """Resident memory of a look-up server with and without its table, and the cost to load it."""
    samples = []
    for count in BLOCK_COUNTS:
        built = chunks.build_chunks(block_tables.make_blocks(count))
        with tempfile.TemporaryDirectory() as name:
            path = pathlib.Path(name, "table")
            block_tables.write_objects(built, path)
            for _ in range(REPEATS):
                samples.append(_load_once(path, count, built))
    return samples


def _load_once(path: pathlib.Path, count: int, built: chunks.BuiltChunks) -> Sample:
    server = Server()
    try:
        empty = server.resident_bytes()
        before = server.cpu_s()
        server.load(path)
        measured = {
            "resident_bytes": float(server.resident_bytes()),
            "table_bytes": float(server.resident_bytes() - empty),
            "load_cpu_s": server.cpu_s() - before,
            "objects": float(len(built.objects_by_digest)),
            "object_bytes": float(sum(map(len, built.objects_by_digest.values()))),
            "refs_bytes": float(sum(len(encode(ref)) for ref in built.refs)),
        }
    finally:
        server.close()
    return Sample("memory_by_blocks", "blocks", count, measured)


def cpu_by_lookups() -> t.List[Sample]:
    """Processor time a second of a look-up server, on kept and on fresh connections."""
    blocks = block_tables.make_blocks(BLOCKS)
    requests = [
        lookup_load.make_request(lookup_server.PARTNER, address)
        for address in block_tables.make_queries(blocks, QUERIES)
    ]
    samples = []
    with tempfile.TemporaryDirectory() as name:
        path = pathlib.Path(name, "table")
        block_tables.write_objects(chunks.build_chunks(blocks), path)
        server = Server()
        try:
            server.load(path)
            load = lookup_load.Load(server.address, requests)
            asyncio.run(load.run(500, 1.0))
            for _ in range(REPEATS):
                for rate in LOOKUP_RATES:
                    samples.append(_load_at(server, load, rate, False))
                    samples.append(_load_at(server, load, rate, True))
        finally:
            server.close()
    return samples


def _load_at(server: Server, load: lookup_load.Load, rate: float, fresh: bool) -> Sample:
    before = server.cpu_s()
    started = time.monotonic()
    reached = asyncio.run(load.run(rate, LOAD_S, fresh))
    spent = (server.cpu_s() - before) / (time.monotonic() - started)
    slope = "cpu_by_fresh_lookups" if fresh else "cpu_by_lookups"
    return Sample(slope, "lookups_per_s", reached, {"cpu_s_per_s": spent})


def lookups_by_blocks() -> t.List[Sample]:
    """Processor time of a look-up without HTTP, by the size of the table."""
    samples = []
    for count in BLOCK_COUNTS:
        blocks = block_tables.make_blocks(count)
        built = chunks.build_chunks(blocks)
        table = asyncio.run(
            load_block_table(built.refs, frozenset(SITES), _reader(built.objects_by_digest))
        )
        lookup = lookup_server.make_lookup(MEMBERS, table)
        queries = block_tables.make_queries(blocks, QUERIES)
        _answer_all(lookup, queries)
        for _ in range(REPEATS):
            found = _time(functools.partial(_find_all, table, queries))
            answered = _time(functools.partial(_answer_all, lookup, queries))
            measured = {
                "find_cpu_us": found / len(queries) * 1e6,
                "answer_cpu_us": answered / len(queries) * 1e6,
            }
            samples.append(Sample("lookups_by_blocks", "blocks", count, measured))
    return samples


def roster_by_members() -> t.List[Sample]:
    """Processor time of a change of the roster, with every site asked for after it."""
    samples = []
    for count in MEMBER_COUNTS:
        members = lookup_server.make_members(count)
        lookup = lookup_server.make_lookup(count, BlockTable())
        # The table is empty, so these fall on all of the sites.
        queries = block_tables.make_queries(block_tables.make_blocks(1_000), 20 * len(SITES))
        for _ in range(REPEATS):
            changed = _time(functools.partial(lookup.set_members, members))
            asked = _time(functools.partial(_answer_all, lookup, queries))
            measured = {"set_members_cpu_ms": changed * 1e3, "first_answers_cpu_ms": asked * 1e3}
            samples.append(Sample("roster_by_members", "members", count, measured))
    return samples


def apply_by_changes() -> t.List[Sample]:
    """Bytes, processor time and hold of the loop for a change, by how many blocks it touches."""
    rng = random.Random(7)
    blocks = block_tables.make_blocks(BLOCKS)
    built = chunks.build_chunks(blocks)
    sites = frozenset(SITES)
    table = asyncio.run(load_block_table(built.refs, sites, _reader(built.objects_by_digest)))
    samples = []
    for changed in CHANGED_BLOCKS:
        for _ in range(CHANGE_REPEATS):
            positions = rng.sample(range(BLOCKS), changed)
            other = chunks.build_chunks(block_tables.steer_elsewhere(blocks, positions))
            new = {
                digest: data
                for digest, data in other.objects_by_digest.items()
                if digest not in built.objects_by_digest
            }
            refs = sum(len(encode(ref)) for ref in other.refs)
            fetch = _reader(other.objects_by_digest)
            cost = asyncio.run(measure_apply(other.refs, fetch, table))
            measured = {
                "objects": float(len(new)),
                "bytes": float(refs + sum(map(len, new.values()))),
                "apply_cpu_ms": cost.cpu_ms,
                "hold_ms": cost.hold_ms,
            }
            samples.append(Sample("apply_by_changes", "changed_blocks", changed, measured))
    return samples


def _reader(objects_by_digest: t.Mapping[Digest, bytes]) -> Fetch:
    async def fetch(digest: Digest) -> bytes:
        return objects_by_digest[digest]

    return fetch


def _find_all(table: BlockTable, queries: t.Iterable[ClientAddress]) -> None:
    for query in queries:
        table.find(query)


def _answer_all(lookup: Lookup, queries: t.Iterable[ClientAddress]) -> None:
    for query in queries:
        lookup.answer(lookup_server.PARTNER, query)


def _time(work: t.Callable[[], t.Any]) -> float:
    started = time.process_time()
    work()
    return time.process_time() - started


SLOPES: t.Dict[str, t.Callable[[], t.List[Sample]]] = {
    "memory_by_blocks": memory_by_blocks,
    "cpu_by_lookups": cpu_by_lookups,
    "lookups_by_blocks": lookups_by_blocks,
    "roster_by_members": roster_by_members,
    "apply_by_changes": apply_by_changes,
}
