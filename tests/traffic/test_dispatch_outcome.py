"""Tests of what a dispatcher is told of attempts that failed."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall.exceptions import TargetNotRunError, TargetTimeoutError, TargetUnknownError
from coralfall.placement.dispatch import AttemptOutcome
from coralfall.traffic.dispatch_outcome import outcome_of
from coralfall.traffic.target_connections import NO_PATH


class OutcomeTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("refused", TargetNotRunError, "connect", AttemptOutcome.CONNECTION_REFUSED),
            ("the path is lost", TargetNotRunError, NO_PATH, AttemptOutcome.CANCELLED),
            ("broken", TargetUnknownError, "broken", AttemptOutcome.BROKEN),
            ("lost on the way", TargetUnknownError, NO_PATH, AttemptOutcome.CANCELLED),
            ("no answer", TargetTimeoutError, "time", AttemptOutcome.TIMED_OUT),
            ("no answer by another entry", TargetTimeoutError, NO_PATH, AttemptOutcome.CANCELLED),
        ]
    )
    def test_what_says_nothing_about_the_target_is_not_told(
        self, _name: str, kind: t.Type[t.Any], reason: str, outcome: AttemptOutcome
    ) -> None:
        self.assertIs(outcome, outcome_of(kind("failed", reason=reason, refused=True)))
