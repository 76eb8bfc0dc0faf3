"""What the commands ``coralfall bundle ...`` say of versions, as text for terminals."""

import datetime
import typing as t

from .bundle import short_digest

if t.TYPE_CHECKING:
    from .history import HistoryRow
    from .rollout_status import Status, VersionStatus


def status_lines(found: "Status") -> t.Iterator[str]:
    """What ``bundle status`` prints, a line each."""
    yield f"{found.entries} entries in the roster"
    for partner in found.partners:
        yield f"{partner.partner}:"
        yield f"  in force: {_version_text(partner.in_force)}"
        yield f"  staged:   {_version_text(partner.staged)}"
        for entry in partner.lagging:
            yield f"  lagging:  {entry.text()}"


def _version_text(version: t.Optional["VersionStatus"]) -> str:
    if version is None:
        return "nothing"
    times = f"submitted {_time(version.submitted_at)}"
    if version.accepted_at is not None:
        times += f", accepted {_time(version.accepted_at)}"
    return (
        f"version {version.version} by {version.author}, approved by {version.approver}, "
        f"{times} ({short_digest(version.digest)})"
    )


def history_lines(rows: t.Sequence["HistoryRow"]) -> t.Iterator[str]:
    """What ``bundle history`` prints, a line for each version; times in UTC."""
    for row in rows:
        accepted = "never" if row.accepted_at is None else _time(row.accepted_at)
        yield (
            f"{row.version:>6}  {short_digest(row.digest)}  {row.author} / {row.approver}  "
            f"submitted {_time(row.submitted_at)}  accepted {accepted}"
        )


def _time(seconds: t.Optional[float]) -> str:
    if seconds is None:
        return "unknown"
    moment = datetime.datetime.fromtimestamp(seconds, tz=datetime.timezone.utc)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")
