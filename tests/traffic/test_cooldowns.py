"""Tests of cooldowns that targets request of an entry (``Retry-After``)."""

import asyncio
import typing as t
import unittest

import msgspec
from parameterized import parameterized

from coralfall import defaults
from coralfall.exceptions import RefusedError
from coralfall.ids import TargetId
from coralfall.placement.target_reports import TargetReport
from coralfall.placement.targets import TargetState
from coralfall.traffic.model import Target
from coralfall.traffic.reply import Reply
from tests.traffic.makers import COSTA, PEDIDOS, PUERTO, SteeringFixture, make_route, make_target
from tests.traffic.scripted_target import ReceivedRequest, Script, ScriptedTarget
from tests.traffic.test_forwarder import ForwarderHarness, ok

_SECONDS = 3.0
_COOLDOWN = TargetReport(cooldown_s=_SECONDS)


class SteeringTest(unittest.TestCase):
    """Three targets, two of them in a cooldown of three seconds."""

    def setUp(self) -> None:
        self.cooldown_targets = [make_target(number, born=1000) for number in (1, 2)]
        self.spare = make_target(3, born=1000)
        self.steered = SteeringFixture(*self.cooldown_targets, self.spare)
        for target in self.cooldown_targets:
            self.report(target, _COOLDOWN)

    def report(self, target: Target, report: TargetReport) -> None:
        self.steered.targets.reports.record(self.state_of(target), report, 0.0)

    def state_of(self, target: Target) -> TargetState:
        return self.steered.targets.by_id[target.target_id]

    def chosen(self, **options: t.Any) -> t.Set[str]:
        """Ids of the targets that are chosen for some objects."""
        ids = set()
        for number in range(40):
            key = b"%d" % number
            reservation = self.steered.steering.choose(make_route(), PEDIDOS, key, (), **options)
            reservation.release()
            ids.add(str(reservation.state.target.target_id))
        return ids

    def refusal(self, tried: t.Collection[TargetId] = ()) -> RefusedError:
        with self.assertRaises(RefusedError) as caught:
            self.steered.steering.choose(make_route(), PEDIDOS, b"x", tried)
        return caught.exception

    def test_others_are_used_until_its_end(self) -> None:
        self.assertEqual({"t3"}, self.chosen())
        self.steered.clock.advance(_SECONDS - 0.01)
        self.assertEqual({"t3"}, self.chosen())
        self.steered.clock.advance(0.01)
        self.assertEqual({"t1", "t2", "t3"}, self.chosen())

    @parameterized.expand(
        [
            ("its row is written again", [{"cold_s": 0.5}], False),
            ("its row vanishes and returns", [None, {}], False),
            ("a new lifetime under its id", [{"born": 2000}], True),
            ("a new lifetime at its address", [{"target_id": TargetId("t9")}], True),
        ]
    )
    def test_after_its_row_changed(
        self, _name: str, rows: t.Sequence[t.Optional[t.Dict[str, t.Any]]], used: bool
    ) -> None:
        for changes in rows:
            row = (
                []
                if changes is None
                else [msgspec.structs.replace(self.cooldown_targets[0], **changes)]
            )
            self.steered.set_targets(self.spare, *row)
            self.steered.clock.advance(1.0)
            self.steered.targets.reports.tick(self.steered.targets.by_id)
        self.assertEqual(used, bool(self.chosen() - {"t3"}))

    def test_ejected_targets_are_preferred_to_those_in_a_cooldown(self) -> None:
        state = self.state_of(self.spare)
        state.record_failure(reached=False)
        self.assertFalse(state.is_usable())
        self.assertEqual({"t3"}, self.chosen())

    def test_a_target_in_a_cooldown_does_not_count_as_shedding_at_random(self) -> None:
        state = self.state_of(self.cooldown_targets[0])
        state.record_success()
        self.assertFalse(state.sheds_at_random())

    def test_it_counts_as_cooling_down(self) -> None:
        counts = self.steered.targets.count_by_state()
        self.assertEqual((2, 1), (counts["cooldown"], counts["usable"]))

    @parameterized.expand(
        [
            # time of the rejection, seconds until the retry
            ("at the start", 0.0, 3.0),
            ("in the middle", 1.5, 1.5 + 0.75),
            ("near the end", 2.8, 0.2 + 1.4),
        ]
    )
    def test_if_all_are_in_a_cooldown_callers_retry_in_order_after_its_end(
        self, _name: str, at_s: float, retry_after_s: float
    ) -> None:
        self.report(self.spare, _COOLDOWN)
        self.steered.clock.advance(at_s)
        refusal = self.refusal()
        self.assertEqual("cooldown", refusal.fields["reason"])
        self.assertAlmostEqual(retry_after_s, refusal.retry_after)

    def test_retries_are_spread_after_the_end(self) -> None:
        """Guards against a thundering herd: callers that arrive evenly also retry evenly."""
        self.report(self.spare, _COOLDOWN)
        end = self.steered.clock.now + _SECONDS
        returns = []
        for _ in range(299):
            returns.append(self.steered.clock.now + self.refusal().retry_after)
            self.steered.clock.advance(0.01)
        self.assertGreaterEqual(min(returns), end)
        for window in range(30):
            since = end + 0.1 * window
            count = len([at for at in returns if since <= at < since + 0.1])
            self.assertLessEqual(count, 21)

    def test_the_first_end_counts(self) -> None:
        self.report(self.spare, TargetReport(cooldown_s=1.0))
        self.assertAlmostEqual(1.0, self.refusal().retry_after)

    def test_a_short_cooldown_does_not_undercut_the_minimum_retry_time(self) -> None:
        self.report(self.spare, TargetReport(cooldown_s=0.01))
        self.assertAlmostEqual(defaults.STEER_RETRY_AFTER_S, self.refusal().retry_after)

    def test_one_that_was_tried_may_serve_the_next_attempt(self) -> None:
        refusal = self.refusal(tried=(self.spare.target_id,))
        self.assertEqual(
            ("no-target", defaults.STEER_RETRY_AFTER_S),
            (refusal.fields["reason"], refusal.retry_after),
        )

    def test_a_cooldown_and_a_limit(self) -> None:
        """The target with a rate limit has a token before the cooldowns of the others end."""
        reports = self.steered.targets.reports
        reports.limits.record_answer(self.spare, 2.0, 0.0)
        reports.limits.mark_exhausted(self.spare, 0.5)
        refusal = self.refusal()
        self.assertEqual("cooldown", refusal.fields["reason"])
        self.assertAlmostEqual(0.5, refusal.retry_after)

    @parameterized.expand(
        [
            ("others have room", frozenset(), False, 0.02),
            ("others are elsewhere than it may go", frozenset({COSTA}), False, 3.0),
            ("all cool down", frozenset(), True, 3.0),
        ]
    )
    def test_when_a_rejected_caller_may_retry(
        self, _name: str, regions: t.FrozenSet[t.Any], all_cooling: bool, retry_after_s: float
    ) -> None:
        state = self.state_of(self.cooldown_targets[0])
        if all_cooling:
            self.report(self.spare, _COOLDOWN)
        if regions:
            far = make_target(1, born=1000, zone=PUERTO)
            self.steered.set_targets(far, self.spare)
            state = self.state_of(far)
            self.report(far, _COOLDOWN)
        found = self.steered.steering.retry_after_s(state, PEDIDOS, regions)
        self.assertAlmostEqual(retry_after_s, found)


