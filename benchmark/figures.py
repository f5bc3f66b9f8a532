"""Measures the whole system on loopback and compares each figure with its bound. Run from the directory that
contains build/:
    python3 benchmark/figures.py [NAME...]
Where the bound allows, a time is measured relative to another run in the same process, since absolute times depend
on the machine."""

import json
import os
import pathlib
import subprocess
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "tests/e2e"))
from fleet import BUILD, FOUR_DATA_CENTRES, Fleet, LoadThreads, call, simple_catalogue, wait_for  # noqa: E402

ALL_INSTANCES = list(range(1, 7))
exceeded = []


def report(description, figure, unit, bound, held):
    print(f"{description:<62}{figure:>10.3f} {unit:<8} bound {bound:<12} {'held' if held else 'BROKEN'}", flush=True)
    if not held:
        exceeded.append(description)


def run_load(target, path, key="", connections=32, rate=0, seconds=4):
    args = [BUILD / "fescuectl", "load", "--json", "--path", path, "--connections", str(connections),
            "--seconds", str(seconds)]
    for t in target if isinstance(target, list) else [target]:
        args += ["--target", f"127.0.0.1:{t}"]
    args += ["--key", key] if key else []
    args += ["--rate", str(rate)] if rate else []
    return json.loads(subprocess.run(args, capture_output=True, text=True, check=False).stdout)


class LoadProcess:
    """Generates load from a separate process, so that the load generator does not limit what is measured."""

    def __init__(self, fleet, key, entries, connections, seconds):
        args = [BUILD / "fescuectl", "load", "--json", "--path", "/v1/services/quotes/requests", "--key", key,
                "--connections", str(connections), "--seconds", str(seconds)]
        for i in entries:
            args += ["--target", f"127.0.0.1:{fleet.caller_port(i)}"]
        self.process = subprocess.Popen(args, stdout=subprocess.DEVNULL)

    def wait(self):
        self.process.wait()


def busy_slot_seconds(history, since, until):
    """Returns the slot-seconds that requests ran between two times."""
    started_at, slot_seconds = {}, 0.0
    for e in sorted(history, key=lambda e: e.at):
        if e.kind == "start":
            started_at[e.request] = e.at
        elif e.request in started_at:
            slot_seconds += max(0.0, min(e.at, until) - max(started_at.pop(e.request), since))
    return slot_seconds


def percentile(values, fraction):
    values = sorted(values)
    return values[int(fraction * (len(values) - 1))]


def start_fleet(layout=FOUR_DATA_CENTRES, servers=8, catalogue=None, relays=False, **options):
    disks = tuple(i for i in (1, 2, 3, 4, 5) if i <= len(layout))
    f = Fleet(23000, layout, disks, relays=relays)
    f.start()
    if len(layout) > 1:
        f.form_cluster()
    else:
        wait_for("ready", lambda: f.ready_count() == 1)
    f.put_catalogue(catalogue or simple_catalogue(limit=10000))
    data_centres = sorted(set(layout))
    for n in range(servers):
        f.start_server(f"s{n}", data_centres[n % len(data_centres)], **options)
    wait_for("servers", lambda: f.alive_servers() == servers)
    return f


def path_cost():
    """Measures the throughput of one instance, the latency that it adds, and the latency of a second hop."""
    f = start_fleet(["dc-1"], servers=1, slots=64)
    key = f.create_key("north")["key"]
    server, path = f.base + 100, "/v1/services/quotes/requests"
    direct = run_load(server, path)
    through = run_load(f.caller_port(1), path, key)
    report("one instance's throughput / directly at the server", through["per_second"] / direct["per_second"],
           "ratio", ">= 0.25", through["per_second"] >= direct["per_second"] / 4)
    print(f"  direct {direct['per_second']:.0f}/s, through one instance {through['per_second']:.0f}/s")
    half = through["per_second"] / 2
    a, b = run_load(server, path, rate=half), run_load(f.caller_port(1), path, key, rate=half)
    p50, p99 = (b["p50_us"] - a["p50_us"]) / 1000, (b["p99_us"] - a["p99_us"]) / 1000
    report("added latency at half of that, p50", p50, "ms", "< 0.5", p50 < 0.5)
    report("added latency at half of that, p99", p99, "ms", "< 3", p99 < 3)
    f.stop()
    f = start_fleet(["dc-1", "dc-2"], servers=1, slots=64)
    key = f.create_key("north")["key"]
    home = int(f.status()["servers"][0]["home"].split("-")[1])
    near = run_load(f.caller_port(home), path, key, rate=half)
    far = run_load(f.caller_port(3 - home), path, key, rate=half)
    direct = run_load(server, path, rate=half)
    hop50, hop99 = (far["p50_us"] - direct["p50_us"]) / 1000, (far["p99_us"] - direct["p99_us"]) / 1000
    report("one hop more: added p50", hop50, "ms", "< 1", hop50 < 1)
    report("one hop more: added p99", hop99, "ms", "< 6", hop99 < 6)
    print(f"  p50 direct {direct['p50_us']:.0f} us, at the home {near['p50_us']:.0f} us, "
          f"one hop {far['p50_us']:.0f} us")
    f.stop()


