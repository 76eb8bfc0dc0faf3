"""Sockets: options that asyncio leaves to its user."""

import asyncio
import socket
import typing as t

from .. import defaults
from .dead_peer import DeadPeerDetector

#: Unanswered probes after which an idle connection is dead.
_KEEPALIVE_PROBES = 2


def detect_dead_peer(transport: asyncio.BaseTransport) -> DeadPeerDetector:
    """Let a connection fail ``DEAD_TARGET_TIMEOUT_S`` after its other side's host went away.

    A host whose process is paused goes on answering, however long that takes.

    :returns: what tells whether the connection failed so, if it is lost without an error.
    """
    detector = DeadPeerDetector(transport, defaults.DEAD_TARGET_TIMEOUT_S)
    # The kernel sends no keep-alive probes while data waits to be sent.
    detector.note_write()
    connected: t.Optional[socket.socket] = transport.get_extra_info("socket")
    if connected is None:
        return detector
    seconds = defaults.DEAD_TARGET_TIMEOUT_S
    interval_s = max(1, int(seconds / (_KEEPALIVE_PROBES + 1)))
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, interval_s)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_s)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    return detector
