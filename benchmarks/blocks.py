"""Compares structures for the block table, and sizes of chunks; writes benchmarks/results.

Run ``python -m benchmarks.blocks``; it takes some minutes and less than 2 GB. Prefix libraries
are passed over unless the extra ``bench`` is installed. Each structure and
size is measured in a process of its own, so that its memory is its own. Times are processor
times.
"""

import argparse
import array
import asyncio
import bisect
import gc
import importlib
import importlib.util
import pathlib
import random
import subprocess
import sys
import tempfile
import time
import typing as t
import zlib

import msgspec

from coralfall.bundles.bundle import encode
from coralfall.ids import SiteId
from coralfall.lookups import chunks
from coralfall.lookups.blocks import TABLE_BITS, Block, ClientAddress, Family, parse_prefix
from coralfall.lookups.blocktable import compile_chunk, load_block_table

from . import block_tables
from .apply_cost import measure_apply
from .block_tables import SITES, ObjectFile

COUNTS = (1_000, 10_000, 100_000, 560_000, 1_000_000)
CHANGED_BLOCKS = (1, 20)
CHUNK_SIZES = (512, 1024, 2048, 4096)
LETTER_BLOCKS = 560_000
#: Changes a day at the size of the letter, and the seconds between two of them.
CHANGES_PER_DAY = 2_400
CHANGE_INTERVAL_S = 86_400 / CHANGES_PER_DAY
QUERIES = 50_000
#: A scan is asked less often, and only of small tables.
SCAN_QUERIES = 50
SCAN_MAX_BLOCKS = 10_000
REPEATS = 5
#: Changes of which the mean is taken for each size of chunks.
CHANGES = 20
CELL_TIMEOUT_S = 300
RESULTS = pathlib.Path(__file__).parent / "results"


class StructureRow(msgspec.Struct):
    """One structure at one size."""

    structure: str
    blocks: int
    #: Growth of the resident memory by the finished table.
    bytes_per_block: float
    lookups_per_cpu_s: float
    build_cpu_s: float
    #: Processor time and longest hold of the loop for a change, by number of changed blocks.
    apply_cpu_ms: t.Dict[int, float] = {}
    apply_hold_ms: t.Dict[int, float] = {}
    #: Whether a look-up during the change sees the old table or the new one, never a mixture.
    atomic: bool = True


class ChunkRow(msgspec.Struct):
    """One size of chunks at the size of the letter."""

    chunk_blocks: int
    #: Chunks and pages: reads of a VM that starts with nothing.
    objects: int
    bytes_per_block: float
    zlib_bytes_per_block: float
    #: Bytes of the refs in each bundle, as pages and if it named the chunks itself.
    refs_bytes: int
    flat_refs_bytes: int
    #: Bytes that a VM reads for one change (refs, pages, chunks), by changed blocks.
    change_bytes: t.Dict[int, float]
    zlib_change_bytes: t.Dict[int, float]
    flat_change_bytes: t.Dict[int, float]
    #: Bytes a second for the changes of the letter, by changed blocks of each.
    bytes_per_s: t.Dict[int, float]
    longest_step_ms: float


class BlockResults(msgspec.Struct):
    """What one run found."""

    command: str
    structures: t.List[StructureRow]
    chunks: t.List[ChunkRow]
    #: Seconds of processor time to check a CSV file of the letter's size.
    parse_cpu_s: float


class Structure(t.Protocol):
    """A table under comparison."""

    def find(self, address: ClientAddress) -> t.Optional[SiteId]:
        """Site of the longest block that holds the address."""


class Scan:
    """Looks at every block; what the tests hold the table against."""

    def __init__(self, blocks: t.Iterable[Block]) -> None:
        self._blocks = list(blocks)

    def find(self, address: ClientAddress) -> t.Optional[SiteId]:
        best: t.Optional[Block] = None
        for block in self._blocks:
            shift = TABLE_BITS[block.family] - block.length
            if block.family is not address.family or (block.network ^ address.bits) >> shift:
                continue
            if best is None or block.length > best.length:
                best = block
        return best.site if best is not None else None


