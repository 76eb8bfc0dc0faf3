"""Acquires tokens from the owners of limits, and grants tokens to other entries as an owner.

The limits are distributed token buckets whose shares are leased to owners; see
:mod:`..placement.buckets`. This module has the protocol between entries. Token requests to the same
owner are batched: one message is in flight at a time, so a limit that many requests need costs no
more messages than round trips.
"""

import abc
import asyncio
import typing as t

from .. import defaults
from ..exceptions import PeerError
from ..ids import EntryState
from ..placement.buckets import UNLIMITED, Grant, group_by_region, slot_of
from ..process.child import Child
from .acquisition import Acquisition, OwnerReply, distribute_grant
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
    """Source of limits of one kind that apply to all entries together.

    Subclasses tell which limits there are::

        class OneLimit(LimitSource):
            def slots(self):
                return [slot_of(KEY)]

            def limit_of(self, key):
                return LIMIT if key == KEY else None
    """

    @abc.abstractmethod
    def slots(self) -> "t.Collection[Slot]":
        """Returns the slots that contain limits in force, whose shares have to be leased."""

    @abc.abstractmethod
    def limit_of(self, key: "LimitKey") -> "t.Optional[Limit]":
        """Returns a limit as this entry knows it; ``None`` if it is unknown."""


class _UnusedTokens(t.NamedTuple):
    """Granted tokens whose requests were not sent."""

    limit: "Limit"
    tokens: int


class _OwnerQueue:
    """Token requests and unused tokens to be sent to one owner."""

    def __init__(self) -> None:
        self.waiting: t.List[Acquisition] = []
        self.unused: t.Dict["LimitKey", _UnusedTokens] = {}

    def add_unused(self, key: "LimitKey", limit: "Limit", tokens: int) -> None:
        before = self.unused.get(key)
        self.unused[key] = _UnusedTokens(limit, tokens + (before.tokens if before else 0))


