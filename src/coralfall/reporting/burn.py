"""Service-level burn: how fast a service uses up the errors that its objective allows."""

import array
import typing as t

import msgspec

from ..bundles.bundle import Objective
from ..forwarding.latency import LatencyRecorder, LatencyTotal
from ..process.clock import Clock

#: Windows over which burn is reckoned, in seconds, by name; the last is the longest.
WINDOWS_S: t.Dict[str, int] = {"5m": 300, "1h": 3600, "6h": 21600}
LONGEST_WINDOW = "6h"
#: Length of one bucket of counts, in seconds.
BUCKET_S = 10
_BUCKETS = WINDOWS_S[LONGEST_WINDOW] // BUCKET_S
#: Least share of errors that an objective is taken to allow.
_LEAST_ALLOWED = 1e-9


class WindowCount(msgspec.Struct, frozen=True):
    """Requests within one window."""

    total: int = 0
    #: Those that were not answered well, or too late.
    bad: int = 0


class BurnReport(msgspec.Struct, frozen=True, kw_only=True):
    """Burn and latency of one service, at one entry or over several."""

    objective: Objective
    #: Requests by name of the window; an entry counts from its start.
    counts_by_window: t.Dict[str, WindowCount]
    #: Share of the longest window's error budget that is left; below 0 when overspent.
    budget_left: float
    #: Bad share over allowed share, by name of the window; 1 spends the budget exactly.
    burn_by_window: t.Dict[str, float]
    #: Requests since the start, by what the caller was told.
    outcomes: t.Dict[str, int]
    #: Requests since the start that were the caller's own fault; they are not in the windows.
    faulty: int
    #: Seconds, over the last 30 to 60 minutes; ``None`` if nothing was answered.
    p50_s: t.Optional[float]
    p99_s: t.Optional[float]
    p999_s: t.Optional[float]
    #: Counts that the percentiles are of, to be added to those of other entries.
    latency: str


class BurnRecorder:
    """Counts the answers of one service in buckets of :data:`BUCKET_S` seconds.

    :param clock: the VM's clocks.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._total = array.array("I", bytes(array.array("I").itemsize * _BUCKETS))
        self._bad = array.array("I", self._total)
        self._newest = self._bucket()
        self._latency = LatencyRecorder(clock)

    def record(self, answered: bool, seconds: t.Optional[float], objective: Objective) -> None:
        """Count one request.

        :param answered: whether the caller got the answer it asked for.
        :param seconds: from the request's head to the end of its answer; ``None`` if it was
            refused, which takes no time and would make latency look better than it is.
        :param objective: decides whether the answer came in time.
        """
        self._advance()
        position = self._newest % _BUCKETS
        self._total[position] += 1
        if seconds is None:
            self._bad[position] += not answered
            return
        if not answered or seconds * 1000 > objective.latency_ms:
            self._bad[position] += 1
        self._latency.record(seconds)

    def report(
        self, objective: Objective, outcomes: t.Mapping[str, int], faulty: int
    ) -> BurnReport:
        """What was counted, measured by ``objective``.

        :param outcomes: requests by outcome, to be told along.
        :param faulty: requests that were the caller's fault, to be told along.
        """
        self._advance()
        counts = {}
        for name, seconds in WINDOWS_S.items():
            counts[name] = self._count(seconds)
        total = LatencyTotal()
        total.add(self._latency.encode())
        return _make_report(objective, counts, outcomes, faulty, total)

    def _bucket(self) -> int:
        return int(self._clock.monotonic() // BUCKET_S)

    def _advance(self) -> None:
        bucket = self._bucket()
        first = max(self._newest + 1, bucket - _BUCKETS + 1)
        for passed in range(first, bucket + 1):
            self._total[passed % _BUCKETS] = 0
            self._bad[passed % _BUCKETS] = 0
        self._newest = max(self._newest, bucket)

    def _count(self, seconds: int) -> WindowCount:
        total = bad = 0
        oldest = self._newest - seconds // BUCKET_S + 1
        for bucket in range(oldest, self._newest + 1):
            total += self._total[bucket % _BUCKETS]
            bad += self._bad[bucket % _BUCKETS]
        return WindowCount(total, bad)


def merge_burns(reports: t.Sequence[BurnReport], objective: Objective) -> BurnReport:
    """One report over several entries: all their requests, as if one entry had served them.

    :param objective: that all are measured by; entries may be under different versions.
    :raises StatusError: if the counts of one can't be read.
    """
    counts = dict.fromkeys(WINDOWS_S, WindowCount())
    outcomes: t.Dict[str, int] = {}
    total = LatencyTotal()
    for report in reports:
        for name, count in report.counts_by_window.items():
            so_far = counts.get(name, WindowCount())
            counts[name] = WindowCount(so_far.total + count.total, so_far.bad + count.bad)
        for outcome, number in report.outcomes.items():
            outcomes[outcome] = outcomes.get(outcome, 0) + number
        total.add(report.latency)
    faulty = sum(report.faulty for report in reports)
    return _make_report(objective, counts, outcomes, faulty, total)


def _make_report(
    objective: Objective,
    counts: t.Mapping[str, WindowCount],
    outcomes: t.Mapping[str, int],
    faulty: int,
    latency: LatencyTotal,
) -> BurnReport:
    burn_by_window = {}
    for name, count in counts.items():
        burn_by_window[name] = _burn(count, objective)
    return BurnReport(
        objective=objective,
        counts_by_window=dict(counts),
        budget_left=1.0 - burn_by_window[LONGEST_WINDOW],
        burn_by_window=burn_by_window,
        outcomes=dict(outcomes),
        faulty=faulty,
        p50_s=latency.percentile_s(50.0),
        p99_s=latency.percentile_s(99.0),
        p999_s=latency.percentile_s(99.9),
        latency=latency.encode(),
    )


def _burn(count: WindowCount, objective: Objective) -> float:
    if not count.total:
        return 0.0
    allowed = max(1.0 - objective.availability, _LEAST_ALLOWED)
    return count.bad / count.total / allowed
