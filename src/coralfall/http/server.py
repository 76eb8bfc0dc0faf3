"""HTTP servers of a process: uvicorn as a supervised child on the process's own loop."""

import asyncio
import typing as t

import uvicorn

from ..process import log
from ..process.child import Child
from ..settings import HttpSettings
from .listener import address_of, bind
from .protocol import Connections, Header, protocol_factory

if t.TYPE_CHECKING:
    from ..process.metrics import Metrics

DEFAULT_HTTP = HttpSettings()
#: Seconds between two renewals of the date that answers carry.
DATE_S = 1.0

Application = t.Callable[..., t.Awaitable[None]]


class HttpServer(Child):
    """Serves an application until stopped, then finishes the requests in flight.

    :param name: stable name for logs.
    :param application: an ASGI application; its lifespan is not used.
    :param address: ``ip:port``; port 0 takes a free one, see :attr:`bound_address`.
    :param settings: bounds on what callers may do.
    :param refusal_headers: added to the answer of a request that the application never saw.
    :param metrics: counts refusals as ``http.refused.<code>``.
    """

    def __init__(
        self,
        name: str,
        application: Application,
        address: str,
        settings: HttpSettings = DEFAULT_HTTP,
        refusal_headers: t.Sequence[Header] = (),
        metrics: "t.Optional[Metrics]" = None,
    ) -> None:
        self.name = name
        self._application = application
        self._address = address
        self._settings = settings
        self._refusal_headers = refusal_headers
        self._metrics = metrics
        #: ``ip:port`` that the server listens on, known once it has started.
        self.bound_address = ""

    @property
    def connection_count(self) -> int:
        """How many connections are open."""
        return len(self._connections.all)

    def set_settings(self, settings: HttpSettings) -> None:
        """Hold callers to other bounds from now on, on connections that are open too."""
        self._settings = settings
        if not hasattr(self, "_connections"):
            return
        self._connections.settings = settings
        idle_timeout_s = t.cast(int, settings.idle_timeout_s)
        self._server.config.timeout_keep_alive = idle_timeout_s
        for connection in self._connections.all:
            connection.timeout_keep_alive = idle_timeout_s

    def close_connections_after_answers(self) -> None:
        """Tell callers with each answer from now on that its connection is over."""
        self._connections.stopping = True

    async def start(self) -> None:
        """Listen.

        :raises ListenError: if the address can't be had.
        """
        self._connections = Connections(self._settings, self._refusal_headers, self._metrics)
        self._listener = bind(self._address)
        self.bound_address = address_of(self._listener)
        self._server = uvicorn.Server(self._config())
        self._server.config.load()
        self._server.lifespan = self._server.config.lifespan_class(self._server.config)
        await self._server.on_tick(0)
        # A copy stays with us, see _take_waiting.
        await self._server.startup(sockets=[self._listener.dup()])
        log.info("server.listening", server=self.name, address=self.bound_address)

    async def run(self) -> None:
        try:
            while True:
                await asyncio.sleep(DATE_S)
                await self._server.on_tick(0)
        finally:
            self._close()

    async def stop(self) -> None:
        """Take no new connections and return when all requests in flight are answered."""
        self._connections.stopping = True
        await self._take_waiting()
        self._listener.close()
        for connection in list(self._connections.all):
            connection.shutdown()
        await self._connections.wait_none_left()

    def _config(self) -> uvicorn.Config:
        protocol: t.Any = protocol_factory(self._connections)
        return uvicorn.Config(
            self._application,
            http=protocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            proxy_headers=False,
            timeout_keep_alive=t.cast(int, self._settings.idle_timeout_s),
        )

    async def _take_waiting(self) -> None:
        """Take the connections that the kernel accepted; closing the socket would reset them."""
        loop = asyncio.get_running_loop()
        for server in self._server.servers:
            server.close()
        while True:
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                return
            accepted.setblocking(False)
            await loop.connect_accepted_socket(self._make_protocol, accepted)

    def _make_protocol(self) -> asyncio.Protocol:
        make = protocol_factory(self._connections)
        return make(
            config=self._server.config,
            server_state=self._server.server_state,
            app_state={},
        )

    def _close(self) -> None:
        for server in self._server.servers:
            server.close()
        self._listener.close()
        for connection in list(self._connections.all):
            connection.transport.abort()
        for task in list(self._server.server_state.tasks):
            task.cancel()
