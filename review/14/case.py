"""An edge machine freezes with a submission in its socket. The client hears nothing and cancels: 410, no such submission.
When the machine wakes, the submission is accepted and runs."""

import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-3"))
import standin
from standin import TROUBLE, job, job_id, make_config, route, run_case

FREEZE_S = 7.2
EDGES = 10  # one of them freezes: share 0.1
CANCEL_S = 3.0  # cancel_ms


def play(fleet):
    fleet.add_worker("i-jkt-0", "jkt", "harga", {"cpu": 16000, "mem_mb": 32768, "gpu": 0})
    fleet.start(make_config(1, [route("r-a", "harga")], ["harga"]))
    if fleet.client("POST", f"/kafi/{job_id()}", job(500, 4000))[0] != 200:
        raise standin.CouldNotRun("a submission was not accepted")
    fleet.wait(lambda: fleet.workers[0].ends, 10, "a task to run")
    first, second = fleet.edges[:2]
    submission = job_id()
    frozen_at = fleet.record.now()
    if TROUBLE:
        first.signal(signal.SIGSTOP)
    status, _ = fleet.client("POST", f"/kafi/{submission}", job(60000, 4000), edge=first)
    cancelled, _ = fleet.client("DELETE", f"/kafi/{submission}", edge=second)
    acknowledged = fleet.record.now()
    if cancelled not in (200, 410):
        raise standin.CouldNotRun(f"the cancelling got {cancelled}")
    time.sleep(max(0.0, frozen_at + FREEZE_S - fleet.record.now()))
    if TROUBLE:
        first.signal(signal.SIGCONT)
    time.sleep(8.0)
    late = [s for s in fleet.workers[0].starts if s[1].startswith(submission) and s[0] > acknowledged + CANCEL_S]
    state = fleet.client("GET", f"/kafi/{submission}", edge=second)
    fleet.record.write(f"submitted: {status}; cancelled: {cancelled} at {acknowledged:.3f}; starts later than cancel_ms after "
                       f"that: {late}; state {state}")
    if late:
        return (f"UNASKED: a task starts {late[0][0] - acknowledged:.1f} s after the submission's cancelling was answered "
                f"{cancelled}; state {state[1]}")
    return ""


run_case(HERE, play, edges=EDGES)
