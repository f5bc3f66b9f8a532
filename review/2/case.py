"""One tenant's submissions that wait for its cap keep every other tenant's submission of the service from starting."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standin"))
import standin  # noqa: E402

HOST, PREFIX = "desk.example", "/archive/"
A, B = "key-of-a", "key-of-b"
CORE = 1000
# Tenant A's submissions: 4 a second for 4 s, and 2.6 times as many in a burst, the largest dose of the site file.
USUAL, BURST_X = 16, 2.6
STALL_S = 3.0


LASTING = {"spec": "[0]", "steps": [
    {"count": 1, "cpu": 2 * CORE, "mem_mb": 64, "estimate_ms": 700, "long_running": True}]}
QUOTE = {"spec": "[800]", "steps": [{"count": 1, "cpu": 2 * CORE, "mem_mb": 64, "estimate_ms": 800}]}


async def case(site, trouble):
    for i in range(4):
        site.add_machine(f"m-{i + 1}", "archive", cpu=16 * CORE)
    capacity = 4 * 16 * CORE
    await site.start(standin.config(
        1, [{"name": "r-archive", "host": HOST, "prefix": PREFIX, "service": "archive"}], ["archive"],
        [("a", A, 8 * CORE), ("b", B, 32 * CORE)]))

    # Tenant A may have 8 of the 64 cores, so 4 of its submissions run and the rest waits.
    count = int(USUAL * BURST_X) if trouble else USUAL
    await asyncio.gather(*[send_later(site, 4.0 * i / count) for i in range(count)])
    job = await site.submit(HOST, PREFIX, B, QUOTE)
    end_of_traffic = site.record.now()

    await asyncio.sleep(standin.BOUNDS["finish_s"])
    began = None
    while site.record.now() - end_of_traffic < standin.BOUNDS["finish_s"] + STALL_S + 1:
        used = sum(w.used("cpu") for w in site.workers.values())
        room = sum((w.machine["capacity"]["cpu"] - w.used("cpu")) // (2 * CORE) for w in site.workers.values())
        runs = [r for w in site.workers.values() for r in w.active.values() if r.job == job]
        stalled = not runs and not has_ended(site, job) and room >= 2 and used < capacity / 2
        if not stalled:
            began = None
        elif began is None:
            began = site.record.now()
        elif site.record.now() - began >= STALL_S:
            state = await site.state(HOST, PREFIX, B, job)
            site.record.write("check", "LOST", submission=job, state=state,
                              waits_s=round(site.record.now() - end_of_traffic, 1), cores_used=used // CORE, cores=capacity // CORE, room_for_it=room)
            return standin.BROKEN
        await asyncio.sleep(0.1)
    site.record.write("check", "no stall", state=await site.state(HOST, PREFIX, B, job))
    return standin.HELD


async def send_later(site, delay):
    await asyncio.sleep(delay)
    await site.submit(HOST, PREFIX, A, LASTING)


def has_ended(site, job):
    return any(run.job == job and how == "done" for _, run, how in site.ended_runs)


standin.run_case(case, __file__)
