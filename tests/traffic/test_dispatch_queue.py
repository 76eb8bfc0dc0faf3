"""Tests of the queue of asks that wait for a slot of one target."""

import collections
import typing as t
import unittest

import hypothesis
import hypothesis.strategies as st
from parameterized import parameterized

from coralfall.ids import EntryId
from coralfall.placement.dispatch_queue import DispatchQueue, Waiter

_WORK_S = 0.3
_LATE = 1e6
Group = t.Tuple[int, int]
SPEC = st.tuples(st.integers(0, 3), st.integers(0, 3), st.floats(0.0, 3.0))
SPECS = st.lists(SPEC, max_size=40)


def make_waiter(
    number: int, level: int, tenant: int, until: float = _LATE, at: float = 0
) -> Waiter:
    return Waiter(EntryId("e"), number, level, tenant, _WORK_S, until, at)


def predicted_starts(waiters: t.Iterable[Waiter], slots: int) -> t.Dict[int, float]:
    """Seconds until the start of each waiter, found by emptying a queue that refuses none."""
    queue, waiters = DispatchQueue(100), list(waiters)
    # Ranks keep the order of times that differ by less than a sum with _LATE can tell.
    ranks = sorted({one.start_before for one in waiters})
    for one in waiters:
        until = _LATE + ranks.index(one.start_before)
        queue.add(one._replace(start_before=until), 0.0, 0.0, _WORK_S)
    order = [queue.pop(0.0) for _ in range(len(queue))]
    return {one.number: place * _WORK_S / slots for place, one in enumerate(order) if one}


class DispatchQueueTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("burst of twice the room", {(0, 1): 10.0, (0, 2): 10.0}, {(0, 1): 0.45}),
            ("tenant at six times its rate", {(0, 1): 18.0, (0, 2): 3.0}, {(0, 2): 1.0}),
            ("a third of the targets gone", {(0, 1): 5.0, (1, 1): 10.0}, {(0, 1): 1.0}),
            ("urgent overload", {(0, 1): 15.0, (2, 1): 1.0}, {(2, 1): 0.8, (0, 1): 0.55}),
        ]
    )
    def test_load(
        self, _name: str, rates: t.Dict[Group, float], least: t.Dict[Group, float]
    ) -> None:
        """Guards against idle slots, unfair shares and a starved level at three slots that serve
        ten requests a second, and against late refusals."""
        arrivals = [
            make_waiter(0, level, tenant, step / rate + 1.0, step / rate)
            for (level, tenant), rate in rates.items()
            for step in range(int(rate * 8.0))
        ]
        queue, free_at, now = DispatchQueue(3), [0.0] * 3, 0.0
        started: t.Counter[Group] = collections.Counter()
        waiters = sorted(arrivals, key=lambda one: one.queued_at)
        for number, waiter in enumerate([*waiters, None]):
            end = waiter.queued_at if waiter is not None else _LATE
            while len(queue) and max(now, min(free_at)) <= end:
                slot = free_at.index(min(free_at))
                now = max(now, free_at[slot])
                popped = queue.pop(now)
                assert popped is not None
                started[popped.level, popped.tenant] += 1
                free_at[slot] = now + _WORK_S
                for one in queue.refuse_useless(now, max(0.0, min(free_at) - now), _WORK_S):
                    self.assertGreaterEqual(one.start_before, now)
            if waiter is not None:
                now = end
                free_in_s = max(0.0, min(free_at) - now)
                queue.add(waiter._replace(number=number), now, free_in_s, _WORK_S)
        self.assertGreaterEqual(sum(started.values()), 80)
        for group, fraction in least.items():
            self.assertGreaterEqual(started[group] / (rates[group] * 8.0), fraction, group)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        st.lists(SPEC, min_size=24, max_size=50), st.lists(st.booleans(), max_size=60)
    )
    def test_more_urgent_first_except_one_in_ten(self, specs: t.Any, pops: t.List[bool]) -> None:
        """Guards against inverted priorities and against a starved less urgent level."""
        queue = DispatchQueue(20)
        waiting: t.List[int] = []
        turns: t.List[t.Tuple[int, bool, bool]] = []
        for pop in pops + [False] * len(specs) + [True] * len(specs):
            if not pop and specs:
                waiting.append(specs[0][0])
                queue.add(make_waiter(len(specs), *specs.pop(0)[:2]), 0.0, 0.0, _WORK_S)
            elif waiting and (popped := queue.pop(0.0)):
                top = min(waiting)
                turns.append((top, max(waiting) > top, popped.level > top))
                waiting.remove(popped.level)
        for end in range(10, len(turns) + 1):
            tops, choices, exceptions = zip(*turns[end - 10 : end], strict=True)
            self.assertLessEqual(sum(exceptions), 1)
            self.assertGreaterEqual(sum(exceptions), all(choices) and len(set(tops)) == 1)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(st.lists(st.integers(1, 10), min_size=2, max_size=4), st.integers(0, 30))
    def test_shares_are_max_min_fair(self, demands: t.List[int], pops: int) -> None:
        """Guards against a tenant that gets more because it asks for more, or was away before."""
        queue = DispatchQueue(20)
        for number in range(30):
            queue.add(make_waiter(number, 0, 0), 0.0, 0.0, _WORK_S)
        for _ in range(10):
            queue.pop(0.0)
        for tenant, demand in enumerate(demands, 1):
            for number in range(demand):
                queue.add(make_waiter(100 * tenant + number, 0, tenant), 0.0, 0.0, _WORK_S)
        popped = [queue.pop(0.0) for _ in range(min(pops, len(queue)))]
        got = collections.Counter([one.tenant for one in popped if one])
        for tenant, demand in enumerate([20, *demands]):
            self.assertGreaterEqual(got[tenant], min(demand, max(got.values(), default=1) - 1))

    @parameterized.expand(
        [
            ("tenant with the most", [(0, 1), (0, 1), (0, 1), (0, 2), (0, 2)], 2),
            ("least urgent", [(0, 1), (1, 1), (2, 1), (0, 1), (0, 1)], 2),
            ("not the longest waiting of the less urgent", [(1, 1)] + [(0, 1)] * 4, 4),
        ]
    )
    def test_refusal_by_a_full_queue(self, _name: str, groups: t.List[Group], refused: int) -> None:
        """Guards against a full queue that keeps out other tenants or a level altogether."""
        queue = DispatchQueue(1)
        waiters = [make_waiter(n, *group, at=n * 1e-3) for n, group in enumerate(groups)]
        results = [queue.add(waiter, 0.0, 0.0, _WORK_S) for waiter in waiters]
        self.assertEqual([waiters[refused]], results[-1])

    def test_order_of_one_tenant(self) -> None:
        """Guards against starts that are of no use, and starts of asks that were cancelled."""
        queue = DispatchQueue(4)
        for number, until in enumerate((9.0, 1.0, 6.0, 7.0, 8.0)):
            queue.add(make_waiter(number, 0, 0, until), 0.0, 0.0, _WORK_S)
        self.assertIsNotNone(queue.remove(EntryId("e"), 2))
        popped = [queue.pop(2.0) for _ in range(4)]
        self.assertEqual([3, 4, 0, None], [one and one.number for one in popped])

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(SPECS, st.integers(1, 4))
    @hypothesis.example([(0, 0, 1e-38), (0, 0, 0.0)], 1)
    def test_refusals(self, specs: t.Any, slots: int) -> None:
        """Guards against needless refusals, refusals in favour of the less urgent, and waiters
        that stay although they can't start in time."""
        queue = DispatchQueue(slots)
        staying: t.Dict[int, Waiter] = {}
        for number, (level, tenant, until) in enumerate(specs):
            last = make_waiter(number, level, tenant, _LATE, _LATE)
            starts = predicted_starts([*staying.values(), last], slots)
            self.assertAlmostEqual(starts[number], queue.wait_of(level, tenant, 0.0, _WORK_S))
            staying[number] = make_waiter(number, level, tenant, until, number * 1e-3)
            refused = queue.add(staying[number], 0.0, 0.0, _WORK_S)
            for one in refused:
                del staying[one.number]
            self.assertEqual(len(staying), len(queue))
            self.assertLessEqual(len(queue), 4 * slots)
            starts = predicted_starts(staying.values(), slots)
            for one in staying.values():
                self.assertLessEqual(starts[one.number], one.start_before + 1e-6)
            for one in refused:
                self._check_refusal(one, list(staying.values()), slots)
        queue.pop(1.5)
        queue.refuse_useless(1.5, 0.0, _WORK_S)
        for one in staying.values():
            if one.start_before < 1.5:
                self.assertIsNone(queue.remove(one.entry_id, one.number))

    def _check_refusal(self, one: Waiter, others: t.List[Waiter], slots: int) -> None:
        starts = predicted_starts([*others, one], slots)
        if len(others) < 4 * slots:
            self.assertGreater(starts[one.number], one.start_before)
        top = min(other.level for other in [*others, one])
        oldest = min([other.number for other in others if other.level > top], default=None)
        for other in others:
            # One of ten turns, and the place that waits for it, are the less urgent levels'.
            reserved = other.number == oldest or starts[other.number] < starts[one.number]
            if other.level > one.level and not reserved:
                without = predicted_starts([*(set(others) - {other}), one], slots)
                self.assertGreater(without[one.number], one.start_before)
