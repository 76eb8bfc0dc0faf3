"""Dispatched target: the assignments, the queue and the predictions for one target."""

import math
import typing as t

import msgspec

from .cache_model import CacheModel
from .dispatch import ANY_LIFETIME, lifetime_code_of
from .dispatch_queue import DispatchQueue

if t.TYPE_CHECKING:
    from ..ids import EntryId
    from ..process.clock import Clock
    from .admission import Admission
    from .dispatch import AskNumber, DispatchAsk, ObjectCode
    from .reservation import TargetReservation
    from .targets import TargetState

#: Identifies an ask: the entry that asks, and its number.
AskKey = t.Tuple["EntryId", "AskNumber"]

#: Load, as a multiple of its slots, below which a target that has not cached an object and is not
#: its first candidate takes a request for it. Loading takes three times the work of a cached
#: object, so under load it would cause more requests to spill, and more loading. The second limit
#: is for the last ask of a request, which found all candidates busy.
_UNCACHED_LOAD_LIMIT = 0.35
_UNCACHED_LAST_LOAD_LIMIT = 0.7
#: Requests beyond the slots that a target gets, as a fraction of its slots: messages about a
#: request take up to two thirds of the work of a cached object where links are narrow.
_EXCESS_FRACTION = 2 / 3
#: Seconds until a target may be asked for again whose overdue request has no known end.
_UNRESPONSIVE_S = 0.3
#: Seconds between two requests that try a silent target.
_SILENCE_TRIAL_S = 1.0
#: Seconds until a target may be asked for again while one request tries it after an ejection.
_TRIAL_S = 0.05


class Assignment(msgspec.Struct):
    """A slot that is granted for one attempt."""

    key: AskKey
    row: "DispatchedTarget"
    ask: "DispatchAsk"
    reservation: "TargetReservation"
    #: Whether the target was expected to have the object cached.
    cached: bool
    #: Predicted seconds of work at usual pace, and in the target's queue.
    work_s: float
    wait_s: float
    #: Load of the target before it was granted.
    load: float
    #: Pace of the target when the slot was granted, as a multiple of the usual time.
    pace: float
    #: Monotonic times at which it was granted, and expires.
    granted_at: float
    expires_at: float
    #: Whether the object was being loaded by another request, so its time shows no cached work.
    joins_load: bool = False


class QueuedAsk(t.NamedTuple):
    """An ask that waits for a slot, and the monotonic time after which a start is of no use."""

    ask: "DispatchAsk"
    start_before: float


class Prediction(t.NamedTuple):
    """What is expected of a request that asks for a slot."""

    cached: bool
    #: Seconds of work at usual pace.
    work_s: float
    #: Seconds in the target's queue at the present pace.
    wait_s: float
    #: Seconds until completion. If another target should have the object cached, it includes the
    #: time that loading the object costs other requests.
    total_s: float
    load: float
    pace: float
    #: Load from which on the target has no room for the request.
    load_limit: float


class Block(t.NamedTuple):
    """Why a target can't be used, and the seconds after which it may be asked for again."""

    reason: str
    seconds: float