def orders():
    f = start_fleet(servers=4)
    in_force_ms, statuses = [], []
    for n in range(200):
        sent_at = time.monotonic()
        status, _ = f.send_order("POST", "/v1/keys", {"team": "north"}, at=1 + n % 6)
        in_force_ms.append((time.monotonic() - sent_at) * 1000)
        statuses.append(status)
    text = call(f.control_port(f.leader()), "GET", "/metrics")[2].decode()
    histogram = [line for line in text.splitlines() if line.startswith("fescue_order_commit_latency_ms_")]
    count = float(next(line for line in histogram if "_count" in line).split()[1])
    p50 = next(float(line.split('"')[1]) for line in histogram
               if "_bucket" in line and float(line.split()[1]) >= count / 2)
    report("order committed, p50 (upper edge of its bucket)", p50, "ms", "< 10", p50 < 10)
    p99 = percentile(in_force_ms, 0.99)
    report("order in force at six instances, p99", p99, "ms", "< 500", p99 < 500 and set(statuses) == {200})
    key = f.create_key("north")
    running = LoadThreads(f, "quotes", key["key"], ALL_INSTANCES, threads=24)
    time.sleep(1)
    withdrawn_at = time.time()
    f.send_order("DELETE", f"/v1/keys/{key['id']}", at=2)
    time.sleep(2.5)
    outcomes = running.stop()
    last = max(o[0] for o in outcomes if o[4] and o[4][0] == 200) - withdrawn_at
    report("withdrawn key: last request taken, under load at all six", max(last, 0), "s", "< 2", last < 2)
    f.stop()


def allotments():
    f = start_fleet(servers=8, catalogue=simple_catalogue(limit=24), run_ms=100)
    key = f.create_key("north")["key"]
    time.sleep(1)
    LoadProcess(f, key, [3], 60, 4).wait()
    history = sorted(f.history(), key=lambda e: e.at)
    first, running, reached_after = history[0].at, 0, None
    for e in history:
        running += 1 if e.kind == "start" else -1
        if running == 24:
            reached_after = e.at - first
            break
    report("allotment moved to the instance with demand", (reached_after or 99) * 1000, "ms", "< 100",
           (reached_after or 99) < 0.1)
    fraction = busy_slot_seconds(history, first + 1, first + 3.5) / 2.5 / 24
    report("a team alone, through one instance / its limit", fraction, "ratio", ">= 0.95", 0.95 <= fraction <= 1)
    f.stop()


def fairness():
    teams = {"a": 4, "b": 3, "c": 2, "d": 1}
    doc = simple_catalogue(limit=1000)
    doc["teams"] = {t: {"share": s, "upper_limit": 1000} for t, s in teams.items()}
    doc["services"]["quotes"]["owner"] = "a"
    f = start_fleet(servers=8, catalogue=doc, slots=5, run_ms=50)
    loads = []
    # Uneven load: the teams send through different instances, and one of them through a single instance.
    entries = {"a": [1], "b": [2, 3], "c": [4, 5, 6], "d": ALL_INSTANCES}
    for t in teams:
        loads.append(LoadProcess(f, f.create_key(t)["key"], entries[t], 60, 14))
    time.sleep(2)
    since = time.time()
    time.sleep(10)
    until = time.time()
    for load in loads:
        load.wait()
    starts = [e for e in f.history() if e.kind == "start" and since < e.at < until]
    deviation = 0.0
    for t, share in teams.items():
        actual = sum(e.team == t for e in starts) / len(starts)
        deviation = max(deviation, abs(actual / (share / 10) - 1))
        print(f"  team {t}: {actual:.3f} of the work, its share is {share / 10:.1f}")
    report("furthest of four teams from its share over 10 s", deviation * 100, "%", "<= 5", deviation <= 0.05)
    print(f"  the pool did {len(starts) / 10 / (8 * 5 / 0.05):.2f} of what its slots could do")
    f.stop()


