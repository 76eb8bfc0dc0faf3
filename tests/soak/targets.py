"""Targets of the soak: they bound what they run, record what arrives, and fail as they are told."""

import asyncio
import random
import time
import typing as t

from tests.platform_adapter.standins import InstanceStandin
from tests.soak.proxy import Proxy
from tests.soak.record import Arrival, Record, answer_to
from tests.traffic.raw_target import Turn

SLOTS = 6
_QUEUE = 6


class SoakTarget(InstanceStandin):
    """One lifetime of a target behind a proxy of its own.

    :param service: that it belongs to.
    :param zone: that it is in.
    :param rng: draws what it does.
    """

    def __init__(
        self, instance_id: str, service: str, zone: str, record: Record, rng: random.Random
    ) -> None:
        super().__init__(instance_id)
        self.service = service
        self.zone = zone
        self._record = record
        self._rng = rng
        self._in_hand = 0
        self.work_s = 0.03
        #: Share of the requests that run and whose answer is lost.
        self.lose = 0.0
        #: Share of the answers that are cut short, or followed by another one.
        self.garble = 0.0
        self.proxy = Proxy("")

    async def __aenter__(self) -> "SoakTarget":
        await super().__aenter__()
        self.proxy.target = self.address
        await self.proxy.__aenter__()
        self.address = self.proxy.address
        return self

    async def __aexit__(self, *error: t.Any) -> None:
        await self.proxy.__aexit__()
        await super().__aexit__(*error)

    def listing(self, **status: t.Any) -> t.Dict[str, t.Any]:
        """Its row in the store."""
        return self.row(self.service, self.zone, **status)

    async def _run(self, turn: Turn) -> None:
        meant = turn.header("x-expected-instance") == self.instance_id
        room = self._in_hand < SLOTS + _QUEUE
        self._note(turn, meant and room)
        if not meant:
            await turn.answer(421, b"", x_response_signature="")
            return
        if not room:
            await turn.answer(503, b"", x_not_executed="1", x_response_signature="")
            return
        self._in_hand += 1
        try:
            await asyncio.sleep(self.work_s * self._rng.uniform(0.5, 1.5))
            await self._answer(turn)
        except OSError:
            # Its caller is gone.
            pass
        finally:
            self._in_hand -= 1

    async def _answer(self, turn: Turn) -> None:
        if self._rng.random() < self.lose:
            turn.reset()
            return
        request_id = turn.header("x-request-id") or ""
        body = answer_to(request_id, turn.body)
        signature = f"signed-{self.instance_id}-{request_id}"
        load = f"{self._in_hand},0,{SLOTS}"
        if self._rng.random() >= self.garble:
            await turn.answer(200, body, x_response_signature=signature, x_server_load=load)
            return
        if self._rng.random() < 0.5:
            await turn.answer(200, body[:99], length=len(body), x_response_signature=signature)
            turn.close()
            return
        await turn.answer(200, body, x_response_signature=signature)
        await turn.answer(200, b"another", x_response_signature=signature)

    def _note(self, turn: Turn, ran: bool) -> None:
        method, path, _ = turn.head.decode("latin-1").split(" ", 2)
        request_id = turn.header("x-request-id") or ""
        self._record.arrivals.append(
            Arrival(
                request_id,
                method,
                path,
                turn.body,
                self.instance_id,
                self.service,
                time.monotonic(),
                ran,
            )
        )
