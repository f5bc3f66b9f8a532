"""Randomized faults against the real programs of the job service on loopback.

Three schedulers, two entries and a farm of backend servers run as processes of their own. Faults come
in series and overlap: kills, pauses, planned stops, lost disks. The farm judges from what its servers and
callers see: no task twice, none before its turn, every accepted job done and never forgotten.

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
# A scheduler that came back counts as lost until it has caught up, seconds; the deployments give 4 to 6.
CATCH_UP = 5.0
DATA_CENTRES = ["north", "south", "west"]


class Instance:
    """One fescued process that can be killed, paused and started again."""

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

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()


def disturb(kind, instance, dice):
    """Carries one fault out, from its beginning to its end."""
    if kind == "pause":
        instance.signal(signal.SIGSTOP)
        time.sleep(dice.uniform(0.3, 3.0))
        instance.signal(signal.SIGCONT)
        return
    instance.signal(signal.SIGTERM if kind == "stop" else signal.SIGKILL)
    instance.process.wait()
    if kind == "wipe":
        shutil.rmtree(instance.data)
    time.sleep(dice.uniform(0.05, 1.5))
    instance.start()


def faults(schedulers, entries, dice, end, told):
    """One scheduler is disturbed at a time, as many as three bear; entries at any time."""
    while time.time() < end:
        if dice.random() < 0.3:
            victim, kind = dice.choice(entries), dice.choice(["kill", "pause", "stop"])
        else:
            victim = dice.choice(schedulers)
            kind = dice.choice(["kill", "kill", "pause", "stop", "wipe"])
        told.append(f"{time.strftime('%H:%M:%S')} {kind} {victim.address}")
        disturb(kind, victim, dice)
        time.sleep(CATCH_UP if victim.scheduler else dice.uniform(0.0, 0.5))


def play(seed, seconds, keep):
    dice = random.Random(seed)
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    schedulers = [Instance(folder, a, True) for a in SCHEDULERS]
    entries = [Instance(folder, a, False) for a in ENTRIES]
    everyone = schedulers + entries
    told = []
    farm = None
    try:
        for i in everyone:
            i.start(first=True)
        args = [BUILD / "tests/worker_farm", "--servers", "10", "--rate", "6", "--tasks", "4", "--task-ms",
                "300", "--seconds", str(seconds), "--seed", str(seed), "--first-port", "21000"]
        for a in SCHEDULERS:
            args += ["--control", f"{a}:{CONTROL_PORT}"]
        for a in ENTRIES:
            args += ["--entry", f"{a}:{CALLER_PORT}"]
        farm = subprocess.Popen(args, stdout=subprocess.PIPE, text=True)
        time.sleep(2.0)
        faults(schedulers, entries, dice, time.time() + seconds - 2.0, told)
        out, _ = farm.communicate(timeout=90)
    except subprocess.TimeoutExpired:
        farm.kill()
        out = "BROKEN the farm did not come to an end\n" + (farm.communicate()[0] or "")
    finally:
        for i in everyone:
            i.end()
            i.log.close()
    passed = farm.returncode == 0 and "BROKEN" not in out
    print(f"seed {seed}: {'passed' if passed else 'FAILED'}: {out.strip().splitlines()[-1]}", flush=True)
    if not passed:
        (folder / "faults.txt").write_text("\n".join(told) + "\n" + out)
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
    failed = [s for s in seeds if not play(s, args.seconds, args.keep)]
    print(f"{len(list(seeds)) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
