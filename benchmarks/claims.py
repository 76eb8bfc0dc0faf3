"""Counts what claims cost the platform: claims for each write, at several loads.

Run ``python -m benchmarks.claims``; it runs on virtual time, so its counts and delays are the
same on every machine. Commands arrive at random moments at each of the entries, over one table
that answers after a fixed delay; each is claimed, takes a while, and is finished.
"""

import asyncio
import random
import typing as t

from tests.virtual_loop import LoopClock, run_virtual

from coralfall.cluster.rows import KeptAnswer
from coralfall.idempotency.claims import Claim, ClaimBook
from coralfall.ids import EntryId, IdempotencyKey, Incarnation, PartnerId, ServiceId
from coralfall.stores.memory_platform import FaultMode, Faults, MemoryPlatform, ServiceFault

ENTRIES = 12
#: Commands a second of all entries together.
LOADS = (10, 100, 1_000, 5_000)
SECONDS = 5.0
TABLE_DELAY_S = 0.005
SERVICE_S = 0.05
ANSWER = KeptAnswer(200, (), b"x" * 200)


class Result(t.NamedTuple):
    """What one load cost."""

    load: int
    claims: int
    writes: int
    #: Seconds that a command waited for its claim.
    wait_p50_s: float
    wait_p99_s: float
    refused: int


class Load:
    """Commands at one rate.

    :param load: commands a second.
    :param clock: virtual time.
    """

    def __init__(self, load: int, clock: LoopClock) -> None:
        self._load = load
        self._clock = clock
        self._rng = random.Random(load)
        self._memory = MemoryPlatform(clock)
        self._waits: t.List[float] = []
        self._refused = 0

    async def run(self) -> Result:
        """Send the commands and count."""
        slow = ServiceFault(mode=FaultMode.SLOW, delay_s=TABLE_DELAY_S)
        self._memory.set_faults(Faults(table=slow))
        books = [self._book(index) for index in range(ENTRIES)]
        running = [asyncio.ensure_future(book.run()) for book in books]
        commands = []
        for number in range(int(self._load * SECONDS)):
            commands.append(asyncio.ensure_future(self._command(self._rng.choice(books), number)))
        await asyncio.gather(*commands)
        for book in books:
            await book.stop()
        for task in running:
            task.cancel()
        self._waits.sort()
        return Result(
            self._load,
            len(self._waits),
            self._memory.counters.table_writes,
            self._waits[len(self._waits) // 2],
            self._waits[len(self._waits) * 99 // 100],
            self._refused,
        )

    def _book(self, index: int) -> ClaimBook:
        table = self._memory.platform.table
        book = ClaimBook(table, EntryId(f"e{index}"), Incarnation(1), self._clock)
        book.pace(ENTRIES)
        return book

    async def _command(self, book: ClaimBook, number: int) -> None:
        await asyncio.sleep(self._rng.uniform(0, SECONDS))
        start = self._clock.monotonic()
        key = IdempotencyKey(str(number))
        claim = await book.claim(PartnerId("cosecha"), ServiceId("pedidos"), key, "f")
        assert isinstance(claim, Claim)
        self._waits.append(self._clock.monotonic() - start)
        await asyncio.sleep(SERVICE_S)
        await book.finish(claim, ANSWER)


def main() -> None:
    """Print one line for each load."""
    print(f"{'commands/s':>10} {'writes/s':>9} {'claims/write':>12} {'p50 ms':>7} {'p99 ms':>7}")
    for load in LOADS:
        result = run_virtual(lambda clock, load=load: Load(load, clock).run())
        writes = result.writes / SECONDS
        ratio = result.claims / result.writes
        p50, p99 = result.wait_p50_s * 1000, result.wait_p99_s * 1000
        print(f"{load:>10} {writes:>9.0f} {ratio:>12.2f} {p50:>7.1f} {p99:>7.1f}")


if __name__ == "__main__":
    main()
