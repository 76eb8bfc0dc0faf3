"""A caller's request with its route, and the outcome of each attempt to forward it to a target."""

import typing as t

from .model import RequestKind

if t.TYPE_CHECKING:
    from ..exceptions import RefusedError
    from ..forwarding.request import RequestBody
    from ..ids import EntryId, RegionId, ServiceId, TargetId
    from ..placement.fingerprint import Fingerprint, HeadDigest
    from ..placement.reservation import TargetReservation
    from ..placement.retry_budget import RetryPermit
    from ..placement.target_reports import TargetReport
    from .answer_memory import HeldAnswer
    from .model import Route, Tenant
    from .response_parser import Headers
    from .retry_policy import RetryVerdict
    from .target_permits import TargetPermit


#: Result of an attempt that goes on.
_PENDING = "?"


class Attempt:
    """One attempt to forward a request to a target, as recorded for the log.

    :param place: the place at the target that the request takes.
    :param limit_per_s: rate limit that the target had reported.
    :param restriction: reason for which the target reported that it accepts no requests, if any.
    """

    __slots__ = (
        "_context",
        "duration_s",
        "limit_per_s",
        "not_run",
        "permit",
        "report",
        "result",
        "sent",
        "sent_at",
        "target_id",
        "via",
    )

    def __init__(
        self,
        reservation: "TargetReservation",
        limit_per_s: t.Optional[float] = None,
        restriction: str = "",
    ) -> None:
        target = reservation.state.target
        self.target_id = target.target_id
        known = "known" if reservation.known else "new"
        distance = "near" if reservation.near else "far"
        #: What was known of the target: load and slots, whether it knows the object, region.
        self._context = f"{reservation.load:.1f}/{target.slots}:{known}:{distance}"
        #: Limit that the target had reported, in requests per second over all entries.
        self.limit_per_s = limit_per_s
        if limit_per_s is not None:
            self._context += f":{limit_per_s:g}/s"
        if restriction:
            self._context += f":{restriction}"
        #: Token of the target's limit, if the attempt needed one.
        self.permit: t.Optional["TargetPermit"] = None
        #: Whether a byte may have been sent.
        self.sent = False
        #: Monotonic time at which the first byte was sent.
        self.sent_at = 0.0
        #: What the target reported in its answer to this request.
        self.report: t.Optional["TargetReport"] = None
        #: Whether there is evidence that the target did not run the request.
        self.not_run = False
        self.result = _PENDING
        self.duration_s = 0.0
        #: Entry that carried the request, if this one is cut off from the target's service.
        self.via: t.Optional["EntryId"] = None

    @property
    def is_at_target(self) -> bool:
        """Whether the target may be at work on the request."""
        return self.sent and self.result == _PENDING

    def __str__(self) -> str:
        via = f":via={self.via}" if self.via is not None else ""
        return f"{self.target_id}:{self.result}:{self.duration_s * 1000:.0f}:{self._context}{via}"


class AskRecord(t.NamedTuple):
    """One answer of a dispatcher, as recorded for the log."""

    target_id: "TargetId"
    #: The verdict in lower case; ``silent`` if no dispatcher answered, ``withdrawn`` if the target
    #: was withdrawn while the request was queued, ``expired`` if no notice came in time.
    verdict: str
    #: Predicted milliseconds until completion.
    expected_ms: int
    #: Milliseconds until the answer or the notice came.
    took_ms: int

    def __str__(self) -> str:
        return f"{self.target_id}:{self.verdict}:{self.expected_ms}:{self.took_ms}"


class SteeredRequest:
    """A caller's request with its route.

    :param object_key: key of the object that the request concerns, by which its target is chosen.
    :param deadline: monotonic time by which the caller gets its reply.
    :param remaining_s: seconds that the caller, on sending the request, was willing to wait.
    :param caller: IP address of the caller.
    :param tenant: tenant of the request, if it has to carry a key.
    :param allowed_regions: regions that may serve the request; any if empty.
    :param contended: whether the service is contended, so that dispatchers assign its targets.
    """

    __slots__ = (
        "allowed_regions",
        "asks",
        "attempts",
        "body",
        "caller",
        "contended",
        "deadline",
        "fingerprint",
        "head_digest",
        "headers",
        "held_answer",
        "host",
        "is_cut_off",
        "is_late",
        "is_trial",
        "method",
        "object_key",
        "path",
        "refusal",
        "remaining_s",
        "request_id",
        "retry_permit",
        "retry_verdicts",
        "route",
        "service",
        "tenant",
        "waited_s",
    )

    def __init__(
        self,
        method: str,
        path: str,
        host: str,
        headers: "Headers",
        body: "t.Optional[RequestBody]",
        route: "Route",
        service: "ServiceId",
        request_id: str,
        object_key: bytes,
        deadline: float,
        remaining_s: t.Optional[float] = None,
        caller: str = "",
        tenant: "t.Optional[Tenant]" = None,
        allowed_regions: "t.Optional[t.FrozenSet[RegionId]]" = None,
        contended: bool = False,
    ) -> None:
        self.method = method
        self.path = path
        self.host = host
        self.headers = headers
        self.body = body
        self.route = route
        self.service = service
        self.request_id = request_id
        self.object_key = object_key
        self.deadline = deadline
        self.remaining_s = remaining_s
        self.caller = caller
        self.tenant = tenant
        self.allowed_regions = route.allowed_regions if allowed_regions is None else allowed_regions
        self.contended = contended
        #: Estimated seconds that the caller had waited before it sent this request.
        self.waited_s = 0.0
        #: Answers of dispatchers.
        self.asks: t.List[AskRecord] = []
        #: Hashes that identify repeats, without and with the body; computed on demand.
        self.head_digest: t.Optional["HeadDigest"] = None
        self.fingerprint: t.Optional["Fingerprint"] = None
        #: Whether its caller has already waited beyond the time at which a reply is worth most.
        self.is_late = False
        #: Whether it is the trial that shows if a quarantined request still crashes targets.
        self.is_trial = False
        self.attempts: t.List[Attempt] = []
        #: Token reserved for sending it once more.
        self.retry_permit: "t.Optional[RetryPermit]" = None
        #: Decisions on sending it once more, in their order.
        self.retry_verdicts: "t.List[RetryVerdict]" = []
        #: Counts the bytes of its answer, if they are counted.
        self.held_answer: "t.Optional[HeldAnswer]" = None
        #: Why its task was cancelled, if it can no longer be served as the process stops.
        self.refusal: "t.Optional[RefusedError]" = None
        #: Whether its task was cancelled because the process ends before its target has answered.
        self.is_cut_off = False

    def objective_at(self) -> float:
        """Returns the monotonic time after which the reply misses the latency objective."""
        allowed_s = self.route.timeout_s
        if self.remaining_s is not None:
            allowed_s = min(allowed_s, self.remaining_s)
        return self.deadline - allowed_s + self.route.latency_target_s - self.waited_s

    def sent_count(self) -> int:
        """Returns the number of attempts that sent the request."""
        return sum(send.sent for send in self.attempts)

    def may_have_run(self) -> bool:
        """Whether a target may have run the request."""
        return any(send.sent and not send.not_run for send in self.attempts)

    @property
    def is_at_target(self) -> bool:
        """Whether a target may be at work on the request."""
        return bool(self.attempts) and self.attempts[-1].is_at_target

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.kind is RequestKind.SAFE
