"""Entries of the simulation: the decisions that run in production, around sends that are modelled.

What the request path does with sockets is a delay here; which target a request goes to, whether it
waits, is refused or sent again is decided by :mod:`coralfall.placement`.
"""

import typing as t

from .. import defaults
from ..exceptions import RefusedError
from ..ids import EntryId, RegionId, ServiceId, TargetId, ZoneId
from ..placement.affinity import AffinitySteering
from ..placement.even_division import EvenDivision
from ..placement.fleet_share import Share
from ..placement.retry_budget import SharedRetryBudget
from ..placement.target_reports import TargetReport
from ..placement.targets import TargetRegistry
from ..traffic.model import CallerLimits, DesiredState, Route, ServiceRules, Target
from ..traffic.settings import SteerSettings, StoreSettings
from .links import EntryLinks
from .targets import Job

if t.TYPE_CHECKING:
    from ..placement.reservation import TargetReservation
    from ..placement.targets import TargetState
    from .agenda import Agenda
    from .scenario import Scenario, ServiceSettings
    from .targets import SimulatedTarget

#: Longest time that an attempt to reach a target that is silent takes.
_CONNECT_S = defaults.TARGET_CONNECT_S


class Attempt:
    """One attempt of a caller, as an entry serves it.

    :param answer: called with whether it was served, whether it may have run, and when to come
        back.
    """

    __slots__ = ("again", "answer", "deadline", "key", "late", "route", "sends", "tried")

    def __init__(
        self,
        route: Route,
        key: bytes,
        deadline: float,
        late: bool,
        answer: t.Callable[[bool, bool, float], None],
    ) -> None:
        self.route = route
        self.key = key
        self.deadline = deadline
        self.late = late
        self.answer = answer
        self.sends = 0
        self.again: "t.Optional[TargetState]" = None
        self.tried: t.Set[TargetId] = set()


class _SettlingShare(Share):
    """A share that begins some time after an entry's start.

    :param started_at: when the entry started; before the first moment for one that runs already.
    """

    def __init__(
        self,
        settings: SteerSettings,
        entry_ids: t.Sequence[EntryId],
        started_at: float,
        agenda: "Agenda",
    ) -> None:
        self._division = EvenDivision(settings.entry_id)
        self._division.set_entries(entry_ids)
        self._begins_at = started_at + settings.bounds.share_settle_s()
        self._agenda = agenda

    def part_of(self, name: str, units: int) -> int:
        if self._agenda.now < self._begins_at:
            return 0
        return self._division.part_of(name, units)


