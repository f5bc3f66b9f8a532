"""Injects random faults into the real programs of the job service on loopback.

Schedulers, entries and a simulated fleet of backend servers (worker_farm) run as processes of their own. Faults follow
one another while the load runs: kills, pauses, lost disks and series of planned stops; at the end there is a calm
time. worker_farm reports a violation when a task runs twice at a time or before its predecessors, when an accepted job
is lost or not completed, or when a start exceeds the capacity of a server that does not enforce it; checks.py judges
the answers to callers that keep their connections open, and the restarts of long-running tasks.

    soak.py --first 1 --seeds 50            fifty seeds, one after the other
    soak.py --planned --first 1             the same with planned stops as the only faults
    soak.py --lost-servers --first 1        the same with servers that disappear while the leader changes
    soak.py --forgetful-servers --first 1   with servers that restart, and calls of and to them that arrive late
    soak.py --capacity unenforced           with servers whose capacity varies and which start whatever they are told
    soak.py --regression                    the seeds in regression_seeds.txt
"""

import argparse
import fcntl
import json
import os
import pathlib
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import checks
from callers import LONG_RUNNING_TASKS, Callers, now
from faults import FaultInjector

BUILD = pathlib.Path(os.environ.get("FESCUE_BUILD", "build")).resolve()
HERE = pathlib.Path(__file__).resolve().parent
PEER_PORT, CONTROL_PORT, CALLER_PORT, READY_PORT = 7500, 7501, 7502, 7503
DATA_CENTRES = ["north", "south", "west"]
# Arguments of worker_farm. If the capacity varies, the servers are small, so that it matters.
CAPACITY_ARGS = {"fixed": [], "enforced": ["--varying-capacity", "--server-cpu", "4000"],
                 "unenforced": ["--varying-capacity", "--server-cpu", "4000", "--unenforced-capacity"]}
REPORT_PERIOD_MS = 500
# Longest leases that forgetful servers grant, by the seed.
MAX_LEASES_MS = [6000, 10000]
# Long enough for a long-running task to become due.
CALM_AT_END_SECONDS = checks.CALM_SECONDS + 1.5


def address(index):
    return f"127.0.1.{11 + index}"


class Instance:
    """A fescued process that can be killed, paused and restarted."""

    def __init__(self, program, folder, index, scheduler, seeds, bounds):
        self.program, self.address, self.scheduler = program, address(index), scheduler
        self.data = folder / f"data-{self.address}"
        self.log_file = folder / f"{self.address}.log"
        self.log = open(self.log_file, "ab")
        self.process = None
        self.started_at = 0.0
        listen = {"peers": f"{self.address}:{PEER_PORT}"}
        if scheduler:
            listen["control"] = f"{self.address}:{CONTROL_PORT}"
        else:
            listen["callers"] = f"{self.address}:{CALLER_PORT}"
            listen["readiness"] = f"{self.address}:{READY_PORT}"
        settings = {"role": "scheduler" if scheduler else "entry", "id": self.address,
                    "data_centre": DATA_CENTRES[index % len(DATA_CENTRES)], "listen": listen, "seeds": seeds,
                    "first_start": True, "cluster_secret": "soak",
                    "bounds": bounds}
        if scheduler:
            settings["data_folder"] = str(self.data)
        self.settings_file = folder / f"{self.address}.json"
        self.settings = settings

    def start(self):
        self.settings_file.write_text(json.dumps(self.settings))
        self.process = subprocess.Popen([self.program, "--config", self.settings_file],
                                        stdout=self.log, stderr=self.log)
        self.settings["first_start"] = False
        self.started_at = now()

    def send_signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self, seconds):
        """Waits for the end of the process and kills it after the given time. Returns its exit status."""
        try:
            return self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()

    def kill(self):
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def last_elected_ms(self):
        """Wall clock time when it became leader last, 0 if it never did."""
        elections = re.findall(r"time_ms=(\d+).* event=leading\b", self.log_file.read_text(errors="replace"))
        return int(elections[-1]) if elections else 0


