"""Gossip: entries tell each other who is alive, and hand on what one of them read in the store.

Every round an entry exchanges news with a few others; either side learns what it lacks. What was
just read is pushed at once: to a few entries, each of which hands it on to its part of the rest;
so are suspicions, refutations and entries that come and go. See :mod:`.members` for these.
"""

import asyncio
import hashlib
import random
import typing as t

from .. import defaults
from ..exceptions import PeerError, PeerFrameError
from ..peering.channel import Traffic
from ..peering.peer_links import PeerLinks
from ..peering.peer_server import PeerListener
from ..process import log
from ..process.child import Child
from .messages import GossipMessage, PermitRequest, Push

if t.TYPE_CHECKING:
    from ..ids import EntryId, Revision
    from ..peering.cipher import FleetKey
    from ..peering.messages import AnyMessage, Hello
    from ..process.clock import Clock
    from ..process.metrics import Metrics
    from .gossip_exchange import GossipExchange
    from .members import Members
    from .model import EntryRecord
    from .permits import Permits


#: Seconds for which news of entries are gathered before they are pushed.
_GATHER_S = 0.05


class GossipServer(PeerListener):
    """Answers the other entries.

    :param exchange: what to tell and what to take in.
    :param relay: hands a push on.
    :param pull: asks an entry that knows more.
    :param permits: grants what others ask for.
    """

    def __init__(
        self,
        address: str,
        fleet_key: "FleetKey",
        hello: "Hello",
        exchange: "GossipExchange",
        relay: "t.Callable[[GossipMessage, t.Sequence[EntryId]], None]",
        pull: "t.Callable[[EntryId], None]",
        permits: "Permits",
        traffic: Traffic,
        metrics: "Metrics",
    ) -> None:
        super().__init__(address, fleet_key, hello, traffic, metrics)
        self._exchange = exchange
        self._relay = relay
        self._pull = pull
        self._permits = permits

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
        raise PeerFrameError(f"{peer.entry_id} sent {type(message).__name__} unasked")


class Gossip(Child):
    """Exchanges news with other entries, in rounds and when there is something new.

    :param exchange: what to tell and what to take in.
    :param members: the entries.
    :param links: streams to them.
    :param seeds: addresses to ask at the start.
    :param clock: tells the time.
    :param rng: varies the rounds.
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
        self._asking: t.Set[str] = set()
        #: Whether an exchange is under way that is to bring all rows.
        self._pulling = False
        self._pushing: t.Optional[asyncio.TimerHandle] = None
        self._may_push_at = -float("inf")
        members.on_update = self._push_soon
        exchange.quarantine.on_update = self._push_soon
        exchange.reports.limits.on_update = self._push_soon
        exchange.reports.departures.on_update = self._push_soon

    async def run(self) -> None:
        try:
            while True:
                self._members.start_round()
                for record in self._members.choose_peers(defaults.GOSSIP_FANOUT):
                    self._ask(record.peer_address)
                if not self._members.alive_records():
                    self._ask_all()
                await asyncio.sleep(self._pause_s() * self._rng.uniform(0.9, 1.1))
        finally:
            if self._pushing is not None:
                self._pushing.cancel()
            for task in self._tasks:
                task.cancel()
            await self._links.close()

    def _pause_s(self) -> float:
        if self._exchange.state_view.has_rows:
            return defaults.GOSSIP_INTERVAL_S
        return defaults.GOSSIP_BOOTSTRAP_INTERVAL_S

    def pull(self, entry_id: "EntryId") -> None:
        """Ask an entry that knows more."""
        address = self._members.address_of(entry_id)
        if address is not None:
            self._ask(address)

    def push(self, state_since: "Revision", targets_since: "Revision") -> None:
        """Tell all live entries what came after these revisions."""
        news = self._exchange.build_update(state_since, targets_since)
        turn = int(self._clock.monotonic() / defaults.RELAY_ROTATION_S)
        ordered = in_relay_order(
            self._members.alive_records(), self._members.own_record.entry_id, turn
        )
        self.relay(news, [record.entry_id for record in ordered])

    def relay(self, news: GossipMessage, entry_ids: "t.Sequence[EntryId]") -> None:
        """Hand news on to these entries, through a few of them."""
        if not entry_ids:
            return
        parts = min(defaults.RELAY_FANOUT, len(entry_ids))
        for number in range(parts):
            part = entry_ids[number::parts]
            address = self._members.address_of(part[0])
            if address is not None:
                push = Push(news=news, relay=tuple(part[1:]))
                self._spawn(self._post(address, push))

    def _push_soon(self, at_once: bool) -> None:
        """Push news of entries; while many change at once they wait, and rounds carry them."""
        if self._pushing is not None:
            if not at_once:
                return
            self._pushing.cancel()
        wait_s = _GATHER_S
        if not at_once:
            wait_s = max(wait_s, self._may_push_at - self._clock.monotonic())
        self._pushing = asyncio.get_running_loop().call_later(wait_s, self._push_members)

    def _push_members(self) -> None:
        self._pushing = None
        pause = (len(self._members.alive_records()) + 1) / defaults.MEMBER_PUSHES_PER_S
        self._may_push_at = self._clock.monotonic() + pause
        state_view = self._exchange.state_view
        self.push(state_view.state_rows.revision, state_view.target_rows.revision)

    def _ask_all(self) -> None:
        for address in self.seeds:
            self._ask(address)
        for entry_id in sorted(self._members.known_ids(), key=lambda _: self._rng.random())[:8]:
            self.pull(entry_id)

    def _ask(self, address: str) -> None:
        if address in self._asking or address == self._members.own_record.peer_address:
            return
        self._asking.add(address)
        self._spawn(self._exchange_news(address))

    async def _exchange_news(self, address: str) -> None:
        wants_rows = self._exchange.state_view.has_rows
        try:
            for _ in range(3):
                if not await self._exchange_once(address, wants_rows):
                    return
                # All rows are long: they are asked of one entry at a time, which has just answered.
                if not wants_rows and self._pulling:
                    return
                wants_rows = True
        except PeerError as error:
            if self._exchange.state_view.has_rows:
                # Until then it starts, perhaps with those that it asks, and blames nobody.
                self._members.record_probe_failure(address)
            log.debug("peer.not-asked", address=address, code=error.code, error=error.message)
        finally:
            self._asking.discard(address)

    async def _exchange_once(self, address: str, wants_rows: bool) -> bool:
        """Ask an entry once; whether it knows more still."""
        pulling = wants_rows and not self._exchange.state_view.has_rows
        self._pulling |= pulling
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
            if pulling:
                self._pulling = False
        self._members.record_probe_success(address)
        return self._exchange.merge(answer.message, asked_at)

    async def _post(self, address: str, push: Push) -> None:
        try:
            await self._links.post(address, push)
        except PeerError as error:
            log.debug("peer.not-told", address=address, code=error.code, error=error.message)
            self.relay(push.news, push.relay)

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def in_relay_order(
    records: "t.Sequence[EntryRecord]", root: "EntryId", turn: int
) -> "t.List[EntryRecord]":
    """Entries in the order in which they get a push: the first hand it on, so links count.

    It stays the same for a while, so that streams are used again, and then others take their turn.

    :param root: the entry that pushes.
    :param turn: number of the while.
    """
    text = f"{root} {turn}"

    def place(record: "EntryRecord") -> t.Tuple[float, bytes]:
        digest = hashlib.blake2b(f"{text} {record.entry_id}".encode(), digest_size=8).digest()
        return -record.link_mbps, digest

    return sorted(records, key=place)
