"""Explains one request from the log lines of the processes that it met.

Lines may come from several entries, in any order and with anything before ``time=``. The story is
put together from the line that ended the request and from what the same entry believed shortly
before: what it knew of the targets, and which of its dependencies were away.
"""

import datetime
import re
import typing as t

from .. import defaults
from ..exceptions import CoralfallError

#: Seconds before the end of a request whose events belong to its story.
CONTEXT_S = 8.0

#: Begins the part of a send that names the entry which carried it.
_VIA = "via="

_PAIR = re.compile(r'([A-Za-z0-9_.-]+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPED = re.compile(r"\\(u[0-9a-f]{4}|U[0-9a-f]{8}|.)")
_PLAIN_BY_ESCAPE = {"n": "\n", "r": "\r", "t": "\t"}
_ENDS = frozenset(("request.ended", "request.refused"))
#: Events that change what an entry believes.
_BELIEFS = (
    "state.",
    "zones.",
    "store.",
    "peer.",
    "entry.",
    "targets.",
    "row.",
    "service.",
    "process.",
    "quota.",
    "retry.",
    "log.dropped",
)

#: What a reason means, and what to look at next.
_CAUSES = {
    "answered": "a target answered, and its answer was passed on as it was",
    "full": "all targets for the object were full; look at their load and number",
    "no-slot": "dispatchers had no slot that would have been free in time; nothing was sent",
    "full-late": "the caller had waited beyond the aim, and its targets had no room to spare",
    "no-time": "no target for the object could have answered within the time that was left",
    "no-target": "no target of the service could be used: see which rested, left, were evacuated",
    "no-state": "the entry knew no desired state yet: see store and peer lines after its start",
    "memory": "too many bytes of answers waited at the entry for callers to read them",
    "connect": "no target could be connected; nothing was sent",
    "time": "a target had the request and gave no whole answer in time; it may have run",
    "no-path": "this entry was cut off from the targets, and no other could carry the request",
    "transit-body": "the body was too long to be carried by another entry; nothing was sent",
    "too-long": "the answer was too long to be carried by another entry; the target had run it",
    "stale": "a connection kept from before was dead; a request that may run twice is sent again",
    "broken": "the connection ended within the exchange; the target may have run the request",
    "mixed": "a target sent another request's answer; nothing of it was passed on",
    "unsigned": "a target's success had no signature or id; nothing of it was passed on",
    "unproved": "a target promised not to have run it, without the mark that proves it",
    "misdirected": "another target is at the address; the request was not run",
    "withdrawn": "the target was leaving, evacuated or gone when the request was about to be sent",
    "cooldown": "its target, or all of the service, had asked for a time without requests",
    "late": "the time was over before the request could be sent",
    "caller-gone": "the caller closed its connection; the send was cancelled",
    "quarantined": "targets ended each time that they began this same request; it goes to no more",
    "limited": "its target, or all of the service, had what the limits that targets name allow",
    "shed": "the target said that it did not run the request: full, leaving, or out of time",
    "budget": "the token of its retry was lost while it waited for a target; nothing was sent",
    "cancelled": "the caller left first, or the process ended",
    "stopping": "the entry was told to stop and would have ended before the request's time: nothing"
    " was sent, and another entry takes it",
    "cut-off": "the process ended before the answer came; see stop_age_ms and time_left_ms",
    "unknown-key": "no tenant of the version in force has the key: see when it was taken away",
    "no-key": "the request carried no key, or two",
    "state-old": "the key was not known, and the entry had not heard of the state for too long",
    "no-region": "the route's and the tenant's allowed regions have none in common",
    "over-limit": "the tenant had sent what it may: see its limit, and who counted",
    "no-quota-owner": "no entry that counts the tenant's requests answered: see quota lines",
    "unknown-route": "no route of the version in force matches host and path",
}


def cause_of(reason: str) -> str:
    """What a reason in a line means; empty for a status, which speaks for itself."""
    return _CAUSES.get(reason) or _CAUSES.get(reason.partition("-")[0], "")


class ExplainError(CoralfallError):
    """No line tells of the request."""

    code = "explain"


class LoggedSend(t.NamedTuple):
    """One try to send a request to a target, as its line tells of it."""

    target: str
    result: str
    milliseconds: float
    #: Requests that the target had in hand by what the entry knew, and its slots; 0 if not told.
    load: float = 0.0
    slots: int = 0
    #: Whether the entry thought that it knows the object, and whether it is in the entry's region.
    known: bool = True
    near: bool = True
    #: Requests a second that the target took from all entries together, if it had a limit.
    limit_per_s: t.Optional[float] = None
    #: Why the target wanted no request by its own word: ``leaving``, ``cooldown``, or empty.
    restriction: str = ""
    #: Entry that carried the request, if the one of the line was cut off from the target.
    via: str = ""


class LogEvent(t.NamedTuple):
    """One parsed line."""

    #: Seconds since the Unix epoch by the clock of the process.
    at: float
    event: str
    fields: t.Dict[str, str]


def parse_line(line: str) -> t.Optional[LogEvent]:
    """The event of a line, ``None`` if it has none."""
    start = line.find("time=")
    if start < 0:
        return None
    fields = {key: _unquoted(value) for key, value in _PAIR.findall(line[start:])}
    try:
        at = datetime.datetime.fromisoformat(fields["time"]).timestamp()
        return LogEvent(at, fields["event"], fields)
    except (KeyError, ValueError):
        return None


def explain(request_id: str, lines: t.Iterable[str]) -> str:
    """The story of a request.

    :param request_id: as its caller sent it.
    :param lines: of one or more entries.
    :raises ExplainError: if no line tells of it.
    """
    events = [event for event in map(parse_line, lines) if event is not None]
    ends = [event for event in events if _is_end_of(event, request_id)]
    if not ends:
        message = (
            f"no line tells of request {request_id}; look for log.dropped, or for an entry whose"
            " lines are missing: if none has it, no entry read the request whole"
        )
        raise ExplainError(message, id=request_id)
    ends.sort(key=lambda event: event.at)
    return "\n\n".join([_story(end, events) for end in ends])


def _is_end_of(event: LogEvent, request_id: str) -> bool:
    return event.event in _ENDS and event.fields.get("id") == request_id


def _story(end: LogEvent, events: t.Sequence[LogEvent]) -> str:
    fields = end.fields
    entry = fields.get("entry", "?")
    reason = fields.get("reason", "?")
    parts = [
        f"request {fields.get('id')} at entry {entry}: status {fields.get('status')}"
        f" ({reason}) after {fields.get('ms', '0')} ms, ended {fields['time']}",
        f"  cause: {cause_of(reason) or 'see the fields of the line'}",
    ]
    if "route" in fields:
        parts.append(
            f"  route {fields['route']}, service {fields.get('service')}; version"
            f" {fields.get('version')} in force, known as newest {fields.get('state_age_ms')} ms"
            f" before, targets {fields.get('targets_age_ms')} ms before"
        )
    parts += _lost_rows(end, events, entry)
    parts += _quota(fields)
    parts += _asks(fields)
    sends = sends_of(fields)
    for number, send in enumerate(sends, start=1):
        meaning = cause_of(send.result)
        told = f"; {meaning}" if meaning else ""
        parts.append(
            f"  send {number} to {send.target}: {send.result} after {send.milliseconds:.0f} ms"
            f"{_met(send)}{told}"
        )
    parts += _stop(fields)
    parts += _no_retry(fields)
    parts += _same_request(fields, events)
    context = _context(end, events, entry, {send.target for send in sends})
    parts.append("  what the entry learnt shortly before:" if context else "  nothing new before")
    for event in context:
        told = " ".join(
            [f"{key}={value}" for key, value in event.fields.items() if key not in _LEADING]
        )
        parts.append(f"    {event.at - end.at:+.3f} s  {event.event} {told}")
    return "\n".join(parts)


def _stop(fields: t.Mapping[str, str]) -> t.List[str]:
    """How far the entry was on its way to stop."""
    if "stop_age_ms" not in fields:
        return []
    told = (
        f"  the entry had been told to stop {fields['stop_age_ms']} ms before, and served for"
        f" {fields.get('stop_left_ms')} ms more"
    )
    if "time_left_ms" in fields:
        told += f"; the request had {fields['time_left_ms']} ms left"
    return [told]


def _lost_rows(end: LogEvent, events: t.Sequence[LogEvent], entry: str) -> t.List[str]:
    """Which rows the entry had lately from a store that came back from an older copy."""
    last_by_rows: t.Dict[str, LogEvent] = {}
    for event in events:
        if event.event != "store.era-began" or event.fields.get("entry", "?") != entry:
            continue
        if 0 <= end.at - event.at <= defaults.CARRIED_ROW_S:
            last_by_rows[event.fields.get("rows", "?")] = event
    return [
        f"  the store came back from an older copy: {rows} known {end.at - event.at:.1f} s before,"
        f" at revision {event.fields.get('revision')} of era {event.fields.get('era')} after"
        f" {event.fields.get('previous_revision')} of era {event.fields.get('previous_era')};"
        f" lost rows in force: {event.fields.get('keys')}"
        for rows, event in sorted(last_by_rows.items())
    ]


def _quota(fields: t.Mapping[str, str]) -> t.List[str]:
    """What a tenant's owner had said, if the request was refused for its tenant's limit."""
    parts = fields.get("quota", "").split(":")
    if len(parts) != _QUOTA_PARTS:
        return []
    owner, level, part, age_ms = parts
    return [
        f"  tenant {fields.get('tenant')}: {level} tokens left at {owner}, which counts for it with"
        f" {part} of all shares, {age_ms} ms before"
    ]


def _asks(fields: t.Mapping[str, str]) -> t.List[str]:
    """What dispatchers answered; entries that can't be read are left out."""
    parts = []
    for number, text in enumerate(fields.get("dispatch", "").split(","), start=1):
        words = text.split(":")
        if len(words) != _ASK_PARTS:
            continue
        target, verdict, expected_ms, took_ms = words
        meaning = _VERDICTS.get(verdict, verdict)
        told = f", completion predicted in {expected_ms} ms" if expected_ms != "0" else ""
        parts.append(f"  ask {number} for {target}: {meaning} after {took_ms} ms{told}")
    return parts


def _no_retry(fields: t.Mapping[str, str]) -> t.List[str]:
    """Why the request was not sent once more, if it failed."""
    verdict = fields.get("retry")
    if verdict is None:
        return []
    return [f"  not sent once more: {_RETRY_VERDICTS.get(verdict, verdict)}"]


def _same_request(fields: t.Mapping[str, str], events: t.Sequence[LogEvent]) -> t.List[str]:
    """How often a request came that a target cut off once, and which targets ended with it."""
    fingerprint = fields.get("fingerprint")
    if fingerprint is None:
        return []
    came = 0
    ended = []
    decided = []
    for event in events:
        if event.event == "target.crashed":
            if fingerprint in event.fields.get("requests", "").split(","):
                ended.append(event.fields.get("target", "?"))
        elif event.fields.get("fingerprint") != fingerprint:
            continue
        elif event.event in _ENDS:
            came += 1
        else:
            decided.append(event)
    parts = [
        f"  the same request (fingerprint {fingerprint}, caller {fields.get('caller')}):"
        f" {came} lines; ended with it in hand: {', '.join(dict.fromkeys(ended)) or 'no target'}"
    ]
    for event in decided:
        told = " ".join([f"{key}={event.fields[key]}" for key in _DECIDED if key in event.fields])
        parts.append(
            f"    {event.fields['time']} {event.fields.get('entry', '?')} {event.event} {told}"
        )
    return parts


#: Owner, tokens, part of the shares, age of a refusal for a tenant's limit.
_QUOTA_PARTS = 4
#: Target, verdict, predicted milliseconds, milliseconds until the answer.
_ASK_PARTS = 4
_VERDICTS = {
    "assigned": "a slot was assigned",
    "busy": "no slot in time",
    "queued": "the request was queued",
    "refused": "no slot would be free while a start is of use",
    "unavailable": "the target could not be used",
    "not_dispatcher": "the entry that was asked does not dispatch the target, or was stopping",
    "silent": "no dispatcher answered",
    "expired": "no notice came while a start was of use",
}
_RETRY_VERDICTS = {
    "attempts": "it was sent as often as its route allows",
    "time": "too little time was left",
    "may-have-run": "it may have run, and must not run twice",
    "body": "its body was passed on as it came, and was not held any more",
    "quarantined": "targets ended under it",
    "budget": "the retry budget of the service was used up; see retry.exhausted lines",
}
#: Fields that tell why a request is refused, or no more.
_DECIDED = ("crashes", "alone", "callers", "evidence")
#: What a send's line says of a target that wants no request by its own word.
_RESTRICTIONS = {
    "leaving": ", which had said that it leaves",
    "cooldown": ", which had asked for a time without requests",
}
_LEADING = frozenset(("time", "level", "event", "entry"))


def _met(send: LoggedSend) -> str:
    if not send.slots:
        return ""
    where = "own region" if send.near else "another region"
    knew = "knew the object" if send.known else "had to learn the object"
    limit = "" if send.limit_per_s is None else f", limited to {send.limit_per_s:g} requests/s"
    unwanted = _RESTRICTIONS.get(send.restriction, "")
    via = f", by way of entry {send.via}" if send.via else ""
    return f" ({send.load:g} in hand of {send.slots} slots, {where}, {knew}{limit}{unwanted}{via})"


def sends_of(fields: t.Mapping[str, str]) -> t.List[LoggedSend]:
    """The sends that a line of an ended request tells of; those that can't be read are left out."""
    sends = []
    for text in fields.get("sends", "none").split(","):
        send = _send_of(text.split(":"))
        if send is not None:
            sends.append(send)
    return sends


def _send_of(parts: t.Sequence[str]) -> t.Optional[LoggedSend]:
    try:
        target, result, milliseconds, *met = parts
        if not met:
            return LoggedSend(target, result, float(milliseconds))
        full, knew, where, *words = met
        load, _, slots = full.partition("/")
        limits = [float(word.removesuffix("/s")) for word in words if word.endswith("/s")]
        restrictions = [word for word in words if word in _RESTRICTIONS]
        carriers = [word.removeprefix(_VIA) for word in words if word.startswith(_VIA)]
        return LoggedSend(
            target,
            result,
            float(milliseconds),
            float(load),
            int(slots),
            knew == "known",
            where == "near",
            limits[0] if limits else None,
            restrictions[0] if restrictions else "",
            carriers[0] if carriers else "",
        )
    except ValueError:
        return None


def _context(
    end: LogEvent, events: t.Sequence[LogEvent], entry: str, targets: t.Set[str]
) -> t.List[LogEvent]:
    found = []
    for event in events:
        if event.fields.get("entry", "?") != entry or not 0 <= end.at - event.at <= CONTEXT_S:
            continue
        about_target = event.event.startswith("target.") and event.fields.get("target") in targets
        if about_target or event.event.startswith(_BELIEFS):
            found.append(event)
    return sorted(found, key=lambda event: event.at)


def _unquoted(value: str) -> str:
    if not value.startswith('"'):
        return value
    return _ESCAPED.sub(_plain, value[1:-1])


def _plain(match: "re.Match[str]") -> str:
    escape = match.group(1)
    if len(escape) > 1:
        return chr(int(escape[1:], 16))
    return _PLAIN_BY_ESCAPE.get(escape, escape)
