"""Workers crash twice under one task of a submission that lasts. The submission is given up: its other tasks, at work on
sound workers, are stopped all at once, and it is shown as failed."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-3"))
import standin
from standin import TROUBLE, job, job_id, make_config, route, run_case

WORKERS = 8
CRASH_S = 4.5  # for_s of srv_crash in the site file
AT_WORK_S = 4.0  # how long the task is at work before its worker crashes
TASKS, MAX_UNAVAILABLE = 3, 1


def place_of(fleet, task):
    return next((w for w in fleet.workers if task in w.active), None)


def stops_beyond(fleet, tasks, since):
    """The stops of tasks at work while so many others of the step are away."""
    stops = sorted((at, task, w) for w in fleet.workers for at, task, how in w.ends if how == "stopped" and at >= since)
    away, beyond = set(), []
    for at, task, w in stops:
        if len(away - {task}) >= MAX_UNAVAILABLE:
            beyond.append(f"{task} on {w.id} at {at:.3f}")
        away.add(task)
    return beyond


def play(fleet):
    # One crash at a time: 1 of 8 workers (share 0.125).
    for i in range(WORKERS):
        zone = fleet.zones[i % 2]
        fleet.add_worker(f"i-{zone}-{i}", zone, "harga", {"cpu": 16000, "mem_mb": 32768, "gpu": 0})
    fleet.start(make_config(1, [route("r-a", "harga")], ["harga"]))
    submission = job_id()
    tasks = [f"{submission}.0.0.{i}" for i in range(TASKS)]
    status, _ = fleet.client("POST", f"/kafi/{submission}",
                             job(0, 4000, TASKS, long_running=True, max_unavailable=MAX_UNAVAILABLE, anti_affinity=1))
    if status != 200:
        raise standin.CouldNotRun(f"the submission got {status}")
    fleet.wait(lambda: all(place_of(fleet, t) for t in tasks), 10, "the tasks to start")
    last_crash = fleet.record.now()
    for _ in range(2):
        time.sleep(AT_WORK_S)
        if not TROUBLE:
            continue
        # Another worker each time. It runs this task and nothing else.
        place_of(fleet, tasks[0]).crash(CRASH_S)
        last_crash = fleet.record.now()
        until = time.monotonic() + 20
        while not place_of(fleet, tasks[0]) and time.monotonic() < until:
            time.sleep(0.05)
        if not place_of(fleet, tasks[0]):
            break
    time.sleep(20.0)
    status, answer = fleet.client("GET", f"/kafi/{submission}")
    running = [t for t in tasks if place_of(fleet, t)]
    beyond = stops_beyond(fleet, tasks, last_crash)
    fleet.record.write(f"state {answer}; tasks that run: {len(running)} of {TASKS}; all workers are up; stops of tasks at "
                       f"work while {MAX_UNAVAILABLE} or more others are away: {beyond}")
    if beyond:
        return (f"AVAIL: {len(beyond)} tasks at work were stopped while {MAX_UNAVAILABLE} or more others of their step "
                f"were away; state {answer.get('state')}, {len(running)} of {TASKS} tasks run")
    return ""


run_case(HERE, play)
