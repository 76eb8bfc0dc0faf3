"""Follower: keeps one replica up to date from the platform's store, on behalf of the fleet.

No leader is elected. Each entry waits until its replica has reached an age that depends on its rank
among the live entries, then reads the store itself and pushes what it read to the others. As long
as the first in rank reads, no other entry's replica grows old enough; when it stops, that of the
next in rank does. An entry of low rank reads if updates reach it late, over a congested link for
example; it does not push what it read, since the others know it already.
"""

import asyncio
import random
import typing as t

from .. import defaults
from ..exceptions import HistoryLostError, PlatformError, StaleAnswerError
from ..ids import START, Position
from ..process import log

if t.TYPE_CHECKING:
    from ..process.clock import Clock
    from ..stores.store import Changes, Feed
    from .members import Members
    from .poll_intervals import PollIntervals
    from .replica import Replica
    from .store_clock import StoreClock

#: Seconds between two checks of the replica's age.
_CHECK_INTERVAL_S = 0.05
#: Backoff after failed reads, in seconds, for the first in rank.
_MIN_BACKOFF_S = 0.2
_MAX_BACKOFF_S = 1.0
#: Longest backoff of entries of low rank, which learn from the first ones that the store is back.
_MAX_LOW_RANK_BACKOFF_S = 5.0


