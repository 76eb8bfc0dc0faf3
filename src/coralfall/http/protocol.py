"""HTTP/1.1 towards callers: uvicorn's protocol on httptools, with bounds and strict framing.

llhttp, below httptools, refuses most of what smuggles requests: both a Content-Length and a
Transfer-Encoding, several or malformed lengths, folded or bare line ends, bad chunks. This adds
what it leaves out: bounds on size, time, pipelined requests and connections, one Host, known
versions, and no coding but ``chunked``.
"""

import asyncio
import functools
import typing as t

import httptools
import msgspec
from uvicorn.protocols.http.httptools_impl import STATUS_LINE, RequestResponseCycle

from .. import defaults
from .drain import DrainingProtocol
from .part_pacer import PartPacer

if t.TYPE_CHECKING:
    from ..process.metrics import Metrics
    from ..settings import HttpSettings

Header = t.Tuple[bytes, bytes]

#: Seconds without a byte until which a refused caller's bytes are read and dropped. Closing a
#: connection with unread bytes would reset it, and the caller might never see why.
LINGER_S = 3.0
#: The same while the server stops, and the most seconds and bytes for which a caller may go on.
STOPPING_LINGER_S = 1.0
MAX_LINGER_S = 10.0
MAX_LINGER_BYTES = 64 * 1024 * 1024
#: Connections above the bound that are still told so; those beyond are cut at once.
OVERFLOW = 64
#: Seconds after which a caller that found no free connection may come back.
RETRY_AFTER_S = 1

#: Bytes that a header line has besides its name and value.
_LINE_BYTES = 4
#: Header fields that may come once only, and one that is acted on.
_CHECKED = frozenset({b"host", b"content-length", b"transfer-encoding", b"expect"})
_BODY = frozenset({b"content-length", b"transfer-encoding"})
_VERSIONS = frozenset({"1.0", "1.1"})


class _RefusedError(Exception):
    """Ends the parsing of a request that breaks a rule.

    :param status: HTTP status to answer with.
    :param code: stable name of the rule.
    :param message: what is wrong and what is allowed.
    """

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message


class Connections:
    """What the connections of one server share.

    :param settings: bounds of the server.
    :param refusal_headers: added to the answer of a request that no application saw.
    :param metrics: counts refusals as ``http.refused.<code>``.
    """

    def __init__(
        self,
        settings: "HttpSettings",
        refusal_headers: t.Sequence[Header] = (),
        metrics: "t.Optional[Metrics]" = None,
    ) -> None:
        self.settings = settings
        self.refusal_headers = list(refusal_headers)
        #: Set once the server takes no new connections.
        self.stopping = False
        self.all: t.Set[CallerProtocol] = set()
        self._metrics = metrics
        self.pacer = PartPacer()
        # Ordered from the one idle for longest.
        self._idle: t.Dict[CallerProtocol, None] = {}
        self._none_left = asyncio.Event()

    def add(self, connection: "CallerProtocol") -> int:
        """Take in a new connection; by how many there are too many, after closing an idle one."""
        self.all.add(connection)
        self._none_left.clear()
        excess = len(self.all) - self.settings.max_connections
        if excess <= 0:
            return 0
        if self._idle:
            self._close_longest_idle()
            return 0
        return excess

    def remove(self, connection: "CallerProtocol") -> None:
        """Forget a connection that was closed."""
        self.all.discard(connection)
        self._idle.pop(connection, None)
        if not self.all:
            self._none_left.set()

    def mark_idle(self, connection: "CallerProtocol") -> None:
        """Note that a connection waits for its next request; close another if too many do."""
        self._idle[connection] = None
        if len(self._idle) > self.settings.max_idle_connections:
            self._close_longest_idle()

    def mark_busy(self, connection: "CallerProtocol") -> None:
        """Note that a connection is in use."""
        self._idle.pop(connection, None)

    def _close_longest_idle(self) -> None:
        longest = next(iter(self._idle))
        del self._idle[longest]
        longest.transport.close()

    def count_refusal(self, code: str) -> None:
        """Count a request that was refused."""
        if self._metrics is not None:
            self._metrics.count(f"http.refused.{code}")

    async def wait_none_left(self) -> None:
        """Return once all connections are closed."""
        if self.all:
            await self._none_left.wait()


