"""Targets: what an entry knows of each one, from the platform's rows and from its own requests."""

import collections
import typing as t

from .. import defaults
from ..process import log
from .cold_targets import SlidingWindowLimiter
from .slow_targets import LatencySamples
from .target_reports import TargetReports

if t.TYPE_CHECKING:
    from ..ids import ServiceId, TargetId, ZoneId
    from ..process.clock import Clock
    from ..traffic.model import Target


#: Why a request that was about to be sent is not: its target is in use no more, or wants none.
WITHDRAWN = "withdrawn"
COOLDOWN = "cooldown"
#: Names of states that targets are counted by.
_STATES = ("usable", "resting", COOLDOWN, "cold", "leaving", "evacuated", "gone")
#: Seconds for which a target is thought to know an object, and how many objects of each are kept.
_KNOWN_S = 20.0
_MAX_OBJECTS = 128
#: Seconds for which an answer says that a target serves some of its requests.
_SERVES_S = 1.0
#: Rests in a row without a connection from which on a target counts as one that went down: one
#: lost packet can cost a connection, and a first rest, too.
_DOUBTED_RESTS = 2


class TargetState:
    """One lifetime of a target, and how it has done.

    :param target: its row.
    :param clock: tells the time.
    :param row_delay_s: seconds from a target's start until its row is known to tell of it.
    :param reports: what targets say of themselves.
    """

    def __init__(
        self, target: "Target", clock: "Clock", row_delay_s: float, reports: TargetReports
    ) -> None:
        self.target = target
        self._clock = clock
        self._row_delay_s = row_delay_s
        self._reports = reports
        #: When each request of this entry that it has in hand was begun and when it is overdue.
        self._begun: t.Dict[int, t.Tuple[float, float]] = {}
        self._begun_count = 0
        self._answered_at = -float("inf")
        #: When this entry last sent a request of each object, the object longest unsent first.
        self._sent_by_object: "collections.OrderedDict[bytes, float]" = collections.OrderedDict()
        self.cold_limiter = SlidingWindowLimiter()
        #: Of requests for objects that it knew, without a queue.
        self.latencies = LatencySamples()
        self.cold_until = 0.0
        #: Whether its own address says that this lifetime is over.
        self.has_ended = False
        self._reported = 0
        self._reported_at = -float("inf")
        self._failures = 0
        self._rests = 0
        self._rests_until = -float("inf")

    @property
    def leaving(self) -> bool:
        """Whether its lifetime ends soon, by its row or by its own word."""
        return self.target.leaving or self._reports.departures.includes(self.target)

    def cooldown_s(self) -> float:
        """Seconds until it takes requests from this entry again; 0 if it does now."""
        return self._reports.cooldowns.remaining_s(self.target)

    @property
    def in_flight(self) -> int:
        """Requests of this entry that it has in hand."""
        return len(self._begun)

    def start_request(self, overdue_s: float) -> int:
        """Note that it gets a request; the number that :meth:`end` wants.

        :param overdue_s: seconds after which it should have been answered.
        """
        now = self._clock.monotonic()
        self._begun_count += 1
        self._begun[self._begun_count] = (now, now + overdue_s)
        return self._begun_count

    def end_request(self, number: int) -> None:
        """Note that a request is over, however it ended."""
        self._begun.pop(number, None)

    def has_cached(self, key: bytes) -> bool:
        """Whether this entry sent it a request of this object lately, so that it is fast."""
        sent_at = self._sent_by_object.get(key)
        return sent_at is not None and self._clock.monotonic() - sent_at < _KNOWN_S

    def record_object(self, key: bytes) -> None:
        """Note that a request of this object is sent to it."""
        self._sent_by_object[key] = self._clock.monotonic()
        self._sent_by_object.move_to_end(key)
        if len(self._sent_by_object) > _MAX_OBJECTS:
            self._sent_by_object.popitem(last=False)

    def forget_object(self, key: bytes) -> None:
        """Note that a request of this object was not sent to it after all."""
        self._sent_by_object.pop(key, None)

    def is_unresponsive(self) -> bool:
        """Whether a request is overdue and none was answered since it began."""
        now = self._clock.monotonic()
        for began, overdue_at in self._begun.values():
            if began > self._answered_at and now > overdue_at:
                return True
        return False

    def load(self) -> float:
        """Requests that it has in hand, of all entries, as far as known here.

        Its own last word counts for less the older it is.
        """
        age = self._clock.monotonic() - self._reported_at
        reported = self._reported * 0.5 ** (age / defaults.LOAD_HALF_LIFE_S)
        return float(max(self.in_flight, reported))

    def has_room(self) -> bool:
        """Whether a slot is free, as far as known here."""
        return self.load() < self.target.slots

    def sheds_at_random(self) -> bool:
        """Whether it turns requests away without a shortage, while it serves others."""
        answered = self._clock.monotonic() - self._answered_at < _SERVES_S
        return answered and self.has_room() and not self.cooldown_s()

    def accepts_requests(self) -> bool:
        """Whether a request may be sent to it now, however unwell it seems."""
        return not self.has_ended and not self.cooldown_s()

    def is_usable(self) -> bool:
        """Whether a request should be sent to it now, as far as its health goes."""
        return self.accepts_requests() and self._clock.monotonic() >= self._rests_until

    def is_cold(self) -> bool:
        """Whether it bears only a few requests a second."""
        return self._clock.monotonic() < self.cold_until

    def record_load(self, running: int, waiting: int) -> None:
        """Take in its own word on its load."""
        self._reported = running + waiting
        self._reported_at = self._clock.monotonic()

    def record_success(self) -> None:
        """Note an answer."""
        self._answered_at = self._clock.monotonic()
        self._failures = 0
        self._rests = 0

    def record_failure(
        self, reached: bool, silent_since: t.Optional[float] = None, refused: bool = False
    ) -> None:
        """Note a failure; it rests after some in a row, or at once if it gives no sign of life.

        :param reached: whether a connection was open.
        :param refused: whether nothing listens at its address.
        :param silent_since: when the request began, if its time was over without an answer.
        """
        self._failures += 1
        if refused or (not reached and self._rests >= _DOUBTED_RESTS):
            self._doubt()
        silent = silent_since is not None and silent_since > self._answered_at
        if reached and not silent and self._failures < defaults.EJECTION_FAILURES:
            return
        seconds = min(defaults.EJECTION_S * 2.0**self._rests, defaults.MAX_EJECTION_S)
        self._rests += 1
        self._rests_until = self._clock.monotonic() + seconds
        log.info(
            "target.resting",
            target=self.target.target_id,
            failures=self._failures,
            reached=reached,
            silent=silent,
            seconds=seconds,
        )

    def _doubt(self) -> None:
        """Hold it cold until its row would tell of a new lifetime: its process is down.

        It may start anew under its id, cold, and then bears a few requests a second; entries that
        find it back before they read its row would send it all that is its own.
        """
        until = self._clock.monotonic() + self._row_delay_s
        self.cold_until = max(self.cold_until, until)


