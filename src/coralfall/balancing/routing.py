"""Routing: chooses the target of a request among those with a free slot.

A policy ranks the targets by cost; the shift limiter and target health restrict the choice.
"""

import abc
import typing as t

import msgspec

from ..bundles.bundle import Service, Target
from ..exceptions import RefusedError
from ..ids import PolicyName, RegionId, ServiceId, TargetId, ZoneId
from .health import ServiceHealth
from .refusals import RefusalReason
from .shift import ShiftLimiter

#: Interval in seconds for updating slowly changing values (load, latency, shares).
REFRESH_S = 0.05
#: Resolution in steps with which the headroom policy compares loads.
HEADROOM_STEPS = 20
#: Fraction of its latency added to the cost of a fully loaded target.
LOAD_PENALTY = 0.5


class Candidate(msgspec.Struct, kw_only=True, eq=False):
    """A target as seen by the policies."""

    target_id: TargetId
    region: RegionId
    zone: ZoneId
    slots: int
    #: This entry's requests in flight on the target.
    in_flight: int = 0
    #: Slots of the target that this entry may use now.
    free: int = 0
    #: Estimated share of the target's slots in use.
    load: float = 0.0
    #: Mean of ``load`` over the region's targets.
    region_load: float = 0.0
    #: Expected seconds until an answer, including network time.
    latency_s: float = 0.0
    #: Whether the target may get only probes.
    suspect: bool = False


class Policy(abc.ABC):
    """Ranks the targets of a service by one objective.

    A custom policy defines the cost; the target with the lowest one is chosen::

        class Cheapest(Policy):
            def cost(self, candidate):
                return price_by_region[candidate.region]
    """

    @abc.abstractmethod
    def cost(self, candidate: Candidate) -> float:
        """Returns the cost of sending a request to the candidate, in any unit."""

    def rank(self, candidates: t.Iterable[Candidate]) -> t.List[Candidate]:
        """Returns the candidates, best first; equal ones keep their order."""
        return sorted(candidates, key=self.cost)


class LatencyFirst(Policy):
    """Prefers the earliest answer by measured latency, with a penalty for load."""

    def cost(self, candidate: Candidate) -> float:
        return candidate.latency_s * (1 + LOAD_PENALTY * candidate.load)


class HeadroomFirst(Policy):
    """Prefers the region with the most free share, then the target, then the earliest answer."""

    def cost(self, candidate: Candidate) -> float:
        region_step = int(candidate.region_load * HEADROOM_STEPS)
        target_step = int(candidate.load * HEADROOM_STEPS)
        return region_step * 1000 + target_step + min(candidate.latency_s, 0.9)


_POLICY_BY_NAME: t.Dict[PolicyName, t.Type[Policy]] = {
    PolicyName.LATENCY: LatencyFirst,
    PolicyName.HEADROOM: HeadroomFirst,
}


def policy_for(name: PolicyName) -> Policy:
    """Returns the policy with the name that a bundle states."""
    return _POLICY_BY_NAME[name]()


