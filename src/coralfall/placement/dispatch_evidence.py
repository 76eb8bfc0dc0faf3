"""Dispatch evidence: records what the releases of assignments show about targets.

What the forwarder records of an entry's own requests is recorded here for those of other entries;
the work of requests and the contents of caches are known to the ledger alone, and are recorded for
all of them.
"""

import typing as t

from .dispatch import AttemptOutcome

if t.TYPE_CHECKING:
    from ..process.clock import Clock
    from .admission import Admission, WorkKind
    from .dispatch import DispatchRelease
    from .dispatched_target import Assignment
    from .targets import TargetRegistry, TargetState

#: Difference from the usual pace up to which a request's time is a sample of its work.
_USUAL_PACE_MARGIN = 0.1
#: Least pace by which times are divided: a report of zero is possible.
_MIN_PACE = 0.1
#: Seconds without a sample after which requests that were in the target's queue are samples, too.
_SATURATED_S = 2.0
#: Shortest duration in seconds: estimates are moved by multiplication and would stay at zero.
_MIN_DURATION_S = 0.001
#: Outcomes of requests that the target did not run, so it has not loaded their object.
_NOT_RUN = frozenset(
    (
        AttemptOutcome.REJECTED,
        AttemptOutcome.UNREACHABLE,
        AttemptOutcome.CONNECTION_REFUSED,
        AttemptOutcome.MISDIRECTED,
        AttemptOutcome.CANCELLED,
    )
)


class DispatchEvidence:
    """Records the outcomes of assignments.

    :param targets: known targets.
    :param admission: estimates of the work of requests.
    :param clock: time source.
    """

    def __init__(self, targets: "TargetRegistry", admission: "Admission", clock: "Clock") -> None:
        self._targets = targets
        self._admission = admission
        self._clock = clock
        #: Kinds of work of which no request at usual pace has been seen.
        self._off_pace_kinds: t.Set["WorkKind"] = set()
        #: Monotonic time of the last sample without a queue.
        self._sampled_at: t.Dict["WorkKind", float] = {}

    def record(self, assignment: "Assignment", release: "DispatchRelease") -> None:
        """Records another entry's request; its reservation is still in force."""
        state = assignment.row.state
        outcome = release.outcome
        now = self._clock.monotonic()
        seconds = _duration_s(release)
        if outcome is AttemptOutcome.MISDIRECTED:
            # A report in such an answer is about the other target.
            self._targets.mark_replaced(state)
            return
        if release.load is not None:
            state.record_load(release.load.running, release.load.waiting)
            state.load_reports.record_pace(now, release.load.pace)
        if outcome is AttemptOutcome.ANSWERED:
            state.record_success()
            assignment.reservation.record_answer(now, seconds)
            return
        if outcome is AttemptOutcome.TIMED_OUT:
            assignment.reservation.record_latency(now, seconds)
        if not self._is_known_failure(assignment, outcome):
            _record_failure(state, outcome, now - seconds)
            if state.ejected_s():
                assignment.row.ejected_at = now

    @staticmethod
    def _is_known_failure(assignment: "Assignment", outcome: AttemptOutcome) -> bool:
        """Whether a request was sent before the failure that it would show had its target ejected.

        What is in flight from all entries fails together. If each request counted, one moment
        without a connection would eject a target for the longest time and treat it as restarted.
        """
        row = assignment.row
        if outcome is AttemptOutcome.CONNECTION_REFUSED and not row.state.is_cold():
            return False
        return bool(row.state.ejected_s()) or assignment.granted_at <= row.ejected_at

    def learn(self, assignment: "Assignment", release: "DispatchRelease") -> None:
        """Updates the cache model and the estimates of work; the reservation has ended."""
        if release.outcome in _NOT_RUN:
            self._learn_not_run(assignment, release)
        elif release.outcome is AttemptOutcome.ANSWERED and _shows_work(assignment):
            if self._is_at_usual_pace(assignment):
                self._learn_work(assignment, _duration_s(release))
            else:
                self._learn_work_off_pace(assignment, _duration_s(release))

    def _learn_not_run(self, assignment: "Assignment", release: "DispatchRelease") -> None:
        row = assignment.row
        if not assignment.cached:
            row.cache.forget(assignment.ask.object_code)
        if release.outcome is AttemptOutcome.REJECTED and release.load is None:
            # Without a report that shows free slots, a rejection means that there are none.
            row.state.load_reports.record_load(
                self._clock.monotonic(), row.load_limit(), row.state.in_flight
            )

    def _is_at_usual_pace(self, assignment: "Assignment") -> bool:
        pace = assignment.row.state.load_reports.pace(self._clock.monotonic())
        return max(abs(pace - 1), abs(assignment.pace - 1)) <= _USUAL_PACE_MARGIN

    def _learn_work_off_pace(self, assignment: "Assignment", seconds: float) -> None:
        """Estimates work by its time at another pace, while there is nothing better.

        Targets that always report another pace would otherwise never have an estimate.
        """
        row = assignment.row
        kind = _kind_of(assignment)
        if not self._admission.has_work_samples(*kind):
            self._off_pace_kinds.add(kind)
        if kind not in self._off_pace_kinds or assignment.load >= row.slots:
            return
        pace = row.state.load_reports.pace(self._clock.monotonic())
        self._admission.record_work(*kind, max(_MIN_DURATION_S, seconds / max(pace, _MIN_PACE)))

    def _learn_work(self, assignment: "Assignment", seconds: float) -> None:
        row = assignment.row
        service, route_code, _ = kind = _kind_of(assignment)
        has_queue = assignment.load >= row.slots
        self._off_pace_kinds.discard(kind)
        now = self._clock.monotonic()
        predicted_s = assignment.wait_s + assignment.work_s
        if not has_queue or not self._admission.work_s(*kind):
            # The time in a queue is only predicted, so it blurs what is known without one.
            work_s = max(_MIN_DURATION_S, seconds - assignment.wait_s)
            self._admission.record_work(*kind, work_s)
            self._sampled_at[kind] = now
        elif predicted_s and now - self._sampled_at.setdefault(kind, now) > _SATURATED_S:
            # The wait was predicted from the work of others, which is as wrong as this one.
            self._admission.record_work(*kind, assignment.work_s * seconds / predicted_s)
        uncached_s = self._admission.uncached_work_s(service, route_code)
        if not assignment.cached or not uncached_s or has_queue:
            return
        if self._admission.is_caching_visible(service, route_code):
            row.cache.record_expected(seconds, uncached_s)


def _shows_work(assignment: "Assignment") -> bool:
    return not assignment.joins_load and not assignment.row.state.is_cold()


def _kind_of(assignment: "Assignment") -> "WorkKind":
    service = assignment.row.state.target.service
    return service, assignment.ask.route_code, assignment.cached


def _record_failure(state: "TargetState", outcome: AttemptOutcome, sent_at: float) -> None:
    """Records the failure of a request, if its outcome is one."""
    if outcome is AttemptOutcome.TIMED_OUT:
        state.record_failure(reached=True, silent_since=sent_at)
    elif outcome is AttemptOutcome.BROKEN:
        state.record_failure(reached=True)
    elif outcome is AttemptOutcome.UNREACHABLE:
        state.record_failure(reached=False)
    elif outcome is AttemptOutcome.CONNECTION_REFUSED:
        state.record_failure(reached=False, refused=True)


def _duration_s(release: "DispatchRelease") -> float:
    return max(_MIN_DURATION_S, release.duration_ms / 1000)
