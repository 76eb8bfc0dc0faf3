"""Target limits: the requests a second that targets in need take from all entries together.

A target names its limit in its answers, for as long as it holds. Entries tell each other: each
change that an answer shows gets a higher revision (a Lamport clock for each lifetime of a target),
so that neither an answer nor news from before the change undo it.
"""

import hashlib
import typing as t

import msgspec

from .. import defaults
from ..ids import TargetId
from ..process import log
from .buckets import Limit, LimitKey, LimitKind

if t.TYPE_CHECKING:
    from ..ids import RegionId
    from ..process.clock import Clock
    from ..traffic.model import Target
    from .targets import TargetState

#: Seconds of a limit's rate that may be saved up, and the tokens beside that: owners that each have
#: a part of the shares need more than one to hold a whole one.
_SAVED_S = 0.5
_SAVED_TOKENS = 4.0
#: Rate in requests a second that is kept for targets that take next to nothing, as only an answer
#: can show that their limit has changed.
_LEAST_RATE_PER_S = 0.1
#: Seconds for which a limit is remembered once it is over, or its target is known no more.
_FORGET_S = 60.0


class ReportedLimit(msgspec.Struct, frozen=True, array_like=True):
    """What one lifetime of a target last said of its limit."""

    target_id: TargetId
    #: Start of the lifetime in milliseconds of the Unix epoch, 0 if the target does not tell it.
    born: int
    revision: int
    #: Requests a second from all entries together; ``None`` once the target names none any more.
    rate_per_s: t.Optional[float]

    def supersedes(self, other: "ReportedLimit") -> bool:
        """Whether this is the later word, or the stricter one of two that came at a time."""
        order, others = (self.born, self.revision), (other.born, other.revision)
        if order != others:
            return order > others
        return _is_lower(self.rate_per_s, other.rate_per_s)

    def digest(self) -> int:
        text = f"{self.target_id} {self.born} {self.revision} {self.rate_per_s}"
        return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


class _Record:
    """One limit as this entry knows it, and whether requests wait for tokens of it."""

    __slots__ = ("changed_at", "exhausted_until", "limit", "reserved_until", "seen_at")

    def __init__(self, limit: ReportedLimit, now: float) -> None:
        self.limit = limit
        #: When this entry learnt of it, and when its target was last among those that there are.
        self.changed_at = now
        self.seen_at = now
        #: Until when there is no token, and none for objects that the target does not know.
        self.exhausted_until = -float("inf")
        self.reserved_until = -float("inf")


