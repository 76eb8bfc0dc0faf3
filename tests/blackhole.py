"""Connections that go silent for good, as when a device on the way forgets them."""

import ctypes
import socket
import struct
import typing as t

_SO_ATTACH_FILTER = 26
#: A classic BPF program of one instruction, which keeps no byte of any segment.
_DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)


def drop_arriving(sockets: t.Iterable[socket.socket]) -> None:
    """Lets the kernel drop all that arrives for these sockets, so that it acknowledges nothing."""
    program = ctypes.create_string_buffer(_DROP_ALL, len(_DROP_ALL))
    attached = struct.pack("HP", 1, ctypes.addressof(program))
    for one in sockets:
        one.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, attached)
