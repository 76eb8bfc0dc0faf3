"""Affinity steering: rendezvous hashing with bounded loads.

A target that has served an object is several times faster with it, so all entries send the requests
of an object to the same few targets. The entries of a region rank the targets of a service by a
hash of object and target, so they agree without communication. The first usable targets of the
ranking are the object's candidates, in turn from the callers' region and from others (see
:mod:`.locality`). They are filled up to a load limit one after the other, then up to a higher one,
and then the request is rejected: spreading it further would cost other requests more than it
gains, since each new target has to load the object.
"""

import typing as t

from .. import defaults
from ..exceptions import RefusedError
from .admission import Admission
from .cold_targets import ColdTargetShares
from .locality import interleave
from .object_rankings import ObjectRankings, Ranking, Regions
from .reservation import TargetReservation
from .slow_targets import SlowTargetDetector
from .targets import COOLDOWN

if t.TYPE_CHECKING:
    from ..ids import ServiceId, TargetId, ZoneId
    from ..process.clock import Clock
    from ..traffic.model import DesiredState, Route
    from ..traffic.settings import SteerSettings
    from .targets import TargetRegistry, TargetState

#: Longest time, in seconds, after which a rejected caller is told to retry. Callers that have
#: already missed their latency target are told this one: they lose nothing by it, and the
#: capacity goes to others first.
MAX_RETRY_AFTER_S = 1.0
#: Load limits of targets that have not cached the object and are not its first candidate, by the
#: regular limit. Loading an object takes three times as long as serving a cached one: under load
#: each request that spills to such a target causes more spilling, and the targets end up reloading
#: objects that they evicted for others.
_UNCACHED_LOAD_LIMITS = dict(zip(defaults.AFFINITY_LOAD_LIMITS, (0.0, 0.7, 1.0), strict=True))


