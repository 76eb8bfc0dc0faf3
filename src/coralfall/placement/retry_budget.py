"""Retry budget: bounds the sends beyond the first of each request, over all entries together.

In any window, a service gets at most a ratio of its requests and a fixed number of such sends. Each
process spends two kinds of tokens, and begins with none of either:

* Earned tokens, a token bucket. Each request adds a part of the ratio, and the bucket holds at most
  another part of the ratio for each request of the last window. Both parts together are less than
  the whole, so the sum over all processes is within the ratio of the requests of the window or of
  the one before it, whatever the number of processes and whenever they start or end.
* Shared tokens, by a sliding-window log: this entry's share of the fixed number, which begins later
  than one window after a start.

See docs/design/retry-budget.md for the proof.
"""

import collections
import math
import typing as t

from ..process import log

if t.TYPE_CHECKING:
    from ..ids import ServiceId
    from ..process.clock import Clock
    from ..traffic.settings import BoundSettings
    from .fleet_share import Share

#: Fraction of the ratio that each request earns.
_EARNED_FRACTION = 0.6
#: Fraction of the ratio that may be held for each request of the last window. What is missing to 1
#: covers sends that reach targets later than they are counted, and requests counted late.
_HELD_FRACTION = 0.3
#: Fraction of the fixed number that is divided, for the same reason.
_SHARED_FRACTION = 0.75
#: Seconds of one slice of the sliding window.
_SLICE_S = 0.5
#: Tolerance for the rounding errors of earned fractions.
_ROUNDING_TOLERANCE = 1e-6


class _RecentRequests:
    """Counts the requests of a sliding window by slices of time, and never one that is older."""

    def __init__(self, span_s: float) -> None:
        self.span_s = span_s
        #: Number of each slice and the requests in it, the oldest first.
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
        while self._counts and self._counts[0][0] * _SLICE_S < now - self.span_s:
            self.total -= self._counts.popleft()[1]


class _ServiceTokens:
    """The tokens of one service.

    :param bounds: ratio, fixed number and window.
    """

    def __init__(self, bounds: "BoundSettings") -> None:
        self._bounds = bounds
        self._requests = _RecentRequests(bounds.budget_window_s)
        self._earned = 0.0
        #: When shared tokens were spent, the oldest first.
        self._shared_spent_at: t.Deque[float] = collections.deque()
        #: Tokens that retries under way will spend.
        self.reserved = 0
        self.exhausted_at = -math.inf

    def set_bounds(self, bounds: "BoundSettings") -> None:
        """Puts other bounds in force; what was earned and spent stays so."""
        self._bounds = bounds
        self._requests.span_s = bounds.budget_window_s

    @property
    def request_count(self) -> int:
        return self._requests.total

    def earn(self, now: float) -> None:
        self.trim(now)
        self._requests.add(now)
        self._earned += self._bounds.budget_ratio * _EARNED_FRACTION
        self._cap()

    def trim(self, now: float) -> None:
        """Discards what the window has left behind."""
        self._requests.trim(now)
        self._cap()
        spent_before = now - self._bounds.retry_span_s()
        while self._shared_spent_at and self._shared_spent_at[0] < spent_before:
            self._shared_spent_at.popleft()

    def available(self, share: int) -> int:
        """Returns the tokens that no retry has reserved; :meth:`trim` comes before it."""
        return self.earned() + max(0, share - len(self._shared_spent_at)) - self.reserved

    def earned(self) -> int:
        return math.floor(self._earned + _ROUNDING_TOLERANCE)

    def spend(self, now: float, share: int) -> bool:
        """Spends one token; :meth:`trim` comes before it."""
        if self.earned():
            self._earned -= 1
            return True
        if len(self._shared_spent_at) < share:
            self._shared_spent_at.append(now)
            return True
        return False

    def _cap(self) -> None:
        held = self._bounds.budget_ratio * _HELD_FRACTION * self._requests.total
        self._earned = min(self._earned, held)


class RetryPermit:
    """A token reserved for one retry, which is spent when the retry is sent.

    :param budget: where it comes from.
    :param service: service of the request.
    """

    def __init__(self, budget: "SharedRetryBudget", service: "ServiceId") -> None:
        self._budget = budget
        self._service = service
        self._closed = False

    def spend(self) -> bool:
        """Spends the token; returns False if it was lost while the retry waited."""
        if self._closed:
            return False
        self.release()
        return self._budget.spend(self._service)

    def release(self) -> None:
        """Gives the token back, if it was not spent."""
        if not self._closed:
            self._closed = True
            self._budget.unreserve(self._service)


class SharedRetryBudget:
    """The retries that this entry may send to each service.

    :param bounds: ratio, fixed number and window.
    :param share: this entry's part of the fixed number.
    :param clock: time source.
    """

    def __init__(self, bounds: "BoundSettings", share: "Share", clock: "Clock") -> None:
        self._bounds = bounds
        self._share = share
        self._clock = clock
        self._tokens_by_service: t.Dict["ServiceId", _ServiceTokens] = {}

    def set_bounds(self, bounds: "BoundSettings") -> None:
        """Puts other bounds in force."""
        self._bounds = bounds
        for tokens in self._tokens_by_service.values():
            tokens.set_bounds(bounds)

    def record_request(self, service: "ServiceId") -> None:
        """Counts a request, which earns a part of a token."""
        self._tokens_of(service).earn(self._clock.monotonic())

    def reserve(self, service: "ServiceId") -> t.Optional[RetryPermit]:
        """Reserves a token for one retry; ``None`` if there is none."""
        tokens = self._tokens_of(service)
        now = self._clock.monotonic()
        tokens.trim(now)
        if tokens.available(self._share_of(service)) < 1:
            self._log_exhausted(service, tokens, now)
            return None
        tokens.reserved += 1
        return RetryPermit(self, service)

    def spend(self, service: "ServiceId") -> bool:
        """Spends a token, and returns whether there was one."""
        tokens = self._tokens_of(service)
        now = self._clock.monotonic()
        tokens.trim(now)
        return tokens.spend(now, self._share_of(service))

    def unreserve(self, service: "ServiceId") -> None:
        """Ends a reservation."""
        tokens = self._tokens_of(service)
        tokens.reserved = max(0, tokens.reserved - 1)

    def available_by_service(self) -> "t.Dict[ServiceId, int]":
        """Returns the tokens that are left for each service."""
        now = self._clock.monotonic()
        available: t.Dict["ServiceId", int] = {}
        for service, tokens in self._tokens_by_service.items():
            tokens.trim(now)
            available[service] = max(0, tokens.available(self._share_of(service)))
        return available

    def _share_of(self, service: "ServiceId") -> int:
        return self._share.part_of(service, int(self._bounds.budget_slack * _SHARED_FRACTION))

    def _log_exhausted(self, service: "ServiceId", tokens: _ServiceTokens, now: float) -> None:
        """Logs once a window that there is no token for a service."""
        if now < tokens.exhausted_at + self._bounds.budget_window_s:
            return
        tokens.exhausted_at = now
        log.info(
            "retry.exhausted",
            service=service,
            requests=tokens.request_count,
            share=self._share_of(service),
            waiting=tokens.reserved,
        )

    def _tokens_of(self, service: "ServiceId") -> _ServiceTokens:
        tokens = self._tokens_by_service.get(service)
        if tokens is None:
            tokens = self._tokens_by_service[service] = _ServiceTokens(self._bounds)
        return tokens
