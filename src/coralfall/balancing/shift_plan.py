"""The planned shares of a service's traffic by region, between two bundles.

After a bundle is accepted, the shares move linearly with the platform's time from where they
stood then to the bundle's weights. Every entry computes the same plan by itself, without
coordination.
"""

import typing as t

from .. import defaults
from ..bundles.bundle import Bundle, Head, Service
from ..ids import RegionId, ServiceId

Shares = t.Dict[RegionId, float]

#: Fraction of the cap within which a policy may prefer one region over another.
BAND_PART = 0.1
#: Fraction of the cap by which requests may deviate from the plan, to be offset by later ones.
OVERDRAFT_PART = 0.3
#: Fraction of the cap that a region may get at once when it recovers.
RETURN_PART = 0.1
#: Fraction of the cap reserved for requests being whole numbers.
COUNT_PART = 0.05

#: Shares that differ by less are equal.
EPSILON = 1e-9


class CapParts(t.NamedTuple):
    """The parts of a shift cap; see :class:`.shift.ShiftLimiter` for their sum."""

    #: Share by which regions together may exceed the plan, for the policy to choose.
    band: float
    #: Share that the plan may move within two windows and the maximum clock skew.
    move: float
    #: Share that the plan moves in a second.
    rate_per_s: float
    #: Share that a region may get at once when it recovers after a window.
    return_share: float
    #: Share of a window's requests that may deviate from the plan, over all regions.
    overdraft: float


def split_cap(service: Service) -> CapParts:
    """Returns the parts of the cap of ``service``."""
    band = service.shift_cap * BAND_PART
    back = service.shift_cap * RETURN_PART / (1 + band)
    stretch = service.shift_cap * OVERDRAFT_PART
    move_fraction = 1 - BAND_PART - OVERDRAFT_PART - RETURN_PART - COUNT_PART
    move = service.shift_cap * move_fraction / (1 + band)
    span = 2 * service.shift_window_s + defaults.MAX_CLOCK_SKEW_S
    return CapParts(band, move, move / span, back, stretch)


def planned_shares(
    head: Head, service_id: ServiceId, service: Service, now_platform: float
) -> Shares:
    """Returns the shares of a service by the plan alone.

    They move linearly from ``head.shares_at_accept``, at ``head.accepted_at``, to the weights. An
    entry that restarts computes the same plan again, and two entries whose clocks differ deviate by
    at most the skew times the plan's rate, which :func:`split_cap` allows for.

    :param service: the service as accepted with ``head``, not its intersection with a staged
        bundle: another cap or window would give another plan.
    :param now_platform: platform's wall time in seconds.
    :return: share of each region; they add up to 1.
    """
    weights = normalised(service.weights)
    start = normalised(head.shares_at_accept.get(service_id, {}))
    if not start:
        return weights
    distance = moved_share(start, weights)
    if distance <= EPSILON:
        return weights
    moved = split_cap(service).rate_per_s * max(0.0, now_platform - head.accepted_at)
    progress = min(1.0, moved / distance)
    shares: Shares = {}
    for region in sorted({*start, *weights}):
        share = (1 - progress) * start.get(region, 0.0) + progress * weights.get(region, 0.0)
        if share > 0:
            shares[region] = share
    return shares


def planned_shares_by_service(
    head: Head, bundle: Bundle, now_platform: float
) -> t.Dict[ServiceId, Shares]:
    """Returns the planned shares of all services of an accepted bundle, for the next head.

    :param head: head by which ``bundle`` is accepted.
    :param now_platform: platform's wall time in seconds.
    """
    shares_by_service: t.Dict[ServiceId, Shares] = {}
    for service_id, service in bundle.services.items():
        shares_by_service[service_id] = planned_shares(head, service_id, service, now_platform)
    return shares_by_service


def normalised(shares: t.Mapping[RegionId, float]) -> Shares:
    """Returns the positive ones of ``shares``, scaled to add up to 1; empty if there are none."""
    total = sum(share for share in shares.values() if share > 0)
    if total <= 0:
        return {}
    return {region: share / total for region, share in shares.items() if share > 0}


def moved_share(before: t.Mapping[RegionId, float], after: t.Mapping[RegionId, float]) -> float:
    """Returns the sum of the regions' gains; for complete splits, the total variation distance."""
    moved = 0.0
    for region, share in after.items():
        moved += max(0.0, share - before.get(region, 0.0))
    return moved
