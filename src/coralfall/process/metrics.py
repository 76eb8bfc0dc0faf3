"""Metrics by statsd: counts, timings and gauges that never block or fail their caller."""

import asyncio
import re
import socket
import typing as t

import statsd

from . import log

if t.TYPE_CHECKING:
    from ..settings import MetricsSettings

#: Seconds for which metrics are gathered into one send.
FLUSH_S = 0.1
#: Metrics gathered before they are sent without waiting.
FLUSH_COUNT = 200

_BAD_IN_NAME = re.compile(r"[^A-Za-z0-9_.-]")


class Metrics:
    """Sends metrics to a statsd server, or drops them if the settings name none.

    Counts of one name are summed, and all metrics are gathered for up to :data:`FLUSH_S` and
    sent in few datagrams. A server that is away costs metrics, never a request.

    :param settings: where to send and under which prefix. The host is looked up once, here.
    """

    def __init__(self, settings: "MetricsSettings") -> None:
        self._client = _connect(settings)
        self._counts_by_name: t.Dict[str, float] = {}
        self._gauges_by_name: t.Dict[str, float] = {}
        self._timings: t.List[t.Tuple[str, float]] = []
        self._timer: t.Optional[asyncio.TimerHandle] = None

    def count(self, name: str, n: float = 1) -> None:
        """Add ``n`` to a counter."""
        if self._client is None:
            return
        self._counts_by_name[name] = self._counts_by_name.get(name, 0) + n
        self._schedule()

    def timing(self, name: str, seconds: float) -> None:
        """Record how long something took, in seconds."""
        if self._client is None:
            return
        self._timings.append((name, seconds))
        if len(self._timings) >= FLUSH_COUNT:
            self.flush()
            return
        self._schedule()

    def gauge(self, name: str, value: float) -> None:
        """Set a value that stays until it is set again."""
        if self._client is None:
            return
        self._gauges_by_name[name] = value
        self._schedule()

    def flush(self) -> None:
        """Send what was gathered."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._client is None:
            return
        counts, self._counts_by_name = self._counts_by_name, {}
        gauges, self._gauges_by_name = self._gauges_by_name, {}
        timings, self._timings = self._timings, []
        try:
            with self._client.pipeline() as pipeline:
                for name, n in counts.items():
                    pipeline.incr(_clean(name), n)
                for name, value in gauges.items():
                    pipeline.gauge(_clean(name), value)
                for name, seconds in timings:
                    pipeline.timing(_clean(name), seconds * 1000)
        except (OSError, TypeError, ValueError) as error:
            log.debug("metrics.dropped", error=error)

    def close(self) -> None:
        """Send what was gathered and close the socket; later metrics are dropped."""
        self.flush()
        if self._client is not None:
            self._client.close()
            self._client = None

    def _schedule(self) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._timer = loop.call_later(FLUSH_S, self.flush)


def _clean(name: str) -> str:
    return _BAD_IN_NAME.sub("_", name)


def _connect(settings: "MetricsSettings") -> t.Optional[statsd.StatsClient]:
    if settings.host is None:
        return None
    try:
        client = statsd.StatsClient(
            settings.host, settings.port, prefix=settings.prefix, ipv6=":" in settings.host
        )
    except (OSError, UnicodeError) as error:
        log.error("metrics.off", host=settings.host, port=settings.port, error=error)
        return None
    _set_non_blocking(client)
    return client


def _set_non_blocking(client: statsd.StatsClient) -> None:
    # statsd's socket blocks when its buffer is full; the loop must not wait for it.
    sender: socket.socket = client._sock
    sender.setblocking(False)
