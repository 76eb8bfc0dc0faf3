"""Ways to keep a tenant's limit over all entries, on virtual time, on the same arrivals.

``PYTHONPATH=src python -m benchmarks.quotas`` prints, for each way and load, the fullest window as
a part of what is allowed, what was let go as a part of what is owed, and messages a second
and entry.
"""

import asyncio
import typing as t

from tests.traffic.makers import make_tenant
from tests.traffic.quota_fleet import ONE_WAY_DELAY_S, QuotaFleet
from tests.virtual_loop import LoopClock, run_virtual

from coralfall.exceptions import OverLimitError
from coralfall.process import log
from coralfall.settings import LogSettings
from coralfall.traffic.model import Tenant

#: Seconds between two messages of the way that tells counts to all.
_TELL_S = 0.2
_PLAYED_S = 14.0


class _Bucket:
    """Tokens of one limit, or of a part of it."""

    def __init__(self, rate_per_s: float, burst: float, now: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = 0.0
        self._at = now

    def take(self, now: float) -> bool:
        self.use(now, 0)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def use(self, now: float, count: int) -> None:
        """Note what others let go."""
        came = self._rate_per_s * (now - self._at)
        self._tokens = min(self._burst, self._tokens + came) - count
        self._at = now


class FixedPart:
    """Each entry has its part of the limit, and asks nobody."""

    def __init__(self, fleet: QuotaFleet, _number: int) -> None:
        count = len(fleet.entries)
        tenant = fleet.tenant
        self._clock = fleet.clock
        now = fleet.clock.monotonic()
        self._bucket = _Bucket(tenant.rate_per_s / count, tenant.burst / count, now)

    async def acquire(self, tenant: Tenant) -> None:
        if not self._bucket.take(self._clock.monotonic()):
            raise OverLimitError(f"{tenant.tenant_id} is over its limit", 0.1)


class ToldCounts:
    """Each entry keeps one bucket for all, and tells all others what it let go."""

    def __init__(self, fleet: QuotaFleet, number: int) -> None:
        self._fleet = fleet
        self._number = number
        self._clock = fleet.clock
        now = fleet.clock.monotonic()
        self._bucket = _Bucket(fleet.tenant.rate_per_s, fleet.tenant.burst, now)
        self._untold = 0
        self._work = asyncio.create_task(self._tell())

    async def acquire(self, tenant: Tenant) -> None:
        if not self._bucket.take(self._clock.monotonic()):
            raise OverLimitError(f"{tenant.tenant_id} is over its limit", 0.1)
        self._untold += 1

    def hear(self, count: int) -> None:
        self._bucket.use(self._clock.monotonic(), count)

    async def _tell(self) -> None:
        while True:
            await asyncio.sleep(_TELL_S)
            count, self._untold = self._untold, 0
            if not count:
                continue
            own = self._fleet.entries[self._number]
            for other in self._fleet.entries:
                if other is own:
                    continue
                self._fleet.messages += 1
                if self._fleet.reaches(own, other):
                    loop = asyncio.get_running_loop()
                    loop.call_later(ONE_WAY_DELAY_S, t.cast(t.Any, other.quotas).hear, count)


WAYS: t.Dict[str, t.Any] = {"a fixed part": FixedPart, "counts told": ToldCounts, "lent": None}
LOADS: t.Tuple[t.Tuple[str, int, float, float, bool], ...] = (
    ("calm, 1 a second", 75, 1.0, 0.62, False),
    ("calm, 15 a second", 75, 15.0, 0.62, False),
    ("hot, 15 a second, cut", 75, 15.0, 6.0, True),
    ("hot, 60 a second, cut", 12, 60.0, 6.0, True),
    ("calm, 60 a second", 12, 60.0, 0.62, False),
    ("calm, 60 a second", 195, 60.0, 0.62, False),
    ("calm, 60 a second", 300, 60.0, 0.62, False),
    ("calm, 60 a second", 530, 60.0, 0.62, False),
)


def played(way: str, count: int, rate: float, part: float, cut: bool) -> QuotaFleet:
    """A fleet after a load."""

    async def main(clock: LoopClock) -> QuotaFleet:
        fleet = QuotaFleet(count, clock, make_tenant(rate_per_s=rate, burst=rate))
        if WAYS[way] is not None:
            for number, entry in enumerate(fleet.entries):
                entry.kill()
                entry.running = True
                entry.quotas = WAYS[way](fleet, number)
        await asyncio.sleep(4.0)
        fleet.messages = 0
        await fleet.send_randomly(_PLAYED_S / 3, rate * part)
        if cut:
            fleet.partition(fleet.entries[::3])
        await fleet.send_randomly(_PLAYED_S * 2 / 3, rate * part)
        await asyncio.sleep(1.0)
        fleet.stop()
        return fleet

    return run_virtual(main)


def main() -> None:
    log.set_level(LogSettings(level="error"))
    for name, count, rate, part, cut in LOADS:
        for way in WAYS:
            if count > 100 and way != "lent":
                continue
            fleet = played(way, count, rate, part, cut)
            owed = min(part, 1.0) * rate * _PLAYED_S
            messages = fleet.messages / count / (_PLAYED_S + 1.0)
            print(
                f"{name}, {count} entries, {way}: window {fleet.worst_window_ratio():.2f},"
                f" let go {len(fleet.granted_at) / owed:.2f}, {messages:.1f} messages/s an entry"
            )


if __name__ == "__main__":
    main()
