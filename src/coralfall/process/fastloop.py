"""uvloop's event loop, without threads for look-ups and descriptors that are closed twice."""

import asyncio
import socket
import typing as t

import uvloop


class Loop(uvloop.Loop):
    """An event loop on one thread, as long as all hosts are named by IP numbers.

    uvloop asks for an address without its type when it connects a socket, as aiohttp does it.
    It then does not see that the address is a number and hands it to libuv's threads.

    A connection that is made of a socket and given up meanwhile, uvloop closes by its descriptor.
    The socket object does not know, and closes the same number again when it is dropped, which may
    be another connection's by then.
    """

    async def create_connection(
        self,
        protocol_factory: t.Callable[[], t.Any],
        host: t.Any = None,
        port: t.Any = None,
        *,
        sock: t.Optional[socket.socket] = None,
        **options: t.Any,
    ) -> t.Any:
        try:
            return await super().create_connection(
                protocol_factory, host, port, sock=sock, **options
            )
        except asyncio.CancelledError:
            if sock is not None and not options.get("ssl"):
                sock.detach()
            raise

    async def getaddrinfo(
        self,
        host: t.Any,
        port: t.Any,
        *,
        family: int = 0,
        type: int = 0,
        proto: int = 0,
        flags: int = 0,
    ) -> t.Any:
        return await super().getaddrinfo(
            host, port, family=family, type=type or socket.SOCK_STREAM, proto=proto, flags=flags
        )
