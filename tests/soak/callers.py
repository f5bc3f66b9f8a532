"""Callers of the soak: each keeps one connection to one instance open, and goes on sending on it while the instance is
stopped, until the connection ends. Every request is recorded with the time of its last byte and its end."""

import asyncio
import dataclasses
import json
import random
import re
import threading
import time

LONG_RUNNING_TASKS = 4
DEADLINES_MS = [1000, 1500, 2500, 3500, 4000, 6000, 9000]
OPERATOR_DEADLINE_MS = 3000
# Time after its deadline for which a response is waited for: the machine's processors may be busy.
LATE_SECONDS = 1.5
HEADERS = "Host: jobs.example\r\nDeadline-Ms: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n"


def now():
    """Seconds on the clock of the instances and of worker_farm."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass
class Request:
    address: str
    method: str
    path: str
    deadline_s: float
    sent_at: float = 0.0  # last byte
    ended_at: float = 0.0
    status: int = 0  # 0: no complete response
    body: str = ""
    timed_out: bool = False
    delay_s: float = 0.0  # of this program between sent_at and ended_at


def job_body(long_running=False):
    step = {"count": LONG_RUNNING_TASKS if long_running else 2, "cpu": 500, "mem_mb": 50, "estimate_ms": 300}
    if long_running:
        step["long_running"] = True
    return json.dumps({"spec": "long-running" if long_running else "short", "steps": [step]})


class DelayMeter:
    """Measures how long this program's own loop was delayed, which makes connections appear to end late."""

    def __init__(self):
        self.total_s = 0.0

    async def run(self):
        while True:
            began_at = now()
            await asyncio.sleep(0.02)
            self.total_s += max(0.0, now() - began_at - 0.03)


class Connection:
    """A keep-alive connection. It ignores "Connection: close" and sends until the peer has closed it."""

    def __init__(self, address, port, meter):
        self.address, self.port, self.meter = address, port, meter
        self.reader = self.writer = None

    async def open(self):
        while self.writer is None:
            try:
                self.reader, self.writer = await asyncio.open_connection(self.address, self.port)
            except OSError:
                await asyncio.sleep(0.02)

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.reader = self.writer = None

    async def exchange(self, method, path, body, deadline_s, pause_s=0.0):
        """Sends one request, with a pause before its last bytes. Returns its record, also if no response came."""
        await self.open()
        out = Request(self.address, method, path, deadline_s)
        text = f"{method} {path} HTTP/1.1\r\n{HEADERS.format(round(deadline_s * 1000), len(body))}{body}".encode()
        out.sent_at, delay_before = now(), self.meter.total_s
        try:
            if pause_s > 0:
                self.writer.write(text[:-1])
                await asyncio.sleep(pause_s)
            out.sent_at, delay_before = now(), self.meter.total_s
            self.writer.write(text[-1:] if pause_s > 0 else text)
            async with asyncio.timeout(deadline_s + LATE_SECONDS):
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
                length = int(re.search(r"content-length: (\d+)", head, re.IGNORECASE)[1])
                out.body = (await self.reader.readexactly(length)).decode()
                out.status = int(head.split()[1])
        except TimeoutError:
            out.timed_out = True
            self.close()
        except (OSError, EOFError):
            self.close()
        # Lets the meter run first if it is due.
        await asyncio.sleep(0)
        out.ended_at = now()
        out.delay_s = self.meter.total_s - delay_before
        return out


class Callers:
    """Runs the callers in a thread of their own."""

    def __init__(self, entries, schedulers, caller_port, control_port, per_instance, seed):
        self.entries, self.schedulers = entries, schedulers
        self.caller_port, self.control_port, self.per_instance = caller_port, control_port, per_instance
        self.random = random.Random(seed)
        self.requests = []
        self.accepted = {}  # time of the answer, by job
        self.long_running = set()
        self.unfinished = set()  # accepted jobs that did not complete in time
        self.stopping = False
        self.thread = threading.Thread(target=lambda: asyncio.run(self._run()), daemon=True)
        self.thread.start()

    def stop(self):
        """Ends the calls and waits until the states of all accepted jobs were asked for."""
        self.stopping = True
        self.thread.join()

    async def _run(self):
        self.meter = DelayMeter()
        metering = asyncio.create_task(self.meter.run())
        calls = [self._call(a, i == 0) for a in self.entries for i in range(self.per_instance)]
        operators = [self._read_config(a) for a in self.schedulers for _ in range(2)]
        await asyncio.gather(*calls, *operators)
        await self._wait_for_completion()
        metering.cancel()

    async def _call(self, address, submits_long_running):
        connection = Connection(address, self.caller_port, self.meter)
        long_running_id = f"{self.random.getrandbits(64):016x}" if submits_long_running else None
        while not self.stopping:
            await asyncio.sleep(self.random.uniform(0.0, 0.3))
            draw = self.random.random()
            if long_running_id and long_running_id not in self.accepted:
                method, job = "POST", long_running_id
            elif draw < 0.1:
                method, job = "POST", f"{self.random.getrandbits(64):016x}"
            elif draw < 0.2 or not self.accepted:
                method, job = "GET", ""
            else:
                method, job = "GET", self.random.choice(list(self.accepted))
            await self._send(connection, method, job, job_body(job == long_running_id) if method == "POST" else "")
            if job == long_running_id and job in self.accepted:
                self.long_running.add(job)
        connection.close()

    async def _send(self, connection, method, job, body):
        pause_s = self.random.uniform(0.0, 0.3) if self.random.random() < 0.2 else 0.0
        deadline_s = self.random.choice(DEADLINES_MS) / 1000
        made = await connection.exchange(method, "/j/" + job, body, deadline_s, pause_s)
        self.requests.append(made)
        if method == "POST" and made.status == 200:
            self.accepted.setdefault(job, made.ended_at)

    async def _read_config(self, address):
        connection = Connection(address, self.control_port, self.meter)
        while not self.stopping:
            await asyncio.sleep(self.random.uniform(0.0, 0.3))
            self.requests.append(await connection.exchange("GET", "/config", "", OPERATOR_DEADLINE_MS / 1000))
        connection.close()

    async def _wait_for_completion(self, seconds=30):
        self.unfinished = set(self.accepted) - self.long_running
        end_at = now() + seconds

        async def ask(jobs):
            connection = Connection(self.entries[0], self.caller_port, self.meter)
            for job in jobs:
                while job in self.unfinished and now() < end_at:
                    made = await connection.exchange("GET", "/j/" + job, "", OPERATOR_DEADLINE_MS / 1000)
                    self.requests.append(made)
                    if "completed" in made.body:
                        self.unfinished.discard(job)
                    else:
                        await asyncio.sleep(0.1)
            connection.close()

        jobs = sorted(self.unfinished)
        await asyncio.gather(*(ask(jobs[i::10]) for i in range(10)))
