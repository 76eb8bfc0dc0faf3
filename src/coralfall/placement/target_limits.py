"""Target limits: the requests a second that targets in need take from all entries together.

A target names its limit in its answers, for as long as it holds. Each change that an answer shows
gets a higher revision (a Lamport clock for each lifetime of a target), so that an answer from
before the change does not undo it.
"""

import typing as t

import msgspec

from ..process import log

if t.TYPE_CHECKING:
    from ..ids import TargetId
    from ..process.clock import Clock
    from ..traffic.model import Target


class NamedLimit(msgspec.Struct, frozen=True, array_like=True):
    """What one lifetime of a target last said of its limit."""

    target_id: "TargetId"
    #: Start of the lifetime in milliseconds of the Unix epoch, 0 if the target does not tell it.
    born: int
    revision: int
    #: Requests a second from all entries together; ``None`` once the target names none any more.
    rate_per_s: t.Optional[float]


class _Record:
    __slots__ = ("changed_at", "limit")

    def __init__(self, limit: NamedLimit, now: float) -> None:
        self.limit = limit
        #: When this entry last learnt of a change.
        self.changed_at = now


class TargetLimits:
    """The limits of all targets that named one, by target.

    :param clock: tells the time.
    """

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        self._by_target: t.Dict["TargetId", _Record] = {}

    def rate_of(self, target: "Target") -> t.Optional[float]:
        """Requests a second that a target takes from all entries together, if it says so."""
        record = self._by_target.get(target.target_id)
        if record is None or record.limit.born != (target.born or 0):
            return None
        return record.limit.rate_per_s

    def count(self) -> int:
        """How many targets have a limit."""
        return sum(one.limit.rate_per_s is not None for one in self._by_target.values())

    def note_answer(self, target: "Target", rate_per_s: t.Optional[float], sent_at: float) -> None:
        """Take in what an answer of a target says.

        A limit that is higher, or taken back, counts only if the request was sent after this
        entry learnt of the one that holds: until then, answers from before may still arrive.

        :param rate_per_s: limit that the answer names, if any.
        :param sent_at: monotonic time at which the request was sent.
        """
        record = self._by_target.get(target.target_id)
        born = target.born or 0
        if record is None or record.limit.born != born:
            if rate_per_s is not None:
                self._set(target, NamedLimit(target.target_id, born, 1, rate_per_s), None)
            return
        previous = record.limit.rate_per_s
        if rate_per_s == previous:
            return
        if not _is_lower(rate_per_s, previous) and sent_at < record.changed_at:
            return
        revision = record.limit.revision + 1
        self._set(target, NamedLimit(target.target_id, born, revision, rate_per_s), previous)

    def _set(self, target: "Target", limit: NamedLimit, previous: t.Optional[float]) -> None:
        self._by_target[target.target_id] = _Record(limit, self._clock.monotonic())
        log.info(
            "target.limit",
            target=target.target_id,
            service=target.service,
            rate_per_s=_text(limit.rate_per_s),
            previous=_text(previous),
            revision=limit.revision,
            evidence="own",
        )


def _is_lower(rate_per_s: t.Optional[float], other: t.Optional[float]) -> bool:
    """Whether a limit is stricter than another; none is the least strict."""
    if rate_per_s is None:
        return False
    return other is None or rate_per_s < other


def _text(rate_per_s: t.Optional[float]) -> str:
    return "none" if rate_per_s is None else f"{rate_per_s:g}"