class TargetLimits:
    """The limits of all targets that named one, by target.

    :param clock: tells the time.
    """

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        self._by_target: t.Dict[TargetId, _Record] = {}
        #: Limits that are in force, of targets that there are.
        self._in_force: t.Set[TargetId] = set()
        #: Kept until something changes; it is asked for many times a second.
        self._sum: t.Optional[int] = None
        #: Rises whenever other limits are in force.
        self.generation = 0
        #: Called when there is something to tell the others: at once, or when there is room.
        self.on_update: t.Callable[[bool], None] = lambda at_once: None

    def rate_of(self, target: "Target") -> t.Optional[float]:
        """Requests a second that a target takes from all entries together, if it says so."""
        record = self._by_target.get(target.target_id)
        if record is None or record.limit.born != (target.born or 0):
            return None
        return record.limit.rate_per_s

    def bucket_of(self, target_id: TargetId) -> t.Optional[Limit]:
        """The token bucket of a target's limit, if it has one."""
        record = self._by_target.get(target_id)
        if record is None or record.limit.rate_per_s is None:
            return None
        return token_bucket_for(record.limit.rate_per_s)

    def in_force(self) -> t.Collection[TargetId]:
        """Targets that have a limit."""
        return self._in_force

    def mark_exhausted(self, target: "Target", seconds: float, known: bool = True) -> None:
        """Note that the limit has no token for some time, or until it changes.

        :param known: whether there is none even for objects that the target knows.
        """
        record = self._by_target.get(target.target_id)
        if record is None:
            return
        until = self._clock.monotonic() + seconds
        record.reserved_until = max(record.reserved_until, until)
        if known:
            record.exhausted_until = until

    def wait_s(self, target: "Target", known: bool = True) -> float:
        """Seconds until a token of a target's limit should be there; 0 if it needs none.

        :param known: whether the target knows the object that the token is for.
        """
        if target.target_id not in self._in_force or self.rate_of(target) is None:
            return 0.0
        record = self._by_target[target.target_id]
        until = record.exhausted_until if known else record.reserved_until
        return max(0.0, until - self._clock.monotonic())

    def record_answer(
        self, target: "Target", rate_per_s: t.Optional[float], sent_at: float
    ) -> None:
        """Take in what an answer of a target says.

        A limit that is higher, or taken back, counts only if the request was sent after this
        entry learnt of the one that holds: until then, answers from before may still arrive.

        :param rate_per_s: limit that the answer names, if any.
        :param sent_at: monotonic time at which the request was sent.
        """
        record = self._by_target.get(target.target_id)
        born = target.born or 0
        revision = 0
        previous = None
        if record is not None and record.limit.born > born:
            return
        if record is not None and record.limit.born == born:
            revision = record.limit.revision
            previous = record.limit.rate_per_s
            if not _is_lower(rate_per_s, previous) and sent_at < record.changed_at:
                return
        if rate_per_s == previous:
            return
        limit = ReportedLimit(target.target_id, born, revision + 1, rate_per_s)
        self._set(limit)
        self._log([limit], "own", service=target.service, previous=_text(previous))
        self.on_update(False)

    def merge(self, limits: t.Iterable[ReportedLimit]) -> None:
        """Take in what another entry knows."""
        changed = []
        for limit in limits:
            record = self._by_target.get(limit.target_id)
            if record is None or limit.supersedes(record.limit):
                self._set(limit)
                changed.append(limit)
        self._log(changed, "told")

    def recent_updates(self) -> t.Tuple[ReportedLimit, ...]:
        """What is news still, the latest first."""
        if not self._by_target:
            return ()
        since = self._clock.monotonic() - defaults.GOSSIP_UPDATE_TTL_S
        news = [one for one in self._by_target.values() if one.changed_at > since]
        news.sort(key=lambda one: one.changed_at, reverse=True)
        return tuple([one.limit for one in news[: defaults.MAX_GOSSIP_LIMITS]])

    def snapshot(self) -> t.Tuple[ReportedLimit, ...]:
        """All that is known."""
        return tuple([one.limit for one in self._by_target.values()])

    def checksum(self) -> int:
        """A number that two entries share if they agree on the limits in force."""
        if self._sum is None:
            self._sum = 0
            for target_id in self._in_force:
                self._sum ^= self._by_target[target_id].limit.digest()
        return self._sum

    def tick(self, targets: "t.Mapping[TargetId, TargetState]") -> None:
        """Compare the limits with the targets that there are, and forget those long without one."""
        if not self._by_target:
            return
        now = self._clock.monotonic()
        for target_id, record in list(self._by_target.items()):
            state = targets.get(target_id)
            if state is not None and (state.target.born or 0) == record.limit.born:
                record.seen_at = now
            ended = record.limit.rate_per_s is None
            if now - (record.changed_at if ended else record.seen_at) >= _FORGET_S:
                del self._by_target[target_id]
        self._index(now)

    def _set(self, limit: ReportedLimit) -> None:
        now = self._clock.monotonic()
        self._by_target[limit.target_id] = _Record(limit, now)
        self._index(now)

    def _index(self, now: float) -> None:
        in_force = set()
        for target_id, record in self._by_target.items():
            # A limit may be heard of before its target is.
            present = now - record.seen_at < defaults.GOSSIP_UPDATE_TTL_S
            if present and record.limit.rate_per_s is not None:
                in_force.add(target_id)
        self._sum = None
        if in_force != self._in_force:
            self._in_force = in_force
            self.generation += 1

    def _log(self, limits: t.Sequence[ReportedLimit], evidence: str, **fields: t.Any) -> None:
        if len(limits) > log.SINGLE_LINES:
            ids = [limit.target_id for limit in limits]
            log.many("target.limit", "targets", ids, evidence=evidence)
            return
        for limit in limits:
            log.info(
                "target.limit",
                target=limit.target_id,
                rate_per_s=_text(limit.rate_per_s),
                revision=limit.revision,
                evidence=evidence,
                **fields,
            )


def target_limit_key(target_id: TargetId, region: "t.Optional[RegionId]") -> LimitKey:
    """Names the limit of a target; entries of all regions need tokens of one owner, near to it."""
    return LimitKey(LimitKind.TARGET, target_id, region)


def token_bucket_for(rate_per_s: float) -> Limit:
    """The token bucket that all entries share for a target.

    It allows what the target takes for any longer time, and little more in a short one.
    """
    rate_per_s = max(rate_per_s, _LEAST_RATE_PER_S)
    return Limit(rate_per_s, _SAVED_TOKENS + rate_per_s * _SAVED_S)


def _is_lower(rate_per_s: t.Optional[float], other: t.Optional[float]) -> bool:
    """Whether a limit is stricter than another; none is the least strict."""
    if rate_per_s is None:
        return False
    return other is None or rate_per_s < other


def _text(rate_per_s: t.Optional[float]) -> str:
    return "none" if rate_per_s is None else f"{rate_per_s:g}"
