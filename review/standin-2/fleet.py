"""Stand-ins for the scripts of the second review: a small deployment of the real programs, backend workers, an
operator and clients, all on loopback. They follow the users' pages; where a page is silent they do what a sound
worker, operator or client would do.

A script imports this module, describes one deployment and one disruption, and exits with 1 if the rule was broken,
0 if it held and 2 if the case could not run.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "fescued"  # `run` of both roles in the deploy file
ZONES = ["north", "south", "west"]
HEARTBEAT_MS = 1500
LEASE_MAX_MS = 10_000
PREEMPT_GRACE_MS = 400
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Everything that was sent, answered and run, with the time since the start of the script."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", buffering=1)
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} s  {text}\n")


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


def common_free_port(ips):
    """A port that is free on all of these addresses."""
    for _ in range(200):
        port = random.randrange(20_000, 32_000)
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as s:
                        s.bind((ip, port))
            return port
        except OSError:
            continue
    raise RuntimeError("no free port")


async def call(address, method, path, body=None, headers=None, timeout=1.0):
    """One HTTP request on a connection of its own. Returns (status, text), or None without a complete answer."""
    writer = None

    async def exchange():
        nonlocal writer
        ip, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port))
        data = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
        lines = [f"{method} {path} HTTP/1.1"]
        fields = {"Host": address, "Content-Type": "application/json", **(headers or {})}
        lines += [f"{k}: {v}" for k, v in fields.items()]
        lines += [f"Content-Length: {len(data)}", "", ""]
        writer.write("\r\n".join(lines).encode() + data)
        await writer.drain()
        status, _, text = await read_message(reader)
        return int(status.split()[1]), text.decode()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def read_message(reader):
    """Reads one HTTP message. Returns its first line, its headers in lower case, and its body."""
    first = (await reader.readuntil(b"\r\n")).decode().strip()
    headers = {}
    while True:
        line = (await reader.readuntil(b"\r\n")).decode().strip()
        if not line:
            break
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    return first, headers, await reader.readexactly(int(headers.get("content-length", "0")))


class Instance:
    """One process of the project, with the settings that the deploy file's template gives it."""

    def __init__(self, fleet, ip, zone, scheduler):
        self.fleet, self.ip, self.zone, self.scheduler = fleet, ip, zone, scheduler
        self.name = f"{'core' if scheduler else 'edge'}-{zone}-{ip.rsplit('.', 1)[1]}"
        self.settings = fleet.folder / f"{self.name}.json"
        self.log = open(fleet.folder / f"{self.name}.log", "ab")
        self.process = None
        self.peer_ip = ip  # where it listens for the other instances; behind a relay in a PeerNetwork

    def write_settings(self, first_start):
        fleet = self.fleet
        listen = {"peers": f"{self.peer_ip}:{fleet.peer_port}"}
        if self.scheduler:
            listen["control"] = f"{self.ip}:{fleet.control_port}"
        else:
            listen["callers"] = f"{self.ip}:{fleet.caller_port}"
            listen["readiness"] = f"{self.ip}:{fleet.ready_port}"
        out = {"role": "scheduler" if self.scheduler else "entry", "id": self.ip, "name": self.name,
               "data_centre": self.zone, "listen": listen,
               "seeds": [f"{s.ip}:{fleet.control_port}" for s in fleet.schedulers[:3]], "first_start": first_start,
               "tolerated_disk_losses": 1,
               "data_folder": str(fleet.folder / f"data-{self.name}") if self.scheduler else "",
               "cluster_secret": "fescuestream on the platform's own network",
               "machine_service": {"address": "", "reads_per_s": 64},
               "bounds": {"longest_lease_ms": LEASE_MAX_MS, "machine_lease_ms": 3000,
                          "report_period_ms": HEARTBEAT_MS, "contact_ms": 3000, "kept_s": 120, "grace_s": 6,
                          "move_s": 1.5, "upkeep_s": 2}}
        self.settings.write_text(json.dumps(out))

    def start(self, first_start=False):
        self.write_settings(first_start)
        self.process = subprocess.Popen([str(PROGRAM)], cwd=ROOT, stdout=self.log, stderr=self.log,
                                        stdin=subprocess.DEVNULL,
                                        env={"PATH": os.environ.get("PATH", ""), "HOME": str(self.fleet.folder),
                                             "FESCUESTREAM_SETTINGS": str(self.settings)})
        self.fleet.record(f"{self.name} ({self.ip}) started, pid {self.process.pid}")

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.fleet.record(f"{self.name} gets {signal.Signals(number).name}")

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    @property
    def control(self):
        return f"{self.ip}:{self.fleet.control_port}"

    @property
    def callers(self):
        return f"{self.ip}:{self.fleet.caller_port}"

    @property
    def ready(self):
        return f"{self.ip}:{self.fleet.ready_port}"


