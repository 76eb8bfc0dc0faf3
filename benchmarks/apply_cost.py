"""What it costs a running loop to load a block table."""

import asyncio
import time
import typing as t

from coralfall.bundles.bundle import ChunkRef
from coralfall.lookups.blocktable import BlockTable, Fetch, load_block_table

from .block_tables import SITES


class ApplyCost(t.NamedTuple):
    """Processor times of one load."""

    cpu_ms: float
    #: Longest time between two turns of the loop.
    hold_ms: float


async def measure_apply(
    refs: t.Sequence[ChunkRef], fetch: Fetch, previous: BlockTable
) -> ApplyCost:
    """Load a table while another task takes each turn of the loop that it can get."""
    longest = 0.0

    async def watch() -> None:
        nonlocal longest
        last = time.thread_time()
        while True:
            await asyncio.sleep(0)
            now = time.thread_time()
            longest = max(longest, now - last)
            last = now

    watcher = asyncio.ensure_future(watch())
    await asyncio.sleep(0)
    started = time.thread_time()
    await load_block_table(refs, frozenset(SITES), fetch, previous)
    spent = time.thread_time() - started
    await asyncio.sleep(0)
    watcher.cancel()
    return ApplyCost(spent * 1000, longest * 1000)
