import asyncio
import contextlib
import typing as t
import unittest
from unittest import mock

from parameterized import parameterized

from coralfall import defaults
from coralfall.exceptions import (
    PeerAuthError,
    PeerClosedError,
    PeerError,
    PeerTimeoutError,
    PeerUnreachableError,
)
from coralfall.peering import channel, messages
from coralfall.peering.peer_links import PeerLinks
from coralfall.process.clock import Clock, ManualClock
from tests import peer_fleet
from tests.peer_fleet import KEY, Fleet, Node, bundle_bytes, until

HELLO = messages.Hello(entry_id="visitor", incarnation=1)
LOAN = messages.LoanRequest(service="catalogo", count=2)


class FleetCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        # The debug mode of asyncio takes several times as long over an exchange as the product, so
        # that sixty nodes on a slow machine exceed the time limits of their first one.
        asyncio.get_running_loop().set_debug(False)

    async def start(self, fleet: Fleet) -> Fleet:
        self.addAsyncCleanup(fleet.stop)
        await fleet.listen()
        return fleet

    def node(
        self,
        index: int,
        heartbeat_s: float,
        seeds: t.Sequence[str] = (),
        clock: t.Optional[Clock] = None,
    ) -> Node:
        node = Node(index, 3, heartbeat_s, seeds, clock)
        self.addAsyncCleanup(node.stop)
        return node


class SpreadTestCase(FleetCase):
    @parameterized.expand([("today", 12, 0), ("middle", 60, 0), ("fifth_gone", 60, 12)])
    async def test_announced_version_reaches_everybody(self, _, count, gone) -> None:
        fleet = await self.start(Fleet(count, heartbeat_s=0.5))
        dead = fleet.nodes[count - gone :]
        live = fleet.nodes[: count - gone]
        for node in dead:
            await node.stop()
        for node in live:
            node.talk()
        await until(lambda: all(node.heard for node in live))
        live[0].accept(1)
        await until(lambda: all(node.version == 1 for node in live))

    async def test_announcement_does_not_wait_for_the_round(self) -> None:
        fleet = await self.start(Fleet(60))
        # A first exchange that fails on a busy machine would be made up for in the next round.
        patch = mock.patch.object(defaults, "PEER_TIMEOUT_S", peer_fleet.BOUND_S)
        patch.start()
        self.addCleanup(patch.stop)
        await fleet.talk()
        fleet.nodes[0].accept(1)
        # Nine in ten are reached by announcements alone; the others wait for their round.
        await until(lambda: sum(node.version for node in fleet.nodes) > 48)

    @parameterized.expand([("by_answer", 0, 1), ("by_heartbeat", 1, 0)])
    async def test_one_exchange_tells_either_side(self, _, dialer, informed) -> None:
        fleet = await self.start(Fleet(2))
        fleet.nodes[informed].announces = False
        fleet.nodes[informed].accept(1)
        fleet.nodes[informed].roster_revision += 1
        fleet.nodes[dialer].talk()
        await until(lambda: all(node.version == 1 for node in fleet.nodes))
        behind = fleet.nodes[1 - informed]
        self.assertEqual(behind.roster_revision, fleet.nodes[informed].roster_revision)

    async def test_news_during_an_exchange_is_told_after_it(self) -> None:
        received: t.List[t.Any] = []
        release = asyncio.Event()
        node = self.node(0, peer_fleet.NEVER_S)

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            hello = messages.Hello(entry_id="e001", incarnation=1)
            peer = await channel.accept(reader, writer, KEY, hello)
            self.addCleanup(peer.abort)
            ahead = messages.msgspec.structs.replace(node.heartbeat(), accepted={"calor": 1})
            with contextlib.suppress(PeerError):
                while True:
                    received.append(await peer.receive())
                    if isinstance(received[-1], messages.Heartbeat):
                        await peer.send(ahead)
                        continue
                    await release.wait()
                    await peer.send(node.sync())

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        node.roster = {"e001": peer_fleet.member(1, 3, f"{host}:{port}")}
        node.talk()
        await until(lambda: len(received) == 2)
        node.accept(1)
        await asyncio.sleep(0.05)
        self.assertEqual(len(received), 2)
        release.set()
        await until(lambda: len(received) > 2)
        self.assertEqual(received[2].accepted, {"cosecha": 1})

    async def test_peer_that_fails_is_avoided(self) -> None:
        fleet = await self.start(Fleet(6, heartbeat_s=0.02))
        node, gone = fleet.nodes[0], fleet.nodes[3]
        await gone.stop()
        node.talk()
        await until(lambda: bool(node.directory.avoided()))
        self.assertEqual(node.directory.avoided(), {gone.member.entry_id})
        self.assertNotIn(gone.member.entry_id, node.directory.best_informed(node.roster))

    async def test_cut_and_returned_entry_catches_up(self) -> None:
        fleet = await self.start(Fleet(12, heartbeat_s=0.1))
        await fleet.talk()
        cut = fleet.nodes[3]
        await cut.stop()
        for version in (1, 2):
            fleet.nodes[0].accept(version)
        others = [node for node in fleet.nodes if node is not cut]
        await until(lambda: all(node.version == 2 for node in others))
        for node in others:
            node.roster_revision += 1
        self.assertEqual(cut.version, 0)
        await cut.listen()
        cut.talk()
        await until(lambda: cut.version == 2)
        await until(lambda: cut.roster_revision == others[0].roster_revision)

    async def test_roster_comes_from_peers_only_while_the_platform_is_silent(self) -> None:
        fleet = await self.start(Fleet(2, heartbeat_s=0.02))
        behind, ahead = fleet.nodes
        behind.platform_age_s = 0.0
        ahead.roster_revision += 1
        await fleet.talk()
        await until(lambda: len(behind.heard) > 20)
        self.assertEqual(behind.synced, [])
        behind.platform_age_s = defaults.PEER_ROSTER_FALLBACK_S
        await until(lambda: behind.roster_revision == ahead.roster_revision)
        self.assertEqual(behind.roster, ahead.roster)

    async def test_heartbeat_says_since_when_it_was_true(self) -> None:
        fleet = await self.start(Fleet(2))
        asking, asked = fleet.nodes
        before = asking.clock.monotonic()
        asking.talk()
        await until(lambda: bool(asking.heard))
        peer, _, asked_at = asking.heard[0]
        self.assertEqual(peer.entry_id, asked.member.entry_id)
        self.assertLessEqual(before, asked_at)
        self.assertLessEqual(asked_at, asking.clock.monotonic())
        self.assertIsNone(asked.heard[0][2])


