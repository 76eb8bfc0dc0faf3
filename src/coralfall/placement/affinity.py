"""Steering by affinity: an object's requests go to the same few targets, from all entries alike.

A target that has handled an object is several times faster with it. The entries of a region rank
the targets of a service by a hash of object and target, so they agree without talking. The first
targets of that order are the object's homes, one in the callers' region and one outside (see
:mod:`.shares`); they are filled up to a limit one after the other, then up to a higher limit, and
then the request is refused: to scatter it would cost the others more than it gains, since each new
target has to learn the object. This is rendezvous hashing with bounded loads.
"""

import collections
import typing as t

from .. import defaults
from ..exceptions import RefusedError
from .admission import Admission
from .cold_targets import ColdTargetShares
from .locality import SlotsByRegion, SlowPart, interleaved, kept_part, place_of, score, spare_weight
from .slow_targets import SlowTargetDetector
from .targets import COOLDOWN

if t.TYPE_CHECKING:
    from ..ids import RegionId, ServiceId, TargetId
    from ..process.clock import Clock
    from ..traffic.model import DesiredState, Route
    from ..traffic.settings import SteerSettings
    from .targets import TargetRegistry, TargetState

_Regions = t.FrozenSet["RegionId"]

#: Longest time, in seconds, after which a refused caller is told to come back. Those whose answer
#: is late already are told so at once: they lose nothing, and the room is for others first.
_MAX_COME_BACK_S = 1.0
#: Instead of a limit for a target that does not know the object and is not its first home. To learn
#: one takes three times as long as to serve a known one: under load each request that spills to
#: such a target makes more spill, and the targets end up learning what they forgot for others.
_LEARNING_LIMITS = dict(zip(defaults.AFFINITY_LOAD_LIMITS, (0.0, 0.7, 1.0), strict=True))


class _Ranked:
    """The targets of one object, the first home first, in its callers' region and elsewhere."""

    __slots__ = ("far", "near", "place")

    def __init__(
        self, place: float, near: t.Sequence["TargetState"], far: t.Sequence["TargetState"]
    ) -> None:
        self.place = place
        self.near = near
        self.far = far


class TargetReservation:
    """One request's place at a target.

    :param state: the target.
    :param key: names the object that the request concerns.
    :param known: whether it knows the object.
    :param near: whether it is in the entry's own region.
    :param telling: whether the time that it takes tells how fast the target is.
    :param admission: estimates, which learn from it.
    """

    __slots__ = ("_admission", "_key", "_number", "_telling", "known", "load", "near", "state")

    def __init__(
        self,
        state: "TargetState",
        key: bytes,
        known: bool,
        near: bool,
        telling: bool,
        admission: Admission,
    ) -> None:
        self.state = state
        self.known = known
        self.near = near
        #: Requests that the target had in hand before this one.
        self.load = state.load()
        self._key = key
        self._telling = telling
        self._admission = admission
        self._number = state.start_request(admission.overdue_after_s(state, known))

    def record_answer(self, now: float, seconds: float) -> None:
        """Take in how long the target took."""
        self._admission.record_duration(self.state.target.service, seconds, self.known)
        self.record_latency(now, seconds)

    def record_latency(self, now: float, seconds: float) -> None:
        """Take in how long the target took, or has taken so far without an answer."""
        if self._telling:
            self.state.latencies.record(now, seconds)

    def release(self) -> None:
        """Give it back; more than once does no harm."""
        self.state.end_request(self._number)

    def cancel(self) -> None:
        """Give it back unused: the target was sent nothing, and learns nothing of the object."""
        self.release()
        if not self.known:
            self.state.forget_object(self._key)