class Run:
    """One seed: the processes, the load, the faults and the judgement."""

    def __init__(self, seed, args, mode, seconds, capacity):
        self.seed, self.args, self.mode, self.seconds, self.capacity = seed, args, mode, seconds, capacity
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        seeds = [address(i) for i in range(args.schedulers)]
        count = args.schedulers + args.entries
        bounds = {"grace_s": checks.GRACE_SECONDS}
        if capacity != "fixed":  # older programs don't have this bound
            bounds["report_period_ms"] = REPORT_PERIOD_MS
        if mode == "forgetful":
            bounds["longest_lease_ms"] = MAX_LEASES_MS[seed % 2]
        self.instances = [Instance(args.fescued, self.folder, i, i < args.schedulers, seeds, bounds)
                          for i in range(count)]
        self.schedulers, self.entries = self.instances[:args.schedulers], self.instances[args.schedulers:]
        self.injector = FaultInjector(self.schedulers, self.entries, random.Random(seed))
        self.farm_output = self.folder / "worker_farm.out"
        self.callers = None

    def start_farm(self):
        args = [BUILD / "tests/worker_farm", "--servers", "10", "--rate", "6", "--tasks", "4", "--task-ms", "300",
                "--seconds", "0", "--seed", str(self.seed), "--first-port", "21000"]
        args += CAPACITY_ARGS[self.capacity]
        if self.mode == "forgetful":
            args += ["--forgetful", "--max-lease-ms", str(MAX_LEASES_MS[self.seed % 2])]
        for i in self.schedulers:
            args += ["--control", f"{i.address}:{CONTROL_PORT}"]
        for i in self.entries:
            args += ["--entry", f"{i.address}:{CALLER_PORT}"]
        with open(self.farm_output, "wb") as out:
            return subprocess.Popen(args, stdout=out)

    def play(self):
        """Returns the violations."""
        farm, farm_violations = None, []
        try:
            for i in self.instances:
                i.start()
            farm = self.injector.farm = self.start_farm()
            self.callers = Callers([e.address for e in self.entries], [s.address for s in self.schedulers],
                                   CALLER_PORT, CONTROL_PORT, self.args.callers or (3, 12)[self.seed % 2], self.seed)
            time.sleep(2.0)
            self.injector.run(now() + self.seconds - 2.0, self.mode)
            if self.mode == "forgetful":
                self.injector.end_server_faults()
            time.sleep(CALM_AT_END_SECONDS)
            end_at = now()
            self.callers.stop()  # worker_farm runs on, since the accepted jobs must complete
            farm.send_signal(signal.SIGTERM)
            if farm.wait(90) != 0:
                farm_violations.append(f"worker_farm exited with status {farm.returncode}")
        except subprocess.TimeoutExpired:
            farm_violations.append("worker_farm did not finish in time")
            end_at = now()
        finally:
            if farm is not None and farm.poll() is None:
                farm.kill()
                farm.wait()
            for i in self.instances:
                i.kill()
                i.log.close()
        return farm_violations + self.violations(end_at)

    def violations(self, end_at):
        output = self.farm_output.read_text()
        requests, faults = self.callers.requests, self.injector.faults
        out = [line for line in output.splitlines() if line.startswith("VIOLATION")]
        out += self.injector.violations
        out += checks.unanswered_requests(requests, faults)
        out += checks.lost_jobs(requests, self.callers.accepted)
        runs = self.long_running_runs(output)
        out += checks.idle_tasks(runs, self.long_running_tasks(), faults, end_at)
        lost_at = {int(at_ms) / 1000
                   for at_ms in re.findall(r"^LONG-RUNNING disappeared \S+ (\d+)$", output, re.MULTILINE)}
        out += checks.tasks_of_lost_servers(runs, lost_at, faults, end_at)
        out += [f"accepted job {job} did not complete" for job in sorted(self.callers.unfinished)]
        return out

    def long_running_tasks(self):
        return {f"{job}.0.0.{n}": self.callers.accepted[job]
                for job in self.callers.long_running for n in range(LONG_RUNNING_TASKS)}

    @staticmethod
    def long_running_runs(output):
        """(start, end) of the runs of each long-running task."""
        out, started_at = {}, {}
        for what, task, at_ms in re.findall(r"^LONG-RUNNING (\w+) (\S+) (\d+)$", output, re.MULTILINE):
            if what == "started":
                started_at.setdefault(task, []).append(int(at_ms) / 1000)
            else:
                # worker_farm reports two runs at once; which of them ends first makes no difference here.
                out.setdefault(task, []).append((started_at[task].pop(0), int(at_ms) / 1000))
        for task, began_at in started_at.items():
            out.setdefault(task, []).extend((t, float("inf")) for t in began_at)
        return out

    def write_report(self, violations):
        """Writes the faults and the requests that were not answered beside the logs."""
        lines = [f"{f.began_at:.3f} to {f.ended_at:.3f} {f.kind} {f.address}" for f in self.injector.faults]
        lines += [f"{r.sent_at:.3f} to {r.ended_at:.3f} {r.method} {r.path} {r.address}"
                  for r in self.callers.requests if not r.status]
        (self.folder / "report.txt").write_text("\n".join(violations + lines) + "\n")


