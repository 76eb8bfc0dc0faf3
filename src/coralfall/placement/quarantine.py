"""Quarantine: blocks requests that crash the targets that run them (poison requests).

A request may crash each target that runs it. Its caller retries it, at any entry, and within
seconds a service has no target left. The requests that were in flight at a crash are suspects, and
one that was in flight at several crashes is quarantined. Innocent requests may also be in flight at
two or more crashes, since they are retried at the same next target. The poison request differs
from them in two ways: it was in flight at each crash, and no target ever answered it.
"""

import hashlib
import typing as t

import msgspec

from .. import defaults
from ..process import log
from .fingerprint import CallerDigest, Fingerprint

if t.TYPE_CHECKING:
    from ..ids import TargetId
    from ..process.clock import Clock

#: Identifies the crash of one lifetime of a target.
CrashDigest = t.NewType("CrashDigest", int)
_DIGEST_BYTES = 8


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """A request that was in flight at crashes of targets, as entries send it in gossip."""

    fingerprint: Fingerprint
    #: Callers that sent the request.
    callers: t.Tuple[CallerDigest, ...]
    crashes: t.Tuple[CrashDigest, ...]
    #: The crashes that it did not cause, since a target answered it later.
    cleared: t.Tuple[CrashDigest, ...]
    #: Whether it was sent to a target on trial since it was quarantined.
    tried: bool
    #: Seconds since it last arrived, or was last in flight at a crash, as far as the sender knows.
    age_s: float


class _Record:
    """State of one suspect."""

    __slots__ = (
        "callers",
        "cleared",
        "crashed_at",
        "crashes",
        "fingerprint",
        "learnt_at",
        "seen_at",
        "tried",
    )

    def __init__(self, fingerprint: Fingerprint, now: float) -> None:
        self.fingerprint = fingerprint
        self.callers: t.Set[CallerDigest] = set()
        self.crashes: t.Set[CrashDigest] = set()
        self.cleared: t.Set[CrashDigest] = set()
        self.tried = False
        self.seen_at = now
        #: Monotonic time at which a crash was last added.
        self.crashed_at = now
        #: Monotonic time of the last change.
        self.learnt_at = now

    @property
    def uncleared(self) -> t.Set[CrashDigest]:
        """Crashes that it may have caused."""
        return self.crashes - self.cleared

    @property
    def is_repeated(self) -> bool:
        """Whether it was in flight at several crashes; most innocent requests are at only one."""
        return len(self.crashes) > 1

    def merge(self, suspect: Suspect) -> bool:
        """Merges what another entry knows, and returns whether that changed anything."""
        before = self._sizes()
        self.callers.update(suspect.callers)
        self.crashes.update(suspect.crashes)
        self.cleared.update(suspect.cleared)
        self.tried = self.tried or suspect.tried
        return before != self._sizes()

    def _sizes(self) -> t.Tuple[int, int, int, bool]:
        return len(self.callers), len(self.crashes), len(self.cleared), self.tried

    def suspect(self, now: float) -> Suspect:
        return Suspect(
            self.fingerprint,
            tuple(sorted(self.callers)),
            tuple(sorted(self.crashes)),
            tuple(sorted(self.cleared)),
            self.tried,
            max(0.0, now - self.seen_at),
        )

    def digest(self) -> int:
        sets = (self.callers, self.crashes, self.cleared)
        parts = [repr(sorted(one)) for one in sets]
        return _digest(" ".join([str(self.fingerprint), str(self.tried), *parts]).encode())


