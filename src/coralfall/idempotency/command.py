"""Commands with an idempotency key: what the key is, what the command is, what was kept of it."""

import hashlib
import typing as t

from .. import defaults
from ..exceptions import RequestError
from ..forwarding.answer import Answer, answer_of
from ..ids import IdempotencyKey, Outcome

if t.TYPE_CHECKING:
    from ..bundles.bundle import Service
    from ..cluster.rows import KeptAnswer
    from ..forwarding.request import CallerRequest

_KEY = defaults.HEADER_KEY.encode()


def key_of(request: "CallerRequest", rules: "Service") -> t.Optional[IdempotencyKey]:
    """Key that the caller sent, ``None`` if it sent none and needs none.

    :raises RequestError: if there must be one, or it can't be one.
    """
    value = request.header(_KEY)
    if value is None:
        if not rules.key_required:
            return None
        message = f"this service takes commands only with the header {defaults.HEADER_KEY}"
        raise RequestError("key-required", 400, message)
    text = value.decode("ascii", "replace")
    if not 0 < len(value) <= defaults.MAX_KEY_BYTES or not text.isprintable():
        message = f"{defaults.HEADER_KEY} must be 1 to {defaults.MAX_KEY_BYTES} printable letters"
        raise RequestError("key", 400, message)
    return IdempotencyKey(text)


def fingerprint_of(request: "CallerRequest") -> str:
    """Digest of what the command is; of a body too long to be held, only its length."""
    body = request.body
    whole = body.whole if body is not None else b""
    digest = hashlib.sha256(f"{request.method} {request.path}\n".encode())
    if whole is None:
        assert body is not None
        digest.update(b"length %r" % body.length)
    else:
        digest.update(hashlib.sha256(whole).digest())
    return digest.hexdigest()


def answer_of_kept(kept: "KeptAnswer") -> Answer:
    """The answer that an earlier request with the key got."""
    if kept.body is not None:
        return Answer(kept.status, list(kept.headers), kept.body, Outcome.DONE)
    message = "the command ran earlier; its answer was too long to be kept"
    error = RequestError("answer-not-kept", 409, message, answered=kept.status)
    return answer_of(error, Outcome.DONE)