class RoundTestCase(FleetCase):
    @parameterized.expand(
        [("quiet", 0.0, 1), ("platform_silent", defaults.PEER_ROSTER_FALLBACK_S, 3)]
    )
    async def test_peers_of_a_round(self, _, age_s, expected) -> None:
        node = self.fresh_node(age_s)
        self.assertEqual(self.peers_of_round(node), expected)

    async def test_news_is_told_to_all_neighbours_once(self) -> None:
        node = self.fresh_node(0.0)
        node.network.announce()
        self.assertEqual([self.peers_of_round(node) for _ in range(2)], [3, 1])

    async def test_all_are_asked_while_loans_are_sought(self) -> None:
        node = self.fresh_node(0.0)
        with self.assertRaises(PeerUnreachableError):
            await node.network.request_loan("e999", LOAN)
        self.assertEqual(self.peers_of_round(node), 3)
        node.clock.advance(defaults.PEER_BORROWING_S)
        self.assertEqual(self.peers_of_round(node), 1)

    def fresh_node(self, age_s: float) -> Node:
        node = self.node(0, peer_fleet.NEVER_S, clock=ManualClock())
        node.platform_age_s = age_s
        node.roster = peer_fleet.members(12, 3)
        return node

    def peers_of_round(self, node: Node) -> int:
        with mock.patch.object(node.network, "_begin_exchange") as begun:
            node.network._begin_round()
        return begun.call_count


class BootstrapTestCase(FleetCase):
    async def test_newcomer_learns_all_from_one_seed(self) -> None:
        fleet = await self.start(Fleet(3))
        fleet.nodes[1].accept(1)
        seeds = ["127.0.0.1:1", fleet.nodes[1].server.bound_address]
        newcomer = self.node(3, peer_fleet.NEVER_S, seeds)
        self.assertEqual(await newcomer.network.bootstrap(seeds), 1)
        self.assertEqual(newcomer.roster, fleet.nodes[1].roster)
        await until(lambda: newcomer.version == 1)

    async def test_network_without_a_roster_asks_its_seeds_in_each_round(self) -> None:
        seed = self.node(0, peer_fleet.NEVER_S)
        address = await seed.listen()
        newcomer = self.node(1, 0.02, [address])
        newcomer.talk()
        await until(lambda: len(newcomer.synced) > 2)
        seed.accept(1)
        await until(lambda: newcomer.version == 1)

    async def test_no_seed_answers(self) -> None:
        newcomer = self.node(0, peer_fleet.NEVER_S)
        self.assertEqual(await newcomer.network.bootstrap(["127.0.0.1:1"]), 0)


