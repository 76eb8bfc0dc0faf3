"""Exception hierarchy of the package.

Each error has a stable code to match on, a message of one line for people, and structured fields.
"""

import typing as t


class CoralfallError(Exception):
    """Base class of all errors that coralfall raises.

    :param message: what went wrong and how to fix it, in one line.
    :param fields: structured values that belong to the message.
    """

    #: Stable identifier for scripts and logs.
    code = "error"

    def __init__(self, message: str, **fields: t.Any) -> None:
        super().__init__(message)
        self.message = message
        self.fields = fields

    def as_dict(self) -> t.Dict[str, t.Any]:
        """Returns code, message and fields, for JSON output and for logs."""
        return {"code": self.code, "message": self.message, **self.fields}


class Fault(t.NamedTuple):
    """One error in an operator's input."""

    #: Location as a dotted path, such as ``services.catalogo.shift_cap``.
    path: str
    #: Stable identifier, such as ``unknown-field`` or ``wrong-type``.
    code: str
    #: What was found and what is allowed.
    message: str


class InputError(CoralfallError):
    """Invalid input of an operator, with every fault found in it.

    :param message: names the input, in one line.
    :param faults: at least one fault.
    """

    code = "input"

    def __init__(self, message: str, faults: t.Sequence[Fault], **fields: t.Any) -> None:
        super().__init__(message, **fields)
        self.faults = list(faults)

    def as_dict(self) -> t.Dict[str, t.Any]:
        faults = [fault._asdict() for fault in self.faults]
        return {**super().as_dict(), "faults": faults}


class SettingsError(InputError):
    """A settings file is missing, unreadable or invalid."""

    code = "settings"


class BundleError(InputError):
    """A bundle violates the bundle format."""

    code = "bundle"


class SignatureError(CoralfallError):
    """A signature or key is missing, forged, unknown or unsafe."""

    code = "signature"


class StatusError(CoralfallError):
    """An entry did not return its status, or returned one that can't be parsed."""

    code = "status"


class LookupFailedError(CoralfallError):
    """No entry answered a look-up; ``fields`` holds the result of each attempt."""

    code = "lookup"


class SupervisorError(CoralfallError):
    """A supervised child exited by itself or failed too often; ``fields`` names it."""

    code = "supervisor"


class ListenError(CoralfallError):
    """A listening socket can't be opened at an address."""

    code = "listen"


class PlatformError(CoralfallError):
    """Base class of errors of calls to the platform."""

    code = "platform"


class PlatformUnavailableError(PlatformError):
    """The platform did not carry out the call; a write had no effect."""

    code = "platform-unavailable"


class PlatformRejectedError(PlatformUnavailableError):
    """The platform rejected the call permanently; a retry can't succeed."""

    code = "platform-rejected"


class PlatformUnknownError(PlatformError):
    """No answer was received; a write may or may not have taken effect."""

    code = "platform-unknown"


class StaleAnswerError(PlatformUnavailableError):
    """The platform answered as of a moment before one that it had reached; nothing was taken."""

    code = "stale-answer"


class HistoryLostError(PlatformError):
    """The platform no longer has the changes since a revision; read a snapshot instead."""

    code = "history-lost"


class DesiredStateError(PlatformError):
    """A row can't be decoded; ``fields`` names the row and the field."""

    code = "desired-state"


class ObjectMissingError(PlatformError):
    """The object store has no object with the digest."""

    code = "object-missing"


class SubmitError(CoralfallError):
    """A bundle was not staged or accepted; ``fields`` has the reason and who won a conflict."""

    code = "submit"


class PeerError(CoralfallError):
    """Base class of errors of the peer protocol."""

    code = "peer"


class PeerAuthError(PeerError):
    """The peer failed to authenticate with the fleet's key."""

    code = "peer-auth"


class PeerVersionError(PeerError):
    """The peer uses another version of the peer protocol."""

    code = "peer-version"


class PeerFrameError(PeerError):
    """A frame is too long, truncated or not a known message."""

    code = "peer-frame"


class PeerClosedError(PeerError):
    """The stream was closed by the peer, or before a message could be sent."""

    code = "peer-closed"


class PeerTimeoutError(PeerError):
    """The peer did not answer in time; whether it processed the message is unknown."""

    code = "peer-timeout"


class PeerUnreachableError(PeerError):
    """No connection could be opened, or no peer could serve the request."""

    code = "peer-unreachable"


class TargetError(CoralfallError):
    """Base class of errors of an exchange with a target."""

    code = "target"


class TargetNotRunError(TargetError):
    """The target did not run the request: the connection was refused, or the target said so."""

    code = "target-not-run"


class TargetUnknownError(TargetError):
    """The exchange failed after data had been sent; the target may have run the request."""

    code = "target-unknown"


class TargetTimeoutError(TargetUnknownError):
    """The deadline passed after data had been sent and before the answer was complete."""

    code = "target-timeout"


class RequestError(CoralfallError):
    """A caller's request is invalid; no target has received all of it.

    :param code: stable identifier, such as ``key-required``.
    :param status: HTTP status of the answer.
    """

    def __init__(self, code: str, status: int, message: str, **fields: t.Any) -> None:
        super().__init__(message, **fields)
        self.code = code
        self.status = status


class CallerGoneError(CoralfallError):
    """The caller closed its connection before its request was complete."""

    code = "caller-gone"


class RetryLaterError(CoralfallError):
    """Base class of errors after which a retry may succeed.

    :param message: reason, in one line.
    :param retry_after: seconds after which the caller may retry.
    """

    def __init__(self, message: str, retry_after: float, **fields: t.Any) -> None:
        super().__init__(message, **fields)
        self.retry_after = retry_after


class RefusedError(RetryLaterError):
    """A request was rejected before it reached any target."""

    code = "refused"


class SlotLostError(RefusedError):
    """A reserved slot may not be used any more; nothing was sent, and another slot may be had."""


class OverLimitError(RetryLaterError):
    """A request exceeds its tenant's rate limit; it was rejected before it reached any target."""

    code = "over-limit"


class ClaimError(CoralfallError):
    """Base class of errors of idempotency keys; the request was not dispatched."""

    code = "claim"


class ClaimMismatchError(ClaimError):
    """The key is already in use for another command; use a new key for this one."""

    code = "claim-mismatch"


class ClaimBusyError(RetryLaterError, ClaimError):
    """Another request with the key is in progress, or its outcome is not known yet."""

    code = "claim-busy"


class ClaimUnknownError(ClaimError):
    """An earlier request with the key was dispatched, and its outcome will remain unknown."""

    code = "claim-unknown"
