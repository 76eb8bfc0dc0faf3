"""Merges what entries say of themselves into the report over all of them."""

import typing as t

import msgspec

from ..bundles.bundle import Objective
from ..bundles.rollout_status import PartnerStatus
from ..ids import BundleVersion, EntryId, PartnerId, RegionId, ServiceId, TargetId, TargetState
from .burn import BurnReport, merge_burns
from .fleet_report import (
    DrainSummary,
    EntryReport,
    FleetReport,
    Headroom,
    RegionReport,
    ServiceReport,
    TargetReport,
    make_headroom,
)
from .status import DrainStatus, EntryStatus, HeardStatus, TargetStatus

if t.TYPE_CHECKING:
    from .operators_client import Asked

#: Seconds for which a heartbeat says that its sender lags; neighbours change, so many are older.
FRESH_S = 5.0
#: Least time since an entry's start by which its use of the processor is divided, in seconds.
_LEAST_STARTED_S = 0.001

ServiceKey = t.Tuple[PartnerId, ServiceId]


def merge_statuses(
    asked: "t.Sequence[Asked]",
    partners: t.Sequence[PartnerStatus],
    at: float,
    platform_error: t.Optional[str] = None,
) -> FleetReport:
    """The report from what the entries said.

    :param asked: all entries of the roster, those that did not answer included.
    :param partners: versions in force and staged, by the platform.
    :param at: platform's wall time.
    :param platform_error: why the platform could not be read, if so.
    :raises StatusError: if what an entry counted can't be read.
    """
    statuses = [answer.status for answer in asked if answer.status is not None]
    targets = _merge_targets(statuses)
    return FleetReport(
        at=at,
        answered=len(statuses),
        platform_error=platform_error,
        partners=tuple(partners),
        services=_merge_services(statuses),
        regions=_sum_regions(targets),
        targets=targets,
        drains=_merge_drains(statuses),
        entries=_entry_reports(asked, statuses, _accepted_versions(statuses, partners)),
        outcomes=_sum_outcomes(statuses),
    )


def _merge_services(statuses: t.Sequence[EntryStatus]) -> t.Tuple[ServiceReport, ...]:
    burns_by_key: t.Dict[ServiceKey, t.List[BurnReport]] = {}
    newest_by_key: t.Dict[ServiceKey, t.Tuple[BundleVersion, Objective]] = {}
    for status in statuses:
        for partner, burn_by_service in status.burns.items():
            version = status.versions[partner].in_force
            for service, burn in burn_by_service.items():
                key = (partner, service)
                burns_by_key.setdefault(key, []).append(burn)
                known = newest_by_key.get(key)
                if known is None or version > known[0]:
                    newest_by_key[key] = (version, burn.objective)
    reports = []
    for key, burns in sorted(burns_by_key.items()):
        partner, service = key
        burn = merge_burns(burns, newest_by_key[key][1])
        reports.append(ServiceReport(partner=partner, service=service, burn=burn))
    return tuple(reports)


def _merge_targets(statuses: t.Sequence[EntryStatus]) -> t.Tuple[TargetReport, ...]:
    seen_by_id: t.Dict[TargetId, t.List[TargetStatus]] = {}
    for status in statuses:
        for target in status.targets:
            seen_by_id.setdefault(target.target_id, []).append(target)
    reports = []
    for target_id, seen in sorted(seen_by_id.items()):
        first = seen[0]
        reports.append(
            TargetReport(
                target_id=target_id,
                partner=first.partner,
                service=first.service,
                region=first.region,
                state=_strictest(seen),
                headroom=make_headroom(
                    usable=min(target.usable for target in seen),
                    owned=sum(target.owned for target in seen),
                    in_flight=sum(target.in_flight for target in seen),
                ),
                suspected_by=sum(target.suspect for target in seen),
            )
        )
    return tuple(reports)


def _strictest(seen: t.Sequence[TargetStatus]) -> TargetState:
    states = {target.state for target in seen}
    for state in (TargetState.LEAVING, TargetState.JOINING):
        if state in states:
            return state
    return TargetState.ACTIVE


