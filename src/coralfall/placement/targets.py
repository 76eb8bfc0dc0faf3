"""Targets: what an entry knows of each target, from the platform's rows and its own requests.

Passive health checking: consecutive failures eject a target for a time that grows exponentially.
"""

import collections
import typing as t

from .. import defaults
from ..process import log
from .cold_targets import SlidingWindowLimiter
from .load_reports import LoadReports
from .slow_targets import LatencySamples
from .target_reports import TargetReports

if t.TYPE_CHECKING:
    from ..ids import ServiceId, TargetId, ZoneId
    from ..process.clock import Clock
    from ..traffic.model import Target


#: Reasons not to send a request: its target is not in use any more, or is in a cooldown.
WITHDRAWN = "withdrawn"
COOLDOWN = "cooldown"
#: States by which targets are counted; one that is ejected is "resting".
_STATES = ("usable", "resting", COOLDOWN, "cold", "leaving", "evacuated", "gone")
#: Seconds for which a target is assumed to cache an object, and maximum number of objects that are
#: tracked for each target.
_CACHED_S = 20.0
_MAX_OBJECTS = 128
#: Seconds after an answer for which a target counts as serving requests.
_SERVING_S = 1.0
#: Requests that are overdue at a target that counts as silent, and the multiple of the time after
#: which a request is overdue from which on one suffices.
_MIN_OVERDUE = 2
_LONG_OVERDUE_MULTIPLE = 3.0
#: Fewest seconds without an answer after which a target counts as silent for all entries: the first
#: requests after a start load their objects, and nothing is known of their work yet.
_MIN_SILENT_S = 0.8
#: Consecutive ejections without a connection after which a target counts as down: a single lost
#: packet can make a connection fail, and so cause a first ejection.
_DOWN_EJECTIONS = 2


