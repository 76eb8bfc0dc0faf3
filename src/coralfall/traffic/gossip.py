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
from .messages import News, Push

if t.TYPE_CHECKING:
    from ..ids import EntryId, Revision
    from ..peering.cipher import FleetKey
    from ..peering.messages import AnyMessage, Hello
    from ..process.clock import Clock
    from ..process.metrics import Metrics
    from .belief import Belief
    from .delta import Delta
    from .members import Members
    from .model import EntryRecord
    from .replica import Replica


#: Entries for which one more time of patience passes before all of them are asked for.
_MEMBERS_PER_PATIENCE = 20
#: Seconds for which news of entries are gathered before they are pushed.
_GATHER_S = 0.05


class Exchange:
    """What an entry tells others, and what it does with what they tell.

    :param members: the entries.
    :param belief: the rows.
    :param clock: tells the time.
    """

    def __init__(self, members: "Members", belief: "Belief", clock: "Clock") -> None:
        self._members = members
        #: The rows.
        self.belief = belief
        self._clock = clock
        #: Since when what is known of the entries differs from what others know.
        self._differs_since: t.Optional[float] = None
        members.on_pause = self._ask_for_all

    def news(
        self,
        state_since: "t.Optional[Revision]" = None,
        targets_since: "t.Optional[Revision]" = None,
        all_members: bool = False,
        address: str = "",
        wants_rows: bool = True,
    ) -> News:
        """What is known here, with what came after the revisions given.

        :param all_members: whether to tell of all entries, and not only what is news.
        :param address: of the entry that this is for; it is told if it is suspected.
        :param wants_rows: whether it is to answer with the rows that are not known here.
        """
        now = self._clock.monotonic()
        belief = self.belief
        members = self._members
        suspicions = members.all_suspicions() if all_members else members.recent_suspicions()
        return News(
            records=members.all_records() if all_members else members.recent(),
            suspicions=suspicions + members.suspicions_of(address),
            members_sum=members.sum(),
            wants_all=self._wants_all(now),
            wants_rows=wants_rows,
            state_revision=belief.state_rows.revision,
            targets_revision=belief.target_rows.revision,
            state_read_s=belief.state_rows.read_s,
            targets_read_s=belief.target_rows.read_s,
            store_s=belief.store_clock.latest(),
            state=_delta(belief.state_rows, state_since),
            targets=_delta(belief.target_rows, targets_since),
        )

    def answer(self, news: News) -> News:
        """What the sender of ``news`` does not know."""
        address = news.records[0].peer_address if news.records else ""
        if not news.wants_rows:
            return self.news(all_members=news.wants_all, address=address)
        return self.news(news.state_revision, news.targets_revision, news.wants_all, address)

    def take(self, news: News, asked_at: t.Optional[float] = None) -> bool:
        """Take in news; whether the sender knows more still.

        :param asked_at: monotonic time at which the question was sent, if this is an answer.
        """
        belief = self.belief
        self._take_members(news)
        if asked_at is not None and news.store_s is not None:
            belief.store_clock.observe(asked_at, news.store_s)
        keys = _apply(belief.state_rows, news.state, news.state_read_s)
        belief.state_changed(keys)
        if news.targets is not None:
            belief.note_gap(belief.targets_age())
        keys = _apply(belief.target_rows, news.targets, news.targets_read_s)
        belief.targets_changed(keys)
        belief.state_rows.confirm(news.state_revision, news.state_read_s)
        belief.target_rows.confirm(news.targets_revision, news.targets_read_s)
        return (
            news.state_revision > belief.state_rows.revision
            or news.targets_revision > belief.target_rows.revision
        )

    def _take_members(self, news: News) -> None:
        members = self._members
        members.hear(news.records)
        members.doubt(news.suspicions)
        if news.members_sum == members.sum():
            self._differs_since = None
        elif self._differs_since is None:
            self._differs_since = self._clock.monotonic()

    def _ask_for_all(self) -> None:
        self._differs_since = -float("inf")

    def _wants_all(self, now: float) -> bool:
        """Whether others know more entries, as at a start, or have gone on knowing other things.

        The latter counts once it has lasted for longer than news take to spread.
        """
        if not self._members.alive():
            return True
        patience = defaults.GOSSIP_DIFFER_S * (1 + self._members.count() / _MEMBERS_PER_PATIENCE)
        if self._differs_since is None or now - self._differs_since < patience:
            return False
        self._differs_since = now
        return True


