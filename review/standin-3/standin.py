"""Stand-ins for the clients, the workers, the operator and the machine service of a small deployment on loopback.

The programs are started as the deploy file says: `target/fescued`, with the path of its settings file in
FESCUESTREAM_SETTINGS. The settings are those that deploy/instance.json renders for the bounds of the site kapuk-isi.
"""

import http.client
import http.server
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
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "fescued"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of the site kapuk-isi that deploy/instance.json passes on.
BOUNDS = {"longest_lease_ms": 10000, "machine_lease_ms": 3000, "report_period_ms": 1500, "contact_ms": 3000,
          "kept_s": 120, "grace_s": 6, "move_s": 1.5, "upkeep_s": 2}


class CouldNotRun(Exception):
    pass


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, file):
        self.started, self.lock = time.monotonic(), threading.Lock()
        self.file = open(file, "w", buffering=1)

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f}  {text}\n")


def is_free(address, port):
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            s.bind((address, port))
            return True
        except OSError:
            return False


def call(address, method, path, body=None, headers=None, timeout=1.0):
    """Returns (status, body), or (None, name of the error) if there was no complete answer. Closes the connection."""
    ip, port = address.split(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout)
    text = None if body is None else json.dumps(body)
    head = {"Content-Type": "application/json", **(headers or {})}
    try:
        connection.request(method, path, text, head)
        response = connection.getresponse()
        data = response.read().decode()
        try:
            return response.status, json.loads(data) if data else {}
        except ValueError:
            return response.status, data
    except (OSError, http.client.HTTPException) as e:
        return None, type(e).__name__
    finally:
        connection.close()


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    block_on_close = False
    request_queue_size = 128

    def __init__(self, *args):
        self.clients = set()
        super().__init__(*args)

    def process_request(self, request, client_address):
        self.clients.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.clients.discard(request)
        super().shutdown_request(request)

    def end(self):
        """Closes the port and all connections, as the end of a process does."""
        for client in list(self.clients):
            try:
                client.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.shutdown()
        self.server_close()


def serve(address, handle):
    """Serves JSON over HTTP/1.1; handle(method, path, headers, body) returns (status, body), or None
    to close the connection without an answer."""

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def answer(self):
            size = int(self.headers.get("Content-Length", 0))
            text = self.rfile.read(size).decode() if size else ""
            answer = handle(self.command, self.path, self.headers, json.loads(text) if text else {})
            if answer is None:
                self.close_connection = True
                return
            status, body = answer
            data = json.dumps(body).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        do_GET = do_POST = do_PUT = do_DELETE = answer

        def log_message(self, *_):
            pass

        def handle(self):
            try:
                super().handle()
            except OSError:
                pass

    ip, port = address.split(":")
    server = Server((ip, int(port)), Handler)
    threading.Thread(target=server.serve_forever, args=(0.02,), daemon=True).start()
    return server


GANG_TIMEOUT_S = 3.0  # gang_timeout_ms
CHECKPOINT_MS = 500  # checkpoint_interval_s


class Gang:
    """The members of one run of a gang, on all workers. They work from the moment when all are present, which all carry the
    same checkpoint, and end together."""

    runs = {}  # (step, attempt, checkpoint) -> Gang
    lock = threading.RLock()

    def __init__(self, size, ms, checkpoint):
        self.size, self.ms, self.members, self.begun = size, ms, {}, None
        self.saved_before = int(checkpoint or "0", 16)

    @staticmethod
    def join(worker, body, spec):
        step = body["task"].rsplit(".", 1)[0]
        checkpoint = body.get("checkpoint", "")
        with Gang.lock:
            gang = Gang.runs.setdefault((step, body["attempt"], checkpoint), Gang(spec["gang"], spec["ms"], checkpoint))
            gang.members[body["task"]] = worker
            if len(gang.members) == gang.size:
                gang.begun = time.monotonic()
                worker.record.write(f"gang {step} attempt {body['attempt']}: all members are present, from checkpoint "
                                    f"'{checkpoint}'")
        return gang

    def done_ms(self):
        worked = int((time.monotonic() - self.begun) * 1000) if self.begun else 0
        return min(self.ms, self.saved_before + worked)

    def saved(self):
        """Whole intervals of work."""
        units = self.done_ms() // CHECKPOINT_MS * CHECKPOINT_MS
        return f"{units:08x}" if units else ""

    def is_done(self):
        return self.begun is not None and self.done_ms() >= self.ms

    def leave(self, task):
        """Another member ends: the others are broken, if they were at work."""
        with Gang.lock:
            if self.members.pop(task, None) is None or self.begun is None or self.is_done():
                return
            others, self.members = dict(self.members), {}
        for other, worker in others.items():
            threading.Thread(target=worker.break_run, args=(other,), daemon=True).start()


