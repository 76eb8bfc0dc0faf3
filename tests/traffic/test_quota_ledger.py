"""Tests of the tokens that an owner grants from the shares that are leased to it."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall.exceptions import OverLimitError
from coralfall.ids import EntryId, Incarnation, TenantId
from coralfall.peering.messages import Hello
from coralfall.placement.buckets import (
    SLOT_COUNT,
    Limit,
    Slot,
    SlotGroup,
    TokenBuckets,
    group_by_region,
    slot_of,
)
from coralfall.placement.tenant_limits import limit_of, tenant_limit_key
from coralfall.process.clock import ManualClock
from coralfall.traffic.messages import PermitRequest, TokenRequest
from coralfall.traffic.permits import Permits
from coralfall.traffic.quotas import Quotas
from coralfall.traffic.reply import reply_from_error
from tests.traffic.makers import make_record, make_tenant
from tests.traffic.quota_fleet import (
    BOUNDS,
    STRICT_BOUNDS,
    FakeMembers,
    FakeStateView,
    max_allowed,
)

ACME = tenant_limit_key(TenantId("acme"))
ALL = [Slot(number) for number in range(SLOT_COUNT)]
LIMIT = Limit(rate_per_s=10.0, burst=20.0)


class Owner:
    """An owner on a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock(100.0)
        self.token_buckets = TokenBuckets(self.clock)

    def add_leases(self, lessors: int, seconds: float = 1000.0, of: int = 10) -> None:
        for number in range(lessors):
            self.token_buckets.add_lease(EntryId(f"e{number}"), ALL, 1 / of, seconds)

    def wait(self, seconds: float) -> None:
        """Advances the clock in steps with periodic maintenance."""
        until = self.clock.now + seconds
        while self.clock.now < until:
            self.clock.advance(min(0.1, until - self.clock.now))
            self.token_buckets.tick()

    def take(self, count: int = 1000, limit: Limit = LIMIT) -> int:
        return self.token_buckets.take(ACME, limit, count).count


class LimitTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("a second's requests on top", 20.0, 20.0),
            ("a large one", 2000.0, 2000.0),
            ("a small one", 1.0, 1.0),
            ("nothing on top", 20.0, 0.0),
            ("much on top", 2.0, 200.0),
            ("less than one request", 0.5, 0.1),
        ]
    )
    def test_it_is_owed_and_no_more_than_allowed(
        self, _name: str, rate: float, burst: float
    ) -> None:
        tenant = make_tenant(rate_per_s=rate, burst=burst)
        limit = limit_of(tenant, BOUNDS)
        self.assertGreaterEqual(limit.rate_per_s, rate)
        self.assertGreaterEqual(limit.burst, burst)
        most = limit.rate_per_s * BOUNDS.quota_window_s + limit.burst
        self.assertLess(most, max_allowed(tenant))

    @parameterized.expand([("some", 20.0, 20.0), ("large", 2000.0, 100.0)])
    def test_bounds_that_leave_nothing_beyond_it(
        self, _name: str, rate: float, burst: float
    ) -> None:
        limit = limit_of(make_tenant(rate_per_s=rate, burst=burst), STRICT_BOUNDS)
        self.assertAlmostEqual(rate, limit.rate_per_s)
        self.assertEqual(burst, limit.burst)


class TokenBucketsTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("at once", 10, 0.0, 0),
            ("after a second", 10, 1.0, 10),
            ("after long", 10, 60.0, 20),
            ("with half of the shares", 5, 1.0, 5),
            ("with half of the shares, after long", 5, 60.0, 10),
            ("with one share of ten", 1, 1.0, 1),
            ("with no share", 0, 60.0, 0),
        ]
    )
    def test_tokens_come_with_shares(
        self, _name: str, lessors: int, seconds: float, expected: int
    ) -> None:
        owner = Owner()
        owner.add_leases(lessors)
        owner.wait(seconds)
        self.assertEqual(expected, owner.take())

    @parameterized.expand(
        [
            ("nothing saved up", 0.0, 0, 0),
            ("less than what is reserved", 0.9, 0, 9),
            ("more than that", 1.5, 5, 15),
            ("a full bucket", 60.0, 10, 20),
        ]
    )
    def test_a_part_of_the_bucket_may_be_reserved(
        self, _name: str, seconds: float, others: int, all_tokens: int
    ) -> None:
        owner = Owner()
        owner.add_leases(10)
        owner.wait(seconds)
        self.assertEqual(others, owner.token_buckets.take(ACME, LIMIT, 1000, spare_only=True).count)
        self.assertEqual(all_tokens - others, owner.take())

    def test_wait_for_tokens_beyond_the_reserved_part(self) -> None:
        owner = Owner()
        owner.add_leases(10)
        owner.take(0)
        waits = [owner.token_buckets.take(ACME, LIMIT, 1, spare_only=True).wait_s for _ in range(3)]
        for wait in waits:
            self.assertAlmostEqual(1.1, wait)
        # Requests that may use the reserved part do not queue behind these.
        self.assertAlmostEqual(0.1, owner.token_buckets.take(ACME, LIMIT, 1).wait_s)

    def test_frequent_requests_do_not_change_the_rate(self) -> None:
        owner = Owner()
        owner.add_leases(10)
        granted = 0
        for _ in range(1000):
            owner.clock.advance(0.01)
            granted += owner.take()
        self.assertIn(granted, (99, 100))

    def test_a_lease_that_is_over_adds_nothing_more(self) -> None:
        owner = Owner()
        owner.add_leases(5, seconds=1.0)
        owner.wait(60.0)
        self.assertEqual(0, owner.take())

    @parameterized.expand([("one that asked before", 1, 4), ("one that did not", 0, 4)])
    def test_tokens_of_shares_that_ended_are_gone(
        self, _name: str, asked: int, expected: int
    ) -> None:
        owner = Owner()
        owner.add_leases(10)
        owner.wait(60.0)
        if asked:
            self.assertEqual(1, owner.take(1))
        for number in range(2, 10):
            owner.token_buckets.end_leases(EntryId(f"e{number}"))
        owner.add_leases(10)
        # A bucket with two of ten shares holds 20 x 0.2 tokens.
        self.assertEqual(expected, owner.take())

    def test_an_interrupted_lease_costs_few_tokens(self) -> None:
        owner = Owner()
        owner.add_leases(10)
        owner.wait(60.0)
        owner.token_buckets.end_leases(EntryId("e0"))
        owner.add_leases(10)
        self.assertEqual(18, owner.take())

    def test_unused_tokens_come_back(self) -> None:
        owner = Owner()
        owner.add_leases(10)
        owner.wait(60.0)
        self.assertEqual(20, owner.take())
        owner.token_buckets.return_tokens(ACME, 5)
        self.assertEqual(5, owner.take())
        owner.token_buckets.return_tokens(ACME, 500)
        self.assertEqual(20, owner.take())

    def test_a_lower_limit_binds_at_once(self) -> None:
        owner = Owner()
        owner.add_leases(10)
        owner.wait(60.0)
        self.assertEqual(1, owner.take(1))
        self.assertEqual(3, owner.take(limit=Limit(3.0, 3.0)))

    def test_rejected_requests_retry_one_after_the_other(self) -> None:
        owner = Owner()
        owner.add_leases(10)
        owner.take(0)
        waits = [owner.token_buckets.take(ACME, LIMIT, 1).wait_s for _ in range(4)]
        for wait, expected in zip(waits, (0.1, 0.2, 0.3, 0.4), strict=True):
            self.assertAlmostEqual(expected, wait)

    def test_idle_buckets_are_removed(self) -> None:
        owner = Owner()
        owner.add_leases(10)
        owner.wait(60.0)
        for number in range(100):
            owner.token_buckets.take(tenant_limit_key(TenantId(f"t{number}")), LIMIT, 1)
        shares = owner.token_buckets._shares.values()
        self.assertEqual(100, sum([len(one.buckets) for one in shares]))
        owner.wait(12.0)
        self.assertEqual(0, sum([len(one.buckets) for one in shares]))


class LeaseMessageTest(unittest.TestCase):
    """Which leases of a message count, depending on its age and its fields."""

    def grant(self, **changes: t.Any) -> t.Tuple[int, bool]:
        clock = ManualClock(100.0)
        own = make_record("e1", incarnation=Incarnation(7), **changes.pop("own", {}))
        token_buckets = TokenBuckets(clock)
        permits = Permits(
            t.cast(t.Any, FakeMembers(own)), t.cast(t.Any, None), token_buckets, clock
        )
        state_view = FakeStateView(make_tenant(rate_per_s=10.0, burst=20.0))
        permits.sources.append(Quotas(permits, t.cast(t.Any, state_view), BOUNDS, clock))
        peer = Hello(entry_id=EntryId("e2"), incarnation=Incarnation(1))
        lease_fields: t.Dict[str, t.Any] = {
            "wants": (),
            "slots": group_by_region([slot_of(ACME)]),
            "share": 1.0,
            "seconds": 1000.0,
            "answered_s": 100.0,
            "incarnation": Incarnation(7),
        }
        permits.handle_request(peer, PermitRequest(**{**lease_fields, **changes}))
        for _ in range(600):
            clock.advance(0.1)
            token_buckets.tick()
        want = TokenRequest(ACME, 50, 0, Limit(1.0, 1.0))
        answer = permits.handle_request(peer, PermitRequest(wants=(want,)))
        return answer.grants[0].count, answer.closed

    @parameterized.expand(
        [
            ("in time", {}, (23, False)),
            ("sent to an earlier lifetime", {"incarnation": Incarnation(6)}, (0, False)),
            ("never answered", {"incarnation": None}, (0, False)),
            ("so old that it is over", {"answered_s": -900.0}, (0, False)),
            ("from the future", {"answered_s": 101.0}, (0, False)),
            (
                "of slots that do not exist",
                {"slots": (SlotGroup(None, (SLOT_COUNT, -1)),)},
                (0, False),
            ),
        ]
    )
    def test_which_leases_count(
        self, _name: str, changes: t.Any, expected: t.Tuple[int, bool]
    ) -> None:
        self.assertEqual(expected, self.grant(**changes))

    def test_a_leaving_owner_grants_nothing_and_reports_it(self) -> None:
        state = make_record("x").state.__class__("leaving")
        self.assertEqual((0, True), self.grant(own={"state": state}))


class ReplyTest(unittest.TestCase):
    def test_429_states_when_to_retry(self) -> None:
        reply = reply_from_error(
            OverLimitError("over", 0.25, reason="over-limit", detail="e1:0:1:2")
        )
        self.assertEqual(
            (429, "over-limit", "e1:0:1:2"), (reply.status, reply.reason, reply.detail)
        )
        self.assertIn((b"retry-after", b"0.250"), reply.headers)
