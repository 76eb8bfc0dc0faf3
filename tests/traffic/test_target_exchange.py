"""Tests of the last checks before a request is sent to a target."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall.exceptions import TargetNotRunError
from coralfall.placement.targets import COOLDOWN, WITHDRAWN
from coralfall.traffic.target_exchange import time_left_to_send
from tests.traffic.makers import NORTE, SteeringFixture, make_target


class LastCheckTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("sound", {}, 1.0, None),
            ("evacuated", {"evacuated": True}, 1.0, WITHDRAWN),
            ("in a cooldown", {"cooldown_s": 2.0}, 1.0, COOLDOWN),
            ("no time left", {}, 0.01, "late"),
        ]
    )
    def test_reasons(
        self, _name: str, trouble: t.Dict[str, t.Any], left_s: float, reason: t.Optional[str]
    ) -> None:
        fixture = SteeringFixture(make_target(1))
        (state,) = fixture.targets.by_id.values()
        if trouble.get("evacuated"):
            fixture.targets.evacuate(frozenset((NORTE,)))
        if cooldown_s := trouble.get("cooldown_s"):
            fixture.targets.reports.cooldowns.record(state.target, cooldown_s)
        deadline = fixture.clock.monotonic() + left_s
        if reason is None:
            found = time_left_to_send(fixture.targets, state, deadline, fixture.clock)
            self.assertAlmostEqual(left_s, found)
            return
        with self.assertRaises(TargetNotRunError) as caught:
            time_left_to_send(fixture.targets, state, deadline, fixture.clock)
        self.assertEqual(reason, caught.exception.fields["reason"])
