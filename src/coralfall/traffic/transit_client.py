"""Transit client: sends requests to targets through other entries while this one is cut off.

See :mod:`.transit_server` for the other side. A request is handed to one entry at most; if it is
lost on the way, whether its target has run it is not known.
"""

import asyncio
import random
import typing as t

from .. import defaults
from ..exceptions import (
    PeerError,
    PeerTimeoutError,
    RefusedError,
    TargetNotRunError,
    TargetTimeoutError,
    TargetUnknownError,
)
from ..ids import EntryId
from ..peering.channel import Traffic, dial
from ..peering.peer_calls import CallStream
from ..placement.lifetime import lifetime_of
from ..placement.transit_choice import choose_transit
from ..process import log
from ..process.child import Child
from .messages import TransitCancel, TransitOutcome, TransitReply, TransitRequest
from .response_parser import ServerResponse
from .target_connections import BUSY, NO_PATH, TargetConnection
from .target_exchange import OutgoingRequest

if t.TYPE_CHECKING:
    from ..ids import RegionId, ServiceId
    from ..peering.cipher import FleetKey
    from ..peering.messages import Hello
    from ..placement.targets import TargetState
    from ..process.clock import Clock
    from .members import Members
    from .model import EntryRecord

#: Entries to which a stream is opened in vain before a request is given up.
_MAX_DIALS = 2
_CHECK_S = 0.25
#: Seconds for which an entry is avoided, by the reason for which it did not carry a request.
_AVOID_S_BY_REASON = {NO_PATH: defaults.TRANSIT_AVOID_S, BUSY: defaults.TRANSIT_BUSY_S}
#: Entry, and the service that it could not carry requests to.
_AvoidKey = t.Tuple[EntryId, "ServiceId"]


class TransitConnection(TargetConnection):
    """The way to a target through another entry.

    :param client: opened it.
    :param entry_id: the entry that carries the request.
    :param stream: stream to that entry.
    :param state: the target.
    :param reusable: whether that entry may use a connection that has carried a request.
    """

    def __init__(
        self,
        client: "TransitClient",
        entry_id: EntryId,
        stream: CallStream[TransitReply],
        state: "TargetState",
        reusable: bool,
    ) -> None:
        self.via = self._entry_id = entry_id
        self._client = client
        self._stream = stream
        self._state = state
        self._reusable = reusable
        self._crashed = False

    @property
    def is_interrupted(self) -> bool:
        return self._crashed

    @property
    def is_target_crashed(self) -> bool:
        return self._crashed

    async def exchange(self, request: OutgoingRequest, time_left_s: float) -> ServerResponse:
        if request.body_stream is not None:
            message = "the body is too long to be carried by another entry"
            raise TargetNotRunError(message, reason="transit-body")
        try:
            async with asyncio.timeout(time_left_s):
                reply = await self._stream.call(
                    lambda number: TransitRequest(
                        number=number,
                        target=lifetime_of(self._state.target),
                        head=request.head,
                        body=request.body,
                        time_left_ms=max(1, int(time_left_s * 1000)),
                        reusable=self._reusable,
                        bodiless=request.bodiless,
                    ),
                    lambda number: TransitCancel(number=number),
                )
        except TimeoutError as error:
            message = f"no whole answer by way of {self.via} before the request's time was over"
            is_silent = self._stream.silent_s > defaults.TRANSIT_SILENT_S
            reason = NO_PATH if is_silent else "time"
            raise TargetTimeoutError(message, reason=reason) from error
        except PeerError as error:
            message = f"{self.via} was lost while it carried the request: {error.message}"
            raise TargetUnknownError(message, reason=NO_PATH) from error
        return self._response_of(reply, request)

    def release(self) -> None:
        """Does nothing: the stream is shared, and the other entry keeps its own connection."""

    abort = release

    def _response_of(self, reply: TransitReply, request: OutgoingRequest) -> ServerResponse:
        """Returns the target's response, or raises what the other entry's own attempt would."""
        message = f"by way of {self.via}: {reply.reason}"
        if reply.outcome is TransitOutcome.ANSWERED:
            if request.on_body_bytes is not None:
                request.on_body_bytes(len(reply.body))
            return ServerResponse(reply.status, list(reply.headers), reply.body)
        if reply.outcome is TransitOutcome.TIMED_OUT:
            raise TargetTimeoutError(message, reason=reply.reason)
        if reply.outcome is TransitOutcome.UNKNOWN:
            self._crashed = reply.crashed
            raise TargetUnknownError(message, reason=reply.reason)
        reason = reply.reason
        if reason in _AVOID_S_BY_REASON:
            service = self._state.target.service
            self._client.avoid(self._entry_id, service, _AVOID_S_BY_REASON[reason])
            reason = NO_PATH
        raise TargetNotRunError(
            message,
            reason=reason,
            refused=reply.refused,
            unsent=True,
            cooldown_s=reply.cooldown_s,
        )


