"""The rules that a bundle must keep beyond its shape, and the faults where it breaks them."""

import ipaddress
import math
import re
import typing as t

from ..exceptions import BundleError, Fault
from ..ids import RegionId, ServiceId, TargetState, ZoneId
from ..settings import split_address
from .bundle import Bundle, Service, Target

#: Partners that would hide a path of the callers' port.
RESERVED_PARTNERS = frozenset({"lookup"})
#: How far the sum of a service's weights may be from 1.
WEIGHT_TOLERANCE = 1e-9
#: Largest count of slots, connections and the like.
MAX_COUNT = 1_000_000
#: Longest time that a bundle may state, in seconds.
MAX_SECONDS = 86_400.0
#: Largest size that a bundle may state, in bytes or bytes a second.
MAX_BYTES = 1 << 50

_ID = re.compile(r"[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?")
#: What an id may be, for messages.
ID_RULE = "allowed are 1 to 63 of a-z, 0-9 and -, not starting or ending with -"


class Finding(t.NamedTuple):
    """A fault and which other values of the bundle it follows from.

    A finding counts only if those values are sound: a weight that no target serves is no fault
    of its own if the target's region could not be read.
    """

    fault: Fault
    #: Patterns (as of :mod:`fnmatch`) of the paths that were read besides the fault's own.
    reads: t.Tuple[str, ...] = ()


def find_faults(
    bundle: Bundle, granted_regions: t.Optional[t.Container[RegionId]] = None
) -> t.List[Finding]:
    """Every place where ``bundle`` breaks a rule.

    :param bundle: the bundle.
    :param granted_regions: regions of other partners that it may name; ``None`` allows any.
    """
    findings = _check_ids(bundle)
    findings += _check_regions(bundle)
    findings += _check_grants(bundle)
    for name, service in bundle.services.items():
        findings += _check_service(f"services.{name}", service)
        findings += _check_weighted_targets(bundle, name)
    if not bundle.services:
        findings.append(_finding("services", "empty", "names no service; at least one is needed"))
    findings += _check_targets(bundle, granted_regions)
    findings += _check_sites(bundle, granted_regions)
    return findings


def is_id(name: str) -> bool:
    """Whether ``name`` may name a partner, region, zone, service, target or site."""
    return _ID.fullmatch(name) is not None


def require(bundle: Bundle) -> None:
    """Refuse a bundle that breaks a rule.

    :raises BundleError: with every fault found.
    """
    faults = [finding.fault for finding in find_faults(bundle)]
    if faults:
        raise bundle_error(f"{bundle.partner} {bundle.version}", faults)


def bundle_error(name: str, faults: t.Sequence[Fault]) -> BundleError:
    """The error for a bundle that messages call ``name``; its message states the first fault."""
    first = faults[0]
    where = f" {first.path}:" if first.path else ""
    more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
    return BundleError(f"{name}:{where} {first.message}{more}", faults)


def _finding(path: str, code: str, message: str, *reads: str) -> Finding:
    return Finding(Fault(path, code, message), reads)


def _check_ids(bundle: Bundle) -> t.List[Finding]:
    findings = []
    for path, name in _named(bundle):
        if is_id(name):
            continue
        findings.append(_finding(path, "bad-id", f"found {name!r}; {ID_RULE}"))
    if bundle.partner in RESERVED_PARTNERS:
        message = f"{bundle.partner!r} is a path of the callers' port; take another name"
        findings.append(_finding("partner", "reserved-id", message))
    if not 1 <= bundle.version < 2**53:
        findings.append(_out_of_range("version", bundle.version, "a whole number from 1"))
    return findings


def _named(bundle: Bundle) -> t.Iterator[t.Tuple[str, str]]:
    yield "partner", bundle.partner
    for region_id, region in bundle.regions.items():
        yield f"regions.{region_id}", region_id
        for index, zone in enumerate(region.zones):
            yield f"regions.{region_id}.zones[{index}]", zone
    for service_id in bundle.services:
        yield f"services.{service_id}", service_id
    for target_id in bundle.targets:
        yield f"targets.{target_id}", target_id
    for site_id in bundle.sites:
        yield f"sites.{site_id}", site_id
    for region_id, grants in bundle.grants.items():
        for partner in grants:
            yield f"grants.{region_id}.{partner}", partner


