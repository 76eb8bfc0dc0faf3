"""Tests of retries and hedges, on virtual time over targets that are a table."""

import asyncio
import enum
import typing as t
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from coralfall import defaults
from coralfall.balancing.steering import AttemptResult, Reservation
from coralfall.exceptions import SlotLostError, TargetNotRunError, TargetUnknownError
from coralfall.forwarding.answer import Answer
from coralfall.forwarding.carrier import Carrier, Delivery
from coralfall.forwarding.hedge import Hedge
from coralfall.forwarding.request import CallerRequest
from coralfall.forwarding.retry import HEDGE_MIN_COUNT
from coralfall.ids import Outcome
from coralfall.process.clock import Clock
from tests import loopback
from tests.virtual_loop import LoopClock, run_virtual

#: Latency of the reads that come before, and so the time after which a hedge is made.
USUAL_S = 0.020
#: Reads that must have passed before hedges are made.
WARM_UP = 2 * HEDGE_MIN_COUNT


class Fate(enum.Enum):
    """What becomes of an attempt."""

    ANSWER = "answer"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Plan(t.NamedTuple):
    """What one target does."""

    seconds: float
    fate: Fate = Fate.ANSWER


class PlannedExchange:
    """A whole answer that names its target."""

    status = 200
    headers = ()
    whole = True
    bodied = True
    length = 1

    def __init__(self, name: str) -> None:
        self._name = name

    async def read(self, most: int) -> bytes:
        return self._name.encode()


class AbortedStream:
    """A long answer of which nothing is read."""

    aborted = False

    async def piece(self) -> bytes:
        raise AssertionError("not to be read")

    def abort(self) -> None:
        self.aborted = True


class PlannedUpstream:
    """Does what is planned for each target and keeps the reservations as an upstream does."""

    def __init__(self, steering: loopback.LineSteering, plans: t.Mapping[str, Plan]) -> None:
        self.steering = steering
        self.plans = plans
        self.attempts: t.List[str] = []
        #: Attempts whose slot is lost before anything is sent.
        self.lost_left = 0

    def lose(self, count: int) -> None:
        self.lost_left = count

    async def exchange(
        self, reservation: Reservation, request: t.Any, deadline: float
    ) -> PlannedExchange:
        if self.lost_left:
            self.lost_left -= 1
            self.steering.finish(reservation, AttemptResult.CANCELLED, 0.0, None)
            self.steering.release(reservation)
            raise SlotLostError("planned", 1.0)
        plan = self.plans[reservation.address]
        self.attempts.append(reservation.address)
        result = AttemptResult.CANCELLED
        try:
            await asyncio.sleep(plan.seconds)
            result = AttemptResult.FAILED
            if plan.fate is Fate.NOT_RUN:
                raise TargetNotRunError("planned")
            if plan.fate is Fate.UNKNOWN:
                raise TargetUnknownError("planned")
            result = AttemptResult.ANSWERED
            return PlannedExchange(reservation.address)
        finally:
            self.steering.finish(reservation, result, plan.seconds, None)
            self.steering.release(reservation)


class Fleet:
    """A carrier over planned targets, that has seen enough reads to make hedges."""

    def __init__(
        self, clock: Clock, retries: int, plans: t.Mapping[str, Plan], seen: int = WARM_UP
    ) -> None:
        self.steering = loopback.LineSteering(list(plans), loopback.service())
        self.upstream = PlannedUpstream(self.steering, plans)
        self.budget = loopback.CountedBudget(retries)
        upstream: t.Any = self.upstream
        self.stop_admission = loopback.make_stop_admission(clock)
        self.carrier = Carrier(
            self.steering, upstream, lambda: self.budget, self.stop_admission, clock
        )
        self.clock = clock
        for _ in range(seen):
            self.carrier.latency_of(loopback.PARTNER, loopback.SERVICE).record(USUAL_S)

    async def carry(self, method: str = "GET") -> str:
        request = CallerRequest(loopback.PARTNER, loopback.SERVICE, method, "/x", [])
        delivery = Delivery(request, self.clock.monotonic() + 60.0)
        try:
            return (await self.carrier.carry(delivery)).body.decode()
        except (TargetNotRunError, TargetUnknownError) as error:
            return error.code


FAST = Plan(USUAL_S / 2)
SLOW = Plan(USUAL_S * 5)
STUCK = Plan(50.0)


