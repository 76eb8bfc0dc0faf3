"""Works out what an entry says of itself to operators."""

import math
import resource
import typing as t

from ..ids import BundleVersion, EntryId, Incarnation, PartnerId, RegionId, TargetState
from .status import (
    DrainStatus,
    EntryStatus,
    HeardStatus,
    HeldVersions,
    MemberStatus,
    RegionStatus,
    TargetStatus,
)

if t.TYPE_CHECKING:
    from ..cluster.node import Node
    from ..peering.peer_directory import PeerDirectory
    from ..process.clock import Clock
    from .service_levels import ServiceLevels


class StatusBuilder:
    """Gathers the status of an entry from its parts; changes none of them.

    :param entry_id: this entry.
    :param incarnation: of this process before it joins.
    :param clock: the VM's clocks; the entry counts as started now.
    :param node: its part in the fleet.
    :param directory: what its peers last said.
    :param levels: what became of its callers' requests.
    """

    def __init__(
        self,
        entry_id: EntryId,
        incarnation: Incarnation,
        clock: "Clock",
        node: "Node",
        directory: "PeerDirectory",
        levels: "ServiceLevels",
    ) -> None:
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._clock = clock
        self._started_at = clock.monotonic()
        self._node = node
        self._directory = directory
        self._levels = levels

    def build(self, ready: bool) -> EntryStatus:
        """The status now.

        :param ready: whether callers may be sent to the entry.
        """
        usage = resource.getrusage(resource.RUSAGE_SELF)
        platform_age_s = self._node.membership.platform_age()
        targets = self._targets()
        member = self._node.membership.member
        return EntryStatus(
            entry_id=self._entry_id,
            incarnation=self._incarnation if member is None else member.incarnation,
            membership=self._node.membership.state.value,
            lease=self._node.lease.state().value,
            lease_remaining_s=self._node.lease.remaining_s(),
            ready=ready,
            platform_age_s=platform_age_s if math.isfinite(platform_age_s) else None,
            roster_revision=self._node.roster.revision,
            versions=self._versions(),
            members=self._members(),
            regions=self._regions(targets),
            targets=targets,
            drains=self._drains(),
            burns=self._levels.reports(self._node.steering.served.bundle_by_partner),
            outcomes=self._levels.outcomes(),
            resident_bytes=resident_bytes(),
            processor_s=usage.ru_utime + usage.ru_stime,
            started_s=self._clock.monotonic() - self._started_at,
        )

    def _versions(self) -> t.Dict[PartnerId, HeldVersions]:
        versions = {}
        for partner, rollout in self._node.rollouts.items():
            versions[partner] = HeldVersions(
                in_force=rollout.in_force_version(),
                staged=rollout.staged_version(),
                accepted=self._accepted(partner),
            )
        return versions

    def _accepted(self, partner: PartnerId) -> BundleVersion:
        accepted = self._node.rollouts[partner].head.accepted
        return BundleVersion(0) if accepted is None else accepted.version

    def _members(self) -> t.Tuple[MemberStatus, ...]:
        members = []
        for member in self._node.roster.by_id.values():
            members.append(
                MemberStatus(
                    entry_id=member.entry_id,
                    vm_id=member.vm_id,
                    incarnation=member.incarnation,
                    region=member.region,
                    zone=member.zone,
                    site=member.site,
                    state=member.state,
                    caller_address=member.caller_address,
                    operator_address=member.operator_address,
                    heard=self._heard(member.entry_id),
                )
            )
        return tuple(members)

    def _heard(self, entry_id: EntryId) -> t.Optional[HeardStatus]:
        heard = self._directory.heard(entry_id)
        if heard is None:
            return None
        heartbeat = heard.heartbeat
        behind = heartbeat.roster_revision < self._node.roster.revision
        for partner in self._node.rollouts:
            behind = behind or heartbeat.accepted.get(partner, 0) < self._accepted(partner)
        return HeardStatus(
            age_s=self._clock.monotonic() - heard.at,
            roster_revision=heartbeat.roster_revision,
            accepted=heartbeat.accepted,
            platform_age_s=heartbeat.platform_age_s,
            behind=behind,
        )

    def _targets(self) -> t.Tuple[TargetStatus, ...]:
        now = self._clock.monotonic()
        bundles = self._node.steering.served.bundle_by_partner
        routers = self._node.steering.served.routers()
        targets = []
        for target_id, limit in self._node.steering.served.limits.items():
            bundle = bundles.get(limit.partner)
            target = None if bundle is None else bundle.targets.get(target_id)
            router = routers.get((limit.partner, limit.service))
            health = None if router is None else router.health.health_by_target.get(target_id)
            targets.append(
                TargetStatus(
                    target_id=target_id,
                    partner=limit.partner,
                    service=limit.service,
                    region=limit.region,
                    state=TargetState.LEAVING if target is None else target.state,
                    usable=limit.usable,
                    owned=self._node.slots.owned(target_id),
                    in_flight=self._node.slots.in_flight(target_id),
                    suspect=health is not None and health.seems_dead(now),
                )
            )
        return tuple(targets)

    def _regions(self, targets: t.Iterable[TargetStatus]) -> t.Tuple[RegionStatus, ...]:
        held_by_region = self._node.slots.held_by_region()
        usable_by_region: t.Dict[RegionId, int] = {}
        in_flight_by_region: t.Dict[RegionId, int] = {}
        for target in targets:
            region = target.region
            usable_by_region[region] = usable_by_region.get(region, 0) + target.usable
            in_flight = in_flight_by_region.get(region, 0) + target.in_flight
            in_flight_by_region[region] = in_flight
        regions = []
        for region, usable in sorted(usable_by_region.items()):
            regions.append(
                RegionStatus(
                    region=region,
                    usable=usable,
                    held=held_by_region.get(region, 0),
                    in_flight=in_flight_by_region[region],
                )
            )
        return tuple(regions)

    def _drains(self) -> t.Tuple[DrainStatus, ...]:
        now = self._clock.monotonic()
        drains = []
        for report in self._node.steering.served.drains.reports().values():
            drains.append(
                DrainStatus(
                    target_id=report.target_id,
                    in_flight=report.in_flight,
                    age_s=now - report.marked_at,
                    drained_s=report.seconds,
                )
            )
        return tuple(drains)


def resident_bytes() -> int:
    """Memory that this process holds, in bytes."""
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize()
