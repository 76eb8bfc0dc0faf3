"""A small sample of both partners' bundles, for ``coralfall dev`` and for benchmarks."""

import typing as t

from ..ids import (
    BundleVersion,
    PartnerId,
    PolicyName,
    RegionId,
    ServiceId,
    SiteId,
    TargetId,
    ZoneId,
)
from .bundle import Bundle, Grant, Objective, Region, Service, Site, Target


class SampleService(t.NamedTuple):
    """One service of a sample: how many targets, and what each bears."""

    service_id: ServiceId
    targets: int
    slots: int
    key_required: bool = False
    max_body_bytes: int = 1_048_576


class SamplePartner(t.NamedTuple):
    """One partner of a sample."""

    partner: PartnerId
    regions: t.Tuple[RegionId, ...]
    policy: PolicyName
    connections: int
    services: t.Tuple[SampleService, ...]


_UPLOAD_BYTES = 64 * 1_048_576

#: The brief's partners with the sizes of today.
PARTNERS = (
    SamplePartner(
        PartnerId("cosecha"),
        (RegionId("sierra"), RegionId("costa"), RegionId("austro")),
        PolicyName.LATENCY,
        400,
        (
            SampleService(ServiceId("catalogo"), 20, 6),
            SampleService(ServiceId("pedidos"), 15, 6, key_required=True),
            SampleService(ServiceId("acopio"), 10, 3, max_body_bytes=_UPLOAD_BYTES),
        ),
    ),
    SamplePartner(
        PartnerId("calor"),
        (RegionId("centro"), RegionId("norte"), RegionId("sur")),
        PolicyName.HEADROOM,
        350,
        (
            SampleService(ServiceId("termometro"), 20, 6),
            SampleService(ServiceId("mando"), 10, 4, key_required=True),
            SampleService(ServiceId("bodega"), 10, 3, max_body_bytes=_UPLOAD_BYTES),
        ),
    ),
)
_ZONES_PER_REGION = 2
_TIMEOUT_MS = 2000
_UPLOAD_TIMEOUT_MS = 4000


def zones_of(partner: SamplePartner) -> t.List[t.Tuple[RegionId, ZoneId]]:
    """The partner's zones with their regions."""
    zones = []
    for region in partner.regions:
        for number in range(1, _ZONES_PER_REGION + 1):
            zones.append((region, ZoneId(f"{region}-{number}")))
    return zones


def target_ids_of(service: SampleService) -> t.List[TargetId]:
    """Ids of the service's targets."""
    return [TargetId(f"{service.service_id}-{i:02}") for i in range(1, service.targets + 1)]


def sample_bundle(
    partner: SamplePartner,
    others: t.Sequence[PartnerId],
    address_by_target: t.Mapping[TargetId, str],
) -> Bundle:
    """The partner's first bundle.

    :param others: partners that are granted a few slots in each region.
    :param address_by_target: ``ip:port`` of each target.
    """
    zones = zones_of(partner)
    targets: t.Dict[TargetId, Target] = {}
    services: t.Dict[ServiceId, Service] = {}
    for service in partner.services:
        services[service.service_id] = _service(partner, service)
        for position, target_id in enumerate(target_ids_of(service)):
            region, zone = zones[position % len(zones)]
            targets[target_id] = Target(
                service=service.service_id,
                region=region,
                zone=zone,
                address=address_by_target[target_id],
                slots=service.slots,
                connections=partner.connections,
            )
    regions = {}
    sites = {}
    for region, zone in zones:
        regions[region] = Region(zones=tuple(z for r, z in zones if r == region), slots=200)
        sites[SiteId(zone)] = Site(region=region, zone=zone)
    grants = {region: {other: Grant(slots=6) for other in others} for region in partner.regions}
    return Bundle(
        partner=partner.partner,
        version=BundleVersion(1),
        regions=regions,
        services=services,
        targets=targets,
        grants=grants,
        sites=sites,
    )


def _service(partner: SamplePartner, service: SampleService) -> Service:
    large = service.max_body_bytes > 1_048_576
    share = 1 / len(partner.regions)
    return Service(
        policy=partner.policy,
        weights=dict.fromkeys(partner.regions, share),
        shift_cap=0.1,
        shift_window_s=10.0,
        timeout_ms=_UPLOAD_TIMEOUT_MS if large else _TIMEOUT_MS,
        key_required=service.key_required,
        max_body_bytes=service.max_body_bytes,
        objective=Objective(availability=0.999, latency_ms=500),
    )
