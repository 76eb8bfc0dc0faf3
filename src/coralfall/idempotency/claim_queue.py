"""Which claim rows are written next, and when; pure decisions, on times passed in."""

import typing as t

from .. import defaults
from ..exceptions import PlatformError, PlatformUnknownError
from ..process import log

if t.TYPE_CHECKING:
    from ..settings import ClaimSettings
    from .claim_record import ClaimRecord

#: Failures in a row after which pauses do not grow any more.
_MAX_DOUBLINGS = 10


class ClaimQueue:
    """Records that are to be written.

    Those that someone waits for go as soon as an interval has passed since the last batch;
    the others go with them, or alone once ``settings.settle_s`` has passed.

    :param settings: the intervals.
    """

    def __init__(self, settings: "ClaimSettings") -> None:
        #: Whether everything is to go as soon as it may.
        self.closing = False
        self._settings = settings
        self._interval_s = settings.interval_s
        #: Dicts as ordered sets.
        self._claims: t.Dict[str, "ClaimRecord"] = {}
        self._settlements: t.Dict[str, "ClaimRecord"] = {}
        self._settle_at = 0.0
        self._taken_at = float("-inf")
        self._retry_at = float("-inf")
        self._failures = 0
        self._doubtful = False

    def pace(self, entries: int) -> None:
        """Set the interval to the entry's share of what all entries together may send.

        It is at least ``settings.interval_s``, and at most half of the time that a claim may
        take: with so many entries the table's limit is kept only while most of them are idle.
        """
        share_s = entries / defaults.CLAIM_WRITES_PER_S
        self._interval_s = max(self._settings.interval_s, min(share_s, self._settings.wait_s / 2))

    def put(self, record: "ClaimRecord", now: float) -> None:
        """Add a record, in the place that it has now."""
        self.remove(record)
        if record.waiter is not None:
            self._claims[record.key] = record
            return
        if not self._settlements:
            self._settle_at = now + self._settings.settle_s
        self._settlements[record.key] = record

    def remove(self, record: "ClaimRecord") -> None:
        """Forget a record, if it is here."""
        self._claims.pop(record.key, None)
        self._settlements.pop(record.key, None)

    def waiting(self) -> t.List["ClaimRecord"]:
        """The records that someone waits for."""
        return list(self._claims.values())

    def due_at(self) -> t.Optional[float]:
        """When to take the next batch; ``None`` if there is nothing to write."""
        if not self._claims and not self._settlements:
            return None
        due = max(self._taken_at + self._interval_s, self._retry_at)
        full = len(self._settlements) >= defaults.CLAIM_BATCH_ROWS
        if self._claims or full or self.closing:
            return due
        return max(due, self._settle_at)

    def take(self, now: float) -> t.List["ClaimRecord"]:
        """The next batch, of bounded size."""
        batch: t.List["ClaimRecord"] = []
        size = 0
        for record in [*self._claims.values(), *self._settlements.values()]:
            size += record.answer_bytes()
            full = len(batch) >= defaults.CLAIM_BATCH_ROWS
            if batch and (full or size > defaults.CLAIM_BATCH_BYTES):
                break
            batch.append(record)
        for record in batch:
            self.remove(record)
        self._taken_at = now
        return batch

    @property
    def retry_at(self) -> float:
        """When to call the table again after writes failed."""
        return self._retry_at

    def is_paused(self, now: float) -> bool:
        """Whether writes failed and it is too early to try again."""
        return now < self._retry_at

    @property
    def is_failing(self) -> bool:
        """Whether the last batch failed for good, so that the next one is a trial."""
        return self._failures > 0

    def succeeded(self) -> None:
        """Take in that a batch went through."""
        if self._failures:
            log.info("claims.recovered", failures=self._failures)
        self._failures = 0
        self._doubtful = False

    def failed(self, error: PlatformError, now: float) -> bool:
        """Take in that a batch failed.

        :return: whether the table counts as unavailable; a single lost answer is read back
            at once and does not.
        """
        if isinstance(error, PlatformUnknownError) and not self._doubtful:
            self._doubtful = True
            return False
        pause = defaults.CLAIM_BACKOFF_MIN_S * 2 ** min(self._failures, _MAX_DOUBLINGS)
        self._retry_at = now + min(pause, defaults.CLAIM_BACKOFF_MAX_S)
        self._failures += 1
        log.warning("claims.failed", error=error, in_row=self._failures)
        return True
