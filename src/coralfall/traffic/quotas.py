"""Quotas: holds each tenant's requests to its limit, by permits of those who count for it."""

import asyncio
import typing as t

from .. import defaults
from ..exceptions import OverLimitError, RefusedError
from ..ids import TenantId
from ..placement.buckets import SLOT_COUNT, UNLIMITED, LimitKind, Slot
from ..placement.tenant_limits import limit_of, tenant_limit_key
from .permits import LimitSource

if t.TYPE_CHECKING:
    from ..ids import EntryId
    from ..placement.buckets import Limit, LimitKey
    from ..process.clock import Clock
    from .acquisition import Acquisition, Answer
    from .model import Tenant
    from .permits import Permits
    from .settings import BoundSettings
    from .state_view import StateView

#: Reason of a request beyond its tenant's limit, and of one for which no owner could be asked.
OVER_LIMIT = "over-limit"
NO_OWNER = "no-quota-owner"
#: Part of all shares that owners must have whose refusal says that a tenant is over its limit.
_KNOWN_PART = 0.5

_SLOTS = tuple([Slot(number) for number in range(SLOT_COUNT)])


class _Backoff(t.NamedTuple):
    """A tenant that is over its limit, for which nothing is asked until then."""

    until: float
    answer: "Answer"


class Quotas(LimitSource):
    """Keeps all entries together within the tenants' limits.

    :param permits: acquires tokens.
    :param belief: the tenants and their limits.
    :param bounds: what the users hold the system to.
    :param clock: tells the time.
    """

    def __init__(
        self, permits: "Permits", state_view: "StateView", bounds: "BoundSettings", clock: "Clock"
    ) -> None:
        self._permits = permits
        self._state_view = state_view
        self.bounds = bounds
        self._clock = clock
        self._over: t.Dict["TenantId", _Backoff] = {}

    def slots(self) -> "t.Collection[Slot]":
        return _SLOTS if self._state_view.tenants.limited else ()

    def limit_of(self, key: "LimitKey") -> "t.Optional[Limit]":
        if key.kind is not LimitKind.TENANT:
            return None
        tenant = self._state_view.tenants.by_id.get(TenantId(key.name))
        return None if tenant is None else limit_of(tenant, self.bounds)

    async def take(self, tenant: "t.Optional[Tenant]") -> "t.Optional[EntryId]":
        """Wait for a permit to send one request of a tenant.

        :return: the owner that gave it, if it was needed.
        :raises OverLimitError: if the tenant is over its limit.
        :raises RefusedError: if those who count for it could not be asked.
        """
        if tenant is None:
            return None
        limit = limit_of(tenant, self.bounds)
        if limit == UNLIMITED:
            return None
        now = self._clock.monotonic()
        backoff = self._over.get(tenant.tenant_id)
        if backoff is not None and now < backoff.until:
            raise _over_limit(tenant, backoff.answer, now)
        answer = await self._ask(tenant, limit, now + defaults.QUOTA_WAIT_TIMEOUT_S)
        if answer.grant.count:
            return answer.owner_id
        backoff_s = min(answer.grant.wait_s, defaults.MAX_QUOTA_REJECT_S)
        self._over[tenant.tenant_id] = _Backoff(answer.at + backoff_s, answer)
        raise _over_limit(tenant, answer, answer.at)

    def give_back(self, tenant: "t.Optional[Tenant]", owner_id: "t.Optional[EntryId]") -> None:
        """Return the permit of a request that did not run."""
        if tenant is None or owner_id is None:
            return
        limit = limit_of(tenant, self.bounds)
        self._permits.give_back(tenant_limit_key(tenant.tenant_id), limit, owner_id)

    def forget(self) -> None:
        """Drops backoffs that are over."""
        now = self._clock.monotonic()
        self._over = {name: one for name, one in self._over.items() if now < one.until}

    async def _ask(self, tenant: "Tenant", limit: "Limit", until: float) -> "Answer":
        """Ask the owners until one of them grants a token.

        Where those that refuse have few of the shares, as after a start of all entries or in a cut,
        the tenant may well be within its limit: they are asked again for a while.

        :raises RefusedError: if they still have few shares then.
        """
        key = tenant_limit_key(tenant.tenant_id)
        while True:
            acquisition = await self._permits.acquire(key, limit, until)
            answer = _final(acquisition)
            if answer is not None:
                return answer
            if self._clock.monotonic() + defaults.QUOTA_RENEW_INTERVAL_S >= until:
                message = f"too few of those who count for {tenant.tenant_id} could be asked"
                raise RefusedError(message, defaults.QUOTA_TIMEOUT_S, reason=NO_OWNER)
            await asyncio.sleep(defaults.QUOTA_RENEW_INTERVAL_S)


def _final(acquisition: "Acquisition") -> "t.Optional[Answer]":
    """A grant, or a refusal by those who know."""
    if acquisition.granted is not None:
        return acquisition.granted
    if acquisition.known_part() < _KNOWN_PART:
        return None
    return acquisition.first_refusal()


def _over_limit(tenant: "Tenant", answer: "Answer", now: float) -> OverLimitError:
    age_ms = (now - answer.at) * 1000
    grant = answer.grant
    return OverLimitError(
        f"{tenant.tenant_id} is over its limit of {tenant.rate_per_s:g} requests a second",
        max(0.0, answer.at + grant.wait_s - now),
        reason=OVER_LIMIT,
        detail=f"{answer.owner_id}:{grant.level:.2f}:{grant.part:.3f}:{age_ms:.0f}",
    )
