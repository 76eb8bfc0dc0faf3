"""What callers are told if their key can't be claimed."""

from .. import defaults
from ..exceptions import (
    ClaimBusyError,
    ClaimError,
    ClaimMismatchError,
    ClaimUnknownError,
    CoralfallError,
)
from .claim_record import Verdict


def mismatch() -> ClaimError:
    return ClaimMismatchError("the idempotency key names another command; use a new key")


def busy() -> ClaimError:
    message = (
        "a request with this idempotency key is in progress, or its outcome is not known yet; "
        "retry with the same key"
    )
    return ClaimBusyError(message, defaults.RETRY_AFTER_S)


def unknown() -> ClaimError:
    message = (
        "a request with this idempotency key was dispatched, and its outcome stays unknown; "
        "find out what it did before a new key is used"
    )
    return ClaimUnknownError(message)


def error_of(verdict: Verdict) -> CoralfallError:
    if verdict is Verdict.MISMATCH:
        return mismatch()
    if verdict is Verdict.UNKNOWN:
        return unknown()
    return busy()
