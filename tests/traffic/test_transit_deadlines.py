"""Tests of waits that end with the time of the request that waits."""

import asyncio
import unittest

from coralfall.placement.reachability import Witness
from tests.stream_server import StreamServer
from tests.traffic.makers import PEDIDOS, make_record
from tests.traffic.test_forwarder import ForwarderHarness

_LIMIT_S = 0.1
#: Time after its limit by which a request has its answer.
_LATE_S = 0.5


class SilentServer(StreamServer):
    """Takes connections and says nothing."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.Event().wait()


class TransitDeadlineTest(unittest.IsolatedAsyncioTestCase):
    async def test_silent_carriers_do_not_outlast_the_time_of_a_request(self) -> None:
        """Guards against dials that go on after the caller's time is over."""
        async with SilentServer() as one, SilentServer() as other:
            harness = ForwarderHarness(["127.0.0.1:1"])
            records = [
                make_record(f"c{number}", peer_address=server.address, transit=True)
                for number, server in enumerate((one, other))
            ]
            harness.members.merge_records(records)
            witness = Witness(records[0].entry_id, frozenset())
            harness.transit.reachability.conclude_cut_off(PEDIDOS, witness)
            began = asyncio.get_running_loop().time()
            reply = await harness.forward(harness.request("unsafe", seconds=_LIMIT_S))
            took_s = asyncio.get_running_loop().time() - began
            self.assertGreaterEqual(reply.status, 500)
            self.assertLess(took_s, _LIMIT_S + _LATE_S)