class Router:
    """Chooses targets for the requests of one service on one entry.

    For each request of a caller, call :meth:`count_request`, then :meth:`choose` until it returns a
    target or the request is given up, which :meth:`count_refused` records.

    :param service: rules in force.
    :param shift_limiter: enforces the shift cap.
    :param health: health of the service's targets.
    """

    def __init__(
        self,
        service_id: ServiceId,
        service: Service,
        shift_limiter: ShiftLimiter,
        health: ServiceHealth,
        now: float,
    ) -> None:
        self.service_id = service_id
        self.shift_limiter = shift_limiter
        self.health = health
        self.candidate_by_id: t.Dict[TargetId, Candidate] = {}
        self._service = service
        self._policy = policy_for(service.policy)
        self._refreshed_at = now

    def set_targets(self, targets_by_id: t.Mapping[TargetId, Target], now: float) -> None:
        """Sets the targets; those that are leaving must be left out."""
        self.health.set_targets(targets_by_id, now)
        for target_id in list(self.candidate_by_id):
            if target_id not in targets_by_id:
                del self.candidate_by_id[target_id]
        for target_id, target in targets_by_id.items():
            known = self.candidate_by_id.get(target_id)
            self.candidate_by_id[target_id] = Candidate(
                target_id=target_id,
                region=target.region,
                zone=target.zone,
                slots=target.slots,
                in_flight=0 if known is None else known.in_flight,
            )
        self._update_candidates(0.0, now)

    def refresh(
        self, service: Service, planned: t.Mapping[RegionId, float], prior: float, now: float
    ) -> None:
        """Updates loads, latencies and shares if that is due; to be called often.

        :param service: rules in force.
        :param planned: planned shares now.
        :param prior: share of its own slots of the service that this entry uses.
        """
        if not self.is_refresh_due(now):
            return
        self._refreshed_at = now
        if service is not self._service:
            self._service = service
            self._policy = policy_for(service.policy)
        self.health.refresh(now)
        self.shift_limiter.advance(service, planned, self.health.serving_regions, now)
        self._update_candidates(prior, now)

    @property
    def policy_name(self) -> PolicyName:
        """Name of the policy in force."""
        return self._service.policy

    def is_refresh_due(self, now: float) -> bool:
        """Returns whether :meth:`refresh` is due; if not, its arguments need not be computed."""
        return now - self._refreshed_at >= REFRESH_S

    def count_request(self) -> None:
        """Counts a request of a caller, once no matter how often it is tried."""
        self.shift_limiter.count_request()

    def choose(
        self,
        free_by_id: t.Mapping[TargetId, int],
        tried: t.Collection[TargetId],
        now: float,
        probe: bool = True,
    ) -> Candidate:
        """Returns the target for a request, which counts as sent there.

        :param free_by_id: slots that this entry may use now, by target.
        :param tried: targets that the request was sent to before.
        :param probe: whether the request may be a probe of a suspect target.
        :raises RefusedError: if no target may take the request now.
        """
        allowed_regions = self.shift_limiter.allowed_regions(bool(tried))
        best = self._find_best(allowed_regions, free_by_id, tried, now, probe)
        if best is None and not tried:
            best = self._find_best(
                self.shift_limiter.overdraft_regions(), free_by_id, tried, now, False
            )
        if best is None:
            raise self._refusal(allowed_regions)
        return self._count_sent(best)

    def undo_choice(self, candidate: Candidate) -> None:
        """Counts a request as not sent to the target that was chosen for it."""
        self.shift_limiter.refund(candidate.region)
        self.count_finished(candidate.target_id)

    def undo_request(self, region: RegionId, is_first: bool) -> None:
        """Counts a request as not sent to a region after all, so that it can be chosen for anew.

        :param is_first: whether :meth:`count_request` was called for it and will be again.
        """
        self.shift_limiter.refund(region)
        if is_first:
            self.shift_limiter.discount_request()

    def count_refused(self) -> None:
        """Counts a request as refused before it reached any target."""
        self.shift_limiter.count_refused()

    def count_finished(self, target_id: TargetId) -> None:
        """Counts a request as finished; its result goes to :attr:`health`."""
        candidate = self.candidate_by_id.get(target_id)
        if candidate is not None and candidate.in_flight > 0:
            candidate.in_flight -= 1
            candidate.load = max(0.0, candidate.load - 1 / candidate.slots)

    def _find_best(
        self,
        regions: t.Collection[RegionId],
        free_by_id: t.Mapping[TargetId, int],
        tried: t.Collection[TargetId],
        now: float,
        probe: bool,
    ) -> t.Optional[Candidate]:
        best: t.Optional[Candidate] = None
        best_cost = 0.0
        for target_id, free in free_by_id.items():
            if free <= 0 or target_id in tried:
                continue
            candidate = self.candidate_by_id.get(target_id)
            if candidate is None:
                continue
            if candidate.suspect:
                if probe and self._may_probe(candidate, now):
                    return candidate
                continue
            if candidate.region not in regions:
                continue
            cost = self._policy.cost(candidate)
            if best is None or cost < best_cost:
                best = candidate
                best_cost = cost
        return best

    def _may_probe(self, candidate: Candidate, now: float) -> bool:
        if not self.health.is_probe_due(candidate.target_id, now):
            return False
        if not self.shift_limiter.is_probe_allowed(candidate.region):
            return False
        self.health.health_by_target[candidate.target_id].start_probe(now)
        return True

    def _count_sent(self, candidate: Candidate) -> Candidate:
        self.shift_limiter.charge(candidate.region)
        candidate.in_flight += 1
        candidate.load += 1 / candidate.slots
        return candidate

    def busy_error(self, reason: RefusalReason = RefusalReason.NO_SLOT) -> RefusedError:
        """Returns the error for a request that found no free slot in time."""
        message = "every target that may take the request is busy; retry later"
        return RefusedError(
            message, self._busy_retry_after_s(), service=self.service_id, reason=reason.value
        )

    def _refusal(self, allowed_regions: t.Collection[RegionId]) -> RefusedError:
        if allowed_regions:
            return self.busy_error()
        message = "no region may take more of the service's requests yet; retry later"
        return RefusedError(
            message,
            self.shift_limiter.retry_after_s(),
            service=self.service_id,
            reason=RefusalReason.SHIFT_CAP.value,
        )

    def _busy_retry_after_s(self) -> float:
        seconds = 0.05
        for candidate in self.candidate_by_id.values():
            seconds = max(seconds, candidate.latency_s)
        return min(seconds, 1.0)

    def _update_candidates(self, prior: float, now: float) -> None:
        loads_by_region: t.Dict[RegionId, t.List[float]] = {}
        for target_id, candidate in self.candidate_by_id.items():
            health = self.health.health_by_target[target_id]
            own_load = candidate.in_flight / max(1, candidate.slots)
            candidate.load = health.load(own_load, prior, now)
            candidate.latency_s = self.health.expected_latency_s(target_id, now)
            candidate.suspect = not self.health.is_usable(target_id, now)
            loads_by_region.setdefault(candidate.region, []).append(candidate.load)
        for candidate in self.candidate_by_id.values():
            loads = loads_by_region[candidate.region]
            candidate.region_load = sum(loads) / len(loads)