def run_seed(seed, args, mode, seconds, capacity):
    run = Run(seed, args, mode, seconds, capacity)
    violations = run.play()
    judged = [r for r in run.callers.requests if checks.is_judged(r, run.injector.faults)]
    summary = " ".join(re.findall(r"^jobs .*", run.farm_output.read_text(), re.MULTILINE))
    print(f"seed {seed} {mode}, {capacity} capacity: {'FAILED' if violations else 'passed'}: "
          f"{len(run.injector.faults)} faults, {len(judged)} of {len(run.callers.requests)} requests judged, "
          f"{len(run.callers.long_running) * LONG_RUNNING_TASKS} long-running tasks; {summary}", flush=True)
    for v in violations:
        print(f"  VIOLATION {v}", flush=True)
    if violations or args.keep:
        run.write_report(violations)
        print(f"  logs and faults: {run.folder}", flush=True)
    else:
        shutil.rmtree(run.folder)
    return not violations


def regression_seeds():
    """(seed, faults: mixed, planned, lost or forgetful, seconds with faults, capacity) of each line."""
    lines = (HERE / "regression_seeds.txt").read_text().splitlines()
    fields = [line.split() for line in lines if line.strip() and not line.startswith("#")]
    return [(int(f[0]), f[1], float(f[2]), f[3]) for f in fields]


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=16, help="time until the last fault begins")
    modes = parser.add_mutually_exclusive_group()
    modes.add_argument("--planned", dest="mode", action="store_const", const="planned", default="mixed")
    modes.add_argument("--lost-servers", dest="mode", action="store_const", const="lost")
    modes.add_argument("--forgetful-servers", dest="mode", action="store_const", const="forgetful")
    parser.add_argument("--capacity", choices=sorted(CAPACITY_ARGS), default="fixed",
                        help="how the servers' capacity behaves")
    parser.add_argument("--schedulers", type=int, default=3)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--callers", type=int, help="callers of each entry; default: few or many, by the seed")
    parser.add_argument("--fescued", default=BUILD / "fescued", help="the program under test")
    parser.add_argument("--regression", action="store_true")
    parser.add_argument("--keep", action="store_true")
    args = parser.parse_args()
    seeds = [(s, args.mode, args.seconds, args.capacity) for s in range(args.first, args.first + args.seeds)]
    if args.regression:
        seeds = regression_seeds()
    # The processes use fixed addresses and ports; two runs at once would reach each other's.
    with open(pathlib.Path(tempfile.gettempdir()) / "fescuestream-soak.lock", "w", encoding="ascii") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        failed = [s for s, mode, seconds, capacity in seeds if not run_seed(s, args, mode, seconds, capacity)]
    print(f"{len(seeds) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
