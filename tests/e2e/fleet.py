"""Starts real instances and fake servers on loopback, and breaks them: the scaffolding of the
end-to-end tests. Links between instances go through relays that a test can cut."""

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
THREE = ["dc-1", "dc-2", "dc-3"] * 2
FOUR = ["dc-1", "dc-2", "dc-3", "dc-4", "dc-1", "dc-2"]


def call(port, method, path, body=None, headers=None, timeout=15):
    """One HTTP call. Returns (status, headers, body bytes), or None when no whole answer came."""
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


def wait_for(what, condition, seconds=20):
    """Waits until the condition holds; fails loudly when it never does."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        found = condition()
        if found:
            return found
        time.sleep(0.02)
    raise AssertionError(f"gave up waiting for {what}")


class Relays:
    """Forwards TCP and UDP for each directed link; a cut link holds everything back."""

    def __init__(self):
        self.selector = selectors.DefaultSelector()
        self.links = {}
        self.cut = set()
        self.pairs = {}
        self.udp_out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
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
                    self.act(key)
                except OSError:
                    pass

    def act(self, key):
        kind, link, target = key.data
        if kind == "udp":
            data = key.fileobj.recv(65536)
            if link not in self.cut:
                self.udp_out.sendto(data, ("127.0.0.1", target))
        elif kind == "accept":
            near, _ = key.fileobj.accept()
            if link in self.cut:
                with self.lock:
                    self.pairs.setdefault(link, []).append((near, None))
                return
            far = socket.create_connection(("127.0.0.1", target), timeout=2)
            for s in (near, far):
                s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.selector.register(near, selectors.EVENT_READ, ("pipe", link, far))
            self.selector.register(far, selectors.EVENT_READ, ("pipe", link, near))
            with self.lock:
                self.pairs.setdefault(link, []).append((near, far))
        else:
            self.pump(key.fileobj, target, link)

    def pump(self, source, sink, link):
        if link in self.cut:
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

    def cut_links(self, links):
        self.cut |= set(links)
        # What is in the pipes is held back for good, as by a network that drops it.
        with self.lock:
            for link in links:
                for near, far in self.pairs.get(link, []):
                    for s in (near, far):
                        try:
                            self.selector.unregister(s)
                        except (KeyError, ValueError, AttributeError):
                            pass

    def heal(self):
        with self.lock:
            for link in self.cut:
                for near, far in self.pairs.pop(link, []):
                    for s in (near, far):
                        if s is not None:
                            s.close()
            self.cut = set()

    def stop(self):
        self.running = False
        self.thread.join()


class Fleet:
    """Instances and fake servers of one test, under one base port."""

    def __init__(self, base, layout=FOUR, disks=(1, 2, 3, 4, 5), relays=False, settings=None):
        # Two runs on one machine keep apart by a shift of their ports.
        self.base = base + int(os.environ.get("FESCUE_PORT_SHIFT", "0"))
        self.layout, self.disks = layout, disks
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fescue-"))
        self.settings = settings or {}
        self.instances, self.servers = {}, {}
        self.relays = Relays() if relays else None
        self.write_settings()
        if self.relays:
            self.relays.thread.start()

    # ---- ports
    def callers(self, i):
        return self.base + 10 * i

    def control(self, i):
        return self.base + 10 * i + 1

    def peers(self, i):
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
                port = self.peers(b)
                if self.relays:
                    port = self.link_port(a, b)
                    self.relays.add((a, b), port, self.peers(b))
                peers.append({"id": f"entry-{b}", "data_centre": self.layout[b - 1],
                              "address": f"127.0.0.1:{port}", "voter": b in self.disks})
            s = {"id": f"entry-{a}", "data_centre": self.layout[a - 1], "peers": peers,
                 "listen": {"callers": f"127.0.0.1:{self.callers(a)}",
                            "control": f"127.0.0.1:{self.control(a)}",
                            "peers": f"127.0.0.1:{self.peers(a)}"}, **self.settings}
            if a in self.disks:
                s["data_folder"] = str(self.folder / f"data-{a}")
            (self.folder / f"entry-{a}.json").write_text(json.dumps(s))

    # ---- processes
    def start(self, *numbers):
        for i in numbers or range(1, len(self.layout) + 1):
            with open(self.folder / f"entry-{i}.log", "a") as log:
                self.instances[i] = subprocess.Popen(
                    [BUILD / "fescued", "--config", self.folder / f"entry-{i}.json"],
                    stdout=log, stderr=log)

    def form(self, i=1):
        wait_for("an instance to form", lambda: (call(self.control(i), "POST", "/v1/form") or [0])[0] == 200)
        count = len(self.layout)
        wait_for("all instances ready", lambda: self.ready_count() == count)
        wait_for("voters", lambda: sum(x["voter"] for x in self.status()["instances"])
                 == min(5, len(self.disks)))

    def ready_count(self):
        return sum((call(self.callers(i), "GET", "/readyz") or [0])[0] == 200 for i in self.instances)

    def kill(self, i, how=signal.SIGKILL):
        self.instances[i].send_signal(how)
        if how == signal.SIGKILL:
            self.instances.pop(i).wait()

    def wipe(self, i):
        shutil.rmtree(self.folder / f"data-{i}")

    def serve(self, name, dc, *, slots=8, run_ms=0, entries=None, rack=None, failing=False):
        n = len(self.servers)
        entries = entries or self.near(dc)
        args = [BUILD / "tests/fake_server", "--id", name, "--address", f"127.0.0.1:{self.base + 100 + n}",
                "--data-centre", dc, "--rack", rack or f"{dc}-r{n // 4}", "--slots", str(slots),
                "--run-ms", str(run_ms), "--history", self.folder / "history"]
        args += ["--failing"] if failing else []
        for i in entries:
            args += ["--entry", f"127.0.0.1:{self.control(i)}"]
        self.servers[name] = subprocess.Popen(args, stderr=subprocess.DEVNULL)

    def near(self, dc):
        """Instances of the data centre first, then the others."""
        numbers = range(1, len(self.layout) + 1)
        return sorted(numbers, key=lambda i: (self.layout[i - 1] != dc, i))

    def stop(self):
        everything = list(self.instances.values()) + list(self.servers.values())
        for p in everything:
            p.send_signal(signal.SIGCONT)
            p.kill()
        for p in everything:
            p.wait()
        if self.relays:
            self.relays.stop()
        if not os.environ.get("FESCUE_KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    # ---- cuts
    def cut(self, group):
        others = set(range(1, len(self.layout) + 1)) - set(group)
        self.relays.cut_links([(a, b) for a in group for b in others] + [(b, a) for a in group for b in others])

    # ---- operators
    def order(self, method, path, body=None, order_id=None, if_match=None, at=1, timeout=15):
        headers = {"Idempotency-Key": order_id or f"o-{time.monotonic_ns()}"}
        if if_match is not None:
            headers["If-Match"] = str(if_match)
        answer = call(self.control(at), method, path, body, headers, timeout)
        return (answer[0], json.loads(answer[2])) if answer else (0, {})

    def read(self, path, at=1):
        answer = call(self.control(at), "GET", path)
        return json.loads(answer[2]) if answer and answer[0] == 200 else None

    def status(self):
        for i in self.instances:
            found = self.read("/v1/status", at=i)
            if found:
                return found
        raise AssertionError("no instance answers")

    def leader(self):
        return int(self.status()["leader"].split("-")[1])

    def catalogue(self, document, at=1):
        version = self.read("/v1/catalogue", at)["version"]
        status, body = self.order("PUT", "/v1/catalogue", document, if_match=version, at=at)
        assert status in (200, 202), body
        return body

    def key(self, team, at=1):
        status, body = self.order("POST", "/v1/keys", {"team": team}, at=at)
        assert status in (200, 202), body
        return body

    def alive_servers(self):
        return sum(s["alive"] and s["pool"] != "" for s in self.status()["servers"])

    # ---- callers
    def request(self, i, service, key, body="x", path="", headers=None, timeout=15):
        h = {"Authorization": f"Bearer {key}", **(headers or {})}
        return call(self.callers(i), "POST", f"/v1/services/{service}/requests/{path}", body, h, timeout)

    def history(self):
        file = self.folder / "history"
        return [Event(line) for line in file.read_text().splitlines()] if file.exists() else []


class Event:
    """One line of the fake servers' history."""

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


class Load:
    """Callers in threads; keeps every outcome."""

    def __init__(self, fleet, service, key, entries, threads=8, path="", body="x", pause=0.0):
        self.fleet, self.outcomes, self.stopping = fleet, [], False
        self.args = (service, key, body, path)
        self.pause = pause
        self.threads = [threading.Thread(target=self.run, args=(entries[n % len(entries)], n))
                        for n in range(threads)]
        for t in self.threads:
            t.start()

    def run(self, entry, n):
        service, key, body, path = self.args
        count = 0
        while not self.stopping:
            count += 1
            name = f"{body}-{n}-{count}"
            began = time.time()
            answer = self.fleet.request(entry, service, key, name, path)
            self.outcomes.append((began, time.time(), entry, name, answer))
            time.sleep(self.pause if answer and answer[0] == 200 else max(self.pause, 0.02))

    def stop(self):
        self.stopping = True
        for t in self.threads:
            t.join()
        return self.outcomes
