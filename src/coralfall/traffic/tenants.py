"""Finds the tenant of a request by its key, and the regions that may serve the request."""

import typing as t

from .. import defaults
from ..exceptions import RefusedError, RequestError

if t.TYPE_CHECKING:
    from ..ids import RegionId, TenantId
    from .model import Route, Tenant
    from .response_parser import Headers
    from .settings import BoundSettings
    from .state_view import StateView
    from .wire import HeaderNames

#: Reason of a request whose key belongs to no tenant of the current state.
UNKNOWN_KEY = "unknown-key"
#: Reason of a request whose key may have been added since this entry last got the state.
STALE_STATE = "state-old"
#: Reason of a request that no region is allowed to serve.
NO_REGION = "no-region"


class TenantTable:
    """Index of the tenants of one desired state.

    :param tenants: ``None`` if requests need no keys.
    """

    def __init__(self, tenants: "t.Optional[t.Sequence[Tenant]]") -> None:
        #: Whether requests need keys.
        self.requires_keys = tenants is not None
        #: Whether any tenant has a limit.
        self.has_limits = any(tenant.rate_per_s > 0 for tenant in tenants or ())
        self.by_id: t.Dict["TenantId", "Tenant"] = {}
        self._by_key: t.Dict[bytes, "Tenant"] = {}
        for tenant in tenants or ():
            self.by_id[tenant.tenant_id] = tenant
            self._by_key.update(dict.fromkeys(tenant.keys, tenant))

    def find(self, key: bytes) -> "t.Optional[Tenant]":
        """Returns the tenant that a key belongs to."""
        return self._by_key.get(key)


class TenantAuthenticator:
    """Finds the tenant of each request by its key.

    :param names: header names.
    :param state_view: the desired state in force.
    :param bounds: give the age up to which a state counts as current.
    """

    def __init__(
        self, names: "HeaderNames", state_view: "StateView", bounds: "BoundSettings"
    ) -> None:
        self._names = names
        self._state_view = state_view
        self.bounds = bounds

    def authenticate(self, headers: "Headers", route: "Route") -> "t.Optional[Tenant]":
        """Returns the tenant of a request; ``None`` if the request needs no key.

        :raises RequestError: if the request has no valid key.
        :raises RefusedError: if its key may be too new for this entry to know it.
        """
        tenants = self._state_view.tenants
        if not tenants.requires_keys or route.public:
            return None
        keys = {value for name, value in headers if name == self._names.credential}
        if len(keys) != 1:
            found = "no key" if not keys else "several keys"
            raise RequestError("no-key", 401, f"the request carries {found}; send one")
        tenant = tenants.find(keys.pop())
        if tenant is not None:
            return tenant
        if self._state_view.state_age_s() > self.bounds.config_s:
            message = "the key is not known here, where the desired state may be behind"
            raise RefusedError(message, defaults.STEER_RETRY_AFTER_S, reason=STALE_STATE)
        raise RequestError(UNKNOWN_KEY, 401, "the key belongs to no tenant")


def allowed_regions_for(route: "Route", tenant: "t.Optional[Tenant]") -> "t.FrozenSet[RegionId]":
    """Returns the regions that the route and the tenant both allow; any region if empty.

    :raises RefusedError: if they have no region in common.
    """
    if tenant is None or not tenant.allowed_regions:
        return route.allowed_regions
    if not route.allowed_regions:
        return tenant.allowed_regions
    common = route.allowed_regions & tenant.allowed_regions
    if common:
        return common
    message = f"no region may serve {tenant.tenant_id} on route {route.route_id}"
    raise RefusedError(message, defaults.STEER_RETRY_AFTER_S, reason=NO_REGION)
