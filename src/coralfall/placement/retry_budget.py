"""Budget of second sends: what all entries together may send beyond the first of each request."""

import collections
import typing as t

if t.TYPE_CHECKING:
    from ..ids import ServiceId
    from ..process.clock import Clock
    from ..traffic.settings import BoundSettings

#: Part of what is allowed that is used; entries do not see each other's windows.
_USED = 0.7
#: Seconds that are counted together.
_SLICE_S = 0.5


class _Window:
    """Counts events within the last seconds, by slices of time."""

    def __init__(self, span_s: float) -> None:
        self._slices = int(span_s / _SLICE_S) + 1
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
        oldest = int(now / _SLICE_S) - self._slices
        while self._counts and self._counts[0][0] < oldest:
            self.total -= self._counts.popleft()[1]


class SharedRetryBudget:
    """This entry's part of the second sends that the users allow for each service.

    Its own requests bring their share with them; the number that is allowed on top is divided
    among the entries. Where it rounds to nothing, the share alone counts.

    :param bounds: what is allowed.
    :param clock: tells the time.
    """

    def __init__(self, bounds: "BoundSettings", clock: "Clock") -> None:
        self.bounds = bounds
        self._clock = clock
        self._requests: t.Dict["ServiceId", _Window] = {}
        self._seconds: t.Dict["ServiceId", _Window] = {}
        #: How many entries share the budget.
        self.entry_count = 1

    def record_request(self, service: "ServiceId") -> None:
        """Count a request."""
        self._window(self._requests, service).add(self._clock.monotonic())

    def try_spend(self, service: "ServiceId") -> bool:
        """Whether one more send of a request is allowed; counts it if so."""
        now = self._clock.monotonic()
        requests = self._window(self._requests, service)
        seconds = self._window(self._seconds, service)
        requests.trim(now)
        seconds.trim(now)
        slack = self.bounds.budget_slack / max(1, self.entry_count)
        allowed = (requests.total * self.bounds.budget_ratio + slack) * _USED
        if seconds.total + 1 > allowed:
            return False
        seconds.add(now)
        return True

    def _window(self, windows: "t.Dict[ServiceId, _Window]", service: "ServiceId") -> _Window:
        window = windows.get(service)
        if window is None:
            window = windows[service] = _Window(self.bounds.budget_window_s)
        return window