def _sum_regions(targets: t.Sequence[TargetReport]) -> t.Tuple[RegionReport, ...]:
    headrooms_by_region: t.Dict[RegionId, t.List[Headroom]] = {}
    for target in targets:
        headrooms_by_region.setdefault(target.region, []).append(target.headroom)
    reports = []
    for region, headrooms in sorted(headrooms_by_region.items()):
        headroom = make_headroom(
            usable=sum(headroom.usable for headroom in headrooms),
            owned=sum(headroom.owned for headroom in headrooms),
            in_flight=sum(headroom.in_flight for headroom in headrooms),
        )
        reports.append(RegionReport(region=region, headroom=headroom))
    return tuple(reports)


def _merge_drains(statuses: t.Sequence[EntryStatus]) -> t.Tuple[DrainSummary, ...]:
    seen_by_id: t.Dict[TargetId, t.List[DrainStatus]] = {}
    for status in statuses:
        for drain in status.drains:
            seen_by_id.setdefault(drain.target_id, []).append(drain)
    summaries = []
    for target_id, seen in sorted(seen_by_id.items()):
        times = [drain.drained_s for drain in seen if drain.drained_s is not None]
        summaries.append(
            DrainSummary(
                target_id=target_id,
                in_flight=sum(drain.in_flight for drain in seen),
                age_s=max(drain.age_s for drain in seen),
                drained_s=max(times) if len(times) == len(seen) else None,
                entries=len(seen),
            )
        )
    return tuple(summaries)


def _accepted_versions(
    statuses: t.Sequence[EntryStatus], partners: t.Sequence[PartnerStatus]
) -> t.Dict[PartnerId, BundleVersion]:
    """The newest accepted versions that the platform or any entry knows of."""
    accepted: t.Dict[PartnerId, BundleVersion] = {}
    for partner in partners:
        if partner.in_force is not None:
            accepted[partner.partner] = partner.in_force.version
    for status in statuses:
        for partner_id, version in status.versions.items():
            known = accepted.get(partner_id, BundleVersion(0))
            accepted[partner_id] = max(known, version.accepted)
    return accepted


def _entry_reports(
    asked: "t.Sequence[Asked]",
    statuses: t.Sequence[EntryStatus],
    accepted: t.Mapping[PartnerId, BundleVersion],
) -> t.Tuple[EntryReport, ...]:
    heard_by_id = _collect_heard(statuses)
    reports = []
    for answer in sorted(asked, key=lambda answer: answer.member.entry_id):
        member = answer.member
        heard = heard_by_id.get(member.entry_id, [])
        report = EntryReport(
            entry_id=member.entry_id,
            vm_id=member.vm_id,
            region=member.region,
            zone=member.zone,
            state=member.state,
            operator_address=member.operator_address,
            heard_s=min((heartbeat.age_s for heartbeat in heard), default=None),
            behind_by=sum(_is_behind(heartbeat) for heartbeat in heard),
            error=answer.error,
        )
        if answer.status is not None:
            report = _with_status(report, answer.status, accepted)
        reports.append(report)
    return tuple(reports)


def _is_behind(heartbeat: HeardStatus) -> bool:
    return heartbeat.behind and heartbeat.age_s <= FRESH_S


def _collect_heard(statuses: t.Sequence[EntryStatus]) -> t.Dict[EntryId, t.List[HeardStatus]]:
    """The last heartbeats of each member, one for each entry that heard it."""
    heard_by_id: t.Dict[EntryId, t.List[HeardStatus]] = {}
    for status in statuses:
        for member in status.members:
            if member.heard is not None:
                heard_by_id.setdefault(member.entry_id, []).append(member.heard)
    return heard_by_id


def _with_status(
    report: EntryReport, status: EntryStatus, accepted: t.Mapping[PartnerId, BundleVersion]
) -> EntryReport:
    in_force = {}
    staged = {}
    lags = False
    for partner, version in status.versions.items():
        in_force[partner] = version.in_force
        staged[partner] = version.staged
        lags = lags or version.in_force < accepted.get(partner, 0)
    return msgspec.structs.replace(
        report,
        membership=status.membership,
        lease=status.lease,
        ready=status.ready,
        platform_age_s=status.platform_age_s,
        in_force=in_force,
        staged=staged,
        lags=lags,
        resident_bytes=status.resident_bytes,
        processor_share=status.processor_s / max(status.started_s, _LEAST_STARTED_S),
        started_s=status.started_s,
    )


def _sum_outcomes(statuses: t.Sequence[EntryStatus]) -> t.Dict[str, int]:
    totals: t.Dict[str, int] = {}
    for status in statuses:
        for outcome, count in status.outcomes.items():
            totals[outcome] = totals.get(outcome, 0) + count
    return totals