class Worker:
    """One life of a worker. The spec of a task is a JSON text with `ms` (0: lasts), `cpu` and, for the members of a gang,
    `gang`, their number."""

    def __init__(self, record, worker_id, address, zone, service, capacity, control, rack="r1",
                 proxy=None):
        self.record, self.id, self.address, self.zone, self.service = record, worker_id, address, zone, service
        self.capacity, self.control, self.rack, self.proxy = dict(capacity), list(control), rack, proxy
        self.reported_address = proxy.address if proxy else address
        self.starts = []  # (time, task, attempt)
        self.ends = []  # (time, task, how)
        self.changed = threading.Condition()
        self.up = threading.Event()
        self.begin_life()
        self.running = True
        threading.Thread(target=self.beat, daemon=True).start()
        threading.Thread(target=self.work, daemon=True).start()

    def begin_life(self):
        """Starts with nothing of an earlier life."""
        with self.changed:
            self.born = int(time.time() * 1000)
            self.started = time.monotonic()
            self.active, self.finished, self.ended = {}, [], {}
            self.next_end, self.token, self.deadline, self.acked, self.sequence = 1, 0, 0, 0, 0
            self.server = serve(self.address, self.handle)
            self.up.set()

    def crash(self, for_s):
        """Ends the process: what runs on it ends, its port refuses. After for_s it starts again under the same id, if that is
        not None."""
        back = f"is back in {for_s} s" if for_s else "is lost for good"
        self.record.write(f"worker {self.id} crashes with {sorted(self.active)}, and {back}")
        with self.changed:
            self.up.clear()
            ended, self.active = self.active, {}
            self.changed.notify_all()
        for task, run in ended.items():
            if run["gang"]:
                run["gang"].leave(task)
        self.server.end()
        if for_s:
            threading.Timer(for_s, self.restart).start()

    def power_off(self, for_s):
        """Loses power: nothing answers, and what runs on it ends. It starts again under the same id."""
        self.proxy.cut()
        self.record.write(f"worker {self.id} loses power with {sorted(self.active)}")
        with self.changed:
            self.up.clear()
            ended, self.active = self.active, {}
            self.changed.notify_all()
        for task, run in ended.items():
            if run["gang"]:
                run["gang"].leave(task)
        self.server.end()
        threading.Timer(for_s, self.restart).start()

    def restart(self):
        if self.running and self.proxy:
            self.proxy.join()
        if self.running:
            self.begin_life()
            self.record.write(f"worker {self.id} starts again, born {self.born}")

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def stop(self):
        self.running = False
        if self.up.is_set():
            self.server.end()

    def beat(self):
        target = random.choice(self.control)
        while self.running:
            if not self.up.is_set() or (self.proxy and not self.proxy.open.is_set()):
                time.sleep(0.05)
                continue
            self.sequence += 1
            body = {"service": self.service, "address": self.reported_address, "zone": self.zone, "version": "v1", "slots": 8,
                    "state": "ready", "warmup_left_ms": 0, "capacity": self.capacity, "labels": ["a", self.rack],
                    "wall_clock_ms": self.clock(), "seq": self.sequence, "born": self.born}
            for _ in range(4):
                status, answer = call(target, "PUT", f"/instances/{self.id}", body)
                if status is not None and 200 <= status < 300:
                    target = answer.get("heartbeat_addr") or target
                    break
                target = random.choice(self.control)
            time.sleep(BOUNDS["report_period_ms"] / 1000)

    def end(self, task, how):
        run = self.active.pop(task)
        gang = run["gang"]
        self.finished.append([self.next_end, task, run["attempt"], how, gang.saved() if gang and how != "done" else ""])
        if gang:
            gang.leave(task)
        self.next_end += 1
        self.ended[task] = max(self.ended.get(task, 0), run["attempt"])
        self.ends.append((self.record.now(), task, how))
        self.record.write(f"worker {self.id}: {task} attempt {run['attempt']} ended {how}")
        self.changed.notify_all()

    def work(self):
        while self.running:
            with self.changed:
                now = self.clock()
                if self.active and now > self.deadline:
                    for task in list(self.active):
                        self.end(task, "lapsed")
                for task in [t for t, r in self.active.items() if r["until"] and now >= r["until"]]:
                    self.end(task, "done")
                for task, run in [(t, r) for t, r in self.active.items() if r["gang"]]:
                    if run["gang"].is_done():
                        self.end(task, "done")
                    elif run["gang"].begun is None and now - run["from"] > GANG_TIMEOUT_S * 1000:
                        self.end(task, "alone")
            time.sleep(0.005)

    def break_run(self, task):
        with self.changed:
            if task in self.active:
                self.end(task, "broken")

    def lists(self):
        now = self.clock()
        return {"wall_clock_ms": now, "born": self.born,
                "active": [[t, r["attempt"], r["gang"].saved() if r["gang"] else "", 100 if now - r["from"] >= 100 else 50, r["cpu"]]
                           for t, r in self.active.items()],
                "finished": [e for e in self.finished if e[0] > self.acked][:500]}

    def handle(self, method, path, headers, body):
        if method == "GET":
            return 200, {}
        with self.changed:
            if not self.up.is_set():
                return None
            answer = {"wall_clock_ms": self.clock(), "born": self.born}
            if headers.get("Expected-Instance", self.id) != self.id:
                return 421, answer
            token = body.get("fencing_token", 0)
            if token < self.token:
                return 409, {**answer, "reason": "fence"}
            self.token = token
            if path == "/run-start":
                return self.start(body, answer)
            if path == "/run-stop":
                return self.stop_run(body, answer)
            if path == "/pace":
                return 200, answer
            if path == "/hold":
                return self.hold(body)
            return 404, answer

    def start(self, body, answer):
        task, attempt = body["task"], body["attempt"]
        self.deadline = max(self.deadline, body.get("deadline_ms", 0))
        if body.get("deadline_ms", 0) <= self.clock():
            return 409, {**answer, "reason": "late"}
        current = self.active.get(task)
        if current and current["attempt"] == attempt:
            return 200, answer
        if current or attempt <= self.ended.get(task, 0):
            return 409, {**answer, "reason": "old"}
        spec = json.loads(body["spec"])
        if sum(r["cpu"] for r in self.active.values()) + spec["cpu"] > self.capacity["cpu"]:
            return 409, {**answer, "reason": "room"}
        now = self.clock()
        gang = Gang.join(self, body, spec) if "gang" in spec else None
        until = now + spec["ms"] if spec["ms"] and not gang else 0
        self.active[task] = {"attempt": attempt, "from": now, "until": until, "cpu": spec["cpu"], "gang": gang}
        self.starts.append((self.record.now(), task, attempt))
        self.record.write(f"worker {self.id} in zone {self.zone}: start of {task} attempt {attempt}" +
                          (f", checkpoint '{body.get('checkpoint', '')}'" if gang else ""))
        return 200, answer

    def stop_run(self, body, answer):
        task, attempt = body["task"], body["attempt"]
        current = self.active.get(task)
        if current and current["attempt"] == attempt:
            self.end(task, "stopped")
        self.ended[task] = max(self.ended.get(task, 0), attempt)
        return 200, answer

    def hold(self, body):
        self.deadline = max(self.deadline, body.get("deadline_ms", 0))
        self.acked = max(self.acked, body.get("ack_cursor", 0))
        self.finished = [e for e in self.finished if e[0] > self.acked]
        first = self.next_end
        until = time.monotonic() + min(body.get("poll_wait_ms", 0), 2000) / 1000
        while self.running and self.up.is_set() and self.next_end == first and not self.finished and time.monotonic() < until:
            self.changed.wait(until - time.monotonic())
        return (200, self.lists()) if self.up.is_set() else None