class Ranges:
    """Disjoint ranges in sorted arrays: nesting is resolved when the table is built."""

    _NO_SITE = 0xFFFF

    def __init__(self, blocks: t.Iterable[Block]) -> None:
        self._starts = {Family.IPV4: array.array("I"), Family.IPV6: array.array("Q")}
        self._sites = {Family.IPV4: array.array("H"), Family.IPV6: array.array("H")}
        index_by_site = {site: index for index, site in enumerate(SITES)}
        for family in Family:
            self._append(family, 0, self._NO_SITE)
        open_blocks: t.List[t.Tuple[int, int]] = []
        family = Family.IPV4
        for block in blocks:
            if block.family is not family:
                self._close(family, open_blocks, 1 << TABLE_BITS[family])
                family = block.family
            self._close(family, open_blocks, block.network)
            index = index_by_site[block.site]
            self._append(family, block.network, index)
            end = block.network + (1 << (TABLE_BITS[family] - block.length))
            open_blocks.append((end, index))
        self._close(family, open_blocks, 1 << TABLE_BITS[family])

    def _close(self, family: Family, open_blocks: t.List[t.Tuple[int, int]], start: int) -> None:
        while open_blocks and open_blocks[-1][0] <= start:
            end, _ = open_blocks.pop()
            outer = open_blocks[-1][1] if open_blocks else self._NO_SITE
            if end < 1 << TABLE_BITS[family]:
                self._append(family, end, outer)

    def _append(self, family: Family, start: int, site: int) -> None:
        starts, sites = self._starts[family], self._sites[family]
        if starts and starts[-1] == start:
            sites[-1] = site
            return
        starts.append(start)
        sites.append(site)

    def find(self, address: ClientAddress) -> t.Optional[SiteId]:
        position = bisect.bisect_right(self._starts[address.family], address.bits) - 1
        index = self._sites[address.family][position]
        return SITES[index] if index != self._NO_SITE else None


class PatriciaTree:
    """The library ``pytricia``."""

    def __init__(self, blocks: t.Iterable[Block]) -> None:
        pytricia = importlib.import_module("pytricia")

        self._trees = {Family.IPV4: pytricia.PyTricia(32), Family.IPV6: pytricia.PyTricia(128)}
        for block in blocks:
            self.put(block)

    def put(self, block: Block) -> None:
        """Steer one block; the tree is changed in place."""
        packed = _pack(ClientAddress(block.family, block.network))
        self._trees[block.family].insert(packed, block.length, block.site)

    def find(self, address: ClientAddress) -> t.Optional[SiteId]:
        return t.cast("t.Optional[SiteId]", self._trees[address.family].get(_pack(address)))


class RadixTree:
    """The library ``py-radix``."""

    def __init__(self, blocks: t.Iterable[Block]) -> None:
        radix = importlib.import_module("radix")

        self._tree = radix.Radix()
        for block in blocks:
            self.put(block)

    def put(self, block: Block) -> None:
        """Steer one block; the tree is changed in place."""
        packed = _pack(ClientAddress(block.family, block.network))
        self._tree.add(packed=packed, masklen=block.length).data["site"] = block.site

    def find(self, address: ClientAddress) -> t.Optional[SiteId]:
        node = self._tree.search_best(packed=_pack(address))
        return t.cast(SiteId, node.data["site"]) if node is not None else None


def _pack(address: ClientAddress) -> bytes:
    if address.family is Family.IPV4:
        return address.bits.to_bytes(4, "big")
    return (address.bits << 64).to_bytes(16, "big")


STRUCTURE_BY_NAME: t.Dict[str, t.Callable[[t.Iterable[Block]], Structure]] = {
    "scan": Scan,
    "ranges": Ranges,
    "pytricia": PatriciaTree,
    "py-radix": RadixTree,
}
MODULE_BY_NAME = {"pytricia": "pytricia", "py-radix": "radix"}
TABLE = "segments"


