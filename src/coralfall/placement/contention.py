"""Contention: which services are contended, so that dispatchers assign the slots of their targets.

A service is contended if the settings say so for the whole installation, or while its targets
report the pace of their machines.
"""

import typing as t

from ..dispatch_settings import DispatchMode

if t.TYPE_CHECKING:
    from ..dispatch_settings import DispatchSettings
    from ..ids import ServiceId
    from ..process.clock import Clock

#: Seconds after the last report of a pace for which a service stays contended. A service with few
#: requests gets a report in each of several such periods, so that it does not alternate.
_REPORT_TTL_S = 60.0


class Contention:
    """Decides whether a service is contended.

    :param settings: settings of the dispatch, which may be replaced while the entry runs.
    :param clock: time source.
    """

    def __init__(self, settings: "DispatchSettings", clock: "Clock") -> None:
        self.settings = settings
        self._clock = clock
        self._reported_at_by_service: t.Dict["ServiceId", float] = {}

    def record_pace(self, service: "ServiceId") -> None:
        """Records that a target of the service reported a pace, whatever its value."""
        self._reported_at_by_service[service] = self._clock.monotonic()

    def is_contended(self, service: "ServiceId") -> bool:
        """Whether slots of the service's targets are assigned by dispatchers."""
        if self.settings.mode is not DispatchMode.AUTO:
            return self.settings.mode is DispatchMode.ON
        if self.settings.contended:
            return True
        reported_at = self._reported_at_by_service.get(service)
        return reported_at is not None and self._clock.monotonic() - reported_at < _REPORT_TTL_S
