"""Figures of the whole system on loopback, each with its bound. Run from the build's parent:
    python3 benchmark/figures.py [NAME...]
Figures that are times are ratios of two runs in one sitting where the target allows."""

import json
import os
import pathlib
import subprocess
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "tests/e2e"))
from fleet import BUILD, FOUR, Fleet, Load, call, simple_catalogue, wait_for  # noqa: E402

ALL = list(range(1, 7))
broken = []


def row(what, figure, unit, bound, held):
    print(f"{what:<62}{figure:>10.3f} {unit:<8} bound {bound:<12} {'held' if held else 'BROKEN'}", flush=True)
    if not held:
        broken.append(what)


def load(target, path, key="", connections=32, rate=0, seconds=4):
    args = [BUILD / "fescuectl", "load", "--json", "--path", path, "--connections", str(connections),
            "--seconds", str(seconds)]
    for t in target if isinstance(target, list) else [target]:
        args += ["--target", f"127.0.0.1:{t}"]
    args += ["--key", key] if key else []
    args += ["--rate", str(rate)] if rate else []
    return json.loads(subprocess.run(args, capture_output=True, text=True, check=False).stdout)


class Callers:
    """Callers in processes of their own, so that they are never what is measured."""

    def __init__(self, fleet, key, entries, connections, seconds):
        args = [BUILD / "fescuectl", "load", "--json", "--path", "/v1/services/quotes/requests", "--key", key,
                "--connections", str(connections), "--seconds", str(seconds)]
        for i in entries:
            args += ["--target", f"127.0.0.1:{fleet.callers(i)}"]
        self.process = subprocess.Popen(args, stdout=subprocess.DEVNULL)

    def wait(self):
        self.process.wait()


def busy(history, began, ended):
    """Slot-seconds worked between two times."""
    open_since, area = {}, 0.0
    for e in sorted(history, key=lambda e: e.at):
        if e.kind == "start":
            open_since[e.request] = e.at
        elif e.request in open_since:
            area += max(0.0, min(e.at, ended) - max(open_since.pop(e.request), began))
    return area


def percentile(values, part):
    values = sorted(values)
    return values[int(part * (len(values) - 1))]


def fleet_of(layout=FOUR, servers=8, catalogue=None, relays=False, **options):
    disks = tuple(i for i in (1, 2, 3, 4, 5) if i <= len(layout))
    f = Fleet(23000, layout, disks, relays=relays)
    f.start()
    if len(layout) > 1:
        f.form()
    else:
        wait_for("ready", lambda: f.ready_count() == 1)
    f.catalogue(catalogue or simple_catalogue(limit=10000))
    places = sorted(set(layout))
    for n in range(servers):
        f.serve(f"s{n}", places[n % len(places)], **options)
    wait_for("servers", lambda: f.alive_servers() == servers)
    return f


def path_cost():
    """Throughput of one instance, the latency that it adds, and that of one hop more."""
    f = fleet_of(["dc-1"], servers=1, slots=64)
    key = f.key("north")["key"]
    server, path = f.base + 100, "/v1/services/quotes/requests"
    straight = load(server, path)
    through = load(f.callers(1), path, key)
    row("one instance's throughput / straight at the server", through["per_second"] / straight["per_second"],
        "ratio", ">= 0.25", through["per_second"] >= straight["per_second"] / 4)
    print(f"  straight {straight['per_second']:.0f}/s, through one instance {through['per_second']:.0f}/s")
    half = through["per_second"] / 2
    a, b = load(server, path, rate=half), load(f.callers(1), path, key, rate=half)
    p50, p99 = (b["p50_us"] - a["p50_us"]) / 1000, (b["p99_us"] - a["p99_us"]) / 1000
    row("added latency at half of that, p50", p50, "ms", "< 0.5", p50 < 0.5)
    row("added latency at half of that, p99", p99, "ms", "< 3", p99 < 3)
    f.stop()
    f = fleet_of(["dc-1", "dc-2"], servers=1, slots=64)
    key = f.key("north")["key"]
    home = int(f.status()["servers"][0]["home"].split("-")[1])
    near = load(f.callers(home), path, key, rate=half)
    far = load(f.callers(3 - home), path, key, rate=half)
    straight = load(server, path, rate=half)
    hop50, hop99 = (far["p50_us"] - straight["p50_us"]) / 1000, (far["p99_us"] - straight["p99_us"]) / 1000
    row("one hop more: added p50", hop50, "ms", "< 1", hop50 < 1)
    row("one hop more: added p99", hop99, "ms", "< 6", hop99 < 6)
    print(f"  p50 straight {straight['p50_us']:.0f} us, at the home {near['p50_us']:.0f} us, one hop {far['p50_us']:.0f} us")
    f.stop()


