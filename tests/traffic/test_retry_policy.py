"""Tests of the decision on retries, and of the gate in front of each send."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall.exceptions import CoralfallError, TargetNotRunError, TargetUnknownError
from coralfall.placement.retry_budget import SharedRetryBudget
from coralfall.process.clock import ManualClock
from coralfall.traffic.model import RequestKind
from coralfall.traffic.retry_policy import RetryPolicy, RetryVerdict
from coralfall.traffic.settings import BoundSettings
from coralfall.traffic.steered_request import Attempt, SteeredRequest
from tests.traffic.makers import PEDIDOS, FixedShare, SteeringFixture, make_route, make_target

NOT_RUN = TargetNotRunError("rejected")
UNKNOWN = TargetUnknownError("broken")


class RetryPolicyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.steered = SteeringFixture(make_target(1, slots=100))

    def policy(self, tokens: int = 1, quarantined: bool = False) -> RetryPolicy:
        self.budget = SharedRetryBudget(BoundSettings(), FixedShare(tokens), self.clock)
        return RetryPolicy(self.budget, lambda request: quarantined, self.clock)

    def request(
        self, sends: int = 1, kind: RequestKind = RequestKind.SAFE, left_s: float = 1.0
    ) -> SteeredRequest:
        route = make_route(kind=kind, max_attempts=2)
        until = self.clock.now + left_s
        request = SteeredRequest(
            "GET", "/p/1", "a.example", [], None, route, PEDIDOS, "id", b"object", until
        )
        for _ in range(sends):
            self.send(request)
        return request

    def send(self, request: SteeredRequest) -> None:
        reservation = self.steered.steering.choose(make_route(), PEDIDOS, b"object", ())
        attempt = Attempt(reservation)
        attempt.sent = True
        request.attempts.append(attempt)

    @parameterized.expand(
        [
            ("rejected", {}, {}, NOT_RUN, RetryVerdict.ALLOWED),
            ("failed", {}, {}, UNKNOWN, RetryVerdict.ALLOWED),
            ("error of a target", {}, {}, None, RetryVerdict.ALLOWED),
            ("sent twice", {"sends": 2}, {}, NOT_RUN, RetryVerdict.ATTEMPTS),
            ("no time", {"left_s": 0.001}, {}, NOT_RUN, RetryVerdict.TIME),
            (
                "may have run",
                {"kind": RequestKind.UNSAFE},
                {},
                UNKNOWN,
                RetryVerdict.MAY_HAVE_RUN,
            ),
            ("command", {"kind": RequestKind.UNSAFE}, {}, NOT_RUN, RetryVerdict.ALLOWED),
            ("quarantined", {}, {"quarantined": True}, NOT_RUN, RetryVerdict.QUARANTINED),
            ("no token", {}, {"tokens": 0}, NOT_RUN, RetryVerdict.BUDGET),
        ]
    )
    def test_verdict(
        self,
        _name: str,
        request_fields: t.Dict[str, t.Any],
        policy_fields: t.Dict[str, t.Any],
        failure: t.Optional[CoralfallError],
        expected: RetryVerdict,
    ) -> None:
        request = self.request(**request_fields)
        allowed = self.policy(**policy_fields).may_retry(request, failure)
        self.assertEqual([expected], request.retry_verdicts)
        self.assertEqual(expected is RetryVerdict.ALLOWED, allowed)

    def test_any_send_beyond_the_first_spends_a_token(self) -> None:
        policy = self.policy(tokens=1)
        request = self.request(sends=0)
        self.assertTrue(policy.may_send(request))
        self.send(request)
        self.assertFalse(policy.may_send(request), "no retry was allowed")
        self.assertTrue(policy.may_retry(request, NOT_RUN))
        self.assertTrue(policy.may_send(request))
        self.send(request)
        self.assertFalse(policy.may_send(request))

    def test_token_of_a_retry_that_was_not_sent_is_given_back(self) -> None:
        policy = self.policy(tokens=1)
        first, second = self.request(), self.request()
        self.assertTrue(policy.may_retry(first, NOT_RUN))
        self.assertFalse(policy.may_retry(second, NOT_RUN))
        policy.release(first)
        self.assertTrue(policy.may_retry(second, NOT_RUN))

    def test_attempts_without_a_send_are_bounded(self) -> None:
        policy = self.policy(tokens=3)
        request = self.request(sends=0)
        allowed = [policy.may_retry(request, NOT_RUN) for _ in range(10)]
        self.assertEqual(3, sum(allowed))