class TestHedges(unittest.TestCase):
    """A slow read is answered by whichever target is first."""

    @parameterized.expand(
        [
            ("first_is_fast", FAST, FAST, 9, "GET", "a", ["a"]),
            ("first_is_stuck", STUCK, FAST, 9, "GET", "b", ["a", "b"]),
            ("first_wins_late", SLOW, STUCK, 9, "GET", "a", ["a", "b"]),
            ("no_budget", SLOW, FAST, 0, "GET", "a", ["a"]),
            ("command", SLOW, FAST, 9, "POST", "a", ["a"]),
            (
                "first_fails_late",
                Plan(USUAL_S * 5, Fate.UNKNOWN),
                SLOW,
                9,
                "GET",
                "b",
                ["a", "b"],
            ),
            ("second_fails", SLOW, Plan(0.0, Fate.NOT_RUN), 9, "GET", "a", ["a", "b"]),
            (
                "both_fail",
                Plan(USUAL_S * 5, Fate.UNKNOWN),
                Plan(0.0, Fate.NOT_RUN),
                9,
                "GET",
                "refused",
                ["a", "b"],
            ),
        ]
    )
    def test_race(
        self,
        _: str,
        first: Plan,
        second: Plan,
        retries: int,
        method: str,
        answer: str,
        attempts: t.List[str],
    ) -> None:
        async def main(clock: LoopClock) -> None:
            fleet = Fleet(clock, retries, {"a": first, "b": second})
            expected = "target-unknown" if answer == "refused" else answer
            self.assertEqual(await fleet.carry(method), expected)
            await asyncio.sleep(1.0)
            self.assertEqual(fleet.upstream.attempts, attempts)
            self.assertEqual(fleet.steering.in_use, 0)

        run_virtual(main)

    def test_slot_that_is_lost_before_the_send_is_replaced(self) -> None:
        """Guards against a refusal for a loan that ended between the choice and the send."""

        async def main(clock: LoopClock) -> None:
            for lost, answer in ((1, "a"), (defaults.MAX_ATTEMPTS, None)):
                fleet = Fleet(clock, 0, {"a": FAST})
                fleet.upstream.lose(lost)
                if answer is None:
                    with self.assertRaises(SlotLostError):
                        await fleet.carry("POST")
                else:
                    self.assertEqual(await fleet.carry("POST"), answer)
                self.assertEqual((fleet.steering.in_use, fleet.upstream.lost_left), (0, 0))

        run_virtual(main)

    @parameterized.expand([("goes_on", False, ["a", "b"]), ("stops", True, ["a"])])
    def test_no_hedge_that_would_outlast_the_process(
        self, _: str, stops: bool, attempts: t.List[str]
    ) -> None:
        async def main(clock: LoopClock) -> None:
            fleet = Fleet(clock, 9, {"a": SLOW, "b": STUCK})
            if stops:
                begin = fleet.stop_admission.shutdown.begin_now
                asyncio.get_running_loop().call_later(USUAL_S / 2, begin)
            self.assertEqual(await fleet.carry(), "a")
            self.assertEqual(fleet.upstream.attempts, attempts)

        run_virtual(main)

    def test_no_hedge_while_waiting_for_a_slot(self) -> None:
        async def main(clock: LoopClock) -> None:
            fleet = Fleet(clock, 9, {"a": FAST, "b": FAST})
            fleet.steering.wait_s = USUAL_S * 5
            self.assertEqual(await fleet.carry(), "a")
            self.assertEqual(fleet.budget.retries, 9)

        run_virtual(main)

    def test_caller_that_leaves_as_the_second_answers(self) -> None:
        async def main(clock: LoopClock) -> t.Optional[Answer]:
            task = asyncio.current_task()
            assert task is not None

            async def second() -> Answer:
                task.cancel()
                return Answer(200, [], b"", Outcome.DONE, stream=stream)

            hedge = Hedge(0.0, lambda: True, second)
            try:
                await asyncio.sleep(1.0)
            except asyncio.CancelledError:
                return hedge.accept()
            raise AssertionError("nobody cancelled")

        stream = AbortedStream()
        self.assertIsNone(run_virtual(main))
        self.assertTrue(stream.aborted)

    def test_no_hedge_before_enough_is_known(self) -> None:
        async def main(clock: LoopClock) -> None:
            fleet = Fleet(clock, 9, {"a": SLOW, "b": FAST}, HEDGE_MIN_COUNT - 1)
            self.assertEqual(await fleet.carry(), "a")
            self.assertEqual(fleet.upstream.attempts, ["a"])

        run_virtual(main)


PLANS = st.builds(
    Plan,
    st.integers(0, 6).map(lambda steps: steps * USUAL_S / 2),
    st.sampled_from(Fate),
)


class TestInterleavings(unittest.TestCase):
    """Whatever comes first, one answer is given and nothing stays behind."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        plans=st.tuples(PLANS, PLANS, PLANS),
        retries=st.integers(0, 3),
        leaves_after=st.one_of(st.none(), st.integers(0, 8)),
    )
    def test_race(
        self, plans: t.Sequence[Plan], retries: int, leaves_after: t.Optional[int]
    ) -> None:
        async def main(clock: LoopClock) -> None:
            fleet = Fleet(clock, retries, dict(zip("abc", plans, strict=True)))
            task = asyncio.ensure_future(fleet.carry())
            cancelled: t.List[bool] = []
            if leaves_after is not None:
                loop = asyncio.get_running_loop()
                leave = leaves_after * USUAL_S / 2
                loop.call_later(leave, lambda: cancelled.append(task.cancel()))
            await asyncio.wait((task,))
            self.assertEqual(task.cancelled(), cancelled == [True])
            await asyncio.sleep(1.0)
            self.check(fleet, task, retries)

        run_virtual(main)

    def check(self, fleet: Fleet, task: "asyncio.Task[str]", retries: int) -> None:
        attempts = fleet.upstream.attempts
        self.assertEqual(fleet.steering.in_use, 0)
        self.assertEqual(len(fleet.steering.results), len(attempts))
        self.assertEqual(len(set(attempts)), len(attempts))
        self.assertLessEqual(len(attempts), 1 + retries)
        self.assertEqual(len(asyncio.all_tasks()), 1)
        if task.cancelled():
            return
        self.assertEqual(task.cancelling(), 0)
        answer = task.result()
        fates = [fleet.upstream.plans[address].fate for address in attempts]
        if answer in attempts:
            self.assertIs(fleet.upstream.plans[answer].fate, Fate.ANSWER)
        elif answer == TargetNotRunError.code:
            self.assertEqual(set(fates), {Fate.NOT_RUN})
        else:
            self.assertIn(Fate.UNKNOWN, fates)


if __name__ == "__main__":
    unittest.main()
