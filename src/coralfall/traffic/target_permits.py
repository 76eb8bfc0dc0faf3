"""Enforces the rate limits that targets report, over all entries together.

Each attempt at a target with a limit needs a token of its distributed token bucket; see
:mod:`..placement.buckets`. Tokens are granted by the owner in the target's region, so that an entry
that can reach the target can most likely reach the owner, too. Requests don't wait for tokens: a
target that has none is skipped.
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

#: Reason of an attempt for which the target's limit has no token.
LIMITED = "limited"
#: Fraction of all shares that refusing owners must hold to prove that a limit has no token.
_QUORUM_SHARE = 0.5
#: Seconds for which a target is skipped if owners with enough shares could not be asked.
_UNKNOWN_BACKOFF_S = 0.25


class TargetPermit(msgspec.Struct, frozen=True):
    """A token for one attempt at a target with a limit."""

    key: LimitKey
    limit: Limit
    owner_id: EntryId


class TargetPermits(LimitSource):
    """Acquires tokens for attempts at targets with a limit.

    :param permits: acquires tokens.
    :param limits: the limits that targets reported.
    :param targets: state of the targets.
    :param settings: map zones to regions.
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
        #: The limits that targets reported.
        self.limits = limits
        self._targets = targets
        self._settings = settings
        self._clock = clock
        self._slots: t.FrozenSet["Slot"] = frozenset()
        #: Generations of the limits and of the targets from which the slots were computed.
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
        """Whether an attempt at a target needs a token."""
        return self.limits.rate_of(target) is not None

    async def acquire(
        self, target: "Target", until: float, known: bool = True
    ) -> t.Optional[TargetPermit]:
        """Acquires a token for one attempt; returns ``None`` if it needs none.

        :param until: monotonic deadline of the request.
        :param known: whether the target's cache is warm for the request's object.
        :raises TargetNotRunError: if there is no token.
        """
        limit = self.limits.bucket_of(target.target_id)
        if limit is None or not self.is_needed(target):
            return None
        key = target_limit_key(target.target_id, self._region_of(target))
        until = min(until, self._clock.monotonic() + defaults.QUOTA_HEDGE_DELAY_S)
        # A target serves the objects in its cache several times faster, and caching others in
        # their place is of no use once the target's tokens go to other requests.
        acquisition = await self._permits.acquire(
            key, limit, until, _QUORUM_SHARE, spare_only=not known
        )
        if acquisition.granted is not None:
            return TargetPermit(key, limit, acquisition.granted.owner_id)
        self.limits.mark_exhausted(target, _backoff_s(acquisition), known)
        message = f"target {target.target_id} allows {limit.rate_per_s:g} requests/s in all"
        wait_s = max(self.limits.wait_s(target, known), defaults.STEER_RETRY_AFTER_S)
        raise TargetNotRunError(message, reason=LIMITED, come_back_s=wait_s)

    def return_token(self, permit: t.Optional[TargetPermit]) -> None:
        """Returns the token of a request that was not sent."""
        if permit is not None:
            self._permits.return_token(permit.key, permit.limit, permit.owner_id)

    def _slots_in_force(self) -> "t.Iterator[Slot]":
        for target_id in self.limits.in_force():
            state = self._targets.by_id.get(target_id)
            if state is not None:
                yield slot_of(target_limit_key(target_id, self._region_of(state.target)))

    def _region_of(self, target: "Target") -> "t.Optional[RegionId]":
        return self._settings.regions_by_zone.get(target.zone)


def _backoff_s(acquisition: "Acquisition") -> float:
    """Returns the seconds for which a target without a token is skipped.

    Owners stagger the waits that they tell the entries. An entry that is the only one to use a
    target has to return before the bucket is full, or tokens would be lost.
    """
    refusal = acquisition.soonest_refusal()
    if refusal is None or acquisition.refused_share() < _QUORUM_SHARE:
        return _UNKNOWN_BACKOFF_S
    limit = acquisition.limit
    return min(refusal.grant.wait_s, limit.burst / limit.rate_per_s / 2)
