"""Test harness of the end-to-end tests: starts real instances and fake servers on loopback and injects
faults. Connections between instances can pass through relays, which let a test partition the network."""

import http.client
import json
import os
import pathlib
import selectors
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

BUILD = pathlib.Path(os.environ.get("FESCUE_BUILD", "build")).resolve()
THREE_DATA_CENTRES = ["dc-1", "dc-2", "dc-3"] * 2
FOUR_DATA_CENTRES = ["dc-1", "dc-2", "dc-3", "dc-4", "dc-1", "dc-2"]


def call(port, method, path, body=None, headers=None, timeout=15):
    """Sends one HTTP request. Returns (status, headers, body bytes), or None if no complete response arrived."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, data, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def wait_for(description, condition, seconds=20):
    """Polls until the condition holds; raises AssertionError after the given time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        found = condition()
        if found:
            return found
        time.sleep(0.02)
    raise AssertionError(f"timed out waiting for {description}")


class Relays:
    """Forwards TCP and UDP for each directed link; a blocked link forwards nothing."""

    def __init__(self):
        self.selector = selectors.DefaultSelector()
        self.links = {}
        self.blocked = set()
        self.socket_pairs = {}
        self.udp_sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.lock = threading.Lock()
        self.running = True
        self.thread = threading.Thread(target=self.run, daemon=True)

    def add(self, link, listen, target):
        tcp = socket.socket()
        tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        tcp.bind(("127.0.0.1", listen))
        tcp.listen(64)
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp.bind(("127.0.0.1", listen))
        for s in (tcp, udp):
            s.setblocking(False)
        self.selector.register(tcp, selectors.EVENT_READ, ("accept", link, target))
        self.selector.register(udp, selectors.EVENT_READ, ("udp", link, target))

    def run(self):
        while self.running:
            for key, _ in self.selector.select(0.05):
                try:
                    self.handle_event(key)
                except OSError:
                    pass

    def handle_event(self, key):
        kind, link, target = key.data
        if kind == "udp":
            data = key.fileobj.recv(65536)
            if link not in self.blocked:
                self.udp_sender.sendto(data, ("127.0.0.1", target))
        elif kind == "accept":
            accepted, _ = key.fileobj.accept()
            if link in self.blocked:
                with self.lock:
                    self.socket_pairs.setdefault(link, []).append((accepted, None))
                return
            upstream = socket.create_connection(("127.0.0.1", target), timeout=2)
            for s in (accepted, upstream):
                s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.selector.register(accepted, selectors.EVENT_READ, ("pipe", link, upstream))
            self.selector.register(upstream, selectors.EVENT_READ, ("pipe", link, accepted))
            with self.lock:
                self.socket_pairs.setdefault(link, []).append((accepted, upstream))
        else:
            self.forward(key.fileobj, target, link)

    def forward(self, source, sink, link):
        if link in self.blocked:
            time.sleep(0.001)
            return
        data = b""
        try:
            data = source.recv(1 << 18)
            if data:
                sink.sendall(data)
        except OSError:
            data = b""
        if not data:
            for s in (source, sink):
                try:
                    self.selector.unregister(s)
                except (KeyError, ValueError):
                    pass
                s.close()

    def block_links(self, links):
        self.blocked |= set(links)
        # Data in flight is never delivered, as on a network that drops packets.
        with self.lock:
            for link in links:
                for accepted, upstream in self.socket_pairs.get(link, []):
                    for s in (accepted, upstream):
                        try:
                            self.selector.unregister(s)
                        except (KeyError, ValueError, AttributeError):
                            pass

    def heal(self):
        with self.lock:
            for link in self.blocked:
                for accepted, upstream in self.socket_pairs.pop(link, []):
                    for s in (accepted, upstream):
                        if s is not None:
                            s.close()
            self.blocked = set()

    def stop(self):
        self.running = False
        self.thread.join()
        for key in list(self.selector.get_map().values()):
            key.fileobj.close()
        self.selector.close()
        with self.lock:
            for pairs in self.socket_pairs.values():
                for s in (s for pair in pairs for s in pair if s is not None):
                    s.close()
            self.socket_pairs.clear()
        self.udp_sender.close()


