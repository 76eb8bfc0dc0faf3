"""Simulates entries that share the rate limit of a target, on virtual time.

Network, gossip and membership are simulated; the entries run the real decision code. The target
answers all requests, and the arrivals are checked against the allowed number in any window.
"""

import asyncio
import typing as t

from coralfall.exceptions import TargetNotRunError
from coralfall.placement.target_limits import TargetLimits
from coralfall.placement.targets import TargetRegistry
from coralfall.process.clock import Clock
from coralfall.traffic.target_permits import TargetPermits
from tests.traffic.makers import NORTE, make_settings, make_target, make_tenant
from tests.traffic.quota_fleet import REGIONS, QuotaEntry, QuotaFleet, max_in_window

#: Seconds until a limit has to be in force, seconds of a window, factor and number by which the
#: requests of a window may exceed the limit, and seconds after which an entry counts as informed.
STABLE_S = 4.0
WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5
TOLD_S = 0.5
#: Seconds until a push has reached all connected entries, and between two rounds of gossip.
PUSH_S = 0.15
ROUND_S = 0.5
_WORK_S = 0.16
TARGET = make_target()


class LimitEntry(QuotaEntry):
    """One entry with its target limits."""

    def start(self) -> None:
        super().start()
        self.limits = TargetLimits(self._clock)
        self.limits.on_update = lambda at_once: self._fleet.push(self)
        targets = TargetRegistry(self._clock)
        targets.update({TARGET.target_id: TARGET})
        self.targets = targets
        settings = make_settings(regions_by_zone={NORTE: REGIONS[0]})
        self.target_permits = TargetPermits(
            self.permits, self.limits, targets, settings, self._clock
        )
        self.permits.sources.append(self.target_permits)
        #: When this lifetime first knew of a limit, from an answer or from another entry.
        self.known_at = float("inf")


class Arrival(t.NamedTuple):
    """A request at the target."""

    at: float
    #: When the sending entry first knew of a limit. It can only later have passed on an answer with
    #: the limit, from which on its requests count against the allowed number.
    known_at: float


class LimitFleet(QuotaFleet):
    """Entries, and one target that may report a limit."""

    entry_type = LimitEntry

    def __init__(self, count: int, clock: Clock, seed: int = 1, regions: int = 3) -> None:
        self.limit_per_s: t.Optional[float] = None
        self.arrivals: t.List[Arrival] = []
        self.passed_over = 0
        super().__init__(count, clock, make_tenant(), seed, regions=regions)
        self.spawn_rounds()

    def spawn_rounds(self) -> None:
        self._spawn(self._gossip())

    def push(self, entry: t.Any) -> None:
        self._spawn(self._push(entry))

    async def _push(self, entry: LimitEntry) -> None:
        await asyncio.sleep(PUSH_S)
        news = entry.limits.recent_updates()
        for other in self.entries:
            self._tell(entry, t.cast(LimitEntry, other), news)

    async def _gossip(self) -> None:
        while True:
            await asyncio.sleep(ROUND_S)
            for entry in t.cast(t.List[LimitEntry], self.entries):
                entry.limits.tick(entry.targets.by_id)
                other = t.cast(LimitEntry, self.rng.choice(self.entries))
                agreed = entry.limits.checksum() == other.limits.checksum()
                self._tell(
                    other,
                    entry,
                    other.limits.recent_updates() if agreed else other.limits.snapshot(),
                )

    def _tell(self, entry: LimitEntry, other: LimitEntry, news: t.Any) -> None:
        if entry.running and other.running and self.reaches(entry, other):
            other.limits.merge(news)
            if other.limits.rate_of(TARGET) is not None:
                other.known_at = min(other.known_at, self.clock.monotonic())

    async def _ask(self, entry: QuotaEntry) -> None:
        """Sends one request, unless the target has no token."""
        sender = t.cast(LimitEntry, entry)
        incarnation = sender.incarnation
        limits = sender.limits
        if limits.wait_s(TARGET):
            self.passed_over += 1
            return
        try:
            await sender.target_permits.acquire(TARGET, self.clock.monotonic() + 1.0)
        except TargetNotRunError:
            self.passed_over += 1
            return
        if not sender.running or sender.incarnation != incarnation:
            return
        sent_at = self.clock.monotonic()
        if limits.rate_of(TARGET) is not None:
            sender.known_at = min(sender.known_at, sent_at)
        self.arrivals.append(Arrival(sent_at, sender.known_at))
        await asyncio.sleep(_WORK_S)
        named = self.limit_per_s
        await asyncio.sleep(self.one_way_delay_s)
        if sender.running and sender.incarnation == incarnation:
            limits.record_answer(TARGET, named, sent_at)
            if named is not None:
                sender.known_at = min(sender.known_at, self.clock.monotonic())

    def counted_at(self, since: float, until: float = float("inf")) -> t.List[float]:
        """Arrival times of at least the requests that count against the allowed number."""
        return [
            one.at
            for one in self.arrivals
            if since <= one.at < until and one.known_at + TOLD_S <= one.at
        ]


def most_of(limit_per_s: float) -> float:
    """Requests that are allowed in a window."""
    return FACTOR * limit_per_s * WINDOW_S + SLACK


def fullest_window(times: t.Sequence[float]) -> int:
    """Largest number of requests in a window."""
    return max_in_window(times, WINDOW_S)
