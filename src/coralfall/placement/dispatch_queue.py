"""Queue of the asks that wait for a slot of one target.

Levels are served in the order of their urgency, except that one of ten turns belongs to the less
urgent levels. Within a level, tenants get equal shares of the work by start-time fair queueing:
each has a virtual start time that grows with the work that it starts, and the lowest goes first.
The requests of one tenant go by their deadlines (earliest deadline first). A waiter that would not
start in time is refused as soon as this order shows it. The module does no I/O; times are passed
in as monotonic seconds.
"""

import bisect
import collections
import math
import typing as t

if t.TYPE_CHECKING:
    from ..ids import EntryId

#: Waiters for each slot. A later one would wait for four times the work of a request, which is
#: beyond the latency objectives of the routes.
_MAX_WAITERS_PER_SLOT = 4
#: Turns after which one belongs to the less urgent levels if none of them was theirs, so that they
#: get one of ten slots.
_TURNS_BETWEEN = 9
#: Tolerance in seconds for rounding errors of predicted starts.
_TOLERANCE_S = 1e-9


class Waiter(t.NamedTuple):
    """An ask that waits for a slot."""

    entry_id: "EntryId"
    number: int
    #: Urgency, 0 the most urgent, and code of the tenant.
    level: int
    tenant: int
    #: Predicted work in seconds, by which the tenant's share is measured.
    work_s: float
    #: Monotonic times after which a start is of no more use, and at which the ask came.
    start_before: float
    queued_at: float


def _deadline_of(waiter: Waiter) -> t.Tuple[float, float]:
    return waiter.start_before, waiter.queued_at


class _LevelQueue:
    """Waiters of one level, by start-time fair queueing among tenants."""

    __slots__ = ("_start_tags", "_virtual_time", "waiters_by_tenant")

    def __init__(self) -> None:
        #: Waiters of each tenant that has any, earliest deadline first.
        self.waiters_by_tenant: t.Dict[int, t.List[Waiter]] = {}
        #: Virtual time at which the next waiter of a tenant starts.
        self._start_tags: t.Dict[int, float] = {}
        #: Start tag of the last waiter that was started in its turn.
        self._virtual_time = 0.0

    def copy(self) -> "_LevelQueue":
        other = _LevelQueue()
        other.waiters_by_tenant = {
            tenant: waiters.copy() for tenant, waiters in self.waiters_by_tenant.items()
        }
        other._start_tags = self._start_tags.copy()
        other._virtual_time = self._virtual_time
        return other

    def add(self, waiter: Waiter) -> None:
        waiters = self.waiters_by_tenant.get(waiter.tenant)
        if waiters is not None:
            bisect.insort(waiters, waiter, key=_deadline_of)
            return
        self.waiters_by_tenant[waiter.tenant] = [waiter]
        # A tenant that returns continues at the present virtual time: no credit for its absence.
        tag = self._start_tags.get(waiter.tenant, 0.0)
        self._start_tags[waiter.tenant] = max(tag, self._virtual_time)

    def first(self) -> Waiter:
        tags = self._start_tags
        _, _, tenant = min(
            [
                (tags[tenant], _deadline_of(waiters[0]), tenant)
                for tenant, waiters in self.waiters_by_tenant.items()
            ]
        )
        return self.waiters_by_tenant[tenant][0]

    def charge(self, waiter: Waiter, in_turn: bool) -> None:
        """Counts a waiter's work for its tenant.

        :param in_turn: whether it was the first of this level.
        """
        tags = self._start_tags
        if in_turn:
            self._virtual_time = tags[waiter.tenant]
        tags[waiter.tenant] += waiter.work_s

    def remove(self, waiter: Waiter) -> None:
        waiters = self.waiters_by_tenant[waiter.tenant]
        waiters.remove(waiter)
        if waiters:
            return
        del self.waiters_by_tenant[waiter.tenant]
        for tenant, tag in list(self._start_tags.items()):
            if tag <= self._virtual_time and tenant not in self.waiters_by_tenant:
                del self._start_tags[tenant]


