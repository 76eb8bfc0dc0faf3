"""Slot asks: asks for slots of targets on behalf of requests, with the waits for their notices."""

import asyncio
import typing as t

import msgspec

from .. import defaults
from ..placement.dispatch import (
    DispatchAsk,
    Ticket,
    Verdict,
    level_of,
    lifetime_code_of,
    object_code_of,
    object_key_of,
    route_code_of,
    tenant_code_of,
)
from .dispatch_asker import NoticeWaits
from .steered_request import AskRecord

if t.TYPE_CHECKING:
    from ..ids import TargetId
    from ..placement.dispatch import DispatchAnswer
    from ..placement.targets import TargetRegistry, TargetState
    from ..process.clock import Clock
    from .dispatch_asker import DispatchAsker
    from .steered_request import SteeredRequest

#: Seconds after a request's deadline for which its assignment lasts if it is not released.
_EXPIRY_MARGIN_S = 0.5
#: Targets that are remembered as unavailable before those that are available again are dropped.
_MAX_UNAVAILABLE = 256


class SlotAsks:
    """Asks dispatchers for slots, and remembers which targets have none to give.

    :param client: asks dispatchers.
    :param targets: known targets.
    :param clock: time source.
    """

    def __init__(self, client: "DispatchAsker", targets: "TargetRegistry", clock: "Clock") -> None:
        self._client = client
        self._clock = clock
        self._waits = NoticeWaits(client, targets)
        #: Monotonic time until which the dispatcher of a target gives no slot of it.
        self._unavailable_until: t.Dict["TargetId", float] = {}

    def is_unavailable(self, state: "TargetState") -> bool:
        """Whether a target's dispatcher said that it can't be used yet."""
        until = self._unavailable_until.get(state.target.target_id)
        return until is not None and self._clock.monotonic() < until

    async def ask_and_wait(
        self,
        request: "SteeredRequest",
        state: "TargetState",
        within_s: float,
        is_first: bool,
        late: bool,
        start_within_s: float,
    ) -> t.Optional[Ticket]:
        """Asks for a slot and waits for the notice if the ask is queued.

        :param start_within_s: seconds for which the ask may be queued; 0 if it may not.
        :return: ``None`` if no dispatcher answered; ``REFUSED`` if no notice came in time.
        """
        until = self._clock.monotonic() + start_within_s
        ticket = await self._ask(request, state, within_s, is_first, late, start_within_s)
        if ticket is None:
            return None
        if ticket.answer.verdict is not Verdict.QUEUED:
            self._note_unavailable(state, ticket.answer)
            return ticket
        queued_at = self._clock.monotonic()
        answer = await self._waits.wait(state, ticket, until)
        self._record(request, state, answer, queued_at, "expired")
        if answer is None:
            answer = msgspec.structs.replace(ticket.answer, verdict=Verdict.REFUSED)
        self._note_unavailable(state, answer)
        return Ticket(ticket.dispatcher_id, answer)

    async def _ask(
        self,
        request: "SteeredRequest",
        state: "TargetState",
        within_s: float,
        is_first: bool,
        late: bool,
        start_within_s: float,
    ) -> t.Optional[Ticket]:
        asked_at = self._clock.monotonic()
        ask = DispatchAsk(
            number=self._client.new_number(),
            target_id=state.target.target_id,
            object_code=object_code_of(_cache_key_of(request)),
            route_code=route_code_of(request.route.route_id),
            level=level_of(request.route, request.tenant, late),
            tenant_code=tenant_code_of(
                request.tenant.tenant_id if request.tenant is not None else None
            ),
            within_ms=_milliseconds(within_s),
            start_within_ms=_milliseconds(start_within_s),
            expires_ms=_milliseconds(
                (request.deadline - self._clock.monotonic()) + _EXPIRY_MARGIN_S
            ),
            primary=is_first,
            may_queue=start_within_s > 0,
            lifetime_code=lifetime_code_of(state.target),
        )
        ticket = await self._ask_in_time(request, state, ask)
        self._record(request, state, ticket.answer if ticket is not None else None, asked_at)
        return ticket

    async def _ask_in_time(
        self, request: "SteeredRequest", state: "TargetState", ask: DispatchAsk
    ) -> t.Optional[Ticket]:
        """Asks, and counts the dispatcher as silent once the request's time to be sent is over."""
        send_within_s = (request.deadline - self._clock.monotonic()) - defaults.MIN_SEND_TIME_LEFT_S
        if send_within_s >= defaults.DISPATCH_FAR_TIMEOUT_S:
            # The client's own time-out is shorter; this spares most asks a second timer.
            return await self._client.ask(state.target, ask)
        try:
            async with asyncio.timeout(send_within_s):
                return await self._client.ask(state.target, ask)
        except TimeoutError:
            return None

    def _note_unavailable(self, state: "TargetState", answer: "DispatchAnswer") -> None:
        """Leaves an unavailable target out for as long as its dispatcher said."""
        if answer.verdict is not Verdict.UNAVAILABLE:
            return
        now = self._clock.monotonic()
        if len(self._unavailable_until) >= _MAX_UNAVAILABLE:
            self._unavailable_until = {
                target_id: until
                for target_id, until in self._unavailable_until.items()
                if until > now
            }
        self._unavailable_until[state.target.target_id] = now + answer.expected_ms / 1000

    def _record(
        self,
        request: "SteeredRequest",
        state: "TargetState",
        answer: "t.Optional[DispatchAnswer]",
        since: float,
        otherwise: str = "silent",
    ) -> None:
        verdict = otherwise if answer is None else answer.verdict.name.lower()
        expected_ms = 0 if answer is None else answer.expected_ms
        took_ms = round((self._clock.monotonic() - since) * 1000)
        request.asks.append(AskRecord(state.target.target_id, verdict, expected_ms, took_ms))


def _cache_key_of(request: "SteeredRequest") -> bytes:
    """Key of an object in a target's cache, which keeps the objects of each route separately.

    One for all requests of a route without objects. Targets are ranked by the object's key alone,
    so that objects stay where they are when a service becomes contended.
    """
    key = request.object_key if request.route.session_affinity else b""
    return object_key_of(request.route.route_id, key)


def _milliseconds(seconds: float) -> int:
    return max(0, round(seconds * 1000))
