"""Checks whether this entry or its targets are to blame for failed connections.

Carries out what :mod:`..placement.reachability` decides: probes targets, asks other entries about
them, answers their questions, and tells the fleet which services this entry is cut off from.
"""

import asyncio
import random
import typing as t

from .. import defaults
from ..exceptions import PeerError, TargetNotRunError
from ..ids import EntryState
from ..placement.reachability import Reachability, Witness
from ..process import log
from ..process.child import Child
from .messages import ReachReply, ReachRequest
from .pool import ConnectAttempt, ConnectResult

if t.TYPE_CHECKING:
    from ..ids import ServiceId, TargetId
    from ..peering.peer_links import PeerLinks
    from ..placement.targets import TargetRegistry, TargetState
    from ..process.clock import Clock
    from .members import Members
    from .model import EntryRecord, Target
    from .pool import ConnectionPool

#: Probes for other entries that run at a time; targets beyond them count as not reached.
_MAX_PROBES_FOR_OTHERS = 32


class ReachChecks(Child):
    """Checks suspected services, and probes those that this entry is cut off from.

    :param reachability: decides.
    :param targets: known targets.
    :param pool: opens connections to targets.
    :param members: the entries of the fleet.
    :param links: streams to other entries, used for these questions only.
    :param clock: tells the time.
    :param rng: chooses targets and entries.
    """

    name = "reach-checks"

    def __init__(
        self,
        reachability: Reachability,
        targets: "TargetRegistry",
        pool: "ConnectionPool",
        members: "Members",
        links: "PeerLinks",
        clock: "Clock",
        rng: random.Random,
    ) -> None:
        self._reachability = reachability
        self._targets = targets
        self._pool = pool
        self._members = members
        self._links = links
        self._clock = clock
        self._rng = rng
        self._checks: t.Dict["ServiceId", "asyncio.Task[None]"] = {}
        self._probes_for_others = 0
        self._has_cuts = asyncio.Event()
        reachability.on_change = self._publish
        pool.connect_listeners.append(self._note_connect_attempt)
        pool.on_slow_connect = self._note_slow_connect

    async def run(self) -> None:
        rounds = 0
        try:
            while True:
                await self._has_cuts.wait()
                await asyncio.sleep(defaults.REACH_ROUND_S * self._rng.uniform(0.9, 1.1))
                rounds += 1
                cut = self._reachability.cut_off_services()
                if not cut:
                    self._has_cuts.clear()
                asks = rounds % defaults.REACH_ROUNDS_PER_ASK == 0
                await asyncio.gather(*[self._probe_round(service, asks) for service in cut])
        finally:
            for task in self._checks.values():
                task.cancel()
            await self._links.close()

    def suspect(self, service: "ServiceId") -> None:
        """Checks a service, unless a check runs or ended just now, or no other entry is known."""
        if service in self._checks or not self._reachability.may_check(service):
            return
        if not self._entries_to_ask(service):
            return
        task = asyncio.create_task(self._check(service, self._clock.monotonic()))
        self._checks[service] = task
        task.add_done_callback(lambda _: self._checks.pop(service, None))

    async def settle(self, service: "ServiceId", timeout_s: float) -> None:
        """Waits until no check of a service runs, or the time is over."""
        task = self._checks.get(service)
        if task is not None:
            await asyncio.wait({task}, timeout=max(0.0, timeout_s))

    async def confirm_down(self, target: "Target") -> bool:
        """Whether a target that refused a connection is down, as far as others tell as well."""
        await self.settle(target.service, defaults.REACH_PROBE_S + defaults.REACH_ASK_S)
        return not self._reachability.is_cut_off(target.service)

    async def answer(self, request: ReachRequest) -> ReachReply:
        """Answers which targets this entry connects to; it probes those not connected lately."""
        since = self._clock.monotonic() - min(request.failing_s, defaults.REACH_KNOWN_S)
        reached = await asyncio.gather(*[self._reaches(one, since) for one in request.target_ids])
        pairs = zip(request.target_ids, reached, strict=True)
        return ReachReply(reached_ids=tuple([target_id for target_id, is_so in pairs if is_so]))

    async def _reaches(self, target_id: "TargetId", since: float) -> bool:
        state = self._targets.by_id.get(target_id)
        if state is None:
            return False
        if state.connected_at >= since:
            return True
        if self._probes_for_others >= _MAX_PROBES_FOR_OTHERS:
            return False
        self._probes_for_others += 1
        try:
            return await self._probe(state)
        finally:
            self._probes_for_others -= 1

    async def _probe(self, state: "TargetState") -> bool:
        try:
            await self._pool.probe(state.target, defaults.REACH_PROBE_S)
        except TargetNotRunError:
            return False
        return True

    async def _probe_all(self, states: t.Sequence["TargetState"]) -> bool:
        """Whether at least one of several targets is reached."""
        return any(await asyncio.gather(*[self._probe(state) for state in states]))

    async def _check(self, service: "ServiceId", since: float) -> None:
        reachability = self._reachability
        states = reachability.targets_to_probe(service, self._rng)
        if states:
            await asyncio.sleep(defaults.REACH_GRACE_S)
            if reachability.has_connected_since(service, since) or await self._probe_all(states):
                reachability.conclude_reached(service)
                return
        witness = await self._find_witness(service)
        if reachability.has_connected_since(service, since):
            reachability.conclude_reached(service)
        elif witness is None:
            reachability.conclude_down(service)
        else:
            reachability.conclude_cut_off(service, witness)

    async def _find_witness(self, service: "ServiceId") -> "t.Optional[Witness]":
        """Returns the first entry that answers that it reaches targets which this one does not."""
        target_ids = tuple(self._reachability.targets_to_ask_about(service))
        if not target_ids:
            return None
        request = ReachRequest(target_ids, self._reachability.failing_s(service))
        tasks = [
            asyncio.create_task(self._ask(record, request))
            for record in self._entries_to_ask(service)
        ]
        try:
            for answered in asyncio.as_completed(tasks):
                witness = await answered
                if witness is not None:
                    return witness
        finally:
            for task in tasks:
                task.cancel()
        return None

    async def _ask(self, record: "EntryRecord", request: ReachRequest) -> "t.Optional[Witness]":
        try:
            reply = await self._links.exchange(
                record.peer_address,
                request,
                ReachReply,
                defaults.REACH_ASK_S,
                record.entry_id,
                defaults.GOSSIP_REUSED_TIMEOUT_S,
            )
        except PeerError as error:
            log.debug("reach.not-answered", entry=record.entry_id, code=error.code)
            return None
        reached_ids = frozenset(reply.message.reached_ids)
        if not reached_ids:
            return None
        return Witness(record.entry_id, frozenset(request.target_ids) - reached_ids)

    def _entries_to_ask(self, service: "ServiceId") -> "t.List[EntryRecord]":
        """Returns some entries at random: one half of the own region, if it has as many.

        Entries that leave come last, but are asked too: those that serve may all be cut off.
        """
        own = self._members.own_record
        records = [
            record
            for record in self._members.alive_records()
            if record.transit and service not in record.cut_off_from
        ]
        self._rng.shuffle(records)
        records.sort(key=lambda record: record.state is not EntryState.SERVING)
        count = self._reachability.entries_to_ask(service)
        near = [record for record in records if record.region == own.region][: (count + 1) // 2]
        return near + [record for record in records if record not in near][: count - len(near)]

    async def _probe_round(self, service: "ServiceId", asks: bool) -> None:
        states = self._reachability.targets_to_probe(service, self._rng)
        succeeded = await self._probe_all(states)
        may_be_down = asks and not succeeded and bool(self._entries_to_ask(service))
        if may_be_down and await self._find_witness(service) is None:
            self._reachability.conclude_down(service)
        else:
            self._reachability.record_probes(service, succeeded)

    def _publish(self) -> None:
        services = self._reachability.cut_off_services()
        self._members.update_own(cut_off_from=services)
        if services:
            self._has_cuts.set()

    def _note_connect_attempt(self, attempt: ConnectAttempt) -> None:
        target = attempt.target
        if attempt.result is ConnectResult.CONNECTED:
            self._reachability.record_success(target.service, target.target_id)
            return
        refused = attempt.result is ConnectResult.REFUSED
        self._reachability.record_failure(target.service, target.target_id, refused)
        self.suspect(target.service)

    def _note_slow_connect(self, target: "Target") -> None:
        self.suspect(target.service)
