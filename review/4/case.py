"""A worker crashes and its machine returns with a new worker. The next maintenance wave ends that worker at work."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standin"))
import standin  # noqa: E402

HOST, PREFIX, KEY = "desk.example", "/watch/", "key-of-a"
CORE = 1000
MACHINES = 7  # One of them is 0.143 of the service's workers; the largest share of the site file is 0.14, rounded up.
PER_WORKER = 2
MAX_UNAVAILABLE = 1
DOWN_S = 2.0
DURATION_S = 25  # The site file's waves last 24 to 27 s.
AT_WORK = 100


async def case(site, trouble):
    for i in range(MACHINES):
        site.add_machine(f"m-{i + 1}", "watch", cpu=16 * CORE)
    await site.start(standin.config(
        1, [{"name": "r-watch", "host": HOST, "prefix": PREFIX, "service": "watch"}], ["watch"], [("a", KEY, 0)]))
    tasks = MACHINES * PER_WORKER
    job = await site.submit(HOST, PREFIX, KEY, {"spec": "[0]", "steps": [
        {"count": tasks, "cpu": 6 * CORE, "mem_mb": 64, "estimate_ms": 1000, "long_running": True,
         "anti_affinity": PER_WORKER, "max_unavailable": MAX_UNAVAILABLE}]})
    await wait_for_all_at_work(site, tasks, 10)
    await asyncio.sleep(11)

    if trouble:
        machine = site.machines["m-1"]
        machine["worker"].crash("crash")
        await asyncio.sleep(DOWN_S)
        await site.start_worker("m-1")
        await wait_for_all_at_work(site, tasks, 20)
        # Longer than the time until the machine is in touch again and its tasks count as settled.
        await asyncio.sleep(5)

    broken = []

    def on_end(worker, run, how):
        """Judges a run that an upkeep ends: 'crashed' while its machine is ordered into upkeep."""
        by_upkeep = how == "crashed" and any(
            wave.get(worker.machine["name"]) is not None for wave in site.waves.values())
        if not by_upkeep or site.percent(run) < AT_WORK:
            return
        away = sum(1 for i in range(tasks) if i != int(run.index) and not is_at_work(site, job, i, run))
        site.record.write("check", "upkeep ends a task at work", task=run.task, worker=worker.id, others_away=away)
        if away >= MAX_UNAVAILABLE:
            broken.append(run.task)

    ended = set()
    site.on_end.append(lambda w, r, how: (ended.discard(r.index), on_end(w, r, how), ended.add(r.index)))
    site.ended_now = ended
    await site.start_wave(1, ["m-1", "m-2"], DURATION_S, 1)
    until = site.record.now() + 45
    while site.record.now() < until and not broken and await site.wave_state(1) != "completed":
        await asyncio.sleep(0.5)
    site.record.write("check", "AVAIL" if broken else "no task ended by an upkeep", tasks=broken)
    return standin.BROKEN if broken else standin.HELD


def is_at_work(site, job, index, ending):
    """@return whether a task of the step is at work. Of a worker that an upkeep ends, the runs that have been reported
    as ended are away."""
    for worker in [*site.workers.values(), ending.worker]:
        for run in worker.active.values():
            if run.job == job and run.index == str(index) and site.percent(run) >= AT_WORK:
                return run.worker is not ending.worker or run.index not in site.ended_now
    return False


async def wait_for_all_at_work(site, tasks, limit_s):
    until = site.record.now() + limit_s
    while site.record.now() < until:
        running = [r for w in site.workers.values() for r in w.active.values() if site.percent(r) >= AT_WORK]
        if len(running) == tasks:
            return
        await asyncio.sleep(0.1)
    raise standin.NotRun("the tasks were not at work in time")


standin.run_case(case, __file__)
