"""The report as text for terminals."""

import datetime
import typing as t

from ..ids import TargetState
from .burn import WINDOWS_S

if t.TYPE_CHECKING:
    from .fleet_report import EntryReport, FleetReport, Headroom, TargetReport

Row = t.Sequence[str]
#: Targets shown on a terminal: those that stand out, then those with the least room.
MAX_TARGETS = 12


def report_lines(report: "FleetReport") -> t.List[str]:
    """The whole report, a line each."""
    lines = [summary_text(report)]
    if report.platform_error is not None:
        lines.append(platform_text(report.platform_error))
    for partner in report.partners:
        version = "nothing" if partner.in_force is None else f"version {partner.in_force.version}"
        staged = "" if partner.staged is None else f", version {partner.staged.version} staged"
        lines.append(f"{partner.partner}: {version} in force{staged}")
    outcomes = ", ".join(f"{name} {count}" for name, count in report.outcomes.items())
    lines.append(f"requests since the entries started: {outcomes or 'none'}")
    lines += _section("services", _service_rows(report))
    lines += _section("regions", _region_rows(report))
    lines += _section("targets", _target_rows(report))
    hidden = len(report.targets) - MAX_TARGETS
    if hidden > 0:
        lines.append(f"  {hidden} more with as much room or more; --json and --html have all")
    lines += _section("drains", _drain_rows(report))
    lines += _section("entries", _entry_rows(report))
    return lines


def summary_text(report: "FleetReport") -> str:
    """How many entries answered, and when."""
    return f"{report.answered} of {len(report.entries)} entries answered, {time_text(report.at)}"


def platform_text(error: str) -> str:
    """That the report was made without the platform, and why."""
    return f"the platform can't be read ({error}); roster and versions are as the entries know them"


def time_text(seconds: float) -> str:
    """A wall time in UTC."""
    moment = datetime.datetime.fromtimestamp(seconds, tz=datetime.timezone.utc)
    return moment.strftime("%Y-%m-%d %H:%M:%S UTC")


def latency_text(seconds: t.Optional[float]) -> str:
    """A latency with its unit, ``-`` if there is none."""
    if seconds is None:
        return "-"
    if seconds >= 1:
        return f"{seconds:.2f} s"
    milliseconds = seconds * 1000
    return f"{milliseconds:.0f} ms" if milliseconds >= 10 else f"{milliseconds:.1f} ms"


def limit_text(seconds: float) -> str:
    """A limit that somebody stated, with its unit and without needless digits."""
    return f"{seconds:g} s" if seconds >= 1 else f"{seconds * 1000:g} ms"


def duration_text(seconds: t.Optional[float]) -> str:
    """A duration in seconds to days, ``-`` if there is none."""
    if seconds is None:
        return "-"
    if seconds < 90:
        return f"{seconds:.1f} s"
    if seconds < 2 * 3600:
        return f"{seconds / 60:.0f} min"
    if seconds < 2 * 86400:
        return f"{seconds / 3600:.1f} h"
    return f"{seconds / 86400:.1f} d"


def share_text(share: t.Optional[float]) -> str:
    """A share from 0 to 1 in per cent, ``-`` if there is none."""
    return "-" if share is None else f"{share * 100:.1f} %"


def burn_text(burn: float) -> str:
    """A burn rate; 1 spends the budget exactly."""
    return f"{burn:.2f}" if burn < 10 else f"{burn:.0f}"


def versions_text(versions: t.Mapping[t.Any, int]) -> str:
    """Versions by partner in one cell."""
    return ", ".join(f"{partner} {version}" for partner, version in versions.items()) or "-"


def no_answer_text(entry: "EntryReport") -> str:
    """Why an entry did not answer, and whether its peers still hear it."""
    heard = "no entry has heard it"
    if entry.heard_s is not None:
        heard = f"an entry heard it {duration_text(entry.heard_s)} ago"
    return f"{' '.join((entry.error or '').split())}; {heard}"


def platform_age_text(entry: "EntryReport") -> str:
    """When the platform last answered an entry."""
    return "never" if entry.platform_age_s is None else f"{entry.platform_age_s:.1f} s ago"


