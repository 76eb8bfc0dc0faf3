"""Dead peer detection: ends connections whose other side acknowledges nothing any more.

A connection may go silent for good without being reset, while new ones work. A peer that is merely
slow closes its receive window and goes on acknowledging; it is left alone, however long that takes.
``TCP_USER_TIMEOUT`` does not tell the two apart: Linux counts time behind a closed window like time
without an acknowledgement. So what was sent and is unanswered is read from the kernel instead.
"""

import asyncio
import socket
import struct
import typing as t

from . import log
from .tcp_state import TcpState, read_tcp_state

#: Number of times that a connection is examined within its timeout.
_CHECKS_PER_TIMEOUT = 4
#: Time within which Linux answers only one of several window probes; see
#: ``net.ipv4.tcp_invalid_ratelimit`` in ip-sysctl.
_PROBE_ANSWER_INTERVAL_S = 0.5
#: ``TCP_RTO_MAX_MS`` of Linux 6.15 and later, and its smallest value. It bounds the time between
#: two window probes, which doubles otherwise.
_TCP_RTO_MAX_MS = 44
_MIN_RTO_MAX_MS = 1000
#: ``struct linger`` by which closing resets the connection and drops what is not sent.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class AckTracker:
    """Decides from successive states of a connection whether its peer is dead.

    :param timeout_s: seconds for which something may be unanswered.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._segments_in = -1
        self._probes = 0
        self._retransmits = 0
        self._observed_at: t.Optional[float] = None
        #: Monotonic time from which on something is unanswered; ``None`` if nothing is.
        self.unanswered_since: t.Optional[float] = None

    def observe(self, now: float, state: TcpState) -> None:
        """Takes in the state at a monotonic time."""
        if state.segments_in != self._segments_in:
            self._segments_in = state.segments_in
            self.unanswered_since = None
            self._probes = 0
            self._retransmits = state.retransmits
        if self.unanswered_since is None:
            if _has_unanswered_data(state):
                self.unanswered_since = now - state.sent_ago_s
            elif state.retransmits > self._retransmits or self._has_unanswered_probe(now, state):
                self.unanswered_since = now
        self._probes = state.probes
        self._retransmits = state.retransmits
        self._observed_at = now

    def time_left_s(self, now: float) -> float:
        """Returns the time after which the peer is dead unless it answers; 0 if it is."""
        if self.unanswered_since is None:
            return self._timeout_s
        return max(0.0, self.unanswered_since + self._timeout_s - now)

    def _has_unanswered_probe(self, now: float, state: TcpState) -> bool:
        # Only a probe that was sent since the last observation counts, as it is not known when
        # earlier ones were sent.
        if state.in_flight or state.probes <= self._probes or self._observed_at is None:
            return False
        sent_after_ack_s = state.acked_ago_s - (now - self._observed_at)
        return sent_after_ack_s >= _PROBE_ANSWER_INTERVAL_S


def _has_unanswered_data(state: TcpState) -> bool:
    if not state.in_flight or state.sent_ago_s > state.acked_ago_s:
        return False
    if state.sent_ago_s < state.acked_ago_s:
        return True
    # Sent and acknowledged within one tick of the kernel. A peer that shrinks its window answers
    # each retransmission without acknowledging the data.
    return state.retransmits == 0


class DeadPeerDetector:
    """Ends a connection once its peer leaves something unanswered for a timeout.

    Where the kernel reports too little, this is left to its ``TCP_USER_TIMEOUT``.

    :param transport: of the connection.
    :param timeout_s: the timeout in seconds.
    """

    def __init__(self, transport: asyncio.BaseTransport, timeout_s: float) -> None:
        # uvloop's transports have no such base class.
        self._transport = t.cast(asyncio.Transport, transport)
        self._timeout_s = timeout_s
        self._tracker = AckTracker(timeout_s)
        self._timer: t.Optional[asyncio.TimerHandle] = None
        #: Whether it has ended the connection, which its protocol is told of without an error.
        self.has_ended_it = False
        self._socket: t.Optional[socket.socket] = transport.get_extra_info("socket")
        if self._socket is None:
            return
        if read_tcp_state(self._socket) is None:
            timeout_ms = int(timeout_s * 1000)
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
            self._socket = None
            return
        try:
            self._socket.setsockopt(socket.IPPROTO_TCP, _TCP_RTO_MAX_MS, _MIN_RTO_MAX_MS)
        except OSError:
            # An older kernel probes less often.
            pass

    def note_write(self) -> None:
        """Watches the connection until all that was written to it is acknowledged."""
        if self._timer is None and self._socket is not None:
            self._schedule(self._timeout_s / _CHECKS_PER_TIMEOUT)

    def stop(self) -> None:
        """Stops watching, for example since the connection was closed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def reset_unsent(self) -> None:
        """Lets the connection be reset when it is closed, if it has unsent data.

        Otherwise the kernel would go on offering the data to a peer that does not read.
        """
        if self._socket is None or self._transport.is_closing():
            return
        state = read_tcp_state(self._socket)
        if state is not None and state.unsent_bytes:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

    def _schedule(self, seconds: float) -> None:
        self._timer = asyncio.get_running_loop().call_later(seconds, self._check)

    def _check(self) -> None:
        self._timer = None
        if self._transport.is_closing() or self._socket is None:
            return
        state = read_tcp_state(self._socket)
        is_written = not self._transport.get_write_buffer_size()
        if state is None or (is_written and not state.in_flight and not state.unsent_bytes):
            return
        now = asyncio.get_running_loop().time()
        self._tracker.observe(now, state)
        time_left_s = self._tracker.time_left_s(now)
        if time_left_s > 0:
            self._schedule(min(time_left_s, self._timeout_s / _CHECKS_PER_TIMEOUT))
            return
        self._end(state)

    def _end(self, state: TcpState) -> None:
        assert self._socket is not None
        log.info(
            "connection.dead",
            peer=_address(self._transport),
            in_flight=state.in_flight,
            unsent_bytes=state.unsent_bytes,
            probes=state.probes,
            acked_ago_s=round(state.acked_ago_s, 3),
        )
        self.has_ended_it = True
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._transport.abort()


def _address(transport: asyncio.Transport) -> str:
    name = transport.get_extra_info("peername")
    return f"{name[0]}:{name[1]}" if name else "?"