class Quarantine:
    """Suspect requests by fingerprint, and which of them are quarantined.

    :param retention_s: seconds for which a suspect is kept after it last arrived; 0 disables the
        quarantine.
    :param clock: time source.
    """

    def __init__(self, retention_s: float, clock: "Clock") -> None:
        self._retention_s = retention_s
        self._clock = clock
        self._by_fingerprint: t.Dict[Fingerprint, _Record] = {}
        self._by_crash: t.Dict[CrashDigest, t.Set[Fingerprint]] = {}
        self._suspect_count_by_head: t.Dict[int, int] = {}
        self._quarantined: t.FrozenSet[Fingerprint] = frozenset()
        #: Cached until a change, since it is read many times a second.
        self._checksum: t.Optional[int] = None
        #: Tells whether this entry is the one that may send a quarantined request on trial.
        self.runs_trial: t.Callable[[Fingerprint], bool] = lambda fingerprint: True
        #: Called when there are updates for others; the argument is whether they are urgent.
        self.on_update: t.Callable[[bool], None] = lambda at_once: None

    def set_retention(self, retention_s: float) -> None:
        """Changes the retention time of suspects."""
        self._retention_s = retention_s
        self.expire()

    @property
    def is_empty(self) -> bool:
        """Whether there are no suspects."""
        return not self._by_fingerprint

    def has_suspect_head(self, head: int) -> bool:
        """Whether some suspect has this head, so that the body has to be hashed, too."""
        return head in self._suspect_count_by_head

    def refused_count(self) -> int:
        """Number of quarantined requests."""
        return len(self._quarantined)

    def refuses(self, fingerprint: Fingerprint, caller: CallerDigest) -> bool:
        """Whether a request is quarantined for a caller.

        If a single caller sent it each time, it is not blocked for others: their requests may
        differ in parts that the fingerprint leaves out.
        """
        if fingerprint not in self._quarantined:
            return False
        record = self._by_fingerprint[fingerprint]
        if len(record.callers) == 1 and caller not in record.callers:
            return False
        record.seen_at = self._clock.monotonic()
        return True

    def start_trial(self, fingerprint: Fingerprint) -> bool:
        """Starts the trial of a quarantined request, which is sent to one target, and only once.

        The targets may have crashed for another reason that is over. If the target answers, the
        request is released; a poison request costs one more target. Returns whether this entry
        starts the trial now.
        """
        record = self._by_fingerprint[fingerprint]
        now = self._clock.monotonic()
        if record.tried or now - record.crashed_at < defaults.QUARANTINE_TRY_S:
            return False
        if not self.runs_trial(fingerprint):
            return False
        log.info("request.tried", fingerprint=fingerprint, crashes=len(record.uncleared))
        record.tried = True
        record.learnt_at = now
        self._checksum = None
        self.on_update(True)
        return True

    def record_crash(
        self, crash: CrashDigest, requests: t.Iterable[t.Tuple[Fingerprint, CallerDigest]]
    ) -> None:
        """Records the requests that were in flight at a crash."""
        if not self._retention_s:
            return
        now = self._clock.monotonic()
        any_repeated = False
        for fingerprint, caller in requests:
            record = self._record_of(fingerprint, now)
            record.seen_at = now
            self._merge_into(record, Suspect(fingerprint, (caller,), (crash,), (), False, 0.0), now)
            any_repeated = any_repeated or record.is_repeated
        self._reevaluate("own" if any_repeated else None)
        self.on_update(any_repeated)

    def record_answer(self, fingerprint: Fingerprint) -> None:
        """Records that a target answered a request, which clears it of its crashes so far."""
        record = self._by_fingerprint.get(fingerprint)
        if record is None or not record.uncleared:
            return
        record.cleared |= record.crashes
        record.learnt_at = self._clock.monotonic()
        self._reevaluate("answered")
        self.on_update(record.is_repeated)

    def merge(self, suspects: t.Iterable[Suspect]) -> None:
        """Merges suspects that another entry sent."""
        now = self._clock.monotonic()
        changed = False
        for suspect in suspects:
            if suspect.age_s >= self._retention_s:
                continue
            record = self._record_of(suspect.fingerprint, now - suspect.age_s)
            record.seen_at = max(record.seen_at, now - suspect.age_s)
            if self._merge_into(record, suspect, now):
                changed = changed or record.is_repeated
        if changed:
            self._reevaluate("told")

    def recent_updates(self) -> t.Tuple[Suspect, ...]:
        """Suspects that are still gossiped, those with the most crashes first."""
        if not self._by_fingerprint:
            return ()
        now = self._clock.monotonic()
        since = now - defaults.GOSSIP_UPDATE_TTL_S
        recent = [one for one in self._by_fingerprint.values() if one.learnt_at > since]
        recent.sort(key=lambda one: (len(one.uncleared), one.learnt_at), reverse=True)
        return tuple([one.suspect(now) for one in recent[: defaults.MAX_GOSSIP_SUSPECT_REQUESTS]])

    def snapshot(self) -> t.Tuple[Suspect, ...]:
        """All suspects that were in flight at more than one crash."""
        now = self._clock.monotonic()
        return tuple([one.suspect(now) for one in self._by_fingerprint.values() if one.is_repeated])

    def checksum(self) -> int:
        """Checksum that is equal at entries with equal :meth:`snapshot`."""
        if self._checksum is None:
            self._checksum = 0
            for record in self._by_fingerprint.values():
                if record.is_repeated:
                    self._checksum ^= record.digest()
        return self._checksum

    def expire(self) -> None:
        """Drops suspects past their retention, and those with the fewest crashes if too many."""
        since = self._clock.monotonic() - self._retention_s
        expired = [one for one in self._by_fingerprint.values() if one.seen_at <= since]
        surplus = len(self._by_fingerprint) - len(expired) - defaults.MAX_SUSPECT_REQUESTS
        if surplus > 0:
            kept = [one for one in self._by_fingerprint.values() if one.seen_at > since]
            kept.sort(key=lambda one: (len(one.uncleared), one.seen_at))
            expired += kept[:surplus]
        if not expired:
            return
        for record in expired:
            self._drop(record)
        self._reevaluate("forgotten")

    def _record_of(self, fingerprint: Fingerprint, seen_at: float) -> _Record:
        record = self._by_fingerprint.get(fingerprint)
        if record is None:
            record = self._by_fingerprint[fingerprint] = _Record(fingerprint, seen_at)
            self._suspect_count_by_head[fingerprint.head] = (
                self._suspect_count_by_head.get(fingerprint.head, 0) + 1
            )
        return record

    def _merge_into(self, record: _Record, suspect: Suspect, now: float) -> bool:
        if not record.merge(suspect):
            return False
        record.learnt_at = now
        if suspect.crashes:
            record.crashed_at = now
        for crash in suspect.crashes:
            self._by_crash.setdefault(crash, set()).add(record.fingerprint)
        return True

    def _drop(self, record: _Record) -> None:
        del self._by_fingerprint[record.fingerprint]
        for crash in record.crashes:
            suspects = self._by_crash[crash]
            suspects.discard(record.fingerprint)
            if not suspects:
                del self._by_crash[crash]
        head = record.fingerprint.head
        self._suspect_count_by_head[head] -= 1
        if not self._suspect_count_by_head[head]:
            del self._suspect_count_by_head[head]

    def _reevaluate(self, evidence: t.Optional[str]) -> None:
        """Recomputes which requests are quarantined, after a change for the reason ``evidence``."""
        self._checksum = None
        if evidence is None:
            return
        quarantined = frozenset(
            [
                one.fingerprint
                for one in self._by_fingerprint.values()
                if self._should_quarantine(one)
            ]
        )
        for fingerprint in quarantined - self._quarantined:
            record = self._by_fingerprint[fingerprint]
            log.warning(
                "request.quarantined",
                fingerprint=fingerprint,
                crashes=len(record.uncleared),
                alone=self._count_exclusive_crashes(record),
                callers=len(record.callers),
                evidence=evidence,
            )
        for fingerprint in self._quarantined - quarantined:
            log.info("request.released", fingerprint=fingerprint, evidence=evidence)
        self._quarantined = quarantined

    def _should_quarantine(self, record: _Record) -> bool:
        crashes = len(record.uncleared)
        if crashes < defaults.QUARANTINE_CRASHES:
            return False
        if crashes >= defaults.QUARANTINE_AMBIGUOUS_CRASHES:
            return True
        return self._count_exclusive_crashes(record) >= defaults.QUARANTINE_CRASHES

    def _count_exclusive_crashes(self, record: _Record) -> int:
        """Number of its crashes at which no other suspect with as many crashes was in flight."""
        crashes = len(record.uncleared)
        exclusive = 0
        for crash in record.uncleared:
            others = self._by_crash[crash] - {record.fingerprint}
            if all(len(self._by_fingerprint[other].uncleared) < crashes for other in others):
                exclusive += 1
        return exclusive


def crash_digest(target_id: "TargetId", born: t.Optional[int]) -> CrashDigest:
    """Identifies the crash of a lifetime.

    :param born: start of the lifetime, if known.
    """
    return CrashDigest(_digest(f"{target_id}\0{born}".encode()))


def _digest(data: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest(), "big")
