"""Tenant limits: the token bucket parameters of a tenant's rate limit."""

import typing as t

from .buckets import UNLIMITED, Limit, LimitKey, LimitKind

if t.TYPE_CHECKING:
    from ..ids import TenantId
    from ..traffic.model import Tenant
    from ..traffic.settings import BoundSettings

#: Fraction of the allowed excess over a limit that is used. The rest is for requests that reach
#: their targets closer together than they were granted.
_USED_EXCESS_FRACTION = 0.75
#: Tokens that the buckets of all owners together hold beyond the burst, as far as the allowed
#: excess permits: an owner whose part holds less than one token can't grant any request.
_EXTRA_BURST_TOKENS = 3.0


def tenant_limit_key(tenant_id: "TenantId") -> LimitKey:
    """Key of the limit of a tenant."""
    return LimitKey(LimitKind.TENANT, tenant_id)


def limit_of(tenant: "Tenant", bounds: "BoundSettings") -> Limit:
    """Token bucket of a tenant.

    A window may contain (rate x window + burst) x (1 + overage) + slack requests. A full bucket
    grants a part of them at once, and the rest over the window.
    """
    if not tenant.rate_per_s:
        return UNLIMITED
    window_s = max(bounds.quota_window_s, 1.0)
    nominal = tenant.rate_per_s * window_s
    excess = (nominal + tenant.burst) * bounds.quota_overage + bounds.quota_slack
    max_requests = nominal + tenant.burst + excess * _USED_EXCESS_FRACTION
    burst = max(1.0, tenant.burst)
    burst += min(_EXTRA_BURST_TOKENS, max(0.0, max_requests - nominal - burst))
    return Limit((max_requests - burst) / window_s, burst)
