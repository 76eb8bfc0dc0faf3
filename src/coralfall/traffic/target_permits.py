"""Target permits: holds all entries together to the limits that targets name.

Each send to a target with a limit needs a token of its bucket, see :mod:`..placement.buckets`. The
owner in the target's region grants them, so that whoever can reach the target can most likely
reach the owner too. Nobody waits for a token: a target without one is passed over.
"""

import typing as t

import msgspec

from .. import defaults
from ..exceptions import TargetNotRunError
from ..ids import EntryId, TargetId
from ..placement.buckets import Limit, LimitKey, LimitKind, slot_of
from ..placement.target_limits import target_limit_key
from .permits import LimitSource

if t.TYPE_CHECKING:
    from ..ids import RegionId
    from ..placement.buckets import Slot
    from ..placement.target_limits import TargetLimits
    from ..placement.targets import TargetRegistry
    from ..process.clock import Clock
    from .acquisition import Acquisition
    from .model import Target
    from .permits import Permits
    from .settings import SteerSettings

#: Reason of a send that its target's limit has no token for.
LIMITED = "limited"
#: Part of all shares that owners must have whose refusal says that a limit has no token.
_KNOWN_PART = 0.5
#: Seconds for which a target is passed over if those who have the shares could not be asked.
_UNKNOWN_BACKOFF_S = 0.25


class TargetPermit(msgspec.Struct, frozen=True):
    """A token for one send to a target with a limit."""

    key: LimitKey
    limit: Limit
    owner_id: EntryId


class TargetPermits(LimitSource):
    """Acquires tokens for sends to targets with a limit.

    :param permits: acquires tokens.
    :param limits: what targets named.
    :param targets: the targets that there are.
    :param settings: tell the region of each zone.
    :param clock: tells the time.
    """

    def __init__(
        self,
        permits: "Permits",
        limits: "TargetLimits",
        targets: "TargetRegistry",
        settings: "SteerSettings",
        clock: "Clock",
    ) -> None:
        self._permits = permits
        #: What targets named.
        self.limits = limits
        self._targets = targets
        self._settings = settings
        self._clock = clock
        self._slots: t.FrozenSet["Slot"] = frozenset()
        #: Of the limits and the targets that the slots follow from.
        self._generations = (-1, -1)

    def slots(self) -> "t.Collection[Slot]":
        generations = (self.limits.generation, self._targets.generation)
        if generations != self._generations:
            self._generations = generations
            self._slots = frozenset(self._slots_in_force())
        return self._slots

    def limit_of(self, key: LimitKey) -> t.Optional[Limit]:
        if key.kind is not LimitKind.TARGET:
            return None
        return self.limits.bucket_of(TargetId(key.name))

    def is_needed(self, target: "Target") -> bool:
        """Whether a send to a target needs a token."""
        return self.limits.rate_of(target) is not None

    async def take(
        self, target: "Target", until: float, known: bool = True
    ) -> t.Optional[TargetPermit]:
        """Acquire a token for one send; ``None`` if it needs none.

        :param known: whether the target knows the request's object.
        :param until: monotonic time at which the request's time is over.
        :raises TargetNotRunError: if there is none.
        """
        limit = self.limits.bucket_of(target.target_id)
        if limit is None or not self.is_needed(target):
            return None
        key = target_limit_key(target.target_id, self._region_of(target))
        until = min(until, self._clock.monotonic() + defaults.QUOTA_HEDGE_DELAY_S)
        # A target serves objects that it knows several times faster, and what it learns in their
        # place is of no use once its tokens go to others.
        acquisition = await self._permits.acquire(
            key, limit, until, _KNOWN_PART, spare_only=not known
        )
        if acquisition.granted is not None:
            return TargetPermit(key, limit, acquisition.granted.owner_id)
        self.limits.mark_exhausted(target, _backoff_s(acquisition), known)
        message = f"target {target.target_id} allows {limit.rate_per_s:g} requests/s in all"
        wait_s = max(self.limits.wait_s(target, known), defaults.STEER_RETRY_AFTER_S)
        raise TargetNotRunError(message, reason=LIMITED, come_back_s=wait_s)

    def give_back(self, permit: t.Optional[TargetPermit]) -> None:
        """Return the token of a request that was not sent."""
        if permit is not None:
            self._permits.give_back(permit.key, permit.limit, permit.owner_id)

    def _slots_in_force(self) -> "t.Iterator[Slot]":
        for target_id in self.limits.in_force():
            state = self._targets.by_id.get(target_id)
            if state is not None:
                yield slot_of(target_limit_key(target_id, self._region_of(state.target)))

    def _region_of(self, target: "Target") -> "t.Optional[RegionId]":
        return self._settings.regions_by_zone.get(target.zone)


def _backoff_s(acquisition: "Acquisition") -> float:
    """Seconds for which to pass over a target that has no token.

    Owners tell each entry another time, one after the other. An entry that alone asks for a target
    comes back before the bucket is full, lest tokens are lost.
    """
    refusal = acquisition.first_refusal()
    if refusal is None or acquisition.known_part() < _KNOWN_PART:
        return _UNKNOWN_BACKOFF_S
    limit = acquisition.limit
    return min(refusal.grant.wait_s, limit.burst / limit.rate_per_s / 2)