class Follower:
    """Follows the rows below a prefix.

    :param prefix: prefix of the rows' keys.
    :param replica: where the rows are kept.
    :param feed: reads the platform's store.
    :param members: gives this entry's rank.
    :param clock: monotonic time.
    :param store_clock: gives the replica's age.
    :param rng: jitter of the pauses.
    :param pace: ages at which rows are read.
    :param long_poll: whether the first in rank lets the store hold a read until a row changes.
    :param before_apply: called with the replica's age in seconds before rows are applied.
    :param on_changed: called with the keys that changed.
    :param push_since: called with the position before the read, to push what was read.
    :param min_backoff_s: first pause in seconds after a failed read, for the first in rank.
    :param initial_wait_s: seconds for which a start waits for other entries to send the rows.
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
        long_poll: bool,
        before_apply: t.Callable[[float], None],
        on_changed: t.Callable[[t.Set[str]], None],
        push_since: t.Callable[[Position], None],
        initial_wait_s: float = 0.0,
        min_backoff_s: float = _MIN_BACKOFF_S,
    ) -> None:
        #: Name of the rows in logs and metrics.
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
        self._long_poll = long_poll
        self._before_apply = before_apply
        self._on_changed = on_changed
        self._push_since = push_since
        self._initial_wait_s = initial_wait_s
        self._min_backoff_s = min_backoff_s
        self._consecutive_failures = 0
        #: Reads of all rows since changes could last be read.
        self._consecutive_snapshots = 0
        #: Position of the store in its last answer.
        self.store_position = START
        #: Reads so far, and those of them that failed.
        self.reads = 0
        self.failed_reads = 0

    async def run(self) -> None:
        """Reads whenever it is this entry's turn, until cancelled."""
        await self._wait_for_other_entries()
        while True:
            await self._wait_for_turn()
            try:
                await self.read()
            except PlatformError as error:
                self._note_failure(error)
                await asyncio.sleep(self._backoff_s(error) * self._rng.uniform(0.7, 1.0))

    def _backoff_s(self, error: PlatformError) -> float:
        """Returns the pause after a failed read; it is longer for entries of lower rank.

        The first ones retry often, so that the fleet soon learns that the store is back, at the
        cost of few calls. A store that answers late is read by them as often as ever.
        """
        if isinstance(error, StaleAnswerError) and self._members.rank() < defaults.BROADCAST_RANKS:
            return self.pace.interval_s
        backoff_s = self._min_backoff_s * 2.0 ** min(self._consecutive_failures, 4)
        backoff_s = min(backoff_s, max(self._min_backoff_s, _MAX_BACKOFF_S))
        return min(
            backoff_s * (1 + self._members.rank() / defaults.BROADCAST_RANKS),
            _MAX_LOW_RANK_BACKOFF_S,
        )

    async def read(self) -> None:
        """Reads the store once, applies the rows and pushes them to other entries.

        :raises PlatformError: if the store did not answer.
        """
        since = self._replica.position
        if not since.revision:
            await self._read_all(since)
            return
        began = self._clock.monotonic()
        wait_s = self._wait_s()
        self.reads += 1
        try:
            changes = await self._feed.follow(self._prefix, since.revision, wait_s)
        except HistoryLostError:
            await self._read_all(since)
            self._log_lost_history(since)
            return
        if changes.era > since.era:
            # The revision that was asked for means another moment in the store's present era.
            await self._read_all(since)
            return
        self._check_order(changes, since)
        self._consecutive_snapshots = 0
        self._before_apply(self._age_s())
        read_s = self._note_answer(changes, began, wait_s)
        since = self._newest_of_era(since)
        self._publish(self._replica.apply_changes(changes.rows, changes.position, read_s), since)

    async def _read_all(self, since: Position) -> None:
        began = self._clock.monotonic()
        self.reads += 1
        self._consecutive_snapshots += 1
        changes = await self._feed.snapshot(self._prefix)
        self._check_order(changes, since)
        self._before_apply(self._age_s())
        read_s = self._note_answer(changes, began, 0.0)
        since = self._newest_of_era(since)
        changed = self._replica.apply_snapshot(changes.rows, changes.position, read_s)
        changed |= await self._read_deletions()
        self._publish(changed, since)

    def _check_order(self, changes: "Changes", since: Position) -> None:
        """Raises an error if an answer is older than what the store had reached before."""
        if changes.position >= since:
            return
        self.store_position = changes.position
        raise StaleAnswerError(
            f"the store stands at revision {changes.revision} of era {changes.era}, before"
            f" revision {since.revision} of era {since.era}, which it had reached"
        )

    async def _read_deletions(self) -> t.Set[str]:
        """Reads which rows were deleted in the present era, if some are carried that it lacks.

        Without that, a row whose deletion came before the first read seems to be lost.
        """
        since = self._replica.oldest_missing()
        if since is None:
            return set()
        self.reads += 1
        try:
            changes = await self._feed.follow(self._prefix, since, 0.0)
        except PlatformError as error:
            log.info("store.deletions-unknown", rows=self.name, code=error.code)
            return set()
        return self._replica.apply_changes(changes.rows, changes.position, -float("inf"))

    def _newest_of_era(self, since: Position) -> Position:
        """Returns from where to push: nothing that another entry has pushed as the era began."""
        position = self._replica.position
        return position if position.era != since.era else since

    def _log_lost_history(self, since: Position) -> None:
        log.warning(
            "store.history-lost",
            rows=self.name,
            since=since.revision,
            since_era=since.era,
            revision=self.store_position.revision,
            era=self.store_position.era,
        )

    def _publish(self, changed: t.Set[str], since: Position) -> None:
        self._on_changed(changed)
        # A first snapshot is not pushed. It is long, and an entry that lacks it requests it once;
        # pushed by every entry that starts, it reached each of 12 or 195 entries eight times if a
        # message takes 20 ms.
        if since > START and self._members.rank() < defaults.BROADCAST_RANKS:
            self._push_since(since)

    def _wait_s(self) -> float:
        return self.pace.interval_s if self._long_poll and self._members.rank() == 0 else 0.0

    def _note_answer(self, changes: "Changes", began: float, wait_s: float) -> float:
        """Returns the time of the store's clock as of which the rows of an answer are valid."""
        self._note_success()
        self.store_position = changes.position
        self._store_clock.observe(began, changes.now)
        # The platform does not specify whether a slow store stamps an answer when it reads the rows
        # or when it sends them, so the delay beyond the requested wait is subtracted.
        return changes.now - max(0.0, self._clock.monotonic() - began - wait_s)

    async def _wait_for_other_entries(self) -> None:
        """Waits for other entries that know the rows to send them, for a limited time."""
        until = self._clock.monotonic() + self._initial_wait_s
        while self._clock.monotonic() < until:
            if self._replica.is_loaded:
                return
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def _wait_for_turn(self) -> None:
        # The store answers a read of all rows at once, so it can't pace repeated ones.
        held = self._long_poll and self._consecutive_snapshots < 2
        while True:
            age_s = self._age_s()
            due_s = self.pace.due_age_s(self._members.rank(), held)
            if age_s >= due_s:
                return
            await asyncio.sleep(max(_CHECK_INTERVAL_S, due_s - age_s))

    def _age_s(self) -> float:
        return self._store_clock.age_s(self._replica.read_s)

    def _note_failure(self, error: PlatformError) -> None:
        self._consecutive_failures += 1
        self.failed_reads += 1
        if self._consecutive_failures == 1:
            log.warning("store.lost", rows=self._replica.name, code=error.code, error=error.message)

    def _note_success(self) -> None:
        if self._consecutive_failures:
            log.info("store.regained", rows=self._replica.name, failures=self._consecutive_failures)
        self._consecutive_failures = 0
