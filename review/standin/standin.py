"""A small deployment of the real programs on loopback, with stand-ins for workers, clients, the operator and the
machine service.

The schedulers and entries are separate processes, started with the command of the deploy file and settings rendered
from its template. The stand-ins follow the platform's protocol; they run in this process. Everything that is sent,
answered and run is written to record.txt in the case's folder.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.5
TICK_S = 0.02
# Bounds of the site file sites/limpias-sched.toml.
BOUNDS = {
    "contact_ms": 3000, "ack_timeout_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000,
    "evacuation_ms": 5000, "recovery_s": 12, "lease_max_ms": 6000, "preempt_grace_ms": 900, "gang_timeout_ms": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "checkpoint_interval_s": 0.5, "restore_ms": 100, "notice_ms": 4500, "migration_s": 1.5, "maintenance_s": 2,
    "lease_ms": 3000, "fencing_required": False,
}
STARTUP_MS = 700  # Time until a long-running task is at work.


class NotRun(Exception):
    """The case could not be run, which says nothing about the rule."""


class Record:
    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, who, what, **fields):
        text = " ".join(f"{k}={v if isinstance(v, (int, str)) else json.dumps(v)}" for k, v in fields.items())
        self.file.write(f"{self.now():8.3f} {who} {what} {text}\n")
        self.file.flush()


# --- HTTP ---------------------------------------------------------------------------------------------------------


async def read_message(reader):
    first = (await reader.readline()).decode("latin-1").strip()
    if not first:
        return None
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


class HttpServer:
    """Serves JSON over HTTP/1.1. The handler returns (status, object), or None to leave the call unanswered."""

    def __init__(self, ip, port, handler):
        self.ip, self.port, self.handler = ip, port, handler
        self.server, self.writers, self.tasks = None, set(), set()

    async def start(self):
        self.server = await asyncio.start_server(self.on_connection, self.ip, self.port)

    async def on_connection(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, path, _ = first.split(" ", 2)
                answer = await self.handler(method, path, headers, body)
                if answer is None:
                    await asyncio.sleep(30)
                    return
                status, content = answer
                payload = json.dumps(content).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(payload)}\r\n\r\n".encode() + payload)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    def crash(self):
        """Ends as a killed process does: the port closes and all connections are reset."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, path, body=None, headers=None, timeout=1.0):
    """@return (status, object), or None if there was no complete answer in time."""
    ip, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port))
            payload = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
            lines = {"Host": address, "Content-Type": "application/json", "Content-Length": str(len(payload)),
                     "Connection": "close", **(headers or {})}
            head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in lines.items()) + "\r\n"
            writer.write(head.encode() + payload)
            first, _, content = await read_message(reader)
            return int(first.split(" ")[1]), json.loads(content) if content else None
    except (OSError, asyncio.IncompleteReadError, TimeoutError, TypeError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


# --- Workers ------------------------------------------------------------------------------------------------------


class Run:
    def __init__(self, task, attempt, saved, worker):
        self.task, self.attempt, self.saved, self.worker = task, attempt, saved, worker
        self.job, _, self.step, self.index = task.split(".")
        self.started_from = saved
        self.present_at = time.monotonic()
        self.began_at = None
        self.stopping_until = None
        self.progress_ms = int(saved[:8], 16) if saved else 0


class Worker:
    """One life of a machine. It runs tasks for the time that the submission's spec names, in milliseconds a step."""

    def __init__(self, site, machine, life, port):
        self.site, self.machine, self.id = site, machine, life
        self.address = f"{machine['ip']}:{port}"
        self.born = int(time.time() * 1000)
        self.clock_start = time.monotonic()  # Starts anew in each life.
        self.seq = self.fence = self.last_end = 0
        self.lease_end = 0.0
        self.active, self.ended, self.barred = {}, [], {}
        self.changed = asyncio.Event()
        self.alive = True
        self.server = HttpServer(machine["ip"], port, self.on_call)
        self.jobs = []

    def clock_ms(self):
        return int((time.monotonic() - self.clock_start) * 1000)

    async def start(self):
        await self.server.start()
        self.jobs = [asyncio.create_task(self.report()), asyncio.create_task(self.work())]
        self.site.workers[self.id] = self
        self.machine["worker"] = self
        self.site.record.write(self.id, "begins", machine=self.machine["name"], born=self.born)

    def crash(self, why):
        if not self.alive:
            return
        self.site.record.write(self.id, "ends", why=why, runs=sorted(self.active))
        self.alive = False
        for run in self.active.values():
            self.site.on_run_ended(self, run, "crashed")
        self.active = {}
        self.server.crash()
        for job in self.jobs:
            job.cancel()
        self.site.workers.pop(self.id, None)
        self.machine["worker"] = None

    async def report(self):
        await asyncio.sleep(random.uniform(0, 0.3))
        at = random.randrange(len(self.site.control))
        while True:
            self.seq += 1
            body = {"service": self.machine["pool"], "address": self.address, "zone": self.machine["zone"],
                    "version": "v1", "slots": 8, "state": "ready", "warmup_left_ms": 0,
                    "capacity": self.machine["capacity"], "labels": self.machine["labels"],
                    "wall_clock_ms": self.clock_ms(), "seq": self.seq, "born": self.born}
            for _ in self.site.control:
                answer = await call(self.site.control[at], "PUT", f"/instances/{self.id}", body)
                if answer and answer[0] // 100 == 2:
                    break
                at = (at + 1) % len(self.site.control)
            await asyncio.sleep(HEARTBEAT_S)

    def take_lease(self, deadline):
        if deadline:
            self.lease_end = max(self.lease_end, min(deadline, self.clock_ms() + BOUNDS["lease_max_ms"]))

    def used(self, name):
        return sum(self.site.need(r.task).get(name, 0) for r in self.active.values())

    async def on_call(self, method, path, headers, body):
        if headers.get("expected-instance", self.id) != self.id:
            return 421, {}
        now = {"wall_clock_ms": self.clock_ms()}
        try:
            m = json.loads(body)
        except ValueError:
            return 400, now
        token = m.get("fencing_token", 0)
        if token < self.fence:
            return 409, {**now, "reason": "fence"}
        self.fence = token
        if path == "/run-start":
            status, reason = self.on_start(m)
            self.site.record.write(self.id, "run-start", task=m["task"], attempt=m["attempt"], token=token,
                                   checkpoint=m.get("checkpoint", ""), answer=f"{status}{reason}")
            return status, {**now, "reason": reason} if reason else now
        if path == "/run-stop":
            self.on_stop(m)
            return 200, now
        if path == "/hold":
            return await self.on_hold(m)
        if path == "/pace":
            return 200, now
        return 404, now

    def on_start(self, m):
        task, attempt = m["task"], m["attempt"]
        running = self.active.get(task)
        if running and running.attempt == attempt:
            return 200, ""
        if m["deadline_ms"] <= self.clock_ms():
            return 409, "late"
        self.take_lease(m["deadline_ms"])
        if attempt <= self.barred.get(task, 0) or running:
            return 409, "old"
        need = self.site.need(task)
        if any(self.used(k) + need.get(k, 0) > v for k, v in self.machine["capacity"].items()):
            return 409, "room"
        run = Run(task, attempt, m.get("checkpoint", ""), self)
        self.active[task] = run
        self.site.on_run_started(self, run)
        return 200, ""

    def on_stop(self, m):
        task, attempt = m["task"], m["attempt"]
        self.site.record.write(self.id, "run-stop", task=task, attempt=attempt)
        self.barred[task] = max(self.barred.get(task, 0), attempt)
        run = self.active.get(task)
        if run and run.attempt <= attempt and run.stopping_until is None:
            run.stopping_until = time.monotonic() + 0.1
            self.site.on_run_stopping(self, run)

    async def on_hold(self, m):
        self.take_lease(m.get("deadline_ms", 0))
        cursor = m.get("ack_cursor", 0)
        self.ended = [e for e in self.ended if e[0] > cursor]
        wait_until = time.monotonic() + min(m.get("poll_wait_ms", 0), 2000) / 1000
        while not self.ended and (left := wait_until - time.monotonic()) > 0:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                break
        return 200, {"wall_clock_ms": self.clock_ms(), "born": self.born,
                     "active": [[r.task, r.attempt, r.saved, self.site.percent(r), 0] for r in self.active.values()],
                     "finished": self.ended[:500]}

    def end(self, run, how):
        if self.active.get(run.task) is not run:
            return
        del self.active[run.task]
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.attempt)
        if how in ("stopped", "broken"):
            self.site.save(run)
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.attempt, how, run.saved])
        self.site.on_run_ended(self, run, how)
        self.changed.set()

    async def work(self):
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            if self.active and self.clock_ms() > self.lease_end:
                for run in list(self.active.values()):
                    self.end(run, "lapsed")
            for run in list(self.active.values()):
                if run.stopping_until and now >= run.stopping_until:
                    self.end(run, "stopped")
                else:
                    self.site.advance(run)