class TargetState:
    """One lifetime of a target with its load, health and cached objects.

    :param target: row of the target.
    :param clock: time source.
    :param row_delay_s: longest time in seconds from the start of a target until its row is known.
    :param reports: reports of the targets about themselves.
    """

    def __init__(
        self, target: "Target", clock: "Clock", row_delay_s: float, reports: TargetReports
    ) -> None:
        self.target = target
        self._clock = clock
        self._row_delay_s = row_delay_s
        self._reports = reports
        #: When each request of this entry in flight was started and when it is overdue, by number.
        self._started: t.Dict[int, t.Tuple[float, float]] = {}
        self._start_count = 0
        self._answered_at = -float("inf")
        #: When this entry last sent a request for each object, the least recent first.
        self._sent_by_object: "collections.OrderedDict[bytes, float]" = collections.OrderedDict()
        self.cold_limiter = SlidingWindowLimiter()
        #: Latencies of requests for cached objects without a queue.
        self.latencies = LatencySamples()
        self.cold_until = 0.0
        #: Whether this lifetime is over.
        self.has_ended = False
        self._reported_load = 0
        self._reported_at = -float("inf")
        #: Load reports for the dispatcher of the target.
        self.load_reports = LoadReports()
        self._failures = 0
        self._ejections = 0
        self._ejected_until = -float("inf")
        #: Monotonic time of the first failure in a row, and when the target stops to count as cold
        #: for its failures alone.
        self._failing_since = float("inf")
        self._suspected_cold_until = -float("inf")
        #: Monotonic time at which this entry last connected to it.
        self.connected_at = -float("inf")

    @property
    def leaving(self) -> bool:
        """Whether its lifetime ends soon, by its row or by its own report."""
        return self.target.leaving or self._reports.departures.includes(self.target)

    def cooldown_s(self) -> float:
        """Seconds until it accepts requests from this entry again; 0 if it does now."""
        return self._reports.cooldowns.remaining_s(self.target)

    @property
    def in_flight(self) -> int:
        """Number of requests of this entry that are in flight."""
        return len(self._started)

    def start_request(self, overdue_after_s: float) -> int:
        """Records the start of a request, and returns its number for :meth:`end_request`.

        :param overdue_after_s: seconds after which the answer is overdue.
        """
        now = self._clock.monotonic()
        self._start_count += 1
        self._started[self._start_count] = (now, now + overdue_after_s)
        return self._start_count

    def end_request(self, number: int) -> None:
        """Records the end of a request, whatever its outcome."""
        self._started.pop(number, None)

    def has_cached(self, key: bytes) -> bool:
        """Whether this entry recently sent it a request for this object, so it should be cached."""
        sent_at = self._sent_by_object.get(key)
        return sent_at is not None and self._clock.monotonic() - sent_at < _CACHED_S

    def record_object(self, key: bytes) -> None:
        """Records that a request for this object is being sent."""
        self._sent_by_object[key] = self._clock.monotonic()
        self._sent_by_object.move_to_end(key)
        if len(self._sent_by_object) > _MAX_OBJECTS:
            self._sent_by_object.popitem(last=False)

    def forget_object(self, key: bytes) -> None:
        """Undoes :meth:`record_object` for a request that was not sent after all."""
        self._sent_by_object.pop(key, None)

    def is_unresponsive(self) -> bool:
        """Whether a request is overdue and none was answered since its start."""
        now = self._clock.monotonic()
        for started, overdue_at in self._started.values():
            if started > self._answered_at and now > overdue_at:
                return True
        return False

    def is_silent(self) -> bool:
        """Whether several requests are overdue, or one by far, and none was answered since.

        For its dispatcher, who withdraws the target from all entries: of a few percent of requests
        that take many times as long as others, one is often overdue on a target that is well.
        """
        now = self._clock.monotonic()
        overdue_count = 0
        for started, overdue_at in self._started.values():
            if started <= self._answered_at or now <= max(overdue_at, started + _MIN_SILENT_S):
                continue
            overdue_count += 1
            if now - started > _LONG_OVERDUE_MULTIPLE * (overdue_at - started):
                return True
        return overdue_count >= _MIN_OVERDUE

    def load(self) -> float:
        """Estimated number of running and queued requests of all entries.

        The load that the target last reported decays exponentially with its age.
        """
        age_s = self._clock.monotonic() - self._reported_at
        reported_load = self._reported_load * 0.5 ** (age_s / defaults.LOAD_HALF_LIFE_S)
        return float(max(self.in_flight, reported_load))

    def has_room(self) -> bool:
        """Whether a slot is free by the estimated load."""
        return self.load() < self.target.slots

    def sheds_at_random(self) -> bool:
        """Whether it rejects requests at random: it has free slots and serves other requests."""
        answered = self._clock.monotonic() - self._answered_at < _SERVING_S
        return answered and self.has_room() and not self.cooldown_s()

    def accepts_requests(self) -> bool:
        """Whether its lifetime lasts and it is not in a cooldown, whatever its health."""
        return not self.has_ended and not self.cooldown_s()

    def is_usable(self) -> bool:
        """Whether it accepts requests and is not ejected."""
        return self.accepts_requests() and self._clock.monotonic() >= self._ejected_until

    def ejected_s(self) -> float:
        """Seconds until its ejection ends; 0 if it is not ejected."""
        return max(0.0, self._ejected_until - self._clock.monotonic())

    @property
    def awaits_answer(self) -> bool:
        """Whether it was ejected and has not answered since."""
        return self._ejections > 0

    def is_cold(self) -> bool:
        """Whether it is warming up and can serve only a few requests a second."""
        return self._clock.monotonic() < max(self.cold_until, self._suspected_cold_until)

    def record_load(self, running: int, waiting: int) -> None:
        """Records the load that the target reports."""
        self._reported_load = running + waiting
        self._reported_at = self._clock.monotonic()
        self.load_reports.record_load(self._reported_at, running + waiting, self.in_flight)

    def record_pace(self, pace: int) -> None:
        """Records the pace that the target reports to this entry."""
        now = self._clock.monotonic()
        self.load_reports.record_pace(now, pace)
        self.load_reports.pace_reported_at = now

    def record_success(self) -> None:
        """Records an answer, which ends a series of failures."""
        self._answered_at = self._clock.monotonic()
        self._failures = 0
        self._ejections = 0
        self._failing_since = float("inf")

    def forget_failures(self, since: float) -> None:
        """Undoes the failures of a series that began at a time or later.

        They turned out to be no evidence about the target. Requests in flight count as if they had
        been sent now.
        """
        if self._failing_since >= since:
            self._failures = 0
            self._ejections = 0
            self._ejected_until = self._suspected_cold_until = -float("inf")
            self._failing_since = float("inf")
        self._answered_at = self._clock.monotonic()

    def record_failure(
        self, reached: bool, silent_since: t.Optional[float] = None, refused: bool = False
    ) -> None:
        """Records a failure.

        The target is ejected after several consecutive failures, or at once if it could not be
        reached or has been silent.

        :param reached: whether a connection was open.
        :param refused: whether nothing listens at its address.
        :param silent_since: start of the request, if it timed out without an answer.
        """
        self._failures += 1
        self._failing_since = min(self._failing_since, self._clock.monotonic())
        if refused or (not reached and self._ejections >= _DOWN_EJECTIONS):
            self._treat_as_restarted()
        silent = silent_since is not None and silent_since > self._answered_at
        if reached and not silent and self._failures < defaults.EJECTION_FAILURES:
            return
        seconds = min(defaults.EJECTION_S * 2.0**self._ejections, defaults.MAX_EJECTION_S)
        self._ejections += 1
        self._ejected_until = self._clock.monotonic() + seconds
        log.info(
            "target.resting",
            target=self.target.target_id,
            failures=self._failures,
            reached=reached,
            refused=refused,
            silent=silent,
            seconds=seconds,
        )

    def _treat_as_restarted(self) -> None:
        """Treats it as cold until its row would show a new lifetime, since its process is down.

        It may restart cold under the same id, and then can serve only a few requests a second;
        entries that reach it again before they read its new row would send it its full load.
        """
        self._suspected_cold_until = self._clock.monotonic() + self._row_delay_s