def rejecting(seconds: str, **fields: str) -> Script:
    """A target that rejects every request and names a cooldown."""

    async def script(received: ReceivedRequest) -> None:
        headers = {"x_not_executed": "1", "x_response_signature": "", **fields}
        await received.answer(503, b"", **headers, retry_after=seconds)

    return script


async def rejects_within_its_answer(received: ReceivedRequest) -> None:
    await received.answer(503, length=100, x_response_signature="", retry_after="3")
    received.close()


async def rejects_another(received: ReceivedRequest) -> None:
    await received.answer(503, x_request_id="somebody-else", retry_after="3")


async def rejects_another_s_address(received: ReceivedRequest) -> None:
    await received.answer(421, x_response_signature="", retry_after="3")


async def fails(received: ReceivedRequest) -> None:
    await received.answer(500, retry_after="3")


Seen = t.Tuple[t.List[Reply], t.List[int]]


def play(kind: str, *scripts: Script, count: int = 4) -> Seen:
    """Forwards requests one after the other, whose first candidate is the first target."""

    async def main() -> Seen:
        targets = [ScriptedTarget(script) for script in scripts]
        for target in targets:
            await target.__aenter__()
        harness = ForwarderHarness([target.address for target in targets])
        requests = [harness.request(kind, number, first="t0") for number in range(count)]
        replies = [await harness.forward(request) for request in requests]
        harness.pool.close()
        for target in targets:
            await target.__aexit__()
        return replies, [len(target.received) for target in targets]

    return asyncio.run(main())