class Proxy:
    """A link to one address. While it is held, nothing passes; what was sent meanwhile arrives after release(), as TCP
    delivers it when its sender has closed the connection and the receiver answers again."""

    def __init__(self, address, target):
        self.target, self.open = target, threading.Event()
        self.open.set()
        self.cuts = 0
        ip, port = address.split(":")
        self.address = address
        self.listener = socket.create_server((ip, int(port)), backlog=128)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.link, args=(client,), daemon=True).start()

    def link(self, client):
        self.open.wait()
        cuts = self.cuts
        ip, port = self.target.split(":")
        try:
            server = socket.create_connection((ip, int(port)))
        except OSError:
            client.close()
            return
        threading.Thread(target=self.copy, args=(server, client, cuts), daemon=True).start()
        self.copy(client, server, cuts)

    def copy(self, source, sink, cuts):
        try:
            while data := source.recv(65536):
                self.open.wait()
                if cuts != self.cuts:
                    break
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def hold(self):
        self.open.clear()

    def release(self):
        self.open.set()

    def cut(self):
        """Cuts the link: what is on its way is lost, and nothing answers until join()."""
        self.open.clear()

    def join(self):
        self.cuts += 1
        self.open.set()

    def shutdown(self):
        pass

    def server_close(self):
        self.open.set()
        self.listener.close()


