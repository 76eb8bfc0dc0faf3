"""What an entry tells its peers, and what it does with their heartbeats and syncs."""

import asyncio
import typing as t
import unittest
import unittest.mock

from parameterized import parameterized

from coralfall.balancing.handover import Ack
from coralfall.bundles.bundle import Head, VersionRef
from coralfall.cluster.lease import LeaseState
from coralfall.ids import BundleVersion, Digest, EntryId, Incarnation, Revision, ServiceId
from coralfall.peering.messages import Heartbeat, Hello, SyncAnswer
from coralfall.process.clock import ManualClock
from coralfall.stores.memory_platform import MemoryPlatform
from coralfall.stores.store import Write
from tests.control_fleet import LEASE, make_still_node
from tests.members import make_member, put
from tests.operators import CALOR, COSECHA

PEER = Hello(entry_id=EntryId("b"), incarnation=Incarnation(4))
#: Roster revision of a node that has joined after its peer.
JOINED_AT = 2


def make_head(accepted: int, staged: int = 0, partner: str = COSECHA) -> Head:
    refs = {}
    for name, version in (("accepted", accepted), ("staged", staged)):
        if version:
            digest = Digest(f"{version:064x}")
            refs[name] = VersionRef(version=BundleVersion(version), digest=digest)
    return Head(partner=partner, **refs)


def make_heartbeat(roster: int = JOINED_AT, **changes: t.Any) -> Heartbeat:
    values = {"accepted": {}, "staged": {}, "platform_age_s": 0.0, "platform_now": 0.0}
    return Heartbeat(roster_revision=Revision(roster), **{**values, **changes})


class ConversationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(1000.0)
        self.platform = MemoryPlatform(self.clock).platform
        self.node = make_still_node(self.clock, self.platform)
        self.conversation = self.node.conversation

    def join(self) -> None:
        """Have the node join the roster that its peer is in."""
        asyncio.run(self._join())
        self.assertEqual(self.node.roster.revision, JOINED_AT)

    async def _join(self) -> None:
        row = put("b", 1, PEER.incarnation)
        await self.platform.table.transact([Write(row.key, row.value, Revision(0))])
        self.assertTrue(await self.node.membership.join(make_member("a")))

    def learn(self, head: Head) -> None:
        self.node.rollouts[COSECHA].learn_from_table(head, Revision(9))

    def told(self, heartbeat: Heartbeat, asked_at: t.Optional[float] = None) -> None:
        self.conversation.on_heartbeat(PEER, heartbeat, asked_at)


class HeartbeatTest(ConversationTest):
    @parameterized.expand(
        [
            ("no_head", make_head(0), {}, {}),
            ("accepted", make_head(3), {COSECHA: 3}, {COSECHA: 3}),
            ("both", make_head(3, 4), {COSECHA: 3}, {COSECHA: 4}),
            ("first_is_staged", make_head(0, 1), {}, {COSECHA: 1}),
        ]
    )
    def test_versions(
        self, _name: str, head: Head, accepted: t.Mapping[str, int], staged: t.Mapping[str, int]
    ) -> None:
        self.learn(head)
        heartbeat = self.conversation.heartbeat()
        self.assertEqual((heartbeat.accepted, heartbeat.staged), (accepted, staged))

    def test_platform_is_as_old_as_its_last_answer(self) -> None:
        self.assertEqual(self.conversation.heartbeat().platform_age_s, 1e9)
        self.join()
        self.clock.advance(3.0)
        heartbeat = self.conversation.heartbeat()
        self.assertEqual((heartbeat.platform_age_s, heartbeat.platform_now), (3.0, 1003.0))

    def test_roster_and_what_the_slots_have_of_it(self) -> None:
        self.join()
        heartbeat = self.conversation.heartbeat()
        self.assertEqual((heartbeat.roster_revision, heartbeat.acknowledged), (JOINED_AT, None))
        # The slots follow a moment later than the roster.
        self.node.roster.apply([put("c", 7)])
        heartbeat = self.conversation.heartbeat()
        self.assertEqual((heartbeat.roster_revision, heartbeat.acknowledged), (7, JOINED_AT))

    def test_idle_names_services_that_have_slots_to_lend(self) -> None:
        lendable = {ServiceId("catalogo"): 3, ServiceId("pedidos"): 0}
        self.conversation.services = lambda: lendable
        with unittest.mock.patch.object(self.node.lender, "lendable", lendable.get):
            self.assertEqual(self.conversation.heartbeat().idle, {"catalogo": 3})


