"""Shift plan: the line of shares on which a service's traffic moves between regions.

It moves with the platform's time from where it stood when the bundle was accepted to the bundle's
weights. Every entry works it out by itself and holds the same; nothing is agreed on the way.
"""

import typing as t

from .. import defaults
from ..bundles.bundle import Bundle, Head, Service
from ..ids import RegionId, ServiceId

Shares = t.Dict[RegionId, float]

#: Part of the cap within which a policy may prefer one region over another.
BAND_PART = 0.1
#: Part of the cap by which single requests may leave the line, to be made good by later ones.
OVERDRAFT_PART = 0.3
#: Part of the cap that a region may take at once when it comes back.
RETURN_PART = 0.1
#: Part of the cap kept for requests being whole numbers.
COUNT_PART = 0.05

#: Shares that differ by less are the same.
EPSILON = 1e-9


class CapParts(t.NamedTuple):
    """What a shift cap is split into; see :class:`.shift.ShiftLimiter` for the sum."""

    #: Share by which regions together may be above the line, for the policy to choose.
    band: float
    #: Share that the line may move within two windows and the clocks' skew.
    move: float
    #: Share that the line moves in a second.
    rate_per_s: float
    #: Share that a region may take at once when it comes back after a window.
    return_share: float
    #: Share of a window's requests that may leave the line, all regions together.
    overdraft: float


def split_cap(service: Service) -> CapParts:
    """The parts of the cap of ``service``."""
    band = service.shift_cap * BAND_PART
    back = service.shift_cap * RETURN_PART / (1 + band)
    stretch = service.shift_cap * OVERDRAFT_PART
    part = 1 - BAND_PART - OVERDRAFT_PART - RETURN_PART - COUNT_PART
    move = service.shift_cap * part / (1 + band)
    span = 2 * service.shift_window_s + defaults.MAX_CLOCK_SKEW_S
    return CapParts(band, move, move / span, back, stretch)


def planned_shares(
    head: Head, service_id: ServiceId, service: Service, now_platform: float
) -> Shares:
    """Where the shares of a service stand, by the bundle line alone.

    They move straight from ``head.shares_at_accept`` to the weights, from
    ``head.accepted_at`` on. An entry that restarts finds the same line again, and two entries
    whose clocks differ are apart by no more than the skew at the line's rate, which
    :func:`split_cap` has counted in.

    :param service: the service as accepted with ``head``. Not what is met with a staged bundle:
        another cap or window would give another line.
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
    way = split_cap(service).rate_per_s * max(0.0, now_platform - head.accepted_at)
    done = min(1.0, way / distance)
    shares: Shares = {}
    for region in sorted({*start, *weights}):
        share = (1 - done) * start.get(region, 0.0) + done * weights.get(region, 0.0)
        if share > 0:
            shares[region] = share
    return shares


def planned_shares_by_service(
    head: Head, bundle: Bundle, now_platform: float
) -> t.Dict[ServiceId, Shares]:
    """Where all services of an accepted bundle stand, for the head that follows it.

    :param head: head by which ``bundle`` is accepted.
    :param now_platform: platform's wall time in seconds.
    """
    shares_by_service: t.Dict[ServiceId, Shares] = {}
    for service_id, service in bundle.services.items():
        shares_by_service[service_id] = planned_shares(head, service_id, service, now_platform)
    return shares_by_service


def normalised(shares: t.Mapping[RegionId, float]) -> Shares:
    """The positive ones of ``shares``, scaled so that they add up to 1; empty if none is."""
    total = sum(share for share in shares.values() if share > 0)
    if total <= 0:
        return {}
    return {region: share / total for region, share in shares.items() if share > 0}


def moved_share(before: t.Mapping[RegionId, float], after: t.Mapping[RegionId, float]) -> float:
    """Sum of what the regions have gained; between whole splits, the total variation."""
    moved = 0.0
    for region, share in after.items():
        moved += max(0.0, share - before.get(region, 0.0))
    return moved
