"""Listening sockets, bound here and handed to servers as they are."""

import socket

from ..exceptions import ListenError
from ..settings import split_address

#: Connections that wait to be taken by the loop.
BACKLOG = 1024


def bind(address: str) -> socket.socket:
    """A listening TCP socket.

    Servers get a socket and not an address, since uvloop looks addresses up on threads.

    :param address: ``ip:port``; port 0 takes a free one.
    :raises ListenError: if it can't be had.
    """
    try:
        host, port = split_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.create_server((host, port), family=family, backlog=BACKLOG)
    except (OSError, ValueError) as error:
        message = f"can't listen on {address}: {error}; name an address of this VM and a free port"
        raise ListenError(message, address=address) from error
    listener.setblocking(False)
    # Connections inherit it. uvloop sets it by itself; asyncio does not on sockets of this kind,
    # and every answer in two parts would wait for the caller's delayed acknowledgement.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


def address_of(listener: socket.socket) -> str:
    """``ip:port`` or ``[ip]:port`` that a socket listens on."""
    host, port = listener.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
