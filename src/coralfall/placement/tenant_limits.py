"""Quotas: the token bucket of a tenant's limit."""

import typing as t

from .buckets import UNLIMITED, Limit, LimitKey, LimitKind

if t.TYPE_CHECKING:
    from ..ids import TenantId
    from ..traffic.model import Tenant
    from ..traffic.settings import BoundSettings

#: Part of what the users allow beyond a limit that is used. The rest is for requests that reach
#: their targets closer together than they were granted.
_EXCESS_USED = 0.75
#: Tokens on top of a burst that buckets hold together, if the users allow as much: parts of a
#: bucket that hold less than one token are good for nothing.
_SPLIT_TOKENS = 3.0


def tenant_limit_key(tenant_id: "TenantId") -> LimitKey:
    """Names the limit of a tenant."""
    return LimitKey(LimitKind.TENANT, tenant_id)


def limit_of(tenant: "Tenant", bounds: "BoundSettings") -> Limit:
    """The limit of a tenant.

    In a window there may be (rate x window + burst) x (1 + overage) + slack requests. What full
    buckets let go at once is a part of it, and the rest comes over the window.
    """
    if not tenant.rate_per_s:
        return UNLIMITED
    window_s = max(bounds.quota_window_s, 1.0)
    asked = tenant.rate_per_s * window_s
    excess = (asked + tenant.burst) * bounds.quota_overage + bounds.quota_slack
    most = asked + tenant.burst + excess * _EXCESS_USED
    burst = max(1.0, tenant.burst)
    burst += min(_SPLIT_TOKENS, max(0.0, most - asked - burst))
    return Limit((most - burst) / window_s, burst)
