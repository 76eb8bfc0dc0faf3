"""A fleet's retry budgets on virtual time, and the users' rule on all that they let through."""

import bisect
import typing as t

from coralfall.ids import EntryId
from coralfall.placement.fleet_share import FleetShare
from coralfall.placement.retry_budget import SharedRetryBudget
from coralfall.process.clock import ManualClock
from coralfall.traffic.settings import BoundSettings
from tests.traffic.makers import PEDIDOS


class Excess(t.NamedTuple):
    """A window in which more retries arrived than the rule allows."""

    began: float
    retries: int
    allowed: float


class RetryEntry:
    """One process of an entry, and what it knows of the entries' rows in the store."""

    def __init__(self, entry_id: EntryId, bounds: BoundSettings, clock: ManualClock) -> None:
        self.entry_id = entry_id
        self.share = FleetShare(entry_id, bounds, clock)
        self.budget = SharedRetryBudget(bounds, self.share, clock)
        self.rows: t.FrozenSet[EntryId] = frozenset()
        self.read_at = -float("inf")


class RetryFleet:
    """Entries that send requests of one service.

    :param entry_count: entries that run from the start.
    :param bounds: ratio, fixed number and window of the rule.
    """

    def __init__(self, entry_count: int, bounds: t.Optional[BoundSettings] = None) -> None:
        self.bounds = bounds or BoundSettings()
        self.clock = ManualClock(100.0)
        self.entries_by_id: t.Dict[EntryId, RetryEntry] = {}
        #: Entries that have a row, and those that do not reach the store.
        self.rows: t.Set[EntryId] = set()
        self.cut_off: t.Set[EntryId] = set()
        self._requested_at: t.List[float] = []
        self._arrived_at: t.List[float] = []
        self.ids = [EntryId(f"e{number}") for number in range(entry_count)]
        for entry_id in self.ids:
            self.start(entry_id)

    def start(self, entry_id: EntryId) -> None:
        """Starts an entry, or kills it and starts it again; writes its row if it can."""
        self.entries_by_id[entry_id] = RetryEntry(entry_id, self.bounds, self.clock)
        if entry_id not in self.cut_off:
            self.rows.add(entry_id)
            self.read(entry_id)

    def stop(self, entry_id: EntryId) -> None:
        """Ends an entry, which deletes its row."""
        self.entries_by_id.pop(entry_id, None)
        self.rows.discard(entry_id)

    def read(self, entry_id: EntryId) -> None:
        """Lets an entry know the rows as they are, if it reaches the store."""
        entry = self.entries_by_id[entry_id]
        if entry_id not in self.cut_off:
            entry.rows = frozenset(self.rows)
            entry.read_at = self.clock.now

    def tick(self, seconds: float = 0.0) -> None:
        """Lets time pass, after which entries know how old their rows are."""
        self.clock.advance(seconds)
        for entry in self.entries_by_id.values():
            if entry.read_at > 0:
                entry.share.update(entry.rows, self.clock.now - entry.read_at)

    def request(self, entry_id: EntryId, retries: int = 1, delay_s: float = 0.0) -> int:
        """Sends a request that targets reject, and retries it as often as the budget lets.

        :param delay_s: seconds until the retries arrive.
        """
        self._requested_at.append(self.clock.now)
        self.entries_by_id[entry_id].budget.record_request(PEDIDOS)
        return self.retry(entry_id, retries, delay_s)

    def retry(self, entry_id: EntryId, retries: int, delay_s: float = 0.0) -> int:
        """Retries as often as the budget lets; returns how often."""
        budget = self.entries_by_id[entry_id].budget
        for sent in range(retries):
            permit = budget.reserve(PEDIDOS)
            if permit is None or not permit.spend():
                return sent
            self._arrived_at.append(self.clock.now + delay_s)
        return retries

    def shares(self) -> int:
        """Returns the shared tokens that all entries together have."""
        units = int(self.bounds.budget_slack)
        return sum(one.share.part_of("pedidos", units) for one in self.entries_by_id.values())

    def excess(self) -> t.Optional[Excess]:
        """Returns the first window in which the rule is broken, if there is one."""
        window_s = self.bounds.budget_window_s
        arrived_at = sorted(self._arrived_at)
        for began in arrived_at:
            retries = _count(arrived_at, began, began + window_s)
            starts = (began, began - window_s / 2, began - window_s)
            requests = max(_count(self._requested_at, at, at + window_s) for at in starts)
            allowed = requests * self.bounds.budget_ratio + self.bounds.budget_slack
            if retries > allowed:
                return Excess(began, retries, allowed)
        return None

    def retry_count(self) -> int:
        """Returns how many retries were sent."""
        return len(self._arrived_at)


def _count(times: t.Sequence[float], since: float, until: float) -> int:
    return bisect.bisect_right(times, until) - bisect.bisect_left(times, since)
