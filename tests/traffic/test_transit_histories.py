"""Random histories of requests in transit, checked by what targets ran and callers were told.

Entries that carry requests are lost and come back, the path of the first entry is lost and returns,
callers leave, and targets reject, crash, hang or lose answers, all drawn from a seed.
"""

import asyncio
import random
import typing as t
import unittest

from parameterized import parameterized

from coralfall.placement.reachability import Path, Witness
from coralfall.traffic.reply import Reply
from coralfall.traffic.steered_request import SteeredRequest
from tests.traffic.makers import PEDIDOS, make_record
from tests.traffic.scripted_target import ReceivedRequest
from tests.traffic.transit_fleet import Carrier, CutFleet, cut_fleet

_STEPS = 60
_REQUEST_S = 1.0
_PROMISES = (429, 503)


class History:
    """One run: what was sent, what ran, and what callers were told."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        #: For the requests and the trouble; what targets do is drawn for each request apart, so
        #: that the order in which requests arrive changes nothing.
        self.rng = random.Random(seed)
        self.ran: t.Dict[str, int] = {}
        self.heads: t.List[bytes] = []
        self.requests: t.Dict[str, SteeredRequest] = {}
        self.replies: t.Dict[str, Reply] = {}
        self.carriers: t.List[Carrier] = []
        self._tasks: t.List["asyncio.Task[None]"] = []
        self._arrivals: t.Dict[str, int] = {}

    async def answer(self, received: ReceivedRequest) -> None:
        self.heads.append(received.head)
        request_id = received.header("x-request-id") or ""
        arrivals = self._arrivals[request_id] = self._arrivals.get(request_id, 0) + 1
        rng = random.Random(f"{self._seed} {request_id} {arrivals}")
        how = rng.choice(("at once", "at once", "later", "reject", "lose", "reset"))
        if how == "reject":
            await received.answer(503, b"", x_not_executed="1", x_response_signature="")
            return
        self.ran[request_id] = self.ran.get(request_id, 0) + 1
        await asyncio.sleep(rng.uniform(0.0, 0.1) if how == "later" else 0.0)
        if how == "reset":
            received.reset()
        elif how == "lose":
            received.close()
        else:
            await received.answer()

    async def play(self) -> None:
        async with cut_fleet(self.answer) as fleet:
            self.carriers += fleet.carriers
            for number in range(_STEPS):
                self._send(fleet, number)
                await self._trouble(fleet)
                await asyncio.sleep(self.rng.uniform(0.0, 0.02))
            await asyncio.wait(self._tasks)
            for carrier in self.carriers:
                assert (carrier.server.load, carrier.server.bytes_held) == (0, 0)

    def _send(self, fleet: CutFleet, number: int) -> None:
        kind = self.rng.choice(("safe", "unsafe"))
        request = fleet.first.request(kind, number, seconds=_REQUEST_S)
        request.headers.append((b"x-credential", b"secret"))
        self.requests[request.request_id] = request
        task = asyncio.create_task(self._forward(fleet, request))
        self._tasks.append(task)

    async def _forward(self, fleet: CutFleet, request: SteeredRequest) -> None:
        self.replies[request.request_id] = await fleet.first.forward(request)

    async def _trouble(self, fleet: CutFleet) -> None:
        kind = self.rng.choice(("none", "none", "lose", "cut", "heal", "leave"))
        reachability = fleet.first.transit.reachability
        if kind == "lose":
            await self._restart(fleet, self.rng.randrange(len(fleet.carriers)))
        elif kind == "cut":
            witness = Witness(make_record("c0").entry_id, frozenset())
            reachability.conclude_cut_off(PEDIDOS, witness)
        elif kind == "heal":
            reachability._contact_of(PEDIDOS).path = Path.DIRECT
        elif kind == "leave":
            self.rng.choice(self._tasks).cancel()

    async def _restart(self, fleet: CutFleet, index: int) -> None:
        """Lets a carrying entry be killed and another process take its place."""
        lost = fleet.carriers[index]
        lost.lose()
        carrier = Carrier([target.address for target in fleet.targets])
        await carrier.start()
        self.carriers.append(carrier)
        fleet.carriers[index] = carrier
        record = make_record(
            f"c{index}",
            peer_address=carrier.bound_address,
            transit=True,
            beat=len(self.carriers) + 1,
        )
        fleet.first.members.merge_records([record])

    def faults(self) -> t.Iterator[str]:
        for request_id, request in self.requests.items():
            ran, reply = self.ran.get(request_id, 0), self.replies.get(request_id)
            if not request.is_idempotent and ran > 1:
                yield f"{request_id} ran {ran} times"
            if not request.is_idempotent and reply and reply.status in _PROMISES and ran:
                yield f"{request_id} was refused with {reply.reason} and ran"
            if ran > request.route.max_attempts:
                yield f"{request_id} went to {ran} targets"
        for head in self.heads:
            if b"secret" in head:
                yield "a target got a key"
        for carrier in self.carriers:
            if carrier.harness.transit.client.load or carrier.harness.transit.client._streams_by_id:
                yield "a request in transit was passed on"


class TransitHistoryTest(unittest.TestCase):
    @parameterized.expand([(seed,) for seed in range(8)])
    def test_commands_run_once_and_refusals_are_true(self, seed: int) -> None:
        history = History(seed)
        asyncio.run(history.play())
        self.assertEqual([], list(history.faults()))
        statuses = {reply.status for reply in history.replies.values()}
        self.assertTrue(200 in statuses and statuses & {502, 503}, statuses)
        carried = sum(len(carrier.received) for carrier in history.carriers)
        self.assertGreater(carried, _STEPS // 4)
