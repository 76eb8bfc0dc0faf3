"""Region load: which fraction of its objects a region keeps, by the measured load of its targets.

Proportional feedback with a dead band and a rate limit. A region whose targets are busier than
:data:`MAX_LOAD` keeps fewer of its objects, one whose targets are less busy than :data:`MIN_LOAD`
keeps more, so that the load tends to :data:`TARGET_LOAD`. Each object that moves has to be loaded
anew, so nothing moves in between.

The measured load is that of requests which were sent by an earlier fraction. The goal is therefore
computed from the fraction delayed and averaged as the load is; the fraction in force would have
moved on while its effect is not measured yet, and the region would shed too much and oscillate.
"""

import math
import typing as t

from .. import defaults
from ..process import log

if t.TYPE_CHECKING:
    from ..ids import RegionId, ServiceId
    from ..process.clock import Clock
    from .dispatch import LoadShare
    from .locality import RateLimitedFraction

#: Requests for each slot that the feedback aims at. Dispatchers count a request from its assignment
#: to the arrival of its release, some 0.15 of a slot more than targets are busy.
TARGET_LOAD = 0.75
#: Loads between which the fraction stays. The average over 2 s of a region of 51 slots has a
#: standard deviation of 0.02 (seeded model), so noise alone does not leave this range.
MIN_LOAD = 0.5
MAX_LOAD = 0.95
#: Least fraction that a region keeps, so that its caches remain of use and the load measurable.
MIN_FRACTION = 0.1
#: Time constant of the averages, in seconds: the window in which shifts are counted.
_AVERAGING_S = defaults.SHIFT_WINDOW_S
#: Delay, in seconds, after which a moved fraction shows in the load: requests in flight end, and
#: dispatchers report once a second.
_RESPONSE_S = 1.0
#: Seconds between two computations of a goal; shorter than the delay by enough to follow it.
_GOAL_INTERVAL_S = 0.25
#: Part of the greatest rate at which a region takes objects back. At the full rate it takes so many
#: in the trough of a wave of 30 s that 3% of its requests are late, instead of 0.1% (seeded model).
_GROWTH_RATE = 0.2
#: Change of a fraction since the last log line that is logged.
_LOGGED_CHANGE = 0.1

#: Service, and regions that may serve the request.
FractionKey = t.Tuple["ServiceId", t.FrozenSet["RegionId"]]


def _unknown_load(_service: "ServiceId") -> "t.Optional[LoadShare]":
    return None


def _not_contended(_service: "ServiceId") -> bool:
    return False


class _Feedback:
    """Averages and goal of one fraction.

    :param now: monotonic time.
    :param fraction: fraction in force.
    """

    __slots__ = (
        "_in_effect",
        "_measured_by",
        "_remote_load",
        "_updated_at",
        "goal",
        "load",
        "logged",
    )

    def __init__(self, now: float, fraction: float) -> None:
        self._updated_at = now - _GOAL_INTERVAL_S
        #: The fraction by which the requests in flight were sent, and its average.
        self._in_effect = fraction
        self._measured_by = fraction
        self.goal = fraction
        #: Average load; ``None`` while unknown.
        self.load: t.Optional[float] = None
        self._remote_load: t.Optional[float] = None
        #: Fraction of the last log line.
        self.logged = fraction

    def is_due(self, now: float) -> bool:
        """Whether the goal has to be computed again."""
        return now - self._updated_at >= _GOAL_INTERVAL_S

    def update(
        self,
        now: float,
        fraction: float,
        load: t.Optional[float],
        remote_load: float,
        assumed_goal: float,
    ) -> None:
        """Computes the goal from a measurement.

        :param load: requests for each slot in the entry's region, if known.
        :param remote_load: requests for each slot in all other regions.
        :param assumed_goal: goal if the load is unknown.
        """
        elapsed_s = now - self._updated_at
        self._updated_at = now
        self._in_effect = _average(self._in_effect, fraction, elapsed_s, _RESPONSE_S)
        self._measured_by = _average(self._measured_by, self._in_effect, elapsed_s, _AVERAGING_S)
        if load is None:
            self.load = self._remote_load = None
            self.goal = assumed_goal
            return
        self.load = self._averaged(self.load, load, elapsed_s)
        self._remote_load = self._averaged(self._remote_load, remote_load, elapsed_s)
        target_load = max(TARGET_LOAD, self._remote_load)
        max_load = target_load * MAX_LOAD / TARGET_LOAD
        if MIN_LOAD <= self.load <= max_load:
            self.goal = fraction
            return
        wanted = self._measured_by * target_load / self.load if self.load > 0 else 1.0
        self.goal = min(1.0, max(MIN_FRACTION, wanted))

    @staticmethod
    def _averaged(average: t.Optional[float], sample: float, elapsed_s: float) -> float:
        return sample if average is None else _average(average, sample, elapsed_s, _AVERAGING_S)