class AffinitySteering:
    """Selects the target of each send.

    :param settings: settings of the entry.
    :param targets: known targets.
    :param clock: time source.
    """

    def __init__(
        self, settings: "SteerSettings", targets: "TargetRegistry", clock: "Clock"
    ) -> None:
        self._settings = settings
        self._targets = targets
        self._clock = clock
        #: Order of the targets for each object.
        self.rankings = ObjectRankings(settings, targets, clock)
        self._cold_per_s: t.Dict["ServiceId", float] = {}
        self._slow_targets = SlowTargetDetector(targets, self.rankings.region_of, clock)
        #: Estimates of the latencies of targets and of the time limits of callers.
        self.admission = Admission()
        #: Rate limits that targets reported.
        self.limits = targets.reports.limits
        self._cooldowns = targets.reports.cooldowns
        #: Requests a second that this entry may send to each cold target.
        self.cold_shares = ColdTargetShares(settings.entry_id, clock)

    @property
    def settings(self) -> "SteerSettings":
        """Settings of the entry, which may be replaced while it runs."""
        return self._settings

    @settings.setter
    def settings(self, settings: "SteerSettings") -> None:
        self._settings = settings
        self.rankings.settings = settings

    def set_state(self, state: "DesiredState") -> None:
        """Applies a new desired state."""
        for service, rules in state.services.items():
            self._cold_per_s[service] = self._settings.cold_limit_per_s(rules.warmup_per_s)
        self._targets.warmup_s_by_service = {
            service: rules.warmup_s for service, rules in state.services.items()
        }

    def choose(
        self,
        route: "Route",
        service: "ServiceId",
        key: bytes,
        tried: "t.Collection[TargetId]",
        left_s: float = float("inf"),
        late: bool = False,
        again: "t.Optional[TargetState]" = None,
        regions: t.Optional[Regions] = None,
        own_zone_first: bool = False,
    ) -> TargetReservation:
        """Selects and reserves the target of one send.

        :param key: identifies the object that the request concerns.
        :param tried: targets that the request was sent to already.
        :param left_s: seconds until the deadline of the request.
        :param late: whether the request may only use capacity that no other request needs.
        :param again: a target that rejected the request and may be retried, which is better than
            one that would have to load the object.
        :param regions: regions that may serve the request, any if empty; the route's by default.
        :param own_zone_first: whether a target in the entry's zone is preferred in its region.
        :raises RefusedError: if no candidate has capacity, or none could answer in time.
        """
        if regions is None:
            regions = route.allowed_regions
        ranking = self.rankings.ranking_of(service, key, regions)
        candidates = self._candidates(ranking, service, key, regions, tried, own_zone_first)
        if again is not None and route.session_affinity and self._targets.may_use(again):
            candidates = [state for state in candidates if state.has_cached(key)] + [again]
        if not candidates:
            raise self._no_target_error(service, ranking, key)
        limits = defaults.LATE_LOAD_LIMITS if late else defaults.AFFINITY_LOAD_LIMITS
        in_time = [
            state for state in candidates if self.admission.predict_latency_s(state) < left_s
        ]
        for limit in limits:
            for state in in_time:
                max_load = min(
                    limit, self._load_limit_of(state, state is candidates[0], key, limit, route)
                )
                if state.load() < max_load * state.target.slots:
                    return self.reserve(state, key, route)
        if not in_time:
            message = f"no target of {service} for this object would answer in time"
            retry_after_s = self._retry_after_s(candidates)
            raise RefusedError(message, retry_after_s, service=service, reason="no-time")
        message = f"all targets of {service} for this object are full"
        raise RefusedError(
            message,
            MAX_RETRY_AFTER_S if late else self._retry_after_s(candidates),
            service=service,
            reason="full-late" if late else "full",
            loads=",".join([f"{s.target.target_id}:{s.load():.1f}" for s in candidates]),
        )

    def may_send(self, state: "TargetState", key: bytes) -> bool:
        """Whether a target can be sent a request by the entry's own knowledge, at whatever load."""
        if not state.is_usable() or state.is_unresponsive():
            return False
        if state.is_cold() and not self._may_send_to_cold(state):
            return False
        return not self.limits.wait_s(state.target, state.has_cached(key))

    def reserve_assigned(
        self,
        state: "TargetState",
        key: bytes,
        route: "Route",
        known: bool,
        load: float,
        is_counted: bool,
    ) -> TargetReservation:
        """Reserves a target that its dispatcher assigned to the request.

        :param known: whether the target has the object cached, by the dispatcher's knowledge.
        :param load: requests in flight at the target before this one, by the same knowledge.
        :param is_counted: whether the reservation counts the request as in flight.
        """
        known = known or not route.session_affinity
        return self._reserve(state, key, route, known, load, is_counted)

    def has_free_slot(
        self, state: "TargetState", first: bool, key: bytes, route: "Route", left_s: float
    ) -> bool:
        """Whether a target has a slot for a request now, by the entry's own knowledge.

        :param first: whether the target is the first usable candidate of the object.
        :param left_s: seconds until the deadline of the request.
        """
        limit = defaults.AFFINITY_LOAD_LIMITS[0]
        limit = min(limit, self._load_limit_of(state, first, key, limit, route))
        in_time = self.admission.predict_latency_s(state) < left_s
        return in_time and state.load() < limit * state.target.slots

    def retry_after_s(self, state: "TargetState", service: "ServiceId", regions: Regions) -> float:
        """Seconds after which a caller may retry a request that a target rejected."""
        if not state.cooldown_s():
            return self.admission.retry_after_s(state)
        allowed = [
            other
            for other in self._targets.of_service(service)
            if not regions or self.rankings.region_of(other) in regions
        ]
        waits_s = [self._cooldowns.retry_after_s(other.target) for other in allowed]
        return max(self.admission.retry_after_s(state), min(waits_s, default=0.0))

    def _no_target_error(self, service: "ServiceId", ranking: Ranking, key: bytes) -> RefusedError:
        states = (*ranking.local, *ranking.remote)
        cooldowns_s = [self._cooldowns.retry_after_s(state.target) for state in states]
        limits_s = [self.limits.wait_s(state.target, state.has_cached(key)) for state in states]
        waits_s = [max(pair) for pair in zip(cooldowns_s, limits_s, strict=True)]
        if any(cooldowns_s) and all(waits_s):
            message = f"{len(states)} targets of {service} take no requests for a while"
            retry_after_s = max(defaults.STEER_RETRY_AFTER_S, min(waits_s))
            return RefusedError(message, retry_after_s, service=service, reason=COOLDOWN)
        limited = [wait_s for wait_s in limits_s if wait_s > 0]
        if not limited:
            message = f"no target of {service} can be used now"
            return RefusedError(
                message, defaults.STEER_RETRY_AFTER_S, service=service, reason="no-target"
            )
        message = f"{len(limited)} targets of {service} have had what their limits allow"
        retry_after_s = min(max(defaults.STEER_RETRY_AFTER_S, min(limited)), MAX_RETRY_AFTER_S)
        return RefusedError(message, retry_after_s, service=service, reason="limited")

    def _retry_after_s(self, candidates: t.Sequence["TargetState"]) -> float:
        """Seconds after which one of the targets should have capacity again."""
        drain_s = min([self.admission.queue_drain_s(state) for state in candidates])
        return min(max(defaults.STEER_RETRY_AFTER_S, drain_s), MAX_RETRY_AFTER_S)

    def _load_limit_of(
        self, state: "TargetState", first: bool, key: bytes, limit: float, route: "Route"
    ) -> float:
        """Load, as a multiple of its slots, up to which a target takes a request of this object.

        :param first: whether the target is the first usable candidate of the object.
        :param limit: multiple for a target that has the object cached.
        """
        if first or not route.session_affinity or state.has_cached(key):
            return limit
        return _UNCACHED_LOAD_LIMITS.get(limit, limit)

    def reserve(self, state: "TargetState", key: bytes, route: "Route") -> TargetReservation:
        """Reserves a target by the entry's own knowledge."""
        known = state.has_cached(key) or not route.session_affinity
        return self._reserve(state, key, route, known, state.load(), True)

    def _reserve(
        self,
        state: "TargetState",
        key: bytes,
        route: "Route",
        known: bool,
        load: float,
        is_counted: bool,
    ) -> TargetReservation:
        cold = state.is_cold()
        if cold:
            state.cold_limiter.record(self._clock.monotonic())
        if route.session_affinity:
            state.record_object(key)
        is_speed_sample = known and not cold and load < state.target.slots
        near = self.rankings.region_of(state) == self._settings.region
        reservation = TargetReservation(
            state, key, known, near, is_speed_sample, self.admission, is_counted=is_counted
        )
        reservation.load = load
        return reservation

    def _candidates(
        self,
        ranking: Ranking,
        service: "ServiceId",
        key: bytes,
        regions: Regions,
        tried: "t.Collection[TargetId]",
        own_zone_first: bool,
    ) -> t.List["TargetState"]:
        near = self._prefer_fast(ranking.local, key)
        if own_zone_first:
            near = _of_zone_first(near, self._settings.zone)
        remote = self._prefer_fast(ranking.remote, key)
        prefers_local = ranking.position < self.rankings.local_fraction(service, regions)
        first, second = (near, remote) if prefers_local else (remote, near)

        def untried() -> t.Iterator["TargetState"]:
            for state in interleave(first, second):
                if state.target.target_id not in tried:
                    yield state

        candidates = self._first_usable(
            (s for s in untried() if s.is_usable() and not s.is_unresponsive()), key
        )
        # If all targets seem unhealthy, the fault may be on this side; sending also probes them.
        return candidates or self._first_usable(
            (state for state in untried() if state.accepts_requests()), key
        )

    def _first_usable(self, states: t.Iterable["TargetState"], key: bytes) -> t.List["TargetState"]:
        candidates: t.List["TargetState"] = []
        for state in states:
            if state.is_cold() and not self._may_send_to_cold(state):
                continue
            if self.limits.wait_s(state.target, state.has_cached(key)):
                continue
            candidates.append(state)
            if len(candidates) == defaults.AFFINITY_CANDIDATES:
                break
        return candidates

    def _may_send_to_cold(self, state: "TargetState") -> bool:
        target = state.target
        per_s = self._cold_per_s.get(target.service, 1.0)
        max_requests = self.cold_shares.allowance_of(target.target_id, per_s)
        return state.cold_limiter.has_room(self._clock.monotonic(), max_requests)

    def _prefer_fast(
        self, states: t.Sequence["TargetState"], key: bytes
    ) -> t.Sequence["TargetState"]:
        """Moves another target to the front if the first one is too slow to keep the object.

        It is the next one of the same region that keeps the object, so that no traffic moves
        between regions.
        """
        if not states or self._slow_targets.keeps_object(states[0], key):
            return states
        region = self.rankings.region_of(states[0])
        for state in states[1:]:
            if self.rankings.region_of(state) == region and self._slow_targets.keeps_object(
                state, key
            ):
                return [state, *[other for other in states if other is not state]]
        return states


def _of_zone_first(states: t.Sequence["TargetState"], zone: "ZoneId") -> t.Sequence["TargetState"]:
    """Moves the first target of a zone to the front.

    Bytes between zones are paid for, and uploads have most of them; a copy of an object in each
    zone is cheap for the few objects of uploads.
    """
    for state in states:
        if state.target.zone == zone:
            return [state, *[other for other in states if other is not state]]
    return states
