"""Retry budget: bounds the sends beyond the first of each request, over all entries together.

Requests and additional sends are counted in a sliding window; the additional sends of a service may
make up a fixed ratio of its requests, plus this entry's share of a fixed number.
"""

import collections
import typing as t

from ..process import log

if t.TYPE_CHECKING:
    from ..ids import ServiceId
    from ..process.clock import Clock
    from ..traffic.settings import BoundSettings

#: Fraction of the allowed sends that is used, since entries do not see each other's windows.
_USED_FRACTION = 0.7
#: Seconds of one slice of the sliding window.
_SLICE_S = 0.5


class _Window:
    """Counts the events of a sliding window, by slices of time."""

    def __init__(self, span_s: float) -> None:
        self._slice_count = int(span_s / _SLICE_S) + 1
        #: Number of each slice and the events in it, the oldest first.
        self._counts: t.Deque[t.Tuple[int, int]] = collections.deque()
        self.total = 0

    def add(self, now: float) -> None:
        number = int(now / _SLICE_S)
        if self._counts and self._counts[-1][0] == number:
            self._counts[-1] = (number, self._counts[-1][1] + 1)
        else:
            self._counts.append((number, 1))
        self.total += 1

    def trim(self, now: float) -> None:
        oldest = int(now / _SLICE_S) - self._slice_count
        while self._counts and self._counts[0][0] < oldest:
            self.total -= self._counts.popleft()[1]


class SharedRetryBudget:
    """This entry's share of the additional sends that are allowed for each service.

    The ratio applies to the entry's own requests; the fixed number is divided among the entries.
    Where that rounds to nothing, the ratio alone counts.

    :param bounds: ratio, fixed number and window.
    :param clock: time source.
    """

    def __init__(self, bounds: "BoundSettings", clock: "Clock") -> None:
        self.bounds = bounds
        self._clock = clock
        self._requests: t.Dict["ServiceId", _Window] = {}
        self._extra_sends: t.Dict["ServiceId", _Window] = {}
        self._started_at = clock.monotonic()
        self._exhausted_at: t.Dict["ServiceId", float] = {}
        #: Number of entries that share the budget.
        self.entry_count = 1

    def record_request(self, service: "ServiceId") -> None:
        """Counts the first send of a request."""
        self._window(self._requests, service).add(self._clock.monotonic())

    def try_spend(self, service: "ServiceId") -> bool:
        """Counts one additional send, and returns True, if the budget allows it."""
        now = self._clock.monotonic()
        requests = self._window(self._requests, service)
        extra_sends = self._window(self._extra_sends, service)
        requests.trim(now)
        extra_sends.trim(now)
        slack = self.bounds.budget_slack / max(1, self.entry_count)
        allowed = (requests.total * self.bounds.budget_ratio + slack) * _USED_FRACTION
        if extra_sends.total + 1 > allowed:
            self._log_exhausted(service, now)
            return False
        extra_sends.add(now)
        return True

    def _log_exhausted(self, service: "ServiceId", now: float) -> None:
        """Logs once a window that a service's budget is used up."""
        if now < self._exhausted_at.get(service, -float("inf")) + self.bounds.budget_window_s:
            return
        self._exhausted_at[service] = now
        log.info(
            "retry.exhausted",
            service=service,
            requests=self._requests[service].total,
            retries=self._extra_sends[service].total,
            entries=self.entry_count,
            running_s=round(now - self._started_at, 2),
        )

    def _window(self, windows: "t.Dict[ServiceId, _Window]", service: "ServiceId") -> _Window:
        window = windows.get(service)
        if window is None:
            window = windows[service] = _Window(self.bounds.budget_window_s)
        return window
