"""ASGI application for callers: matches requests to routes, forwards them and sends the replies."""

import asyncio
import typing as t

from .. import defaults
from ..exceptions import CallerGoneError, CoralfallError, RefusedError, RequestError
from ..forwarding.request import MemoryAccount, RequestBody, pieces_of
from ..http.caller_watch import CallerWatch
from ..http.drain import DRAIN_EXTENSION
from ..placement.stop_admission import STOPPING
from ..process import log
from .answer_memory import AnswerMemory, HeldAnswer
from .in_flight_requests import CUT_OFF, InFlightRequests, take_cut_off, take_refusal
from .reply import Reply, reply_from_error
from .retry_policy import RetryVerdict
from .steered_request import SteeredRequest
from .tenants import allowed_regions_for

if t.TYPE_CHECKING:
    from starlette.types import Receive, Scope, Send

    from ..placement.contention import Contention
    from ..placement.stop_admission import StopAdmission
    from ..process.clock import Clock
    from .forwarder import Forwarder
    from .quotas import Quotas
    from .state_view import StateView
    from .telemetry import Telemetry
    from .tenants import TenantAuthenticator
    from .wire import HeaderNames

_REJECTED_METHODS = frozenset(("CONNECT", "TRACE"))
_MAX_MILLISECONDS_DIGITS = 9