class Instance:
    """A process of the system, as the deploy file starts it."""

    def __init__(self, fleet, ip, name, zone, scheduler):
        self.fleet, self.ip, self.name, self.scheduler = fleet, ip, name, scheduler
        self.control, self.callers = f"{ip}:{fleet.ports[1]}", f"{ip}:{fleet.ports[2]}"
        self.readiness = f"{ip}:{fleet.ports[3]}"
        self.operator = self.control  # where the operator reaches it
        self.settings_file = fleet.folder / f"{name}.json"
        self.zone = zone
        self.process = None

    def settings(self, first_start):
        listen = {"peers": f"{self.ip}:{self.fleet.ports[0]}"}
        listen |= {"control": self.control} if self.scheduler else {"callers": self.callers,
                                                                   "readiness": self.readiness}
        http_limits = {"max_connections": 1000, "max_body_bytes": 4194304, "max_held_body_bytes": 8388608}
        if not self.scheduler:
            http_limits = {"max_connections": 1600, "head_buffer_bytes": 65536, "max_body_bytes": 262144,
                           "max_held_body_bytes": 12582912}
        return {"role": "scheduler" if self.scheduler else "entry", "id": self.ip, "name": self.name,
                "data_centre": self.zone, "listen": listen, "seeds": self.fleet.seeds, "first_start": first_start,
                "tolerated_disk_losses": 1,
                "data_folder": str(self.fleet.folder / f"data-{self.name}") if self.scheduler else "",
                "cluster_secret": "fescuestream on the platform's own network",
                "machine_service": {"address": self.fleet.cloud, "orders_per_s": 64.0, "reads_per_s": 64.0},
                "http": http_limits, "bounds": BOUNDS}

    def start(self, first_start):
        self.settings_file.write_text(json.dumps(self.settings(first_start)))
        environment = {"FESCUESTREAM_SETTINGS": str(self.settings_file), "PATH": os.environ.get("PATH", "")}
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.fleet.record.write(f"{self.name} ({self.ip}) starts, bootstrap {first_start}")

    def signal(self, number):
        self.process.send_signal(number)
        self.fleet.record.write(f"{self.name}: {signal.Signals(number).name}")

    def log_text(self):
        return (self.fleet.folder / f"{self.name}.log").read_text(errors="replace")

    def last_led_ms(self):
        import re
        found = re.findall(r"time_ms=(\d+).*event=leading\b", self.log_text())
        return int(found[-1]) if found else 0


