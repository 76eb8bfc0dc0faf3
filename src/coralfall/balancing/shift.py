"""Limits how much of a service's traffic may move between regions, by its shift cap.

Every entry computes the same planned shares (:mod:`.shift_plan`), and a limiter keeps the entry's
own requests close to them by credits per region, as in deficit round robin. Entries do not
coordinate this.
"""

import typing as t

from ..bundles.bundle import Service
from ..ids import RegionId, ServiceId
from .shift_plan import EPSILON, Shares, normalised, split_cap

#: Most by which a region's count exceeds its ceiling over any run of one entry's requests, when
#: there are too few of them for ``OVERDRAFT_PART`` to allow that many.
COUNT_SLACK = 3
#: The same when there are many requests.
MAX_OVERDRAFT = 16
#: Share of refused requests above which a region counts as full, and seconds of averaging.
FULL_REFUSAL_SHARE = 0.02
FULL_MEMORY_S = 1.0


class _CreditAccount:
    """A limiter's state of one region."""

    __slots__ = (
        "credit",
        "credit_per_request",
        "lost_windows",
        "refusal_share",
        "refused",
        "sent",
        "served_windows",
        "serving",
        "share",
    )

    def __init__(self, share: float) -> None:
        self.share = share
        #: Number of windows that the region was lost, and served since; see ``_fade_lost``.
        self.lost_windows = 0.0
        self.served_windows = 1.0
        self.credit_per_request = share
        self.credit = 1.0
        self.serving = True
        self.sent = 0
        self.refused = 0
        self.refusal_share = 0.0


