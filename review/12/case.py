"""A start that found no answer is sent again without a look at the tenant's cap: it runs although a config with a lower
cap was confirmed seconds before."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-3"))
import standin
from standin import TROUBLE, Proxy, job, job_id, make_config, route, run_case

CUT_S = 5.0
CONFIG_APPLY_S = 2.0  # config_apply_ms
TASK_CPU = 4000
FULL_WORKERS, TASKS_PER_WORKER = 5, 2
OLD_CAP, NEW_CAP = 48000, 8000
OVERAGE = 0.1  # quota_overage


def config(version, cap):
    tenant = {"name": "t-a", "api_keys": ["key-of-t-a"], "priority": 1, "weight": 10,
              "cap": {"cpu": cap, "mem_mb": 0, "gpu": 0}}
    return make_config(version, [route("r-a", "harga", public=False)], ["harga"], [tenant])


def submit(fleet, tasks, ms):
    status, _ = fleet.client("POST", f"/kafi/{job_id()}", job(ms, TASK_CPU, tasks), key="key-of-t-a")
    if status != 200:
        raise standin.CouldNotRun(f"a submission got {status}")


def play(fleet):
    # Five workers are full; the sixth one, which is cut off (1 of 6, share 0.167), has room for the next task.
    capacity = {"cpu": TASKS_PER_WORKER * TASK_CPU, "mem_mb": 32768, "gpu": 0}
    for i in range(FULL_WORKERS):
        zone = fleet.zones[i % 2]
        fleet.add_worker(f"i-{zone}-{i}", zone, "harga", capacity)
    fleet.start(config(1, OLD_CAP))
    tasks = FULL_WORKERS * TASKS_PER_WORKER
    submit(fleet, tasks, 90000)
    fleet.wait(lambda: sum(len(w.starts) for w in fleet.workers) == tasks, 15, "the first tasks to run")
    second = fleet.add_worker("i-bdg-5", "bdg", "harga", capacity, proxy=True)
    time.sleep(4.0)
    if TROUBLE:
        second.proxy.cut()
        fleet.record.write("the worker i-bdg-5 is cut off from all machines")
    cut_at = fleet.record.now()
    submit(fleet, 1, 90000)
    time.sleep(1.2)
    fleet.put_config(config(2, NEW_CAP))
    confirmed = fleet.record.now()
    time.sleep(max(0.0, cut_at + CUT_S - fleet.record.now()))
    if TROUBLE:
        second.proxy.join()
        fleet.record.write("the worker i-bdg-5 is reached again")
    time.sleep(12.0)
    late = [s for s in second.starts if s[0] > confirmed + CONFIG_APPLY_S]
    running = sum(len(w.active) for w in fleet.workers) * TASK_CPU
    limit = NEW_CAP * (1 + OVERAGE) + TASK_CPU
    fleet.record.write(f"cap {NEW_CAP} confirmed at {confirmed:.3f}; starts later than {confirmed + CONFIG_APPLY_S:.3f}: "
                       f"{late}; running {running}, allowed after a start {limit:.0f}")
    if late and running > limit:
        return (f"QUOTA: {late[0][1]} was started {late[0][0] - confirmed:.1f} s after the cap of {NEW_CAP} was confirmed "
                f"and brings what the tenant has running to {running}, over {limit:.0f}")
    return ""


run_case(HERE, play)
