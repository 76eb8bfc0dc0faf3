"""Transit server: exchanges requests with targets for entries that are cut off from them.

The other entry has chosen the target and counted the request. This one makes the last checks by
its own knowledge, sends it on a connection of its own pool, and never passes it on.
"""

import asyncio
import typing as t

from .. import defaults
from ..exceptions import (
    PeerError,
    PeerFrameError,
    TargetError,
    TargetNotRunError,
    TargetTimeoutError,
    TargetUnknownError,
)
from ..placement.lifetime import lifetime_of
from ..process import log
from ..process.child import Child
from .messages import BEAT_NUMBER, TransitCancel, TransitOutcome, TransitReply, TransitRequest
from .request_encoder import replace_time_left
from .target_connections import BUSY, NO_PATH, DirectConnection
from .target_exchange import OutgoingRequest, time_left_to_send

if t.TYPE_CHECKING:
    from ..peering.channel import Channel
    from ..placement.reachability import Reachability
    from ..placement.stop_admission import StopAdmission
    from ..placement.targets import TargetRegistry, TargetState
    from ..process.clock import Clock
    from .crash_detector import CrashDetector
    from .pool import ConnectionPool
    from .response_check import ResponseCheck
    from .response_parser import ServerResponse
    from .wire import HeaderNames


