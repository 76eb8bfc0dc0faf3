"""Stop log: counts and logs the requests that a stopping entry refuses, and those it cuts off."""

import typing as t

from ..process import log
from ..process.line_limiter import LineLimiter

if t.TYPE_CHECKING:
    from ..ids import PartnerId, ServiceId
    from ..process.clock import Clock
    from ..process.metrics import Metrics
    from ..process.shutdown import Shutdown
    from .request import CallerRequest

#: Lines a second of each kind for each service.
MAX_LINES_PER_S = 5


class StopLog:
    """Writes ``stop.refused`` and ``stop.cut-off`` lines.

    :param shutdown: since when the process stops, and until when it serves.
    :param metrics: counts ``stop.refused`` and ``stop.cut-off``.
    :param clock: monotonic time.
    """

    def __init__(self, shutdown: "Shutdown", metrics: "Metrics", clock: "Clock") -> None:
        self._shutdown = shutdown
        self._metrics = metrics
        self._refused_limiter: LineLimiter[t.Tuple[PartnerId, ServiceId]] = LineLimiter(
            clock, MAX_LINES_PER_S
        )
        self._cut_off_limiter: LineLimiter[t.Tuple[PartnerId, ServiceId]] = LineLimiter(
            clock, MAX_LINES_PER_S
        )
        self.refused_count = 0
        self.cut_off_count = 0

    def note_refused(self, request: "CallerRequest", seconds: float) -> None:
        """Records a request that was refused since it could outlast the process.

        :param seconds: since the request came.
        """
        self.refused_count += 1
        self._metrics.count("stop.refused")
        left_out = self._refused_limiter.take((request.partner, request.service))
        if left_out is not None:
            log.info("stop.refused", **self._fields(request, seconds), left_out=left_out)

    def note_cut_off(self, request: "CallerRequest", seconds: float) -> None:
        """Records a request that the end of the process cut off.

        :param seconds: since the request came.
        """
        self.cut_off_count += 1
        self._metrics.count("stop.cut-off")
        left_out = self._cut_off_limiter.take((request.partner, request.service))
        if left_out is not None:
            log.warning("stop.cut-off", **self._fields(request, seconds), left_out=left_out)

    def _fields(self, request: "CallerRequest", seconds: float) -> t.Dict[str, t.Any]:
        return {
            "partner": request.partner,
            "service": request.service,
            "method": request.method,
            "age_ms": round(seconds * 1000),
            "stop_age_ms": round(self._shutdown.age_s() * 1000),
            "stop_left_ms": round(self._shutdown.left_s() * 1000),
        }