class ObjectTestCase(FleetCase):
    async def test_asks_until_one_has_it(self) -> None:
        fleet = await self.start(Fleet(6))
        asking = fleet.nodes[0]
        data = bytes(range(256)) * 8192
        digest = peer_fleet.bundle.digest_of(data)
        fleet.nodes[4].objects[digest] = data
        await fleet.nodes[2].stop()
        self.assertEqual(await asking.network.fetch_object(digest), data)

    async def test_wrong_bytes_are_passed_over(self) -> None:
        fleet = await self.start(Fleet(3))
        digest = peer_fleet.bundle.digest_of(b"right")
        fleet.nodes[1].objects[digest] = b"wrong"
        with self.assertRaises(PeerUnreachableError):
            await fleet.nodes[0].network.fetch_object(digest)
        fleet.nodes[2].objects[digest] = b"right"
        self.assertEqual(await fleet.nodes[0].network.fetch_object(digest), b"right")

    async def test_best_informed_are_asked_first(self) -> None:
        fleet = await self.start(Fleet(30))
        asking, holder = fleet.nodes[0], fleet.nodes[17]
        holder.accept(1)
        digest = peer_fleet.bundle.digest_of(bundle_bytes(1))
        asking.directory.hear(holder.member.entry_id, holder.heartbeat())
        with mock.patch.object(defaults, "MAX_OBJECT_PEERS", 1):
            self.assertEqual(await asking.network.fetch_object(digest), bundle_bytes(1))

    async def test_object_over_the_limit_is_answered_as_absent(self) -> None:
        fleet = await self.start(Fleet(1))
        node = fleet.nodes[0]
        data = bytes(defaults.MAX_FRAME_BYTES)
        request = messages.ObjectRequest(digest=peer_fleet.bundle.digest_of(data))
        node.objects[request.digest] = data
        links = PeerLinks(KEY, HELLO, channel.Traffic())
        self.addAsyncCleanup(links.close)
        address = node.server.bound_address
        answer = await links.exchange(address, request, messages.ObjectAnswer, 20.0)
        self.assertIsNone(answer.message.data)


class LoanTestCase(FleetCase):
    async def test_request_and_return(self) -> None:
        fleet = await self.start(Fleet(2))
        borrower, owner = fleet.nodes
        answer = await borrower.network.request_loan("e001", LOAN)
        back = messages.LoanReturn(loan_id=answer.loan_id, slots=())
        await borrower.network.return_loan("e001", back)
        await until(lambda: len(owner.loans) == 2)
        self.assertEqual(owner.loans, [("e000", LOAN), ("e000", back)])

    async def test_owner_that_is_gone_or_unknown(self) -> None:
        fleet = await self.start(Fleet(2))
        await fleet.nodes[1].stop()
        for entry_id in ("e001", "e999"):
            with self.assertRaises(PeerUnreachableError):
                await fleet.nodes[0].network.request_loan(entry_id, LOAN)

    async def test_another_entry_at_the_address(self) -> None:
        fleet = await self.start(Fleet(3))
        asking = fleet.nodes[0]
        asking.roster["e001"] = fleet.nodes[2].member
        with self.assertRaises(PeerUnreachableError):
            await asking.network.request_loan("e001", LOAN)
        self.assertEqual(fleet.nodes[2].loans, [])