class CallersApp:
    """Serves the port for callers.

    :param names: header names.
    :param state_view: the desired state in force.
    :param tenant_authenticator: finds the tenant of a request.
    :param quotas: enforces the tenants' limits.
    :param forwarder: forwards requests to targets.
    :param telemetry: counts requests.
    :param contention: tells which services are contended.
    :param stop_admission: decides on requests while the process stops.
    :param clock: measures deadlines.
    """

    def __init__(
        self,
        names: "HeaderNames",
        state_view: "StateView",
        tenant_authenticator: "TenantAuthenticator",
        quotas: "Quotas",
        forwarder: "Forwarder",
        telemetry: "Telemetry",
        contention: "Contention",
        stop_admission: "StopAdmission",
        clock: "Clock",
    ) -> None:
        self._names = names
        self._state_view = state_view
        self._tenant_authenticator = tenant_authenticator
        self._quotas = quotas
        self._forwarder = forwarder
        self._telemetry = telemetry
        self._contention = contention
        self._stop_admission = stop_admission
        self._clock = clock
        self._memory = MemoryAccount(defaults.MAX_BUFFERED_BYTES)
        #: Bytes of answers that wait for their callers.
        self.answer_memory = AnswerMemory(self._memory)
        #: Requests in flight that a stop may have to end.
        self.requests = InFlightRequests(stop_admission)
        #: Number of requests in flight.
        self.in_flight = 0
        #: Requests that were refused, and that were cut off, as the process stops.
        self.refused_at_stop = 0
        self.cut_off_at_stop = 0

    async def __call__(self, scope: "Scope", receive: "Receive", send: "Send") -> None:
        if scope["type"] != "http":
            return
        answer = HeldAnswer(self.answer_memory, _caller_of(scope))
        try:
            await self._answer(scope, receive, send, answer)
        finally:
            answer.release()

    async def _answer(
        self, scope: "Scope", receive: "Receive", send: "Send", answer: HeldAnswer
    ) -> None:
        started_at = self._clock.monotonic()
        self.in_flight += 1
        request: t.Optional[SteeredRequest] = None
        body = _request_body(scope, receive, self._memory)
        try:
            request = self._build_request(scope, body, started_at)
            request.held_answer = answer
            self._refuse_at_once(request, answer)
            self.requests.add(request)
            reply = await self._serve(request, receive)
        except CallerGoneError:
            self._log(scope, request, None, started_at)
            return
        except asyncio.CancelledError:
            ended_by = None if request is None else take_refusal(request) or take_cut_off(request)
            if ended_by is None:
                self._note_cut_off(scope, request, started_at)
                raise
            reply = reply_from_error(ended_by)
        except CoralfallError as error:
            reply = reply_from_error(error)
        finally:
            self.in_flight -= 1
            if request is not None:
                self.requests.discard(request)
            if body is not None:
                body.release()
        if body is not None and not body.ended:
            # Part of the body stays unread, so no request can follow on this connection.
            reply.headers.append((b"connection", b"close"))
        self.refused_at_stop += reply.reason == STOPPING
        self.cut_off_at_stop += reply.reason == CUT_OFF
        self._log(scope, request, reply, started_at)
        await send(
            {"type": "http.response.start", "status": reply.status, "headers": reply.headers}
        )
        await send({"type": "http.response.body", "body": reply.body})
        wait_drained = scope.get("extensions", {}).get(DRAIN_EXTENSION)
        if answer.contended and answer.held and wait_drained is not None:
            await wait_drained(True)

    async def _serve(self, request: SteeredRequest, receive: "Receive") -> Reply:
        if request.body is not None:
            await self._buffer_body(request)
            if not request.body.ended:
                return await self._forward(request)
        watch = CallerWatch(receive)
        try:
            return await self._forward(request)
        except asyncio.CancelledError:
            if not watch.caller_gone:
                raise
            watch.uncancel()
            raise CallerGoneError("the caller closed its connection before the reply") from None
        finally:
            watch.stop()

    def _refuse_at_once(self, request: SteeredRequest, answer: HeldAnswer) -> None:
        """Refuses a request before its body is read, if it is known that it can't be served.

        :raises RefusedError: if the process ends too soon, or if too many bytes of answers wait for
            their callers.
        :raises OverLimitError: if the owners refused its tenant just now.
        """
        self._stop_admission.check(request.service, request.deadline, request.is_idempotent)
        self._quotas.check_backoff(request.tenant)
        if request.contended:
            self.answer_memory.check_room(request.caller)
            answer.contended = True

    async def _forward(self, request: SteeredRequest) -> Reply:
        owner_id = await self._quotas.acquire(request.tenant)
        try:
            return await self._forwarder.forward(request)
        finally:
            if not request.may_have_run():
                self._quotas.return_token(request.tenant, owner_id)

    async def _buffer_body(self, request: SteeredRequest) -> None:
        body = request.body
        assert body is not None
        limits = self._state_view.state.limits if self._state_view.state is not None else None
        if limits is not None:
            body.limit = limits.max_body_bytes
            if body.length is not None and body.length > limits.max_body_bytes:
                message = f"body is longer than {limits.max_body_bytes} bytes"
                raise RequestError("body-too-large", 413, message)
        try:
            async with asyncio.timeout(request.deadline - self._clock.monotonic()):
                await body.hold(defaults.MAX_BUFFERED_UPLOAD_BYTES)
        except TimeoutError:
            message = "the body did not come before the deadline"
            raise RequestError("body-too-slow", 408, message) from None

    def _build_request(
        self, scope: "Scope", body: t.Optional[RequestBody], started_at: float
    ) -> SteeredRequest:
        method = scope["method"]
        if method in _REJECTED_METHODS:
            raise RequestError("method", 405, f"method {method} is not carried")
        routes = self._state_view.routes
        if routes is None:
            message = "no desired state is known yet"
            raise RefusedError(message, defaults.STEER_RETRY_AFTER_S, reason="no-state")
        headers = scope["headers"]
        host = _header(headers, b"host") or b""
        path = scope["raw_path"].decode("latin-1")
        route = routes.find(host.decode("latin-1"), path)
        if route is None:
            raise RequestError("unknown-route", 404, "no route matches host and path")
        tenant = self._tenant_authenticator.authenticate(headers, route)
        if scope["query_string"]:
            path += "?" + scope["query_string"].decode("latin-1")
        request_id = (_header(headers, self._names.request_id) or b"").decode("latin-1")
        key = self._names.affinity_key(headers) if route.session_affinity else None
        time_left_s = self._time_left_of(headers)
        service = self._state_view.split.choose(route)
        return SteeredRequest(
            method,
            path,
            host.decode("latin-1"),
            headers,
            body,
            route,
            service,
            request_id,
            key if key is not None else request_id.encode(),
            started_at
            + (route.timeout_s if time_left_s is None else min(time_left_s, route.timeout_s)),
            time_left_s,
            _caller_of(scope),
            tenant,
            allowed_regions_for(route, tenant),
            self._contention.is_contended(service),
        )

    def _time_left_of(self, headers: t.Sequence[t.Tuple[bytes, bytes]]) -> t.Optional[float]:
        value = _header(headers, self._names.time_left)
        if value is None:
            return None
        if not value.isdigit() or len(value) > _MAX_MILLISECONDS_DIGITS:
            raise RequestError("deadline", 400, "the time left is not in whole milliseconds")
        return int(value) / 1000

    def _note_cut_off(
        self, scope: "Scope", request: t.Optional[SteeredRequest], started_at: float
    ) -> None:
        self.cut_off_at_stop += 1
        self._log(scope, request, None, started_at, CUT_OFF)

    def _log(
        self,
        scope: "Scope",
        request: t.Optional[SteeredRequest],
        reply: t.Optional[Reply],
        started_at: float,
        no_reply: str = "caller-gone",
    ) -> None:
        state_view = self._state_view
        if request is None:
            self._telemetry.count_rejected(reply, no_reply)
            name = self._names.request_id
            log.info(
                "request.refused",
                id=(_header(scope["headers"], name) or b"").decode("latin-1"),
                path=scope["path"],
                status=reply.status if reply else 0,
                reason=reply.reason if reply else no_reply,
                **self._shutdown_fields(None),
                version=state_view.version,
            )
            return
        now = self._clock.monotonic()
        self._telemetry.count_request(request, reply, now - started_at, no_reply)
        log.info(
            "request.ended",
            id=request.request_id,
            route=request.route.route_id,
            tenant=request.tenant.tenant_id if request.tenant is not None else "none",
            service=request.service,
            status=reply.status if reply else 0,
            outcome=reply.outcome if reply else no_reply,
            reason=reply.reason if reply else no_reply,
            ms=round((now - started_at) * 1000),
            aim_ms=round(request.route.latency_target_s * 1000),
            sends=",".join([str(send) for send in request.attempts]) or "none",
            **_retry_fields(request),
            **_dispatch_fields(request),
            **_fingerprint_fields(request),
            **({"quota": reply.detail} if reply is not None and reply.detail else {}),
            **self._shutdown_fields(request),
            version=state_view.version,
            state_age_ms=round(state_view.state_age_s() * 1000),
            targets_age_ms=round(state_view.targets_age_s() * 1000),
        )

    def _shutdown_fields(self, request: t.Optional[SteeredRequest]) -> t.Dict[str, int]:
        """Returns the log fields that tell how far the process is on its way to stop, if it is."""
        shutdown = self._stop_admission.shutdown
        if not shutdown.is_begun:
            return {}
        fields = {
            "stop_age_ms": round(shutdown.age_s() * 1000),
            "stop_left_ms": round(shutdown.left_s() * 1000),
        }
        if request is not None:
            fields["time_left_ms"] = round((request.deadline - self._clock.monotonic()) * 1000)
        return fields


