"""Answer checks: what an answer proves of its request, and what it reports of its target."""

import typing as t

from ..exceptions import TargetNotRunError, TargetUnknownError

if t.TYPE_CHECKING:
    from ..placement.affinity import AffinitySteering
    from ..placement.targets import TargetRegistry, TargetState
    from .answer_report import AnswerReader
    from .connection import ServerAnswer
    from .steered_request import SteeredRequest
    from .wire import HeaderNames

#: First part of the result of a send that the target rejected.
SHED = "shed-"
_MISDIRECTED = 421
_PROMISES = frozenset((408, 421, 429, 503))
_FIRST_REDIRECT = 300


class AnswerCheck:
    """Checks answers before they are passed on.

    :param names: header names.
    :param reader: reads what an answer says of its target.
    :param targets: told of that.
    :param steering: tells when a caller may come back.
    """

    def __init__(
        self,
        names: "HeaderNames",
        reader: "AnswerReader",
        targets: "TargetRegistry",
        steering: "AffinitySteering",
    ) -> None:
        self._names = names
        self._reader = reader
        self._targets = targets
        self._steering = steering

    def check(
        self,
        answer: "ServerAnswer",
        request: "SteeredRequest",
        state: "TargetState",
        sent_at: float,
    ) -> None:
        """Takes in an answer's report, and checks that it may be passed on.

        :param sent_at: monotonic time at which the request was sent.
        :raises TargetNotRunError: if it proves that the target did not run the request.
        :raises TargetUnknownError: if it is not the answer to the request, or not to be believed.
        """
        names = self._names
        echoed = answer.header(names.request_id)
        if echoed is not None and echoed.decode("latin-1") != request.request_id:
            self.note_part(answer, state)
            raise TargetUnknownError("answer to another request", reason="mixed")
        if answer.status == _MISDIRECTED:
            # What it says is said of another target.
            self._targets.mark_replaced(state)
            raise TargetNotRunError("another target is at the address", reason="misdirected")
        self._targets.reports.record(state, self._reader.read(answer, state.target), sent_at)
        if answer.header(names.not_run) is not None:
            reason = f"{SHED}{answer.status}"
            come_back_s = self._steering.retry_after_s(state, request.service, request.regions)
            raise TargetNotRunError("target did not run it", reason=reason, come_back_s=come_back_s)
        if answer.status in _PROMISES:
            raise TargetUnknownError("target promises what it can't", reason="unproved")
        unsigned = answer.header(names.signature) is None or echoed is None
        if answer.status < _FIRST_REDIRECT and unsigned:
            raise TargetUnknownError("answer is not signed", reason="unsigned")

    def note_part(self, answer: "ServerAnswer", state: "TargetState") -> None:
        """Takes in the restrictions that an answer names which is not passed on."""
        if answer.status == _MISDIRECTED:
            return
        report = self._reader.read(answer, state.target).restrictions()
        self._targets.reports.record(state, report, 0.0)
