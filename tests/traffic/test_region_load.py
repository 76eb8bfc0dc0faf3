"""Tests of the fraction of its objects that a region keeps, by the measured load of its targets."""

import math
import typing as t
import unittest
from unittest import mock

import hypothesis
import hypothesis.strategies as st
from parameterized import parameterized

from coralfall.placement.dispatch import LoadShare
from coralfall.placement.locality import RateLimitedFraction
from coralfall.placement.region_load import RegionLoad
from coralfall.process.clock import ManualClock
from coralfall.traffic.telemetry import Telemetry, update_gauges
from tests.traffic.makers import PEDIDOS, PUERTO, SteeringFixture, make_target, seeded_rng

KEY = (PEDIDOS, frozenset())
Demand = t.Callable[[float], t.Optional[float]]
#: Load up to which no queue lasts: the upper end of the range in which nothing moves.
CALM = 0.95
#: Load below which a region that was too busy has moved more objects than it had to: what it aims
#: at, less noise.
SHED = 0.7


def play(demand: Demand, seconds: int, remote: float) -> t.List[float]:
    """Fractions, 20 a second. The load is the demand for each slot times the fraction, reaches
    that with a delay of 0.5 s, and is reported once a second with the noise of 51 slots."""
    clock, rng = ManualClock(), seeded_rng()
    region_load, fraction = RegionLoad(clock), RateLimitedFraction(0.0, 0.5)
    region_load.remote_load = lambda _: LoadShare(remote, 1)
    load, fractions = 0.5 * (demand(0.0) or 0.0), []
    for number in range(seconds * 20):
        load += ((demand(clock.now) or 0.0) * fraction.value - load) / 10
        if number % 20 == 0:
            share = LoadShare(max(0.0, load + rng.gauss(0.0, 0.04)), 1)
            known = demand(clock.now) is not None
            region_load.service_load = mock.Mock(return_value=share if known else None)
        fractions.append(region_load.follow(KEY, fraction, 0.5, 0.05))
        clock.advance(0.05)
    return fractions


def wave(second: float) -> float:
    return 1.2 + 0.6 * math.sin(second / 5)


def burst(second: float) -> float:
    return 2.5 if 5 <= second < 10 else 1.2


