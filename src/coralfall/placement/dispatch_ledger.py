"""Dispatch ledger: assigns the slots of targets to the requests of all entries.

The ledger of a target's dispatcher knows what is in flight at the target from all entries, so a
request gets a slot only where it completes in time, and otherwise waits in a bounded queue (central
queue with admission by predicted completion). Assignments are leases: one whose release is lost
expires. Nothing here does I/O.
"""

import collections
import heapq
import itertools
import typing as t

from ..process import log
from .dispatch import AskNumber, DispatchAnswer, DispatchAsk, ServiceLoad, Verdict
from .dispatch_evidence import DispatchEvidence
from .dispatch_queue import Waiter
from .dispatched_target import Assignment, Block, DispatchedTarget, QueuedAsk
from .reservation import TargetReservation

if t.TYPE_CHECKING:
    from ..ids import EntryId, ServiceId, TargetId
    from ..process.clock import Clock
    from .admission import Admission
    from .dispatch import DispatchRelease
    from .dispatched_target import AskKey, Prediction
    from .targets import TargetRegistry, TargetState

#: Fewest milliseconds after which an unavailable target may be asked for again: entries that ask
#: more often would spend more on control than they gain.
_MIN_RETRY_MS = 50
#: Seconds after which to ask again for a target that is not in use here: the time in which rows
#: of targets become known everywhere.
_WITHDRAWN_S = 1.0
#: Seconds after its last ask for which a target counts in the loads of services.
_LATELY_S = 10.0


