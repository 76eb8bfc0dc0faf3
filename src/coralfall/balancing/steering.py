"""Interface of steering: which target serves one attempt of a request, and until when."""

import abc
import enum
import typing as t

import msgspec

from ..bundles.bundle import Service
from ..ids import BundleVersion, PartnerId, RegionId, ServiceId, TargetId


class AttemptResult(enum.Enum):
    """Result of an attempt as evidence about its target, for health and slots."""

    #: The target answered; the content of the answer does not matter here.
    ANSWERED = "answered"
    #: The target certainly did not run it: it was not reached, or it shed the request.
    NOT_RUN = "not-run"
    #: Bytes were sent and no complete answer arrived in time.
    FAILED = "failed"
    #: The entry or the caller cancelled the attempt, which says nothing about the target.
    CANCELLED = "cancelled"


class Reservation(msgspec.Struct, frozen=True, kw_only=True, eq=False):
    """One slot of one target, held for one attempt; implementations add fields."""

    partner: PartnerId
    service: ServiceId
    target_id: TargetId
    region: RegionId
    #: IP address and port of the target.
    address: str
    #: Maximum number of connections that this entry may have open to the target; at least 2.
    connections: int


class Steering(abc.ABC):
    """Decides where requests go and holds the slots that they use.

    An implementation that always uses one target::

        class OneTarget(Steering):
            async def reserve(self, partner, service, *, tried, deadline, body_bytes):
                return Reservation(partner=partner, service=service, ...)

            def check(self, reservation): ...
            def finish(self, reservation, result, seconds, load): ...
            def release(self, reservation): ...
            def service(self, partner, service): ...
            def version(self, partner): ...
    """

    @abc.abstractmethod
    async def reserve(
        self,
        partner: PartnerId,
        service: ServiceId,
        *,
        tried: t.Collection[TargetId],
        deadline: float,
        body_bytes: int,
    ) -> Reservation:
        """Reserves a slot for one attempt; the caller owes :meth:`finish` and :meth:`release`.

        :param tried: targets of earlier attempts of the request, which are not used again.
        :param deadline: monotonic time by which the request must be over.
        :param body_bytes: length of the request's body, or its upper bound.
        :raises RefusedError: at once, or after ``defaults.MAX_QUEUE_WAIT_S`` at most.
        """

    @abc.abstractmethod
    def check(self, reservation: Reservation) -> None:
        """Checks just before sending that the lease is valid and the slot still owned.

        :raises RefusedError: if not; the reservation must still be finished.
        """

    def describe(self, reservation: Reservation) -> t.Optional[str]:
        """Returns by what right a request is sent, to be told to the target, if that is wanted.

        To be called right after :meth:`check`. The default tells nothing.
        """
        return None

    def pace(self, reservation: Reservation, size: int) -> float:
        """Returns the seconds to wait before sending the next ``size`` bytes of a body.

        The bytes count as sent. Infinite if nothing may be sent now: wait a moment and ask again.
        The default does not limit the rate.
        """
        return 0.0

    @abc.abstractmethod
    def finish(
        self,
        reservation: Reservation,
        result: AttemptResult,
        seconds: float,
        load: t.Optional[str],
    ) -> None:
        """Records the result of the attempt; called exactly once for each reservation.

        :param seconds: time since the reservation was made.
        :param load: the target's own load report, ``in-flight/slots``, if it sent one.
        """

    @abc.abstractmethod
    def release(self, reservation: Reservation) -> None:
        """Frees the slot, since the target does not serve the request, or does no longer.

        Called at most once for each reservation, after :meth:`finish`; not if the process ends.
        """

    def has_target(self, reservation: Reservation) -> bool:
        """Returns whether the target may get further requests. The default says so of all."""
        return True

    @abc.abstractmethod
    def service(self, partner: PartnerId, service: ServiceId) -> t.Optional[Service]:
        """Returns the rules in force, or ``None`` for an unknown partner or service.

        :raises RefusedError: if this entry does not know any bundle of the partner yet.
        """

    @abc.abstractmethod
    def version(self, partner: PartnerId) -> BundleVersion:
        """Returns the version of the bundle in force; 0 if there is none."""