def _check_regions(bundle: Bundle) -> t.List[Finding]:
    findings: t.List[Finding] = []
    owner_by_zone: t.Dict[ZoneId, RegionId] = {}
    for region_id, region in bundle.regions.items():
        path = f"regions.{region_id}"
        findings += _check_count(f"{path}.slots", region.slots)
        findings += _check_bytes(f"{path}.link_bytes_per_s", region.link_bytes_per_s)
        if not region.zones:
            findings.append(
                _finding(f"{path}.zones", "empty", "names no zone; at least one is needed")
            )
        for index, zone in enumerate(region.zones):
            if zone in owner_by_zone:
                message = f"{zone!r} is already a zone of {owner_by_zone[zone]!r}; name it once"
                findings.append(_finding(f"{path}.zones[{index}]", "duplicate-zone", message))
                continue
            owner_by_zone[zone] = region_id
    return findings


def _check_grants(bundle: Bundle) -> t.List[Finding]:
    findings: t.List[Finding] = []
    for region_id, grants in bundle.grants.items():
        region = bundle.regions.get(region_id)
        if region is None:
            message = f"{region_id!r} is not a region of this bundle; only its owner grants it"
            findings.append(_finding(f"grants.{region_id}", "not-owned", message))
        for partner, grant in grants.items():
            path = f"grants.{region_id}.{partner}"
            findings += _check_count(f"{path}.slots", grant.slots)
            if partner == bundle.partner:
                message = "the owner needs no grant; leave it out"
                findings.append(_finding(path, "self-grant", message, "partner"))
            if region is not None and grant.slots > region.slots:
                message = f"grants {grant.slots} slots of a region that bears {region.slots}"
                reads = f"regions.{region_id}.slots"
                findings.append(_finding(f"{path}.slots", "over-granted", message, reads))
    return findings


def _check_service(path: str, service: Service) -> t.List[Finding]:
    findings = _check_weights(f"{path}.weights", service.weights)
    if not 0 < service.shift_cap <= 1:
        finding = _out_of_range(f"{path}.shift_cap", service.shift_cap, "above 0, at most 1")
        findings.append(finding)
    findings += _check_seconds(f"{path}.shift_window_s", service.shift_window_s)
    findings += _check_milliseconds(f"{path}.timeout_ms", service.timeout_ms)
    findings += _check_bytes(f"{path}.max_body_bytes", service.max_body_bytes)
    findings += _check_range(f"{path}.ramp_s", service.ramp_s, 0, MAX_SECONDS, " seconds")
    objective = service.objective
    if not 0 < objective.availability < 1:
        finding_path = f"{path}.objective.availability"
        findings.append(_out_of_range(finding_path, objective.availability, "between 0 and 1"))
    findings += _check_milliseconds(f"{path}.objective.latency_ms", objective.latency_ms)
    return findings


def _check_weights(path: str, weights: t.Mapping[RegionId, float]) -> t.List[Finding]:
    findings: t.List[Finding] = []
    for region_id, weight in weights.items():
        findings += _check_range(f"{path}.{region_id}", weight, 0, 1)
    total = math.fsum(weights.values())
    if not abs(total - 1) <= WEIGHT_TOLERANCE:
        findings.append(_finding(path, "weight-sum", f"add up to {total:.12g}; must be 1"))
    return findings


def _check_weighted_targets(bundle: Bundle, name: ServiceId) -> t.List[Finding]:
    staying: t.Dict[RegionId, int] = {}
    for target in bundle.targets.values():
        if target.service != name:
            continue
        stays = target.state is not TargetState.LEAVING
        staying[target.region] = staying.get(target.region, 0) + stays
    findings = []
    reads = ("targets.*.service", "targets.*.region", "targets.*.state")
    for region_id, weight in bundle.services[name].weights.items():
        path = f"services.{name}.weights.{region_id}"
        if region_id not in staying and (weight or region_id not in bundle.regions):
            message = f"no target of {name!r} is in region {region_id!r}"
            findings.append(_finding(path, "no-target", message, *reads))
            continue
        if weight and not staying[region_id]:
            message = f"all targets of {name!r} in {region_id!r} are leaving; set the weight to 0"
            findings.append(_finding(path, "only-leaving", message, *reads))
    return findings


