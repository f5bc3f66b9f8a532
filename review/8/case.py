"""Case 8: the worker under one task of a standing submission crashes twice; the whole submission is given up.

Its other tasks, at work on sound workers, are stopped (AVAIL), and it is shown as failed although none of its runs
ended failed (LOST).
"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-2"))
import fleet as standins  # noqa: E402

POOL = "archive"
WORKERS = 9
TASKS = 5
MAX_UNAVAILABLE = 1
CRASHES = 2
CRASH_AFTER_S = 2.0
DOWN_S = 4.5  # srv_crash: for_s 4.5, one of nine workers (share 0.11 of at most 0.14)
NOTICE_S = 4.5  # notice_ms


async def play(fleet):
    fleet.workers = [standins.Worker(fleet, i, POOL, standins.ZONES[i % 3]) for i in range(WORKERS)]
    await fleet.start()
    await fleet.operate("PUT", "/config", fleet.config(1, [POOL], max_attempts=3))
    await asyncio.sleep(2.0)
    # The tasks last: their work never ends by itself.
    job = await fleet.submit(POOL, {"spec": '{"ms":1000000}', "steps": [
        {"count": TASKS, "cpu": 8000, "mem_mb": 4096, "estimate_ms": 1000, "long_running": True,
         "anti_affinity": 1, "max_unavailable": MAX_UNAVAILABLE}]})
    tasks = [f"{job}.0.0.{i}" for i in range(TASKS)]
    for _ in range(CRASHES if standins.TROUBLE else 0):
        worker = await wait_for_run(fleet, tasks[0])
        await asyncio.sleep(CRASH_AFTER_S)
        await worker.crash()
        await asyncio.sleep(DOWN_S)
        await worker.live()
    until = fleet.record.now() + 20
    state = None
    while fleet.record.now() < until and state not in ("failed", "canceled"):
        await asyncio.sleep(1.0)
        state = await fleet.state(POOL, job)
    await asyncio.sleep(3.0)
    stopped = stops_beyond_limit(fleet, tasks)
    failed = [e for e in fleet.ends if e[2] in tasks and e[4] == "failed"]
    fleet.record(f"submission {job} is shown as {state}; {len(failed)} of its runs ended failed; nobody cancelled it")
    for text in stopped:
        fleet.record(text)
    if stopped:
        return f"AVAIL: {stopped[0]}; the submission is shown as {state}, {len(failed)} of its runs ended failed"
    return None


def stops_beyond_limit(fleet, tasks):
    """Stops of a task at work on a sound worker while MAX_UNAVAILABLE or more others of the step were away: ended by
    such a stop or not at work within the last NOTICE_S."""
    out = []
    for at, worker, task, attempt, how in fleet.ends:
        if task not in tasks or how != "stopped" or not worker.alive:
            continue
        away = [o for o in tasks if o != task and is_away(fleet, o, at)]
        if len(away) >= MAX_UNAVAILABLE:
            out.append(f"at {at:.3f} s {task} run {attempt}, at work on sound worker {worker.id}, was stopped while "
                       f"{len(away)} others of its step were away ({', '.join(t.rsplit('.', 1)[1] for t in away)})")
    return out


def is_away(fleet, task, at):
    started = max((s[0] for s in fleet.starts if s[2] == task and s[0] < at), default=None)
    ended = max((e[0] for e in fleet.ends if e[2] == task and e[0] < at), default=None)
    if started is None:
        return True
    if ended is not None and ended > started:
        stopped = any(e[0] == ended and e[2] == task and e[4] == "stopped" for e in fleet.ends)
        return stopped or at - ended >= NOTICE_S
    return False


async def wait_for_run(fleet, task):
    for _ in range(400):
        running = fleet.running(task)
        if running:
            return running[0]
        await asyncio.sleep(0.05)
    raise RuntimeError("the task was not started")


standins.run(HERE, play)
