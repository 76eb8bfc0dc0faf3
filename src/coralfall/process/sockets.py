"""Sockets: options that asyncio leaves to its user."""

import asyncio
import socket
import typing as t

from .. import defaults

#: Unanswered probes after which a connection is dead.
_KEEPALIVE_PROBES = 3


def detect_dead_peer(transport: asyncio.BaseTransport) -> None:
    """Let a connection fail ``DEAD_TARGET_TIMEOUT_S`` after its other side's host went away.

    A host whose process is paused goes on answering, however long that takes.
    """
    connected: t.Optional[socket.socket] = transport.get_extra_info("socket")
    if connected is None:
        return
    seconds = defaults.DEAD_TARGET_TIMEOUT_S
    interval_s = max(1, int(seconds / _KEEPALIVE_PROBES))
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, interval_s)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_s)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(seconds * 1000))