class DispatchLedger:
    """Assigns the slots of the targets that this entry dispatches to the requests of all entries.

    :param own_id: id of this entry, which records the evidence of its own requests elsewhere.
    :param targets: known targets.
    :param admission: estimates of the work of requests.
    :param clock: time source.
    """

    def __init__(
        self,
        own_id: "EntryId",
        targets: "TargetRegistry",
        admission: "Admission",
        clock: "Clock",
    ) -> None:
        self._own_id = own_id
        self._targets = targets
        self._admission = admission
        self._clock = clock
        self._evidence = DispatchEvidence(targets, admission, clock)
        #: Called when a queued ask is assigned or refused.
        self.on_notice: "t.Callable[[EntryId, DispatchAnswer], None]" = (
            lambda entry_id, answer: None
        )
        self._rows: t.Dict["TargetId", DispatchedTarget] = {}
        self._assignments: t.Dict["AskKey", Assignment] = {}
        #: Rows of queued asks.
        self._waiting: t.Dict["AskKey", DispatchedTarget] = {}
        #: Assignments by time of expiry; those that were released stay until then.
        self._expiries: t.List[t.Tuple[float, int, Assignment]] = []
        self._expiry_numbers = itertools.count()
        #: Rows that have queued asks, and those whose target is unavailable.
        self._queued_rows: t.Set[DispatchedTarget] = set()
        self._unavailable_rows: t.Set[DispatchedTarget] = set()
        self._generation = targets.generation
        self._is_closed = False
        #: Asks by their first answer, and queued asks by the notice that they got.
        self.asks_by_verdict: t.Dict[Verdict, int] = dict.fromkeys(Verdict, 0)
        self.notices_by_verdict: t.Dict[Verdict, int] = dict.fromkeys(Verdict, 0)
        #: Number of assignments that expired.
        self.expired_count = 0

    @property
    def queued(self) -> int:
        """Number of asks that are queued now."""
        return len(self._waiting)

    @property
    def assigned(self) -> int:
        """Number of assignments in force."""
        return len(self._assignments)

    def reservation_of(
        self, entry_id: "EntryId", number: AskNumber
    ) -> t.Optional[TargetReservation]:
        """The reservation of an assignment, for the requests of this entry itself."""
        assignment = self._assignments.get((entry_id, number))
        return assignment.reservation if assignment is not None else None

    def ask(self, entry_id: "EntryId", ask: DispatchAsk) -> DispatchAnswer:
        """Answers an ask; if it is queued, a notice follows."""
        answer = self._answer(entry_id, ask)
        self.asks_by_verdict[answer.verdict] += 1
        return answer

    def _answer(self, entry_id: "EntryId", ask: DispatchAsk) -> DispatchAnswer:
        if self._is_closed:
            return DispatchAnswer(ask.number, Verdict.NOT_DISPATCHER)
        key = (entry_id, ask.number)
        row = self._row_of(ask.target_id)
        if row is None:
            return _unavailable(ask.number, _WITHDRAWN_S)
        if key in self._assignments or key in self._waiting:
            # Numbers are unique, so the sender restarted, or doesn't keep to the protocol.
            return _unavailable(ask.number, _WITHDRAWN_S)
        if not row.is_meant_by(ask):
            # One of the two rows is stale, and the request would go to another address.
            return _unavailable(ask.number, _WITHDRAWN_S)
        row.asked_at = self._clock.monotonic()
        block = self._check(row)
        if block is not None:
            return _unavailable(ask.number, block.seconds)
        self._serve(row)
        prediction = row.predict(ask)
        if self._has_room(row, ask, prediction):
            return self._assign(row, key, ask, prediction)
        if ask.may_queue:
            return self._enqueue(row, key, ask, prediction)
        return _answer(ask.number, Verdict.BUSY, prediction)

    def release(self, entry_id: "EntryId", release: "DispatchRelease") -> None:
        """Ends an assignment; ignored if there is none of this number."""
        assignment = self._remove((entry_id, release.number))
        if assignment is None:
            return
        row = assignment.row
        if entry_id != self._own_id:
            self._evidence.record(assignment, release)
        assignment.reservation.release()
        self._evidence.learn(assignment, release)
        self._retire_if_withdrawn(row)
        self._check(row)
        self._serve(row)

    def cancel(self, entry_id: "EntryId", number: AskNumber) -> None:
        """Ends a queued ask, or its assignment if the notice has crossed the cancellation."""
        key = (entry_id, number)
        row = self._waiting.get(key)
        if row is not None:
            self._remove_waiting(row, key)
            row.queue.remove(entry_id, number)
            return
        assignment = self._remove(key)
        if assignment is not None:
            self._undo(assignment)
            self._serve(assignment.row)

    def drop_entry(self, entry_id: "EntryId") -> None:
        """Removes the queued asks of an entry and ends its assignments, as its process ended."""
        for key in [key for key in self._waiting if key[0] == entry_id]:
            self.cancel(*key)
        for key in [key for key in self._assignments if key[0] == entry_id]:
            self.cancel(*key)

    def tick(self) -> None:
        """Expires assignments, refuses queued asks that became useless, and serves the others."""
        self._expire()
        if self._generation != self._targets.generation:
            self._generation = self._targets.generation
            for row in list(self._rows.values()):
                self._retire_if_withdrawn(row)
        for row in list(self._unavailable_rows):
            self._check(row)
        for row in list(self._queued_rows):
            if self._check(row) is not None:
                continue
            self._refuse_useless(row)
            self._serve(row)

    def service_loads(self) -> t.Tuple[ServiceLoad, ...]:
        """Load and slots of the usable targets that were asked for lately, by service."""
        busy: t.Counter["ServiceId"] = collections.Counter()
        slots: t.Counter["ServiceId"] = collections.Counter()
        for row in self._rows_asked_lately():
            if row.block() is not None:
                # The slots of a target that can't be used would make the others seem idle.
                continue
            service = row.state.target.service
            busy[service] += round(row.load()) + len(row.queue)
            slots[service] += row.slots
        return tuple(
            [ServiceLoad(service, busy[service], count) for service, count in slots.items()]
        )

    def target_count(self) -> int:
        """Number of targets that were asked for lately."""
        return len(self._rows_asked_lately())

    def _rows_asked_lately(self) -> t.List[DispatchedTarget]:
        since = self._clock.monotonic() - _LATELY_S
        return [row for row in self._rows.values() if row.asked_at >= since]

    def close(self) -> None:
        """Refuses all queued asks and all further ones."""
        self._is_closed = True
        for row in list(self._queued_rows):
            self._dismiss(row, Verdict.NOT_DISPATCHER, 0)

    def _row_of(self, target_id: "TargetId") -> t.Optional[DispatchedTarget]:
        row = self._rows.get(target_id)
        if row is not None:
            if self._targets.may_use(row.state):
                return row
            self._retire_if_withdrawn(row)
        state = self._targets.by_id.get(target_id)
        if state is None or not self._targets.may_use(state):
            return None
        row = self._rows[target_id] = DispatchedTarget(state, self._admission, self._clock)
        return row

    def _retire_if_withdrawn(self, row: DispatchedTarget) -> None:
        """Ends a row whose target is not in use any more; assignments end on their own."""
        if self._targets.may_use(row.state):
            return
        self._dismiss(row, Verdict.UNAVAILABLE, _retry_ms(_WITHDRAWN_S))
        self._unavailable_rows.discard(row)
        target_id = row.state.target.target_id
        if self._rows.get(target_id) is row:
            del self._rows[target_id]

    def _check(self, row: DispatchedTarget) -> t.Optional[Block]:
        """Returns why a target can't be used, if so; then nobody waits for it any longer."""
        if self._rows.get(row.state.target.target_id) is not row:
            return Block("withdrawn", _WITHDRAWN_S)
        block = row.block()
        if block is not None:
            self._dismiss(row, Verdict.UNAVAILABLE, _retry_ms(block.seconds))
        if block is not None and row.is_available:
            row.is_available = False
            self._unavailable_rows.add(row)
            self._log(row.state, "dispatch.target-unavailable", reason=block.reason)
        elif block is None and not row.is_available and not row.awaits_proof():
            row.is_available = True
            self._unavailable_rows.discard(row)
            self._log(row.state, "dispatch.target-available")
        return block

    def _log(self, state: "TargetState", event: str, **fields: str) -> None:
        target = state.target
        log.info(event, target=target.target_id, service=target.service, **fields)

    def _has_room(self, row: DispatchedTarget, ask: DispatchAsk, prediction: "Prediction") -> bool:
        """Whether a slot is assigned at once; those who waited have got theirs."""
        if prediction.load >= prediction.load_limit:
            return False
        if ask.primary and prediction.load < row.slots and not row.queue:
            # No other target serves the object sooner, unless it has happened to cache it.
            return True
        if ask.may_queue:
            return prediction.wait_s * 1000 <= ask.start_within_ms
        total_s = prediction.total_s
        if ask.primary and not prediction.cached:
            # The object has to be loaded, and to ask elsewhere would not make it sooner.
            total_s = prediction.wait_s + row.cached_work_s(ask) * prediction.pace
        return total_s * 1000 <= ask.within_ms

    def _assign(
        self, row: DispatchedTarget, key: "AskKey", ask: DispatchAsk, prediction: "Prediction"
    ) -> DispatchAnswer:
        state = row.state
        is_speed_sample = (
            prediction.cached and not state.is_cold() and prediction.load < state.target.slots
        )
        reservation = TargetReservation(
            state,
            ask.object_code.to_bytes(4, "big"),
            prediction.cached,
            True,
            is_speed_sample,
            self._admission,
            # Before the first answers nothing is known of the work: what its caller expects counts.
            prediction.total_s or ask.within_ms / 1000,
        )
        now = self._clock.monotonic()
        assignment = Assignment(
            key,
            row,
            ask,
            reservation,
            prediction.cached,
            prediction.work_s,
            prediction.wait_s,
            prediction.load,
            prediction.pace,
            now,
            now + ask.expires_ms / 1000,
        )
        row.add(assignment)
        self._assignments[key] = assignment
        heapq.heappush(
            self._expiries, (assignment.expires_at, next(self._expiry_numbers), assignment)
        )
        return _answer(ask.number, Verdict.ASSIGNED, prediction)

    def _enqueue(
        self, row: DispatchedTarget, key: "AskKey", ask: DispatchAsk, prediction: "Prediction"
    ) -> DispatchAnswer:
        now = self._clock.monotonic()
        start_before = now + ask.start_within_ms / 1000
        row.waiting[key] = QueuedAsk(ask, start_before)
        self._waiting[key] = row
        self._queued_rows.add(row)
        waiter = Waiter(
            entry_id=key[0],
            number=ask.number,
            level=ask.level,
            tenant=ask.tenant_code,
            work_s=prediction.work_s,
            start_before=start_before,
            queued_at=now,
        )
        refused = row.queue.add(waiter, now, *row.queue_outlook())
        self._refuse(row, [other for other in refused if other is not waiter])
        if waiter in refused:
            self._remove_waiting(row, key)
            return _answer(ask.number, Verdict.REFUSED, prediction)
        return _answer(ask.number, Verdict.QUEUED, prediction)

    def _serve(self, row: DispatchedTarget) -> None:
        """Assigns free slots to queued asks; those that have expired are refused by the tick."""
        while row.queue and row.has_room() and not row.block():
            waiter = row.queue.pop(self._clock.monotonic())
            if waiter is None:
                return
            key = (waiter.entry_id, AskNumber(waiter.number))
            ask = row.waiting[key].ask
            self._remove_waiting(row, key)
            prediction = row.predict(ask, in_queue=False)
            self._notify(waiter.entry_id, self._assign(row, key, ask, prediction))

    def _refuse_useless(self, row: DispatchedTarget) -> None:
        """Refuses the queued asks that would start too late."""
        outlook = row.queue_outlook()
        if row.may_be_useless(*outlook):
            self._refuse(row, row.queue.refuse_useless(self._clock.monotonic(), *outlook))

    def _refuse(self, row: DispatchedTarget, waiters: t.Sequence[Waiter]) -> None:
        """Tells those whose asks the queue has given up."""
        for waiter in waiters:
            key = (waiter.entry_id, AskNumber(waiter.number))
            ask = row.waiting[key].ask
            self._remove_waiting(row, key)
            self._notify(waiter.entry_id, _answer(ask.number, Verdict.REFUSED, row.predict(ask)))

    def _dismiss(self, row: DispatchedTarget, verdict: Verdict, retry_ms: int) -> None:
        """Ends all queued asks of a target."""
        for key in list(row.waiting):
            self._remove_waiting(row, key)
            row.queue.remove(*key)
            self._notify(key[0], DispatchAnswer(key[1], verdict, retry_ms))

    def _notify(self, entry_id: "EntryId", answer: DispatchAnswer) -> None:
        self.notices_by_verdict[answer.verdict] += 1
        self.on_notice(entry_id, answer)

    def _remove_waiting(self, row: DispatchedTarget, key: "AskKey") -> None:
        del row.waiting[key]
        del self._waiting[key]
        if not row.waiting:
            self._queued_rows.discard(row)

    def _remove(self, key: "AskKey") -> t.Optional[Assignment]:
        """Removes an assignment and returns it; its reservation is still in force."""
        assignment = self._assignments.pop(key, None)
        if assignment is not None:
            assignment.row.remove(assignment)
        return assignment

    def _undo(self, assignment: Assignment) -> None:
        """Ends the reservation of a request that did not run."""
        assignment.reservation.release()
        if not assignment.cached:
            assignment.row.cache.forget(assignment.ask.object_code)

    def _expire(self) -> None:
        now = self._clock.monotonic()
        while self._expiries and self._expiries[0][0] <= now:
            _, _, assignment = heapq.heappop(self._expiries)
            if self._assignments.get(assignment.key) is not assignment:
                continue
            self._remove(assignment.key)
            assignment.reservation.release()
            self.expired_count += 1


def _answer(number: AskNumber, verdict: Verdict, prediction: "Prediction") -> DispatchAnswer:
    expected_ms = round(prediction.total_s * 1000)
    return DispatchAnswer(number, verdict, expected_ms, prediction.cached, round(prediction.load))


def _unavailable(number: AskNumber, seconds: float) -> DispatchAnswer:
    return DispatchAnswer(number, Verdict.UNAVAILABLE, _retry_ms(seconds))


def _retry_ms(seconds: float) -> int:
    return max(_MIN_RETRY_MS, round(seconds * 1000))
