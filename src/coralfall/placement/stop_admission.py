"""Stop admission: which requests an entry that was told to stop still sends to targets.

A request is sent if the time that its target is given for it ends before requests are cut off. The
target gets less time than the caller allows if its service has lately needed no more, as long as
callers may not know of the stop; that is longer for what may be repeated. Otherwise a request gets
all of its time or is not sent.
"""

import typing as t

from .. import defaults
from ..exceptions import RefusedError

if t.TYPE_CHECKING:
    from ..ids import ServiceId
    from ..process.clock import Clock
    from ..process.shutdown import Shutdown

#: Reason of a request that was refused as its time reaches past the end of the process.
STOPPING = "stopping"


class AcceptTimes(t.NamedTuple):
    """Seconds from the signal for which targets may be given less time than callers allow."""

    #: Of requests that may run once only.
    once_s: float
    #: Of those that may be repeated.
    repeatable_s: float


#: No request is given less time than its caller allows.
NO_LESS_TIME = AcceptTimes(0.0, 0.0)


class StopAdmission:
    """Decides whether a request may be sent while the process stops.

    :param shutdown: tells when requests are cut off.
    :param accept_times: for how long callers may not know of the signal.
    :param clock: monotonic time.
    """

    def __init__(self, shutdown: "Shutdown", accept_times: AcceptTimes, clock: "Clock") -> None:
        self.shutdown = shutdown
        self.accept_times = accept_times
        self._clock = clock
        self._longest_by_id: t.Dict["ServiceId", _LongestAnswer] = {}

    def record(self, service: "ServiceId", seconds: float) -> None:
        """Records how long a target took to answer a request, or took until it was given up."""
        longest = self._longest_by_id.get(service)
        if longest is None:
            longest = self._longest_by_id[service] = _LongestAnswer()
        longest.record(self._clock.monotonic(), seconds)

    def admits(self, deadline: float) -> bool:
        """Whether a request with a deadline ends in time, however long it takes.

        :param deadline: monotonic time.
        """
        return not self.shutdown.is_begun or deadline <= self._answers_until()

    def target_deadline(
        self, service: "ServiceId", deadline: float, may_repeat: bool
    ) -> t.Optional[float]:
        """Returns the time by which the target of a request that is sent now has to answer.

        :param deadline: monotonic time by which the caller gets its reply.
        :param may_repeat: whether the request may run more than once.
        :return: monotonic time; ``None`` if the request must not be sent.
        """
        if self.admits(deadline):
            return deadline
        times = self.accept_times
        if self.shutdown.age_s() > (times.repeatable_s if may_repeat else times.once_s):
            return None
        longest = self._longest_by_id.get(service)
        until = self._answers_until()
        if longest is None or self._clock.monotonic() + longest.seconds() > until:
            return None
        return until

    def check(self, service: "ServiceId", deadline: float, may_repeat: bool) -> float:
        """Returns the time by which the target of a request that is sent now has to answer.

        Parameters are those of :meth:`target_deadline`.

        :raises RefusedError: if the request must not be sent.
        """
        target_deadline = self.target_deadline(service, deadline, may_repeat)
        if target_deadline is None:
            raise self._refusal()
        return target_deadline

    def check_whole(self, deadline: float) -> None:
        """Refuses a request whose target can't be given less time than its caller allows.

        :param deadline: monotonic time by which the caller gets its reply.
        :raises RefusedError: if the request must not be sent.
        """
        if not self.admits(deadline):
            raise self._refusal()

    def _refusal(self) -> RefusedError:
        left_s = self.shutdown.left_s()
        message = f"this entry stops and serves for {left_s:.1f} s more; ask another"
        return RefusedError(message, defaults.STEER_RETRY_AFTER_S, reason=STOPPING)

    def _answers_until(self) -> float:
        return self.shutdown.serves_until() - defaults.STOP_ANSWER_MARGIN_S


class _LongestAnswer:
    """The longest answer of the current window and of the one before it."""

    __slots__ = ("_began_at", "_current_s", "_previous_s")

    def __init__(self) -> None:
        self._began_at = 0.0
        self._current_s = 0.0
        self._previous_s = 0.0

    def record(self, now: float, seconds: float) -> None:
        if now - self._began_at > defaults.LONGEST_ANSWER_WINDOW_S:
            self._began_at = now
            self._previous_s = self._current_s
            self._current_s = 0.0
        self._current_s = max(self._current_s, seconds)

    def seconds(self) -> float:
        return max(self._current_s, self._previous_s)