class Cell(msgspec.Struct):
    """What a child process answers: its row and a sum over all sites that it found."""

    row: StructureRow
    checksum: int


def main() -> None:
    """Measure all, or one cell if asked to by the parent process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--cell", help=argparse.SUPPRESS)
    parser.add_argument("--folder", type=pathlib.Path, help=argparse.SUPPRESS)
    parser.add_argument("--blocks", type=int, nargs="*", default=list(COUNTS))
    options = parser.parse_args()
    if options.cell:
        cell = measure_cell(options.cell, options.folder, options.blocks[0])
        sys.stdout.buffer.write(msgspec.json.encode(cell))
        return
    structures: t.List[StructureRow] = []
    for count in options.blocks:
        structures += compare_structures(count)
    rows = compare_chunk_sizes(LETTER_BLOCKS)
    command = "python -m benchmarks.blocks"
    results = BlockResults(command, structures, rows, measure_parse(LETTER_BLOCKS))
    RESULTS.mkdir(exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(results), indent=2)
    (RESULTS / "blocks.json").write_bytes(encoded + b"\n")
    print_results(results)


def compare_structures(count: int) -> t.List[StructureRow]:
    """One row for each structure that can be measured at this size."""
    rows = []
    checksums: t.Dict[str, int] = {}
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        write_inputs(count, folder)
        for structure in [TABLE, *STRUCTURE_BY_NAME]:
            module = MODULE_BY_NAME.get(structure)
            if module is not None and importlib.util.find_spec(module) is None:
                print(f"{structure}: not installed, passed over")
                continue
            if structure == "scan" and count > SCAN_MAX_BLOCKS:
                continue
            cell = run_cell(structure, folder, count)
            rows.append(cell.row)
            if structure != "scan":
                checksums[structure] = cell.checksum
    if len(set(checksums.values())) != 1:
        raise SystemExit(f"structures disagree at {count} blocks: {checksums}")
    return rows


def write_inputs(count: int, folder: pathlib.Path) -> None:
    """Everything that the child processes read, so that they need not make it."""
    rng = random.Random(count)
    blocks = block_tables.make_blocks(count)
    block_tables.write_lines(blocks, folder / "blocks.csv")
    block_tables.write_objects(chunks.build_chunks(blocks), folder / "table")
    for changed in CHANGED_BLOCKS:
        positions = rng.sample(range(count), changed)
        other = block_tables.steer_elsewhere(blocks, positions)
        block_tables.write_objects(chunks.build_chunks(other), folder / f"table-{changed}")
        block_tables.write_lines([other[index] for index in positions], folder / f"put-{changed}")
    queries = block_tables.make_queries(blocks, QUERIES)
    (folder / "queries").write_bytes(msgspec.msgpack.encode(queries))


def run_cell(structure: str, folder: pathlib.Path, count: int) -> Cell:
    """Measure a structure in a process of its own."""
    command = [sys.executable, "-m", "benchmarks.blocks", "--cell", structure]
    command += ["--folder", str(folder), "--blocks", str(count)]
    done = subprocess.run(command, check=True, stdout=subprocess.PIPE, timeout=CELL_TIMEOUT_S)
    return msgspec.json.decode(done.stdout, type=Cell)


def measure_cell(structure: str, folder: pathlib.Path, count: int) -> Cell:
    """The child's work."""
    if structure == TABLE:
        return _measure_table(folder, count)
    build = STRUCTURE_BY_NAME[structure]
    before = _resident_bytes()
    table = build(_read_lines(folder / "blocks.csv"))
    grown = _resident_bytes() - before
    queries = _read_queries(folder)
    if structure == "scan":
        queries = queries[:SCAN_QUERIES]
    found, checksum = _measure_find(table, queries)
    row = StructureRow(structure, count, grown / count, found, 0.0)
    blocks = list(_read_lines(folder / "blocks.csv"))
    started = time.process_time()
    build(blocks)
    row.build_cpu_s = time.process_time() - started
    for changed in CHANGED_BLOCKS:
        puts = list(_read_lines(folder / f"put-{changed}"))
        if isinstance(table, (PatriciaTree, RadixTree)):
            spent = [_time_puts(table, puts) for _ in range(REPEATS)]
            row.apply_cpu_ms[changed] = min(spent) * 1000
            row.atomic = False
        else:
            row.apply_cpu_ms[changed] = row.build_cpu_s * 1000
        row.apply_hold_ms[changed] = row.apply_cpu_ms[changed]
    return Cell(row, checksum)