# --- The deployment -----------------------------------------------------------------------------------------------


def render(template, fields):
    """Renders a settings template as the platform's pages describe it."""
    tag = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}|\{\{([\w.]+)(\|json)?\}\}|(\{\{,\}\})", re.S)

    def look_up(name, scopes):
        for scope in reversed(scopes):
            if name == ".":
                return scope
            value = scope
            for part in name.split("."):
                value = value.get(part) if isinstance(value, dict) else None
            if value is not None:
                return value
        return None

    def expand(text, scopes, last):
        def replace(match):
            kind, section, inner, name, as_json, comma = match.groups()
            if comma:
                return "" if last else ","
            if name:
                value = look_up(name, scopes)
                if as_json:
                    return json.dumps(value)
                return "" if value is None else json.dumps(value) if isinstance(value, (dict, bool)) else str(value)
            value = look_up(section, scopes)
            if kind == "^":
                return expand(inner, scopes, last) if value in (None, False) else ""
            if value in (None, False):
                return ""
            entries = value if isinstance(value, list) else [value]
            return "".join(expand(inner, scopes + [e], i + 1 == len(entries)) for i, e in enumerate(entries))

        return tag.sub(replace, text)

    return expand(template, [fields], True)


class Program:
    """A fescued process."""

    def __init__(self, site, name, settings):
        self.site, self.name = site, name
        self.settings = site.folder / f"{name}.settings"
        self.settings.write_text(settings, encoding="utf-8")
        self.log = open(site.folder / f"{name}.log", "ab")
        self.process = None

    def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["FESCUESTREAM_SETTINGS"] = str(self.settings)
        self.process = subprocess.Popen(["target/fescued"], cwd=ROOT, env=env, stdout=self.log, stderr=self.log,
                                        stdin=subprocess.DEVNULL)

    def signal(self, number):
        self.site.record.write(self.name, "signal", number=int(number))
        self.process.send_signal(number)


