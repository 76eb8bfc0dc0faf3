"""A target on loopback whose responses are scripted byte for byte."""

import asyncio
import socket
import struct
import typing as t

from tests.stream_server import StreamServer

Script = t.Callable[["ReceivedRequest"], t.Awaitable[None]]


class ReceivedRequest:
    """One request received by the target, with methods to answer it."""

    def __init__(self, head: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
        self.head = head
        self.body = body
        self._writer = writer

    def header(self, name: str) -> t.Optional[str]:
        for line in self.head.decode().split("\r\n")[1:]:
            field, _, value = line.partition(": ")
            if field.lower() == name:
                return value
        return None

    async def send(self, data: bytes) -> None:
        self._writer.write(data)
        await self._writer.drain()

    async def answer(
        self,
        status: int = 200,
        body: bytes = b"whole",
        length: t.Optional[int] = None,
        **headers: str,
    ) -> None:
        """Sends a valid response, except for the given parts."""
        fields = {
            "x-request-id": self.header("x-request-id") or "",
            "x-response-signature": "signed",
            "content-length": str(len(body) if length is None else length),
        }
        fields.update({name.replace("_", "-"): value for name, value in headers.items()})
        lines = [f"{name}: {value}\r\n" for name, value in fields.items() if value]
        head = f"HTTP/1.1 {status} X\r\n{''.join(lines)}\r\n"
        await self.send(head.encode() + body)

    def peer_port(self) -> int:
        """Port of the one who sent it; 0 if its connection is over."""
        peer = self._writer.get_extra_info("peername")
        return peer[1] if peer else 0

    def close(self) -> None:
        self._writer.close()

    def reset(self) -> None:
        connection: socket.socket = self._writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._writer.transport.abort()


class ScriptedTarget(StreamServer):
    """Serves connections, one request at a time on each.

    :param script: called with each request to answer it.
    """

    def __init__(self, script: Script) -> None:
        super().__init__()
        self._script = script
        self.received: t.List[ReceivedRequest] = []
        #: Set when a request is received.
        self.request_received = asyncio.Event()
        self.connections = 0
        #: Set when a caller closes its connection before its request was answered.
        self.caller_disconnected = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                received = ReceivedRequest(head, b"", writer)
                length = int(received.header("content-length") or 0)
                received.body = await reader.readexactly(length)
                self.received.append(received)
                self.request_received.set()
                work = asyncio.ensure_future(self._script(received))
                end = asyncio.ensure_future(_read_until_end(reader))
                await asyncio.wait({work, end}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    self.caller_disconnected.set()
                    work.cancel()
                    return
                end.cancel()
                await asyncio.wait({end})
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


async def _read_until_end(reader: asyncio.StreamReader) -> None:
    try:
        await reader.read(1)
    except OSError:
        # A reset ends the connection as well.
        return