def orders():
    f = fleet_of(servers=4)
    force, statuses = [], []
    for n in range(200):
        began = time.monotonic()
        status, _ = f.order("POST", "/v1/keys", {"team": "north"}, at=1 + n % 6)
        force.append((time.monotonic() - began) * 1000)
        statuses.append(status)
    text = call(f.control(f.leader()), "GET", "/metrics")[2].decode()
    total = [l for l in text.splitlines() if l.startswith("fescue_order_commit_latency_ms_")]
    count = float(next(l for l in total if "_count" in l).split()[1])
    middle = next(float(l.split('"')[1]) for l in total if "_bucket" in l and float(l.split()[1]) >= count / 2)
    row("order committed, p50 (upper edge of its bucket)", middle, "ms", "< 10", middle < 10)
    p99 = percentile(force, 0.99)
    row("order in force at six instances, p99", p99, "ms", "< 500", p99 < 500 and set(statuses) == {200})
    key = f.key("north")
    running = Load(f, "quotes", key["key"], ALL, threads=24)
    time.sleep(1)
    began = time.time()
    f.order("DELETE", f"/v1/keys/{key['id']}", at=2)
    time.sleep(2.5)
    outcomes = running.stop()
    last = max(o[0] for o in outcomes if o[4] and o[4][0] == 200) - began
    row("withdrawn key: last request taken, under load at all six", max(last, 0), "s", "< 2", last < 2)
    f.stop()


def allotments():
    f = fleet_of(servers=8, catalogue=simple_catalogue(limit=24), run_ms=100)
    key = f.key("north")["key"]
    time.sleep(1)
    Callers(f, key, [3], 60, 4).wait()
    history = sorted(f.history(), key=lambda e: e.at)
    first, now, full_at = history[0].at, 0, None
    for e in history:
        now += 1 if e.kind == "start" else -1
        if now == 24:
            full_at = e.at - first
            break
    row("allotment moved to where demand is", (full_at or 99) * 1000, "ms", "< 100", (full_at or 99) < 0.1)
    part = busy(history, first + 1, first + 3.5) / 2.5 / 24
    row("a team alone, through one instance / its limit", part, "ratio", ">= 0.95", 0.95 <= part <= 1)
    f.stop()


def fairness():
    teams = {"a": 4, "b": 3, "c": 2, "d": 1}
    doc = simple_catalogue(limit=1000)
    doc["teams"] = {t: {"share": s, "upper_limit": 1000} for t, s in teams.items()}
    doc["services"]["quotes"]["owner"] = "a"
    f = fleet_of(servers=8, catalogue=doc, slots=5, run_ms=50)
    loads = []
    # Uneven: each team comes through other instances, and some through one only.
    entries = {"a": [1], "b": [2, 3], "c": [4, 5, 6], "d": ALL}
    for t in teams:
        loads.append(Callers(f, f.key(t)["key"], entries[t], 60, 14))
    time.sleep(2)
    began = time.time()
    time.sleep(10)
    ended = time.time()
    for l in loads:
        l.wait()
    starts = [e for e in f.history() if e.kind == "start" and began < e.at < ended]
    worst = 0.0
    for t, share in teams.items():
        got = sum(e.team == t for e in starts) / len(starts)
        worst = max(worst, abs(got / (share / 10) - 1))
        print(f"  team {t}: {got:.3f} of the work, its share is {share / 10:.1f}")
    row("furthest of four teams from its share over 10 s", worst * 100, "%", "<= 5", worst <= 0.05)
    print(f"  the pool did {len(starts) / 10 / (8 * 5 / 0.05):.2f} of what its slots could do")
    f.stop()


