"""Counts the bytes of answers that an entry holds until their callers have taken them.

Bytes count from the time they are read from a target until the buffer of the caller's connection
has drained. Beyond three quarters of a bound, new requests of contended services are refused
(load shedding at a high-water mark); the rest is for answers to accepted requests, which are
always delivered.
"""

import typing as t

from .. import defaults
from ..exceptions import RefusedError

if t.TYPE_CHECKING:
    from ..forwarding.request import MemoryAccount

#: Reason of a request that is refused as too many bytes wait for their callers.
MEMORY = "memory"
#: Fraction of a bound beyond which new requests of contended services are refused.
_ADMISSION_FRACTION = 0.75
#: Fraction of the total bound that the answers to one address may take. One slow caller leaves
#: half of the memory to others; a smaller part would refuse callers that share a proxy's address.
_CALLER_FRACTION = 0.5


class HeldAnswer:
    """The answer to one request.

    :param memory: memory that it counts toward.
    :param caller: address of the caller.
    """

    __slots__ = ("_caller", "_memory", "contended", "held")

    def __init__(self, memory: "AnswerMemory", caller: str) -> None:
        self._memory = memory
        self._caller = caller
        #: Whether the request's service is contended.
        self.contended = False
        #: Bytes that count for it now.
        self.held = 0

    def take(self, count: int) -> None:
        """Counts bytes that were read from a target."""
        self.held += count
        self._memory.add(self._caller, count)

    def shrink_to(self, count: int) -> None:
        """Gives back all but ``count`` bytes, as those of a failed attempt."""
        self._memory.add(self._caller, count - self.held)
        self.held = count

    def release(self) -> None:
        """Gives back all bytes, once the caller's connection has taken them or has ended."""
        self.shrink_to(0)


class AnswerMemory:
    """Bytes of answers that wait for their callers, in total and by caller.

    :param account: counts the bytes of requests' bodies, and has the total bound.
    """

    def __init__(self, account: "MemoryAccount") -> None:
        self._account = account
        self.held = 0
        self._held_by_caller: t.Dict[str, int] = {}

    def check_room(self, caller: str) -> None:
        """Checks that a new request of a contended service may be accepted.

        :raises RefusedError: if too many bytes wait for this caller or for all.
        """
        limit = self._account.limit * _ADMISSION_FRACTION
        held_by_caller = self._held_by_caller.get(caller, 0)
        if self._account.held + self.held <= limit and held_by_caller <= limit * _CALLER_FRACTION:
            return
        message = "too many bytes of answers wait for their callers; retry later"
        raise RefusedError(message, defaults.RETRY_AFTER_S, reason=MEMORY)

    def add(self, caller: str, count: int) -> None:
        """Counts bytes of an answer to a caller; a negative number gives them back."""
        self.held += count
        held = self._held_by_caller.get(caller, 0) + count
        if held:
            self._held_by_caller[caller] = held
        else:
            self._held_by_caller.pop(caller, None)
