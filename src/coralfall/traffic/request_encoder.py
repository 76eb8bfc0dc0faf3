"""Request encoder: the bytes of a caller's request as they are sent to a target."""

import typing as t

from ..forwarding.headers import HOP_BY_HOP
from .connection import encode_head

if t.TYPE_CHECKING:
    from ..forwarding.request import RequestBody
    from .model import Target
    from .steered_request import SteeredRequest
    from .wire import HeaderNames

_REPLACED_HEADERS = HOP_BY_HOP | {b"content-length", b"host", b"expect"}


class RequestEncoder:
    """Encodes requests to targets.

    :param names: header names.
    """

    def __init__(self, names: "HeaderNames") -> None:
        self._names = names
        self._stripped_headers = _REPLACED_HEADERS | {
            names.time_left,
            names.expected_target,
            names.credential,
            names.tenant,
        }

    def encode(
        self, request: "SteeredRequest", target: "Target", time_left_s: float
    ) -> t.Tuple[bytes, bytes, t.Optional[t.AsyncIterator[bytes]]]:
        """Returns head, body, and the rest of the body if it is not buffered whole."""
        names = self._names
        fields = [field for field in request.headers if field[0] not in self._stripped_headers]
        fields.append((names.time_left, str(max(1, int(time_left_s * 1000))).encode()))
        fields.append((names.expected_target, target.target_id.encode()))
        if request.tenant is not None:
            fields.append((names.tenant, request.tenant.tenant_id.encode()))
        body = request.body
        body_stream: t.Optional[t.AsyncIterator[bytes]] = None
        whole = b""
        if body is not None:
            held = body.whole
            if held is not None:
                whole = held
                fields.append((b"content-length", str(len(held)).encode()))
            elif body.length is not None:
                fields.append((b"content-length", str(body.length).encode()))
                body_stream = aiter(body)
            else:
                fields.append((b"transfer-encoding", b"chunked"))
                body_stream = _chunked(body)
        return encode_head(request.method, request.path, request.host, fields), whole, body_stream


async def _chunked(body: "RequestBody") -> t.AsyncIterator[bytes]:
    async for piece in body:
        yield b"%x\r\n%b\r\n" % (len(piece), piece)
    yield b"0\r\n\r\n"


def replace_time_left(head: bytes, name: bytes, time_left_s: float) -> bytes:
    """Returns an encoded head with another time left.

    :param name: name of the header, in lower case.
    """
    start = head.index(b"\r\n" + name + b": ") + len(name) + 4
    end = head.index(b"\r\n", start)
    return b"%b%d%b" % (head[:start], max(1, int(time_left_s * 1000)), head[end:])
