"""Sockets: options that asyncio leaves to its user."""

import asyncio
import socket
import typing as t

from .. import defaults


def end_when_silent(transport: asyncio.BaseTransport) -> None:
    """Let a connection fail once its other side acknowledges nothing any more.

    A connection may go silent for good without being reset, while new ones work. The kernel then
    ends it ``TCP_USER_TIMEOUT_S`` seconds after the first byte that nobody acknowledged; an answer
    that takes long on a sound connection is not affected.
    """
    connected: t.Optional[socket.socket] = transport.get_extra_info("socket")
    if connected is not None:
        milliseconds = int(defaults.TCP_USER_TIMEOUT_S * 1000)
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