class RegionLoadTest(unittest.TestCase):
    @parameterized.expand(
        [
            # load: need, demand, load of the other regions, seconds; range in the second half, and
            # the most that it moves there
            ("small region: no queues", lambda _: 3.0, 0, 40, SHED / 3, CALM / 3, 0.06),
            ("quiet: answers stay in the region", lambda _: 0.2, 0, 160, 0.95, 1, 0.05),
            # It keeps what would make it half busy, and takes no more than makes it as busy as
            # it aims at.
            ("rather quiet: objects come back", lambda _: 0.9, 0, 80, 0.5 / 0.9, 0.75 / 0.9, 0.06),
            ("half busy: no reloads", lambda _: 1.2, 0, 40, 0.5, 0.5, 0),
            ("busy: no reloads", lambda _: 1.8, 0, 40, 0.5, 0.5, 0),
            ("wave: few reloads", wave, 0, 120, 0.3, 1.15 / 1.8, 0.2),
            ("burst: few reloads", burst, 0, 10, 0.29, 0.5, 0.21),
            # Of targets that were as busy as a region aims at.
            ("a third of the targets gone", lambda _: 2.25, 0, 10, SHED / 2.25, CALM / 2.25, 0.07),
            ("unknown: equal demand", lambda _: None, 0, 10, 0.5, 0.5, 0),
            ("known, then unknown", lambda s: 2.0 if s < 10 else None, 0, 32, 0.5, 0.5, 0),
            (
                "unknown, then known",
                lambda s: 2.0 if s > 10 else None,
                *(0, 36, SHED / 2, CALM / 2, 0.08),
            ),
            ("flapping: few reloads", lambda s: 0.8 + 0.8 * (s % 2 >= 1), 0, 40, 0.5, 0.55, 0.05),
            ("all regions full: no exchange", lambda _: 3.0, 1.4, 20, 0.45, 0.5, 0.05),
            ("all regions busy: no exchange", lambda _: 2.2, 0.9, 20, 0.45, 0.5, 0.05),
            ("far too much: some caches stay in use", lambda _: 30.0, 0, 20, 0.1, 0.1, 0),
        ]
    )
    def test_fraction(
        self,
        _name: str,
        demand: Demand,
        remote: float,
        seconds: int,
        low: float,
        high: float,
        swing: float,
    ) -> None:
        """Guards against lasting queues, and against oscillation: each move reloads objects."""
        fractions = play(demand, seconds, remote)[seconds * 10 :]
        self.assertGreaterEqual(min(fractions), low - 1e-9)
        self.assertLessEqual(max(fractions), high + 1e-9)
        self.assertLessEqual(max(fractions) - min(fractions), swing + 1e-9)

    @parameterized.expand(
        [
            ("burst of 5 s, at its end", burst, 10, 1, CALM),
            # Targets are busy with 0.15 of a slot less than is counted.
            ("wave, at its peaks", wave, 120, 60 * 20, 1.15),
        ]
    )
    def test_no_queue(
        self, _name: str, demand: t.Any, seconds: int, count: int, most: float
    ) -> None:
        """Guards against objects that are moved too late, or taken back too soon."""
        fractions = play(demand, seconds, 0)
        loads = [demand(number / 20) * value for number, value in enumerate(fractions)]
        self.assertLessEqual(max(loads[-count:]), most)

    @hypothesis.given(
        st.lists(st.tuples(st.floats(0, 9), st.none() | st.floats(0, 5), st.floats(0, 1)))
    )
    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    def test_the_rate_is_bounded(self, calls: t.List[t.Tuple[float, t.Any, float]]) -> None:
        """More objects in 2 s would break the bound on requests that change regions."""
        clock, moves = ManualClock(), []
        region_load, fraction = RegionLoad(clock), RateLimitedFraction(0.0, 0.5)
        for pause_s, load, assumed in calls:
            previous, since = fraction.value, clock.now
            clock.advance(pause_s)
            share = None if load is None else LoadShare(load, 1)
            region_load.service_load = mock.Mock(return_value=share)
            moves.append((since, abs(region_load.follow(KEY, fraction, assumed, 0.05) - previous)))
            window = [moved for began, moved in moves if began >= clock.now - 2.0]
            self.assertLessEqual(max(sum(window), moves[-1][1]), 0.1 + 1e-9)

    def test_contended_services_alone_follow_the_load(self) -> None:
        """Guards the cost (a few goals a second), and that operators see what moved."""
        far = [make_target(100 + number, zone=PUERTO) for number in range(17)]
        steered = SteeringFixture(make_target(1), make_target(2), make_target(3), *far)
        rankings = steered.steering.rankings
        measure = mock.Mock(return_value=LoadShare(2.0, 1))
        rankings.region_load.service_load = measure
        before = rankings.local_fraction(*KEY)
        steered.clock.advance(2.0)
        self.assertEqual((before, 0), (rankings.local_fraction(*KEY), measure.call_count))
        rankings.region_load.is_contended = lambda service: service == PEDIDOS
        with mock.patch("coralfall.process.log.info") as info:
            for _ in range(300):
                steered.clock.advance(0.01)
                after = rankings.local_fraction(*KEY)
        self.assertAlmostEqual(before - 0.15, after, delta=0.01)
        self.assertLessEqual(measure.call_count, 13)
        self.assertEqual(["region.fraction"], [call.args[0] for call in info.call_args_list])
        telemetry = Telemetry()
        update_gauges(telemetry, mock.MagicMock(steering=steered.steering))
        self.assertIn(b'coralfall_local_fraction{service="pedidos"} 0.3', telemetry.render())

    def test_a_single_region_keeps_all(self) -> None:
        """Fractions that move nothing would mislead operators."""
        steered = SteeringFixture(make_target(1))
        rankings = steered.steering.rankings
        rankings.region_load.service_load = mock.Mock(return_value=LoadShare(9.0, 1))
        rankings.region_load.is_contended = mock.Mock(return_value=True)
        rankings.local_fraction(*KEY)
        steered.clock.advance(2.0)
        self.assertEqual(1.0, rankings.local_fraction(*KEY))