class ConfirmationTest(ConversationTest):
    """A lease goes on as frozen by exchanges that show no newer roster than our own."""

    def silence(self) -> float:
        """Let the lease lapse with the platform out of reach; when that was found."""
        end = self.clock.now + LEASE.ttl_s + 0.5
        while self.clock.now < end:
            self.clock.advance(0.5)
            # A clock that is not looked at would be taken for a pause.
            self.node.lease.state()
        self.node.lease.platform_failed(self.clock.now)
        self.assertIs(self.node.lease.state(), LeaseState.LAPSED)
        return self.clock.now

    @parameterized.expand(
        [
            ("same_roster", JOINED_AT, 0.0, LeaseState.FROZEN),
            ("peer_is_behind", JOINED_AT - 1, 0.0, LeaseState.FROZEN),
            ("peer_is_ahead", JOINED_AT + 1, 0.0, LeaseState.LAPSED),
            ("peer_wrote_unasked", JOINED_AT, None, LeaseState.LAPSED),
            ("asked_too_long_ago", JOINED_AT, LEASE.ttl_s, LeaseState.LAPSED),
        ]
    )
    def test_member(
        self, _name: str, roster: int, age: t.Optional[float], state: LeaseState
    ) -> None:
        self.join()
        now = self.silence()
        self.told(make_heartbeat(roster), None if age is None else now - age)
        self.assertIs(self.node.lease.state(), state)

    @parameterized.expand(
        [
            ("still_listed", [make_member("a"), make_member("b")], True),
            ("removed", [make_member("b")], False),
            ("later_life", [make_member("a", 2), make_member("b")], False),
        ]
    )
    def test_only_this_life_as_a_member(
        self, _name: str, members: t.Sequence[t.Any], confirmed: bool
    ) -> None:
        self.join()
        now = self.silence()
        # The roster alone, without what the membership makes of it.
        self.node.roster.replace(members, Revision(7))
        with unittest.mock.patch.object(self.node.lease, "peer_confirmed") as confirm:
            self.told(make_heartbeat(7), now)
        self.assertEqual(confirm.mock_calls, [unittest.mock.call(now)] if confirmed else [])

    def test_not_before_the_entry_has_joined(self) -> None:
        self.node.roster.apply([put("a", 1)])
        with unittest.mock.patch.object(self.node.lease, "peer_confirmed") as confirm:
            self.told(make_heartbeat(1), self.clock.now)
        confirm.assert_not_called()


class TakeHeartbeatTest(ConversationTest):
    @parameterized.expand(
        [
            ("slots_as_the_roster", None, 7),
            ("slots_behind", Revision(5), 5),
            ("slots_at_none", Revision(0), 0),
        ]
    )
    def test_acknowledged(self, _name: str, stated: t.Optional[Revision], taken: int) -> None:
        heartbeat = make_heartbeat(7, acknowledged=stated, idle={"catalogo": 2})
        for asked_at in (None, self.clock.now):
            with (
                unittest.mock.patch.object(self.node.slots, "apply_acks") as take,
                unittest.mock.patch.object(self.node.borrower, "record_heartbeat") as heard,
            ):
                self.told(heartbeat, asked_at)
            take.assert_called_once_with([Ack(PEER.entry_id, PEER.incarnation, Revision(taken))])
            heard.assert_called_once_with(PEER.entry_id, {"catalogo": 2})

    @parameterized.expand([("unasked", None, 1002.0), ("asked", 1000.0, 5001.0)])
    def test_platform_time_of_a_peer(
        self, _name: str, asked_at: t.Optional[float], expected: float
    ) -> None:
        self.clock.advance(2.0)
        self.told(make_heartbeat(0, platform_now=5000.0), asked_at)
        self.assertEqual(self.node.membership.platform_clock.now(), expected)


class SyncTest(ConversationTest):
    @parameterized.expand(
        [
            ("older", make_head(2), False),
            ("same", make_head(3, 4), False),
            ("staged_is_older", make_head(3), False),
            ("newer_staged", make_head(3, 5), True),
            ("newer_accepted", make_head(4), True),
            ("other_partner", make_head(9, partner=CALOR), False),
        ]
    )
    def test_heads_only_rise(self, _name: str, told: Head, newer: bool) -> None:
        known = make_head(3, 4)
        self.learn(known)
        self.sync([told], roster=0)
        self.assertEqual(self.node.rollouts[COSECHA].head, told if newer else known)
        self.assertEqual(self.node.control.news.is_set(), newer)

    @parameterized.expand(
        [
            ("none", 0, False),
            ("older", JOINED_AT - 1, False),
            ("same", JOINED_AT, False),
            ("newer", JOINED_AT + 1, True),
        ]
    )
    def test_roster_only_if_newer(self, _name: str, revision: int, newer: bool) -> None:
        self.join()
        self.node.control.news.clear()
        self.sync([], revision)
        expected = {"a", "c"} if newer else {"a", "b"}
        self.assertEqual(set(self.conversation.members_by_id()), expected)
        self.assertEqual(self.node.control.news.is_set(), newer)

    def test_sync_brings_a_newcomer_up_to_date(self) -> None:
        self.join()
        self.learn(make_head(3, 4))
        answer = self.conversation.sync()
        self.assertEqual(answer.heads, (make_head(3, 4),))
        self.assertEqual({member.entry_id for member in answer.members}, {"a", "b"})
        self.assertEqual(answer.platform_now, self.clock.now)
        self.setUp()
        self.conversation.on_sync(PEER, answer)
        self.assertEqual(self.conversation.sync(), answer)

    def sync(self, heads: t.Sequence[Head], roster: int) -> None:
        """Take in a peer's heads, and a roster in which c has taken b's place."""
        answer = SyncAnswer(
            heads=tuple(heads),
            members=(make_member("a"), make_member("c")),
            roster_revision=Revision(roster),
            platform_now=0.0,
        )
        self.conversation.on_sync(PEER, answer)