class _Schedule:
    """Waiters of all levels, and the order in which they are started."""

    __slots__ = ("_last_levels", "_levels")

    def __init__(self) -> None:
        self._levels: t.Dict[int, _LevelQueue] = {}
        #: Levels of the last turns; infinite if it was one of those that belong to the less urgent
        #: levels. They count also while no less urgent one waits, as each one would otherwise wait
        #: for nine turns however rarely one comes.
        self._last_levels: t.Deque[float] = collections.deque(maxlen=_TURNS_BETWEEN)

    def __bool__(self) -> bool:
        return bool(self._levels)

    def copy(self) -> "_Schedule":
        other = _Schedule()
        other._levels = {number: level.copy() for number, level in self._levels.items()}
        other._last_levels = self._last_levels.copy()
        return other

    def waiters(self) -> t.Iterator[Waiter]:
        for level in self._levels.values():
            for waiters in level.waiters_by_tenant.values():
                yield from waiters

    def add(self, waiter: Waiter) -> None:
        level = self._levels.get(waiter.level)
        if level is None:
            level = self._levels[waiter.level] = _LevelQueue()
        level.add(waiter)

    def remove(self, waiter: Waiter) -> None:
        level = self._levels[waiter.level]
        level.remove(waiter)
        if not level.waiters_by_tenant:
            # The end of the level's busy period: all tenants begin the next one as equals.
            del self._levels[waiter.level]

    def next(self) -> Waiter:
        """The waiter whose turn it is; there has to be one."""
        top = min(self._levels)
        if len(self._last_levels) == _TURNS_BETWEEN and max(self._last_levels) <= top:
            oldest = self.oldest_less_urgent()
            if oldest is not None:
                return oldest
        return self._levels[top].first()

    def start(self, waiter: Waiter) -> None:
        """Removes the waiter whose turn it is, and counts its turn and its work."""
        in_turn = waiter.level == min(self._levels)
        self._last_levels.append(waiter.level if in_turn else math.inf)
        self._levels[waiter.level].charge(waiter, in_turn)
        self.remove(waiter)

    def oldest_less_urgent(self) -> t.Optional[Waiter]:
        """The longest waiting one of all levels but the most urgent, if there is one."""
        if len(self._levels) < 2:
            return None
        top = min(self._levels)
        return min(
            [waiter for waiter in self.waiters() if waiter.level != top],
            key=lambda waiter: (waiter.queued_at, waiter.start_before),
        )

    def least_entitled(self) -> Waiter:
        """The waiter that is refused first when there are too many.

        It is of the least urgent level, and there of the tenant with the most waiters. The longest
        waiting one of the less urgent levels stays, as the next of their turns is for it.
        """
        spared = self.oldest_less_urgent()
        for number in sorted(self._levels, reverse=True):
            candidates = [
                (len(waiters), _deadline_of(waiter), waiter)
                for waiters in self._levels[number].waiters_by_tenant.values()
                for waiter in waiters
                if waiter is not spared
            ]
            if candidates:
                return max(candidates)[2]
        raise LookupError("no waiter can be refused")


class DispatchQueue:
    """The asks that wait for a slot of one target.

    :param slots: number of requests that the target processes at a time.
    """

    def __init__(self, slots: int) -> None:
        self.slots = max(1, slots)
        self._schedule = _Schedule()
        self._by_ask: t.Dict[t.Tuple["EntryId", int], Waiter] = {}
        #: Waiters that :meth:`pop` skipped, which :meth:`refuse_useless` returns next.
        self._expired: t.List[Waiter] = []

    def __len__(self) -> int:
        return len(self._by_ask)

    def add(self, waiter: Waiter, now: float, free_in_s: float, work_s: float) -> t.List[Waiter]:
        """Adds a waiter, and returns those that are refused as a result, maybe itself.

        A waiter of the same entry and number is replaced.

        :param free_in_s: seconds until a slot is free.
        :param work_s: usual seconds that a request takes at the target now.
        """
        self.remove(waiter.entry_id, waiter.number)
        self._by_ask[waiter.entry_id, waiter.number] = waiter
        self._schedule.add(waiter)
        refused = self.refuse_useless(now, free_in_s, work_s)
        while len(self) > _MAX_WAITERS_PER_SLOT * self.slots:
            surplus = self._schedule.least_entitled()
            self._forget(surplus)
            refused.append(surplus)
        return refused

    def pop(self, now: float) -> t.Optional[Waiter]:
        """Removes and returns the next waiter to be assigned a slot.

        Those whose time has passed are skipped; :meth:`refuse_useless` returns them.
        """
        expired = [waiter for waiter in self._schedule.waiters() if waiter.start_before < now]
        for waiter in expired:
            self._schedule.remove(waiter)
        self._expired += expired
        if not self._schedule:
            return None
        chosen = self._schedule.next()
        self._schedule.start(chosen)
        del self._by_ask[chosen.entry_id, chosen.number]
        return chosen

    def remove(self, entry_id: "EntryId", number: int) -> t.Optional[Waiter]:
        """Removes a waiter whose ask was cancelled, and returns it if there was one."""
        waiter = self._by_ask.get((entry_id, number))
        if waiter is not None:
            self._forget(waiter)
        return waiter

    def refuse_useless(self, now: float, free_in_s: float, work_s: float) -> t.List[Waiter]:
        """Removes and returns the waiters whose predicted start is too late.

        :param free_in_s: seconds until a slot is free.
        :param work_s: usual seconds that a request takes at the target now.
        """
        refused = self._expired.copy()
        plan = self._schedule.copy()
        start = now + free_in_s
        # A start depends on the waiters in front only, so one pass in the order of starts finds
        # all late ones, and refuses none that the refusal of another would bring in time.
        while plan:
            waiter = plan.next()
            if start > waiter.start_before + _TOLERANCE_S:
                plan.remove(waiter)
                refused.append(waiter)
                continue
            plan.start(waiter)
            start += work_s / self.slots
        for waiter in refused:
            self._forget(waiter)
        return refused

    def wait_of(self, level: int, tenant: int, free_in_s: float, work_s: float) -> float:
        """Predicted seconds that one more waiter would wait, as the last of its tenant."""
        plan = self._schedule.copy()
        one_more = Waiter(t.cast("EntryId", ""), 0, level, tenant, work_s, math.inf, math.inf)
        plan.add(one_more)
        wait_s = free_in_s
        while True:
            waiter = plan.next()
            if waiter is one_more:
                return wait_s
            plan.start(waiter)
            wait_s += work_s / self.slots

    def _forget(self, waiter: Waiter) -> None:
        del self._by_ask[waiter.entry_id, waiter.number]
        if waiter in self._expired:
            self._expired.remove(waiter)
        else:
            self._schedule.remove(waiter)
