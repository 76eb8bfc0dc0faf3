"""Answers the asks of all entries for the targets that this entry dispatches, and sends notices.

Decisions are those of the ledger. This module keeps track of the entries that ask, so that what
belongs to a process that has ended is dropped, and runs the ledger's timers while it has work.
"""

import asyncio
import typing as t

from .. import defaults
from ..exceptions import PeerError, PeerUnreachableError
from ..ids import EntryState
from ..placement.dispatch import DispatchAnswer, Verdict
from ..process import log
from ..process.child import Child
from .dispatch_outbox import HOLDING_VERDICTS
from .messages import DispatchNotice, DispatchReply, DispatchRequest

if t.TYPE_CHECKING:
    from ..ids import EntryId, Incarnation
    from ..peering.messages import Hello
    from ..peering.peer_links import PeerLinks
    from ..placement.dispatch import AskNumber, DispatchAsk, DispatchRelease, ServiceLoad
    from ..process.clock import Clock
    from .members import Members

#: Seconds without a message after which an entry that is not alive by the membership is dropped.
#: One that has just joined asks before the membership knows it.
_GONE_S = 2.0


class Ledger(t.Protocol):
    """Assigns the slots of targets to the requests of all entries."""

    #: Called when a queued ask is assigned or refused.
    on_notice: "t.Callable[[EntryId, DispatchAnswer], None]"

    def ask(self, entry_id: "EntryId", ask: "DispatchAsk") -> DispatchAnswer:
        """Answers an ask."""

    def release(self, entry_id: "EntryId", release: "DispatchRelease") -> None:
        """Ends an assignment; unknown numbers are ignored."""

    def cancel(self, entry_id: "EntryId", number: "AskNumber") -> None:
        """Removes a queued ask, or ends an assignment that was not used."""

    def drop_entry(self, entry_id: "EntryId") -> None:
        """Removes all asks and assignments of an entry."""

    def tick(self) -> None:
        """Expires assignments, and refuses queued asks that became useless."""

    def service_loads(self) -> "t.Tuple[ServiceLoad, ...]":
        """Returns the loads of the targets that were asked for lately."""

    def close(self) -> None:
        """Refuses all queued asks."""


class _Peer:
    """An entry that asks."""

    def __init__(self, incarnation: "Incarnation") -> None:
        self.incarnation = incarnation
        self.heard_at = -float("inf")
        self.loads_sent_at = -float("inf")


class _OpenAsk(t.NamedTuple):
    """An ask that the ledger holds a slot or a place in a queue for."""

    expires_ms: int
    #: Monotonic time from which on the ledger holds nothing for it.
    until: float


