"""Why an entry refuses requests: reasons for callers, and log lines with what it knew of its slots.

Under overload refusals come by the thousand, so each service gets a few lines a second, and the
next line counts those that were left out.
"""

import enum
import typing as t

from ..exceptions import RefusedError
from ..process import log
from ..process.line_limiter import LineLimiter

if t.TYPE_CHECKING:
    from ..ids import PartnerId, RegionId, ServiceId
    from ..process.clock import Clock
    from .slots import SlotTable

#: Lines a second for each service.
MAX_LINES_PER_S = 5


class RefusalReason(enum.Enum):
    """Why a request was refused before it was sent to any target."""

    #: No slot was free, or became free while the request waited.
    NO_SLOT = "no-slot"
    #: As many requests wait for a slot as may.
    QUEUE_FULL = "queue-full"
    #: The shift cap keeps the service's requests from all regions with free slots.
    SHIFT_CAP = "shift-cap"
    #: The lease, the bundle or the loan no longer allowed the slot as the request was to be sent.
    SLOT_LOST = "slot-lost"
    #: The target is leaving.
    TARGET_LEAVING = "target-leaving"


class RefusalLog:
    """Writes ``slot.refused`` lines.

    :param slots: slots of this entry.
    :param clock: clock of this entry.
    """

    def __init__(self, slots: "SlotTable", clock: "Clock") -> None:
        self._slots = slots
        self._limiter: LineLimiter[t.Tuple[PartnerId, ServiceId]] = LineLimiter(
            clock, MAX_LINES_PER_S
        )
        #: Tells which loans of a service this entry has asked for; set where loans are made.
        self.describe_loans: t.Callable[["ServiceId"], str] = _no_loans

    def write(
        self,
        partner: "PartnerId",
        service: "ServiceId",
        refusal: RefusedError,
        waited_s: float,
        waiting: int,
        regions: t.Sequence["RegionId"] = (),
    ) -> None:
        """Writes a line, unless the service has had its lines of this second.

        :param waited_s: seconds for which the request waited for a slot.
        :param waiting: requests of the service that wait now.
        :param regions: regions that the request may go to.
        """
        left_out = self._limiter.take((partner, service))
        if left_out is None:
            return
        states = self._slots.states(service)
        log.info(
            "slot.refused",
            partner=partner,
            service=service,
            reason=refusal.fields.get("reason", refusal.code),
            waited_ms=round(waited_s * 1000, 1),
            waiting=waiting,
            slots=_counts({state.value: count for state, count in states.items()}),
            free=_counts(self._slots.free_by_target(service)),
            regions=",".join(regions) or "none",
            lease=self._slots.lease_state(),
            loans=self.describe_loans(service),
            left_out=left_out,
        )


def _no_loans(service: "ServiceId") -> str:
    return "none"


def _counts(count_by_name: t.Mapping[t.Any, int]) -> str:
    return ",".join(f"{name}:{count}" for name, count in count_by_name.items()) or "none"
