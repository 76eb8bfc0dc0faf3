"""Bounds on the bytes of a response that are no body: heads, chunk sizes, extensions, trailers."""

import typing as t

from .. import defaults


class FramingLimit:
    """Counts the bytes of one response.

    :param stalled_limit: most bytes in a row without a byte of the body.
    """

    def __init__(self, stalled_limit: int) -> None:
        self._stalled_limit = stalled_limit
        self._stalled_bytes = 0
        self._framing_bytes = 0
        self._body_bytes = 0

    def add(self, size: int, body_size: int) -> t.Optional[str]:
        """Counts bytes that were received.

        :param body_size: how many of them are body.
        :returns: what is wrong, if there are too many.
        """
        self._body_bytes += body_size
        self._framing_bytes = max(0, self._framing_bytes + size - body_size)
        self._stalled_bytes = 0 if body_size else self._stalled_bytes + size
        if self._stalled_bytes > self._stalled_limit:
            return f"over {self._stalled_limit} bytes came without a byte of the body"
        limit = self._stalled_limit + defaults.MAX_FRAMING_PER_BODY_BYTE * self._body_bytes
        if self._framing_bytes > limit:
            return f"over {limit} bytes frame a body of {self._body_bytes}"
        return None
