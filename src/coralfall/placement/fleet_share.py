"""Fleet share: this entry's part of what all entries together may spend, known to it or not.

The entries that have a row in the store divide a whole number of units. An entry has a part only
while it knows the rows as of a recent moment, and while its own row has been there for a settling
time, which is longer by a whole window; it settles anew if it knew no rows of a whole window. Of
two entries that spend within one window, each therefore counts the other; a row that disappears is
counted for the settling time, too. So what is spent in a window never adds up to more than the
whole, whichever entries start, end or can't reach each other. An entry that can't learn of the rows
has no part.
"""

import abc
import enum
import typing as t

from .. import defaults
from ..process import log
from .even_division import EvenDivision

if t.TYPE_CHECKING:
    from ..ids import EntryId
    from ..process.clock import Clock
    from ..traffic.settings import BoundSettings


class Share(abc.ABC):
    """Tells how much of a whole this entry may spend.

    Subclasses divide it::

        class Half(Share):
            def part_of(self, name, units):
                return units // 2
    """

    @abc.abstractmethod
    def part_of(self, name: str, units: int) -> int:
        """Returns the units of a whole that this entry may spend.

        :param name: what is divided.
        """


class ShareState(enum.Enum):
    """Whether an entry has a part, and if not, why; the values appear in logs."""

    VALID = "valid"
    #: Its own row is not there, or not for long enough.
    SETTLING = "settling"
    #: It does not know the rows as of a recent moment.
    STALE = "stale"


class FleetShare(Share):
    """This entry's part, by the entries' rows in the store.

    :param entry_id: id of this entry.
    :param bounds: how long a row has to be there.
    :param clock: tells the time.
    """

    def __init__(self, entry_id: "EntryId", bounds: "BoundSettings", clock: "Clock") -> None:
        self._entry_id = entry_id
        self.bounds = bounds
        self._clock = clock
        self._division = EvenDivision(entry_id)
        #: When each row was last among the known ones.
        self._seen_at: t.Dict["EntryId", float] = {}
        #: Since when this entry's own row has been among them.
        self._own_row_since: t.Optional[float] = None
        #: Time as of which the rows are known.
        self._known_as_of = -float("inf")
        self._logged_state = ShareState.SETTLING

    @property
    def entry_count(self) -> int:
        """Number of entries that divide the whole."""
        return self._division.entry_count

    @property
    def state(self) -> ShareState:
        """Whether this entry has a part now."""
        now = self._clock.monotonic()
        settle_s = self.bounds.share_settle_s()
        if self._own_row_since is None or now - self._own_row_since < settle_s:
            return ShareState.SETTLING
        if now - self._known_as_of > defaults.ENTRIES_KNOWN_S:
            return ShareState.STALE
        return ShareState.VALID

    def update(self, entry_ids: "t.Collection[EntryId]", age_s: float) -> None:
        """Takes in the entries that have rows.

        :param entry_ids: their ids.
        :param age_s: upper bound of the seconds since these were all rows.
        """
        now = self._clock.monotonic()
        settle_s = self.bounds.share_settle_s()
        if now - age_s - self._known_as_of > self.bounds.retry_span_s():
            # A row may have come and gone in between without having been seen here.
            self._own_row_since = None
        self._known_as_of = max(self._known_as_of, now - age_s)
        for entry_id in entry_ids:
            self._seen_at[entry_id] = now
        for entry_id, seen_at in list(self._seen_at.items()):
            if now - seen_at > settle_s:
                del self._seen_at[entry_id]
        self._division.set_entries(frozenset((self._entry_id, *self._seen_at)))
        if self._entry_id not in entry_ids:
            self._own_row_since = None
        elif self._own_row_since is None:
            self._own_row_since = now
        self._log_change(age_s)

    def part_of(self, name: str, units: int) -> int:
        if self.state is not ShareState.VALID:
            return 0
        return self._division.part_of(name, units)

    def _log_change(self, age_s: float) -> None:
        state = self.state
        if state is self._logged_state:
            return
        self._logged_state = state
        log.info(
            "retry.share", state=state.value, entries=self.entry_count, rows_age_s=round(age_s, 2)
        )