class Site:
    """A deployment: three schedulers and two entries in three zones, machines with workers, and the machine service."""

    def __init__(self, folder, entries=2):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.workers, self.machines, self.submissions, self.waves = {}, {}, {}, {}
        self.gangs, self.started_runs, self.ended_runs = {}, [], []
        self.programs, self.machine_orders = [], []
        self.orders_for_upkeep_s = BOUNDS["maintenance_s"]
        self.on_end = []
        self.pick_addresses(entries)

    def pick_addresses(self, entries):
        for _ in range(50):
            self.net = f"127.{random.randrange(64, 127)}.{random.randrange(1, 255)}"
            self.port = random.randrange(20000, 30000)
            try:
                for port in (self.port, self.port + 1, self.port + 2, self.port + 3):
                    with socket.socket() as probe:
                        probe.bind((f"{self.net}.11", port))
                break
            except OSError:
                continue
        else:
            raise NotRun("no free ports")
        self.schedulers = [f"{self.net}.{11 + i}" for i in range(3)]
        self.entries = [f"{self.net}.{21 + i}" for i in range(entries)]
        self.control = [f"{ip}:{self.port + 1}" for ip in self.schedulers]
        self.callers = [f"{ip}:{self.port + 2}" for ip in self.entries]
        self.cloud = f"{self.net}.31:{self.port + 1}"

    def settings_of(self, ip, i, scheduler):
        listen = {"admin": f"{ip}:{self.port + 1}"} if scheduler else {
            "client_addr": f"{ip}:{self.port + 2}", "readiness": f"{ip}:{self.port + 3}"}
        fields = {"node_name": f"{'core' if scheduler else 'edge'}-{i + 1}", "ip": ip, "zone": f"zone-{i % 3 + 1}",
                  "port_range": [self.port, self.port + 15], "seed_nodes": self.control, "bootstrap": True,
                  "heartbeat_ms": int(HEARTBEAT_S * 1000), "listen_addrs": listen,
                  "fault_tolerance": {"machines": 1, "zones": 1}, "bounds": BOUNDS,
                  "cloud": {"address": self.cloud, "rate_per_s": 64.0, "duty_per_s": 64.0}}
        if scheduler:
            data = self.folder / f"data-{i + 1}"
            data.mkdir()
            fields["data_dir"] = str(data)
        text = (ROOT / "deploy/instance.json").read_text(encoding="utf-8")
        text = re.sub(r"\{\{port_range\.0\}\}", str(self.port), text)
        return fields["node_name"], render(text, fields)

    def add_machine(self, name, pool, cpu=16000, rack=0):
        i = len(self.machines)
        self.machines[name] = {"name": name, "pool": pool, "zone": f"zone-{i % 3 + 1}", "ip": f"{self.net}.{41 + i}",
                               "labels": ["a", f"r{rack or i + 1}"], "state": "up", "worker": None, "lives": 0,
                               "capacity": {"cpu": cpu, "mem_mb": 65536, "gpu": 0}}

    async def start_worker(self, machine, same_id=False):
        m = self.machines[machine]
        m["lives"] += 0 if same_id and m["lives"] else 1
        worker = Worker(self, m, f"i-{machine}-{m['lives']}", self.port + 5)
        await worker.start()
        return worker

    async def start(self, config):
        if not (ROOT / "target/fescued").exists():
            raise NotRun("target/fescued is not built")
        self.cloud_server = HttpServer(*self.cloud.split(":"), self.on_cloud_call)
        await self.cloud_server.start()
        for i, ip in enumerate(self.schedulers):
            self.programs.append(Program(self, *self.settings_of(ip, i, True)))
        for i, ip in enumerate(self.entries):
            self.programs.append(Program(self, *self.settings_of(ip, i, False)))
        for program in self.programs:
            program.start()
        for name in self.machines:
            await self.start_worker(name)
        await self.order("PUT", "/config", config, limit_s=20)
        await asyncio.sleep(4)

    async def order(self, method, path, body=None, limit_s=4.0):
        """Sends an order of the operator until it is confirmed."""
        until = time.monotonic() + limit_s
        at = 0
        while time.monotonic() < until:
            answer = await call(self.control[at % len(self.control)], method, path, body)
            self.record.write("operator", f"{method} {path}", answer=answer[0] if answer else "none",
                              body=answer[1] if answer and method == "GET" else "")
            if answer and answer[0] == 200:
                return answer[1]
            at += 1
            await asyncio.sleep(0.2)
        raise NotRun(f"{method} {path} was not confirmed")

    # --- Clients

    async def request(self, method, host, path, key="", body=None, tries=8):
        for i in range(tries):
            headers = {"Host": host, "Deadline-Ms": "3000", **({"Key": key} if key else {})}
            answer = await call(self.callers[i % len(self.callers)], method, path, body, headers, timeout=3.0)
            self.record.write("client", f"{method} {path}", answer=answer[0] if answer else "none",
                              body=answer[1] if answer else "")
            if answer and answer[0] not in (502, 503, 504):
                return answer
            await asyncio.sleep(0.3)
        return None

    async def submit(self, host, prefix, key, submission, job=None):
        job = job or f"{random.getrandbits(64):016x}"
        self.submissions[job] = submission
        answer = await self.request("POST", host, prefix + job, key, submission)
        if answer is None or answer[0] // 100 != 2:
            raise NotRun(f"submission {job} was not accepted: {answer}")
        return job

    async def state(self, host, prefix, key, job):
        answer = await self.request("GET", host, prefix + job, key)
        return answer[1].get("state") if answer and answer[0] == 200 else f"answer {answer}"

    # --- What the workers run

    def step(self, task):
        job, _, step, _ = task.split(".")
        return self.submissions[job]["steps"][int(step)]

    def need(self, task):
        step = self.step(task)
        return {k: step.get(k, 0) for k in ("cpu", "mem_mb", "gpu")}

    def work_ms(self, task):
        job, _, step, _ = task.split(".")
        return json.loads(self.submissions[job]["spec"])[int(step)]

    def percent(self, run):
        if not self.step(run.task).get("long_running"):
            return 100
        return 100 if (time.monotonic() - run.present_at) * 1000 >= STARTUP_MS else 10

    def save(self, run):
        if self.step(run.task).get("checkpointing") and run.began_at is not None:
            run.saved = f"{self.done_ms(run):08x}{run.job[:8]}"

    def done_ms(self, run):
        if run.began_at is None:
            return run.progress_ms
        return run.progress_ms + int((time.monotonic() - run.began_at) * 1000)

    def gang_of(self, run):
        return ".".join(run.task.split(".")[:3]), run.attempt

    def advance(self, run):
        step = self.step(run.task)
        if step.get("long_running"):
            return
        if step.get("gang"):
            members = self.gangs.get(self.gang_of(run), {})
            if run.began_at is None:
                if len(members) == step["count"]:
                    for other in members.values():
                        other.began_at = time.monotonic()
                elif (time.monotonic() - run.present_at) * 1000 > BOUNDS["gang_timeout_ms"]:
                    run.worker.end(run, "alone")
                return
        elif run.began_at is None:
            run.began_at = time.monotonic()
        interval_ms = BOUNDS["checkpoint_interval_s"] * 1000
        saved_ms = int(run.saved[:8], 16) if run.saved else 0
        if self.done_ms(run) - max(saved_ms, run.progress_ms) >= interval_ms:
            self.save(run)
        if self.done_ms(run) >= self.work_ms(run.task):
            if step.get("gang"):
                for other in list(self.gangs.get(self.gang_of(run), {}).values()):
                    other.worker.end(other, "done")
            else:
                run.worker.end(run, "done")

    def on_run_started(self, worker, run):
        self.started_runs.append((self.record.now(), run))
        if self.step(run.task).get("gang"):
            self.gangs.setdefault(self.gang_of(run), {})[run.index] = run

    def on_run_stopping(self, worker, run):
        pass

    def on_run_ended(self, worker, run, how):
        self.ended_runs.append((self.record.now(), run, how))
        self.record.write(worker.id, "run-end", task=run.task, attempt=run.attempt, how=how, saved=run.saved)
        for observer in self.on_end:
            observer(worker, run, how)
        if self.step(run.task).get("gang"):
            members = self.gangs.get(self.gang_of(run), {})
            members.pop(run.index, None)
            if how not in ("done", "broken"):
                for other in list(members.values()):
                    if other.worker.alive:
                        other.worker.end(other, "broken")

    # --- The machine service

    async def on_cloud_call(self, method, path, headers, body):
        if method == "GET" and path.startswith("/machines"):
            self.record.write("cloud", "GET /machines")
            return 200, {"machines": [
                {"machine": m["name"], "pool": m["pool"], "state": m["state"], "zone": m["zone"], "labels": m["labels"],
                 "capacity": m["capacity"], "id": m["worker"].id if m["worker"] else ""}
                for m in self.machines.values()], "next_token": ""}
        request = json.loads(body)
        machine = self.machines.get(request.get("machine"))
        if path == "/machine-upkeep":
            status, reason = self.on_upkeep(machine, str(request["rollout_batch"]))
        elif path == "/machine-move":
            status, reason = 409, "busy"
        else:
            status, reason = 404, ""
        self.record.write("cloud", f"POST {path}", holder=headers.get("lease-holder", ""),
                          token=headers.get("fencing-token", ""), request=request, answer=f"{status} {reason}")
        return status, {"reason": reason} if reason else {}

    def on_upkeep(self, machine, batch):
        if machine is None:
            return 400, ""
        if machine["name"] not in self.waves.get(batch, {}):
            return 409, "wave"
        if self.waves[batch][machine["name"]]:
            return 200, ""
        if machine["state"] != "up":
            return 409, "busy"
        self.waves[batch][machine["name"]] = self.record.now()
        if machine["worker"]:
            machine["worker"].crash(f"upkeep of wave {batch}")
        machine["state"] = "upkeep"
        asyncio.get_running_loop().create_task(self.finish_upkeep(machine))
        return 200, ""

    async def finish_upkeep(self, machine):
        await asyncio.sleep(self.orders_for_upkeep_s)
        machine["state"] = "up"
        await self.start_worker(machine["name"])

    async def start_wave(self, batch, machines, duration_s, cap):
        self.waves[str(batch)] = {m: None for m in machines}
        await self.order("POST", "/wave-start", {"rollout_batch": batch, "machines": machines,
                                                 "duration_s": duration_s, "cap": cap})

    async def wave_state(self, batch):
        return (await self.order("GET", f"/wave-get/{batch}"))["state"]

    def stop(self):
        for program in self.programs:
            if program.process and program.process.poll() is None:
                program.process.send_signal(signal.SIGCONT)
                program.process.kill()
        for program in self.programs:
            if program.process:
                program.process.wait()
            program.log.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def config(version, routes, services, tenants):
    """@param routes rows of name, host, prefix, service and further fields
    @param tenants rows of name, key and cap of CPU in thousandths of a core"""
    return {
        "version": version,
        "routes": [{"name": r["name"], "host": r["host"], "path_prefix": r["prefix"], "kind": "non_idempotent",
                    "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0, "service": r["service"],
                    "max_attempts": 2, "slack_factor": 1.6, "public": False, **r.get("more", {})} for r in routes],
        "services": [{"name": s, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": False,
                      "warmup_s": 0.0, "warmup_per_s": 0.0, "enforce_capacity": True, "standby": False}
                     for s in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": name, "api_keys": [key], "priority": 1, "weight": 10,
                     "cap": {"cpu": cap, "mem_mb": 0, "gpu": 0}} for name, key, cap in tenants],
    }


def run_case(case, folder, entries=2, limit_s=112):
    """Runs the coroutine function case(site, trouble) and exits with its verdict."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = pathlib.Path(folder).resolve().parent
    site = Site(folder, entries)

    async def body():
        try:
            async with asyncio.timeout(limit_s):
                return await case(site, trouble)
        finally:
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)

    code = NOT_RUN
    try:
        code = asyncio.run(body())
    except NotRun as e:
        site.record.write("case", "not run", why=str(e))
    except TimeoutError:
        site.record.write("case", "not run", why="the time is up")
    except Exception as e:  # A fault of the stand-ins says nothing about the rule.
        traceback.print_exc()
        site.record.write("case", "not run", why=repr(e))
    finally:
        site.record.write("case", "verdict", code=code)
        site.stop()
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
    sys.exit(code)
