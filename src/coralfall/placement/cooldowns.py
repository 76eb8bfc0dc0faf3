"""Cooldowns: for how long targets want no request from this entry.

A target that rejects a request may name a time (``Retry-After``). Each such time binds from the
moment that it was heard; of several that overlap the last end counts.
"""

import typing as t

from ..process import log
from .lifetime import Lifetime, lifetime_of

if t.TYPE_CHECKING:
    from ..process.clock import Clock
    from ..traffic.model import Target

#: Part of a cooldown's time over which the callers that it held off return.
_RETURN_PART = 0.5
#: Seconds by which the end of a cooldown must move to be logged again.
_LOGGED_S = 1.0


class Cooldown(t.NamedTuple):
    """One target's cooldown."""

    #: Monotonic time of its end.
    until: float
    #: Seconds that the target named.
    seconds: float
    #: End that was logged last.
    logged_until: float


class Cooldowns:
    """Cooldowns by lifetime.

    :param clock: tells the time.
    """

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        self._by_lifetime: t.Dict[Lifetime, Cooldown] = {}
        #: Cooldowns that began so far, by the service of their targets.
        self.started_by_service: t.Dict[str, int] = {}

    def record(self, target: "Target", seconds: float) -> None:
        """Takes in that a target wants no request for some seconds from now on."""
        now = self._clock.monotonic()
        lifetime = lifetime_of(target)
        until = now + seconds
        previous = self._by_lifetime.get(lifetime)
        if previous is not None and previous.until >= until:
            return
        if previous is None or previous.until <= now:
            begun = self.started_by_service.get(target.service, 0)
            self.started_by_service[target.service] = begun + 1
        logged_until = previous.logged_until if previous is not None else now
        if until - max(logged_until, now) >= _LOGGED_S or logged_until <= now:
            logged_until = until
            log.info(
                "target.cooldown",
                target=target.target_id,
                service=target.service,
                seconds=round(seconds, 3),
            )
        self._by_lifetime[lifetime] = Cooldown(until, seconds, logged_until)

    def remaining_s(self, target: "Target") -> float:
        """Seconds until a target takes requests from this entry again; 0 if it does now."""
        cooldown = self._of(target)
        if cooldown is None:
            return 0.0
        return max(0.0, cooldown.until - self._clock.monotonic())

    def retry_after_s(self, target: "Target") -> float:
        """Seconds after which a caller may come back whom a cooldown holds off; 0 if there is none.

        Callers return after its end in the order in which they were rejected, within a part of the
        time that it took, so that they do not all meet the target at once.
        """
        cooldown = self._of(target)
        if cooldown is None:
            return 0.0
        left_s = max(0.0, cooldown.until - self._clock.monotonic())
        return left_s + _RETURN_PART * (cooldown.seconds - left_s) if left_s else 0.0

    def tick(self) -> None:
        """Forgets those that are over."""
        now = self._clock.monotonic()
        for lifetime, cooldown in list(self._by_lifetime.items()):
            if cooldown.until <= now:
                del self._by_lifetime[lifetime]

    def _of(self, target: "Target") -> t.Optional[Cooldown]:
        if not self._by_lifetime:
            return None
        return self._by_lifetime.get(lifetime_of(target))
