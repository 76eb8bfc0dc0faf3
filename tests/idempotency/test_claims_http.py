"""Claims over the real client and a served stand-in, under each way the platform fails."""

import asyncio
import typing as t
import unittest

import msgspec
from parameterized import parameterized

from coralfall.cluster.rows import ClaimRow, ClaimState, claim_key
from coralfall.exceptions import ClaimBusyError, CoralfallError, RefusedError
from coralfall.idempotency.claims import Claim, ClaimBook
from coralfall.ids import EntryId, IdempotencyKey, Incarnation, PartnerId, ServiceId
from coralfall.process.clock import SystemClock
from coralfall.stores.memory_platform import FaultMode, Faults, MemoryPlatform, ServiceFault
from tests.platform_server import serve_platform

KEY = (PartnerId("calor"), ServiceId("mando"), IdempotencyKey("restart-7"))
#: Only keeps a broken test from hanging.
PATIENCE_S = 20.0


class TestClaimsOverHttp(unittest.IsolatedAsyncioTestCase):
    @parameterized.expand(
        [
            (FaultMode.UP, 0, Claim, ClaimState.CLAIMED),
            (FaultMode.DOWN, 1, RefusedError, None),
            (FaultMode.ANSWER_LOST, 1, Claim, ClaimState.CLAIMED),
            (FaultMode.CALL_LOST, 1, Claim, ClaimState.CLAIMED),
            # The claim and the try to read it back; it takes effect after it was refused.
            (FaultMode.SLOW, 2, RefusedError, ClaimState.RELEASED),
        ]
    )
    async def test_claim(
        self, mode: FaultMode, calls: int, expected: t.Any, state: t.Optional[ClaimState]
    ) -> None:
        timeout_s = 0.3 if mode is FaultMode.SLOW else PATIENCE_S
        async with serve_platform(timeout_s) as served:
            table = served.http.platform.table
            await table.read(["connect beforehand"])
            book = ClaimBook(table, EntryId("e1"), Incarnation(1), SystemClock())
            running = asyncio.ensure_future(book.run())
            fault = ServiceFault(mode=mode, delay_s=0.5, calls=calls)
            served.memory.set_faults(Faults(table=fault))
            self.assertIs(await _outcome(book), expected)
            if state is ClaimState.RELEASED:
                async with asyncio.timeout(PATIENCE_S):
                    await book.stop()
            self.assertEqual(await _state(served.memory), state)
            table = served.memory.platform.table
            other = ClaimBook(table, EntryId("e2"), Incarnation(1), SystemClock())
            running_other = asyncio.ensure_future(other.run())
            again = ClaimBusyError if expected is Claim else Claim
            self.assertIs(await _outcome(other), again)
            running.cancel()
            running_other.cancel()


async def _outcome(book: ClaimBook) -> t.Any:
    try:
        return type(await book.claim(*KEY, "f", PATIENCE_S))
    except CoralfallError as error:
        return type(error)


async def _state(memory: MemoryPlatform) -> t.Optional[ClaimState]:
    rows = await memory.platform.table.read([claim_key(*KEY)])
    for row in rows.values():
        return msgspec.msgpack.decode(row.value or b"", type=ClaimRow).state
    return None
