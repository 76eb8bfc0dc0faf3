"""An entry that is cut off from two targets, and two entries that carry its requests."""

import contextlib
import typing as t
from unittest import mock

from coralfall.peering.channel import Channel, Traffic
from coralfall.peering.messages import AnyMessage, Hello
from coralfall.peering.peer_server import PeerListener
from coralfall.placement.reachability import Witness
from coralfall.platform.names import HEADERS
from coralfall.traffic.crash_detector import Crash
from coralfall.traffic.messages import TransitCancel, TransitRequest
from tests.traffic.makers import PEDIDOS, make_record
from tests.traffic.scripted_target import Script, ScriptedTarget
from tests.traffic.test_forwarder import ForwarderHarness, ok


class Carrier(PeerListener):
    """The peer server of an entry that carries requests."""

    def __init__(self, addresses: t.Sequence[str]) -> None:
        self.harness = ForwarderHarness(addresses)
        parts = self.harness.transit
        self.server = parts.build_server(
            HEADERS,
            self.harness.forwarder.response_check,
            self.harness.crash_detector,
            self.harness.stop_admission,
        )
        self.received: t.List[TransitRequest] = []
        access = parts.client
        super().__init__("127.0.0.1:0", access._fleet_key, access._hello, Traffic(), mock.Mock())

    def take(self, channel: Channel, message: AnyMessage) -> bool:
        if isinstance(message, TransitCancel):
            self.server.cancel(channel, message)
            return True
        assert isinstance(message, TransitRequest)
        self.received.append(message)
        self.server.start_request(channel, message)
        return True

    def drop(self, channel: Channel) -> None:
        self.server.drop(channel)

    def answer(self, peer: Hello, message: AnyMessage) -> None:
        raise AssertionError(f"unexpected {message}")

    def lose(self) -> None:
        """Ends as a process does that is killed."""
        self._close_listener()
        for channel in list(self._channels):
            channel.abort()


class CutFleet:
    """An entry that is cut off, two that carry its requests, and two targets."""

    def __init__(self, targets: t.Sequence[ScriptedTarget]) -> None:
        self.targets = targets
        addresses = [target.address for target in targets]
        self.first = ForwarderHarness(addresses)
        self.carriers = [Carrier(addresses) for _ in range(2)]
        self.crashes: t.List[Crash] = []
        self.first.crash_detector.on_crash = self.crashes.append

    async def start(self, transit: bool = True) -> None:
        records = []
        for number, carrier in enumerate(self.carriers):
            await carrier.start()
            # Entries are expected under the name that they greet with.
            address = carrier.bound_address
            records.append(make_record(f"c{number}", peer_address=address, transit=transit))
        self.first.members.merge_records(records)
        witness = Witness(records[0].entry_id, frozenset())
        self.first.transit.reachability.conclude_cut_off(PEDIDOS, witness)

    async def close(self) -> None:
        for stream in self.first.transit.client._streams_by_id.values():
            stream.close()
        for carrier in self.carriers:
            carrier.lose()
            carrier.harness.pool.close()
        self.first.pool.close()

    def arrivals(self) -> int:
        return sum(len(target.received) for target in self.targets)

    def carried(self) -> t.List[TransitRequest]:
        return [one for carrier in self.carriers for one in carrier.received]


@contextlib.asynccontextmanager
async def cut_fleet(script: Script = ok, transit: bool = True) -> t.AsyncIterator[CutFleet]:
    async with ScriptedTarget(script) as first, ScriptedTarget(script) as second:
        fleet = CutFleet((first, second))
        await fleet.start(transit)
        try:
            yield fleet
        finally:
            await fleet.close()
