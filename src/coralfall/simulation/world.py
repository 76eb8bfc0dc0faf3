"""World: plays a scenario, from callers by way of entries to targets and back."""

import functools
import math
import random
import typing as t

from ..ids import EntryId, ServiceId, TargetId, ZoneId
from ..traffic.model import Backend, RequestKind, Route, RouteId, Target
from .agenda import Agenda
from .entries import SimulatedEntry
from .scenario import Trouble
from .score import Result, Score
from .targets import SimulatedTarget

if t.TYPE_CHECKING:
    from .scenario import EventSettings, KindSettings, RegionSettings, Scenario

#: Seconds from a change of a target until entries know its row.
_ROW_S = 1.0
#: Part of its remaining time for which a caller heeds when it is told to come back.
_HEEDED = 1 / 3


class Call:
    """One request of a caller, with all its attempts."""

    __slots__ = ("asked_s", "attempts", "key", "kind", "region")

    def __init__(self, kind: "KindSettings", region: str, key: bytes, asked_s: float) -> None:
        self.kind = kind
        self.region = region
        self.key = key
        self.asked_s = asked_s
        self.attempts = 0


class World:
    """One run of a scenario.

    :param scenario: what to play.
    :param seed: of all that varies.
    """

    def __init__(self, scenario: "Scenario", seed: int = 1) -> None:
        self._scenario = scenario
        self._rng = random.Random(seed)
        self.agenda = Agenda()
        self.score = Score()
        self.targets_by_id: t.Dict[TargetId, SimulatedTarget] = {}
        self._left: t.Set[TargetId] = set()
        self._cold_until: t.Dict[TargetId, float] = {}
        self._burst = 1.0
        self._make_targets()
        self._routes = {kind.name: _route(kind) for kind in scenario.kinds}
        names = [
            (f"entry-{region.name}-{number}", region.name)
            for region in scenario.regions
            for number in range(region.entries)
        ]
        ids = [EntryId(name) for name, _ in names]
        self.entries = [
            SimulatedEntry(name, region, scenario, self.targets_by_id, self.agenda, ids)
            for name, region in names
        ]
        links_by_id = dict(zip(ids, [entry.links for entry in self.entries], strict=True))
        for links in links_by_id.values():
            links.fleet = links_by_id

    def play(self) -> Score:
        """Play it all; what callers got."""
        self._tell_rows()
        for region in self._scenario.regions:
            for kind in self._scenario.kinds:
                self._ask_next(kind, region)
        for event in self._scenario.events:
            self.agenda.after(event.at, functools.partial(self._begin, event))
        self.agenda.run()
        return self.score

    # Callers

    def _ask_next(self, kind: "KindSettings", region: "RegionSettings") -> None:
        rate = kind.per_s * self._wave(region) * self._burst
        self.agenda.after(self._rng.expovariate(rate), lambda: self._ask(kind, region))

    def _wave(self, region: "RegionSettings") -> float:
        turn = self.agenda.now / self._scenario.period_s + region.phase
        return 1 + self._scenario.swing * math.sin(2 * math.pi * turn)

    def _ask(self, kind: "KindSettings", region: "RegionSettings") -> None:
        if self.agenda.now >= self._scenario.seconds:
            return
        self._ask_next(kind, region)
        key = f"{region.name}-{self._rng.randrange(kind.objects)}".encode()
        call = Call(kind, region.name, key, self.agenda.now)
        self._try(call, 0.0)

    def _try(self, call: Call, waits_s: float) -> None:
        """One attempt on a new connection, which costs a trip there and back first."""
        call.attempts += 1
        way_s = waits_s + 3 * self._scenario.caller_s
        self.agenda.after(way_s, lambda: self._reach_entry(call))

    def _reach_entry(self, call: Call) -> None:
        near = [entry for entry in self.entries if entry.region == call.region]
        entry = self._rng.choice(near or self.entries)
        left_s = call.kind.limit_s - (self.agenda.now - call.asked_s)
        if left_s <= 0:
            self._end(call, "failed")
            return

        def answer(served: bool, may_have_run: bool, come_back_s: float) -> None:
            way_s = self._scenario.caller_s
            self.agenda.after(way_s, lambda: self._hear(call, served, may_have_run, come_back_s))

        entry.serve(self._routes[call.kind.name], call.key, left_s, answer)

    def _hear(self, call: Call, served: bool, may_have_run: bool, come_back_s: float) -> None:
        if served:
            in_aim = self.agenda.now - call.asked_s <= call.kind.aim_s
            self._end(call, "aim" if in_aim else "late")
            return
        left_s = call.kind.limit_s - (self.agenda.now - call.asked_s)
        may_return = call.kind.safe or not may_have_run
        if not may_return or call.attempts > call.kind.returns or left_s <= 0:
            self._end(call, "failed" if may_have_run else "refused")
            return
        self._try(call, min(come_back_s, left_s * _HEEDED))

    def _end(self, call: Call, outcome: str) -> None:
        kind = call.kind
        earned = {"aim": kind.worth, "late": kind.worth * kind.late_worth}.get(outcome, 0.0)
        self.score.add(
            Result(
                kind=kind.name,
                region=call.region,
                asked_s=call.asked_s,
                seconds=self.agenda.now - call.asked_s,
                outcome=outcome,
                returned=call.attempts > 1,
                worth=kind.worth,
                earned=earned,
                limit_s=kind.limit_s,
            )
        )

    # Targets

    def _make_targets(self) -> None:
        for service in self._scenario.services:
            for region, count in service.targets_by_region.items():
                for number in range(count):
                    target_id = TargetId(f"{service.name}-{region}-{number}")
                    self.targets_by_id[target_id] = SimulatedTarget(
                        target_id, region, service, self.agenda, self._rng
                    )

    def _tell_rows(self) -> None:
        rows = {
            target_id: self._row(target)
            for target_id, target in self.targets_by_id.items()
            if target_id not in self._left
        }
        for entry in self.entries:
            entry.learn(rows)

    def _row(self, target: SimulatedTarget) -> Target:
        cold_s = self._cold_until.get(target.target_id, 0.0) - self.agenda.now
        return Target(
            target_id=target.target_id,
            service=ServiceId(target.settings.name),
            address=f"{target.target_id}:1",
            zone=ZoneId(target.region),
            slots=target.settings.slots,
            cold_s=max(0.0, cold_s),
            born=target.born,
        )

    # Troubles

    def _begin(self, event: "EventSettings") -> None:
        if event.kind is Trouble.BURST:
            self._burst = event.times
            self.agenda.after(event.for_s, self._end_burst)
            return
        if event.kind is Trouble.ENTRIES:
            for entry in self.entries:
                entry.forget()
            self._tell_rows()
            return
        if event.kind is Trouble.CUT:
            self._cut(event)
            return
        for target in self._struck(event):
            self._strike(target, event)
        if event.kind is Trouble.LEAVE:
            self.agenda.after(_ROW_S, self._tell_rows)

    def _cut(self, event: "EventSettings") -> None:
        fitting = [entry for entry in self.entries if event.region in (None, entry.region)]
        struck = self._rng.sample(fitting, math.ceil(event.share * len(fitting)))
        for entry in struck:
            entry.links.lost = True

        def heal() -> None:
            for entry in struck:
                entry.links.lost = False

        self.agenda.after(event.for_s, heal)

    def _end_burst(self) -> None:
        self._burst = 1.0

    def _struck(self, event: "EventSettings") -> t.List[SimulatedTarget]:
        fitting = [
            target
            for target in self.targets_by_id.values()
            if event.service in (None, target.settings.name)
            and event.region in (None, target.region)
        ]
        return self._rng.sample(fitting, math.ceil(event.share * len(fitting)))

    def _strike(self, target: SimulatedTarget, event: "EventSettings") -> None:
        if event.kind is Trouble.SLOW:
            target.slowness = event.times
        elif event.kind is Trouble.SHED:
            target.shed_share = min(1.0, event.times)
        elif event.kind is Trouble.SILENT:
            target.silent = True
        elif event.kind is Trouble.RESTART:
            target.listening = False
        elif event.kind is Trouble.LIMIT:
            self._limit(target, event.times)
        elif event.kind is Trouble.COOLDOWN:
            target.cooldown_s = event.times
        elif event.kind is Trouble.LEAVE:
            self._left.add(target.target_id)
            return
        self.agenda.after(event.for_s, lambda: self._heal(target, event))

    def _limit(self, target: SimulatedTarget, per_s: t.Optional[float]) -> None:
        target.limit(per_s)
        row = self._row(target)
        for entry in self.entries:
            entry.steering.limits.record_answer(row, per_s, self.agenda.clock.now)

    def _heal(self, target: SimulatedTarget, event: "EventSettings") -> None:
        target.slowness = 1.0
        target.shed_share = 0.0
        target.cooldown_s = None
        if event.kind is Trouble.LIMIT:
            self._limit(target, None)
        if event.kind not in (Trouble.SILENT, Trouble.RESTART):
            return
        target.silent = False
        target.listening = True
        target.forget()
        self._cold_until[target.target_id] = self.agenda.now + target.settings.warmup_s
        self.agenda.after(_ROW_S, self._tell_rows)


def _route(kind: "KindSettings") -> Route:
    return Route(
        route_id=RouteId(kind.name),
        host="simulated",
        prefix=f"/{kind.name}/",
        kind=RequestKind.SAFE if kind.safe else RequestKind.UNSAFE,
        timeout_s=kind.timeout_s,
        latency_target_s=kind.aim_s,
        priority=kind.priority,
        backends=(Backend(ServiceId(kind.service), 1.0),),
        max_attempts=kind.max_attempts,
        session_affinity=True,
    )