class DispatchedTarget:
    """One lifetime of a target at its dispatcher.

    :param state: load and health of the target.
    :param admission: estimates of the work of requests.
    :param clock: time source.
    """

    __slots__ = (
        "_admission",
        "_clock",
        "_lifetime_code",
        "_silence_tried_at",
        "_work_sum_s",
        "asked_at",
        "assignments",
        "cache",
        "ejected_at",
        "is_available",
        "queue",
        "state",
        "trial_key",
        "waiting",
    )

    def __init__(self, state: "TargetState", admission: "Admission", clock: "Clock") -> None:
        self.state = state
        self._lifetime_code = lifetime_code_of(state.target)
        self._admission = admission
        self._clock = clock
        self.cache = CacheModel()
        self.queue = DispatchQueue(self.slots)
        self.assignments: t.Dict[AskKey, Assignment] = {}
        #: Queued asks.
        self.waiting: t.Dict[AskKey, QueuedAsk] = {}
        #: Sum of the predicted work of the assignments, in seconds.
        self._work_sum_s = 0.0
        #: Monotonic time of the last ask.
        self.asked_at = -float("inf")
        #: Monotonic time at which another entry's request last had it ejected.
        self.ejected_at = -float("inf")
        #: Assignment that tries the target after an ejection.
        self.trial_key: t.Optional[AskKey] = None
        #: Monotonic time at which a silent target was last tried, or found silent.
        self._silence_tried_at: t.Optional[float] = None
        #: Whether the target was usable when it was last looked at, for logs.
        self.is_available = True

    @property
    def slots(self) -> int:
        """Requests that the target processes at a time."""
        return max(1, self.state.target.slots)

    def is_meant_by(self, ask: "DispatchAsk") -> bool:
        """Whether an ask is for this lifetime of the target, as far as it tells."""
        return ask.lifetime_code in (ANY_LIFETIME, self._lifetime_code)

    def load(self) -> float:
        """Requests at the target: those in flight from here, and those that are not known here."""
        now = self._clock.monotonic()
        return self.state.in_flight + self.state.load_reports.unknown_load(now)

    def load_limit(self) -> int:
        """Load below which a slot is assigned.

        A request counts as in flight until its release has arrived, so without an excess a slot
        would stand idle while messages are in transit.
        """
        return self.slots + max(1, math.ceil(self.slots * _EXCESS_FRACTION))

    def has_room(self) -> bool:
        """Whether a queued ask may be assigned a slot."""
        return self.load() < self.load_limit()

    def block(self) -> t.Optional[Block]:
        """Why it can't be used now by its health, if so.

        A cooldown is no reason: it binds the entry alone that was rejected, which knows of it.
        """
        state = self.state
        ejected_s = state.ejected_s()
        if state.has_ended or ejected_s:
            return Block("ejected", ejected_s)
        if not state.is_silent():
            self._silence_tried_at = None
        elif not self._may_try_silent():
            return Block("unresponsive", _UNRESPONSIVE_S)
        if state.awaits_answer and self.trial_key in self.assignments:
            return Block("trial", _TRIAL_S)
        return None

    def awaits_proof(self) -> bool:
        """Whether it has not answered since it was found ejected or silent."""
        return self.state.awaits_answer or self._silence_tried_at is not None

    def _may_try_silent(self) -> bool:
        """Whether a request may try a silent target: one each interval, the first one after it.

        A release that was lost makes a target seem silent that is well.
        """
        now = self._clock.monotonic()
        if self._silence_tried_at is None:
            self._silence_tried_at = now
        return now - self._silence_tried_at >= _SILENCE_TRIAL_S

    def predict(self, ask: "DispatchAsk", in_queue: bool = True) -> Prediction:
        """Predicts the completion of a request.

        :param in_queue: whether the request would be the last of its tenant in the queue; one that
            was taken from the queue has those that still wait behind it.
        """
        target = self.state.target
        pace = self.state.load_reports.pace(self._clock.monotonic())
        cached = ask.object_code in self.cache
        work_s = self._admission.work_s(target.service, ask.route_code, cached)
        load = self.load()
        limit: float = self.load_limit()
        mean_s = self.mean_work_s(work_s) * pace
        wait_s = self._wait_s(load, self.slots, mean_s)
        if not cached and not ask.primary:
            part = _UNCACHED_LAST_LOAD_LIMIT if ask.may_queue else _UNCACHED_LOAD_LIMIT
            limit = part * self.slots
            if load >= limit:
                wait_s = self._wait_s(load, limit, mean_s)
        if in_queue and self.queue:
            wait_s = max(wait_s, self.queue.wait_of(ask.level, ask.tenant_code, wait_s, mean_s))
        total_s = wait_s + work_s * pace
        if not cached and not ask.primary:
            # To load the object once more keeps a slot from others for as long as this.
            total_s += max(0.0, work_s - self.cached_work_s(ask)) * pace
        return Prediction(cached, work_s, wait_s, total_s, load, pace, limit)

    def cached_work_s(self, ask: "DispatchAsk") -> float:
        """Typical work of a request if its object is cached, in seconds."""
        return self._admission.work_s(self.state.target.service, ask.route_code, True)

    def mean_work_s(self, otherwise_s: float) -> float:
        """Mean work of the requests in flight at usual pace, in seconds.

        :param otherwise_s: returned if there are none.
        """
        if not self.assignments:
            return otherwise_s
        return max(0.0, self._work_sum_s) / len(self.assignments)

    def queue_outlook(self) -> t.Tuple[float, float]:
        """Seconds until a slot is free, and that a request takes, at the present pace."""
        # A new row may change the slots of a lifetime.
        self.queue.slots = self.slots
        pace = self.state.load_reports.pace(self._clock.monotonic())
        first = next(iter(self.waiting.values()), None)
        otherwise_s = 0.0
        if first is not None:
            service = self.state.target.service
            otherwise_s = self._admission.work_s(service, first.ask.route_code, True)
        mean_s = self.mean_work_s(otherwise_s) * pace
        return self._wait_s(self.load(), self.slots, mean_s), mean_s

    def may_be_useless(self, free_in_s: float, work_s: float) -> bool:
        """Whether a queued ask may start too late: whether the first to expire would, as the last.

        It spares most ticks the planning of all starts, which copies the queue.
        """
        last_start = self._clock.monotonic() + free_in_s + len(self.waiting) * work_s / self.slots
        return min([queued.start_before for queued in self.waiting.values()]) < last_start

    def _wait_s(self, load: float, limit: float, mean_s: float) -> float:
        """Seconds until one more request is within a load limit."""
        return max(0.0, load + 1 - limit) * mean_s / self.slots

    def add(self, assignment: Assignment) -> None:
        """Adds an assignment."""
        assignment.joins_load = assignment.cached and self._is_loading(assignment.ask.object_code)
        self.assignments[assignment.key] = assignment
        self._work_sum_s += assignment.work_s
        self.cache.use(assignment.ask.object_code)
        if self.state.awaits_answer:
            self.trial_key = assignment.key
        if self._silence_tried_at is not None:
            self._silence_tried_at = self._clock.monotonic()

    def _is_loading(self, code: "ObjectCode") -> bool:
        for other in self.assignments.values():
            if not other.cached and other.ask.object_code == code:
                return True
        return False

    def remove(self, assignment: Assignment) -> None:
        """Removes an assignment."""
        del self.assignments[assignment.key]
        # Set to zero when it is known to be, as rounding errors would add up.
        self._work_sum_s = self._work_sum_s - assignment.work_s if self.assignments else 0.0
