"""Gossip: entries exchange membership updates, and pass on rows that one of them read in the store.

In every round an entry exchanges messages with a few others, and each side learns what it lacks
(push-pull anti-entropy). Rows that were just read are pushed at once along a relay tree: to a few
entries, each of which relays them to its part of the rest. So are suspicions, refutations, and
entries that join and leave. See :mod:`.members` for the membership protocol.
"""

import asyncio
import hashlib
import random
import typing as t

from .. import defaults
from ..exceptions import PeerError, PeerFrameError
from ..peering.peer_links import PeerLinks
from ..peering.peer_server import PeerListener
from ..process import log
from ..process.child import Child
from .messages import (
    DispatchNotice,
    DispatchRequest,
    GossipMessage,
    PermitRequest,
    Push,
    ReachRequest,
    TransitCancel,
    TransitRequest,
)

if t.TYPE_CHECKING:
    from ..ids import EntryId, Position
    from ..peering.channel import Channel
    from ..peering.messages import AnyMessage, Hello
    from ..process.clock import Clock
    from ..process.metrics import Metrics
    from .dispatch_client import DispatchClient
    from .dispatch_server import DispatchServer
    from .fleet_access import FleetAccess
    from .gossip_exchange import GossipExchange
    from .members import Members
    from .model import EntryRecord
    from .permits import Permits
    from .reach_checks import ReachChecks
    from .transit_server import TransitServer


#: Seconds for which membership updates are collected before one push carries them.
_PUSH_DELAY_S = 0.05


class GossipServer(PeerListener):
    """Answers messages of other entries.

    :param access: opens the streams of other entries.
    :param exchange: builds and applies gossip messages.
    :param relay: passes a pushed message on to other entries.
    :param pull: exchanges messages with an entry that has newer rows.
    :param permits: answers requests for permits.
    :param dispatch_server: answers asks for slots of targets.
    :param dispatch_client: receives notices for its asks.
    :param reach_checks: answers which targets this entry reaches.
    :param transit_server: carries requests of entries that are cut off.
    """

    def __init__(
        self,
        address: str,
        access: "FleetAccess",
        exchange: "GossipExchange",
        relay: "t.Callable[[GossipMessage, t.Sequence[EntryId]], None]",
        pull: "t.Callable[[EntryId], None]",
        permits: "Permits",
        dispatch_server: "DispatchServer",
        dispatch_client: "DispatchClient",
        reach_checks: "ReachChecks",
        transit_server: "TransitServer",
        metrics: "Metrics",
    ) -> None:
        super().__init__(address, *access, metrics)
        self._exchange = exchange
        self._relay = relay
        self._pull = pull
        self._permits = permits
        self._dispatch_server = dispatch_server
        self._dispatch_client = dispatch_client
        self._reach_checks = reach_checks
        self._transit_server = transit_server
        self._tasks_by_channel: t.Dict["Channel", t.Set["asyncio.Task[None]"]] = {}

    def take(self, channel: "Channel", message: "AnyMessage") -> bool:
        if isinstance(message, ReachRequest):
            task = asyncio.create_task(self._answer_reach(channel, message))
            tasks = self._tasks_by_channel.setdefault(channel, set())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            return True
        if isinstance(message, TransitRequest):
            self._transit_server.start_request(channel, message)
            return True
        if isinstance(message, TransitCancel):
            self._transit_server.cancel(channel, message)
            return True
        return False

    def drop(self, channel: "Channel") -> None:
        self._transit_server.drop(channel)
        for task in self._tasks_by_channel.pop(channel, ()):
            task.cancel()

    async def _answer_reach(self, channel: "Channel", request: ReachRequest) -> None:
        reply = await self._reach_checks.answer(request)
        try:
            await channel.send(reply)
        except PeerError as error:
            log.debug("reach.reply-lost", peer=channel.peer.entry_id, code=error.code)

    def answer(self, peer: "Hello", message: "AnyMessage") -> t.Optional["AnyMessage"]:
        if isinstance(message, GossipMessage):
            if self._exchange.merge(message):
                self._pull(peer.entry_id)
            return self._exchange.build_reply(message)
        if isinstance(message, Push):
            self._relay(message.news, message.relay)
            if self._exchange.merge(message.news):
                self._pull(peer.entry_id)
            return None
        if isinstance(message, PermitRequest):
            return self._permits.handle_request(peer, message)
        if isinstance(message, DispatchRequest):
            return self._dispatch_server.handle_request(peer, message)
        if isinstance(message, DispatchNotice):
            self._dispatch_client.handle_notice(peer, message)
            return None
        raise PeerFrameError(f"unexpected message {type(message).__name__} from {peer.entry_id}")


