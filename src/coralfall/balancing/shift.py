"""Shift: how much of a service's traffic may go to each region now, under its shift cap.

Every entry holds the same line of shares (:mod:`.shift_plan`), and a shift_limiter that keeps what the
entry itself sends close to that line. Nothing is agreed between entries on the way.
"""

import typing as t

from ..bundles.bundle import Service
from ..ids import RegionId, ServiceId
from .shift_plan import EPSILON, Shares, normalised, split_cap

#: Most by which a region's count exceeds its ceiling over any run of one entry's requests,
#: when there are too few of them for ``OVERDRAFT_PART`` to allow as much.
COUNT_SLACK = 3
#: The same when there are many.
MAX_OVERDRAFT = 16
#: Share of refusals above which a region is taken to be full, and seconds of memory for it.
FULL_SHARE = 0.02
FULL_MEMORY_S = 1.0


class _Account:
    """What a governor knows of one region."""

    __slots__ = (
        "credit",
        "full",
        "inflow",
        "lost",
        "refused",
        "served",
        "serving",
        "share",
        "taken",
    )

    def __init__(self, share: float) -> None:
        self.share = share
        #: Windows for which it was lost, and served since; see ``_fade_lost``.
        self.lost = 0.0
        self.served = 1.0
        self.inflow = share
        self.credit = 1.0
        self.serving = True
        self.taken = 0
        self.refused = 0
        self.full = 0.0


