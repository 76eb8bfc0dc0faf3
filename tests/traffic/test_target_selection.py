"""Tests of the selection of targets of contended services, with a fake client of dispatchers."""

import asyncio
import contextlib
import typing as t
import unittest
from unittest import mock

from parameterized import parameterized

from coralfall import defaults
from coralfall.dispatch_settings import DispatchMode, DispatchSettings
from coralfall.exceptions import RefusedError
from coralfall.ids import EntryId, RegionId, ZoneId
from coralfall.placement.contended_candidates import contended_candidates
from coralfall.placement.contention import Contention
from coralfall.placement.dispatch import (
    AskNumber,
    AttemptOutcome,
    DispatchAnswer,
    LoadShare,
    ReportedLoad,
    Ticket,
    Verdict,
    lifetime_code_of,
)
from coralfall.placement.spill_limit import SpillLimit
from coralfall.placement.stop_admission import NO_LESS_TIME, StopAdmission
from coralfall.placement.target_reports import TargetReport
from coralfall.platform.names import HEADERS
from coralfall.process.clock import ManualClock
from coralfall.process.shutdown import Shutdown
from coralfall.traffic.callers import CallersApp, _dispatch_fields
from coralfall.traffic.dispatch_selection import DispatchSelector
from coralfall.traffic.model import RequestKind, Route, RouteId, Target
from coralfall.traffic.steered_request import SteeredRequest
from coralfall.traffic.target_selection import LocalSelector
from coralfall.traffic.telemetry import Telemetry
from tests.traffic import makers
from tests.traffic import test_forwarder as scripts
from tests.traffic.makers import NORTE, PEDIDOS, PUERTO, SteeringFixture, make_route, make_target
from tests.traffic.scripted_target import ScriptedTarget

SUR = ZoneId("sierra-sur")
SELVA = ZoneId("selva-uno")
#: Verdicts in scripts such as ``B500/5 - A100``: verdict, predicted ms, load; ``-`` is silence.
VERDICTS = {verdict.name[0]: verdict for verdict in Verdict}
SLOTS = 4


class FakeClient:
    """Answers asks and waits from a script, and records what it is called with."""

    def __init__(self, script: str = "", dispatcher: str = "e2") -> None:
        self.steps = script.split()
        self.dispatcher = EntryId(dispatcher)
        self.asks: t.List[t.Any] = []
        self.releases: t.List[t.Any] = []
        #: The result of a wait if the script has no step for it.
        self.notice: "t.Optional[asyncio.Future[DispatchAnswer]]" = None

    def new_number(self) -> AskNumber:
        return AskNumber(len(self.asks) + 1)

    async def ask(self, target: Target, ask: t.Any) -> t.Optional[Ticket]:
        self.asks.append(ask)
        answer = self._next(ask.number)
        return Ticket(self.dispatcher, answer) if answer is not None else None

    async def wait(self, ticket: Ticket, until: float) -> t.Optional[DispatchAnswer]:
        if self.notice is None:
            return self._next(ticket.answer.number)
        notice, self.notice = self.notice, None
        return await notice

    def release(self, ticket: Ticket, release: t.Any) -> None:
        self.releases.append(release)

    def _next(self, number: AskNumber) -> t.Optional[DispatchAnswer]:
        step = self.steps.pop(0)
        if step == "-":
            return None
        expected_ms, _, load = step[1:].partition("/")
        verdict = VERDICTS[step[0]]
        return DispatchAnswer(number, verdict, int(expected_ms or 0), False, int(load or 0))

    def outcomes(self) -> t.List[AttemptOutcome]:
        return [release.outcome for release in self.releases]


