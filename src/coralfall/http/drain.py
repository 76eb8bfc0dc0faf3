"""Lets an application wait until a caller has taken its answer, which ASGI itself does not offer.

uvicorn's ``send`` returns when an answer has been written to the connection's buffer. The
extension of the ASGI scope tells when that buffer has drained, by the transport's flow control.
"""

import asyncio
import socket
import typing as t

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from ..process.tcp_state import read_tcp_state

#: Extension of the ASGI scope: a coroutine function that returns when the caller has taken all that
#: was written, or its connection has ended; see :meth:`DrainingProtocol.wait_drained`.
DRAIN_EXTENSION = "coralfall.drain"


class DrainingProtocol(HttpToolsProtocol):
    """A caller's connection that offers the extension."""

    def __init__(self, **options: t.Any) -> None:
        super().__init__(**options)
        self._lost = False

    def connection_lost(self, exc: t.Optional[Exception]) -> None:
        self._lost = True
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.scope["extensions"] = {DRAIN_EXTENSION: t.cast(t.Any, self.wait_drained)}

    async def wait_drained(self, cut_idle: bool) -> None:
        """Returns when nothing is left to be sent.

        :param cut_idle: whether a caller that takes nothing for the idle time is cut off.
        """
        while self._unwritten():
            unsent = self._unsent()
            # Without a high-water mark, writing is paused until nothing is left.
            self.transport.set_write_buffer_limits(high=0)
            try:
                async with asyncio.timeout(self.timeout_keep_alive):
                    await self.flow.drain()
            except TimeoutError:
                if cut_idle and self._unsent() >= unsent:
                    # Closing would wait for a caller that takes nothing.
                    self.transport.abort()
                    return
            finally:
                if not self._is_closed():
                    self.transport.set_write_buffer_limits()

    def _is_closed(self) -> bool:
        if self._lost:
            return True
        try:
            self.transport.get_write_buffer_size()
        except RuntimeError:
            # uvloop's transport is closed, and connection_lost() follows.
            return True
        return False

    def _unwritten(self) -> int:
        """Returns the bytes that the kernel has not taken yet."""
        return 0 if self._is_closed() else self.transport.get_write_buffer_size()

    def _unsent(self) -> int:
        """Returns the bytes that have not left this machine.

        The kernel takes more only once a large part of its own buffer is sent, which a slow caller
        may not reach within the idle time.
        """
        unwritten = self._unwritten()
        connected: t.Optional[socket.socket] = self.transport.get_extra_info("socket")
        if not unwritten or connected is None:
            return unwritten
        state = read_tcp_state(connected)
        return unwritten if state is None else unwritten + state.unsent_bytes
