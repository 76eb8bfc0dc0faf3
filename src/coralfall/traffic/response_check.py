"""Checks of targets' responses before they are passed on to callers.

A check finds out what a response proves about its request, and records what it reports about its
target.
"""

import typing as t

from ..exceptions import TargetNotRunError, TargetUnknownError

if t.TYPE_CHECKING:
    from ..placement.affinity import AffinitySteering
    from ..placement.targets import TargetRegistry, TargetState
    from .response_parser import ServerResponse
    from .steered_request import Attempt, SteeredRequest
    from .target_report_reader import TargetReportReader
    from .wire import HeaderNames

#: Prefix of the result of an attempt that the target rejected with proof that it did not run.
REJECTED_PREFIX = "shed-"
_MISDIRECTED = 421
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_FIRST_REDIRECT = 300


class ResponseCheck:
    """Checks responses before they are passed on.

    :param names: header names.
    :param reader: reads what a response reports about its target.
    :param targets: records these reports.
    :param steering: tells when a rejected caller may retry.
    """

    def __init__(
        self,
        names: "HeaderNames",
        reader: "TargetReportReader",
        targets: "TargetRegistry",
        steering: "AffinitySteering",
    ) -> None:
        self._names = names
        self._reader = reader
        self._targets = targets
        self._steering = steering

    def check(
        self,
        response: "ServerResponse",
        request: "SteeredRequest",
        attempt: "Attempt",
        state: "TargetState",
    ) -> None:
        """Records a response's report and checks that the response may be passed on.

        :param attempt: the attempt that the response belongs to; the report is kept with it.
        :raises TargetNotRunError: if it proves that the target did not run the request.
        :raises TargetUnknownError: if it belongs to another request or can't be trusted.
        """
        names = self._names
        echoed_id = response.header(names.request_id)
        if echoed_id is not None and echoed_id.decode("latin-1") != request.request_id:
            self.note_restrictions(response, state)
            raise TargetUnknownError("answer to another request", reason="mixed")
        if response.status == _MISDIRECTED:
            # The response reports about the other target, so its report is not recorded.
            self._targets.mark_replaced(state)
            raise TargetNotRunError("another target is at the address", reason="misdirected")
        attempt.report = self._reader.read(response, state.target)
        self._targets.reports.record(state, attempt.report, attempt.sent_at)
        if response.header(names.not_run) is not None:
            reason = f"{REJECTED_PREFIX}{response.status}"
            come_back_s = self._steering.retry_after_s(
                state, request.service, request.allowed_regions
            )
            raise TargetNotRunError("target did not run it", reason=reason, come_back_s=come_back_s)
        if response.status in _NOT_RUN_STATUSES:
            raise TargetUnknownError("target promises what it can't", reason="unproved")
        is_unsigned = response.header(names.signature) is None or echoed_id is None
        if response.status < _FIRST_REDIRECT and is_unsigned:
            raise TargetUnknownError("answer is not signed", reason="unsigned")

    def note_restrictions(self, response: "ServerResponse", state: "TargetState") -> None:
        """Records only the restrictions that a response reports, as it is not passed on."""
        if response.status == _MISDIRECTED:
            return
        report = self._reader.read(response, state.target).restrictions()
        self._targets.reports.record(state, report, 0.0)
