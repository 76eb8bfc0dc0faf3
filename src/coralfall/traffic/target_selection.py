"""Target selection: which target gets the next attempt of a request.

:class:`LocalSelector` decides by the entry's own knowledge, with rendezvous hashing and bounded
loads (:mod:`..placement.affinity`).
"""

import abc
import typing as t

from .model import RequestKind

if t.TYPE_CHECKING:
    from ..ids import TargetId
    from ..placement.affinity import AffinitySteering
    from ..placement.reservation import TargetReservation
    from ..placement.targets import TargetState
    from ..process.clock import Clock
    from .steered_request import SteeredRequest


class TargetSelector(abc.ABC):
    """Selects the target of each attempt.

    An implementation returns a reservation that the caller releases, and is told the end of the
    attempt exactly once for each reservation that it returned.
    """

    @abc.abstractmethod
    async def select(
        self,
        request: "SteeredRequest",
        tried: "t.Collection[TargetId]",
        retry_target: "t.Optional[TargetState]",
    ) -> "TargetReservation":
        """Selects and reserves a target.

        :param tried: targets that the request was sent to already.
        :param retry_target: a target that rejected the request at random and may be retried.
        :raises RefusedError: if no target can take the request.
        """

    @abc.abstractmethod
    def finish(
        self,
        request: "SteeredRequest",
        reservation: "TargetReservation",
        error: t.Optional[BaseException],
    ) -> None:
        """Ends the attempt that was made with a reservation, the last one of the request.

        :param error: what ended the attempt; ``None`` if the target answered.
        """


class LocalSelector(TargetSelector):
    """Selects targets by the entry's own knowledge.

    :param steering: ranks targets and knows their load.
    :param clock: measures deadlines.
    """

    def __init__(self, steering: "AffinitySteering", clock: "Clock") -> None:
        self._steering = steering
        self._clock = clock

    async def select(
        self,
        request: "SteeredRequest",
        tried: "t.Collection[TargetId]",
        retry_target: "t.Optional[TargetState]",
    ) -> "TargetReservation":
        return self._steering.choose(
            request.route,
            request.service,
            request.object_key,
            tried,
            request.deadline - self._clock.monotonic(),
            request.is_late,
            retry_target,
            request.allowed_regions,
            request.contended and request.route.kind is RequestKind.UPLOAD,
        )

    def finish(
        self,
        request: "SteeredRequest",
        reservation: "TargetReservation",
        error: t.Optional[BaseException],
    ) -> None:
        """Does nothing: the reservation is all that there is to release."""