class Fleet:
    """A small deployment: `core` machines with a disk, `edge` machines, workers, a machine service."""

    def __init__(self, case_folder, cores=4, edges=2, zones=("jkt", "bdg")):
        if not PROGRAM.exists():
            raise CouldNotRun(f"{PROGRAM} is missing: run the build of the deploy file first")
        self.record = Record(pathlib.Path(case_folder) / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fescue-review-"))
        self.net = f"127.{random.randint(20, 200)}.{random.randint(1, 250)}"
        ips = [f"{self.net}.{i + 1}" for i in range(cores + edges)]
        self.ports = self.find_ports(ips + [f"{self.net}.200"])
        self.cloud = f"{self.net}.200:{self.ports[0]}"
        self.seeds = ips[:3]
        self.zones = zones
        self.cores = [Instance(self, ip, f"core-{i + 1}", zones[i % len(zones)], True)
                      for i, ip in enumerate(ips[:cores])]
        self.edges = [Instance(self, ip, f"edge-{i + 1}", zones[i % len(zones)], False)
                      for i, ip in enumerate(ips[cores:])]
        self.workers, self.servers = [], [serve(self.cloud, self.machine_service)]
        self.config = None

    @staticmethod
    def find_ports(ips):
        for _ in range(50):
            first = random.randint(20000, 29000)
            if all(is_free(ip, first + i) for ip in ips for i in range(4)):
                return [first + i for i in range(4)]
        raise CouldNotRun("no free ports")

    @property
    def instances(self):
        return self.cores + self.edges

    def machine_service(self, method, path, _headers, _body):
        if method == "GET":
            machines = [{"machine": f"m-{w.id}", "pool": w.service, "state": "up", "zone": w.zone,
                         "labels": ["a", w.rack], "capacity": w.capacity, "id": w.id} for w in self.workers]
            return 200, {"machines": machines, "next_token": ""}
        self.record.write(f"machine service: {method} {path}")
        return 200, {}

    def add_proxies(self):
        """Puts a proxy between the operator and each core machine."""
        for i, core in enumerate(self.cores):
            core.proxy = Proxy(f"{self.net}.{220 + i}:{self.ports[1]}", core.control)
            core.operator = core.proxy.address
            self.servers.append(core.proxy)

    def add_worker(self, worker_id, zone, service, capacity, proxy=False):
        """Adds a worker; with a proxy, the link to it and its heartbeats can be cut."""
        address = f"{self.net}.{100 + len(self.workers)}:{self.ports[0]}"
        behind = Proxy(f"{self.net}.{150 + len(self.workers)}:{self.ports[0]}", address) if proxy else None
        worker = Worker(self.record, worker_id, address, zone, service, capacity, [c.control for c in self.cores],
                        f"r-{zone}", behind)
        self.workers.append(worker)
        if behind:
            self.servers.append(behind)
        return worker

    def start(self, config):
        for i in self.instances:
            i.start(True)
        self.put_config(config, seconds=20)
        self.wait(lambda: all(call(e.readiness, "GET", "/readyz")[0] == 200 for e in self.edges), 20,
                  "the edge machines to be ready")

    def wait(self, condition, seconds, what):
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                raise CouldNotRun(f"timed out: {what}")
            time.sleep(0.05)

    def order(self, method, path, body=None, first=None, seconds=10.0, nodes=None):
        """An order of the operator: a second for each node, then the next one. Returns the final status."""
        nodes = list(nodes or self.cores)
        random.shuffle(nodes)
        if first is not None:
            nodes = [first] + [n for n in nodes if n is not first]
        until, turn, pause = time.monotonic() + seconds, 0, 0.05
        while True:
            node = nodes[turn % len(nodes)]
            sent = self.record.now()
            status, answer = call(node.operator, method, path, body, timeout=1.0)
            what = f"version {body['version']}" if body and "version" in body else ""
            self.record.write(f"operator: {method} {path} {what} to {node.name}, sent at {sent:.3f} -> "
                              f"{status if status else answer}")
            if status is not None and (200 <= status < 300 or status in (400, 404, 409, 412, 413, 422)):
                return status
            if time.monotonic() > until:
                return status
            turn += 1
            time.sleep(pause)
            pause = min(2 * pause, 0.4)

    def put_config(self, config, seconds=10.0):
        if self.order("PUT", "/config", config, seconds=seconds) != 200:
            raise CouldNotRun(f"config {config['version']} was not acknowledged")
        self.config = config

    def client(self, method, path, body=None, edge=None, host="jobs.example", key=None, timeout=3.0):
        edge = edge or random.choice(self.edges)
        headers = {"Host": host, "Deadline-Ms": str(int(timeout * 1000))}
        if key:
            headers["Key"] = key
        sent = self.record.now()
        status, answer = call(edge.callers, method, path, body, headers, timeout)
        self.record.write(f"client: {method} {path} to {edge.name}, sent at {sent:.3f} -> {status} {answer}")
        return status, answer

    def leader(self):
        alive = [c for c in self.cores if c.process and c.process.poll() is None]
        return max(alive, key=Instance.last_led_ms)

    def stop(self):
        for i in self.instances:
            if i.process and i.process.poll() is None:
                i.process.send_signal(signal.SIGCONT)
                i.process.kill()
                i.process.wait()
        for w in self.workers:
            w.stop()
        for s in self.servers:
            s.shutdown()
            s.server_close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, service, path_prefix="/kafi/", public=True, **more):
    return {"name": name, "host": "jobs.example", "path_prefix": path_prefix, "kind": "non_idempotent",
            "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0, "service": service, "max_attempts": 3,
            "slack_factor": 2.0, "public": public, **more}


