"""The report as one HTML page with plots, which needs nothing but itself."""

import importlib.resources
import typing as t

from ..ids import TargetState
from . import charts
from .burn import LONGEST_WINDOW
from .markup import Element, add, new, render
from .report_text import (
    burn_text,
    duration_text,
    limit_text,
    memory_text,
    no_answer_text,
    platform_age_text,
    platform_text,
    share_text,
    summary_text,
    versions_text,
)

if t.TYPE_CHECKING:
    from .burn import BurnReport
    from .fleet_report import EntryReport, FleetReport, Headroom, ServiceReport, TargetReport

_TITLE = "Coralfall service levels"
#: Style class of columns of numbers.
_NUMBER = "number"
_GRADE_BY_LEASE = {"held": "good", "frozen": "warn"}
_FOOTER = (
    "Counts begin when an entry starts and go back 6 hours at most; entries keep nothing when "
    "they are replaced. Latency is of the last 30 to 60 minutes, from the request's head to the "
    "last byte of its answer at the entry, with all entries' requests counted together. Refusals "
    "for want of room, unknown outcomes and late answers burn the budget; requests refused for "
    "their caller's own fault do not. In flight is what the entries that answered have under way."
)


def render_page(report: "FleetReport", refresh_s: t.Optional[float] = None) -> str:
    """The page.

    :param report: what it shows.
    :param refresh_s: seconds after which a browser loads the page anew.
    """
    root = new("html", lang="en")
    _add_head(root, refresh_s)
    main = add(add(root, "body"), "main")
    _add_header(main, report)
    _add_services(main, report)
    _add_regions(main, report)
    _add_drains(main, report)
    _add_entries(main, report)
    _add_targets(main, report)
    add(main, "footer", _FOOTER)
    return render(root)


def _add_head(root: Element, refresh_s: t.Optional[float]) -> None:
    head = add(root, "head")
    add(head, "meta", charset="utf-8")
    add(head, "meta", name="viewport", content="width=device-width, initial-scale=1")
    if refresh_s is not None:
        meta = add(head, "meta", content=max(1, round(refresh_s)))
        meta.set("http-equiv", "refresh")
    add(head, "title", _TITLE)
    add(head, "style", _style_sheet())


def _style_sheet() -> str:
    folder = importlib.resources.files(__package__)
    return folder.joinpath("templates", "report.css").read_text(encoding="utf-8")


def _add_header(main: Element, report: "FleetReport") -> None:
    header = add(main, "header")
    add(header, "h1", _TITLE)
    add(header, "p", summary_text(report), class_="soft")
    if report.platform_error is not None:
        add(header, "p", platform_text(report.platform_error), class_="grade warn wrap")
    tiles = add(main, "div", class_="tiles")
    missing = len(report.entries) - report.answered
    answered = f"{report.answered} / {len(report.entries)}"
    _add_tile(tiles, "Entries answered", answered, "bad" if missing else "good", "")
    for partner in report.partners:
        version = "none" if partner.in_force is None else f"v{partner.in_force.version}"
        staged = "nothing staged" if partner.staged is None else f"v{partner.staged.version} staged"
        lagging = len(partner.lagging)
        about = f"{staged}, {lagging} lagging" if lagging else staged
        name = f"In force, {partner.partner}"
        _add_tile(tiles, name, version, "warn" if lagging else "", about)
    _add_worst_tiles(tiles, report)


def _add_worst_tiles(tiles: Element, report: "FleetReport") -> None:
    if report.services:
        worst = max(report.services, key=lambda service: service.burn.burn_by_window["1h"])
        burn = worst.burn.burn_by_window["1h"]
        name = f"{worst.partner}/{worst.service}" if burn else "no service burns"
        _add_tile(tiles, "Fastest burn, 1h", burn_text(burn), charts.grade_burn(burn), name)
    shares = [(region.headroom.free_share or 0.0, region.region) for region in report.regions]
    if shares:
        share, region = min(shares)
        grade = charts.grade_share(share)
        _add_tile(tiles, "Least headroom", share_text(share), grade, f"region {region}")
    if report.drains:
        still = sum(drain.drained_s is None for drain in report.drains)
        about = f"of {len(report.drains)} known"
        _add_tile(tiles, "Drains under way", str(still), "warn" if still else "good", about)


