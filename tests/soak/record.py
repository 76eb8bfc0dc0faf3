"""What callers, targets and the operator saw: the only things that the soak judges by."""

import dataclasses
import enum
import hashlib
import time
import typing as t

#: Statuses that promise that a request has not run and never will.
PROMISES = frozenset((408, 421, 429, 503))


#: How the path of a request begins that ends each target that runs it.
DEADLY = "/read/deadly-"


#: How the ids of requests begin whose answers are long, and how many times longer they are: those
#: of callers that read slowly, so that entries hold what is not read yet.
SLOW = "slow"
_SLOW_TIMES = 100


#: Milliseconds that callers tell that they wait, but for those that name a time of their own.
TIME_LIMIT_MS = 2000
#: Time-out of the routes whose requests may take long, in seconds.
LONG_TIMEOUT_S = 5.0


#: Begins each key of a caller; a target must never see one.
KEY = "soak-key-"


#: Requests a second that a tenant with a limit may send, and as many on top.
HOT_PER_S = 2


class Tenant(enum.Enum):
    """Whose a request is, by its key."""

    CALM = "calm"
    #: Sends far more than its limit.
    HOT = "hot"
    #: Nobody's: no desired state ever held the key.
    NOBODY = "nobody"


class Sort(enum.Enum):
    """What a request is, by its path's beginning."""

    READ = "/read/"
    COMMAND = "/command/"
    UPLOAD = "/upload/"
    #: Asks whether a desired state is in force; the version follows.
    SINCE = "/since"
    #: A command, and a read, that may take seconds; sent at stops only.
    ORDER = "/order/"
    REPORT = "/report/"


#: Sorts of requests that may run once.
RUN_ONCE = frozenset((Sort.COMMAND, Sort.UPLOAD, Sort.ORDER))
#: Sorts of requests whose work may take seconds.
LONG = frozenset((Sort.ORDER, Sort.REPORT))


@dataclasses.dataclass
class Attempt:
    """One request of a caller."""

    request_id: str
    sort: Sort
    path: str
    body: bytes
    entry: str
    sent_at: float
    #: When its answer was whole, or the connection over.
    ended_at: float = 0.0
    #: ``None`` if the connection ended without an answer; 0 if it could not be had.
    status: t.Optional[int] = None
    answer: bytes = b""
    signature: str = ""
    #: Whether the answer said that its target leaves.
    leaving: bool = False
    #: The version that a request of that sort asks for.
    version: int = 0
    tenant: Tenant = Tenant.CALM
    #: What the caller tells that it waits; no route's time-out is shorter.
    time_limit_ms: int = TIME_LIMIT_MS
    #: When its last byte was sent; infinite while none of a slow body was.
    sent_whole_at: float = float("inf")


@dataclasses.dataclass
class Arrival:
    """One request at a target."""

    request_id: str
    method: str
    path: str
    body: bytes
    target: str
    service: str
    at: float
    #: Whether the target began to work on it.
    ran: bool
    #: The tenant that the target was told, and whether it saw a key.
    tenant: str = Tenant.CALM.value
    keyed: bool = False
    #: Whether the target that it reached is the one that was meant.
    meant: bool = True
    #: When it had reached the target's machine, if the target has read it only later.
    reached_at: t.Optional[float] = None
    #: When the target had done its work; infinite if its connection ended before.
    done_at: float = float("inf")

    def reached_between(self, since: float, until: float) -> bool:
        """Whether it reached the target's machine between two moments."""
        return since < (self.at if self.reached_at is None else self.reached_at) < until


@dataclasses.dataclass
class Rejection:
    """A target's word, as it rejected a request, that it wants none for some seconds."""

    request_id: str
    target: str
    at: float
    seconds: float


@dataclasses.dataclass
class Lifetime:
    """One process of an entry."""

    entry: str
    began: float
    #: When it was told to stop, and when it was gone.
    told_at: float = float("inf")
    gone_at: float = float("inf")
    #: Whether it was killed or paused, so that little may be asked of it.
    disturbed: bool = False
    status: t.Optional[int] = None


@dataclasses.dataclass
class ReportedLimit:
    """A target's limit, and for how long its answers name it."""

    target: str
    per_s: float
    began: float
    ended: float = float("inf")


@dataclasses.dataclass
class Cut:
    """A time in which an entry had lost its links to all targets, or to those of one service."""

    entry: str
    began: float
    ended: float = float("inf")