def service(name):
    return {"name": name, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": False, "warmup_s": 0.0,
            "warmup_per_s": 0.0, "enforce_capacity": True, "standby": False}


def make_config(version, routes, services, tenants=()):
    return {"version": version, "routes": list(routes), "services": [service(s) for s in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}, "tenants": list(tenants)}


def job(ms, cpu, tasks=1, **step):
    """A submission of one step; its tasks take `ms` (0: they last)."""
    return {"spec": json.dumps({"ms": ms, "cpu": cpu}),
            "steps": [{"count": tasks, "cpu": cpu, "mem_mb": 64, "estimate_ms": ms or 900, **step}]}


def gang_job(ms, cpu, tasks, **step):
    """A submission of one gang, which saves checkpoints."""
    spec = {"ms": ms, "cpu": cpu, "gang": tasks}
    return {"spec": json.dumps(spec), "steps": [{"count": tasks, "cpu": cpu, "mem_mb": 64, "estimate_ms": ms, "gang": True,
                                                 "checkpointing": True, **step}]}


def job_id():
    return f"{random.getrandbits(64):016x}"


def run_case(case_folder, play, **fleet_options):
    """Plays a case and exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    fleet = None
    try:
        fleet = Fleet(case_folder, **fleet_options)
        fleet.record.write(f"TROUBLE={1 if TROUBLE else 0}")
        broken = play(fleet)
        fleet.record.write("BROKEN: " + broken if broken else "held")
        print("BROKEN: " + broken if broken else "held")
        result = BROKEN if broken else HELD
    except CouldNotRun as e:
        print(f"could not run: {e}")
        if fleet:
            fleet.record.write(f"could not run: {e}")
        result = COULD_NOT_RUN
    finally:
        if fleet:
            fleet.stop()
    sys.stdout.flush()
    os._exit(result)
