"""Steering: which target carries one attempt of one request, and until when it may."""

import abc
import enum
import typing as t

import msgspec

from ..bundles.bundle import Service
from ..ids import BundleVersion, PartnerId, RegionId, ServiceId, TargetId


class AttemptResult(enum.Enum):
    """What an attempt says of its target, as evidence for health and slots."""

    #: The target answered; what it answered is the caller's matter.
    ANSWERED = "answered"
    #: The target surely did not run it: not reached, or shed by the target's own word.
    NOT_RUN = "not-run"
    #: Bytes left and no whole answer came in time.
    FAILED = "failed"
    #: The attempt was ended by the entry or the caller and says nothing of the target.
    CANCELLED = "cancelled"


class Reservation(msgspec.Struct, frozen=True, kw_only=True, eq=False):
    """One slot of one target, held for one attempt; implementations add fields."""

    partner: PartnerId
    service: ServiceId
    target_id: TargetId
    region: RegionId
    #: IP number and port of the target.
    address: str
    #: Most connections that this entry may have open to the target; at least 2.
    connections: int


class Steering(abc.ABC):
    """Decides where requests go and holds the slots they use.

    Write your own by handing out targets in turn::

        class OneTarget(Steering):
            async def reserve(self, partner, service, *, tried, deadline, body_bytes):
                return Reservation(partner=partner, service=service, ...)

            def check(self, reservation): ...
            def finish(self, reservation, result, seconds, load): ...
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
        """A slot for one attempt; the caller of this method owes one :meth:`finish`.

        :param tried: targets that earlier attempts of the request used; not taken again.
        :param deadline: monotonic time by which the request must be over.
        :param body_bytes: length of the request's body, or the most it may be.
        :raises RefusedError: at once, or after ``defaults.MAX_QUEUE_WAIT_S`` at most.
        """

    @abc.abstractmethod
    def check(self, reservation: Reservation) -> None:
        """Last check before bytes leave: the lease holds and the slot is still owned.

        :raises RefusedError: if not; the reservation must still be finished.
        """

    def pace(self, reservation: Reservation, size: int) -> float:
        """Seconds to wait before the next ``size`` bytes of a body are sent; they are counted.

        Infinite if nothing may be sent now: wait a moment and ask again. By default, none.
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
        """Free the slot; called exactly once for each reservation.

        :param seconds: time since the reservation was made.
        :param load: target's own load report, ``in-flight/slots``, if it sent one.
        """

    @abc.abstractmethod
    def service(self, partner: PartnerId, service: ServiceId) -> t.Optional[Service]:
        """Rules in force, or ``None`` for an unknown partner or service.

        :raises RefusedError: if no bundle of the partner is known to the entry yet.
        """

    @abc.abstractmethod
    def version(self, partner: PartnerId) -> BundleVersion:
        """Version of the bundle in force; 0 if none is."""
