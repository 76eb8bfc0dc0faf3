"""Dispatch selection: targets of contended services are assigned by their dispatchers.

The dispatchers of an object's candidates are asked for a slot one after the other. If all of them
are busy, the request queues at the one with the earliest predicted completion. What dispatchers
don't answer is decided by the entry's own knowledge (:class:`.target_selection.LocalSelector`).
"""

import typing as t

from .. import defaults
from ..exceptions import RefusedError
from ..placement.affinity import MAX_RETRY_AFTER_S
from ..placement.contended_candidates import contended_candidates
from ..placement.dispatch import (
    Ticket,
    Verdict,
)
from ..placement.spill_limit import SpillLimit
from .dispatch_outcome import release_of
from .model import RequestKind
from .slot_asks import SlotAsks
from .target_selection import TargetSelector

if t.TYPE_CHECKING:
    from ..ids import TargetId
    from ..placement.affinity import AffinitySteering
    from ..placement.dispatch import DispatchAnswer
    from ..placement.reservation import TargetReservation
    from ..placement.targets import TargetRegistry, TargetState
    from ..process.clock import Clock
    from .dispatch_asker import DispatchAsker
    from .steered_request import SteeredRequest

#: Reason of rejecting a request for which no target has a slot in time.
NO_SLOT = "no-slot"
#: Times that the candidates are asked, if the target of a queued ask is withdrawn or its dispatcher
#: stops; after that the entry decides by its own knowledge.
_MAX_ROUNDS = 3
#: Verdicts that are as good as no answer.
_SILENT = frozenset((Verdict.NOT_DISPATCHER,))


class _Candidate(t.NamedTuple):
    """A target whose dispatcher may be asked."""

    state: "TargetState"
    #: Whether it is in another region than the first candidate of the object.
    is_remote: bool


class _Busy(t.NamedTuple):
    """A candidate that had no slot in time."""

    candidate: _Candidate
    answer: "DispatchAnswer"
    is_first: bool
    #: Time at which queueing there was counted toward the spill limit, if it was.
    spilled_at: t.Optional[float] = None