class DispatchServer(Child):
    """Answers asks with the ledger.

    :param members: the entries of the fleet.
    :param ledger: decides.
    :param links: streams to the entries that wait, used for notices only.
    :param clock: tells the time.
    """

    name = "dispatch-server"

    def __init__(
        self, members: "Members", ledger: Ledger, links: "PeerLinks", clock: "Clock"
    ) -> None:
        self._members = members
        self._ledger = ledger
        self._links = links
        self._clock = clock
        self._closed = False
        #: Called with notices for asks of this entry itself.
        self.on_own_notice: t.Callable[[DispatchAnswer], None] = lambda answer: None
        self._peers_by_id: t.Dict["EntryId", _Peer] = {}
        self._open_by_id: t.Dict["EntryId", t.Dict["AskNumber", _OpenAsk]] = {}
        self._has_work = asyncio.Event()
        self._notices_by_id: t.Dict["EntryId", t.List[DispatchAnswer]] = {}
        self._posting: t.Dict["EntryId", "asyncio.Task[None]"] = {}
        ledger.on_notice = self._send_notice

    async def run(self) -> None:
        try:
            while True:
                await self._has_work.wait()
                while self._open_by_id:
                    self._ledger.tick()
                    self._drop_gone()
                    await asyncio.sleep(defaults.DISPATCH_TICK_S)
                self._has_work.clear()
        finally:
            for task in self._posting.values():
                task.cancel()
            await self._links.close()

    async def stop(self) -> None:
        self.close()
        if self._posting:
            await asyncio.wait(set(self._posting.values()), timeout=defaults.DISPATCH_STOP_S)

    def close(self) -> None:
        """Ends all queues; from now on this entry dispatches no target."""
        if not self._closed:
            self._closed = True
            self._ledger.close()

    def handle_request(self, peer: "Hello", request: DispatchRequest) -> DispatchReply:
        """Answers another entry."""
        entry_id = peer.entry_id
        known = self._note_peer(peer)
        for release in request.releases:
            self.release(entry_id, release)
        for number in request.cancels:
            self.cancel(entry_id, number)
        answers = tuple([self.ask(entry_id, ask) for ask in request.asks])
        return DispatchReply(answers=answers, loads=self._loads_for(known))

    def ask(self, entry_id: "EntryId", ask: "DispatchAsk") -> DispatchAnswer:
        """Answers an ask of this or another entry."""
        if not self._is_dispatcher():
            return DispatchAnswer(ask.number, Verdict.NOT_DISPATCHER)
        answer = self._ledger.ask(entry_id, ask)
        if answer.verdict in HOLDING_VERDICTS:
            held_ms = ask.expires_ms
            if answer.verdict is Verdict.QUEUED:
                held_ms += ask.start_within_ms
            until = self._clock.monotonic() + held_ms / 1000
            open_asks = self._open_by_id.setdefault(entry_id, {})
            open_asks[ask.number] = _OpenAsk(ask.expires_ms, until)
            self._has_work.set()
        return answer

    def release(self, entry_id: "EntryId", release: "DispatchRelease") -> None:
        """Ends an assignment."""
        self._forget(entry_id, release.number)
        self._ledger.release(entry_id, release)

    def cancel(self, entry_id: "EntryId", number: "AskNumber") -> None:
        """Removes a queued ask, or ends an assignment that was not used."""
        self._forget(entry_id, number)
        self._ledger.cancel(entry_id, number)

    def service_loads(self) -> "t.Tuple[ServiceLoad, ...]":
        """Returns the loads of the targets that this entry dispatches."""
        return self._ledger.service_loads()

    def _is_dispatcher(self) -> bool:
        own = self._members.own_record
        if own.state is EntryState.LEAVING:
            self.close()
        return own.ready and not self._closed

    def _note_peer(self, hello: "Hello") -> _Peer:
        peer = self._peers_by_id.get(hello.entry_id)
        if peer is None or peer.incarnation != hello.incarnation:
            if peer is not None:
                self._drop_entry(hello.entry_id)
            peer = self._peers_by_id[hello.entry_id] = _Peer(hello.incarnation)
        peer.heard_at = self._clock.monotonic()
        return peer

    def _loads_for(self, peer: _Peer) -> "t.Tuple[ServiceLoad, ...]":
        now = self._clock.monotonic()
        if self._closed or now - peer.loads_sent_at < defaults.DISPATCH_LOAD_INTERVAL_S:
            return ()
        loads = self._ledger.service_loads()
        if loads:
            peer.loads_sent_at = now
        return loads

    def _forget(self, entry_id: "EntryId", number: "AskNumber") -> None:
        open_asks = self._open_by_id.get(entry_id)
        if open_asks is not None:
            open_asks.pop(number, None)
            if not open_asks:
                del self._open_by_id[entry_id]

    def _drop_entry(self, entry_id: "EntryId") -> None:
        self._open_by_id.pop(entry_id, None)
        self._notices_by_id.pop(entry_id, None)
        self._ledger.drop_entry(entry_id)

    def _drop_gone(self) -> None:
        """Forgets asks that have expired, and drops entries that are no members any more."""
        now = self._clock.monotonic()
        alive = {record.entry_id for record in self._members.alive_records()}
        for entry_id, peer in list(self._peers_by_id.items()):
            if entry_id not in alive and now - peer.heard_at > _GONE_S:
                del self._peers_by_id[entry_id]
                self._drop_entry(entry_id)
        for entry_id, open_asks in list(self._open_by_id.items()):
            for number in [one for one, held in open_asks.items() if held.until < now]:
                self._forget(entry_id, number)

    def _send_notice(self, entry_id: "EntryId", answer: DispatchAnswer) -> None:
        self._renew(entry_id, answer)
        if entry_id == self._members.own_record.entry_id:
            # Not within the ledger's call: the receiver may call the ledger.
            asyncio.get_running_loop().call_soon(self.on_own_notice, answer)
            return
        self._notices_by_id.setdefault(entry_id, []).append(answer)
        if entry_id not in self._posting:
            self._posting[entry_id] = asyncio.create_task(self._post_notices(entry_id))

    def _renew(self, entry_id: "EntryId", answer: DispatchAnswer) -> None:
        """Updates how long the ledger holds something for an ask that it sends a notice for."""
        held = self._open_by_id.get(entry_id, {}).get(answer.number)
        if held is None:
            return
        if answer.verdict is not Verdict.ASSIGNED:
            self._forget(entry_id, answer.number)
            return
        until = self._clock.monotonic() + held.expires_ms / 1000
        self._open_by_id[entry_id][answer.number] = held._replace(until=until)

    async def _post_notices(self, entry_id: "EntryId") -> None:
        """Sends an entry its notices, one message at a time."""
        try:
            while answers := self._notices_by_id.pop(entry_id, []):
                await self._post(entry_id, answers)
        finally:
            del self._posting[entry_id]

    async def _post(self, entry_id: "EntryId", answers: t.Sequence[DispatchAnswer]) -> None:
        address = self._members.address_of(entry_id)
        try:
            if address is None:
                raise PeerUnreachableError(f"the address of {entry_id} is not known")
            notice = DispatchNotice(answers=tuple(answers))
            await self._links.post(address, notice, entry_id)
        except PeerError as error:
            self._note_undelivered(entry_id, answers, error)

    def _note_undelivered(
        self, entry_id: "EntryId", answers: t.Sequence[DispatchAnswer], error: PeerError
    ) -> None:
        log.debug("dispatch.notice-lost", entry=entry_id, code=error.code, count=len(answers))
        if isinstance(error.__cause__, ConnectionRefusedError):
            # The process has ended.
            self._drop_entry(entry_id)
        elif isinstance(error, PeerUnreachableError):
            for answer in answers:
                if answer.verdict is Verdict.ASSIGNED:
                    self.cancel(entry_id, answer.number)
