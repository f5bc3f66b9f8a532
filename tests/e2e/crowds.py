"""Test harness of the crowd tests: starts real instances with low limits and opens connections to them that do not
behave as ordinary callers do."""

import http.client
import json
import os
import pathlib
import resource
import shutil
import signal
import socket
import subprocess
import tempfile
import unittest

from fleet import BUILD, wait_for
from test_job_shutdown import CONFIG, request

SCHEDULERS = ["127.0.0.31", "127.0.0.32", "127.0.0.33"]
ENTRY = "127.0.0.34"
MORE_ENTRIES = ["127.0.0.35", "127.0.0.36", "127.0.0.37"]
PEER_PORT, CONTROL_PORT, CALLER_PORT, READY_PORT = 7520, 7521, 7522, 7523
NODE_CALLER_PORT, NODE_CONTROL_PORT, NODE_PEER_PORT = 7524, 7525, 7526

KIB, MIB = 1 << 10, 1 << 20
LEGAL_BODY = 262144
LIMITS = {"max_body_bytes": 512 * KIB, "max_held_body_bytes": 4 * MIB, "body_stall_ms": 600000, "max_connections": 64}
# Long enough that no connection is closed by them during a test; tests of these limits set lower ones.
TIMEOUTS = {"header_timeout_ms": 600000, "idle_timeout_ms": 600000}
CROWD = 120
# Memory of the stored jobs, the log's entries and the servers' reports, for schedulers.
MAX_JOB_BYTES = 4 * MIB
MAX_LOG_BYTES = 2 * MIB
MAX_REPORT_BYTES = 1 * MIB
MAX_ANSWER_BYTES = 1 * MIB
# A process uses less than 16 MiB by itself and holds each counted byte three times at most: in the request, in the
# frame for the leader, and while a buffer grows. A connection takes up to 32 KiB.
MEMORY_BOUND = 16 * MIB + 3 * LIMITS["max_held_body_bytes"] + CROWD * 32 * KIB
# Connections to other instances, files and the listening sockets, beside the connections that the limit allows.
OTHER_DESCRIPTORS = 40

HOST = {"Host": "jobs.example", "Deadline-Ms": "9000"}
JOB = json.dumps({"spec": "s", "steps": [{"count": 1, "cpu": 1, "mem_mb": 1, "estimate_ms": 1}]}).encode()


def padded_job(size):
    """A valid job whose document has the given size."""
    return JOB + b" " * (size - len(JOB))


def request_head(method, path, framing):
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in HOST.items()),
             "Content-Type: application/json", framing]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Crowd:
    """Connections that send a request each and stay open. A server may refuse or close any of them."""

    def __init__(self, address, port, requests):
        self.sockets = []
        for data in requests:
            s = socket.create_connection((address, port), timeout=10)
            self.sockets.append(s)
            try:
                s.sendall(data)
            except OSError:
                pass

    def statuses(self):
        """The status of each connection's response, or None."""
        found = []
        for s in self.sockets:
            response = http.client.HTTPResponse(s)
            try:
                response.begin()
                found.append(response.status)
            except (OSError, http.client.HTTPException):
                found.append(None)
        return found

    def close(self):
        for s in self.sockets:
            s.close()


class CrowdCase(unittest.TestCase):
    # Limits on requests, and settings of schedulers, that differ from the others for a test.
    http_changes = {}
    scheduler_changes = {}

    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fescue-body-crowds-"))
        self.processes, self.crowds = {}, []
        self.addCleanup(self.stop_all)

    def stop_all(self):
        for crowd in self.crowds:
            crowd.close()
        for p in self.processes.values():
            p.send_signal(signal.SIGCONT)
            p.kill()
            p.wait()
        if not os.environ.get("FESCUE_KEEP"):
            shutil.rmtree(self.folder)

    def start(self, name, settings):
        """Starts an instance with the low limits that its version knows; earlier versions are to fail by what they
        hold."""
        file = self.folder / f"{name}.json"
        earlier = {"http": LIMITS} | ({"max_job_bytes": MAX_JOB_BYTES} if "data_folder" in settings else {})
        current = {"http": LIMITS | TIMEOUTS | self.http_changes}
        if "data_folder" in settings:
            current |= {"max_job_bytes": MAX_JOB_BYTES, "max_log_bytes": MAX_LOG_BYTES,
                        "max_report_bytes": MAX_REPORT_BYTES, "max_answer_bytes": MAX_ANSWER_BYTES}
            current |= self.scheduler_changes
            earlier |= {k: v for k, v in self.scheduler_changes.items() if k in earlier}
        for limits in [current, earlier, {}]:
            file.write_text(json.dumps(settings | limits))
            check = subprocess.run([BUILD / "fescued", "--config", file, "--check"], capture_output=True, check=False)
            if check.returncode == 0:
                break
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen([BUILD / "fescued", "--config", file], stdout=log, stderr=log)

    def start_instance(self, address):
        settings = {"role": "scheduler" if address in SCHEDULERS else "entry", "id": address, "data_centre": "north",
                    "listen": {"peers": f"{address}:{PEER_PORT}"}, "seeds": SCHEDULERS, "first_start": True,
                    "cluster_secret": "e2e"}
        if address not in SCHEDULERS:
            settings["listen"] |= {"callers": f"{address}:{CALLER_PORT}", "readiness": f"{address}:{READY_PORT}"}
        else:
            settings["listen"]["control"] = f"{address}:{CONTROL_PORT}"
            settings["data_folder"] = str(self.folder / address)
        self.start(address, settings)

    def start_job_service(self):
        for address in [*SCHEDULERS, ENTRY]:
            self.start_instance(address)
        wait_for("the entry to be ready", lambda: request(ENTRY, READY_PORT, "GET", "/readyz") == 200)
        wait_for("the config", lambda: self.put_config(SCHEDULERS[0]) == 200)

    def put_config(self, address):
        return request(address, CONTROL_PORT, "PUT", "/config", body=json.dumps(CONFIG))

    def submit(self, job):
        return request(ENTRY, CALLER_PORT, "POST", f"/queue/{job:016x}", HOST, JOB)

    def send_crowd(self, address, port, requests):
        self.crowds.append(Crowd(address, port, requests))
        return self.crowds[-1]

    def send_unread(self, address, port, requests, count=CROWD):
        """Each connection of the crowd has a small receive buffer, asks many times and reads nothing."""
        crowd = self.send_crowd(address, port, [])
        for _ in range(count):
            s = socket.socket()
            s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            s.settimeout(2)
            crowd.sockets.append(s)
            try:
                s.connect((address, port))
                s.sendall(requests)
            except OSError:
                pass

    def count_descriptors(self, name):
        return len(os.listdir(f"/proc/{self.processes[name].pid}/fd"))

    def check_processes(self, memory_bound=MEMORY_BOUND):
        """Every process lives, and stays within its memory and its descriptors."""
        descriptor_bound = OTHER_DESCRIPTORS + (LIMITS | self.http_changes)["max_connections"]
        for name, p in self.processes.items():
            self.assertIsNone(p.poll(), f"{name} has ended")
            status = pathlib.Path(f"/proc/{p.pid}/status").read_text()
            peak = int(status.split("VmHWM:")[1].split()[0]) * KIB
            self.assertLessEqual(peak, memory_bound, f"{name}: peak memory")
            self.assertLessEqual(self.count_descriptors(name), descriptor_bound, f"{name}: open descriptors")


def run_tests():
    """Runs the tests of the main module with as many descriptors as the smallest instances have."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (4096, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    unittest.main()