class GossipServer(PeerListener):
    """Answers the other entries.

    :param exchange: what to tell and what to take in.
    :param relay: hands a push on.
    :param pull: asks an entry that knows more.
    """

    def __init__(
        self,
        address: str,
        fleet_key: "FleetKey",
        hello: "Hello",
        exchange: Exchange,
        relay: "t.Callable[[News, t.Sequence[EntryId]], None]",
        pull: "t.Callable[[EntryId], None]",
        traffic: Traffic,
        metrics: "Metrics",
    ) -> None:
        super().__init__(address, fleet_key, hello, traffic, metrics)
        self._exchange = exchange
        self._relay = relay
        self._pull = pull

    def answer(self, peer: "Hello", message: "AnyMessage") -> t.Optional["AnyMessage"]:
        if isinstance(message, News):
            if self._exchange.take(message):
                self._pull(peer.entry_id)
            return self._exchange.answer(message)
        if isinstance(message, Push):
            self._relay(message.news, message.relay)
            if self._exchange.take(message.news):
                self._pull(peer.entry_id)
            return None
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
        exchange: Exchange,
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
        #: Seeds that could not be asked the last time.
        self._away: t.Set[str] = set()
        #: Whether an exchange is under way that is to bring all rows.
        self._pulling = False
        self._pushing: t.Optional[asyncio.TimerHandle] = None
        self._may_push_at = -float("inf")
        members.on_news = self._push_soon

    async def run(self) -> None:
        try:
            while True:
                self._members.look()
                for record in self._members.choose(defaults.GOSSIP_FANOUT):
                    self._ask(record.peer_address)
                if not self._members.alive():
                    self._ask_all()
                await asyncio.sleep(self._pause_s() * self._rng.uniform(0.9, 1.1))
        finally:
            if self._pushing is not None:
                self._pushing.cancel()
            for task in self._tasks:
                task.cancel()
            await self._links.close()

    def _pause_s(self) -> float:
        if self._exchange.belief.knows_rows:
            return defaults.GOSSIP_S
        return defaults.GOSSIP_START_S

    def may_be_told(self) -> bool:
        """Whether any seed may answer: false once all of them were asked in vain."""
        return not self._away.issuperset(self.seeds)

    def pull(self, entry_id: "EntryId") -> None:
        """Ask an entry that knows more."""
        address = self._members.address_of(entry_id)
        if address is not None:
            self._ask(address)

    def push(self, state_since: "Revision", targets_since: "Revision") -> None:
        """Tell all live entries what came after these revisions."""
        news = self._exchange.news(state_since, targets_since)
        turn = int(self._clock.monotonic() / defaults.RELAY_TURN_S)
        ordered = in_relay_order(self._members.alive(), self._members.own.entry_id, turn)
        self.relay(news, [record.entry_id for record in ordered])

    def relay(self, news: News, entry_ids: "t.Sequence[EntryId]") -> None:
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
        pause = (len(self._members.alive()) + 1) / defaults.MEMBER_PUSHES_PER_S
        self._may_push_at = self._clock.monotonic() + pause
        belief = self._exchange.belief
        self.push(belief.state_rows.revision, belief.target_rows.revision)

    def _ask_all(self) -> None:
        for address in self.seeds:
            self._ask(address)
        for entry_id in sorted(self._members.all_ids(), key=lambda _: self._rng.random())[:8]:
            self.pull(entry_id)

    def _ask(self, address: str) -> None:
        if address in self._asking or address == self._members.own.peer_address:
            return
        self._asking.add(address)
        self._spawn(self._exchange_news(address))

    async def _exchange_news(self, address: str) -> None:
        wants_rows = self._exchange.belief.knows_rows
        try:
            for _ in range(3):
                if not await self._exchange_once(address, wants_rows):
                    return
                # All rows are long: they are asked of one entry at a time, which has just answered.
                if not wants_rows and self._pulling:
                    return
                wants_rows = True
        except PeerError as error:
            if address in self.seeds:
                self._away.add(address)
            self._members.missed(address)
            log.debug("peer.not-asked", address=address, code=error.code, error=error.message)
        finally:
            self._asking.discard(address)

    async def _exchange_once(self, address: str, wants_rows: bool) -> bool:
        """Ask an entry once; whether it knows more still."""
        pulling = wants_rows and not self._exchange.belief.knows_rows
        self._pulling |= pulling
        asked_at = self._clock.monotonic()
        try:
            answer = await self._links.exchange(
                address,
                self._exchange.news(address=address, wants_rows=wants_rows),
                News,
                defaults.GOSSIP_TIMEOUT_S,
                kept_s=defaults.GOSSIP_KEPT_S,
            )
        finally:
            if pulling:
                self._pulling = False
        self._away.discard(address)
        self._members.reached(address)
        return self._exchange.take(answer.message, asked_at)

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


def _delta(replica: "Replica[t.Any]", since: "t.Optional[Revision]") -> "t.Optional[Delta]":
    if since is None or since >= replica.revision:
        return None
    return replica.delta(since)


def _apply(replica: "Replica[t.Any]", delta: "t.Optional[Delta]", read_s: float) -> t.Set[str]:
    if delta is None or delta.revision <= replica.revision or not replica.can_take(delta):
        return set()
    return replica.apply_delta(delta, read_s)