class Permits(Child):
    """Enforces limits over all entries together.

    :param members: the entries of the fleet.
    :param links: streams to the owners, used for permits only.
    :param ledger: the shares that other entries lease to this one.
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
        self.owners = Owners(members, self._leases.holds_lease, clock)
        #: Sources of limits; set once, before the start.
        self.sources: t.List[LimitSource] = []
        self._queues: t.Dict["EntryId", _OwnerQueue] = {}
        self._tasks: t.Set["asyncio.Task[None]"] = set()

    async def run(self) -> None:
        try:
            while True:
                slots = self._slots_in_force()
                if slots:
                    self._renew_leases(slots)
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
        quorum_share: float = float("inf"),
        spare_only: bool = False,
        in_turn: t.Optional[int] = None,
    ) -> Acquisition:
        """Tries to acquire a token from the owners in their order, with hedged requests.

        :param until: monotonic time at which waiting ends.
        :param quorum_share: fraction of all shares whose owners' refusals are conclusive.
        :param spare_only: whether the reserved part of the bucket is left to others.
        :param in_turn: number of owners that are asked one after the other, all if it is not given.
            The others are asked at once, and tokens beyond the first are returned.
        """
        acquisition = Acquisition(key, limit, spare_only)
        try:
            for place, owner_id in enumerate(tuple(self.owners.for_slot(slot_of(key)))):
                self._request_from(owner_id, acquisition)
                # Refusals without a share are those of owners that have just begun to count. Then
                # tokens are so few that asking for several of them would take those of others.
                is_refused = not in_turn or acquisition.refused_share() > 0
                is_at_once = in_turn is not None and place >= in_turn and is_refused
                if is_at_once and acquisition.granted is None:
                    continue
                await acquisition.wait(defaults.QUOTA_HEDGE_DELAY_S)
                if acquisition.granted is not None:
                    return acquisition
                if in_turn is None and acquisition.refused_share() >= quorum_share:
                    return acquisition
            if in_turn is not None:
                # An owner that is silent does not delay the refusal of the others.
                await acquisition.wait(defaults.QUOTA_HEDGE_DELAY_S)
                if acquisition.refused_share() >= quorum_share:
                    return acquisition
            await acquisition.wait(until - self._clock.monotonic())
        except asyncio.CancelledError:
            if acquisition.granted is not None:
                self.return_token(key, limit, acquisition.granted.owner_id)
            raise
        finally:
            acquisition.closed = True
        return acquisition

    def return_token(self, key: "LimitKey", limit: "Limit", owner_id: "EntryId") -> None:
        """Returns a token to its owner, as its request was not sent."""
        if owner_id == self._members.own_record.entry_id:
            self._buckets.return_tokens(key, 1)
        elif owner_id in self.owners.by_id:
            self._queue_of(owner_id).add_unused(key, limit, 1)

    def handle_request(self, peer: "Hello", request: PermitRequest) -> PermitReply:
        """Grants tokens to another entry and accepts the shares that it leases."""
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
            grants=tuple([self._grant(token_request) for token_request in request.wants]),
            now_s=now,
            closed=closed,
        )

    def _grant(self, token_request: TokenRequest) -> Grant:
        limit = self._limit_of(token_request.key) or token_request.limit
        if limit == UNLIMITED:
            return Grant(token_request.count, 0.0, 0.0, 1.0)
        if token_request.unused:
            self._buckets.return_tokens(token_request.key, token_request.unused)
        return self._buckets.take(
            token_request.key, limit, token_request.count, token_request.spare_only
        )

    def _limit_of(self, key: "LimitKey") -> "t.Optional[Limit]":
        for source in self.sources:
            limit = source.limit_of(key)
            if limit is not None:
                return limit
        return None

    def _slots_in_force(self) -> "t.Set[Slot]":
        return {slot for source in self.sources for slot in source.slots()}

    def _request_from(self, owner_id: "EntryId", acquisition: Acquisition) -> None:
        if owner_id == self._members.own_record.entry_id:
            slot = slot_of(acquisition.key)
            if self.owners.for_slot(slot)[0] == owner_id:
                self._leases.lease_to_self([slot])
            grant = self._buckets.take(
                acquisition.key, acquisition.limit, 1, acquisition.spare_only
            )
            acquisition.add_reply(OwnerReply(grant, owner_id, self._clock.monotonic()))
            return
        owner = self.owners.by_id.get(owner_id)
        if owner is not None:
            acquisition.pending += 1
            self._queue_of(owner_id).waiting.append(acquisition)
            self._start_exchange(owner)

    def _queue_of(self, owner_id: "EntryId") -> _OwnerQueue:
        return self._queues.setdefault(owner_id, _OwnerQueue())

    def _start_exchange(self, owner: "Owner") -> None:
        if owner.busy:
            return
        owner.busy = True
        task = asyncio.create_task(self._drain_queue(owner))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _drain_queue(self, owner: "Owner") -> None:
        """Exchanges messages with an owner until its queue is empty."""
        queue = self._queue_of(owner.entry_id)
        try:
            await self._exchange(owner, queue)
            while queue.waiting:
                await self._exchange(owner, queue)
        finally:
            owner.busy = False

    async def _exchange(self, owner: "Owner", queue: _OwnerQueue) -> None:
        acquisitions = [one for one in queue.waiting if not one.closed]
        queue.waiting = []
        unused, queue.unused = queue.unused, {}
        groups: t.Dict[t.Tuple["LimitKey", bool], t.List[Acquisition]] = {}
        for acquisition in acquisitions:
            group_key = (acquisition.key, acquisition.spare_only)
            groups.setdefault(group_key, []).append(acquisition)
        wants = [_token_request(group, unused.pop(key, None)) for (key, _), group in groups.items()]
        wants += [TokenRequest(key, 0, one.tokens, one.limit) for key, one in unused.items()]
        request = self._request(owner, tuple(wants))
        try:
            reply = await self._links.exchange(
                owner.address, request, PermitReply, defaults.QUOTA_TIMEOUT_S, owner.entry_id
            )
        except PeerError as error:
            if self.owners.note_failure(owner, error):
                self._release(owner)
            for acquisition in acquisitions:
                acquisition.pending -= 1
                acquisition.add_reply(None)
            return
        self._note_reply(owner, reply.message, reply.peer.incarnation)
        now = self._clock.monotonic()
        for group, grant in zip(groups.values(), reply.message.grants, strict=False):
            unused_count = distribute_grant(group, OwnerReply(grant, owner.entry_id, now))
            if unused_count:
                queue.add_unused(group[0].key, group[0].limit, unused_count)

    def _request(self, owner: "Owner", wants: t.Tuple[TokenRequest, ...]) -> PermitRequest:
        seconds = self._leases.duration_s()
        until = owner.last_reply_at + seconds
        share = self._leases.share()
        if not share or owner.incarnation is None or until <= self._clock.monotonic():
            return PermitRequest(wants=wants)
        slots = self._leasable_slots(owner.entry_id)
        self._leases.lease(slots, owner.entry_id, until)
        return PermitRequest(
            wants=wants,
            slots=group_by_region(slots),
            share=share,
            seconds=seconds,
            answered_s=owner.reply_clock_s,
            incarnation=owner.incarnation,
        )

    def _leasable_slots(self, owner_id: "EntryId") -> "t.List[Slot]":
        """Returns the slots whose shares this entry may lease to an owner."""
        leasable = []
        for slot in self._slots_in_force():
            if owner_id in self.owners.for_slot(slot)[:1] and self._leases.can_lease_to(
                slot, owner_id
            ):
                leasable.append(slot)
        return leasable

    def _note_reply(self, owner: "Owner", reply: PermitReply, incarnation: "Incarnation") -> None:
        if owner.incarnation not in (None, incarnation):
            # The process that held the leases has ended.
            self._release(owner)
        self.owners.note_reply(owner, reply.now_s, incarnation, reply.closed)
        if reply.closed:
            self._release(owner)

    def _release(self, owner: "Owner") -> None:
        owner.incarnation = None
        self._leases.release(owner.entry_id)

    def _renew_leases(self, slots: "t.Collection[Slot]") -> None:
        """Starts exchanges with owners whose leases need renewal, and probes unresponsive ones."""
        self.owners.refresh()
        for entry_id in self._queues.keys() - self.owners.by_id.keys():
            del self._queues[entry_id]
        now = self._clock.monotonic()
        own_id = self._members.own_record.entry_id
        first_by_slot = {
            slot: owners[0] for slot in slots if (owners := self.owners.for_slot(slot))
        }
        self._leases.lease_to_self(
            [slot for slot, first in first_by_slot.items() if first == own_id]
        )
        due_before = now - self._leases.duration_s() * defaults.QUOTA_RENEW_FRACTION
        needed = set(first_by_slot.values())
        for owner in list(self.owners.by_id.values()):
            if owner.is_unresponsive:
                if now >= owner.avoid_until:
                    # Probed here, so that no caller's request has to wait for it.
                    self._start_exchange(owner)
            elif self._queue_of(owner.entry_id).unused or self._is_due(owner, due_before, needed):
                self._start_exchange(owner)

    def _is_due(self, owner: "Owner", due_before: float, needed: "t.Collection[EntryId]") -> bool:
        """Whether an owner's leases need renewal, or more slots can be leased to it.

        An entry that is no owner any more but holds leases is asked as well: if it is leaving, its
        reply ends these leases at once.
        """
        entry_id = owner.entry_id
        if owner.last_reply_at <= due_before:
            return entry_id in needed or self._leases.holds_lease(entry_id)
        if entry_id not in needed:
            return False
        slots = self._leasable_slots(entry_id)
        return any(not self._leases.is_leased_to(slot, entry_id) for slot in slots)


def _token_request(
    waiting: t.Sequence[Acquisition], unused: t.Optional[_UnusedTokens]
) -> TokenRequest:
    first = waiting[0]
    returned = unused.tokens if unused is not None else 0
    return TokenRequest(first.key, len(waiting), returned, first.limit, first.spare_only)
