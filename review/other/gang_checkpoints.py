"""A worker of a gang crashes. The members of the next run start from different checkpoints."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standin"))
import standin  # noqa: E402

HOST, PREFIX, KEY = "desk.example", "/filing/", "key-of-a"
CORE = 1000
MACHINES = 7  # One of them is 0.143 of the service's workers; the largest share of the site file is 0.14, rounded up.
MEMBERS = 4
DOWN_S = 2.0


async def case(site, trouble):
    for i in range(MACHINES):
        site.add_machine(f"m-{i + 1}", "filing", cpu=8 * CORE)
    await site.start(standin.config(
        1, [{"name": "r-filing", "host": HOST, "prefix": PREFIX, "service": "filing"}], ["filing"], [("a", KEY, 0)]))
    job = await site.submit(HOST, PREFIX, KEY, {"spec": "[8000]", "steps": [
        {"count": MEMBERS, "cpu": 6 * CORE, "mem_mb": 64, "estimate_ms": 8000, "gang": True, "checkpointing": True}]})
    await asyncio.sleep(3.3)
    if trouble:
        worker = next(w for w in site.workers.values() if w.active)
        worker.crash("crash")
        await asyncio.sleep(DOWN_S)
        await site.start_worker(worker.machine["name"], same_id=True)
    await asyncio.sleep(12)

    runs = {}
    for _, run in site.started_runs:
        if run.job == job:
            runs.setdefault(run.attempt, {})[run.index] = run.started_from
    mixed = {attempt: sorted(set(values.values())) for attempt, values in runs.items() if len(set(values.values())) > 1}
    site.record.write("check", "UNASKED" if mixed else "all members of each run carry the same checkpoint",
                      runs=runs, state=await site.state(HOST, PREFIX, KEY, job))
    return standin.BROKEN if mixed else standin.HELD


standin.run_case(case, __file__)