class SimulatedEntry:
    """One entry.

    :param name: its id.
    :param region: where it stands.
    :param scenario: what it runs in.
    :param targets_by_id: the targets that it sends to.
    :param agenda: the clock and what is due.
    :param entry_ids: all entries.
    """

    def __init__(
        self,
        name: str,
        region: str,
        scenario: "Scenario",
        targets_by_id: "t.Mapping[TargetId, SimulatedTarget]",
        agenda: "Agenda",
        entry_ids: t.Sequence[EntryId],
    ) -> None:
        self.region = region
        self._scenario = scenario
        self._targets_by_id = targets_by_id
        self._agenda = agenda
        self._entry_ids = entry_ids
        self._settings = _settings(name, region, scenario)
        self._last_used: t.Dict[TargetId, float] = {}
        self._start(-self._settings.bounds.share_settle_s())
        #: Links to all targets.
        self.links = EntryLinks(self._settings, self._book, scenario, agenda)

    def forget(self) -> None:
        """Start anew."""
        self._start(self._agenda.now)

    def _start(self, started_at: float) -> None:
        settings = self._settings
        clock = self._agenda.clock
        self._book = TargetRegistry(clock, settings.bounds.target_visibility_s())
        self.steering = AffinitySteering(settings, self._book, clock)
        self.steering.set_state(_desired_state(self._scenario))
        self.steering.cold_shares.set_entries(self._entry_ids)
        share = _SettlingShare(settings, self._entry_ids, started_at, self._agenda)
        self._budget = SharedRetryBudget(settings.bounds, share, clock)

    def learn(self, targets: t.Mapping[TargetId, Target]) -> None:
        """Take in the rows of all targets."""
        self._book.update(targets)

    def serve(
        self, route: Route, key: bytes, left_s: float, answer: t.Callable[[bool, bool, float], None]
    ) -> None:
        """Serve one attempt of a caller, who waits for ``left_s`` yet."""
        self._budget.record_request(route.backends[0].service)
        admission = self.steering.admission
        admission.record_arrival(route, left_s)
        late = admission.is_late(route, left_s)
        deadline = self._agenda.now + min(left_s, route.timeout_s)
        self._send(Attempt(route, key, deadline, late, answer))

    def _send(self, attempt: Attempt) -> None:
        left_s = attempt.deadline - self._agenda.now
        service = attempt.route.backends[0].service
        try:
            reservation = self.steering.choose(
                attempt.route,
                service,
                attempt.key,
                attempt.tried,
                left_s,
                attempt.late,
                attempt.again,
            )
        except RefusedError as refusal:
            attempt.answer(False, False, refusal.retry_after)
            return
        attempt.again = None
        attempt.tried.add(reservation.state.target.target_id)
        target = self._targets_by_id[reservation.state.target.target_id]
        wait_s = target.take_token(reservation.known)
        if wait_s:
            self.steering.limits.mark_exhausted(reservation.state.target, wait_s, reservation.known)
            reservation.cancel()
            self._send(attempt)
            return
        if self.links.reachability.is_cut_off(service):
            self._send_through_other(attempt, reservation, target)
            return
        if self.links.lost:
            self._lose(attempt, reservation)
            return
        attempt.sends += 1
        trip_s = self._trip_s(target)
        connect_s = self._connect_s(attempt, target, trip_s)
        if not target.listening:
            self._agenda.after(
                2 * trip_s, lambda: self._not_reached(attempt, reservation, refused=True)
            )
            return
        if target.silent and connect_s:
            self._agenda.after(
                _CONNECT_S, lambda: self._not_reached(attempt, reservation, refused=False)
            )
            return
        self.links.reachability.record_success(service, target.target_id)
        self._exchange(attempt, reservation, target, connect_s + trip_s, trip_s)

    def _lose(self, attempt: Attempt, reservation: "TargetReservation") -> None:
        """Fails to connect, or to get an answer on a kept connection, as the links are lost."""
        target = reservation.state.target
        self.links.note_connect(target.service, target.target_id)

        def fail() -> None:
            if self.links.reachability.is_cut_off(target.service):
                reservation.release()
                self._send(attempt)
            else:
                self._not_reached(attempt, reservation, refused=False)

        self._agenda.after(_CONNECT_S + defaults.REACH_SETTLE_S, fail)

    def _send_through_other(
        self, attempt: Attempt, reservation: "TargetReservation", target: "SimulatedTarget"
    ) -> None:
        """Sends a request through an entry that reaches the targets."""
        carrier = self.links.choose_carrier(attempt.route.backends[0].service)
        if carrier is None:
            reservation.cancel()
            attempt.answer(False, False, defaults.TRANSIT_RETRY_AFTER_S)
            return
        way_s = self.links.trip_to_s(carrier.region)
        end_transit = self.links.start_transit(carrier)
        if carrier.lost:

            def refuse() -> None:
                end_transit()
                reservation.cancel()
                attempt.tried.discard(target.target_id)
                self._send(attempt)

            self._agenda.after(2 * way_s + _CONNECT_S, refuse)
            return
        attempt.sends += 1
        there_s = way_s + 3 * carrier.trip_to_s(target.region)
        back_s = carrier.trip_to_s(target.region) + way_s
        self._exchange(attempt, reservation, target, there_s, back_s, end_transit)

    def _exchange(
        self,
        attempt: Attempt,
        reservation: "TargetReservation",
        target: "SimulatedTarget",
        there_s: float,
        back_s: float,
        on_end: t.Callable[[], None] = lambda: None,
    ) -> None:
        began = self._agenda.now

        def end(ran: bool, report: TargetReport) -> None:
            if done:
                return
            done.append(True)
            on_end()
            self._answered(attempt, reservation, self._agenda.now - began, ran, report)

        def reply(ran: bool) -> None:
            report = TargetReport(
                load=(target.running, target.waiting),
                cooldown_s=None if ran else target.cooldown_s,
            )
            self._agenda.after(back_s, lambda: end(ran, report))

        def give_up() -> None:
            if done:
                return
            done.append(True)
            on_end()
            target.drop(job)
            reservation.record_latency(self._agenda.clock.now, self._agenda.now - began)
            reservation.release()
            since = self._agenda.clock.now - (self._agenda.now - began)
            reservation.state.record_failure(reached=True, silent_since=since)
            attempt.answer(False, True, 0.0)

        done: t.List[bool] = []
        job = Job(attempt.key, reply)
        self._agenda.after(there_s, lambda: target.arrive(job))
        self._agenda.after(attempt.deadline - began, give_up)

    def _answered(
        self,
        attempt: Attempt,
        reservation: "TargetReservation",
        seconds: float,
        ran: bool,
        report: TargetReport,
    ) -> None:
        self._book.reports.record(reservation.state, report, self._agenda.clock.now - seconds)
        reservation.release()
        if ran:
            reservation.state.record_success()
            reservation.record_answer(self._agenda.clock.now, seconds)
            attempt.answer(True, True, 0.0)
            return
        service = attempt.route.backends[0].service
        come_back_s = self.steering.retry_after_s(reservation.state, service, frozenset())
        if reservation.state.sheds_at_random():
            attempt.again = reservation.state
        self._send_again(attempt, come_back_s)

    def _not_reached(
        self, attempt: Attempt, reservation: "TargetReservation", refused: bool
    ) -> None:
        reservation.state.record_failure(reached=False, refused=refused)
        reservation.release()
        self._send_again(attempt)

    def _send_again(
        self, attempt: Attempt, come_back_s: float = defaults.STEER_RETRY_AFTER_S
    ) -> None:
        service = attempt.route.backends[0].service
        has_time = attempt.deadline - self._agenda.now > defaults.MIN_SEND_TIME_LEFT_S
        may = attempt.sends < attempt.route.max_attempts and has_time
        if may and self._budget.spend(service):
            self._send(attempt)
            return
        attempt.answer(False, False, come_back_s)

    def _trip_s(self, target: "SimulatedTarget") -> float:
        same = target.region == self.region
        return self._scenario.near_s if same else self._scenario.far_s

    def _connect_s(self, attempt: Attempt, target: "SimulatedTarget", trip_s: float) -> float:
        """Seconds to open a connection; safe requests use kept ones."""
        if attempt.route.kind.value == "safe":
            return 0.0
        last = self._last_used.get(target.target_id, -float("inf"))
        self._last_used[target.target_id] = self._agenda.now
        ahead = self._scenario.opens_ahead and 2 * trip_s < self._agenda.now - last < 2.5
        return 0.0 if ahead else 2 * trip_s


def _settings(name: str, region: str, scenario: "Scenario") -> SteerSettings:
    return SteerSettings(
        entry_id=EntryId(name),
        zone=ZoneId(region),
        region=RegionId(region),
        regions_by_zone={ZoneId(one.name): RegionId(one.name) for one in scenario.regions},
        caller_address="127.0.0.1:0",
        lookup_address="127.0.0.1:0",
        readiness_address="127.0.0.1:0",
        peer_address="127.0.0.1:0",
        store=StoreSettings(address="127.0.0.1:1"),
    )


def _desired_state(scenario: "Scenario") -> DesiredState:
    return DesiredState(
        version=1,
        routes=(),
        services={ServiceId(one.name): _rules(one) for one in scenario.services},
        limits=CallerLimits(
            max_header_bytes=16384,
            max_body_bytes=1_000_000,
            header_timeout_s=3.0,
            idle_timeout_s=15.0,
        ),
    )


def _rules(service: "ServiceSettings") -> ServiceRules:
    return ServiceRules(
        service=ServiceId(service.name),
        max_connections=1000,
        warmup_s=service.warmup_s,
        warmup_per_s=service.warmup_per_s,
    )
