"""Asks the dispatchers of targets for slots, waits for notices, and releases assignments.

Messages to the same dispatcher are batched: one exchange is in flight at a time, and what comes
meanwhile goes with the next one. A dispatcher that does not answer costs its asks one time-out;
then the caller decides by its own knowledge. See :mod:`.dispatchers` for the choice.
"""

import asyncio
import itertools
import typing as t

from .. import defaults
from ..exceptions import PeerError
from ..placement.dispatch import AskNumber, DispatchAnswer, Ticket, Verdict
from ..process.child import Child
from .dispatch_loads import LoadReports
from .dispatch_outbox import HOLDING_VERDICTS, Batch, Outbox, PendingAsk
from .messages import DispatchNotice, DispatchReply

if t.TYPE_CHECKING:
    from ..ids import EntryId, ServiceId
    from ..peering.messages import Hello
    from ..peering.peer_links import PeerLinks
    from ..placement.dispatch import DispatchAsk, DispatchRelease, LoadShare
    from ..process.clock import Clock
    from .dispatch_server import DispatchServer
    from .dispatchers import Dispatchers
    from .members import Members
    from .model import Target
    from .telemetry import Telemetry

#: Dispatchers of a target that an ask tries, if the first one fails before its time is over.
_MAX_DISPATCHERS = 2
#: Seconds after which a queued ask that nobody waits for is dropped once it is of no use.
_UNCLAIMED_S = 1.0

#: A dispatcher, and an ask to it. An ask that failed may go to another one under its number.
_AskKey = t.Tuple["EntryId", AskNumber]


