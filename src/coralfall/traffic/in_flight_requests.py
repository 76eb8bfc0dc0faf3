"""Requests in flight at an entry, which a stop may have to end.

A request waits for its body, a token, a dispatcher or a connection, and its time may come to reach
past the end of the process meanwhile. It is refused at once then, while its caller has time to ask
another entry. What targets still have at the end is answered as cut off.
"""

import asyncio
import typing as t

from .. import defaults
from ..exceptions import RefusedError, TargetTimeoutError

if t.TYPE_CHECKING:
    from ..placement.stop_admission import StopAdmission
    from .steered_request import SteeredRequest

#: Reason of a request that was cut off as the process stopped.
CUT_OFF = "cut-off"


class InFlightRequests:
    """Knows the requests in flight, and ends those that can't be served any more at a stop.

    :param stop_admission: decides on requests while the process stops.
    """

    def __init__(self, stop_admission: "StopAdmission") -> None:
        self._stop_admission = stop_admission
        self._task_by_request: t.Dict["SteeredRequest", "asyncio.Task[t.Any]"] = {}

    def add(self, request: "SteeredRequest") -> None:
        """Adds a request, which is served by the current task."""
        task = asyncio.current_task()
        assert task is not None
        self._task_by_request[request] = task

    def discard(self, request: "SteeredRequest") -> None:
        """Removes a request whose reply is known."""
        self._task_by_request.pop(request, None)

    def end_at_stop(self) -> None:
        """Refuses what can no longer be served, now and at intervals; cuts off the rest at the end.

        A request that may get less time than its caller allows can run out of it later than at
        the signal.
        """
        for request, task in list(self._task_by_request.items()):
            if request.is_at_target:
                continue
            try:
                self._stop_admission.check(request.service, request.deadline, request.is_idempotent)
            except RefusedError as refusal:
                request.refusal = refusal
                self.discard(request)
                task.cancel()
        left_s = self._stop_admission.shutdown.left_s() - defaults.STOP_LAST_ANSWERS_S
        loop = asyncio.get_running_loop()
        if left_s > 0:
            loop.call_later(min(left_s, defaults.STOP_CHECK_S), self.end_at_stop)
            return
        self._cut_off()

    def _cut_off(self) -> None:
        """Ends the requests that targets still have, so that their callers get an answer."""
        for request, task in list(self._task_by_request.items()):
            request.is_cut_off = True
            self.discard(request)
            task.cancel()


def take_cut_off(request: "SteeredRequest") -> t.Optional[TargetTimeoutError]:
    """Returns the error of a request that was cut off, and ends the cancellation of its task.

    :return: ``None`` if the current task was cancelled for another reason.
    """
    if not request.is_cut_off:
        return None
    request.is_cut_off = False
    task = asyncio.current_task()
    if task is not None:
        task.uncancel()
    return TargetTimeoutError("this entry stops before the target has answered", reason=CUT_OFF)


def take_refusal(request: "SteeredRequest") -> t.Optional[RefusedError]:
    """Returns the refusal for which the current task was cancelled, and ends the cancellation.

    :return: ``None`` if it was cancelled for another reason.
    """
    refusal, request.refusal = request.refusal, None
    task = asyncio.current_task()
    if refusal is not None and task is not None:
        task.uncancel()
    return refusal
