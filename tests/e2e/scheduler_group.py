"""Three schedulers whose connections to each other can be cut, two entries, and a worker in two of the data centres."""

import http.client
import http.server
import json
import pathlib
import shutil
import socket
import subprocess
import tempfile
import threading
import time
import unittest

from fleet import BUILD, wait_for

ZONES = {"north": "127.0.0.41", "south": "127.0.0.42", "west": "127.0.0.43"}
SCHEDULERS = list(ZONES.values())
LISTENING = {"127.0.0.41": "127.0.0.51", "127.0.0.42": "127.0.0.52", "127.0.0.43": "127.0.0.53"}
ENTRY, OTHER_ENTRY = ENTRIES = ["127.0.0.44", "127.0.0.47"]
PEER_PORT, CONTROL_PORT, CALLER_PORT, READY_PORT, WORKER_PORT = 7540, 7541, 7542, 7543, 7544
WORKERS = {"north": "127.0.0.45", "west": "127.0.0.46"}
ROUTE = {"name": "r", "host": "jobs.example", "path_prefix": "/queue/", "kind": "job", "timeout_ms": 9000,
         "target_latency_ms": 600, "priority": 0, "service": "s", "max_attempts": 3, "slack_factor": 2.0,
         "public": True}
CONFIG = {"version": 1, "routes": [ROUTE], "services": [{"name": "s"}], "tenants": []}
# The rules allow starts for this long after a zone was taken out of service.
EVACUATION_S = 5.0
# Above the silence after which a connection between schedulers is closed, and the time-out of a forwarded order.
CUT_S = 1.9


def request(address, port, method, path, body=None, timeout=1.0):
    """Sends one request. Returns its status, or None without a response in time."""
    connection = http.client.HTTPConnection(address, port, timeout=timeout)
    try:
        connection.request(method, path, body, {"Host": ROUTE["host"]})
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Link:
    """Passes the connections to one scheduler's peer address on. While it is cut from a scheduler, bytes wait on both
    sides; those whose sender has not reset the connection arrive when it heals, also after their sender has closed it."""

    def __init__(self, address, network):
        self.address, self.network = address, network
        self.listener = socket.create_server((address, PEER_PORT), backlog=64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(client,), daemon=True).start()

    def serve(self, client):
        try:
            first = client.recv(65536)
            ends = {self.address, *[a for a in [*SCHEDULERS, *ENTRIES] if a.encode() in first]}
            self.network.wait_until_open(ends)
            server = socket.create_connection((LISTENING[self.address], PEER_PORT))
            server.sendall(first)
        except OSError:
            client.close()
            return
        threading.Thread(target=self.copy, args=(server, client, ends), daemon=True).start()
        self.copy(client, server, ends)

    def copy(self, source, sink, ends):
        try:
            while True:
                self.network.wait_until_open(ends)
                data = source.recv(65536)
                self.network.wait_until_open(ends)
                if not data:
                    break
                sink.sendall(data)
        except OSError:
            pass
        for s in (source, sink):
            s.close()


class Network:
    def __init__(self):
        self.cut_off = set()
        self.changed = threading.Condition()
        self.links = [Link(a, self) for a in SCHEDULERS]

    def wait_until_open(self, ends):
        with self.changed:
            self.changed.wait_for(lambda: not ends & self.cut_off)

    def cut(self, *addresses):
        with self.changed:
            self.cut_off = set(addresses)
            self.changed.notify_all()

    def stop(self):
        self.cut()
        for link in self.links:
            link.listener.shutdown(socket.SHUT_RDWR)  # ends the accept() of its thread
            link.listener.close()


class Worker:
    """A backend server that ends each run at once."""

    def __init__(self, zone):
        self.zone, self.starts, self.runs, self.sequence = zone, [], [], 0
        self.began, self.running = int(time.time() * 1000), True
        worker = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                order = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))))
                answer = json.dumps(worker.answer(self.path, order)).encode()
                self.send_response(200)
                self.send_header("Content-Length", str(len(answer)))
                self.end_headers()
                self.wfile.write(answer)

            def log_message(self, *_):
                pass

        self.server = http.server.ThreadingHTTPServer((WORKERS[zone], WORKER_PORT), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.report, daemon=True).start()

    def answer(self, path, order):
        if path == "/run-start":
            self.starts.append(time.monotonic())
            self.runs.append([len(self.runs) + 1, order["task"], order["attempt"], "done", ""])
        lists = {"active": [], "finished": [r for r in self.runs if r[0] > order.get("ack_cursor", 0)]}
        return {"wall_clock_ms": int(time.monotonic() * 1000), "born": self.began} | (lists if path == "/hold" else {})

    def report(self):
        while self.running:
            self.sequence += 1
            body = json.dumps({"service": "s", "address": f"{WORKERS[self.zone]}:{WORKER_PORT}", "zone": self.zone,
                               "state": "ready", "labels": ["a", "r1"], "born": self.began, "seq": self.sequence,
                               "capacity": {"cpu": 4000, "mem_mb": 4000, "gpu": 0},
                               "wall_clock_ms": int(time.monotonic() * 1000)})
            for address in SCHEDULERS:
                if request(address, CONTROL_PORT, "PUT", f"/instances/i-{self.zone}", body, 0.5) == 200:
                    break
            time.sleep(0.5)

    def stop(self):
        self.running = False
        self.server.shutdown()
        self.server.server_close()


