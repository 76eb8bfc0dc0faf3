"""A caller's request as it travels through an entry, and the memory its body may use."""

import typing as t

from .. import defaults
from ..exceptions import CallerGoneError, RefusedError, RequestError
from ..ids import PartnerId, ServiceId
from .headers import RawHeaders

if t.TYPE_CHECKING:
    from starlette.types import Receive

#: Methods that change nothing and may be sent again; every other one is a command.
READ_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))


class MemoryAccount:
    """Counts the bytes that an entry holds for its requests, up to a limit.

    :param limit: most bytes at one time.
    """

    def __init__(self, limit: int = defaults.MAX_BUFFERED_BYTES) -> None:
        self.limit = limit
        self.held = 0

    def take(self, count: int) -> None:
        """Count ``count`` bytes as held.

        :raises RefusedError: if they would go past the limit; nothing is counted then.
        """
        if self.held + count > self.limit:
            message = "the entry holds too many bytes of other requests; retry later"
            raise RefusedError(message, defaults.RETRY_AFTER_S, limit=self.limit)
        self.held += count

    def give(self, count: int) -> None:
        """Count ``count`` bytes as held no more."""
        self.held -= count


class RequestBody:
    """Body of a request, which can be sent again as long as nothing of it was let go.

    Iterating gives the body's pieces; it can be iterated again while :attr:`replayable`.

    :param pieces: the body as it comes from the caller.
    :param length: bytes the caller announced, or ``None`` if it did not say.
    :param memory: account that the held bytes count to.
    """

    def __init__(
        self, pieces: t.AsyncIterator[bytes], length: t.Optional[int], memory: MemoryAccount
    ) -> None:
        self.length = length
        self.limit = defaults.MAX_BUFFERED_BODY_BYTES
        #: Whether all of it has come from the caller.
        self.ended = False
        #: What ended the body early, if anything did.
        self.error: t.Optional[Exception] = None
        self._pieces = pieces
        self._memory = memory
        self._held = bytearray()
        self._whole = False
        self._started = False
        self._seen = 0

    @property
    def whole(self) -> t.Optional[bytes]:
        """The body, if all of it is held."""
        return bytes(self._held) if self._whole else None

    @property
    def replayable(self) -> bool:
        """Whether the body can still be sent from its first byte."""
        return self._whole or not self._started

    async def hold(self, most: int) -> None:
        """Read the body into memory, unless it turns out longer than ``most`` bytes.

        :raises RequestError: if it is longer than :attr:`limit`.
        :raises RefusedError: if the entry holds too much already.
        :raises CallerGoneError: if the caller leaves.
        """
        if self.length is not None and self.length > most:
            return
        async for piece in self._pieces:
            self._count(piece)
            self._memory.take(len(piece))
            self._held += piece
            if len(self._held) > most:
                return
        self._whole = True
        self.ended = True

    def release(self) -> None:
        """Give back the memory; the body can't be used again."""
        self._memory.give(len(self._held))
        self._held = bytearray()
        self._whole = False
        self._started = True

    async def __aiter__(self) -> t.AsyncIterator[bytes]:
        if self._held:
            yield bytes(self._held)
        if self._whole:
            return
        self._started = True
        try:
            async for piece in self._pieces:
                self._count(piece)
                yield piece
            self.ended = True
        except Exception as error:
            self.error = error
            raise

    def _count(self, piece: bytes) -> None:
        self._seen += len(piece)
        if self._seen > self.limit:
            raise body_too_large(self.limit)


async def pieces_of(receive: "Receive") -> t.AsyncIterator[bytes]:
    """A request's body as it comes from its caller.

    :param receive: of the ASGI application.
    :raises CallerGoneError: if the caller leaves before the body is whole.
    """
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError("the caller closed its connection within its request")
        if message["body"]:
            yield message["body"]
        if not message["more_body"]:
            return


def body_too_large(limit: int) -> RequestError:
    """The error for a body that is longer than its service allows."""
    message = f"body is longer than the {limit} bytes that this service takes"
    return RequestError("body-too-large", 413, message, max_body_bytes=limit)


class CallerRequest:
    """One request of a caller.

    :param method: HTTP method in upper case.
    :param path: path and query for the target, percent-encoded as the caller sent them.
    :param headers: the caller's headers, names in lower case.
    :param body: ``None`` if the request has none.
    :param caller_host: IP number of the caller.
    """

    __slots__ = ("body", "caller_host", "headers", "method", "partner", "path", "read", "service")

    def __init__(
        self,
        partner: PartnerId,
        service: ServiceId,
        method: str,
        path: str,
        headers: RawHeaders,
        body: t.Optional[RequestBody] = None,
        caller_host: str = "",
    ) -> None:
        self.partner = partner
        self.service = service
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.caller_host = caller_host
        #: Whether the request may be sent again without harm.
        self.read = method in READ_METHODS

    def header(self, name: bytes) -> t.Optional[bytes]:
        """Value of a header, ``None`` if it is absent.

        :raises RequestError: if it was sent more than once with different values.
        """
        found: t.Optional[bytes] = None
        for field, value in self.headers:
            if field != name:
                continue
            if found is not None and found != value:
                text = name.decode("ascii")
                message = f"header {text} was sent twice with different values"
                raise RequestError("header-repeated", 400, message, field=text)
            found = value
        return found
