"""Cooldowns: times for which targets accept no requests from this entry.

A target that rejects a request may name such a time (``Retry-After``). It begins when the answer is
received; of several cooldowns that overlap, the one that ends last counts.
"""

import typing as t

from ..process import log
from .lifetime import Lifetime, lifetime_of

if t.TYPE_CHECKING:
    from ..process.clock import Clock
    from ..traffic.model import Target

#: Fraction of a cooldown's duration over which the retries of rejected callers are spread.
_RETRY_SPREAD = 0.5
#: Seconds by which the end of a cooldown has to move to be logged again.
_MIN_LOGGED_CHANGE_S = 1.0


class Cooldown(t.NamedTuple):
    """The cooldown of one target."""

    #: Monotonic time at which it ends.
    until: float
    #: Duration that the target named.
    seconds: float
    #: End that was last logged.
    logged_until: float


class Cooldowns:
    """Cooldowns by the lifetime of their target.

    :param clock: time source.
    """

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        self._by_lifetime: t.Dict[Lifetime, Cooldown] = {}
        #: Number of cooldowns that have started, by service.
        self.started_by_service: t.Dict[str, int] = {}

    def record(self, target: "Target", seconds: float) -> None:
        """Starts or extends the cooldown of a target."""
        now = self._clock.monotonic()
        lifetime = lifetime_of(target)
        until = now + seconds
        previous = self._by_lifetime.get(lifetime)
        if previous is not None and previous.until >= until:
            return
        if previous is None or previous.until <= now:
            started = self.started_by_service.get(target.service, 0)
            self.started_by_service[target.service] = started + 1
        logged_until = previous.logged_until if previous is not None else now
        if until - max(logged_until, now) >= _MIN_LOGGED_CHANGE_S or logged_until <= now:
            logged_until = until
            log.info(
                "target.cooldown",
                target=target.target_id,
                service=target.service,
                seconds=round(seconds, 3),
            )
        self._by_lifetime[lifetime] = Cooldown(until, seconds, logged_until)

    def remaining_s(self, target: "Target") -> float:
        """Seconds until a target accepts requests from this entry again; 0 if it does now."""
        cooldown = self._cooldown_of(target)
        if cooldown is None:
            return 0.0
        return max(0.0, cooldown.until - self._clock.monotonic())

    def retry_after_s(self, target: "Target") -> float:
        """Seconds after which a caller may retry; 0 if there is no cooldown.

        Callers return after the end of the cooldown in the order in which they were rejected,
        spread over a part of its duration, so that they do not all reach the target at once.
        """
        cooldown = self._cooldown_of(target)
        if cooldown is None:
            return 0.0
        remaining_s = max(0.0, cooldown.until - self._clock.monotonic())
        return (
            remaining_s + _RETRY_SPREAD * (cooldown.seconds - remaining_s) if remaining_s else 0.0
        )

    def tick(self) -> None:
        """Removes cooldowns that have ended."""
        now = self._clock.monotonic()
        for lifetime, cooldown in list(self._by_lifetime.items()):
            if cooldown.until <= now:
                del self._by_lifetime[lifetime]

    def _cooldown_of(self, target: "Target") -> t.Optional[Cooldown]:
        if not self._by_lifetime:
            return None
        return self._by_lifetime.get(lifetime_of(target))
