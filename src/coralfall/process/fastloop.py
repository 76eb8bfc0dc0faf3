"""uvloop's event loop, kept from starting threads to look up addresses that are numbers."""

import socket
import typing as t

import uvloop


class Loop(uvloop.Loop):
    """An event loop on one thread, as long as all hosts are named by IP numbers.

    uvloop asks for an address without its type when it connects a socket, as aiohttp does it.
    It then does not see that the address is a number and hands it to libuv's threads.
    """

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