class ShiftLimiter:
    """Keeps one entry's requests of one service within the shift cap.

    **Position.** The limiter holds a share for each region, ``q``. It starts at the planned shares,
    and from then on moves toward its goal: the planned shares of the regions that can serve, scaled
    to 1, with less for regions that are full while others are not. The sum of the regions' gains in
    a second is at most ``rate_per_s``. Requests for the share of a lost region are refused at once,
    and the share that it gets when it recovers falls: after a part ``x`` of a window without it, to
    ``return_share / x``; after two windows, to nothing. Periods of loss add up until the region has
    served for a window.

    **Counts.** Each request adds ``q * (1 + band)`` to each region's credit, and the amount by
    which the sum of ``q`` is below 1 to the credit of refusals; sending a request to a region takes
    1 from its credit. A region is allowed if its credit is at least 1 or the largest of all, and
    :meth:`overdraft_regions` allows it to go into debt for the sake of a free slot. Credit stays
    between ``-debt`` and ``1 + debt``, where ``debt`` is 1 for few requests, so over any run of
    requests a region gets at most the sum of its ceilings ``q * (1 + band)`` and ``1 + 2 debt``
    more; a lost region also earns one request per window, as a probe. A request is refused only
    while the credit of refusals, or of a lost or full region, is the largest, so the number of
    requests sent or refused on behalf of a region is at least what the other regions' ceilings
    leave.

    **Sum.** Compare the shares ``d1``, ``d2`` of two consecutive windows, over all requests
    offered, where requests refused on behalf of a region count as the region's. Let ``G`` be the
    regions that gained, ``O`` the others, ``q1``, ``q2`` the positions averaged over the requests
    of either window::

        gain = d2(G) - d1(G)
             <= (1 + band) q2(G) - (q1(all) - (1 + band) q1(O)) + slack
              = (1 + band) (q2(G) - q1(G)) + band q1(all) + slack
             <= (1 + band) move + band + slack
             <= 0.45 cap + 0.1 cap + slack

    since two requests of adjacent windows are at most two windows apart, and ``move`` is what the
    plan moves in two windows and the clock skew. ``slack`` is ``1 + 2 debt`` for each region and
    entry over the window's requests. ``2 debt`` is 0.3 of the cap of the requests that a window is
    expected to have, all regions together: 0.3 cap, if requests come evenly (when they suddenly
    stop, up to ``MAX_OVERDRAFT`` requests per region and entry may be over). The remaining 0.05
    covers the terms of 1: it does not suffice if a window has fewer than ``20 * entries * regions /
    cap`` requests.

    If only requests that were sent count, a region that was lost for ``x`` of the first window got
    ``x q1`` less, which is at most ``return_share`` if requests come evenly: 0.1 cap more.

    **Fleet.** The bound holds for shares within a set (all splits within the band around ``q``)
    that is convex and, while no region is lost, the same for all entries up to the skew. Any mix of
    entries is within it, so callers that move from one entry to another, and entries that restart,
    add nothing. While regions are lost or recover, ``q`` differs between entries by at most the
    lost share ``L``, and a change of the callers' mix by ``m`` (total variation; one of twelve
    entries restarting is 1/12) adds up to ``m * L``. A ``start`` from a peer avoids this for
    restarts.

    :param service: rules of the service in force.
    :param planned: planned shares now.
    :param now: monotonic time in seconds.
    :param start: shares of a peer's limiter, if known; otherwise the planned shares are used.
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
        self._cap_parts = split_cap(service)
        self._advanced_at = now
        self._request_count = 0
        self._requests_per_s = 0.0
        self._max_credit = 2.0
        self._max_debt = 1.0
        self._refusals = _CreditAccount(0.0)
        self._refusals.credit = 0.0
        self._account_by_region: t.Dict[RegionId, _CreditAccount] = {}
        for region, share in (planned if start is None else start).items():
            self._account_by_region[region] = _CreditAccount(share)
        self._set_credit_rates()

    @property
    def shares(self) -> Shares:
        """Current share of each region; requests for what is missing to 1 are refused."""
        return {region: account.share for region, account in self._account_by_region.items()}

    def advance(
        self,
        service: Service,
        planned: t.Mapping[RegionId, float],
        serving: t.Container[RegionId],
        now: float,
    ) -> None:
        """Advances to ``now``; to be called every second or more often.

        :param service: rules in force.
        :param planned: planned shares now.
        :param serving: regions that can serve.
        """
        seconds = max(0.0, now - self._advanced_at)
        self._advanced_at = max(now, self._advanced_at)
        if service is not self._service:
            self._service = service
            self._cap_parts = split_cap(service)
        for region in planned:
            if region not in self._account_by_region:
                self._account_by_region[region] = _CreditAccount(0.0)
        self._measure_rate(seconds)
        for region, account in self._account_by_region.items():
            self._update_serving(account, region in serving)
            self._update_refusal_share(account, seconds)
        self._fade_lost(seconds)
        self._move(self._goal(planned), self._cap_parts.rate_per_s * seconds)
        self._set_credit_rates()

    def count_request(self) -> None:
        """Counts one request of a caller, before :meth:`allowed_regions` is called for it."""
        self._request_count += 1
        for account in self._account_by_region.values():
            account.credit = min(account.credit + account.credit_per_request, self._max_credit)
        refusals = self._refusals
        refusals.credit = min(refusals.credit + refusals.credit_per_request, self._max_credit)

    def discount_request(self) -> None:
        """Undoes :meth:`count_request` for a request that will be counted again."""
        self._request_count -= 1
        for account in self._account_by_region.values():
            account.credit -= account.credit_per_request
        self._refusals.credit -= self._refusals.credit_per_request

    def allowed_regions(self, retry: bool = False) -> t.List[RegionId]:
        """Returns the regions that the request may go to.

        :param retry: whether the request was sent to a region before; then a region needs a
            credit of at least 1.
        """
        required_credit = 1.0
        if not retry:
            required_credit = min(1.0, max(self._refusals.credit, *self._credits()))
        regions = []
        for region, account in self._account_by_region.items():
            credit = account.credit
            if account.serving and credit >= required_credit and credit > 0:
                regions.append(region)
        return regions

    def overdraft_regions(self) -> t.List[RegionId]:
        """Returns the regions that the request may go to if no allowed one has a free slot.

        Their credit goes into debt, so later requests get less of them.
        """
        regions = []
        for region, account in self._account_by_region.items():
            if account.serving and account.share > 0 and account.credit > 1 - self._max_debt:
                regions.append(region)
        return regions

    def is_allowed(self, region: RegionId, retry: bool = False) -> bool:
        """Returns whether the request may go to ``region``."""
        return region in self.allowed_regions(retry)

    def is_probe_allowed(self, region: RegionId) -> bool:
        """Returns whether one request may test whether a lost region has recovered.

        It is charged like any other request; a lost region has the credit of its fading share, and
        earns one request per window after that.
        """
        return (
            self._account_by_region[region].credit >= 1
            if region in self._account_by_region
            else False
        )

    def charge(self, region: RegionId) -> None:
        """Counts the request as sent to ``region``, which must be allowed."""
        account = self._account_by_region[region]
        account.credit -= 1.0
        account.sent += 1

    def refund(self, region: RegionId) -> None:
        """Counts the request that was last charged to ``region`` as not sent."""
        account = self._account_by_region[region]
        account.credit += 1.0
        account.sent -= 1

    def count_refused(self) -> t.Optional[RegionId]:
        """Counts the request as refused, on behalf of the region with the largest credit.

        :return: that region, which is lost or full; ``None`` if the refusals have the largest
            credit, since no region may take the request yet.
        """
        account = self._refusals
        name: t.Optional[RegionId] = None
        for region, other in self._account_by_region.items():
            if other.credit > account.credit:
                account = other
                name = region
        if account.credit > 0:
            account.credit -= 1.0
        account.refused += 1
        return name

    def retry_after_s(self) -> float:
        """Returns the seconds after which requests that no region may take yet find one."""
        placed = 0.0
        for account in self._account_by_region.values():
            if account.serving:
                placed += account.share
        rate = max(self._cap_parts.rate_per_s, EPSILON)
        return min(max((1 - placed) / rate, 0.1), self._service.shift_window_s)

    def _measure_rate(self, seconds: float) -> None:
        if seconds <= 0:
            return
        rate = self._request_count / seconds
        self._request_count = 0
        window = self._service.shift_window_s
        self._requests_per_s += min(1.0, seconds / window) * (rate - self._requests_per_s)
        requests = window * self._requests_per_s
        overdraft = self._cap_parts.overdraft * requests / max(1, len(self._account_by_region))
        self._max_debt = max(1.0, min(overdraft, MAX_OVERDRAFT) / 2)
        self._max_credit = 1 + self._max_debt

    def _credits(self) -> t.List[float]:
        return [account.credit for account in self._account_by_region.values()]

    def _share_on_return(self, lost: float) -> float:
        if lost <= 1:
            return self._cap_parts.return_share / max(lost, EPSILON)
        return self._cap_parts.return_share * max(0.0, 2 - lost)

    def _update_serving(self, account: _CreditAccount, serving: bool) -> None:
        if account.serving and not serving and account.served_windows >= 1:
            account.lost_windows = 0.0
        if serving and not account.serving:
            account.served_windows = 0.0
        account.serving = serving

    def _update_refusal_share(self, account: _CreditAccount, seconds: float) -> None:
        requested = account.sent + account.refused
        if requested == 0 or seconds <= 0:
            return
        weight = min(1.0, seconds / FULL_MEMORY_S)
        account.refusal_share += weight * (account.refused / requested - account.refusal_share)
        account.sent = account.refused = 0

    def _fade_lost(self, seconds: float) -> None:
        for account in self._account_by_region.values():
            windows = seconds / self._service.shift_window_s
            if account.serving:
                account.served_windows += windows
                continue
            account.lost_windows += windows
            account.share = min(account.share, self._share_on_return(account.lost_windows))
            account.credit = min(account.credit + windows, 2.0)

    def _goal(self, planned: t.Mapping[RegionId, float]) -> Shares:
        served = {
            region: share
            for region, share in planned.items()
            if self._account_by_region[region].serving
        }
        normalised_shares = normalised(served)
        goal: Shares = {}
        for region, share in normalised_shares.items():
            account = self._account_by_region[region]
            if account.refusal_share > FULL_REFUSAL_SHARE:
                goal[region] = min(share, account.share) * (1 - account.refusal_share)
        rest = 1 - sum(goal.values())
        uncongested = normalised(
            {r: share for r, share in normalised_shares.items() if r not in goal}
        )
        for region, share in uncongested.items():
            goal[region] = rest * share
        return goal

    def _move(self, goal: Shares, budget: float) -> None:
        wanted = {}
        for region, share in goal.items():
            account = self._account_by_region[region]
            if share > account.share:
                wanted[region] = share - account.share
        total_wanted = sum(wanted.values())
        if total_wanted <= EPSILON:
            return
        part = min(1.0, budget / total_wanted)
        for region, share in wanted.items():
            self._account_by_region[region].share += share * part
        self._lower(goal, sum(account.share for account in self._account_by_region.values()) - 1)

    def _lower(self, goal: Shares, excess: float) -> None:
        if excess <= 0:
            return
        above = {}
        for region, account in self._account_by_region.items():
            if account.share > goal.get(region, 0.0):
                above[region] = account.share - goal.get(region, 0.0)
        total_above = sum(above.values())
        if total_above <= 0:
            return
        part = min(1.0, excess / total_above)
        for region, share in above.items():
            self._account_by_region[region].share -= share * part

    def _set_credit_rates(self) -> None:
        total = 0.0
        for account in self._account_by_region.values():
            total += account.share
            account.credit_per_request = account.share * (1 + self._cap_parts.band)
        self._refusals.credit_per_request = max(0.0, 1 - total)
