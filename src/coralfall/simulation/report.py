"""Report: what callers got in a simulation, as lines of text and as a page with a chart."""

import statistics
import typing as t

from ..reporting.markup import Element, add, new, render

if t.TYPE_CHECKING:
    from .score import Score, Share

_OUTCOMES = ("aim", "late", "refused", "failed")
#: Size of the chart, and the colours of its lines.
_WIDTH, _HEIGHT, _MARGIN = 720, 260, 36
_COLOURS = ("#1f5fa8", "#c2571a")


class Summary:
    """The scores of one scenario on several seeds.

    :param name: of the scenario.
    :param scores: one a seed.
    """

    def __init__(self, name: str, scores: t.Sequence["Score"]) -> None:
        self.name = name
        self.scores = scores

    @property
    def worths(self) -> t.List[float]:
        """Worth by seed."""
        return [score.worth for score in self.scores]

    @property
    def mean(self) -> float:
        """Mean worth."""
        return statistics.fmean(self.worths)

    def part_of(self, shares_of: "t.Callable[[Score], t.Mapping[str, Share]]", name: str) -> float:
        """Mean part of a kind or region that was earned."""
        return statistics.fmean([shares_of(score)[name].part for score in self.scores])

    def part_by_window(self) -> t.List[float]:
        """Mean part that was earned, by windows of two seconds."""
        windows = sorted(set.intersection(*[set(score.by_window) for score in self.scores]))
        return [
            statistics.fmean([score.by_window[window].part for score in self.scores])
            for window in windows
        ]

    def as_dict(self) -> t.Dict[str, t.Any]:
        """What ``--json`` prints."""
        return {
            "name": self.name,
            "worth": self.worths,
            "kinds": _counts(self.scores, lambda score: score.by_kind),
            "regions": _counts(self.scores, lambda score: score.by_region),
        }


def summary_lines(summary: Summary) -> t.Iterator[str]:
    """One scenario as text."""
    by_seed = " ".join([f"{worth:.3f}" for worth in summary.worths])
    yield f"{summary.name}: worth {summary.mean:.3f} (by seed {by_seed})"
    yield f"{'':14}{'part':>7}" + "".join([f"{outcome:>9}" for outcome in _OUTCOMES])
    first = summary.scores[0]
    for name in first.by_kind:
        yield _row(name, summary, lambda score: score.by_kind)
    for name in first.by_region:
        yield _row(name, summary, lambda score: score.by_region)


def difference_lines(before: Summary, after: Summary) -> t.Iterator[str]:
    """Two scenarios side by side."""
    yield from summary_lines(before)
    yield from summary_lines(after)
    differences = [b - a for a, b in zip(before.worths, after.worths, strict=True)]
    spread = statistics.stdev(differences) if len(differences) > 1 else 0.0
    mean = statistics.fmean(differences)
    yield f"difference of worth: {mean:+.3f}, spread over seeds {spread:.3f}"


def chart_of(summaries: t.Sequence[Summary]) -> str:
    """A page with the part earned by second."""
    page = new("html", lang="en")
    head = add(page, "head")
    add(head, "meta", charset="utf-8")
    add(head, "title", "coralfall model")
    body = add(page, "body", style="font-family: sans-serif; max-width: 60rem; margin: 2rem auto")
    add(body, "h1", " and ".join([summary.name for summary in summaries]))
    _add_chart(body, summaries)
    for summary in summaries:
        add(body, "pre", "\n".join(summary_lines(summary)))
    return render(page)


def _add_chart(body: Element, summaries: t.Sequence[Summary]) -> None:
    svg = add(body, "svg", viewBox=f"0 0 {_WIDTH} {_HEIGHT}", role="img", width="100%")
    svg.set("aria-label", "part of the worth that was earned, by second of traffic")
    for tenths in range(0, 11, 2):
        y = _y(tenths / 10)
        add(svg, "line", x1=_MARGIN, x2=_WIDTH, y1=y, y2=y, stroke="#ddd")
        add(svg, "text", f"{tenths / 10:.1f}", x=2, y=y + 4, font_size=11)
    for summary, colour in zip(summaries, _COLOURS, strict=False):
        parts = summary.part_by_window()
        step = (_WIDTH - _MARGIN) / max(1, len(parts) - 1)
        points = [
            f"{_MARGIN + number * step:.1f},{_y(part):.1f}" for number, part in enumerate(parts)
        ]
        add(svg, "polyline", points=" ".join(points), fill="none", stroke=colour, stroke_width=2)
    add(svg, "text", "seconds of traffic, in windows of 2", x=_MARGIN, y=_HEIGHT - 4, font_size=11)


def _y(part: float) -> float:
    return _MARGIN / 2 + (1 - min(max(part, 0.0), 1.0)) * (_HEIGHT - 1.5 * _MARGIN)


def _row(
    name: str, summary: Summary, shares_of: "t.Callable[[Score], t.Mapping[str, Share]]"
) -> str:
    part = summary.part_of(shares_of, name)
    counts = _counts(summary.scores, shares_of)[name]
    told = "".join([f"{counts[outcome]:>9}" for outcome in _OUTCOMES])
    return f"{name:14}{part:>7.3f}{told}"


def _counts(
    scores: "t.Sequence[Score]", shares_of: "t.Callable[[Score], t.Mapping[str, Share]]"
) -> t.Dict[str, t.Dict[str, int]]:
    found: t.Dict[str, t.Dict[str, int]] = {}
    for score in scores:
        for name, share in shares_of(score).items():
            counts = found.setdefault(name, dict.fromkeys(_OUTCOMES, 0))
            for outcome, count in share.count_by_outcome.items():
                counts[outcome] += count
    return found
