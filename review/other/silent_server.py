"""A worker falls silent and the leader is killed. The next leader gives the worker a task that lasts, which then waits."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standin"))
import standin  # noqa: E402

HOST, PREFIX, KEY = "desk.example", "/watch/", "key-of-a"
CORE = 1000
CALM_S = 4 + 3  # The calm before and the wait, as the rule LOST has them.


async def case(site, trouble):
    for i in range(7):
        site.add_machine(f"m-{i + 1}", "watch", cpu=16 * CORE)
    await site.start(standin.config(
        1, [{"name": "r-watch", "host": HOST, "prefix": PREFIX, "service": "watch"}], ["watch"], [("a", KEY, 0)]))
    calm_since = site.record.now()
    if trouble:
        worker = site.machines["m-1"]["worker"]
        worker.server.handler = no_answer
        for job in worker.jobs:
            job.cancel()
        leader = next(p for p in site.programs if "event=leading" in (site.folder / f"{p.name}.log").read_text())
        leader.signal(signal.SIGKILL)
        leader.process.wait()
        asyncio.get_running_loop().call_later(2, leader.start)
        calm_since += 2
    job = await site.submit(HOST, PREFIX, KEY, {"spec": "[0]", "steps": [
        {"count": 1, "cpu": 2 * CORE, "mem_mb": 64, "estimate_ms": 700, "long_running": True}]})
    accepted_at = site.record.now()
    while not site.started_runs and site.record.now() < accepted_at + 30:
        await asyncio.sleep(0.05)
    began_at = site.record.now()
    broken = began_at - max(calm_since, accepted_at) > CALM_S
    site.record.write("check", "LOST" if broken else "started", submission=job, waited_s=round(began_at - accepted_at, 1))
    return standin.BROKEN if broken else standin.HELD


async def no_answer(*_):
    return None


standin.run_case(case, __file__)
