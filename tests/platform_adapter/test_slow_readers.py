"""Tests of uploads to targets that pause while they read, which must not be taken for dead."""

import asyncio
import signal
import socket
import unittest

from parameterized import parameterized

from tests.linked_entry import Loss
from tests.platform_adapter.standins import InstanceStandin
from tests.platform_adapter.test_cut_entries import ORDER, Fleet, make_state, run_fleet
from tests.traffic.scripted_target import ReceivedRequest

#: Seconds for which a target pauses while it reads one upload.
PAUSES = ((0.5,), (1.0,), (2.5,), (0.5, 1.0, 0.7))
UPLOAD = b"u" * 300_000
_PIECE_BYTES = 16384
_BUFFER_BYTES = 65536
_DEADLINE_MS = 5000


class SlowInstance(InstanceStandin):
    """A target with a small receive window; the path of an upload says how it pauses."""

    async def __aenter__(self) -> "SlowInstance":
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._accept, sock=listener, limit=_PIECE_BYTES)
        host, port = listener.getsockname()
        self.address = f"{host}:{port}"
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            received = ReceivedRequest(head, b"", writer)
            length = int(received.header("content-length") or 0)
            path = head.split(b" ")[1].decode()
            pauses = [float(part) for part in path.removeprefix(ORDER).split("-") if "." in part]
            while len(received.body) < length:
                received.body += await reader.readexactly(
                    min(_PIECE_BYTES, length - len(received.body))
                )
                if pauses:
                    await asyncio.sleep(pauses.pop())
            self.received.append(received)
            await self._run(received)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


class SlowReaderTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("directly", False, False),
            ("directly, after SIGTERM", False, True),
            ("through another entry", True, False),
            ("through another entry, after SIGTERM", True, True),
        ]
    )
    def test_uploads_to_targets_that_pause_are_answered(
        self, _name: str, is_cut_off: bool, is_stopped: bool
    ) -> None:
        async def scenario(fleet: Fleet) -> None:
            entry = fleet.entries[0]
            state = make_state(2)
            for route in state["routes"]:
                route["timeoutS"] = 5.0
            fleet.installation.store.put("op", "config", state)
            if is_cut_off:
                entry.links.set(Loss.SILENT)

                async def is_known() -> bool:
                    await fleet.installation.request(entry, "/read/1")
                    return "event=service.cut-off" in entry.log.read_text()

                await fleet.installation.wait_until("the cut is known", is_known)
            await asyncio.sleep(2.0)
            uploads = [
                asyncio.create_task(
                    fleet.installation.request(
                        entry,
                        ORDER + "-".join(map(str, pauses)),
                        body=UPLOAD,
                        deadline_ms=_DEADLINE_MS,
                    )
                )
                for pauses in PAUSES
            ]
            if is_stopped:
                await asyncio.sleep(0.1)
                entry.signal(signal.SIGTERM)
            answers = [(status, len(body)) for status, body, _ in await asyncio.gather(*uploads)]
            carried = entry.log.read_text().count("connection.dead")
            self.assertEqual(([(200, len(UPLOAD))] * len(PAUSES), 0), (answers, carried))

        run_fleet(scenario, instance_type=SlowInstance)
