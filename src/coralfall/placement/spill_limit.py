"""Spill limit: how many requests may be sent to a region other than that of their object.

A sliding window counter for each service. An entry has few requests in a window, so the allowed
number is rounded at random, differently for each entry and window: all entries together keep the
share, which rounding down would reduce to none, and rounding up would exceed.
"""

import collections
import typing as t
import zlib

from .. import defaults

if t.TYPE_CHECKING:
    from ..ids import EntryId, ServiceId
    from ..process.clock import Clock

_HASH_RANGE = float(1 << 32)


class SpillLimit:
    """Bounds the share of the requests of a service that spill to another region.

    :param entry_id: id of the entry.
    :param clock: time source.
    """

    def __init__(self, entry_id: "EntryId", clock: "Clock") -> None:
        self._entry_id = entry_id
        self._clock = clock
        self._requested_at: t.Dict["ServiceId", t.Deque[float]] = {}
        self._spilled_at: t.Dict["ServiceId", t.Deque[float]] = {}

    def record_request(self, service: "ServiceId") -> None:
        """Records a request, whether it spills or not."""
        self._recent(self._requested_at, service).append(self._clock.monotonic())

    def try_spill(self, service: "ServiceId", fraction: float) -> bool:
        """Records a spilled request if one more is within the limit, and returns whether it is.

        :param fraction: share of the requests of a window that may spill.
        """
        allowed = fraction * len(self._recent(self._requested_at, service))
        spilled = self._recent(self._spilled_at, service)
        if len(spilled) + 1 > allowed + self._rounding(service):
            return False
        spilled.append(self._clock.monotonic())
        return True

    def undo(self, service: "ServiceId", since: float) -> None:
        """Takes back a spilled request that was not assigned.

        :param since: monotonic time just before it was recorded. If that is before the window, it
            is not counted any more, and the records in the window are those of other requests.
        """
        spilled = self._recent(self._spilled_at, service)
        if since <= self._clock.monotonic() - defaults.SHIFT_WINDOW_S:
            return
        for number, spilled_at in enumerate(spilled):
            if spilled_at >= since:
                del spilled[number]
                return

    def _recent(
        self, times: t.Dict["ServiceId", t.Deque[float]], service: "ServiceId"
    ) -> t.Deque[float]:
        recent = times.setdefault(service, collections.deque())
        oldest = self._clock.monotonic() - defaults.SHIFT_WINDOW_S
        while recent and recent[0] <= oldest:
            recent.popleft()
        return recent

    def _rounding(self, service: "ServiceId") -> float:
        """Number from 0 to 1 that differs for each entry, service and window."""
        window = int(self._clock.monotonic() / defaults.SHIFT_WINDOW_S)
        return zlib.crc32(f"{self._entry_id} {service} {window}".encode()) / _HASH_RANGE
