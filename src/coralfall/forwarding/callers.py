"""The callers' port: an ASGI application that carries requests and answers look-ups."""

import abc
import asyncio
import time
import typing as t

from ..exceptions import CallerGoneError, RequestError, TargetError
from ..http.caller_watch import CallerWatch
from ..ids import Outcome, PartnerId, ServiceId
from ..placement.stop_admission import STOPPING
from .answer import Answer, answer_of
from .request import CallerRequest, MemoryAccount, RequestBody, pieces_of

if t.TYPE_CHECKING:
    from starlette.types import Receive, Scope, Send

    from .dispatch import Dispatcher
    from .observer import RequestObserver
    from .stop_log import StopLog

_LOOKUP_PATH = "/lookup"
_FIRST_SERVER_ERROR = 500
_REFUSED_METHODS = frozenset(("CONNECT", "TRACE"))


class LookupSource(abc.ABC):
    """Answers look-ups.

    Write your own by reading the query of the scope::

        class FixedLookup(LookupSource):
            def answer(self, query: bytes, peer: t.Optional[str]) -> Answer:
                return Answer(200, [], b"...", Outcome.DONE)
    """

    @abc.abstractmethod
    def answer(self, query: bytes, peer: t.Optional[str]) -> Answer:
        """The answer to ``GET /lookup``.

        :param query: the raw query string.
        :param peer: IP number that the caller's connection comes from.
        """


class CallersApp:
    """ASGI application of the callers' port.

    Plain ASGI and not a router of a framework: every read of every caller passes here.

    :param dispatcher: carries requests.
    :param lookup: answers look-ups.
    :param observer: is told of each request that is over.
    :param stop_log: is told of each request that is refused or cut off as the process stops.
    """

    def __init__(
        self,
        dispatcher: "Dispatcher",
        lookup: LookupSource,
        observer: "t.Optional[RequestObserver]" = None,
        stop_log: "t.Optional[StopLog]" = None,
    ) -> None:
        self._dispatcher = dispatcher
        self._lookup = lookup
        self._observer = observer
        self._stop_log = stop_log
        #: Bytes of bodies that are held, of all requests together.
        self.memory = MemoryAccount()

    async def __call__(self, scope: "Scope", receive: "Receive", send: "Send") -> None:
        if scope["type"] != "http":
            return
        if scope["path"] == _LOOKUP_PATH:
            await _send_whole(self._look_up(scope), send)
            return
        try:
            request = _request_of(scope, receive, self.memory)
        except RequestError as error:
            await _send_whole(_closing(answer_of(error, Outcome.NOT_RUN)), send)
            return
        began = time.perf_counter()
        try:
            if request.read and request.body is None:
                await self._serve_read(request, scope, receive, send)
            else:
                await self._serve(request, scope, send)
        except asyncio.CancelledError:
            # Only the end of the server does this: the cancellation by a caller ends further in.
            if self._stop_log is not None:
                self._stop_log.note_cut_off(request, time.perf_counter() - began)
            raise

    def _look_up(self, scope: "Scope") -> Answer:
        if scope["method"] not in ("GET", "HEAD"):
            error = RequestError("method", 405, "look-ups are made with GET")
            return answer_of(error, Outcome.NOT_RUN)
        return self._lookup.answer(scope["query_string"], _caller_host(scope))

    async def _serve_read(
        self, request: CallerRequest, scope: "Scope", receive: "Receive", send: "Send"
    ) -> None:
        """Serve a read, which ends when its caller leaves."""
        watch = CallerWatch(receive)
        try:
            await self._serve(request, scope, send)
        except asyncio.CancelledError:
            if not watch.caller_gone:
                raise
            watch.uncancel()
        finally:
            watch.stop()

    async def _serve(self, request: CallerRequest, scope: "Scope", send: "Send") -> None:
        began = time.perf_counter()
        try:
            answer = await self._dispatcher.dispatch(request)
        except CallerGoneError:
            return
        if answer.stream is not None and _is_endless(answer, scope):
            answer = _too_old(answer)
        if request.body is not None and not request.body.ended:
            answer = _closing(answer)
        if answer.stream is None:
            await _send_whole(answer, send)
            whole = True
        else:
            whole = await _send_stream(answer, send)
        self._observe(request, answer, began, whole)

    def _observe(self, request: CallerRequest, answer: Answer, began: float, whole: bool) -> None:
        seconds = time.perf_counter() - began
        if self._stop_log is not None and answer.reason == STOPPING:
            self._stop_log.note_refused(request, seconds)
        if self._observer is None or answer.rules is None:
            return
        well = whole and answer.status < _FIRST_SERVER_ERROR
        self._observer.ended(
            request.partner, request.service, answer.rules, answer.outcome, well, seconds
        )


