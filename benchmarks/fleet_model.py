"""A virtual clock, a fake target and the brief's sizes, to drive decisions with; no cluster."""

import asyncio
import collections
import random
import selectors
import typing as t

from coralfall.bundles.bundle import Bundle, Region, Service, Target
from coralfall.ids import (
    BundleVersion,
    PartnerId,
    PolicyName,
    RegionId,
    ServiceId,
    TargetId,
    TargetState,
    ZoneId,
)
from coralfall.process.clock import ManualClock

#: Delay between zones of different partners, which the brief does not state, in seconds.
FAR_S = 0.035
SHIFT_CAP = 0.1
TIMEOUT_S = 2.0


class Kind(t.NamedTuple):
    """A service: instances and slots are the brief's, the mean time in seconds is assumed."""

    instances: int
    slots: int
    mean_s: float
    read: bool = False


class Place(t.NamedTuple):
    """A partner's regions, one-way delays in seconds, and services."""

    regions: t.Tuple[str, ...]
    zone_s: float
    region_s: float
    client_s: float
    kinds: t.Dict[ServiceId, Kind]


CATALOGO, TERMOMETRO = ServiceId("catalogo"), ServiceId("termometro")
_COSECHA = {
    CATALOGO: Kind(20, 6, 0.05, read=True),
    ServiceId("pedidos"): Kind(15, 6, 0.08),
    ServiceId("acopio"): Kind(10, 3, 0.25),
}
_CALOR = {
    TERMOMETRO: Kind(20, 6, 0.05, read=True),
    ServiceId("mando"): Kind(10, 4, 0.08),
    ServiceId("bodega"): Kind(10, 3, 0.25),
}
PLACES = {
    PartnerId("cosecha"): Place(("sierra", "costa", "austro"), 0.001, 0.010, 0.003, _COSECHA),
    PartnerId("calor"): Place(("centro", "norte", "sur"), 0.0005, 0.035, 0.001, _CALOR),
}


class _VirtualSelector(selectors.SelectSelector):
    """Lets the time pass at once that the loop would sleep."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: t.Optional[float] = None) -> t.List[t.Any]:
        assert timeout is not None, "nothing is left to wait for"
        self._clock.advance(max(0.0, timeout))
        return []


def run_virtual(clock: ManualClock, main: t.Coroutine[t.Any, t.Any, None]) -> None:
    """Run ``main`` on an asyncio loop whose time is that of ``clock``."""
    loop = asyncio.SelectorEventLoop(_VirtualSelector(clock))
    loop.time = clock.monotonic  # type: ignore[method-assign]
    loop.run_until_complete(main)
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()


def make_bundle(partner: PartnerId, policy: PolicyName, drain: bool = False) -> Bundle:
    """The brief's sizes; weights follow the slots; every tenth target leaves at a drain."""
    place = PLACES[partner]
    slots: t.Dict[RegionId, int] = collections.Counter()
    targets, services = {}, {}
    for service_id, kind in place.kinds.items():
        weights: t.Dict[RegionId, float] = collections.Counter()
        for number in range(kind.instances):
            region = RegionId(place.regions[number % 3])
            weights[region] += 1 / kind.instances
            slots[region] += kind.slots
            leaves = drain and number % 10 == 0
            targets[TargetId(f"{service_id}-{number}")] = Target(
                service=service_id,
                region=region,
                zone=ZoneId(f"{region}-{number // 3 % 2}"),
                address=f"10.0.0.{number}:80",
                slots=kind.slots,
                connections=350,
                state=TargetState.LEAVING if leaves else TargetState.ACTIVE,
            )
        services[service_id] = Service(
            policy=policy,
            weights=dict(weights),
            shift_cap=SHIFT_CAP,
            shift_window_s=10.0,
            timeout_ms=int(TIMEOUT_S * 1000),
        )
    regions = {}
    for region, count in slots.items():
        zones = (ZoneId(f"{region}-0"), ZoneId(f"{region}-1"))
        regions[region] = Region(zones=zones, slots=count)
    version = BundleVersion(2 if drain else 1)
    return Bundle(
        partner=partner, version=version, regions=regions, services=services, targets=targets
    )


def way_s(one: ZoneId, other: ZoneId) -> float:
    """One-way delay between two zones."""
    regions = (one[:-2], other[:-2])
    for place in PLACES.values():
        if regions[0] in place.regions and regions[1] in place.regions:
            return place.zone_s if regions[0] == regions[1] else place.region_s
    return FAR_S


class Gauge:
    """Requests in flight somewhere, their worst, and the seconds that they took together."""

    def __init__(self, limit: int, clock: ManualClock) -> None:
        self.limit, self.active, self.worst = limit, 0, 0
        self._clock, self._busy_s, self._changed_at = clock, 0.0, 0.0

    def add(self, change: int) -> None:
        self._busy_s += self.active * (self._clock.now - self._changed_at)
        self._changed_at = self._clock.now
        self.active += change
        self.worst = max(self.worst, self.active)

    def take_free(self) -> float:
        """Mean free share of the limit since the last call."""
        self.add(0)
        seconds, self._busy_s = self._busy_s, 0.0
        return 1 - seconds / self.limit


class FakeTarget:
    """A target with slots; when it has more requests than those, all of them get slower."""

    def __init__(
        self, target: Target, mean_s: float, region: Gauge, clock: ManualClock, rng: random.Random
    ) -> None:
        self.target = target
        self.mean_s = mean_s * rng.uniform(0.8, 1.25)
        self.dead = self.frozen = False
        self.last_arrival = self.idle_at = 0.0
        self.gauge, self._region = Gauge(target.slots, clock), region
        self._clock, self._rng, self._report = clock, rng, 0

    async def run(self) -> t.Optional[str]:
        """Do the work of one request; its load report, ``None`` if it died meanwhile."""
        self.last_arrival = self._clock.now
        self._add(1)
        seconds = self.mean_s * self._rng.lognormvariate(-0.125, 0.5)
        await asyncio.sleep(seconds * max(1.0, self.gauge.active / self.target.slots))
        self._add(-1)
        self.idle_at = self._clock.now
        return None if self.dead else f"{self.report()}/{self.target.slots}"

    def report(self) -> int:
        """Requests in flight, as the target says."""
        if not self.frozen:
            self._report = self.gauge.active
        return self._report

    def _add(self, change: int) -> None:
        self.gauge.add(change)
        self._region.add(change)