class TransitServer(Child):
    """Carries requests of other entries.

    :param names: header names.
    :param targets: known targets.
    :param pool: connections to targets.
    :param reachability: tells whether a failed connection is evidence about its target.
    :param response_check: records what targets report about themselves.
    :param crash_detector: finds out whether a target's process has ended.
    :param stop_admission: decides on requests while the process stops.
    :param clock: measures deadlines.
    """

    name = "transit-server"

    def __init__(
        self,
        names: "HeaderNames",
        targets: "TargetRegistry",
        pool: "ConnectionPool",
        reachability: "Reachability",
        response_check: "ResponseCheck",
        crash_detector: "CrashDetector",
        stop_admission: "StopAdmission",
        clock: "Clock",
    ) -> None:
        self._names = names
        self._targets = targets
        self._pool = pool
        self._reachability = reachability
        self._response_check = response_check
        self._crash_detector = crash_detector
        self._stop_admission = stop_admission
        self._clock = clock
        self._closed = False
        self._tasks: t.Dict["Channel", t.Dict[int, "asyncio.Task[None]"]] = {}
        self._beats: t.Dict["Channel", "asyncio.Task[None]"] = {}
        #: Requests that this entry carries now, and that it has carried.
        self.load = 0
        self.carried_count = 0
        #: Bytes of their bodies and answers.
        self.bytes_held = 0

    async def run(self) -> None:
        try:
            while True:
                await asyncio.sleep(defaults.TRANSIT_BEAT_S)
                self._beat()
        finally:
            for channel in list(self._tasks):
                self.drop(channel)

    async def stop(self) -> None:
        self._closed = True
        tasks = [task for tasks in self._tasks.values() for task in tasks.values()]
        if tasks:
            await asyncio.wait(tasks)

    def start_request(self, channel: "Channel", request: TransitRequest) -> None:
        """Carries a request and sends the reply on the channel that it came on."""
        tasks = self._tasks.setdefault(channel, {})
        task = asyncio.create_task(self._serve(channel, request))
        tasks[request.number] = task
        task.add_done_callback(lambda _: tasks.pop(request.number, None))

    def cancel(self, channel: "Channel", message: TransitCancel) -> None:
        """Ends a request whose caller has left."""
        task = self._tasks.get(channel, {}).get(message.number)
        if task is not None:
            task.cancel()

    def drop(self, channel: "Channel") -> None:
        """Ends all requests of a channel that was closed."""
        for task in list(self._tasks.pop(channel, {}).values()):
            task.cancel()
        beat = self._beats.pop(channel, None)
        if beat is not None:
            beat.cancel()

    def _beat(self) -> None:
        """Tells the entries whose requests are in flight that this one lives."""
        for channel, tasks in self._tasks.items():
            beat = self._beats.get(channel)
            if tasks and (beat is None or beat.done()):
                self._beats[channel] = asyncio.create_task(self._send_beat(channel))

    async def _send_beat(self, channel: "Channel") -> None:
        try:
            await channel.send(TransitReply(BEAT_NUMBER, TransitOutcome.NOT_SENT))
        except PeerError:
            # The requests end with the stream.
            return

    async def _serve(self, channel: "Channel", request: TransitRequest) -> None:
        held = len(request.body)

        def hold(count: int) -> None:
            nonlocal held
            held += count
            self.bytes_held += count

        self.load += 1
        self.bytes_held += held
        try:
            await self._send(channel, request, await self._reply_to(request, hold))
        finally:
            self.load -= 1
            self.bytes_held -= held

    async def _reply_to(
        self, request: TransitRequest, hold: t.Callable[[int], None]
    ) -> TransitReply:
        deadline = self._clock.monotonic() + request.time_left_ms / 1000
        try:
            self._check_stop(deadline)
            if self.load > defaults.MAX_TRANSITS or self.bytes_held > defaults.MAX_TRANSIT_BYTES:
                raise TargetNotRunError("too many requests in transit", reason=BUSY)
            response = await self._exchange(request, deadline, hold)
        except TargetError as error:
            return _reply_from_error(request.number, error)
        return TransitReply(
            number=request.number,
            outcome=TransitOutcome.ANSWERED,
            status=response.status,
            headers=tuple(response.headers),
            body=response.body,
        )

    async def _send(self, channel: "Channel", request: TransitRequest, reply: TransitReply) -> None:
        try:
            try:
                await channel.send(reply)
            except PeerFrameError as error:
                # The answer is too long for one message.
                log.info("transit.too-long", target=request.target.target_id, error=error.message)
                unknown = TransitOutcome.UNKNOWN
                await channel.send(TransitReply(request.number, unknown, reason="too-long"))
        except PeerError as error:
            log.info(
                "transit.reply-lost",
                peer=channel.peer.entry_id,
                target=request.target.target_id,
                code=error.code,
            )
            channel.abort()

    async def _exchange(
        self, request: TransitRequest, deadline: float, hold: t.Callable[[int], None]
    ) -> "ServerResponse":
        state = self._targets.by_id.get(request.target.target_id)
        if state is None or lifetime_of(state.target) != request.target:
            raise TargetNotRunError("this entry does not know the target", reason="withdrawn")
        if state.has_ended:
            raise TargetNotRunError("another target is at the address", reason="misdirected")
        connection = await self._connect(state, request.reusable, deadline)
        try:
            time_left_s = time_left_to_send(self._targets, state, deadline, self._clock)
            self._check_stop(deadline)
        except TargetNotRunError as error:
            connection.release()
            error.fields["cooldown_s"] = state.cooldown_s()
            raise
        head = replace_time_left(request.head, self._names.time_left, time_left_s)
        outgoing = OutgoingRequest(head, request.body, None, request.bodiless, hold)
        self.carried_count += 1
        try:
            response = await connection.exchange(outgoing, time_left_s)
        except BaseException as error:
            partial = connection.partial_response()
            if partial is not None:
                self._response_check.note_restrictions(partial, state)
            if isinstance(error, TargetUnknownError) and connection.is_interrupted:
                error.fields["crashed"] = await self._crash_detector.is_down(state)
            raise
        self._response_check.note_restrictions(response, state)
        if request.reusable:
            connection.release()
        else:
            connection.abort()
        return response

    def _check_stop(self, deadline: float) -> None:
        """Refuses a request that could be cut off.

        :raises TargetNotRunError: if the process ends too soon.
        """
        if self._closed or not self._stop_admission.admits(deadline):
            raise TargetNotRunError("this entry is stopping", reason=NO_PATH)

    async def _connect(
        self, state: "TargetState", reusable: bool, deadline: float
    ) -> DirectConnection:
        timeout_s = min(defaults.TARGET_CONNECT_S, deadline - self._clock.monotonic())
        if timeout_s <= 0:
            raise TargetNotRunError("no time left to send", reason="late")
        try:
            connection = await self._pool.acquire(state.target, reusable, timeout_s)
        except TargetNotRunError as error:
            if not self._reachability.reaches(state.target.service):
                raise TargetNotRunError(error.message, reason=NO_PATH) from error
            raise
        return DirectConnection(self._pool, state, connection)


def _reply_from_error(number: int, error: TargetError) -> TransitReply:
    outcome = TransitOutcome.UNKNOWN
    if isinstance(error, TargetNotRunError):
        outcome = TransitOutcome.NOT_SENT
    elif isinstance(error, TargetTimeoutError):
        outcome = TransitOutcome.TIMED_OUT
    return TransitReply(
        number=number,
        outcome=outcome,
        reason=str(error.fields.get("reason", error.code)),
        refused=bool(error.fields.get("refused")),
        crashed=bool(error.fields.get("crashed")),
        cooldown_s=float(error.fields.get("cooldown_s", 0.0)),
    )