class SelectionTest(unittest.TestCase):
    """Two targets in the entry's region, and one in another."""

    def setUp(self) -> None:
        targets = (make_target(1), make_target(2), make_target(3, zone=PUERTO))
        self.fixture = SteeringFixture(*targets)
        self.request = self.make_request()
        steering = self.fixture.steering
        states = contended_candidates(steering, PEDIDOS, b"object", frozenset())
        self.ids = [state.target.target_id for state in states]

    def make_request(
        self, contended: bool = True, route: t.Optional[Route] = None
    ) -> SteeredRequest:
        route, tenant = route or make_route(), makers.make_tenant(priority=0)
        arguments: t.Any = ("GET", "/p/1", "a.example", [], None, route, PEDIDOS, "id1", b"object")
        deadline = self.fixture.clock.monotonic() + 1.0
        return SteeredRequest(*arguments, deadline, None, "", tenant, contended=contended)

    def selector(self, client: FakeClient) -> DispatchSelector:
        fixture = self.fixture
        local = LocalSelector(fixture.steering, fixture.clock)
        return DispatchSelector(local, client, fixture.steering, fixture.targets, fixture.clock)

    def select(self, client: FakeClient) -> t.Any:
        return asyncio.run(self.selector(client).select(self.request, (), None))

    @parameterized.expand(
        [
            # script, the chosen candidate, the asked ones, and those of the asks that may queue
            ("assigned", "A100", 0, "0", ""),
            ("busy: a queue forms while the next is idle", "B500 A100", 1, "01", ""),
            ("unavailable: sent to a dead target", "U A100", 1, "01", ""),
            ("all unavailable: refused though it may be served", "U U U", 0, "012", "2"),
            ("another region: a second ask takes long", "U U Q300 A100", 2, "012", "2"),
            ("silent: waits for a dead dispatcher", "-", 0, "0", ""),
            ("stopping: as silent", "N", 0, "0", ""),
            ("queued: refused though a slot is free soon", "B500 B300 Q300 A100", 1, "011", "2"),
            ("a slot was free by then", "B500 B600 A100", 0, "010", "2"),
            ("target gone while queued: waits", "B300 B500 Q300 U A100", 1, "0101", "2"),
            ("dispatcher gone while queued: as before", "B300 B500 Q300 N A100", 0, "0100", "2"),
        ]
    )
    def test_chosen(self, _name: str, script: str, chosen: int, asked: str, may_queue: str) -> None:
        client = FakeClient(script)
        reservation = self.select(client)
        self.assertEqual(self.ids[chosen], reservation.state.target.target_id)
        self.assertEqual([self.ids[int(n)] for n in asked], [a.target_id for a in client.asks])
        self.assertEqual([], client.steps)
        queueing = [str(number) for number, ask in enumerate(client.asks) if ask.may_queue]
        self.assertEqual(may_queue, "".join(queueing))
        self.assertEqual({0}, {ask.level for ask in client.asks}, "the tenant's priority is lost")
        for ask in client.asks:
            target = self.fixture.targets.by_id[ask.target_id].target
            self.assertEqual(lifetime_code_of(target), ask.lifetime_code, "of any lifetime")

    @parameterized.expand(
        [
            ("near", NORTE, False, 0.1, 0),
            ("far", PUERTO, False, 0.1, 200),
            ("far, no time for the work", PUERTO, False, 0.4, 0),
            ("far, late", PUERTO, True, 0.1, 0),
        ]
    )
    def test_first_ask(
        self, _name: str, zone: ZoneId, late: bool, work_s: float, start_within_ms: int
    ) -> None:
        """Guards against asks to another region that take as long as a slot needs to be free, and
        against waits there beyond the time at which the objective can still be met."""
        self.fixture.set_targets(make_target(1, zone=zone))
        self.fixture.steering.admission.record_duration(PEDIDOS, work_s)
        self.request.is_late = late
        client = FakeClient("A100")
        self.select(client)
        (ask,) = client.asks
        self.assertEqual((start_within_ms > 0, True), (ask.may_queue, ask.primary))
        self.assertAlmostEqual(start_within_ms, ask.start_within_ms, delta=1)

    @parameterized.expand(
        [
            ("refused", "B700 B900 R650", 0.0, 0.65),
            ("queued, refused", "B700 B900 Q650 R650", 0.0, 0.65),
            ("notice lost", "B700 B900 Q650 -", 0.0, 0.65),
            ("asked though a start is of no use", "B2700 B2900", 2.0, 0.7),
        ]
    )
    def test_refused_with_the_predicted_wait(
        self, _name: str, script: str, work_s: float, wait_s: float
    ) -> None:
        """Guards against a refusal that names a time at which there is no slot either."""
        self.fixture.steering.admission.record_duration(PEDIDOS, work_s)
        with self.assertRaises(RefusedError) as caught:
            self.select(FakeClient(script))
        self.assertEqual("no-slot", caught.exception.fields["reason"])
        self.assertAlmostEqual(wait_s, caught.exception.retry_after)

    def test_spill(self) -> None:
        """Guards against spills beyond the limit, and spills that count though none was sent."""
        client = FakeClient("B500 B400 U A100 B500 B400 A100 B500 B400 A100")
        selector = self.selector(client)
        chosen = []
        with mock.patch.object(SpillLimit, "_rounding", return_value=1.0):
            for _ in range(3):
                reservation = asyncio.run(selector.select(self.request, (), None))
                chosen.append(self.ids.index(reservation.state.target.target_id))
        self.assertEqual([1, 2, 1], chosen)
        (field,) = _dispatch_fields(self.request).values()
        first, second, *_ = self.ids
        self.assertTrue(field.startswith(f"{first}:busy:500:0,{second}:busy:400:0,"), field)
        telemetry = Telemetry()
        telemetry.count_request(self.request, None, 0.0)
        self.assertIn(b'{service="pedidos",verdict="busy"} 6.0', telemetry.render())

    @parameterized.expand(
        [
            ("a near one completes in time", "B500 B299 A100", 1, "011"),
            ("none does", "B500 B301 A100", 2, "012"),
        ]
    )
    def test_spill_if_no_near_candidate_is_in_time(
        self, _name: str, script: str, chosen: int, asked: str
    ) -> None:
        """Guards against asks to other regions, which cost time, for requests that are in time."""
        client = FakeClient(script)
        with mock.patch.object(SpillLimit, "_rounding", return_value=1.0):
            reservation = self.select(client)
        self.assertEqual(self.ids[chosen], reservation.state.target.target_id)
        self.assertEqual([self.ids[int(n)] for n in asked], [a.target_id for a in client.asks])

    def test_retry_of_a_rejection_at_random(self) -> None:
        """Guards against loading the object elsewhere when its target rejects at random."""
        state = self.fixture.targets.by_id[self.ids[0]]
        client = FakeClient("A100")
        selection = self.selector(client).select(self.request, self.ids[:1], state)
        self.assertIs(state, asyncio.run(selection).state)
        self.assertEqual([], client.steps)

    def test_next_candidate_has_to_be_sooner(self) -> None:
        """Guards against loading the object at a target that is as slow as the first one."""
        client = FakeClient("B250 A100")
        self.select(client)
        self.assertEqual([300, 249], [ask.within_ms for ask in client.asks])
        self.assertEqual([True, False], [ask.primary for ask in client.asks])

    def test_silent_dispatcher_of_a_full_target(self) -> None:
        """Guards against blind sends to a target that is full by the entry's own knowledge."""
        self.fixture.targets.by_id[self.ids[0]].record_load(SLOTS, 0)
        reservation = self.select(FakeClient("- A100"))
        self.assertEqual(self.ids[1], reservation.state.target.target_id)

    @parameterized.expand(
        [
            ("free slot", f"A100/{SLOTS - 1}", "0", "", None),
            ("waits", "B200 Q200 A100", "00", "1", None),
            ("waits for the first that is not unavailable", "U B200 Q200 A100", "011", "2", None),
            ("slot free by then", "B200 A100", "00", "1", None),
            ("no slot in time", "B200 R300", "00", "1", 0.3),
            ("notice lost", "B200 Q300 -", "00", "1", 0.3),
        ]
    )
    def test_late_request(
        self,
        _name: str,
        script: str,
        asked: str,
        may_queue: str,
        retry_after_s: t.Optional[float],
    ) -> None:
        """Guards against late requests that take slots from, or queue before, those in time, and
        against refusals where the region has room a moment later."""
        self.request.is_late = True
        client = FakeClient(script)
        with contextlib.ExitStack() as stack:
            if retry_after_s is not None:
                caught = stack.enter_context(self.assertRaises(RefusedError))
            reservation = self.select(client)
        if retry_after_s is None:
            chosen = self.ids[int(asked[-1])]
            self.assertEqual(chosen, reservation.state.target.target_id)
        else:
            self.assertEqual("no-slot", caught.exception.fields["reason"])
            self.assertAlmostEqual(retry_after_s, caught.exception.retry_after)
        self.assertEqual([], client.steps)
        self.assertEqual([self.ids[int(n)] for n in asked], [a.target_id for a in client.asks])
        # The tenant's priority is 0.
        self.assertEqual({100}, {ask.level for ask in client.asks})
        self.assertEqual({True}, {ask.primary for ask in client.asks})
        # Before the last ask it takes only what is free: the first candidate's slots.
        self.assertEqual({0}, {ask.within_ms for ask in client.asks if not ask.may_queue})
        queueing = [str(number) for number, ask in enumerate(client.asks) if ask.may_queue]
        self.assertEqual(may_queue, "".join(queueing))

    @parameterized.expand(
        [
            # the first request's script and asks, seconds later, the second's script and asks
            ("at once", "U300 A100", "01", 0.0, "A100", "1"),
            ("just before its end", "U300 A100", "01", 0.29, "A100", "1"),
            ("afterwards", "U300 A100", "01", 0.31, "A100", "0"),
            ("by a notice", "B300 B500 Q300 U300 A100", "0101", 0.29, "A100", "1"),
            ("all: the entry decides", "U300 U300 U300", "012", 0.29, "", ""),
            ("busy is not unavailable", "B300 A100", "01", 0.0, "A100", "0"),
        ]
    )
    def test_unavailable_target(
        self, _name: str, script: str, asked: str, seconds: float, next_script: str, later: str
    ) -> None:
        """Guards against asks to a dispatcher that said for how long its target is unavailable,
        and against targets that are left out for longer."""
        client = FakeClient(script)
        selector = self.selector(client)
        asyncio.run(selector.select(self.request, (), None))
        self.fixture.clock.advance(seconds)
        client.steps = next_script.split()
        self.request = self.make_request()
        asyncio.run(selector.select(self.request, (), None))
        numbers = [str(self.ids.index(ask.target_id)) for ask in client.asks]
        self.assertEqual(asked + later, "".join(numbers))
        self.assertEqual([], client.steps)

    @parameterized.expand(
        [
            ("two routes", {}, {"route_id": RouteId("r2")}, 2),
            ("one route, two objects", {"key": b"a"}, {"key": b"b"}, 2),
            ("no objects", *[{"key": key, "session_affinity": False} for key in (b"a", b"b")], 1),
        ]
    )
    def test_objects_in_caches(self, _name: str, first: t.Any, second: t.Any, count: int) -> None:
        """Guards against taking another route's object for cached."""
        codes = set()
        for changes in (first, second):
            self.request = self.make_request()
            self.request.object_key = changes.pop("key", b"object")
            self.request.route = make_route(**changes)
            client = FakeClient("A100")
            self.select(client)
            codes.add(client.asks[0].object_code)
        self.assertEqual(count, len(codes))

    @parameterized.expand([("e1", 0), ("e2", 1)])
    def test_own_dispatcher_counts_the_request_once(self, dispatcher: str, counted: int) -> None:
        """Guards against targets that look twice as busy where the entry dispatches them."""
        reservation = self.select(FakeClient("A100", dispatcher))
        self.assertEqual(counted, reservation.state.in_flight)
        reservation.release()
        self.assertEqual(0, reservation.state.in_flight)

    @parameterized.expand(
        [
            ("contended", True, RequestKind.UPLOAD, {NORTE}),
            ("other kinds", True, RequestKind.UNSAFE, None),
            ("not contended", False, RequestKind.UPLOAD, {NORTE, SUR}),
        ]
    )
    def test_uploads(
        self, _: str, contended: bool, kind: RequestKind, zones: t.Optional[t.Set[ZoneId]]
    ) -> None:
        """Guards against uploads that cross zones, and whose asks wait behind their own bodies."""
        targets = [make_target(n, zone=(NORTE, SUR, SUR)[n % 3]) for n in range(12)]
        regions = {**makers.REGIONS_BY_ZONE, SUR: makers.SIERRA}
        self.fixture = SteeringFixture(
            *targets, settings=makers.make_settings(regions_by_zone=regions)
        )
        found = set()
        for number in range(50):
            self.request = self.make_request(contended=contended, route=make_route(kind=kind))
            self.request.object_key = str(number).encode()
            client = FakeClient("A100")
            reservation = self.select(client)
            self.assertEqual(zones is None, bool(client.asks))
            found.add(reservation.state.target.zone)
            reservation.release()
        self.assertEqual(zones or {NORTE, SUR}, found)

    def test_service_that_is_not_contended(self) -> None:
        """Guards against asks, pauses and other choices for services that are not contended."""
        self.request = self.make_request(contended=False)
        client = FakeClient()
        selection = self.selector(client).select(self.request, (), None)
        with self.assertRaises(StopIteration) as caught:
            selection.send(None)
        expected = self.fixture.steering.choose(make_route(), PEDIDOS, b"object", ())
        self.assertIs(expected.state, caught.exception.value.state)
        self.assertEqual([], client.asks)

    @parameterized.expand(
        [
            ("caller", True, False, None),
            ("target", False, True, 1),
            ("caller and target", True, True, None),
        ]
    )
    def test_leaves_while_queued(
        self, _name: str, caller: bool, target: bool, chosen: t.Optional[int]
    ) -> None:
        """Guards against waits for nobody, or for a target that this entry knows to be leaving."""
        client = FakeClient("B300 B500 Q300 A100")

        async def main() -> "asyncio.Task[t.Any]":
            client.notice = asyncio.get_running_loop().create_future()
            task = asyncio.ensure_future(self.selector(client).select(self.request, (), None))
            await asyncio.sleep(0.01)
            state = self.fixture.targets.by_id[self.ids[0]]
            if target:
                self.fixture.targets.reports.record(state, TargetReport(leaving=True), 0.0)
            if caller:
                task.cancel()
            await asyncio.wait([task])
            self.assertEqual(chosen is None, task.cancelled())
            self.assertEqual(chosen is None, task.cancelling() > 0)
            return task

        task = asyncio.run(main())
        if chosen is not None:
            self.assertEqual(self.ids[chosen], task.result().state.target.target_id)