class TargetRegistry:
    """All known targets by id and by service.

    :param clock: time source.
    :param row_delay_s: longest time in seconds from the start of a target until its row is known.
    """

    def __init__(self, clock: "Clock", row_delay_s: float = 0.0) -> None:
        self._clock = clock
        self._row_delay_s = row_delay_s
        #: Called with the last row of a lifetime when another one has begun under the same id.
        self.on_restart: "t.Callable[[Target], None]" = lambda target: None
        #: Reports of the targets about themselves.
        self.reports = TargetReports(clock)
        self.reports.departures.on_change = self._index
        self.by_id: t.Dict["TargetId", TargetState] = {}
        self._by_service: t.Dict["ServiceId", t.List[TargetState]] = {}
        self._evacuated: t.FrozenSet["ZoneId"] = frozenset()
        #: Called when the set of usable lifetimes has changed.
        self.on_usable_changed: t.Callable[[], None] = lambda: None
        #: Incremented whenever the set of usable lifetimes changes.
        self.generation = 0
        #: Seconds for which targets of a zone are treated as cold after its evacuation ends.
        self.warmup_s_by_service: t.Mapping["ServiceId", float] = {}

    def update(self, targets: "t.Mapping[TargetId, Target]") -> None:
        """Replaces the known targets."""
        for target_id in list(self.by_id):
            if target_id not in targets:
                del self.by_id[target_id]
                log.info("target.removed", target=target_id)
        added = [target for target in targets.values() if self._update_one(target)]
        _log_added(added)
        self._index()

    def _update_one(self, target: "Target") -> bool:
        """Adds or updates a target, and returns whether its id is new."""
        state = self.by_id.get(target.target_id)
        added = state is None
        if state is not None and not target.is_same_lifetime(state.target):
            self._end_lifetime(state, target)
            state = None
        if state is None:
            state = TargetState(target, self._clock, self._row_delay_s, self.reports)
            self.by_id[target.target_id] = state
        elif state.target is target or state.target == target:
            return False
        else:
            if target.leaving and not state.target.leaving:
                log.info(
                    "target.leaving",
                    target=target.target_id,
                    service=target.service,
                    evidence="row",
                )
            state.target = target
        if target.cold_s > 0:
            # Counted from now, since the age of the row is unknown.
            state.cold_until = max(state.cold_until, self._clock.monotonic() + target.cold_s)
        return added

    def _end_lifetime(self, state: TargetState, target: "Target") -> None:
        """Ends a lifetime whose id is used by a new one."""
        log.info(
            "target.restarted",
            target=target.target_id,
            service=target.service,
            born=target.born,
            previous=state.target.born,
            address=target.address,
        )
        state.has_ended = True
        self.on_restart(state.target)

    def evacuate(self, zones: "t.FrozenSet[ZoneId]") -> None:
        """Sets the evacuated zones; targets of zones that are in use again are treated as cold."""
        returned = self._evacuated - zones
        if zones != self._evacuated:
            log.info("zones.evacuated", zones=",".join(sorted(zones)) or "none")
        self._evacuated = zones
        now = self._clock.monotonic()
        for state in self.by_id.values():
            if state.target.zone not in returned:
                continue
            warmup_s = self.warmup_s_by_service.get(state.target.service, 0.0)
            state.cold_until = max(state.cold_until, now + warmup_s + 1.0)
        self._index()

    def may_use(self, state: TargetState) -> bool:
        """Whether a target is in use: known, not leaving, and not in an evacuated zone."""
        if state.leaving or state.target.zone in self._evacuated or state.has_ended:
            return False
        return self.by_id.get(state.target.target_id) is state

    def block_reason(self, state: TargetState) -> t.Optional[str]:
        """Last check before a request is sent: the reason not to send it, if any."""
        if not self.may_use(state):
            return WITHDRAWN
        return COOLDOWN if state.cooldown_s() else None

    def of_service(self, service: "ServiceId") -> t.Sequence[TargetState]:
        """Targets of a service that are in use."""
        return self._by_service.get(service, ())

    def count_by_state(self) -> t.Dict[str, int]:
        """Number of targets in each state."""
        counts = dict.fromkeys(_STATES, 0)
        for state in self.by_id.values():
            counts[self._state_name(state)] += 1
        return counts

    def _state_name(self, state: TargetState) -> str:
        if state.has_ended:
            return "gone"
        if state.leaving:
            return "leaving"
        if state.target.zone in self._evacuated:
            return "evacuated"
        if state.cooldown_s():
            return COOLDOWN
        if not state.is_usable():
            return "resting"
        return "cold" if state.is_cold() else "usable"

    def mark_replaced(self, state: TargetState) -> None:
        """Ends a lifetime because another server answers at its address."""
        if state.has_ended:
            return
        state.has_ended = True
        log.info("target.replaced", target=state.target.target_id, address=state.target.address)
        self._index()

    def _index(self) -> None:
        by_service: t.Dict["ServiceId", t.List[TargetState]] = {}
        for state in self.by_id.values():
            if self.may_use(state):
                by_service.setdefault(state.target.service, []).append(state)
        changed = _lifetimes(by_service) != _lifetimes(self._by_service)
        self._by_service = by_service
        if changed:
            self.generation += 1
            self.on_usable_changed()


def _log_added(added: "t.Sequence[Target]") -> None:
    """Logs added targets: one line each, or one for many of a service if there are many."""
    if len(added) > log.SINGLE_LINES:
        ids_by_service: t.Dict["ServiceId", t.List[str]] = {}
        for target in added:
            ids_by_service.setdefault(target.service, []).append(target.target_id)
        for service, ids in ids_by_service.items():
            log.many("target.added", "targets", ids, service=service)
        return
    for target in added:
        log.info(
            "target.added",
            target=target.target_id,
            service=target.service,
            zone=target.zone,
            cold_s=target.cold_s,
        )


def _lifetimes(
    by_service: "t.Mapping[ServiceId, t.Sequence[TargetState]]",
) -> "t.Set[t.Tuple[TargetId, t.Optional[int], str]]":
    return {
        (state.target.target_id, state.target.born, state.target.address)
        for states in by_service.values()
        for state in states
    }
