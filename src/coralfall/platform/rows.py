"""Codec for rows of the platform's store: desired state, targets and entries.

The ``msgspec`` structs describe the JSON that the operator and the targets write; unknown fields
are ignored. Valid rows are converted to the types of :mod:`coralfall.traffic.model`.
"""

import ipaddress
import re
import typing as t

import msgspec

from ..exceptions import DesiredStateError
from ..ids import RegionId, ServiceId, TargetId, TenantId, ZoneId
from ..traffic.model import (
    Backend,
    CallerLimits,
    DesiredState,
    EntryRecord,
    RequestKind,
    Route,
    RouteId,
    ServiceRules,
    Target,
    Tenant,
)
from ..traffic.row_codec import Evacuation, RowCodec, StateRow
from . import names

_DRAINING = "draining"
_MAX_PORT = 65535
_ANY_REGION: t.FrozenSet[RegionId] = frozenset()
#: Visible ASCII, since a tenant's name is sent in a header.
_TENANT_NAME = re.compile(r"[!-~]+")
_KINDS = {"safe": RequestKind.SAFE, "unsafe": RequestKind.UNSAFE, "upload": RequestKind.UPLOAD}


class _Backend(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_s: float
    latency_target_s: float = 1.0
    priority: int = 0
    service: t.Optional[str] = None
    backends: t.List[_Backend] = []
    max_attempts: int = 1
    session_affinity: bool = False
    public: bool = False
    allowed_regions: t.List[str] = []


_NonNegativeFloat = t.Annotated[float, msgspec.Meta(ge=0)]


class _Tenant(msgspec.Struct, rename="camel"):
    name: t.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    api_keys: t.List[t.Annotated[str, msgspec.Meta(min_length=1)]] = []
    priority: t.Optional[int] = None
    rate_per_s: t.Optional[_NonNegativeFloat] = None
    burst: t.Optional[_NonNegativeFloat] = None
    allowed_regions: t.List[str] = []


class _Service(msgspec.Struct, rename="camel"):
    name: str
    max_conns: int = 100
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class _Config(msgspec.Struct):
    version: int
    routes: t.List[_Route]
    services: t.List[_Service]
    limits: _Limits
    tenants: t.Optional[t.List[_Tenant]] = None


_NonNegativeInt = t.Annotated[int, msgspec.Meta(ge=0)]


class _Info(msgspec.Struct):
    service: str
    zone: str
    concurrency: t.Annotated[int, msgspec.Meta(ge=1)]
    version: str = ""


class _Status(msgspec.Struct, rename="camel"):
    state: t.Literal["ready", "draining"]
    #: Rises with each write of one lifetime and restarts with the next, so that it can't order rows
    #: of different lifetimes. Rows of one era are ordered by the store's revisions instead.
    sequence: _NonNegativeInt
    warmup_left_s: t.Annotated[float, msgspec.Meta(ge=0)] = 0.0


class _Server(msgspec.Struct):
    address: str
    info: _Info
    status: _Status
    born: t.Union[_NonNegativeInt, msgspec.UnsetType] = msgspec.UNSET


_config_decoder = msgspec.json.Decoder(_Config)
_server_decoder = msgspec.json.Decoder(_Server)
_entry_decoder = msgspec.msgpack.Decoder(EntryRecord)


class PlatformRowCodec(RowCodec):
    """Decodes and encodes rows of the platform's store."""

    state_prefix = f"{names.STATE_TABLE}/"
    target_prefix = f"{names.TARGET_TABLE}/"
    entry_prefix = f"{names.ENTRY_TABLE}/"

    def __init__(self) -> None:
        #: Keys of targets that have written ``born`` once; a row without it is then invalid.
        self._keys_with_born: t.Set[str] = set()

    def decode_state_row(self, key: str, data: bytes) -> StateRow:
        name = key.removeprefix(self.state_prefix)
        if name.startswith(names.EVACUATION_PREFIX):
            return Evacuation(ZoneId(name.removeprefix(names.EVACUATION_PREFIX)))
        if name != names.STATE_KEY:
            return None
        return _desired_state(_decode(_config_decoder, key, data))

    def decode_target_row(self, key: str, data: bytes) -> Target:
        server = _decode(_server_decoder, key, data)
        born = None if server.born is msgspec.UNSET else server.born
        if born is not None:
            self._keys_with_born.add(key)
        elif key in self._keys_with_born:
            raise DesiredStateError(f"{key} can't be read: `born` missing", key=key, field="born")
        return Target(
            target_id=TargetId(key.removeprefix(self.target_prefix)),
            service=ServiceId(server.info.service),
            address=_address(key, server.address),
            zone=ZoneId(server.info.zone),
            slots=server.info.concurrency,
            leaving=server.status.state == _DRAINING,
            cold_s=server.status.warmup_left_s,
            born=born,
        )

    def target_order(self, data: bytes) -> t.Tuple[int, int]:
        server = _server_decoder.decode(data)
        return 0 if server.born is msgspec.UNSET else server.born, server.status.sequence

    def encode_entry_row(self, record: EntryRecord) -> t.Tuple[str, bytes]:
        return self.entry_prefix + record.entry_id, msgspec.msgpack.encode(record)

    def decode_entry_row(self, key: str, data: bytes) -> EntryRecord:
        return _decode(_entry_decoder, key, data)


DecodedT = t.TypeVar("DecodedT", covariant=True)


class _Decoder(t.Protocol[DecodedT]):
    def decode(self, data: bytes, /) -> DecodedT: ...


def _decode(decoder: _Decoder[DecodedT], key: str, data: bytes) -> DecodedT:
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise DesiredStateError(f"{key} can't be read: {error}", key=key) from error


def _address(key: str, address: str) -> str:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
        valid = 0 < int(port) <= _MAX_PORT
    except ValueError:
        valid = False
    if not valid:
        message = f"{key} can't be read: address {address!r} is not ip:port - at `$.address`"
        raise DesiredStateError(message, key=key, field="address")
    return address


def _desired_state(config: _Config) -> DesiredState:
    services = {ServiceId(service.name): _service_rules(service) for service in config.services}
    return DesiredState(
        version=config.version,
        routes=tuple([_route(route) for route in config.routes]),
        services=services,
        limits=CallerLimits(
            max_header_bytes=config.limits.max_header_bytes,
            max_body_bytes=config.limits.max_body_bytes,
            header_timeout_s=config.limits.header_timeout_s,
            idle_timeout_s=config.limits.idle_timeout_s,
        ),
        tenants=None if config.tenants is None else _tenants(config.tenants),
    )


def _tenants(tenants: t.Sequence[_Tenant]) -> t.Tuple[Tenant, ...]:
    """Converts all tenants; none may share a key, since one could then act as the other."""
    names = {tenant.name for tenant in tenants if _TENANT_NAME.fullmatch(tenant.name)}
    if len(names) != len(tenants):
        raise _name_error(tenants)
    keys = [key for tenant in tenants for key in tenant.api_keys]
    if len(set(keys)) != len(keys):
        _reject_shared_keys(tenants)
    return tuple([_tenant(tenant) for tenant in tenants])


def _name_error(tenants: t.Sequence[_Tenant]) -> DesiredStateError:
    names: t.Set[str] = set()
    number = 0
    while tenants[number].name not in names and _TENANT_NAME.fullmatch(tenants[number].name):
        names.add(tenants[number].name)
        number += 1
    message = f"`name` {tenants[number].name!r} is listed twice, or not made of visible ASCII"
    return _tenant_error(number, "name", message)


def _reject_shared_keys(tenants: t.Sequence[_Tenant]) -> None:
    number_by_key: t.Dict[str, int] = {}
    for number, tenant in enumerate(tenants):
        for key in tenant.api_keys:
            other = number_by_key.setdefault(key, number)
            if other != number:
                # The message is logged, so it must not contain the key.
                message = f"one of `apiKeys` is also a key of `$.tenants[{other}]`; use a new one"
                raise _tenant_error(number, "apiKeys", message)


def _tenant_error(number: int, field: str, message: str) -> DesiredStateError:
    return DesiredStateError(f"{message} - at `$.tenants[{number}].{field}`", field=field)


def _tenant(tenant: _Tenant) -> Tenant:
    return Tenant(
        tenant_id=TenantId(tenant.name),
        keys=tuple([key.encode() for key in tenant.api_keys]),
        priority=tenant.priority,
        rate_per_s=tenant.rate_per_s or 0.0,
        burst=tenant.burst or 0.0,
        allowed_regions=_regions(tenant.allowed_regions),
    )


def _regions(names: t.Sequence[str]) -> t.FrozenSet[RegionId]:
    return frozenset([RegionId(name) for name in names]) if names else _ANY_REGION


def _service_rules(service: _Service) -> ServiceRules:
    return ServiceRules(
        service=ServiceId(service.name),
        max_connections=service.max_conns,
        warmup_s=service.warmup_s,
        warmup_per_s=service.warmup_per_s,
    )


def _route(route: _Route) -> Route:
    kind = _KINDS.get(route.kind)
    if kind is None:
        message = f"route {route.name}: kind {route.kind!r} is not known; allowed: {list(_KINDS)}"
        raise DesiredStateError(message, field="kind")
    backends = [Backend(ServiceId(backend.service), backend.weight) for backend in route.backends]
    if route.service is not None:
        backends = [Backend(ServiceId(route.service), 1.0)]
    if not backends:
        message = f"route {route.name}: it has neither a service nor backends"
        raise DesiredStateError(message, field="service")
    return Route(
        route_id=RouteId(route.name),
        host=route.host,
        prefix=route.prefix,
        kind=kind,
        timeout_s=route.timeout_s,
        latency_target_s=route.latency_target_s,
        priority=route.priority,
        backends=tuple(backends),
        max_attempts=route.max_attempts,
        session_affinity=route.session_affinity,
        allowed_regions=_regions(route.allowed_regions),
        public=route.public,
    )