def memory_text(count: int) -> str:
    """A number of bytes in megabytes."""
    return f"{count / 1e6:.0f} MB"


def _note_text(entry: "EntryReport") -> str:
    if entry.lags:
        return "lags"
    if not entry.ready:
        return "not ready"
    return f"behind for {entry.behind_by} entries" if entry.behind_by else ""


def _section(title: str, rows: t.Sequence[Row]) -> t.List[str]:
    if len(rows) < 2:
        return ["", f"{title}: none"]
    return ["", f"{title}:", *_align(rows)]


def _align(rows: t.Sequence[Row]) -> t.List[str]:
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    lines = []
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  " + "  ".join(cells).rstrip())
    return lines


def _service_rows(report: "FleetReport") -> t.List[Row]:
    burns = [f"burn {name}" for name in WINDOWS_S]
    head = ("service", "objective", "requests", "budget left", *burns, "p50", "p99", "p99.9")
    rows: t.List[Row] = [head]
    for service in report.services:
        burn = service.burn
        objective = burn.objective
        rows.append(
            (
                f"{service.partner}/{service.service}",
                f"{objective.availability * 100:g} % in {objective.latency_ms} ms",
                str(sum(burn.outcomes.values())),
                share_text(burn.budget_left),
                *[burn_text(burn.burn_by_window[name]) for name in WINDOWS_S],
                latency_text(burn.p50_s),
                latency_text(burn.p99_s),
                latency_text(burn.p999_s),
            )
        )
    return rows


def _headroom_cells(headroom: "Headroom") -> Row:
    return (
        str(headroom.usable),
        str(headroom.owned),
        str(headroom.in_flight),
        share_text(headroom.free_share),
    )


def _region_rows(report: "FleetReport") -> t.List[Row]:
    rows: t.List[Row] = [("region", "usable", "owned", "in flight", "free")]
    for region in report.regions:
        rows.append((region.region, *_headroom_cells(region.headroom)))
    return rows


def _target_rows(report: "FleetReport") -> t.List[Row]:
    head = ("target", "service", "region", "state", "usable", "owned", "in flight", "free")
    rows: t.List[Row] = [(*head, "suspected by")]
    for target in sorted(report.targets, key=_attention_order)[:MAX_TARGETS]:
        rows.append(
            (
                target.target_id,
                f"{target.partner}/{target.service}",
                target.region,
                target.state.value,
                *_headroom_cells(target.headroom),
                str(target.suspected_by),
            )
        )
    return rows


def _attention_order(target: "TargetReport") -> t.Tuple[bool, bool, float]:
    """Sorts suspected targets first, then those that join or leave, then the fullest."""
    unsuspected = not target.suspected_by
    unchanged = target.state is TargetState.ACTIVE
    free_share = target.headroom.free_share
    return unsuspected, unchanged, 0.0 if free_share is None else free_share


def _drain_rows(report: "FleetReport") -> t.List[Row]:
    rows: t.List[Row] = [("target", "marked", "in flight", "idle after", "told by")]
    for drain in report.drains:
        rows.append(
            (
                drain.target_id,
                f"{duration_text(drain.age_s)} ago",
                str(drain.in_flight),
                duration_text(drain.drained_s),
                f"{drain.entries} entries",
            )
        )
    return rows


def _entry_rows(report: "FleetReport") -> t.List[Row]:
    head = ("entry", "zone", "state", "lease", "in force", "platform", "memory", "core", "up")
    rows: t.List[Row] = [(*head, "note")]
    for entry in report.entries:
        if entry.error is not None:
            blanks = ("-",) * 6
            note = f"did not answer: {no_answer_text(entry)}"
            rows.append((entry.entry_id, entry.zone, entry.state.value, *blanks, note))
            continue
        rows.append(
            (
                entry.entry_id,
                entry.zone,
                entry.state.value,
                entry.lease,
                versions_text(entry.in_force),
                platform_age_text(entry),
                memory_text(entry.resident_bytes),
                share_text(entry.processor_share),
                duration_text(entry.started_s),
                _note_text(entry),
            )
        )
    return rows
