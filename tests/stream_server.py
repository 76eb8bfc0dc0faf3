"""A server of streams on loopback: the part that stand-ins which speak raw bytes share."""

import asyncio
import socket
import typing as t


class StreamServer:
    """Serves each connection by :meth:`serve`, from ``async with`` on; its tasks end with it."""

    #: Size of the receive buffer of its connections, if it is not the kernel's own.
    receive_bytes: t.Optional[int] = None

    def __init__(self) -> None:
        self._tasks: t.Set[asyncio.Task[None]] = set()
        self._writers: t.Set[asyncio.StreamWriter] = set()
        #: ``host:port``, once it listens.
        self.address = ""

    async def __aenter__(self) -> t.Self:
        await self._listen("127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_error: t.Any) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    def stop_listening(self) -> None:
        """Refuse new connections; open ones stay."""
        self._server.close()

    @property
    def listening(self) -> bool:
        """Whether new connections are taken."""
        return self._server.is_serving()

    def open_sockets(self) -> t.List[socket.socket]:
        """The sockets of all connections."""
        return [writer.get_extra_info("socket") for writer in self._writers]

    def go_down(self) -> None:
        """Refuse new connections and end all open ones, as when a process ends."""
        self.stop_listening()
        for writer in self._writers:
            writer.transport.abort()

    async def come_back(self) -> None:
        """Listen again at the same address."""
        host, _, port = self.address.rpartition(":")
        await self._listen(host, int(port))

    async def _listen(self, host: str, port: int) -> None:
        if self.receive_bytes is None:
            self._server = await asyncio.start_server(self._accept, host, port)
            return
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_bytes)
        listener.bind((host, port))
        self._server = await asyncio.start_server(
            self._accept, sock=listener, limit=self.receive_bytes
        )

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it is over."""
        raise NotImplementedError

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self.serve(reader, writer))
        self._tasks.add(task)
        self._writers.add(writer)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: self._writers.discard(writer))