def _check_targets(
    bundle: Bundle, granted_regions: t.Optional[t.Container[RegionId]]
) -> t.List[Finding]:
    findings: t.List[Finding] = []
    target_by_address: t.Dict[t.Tuple[str, int], str] = {}
    for target_id, target in bundle.targets.items():
        path = f"targets.{target_id}"
        if target.service not in bundle.services:
            known = ", ".join(bundle.services) or "none"
            message = f"{target.service!r} is not a service of this bundle: {known}"
            findings.append(_finding(f"{path}.service", "unknown-service", message))
        findings += _check_place(bundle, granted_regions, path, target.region, target.zone)
        findings += _check_target_limits(path, target)
        address = parse_ip_address(target.address)
        if address is None:
            message = f"found {target.address!r}, allowed is an IP number with a port"
            findings.append(_finding(f"{path}.address", "bad-address", message))
            continue
        if address in target_by_address:
            other = target_by_address[address]
            message = (
                f"{target.address!r} is already the address of {other!r}; each target needs its own"
            )
            findings.append(_finding(f"{path}.address", "duplicate-address", message))
            continue
        target_by_address[address] = target_id
    return findings


def _check_target_limits(path: str, target: Target) -> t.List[Finding]:
    findings = _check_count(f"{path}.slots", target.slots)
    findings += _check_count(f"{path}.connections", target.connections)
    if target.connections < target.slots:
        message = f"allows {target.connections} for {target.slots} slots, each of which needs one"
        reads = f"{path}.slots"
        findings.append(_finding(f"{path}.connections", "few-connections", message, reads))
    return findings


def _check_sites(
    bundle: Bundle, granted_regions: t.Optional[t.Container[RegionId]]
) -> t.List[Finding]:
    findings: t.List[Finding] = []
    for site_id, site in bundle.sites.items():
        path = f"sites.{site_id}"
        findings += _check_place(bundle, granted_regions, path, site.region, site.zone)
    return findings


def _check_place(
    bundle: Bundle,
    granted_regions: t.Optional[t.Container[RegionId]],
    path: str,
    region_id: RegionId,
    zone: ZoneId,
) -> t.List[Finding]:
    region = bundle.regions.get(region_id)
    if region is None:
        if granted_regions is None or region_id in granted_regions:
            return []
        message = f"{region_id!r} is neither in regions nor in granted_regions; add it to one"
        return [_finding(f"{path}.region", "unknown-region", message, "granted_regions")]
    if zone in region.zones:
        return []
    message = f"{zone!r} is not a zone of {region_id!r}: {', '.join(region.zones) or 'none'}"
    reads = (f"{path}.region", f"regions.{region_id}.zones*")
    return [_finding(f"{path}.zone", "wrong-zone", message, *reads)]


def parse_ip_address(address: str) -> t.Optional[t.Tuple[str, int]]:
    """IP number in its shortest form and port; ``None`` if ``address`` is not of that kind."""
    try:
        host, port = split_address(address)
        number = ipaddress.ip_address(host)
    except ValueError:
        return None
    bracketed = address.startswith("[")
    if bracketed != (number.version == 6) or number.is_unspecified or number.is_multicast:
        return None
    return (str(number), port) if port else None


def _check_count(path: str, value: int) -> t.List[Finding]:
    return _check_range(path, value, 1, MAX_COUNT)


def _check_bytes(path: str, value: int) -> t.List[Finding]:
    return _check_range(path, value, 1, MAX_BYTES, " bytes")


def _check_milliseconds(path: str, value: int) -> t.List[Finding]:
    return _check_range(path, value, 1, MAX_SECONDS * 1000, " milliseconds")


def _check_range(
    path: str, value: float, least: float, most: float, unit: str = ""
) -> t.List[Finding]:
    if least <= value <= most:
        return []
    return [_out_of_range(path, value, f"{least:.0f} to {most:.0f}{unit}")]


def _check_seconds(path: str, value: float) -> t.List[Finding]:
    if 0 < value <= MAX_SECONDS:
        return []
    return [_out_of_range(path, value, f"above 0, at most {MAX_SECONDS:g} seconds")]


def _out_of_range(path: str, value: float, allowed: str) -> Finding:
    return _finding(path, "out-of-range", f"found {value}, allowed is {allowed}")
