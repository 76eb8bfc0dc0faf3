"""Case 5: a zone that is taken back and evacuated again while the reading entry is frozen."""

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

EVACUATION_S = 5.0
STABLE_S = 4.0
FREEZE_S = 2.0
BETWEEN_REGIONS_S = 0.035
LASTS_S = 8.0
ROUNDS = 5
READS = 'coralfall_store_reads{rows="state"}'


async def case(record: lab.Record, scratch: pathlib.Path, trouble: bool) -> bool:
    rng = random.Random()
    store = lab.Store(record)
    await store.start()
    instances = [
        lab.Instance(record, store, f"i-{zone}", "mando", zone) for zone in lab.ZONES
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
                number, record, store, entries, instances, frozen, entry_by_request, trouble
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
    store: lab.Store,
    entries: t.List[lab.Entry],
    instances: t.List[lab.Instance],
    frozen: t.Set[lab.Entry],
    entry_by_request: t.Dict[str, lab.Entry],
    trouble: bool,
) -> int:
    """Evacuates a zone, takes it back and evacuates it again; returns the requests that came late."""
    reader = await reader_of(entries)
    # A zone from whose region another entry sends its requests.
    region = lab.ZONES[reader.zone]
    zone = next(z for z, r in lab.ZONES.items() if r != region and z.endswith("-b"))
    key = f"evacuate/{zone}"
    store.put("op", key, {})
    record.write("evacuated", round=number, zone=zone, reader=reader.name)
    await asyncio.sleep(3.0)
    if trouble:
        reader.signal(signal.SIGSTOP)
        frozen.add(reader)
        record.write("frozen", entry=reader.name)
    began = time.monotonic()
    await asyncio.sleep(0.7)
    store.remove("op", key)
    record.write("taken-back")
    await asyncio.sleep(max(0.0, began + FREEZE_S - 0.03 - time.monotonic()))
    store.put("op", key, {})
    acked_at = time.monotonic()
    record.write("evacuated-again")
    await asyncio.sleep(max(0.0, began + FREEZE_S - time.monotonic()))
    if trouble:
        reader.signal(signal.SIGCONT)
        frozen.discard(reader)
        record.write("woken", entry=reader.name)
    await asyncio.sleep(max(0.0, acked_at + LASTS_S - time.monotonic()))
    until = time.monotonic()
    store.remove("op", key)
    record.write("taken-back")
    found = 0
    for server in instances:
        if server.zone != zone:
            continue
        for at, request_id in server.arrivals:
            entry = entry_by_request.get(request_id)
            if not acked_at + EVACUATION_S < at < until or entry is None or entry is reader:
                continue
            found += 1
            after = round(at - acked_at, 3)
            record.write("too-late", id=request_id, entry=entry.name, server=server.name, after=after)
    record.write("round-over", late=found)
    await asyncio.sleep(1.0)
    return found


async def reader_of(entries: t.List[lab.Entry]) -> lab.Entry:
    """Returns the entry that reads the operator's rows, by the entries' own metrics."""
    before = [await lab.metric(entry, READS) for entry in entries]
    await asyncio.sleep(1.5)
    after = [await lab.metric(entry, READS) for entry in entries]
    return max(zip(after, before, entries), key=lambda one: one[0] - one[1])[2]


if __name__ == "__main__":
    sys.exit(lab.run_case(FOLDER, case))
