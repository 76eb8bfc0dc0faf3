"""Response parser: reads one HTTP/1.1 response with httptools, and decides how it ends.

httptools gathers a line before it hands it on, and drops chunk extensions unseen. So the bytes of
whatever is no body are counted before they are parsed, and the parser is fed in slices.
"""

import typing as t

import httptools

from .. import defaults
from ..exceptions import CoralfallError
from ..http.framing import FramingLimit

Headers = t.List[t.Tuple[bytes, bytes]]

_NO_BODY_STATUSES = frozenset((204, 304))
_FIRST_FINAL_STATUS = 200


class BrokenResponseError(CoralfallError):
    """The connection ended, or received invalid HTTP, before the response was complete."""

    code = "answer-broken"


class ServerResponse:
    """A complete response."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        #: Names in lower case.
        self.headers = headers
        self.body = body

    def header(self, name: bytes) -> t.Optional[bytes]:
        """Returns the first value of a header, whose name is given in lower case."""
        for field, value in self.headers:
            if field == name:
                return value
        return None


class ResponseParser:
    """Parses one response.

    :param max_body_bytes: size limit of its body.
    :param bodiless: whether it has no body, whatever its head says.
    :param on_body_bytes: called with the size of each part of the body.
    """

    def __init__(
        self,
        max_body_bytes: int,
        bodiless: bool = False,
        on_body_bytes: t.Optional[t.Callable[[int], None]] = None,
    ) -> None:
        self._max_body_bytes = max_body_bytes
        self._bodiless = bodiless
        self._on_body_bytes = on_body_bytes
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._body = bytearray()
        self._framing: t.Optional[FramingLimit] = None
        self._status = 0
        self._problem: t.Optional[str] = None
        #: Number of parts that were parsed: header fields, heads, and pieces of the body.
        self.parts = 0
        #: Whether the head of the final response was received.
        self.head_complete = False
        #: Whether the response is complete.
        self.complete = False
        #: Whether the body ends with the connection.
        self.body_until_close = False
        #: Whether another response may follow on the connection.
        self.keeps_connection = True
        #: Idle timeout of the server, if it sent a ``Keep-Alive`` header.
        self.keep_alive_s: t.Optional[float] = None

    def take_response(self) -> ServerResponse:
        """Returns the response as far as it was received, and forgets its body."""
        body = bytes(self._body)
        self.drop_body()
        return ServerResponse(self._status, self._headers, body)

    def drop_body(self) -> None:
        """Frees the memory of the body."""
        self._body = bytearray()

    @property
    def head(self) -> t.Optional[ServerResponse]:
        """The response without its body; ``None`` if its head was not received."""
        return ServerResponse(self._status, self._headers, b"") if self.head_complete else None

    @property
    def body_bytes(self) -> int:
        """Bytes of the body that were received."""
        return len(self._body)

    def feed(self, data: bytes) -> None:
        """Takes a slice of at most ``PARSED_SLICE_BYTES`` from the connection.

        :raises BrokenResponseError: if the response is not valid, or a part of it is too long.
        """
        body_bytes = len(self._body)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("the server switched protocols")
        except httptools.HttpParserError as error:
            self._fail(self._problem or f"not an answer: {error}")
        self._check_framing(len(data), len(self._body) - body_bytes)

    def _check_framing(self, size: int, body_size: int) -> None:
        if self.complete:
            return
        if self._framing is None:
            self._framing = FramingLimit(defaults.MAX_ANSWER_HEAD_BYTES)
        problem = self._framing.add(size, body_size)
        if problem is not None:
            self._fail(problem)

    def end(self) -> None:
        """Takes in that the server has ended the connection."""
        if self.head_complete and self.body_until_close:
            self.complete = True

    def _fail(self, message: str) -> None:
        self.keeps_connection = False
        # Bytes after a complete response belong to no request, whatever they are.
        if not self.complete:
            raise BrokenResponseError(message)

    def _refuse(self, problem: str) -> None:
        # What a callback raises ends the parsing, and comes out as an HttpParserError.
        self._problem = problem
        raise ValueError(problem)

    # httptools

    def on_message_begin(self) -> None:
        if self.complete:
            self.keeps_connection = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.parts += 1
        # A trailer is no header of the response.
        if not self.head_complete:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self.parts += 1
        if self.complete:
            return
        self._status = self._parser.get_status_code()
        if self._status < _FIRST_FINAL_STATUS:
            self._headers = []
            return
        self.head_complete = True
        self._check_persistence()
        if self._bodiless:
            self.keeps_connection = False
            self.complete = True

    def _check_persistence(self) -> None:
        names = set()
        for name, value in self._headers:
            names.add(name)
            if name == b"connection" and b"close" in value.lower():
                self.keeps_connection = False
            elif name == b"keep-alive":
                self._read_keep_alive(value)
        framed = b"content-length" in names or b"transfer-encoding" in names
        self.body_until_close = not framed and self._status not in _NO_BODY_STATUSES
        if self.body_until_close or not self._parser.should_keep_alive():
            self.keeps_connection = False

    def _read_keep_alive(self, value: bytes) -> None:
        for part in value.split(b","):
            key, _, number = part.strip().partition(b"=")
            if key.lower() == b"timeout" and number.isdigit():
                self.keep_alive_s = float(number)

    def on_body(self, body: bytes) -> None:
        self.parts += 1
        if self.complete:
            return
        if len(self._body) + len(body) > self._max_body_bytes:
            self._refuse("body too long")
        self._body += body
        if self._on_body_bytes is not None:
            self._on_body_bytes(len(body))

    def on_message_complete(self) -> None:
        if self.head_complete and not self.body_until_close:
            self.complete = True