def cut():
    """Work done on both sides of a cut, against what the servers of each side could do."""
    f = fleet_of(servers=8, catalogue=simple_catalogue(limit=400), relays=True, slots=4, run_ms=50)
    key = f.key("north")["key"]
    group = [i for i in ALL if FOUR[i - 1] == "dc-1"]
    rest = [i for i in ALL if i not in group]
    loads = [Callers(f, key, group, 24, 17), Callers(f, key, rest, 60, 17)]
    time.sleep(3)
    f.cut(group)
    began = time.time()
    time.sleep(8)
    f.relays.heal()
    time.sleep(4)
    ended = time.time()
    for l in loads:
        l.wait()
    inside = {f"s{n}" for n in (0, 4)}
    for name, servers in (("cut off", inside), ("the rest", {f"s{n}" for n in range(8)} - inside)):
        area = busy([e for e in f.history() if e.server in servers], began, ended)
        part = area / (len(servers) * 4 * (ended - began))
        if os.environ.get("FESCUE_TIMELINE"):
            events = [e for e in f.history() if e.server in servers]
            print(" ", [round(busy(events, began + t / 2, began + t / 2 + 0.5) / len(servers) / 2, 2) for t in range(24)])
        row(f"work done through cut and return, {name} / its slots", part, "ratio", ">= 0.95", part >= 0.95)
    f.stop()


def usage(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"), int(fields[21]) * 4096 / 1e6


def idle():
    """Processor time, memory and bytes of an idle instance, and their slope per worker."""
    seen = []
    for workers in (10, 50):
        f = fleet_of(servers=workers)
        time.sleep(1)
        gauges = lambda i: float(next(l for l in call(f.control(i), "GET", "/metrics")[2].decode().splitlines()
                                      if l.startswith("fescue_control_bytes_sent ")).split()[1])
        before = {i: (usage(f.instances[i].pid)[0], gauges(i)) for i in ALL}
        time.sleep(10)
        leader = f.leader()
        core, sent = [], []
        for i in ALL:
            cpu, memory = usage(f.instances[i].pid)
            core.append((cpu - before[i][0]) * 10)
            sent.append((gauges(i) - before[i][1]) / 10)
        print(f"  {workers} workers: of a core, leader {core[leader - 1]:.2f} %, mean {sum(core) / 6:.2f} %; "
              f"bytes a second, leader {sent[leader - 1]:.0f}, mean {sum(sent) / 6:.0f}; memory {memory:.0f} MB")
        seen.append((max(core), sum(sent) / 6, memory))
        f.stop()
    row("idle instance with 50 workers: processor, the busiest", seen[1][0], "%", "< 4.2", seen[1][0] < 4.2)
    row("idle instance with 50 workers: bytes a second, mean", seen[1][1], "B/s", "< 3000", seen[1][1] < 3000)
    row("idle instance with 50 workers: memory", seen[1][2], "MB", "< 256", seen[1][2] < 256)
    print(f"  slope per worker in the fleet: {(seen[1][0] - seen[0][0]) / 40:.4f} % of a core, "
          f"{(seen[1][1] - seen[0][1]) / 40:.1f} B/s")


if __name__ == "__main__":
    known = {g.__name__: g for g in (path_cost, orders, allotments, fairness, cut, idle)}
    for name in sys.argv[1:] or known:
        print(f"== {name}")
        known[name]()
    sys.exit(1 if broken else 0)