class TransitClient(Child):
    """Opens streams to entries that carry requests, and closes those not needed any more.

    :param members: the entries of the fleet.
    :param fleet_key: the key that all entries hold.
    :param hello: what to say of this entry.
    :param traffic: counts the bytes.
    :param clock: tells the time.
    :param rng: chooses between entries.
    """

    name = "transit-client"

    def __init__(
        self,
        members: "Members",
        fleet_key: "FleetKey",
        hello: "Hello",
        traffic: Traffic,
        clock: "Clock",
        rng: random.Random,
    ) -> None:
        self._members = members
        self._fleet_key = fleet_key
        self._hello = hello
        self._traffic = traffic
        self._clock = clock
        self._rng = rng
        self._streams_by_id: t.Dict[EntryId, CallStream[TransitReply]] = {}
        self._locks_by_id: t.Dict[EntryId, asyncio.Lock] = {}
        self._avoided_until: t.Dict[_AvoidKey, float] = {}

    async def run(self) -> None:
        try:
            while True:
                self._close_unused()
                await asyncio.sleep(_CHECK_S)
        finally:
            for stream in self._streams_by_id.values():
                stream.close()

    @property
    def load(self) -> int:
        """Number of requests of this entry that others carry."""
        return sum(stream.load for stream in self._streams_by_id.values())

    def avoid(self, entry_id: EntryId, service: "ServiceId", seconds: float) -> None:
        """Chooses an entry no more for a while, as it could not carry a request."""
        self._avoided_until[entry_id, service] = self._clock.monotonic() + seconds

    async def acquire(
        self, state: "TargetState", reusable: bool, regions: "t.Collection[RegionId]"
    ) -> TransitConnection:
        """Returns the way to a target through another entry.

        :param reusable: whether that entry may use a connection that has carried a request.
        :param regions: regions that may serve the request; any if empty.
        :raises RefusedError: if no entry can carry it.
        :raises TargetNotRunError: if those that were tried can't be reached.
        """
        service = state.target.service
        for _ in range(_MAX_DIALS):
            record = self._choose(service, regions)
            if record is None:
                message = f"no entry that reaches the targets of {service} can take the request"
                retry_after_s = defaults.TRANSIT_RETRY_AFTER_S
                raise RefusedError(message, retry_after_s, service=service, reason=NO_PATH)
            try:
                stream = await self._stream_to(record)
            except PeerError as error:
                log.info("transit.unreachable", peer=record.entry_id, code=error.code)
                self.avoid(record.entry_id, service, defaults.TRANSIT_AVOID_S)
                continue
            return TransitConnection(self, record.entry_id, stream, state, reusable)
        message = f"no entry that reaches the targets of {service} answers"
        retry_after_s = defaults.TRANSIT_RETRY_AFTER_S
        raise TargetNotRunError(message, reason=NO_PATH, come_back_s=retry_after_s)

    def _choose(
        self, service: "ServiceId", regions: "t.Collection[RegionId]"
    ) -> "t.Optional[EntryRecord]":
        now = self._clock.monotonic()
        avoided = {
            entry_id
            for (entry_id, other), until in self._avoided_until.items()
            if other == service and until > now
        }
        loads_by_id = {entry_id: one.load for entry_id, one in self._streams_by_id.items()}
        silent = {
            entry_id
            for entry_id, stream in self._streams_by_id.items()
            if stream.silent_s > defaults.TRANSIT_SILENT_S
        }
        for excluded in (avoided | silent, avoided):
            record = choose_transit(
                self._members.own_record,
                self._members.alive_records(),
                service,
                regions,
                loads_by_id,
                excluded,
                self._rng,
            )
            if record is not None:
                return record
        return None

    async def _stream_to(self, record: "EntryRecord") -> CallStream[TransitReply]:
        """Returns an open stream to an entry.

        :raises PeerError: if there is none.
        """
        entry_id = record.entry_id
        lock = self._locks_by_id.setdefault(entry_id, asyncio.Lock())
        try:
            async with asyncio.timeout(defaults.TRANSIT_CONNECT_S), lock:
                stream = self._streams_by_id.get(entry_id)
                if stream is None or stream.closed:
                    channel = await dial(
                        record.peer_address, self._fleet_key, self._hello, self._traffic
                    )
                    stream = CallStream(channel, TransitReply, self._clock)
                    self._streams_by_id[entry_id] = stream
                return stream
        except TimeoutError as error:
            raise PeerTimeoutError(f"{entry_id} opens no stream in time") from error

    def _close_unused(self) -> None:
        now = self._clock.monotonic()
        alive = {record.entry_id for record in self._members.alive_records()}
        for entry_id, stream in list(self._streams_by_id.items()):
            is_gone = entry_id not in alive and stream.silent_s > defaults.TRANSIT_LOST_S
            if stream.closed or is_gone or stream.idle_s > defaults.TRANSIT_IDLE_S:
                stream.close()
                del self._streams_by_id[entry_id]
                self._locks_by_id.pop(entry_id, None)
        self._avoided_until = {
            key: until for key, until in self._avoided_until.items() if until > now
        }