def _measure_table(folder: pathlib.Path, count: int) -> Cell:
    objects = ObjectFile(folder / "table")
    other_by_changed = {n: ObjectFile(folder / f"table-{n}") for n in CHANGED_BLOCKS}
    sites = frozenset(SITES)
    before = _resident_bytes()
    started = time.process_time()
    table = asyncio.run(load_block_table(objects.refs, sites, objects.get))
    spent = time.process_time() - started
    grown = _resident_bytes() - before
    found, checksum = _measure_find(table, _read_queries(folder))
    row = StructureRow(TABLE, count, grown / count, found, spent)
    for changed, other in other_by_changed.items():
        costs = []
        for _ in range(REPEATS):
            costs.append(asyncio.run(measure_apply(other.refs, other.get, table)))
        row.apply_cpu_ms[changed] = min(cost.cpu_ms for cost in costs)
        row.apply_hold_ms[changed] = sorted(cost.hold_ms for cost in costs)[REPEATS // 2]
    return Cell(row, checksum)


def _measure_find(table: Structure, queries: t.Sequence[ClientAddress]) -> t.Tuple[float, int]:
    answers = [table.find(query) for query in queries]
    checksum = zlib.crc32(repr(answers).encode())
    best = 0.0
    for _ in range(REPEATS):
        started = time.process_time()
        for query in queries:
            table.find(query)
        best = max(best, len(queries) / (time.process_time() - started))
    return best, checksum


def _time_puts(table: t.Union[PatriciaTree, RadixTree], puts: t.Sequence[Block]) -> float:
    started = time.process_time()
    for block in puts:
        table.put(block)
    return time.process_time() - started


def _read_queries(folder: pathlib.Path) -> t.List[ClientAddress]:
    stored = msgspec.msgpack.decode((folder / "queries").read_bytes())
    return [ClientAddress(Family(family), bits) for family, bits in stored]


def _read_lines(path: pathlib.Path) -> t.Iterator[Block]:
    site_by_id = {site: site for site in SITES}
    with path.open() as file:
        for line in file:
            prefix, _, site = line.rstrip().partition(",")
            yield parse_prefix(prefix, site_by_id[SiteId(site)])


def _resident_bytes() -> int:
    gc.collect()
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4096


def compare_chunk_sizes(count: int) -> t.List[ChunkRow]:
    """What a change costs with chunks of different sizes."""
    blocks = block_tables.make_blocks(count)
    return [_measure_chunk_size(blocks, size) for size in CHUNK_SIZES]


def _measure_chunk_size(blocks: t.Sequence[Block], size: int) -> ChunkRow:
    built = chunks.build_chunks(blocks, size)
    objects = built.objects_by_digest.values()
    flat = _flat_refs(built)
    row = ChunkRow(
        chunk_blocks=size,
        objects=len(objects),
        bytes_per_block=sum(map(len, objects)) / len(blocks),
        zlib_bytes_per_block=sum(len(zlib.compress(data)) for data in objects) / len(blocks),
        refs_bytes=_refs_bytes(built),
        flat_refs_bytes=flat,
        change_bytes={},
        zlib_change_bytes={},
        flat_change_bytes={},
        bytes_per_s={},
        longest_step_ms=_longest_step(built) * 1000,
    )
    for changed in CHANGED_BLOCKS:
        plain, packed, pages = _mean_change(blocks, built, size, changed)
        row.change_bytes[changed] = plain
        row.zlib_change_bytes[changed] = packed
        row.flat_change_bytes[changed] = plain - pages - row.refs_bytes + flat
        row.bytes_per_s[changed] = plain / CHANGE_INTERVAL_S
    return row


def _mean_change(
    blocks: t.Sequence[Block], built: chunks.BuiltChunks, size: int, changed: int
) -> t.Tuple[float, float, float]:
    """Bytes of a change: plain, compressed, and those of its pages."""
    rng = random.Random(changed)
    plain = packed = pages = 0
    for _ in range(CHANGES):
        positions = rng.sample(range(len(blocks)), changed)
        other = chunks.build_chunks(block_tables.steer_elsewhere(blocks, positions), size)
        page_digests = {ref.digest for ref in other.refs}
        refs = b"".join(encode(ref) for ref in other.refs)
        plain += len(refs)
        packed += len(zlib.compress(refs))
        for digest, data in other.objects_by_digest.items():
            if digest in built.objects_by_digest:
                continue
            plain += len(data)
            packed += len(zlib.compress(data))
            if digest in page_digests:
                pages += len(data)
    return plain / CHANGES, packed / CHANGES, pages / CHANGES


def _refs_bytes(built: chunks.BuiltChunks) -> int:
    return sum(len(encode(ref)) for ref in built.refs)


def _flat_refs(built: chunks.BuiltChunks) -> int:
    total = 0
    for page in built.refs:
        for ref in chunks.decode_page(built.objects_by_digest[page.digest]):
            total += len(encode(ref))
    return total


def _longest_step(built: chunks.BuiltChunks) -> float:
    pages = {ref.digest for ref in built.refs}
    longest = 0.0
    for digest, data in built.objects_by_digest.items():
        if digest in pages:
            continue
        longest = max(longest, _longest_step_of(data))
    return longest


def _longest_step_of(data: bytes) -> float:
    longest = 0.0
    last = time.thread_time()
    for _ in compile_chunk(chunks.decode_chunk(data)):
        now = time.thread_time()
        longest = max(longest, now - last)
        last = now
    return longest


def measure_parse(count: int) -> float:
    """Processor seconds to check a file of ``count`` lines."""
    with tempfile.TemporaryDirectory() as name:
        path = pathlib.Path(name, "blocks.csv")
        block_tables.write_lines(block_tables.make_blocks(count), path)
        started = time.process_time()
        chunks.load_block_files([path], frozenset(SITES))
        return time.process_time() - started


def print_results(results: BlockResults) -> None:
    """The tables that a person reads."""
    print("structure   blocks  B/block  look-ups/cpu-s  build s  apply ms (1, 20)  hold ms  atomic")
    for row in results.structures:
        applies = ", ".join(f"{value:.2f}" for value in row.apply_cpu_ms.values())
        holds = ", ".join(f"{value:.2f}" for value in row.apply_hold_ms.values())
        print(
            f"{row.structure:9} {row.blocks:8} {row.bytes_per_block:8.1f} "
            f"{row.lookups_per_cpu_s:15.0f} {row.build_cpu_s:8.2f}  {applies:16}  {holds:8}  "
            f"{row.atomic}"
        )
    print("chunk  objects  B/block  zlib  refs B  flat refs B  change B  zlib  flat  B/s  step ms")
    for chunk in results.chunks:
        cells = [chunk.change_bytes, chunk.zlib_change_bytes, chunk.flat_change_bytes]
        cells.append(chunk.bytes_per_s)
        shown = "  ".join("/".join(f"{v:.0f}" for v in cell.values()) for cell in cells)
        print(
            f"{chunk.chunk_blocks:5} {chunk.objects:8} {chunk.bytes_per_block:8.2f} "
            f"{chunk.zlib_bytes_per_block:5.2f} {chunk.refs_bytes:7} {chunk.flat_refs_bytes:12}  "
            f"{shown}  {chunk.longest_step_ms:.2f}"
        )
    print(f"checking {LETTER_BLOCKS} lines: {results.parse_cpu_s:.1f} s of processor time")


if __name__ == "__main__":
    main()