class ShiftLimiter:
    """Keeps one entry's requests of one service within the shift cap.

    **Position.** The governor holds a share for each region, ``q``. It starts on the planned
    line, and from then on moves toward its goal: the planned shares of the regions that can
    serve, made whole, with less for regions that are full while others are not. The sum of
    what regions gain in a second is at most ``rate``. The share of a region that is lost is
    refused at once, and what the region gets if it comes back falls: after a part ``x`` of a
    window without it, to ``back / x``; after two windows, to nothing. Times away count
    together until the region has served for a window.

    **Counts.** Each request pays ``q * (1 + band)`` into each region's credit and what ``q``
    lacks to 1 into that of refusals; sending a request to a region takes 1 out. A region is
    allowed if it has a credit of 1 or the largest of all, and :meth:`stretched` allows it to
    go into debt for the sake of a free slot. Credit stays between ``-debt`` and ``1 + debt``,
    where ``debt`` is 1 for few requests, so over any run of requests a region gets at most the
    sum of its ceilings ``q * (1 + band)`` and ``1 + 2 debt`` more; a lost region earns one
    request a window besides, to be probed with. A request is refused only while the refusals
    or the share of a lost or full region have the largest credit, so what is sent or refused
    in the name of a region is at least what the other regions' ceilings leave.

    **Sum.** Compare the shares ``d1``, ``d2`` of two consecutive windows, over all requests
    offered, where what is refused in a region's name counts as the region's. Let ``G`` be the
    regions that gained, ``O`` the others, ``q1``, ``q2`` the positions averaged over the
    requests of either window::

        gain = d2(G) - d1(G)
             <= (1 + band) q2(G) - (q1(all) - (1 + band) q1(O)) + slack
              = (1 + band) (q2(G) - q1(G)) + band q1(all) + slack
             <= (1 + band) move + band + slack
             <= 0.45 cap + 0.1 cap + slack

    since two requests of adjacent windows are at most two windows apart, and ``move`` is what
    the line moves in two windows and the skew. ``slack`` is ``1 + 2 debt`` for each region and
    entry over the window's requests. ``2 debt`` is 0.3 of the cap of the requests that a
    window is expected to have, all regions together: 0.3 cap, if requests come evenly (when
    they stop short, up to ``MAX_OVERDRAFT`` requests a region and entry may be over). The 0.05
    that is left is for the ones: fewer than ``20 * entries * regions / cap`` requests in a
    window are too few for it.

    If only what was sent counts, a region that was away for ``x`` of the first window was sent
    ``x q1`` less there, which is at most ``back`` if requests come evenly: 0.1 cap more.

    **Fleet.** The bound is for shares within a set (all splits within the band around ``q``)
    that is convex and, while no region is lost, the same for all entries up to the skew. Any
    mix of entries is within it, so callers that move from one entry to another, and entries
    that restart, add nothing. While regions are lost or come back, ``q`` differs between
    entries by at most the lost share ``L``, and a change of the callers' mix by ``m`` (total
    variation; one of twelve entries restarting is 1/12) adds up to ``m * L``. A ``start`` from
    a peer takes that away for restarts.

    :param service: rules of the service, as in force.
    :param planned: planned shares now.
    :param now: monotonic time in seconds.
    :param start: where a peer's governor stands, if one told; else the planned line.
    """

    def __init__(
        self,
        service_id: ServiceId,
        service: Service,
        planned: t.Mapping[RegionId, float],
        now: float,
        start: t.Optional[t.Mapping[RegionId, float]] = None,
    ) -> None:
        self.service_id = service_id
        self._service = service
        self._parts = split_cap(service)
        self._now = now
        self._offered = 0
        self._rate = 0.0
        self._most_credit = 2.0
        self._most_debt = 1.0
        self._refusals = _Account(0.0)
        self._refusals.credit = 0.0
        self._by_region: t.Dict[RegionId, _Account] = {}
        for region, share in (planned if start is None else start).items():
            self._by_region[region] = _Account(share)
        self._set_inflows()

    @property
    def shares(self) -> Shares:
        """Where the governor stands; what is missing to 1 is refused."""
        return {region: account.share for region, account in self._by_region.items()}

    def advance(
        self,
        service: Service,
        planned: t.Mapping[RegionId, float],
        serving: t.Container[RegionId],
        now: float,
    ) -> None:
        """Move on to ``now``; to be called every second or more often.

        :param service: rules in force.
        :param planned: planned shares now.
        :param serving: regions that can serve.
        """
        seconds = max(0.0, now - self._now)
        self._now = max(now, self._now)
        if service is not self._service:
            self._service = service
            self._parts = split_cap(service)
        for region in planned:
            if region not in self._by_region:
                self._by_region[region] = _Account(0.0)
        self._measure_rate(seconds)
        for region, account in self._by_region.items():
            self._note_serving(account, region in serving)
            self._note_fullness(account, seconds)
        self._fade_lost(seconds)
        self._move(self._goal(planned), self._parts.rate_per_s * seconds)
        self._set_inflows()

    def count_request(self) -> None:
        """Count one request of a caller, before :meth:`allows` is asked for it."""
        self._offered += 1
        for account in self._by_region.values():
            account.credit = min(account.credit + account.inflow, self._most_credit)
        refusals = self._refusals
        refusals.credit = min(refusals.credit + refusals.inflow, self._most_credit)

    def allowed_regions(self, retry: bool = False) -> t.List[RegionId]:
        """Regions that the request may go to.

        :param retry: whether it was sent to a region before; then only saved credit counts.
        """
        most = 1.0
        if not retry:
            most = min(1.0, max(self._refusals.credit, *self._credits()))
        regions = []
        for region, account in self._by_region.items():
            credit = account.credit
            if account.serving and credit >= most and credit > 0:
                regions.append(region)
        return regions

    def overdraft_regions(self) -> t.List[RegionId]:
        """Regions that the request may go to if no allowed one has room for it.

        What they get now they lack later.
        """
        regions = []
        for region, account in self._by_region.items():
            if account.serving and account.share > 0 and account.credit > 1 - self._most_debt:
                regions.append(region)
        return regions

    def is_allowed(self, region: RegionId, retry: bool = False) -> bool:
        """Whether the request may go to ``region``."""
        return region in self.allowed_regions(retry)

    def is_probe_allowed(self, region: RegionId) -> bool:
        """Whether one request may find out if a lost region is back.

        It counts like any other; a lost region has the credit of its fading share, and earns
        one request a window after that.
        """
        return self._by_region[region].credit >= 1 if region in self._by_region else False

    def charge(self, region: RegionId) -> None:
        """Count the request as sent to ``region``, which must be allowed."""
        account = self._by_region[region]
        account.credit -= 1.0
        account.taken += 1

    def refund(self, region: RegionId) -> None:
        """Count the request that was last taken for ``region`` as not sent after all."""
        account = self._by_region[region]
        account.credit += 1.0
        account.taken -= 1

    def count_refused(self) -> t.Optional[RegionId]:
        """Count the request as refused, in the name of whoever has the largest credit.

        :return: the region in whose name, which is lost or full; ``None`` if the request is one
            of those that no region may take yet.
        """
        account = self._refusals
        name: t.Optional[RegionId] = None
        for region, other in self._by_region.items():
            if other.credit > account.credit:
                account = other
                name = region
        if account.credit > 0:
            account.credit -= 1.0
        account.refused += 1
        return name

    def retry_after_s(self) -> float:
        """Seconds after which what is refused for want of share finds a region."""
        placed = 0.0
        for account in self._by_region.values():
            if account.serving:
                placed += account.share
        rate = max(self._parts.rate_per_s, EPSILON)
        return min(max((1 - placed) / rate, 0.1), self._service.shift_window_s)

    def _measure_rate(self, seconds: float) -> None:
        if seconds <= 0:
            return
        rate = self._offered / seconds
        self._offered = 0
        window = self._service.shift_window_s
        self._rate += min(1.0, seconds / window) * (rate - self._rate)
        requests = window * self._rate
        stretch = self._parts.overdraft * requests / max(1, len(self._by_region))
        self._most_debt = max(1.0, min(stretch, MAX_OVERDRAFT) / 2)
        self._most_credit = 1 + self._most_debt

    def _credits(self) -> t.List[float]:
        return [account.credit for account in self._by_region.values()]

    def _share_on_return(self, lost: float) -> float:
        if lost <= 1:
            return self._parts.return_share / max(lost, EPSILON)
        return self._parts.return_share * max(0.0, 2 - lost)

    def _note_serving(self, account: _Account, serving: bool) -> None:
        if account.serving and not serving and account.served >= 1:
            account.lost = 0.0
        if serving and not account.serving:
            account.served = 0.0
        account.serving = serving

    def _note_fullness(self, account: _Account, seconds: float) -> None:
        asked = account.taken + account.refused
        if asked == 0 or seconds <= 0:
            return
        weight = min(1.0, seconds / FULL_MEMORY_S)
        account.full += weight * (account.refused / asked - account.full)
        account.taken = account.refused = 0

    def _fade_lost(self, seconds: float) -> None:
        for account in self._by_region.values():
            windows = seconds / self._service.shift_window_s
            if account.serving:
                account.served += windows
                continue
            account.lost += windows
            account.share = min(account.share, self._share_on_return(account.lost))
            account.credit = min(account.credit + windows, 2.0)

    def _goal(self, planned: t.Mapping[RegionId, float]) -> Shares:
        served = {
            region: share for region, share in planned.items() if self._by_region[region].serving
        }
        whole = normalised(served)
        kept: Shares = {}
        for region, share in whole.items():
            account = self._by_region[region]
            if account.full > FULL_SHARE:
                kept[region] = min(share, account.share) * (1 - account.full)
        rest = 1 - sum(kept.values())
        roomy = normalised({r: share for r, share in whole.items() if r not in kept})
        for region, share in roomy.items():
            kept[region] = rest * share
        return kept

    def _move(self, goal: Shares, budget: float) -> None:
        wanted = {}
        for region, share in goal.items():
            account = self._by_region[region]
            if share > account.share:
                wanted[region] = share - account.share
        total_wanted = sum(wanted.values())
        if total_wanted <= EPSILON:
            return
        part = min(1.0, budget / total_wanted)
        for region, share in wanted.items():
            self._by_region[region].share += share * part
        self._lower(goal, sum(account.share for account in self._by_region.values()) - 1)

    def _lower(self, goal: Shares, excess: float) -> None:
        if excess <= 0:
            return
        above = {}
        for region, account in self._by_region.items():
            if account.share > goal.get(region, 0.0):
                above[region] = account.share - goal.get(region, 0.0)
        total_above = sum(above.values())
        if total_above <= 0:
            return
        part = min(1.0, excess / total_above)
        for region, share in above.items():
            self._by_region[region].share -= share * part

    def _set_inflows(self) -> None:
        total = 0.0
        for account in self._by_region.values():
            total += account.share
            account.inflow = account.share * (1 + self._parts.band)
        self._refusals.inflow = max(0.0, 1 - total)