class DispatchSelector(TargetSelector):
    """Selects the targets of contended services by asking their dispatchers.

    Requests of other services are passed to the local selector before anything else.

    :param local: decides by the entry's own knowledge.
    :param client: asks dispatchers.
    :param steering: ranks targets and reserves them.
    :param targets: known targets.
    :param clock: time source.
    """

    def __init__(
        self,
        local: TargetSelector,
        client: "DispatchAsker",
        steering: "AffinitySteering",
        targets: "TargetRegistry",
        clock: "Clock",
    ) -> None:
        self._local = local
        self._client = client
        self._steering = steering
        self._targets = targets
        self._clock = clock
        self._spill_limit = SpillLimit(steering.settings.entry_id, clock)
        self._ticket_by_reservation: t.Dict["TargetReservation", Ticket] = {}
        self._asks = SlotAsks(client, targets, clock)

    async def select(
        self,
        request: "SteeredRequest",
        tried: "t.Collection[TargetId]",
        retry_target: "t.Optional[TargetState]",
    ) -> "TargetReservation":
        if not request.contended or request.route.kind is RequestKind.UPLOAD:
            # Bodies of uploads fill the entry's link, and asks would wait behind them.
            return await self._local.select(request, tried, retry_target)
        if not request.attempts:
            self._spill_limit.record_request(request.service)
        excluded = set(tried)
        late = request.is_late or self._clock.monotonic() > request.objective_at()
        for _ in range(_MAX_ROUNDS):
            busy: t.List[_Busy] = []
            candidates = self._candidates(request, excluded, retry_target)
            reservation = await self._ask_in_order(request, candidates, late, busy)
            if reservation is not None:
                return reservation
            if not busy:
                break
            best = self._best_to_queue_at(request, busy)
            try:
                reservation = await self._queue(request, best, excluded, late)
            finally:
                if reservation is None and best.spilled_at is not None:
                    self._spill_limit.undo(request.service, best.spilled_at)
            if reservation is not None:
                return reservation
        return await self._local.select(request, tried, retry_target)

    def finish(
        self,
        request: "SteeredRequest",
        reservation: "TargetReservation",
        error: t.Optional[BaseException],
    ) -> None:
        ticket = self._ticket_by_reservation.pop(reservation, None)
        if ticket is None:
            return
        now = self._clock.monotonic()
        number = ticket.answer.number
        self._client.release(ticket, release_of(number, request.attempts[-1], error, now))

    def _candidates(
        self,
        request: "SteeredRequest",
        excluded: "t.Collection[TargetId]",
        retry_target: "t.Optional[TargetState]",
    ) -> t.List[_Candidate]:
        steering = self._steering
        key = request.object_key
        states = contended_candidates(steering, request.service, key, request.allowed_regions)
        if not states:
            return []
        home = steering.rankings.region_of(states[0])
        states = [state for state in states if state.target.target_id not in excluded]
        states = [state for state in states if not self._asks.is_unavailable(state)]
        if (
            retry_target is not None
            and request.route.session_affinity
            and self._targets.may_use(retry_target)
        ):
            # As in AffinitySteering.choose: it is better than a target that has to load the object.
            states = [state for state in states if state.has_cached(key)] + [retry_target]
        return [_Candidate(state, steering.rankings.region_of(state) != home) for state in states]

    async def _ask_in_order(
        self,
        request: "SteeredRequest",
        candidates: t.Sequence[_Candidate],
        late: bool,
        busy: t.List[_Busy],
    ) -> "t.Optional[TargetReservation]":
        """Asks for a slot of one candidate after the other.

        :param late: whether the request may only use a free slot of the first candidate.
        :param busy: receives the candidates that had no slot in time.
        """
        for candidate in candidates:
            left_s = self._left_s(request)
            if left_s < defaults.MIN_SEND_TIME_LEFT_S:
                return None
            objective_s = 0.0 if late else request.objective_at() - self._clock.monotonic()
            within_s = min(left_s, objective_s)
            spilled_at: t.Optional[float] = None
            if busy:
                soonest_s = min([other.answer.expected_ms for other in busy]) / 1000
                if candidate.is_remote:
                    if soonest_s > objective_s:
                        spilled_at = self._try_spill(request)
                    if spilled_at is None:
                        continue
                if not late:
                    # Any sooner completion is worth it, also one that misses the objective.
                    within_s = min(left_s, soonest_s - 0.001)
            is_first = not busy or not request.route.session_affinity
            start_within_s = self._first_start_within_s(candidate.state, min(left_s, objective_s))
            reservation: "t.Optional[TargetReservation]" = None
            try:
                ticket = await self._asks.ask_and_wait(
                    request, candidate.state, within_s, is_first, late, start_within_s
                )
                reservation = self._reservation_for(request, candidate.state, ticket, is_first)
            finally:
                if reservation is None and spilled_at is not None:
                    self._spill_limit.undo(request.service, spilled_at)
            if reservation is not None:
                return reservation
            if ticket is not None and ticket.answer.verdict in (Verdict.BUSY, Verdict.REFUSED):
                busy.append(_Busy(candidate, ticket.answer, is_first))
                if late:
                    # It takes no free slot of another target, which would have to load the object.
                    break
        return None

    def _first_start_within_s(self, state: "TargetState", within_s: float) -> float:
        """Returns the seconds for which the first ask for a target may be queued.

        None in the entry's own region, where other candidates are asked first. A dispatcher in
        another region takes as long to answer as a queued request to start.
        """
        steering = self._steering
        if steering.rankings.region_of(state) == steering.settings.region:
            return 0.0
        return max(0.0, within_s - self._work_s(state, True))

    def _work_s(self, state: "TargetState", cached: bool) -> float:
        admission = self._steering.admission
        return admission.predict_latency_s(state, cached) - admission.queue_drain_s(state)

    def _reservation_for(
        self,
        request: "SteeredRequest",
        state: "TargetState",
        ticket: t.Optional[Ticket],
        is_first: bool,
    ) -> "t.Optional[TargetReservation]":
        """Reserves a target if it is assigned, or if only the entry's own knowledge can tell."""
        if ticket is None or ticket.answer.verdict in _SILENT:
            left_s = self._left_s(request)
            key, route = request.object_key, request.route
            if not self._steering.has_free_slot(state, is_first, key, route, left_s):
                return None
            return self._steering.reserve(state, key, route)
        if ticket.answer.verdict is not Verdict.ASSIGNED:
            return None
        reservation = self._steering.reserve_assigned(
            state,
            request.object_key,
            request.route,
            known=ticket.answer.cached,
            load=ticket.answer.load,
            is_counted=ticket.dispatcher_id != self._steering.settings.entry_id,
        )
        self._ticket_by_reservation[reservation] = ticket
        return reservation

    def _best_to_queue_at(self, request: "SteeredRequest", busy: t.Sequence[_Busy]) -> _Busy:
        """Returns the candidate that completes soonest; a remote one only within the spill limit.

        The first one that was busy is in the region of the object, unless nothing there can be
        used; so there is always one.
        """
        for other in sorted(busy, key=lambda one: one.answer.expected_ms):
            if other is busy[0] or not other.candidate.is_remote:
                return other
            spilled_at = self._try_spill(request)
            if spilled_at is not None:
                return other._replace(spilled_at=spilled_at)
        return busy[0]

    async def _queue(
        self, request: "SteeredRequest", best: _Busy, excluded: "t.Set[TargetId]", late: bool
    ) -> "t.Optional[TargetReservation]":
        """Asks for a slot and waits for it.

        :param late: whether the request waits behind all that are in time.
        :param excluded: receives the target if it can't be used any more.
        :return: ``None`` if the target can't be used any more or its dispatcher is gone.
        :raises RefusedError: if no slot can be had in time.
        """
        state = best.candidate.state
        work_s = self._work_s(state, best.answer.cached)
        left_s = self._left_s(request)
        start_within_s = left_s - max(work_s, defaults.MIN_SEND_TIME_LEFT_S)
        if start_within_s <= 0:
            raise _no_slot_error(request, best.answer, work_s)
        ticket = await self._asks.ask_and_wait(
            request, state, left_s, best.is_first, late, start_within_s
        )
        if ticket is not None and ticket.answer.verdict in (Verdict.REFUSED, Verdict.BUSY):
            raise _no_slot_error(request, ticket.answer, work_s)
        if ticket is not None and ticket.answer.verdict in _SILENT:
            # The next in rank has taken over: it is asked in the next round.
            return None
        reservation = self._reservation_for(request, state, ticket, best.is_first)
        if reservation is None:
            excluded.add(state.target.target_id)
        return reservation

    def _try_spill(self, request: "SteeredRequest") -> t.Optional[float]:
        """Returns the time at which a spill was counted; ``None`` beyond the limit."""
        fraction = self._steering.settings.bounds.spill_fraction()
        now = self._clock.monotonic()
        return now if self._spill_limit.try_spill(request.service, fraction) else None

    def _left_s(self, request: "SteeredRequest") -> float:
        return request.deadline - self._clock.monotonic()


def _no_slot_error(
    request: "SteeredRequest", answer: "DispatchAnswer", work_s: float
) -> RefusedError:
    message = f"no target of {request.service} for this object has a slot in time"
    wait_s = answer.expected_ms / 1000 - work_s
    retry_after_s = min(max(defaults.STEER_RETRY_AFTER_S, wait_s), MAX_RETRY_AFTER_S)
    return RefusedError(message, retry_after_s, service=request.service, reason=NO_SLOT)