class AffinitySteering:
    """Chooses the target of each send.

    :param settings: of the entry.
    :param targets: what is known of the targets.
    :param clock: tells the time.
    """

    def __init__(
        self, settings: "SteerSettings", targets: "TargetRegistry", clock: "Clock"
    ) -> None:
        self.settings = settings
        self._targets = targets
        self._clock = clock
        self._ranked: "collections.OrderedDict[t.Tuple[ServiceId, bytes, _Regions], _Ranked]" = (
            collections.OrderedDict()
        )
        self._parts: t.Dict[t.Tuple["ServiceId", _Regions], SlowPart] = {}
        self._slots: t.Dict[t.Tuple["ServiceId", _Regions], SlotsByRegion] = {}
        self._region_count = len(set(settings.regions_by_zone.values()))
        self._generation = -1
        self._cold_per_s: t.Dict["ServiceId", float] = {}
        self._speed = SlowTargetDetector(targets, self._region_of, clock)
        #: Estimates of how long targets take, and of how long callers wait.
        self.admission = Admission()
        #: Limits that targets named.
        self.limits = targets.reports.limits
        self._cooldowns = targets.reports.cooldowns
        #: How many requests each cold target may get from this entry.
        self.cold_shares = ColdTargetShares(settings.entry_id)

    def set_state(self, state: "DesiredState") -> None:
        """Steer by this desired state."""
        for service, rules in state.services.items():
            self._cold_per_s[service] = self.settings.cold_limit_per_s(rules.warmup_per_s)
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
        regions: t.Optional[_Regions] = None,
    ) -> "TargetReservation":
        """A place at the target of one send, held until it is released.

        :param key: names the object that the request concerns.
        :param tried: targets that the request was sent to already.
        :param left_s: seconds within which the answer must come.
        :param late: whether the request may only take room that nobody else needs.
        :param again: a target that turned the request away and may be asked again, which is better
            than one that would have to learn the object.
        :param regions: that it may be served in, any if empty; the route's by default.
        :raises RefusedError: if none has room, or none could answer in time.
        """
        if regions is None:
            regions = route.allowed_regions
        ranked = self._ranked_of(service, key, regions)
        homes = self._homes(ranked, service, key, regions, tried)
        if again is not None and route.session_affinity and self._targets.may_use(again):
            homes = [state for state in homes if state.has_cached(key)] + [again]
        if not homes:
            raise self._nothing_usable(service, ranked, key)
        limits = defaults.LATE_LOAD_LIMITS if late else defaults.AFFINITY_LOAD_LIMITS
        in_time = [state for state in homes if self.admission.predict_latency_s(state) < left_s]
        for limit in limits:
            for state in in_time:
                most = min(limit, self._most_of(state, state is homes[0], key, limit, route))
                if state.load() < most * state.target.slots:
                    return self._take(state, key, route)
        if not in_time:
            message = f"no target of {service} for this object would answer in time"
            come_back_s = self._come_back_s(homes)
            raise RefusedError(message, come_back_s, service=service, reason="no-time")
        message = f"all targets of {service} for this object are full"
        raise RefusedError(
            message,
            _MAX_COME_BACK_S if late else self._come_back_s(homes),
            service=service,
            reason="full-late" if late else "full",
            loads=",".join([f"{s.target.target_id}:{s.load():.1f}" for s in homes]),
        )

    def retry_after_s(self, state: "TargetState", service: "ServiceId", regions: _Regions) -> float:
        """Seconds after which a caller may come back whom a target rejected."""
        if not state.cooldown_s():
            return self.admission.retry_after_s(state)
        allowed = [
            other
            for other in self._targets.of_service(service)
            if not regions or self._region_of(other) in regions
        ]
        waits_s = [self._cooldowns.retry_after_s(other.target) for other in allowed]
        return max(self.admission.retry_after_s(state), min(waits_s, default=0.0))

    def _nothing_usable(self, service: "ServiceId", ranked: _Ranked, key: bytes) -> RefusedError:
        states = (*ranked.near, *ranked.far)
        cooldowns_s = [self._cooldowns.retry_after_s(state.target) for state in states]
        limits_s = [self.limits.wait_s(state.target, state.has_cached(key)) for state in states]
        waits_s = [max(pair) for pair in zip(cooldowns_s, limits_s, strict=True)]
        if any(cooldowns_s) and all(waits_s):
            message = f"{len(states)} targets of {service} take no requests for a while"
            come_back_s = max(defaults.STEER_RETRY_AFTER_S, min(waits_s))
            return RefusedError(message, come_back_s, service=service, reason=COOLDOWN)
        limited = [wait_s for wait_s in limits_s if wait_s > 0]
        if not limited:
            message = f"no target of {service} can be used now"
            return RefusedError(
                message, defaults.STEER_RETRY_AFTER_S, service=service, reason="no-target"
            )
        message = f"{len(limited)} targets of {service} have had what their limits allow"
        come_back_s = min(max(defaults.STEER_RETRY_AFTER_S, min(limited)), _MAX_COME_BACK_S)
        return RefusedError(message, come_back_s, service=service, reason="limited")

    def _come_back_s(self, homes: t.Sequence["TargetState"]) -> float:
        """Seconds after which one of the targets should have room."""
        drained_s = min([self.admission.queue_drain_s(state) for state in homes])
        return min(max(defaults.STEER_RETRY_AFTER_S, drained_s), _MAX_COME_BACK_S)

    def _most_of(
        self, state: "TargetState", first: bool, key: bytes, limit: float, route: "Route"
    ) -> float:
        """Slots, as a multiple of its own, up to which a target takes a request of this object.

        :param first: whether it is the first home of the object that can be used.
        :param limit: the multiple for a target that knows the object.
        """
        if first or not route.session_affinity or state.has_cached(key):
            return limit
        return _LEARNING_LIMITS.get(limit, limit)

    def _take(self, state: "TargetState", key: bytes, route: "Route") -> "TargetReservation":
        cold = state.is_cold()
        if cold:
            state.cold_limiter.record(self._clock.monotonic())
        known = state.has_cached(key) or not route.session_affinity
        if route.session_affinity:
            state.record_object(key)
        telling = known and not cold and state.load() < state.target.slots
        near = self._region_of(state) == self.settings.region
        return TargetReservation(state, key, known, near, telling, self.admission)

    def _homes(
        self,
        ranked: _Ranked,
        service: "ServiceId",
        key: bytes,
        regions: _Regions,
        tried: "t.Collection[TargetId]",
    ) -> t.List["TargetState"]:
        near = self._fast_first(ranked.near, key)
        far = self._fast_first(ranked.far, key)
        stays = ranked.place < self._kept_part(service, regions)
        first, second = (near, far) if stays else (far, near)

        def open_to() -> t.Iterator["TargetState"]:
            for state in interleaved(first, second):
                if state.target.target_id not in tried:
                    yield state

        homes = self._first(
            (s for s in open_to() if s.is_usable() and not s.is_unresponsive()), key
        )
        # If all seem unwell, the fault may be on this side; and somebody has to find out.
        return homes or self._first((state for state in open_to() if state.accepts_requests()), key)

    def _first(self, states: t.Iterable["TargetState"], key: bytes) -> t.List["TargetState"]:
        homes: t.List["TargetState"] = []
        for state in states:
            if state.is_cold() and not self._may_warm(state):
                continue
            if self.limits.wait_s(state.target, state.has_cached(key)):
                continue
            homes.append(state)
            if len(homes) == defaults.AFFINITY_CANDIDATES:
                break
        return homes

    def _region_of(self, state: "TargetState") -> "t.Optional[RegionId]":
        return self.settings.regions_by_zone.get(state.target.zone)

    def _may_warm(self, state: "TargetState") -> bool:
        target = state.target
        per_s = self._cold_per_s.get(target.service, 1.0)
        most = self.cold_shares.allowance_of(target.target_id, per_s)
        return state.cold_limiter.has_room(self._clock.monotonic(), most)

    def _fast_first(
        self, states: t.Sequence["TargetState"], key: bytes
    ) -> t.Sequence["TargetState"]:
        """The same, but for a first one that is too slow to keep the object.

        The next of its region that does keep it goes first then, so nothing moves between regions.
        """
        if not states or self._speed.keeps_object(states[0], key):
            return states
        region = self._region_of(states[0])
        for state in states[1:]:
            if self._region_of(state) == region and self._speed.keeps_object(state, key):
                return [state, *[other for other in states if other is not state]]
        return states

    def _ranked_of(self, service: "ServiceId", key: bytes, regions: _Regions) -> _Ranked:
        if self._generation != self._targets.generation:
            self._generation = self._targets.generation
            self._ranked.clear()
            self._slots.clear()
        ranked = self._ranked.get((service, key, regions))
        if ranked is None:
            ranked = self._ranked[service, key, regions] = self._make_ranked(service, key, regions)
            if len(self._ranked) > defaults.AFFINITY_CACHE_OBJECTS:
                self._ranked.popitem(last=False)
        return ranked

    def _make_ranked(self, service: "ServiceId", key: bytes, regions: _Regions) -> _Ranked:
        slots = self._slots_by_region(service, regions)
        count = self._region_count
        near: t.List[t.Tuple[float, "TargetState"]] = []
        far: t.List[t.Tuple[float, "TargetState"]] = []
        for state in self._targets.of_service(service):
            region = self._region_of(state)
            if region is None or (regions and region not in regions):
                continue
            target = state.target
            if region == self.settings.region:
                near.append((score(target.target_id, key, target.slots), state))
                continue
            weight = target.slots * spare_weight(region, slots, count)
            far.append((score(target.target_id, key, weight), state))
        return _Ranked(place_of(key), _in_order(near), _in_order(far))

    def _kept_part(self, service: "ServiceId", regions: _Regions) -> float:
        slots = self._slots_by_region(service, regions)
        aim = kept_part(self.settings.region, slots, self._region_count)
        now = self._clock.monotonic()
        part = self._parts.get((service, regions))
        if part is None:
            part = self._parts[service, regions] = SlowPart(now, aim)
        return part.follow(now, aim, self.settings.bounds.home_shift_per_s())

    def _slots_by_region(self, service: "ServiceId", regions: _Regions) -> SlotsByRegion:
        known = self._slots.get((service, regions))
        if known is not None:
            return known
        slots: t.Dict["RegionId", int] = {}
        for state in self._targets.of_service(service):
            region = self._region_of(state)
            if region is not None and (not regions or region in regions):
                slots[region] = slots.get(region, 0) + state.target.slots
        self._slots[service, regions] = slots
        return slots


def _in_order(scored: t.List[t.Tuple[float, "TargetState"]]) -> t.Tuple["TargetState", ...]:
    return tuple([state for _, state in sorted(scored, key=lambda pair: -pair[0])])
