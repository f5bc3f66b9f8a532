"""Case 8: a worker crashes, comes back under its id, and is lost for good some seconds later. Its task that lasts isn't
started again for some 20 s, though there is room for it many times over."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-2"))
import fleet as standins  # noqa: E402

POOL = "archive"
WORKERS = 9
DOWN_S = 1.5      # srv_crash: for_s up to 4.5; one of nine workers (share 0.11 of at most 0.14)
SECOND_LIFE_S = 5.0
WATCH_S = 40.0
# "The last holds for each task that lasts, from 6 s after its last run [...] if the 3 s and the 4 s before them are calm"
FROM_S, IDLE_S, CALM_S = 6.0, 3.0, 4.0


async def play(fleet):
    # The worker with the lowest id is the first choice among equal ones.
    fleet.workers = [standins.Worker(fleet, i, POOL, standins.ZONES[i % 3], same_id=True) for i in range(WORKERS)]
    await fleet.start()
    await fleet.operate("PUT", "/config", fleet.config(1, [POOL]))
    await asyncio.sleep(2.0)
    job = await fleet.submit(POOL, {"spec": '{"ms":1000000}', "steps": [
        {"count": 3, "cpu": 8000, "mem_mb": 4096, "estimate_ms": 1000, "long_running": True, "anti_affinity": 1}]})
    tasks = [f"{job}.0.0.{i}" for i in range(3)]
    await asyncio.sleep(12.0)
    worker = next(w for w in fleet.workers if w.runs)
    if standins.TROUBLE:
        await worker.crash()
        await asyncio.sleep(DOWN_S)
        await worker.live()
    await asyncio.sleep(SECOND_LIFE_S)
    task = next(iter(worker.runs), None)
    if task is None:
        raise RuntimeError("no task runs on the worker's second life")
    if not standins.TROUBLE:
        await asyncio.sleep(WATCH_S / 2)
        return None if fleet.running(task) == [worker] else f"LOST: {task} does not run"
    await worker.crash(dark=True)  # for good
    lost_at = fleet.record.now()
    restarted_at = None
    while restarted_at is None and fleet.record.now() - lost_at < WATCH_S:
        await asyncio.sleep(0.1)
        restarted_at = next((s[0] for s in fleet.starts if s[2] == task and s[0] > lost_at), None)
    others = [w for w in fleet.workers if w.alive]
    used = sum(fleet.cpu(t) for w in others for t in w.runs)
    state = await fleet.state(POOL, job)
    idle = (restarted_at or fleet.record.now()) - lost_at
    fleet.record(f"{task} had nothing running for {idle:.1f} s; {used} of {sum(w.cpu for w in others)} of cpu in use on "
                 f"{len(others)} sound workers; the submission is {state}; tasks {tasks}")
    if idle > max(FROM_S, CALM_S) + IDLE_S:
        return (f"LOST: {task}, which lasts, had nothing running for {idle:.1f} s after the only disruption, a worker "
                f"lost for good, with {used} of {sum(w.cpu for w in others)} of cpu in use")
    return None


standins.run(HERE, play)
