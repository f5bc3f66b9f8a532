"""One core machine loses its processes right after the first start of the system. It is back after a second, and no order
of the operator is ever acknowledged. Run: python3 review/other-3/first_start.py (exits with 1 if so; TROUBLE=0: no kill)."""

import pathlib
import signal
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-3"))
from standin import TROUBLE, make_config, route, run_case

KILL_AFTER_S, DOWN_S, WAIT_S = 0.02, 1.0, 60.0


def play(fleet):
    lowest = min(fleet.cores, key=lambda c: c.ip)
    for i in [lowest] + [i for i in fleet.instances if i is not lowest]:
        i.start(True)
    if TROUBLE:
        time.sleep(KILL_AFTER_S)
        lowest.signal(signal.SIGKILL)
        lowest.process.wait()
        time.sleep(DOWN_S)
        lowest.start(False)  # bootstrap is true only when the whole system starts
    status = fleet.order("PUT", "/config", make_config(1, [route("r-a", "harga")], ["harga"]), seconds=WAIT_S)
    return "" if status == 200 else f"the first config has no confirmation after {WAIT_S:.0f} s; all machines run"


run_case(tempfile.mkdtemp(prefix="fescue-review-record-"), play)