class _CycleTransport:
    """A connection as uvicorn's cycle sees it, which closes it right after an answer.

    :param protocol: decides whether the connection may be closed at once.
    :param transport: of the connection.
    """

    __slots__ = ("close", "is_closing", "write")

    def __init__(self, protocol: "CallerProtocol", transport: asyncio.Transport) -> None:
        self.close = protocol.close_after_answer
        self.is_closing = transport.is_closing
        self.write = transport.write


class CallerProtocol(DrainingProtocol):
    """One caller's connection.

    :param shared: what all connections of the server share.
    """

    def __init__(self, shared: Connections, **options: t.Any) -> None:
        super().__init__(**options)
        self._shared = shared
        # Whether the next header field belongs to a head, and whether that head has begun.
        self._in_head = True
        self._begun = False
        # Bytes of the lines of this head that are whole.
        self._head_bytes = 0
        # Bytes received since the parser last got anywhere.
        self._stalled_bytes = 0
        self._progressed = False
        self._seen: t.Set[bytes] = set()
        # The request before the newest one.
        self._previous: t.Optional[RequestResponseCycle] = None
        # The request whose answer closes the connection because the server stops.
        self._closing: t.Optional[RequestResponseCycle] = None
        self._head_timer: t.Optional[asyncio.TimerHandle] = None
        # Whether what still comes is dropped.
        self._deaf = False
        # What was received and is not parsed yet, and pieces of a body that were not handed on.
        self._unparsed = b""
        self._parse_timer: t.Optional[asyncio.TimerHandle] = None
        self._paused_by_pacer = False
        self._body_pieces: t.List[bytes] = []
        self._parts = 0
        self._linger_until = 0.0
        self._last_received_at = 0.0
        self._dropped_bytes = 0

    @property
    def _settings(self) -> "HttpSettings":
        return self._shared.settings

    # Connection

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        self._cycle_transport: t.Any = _CycleTransport(self, transport)
        excess = self._shared.add(self)
        if excess > OVERFLOW:
            self._deaf = True
            transport.abort()
            return
        if excess > 0:
            self._refuse(_RefusedError(503, "busy", "too many connections; retry later"))
            return
        self._arm_head_timer()

    def connection_lost(self, exc: t.Optional[Exception]) -> None:
        self._disarm_head_timer()
        self._unset_keepalive_if_required()
        if self._parse_timer is not None:
            self._parse_timer.cancel()
        self._shared.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self._deaf:
            self._drop(data)
            return
        self._unset_keepalive_if_required()
        self._shared.mark_busy(self)
        self._unparsed += data
        if self._parse_timer is None:
            self._parse()

    def _parse(self) -> None:
        """Parses what was received, as much at a time as the pacer allows."""
        self._parse_timer = None
        data, self._unparsed = self._unparsed, b""
        for start in range(0, len(data), defaults.PARSED_SLICE_BYTES):
            if self._deaf:
                self._drop(data[start:])
                break
            end = start + defaults.PARSED_SLICE_BYTES
            self._parts = 0
            self._take(data[start:end])
            if self._parts <= defaults.FREE_PARTS or self._deaf or self.transport.is_closing():
                continue
            pause_s = self._shared.pacer.pause_s(self.loop.time(), self._parts)
            self._pause_parsing(data[end:], pause_s)
            return
        self._hand_on_body()
        if self._paused_by_pacer:
            self._paused_by_pacer = False
            if not self.flow.read_paused and not self.transport.is_closing():
                self.transport.resume_reading()

    def _pause_parsing(self, unparsed: bytes, seconds: float) -> None:
        self._hand_on_body()
        self._unparsed = unparsed
        self._paused_by_pacer = True
        self.transport.pause_reading()
        self._parse_timer = self.loop.call_later(seconds, self._parse)

    def _take(self, data: bytes) -> None:
        self._progressed = False
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # What follows would be another protocol, and none is offered.
            self._deaf = True
        except httptools.HttpParserError as error:
            self._refuse(_refusal_of(error))
            return
        if self._progressed and not self._begun:
            self._stalled_bytes = 0
            return
        self._check_progress(len(data))
        self._watch_head()

    def _check_progress(self, size: int) -> None:
        # httptools gathers a line before it hands it on, in a head and in trailers alike.
        self._stalled_bytes = 0 if self._progressed else self._stalled_bytes + size
        if self._stalled_bytes > self._settings.max_header_bytes:
            self._refuse(self._too_large())

    def _watch_head(self) -> None:
        if self._deaf or self._head_timer is not None:
            return
        # Line ends before a request begin none, yet they must not keep a connection for ever.
        if self._begun or (not self._progressed and self._is_idle()):
            self._arm_head_timer()

    def _is_idle(self) -> bool:
        return self.cycle is None or self.cycle.response_complete

    def shutdown(self) -> None:
        """Close once the requests in flight are answered, or soon if there are none."""
        if self.cycle is not None and not self.cycle.response_complete:
            self._close_after_newest()
            return
        # A request may be on its way already; it is answered if it comes in time.
        self._unset_keepalive_if_required()
        self.timeout_keep_alive_task = self.loop.call_later(
            self._settings.idle_stop_s, self.timeout_keep_alive_handler
        )

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._begun = True
        self._progressed = True
        self._head_bytes = 0
        self._seen.clear()

    def _hand_on_body(self) -> None:
        # In one piece, as each one is copied with all that was not read yet.
        if self._body_pieces:
            body = b"".join(self._body_pieces)
            self._body_pieces.clear()
            super().on_body(body)

    def on_url(self, url: bytes) -> None:
        self._head_bytes += len(url)
        if self._head_bytes > self._settings.max_header_bytes:
            raise self._too_large()
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        # Runs for each field of each request, so it does its parent's work itself.
        self._parts += 1
        self._head_bytes += len(name) + len(value) + _LINE_BYTES
        if self._head_bytes > self._settings.max_header_bytes:
            raise self._too_large()
        if not self._in_head:
            # A trailer; the application has the head's fields already and must not see more.
            return
        field = name.lower()
        value = value.rstrip(b" \t")
        if field in _CHECKED:
            self._check_field(field, value)
        self.headers.append((field, value))

    def on_headers_complete(self) -> None:
        self._check_head()
        self._previous = self.cycle
        super().on_headers_complete()
        self.cycle.transport = self._cycle_transport
        self._disarm_head_timer()
        self._in_head = False
        self._begun = False
        self._progressed = True
        self._head_bytes = 0
        if self.parser.should_upgrade():
            self.cycle.keep_alive = False
        if self._shared.stopping:
            self._close_after_newest()

    def _close_after_newest(self) -> None:
        """Closes the connection after the newest request instead of the one before it."""
        before = self._closing
        if before is self.cycle:
            return
        if before is not None and before is self._previous and not before.response_started:
            # Closing after its answer would drop the newest one, which was read already.
            before.keep_alive = True
        self._closing = self.cycle if self.cycle.keep_alive else None
        self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        self._progressed = True
        self._parts += 1
        self._body_pieces.append(body)

    def on_message_complete(self) -> None:
        self._hand_on_body()
        super().on_message_complete()
        self._in_head = True
        self._progressed = True
        self._head_bytes = 0

    def on_response_complete(self) -> None:
        unread = self._is_idle() and self.cycle.more_body
        super().on_response_complete()
        if self.transport.is_closing():
            return
        if unread:
            # Answered before its body was whole; the rest is not worth waiting for.
            self._deaf = True
            self._close_after_lingering()
            return
        if self.timeout_keep_alive_task is not None:
            self._shared.mark_idle(self)

    def close_after_answer(self) -> None:
        """Closes the connection, unless its caller still sends the body of what was answered."""
        if self._is_idle() and self.cycle.more_body and not self._deaf:
            # The end of the answer follows, which lingers.
            return
        self.transport.close()

    # Rules

    def _check_head(self) -> None:
        version = self.parser.get_http_version()
        if version not in _VERSIONS:
            raise _RefusedError(505, "http-version", "HTTP/1.1 and HTTP/1.0 are spoken")
        if version == "1.1" and b"host" not in self._seen:
            raise _RefusedError(400, "host-missing", "HTTP/1.1 needs one host header")
        if version == "1.0" and b"transfer-encoding" in self._seen:
            raise _RefusedError(400, "transfer-encoding", "HTTP/1.0 has no transfer-encoding")
        if self.parser.should_upgrade() and _BODY & self._seen:
            raise _RefusedError(400, "upgrade", "a request with a body can't ask for an upgrade")
        if len(self.pipeline) >= self._settings.max_pipelined:
            raise _RefusedError(503, "pipelined", "too many requests at once on one connection")

    def _check_field(self, field: bytes, value: bytes) -> None:
        if field == b"expect":
            self.expect_100_continue = value.lower() == b"100-continue"
            return
        if field in self._seen:
            raise _RefusedError(400, "repeated-header", f"{field.decode()} may come once only")
        self._seen.add(field)
        if field == b"transfer-encoding" and value.lower() != b"chunked":
            raise _RefusedError(400, "transfer-encoding", "no coding but chunked is taken")

    def _too_large(self) -> _RefusedError:
        limit = self._settings.max_header_bytes
        return _RefusedError(431, "head-too-large", f"a head may have {limit} bytes")

    # Time

    def _arm_head_timer(self) -> None:
        self._head_timer = self.loop.call_later(
            self._settings.header_timeout_s, self._head_timed_out
        )

    def _disarm_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _head_timed_out(self) -> None:
        self._head_timer = None
        if not self._begun:
            self.transport.close()
            return
        limit = self._settings.header_timeout_s
        self._refuse(_RefusedError(408, "head-too-slow", f"a head must come within {limit:g} s"))

    # Refusal

    def _refuse(self, refusal: _RefusedError) -> None:
        """Take nothing more from this caller, and tell it why where that can't be mistaken."""
        self._deaf = True
        self._body_pieces.clear()
        self._disarm_head_timer()
        self._unset_keepalive_if_required()
        self._shared.count_refusal(refusal.code)
        if self._is_idle():
            if self._in_head:
                self._answer_refusal(refusal, self._shared.refusal_headers)
            else:
                self.transport.close()
            return
        if not self.cycle.more_body:
            # Whole requests before this one are in flight; the last ends the connection.
            self.cycle.keep_alive = False
            return
        self._end_broken_body(refusal)

    def _end_broken_body(self, refusal: _RefusedError) -> None:
        if self.pipeline and self._previous is not None:
            # It was not started yet, and won't be: the one before it ends the connection.
            self.cycle = self._previous
            self.cycle.keep_alive = False
            return
        self.cycle.disconnected = True
        self.cycle.message_event.set()
        if self.cycle.response_started:
            self.transport.close()
            return
        # The application saw the request, so nothing is said of what became of it.
        self._answer_refusal(refusal, ())

    def _answer_refusal(self, refusal: _RefusedError, headers: t.Iterable[Header]) -> None:
        if self.transport.is_closing():
            return
        body = msgspec.json.encode({"code": refusal.code, "message": refusal.message})
        fields = list(self.server_state.default_headers)
        fields += headers
        fields.append((b"content-type", b"application/json"))
        fields.append((b"content-length", str(len(body)).encode()))
        fields.append((b"connection", b"close"))
        if refusal.status == 503:
            fields.append((b"retry-after", str(RETRY_AFTER_S).encode()))
        lines = [STATUS_LINE[refusal.status]]
        for name, value in fields:
            lines += [name, b": ", value, b"\r\n"]
        self.transport.write(b"".join([*lines, b"\r\n", body]))
        self._close_after_lingering()

    def _close_after_lingering(self) -> None:
        self.transport.write_eof()
        now = self.loop.time()
        self._last_received_at = now
        self._linger_until = now + MAX_LINGER_S
        self._linger()

    def _linger(self) -> None:
        if self.transport.is_closing():
            return
        idle_s = STOPPING_LINGER_S if self._shared.stopping else LINGER_S
        until = min(self._last_received_at + idle_s, self._linger_until)
        seconds = until - self.loop.time()
        if seconds <= 0:
            self.transport.close()
            return
        # Looked at again soon, since the server may stop meanwhile.
        self.loop.call_later(min(seconds, STOPPING_LINGER_S), self._linger)

    def _drop(self, data: bytes) -> None:
        self._last_received_at = self.loop.time()
        self._dropped_bytes += len(data)
        if self._dropped_bytes > MAX_LINGER_BYTES:
            self.transport.close()


def _refusal_of(error: httptools.HttpParserError) -> _RefusedError:
    cause = error.__context__
    if isinstance(cause, _RefusedError):
        return cause
    return _RefusedError(400, "malformed", "the request is not well-formed HTTP/1.1")


def protocol_factory(shared: Connections) -> t.Callable[..., CallerProtocol]:
    """What uvicorn calls to make the protocol of each connection."""
    return functools.partial(CallerProtocol, shared)
