"""A TCP proxy on loopback that delays, cuts, silences, resets and refuses connections."""

import asyncio
import random
import socket
import struct
import time
import typing as t

from tests.stream_server import StreamServer

_PIECE_BYTES = 64 * 1024


class _Link:
    """One connection and what it is forwarded to."""

    def __init__(self, writers: t.Sequence[asyncio.StreamWriter]) -> None:
        self.writers = writers
        #: Whether it goes silent for good, without being closed.
        self.silent = False


class Proxy(StreamServer):
    """Forwards connections to one address; its faults are attributes that may be set at any time.

    :param target: ``ip:port`` to forward to.
    """

    def __init__(self, target: str) -> None:
        super().__init__()
        self.target = target
        #: Seconds by which each piece is held up, either way.
        self.delay_s = 0.0
        #: Whether new connections are reset.
        self.refusing = False
        #: Whether bytes towards the target, and those from it, stay where they are.
        self.cut_up = False
        self.cut_down = False
        #: Seconds for which it pauses as it reads what goes to the target, and how often it does.
        self.read_pause_s = 0.0
        self.read_pause_share = 0.0
        self._rng = random.Random(0)
        self._links: t.Set[_Link] = set()
        #: When the first bytes of requests came that are not answered yet, by the proxy's port.
        self._request_at_by_port: t.Dict[int, float] = {}

    def heal(self) -> None:
        """Be sound to connections that are not silenced."""
        self.delay_s = 0.0
        self.refusing = self.cut_up = self.cut_down = False

    def reset_all(self) -> None:
        """Reset all open connections."""
        for link in list(self._links):
            for writer in link.writers:
                _reset(writer)

    def silence_all(self) -> None:
        """Let open connections go silent for good; new ones work."""
        for link in self._links:
            link.silent = True

    def request_at(self, port: int) -> t.Optional[float]:
        """When a request came that the target reads, perhaps later, from a port of the proxy."""
        return self._request_at_by_port.get(port)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refusing:
            _reset(writer)
            return
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            _reset(writer)
            return
        link = _Link((writer, far_writer))
        self._links.add(link)
        port = far_writer.get_extra_info("sockname")[1]
        # The port may have been another connection's.
        self._request_at_by_port.pop(port, None)
        ways = [
            asyncio.create_task(self._carry(link, reader, far_writer, port, up=True)),
            asyncio.create_task(self._carry(link, far_reader, writer, port, up=False)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            # An end on one side is told to the other after what came before it.
            await asyncio.wait(ways, timeout=0.2)
        finally:
            self._links.discard(link)
            for way in ways:
                way.cancel()
            for side in link.writers:
                side.close()

    async def _carry(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        port: int,
        up: bool,
    ) -> None:
        try:
            while True:
                data = await reader.read(_PIECE_BYTES)
                if up:
                    self._request_at_by_port.setdefault(port, time.monotonic())
                elif data:
                    self._request_at_by_port.pop(port, None)
                if up and self._rng.random() < self.read_pause_share:
                    await asyncio.sleep(self.read_pause_s)
                while link.silent or (self.cut_up if up else self.cut_down):  # noqa: ASYNC110
                    await asyncio.sleep(0.02)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not data:
                    writer.close()
                    return
                writer.write(data)
                await writer.drain()
        except ConnectionResetError:
            _reset(writer)
        except OSError:
            writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    opened: t.Optional[socket.socket] = writer.get_extra_info("socket")
    if opened is not None and not writer.transport.is_closing():
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
