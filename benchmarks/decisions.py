"""Measures the decisions against simpler ways to decide, on a virtual clock.

``python -m benchmarks.decisions [--only LOAD]`` prints a table and writes
``benchmarks/results/decisions.json``. Sizes are the brief's, service times are assumed (see
:mod:`benchmarks.fleet_model`). 100% of load is what all slots bear when a slot is held for the
mean service time and the way there and back, with requests spread by the bundle's weights.
"""

import argparse
import asyncio
import collections
import json
import pathlib
import random
import typing as t

from coralfall.balancing.steering import AttemptResult
from coralfall.defaults import CONNECT_TIMEOUT_S, GRACE_S, MAX_ATTEMPTS, TABLE_POLL_INTERVAL_S
from coralfall.exceptions import RefusedError
from coralfall.forwarding.retry import RetryBudget
from coralfall.ids import EntryId, PartnerId, PolicyName, RegionId, ServiceId, TargetId, ZoneId
from coralfall.process.clock import ManualClock

from .deciders import Decider, Ours, Simple
from .fleet_model import (
    CATALOGO,
    PLACES,
    SHIFT_CAP,
    TERMOMETRO,
    TIMEOUT_S,
    FakeTarget,
    Gauge,
    Kind,
    make_bundle,
    run_virtual,
    way_s,
)

RESULTS = pathlib.Path(__file__).parent / "results" / "decisions.json"
SEED = 20
#: Seconds before callers come, in which slots come into use, and before anything is counted.
SETTLE_S, WARM_UP_S = 12.0, 5.0
EVENT_AT_S = 10.0
LOST_REGIONS = ("sierra", "norte")


class Load(t.NamedTuple):
    """One load: its share of the capacity, how long it is counted, and what happens."""

    name: str
    share: float
    seconds: float = 25.0
    event: str = ""


LOADS = [
    Load("50%", 0.5),
    Load("80%", 0.8),
    Load("95%", 0.95),
    Load("120%", 1.2),
    Load("region lost", 0.6, 60.0, "lose"),
    Load("planned drain", 0.6, 25.0, "drain"),
    Load("read spike x5", 0.4, 30.0, "spike"),
    Load("reports frozen", 0.8, 25.0, "freeze"),
    Load("entries restarted", 0.6, 75.0, "restart"),
]
WAYS = ["ours latency", "ours headroom", "static", "least", "two"]


