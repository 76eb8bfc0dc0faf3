"""Spreads news among the entries, and carries loans and objects between them.

In each round an entry exchanges heartbeats with its neighbours (:mod:`coralfall.peering.gossip`):
with
all of them if there is news, while the platform is silent and while loans are sought, else with
one of them, since a heartbeat that says nothing new is most of what peers send. If
the answer shows that this entry is behind, it asks for the peer's heads; if it shows that the
peer is behind, this entry sends its own heads on the same stream. The one behind could ask
for them as well, but would have to open a stream of its own first, and could not do so before
it knows where the other one listens. Objects are always asked for by whoever needs them.
"""

import asyncio
import traceback
import typing as t

from .. import defaults
from ..bundles.bundle import digest_of
from ..exceptions import PeerError, PeerUnreachableError
from ..ids import Digest, EntryId
from ..process import log
from ..process.child import PERIODIC_JITTER, Child
from . import gossip
from .messages import (
    Heartbeat,
    LoanAnswer,
    LoanRequest,
    LoanReturn,
    ObjectAnswer,
    ObjectRequest,
    SyncAnswer,
    SyncRequest,
)
from .peer_directory import PeerDirectory
from .peer_handler import PeerHandler
from .peer_links import PeerLinks
from .peer_server import trimmed

if t.TYPE_CHECKING:
    import random as random_module

    from ..process.clock import Clock
    from ..process.metrics import Metrics
    from ..settings import EntrySettings
    from .channel import Traffic
    from .cipher import FleetKey
    from .messages import Hello