def cut():
    """Measures the work done on both sides of a partition relative to the capacity of each side's servers."""
    f = start_fleet(servers=8, catalogue=simple_catalogue(limit=400), relays=True, slots=4, run_ms=50)
    key = f.create_key("north")["key"]
    isolated = [i for i in ALL_INSTANCES if FOUR_DATA_CENTRES[i - 1] == "dc-1"]
    rest = [i for i in ALL_INSTANCES if i not in isolated]
    loads = [LoadProcess(f, key, isolated, 24, 17), LoadProcess(f, key, rest, 60, 17)]
    time.sleep(3)
    f.partition(isolated)
    since = time.time()
    time.sleep(8)
    f.relays.heal()
    time.sleep(4)
    until = time.time()
    for load in loads:
        load.wait()
    isolated_servers = {f"s{n}" for n in (0, 4)}
    for side, servers in (("isolated side", isolated_servers),
                          ("other side", {f"s{n}" for n in range(8)} - isolated_servers)):
        slot_seconds = busy_slot_seconds([e for e in f.history() if e.server in servers], since, until)
        fraction = slot_seconds / (len(servers) * 4 * (until - since))
        if os.environ.get("FESCUE_TIMELINE"):
            events = [e for e in f.history() if e.server in servers]
            print(" ", [round(busy_slot_seconds(events, since + t / 2, since + t / 2 + 0.5) / len(servers) / 2, 2)
                        for t in range(24)])
        report(f"work done during partition and recovery, {side} / its slots", fraction, "ratio", ">= 0.95",
               fraction >= 0.95)
    f.stop()


def cpu_and_memory(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"), int(fields[21]) * 4096 / 1e6


def idle():
    """Measures CPU time, memory and bytes sent of an idle instance, and their increase per worker."""
    results = []
    for workers in (10, 50):
        f = start_fleet(servers=workers)
        time.sleep(1)
        bytes_sent = lambda i: float(next(line for line in call(
            f.control_port(i), "GET", "/metrics")[2].decode().splitlines()
                                          if line.startswith("fescue_control_bytes_sent ")).split()[1])
        before = {i: (cpu_and_memory(f.instances[i].pid)[0], bytes_sent(i)) for i in ALL_INSTANCES}
        time.sleep(10)
        leader = f.leader()
        cpu_percent, sent = [], []
        for i in ALL_INSTANCES:
            cpu, memory = cpu_and_memory(f.instances[i].pid)
            cpu_percent.append((cpu - before[i][0]) * 10)
            sent.append((bytes_sent(i) - before[i][1]) / 10)
        print(f"  {workers} workers: % of a core, leader {cpu_percent[leader - 1]:.2f} %, "
              f"mean {sum(cpu_percent) / 6:.2f} %; "
              f"bytes a second, leader {sent[leader - 1]:.0f}, mean {sum(sent) / 6:.0f}; memory {memory:.0f} MB")
        results.append((max(cpu_percent), sum(sent) / 6, memory))
        f.stop()
    report("idle instance with 50 workers: processor, the busiest", results[1][0], "%", "< 4.2", results[1][0] < 4.2)
    report("idle instance with 50 workers: bytes a second, mean", results[1][1], "B/s", "< 3000", results[1][1] < 3000)
    report("idle instance with 50 workers: memory", results[1][2], "MB", "< 256", results[1][2] < 256)
    print(f"  slope per worker in the fleet: {(results[1][0] - results[0][0]) / 40:.4f} % of a core, "
          f"{(results[1][1] - results[0][1]) / 40:.1f} B/s")


if __name__ == "__main__":
    known = {g.__name__: g for g in (path_cost, orders, allotments, fairness, cut, idle)}
    for name in sys.argv[1:] or known:
        print(f"== {name}")
        known[name]()
    sys.exit(1 if exceeded else 0)