class Gossip(Child):
    """Exchanges messages with other entries, in rounds and when there is an update to push.

    :param exchange: builds and applies gossip messages.
    :param members: the entries of the fleet.
    :param links: streams to other entries.
    :param seeds: addresses of entries to contact while no other is known to be alive.
    :param clock: monotonic time.
    :param rng: jitter of the rounds.
    """

    name = "gossip"

    def __init__(
        self,
        exchange: "GossipExchange",
        members: "Members",
        links: PeerLinks,
        seeds: t.Sequence[str],
        clock: "Clock",
        rng: random.Random,
    ) -> None:
        self._exchange = exchange
        self._members = members
        self._links = links
        self.seeds = seeds
        self._clock = clock
        self._rng = rng
        self._tasks: t.Set[asyncio.Task[None]] = set()
        #: Addresses with an exchange in flight.
        self._addresses_in_flight: t.Set[str] = set()
        #: Whether an exchange in flight is to bring all rows.
        self._is_loading_rows = False
        self._push_timer: t.Optional[asyncio.TimerHandle] = None
        self._next_push_at = -float("inf")
        members.on_update = self._schedule_push
        exchange.quarantine.on_update = self._schedule_push
        exchange.reports.limits.on_update = self._schedule_push
        exchange.reports.departures.on_update = self._schedule_push

    async def run(self) -> None:
        try:
            while True:
                self._members.start_round()
                for record in self._members.choose_peers(defaults.GOSSIP_FANOUT):
                    self._start_exchange(record.peer_address)
                if not self._members.alive_records():
                    self._rejoin()
                await asyncio.sleep(self._interval_s() * self._rng.uniform(0.9, 1.1))
        finally:
            if self._push_timer is not None:
                self._push_timer.cancel()
            for task in self._tasks:
                task.cancel()
            await self._links.close()

    def _interval_s(self) -> float:
        if self._exchange.state_view.has_rows:
            return defaults.GOSSIP_INTERVAL_S
        return defaults.GOSSIP_BOOTSTRAP_INTERVAL_S

    def pull(self, entry_id: "EntryId") -> None:
        """Exchanges messages with an entry that has newer rows."""
        address = self._members.address_of(entry_id)
        if address is not None:
            self._start_exchange(address)

    def push(self, state_since: "Position", targets_since: "Position") -> None:
        """Pushes rows written after these positions to all live entries, with recent updates."""
        message = self._exchange.build_update(state_since, targets_since)
        turn = int(self._clock.monotonic() / defaults.RELAY_ROTATION_S)
        ordered = relay_order(
            self._members.alive_records(), self._members.own_record.entry_id, turn
        )
        self.relay(message, [record.entry_id for record in ordered])

    def relay(self, message: GossipMessage, entry_ids: "t.Sequence[EntryId]") -> None:
        """Sends a message to the first few of these entries, which relay it to the others."""
        if not entry_ids:
            return
        parts = min(defaults.RELAY_FANOUT, len(entry_ids))
        for number in range(parts):
            part = entry_ids[number::parts]
            address = self._members.address_of(part[0])
            if address is not None:
                push = Push(news=message, relay=tuple(part[1:]))
                self._spawn(self._send_push(address, push))

    def _schedule_push(self, at_once: bool) -> None:
        """Schedules a push of updates; beyond the rate limit they wait, and rounds carry them.

        :param at_once: whether the rate limit does not apply.
        """
        if self._push_timer is not None:
            if not at_once:
                return
            self._push_timer.cancel()
        delay_s = _PUSH_DELAY_S
        if not at_once:
            delay_s = max(delay_s, self._next_push_at - self._clock.monotonic())
        self._push_timer = asyncio.get_running_loop().call_later(delay_s, self._push_updates)

    def _push_updates(self) -> None:
        self._push_timer = None
        pause_s = (len(self._members.alive_records()) + 1) / defaults.MEMBER_PUSHES_PER_S
        self._next_push_at = self._clock.monotonic() + pause_s
        state_view = self._exchange.state_view
        self.push(state_view.state_rows.position, state_view.target_rows.position)

    def _rejoin(self) -> None:
        for address in self.seeds:
            self._start_exchange(address)
        for entry_id in sorted(self._members.known_ids(), key=lambda _: self._rng.random())[:8]:
            self.pull(entry_id)

    def _start_exchange(self, address: str) -> None:
        if address in self._addresses_in_flight or address == self._members.own_record.peer_address:
            return
        self._addresses_in_flight.add(address)
        self._spawn(self._exchange_messages(address))

    async def _exchange_messages(self, address: str) -> None:
        wants_rows = self._exchange.state_view.has_rows
        try:
            for _ in range(3):
                if not await self._exchange_once(address, wants_rows):
                    return
                # All rows are long: they are requested from one entry at a time, and only from one
                # that has just answered.
                if not wants_rows and self._is_loading_rows:
                    return
                wants_rows = True
        except PeerError as error:
            if self._exchange.state_view.has_rows:
                # Without rows this entry is still starting, perhaps together with those that it
                # contacts, so that a missing answer is no reason for a suspicion.
                self._members.record_probe_failure(address)
            log.debug("peer.not-asked", address=address, code=error.code, error=error.message)
        finally:
            self._addresses_in_flight.discard(address)

    async def _exchange_once(self, address: str, wants_rows: bool) -> bool:
        """Exchanges one pair of messages; returns whether the other entry has newer rows still."""
        loads_rows = wants_rows and not self._exchange.state_view.has_rows
        self._is_loading_rows |= loads_rows
        asked_at = self._clock.monotonic()
        try:
            answer = await self._links.exchange(
                address,
                self._exchange.build_update(address=address, wants_rows=wants_rows),
                GossipMessage,
                defaults.GOSSIP_TIMEOUT_S,
                kept_s=defaults.GOSSIP_REUSED_TIMEOUT_S,
            )
        finally:
            if loads_rows:
                self._is_loading_rows = False
        self._members.record_probe_success(address)
        return self._exchange.merge(answer.message, asked_at)

    async def _send_push(self, address: str, push: Push) -> None:
        try:
            await self._links.post(address, push)
        except PeerError as error:
            log.debug("peer.not-told", address=address, code=error.code, error=error.message)
            self.relay(push.news, push.relay)

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def relay_order(
    records: "t.Sequence[EntryRecord]", root: "EntryId", turn: int
) -> "t.List[EntryRecord]":
    """Sorts entries for a relay tree: the first ones relay, so wider links come first.

    Entries with equal links are ordered by a hash. The order stays the same for a turn, so that
    streams are used again, and then other entries relay.

    :param root: the entry that pushes.
    :param turn: number of the turn.
    """
    text = f"{root} {turn}"

    def sort_key(record: "EntryRecord") -> t.Tuple[float, bytes]:
        digest = hashlib.blake2b(f"{text} {record.entry_id}".encode(), digest_size=8).digest()
        return -record.link_mbps, digest

    return sorted(records, key=sort_key)