class Bench:
    """One run of one load against one way to decide."""

    def __init__(self, way: str, load: Load) -> None:
        self.way, self.load = way, load
        self.rng = random.Random(SEED)
        self.clock = ManualClock()
        self.policy = PolicyName.HEADROOM if way == "ours headroom" else PolicyName.LATENCY
        self.targets: t.Dict[TargetId, FakeTarget] = {}
        self.regions: t.Dict[RegionId, Gauge] = {}
        for partner, place in PLACES.items():
            bundle = make_bundle(partner, self.policy)
            for region_id, region in bundle.regions.items():
                self.regions[region_id] = Gauge(region.slots, self.clock)
            for name, target in bundle.targets.items():
                mean_s = place.kinds[target.service].mean_s
                gauge = self.regions[target.region]
                self.targets[name] = FakeTarget(target, mean_s, gauge, self.clock, self.rng)
        self.entries: t.Dict[EntryId, Decider] = {}
        self.homes = {partner: self.make_homes(partner) for partner in PLACES}
        self.lives: t.Dict[EntryId, asyncio.Task[None]] = {}
        self.revision = 1
        self.start = SETTLE_S + WARM_UP_S
        self.end = self.start + load.seconds
        self.latencies: t.Dict[ServiceId, t.List[float]] = collections.defaultdict(list)
        self.totals: t.Dict[str, float] = collections.Counter()
        self.sent: t.Dict[t.Tuple[ServiceId, int], t.Dict[t.Any, int]] = {}
        self.tasks: t.Set[asyncio.Task[None]] = set()
        self.slowest_refusal_s = 0.0
        self.least_free = {"region": 1.0, "target": 1.0}

    def make_homes(self, partner: PartnerId) -> t.List[EntryId]:
        """Entries that the partner's callers use: two in each of its zones."""
        ids = []
        for region in PLACES[partner].regions:
            for number in range(4):
                entry_id = EntryId(f"{region}-{number % 2}-{number // 2}")
                ids.append(entry_id)
                self.entries[entry_id] = self.make_entry(entry_id)
        return ids

    def make_entry(self, entry_id: EntryId) -> Decider:
        arguments = (entry_id, ZoneId(entry_id[:-2]), self.clock, self.rng.randrange(1 << 30))
        if self.way.startswith("ours"):
            return Ours(*arguments)
        return Simple(*arguments, rule=self.way, targets=self.targets)

    def capacity(self, partner: PartnerId, service: ServiceId) -> float:
        """Requests a second that the service's slots bear."""
        total = 0.0
        for target in self.targets.values():
            if target.target.service != service:
                continue
            ways = [way_s(ZoneId(home[:-2]), target.target.zone) for home in self.homes[partner]]
            total += target.target.slots / (target.mean_s + 2 * sum(ways) / len(ways))
        return total

    async def run(self) -> None:
        for entry in self.entries.values():
            self.begin(entry)
        self.announce(0.0)
        await asyncio.sleep(SETTLE_S)
        for partner, place in PLACES.items():
            for service, kind in place.kinds.items():
                self.spawn(self.callers(partner, service, kind))
        self.spawn(self.watch())
        await asyncio.sleep(WARM_UP_S + EVENT_AT_S)
        if self.load.event:
            await getattr(self, self.load.event)()
        await asyncio.sleep(self.end - self.clock.now)

    def spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> "asyncio.Task[None]":
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.finished)
        return task

    def finished(self, task: "asyncio.Task[None]") -> None:
        self.tasks.discard(task)
        if not task.cancelled():
            task.result()

    def begin(self, entry: Decider) -> None:
        for partner in PLACES:
            entry.take_bundle(make_bundle(partner, self.policy), 0.0)
        self.lives[entry.id] = self.spawn(entry.live(self.entries))

    def announce(self, most_s: float) -> None:
        """Tell all entries of the roster, each within ``most_s``."""
        members = [e.member() for e in self.entries.values() if isinstance(e, Ours) and e.up]
        for entry in self.entries.values():
            wait = self.rng.random() * most_s
            later = asyncio.get_running_loop().call_later
            later(wait, entry.take_members, members, self.revision)
        self.revision += 1

    async def lose(self) -> None:
        hit = [x for x in self.targets.values() if x.target.region in LOST_REGIONS]
        for target in hit:
            target.dead = True
        await asyncio.sleep(25.0)
        for target in hit:
            target.dead = False

    async def drain(self) -> None:
        for partner in PLACES:
            bundle = make_bundle(partner, self.policy, drain=True)
            for entry in self.entries.values():
                later = asyncio.get_running_loop().call_later
                later(
                    self.rng.random() * TABLE_POLL_INTERVAL_S,
                    entry.take_bundle,
                    bundle,
                    self.clock.now,
                )
        await asyncio.sleep(self.load.seconds - EVENT_AT_S - 1)
        left = [x for x in self.targets if int(x.rpartition("-")[2]) % 10 == 0]
        marked = self.start + EVENT_AT_S
        self.totals["last_work_s"] = max(self.targets[x].last_arrival for x in left) - marked
        self.totals["drain_s"] = max(self.targets[x].idle_at for x in left) - marked

    async def spike(self) -> None:
        self.totals["spike"] = 4.0
        await asyncio.sleep(5.0)
        self.totals["spike"] = 0.0

    async def freeze(self) -> None:
        for target in self.targets.values():
            target.frozen = True

    async def restart(self) -> None:
        for entry_id in list(self.entries):
            self.spawn(self.restart_one(entry_id))
            await asyncio.sleep(2.5)

    async def restart_one(self, entry_id: EntryId) -> None:
        entry = self.entries[entry_id]
        entry.up = False
        for _ in range(int(GRACE_S / 0.05)):
            await asyncio.sleep(0.05)
            if not entry.in_flight:
                break
        self.lives[entry_id].cancel()
        self.announce(TABLE_POLL_INTERVAL_S)
        await asyncio.sleep(1.0)
        self.entries[entry_id] = self.make_entry(entry_id)
        self.begin(self.entries[entry_id])
        self.announce(TABLE_POLL_INTERVAL_S)

    async def callers(self, partner: PartnerId, service: ServiceId, kind: Kind) -> None:
        rate = self.capacity(partner, service) * self.load.share
        budgets: t.Dict[Decider, RetryBudget] = collections.defaultdict(RetryBudget)
        while True:
            surge = 1 + self.totals["spike"] * kind.read
            await asyncio.sleep(self.rng.expovariate(rate * surge))
            entry = self.entries[self.rng.choice(self.homes[partner])]
            if not entry.up:
                near = [self.entries[x] for x in self.homes[partner] if self.entries[x].up]
                same = [x for x in near if x.zone[:-2] == entry.zone[:-2]]
                entry = self.rng.choice(same or near)
            self.spawn(self.call(entry, budgets[entry], partner, service, kind))

    async def call(
        self,
        entry: Decider,
        budget: RetryBudget,
        partner: PartnerId,
        service: ServiceId,
        kind: Kind,
    ) -> None:
        """One request of a caller, as the product's dispatcher would carry it."""
        born = self.clock.now
        await asyncio.sleep(PLACES[partner].client_s)
        entry.in_flight += 1
        self.count(service, None)
        budget.request()
        tried: t.Set[TargetId] = set()
        outcome = "failed"
        runs = 0
        while len(tried) < MAX_ATTEMPTS:
            try:
                result = await self.attempt(entry, partner, service, tried, born + TIMEOUT_S)
            except RefusedError:
                outcome = "failed" if tried else "refused"
                break
            runs += result is not AttemptResult.NOT_RUN
            if result is AttemptResult.ANSWERED:
                outcome = "answered"
                break
            retriable = kind.read or result is AttemptResult.NOT_RUN
            if not retriable or not budget.take():
                break
        entry.in_flight -= 1
        self.totals["doubled"] += runs > 1 and not kind.read
        self.totals["cut off"] += self.entries[entry.id] is not entry
        await asyncio.sleep(PLACES[partner].client_s)
        self.note(service, born, outcome)

    async def attempt(
        self,
        entry: Decider,
        partner: PartnerId,
        service: ServiceId,
        tried: t.Set[TargetId],
        deadline: float,
    ) -> AttemptResult:
        steering = entry.steering
        held = await steering.reserve(
            partner, service, tried=tried, deadline=deadline, body_bytes=0
        )
        sent_at = self.clock.now
        steering.check(held)
        tried.add(held.target_id)
        self.count(service, held.region)
        target = self.targets[held.target_id]
        way = way_s(entry.zone, target.target.zone)
        load: t.Optional[str] = None
        result = AttemptResult.NOT_RUN
        if target.dead:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
        else:
            await asyncio.sleep(way)
            load = await target.run()
            await asyncio.sleep(way)
            result = AttemptResult.FAILED if load is None else AttemptResult.ANSWERED
        steering.finish(held, result, self.clock.now - sent_at, load)
        steering.release(held)
        return result

    def count(self, service: ServiceId, region: t.Optional[RegionId]) -> None:
        key = (service, int(self.clock.now))
        counts = self.sent.setdefault(key, collections.Counter())
        counts[region] += 1

    def note(self, service: ServiceId, born: float, outcome: str) -> None:
        if not self.start <= born < self.end - TIMEOUT_S:
            return
        seconds = self.clock.now - born
        if outcome == "refused":
            self.slowest_refusal_s = max(self.slowest_refusal_s, seconds)
        if outcome == "answered" and seconds > TIMEOUT_S:
            outcome = "late"
        self.totals[outcome] += 1
        if outcome == "answered":
            self.latencies[service].append(seconds)

    async def watch(self) -> None:
        """Least free share of regions and targets over any second."""
        targets = [target.gauge for target in self.targets.values()]
        while True:
            await asyncio.sleep(1.0)
            for kind, gauges in (("region", self.regions.values()), ("target", targets)):
                free = min(gauge.take_free() for gauge in gauges)
                if self.clock.now > self.start:
                    self.least_free[kind] = min(self.least_free[kind], free)

    def moved(self) -> float:
        """Largest share that regions gained from one window of 10 s to the next.

        Shares are of all requests offered. A region gains only what is more in number, too:
        when a spike ends it gets a larger part of fewer requests, and none has moved to it.
        """
        worst = 0.0
        for service in {service for service, _ in self.sent}:
            for middle in range(int(self.start) + 10, int(self.end) - 9):
                before = self.window(service, middle - 10)
                after = self.window(service, middle)
                gain = 0.0
                for region in after.keys() - {None}:
                    share = after[region] / after[None] - before[region] / before[None]
                    count = (after[region] - before[region]) / after[None]
                    gain += max(0.0, min(share, count))
                worst = max(worst, gain)
        return worst

    def window(self, service: ServiceId, first: int) -> t.Dict[t.Any, int]:
        counts: t.Dict[t.Any, int] = collections.Counter({None: 0})
        for second in range(first, first + 10):
            counts.update(self.sent.get((service, second), {}))
        return counts

    def report(self) -> t.Dict[str, t.Any]:
        """The figures of the run; times in milliseconds where their name says so."""
        capacity = 0.0
        for partner, place in PLACES.items():
            capacity += sum(self.capacity(partner, service) for service in place.kinds)
        offered = sum(self.totals[x] for x in ("answered", "late", "failed", "refused"))
        targets = [target.gauge for target in self.targets.values()]
        row: t.Dict[str, t.Any] = {
            "load": self.load.name,
            "way": self.way,
            "good/cap": self.totals["answered"] / capacity / (self.load.seconds - TIMEOUT_S),
            "good/off": self.totals["answered"] / offered,
            "refused": self.totals["refused"] / offered,
            "fail+late": (self.totals["failed"] + self.totals["late"]) / offered,
            "refuse ms": self.slowest_refusal_s * 1000,
        }
        for service in (CATALOGO, TERMOMETRO):
            ordered = sorted(self.latencies[service])
            for share in (50, 99):
                name = f"{service[:3]}{share} ms"
                row[name] = ordered[len(ordered) * share // 100] * 1000 if ordered else None
        row["over tgt"] = max(gauge.worst - gauge.limit for gauge in targets)
        row["over reg"] = max(gauge.worst - gauge.limit for gauge in self.regions.values())
        row["over cap"] = self.moved() - SHIFT_CAP
        row["doubled"] = self.totals["doubled"]
        row["cut off"] = self.totals["cut off"]
        row["free reg"] = self.least_free["region"]
        row["free tgt"] = self.least_free["target"]
        row["drain s"] = self.totals.get("drain_s", "")
        row["last s"] = self.totals.get("last_work_s", "")
        return row


def print_row(row: t.Mapping[str, t.Any]) -> None:
    """One line; a header if given names."""
    cells = []
    for key, value in row.items():
        if isinstance(value, float):
            value = f"{value:.1f}" if key.endswith("ms") else f"{value:.3f}"
        cells.append(str(value).ljust(18) if key in ("load", "way") else str(value).rjust(10))
    print("".join(cells), flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(description="measure the decisions")
    parser.add_argument("--only", default="", help="loads and ways whose name contains this")
    options = parser.parse_args()
    rows: t.List[t.Dict[str, t.Any]] = []
    for load in LOADS:
        for way in WAYS:
            if options.only not in f"{load.name} {way}":
                continue
            bench = Bench(way, load)
            run_virtual(bench.clock, bench.run())
            if not rows:
                print_row({key: key for key in bench.report()})
            rows.append(bench.report())
            print_row(rows[-1])
    if not options.only:
        RESULTS.write_text(json.dumps({"seed": SEED, "rows": rows}, indent=1) + "\n")


if __name__ == "__main__":
    main()
