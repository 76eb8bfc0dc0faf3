"""Outliers: which entries of a fleet differ from the others, from their log lines alone.

For whoever looks for one bad machine among hundreds. Each entry is compared with all: what became
of its requests, how often it paused, lost the store or was suspected, and which version it steers
by. Lines may come from any number of entries, in any order.
"""

import collections
import math
import typing as t

from .explain import LogEvent, parse_line

#: Standard deviations by which an entry's part of lost requests must be above the fleet's: of a
#: thousand entries that are alike, one or two are told of.
_DEVIATIONS = 3.0
#: Multiple of the fleet's mean, and what is added, above which a count of events stands out.
_TIMES = 3.0
_ADDED = 2.0
_COUNTED = {
    "entry.starting": "started",
    "process.paused": "paused",
    "store.lost": "lost the store",
    "entry.suspected": "was suspected by others",
    "target.resting": "let targets rest",
    "log.dropped": "dropped lines",
}


class EntryLines:
    """What the lines of one entry tell."""

    def __init__(self) -> None:
        self.ended = 0
        #: Requests that were late, refused or failed.
        self.lost = 0
        self.count_by_event: t.Counter[str] = collections.Counter()
        self.version = 0

    def take(self, event: LogEvent) -> None:
        """Take in a line."""
        if event.event in _COUNTED:
            self.count_by_event[event.event] += 1
        elif event.event == "state.in-force":
            self.version = max(self.version, int(event.fields.get("version", "0")))
        elif event.event == "request.ended":
            self.ended += 1
            self.lost += _is_lost(event.fields)


def entries_of(lines: t.Iterable[str]) -> t.Dict[str, EntryLines]:
    """What the lines tell, by entry."""
    by_entry: t.Dict[str, EntryLines] = {}
    for line in lines:
        event = parse_line(line)
        if event is None or "entry" not in event.fields:
            continue
        entry_id = event.fields["entry"]
        if entry_id not in by_entry:
            by_entry[entry_id] = EntryLines()
        by_entry[entry_id].take(event)
    return by_entry


def outlier_lines(by_entry: t.Mapping[str, EntryLines]) -> t.Iterator[str]:
    """The fleet in one line, then one for each entry that stands out, the most remarkable first."""
    if not by_entry:
        yield "no line names an entry"
        return
    ended = sum(entry.ended for entry in by_entry.values())
    lost = sum(entry.lost for entry in by_entry.values())
    part = lost / ended if ended else 0.0
    newest = max(entry.version for entry in by_entry.values())
    yield (
        f"{len(by_entry)} entries, {ended} requests ended, {part:.1%} of them late, refused or"
        f" failed; newest version {newest}"
    )
    found: t.List[t.Tuple[int, str, t.List[str]]] = []
    means = _means(by_entry)
    for entry_id, entry in by_entry.items():
        reasons = _reasons(entry, part, newest, means)
        if reasons:
            found.append((-len(reasons), entry_id, reasons))
    if not found:
        yield "no entry stands out"
    for _, entry_id, reasons in sorted(found):
        yield f"{entry_id}: {'; '.join(reasons)}"


def _reasons(
    entry: EntryLines, part: float, newest: int, means: t.Mapping[str, float]
) -> t.List[str]:
    reasons: t.List[str] = []
    if entry.version < newest:
        reasons.append(f"steers by version {entry.version}")
    if entry.ended:
        own = entry.lost / entry.ended
        deviation = math.sqrt(part * (1 - part) / entry.ended)
        if own > part + _DEVIATIONS * deviation:
            reasons.append(f"{own:.1%} of {entry.ended} requests late, refused or failed")
    for event, words in _COUNTED.items():
        count = entry.count_by_event[event]
        if count > means[event] * _TIMES + _ADDED:
            reasons.append(f"{words} {count} times ({means[event]:.1f} in the mean)")
    return reasons


def _means(by_entry: t.Mapping[str, EntryLines]) -> t.Dict[str, float]:
    return {
        event: sum(entry.count_by_event[event] for entry in by_entry.values()) / len(by_entry)
        for event in _COUNTED
    }


def _is_lost(fields: t.Mapping[str, str]) -> bool:
    if fields.get("status") != "200":
        return True
    try:
        return float(fields["ms"]) > float(fields["aim_ms"])
    except (KeyError, ValueError):
        return False