class DispatchClient(Child):
    """Asks for slots of targets.

    :param members: the entries of the fleet.
    :param dispatchers: the dispatchers of each target.
    :param server: answers for the targets that this entry dispatches itself.
    :param links: streams to the dispatchers, used for asks only.
    :param telemetry: counts the asks.
    :param clock: tells the time.
    """

    name = "dispatch-client"

    def __init__(
        self,
        members: "Members",
        dispatchers: "Dispatchers",
        server: "DispatchServer",
        links: "PeerLinks",
        telemetry: "Telemetry",
        clock: "Clock",
    ) -> None:
        self._members = members
        self._dispatchers = dispatchers
        self._server = server
        self._links = links
        self._telemetry = telemetry
        self._clock = clock
        self._numbers = itertools.count(1)
        self._pending: t.Dict[_AskKey, PendingAsk] = {}
        self._outboxes_by_id: t.Dict["EntryId", Outbox] = {}
        self._loads = LoadReports()
        self._remote_loads = LoadReports()
        self._tasks: t.Set["asyncio.Task[None]"] = set()
        self._stopping = False
        server.on_own_notice = self._note_own_notice

    async def run(self) -> None:
        try:
            while True:
                self._drop_gone()
                self._drop_unclaimed()
                self._probe()
                self._loads.add(self._own_id, self._server.service_loads(), self._now())
                await asyncio.sleep(defaults.DISPATCH_CHECK_S)
        finally:
            for outbox in self._outboxes_by_id.values():
                outbox.stop_timer()
            for task in self._tasks:
                task.cancel()
            await self._links.close()

    async def stop(self) -> None:
        self._stopping = True
        for outbox in self._outboxes_by_id.values():
            if not outbox.is_empty and not outbox.dispatcher.is_unresponsive:
                self._start_exchange(outbox)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=defaults.DISPATCH_STOP_S)

    def new_number(self) -> AskNumber:
        """Returns the number of a new ask."""
        return AskNumber(next(self._numbers))

    async def ask(self, target: "Target", ask: "DispatchAsk") -> t.Optional[Ticket]:
        """Asks the dispatcher of a target for a slot.

        If that fails before the dispatcher's time is over, the next in rank is asked once.
        Cancelling the caller's task cancels the ask.

        :returns: ``None`` if no dispatcher answered; never raises for faults of the network.
        """
        asked_at = self._now()
        ticket = await self._ask_in_order(target, ask, asked_at)
        self._telemetry.observe_ask(self._now() - asked_at)
        return ticket

    async def wait(self, ticket: Ticket, until: float) -> t.Optional[DispatchAnswer]:
        """Waits for the notice for a queued ask.

        A dispatcher that stops or is lost meanwhile counts as a notice ``NOT_DISPATCHER``.

        :param until: monotonic time at which waiting ends.
        :returns: ``None`` if no notice came; the ask is cancelled then.
        """
        key = (ticket.dispatcher_id, ticket.answer.number)
        pending = self._pending.get(key)
        if pending is None:
            return None
        try:
            await asyncio.wait({pending.notice}, timeout=max(0.0, until - self._now()))
        except asyncio.CancelledError:
            self._abandon(key, pending)
            raise
        if not pending.notice.done():
            self._abandon(key, pending)
            return None
        self._pending.pop(key, None)
        return pending.notice.result()

    def release(self, ticket: Ticket, release: "DispatchRelease") -> None:
        """Ends an assignment; one that was not waited for yet is cancelled."""
        key = (ticket.dispatcher_id, release.number)
        pending = self._pending.get(key)
        if pending is not None:
            self._abandon(key, pending)
        elif ticket.dispatcher_id == self._own_id:
            self._server.release(ticket.dispatcher_id, release)
        else:
            outbox = self._outbox_of(ticket.dispatcher_id)
            if outbox is not None:
                outbox.releases.add(release)
                self._schedule(outbox, defaults.DISPATCH_RELEASE_DELAY_S)

    def service_load(self, service: "ServiceId") -> "t.Optional[LoadShare]":
        """Returns the load of a service's targets in this entry's region; ``None`` if unknown."""
        return self._loads.share_of(service, self._now())

    def remote_load(self, service: "ServiceId") -> "t.Optional[LoadShare]":
        """Returns the load of a service's targets in all other regions; ``None`` if unknown."""
        return self._remote_loads.share_of(service, self._now())

    def silent_count(self) -> int:
        """Returns how many dispatchers are not asked as they did not answer."""
        return self._dispatchers.unresponsive_count()

    def handle_notice(self, peer: "Hello", message: DispatchNotice) -> None:
        """Receives a dispatcher's notices."""
        for answer in message.answers:
            self._note_notice(peer.entry_id, answer)

    @property
    def _own_id(self) -> "EntryId":
        return self._members.own_record.entry_id

    def _now(self) -> float:
        return self._clock.monotonic()

    async def _ask_in_order(
        self, target: "Target", ask: "DispatchAsk", asked_at: float
    ) -> t.Optional[Ticket]:
        until = float("inf")
        ranked = self._dispatchers.for_target(target)
        for entry_id in itertools.islice(ranked, _MAX_DISPATCHERS):
            pending = PendingAsk(ask, asked_at)
            answer: t.Optional[DispatchAnswer]
            if entry_id == self._own_id:
                answer = self._ask_self(pending)
            else:
                outbox = self._outbox_of(entry_id)
                if outbox is None:
                    continue
                until = min(until, asked_at + outbox.dispatcher.timeout_s)
                answer = await self._ask_other(outbox, pending, until)
            if answer is not None and answer.verdict is not Verdict.NOT_DISPATCHER:
                return Ticket(entry_id, answer)
            if self._now() >= until:
                break
        return None

    def _ask_self(self, pending: PendingAsk) -> DispatchAnswer:
        answer = self._server.ask(self._own_id, pending.aged(self._now()))
        if answer.verdict is Verdict.QUEUED:
            self._pending[(self._own_id, answer.number)] = pending
        return answer

    async def _ask_other(
        self, outbox: Outbox, pending: PendingAsk, until: float
    ) -> t.Optional[DispatchAnswer]:
        key = (outbox.dispatcher.entry_id, pending.ask.number)
        self._pending[key] = pending
        outbox.asks.append(pending)
        self._start_exchange(outbox)
        try:
            await asyncio.wait({pending.answer}, timeout=max(0.0, until - self._now()))
        except asyncio.CancelledError:
            self._abandon(key, pending)
            raise
        answer = pending.answer.result() if pending.answer.done() else None
        if answer is None:
            self._abandon(key, pending)
        elif answer.verdict is not Verdict.QUEUED:
            self._pending.pop(key, None)
        return answer

    def _abandon(self, key: _AskKey, pending: PendingAsk) -> None:
        """Ends the wait for an answer or a notice, and returns what was assigned."""
        self._pending.pop(key, None)
        pending.abandoned = True
        entry_id, number = key
        if entry_id == self._own_id:
            self._server.cancel(entry_id, number)
            return
        outbox = self._outboxes_by_id.get(entry_id)
        if outbox is not None and not pending.sent:
            if pending in outbox.asks:
                outbox.asks.remove(pending)
        elif pending.answer.done() and _holds(pending.answer.result()):
            # Without an answer, the end of the exchange decides.
            self._cancel(entry_id, number)

    def _cancel(self, entry_id: "EntryId", number: AskNumber) -> None:
        outbox = self._outbox_of(entry_id)
        if outbox is not None:
            outbox.cancels.add(number)
            self._schedule(outbox, defaults.DISPATCH_RELEASE_DELAY_S)

    def _note_own_notice(self, answer: DispatchAnswer) -> None:
        self._note_notice(self._own_id, answer)

    def _note_notice(self, entry_id: "EntryId", answer: DispatchAnswer) -> None:
        pending = self._pending.get((entry_id, answer.number))
        if pending is not None:
            pending.set_notice(answer)
        elif answer.verdict is Verdict.ASSIGNED:
            if entry_id == self._own_id:
                self._server.cancel(entry_id, answer.number)
            else:
                self._cancel(entry_id, answer.number)

    def _outbox_of(self, entry_id: "EntryId") -> t.Optional[Outbox]:
        dispatcher = self._dispatchers.get(entry_id)
        if dispatcher is None:
            return None
        outbox = self._outboxes_by_id.get(entry_id)
        if outbox is None or outbox.dispatcher is not dispatcher:
            if outbox is not None:
                self._drop(entry_id, outbox)
            outbox = self._outboxes_by_id[entry_id] = Outbox(dispatcher)
        return outbox

    def _schedule(self, outbox: Outbox, delay_s: float) -> None:
        """Starts an exchange after a delay, unless one is started before."""
        if outbox.busy or outbox.timer is not None or outbox.dispatcher.is_unresponsive:
            return
        loop = asyncio.get_running_loop()
        outbox.timer = loop.call_later(delay_s, self._start_exchange, outbox)

    def _start_exchange(self, outbox: Outbox) -> None:
        outbox.stop_timer()
        if outbox.busy:
            return
        outbox.busy = True
        task = asyncio.create_task(self._drain(outbox))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _drain(self, outbox: Outbox) -> None:
        """Exchanges messages with a dispatcher until it has answered all asks."""
        try:
            answered = await self._exchange(outbox)
            while outbox.asks or (self._stopping and answered and not outbox.is_empty):
                answered = await self._exchange(outbox)
        finally:
            outbox.busy = False
        if not outbox.is_empty:
            self._schedule(
                outbox,
                defaults.DISPATCH_RELEASE_DELAY_S if answered else defaults.DISPATCH_RETRY_DELAY_S,
            )

    async def _exchange(self, outbox: Outbox) -> bool:
        """Sends all that waits for a dispatcher; returns whether it answered."""
        dispatcher = outbox.dispatcher
        batch = outbox.take()
        try:
            reply = await self._links.exchange(
                dispatcher.address,
                batch.request(self._now()),
                DispatchReply,
                dispatcher.timeout_s,
                dispatcher.entry_id,
            )
        except PeerError as error:
            self._note_failure(outbox, batch, error)
            return False
        answers = reply.message.answers
        dispatches = all(answer.verdict is not Verdict.NOT_DISPATCHER for answer in answers)
        if self._dispatchers.note_reply(dispatcher, reply.peer.incarnation, dispatches):
            # The process that held the queued asks has ended.
            self._end_waits(dispatcher.entry_id)
        self._note_reply(outbox, batch, reply.message)
        return True

    def _note_failure(self, outbox: Outbox, batch: Batch, error: PeerError) -> None:
        dispatcher = outbox.dispatcher
        self._dispatchers.note_failure(dispatcher, error)
        outbox.put_back(batch, arrived=not isinstance(error.__cause__, ConnectionRefusedError))
        for pending in batch.asks:
            pending.set_answer(None)
        if dispatcher.is_unresponsive:
            outbox.fail_asks()
            for number in self._end_waits(dispatcher.entry_id):
                # It may only be paused, and go on with the asks.
                outbox.cancels.add(number)

    def _note_reply(self, outbox: Outbox, batch: Batch, reply: DispatchReply) -> None:
        dispatcher = outbox.dispatcher
        if reply.loads:
            is_near = dispatcher.region == self._members.own_record.region
            loads = self._loads if is_near else self._remote_loads
            loads.add(dispatcher.entry_id, reply.loads, self._now())
        answers_by_number = {answer.number: answer for answer in reply.answers}
        for pending in batch.asks:
            answer = answers_by_number.get(pending.ask.number)
            if pending.abandoned:
                if _holds(answer):
                    outbox.cancels.add(pending.ask.number)
                continue
            pending.set_answer(answer)
        if dispatcher.is_unresponsive:
            outbox.fail_asks()

    def _end_waits(self, entry_id: "EntryId") -> t.List[AskNumber]:
        """Ends the waits for notices of a dispatcher, and returns the numbers of the asks."""
        ended = []
        for (dispatcher_id, number), pending in self._pending.items():
            # An ask without an answer is not queued yet, or belongs to the process that follows.
            if dispatcher_id == entry_id and pending.answer.done() and not pending.notice.done():
                pending.end_wait()
                ended.append(number)
        return ended

    def _drop(self, entry_id: "EntryId", outbox: Outbox) -> None:
        outbox.stop_timer()
        outbox.fail_asks()
        self._end_waits(entry_id)
        self._loads.drop(entry_id)
        self._remote_loads.drop(entry_id)
        del self._outboxes_by_id[entry_id]

    def _drop_gone(self) -> None:
        """Drops what waits for entries that dispatch no target any more."""
        self._dispatchers.refresh()
        for entry_id, outbox in list(self._outboxes_by_id.items()):
            if self._dispatchers.by_id.get(entry_id) is not outbox.dispatcher:
                self._drop(entry_id, outbox)

    def _drop_unclaimed(self) -> None:
        """Drops queued asks whose callers never waited for the notice."""
        now = self._now()
        for key, pending in list(self._pending.items()):
            if now > pending.is_useless_at + _UNCLAIMED_S:
                self._abandon(key, pending)

    def _probe(self) -> None:
        """Starts exchanges with unresponsive dispatchers, so that no caller has to wait for it."""
        now = self._now()
        for outbox in self._outboxes_by_id.values():
            if outbox.dispatcher.is_unresponsive and now >= outbox.dispatcher.probe_at:
                self._start_exchange(outbox)


def _holds(answer: t.Optional[DispatchAnswer]) -> bool:
    """Whether the dispatcher keeps a slot or a place in its queue."""
    return answer is not None and answer.verdict in HOLDING_VERDICTS
