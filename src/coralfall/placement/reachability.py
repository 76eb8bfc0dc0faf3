"""Reachability: which services this entry can open connections to, by its own attempts.

Attempts are counted by service. A service is unreached once attempts at several of its targets, or
at all of them, have failed and none has succeeded since the first of these failures.
"""

import typing as t

from ..process import log

if t.TYPE_CHECKING:
    from ..ids import ServiceId, TargetId
    from ..process.clock import Clock
    from .targets import TargetRegistry

#: Targets of a service that can't be connected from which on the service counts as unreached.
_MIN_UNREACHED_TARGETS = 3


class ServiceContact:
    """Attempts to connect to the targets of one service."""

    def __init__(self) -> None:
        #: Times of the last failure by target, since the last success with any of them.
        self.failed_at_by_id: t.Dict["TargetId", float] = {}
        #: Monotonic time of the last success.
        self.connected_at = -float("inf")
        #: Whether the service was logged as unreached.
        self.unreached = False


class Reachability:
    """Attempts to connect to targets, by service.

    :param targets: known targets.
    :param clock: time source.
    """

    def __init__(self, targets: "TargetRegistry", clock: "Clock") -> None:
        self._targets = targets
        self._clock = clock
        self._contacts: t.Dict["ServiceId", ServiceContact] = {}

    def record_success(self, service: "ServiceId") -> None:
        """Records that a connection to a target of a service was established."""
        contact = self._contact_of(service)
        contact.connected_at = self._clock.monotonic()
        contact.failed_at_by_id.clear()
        if contact.unreached:
            contact.unreached = False
            log.info("service.reached", service=service)

    def record_failure(self, service: "ServiceId", target_id: "TargetId", refused: bool) -> None:
        """Records that a target could not be connected.

        :param refused: whether the address answered that nothing listens there.
        """
        now = self._clock.monotonic()
        contact = self._contact_of(service)
        contact.failed_at_by_id[target_id] = now
        known = len(self._targets.of_service(service))
        failed = len(contact.failed_at_by_id)
        if contact.unreached or failed < min(_MIN_UNREACHED_TARGETS, max(1, known)):
            return
        contact.unreached = True
        log.warning(
            "service.unreached",
            service=service,
            targets=failed,
            known=known,
            refused=refused,
            connected_s=round(min(now - contact.connected_at, 9999.0), 2),
        )

    def unreached_services(self) -> t.List["ServiceId"]:
        """Returns the services none of whose targets this entry could connect to lately."""
        return [service for service, contact in self._contacts.items() if contact.unreached]

    def _contact_of(self, service: "ServiceId") -> ServiceContact:
        return self._contacts.setdefault(service, ServiceContact())