class PeerNetwork(Child):
    """This entry's conversation with the others, as far as it begins it.

    :param settings: the entry's settings.
    :param fleet_key: the key that all entries hold.
    :param hello: what to say of ourselves.
    :param handler: what the entry does with the messages.
    :param directory: what is known of the peers; shared with the :class:`PeerServer`.
    :param clock: the VM's clocks.
    :param random: choice of neighbours.
    :param traffic: counts the bytes.
    :param metrics: counts exchanges that failed.
    """

    name = "peer-network"

    def __init__(
        self,
        settings: "EntrySettings",
        fleet_key: "FleetKey",
        hello: "Hello",
        handler: PeerHandler,
        directory: PeerDirectory,
        clock: "Clock",
        random: "random_module.Random",
        traffic: "Traffic",
        metrics: "Metrics",
    ) -> None:
        self._settings = settings
        self._handler = handler
        self._directory = directory
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._links = PeerLinks(fleet_key, hello, traffic)
        self._neighbours = gossip.Neighbours(settings.entry_id, settings.region, random)
        self._news = asyncio.Event()
        self._tasks: t.Set[asyncio.Task[None]] = set()
        self._running: t.Set[EntryId] = set()
        self._again: t.Set[EntryId] = set()
        self._bootstrapping = False
        self._borrowing_until = float("-inf")

    async def run(self) -> None:
        # The first round is with all neighbours, for whoever starts knows nothing yet.
        self.announce()
        try:
            while True:
                self._begin_round()
                await self._pause()
        finally:
            await self._cancel_tasks()
            await self._links.close()

    def announce(self) -> None:
        """Tell the neighbours at once that this entry knows something new."""
        self._news.set()

    async def fetch_object(self, digest: Digest) -> bytes:
        """An object that some peer holds; its bytes have that digest.

        Those that know the newest versions are asked first.

        :raises PeerUnreachableError: if none of ``MAX_OBJECT_PEERS`` peers gave it.
        """
        members_by_id = self._others_by_id()
        entry_ids = list(members_by_id)
        self._random.shuffle(entry_ids)
        for entry_id in self._directory.best_informed(entry_ids)[: defaults.MAX_OBJECT_PEERS]:
            address = members_by_id[entry_id].peer_address
            data = await self._ask_for_object(address, entry_id, digest)
            if data is not None:
                return data
        for address in self._settings.peers.seeds:
            data = await self._ask_for_object(address, None, digest)
            if data is not None:
                return data
        raise PeerUnreachableError(f"no peer gave object {digest}", digest=digest)

    async def request_loan(self, entry_id: EntryId, request: LoanRequest) -> LoanAnswer:
        """Ask an entry to lend slots.

        Take the time before the call: that is when the loan's seconds begin.

        :raises PeerError: if no answer came; the entry may have set slots aside for us.
        """
        self._borrowing_until = self._clock.monotonic() + defaults.PEER_BORROWING_S
        answer = await self._links.exchange(
            self._address_of(entry_id),
            request,
            LoanAnswer,
            defaults.PEER_LOAN_TIMEOUT_S,
            expected=entry_id,
        )
        return answer.message

    async def return_loan(self, entry_id: EntryId, loan: LoanReturn) -> None:
        """Give slots back to their owner before their time is over.

        :raises PeerError: if the owner can't be told; it waits until the time is over.
        """
        await self._links.post(self._address_of(entry_id), loan, expected=entry_id)

    async def bootstrap(self, seeds: t.Sequence[str]) -> int:
        """Ask up to ``MAX_BOOTSTRAP_PEERS`` of the entries at some addresses for all they know.

        :param seeds: addresses as ``ip:port``; tried in random order.
        :return: how many answered.
        """
        answered = 0
        addresses = list(seeds)
        self._random.shuffle(addresses)
        for address in addresses:
            if answered >= defaults.MAX_BOOTSTRAP_PEERS:
                break
            try:
                await self._sync(address, None, roster=True)
            except PeerError as error:
                self._note_error(address, error)
                continue
            answered += 1
        return answered

    def _begin_round(self) -> None:
        members_by_id = self._handler.members_by_id()
        self._directory.forget_others(members_by_id)
        entry_ids = self._neighbours.next_round(
            members_by_id, self._directory.avoided(), self._is_urgent()
        )
        self._news.clear()
        for entry_id in entry_ids:
            self._begin_exchange(entry_id)
        if not entry_ids and not self._bootstrapping:
            self._spawn(self._bootstrap_from_seeds())

    def _is_urgent(self) -> bool:
        silent = self._handler.heartbeat().platform_age_s >= defaults.PEER_ROSTER_FALLBACK_S
        return silent or self._news.is_set() or self._clock.monotonic() < self._borrowing_until

    def _begin_exchange(self, entry_id: EntryId) -> None:
        # A peer that is slow to answer must learn the news afterwards, but not hold up others.
        if entry_id in self._running:
            self._again.add(entry_id)
            return
        self._running.add(entry_id)
        self._spawn(self._exchange_until_told(entry_id))

    async def _exchange_until_told(self, entry_id: EntryId) -> None:
        try:
            await self._exchange_heartbeats(entry_id)
            while entry_id in self._again:
                self._again.discard(entry_id)
                await self._exchange_heartbeats(entry_id)
        except PeerError as error:
            self._directory.note_failure(entry_id)
            self._note_error(entry_id, error)
        finally:
            self._running.discard(entry_id)
            self._again.discard(entry_id)

    async def _exchange_heartbeats(self, entry_id: EntryId) -> None:
        address = self._address_of(entry_id)
        asked_at = self._clock.monotonic()
        answer = await self._links.exchange(
            address, self._handler.heartbeat(), Heartbeat, defaults.PEER_TIMEOUT_S, entry_id
        )
        theirs = answer.message
        self._directory.note_answer(entry_id)
        self._directory.hear(entry_id, theirs)
        self._handler.on_heartbeat(answer.peer, theirs, asked_at)
        ours = self._handler.heartbeat()
        behind = gossip.lag(ours, theirs)
        if behind.heads or behind.roster:
            await self._sync(address, entry_id, behind.roster)
        ahead = gossip.lag(theirs, ours)
        if ahead.heads or ahead.roster:
            message = trimmed(self._handler.sync(), ahead.roster)
            await self._links.post(address, message, expected=entry_id)

    async def _sync(self, address: str, entry_id: t.Optional[EntryId], roster: bool) -> None:
        request = SyncRequest(roster=roster)
        answer = await self._links.exchange(
            address, request, SyncAnswer, defaults.PEER_TIMEOUT_S, expected=entry_id
        )
        self._handler.on_sync(answer.peer, answer.message)

    async def _bootstrap_from_seeds(self) -> None:
        self._bootstrapping = True
        try:
            await self.bootstrap(self._settings.peers.seeds)
        finally:
            self._bootstrapping = False

    async def _ask_for_object(
        self, address: str, entry_id: t.Optional[EntryId], digest: Digest
    ) -> t.Optional[bytes]:
        try:
            answer = await self._links.exchange(
                address,
                ObjectRequest(digest=digest),
                ObjectAnswer,
                defaults.PEER_OBJECT_TIMEOUT_S,
                expected=entry_id,
            )
        except PeerError as error:
            self._note_error(entry_id or address, error)
            return None
        data = answer.message.data
        if data is None:
            return None
        if digest_of(data) != digest:
            log.warning("peer.wrong_object", peer=answer.peer.entry_id, digest=digest)
            return None
        return data

    def _others_by_id(self) -> gossip.MembersById:
        members_by_id = {**self._handler.members_by_id()}
        members_by_id.pop(self._settings.entry_id, None)
        return members_by_id

    def _address_of(self, entry_id: EntryId) -> str:
        member = self._handler.members_by_id().get(entry_id)
        if member is None:
            raise PeerUnreachableError(f"{entry_id} is not in the roster")
        return member.peer_address

    async def _pause(self) -> None:
        jitter = self._random.uniform(1 - PERIODIC_JITTER, 1 + PERIODIC_JITTER)
        try:
            async with asyncio.timeout(self._settings.peers.heartbeat_s * jitter):
                await self._news.wait()
        except TimeoutError:
            pass

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            trace = "".join(traceback.format_exception(error))
            log.error("peer.failed", error=error, traceback=trace)
            self._metrics.count("peers.failed")

    async def _cancel_tasks(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def _note_error(self, peer: str, error: PeerError) -> None:
        self._metrics.count(f"peers.{error.code}")
        log.info("peer.unanswered", peer=peer, code=error.code, error=error.message)