class SchedulerGroup(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fescue-operator-orders-"))
        self.processes = {}
        self.addCleanup(self.stop_all)
        self.network = Network()
        self.addCleanup(self.network.stop)
        for address in [*SCHEDULERS, *ENTRIES]:
            self.start(address)
        wait_for("the config", lambda: request(SCHEDULERS[0], CONTROL_PORT, "PUT", "/config",
                                               json.dumps(CONFIG)) == 200)
        for entry in ENTRIES:
            wait_for("the entry to be ready", lambda: request(entry, READY_PORT, "GET", "/readyz") == 200)
        self.workers = {zone: Worker(zone) for zone in WORKERS}
        for worker in self.workers.values():
            self.addCleanup(worker.stop)
        self.job, self.loading = 0, True
        self.addCleanup(lambda: setattr(self, "loading", False))
        threading.Thread(target=self.submit, daemon=True).start()
        wait_for("starts in both zones", lambda: all(w.starts for w in self.workers.values()))
        self.leader = wait_for("a leader", self.find_leader)
        self.follower, self.other = [a for a in SCHEDULERS if a != self.leader]

    def start(self, address):
        is_entry = address in ENTRIES
        zone = "north" if is_entry else next(z for z, a in ZONES.items() if a == address)
        settings = {"role": "entry" if is_entry else "scheduler", "id": address, "data_centre": zone,
                    "listen": {"peers": f"{LISTENING.get(address, address)}:{PEER_PORT}"}, "seeds": SCHEDULERS,
                    "first_start": True, "cluster_secret": "e2e", "bounds": {"grace_s": 6}}
        if is_entry:
            settings["listen"] |= {"callers": f"{address}:{CALLER_PORT}", "readiness": f"{address}:{READY_PORT}"}
        else:
            settings["listen"]["control"] = f"{address}:{CONTROL_PORT}"
            settings["data_folder"] = str(self.folder / address)
        file = self.folder / f"{address}.json"
        file.write_text(json.dumps(settings))
        with open(self.folder / f"{address}.log", "ab") as log:
            self.processes[address] = subprocess.Popen([BUILD / "fescued", "--config", file], stdout=log, stderr=log)

    def stop_all(self):
        for p in self.processes.values():
            p.kill()
            p.wait()
        shutil.rmtree(self.folder)

    def find_leader(self):
        """The scheduler whose latest change of role made it the leader."""
        for address in SCHEDULERS:
            if self.processes[address].poll() is not None:
                continue
            lines = (self.folder / f"{address}.log").read_text().splitlines()
            roles = [line for line in lines if "event=leading" in line or "event=not_leading" in line]
            if roles and "event=leading" in roles[-1]:
                return address
        return None

    def submit(self):
        """Each job has a task for each worker."""
        while self.loading:
            self.job += 1
            body = json.dumps({"spec": "x", "steps": [{"count": len(WORKERS), "cpu": 1000, "mem_mb": 1000,
                                                       "estimate_ms": 100, "anti_affinity": 1}]})
            request(ENTRY, CALLER_PORT, "POST", f"/queue/{self.job:016x}", body)
            time.sleep(0.2)

    def order(self, method, zone="west", at=None):
        return request(at or self.leader, CONTROL_PORT, method, f"/drain/{zone}")

    def confirm(self, method, zone="west", at=None):
        """Sends an order until it is confirmed."""
        wait_for("the order to be confirmed", lambda: self.order(method, zone, at) == 200)

    def starts_since(self, since, zone="west"):
        return len([t for t in self.workers[zone].starts if t > since])

    def check_out_of_service(self, confirmed, watch_s=3.0):
        """No task is started in the zone after the evacuation's bound, while others are started elsewhere."""
        time.sleep(max(0.0, confirmed + EVACUATION_S - time.monotonic()))
        bound = time.monotonic()
        time.sleep(watch_s)
        self.assertEqual(self.starts_since(bound), 0)
        self.assertGreater(self.starts_since(bound, "north"), 0)

    def check_in_service(self):
        since = time.monotonic()
        wait_for("starts in the zone", lambda: self.starts_since(since) > 0)

    def send_and_leave(self, method, at):
        """Sends an order and closes the connection without reading the answer."""
        with socket.create_connection((at, CONTROL_PORT)) as s:
            s.sendall(f"{method} /drain/west HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())


def read_response(connection):
    """Returns the status of the response that the connection ends with, or None."""
    data = b""
    try:
        while received := connection.recv(65536):
            data += received
    except OSError:
        pass
    head, _, _ = data.partition(b"\r\n")
    return int(head.split()[1]) if head.startswith(b"HTTP/1.1 ") else None


def send_and_half_close(address, port, method, path, body="", version="HTTP/1.1", timeout=4.0):
    """Sends a request, closes the sending side, and returns the status of the response."""
    with socket.create_connection((address, port), timeout=timeout) as s:
        s.sendall(f"{method} {path} {version}\r\nHost: {ROUTE['host']}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
                  .encode())
        s.shutdown(socket.SHUT_WR)
        return read_response(s)
