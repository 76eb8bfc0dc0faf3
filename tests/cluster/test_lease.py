"""Leases: what keeps one alive, and that a pause ends it."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall.cluster.lease import Lease, LeaseState
from coralfall.process.clock import ManualClock
from coralfall.settings import LeaseSettings

HELD, LAPSED, FROZEN = LeaseState.HELD, LeaseState.LAPSED, LeaseState.FROZEN
TTL_S = 6.0

#: Name; events as (what, time it refers to, time it is taken in); time asked; state.  Where the
#: name says "paused", nothing is asked in between.
TABLE: t.List[t.Tuple[str, t.List[t.Tuple[str, float, float]], float, LeaseState]] = [
    ("never_renewed", [], 0, LAPSED),
    ("never_renewed_freezes_not", [("fail", 1, 1), ("peer", 1, 1)], 1, LAPSED),
    ("held", [("renew", 0, 1)], 5.9, HELD),
    ("counts_from_sending", [("renew", 0, 5)], 6.1, LAPSED),
    ("answer_after_the_lapse", [("renew", 0, 7)], 7, LAPSED),
    ("late_answer_takes_nothing_back", [("renew", 3, 4), ("renew", 0, 5)], 8.9, HELD),
    ("outage", [("renew", 0, 0), ("fail", 4, 5), ("peer", 5, 5)], 6, FROZEN),
    ("outage_without_peer", [("renew", 0, 0), ("fail", 4, 5)], 6, LAPSED),
    ("peer_without_failure", [("renew", 0, 0), ("peer", 5, 5)], 6, LAPSED),
    ("failure_before_renewal", [("fail", 1, 2), ("renew", 2, 3), ("peer", 7, 7)], 9, LAPSED),
    ("peer_counts_for_ttl", [("renew", 0, 0), ("fail", 7, 8), ("peer", 5, 9)], 10.9, FROZEN),
    ("peer_from_beginning", [("renew", 0, 0), ("fail", 7, 8), ("peer", 5, 9)], 11.1, LAPSED),
    ("failure_goes_stale", [("renew", 0, 0), ("fail", 4, 5), ("peer", 16, 16)], 16.1, LAPSED),
    ("alone", [("renew", 0, 0), ("alone", 0, 0), ("fail", 7, 7)], 8, FROZEN),
    ("alone_and_paused", [("renew", 0, 0), ("alone", 0, 0), ("fail", 7, 7)], 99, LAPSED),
    ("paused_while_held", [("renew", 0, 0)], 99, LAPSED),
    ("paused_while_frozen", [("renew", 0, 0), ("fail", 5, 5), ("peer", 5, 5)], 99, LAPSED),
    ("paused_mid_exchange", [("renew", 0, 0), ("fail", 5, 99), ("peer", 5, 99)], 99, LAPSED),
    ("paused_then_peer", [("renew", 0, 0), ("fail", 1, 1), ("peer", 8, 8)], 8, LAPSED),
    ("paused_mid_call", [("renew", 0, 0), ("fail", 1, 8), ("peer", 8, 8)], 8, LAPSED),
    ("paused_then_failure", [("renew", 0, 0), ("peer", 8, 8), ("fail", 8, 9)], 9, FROZEN),
    ("busy_then_peer", [("renew", 0, 0), ("fail", 1, 1), ("peer", 8, 8)], 8, FROZEN),
    ("renewed_after_frozen", [("renew", 0, 0), ("fail", 5, 5), ("renew", 20, 21)], 25, HELD),
    ("removed", [("renew", 0, 0), ("removed", 1, 1)], 1, LAPSED),
    ("removed_for_good", [("removed", 1, 1), ("renew", 2, 2), ("peer", 2, 2)], 2, LAPSED),
]


class LeaseTest(unittest.TestCase):
    @parameterized.expand(TABLE)
    def test_state(
        self,
        name: str,
        events: t.List[t.Tuple[str, float, float]],
        asked_at: float,
        expected: LeaseState,
    ) -> None:
        clock = ManualClock()
        lease = Lease(LeaseSettings(ttl_s=TTL_S), clock)
        take: t.Dict[str, t.Callable[[float], None]] = {
            "renew": lease.renewed,
            "fail": lease.platform_failed,
            "peer": lease.peer_confirmed,
            "alone": lambda _at: lease.set_alone(True),
            "removed": lambda _at: lease.removed(),
        }
        for what, refers_to, taken_in_at in [*events, ("ask", 0, asked_at)]:
            while clock.now + 1 < taken_in_at and "paused" not in name:
                clock.advance(1)
                lease.state()
            clock.now = taken_in_at
            if what != "ask":
                take[what](refers_to)
        self.assertIs(lease.state(), expected)
        self.assertEqual(lease.may_dispatch(), expected is not LAPSED)

    def test_remaining_ends_with_the_lease(self) -> None:
        clock = ManualClock()
        lease = Lease(LeaseSettings(ttl_s=TTL_S), clock)
        self.assertEqual(lease.remaining_s(), 0)
        lease.renewed(0)
        clock.now = 2
        self.assertEqual(lease.remaining_s(), 4)
        clock.now = 4
        lease.platform_failed(3)
        lease.peer_confirmed(3)
        self.assertEqual(lease.remaining_s(), 5)
        clock.now = 50
        self.assertEqual(lease.remaining_s(), 0)
