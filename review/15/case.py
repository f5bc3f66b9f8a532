"""A core machine that was frozen carries out an old order of the operator when it wakes: an evacuation that was
acknowledged later is undone."""

import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-3"))
import standin
from standin import TROUBLE, job, job_id, make_config, route, run_case

ZONE = "jkt"
EVACUATION_S = 5.0  # evacuation_ms
CONTACT_S = 3.0  # contact_ms
FREEZE_S = 6.0
# The operator's machine sends again what the frozen one has not acknowledged; TCP's timer doubles, so this comes later
# than the thaw.
RETRANSMISSION_S = 0.4


def play(fleet):
    for i, zone in enumerate(["jkt", "jkt", "bdg", "bdg"]):
        fleet.add_worker(f"i-{zone}-{i}", zone, "harga", {"cpu": 16000, "mem_mb": 32768, "gpu": 0})
    fleet.add_proxies()
    fleet.start(make_config(1, [route("r-a", "harga")], ["harga"]))
    stop = threading.Event()

    def submit():
        while not stop.is_set():
            fleet.client("POST", f"/kafi/{job_id()}", job(900, 4000, 3))
            stop.wait(0.25)

    threading.Thread(target=submit, daemon=True).start()
    time.sleep(4.0)
    assert_ok(fleet.order("POST", f"/drain/{ZONE}"))
    time.sleep(2.0)
    # A core machine that does not lead.
    frozen = next(c for c in fleet.cores if c is not fleet.leader())
    if TROUBLE:
        frozen.proxy.hold()
        frozen.signal(signal.SIGSTOP)
    # The operator takes the evacuation back. The frozen node does not respond, so it moves on to another one.
    assert_ok(fleet.order("DELETE", f"/drain/{ZONE}", first=frozen))
    time.sleep(1.0)
    # It evacuates the zone again; this is acknowledged, too, and never taken back.
    others = [c for c in fleet.cores if c is not frozen]
    assert_ok(fleet.order("POST", f"/drain/{ZONE}", nodes=others))
    acknowledged = fleet.record.now()
    time.sleep(FREEZE_S - 3.0)
    if TROUBLE:
        frozen.signal(signal.SIGCONT)
        time.sleep(RETRANSMISSION_S)
        frozen.proxy.release()
    woken = fleet.record.now()
    time.sleep(max(EVACUATION_S, CONTACT_S) + 8.0)
    stop.set()
    time.sleep(1.0)
    # All machines are in touch again contact_ms after the thaw.
    due = max(acknowledged + EVACUATION_S, woken + CONTACT_S)
    late = [(w, s) for w in fleet.workers for s in w.starts if w.zone == ZONE and s[0] > due]
    others_started = [s for w in fleet.workers for s in w.starts if w.zone != ZONE and s[0] > due]
    fleet.record.write(f"evacuation acknowledged at {acknowledged:.3f}; starts in {ZONE} after {due:.3f}: {len(late)}; "
                       f"in the other zone: {len(others_started)}")
    if not others_started:
        raise standin.CouldNotRun("nothing ran in the other zone")
    if late:
        w, (at, task, attempt) = late[0]
        return (f"EVAC: {len(late)} starts in zone {ZONE}, the first of {task} on {w.id} {at - acknowledged:.1f} s after "
                f"its evacuation was acknowledged; it was never taken back")
    return ""


def assert_ok(status):
    if status != 200:
        raise standin.CouldNotRun(f"an order of the operator got {status}")


run_case(HERE, play)