async def loaded(received: t.Any) -> None:
    await received.answer(x_server_load="2,1,4")


class ReleaseTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("answer", loaded, AttemptOutcome.ANSWERED),
            ("rejection", scripts.shed, AttemptOutcome.REJECTED),
            ("another target", scripts.misdirected, AttemptOutcome.MISDIRECTED),
            ("broken", scripts.truncated, AttemptOutcome.BROKEN),
            ("not signed", scripts.unsigned, AttemptOutcome.BROKEN),
            ("time-out", None, AttemptOutcome.TIMED_OUT),
            ("caller gone, or stop", None, AttemptOutcome.CANCELLED),
            ("nothing listens", scripts.ok, AttemptOutcome.CONNECTION_REFUSED),
            ("withdrawn before the send", scripts.ok, AttemptOutcome.CANCELLED),
        ]
    )
    def test_once_with_the_outcome(
        self, name: str, script: t.Any, expected: AttemptOutcome
    ) -> None:
        """Guards against slots that are lost, or freed twice, however an attempt ends."""
        client = FakeClient("A100")

        received = asyncio.Event()

        async def hang(_received: t.Any) -> None:
            received.set()
            await asyncio.sleep(60.0)

        async def main() -> None:
            async with ScriptedTarget(script or hang) as target:
                address = "127.0.0.1:1" if name == "nothing listens" else target.address
                harness = scripts.ForwarderHarness([address])
                local = LocalSelector(harness.steering, harness.clock)
                harness.forwarder._selector = DispatchSelector(
                    local, client, harness.steering, harness.targets, harness.clock
                )
                request = harness.request(
                    "safe", seconds=0.5 if name == "time-out" else 30.0, max_attempts=1
                )
                request.contended = True
                if name.startswith("withdrawn"):
                    harness.targets.block_reason = mock.Mock(return_value="late")  # type: ignore
                task = asyncio.ensure_future(harness.forward(request))
                if name.startswith("caller"):
                    await received.wait()
                    task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
                harness.pool.close()

        asyncio.run(main())
        self.assertEqual([expected], client.outcomes())
        load = ReportedLoad(2, 1) if script is loaded else None
        self.assertEqual(load, client.releases[0].load)


