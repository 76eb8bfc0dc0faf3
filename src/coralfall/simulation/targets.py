"""Targets of the simulation: slots, a queue, a memory of objects, and what may befall them."""

import collections
import functools
import typing as t

from ..placement.buckets import RESERVED_FRACTION
from ..placement.target_limits import token_bucket_for

if t.TYPE_CHECKING:
    import random

    from ..ids import TargetId
    from .agenda import Agenda
    from .scenario import ServiceSettings

#: A target is hardly slowed down beyond this multiple of its mean work.
_LONGEST = 3.0


class Job:
    """One request at a target.

    :param key: the object that it concerns.
    :param answer: called with whether it ran, once the target is done with it.
    """

    __slots__ = ("answer", "key", "over")

    def __init__(self, key: bytes, answer: t.Callable[[bool], None]) -> None:
        self.key = key
        self.answer = answer
        #: Whether nobody waits for it any more, or it was answered.
        self.over = False


class SimulatedTarget:
    """One target.

    :param target_id: its name.
    :param region: where it stands.
    :param settings: of its service.
    :param agenda: the clock and what is due.
    :param rng: varies the work.
    """

    def __init__(
        self,
        target_id: "TargetId",
        region: str,
        settings: "ServiceSettings",
        agenda: "Agenda",
        rng: "random.Random",
    ) -> None:
        self.target_id = target_id
        self.region = region
        self.settings = settings
        self._agenda = agenda
        self._rng = rng
        self._known: "collections.OrderedDict[bytes, None]" = collections.OrderedDict()
        self._waiting: t.Deque[Job] = collections.deque()
        self.running = 0
        #: When its lifetime began, for its row.
        self.born = 0
        #: Work takes this many times as long, and this share of requests is turned away.
        self.slowness = 1.0
        self.shed_share = 0.0
        #: Requests a second that it takes from all entries, and the tokens of that.
        self.limit_per_s: t.Optional[float] = None
        self._tokens = 0.0
        self._tokens_at = 0.0
        #: Seconds without requests that it asks for as it rejects all that comes.
        self.cooldown_s: t.Optional[float] = None
        self.silent = False
        self.listening = True
        #: Requests that met an object that was not known, all that ran, and all that it rejected.
        self.learnt = 0
        self.ran = 0
        self.rejected = 0

    @property
    def waiting(self) -> int:
        """Requests in its queue."""
        return len(self._waiting)

    def arrive(self, job: Job) -> None:
        """Take in a request, or turn it away."""
        if self.silent:
            return
        rejects = self.cooldown_s is not None or self._rng.random() < self.shed_share
        if rejects or len(self._waiting) >= self.settings.queue:
            job.over = True
            self.rejected += 1
            job.answer(False)
            return
        self._waiting.append(job)
        self._start()

    def limit(self, per_s: t.Optional[float]) -> None:
        """Take so many requests a second from now on; any if ``None``."""
        self.limit_per_s = per_s
        self._tokens = 0.0
        self._tokens_at = self._agenda.now

    def take_token(self, known: bool) -> float:
        """Take a token of its limit; seconds until there is one if there is none now.

        Entries lease their shares of the limit to one of them, so all see the same bucket.

        :param known: whether the target knows the request's object.
        """
        if self.limit_per_s is None:
            return 0.0
        bucket = token_bucket_for(self.limit_per_s)
        came = bucket.rate_per_s * (self._agenda.now - self._tokens_at)
        self._tokens = min(bucket.burst, self._tokens + came)
        self._tokens_at = self._agenda.now
        needed = 1.0 if known else 1.0 + bucket.burst * RESERVED_FRACTION
        if self._tokens < needed:
            return (needed - self._tokens) / bucket.rate_per_s
        self._tokens -= 1
        return 0.0

    def drop(self, job: Job) -> None:
        """Note that nobody waits for a request any more."""
        if job.over:
            return
        job.over = True
        if job in self._waiting:
            self._waiting.remove(job)

    def forget(self) -> None:
        """Begin a new lifetime, which knows nothing."""
        self._known.clear()
        self._waiting.clear()
        self.running = 0
        self.born += 1

    def _start(self) -> None:
        while self._waiting and self.running < self.settings.slots:
            job = self._waiting.popleft()
            self.running += 1
            self._agenda.after(self._work_s(job.key), functools.partial(self._end, job, self.born))

    def _end(self, job: Job, born: int) -> None:
        if born != self.born:
            return
        self.running -= 1
        self.ran += 1
        if not self.silent and not job.over:
            job.over = True
            job.answer(True)
        self._start()

    def _work_s(self, key: bytes) -> float:
        settings = self.settings
        seconds = settings.work_s
        if key in self._known:
            seconds *= settings.known_part
        else:
            self.learnt += 1
        self._known[key] = None
        self._known.move_to_end(key)
        if len(self._known) > settings.memory:
            self._known.popitem(last=False)
        varied = self._rng.gauss(1.0, settings.spread)
        return seconds * self.slowness * min(max(varied, 0.1), _LONGEST)