def _request_of(scope: "Scope", receive: "Receive", memory: MemoryAccount) -> CallerRequest:
    method = scope["method"]
    if method in _REFUSED_METHODS:
        raise RequestError("method", 405, f"method {method} is not carried")
    parts = scope["raw_path"].decode("ascii").split("/", 3)
    if len(parts) < 3 or not parts[1] or not parts[2]:
        message = "the path is not /{partner}/{service}/..."
        raise RequestError("unknown-path", 404, message)
    path = "/" + (parts[3] if len(parts) > 3 else "")
    if scope["query_string"]:
        path += "?" + scope["query_string"].decode("ascii")
    return CallerRequest(
        partner=PartnerId(parts[1]),
        service=ServiceId(parts[2]),
        method=method,
        path=path,
        headers=scope["headers"],
        body=_body_of(scope, receive, memory),
        caller_host=_caller_host(scope) or "unknown",
    )


def _caller_host(scope: "Scope") -> t.Optional[str]:
    client = scope.get("client")
    return client[0] if client else None


def _body_of(scope: "Scope", receive: "Receive", memory: MemoryAccount) -> t.Optional[RequestBody]:
    length: t.Optional[int] = None
    chunked = False
    for name, value in scope["headers"]:
        if name == b"content-length":
            length = int(value)
        elif name == b"transfer-encoding":
            chunked = True
    if chunked:
        return RequestBody(pieces_of(receive), None, memory)
    if length:
        return RequestBody(pieces_of(receive), length, memory)
    return None


def _is_endless(answer: Answer, scope: "Scope") -> bool:
    """Whether the caller could not tell a break of this answer from its end."""
    if scope["http_version"] != "1.0":
        return False
    return all(name != b"content-length" for name, _ in answer.headers)


def _closing(answer: Answer) -> Answer:
    """Tell the caller that its connection is over, since the rest of its body is not read.

    A caller that did not know would send its next request on it and lose that one.
    """
    answer.headers = [*answer.headers, (b"connection", b"close")]
    return answer


def _too_old(answer: Answer) -> Answer:
    assert answer.stream is not None
    answer.stream.abort()
    message = "the answer is long and of unknown length, which HTTP/1.0 can't carry; use HTTP/1.1"
    told = answer_of(RequestError("http-version", 505, message), answer.outcome)
    told.version = answer.version
    told.rules = answer.rules
    return told


async def _send_whole(answer: Answer, send: "Send") -> None:
    headers = answer.all_headers()
    await send({"type": "http.response.start", "status": answer.status, "headers": headers})
    await send({"type": "http.response.body", "body": answer.body})


async def _send_stream(answer: Answer, send: "Send") -> bool:
    """Send a long answer; if it breaks off, leave it unfinished for the caller to see.

    The server closes the connection of an answer that is left unfinished: without the last
    chunk, or short of its length.

    :return: whether all of it was sent.
    """
    stream = answer.stream
    assert stream is not None
    headers = answer.all_headers()
    try:
        await send({"type": "http.response.start", "status": answer.status, "headers": headers})
        if answer.body:
            await send(_piece(answer.body))
        while piece := await stream.piece():
            await send(_piece(piece))
        await send({"type": "http.response.body", "body": b""})
    except TargetError:
        return False
    finally:
        stream.abort()
    return True


def _piece(body: bytes) -> t.Dict[str, t.Any]:
    return {"type": "http.response.body", "body": body, "more_body": True}
