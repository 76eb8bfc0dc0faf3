"""Averages the loads that dispatchers report of the targets of each service."""

import collections
import typing as t

from .. import defaults
from ..placement.dispatch import LoadShare

if t.TYPE_CHECKING:
    from ..ids import EntryId, ServiceId
    from ..placement.dispatch import ServiceLoad


class _Report(t.NamedTuple):
    received_at: float
    loads_by_service: "t.Dict[ServiceId, ServiceLoad]"


class LoadReports:
    """The latest load reports of each dispatcher of a region."""

    def __init__(self) -> None:
        self._reports_by_id: "t.Dict[EntryId, t.Deque[_Report]]" = {}

    def add(self, entry_id: "EntryId", loads: "t.Iterable[ServiceLoad]", now: float) -> None:
        """Records the loads of all services that a dispatcher is in charge of."""
        reports = self._reports_by_id.setdefault(entry_id, collections.deque())
        reports.append(_Report(now, {load.service: load for load in loads}))
        while reports[0].received_at < now - defaults.DISPATCH_LOAD_AVERAGE_S:
            reports.popleft()

    def drop(self, entry_id: "EntryId") -> None:
        """Drops the reports of a dispatcher that is gone."""
        self._reports_by_id.pop(entry_id, None)

    def share_of(self, service: "ServiceId", now: float) -> t.Optional[LoadShare]:
        """Returns the sum over the dispatchers of their averages; ``None`` without a report."""
        busy, slots, known = 0.0, 0, False
        for reports in self._reports_by_id.values():
            latest = reports[-1]
            load = latest.loads_by_service.get(service)
            if load is None or latest.received_at < now - defaults.DISPATCH_LOAD_MAX_AGE_S:
                continue
            since = now - defaults.DISPATCH_LOAD_AVERAGE_S
            recent = [one for one in reports if one.received_at >= since] or [latest]
            values = [
                one.loads_by_service[service].busy
                for one in recent
                if service in one.loads_by_service
            ]
            busy += sum(values) / len(values)
            slots += load.slots
            known = True
        return LoadShare(busy, slots) if known else None
