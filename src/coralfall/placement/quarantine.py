"""Quarantine: a request that ends the targets that run it is sent to no more of them.

A request may end the process of each target that begins it. Its caller sends it again, at any
entry, and within seconds a service has no target left. What a target had in hand as it ended is
suspected, and what was in hand at several ends is at fault. Other requests end with it, at times
twice or more, as they go on to the same next target. The one at fault is told from them by two
things: it was there each time, and no target ever answered it.
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

#: Names the end of one lifetime of a target.
CrashDigest = t.NewType("CrashDigest", int)
_BYTES = 8


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """A request that targets had in hand as they ended, as entries tell each other of it."""

    fingerprint: Fingerprint
    #: Who sent it.
    callers: t.Tuple[CallerDigest, ...]
    crashes: t.Tuple[CrashDigest, ...]
    #: Those of the crashes that it had no part in: it was answered after them.
    cleared: t.Tuple[CrashDigest, ...]
    #: Whether it was sent to a target on trial since it is refused.
    tried: bool
    #: Seconds since it last came, or was last in hand at a crash, as far as the sender knows.
    age_s: float


class _Record:
    """What is known of one suspect."""

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
        #: When a crash was last learnt of.
        self.crashed_at = now
        #: When something was new here.
        self.learnt_at = now

    @property
    def counted(self) -> t.Set[CrashDigest]:
        """Crashes that it may be the cause of."""
        return self.crashes - self.cleared

    @property
    def matters(self) -> bool:
        """Whether more than one target ended with it; most that a crash takes along come once."""
        return len(self.crashes) > 1

    def merge(self, suspect: Suspect) -> bool:
        """Take in what another entry knows; whether that was new."""
        before = self._extent()
        self.callers.update(suspect.callers)
        self.crashes.update(suspect.crashes)
        self.cleared.update(suspect.cleared)
        self.tried = self.tried or suspect.tried
        return before != self._extent()

    def _extent(self) -> t.Tuple[int, int, int, bool]:
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
    """Suspected requests by fingerprint, and which of them are refused.

    :param hold_s: seconds for which a suspect is remembered once it comes no more; 0 to suspect
        nobody.
    :param clock: tells the time.
    """

    def __init__(self, hold_s: float, clock: "Clock") -> None:
        self._hold_s = hold_s
        self._clock = clock
        self._by_fingerprint: t.Dict[Fingerprint, _Record] = {}
        self._by_crash: t.Dict[CrashDigest, t.Set[Fingerprint]] = {}
        self._heads: t.Dict[int, int] = {}
        self._refused: t.FrozenSet[Fingerprint] = frozenset()
        #: Kept until something changes; it is asked for many times a second.
        self._sum: t.Optional[int] = None
        #: Tells which one entry may send a refused request on trial.
        self.runs_trial: t.Callable[[Fingerprint], bool] = lambda fingerprint: True
        #: Called when there is something to tell the others: at once, or when there is room.
        self.on_update: t.Callable[[bool], None] = lambda at_once: None

    def set_retention(self, hold_s: float) -> None:
        """Remember suspects for so long from now on."""
        self._hold_s = hold_s
        self.expire()

    @property
    def is_empty(self) -> bool:
        """Whether nobody is suspected."""
        return not self._by_fingerprint

    def has_suspect_head(self, head: int) -> bool:
        """Whether some suspect has this head, so that it is worth to look at the body, too."""
        return head in self._heads

    def refused_count(self) -> int:
        """How many requests are sent to no target."""
        return len(self._refused)

    def refuses(self, fingerprint: Fingerprint, caller: CallerDigest) -> bool:
        """Whether a request must not be sent to a target.

        If one caller alone sent it each time, others may go on: what they send may differ in what
        no fingerprint shows.
        """
        if fingerprint not in self._refused:
            return False
        record = self._by_fingerprint[fingerprint]
        if len(record.callers) == 1 and caller not in record.callers:
            return False
        record.seen_at = self._clock.monotonic()
        return True

    def start_trial(self, fingerprint: Fingerprint) -> bool:
        """Whether a refused request is sent to one target all the same, once, on trial.

        Targets may have ended of something else, that is over. If one answers, it is refused no
        more; a request that is at fault costs one target more for that.
        """
        record = self._by_fingerprint[fingerprint]
        now = self._clock.monotonic()
        if record.tried or now - record.crashed_at < defaults.QUARANTINE_TRY_S:
            return False
        if not self.runs_trial(fingerprint):
            return False
        log.info("request.tried", fingerprint=fingerprint, crashes=len(record.counted))
        record.tried = True
        record.learnt_at = now
        self._sum = None
        self.on_update(True)
        return True

    def record_crash(
        self, crash: CrashDigest, requests: t.Iterable[t.Tuple[Fingerprint, CallerDigest]]
    ) -> None:
        """Take in what a target had in hand as it ended."""
        if not self._hold_s:
            return
        now = self._clock.monotonic()
        again = False
        for fingerprint, caller in requests:
            record = self._record_of(fingerprint, now)
            record.seen_at = now
            self._learn(record, Suspect(fingerprint, (caller,), (crash,), (), False, 0.0), now)
            again = again or record.matters
        self._look("own" if again else None)
        self.on_update(again)

    def record_answer(self, fingerprint: Fingerprint) -> None:
        """Take in that a target ran a request and answered it: it is not why others ended."""
        record = self._by_fingerprint.get(fingerprint)
        if record is None or not record.counted:
            return
        record.cleared |= record.crashes
        record.learnt_at = self._clock.monotonic()
        self._look("answered")
        self.on_update(record.matters)

    def merge(self, suspects: t.Iterable[Suspect]) -> None:
        """Take in what another entry knows."""
        now = self._clock.monotonic()
        changed = False
        for suspect in suspects:
            if suspect.age_s >= self._hold_s:
                continue
            record = self._record_of(suspect.fingerprint, now - suspect.age_s)
            record.seen_at = max(record.seen_at, now - suspect.age_s)
            if self._learn(record, suspect, now):
                changed = changed or record.matters
        if changed:
            self._look("told")

    def recent_updates(self) -> t.Tuple[Suspect, ...]:
        """What is news still, the most suspected first."""
        if not self._by_fingerprint:
            return ()
        now = self._clock.monotonic()
        since = now - defaults.GOSSIP_UPDATE_TTL_S
        news = [one for one in self._by_fingerprint.values() if one.learnt_at > since]
        news.sort(key=lambda one: (len(one.counted), one.learnt_at), reverse=True)
        return tuple([one.suspect(now) for one in news[: defaults.MAX_GOSSIP_SUSPECT_REQUESTS]])

    def snapshot(self) -> t.Tuple[Suspect, ...]:
        """All that more than one target ended with."""
        now = self._clock.monotonic()
        return tuple([one.suspect(now) for one in self._by_fingerprint.values() if one.matters])

    def checksum(self) -> int:
        """A number that two entries share if they agree on all that :meth:`all` tells."""
        if self._sum is None:
            self._sum = 0
            for record in self._by_fingerprint.values():
                if record.matters:
                    self._sum ^= record.digest()
        return self._sum

    def expire(self) -> None:
        """Let go of suspects that came no more, and of the least suspected if there are many."""
        since = self._clock.monotonic() - self._hold_s
        gone = [one for one in self._by_fingerprint.values() if one.seen_at <= since]
        surplus = len(self._by_fingerprint) - len(gone) - defaults.MAX_SUSPECT_REQUESTS
        if surplus > 0:
            kept = [one for one in self._by_fingerprint.values() if one.seen_at > since]
            kept.sort(key=lambda one: (len(one.counted), one.seen_at))
            gone += kept[:surplus]
        if not gone:
            return
        for record in gone:
            self._drop(record)
        self._look("forgotten")

    def _record_of(self, fingerprint: Fingerprint, seen_at: float) -> _Record:
        record = self._by_fingerprint.get(fingerprint)
        if record is None:
            record = self._by_fingerprint[fingerprint] = _Record(fingerprint, seen_at)
            self._heads[fingerprint.head] = self._heads.get(fingerprint.head, 0) + 1
        return record

    def _learn(self, record: _Record, suspect: Suspect, now: float) -> bool:
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
            listed = self._by_crash[crash]
            listed.discard(record.fingerprint)
            if not listed:
                del self._by_crash[crash]
        head = record.fingerprint.head
        self._heads[head] -= 1
        if not self._heads[head]:
            del self._heads[head]

    def _look(self, evidence: t.Optional[str]) -> None:
        """Find out who is at fault, after something changed that may bear on that."""
        self._sum = None
        if evidence is None:
            return
        refused = frozenset(
            [one.fingerprint for one in self._by_fingerprint.values() if self._is_at_fault(one)]
        )
        for fingerprint in refused - self._refused:
            record = self._by_fingerprint[fingerprint]
            log.warning(
                "request.quarantined",
                fingerprint=fingerprint,
                crashes=len(record.counted),
                alone=self._alone(record),
                callers=len(record.callers),
                evidence=evidence,
            )
        for fingerprint in self._refused - refused:
            log.info("request.released", fingerprint=fingerprint, evidence=evidence)
        self._refused = refused

    def _is_at_fault(self, record: _Record) -> bool:
        crashes = len(record.counted)
        if crashes < defaults.QUARANTINE_CRASHES:
            return False
        if crashes >= defaults.QUARANTINE_AMBIGUOUS_CRASHES:
            return True
        return self._alone(record) >= defaults.QUARANTINE_CRASHES

    def _alone(self, record: _Record) -> int:
        """At how many crashes nobody else was in hand that was at as many."""
        crashes = len(record.counted)
        alone = 0
        for crash in record.counted:
            others = self._by_crash[crash] - {record.fingerprint}
            if all(len(self._by_fingerprint[other].counted) < crashes for other in others):
                alone += 1
        return alone


def crash_digest(target_id: "TargetId", born: t.Optional[int]) -> CrashDigest:
    """Names the end of a lifetime.

    :param born: when it began, if that is told.
    """
    return CrashDigest(_digest(f"{target_id}\0{born}".encode()))


def _digest(data: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(data, digest_size=_BYTES).digest(), "big")
