"""An entry process whose links to the targets can be lost while all its other links work.

``python -m tests.linked_entry steer`` runs ``coralfall steer``. What is lost is read from the file
that the environment variable ``LINKS_FILE`` names: the kind of loss, and the addresses that it
concerns.
"""

from coralfall.process.signals import early

if __name__ == "__main__":
    early.hold()

import asyncio
import enum
import json
import os
import pathlib
import typing as t

from coralfall import __main__, defaults
from coralfall.traffic import pool
from coralfall.traffic.connection import ServerConnection
from coralfall.traffic.receive_budget import ReceiveBudget

LINKS_VARIABLE = "LINKS_FILE"
_POLL_S = 0.01


class Loss(enum.Enum):
    """How links to targets are lost."""

    NONE = "none"
    #: Nothing arrives, either way.
    SILENT = "silent"
    #: Requests arrive, and nothing comes back.
    ONE_WAY = "one-way"
    #: Open connections are reset, and so are new ones.
    RESET = "reset"
    #: New connections are refused, and open ones live on.
    REFUSING = "refusing"


class LinkFile:
    """The file that says what is lost, on the side of the test."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.set(Loss.NONE)

    def set(self, loss: Loss, addresses: t.Sequence[str] = ()) -> None:
        """Changes what is lost.

        :param addresses: targets that are concerned; all if empty.
        """
        written = self.path.with_suffix(".new")
        written.write_text(json.dumps({"loss": loss.value, "addresses": list(addresses)}))
        written.replace(self.path)


class _Links:
    """What is lost, on the side of the entry."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._read_at = 0
        self._loss = Loss.NONE
        self._addresses: t.FrozenSet[str] = frozenset()
        self.connections: t.Set["_LinkedConnection"] = set()
        self._poller: t.Optional["asyncio.Task[None]"] = None

    def loss_of(self, address: str) -> Loss:
        written_at = self._path.stat().st_mtime_ns
        if written_at != self._read_at:
            self._read_at = written_at
            content = json.loads(self._path.read_text())
            self._loss = Loss(content["loss"])
            self._addresses = frozenset(content["addresses"])
        is_concerned = not self._addresses or address in self._addresses
        return self._loss if is_concerned else Loss.NONE

    async def connect(
        self, address: str, timeout_s: float, max_body_bytes: int, budget: ReceiveBudget
    ) -> t.Any:
        """Stands in for :func:`coralfall.traffic.connection.connect`."""
        if self._poller is None:
            self._poller = asyncio.create_task(self._reset_connections())
        loss = self.loss_of(address)
        if loss in (Loss.SILENT, Loss.ONE_WAY):
            await asyncio.sleep(timeout_s)
            raise TimeoutError
        if loss is Loss.RESET:
            raise ConnectionResetError("reset on the way")
        if loss is Loss.REFUSING:
            raise ConnectionRefusedError("refused on the way")
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(timeout_s):
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: _LinkedConnection(self, address, max_body_bytes, budget), host, int(port)
            )
        connection.detect_dead_peer(defaults.DEAD_PEER_TIMEOUT_S)
        return connection

    async def _reset_connections(self) -> None:
        while True:
            await asyncio.sleep(_POLL_S)
            for connection in list(self.connections):
                if self.loss_of(connection.address) is Loss.RESET:
                    connection.abort()


class _LinkedConnection(ServerConnection):
    """A connection to a target that may be lost."""

    def __init__(
        self, links: _Links, address: str, max_body_bytes: int, budget: ReceiveBudget
    ) -> None:
        super().__init__(max_body_bytes, budget)
        self._links = links
        self.address = address

    def connection_made(self, transport: t.Any) -> None:
        self._links.connections.add(self)
        super().connection_made(transport)

    def connection_lost(self, exc: t.Optional[Exception]) -> None:
        self._links.connections.discard(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self._links.loss_of(self.address) in (Loss.SILENT, Loss.ONE_WAY):
            return
        super().data_received(data)

    async def exchange(self, head: bytes, *rest: t.Any, **options: t.Any) -> t.Any:
        loss = self._links.loss_of(self.address)
        if loss not in (Loss.SILENT, Loss.ONE_WAY):
            return await super().exchange(head, *rest, **options)
        # As the kernel does, which gets no acknowledgement of what is sent.
        end = asyncio.get_running_loop().call_later(defaults.DEAD_PEER_TIMEOUT_S, self.abort)
        try:
            if loss is Loss.SILENT:
                head, rest, options = b"", (b"",), {}
            return await super().exchange(head, *rest, **options)
        finally:
            end.cancel()


if __name__ == "__main__":
    links = _Links(pathlib.Path(os.environ[LINKS_VARIABLE]))
    pool.connect = links.connect
    __main__.main()
