"""Operators of both partners, and small bundles that they sign."""

import typing as t

import nacl.signing

from coralfall.bundles.bundle import (
    Bundle,
    Grant,
    Region,
    Service,
    SignedBundle,
    Site,
    Target,
    encode,
)
from coralfall.bundles.signing import Key, Role, sign
from coralfall.ids import (
    BundleVersion,
    KeyId,
    PartnerId,
    PolicyName,
    RegionId,
    ServiceId,
    SiteId,
    TargetId,
    ZoneId,
)

COSECHA = PartnerId("cosecha")
CALOR = PartnerId("calor")
SIERRA = RegionId("sierra")


def make_key(key_id: str) -> Key:
    """A key that is the same in every run."""
    return Key(KeyId(key_id), nacl.signing.SigningKey(key_id.encode().ljust(32, b".")))


ANA, BEA, CARO = make_key("ana"), make_key("bea"), make_key("caro")
DANI, EVA = make_key("dani"), make_key("eva")
COSECHA_KEYS = {key.key_id: key.public_key for key in (ANA, BEA, CARO)}
CALOR_KEYS = {key.key_id: key.public_key for key in (DANI, EVA)}
TRUST = {COSECHA: COSECHA_KEYS, CALOR: CALOR_KEYS}


def make_bundle(version: int = 1, slots: int = 6, **changes: t.Any) -> Bundle:
    """A bundle of one region, service and target that keeps all rules."""
    zone = ZoneId("sierra-1")
    service = Service(
        policy=PolicyName.LATENCY,
        weights={SIERRA: 1.0},
        shift_cap=0.1,
        shift_window_s=10.0,
        timeout_ms=2000,
    )
    target = Target(
        service=ServiceId("catalogo"),
        region=SIERRA,
        zone=zone,
        address="127.0.0.1:47000",
        slots=slots,
        connections=400,
    )
    values: t.Dict[str, t.Any] = {
        "partner": COSECHA,
        "version": BundleVersion(version),
        "regions": {SIERRA: Region(zones=(zone,), slots=12)},
        "services": {ServiceId("catalogo"): service},
        "targets": {TargetId("catalogo-01"): target},
        "grants": {SIERRA: {CALOR: Grant(slots=2)}},
        "sites": {SiteId("sierra-1"): Site(region=SIERRA, zone=zone)},
    }
    return Bundle(**{**values, **changes})


def sign_bundle(bundle: Bundle, author: Key = ANA, approver: Key = BEA) -> SignedBundle:
    """``bundle`` with both signatures."""
    signed = SignedBundle(payload=encode(bundle))
    return sign(sign(signed, Role.AUTHOR, author), Role.APPROVER, approver)
