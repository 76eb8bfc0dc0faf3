"""Rules that the recorded events of a concurrent run must keep: its history is checked by them."""

import collections
import enum
import typing as t

from coralfall.ids import Outcome


class Kind(enum.Enum):
    """What happened."""

    #: A caller sent a request.
    INVOKE = "invoke"
    #: An entry sent the request's first byte to a target.
    DISPATCH = "dispatch"
    #: The dispatch was answered with evidence that the target did not run it.
    SHED = "shed"
    #: A target ran the request.
    EFFECT = "effect"
    #: The caller was told an outcome.
    ANSWER = "answer"
    #: The connection ended before the caller had its whole answer.
    CUT_OFF = "cut-off"
    #: Every entry had told that a version was in force on it.
    IN_FORCE = "in-force"


class Event(t.NamedTuple):
    """One event; a history is a list of them in the order in which they happened."""

    kind: Kind
    #: Names one request of one caller; a retry is another request.
    request: str
    #: Idempotency key; requests without one have the empty string.
    key: str = ""
    #: Of an ``ANSWER``.
    outcome: t.Optional[Outcome] = None
    #: What the target answered, of an ``EFFECT`` and of an ``ANSWER`` that is done.
    value: t.Optional[str] = None
    #: Of an ``INVOKE`` and what follows it: the entry that was asked.
    entry: str = ""
    #: Version in force: of an ``IN_FORCE``, and as an ``ANSWER`` states it; 0 if it does not.
    version: int = 0


class Violation(t.NamedTuple):
    """A rule that a history breaks, and the event that shows it."""

    rule: str
    event: Event


Rule = t.Callable[[t.Sequence[Event]], t.List[Event]]


def _repeated_effects(
    events: t.Sequence[Event], name_of: t.Callable[[Event], t.Optional[str]]
) -> t.List[Event]:
    """Effects beyond the first of their name; those whose name is ``None`` do not count."""
    seen: t.Set[str] = set()
    found = []
    for event in events:
        name = name_of(event)
        if event.kind is not Kind.EFFECT or name is None:
            continue
        if name in seen:
            found.append(event)
        seen.add(name)
    return found


def one_effect_per_key(events: t.Sequence[Event]) -> t.List[Event]:
    """Effects beyond the first of their key."""
    return _repeated_effects(events, lambda event: event.key or None)


def one_open_dispatch_per_key(events: t.Sequence[Event]) -> t.List[Event]:
    """Dispatches of a key whose earlier dispatch was not shed."""
    open_keys: t.Set[str] = set()
    found = []
    for event in events:
        if event.kind is Kind.SHED:
            open_keys.discard(event.key)
        if event.kind is not Kind.DISPATCH or not event.key:
            continue
        if event.key in open_keys:
            found.append(event)
        open_keys.add(event.key)
    return found


def no_effect_when_not_run(events: t.Sequence[Event]) -> t.List[Event]:
    """Effects, early or late, of requests whose callers were told "not run"."""
    not_run = set()
    for event in events:
        if event.kind is Kind.ANSWER and event.outcome is Outcome.NOT_RUN:
            not_run.add(event.request)
    return [event for event in events if event.kind is Kind.EFFECT and event.request in not_run]


def no_dispatch_after_answer(events: t.Sequence[Event]) -> t.List[Event]:
    """Dispatches of requests whose callers had an answer already."""
    answered: t.Set[str] = set()
    found = []
    for event in events:
        if event.kind is Kind.ANSWER:
            answered.add(event.request)
        if event.kind is Kind.DISPATCH and event.request in answered:
            found.append(event)
    return found


def one_answer_per_request(events: t.Sequence[Event]) -> t.List[Event]:
    """Answers beyond the first of their request, and those to requests never sent."""
    answers = collections.Counter(event.request for event in events if event.kind is Kind.INVOKE)
    found = []
    for event in events:
        if event.kind is not Kind.ANSWER:
            continue
        answers[event.request] -= 1
        if answers[event.request] < 0:
            found.append(event)
    return found


def done_as_the_effect_said(events: t.Sequence[Event]) -> t.List[Event]:
    """Answers that are done with another value than the effect of their request or key gave."""
    values_by_name: t.Dict[str, t.Optional[str]] = {}
    found = []
    for event in events:
        name = event.key or event.request
        if event.kind is Kind.EFFECT:
            values_by_name.setdefault(name, event.value)
        if event.kind is not Kind.ANSWER or event.outcome is not Outcome.DONE:
            continue
        if name not in values_by_name or values_by_name[name] != event.value:
            found.append(event)
    return found


def one_effect_per_keyless_request(events: t.Sequence[Event]) -> t.List[Event]:
    """Effects beyond the first of their request, of requests without a key."""
    return _repeated_effects(events, lambda event: None if event.key else event.request)


def no_effect_when_all_not_run(events: t.Sequence[Event]) -> t.List[Event]:
    """Effects of keys whose every request was answered "not run"."""
    maybe_run = collections.Counter(event.key for event in events if event.kind is Kind.INVOKE)
    for event in events:
        if event.kind is Kind.ANSWER and event.outcome is Outcome.NOT_RUN:
            maybe_run[event.key] -= 1
    found = []
    for event in events:
        if event.kind is Kind.EFFECT and event.key and maybe_run[event.key] <= 0:
            found.append(event)
    return found


def version_never_falls(events: t.Sequence[Event]) -> t.List[Event]:
    """Answers under an older version than their entry had when the request was sent.

    An entry had at least what it answered with before, be it in an earlier life, and what was
    in force everywhere.
    """
    everywhere = 0
    version_by_entry: t.Dict[str, int] = {}
    least_by_request: t.Dict[str, int] = {}
    found = []
    for event in events:
        if event.kind is Kind.IN_FORCE:
            everywhere = max(everywhere, event.version)
        if event.kind is Kind.INVOKE:
            least = max(everywhere, version_by_entry.get(event.entry, 0))
            least_by_request[event.request] = least
        if event.kind is not Kind.ANSWER or not event.version:
            continue
        if event.version < least_by_request.get(event.request, 0):
            found.append(event)
        newest = max(event.version, version_by_entry.get(event.entry, 0))
        version_by_entry[event.entry] = newest
    return found


def nothing_cut_off(events: t.Sequence[Event]) -> t.List[Event]:
    """Requests whose connection ended before the whole answer."""
    return [event for event in events if event.kind is Kind.CUT_OFF]


AT_MOST_ONCE: t.Tuple[Rule, ...] = (
    one_effect_per_key,
    one_open_dispatch_per_key,
    no_effect_when_not_run,
    no_dispatch_after_answer,
    one_answer_per_request,
    done_as_the_effect_said,
)

#: What holds for processes seen from outside, whatever fails.
ALWAYS: t.Tuple[Rule, ...] = (
    one_effect_per_key,
    one_effect_per_keyless_request,
    no_effect_when_all_not_run,
    one_answer_per_request,
    version_never_falls,
)


def violations(
    events: t.Sequence[Event], rules: t.Sequence[Rule] = AT_MOST_ONCE
) -> t.List[Violation]:
    """Every break of every rule; a rule returns the events that break it."""
    found = []
    for rule in rules:
        for event in rule(events):
            found.append(Violation(rule.__name__, event))
    return found