def _add_tile(tiles: Element, name: str, number: str, grade: str, about: str) -> None:
    tile = add(tiles, "div", class_="tile")
    add(tile, "div", name, class_="name")
    add(tile, "div", number, class_=f"number grade {grade}".rstrip())
    add(tile, "div", about, class_="about")


def _add_section(main: Element, title: str, lead: str) -> Element:
    section = add(main, "section")
    add(section, "h2", title)
    add(section, "p", lead, class_="lead")
    return section


def _add_services(main: Element, report: "FleetReport") -> None:
    lead = "Objective, what is left of the 6-hour error budget, and how fast it is being spent."
    section = _add_section(main, "Services", lead)
    cards = add(section, "div", class_="cards")
    for service in report.services:
        _add_service(cards, service)


def _add_service(cards: Element, service: "ServiceReport") -> None:
    burn = service.burn
    objective = burn.objective
    card = add(cards, "article", class_="card")
    title = add(card, "div", class_="title")
    add(title, "h3", service.service)
    add(title, "span", service.partner, class_="soft")
    limit = limit_text(objective.latency_ms / 1000)
    goal = f"{objective.availability * 100:g} % answered within {limit}"
    add(card, "p", goal, class_="soft")
    _add_budget(card, burn)
    add(card, "h4", "Burn rate")
    charts.add_burn_chart(card, burn)
    add(card, "h4", "Latency")
    charts.add_latency_chart(card, burn)
    _add_outcomes(card, burn)


def _add_budget(card: Element, burn: "BurnReport") -> None:
    budget = add(card, "div", class_="budget")
    if not burn.counts_by_window[LONGEST_WINDOW].total:
        add(budget, "span", "no requests yet", class_="soft")
        return
    grade = charts.grade_share(burn.budget_left)
    charts.add_meter(budget, burn.budget_left, grade)
    text = f"{share_text(burn.budget_left)} left"
    if burn.budget_left < 0:
        text = f"{(1 - burn.budget_left) * 100:,.0f} % spent"
    _add_grade(budget, text, grade)


def _add_outcomes(card: Element, burn: "BurnReport") -> None:
    counts = [f"{count:,} {outcome}" for outcome, count in burn.outcomes.items() if count]
    if burn.faulty:
        counts.append(f"{burn.faulty:,} faulty")
    add(card, "p", " · ".join(counts) or "nothing asked", class_="soft counts")


class _Table:
    """A table in a card of its own.

    :param names: heads of the columns.
    :param class_by_column: style classes of columns, by position from 0.
    """

    def __init__(
        self, parent: Element, names: t.Sequence[str], class_by_column: t.Mapping[int, str]
    ) -> None:
        self._class_by_column = class_by_column
        table = add(add(parent, "div", class_="card scroll"), "table")
        self._add_cells(add(add(table, "thead"), "tr"), "th", names)
        self._body = add(table, "tbody")

    def add_row(self, texts: t.Sequence[str]) -> t.List[Element]:
        """A new last row; returns its cells."""
        return self._add_cells(add(self._body, "tr"), "td", texts)

    def _add_cells(self, row: Element, tag: str, texts: t.Sequence[str]) -> t.List[Element]:
        cells = []
        for column, text in enumerate(texts):
            cell = add(row, tag, text)
            if column in self._class_by_column:
                cell.set("class", self._class_by_column[column])
            cells.append(cell)
        return cells


def _headroom_texts(headroom: "Headroom") -> t.List[str]:
    return [str(headroom.in_flight), str(headroom.usable), str(headroom.owned)]


def _add_grade(cell: Element, text: str, grade: str) -> None:
    add(cell, "span", text, class_=f"grade {grade}")


def _add_regions(main: Element, report: "FleetReport") -> None:
    lead = "Requests in flight within the slots that all entries together may use."
    section = _add_section(main, "Regions", lead)
    names = ("region", "in flight of usable", "in flight", "usable", "owned", "free")
    classes = {1: "grow", 2: _NUMBER, 3: _NUMBER, 4: _NUMBER, 5: _NUMBER}
    table = _Table(section, names, classes)
    most = max((region.headroom.usable for region in report.regions), default=1)
    for region in report.regions:
        headroom = region.headroom
        cells = table.add_row([region.region, "", *_headroom_texts(headroom), ""])
        charts.add_headroom_bar(cells[1], headroom, most)
        grade = charts.grade_share(headroom.free_share)
        _add_grade(cells[5], share_text(headroom.free_share), grade)