class LinksTestCase(FleetCase):
    async def asyncSetUp(self) -> None:
        self.links = PeerLinks(KEY, HELLO, channel.Traffic())
        self.addAsyncCleanup(self.links.close)

    async def ask(self, address: str, timeout_s: float = 20.0) -> messages.Heartbeat:
        request = peer_fleet.Node(9, 1, 1.0).heartbeat()
        answer = await self.links.exchange(address, request, messages.Heartbeat, timeout_s)
        return answer.message

    @parameterized.expand([("asked_again", 0.05, True), ("not_to_be_repeated", None, False)])
    async def test_a_stream_that_went_silent(self, _, kept_s, answered) -> None:
        node = self.node(0, peer_fleet.NEVER_S)
        streams = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal streams
            streams += 1
            first = streams == 1
            peer = await channel.accept(
                reader, writer, KEY, messages.Hello(entry_id="e001", incarnation=1)
            )
            self.addCleanup(peer.abort)
            with contextlib.suppress(PeerError):
                # The first stream takes in all that is sent, and answers once.
                await peer.receive()
                await peer.send(node.heartbeat())
                while True:
                    await peer.receive()
                    if not first:
                        await peer.send(node.heartbeat())

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        await self.ask(f"{host}:{port}")
        asked = self.links.exchange(
            f"{host}:{port}",
            node.heartbeat(),
            messages.Heartbeat,
            20.0 if answered else 0.2,
            kept_s=kept_s,
        )
        if answered:
            await asked
        else:
            with self.assertRaises(PeerTimeoutError):
                await asked
        self.assertEqual(2 if answered else 1, streams)

    async def test_a_given_number_of_streams(self) -> None:
        fleet = await self.start(Fleet(2))
        self.links = PeerLinks(KEY, HELLO, channel.Traffic(), max_links=1)
        self.addAsyncCleanup(self.links.close)
        for node in fleet.nodes:
            await self.ask(node.server.bound_address)
        self.assertEqual(len(self.links), 1)

    async def test_streams_are_reused_and_bounded(self) -> None:
        fleet = await self.start(Fleet(4))
        addresses = [node.server.bound_address for node in fleet.nodes]
        with mock.patch.object(defaults, "MAX_PEER_LINKS", 3):
            for address in addresses[:3] * 2:
                await self.ask(address)
            self.assertEqual([node.server.connections for node in fleet.nodes], [1, 1, 1, 0])
            await self.ask(addresses[3])
            self.assertEqual(len(self.links), 3)
            await until(lambda: fleet.nodes[0].server.connections == 0)
        self.assertEqual([node.server.connections for node in fleet.nodes], [0, 1, 1, 1])

    async def test_no_stream_in_use_is_closed_to_make_room(self) -> None:
        fleet = await self.start(Fleet(2))
        silent = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        self.addCleanup(silent.close)
        host, port = silent.sockets[0].getsockname()
        with mock.patch.object(defaults, "MAX_PEER_LINKS", 1):
            waiting = asyncio.create_task(self.ask(f"{host}:{port}", 0.3))
            await asyncio.sleep(0)
            with self.assertRaises(PeerUnreachableError):
                await self.ask(fleet.nodes[0].server.bound_address)
            with self.assertRaises(PeerTimeoutError):
                await waiting
            await self.ask(fleet.nodes[0].server.bound_address)

    async def test_late_answer_is_not_taken_for_another(self) -> None:
        fleet = await self.start(Fleet(1))
        node = fleet.nodes[0]
        address = node.server.bound_address
        await self.ask(address)
        original = channel.Channel.receive

        async def late(self: channel.Channel) -> t.Any:
            message = await original(self)
            await asyncio.sleep(0.2)
            return message

        patch = mock.patch.object(channel.Channel, "receive", late)
        with patch, self.assertRaises(PeerTimeoutError):
            await self.ask(address, 0.05)
        node.version = 5
        self.assertEqual((await self.ask(address)).accepted, {"cosecha": 5})

    async def test_exchanges_on_one_stream_do_not_mix(self) -> None:
        fleet = await self.start(Fleet(1))
        address = fleet.nodes[0].server.bound_address
        requests = [messages.ObjectRequest(digest=f"{index}") for index in range(20)]
        answers = await asyncio.gather(
            *[
                self.links.exchange(address, request, messages.ObjectAnswer, 20.0)
                for request in requests
            ]
        )
        got = [answer.message.digest for answer in answers]
        self.assertEqual(got, [request.digest for request in requests])
        self.assertEqual(fleet.nodes[0].server.connections, 1)

    async def test_answer_of_the_wrong_kind(self) -> None:
        fleet = await self.start(Fleet(1))
        address = fleet.nodes[0].server.bound_address
        with self.assertRaisesRegex(PeerError, "LoanAnswer"):
            await self.links.exchange(address, LOAN, messages.SyncAnswer, 20.0)
        await until(lambda: fleet.nodes[0].server.connections == 0)

    async def test_stream_that_was_idle_is_opened_again(self) -> None:
        fleet = await self.start(Fleet(1))
        address = fleet.nodes[0].server.bound_address
        with mock.patch.object(defaults, "PEER_IDLE_S", 0.5):
            await self.ask(address)
            await until(lambda: fleet.nodes[0].server.connections == 0)
        # A message that crosses the end of a stream is lost; what is tested is the one after it.
        await until(lambda: not self.links._links_by_address[address]._is_open)
        await self.ask(address)


