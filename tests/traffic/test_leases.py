"""Tests of the conditions under which a share may be leased to another owner."""

import asyncio
import typing as t
import unittest

from parameterized import parameterized

from coralfall.exceptions import PeerError, PeerTimeoutError, PeerUnreachableError
from coralfall.ids import EntryId, Incarnation
from coralfall.peering.messages import Hello
from coralfall.placement.buckets import Limit, LimitKey, LimitKind, TokenBuckets, slot_of
from coralfall.process.clock import ManualClock
from coralfall.traffic.leases import Leases
from coralfall.traffic.messages import PermitReply, PermitRequest
from coralfall.traffic.permits import LimitSource, Permits
from tests.traffic.makers import make_record
from tests.traffic.quota_fleet import FakeMembers, PeerAnswer
from tests.virtual_loop import LoopClock, run_virtual

KEY = LimitKey(LimitKind.TENANT, "acme")
SLOT = slot_of(KEY)
LIMIT = Limit(10.0, 10.0)
OWN, FIRST, SECOND = EntryId("e0"), EntryId("e1"), EntryId("e2")
LEASE_S = 2.0

Step = t.Tuple[str, float, EntryId]


class LeasesTest(unittest.TestCase):
    @parameterized.expand(
        [
            # steps (kind, seconds, owner), whether the share may be leased to the second owner
            ("never leased", [], True),
            ("leased to the first", [("lease", 2.0, FIRST)], False),
            ("leased to itself", [("lease", 2.0, SECOND)], True),
            ("almost over", [("lease", 2.0, FIRST), ("wait", 1.9, FIRST)], False),
            ("over", [("lease", 2.0, FIRST), ("wait", 2.0, FIRST)], True),
            (
                "renewed",
                [("lease", 2.0, FIRST), ("wait", 1.0, FIRST), ("lease", 3.0, FIRST)]
                + [("wait", 1.5, FIRST)],
                False,
            ),
            ("the first ended", [("lease", 2.0, FIRST), ("release", 0.0, FIRST)], True),
            ("another one ended", [("lease", 2.0, FIRST), ("release", 0.0, OWN)], False),
            ("kept here", [("keep", 0.0, OWN)], False),
            ("kept here long ago", [("keep", 0.0, OWN), ("wait", 2.0, OWN)], True),
        ]
    )
    def test_no_share_is_used_twice(
        self, _name: str, steps: t.Sequence[Step], expected: bool
    ) -> None:
        clock = ManualClock(0.0)
        members = t.cast(t.Any, FakeMembers(make_record(OWN)))
        leases = Leases(members, TokenBuckets(clock), clock)
        for kind, seconds, owner_id in steps:
            if kind == "lease":
                leases.lease([SLOT], owner_id, seconds)
            elif kind == "wait":
                clock.advance(seconds)
            elif kind == "release":
                leases.release(owner_id)
            else:
                leases.lease_to_self([SLOT])
        self.assertEqual(expected, leases.can_lease_to(SLOT, SECOND))


class OneLimit(LimitSource):
    """A source of one limit that is always in force."""

    def slots(self) -> t.Any:
        return [SLOT]

    def limit_of(self, key: LimitKey) -> Limit:
        return LIMIT


class FakeLinks:
    """Fake links to owners that reply, or fail with an error."""

    def __init__(self, clock: LoopClock) -> None:
        self._clock = clock
        self.error: t.Optional[PeerError] = None
        self.incarnation = Incarnation(1)
        self.closed = False
        #: Number of slots that each message leased.
        self.leased: t.List[t.Tuple[EntryId, int]] = []

    async def exchange(
        self, _address: str, message: PermitRequest, _type: t.Any, _timeout_s: float, owner: EntryId
    ) -> PeerAnswer:
        if self.error is not None:
            raise self.error
        self.leased.append((owner, sum([len(one.numbers) for one in message.slots])))
        reply = PermitReply(grants=(), now_s=self._clock.monotonic(), closed=self.closed)
        return PeerAnswer(Hello(entry_id=owner, incarnation=self.incarnation), reply)

    async def close(self) -> None:
        return


def refused() -> PeerError:
    error = PeerUnreachableError("refused")
    error.__cause__ = ConnectionRefusedError()
    return error


class OwnerTest(unittest.TestCase):
    """Tests of the evidence that an owner can't use a share any more."""

    @parameterized.expand(
        [
            # state of the lessee, seconds to wait, whether the share may be leased to another owner
            ("it replies", {}, 0.0, False),
            ("no reply in time", {"error": PeerTimeoutError("slow")}, 0.0, False),
            ("its machine can't be reached", {"error": PeerUnreachableError("cut")}, 0.0, False),
            ("no reply for a lease", {"error": PeerTimeoutError("slow")}, LEASE_S, True),
            ("nobody listens there", {"error": refused()}, 0.0, True),
            ("another lifetime replies", {"incarnation": Incarnation(2)}, 0.0, True),
            ("it counts no more", {"closed": True}, 0.0, True),
        ]
    )
    def test_evidence(
        self, _name: str, failure: t.Dict[str, t.Any], seconds: float, expected: bool
    ) -> None:
        async def main(clock: LoopClock) -> bool:
            members = FakeMembers(make_record(OWN, link_mbps=0.0))
            owner = make_record(FIRST, link_mbps=9.0)
            members.merge_records([members.own_record, owner], 2)
            links = FakeLinks(clock)
            permits = Permits(
                t.cast(t.Any, members), t.cast(t.Any, links), TokenBuckets(clock), clock
            )
            permits.sources.append(OneLimit())
            # Fix the choice of the owner to which this entry leases.
            permits.owners.for_slot = lambda slot: [FIRST]  # type: ignore[method-assign]
            permits.owners.refresh()
            state = permits.owners.by_id[FIRST]
            for _ in range(2):
                await permits._exchange(state, permits._queue_of(FIRST))
            self.assertEqual([(FIRST, 0), (FIRST, 1)], links.leased)
            for name, value in failure.items():
                setattr(links, name, value)
            await permits._exchange(state, permits._queue_of(FIRST))
            await asyncio.sleep(seconds)
            return permits._leases.can_lease_to(SLOT, SECOND)

        self.assertEqual(expected, run_virtual(main))