def _add_targets(main: Element, report: "FleetReport") -> None:
    lead = "In flight of usable slots on each target; a full bar has no headroom left."
    section = _add_section(main, "Targets", lead)
    targets_by_service: t.Dict[str, t.List["TargetReport"]] = {}
    for target in report.targets:
        name = f"{target.partner}/{target.service}"
        targets_by_service.setdefault(name, []).append(target)
    for name, targets in sorted(targets_by_service.items()):
        add(section, "h3", name, class_="group")
        grid = add(section, "div", class_="targets")
        for target in targets:
            _add_target(grid, target)


def _add_target(grid: Element, target: "TargetReport") -> None:
    headroom = target.headroom
    cell = add(grid, "div", class_="target")
    title = add(cell, "div", class_="title")
    add(title, "span", target.target_id)
    add(title, "span", f"{headroom.in_flight} / {headroom.usable}", class_="soft")
    if headroom.usable:
        share = 1.0 if headroom.free_share is None else headroom.free_share
        charts.add_meter(cell, 1.0 - share, charts.grade_share(share))
    else:
        charts.add_meter(cell, 0.0, "plain")
    foot = add(cell, "div", class_="title")
    add(foot, "span", target.region, class_="soft")
    if target.suspected_by:
        _add_grade(foot, f"suspect at {target.suspected_by}", "bad")
    elif target.state is not TargetState.ACTIVE:
        _add_grade(foot, target.state.value, "warn")


def _add_drains(main: Element, report: "FleetReport") -> None:
    lead = "From the moment a target is marked as leaving until no entry has a request there."
    section = _add_section(main, "Drains", lead)
    if not report.drains:
        add(add(section, "div", class_="card"), "p", "No target is leaving.", class_="soft")
        return
    names = ("target", "state", "drain time", "in flight", "marked", "told by")
    table = _Table(section, names, {2: _NUMBER, 3: _NUMBER, 4: _NUMBER, 5: _NUMBER})
    for drain in report.drains:
        done = drain.drained_s is not None
        marked = f"{duration_text(drain.age_s)} ago"
        told = f"{drain.entries} entries"
        time = duration_text(drain.drained_s)
        cells = table.add_row([drain.target_id, "", time, str(drain.in_flight), marked, told])
        _add_grade(cells[1], "idle" if done else "draining", "good" if done else "warn")


def _add_entries(main: Element, report: "FleetReport") -> None:
    lead = "What each entry of the roster says of itself."
    section = _add_section(main, "Entries", lead)
    names = ("entry", "state", "zone", "lease", "in force", "platform seen", "memory", "core", "up")
    classes = {5: _NUMBER, 6: _NUMBER, 7: _NUMBER, 8: _NUMBER}
    table = _Table(section, names, classes)
    for entry in report.entries:
        _add_entry(table, entry)


def _add_entry(table: _Table, entry: "EntryReport") -> None:
    if entry.error is not None:
        cells = table.add_row([entry.entry_id, "", entry.zone, ""])
        _add_grade(cells[1], "no answer", "bad")
        cells[3].set("colspan", "6")
        cells[3].set("class", "wrap soft")
        cells[3].text = no_answer_text(entry)
        return
    texts = [entry.entry_id, "", entry.zone, "", "", platform_age_text(entry)]
    texts += [memory_text(entry.resident_bytes), share_text(entry.processor_share)]
    cells = table.add_row([*texts, duration_text(entry.started_s)])
    _add_grade(cells[1], entry.state.value if entry.ready else "not ready", _entry_grade(entry))
    _add_grade(cells[3], entry.lease, _GRADE_BY_LEASE.get(entry.lease, "bad"))
    note = f"{versions_text(entry.in_force)}{' (lags)' if entry.lags else ''}"
    _add_grade(cells[4], note, "warn" if entry.lags else "")


def _entry_grade(entry: "EntryReport") -> str:
    if not entry.ready:
        return "bad"
    return "good" if entry.state.value == "serving" else "warn"
