"""State of a TCP connection as the kernel reports it by ``TCP_INFO``; see tcp(7)."""

import socket
import struct
import typing as t

#: The beginning of the kernel's ``struct tcp_info``: eight bytes, 24 words of 32 bits, four of 64
#: bits, and three of 32 bits, the last of which is the number of bytes not sent yet.
_TCP_INFO = struct.Struct("=8B24I4Q3I")
_STATE, _RETRANSMITS, _PROBES = 0, 2, 3
_UNACKED, _LAST_SENT_MS, _LAST_ACK_MS = 12, 17, 20
_SEGMENTS_IN, _UNSENT_BYTES = 37, 38
_MS_PER_S = 1000


class TcpState(t.NamedTuple):
    """What the kernel knows of the data that a connection has to send."""

    #: Segments that were sent and are not acknowledged.
    in_flight: int
    #: Bytes that are not sent yet, for example since the other side's receive window is closed.
    unsent_bytes: int
    #: Window probes since the last acknowledgement.
    probes: int
    #: Timeouts after which the oldest segment was sent again.
    retransmits: int
    #: Segments that were received, acknowledgements included.
    segments_in: int
    #: Seconds since data was last sent, and since an acknowledgement was last received.
    sent_ago_s: float
    acked_ago_s: float


def read_tcp_state(connected: socket.socket) -> t.Optional[TcpState]:
    """Returns the state of a connected socket.

    :returns: ``None`` if the kernel does not report it, or does not count received segments.
    """
    try:
        content = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    except (AttributeError, OSError):
        return None
    if len(content) < _TCP_INFO.size:
        return None
    fields = _TCP_INFO.unpack(content)
    if not fields[_SEGMENTS_IN]:
        # A connection receives at least one segment while it is opened.
        return None
    return TcpState(
        in_flight=fields[_UNACKED],
        unsent_bytes=fields[_UNSENT_BYTES],
        probes=fields[_PROBES],
        retransmits=fields[_RETRANSMITS],
        segments_in=fields[_SEGMENTS_IN],
        sent_ago_s=fields[_LAST_SENT_MS] / _MS_PER_S,
        acked_ago_s=fields[_LAST_ACK_MS] / _MS_PER_S,
    )