@dataclasses.dataclass
class Record:
    """Everything that was seen in one run."""

    attempts: t.List[Attempt] = dataclasses.field(default_factory=list)
    arrivals: t.List[Arrival] = dataclasses.field(default_factory=list)
    lifetimes: t.List[Lifetime] = dataclasses.field(default_factory=list)
    #: When the store took each version of the desired state.
    version_at: t.Dict[int, float] = dataclasses.field(default_factory=dict)
    #: When the store took a target's word that it leaves, by target.
    leaving_at: t.Dict[str, float] = dataclasses.field(default_factory=dict)
    #: Times at which the ways of an entry or a target, or of all (""), were disturbed: from, to,
    #: whose.
    disturbances: t.List[t.Tuple[float, float, str]] = dataclasses.field(default_factory=list)
    #: When targets ended under a request, by its path.
    ended_at: t.Dict[str, t.List[float]] = dataclasses.field(default_factory=dict)
    #: When all connections of a target were ended on its side, by target.
    broke_off_at: t.Dict[str, t.List[float]] = dataclasses.field(default_factory=dict)
    #: Limits that targets named.
    limits: t.List[ReportedLimit] = dataclasses.field(default_factory=list)
    #: Times without requests that targets asked for.
    rejections: t.List[Rejection] = dataclasses.field(default_factory=list)
    #: Times in which entries had lost their links to targets.
    cuts: t.List[Cut] = dataclasses.field(default_factory=list)
    #: What the run itself found, beside what the rules find.
    faults: t.List[str] = dataclasses.field(default_factory=list)

    def lose(self, since: float, bound_s: float) -> None:
        """Notes that the store has lost what it took since a moment.

        Entries need not know what was lost before the bound for it was over.
        """
        now = time.monotonic()
        for version, at in self.version_at.items():
            if at > since and at + bound_s > now:
                self.version_at[version] = float("inf")
        for target, at in self.leaving_at.items():
            if at > since and at + bound_s > now:
                self.leaving_at[target] = float("inf")

    def take_again(self, table: str, name: str) -> None:
        """Notes that the store has taken a row again that it had lost."""
        now = time.monotonic()
        for version, at in self.version_at.items():
            if table == "op" and name == "config" and at == float("inf"):
                self.version_at[version] = now
        if table == "servers" and self.leaving_at.get(name) == float("inf"):
            self.leaving_at[name] = now

    def started(self, entry: str, since: float, until: float) -> bool:
        """Whether a process of an entry began between two moments."""
        return any(one.entry == entry and since <= one.began <= until for one in self.lifetimes)

    def is_cut(self, entry: str, since: float, until: float) -> bool:
        """Whether an entry had lost links to targets at any time between two moments."""
        cuts = [cut for cut in self.cuts if cut.entry == entry]
        return any(cut.began < until and cut.ended > since for cut in cuts)

    def disturbed(
        self, whose: t.Optional[str], since: float, until: float, stable_s: float
    ) -> bool:
        """Whether an entry or a target was disturbed from a while before one moment until another.

        :param whose: whose ways; ``None`` for anybody's.
        """
        for began, ended, struck in self.disturbances:
            if whose is not None and struck not in ("", whose):
                continue
            if began < until and ended + stable_s > since:
                return True
        for cut in self.cuts:
            if whose in (None, cut.entry) and cut.began < until and cut.ended + stable_s > since:
                return True
        return False

    def calm(self, entry: str, since: float, until: float, stable_s: float) -> bool:
        """Whether an entry was not disturbed from a while before one moment until another."""
        for began, ended, whose in self.disturbances:
            if whose in ("", entry) and began < until and ended + stable_s > since:
                return False
        for lifetime in self.lifetimes:
            if lifetime.entry == entry and since - stable_s < lifetime.began < until:
                return False
        return True


def signature_of(target: str, request_id: str) -> str:
    """What a target signs its answer to a request with."""
    return f"signed-{target}-{request_id}"


def answer_to(request_id: str, body: bytes) -> bytes:
    """The whole answer that a target gives to a request; a few kilobytes that only it has."""
    answer = hashlib.sha256(request_id.encode() + body).hexdigest().encode() * 50
    return answer * _SLOW_TIMES if request_id.startswith(SLOW) else answer
