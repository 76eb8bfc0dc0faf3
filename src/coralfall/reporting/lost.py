"""Lost: splits the requests that were late, refused or failed by cause, from log lines alone.

An entry's line tells of each send which target it went to, how full that was, whether it knew the
object, and whether it is in the entry's own region. The rows add up to all requests that ended.
Times are the entry's, from a request's head to its reply: the caller's own way is not in them.
"""

import collections
import typing as t

from .explain import LogEvent, parse_line, sends_of

#: Multiple of a route's usual time with known objects, without a queue, from which on a target that
#: had a free slot counts as slow, and the quantile of such times that is the usual one.
_SLOW = 2.0
_USUAL = 0.3
_IN_AIM = "in aim"


class Lost(t.NamedTuple):
    """What became of one route's requests."""

    route: str
    total: int
    #: Requests by cause, the most frequent first; those in aim are one of them.
    count_by_cause: t.Dict[str, int]


def lost_of(lines: t.Iterable[str]) -> t.List[Lost]:
    """The split by route, of the lines of one or more entries."""
    events = [event for event in map(parse_line, lines) if event is not None]
    ended: t.Dict[str, t.List[LogEvent]] = {}
    for event in events:
        if event.event == "request.ended" and event.fields.get("aim_ms"):
            ended.setdefault(event.fields.get("route", "?"), []).append(event)
    return [_lost(route, found) for route, found in sorted(ended.items())]


def lost_lines(found: t.Sequence[Lost]) -> t.Iterator[str]:
    """The split as text."""
    if not found:
        yield "no line tells of a request that ended, with its route's aim"
    for lost in found:
        yield f"route {lost.route}: {lost.total} requests"
        for cause, count in lost.count_by_cause.items():
            yield f"  {count:>7}  {count / lost.total:>6.1%}  {cause}"


def _lost(route: str, events: t.Sequence[LogEvent]) -> Lost:
    usual_ms = _usual_ms(events)
    counts = collections.Counter([_cause_of(event, usual_ms) for event in events])
    return Lost(route, len(events), dict(counts.most_common()))


def _cause_of(event: LogEvent, usual_ms: float) -> str:
    fields = event.fields
    status = fields.get("status", "")
    if status != "200":
        word = "refused" if fields.get("outcome") == "not-run" else "failed"
        return f"{word}: {fields.get('reason')}"
    if float(fields["ms"]) <= float(fields["aim_ms"]):
        return _IN_AIM
    sends = sends_of(fields)
    if len(sends) != 1:
        return f"late: sent again after {sends[0].result}" if sends else "late: not sent"
    send = sends[0]
    where = "near" if send.near else "in another region"
    if not send.known:
        return f"late: the target had to learn the object, {where}"
    if send.slots and send.load >= send.slots:
        return f"late: a queue at a target that knew it, {where}"
    if send.milliseconds > _SLOW * usual_ms:
        return f"late: a target that was slow without a queue, {where}"
    return f"late: the way and the work, {where}"


def _usual_ms(events: t.Sequence[LogEvent]) -> float:
    times = []
    for event in events:
        for send in sends_of(event.fields):
            if send.result == "200" and send.known and send.load < send.slots:
                times.append(send.milliseconds)
    times.sort()
    return times[int(len(times) * _USUAL)] if times else float("inf")