def _retry_fields(request: SteeredRequest) -> t.Dict[str, str]:
    """Returns the log field that tells why a request was not sent once more, if it failed."""
    if not request.retry_verdicts or request.retry_verdicts[-1] is RetryVerdict.ALLOWED:
        return {}
    return {"retry": request.retry_verdicts[-1].value}


def _dispatch_fields(request: SteeredRequest) -> t.Dict[str, str]:
    """Returns the log field of the answers of dispatchers; only contended services have any."""
    if not request.asks:
        return {}
    return {"dispatch": ",".join([str(ask) for ask in request.asks])}


def _fingerprint_fields(request: SteeredRequest) -> t.Dict[str, str]:
    """Returns the log fields that identify repeats; only suspected requests have a fingerprint."""
    if request.fingerprint is None:
        return {}
    return {"fingerprint": str(request.fingerprint), "caller": request.caller}


def _caller_of(scope: "Scope") -> str:
    client = scope.get("client")
    return str(client[0]) if client else ""


def _header(headers: t.Sequence[t.Tuple[bytes, bytes]], name: bytes) -> t.Optional[bytes]:
    for field, value in headers:
        if field == name:
            return value
    return None


def _request_body(
    scope: "Scope", receive: "Receive", memory: MemoryAccount
) -> t.Optional[RequestBody]:
    length = _header(scope["headers"], b"content-length")
    if _header(scope["headers"], b"transfer-encoding") is not None:
        return RequestBody(pieces_of(receive), None, memory)
    if length is not None and int(length) > 0:
        return RequestBody(pieces_of(receive), int(length), memory)
    return None
