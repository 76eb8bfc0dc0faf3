"""Signals that come before there is an event loop to take them.

A process that was just started may be told to stop, or that its settings have changed, while it
still imports its modules. Without a handler either signal would end it by default.
"""

import os
import signal
import typing as t


class EarlySignals:
    """Holds signals from :meth:`hold` until the event loop's own handlers take over."""

    def __init__(self) -> None:
        #: Whether SIGHUP came: the settings may have changed since they were read.
        self.hung_up = False

    def hold(self) -> None:
        """Note SIGHUP, and end in order on SIGTERM: nothing was begun yet."""
        signal.signal(signal.SIGHUP, self._note)
        signal.signal(signal.SIGTERM, self._end)

    def _note(self, _number: int, _frame: t.Any) -> None:
        self.hung_up = True

    def _end(self, _number: int, _frame: t.Any) -> None:
        # An exception would come up inside whatever is being initialised; out of orjson's compiled
        # code it ended 8 of 40 processes, told to stop there, by a segfault.
        os._exit(0)


#: Those of this process.
early = EarlySignals()
