"""A fleet's retry budgets on virtual time, and the users' rule on all that they let through."""

import bisect
import typing as t

from coralfall.ids import EntryId
from coralfall.placement.retry_budget import SharedRetryBudget
from coralfall.process.clock import ManualClock
from coralfall.traffic.settings import BoundSettings
from tests.traffic.makers import PEDIDOS


class Excess(t.NamedTuple):
    """A window in which more retries were sent than the rule allows."""

    began: float
    retries: int
    allowed: float


class RetryFleet:
    """Entries that send requests of one service, each with the budget of its current lifetime.

    :param entry_count: entries that run from the start.
    :param bounds: ratio, fixed number and window of the rule.
    """

    def __init__(self, entry_count: int, bounds: t.Optional[BoundSettings] = None) -> None:
        self.bounds = bounds or BoundSettings()
        self.clock = ManualClock(100.0)
        self.budgets_by_id: t.Dict[EntryId, SharedRetryBudget] = {}
        self._requested_at: t.List[float] = []
        self._retried_at: t.List[float] = []
        for number in range(entry_count):
            self.start(EntryId(f"e{number}"))

    def start(self, entry_id: EntryId) -> None:
        """Starts an entry, or kills it and starts it again."""
        self.budgets_by_id[entry_id] = SharedRetryBudget(self.bounds, self.clock)
        for budget in self.budgets_by_id.values():
            budget.entry_count = len(self.budgets_by_id)

    def request(self, entry_id: EntryId, retries: int = 1) -> int:
        """Sends a request that targets reject, and retries it as often as the budget lets."""
        budget = self.budgets_by_id[entry_id]
        self._requested_at.append(self.clock.now)
        budget.record_request(PEDIDOS)
        sent = 0
        while sent < retries and budget.try_spend(PEDIDOS):
            self._retried_at.append(self.clock.now)
            sent += 1
        return sent

    def excess(self) -> t.Optional[Excess]:
        """Returns the first window in which the rule is broken, if there is one."""
        window_s = self.bounds.budget_window_s
        for began in self._retried_at:
            retries = _count(self._retried_at, began, began + window_s)
            starts = (began, began - window_s / 2, began - window_s)
            requests = max(_count(self._requested_at, at, at + window_s) for at in starts)
            allowed = requests * self.bounds.budget_ratio + self.bounds.budget_slack
            if retries > allowed:
                return Excess(began, retries, allowed)
        return None


def _count(times: t.Sequence[float], since: float, until: float) -> int:
    return bisect.bisect_right(times, until) - bisect.bisect_left(times, since)