class TargetRegistry:
    """All targets, by id and by service.

    :param clock: tells the time.
    :param row_delay_s: seconds from a target's start until its row is known to tell of it.
    """

    def __init__(self, clock: "Clock", row_delay_s: float = 0.0) -> None:
        self._clock = clock
        self._row_delay_s = row_delay_s
        #: Called with the row of a lifetime that is over, as another has begun under its id.
        self.on_restart: "t.Callable[[Target], None]" = lambda target: None
        #: What the targets say of themselves.
        self.reports = TargetReports(clock)
        self.reports.departures.on_change = self._index
        self.by_id: t.Dict["TargetId", TargetState] = {}
        self._by_service: t.Dict["ServiceId", t.List[TargetState]] = {}
        self._evacuated: t.FrozenSet["ZoneId"] = frozenset()
        #: Rises whenever the targets that may be used change.
        self.generation = 0
        #: Seconds for which targets of a zone are held cold once its evacuation is over.
        self.warmup_s_by_service: t.Mapping["ServiceId", float] = {}

    def update(self, targets: "t.Mapping[TargetId, Target]") -> None:
        """Take in all targets as they are known now."""
        for target_id in list(self.by_id):
            if target_id not in targets:
                del self.by_id[target_id]
                log.info("target.removed", target=target_id)
        added = [target for target in targets.values() if self._update_one(target)]
        _log_added(added)
        self._index()

    def _update_one(self, target: "Target") -> bool:
        """Take in a target; whether it was not known before."""
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
            # Counted from now and not from when it was so, since its row may be older still.
            state.cold_until = max(state.cold_until, self._clock.monotonic() + target.cold_s)
        return added

    def _end_lifetime(self, state: TargetState, target: "Target") -> None:
        """Believe nothing of a lifetime that is over."""
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
        """Use no targets in these zones; those of zones that are given back are held cold."""
        returned = self._evacuated - zones
        if zones != self._evacuated:
            log.info("zones.evacuated", zones=",".join(sorted(zones)) or "none")
        self._evacuated = zones
        now = self._clock.monotonic()
        for state in self.by_id.values():
            if state.target.zone not in returned:
                continue
            warmup = self.warmup_s_by_service.get(state.target.service, 0.0)
            state.cold_until = max(state.cold_until, now + warmup + 1.0)
        self._index()

    def may_use(self, state: TargetState) -> bool:
        """Whether a target counts among those in use: it is there, it stays, its zone is used."""
        if state.leaving or state.target.zone in self._evacuated or state.has_ended:
            return False
        return self.by_id.get(state.target.target_id) is state

    def block_reason(self, state: TargetState) -> t.Optional[str]:
        """The last check before a request is sent: why it may not be, in a word."""
        if not self.may_use(state):
            return WITHDRAWN
        return COOLDOWN if state.cooldown_s() else None

    def of_service(self, service: "ServiceId") -> t.Sequence[TargetState]:
        """Targets of a service that may be used."""
        return self._by_service.get(service, ())

    def count_by_state(self) -> t.Dict[str, int]:
        """How many targets are in each state."""
        counts = dict.fromkeys(_STATES, 0)
        for state in self.by_id.values():
            counts[self._name_of(state)] += 1
        return counts

    def _name_of(self, state: TargetState) -> str:
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
        """Use a target no more: something else answers at its address."""
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
        if _lifetimes(by_service) != _lifetimes(self._by_service):
            self.generation += 1
        self._by_service = by_service


def _log_added(added: "t.Sequence[Target]") -> None:
    """One line for each; when there are many, as at the start, one for many of a service."""
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
