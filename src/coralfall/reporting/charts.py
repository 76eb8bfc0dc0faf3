"""Charts of the report as SVG; colours come from the page's style sheet by class."""

import math
import typing as t

from .burn import WINDOWS_S
from .markup import Element, add
from .report_text import burn_text, latency_text, limit_text

if t.TYPE_CHECKING:
    from .burn import BurnReport
    from .fleet_report import Headroom

#: Sizes in units of the SVG: of a chart, its rows, and what stands beside the bars.
_WIDTH = 320
_ROW = 24
_LABEL = 44
_VALUE = 64
_PLOT = _WIDTH - _LABEL - _VALUE
_BAR = 10
#: Burn at the right end of the bars, unless one is higher.
_LEAST_BURN_SCALE = 2.0
#: Latency at the left end of the scale, in seconds.
_LEAST_LATENCY_S = 0.001


def grade_burn(burn: float) -> str:
    """Class of a burn rate: above 1 the budget won't last the window."""
    if burn > 1.0:
        return "bad"
    return "warn" if burn > 0.5 else "good"


def grade_share(share: t.Optional[float]) -> str:
    """Class of a share that is left, of a budget or of slots."""
    if share is None or share <= 0.1:
        return "bad"
    return "warn" if share <= 0.3 else "good"


def add_burn_chart(parent: Element, burn: "BurnReport") -> None:
    """Bars of the burn in each window, against the line at 1."""
    rates = burn.burn_by_window
    scale = max(_LEAST_BURN_SCALE, max(rates.values(), default=0.0))
    told = ", ".join(f"{name}: {burn_text(rate)}" for name, rate in rates.items())
    svg = _add_svg(parent, len(WINDOWS_S) * _ROW + 18, f"Burn rate by window; {told}")
    for row, name in enumerate(WINDOWS_S):
        rate = rates[name]
        top = row * _ROW
        _add_row(svg, top, name, burn_text(rate))
        _add_track(svg, top)
        _add_bar(svg, top, rate / scale, grade_burn(rate))
    at_one = _LABEL + _PLOT / scale
    bottom = len(WINDOWS_S) * _ROW
    add(svg, "line", class_="limit", x1=at_one, x2=at_one, y1=2, y2=bottom)
    add(svg, "text", "1 = spends the budget", class_="note", x=_LABEL, y=bottom + 13)


def add_latency_chart(parent: Element, burn: "BurnReport") -> None:
    """Percentiles on a logarithmic scale, against the objective."""
    limit_s = burn.objective.latency_ms / 1000
    values = {"p50": burn.p50_s, "p99": burn.p99_s, "p99.9": burn.p999_s}
    known = [value for value in values.values() if value is not None]
    longest = max([limit_s * 2, *known])
    told = ", ".join(f"{name}: {latency_text(value)}" for name, value in values.items())
    svg = _add_svg(parent, len(values) * _ROW + 18, f"Latency; {told}")
    for row, (name, value) in enumerate(values.items()):
        top = row * _ROW
        _add_row(svg, top, name, latency_text(value))
        _add_track(svg, top)
        if value is not None:
            grade = "bad" if value > limit_s else "plain"
            _add_bar(svg, top, _position(value, longest), grade)
    at_limit = _LABEL + _PLOT * _position(limit_s, longest)
    bottom = len(values) * _ROW
    add(svg, "line", class_="limit", x1=at_limit, x2=at_limit, y1=2, y2=bottom)
    text = f"objective {limit_text(limit_s)}, logarithmic scale"
    add(svg, "text", text, class_="note", x=_LABEL, y=bottom + 13)


def add_headroom_bar(parent: Element, headroom: "Headroom", most_usable: int) -> None:
    """One bar of a region: in flight within usable, to the scale of the largest region."""
    width, height = 640, 22
    scale = width / max(1, most_usable, headroom.in_flight)
    told = f"{headroom.in_flight} in flight of {headroom.usable} usable slots"
    svg = add(
        parent,
        "svg",
        class_="wide",
        viewBox=f"0 0 {width} {height}",
        role="img",
        preserveAspectRatio="none",
    )
    svg.set("aria-label", told)
    free = add(svg, "rect", class_="track free", x=0, y=2, height=18, rx=3)
    free.set("width", f"{headroom.usable * scale:.1f}")
    used = add(svg, "rect", class_=f"bar {grade_share(headroom.free_share)}", x=0, y=2, height=18)
    used.set("width", f"{headroom.in_flight * scale:.1f}")
    used.set("rx", "3")


def add_meter(parent: Element, share: t.Optional[float], grade: str) -> None:
    """A small bar of a share from 0 to 1; what it shows stands beside it in words."""
    filled = min(max(share or 0.0, 0.0), 1.0) * 100
    meter = add(parent, "div", class_="meter", aria_hidden="true")
    add(meter, "div", class_=f"fill {grade}", style=f"width:{filled:.1f}%")


def _add_svg(parent: Element, height: int, told: str) -> Element:
    svg = add(parent, "svg", class_="chart", viewBox=f"0 0 {_WIDTH} {height}", role="img")
    svg.set("aria-label", told)
    return svg


def _add_row(svg: Element, top: int, label: str, value: str) -> None:
    baseline = top + _ROW / 2 + 4
    add(svg, "text", label, class_="label", x=0, y=baseline)
    add(svg, "text", value, class_="value", x=_WIDTH, y=baseline, text_anchor="end")


def _add_track(svg: Element, top: int) -> None:
    y = top + (_ROW - _BAR) / 2
    add(svg, "rect", class_="track", x=_LABEL, y=y, width=_PLOT, height=_BAR, rx=3)


def _add_bar(svg: Element, top: int, share: float, grade: str) -> None:
    y = top + (_ROW - _BAR) / 2
    width = _PLOT * min(max(share, 0.0), 1.0)
    add(svg, "rect", class_=f"bar {grade}", x=_LABEL, y=y, width=width, height=_BAR, rx=3)


def _position(seconds: float, longest: float) -> float:
    span = math.log(longest / _LEAST_LATENCY_S)
    return math.log(max(seconds, _LEAST_LATENCY_S) / _LEAST_LATENCY_S) / max(span, 1e-9)
