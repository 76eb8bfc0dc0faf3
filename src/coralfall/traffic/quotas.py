"""Enforces the tenants' rate limits over all entries together.

Each request needs a token of its tenant's distributed token bucket; see
:mod:`..placement.buckets`.
"""

import asyncio
import collections
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
    from .acquisition import Acquisition, OwnerReply
    from .model import Tenant
    from .permits import Permits
    from .settings import BoundSettings
    from .state_view import StateView

#: Reasons of a request beyond its tenant's limit, and of one for which too few owners replied.
OVER_LIMIT = "over-limit"
NO_OWNER = "no-quota-owner"
#: Seconds after a refusal in which a contended installation asks all owners of a tenant's limit at
#: once, as the tenant is likely still beyond it.
_REFUSED_LATELY_S = 1.0
#: Fraction of all shares that refusing owners must hold to prove that a tenant is over its limit.
_QUORUM_SHARE = 0.5

_SLOTS = tuple([Slot(number) for number in range(SLOT_COUNT)])


class _Backoff(t.NamedTuple):
    """The refusal of a tenant over its limit, repeated until a time without asking the owners."""

    until: float
    reply: "OwnerReply"


class Quotas(LimitSource):
    """Enforces the tenants' limits over all entries together.

    :param permits: acquires tokens.
    :param state_view: the tenants and their limits.
    :param bounds: configured bounds of the system's behaviour.
    :param clock: tells the time.
    """

    def __init__(
        self, permits: "Permits", state_view: "StateView", bounds: "BoundSettings", clock: "Clock"
    ) -> None:
        self._permits = permits
        self._state_view = state_view
        self.bounds = bounds
        self._clock = clock
        self._backoffs: t.Dict["TenantId", _Backoff] = {}
        #: Number of requests of each tenant that wait for owners' replies.
        self._waiting: t.Counter["TenantId"] = collections.Counter()
        #: Whether the installation is contended, so that refusals must not be slow.
        self.contended = False

    def slots(self) -> "t.Collection[Slot]":
        return _SLOTS if self._state_view.tenants.has_limits else ()

    def limit_of(self, key: "LimitKey") -> "t.Optional[Limit]":
        if key.kind is not LimitKind.TENANT:
            return None
        tenant = self._state_view.tenants.by_id.get(TenantId(key.name))
        return None if tenant is None else limit_of(tenant, self.bounds)

    async def acquire(self, tenant: "t.Optional[Tenant]") -> "t.Optional[EntryId]":
        """Acquires a token for one request of a tenant.

        :return: the owner that granted it; ``None`` if no token is needed.
        :raises OverLimitError: if the tenant is over its limit.
        :raises RefusedError: if the owners of the limit could not be asked.
        """
        if tenant is None:
            return None
        limit = limit_of(tenant, self.bounds)
        if limit == UNLIMITED:
            return None
        now = self._clock.monotonic()
        backoff = self._backoffs.get(tenant.tenant_id)
        if backoff is not None and now < backoff.until:
            raise _over_limit(tenant, backoff.reply, now)
        if self.contended:
            self._check_waiting(tenant, limit)
        self._waiting[tenant.tenant_id] += 1
        try:
            reply = await self._acquire_token(tenant, limit, now + defaults.QUOTA_WAIT_TIMEOUT_S)
        finally:
            self._waiting[tenant.tenant_id] -= 1
        if reply.grant.count:
            return reply.owner_id
        backoff_s = min(reply.grant.wait_s, defaults.MAX_QUOTA_REJECT_S)
        self._backoffs[tenant.tenant_id] = _Backoff(reply.received_at + backoff_s, reply)
        raise _over_limit(tenant, reply, reply.received_at)

    def check_backoff(self, tenant: "t.Optional[Tenant]") -> None:
        """Refuses a request of a contended installation before its body is read.

        :raises OverLimitError: if the owners' last refusal is still valid for the tenant.
        """
        if tenant is None or not self.contended:
            return
        now = self._clock.monotonic()
        backoff = self._backoffs.get(tenant.tenant_id)
        if backoff is not None and now < backoff.until:
            raise _over_limit(tenant, backoff.reply, now)

    def _check_waiting(self, tenant: "Tenant", limit: "Limit") -> None:
        """Refuses a request behind as many as the limit can grant while they wait.

        :raises OverLimitError: if there are that many.
        """
        waiting = self._waiting[tenant.tenant_id]
        if waiting < limit.burst + limit.rate_per_s * defaults.QUOTA_WAIT_TIMEOUT_S:
            return
        message = f"{waiting} requests of {tenant.tenant_id} wait for its limit already"
        raise OverLimitError(message, defaults.QUOTA_WAIT_TIMEOUT_S, reason=OVER_LIMIT)

    def return_token(self, tenant: "t.Optional[Tenant]", owner_id: "t.Optional[EntryId]") -> None:
        """Returns the token of a request that did not run to its owner."""
        if tenant is None or owner_id is None:
            return
        limit = limit_of(tenant, self.bounds)
        self._permits.return_token(tenant_limit_key(tenant.tenant_id), limit, owner_id)

    def drop_expired(self) -> None:
        """Drops backoffs that have ended, and counts of tenants without requests."""
        since = self._clock.monotonic() - (_REFUSED_LATELY_S if self.contended else 0.0)
        self._backoffs = {
            name: backoff for name, backoff in self._backoffs.items() if since < backoff.until
        }
        self._waiting = +self._waiting

    async def _acquire_token(self, tenant: "Tenant", limit: "Limit", until: float) -> "OwnerReply":
        """Asks the owners until one grants a token or the refusals are conclusive.

        If the owners that refuse hold few of the shares, as after a restart of all entries or in a
        network partition, the tenant may well be within its limit, so they are asked again.

        :raises RefusedError: if they still hold too few shares when the time is over.
        """
        key = tenant_limit_key(tenant.tenant_id)
        while True:
            acquisition = await self._ask(tenant, key, limit, until)
            reply = _final_reply(acquisition)
            if reply is not None:
                return reply
            if self._clock.monotonic() + defaults.QUOTA_RENEW_INTERVAL_S >= until:
                message = f"too few of those who count for {tenant.tenant_id} could be asked"
                raise RefusedError(message, defaults.QUOTA_TIMEOUT_S, reason=NO_OWNER)
            await asyncio.sleep(defaults.QUOTA_RENEW_INTERVAL_S)

    async def _ask(
        self, tenant: "Tenant", key: "LimitKey", limit: "Limit", until: float
    ) -> "Acquisition":
        if not self.contended:
            return await self._permits.acquire(key, limit, until)
        # Once an owner has refused, the tenant is likely beyond its limit, and asking the others in
        # turn would only make the refusal later. Asking all of them for each request of a tenant
        # within its limit would take three tokens for one, and leave too few for a burst.
        backoff = self._backoffs.get(tenant.tenant_id)
        now = self._clock.monotonic()
        refused_lately = backoff is not None and now < backoff.until + _REFUSED_LATELY_S
        in_turn = 0 if refused_lately else 1
        return await self._permits.acquire(key, limit, until, _QUORUM_SHARE, in_turn=in_turn)


def _final_reply(acquisition: "Acquisition") -> "t.Optional[OwnerReply]":
    """Returns a grant, or the refusal of owners that hold enough shares; ``None`` if undecided."""
    if acquisition.granted is not None:
        return acquisition.granted
    if acquisition.refused_share() < _QUORUM_SHARE:
        return None
    return acquisition.soonest_refusal()


def _over_limit(tenant: "Tenant", reply: "OwnerReply", now: float) -> OverLimitError:
    age_ms = (now - reply.received_at) * 1000
    grant = reply.grant
    return OverLimitError(
        f"{tenant.tenant_id} is over its limit of {tenant.rate_per_s:g} requests a second",
        max(0.0, reply.received_at + grant.wait_s - now),
        reason=OVER_LIMIT,
        detail=f"{reply.owner_id}:{grant.level:.2f}:{grant.part:.3f}:{age_ms:.0f}",
    )