class ServerTestCase(FleetCase):
    async def asyncSetUp(self) -> None:
        fleet = await self.start(Fleet(1))
        self.node_ = fleet.nodes[0]
        self.address = self.node_.server.bound_address

    async def dial(self, key: t.Any = KEY) -> channel.Channel:
        dialed = await channel.dial(self.address, key, HELLO)
        self.addCleanup(dialed.abort)
        return dialed

    async def test_refuses_more_handshakes_than_allowed_but_keeps_proven_peers(self) -> None:
        proven = await self.dial()
        with mock.patch.object(defaults, "MAX_PEER_HANDSHAKES", 2):
            host, port = channel.split_address(self.address)
            held = [await asyncio.open_connection(host, port) for _ in range(2)]
            for reader, _ in held:
                await reader.readexactly(32)
            with self.assertRaises(PeerError):
                await self.dial()
            await proven.send(messages.SyncRequest())
            self.assertIsInstance(await proven.receive(), messages.SyncAnswer)
            for _, writer in held:
                writer.close()
            await until(lambda: self.node_.server.handshakes == 0)
            await self.dial()

    async def test_longest_silent_stream_makes_room(self) -> None:
        with mock.patch.object(defaults, "MAX_PEER_CONNECTIONS", 2):
            first, second = await self.dial(), await self.dial()
            for used in (second, first):
                await used.send(messages.SyncRequest())
                await used.receive()
            third = await self.dial()
            with self.assertRaises(PeerError):
                await second.receive()
            for used in (first, third):
                await used.send(messages.SyncRequest())
                await used.receive()

    async def test_wrong_key(self) -> None:
        with self.assertRaises(PeerAuthError):
            await self.dial(bytes(32))
        self.assertEqual(self.node_.server.connections, 0)

    @parameterized.expand(
        [("answer_unasked", messages.ObjectAnswer(digest="d")), ("second_hello", HELLO)]
    )
    async def test_message_that_nobody_asked_for(self, _, message) -> None:
        dialed = await self.dial()
        await dialed.send(message)
        with self.assertRaises(PeerError):
            async with asyncio.timeout(peer_fleet.BOUND_S):
                await dialed.receive()
        await until(lambda: self.node_.server.connections == 0)

    async def test_fault_of_the_handler_ends_one_stream_and_is_logged(self) -> None:
        dialed, other = await self.dial(), await self.dial()
        self.node_.on_loan_request = mock.Mock(side_effect=ZeroDivisionError("by hand"))
        with mock.patch("coralfall.peering.peer_server.log.error") as logged:
            await dialed.send(LOAN)
            with self.assertRaises(PeerError):
                await dialed.receive()
        self.assertEqual(logged.call_args.args, ("peer.failed",))
        await other.send(messages.SyncRequest())
        self.assertIsInstance(await other.receive(), messages.SyncAnswer)

    @parameterized.expand([("in_handshake", False), ("proven", True)])
    async def test_stop_ends_streams_and_restart_keeps_the_address(self, _, proven) -> None:
        dialed = await self.dial()
        if proven:
            await until(lambda: self.node_.server.connections == 1)
        await self.node_.server.stop()
        with self.assertRaises(PeerClosedError):
            async with asyncio.timeout(peer_fleet.BOUND_S):
                await dialed.receive()
        with self.assertRaises(PeerUnreachableError):
            await self.dial()
        await self.node_.stop()
        self.assertEqual(await self.node_.listen(), self.address)
        await self.dial()


class TrafficTestCase(FleetCase):
    async def test_quiet_heartbeats_are_small(self) -> None:
        fleet = await self.start(Fleet(2))
        exchange_bytes = await self.exchange_bytes(fleet.nodes[0])
        # Two frames with six services in each, far from what 3 KB a second would allow.
        self.assertLess(exchange_bytes, 250)

    async def exchange_bytes(self, node: Node) -> int:
        links = PeerLinks(KEY, HELLO, channel.Traffic())
        self.addAsyncCleanup(links.close)
        counted = []
        for _ in range(2):
            await links.exchange(
                node.server.bound_address, node.heartbeat(), messages.Heartbeat, 20.0
            )
            counted.append(node.traffic.sent + node.traffic.received)
        return counted[1] - counted[0]
