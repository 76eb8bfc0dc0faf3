"""Small bundles for the tests of decisions."""

import typing as t

from coralfall.bundles.bundle import Bundle, Grant, Region, Service, Target
from coralfall.ids import (
    BundleVersion,
    PartnerId,
    PolicyName,
    RegionId,
    ServiceId,
    TargetId,
    TargetState,
    ZoneId,
)

COSECHA, CALOR = PartnerId("cosecha"), PartnerId("calor")
SIERRA, COSTA, CENTRO = RegionId("sierra"), RegionId("costa"), RegionId("centro")


def make_target(
    region: str, slots: int = 6, state: TargetState = TargetState.ACTIVE, service: str = "pedidos"
) -> Target:
    return Target(
        service=ServiceId(service),
        region=RegionId(region),
        zone=ZoneId(f"{region}-1"),
        address="10.0.0.1:80",
        slots=slots,
        connections=400,
        state=state,
    )


def make_service(timeout_ms: int = 1000, **fields: t.Any) -> Service:
    return Service(
        policy=PolicyName.LATENCY,
        weights={SIERRA: 1.0},
        shift_cap=fields.pop("shift_cap", 0.1),
        shift_window_s=60.0,
        timeout_ms=timeout_ms,
        **fields,
    )


def make_bundle(
    partner: str,
    regions: t.Mapping[str, int],
    targets: t.Mapping[str, Target],
    grants: t.Optional[t.Mapping[t.Tuple[str, str], int]] = None,
    version: int = 1,
    timeout_ms: int = 1000,
) -> Bundle:
    """A bundle with regions by their slots and grants by region and partner."""
    granted: t.Dict[RegionId, t.Dict[PartnerId, Grant]] = {}
    for (region, other), slots in (grants or {}).items():
        granted.setdefault(RegionId(region), {})[PartnerId(other)] = Grant(slots=slots)
    services = {target.service: make_service(timeout_ms) for target in targets.values()}
    return Bundle(
        partner=PartnerId(partner),
        version=BundleVersion(version),
        regions={
            RegionId(name): Region(zones=(ZoneId(f"{name}-1"),), slots=slots)
            for name, slots in regions.items()
        },
        services=services,
        targets={TargetId(name): target for name, target in targets.items()},
        grants=granted,
    )