class Fleet:
    """The instances and fake servers of one test; their ports are offsets from one base port."""

    def __init__(self, base, layout=FOUR_DATA_CENTRES, disks=(1, 2, 3, 4, 5), relays=False, settings=None):
        # Lets two runs share a machine without port conflicts.
        self.base = base + int(os.environ.get("FESCUE_PORT_SHIFT", "0"))
        self.layout, self.disks = layout, disks
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fescue-"))
        self.settings = settings or {}
        self.instances, self.servers = {}, {}
        self.relays = Relays() if relays else None
        self.write_settings()
        if self.relays:
            self.relays.thread.start()

    def caller_port(self, i):
        return self.base + 10 * i

    def control_port(self, i):
        return self.base + 10 * i + 1

    def peer_port(self, i):
        return self.base + 10 * i + 2

    def link_port(self, a, b):
        return self.base + 300 + 10 * a + b

    def write_settings(self):
        numbers = range(1, len(self.layout) + 1)
        for a in numbers:
            peers = []
            for b in numbers:
                if a == b:
                    continue
                port = self.peer_port(b)
                if self.relays:
                    port = self.link_port(a, b)
                    self.relays.add((a, b), port, self.peer_port(b))
                peers.append({"id": f"entry-{b}", "data_centre": self.layout[b - 1],
                              "address": f"127.0.0.1:{port}", "voter": b in self.disks})
            s = {"id": f"entry-{a}", "data_centre": self.layout[a - 1], "peers": peers,
                 "listen": {"callers": f"127.0.0.1:{self.caller_port(a)}",
                            "control": f"127.0.0.1:{self.control_port(a)}",
                            "peers": f"127.0.0.1:{self.peer_port(a)}"}, **self.settings}
            if a in self.disks:
                s["data_folder"] = str(self.folder / f"data-{a}")
            (self.folder / f"entry-{a}.json").write_text(json.dumps(s))

    def start(self, *numbers):
        for i in numbers or range(1, len(self.layout) + 1):
            with open(self.folder / f"entry-{i}.log", "a") as log:
                self.instances[i] = subprocess.Popen(
                    [BUILD / "fescued", "--config", self.folder / f"entry-{i}.json"],
                    stdout=log, stderr=log)

    def form_cluster(self, i=1):
        wait_for("the cluster to form", lambda: (call(self.control_port(i), "POST", "/v1/form") or [0])[0] == 200)
        count = len(self.layout)
        wait_for("all instances ready", lambda: self.ready_count() == count)
        wait_for("voters", lambda: sum(x["voter"] for x in self.status()["instances"])
                 == min(5, len(self.disks)))

    def ready_count(self):
        return sum((call(self.caller_port(i), "GET", "/readyz") or [0])[0] == 200 for i in self.instances)

    def kill(self, i, signal_number=signal.SIGKILL):
        self.instances[i].send_signal(signal_number)
        if signal_number == signal.SIGKILL:
            self.instances.pop(i).wait()

    def wipe_disk(self, i):
        shutil.rmtree(self.folder / f"data-{i}")

    def start_server(self, name, dc, *, slots=8, run_ms=0, entries=None, rack=None, failing=False):
        n = len(self.servers)
        entries = entries or self.instances_by_distance(dc)
        args = [BUILD / "tests/fake_server", "--id", name, "--address", f"127.0.0.1:{self.base + 100 + n}",
                "--data-centre", dc, "--rack", rack or f"{dc}-r{n // 4}", "--slots", str(slots),
                "--run-ms", str(run_ms), "--history", self.folder / "history"]
        args += ["--failing"] if failing else []
        for i in entries:
            args += ["--entry", f"127.0.0.1:{self.control_port(i)}"]
        self.servers[name] = subprocess.Popen(args, stderr=subprocess.DEVNULL)

    def instances_by_distance(self, dc):
        """Instances in the data centre first, then the others."""
        numbers = range(1, len(self.layout) + 1)
        return sorted(numbers, key=lambda i: (self.layout[i - 1] != dc, i))

    def stop(self):
        processes = list(self.instances.values()) + list(self.servers.values())
        for p in processes:
            p.send_signal(signal.SIGCONT)
            p.kill()
        for p in processes:
            p.wait()
        if self.relays:
            self.relays.stop()
        if not os.environ.get("FESCUE_KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    def partition(self, group):
        others = set(range(1, len(self.layout) + 1)) - set(group)
        self.relays.block_links([(a, b) for a in group for b in others] + [(b, a) for a in group for b in others])

    def send_order(self, method, path, body=None, order_id=None, if_match=None, at=1, timeout=15):
        headers = {"Idempotency-Key": order_id or f"o-{time.monotonic_ns()}"}
        if if_match is not None:
            headers["If-Match"] = str(if_match)
        answer = call(self.control_port(at), method, path, body, headers, timeout)
        return (answer[0], json.loads(answer[2])) if answer else (0, {})

    def read(self, path, at=1):
        answer = call(self.control_port(at), "GET", path)
        return json.loads(answer[2]) if answer and answer[0] == 200 else None

    def status(self):
        for i in self.instances:
            found = self.read("/v1/status", at=i)
            if found:
                return found
        raise AssertionError("no instance responds")

    def leader(self):
        return int(self.status()["leader"].split("-")[1])

    def put_catalogue(self, document, at=1):
        version = self.read("/v1/catalogue", at)["version"]
        status, body = self.send_order("PUT", "/v1/catalogue", document, if_match=version, at=at)
        assert status in (200, 202), body
        return body

    def create_key(self, team, at=1):
        status, body = self.send_order("POST", "/v1/keys", {"team": team}, at=at)
        assert status in (200, 202), body
        return body

    def alive_servers(self):
        return sum(s["alive"] and s["pool"] != "" for s in self.status()["servers"])

    def request(self, i, service, key, body="x", path="", headers=None, timeout=15):
        h = {"Authorization": f"Bearer {key}", **(headers or {})}
        return call(self.caller_port(i), "POST", f"/v1/services/{service}/requests/{path}", body, h, timeout)

    def history(self):
        file = self.folder / "history"
        return [HistoryEvent(line) for line in file.read_text().splitlines()] if file.exists() else []


class HistoryEvent:
    """One line of the history that the fake servers write; see fake_server.cpp for the format."""

    def __init__(self, line):
        self.kind, us, self.request, self.team, self.server, self.pool, self.epoch, self.body = line.split(" ", 7)
        self.at = int(us) / 1e6


def simple_catalogue(limit=100, repeatable=True, **service):
    return {
        "teams": {"north": {"share": 1, "upper_limit": limit}},
        "services": {"quotes": {"pool": "quotes", "owner": "north", "repeatable": repeatable,
                                "queue_limit": 1000, "timeout_ms": 8000, "max_run_ms": 8000, **service}},
        "pools": {"quotes": {"least_servers": 1}},
    }


class LoadThreads:
    """Sends requests from several threads until stopped, and records (start, end, instance, body, response)."""

    def __init__(self, fleet, service, key, entries, threads=8, path="", body="x", pause=0.0):
        self.fleet, self.outcomes, self.stopping = fleet, [], False
        self.request_args = (service, key, body, path)
        self.pause = pause
        self.threads = [threading.Thread(target=self.run, args=(entries[n % len(entries)], n))
                        for n in range(threads)]
        for t in self.threads:
            t.start()

    def run(self, entry, n):
        service, key, body, path = self.request_args
        count = 0
        while not self.stopping:
            count += 1
            name = f"{body}-{n}-{count}"
            started_at = time.time()
            answer = self.fleet.request(entry, service, key, name, path)
            self.outcomes.append((started_at, time.time(), entry, name, answer))
            time.sleep(self.pause if answer and answer[0] == 200 else max(self.pause, 0.02))

    def stop(self):
        self.stopping = True
        for t in self.threads:
            t.join()
        return self.outcomes