class PeerNetwork:
    """The network between the schedulers: each one's peer address is a relay here, in front of the address at which
    it listens. A cut link holds all bytes back, as a partition does; those that the sender has not withdrawn by a
    reset arrive when the link heals, also after the sender has closed its end."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.cut_ip = None
        self.healed = asyncio.Event()
        self.healed.set()

    async def start(self):
        for s in self.fleet.schedulers:
            await asyncio.start_server(lambda r, w, to=s: self.serve(r, w, to), s.ip, self.fleet.peer_port)

    def cut(self, instance):
        """Cuts a scheduler off from the other schedulers and the entries."""
        self.fleet.record(f"{instance.name} is cut off from the other schedulers")
        self.cut_ip = instance.ip
        self.healed.clear()

    def heal(self):
        self.fleet.record("the cut heals")
        self.cut_ip = None
        self.healed.set()

    async def pass_when_open(self, ends):
        while self.cut_ip in ends:
            await self.healed.wait()

    async def serve(self, reader, writer, to):
        """Relays one connection; its first bytes name the instance that opened it."""
        other = None
        try:
            first = await reader.read(65536)
            names = [i for i in self.fleet.schedulers + self.fleet.entries if i.ip.encode() in first]
            ends = {to.ip} | {i.ip for i in names}
            await self.pass_when_open(ends)
            back, other = await asyncio.open_connection(to.peer_ip, self.fleet.peer_port)
            other.write(first)
            await asyncio.gather(self.pump(reader, other, ends), self.pump(back, writer, ends))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for w in (writer, other):
                if w is not None:
                    w.close()

    async def pump(self, reader, writer, ends):
        while True:
            await self.pass_when_open(ends)
            data = await reader.read(65536)
            await self.pass_when_open(ends)
            if not data:
                break
            writer.write(data)
            await writer.drain()
        writer.close()


class Worker:
    """A backend worker. `crash` ends its life without a word; `live` begins the next one at the same address. With
    `dark` its machine has no power: connections stay silent until it lives again."""

    def __init__(self, fleet, number, pool, zone, cpu=64_000, labels=None, same_id=False):
        self.fleet, self.number, self.pool, self.zone, self.cpu = fleet, number, pool, zone, cpu
        self.labels = labels or ["a", f"r-{zone}-{number % 3}"]
        self.ip = f"{fleet.net}.{100 + number}"
        self.port = fleet.worker_port
        self.same_id = same_id
        self.lives = 0
        self.alive = False
        self.id = ""
        self.server = None
        self.tasks = []
        self.connections = set()
        self.target = None
        self.dark = False

    def __str__(self):
        return f"{self.id} ({self.pool} in {self.zone} at {self.ip}:{self.port})"

    def clock(self):
        return int((time.monotonic() - self.began) * 1000) + self.clock_offset

    async def live(self):
        self.lives += 1
        self.id = f"i-{self.number:02d}{'' if self.same_id else f'{self.lives:02d}'}{self.fleet.tag}"
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.clock_offset = random.randrange(100_000, 9_000_000)
        self.sequence = 0
        self.fence = 0
        self.deadline = 0
        self.runs = {}     # task -> [attempt, started at, saved]
        self.ended = []    # [N, task, attempt, how, saved]
        self.highest = {}  # task -> highest attempt stopped or ended here
        self.next_end = 1
        self.changed = asyncio.Event()
        if self.dark:
            self.dark = False
            self.end_connections()
        self.alive = True
        self.target = None
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.fleet.record(f"worker {self} lives, born {self.born}")
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]

    async def crash(self, dark=False):
        self.fleet.record(f"worker {self} {'loses power' if dark else 'crashes'}; "
                          f"runs {sorted((t, r[0]) for t, r in self.runs.items())}")
        for task, run in self.runs.items():
            self.fleet.on_end(self, task, run[0], "gone")
        self.alive = False
        self.runs = {}
        for t in self.tasks:
            t.cancel()
        self.dark = dark
        if not dark:
            self.end_connections()

    def end_connections(self):
        self.server.close()
        for w in list(self.connections):
            w.transport.abort()
        self.connections.clear()

    async def beat(self):
        await self.report()
        await asyncio.sleep(random.uniform(0, HEARTBEAT_MS / 1000))  # the workers report at different times
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def report(self):
        self.sequence += 1
        body = {"service": self.pool, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1",
                "slots": 8, "state": "ready", "warmup_left_ms": 0, "born": self.born,
                "capacity": {"cpu": self.cpu, "mem_mb": 131_072, "gpu": 0}, "labels": self.labels,
                "wall_clock_ms": self.clock(), "seq": self.sequence}
        targets = [s.control for s in self.fleet.schedulers]
        random.shuffle(targets)
        if self.target:
            targets.insert(0, self.target)
        for t in targets:
            answer = await call(t, "PUT", f"/instances/{self.id}", body)
            if answer and answer[0] == 200:
                self.target = json.loads(answer[1]).get("heartbeat_addr")
                return
            self.target = None

    async def work(self):
        """Ends runs when their work is done, and all of them when the lease has expired."""
        while True:
            await asyncio.sleep(0.02)
            if self.runs and self.clock() > self.deadline:
                for task in list(self.runs):
                    self.end(task, "lapsed")
            for task, run in list(self.runs.items()):
                if time.monotonic() - run[1] >= self.fleet.work_s(task):
                    self.end(task, "done")

    def end(self, task, how):
        attempt, _, saved = self.runs.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        self.ended.append([self.next_end, task, attempt, how, saved])
        self.next_end += 1
        self.changed.set()
        self.fleet.on_end(self, task, attempt, how)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            life = self.lives
            while life == self.lives:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split()
                if self.dark:
                    self.fleet.record(f"a call for {self} stays without an answer, it has no power: {path} "
                                      f"{body.decode()[:200]}")
                while self.dark:  # ends with the connection
                    await asyncio.sleep(3600)
                status, out = await self.handle(method, path, headers, body)
                if path != "/hold" or status != 200:
                    self.fleet.record(f"worker {self} gets {path} {body.decode()[:200]}: {status} {json.dumps(out)}")
                while self.dark:
                    await asyncio.sleep(3600)
                text = json.dumps(out).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}"
                             "\r\n\r\n".encode() + text)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass  # the caller or this life of the worker has ended
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, method, path, headers, body):
        if headers.get("expected-instance", self.id) != self.id:
            return 421, {"wall_clock_ms": self.clock()}
        if method == "GET":
            return 200, {}
        order = json.loads(body)
        if path == "/hold":
            return await self.hold(order)
        status, reason = self.execute(path, order)
        return status, {"wall_clock_ms": self.clock(), "born": self.born, **({"reason": reason} if reason else {})}

    def admit(self, order):
        token = order.get("fencing_token", 0)
        if token < self.fence:
            return False
        self.fence = token
        return True

    def extend(self, order):
        self.deadline = max(self.deadline, min(order.get("deadline_ms", 0), self.clock() + LEASE_MAX_MS))

    def execute(self, path, order):
        task, attempt = order["task"], order["attempt"]
        if not self.admit(order):
            return 409, "fence"
        if path == "/run-stop":
            self.highest[task] = max(self.highest.get(task, 0), attempt)
            if task in self.runs and self.runs[task][0] <= attempt:
                asyncio.get_running_loop().call_later(0.1, self.stop_now, task, self.runs[task][0])
            return 200, ""
        if path == "/pace":
            return 200, ""
        if order["deadline_ms"] < self.clock():
            return 409, "late"
        self.extend(order)
        if task in self.runs and self.runs[task][0] == attempt:
            return 200, ""
        if attempt <= self.highest.get(task, 0):
            return 409, "old"
        if sum(self.fleet.cpu(t) for t in self.runs) + self.fleet.cpu(task) > self.cpu:
            return 409, "room"
        self.runs[task] = [attempt, time.monotonic(), order.get("checkpoint", "")]
        self.fleet.on_start(self, task, attempt, order)
        return 200, ""

    def stop_now(self, task, attempt):
        if self.alive and task in self.runs and self.runs[task][0] == attempt:
            self.end(task, "stopped")

    async def hold(self, order):
        if not self.admit(order):
            return 409, {"wall_clock_ms": self.clock(), "reason": "fence", "born": self.born}
        self.extend(order)
        self.ended = [e for e in self.ended if e[0] > order.get("ack_cursor", 0)]
        wait = order.get("poll_wait_ms", 0)
        if wait and not self.ended:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), wait / 1000)
            except asyncio.TimeoutError:
                pass
        active = [[t, r[0], r[2], 100, 0] for t, r in self.runs.items()]
        return 200, {"wall_clock_ms": self.clock(), "born": self.born, "active": active,
                     "finished": self.ended[:500]}


class Fleet:
    """A small deployment: three schedulers and two entries over three zones, and workers."""

    def __init__(self, case_folder, entries=2, relayed_peers=False):
        self.record = Record(case_folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self.tag = f"{random.randrange(16**6):06x}"
        self.net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        ips = [f"{self.net}.{11 + i}" for i in range(3 + entries)]
        self.peer_port = common_free_port(ips)
        self.control_port = common_free_port(ips)
        self.caller_port = common_free_port(ips)
        self.ready_port = common_free_port(ips)
        self.worker_port = common_free_port([f"{self.net}.{100 + i}" for i in range(30)])
        self.schedulers = [Instance(self, ips[i], ZONES[i], True) for i in range(3)]
        self.entries = [Instance(self, ips[3 + i], ZONES[i % 3], False) for i in range(entries)]
        self.network = PeerNetwork(self) if relayed_peers else None
        if relayed_peers:
            for s in self.schedulers:
                s.peer_ip = f"{self.net}.{200 + int(s.ip.rsplit('.', 1)[1])}"
        self.workers = []
        self.jobs = {}    # id -> body of the submission
        self.starts = []  # (time, worker, task, attempt)
        self.ends = []    # (time, worker, task, attempt, how)
        self.watchers = []

    def work_s(self, task):
        """The work of a task: the client's `spec` says it in milliseconds."""
        job = self.jobs.get(task.split(".")[0])
        return json.loads(job["spec"])["ms"] / 1000 if job else 1.0

    def cpu(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]["cpu"] if job in self.jobs else 0

    def on_start(self, worker, task, attempt, order):
        self.starts.append((self.record.now(), worker, task, attempt))
        self.record(f"worker {worker} starts {task} run {attempt}, fencing token {order['fencing_token']}")

    def on_end(self, worker, task, attempt, how):
        self.ends.append((self.record.now(), worker, task, attempt, how))
        self.record(f"worker {worker} ends {task} run {attempt}: {how}")

    def running(self, task):
        return [w for w in self.workers if w.alive and task in w.runs]

    async def start(self):
        if not PROGRAM.exists():
            raise RuntimeError(f"{PROGRAM} is missing: build first")
        if self.network:
            await self.network.start()
        for i in self.schedulers + self.entries:
            i.start(first_start=True)
        for _ in range(200):
            answers = [await call(e.ready, "GET", "/readyz") for e in self.entries]
            if all(a and a[0] == 200 for a in answers):
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError("the deployment did not become ready")
        for w in self.workers:
            await w.live()

    async def leader(self):
        """The scheduler that workers are told to report to."""
        for _ in range(100):
            targets = [w.target for w in self.workers if w.alive and w.target]
            found = [s for s in self.schedulers if s.control in targets]
            if len(set(targets)) == 1 and found:
                return found[0]
            await asyncio.sleep(0.1)
        raise RuntimeError("no leader is known")

    def close(self):
        for i in self.schedulers + self.entries:
            i.end()
        if os.environ.get("REVIEW_KEEP"):
            print(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def config(self, version, pools, max_attempts=3, enforce=True):
        routes = [{"name": f"r-{p}", "host": "jobs.example", "path_prefix": f"/{p}/", "kind": "non_idempotent",
                   "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0, "service": p,
                   "max_attempts": max_attempts, "slack_factor": 2.0, "public": False} for p in pools]
        services = [{"name": p, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": False,
                     "warmup_s": 0.0, "warmup_per_s": 0.0, "enforce_capacity": enforce, "standby": False}
                    for p in pools]
        return {"version": version, "routes": routes, "services": services,
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000},
                "tenants": [{"name": "tenant-1", "api_keys": ["key-1"], "priority": 1, "weight": 10,
                             "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}]}

    async def operate(self, method, path, body=None, first=None, limit_s=4.0):
        """An operator's order: sent again to another scheduler until it is confirmed. Returns when it was."""
        order = [s for s in self.schedulers if s is not first]
        random.shuffle(order)
        targets = ([first] if first else []) + order
        began, backoff, n = self.record.now(), 0.05, 0
        while self.record.now() - began < limit_s:
            to = targets[n % len(targets)]
            n += 1
            self.record(f"operator sends {method} {path} to {to.name}")
            answer = await call(to.control, method, path, body, timeout=1.0)
            self.record(f"operator gets {answer[0] if answer else 'no answer'} from {to.name} for {method} {path}")
            if answer and 200 <= answer[0] < 300:
                return self.record.now()
            await asyncio.sleep(backoff)
            backoff = min(backoff * 2, 1.0)
        raise RuntimeError(f"{method} {path} was not confirmed")

    async def request(self, method, pool, job, body=None, entry=None):
        """A client's call, tried again at another entry. Returns (status, body)."""
        for n in range(8):
            to = entry or self.entries[n % len(self.entries)]
            answer = await call(to.callers, method, f"/{pool}/{job}", body, timeout=3.0,
                                headers={"Host": "jobs.example", "Key": "key-1", "Deadline-Ms": "3000"})
            self.record(f"client {method} /{pool}/{job} at {to.name}: "
                        f"{f'{answer[0]} {answer[1][:60]}' if answer else 'no answer'}")
            if answer and answer[0] not in (502, 503, 504):
                return answer
            await asyncio.sleep(0.2)
        return answer

    async def submit(self, pool, body):
        job = f"{random.randrange(16**16):016x}"
        self.jobs[job] = body
        answer = await self.request("POST", pool, job, body)
        if not answer or answer[0] != 200:
            raise RuntimeError(f"submission {job} was not accepted: {answer}")
        return job

    async def state(self, pool, job):
        answer = await self.request("GET", pool, job)
        return json.loads(answer[1]).get("state") if answer and answer[0] == 200 else None


def run(case_folder, play, **options):
    """Plays a case and exits with its result: play(fleet) returns a text if the rule was broken, or None."""
    fleet, code = None, 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends the processes below
    try:
        fleet = Fleet(case_folder, **options)
        broken = asyncio.run(asyncio.wait_for(play(fleet), 112))
        fleet.record(f"BROKEN: {broken}" if broken else "the rule held")
        print(f"BROKEN: {broken}" if broken else "the rule held")
        code = 1 if broken else 0
    except Exception as fault:  # the case could not run
        print(f"the case could not run: {fault!r}")
        if fleet:
            fleet.record(f"the case could not run: {fault!r}")
    finally:
        if fleet:
            fleet.close()
    sys.stdout.flush()
    os._exit(code)
