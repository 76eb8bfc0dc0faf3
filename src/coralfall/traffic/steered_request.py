"""A caller's request with its route, and what became of each try to send it to a target."""

import typing as t

from .model import RequestKind

if t.TYPE_CHECKING:
    from ..forwarding.request import RequestBody
    from ..ids import RegionId, ServiceId
    from ..placement.affinity import TargetReservation
    from ..placement.fingerprint import Fingerprint, HeadDigest
    from .connection import Headers
    from .model import Route, Tenant
    from .target_permits import TargetPermit


class Send:
    """One try to send a request to a target, for the log.

    :param place: its place at the target.
    :param limit_per_s: limit that the target had named.
    :param restriction: why the target wants no request by its own word, if it does not.
    """

    __slots__ = (
        "_met",
        "limit_per_s",
        "not_run",
        "permit",
        "result",
        "seconds",
        "sent",
        "target_id",
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
        where = "near" if reservation.near else "far"
        #: What the request meets, as far as known here: load and slots, object, region.
        self._met = f"{reservation.load:.1f}/{target.slots}:{known}:{where}"
        #: Limit that the target had named, in requests a second over all entries.
        self.limit_per_s = limit_per_s
        if limit_per_s is not None:
            self._met += f":{limit_per_s:g}/s"
        if restriction:
            self._met += f":{restriction}"
        #: Token of the target's limit, if the send needed one.
        self.permit: t.Optional["TargetPermit"] = None
        #: Whether a byte may have left.
        self.sent = False
        #: Whether there is evidence that the target did not run it.
        self.not_run = False
        self.result = "?"
        self.seconds = 0.0

    def __str__(self) -> str:
        return f"{self.target_id}:{self.result}:{self.seconds * 1000:.0f}:{self._met}"


class SteeredRequest:
    """A caller's request with its route.

    :param deadline: monotonic time at which it gets its final answer.
    :param left_s: seconds for which its caller said, when it asked, that it would wait.
    :param caller: IP number that it came from.
    :param tenant: whose it is, if it has to carry a key.
    :param regions: that it may be served in; any if empty.
    """

    __slots__ = (
        "body",
        "caller",
        "deadline",
        "fingerprint",
        "head",
        "headers",
        "host",
        "key",
        "late",
        "left_s",
        "method",
        "on_trial",
        "path",
        "regions",
        "request_id",
        "route",
        "sends",
        "service",
        "tenant",
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
        key: bytes,
        deadline: float,
        left_s: t.Optional[float] = None,
        caller: str = "",
        tenant: "t.Optional[Tenant]" = None,
        regions: "t.Optional[t.FrozenSet[RegionId]]" = None,
    ) -> None:
        self.method = method
        self.path = path
        self.host = host
        self.headers = headers
        self.body = body
        self.route = route
        self.service = service
        self.request_id = request_id
        self.key = key
        self.deadline = deadline
        self.left_s = left_s
        self.caller = caller
        self.tenant = tenant
        self.regions = route.allowed_regions if regions is None else regions
        #: What it is known by when it comes again, without its body and with it, once it was asked.
        self.head: t.Optional["HeadDigest"] = None
        self.fingerprint: t.Optional["Fingerprint"] = None
        #: Whether its caller has waited for longer than the answer is worth most.
        self.late = False
        #: Whether targets ended of one like it, and it is to show whether they still do.
        self.on_trial = False
        self.sends: t.List[Send] = []

    def sent_count(self) -> int:
        """To how many targets it was sent."""
        return sum(send.sent for send in self.sends)

    def may_have_run(self) -> bool:
        """Whether a target may have run it."""
        return any(send.sent and not send.not_run for send in self.sends)

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self.route.kind is RequestKind.SAFE
