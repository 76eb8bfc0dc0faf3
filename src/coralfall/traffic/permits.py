"""Permits: acquires tokens from the owners of limits, and grants them as an owner.

How shares of a limit are leased is in :mod:`..placement.buckets`. Here is the protocol between
entries. Permit requests that wait for one owner go in one message, and the next one leaves when
its reply is there, so a limit that many requests need costs no more messages than round trips.
"""

import abc
import asyncio
import typing as t

from .. import defaults
from ..exceptions import PeerError
from ..ids import EntryState
from ..placement.buckets import UNLIMITED, Grant, group_by_region, slot_of
from ..process.child import Child
from .acquisition import Acquisition, Answer, deal
from .leases import Leases
from .messages import PermitReply, PermitRequest, TokenRequest
from .owners import Owners

if t.TYPE_CHECKING:
    from ..ids import EntryId, Incarnation
    from ..peering.messages import Hello
    from ..peering.peer_links import PeerLinks
    from ..placement.buckets import Limit, LimitKey, Slot, TokenBuckets
    from ..process.clock import Clock
    from .members import Members
    from .owners import Owner


class LimitSource(abc.ABC):
    """Limits of one kind that all entries keep together.

    Write your own by telling which limits there are::

        class OneLimit(LimitSource):
            def slots(self):
                return [slot_of(KEY)]

            def limit_of(self, key):
                return LIMIT if key == KEY else None
    """

    @abc.abstractmethod
    def slots(self) -> "t.Collection[Slot]":
        """Slots whose shares have to be leased, as limits in them are in force."""

    @abc.abstractmethod
    def limit_of(self, key: "LimitKey") -> "t.Optional[Limit]":
        """A limit as it is known here; nothing if it is not."""


class _Unused(t.NamedTuple):
    """Tokens that were granted and whose requests were not sent."""

    limit: "Limit"
    tokens: int


class _Queue:
    """What waits to be sent to one owner."""

    def __init__(self) -> None:
        self.waiting: t.List[Acquisition] = []
        self.unused: t.Dict["LimitKey", _Unused] = {}

    def note_unused(self, key: "LimitKey", limit: "Limit", tokens: int) -> None:
        before = self.unused.get(key)
        self.unused[key] = _Unused(limit, tokens + (before.tokens if before else 0))