class PartsTest(unittest.TestCase):
    @parameterized.expand(
        [
            (DispatchMode.AUTO, False, None, False),
            (DispatchMode.AUTO, True, None, True),
            (DispatchMode.AUTO, False, 59.0, True),
            (DispatchMode.AUTO, False, 61.0, False),
            (DispatchMode.ON, False, None, True),
            (DispatchMode.OFF, True, 1.0, False),
        ]
    )
    def test_contention(
        self, mode: DispatchMode, contended: bool, age_s: t.Optional[float], expected: bool
    ) -> None:
        """Guards against new behaviour for others, and old behaviour for contended services."""
        fixture = SteeringFixture(make_target())
        contention = Contention(DispatchSettings(mode=mode, contended=contended), fixture.clock)
        fixture.targets.reports.on_pace = contention.record_pace
        (state,) = fixture.targets.by_id.values()
        pace = None if age_s is None else 100
        fixture.targets.reports.record(state, TargetReport(load=(1, 0), pace=pace), 0.0)
        fixture.clock.advance(age_s or 0.0)
        self.assertEqual(expected, contention.is_contended(PEDIDOS))

    def test_spilled_share_of_all_entries(self) -> None:
        """Guards against spills that shift more of a region's requests than the bound allows."""
        clock, bounds = ManualClock(0.0), makers.make_settings().bounds
        limits = [SpillLimit(EntryId(f"e{number}"), clock) for number in range(28)]
        spilled = 0
        for number in range(40 * 28 * 24):
            clock.advance(2.0 if number % (28 * 24) == 0 else 0.0)
            limits[number % 28].record_request(PEDIDOS)
            spilled += limits[number % 28].try_spill(PEDIDOS, bounds.spill_fraction())
        # Of the 0.15 that may change regions in 2 s, moved objects use 0.10.
        self.assertTrue(0.02 < spilled / (40 * 28 * 24) < 0.0505, spilled)
        self.assertLessEqual(
            bounds.spill_fraction() + bounds.max_shift * defaults.SHIFT_BUDGET_FRACTION,
            bounds.max_shift + 1e-9,
        )

    @parameterized.expand(
        [
            ((NORTE, SUR, SUR, PUERTO), {NORTE, SUR}),
            ((PUERTO, SELVA), {PUERTO, SELVA}),
        ]
    )
    def test_candidates(self, zones: t.Tuple[ZoneId, ...], firsts: t.Set[ZoneId]) -> None:
        """Guards against second candidates in another region."""
        targets = [make_target(n, zone=zones[n % len(zones)]) for n in range(12)]
        regions = {**makers.REGIONS_BY_ZONE, SUR: makers.SIERRA, SELVA: RegionId("selva")}
        fixture = SteeringFixture(*targets, settings=makers.make_settings(regions_by_zone=regions))
        found = set()
        for number in range(50):
            key = str(number).encode()
            states = contended_candidates(fixture.steering, PEDIDOS, key, frozenset())
            first, second, third = [regions[state.target.zone] for state in states]
            self.assertTrue(first == second != third)
            found.add(states[0].target.zone)
        self.assertEqual(firsts, found)

    @parameterized.expand(
        [("unknown", None, 2), ("at the limit", 0.95, 2), ("above it", 0.96, 1), ("full", 3.0, 1)]
    )
    def test_candidates_of_a_full_region(
        self, _name: str, load: t.Optional[float], near_count: int
    ) -> None:
        """Guards against second candidates that are as full as the first, and against objects that
        are loaded in another region while their own has room."""
        targets = [make_target(n, zone=PUERTO if n % 4 else NORTE) for n in range(16)]
        fixture = SteeringFixture(*targets)
        rankings = fixture.steering.rankings
        rankings.region_load.is_contended = lambda _: True
        share = None if load is None else LoadShare(load, 1)
        rankings.region_load.service_load = mock.Mock(return_value=share)
        counts = set()
        for number in range(50):
            key = str(number).encode()
            states = contended_candidates(fixture.steering, PEDIDOS, key, frozenset())
            zones = [state.target.zone for state in states]
            # An object of another region has two candidates there, whatever its load.
            expected = near_count if zones[0] == NORTE else 2
            other = PUERTO if zones[0] == NORTE else NORTE
            self.assertEqual([zones[0]] * expected + [other], zones)
            counts.add((zones[0], expected))
        self.assertEqual({(NORTE, near_count), (PUERTO, 2)}, counts)

    @parameterized.expand(
        [
            ("default", DispatchSettings(contended=True), False, False),
            ("auto", DispatchSettings(mode=DispatchMode.AUTO, contended=True), True, True),
            ("on", DispatchSettings(mode=DispatchMode.ON), True, False),
        ]
    )
    def test_what_settings_switch_on(
        self, _: str, dispatch: DispatchSettings, contended: bool, installation: bool
    ) -> None:
        """Guards against installations that are served otherwise without being set to be."""
        contention = Contention(dispatch, ManualClock(0.0))
        contention.record_pace(PEDIDOS)
        self.assertEqual(contended, contention.is_contended(PEDIDOS))
        self.assertEqual(installation, dispatch.is_installation_contended())

    @parameterized.expand([(True,), (False,)])
    def test_two_routes_with_the_same_key(self, contended: bool) -> None:
        """Guards against objects that move to other targets when a service becomes contended."""
        view = mock.Mock()
        view.routes.find = lambda _host, path: make_route(route_id=RouteId(path))
        view.split.choose.return_value = PEDIDOS
        dispatch = DispatchSettings(mode=DispatchMode.AUTO, contended=contended)
        contention = Contention(dispatch, ManualClock(0.0))
        other: t.Any = mock.Mock()
        other.authenticate.return_value = None
        clock = ManualClock(0.0)
        admission = StopAdmission(Shutdown(defaults.GRACE_S, clock), NO_LESS_TIME, clock)
        app = CallersApp(HEADERS, view, other, other, other, other, contention, admission, clock)
        keys = set()
        for path in (b"/a", b"/b"):
            headers = [(b"host", b"a.example"), (b"cookie", b"X-Affinity-Key=k")]
            scope: t.Any = {"method": "GET", "headers": headers, "raw_path": path}
            request = app._build_request({**scope, "query_string": b""}, None, 0.0)
            self.assertEqual(contended, request.contended)
            keys.add(request.object_key)
        self.assertEqual({b"k"}, keys)


if __name__ == "__main__":
    unittest.main()
