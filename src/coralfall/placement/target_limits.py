"""Target limits: rate limits that targets set for the requests of all entries together.

A target reports its limit in its answers, for as long as the limit is in force. Entries replicate
limits by gossip: each change that an answer shows gets a higher revision (a Lamport clock for each
lifetime of a target), so that neither an answer nor gossip from before the change undoes it.
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

#: Size of a bucket: seconds of the limit's rate, and tokens beyond that. Owners that each hold only
#: a part of the shares need more than one of these to hold a whole token.
_BURST_S = 0.5
_EXTRA_BURST_TOKENS = 4.0
#: Minimum rate in requests a second, since only an answer can show that a limit has changed.
_MIN_RATE_PER_S = 0.1
#: Seconds for which a limit is kept after its end, or after its target was last known.
_RETENTION_S = 60.0


class ReportedLimit(msgspec.Struct, frozen=True, array_like=True):
    """The limit that one lifetime of a target last reported."""

    target_id: TargetId
    #: Start of the lifetime in milliseconds since the Unix epoch, 0 if unknown.
    born: int
    revision: int
    #: Requests a second from all entries together; ``None`` once the target reports no limit.
    rate_per_s: t.Optional[float]

    def supersedes(self, other: "ReportedLimit") -> bool:
        """Whether this is the later report, or the stricter one of two with the same revision."""
        order, others = (self.born, self.revision), (other.born, other.revision)
        if order != others:
            return order > others
        return _is_lower(self.rate_per_s, other.rate_per_s)

    def digest(self) -> int:
        text = f"{self.target_id} {self.born} {self.revision} {self.rate_per_s}"
        return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


class _Record:
    """One limit as this entry knows it, and when its tokens are available again."""

    __slots__ = ("changed_at", "exhausted_until", "limit", "reserved_until", "seen_at")

    def __init__(self, limit: ReportedLimit, now: float) -> None:
        self.limit = limit
        #: Monotonic times at which this entry learnt of it, and at which its target was last known.
        self.changed_at = now
        self.seen_at = now
        #: Until when there is no token at all, and none for objects that the target has not cached.
        self.exhausted_until = -float("inf")
        self.reserved_until = -float("inf")


class TargetLimits:
    """Replicated limits by target.

    :param clock: time source.
    """

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        self._by_target: t.Dict[TargetId, _Record] = {}
        #: Known targets with a limit in force.
        self._in_force: t.Set[TargetId] = set()
        #: Cached until a change, since it is read many times a second.
        self._checksum: t.Optional[int] = None
        #: Incremented whenever the set of limits in force changes.
        self.generation = 0
        #: Called when there are updates for others; the argument is whether they are urgent.
        self.on_update: t.Callable[[bool], None] = lambda at_once: None

    def rate_of(self, target: "Target") -> t.Optional[float]:
        """Limit of a target in requests a second from all entries, ``None`` if it has none."""
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
        """Targets with a limit in force."""
        return self._in_force

    def mark_exhausted(self, target: "Target", seconds: float, known: bool = True) -> None:
        """Records that a limit has no token for some time, or until it changes.

        :param known: whether there is none even for objects that the target has cached.
        """
        record = self._by_target.get(target.target_id)
        if record is None:
            return
        until = self._clock.monotonic() + seconds
        record.reserved_until = max(record.reserved_until, until)
        if known:
            record.exhausted_until = until

    def wait_s(self, target: "Target", known: bool = True) -> float:
        """Seconds until a token of a target's limit should be available; 0 if none is needed.

        :param known: whether the target has cached the object of the request.
        """
        if target.target_id not in self._in_force or self.rate_of(target) is None:
            return 0.0
        record = self._by_target[target.target_id]
        until = record.exhausted_until if known else record.reserved_until
        return max(0.0, until - self._clock.monotonic())

    def record_answer(
        self, target: "Target", rate_per_s: t.Optional[float], sent_at: float
    ) -> None:
        """Updates the limit of a target from an answer.

        A limit that is raised or withdrawn counts only if the request was sent after this entry
        learnt of the current one: until then, answers from before that change may still arrive.

        :param rate_per_s: limit that the answer reports, if any.
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
        self._store(limit)
        self._log([limit], "own", service=target.service, previous=_rate_text(previous))
        self.on_update(False)

    def merge(self, limits: t.Iterable[ReportedLimit]) -> None:
        """Merges limits that another entry sent."""
        changed = []
        for limit in limits:
            record = self._by_target.get(limit.target_id)
            if record is None or limit.supersedes(record.limit):
                self._store(limit)
                changed.append(limit)
        self._log(changed, "told")

    def recent_updates(self) -> t.Tuple[ReportedLimit, ...]:
        """Limits that are still gossiped, the latest first."""
        if not self._by_target:
            return ()
        since = self._clock.monotonic() - defaults.GOSSIP_UPDATE_TTL_S
        recent = [one for one in self._by_target.values() if one.changed_at > since]
        recent.sort(key=lambda one: one.changed_at, reverse=True)
        return tuple([one.limit for one in recent[: defaults.MAX_GOSSIP_LIMITS]])

    def snapshot(self) -> t.Tuple[ReportedLimit, ...]:
        """All known limits."""
        return tuple([one.limit for one in self._by_target.values()])

    def checksum(self) -> int:
        """Checksum that is equal at entries with the same limits in force."""
        if self._checksum is None:
            self._checksum = 0
            for target_id in self._in_force:
                self._checksum ^= self._by_target[target_id].limit.digest()
        return self._checksum

    def tick(self, targets: "t.Mapping[TargetId, TargetState]") -> None:
        """Refreshes the limits by the known targets, and drops expired ones."""
        if not self._by_target:
            return
        now = self._clock.monotonic()
        for target_id, record in list(self._by_target.items()):
            state = targets.get(target_id)
            if state is not None and (state.target.born or 0) == record.limit.born:
                record.seen_at = now
            ended = record.limit.rate_per_s is None
            if now - (record.changed_at if ended else record.seen_at) >= _RETENTION_S:
                del self._by_target[target_id]
        self._index(now)

    def _store(self, limit: ReportedLimit) -> None:
        now = self._clock.monotonic()
        self._by_target[limit.target_id] = _Record(limit, now)
        self._index(now)

    def _index(self, now: float) -> None:
        in_force = set()
        for target_id, record in self._by_target.items():
            # Gossip may deliver a limit before its target is known.
            present = now - record.seen_at < defaults.GOSSIP_UPDATE_TTL_S
            if present and record.limit.rate_per_s is not None:
                in_force.add(target_id)
        self._checksum = None
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
                rate_per_s=_rate_text(limit.rate_per_s),
                revision=limit.revision,
                evidence=evidence,
                **fields,
            )


def target_limit_key(target_id: TargetId, region: "t.Optional[RegionId]") -> LimitKey:
    """Key of the limit of a target, whose tokens all entries get from one owner in its region."""
    return LimitKey(LimitKind.TARGET, target_id, region)


def token_bucket_for(rate_per_s: float) -> Limit:
    """The token bucket that all entries share for a target.

    Over a longer time it grants the rate that the target accepts, and little more in a short one.
    """
    rate_per_s = max(rate_per_s, _MIN_RATE_PER_S)
    return Limit(rate_per_s, _EXTRA_BURST_TOKENS + rate_per_s * _BURST_S)


def _is_lower(rate_per_s: t.Optional[float], other: t.Optional[float]) -> bool:
    """Whether a limit is stricter than another; no limit is the least strict."""
    if rate_per_s is None:
        return False
    return other is None or rate_per_s < other


def _rate_text(rate_per_s: t.Optional[float]) -> str:
    return "none" if rate_per_s is None else f"{rate_per_s:g}"
