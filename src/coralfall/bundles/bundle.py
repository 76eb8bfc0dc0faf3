"""A bundle: what one partner states of its regions, services, targets and client blocks."""

import hashlib
import typing as t

import msgspec

from .. import defaults
from ..ids import (
    BundleVersion,
    Digest,
    KeyId,
    PartnerId,
    PolicyName,
    RegionId,
    ServiceId,
    SiteId,
    TargetId,
    TargetState,
    ZoneId,
)

#: Digits of a short digest.
_SHORT_DIGITS = 12


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of the bundle's parts: immutable, and unknown fields are refused."""


class Region(Model, frozen=True):
    """A region that the partner owns."""

    zones: t.Tuple[ZoneId, ...]
    #: Most requests in flight that the region bears, of all partners together.
    slots: int
    #: Bytes a second that the links from entries into the region carry.
    link_bytes_per_s: int = 125_000_000


class Grant(Model, frozen=True):
    """What the owner of a region lets another partner use there."""

    #: Most requests in flight of that partner in the region.
    slots: int


class Objective(Model, frozen=True):
    """Service-level objective of a service."""

    #: Share of requests that must be answered well, such as 0.999.
    availability: float = 0.999
    #: Milliseconds within which a good answer comes.
    latency_ms: int = 1000


class Service(Model, frozen=True):
    """A service and the rules under which its requests are steered."""

    policy: PolicyName
    #: Share of the service's requests that goes to each region; they add up to 1.
    weights: t.Dict[RegionId, float]
    #: Largest share of the service's requests that may move in one window.
    shift_cap: float
    #: Length of the window in seconds.
    shift_window_s: float
    #: Longest time that a request may take, in milliseconds; also its largest deadline.
    timeout_ms: int
    #: Whether a request other than a read must carry an idempotency key.
    key_required: bool = False
    #: Largest body of a request, in bytes.
    max_body_bytes: int = 1_048_576
    #: Seconds over which a joining target's allowance rises to its full slots.
    ramp_s: float = 30.0
    objective: Objective = Objective()


class Target(Model, frozen=True):
    """A back end and what it bears."""

    service: ServiceId
    region: RegionId
    zone: ZoneId
    #: IP number and port, such as ``10.1.0.7:8080`` or ``[fd00::7]:8080``.
    address: str
    #: Most requests in flight on the target.
    slots: int
    #: Most open connections to the target, of all entries together.
    connections: int
    state: TargetState = TargetState.ACTIVE


class Site(Model, frozen=True):
    """A place that client blocks are steered to."""

    region: RegionId
    zone: ZoneId


class ChunkRef(Model, frozen=True):
    """A page or chunk of the client block table, kept in the object store under its digest."""

    digest: Digest
    #: Number of blocks in it.
    blocks: int


class Bundle(Model, frozen=True):
    """All that one partner states, at one version of its line."""

    partner: PartnerId
    version: BundleVersion
    regions: t.Dict[RegionId, Region]
    services: t.Dict[ServiceId, Service]
    targets: t.Dict[TargetId, Target]
    grants: t.Dict[RegionId, t.Dict[PartnerId, Grant]] = {}
    sites: t.Dict[SiteId, Site] = {}
    #: Pages of the block table in the order of their first blocks; each names its chunks.
    chunks: t.Tuple[ChunkRef, ...] = ()
    format: int = defaults.BUNDLE_FORMAT


class Signature(Model, frozen=True):
    """An Ed25519 signature over a bundle's canonical bytes."""

    key_id: KeyId
    signature: bytes


class SignedBundle(Model, frozen=True):
    """Canonical bytes of a bundle with the signatures of its author and approver."""

    payload: bytes
    author: t.Optional[Signature] = None
    approver: t.Optional[Signature] = None


class VersionRef(Model, frozen=True):
    """Names one signed bundle of a line; the digest is that of the encoded signed bundle."""

    version: BundleVersion
    digest: Digest


class Head(Model, frozen=True):
    """The one row that says which bundle of a partner is in force and which is staged."""

    partner: PartnerId
    accepted: t.Optional[VersionRef] = None
    staged: t.Optional[VersionRef] = None
    #: Names the submission that staged last, so that a lost answer can be settled.
    submission: str = ""
    #: Platform's wall time at which ``accepted`` was accepted.
    accepted_at: float = 0.0
    #: Where each service's shares stood at ``accepted_at``.
    shares_at_accept: t.Dict[ServiceId, t.Dict[RegionId, float]] = {}


_encoder = msgspec.msgpack.Encoder(order="sorted")


def encode(model: Model) -> bytes:
    """Canonical bytes: equal models give equal bytes, whatever order they were built in."""
    return _encoder.encode(model)


def digest_of(data: bytes) -> Digest:
    """SHA-256 of ``data`` in hexadecimal."""
    return Digest(hashlib.sha256(data).hexdigest())


def short_digest(digest: Digest) -> str:
    """The first digits of ``digest``, as messages show it and operators may name it."""
    return digest[:_SHORT_DIGITS]