class RegionLoad:
    """Moves the fractions of contended services by the measured load of the region's targets.

    :param clock: time source.
    """

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        #: Load of the targets of a service in the entry's region; ``None`` if unknown.
        self.service_load: t.Callable[["ServiceId"], "t.Optional[LoadShare]"] = _unknown_load
        #: Load of its targets in all other regions together. While they are as busy, the region
        #: keeps its objects: regions that are all short of slots would only exchange them.
        self.remote_load: t.Callable[["ServiceId"], "t.Optional[LoadShare]"] = _unknown_load
        #: Whether a service is contended.
        self.is_contended: t.Callable[["ServiceId"], bool] = _not_contended
        self._feedback: t.Dict[FractionKey, _Feedback] = {}
        #: Fractions in force.
        self._fractions: t.Dict[FractionKey, float] = {}

    def follow(
        self, key: FractionKey, fraction: "RateLimitedFraction", assumed_goal: float, per_s: float
    ) -> float:
        """Moves the fraction of a contended service towards its goal, and returns it.

        :param assumed_goal: fraction to approach while the load is unknown.
        :param per_s: greatest change a second.
        """
        now = self._clock.monotonic()
        feedback = self._feedback.get(key)
        if feedback is None:
            feedback = self._feedback[key] = _Feedback(now, fraction.value)
        if feedback.is_due(now):
            load = _fraction_of(self.service_load(key[0]))
            remote_load = _fraction_of(self.remote_load(key[0])) or 0.0
            feedback.update(now, fraction.value, load, remote_load, assumed_goal)
        # After a time without requests, one sample of the load may not move more than a window's.
        max_change = per_s * defaults.SHIFT_WINDOW_S
        if feedback.load is not None and feedback.goal > fraction.value:
            per_s *= _GROWTH_RATE
        value = fraction.follow(now, feedback.goal, per_s, max_change)
        self._log_change(key, feedback, value)
        self._fractions[key] = value
        return value

    def is_overloaded(self, key: FractionKey) -> bool:
        """Whether the targets of the entry's region have more load than the region may keep."""
        feedback = self._feedback.get(key)
        return feedback is not None and feedback.load is not None and feedback.load > MAX_LOAD

    def forget(self, key: FractionKey) -> None:
        """Drops the averages of a service that is not contended."""
        if key in self._feedback:
            del self._feedback[key], self._fractions[key]

    def fractions_by_service(self) -> "t.Dict[ServiceId, float]":
        """Fraction that the region keeps of each contended service; the lowest of its routes'."""
        fractions: t.Dict["ServiceId", float] = {}
        for (service, _), value in self._fractions.items():
            fractions[service] = min(value, fractions.get(service, 1.0))
        return fractions

    @staticmethod
    def _log_change(key: FractionKey, feedback: _Feedback, value: float) -> None:
        if abs(value - feedback.logged) < _LOGGED_CHANGE:
            return
        service, regions = key
        log.info(
            "region.fraction",
            service=service,
            regions=",".join(sorted(regions)) or "any",
            fraction=round(value, 2),
            previous=round(feedback.logged, 2),
            load="unknown" if feedback.load is None else round(feedback.load, 2),
        )
        feedback.logged = value


def _fraction_of(share: "t.Optional[LoadShare]") -> t.Optional[float]:
    return share.fraction if share is not None and share.slots else None


def _average(average: float, sample: float, elapsed_s: float, time_constant_s: float) -> float:
    """Exponentially weighted moving average after one more sample."""
    return sample + (average - sample) * math.exp(-elapsed_s / time_constant_s)
