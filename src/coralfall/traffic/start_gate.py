"""Start gate: whether a starting entry knows enough to serve callers.

The store alone does not suffice: if it came back from an older copy, only the other entries know of
rows that it has lost. Where others are ready, a start waits until one of them agrees on these.
"""

import typing as t

from .. import defaults

if t.TYPE_CHECKING:
    from ..process.clock import Clock
    from .members import Members
    from .state_view import StateView


class StartGate:
    """Opens once, for good.

    :param state_view: the rows that this entry has.
    :param members: the other entries.
    :param clock: monotonic time.
    """

    def __init__(self, state_view: "StateView", members: "Members", clock: "Clock") -> None:
        self._state_view = state_view
        self._members = members
        self._clock = clock
        self._complete_since: t.Optional[float] = None
        self._opened = False

    def is_open(self) -> bool:
        """Whether callers may be served."""
        if self._opened:
            return True
        if not self._state_view.is_complete:
            return False
        now = self._clock.monotonic()
        if self._complete_since is None:
            self._complete_since = now
        has_waited = now - self._complete_since >= defaults.START_CONFIRM_S
        self._opened = self._state_view.is_confirmed or not self._has_others() or has_waited
        return self._opened

    def _has_others(self) -> bool:
        return any(record.ready for record in self._members.alive_records())
