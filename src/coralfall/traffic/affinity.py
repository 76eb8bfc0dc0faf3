"""Steering by affinity: an object's requests go to the same few targets, from all entries alike.

A target that has handled an object is several times faster with it. All entries rank the targets
of a service by a hash of object and target, so they agree without talking. The first targets of
that order are the object's homes; they are filled up to a limit one after the other, then up to a
higher limit, and then the request is refused: to scatter it would cost the others more than it
gains, since each new target has to learn the object. This is rendezvous hashing with bounded loads.
"""

import collections
import hashlib
import typing as t

from .. import defaults
from ..exceptions import RefusedError
from .admission import Admission
from .cold import share_of

if t.TYPE_CHECKING:
    from ..clock import Clock
    from ..ids import EntryId, RegionId, ServiceId, TargetId
    from .model import DesiredState, Route
    from .settings import SteerSettings
    from .targets import TargetBook, TargetState

_Ranked = t.Tuple["TargetState", ...]


class Place:
    """One request's place at a target.

    :param state: the target.
    """

    __slots__ = ("_number", "state")

    def __init__(self, state: "TargetState") -> None:
        self.state = state
        self._number = state.begin()

    def release(self) -> None:
        """Give it back; more than once does no harm."""
        self.state.end(self._number)


class AffinitySteering:
    """Chooses the target of each send.

    :param settings: of the entry.
    :param targets: what is known of the targets.
    :param clock: tells the time.
    """

    def __init__(self, settings: "SteerSettings", targets: "TargetBook", clock: "Clock") -> None:
        self.settings = settings
        self._targets = targets
        self._clock = clock
        self._ranked: "collections.OrderedDict[t.Tuple[ServiceId, bytes], _Ranked]" = (
            collections.OrderedDict()
        )
        self._generation = -1
        self._cold_per_s: t.Dict["ServiceId", float] = {}
        #: Estimates of how long targets take, and of how long callers wait.
        self.admission = Admission()
        #: All entries that may be running, this one included.
        self.entries: t.Collection["EntryId"] = (settings.entry_id,)

    def set_state(self, state: "DesiredState") -> None:
        """Steer by this desired state."""
        for service, rules in state.services.items():
            self._cold_per_s[service] = self.settings.cold_per_s(rules.warmup_per_s)
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
    ) -> "Place":
        """A place at the target of one send, held until it is released.

        :param key: names the object that the request concerns.
        :param tried: targets that the request was sent to already.
        :param left_s: seconds within which the answer must come.
        :param late: whether the request may only take room that nobody else needs.
        :raises RefusedError: if none has room, or none could answer in time.
        """
        homes = self._homes(route, service, key, tried)
        if not homes:
            message = f"no target of {service} can be used now"
            raise RefusedError(message, defaults.COME_BACK_S, service=service, reason="no-target")
        limits = defaults.LATE_LIMITS if late else defaults.AFFINITY_LIMITS
        in_time = [state for state in homes if self.admission.predict(state) < left_s]
        for limit in limits:
            for state in in_time:
                if state.load() < limit * state.target.slots:
                    return self._take(state)
        if not in_time:
            message = f"no target of {service} for this object would answer in time"
            raise RefusedError(message, defaults.COME_BACK_S, service=service, reason="no-time")
        message = f"all targets of {service} for this object are full"
        raise RefusedError(
            message,
            defaults.COME_BACK_S,
            service=service,
            reason="full-late" if late else "full",
            loads=",".join([f"{s.target.target_id}:{s.load():.1f}" for s in homes]),
        )

    def _take(self, state: "TargetState") -> "Place":
        if state.is_cold():
            state.cold.note(self._clock.monotonic())
        return Place(state)

    def _homes(
        self, route: "Route", service: "ServiceId", key: bytes, tried: "t.Collection[TargetId]"
    ) -> t.List["TargetState"]:
        open_to = [
            state
            for state in self._rank(service, key)
            if state.target.target_id not in tried and self._is_allowed(route, state)
        ]
        overdue_s = self.admission.overdue_s(service)
        homes = self._first([s for s in open_to if s.usable() and not s.is_quiet(overdue_s)])
        if homes:
            return homes
        # If all seem unwell, the fault may be on this side; and somebody has to find out.
        return self._first([state for state in open_to if not state.gone])

    def _first(self, states: t.Iterable["TargetState"]) -> t.List["TargetState"]:
        homes: t.List["TargetState"] = []
        for state in states:
            if state.is_cold() and not self._may_warm(state):
                continue
            homes.append(state)
            if len(homes) == defaults.AFFINITY_HOMES:
                break
        return homes

    def _is_allowed(self, route: "Route", state: "TargetState") -> bool:
        return not route.allowed_regions or self._region_of(state) in route.allowed_regions

    def _region_of(self, state: "TargetState") -> "t.Optional[RegionId]":
        return self.settings.regions_by_zone.get(state.target.zone)

    def _may_warm(self, state: "TargetState") -> bool:
        target = state.target
        per_s = self._cold_per_s.get(target.service, 1.0)
        most = share_of(self.settings.entry_id, self.entries, target.target_id, per_s)
        return state.cold.has_room(self._clock.monotonic(), most)

    def _rank(self, service: "ServiceId", key: bytes) -> _Ranked:
        if self._generation != self._targets.generation:
            self._generation = self._targets.generation
            self._ranked.clear()
        ranked = self._ranked.get((service, key))
        if ranked is not None:
            self._ranked.move_to_end((service, key))
            return ranked
        states = self._targets.of_service(service)
        ranked = tuple(sorted(states, key=lambda state: _weight(state.target.target_id, key)))
        self._ranked[service, key] = ranked
        if len(self._ranked) > defaults.AFFINITY_CACHE:
            self._ranked.popitem(last=False)
        return ranked


def _weight(target_id: "TargetId", key: bytes) -> bytes:
    return hashlib.blake2b(target_id.encode(), key=key[:64], digest_size=8).digest()
