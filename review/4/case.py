"""Case 4: a stale reader pushes a snapshot without the deletions that it can't know of."""

import asyncio
import pathlib
import random
import signal
import sys
import time
import typing as t

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import lab  # noqa: E402

DRAIN_S = 2.5
STABLE_S = 4.0
FREEZE_S = 4.0
BETWEEN_REGIONS_S = 0.035
STAY_S = 10.0
WARMUP_S = 3.0
ROUNDS = 5


class CompactStore(lab.Store):
    """A store that can forget its history."""

    oldest = 0

    async def _do(self, message: lab.Message) -> t.Tuple[int, t.Any]:
        if message.target.startswith("/v1/rows-feed"):
            query = dict(lab.urllib.parse.parse_qsl(message.target.partition("?")[2]))
            if int(query["after"]) < self.oldest:
                return 410, {"error": "gone"}
        return await super()._do(message)

    def forget_history(self) -> None:
        self.oldest = self.ver


async def case(record: lab.Record, scratch: pathlib.Path, trouble: bool) -> bool:
    rng = random.Random()
    store = CompactStore(record)
    await store.start()
    instances = [
        lab.Instance(record, store, f"i-{zone}", "mando", zone) for zone in ("centro-a", "norte-a", "sur-a")
    ]
    for instance in instances:
        await instance.start()
    store.put("op", "config", lab.config(1, [lab.route("orden", "/orden/", "unsafe", "mando")]))
    zones = ["centro-a", "norte-a", "sur-a", "centro-b"] * 2 + ["norte-b", "sur-b"]
    ports = [lab.free_port() for _ in zones]
    links = [lab.DelayProxy(port, BETWEEN_REGIONS_S) for port in ports]
    for link in links:
        await link.start()
    entries = [
        lab.Entry(
            scratch,
            number,
            zone,
            store.address,
            [link.address for link in links[:3]],
            peer_port=ports[number],
            announced=links[number].address,
        )
        for number, zone in enumerate(zones)
    ]
    entry_by_request: t.Dict[str, lab.Entry] = {}
    frozen: t.Set[lab.Entry] = set()
    stop = False
    count = 0

    async def client(number: int) -> None:
        nonlocal count
        while not stop:
            entry = entries[number % len(entries)]
            if entry in frozen:
                await asyncio.sleep(0.05)
                continue
            count += 1
            request_id = f"r{count}"
            entry_by_request[request_id] = entry
            headers = {
                "Host": "a.example",
                "X-Request-Id": request_id,
                "X-Request-Deadline": "3000",
                "Cookie": f"X-Affinity-Key={rng.randrange(40)}",
            }
            record.write("sent", id=request_id, entry=entry.name)
            try:
                status, _, _ = await lab.call(entry.address, "POST", "/orden/x", headers, b"set")
            except (OSError, lab.Broken) as error:
                status = 0
                record.write("no-answer", id=request_id, entry=entry.name, error=type(error).__name__)
            if status:
                record.write("answered", id=request_id, status=status)
            await asyncio.sleep(0.12)

    broken = 0
    clients: t.List["asyncio.Task[None]"] = []
    try:
        for entry in entries:
            entry.start()
        for entry in entries:
            await entry.wait_ready()
        clients = [asyncio.create_task(client(number)) for number in range(20)]
        await asyncio.sleep(5)
        for number in range(ROUNDS):
            broken += await one_round(
                number, record, store, entries, frozen, entry_by_request, trouble
            )
        stop = True
        await asyncio.gather(*clients, return_exceptions=True)
    finally:
        stop = True
        for entry in entries:
            entry.kill()
    lab.write_runs(record, instances)
    print(f"{broken} requests reached a server too late")
    return not broken


async def one_round(
    number: int,
    record: lab.Record,
    store: CompactStore,
    entries: t.List[lab.Entry],
    frozen: t.Set[lab.Entry],
    entry_by_request: t.Dict[str, lab.Entry],
    trouble: bool,
) -> int:
    """Two servers join and leave again; returns how many requests reached them too late."""
    frozen_entry = entries[0]
    late = [
        lab.Instance(record, store, f"i-late-{number}-{zone}", "mando", zone)
        for zone in ("norte-a", "sur-a")
    ]
    record.write("round", number=number)
    began = time.monotonic()
    if trouble:
        frozen_entry.signal(signal.SIGSTOP)
        frozen.add(frozen_entry)
        record.write("frozen", entry=frozen_entry.name)
    await asyncio.sleep(1.0)
    for server in late:
        server.warm_at = time.monotonic() + WARMUP_S
        await server.start()
        record.write("joined", server=server.name)
    await asyncio.sleep(max(0.0, began + FREEZE_S - 0.03 - time.monotonic()))
    for server in late:
        # It never says that it drains: its row is removed, and it serves on.
        server.stop_beats()
        store.remove("servers", server.name)
        record.write("removed", server=server.name, arrivals=len(server.arrivals))
    acked_at = time.monotonic()
    await asyncio.sleep(0.01)
    if trouble:
        store.forget_history()
        record.write("history-forgotten")
        frozen_entry.signal(signal.SIGCONT)
        frozen.discard(frozen_entry)
        record.write("woken", entry=frozen_entry.name)
    ended_at = time.monotonic()
    await asyncio.sleep(STAY_S)
    # Later than drainS, and by machines that are in touch again for stableS.
    bound = max(acked_at + DRAIN_S, ended_at + STABLE_S) + 0.2
    found = 0
    for server in late:
        for at, request_id in server.arrivals:
            entry = entry_by_request.get(request_id)
            if at <= bound or entry is None or entry is frozen_entry:
                continue
            found += 1
            after = round(at - acked_at, 3)
            record.write("too-late", id=request_id, entry=entry.name, server=server.name, after=after)
        server.close()
    lab.write_runs(record, late)
    record.write("round-over", late=found)
    return found


if __name__ == "__main__":
    sys.exit(lab.run_case(FOLDER, case))
