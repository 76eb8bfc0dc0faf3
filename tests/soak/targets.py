"""Targets of the soak: they bound what they run, record what arrives, and fail as they are told."""

import asyncio
import random
import time
import typing as t

from tests.platform_adapter.standins import InstanceStandin
from tests.soak.proxy import Proxy
from tests.soak.record import (
    DEADLY,
    KEY,
    LONG,
    Arrival,
    Record,
    Rejection,
    answer_to,
    signature_of,
)
from tests.traffic.scripted_target import ReceivedRequest

SLOTS = 6
#: Seconds after which a process that ended is back.
_BACK_S = 1.0
_QUEUE = 6
#: Seconds that work may take on requests of the sorts that may take long, and how many do.
_LONG_WORK_S = (2.0, 4.0)
_LONG_SHARE = 0.7
#: Size of its receive window, which an upload does not fit into.
_WINDOW_BYTES = 8 * 1024


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
        self._sequence = 0
        self.service_time_s = 0.03
        #: How long work takes on its machine now, in percent, and whether its answers say so.
        self.pace = 100
        self.reports_pace = False
        #: Share of the requests that run and whose answer is lost.
        self.lose = 0.0
        #: Share of the answers that are cut short, or followed by another one.
        self.garble = 0.0
        #: Share of the requests that it rejects though it has slots.
        self.reject_share = 0.0
        #: Whether what it rejects while it asks for a cooldown is proved not to have run.
        self.proves = True
        #: What it sends again and again in place of answers, if anything, and how it begins.
        self.endless: t.Optional[t.Tuple[bytes, bytes]] = None
        self.endless_pause_s = 0.0
        self.proxy = Proxy("")
        self.proxy.receive_bytes = _WINDOW_BYTES
        #: Called once it is back under another id, with the one that it had.
        self.on_restart: t.Callable[[str], None] = lambda instance_id: None
        self._restarts = 0
        self._restarting: t.Optional["asyncio.Task[None]"] = None

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
        self._sequence += 1
        return self.row(self.service, self.zone, sequence=self._sequence, **status)

    async def _run(self, received: ReceivedRequest) -> None:
        meant = received.header("x-expected-instance") == self.instance_id
        room = self._in_hand < SLOTS + _QUEUE and self._rng.random() >= self.reject_share
        arrival = self._note(received, meant, meant and room and self.cooldown_s is None)
        if not meant:
            await received.answer(421, b"", x_response_signature="")
            return
        if not room or self.cooldown_s is not None:
            await self._reject(received)
            return
        self._in_hand += 1
        try:
            work_s = self.service_time_s * self._rng.uniform(0.5, 1.5) * self.pace / 100
            if _is_long(received):
                await self._run_long(received, arrival)
                return
            await asyncio.sleep(work_s)
            arrival.done_at = time.monotonic()
            if _path_of(received).startswith(DEADLY):
                self._end_under(_path_of(received))
                return
            await self._answer(received)
        except OSError:
            # Its caller is gone.
            pass
        finally:
            self._in_hand -= 1

    async def _run_long(self, received: ReceivedRequest, arrival: Arrival) -> None:
        """Works for seconds, or up to the time that it was given."""
        work_s = random.Random(arrival.request_id).uniform(*_LONG_WORK_S)
        given_s = int(received.header("x-request-deadline") or 0) / 1000
        await asyncio.sleep(min(work_s, given_s))
        arrival.done_at = time.monotonic()
        if work_s > given_s:
            signature = signature_of(self.instance_id, arrival.request_id)
            await received.answer(504, b"", x_response_signature=signature)
            return
        await self._answer(received)

    async def _reject(self, received: ReceivedRequest) -> None:
        """Turn a request away, with proof that it did not run or without."""
        proof = "1" if self.proves or self.cooldown_s is None else ""
        fields = {"x_not_executed": proof, "x_response_signature": "", **self._said()}
        if self.cooldown_s is not None:
            fields["retry_after"] = f"{self.cooldown_s:g}"
            request_id = received.header("x-request-id") or ""
            rejection = Rejection(request_id, self.instance_id, time.monotonic(), self.cooldown_s)
            self._record.rejections.append(rejection)
        await received.answer(503, b"", **fields)

    def _end_under(self, path: str) -> None:
        if not self.proxy.listening:
            return
        self._record.ended_at.setdefault(path, []).append(time.monotonic())
        self.note_broken_off()
        self.proxy.go_down()
        self._restarting = asyncio.create_task(self._restart())

    def note_broken_off(self) -> None:
        """Notes that all its connections are ended on its side."""
        self._record.broke_off_at.setdefault(self.instance_id, []).append(time.monotonic())

    async def _restart(self) -> None:
        await asyncio.sleep(_BACK_S)
        previous = self.instance_id
        self._restarts += 1
        self.instance_id = f"{previous.partition('-again')[0]}-again{self._restarts}"
        self.leaving = False
        await self.proxy.come_back()
        self.on_restart(previous)

    async def _send_without_end(self, received: ReceivedRequest, start: bytes, rest: bytes) -> None:
        await received.send(start)
        while True:
            await received.send(rest)
            await asyncio.sleep(self.endless_pause_s)

    async def _answer(self, received: ReceivedRequest) -> None:
        if self.endless is not None:
            await self._send_without_end(received, *self.endless)
        if self._rng.random() < self.lose:
            received.reset()
            return
        request_id = received.header("x-request-id") or ""
        body = answer_to(request_id, received.body)
        signature = signature_of(self.instance_id, request_id)
        load = f"{self._in_hand},0,{SLOTS}" + (f",{self.pace}" if self.reports_pace else "")
        if self._rng.random() >= self.garble:
            fields = {"x_response_signature": signature, "x_server_load": load}
            await received.answer(200, body, **fields, **self._said())
            return
        if self._rng.random() < 0.5:
            await received.answer(200, body[:99], length=len(body), x_response_signature=signature)
            received.close()
            return
        await received.answer(200, body, x_response_signature=signature)
        await received.answer(200, b"another", x_response_signature=signature)

    def _said(self) -> t.Dict[str, str]:
        """What each answer says of the target itself."""
        limit = "" if self.limit_per_s is None else f"{self.limit_per_s:g}"
        return {"server_limit": limit, "server_leaving": "1" if self.leaving else ""}

    def _note(self, received: ReceivedRequest, meant: bool, ran: bool) -> Arrival:
        method = received.head.decode("latin-1").partition(" ")[0]
        request_id = received.header("x-request-id") or ""
        arrival = Arrival(
            request_id,
            method,
            _path_of(received),
            received.body,
            self.instance_id,
            self.service,
            time.monotonic(),
            ran,
            received.header("x-tenant") or "",
            KEY in received.head.decode("latin-1"),
            meant,
            self.proxy.request_at(received.peer_port()),
        )
        self._record.arrivals.append(arrival)
        return arrival


def _is_long(received: ReceivedRequest) -> bool:
    if not _path_of(received).startswith(tuple([sort.value for sort in LONG])):
        return False
    # By the request, so that a repeat of it takes long as well.
    return random.Random(f"{received.header('x-request-id')}-long").random() < _LONG_SHARE


def _path_of(received: ReceivedRequest) -> str:
    return received.head.decode("latin-1").split(" ", 2)[1]
