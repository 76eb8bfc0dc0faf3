"""Follower: keeps one replica up to date from the platform's store, on behalf of all entries.

There is no election. Each entry waits until what it knows has reached an age that depends on its
rank among the live entries, then reads for itself and hands what it read to the others. As long as
the first in rank reads, nobody else's knowledge grows old; when it stops, the next one's does. One
far down reads when word reaches it late, over a choked link say; what it read is no news to others.
"""

import asyncio
import random
import typing as t

from .. import defaults
from ..exceptions import HistoryLostError, PlatformError
from ..process import log

if t.TYPE_CHECKING:
    from ..ids import Revision
    from ..process.clock import Clock
    from ..stores.store import Changes, Feed
    from .members import Members
    from .poll_intervals import PollIntervals
    from .replica import Replica
    from .store_clock import StoreClock

#: Seconds between two looks at the age of what is known.
_LOOK_S = 0.05
#: Pauses after a failed read, in seconds, for the first in rank.
_MIN_PAUSE_S = 0.2
_MAX_PAUSE_S = 1.0
#: Longest pause of those far down, who are told of the store's return by the first.
_MAX_FAR_PAUSE_S = 5.0


class Follower:
    """Follows the rows below a prefix.

    :param prefix: of the rows.
    :param replica: what is known of them.
    :param feed: the platform's store.
    :param members: tells this entry's rank.
    :param clock: tells the time.
    :param store_clock: tells how old knowledge is.
    :param rng: varies the pauses.
    :param pace: ages at which rows are read.
    :param held: whether the store may hold a read until something changes.
    :param before: told how old the knowledge was, before rows are taken in.
    :param changed: told which keys changed.
    :param hand_on: told the revision before, when the others are to learn what was read.
    :param patience_s: seconds for which a start waits for others to tell the rows.
    """

    def __init__(
        self,
        prefix: str,
        replica: "Replica[t.Any]",
        feed: "Feed",
        members: "Members",
        clock: "Clock",
        store_clock: "StoreClock",
        rng: random.Random,
        pace: "PollIntervals",
        held: bool,
        before: t.Callable[[float], None],
        changed: t.Callable[[t.Set[str]], None],
        hand_on: "t.Callable[[Revision], None]",
        patience_s: float = 0.0,
    ) -> None:
        #: What logs and metrics call it.
        self.name = replica.name
        self._prefix = prefix
        self._replica = replica
        self._feed = feed
        self._members = members
        self._clock = clock
        self._store_clock = store_clock
        self._rng = rng
        #: Ages at which rows are read.
        self.pace = pace
        self._held = held
        self._before = before
        self._changed = changed
        self._hand_on = hand_on
        self._patience_s = patience_s
        self._failures = 0
        #: Reads so far, and those that failed.
        self.reads = 0
        self.failed_reads = 0

    async def run(self) -> None:
        """Read when it is this entry's turn, for ever."""
        await self._wait_for_others()
        while True:
            await self._wait_for_turn()
            try:
                await self.read()
            except PlatformError as error:
                self._note_failure(error)
                await asyncio.sleep(self._pause_s() * self._rng.uniform(0.7, 1.0))

    def _pause_s(self) -> float:
        """How long to leave the store alone after failures; the longer the further down in rank.

        The first ones ask often: all know of the store's return soon, and few calls are made.
        """
        pause = min(_MIN_PAUSE_S * 2.0 ** min(self._failures, 4), _MAX_PAUSE_S)
        return min(pause * (1 + self._members.rank() / defaults.BROADCAST_RANKS), _MAX_FAR_PAUSE_S)

    async def read(self) -> None:
        """Read once and hand on what was read.

        :raises PlatformError: if the store gave no answer.
        """
        since = self._replica.revision
        if not since:
            await self._read_all(since)
            return
        began = self._clock.monotonic()
        wait_s = self._wait()
        self.reads += 1
        try:
            changes = await self._feed.follow(self._prefix, since, wait_s)
        except HistoryLostError:
            log.info("store.history-lost", rows=self._replica.name, since=since)
            await self._read_all(since)
            return
        self._before(self._age())
        read_s = self._note_answer(changes, began, wait_s)
        self._tell(self._replica.apply_changes(changes.rows, changes.revision, read_s), since)

    async def _read_all(self, since: "Revision") -> None:
        began = self._clock.monotonic()
        self.reads += 1
        changes = await self._feed.snapshot(self._prefix)
        self._before(self._age())
        read_s = self._note_answer(changes, began, 0.0)
        self._tell(self._replica.apply_snapshot(changes.rows, changes.revision, read_s), since)

    def _tell(self, changed: t.Set[str], since: "Revision") -> None:
        self._changed(changed)
        # All rows are long; whoever lacks them asks for them once. Handed on by each that starts,
        # they came to every one of 12 or 195 entries eight times (virtual time, 20 ms a message).
        if since and self._members.rank() < defaults.BROADCAST_RANKS:
            self._hand_on(since)

    def _wait(self) -> float:
        return self.pace.interval_s if self._held and self._members.rank() == 0 else 0.0

    def _note_answer(self, changes: "Changes", began: float, wait_s: float) -> float:
        """Time of the store's clock at which the rows of an answer were so."""
        self._note_success()
        self._store_clock.observe(began, changes.now)
        # The pages don't say whether a slow store stamps its answer when it looks or when it sends.
        return changes.now - max(0.0, self._clock.monotonic() - began - wait_s)

    async def _wait_for_others(self) -> None:
        """Give others, who may know the rows, the time to tell them."""
        until = self._clock.monotonic() + self._patience_s
        while self._clock.monotonic() < until:
            if self._replica.is_loaded:
                return
            await asyncio.sleep(_LOOK_S)

    async def _wait_for_turn(self) -> None:
        while True:
            age = self._age()
            due = self.pace.due_age_s(self._members.rank(), self._held)
            if age >= due:
                return
            await asyncio.sleep(max(_LOOK_S, due - age))

    def _age(self) -> float:
        return self._store_clock.age_s(self._replica.read_s)

    def _note_failure(self, error: PlatformError) -> None:
        self._failures += 1
        self.failed_reads += 1
        if self._failures == 1:
            log.warning("store.lost", rows=self._replica.name, code=error.code, error=error.message)

    def _note_success(self) -> None:
        if self._failures:
            log.info("store.regained", rows=self._replica.name, failures=self._failures)
        self._failures = 0