def retry_after(reply: Reply) -> t.Optional[float]:
    values = [float(value) for name, value in reply.headers if name == b"retry-after"]
    return values[0] if values else None


class ForwardingTest(unittest.TestCase):
    @parameterized.expand(
        [
            # script of the first target, kind of request, statuses, requests at each target
            ("proved", rejecting("3"), "unsafe", [200] * 4, [1, 4]),
            ("proved, of a read", rejecting("3"), "safe", [200] * 4, [1, 4]),
            ("a fraction", rejecting("2.5"), "unsafe", [200] * 4, [1, 4]),
            ("unproved", rejecting("3", x_not_executed=""), "unsafe", [502] + [200] * 3, [1, 3]),
            ("unproved, of a read", rejecting("3", x_not_executed=""), "safe", [200] * 4, [1, 4]),
            ("cut off", rejects_within_its_answer, "unsafe", [502] + [200] * 3, [1, 3]),
            ("for another request", rejects_another, "unsafe", [502] + [200] * 3, [1, 3]),
            ("nonsense", rejecting("soon"), "unsafe", [200] * 4, [4, 4]),
            ("no time", rejecting("0"), "unsafe", [200] * 4, [4, 4]),
            ("with a failure of its own", fails, "unsafe", [500] * 4, [4, 0]),
        ]
    )
    def test_after_a_rejection_others_serve(
        self, _name: str, script: Script, kind: str, statuses: t.List[int], arrivals: t.List[int]
    ) -> None:
        replies, arrived = play(kind, script, ok)
        self.assertEqual((statuses, arrivals), ([reply.status for reply in replies], arrived))

    @parameterized.expand([("safe",), ("unsafe",), ("upload",)])
    def test_if_all_cool_down_requests_are_rejected_at_once_with_a_time_that_holds(
        self, kind: str
    ) -> None:
        replies, arrived = play(kind, rejecting("3"), rejecting("3"))
        self.assertEqual([1, 1], arrived)
        self.assertEqual([503] * 4, [reply.status for reply in replies])
        for reply in replies:
            self.assertAlmostEqual(3.0, retry_after(reply) or 0.0, delta=0.5)

    def test_another_server_at_the_address_starts_no_cooldown(self) -> None:
        async def main() -> float:
            async with ScriptedTarget(rejects_another_s_address) as target:
                harness = ForwarderHarness([target.address])
                state = harness.targets.by_id[TargetId("t0")]
                await harness.forward(harness.request("unsafe"))
                harness.pool.close()
                return state.cooldown_s()

        self.assertEqual(0.0, asyncio.run(main()))
