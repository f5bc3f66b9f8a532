"""Injects random faults into the real programs of the job service on loopback.

Three schedulers, two entries and a simulated fleet of backend servers (worker_farm) run as processes of their
own. Faults follow one another while the load runs: kills, pauses, planned stops and lost disks. worker_farm
reports a violation when a task runs twice at a time or before its predecessors, or when an accepted job is
lost or not completed.

    soak.py --first 1 --seeds 50            fifty seeds, one after the other
    soak.py --regression                    the seeds in regression_seeds.txt
"""

import argparse
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

BUILD = pathlib.Path(os.environ.get("FESCUE_BUILD", "build")).resolve()
HERE = pathlib.Path(__file__).resolve().parent
SCHEDULERS = ["127.0.0.11", "127.0.0.12", "127.0.0.13"]
ENTRIES = ["127.0.0.14", "127.0.0.15"]
PEER_PORT, CONTROL_PORT, CALLER_PORT, READY_PORT = 7500, 7501, 7502, 7503
# A restarted scheduler counts as lost until its log has caught up; the deployments allow 4 to 6 s for that.
CATCH_UP_SECONDS = 5.0
DATA_CENTRES = ["north", "south", "west"]


class Instance:
    """A fescued process that can be killed, paused and restarted."""

    def __init__(self, folder, address, scheduler):
        self.folder, self.address, self.scheduler = folder, address, scheduler
        self.data = folder / f"data-{address}"
        self.settings = folder / f"{address}.json"
        self.log = open(folder / f"{address}.log", "ab")
        self.process = None

    def start(self, first=False):
        index = (SCHEDULERS if self.scheduler else ENTRIES).index(self.address)
        listen = {"peers": f"{self.address}:{PEER_PORT}"}
        if self.scheduler:
            listen["control"] = f"{self.address}:{CONTROL_PORT}"
        else:
            listen["callers"] = f"{self.address}:{CALLER_PORT}"
            listen["readiness"] = f"{self.address}:{READY_PORT}"
        settings = {"role": "scheduler" if self.scheduler else "entry", "id": self.address,
                    "data_centre": DATA_CENTRES[index], "listen": listen, "seeds": SCHEDULERS,
                    "first_start": first, "cluster_secret": "soak"}
        if self.scheduler:
            settings["data_folder"] = str(self.data)
        self.settings.write_text(json.dumps(settings))
        self.process = subprocess.Popen([BUILD / "fescued", "--config", self.settings],
                                        stdout=self.log, stderr=self.log)

    def send_signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self.process.wait()


def inject_fault(kind, instance, rng):
    """Injects one fault and returns after the instance runs again."""
    if kind == "pause":
        instance.send_signal(signal.SIGSTOP)
        time.sleep(rng.uniform(0.3, 3.0))
        instance.send_signal(signal.SIGCONT)
        return
    instance.send_signal(signal.SIGTERM if kind == "stop" else signal.SIGKILL)
    instance.process.wait()
    if kind == "wipe":
        shutil.rmtree(instance.data)
    time.sleep(rng.uniform(0.05, 1.5))
    instance.start()


def inject_faults(schedulers, entries, rng, end_at, injected):
    """Injects faults one after the other. Waits for a scheduler to catch up after each of its faults, since
    three schedulers tolerate the loss of only one."""
    while time.time() < end_at:
        if rng.random() < 0.3:
            victim, kind = rng.choice(entries), rng.choice(["kill", "pause", "stop"])
        else:
            victim = rng.choice(schedulers)
            kind = rng.choice(["kill", "kill", "pause", "stop", "wipe"])
        injected.append(f"{time.strftime('%H:%M:%S')} {kind} {victim.address}")
        inject_fault(kind, victim, rng)
        time.sleep(CATCH_UP_SECONDS if victim.scheduler else rng.uniform(0.0, 0.5))


def run_seed(seed, seconds, keep):
    rng = random.Random(seed)
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    schedulers = [Instance(folder, a, True) for a in SCHEDULERS]
    entries = [Instance(folder, a, False) for a in ENTRIES]
    instances = schedulers + entries
    injected = []
    farm = None
    try:
        for i in instances:
            i.start(first=True)
        args = [BUILD / "tests/worker_farm", "--servers", "10", "--rate", "6", "--tasks", "4", "--task-ms",
                "300", "--seconds", str(seconds), "--seed", str(seed), "--first-port", "21000"]
        for a in SCHEDULERS:
            args += ["--control", f"{a}:{CONTROL_PORT}"]
        for a in ENTRIES:
            args += ["--entry", f"{a}:{CALLER_PORT}"]
        farm = subprocess.Popen(args, stdout=subprocess.PIPE, text=True)
        time.sleep(2.0)
        inject_faults(schedulers, entries, rng, time.time() + seconds - 2.0, injected)
        out, _ = farm.communicate(timeout=90)
    except subprocess.TimeoutExpired:
        farm.kill()
        out = "VIOLATION worker_farm did not finish in time\n" + (farm.communicate()[0] or "")
    finally:
        for i in instances:
            i.kill()
            i.log.close()
    passed = farm.returncode == 0 and "VIOLATION" not in out
    print(f"seed {seed}: {'passed' if passed else 'FAILED'}: {out.strip().splitlines()[-1]}", flush=True)
    if not passed:
        (folder / "faults.txt").write_text("\n".join(injected) + "\n" + out)
        print(f"  logs and faults: {folder}", flush=True)
    elif not keep:
        shutil.rmtree(folder)
    return passed


def regression_seeds():
    lines = (HERE / "regression_seeds.txt").read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line.strip() and not line.startswith("#")]


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--regression", action="store_true")
    parser.add_argument("--keep", action="store_true")
    args = parser.parse_args()
    seeds = regression_seeds() if args.regression else range(args.first, args.first + args.seeds)
    failed = [s for s in seeds if not run_seed(s, args.seconds, args.keep)]
    print(f"{len(list(seeds)) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
