"""Isolation: whether this entry is cut off, so that its callers are better served elsewhere.

One sign alone says nothing: all other entries may be gone, the store may be down, targets may be
dead. An entry whose last live peer, whose store and whose targets all went silent is cut off
itself. After a while it lets requests through again, to see whether that still holds.
"""

import typing as t

from .. import defaults
from ..process import log

if t.TYPE_CHECKING:
    from ..process.clock import Clock
    from .members import Members
    from .targets import TargetBook


class Isolation:
    """Looks for the signs, again and again.

    :param members: tells of other entries.
    :param targets: tells when one answered last.
    :param store_lost: whether the last read of the store failed.
    :param clock: tells the time.
    """

    def __init__(
        self,
        members: "Members",
        targets: "TargetBook",
        store_lost: t.Callable[[], bool],
        clock: "Clock",
    ) -> None:
        self._members = members
        self._targets = targets
        self._store_lost = store_lost
        self._clock = clock
        #: Whether this entry is held cut off.
        self.isolated = False

    def look(self) -> bool:
        """Look now; whether that changed :attr:`isolated`."""
        isolated = self._is_cut_off()
        if isolated == self.isolated:
            return False
        self.isolated = isolated
        log.warning("entry.isolated", isolated=isolated, peers=len(self._members.alive()))
        return True

    def _is_cut_off(self) -> bool:
        if not self._store_lost() or self._members.alive() or self._members.count() == 1:
            return False
        now = self._clock.monotonic()
        if now - self._targets.answered_at < defaults.ISOLATED_S:
            return False
        recent_s = defaults.ISOLATION_S if self.isolated else defaults.ISOLATED_S
        return now - self._targets.failed_at < recent_s