class Permits(Child):
    """Keeps all entries together within limits.

    :param members: the entries.
    :param links: streams to the owners, used for nothing else.
    :param ledger: what others leased to this entry.
    :param clock: tells the time.
    """

    name = "permits"

    def __init__(
        self, members: "Members", links: "PeerLinks", buckets: "TokenBuckets", clock: "Clock"
    ) -> None:
        self._members = members
        self._links = links
        self._buckets = buckets
        self._clock = clock
        self._leases = Leases(members, buckets, clock)
        self.owners = Owners(members, self._leases.holds_any, clock)
        #: The limits; set once, before the start.
        self.sources: t.List[LimitSource] = []
        self._queues: t.Dict["EntryId", _Queue] = {}
        self._tasks: t.Set["asyncio.Task[None]"] = set()

    async def run(self) -> None:
        try:
            while True:
                slots = self._slots()
                if slots:
                    self._renew(slots)
                    self._buckets.tick()
                await asyncio.sleep(defaults.QUOTA_RENEW_INTERVAL_S)
        finally:
            for task in self._tasks:
                task.cancel()
            await self._links.close()

    async def acquire(
        self,
        key: "LimitKey",
        limit: "Limit",
        until: float,
        enough_part: float = float("inf"),
        spare_only: bool = False,
    ) -> Acquisition:
        """Acquire a token, trying owners in their order with hedged requests.

        :param until: monotonic time after which nothing is waited for.
        :param enough_part: part of all shares whose owners' refusals are final.
        :param spare_only: whether the reserved part of the bucket stays for others.
        """
        acquisition = Acquisition(key, limit, spare_only)
        try:
            for owner_id in tuple(self.owners.of(slot_of(key))):
                self._ask_one(owner_id, acquisition)
                await acquisition.wait(defaults.QUOTA_HEDGE_DELAY_S)
                if acquisition.granted is not None or acquisition.known_part() >= enough_part:
                    return acquisition
            await acquisition.wait(until - self._clock.monotonic())
        except asyncio.CancelledError:
            if acquisition.granted is not None:
                self.give_back(key, limit, acquisition.granted.owner_id)
            raise
        finally:
            acquisition.closed = True
        return acquisition

    def give_back(self, key: "LimitKey", limit: "Limit", owner_id: "EntryId") -> None:
        """Return a token to its owner: its request was not sent."""
        if owner_id == self._members.own_record.entry_id:
            self._buckets.return_tokens(key, 1)
        elif owner_id in self.owners.by_id:
            self._queue_of(owner_id).note_unused(key, limit, 1)

    def answer(self, peer: "Hello", request: PermitRequest) -> PermitReply:
        """Grant what another entry asks, and use what it leases."""
        now = self._clock.monotonic()
        own = self._members.own_record
        closed = own.state is EntryState.LEAVING
        if closed:
            self._buckets.end_leases(peer.entry_id)
        elif request.incarnation == own.incarnation and request.answered_s <= now:
            seconds = request.answered_s + request.seconds - now
            slots = [slot for group in request.slots for slot in group.slots()]
            self._buckets.add_lease(peer.entry_id, slots, request.share, seconds)
        return PermitReply(
            grants=tuple([self._grant(want) for want in request.wants]), now_s=now, closed=closed
        )

    def _grant(self, want: TokenRequest) -> Grant:
        limit = self._limit_of(want.key) or want.limit
        if limit == UNLIMITED:
            return Grant(want.count, 0.0, 0.0, 1.0)
        if want.unused:
            self._buckets.return_tokens(want.key, want.unused)
        return self._buckets.take(want.key, limit, want.count, want.spare_only)

    def _limit_of(self, key: "LimitKey") -> "t.Optional[Limit]":
        for source in self.sources:
            limit = source.limit_of(key)
            if limit is not None:
                return limit
        return None

    def _slots(self) -> "t.Set[Slot]":
        return {slot for source in self.sources for slot in source.slots()}

    def _ask_one(self, owner_id: "EntryId", acquisition: Acquisition) -> None:
        if owner_id == self._members.own_record.entry_id:
            slot = slot_of(acquisition.key)
            if self.owners.of(slot)[0] == owner_id:
                self._leases.keep([slot])
            grant = self._buckets.take(
                acquisition.key, acquisition.limit, 1, acquisition.spare_only
            )
            acquisition.take(Answer(grant, owner_id, self._clock.monotonic()))
            return
        owner = self.owners.by_id.get(owner_id)
        if owner is not None:
            acquisition.open += 1
            self._queue_of(owner_id).waiting.append(acquisition)
            self._converse_soon(owner)

    def _queue_of(self, owner_id: "EntryId") -> _Queue:
        return self._queues.setdefault(owner_id, _Queue())

    def _converse_soon(self, owner: "Owner") -> None:
        if owner.busy:
            return
        owner.busy = True
        task = asyncio.create_task(self._converse(owner))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _converse(self, owner: "Owner") -> None:
        """Ask an owner until nothing waits for it."""
        queue = self._queue_of(owner.entry_id)
        try:
            await self._exchange(owner, queue)
            while queue.waiting:
                await self._exchange(owner, queue)
        finally:
            owner.busy = False

    async def _exchange(self, owner: "Owner", queue: _Queue) -> None:
        asked = [one for one in queue.waiting if not one.closed]
        queue.waiting = []
        unused, queue.unused = queue.unused, {}
        by_want: t.Dict[t.Tuple["LimitKey", bool], t.List[Acquisition]] = {}
        for acquisition in asked:
            wanted = (acquisition.key, acquisition.spare_only)
            by_want.setdefault(wanted, []).append(acquisition)
        wants = [_want(some, unused.pop(key, None)) for (key, _), some in by_want.items()]
        wants += [TokenRequest(key, 0, one.tokens, one.limit) for key, one in unused.items()]
        request = self._request(owner, tuple(wants))
        try:
            reply = await self._links.exchange(
                owner.address, request, PermitReply, defaults.QUOTA_TIMEOUT_S, owner.entry_id
            )
        except PeerError as error:
            if self.owners.note_failure(owner, error):
                self._release(owner)
            for acquisition in asked:
                acquisition.open -= 1
                acquisition.take(None)
            return
        self._note_reply(owner, reply.message, reply.peer.incarnation)
        now = self._clock.monotonic()
        for some, grant in zip(by_want.values(), reply.message.grants, strict=False):
            unused_count = deal(some, Answer(grant, owner.entry_id, now))
            if unused_count:
                queue.note_unused(some[0].key, some[0].limit, unused_count)

    def _request(self, owner: "Owner", wants: t.Tuple[TokenRequest, ...]) -> PermitRequest:
        seconds = self._leases.seconds()
        until = owner.answered_at + seconds
        share = self._leases.share()
        if not share or owner.incarnation is None or until <= self._clock.monotonic():
            return PermitRequest(wants=wants)
        slots = self._slots_for(owner.entry_id)
        self._leases.lease(slots, owner.entry_id, until)
        return PermitRequest(
            wants=wants,
            slots=group_by_region(slots),
            share=share,
            seconds=seconds,
            answered_s=owner.answered_s,
            incarnation=owner.incarnation,
        )

    def _slots_for(self, owner_id: "EntryId") -> "t.List[Slot]":
        """Slots that an owner counts for, and whose shares nobody else can use any more."""
        found = []
        for slot in self._slots():
            if owner_id in self.owners.of(slot)[:1] and self._leases.may_use(slot, owner_id):
                found.append(slot)
        return found

    def _note_reply(self, owner: "Owner", reply: PermitReply, incarnation: "Incarnation") -> None:
        if owner.incarnation not in (None, incarnation):
            # The process that shares were leased to has ended.
            self._release(owner)
        self.owners.note_reply(owner, reply.now_s, incarnation, reply.closed)
        if reply.closed:
            self._release(owner)

    def _release(self, owner: "Owner") -> None:
        owner.incarnation = None
        self._leases.release(owner.entry_id)

    def _renew(self, slots: "t.Collection[Slot]") -> None:
        """Ask owners that were not asked for a while, so that shares stay leased to them."""
        self.owners.refresh()
        for entry_id in self._queues.keys() - self.owners.by_id.keys():
            del self._queues[entry_id]
        now = self._clock.monotonic()
        own_id = self._members.own_record.entry_id
        first_by_slot = {slot: owners[0] for slot in slots if (owners := self.owners.of(slot))}
        self._leases.keep([slot for slot, first in first_by_slot.items() if first == own_id])
        due = now - self._leases.seconds() * defaults.QUOTA_RENEW_FRACTION
        needed = set(first_by_slot.values())
        for owner in list(self.owners.by_id.values()):
            if owner.silent:
                if now >= owner.avoid_until:
                    # Whether it replies again is found out here, and by no request.
                    self._converse_soon(owner)
            elif self._queue_of(owner.entry_id).unused or self._is_due(owner, due, needed):
                self._converse_soon(owner)

    def _is_due(self, owner: "Owner", due: float, needed: "t.Collection[EntryId]") -> bool:
        """Whether an owner was not asked for a while, or may be leased more.

        One that counts no more is asked as well: if it leaves, it gives back at once what it has.
        """
        entry_id = owner.entry_id
        if owner.answered_at <= due:
            return entry_id in needed or self._leases.holds_any(entry_id)
        if entry_id not in needed:
            return False
        slots = self._slots_for(entry_id)
        return any(not self._leases.is_leased_to(slot, entry_id) for slot in slots)


def _want(waiting: t.Sequence[Acquisition], unused: t.Optional[_Unused]) -> TokenRequest:
    first = waiting[0]
    returned = unused.tokens if unused is not None else 0
    return TokenRequest(first.key, len(waiting), returned, first.limit, first.spare_only)
